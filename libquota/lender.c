#include <string.h>
#include <xxhash.h>

#include "quota.h"

/* Longest time for which lent operations may be used. It bounds what is lost
 * with a proxy that ends. */
#define LIFE_MAX_MS 2000
/* Share of the slack by which the bursts of all parts together exceed the burst
 * of the limit. A part of a small limit would otherwise hold less than one
 * operation. The rest of the slack is left to the life of lent operations. */
#define BURST_SLACK_SHARE 0.5
/* Share of the computed life that is used. The rest is for the time between the
 * check of a lot and the arrival at the target. */
#define LIFE_SHARE 0.8
/* Added to the waits for the end of another proxy's right to lend. The rates of
 * two monotonic clocks differ by far less over such a wait. */
#define CLOCK_MARGIN_MS 500

/*
 * Returns for how long operations that a lender has lent may be used. The
 * operations that run in a window were lent in the window or in the life before
 * it, so that life x rate operations come on top of rate x window + burst. They
 * must fit into the overage and the rest of the slack.
 */
clock_ms_t quota_life_ms(const quota_bounds_t *bounds,
			 const quota_limit_t *limit)
{
	double window_s = (double)bounds->window_ms / 1000;
	double room = bounds->overage *
			      (limit->rate_per_s * window_s + limit->burst) +
		      bounds->slack * (1 - BURST_SLACK_SHARE);
	double life_ms;

	if (limit->rate_per_s <= 0)
		return LIFE_MAX_MS;
	life_ms = LIFE_SHARE * 1000 * room / limit->rate_per_s;
	return life_ms < LIFE_MAX_MS ? (clock_ms_t)life_ms : LIFE_MAX_MS;
}

/*
 * Lends up to asked operations of one part of a tenant's limit, and returns how
 * many. The bucket starts empty at since_ms, when this proxy became lender of
 * the part: an earlier lender may have lent the burst just before. A lower
 * limit takes effect at once.
 */
uint32_t quota_bucket_lend(quota_bucket_t *bucket, const quota_bounds_t *bounds,
			   const quota_limit_t *limit, clock_ms_t since_ms,
			   uint32_t asked, clock_ms_t now_ms)
{
	double parts = bounds->parts;
	double rate_per_ms = limit->rate_per_s / parts / 1000;
	double burst =
		(limit->burst + bounds->slack * BURST_SLACK_SHARE) / parts;
	uint32_t lent;

	if (bucket->updated_ms < since_ms)
		*bucket = (quota_bucket_t){ .updated_ms = since_ms };
	if (now_ms > bucket->updated_ms) {
		bucket->level +=
			rate_per_ms * (double)(now_ms - bucket->updated_ms);
		bucket->updated_ms = now_ms;
	}
	if (bucket->level > burst)
		bucket->level = burst;
	lent = bucket->level < asked ? (uint32_t)bucket->level : asked;
	bucket->level -= lent;
	return lent;
}

static uint64_t rank(const char *proxy, const char *tenant, uint32_t part)
{
	return XXH3_64bits_withSeed(
		proxy, strlen(proxy),
		XXH3_64bits_withSeed(tenant, strlen(tenant), part));
}

/*
 * Tells whether a proxy precedes another one as lender of a part. The proxies
 * of the part's failure domain go first, so that a domain that is cut off keeps
 * a lender; the order within a domain is that of their rendezvous hashes.
 */
bool quota_proxy_goes_before(const quota_proxy_t *proxy,
			     const quota_proxy_t *other, const char *tenant,
			     uint32_t part)
{
	uint64_t own_rank;
	uint64_t other_rank;

	if (proxy->in_domain != other->in_domain)
		return proxy->in_domain;
	own_rank = rank(proxy->name, tenant, part);
	other_rank = rank(other->name, tenant, part);
	if (own_rank != other_rank)
		return own_rank > other_rank;
	return strcmp(proxy->name, other->name) < 0;
}

/*
 * Tells whether a proxy that was seen to be evicted at evicted_ms has stopped
 * lending: its last confirmation was sent before the eviction.
 */
bool quota_eviction_has_ended(const quota_registration_t *own,
			      clock_ms_t evicted_ms, clock_ms_t now_ms)
{
	return now_ms >=
	       evicted_ms + own->confirmation_ttl_ms + CLOCK_MARGIN_MS;
}

/*
 * Returns since when the registration of this process allows it to lend, or
 * QUOTA_NOT_LENDING. Until the registration is seen by all, or older than any
 * confirmation that lacks it, another proxy may take itself for the lender. A
 * confirmation from before the registration may lack a proxy that was
 * registered at the same time.
 */
clock_ms_t quota_registration_since(const quota_registration_t *own,
				    clock_ms_t now_ms)
{
	clock_ms_t since_ms;

	if (own->registered_ms == 0 || own->confirmed_ms < own->registered_ms ||
	    now_ms >= own->confirmed_ms + own->confirmation_ttl_ms)
		return QUOTA_NOT_LENDING;
	since_ms =
		own->registered_ms + own->confirmation_ttl_ms + CLOCK_MARGIN_MS;
	if (own->seen_by_all_ms != 0 && own->seen_by_all_ms < since_ms)
		since_ms = own->seen_by_all_ms;
	return now_ms >= since_ms ? since_ms : QUOTA_NOT_LENDING;
}

/*
 * Returns since when this proxy, which is one of proxies, has been the lender
 * of a part of a tenant's limit, or QUOTA_NOT_LENDING. It is the lender if no
 * proxy that goes before it is registered or may still lend.
 */
clock_ms_t quota_lender_since(const quota_registration_t *own,
			      const quota_proxy_t *self,
			      const quota_proxy_t *proxies, size_t count,
			      const char *tenant, uint32_t part,
			      clock_ms_t now_ms)
{
	clock_ms_t since_ms = quota_registration_since(own, now_ms);
	size_t i;

	if (since_ms == QUOTA_NOT_LENDING)
		return QUOTA_NOT_LENDING;
	for (i = 0; i < count; i++) {
		const quota_proxy_t *other = &proxies[i];
		clock_ms_t ended_ms = other->since_ms;

		if (strcmp(other->name, self->name) == 0 ||
		    !quota_proxy_goes_before(other, self, tenant, part))
			continue;
		switch (other->state) {
		case QUOTA_PROXY_REGISTERED:
			return QUOTA_NOT_LENDING;
		case QUOTA_PROXY_EVICTED:
			if (!quota_eviction_has_ended(own, other->since_ms,
						      now_ms))
				return QUOTA_NOT_LENDING;
			ended_ms += own->confirmation_ttl_ms + CLOCK_MARGIN_MS;
			break;
		case QUOTA_PROXY_REMOVED:
			break;
		}
		if (ended_ms > since_ms)
			since_ms = ended_ms;
	}
	return since_ms;
}
