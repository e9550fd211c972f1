#include "internal.h"

#include <stdlib.h>

/*
 * Returns a controller for one target, or NULL if memory is short.
 */
admission_t *admission_new(const admission_options_t *options)
{
	admission_t *admission = calloc(1, sizeof(*admission));
	int i;

	if (!admission)
		return NULL;
	admission->options = *options;
	for (i = 0; i < ADMISSION_CLASS_COUNT; i++)
		admission_queue_init(&admission->queues[i]);
	TAILQ_INIT(&admission->running);
	return admission;
}

/*
 * Frees a controller with all that is queued or in execution; NULL is allowed.
 */
void admission_free(admission_t *admission)
{
	admission_entry_t *entry;
	admission_entry_t *next;
	int i;

	if (!admission)
		return;
	for (i = 0; i < ADMISSION_CLASS_COUNT; i++)
		admission_queue_clear(&admission->queues[i]);
	for (entry = TAILQ_FIRST(&admission->running); entry; entry = next) {
		next = TAILQ_NEXT(entry, link);
		free(entry);
	}
	free(admission);
}

/*
 * Replaces the options. Statements in execution or queued keep their places
 * even if the new limits are lower; the measured service time is kept. Call
 * admission_dispatch() afterwards, as slots may have become free.
 */
void admission_configure(admission_t *admission,
			 const admission_options_t *options)
{
	admission->options = *options;
}

static bool can_run(const admission_t *admission, admission_class_t class)
{
	if (admission->in_use >= admission->options.slots)
		return false;
	return class != ADMISSION_CLASS_READ ||
	       admission->reads_in_use < admission_slots(admission, class);
}

/*
 * Returns the class whose queue has the next turn, or ADMISSION_CLASS_COUNT if
 * nothing that is queued can run now. Open transactions go first because they
 * hold a connection and locks, then writes, then reads.
 */
static admission_class_t next_class(const admission_t *admission)
{
	bool read = admission->queues[ADMISSION_CLASS_READ].count > 0 &&
		    can_run(admission, ADMISSION_CLASS_READ);

	if (admission->in_use >= admission->options.slots)
		return ADMISSION_CLASS_COUNT;
	if (read &&
	    admission->reads_passed_over >= ADMISSION_READS_PASSED_OVER_MAX)
		return ADMISSION_CLASS_READ;
	if (admission->queues[ADMISSION_CLASS_TRANSACTION].count > 0)
		return ADMISSION_CLASS_TRANSACTION;
	if (admission->queues[ADMISSION_CLASS_WRITE].count > 0)
		return ADMISSION_CLASS_WRITE;
	return read ? ADMISSION_CLASS_READ : ADMISSION_CLASS_COUNT;
}

/*
 * Counts how often reads that could run were passed over by other classes.
 */
static void count_passed_over(admission_t *admission, admission_class_t class)
{
	if (class == ADMISSION_CLASS_READ)
		admission->reads_passed_over = 0;
	else if (admission->queues[ADMISSION_CLASS_READ].count > 0 &&
		 can_run(admission, ADMISSION_CLASS_READ))
		admission->reads_passed_over++;
}

/*
 * Gives a slot to an entry that is in no queue.
 */
static admission_action_t start(admission_t *admission,
				admission_entry_t *entry, clock_ms_t now_ms)
{
	count_passed_over(admission, entry->request.class);
	entry->started_ms = now_ms;
	TAILQ_INSERT_TAIL(&admission->running, entry, link);
	admission->in_use++;
	if (entry->request.class == ADMISSION_CLASS_READ)
		admission->reads_in_use++;
	return (admission_action_t){ .kind = ADMISSION_ACTION_ADMIT,
				     .id = entry->request.id };
}

static admission_action_t refuse(uint64_t id, admission_refusal_t reason)
{
	return (admission_action_t){ .kind = ADMISSION_ACTION_REFUSE,
				     .id = id,
				     .reason = reason };
}

/*
 * Tells whether a request finds no place in the queue of its class. A flow may
 * hold as many places as are still free, so that one flow alone can fill only
 * half of the queue and others find places.
 */
static bool is_full(const admission_t *admission,
		    const admission_request_t *request)
{
	const admission_queue_t *queue = &admission->queues[request->class];
	uint32_t max = admission->options.queue_max;

	return queue->count >= max ||
	       admission_queue_flow_count(queue, request->flow) >=
		       max - queue->count;
}

/*
 * Queues the entry of a new request, or frees it if memory is short.
 */
static admission_action_t enqueue(admission_t *admission,
				  admission_entry_t *entry, clock_ms_t now_ms)
{
	admission_queue_t *queue = &admission->queues[entry->request.class];
	uint64_t id = entry->request.id;

	if (queue->count == 0)
		queue->nonempty_since_ms = now_ms;
	if (admission_queue_push(queue, entry) != ADMISSION_OK) {
		free(entry);
		return refuse(id, ADMISSION_REFUSAL_QUEUE_FULL);
	}
	return (admission_action_t){ .kind = ADMISSION_ACTION_QUEUE, .id = id };
}

/*
 * Decides on a new request: admitted if a slot is free for its class and
 * nothing that could run is queued; otherwise queued, or refused while that
 * costs nothing yet. While draining, only statements of open transactions are
 * accepted, because transactions in flight must be able to end.
 *
 * With a free slot the estimated service time is not held against the request:
 * an estimate that became too high would otherwise never be measured again.
 */
