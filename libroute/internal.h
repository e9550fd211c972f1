#ifndef HORNBEAMTACK_ROUTE_INTERNAL_H
#define HORNBEAMTACK_ROUTE_INTERNAL_H

#include "route.h"

/* Number and least spacing of the samples. Together they cover 1.5 s, which is
 * more than the staleness bound of 1 s that most reads state. A replica within
 * the bound is therefore never behind all samples, so that its age can be
 * proved. */
#define ROUTE_SAMPLES_MAX 32
#define ROUTE_SAMPLE_SPACING_MS 50

/* Position that the primary reported in answer to a request, and the time at
 * which that request was sent. */
typedef struct {
	clock_ms_t requested_at_ms;
	uint64_t position_bytes;
} route_sample_t;

/* Evidence about one target. */
typedef struct {
	/* A status has been recorded. */
	bool known;
	/* The target is leaving according to the configuration or the instance
	 * list. */
	bool leaving;
	/* Time at which the request for the status was sent. */
	clock_ms_t requested_at_ms;
	group_status_t status;
} route_target_t;

struct route_evidence {
	route_options_t options;
	route_target_t targets[GROUP_TARGETS_MAX];
	/* Samples of one primary in one term, in rising order of time. */
	group_index_t sample_target;
	uint32_t sample_term;
	uint32_t sample_count;
	route_sample_t samples[ROUTE_SAMPLES_MAX];
};

const route_target_t *route_evidence_target(const route_evidence_t *evidence,
					    group_index_t target);
int route_age_best(const route_evidence_t *evidence, clock_ms_t now_ms,
		   clock_ms_t *age_ms);
bool route_age_lag(const route_evidence_t *evidence, group_index_t target,
		   clock_ms_t *lag_ms);

#endif
