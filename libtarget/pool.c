#include "pool.h"

#include <stdlib.h>
#include <string.h>

static void log_event(const target_pool_t *pool, const char *event,
		      const char *detail)
{
	if (pool->log)
		pool->log(pool->log_context, event, pool->endpoint.name,
			  detail);
}

/*
 * Makes the event loop run on_wakeup(), which dispatches the waiting requests
 * and calls the callbacks of the finished ones.
 */
static void schedule_dispatch(target_pool_t *pool)
{
	event_active(pool->wakeup, EV_TIMEOUT, 0);
}

/*
 * Ends a request that is in no list. The callback is called later from the
 * event loop.
 */
static void finish(request_t *request, int error)
{
	target_pool_t *pool = request->pool;

	event_del(request->timer);
	request_complete(request, error);
	request->state = REQUEST_FINISHED;
	TAILQ_INSERT_TAIL(&pool->finished, request, link);
	schedule_dispatch(pool);
}

/*
 * Removes a request from its list, or from its connection if it is running. The
 * connection of a running request is closed, because its answer is outstanding.
 */
void pool_detach(request_t *request)
{
	target_pool_t *pool = request->pool;

	switch (request->state) {
	case REQUEST_WAITING:
		TAILQ_REMOVE(&pool->waiting, request, link);
		break;
	case REQUEST_RUNNING:
		request->pooled->request = NULL;
		pool_close_connection(request->pooled);
		break;
	case REQUEST_FINISHED:
		TAILQ_REMOVE(&pool->finished, request, link);
		break;
	}
	request->pooled = NULL;
}

/*
 * Ends a request whose deadline has passed. If the request was running, its
 * connection is closed, so that the outstanding answer can't be taken for the
 * answer to another request.
 */
void pool_expire(request_t *request)
{
	bool sent = request->state == REQUEST_RUNNING;

	log_event(request->pool, "timeout",
		  sent ? "no answer" : "no connection");
	pool_detach(request);
	finish(request,
	       sent ? TARGET_ERROR_TIMEOUT : TARGET_ERROR_NO_CONNECTION);
}

/*
 * Closes and frees a connection that has no request. A transaction that holds
 * the connection loses it.
 */
void pool_close_connection(pooled_connection_t *pooled)
{
	target_pool_t *pool = pooled->pool;

	if (pooled->transaction)
		pooled->transaction->pooled = NULL;
	TAILQ_REMOVE(&pool->connections, pooled, link);
	event_free(pooled->timer);
	connection_free(pooled->connection);
	free(pooled);
	schedule_dispatch(pool);
}

/*
 * Returns a connection that has no request to the pool. An idle connection
 * without an open transaction can be used at once; any other is rolled back
 * first. The connection is closed instead if a rollback has failed or can't be
 * sent, or if the pool has more connections than connections_max.
 */
void pool_release(pooled_connection_t *pooled)
{
	target_pool_t *pool = pooled->pool;
	pipeline_t pipeline = { .count = 0 };

	if (pooled->transaction)
		pooled->transaction->pooled = NULL;
	pooled->transaction = NULL;
	if (target_pool_connection_count(pool) >
	    pool->options.connections_max) {
		pool_close_connection(pooled);
		return;
	}
	if (connection_is_idle(pooled->connection)) {
		pooled->state = POOLED_IDLE;
		timer_set(pooled->timer, pool->options.idle_ms);
		TAILQ_REMOVE(&pool->connections, pooled, link);
		TAILQ_INSERT_HEAD(&pool->connections, pooled, link);
		schedule_dispatch(pool);
		return;
	}
	if (pooled->state == POOLED_ROLLING_BACK) {
		pool_close_connection(pooled);
		return;
	}
	pooled->state = POOLED_ROLLING_BACK;
	pipeline_add(&pipeline, STEP_ROLLBACK, "ROLLBACK");
	if (connection_send(pooled->connection, &pipeline) != TARGET_OK) {
		pool_close_connection(pooled);
		return;
	}
	timer_set(pooled->timer, POOL_ROLLBACK_TIMEOUT_MS);
}

/*
 * Ends all waiting requests without running them.
 */
static void end_waiting(target_pool_t *pool, int error)
{
	request_t *request;

	while ((request = TAILQ_FIRST(&pool->waiting))) {
		pool_detach(request);
		finish(request, error);
	}
}

/*
 * Closes a connection that could not be established, and ends all waiting
 * requests with the error if no other connection is left that could serve them.
 */
static void connect_failed(pooled_connection_t *pooled, int error)
{
	target_pool_t *pool = pooled->pool;

	pool_close_connection(pooled);
	pool->connect_error = error;
	if (TAILQ_EMPTY(&pool->connections))
		end_waiting(pool, error);
}

