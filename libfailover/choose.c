#include "state.h"

/* Returns the end of the log in a status. */
static group_point_t point_of(const group_status_t *status)
{
	return (group_point_t){ .term = status->log_term,
				.position_bytes = status->position_bytes };
}

/*
 * Returns true if the log of the target has every write that can have been
 * acknowledged. A write needs a majority to be acknowledged. Only targets with
 * a more advanced log and targets that were not fenced can hold a write past
 * the end of this log, so these must be fewer than a majority.
 */
static bool holds_acknowledged_writes(const group_status_t *statuses,
				      const bool *fenced, uint32_t target_count,
				      group_index_t target)
{
	group_point_t own = point_of(&statuses[target]);
	uint32_t holders = 0;
	uint32_t i;

	for (i = 0; i < target_count; i++) {
		if (!fenced[i] ||
		    group_point_compare(point_of(&statuses[i]), own) > 0)
			holders++;
	}
	return holders < group_majority(target_count);
}

/*
 * Returns the fenced target with the most advanced log, the lower index of
 * equal ones, or GROUP_INDEX_NONE. Leaving targets count only if with_leaving
 * is true.
 */
static group_index_t most_advanced(const group_status_t *statuses,
				   const bool *fenced, uint32_t target_count,
				   bool with_leaving)
{
	group_index_t best = GROUP_INDEX_NONE;
	uint32_t i;

	for (i = 0; i < target_count; i++) {
		if (!fenced[i] || (statuses[i].leaving && !with_leaving))
			continue;
		if (best == GROUP_INDEX_NONE ||
		    group_point_compare(point_of(&statuses[i]),
					point_of(&statuses[best])) > 0)
			best = (group_index_t)i;
	}
	return best;
}

/*
 * Returns the target to promote: the fenced target with the highest log_term,
 * then the highest position, then the lowest index. A leaving target is not
 * promoted if the most advanced of the other fenced targets has every write
 * that can have been acknowledged. statuses must come from the answers to the
 * fence calls, since a log can grow until the fence takes effect.
 *
 * Returns GROUP_INDEX_NONE if less than a majority is fenced.
 */
group_index_t failover_choose(const group_status_t *statuses,
			      const bool *fenced, uint32_t target_count)
{
	group_index_t staying;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < target_count; i++)
		count += fenced[i];
	if (count < group_majority(target_count))
		return GROUP_INDEX_NONE;
	staying = most_advanced(statuses, fenced, target_count, false);
	if (staying != GROUP_INDEX_NONE &&
	    holds_acknowledged_writes(statuses, fenced, target_count, staying))
		return staying;
	return most_advanced(statuses, fenced, target_count, true);
}
