#include "http.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest body of an answer; a longer one counts as no answer. */
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)

typedef struct {
	struct event_base *base;
	int error;
	int status;
	char *body;
} client_call_t;

static void on_answer(struct evhttp_request *request, void *context)
{
	client_call_t *call = context;
	struct evbuffer *input;
	size_t length;

	event_base_loopexit(call->base, NULL);
	if (!request || evhttp_request_get_response_code(request) <= 0 ||
	    !http_headers_are_unambiguous(
		    evhttp_request_get_input_headers(request)))
		return;
	input = evhttp_request_get_input_buffer(request);
	length = evbuffer_get_length(input);
	call->body = malloc(length + 1);
	if (!call->body) {
		call->error = HTTP_ERROR_MEMORY;
		return;
	}
	evbuffer_remove(input, call->body, length);
	call->body[length] = '\0';
	call->status = evhttp_request_get_response_code(request);
	call->error = HTTP_ERROR_NONE;
}

static enum evhttp_cmd_type to_evhttp_command(http_method_t method)
{
	switch (method) {
	case HTTP_METHOD_POST:
		return EVHTTP_REQ_POST;
	case HTTP_METHOD_PUT:
		return EVHTTP_REQ_PUT;
	case HTTP_METHOD_GET:
	case HTTP_METHOD_OTHER:
		break;
	}
	return EVHTTP_REQ_GET;
}

static int perform_call(client_call_t *call, const char *address, uint16_t port,
			http_method_t method, const char *path,
			const char *request_body, clock_ms_t timeout_ms)
{
	struct timeval limit = { .tv_sec = timeout_ms / 1000,
				 .tv_usec = timeout_ms % 1000 * 1000 };
	struct evhttp_connection *connection =
		evhttp_connection_base_new(call->base, NULL, address, port);
	struct evhttp_request *request = evhttp_request_new(on_answer, call);
	struct evkeyvalq *headers;
	char host[128];

	if (!connection || !request)
		return HTTP_ERROR_MEMORY;
	evhttp_connection_set_max_body_size(connection, ANSWER_MAX_BYTES);
	evhttp_connection_set_timeout_tv(connection, &limit);
	headers = evhttp_request_get_output_headers(request);
	snprintf(host, sizeof(host), "%s:%u", address, port);
	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	if (request_body)
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     request_body, strlen(request_body));
	call->error = HTTP_ERROR_CONNECT;
	if (evhttp_make_request(connection, request, to_evhttp_command(method),
				path) == 0) {
		event_base_loopexit(call->base, &limit);
		event_base_dispatch(call->base);
	}
	evhttp_connection_free(connection);
	return call->error;
}

/*
 * Sends one request to an IP address and port, and waits up to timeout_ms for
 * the answer. request_body may be NULL. *status is set to the HTTP status and
 * *body to the body as a string, which the caller frees; *body is NULL if there
 * was no answer. Returns HTTP_ERROR_NONE, HTTP_ERROR_CONNECT if there was no
 * complete answer in time, or HTTP_ERROR_MEMORY.
 */
int http_client_call(const char *address, uint16_t port, http_method_t method,
		     const char *path, const char *request_body,
		     clock_ms_t timeout_ms, int *status, char **body)
{
	client_call_t call = { .base = event_base_new() };
	int error;

	*body = NULL;
	if (!call.base)
		return HTTP_ERROR_MEMORY;
	error = perform_call(&call, address, port, method, path, request_body,
			     timeout_ms);
	event_base_free(call.base);
	*status = call.status;
	*body = call.body;
	return error;
}