/*
 * Ends a request whose answer is complete. If the request belongs to a
 * transaction that can continue, or whose statement the target rejected, the
 * connection stays reserved until the transaction is committed or freed.
 * Otherwise the connection is returned to the pool.
 */
static void finish_answered(pooled_connection_t *pooled)
{
	request_t *request = pooled->request;
	target_transaction_t *transaction = pooled->transaction;
	int error;

	pooled->request = NULL;
	request->pooled = NULL;
	finish(request, TARGET_OK);
	error = request->result.error;
	if (transaction && request->kind != REQUEST_COMMIT &&
	    (error == TARGET_OK ||
	     (error == TARGET_ERROR_STATEMENT && request->kind == REQUEST_RUN)))
		pooled->state = POOLED_IN_TRANSACTION;
	else
		pool_release(pooled);
}

static void on_result(void *context, step_kind_t step, const PGresult *result)
{
	pooled_connection_t *pooled = context;

	if (pooled->request)
		request_add_result(pooled->request, step, result);
}

static void on_connection(void *context, connection_event_t event, int error)
{
	pooled_connection_t *pooled = context;
	request_t *request = pooled->request;

	switch (event) {
	case CONNECTION_EVENT_READY:
		pooled->pool->connect_error = TARGET_OK;
		pool_release(pooled);
		break;
	case CONNECTION_EVENT_CONNECT_FAILED:
		log_event(pooled->pool, "connect_failed",
			  connection_error_message(pooled->connection));
		connect_failed(pooled, error);
		break;
	case CONNECTION_EVENT_FINISHED:
		if (request)
			finish_answered(pooled);
		else
			pool_release(pooled);
		break;
	case CONNECTION_EVENT_FAILED:
		log_event(pooled->pool, "connection_lost",
			  connection_error_message(pooled->connection));
		if (request) {
			pool_detach(request);
			finish(request, error);
		} else {
			pool_close_connection(pooled);
		}
		break;
	}
}

static void on_pooled_timer(evutil_socket_t fd, short events, void *context)
{
	pooled_connection_t *pooled = context;

	(void)fd;
	(void)events;
	switch (pooled->state) {
	case POOLED_CONNECTING:
		log_event(pooled->pool, "connect_failed", "timeout");
		connect_failed(pooled, TARGET_ERROR_CONNECT);
		break;
	case POOLED_ROLLING_BACK:
		log_event(pooled->pool, "timeout", "no answer to a rollback");
		pool_close_connection(pooled);
		break;
	case POOLED_IDLE:
		pool_close_connection(pooled);
		break;
	case POOLED_RUNNING:
	case POOLED_IN_TRANSACTION:
		break;
	}
}

/*
 * Sends a request on a connection that is idle or reserved for the request's
 * transaction.
 */
void pool_start(pooled_connection_t *pooled, request_t *request)
{
	pipeline_t pipeline = { .count = 0 };

	event_del(pooled->timer);
	pooled->state = POOLED_RUNNING;
	pooled->request = request;
	request->pooled = pooled;
	request->state = REQUEST_RUNNING;
	if (request->kind == REQUEST_BEGIN) {
		pooled->transaction = request->transaction;
		request->transaction->pooled = pooled;
	}
	request_build_pipeline(request, &pipeline);
	if (connection_send(pooled->connection, &pipeline) != TARGET_OK) {
		pool_detach(request);
		finish(request, TARGET_ERROR_LOST);
	}
}

/*
 * Starts to open one connection. Returns false if there is no memory.
 */
static bool open_connection(target_pool_t *pool)
{
	static const connection_handler_t handler = { on_result,
						      on_connection };
	pooled_connection_t *pooled = calloc(1, sizeof(*pooled));

	if (!pooled)
		return false;
	pooled->pool = pool;
	pooled->state = POOLED_CONNECTING;
	pooled->timer = evtimer_new(pool->base, on_pooled_timer, pooled);
	if (pooled->timer)
		pooled->connection = connection_new(pool->base, &pool->endpoint,
						    &handler, pooled);
	if (!pooled->connection) {
		if (pooled->timer)
			event_free(pooled->timer);
		free(pooled);
		return false;
	}
	timer_set(pooled->timer, pool->options.connect_timeout_ms);
	TAILQ_INSERT_TAIL(&pool->connections, pooled, link);
	pool->connects[pool->connect_count++ % POOL_CONNECT_RATE_MAX] =
		clock_source_now(pool->clock);
	return true;
}

