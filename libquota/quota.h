#ifndef HORNBEAMTACK_QUOTA_H
#define HORNBEAMTACK_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Most parts into which the limit of a tenant is divided. */
#define QUOTA_PARTS_MAX 8
/* Lots of one share that end at different times. */
#define QUOTA_LOTS_MAX 4

/* The limit of a tenant: its operations at all proxies together. */
typedef struct {
	double rate_per_s;
	double burst;
} quota_limit_t;

/*
 * By how much the limits may be exceeded. In any window of window_ms, at most
 * (rate x window + burst) x (1 + overage) + slack operations of a tenant may
 * reach targets. window_ms is 0 if limits are not enforced.
 */
typedef struct {
	clock_ms_t window_ms;
	double overage;
	double slack;
	/* Number of parts of each limit; each part has a lender of its own. */
	uint32_t parts;
} quota_bounds_t;

clock_ms_t quota_life_ms(const quota_bounds_t *bounds,
			 const quota_limit_t *limit);

/* What a lender may still lend of its part of one tenant's limit. */
typedef struct {
	double level;
	/* Time of the level; 0: nothing was lent yet. */
	clock_ms_t updated_ms;
} quota_bucket_t;

uint32_t quota_bucket_lend(quota_bucket_t *bucket, const quota_bounds_t *bounds,
			   const quota_limit_t *limit, clock_ms_t since_ms,
			   uint32_t asked, clock_ms_t now_ms);

typedef enum {
	QUOTA_PROXY_REGISTERED,
	/* The proxy stopped lending and removed its entry. */
	QUOTA_PROXY_REMOVED,
	/* Another proxy removed the entry; the proxy may still lend. */
	QUOTA_PROXY_EVICTED,
} quota_proxy_state_t;

/* A proxy that may lend a part of a tenant's limit. */
typedef struct {
	const char *name;
	/* The part belongs to the failure domain of the proxy. */
	bool in_domain;
	quota_proxy_state_t state;
	/* When this proxy saw the other one enter its state. */
	clock_ms_t since_ms;
} quota_proxy_t;

bool quota_proxy_goes_before(const quota_proxy_t *proxy,
			     const quota_proxy_t *other, const char *tenant,
			     uint32_t part);

/* What a proxy knows about its own registration. */
typedef struct {
	/* When the last read was sent that showed the registered proxies that
	 * are known here. */
	clock_ms_t confirmed_ms;
	/* When this process was registered; 0: it is not. */
	clock_ms_t registered_ms;
	/* When it was known that all registered proxies see this registration,
	 * and no evicted one lends any more; 0: it is not known. */
	clock_ms_t seen_by_all_ms;
	/* Time for which a lender relies on a read of the registry. */
	clock_ms_t confirmation_ttl_ms;
} quota_registration_t;

/* Result of quota_lender_since(): this proxy lends nothing now. */
#define QUOTA_NOT_LENDING INT64_MAX

clock_ms_t quota_registration_since(const quota_registration_t *own,
				    clock_ms_t now_ms);
clock_ms_t quota_lender_since(const quota_registration_t *own,
			      const quota_proxy_t *self,
			      const quota_proxy_t *proxies, size_t count,
			      const char *tenant, uint32_t part,
			      clock_ms_t now_ms);
bool quota_eviction_has_ended(const quota_registration_t *own,
			      clock_ms_t evicted_ms, clock_ms_t now_ms);

/* A number of operations that a lender has lent. */
typedef struct {
	uint32_t count;
	clock_ms_t until_ms;
} quota_lot_t;

/* What a proxy holds of one tenant's limit. */
typedef struct {
	quota_lot_t lots[QUOTA_LOTS_MAX];
	/* Smoothed rate at which operations arrive, and its time. */
	double demand_per_s;
	clock_ms_t demand_ms;
	/* No request to the lender of a part before this time. */
	clock_ms_t closed_until_ms[QUOTA_PARTS_MAX];
} quota_share_t;

typedef enum {
	QUOTA_ADMITTED,
	/* The tenant is over its limit, or no lender can be reached. */
	QUOTA_REFUSED,
	/* No share is held; a lender is to be asked. */
	QUOTA_UNKNOWN,
} quota_verdict_t;

void quota_share_note_demand(quota_share_t *share, clock_ms_t now_ms);
quota_verdict_t quota_share_admit(quota_share_t *share, uint32_t parts,
				  clock_ms_t now_ms, clock_ms_t *until_ms);
void quota_share_apply(quota_share_t *share, uint32_t count,
		       clock_ms_t until_ms, clock_ms_t now_ms);
uint32_t quota_share_held(const quota_share_t *share, clock_ms_t now_ms);
uint32_t quota_share_wanted(const quota_share_t *share, uint32_t waiting,
			    clock_ms_t life_ms, clock_ms_t now_ms);
bool quota_share_is_low(const quota_share_t *share, clock_ms_t life_ms,
			clock_ms_t now_ms);
void quota_share_close_part(quota_share_t *share, uint32_t part,
			    clock_ms_t until_ms);
int quota_share_next_part(const quota_share_t *share, uint32_t parts,
			  uint32_t first, uint32_t asked_parts,
			  clock_ms_t now_ms);

#endif
