#ifndef HORNBEAMTACK_PROMOTION_REGISTRY_H
#define HORNBEAMTACK_PROMOTION_REGISTRY_H

#include "promotion.h"

/* What a proxy can report about a group. */
typedef enum {
	/* The proxy suspects that the primary of the term in number has failed,
	 * as it cannot reach the primary or finds no entry of it. */
	REGISTRY_REPORT_SUSPICION,
	/* The proxy has given up its grant because of the fence that the
	 * group's record of the store revision in number set. */
	REGISTRY_REPORT_STOPPED,
	REGISTRY_REPORT_COUNT,
} registry_report_kind_t;

typedef struct {
	/* A term or a store revision, as the kind of the report says. */
	uint64_t number;
	/* The process that wrote the report. Reports of earlier processes of
	 * the same proxy are not counted. */
	uint64_t incarnation;
	/* The suspected primary; empty in a stop report. */
	char primary[PROMOTION_NAME_SIZE];
} registry_report_t;

/* The registered proxies and their reports, as the store shows them. */
typedef struct registry registry_t;

registry_t *registry_new(void);
void registry_free(registry_t *registry);
/* address is the "ip:port" at which other proxies reach the proxy. */
int registry_proxy_set(registry_t *registry, const char *name,
		       uint64_t incarnation, const char *address,
		       clock_ms_t now_ms);
/* Sets the failure domain of a proxy; an unknown proxy is ignored. */
void registry_domain_set(registry_t *registry, const char *name,
			 const char *domain);
/* Returns the failure domain of a proxy, which may have been removed, or an
 * empty string if the domain is not known. */
const char *registry_domain_get(const registry_t *registry, const char *name);
/* Sets the "ip:port" at which a proxy lends connections to targets; an unknown
 * proxy is ignored. */
void registry_relay_set(registry_t *registry, const char *name,
			const char *address);
/* Calls visit for each registered proxy that lends connections. */
void registry_relay_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *domain,
					const char *address),
			  void *context);
/* Returns the "ip:port" of a proxy, or NULL if the proxy is not registered. */
const char *registry_address_get(const registry_t *registry, const char *name);
/* Tells whether a proxy has been unregistered for at least age_ms, or is not
 * known at all. */
bool registry_proxy_is_missing(const registry_t *registry, const char *name,
			       clock_ms_t age_ms, clock_ms_t now_ms);
/* Finds the addresses of the proxies through which the proxy called name reads
 * the store. These are the first registered proxies of its failure domain in
 * the order of names, at most max of them, and only those before name. Returns
 * their number. */
size_t registry_readers_find(const registry_t *registry, const char *domain,
			     const char *name, const char **addresses,
			     size_t max);
/* Tells whether any proxy of the failure domain is registered. */
bool registry_domain_has_proxy(const registry_t *registry, const char *domain);
/* Calls visit with the name and the address of each registered proxy. */
void registry_proxy_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *address),
			  void *context);
void registry_proxy_remove(registry_t *registry, const char *name,
			   clock_ms_t now_ms);
/* Removes a proxy that another proxy evicted because it could not reach it. */
void registry_proxy_evict(registry_t *registry, const char *name,
			  clock_ms_t now_ms);
/* Copies the name and the address of the registered proxy that follows name in
 * the order of names; the first proxy follows the last. Returns false if there
 * is no other proxy. */
bool registry_proxy_next(const registry_t *registry, const char *name,
			 char *next_name, size_t size, char *address,
			 size_t address_size);

/* What is known about the registration of a proxy. */
typedef enum {
	REGISTRY_STATE_REGISTERED,
	/* The proxy gave up its grants and removed its entry. */
	REGISTRY_STATE_REMOVED,
	/* Another proxy removed the entry; the proxy may still hold grants. */
	REGISTRY_STATE_EVICTED,
} registry_state_t;

/* Calls visit for each known proxy with its state and for how many ms the proxy
 * has been in that state. */
void registry_state_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					registry_state_t state,
					clock_ms_t age_ms),
			  void *context, clock_ms_t now_ms);
/* Takes over for how long another proxy has seen a proxy in its state. */
int registry_state_merge(registry_t *registry, const char *name,
			 registry_state_t state, clock_ms_t age_ms,
			 clock_ms_t now_ms);
/* Returns the name of a proxy that was evicted at least age_ms ago, or NULL. */
const char *registry_evicted_find(const registry_t *registry, clock_ms_t age_ms,
				  clock_ms_t now_ms);
bool registry_process_is_registered(const registry_t *registry,
				    const char *name, uint64_t incarnation);
/* Tells whether another process is registered under this name, which means that
 * the process of the given incarnation has ended. */
bool registry_proxy_restarted(const registry_t *registry, const char *name,
			      uint64_t incarnation);
uint32_t registry_proxy_count(const registry_t *registry);
uint32_t registry_proxy_rank(const registry_t *registry, const char *name);
/* subject is "GROUP/PROXY"; report is NULL if it was removed. */
int registry_report_set(registry_t *registry, registry_report_kind_t kind,
			const char *subject, const registry_report_t *report);
uint32_t registry_count_suspicions(const registry_t *registry,
				   const char *group,
				   const group_record_t *record);
/* Tells whether a registered proxy has reported that it suspects the recorded
 * primary. */
bool registry_has_suspicion(const registry_t *registry, const char *group,
			    const group_record_t *record, const char *name);
uint32_t registry_suspicion_rank(const registry_t *registry, const char *group,
				 const group_record_t *record,
				 const char *name);
uint32_t registry_count_stopped(const registry_t *registry, const char *group,
				const group_record_t *record);

bool registry_all_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record,
			  clock_ms_t grant_life_ms, clock_ms_t now_ms);
/* Tells whether a registered proxy has reported that it stopped on the fence of
 * the record. */
bool registry_has_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record, const char *name);

#endif
