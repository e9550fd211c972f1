#ifndef HORNBEAMTACK_CALLER_H
#define HORNBEAMTACK_CALLER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

#define CALLER_KEY_MAX_BYTES 128
#define CALLER_FIELD_MAX_BYTES 255
#define CALLER_AGE_NONE (-1)

typedef enum {
	CALLER_OPERATION_READ,
	CALLER_OPERATION_WRITE,
	CALLER_OPERATION_OUTCOME,
	CALLER_OPERATION_BEGIN,
	CALLER_OPERATION_COMMIT,
	CALLER_OPERATION_ROLLBACK,
} caller_operation_t;

/* Texts are never NULL, "" if the field is absent; valid during the call. */
typedef struct {
	caller_operation_t operation;
	const char *service;
	const char *statement;
	const char *key;
	const char *token;
	const char *transaction;
	const char *traceparent;
	clock_ms_t max_age_ms; /* CALLER_AGE_NONE without one */
	clock_ms_t deadline_ms; /* from now; 0 without one */
	uint32_t schema_version; /* 0 without one */
} caller_request_t;

typedef enum {
	CALLER_OUTCOME_DONE,
	/* 503: may be tried again. */
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

/* NULL texts are left out of the answer. */
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

/* A request that waits for its answer. */
typedef struct caller_call caller_call_t;
typedef struct caller_server caller_server_t;

typedef struct {
	/* Must lead to exactly one caller_call_answer(). */
	void (*request)(void *context, caller_call_t *call,
			const caller_request_t *request);
	/* A malformed request was refused; field names its first fault. */
	void (*malformed)(void *context, const char *text);
	bool (*ready)(void *context);
	void *context;
} caller_handler_t;

typedef struct {
	const char *address;
	uint16_t port;
	uint32_t request_max_bytes;
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
