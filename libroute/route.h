#ifndef HORNBEAMTACK_ROUTE_H
#define HORNBEAMTACK_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

/* Age for a read without a staleness bound, and for an answer whose age is not
 * proved. */
#define ROUTE_AGE_ANY (-1)

typedef enum {
	ROUTE_KIND_READ,
	ROUTE_KIND_WRITE,
} route_kind_t;

typedef struct {
	route_kind_t kind;
	/* Latest point that the session has seen; term 0 means none. */
	group_point_t seen;
	/* Staleness bound of a read, or ROUTE_AGE_ANY. */
	clock_ms_t max_age_ms;
	clock_ms_t deadline_ms;
} route_request_t;

typedef enum {
	ROUTE_REFUSAL_NO_PRIMARY,
	ROUTE_REFUSAL_NOT_PRIMARY,
	ROUTE_REFUSAL_NO_QUORUM,
	ROUTE_REFUSAL_AGE_NOT_PROVED,
	ROUTE_REFUSAL_TOO_OLD,
	ROUTE_REFUSAL_POSITION_NOT_REACHED,
	ROUTE_REFUSAL_LEAVING,
	ROUTE_REFUSAL_DEADLINE,
	ROUTE_REFUSAL_COUNT,
} route_refusal_t;

typedef enum {
	ROUTE_DECISION_SERVE,
	ROUTE_DECISION_WAIT,
	ROUTE_DECISION_REFUSE,
} route_decision_kind_t;

typedef struct {
	route_decision_kind_t kind;
	union {
		struct {
			/* Term of the target's log; 0 if not known. */
			uint32_t term;
			/* The target is the primary. */
			bool primary;
			/* Proved age; ROUTE_AGE_ANY if no age is proved. */
			clock_ms_t age_ms;
		} serve;
		struct {
			/* Point that the target must apply first. */
			group_point_t until;
		} wait;
		struct {
			route_refusal_t reason;
			/* GROUP_INDEX_NONE if not known. */
			group_index_t primary;
		} refuse;
	} u;
} route_decision_t;

/* What is known about the targets of one group: the latest status of each
 * target with the time of its request, and samples of the primary's position.
 */
typedef struct route_evidence route_evidence_t;

typedef struct {
	uint32_t target_count;
	/* A status that was requested longer ago than this does not count when
	 * a write is to be admitted. */
	clock_ms_t fresh_ms;
} route_options_t;

enum {
	ROUTE_OK = 0,
	ROUTE_ERROR_MEMORY = -1,
	ROUTE_ERROR_INVALID = -2,
	ROUTE_ERROR_NO_PRIMARY = -3,
	ROUTE_ERROR_NOT_PROVED = -4,
};

route_evidence_t *route_evidence_new(const route_options_t *options);
void route_evidence_free(route_evidence_t *evidence);
int route_evidence_record(route_evidence_t *evidence, group_index_t target,
			  clock_ms_t requested_at_ms,
			  const group_status_t *status);
void route_evidence_set_leaving(route_evidence_t *evidence,
				group_index_t target, bool leaving);
const group_status_t *route_evidence_status(const route_evidence_t *evidence,
					    group_index_t target);
int route_evidence_primary(const route_evidence_t *evidence, uint32_t *term,
			   group_index_t *primary);
int route_evidence_age(const route_evidence_t *evidence, group_index_t target,
		       clock_ms_t now_ms, clock_ms_t *age_ms);
bool route_evidence_confirmed(const route_evidence_t *evidence,
			      group_point_t point);
bool route_evidence_quorum(const route_evidence_t *evidence, clock_ms_t now_ms);
route_decision_t route_decide(const route_evidence_t *evidence,
			      group_index_t target,
			      const route_request_t *request,
			      clock_ms_t now_ms);

/* What an entry proxy knows about one target when it orders the candidates. */
typedef struct {
	/* The target is in the failure domain of the entry proxy. */
	bool same_domain;
	/* The proxy that owns the target is known. */
	bool owner_known;
	bool leaving;
	/* Statements that the entry proxy has in flight at the target. */
	uint32_t in_flight;
	/* Time of the target's last refusal or failure; 0 means none. */
	clock_ms_t failed_at_ms;
} route_candidate_t;

/* What an entry proxy knows about the targets of one group. */
typedef struct {
	uint32_t target_count;
	/* Last known primary; GROUP_INDEX_NONE if not known. */
	group_index_t primary;
	route_candidate_t targets[GROUP_TARGETS_MAX];
} route_view_t;

uint32_t route_order(const route_view_t *view, const route_request_t *request,
		     clock_ms_t now_ms, uint64_t random,
		     group_index_t order[GROUP_TARGETS_MAX]);

const char *route_refusal_text(route_refusal_t reason);
const char *route_error_text(int error);

#endif
