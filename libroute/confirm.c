#include "internal.h"

/*
 * Returns whether the log that status describes holds point.
 *
 * A log of a later term holds point only if its history lists the term of the
 * point with an end at or after it. The end of another term proves nothing,
 * because the log may not contain the term of the point at all. A term that has
 * been dropped from the history therefore does not count.
 */
static bool contains_point(const group_status_t *status, group_point_t point)
{
	uint32_t i;

	if (status->position_bytes < point.position_bytes)
		return false;
	if (status->log_term == point.term)
		return true;
	for (i = 0; i < status->history_count; i++) {
		if (status->history[i].term == point.term)
			return status->log_term > point.term &&
			       status->history[i].position_bytes >=
				       point.position_bytes;
	}
	return false;
}

/*
 * Returns how many targets have a log of log_term that holds point, and have
 * not promised a higher term.
 *
 * A target that has promised a higher term may have received point only after
 * its promise, while it was catching up with a later primary. The promotion to
 * that higher term may then have been decided without point.
 */
static uint32_t count_holders(const route_evidence_t *evidence,
			      uint32_t log_term, group_point_t point)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < evidence->options.target_count; i++) {
		const route_target_t *observed = &evidence->targets[i];

		if (observed->known && observed->status.log_term == log_term &&
		    observed->status.promised_term <= log_term &&
		    contains_point(&observed->status, point))
			count++;
	}
	return count;
}

/*
 * Returns whether the committed write at point is safe from any later
 * promotion: a majority of the targets holds it in logs of the same term and
 * had not promised a higher term by then. Each later promotion needs a promise
 * of one of these targets, which holds point when it makes the promise.
 *
 * Logs of different terms are not counted together. With five targets, a target
 * that does not hold point, but whose log is of a term in between, can still
 * win a promotion against the targets that hold point in the lower term.
 */
bool route_evidence_confirmed(const route_evidence_t *evidence,
			      group_point_t point)
{
	uint32_t majority = group_majority(evidence->options.target_count);
	uint32_t i;

	for (i = 0; i < evidence->options.target_count; i++) {
		const route_target_t *observed = &evidence->targets[i];

		if (observed->known &&
		    count_holders(evidence, observed->status.log_term, point) >=
			    majority)
			return true;
	}
	return false;
}