/*
 * Returns the time in ms until another connect is allowed, so that no second
 * has more than connects_per_second connects.
 */
static clock_ms_t connect_delay_ms(const target_pool_t *pool)
{
	uint64_t rate = pool->options.connects_per_second;
	clock_ms_t elapsed_ms;

	if (rate == 0)
		rate = 1;
	if (rate > POOL_CONNECT_RATE_MAX)
		rate = POOL_CONNECT_RATE_MAX;
	if (pool->connect_count < rate)
		return 0;
	elapsed_ms = clock_source_now(pool->clock) -
		     pool->connects[(pool->connect_count - rate) %
				    POOL_CONNECT_RATE_MAX];
	return elapsed_ms > 1000 ? 0 : 1001 - elapsed_ms;
}

static pooled_connection_t *find_idle(target_pool_t *pool)
{
	pooled_connection_t *pooled;

	TAILQ_FOREACH(pooled, &pool->connections, link) {
		if (pooled->state == POOLED_IDLE)
			return pooled;
	}
	return NULL;
}

/*
 * Runs waiting requests, oldest first, on idle connections. For the rest, opens
 * new connections as far as connections_max and connects_per_second allow.
 */
static void dispatch(target_pool_t *pool)
{
	request_t *request;
	pooled_connection_t *pooled;
	clock_ms_t delay_ms = 0;
	uint32_t missing = 0;
	uint32_t connecting = 0;

	while ((request = TAILQ_FIRST(&pool->waiting)) &&
	       (pooled = find_idle(pool))) {
		TAILQ_REMOVE(&pool->waiting, request, link);
		pool_start(pooled, request);
	}
	TAILQ_FOREACH(request, &pool->waiting, link)
		missing++;
	TAILQ_FOREACH(pooled, &pool->connections, link)
		connecting += pooled->state == POOLED_CONNECTING;
	while (connecting < missing && target_pool_connection_count(pool) <
					       pool->options.connections_max) {
		delay_ms = connect_delay_ms(pool);
		if (delay_ms > 0 || !open_connection(pool))
			break;
		connecting++;
	}
	/* The target refused the last connection, and the connect rate does not
	 * allow another one yet. The requests end now instead of holding their
	 * slots until then, so that their entry proxies can find a new primary
	 * in the meantime. */
	if (delay_ms > 0 && TAILQ_EMPTY(&pool->connections) &&
	    pool->connect_error != TARGET_OK)
		end_waiting(pool, pool->connect_error);
	else if (delay_ms > 0)
		timer_set(pool->connect_timer, delay_ms);
}

static void on_connect_timer(evutil_socket_t fd, short events, void *context)
{
	(void)fd;
	(void)events;
	dispatch(context);
}

/*
 * Dispatches waiting requests, then calls the callback of one finished request.
 * Further callbacks are left to the next activation of the event, because each
 * callback may free the pool.
 */
static void on_wakeup(evutil_socket_t fd, short events, void *context)
{
	target_pool_t *pool = context;
	request_t *request;

	(void)fd;
	(void)events;
	dispatch(pool);
	request = TAILQ_FIRST(&pool->finished);
	if (!request)
		return;
	TAILQ_REMOVE(&pool->finished, request, link);
	if (!TAILQ_EMPTY(&pool->finished))
		schedule_dispatch(pool);
	request_call_back(request);
}

/*
 * Appends a request to the queue of requests that wait for a connection.
 */
void pool_queue(target_pool_t *pool, request_t *request)
{
	request->state = REQUEST_WAITING;
	TAILQ_INSERT_TAIL(&pool->waiting, request, link);
	schedule_dispatch(pool);
}

/*
 * Ends a request whose statement is not allowed, without sending it.
 */
void pool_reject(request_t *request)
{
	request_reject(request);
	finish(request, TARGET_OK);
}

/*
 * Frees a pool that has no requests and no connections.
 */
static void destroy(target_pool_t *pool)
{
	if (pool->wakeup)
		event_free(pool->wakeup);
	if (pool->connect_timer)
		event_free(pool->connect_timer);
	endpoint_clear(&pool->endpoint);
	free(pool);
}

/*
 * Creates a pool, which opens connections when requests need them. The clock
 * must outlive it; endpoint and options are copied; log_handler may be NULL.
 * Returns NULL if there is no memory.
 */
