#include "readiness.h"

static bool is_cut_off(const readiness_view_t *view)
{
	return view->now_ms >= view->confirmed_ms + READINESS_CUT_OFF_MS;
}

/*
 * Decides whether the balancer is to send callers to this proxy. One that is
 * cut off from the store and from a majority of the proxies can acknowledge no
 * write and soon serve no read, while the others can: its callers are better
 * served elsewhere. Returns true if the readiness has changed.
 */
bool readiness_update(readiness_t *readiness, const readiness_view_t *view)
{
	bool cut_off = is_cut_off(view);
	bool ready = view->configured && view->registered && !cut_off &&
		     view->draining_ms == 0;
	bool changed = ready != readiness->ready;

	readiness->ready = ready;
	if (view->draining_ms != 0)
		readiness->drain_since_ms = view->draining_ms;
	else if (!cut_off || !view->peer_check_enabled || !view->registered)
		readiness->drain_since_ms = 0;
	else if (readiness->drain_since_ms == 0)
		readiness->drain_since_ms = view->now_ms;
	return changed;
}

/*
 * Tells whether open sessions are to end as soon as they are idle. Before the
 * balancer has taken the proxy out, they would only come back.
 */
bool readiness_should_end_sessions(const readiness_t *readiness,
				   clock_ms_t now_ms)
{
	return readiness->drain_since_ms != 0 &&
	       now_ms >= readiness->drain_since_ms +
				 READINESS_BALANCER_REMOVAL_MS;
}
