#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
/* Without memory for its table, an object is left out; its hh.tbl is NULL. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

/* "ip:port". */
#define REGISTRY_ADDRESS_SIZE 72
/* Time for which removed proxies are kept; longer than the life of any grant.
 */
#define REMOVED_RETENTION_MS 60000

typedef struct {
	char *name;
	uint64_t incarnation;
	char address[REGISTRY_ADDRESS_SIZE];
	char domain[PROMOTION_NAME_SIZE];
	/* Empty if the proxy lends no connections. */
	char relay[REGISTRY_ADDRESS_SIZE];
	bool registered;
	/* The proxy is not registered, but may still hold grants. */
	bool evicted;
	/* Time at which the proxy was first seen in its present state. */
	clock_ms_t state_since_ms;
	UT_hash_handle hh;
} proxy_entry_t;

/* A report of one proxy about a group. */
typedef struct {
	char *proxy;
	registry_report_t report;
	UT_hash_handle hh;
} report_entry_t;

/* The reports about one group. They are few, so that counting them does not
 * take longer when there are more proxies. */
typedef struct {
	char *group;
	report_entry_t *reports;
	UT_hash_handle hh;
} group_reports_t;

struct registry {
	/* All known proxies, including removed ones. */
	proxy_entry_t *proxies;
	/* Number of registered proxies. */
	uint32_t registered;
	group_reports_t *reports[REGISTRY_REPORT_COUNT];
};

/*
 * Returns an empty registry, or NULL without memory.
 */
registry_t *registry_new(void)
{
	return calloc(1, sizeof(registry_t));
}

static void free_proxy(proxy_entry_t *proxy)
{
	free(proxy->name);
	free(proxy);
}

static void free_report(report_entry_t *entry)
{
	free(entry->proxy);
	free(entry);
}

static void free_group_reports(group_reports_t *group)
{
	report_entry_t *entry = group->reports;
	report_entry_t *next;

	HASH_CLEAR(hh, group->reports);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free_report(entry);
	}
	free(group->group);
	free(group);
}

static void free_all_reports(group_reports_t *groups)
{
	group_reports_t *group = groups;
	group_reports_t *next;

	HASH_CLEAR(hh, groups);
	for (; group; group = next) {
		next = group->hh.next;
		free_group_reports(group);
	}
}

void registry_free(registry_t *registry)
{
	proxy_entry_t *proxy;
	proxy_entry_t *next;
	int kind;

	if (!registry)
		return;
	proxy = registry->proxies;
	HASH_CLEAR(hh, registry->proxies);
	for (; proxy; proxy = next) {
		next = proxy->hh.next;
		free_proxy(proxy);
	}
	for (kind = 0; kind < REGISTRY_REPORT_COUNT; kind++)
		free_all_reports(registry->reports[kind]);
	free(registry);
}

static proxy_entry_t *find_proxy(const registry_t *registry, const char *name)
{
	proxy_entry_t *proxy;

	HASH_FIND_STR(registry->proxies, name, proxy);
	return proxy;
}

/*
 * Registers a process under the name of its proxy. It replaces an earlier
 * process of that name. Returns 0, or -1 without memory.
 */
int registry_proxy_set(registry_t *registry, const char *name,
		       uint64_t incarnation, const char *address,
		       clock_ms_t now_ms)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (!proxy) {
		proxy = calloc(1, sizeof(*proxy));
		if (!proxy)
			return -1;
		proxy->name = strdup(name);
		if (!proxy->name) {
			free(proxy);
			return -1;
		}
		HASH_ADD_KEYPTR(hh, registry->proxies, proxy->name,
				strlen(proxy->name), proxy);
		if (!proxy->hh.tbl) {
			free(proxy->name);
			free(proxy);
			return -1;
		}
	}
	if (!proxy->registered) {
		proxy->registered = true;
		proxy->state_since_ms = now_ms;
		registry->registered++;
	}
	proxy->evicted = false;
	proxy->incarnation = incarnation;
	snprintf(proxy->address, sizeof(proxy->address), "%s", address);
	return 0;
}

void registry_domain_set(registry_t *registry, const char *name,
			 const char *domain)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (proxy)
		snprintf(proxy->domain, sizeof(proxy->domain), "%s", domain);
}

void registry_relay_set(registry_t *registry, const char *name,
			const char *address)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (proxy)
		snprintf(proxy->relay, sizeof(proxy->relay), "%s", address);
}

/*
 * Calls visit for each registered proxy that lends connections, in no
 * particular order.
 */
