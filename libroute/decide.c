#include "internal.h"

/*
 * Returns a refusal with the index of the primary, or GROUP_INDEX_NONE if the
 * primary is not known.
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
 * Returns the decision to serve the request at target. age_ms is the proved
 * age, or ROUTE_AGE_ANY. The term in the decision is 0 for a target whose
 * status is not known.
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
 * Decides about a write. It is refused at a primary that has promised a higher
 * term, or whose term is lower than one the session has seen: the write would
 * fail in group_guard() or never be confirmed.
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
 * Decides about a read by its staleness bound alone. If the proved age of the
 * target exceeds the bound, the decision is to wait until the target has
 * applied the newest known position of the primary. The wait is of use only if
 * that position is within the bound, and if the target lags by no more than the
 * bound and the time until the deadline. A target that lags by more than the
 * bound would again lag as much when it reaches the position.
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
 * of a term holds every acknowledged point up to that term, even if its latest
 * status does not show the point yet.
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
 * before the deadline. A primary of a lower term can't: it has been replaced,
 * and must first become a replica of the new primary.
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
 * Decides about a read by its staleness bound and by the point that the session
 * has seen. If one of them requires a refusal and the other a wait, the read is
 * refused. If both require a wait, it is for the later point.
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
 * Decides on behalf of the owner of target whether it should serve a request at
 * now_ms, wait for the target with group_wait() first, or refuse the request.
 * After a wait, the owner records the status that group_wait() returned and
 * calls this function again. A read without bounds is served even if the status
 * of the target is not known.
 */
route_decision_t route_decide(const route_evidence_t *evidence,
			      group_index_t target,
			      const route_request_t *request, clock_ms_t now_ms)
{
	const route_target_t *observed =
		route_evidence_target(evidence, target);

	if (!observed)
		return refuse(evidence, ROUTE_REFUSAL_NOT_PRIMARY);
	if (now_ms >= request->deadline_ms)
		return refuse(evidence, ROUTE_REFUSAL_DEADLINE);
	if (observed->leaving || (observed->known && observed->status.leaving))
		return refuse(evidence, ROUTE_REFUSAL_LEAVING);
	switch (request->kind) {
	case ROUTE_KIND_WRITE:
		return decide_write(evidence, target, request, now_ms);
	case ROUTE_KIND_READ:
		break;
	}
	return decide_read(evidence, target, request, now_ms);
}
