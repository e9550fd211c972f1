#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

/* Delay until connections are accepted again after accept() has failed for lack
 * of file descriptors. */
#define ACCEPT_RETRY_MS 100
/* Smaller bodies are not compressed, because they fit into one packet anyway.
 */
#define COMPRESS_MIN_BYTES 1400

/* Bytes of a connection that may wait to be read beyond headers and a body: a
 * further request is read in part while the first one is answered. */
#define INPUT_SLACK_BYTES 65536

/* A connection of a client. */
typedef struct connection {
	TAILQ_ENTRY(connection) entry;
	http_server_t *server;
	struct bufferevent *events;
	/* Asks for close_tracked(); referenced until adopt_connections(). */
	bool adopted;
	/* It is being ended, because there are too many. */
	bool ended;
} connection_t;

struct http_server {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp_bound_socket *socket;
	/* Enables the listener again after a failed accept(). */
	struct event *resume;
	http_handler_t handler;
	void *context;
	/* Exchanges without a reply. */
	uint32_t pending;
	/* Most bytes of a connection that wait to be read. */
	size_t input_max_bytes;
	/* The connection that has sent nothing for longest is the first. */
	TAILQ_HEAD(connection_list, connection) connections;
	uint32_t connection_count;
	uint32_t connections_max;
	/* Runs adopt_connections() once evhttp has set up a connection. */
	struct event *adopt;
	/* The listener is closed, see http_server_stop_accepting(). */
	bool stopped;
};

struct http_exchange {
	http_server_t *server;
	struct evhttp_request *request;
	char path[256];
	struct evkeyvalq query;
};

static void on_resume(evutil_socket_t fd, short what, void *context)
{
	http_server_t *server = context;

	(void)fd;
	(void)what;
	if (!server->stopped)
		evconnlistener_enable(
			evhttp_bound_socket_get_listener(server->socket));
}

/*
 * Stops accepting connections for ACCEPT_RETRY_MS. Without this delay, a
 * listener without a free file descriptor would wake the event loop again and
 * again without progress.
 */
static void on_accept_error(struct evconnlistener *listener, void *context)
{
	http_server_t *server = context;
	struct timeval pause = { .tv_usec = ACCEPT_RETRY_MS * 1000L };

	evconnlistener_disable(listener);
	evtimer_add(server->resume, &pause);
}

static void on_request(struct evhttp_request *request, void *context)
{
	http_server_t *server = context;
	http_exchange_t *exchange;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;

	if (!http_headers_are_unambiguous(
		    evhttp_request_get_input_headers(request))) {
		/* The bytes that follow may belong to this request. */
		evhttp_add_header(evhttp_request_get_output_headers(request),
				  "Connection", "close");
		evhttp_send_error(request, 400, "ambiguous length");
		return;
	}
	exchange = calloc(1, sizeof(*exchange));
	if (!exchange) {
		evhttp_send_error(request, 503, "out of memory");
		return;
	}
	exchange->server = server;
	exchange->request = request;
	snprintf(exchange->path, sizeof(exchange->path), "%s",
		 path ? path : "");
	TAILQ_INIT(&exchange->query);
	if (query)
		evhttp_parse_query_str(query, &exchange->query);
	server->pending++;
	server->handler(server->context, exchange);
}

static int start_listener(http_server_t *server, const http_options_t *options)
{
	struct evconnlistener *listener;
	struct sockaddr_storage address;
	int length = sizeof(address);
	char text[128];

	snprintf(text, sizeof(text),
		 strchr(options->address, ':') ? "[%s]:%u" : "%s:%u",
		 options->address, options->port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
				       &length) != 0)
		return HTTP_ERROR_LISTEN;
	listener = evconnlistener_new_bind(
		server->base, NULL, NULL,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&address, length);
	if (!listener)
		return HTTP_ERROR_LISTEN;
	server->socket = evhttp_bind_listener(server->http, listener);
	if (!server->socket) {
		evconnlistener_free(listener);
		return HTTP_ERROR_LISTEN;
	}
	evconnlistener_set_error_cb(listener, on_accept_error);
	return HTTP_ERROR_NONE;
}