void registry_relay_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *domain,
					const char *address),
			  void *context)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->registered && proxy->relay[0])
			visit(context, proxy->name, proxy->domain,
			      proxy->relay);
	}
}

const char *registry_domain_get(const registry_t *registry, const char *name)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy ? proxy->domain : "";
}

const char *registry_address_get(const registry_t *registry, const char *name)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy && proxy->registered ? proxy->address : NULL;
}

bool registry_proxy_is_missing(const registry_t *registry, const char *name,
			       clock_ms_t age_ms, clock_ms_t now_ms)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return !proxy ||
	       (!proxy->registered && now_ms >= proxy->state_since_ms + age_ms);
}

/*
 * Returns the first registered proxy of a failure domain that follows a name in
 * the order of names, or NULL.
 */
static const proxy_entry_t *next_in_domain(const registry_t *registry,
					   const char *domain,
					   const char *after)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;
	const proxy_entry_t *first = NULL;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->registered && strcmp(proxy->domain, domain) == 0 &&
		    strcmp(proxy->name, after) > 0 &&
		    (!first || strcmp(proxy->name, first->name) < 0))
			first = proxy;
	}
	return first;
}

size_t registry_readers_find(const registry_t *registry, const char *domain,
			     const char *name, const char **addresses,
			     size_t max)
{
	const proxy_entry_t *proxy = next_in_domain(registry, domain, "");
	size_t count = 0;

	while (proxy && count < max && strcmp(proxy->name, name) != 0) {
		addresses[count++] = proxy->address;
		proxy = next_in_domain(registry, domain, proxy->name);
	}
	return count;
}

bool registry_domain_has_proxy(const registry_t *registry, const char *domain)
{
	return next_in_domain(registry, domain, "") != NULL;
}

/*
 * Calls visit for each registered proxy, in no particular order.
 */
void registry_proxy_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *address),
			  void *context)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->registered)
			visit(context, proxy->name, proxy->address);
	}
}

/*
 * Returns a proxy that was removed more than REMOVED_RETENTION_MS ago, or NULL.
 */
static proxy_entry_t *find_expired(const registry_t *registry,
				   clock_ms_t now_ms)
{
	proxy_entry_t *proxy;
	proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (!proxy->registered && !proxy->evicted &&
		    now_ms >= proxy->state_since_ms + REMOVED_RETENTION_MS)
			return proxy;
	}
	return NULL;
}

/*
 * Removes a proxy that has given up its grants. Also forgets one proxy that was
 * removed long ago, so that the number of known names stays bounded.
 */
void registry_proxy_remove(registry_t *registry, const char *name,
			   clock_ms_t now_ms)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (!proxy)
		return;
	proxy->evicted = false;
	if (!proxy->registered)
		return;
	proxy->registered = false;
	proxy->state_since_ms = now_ms;
	registry->registered--;
	proxy = find_expired(registry, now_ms);
	if (!proxy)
		return;
	HASH_DEL(registry->proxies, proxy);
	free_proxy(proxy);
}

/*
 * Removes a proxy that has not given up its grants itself. The grants may last
 * until their time has passed, so the proxy is remembered as evicted.
 */
void registry_proxy_evict(registry_t *registry, const char *name,
			  clock_ms_t now_ms)
{
	proxy_entry_t *proxy;

	/* A proxy that was never seen as registered may also hold grants. */
	if (!find_proxy(registry, name) &&
	    registry_proxy_set(registry, name, 0, "", now_ms) != 0)
		return;
	proxy = find_proxy(registry, name);
	if (proxy->evicted)
		return;
	proxy->evicted = true;
	if (proxy->registered)
		registry->registered--;
	proxy->registered = false;
	proxy->state_since_ms = now_ms;
}

static registry_state_t state_of(const proxy_entry_t *proxy)
{
	if (proxy->registered)
		return REGISTRY_STATE_REGISTERED;
	return proxy->evicted ? REGISTRY_STATE_EVICTED : REGISTRY_STATE_REMOVED;
}

void registry_state_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					registry_state_t state,
					clock_ms_t age_ms),
			  void *context, clock_ms_t now_ms)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		visit(context, proxy->name, state_of(proxy),
		      now_ms - proxy->state_since_ms);
	}
}

/*
 * Takes over from another proxy for how long a proxy has been in its state. A
 * process that has just started does not know this, and without it would treat
 * all proxies as just registered, removed or evicted. If the states differ, one
 * of the two observers is behind, and nothing is taken over. Returns 0, or -1
 * without memory.
 */
