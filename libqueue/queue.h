#ifndef HORNBEAMTACK_QUEUE_H
#define HORNBEAMTACK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Callers repeat a refused operation on the same session 25 to 200 ms later. A
 * statement that comes after this time begins another operation. */
#define QUEUE_RETRY_WINDOW_MS 300
/* In a burst, an operation waits for this part of its objective at most. The
 * rest is for its statements, each of which waits at the target as well. */
#define QUEUE_BURST_WAIT_RATIO 0.75
/* A burst is over after this time; operations that still come too fast then are
 * more than the targets can run. */
#define QUEUE_BURST_MAX_MS 300
/* The targets keep up again once no operation had to wait for this long. */
#define QUEUE_BUSY_PERIOD_GAP_MS 200
/* Wait of an operation without an objective, or past it. */
#define QUEUE_WAIT_DEFAULT_MS 100

/* The operation of a session over its attempts. */
typedef struct {
	/* Hash of its first statement. */
	uint64_t statement_hash;
	/* Arrival of the first attempt. */
	clock_ms_t begun_ms;
	/* Refusal of the last attempt; 0: it was not refused. */
	clock_ms_t refused_ms;
} queue_operation_t;

/* One operation that waits for a connection. */
typedef struct {
	/* 0 goes first. */
	uint32_t priority;
	clock_ms_t begun_ms;
	/* Arrival of this attempt. */
	clock_ms_t arrived_ms;
	/* From begun_ms; 0: none. */
	clock_ms_t objective_ms;
	/* Limit of the statement, from arrived_ms. */
	clock_ms_t timeout_ms;
} queue_entry_t;

/* Whether the targets of a group keep up with its operations. */
typedef struct {
	/* The first and the last time that one had to wait; 0: none had. */
	clock_ms_t started_ms;
	clock_ms_t last_wait_ms;
} queue_busy_period_t;

void queue_operation_begin(queue_operation_t *operation,
			   uint64_t statement_hash, clock_ms_t now_ms);
void queue_operation_refused(queue_operation_t *operation, clock_ms_t now_ms);
bool queue_goes_before(const queue_entry_t *entry, const queue_entry_t *other,
		       clock_ms_t now_ms);
clock_ms_t queue_wait_ms(queue_busy_period_t *busy_period,
			 const queue_entry_t *entry, clock_ms_t now_ms);

#endif
