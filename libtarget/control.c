#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "connection.h"

/* A call of a user of the control connection, from queueing to callback. */
typedef struct call {
	TAILQ_ENTRY(call) link;
	target_control_t *control;
	target_call_t options;
	/* Copy of options.primary, whose text need not outlive the call. */
	char *primary;
	target_call_done_t done;
	void *context;
	struct event *timer;
	clock_ms_t sent_at_ms;
	bool sent;
	int error;
	group_status_t status;
	bool has_status;
} call_t;

/*
 * A connection and the calls that wait for it. The first call in the list is
 * the one in progress.
 */
typedef struct {
	target_control_t *control;
	connection_t *connection;
	bool ready;
	TAILQ_HEAD(call_list, call) calls;
} call_queue_t;

enum {
	QUEUE_MAIN,
	/* Calls with new_connection. They have a queue of their own so that
	 * they don't wait behind a call on a connection that may no longer
	 * answer. */
	QUEUE_NEW_CONNECTION,
	QUEUE_COUNT,
};

struct target_control {
	struct event_base *base;
	const clock_source_t *clock;
	target_endpoint_t endpoint;
	target_log_t log;
	void *log_context;
	call_queue_t queues[QUEUE_COUNT];
	/* Calls that have ended and whose callbacks are still to be called. */
	struct call_list finished;
	/* Runs on_wakeup() from the event loop. */
	struct event *wakeup;
};

static void log_event(const target_control_t *control, const char *event,
		      const char *detail)
{
	if (control->log)
		control->log(control->log_context, event,
			     control->endpoint.name, detail);
}

static void call_free(call_t *call)
{
	if (call->timer)
		event_free(call->timer);
	free(call->primary);
	free(call);
}

/*
 * Ends a call, whether it is in progress or waiting. An earlier error of the
 * call takes precedence over error; an answer without a status is
 * TARGET_ERROR_PROTOCOL. The callback is called later from the event loop.
 */
static void finish(call_queue_t *queue, call_t *call, int error)
{
	target_control_t *control = queue->control;

	TAILQ_REMOVE(&queue->calls, call, link);
	event_del(call->timer);
	if (call->error == TARGET_OK)
		call->error = error;
	if (call->error == TARGET_OK && !call->has_status)
		call->error = TARGET_ERROR_PROTOCOL;
	TAILQ_INSERT_TAIL(&control->finished, call, link);
	event_active(control->wakeup, EV_TIMEOUT, 0);
}

static void disconnect(call_queue_t *queue)
{
	connection_free(queue->connection);
	queue->connection = NULL;
	queue->ready = false;
}

/*
 * Fills an empty pipeline with the statement of a call.
 */
static void build_pipeline(const call_t *call, pipeline_t *pipeline)
{
	const target_call_t *options = &call->options;

	switch (options->kind) {
	case TARGET_CALL_STATUS:
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_status()");
		break;
	case TARGET_CALL_WAIT:
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_wait($1, $2, $3)");
		pipeline_add_number(pipeline, options->term);
		pipeline_add_number(pipeline, options->position_bytes);
		pipeline_add_number(pipeline, (uint64_t)options->wait_ms);
		break;
	case TARGET_CALL_FENCE:
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_fence($1, $2)");
		pipeline_add_number(pipeline, options->term);
		pipeline_add_number(pipeline, options->coordinator);
		break;
	case TARGET_CALL_PROMOTE:
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_promote($1, $2)");
		pipeline_add_number(pipeline, options->term);
		pipeline_add_number(pipeline, options->coordinator);
		break;
	case TARGET_CALL_FOLLOW:
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_follow($1, $2)");
		pipeline_add_number(pipeline, options->term);
		pipeline_add_text(pipeline, call->primary);
		break;
	}
}

static void on_result(void *context, step_kind_t step, const PGresult *result);
static void on_connection(void *context, connection_event_t event, int error);

static const connection_handler_t handler = { on_result, on_connection };

/*
 * Sends the first call of the queue if it was not sent yet. Without a
 * connection, starts to connect; the call is then sent when the connection is
 * ready.
 */