int registry_state_merge(registry_t *registry, const char *name,
			 registry_state_t state, clock_ms_t age_ms,
			 clock_ms_t now_ms)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (!proxy && state == REGISTRY_STATE_REGISTERED)
		return 0;
	if (!proxy) {
		if (registry_proxy_set(registry, name, 0, "", now_ms) != 0)
			return -1;
		proxy = find_proxy(registry, name);
		proxy->registered = false;
		proxy->evicted = state == REGISTRY_STATE_EVICTED;
		registry->registered--;
	}
	if (state_of(proxy) == state && now_ms - age_ms < proxy->state_since_ms)
		proxy->state_since_ms = now_ms - age_ms;
	return 0;
}

bool registry_proxy_next(const registry_t *registry, const char *name,
			 char *next_name, size_t size, char *address,
			 size_t address_size)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *following;
	const proxy_entry_t *first = NULL;
	const proxy_entry_t *after = NULL;

	HASH_ITER(hh, registry->proxies, proxy, following) {
		if (!proxy->registered || strcmp(proxy->name, name) == 0)
			continue;
		if (!first || strcmp(proxy->name, first->name) < 0)
			first = proxy;
		if (strcmp(proxy->name, name) > 0 &&
		    (!after || strcmp(proxy->name, after->name) < 0))
			after = proxy;
	}
	if (!after)
		after = first;
	if (!after)
		return false;
	snprintf(next_name, size, "%s", after->name);
	snprintf(address, address_size, "%s", after->address);
	return true;
}

const char *registry_evicted_find(const registry_t *registry, clock_ms_t age_ms,
				  clock_ms_t now_ms)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->evicted && now_ms >= proxy->state_since_ms + age_ms)
			return proxy->name;
	}
	return NULL;
}

/*
 * Tells whether the process of this incarnation is the one that is registered
 * under the name.
 */
bool registry_process_is_registered(const registry_t *registry,
				    const char *name, uint64_t incarnation)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy && proxy->registered && proxy->incarnation == incarnation;
}

bool registry_proxy_restarted(const registry_t *registry, const char *name,
			      uint64_t incarnation)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy && proxy->registered && proxy->incarnation != incarnation;
}

/*
 * Returns the number of registered proxies.
 */
uint32_t registry_proxy_count(const registry_t *registry)
{
	return registry->registered;
}

/*
 * Returns how many registered proxies precede a name in the order of names.
 */
uint32_t registry_proxy_rank(const registry_t *registry, const char *name)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;
	uint32_t rank = 0;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->registered && strcmp(proxy->name, name) < 0)
			rank++;
	}
	return rank;
}

static group_reports_t *find_group_reports(const registry_t *registry,
					   registry_report_kind_t kind,
					   const char *name, size_t length)
{
	group_reports_t *group;

	HASH_FIND(hh, registry->reports[kind], name, length, group);
	return group;
}

static group_reports_t *add_group_reports(registry_t *registry,
					  registry_report_kind_t kind,
					  const char *name, size_t length)
{
	group_reports_t *group = calloc(1, sizeof(*group));

	if (!group)
		return NULL;
	group->group = strndup(name, length);
	if (!group->group) {
		free(group);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, registry->reports[kind], group->group, length,
			group);
	if (!group->hh.tbl) {
		free(group->group);
		free(group);
		return NULL;
	}
	return group;
}

static report_entry_t *add_report(group_reports_t *group, const char *proxy)
{
	report_entry_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	entry->proxy = strdup(proxy);
	if (!entry->proxy) {
		free(entry);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, group->reports, entry->proxy, strlen(entry->proxy),
			entry);
	if (!entry->hh.tbl) {
		free_report(entry);
		return NULL;
	}
	return entry;
}

static void remove_report(registry_t *registry, registry_report_kind_t kind,
			  group_reports_t *group, report_entry_t *entry)
{
	HASH_DEL(group->reports, entry);
	free_report(entry);
	if (group->reports)
		return;
	HASH_DEL(registry->reports[kind], group);
	free_group_reports(group);
}

/*
 * Sets or removes the report of a proxy about a group. Returns 0, or -1 without
 * memory or if the subject contains no slash.
 */
int registry_report_set(registry_t *registry, registry_report_kind_t kind,
			const char *subject, const registry_report_t *report)
{
	const char *slash = strrchr(subject, '/');
	group_reports_t *group;
	report_entry_t *entry = NULL;
	size_t length;

	if (!slash)
		return -1;
	length = (size_t)(slash - subject);
	group = find_group_reports(registry, kind, subject, length);
	if (group)
		HASH_FIND_STR(group->reports, slash + 1, entry);
	if (!report) {
		if (entry)
			remove_report(registry, kind, group, entry);
		return 0;
	}
	if (!group)
		group = add_group_reports(registry, kind, subject, length);
	if (group && !entry)
		entry = add_report(group, slash + 1);
	if (!entry)
		return -1;
	entry->report = *report;
	return 0;
}

