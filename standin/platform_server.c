#include "platform_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform_kv.h"

#define BODY_MAX_BYTES (2 * 1024 * 1024)

/* A request without a complete answer, which is kept until its connection
 * ends. */
struct unanswered {
	TAILQ_ENTRY(unanswered) entry;
	server_t *server;
	struct evhttp_request *request;
	void (*closed)(void *context);
	void *context;
	/* The server ends the connection, so that evhttp frees the request. */
	bool cut;
};

/* A function that is called after a delay. */
struct delayed {
	TAILQ_ENTRY(delayed) entry;
	server_t *server;
	struct event *timer;
	void (*run)(server_t *server, void *context);
	/* Frees the context if the server is closed before. */
	void (*drop)(void *context);
	void *context;
};

/*
 * Returns a listening socket, or -1. address is "ip:port".
 */
evutil_socket_t server_listen(const char *address)
{
	struct sockaddr_storage storage = { 0 };
	struct sockaddr *name = (struct sockaddr *)&storage;
	int length = sizeof(storage);
	evutil_socket_t fd;

	if (evutil_parse_sockaddr_port(address, name, &length) != 0)
		return -1;
	fd = socket(name->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (evutil_make_listen_socket_reuseable(fd) != 0 ||
	    evutil_make_socket_nonblocking(fd) != 0 ||
	    bind(fd, name, (socklen_t)length) != 0 || listen(fd, 128) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Returns the JSON object in the body of a request, or NULL.
 */
json_t *server_body(struct evhttp_request *request)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(body);
	const char *text = (const char *)evbuffer_pullup(body, -1);

	return text ? json_loadb(text, size, 0, NULL) : NULL;
}

/*
 * Sends a JSON text with an HTTP status. Takes over the reference to json.
 */
static void send_json(struct evhttp_request *request, int status, json_t *json)
{
	struct evbuffer *body = require_memory(evbuffer_new());
	char *text = require_memory(json_dumps(json, JSON_COMPACT));

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evbuffer_add_printf(body, "%s\n", text);
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
	free(text);
	json_decref(json);
}

/*
 * Sends an answer with status 200. Takes over the reference to answer.
 */
void server_reply(struct evhttp_request *request, json_t *answer)
{
	send_json(request, HTTP_OK, answer);
}

/*
 * Refuses a request as an invalid argument (gRPC code 3).
 */
void server_refuse(struct evhttp_request *request, const char *reason)
{
	send_json(request, HTTP_BADREQUEST,
		  require_memory(json_pack("{s:s,s:s,s:i}", "error", reason,
					   "message", reason, "code", 3)));
}

/*
 * Called by evhttp when the connection of an unanswered request ends. If the
 * client ended the connection, evhttp does not free the request.
 */
static void close_unanswered(struct evhttp_connection *connection,
			     void *context)
{
	unanswered_t *unanswered = context;

	(void)connection;
	TAILQ_REMOVE(&unanswered->server->unanswered, unanswered, entry);
	if (unanswered->closed)
		unanswered->closed(unanswered->context);
	if (!unanswered->cut)
		evhttp_request_free(unanswered->request);
	free(unanswered);
}

/*
 * Keeps a request without an answer until its connection ends, and then calls
 * closed, which may be NULL.
 */
void server_leave_unanswered(server_t *server, struct evhttp_request *request,
			     void (*closed)(void *context), void *context)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	unanswered_t *unanswered;

	if (!connection) {
		/* The client disconnected while the request was delayed. */
		evhttp_request_free(request);
		if (closed)
			closed(context);
		return;
	}
	unanswered = require_memory(calloc(1, sizeof(*unanswered)));
	unanswered->server = server;
	unanswered->request = request;
	unanswered->closed = closed;
	unanswered->context = context;
	TAILQ_INSERT_TAIL(&server->unanswered, unanswered, entry);
	evhttp_connection_set_closecb(connection, close_unanswered, unanswered);
	/* evhttp doesn't read while a request is handled, and would not notice
	 * the end of the connection. */
	bufferevent_enable(evhttp_connection_get_bufferevent(connection),
			   EV_READ);
}

/*
 * Ends the connections of all unanswered requests.
 */
static void end_unanswered(server_t *server)
{
	unanswered_t *unanswered;

	while ((unanswered = TAILQ_FIRST(&server->unanswered)) != NULL) {
		unanswered->cut = true;
		evhttp_connection_free(
			evhttp_request_get_connection(unanswered->request));
	}
}

static void free_delayed(delayed_call_t *delayed)
{
	TAILQ_REMOVE(&delayed->server->delayed, delayed, entry);
	event_free(delayed->timer);
	free(delayed);
}

static void run_delayed(evutil_socket_t fd, short what, void *context)
{
	delayed_call_t *delayed = context;
	delayed_call_t copy = *delayed;

	(void)fd;
	(void)what;
	free_delayed(delayed);
	copy.run(copy.server, copy.context);
}

/*
 * Calls run from the event loop after delay_ms, or drop if the server is closed
 * before.
 */
void server_delay(server_t *server, uint64_t delay_ms,
		  void (*run)(server_t *server, void *context),
		  void (*drop)(void *context), void *context)
{
	struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};
	delayed_call_t *delayed = require_memory(calloc(1, sizeof(*delayed)));

	delayed->server = server;
	delayed->run = run;
	delayed->drop = drop;
	delayed->context = context;
	delayed->timer =
		require_memory(evtimer_new(server->base, run_delayed, delayed));
	TAILQ_INSERT_TAIL(&server->delayed, delayed, entry);
	evtimer_add(delayed->timer, &delay);
}

static void cut_later(server_t *server, void *context)
{
	(void)context;
	end_unanswered(server);
}

