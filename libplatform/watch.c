#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * The watch of all services. The answer is a stream of JSON messages, one per
 * line. evhttp's callback only moves the data to a buffer. The messages are
 * decoded one by one from an event, so that the watch's callback may stop the
 * watch.
 */
struct platform_watch {
	platform_client_t *client;
	platform_fetch_done_t event;
	void *context;
	struct evhttp_connection *connection;
	struct evbuffer *buffer;
	/* Number of bytes at the start of the buffer that are known to contain
	 * no line end. */
	size_t scanned_bytes;
	/* Runs process_next(); active while there may be messages or an error
	 * to report. */
	struct event *message_ready;
	/* Fires when no message has come within the timeout. */
	struct event *silence;
	char *key_prefix;
	/* All changes up to this revision have been reported. */
	uint64_t revision;
	/* The service has confirmed the watch with its first message. */
	bool created;
	/* Bytes of the request may have been sent. */
	bool sent;
	/* The connection has ended; the buffer may still hold messages. */
	bool ended;
	bool too_large;
};

/*
 * Frees a watch without calling its callback.
 */
static void free_watch(platform_watch_t *watch)
{
	if (watch->connection)
		evhttp_connection_free(watch->connection);
	if (watch->message_ready)
		event_free(watch->message_ready);
	if (watch->silence)
		event_free(watch->silence);
	if (watch->buffer)
		evbuffer_free(watch->buffer);
	free(watch->key_prefix);
	free(watch);
}

/*
 * Ends the watch and calls its callback with an error. The callback may free
 * the client, so the client must not be used after this function returns.
 */
static void finish_watch(platform_watch_t *watch, int error)
{
	platform_fetch_done_t event = watch->event;
	void *context = watch->context;

	watch->client->usage.failures++;
	watch->client->watch = NULL;
	free_watch(watch);
	event(context, error, 0, NULL, 0);
}

static int no_answer_error(const platform_watch_t *watch)
{
	if (watch->too_large)
		return PLATFORM_ERROR_TOO_LARGE;
	return watch->sent ? PLATFORM_ERROR_UNKNOWN
			   : PLATFORM_ERROR_UNAVAILABLE;
}

static void end_silent_watch(evutil_socket_t fd, short what, void *context)
{
	platform_watch_t *watch = context;

	(void)fd;
	(void)what;
	finish_watch(watch, no_answer_error(watch));
}

/*
 * Decodes one event and appends it to items, unless its entry is skipped. Its
 * revision must be above the revisions reported before and not below that of
 * the previous event, which is *last, and is stored in *last. Returns
 * PLATFORM_OK, PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY.
 */
static int decode_event(const platform_watch_t *watch, const json_t *event,
			platform_items_t *items, uint64_t *last)
{
	const json_t *type = json_object_get(event, "type");
	const json_t *kv = json_object_get(event, "kv");
	const char *name = type ? json_string_value(type) : "PUT";
	uint64_t least = *last > 0 ? *last : watch->revision + 1;
	int error;

	if (!name || platform_item_revision(kv, last) != PLATFORM_OK ||
	    *last < least)
		return PLATFORM_ERROR_MALFORMED;
	if (strcmp(name, "PUT") == 0)
		error = platform_items_add(items, kv, watch->key_prefix, NULL);
	else if (strcmp(name, "DELETE") == 0)
		error = platform_items_add_removed(items, kv,
						   watch->key_prefix);
	else
		error = PLATFORM_ERROR_MALFORMED;
	if (error != PLATFORM_ENTRY_SKIPPED)
		return error;
	watch->client->usage.skipped_entries++;
	return PLATFORM_OK;
}

/*
 * Checks that the first message confirms the creation of the watch, and that no
 * later message does. Returns PLATFORM_OK or PLATFORM_ERROR_MALFORMED.
 */
