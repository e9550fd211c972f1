#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A third of the primary's slots is kept for writes and open transactions. */
#define RESERVED_SLOTS_DIVISOR 3
/* Service time of a statement that admission assumes before the first
 * measurement. */
#define INITIAL_SERVICE_MS 10

/*
 * Returns the group that is in force for the service, or NULL.
 */
proxy_group_t *proxy_group_find(proxy_t *proxy, const char *service)
{
	proxy_group_t *group;

	HASH_FIND_STR(proxy->groups, service, group);
	return group;
}

/*
 * Returns the index of the target with the name in the group, or
 * GROUP_INDEX_NONE.
 */
group_index_t proxy_group_find_target(const proxy_group_t *group,
				      const char *name)
{
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++) {
		if (strcmp(group->config.targets[i].name, name) == 0)
			return (group_index_t)i;
	}
	return GROUP_INDEX_NONE;
}

/*
 * Returns how many of the connections that the service allows to a target are
 * left for statements after the control connections: each owner of a target of
 * the group may have one to every target. The result is at least 1.
 */
static uint32_t pooled_connections(const config_service_t *config)
{
	return config->connections > config->target_count + 1
		       ? config->connections - config->target_count
		       : 1;
}

static admission_options_t admission_options(const proxy_group_t *group,
					     group_index_t index)
{
	const config_service_t *config = &group->config;
	uint32_t connections = pooled_connections(config);
	uint32_t slots =
		config->slots < connections ? config->slots : connections;
	admission_options_t options = {
		.slots = slots,
		.queue_max = config->queue_max,
		.initial_service_ms = INITIAL_SERVICE_MS,
		.transactions_max =
			connections > slots ? connections - slots : 1,
	};

	/* Replicas get no writes, so that reserved slots would be unused there.
	 */
	if (group->known_primary == index && slots > 1)
		options.reserved_slots = (slots + RESERVED_SLOTS_DIVISOR - 1) /
					 RESERVED_SLOTS_DIVISOR;
	return options;
}

static target_pool_options_t pool_options(const proxy_group_t *group)
{
	const settings_t *settings = &group->proxy->settings;

	return (target_pool_options_t){
		.connections_max = pooled_connections(&group->config),
		.connects_per_second = settings->connects_per_second,
		.connect_timeout_ms = settings->connect_timeout_ms,
		.idle_ms = settings->idle_ms,
	};
}

static void apply_limits(proxy_group_t *group)
{
	target_pool_options_t pool = pool_options(group);
	admission_options_t admission;
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++) {
		proxy_target_t *target = &group->targets[i];

		if (!target->pool)
			continue;
		admission = admission_options(group, (group_index_t)i);
		admission_configure(target->admission, &admission);
		target_pool_configure(target->pool, &pool);
	}
}

static bool same_targets(const config_service_t *a, const config_service_t *b)
{
	uint32_t i;

	if (a->target_count != b->target_count)
		return false;
	for (i = 0; i < a->target_count; i++) {
		const config_target_t *x = &a->targets[i];
		const config_target_t *y = &b->targets[i];

		if (strcmp(x->name, y->name) != 0 ||
		    strcmp(x->address, y->address) != 0 ||
		    strcmp(x->domain, y->domain) != 0 || x->port != y->port)
			return false;
	}
	return true;
}

static void set_config(proxy_group_t *group, const config_service_t *service)
{
	uint32_t i;

	group->config = *service;
	for (i = 0; i < service->target_count; i++) {
		group->targets[i].config = service->targets[i];
		proxy_observe_leaving(group, (group_index_t)i,
				      service->targets[i].leaving ||
					      group->targets[i].list_leaving);
	}
}

/*
 * Adds the group to the list of active groups, which have work in each tick, or
 * removes it. The list saves a walk through all groups: at full size a proxy
 * owns targets of only a few of several thousand groups.
 */
static void set_active(proxy_group_t *group, bool active)
{
	if (active && !group->active)
		DL_APPEND2(group->proxy->active, group, prev_active,
			   next_active);
	else if (!active && group->active)
		DL_DELETE2(group->proxy->active, group, prev_active,
			   next_active);
	group->active = active;
}

