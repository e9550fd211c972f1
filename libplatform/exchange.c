#include <event2/buffer.h>
#include <stdlib.h>

#include "internal.h"
#include "libhttp/http.h"

/*
 * One request and its answer, on a connection of its own. Connections are not
 * reused: if the service closed a kept connection while a request is sent on
 * it, the lost request could not be told from a lost answer.
 */
struct platform_exchange {
	platform_operation_t *operation;
	platform_exchange_done_t done;
	struct evhttp_connection *connection;
	/* Fires at the timeout, and is activated when the answer is complete.
	 */
	struct event *end;
	/* Bytes of the request may have been sent. */
	bool sent;
	bool complete;
	bool too_large;
	int error;
	json_t *answer;
};

/*
 * Frees an exchange without calling its callback.
 */
void platform_exchange_free(platform_exchange_t *exchange)
{
	if (!exchange)
		return;
	if (exchange->connection)
		evhttp_connection_free(exchange->connection);
	if (exchange->end)
		event_free(exchange->end);
	json_decref(exchange->answer);
	free(exchange);
}

/*
 * Returns the error of an exchange that ended without an answer:
 * PLATFORM_ERROR_UNAVAILABLE only if nothing can have been sent.
 */
static int no_answer_error(const platform_exchange_t *exchange)
{
	if (exchange->too_large)
		return PLATFORM_ERROR_TOO_LARGE;
	return exchange->sent ? PLATFORM_ERROR_UNKNOWN
			      : PLATFORM_ERROR_UNAVAILABLE;
}

/*
 * Ends the exchange at its timeout or after its answer, and calls its callback.
 * Runs as an event of its own, because the connection can't be freed inside
 * evhttp's callbacks. Uses neither the operation nor the client after the
 * callback, which may free them.
 */
static void end_exchange(evutil_socket_t fd, short what, void *context)
{
	platform_exchange_t *exchange = context;
	platform_operation_t *operation = exchange->operation;
	platform_exchange_done_t done = exchange->done;
	json_t *answer = exchange->answer;
	int error = exchange->error;

	(void)fd;
	(void)what;
	if (!exchange->complete)
		error = no_answer_error(exchange);
	if (error != PLATFORM_OK)
		operation->client->usage.failures++;
	exchange->answer = NULL;
	operation->exchange = NULL;
	platform_exchange_free(exchange);
	done(operation, error, answer);
	json_decref(answer);
}

/*
 * Parses the body of an answer into exchange->answer. Returns PLATFORM_OK, or
 * PLATFORM_ERROR_MALFORMED if the body is not a JSON object.
 */
static int decode_body(platform_exchange_t *exchange,
		       struct evhttp_request *request)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(body);
	const char *text = (const char *)evbuffer_pullup(body, -1);

	if (text)
		exchange->answer = json_loadb(text, size, 0, NULL);
	return json_is_object(exchange->answer) ? PLATFORM_OK
						: PLATFORM_ERROR_MALFORMED;
}

/*
 * Converts an HTTP status other than 200 to an error. With 429 and any other
 * 4xx status the request was refused without effect; after any other status a
 * change may still take effect.
 */
static int status_error(int status)
{
	if (status == 429)
		return PLATFORM_ERROR_UNAVAILABLE;
	if (status >= 400 && status < 500)
		return PLATFORM_ERROR_MALFORMED;
	return PLATFORM_ERROR_UNKNOWN;
}

/*
 * Called by evhttp before on_request_end() when a request fails.
 */
static void on_request_error(enum evhttp_request_error error, void *context)
{
	platform_exchange_t *exchange = context;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		exchange->too_large = true;
}

/*
 * Called by evhttp at the end of a request. If there is no answer, request is
 * NULL or has the status 0.
 */
