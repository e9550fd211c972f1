#include "check.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <netinet/in.h>
#include <openssl/evp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libplatform/platform.h"

/* Calls in progress at the same time. */
#define BATCH 25
/* Above the 3 s after which the library ends a silent watch. */
#define WAIT_MS 6000
#define TIMEOUT_MS 200
/* Short, because after each malformed answer to a change the keys are read
 * back. */
#define MUTATION_TIMEOUT_MS 40
#define MUTATIONS_PER_KIND 600
#define ROWS(table) (sizeof(table) / sizeof((table)[0]))

#define SERVICE_KEY "/p/services/s"
#define HISTORY_KEY "/p/history/s/w"
#define VALUE "{\"value\":{\"slots\":3},\"writer\":\"w\",\"operator\":\"o\"}"

typedef enum {
	KIND_FETCH,
	KIND_HISTORY,
	KIND_LIST,
	KIND_CHANGE,
	KIND_REFUSED,
	KIND_READBACK,
	KIND_WATCH,
	KIND_COUNT,
} kind_t;

static const char *const kind_names[KIND_COUNT] = {
	"fetch", "history", "list", "change", "refused", "readback", "watch",
};

/* A server that answers every request with the same kind of answer. */
typedef struct {
	struct event_base *base;
	struct event *tick;
	struct evhttp *http;
	uint16_t port;
	clock_source_t clock;
	kind_t kind;
	/* Answer to all requests; NULL for a mutated answer to each request. */
	const char *body;
	int status;
	check_random_t random;
	/* Watch: size of the chunks, which are sent one at a time; 0 to send
	 * all chunks at once. */
	size_t piece_bytes;
} server_t;

/* An answer that is sent in chunks, one at a time. */
typedef struct {
	struct evhttp_request *request;
	struct evbuffer *rest;
	struct event *timer;
	size_t piece_bytes;
} stream_t;

/* Calls of a callback, and what it got. */
typedef struct {
	int calls;
	/* Watch: number of calls with an error. */
	int ends;
	int error;
	size_t count;
	/* Revisions that the first calls got. */
	uint64_t revisions[4];
	/* The revisions were not in order, or a string was NULL or missing. */
	bool inconsistent;
} result_t;

static void tick(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	(void)context;
}

static json_t *base64(const char *text)
{
	static unsigned char encoded[4096];

	EVP_EncodeBlock(encoded, (const unsigned char *)text,
			(int)strlen(text));
	return json_string((const char *)encoded);
}

static json_t *pair(const char *key, const char *value, const char *revision)
{
	return json_pack("{s:o,s:s,s:s,s:s,s:o}", "key", base64(key),
			 "create_revision", "2", "mod_revision", revision,
			 "version", "1", "value", base64(value));
}

static json_t *header(void)
{
	return json_pack("{s:s,s:s}", "cluster_id", "1", "revision", "9");
}

static json_t *range_response(json_t *kv)
{
	return json_pack("{s:{s:o,s:[o],s:s}}", "response_range", "header",
			 header(), "kvs", kv, "count", "1");
}

/* Returns a well-formed answer of a kind, in which value is the stored value.
 */
static json_t *well_formed(kind_t kind, const char *value)
{
	switch (kind) {
	case KIND_FETCH:
		return json_pack("{s:o,s:[o,o],s:s}", "header", header(), "kvs",
				 pair(SERVICE_KEY, value, "7"),
				 pair(SERVICE_KEY "2", value, "5"), "count",
				 "2");
	case KIND_HISTORY:
		return json_pack("{s:o,s:[o,o],s:s}", "header", header(), "kvs",
				 pair(HISTORY_KEY, value, "7"),
				 pair(HISTORY_KEY "2", value, "5"), "count",
				 "2");
	case KIND_LIST:
		return json_pack("{s:[{s:s,s:s,s:s,s:s}]}", "instances", "name",
				 "p1", "address", "127.0.0.1:1", "domain", "a",
				 "state", "leaving");
	case KIND_CHANGE:
		return json_pack("{s:o,s:b,s:[{s:{}}]}", "header", header(),
				 "succeeded", 1, "responses", "response_put");
	case KIND_REFUSED:
	case KIND_READBACK:
		return json_pack(
			"{s:o,s:[o,o]}", "header", header(), "responses",
			range_response(pair(SERVICE_KEY, value, "7")),
			kind == KIND_READBACK
				? range_response(pair(HISTORY_KEY, value, "6"))
				: json_pack("{s:{}}", "response_range"));
	default:
		return json_pack("{s:{s:o,s:[{s:o},{s:s,s:o}]}}", "result",
				 "header", header(), "events", "kv",
				 pair(SERVICE_KEY, value, "7"), "type", "PUT",
				 "kv", pair(SERVICE_KEY "2", value, "8"));
	}
}

