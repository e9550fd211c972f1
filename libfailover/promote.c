#include <string.h>

#include "state.h"

/*
 * Sends the promote call to the chosen target. From here on no other target is
 * promoted in the term of the round, even if the call fails, because it may
 * still take effect.
 */
void failover_promote_begin(failover_t *failover, group_index_t chosen,
			    clock_ms_t now_ms, failover_output_t *out)
{
	failover_call_state_t *step_call = &failover->targets[chosen].step_call;

	failover->chosen = chosen;
	failover->fence_spent_ms = now_ms - failover->phase_at_ms;
	failover_phase_enter(failover, FAILOVER_PHASE_PROMOTING, now_ms, out);
	memset(step_call, 0, sizeof(*step_call));
	failover_call_send(failover, step_call, FAILOVER_CALL_PROMOTE, chosen,
			   GROUP_INDEX_NONE, now_ms, out);
}

/*
 * Ends the round once a status shows the promotion, be it the answer to the
 * promote call or, if that was lost, a later status call, and sends follow
 * calls to the other targets. Otherwise repeats a failed promote call. Abandons
 * the round after a refusal or FAILOVER_CALL_ATTEMPTS_MAX failed calls.
 */
void failover_promote_advance(failover_t *failover, clock_ms_t now_ms,
			      failover_output_t *out)
{
	failover_target_t *target = &failover->targets[failover->chosen];
	failover_call_state_t *step_call = &target->step_call;

	if (target->status.role == GROUP_ROLE_PRIMARY &&
	    target->status.log_term == failover->round_term) {
		failover->promotions++;
		failover->promote_spent_ms = now_ms - failover->phase_at_ms;
		step_call->id = 0;
		failover_phase_enter(failover, FAILOVER_PHASE_STEADY, now_ms,
				     out);
		failover_follow_send(failover, now_ms, out);
		return;
	}
	failover_call_expire(step_call, now_ms);
	if (step_call->id != 0)
		return;
	if (target->refused ||
	    step_call->attempts >= FAILOVER_CALL_ATTEMPTS_MAX) {
		failover_round_abandon(failover, now_ms, out);
		return;
	}
	if (now_ms >= step_call->retry_at_ms)
		failover_call_send(failover, step_call, FAILOVER_CALL_PROMOTE,
				   failover->chosen, GROUP_INDEX_NONE, now_ms,
				   out);
}

/*
 * Records the term and the primary in the answer of a target to a follow call.
 */
void failover_follow_record(failover_t *failover, const failover_event_t *event)
{
	failover_target_t *target = &failover->targets[event->target];

	target->followed_term = event->status.promised_term;
	memcpy(target->followed_primary, event->status.primary,
	       sizeof(target->followed_primary));
}

/*
 * Returns true if the target needs a follow call for the primary of this term:
 * it is a primary itself, has not promised the term, or has a log of an earlier
 * term and is not known to follow this primary already. A target that has
 * promised a higher term would refuse the call.
 */
static bool needs_follow(const failover_target_t *target, uint32_t term)
{
	const group_status_t *status = &target->status;

	if (!target->has_status || status->promised_term > term)
		return false;
	if (status->role == GROUP_ROLE_PRIMARY || status->promised_term < term)
		return true;
	return status->log_term < term &&
	       (target->followed_term != term || status->primary[0] == '\0' ||
		strncmp(status->primary, target->followed_primary,
			sizeof(status->primary)) != 0);
}

/*
 * Sends a follow call to every target that has a fresh status and needs one,
 * see needs_follow(). A call is repeated after step_timeout_ms at the earliest.
 */
void failover_follow_send(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out)
{
	group_index_t primary = failover_detect_primary(failover);
	uint32_t i;

	if (primary == GROUP_INDEX_NONE)
		return;
	for (i = 0; i < failover->options.target_count; i++) {
		failover_target_t *target = &failover->targets[i];

		failover_call_expire(&target->step_call, now_ms);
		if ((group_index_t)i == primary || target->step_call.id != 0 ||
		    now_ms < target->follow_at_ms ||
		    !failover_detect_fresh(failover, (group_index_t)i,
					   now_ms) ||
		    !needs_follow(target,
				  failover->targets[primary].status.log_term))
			continue;
		failover_call_send(failover, &target->step_call,
				   FAILOVER_CALL_FOLLOW, (group_index_t)i,
				   primary, now_ms, out);
		target->follow_at_ms =
			now_ms + failover->options.step_timeout_ms;
	}
}