static void start(call_queue_t *queue)
{
	target_control_t *control = queue->control;
	call_t *call = TAILQ_FIRST(&queue->calls);
	pipeline_t pipeline = { .count = 0 };

	if (!call || call->sent)
		return;
	if (!queue->connection) {
		queue->connection = connection_new(
			control->base, &control->endpoint, &handler, queue);
		if (!queue->connection)
			finish(queue, call, TARGET_ERROR_MEMORY);
		return;
	}
	if (!queue->ready)
		return;
	build_pipeline(call, &pipeline);
	call->sent = true;
	call->sent_at_ms = clock_source_now(control->clock);
	if (connection_send(queue->connection, &pipeline) != TARGET_OK) {
		disconnect(queue);
		finish(queue, call, TARGET_ERROR_LOST);
	}
}

static void on_result(void *context, step_kind_t step, const PGresult *result)
{
	call_queue_t *queue = context;
	call_t *call = TAILQ_FIRST(&queue->calls);

	(void)step;
	call->error = result_error(result);
	if (call->error == TARGET_OK)
		call->error = result_status(result, &call->status);
	call->has_status = call->error == TARGET_OK;
}

/*
 * Replaces the main connection by the one of the queue for new connections. A
 * call in progress on the old connection ends with TARGET_ERROR_LOST, because
 * the new connection has shown that the target answers.
 */
static void replace_main(target_control_t *control)
{
	call_queue_t *main_queue = &control->queues[QUEUE_MAIN];
	call_queue_t *new_queue = &control->queues[QUEUE_NEW_CONNECTION];
	call_t *call = TAILQ_FIRST(&main_queue->calls);

	disconnect(main_queue);
	if (call && call->sent)
		finish(main_queue, call, TARGET_ERROR_LOST);
	main_queue->connection = new_queue->connection;
	main_queue->ready = true;
	connection_set_handler(main_queue->connection, &handler, main_queue);
	new_queue->connection = NULL;
	new_queue->ready = false;
}

static void on_connection(void *context, connection_event_t event, int error)
{
	call_queue_t *queue = context;
	target_control_t *control = queue->control;
	call_t *call = TAILQ_FIRST(&queue->calls);

	switch (event) {
	case CONNECTION_EVENT_READY:
		queue->ready = true;
		start(queue);
		break;
	case CONNECTION_EVENT_CONNECT_FAILED:
		log_event(control, "control_connect_failed",
			  connection_error_message(queue->connection));
		disconnect(queue);
		if (call)
			finish(queue, call, error);
		break;
	case CONNECTION_EVENT_FINISHED:
		if (queue == &control->queues[QUEUE_NEW_CONNECTION])
			replace_main(control);
		finish(queue, call, TARGET_OK);
		break;
	case CONNECTION_EVENT_FAILED:
		log_event(control, "control_connection_lost",
			  connection_error_message(queue->connection));
		disconnect(queue);
		if (call && call->sent)
			finish(queue, call,
			       error == CONNECTION_ERROR_TOO_LARGE
				       ? TARGET_ERROR_PROTOCOL
				       : error);
		else if (call)
			start(queue);
		break;
	}
}

/*
 * Starts waiting calls, then calls the callback of one finished call. Further
 * callbacks are left to the next activation of the event, because each callback
 * may free the control connection.
 */
static void on_wakeup(evutil_socket_t fd, short events, void *context)
{
	target_control_t *control = context;
	call_t *call = TAILQ_FIRST(&control->finished);
	call_t copy;

	(void)fd;
	(void)events;
	start(&control->queues[QUEUE_MAIN]);
	start(&control->queues[QUEUE_NEW_CONNECTION]);
	if (!call)
		return;
	TAILQ_REMOVE(&control->finished, call, link);
	if (!TAILQ_EMPTY(&control->finished))
		event_active(control->wakeup, EV_TIMEOUT, 0);
	copy = *call;
	call_free(call);
	copy.done(copy.context, copy.error, copy.sent_at_ms,
		  copy.error == TARGET_OK ? &copy.status : NULL);
}

/*
 * Ends a call whose timeout has passed. If the call was in progress, its
 * connection is closed, so that a late answer can't be taken for the answer to
 * another call.
 */
static void on_timeout(evutil_socket_t fd, short events, void *context)
{
	call_t *call = context;
	target_control_t *control = call->control;
	call_queue_t *queue = &control->queues[call->options.new_connection
						       ? QUEUE_NEW_CONNECTION
						       : QUEUE_MAIN];
	bool in_progress = call == TAILQ_FIRST(&queue->calls);

	(void)fd;
	(void)events;
	if (in_progress) {
		log_event(control, "control_timeout",
			  call->sent ? "no answer" : "no connection");
		disconnect(queue);
	}
	if (call->sent)
		finish(queue, call, TARGET_ERROR_TIMEOUT);
	else
		finish(queue, call,
		       in_progress ? TARGET_ERROR_CONNECT
				   : TARGET_ERROR_NO_CONNECTION);
}