static json_t *random_json(check_random_t *random)
{
	switch (check_random_below(random, 10)) {
	case 0:
		return json_null();
	case 1:
		return json_true();
	case 2:
		return json_integer((json_int_t)check_random_next(random));
	case 3:
		return json_string("");
	case 4:
		return json_string("-1");
	case 5:
		return json_string("99999999999999999999");
	case 6:
		return json_string("====");
	case 7:
		return json_array();
	case 8:
		return json_object();
	default:
		return json_real(0.5);
	}
}

/* Replaces, removes or repeats a random part of a JSON value. */
static void mutate_json(json_t *json, check_random_t *random)
{
	size_t size = json_is_object(json) ? json_object_size(json)
					   : json_array_size(json);
	uint64_t index = size > 0 ? check_random_below(random, size) : 0;
	uint64_t action = check_random_below(random, 8);
	const char *field = NULL;
	json_t *child = json_array_get(json, index);
	void *iterator;

	if (size == 0)
		return;
	if (json_is_object(json)) {
		iterator = json_object_iter(json);
		for (; index > 0; index--)
			iterator = json_object_iter_next(json, iterator);
		field = json_object_iter_key(iterator);
		child = json_object_iter_value(iterator);
	}
	if (action > 2 && (json_is_object(child) || json_is_array(child)))
		mutate_json(child, random);
	else if (action == 0 && field)
		json_object_del(json, field);
	else if (action == 0)
		json_array_remove(json, index);
	else if (field)
		json_object_set_new(json, field, random_json(random));
	else if (action == 1)
		json_array_append_new(json, json_deep_copy(child));
	else
		json_array_set_new(json, index, random_json(random));
}

/* Returns a copy of the text with up to four random changes of its bytes. */
static char *mutate_text(const char *text, check_random_t *random, size_t *size)
{
	uint64_t changes = 1 + check_random_below(random, 4);
	char *copy = malloc(strlen(text) * 2 + 64);

	*size = strlen(text);
	memcpy(copy, text, *size + 1);
	for (; changes > 0 && *size > 0; changes--) {
		size_t at = check_random_below(random, *size);

		switch (check_random_below(random, 5)) {
		case 0:
			copy[at] = (char)check_random_next(random);
			break;
		case 1:
			memmove(copy + at, copy + at + 1, *size - at - 1);
			(*size)--;
			break;
		case 2:
			memmove(copy + at + 1, copy + at, *size - at);
			copy[at] = "\"{}[],:\\=0\n"[check_random_below(random,
								       11)];
			(*size)++;
			break;
		case 3:
			copy[at] ^= (char)(1 << check_random_below(random, 7));
			break;
		default:
			/* Rare, so that most texts keep their length. */
			if (check_random_below(random, 4) == 0)
				*size = at;
			break;
		}
	}
	copy[*size] = '\0';
	return copy;
}

/* Returns an answer in which the bytes, the JSON or the stored value are
 * mutated. */
static char *mutated_body(kind_t kind, check_random_t *random, size_t *size)
{
	uint64_t way = check_random_below(random, 3);
	char *value =
		way == 0 ? mutate_text(VALUE, random, size) : strdup(VALUE);
	json_t *json = well_formed(kind, value);
	char *text;
	char *mutated;

	if (way == 1)
		mutate_json(json, random);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	free(value);
	*size = strlen(text);
	if (way != 2)
		return text;
	mutated = mutate_text(text, random, size);
	free(text);
	return mutated;
}

/* First message of a watch, which confirms its creation. */
static const char *const created =
	"{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n";

/* Sends a body in small chunks at once, so that messages are split over several
 * chunks. */
static void send_chunks(struct evhttp_request *request, const char *body,
			size_t size)
{
	struct evbuffer *chunk = evbuffer_new();
	size_t at;
	size_t step = size > 65536 ? 65536 : 7;

	evhttp_send_reply_start(request, HTTP_OK, NULL);
	for (at = 0; at < size; at += step) {
		evbuffer_add(chunk, body + at,
			     size - at < step ? size - at : step);
		evhttp_send_reply_chunk(request, chunk);
	}
	evhttp_send_reply_end(request);
	evbuffer_free(chunk);
}

