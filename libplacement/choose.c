#include "placement.h"

/*
 * Returns whether a replica has probably applied the required position. This is
 * so if its last answer showed that position or a later one, if the primary had
 * the position longer ago than the replica lags, or if the last measurement of
 * the lag is too old to rely on. Without this check, lagging replicas would
 * refuse many reads, which then would have to wait for the primary.
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
 * Returns the cost of running a statement at a target, in ms. The cost is the
 * latency of the target, raised in proportion to the statements per slot that
 * this proxy already runs there, because a further statement may have to wait
 * for a slot. A target in another failure domain and, if avoid_primary is set,
 * the primary have a surcharge.
 */
static double target_cost_ms(const placement_target_t *target,
			     bool avoid_primary)
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
 * Returns whether this proxy may start another operation at a target with the
 * given number of slots, where in_flight of its statements are already in
 * execution. Each proxy gets an equal share, rounded up, of
 * PLACEMENT_STATEMENTS_PER_SLOT statements per slot, and at least one
 * statement.
 *
 * Many proxies together hold far more connections to a target than it has
 * slots. Without the limit they would fill the target's queue, and each
 * statement of a transaction would wait for the whole queue.
 */
bool placement_has_room(uint32_t slots, uint32_t in_flight, uint32_t proxies)
{
	uint32_t all = slots * PLACEMENT_STATEMENTS_PER_SLOT;

	if (proxies == 0)
		proxies = 1;
	return in_flight == 0 || in_flight < (all + proxies - 1) / proxies;
}

/*
 * Chooses the target with the lowest cost among those that may run a statement
 * under the constraints. The cost includes the statements in flight, so that
 * reads do not pile up at one replica while others are idle.
 *
 * Returns the index of the target, or PLACEMENT_NONE if no target may run the
 * statement.
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
		cost_ms =
			target_cost_ms(&targets[i], !constraints->primary_only);
		if (chosen != PLACEMENT_NONE && cost_ms >= least_ms)
			continue;
		chosen = (int)i;
		least_ms = cost_ms;
	}
	return chosen;
}
