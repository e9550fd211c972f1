#include "state.h"

/*
 * Returns true if the received status shows a later state of the target than
 * the stored one, although answers can arrive out of order. The promised term
 * of a target never falls, and a target that was promoted in a term stays the
 * primary of that term. Statuses that differ in neither are ordered by the time
 * of their requests.
 */
static bool is_newer_status(const failover_target_t *target,
			    const failover_event_t *event)
{
	const group_status_t *stored = &target->status;
	const group_status_t *received = &event->status;

	if (!target->has_status ||
	    received->promised_term > stored->promised_term)
		return true;
	if (received->promised_term < stored->promised_term)
		return false;
	return event->requested_at_ms >= target->requested_at_ms ||
	       (received->role == GROUP_ROLE_PRIMARY &&
		received->log_term > stored->log_term);
}

/*
 * Records the growth of a replica's log. A status with another promised term,
 * or of a primary, discards what was recorded.
 */
static void record_log_growth(failover_target_t *target,
			      const failover_event_t *event)
{
	const group_status_t *stored = &target->status;
	const group_status_t *received = &event->status;

	if (!target->has_status ||
	    received->promised_term != stored->promised_term ||
	    received->role != GROUP_ROLE_REPLICA)
		target->log_grown_at_ms = 0;
	else if (received->log_term > stored->log_term ||
		 (received->log_term == stored->log_term &&
		  received->position_bytes > stored->position_bytes))
		target->log_grown_at_ms = event->requested_at_ms;
}

/*
 * Stores the status of a target. A promised term above all terms seen before
 * and above that of the latest round of this observer shows a round of
 * another coordinator. No round is then started here for step_timeout_ms, so
 * that the other coordinator can finish.
 */
void failover_detect_record(failover_t *failover, const failover_event_t *event,
			    clock_ms_t now_ms)
{
	failover_target_t *target = &failover->targets[event->target];
	uint32_t promised = event->status.promised_term;

	if (is_newer_status(target, event)) {
		record_log_growth(target, event);
		target->status = event->status;
	}
	if (!target->has_status ||
	    event->requested_at_ms > target->requested_at_ms)
		target->requested_at_ms = event->requested_at_ms;
	target->has_status = true;
	target->probe_failed = false;
	target->connection_failed = false;
	target->connect_refusals = 0;
	if (promised <= failover->max_promised_term)
		return;
	failover->max_promised_term = promised;
	if (promised > failover->round_term)
		failover->hold_until_ms =
			now_ms + failover->options.step_timeout_ms;
}

/*
 * Returns true if the status of the target is fresh: requested less than
 * detect_ms ago, and not before the last abandoned round or pause of the
 * process.
 */
bool failover_detect_fresh(const failover_t *failover, group_index_t index,
			   clock_ms_t now_ms)
{
	const failover_target_t *target = &failover->targets[index];

	return target->has_status &&
	       now_ms - target->requested_at_ms < failover->options.detect_ms &&
	       target->requested_at_ms >= failover->valid_since_ms;
}

/*
 * Returns true if the status of a majority of the targets is fresh.
 */
bool failover_detect_majority(const failover_t *failover, clock_ms_t now_ms)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++)
		count += failover_detect_fresh(failover, (group_index_t)i,
					       now_ms);
	return count >= group_majority(failover->options.target_count);
}

static uint32_t log_term_max(const failover_t *failover)
{
	uint32_t term = 0;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		if (failover->targets[i].has_status &&
		    failover->targets[i].status.log_term > term)
			term = failover->targets[i].status.log_term;
	}
	return term;
}

/*
 * Returns the primary of the highest log term that any target reported, or
 * GROUP_INDEX_NONE if that primary is not known.
 */
group_index_t failover_detect_primary(const failover_t *failover)
{
	uint32_t term = log_term_max(failover);
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		const failover_target_t *target = &failover->targets[i];

		if (target->has_status && target->status.log_term == term &&
		    target->status.role == GROUP_ROLE_PRIMARY)
			return (group_index_t)i;
	}
	return GROUP_INDEX_NONE;
}