static void send_piece(evutil_socket_t fd, short what, void *context)
{
	stream_t *stream = context;
	struct timeval pause = { 0, 500 };
	struct evbuffer *chunk;

	(void)fd;
	(void)what;
	if (evbuffer_get_length(stream->rest) == 0) {
		evhttp_send_reply_end(stream->request);
		evbuffer_free(stream->rest);
		event_free(stream->timer);
		free(stream);
		return;
	}
	chunk = evbuffer_new();
	evbuffer_remove_buffer(stream->rest, chunk, stream->piece_bytes);
	evhttp_send_reply_chunk(stream->request, chunk);
	evbuffer_free(chunk);
	evtimer_add(stream->timer, &pause);
}

/* Sends a body in chunks with a delay after each, so that the client receives
 * them one at a time. */
static void send_paced(server_t *server, struct evhttp_request *request,
		       const char *body, size_t size)
{
	stream_t *stream = calloc(1, sizeof(*stream));

	stream->request = request;
	stream->piece_bytes = server->piece_bytes;
	stream->rest = evbuffer_new();
	stream->timer = evtimer_new(server->base, send_piece, stream);
	evbuffer_add(stream->rest, body, size);
	evhttp_send_reply_start(request, HTTP_OK, NULL);
	send_piece(-1, 0, stream);
}

static void send_body(struct evhttp_request *request, int status,
		      const char *body, size_t size)
{
	struct evbuffer *buffer = evbuffer_new();

	evbuffer_add(buffer, body, size);
	evhttp_send_reply(request, status, NULL, buffer);
	evbuffer_free(buffer);
}

/* Sends the answer to a watch. A mutated body follows a valid first message in
 * most cases, a fixed body always. */
static void send_watch(server_t *server, struct evhttp_request *request,
		       const char *body, size_t size)
{
	struct evbuffer *stream = evbuffer_new();

	if (server->body || check_random_below(&server->random, 8) != 0)
		evbuffer_add(stream, created, strlen(created));
	evbuffer_add(stream, body, size);
	evbuffer_add(stream, "\n", 1);
	size = evbuffer_get_length(stream);
	body = (const char *)evbuffer_pullup(stream, -1);
	if (server->piece_bytes > 0)
		send_paced(server, request, body, size);
	else
		send_chunks(request, body, size);
	evbuffer_free(stream);
}

static void on_request(struct evhttp_request *request, void *context)
{
	server_t *server = context;
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	bool put = evbuffer_search(input, "request_put", 11, NULL).pos >= 0;
	char *mutated = NULL;
	const char *body = server->body;
	size_t size = body ? strlen(body) : 0;

	if (server->kind == KIND_READBACK && put) {
		/* Status 503 has the same effect as a lost answer to the
		 * change, without waiting for a timeout. */
		send_body(request, 503, "", 0);
		return;
	}
	if (!body) {
		mutated = mutated_body(server->kind, &server->random, &size);
		body = mutated;
	}
	if (server->kind == KIND_WATCH && server->status == HTTP_OK)
		send_watch(server, request, body, size);
	else
		send_body(request, server->status, body, size);
	free(mutated);
}

static void server_open(server_t *server)
{
	struct timeval interval = { 0, 5000 };
	struct sockaddr_in name = { 0 };
	socklen_t length = sizeof(name);
	struct evhttp_bound_socket *bound;

	*server = (server_t){ .clock = clock_source_boot(), .status = HTTP_OK };
	server->base = event_base_new();
	server->tick = event_new(server->base, -1, EV_PERSIST, tick, NULL);
	event_add(server->tick, &interval);
	server->http = evhttp_new(server->base);
	evhttp_set_gencb(server->http, on_request, server);
	bound = evhttp_bind_socket_with_handle(server->http, "127.0.0.1", 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(bound);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&name,
		    &length);
	server->port = ntohs(name.sin_port);
}

static void server_close(server_t *server)
{
	evhttp_free(server->http);
	event_free(server->tick);
	event_base_free(server->base);
}

static platform_client_t *new_client(server_t *server, clock_ms_t timeout_ms)
{
	platform_options_t options = {
		.address = "127.0.0.1",
		.port = server->port,
		.list_address = "127.0.0.1",
		.list_port = server->port,
		.timeout_ms = timeout_ms,
		.prefix = "/p",
	};

	return platform_client_new(server->base, &server->clock, &options);
}

