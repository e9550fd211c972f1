#ifndef HORNBEAMTACK_PROMOTION_VOTERS_H
#define HORNBEAMTACK_PROMOTION_VOTERS_H

#include "registry.h"

/* Voters of each failure domain: one may be lost while the domain still has
 * one to ask. */
#define VOTERS_PER_DOMAIN 2
/* Two in each of 13 failure domains, and room for more domains. */
#define VOTERS_MAX 32
/* Sets of voters that are recorded: the present one, and those that grants may
 * still rest on. Three changes in the time of a grant are those of a start. */
#define VOTERS_SETS_MAX 4
/* A voter that is not registered for this long is replaced; restarts are
 * shorter. */
#define VOTERS_MISSING_MS 3000

/* Proxies whose promises extend grants while the store is away. */
typedef struct {
	char names[VOTERS_MAX][PROMOTION_NAME_SIZE];
	uint32_t count;
} voters_t;

/* The voters as recorded in the store. */
typedef struct {
	/* The present voters, then those before each of the last changes: a
	 * proxy may still hold grants by their promises. */
	voters_t sets[VOTERS_SETS_MAX];
	uint32_t count;
	/* Store revision of the record; 0: there is none. */
	uint64_t revision;
	/* When this revision was first seen here. */
	clock_ms_t seen_ms;
} voters_record_t;

bool voters_add(voters_t *voters, const char *name);
bool voters_contain(const voters_t *voters, const char *name);
uint32_t voters_majority(const voters_t *voters);
bool voters_majority_blocked(const voters_record_t *record,
			     const registry_t *registry, const char *group,
			     const group_record_t *group_record,
			     clock_ms_t grant_life_ms, clock_ms_t now_ms);
bool voters_plan_change(const voters_record_t *record,
			const registry_t *registry, clock_ms_t grant_life_ms,
			clock_ms_t now_ms, voters_record_t *next);

#endif
