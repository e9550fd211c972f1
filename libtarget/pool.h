#ifndef HORNBEAMTACK_TARGET_POOL_H
#define HORNBEAMTACK_TARGET_POOL_H

#include <sys/queue.h>

#include "connection.h"

/* Connects in one second that the pool can count at most. */
#define POOL_CONNECT_RATE_MAX 256
/*
 * Time for the rollback after an error. A target that needs longer is not worth
 * waiting for: a new connection takes 10 ms.
 */
#define POOL_ROLLBACK_TIMEOUT_MS 1000

typedef struct request request_t;
typedef struct pooled pooled_connection_t;

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
	/* The callback follows from the event loop. */
	REQUEST_FINISHED,
} request_state_t;

/* One pipeline with its callback. */
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
	/* Held by a transaction that has no statement in progress. */
	POOLED_IN_TRANSACTION,
	POOLED_ROLLING_BACK,
} pooled_state_t;

/* One connection of the pool. */
struct pooled {
	TAILQ_ENTRY(pooled) link;
	target_pool_t *pool;
	pooled_state_t state;
	connection_t *connection;
	request_t *request;
	target_transaction_t *transaction;
	/* Limits connecting, idling and rolling back. */
	struct event *timer;
};

struct target_pool {
	struct event_base *base;
	const clock_source_t *clock;
	target_endpoint_t endpoint;
	target_pool_options_t options;
	target_log_t log;
	void *log_context;
	/* Idle connections that were used last come first. */
	TAILQ_HEAD(, pooled) connections;
	struct request_list waiting;
	struct request_list finished;
	struct event *wakeup;
	struct event *connect_timer;
	/* Times of the latest connects, a ring. */
	clock_ms_t connects[POOL_CONNECT_RATE_MAX];
	uint64_t connect_count;
	/* Why the latest connection failed; TARGET_OK if it did not. */
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