/*
 * Called when a connection has received bytes. At the limit of what may wait to
 * be read, the connection is ended: a request of allowed size has been taken
 * out of the input before. evhttp bounds headers and bodies, but not the line
 * with the size of a chunk.
 */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *context)
{
	connection_t *connection = context;
	struct bufferevent *events = connection->events;
	size_t limit = 0;

	if (info->n_added > 0) {
		struct connection_list *list = &connection->server->connections;

		TAILQ_REMOVE(list, connection, entry);
		TAILQ_INSERT_TAIL(list, connection, entry);
	}
	bufferevent_getwatermark(events, EV_READ, NULL, &limit);
	if (limit == 0 || evbuffer_get_length(input) < limit)
		return;
	shutdown(bufferevent_getfd(events), SHUT_RDWR);
	/* The end of the connection is read only without the limit. */
	bufferevent_setwatermark(events, EV_READ, 0, 0);
}

static void free_connection(connection_t *connection)
{
	http_server_t *server = connection->server;

	evbuffer_remove_cb(bufferevent_get_input(connection->events), on_input,
			   connection);
	TAILQ_REMOVE(&server->connections, connection, entry);
	server->connection_count--;
	if (!connection->adopted)
		bufferevent_decref(connection->events);
	free(connection);
}

static void on_connection_closed(struct evhttp_connection *handle,
				 void *context)
{
	evhttp_connection_set_closecb(handle, NULL, NULL);
	free_connection(context);
}

/*
 * Ends the connections that have sent nothing for longest, as long as there are
 * too many.
 */
static void end_surplus(http_server_t *server)
{
	connection_t *connection;
	uint32_t open = 0;

	TAILQ_FOREACH(connection, &server->connections, entry) {
		if (!connection->ended)
			open++;
	}
	TAILQ_FOREACH(connection, &server->connections, entry) {
		if (open <= server->connections_max)
			return;
		if (connection->ended || !connection->adopted)
			continue;
		connection->ended = true;
		shutdown(bufferevent_getfd(connection->events), SHUT_RDWR);
		open--;
	}
}

/*
 * Asks evhttp to report the end of new connections. evhttp creates its own
 * object for a connection after the bufferevent, to whose callbacks it then is
 * the context. A connection that has ended before has no callbacks.
 */
static void adopt_connections(evutil_socket_t fd, short what, void *context)
{
	http_server_t *server = context;
	connection_t *connection;
	connection_t *next;
	void *handle;

	(void)fd;
	(void)what;
	for (connection = TAILQ_FIRST(&server->connections); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		if (connection->adopted)
			continue;
		bufferevent_getcb(connection->events, NULL, NULL, NULL,
				  &handle);
		if (!handle) {
			free_connection(connection);
			continue;
		}
		bufferevent_decref(connection->events);
		connection->adopted = true;
		evhttp_connection_set_closecb(handle, on_connection_closed,
					      connection);
	}
	if (server->connections_max != 0 &&
	    server->connection_count > server->connections_max)
		end_surplus(server);
}

/*
 * Creates the bufferevent of an accepted connection, for evhttp. Returns NULL
 * without memory.
 */
static struct bufferevent *new_connection(struct event_base *base,
					  void *context)
{
	http_server_t *server = context;
	connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->events =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (!connection->events) {
		free(connection);
		return NULL;
	}
	connection->server = server;
	TAILQ_INSERT_TAIL(&server->connections, connection, entry);
	server->connection_count++;
	bufferevent_incref(connection->events);
	event_active(server->adopt, EV_TIMEOUT, 0);
	bufferevent_setwatermark(connection->events, EV_READ, 0,
				 server->input_max_bytes);
	evbuffer_add_cb(bufferevent_get_input(connection->events), on_input,
			connection);
	return connection->events;
}

/*
 * Creates a server and listens on the address and port of the options. Returns
 * NULL if it cannot listen there, or without memory.
 */
