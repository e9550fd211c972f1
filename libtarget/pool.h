#ifndef HORNBEAMTACK_TARGET_POOL_H
#define HORNBEAMTACK_TARGET_POOL_H

#include <sys/queue.h>

#include "connection.h"

/* Highest connects_per_second that the pool can enforce: it remembers the
 * times of this many connects. */
#define POOL_CONNECT_RATE_MAX 256
/*
 * Timeout of the rollback after an error. The connection of a rollback that
 * takes longer is closed, because a new connection takes only 10 ms.
 */
#define POOL_ROLLBACK_TIMEOUT_MS 1000

typedef struct request request_t;
typedef struct pooled_connection pooled_connection_t;

typedef enum {
	REQUEST_READ,
	REQUEST_WRITE,
	REQUEST_OUTCOME_GET,
	REQUEST_OUTCOME_CANCEL,
	REQUEST_BEGIN,
	REQUEST_RUN,
	REQUEST_COMMIT,
} request_kind_t;

typedef enum {
	REQUEST_WAITING,
	REQUEST_RUNNING,
	/* The callback is still to be called from the event loop. */
	REQUEST_FINISHED,
} request_state_t;

/* A pipeline to be run on a connection of the pool, and its callback. */
struct request {
	TAILQ_ENTRY(request) link;
	target_pool_t *pool;
	request_kind_t kind;
	request_state_t state;
	pooled_connection_t *pooled;
	target_transaction_t *transaction;
	char *statement;
	char *key;
	uint64_t fingerprint;
	uint32_t term;
	group_point_t seen;
	struct event *timer;
	target_done_t done;
	void *context;
	target_result_t result;
	char *rows;
	bool too_large;
};

TAILQ_HEAD(request_list, request);

typedef enum {
	POOLED_CONNECTING,
	POOLED_IDLE,
	POOLED_RUNNING,
	/* Reserved for a transaction that has no statement in progress. */
	POOLED_IN_TRANSACTION,
	POOLED_ROLLING_BACK,
} pooled_state_t;

/* One connection of the pool. */
struct pooled_connection {
	TAILQ_ENTRY(pooled_connection) link;
	target_pool_t *pool;
	pooled_state_t state;
	connection_t *connection;
	request_t *request;
	target_transaction_t *transaction;
	/* Limits the time of connecting, of being idle and of a rollback. */
	struct event *timer;
};

struct target_pool {
	struct event_base *base;
	const clock_source_t *clock;
	target_endpoint_t endpoint;
	target_pool_options_t options;
	target_log_t log;
	void *log_context;
	/* The most recently used idle connection comes first. */
	TAILQ_HEAD(, pooled_connection) connections;
	struct request_list waiting;
	/* Requests that have ended and whose callbacks are still to be called.
	 */
	struct request_list finished;
	/* Runs on_wakeup() from the event loop. */
	struct event *wakeup;
	/* Fires when the connect rate allows another connect. */
	struct event *connect_timer;
	/* Ring buffer of the times of the latest connects. */
	clock_ms_t connects[POOL_CONNECT_RATE_MAX];
	uint64_t connect_count;
	/* Error of the latest attempt to connect; TARGET_OK if it succeeded. */
	int connect_error;
	bool closing;
};

struct target_transaction {
	target_pool_t *pool;
	pooled_connection_t *pooled;
	request_t *request;
	char *key;
};

/* request.c */
request_t *request_new(target_pool_t *pool, request_kind_t kind,
		       const char *statement, const char *key,
		       clock_ms_t deadline_ms, target_done_t done,
		       void *context);
void request_free(request_t *request);
void request_build_pipeline(const request_t *request, pipeline_t *pipeline);
void request_add_result(request_t *request, step_kind_t step,
			const PGresult *result);
void request_reject(request_t *request);
void request_complete(request_t *request, int error);
void request_call_back(request_t *request);

/* pool.c */
void pool_queue(target_pool_t *pool, request_t *request);
void pool_reject(request_t *request);
void pool_expire(request_t *request);
void pool_start(pooled_connection_t *pooled, request_t *request);
void pool_detach(request_t *request);
void pool_release(pooled_connection_t *pooled);
void pool_close_connection(pooled_connection_t *pooled);

#endif