target_pool_t *target_pool_new(struct event_base *base,
			       const clock_source_t *clock,
			       const target_endpoint_t *endpoint,
			       const target_pool_options_t *options,
			       target_log_t log_handler, void *log_context)
{
	target_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->base = base;
	pool->clock = clock;
	pool->options = *options;
	pool->log = log_handler;
	pool->log_context = log_context;
	TAILQ_INIT(&pool->connections);
	TAILQ_INIT(&pool->waiting);
	TAILQ_INIT(&pool->finished);
	pool->wakeup = event_new(base, -1, 0, on_wakeup, pool);
	pool->connect_timer = evtimer_new(base, on_connect_timer, pool);
	if (!pool->wakeup || !pool->connect_timer ||
	    endpoint_copy(&pool->endpoint, endpoint) != TARGET_OK) {
		destroy(pool);
		return NULL;
	}
	return pool;
}

/*
 * Closes all connections and frees the pool. All callbacks that are still due
 * are called before this function returns, those of unanswered requests with
 * TARGET_ERROR_CLOSED; whether a request that was sent takes effect is unknown.
 * Transactions must still be freed by their owners. NULL is allowed.
 */
void target_pool_free(target_pool_t *pool)
{
	request_t *request;
	pooled_connection_t *pooled;
	pooled_connection_t *next;

	if (!pool)
		return;
	pool->closing = true;
	while ((request = TAILQ_FIRST(&pool->waiting))) {
		pool_detach(request);
		finish(request, TARGET_ERROR_CLOSED);
	}
	for (pooled = TAILQ_FIRST(&pool->connections); pooled; pooled = next) {
		next = TAILQ_NEXT(pooled, link);
		request = pooled->request;
		if (request) {
			pool_detach(request);
			finish(request, TARGET_ERROR_CLOSED);
		} else {
			pool_close_connection(pooled);
		}
	}
	while ((request = TAILQ_FIRST(&pool->finished))) {
		TAILQ_REMOVE(&pool->finished, request, link);
		request_call_back(request);
	}
	destroy(pool);
}

/*
 * Changes the options. If the pool has more connections than the new limit,
 * idle connections are closed now and the others when they are returned to the
 * pool.
 */
void target_pool_configure(target_pool_t *pool,
			   const target_pool_options_t *options)
{
	pooled_connection_t *pooled;

	pool->options = *options;
	while (target_pool_connection_count(pool) > options->connections_max &&
	       (pooled = find_idle(pool)))
		pool_close_connection(pooled);
	schedule_dispatch(pool);
}

/*
 * Runs one job on a connection that serves no other job meanwhile. done is
 * called exactly once, never from inside this function. A job whose statement
 * is not allowed, or that lacks its key, is not sent and ends with
 * TARGET_ERROR_STATEMENT and SQLSTATE 0A000.
 *
 * Returns TARGET_OK, or TARGET_ERROR_MEMORY or TARGET_ERROR_CLOSED; done is
 * then not called.
 */
int target_pool_run(target_pool_t *pool, const target_job_t *job,
		    target_done_t done, void *context)
{
	static const request_kind_t kinds[] = {
		[TARGET_JOB_READ] = REQUEST_READ,
		[TARGET_JOB_WRITE] = REQUEST_WRITE,
		[TARGET_JOB_OUTCOME_GET] = REQUEST_OUTCOME_GET,
		[TARGET_JOB_OUTCOME_CANCEL] = REQUEST_OUTCOME_CANCEL,
	};
	bool has_statement =
		job->kind == TARGET_JOB_READ || job->kind == TARGET_JOB_WRITE;
	request_t *request;

	if (pool->closing)
		return TARGET_ERROR_CLOSED;
	request = request_new(pool, kinds[job->kind],
			      has_statement ? job->statement : NULL, job->key,
			      job->deadline_ms, done, context);
	if (!request)
		return TARGET_ERROR_MEMORY;
	request->fingerprint = job->fingerprint;
	request->term = job->term;
	request->seen = job->seen;
	if (has_statement ? !statement_is_allowed(job->statement) : !job->key)
		pool_reject(request);
	else
		pool_queue(pool, request);
	return TARGET_OK;
}

/*
 * Returns the number of connections that serve a job or a transaction or are
 * being rolled back.
 */
uint32_t target_pool_in_use_count(const target_pool_t *pool)
{
	const pooled_connection_t *pooled;
	uint32_t count = 0;

	TAILQ_FOREACH(pooled, &pool->connections, link)
		count += pooled->state != POOLED_IDLE &&
			 pooled->state != POOLED_CONNECTING;
	return count;
}

/*
 * Returns the number of all connections, including connections that are being
 * opened.
 */
uint32_t target_pool_connection_count(const target_pool_t *pool)
{
	const pooled_connection_t *pooled;
	uint32_t count = 0;

	TAILQ_FOREACH(pooled, &pool->connections, link)
		count++;
	return count;
}
