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

/* Weight of a new measurement in the moving average of a target's latency. */
#define PLACEMENT_LATENCY_WEIGHT 0.1
/* The same for failures. They are rare, and where many proxies choose, each of
 * them sees only few of those of a target. */
#define PLACEMENT_FAILURE_WEIGHT 0.3
/* Age at which the averages of a target no longer count: it is taken to be like
 * the other targets of its group, and is tried again. */
#define PLACEMENT_NEWS_MAX_AGE_MS 10000
/* Cost of an attempt that fails, in ms of latency: the caller comes back 25 to
 * 200 ms later and has to find another target. */
#define PLACEMENT_FAILURE_COST_MS 200.0
/* Costs up to this ratio apart do not tell targets apart: the average of the
 * last ten or so service times varies by a fifth, so that those of two equal
 * targets often differ by a third. */
#define PLACEMENT_TIE_RATIO 1.5

/* What this proxy has measured of a target. */
typedef struct {
	/* Moving average of the time from sending a statement to its success; 0
	 * before the first one. */
	double latency_ms;
	/* Moving average of the share of statements that the target has failed
	 * or refused. */
	double failure_ratio;
	/* Time of the last measurement. */
	clock_ms_t updated_ms;
} placement_news_t;

void placement_news_succeeded(placement_news_t *news, double latency_ms,
			      clock_ms_t now_ms);
void placement_news_failed(placement_news_t *news, clock_ms_t now_ms);

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
	placement_news_t news;
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
	/* Proxies that choose among the targets; 0 if not known. */
	uint32_t proxies;
} placement_constraints_t;

#define PLACEMENT_NONE (-1)

bool placement_has_room(uint32_t slots, uint32_t in_flight, uint32_t proxies);

int placement_choose(const placement_constraints_t *constraints,
		     const placement_target_t *targets, size_t count,
		     uint64_t random);

#endif
