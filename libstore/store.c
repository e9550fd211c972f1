#include "store.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform/messages.h"

/* Body of an answer: a range has at most 1 MB of items, which base64 and field
 * names grow by less than half. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* A watch is given this long past its own wait, as an answer takes a few ms; it
 * bounds how long a silent connection hides changes. */
#define WATCH_GRACE_MS 400

typedef struct store_call store_call_t;

/* One call, on a connection of its own: a connection on which an answer is lost
 * returns nothing further. */
struct store_call {
	TAILQ_ENTRY(store_call) entry;
	store_t *store;
	struct evhttp_connection *connection;
	struct event *end;
	store_done_t done;
	void *context;
	clock_ms_t sent_ms;
	int error;
	store_answer_t answer;
};

struct store {
	struct event_base *base;
	const clock_source_t *clock;
	char address[64];
	uint16_t port;
	clock_ms_t timeout_ms;
	store_usage_t usage;
	TAILQ_HEAD(, store_call) calls;
};

/*
 * Creates a client of the store at an IP number. timeout_ms bounds each call
 * but a watch. Returns NULL without memory.
 */
store_t *store_new(struct event_base *base, const clock_source_t *clock,
		   const char *address, uint16_t port, clock_ms_t timeout_ms)
{
	store_t *store = calloc(1, sizeof(*store));

	if (!store)
		return NULL;
	store->base = base;
	store->clock = clock;
	snprintf(store->address, sizeof(store->address), "%s", address);
	store->port = port;
	store->timeout_ms = timeout_ms;
	TAILQ_INIT(&store->calls);
	return store;
}

static void free_call(store_call_t *call)
{
	if (call->connection)
		evhttp_connection_free(call->connection);
	if (call->end)
		event_free(call->end);
	platform_items_release(&call->answer);
	free(call);
}

/*
 * Frees the client; calls in progress end without their callback.
 */
void store_free(store_t *store)
{
	store_call_t *call;
	store_call_t *next;

	if (!store)
		return;
	for (call = TAILQ_FIRST(&store->calls); call; call = next) {
		next = TAILQ_NEXT(call, entry);
		free_call(call);
	}
	free(store);
}

/*
 * Ends a call at its timeout or after its answer, outside evhttp's callbacks,
 * where the connection may be freed.
 */
static void end_call(evutil_socket_t fd, short what, void *context)
{
	store_call_t *call = context;

	(void)fd;
	(void)what;
	if (call->error != STORE_OK && call->error != STORE_ERROR_CONFLICT)
		call->store->usage.failures++;
	call->done(call->context, call->error,
		   call->error == STORE_OK ? &call->answer : NULL,
		   call->sent_ms);
	TAILQ_REMOVE(&call->store->calls, call, entry);
	free_call(call);
}

/*
 * Called by evhttp at the end of a request; without a status there is no
 * answer, and the error stays STORE_ERROR_UNKNOWN.
 */
static void complete_call(struct evhttp_request *request, void *context)
{
	store_call_t *call = context;
	int status = request ? evhttp_request_get_response_code(request) : 0;
	struct evbuffer *body;

	if (status != 0) {
		call->error = platform_store_error(status);
		body = evhttp_request_get_input_buffer(request);
		if (call->error == STORE_OK)
			call->error = platform_items_decode(
				(const char *)evbuffer_pullup(body, -1),
				evbuffer_get_length(body), &call->answer);
	}
	event_active(call->end, EV_TIMEOUT, 0);
}

static bool fill_request(const store_t *store, struct evhttp_request *request,
			 const char *body)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	char host[80];

	snprintf(host, sizeof(host), "%s:%u", store->address, store->port);
	if (evhttp_add_header(headers, "Host", host) != 0 ||
	    evhttp_add_header(headers, "Connection", "close") != 0)
		return false;
	if (!body)
		return true;
	return evhttp_add_header(headers, "Content-Type", "application/json") ==
		       0 &&
	       evbuffer_add(evhttp_request_get_output_buffer(request), body,
			    strlen(body)) == 0;
}

