#include "queue.h"

/*
 * Records that an attempt of an operation arrived at now_ms. statement_hash is
 * the hash of its first statement. The same statement within
 * QUEUE_RETRY_WINDOW_MS after a refusal is a retry of the same operation, whose
 * latency objective counts from the first attempt.
 */
void queue_operation_begin(queue_operation_t *operation,
			   uint64_t statement_hash, clock_ms_t now_ms)
{
	bool is_retry = operation->refused_ms != 0 &&
			operation->statement_hash == statement_hash &&
			now_ms <= operation->refused_ms + QUEUE_RETRY_WINDOW_MS;

	if (!is_retry)
		operation->begun_ms = now_ms;
	operation->statement_hash = statement_hash;
	operation->refused_ms = 0;
}

/*
 * Records that the current attempt of an operation was refused.
 */
void queue_operation_refused(queue_operation_t *operation, clock_ms_t now_ms)
{
	operation->refused_ms = now_ms;
}

/*
 * Returns whether an operation has missed its latency objective.
 */
static bool is_late(const queue_entry_t *entry, clock_ms_t now_ms)
{
	return entry->objective_ms != 0 &&
	       now_ms >= entry->begun_ms + entry->objective_ms;
}

/*
 * Returns whether an operation goes before another one that has waited for
 * longer. Operations that have missed their latency objective go last, whatever
 * their priority, because under overload their callers gain least from an
 * answer. Otherwise the priority decides.
 */
bool queue_goes_before(const queue_entry_t *entry, const queue_entry_t *other,
		       clock_ms_t now_ms)
{
	bool late = is_late(entry, now_ms);

	if (late != is_late(other, now_ms))
		return !late;
	return entry->priority < other->priority;
}

/*
 * Returns how many ms an operation may wait for a connection that is being
 * opened for it. Such a wait is no sign that the targets do not keep up.
 */
clock_ms_t queue_opening_wait_ms(const queue_entry_t *entry)
{
	clock_ms_t elapsed_ms = entry->arrived_ms - entry->begun_ms;
	clock_ms_t wait_ms = QUEUE_WAIT_DEFAULT_MS;

	if (elapsed_ms < entry->objective_ms)
		wait_ms = (clock_ms_t)((double)entry->objective_ms *
				       QUEUE_BURST_WAIT_RATIO);
	return wait_ms < entry->timeout_ms ? wait_ms : entry->timeout_ms;
}

/*
 * Returns how many ms an operation that finds no free connection may wait for
 * one before it is refused; 0 means that it is refused at once. The wait is
 * recorded in busy_period.
 *
 * Once a busy period has lasted for longer than a burst, nothing waits any
 * more. A queue would then make all operations miss their objectives, while
 * callers that are refused at once retry within their objective and may find a
 * free connection.
 */
clock_ms_t queue_wait_ms(queue_busy_period_t *busy_period,
			 const queue_entry_t *entry, clock_ms_t now_ms)
{
	if (busy_period->last_wait_ms == 0 ||
	    now_ms >= busy_period->last_wait_ms + QUEUE_BUSY_PERIOD_GAP_MS)
		busy_period->started_ms = now_ms;
	busy_period->last_wait_ms = now_ms;
	if (now_ms >= busy_period->started_ms + QUEUE_BURST_MAX_MS)
		return 0;
	return queue_opening_wait_ms(entry);
}