static void on_request_end(struct evhttp_request *request, void *context)
{
	platform_exchange_t *exchange = context;
	int status = request ? evhttp_request_get_response_code(request) : 0;

	if (request && !http_headers_are_unambiguous(
			       evhttp_request_get_input_headers(request)))
		status = 0;
	exchange->operation->status = status;
	if (status == 0 || exchange->too_large)
		exchange->error = no_answer_error(exchange);
	else if (status == HTTP_OK)
		exchange->error = decode_body(exchange, request);
	else
		exchange->error = status_error(status);
	exchange->complete = true;
	event_active(exchange->end, EV_TIMEOUT, 0);
}

/*
 * Sends the request of a new exchange and starts its timeout. Returns
 * PLATFORM_OK or PLATFORM_ERROR_MEMORY. If connecting cannot be started, it
 * returns PLATFORM_OK and the callback later gets PLATFORM_ERROR_UNAVAILABLE.
 */
static int send_exchange(platform_exchange_t *exchange,
			 const platform_http_t *http)
{
	struct event_base *base = exchange->operation->client->base;
	struct timeval timeout = platform_timeval(http->timeout_ms);
	struct evhttp_request *request;
	int error;

	exchange->end = evtimer_new(base, end_exchange, exchange);
	exchange->connection =
		platform_http_connect(base, http, &exchange->sent);
	if (!exchange->end || !exchange->connection ||
	    evtimer_add(exchange->end, &timeout) != 0)
		return PLATFORM_ERROR_MEMORY;
	request = evhttp_request_new(on_request_end, exchange);
	if (!request)
		return PLATFORM_ERROR_MEMORY;
	evhttp_request_set_error_cb(request, on_request_error);
	error = platform_http_send(exchange->connection, http, request);
	if (error == PLATFORM_ERROR_UNAVAILABLE) {
		exchange->complete = true;
		exchange->error = error;
		event_active(exchange->end, EV_TIMEOUT, 0);
		return PLATFORM_OK;
	}
	return error;
}

/*
 * Starts an exchange for an operation. Returns PLATFORM_OK, or
 * PLATFORM_ERROR_MEMORY; done is then not called.
 */
static int start_exchange(platform_operation_t *operation,
			  const platform_http_t *http,
			  platform_exchange_done_t done)
{
	platform_exchange_t *exchange = calloc(1, sizeof(*exchange));
	int error;

	if (!exchange)
		return PLATFORM_ERROR_MEMORY;
	exchange->operation = operation;
	exchange->done = done;
	operation->status = 0;
	error = send_exchange(exchange, http);
	if (error != PLATFORM_OK) {
		platform_exchange_free(exchange);
		return error;
	}
	operation->exchange = exchange;
	return PLATFORM_OK;
}

/*
 * Posts a JSON request to the key-value service. done is called once, from the
 * event loop, within timeout_ms. The function releases request; NULL means that
 * the caller had no memory for it. Returns as start_exchange().
 */
int platform_exchange_call(platform_operation_t *operation, const char *path,
			   json_t *request, clock_ms_t timeout_ms,
			   platform_exchange_done_t done)
{
	const platform_client_t *client = operation->client;
	char *body = request ? json_dumps(request, JSON_COMPACT) : NULL;
	platform_http_t http = {
		.address = client->address,
		.port = client->port,
		.path = path,
		.body = body,
		.timeout_ms = timeout_ms,
		.body_max_bytes = PLATFORM_ANSWER_MAX_BYTES,
	};
	int error = PLATFORM_ERROR_MEMORY;

	json_decref(request);
	if (body)
		error = start_exchange(operation, &http, done);
	free(body);
	return error;
}

/*
 * Requests the list of instances. done is called as for
 * platform_exchange_call(), within the client's timeout. Returns as
 * start_exchange().
 */
int platform_exchange_list(platform_operation_t *operation,
			   platform_exchange_done_t done)
{
	const platform_client_t *client = operation->client;
	platform_http_t http = {
		.address = client->list_address,
		.port = client->list_port,
		.path = "/v1/instances",
		.timeout_ms = client->timeout_ms,
		.body_max_bytes = PLATFORM_ANSWER_MAX_BYTES,
	};

	return start_exchange(operation, &http, done);
}
