#ifndef HORNBEAMTACK_PLACEMENT_H
#define HORNBEAMTACK_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libstatement/statement.h"

/* Number and least spacing of the samples of a group's log. Together they cover
 * 2.5 s, the longest staleness bound in use. For a longer bound, the oldest
 * sample that is left is used. */
#define SAMPLE_RING_SIZE 64
#define SAMPLE_SPACING_MS 40

/* A log position that the primary of the group's current term returned, and the
 * time at which the request for it was sent. The position covers every commit
 * that was acknowledged before that time. */
typedef struct {
	log_position_t position;
	clock_ms_t sent_ms;
} position_sample_t;

/* Ring buffer of samples in the order of their times. */
typedef struct {
	position_sample_t samples[SAMPLE_RING_SIZE];
	/* Index of the oldest sample. */
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

/* Cost of a target in another failure domain, in ms of latency. The traffic
 * between domains costs about 1 % of what a statement earns. A replica in the
 * proxy's own domain is preferred unless it is slower by more than this. */
#define PLACEMENT_DOMAIN_COST_MS 12.0
/* Cost of running a statement at the primary that a replica could run, in ms of
 * latency. It leaves the primary free for writes, which can run nowhere else.
 */
#define PLACEMENT_PRIMARY_COST_MS 15.0
/* Age at which the measured lag of a replica is no longer used. The replica may
 * have caught up since, which only another statement there can show. */
#define PLACEMENT_LAG_MAX_AGE_MS 250
/* Latency assumed for a target that has not been measured. */
#define PLACEMENT_INITIAL_LATENCY_MS 20.0

/* Limit on the statements of all proxies at a target, per slot. The three
 * statements that wait for each running one keep the slots busy and take about
 * 100 ms; with more, all statements would only wait longer. */
#define PLACEMENT_STATEMENTS_PER_SLOT 4

/* What placement_choose() takes into account about one target. */
typedef struct {
	bool is_primary;
	/* False if the target can't take the operation: it is unreachable, is
	 * leaving, was tried by an earlier attempt, or has no idle connection
	 * or room. */
	bool usable;
	/* The target is in the failure domain of this proxy. */
	bool same_domain;
	/* Statements that the target runs at the same time; 0 if unknown. */
	uint32_t slots;
	/* Statements of this proxy that are in execution at the target. */
	uint32_t in_flight;
	/* Moving average of the time from sending a statement to its answer; 0
	 * before the first measurement. */
	double latency_ms;
	/* Latest position in the target's answers, the time at which it was
	 * seen, and the lag of the target behind the primary at that time. */
	log_position_t applied;
	clock_ms_t applied_ms;
	clock_ms_t lag_ms;
} placement_target_t;

/* Where an operation may run. */
typedef struct {
	/* Only the primary may run the operation. */
	bool primary_only;
	/* The primary may run the operation, as this proxy holds a grant that
	 * is in force. */
	bool primary_allowed;
	/* A replica may run the operation once it has applied the position
	 * required, which the primary had reached at required_ms. */
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
