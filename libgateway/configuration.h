#ifndef HORNBEAMTACK_GATEWAY_CONFIGURATION_H
#define HORNBEAMTACK_GATEWAY_CONFIGURATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
/* Without memory for its table, an object is left out; its hh.tbl is NULL. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#include "libclock/clock.h"
#include "libtenant/tenant.h"

#define CONFIGURATION_NAME_SIZE 96

typedef enum {
	/* Each read sees all commits acknowledged before it. */
	CONSISTENCY_PRIMARY,
	/* Reads may miss commits that are younger than the staleness bound. */
	CONSISTENCY_BOUNDED,
	/* As bounded; in addition, reads see all commits of their own session.
	 */
	CONSISTENCY_SESSION,
} consistency_t;

/* How the statements of a database are served. */
typedef struct {
	char database[CONFIGURATION_NAME_SIZE];
	char service[CONFIGURATION_NAME_SIZE];
	consistency_t consistency;
	/* Time limit of a single statement. */
	clock_ms_t timeout_ms;
	/* Latency objective of a whole operation. */
	clock_ms_t objective_ms;
	clock_ms_t staleness_ms;
	/* Operations of priority 0 are served first. */
	uint32_t priority;
	/* Callers need no key. */
	bool is_public;
	UT_hash_handle hh;
} route_t;

typedef struct {
	char name[CONFIGURATION_NAME_SIZE];
	/* Connections that one target accepts from all proxies together. */
	uint32_t connections_max;
	/* Replicas that must have a commit before it is acknowledged. */
	uint32_t synchronous_replicas;
	UT_hash_handle hh;
} service_t;

typedef struct {
	uint64_t version;
	/* Store revision at which it was written, and digest of its text. */
	uint64_t revision;
	uint64_t digest;
	route_t *routes;
	service_t *services;
	/* NULL: callers are not told apart and need no key. */
	tenant_table_t *tenants;
	/* A transaction that has been idle for longer is ended. */
	clock_ms_t transaction_idle_ms;
} configuration_t;

typedef enum {
	TARGET_STATE_READY,
	TARGET_STATE_LEAVING,
} target_state_t;

/* The entry that a target writes about itself into the store. */
typedef struct {
	char id[CONFIGURATION_NAME_SIZE];
	char service[CONFIGURATION_NAME_SIZE];
	char address[48];
	uint16_t port;
	char domain[CONFIGURATION_NAME_SIZE];
	target_state_t state;
	bool is_primary;
	uint32_t slots;
	/* Start of the target's process in Unix milliseconds; another value
	 * means that it has restarted. */
	uint64_t started_unix_ms;
	/* Number of the target's report since its start. */
	uint64_t sequence;
} target_entry_t;

void gateway_configuration_clear(configuration_t *configuration);
const route_t *gateway_configuration_route(const configuration_t *configuration,
					   const char *database);
const service_t *
gateway_configuration_service(const configuration_t *configuration,
			      const char *name);

#endif
