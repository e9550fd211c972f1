#include "internal.h"

/*
 * Returns whether the log behind status holds point. In a log of a later term
 * the history must name the point's own term: the end of another term says
 * nothing about it, because a log may have skipped the term altogether. A term
 * that is no longer in the history therefore does not count.
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
 * Returns how many targets report log_term and hold point without a promise to
 * a higher term.
 *
 * A target with such a promise may have received point only after the promise,
 * while it catches up with a later primary. The promotion that it promised may
 * then have been decided without point.
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
 * Returns whether no later promotion can lose the committed write at point: a
 * majority of the targets holds it in logs of one and the same term and had, at
 * that time, promised no higher one. Each later promotion then needs a promise
 * of one of these targets, which has point by then.
 *
 * Reports from logs of different terms are not added up. With five targets, a
 * target of a term in between that does not hold the point can still win a
 * promotion against those that hold it in the lower term.
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
