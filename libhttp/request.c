#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"

/* Largest headers of an answer. */
#define HEADERS_MAX_BYTES 65536
/* Range of an HTTP status. */
#define STATUS_MIN 100
#define STATUS_MAX 599
/* Buffer size in bytes for the header of an answer that is kept. A longer value
 * counts as missing. */
#define ANSWER_HEADER_SIZE 64

/* A request on a connection of its own. Connections are not reused, because a
 * connection on which an answer was lost may never deliver another one. */
struct http_request {
	struct evhttp_connection *connection;
	/* Ends the request: a timer for the timeout, which is also activated
	 * when the answer is complete. */
	struct event *end;
	http_request_done_t done;
	void *context;
	/* HTTP status; 0 until a complete answer has arrived. */
	int status;
	struct evbuffer *body;
	size_t answer_max_bytes;
	/* Name of the header that is kept, or NULL, and its value. */
	const char *header_name;
	char header[ANSWER_HEADER_SIZE];
};

/*
 * Makes the close of a connection send a reset and discard unsent bytes.
 * Otherwise the kernel would go on retransmitting a request that an interrupted
 * network path holds up, and a call that has timed out could take effect later.
 */
static void reset_on_close(const http_request_t *request)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	evutil_socket_t fd = bufferevent_getfd(
		evhttp_connection_get_bufferevent(request->connection));

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void free_request(http_request_t *request)
{
	if (request->connection && request->status == 0)
		reset_on_close(request);
	if (request->connection)
		evhttp_connection_free(request->connection);
	if (request->end)
		event_free(request->end);
	if (request->body)
		evbuffer_free(request->body);
	free(request);
}

/*
 * Calls the callback of a request and frees the request. This runs from an
 * event of its own, because the connection must not be freed within evhttp's
 * callback.
 */
static void finish_request(evutil_socket_t fd, short what, void *context)
{
	http_request_t *request = context;
	size_t size = evbuffer_get_length(request->body);

	(void)fd;
	(void)what;
	request->done(request->context, request->status,
		      size > 0
			      ? (const char *)evbuffer_pullup(request->body, -1)
			      : "",
		      size);
	free_request(request);
}

/*
 * Moves the body of an answer into the request and decompresses it if needed.
 * Returns false without memory, or if the body has an unknown encoding, is
 * malformed or is too large.
 */
static bool take_body(http_request_t *request, struct evhttp_request *answer)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(answer);
	const char *encoding =
		evhttp_find_header(evhttp_request_get_input_headers(answer),
				   HTTP_HEADER_CONTENT_ENCODING);
	size_t size = evbuffer_get_length(input);

	if (!encoding)
		return evbuffer_add_buffer(request->body, input) == 0;
	return strcmp(encoding, HTTP_ENCODING_GZIP) == 0 && size > 0 &&
	       http_body_decompress((const char *)evbuffer_pullup(input, -1),
				    size, request->answer_max_bytes,
				    request->body) == HTTP_ERROR_NONE;
}

/*
 * Returns the status of an answer, or 0 if it is none: evhttp takes any number
 * for a status.
 */
static int status_of(struct evhttp_request *answer)
{
	int status = evhttp_request_get_response_code(answer);

	if (status < STATUS_MIN || status > STATUS_MAX ||
	    !http_headers_are_unambiguous(
		    evhttp_request_get_input_headers(answer)))
		return 0;
	return status;
}

/*
 * Keeps the header of an answer that the options of the request name.
 */
static void take_header(http_request_t *request, struct evhttp_request *answer)
{
	const char *value =
		request->header_name
			? evhttp_find_header(
				  evhttp_request_get_input_headers(answer),
				  request->header_name)
			: NULL;

	if (value && strlen(value) < sizeof(request->header))
		memcpy(request->header, value, strlen(value) + 1);
}

/*
 * Called by evhttp at the end of a request. Without an answer it passes NULL or
 * a status of 0.
 */
static void on_complete(struct evhttp_request *answer, void *context)
{
	http_request_t *request = context;

	request->status = answer ? status_of(answer) : 0;
	if (request->status != 0)
		take_header(request, answer);
	if (request->status != 0 && !take_body(request, answer)) {
		request->status = 0;
		evbuffer_drain(request->body,
			       evbuffer_get_length(request->body));
	}
	event_active(request->end, EV_TIMEOUT, 0);
}

