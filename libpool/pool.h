#ifndef HORNBEAMTACK_POOL_H
#define HORNBEAMTACK_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Connections of a target that are not shared out among the proxies. They leave
 * room for surveys and for times when the number of proxies changes. */
#define POOL_SPARE_CONNECTIONS 2
/* A connection that has been idle for this long is closed. Opening a new one
 * occupies a slot of the target for 12 ms, which is little once in 3 s. */
#define POOL_IDLE_TIMEOUT_MS 3000
/* Connections to each target that the idle timeout does not close. */
#define POOL_IDLE_KEPT 1
/* Time for which a target still counts the connections of an instance that has
 * lost power. */
#define POOL_STALE_CONNECTION_MS 3000
/* First and longest backoff delay after a target has refused a connection
 * because it has no room. The longest delay is short against
 * POOL_STALE_CONNECTION_MS, after which stale connections make room. */
#define POOL_BACKOFF_FIRST_MS 50
#define POOL_BACKOFF_MAX_MS 200

/* Where a target accepts fewer connections than there are proxies, no proxy
 * keeps one. Each opens up to this many while operations wait for them; 3
 * suffice for the operations of one proxy at one target, and the other proxies
 * find room. */
#define POOL_ON_DEMAND_LIMIT 3
/* Such a connection is closed when it has been idle for this long: 90 proxies
 * with one operation a second each at a target then leave 9 idle. */
#define POOL_ON_DEMAND_IDLE_MS 100

/* State that decides how many connections this proxy may hold to one target. */
typedef struct {
	/* Connections that the target accepts from all proxies together; 0 if
	 * not known. */
	uint32_t target_limit;
	/* Number of proxies; 0 if not known. */
	uint32_t proxies;
	/* Connections of this proxy, including those being opened. */
	uint32_t open;
	/* Connections of this proxy that the target has not admitted yet. */
	uint32_t opening;
	/* Start of this proxy. */
	clock_ms_t started_ms;
	clock_ms_t now_ms;
} pool_view_t;

/* Backoff after a target has refused a connection. */
typedef struct {
	/* Current delay; 0 if the last attempt was not refused. */
	clock_ms_t delay_ms;
	/* Earliest time of the next attempt. */
	clock_ms_t retry_at_ms;
} pool_backoff_t;

bool pool_is_on_demand(const pool_view_t *view);
/* A session that has waited for this long gets the connection of a tenant that
 * still has use for it. Opening one takes about a quarter of this time, so that
 * most of a target's time is left for statements. */
#define POOL_TURN_MS 50

/* An idle connection of another tenant than the one that needs room. */
typedef struct {
	clock_ms_t idle_ms;
	/* A session has used it. */
	bool used;
	/* Sessions of its tenant wait for a connection. */
	bool wanted;
} pool_idle_t;

uint32_t pool_limit(const pool_view_t *view);
bool pool_may_open(const pool_backoff_t *backoff, const pool_view_t *view);
bool pool_is_surplus(const pool_view_t *view, clock_ms_t idle_ms);
bool pool_may_replace(const pool_idle_t *idle, clock_ms_t waited_ms);
bool pool_replaced_before(const pool_idle_t *idle, const pool_idle_t *other);
void pool_admitted(pool_backoff_t *backoff);
void pool_refused(pool_backoff_t *backoff, clock_ms_t now_ms);

#endif
