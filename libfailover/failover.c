#include <stdlib.h>

#include "state.h"

/*
 * Returns an observer of one group, which starts at now_ms and has no status
 * of any target. The options are copied. Returns NULL if target_count is not in
 * the range 1 to GROUP_TARGETS_MAX, if coordinator is 0 or without memory.
 */
failover_t *failover_new(const failover_options_t *options, clock_ms_t now_ms)
{
	failover_t *failover;

	if (options->target_count == 0 ||
	    options->target_count > GROUP_TARGETS_MAX ||
	    options->coordinator == 0)
		return NULL;
	failover = calloc(1, sizeof(*failover));
	if (!failover)
		return NULL;
	failover->options = *options;
	failover->next_id = 1;
	failover->stepped_at_ms = now_ms;
	failover->resumed_at_ms = now_ms;
	failover->phase = FAILOVER_PHASE_STEADY;
	failover->phase_at_ms = now_ms;
	failover->valid_since_ms = now_ms;
	failover->chosen = GROUP_INDEX_NONE;
	return failover;
}

/*
 * Frees the observer; NULL is allowed.
 */
void failover_free(failover_t *failover)
{
	free(failover);
}

/*
 * Returns what this observer knows of the group. The durations in ms are
 * those of its latest round: detect_spent_ms from the last answered request to
 * the old primary to the first fence call, fence_spent_ms from there to the
 * choice of the new primary, and promote_spent_ms from there to its promotion.
 * term is the term of the primary or, if primary is GROUP_INDEX_NONE, the
 * highest term seen.
 */
failover_view_t failover_view(const failover_t *failover)
{
	group_index_t primary = failover_detect_primary(failover);

	return (failover_view_t){
		.phase = failover->phase,
		.term = primary == GROUP_INDEX_NONE
				? failover_detect_max_term(failover)
				: failover->targets[primary].status.log_term,
		.primary = primary,
		.promotions = failover->promotions,
		.collisions = failover->collisions,
		.detect_spent_ms = failover->detect_spent_ms,
		.fence_spent_ms = failover->fence_spent_ms,
		.promote_spent_ms = failover->promote_spent_ms,
	};
}

/*
 * Returns the name of a phase, as log lines state it.
 */
const char *failover_phase_text(failover_phase_t phase)
{
	switch (phase) {
	case FAILOVER_PHASE_STEADY:
		return "steady";
	case FAILOVER_PHASE_SUSPECT:
		return "suspect";
	case FAILOVER_PHASE_FENCING:
		return "fencing";
	case FAILOVER_PHASE_PROMOTING:
		return "promoting";
	}
	return "unknown";
}
