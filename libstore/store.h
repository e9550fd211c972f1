#ifndef HORNBEAMTACK_STORE_H
#define HORNBEAMTACK_STORE_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libhttp/http.h"

/* Keys and values of one change. */
#define STORE_CHANGE_MAX 32

typedef struct {
	const char *key;
	/* Bytes followed by a NUL that is not counted; NULL if removed. */
	char *value;
	size_t size;
	uint64_t revision;
} store_item_t;

typedef struct {
	store_item_t *items;
	size_t count;
	bool truncated;
	/* Revision of the store that the answer reflects. */
	uint64_t revision;
	/* Owns the keys. */
	void *document;
} store_answer_t;

typedef struct {
	const char *key;
	uint64_t revision;
} store_expectation_t;

typedef struct {
	const char *key;
	const char *value;
} store_write_t;

/* All or nothing. An expected revision of 0 means that the key is absent. */
typedef struct {
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
	/* Refused: nothing was done. */
	STORE_ERROR_REFUSED = -2,
	/* No answer: a change may take effect, also later. */
	STORE_ERROR_UNKNOWN = -3,
	/* An expected revision was another one. */
	STORE_ERROR_CONFLICT = -4,
	/* The history that a watch asked for is gone. */
	STORE_ERROR_HISTORY = -5,
	STORE_ERROR_MALFORMED = -6,
};

typedef struct {
	uint64_t ranges;
	uint64_t watches;
	uint64_t changes;
	uint64_t failures;
	/* Calls passed on for peers, and reads that the reader answered. */
	uint64_t forwarded;
	uint64_t shared;
	/* Reads that went to the store itself, once for all that asked. */
	uint64_t sent;
} store_usage_t;

/* Peers that may pass on calls. */
#define STORE_RELAYS_MAX 8
/* Peers that may read for a failure domain; one is used at a time. */
#define STORE_READERS_MAX 3

typedef struct {
	char address[128]; /* IP number */
	uint16_t port;
} store_endpoint_t;

typedef struct store store_t;

/* Called once for each call, from the event loop. answer is NULL on an error;
 * sent_ms is the time before the call was sent. */
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
/* The time by which calls are stamped. */
clock_ms_t store_now(const store_t *store);
/* status is the HTTP status, 0 without an answer. body is valid during the
 * callback; other askers may get it as well. */
typedef void (*store_forward_done_t)(void *context, int status,
				     http_body_t *body);
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
