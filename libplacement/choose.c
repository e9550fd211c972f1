#include "placement.h"

/*
 * Tells whether the replica is likely to have applied the required position: it
 * was seen at or past it, the position is older than its lag, or its lag is not
 * known any more. Answers the load of reads that are refused by replicas which
 * lag, and then wait for the primary.
 */
static bool is_caught_up(const placement_target_t *target,
			 const placement_constraints_t *constraints)
{
	if (constraints->required.term == 0 ||
	    log_position_compare(target->applied, constraints->required) >= 0)
		return true;
	return constraints->required_ms + target->lag_ms <
		       constraints->now_ms ||
	       target->applied_ms + PLACEMENT_LAG_MAX_AGE_MS <=
		       constraints->now_ms;
}

/*
 * Returns the expected time to an answer, in ms. A target that already runs as
 * many statements of this proxy as it has slots makes the next one wait.
 */
static double expected_ms(const placement_target_t *target, bool avoid_primary)
{
	double cost_ms = target->latency_ms > 0.0
				 ? target->latency_ms
				 : PLACEMENT_INITIAL_LATENCY_MS;

	cost_ms *= 1.0 + (double)target->in_flight /
				 (target->slots > 0 ? target->slots : 1);
	if (!target->same_domain)
		cost_ms += PLACEMENT_DOMAIN_COST_MS;
	if (target->is_primary && avoid_primary)
		cost_ms += PLACEMENT_PRIMARY_COST_MS;
	return cost_ms;
}

static bool may_run(const placement_target_t *target,
		    const placement_constraints_t *constraints)
{
	if (!target->usable)
		return false;
	if (target->is_primary)
		return constraints->primary_allowed;
	return !constraints->primary_only && constraints->replica_allowed &&
	       is_caught_up(target, constraints);
}

/*
 * Tells whether an operation may begin at a target beside the statements of
 * this proxy that are there. Answers the load of many proxies that together
 * hold far more connections to a target than it has slots: its queue fills, and
 * each statement of a transaction waits for all of it.
 */
bool placement_has_room(uint32_t slots, uint32_t in_flight, uint32_t proxies)
{
	uint32_t all = slots * PLACEMENT_STATEMENTS_PER_SLOT;

	if (proxies == 0)
		proxies = 1;
	return in_flight == 0 || in_flight < (all + proxies - 1) / proxies;
}

/*
 * Chooses the target of a statement: the least expected time among the targets
 * that may run it. Answers the load of reads that crowd on one replica while
 * others are idle. Returns the index, or PLACEMENT_NONE if no target may run
 * it.
 */
int placement_choose(const placement_constraints_t *constraints,
		     const placement_target_t *targets, size_t count)
{
	int chosen = PLACEMENT_NONE;
	double least_ms = 0.0;
	size_t i;

	for (i = 0; i < count; i++) {
		double cost_ms;

		if (!may_run(&targets[i], constraints))
			continue;
		cost_ms = expected_ms(&targets[i], !constraints->primary_only);
		if (chosen != PLACEMENT_NONE && cost_ms >= least_ms)
			continue;
		chosen = (int)i;
		least_ms = cost_ms;
	}
	return chosen;
}
