#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "coalescer.h"
#include "platform/messages.h"

/* Body of an answer: a range has at most 1 MB of items, which base64 and field
 * names grow by less than half. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* A watch is given this long past its own wait, as an answer takes a few ms; it
 * bounds how long a silent connection hides changes. */
#define WATCH_GRACE_MS 400
/* While peers pass on the calls, the store itself is tried this often. */
#define DIRECT_RETRY_MS 1000
/* Time for a read that the reader passes on: it waits for others to join, and
 * then for the store. Without an answer the store is asked directly, which must
 * leave time before a grant runs out. */
#define READER_TIMEOUT_MS 400
/* Readers that have all failed are tried again after this time, which doubles
 * up to the longest: a second's worth of reads, and the time until one that is
 * gone is evicted. After the longest, the first is tried in place of a later
 * one. */
#define READER_BACKOFF_MS 1000
#define READER_BACKOFF_MAX_MS 8000
/* Reads wait for others to join them for this long after a peer's last read. */
#define COALESCE_FOR_PEERS_MS 5000

typedef struct store_call store_call_t;

/* Where a call goes. */
typedef enum {
	ROUTE_DIRECT,
	/* To the proxy that reads for its failure domain. */
	ROUTE_READER,
	/* To a peer, because the store cannot be reached from here. */
	ROUTE_RELAY,
} route_kind_t;

struct store_call {
	TAILQ_ENTRY(store_call) entry;
	store_t *store;
	http_request_t *request;
	store_done_t done;
	store_forward_done_t forwarded;
	void *context;
	clock_ms_t sent_ms;
	route_kind_t route;
	/* Path of a read, for a second way, and its time limit. */
	char *path;
	clock_ms_t timeout_ms;
};

struct store {
	struct event_base *base;
	const clock_source_t *clock;
	store_endpoint_t endpoint;
	clock_ms_t timeout_ms;
	store_usage_t usage;
	coalescer_t *coalescer;
	TAILQ_HEAD(, store_call) calls;
	store_endpoint_t readers[STORE_READERS_MAX];
	size_t reader_count;
	/* The one in use, and since when, if it is not the first. */
	size_t reader_index;
	clock_ms_t reader_changed_ms;
	clock_ms_t reader_backoff_ms;
	clock_ms_t reader_retry_ms;
	/* Last read for a peer; 0: none. */
	clock_ms_t last_forwarded_read_ms;
	store_endpoint_t relays[STORE_RELAYS_MAX];
	size_t relay_count;
	size_t relay_index;
	/* The last call to the store itself failed. */
	bool unreachable;
	clock_ms_t direct_retry_ms;
};

/*
 * Creates a client of the store at an IP number. timeout_ms bounds each call
 * but a watch. Returns NULL without memory.
 */
store_t *store_new(struct event_base *base, const clock_source_t *clock,
		   const char *address, uint16_t port, clock_ms_t timeout_ms)
{
	store_t *store = calloc(1, sizeof(*store));

	if (!store)
		return NULL;
	store->base = base;
	store->clock = clock;
	snprintf(store->endpoint.address, sizeof(store->endpoint.address), "%s",
		 address);
	store->endpoint.port = port;
	store->timeout_ms = timeout_ms;
	TAILQ_INIT(&store->calls);
	store->coalescer =
		coalescer_new(base, &store->endpoint, ANSWER_MAX_BYTES);
	if (store->coalescer)
		return store;
	free(store);
	return NULL;
}

static void free_call(store_call_t *call)
{
	free(call->path);
	free(call);
}

/*
 * Frees the client; calls in progress end without their callback, but for those
 * of peers, which wait for a reply.
 */
void store_free(store_t *store)
{
	http_body_t empty = { .text = "" };
	store_call_t *call;
	store_call_t *next;

	if (!store)
		return;
	coalescer_free(store->coalescer);
	for (call = TAILQ_FIRST(&store->calls); call; call = next) {
		next = TAILQ_NEXT(call, entry);
		if (call->request)
			http_request_cancel(call->request);
		if (call->forwarded)
			call->forwarded(call->context, 0, &empty);
		free_call(call);
	}
	free(store);
}

