#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform/messages.h"

/* Body of an answer: a range has at most 1 MB of items, which base64 and field
 * names grow by less than half. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* A watch is given this long past its own wait, as an answer takes a few ms; it
 * bounds how long a silent connection hides changes. */
#define WATCH_GRACE_MS 400
/* While peers pass on the calls, the store itself is tried this often. */
#define DIRECT_RETRY_MS 1000
/* A call that a peer passes on; longer than any watch, whose caller gives up
 * before. */
#define FORWARD_TIMEOUT_MS 4000

typedef struct store_call store_call_t;

struct store_call {
	TAILQ_ENTRY(store_call) entry;
	store_t *store;
	http_request_t *request;
	store_done_t done;
	store_forward_done_t forwarded;
	void *context;
	clock_ms_t sent_ms;
	/* Sent to the store itself, not to a peer. */
	bool direct;
};

struct store {
	struct event_base *base;
	const clock_source_t *clock;
	store_endpoint_t endpoint;
	clock_ms_t timeout_ms;
	store_usage_t usage;
	TAILQ_HEAD(, store_call) calls;
	store_endpoint_t relays[STORE_RELAYS_MAX];
	size_t relay_count;
	size_t relay_next;
	/* The last call to the store itself failed. */
	bool lost;
	clock_ms_t retry_ms;
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
	return store;
}

/*
 * Frees the client; calls in progress end without their callback.
 */
void store_free(store_t *store)
{
	store_call_t *call;
	store_call_t *next;

	if (!store)
		return;
	for (call = TAILQ_FIRST(&store->calls); call; call = next) {
		next = TAILQ_NEXT(call, entry);
		http_request_cancel(call->request);
		free(call);
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
 * Tells whether the last call to the store itself failed.
 */
bool store_lost(const store_t *store)
{
	return store->lost;
}

/*
 * Notes the result of a call: where the next one goes.
 */
static void note_result(store_call_t *call, int error)
{
	store_t *store = call->store;
	bool failed =
		error == STORE_ERROR_UNKNOWN || error == STORE_ERROR_REFUSED;

	if (failed)
		store->usage.failures++;
	if (!call->direct) {
		if (failed)
			store->relay_next++;
		return;
	}
	if (failed && !store->lost)
		store->retry_ms = clock_source_now(store->clock);
	store->lost = failed;
}

static void end_call(void *context, int status, const char *body, size_t size)
{
	store_call_t *call = context;
	int error = status == 0 ? STORE_ERROR_UNKNOWN
				: platform_store_error(status);
	store_answer_t answer = { 0 };

	TAILQ_REMOVE(&call->store->calls, call, entry);
	note_result(call, error);
	if (call->forwarded) {
		call->forwarded(call->context, status, body, size);
		free(call);
		return;
	}
	if (error == STORE_OK)
		error = platform_items_decode(body, size, &answer);
	call->done(call->context, error, error == STORE_OK ? &answer : NULL,
		   call->sent_ms);
	platform_items_release(&answer);
	free(call);
}

/*
 * Chooses where a call goes: to the store, or, while it cannot be reached, to a
 * peer, but for one call now and then.
 */
static const store_endpoint_t *choose_endpoint(store_t *store, bool retries)
{
	clock_ms_t now_ms = clock_source_now(store->clock);

	if (!store->lost || store->relay_count == 0)
		return &store->endpoint;
	if (retries && now_ms >= store->retry_ms) {
		store->retry_ms = now_ms + DIRECT_RETRY_MS;
		return &store->endpoint;
	}
	return &store->relays[store->relay_next % store->relay_count];
}

/*
 * Sends a call. path and body may be NULL for lack of memory; a body makes it a
 * POST.
 */
static int send_call(store_t *store, const store_call_t *prepared,
		     const store_endpoint_t *endpoint, const char *path,
		     const char *body, clock_ms_t timeout_ms)
{
	http_request_options_t options = {
		.address = endpoint->address,
		.port = endpoint->port,
		.method = body ? HTTP_METHOD_POST : HTTP_METHOD_GET,
		.path = path,
		.body = body,
		.timeout_ms = timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};
	store_call_t *call = path ? malloc(sizeof(*call)) : NULL;

	if (!call)
		return STORE_ERROR_MEMORY;
	*call = *prepared;
	call->store = store;
	call->sent_ms = clock_source_now(store->clock);
	call->direct = endpoint == &store->endpoint;
	call->request =
		http_request_send(store->base, &options, end_call, call);
	if (!call->request) {
		free(call);
		return STORE_ERROR_MEMORY;
	}
	TAILQ_INSERT_TAIL(&store->calls, call, entry);
	return STORE_OK;
}

/*
 * Starts a call of the product's own and frees path and body.
 */
static int start_call(store_t *store, char *path, char *body,
		      clock_ms_t timeout_ms, store_done_t done, void *context,
		      bool retries)
{
	const store_call_t call = { .done = done, .context = context };
	int error = send_call(store, &call, choose_endpoint(store, retries),
			      path, body, timeout_ms);

	free(path);
	free(body);
	return error;
}

/*
 * Passes a peer's call on to the store itself; body is NULL for a GET.
 */
int store_forward(store_t *store, const char *path, const char *body,
		  store_forward_done_t done, void *context)
{
	const store_call_t call = { .forwarded = done, .context = context };

	store->usage.forwarded++;
	return send_call(store, &call, &store->endpoint, path, body,
			 FORWARD_TIMEOUT_MS);
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
	return store->usage;
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
