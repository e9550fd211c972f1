#include "readiness.h"

static bool is_cut_off(const readiness_view_t *view)
{
	return view->now_ms >= view->confirmed_ms + READINESS_CUT_OFF_MS;
}

/*
 * Updates whether the load balancer should send callers to this proxy, and
 * whether its sessions should move to other proxies. Returns true if the
 * readiness has changed.
 *
 * A proxy that is cut off from the store and from a majority of the proxies
 * cannot acknowledge writes and soon cannot serve reads, while the other
 * proxies can. Sessions are moved only if the proxies ask each other, because
 * otherwise all of them might be cut off from the store.
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
 * Returns whether open sessions should be ended as soon as they are idle.
 * Before the load balancer has removed the proxy, it would only send their
 * callers back to it.
 */
bool readiness_should_end_sessions(const readiness_t *readiness,
				   clock_ms_t now_ms)
{
	return readiness->drain_since_ms != 0 &&
	       now_ms >= readiness->drain_since_ms +
				 READINESS_BALANCER_REMOVAL_MS;
}