/*
 * Sets the peers that pass on calls while the store cannot be reached from
 * here. A peer sends them on to the store itself, so that an answer is worth
 * the same: it reflects the store after the call was sent.
 */
void store_set_relays(store_t *store, const store_endpoint_t *relays,
		      size_t count)
{
	store->relay_count =
		count < STORE_RELAYS_MAX ? count : STORE_RELAYS_MAX;
	memcpy(store->relays, relays, store->relay_count * sizeof(*relays));
}

/*
 * Sets the proxies that read for this failure domain, the first one if it
 * answers; none if this proxy is the first. Reads go through it: it sends equal
 * ones once, after they were asked for, so that the calls to the store grow
 * with the failure domains and not with the proxies.
 */
void store_set_readers(store_t *store, const store_endpoint_t *readers,
		       size_t count)
{
	if (count > STORE_READERS_MAX)
		count = STORE_READERS_MAX;
	if (count != store->reader_count ||
	    memcmp(store->readers, readers, count * sizeof(*readers)) != 0) {
		store->reader_index = 0;
		store->reader_backoff_ms = 0;
		store->reader_retry_ms = 0;
	}
	memcpy(store->readers, readers, count * sizeof(*readers));
	store->reader_count = count;
}

clock_ms_t store_now(const store_t *store)
{
	return clock_source_now(store->clock);
}

/*
 * Tells whether the last call to the store itself failed.
 */
bool store_is_unreachable(const store_t *store)
{
	return store->unreachable;
}

static bool is_failure(int error)
{
	return error == STORE_ERROR_UNKNOWN || error == STORE_ERROR_REFUSED;
}

/*
 * Notes the result of a call through a reader: after a failure the next one is
 * used, and for a while none after all have failed.
 */
static void record_reader_result(store_t *store, bool failed)
{
	clock_ms_t now_ms = clock_source_now(store->clock);

	if (!failed) {
		store->reader_backoff_ms = 0;
		store->usage.shared++;
		return;
	}
	store->reader_changed_ms = now_ms;
	if (++store->reader_index < store->reader_count)
		return;
	store->reader_index = 0;
	store->reader_backoff_ms =
		clock_backoff_next(store->reader_backoff_ms, READER_BACKOFF_MS,
				   READER_BACKOFF_MAX_MS);
	store->reader_retry_ms = now_ms + store->reader_backoff_ms;
}

/*
 * Notes the result of a call: where the next one goes.
 */
static void record_result(store_call_t *call, int error)
{
	store_t *store = call->store;
	bool failed = is_failure(error);

	if (failed)
		store->usage.failures++;
	switch (call->route) {
	case ROUTE_READER:
		record_reader_result(store, failed);
		return;
	case ROUTE_RELAY:
		if (failed)
			store->relay_index++;
		return;
	case ROUTE_DIRECT:
		break;
	}
	if (failed && !store->unreachable)
		store->direct_retry_ms = clock_source_now(store->clock);
	store->unreachable = failed;
}

static bool send_read(store_call_t *call);

static void end_call(void *context, int status, http_body_t *body)
{
	store_call_t *call = context;
	int error = status == 0 ? STORE_ERROR_UNKNOWN
				: platform_store_error(status);
	store_answer_t answer = { 0 };

	call->request = NULL;
	record_result(call, error);
	if (call->route == ROUTE_READER && is_failure(error)) {
		/* The call counts from its first way, so that its answer is no
		 * older than it says. */
		call->route = ROUTE_DIRECT;
		if (send_read(call))
			return;
	}
	TAILQ_REMOVE(&call->store->calls, call, entry);
	if (call->forwarded) {
		call->forwarded(call->context, status, body);
		free_call(call);
		return;
	}
	if (error == STORE_OK)
		error = platform_items_decode(body->text, body->size, &answer);
	call->done(call->context, error, error == STORE_OK ? &answer : NULL,
		   call->sent_ms);
	platform_items_release(&answer);
	free_call(call);
}

