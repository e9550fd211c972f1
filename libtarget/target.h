#ifndef HORNBEAMTACK_TARGET_H
#define HORNBEAMTACK_TARGET_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

enum {
	TARGET_OK = 0,
	TARGET_ERROR_MEMORY = -1,
	/* Nothing was sent: connecting failed, or no connection became free
	 * within the deadline. */
	TARGET_ERROR_CONNECT = -2,
	TARGET_ERROR_NO_CONNECTION = -3,
	/* Sent, but not answered completely: the outcome of a write is unknown.
	 */
	TARGET_ERROR_TIMEOUT = -4,
	TARGET_ERROR_LOST = -5,
	TARGET_ERROR_PROTOCOL = -6,
	/* The target answered with an error and rolled the transaction back;
	 * the SQLSTATE of each error follows it. */
	TARGET_ERROR_PROMISED = -7, /* HT001 */
	TARGET_ERROR_NOT_PRIMARY = -8, /* HT002 */
	TARGET_ERROR_POSITION = -9, /* HT003 */
	TARGET_ERROR_KEY_RECORDED = -10, /* HT004; the rows are the result */
	TARGET_ERROR_KEY_MISMATCH = -11, /* HT005 */
	TARGET_ERROR_KEY_CANCELLED = -12, /* HT006 */
	TARGET_ERROR_STATEMENT = -13, /* any other SQLSTATE */
	/* Nothing was sent: the target has too many connections (53300). */
	TARGET_ERROR_CONNECTION_LIMIT = -14,
	/* The pool, transaction or control connection was freed: the outcome of
	 * a write that was sent is unknown. */
	TARGET_ERROR_CLOSED = -15,
};

typedef struct {
	const char *name;
	const char *address;
	uint16_t port;
	const char *user;
	const char *database;
} target_endpoint_t;

/* Called to log an event of a connection: the event's name, the target's name
 * and the reason. */
typedef void (*target_log_t)(void *context, const char *event,
			     const char *target, const char *detail);

/*
 * Control connection: a connection that runs the control calls of a target one
 * at a time. A call that times out closes the connection, and the next call
 * opens a new one.
 */
typedef struct target_control target_control_t;

typedef enum {
	TARGET_CALL_STATUS,
	TARGET_CALL_WAIT,
	TARGET_CALL_FENCE,
	TARGET_CALL_PROMOTE,
	TARGET_CALL_FOLLOW,
} target_call_kind_t;

typedef struct {
	target_call_kind_t kind;
	/* Open a new connection for this call. If the call is answered, the new
	 * connection replaces the old one. */
	bool new_connection;
	clock_ms_t timeout_ms;
	uint32_t term;
	uint64_t position_bytes; /* WAIT */
	clock_ms_t wait_ms; /* WAIT */
	uint64_t coordinator; /* FENCE, PROMOTE */
	const char *primary; /* FOLLOW */
} target_call_t;

/* sent_at_ms is the time at which the call was sent, 0 if it was not; status is
 * NULL if there is an error. */
typedef void (*target_call_done_t)(void *context, int error,
				   clock_ms_t sent_at_ms,
				   const group_status_t *status);

target_control_t *target_control_new(struct event_base *base,
				     const clock_source_t *clock,
				     const target_endpoint_t *endpoint,
				     target_log_t log_handler,
				     void *log_context);
void target_control_free(target_control_t *control);
/* Queues a call behind the calls in progress and waiting. */
int target_control_call(target_control_t *control, const target_call_t *call,
			target_call_done_t done, void *context);
size_t target_control_pending_count(const target_control_t *control);

/* Pool of connections for statements. */
typedef struct target_pool target_pool_t;
typedef struct target_transaction target_transaction_t;

typedef struct {
	uint32_t connections_max;
	uint32_t connects_per_second;
	clock_ms_t connect_timeout_ms;
	/* A connection that has been idle for this time is closed. */
	clock_ms_t idle_ms;
} target_pool_options_t;

typedef enum {
	TARGET_JOB_READ,
	TARGET_JOB_WRITE,
	TARGET_JOB_OUTCOME_GET,
	TARGET_JOB_OUTCOME_CANCEL,
} target_job_kind_t;

typedef struct {
	target_job_kind_t kind;
	const char *statement;
	/* READ, OUTCOME_GET: log point that the target must have applied; term
	 * 0 means none. */
	group_point_t seen;
	/* WRITE, OUTCOME_CANCEL: the term in which the target is primary. */
	uint32_t term;
	/* WRITE: NULL if the statement has no key. OUTCOME_*: the key. */
	const char *key;
	uint64_t fingerprint;
	clock_ms_t deadline_ms;
} target_job_t;

typedef struct {
	int error;
	/* For TARGET_ERROR_STATEMENT: the target's message and SQLSTATE. */
	char message[256];
	char sqlstate[6];
	/* Log point after the commit, or a log point that a read has seen. */
	group_point_t point;
	/* JSON array of rows, each an array of text or null. Not NULL if error
	 * is TARGET_OK or TARGET_ERROR_KEY_RECORDED. Valid during the callback.
	 */
	const char *rows_json;
	/* OUTCOME_GET: the target holds no outcome of the key. */
	bool absent;
	/* OUTCOME_GET: the key was cancelled. */
	bool cancelled;
} target_result_t;

typedef void (*target_done_t)(void *context, const target_result_t *result);

target_pool_t *target_pool_new(struct event_base *base,
			       const clock_source_t *clock,
			       const target_endpoint_t *endpoint,
			       const target_pool_options_t *options,
			       target_log_t log_handler, void *log_context);
void target_pool_free(target_pool_t *pool);
void target_pool_configure(target_pool_t *pool,
			   const target_pool_options_t *options);
/* If TARGET_OK is returned, done is called exactly once, never from inside this
 * function. */
int target_pool_run(target_pool_t *pool, const target_job_t *job,
		    target_done_t done, void *context);
uint32_t target_pool_in_use_count(const target_pool_t *pool);
uint32_t target_pool_connection_count(const target_pool_t *pool);

/* A transaction holds one connection from its beginning to its end and runs one
 * statement at a time. After an error other than TARGET_ERROR_STATEMENT it can
 * only be freed. done may be NULL in these functions. */
target_transaction_t *target_transaction_new(target_pool_t *pool, uint32_t term,
					     const char *key,
					     uint64_t fingerprint,
					     clock_ms_t deadline_ms,
					     target_done_t done, void *context);
int target_transaction_run(target_transaction_t *transaction,
			   const char *statement, clock_ms_t deadline_ms,
			   target_done_t done, void *context);
int target_transaction_commit(target_transaction_t *transaction,
			      clock_ms_t deadline_ms, target_done_t done,
			      void *context);
/* Rolls the transaction back if it is open. The connection returns to the pool
 * once the rollback is answered, or is closed. */
void target_transaction_free(target_transaction_t *transaction);

const char *target_error_text(int error);

#endif
