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
	/* IP number. */
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
	/* Connections that a target takes, control connections included. */
	uint32_t connections;
	uint32_t queue_max;
	uint32_t schema_read_min;
	uint32_t schema_read_max;
	uint32_t schema_write;
	/* Lowest version that callers may still write. */
	uint32_t schema_write_min;
	/* Staleness bound of reads that state neither an age nor a session. */
	clock_ms_t default_max_age_ms;
	clock_ms_t default_deadline_ms;
	clock_ms_t transaction_idle_ms;
} config_service_t;

/* One change, as the platform's store orders it. */
typedef struct {
	/* Revision of the store at which the change was made. */
	uint64_t revision;
	char service[CONFIG_NAME_SIZE];
	/* JSON text of the service; empty if it was removed. */
	const char *text;
	/* Unique id of the writer's attempt, and the operator's name. */
	char writer[CONFIG_NAME_SIZE];
	char operator_name[CONFIG_NAME_SIZE];
} config_change_t;

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
	/* The revision is not above the one in force. */
	CONFIG_ERROR_STALE = -5,
	CONFIG_ERROR_NOT_FOUND = -6,
	CONFIG_ERROR_SCHEMA = -7,
	/* A fetched list of changes does not start at the local revision. */
	CONFIG_ERROR_GAP = -8,
};

/* On an error, text receives the name of the field and the allowed range. */
int config_service_parse(const char *json, config_service_t *service,
			 char text[CONFIG_ERROR_TEXT_SIZE]);
/* Returns a JSON text that the caller frees, or NULL. */
char *config_service_format(const config_service_t *service);

typedef struct config_store config_store_t;

config_store_t *config_store_new(void);
void config_store_free(config_store_t *store);
int config_store_apply(config_store_t *store, const config_change_t *change,
		       char text[CONFIG_ERROR_TEXT_SIZE]);
/* All changes up to revision were applied, also if none touched a service. */
int config_store_advance(config_store_t *store, uint64_t revision);
uint64_t config_store_revision(const config_store_t *store);
/* The highest revision of the store or of an item in it. */
uint64_t config_store_latest_revision(const config_store_t *store);
size_t config_store_count(const config_store_t *store);
const config_item_t *config_store_at(const config_store_t *store, size_t index);
const config_item_t *config_store_find(const config_store_t *store,
				       const char *service);
/* Calls visit for each item changed after revision, in rising order. */
void config_store_visit_since(const config_store_t *store, uint64_t revision,
			      void (*visit)(void *context,
					    const config_item_t *item),
			      void *context);

/* Schema rules: may the change from before to after be made now? before is
 * NULL for a new service; all_live_have_before says that every live proxy
 * reports at least the revision of before. */
int config_schema_check(const config_service_t *before,
			const config_service_t *after,
			bool all_live_have_before,
			char text[CONFIG_ERROR_TEXT_SIZE]);
/* May a caller of this version read or write now? */
int config_schema_admit(const config_service_t *service, uint32_t version,
			bool write, char text[CONFIG_ERROR_TEXT_SIZE]);

/* Tracks how far a revision is in force. */
typedef struct config_rollout config_rollout_t;

typedef enum {
	CONFIG_ROLLOUT_PENDING,
	CONFIG_ROLLOUT_COMPLETE,
	/* The deadline passed; some members did not confirm. */
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
/* Name of the index-th member that has not confirmed, or NULL. */
const char *config_rollout_unconfirmed(const config_rollout_t *rollout,
				       size_t index);
const char *config_error_text(int error);

#endif