/*
 * Ends a call that was a request of its own.
 */
static void on_answered(void *context, int status, const char *text,
			size_t size)
{
	http_body_t body = { .text = text, .size = size };

	end_call(context, status, &body);
	http_body_release(&body);
}

/*
 * Chooses where a call goes: a read through the reader of the failure domain;
 * others to the store, or, while it cannot be reached, to a peer, but for one
 * call now and then.
 */
static route_kind_t choose_route(store_t *store, bool is_read,
				 bool may_probe_store)
{
	clock_ms_t now_ms = clock_source_now(store->clock);

	if (store->reader_index != 0 &&
	    now_ms >= store->reader_changed_ms + READER_BACKOFF_MAX_MS)
		store->reader_index = 0;
	if (is_read && store->reader_count > 0 &&
	    now_ms >= store->reader_retry_ms)
		return ROUTE_READER;
	if (!store->unreachable || store->relay_count == 0)
		return ROUTE_DIRECT;
	if (may_probe_store && now_ms >= store->direct_retry_ms) {
		store->direct_retry_ms = now_ms + DIRECT_RETRY_MS;
		return ROUTE_DIRECT;
	}
	return ROUTE_RELAY;
}

static const store_endpoint_t *endpoint_of(const store_call_t *call)
{
	const store_t *store = call->store;

	switch (call->route) {
	case ROUTE_READER:
		return &store->readers[store->reader_index];
	case ROUTE_RELAY:
		return &store->relays[store->relay_index % store->relay_count];
	case ROUTE_DIRECT:
		break;
	}
	return &store->endpoint;
}

static bool send_request(store_call_t *call, http_method_t method,
			 const char *path, const char *body,
			 clock_ms_t timeout_ms)
{
	const store_endpoint_t *endpoint = endpoint_of(call);
	const http_request_options_t options = {
		.address = endpoint->address,
		.port = endpoint->port,
		.method = method,
		.path = path,
		.body = body,
		.timeout_ms = timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
		.accept_gzip = call->route != ROUTE_DIRECT,
	};

	call->request = http_request_send(call->store->base, &options,
					  on_answered, call);
	return call->request != NULL;
}

/*
 * Sends a read on the way that was chosen for it.
 */
static bool send_read(store_call_t *call)
{
	store_t *store = call->store;
	bool watches = platform_watch_wait(call->path) >= 0;
	const coalescer_read_t read = {
		.path = call->path,
		.join_in_flight = watches,
		.wait_window = !watches && store->last_forwarded_read_ms != 0 &&
			       clock_source_now(store->clock) <
				       store->last_forwarded_read_ms +
					       COALESCE_FOR_PEERS_MS,
		.timeout_ms = call->timeout_ms,
	};
	clock_ms_t timeout_ms = call->timeout_ms;

	if (call->route == ROUTE_DIRECT)
		return coalescer_read(store->coalescer, &read, end_call,
				      call) == STORE_OK;
	if (call->route == ROUTE_READER && !watches &&
	    timeout_ms > READER_TIMEOUT_MS)
		timeout_ms = READER_TIMEOUT_MS;
	return send_request(call, HTTP_METHOD_GET, call->path, NULL,
			    timeout_ms);
}

/*
 * Sends a call. path and body may be NULL for lack of memory; a body makes it a
 * POST.
 */
