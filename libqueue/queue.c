#include "queue.h"

/*
 * Notes the start of an operation whose first statement has the hash first. The
 * same statement shortly after a refusal is a further attempt: its objective
 * counts from the first one.
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

void queue_operation_refused(queue_operation_t *operation, clock_ms_t now_ms)
{
	operation->refused_ms = now_ms;
}

/*
 * Tells whether an operation can no longer end within its objective.
 */
static bool is_late(const queue_entry_t *entry, clock_ms_t now_ms)
{
	return entry->objective_ms != 0 &&
	       now_ms >= entry->begun_ms + entry->objective_ms;
}

/*
 * Tells whether an operation goes before one that has waited for longer.
 * Answers the load of more operations than a target can run: those that are
 * late go last, because they gain least, whatever their priority.
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
 * Returns how long an operation that finds no free connection may wait for one
 * before it is refused; 0 refuses it at once. Answers the load of more
 * operations than a target can run: a queue would make all of them late, while
 * callers that are refused at once come back within their objective and find a
 * connection by chance.
 */
clock_ms_t queue_wait_ms(queue_busy_period_t *busy_period,
			 const queue_entry_t *entry, clock_ms_t now_ms)
{
	clock_ms_t elapsed_ms = entry->arrived_ms - entry->begun_ms;
	clock_ms_t wait_ms = QUEUE_WAIT_DEFAULT_MS;

	if (busy_period->last_wait_ms == 0 ||
	    now_ms >= busy_period->last_wait_ms + QUEUE_BUSY_PERIOD_GAP_MS)
		busy_period->started_ms = now_ms;
	busy_period->last_wait_ms = now_ms;
	if (now_ms >= busy_period->started_ms + QUEUE_BURST_MAX_MS)
		return 0;
	if (elapsed_ms < entry->objective_ms)
		wait_ms = (clock_ms_t)((double)entry->objective_ms *
				       QUEUE_BURST_WAIT_RATIO);
	return wait_ms < entry->timeout_ms ? wait_ms : entry->timeout_ms;
}
