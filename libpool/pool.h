#ifndef HORNBEAMTACK_POOL_H
#define HORNBEAMTACK_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Connections of a target that no proxy counts on: surveys and changes of the
 * number of proxies. */
#define POOL_SPARE_CONNECTIONS 2
/* A connection that was not used for this long is closed, but for
 * POOL_IDLE_KEPT of a target. A new one takes 12 ms of a slot, so that one in 3
 * s is a small part of it. */
#define POOL_IDLE_TIMEOUT_MS 3000
#define POOL_IDLE_KEPT 1
/* A target counts the connections of an instance that lost its power for this
 * long. */
#define POOL_STALE_CONNECTION_MS 3000
/* First pause after a target has refused a connection because it has no room,
 * and the longest one: a part of POOL_STALE_CONNECTION_MS. */
#define POOL_BACKOFF_FIRST_MS 50
#define POOL_BACKOFF_MAX_MS 200

/* What the connections of one proxy to one target depend on. */
typedef struct {
	/* Accepted by the target from all proxies; 0: not known. */
	uint32_t target_limit;
	uint32_t proxies;
	/* Held by this proxy, and those of them that are not admitted yet. */
	uint32_t open;
	uint32_t opening;
	clock_ms_t started_ms;
	clock_ms_t now_ms;
} pool_view_t;

/* Refusals of one target. */
typedef struct {
	clock_ms_t delay_ms;
	clock_ms_t retry_at_ms;
} pool_backoff_t;

uint32_t pool_limit(const pool_view_t *view);
bool pool_may_open(const pool_backoff_t *backoff, const pool_view_t *view);
bool pool_is_surplus(const pool_view_t *view, clock_ms_t idle_ms);
void pool_admitted(pool_backoff_t *backoff);
void pool_refused(pool_backoff_t *backoff, clock_ms_t now_ms);

#endif
