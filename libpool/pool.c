#include "pool.h"

/*
 * Returns how many connections this proxy may hold to a target: an equal share
 * of the connections that the target accepts, without the spare ones, but at
 * least one.
 *
 * For POOL_STALE_CONNECTION_MS after its start, the proxy may hold only half of
 * its share, rounded up, so that other proxies find room as well. After all
 * instances have lost power, the targets still count the old connections while
 * the new processes connect.
 *
 * Where the connections have owners, the limit is what this proxy owns.
 */
uint32_t pool_limit(const pool_view_t *view)
{
	uint32_t share;

	if (view->has_owners)
		return view->owned;
	if (view->target_limit <= POOL_SPARE_CONNECTIONS)
		return 1;
	share = (view->target_limit - POOL_SPARE_CONNECTIONS) /
		(view->proxies > 0 ? view->proxies : 1);
	if (view->now_ms < view->started_ms + POOL_STALE_CONNECTION_MS)
		share = (share + 1) / 2;
	return share > 0 ? share : 1;
}

/*
 * Returns whether this proxy may open another connection to a target. After a
 * refusal, it opens one connection at a time, each after a backoff delay, until
 * the target admits one.
 */
bool pool_may_open(const pool_backoff_t *backoff, const pool_view_t *view)
{
	if (backoff->delay_ms > 0 &&
	    (view->opening > 0 || view->now_ms < backoff->retry_at_ms))
		return false;
	return view->open < pool_limit(view);
}

/*
 * Returns whether a connection that has been idle for idle_ms should be closed,
 * because this proxy holds more than its share or the idle timeout has passed.
 *
 * Connections are scarce. A proxy that holds more than its share takes them
 * from a proxy that has just started, and the targets count the connections of
 * a lost instance for seconds.
 */
bool pool_is_surplus(const pool_view_t *view, clock_ms_t idle_ms)
{
	return view->open > pool_limit(view) ||
	       (view->open > POOL_IDLE_KEPT && idle_ms >= POOL_IDLE_TIMEOUT_MS);
}

/*
 * Ends the backoff, as the target has admitted a connection.
 */
void pool_admitted(pool_backoff_t *backoff)
{
	backoff->delay_ms = 0;
	backoff->retry_at_ms = 0;
}

/*
 * Starts or extends the backoff, as the target had no room for a connection.
 * Each further refusal doubles the delay, because a refused attempt costs both
 * ends and there is room only after another connection has ended.
 */
void pool_refused(pool_backoff_t *backoff, clock_ms_t now_ms)
{
	backoff->delay_ms = clock_backoff_next(
		backoff->delay_ms, POOL_BACKOFF_FIRST_MS, POOL_BACKOFF_MAX_MS);
	backoff->retry_at_ms = now_ms + backoff->delay_ms;
}
