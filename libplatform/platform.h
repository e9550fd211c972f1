#ifndef HORNBEAMTACK_PLATFORM_H
#define HORNBEAMTACK_PLATFORM_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

#define PLATFORM_NAME_SIZE 64

enum {
	PLATFORM_OK = 0,
	PLATFORM_ERROR_MEMORY = -1,
	/* Nothing was sent. */
	PLATFORM_ERROR_UNAVAILABLE = -2,
	/* Sent, but not answered: a change may have taken effect. */
	PLATFORM_ERROR_UNKNOWN = -3,
	PLATFORM_ERROR_MALFORMED = -4,
	PLATFORM_ERROR_CONFLICT = -5,
	PLATFORM_ERROR_TOO_LARGE = -6,
};

typedef struct {
	/* IP address and port of the key-value service's HTTP gateway. */
	const char *address;
	uint16_t port;
	/* IP address and port of the instance list; may be the same. */
	const char *list_address;
	uint16_t list_port;
	/* Timeout of one request. */
	clock_ms_t timeout_ms;
	/* Prefix of all keys, for example "/hornbeamtack". */
	const char *prefix;
} platform_options_t;

/* A service's configuration in the store, or an entry of its history. The
 * strings are valid during the callback. */
typedef struct {
	const char *service;
	const char *text; /* JSON object; empty if the service is removed */
	const char *writer;
	const char *operator_name;
	uint64_t revision; /* mod_revision */
} platform_item_t;

/* An entry of the instance list. The strings are valid during the callback. */
typedef struct {
	const char *name;
	const char *address; /* "ip:port" of the peer listener */
	const char *domain; /* failure domain */
	bool leaving;
} platform_instance_t;

/* Numbers of calls; see platform_client_usage(). */
typedef struct {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t failures;
	/* Entries of other writers that were left out of a list, a fetch or a
	 * watch. */
	uint64_t skipped_entries;
} platform_usage_t;

typedef struct platform_client platform_client_t;

platform_client_t *platform_client_new(struct event_base *base,
				       const clock_source_t *clock,
				       const platform_options_t *options);
void platform_client_free(platform_client_t *client);

/* Gets services or changes, and the revision of the store that they reflect.
 * platform_config_fetch() gives the services that were changed after
 * after_revision, in ascending order of their revisions. */
typedef void (*platform_fetch_done_t)(void *context, int error,
				      uint64_t store_revision,
				      const platform_item_t *items,
				      size_t count);
int platform_config_fetch(platform_client_t *client, uint64_t after_revision,
			  platform_fetch_done_t done, void *context);

/* Changes a service by compare-and-swap: it must be at base_revision, and must
 * not exist if base_revision is 0. The entry of its history is written in the
 * same transaction. done gets the new revision with PLATFORM_OK, and the
 * service's current item (NULL if there is none) with PLATFORM_ERROR_CONFLICT.
 */
typedef void (*platform_change_done_t)(void *context, int error,
				       uint64_t revision,
				       const platform_item_t *current);
int platform_config_change(platform_client_t *client, const char *service,
			   uint64_t base_revision, const char *text,
			   const char *writer, const char *operator_name,
			   platform_change_done_t done, void *context);

/* Reads the changes of one service, latest first, at most limit of them. */
int platform_config_history(platform_client_t *client, const char *service,
			    uint32_t limit, platform_fetch_done_t done,
			    void *context);

/* Starts the client's watch; a client has at most one. event is called for each
 * batch of changes, and once with an error when the watch ends. */
int platform_watch_start(platform_client_t *client, uint64_t from_revision,
			 platform_fetch_done_t event, void *context);
void platform_watch_stop(platform_client_t *client);
bool platform_watch_running(const platform_client_t *client);

typedef void (*platform_list_done_t)(void *context, int error,
				     const platform_instance_t *instances,
				     size_t count);
int platform_instances_list(platform_client_t *client,
			    platform_list_done_t done, void *context);

platform_usage_t platform_client_usage(const platform_client_t *client);
const char *platform_error_text(int error);

#endif
