#ifndef HORNBEAMTACK_PROMOTION_VOTERS_H
#define HORNBEAMTACK_PROMOTION_VOTERS_H

#include "registry.h"

/* Number of voters in each failure domain. After the loss of one, proxies can
 * still ask the other one in their domain. */
#define VOTERS_PER_DOMAIN 2
/* Most voters: two in each of 13 failure domains, and room for more domains. */
#define VOTERS_MAX 32
/* Most sets of voters in the record: the present set and earlier sets whose
 * promises grants may still rest on. When the proxies start, up to three
 * changes occur within the life of a grant. */
#define VOTERS_SETS_MAX 4
/* A voter is replaced after it has been unregistered for this long. A restart
 * takes less time. */
#define VOTERS_MISSING_MS 3000

/* A set of voters: proxies whose promises extend grants while the store can't
 * be reached. */
typedef struct {
	char names[VOTERS_MAX][PROMOTION_NAME_SIZE];
	uint32_t count;
} voters_t;

/* The voters as recorded in the store. */
typedef struct {
	/* The present set, then the sets before each of the last changes, the
	 * latest first. A proxy may still hold grants that promises of an
	 * earlier set extended. */
	voters_t sets[VOTERS_SETS_MAX];
	uint32_t count;
	/* Store revision of the record; 0 if there is no record. */
	uint64_t revision;
	/* Time at which this proxy first saw this revision. */
	clock_ms_t seen_ms;
} voters_record_t;

bool voters_add(voters_t *voters, const char *name);
bool voters_contain(const voters_t *voters, const char *name);
bool voters_are_equal(const voters_t *a, const voters_t *b);
uint32_t voters_majority(const voters_t *voters);
bool voters_majority_blocked(const voters_record_t *record,
			     const registry_t *registry, const char *group,
			     const group_record_t *group_record,
			     clock_ms_t grant_life_ms, clock_ms_t now_ms);
bool voters_plan_change(const voters_record_t *record,
			const registry_t *registry, clock_ms_t grant_life_ms,
			clock_ms_t now_ms, voters_record_t *next);

#endif
