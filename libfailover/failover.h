#ifndef HORNBEAMTACK_FAILOVER_H
#define HORNBEAMTACK_FAILOVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

typedef struct {
	uint32_t target_count;
	/* Number of this observer in promises; not 0, and different from
	 * that of every other observer in the fleet. */
	uint64_t coordinator;
	/* Interval between the status calls to a target. */
	clock_ms_t status_interval_ms;
	/* Time without an answer after which the primary counts as lost. */
	clock_ms_t detect_ms;
	/* Timeout of a probe. */
	clock_ms_t probe_ms;
	/* Timeout of a fence, promote or follow call. */
	clock_ms_t step_timeout_ms;
	/* Delay before a round for each rank of the observer; the first
	 * rank has none. */
	clock_ms_t stagger_ms;
	/* Upper limit of the random part of the delay before a round. */
	clock_ms_t jitter_ms;
} failover_options_t;

typedef enum {
	FAILOVER_EVENT_TICK,
	FAILOVER_EVENT_STATUS,
	FAILOVER_EVENT_FENCED,
	FAILOVER_EVENT_PROMOTED,
	FAILOVER_EVENT_FOLLOWED,
	/* The target refused a fence, promote or follow call with HT001. */
	FAILOVER_EVENT_REFUSED,
	/* The call timed out or its connection failed. */
	FAILOVER_EVENT_FAILED,
	/* An operator or the instance list marks the target as leaving. */
	FAILOVER_EVENT_LEAVING,
	/* Neither of them marks the target as leaving any more. */
	FAILOVER_EVENT_NOT_LEAVING,
} failover_event_kind_t;

typedef enum {
	FAILOVER_CALL_STATUS,
	/* A status call over a new connection. */
	FAILOVER_CALL_PROBE,
	FAILOVER_CALL_FENCE,
	FAILOVER_CALL_PROMOTE,
	FAILOVER_CALL_FOLLOW,
} failover_call_t;

typedef struct {
	failover_event_kind_t kind;
	group_index_t target;
	/* Kind of the answered call, and the id in its action; 0 for events
	 * that answer no call. */
	failover_call_t call;
	uint64_t call_id;
	/* Time at which the call was sent. */
	clock_ms_t requested_at_ms;
	/* Set for STATUS, FENCED, PROMOTED and FOLLOWED. */
	group_status_t status;
} failover_event_t;

typedef enum {
	FAILOVER_ACTION_CALL,
	FAILOVER_ACTION_PHASE,
} failover_action_kind_t;

typedef enum {
	FAILOVER_PHASE_STEADY,
	FAILOVER_PHASE_SUSPECT,
	FAILOVER_PHASE_FENCING,
	FAILOVER_PHASE_PROMOTING,
} failover_phase_t;

typedef struct {
	failover_action_kind_t kind;
	union {
		struct {
			uint64_t id;
			failover_call_t call;
			group_index_t target;
			uint32_t term;
			/* For FOLLOW: the primary that the target is to
			 * follow; else GROUP_INDEX_NONE. */
			group_index_t primary;
			clock_ms_t timeout_ms;
		} call;
		struct {
			failover_phase_t from;
			failover_phase_t to;
			uint32_t term;
			/* Duration of the phase that ended. */
			clock_ms_t spent_ms;
		} phase;
	} u;
} failover_action_t;

#define FAILOVER_ACTIONS_MAX (2 * GROUP_TARGETS_MAX + 4)

typedef struct {
	failover_phase_t phase;
	uint32_t term;
	group_index_t primary;
	/* Successful rounds of this observer. */
	uint32_t promotions;
	/* Calls that a target refused during a round, and rounds given up for a
	 * higher term: both show another coordinator at work. */
	uint32_t collisions;
	clock_ms_t detect_spent_ms;
	clock_ms_t fence_spent_ms;
	clock_ms_t promote_spent_ms;
} failover_view_t;

/* An observer of one group: it polls the status of the targets and detects that
 * the group needs a new primary. It then runs a round as the coordinator of a
 * new term: it fences the targets, promotes one and has the others follow.
 * Several observers can watch a group; the promises of the targets let only one
 * of them coordinate a term. */
typedef struct failover failover_t;

failover_t *failover_new(const failover_options_t *options, clock_ms_t now_ms);
void failover_free(failover_t *failover);
size_t failover_step(failover_t *failover, const failover_event_t *event,
		     clock_ms_t now_ms, uint64_t random,
		     failover_action_t actions[FAILOVER_ACTIONS_MAX]);
failover_view_t failover_view(const failover_t *failover);
group_index_t failover_choose(const group_status_t *statuses,
			      const bool *fenced, uint32_t target_count);
const char *failover_phase_text(failover_phase_t phase);

#endif