/*
 * Returns true if the log of a replica that has promised the latest term grew
 * within detect_ms. The primary of that term is then at work, even if this
 * observer cannot reach it.
 */
bool failover_detect_replication(const failover_t *failover, clock_ms_t now_ms)
{
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		const failover_target_t *target = &failover->targets[i];

		if (target->has_status && target->log_grown_at_ms != 0 &&
		    target->status.promised_term ==
			    failover->max_promised_term &&
		    now_ms - target->log_grown_at_ms <
			    failover->options.detect_ms)
			return true;
	}
	return false;
}

/*
 * Returns true if the status of every target is fresh, all logs are of the same
 * term and no target has promised a higher one. Two observers that replace
 * each other's primary never get true, because each of them cannot reach one
 * target.
 */
bool failover_detect_group_in_one_term(const failover_t *failover,
				       clock_ms_t now_ms)
{
	uint32_t term = failover->targets[0].status.log_term;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		const group_status_t *status = &failover->targets[i].status;

		if (!failover_detect_fresh(failover, (group_index_t)i,
					   now_ms) ||
		    status->log_term != term || status->promised_term > term)
			return false;
	}
	return true;
}

/*
 * Returns the highest term in the logs and promises of the targets and in the
 * rounds of this observer.
 */
uint32_t failover_detect_max_term(const failover_t *failover)
{
	uint32_t term = log_term_max(failover);

	if (failover->max_promised_term > term)
		term = failover->max_promised_term;
	return failover->round_term > term ? failover->round_term : term;
}

/*
 * Returns true if the target reports itself as leaving or an event marked it as
 * leaving.
 */
bool failover_detect_leaving(const failover_target_t *target)
{
	return target->leaving || target->status.leaving;
}

/*
 * Returns true if the primary is leaving and another target could replace it:
 * one with a fresh status that is not leaving and has a log of the primary's
 * term.
 */
static bool can_hand_over(const failover_t *failover, group_index_t primary,
			  clock_ms_t now_ms)
{
	uint32_t term = failover->targets[primary].status.log_term;
	uint32_t i;

	if (!failover_detect_leaving(&failover->targets[primary]))
		return false;
	for (i = 0; i < failover->options.target_count; i++) {
		const failover_target_t *target = &failover->targets[i];

		if (failover_detect_fresh(failover, (group_index_t)i, now_ms) &&
		    !failover_detect_leaving(target) &&
		    target->status.log_term == term)
			return true;
	}
	return false;
}

/*
 * Returns the time in ms since the latest answered request to the primary was
 * sent. The time before the process started or last resumed does not count,
 * because no requests were sent then.
 */
clock_ms_t failover_detect_silence(const failover_t *failover,
				   clock_ms_t now_ms)
{
	group_index_t primary = failover_detect_primary(failover);
	clock_ms_t heard_at_ms = failover->resumed_at_ms;

	if (primary != GROUP_INDEX_NONE &&
	    failover->targets[primary].requested_at_ms > heard_at_ms)
		heard_at_ms = failover->targets[primary].requested_at_ms;
	return now_ms - heard_at_ms;
}

/*
 * Returns why the group needs a new primary, or FAILOVER_REASON_NONE.
 */
failover_reason_t failover_detect_reason(const failover_t *failover,
					 clock_ms_t now_ms)
{
	group_index_t primary = failover_detect_primary(failover);

	if (failover_detect_silence(failover, now_ms) >=
	    failover->options.detect_ms)
		return FAILOVER_REASON_PRIMARY_LOST;
	if (primary == GROUP_INDEX_NONE)
		return FAILOVER_REASON_NONE;
	if (failover->targets[primary].connect_refusals >=
	    FAILOVER_CONNECT_REFUSALS_MIN)
		return FAILOVER_REASON_PRIMARY_LOST;
	if (failover->max_promised_term >
	    failover->targets[primary].status.log_term)
		return FAILOVER_REASON_UNFINISHED_TERM;
	return can_hand_over(failover, primary, now_ms)
		       ? FAILOVER_REASON_HANDOVER
		       : FAILOVER_REASON_NONE;
}
