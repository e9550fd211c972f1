#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "coalescer.h"
#include "platform/messages.h"

/* Maximum size of an answer's body. A range has at most 1 MB of items; base64
 * and the field names enlarge it by less than half. */
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* Timeout of a watch beyond the time that the store holds it open. An answer
 * takes a few ms; a longer grace would extend the time that changes stay unseen
 * on a dead connection. */
#define WATCH_GRACE_MS 400
/* Interval at which the store itself is tried while relays forward the calls.
 */
#define DIRECT_RETRY_MS 1000
/* Timeout of a read through the reader, which waits for equal reads and then
 * for the store. After the timeout the read is sent to the store directly, and
 * that attempt must still finish before a grant expires. */
#define READER_TIMEOUT_MS 400
/* Exponential backoff after all readers have failed. During the first backoff,
 * about a second's worth of reads go to the store directly. The maximum is the
 * time until a reader that no longer runs is evicted. It is also the time after
 * which a later reader gives way to the first one again. */
#define READER_BACKOFF_MS 1000
#define READER_BACKOFF_MAX_MS 8000
/* Reads wait for equal ones until this long after the last forwarded read. A
 * proxy that does not read for peers thus sends its reads without delay. */
#define COALESCE_FOR_PEERS_MS 5000

typedef struct store_call store_call_t;

/*
 * Returns the revision of this number in an era. number is at most
 * STORE_REVISION_NUMBER_MAX.
 */
uint64_t store_revision(uint64_t era, uint64_t number)
{
	return era << STORE_REVISION_BITS | number;
}

/*
 * Returns the era of a revision.
 */
uint64_t store_revision_era(uint64_t revision)
{
	return revision >> STORE_REVISION_BITS;
}

/*
 * Returns the store's own number of a revision, which is that of its messages.
 */
uint64_t store_revision_number(uint64_t revision)
{
	return revision & STORE_REVISION_NUMBER_MAX;
}

/* Where a call goes. */
typedef enum {
	ROUTE_DIRECT,
	/* To the reader: the proxy that reads the store for its failure
	 * domain. */
	ROUTE_READER,
	/* To a relay: a peer that forwards the call, because the store cannot
	 * be reached from here. */
	ROUTE_RELAY,
} route_kind_t;

struct store_call {
	TAILQ_ENTRY(store_call) entry;
	store_t *store;
	http_request_t *request;
	/* Callback of this proxy's own call, or of a call forwarded for a
	 * peer. The other one is NULL. */
	store_done_t done;
	store_forward_done_t forwarded;
	void *context;
	clock_ms_t sent_ms;
	route_kind_t route;
	/* For a change: the era of the items on which it was decided. */
	bool changes;
	uint64_t era;
	/* Kept so that a read can be sent again on another route. */
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
	/* Index of the reader in use, and the time of the last change to
	 * another reader. */
	size_t reader_index;
	clock_ms_t reader_changed_ms;
	/* Current backoff after all readers have failed, and when it ends. */
	clock_ms_t reader_backoff_ms;
	clock_ms_t reader_retry_ms;
	/* Time of the last read forwarded for a peer; 0 if there was none. */
	clock_ms_t last_forwarded_read_ms;
	store_endpoint_t relays[STORE_RELAYS_MAX];
	size_t relay_count;
	size_t relay_index;
	/* The last call sent to the store itself failed. */
	bool unreachable;
	/* When the store itself is tried again while it is unreachable. */
	clock_ms_t direct_retry_ms;
	/* Highest era that an answer has shown, and who is told when it rises.
	 */
	uint64_t era;
	void (*era_changed)(void *context, uint64_t previous);
	void *era_context;
};

/*
 * Creates a client of the store at an IP address and port. timeout_ms is the
 * timeout of each call except watches. The clock must outlive the client.
 * Returns NULL without memory.
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
 * Frees the client. Calls in progress are cancelled without their callback,
 * except for calls forwarded for peers: their callback gets status 0, because
 * the peers wait for a reply.
 */
void store_free(store_t *store)
{
	http_body_t empty = { .text = "" };
	const store_reply_t no_answer = { .body = &empty };
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
			call->forwarded(call->context, &no_answer);
		free_call(call);
	}
	free(store);
}

/*
 * Sets the relays: peers that forward calls while the store cannot be reached
 * from here. A relay forwards a call to the store itself, so that the answer
 * reflects the store after the call was sent, like that of a direct call.
 */
