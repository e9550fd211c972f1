#include "state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Starts the random numbers of one call. All of them are derived from random,
 * so that calls with the same arguments give the same actions.
 */
void membership_random_start(membership_t *membership, uint64_t random)
{
	membership->random = random;
	membership->random_count = 0;
}

/*
 * Returns a number from 0 to bound - 1; bound must not be 0.
 */
uint64_t membership_random_below(membership_t *membership, uint64_t bound)
{
	uint64_t count = membership->random_count++;

	return XXH3_64bits_withSeed(&count, sizeof(count), membership->random) %
	       bound;
}

/*
 * Returns the index of the first entry whose name does not sort before name.
 */
static size_t table_index(const membership_t *membership, const char *name)
{
	size_t low = 0;
	size_t high = membership->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(membership->entries[middle]->member.name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the entry of a member, or NULL.
 */
membership_entry_t *membership_table_find(const membership_t *membership,
					  const char *name)
{
	size_t index = table_index(membership, name);

	if (index < membership->count &&
	    strcmp(membership->entries[index]->member.name, name) == 0)
		return membership->entries[index];
	return NULL;
}

static void array_insert(membership_entry_t **array, size_t *count,
			 size_t index, membership_entry_t *entry)
{
	memmove(&array[index + 1], &array[index],
		(*count - index) * sizeof(membership_entry_t *));
	array[index] = entry;
	(*count)++;
}

/*
 * Removes entry from array, which must hold it, and returns its former index.
 */
static size_t array_remove(membership_entry_t **array, size_t *count,
			   const membership_entry_t *entry)
{
	size_t index = 0;

	while (array[index] != entry)
		index++;
	(*count)--;
	memmove(&array[index], &array[index + 1],
		(*count - index) * sizeof(membership_entry_t *));
	return index;
}

/*
 * Removes the member that has been dead for the longest time, of those whose
 * death was reported. Returns false if there is none.
 */
static bool evict_dead(membership_t *membership)
{
	membership_entry_t *oldest = NULL;
	size_t i;

	for (i = 0; i < membership->count; i++) {
		membership_entry_t *entry = membership->entries[i];

		if (entry->state == MEMBERSHIP_STATE_DEAD &&
		    entry->reported == MEMBERSHIP_STATE_DEAD &&
		    (!oldest || entry->since_ms < oldest->since_ms))
			oldest = entry;
	}
	if (oldest)
		membership_table_remove(membership, oldest);
	return oldest != NULL;
}

static membership_entry_t *entry_new(const membership_member_t *member,
				     clock_ms_t now_ms)
{
	membership_entry_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	entry->member = *member;
	entry->state = MEMBERSHIP_STATE_DEAD;
	entry->reported = MEMBERSHIP_STATE_DEAD;
	entry->since_ms = now_ms;
	entry->learned_at_ms = now_ms;
	entry->transmissions = MEMBERSHIP_TRANSMISSIONS_DONE;
	return entry;
}

/*
 * Adds a member that is not in the table. Its state is DEAD until it is set,
 * and it is put at a random place among the members that the present round has
 * still to probe. If the table is full, a dead member is removed first. Returns
 * NULL without memory, or if the table is full and has no dead member to remove
 * or the new member is dead itself.
 */
membership_entry_t *membership_table_add(membership_t *membership,
					 const membership_member_t *member,
					 clock_ms_t now_ms)
{
	membership_entry_t *entry;
	size_t place;

	if (membership->count >= membership->options.members_max &&
	    (member->state == MEMBERSHIP_STATE_DEAD || !evict_dead(membership)))
		return NULL;
	entry = entry_new(member, now_ms);
	if (!entry)
		return NULL;
	array_insert(membership->entries, &membership->count,
		     table_index(membership, member->name), entry);
	place = membership->order_next +
		membership_random_below(membership,
					membership->order_count -
						membership->order_next + 1);
	array_insert(membership->order, &membership->order_count, place, entry);
	return entry;
}

/*
 * Removes and frees an entry other than self.
 */
void membership_table_remove(membership_t *membership,
			     membership_entry_t *entry)
{
	size_t place = array_remove(membership->order, &membership->order_count,
				    entry);

	if (place < membership->order_next)
		membership->order_next--;
	array_remove(membership->entries, &membership->count, entry);
	free(entry);
}

static bool options_are_valid(const membership_options_t *options)
{
	return membership_record_is_valid(&options->self) &&
	       options->period_ms > 0 && options->probe_timeout_ms > 0 &&
	       options->probe_timeout_ms <= options->period_ms &&
	       options->suspicion_ms > 0 && options->forget_ms > 0 &&
	       options->indirect_probes <= MEMBERSHIP_INDIRECT_MAX &&
	       options->members_max > 0;
}

/*
 * Returns a membership with a single member, options->self, which is alive. The
 * durations in options must be above 0, probe_timeout_ms at most period_ms,
 * indirect_probes at most MEMBERSHIP_INDIRECT_MAX and members_max above 0.
 *
 * Returns NULL without memory or if an option is invalid.
 */
membership_t *membership_new(const membership_options_t *options,
			     clock_ms_t now_ms)
{
	membership_t *membership;

	if (!options_are_valid(options))
		return NULL;
	membership = calloc(1, sizeof(*membership));
	if (!membership)
		return NULL;
	membership->options = *options;
	membership->last_tick_ms = now_ms;
	membership->next_probe_ms = now_ms;
	membership->entries =
		calloc(options->members_max, sizeof(membership_entry_t *));
	membership->order =
		calloc(options->members_max, sizeof(membership_entry_t *));
	membership->self = entry_new(&options->self, now_ms);
	if (!membership->entries || !membership->order || !membership->self) {
		free(membership->self);
		free(membership->entries);
		free(membership->order);
		free(membership);
		return NULL;
	}
	membership->entries[0] = membership->self;
	membership->count = 1;
	membership->self->state = MEMBERSHIP_STATE_ALIVE;
	membership->self->reported = MEMBERSHIP_STATE_ALIVE;
	membership->self->member.state = MEMBERSHIP_STATE_ALIVE;
	return membership;
}

/*
 * Frees the membership; NULL is allowed.
 */
void membership_free(membership_t *membership)
{
	size_t i;

	if (!membership)
		return;
	for (i = 0; i < membership->count; i++)
		free(membership->entries[i]);
	free(membership->entries);
	free(membership->order);
	free(membership);
}

/*
 * Returns the number of known members, including the member itself and dead
 * ones.
 */
size_t membership_count(const membership_t *membership)
{
	return membership->count;
}

/*
 * Returns the member at index, sorted by name. The result is valid until the
 * next call with a now_ms argument.
 */
const membership_member_t *membership_at(const membership_t *membership,
					 size_t index)
{
	return &membership->entries[index]->member;
}

/*
 * Returns the member of that name, or NULL. The result is valid as that of
 * membership_at().
 */
const membership_member_t *membership_find(const membership_t *membership,
					   const char *name)
{
	const membership_entry_t *entry =
		membership_table_find(membership, name);

	return entry ? &entry->member : NULL;
}
