#ifndef HORNBEAMTACK_TESTS_PLATFORM_STANDIN_H
#define HORNBEAMTACK_TESTS_PLATFORM_STANDIN_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A stand-in of the users' platform in the process of a test: the store, the
 * order to promote, and the targets of one service, on loopback ports.
 */
#define STANDIN_TARGETS 3

typedef struct standin standin_t;

typedef struct {
	/* Statements that ran, and commits of writes. */
	uint32_t statements;
	uint32_t commits;
	uint32_t promotions;
	/* Statements of a transaction that came without its start. */
	uint32_t statements_without_begin;
	/* Statements that ran with other session values than "zone=z1". */
	uint32_t wrong_session_values;
	uint32_t store_calls;
	/* Changes whose expectations did not hold. */
	uint32_t conflicts;
	/* Records of a group that were written with a fence. */
	uint32_t fence_records;
	/* Connections that a target had no room for. */
	uint32_t refused_connections;
} standin_counts_t;

standin_t *standin_new(struct event_base *base, uint16_t first_port);
void standin_free(standin_t *standin);
uint16_t standin_store_port(const standin_t *standin);
uint16_t standin_order_port(const standin_t *standin);
standin_counts_t standin_counts(const standin_t *standin);
uint32_t standin_primary(const standin_t *standin);

/* Writes the configuration with this version; route_name is a further
 * database of the service. */
void standin_configure(standin_t *standin, uint64_t version,
		       const char *route_name);
/* Writes any key, as another writer of the store. */
void standin_store_put(standin_t *standin, const char *key, const char *value);
/* Returns the value of a key, or NULL. */
const char *standin_store_get(standin_t *standin, const char *key);
/* Removes the entries of all targets, or writes them again. */
void standin_list_targets(standin_t *standin, bool listed);
/* The store answers 503 to all calls, or serves them. */
void standin_store_refuse(standin_t *standin, bool refuses);
/* The store takes this long for each call. */
void standin_store_slow(standin_t *standin, uint32_t delay_ms);
/* A target closes its connections and its port, or opens it again. */
void standin_target_stop(standin_t *standin, uint32_t target);
void standin_target_start(standin_t *standin, uint32_t index);
/* Closes the connections of a target once. */
void standin_target_reset(standin_t *standin, uint32_t target);
/* A target reads nothing and answers nothing, or answers again. */
void standin_target_silence(standin_t *standin, uint32_t target, bool silent);
/* Targets admit no further connection, or any number again. */
void standin_targets_full(standin_t *standin, bool full);
/* Replicas apply nothing further, or everything. */
void standin_replicas_lag(standin_t *standin, bool lags);
/* Targets take this long for each statement. */
void standin_targets_slow(standin_t *standin, uint32_t delay_ms);

#endif
