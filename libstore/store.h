#ifndef HORNBEAMTACK_STORE_H
#define HORNBEAMTACK_STORE_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libhttp/http.h"

/* Maximum number of expected revisions, of writes and of removals in one
 * change. */
#define STORE_CHANGE_MAX 32

/* The store counts its eras: a further one begins each time it comes back from
 * an older copy, and gives out revisions again. 0: an answer names none. */
#define STORE_ERA_MAX 4194303
/* A revision holds the store's own number in its lower bits and the era above
 * them, so that a later revision is higher, also in a further era. */
#define STORE_REVISION_BITS 40
#define STORE_REVISION_NUMBER_MAX ((UINT64_C(1) << STORE_REVISION_BITS) - 1)
uint64_t store_revision(uint64_t era, uint64_t number);
uint64_t store_revision_era(uint64_t revision);
uint64_t store_revision_number(uint64_t revision);

/* A key of the store, or the removal of one, as shown by a range or watch. */
typedef struct {
	const char *key;
	/* The value's size bytes and a NUL; NULL if the key was removed. */
	char *value;
	size_t size;
	/* Revision of the store at which the key was last changed. */
	uint64_t revision;
} store_item_t;

/* The answer to a range, watch or change; that to a change has no items. */
typedef struct {
	store_item_t *items;
	size_t count;
	/* The answer ends before the last key of the range. The rest begins
	 * behind last_key, which is NULL if the answer has no readable key. */
	bool truncated;
	const char *last_key;
	/* Revision of the store that the answer reflects. */
	uint64_t revision;
	/* The parsed JSON document, which owns the keys. */
	void *document;
} store_answer_t;

/* The revision that a key must have; 0 if the key must not exist. */
typedef struct {
	const char *key;
	uint64_t revision;
} store_expectation_t;

/* The new value of a key, as a string. */
typedef struct {
	const char *key;
	const char *value;
} store_write_t;

/* An atomic change: if all expectations hold, all writes and removals are made,
 * otherwise none. */
typedef struct {
	/* The era of the items on which the change was decided. */
	uint64_t era;
	store_expectation_t expected[STORE_CHANGE_MAX];
	size_t expected_count;
	store_write_t writes[STORE_CHANGE_MAX];
	size_t write_count;
	const char *removed[STORE_CHANGE_MAX];
	size_t removed_count;
} store_change_t;

enum {
	STORE_OK = 0,
	STORE_ERROR_MEMORY = -1,
	/* The store has refused the call; nothing was done. */
	STORE_ERROR_REFUSED = -2,
	/* There was no answer. A change may have taken effect, or may still
	 * take effect later. */
	STORE_ERROR_UNKNOWN = -3,
	/* A key had another revision than expected; nothing was changed. */
	STORE_ERROR_CONFLICT = -4,
	/* The store has discarded the history after the watch's revision. */
	STORE_ERROR_HISTORY = -5,
	/* The answer could not be decoded. */
	STORE_ERROR_MALFORMED = -6,
};

/* Counts of calls since the client was created. */
typedef struct {
	uint64_t ranges;
	uint64_t watches;
	uint64_t changes;
	/* Calls that were refused or got no answer. */
	uint64_t failures;
	/* Calls forwarded for peers. */
	uint64_t forwarded;
	/* Reads that the reader of the failure domain has answered. */
	uint64_t reads_by_reader;
	/* Reads sent to the store itself; coalesced reads count once. */
	uint64_t sent;
} store_usage_t;

/* Maximum number of relays, the peers that forward calls to the store. */
#define STORE_RELAYS_MAX 8
/* Maximum number of readers, the peers that may read the store for the failure
 * domain. One of them is used at a time. */
#define STORE_READERS_MAX 3

typedef struct {
	char address[128]; /* IP address */
	uint16_t port;
} store_endpoint_t;

typedef struct store store_t;

/* Called once for each call, from the event loop. answer is NULL on an error,
 * and otherwise valid during the callback. sent_ms is the time of store_now()
 * just before the call was first sent. */
typedef void (*store_done_t)(void *context, int error,
			     const store_answer_t *answer, clock_ms_t sent_ms);

store_t *store_new(struct event_base *base, const clock_source_t *clock,
		   const char *address, uint16_t port, clock_ms_t timeout_ms);
void store_free(store_t *store);
void store_set_relays(store_t *store, const store_endpoint_t *relays,
		      size_t count);
void store_set_readers(store_t *store, const store_endpoint_t *readers,
		       size_t count);
bool store_is_unreachable(const store_t *store);
/* Returns the current time of the clock that gives sent_ms. */
clock_ms_t store_now(const store_t *store);
/* The answer to a forwarded call or a coalesced read. */
typedef struct {
	/* HTTP status, or 0 if there was no answer. */
	int status;
	/* Era that the answer names; 0: none. */
	uint64_t era;
	http_body_t *body;
} store_reply_t;

/* Called with the answer to a forwarded call or a coalesced read. The reply is
 * valid during the callback; the callbacks of other clients of the same read
 * may get the same body. */
typedef void (*store_forward_done_t)(void *context, const store_reply_t *reply);
/* Calls changed, from the event loop, when an answer shows a higher era than
 * all before it. */
void store_set_era_handler(store_t *store,
			   void (*changed)(void *context, uint64_t previous),
			   void *context);
/* Returns the highest era that an answer has shown; 0: none. */
uint64_t store_era(const store_t *store);
int store_forward(store_t *store, const char *path, const char *body,
		  store_forward_done_t done, void *context);
int store_range(store_t *store, const char *prefix, const char *after_key,
		store_done_t done, void *context);
int store_watch(store_t *store, const char *prefix, uint64_t after_revision,
		clock_ms_t wait_ms, store_done_t done, void *context);
int store_change(store_t *store, const store_change_t *change,
		 store_done_t done, void *context);
store_usage_t store_usage(const store_t *store);
const char *store_error_name(int error);

#endif
