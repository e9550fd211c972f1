#include "internal.h"

#include <stdlib.h>
#include <xxhash.h>

/* Time for which a target comes after the others after a failure or refusal. It
 * is half the time after which membership declares an owner dead, so that a
 * dead owner is tried about twice, and a replica that refused a read because of
 * its lag is soon tried again. */
#define FAILED_RECENTLY_MS 1000

typedef struct {
	group_index_t target;
	uint32_t rank;
	uint32_t in_flight;
	uint64_t tie_breaker;
} candidate_t;

/*
 * Compares candidates for qsort() by rank, then by statements in flight, then
 * by the random tie breaker.
 */
static int compare_candidates(const void *a, const void *b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->in_flight != right->in_flight)
		return left->in_flight < right->in_flight ? -1 : 1;
	return (left->tie_breaker > right->tie_breaker) -
	       (left->tie_breaker < right->tie_breaker);
}

/*
 * Returns the part of a target's rank that depends on its availability: 0 for
 * an available target, and more for a target that failed recently, whose owner
 * is not known, or that is leaving, in this order. The steps exceed all other
 * differences in rank.
 */
static uint32_t failure_rank(const route_candidate_t *target, clock_ms_t now_ms)
{
	if (target->leaving)
		return 30;
	if (!target->owner_known)
		return 20;
	if (target->failed_at_ms != 0 &&
	    now_ms - target->failed_at_ms < FAILED_RECENTLY_MS)
		return 10;
	return 0;
}

/*
 * Returns the rank of a target for a request; lower ranks are tried first. A
 * write goes to the known primary, then to the other targets, whose answers
 * name the primary. A read goes to replicas in the entry proxy's own failure
 * domain, then to other replicas, then to the primary, which is kept free for
 * writes.
 */
static uint32_t request_rank(const route_view_t *view, group_index_t target,
			     route_kind_t kind, clock_ms_t now_ms)
{
	const route_candidate_t *candidate = &view->targets[target];
	uint32_t failure = failure_rank(candidate, now_ms);

	if (kind == ROUTE_KIND_WRITE)
		return target == view->primary ? 0 : failure + 1;
	if (target == view->primary)
		return failure + 2;
	return failure + (candidate->same_domain ? 0 : 1);
}

/*
 * Returns whether a target is no candidate because it is leaving. A write is
 * sent to leaving targets only while the primary is not known. A read may
 * always be sent to the primary, even if the primary is leaving.
 */
static bool is_excluded(const route_view_t *view, group_index_t target,
			route_kind_t kind)
{
	if (!view->targets[target].leaving)
		return false;
	if (kind == ROUTE_KIND_WRITE)
		return view->primary != GROUP_INDEX_NONE;
	return target != view->primary;
}

/*
 * Writes the targets that an entry proxy should try for a request to order, the
 * best first. random breaks ties, so that different entry proxies spread their
 * reads. The deadline and the bounds of the request are not taken into account,
 * as the owners of the targets check them.
 *
 * Returns the number of candidates, which is 0 if the view has more targets
 * than GROUP_TARGETS_MAX.
 */
uint32_t route_order(const route_view_t *view, const route_request_t *request,
		     clock_ms_t now_ms, uint64_t random,
		     group_index_t order[GROUP_TARGETS_MAX])
{
	candidate_t candidates[GROUP_TARGETS_MAX];
	uint32_t count = 0;
	uint32_t i;

	if (view->target_count > GROUP_TARGETS_MAX)
		return 0;
	for (i = 0; i < view->target_count; i++) {
		group_index_t target = (group_index_t)i;

		if (is_excluded(view, target, request->kind))
			continue;
		candidates[count++] = (candidate_t){
			.target = target,
			.rank = request_rank(view, target, request->kind,
					     now_ms),
			.in_flight = view->targets[i].in_flight,
			.tie_breaker =
				XXH3_64bits_withSeed(&i, sizeof(i), random),
		};
	}
	qsort(candidates, count, sizeof(candidates[0]), compare_candidates);
	for (i = 0; i < count; i++)
		order[i] = candidates[i].target;
	return count;
}
