#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>

#include "internal.h"

/*
 * Converts a duration in ms to a timeval; a negative duration counts as 0.
 */
struct timeval platform_timeval(clock_ms_t duration_ms)
{
	if (duration_ms < 0)
		duration_ms = 0;
	return (struct timeval){ .tv_sec = duration_ms / 1000,
				 .tv_usec = duration_ms % 1000 * 1000 };
}

/*
 * Records that bytes were added to the output of a connection. evhttp adds the
 * request only after the connection is established, so until then the peer
 * cannot have received any of it.
 */
static void on_output_added(struct evbuffer *buffer,
			    const struct evbuffer_cb_info *info, void *context)
{
	bool *sent = context;

	(void)buffer;
	if (info->n_added > 0)
		*sent = true;
}

/*
 * Creates a connection object for one request. *sent becomes true when bytes
 * may have been sent, and must outlive the connection. The caller enforces the
 * timeout itself, because evhttp's timeout restarts with each byte;
 * evhttp's is set to twice the timeout so that it never fires first. Returns
 * NULL if there is no memory.
 */
struct evhttp_connection *platform_http_connect(struct event_base *base,
						const platform_http_t *http,
						bool *sent)
{
	struct evhttp_connection *connection = evhttp_connection_base_new(
		base, NULL, http->address, http->port);
	struct timeval timeout = platform_timeval(2 * http->timeout_ms);
	struct bufferevent *bufferevent;

	if (!connection)
		return NULL;
	evhttp_connection_set_timeout_tv(connection, &timeout);
	evhttp_connection_set_max_headers_size(connection,
					       PLATFORM_HEADERS_MAX_BYTES);
	evhttp_connection_set_max_body_size(connection,
					    (ev_ssize_t)http->body_max_bytes);
	bufferevent = evhttp_connection_get_bufferevent(connection);
	if (!evbuffer_add_cb(bufferevent_get_output(bufferevent),
			     on_output_added, sent)) {
		evhttp_connection_free(connection);
		return NULL;
	}
	return connection;
}

/*
 * Adds the headers and the body to a request. Returns 0 or -1.
 */
static int fill_request(struct evhttp_request *request,
			const platform_http_t *http)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	bool ipv6 = strchr(http->address, ':') != NULL;
	char host[80];

	snprintf(host, sizeof(host), ipv6 ? "[%s]:%u" : "%s:%u", http->address,
		 (unsigned int)http->port);
	if (evhttp_add_header(headers, "Host", host) != 0 ||
	    evhttp_add_header(headers, "Connection", "close") != 0)
		return -1;
	if (!http->body)
		return 0;
	if (evhttp_add_header(headers, "Content-Type", "application/json") != 0)
		return -1;
	return evbuffer_add(evhttp_request_get_output_buffer(request),
			    http->body, strlen(http->body));
}

/*
 * Sends a request. The caller no longer owns the request, even after an error.
 * Returns PLATFORM_OK, PLATFORM_ERROR_UNAVAILABLE if connecting cannot be
 * started, or PLATFORM_ERROR_MEMORY.
 */
int platform_http_send(struct evhttp_connection *connection,
		       const platform_http_t *http,
		       struct evhttp_request *request)
{
	if (fill_request(request, http) != 0) {
		evhttp_request_free(request);
		return PLATFORM_ERROR_MEMORY;
	}
	if (evhttp_make_request(connection, request,
				http->body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				http->path) != 0)
		return PLATFORM_ERROR_UNAVAILABLE;
	return PLATFORM_OK;
}
