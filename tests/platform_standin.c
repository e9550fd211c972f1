#include "platform_standin.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "check.h"
#include "libplatform/base64.h"
#include "platform/messages.h"

#define ITEMS_MAX 256
#define TERM_MAX 64

typedef struct {
	char key[200];
	char *value;
	uint64_t revision;
	bool removed;
	/* The value is sent as text that is not base64. */
	bool unreadable;
} item_t;

/* A watch of the store that waits for a change. */
typedef struct watch {
	TAILQ_ENTRY(watch) entry;
	standin_t *standin;
	struct evhttp_request *request;
	struct event *timer;
	char prefix[200];
	uint64_t after;
} watch_t;

typedef struct {
	standin_t *standin;
	uint32_t index;
	char id[16];
	uint16_t port;
	struct evconnlistener *listener;
	/* Log number, in the current term, up to which commits are applied. */
	uint64_t applied;
	bool lags;
	bool silent;
} target_t;

/* A connection to a target. */
typedef struct connection {
	TAILQ_ENTRY(connection) entry;
	target_t *target;
	struct bufferevent *events;
	/* Sends the output after the delay of the targets. */
	struct event *timer;
	struct evbuffer *output;
	/* Bytes of the output that are sent at a time; 0: all. */
	size_t piece_bytes;
	/* The startup line has been received. */
	bool started;
	/* Second word of the startup line. */
	char user[64];
	/* State of the transaction, as in READY: I or T. */
	char state;
	/* The open transaction has written. */
	bool wrote;
	/* Value of the session's "zone"; empty if it is not set. */
	char zone[32];
} connection_t;

struct standin {
	struct event_base *base;
	uint16_t first_port;
	struct evhttp *store;
	struct evhttp *orders;
	/* Ordered by key. */
	item_t items[ITEMS_MAX];
	size_t item_count;
	uint32_t page_items;
	uint64_t revision;
	uint64_t era;
	bool hides_era;
	/* The copy of the items and of the revision, see
	 * standin_store_keep_copy(). */
	item_t copy[ITEMS_MAX];
	size_t copy_count;
	uint64_t copy_revision;
	/* Token and holder of the last order. */
	uint64_t token;
	char holder[64];
	bool refuses;
	uint32_t store_delay_ms;
	TAILQ_HEAD(, watch) watches;
	target_t targets[STANDIN_TARGETS];
	TAILQ_HEAD(, connection) connections;
	/* Log position of the primary. */
	uint64_t term;
	uint64_t number;
	/* Index of the primary in targets. */
	uint32_t primary;
	bool synchronous;
	bool full;
	/* Connections that a target accepts; 0: any number. */
	uint32_t connections_max;
	/* Tenants in further configurations; 0: none. */
	uint32_t tenants;
	uint32_t delay_ms;
	/* The answer to the next statement, see standin_answer_next(). */
	struct evbuffer *next_answer;
	size_t next_piece_bytes;
	standin_counts_t counts;
};

static json_t *item_json(const item_t *item)
{
	char *text;
	json_t *json;

	if (item->removed)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "tombstone", 1);
	text = item->unreadable ? strdup("%%")
				: platform_base64_encode(item->value,
							 strlen(item->value));
	json = json_pack("{s:s,s:s,s:I,s:i}", "key", item->key, "value", text,
			 "revision", (json_int_t)item->revision, "lease", 0);
	free(text);
	return json;
}

static void reply(struct evhttp_request *request, int status, json_t *body)
{
	struct evbuffer *buffer = evbuffer_new();
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	if (text)
		evbuffer_add_printf(buffer, "%s", text);
	evhttp_send_reply(request, status, NULL, buffer);
	evbuffer_free(buffer);
	free(text);
	json_decref(body);
}

/* Replies to a call to the store. */
static void reply_from_store(const standin_t *standin,
			     struct evhttp_request *request, int status,
			     json_t *body)
{
	char era[24];

	snprintf(era, sizeof(era), "%" PRIu64, standin->era);
	if (!standin->hides_era)
		evhttp_add_header(evhttp_request_get_output_headers(request),
				  PLATFORM_HEADER_ERA, era);
	reply(request, status, body);
}

/* Returns the items below a prefix with a revision higher than after, with the
 * removed ones. */