/*
 * Tells whether the registered process of a proxy wrote a report, and the
 * report has this number and primary.
 */
static bool is_report_of(const report_entry_t *entry,
			 const proxy_entry_t *proxy, uint64_t number,
			 const char *primary)
{
	return proxy && proxy->registered && entry->report.number == number &&
	       entry->report.incarnation == proxy->incarnation &&
	       strcmp(entry->report.primary, primary) == 0;
}

/*
 * Counts the registered proxies that reported this number and primary about the
 * group called name. If before is not NULL, only proxies whose names precede it
 * are counted.
 */
static uint32_t count_reports(const registry_t *registry,
			      registry_report_kind_t kind, const char *name,
			      uint64_t number, const char *primary,
			      const char *before)
{
	const group_reports_t *group =
		find_group_reports(registry, kind, name, strlen(name));
	const report_entry_t *entry;
	const report_entry_t *next;
	uint32_t count = 0;

	if (!group)
		return 0;
	HASH_ITER(hh, group->reports, entry, next) {
		if ((!before || strcmp(entry->proxy, before) < 0) &&
		    is_report_of(entry, find_proxy(registry, entry->proxy),
				 number, primary))
			count++;
	}
	return count;
}

/*
 * Returns how many registered proxies suspect the recorded primary.
 */
uint32_t registry_count_suspicions(const registry_t *registry,
				   const char *group,
				   const group_record_t *record)
{
	return count_reports(registry, REGISTRY_REPORT_SUSPICION, group,
			     record->term, record->primary, NULL);
}

/*
 * Returns how many of the proxies that suspect the recorded primary precede a
 * name in the order of names. A proxy on the primary's side of a network
 * partition reports no suspicion, and so no other proxy waits for it to start a
 * promotion.
 */
uint32_t registry_suspicion_rank(const registry_t *registry, const char *group,
				 const group_record_t *record, const char *name)
{
	return count_reports(registry, REGISTRY_REPORT_SUSPICION, group,
			     record->term, record->primary, name);
}

/*
 * Returns how many registered proxies have reported that they stopped on the
 * fence of the record. The fence is identified by the store revision of the
 * record and not by its token: a promoter keeps its token when it fences the
 * group again, and stops on an earlier fence must not count for a later one.
 */
uint32_t registry_count_stopped(const registry_t *registry, const char *group,
				const group_record_t *record)
{
	if (record->fence == 0)
		return 0;
	return count_reports(registry, REGISTRY_REPORT_STOPPED, group,
			     record->revision, "", NULL);
}

/*
 * Tells whether every proxy that may hold a grant has reported that it stopped.
 * An evicted proxy may hold a grant for grant_life_ms after its eviction, and
 * can't report its stop, as reports of unregistered proxies are not counted.
 */
bool registry_all_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record,
			  clock_ms_t grant_life_ms, clock_ms_t now_ms)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	if (record->fence == 0 ||
	    registry_count_stopped(registry, group, record) <
		    registry->registered)
		return false;
	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (proxy->evicted &&
		    now_ms < proxy->state_since_ms + grant_life_ms)
			return false;
	}
	return true;
}

/*
 * Tells whether a registered proxy has reported this number and primary about a
 * group.
 */
static bool has_report(const registry_t *registry, registry_report_kind_t kind,
		       const char *group, const char *name, uint64_t number,
		       const char *primary)
{
	const group_reports_t *reports =
		find_group_reports(registry, kind, group, strlen(group));
	const report_entry_t *entry = NULL;

	if (!reports)
		return false;
	HASH_FIND_STR(reports->reports, name, entry);
	return entry &&
	       is_report_of(entry, find_proxy(registry, name), number, primary);
}

bool registry_has_suspicion(const registry_t *registry, const char *group,
			    const group_record_t *record, const char *name)
{
	return has_report(registry, REGISTRY_REPORT_SUSPICION, group, name,
			  record->term, record->primary);
}

bool registry_has_stopped(const registry_t *registry, const char *group,
			  const group_record_t *record, const char *name)
{
	return record->fence != 0 &&
	       has_report(registry, REGISTRY_REPORT_STOPPED, group, name,
			  record->revision, "");
}
