#include "internal.h"

#include <stdlib.h>

void admission_queue_init(admission_queue_t *queue)
{
	queue->count = 0;
	queue->earliest_ms = INT64_MAX;
	TAILQ_INIT(&queue->flows);
}

static admission_flow_t *find_flow(const admission_queue_t *queue,
				   uint32_t number)
{
	admission_flow_t *flow;

	TAILQ_FOREACH(flow, &queue->flows, link) {
		if (flow->flow == number)
			return flow;
	}
	return NULL;
}

static admission_flow_t *add_flow(admission_queue_t *queue, uint32_t number)
{
	admission_flow_t *flow = calloc(1, sizeof(*flow));

	if (!flow)
		return NULL;
	flow->flow = number;
	TAILQ_INIT(&flow->entries);
	TAILQ_INSERT_TAIL(&queue->flows, flow, link);
	return flow;
}

/*
 * Removes an entry from its flow, and frees the flow if it has no other entry.
 */
static void detach(admission_queue_t *queue, admission_flow_t *flow,
		   admission_entry_t *entry)
{
	TAILQ_REMOVE(&flow->entries, entry, link);
	flow->count--;
	queue->count--;
	if (flow->count == 0) {
		TAILQ_REMOVE(&queue->flows, flow, link);
		free(flow);
	}
}

/*
 * Adds an entry at the end of its flow. The queue then owns the entry. A new
 * flow has its turn after the other flows. Returns ADMISSION_OK, or
 * ADMISSION_ERROR_MEMORY, in which case the entry still belongs to the caller
 * of this function.
 */
int admission_queue_push(admission_queue_t *queue, admission_entry_t *entry)
{
	admission_flow_t *flow = find_flow(queue, entry->request.flow);

	if (!flow)
		flow = add_flow(queue, entry->request.flow);
	if (!flow)
		return ADMISSION_ERROR_MEMORY;
	TAILQ_INSERT_TAIL(&flow->entries, entry, link);
	flow->count++;
	queue->count++;
	if (entry->request.deadline_ms < queue->earliest_ms)
		queue->earliest_ms = entry->request.deadline_ms;
	return ADMISSION_OK;
}

/*
 * Removes and returns the first entry of the flow whose turn it is, or returns
 * NULL if the queue is empty. The flow's next turn comes after those of the
 * other flows.
 */
admission_entry_t *admission_queue_pop(admission_queue_t *queue)
{
	admission_flow_t *flow = TAILQ_FIRST(&queue->flows);
	admission_entry_t *entry;

	if (!flow)
		return NULL;
	entry = TAILQ_FIRST(&flow->entries);
	if (flow->count > 1) {
		TAILQ_REMOVE(&queue->flows, flow, link);
		TAILQ_INSERT_TAIL(&queue->flows, flow, link);
	}
	detach(queue, flow, entry);
	return entry;
}

/*
 * Removes and returns the entry with an id, or returns NULL if it is not
 * queued.
 */
admission_entry_t *admission_queue_take_id(admission_queue_t *queue,
					   uint64_t id)
{
	admission_flow_t *flow;
	admission_entry_t *entry;

	TAILQ_FOREACH(flow, &queue->flows, link) {
		TAILQ_FOREACH(entry, &flow->entries, link) {
			if (entry->request.id != id)
				continue;
			detach(queue, flow, entry);
			return entry;
		}
	}
	return NULL;
}

/*
 * Removes and returns one entry whose deadline is before earliest_deadline_ms,
 * or returns NULL if there is none. The queue is scanned only if the lower
 * bound on its deadlines is before earliest_deadline_ms. A scan that finds no
 * such entry raises the bound to the earliest deadline in the queue.
 */
admission_entry_t *admission_queue_take_expired(admission_queue_t *queue,
						clock_ms_t earliest_deadline_ms)
{
	clock_ms_t earliest_ms = INT64_MAX;
	admission_flow_t *flow;
	admission_entry_t *entry;

	if (queue->earliest_ms >= earliest_deadline_ms)
		return NULL;
	TAILQ_FOREACH(flow, &queue->flows, link) {
		TAILQ_FOREACH(entry, &flow->entries, link) {
			if (entry->request.deadline_ms < earliest_deadline_ms) {
				detach(queue, flow, entry);
				return entry;
			}
			if (entry->request.deadline_ms < earliest_ms)
				earliest_ms = entry->request.deadline_ms;
		}
	}
	queue->earliest_ms = earliest_ms;
	return NULL;
}

/*
 * Returns the number of queued entries of a flow.
 */
uint32_t admission_queue_flow_count(const admission_queue_t *queue,
				    uint32_t flow)
{
	const admission_flow_t *found = find_flow(queue, flow);

	return found ? found->count : 0;
}

/*
 * Returns the number of entries that go before a new entry of a flow: the
 * queued entries of the flow itself and, because the flows take turns, at most
 * one entry of each other flow for each turn of this flow, up to the turn of
 * the new entry.
 */
uint32_t admission_queue_ahead(const admission_queue_t *queue, uint32_t flow)
{
	uint32_t own = admission_queue_flow_count(queue, flow);
	uint32_t ahead = own;
	const admission_flow_t *other;

	TAILQ_FOREACH(other, &queue->flows, link) {
		if (other->flow == flow)
			continue;
		ahead += other->count <= own ? other->count : own + 1;
	}
	return ahead;
}

/*
 * Frees all entries and flows of a queue, which is empty afterwards.
 */
void admission_queue_clear(admission_queue_t *queue)
{
	admission_flow_t *flow;
	admission_flow_t *next_flow;
	admission_entry_t *entry;
	admission_entry_t *next;

	for (flow = TAILQ_FIRST(&queue->flows); flow; flow = next_flow) {
		next_flow = TAILQ_NEXT(flow, link);
		for (entry = TAILQ_FIRST(&flow->entries); entry; entry = next) {
			next = TAILQ_NEXT(entry, link);
			free(entry);
		}
		free(flow);
	}
	admission_queue_init(queue);
}
