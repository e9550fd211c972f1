#include "caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libhttp/http.h"

#define HEADERS_MAX_BYTES 16384
#define ERROR_TEXT_SIZE 256
/* Bytes of an unknown field's name that an error message repeats. */
#define NAME_SHOWN_MAX_BYTES 64

/* Limits of the fields of a request. */
#define SERVICE_MAX_BYTES 63
#define MAX_AGE_MAX_MS 3600000
#define DEADLINE_MAX_MS 600000
#define SCHEMA_VERSION_MAX 1000000

struct caller_server {
	http_server_t *http;
	caller_handler_t handler;
};

struct caller_call {
	http_exchange_t *exchange;
	caller_operation_t operation;
};

/*
 * Returns the text of the field "outcome" of an answer. An outcome request is
 * settled only by CALLER_OUTCOME_DONE and CALLER_OUTCOME_CONFLICT: the key was
 * found or cancelled. Every other answer to it has "unknown", because the
 * caller would take "not-run" for the outcome of the write.
 */
static const char *reported_outcome(caller_operation_t operation,
				    caller_outcome_t outcome)
{
	if (operation == CALLER_OPERATION_OUTCOME &&
	    outcome != CALLER_OUTCOME_DONE &&
	    outcome != CALLER_OUTCOME_CONFLICT)
		return "unknown";
	return caller_outcome_text(outcome);
}

typedef enum {
	FIELD_TEXT,
	FIELD_KIND,
	FIELD_AGE,
	FIELD_DURATION,
	FIELD_VERSION,
} field_kind_t;

/* A field of the JSON body of a request. */
typedef struct {
	const char *name;
	field_kind_t kind;
	/* Offset in caller_request_t. */
	size_t offset;
	/* Longest text in bytes; 0 if only the size of the body limits it. */
	size_t length_max;
} field_t;

static const field_t fields[] = {
	{ "service", FIELD_TEXT, offsetof(caller_request_t, service),
	  SERVICE_MAX_BYTES },
	{ "kind", FIELD_KIND, offsetof(caller_request_t, operation), 0 },
	{ "statement", FIELD_TEXT, offsetof(caller_request_t, statement), 0 },
	{ "key", FIELD_TEXT, offsetof(caller_request_t, key),
	  CALLER_KEY_MAX_BYTES },
	{ "token", FIELD_TEXT, offsetof(caller_request_t, token), 0 },
	{ "transaction", FIELD_TEXT, offsetof(caller_request_t, transaction),
	  CALLER_TRANSACTION_MAX_BYTES },
	{ "max_age_ms", FIELD_AGE, offsetof(caller_request_t, max_age_ms), 0 },
	{ "deadline_ms", FIELD_DURATION,
	  offsetof(caller_request_t, deadline_ms), 0 },
	{ "schema_version", FIELD_VERSION,
	  offsetof(caller_request_t, schema_version), 0 },
};

typedef struct {
	const char *path;
	caller_operation_t operation;
	/* Names of the required and of all allowed fields, each between
	 * spaces. */
	const char *required;
	const char *allowed;
} endpoint_t;

