#ifndef HORNBEAMTACK_PROMOTION_REGISTRY_H
#define HORNBEAMTACK_PROMOTION_REGISTRY_H

#include "promotion.h"

/* A statement of a proxy about a group. */
typedef enum {
	/* It cannot reach the primary of the term in number. */
	REGISTRY_REPORT_UNREACHABLE,
	/* It has stopped on the fence that the record of revision number set.
	 */
	REGISTRY_REPORT_STOPPED,
	REGISTRY_REPORT_COUNT,
} registry_report_kind_t;

typedef struct {
	uint64_t number;
	/* The process that wrote it; an earlier one of the same name counts for
	 * nothing. */
	uint64_t incarnation;
	/* The doubted primary. */
	char primary[PROMOTION_NAME_SIZE];
} registry_report_t;

/* The registered proxies and their notes, as the store shows them. */
typedef struct registry registry_t;

registry_t *registry_new(void);
void registry_free(registry_t *registry);
/* peer is where other proxies reach it, "ip:port". */
int registry_proxy_set(registry_t *registry, const char *name,
		       uint64_t incarnation, const char *address,
		       clock_ms_t now_ms);
/* Notes the failure domain of a proxy. */
void registry_domain_set(registry_t *registry, const char *name,
			 const char *domain);
/* Returns the failure domain of a proxy, also of one that was removed; empty if
 * it is not known. */
const char *registry_domain_get(const registry_t *registry, const char *name);
/* Returns the address of a registered proxy, or NULL. */
const char *registry_address_get(const registry_t *registry, const char *name);
/* Tells whether a proxy has not been registered for age_ms. */
bool registry_is_gone(const registry_t *registry, const char *name,
		      clock_ms_t age_ms, clock_ms_t now_ms);
/* Finds the addresses of the proxies that read the store for a failure domain:
 * the first registered ones in the order of names, up to name itself if that is
 * one of them. Returns their number. */
size_t registry_readers_find(const registry_t *registry, const char *domain,
			     const char *name, const char **addresses,
			     size_t max);
/* Tells whether a proxy of the failure domain is registered. */
bool registry_domain_has(const registry_t *registry, const char *domain);
/* Calls visit for each registered proxy. */
void registry_proxy_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *address),
			  void *context);
void registry_proxy_remove(registry_t *registry, const char *name,
			   clock_ms_t now_ms);
/* Removed by another proxy, which could not reach it. */
void registry_proxy_evict(registry_t *registry, const char *name,
			  clock_ms_t now_ms);
/* Copies the name and the address of the next registered proxy in the order of
 * names, from the last to the first; false if there is no other. */
bool registry_proxy_next(const registry_t *registry, const char *name,
			 char *next_name, size_t size, char *address,
			 size_t address_size);
typedef enum {
	REGISTRY_STATE_REGISTERED,
	REGISTRY_STATE_REMOVED,
	REGISTRY_STATE_EVICTED,
} registry_state_t;

/* Calls visit for each known proxy with the time since its last change. */
void registry_state_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					registry_state_t state,
					clock_ms_t age_ms),
			  void *context, clock_ms_t now_ms);
/* Takes over what another proxy has observed for longer. */
int registry_state_merge(registry_t *registry, const char *name,
			 registry_state_t state, clock_ms_t age_ms,
			 clock_ms_t now_ms);
/* Finds a proxy that was evicted at least age_ms ago. */
const char *registry_evicted_find(const registry_t *registry, clock_ms_t age_ms,
				  clock_ms_t now_ms);
bool registry_process_is_registered(const registry_t *registry,
				    const char *name, uint64_t incarnation);
/* Tells whether another process of this name is registered. */
bool registry_proxy_restarted(const registry_t *registry, const char *name,
			      uint64_t incarnation);
uint32_t registry_proxy_count(const registry_t *registry);
uint32_t registry_proxy_rank(const registry_t *registry, const char *name);
/* subject is "GROUP/PROXY"; note is NULL if it was removed. */
int registry_report_set(registry_t *registry, registry_report_kind_t kind,
			const char *subject, const registry_report_t *report);
uint32_t registry_count_unreachable(const registry_t *registry,
				    const char *group,
				    const group_record_t *record);
uint32_t registry_unreachable_rank(const registry_t *registry,
				   const char *group,
				   const group_record_t *record,
				   const char *name);
uint32_t registry_count_stopped(const registry_t *registry, const char *group,
				const group_record_t *record);

bool registry_all_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record,
			  clock_ms_t grant_life_ms, clock_ms_t now_ms);
/* Tells whether a registered proxy has stopped on the fence of the record. */
bool registry_has_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record, const char *name);

#endif
