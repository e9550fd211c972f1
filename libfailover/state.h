#ifndef HORNBEAMTACK_FAILOVER_STATE_H
#define HORNBEAMTACK_FAILOVER_STATE_H

#include "failover.h"

/* Attempts of a fence or promote call in one round, since an answer can be
 * lost. A target whose last attempt failed is not fenced in that round; a
 * promotion whose last attempt failed ends the round. */
#define FAILOVER_CALL_ATTEMPTS_MAX 3

/* Consecutive probes, probe_ms apart, whose connection a primary has to refuse
 * to count as lost before detect_ms has passed. A single refusal can come from
 * the connection limit of the target. */
#define FAILOVER_CONNECT_REFUSALS_MIN 2

/* Recent rounds up to which the random backoff before a round doubles. */
#define FAILOVER_BACKOFF_ROUNDS_MAX 5

/* The outstanding or latest call of one kind to a target. */
typedef struct {
	/* 0 while no call is outstanding. */
	uint64_t id;
	clock_ms_t sent_at_ms;
	clock_ms_t timeout_ms;
	clock_ms_t retry_at_ms;
	uint32_t attempts;
} failover_call_state_t;

typedef struct {
	/* Latest status of the target, and the time of the latest request that
	 * was answered with a status. */
	bool has_status;
	group_status_t status;
	clock_ms_t requested_at_ms;
	/* Request time of the latest status that showed growth of the replica's
	 * log; 0 if the log has not grown since the target's last promise. */
	clock_ms_t log_grown_at_ms;
	/* Marked as leaving by an event; status.leaving is the target's own
	 * report. */
	bool leaving;

	failover_call_state_t status_call;
	failover_call_state_t probe_call;
	clock_ms_t probe_failed_at_ms;
	bool probe_failed;
	/* The last status call failed long before its timeout. */
	bool connection_failed;
	/* Consecutive probes that failed long before their timeout. */
	uint32_t connect_refusals;

	/* The fence, promote or follow call of the target. */
	failover_call_state_t step_call;
	/* The target was fenced, or refused the call, in the present round. */
	bool fenced;
	bool refused;
	/* Status from the answer to the fence call. */
	group_status_t fenced_status;

	/* Term and primary in the answer to the latest follow call. */
	uint32_t followed_term;
	char followed_primary[GROUP_NAME_SIZE];
	/* No follow call is sent before this time. */
	clock_ms_t follow_at_ms;
} failover_target_t;

/* Why the group needs a new primary. */
typedef enum {
	FAILOVER_REASON_NONE,
	/* No primary was known or no answer of it came for detect_ms, or the
	 * primary refused FAILOVER_CONNECT_REFUSALS_MIN connections. */
	FAILOVER_REASON_PRIMARY_LOST,
	/* A target has promised a term in which no target was promoted. */
	FAILOVER_REASON_UNFINISHED_TERM,
	/* The primary is leaving and another target can take over. */
	FAILOVER_REASON_HANDOVER,
} failover_reason_t;

struct failover {
	failover_options_t options;
	failover_target_t targets[GROUP_TARGETS_MAX];
	uint64_t next_id;
	/* Time of the latest failover_step(). */
	clock_ms_t stepped_at_ms;
	/* Start of the observer, or end of the last pause of its process. */
	clock_ms_t resumed_at_ms;

	failover_phase_t phase;
	clock_ms_t phase_at_ms;
	/* A status requested earlier does not count towards a new round. */
	clock_ms_t valid_since_ms;
	/* No round starts before this time, so that another coordinator can
	 * finish its round. */
	clock_ms_t hold_until_ms;
	/* End of the delay before the round; 0 while it has not begun. */
	clock_ms_t round_due_at_ms;
	/* Highest promised term in any status. */
	uint32_t max_promised_term;
	/* Rounds of this observer since the group was last stable. */
	uint32_t recent_rounds;

	/* Term of the latest round of this observer; no two rounds have the
	 * same term. */
	uint32_t round_term;
	/* Calls of the latest round have ids from this one on. */
	uint64_t round_first_id;
	group_index_t chosen;

	/* Reported by failover_view(). */
	uint32_t promotions;
	uint32_t collisions;
	clock_ms_t detect_spent_ms;
	clock_ms_t fence_spent_ms;
	clock_ms_t promote_spent_ms;
};

/* Actions of one failover_step(), up to FAILOVER_ACTIONS_MAX. */
typedef struct {
	failover_action_t *actions;
	size_t count;
} failover_output_t;

/* step.c */
void failover_phase_enter(failover_t *failover, failover_phase_t phase,
			  clock_ms_t now_ms, failover_output_t *out);
void failover_round_abandon(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out);

/* call.c */
void failover_call_send(failover_t *failover, failover_call_state_t *state,
			failover_call_t call, group_index_t target,
			group_index_t primary, clock_ms_t now_ms,
			failover_output_t *out);
bool failover_call_expire(failover_call_state_t *state, clock_ms_t now_ms);
void failover_call_end(failover_t *failover, const failover_event_t *event,
		       clock_ms_t now_ms);

/* detect.c */
void failover_detect_record(failover_t *failover, const failover_event_t *event,
			    clock_ms_t now_ms);
bool failover_detect_fresh(const failover_t *failover, group_index_t target,
			   clock_ms_t now_ms);
bool failover_detect_majority(const failover_t *failover, clock_ms_t now_ms);
group_index_t failover_detect_primary(const failover_t *failover);
clock_ms_t failover_detect_silence(const failover_t *failover,
				   clock_ms_t now_ms);
failover_reason_t failover_detect_reason(const failover_t *failover,
					 clock_ms_t now_ms);
bool failover_detect_replication(const failover_t *failover, clock_ms_t now_ms);
bool failover_detect_group_in_one_term(const failover_t *failover,
				       clock_ms_t now_ms);
uint32_t failover_detect_max_term(const failover_t *failover);
bool failover_detect_leaving(const failover_target_t *target);

/* probe.c */
void failover_poll_status(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out);
void failover_probe_early(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out);
bool failover_probe_advance(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out);

/* fence.c */
void failover_fence_begin(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out);
void failover_fence_record(failover_t *failover, const failover_event_t *event);
void failover_fence_advance(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out);

/* promote.c */
void failover_promote_begin(failover_t *failover, group_index_t chosen,
			    clock_ms_t now_ms, failover_output_t *out);
void failover_promote_advance(failover_t *failover, clock_ms_t now_ms,
			      failover_output_t *out);
void failover_follow_record(failover_t *failover,
			    const failover_event_t *event);
void failover_follow_send(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out);

#endif
