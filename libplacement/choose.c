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
 * Returns the mean latency of the targets that have been measured, in ms.
 */
static double mean_latency_ms(const placement_target_t *targets, size_t count)
{
	double sum_ms = 0.0;
	size_t measured = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (targets[i].news.latency_ms <= 0.0)
			continue;
		sum_ms += targets[i].news.latency_ms;
		measured++;
	}
	return measured > 0 ? sum_ms / (double)measured
			    : PLACEMENT_INITIAL_LATENCY_MS;
}

/*
 * Returns how much the measurements of a target still count, from 1 for new
 * ones to 0 for those of PLACEMENT_NEWS_MAX_AGE_MS ago.
 */
static double news_weight(const placement_news_t *news, clock_ms_t now_ms)
{
	clock_ms_t age_ms = now_ms - news->updated_ms;

	if (age_ms >= PLACEMENT_NEWS_MAX_AGE_MS)
		return 0.0;
	return age_ms <= 0 ? 1.0
			   : 1.0 - (double)age_ms / PLACEMENT_NEWS_MAX_AGE_MS;
}

/*
 * Returns the expected cost of running a statement at a target, in ms. The cost
 * is the latency of the target, raised in proportion to the statements per slot
 * that this proxy already runs there, because a further statement may have to
 * wait for a slot, and the cost of its failures. Old measurements count less
 * than mean_ms, the mean latency of the group. A target in another failure
 * domain and, if avoid_primary is set, the primary have a surcharge.
 */
static double target_cost_ms(const placement_target_t *target, double mean_ms,
			     bool avoid_primary, clock_ms_t now_ms)
{
	const placement_news_t *news = &target->news;
	double weight = news_weight(news, now_ms);
	double cost_ms = news->latency_ms > 0.0 ? news->latency_ms
						: PLACEMENT_INITIAL_LATENCY_MS;

	if (news->latency_ms > 0.0)
		cost_ms = mean_ms + (cost_ms - mean_ms) * weight;
	cost_ms *= 1.0 + (double)target->in_flight /
				 (target->slots > 0 ? target->slots : 1);
	cost_ms += PLACEMENT_FAILURE_COST_MS * news->failure_ratio * weight;
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
 * Returns true if so many proxies choose among the targets that each of them
 * has less than one statement at a target: its own statements then say nothing
 * of the target's load.
 */
static bool has_many_choosers(const placement_target_t *target,
			      uint32_t proxies)
{
	return proxies > target->slots * PLACEMENT_STATEMENTS_PER_SLOT;
}

/*
 * Chooses a target among those that may run a statement under the constraints:
 * the one with the lowest cost. The cost includes the statements in flight, so
 * that reads do not pile up at one replica while others are idle.
 *
 * Where many proxies choose, one of the targets whose costs are nearly the
 * lowest is taken by random, so that proxies with similar measurements do not
 * all choose the same one.
 *
 * Returns the index of the target, or PLACEMENT_NONE if no target may run the
 * statement.
 */
int placement_choose(const placement_constraints_t *constraints,
		     const placement_target_t *targets, size_t count,
		     uint64_t random)
{
	double mean_ms = mean_latency_ms(targets, count);
	double limit_ms = 0.0;
	int chosen = PLACEMENT_NONE;
	uint64_t ties = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		double cost_ms;

		if (!may_run(&targets[i], constraints))
			continue;
		cost_ms = target_cost_ms(&targets[i], mean_ms,
					 !constraints->primary_only,
					 constraints->now_ms);
		if (chosen != PLACEMENT_NONE && cost_ms >= limit_ms)
			continue;
		chosen = (int)i;
		limit_ms = cost_ms;
	}
	if (chosen == PLACEMENT_NONE ||
	    !has_many_choosers(&targets[chosen], constraints->proxies))
		return chosen;
	limit_ms *= PLACEMENT_TIE_RATIO;
	for (i = 0; i < count; i++) {
		if (!may_run(&targets[i], constraints) ||
		    target_cost_ms(&targets[i], mean_ms,
				   !constraints->primary_only,
				   constraints->now_ms) > limit_ms)
			continue;
		/* Keeps each of the ties with the same probability. */
		if (random % ++ties == 0)
			chosen = (int)i;
		random /= ties;
	}
	return chosen;
}