static int send_call(store_t *store, const store_call_t *prepared,
		     const char *path, const char *body, clock_ms_t timeout_ms)
{
	store_call_t *call = path ? malloc(sizeof(*call)) : NULL;
	bool sent;

	if (!call)
		return STORE_ERROR_MEMORY;
	*call = *prepared;
	call->store = store;
	call->sent_ms = clock_source_now(store->clock);
	call->timeout_ms = timeout_ms;
	call->path = strdup(path);
	TAILQ_INSERT_TAIL(&store->calls, call, entry);
	sent = call->path && (body ? send_request(call, HTTP_METHOD_POST, path,
						  body, timeout_ms)
				   : send_read(call));
	if (sent)
		return STORE_OK;
	TAILQ_REMOVE(&store->calls, call, entry);
	free_call(call);
	return STORE_ERROR_MEMORY;
}

/*
 * Starts a call of the product's own and frees path and body.
 */
static int start_call(store_t *store, char *path, char *body,
		      clock_ms_t timeout_ms, store_done_t done, void *context,
		      bool may_probe_store)
{
	const store_call_t call = {
		.done = done,
		.context = context,
		.route = choose_route(store, body == NULL, may_probe_store),
	};
	int error = send_call(store, &call, path, body, timeout_ms);

	free(path);
	free(body);
	return error;
}

/*
 * Passes a peer's call on to the store itself; body is NULL for a GET, which
 * other askers may share.
 */
int store_forward(store_t *store, const char *path, const char *body,
		  store_forward_done_t done, void *context)
{
	const store_call_t call = { .forwarded = done,
				    .context = context,
				    .route = ROUTE_DIRECT };
	clock_ms_t wait_ms = platform_watch_wait(path);
	/* As for the same call of this proxy, which may share it. */
	clock_ms_t timeout_ms =
		wait_ms < 0 ? store->timeout_ms : wait_ms + WATCH_GRACE_MS;

	store->usage.forwarded++;
	if (!body)
		store->last_forwarded_read_ms = clock_source_now(store->clock);
	return send_call(store, &call, path, body, timeout_ms);
}

/*
 * Reads the keys of a prefix, linearizably. A truncated answer goes on behind
 * its last key. Returns STORE_OK, or STORE_ERROR_MEMORY without a callback.
 */
int store_range(store_t *store, const char *prefix, const char *after_key,
		store_done_t done, void *context)
{
	store->usage.ranges++;
	return start_call(store, platform_range_path(prefix, after_key), NULL,
			  store->timeout_ms, done, context, true);
}

/*
 * Waits up to wait_ms for changes of a prefix after a revision.
 */
int store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		clock_ms_t wait_ms, store_done_t done, void *context)
{
	store->usage.watches++;
	return start_call(store,
			  platform_watch_path(prefix, after_revision, wait_ms),
			  NULL, wait_ms + WATCH_GRACE_MS, done, context, false);
}

/*
 * Makes a change, all or nothing. After STORE_ERROR_UNKNOWN it may still take
 * effect while its expectations hold.
 */
int store_change(store_t *store, const store_change_t *change,
		 store_done_t done, void *context)
{
	char *path = strdup(platform_change_path());
	char *body = platform_change_body(change);

	store->usage.changes++;
	if (!body) {
		free(path);
		return STORE_ERROR_MEMORY;
	}
	return start_call(store, path, body, store->timeout_ms, done, context,
			  false);
}

store_usage_t store_usage(const store_t *store)
{
	store_usage_t usage = store->usage;

	usage.sent = coalescer_requests_sent(store->coalescer);
	return usage;
}

/*
 * Returns the name of an error in logs.
 */
const char *store_error_name(int error)
{
	switch (error) {
	case STORE_OK:
		return "ok";
	case STORE_ERROR_MEMORY:
		return "no-memory";
	case STORE_ERROR_REFUSED:
		return "refused";
	case STORE_ERROR_UNKNOWN:
		return "no-answer";
	case STORE_ERROR_CONFLICT:
		return "conflict";
	case STORE_ERROR_HISTORY:
		return "history-gone";
	case STORE_ERROR_MALFORMED:
		return "malformed";
	default:
		return "invalid";
	}
}
