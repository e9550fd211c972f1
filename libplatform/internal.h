#ifndef HORNBEAMTACK_PLATFORM_INTERNAL_H
#define HORNBEAMTACK_PLATFORM_INTERNAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <sys/queue.h>

#include "base64.h"
#include "platform.h"

/* Headers of an answer. */
#define PLATFORM_HEADERS_MAX_BYTES 8192
/* Body of one answer. A page of PLATFORM_PAGE_ITEMS values of the largest size
 * takes about 3.6 MB in base64. */
#define PLATFORM_ANSWER_MAX_BYTES (4 * 1024 * 1024)
/* One stored value before base64: the 16 KiB that a service's text may have,
 * the two names, and room for escapes. */
#define PLATFORM_VALUE_MAX_BYTES 20480
#define PLATFORM_PAGE_ITEMS 128
/* All pages of one fetch, so that a fetch stays within a quarter of a daemon's
 * control memory. */
#define PLATFORM_FETCH_MAX_BYTES (32 * 1024 * 1024)
/* Reads of the key after an answer was lost. The delay doubles each time. */
#define PLATFORM_READBACK_TRIES 4
#define PLATFORM_READBACK_BACKOFF_MS 50
/* The whole change with its read-backs, in units of the timeout. */
#define PLATFORM_CHANGE_TIMEOUTS 3
/* Three progress intervals of one second: shorter than the 5 s in which a
 * change must be in force, so that a silent watch is replaced in time. */
#define PLATFORM_WATCH_SILENCE_MS 3000
/* Unprocessed bytes of a watch; also the longest message. */
#define PLATFORM_WATCH_BUFFER_MAX_BYTES (4 * 1024 * 1024)
/* evhttp counts the body over the life of a connection and buffers a whole
 * chunk, so this bounds the memory and a watch ends after this many bytes. */
#define PLATFORM_WATCH_BODY_MAX_BYTES (16 * 1024 * 1024)

typedef struct platform_operation platform_operation_t;
typedef struct platform_exchange platform_exchange_t;
typedef struct platform_watch platform_watch_t;

/* Work in progress for one call of the public interface. The first member of
 * each kind of operation. */
struct platform_operation {
	TAILQ_ENTRY(platform_operation) entry;
	platform_client_t *client;
	platform_exchange_t *exchange;
	/* HTTP status of the last answer, 0 if there was none. */
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

/* HTTP requests. */
typedef struct {
	const char *address;
	uint16_t port;
	const char *path;
	/* NULL: GET. */
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

/* One request with one answer in JSON; answer is NULL on an error. */
typedef void (*platform_exchange_done_t)(platform_operation_t *operation,
					 int error, json_t *answer);
int platform_exchange_call(platform_operation_t *operation, const char *path,
			   json_t *request, clock_ms_t timeout_ms,
			   platform_exchange_done_t done);
int platform_exchange_list(platform_operation_t *operation,
			   platform_exchange_done_t done);
void platform_exchange_free(platform_exchange_t *exchange);

/* Fields of the gateway's messages. */
json_t *platform_json_bytes(const char *bytes, size_t size);
json_t *platform_json_number(uint64_t number);
int platform_json_number_get(const json_t *object, const char *field,
			     uint64_t *number);
int platform_json_bool_get(const json_t *object, const char *field,
			   bool *value);
int platform_json_array_get(const json_t *object, const char *field,
			    json_t **array);
int platform_json_revision_get(const json_t *message, uint64_t *revision);

/* Growing list of items with their own strings. */
typedef struct {
	platform_item_t *items;
	size_t count;
	size_t capacity;
	size_t bytes;
} platform_items_t;

bool platform_name_valid(const char *name);
char *platform_key(const char *prefix, const char *kind, const char *name);
char *platform_prefix_end(const char *key_prefix);
char *platform_value_encode(const char *text, const char *writer,
			    const char *operator_name, int *error);
int platform_items_add(platform_items_t *items, const json_t *kv,
		       const char *key_prefix, const char *service);
int platform_items_add_removed(platform_items_t *items, const json_t *kv,
			       const char *key_prefix);
void platform_items_sort(platform_items_t *items);
void platform_items_free(platform_items_t *items);

#endif
