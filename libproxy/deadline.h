#ifndef HORNBEAMTACK_PROXY_DEADLINE_H
#define HORNBEAMTACK_PROXY_DEADLINE_H

#include "libclock/clock.h"

/* The owner of a target must end a statement this long before the entry proxy's
 * deadline, or a tenth of the time left if that is less, so that its answer has
 * time to arrive. */
#define PROXY_ANSWER_MARGIN_MS 20
/* Longest time that a replica which lags may take to catch up before the entry
 * proxy asks the next candidate. */
#define PROXY_REPLICA_WAIT_MAX_MS 250

/* Share of the time left to the deadline that one attempt may use. */
typedef enum {
	/* For the last candidate, and for a statement that is sent once. */
	PROXY_SHARE_WHOLE,
	/* For the first attempt of a write with an idempotency key. */
	PROXY_SHARE_KEYED,
	/* For a read at a replica that is not the last candidate. */
	PROXY_SHARE_REPLICA,
} proxy_share_t;

clock_ms_t proxy_deadline_share(clock_ms_t left_ms, proxy_share_t share);

#endif
