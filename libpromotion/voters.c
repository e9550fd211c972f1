#include "voters.h"

#include <stdio.h>
#include <string.h>

/*
 * Adds a proxy to a set of voters. Returns false if the set is full.
 */
bool voters_add(voters_t *voters, const char *name)
{
	if (voters->count == VOTERS_MAX)
		return false;
	snprintf(voters->names[voters->count++], PROMOTION_NAME_SIZE, "%s",
		 name);
	return true;
}

/*
 * Tells whether a proxy is one of the voters.
 */
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
 * Tells whether two sets have the same voters.
 */
bool voters_are_equal(const voters_t *a, const voters_t *b)
{
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		if (!voters_contain(b, a->names[i]))
			return false;
	}
	return a->count == b->count;
}

/*
 * Returns the smallest number of voters that is more than half of them.
 */
uint32_t voters_majority(const voters_t *voters)
{
	return voters->count / 2 + 1;
}

/*
 * Tells whether at least half of the voters have reported that they stopped.
 * Every majority then contains a voter that has stopped, because the voters
 * that have not are at most the other half.
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
 * Returns how many of the recorded sets are relevant, as grants may rest on
 * their promises: all of them for grant_life_ms after the last change, and only
 * the present set later.
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
 * by promises, because every majority contains a voter that has stopped. A
 * proxy counts promises of the voters that it knew when its records were last
 * confirmed, at most grant_life_ms ago. So the sets before a change have to be
 * blocked as well until that time has passed. Without voters there are no
 * promises, and the result is true.
 */
bool voters_majority_blocked(const voters_record_t *record,
			     const registry_t *registry, const char *group,
			     const group_record_t *group_record,
			     clock_ms_t grant_life_ms, clock_ms_t now_ms)
{
	uint32_t relevant_sets =
		count_relevant_sets(record, grant_life_ms, now_ms);
	uint32_t i;

	if (group_record->fence == 0)
		return false;
	for (i = 0; i < relevant_sets; i++) {
		if (!is_majority_blocked(&record->sets[i], registry, group,
					 group_record))
			return false;
	}
	return true;
}

/* The set of voters that is being selected. */
typedef struct {
	const registry_t *registry;
	voters_t *next;
} voter_selection_t;

/*
 * Returns the number of selected voters in a failure domain.
 */
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
 * Adds a registered proxy to the voters if its failure domain has fewer than
 * VOTERS_PER_DOMAIN of them.
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
 * Selects the voters that there should be. Present voters stay unless they have
 * been unregistered for VOTERS_MISSING_MS. Then registered proxies are added in
 * each failure domain that has too few voters.
 */
static void choose_voters(const voters_t *current, const registry_t *registry,
			  clock_ms_t now_ms, voters_t *next)
{
	voter_selection_t selection = { registry, next };
	uint32_t i;

	next->count = 0;
	for (i = 0; i < current->count; i++) {
		if (!registry_proxy_is_missing(registry, current->names[i],
					       VOTERS_MISSING_MS, now_ms))
			voters_add(next, current->names[i]);
	}
	registry_proxy_visit(registry, add_if_domain_lacks_voters, &selection);
}

/*
 * Tells whether the voters have to change, and puts the record after the change
 * into next. An earlier set is dropped from the record only when no grant can
 * rest on its promises any more. If the record has no room for another set, the
 * change has to wait and the result is false.
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
	    voters_are_equal(&next->sets[0], &record->sets[0]))
		return false;
	memcpy(&next->sets[1], &record->sets[0], kept * sizeof(next->sets[0]));
	next->count = kept + 1;
	return true;
}
