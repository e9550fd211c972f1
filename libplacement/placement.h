#ifndef HORNBEAMTACK_PLACEMENT_H
#define HORNBEAMTACK_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libstatement/statement.h"

/* Samples of a group's log. With the spacing they reach back 2.5 s, which is
 * the longest staleness bound in use; longer bounds find a later sample. */
#define SAMPLE_RING_SIZE 64
#define SAMPLE_SPACING_MS 40

/* A position of the rightful primary and the time at which the request that
 * returned it was sent: it covers every commit acknowledged before that. */
typedef struct {
	log_position_t position;
	clock_ms_t sent_ms;
} position_sample_t;

typedef struct {
	position_sample_t samples[SAMPLE_RING_SIZE];
	uint32_t first;
	uint32_t count;
} sample_ring_t;

void sample_ring_add(sample_ring_t *ring, log_position_t position,
		     clock_ms_t sent_ms);
bool sample_ring_find(const sample_ring_t *ring, clock_ms_t not_before_ms,
		      position_sample_t *sample);
bool sample_ring_latest(const sample_ring_t *ring, position_sample_t *sample);
clock_ms_t sample_ring_lag(const sample_ring_t *ring, log_position_t position,
			   clock_ms_t now_ms);

/* Cost of crossing a failure domain, in ms of waiting. Bytes between domains
 * are priced at about 1 % of what a statement earns; a replica in the own
 * domain wins unless it is slower by this much. */
#define PLACEMENT_DOMAIN_COST_MS 12.0
/* Added to the primary for statements that a replica can run, because writes
 * have no other place. */
#define PLACEMENT_PRIMARY_COST_MS 15.0
/* A replica whose log was last seen this long ago may have caught up; one
 * statement finds out. */
#define PLACEMENT_LAG_MAX_AGE_MS 250
/* Service time of a target without measurements. */
#define PLACEMENT_INITIAL_LATENCY_MS 20.0

/* Statements at a target for each of its slots, of all proxies together. The
 * three that wait for each that runs keep the slots busy and take about 100 ms;
 * more would only make all of them wait. */
#define PLACEMENT_STATEMENTS_PER_SLOT 4

/* One target as the choice sees it. */
typedef struct {
	bool is_primary;
	/* False: cut off, leaving, excluded by an earlier attempt. */
	bool usable;
	bool same_domain;
	uint32_t slots;
	/* Statements of this proxy in execution there. */
	uint32_t in_flight;
	/* Smoothed time from sending a statement to its answer; 0: none. */
	double latency_ms;
	/* Latest position seen in its answers, when it was seen, and how old
	 * its log was then. */
	log_position_t applied;
	clock_ms_t applied_ms;
	clock_ms_t lag_ms;
} placement_target_t;

typedef struct {
	/* Only the primary may run it. */
	bool primary_only;
	/* The primary may run it: its grant is in force. */
	bool primary_allowed;
	/* A replica may run it after this position, which the primary had at
	 * required_ms. */
	bool replica_allowed;
	log_position_t required;
	clock_ms_t required_ms;
	clock_ms_t now_ms;
} placement_constraints_t;

#define PLACEMENT_NONE (-1)

bool placement_has_room(uint32_t slots, uint32_t in_flight, uint32_t proxies);

int placement_choose(const placement_constraints_t *constraints,
		     const placement_target_t *targets, size_t count);

#endif
