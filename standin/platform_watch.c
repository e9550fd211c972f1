#include <event2/buffer.h>
#include <stdlib.h>

#include "platform_kv.h"
#include "platform_server.h"

/* An open watch of the keys from key to end, which is excluded, or of the
 * single key if end is empty. */
struct watcher {
	TAILQ_ENTRY(watcher) entry;
	server_t *server;
	struct evhttp_request *request;
	bytes_t key;
	bytes_t end;
	uint64_t start_revision;
	/* Index of the next record of the store to examine. */
	size_t next;
};

/*
 * Sends one message as a line and an HTTP chunk of its own. Takes over the
 * reference to result.
 */
static void send_message(struct evhttp_request *request, json_t *result)
{
	json_t *message = require_memory(json_pack("{s:o}", "result", result));
	struct evbuffer *chunk = require_memory(evbuffer_new());
	char *text = require_memory(json_dumps(message, JSON_COMPACT));

	evbuffer_add_printf(chunk, "%s\n", text);
	evhttp_send_reply_chunk(request, chunk);
	evbuffer_free(chunk);
	free(text);
	json_decref(message);
}

static void free_watcher(watcher_t *watcher)
{
	bytes_free(&watcher->key);
	bytes_free(&watcher->end);
	free(watcher);
}

static void watcher_closed(void *context)
{
	watcher_t *watcher = context;

	TAILQ_REMOVE(&watcher->server->watchers, watcher, entry);
	watcher->server->open_watches--;
	free_watcher(watcher);
}

static bool watcher_matches(const watcher_t *watcher, const record_t *record)
{
	const entry_t *entry = record->entry;
	const version_t *version = &entry->versions[record->version];

	return version->mod_revision >= watcher->start_revision &&
	       bytes_compare(&entry->key, &watcher->key) >= 0 &&
	       (watcher->end.size > 0
			? bytes_compare(&entry->key, &watcher->end) < 0
			: bytes_compare(&entry->key, &watcher->key) == 0);
}

/*
 * Sends the events that the watcher has not got yet, all in one message.
 */
static void flush_watcher(watcher_t *watcher)
{
	const store_t *store = &watcher->server->store;
	json_t *events = require_memory(json_array());

	for (; watcher->next < store->record_count; watcher->next++) {
		const record_t *record = &store->records[watcher->next];

		if (!watcher_matches(watcher, record))
			continue;
		json_array_append_new(
			events, require_memory(json_pack(
					"{s:o}", "kv",
					kv_pair(record->entry,
						&record->entry->versions
							 [record->version]))));
	}
	if (json_array_size(events) > 0)
		send_message(watcher->request,
			     require_memory(json_pack("{s:o,s:O}", "header",
						      kv_header(store),
						      "events", events)));
	json_decref(events);
}

/*
 * Sends new events to all watches.
 */
void watch_flush(server_t *server)
{
	watcher_t *watcher;

	if (server->faults.silent)
		return;
	TAILQ_FOREACH(watcher, &server->watchers, entry)
		flush_watcher(watcher);
}

/*
 * Sends a progress notification to all watches each second: the revision up to
 * which they have got all events.
 */
void watch_progress(evutil_socket_t fd, short what, void *context)
{
	server_t *server = context;
	watcher_t *watcher;

	(void)fd;
	(void)what;
	if (server->faults.silent)
		return;
	watch_flush(server);
	TAILQ_FOREACH(watcher, &server->watchers, entry)
		send_message(
			watcher->request,
			require_memory(json_pack("{s:o}", "header",
						 kv_header(&server->store))));
}

/*
 * Decodes the request of a watch. Returns NULL if it is malformed.
 */
static watcher_t *parse_watch(server_t *server, struct evhttp_request *request)
{
	watcher_t *watcher = require_memory(calloc(1, sizeof(*watcher)));
	json_t *body = server_body(request);
	const json_t *create = json_object_get(body, "create_request");
	bool valid = bytes_from_json(create, "key", &watcher->key) &&
		     bytes_from_json(create, "range_end", &watcher->end) &&
		     number_from_json(create, "start_revision",
				      &watcher->start_revision);

	json_decref(body);
	if (!valid || watcher->key.size == 0) {
		free_watcher(watcher);
		return NULL;
	}
	watcher->server = server;
	watcher->request = request;
	if (watcher->start_revision == 0)
		watcher->start_revision = server->store.revision + 1;
	return watcher;
}

/*
 * Cancels a watch that would start at a compacted revision.
 */
static void cancel_compacted(const server_t *server,
			     struct evhttp_request *request)
{
	send_message(
		request,
		require_memory(json_pack(
			"{s:o,s:b,s:o}", "header", kv_header(&server->store),
			"canceled", 1, "compact_revision",
			number_to_json(server->store.compact_revision))));
	evhttp_send_reply_end(request);
}

/*
 * Starts a watch. Its answer is a stream of messages until the connection ends.
 */
void watch_start(server_t *server, struct evhttp_request *request)
{
	watcher_t *watcher = parse_watch(server, request);

	server->watches++;
	if (!watcher) {
		server_refuse(request, "malformed watch request");
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply_start(request, HTTP_OK, NULL);
	send_message(request,
		     require_memory(json_pack("{s:o,s:b}", "header",
					      kv_header(&server->store),
					      "created", 1)));
	if (watcher->start_revision < server->store.compact_revision) {
		cancel_compacted(server, request);
		free_watcher(watcher);
		return;
	}
	TAILQ_INSERT_TAIL(&server->watchers, watcher, entry);
	server->open_watches++;
	server_leave_unanswered(server, request, watcher_closed, watcher);
	watch_flush(server);
}