static json_t *list_changes(const standin_t *standin, const char *prefix,
			    uint64_t after)
{
	json_t *items = json_array();
	size_t i;

	for (i = 0; i < standin->item_count; i++) {
		const item_t *item = &standin->items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) == 0 &&
		    item->revision > after)
			json_array_append_new(items, item_json(item));
	}
	return items;
}

/* Returns the answer to a range: the page that begins behind after_key, which
 * is NULL for the first one. */
static json_t *list_page(const standin_t *standin, const char *prefix,
			 const char *after_key)
{
	json_t *items = json_array();
	bool truncated = false;
	size_t i;

	for (i = 0; i < standin->item_count; i++) {
		const item_t *item = &standin->items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) != 0 ||
		    item->removed ||
		    (after_key && strcmp(item->key, after_key) <= 0))
			continue;
		if (standin->page_items > 0 &&
		    json_array_size(items) == standin->page_items) {
			truncated = true;
			break;
		}
		json_array_append_new(items, item_json(item));
	}
	return json_pack("{s:o,s:b,s:I}", "items", items, "truncated",
			 truncated, "as_of", (json_int_t)standin->revision);
}

static void end_watch(watch_t *watch)
{
	standin_t *standin = watch->standin;
	json_t *events = list_changes(standin, watch->prefix, watch->after);

	TAILQ_REMOVE(&standin->watches, watch, entry);
	event_free(watch->timer);
	reply_from_store(standin, watch->request, 200,
			 json_pack("{s:o,s:I}", "events", events, "as_of",
				   (json_int_t)standin->revision));
	free(watch);
}

static void on_watch_end(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	end_watch(context);
}

/* Ends the watches whose prefix covers a key. */
static void wake_watches(standin_t *standin, const char *key)
{
	watch_t *watch;
	watch_t *next;

	for (watch = TAILQ_FIRST(&standin->watches); watch; watch = next) {
		next = TAILQ_NEXT(watch, entry);
		if (strncmp(key, watch->prefix, strlen(watch->prefix)) == 0)
			event_active(watch->timer, EV_TIMEOUT, 0);
	}
}

static item_t *find_item(standin_t *standin, const char *key)
{
	size_t i;

	for (i = 0; i < standin->item_count; i++) {
		if (strcmp(standin->items[i].key, key) == 0)
			return &standin->items[i];
	}
	return NULL;
}

static item_t *insert_item(standin_t *standin, const char *key)
{
	size_t at = 0;

	if (standin->item_count == ITEMS_MAX)
		abort();
	while (at < standin->item_count &&
	       strcmp(standin->items[at].key, key) < 0)
		at++;
	memmove(&standin->items[at + 1], &standin->items[at],
		(standin->item_count - at) * sizeof(standin->items[0]));
	standin->item_count++;
	standin->items[at] = (item_t){ 0 };
	snprintf(standin->items[at].key, sizeof(standin->items[at].key), "%s",
		 key);
	return &standin->items[at];
}

static void set_item(standin_t *standin, const char *key, const char *value)
{
	item_t *item = find_item(standin, key);

	if (!item)
		item = insert_item(standin, key);
	free(item->value);
	item->unreadable = false;
	item->value = value ? strdup(value) : NULL;
	item->removed = !value;
	item->revision = standin->revision;
	if (value && strncmp(key, "hornbeamtack/group/", 19) == 0 &&
	    !strstr(value, "\"fence\":0"))
		standin->counts.fence_records++;
	wake_watches(standin, key);
}

const char *standin_store_get(standin_t *standin, const char *key)
{
	const item_t *item = find_item(standin, key);

	return item ? item->value : NULL;
}

void standin_store_put(standin_t *standin, const char *key, const char *value)
{
	standin->revision++;
	set_item(standin, key, value);
}

void standin_store_put_unreadable(standin_t *standin, const char *key)
{
	standin_store_put(standin, key, "");
	find_item(standin, key)->unreadable = true;
}

static void free_copy(standin_t *standin)
{
	size_t i;

	for (i = 0; i < standin->copy_count; i++)
		free(standin->copy[i].value);
	standin->copy_count = 0;
}

