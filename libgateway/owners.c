#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* The proxies of a failure domain that may own connections, while the owners of
 * a target are found. */
typedef struct {
	const gateway_t *gateway;
	relay_candidate_t *candidates;
	const char **addresses;
	size_t count;
	/* Failure domains that have such proxies. */
	const char **domains;
	uint32_t domain_count;
} candidates_t;

/*
 * To be called when the registered proxies or the configuration have changed:
 * the owners of each target are found anew.
 */
void gateway_owners_changed(gateway_t *gateway)
{
	gateway->owner_changes++;
}

static void add_domain(candidates_t *all, const char *domain)
{
	uint32_t i;

	for (i = 0; i < all->domain_count; i++) {
		if (strcmp(all->domains[i], domain) == 0)
			return;
	}
	all->domains[all->domain_count++] = domain;
}

static void add_candidate(void *context, const char *name, const char *domain,
			  const char *address)
{
	candidates_t *all = context;

	add_domain(all, domain);
	if (strcmp(domain, all->gateway->settings->domain) != 0)
		return;
	all->addresses[all->count] = address;
	all->candidates[all->count++] = (relay_candidate_t){ .name = name };
}

/*
 * Finds the owners of a target among the candidates, and this proxy's part.
 */
static void set_owners(target_t *target, const candidates_t *all,
		       uint32_t connections_max)
{
	const gateway_t *gateway = target->group->gateway;
	target_relay_t *relay = &target->relay;
	size_t owners[RELAY_OWNERS];
	size_t count = relay_owners_find(all->candidates, all->count,
					 target->entry.id, owners);
	relay_part_t part = { 0, 0 };
	size_t rank;

	for (rank = 0; rank < count; rank++) {
		const char *address = all->addresses[owners[rank]];

		relay->owned[rank] = strcmp(all->candidates[owners[rank]].name,
					    gateway->settings->name) == 0;
		if (relay->owned[rank])
			part = relay_part(connections_max, all->domain_count,
					  rank);
		if (strcmp(relay->owners[rank], address) == 0)
			continue;
		snprintf(relay->owners[rank], sizeof(relay->owners[rank]), "%s",
			 address);
		relay->skip_until_ms[rank] = 0;
	}
	relay->owner_count = (uint32_t)count;
	relay->has_owners = count > 0;
	relay_share_set(&relay->share, part, gateway_now(gateway));
}

/*
 * Finds the owners of a target's connections if the registered proxies or the
 * configuration have changed since. Without memory, the earlier owners stay.
 * With tenants there are none: a connection belongs to a tenant, and is not
 * lent yet.
 */
void gateway_owners_refresh(target_t *target)
{
	const gateway_t *gateway = target->group->gateway;
	const service_t *service;
	candidates_t all = { .gateway = gateway };
	uint32_t proxies = registry_proxy_count(gateway->proxies);
	uint32_t connections_max;

	if (gateway->settings->relay.port == 0 ||
	    target->relay.change == gateway->owner_changes)
		return;
	service = gateway_configuration_service(&gateway->configuration,
						target->group->name);
	connections_max = service ? service->connections_max : 0;
	if (gateway->configuration.tenants ||
	    !relay_is_needed(connections_max, proxies)) {
		target->relay.has_owners = false;
		target->relay.change = gateway->owner_changes;
		relay_share_set(&target->relay.share, (relay_part_t){ 0, 0 },
				gateway_now(gateway));
		return;
	}
	all.candidates = calloc(proxies, sizeof(*all.candidates));
	all.addresses = calloc(proxies, sizeof(*all.addresses));
	all.domains = calloc(proxies, sizeof(*all.domains));
	if (all.candidates && all.addresses && all.domains) {
		registry_relay_visit(gateway->proxies, add_candidate, &all);
		set_owners(target, &all, connections_max);
		target->relay.change = gateway->owner_changes;
	}
	free(all.candidates);
	free(all.addresses);
	free(all.domains);
}

/*
 * Finds the owners of all targets, so that the time in which a new owner holds
 * few connections does not begin with the first statement. To be called in each
 * tick.
 */
void gateway_owners_tick(gateway_t *gateway)
{
	target_t *target;
	target_t *next;

	if (gateway->settings->relay.port == 0)
		return;
	HASH_ITER(hh, gateway->targets, target, next)
		gateway_owners_refresh(target);
}

/*
 * Returns true if the owners of a target's connections have just refused to
 * lend one, so that statements are sent elsewhere.
 */
bool gateway_owners_refuse(target_t *target, clock_ms_t now_ms)
{
	gateway_owners_refresh(target);
	return target->relay.has_owners &&
	       now_ms < target->relay.refused_until_ms;
}
