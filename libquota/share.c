#include "quota.h"

/* Operations are borrowed ahead for this time at the present demand, and no
 * longer than half of their life. It is a few round trips to a lender. */
#define AHEAD_MS 300
/* A share is low when it holds less than this part of what is borrowed ahead.
 */
#define LOW_SHARE 0.34
/* Time over which the demand is averaged: it follows a burst within a second.
 */
#define DEMAND_MEAN_MS 1000

static double demand_at(const quota_share_t *share, clock_ms_t now_ms)
{
	double elapsed_ms = (double)(now_ms - share->demand_ms);

	return share->demand_per_s * DEMAND_MEAN_MS /
	       (DEMAND_MEAN_MS + elapsed_ms);
}

/*
 * Counts an operation that arrives. At a steady rate the demand is that rate.
 */
void quota_share_note_demand(quota_share_t *share, clock_ms_t now_ms)
{
	double elapsed_ms = (double)(now_ms - share->demand_ms);

	share->demand_per_s = demand_at(share, now_ms) +
			      1000.0 / (DEMAND_MEAN_MS + elapsed_ms);
	share->demand_ms = now_ms;
}

/*
 * Takes one operation from the lot that ends first, and sets until_ms to the
 * time before which it must be sent to a target.
 */
quota_verdict_t quota_share_admit(quota_share_t *share, uint32_t parts,
				  clock_ms_t now_ms, clock_ms_t *until_ms)
{
	quota_lot_t *first = NULL;
	size_t i;

	for (i = 0; i < QUOTA_LOTS_MAX; i++) {
		quota_lot_t *lot = &share->lots[i];

		if (lot->count > 0 && now_ms < lot->until_ms &&
		    (!first || lot->until_ms < first->until_ms))
			first = lot;
	}
	if (first) {
		first->count--;
		*until_ms = first->until_ms;
		return QUOTA_ADMITTED;
	}
	return quota_share_next_part(share, parts, 0, 0, now_ms) < 0
		       ? QUOTA_REFUSED
		       : QUOTA_UNKNOWN;
}

/*
 * Takes over operations that a lender has lent, or that were not used. They are
 * added to a lot with the same end, or replace one that is used up or has
 * ended, or else the one that holds the fewest.
 */
void quota_share_apply(quota_share_t *share, uint32_t count,
		       clock_ms_t until_ms, clock_ms_t now_ms)
{
	quota_lot_t *place = &share->lots[0];
	size_t i;

	if (count == 0 || until_ms <= now_ms)
		return;
	for (i = 0; i < QUOTA_LOTS_MAX; i++) {
		quota_lot_t *lot = &share->lots[i];

		if (lot->until_ms == until_ms) {
			lot->count += count;
			return;
		}
		if (now_ms >= lot->until_ms)
			lot->count = 0;
		if (lot->count < place->count)
			place = lot;
	}
	*place = (quota_lot_t){ count, until_ms };
}

/*
 * Returns the number of operations that may be admitted.
 */
uint32_t quota_share_held(const quota_share_t *share, clock_ms_t now_ms)
{
	uint32_t held = 0;
	size_t i;

	for (i = 0; i < QUOTA_LOTS_MAX; i++) {
		if (now_ms < share->lots[i].until_ms)
			held += share->lots[i].count;
	}
	return held;
}

static double needed_ahead(const quota_share_t *share, clock_ms_t life_ms,
			   clock_ms_t now_ms)
{
	clock_ms_t ahead_ms = life_ms / 2 < AHEAD_MS ? life_ms / 2 : AHEAD_MS;

	return demand_at(share, now_ms) * (double)ahead_ms / 1000;
}

/*
 * Returns how many operations to ask a lender for, with the ones that wait for
 * the answer.
 */
uint32_t quota_share_wanted(const quota_share_t *share, uint32_t waiting,
			    clock_ms_t life_ms, clock_ms_t now_ms)
{
	uint32_t ahead = (uint32_t)needed_ahead(share, life_ms, now_ms);
	uint32_t held = quota_share_held(share, now_ms);

	return waiting + (ahead > held ? ahead - held : 0);
}

/*
 * Tells whether a lender should be asked before the share is used up. A tenant
 * with few operations borrows each one when it arrives, since what is borrowed
 * and not used is lost to the other proxies.
 */
bool quota_share_is_low(const quota_share_t *share, clock_ms_t life_ms,
			clock_ms_t now_ms)
{
	double ahead = needed_ahead(share, life_ms, now_ms);

	return ahead >= 1 &&
	       quota_share_held(share, now_ms) < ahead * LOW_SHARE;
}

/*
 * Ends the requests to the lender of a part until a time: it has nothing to
 * lend, or did not answer.
 */
void quota_share_close_part(quota_share_t *share, uint32_t part,
			    clock_ms_t until_ms)
{
	share->closed_until_ms[part] = until_ms;
}

/*
 * Returns the next part whose lender may be asked, starting with the part
 * first, or -1. asked_parts has a bit for each part that was already asked.
 */
int quota_share_next_part(const quota_share_t *share, uint32_t parts,
			  uint32_t first, uint32_t asked_parts,
			  clock_ms_t now_ms)
{
	uint32_t i;

	for (i = 0; i < parts; i++) {
		uint32_t part = (first + i) % parts;

		if (!(asked_parts & (1U << part)) &&
		    now_ms >= share->closed_until_ms[part])
			return (int)part;
	}
	return -1;
}
