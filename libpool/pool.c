#include "pool.h"

/*
 * Returns how many connections a proxy may hold to a target: an equal share of
 * those that the target accepts. Answers the load after all instances have lost
 * power: their connections still count at the targets while new processes
 * connect, so that a process takes half of its share at first and the others
 * find room as well.
 */
uint32_t pool_limit(const pool_view_t *view)
{
	uint32_t share;

	if (view->target_limit <= POOL_SPARE)
		return 1;
	share = (view->target_limit - POOL_SPARE) /
		(view->proxies > 0 ? view->proxies : 1);
	if (view->now_ms < view->started_ms + POOL_LOST_PEER_MS)
		share = (share + 1) / 2;
	return share > 0 ? share : 1;
}

/*
 * Tells whether a further connection may be opened beside the open ones. After
 * a refusal, one at a time finds out whether there is room again.
 */
bool pool_may_open(const pool_t *pool, const pool_view_t *view)
{
	if (pool->pause_ms > 0 &&
	    (view->opening > 0 || view->now_ms < pool->paused_until_ms))
		return false;
	return view->open < pool_limit(view);
}

/*
 * Tells whether a connection that has been idle for idle_ms is to be closed.
 * Connections are scarce: what a proxy holds above its share, another one that
 * has just come lacks, and the targets count those of a lost instance for
 * seconds.
 */
bool pool_is_surplus(const pool_view_t *view, clock_ms_t idle_ms)
{
	return view->open > pool_limit(view) ||
	       (view->open > POOL_KEEP && idle_ms >= POOL_IDLE_MS);
}

/*
 * Notes that the target has admitted a connection.
 */
void pool_admitted(pool_t *pool)
{
	pool->pause_ms = 0;
	pool->paused_until_ms = 0;
}

/*
 * Notes that the target has no room for a connection. Each further refusal
 * doubles the pause: a refused attempt costs both ends, and room comes only
 * when another connection ends.
 */
void pool_refused(pool_t *pool, clock_ms_t now_ms)
{
	pool->pause_ms = clock_backoff_next(pool->pause_ms, POOL_PAUSE_MS,
					    POOL_PAUSE_MAX_MS);
	pool->paused_until_ms = now_ms + pool->pause_ms;
}
