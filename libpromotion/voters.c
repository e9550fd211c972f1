#include "voters.h"

#include <stdio.h>
#include <string.h>

/*
 * Adds a name. Returns false if there is no room.
 */
bool voters_add(voters_t *voters, const char *name)
{
	if (voters->count == VOTERS_MAX)
		return false;
	snprintf(voters->names[voters->count++], PROMOTION_NAME_SIZE, "%s",
		 name);
	return true;
}

bool voters_contain(const voters_t *voters, const char *name)
{
	uint32_t i;

	for (i = 0; i < voters->count; i++) {
		if (strcmp(voters->names[i], name) == 0)
			return true;
	}
	return false;
}

/*
 * Returns how many voters are more than half of them.
 */
uint32_t voters_majority(const voters_t *voters)
{
	return voters->count / 2 + 1;
}

/*
 * Tells whether the voters that have stopped meet every majority: half of them
 * does, because a majority is more than the other half.
 */
static bool is_majority_blocked(const voters_t *voters,
				const registry_t *registry, const char *group,
				const group_record_t *record)
{
	uint32_t stopped = 0;
	uint32_t i;

	for (i = 0; i < voters->count; i++) {
		if (registry_has_stopped(registry, group, record,
					 voters->names[i]))
			stopped++;
	}
	return stopped >= (voters->count + 1) / 2;
}

/*
 * Returns how many of the recorded sets grants may rest on: all of them for
 * grant_life_ms after the last change, then the present one.
 */
static uint32_t count_relevant_sets(const voters_record_t *record,
				    clock_ms_t grant_life_ms, clock_ms_t now_ms)
{
	if (record->count == 0 || now_ms < record->seen_ms + grant_life_ms)
		return record->count;
	return 1;
}

/*
 * Tells whether no proxy can still extend a grant on the term of a fenced group
 * by promises. A proxy counts the voters that it knew at its last confirmation,
 * grant_life_ms ago at most, so that those before a change count for as long.
 * Without voters there are no promises.
 */
bool voters_majority_blocked(const voters_record_t *record,
			     const registry_t *registry, const char *group,
			     const group_record_t *group_record,
			     clock_ms_t grant_life_ms, clock_ms_t now_ms)
{
	uint32_t counting = count_relevant_sets(record, grant_life_ms, now_ms);
	uint32_t i;

	if (group_record->fence == 0)
		return false;
	for (i = 0; i < counting; i++) {
		if (!is_majority_blocked(&record->sets[i], registry, group,
					 group_record))
			return false;
	}
	return true;
}

/* A new set of voters while it is put together. */
typedef struct {
	const registry_t *registry;
	voters_t *next;
} voter_selection_t;

static uint32_t count_in_domain(const voter_selection_t *selection,
				const char *domain)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < selection->next->count; i++) {
		if (strcmp(registry_domain_get(selection->registry,
					       selection->next->names[i]),
			   domain) == 0)
			count++;
	}
	return count;
}

/*
 * Takes a proxy if its failure domain has too few voters.
 */
static void add_if_domain_lacks_voters(void *context, const char *name,
				       const char *address)
{
	voter_selection_t *selection = context;
	const char *domain = registry_domain_get(selection->registry, name);

	(void)address;
	if (voters_contain(selection->next, name) ||
	    count_in_domain(selection, domain) >= VOTERS_PER_DOMAIN)
		return;
	voters_add(selection->next, name);
}

/*
 * Puts together the voters that there should be: those that are registered or
 * have left just now, and others where a failure domain has too few.
 */
static void choose_voters(const voters_t *current, const registry_t *registry,
			  clock_ms_t now_ms, voters_t *next)
{
	voter_selection_t selection = { registry, next };
	uint32_t i;

	next->count = 0;
	for (i = 0; i < current->count; i++) {
		if (!registry_is_gone(registry, current->names[i],
				      VOTERS_MISSING_MS, now_ms))
			voters_add(next, current->names[i]);
	}
	registry_proxy_visit(registry, add_if_domain_lacks_voters, &selection);
}

static bool are_equal(const voters_t *a, const voters_t *b)
{
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		if (!voters_contain(b, a->names[i]))
			return false;
	}
	return a->count == b->count;
}

/*
 * Tells whether the voters are to be changed, and how the record is to look. A
 * set is dropped from it only when no grant can rest on it any more; without
 * room for a further set, the change waits.
 */
bool voters_plan_change(const voters_record_t *record,
			const registry_t *registry, clock_ms_t grant_life_ms,
			clock_ms_t now_ms, voters_record_t *next)
{
	uint32_t kept = count_relevant_sets(record, grant_life_ms, now_ms);

	memset(next, 0, sizeof(*next));
	if (kept == VOTERS_SETS_MAX)
		return false;
	choose_voters(&record->sets[0], registry, now_ms, &next->sets[0]);
	if (next->sets[0].count == 0 ||
	    are_equal(&next->sets[0], &record->sets[0]))
		return false;
	memcpy(&next->sets[1], &record->sets[0], kept * sizeof(next->sets[0]));
	next->count = kept + 1;
	return true;
}
