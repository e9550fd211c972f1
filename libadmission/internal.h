#ifndef HORNBEAMTACK_ADMISSION_INTERNAL_H
#define HORNBEAMTACK_ADMISSION_INTERNAL_H

#include <stdbool.h>
#include <sys/queue.h>

#include "admission.h"

/* Number of admissions of writes and statements of transactions after which a
 * waiting read goes first. Reads thus get at least a quarter of the admissions
 * even when writes alone would fill the slots. */
#define ADMISSION_READS_PASSED_OVER_MAX 3

typedef struct admission_entry {
	TAILQ_ENTRY(admission_entry) link;
	admission_request_t request;
	clock_ms_t started_ms;
} admission_entry_t;

TAILQ_HEAD(admission_entry_list, admission_entry);
typedef struct admission_entry_list admission_entry_list_t;

/* The queued statements of one flow. A flow without queued statements is freed.
 */
typedef struct admission_flow {
	TAILQ_ENTRY(admission_flow) link;
	uint32_t flow;
	uint32_t count;
	admission_entry_list_t entries;
} admission_flow_t;

TAILQ_HEAD(admission_flow_list, admission_flow);

/* The queue of one class. */
typedef struct {
	uint32_t count;
	/* Time since which the queue has not been empty. */
	clock_ms_t nonempty_since_ms;
	/* Lower bound on the deadlines of the queued statements. */
	clock_ms_t earliest_ms;
	/* Flows in the order of their turns. */
	struct admission_flow_list flows;
} admission_queue_t;

struct admission {
	admission_options_t options;
	admission_queue_t queues[ADMISSION_CLASS_COUNT];
	admission_entry_list_t running;
	uint32_t in_use;
	uint32_t reads_in_use;
	uint32_t transactions;
	/* Admissions of higher classes, since the last admission of a read,
	 * while a read could have been admitted. */
	uint32_t reads_passed_over;
	/* Moving average of the service time; valid if measured is set. */
	double service_ms;
	bool measured;
	bool draining;
};

void admission_queue_init(admission_queue_t *queue);
void admission_queue_clear(admission_queue_t *queue);
int admission_queue_push(admission_queue_t *queue, admission_entry_t *entry);
admission_entry_t *admission_queue_pop(admission_queue_t *queue);
admission_entry_t *admission_queue_take_id(admission_queue_t *queue,
					   uint64_t id);
admission_entry_t *
admission_queue_take_expired(admission_queue_t *queue,
			     clock_ms_t earliest_deadline_ms);
uint32_t admission_queue_flow_count(const admission_queue_t *queue,
				    uint32_t flow);
uint32_t admission_queue_ahead(const admission_queue_t *queue, uint32_t flow);

double admission_service_ms(const admission_t *admission);
void admission_service_record(admission_t *admission, clock_ms_t sample_ms);
uint32_t admission_slots(const admission_t *admission, admission_class_t class);
clock_ms_t admission_earliest_deadline(const admission_t *admission,
				       clock_ms_t now_ms);
bool admission_may_wait(const admission_t *admission,
			const admission_request_t *request, clock_ms_t now_ms);

#endif
