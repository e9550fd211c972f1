#include "internal.h"

#include <stdlib.h>

/*
 * Returns an admission controller for one target, or NULL if memory cannot be
 * allocated.
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
 * Frees a controller, which may be NULL, with its records of the statements
 * that are queued or in execution.
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
 * Replaces the options. Statements that are queued or in execution stay so even
 * if the new limits are lower, and the measured service time is kept. The
 * caller of this function has to call admission_dispatch() afterwards, as slots
 * may have become free.
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
 * no queued statement can run now. Statements of open transactions go first,
 * because transactions hold a connection and locks, then writes, then reads. A
 * read goes first once ADMISSION_READS_PASSED_OVER_MAX statements of other
 * classes have been admitted before it.
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
 * Updates the number of admissions of other classes while a read could have
 * been admitted. class is the class that is being admitted.
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
 * Admits the statement of an entry that is in no queue: gives it a slot.
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
 * Returns whether there is no room for a request in the queue of its class. A
 * flow may hold no more places than are still free, so that one flow alone can
 * fill only half of the queue and leaves room for other flows.
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
 * Queues the entry of a new request. If memory cannot be allocated, the entry
 * is freed and the request is refused.
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
 * Decides on a new request. It is admitted if a slot is free for its class and
 * no queued statement could run instead. Otherwise it is queued if there is
 * room and admission_may_wait() allows it. If not, it is refused at once, while
 * the refusal costs no waiting time. While the controller is draining, only
 * statements of open transactions are accepted, because open transactions must
 * be able to end.
 *
 * A request that finds a free slot is not refused because of the estimated
 * service time. Otherwise an estimate that has become too high would refuse all
 * statements, and would never be corrected by a new measurement.
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
 * Frees the slot of an admitted statement that has ended, and records its
 * service time. An id that is not in execution is ignored. The caller of this
 * function has to call admission_dispatch() afterwards.
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
 * Removes a statement from the queue; admission_dispatch() returns no action
 * for it. Returns ADMISSION_OK, or ADMISSION_ERROR_UNKNOWN_ID if the statement
 * is not queued. A statement in execution is ended with admission_release()
 * instead.
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
 * Refuses the queued statements that are no longer expected to end by their
 * deadlines. Returns the number of actions written.
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
 * Decides about the queued statements at now_ms. Statements that can no longer
 * meet their deadlines are refused, then the free slots are given to queued
 * statements. Writes one action for each of these statements to actions.
 *
 * Returns the number of actions. If it equals actions_max, there may be more,
 * and the function has to be called again.
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
 * Counts a transaction that is opened. Returns ADMISSION_OK, or
 * ADMISSION_ERROR_TRANSACTIONS if transactions_max transactions are open or the
 * controller is draining.
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
 * Counts a transaction that has ended. Ignored if no transaction is open.
 */
void admission_transaction_close(admission_t *admission)
{
	if (admission->transactions > 0)
		admission->transactions--;
}

/*
 * Makes the controller refuse new requests from now on. Statements that are
 * queued, in execution or part of an open transaction may still end.
 */
void admission_drain(admission_t *admission)
{
	admission->draining = true;
}

/*
 * Returns the current numbers of statements and transactions, for metrics, and
 * the estimated service time.
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