/* The operation of "/v1/statement" is replaced by the field "kind". */
static const endpoint_t endpoints[] = {
	{ "/v1/statement", CALLER_OPERATION_READ, " service kind statement ",
	  " service kind statement key token max_age_ms deadline_ms "
	  "schema_version transaction " },
	{ "/v1/outcome", CALLER_OPERATION_OUTCOME, " service key ",
	  " service key token deadline_ms " },
	{ "/v1/transaction", CALLER_OPERATION_BEGIN, " service ",
	  " service key token schema_version deadline_ms " },
	{ "/v1/commit", CALLER_OPERATION_COMMIT, " transaction ",
	  " transaction token deadline_ms " },
	{ "/v1/rollback", CALLER_OPERATION_ROLLBACK, " transaction ",
	  " transaction token deadline_ms " },
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static bool list_contains(const char *list, const char *name)
{
	char word[64];

	snprintf(word, sizeof(word), " %s ", name);
	return strstr(list, word) != NULL;
}

/*
 * Stores the text of a field. Returns false and a message in text if the value
 * is no text, is too long, or has a zero byte, at which it would be cut off.
 */
static bool read_text(const field_t *field, const json_t *value, void *at,
		      char *text)
{
	if (!json_is_string(value)) {
		snprintf(text, ERROR_TEXT_SIZE, "%s: text expected",
			 field->name);
		return false;
	}
	if (field->length_max > 0 &&
	    json_string_length(value) > field->length_max) {
		snprintf(text, ERROR_TEXT_SIZE, "%s: at most %zu bytes allowed",
			 field->name, field->length_max);
		return false;
	}
	if (strlen(json_string_value(value)) != json_string_length(value)) {
		snprintf(text, ERROR_TEXT_SIZE, "%s: zero byte not allowed",
			 field->name);
		return false;
	}
	*(const char **)at = json_string_value(value);
	return true;
}

/*
 * Stores a whole number from min to max. Returns false and a message in text if
 * the value is another one.
 */
static bool read_number(const field_t *field, const json_t *value, int64_t min,
			int64_t max, int64_t *number, char *text)
{
	*number = json_integer_value(value);
	if (json_is_integer(value) && *number >= min && *number <= max)
		return true;
	snprintf(text, ERROR_TEXT_SIZE,
		 "%s: whole number from %lld to %lld expected", field->name,
		 (long long)min, (long long)max);
	return false;
}

static bool read_kind(const json_t *value, caller_operation_t *operation,
		      char *text)
{
	const char *kind =
		json_is_string(value) ? json_string_value(value) : "";

	if (strcmp(kind, "read") == 0) {
		*operation = CALLER_OPERATION_READ;
		return true;
	}
	if (strcmp(kind, "write") == 0) {
		*operation = CALLER_OPERATION_WRITE;
		return true;
	}
	snprintf(text, ERROR_TEXT_SIZE, "kind: \"read\" or \"write\" expected");
	return false;
}

/*
 * Stores the value of a field in the request. Returns false and a message in
 * text if the value is not allowed.
 */
static bool read_field(const field_t *field, const json_t *value,
		       caller_request_t *request, char *text)
{
	char *at = (char *)request + field->offset;
	int64_t number;

	switch (field->kind) {
	case FIELD_TEXT:
		return read_text(field, value, at, text);
	case FIELD_KIND:
		return read_kind(value, &request->operation, text);
	case FIELD_AGE:
		if (!read_number(field, value, 0, MAX_AGE_MAX_MS, &number,
				 text))
			return false;
		*(clock_ms_t *)at = number;
		return true;
	case FIELD_DURATION:
		if (!read_number(field, value, 1, DEADLINE_MAX_MS, &number,
				 text))
			return false;
		*(clock_ms_t *)at = number;
		return true;
	case FIELD_VERSION:
		if (!read_number(field, value, 1, SCHEMA_VERSION_MAX, &number,
				 text))
			return false;
		*(uint32_t *)at = (uint32_t)number;
		return true;
	}
	return false;
}

static const field_t *find_field(const char *name)
{
	size_t i;

	for (i = 0; i < COUNT(fields); i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

/*
 * Returns how many bytes of name an error message repeats. The name is not cut
 * inside a character, because the message is sent as JSON, which must be valid
 * UTF-8.
 */
static int shown_name_bytes(const char *name)
{
	size_t length = strlen(name);

	if (length <= NAME_SHOWN_MAX_BYTES)
		return (int)length;
	length = NAME_SHOWN_MAX_BYTES;
	while (length > 0 && (name[length] & 0xc0) == 0x80)
		length--;
	return (int)length;
}

/*
 * Fills a request from a JSON body. Returns false on the first fault, and text
 * then names the field and what is allowed. A text that must not be empty (a
 * required one with a limit) counts as missing if it is empty.
 */
static bool read_request(const endpoint_t *endpoint, json_t *body,
			 caller_request_t *request, char *text)
{
	const field_t *field;
	const char *name;
	json_t *value;
	size_t i;

	if (!json_is_object(body)) {
		snprintf(text, ERROR_TEXT_SIZE, "body: a JSON object expected");
		return false;
	}
	json_object_foreach(body, name, value) {
		field = find_field(name);
		if (!field || !list_contains(endpoint->allowed, name)) {
			snprintf(text, ERROR_TEXT_SIZE, "%.*s: unknown field",
				 shown_name_bytes(name), name);
			return false;
		}
		if (!read_field(field, value, request, text))
			return false;
	}
	for (i = 0; i < COUNT(fields); i++) {
		value = json_object_get(body, fields[i].name);
		if (list_contains(endpoint->required, fields[i].name) &&
		    (!value || (fields[i].length_max > 0 &&
				json_string_length(value) == 0))) {
			snprintf(text, ERROR_TEXT_SIZE, "%s: required",
				 fields[i].name);
			return false;
		}
	}
	return true;
}

/*
 * Answers a malformed request with an HTTP status and an error message, without
 * calling the handler's request(). endpoint is NULL if the path is unknown.
 */
static void refuse(caller_server_t *server, http_exchange_t *exchange,
		   const endpoint_t *endpoint, int status, const char *text)
{
	const char *outcome = reported_outcome(endpoint ? endpoint->operation
							: CALLER_OPERATION_READ,
					       CALLER_OUTCOME_BAD_REQUEST);

	server->handler.malformed(server->handler.context, text);
	http_exchange_reply_json(exchange, status,
				 json_pack("{s:s, s:s, s:s}", "outcome",
					   outcome, "reason", "bad-request",
					   "message", text));
}

static const endpoint_t *find_endpoint(const char *path)
{
	size_t i;

	for (i = 0; i < COUNT(endpoints); i++) {
		if (strcmp(endpoints[i].path, path) == 0)
			return &endpoints[i];
	}
	return NULL;
}

/*
 * Passes the request with the given JSON body to the handler, or refuses it.
 * The handler answers the call at once or later.
 */
static void handle_request(caller_server_t *server, http_exchange_t *exchange,
			   const endpoint_t *endpoint, json_t *body)
{
	const char *traceparent = http_exchange_header(exchange, "traceparent");
	caller_request_t request = {
		.operation = endpoint->operation,
		.service = "",
		.statement = "",
		.key = "",
		.token = "",
		.transaction = "",
		.traceparent = traceparent ? traceparent : "",
		.max_age_ms = CALLER_AGE_NONE,
	};
	char text[ERROR_TEXT_SIZE];
	caller_call_t *call;

	if (!read_request(endpoint, body, &request, text)) {
		refuse(server, exchange, endpoint, 400, text);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (!call) {
		refuse(server, exchange, endpoint, 503, "out of memory");
		return;
	}
	call->exchange = exchange;
	call->operation = endpoint->operation;
	server->handler.request(server->handler.context, call, &request);
}

static void on_exchange(void *context, http_exchange_t *exchange)
{
	caller_server_t *server = context;
	const char *path = http_exchange_path(exchange);
	const endpoint_t *endpoint = find_endpoint(path);
	char text[ERROR_TEXT_SIZE];
	json_t *body;

	if (strcmp(path, "/v1/ready") == 0) {
		bool ready = server->handler.ready(server->handler.context);

		http_exchange_reply(exchange, ready ? 200 : 503, "text/plain",
				    ready ? "ready\n" : "draining\n");
		return;
	}
	if (!endpoint) {
		refuse(server, exchange, NULL, 404, "path: unknown");
		return;
	}
	if (http_exchange_method(exchange) != HTTP_METHOD_POST) {
		refuse(server, exchange, endpoint, 405,
		       "method: POST expected");
		return;
	}
	body = http_exchange_json(exchange, text, sizeof(text));
	if (!body) {
		refuse(server, exchange, endpoint, 400, text);
		return;
	}
	handle_request(server, exchange, endpoint, body);
	json_decref(body);
}

/*
 * Creates the HTTP server for callers. The handler is called from the event
 * loop of base. Returns NULL if it can't listen on the address, or without
 * memory.
 */
caller_server_t *caller_server_new(struct event_base *base,
				   const caller_options_t *options,
				   const caller_handler_t *handler)
{
	http_options_t http_options = {
		.address = options->address,
		.port = options->port,
		.body_max_bytes = options->request_max_bytes,
		.headers_max_bytes = HEADERS_MAX_BYTES,
		.idle_ms = options->idle_ms,
	};
	caller_server_t *server = calloc(1, sizeof(*server));

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
void caller_server_free(caller_server_t *server)
{
	if (!server)
		return;
	http_server_free(server->http);
	free(server);
}

/*
 * Stops listening. Each open connection is closed after the answer to its
 * request. Further calls of this function have no effect.
 */
void caller_server_stop_accepting(caller_server_t *server)
{
	http_server_stop_accepting(server->http);
}

/*
 * Returns the number of calls that are not answered yet.
 */
uint32_t caller_server_pending(const caller_server_t *server)
{
	return http_server_pending(server->http);
}

static int http_status(caller_outcome_t outcome)
{
	switch (outcome) {
	case CALLER_OUTCOME_DONE:
		return 200;
	case CALLER_OUTCOME_NOT_RUN:
		return 503;
	case CALLER_OUTCOME_CONFLICT:
		return 409;
	case CALLER_OUTCOME_REJECTED:
		return 422;
	case CALLER_OUTCOME_BAD_REQUEST:
		return 400;
	case CALLER_OUTCOME_UNKNOWN:
		return 504;
	}
	return 500;
}

static void add_text_field(json_t *object, const char *name, const char *text)
{
	if (text && *text != '\0')
		json_object_set_new(object, name, json_string(text));
}

/*
 * Sends the answer as JSON with the HTTP status of its outcome, and frees the
 * call. Empty fields are left out, and so are a text that is not valid UTF-8
 * and rows that are not valid JSON. The answer to a call whose connection was
 * closed is dropped.
 */
void caller_call_answer(caller_call_t *call, const caller_answer_t *answer)
{
	json_t *object = json_object();
	json_t *rows = NULL;

	add_text_field(object, "outcome",
		       reported_outcome(call->operation, answer->outcome));
	add_text_field(object, "reason", answer->reason);
	add_text_field(object, "message", answer->message);
	if (answer->rows_json && *answer->rows_json != '\0')
		rows = json_loads(answer->rows_json, JSON_DECODE_ANY, NULL);
	if (rows)
		json_object_set_new(object, "rows", rows);
	add_text_field(object, "transaction", answer->transaction);
	add_text_field(object, "target", answer->target);
	if (answer->outcome == CALLER_OUTCOME_DONE && answer->target)
		add_text_field(object, "served_by",
			       answer->primary ? "primary" : "replica");
	if (answer->point.term > 0) {
		json_object_set_new(object, "term",
				    json_integer(answer->point.term));
		json_object_set_new(
			object, "position",
			json_integer((json_int_t)answer->point.position_bytes));
	}
	if (answer->age_ms != CALLER_AGE_NONE)
		json_object_set_new(object, "age_ms",
				    json_integer(answer->age_ms));
	add_text_field(object, "token", answer->token);
	if (answer->traceparent)
		http_exchange_add_header(call->exchange, "traceparent",
					 answer->traceparent);
	http_exchange_reply_json(call->exchange, http_status(answer->outcome),
				 object);
	free(call);
}

/*
 * Returns the outcome that callers see: "done", "not-run" or "unknown". A
 * conflict, a rejected statement and a malformed request are "not-run".
 */
const char *caller_outcome_text(caller_outcome_t outcome)
{
	switch (outcome) {
	case CALLER_OUTCOME_DONE:
		return "done";
	case CALLER_OUTCOME_UNKNOWN:
		return "unknown";
	case CALLER_OUTCOME_NOT_RUN:
	case CALLER_OUTCOME_CONFLICT:
	case CALLER_OUTCOME_REJECTED:
	case CALLER_OUTCOME_BAD_REQUEST:
		break;
	}
	return "not-run";
}