admission_action_t admission_offer(admission_t *admission,
				   const admission_request_t *request,
				   clock_ms_t now_ms)
{
	bool run = can_run(admission, request->class) &&
		   next_class(admission) == ADMISSION_CLASS_COUNT;
	admission_entry_t *entry;

	if (admission->draining &&
	    request->class != ADMISSION_CLASS_TRANSACTION)
		return refuse(request->id, ADMISSION_REFUSAL_DRAINING);
	if (request->deadline_ms <= now_ms)
		return refuse(request->id, ADMISSION_REFUSAL_DEADLINE);
	if (!run && is_full(admission, request))
		return refuse(request->id, ADMISSION_REFUSAL_QUEUE_FULL);
	if (!run && !admission_may_wait(admission, request, now_ms))
		return refuse(request->id, ADMISSION_REFUSAL_DEADLINE);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return refuse(request->id, ADMISSION_REFUSAL_QUEUE_FULL);
	entry->request = *request;
	return run ? start(admission, entry, now_ms)
		   : enqueue(admission, entry, now_ms);
}

/*
 * Frees the slot of an admitted statement and measures its service time. An id
 * that is not in execution is ignored. Call admission_dispatch() afterwards.
 */
void admission_release(admission_t *admission, uint64_t id, clock_ms_t now_ms)
{
	admission_entry_t *entry;

	TAILQ_FOREACH(entry, &admission->running, link) {
		if (entry->request.id == id)
			break;
	}
	if (!entry)
		return;
	TAILQ_REMOVE(&admission->running, entry, link);
	admission->in_use--;
	if (entry->request.class == ADMISSION_CLASS_READ)
		admission->reads_in_use--;
	admission_service_record(admission, now_ms - entry->started_ms);
	free(entry);
}

/*
 * Takes a queued statement out of the queue, without an action for it. Returns
 * ADMISSION_OK, or ADMISSION_ERROR_UNKNOWN_ID if it is not queued; a statement
 * in execution ends by admission_release().
 */
int admission_cancel(admission_t *admission, uint64_t id)
{
	admission_entry_t *entry;
	int i;

	for (i = 0; i < ADMISSION_CLASS_COUNT; i++) {
		entry = admission_queue_take_id(&admission->queues[i], id);
		if (!entry)
			continue;
		free(entry);
		return ADMISSION_OK;
	}
	return ADMISSION_ERROR_UNKNOWN_ID;
}

/*
 * Refuses queued statements that would not end by their deadlines any more.
 */
static size_t refuse_expired(admission_t *admission, clock_ms_t now_ms,
			     admission_action_t *actions, size_t actions_max)
{
	clock_ms_t earliest_deadline_ms =
		admission_earliest_deadline(admission, now_ms);
	admission_entry_t *entry;
	size_t count = 0;
	int i;

	for (i = 0; i < ADMISSION_CLASS_COUNT; i++) {
		while (count < actions_max &&
		       (entry = admission_queue_take_expired(
				&admission->queues[i], earliest_deadline_ms)) !=
			       NULL) {
			actions[count++] = refuse(entry->request.id,
						  ADMISSION_REFUSAL_DEADLINE);
			free(entry);
		}
	}
	return count;
}

/*
 * Writes what is to be done with queued statements at now_ms to actions: those
 * that can't meet their deadlines are refused, then the free slots are given
 * out. Returns the number of actions; if it is actions_max there may be more.
 */
size_t admission_dispatch(admission_t *admission, clock_ms_t now_ms,
			  admission_action_t *actions, size_t actions_max)
{
	size_t count = refuse_expired(admission, now_ms, actions, actions_max);
	admission_class_t class;

	while (count < actions_max &&
	       (class = next_class(admission)) != ADMISSION_CLASS_COUNT)
		actions[count++] = start(
			admission,
			admission_queue_pop(&admission->queues[class]), now_ms);
	return count;
}

/*
 * Counts one more open transaction. Returns ADMISSION_OK, or
 * ADMISSION_ERROR_TRANSACTIONS if as many as allowed are open or the controller
 * is draining.
 */
int admission_transaction_open(admission_t *admission)
{
	if (admission->draining ||
	    admission->transactions >= admission->options.transactions_max)
		return ADMISSION_ERROR_TRANSACTIONS;
	admission->transactions++;
	return ADMISSION_OK;
}

/*
 * Counts one open transaction less.
 */
void admission_transaction_close(admission_t *admission)
{
	if (admission->transactions > 0)
		admission->transactions--;
}

/*
 * Refuses new requests from now on; what is queued, in execution or part of an
 * open transaction may end.
 */
void admission_drain(admission_t *admission)
{
	admission->draining = true;
}

/*
 * Returns the counts for metrics and the estimated service time in ms.
 */
admission_usage_t admission_usage(const admission_t *admission)
{
	admission_usage_t usage = {
		.in_use = admission->in_use,
		.transactions = admission->transactions,
		.service_ms = admission_service_ms(admission),
	};
	int i;

	for (i = 0; i < ADMISSION_CLASS_COUNT; i++)
		usage.queued += admission->queues[i].count;
	return usage;
}