/* Copies items with their values, without those below a prefix. Returns their
 * number. */
static size_t copy_items(item_t *items, const item_t *from, size_t count,
			 const char *without)
{
	size_t copied = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (without &&
		    strncmp(from[i].key, without, strlen(without)) == 0)
			continue;
		items[copied] = from[i];
		items[copied++].value =
			from[i].value ? strdup(from[i].value) : NULL;
	}
	return copied;
}

void standin_store_keep_copy(standin_t *standin, const char *without)
{
	free_copy(standin);
	standin->copy_count = copy_items(standin->copy, standin->items,
					 standin->item_count, without);
	standin->copy_revision = standin->revision;
}

void standin_store_restore(standin_t *standin)
{
	watch_t *watch;
	size_t i;

	for (i = 0; i < standin->item_count; i++)
		free(standin->items[i].value);
	standin->item_count = copy_items(standin->items, standin->copy,
					 standin->copy_count, NULL);
	standin->revision = standin->copy_revision;
	standin->era++;
	while ((watch = TAILQ_FIRST(&standin->watches)) != NULL) {
		TAILQ_REMOVE(&standin->watches, watch, entry);
		event_free(watch->timer);
		reply_from_store(standin, watch->request, 503, NULL);
		free(watch);
	}
}

void standin_store_hide_era(standin_t *standin)
{
	standin->hides_era = true;
}

void standin_store_page(standin_t *standin, uint32_t items)
{
	standin->page_items = items;
}

/* Returns true if a change expects that the next era is not open. */
static bool is_guarded(const standin_t *standin, const json_t *expected)
{
	const json_t *row;
	char key[64];
	size_t i;

	snprintf(key, sizeof(key), "hornbeamtack/era/%" PRIu64,
		 standin->era + 1);
	json_array_foreach(expected, i, row) {
		if (strcmp(json_string_value(json_object_get(row, "key")),
			   key) == 0)
			return true;
	}
	return false;
}

/* Makes a change if all expected revisions match, and replies to its request.
 */
static void apply_change(standin_t *standin, struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	json_t *body = json_loadb((const char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "expected_rev"), i, row) {
		const item_t *item = find_item(
			standin,
			json_string_value(json_object_get(row, "key")));
		uint64_t revision = item && !item->removed ? item->revision : 0;

		if (revision == (uint64_t)json_integer_value(
					json_object_get(row, "revision")))
			continue;
		json_decref(body);
		standin->counts.conflicts++;
		reply_from_store(standin, request, 412, json_object());
		return;
	}
	if (!is_guarded(standin, json_object_get(body, "expected_rev")))
		standin->counts.unguarded_changes++;
	standin->revision++;
	json_array_foreach(json_object_get(body, "writes"), i, row) {
		const json_t *text = json_object_get(row, "value");
		size_t size;
		char *value =
			platform_base64_decode(json_string_value(text),
					       json_string_length(text), &size);

		set_item(standin,
			 json_string_value(json_object_get(row, "key")), value);
		free(value);
	}
	json_array_foreach(json_object_get(body, "remove"), i, row)
		set_item(standin, json_string_value(row), NULL);
	json_decref(body);
	reply_from_store(
		standin, request, 200,
		json_pack("{s:I}", "revision", (json_int_t)standin->revision));
}

static void start_watch(standin_t *standin, struct evhttp_request *request,
			struct evkeyvalq *query)
{
	uint64_t wait_ms =
		strtoull(evhttp_find_header(query, "wait_ms"), NULL, 10);
	struct timeval wait = { .tv_sec = (time_t)(wait_ms / 1000),
				.tv_usec = (long)(wait_ms % 1000) * 1000 };
	uint64_t after = strtoull(evhttp_find_header(query, "after"), NULL, 10);
	watch_t *watch;
	json_t *events;

	if (after > standin->revision) {
		reply_from_store(standin, request, 410, NULL);
		return;
	}
	watch = check_allocate(sizeof(*watch));
	watch->standin = standin;
	watch->request = request;
	watch->after = after;
	snprintf(watch->prefix, sizeof(watch->prefix), "%s",
		 evhttp_find_header(query, "path_prefix"));
	watch->timer = evtimer_new(standin->base, on_watch_end, watch);
	TAILQ_INSERT_TAIL(&standin->watches, watch, entry);
	events = list_changes(standin, watch->prefix, watch->after);
	if (json_array_size(events) > 0)
		event_active(watch->timer, EV_TIMEOUT, 0);
	else
		evtimer_add(watch->timer, &wait);
	json_decref(events);
}

