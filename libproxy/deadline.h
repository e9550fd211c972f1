#ifndef HORNBEAMTACK_PROXY_DEADLINE_H
#define HORNBEAMTACK_PROXY_DEADLINE_H

#include "libclock/clock.h"

/* The owner ends a statement this much before the entry proxy gives up, so
 * that its answer has time to arrive. */
#define PROXY_ANSWER_MARGIN_MS 20
/* A replica that is behind may take this long to catch up before the next
 * candidate is asked. */
#define PROXY_REPLICA_WAIT_MAX_MS 250

typedef enum {
	/* The last candidate, or a statement that is sent once. */
	PROXY_SHARE_WHOLE,
	/* The first attempt of a write with an idempotency key. */
	PROXY_SHARE_KEYED,
	/* A replica that is not the last candidate. */
	PROXY_SHARE_REPLICA,
} proxy_share_t;

clock_ms_t proxy_deadline_share(clock_ms_t left_ms, proxy_share_t share);

#endif
