#ifndef HORNBEAMTACK_CALLER_H
#define HORNBEAMTACK_CALLER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

#define CALLER_KEY_MAX_BYTES 128
#define CALLER_TRANSACTION_MAX_BYTES 255
/* The request has no max_age_ms, or the answer has no age. */
#define CALLER_AGE_NONE (-1)

typedef enum {
	CALLER_OPERATION_READ,
	CALLER_OPERATION_WRITE,
	/* Asks for the outcome of the write with an idempotency key. */
	CALLER_OPERATION_OUTCOME,
	CALLER_OPERATION_BEGIN,
	CALLER_OPERATION_COMMIT,
	CALLER_OPERATION_ROLLBACK,
} caller_operation_t;

/* Texts are never NULL; the text of an absent field is "". They are valid only
 * during the call of the handler. */
typedef struct {
	caller_operation_t operation;
	const char *service;
	const char *statement;
	/* Idempotency key. */
	const char *key;
	/* Session token. */
	const char *token;
	const char *transaction;
	const char *traceparent;
	clock_ms_t max_age_ms; /* CALLER_AGE_NONE if absent */
	clock_ms_t deadline_ms; /* from now; 0 if absent */
	uint32_t schema_version; /* 0 if absent */
} caller_request_t;

/* How a request ended. The numbers are the HTTP status of the answer. */
typedef enum {
	/* 200 */
	CALLER_OUTCOME_DONE,
	/* 503: the request may be tried again. */
	CALLER_OUTCOME_NOT_RUN,
	/* 409 */
	CALLER_OUTCOME_CONFLICT,
	/* 422: the target refused the statement. */
	CALLER_OUTCOME_REJECTED,
	/* 400 */
	CALLER_OUTCOME_BAD_REQUEST,
	/* 504 */
	CALLER_OUTCOME_UNKNOWN,
} caller_outcome_t;

/* Texts that are NULL or "" are left out of the answer. */
typedef struct {
	caller_outcome_t outcome;
	const char *reason;
	const char *message;
	const char *rows_json;
	const char *token;
	const char *target;
	const char *transaction;
	const char *traceparent;
	group_point_t point; /* term 0: left out */
	bool primary;
	clock_ms_t age_ms; /* CALLER_AGE_NONE: left out */
} caller_answer_t;

/* A request that is not answered yet. */
typedef struct caller_call caller_call_t;
typedef struct caller_server caller_server_t;

typedef struct {
	/* caller_call_answer() must be called exactly once for the call, at
	 * once or later. */
	void (*request)(void *context, caller_call_t *call,
			const caller_request_t *request);
	/* A malformed request was refused; text describes its first fault. */
	void (*malformed)(void *context, const char *text);
	/* Returns whether the instance is ready for requests. */
	bool (*ready)(void *context);
	void *context;
} caller_handler_t;

typedef struct {
	const char *address;
	uint16_t port;
	uint32_t request_max_bytes;
	/* A connection without traffic is closed after this time. */
	clock_ms_t idle_ms;
} caller_options_t;

caller_server_t *caller_server_new(struct event_base *base,
				   const caller_options_t *options,
				   const caller_handler_t *handler);
void caller_server_free(caller_server_t *server);
void caller_server_stop_accepting(caller_server_t *server);
uint32_t caller_server_pending(const caller_server_t *server);
void caller_call_answer(caller_call_t *call, const caller_answer_t *answer);
const char *caller_outcome_text(caller_outcome_t outcome);

#endif
