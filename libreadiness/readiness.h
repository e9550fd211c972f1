#ifndef HORNBEAMTACK_READINESS_H
#define HORNBEAMTACK_READINESS_H

#include <stdbool.h>

#include "libclock/clock.h"

/* Time after which the load balancer has removed an instance that is not ready:
 * two failed probes, one a second. Until then, new sessions keep arriving. */
#define READINESS_BALANCER_REMOVAL_MS 2200
/* A proxy is cut off if neither the store nor a majority of the proxies has
 * answered a request sent within this time. The store is read every 700 ms, and
 * the proxies are asked 950 ms after the last read, so that one of the two has
 * answered in time unless both are unreachable. */
#define READINESS_CUT_OFF_MS 1300

/* State on which the readiness of a proxy depends. */
typedef struct {
	/* The configuration and the records of the groups are known. */
	bool configured;
	/* The proxy is registered in the store. */
	bool registered;
	/* The proxies are few enough to ask each other while the store is
	 * unreachable. Without that check, a proxy cannot tell an outage of the
	 * store, which affects all proxies, from a network cut of its own. */
	bool peer_check_enabled;
	/* Time at which the latest request was sent that the store, or a
	 * majority of the proxies, has answered. */
	clock_ms_t confirmed_ms;
	/* Time at which the proxy began to drain; 0 if it does not. */
	clock_ms_t draining_ms;
	clock_ms_t now_ms;
} readiness_view_t;

/* Readiness as reported to the load balancer. */
typedef struct {
	bool ready;
	/* Time since which sessions should move to other proxies; 0 if they may
	 * stay. */
	clock_ms_t drain_since_ms;
} readiness_t;

bool readiness_update(readiness_t *readiness, const readiness_view_t *view);
bool readiness_should_end_sessions(const readiness_t *readiness,
				   clock_ms_t now_ms);

#endif
