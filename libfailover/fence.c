#include <string.h>

#include "state.h"

/*
 * Starts a round by sending fence calls to all targets, with a term above every
 * term seen. Each round has a new term, because a promote call of an earlier
 * round may still take effect in the term of that round.
 */
void failover_fence_begin(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out)
{
	uint32_t i;

	failover->detect_spent_ms = failover_detect_silence(failover, now_ms);
	failover->fence_spent_ms = 0;
	failover->promote_spent_ms = 0;
	failover->round_term = failover_detect_max_term(failover) + 1;
	failover->round_first_id = failover->next_id;
	failover->recent_rounds++;
	failover_phase_enter(failover, FAILOVER_PHASE_FENCING, now_ms, out);
	for (i = 0; i < failover->options.target_count; i++) {
		failover_target_t *target = &failover->targets[i];

		target->fenced = false;
		target->refused = false;
		memset(&target->step_call, 0, sizeof(target->step_call));
		failover_call_send(failover, &target->step_call,
				   FAILOVER_CALL_FENCE, (group_index_t)i,
				   GROUP_INDEX_NONE, now_ms, out);
	}
}

/*
 * Records the answer to a fence call of the present round, be it the first call
 * or a repeated one.
 */
void failover_fence_record(failover_t *failover, const failover_event_t *event)
{
	failover_target_t *target = &failover->targets[event->target];

	if (failover->phase != FAILOVER_PHASE_FENCING ||
	    event->call != FAILOVER_CALL_FENCE ||
	    event->call_id < failover->round_first_id)
		return;
	if (event->kind == FAILOVER_EVENT_REFUSED) {
		target->refused = true;
		return;
	}
	if (event->status.promised_term != failover->round_term)
		return;
	target->fenced = true;
	target->fenced_status = event->status;
	target->fenced_status.leaving |= target->leaving;
}

/*
 * Repeats a fence call that failed, once its retry is due and unless it was the
 * last attempt. Returns true while the target can still be fenced in this
 * round.
 */
static bool repeat_fence_call(failover_t *failover, group_index_t index,
			      clock_ms_t now_ms, failover_output_t *out)
{
	failover_target_t *target = &failover->targets[index];

	if (target->fenced || target->refused)
		return false;
	failover_call_expire(&target->step_call, now_ms);
	if (target->step_call.id != 0)
		return true;
	if (target->step_call.attempts >= FAILOVER_CALL_ATTEMPTS_MAX)
		return false;
	if (now_ms >= target->step_call.retry_at_ms)
		failover_call_send(failover, &target->step_call,
				   FAILOVER_CALL_FENCE, index, GROUP_INDEX_NONE,
				   now_ms, out);
	return true;
}

static group_index_t choose_fenced(const failover_t *failover)
{
	group_status_t statuses[GROUP_TARGETS_MAX];
	bool fenced[GROUP_TARGETS_MAX];
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		statuses[i] = failover->targets[i].fenced_status;
		fenced[i] = failover->targets[i].fenced;
	}
	return failover_choose(statuses, fenced,
			       failover->options.target_count);
}

/*
 * Returns true if a majority can still be fenced; pending[i] says that target i
 * may still answer. A refusal shows another coordinator at work. After one,
 * only pending targets with a fresh status count, because waiting for the
 * repeated calls to an unreachable target would delay the next round.
 */
static bool majority_is_possible(const failover_t *failover,
				 const bool *pending, clock_ms_t now_ms)
{
	uint32_t count = 0;
	bool refused = false;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++)
		refused |= failover->targets[i].refused;
	for (i = 0; i < failover->options.target_count; i++)
		count += failover->targets[i].fenced ||
			 (pending[i] &&
			  (!refused ||
			   failover_detect_fresh(failover, (group_index_t)i,
						 now_ms)));
	return count >= group_majority(failover->options.target_count);
}

/*
 * Repeats failed fence calls and, once a majority is fenced, promotes the
 * chosen target. If the chosen target is leaving, the other answers are awaited
 * up to probe_ms after the start of the round, since they can show that another
 * target has all acknowledged writes. Abandons the round when a majority can no
 * longer be fenced.
 */
void failover_fence_advance(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out)
{
	bool pending[GROUP_TARGETS_MAX];
	bool any_pending = false;
	group_index_t chosen;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		pending[i] = repeat_fence_call(failover, (group_index_t)i,
					       now_ms, out);
		any_pending |= pending[i];
	}
	if (!majority_is_possible(failover, pending, now_ms)) {
		failover_round_abandon(failover, now_ms, out);
		return;
	}
	chosen = choose_fenced(failover);
	if (chosen == GROUP_INDEX_NONE)
		return;
	if (failover->targets[chosen].fenced_status.leaving && any_pending &&
	    now_ms - failover->phase_at_ms < failover->options.probe_ms)
		return;
	failover_promote_begin(failover, chosen, now_ms, out);
}