/*
 * Creates a control connection, which connects at the first call. The clock
 * must outlive it; the endpoint is copied; log_handler may be NULL. Returns
 * NULL if there is no memory.
 */
target_control_t *target_control_new(struct event_base *base,
				     const clock_source_t *clock,
				     const target_endpoint_t *endpoint,
				     target_log_t log_handler,
				     void *log_context)
{
	target_control_t *control = calloc(1, sizeof(*control));
	size_t i;

	if (!control)
		return NULL;
	control->base = base;
	control->clock = clock;
	control->log = log_handler;
	control->log_context = log_context;
	TAILQ_INIT(&control->finished);
	for (i = 0; i < QUEUE_COUNT; i++) {
		control->queues[i].control = control;
		TAILQ_INIT(&control->queues[i].calls);
	}
	control->wakeup = event_new(base, -1, 0, on_wakeup, control);
	if (!control->wakeup ||
	    endpoint_copy(&control->endpoint, endpoint) != TARGET_OK) {
		target_control_free(control);
		return NULL;
	}
	return control;
}

/*
 * Closes and frees the control connection. All callbacks that are still due are
 * called before this function returns, those of unanswered calls with
 * TARGET_ERROR_CLOSED. NULL is allowed.
 */
void target_control_free(target_control_t *control)
{
	call_t *call;
	size_t i;

	if (!control)
		return;
	for (i = 0; i < QUEUE_COUNT; i++) {
		disconnect(&control->queues[i]);
		while ((call = TAILQ_FIRST(&control->queues[i].calls)))
			finish(&control->queues[i], call, TARGET_ERROR_CLOSED);
	}
	while ((call = TAILQ_FIRST(&control->finished))) {
		TAILQ_REMOVE(&control->finished, call, link);
		call->done(call->context, call->error, call->sent_at_ms,
			   call->error == TARGET_OK ? &call->status : NULL);
		call_free(call);
	}
	if (control->wakeup)
		event_free(control->wakeup);
	endpoint_clear(&control->endpoint);
	free(control);
}

/*
 * Queues a call. The timeout runs from now, so the call ends within timeout_ms
 * even if other calls are queued before it. When the timeout passes, the error
 * is TARGET_ERROR_NO_CONNECTION if the call was waiting for other calls,
 * TARGET_ERROR_CONNECT if it was waiting for the connection, and
 * TARGET_ERROR_TIMEOUT if it was sent. A call with new_connection does not wait
 * for calls without it.
 *
 * done is called exactly once, never from inside this function, with the time
 * at which the call was sent (0 if it was not) and the status, which is NULL if
 * there is an error. Returns TARGET_OK, or TARGET_ERROR_MEMORY; done is then
 * not called.
 */
int target_control_call(target_control_t *control, const target_call_t *call,
			target_call_done_t done, void *context)
{
	call_queue_t *queue =
		&control->queues[call->new_connection ? QUEUE_NEW_CONNECTION
						      : QUEUE_MAIN];
	call_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return TARGET_ERROR_MEMORY;
	entry->control = control;
	entry->options = *call;
	entry->primary = strdup(call->primary ? call->primary : "");
	entry->done = done;
	entry->context = context;
	entry->timer = evtimer_new(control->base, on_timeout, entry);
	if (!entry->primary || !entry->timer) {
		call_free(entry);
		return TARGET_ERROR_MEMORY;
	}
	timer_set(entry->timer, call->timeout_ms);
	TAILQ_INSERT_TAIL(&queue->calls, entry, link);
	event_active(control->wakeup, EV_TIMEOUT, 0);
	return TARGET_OK;
}

/*
 * Returns the number of calls whose callback has not been called yet.
 */
size_t target_control_pending_count(const target_control_t *control)
{
	const call_t *call;
	size_t count = 0;
	size_t i;

	for (i = 0; i < QUEUE_COUNT; i++) {
		TAILQ_FOREACH(call, &control->queues[i].calls, link)
			count++;
	}
	TAILQ_FOREACH(call, &control->finished, link)
		count++;
	return count;
}
