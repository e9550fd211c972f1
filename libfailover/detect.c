#include "state.h"

/*
 * Returns true if the new status describes a later state of the target than the
 * stored one. Promises never fall and a promotion is final in its term, which
 * orders answers that arrive out of order; the rest goes by the time of the
 * request.
 */
static bool is_newer_status(const failover_target_t *target,
			    const failover_event_t *event)
{
	const group_status_t *old = &target->status;
	const group_status_t *new = &event->status;

	if (!target->has_status || new->promised_term > old->promised_term)
		return true;
	if (new->promised_term < old->promised_term)
		return false;
	return event->requested_at_ms >= target->requested_at_ms ||
	       (new->role ==
		GROUP_ROLE_PRIMARY &&new->log_term > old->log_term);
}

/* Notes whether the log of a replica has grown in one and the same term. */
static void record_log_growth(failover_target_t *target,
			      const failover_event_t *event)
{
	const group_status_t *old = &target->status;
	const group_status_t *new = &event->status;

	if (!target->has_status || new->promised_term != old->promised_term ||
	    new->role != GROUP_ROLE_REPLICA)
		target->log_grown_at_ms = 0;
	else if (new->log_term > old->log_term ||
		 (new->log_term ==
		  old->log_term &&new->position_bytes > old->position_bytes))
		target->log_grown_at_ms = event->requested_at_ms;
}

/*
 * Stores the status of a target. If it shows a promise to another coordinator
 * that is newer than all seen before, rounds of this observer are held back for
 * step_timeout_ms so that the other one can finish.
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
 * Returns true if a status of the target was requested within detect_ms and
 * since the last round was abandoned.
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
 * Returns true if a majority of the targets has fresh evidence.
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
 * within detect_ms: its primary is at work, even if this observer does not
 * reach it.
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
 * Returns true if this observer has fresh evidence of every target, all with
 * logs of one and the same term and no promise beyond it. Two observers that
 * replace each other's primary never see this: each of them misses a target.
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
 * Returns the highest term that was seen in a log or a promise, or used by this
 * observer.
 */
uint32_t failover_detect_max_term(const failover_t *failover)
{
	uint32_t term = log_term_max(failover);

	if (failover->max_promised_term > term)
		term = failover->max_promised_term;
	return failover->round_term > term ? failover->round_term : term;
}

/*
 * Returns true if the target reports that it is leaving, or an event said so.
 */
bool failover_detect_leaving(const failover_target_t *target)
{
	return target->leaving || target->status.leaving;
}

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
 * Returns for how many ms the primary has been silent. This is counted from the
 * start or the last resumption of this process at the earliest, since nothing
 * was asked before.
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
 * Returns why the group needs a new primary, if it does.
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