http_server_t *http_server_new(struct event_base *base,
			       const http_options_t *options,
			       http_handler_t handler, void *context)
{
	http_server_t *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->base = base;
	server->handler = handler;
	server->context = context;
	server->http = evhttp_new(base);
	server->resume = evtimer_new(base, on_resume, server);
	server->adopt = evtimer_new(base, adopt_connections, server);
	TAILQ_INIT(&server->connections);
	if (!server->http || !server->resume || !server->adopt ||
	    start_listener(server, options) != HTTP_ERROR_NONE) {
		http_server_free(server);
		return NULL;
	}
	server->input_max_bytes = options->headers_max_bytes +
				  options->body_max_bytes + INPUT_SLACK_BYTES;
	evhttp_set_bevcb(server->http, new_connection, server);
	evhttp_set_max_body_size(server->http, options->body_max_bytes);
	evhttp_set_max_headers_size(server->http, options->headers_max_bytes);
	evhttp_set_timeout(server->http, (int)(options->idle_ms / 1000));
	evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET |
							 EVHTTP_REQ_POST |
							 EVHTTP_REQ_PUT);
	evhttp_set_gencb(server->http, on_request, server);
	return server;
}

/*
 * Closes the listener and all connections and frees the server. Exchanges
 * without a reply must not be used afterwards.
 */
void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	if (server->http) {
		adopt_connections(-1, 0, server);
		evhttp_free(server->http);
	}
	if (server->adopt)
		event_free(server->adopt);
	if (server->resume)
		event_free(server->resume);
	free(server);
}

/*
 * Closes the listener, so that new connections are refused instead of waiting
 * for an answer that never comes. From now on replies carry "Connection: close"
 * so that callers on open connections move to another proxy.
 */
void http_server_stop_accepting(http_server_t *server)
{
	if (server->stopped)
		return;
	server->stopped = true;
	evhttp_del_accept_socket(server->http, server->socket);
}

/*
 * Returns the number of exchanges that have not been replied to.
 */
uint32_t http_server_pending(const http_server_t *server)
{
	return server->pending;
}

/*
 * Sets the most connections of clients, 0 for no limit. It holds for the
 * connections that are open as soon as the next one comes.
 */
void http_server_limit(http_server_t *server, uint32_t connections_max)
{
	server->connections_max = connections_max;
}

/*
 * Returns the number of open connections of clients.
 */
uint32_t http_server_connections(const http_server_t *server)
{
	return server->connection_count;
}

/*
 * Returns the method of the request.
 */
http_method_t http_exchange_method(const http_exchange_t *exchange)
{
	switch (evhttp_request_get_command(exchange->request)) {
	case EVHTTP_REQ_GET:
		return HTTP_METHOD_GET;
	case EVHTTP_REQ_POST:
		return HTTP_METHOD_POST;
	case EVHTTP_REQ_PUT:
		return HTTP_METHOD_PUT;
	default:
		return HTTP_METHOD_OTHER;
	}
}

/*
 * Returns the path of the request, truncated to 255 bytes.
 */
const char *http_exchange_path(const http_exchange_t *exchange)
{
	return exchange->path;
}

/*
 * Returns the value of a parameter of the query string, or NULL.
 */
const char *http_exchange_query(const http_exchange_t *exchange,
				const char *name)
{
	return evhttp_find_header(&exchange->query, name);
}

/*
 * Returns a header of the request, or NULL.
 */
const char *http_exchange_header(const http_exchange_t *exchange,
				 const char *name)
{
	return evhttp_find_header(
		evhttp_request_get_input_headers(exchange->request), name);
}

/*
 * Returns the path and the query as the client sent them.
 */
const char *http_exchange_uri(const http_exchange_t *exchange)
{
	return evhttp_request_get_uri(exchange->request);
}

/*
 * Returns a copy of the body with a NUL at its end, which the caller frees.
 * Returns NULL without memory.
 */
char *http_exchange_text(const http_exchange_t *exchange)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->request);
	size_t length = evbuffer_get_length(input);
	char *text = malloc(length + 1);

	if (!text)
		return NULL;
	evbuffer_copyout(input, text, length);
	text[length] = '\0';
	return text;
}