/* A call to the store that is answered after a delay. */
typedef struct {
	standin_t *standin;
	struct evhttp_request *request;
} slow_call_t;

static void answer_store_call(standin_t *standin,
			      struct evhttp_request *request)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	const char *query_text = evhttp_uri_get_query(uri);
	struct evkeyvalq query;

	standin->counts.store_calls++;
	if (standin->refuses) {
		reply_from_store(standin, request, 503, NULL);
		return;
	}
	TAILQ_INIT(&query);
	evhttp_parse_query_str(query_text ? query_text : "", &query);
	if (strcmp(path, "/kv-range") == 0)
		reply_from_store(
			standin, request, 200,
			list_page(standin,
				  evhttp_find_header(&query, "path_prefix"),
				  evhttp_find_header(&query, "after")));
	else if (strcmp(path, "/kv-watch") == 0)
		start_watch(standin, request, &query);
	else if (strcmp(path, "/kv-txn") == 0)
		apply_change(standin, request);
	else
		reply_from_store(standin, request, 404, NULL);
	evhttp_clear_headers(&query);
}

static void on_slow_call(evutil_socket_t fd, short what, void *context)
{
	slow_call_t *call = context;

	(void)fd;
	(void)what;
	answer_store_call(call->standin, call->request);
	free(call);
}

static void on_store_call(struct evhttp_request *request, void *context)
{
	standin_t *standin = context;
	struct timeval delay = { .tv_usec = standin->store_delay_ms * 1000L };
	slow_call_t *call;

	if (standin->store_delay_ms == 0) {
		answer_store_call(standin, request);
		return;
	}
	call = check_allocate(sizeof(*call));
	*call = (slow_call_t){ standin, request };
	event_base_once(standin->base, -1, EV_TIMEOUT, on_slow_call, call,
			&delay);
}

void standin_target_report(standin_t *standin, uint32_t index,
			   const char *state, uint32_t sequence)
{
	const target_t *target = &standin->targets[index];
	char key[64];
	char value[256];

	snprintf(key, sizeof(key), "servers/%s", target->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"s1\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"z%u\",\"version\":\"v1\",\"slots\":3,"
		 "\"state\":\"%s\",\"cold_remaining_ms\":0,"
		 "\"db_role\":\"%s\",\"sequence\":%u,\"born\":1}",
		 target->port, target->index, state,
		 target->index == standin->primary ? "primary" : "replica",
		 sequence);
	standin_store_put(standin, key, value);
}

static void store_target_entry(standin_t *standin, const target_t *target)
{
	standin_target_report(standin, target->index, "ready", 1);
}

void standin_list_targets(standin_t *standin, bool listed)
{
	char key[64];
	uint32_t i;

	for (i = 0; i < STANDIN_TARGETS; i++) {
		snprintf(key, sizeof(key), "servers/%s",
			 standin->targets[i].id);
		if (listed)
			store_target_entry(standin, &standin->targets[i]);
		else
			standin_store_put(standin, key, NULL);
	}
}

void standin_target_unlist(standin_t *standin, uint32_t index)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", standin->targets[index].id);
	standin_store_put(standin, key, NULL);
}

/* Lets the targets apply all commits, but for the replicas that lag. */
static void catch_up(standin_t *standin)
{
	uint32_t i;

	for (i = 0; i < STANDIN_TARGETS; i++) {
		if (!standin->targets[i].lags || i == standin->primary)
			standin->targets[i].applied = standin->number;
	}
}

void standin_promote(standin_t *standin, uint32_t index)
{
	uint32_t i;

	standin->counts.lost_commits +=
		(uint32_t)(standin->number - standin->targets[index].applied);
	standin->primary = index;
	standin->term++;
	standin->number = 0;
	standin->counts.promotions++;
	for (i = 0; i < STANDIN_TARGETS; i++)
		standin->targets[i].lags = false;
	catch_up(standin);
	for (i = 0; i < STANDIN_TARGETS; i++)
		store_target_entry(standin, &standin->targets[i]);
}

