#include "state.h"

#include <stdio.h>
#include <string.h>

/* Pings after which an address from the platform's instance list is dropped;
 * the next reading of the list adds it again if it is still listed. */
#define LISTED_SEED_PINGS_MAX 3

/*
 * Adds an address, unless it is there already. A seed from the settings stays
 * even if the instance list names the same address as a temporary one.
 */
static int seed_add(membership_t *membership, const char *address,
		    bool temporary)
{
	size_t length = strnlen(address, MEMBERSHIP_ADDRESS_SIZE);
	membership_seed_t *seed;
	size_t i;

	if (length == 0 || length == MEMBERSHIP_ADDRESS_SIZE)
		return MEMBERSHIP_ERROR_INVALID;
	for (i = 0; i < membership->seed_count; i++) {
		seed = &membership->seeds[i];
		if (strcmp(seed->address, address) == 0) {
			seed->temporary &= temporary;
			return MEMBERSHIP_OK;
		}
	}
	if (membership->seed_count == MEMBERSHIP_SEEDS_MAX)
		return MEMBERSHIP_ERROR_FULL;
	seed = &membership->seeds[membership->seed_count++];
	memcpy(seed->address, address, length + 1);
	seed->temporary = temporary;
	seed->pings = 0;
	return MEMBERSHIP_OK;
}

/*
 * Adds the address of a possible member, "ip:port". It is pinged while no
 * member that is not dead is known at this address; the answer tells the name
 * of the member. Returns MEMBERSHIP_OK, MEMBERSHIP_ERROR_INVALID or
 * MEMBERSHIP_ERROR_FULL.
 */
int membership_seed_add(membership_t *membership, const char *address)
{
	return seed_add(membership, address, false);
}

/*
 * Applies one entry of the platform's instance list, which may be out of date.
 * Any listed state other than LEAVING counts as live. A member that is listed
 * as leaving owns no targets until the list shows it as live or it has a new
 * incarnation. If no member of this name that is not dead is known at the
 * listed address, the address of a live entry is pinged and a leaving entry is
 * ignored.
 *
 * Returns MEMBERSHIP_OK; MEMBERSHIP_ERROR_INVALID; or MEMBERSHIP_ERROR_FULL if
 * there is no room for the address, which the next reading of the list names
 * again.
 */
int membership_update_listed(membership_t *membership,
			     const membership_member_t *member,
			     clock_ms_t now_ms)
{
	bool leaving = member->state == MEMBERSHIP_STATE_LEAVING;
	membership_entry_t *entry;

	(void)now_ms;
	if (!membership_record_is_valid(member))
		return MEMBERSHIP_ERROR_INVALID;
	entry = membership_table_find(membership, member->name);
	if (entry && entry->state != MEMBERSHIP_STATE_DEAD &&
	    strcmp(entry->member.address, member->address) == 0) {
		membership_entry_set_listed(membership, entry, leaving);
		return MEMBERSHIP_OK;
	}
	return leaving ? MEMBERSHIP_OK
		       : seed_add(membership, member->address, true);
}

/*
 * Returns a member with this address that is not dead, or NULL.
 */
static membership_entry_t *
find_not_dead_by_address(const membership_t *membership, const char *address)
{
	size_t i;

	for (i = 0; i < membership->count; i++) {
		membership_entry_t *entry = membership->entries[i];

		if (entry->state != MEMBERSHIP_STATE_DEAD &&
		    strcmp(entry->member.address, address) == 0)
			return entry;
	}
	return NULL;
}

static void seed_ping(membership_t *membership, membership_output_t *output,
		      size_t index)
{
	membership_seed_t *seed = &membership->seeds[index];

	membership_message_send(membership, output,
				&(membership_send_t){
					.kind = MEMBERSHIP_MESSAGE_PING,
					.address = seed->address,
					.sequence = ++membership->sequence,
					.subject = "",
				});
	if (seed->temporary && ++seed->pings == LISTED_SEED_PINGS_MAX)
		*seed = membership->seeds[--membership->seed_count];
}

/*
 * Drops temporary seeds, which come from the instance list, once a member that
 * is not dead is known at their address.
 */
static void drop_found_seeds(membership_t *membership)
{
	size_t i = 0;

	while (i < membership->seed_count) {
		membership_seed_t *seed = &membership->seeds[i];

		if (seed->temporary &&
		    find_not_dead_by_address(membership, seed->address))
			*seed = membership->seeds[--membership->seed_count];
		else
			i++;
	}
}

/*
 * Pings one random address without a live member: that of a dead member or a
 * seed. Without these pings the members of two parts of a partition would stay
 * dead to each other after its end.
 */
void membership_seed_ping(membership_t *membership, membership_output_t *output,
			  clock_ms_t now_ms)
{
	uint64_t candidates = 0;
	membership_entry_t *dead = NULL;
	size_t seed = MEMBERSHIP_SEEDS_MAX;
	size_t i;

	drop_found_seeds(membership);
	for (i = 0; i < membership->order_count; i++) {
		membership_entry_t *entry = membership->order[i];

		if (entry->state == MEMBERSHIP_STATE_DEAD &&
		    membership_random_below(membership, ++candidates) == 0)
			dead = entry;
	}
	for (i = 0; i < membership->seed_count; i++) {
		if (!find_not_dead_by_address(membership,
					      membership->seeds[i].address) &&
		    membership_random_below(membership, ++candidates) == 0)
			seed = i;
	}
	if (seed < MEMBERSHIP_SEEDS_MAX)
		seed_ping(membership, output, seed);
	else if (dead)
		membership_probe_ping(membership, output, dead, now_ms);
}
