#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* An answer may come this much after the deadline that the proxy was given. */
#define ANSWER_MARGIN_MS 500
/* A proxy that refused a connection is left out for this time, as a load
 * balancer with health checks does. */
#define DOWN_MS 500

/* A connection carries one request at a time. It is kept when the request ends,
 * and evhttp connects again if it was closed. */
typedef struct connection {
	struct connection *next_idle;
	struct connection *next;
	calls_t *calls;
	uint32_t proxy;
	struct evhttp_connection *http;
	operation_t *operation;
	call_done_t done;
	void *context;
} connection_t;

struct calls {
	struct event_base *base;
	clock_source_t clock;
	const bench_options_t *options;
	connection_t *idle[BENCH_PROXIES_MAX];
	clock_ms_t down_until_ms[BENCH_PROXIES_MAX];
	connection_t *all;
};

static void read_answer(connection_t *connection,
			struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(input);
	const char *body =
		length > 0 ? (const char *)evbuffer_pullup(input, -1) : "";

	operation_read_answer(connection->operation,
			      evhttp_request_get_response_code(request), body,
			      length);
}

static void on_answer(struct evhttp_request *request, void *context)
{
	connection_t *connection = context;
	calls_t *calls = connection->calls;
	operation_t *operation = connection->operation;

	operation->answered_ms = clock_source_now(&calls->clock);
	if (!request) {
		operation_fail(operation, OUTCOME_UNKNOWN, "no-answer");
	} else if (evhttp_request_get_response_code(request) == 0) {
		/* There was no connection, so that nothing was sent. */
		operation_fail(operation, OUTCOME_NOT_RUN, "unreachable");
		calls->down_until_ms[connection->proxy] =
			operation->answered_ms + DOWN_MS;
	} else {
		read_answer(connection, request);
	}
	connection->next_idle = calls->idle[connection->proxy];
	calls->idle[connection->proxy] = connection;
	connection->done(connection->context, operation);
}

static connection_t *connection_new(calls_t *calls, uint32_t proxy)
{
	const bench_proxy_t *address = &calls->options->proxies[proxy];
	clock_ms_t timeout_ms = calls->options->deadline_ms + ANSWER_MARGIN_MS;
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->http = evhttp_connection_base_new(
		calls->base, NULL, address->address, address->port);
	if (!connection->http) {
		free(connection);
		return NULL;
	}
	evhttp_connection_set_timeout_tv(connection->http, &timeout);
	connection->calls = calls;
	connection->proxy = proxy;
	connection->next = calls->all;
	calls->all = connection;
	return connection;
}

static connection_t *connection_take(calls_t *calls, uint32_t proxy)
{
	connection_t *connection = calls->idle[proxy];

	if (!connection)
		return connection_new(calls, proxy);
	calls->idle[proxy] = connection->next_idle;
	return connection;
}

/*
 * Returns the preferred proxy, or the next one that has not refused a
 * connection lately.
 */
static uint32_t choose_proxy(const calls_t *calls, uint32_t preferred,
			     clock_ms_t now_ms)
{
	uint32_t count = calls->options->proxy_count;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t proxy = (preferred + i) % count;

		if (calls->down_until_ms[proxy] <= now_ms)
			return proxy;
	}
	return preferred;
}

static int send_request(connection_t *connection, const operation_t *operation,
			const char *body)
{
	struct evhttp_request *request =
		evhttp_request_new(on_answer, connection);
	const calls_t *calls = connection->calls;
	struct evkeyvalq *headers;

	if (!request)
		return BENCH_ERROR_MEMORY;
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host",
			  calls->options->proxies[connection->proxy].name);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(request), body,
		     strlen(body));
	if (evhttp_make_request(connection->http, request, EVHTTP_REQ_POST,
				operation->kind == OPERATION_OUTCOME
					? "/v1/outcome"
					: "/v1/statement") != 0)
		return BENCH_ERROR_MEMORY;
	return BENCH_OK;
}

/*
 * Sends the operation to its proxy, or to another one while that refuses
 * connections. done is called from the loop with the answer. Returns BENCH_OK,
 * or BENCH_ERROR_MEMORY and then nothing was sent.
 */
int calls_send(calls_t *calls, operation_t *operation, call_done_t done,
	       void *context)
{
	char *body = operation_body(calls->options, operation);
	connection_t *connection;
	int error;

	operation->sent_ms = clock_source_now(&calls->clock);
	operation->proxy =
		choose_proxy(calls, operation->proxy, operation->sent_ms);
	connection = connection_take(calls, operation->proxy);
	if (!body || !connection) {
		free(body);
		return BENCH_ERROR_MEMORY;
	}
	connection->operation = operation;
	connection->done = done;
	connection->context = context;
	error = send_request(connection, operation, body);
	if (error != BENCH_OK) {
		connection->next_idle = calls->idle[operation->proxy];
		calls->idle[operation->proxy] = connection;
	}
	free(body);
	return error;
}

/*
 * Creates the calls. Returns NULL without memory.
 */
calls_t *calls_new(struct event_base *base, const bench_options_t *options)
{
	calls_t *calls = calloc(1, sizeof(*calls));

	if (!calls)
		return NULL;
	calls->base = base;
	calls->clock = clock_source_boot();
	calls->options = options;
	return calls;
}

/*
 * Closes all connections; done is not called for the requests on them.
 */
void calls_free(calls_t *calls)
{
	if (!calls)
		return;
	while (calls->all) {
		connection_t *connection = calls->all;

		calls->all = connection->next;
		evhttp_connection_free(connection->http);
		free(connection);
	}
	free(calls);
}
