#include <string.h>
#include <xxhash.h>

#include "relay.h"

/* Largest weight that makes a difference, which bounds the work of a choice. */
#define WEIGHT_MAX 64

/*
 * Returns whether statements are relayed: the equal share of a proxy is too
 * small to connect directly. Without a limit or proxies nothing is relayed.
 */
bool relay_is_needed(uint32_t connections_max, uint32_t proxies)
{
	if (connections_max == 0 || proxies == 0)
		return false;
	if (connections_max <= RELAY_SPARE_CONNECTIONS)
		return true;
	return (connections_max - RELAY_SPARE_CONNECTIONS) / proxies <
	       RELAY_DIRECT_SHARE;
}

/*
 * Returns the rendezvous hash of a target and a proxy. The greatest of as many
 * hashes as the weight wins in proportion to the weight.
 */
static uint64_t score_of(const relay_candidate_t *candidate, const char *target)
{
	uint64_t seed = XXH3_64bits(target, strlen(target));
	uint32_t weight = candidate->weight;
	uint64_t score = 0;
	uint32_t i;

	if (weight == 0)
		weight = 1;
	for (i = 0; i < weight && i < WEIGHT_MAX; i++) {
		uint64_t hash = XXH3_64bits_withSeed(
			candidate->name, strlen(candidate->name), seed + i);

		if (hash > score)
			score = hash;
	}
	return score;
}

/*
 * Finds the owners of a target among the candidates of one failure domain, by
 * rendezvous hash. Sets their indices in the order of their ranks and returns
 * their number. All proxies that know the same candidates find the same owners;
 * a candidate that comes or goes changes only the targets that it owns.
 */
size_t relay_owners_find(const relay_candidate_t *candidates, size_t count,
			 const char *target, size_t owners[RELAY_OWNERS])
{
	uint64_t scores[RELAY_OWNERS] = { 0 };
	size_t found = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		uint64_t score = score_of(&candidates[i], target);
		size_t rank = found;

		while (rank > 0 && score > scores[rank - 1])
			rank--;
		if (rank == RELAY_OWNERS)
			continue;
		if (found < RELAY_OWNERS)
			found++;
		memmove(&owners[rank + 1], &owners[rank],
			(found - 1 - rank) * sizeof(*owners));
		memmove(&scores[rank + 1], &scores[rank],
			(found - 1 - rank) * sizeof(*scores));
		owners[rank] = i;
		scores[rank] = score;
	}
	return found;
}

/*
 * Returns how many connections to a target an owner of this rank holds in each
 * of the failure domains. The first owners have equal parts. A reserve of about
 * one part is divided among the domains: a backup holds half of it, and the
 * other half is for a new owner, while the target still counts the connections
 * of the earlier one.
 */
relay_part_t relay_part(uint32_t connections_max, uint32_t domains, size_t rank)
{
	uint32_t all = connections_max > RELAY_SPARE_CONNECTIONS
			       ? connections_max - RELAY_SPARE_CONNECTIONS
			       : 1;
	uint32_t first;
	uint32_t reserve = 0;

	if (domains == 0)
		domains = 1;
	first = all / (domains + 1);
	if (first == 0)
		first = 1;
	if (all > first * domains)
		reserve = (all - first * domains) / domains;
	switch (rank) {
	case 0:
		return (relay_part_t){ first, reserve - reserve / 2 };
	case 1:
		return (relay_part_t){ reserve / 2, 0 };
	default:
		return (relay_part_t){ 0, 0 };
	}
}

/*
 * Sets the part of an owner, which changes with the registered proxies.
 */
void relay_share_set(relay_share_t *share, relay_part_t part, clock_ms_t now_ms)
{
	if (part.connections == share->part.connections &&
	    part.at_once == share->part.at_once)
		return;
	share->earlier = relay_share_limit(share, now_ms);
	share->part = part;
	share->changed_ms = now_ms;
}

/*
 * Returns how many connections an owner may hold now. A larger part counts only
 * after RELAY_SETTLE_MS, when the targets no longer count connections of the
 * earlier owner.
 */
uint32_t relay_share_limit(const relay_share_t *share, clock_ms_t now_ms)
{
	uint32_t limit = share->part.connections;

	if (now_ms >= share->changed_ms + RELAY_SETTLE_MS)
		return limit;
	if (limit > share->earlier)
		limit = share->earlier;
	return limit > share->part.at_once ? limit : share->part.at_once;
}