/*
 * Fills in the headers and the body of a request. Returns false without memory.
 */
static bool build_request(struct evhttp_request *request,
			  const http_request_options_t *options)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	char host[80];
	size_t i;

	snprintf(host, sizeof(host), "%s:%u", options->address, options->port);
	if (evhttp_add_header(headers, "Host", host) != 0 ||
	    evhttp_add_header(headers, "Connection", "close") != 0)
		return false;
	if (options->accept_gzip &&
	    evhttp_add_header(headers, HTTP_HEADER_ACCEPT_ENCODING,
			      HTTP_ENCODING_GZIP) != 0)
		return false;
	for (i = 0; i < options->header_count; i++) {
		if (evhttp_add_header(headers, options->headers[i].name,
				      options->headers[i].value) != 0)
			return false;
	}
	if (options->method != HTTP_METHOD_POST)
		return true;
	return evhttp_add_header(headers, "Content-Type", "application/json") ==
		       0 &&
	       evbuffer_add(evhttp_request_get_output_buffer(request),
			    options->body, strlen(options->body)) == 0;
}

static int start_request(http_request_t *request, struct event_base *base,
			 const http_request_options_t *options)
{
	struct timeval limit = { .tv_sec = options->timeout_ms / 1000,
				 .tv_usec = options->timeout_ms % 1000 * 1000 };
	struct evhttp_request *message;
	bool post = options->method == HTTP_METHOD_POST;

	request->answer_max_bytes = options->answer_max_bytes;
	request->header_name = options->answer_header;
	request->end = evtimer_new(base, finish_request, request);
	request->body = evbuffer_new();
	request->connection = evhttp_connection_base_new(
		base, NULL, options->address, options->port);
	message = evhttp_request_new(on_complete, request);
	if (!request->end || !request->body || !request->connection ||
	    !message || !build_request(message, options)) {
		if (message)
			evhttp_request_free(message);
		return HTTP_ERROR_MEMORY;
	}
	/* evhttp's own timeout restarts with each byte and so does not bound
	 * the whole call. It is set to expire after the timer of the call. */
	evhttp_connection_set_timeout(request->connection,
				      (int)(options->timeout_ms / 1000) + 2);
	evhttp_connection_set_max_body_size(
		request->connection, (ev_ssize_t)options->answer_max_bytes);
	evhttp_connection_set_max_headers_size(request->connection,
					       HEADERS_MAX_BYTES);
	/* evhttp does not bound the line with the size of a chunk. Reading
	 * stops at the limit, and the timer ends the call. */
	bufferevent_setwatermark(
		evhttp_connection_get_bufferevent(request->connection), EV_READ,
		0, HEADERS_MAX_BYTES + options->answer_max_bytes);
	evtimer_add(request->end, &limit);
	if (evhttp_make_request(request->connection, message,
				post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				options->path) != 0)
		event_active(request->end, EV_TIMEOUT, 0);
	return HTTP_ERROR_NONE;
}

/*
 * Sends a GET or POST request to an IP address and port. done is called once,
 * from the event loop, with the HTTP status, or with 0 if there was no complete
 * answer within timeout_ms. The options may be freed after the call. Returns
 * the request, or NULL without memory, in which case done is not called.
 */
http_request_t *http_request_send(struct event_base *base,
				  const http_request_options_t *options,
				  http_request_done_t done, void *context)
{
	http_request_t *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->done = done;
	request->context = context;
	if (start_request(request, base, options) == HTTP_ERROR_NONE)
		return request;
	free_request(request);
	return NULL;
}

/*
 * Returns the value of the answer's header that the options of the request
 * name, or an empty string. Valid until the callback returns.
 */
const char *http_request_answer_header(const http_request_t *request)
{
	return request->header;
}

/*
 * Cancels and frees a request whose callback has not been called yet. The
 * callback is not called any more.
 */
void http_request_cancel(http_request_t *request)
{
	free_request(request);
}
