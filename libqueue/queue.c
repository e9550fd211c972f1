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
 * Records that an operation of a priority has held a connection for held_ms.
 */
void queue_usage_note(queue_usage_t *usage, uint32_t priority,
		      clock_ms_t held_ms, clock_ms_t now_ms)
{
	clock_ms_t elapsed_ms = now_ms - usage->updated_ms;
	double kept = 0.0;
	uint32_t i;

	if (elapsed_ms < QUEUE_USAGE_WINDOW_MS)
		kept = 1.0 - (double)elapsed_ms / QUEUE_USAGE_WINDOW_MS;
	for (i = 0; i < QUEUE_PRIORITIES; i++)
		usage->held_ms[i] *= kept;
	if (priority >= QUEUE_PRIORITIES)
		priority = QUEUE_PRIORITIES - 1;
	usage->held_ms[priority] += (double)held_ms;
	usage->updated_ms = now_ms;
	if (usage->hold_ms > 0.0)
		usage->hold_ms +=
			QUEUE_HOLD_WEIGHT * ((double)held_ms - usage->hold_ms);
	else
		usage->hold_ms = (double)held_ms;
}

/*
 * Returns the expected wait in ms of an operation behind ahead others for one
 * of a number of connections that are all in use.
 */
clock_ms_t queue_expected_wait_ms(const queue_usage_t *usage, uint32_t ahead,
				  uint32_t connections)
{
	if (connections == 0)
		connections = 1;
	return (clock_ms_t)(usage->hold_ms * ((double)ahead + 1.0) /
			    (double)connections);
}

/*
 * Returns whether operations of a priority and more urgent ones together have
 * held a small part of the connections, but not all of it.
 */
static bool is_urgent(const queue_usage_t *usage, uint32_t priority)
{
	double urgent_ms = 0.0;
	double all_ms = 0.0;
	uint32_t i;

	for (i = 0; i < QUEUE_PRIORITIES; i++) {
		if (i <= priority)
			urgent_ms += usage->held_ms[i];
		all_ms += usage->held_ms[i];
	}
	return all_ms > 0.0 && urgent_ms <= all_ms * QUEUE_URGENT_SHARE_MAX;
}

/*
 * Returns how long an operation may wait for a connection and still meet its
 * latency objective, in ms; a default if it has none or cannot meet it.
 */
static clock_ms_t useful_wait_ms(const queue_entry_t *entry)
{
	clock_ms_t elapsed_ms = entry->arrived_ms - entry->begun_ms;
	clock_ms_t wait_ms = (clock_ms_t)((double)entry->objective_ms *
					  QUEUE_BURST_WAIT_RATIO) -
			     elapsed_ms;

	if (wait_ms <= 0)
		wait_ms = QUEUE_WAIT_DEFAULT_MS;
	return wait_ms < entry->timeout_ms ? wait_ms : entry->timeout_ms;
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
 * one before it is refused; 0 means that it is refused at once. expected_ms is
 * its expected wait. The wait is recorded in busy_period.
 *
 * An operation that is expected to wait for longer than it can is refused at
 * once. So are all but the urgent ones when a busy period has lasted for longer
 * than a burst. A queue would then make all operations miss their objectives,
 * while callers that are refused at once retry within their objective and may
 * find a free connection.
 */
clock_ms_t queue_wait_ms(queue_busy_period_t *busy_period,
			 const queue_usage_t *usage, const queue_entry_t *entry,
			 clock_ms_t expected_ms, clock_ms_t now_ms)
{
	clock_ms_t wait_ms = useful_wait_ms(entry);

	if (busy_period->last_wait_ms == 0 ||
	    now_ms >= busy_period->last_wait_ms + QUEUE_BUSY_PERIOD_GAP_MS)
		busy_period->started_ms = now_ms;
	busy_period->last_wait_ms = now_ms;
	if (expected_ms > wait_ms)
		return 0;
	if (now_ms >= busy_period->started_ms + QUEUE_BURST_MAX_MS &&
	    !is_urgent(usage, entry->priority))
		return 0;
	return wait_ms;
}