/*
 * Returns the body as a JSON value, which the caller releases, or NULL with a
 * message in text. Duplicate keys are an error, because JSON does not define
 * which of them counts.
 */
json_t *http_exchange_json(const http_exchange_t *exchange, char *text,
			   size_t text_size)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->request);
	size_t length = evbuffer_get_length(input);
	json_error_t error;
	json_t *value;

	if (length == 0) {
		snprintf(text, text_size,
			 "body: empty, a JSON object expected");
		return NULL;
	}
	value = json_loadb((const char *)evbuffer_pullup(input, -1), length,
			   JSON_REJECT_DUPLICATES, &error);
	if (!value)
		snprintf(text, text_size, "body: %s at byte %d", error.text,
			 error.position);
	return value;
}

/*
 * Adds a header to the reply.
 */
void http_exchange_add_header(http_exchange_t *exchange, const char *name,
			      const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(exchange->request),
			  name, value);
}

static void send_reply(http_exchange_t *exchange, int status,
		       const char *content_type, const char *body, size_t size)
{
	struct evbuffer *output = evbuffer_new();

	http_exchange_add_header(exchange, "Content-Type", content_type);
	if (exchange->server->stopped)
		http_exchange_add_header(exchange, "Connection", "close");
	if (output)
		evbuffer_add(output, body, size);
	evhttp_send_reply(exchange->request, status, NULL, output);
	if (output)
		evbuffer_free(output);
	exchange->server->pending--;
	evhttp_clear_headers(&exchange->query);
	free(exchange);
}

/*
 * Sends the reply and frees the exchange. The reply is dropped if the client
 * has closed its connection.
 */
void http_exchange_reply(http_exchange_t *exchange, int status,
			 const char *content_type, const char *body)
{
	send_reply(exchange, status, content_type, body, strlen(body));
}

/*
 * Sends the reply and frees the exchange, as http_exchange_reply(). The body is
 * compressed if it has at least COMPRESS_MIN_BYTES and the client accepts gzip.
 * Its compressed form is kept in *body for further replies.
 */
void http_exchange_reply_body(http_exchange_t *exchange, int status,
			      const char *content_type, http_body_t *body)
{
	const char *accepted =
		http_exchange_header(exchange, HTTP_HEADER_ACCEPT_ENCODING);

	if (body->size < COMPRESS_MIN_BYTES || !accepted ||
	    strstr(accepted, HTTP_ENCODING_GZIP) == NULL ||
	    !http_body_compress(body)) {
		send_reply(exchange, status, content_type, body->text,
			   body->size);
		return;
	}
	http_exchange_add_header(exchange, HTTP_HEADER_CONTENT_ENCODING,
				 HTTP_ENCODING_GZIP);
	send_reply(exchange, status, content_type, body->compressed,
		   body->compressed_size);
}

/*
 * Sends value as the reply, followed by a line feed, and frees the exchange.
 * Takes over the reference to value.
 */
void http_exchange_reply_json(http_exchange_t *exchange, int status,
			      json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *line = NULL;

	json_decref(value);
	if (text && asprintf(&line, "%s\n", text) >= 0)
		http_exchange_reply(exchange, status, "application/json", line);
	else
		http_exchange_reply(exchange, 503, "text/plain",
				    "out of memory\n");
	free(line);
	free(text);
}

/*
 * Returns a short English message for an HTTP_ERROR_ value.
 */
const char *http_error_text(int error)
{
	switch (error) {
	case HTTP_ERROR_NONE:
		return "no error";
	case HTTP_ERROR_MEMORY:
		return "out of memory";
	case HTTP_ERROR_LISTEN:
		return "cannot listen";
	case HTTP_ERROR_CONNECT:
		return "cannot connect";
	case HTTP_ERROR_TIMEOUT:
		return "timeout";
	case HTTP_ERROR_MALFORMED:
		return "malformed answer";
	default:
		return "unknown error";
	}
}