static bool run_until(server_t *server, const int *calls, int target)
{
	clock_ms_t end_ms = clock_source_now(&server->clock) + WAIT_MS;

	while (*calls < target && clock_source_now(&server->clock) < end_ms)
		event_base_loop(server->base, EVLOOP_ONCE);
	return *calls >= target;
}

static bool item_complete(const platform_item_t *item)
{
	return strlen(item->service) > 0 && item->text && item->writer &&
	       item->operator_name && item->revision > 0;
}

static void fetch_done(void *context, int error, uint64_t store_revision,
		       const platform_item_t *items, size_t count)
{
	result_t *result = context;
	size_t i;

	if ((size_t)result->calls < ROWS(result->revisions))
		result->revisions[result->calls] = store_revision;
	result->calls++;
	result->ends += error != PLATFORM_OK;
	result->error = error;
	result->count += count;
	if ((error != PLATFORM_OK) != (store_revision == 0))
		result->inconsistent = true;
	for (i = 0; i < count; i++)
		result->inconsistent |= !item_complete(&items[i]);
}

static void change_done(void *context, int error, uint64_t revision,
			const platform_item_t *current)
{
	result_t *result = context;

	result->calls++;
	result->error = error;
	result->count = current ? 1 : 0;
	if ((error == PLATFORM_OK) != (revision > 0) ||
	    (current && !item_complete(current)))
		result->inconsistent = true;
}

static void list_done(void *context, int error,
		      const platform_instance_t *instances, size_t count)
{
	result_t *result = context;
	size_t i;

	result->calls++;
	result->error = error;
	result->count = count;
	for (i = 0; i < count; i++) {
		if (!instances[i].name || !instances[i].address ||
		    !instances[i].domain)
			result->inconsistent = true;
	}
}

/* Starts a call that gets an answer of this kind. */
static int start_call(platform_client_t *client, kind_t kind, result_t *result)
{
	*result = (result_t){ 0 };
	switch (kind) {
	case KIND_FETCH:
		return platform_config_fetch(client, 0, fetch_done, result);
	case KIND_HISTORY:
		return platform_config_history(client, "s", 0, fetch_done,
					       result);
	case KIND_LIST:
		return platform_instances_list(client, list_done, result);
	case KIND_WATCH:
		return platform_watch_start(client, 4, fetch_done, result);
	default:
		return platform_config_change(client, "s", 5, "{}", "w", "o",
					      change_done, result);
	}
}

/* Waits until a call has ended. */
static bool wait_call(server_t *server, kind_t kind, const result_t *result)
{
	return run_until(
		server, kind == KIND_WATCH ? &result->ends : &result->calls, 1);
}

/* Runs a batch of calls at the same time, each with a different mutated answer.
 * Returns the number of calls that succeeded. */
static size_t run_batch(server_t *server, kind_t kind, uint64_t seed)
{
	platform_client_t *clients[BATCH];
	result_t results[BATCH];
	size_t succeeded = 0;
	size_t i;

	server->random = check_random(seed);
	server->kind = kind;
	for (i = 0; i < BATCH; i++) {
		clients[i] = new_client(server, MUTATION_TIMEOUT_MS);
		CHECK_SEED(start_call(clients[i], kind, &results[i]) ==
				   PLATFORM_OK,
			   seed);
	}
	for (i = 0; i < BATCH; i++) {
		CHECK_SEED(wait_call(server, kind, &results[i]), seed);
		CHECK_SEED(!results[i].inconsistent, seed);
		CHECK_SEED(kind == KIND_WATCH || results[i].calls == 1, seed);
		CHECK_SEED(kind != KIND_WATCH || results[i].ends == 1, seed);
		if (kind == KIND_WATCH ? results[i].count > 0
				       : results[i].error == PLATFORM_OK)
			succeeded++;
		platform_client_free(clients[i]);
	}
	return succeeded;
}

/* Guards against a damaged or hostile answer that crashes the daemon, or that
 * is accepted although parts of it are missing. */
