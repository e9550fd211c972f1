#ifndef HORNBEAMTACK_READINESS_H
#define HORNBEAMTACK_READINESS_H

#include <stdbool.h>

#include "libclock/clock.h"

/* The balancer takes an instance out after two probes of a second without
 * success; until then, new sessions go on arriving. */
#define READINESS_BALANCER_REMOVAL_MS 2200
/* A proxy is cut off if neither the store nor a majority of the proxies has
 * answered a question sent within this time. The store is read each 700 ms and
 * the proxies are asked 950 ms after a read, so that one of the two has
 * answered before unless both are away. */
#define READINESS_CUT_OFF_MS 1300

/* What a proxy knows about its own ability to serve. */
typedef struct {
	/* The configuration and the records of the groups are known. */
	bool configured;
	bool registered;
	/* The proxies are few enough to be asked while the store is away.
	 * Without that question, an outage for all looks like a cut of this
	 * proxy. */
	bool peer_check_enabled;
	/* When the last question was sent that the store, or a majority of the
	 * proxies, has answered. */
	clock_ms_t confirmed_ms;
	/* When the proxy began to leave; 0: it stays. */
	clock_ms_t draining_ms;
	clock_ms_t now_ms;
} readiness_view_t;

typedef struct {
	bool ready;
	/* Since when callers are to go elsewhere; 0: they may stay. */
	clock_ms_t drain_since_ms;
} readiness_t;

bool readiness_update(readiness_t *readiness, const readiness_view_t *view);
bool readiness_should_end_sessions(const readiness_t *readiness,
				   clock_ms_t now_ms);

#endif
