#ifndef HORNBEAMTACK_QUEUE_H
#define HORNBEAMTACK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Callers retry a refused operation on the same session 25 to 200 ms later. A
 * statement that arrives later than this after a refusal is not a retry. */
#define QUEUE_RETRY_WINDOW_MS 300
/* Longest wait during a burst, as a part of the operation's latency objective.
 * The rest of the objective is needed for its statements, each of which waits
 * at the target as well. */
#define QUEUE_BURST_WAIT_RATIO 0.75
/* Longest busy period that counts as a burst. If operations still have to wait
 * after this time, there are more of them than the targets can run. */
#define QUEUE_BURST_MAX_MS 300
/* Time without a wait that ends a busy period: the targets keep up again. */
#define QUEUE_BUSY_PERIOD_GAP_MS 200
/* Longest wait of an operation that has no latency objective, or has already
 * missed it. */
#define QUEUE_WAIT_DEFAULT_MS 100
/* Time constant of the averages of a group's use of connections. */
#define QUEUE_USAGE_WINDOW_MS 1000
/* Weight of a new measurement in the time for which a connection is held. */
#define QUEUE_HOLD_WEIGHT 0.1
/* Priorities that are told apart; higher values count as the last of them. */
#define QUEUE_PRIORITIES 4
/* Operations that, with all more urgent ones, hold at most this share of the
 * connections go on waiting when others are refused at once. The rest of the
 * connections yields to them, so that their queue stays short, and less urgent
 * operations still get the greater part. */
#define QUEUE_URGENT_SHARE_MAX 0.5

/* The current operation of a session, over all its attempts. */
typedef struct {
	/* Hash of its first statement. */
	uint64_t statement_hash;
	/* Arrival of the first attempt. */
	clock_ms_t begun_ms;
	/* Time at which the last attempt was refused; 0 if it was not. */
	clock_ms_t refused_ms;
} queue_operation_t;

/* An operation that waits for a connection. */
typedef struct {
	/* Operations of priority 0 go first, then those of higher values. */
	uint32_t priority;
	/* Arrival of the first attempt. */
	clock_ms_t begun_ms;
	/* Arrival of this attempt. */
	clock_ms_t arrived_ms;
	/* Latency objective, counted from begun_ms; 0 if there is none. */
	clock_ms_t objective_ms;
	/* Timeout of the statement, counted from arrived_ms. */
	clock_ms_t timeout_ms;
} queue_entry_t;

/* The time during which operations of a group have had to wait for its targets.
 */
typedef struct {
	clock_ms_t started_ms;
	/* Last time that an operation had to wait; 0 if none has yet. */
	clock_ms_t last_wait_ms;
} queue_busy_period_t;

/* The use of a group's connections by this proxy. */
typedef struct {
	/* Moving average of the time for which an operation holds its
	 * connection, with the pauses of its transaction; 0 before the first.
	 */
	double hold_ms;
	/* Time for which connections were held, by priority. It decays with
	 * QUEUE_USAGE_WINDOW_MS. */
	double held_ms[QUEUE_PRIORITIES];
	clock_ms_t updated_ms;
} queue_usage_t;

void queue_operation_begin(queue_operation_t *operation,
			   uint64_t statement_hash, clock_ms_t now_ms);
void queue_operation_refused(queue_operation_t *operation, clock_ms_t now_ms);
bool queue_goes_before(const queue_entry_t *entry, const queue_entry_t *other,
		       clock_ms_t now_ms);
void queue_usage_note(queue_usage_t *usage, uint32_t priority,
		      clock_ms_t held_ms, clock_ms_t now_ms);
clock_ms_t queue_expected_wait_ms(const queue_usage_t *usage, uint32_t ahead,
				  uint32_t connections);
clock_ms_t queue_opening_wait_ms(const queue_entry_t *entry);
clock_ms_t queue_wait_ms(queue_busy_period_t *busy_period,
			 const queue_usage_t *usage, const queue_entry_t *entry,
			 clock_ms_t expected_ms, clock_ms_t now_ms);

#endif
