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
	/* Nothing was sent: no connection within the deadline or the limit. */
	TARGET_ERROR_CONNECT = -2,
	TARGET_ERROR_NO_CONNECTION = -3,
	/* Sent, but no complete answer: the outcome is unknown for a write. */
	TARGET_ERROR_TIMEOUT = -4,
	TARGET_ERROR_LOST = -5,
	TARGET_ERROR_PROTOCOL = -6,
	/* The target answered and rolled the transaction back. */
	TARGET_ERROR_PROMISED = -7, /* HT001 */
	TARGET_ERROR_NOT_PRIMARY = -8, /* HT002 */
	TARGET_ERROR_POSITION = -9, /* HT003 */
	TARGET_ERROR_KEY_RECORDED = -10, /* HT004, rows hold the result */
	TARGET_ERROR_KEY_MISMATCH = -11, /* HT005 */
	TARGET_ERROR_KEY_CANCELLED = -12, /* HT006 */
	TARGET_ERROR_STATEMENT = -13, /* any other SQLSTATE */
	TARGET_ERROR_CONNECTION_LIMIT = -14, /* 53300 */
	TARGET_ERROR_CLOSED = -15,
};

typedef struct {
	const char *name;
	const char *address;
	uint16_t port;
	const char *user;
	const char *database;
} target_endpoint_t;

/* One log line's worth of information about a connection. */
typedef void (*target_log_t)(void *context, const char *event,
			     const char *target, const char *detail);

/*
 * Control connection: one call at a time on one connection. A call that times
 * out closes the connection, and the next call opens a new one.
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
	/* Open a new connection for this call and keep it if it succeeds. */
	bool new_connection;
	clock_ms_t timeout_ms;
	uint32_t term;
	uint64_t position_bytes; /* WAIT */
	clock_ms_t wait_ms; /* WAIT */
	uint64_t coordinator; /* FENCE, PROMOTE */
	const char *primary; /* FOLLOW */
} target_call_t;

/* sent_at_ms is the time at which the call was written. */
typedef void (*target_call_done_t)(void *context, int error,
				   clock_ms_t sent_at_ms,
				   const group_status_t *status);

target_control_t *target_control_new(struct event_base *base,
				     const clock_source_t *clock,
				     const target_endpoint_t *endpoint,
				     target_log_t log_handler,
				     void *log_context);
void target_control_free(target_control_t *control);
/* Calls are queued in order behind the one in progress. */
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
	/* Idle connections are closed after this time. */
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
	/* READ: point that must be applied; term 0 means none. */
	group_point_t seen;
	/* WRITE, OUTCOME_CANCEL: the term in which the target is primary. */
	uint32_t term;
	/* WRITE: NULL without a key. */
	const char *key;
	uint64_t fingerprint;
	clock_ms_t deadline_ms;
} target_job_t;

typedef struct {
	int error;
	/* For TARGET_ERROR_STATEMENT: the target's message and SQLSTATE. */
	char message[256];
	char sqlstate[6];
	/* Point after the commit, or the point that a read saw. */
	group_point_t point;
	/* JSON array of rows, each an array of text or null; never NULL when
	 * error is TARGET_OK or TARGET_ERROR_KEY_RECORDED. Valid during the
	 * callback. */
	const char *rows_json;
	/* OUTCOME_GET found nothing. */
	bool absent;
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
/* done is always called exactly once, never from inside this call. */
int target_pool_run(target_pool_t *pool, const target_job_t *job,
		    target_done_t done, void *context);
uint32_t target_pool_in_use_count(const target_pool_t *pool);
uint32_t target_pool_connection_count(const target_pool_t *pool);

/* A transaction holds one connection from begin to end. One statement at a
 * time; after an error other than TARGET_ERROR_STATEMENT only close is legal.
 */
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
/* Rolls back if it is still open, and gives the connection back once it is
 * proved clean, or closes it. done may be NULL. */
void target_transaction_free(target_transaction_t *transaction);

const char *target_error_text(int error);

#endif