static void drop_nothing(void *context)
{
	(void)context;
}

static void handle_range(server_t *server, struct evhttp_request *request)
{
	json_t *body = server_body(request);
	const char *reason;
	json_t *answer = kv_range(&server->store, body, &reason);

	server->reads++;
	if (answer)
		server_reply(request, answer);
	else
		server_refuse(request, reason);
	json_decref(body);
}

static void run_txn(server_t *server, struct evhttp_request *request,
		    const json_t *body)
{
	const char *reason;
	json_t *answer = kv_txn(&server->store, body, &reason);

	if (answer && server->faults.drop_answers > 0) {
		server->faults.drop_answers--;
		json_decref(answer);
		server_leave_unanswered(server, request, NULL, NULL);
	} else if (answer) {
		server_reply(request, answer);
	} else {
		server_refuse(request, reason);
	}
	watch_flush(server);
}

static void handle_txn(server_t *server, struct evhttp_request *request)
{
	json_t *body = server_body(request);

	if (kv_txn_writes(body))
		server->writes++;
	else
		server->reads++;
	if (server->faults.drop_requests > 0) {
		server->faults.drop_requests--;
		server_leave_unanswered(server, request, NULL, NULL);
	} else {
		run_txn(server, request, body);
	}
	json_decref(body);
}

static void handle_instances(server_t *server, struct evhttp_request *request)
{
	server->reads++;
	server_reply(request, require_memory(json_pack("{s:O}", "instances",
						       server->instances)));
}

/*
 * Handles a request of the platform's port.
 */
static void handle(server_t *server, struct evhttp_request *request)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;

	path = path ? path : "";
	if (server->faults.down) {
		/* evhttp still uses the connection after this callback, so it
		 * is closed from the event loop. */
		server_leave_unanswered(server, request, NULL, NULL);
		server_delay(server, 0, cut_later, drop_nothing, NULL);
	} else if (post && strcmp(path, "/v3/kv/range") == 0) {
		handle_range(server, request);
	} else if (post && strcmp(path, "/v3/kv/txn") == 0) {
		handle_txn(server, request);
	} else if (post && strcmp(path, "/v3/watch") == 0) {
		watch_start(server, request);
	} else if (!post && strcmp(path, "/v1/instances") == 0) {
		handle_instances(server, request);
	} else {
		evhttp_send_error(request, HTTP_NOTFOUND, NULL);
	}
}

static void handle_later(server_t *server, void *context)
{
	handle(server, context);
}

/*
 * Frees a delayed request whose connection has ended. Otherwise the connection
 * frees the request.
 */
static void drop_request(void *context)
{
	struct evhttp_request *request = context;

	if (!evhttp_request_get_connection(request))
		evhttp_request_free(request);
}

static void on_request(struct evhttp_request *request, void *context)
{
	server_t *server = context;

	if (server->faults.slow_ms == 0)
		handle(server, request);
	else
		server_delay(server, server->faults.slow_ms, handle_later,
			     drop_request, request);
}

static void refuse_connection(struct evconnlistener *listener,
			      evutil_socket_t fd, struct sockaddr *address,
			      int length, void *context)
{
	(void)listener;
	(void)address;
	(void)length;
	(void)context;
	close(fd);
}

/*
 * Switches between serving new connections and closing them at once. When the
 * server goes down, the connections of unanswered requests and of watches end.
 */
void server_set_down(server_t *server, bool down)
{
	server->faults.down = down;
	if (down && !server->refusing) {
		evhttp_del_accept_socket(server->http, server->accepting);
		server->accepting = NULL;
		server->refusing = require_memory(evconnlistener_new(
			server->base, refuse_connection, NULL,
			LEV_OPT_CLOSE_ON_FREE, 0, dup(server->socket)));
		end_unanswered(server);
	} else if (!down && server->refusing) {
		evconnlistener_free(server->refusing);
		server->refusing = NULL;
		server->accepting =
			require_memory(evhttp_accept_socket_with_handle(
				server->http, dup(server->socket)));
	}
}

/*
 * Starts to serve on address, "ip:port". Returns false if the address cannot be
 * used.
 */
bool server_open(server_t *server, struct event_base *base, const char *address)
{
	struct timeval second = { 1, 0 };

	*server = (server_t){ .base = base };
	TAILQ_INIT(&server->watchers);
	TAILQ_INIT(&server->unanswered);
	TAILQ_INIT(&server->delayed);
	store_init(&server->store);
	server->instances = require_memory(json_array());
	server->http = require_memory(evhttp_new(base));
	evhttp_set_max_body_size(server->http, BODY_MAX_BYTES);
	evhttp_set_gencb(server->http, on_request, server);
	server->progress = require_memory(
		event_new(base, -1, EV_PERSIST, watch_progress, server));
	event_add(server->progress, &second);
	server->socket = server_listen(address);
	if (server->socket < 0)
		return false;
	server->accepting = evhttp_accept_socket_with_handle(
		server->http, dup(server->socket));
	return server->accepting != NULL;
}

/*
 * Ends all connections and frees everything in the server.
 */
void server_close(server_t *server)
{
	delayed_call_t *delayed;
	delayed_call_t *next;

	for (delayed = TAILQ_FIRST(&server->delayed); delayed; delayed = next) {
		next = TAILQ_NEXT(delayed, entry);
		delayed->drop(delayed->context);
		free_delayed(delayed);
	}
	end_unanswered(server);
	if (server->refusing)
		evconnlistener_free(server->refusing);
	evhttp_free(server->http);
	event_free(server->progress);
	store_free(&server->store);
	json_decref(server->instances);
	if (server->socket >= 0)
		close(server->socket);
}
