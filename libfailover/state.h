#ifndef HORNBEAMTACK_FAILOVER_STATE_H
#define HORNBEAMTACK_FAILOVER_STATE_H

#include "failover.h"

/* A call whose answer is lost is repeated; a fence or promote call that fails
 * this often in one round ends the round. */
#define FAILOVER_CALL_ATTEMPTS_MAX 3

/* A target whose connection failed and that refused this many new ones in a
 * row, probe_ms apart, is taken for lost without waiting for detect_ms. A
 * single refusal can come from its connection limit. */
#define FAILOVER_CONNECT_REFUSALS_MIN 2

/* The random wait after a failed round doubles up to this many times. */
#define FAILOVER_BACKOFF_ROUNDS_MAX 5

typedef struct {
	/* 0 while no call is outstanding. */
	uint64_t id;
	clock_ms_t sent_at_ms;
	clock_ms_t timeout_ms;
	clock_ms_t retry_at_ms;
	uint32_t attempts;
} failover_call_state_t;

typedef struct {
	/* Latest evidence: the status and the time its request was sent. */
	bool has_status;
	group_status_t status;
	clock_ms_t requested_at_ms;
	/* Request time of the last status in which the log of this replica had
	 * grown; 0 if it did not since its latest promise. */
	clock_ms_t log_grown_at_ms;
	/* Set by an event; status.leaving is the target's own report. */
	bool leaving;

	failover_call_state_t status_call;
	failover_call_state_t probe_call;
	clock_ms_t probe_failed_at_ms;
	bool probe_failed;
	/* The last status call failed before its timeout. */
	bool connection_failed;
	/* Probes in a row that failed before their timeout. */
	uint32_t connect_refusals;

	/* The fence, promote or follow call of the target. */
	failover_call_state_t step_call;
	bool fenced;
	bool refused;
	group_status_t fenced_status;

	/* The last FOLLOWED answer: its term and the primary that it named. */
	uint32_t followed_term;
	char followed_primary[GROUP_NAME_SIZE];
	clock_ms_t follow_at_ms;
} failover_target_t;

typedef enum {
	FAILOVER_REASON_NONE,
	/* No primary is known, or it gave no answer for detect_ms. */
	FAILOVER_REASON_PRIMARY_LOST,
	/* A target has promised a term in which nobody was promoted. */
	FAILOVER_REASON_UNFINISHED_TERM,
	/* The primary is leaving and another target can take over. */
	FAILOVER_REASON_HANDOVER,
} failover_reason_t;

struct failover {
	failover_options_t options;
	failover_target_t targets[GROUP_TARGETS_MAX];
	uint64_t next_id;
	clock_ms_t stepped_at_ms;
	/* Start, or the end of the last pause of this process. */
	clock_ms_t resumed_at_ms;

	failover_phase_t phase;
	clock_ms_t phase_at_ms;
	/* Evidence requested earlier does not count towards a new round. */
	clock_ms_t valid_since_ms;
	/* No round starts earlier, so that another coordinator can finish. */
	clock_ms_t hold_until_ms;
	/* When the rank delay ends; 0 while it has not begun. */
	clock_ms_t round_due_at_ms;
	uint32_t max_promised_term;
	/* Rounds since the last long calm. */
	uint32_t recent_rounds;

	/* Term of the latest round of this observer; never used twice. */
	uint32_t round_term;
	uint64_t round_first_id;
	group_index_t chosen;

	uint32_t promotions;
	uint32_t collisions;
	clock_ms_t detect_spent_ms;
	clock_ms_t fence_spent_ms;
	clock_ms_t promote_spent_ms;
};

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