static void test_mutations(void)
{
	server_t server;
	kind_t kind;

	server_open(&server);
	for (kind = KIND_FETCH; kind < KIND_COUNT; kind++) {
		uint64_t runs = check_seeds(MUTATIONS_PER_KIND);
		size_t succeeded = 0;
		uint64_t seed;

		for (seed = 0; seed < runs; seed += BATCH)
			succeeded += run_batch(&server, kind, seed);
		printf("%s: %zu of %llu mutated answers usable\n",
		       kind_names[kind], succeeded, (unsigned long long)runs);
		/* Some mutations leave the answer valid, but not all of them.
		 * KIND_REFUSED never succeeds. */
		CHECK_ROW(succeeded < runs, kind_names[kind]);
		CHECK_ROW((succeeded > 0) == (kind != KIND_REFUSED),
			  kind_names[kind]);
	}
	server_close(&server);
}

typedef struct {
	const char *name;
	kind_t kind;
	int status;
	/* Body of the answer; NULL for the well-formed one of the kind. */
	const char *body;
	int error;
	/* Entries that the caller gets; 0: not checked. */
	size_t count;
} answer_row_t;

#define KV(key, value, revision)                          \
	"{\"key\":\"" key "\",\"mod_revision\":" revision \
	",\"value\":\"" value "\"}"
#define PAGE(kvs) "{\"header\":{\"revision\":\"9\"},\"kvs\":[" kvs "]}"
/* Base64 of "/p/services/s", "/p/services/t", "/p/services/r", "/q/services/s",
 * "/p/services/" and "/p/services/a/b". */
#define KEY_S "L3Avc2VydmljZXMvcw=="
#define KEY_T "L3Avc2VydmljZXMvdA=="
#define KEY_R "L3Avc2VydmljZXMvcg=="
#define KEY_FOREIGN "L3Evc2VydmljZXMvcw=="
#define KEY_EMPTY "L3Avc2VydmljZXMv"
#define KEY_SLASH "L3Avc2VydmljZXMvYS9i"
/* Base64 of, in this order: {"value":null,"writer":"w","operator":""}; the same
 * with a NUL appended; the same with the writer "www", whose text has padding;
 * that text with a character after its padding; a key with a NUL in it; a value
 * without a writer; and a value of 1. */
#define NULL_VALUE "eyJ2YWx1ZSI6bnVsbCwid3JpdGVyIjoidyIsIm9wZXJhdG9yIjoiIn0="
#define NUL_AFTER_VALUE \
	"eyJ2YWx1ZSI6bnVsbCwid3JpdGVyIjoidyIsIm9wZXJhdG9yIjoiIn0A"
#define PADDED_VALUE \
	"eyJ2YWx1ZSI6bnVsbCwid3JpdGVyIjoid3d3Iiwib3BlcmF0b3IiOiIifQ=="
#define PADDING_WITHIN \
	"eyJ2YWx1ZSI6bnVsbCwid3JpdGVyIjoid3d3Iiwib3BlcmF0b3IiOiIifQ=A"
#define NUL_IN_KEY "L3Avc2VydmljZXMvcwB4"
#define INSTANCE                                                        \
	"{\"name\":\"q\",\"address\":\"b\",\"domain\":\"d\",\"state\":" \
	"\"live\"}"
#define NO_WRITER "eyJ2YWx1ZSI6bnVsbCwib3BlcmF0b3IiOiIifQ=="
#define WRONG_VALUE "eyJ2YWx1ZSI6MSwid3JpdGVyIjoidyIsIm9wZXJhdG9yIjoiIn0="

