#ifndef HORNBEAMTACK_CONFIG_H
#define HORNBEAMTACK_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

#define CONFIG_NAME_SIZE 64
#define CONFIG_ADDRESS_SIZE 64
#define CONFIG_ERROR_TEXT_SIZE 256
/* Longest JSON text of one service, in bytes. */
#define CONFIG_TEXT_MAX_BYTES 16384

typedef struct {
	char name[CONFIG_NAME_SIZE];
	/* IPv4 or IPv6 address in its canonical text form. */
	char address[CONFIG_ADDRESS_SIZE];
	uint16_t port;
	char domain[CONFIG_NAME_SIZE];
	bool leaving;
} config_target_t;

/* Settings of one service. JSON keys are the field names. */
typedef struct {
	char name[CONFIG_NAME_SIZE];
	uint32_t target_count;
	config_target_t targets[GROUP_TARGETS_MAX];
	uint32_t slots;
	/* Connections that a target accepts, including control connections. */
	uint32_t connections;
	uint32_t queue_max;
	/* Range of the schema versions that can be read. */
	uint32_t schema_read_min;
	uint32_t schema_read_max;
	/* Schema version that is written. */
	uint32_t schema_write;
	/* Lowest schema version that callers may still write. */
	uint32_t schema_write_min;
	/* Maximum age of reads that state neither an age nor a session. */
	clock_ms_t default_max_age_ms;
	clock_ms_t default_deadline_ms;
	clock_ms_t transaction_idle_ms;
} config_service_t;

/* A change of one service, ordered by the platform's store. */
typedef struct {
	/* Revision of the store at which the change was made. */
	uint64_t revision;
	char service[CONFIG_NAME_SIZE];
	/* JSON text of the service; empty if it was removed. */
	const char *text;
	/* Unique id of the attempt to write the change, and the name of the
	 * operator. */
	char writer[CONFIG_NAME_SIZE];
	char operator_name[CONFIG_NAME_SIZE];
} config_change_t;

/* The latest change of one service. A removed service keeps only its name. */
typedef struct {
	uint64_t revision;
	bool removed;
	config_service_t service;
	char writer[CONFIG_NAME_SIZE];
	char operator_name[CONFIG_NAME_SIZE];
	char *text;
} config_item_t;

enum {
	CONFIG_OK = 0,
	CONFIG_ERROR_MEMORY = -1,
	CONFIG_ERROR_MALFORMED = -2,
	CONFIG_ERROR_RANGE = -3,
	CONFIG_ERROR_UNKNOWN_KEY = -4,
	/* The revision of a change is not above that of its service, or the
	 * store is past the revision. */
	CONFIG_ERROR_STALE = -5,
	CONFIG_ERROR_NOT_FOUND = -6,
	CONFIG_ERROR_SCHEMA = -7,
	/* A fetched list of changes does not start at the revision of the
	 * store, so changes are missing. */
	CONFIG_ERROR_GAP = -8,
};

/* After an error, text holds the name of the field and the allowed range. */
int config_service_parse(const char *json, config_service_t *service,
			 char text[CONFIG_ERROR_TEXT_SIZE]);
/* Returns a JSON text, which the caller frees, or NULL without memory. */
char *config_service_format(const config_service_t *service);

/* The services of the configuration, each at its latest known revision. */
typedef struct config_store config_store_t;

config_store_t *config_store_new(void);
void config_store_free(config_store_t *store);
int config_store_apply(config_store_t *store, const config_change_t *change,
		       char text[CONFIG_ERROR_TEXT_SIZE]);
/* Records that all changes up to revision were applied. */
int config_store_advance(config_store_t *store, uint64_t revision);
uint64_t config_store_revision(const config_store_t *store);
/* Returns the highest revision of the store and of the items in it. */
uint64_t config_store_latest_revision(const config_store_t *store);
size_t config_store_count(const config_store_t *store);
const config_item_t *config_store_at(const config_store_t *store, size_t index);
const config_item_t *config_store_find(const config_store_t *store,
				       const char *service);
/* Calls visit for each item changed after revision, in rising order of
 * revision. */
void config_store_visit_since(const config_store_t *store, uint64_t revision,
			      void (*visit)(void *context,
					    const config_item_t *item),
			      void *context);

/* Checks whether the schema versions may change from those of before to those
 * of after now. before is NULL for a new service; all_live_have_before says
 * that every live proxy reports at least the revision of before. */
int config_schema_check(const config_service_t *before,
			const config_service_t *after,
			bool all_live_have_before,
			char text[CONFIG_ERROR_TEXT_SIZE]);
/* Checks whether a caller may read or write with this schema version now. */
int config_schema_admit(const config_service_t *service, uint32_t version,
			bool write, char text[CONFIG_ERROR_TEXT_SIZE]);

/* Tracks which members have a revision in force. */
typedef struct config_rollout config_rollout_t;

typedef enum {
	CONFIG_ROLLOUT_PENDING,
	CONFIG_ROLLOUT_COMPLETE,
	/* The deadline has passed and some members have not confirmed. */
	CONFIG_ROLLOUT_PARTIAL,
} config_rollout_state_t;

config_rollout_t *config_rollout_new(uint64_t revision, clock_ms_t deadline_ms);
void config_rollout_free(config_rollout_t *rollout);
int config_rollout_expect(config_rollout_t *rollout, const char *member);
void config_rollout_report(config_rollout_t *rollout, const char *member,
			   uint64_t revision);
void config_rollout_drop(config_rollout_t *rollout, const char *member);
config_rollout_state_t config_rollout_state(const config_rollout_t *rollout,
					    clock_ms_t now_ms);
/* Returns the name of the index-th member that has not confirmed, or NULL. */
const char *config_rollout_unconfirmed(const config_rollout_t *rollout,
				       size_t index);
const char *config_error_text(int error);

#endif
