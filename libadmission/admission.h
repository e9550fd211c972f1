#ifndef HORNBEAMTACK_ADMISSION_H
#define HORNBEAMTACK_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

/* Classes of statements, in rising order of priority. */
typedef enum {
	ADMISSION_CLASS_READ,
	ADMISSION_CLASS_WRITE,
	/* A statement of a transaction that is already open. */
	ADMISSION_CLASS_TRANSACTION,
	ADMISSION_CLASS_COUNT,
} admission_class_t;

typedef struct {
	/* Statements that may be in execution at the target at once. */
	uint32_t slots;
	/* Slots that reads may not take. */
	uint32_t reserved_slots;
	/* Transactions that may be open at once; each holds a connection. */
	uint32_t transactions_max;
	/* Places in the queue of each class. */
	uint32_t queue_max;
	/* Service time that is assumed before the first measurement. */
	clock_ms_t initial_service_ms;
} admission_options_t;

typedef struct {
	uint64_t id;
	/* Flow for fair queueing, one for each service or group of callers. */
	uint32_t flow;
	admission_class_t class;
	clock_ms_t deadline_ms;
} admission_request_t;

typedef enum {
	ADMISSION_REFUSAL_QUEUE_FULL,
	ADMISSION_REFUSAL_DEADLINE,
	ADMISSION_REFUSAL_DRAINING,
	ADMISSION_REFUSAL_TRANSACTIONS,
	ADMISSION_REFUSAL_COUNT,
} admission_refusal_t;

typedef enum {
	ADMISSION_ACTION_ADMIT,
	ADMISSION_ACTION_QUEUE,
	ADMISSION_ACTION_REFUSE,
} admission_action_kind_t;

/* What the caller of this library has to do with a statement. */
typedef struct {
	admission_action_kind_t kind;
	uint64_t id;
	/* Valid for ADMISSION_ACTION_REFUSE. */
	admission_refusal_t reason;
} admission_action_t;

typedef struct {
	/* Slots in use. */
	uint32_t in_use;
	/* Queued statements of all classes. */
	uint32_t queued;
	/* Open transactions. */
	uint32_t transactions;
	/* Estimated service time. */
	double service_ms;
} admission_usage_t;

/* Admission controller of one target: slots, queues and the service time. */
typedef struct admission admission_t;

admission_t *admission_new(const admission_options_t *options);
void admission_free(admission_t *admission);
void admission_configure(admission_t *admission,
			 const admission_options_t *options);
admission_action_t admission_offer(admission_t *admission,
				   const admission_request_t *request,
				   clock_ms_t now_ms);
void admission_release(admission_t *admission, uint64_t id, clock_ms_t now_ms);
int admission_cancel(admission_t *admission, uint64_t id);
size_t admission_dispatch(admission_t *admission, clock_ms_t now_ms,
			  admission_action_t *actions, size_t actions_max);
int admission_transaction_open(admission_t *admission);
void admission_transaction_close(admission_t *admission);
void admission_drain(admission_t *admission);
admission_usage_t admission_usage(const admission_t *admission);

enum {
	ADMISSION_OK = 0,
	ADMISSION_ERROR_MEMORY = -1,
	ADMISSION_ERROR_UNKNOWN_ID = -2,
	ADMISSION_ERROR_TRANSACTIONS = -3,
};

const char *admission_refusal_text(admission_refusal_t reason);
const char *admission_error_text(int error);

#endif