/*
 * Sends the request of a call. Returns STORE_OK or STORE_ERROR_MEMORY; a
 * connection that cannot be started ends the call by its callback.
 */
static int send_call(store_call_t *call, const char *path, const char *body,
		     clock_ms_t timeout_ms)
{
	store_t *store = call->store;
	struct timeval limit = { .tv_sec = timeout_ms / 1000,
				 .tv_usec = timeout_ms % 1000 * 1000 };
	struct evhttp_request *request;

	call->end = evtimer_new(store->base, end_call, call);
	call->connection = evhttp_connection_base_new(
		store->base, NULL, store->address, store->port);
	request = evhttp_request_new(complete_call, call);
	if (!call->end || !call->connection || !request ||
	    !fill_request(store, request, body)) {
		if (request)
			evhttp_request_free(request);
		return STORE_ERROR_MEMORY;
	}
	evhttp_connection_set_timeout(call->connection,
				      (int)(timeout_ms / 1000) + 2);
	evhttp_connection_set_max_body_size(call->connection, ANSWER_MAX_BYTES);
	evtimer_add(call->end, &limit);
	if (evhttp_make_request(call->connection, request,
				body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				path) != 0) {
		call->error = STORE_ERROR_REFUSED;
		event_active(call->end, EV_TIMEOUT, 0);
	}
	return STORE_OK;
}

/*
 * Starts a call and frees path and body, which may be NULL for lack of memory.
 */
static int start_call(store_t *store, char *path, char *body,
		      clock_ms_t timeout_ms, store_done_t done, void *context)
{
	store_call_t *call = calloc(1, sizeof(*call));
	int error = STORE_ERROR_MEMORY;

	if (call && path) {
		call->store = store;
		call->done = done;
		call->context = context;
		call->sent_ms = clock_source_now(store->clock);
		call->error = STORE_ERROR_UNKNOWN;
		TAILQ_INSERT_TAIL(&store->calls, call, entry);
		error = send_call(call, path, body, timeout_ms);
		if (error != STORE_OK) {
			TAILQ_REMOVE(&store->calls, call, entry);
			free_call(call);
		}
	} else {
		free(call);
	}
	free(path);
	free(body);
	return error;
}

/*
 * Reads the keys of a prefix, linearizably. A truncated answer goes on behind
 * its last key. Returns STORE_OK, or STORE_ERROR_MEMORY without a callback.
 */
int store_range(store_t *store, const char *prefix, const char *after_key,
		store_done_t done, void *context)
{
	store->usage.ranges++;
	return start_call(store, platform_range_path(prefix, after_key), NULL,
			  store->timeout_ms, done, context);
}

/*
 * Waits up to wait_ms for changes of a prefix after a revision.
 */
int store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		clock_ms_t wait_ms, store_done_t done, void *context)
{
	store->usage.watches++;
	return start_call(store,
			  platform_watch_path(prefix, after_revision, wait_ms),
			  NULL, wait_ms + WATCH_GRACE_MS, done, context);
}

/*
 * Makes a change, all or nothing. After STORE_ERROR_UNKNOWN it may still take
 * effect while its expectations hold.
 */
int store_change(store_t *store, const store_change_t *change,
		 store_done_t done, void *context)
{
	char *path = strdup(platform_change_path());
	char *body = platform_change_body(change);

	store->usage.changes++;
	if (!body) {
		free(path);
		return STORE_ERROR_MEMORY;
	}
	return start_call(store, path, body, store->timeout_ms, done, context);
}

store_usage_t store_usage(const store_t *store)
{
	return store->usage;
}

/*
 * Returns the name of an error in logs.
 */
const char *store_error_name(int error)
{
	switch (error) {
	case STORE_OK:
		return "ok";
	case STORE_ERROR_MEMORY:
		return "no-memory";
	case STORE_ERROR_REFUSED:
		return "refused";
	case STORE_ERROR_UNKNOWN:
		return "no-answer";
	case STORE_ERROR_CONFLICT:
		return "conflict";
	case STORE_ERROR_HISTORY:
		return "history-gone";
	case STORE_ERROR_MALFORMED:
		return "malformed";
	default:
		return "invalid";
	}
}