static const answer_row_t answer_rows[] = {
	{ "good", KIND_FETCH, 200, NULL, PLATFORM_OK },
	{ "removed", KIND_FETCH, 200, PAGE(KV(KEY_S, NULL_VALUE, "\"7\"")),
	  PLATFORM_OK },
	{ "empty body", KIND_FETCH, 200, "", PLATFORM_ERROR_MALFORMED },
	{ "array", KIND_FETCH, 200, "[]", PLATFORM_ERROR_MALFORMED },
	{ "no header", KIND_FETCH, 200, "{}", PLATFORM_ERROR_MALFORMED },
	{ "trailing text", KIND_FETCH, 200,
	  "{\"header\":{\"revision\":\"9\"}}}", PLATFORM_ERROR_MALFORMED },
	{ "revision number", KIND_FETCH, 200, "{\"header\":{\"revision\":9}}",
	  PLATFORM_ERROR_MALFORMED },
	{ "revision overflow", KIND_FETCH, 200,
	  "{\"header\":{\"revision\":\"9223372036854775808\"}}",
	  PLATFORM_ERROR_MALFORMED },
	{ "more without keys", KIND_FETCH, 200,
	  "{\"header\":{\"revision\":\"9\"},\"more\":true}",
	  PLATFORM_ERROR_MALFORMED },
	/* The second page is the same as the first. */
	{ "endless pages", KIND_FETCH, 200,
	  "{\"header\":{\"revision\":\"9\"},\"more\":true,\"kvs\":[" KV(
		  KEY_S, NULL_VALUE, "\"7\"") "]}",
	  PLATFORM_ERROR_MALFORMED },
	{ "keys fall", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, NULL_VALUE, "\"7\"") "," KV(KEY_R, NULL_VALUE,
						     "\"8\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "revision past the store's", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, NULL_VALUE, "\"10\"")), PLATFORM_ERROR_MALFORMED },
	{ "no revision", KIND_FETCH, 200, PAGE(KV(KEY_S, NULL_VALUE, "\"0\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "foreign key", KIND_FETCH, 200,
	  PAGE(KV(KEY_FOREIGN, NULL_VALUE, "\"7\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "empty name", KIND_FETCH, 200,
	  PAGE(KV(KEY_EMPTY, NULL_VALUE, "\"7\"") "," KV(KEY_T, NULL_VALUE,
							 "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "slash in name", KIND_FETCH, 200,
	  PAGE(KV(KEY_SLASH, NULL_VALUE, "\"7\"") "," KV(KEY_T, NULL_VALUE,
							 "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "base64 length", KIND_FETCH, 200, PAGE(KV(KEY_S, "e30", "\"7\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "base64 digit", KIND_FETCH, 200, PAGE(KV(KEY_S, "e3*=", "\"7\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "base64 space", KIND_FETCH, 200, PAGE(KV(KEY_S, " e30", "\"7\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "base64 padding", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, "e3==fQ==", "\"7\"")), PLATFORM_ERROR_MALFORMED },
	{ "only padding", KIND_FETCH, 200, PAGE(KV(KEY_S, "====", "\"7\"")),
	  PLATFORM_ERROR_MALFORMED },
	{ "empty value", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, "", "\"7\"") "," KV(KEY_T, NULL_VALUE, "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "good padding", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, PADDED_VALUE, "\"7\"")), PLATFORM_OK },
	{ "padding within", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, PADDING_WITHIN, "\"7\"")), PLATFORM_ERROR_MALFORMED },
	{ "NUL after value", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, NUL_AFTER_VALUE, "\"7\"") "," KV(KEY_T, NULL_VALUE,
							  "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "NUL in key", KIND_FETCH, 200,
	  PAGE(KV(NUL_IN_KEY, NULL_VALUE, "\"7\"") "," KV(KEY_T, NULL_VALUE,
							  "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "no writer", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, NO_WRITER, "\"7\"") "," KV(KEY_T, NULL_VALUE,
						    "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "wrong value", KIND_FETCH, 200,
	  PAGE(KV(KEY_S, WRONG_VALUE, "\"7\"") "," KV(KEY_T, NULL_VALUE,
						      "\"8\"")),
	  PLATFORM_OK, 1 },
	{ "pair is text", KIND_FETCH, 200, PAGE("\"x\""),
	  PLATFORM_ERROR_MALFORMED },
	{ "bad request", KIND_FETCH, 400, "{}", PLATFORM_ERROR_MALFORMED },
	{ "too many requests", KIND_FETCH, 429, "{}",
	  PLATFORM_ERROR_UNAVAILABLE },
	{ "no leader", KIND_FETCH, 503, "{}", PLATFORM_ERROR_UNKNOWN },
	{ "moved", KIND_FETCH, 301, "{}", PLATFORM_ERROR_UNKNOWN },
	{ "good history", KIND_HISTORY, 200, NULL, PLATFORM_OK },
	{ "history of a service", KIND_HISTORY, 200,
	  PAGE(KV(KEY_S, NULL_VALUE, "\"7\"")), PLATFORM_ERROR_MALFORMED },
	{ "good list", KIND_LIST, 200, NULL, PLATFORM_OK },
	{ "no instances", KIND_LIST, 200, "{}", PLATFORM_ERROR_MALFORMED },
	{ "instances are no list", KIND_LIST, 200, "{\"instances\":{}}",
	  PLATFORM_ERROR_MALFORMED },
	{ "unknown state", KIND_LIST, 200,
	  "{\"instances\":[{\"name\":\"p\",\"address\":\"a\",\"domain\":\"d\","
	  "\"state\":\"gone\"}," INSTANCE "]}",
	  PLATFORM_OK, 1 },
	{ "no address", KIND_LIST, 200,
	  "{\"instances\":[" INSTANCE ",{\"name\":\"p\",\"domain\":\"d\","
	  "\"state\":\"live\"}]}",
	  PLATFORM_OK, 1 },
	{ "odd instances", KIND_LIST, 200,
	  "{\"instances\":[7,null,[[]],{},{\"name\":7}," INSTANCE "]}",
	  PLATFORM_OK, 1 },
	{ "list down", KIND_LIST, 500, "", PLATFORM_ERROR_UNKNOWN },
	{ "good change", KIND_CHANGE, 200, NULL, PLATFORM_OK },
	{ "change refused", KIND_CHANGE, 400, "{}", PLATFORM_ERROR_MALFORMED },
	{ "change put off", KIND_CHANGE, 429, "{}",
	  PLATFORM_ERROR_UNAVAILABLE },
	/* After these answers the change may have taken effect. */
	{ "change without leader", KIND_CHANGE, 503, "{}",
	  PLATFORM_ERROR_UNKNOWN },
	{ "change malformed", KIND_CHANGE, 200, "{", PLATFORM_ERROR_UNKNOWN },
	{ "change without responses", KIND_CHANGE, 200,
	  "{\"header\":{\"revision\":\"9\"}}", PLATFORM_ERROR_UNKNOWN },
	{ "good conflict", KIND_REFUSED, 200, NULL, PLATFORM_ERROR_CONFLICT },
	{ "good read-back", KIND_READBACK, 200, NULL, PLATFORM_OK },
	{ "watch refused", KIND_WATCH, 400, "{}", PLATFORM_ERROR_UNKNOWN },
	{ "watch error", KIND_WATCH, 200, "{\"error\":{\"grpc_code\":14}}",
	  PLATFORM_ERROR_UNKNOWN },
	{ "watch text", KIND_WATCH, 200, "x", PLATFORM_ERROR_MALFORMED },
	{ "watch created twice", KIND_WATCH, 200,
	  "{\"result\":{\"header\":{\"revision\":\"9\"},\"created\":true}}",
	  PLATFORM_ERROR_MALFORMED },
	{ "watch canceled", KIND_WATCH, 200, "{\"result\":{\"canceled\":true}}",
	  PLATFORM_ERROR_UNKNOWN },
	{ "watch compacted", KIND_WATCH, 200,
	  "{\"result\":{\"canceled\":true,\"compact_revision\":\"8\"}}",
	  PLATFORM_ERROR_CONFLICT },
	{ "watch repeats", KIND_WATCH, 200,
	  "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":[{"
	  "\"kv\":" KV(KEY_S, NULL_VALUE, "\"4\"") "}]}}",
	  PLATFORM_ERROR_MALFORMED },
	/* The stand-in ends the stream after its events. */
	{ "watch odd entry", KIND_WATCH, 200,
	  "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":["
	  "{\"kv\":" KV(KEY_SLASH, NULL_VALUE,
			"\"7\"") "},"
				 "{\"kv\":" KV(KEY_S, NULL_VALUE,
					       "\"8\"") "},"
							"{\"kv\":" KV(
								KEY_R,
								WRONG_VALUE,
								"\"9\"") "}]}}",
	  PLATFORM_ERROR_UNKNOWN, 1 },
	{ "watch odd entry falls", KIND_WATCH, 200,
	  "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":["
	  "{\"kv\":" KV(KEY_SLASH, NULL_VALUE,
			"\"8\"") "},"
				 "{\"kv\":" KV(KEY_S, NULL_VALUE,
					       "\"7\"") "}]}}",
	  PLATFORM_ERROR_MALFORMED },
	{ "watch event type", KIND_WATCH, 200,
	  "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":["
	  "{\"type\":\"MOVE\",\"kv\":" KV(KEY_S, NULL_VALUE, "\"7\"") "}]}}",
	  PLATFORM_ERROR_MALFORMED },
};

/* Guards against an answer that gives the wrong error, especially against a
 * change that is reported as not made although it may have been made. */
static void test_answers(void)
{
	server_t server;
	size_t i;

	server_open(&server);
	for (i = 0; i < ROWS(answer_rows); i++) {
		const answer_row_t *row = &answer_rows[i];
		platform_client_t *client = new_client(&server, TIMEOUT_MS);
		json_t *json = well_formed(row->kind, VALUE);
		char *good = json_dumps(json, JSON_COMPACT);
		result_t result;

		server.kind = row->kind;
		server.status = row->status;
		server.body = row->body ? row->body : good;
		CHECK_ROW(start_call(client, row->kind, &result) == PLATFORM_OK,
			  row->name);
		CHECK_ROW(wait_call(&server, row->kind, &result), row->name);
		CHECK_ROW(result.error == row->error, row->name);
		CHECK_ROW(row->count == 0 || result.count == row->count,
			  row->name);
		CHECK_ROW(!result.inconsistent, row->name);
		CHECK_ROW((platform_client_usage(client).failures == 0) ==
					  (row->error == PLATFORM_OK ||
					   row->kind == KIND_REFUSED) ||
				  row->kind == KIND_READBACK,
			  row->name);
		platform_client_free(client);
		json_decref(json);
		free(good);
	}
	server_close(&server);
}

/* Guards against events that a watch loses: in a message that arrives in parts,
 * for a key that was deleted, and in a backlog that comes in two messages whose
 * headers are both ahead of their events. */
static void test_watch_stream(void)
{
	/* With each size, the line ends are at other positions in a chunk. */
	static const size_t piece_bytes[] = { 0, 2, 5 };
	static const char *const body =
		"{\"result\":{\"header\":{\"revision\":\"11\"},\"events\":["
		"{\"kv\":" KV(
			KEY_S, NULL_VALUE,
			"\"7\"") "},"
				 "{\"type\":\"DELETE\",\"kv\":{\"key\":\"" KEY_R
				 "\","
				 "\"mod_revision\":\"8\"}}]}}\n"
				 "{\"result\":{\"header\":{\"revision\":\"11\"}"
				 ",\"events\":["
				 "{\"kv\":" KV(
					 KEY_S, NULL_VALUE,
					 "\"9\"") "}]}}\n"
						  "{\"result\":{\"header\":{"
						  "\"revision\":\"11\"}}}";
	server_t server;
	platform_client_t *client;
	result_t result;
	size_t i;

	server_open(&server);
	server.kind = KIND_WATCH;
	server.body = body;
	for (i = 0; i < ROWS(piece_bytes); i++) {
		server.piece_bytes = piece_bytes[i];
		client = new_client(&server, WAIT_MS);
		CU_ASSERT_EQUAL(start_call(client, KIND_WATCH, &result),
				PLATFORM_OK);
		CU_ASSERT(wait_call(&server, KIND_WATCH, &result));
		CU_ASSERT_EQUAL(result.count, 3);
		/* For two messages, the progress notification and the end. */
		CU_ASSERT_EQUAL(result.calls, 4);
		CU_ASSERT_EQUAL(result.revisions[0], 8);
		CU_ASSERT_EQUAL(result.revisions[1], 9);
		CU_ASSERT_EQUAL(result.revisions[2], 11);
		CU_ASSERT_EQUAL(result.error, PLATFORM_ERROR_UNKNOWN);
		CU_ASSERT_FALSE(result.inconsistent);
		platform_client_free(client);
	}
	server_close(&server);
}

/* Guards against an answer of unlimited size, which would exhaust the daemon's
 * memory. */
static void test_too_large(void)
{
	static const kind_t kinds[] = { KIND_FETCH, KIND_HISTORY, KIND_LIST,
					KIND_WATCH };
	size_t size = 5 * 1024 * 1024;
	char *body = malloc(size + 1);
	server_t server;
	size_t i;

	memset(body, ' ', size);
	body[0] = '{';
	body[size - 1] = '}';
	body[size] = '\0';
	server_open(&server);
	server.body = body;
	for (i = 0; i < ROWS(kinds); i++) {
		platform_client_t *client = new_client(&server, WAIT_MS);
		result_t result;

		server.kind = kinds[i];
		CHECK_ROW(start_call(client, kinds[i], &result) == PLATFORM_OK,
			  kind_names[kinds[i]]);
		CHECK_ROW(wait_call(&server, kinds[i], &result),
			  kind_names[kinds[i]]);
		CHECK_ROW(result.error == PLATFORM_ERROR_TOO_LARGE,
			  kind_names[kinds[i]]);
		platform_client_free(client);
	}
	server_close(&server);
	free(body);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "answers", test_answers },
		{ "watch stream", test_watch_stream },
		{ "too large", test_too_large },
		{ "mutations", test_mutations },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("platform decoder", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
