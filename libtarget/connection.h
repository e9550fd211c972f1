#ifndef HORNBEAMTACK_TARGET_CONNECTION_H
#define HORNBEAMTACK_TARGET_CONNECTION_H

#include <jansson.h>
#include <libpq-fe.h>

#include "target.h"

#define CONNECTION_STEPS_MAX 8
#define CONNECTION_ARGUMENTS_MAX 3
#define CONNECTION_NUMBER_SIZE 24

/*
 * Limit of all values of one result, so that an answer can't take memory
 * without bound. It equals the limit of a message between proxies.
 */
#define TARGET_RESULT_BYTES_MAX (1024 * 1024)
/*
 * Limit of all bytes of an answer as received: above the limit of the values by
 * a quarter for the protocol's own bytes.
 */
#define TARGET_ANSWER_BYTES_MAX \
	(TARGET_RESULT_BYTES_MAX + TARGET_RESULT_BYTES_MAX / 4)

/* Internal: the answer exceeds one of the limits. */
#define CONNECTION_ERROR_TOO_LARGE (-100)
/* SQLSTATE program_limit_exceeded. */
#define SQLSTATE_PROGRAM_LIMIT_EXCEEDED "54000"

/* What a statement of a pipeline is for. */
typedef enum {
	STEP_BEGIN,
	STEP_GUARD,
	STEP_CHECK,
	STEP_STATUS,
	STEP_CLAIM,
	STEP_STATEMENT,
	STEP_STORE,
	STEP_OUTCOME,
	STEP_COMMIT,
	STEP_POSITION,
	STEP_ROLLBACK,
} step_kind_t;

typedef struct {
	step_kind_t kind;
	const char *text;
	uint32_t argument_count;
	const char *arguments[CONNECTION_ARGUMENTS_MAX];
	char numbers[CONNECTION_ARGUMENTS_MAX][CONNECTION_NUMBER_SIZE];
} step_t;

/* Statements that are sent together; texts are valid until they are sent. */
typedef struct {
	step_t steps[CONNECTION_STEPS_MAX];
	uint32_t count;
} pipeline_t;

void pipeline_add(pipeline_t *pipeline, step_kind_t kind, const char *text);
void pipeline_add_text(pipeline_t *pipeline, const char *argument);
void pipeline_add_number(pipeline_t *pipeline, uint64_t argument);

/* Why a connection failed or a pipeline ended. */
typedef enum {
	CONNECTION_EVENT_READY,
	/* Not established; error and message say why. */
	CONNECTION_EVENT_CONNECT_FAILED,
	/* The pipeline was answered up to its end. */
	CONNECTION_EVENT_FINISHED,
	/* Lost, malformed or too large; the connection is of no more use. */
	CONNECTION_EVENT_FAILED,
} connection_event_t;

typedef struct connection connection_t;

typedef struct {
	/* One result of a step; the connection frees it. */
	void (*result)(void *context, step_kind_t step, const PGresult *result);
	/* The last thing that the connection does in a call from the event
	 * loop, so that it may be freed from here. */
	void (*event)(void *context, connection_event_t event, int error);
} connection_handler_t;

connection_t *connection_new(struct event_base *base,
			     const target_endpoint_t *endpoint,
			     const connection_handler_t *handler,
			     void *context);
void connection_free(connection_t *connection);
void connection_set_handler(connection_t *connection,
			    const connection_handler_t *handler, void *context);
int connection_send(connection_t *connection, const pipeline_t *pipeline);
bool connection_is_idle(const connection_t *connection);
const char *connection_error_message(const connection_t *connection);

/* endpoint.c: small helpers of both kinds of connection. */
int endpoint_copy(target_endpoint_t *to, const target_endpoint_t *from);
void endpoint_clear(target_endpoint_t *endpoint);
void timer_set(struct event *timer, clock_ms_t delay_ms);

/* result.c: from results of libpq to those of this library. */
int result_error(const PGresult *result);
void result_copy_error(const PGresult *result, target_result_t *to);
int result_rows(const PGresult *result, json_t **rows);
int result_status(const PGresult *result, group_status_t *status);
int result_point(const PGresult *result, group_point_t *point);
bool result_recorded_point(const PGresult *result, group_point_t *point);

/* statement.c: texts that may not be sent. */
bool statement_is_allowed(const char *text);

#endif