/* Compares the token of an order with that of the last one. */
static void check_token(standin_t *standin, struct evhttp_request *request)
{
	const struct evkeyvalq *headers =
		evhttp_request_get_input_headers(request);
	const char *holder =
		evhttp_find_header(headers, PLATFORM_HEADER_HOLDER);
	uint64_t token = strtoull(
		evhttp_find_header(headers, PLATFORM_HEADER_TOKEN), NULL, 10);

	if (token < standin->token ||
	    (token == standin->token && strcmp(holder, standin->holder) != 0))
		standin->counts.wrong_tokens++;
	standin->token = token;
	snprintf(standin->holder, sizeof(standin->holder), "%s", holder);
}

/* Handles an order to promote: makes the target the primary of the next term.
 */
static void on_order(struct evhttp_request *request, void *context)
{
	standin_t *standin = context;
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	json_t *body = json_loadb((const char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	uint32_t i;

	for (i = 0; i < STANDIN_TARGETS; i++) {
		if (strcmp(standin->targets[i].id, id) == 0)
			break;
	}
	json_decref(body);
	check_token(standin, request);
	if (i == STANDIN_TARGETS || !standin->targets[i].listener) {
		reply(request, 409, NULL);
		return;
	}
	if (i != standin->primary)
		standin_promote(standin, i);
	reply(request, 200, NULL);
}

static void close_connection(connection_t *connection)
{
	TAILQ_REMOVE(&connection->target->standin->connections, connection,
		     entry);
	bufferevent_free(connection->events);
	event_free(connection->timer);
	evbuffer_free(connection->output);
	free(connection);
}

static void add_output(connection_t *connection, const char *text)
{
	evbuffer_add_printf(connection->output, "%s", text);
}

/* Ends an answer and sends it after the delay of the targets. */
static void finish_answer(connection_t *connection)
{
	const standin_t *standin = connection->target->standin;
	struct timeval delay = { .tv_usec = standin->delay_ms * 1000L };

	evbuffer_add_printf(
		connection->output, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
		connection->state, standin->term, connection->target->applied);
	evtimer_add(connection->timer, &delay);
}

static void send_output(evutil_socket_t fd, short what, void *context)
{
	const struct timeval at_once = { 0 };
	connection_t *connection = context;
	struct evbuffer *output = bufferevent_get_output(connection->events);

	(void)fd;
	(void)what;
	if (connection->piece_bytes == 0) {
		evbuffer_add_buffer(output, connection->output);
		return;
	}
	evbuffer_remove_buffer(connection->output, output,
			       connection->piece_bytes);
	if (evbuffer_get_length(connection->output) > 0)
		evtimer_add(connection->timer, &at_once);
	else
		connection->piece_bytes = 0;
}

/* Sends the bytes of standin_answer_next() as the answer. */
static void send_next_answer(connection_t *connection)
{
	standin_t *standin = connection->target->standin;

	connection->piece_bytes = standin->next_piece_bytes;
	evbuffer_add_buffer(connection->output, standin->next_answer);
	event_active(connection->timer, EV_TIMEOUT, 0);
}

static bool is_primary(const connection_t *connection)
{
	return connection->target->index ==
	       connection->target->standin->primary;
}

static void commit(connection_t *connection)
{
	standin_t *standin = connection->target->standin;

	standin->number++;
	standin->counts.commits++;
	catch_up(standin);
}

static bool is_wrong_user(const connection_t *connection, const char *text)
{
	const char *user = strstr(text, "of-");

	return user && strcmp(user + 3, connection->user) != 0;
}

/* Runs a statement and adds its answer to the output, without READY. */
static void run_statement(connection_t *connection, char *text)
{
	standin_t *standin = connection->target->standin;
	uint64_t term;
	uint64_t number;
	int length = 0;

	if (strncmp(text, "READ", 4) == 0 && connection->state == 'I' &&
	    !is_primary(connection))
		standin->counts.unproved_reads++;
	if (sscanf(text, "AFTER %" SCNu64 ".%" SCNu64 " %n", &term, &number,
		   &length) == 2) {
		text += length;
		if (term > standin->term ||
		    (term == standin->term &&
		     number > connection->target->applied)) {
			add_output(connection, "ERROR LAGGING x\r\n");
			return;
		}
	}
	if (strncmp(text, "SET zone ", 9) == 0) {
		snprintf(connection->zone, sizeof(connection->zone), "%s",
			 text + 9);
		add_output(connection, "COMPLETE -\r\n");
		return;
	}
	if (strcmp(text, "RESET") == 0) {
		connection->zone[0] = '\0';
		add_output(connection, "COMPLETE -\r\n");
		return;
	}
	if (strncmp(text, "PREPARE", 7) == 0) {
		add_output(connection, "COMPLETE -\r\n");
		return;
	}
	if (strcmp(text, "STATUS") == 0) {
		evbuffer_add_printf(connection->output,
				    "DATAROW %s %" PRIu64 " %" PRIu64
				    ".%" PRIu64 " 0 0 0 1\r\nCOMPLETE -\r\n",
				    is_primary(connection) ? "primary"
							   : "replica",
				    standin->term, standin->term,
				    connection->target->applied);
		return;
	}
	if (strcmp(text, "BEGIN") == 0 && !is_primary(connection)) {
		add_output(connection, "ERROR READONLY x\r\n");
		return;
	}
	if (strncmp(text, "BEGIN", 5) == 0) {
		connection->state = 'T';
		connection->wrote = false;
		add_output(connection, "COMPLETE -\r\n");
		return;
	}
	if (strcmp(text, "ROLLBACK") == 0) {
		connection->state = 'I';
		add_output(connection, "COMPLETE -\r\n");
		return;
	}
	standin->counts.statements++;
	if (is_wrong_user(connection, text))
		standin->counts.wrong_users++;
	if (strcmp(connection->zone, "z1") != 0 && strstr(text, "valued"))
		standin->counts.wrong_session_values++;
	if (connection->zone[0] && strstr(text, "plain"))
		standin->counts.values_left++;
	if (strstr(text, "inside") && connection->state != 'T')
		standin->counts.statements_without_begin++;
	if (strncmp(text, "WRITE", 5) == 0 && !strstr(text, "inside") &&
	    connection->state == 'T')
		standin->counts.statements_within_another++;
	if (strstr(text, "alone") && connection->state == 'T')
		standin->counts.statements_within_another++;
	if (strcmp(text, "COMMIT") == 0) {
		if (connection->wrote)
			commit(connection);
		connection->state = 'I';
		add_output(connection, "COMPLETE sig\r\n");
		return;
	}
	if (strncmp(text, "WRITE", 5) == 0 ||
	    strncmp(text, "EXECUTE w", 9) == 0) {
		if (!is_primary(connection)) {
			add_output(connection, "ERROR READONLY x\r\n");
			return;
		}
		connection->wrote = true;
		if (connection->state == 'I')
			commit(connection);
	}
	evbuffer_add_printf(connection->output,
			    "DATAROW row %s\r\nCOMPLETE sig\r\n",
			    connection->target->id);
}

/* Returns true if a target has more connections than it accepts, with the one
 * that has just been started. */
static bool is_over_limit(const target_t *target)
{
	const connection_t *connection;
	uint32_t count = 0;

	TAILQ_FOREACH(connection, &target->standin->connections, entry) {
		if (connection->target == target)
			count++;
	}
	return target->standin->connections_max > 0 &&
	       count > target->standin->connections_max;
}

static void on_line(connection_t *connection, char *line)
{
	char *text;

	if (connection->target->silent)
		return;
	if (!connection->started) {
		connection->started = true;
		connection->target->standin->counts.connections++;
		if (strstr(line, "key"))
			connection->target->standin->counts.keys_received++;
		sscanf(line, "STARTUP %*s %63s", connection->user);
		if (connection->target->standin->full ||
		    is_over_limit(connection->target)) {
			connection->target->standin->counts
				.refused_connections++;
			add_output(connection, "ERROR CONNLIMIT x\r\n");
			finish_answer(connection);
			return;
		}
		if (strstr(line, connection->target->id)) {
			finish_answer(connection);
		} else {
			add_output(connection, "ERROR MOVED x\r\n");
			finish_answer(connection);
		}
		return;
	}
	text = strchr(line, ' ');
	text = text ? strchr(text + 1, ' ') : NULL;
	if (!text)
		return;
	if (strncmp(line, "QUERY - ", 8) != 0 &&
	    evbuffer_get_length(connection->target->standin->next_answer) > 0) {
		send_next_answer(connection);
		return;
	}
	run_statement(connection, text + 1);
	finish_answer(connection);
}

static void on_connection_readable(struct bufferevent *events, void *context)
{
	connection_t *connection = context;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(events), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		on_line(connection, line);
		free(line);
	}
}

static void on_connection_event(struct bufferevent *events, short what,
				void *context)
{
	(void)events;
	(void)what;
	close_connection(context);
}

static void on_connection(struct evconnlistener *listener, evutil_socket_t fd,
			  struct sockaddr *address, int length, void *context)
{
	target_t *target = context;
	connection_t *connection = check_allocate(sizeof(*connection));
	int on = 1;

	(void)listener;
	(void)address;
	(void)length;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	connection->target = target;
	connection->state = 'I';
	connection->output = evbuffer_new();
	connection->timer =
		evtimer_new(target->standin->base, send_output, connection);
	connection->events = bufferevent_socket_new(target->standin->base, fd,
						    BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->events, on_connection_readable, NULL,
			  on_connection_event, connection);
	bufferevent_enable(connection->events, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&target->standin->connections, connection, entry);
}

void standin_target_reset(standin_t *standin, uint32_t target)
{
	connection_t *connection;
	connection_t *next;

	for (connection = TAILQ_FIRST(&standin->connections); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		if (connection->target->index == target)
			close_connection(connection);
	}
}

void standin_answer_next(standin_t *standin, const void *bytes, size_t size,
			 size_t piece_bytes)
{
	evbuffer_add(standin->next_answer, bytes, size);
	standin->next_piece_bytes = piece_bytes;
}

void standin_target_send(standin_t *standin, uint32_t target, const void *bytes,
			 size_t size)
{
	connection_t *connection;

	TAILQ_FOREACH(connection, &standin->connections, entry) {
		if (connection->target->index == target)
			bufferevent_write(connection->events, bytes, size);
	}
}

void standin_target_silence(standin_t *standin, uint32_t target, bool silent)
{
	standin->targets[target].silent = silent;
}

void standin_target_stop(standin_t *standin, uint32_t target)
{
	evconnlistener_free(standin->targets[target].listener);
	standin->targets[target].listener = NULL;
	standin_target_reset(standin, target);
}

void standin_target_start(standin_t *standin, uint32_t index)
{
	target_t *target = &standin->targets[index];
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(target->port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->listener = evconnlistener_new_bind(
		standin->base, on_connection, target,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
		(struct sockaddr *)&address, sizeof(address));
	if (!target->listener)
		abort();
	target->applied = standin->number;
}

static struct evhttp *start_http(standin_t *standin, uint16_t port,
				 void (*handler)(struct evhttp_request *,
						 void *))
{
	struct evhttp *http = evhttp_new(standin->base);

	if (!http || evhttp_bind_socket(http, "127.0.0.1", port) != 0)
		abort();
	evhttp_set_gencb(http, handler, standin);
	return http;
}

standin_t *standin_new(struct event_base *base, uint16_t first_port)
{
	standin_t *standin = check_allocate(sizeof(*standin));
	uint32_t i;

	standin->base = base;
	standin->first_port = first_port;
	standin->revision = 1;
	standin->era = 1;
	standin->term = 1;
	standin->next_answer = evbuffer_new();
	TAILQ_INIT(&standin->watches);
	TAILQ_INIT(&standin->connections);
	standin->store =
		start_http(standin, standin_store_port(standin), on_store_call);
	standin->orders =
		start_http(standin, standin_order_port(standin), on_order);
	for (i = 0; i < STANDIN_TARGETS; i++) {
		target_t *target = &standin->targets[i];

		target->standin = standin;
		target->index = i;
		target->port = (uint16_t)(first_port + 2 + i);
		snprintf(target->id, sizeof(target->id), "i-%u", i);
		standin_target_start(standin, i);
		store_target_entry(standin, target);
	}
	return standin;
}

void standin_free(standin_t *standin)
{
	watch_t *watch;
	watch_t *next;
	size_t i;

	for (watch = TAILQ_FIRST(&standin->watches); watch; watch = next) {
		next = TAILQ_NEXT(watch, entry);
		end_watch(watch);
	}
	for (i = 0; i < STANDIN_TARGETS; i++) {
		if (standin->targets[i].listener)
			standin_target_stop(standin, (uint32_t)i);
		else
			standin_target_reset(standin, (uint32_t)i);
	}
	evhttp_free(standin->store);
	evhttp_free(standin->orders);
	evbuffer_free(standin->next_answer);
	for (i = 0; i < standin->item_count; i++)
		free(standin->items[i].value);
	free_copy(standin);
	free(standin);
}

uint16_t standin_store_port(const standin_t *standin)
{
	return standin->first_port;
}

uint16_t standin_order_port(const standin_t *standin)
{
	return (uint16_t)(standin->first_port + 1);
}

standin_counts_t standin_counts(const standin_t *standin)
{
	return standin->counts;
}

uint32_t standin_primary(const standin_t *standin)
{
	return standin->primary;
}

void standin_set_tenants(standin_t *standin, uint32_t count)
{
	standin->tenants = count;
}

/* Writes the field of the tenants, or nothing without tenants. */
static void format_tenants(const standin_t *standin, char *text, size_t size)
{
	size_t used = 0;
	uint32_t i;

	text[0] = '\0';
	for (i = 0; i < standin->tenants && used < size; i++)
		used += (size_t)snprintf(
			text + used, size - used,
			"%s{\"name\":\"t%u\",\"api_keys\":[\"key-t%u\"]}%s",
			i == 0 ? ",\"tenants\":[" : ",", i, i,
			i + 1 == standin->tenants ? "]" : "");
}

void standin_configure(standin_t *standin, uint64_t version,
		       const char *route_name)
{
	char tenants[1024];
	char value[2048];

	format_tenants(standin, tenants, sizeof(tenants));
	snprintf(value, sizeof(value),
		 "{\"version\":%" PRIu64 ",\"routes\":["
		 "{\"host\":\"main\",\"type\":\"primary\",\"service\":\"s1\","
		 "\"timeout_ms\":1000,\"target_latency_ms\":300},"
		 "{\"host\":\"own\",\"type\":\"read_your_writes\","
		 "\"service\":\"s1\",\"timeout_ms\":1000,"
		 "\"target_latency_ms\":300,\"max_staleness_ms\":2500},"
		 "{\"host\":\"%s\",\"type\":\"bounded\",\"service\":\"s1\","
		 "\"timeout_ms\":1000,\"target_latency_ms\":300,"
		 "\"max_staleness_ms\":1500}],"
		 "\"services\":[{\"name\":\"s1\",\"max_connections\":%u,"
		 "\"sync_replicas\":%u}],\"limits\":{\"tx_idle_ms\":3000}%s}",
		 version, route_name,
		 standin->connections_max > 0 ? standin->connections_max : 22,
		 standin->synchronous ? 1U : 0U, tenants);
	standin_store_put(standin, "op/config", value);
}

void standin_store_refuse(standin_t *standin, bool refuses)
{
	standin->refuses = refuses;
}

void standin_store_slow(standin_t *standin, uint32_t delay_ms)
{
	standin->store_delay_ms = delay_ms;
}

void standin_replicas_lag(standin_t *standin, bool lags)
{
	uint32_t i;

	for (i = 0; i < STANDIN_TARGETS; i++)
		standin->targets[i].lags = lags;
	catch_up(standin);
}

void standin_target_lag(standin_t *standin, uint32_t index, bool lags)
{
	standin->targets[index].lags = lags;
	catch_up(standin);
}

void standin_set_synchronous(standin_t *standin)
{
	standin->synchronous = true;
}

void standin_limit_connections(standin_t *standin, uint32_t connections)
{
	standin->connections_max = connections;
}

void standin_targets_full(standin_t *standin, bool full)
{
	standin->full = full;
}

void standin_targets_slow(standin_t *standin, uint32_t delay_ms)
{
	standin->delay_ms = delay_ms;
}