static int check_created(platform_watch_t *watch, const json_t *result)
{
	bool created;

	if (platform_json_bool_get(result, "created", &created) !=
		    PLATFORM_OK ||
	    created == watch->created)
		return PLATFORM_ERROR_MALFORMED;
	watch->created = true;
	return PLATFORM_OK;
}

/*
 * Returns the error of a message that cancels the watch:
 * PLATFORM_ERROR_CONFLICT if the store no longer holds the requested changes
 * because it was compacted, PLATFORM_ERROR_MALFORMED if the message is
 * malformed, and otherwise PLATFORM_ERROR_UNKNOWN.
 */
static int canceled_error(const json_t *result)
{
	uint64_t compact_revision;

	if (platform_json_number_get(result, "compact_revision",
				     &compact_revision) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	return compact_revision > 0 ? PLATFORM_ERROR_CONFLICT
				    : PLATFORM_ERROR_UNKNOWN;
}

/*
 * Decodes the events of a message and advances the watch's revision. A message
 * with events advances it only to the revision of the last event, because the
 * header's revision may be ahead of the events when the service sends a backlog
 * in parts. A message without events is a progress notification: all events up
 * to the revision of its header have been sent. Returns as decode_event().
 */
static int decode_events(platform_watch_t *watch, const json_t *result,
			 const json_t *events, platform_items_t *items)
{
	uint64_t revision;
	uint64_t last = 0;
	size_t i;
	int error;

	if (platform_json_revision_get(result, &revision) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	for (i = 0; i < json_array_size(events); i++) {
		error = decode_event(watch, json_array_get(events, i), items,
				     &last);
		if (error != PLATFORM_OK)
			return error;
	}
	if (last > 0)
		revision = last;
	if (revision > watch->revision)
		watch->revision = revision;
	return PLATFORM_OK;
}

/*
 * Decodes one message. Appends its events to items, and sets *report if the
 * watch's revision has advanced, so that the callback must be called. Returns
 * PLATFORM_OK, or the error with which the watch ends.
 */
static int decode_message(platform_watch_t *watch, const json_t *message,
			  platform_items_t *items, bool *report)
{
	const json_t *result = json_object_get(message, "result");
	uint64_t before = watch->revision;
	bool canceled;
	bool first = !watch->created;
	json_t *events;
	int error;

	if (json_is_object(json_object_get(message, "error")))
		return PLATFORM_ERROR_UNKNOWN;
	if (!json_is_object(result) ||
	    platform_json_bool_get(result, "canceled", &canceled) !=
		    PLATFORM_OK ||
	    platform_json_array_get(result, "events", &events) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	if (canceled)
		return canceled_error(result);
	error = check_created(watch, result);
	if (error != PLATFORM_OK)
		return error;
	if (first && json_array_size(events) == 0)
		return PLATFORM_OK;
	error = decode_events(watch, result, events, items);
	*report = watch->revision > before;
	return error;
}

/*
 * Removes the next complete line from the buffer and returns it; the caller
 * frees it. Returns NULL if the buffer holds no complete line.
 */
static char *next_line(platform_watch_t *watch, size_t *length)
{
	struct evbuffer_ptr start;
	struct evbuffer_ptr end;
	char *line;

	evbuffer_ptr_set(watch->buffer, &start, watch->scanned_bytes,
			 EVBUFFER_PTR_SET);
	end = evbuffer_search_eol(watch->buffer, &start, NULL, EVBUFFER_EOL_LF);
	if (end.pos < 0) {
		watch->scanned_bytes = evbuffer_get_length(watch->buffer);
		return NULL;
	}
	watch->scanned_bytes = 0;
	line = evbuffer_readln(watch->buffer, length, EVBUFFER_EOL_LF);
	return line;
}

/*
 * Decodes one line and reports its events. The watch is not used after the
 * callback, which may stop it; the event is therefore activated for the next
 * line before the callback.
 */
static void handle_line(platform_watch_t *watch, const char *line,
			size_t length)
{
	struct timeval silence = platform_timeval(PLATFORM_WATCH_SILENCE_MS);
	json_t *message = json_loadb(line, length, 0, NULL);
	platform_fetch_done_t event = watch->event;
	void *context = watch->context;
	uint64_t revision;
	platform_items_t items = { 0 };
	bool report = false;
	int error = PLATFORM_ERROR_MALFORMED;

	if (message)
		error = decode_message(watch, message, &items, &report);
	json_decref(message);
	revision = watch->revision;
	if (error == PLATFORM_OK && evtimer_add(watch->silence, &silence) != 0)
		error = PLATFORM_ERROR_MEMORY;
	if (error != PLATFORM_OK) {
		finish_watch(watch, error);
	} else {
		event_active(watch->message_ready, EV_TIMEOUT, 0);
		if (report)
			event(context, PLATFORM_OK, revision, items.items,
			      items.count);
	}
	platform_items_free(&items);
}

/*
 * Processes the next message. When all messages are processed and the
 * connection has ended, ends the watch.
 */
static void process_next(evutil_socket_t fd, short what, void *context)
{
	platform_watch_t *watch = context;
	size_t length;
	char *line;

	(void)fd;
	(void)what;
	line = watch->too_large ? NULL : next_line(watch, &length);
	if (line)
		handle_line(watch, line, length);
	else if (watch->ended || watch->too_large)
		finish_watch(watch, no_answer_error(watch));
	free(line);
}

/*
 * Called by evhttp for each chunk of the answer.
 */
static void receive_data(struct evhttp_request *request, void *context)
{
	platform_watch_t *watch = context;

	/* The body of an answer with an error status holds no messages. */
	if (evhttp_request_get_response_code(request) != HTTP_OK)
		return;
	evbuffer_add_buffer(watch->buffer,
			    evhttp_request_get_input_buffer(request));
	if (evbuffer_get_length(watch->buffer) >
	    PLATFORM_WATCH_BUFFER_MAX_BYTES)
		watch->too_large = true;
	event_active(watch->message_ready, EV_TIMEOUT, 0);
}

static void on_request_error(enum evhttp_request_error error, void *context)
{
	platform_watch_t *watch = context;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		watch->too_large = true;
}

static void on_request_end(struct evhttp_request *request, void *context)
{
	platform_watch_t *watch = context;

	(void)request;
	watch->ended = true;
	event_active(watch->message_ready, EV_TIMEOUT, 0);
}

/*
 * Returns the text of the request, or NULL if there is no memory.
 */
static char *watch_request(const platform_watch_t *watch)
{
	char *end = platform_prefix_end(watch->key_prefix);
	json_t *request;
	char *text;

	if (!end)
		return NULL;
	request = json_pack("{s:{s:o,s:o,s:o,s:b}}", "create_request", "key",
			    platform_json_bytes(watch->key_prefix,
						strlen(watch->key_prefix)),
			    "range_end", platform_json_bytes(end, strlen(end)),
			    "start_revision",
			    platform_json_number(watch->revision + 1),
			    "progress_notify", 1);
	free(end);
	text = request ? json_dumps(request, JSON_COMPACT) : NULL;
	json_decref(request);
	return text;
}

/*
 * Connects and sends the request. Returns PLATFORM_OK or PLATFORM_ERROR_MEMORY.
 * If connecting cannot be started, it returns PLATFORM_OK and the watch later
 * ends with PLATFORM_ERROR_UNAVAILABLE.
 */
static int send_watch(platform_watch_t *watch, const char *body)
{
	const platform_client_t *client = watch->client;
	platform_http_t http = {
		.address = client->address,
		.port = client->port,
		.path = "/v3/watch",
		.body = body,
		.timeout_ms = client->timeout_ms + PLATFORM_WATCH_SILENCE_MS,
		.body_max_bytes = PLATFORM_WATCH_BODY_MAX_BYTES,
	};
	struct evhttp_request *request;
	int error;

	watch->connection =
		platform_http_connect(client->base, &http, &watch->sent);
	if (!watch->connection)
		return PLATFORM_ERROR_MEMORY;
	request = evhttp_request_new(on_request_end, watch);
	if (!request)
		return PLATFORM_ERROR_MEMORY;
	evhttp_request_set_error_cb(request, on_request_error);
	evhttp_request_set_chunked_cb(request, receive_data);
	error = platform_http_send(watch->connection, &http, request);
	if (error == PLATFORM_ERROR_UNAVAILABLE) {
		on_request_end(NULL, watch);
		return PLATFORM_OK;
	}
	return error;
}

/*
 * Creates the events and the buffer of a watch, sends its request, and starts
 * the client's timeout for the first message. Returns PLATFORM_OK or
 * PLATFORM_ERROR_MEMORY.
 */
static int open_watch(platform_watch_t *watch)
{
	const platform_client_t *client = watch->client;
	struct timeval timeout = platform_timeval(client->timeout_ms);
	char *body;
	int error;

	watch->buffer = evbuffer_new();
	watch->message_ready = evtimer_new(client->base, process_next, watch);
	watch->silence = evtimer_new(client->base, end_silent_watch, watch);
	watch->key_prefix = platform_key(client->prefix, "services", "");
	if (!watch->buffer || !watch->message_ready || !watch->silence ||
	    !watch->key_prefix || evtimer_add(watch->silence, &timeout) != 0)
		return PLATFORM_ERROR_MEMORY;
	body = watch_request(watch);
	if (!body)
		return PLATFORM_ERROR_MEMORY;
	error = send_watch(watch, body);
	free(body);
	return error;
}

/*
 * Starts the watch of all services for the changes after from_revision. event
 * gets each batch of changes in ascending order of their revisions, and the
 * revision up to which all changes have been reported. A progress notification
 * gives an empty batch with a higher revision.
 *
 * The watch ends with one call of event with an error, and does not restart by
 * itself:
 * PLATFORM_ERROR_UNAVAILABLE: no connection was established;
 * PLATFORM_ERROR_UNKNOWN: the connection was lost or the request refused, the
 * service cancelled the watch, the first message did not come within the
 * client's timeout, or no message came for PLATFORM_WATCH_SILENCE_MS;
 * PLATFORM_ERROR_CONFLICT: the store no longer holds the changes since
 * from_revision; the caller must fetch the services and start a watch from the
 * revision of the fetch;
 * PLATFORM_ERROR_TOO_LARGE: a message is too long, or the stream reached
 * PLATFORM_WATCH_BODY_MAX_BYTES;
 * PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY.
 *
 * The service must send a progress notification every second. Returns
 * PLATFORM_OK, PLATFORM_ERROR_CONFLICT if a watch is already running,
 * PLATFORM_ERROR_MALFORMED if from_revision is INT64_MAX or above, or
 * PLATFORM_ERROR_MEMORY.
 */
int platform_watch_start(platform_client_t *client, uint64_t from_revision,
			 platform_fetch_done_t event, void *context)
{
	platform_watch_t *watch;
	int error;

	if (client->watch)
		return PLATFORM_ERROR_CONFLICT;
	if (from_revision >= INT64_MAX)
		return PLATFORM_ERROR_MALFORMED;
	watch = calloc(1, sizeof(*watch));
	if (!watch)
		return PLATFORM_ERROR_MEMORY;
	watch->client = client;
	watch->event = event;
	watch->context = context;
	watch->revision = from_revision;
	error = open_watch(watch);
	if (error != PLATFORM_OK) {
		free_watch(watch);
		return error;
	}
	client->watch = watch;
	client->usage.watches++;
	return PLATFORM_OK;
}

/*
 * Stops the watch without calling its callback. Has no effect if no watch is
 * running.
 */
void platform_watch_stop(platform_client_t *client)
{
	if (!client->watch)
		return;
	free_watch(client->watch);
	client->watch = NULL;
}

/*
 * Returns whether a watch was started and has not ended yet.
 */
bool platform_watch_running(const platform_client_t *client)
{
	return client->watch != NULL;
}
