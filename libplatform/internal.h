#ifndef HORNBEAMTACK_PLATFORM_INTERNAL_H
#define HORNBEAMTACK_PLATFORM_INTERNAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <sys/queue.h>

#include "base64.h"
#include "platform.h"

/* Limit of the headers of an answer. */
#define PLATFORM_HEADERS_MAX_BYTES 8192
/* Limit of the body of an answer. A page of PLATFORM_PAGE_ITEMS values of the
 * largest size takes about 3.6 MB in base64. */
#define PLATFORM_ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* Limit of a stored value before base64: the 16 KiB that a service's text may
 * have, the names of the writer and the operator, and room for JSON escapes. */
#define PLATFORM_VALUE_MAX_BYTES 20480
/* Highest number of items that are read with one request. */
#define PLATFORM_PAGE_ITEMS 128
/* Limit of the items of all pages of a fetch together, so that a fetch takes at
 * most a quarter of a daemon's control memory. */
#define PLATFORM_FETCH_MAX_BYTES (32 * 1024 * 1024)
/* Read-backs, which read the keys of a change whose answer was lost: their
 * highest number, and the delay before the first. The delay doubles each time.
 */
#define PLATFORM_READBACK_TRIES 4
#define PLATFORM_READBACK_BACKOFF_MS 50
/* Limit of the time of a change with its read-backs, in units of the client's
 * timeout. */
#define PLATFORM_CHANGE_TIMEOUTS 3
/* A watch ends when no message has come for this time, which is three progress
 * notifications at one per second. It is below the 5 s within which a change
 * must be in force, so that a watch that no longer works is replaced in time.
 */
#define PLATFORM_WATCH_SILENCE_MS 3000
/* Limit of the received but unprocessed bytes of a watch, and so of the length
 * of a message. */
#define PLATFORM_WATCH_BUFFER_MAX_BYTES (4 * 1024 * 1024)
/* Limit of the body of a watch's answer. It bounds the memory, because evhttp
 * buffers a whole chunk. evhttp applies the limit to all chunks of a connection
 * together, so a watch ends after this many bytes. */
#define PLATFORM_WATCH_BODY_MAX_BYTES (16 * 1024 * 1024)

typedef struct platform_operation platform_operation_t;
typedef struct platform_exchange platform_exchange_t;
typedef struct platform_watch platform_watch_t;

/* Base of the work in progress for one call of the public interface: the first
 * member of the struct of each kind of operation. */
struct platform_operation {
	TAILQ_ENTRY(platform_operation) entry;
	platform_client_t *client;
	platform_exchange_t *exchange;
	/* HTTP status of the latest answer, 0 if there was no answer. */
	int status;
	void (*free)(platform_operation_t *operation);
};

struct platform_client {
	struct event_base *base;
	const clock_source_t *clock;
	char *address;
	uint16_t port;
	char *list_address;
	uint16_t list_port;
	char *prefix;
	clock_ms_t timeout_ms;
	platform_usage_t usage;
	TAILQ_HEAD(, platform_operation) operations;
	platform_watch_t *watch;
};

void platform_operation_start(platform_operation_t *operation,
			      platform_client_t *client,
			      void (*free_operation)(platform_operation_t *));
void platform_operation_end(platform_operation_t *operation);

/* An HTTP request. */
typedef struct {
	const char *address;
	uint16_t port;
	const char *path;
	/* Body of a POST request; NULL makes it a GET request. */
	const char *body;
	clock_ms_t timeout_ms;
	size_t body_max_bytes;
} platform_http_t;

struct timeval platform_timeval(clock_ms_t duration_ms);
struct evhttp_connection *platform_http_connect(struct event_base *base,
						const platform_http_t *http,
						bool *sent);
int platform_http_send(struct evhttp_connection *connection,
		       const platform_http_t *http,
		       struct evhttp_request *request);

/* Called at the end of an exchange, which is one request and its answer in
 * JSON. answer is NULL if there is an error. */
typedef void (*platform_exchange_done_t)(platform_operation_t *operation,
					 int error, json_t *answer);
int platform_exchange_call(platform_operation_t *operation, const char *path,
			   json_t *request, clock_ms_t timeout_ms,
			   platform_exchange_done_t done);
int platform_exchange_list(platform_operation_t *operation,
			   platform_exchange_done_t done);
void platform_exchange_free(platform_exchange_t *exchange);

/* json.c: fields of messages of the key-value service's HTTP gateway. */
json_t *platform_json_bytes(const char *bytes, size_t size);
json_t *platform_json_number(uint64_t number);
int platform_json_number_get(const json_t *object, const char *field,
			     uint64_t *number);
int platform_json_bool_get(const json_t *object, const char *field,
			   bool *value);
int platform_json_array_get(const json_t *object, const char *field,
			    json_t **array);
int platform_json_revision_get(const json_t *message, uint64_t *revision);

/* Result of decoding an entry that the store delivered well-formed, but whose
 * key or value this client would not have written. Another writer may have left
 * it there, and it must not hide the others. */
#define PLATFORM_ENTRY_SKIPPED 1

/* Growing array of items, which owns their strings. */
typedef struct {
	platform_item_t *items;
	size_t count;
	size_t capacity;
	/* Size of all items with their strings. */
	size_t bytes;
} platform_items_t;

bool platform_name_valid(const char *name);
char *platform_key(const char *prefix, const char *kind, const char *name);
char *platform_prefix_end(const char *key_prefix);
char *platform_value_encode(const char *text, const char *writer,
			    const char *operator_name, int *error);
char *platform_item_key(const json_t *kv, size_t *size);
int platform_item_revision(const json_t *kv, uint64_t *revision);
int platform_items_add(platform_items_t *items, const json_t *kv,
		       const char *key_prefix, const char *service);
int platform_items_add_removed(platform_items_t *items, const json_t *kv,
			       const char *key_prefix);
void platform_items_sort(platform_items_t *items);
void platform_items_free(platform_items_t *items);

#endif
