#include "pool.h"

/*
 * Returns whether the target accepts fewer connections than there are proxies,
 * so that connections are opened for operations that wait and closed soon
 * after. If each proxy kept one, the first ones would hold all of them idle,
 * and the target would refuse the others.
 */
bool pool_is_on_demand(const pool_view_t *view)
{
	return view->target_limit > POOL_SPARE_CONNECTIONS &&
	       view->target_limit - POOL_SPARE_CONNECTIONS < view->proxies;
}

/*
 * Returns how many connections this proxy may hold to a target: an equal share
 * of the connections that the target accepts, without the spare ones, but at
 * least one. Connections on demand have a limit of their own.
 *
 * For POOL_STALE_CONNECTION_MS after its start, the proxy may hold only half of
 * its share, rounded up, so that other proxies find room as well. After all
 * instances have lost power, the targets still count the old connections while
 * the new processes connect.
 */
uint32_t pool_limit(const pool_view_t *view)
{
	uint32_t share;

	if (view->target_limit <= POOL_SPARE_CONNECTIONS)
		return 1;
	if (pool_is_on_demand(view))
		return POOL_ON_DEMAND_LIMIT;
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
	if (pool_is_on_demand(view))
		return idle_ms >= POOL_ON_DEMAND_IDLE_MS;
	return view->open > pool_limit(view) ||
	       (view->open > POOL_IDLE_KEPT && idle_ms >= POOL_IDLE_TIMEOUT_MS);
}

/*
 * Returns whether an idle connection may be closed to make room for one of
 * another tenant, of which a session has waited for waited_ms. A connection
 * that has just been opened is left to its tenant, because otherwise two
 * tenants could replace each other's connections without using them.
 */
bool pool_may_replace(const pool_idle_t *idle, clock_ms_t waited_ms)
{
	if (!idle->wanted)
		return true;
	return idle->used && waited_ms >= POOL_TURN_MS;
}

/*
 * Returns whether a connection is closed rather than another one: one that no
 * session waits for, then the one that has been idle for longest.
 */
bool pool_replaced_before(const pool_idle_t *idle, const pool_idle_t *other)
{
	if (idle->wanted != other->wanted)
		return !idle->wanted;
	return idle->idle_ms > other->idle_ms;
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