/*
 * Takes a group out of force. proxy_groups_reap() frees it when its executions
 * and transactions have ended.
 */
static void retire(proxy_t *proxy, proxy_group_t *group)
{
	uint32_t i;

	HASH_DEL(proxy->groups, group);
	set_active(group, false);
	group->retired = true;
	for (i = 0; i < group->config.target_count; i++)
		group->targets[i].owned = false;
	group->next_retired = proxy->retired;
	proxy->retired = group;
}

static proxy_group_t *new_group(proxy_t *proxy, const config_service_t *service)
{
	proxy_group_t *group = calloc(1, sizeof(*group));
	uint32_t i;

	if (!group)
		return NULL;
	group->proxy = proxy;
	group->known_primary = GROUP_INDEX_NONE;
	group->service_hash = session_service_hash(service->name);
	snprintf(group->name, sizeof(group->name), "%s", service->name);
	for (i = 0; i < GROUP_TARGETS_MAX; i++) {
		group->targets[i].group = group;
		group->targets[i].index = (group_index_t)i;
	}
	return group;
}

/*
 * Puts the configuration of a service into force. If the service keeps its
 * targets, the new limits apply to its group at once. Otherwise a new group
 * takes the place of the old one, which is freed when its executions and
 * transactions have ended. Returns PROXY_OK or PROXY_ERROR_MEMORY.
 */
int proxy_group_configure(proxy_t *proxy, const config_service_t *service)
{
	proxy_group_t *group = proxy_group_find(proxy, service->name);

	if (group && same_targets(&group->config, service)) {
		set_config(group, service);
		apply_limits(group);
		return PROXY_OK;
	}
	if (group)
		retire(proxy, group);
	group = new_group(proxy, service);
	if (!group)
		return PROXY_ERROR_MEMORY;
	set_config(group, service);
	HASH_ADD_STR(proxy->groups, name, group);
	proxy->ownership_dirty = true;
	return PROXY_OK;
}

/*
 * Removes the service, if it is known. Its group is freed when its executions
 * and transactions have ended.
 */
void proxy_group_remove(proxy_t *proxy, const char *service)
{
	proxy_group_t *group = proxy_group_find(proxy, service);

	if (group)
		retire(proxy, group);
}

/*
 * Gives back a reference to the group that an execution or a transaction holds.
 */
void proxy_group_release(proxy_group_t *group)
{
	group->references--;
}

static void on_target_note(void *context, const char *event, const char *target,
			   const char *detail)
{
	proxy_t *proxy = context;

	LOG_EVENT(proxy->log, LOG_LEVEL_INFO, event, LOG_TEXT("target", target),
		  LOG_TEXT("detail", detail));
}

/*
 * Makes this proxy the owner of the target, with a pool of connections and
 * their admission. Without memory for them the target is not owned.
 */
static void own_target(proxy_group_t *group, proxy_target_t *target)
{
	const settings_t *settings = &group->proxy->settings;
	admission_options_t admission = admission_options(group, target->index);
	target_pool_options_t pool = pool_options(group);
	target_endpoint_t endpoint = {
		.name = target->config.name,
		.address = target->config.address,
		.port = target->config.port,
		.user = settings->target_user,
		.database = settings->target_database,
	};

	if (!target->admission)
		target->admission = admission_new(&admission);
	if (target->admission && !target->pool)
		target->pool = target_pool_new(
			group->proxy->base, &group->proxy->clock, &endpoint,
			&pool, on_target_note, group->proxy);
	target->owned = target->pool != NULL;
}

static bool should_own(const proxy_t *proxy, const proxy_target_t *target)
{
	return !proxy->draining &&
	       membership_owns(proxy->membership, target->config.name,
			       target->config.domain);
}

/*
 * Decides which targets of the group this proxy owns, and observes the group if
 * it owns any.
 */
static void update_group_ownership(proxy_group_t *group)
{
	bool any = false;
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++) {
		proxy_target_t *target = &group->targets[i];
		bool own = should_own(group->proxy, target);

		if (own != target->owned)
			LOG_EVENT(group->proxy->log, LOG_LEVEL_INFO,
				  own ? "target-owned" : "target-released",
				  LOG_TEXT("service", group->name),
				  LOG_TEXT("target", target->config.name));
		if (own)
			own_target(group, target);
		else
			target->owned = false;
		any = any || target->owned;
	}
	if (!any)
		return;
	set_active(group, true);
	proxy_observe_start(group);
}

