#include "internal.h"

/*
 * Returns a refusal that carries the primary, as far as it is known.
 */
static route_decision_t refuse(const route_evidence_t *evidence,
			       route_refusal_t reason)
{
	route_decision_t decision = { .kind = ROUTE_DECISION_REFUSE };
	uint32_t term;

	decision.u.refuse.reason = reason;
	if (route_evidence_primary(evidence, &term,
				   &decision.u.refuse.primary) != ROUTE_OK)
		decision.u.refuse.primary = GROUP_INDEX_NONE;
	return decision;
}

static route_decision_t wait_until(group_point_t until)
{
	route_decision_t decision = { .kind = ROUTE_DECISION_WAIT };

	decision.u.wait.until = until;
	return decision;
}

/*
 * Returns the decision to serve at target. age_ms is what is proved, or
 * ROUTE_AGE_ANY. The term is 0 for a target without evidence.
 */
static route_decision_t serve(const route_evidence_t *evidence,
			      group_index_t target, clock_ms_t age_ms)
{
	const group_status_t *status = route_evidence_status(evidence, target);
	route_decision_t decision = { .kind = ROUTE_DECISION_SERVE };
	group_index_t primary;
	uint32_t term;

	decision.u.serve.term = status ? status->log_term : 0;
	decision.u.serve.primary =
		route_evidence_primary(evidence, &term, &primary) == ROUTE_OK &&
		primary == target;
	decision.u.serve.age_ms = age_ms;
	return decision;
}

/*
 * Decides about a write. A primary that has promised a higher term, or that is
 * of a lower term than the session has seen, would only fail in group_guard()
 * or never be confirmed.
 */
static route_decision_t decide_write(const route_evidence_t *evidence,
				     group_index_t target,
				     const route_request_t *request,
				     clock_ms_t now_ms)
{
	group_index_t primary;
	uint32_t term;

	if (route_evidence_primary(evidence, &term, &primary) != ROUTE_OK ||
	    request->seen.term > term)
		return refuse(evidence, ROUTE_REFUSAL_NO_PRIMARY);
	if (primary != target)
		return refuse(evidence, ROUTE_REFUSAL_NOT_PRIMARY);
	if (route_evidence_status(evidence, target)->promised_term > term)
		return refuse(evidence, ROUTE_REFUSAL_NO_PRIMARY);
	if (!route_evidence_quorum(evidence, now_ms))
		return refuse(evidence, ROUTE_REFUSAL_NO_QUORUM);
	return serve(evidence, target, ROUTE_AGE_ANY);
}

/*
 * Decides by the stated age alone. A wait until the primary's newest known
 * position helps only if that position is new enough and if the target is
 * behind by no more than the stated age: one that is further behind is as far
 * behind again once it gets there.
 */
static route_decision_t decide_age(const route_evidence_t *evidence,
				   group_index_t target,
				   const route_request_t *request,
				   clock_ms_t now_ms)
{
	const group_status_t *status = route_evidence_status(evidence, target);
	clock_ms_t age_ms;
	clock_ms_t best_ms;
	clock_ms_t lag_ms;

	if (request->max_age_ms < 0)
		return serve(evidence, target, ROUTE_AGE_ANY);
	if (route_evidence_age(evidence, target, now_ms, &age_ms) == ROUTE_OK &&
	    age_ms <= request->max_age_ms)
		return serve(evidence, target, age_ms);
	if (route_age_best(evidence, now_ms, &best_ms) != ROUTE_OK || !status ||
	    status->log_term != evidence->sample_term)
		return refuse(evidence, ROUTE_REFUSAL_AGE_NOT_PROVED);
	if (best_ms > request->max_age_ms ||
	    !route_age_lag(evidence, target, &lag_ms) ||
	    lag_ms > request->max_age_ms ||
	    lag_ms > request->deadline_ms - now_ms)
		return refuse(evidence, ROUTE_REFUSAL_TOO_OLD);
	return wait_until((group_point_t){
		.term = evidence->sample_term,
		.position_bytes = evidence->samples[evidence->sample_count - 1]
					  .position_bytes,
	});
}

/*
 * Returns whether target has applied all that the session has seen. The primary
 * of a term holds every acknowledged point up to that term, also those that it
 * has not reported yet.
 */
static bool has_reached(const route_evidence_t *evidence, group_index_t target,
			group_point_t seen)
{
	const group_status_t *status = route_evidence_status(evidence, target);
	group_index_t primary;
	uint32_t term;

	if (seen.term == 0)
		return true;
	if (!status)
		return false;
	if (route_evidence_primary(evidence, &term, &primary) == ROUTE_OK &&
	    primary == target && seen.term <= term)
		return true;
	return status->applied_bytes >= group_required_position(status, seen);
}

/*
 * Returns whether target can be expected to reach what the session has seen
 * before the deadline. A primary of a lower term does not: it has been
 * replaced, and it first has to be made to follow.
 */
static bool may_reach(const route_evidence_t *evidence, group_index_t target,
		      const route_request_t *request, clock_ms_t now_ms)
{
	const group_status_t *status = route_evidence_status(evidence, target);
	clock_ms_t lag_ms;

	if (status && status->role == GROUP_ROLE_PRIMARY &&
	    status->log_term < request->seen.term)
		return false;
	return route_age_lag(evidence, target, &lag_ms) &&
	       lag_ms <= request->deadline_ms - now_ms;
}

/*
 * Decides about a read. A refusal for one of the bounds comes before a wait for
 * the other; if both need a wait, it is until the later point.
 */
static route_decision_t decide_read(const route_evidence_t *evidence,
				    group_index_t target,
				    const route_request_t *request,
				    clock_ms_t now_ms)
{
	route_decision_t decision =
		decide_age(evidence, target, request, now_ms);

	if (decision.kind == ROUTE_DECISION_REFUSE ||
	    has_reached(evidence, target, request->seen))
		return decision;
	if (!may_reach(evidence, target, request, now_ms))
		return refuse(evidence, ROUTE_REFUSAL_POSITION_NOT_REACHED);
	if (decision.kind == ROUTE_DECISION_WAIT &&
	    group_point_compare(decision.u.wait.until, request->seen) > 0)
		return decision;
	return wait_until(request->seen);
}

/*
 * Decides, for the owner of target, whether the target serves a request at
 * now_ms, should first be waited for with group_wait(), or refuses. After a
 * wait, the owner records the status and asks again. A read without bounds is
 * served even by a target without evidence.
 */
route_decision_t route_decide(const route_evidence_t *evidence,
			      group_index_t target,
			      const route_request_t *request, clock_ms_t now_ms)
{
	const route_target_t *kept = route_evidence_target(evidence, target);

	if (!kept)
		return refuse(evidence, ROUTE_REFUSAL_NOT_PRIMARY);
	if (now_ms >= request->deadline_ms)
		return refuse(evidence, ROUTE_REFUSAL_DEADLINE);
	if (kept->leaving || (kept->known && kept->status.leaving))
		return refuse(evidence, ROUTE_REFUSAL_LEAVING);
	switch (request->kind) {
	case ROUTE_KIND_WRITE:
		return decide_write(evidence, target, request, now_ms);
	case ROUTE_KIND_READ:
		break;
	}
	return decide_read(evidence, target, request, now_ms);
}