void store_set_relays(store_t *store, const store_endpoint_t *relays,
		      size_t count)
{
	store->relay_count =
		count < STORE_RELAYS_MAX ? count : STORE_RELAYS_MAX;
	memcpy(store->relays, relays, store->relay_count * sizeof(*relays));
}

/*
 * Sets the readers: the proxies that may read the store for this failure
 * domain, in order of preference. There are none if this proxy is the first
 * reader itself. Reads are sent to the reader, which combines equal ones, so
 * that the number of calls to the store grows with the failure domains and not
 * with the proxies. The reader sends a read only after it was requested, so
 * that the answer is as recent as that of a direct call.
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
 * Tells whether the last call sent to the store itself was refused or got no
 * answer.
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
 * Records the result of a call through a reader. After a failure the next
 * reader is used. When all readers have failed, none is used until the backoff
 * has passed.
 */
static void record_reader_result(store_t *store, bool failed)
{
	clock_ms_t now_ms = clock_source_now(store->clock);

	if (!failed) {
		store->reader_backoff_ms = 0;
		store->usage.reads_by_reader++;
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
 * Records the result of a call, which decides on the route of later calls.
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

/*
 * Sets who is told when the era of the store rises. The handler is called
 * before the callback of the call whose answer has shown it.
 */
void store_set_era_handler(store_t *store,
			   void (*changed)(void *context, uint64_t previous),
			   void *context)
{
	store->era_changed = changed;
	store->era_context = context;
}

uint64_t store_era(const store_t *store)
{
	return store->era;
}

/*
 * Records the era that an answer names.
 */
static void note_era(store_t *store, uint64_t era)
{
	uint64_t previous = store->era;

	if (era <= previous)
		return;
	store->era = era;
	if (store->era_changed)
		store->era_changed(store->era_context, previous);
}

/*
 * Returns the error of an answer. Without an era its revisions cannot be
 * compared with those of other answers, so that it counts as no answer: a peer
 * has passed it on that does not know eras. A change that was made in another
 * era than that of the items on which it was decided may have had any effect.
 */
static int error_of(const store_call_t *call, const store_reply_t *reply)
{
	int error = reply->status == 0 ? STORE_ERROR_UNKNOWN
				       : platform_store_error(reply->status);

	if (error == STORE_OK && reply->era == 0 && call->store->era != 0)
		return STORE_ERROR_UNKNOWN;
	if (error == STORE_OK && call->changes && reply->era != call->era)
		return STORE_ERROR_UNKNOWN;
	return error;
}

/*
 * Puts the era into the revisions of an answer.
 */
static void set_era(store_answer_t *answer, uint64_t era)
{
	size_t i;

	answer->revision = store_revision(era, answer->revision);
	for (i = 0; i < answer->count; i++)
		answer->items[i].revision =
			store_revision(era, answer->items[i].revision);
}

/*
 * Ends a call and passes its answer to the callback. A read that failed at the
 * reader is first sent again to the store directly.
 */
static void end_call(void *context, const store_reply_t *reply)
{
	store_call_t *call = context;
	int error = error_of(call, reply);
	store_answer_t answer = { 0 };

	call->request = NULL;
	note_era(call->store, reply->era);
	/* A change that was made in another era has reached the store. */
	record_result(call, error != STORE_OK && reply->era != 0 &&
					    reply->status == 200
				    ? STORE_OK
				    : error);
	if (call->route == ROUTE_READER && is_failure(error)) {
		/* sent_ms stays that of the first attempt. This is safe: it
		 * makes the answer appear older than it is, never newer. */
		call->route = ROUTE_DIRECT;
		if (send_read(call))
			return;
	}
	TAILQ_REMOVE(&call->store->calls, call, entry);
	if (call->forwarded) {
		call->forwarded(call->context, reply);
		free_call(call);
		return;
	}
	if (error == STORE_OK)
		error = platform_items_decode(reply->body->text,
					      reply->body->size, &answer);
	set_era(&answer, reply->era);
	call->done(call->context, error, error == STORE_OK ? &answer : NULL,
		   call->sent_ms);
	platform_items_release(&answer);
	free_call(call);
}

/*
 * Ends a call that was sent by a request of its own and not coalesced.
 */
static void on_answered(void *context, int status, const char *text,
			size_t size)
{
	store_call_t *call = context;
	http_body_t body = { .text = text, .size = size };
	const store_reply_t reply = {
		.status = status,
		.era = platform_era_parse(
			http_request_answer_header(call->request)),
		.body = &body,
	};

	end_call(call, &reply);
	http_body_release(&body);
}

/*
 * Chooses the route of a call. Reads go to the reader of the failure domain.
 * Other calls, and reads while no reader is usable, go to the store, or to a
 * relay while the store is unreachable. Even then, a call with may_probe_store
 * set goes to the store once per DIRECT_RETRY_MS, to notice that the store is
 * reachable again.
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
		.answer_header = PLATFORM_HEADER_ERA,
	};

	call->request = http_request_send(call->store->base, &options,
					  on_answered, call);
	return call->request != NULL;
}

/*
 * Sends a read on its route. Returns false without memory.
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
 * Sends a call with the callback, context and route of prepared: a POST if body
 * is not NULL, otherwise a read. Returns STORE_ERROR_MEMORY if path is NULL, as
 * after a failed allocation.
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
 * Starts a read of this proxy itself, not one of a peer. Frees path.
 */
static int start_read(store_t *store, char *path, clock_ms_t timeout_ms,
		      store_done_t done, void *context, bool may_probe_store)
{
	const store_call_t call = {
		.done = done,
		.context = context,
		.route = choose_route(store, true, may_probe_store),
	};
	int error = send_call(store, &call, path, NULL, timeout_ms);

	free(path);
	return error;
}

/*
 * Forwards a peer's call to the store itself. body is NULL for a GET, which may
 * be combined with equal reads of this proxy and of other peers. Returns
 * STORE_OK, or STORE_ERROR_MEMORY, in which case done is not called.
 */
int store_forward(store_t *store, const char *path, const char *body,
		  store_forward_done_t done, void *context)
{
	const store_call_t call = { .forwarded = done,
				    .context = context,
				    .route = ROUTE_DIRECT };
	clock_ms_t wait_ms = platform_watch_wait(path);
	/* The same timeout as for this proxy's own call, because the two may be
	 * combined into one. */
	clock_ms_t timeout_ms =
		wait_ms < 0 ? store->timeout_ms : wait_ms + WATCH_GRACE_MS;

	store->usage.forwarded++;
	if (!body)
		store->last_forwarded_read_ms = clock_source_now(store->clock);
	return send_call(store, &call, path, body, timeout_ms);
}

/*
 * Reads the keys below a prefix, linearizably, beginning behind after_key if it
 * is not NULL. The rest of a truncated answer is read by another call with
 * after_key set to its last key. Returns STORE_OK, or STORE_ERROR_MEMORY, in
 * which case done is not called.
 */
int store_range(store_t *store, const char *prefix, const char *after_key,
		store_done_t done, void *context)
{
	store->usage.ranges++;
	return start_read(store, platform_range_path(prefix, after_key),
			  store->timeout_ms, done, context, true);
}

/*
 * Waits up to wait_ms for changes below a prefix after a revision. The answer
 * has no items if there was no change. If it is of another era than
 * after_revision, changes before those that it shows are missing. Returns as
 * store_range().
 */
int store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		clock_ms_t wait_ms, store_done_t done, void *context)
{
	store->usage.watches++;
	return start_read(
		store,
		platform_watch_path(
			prefix, store_revision_number(after_revision), wait_ms),
		wait_ms + WATCH_GRACE_MS, done, context, false);
}

/*
 * Makes an atomic change. After STORE_ERROR_UNKNOWN the change may still take
 * effect later, as long as its expectations hold. Returns STORE_OK, or, in
 * which case done is not called, STORE_ERROR_MEMORY, or STORE_ERROR_CONFLICT if
 * the store is known to be in another era than that of the change, or a
 * revision is expected that is of another era.
 */
int store_change(store_t *store, const store_change_t *change,
		 store_done_t done, void *context)
{
	store_call_t call = {
		.done = done,
		.context = context,
		.changes = true,
		.era = change->era,
	};
	char *body;
	size_t i;
	int error;

	if (change->era != store->era)
		return STORE_ERROR_CONFLICT;
	for (i = 0; i < change->expected_count; i++) {
		uint64_t revision = change->expected[i].revision;

		if (revision != 0 &&
		    store_revision_era(revision) != change->era)
			return STORE_ERROR_CONFLICT;
	}
	body = platform_change_body(change);
	if (!body)
		return STORE_ERROR_MEMORY;
	store->usage.changes++;
	call.route = choose_route(store, false, false);
	error = send_call(store, &call, platform_change_path(), body,
			  store->timeout_ms);
	free(body);
	return error;
}

/*
 * Returns the counts of calls so far.
 */
store_usage_t store_usage(const store_t *store)
{
	store_usage_t usage = store->usage;

	usage.sent = coalescer_requests_sent(store->coalescer);
	return usage;
}

/*
 * Returns the name under which an error appears in log lines.
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
