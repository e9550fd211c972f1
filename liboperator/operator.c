#include "operator.h"

#include <stdlib.h>
#include <string.h>

#include "libhttp/http.h"

/* Largest body of a request. The settings of a service are at most 16 KB of
 * JSON text. */
#define BODY_MAX_BYTES 65536
#define HEADERS_MAX_BYTES 16384
#define ERROR_TEXT_SIZE 256
#define NAME_MAX_BYTES 63

struct operator_server {
	http_server_t *http;
	operator_handler_t handler;
};

struct operator_call {
	http_exchange_t *exchange;
};

/*
 * Answers a malformed request with an HTTP status and an error message, without
 * calling the handler of its path.
 */
static void refuse(operator_server_t *server, http_exchange_t *exchange,
		   int status, const char *text)
{
	server->handler.malformed(server->handler.context, text);
	http_exchange_reply_json(exchange, status,
				 json_pack("{s:s, s:s}", "error", "bad-request",
					   "message", text));
}

/*
 * Returns a call for the exchange. Without memory, refuses the request and
 * returns NULL.
 */
static operator_call_t *new_call(operator_server_t *server,
				 http_exchange_t *exchange)
{
	operator_call_t *call = calloc(1, sizeof(*call));

	if (call)
		call->exchange = exchange;
	else
		refuse(server, exchange, 503, "out of memory");
	return call;
}

static void serve_metrics(operator_server_t *server, http_exchange_t *exchange)
{
	char *text = server->handler.metrics(server->handler.context);

	http_exchange_reply(exchange, text ? 200 : 503,
			    "text/plain; version=0.0.4", text ? text : "");
	free(text);
}

static void serve_status(operator_server_t *server, http_exchange_t *exchange)
{
	http_exchange_reply_json(
		exchange, 200, server->handler.status(server->handler.context));
}

static void serve_drain(operator_server_t *server, http_exchange_t *exchange)
{
	server->handler.drain(server->handler.context);
	http_exchange_reply_json(exchange, 200,
				 json_pack("{s:b}", "draining", 1));
}

static void serve_get(operator_server_t *server, http_exchange_t *exchange)
{
	const char *service = http_exchange_query(exchange, "service");
	operator_call_t *call = new_call(server, exchange);

	if (call)
		server->handler.get(server->handler.context, call,
				    service ? service : "");
}

static void serve_history(operator_server_t *server, http_exchange_t *exchange)
{
	const char *service = http_exchange_query(exchange, "service");
	operator_call_t *call;

	if (!service || *service == '\0') {
		refuse(server, exchange, 400, "service: required");
		return;
	}
	call = new_call(server, exchange);
	if (call)
		server->handler.history(server->handler.context, call, service);
}

/*
 * Reads a change from a JSON body. Returns NULL, or an error message for the
 * first fault. *value receives the JSON text of the service, or "" to remove
 * the service; the caller frees it. The other texts of the change belong to
 * body.
 */
static const char *read_change(json_t *body, operator_change_t *change,
			       char **value)
{
	json_t *service = json_object_get(body, "service");
	json_t *base = json_object_get(body, "base_revision");
	json_t *object = json_object_get(body, "value");
	json_t *name = json_object_get(body, "operator");

	if (!json_is_object(body))
		return "body: a JSON object expected";
	if (json_object_size(body) != (size_t)(service != NULL) +
					      (base != NULL) +
					      (object != NULL) + (name != NULL))
		return "body: only service, base_revision, value and operator "
		       "allowed";
	if (!json_is_string(service) || json_string_length(service) == 0 ||
	    json_string_length(service) > NAME_MAX_BYTES)
		return "service: text of 1 to 63 bytes expected";
	if (!json_is_integer(base) || json_integer_value(base) < 0)
		return "base_revision: whole number from 0 expected";
	if (!json_is_object(object) && !json_is_null(object))
		return "value: an object, or null to remove the service";
	if (name && (!json_is_string(name) ||
		     json_string_length(name) > NAME_MAX_BYTES))
		return "operator: text of at most 63 bytes expected";
	*value = json_is_null(object) ? strdup("")
				      : json_dumps(object, JSON_COMPACT);
	if (!*value)
		return "out of memory";
	change->service = json_string_value(service);
	change->base_revision = (uint64_t)json_integer_value(base);
	change->value = *value;
	change->operator_name = name ? json_string_value(name) : "unnamed";
	return NULL;
}

static void serve_change(operator_server_t *server, http_exchange_t *exchange)
{
	operator_change_t change;
	operator_call_t *call;
	const char *error;
	char *value = NULL;
	char text[ERROR_TEXT_SIZE];
	json_t *body = http_exchange_json(exchange, text, sizeof(text));

	error = body ? read_change(body, &change, &value) : text;
	if (error) {
		refuse(server, exchange, 400, error);
	} else {
		call = new_call(server, exchange);
		if (call)
			server->handler.change(server->handler.context, call,
					       &change);
	}
	free(value);
	json_decref(body);
}

typedef struct {
	const char *path;
	http_method_t method;
	void (*serve)(operator_server_t *server, http_exchange_t *exchange);
} route_t;

static const route_t routes[] = {
	{ "/metrics", HTTP_METHOD_GET, serve_metrics },
	{ "/v1/status", HTTP_METHOD_GET, serve_status },
	{ "/v1/drain", HTTP_METHOD_POST, serve_drain },
	{ "/v1/config", HTTP_METHOD_GET, serve_get },
	{ "/v1/config", HTTP_METHOD_PUT, serve_change },
	{ "/v1/config/history", HTTP_METHOD_GET, serve_history },
};

static void on_exchange(void *context, http_exchange_t *exchange)
{
	operator_server_t *server = context;
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, http_exchange_path(exchange)) != 0 ||
		    routes[i].method != http_exchange_method(exchange))
			continue;
		routes[i].serve(server, exchange);
		return;
	}
	refuse(server, exchange, 404, "path: unknown");
}

/*
 * Creates the HTTP server for operators. The handler is called from the event
 * loop of base. Returns NULL if it can't listen on the address, or without
 * memory.
 */
operator_server_t *operator_server_new(struct event_base *base,
				       const operator_options_t *options,
				       const operator_handler_t *handler)
{
	http_options_t http_options = {
		.address = options->address,
		.port = options->port,
		.body_max_bytes = BODY_MAX_BYTES,
		.headers_max_bytes = HEADERS_MAX_BYTES,
		.idle_ms = options->idle_ms,
	};
	operator_server_t *server = calloc(1, sizeof(*server));

	if (!server)
		return NULL;
	server->handler = *handler;
	server->http =
		http_server_new(base, &http_options, on_exchange, server);
	if (!server->http) {
		free(server);
		return NULL;
	}
	return server;
}

/*
 * Closes all connections and frees the server. Calls that are not answered yet
 * must not be used afterwards. Does nothing with NULL.
 */
void operator_server_free(operator_server_t *server)
{
	if (!server)
		return;
	http_server_free(server->http);
	free(server);
}

/*
 * Sends body with an HTTP status as the answer. Takes over the reference to
 * body and frees the call.
 */
void operator_call_answer(operator_call_t *call, int status, json_t *body)
{
	http_exchange_reply_json(call->exchange, status, body);
	free(call);
}
