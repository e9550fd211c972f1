#ifndef HORNBEAMTACK_TARGET_CONNECTION_H
#define HORNBEAMTACK_TARGET_CONNECTION_H

#include <jansson.h>
#include <libpq-fe.h>

#include "target.h"

#define CONNECTION_STEPS_MAX 8
#define CONNECTION_ARGUMENTS_MAX 3
#define CONNECTION_NUMBER_SIZE 24

/*
 * Limit of the total size of the values in one result, so that the memory for
 * an answer is bounded. It equals the limit of a message between proxies.
 */
#define TARGET_RESULT_BYTES_MAX (1024 * 1024)
/*
 * Limit of the bytes received for one answer: the limit of the values plus a
 * quarter for the overhead of the wire protocol.
 */
#define TARGET_ANSWER_BYTES_MAX \
	(TARGET_RESULT_BYTES_MAX + TARGET_RESULT_BYTES_MAX / 4)

/* Error inside this library: the answer exceeds one of the limits above. */
#define CONNECTION_ERROR_TOO_LARGE (-100)
#define SQLSTATE_PROGRAM_LIMIT_EXCEEDED "54000"

/* Purpose of a statement in a pipeline; says how its result is read. */
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

/* Statements that are sent together. Their texts must stay valid until the
 * pipeline is sent. */
typedef struct {
	step_t steps[CONNECTION_STEPS_MAX];
	uint32_t count;
} pipeline_t;

void pipeline_add(pipeline_t *pipeline, step_kind_t kind, const char *text);
void pipeline_add_text(pipeline_t *pipeline, const char *argument);
void pipeline_add_number(pipeline_t *pipeline, uint64_t argument);

/* Changes of a connection's state that its handler is called for. */
typedef enum {
	CONNECTION_EVENT_READY,
	/* The connection was not established; the error and
	 * connection_error_message() say why. */
	CONNECTION_EVENT_CONNECT_FAILED,
	/* The answer to the pipeline is complete. */
	CONNECTION_EVENT_FINISHED,
	/* The connection was lost, or an answer was malformed or too large.
	 * The connection can only be freed. */
	CONNECTION_EVENT_FAILED,
} connection_event_t;

typedef struct connection connection_t;

typedef struct {
	/* Called for each result of a step; the connection frees the result. */
	void (*result)(void *context, step_kind_t step, const PGresult *result);
	/* Called for an event. The connection is not used after this callback
	 * returns, so the callback may free it. */
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

/* endpoint.c: helpers shared by the control connection and the pool. */
int endpoint_copy(target_endpoint_t *to, const target_endpoint_t *from);
void endpoint_clear(target_endpoint_t *endpoint);
void timer_set(struct event *timer, clock_ms_t delay_ms);

/* result.c: conversion of libpq's results. */
int result_error(const PGresult *result);
void result_copy_error(const PGresult *result, target_result_t *to);
int result_rows(const PGresult *result, json_t **rows);
int result_status(const PGresult *result, group_status_t *status);
int result_point(const PGresult *result, group_point_t *point);
bool result_recorded_point(const PGresult *result, group_point_t *point);

/* statement.c: check of callers' statements. */
bool statement_is_allowed(const char *text);

#endif