/*
 * Decides again which targets this proxy owns, by the membership. Opens the
 * pools of the targets that it owns now and starts to observe their groups; the
 * pools of released targets are closed later by proxy_groups_reap().
 */
void proxy_groups_update_ownership(proxy_t *proxy)
{
	proxy_group_t *group;
	proxy_group_t *next;

	proxy->ownership_dirty = false;
	HASH_ITER(hh, proxy->groups, group, next) {
		update_group_ownership(group);
	}
}

static bool has_transactions(const proxy_target_t *target)
{
	proxy_transaction_t *transaction;
	proxy_transaction_t *next;

	HASH_ITER(hh, target->group->proxy->transactions, transaction, next) {
		if (transaction->target == target)
			return true;
	}
	return false;
}

static void free_pool(proxy_target_t *target)
{
	target_pool_t *pool = target->pool;

	target->pool = NULL;
	target_pool_free(pool);
	admission_free(target->admission);
	target->admission = NULL;
}

/*
 * Closes the pools of targets that this proxy no longer owns and whose
 * statements and transactions have ended. Returns whether the group has no pool
 * left.
 */
static bool reap_pools(proxy_group_t *group)
{
	admission_usage_t usage;
	bool none = true;
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++) {
		proxy_target_t *target = &group->targets[i];

		if (!target->pool)
			continue;
		usage = admission_usage(target->admission);
		if (!target->owned && usage.in_use == 0 && usage.queued == 0 &&
		    !has_transactions(target) && group->references == 0)
			free_pool(target);
		else
			none = false;
	}
	return none;
}

/*
 * Frees the group with its pools and control connections. Its executions and
 * transactions must have ended.
 */
void proxy_group_free(proxy_group_t *group)
{
	uint32_t i;

	set_active(group, false);
	proxy_observe_stop(group);
	for (i = 0; i < group->config.target_count; i++) {
		if (group->targets[i].pool)
			free_pool(&group->targets[i]);
	}
	free(group);
}

/*
 * Closes the pools of targets that this proxy no longer owns, stops observing
 * the groups without a pool, and frees retired groups; each after the
 * statements and transactions in progress have ended.
 */
void proxy_groups_reap(proxy_t *proxy)
{
	proxy_group_t **at = &proxy->retired;
	proxy_group_t *group;
	proxy_group_t *next;

	DL_FOREACH_SAFE2(proxy->active, group, next, next_active)
	{
		if (reap_pools(group) && group->references == 0) {
			proxy_observe_stop(group);
			set_active(group, false);
		}
	}
	while (*at) {
		group = *at;
		if (!reap_pools(group) || group->references > 0) {
			at = &group->next_retired;
			continue;
		}
		*at = group->next_retired;
		proxy_group_free(group);
	}
}

static void tick_group(proxy_group_t *group, clock_ms_t now_ms)
{
	uint32_t i;

	if (group->failover)
		proxy_observe_tick(group, now_ms);
	proxy_execute_expire(group, now_ms);
	for (i = 0; i < group->config.target_count; i++) {
		if (group->targets[i].pool)
			proxy_execute_dispatch(&group->targets[i]);
	}
}

/*
 * Handles the passing of time in the active and the retired groups: failover,
 * deadlines of executions, and dispatch of queued ones.
 */
void proxy_groups_tick(proxy_t *proxy, clock_ms_t now_ms)
{
	proxy_group_t *group;
	proxy_group_t *next;

	DL_FOREACH_SAFE2(proxy->active, group, next, next_active)
	{
		tick_group(group, now_ms);
	}
	for (group = proxy->retired; group; group = group->next_retired)
		tick_group(group, now_ms);
}

/*
 * Applies the limits of the targets again after the primary changed, as slots
 * are reserved for writes at the primary only.
 */
void proxy_group_primary_changed(proxy_group_t *group)
{
	apply_limits(group);
}
