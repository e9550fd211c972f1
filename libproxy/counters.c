#include "internal.h"

typedef struct {
	size_t offset;
	counter_kind_t kind;
	const char *name;
	const char *help;
	const char *label;
} family_t;

#define FAMILY(member) offsetof(proxy_t, counters.member)

static const family_t families[] = {
	{ FAMILY(statements), COUNTER_KIND_COUNTER,
	  "hornbeamtack_statements_total",
	  "Requests of callers by outcome, in requests.", "outcome" },
	{ FAMILY(refusals), COUNTER_KIND_COUNTER, "hornbeamtack_refusals_total",
	  "Requests that were not run, by reason, in requests.", "reason" },
	{ FAMILY(reads), COUNTER_KIND_COUNTER, "hornbeamtack_reads_total",
	  "Reads that were done, by the role of the target, in requests.",
	  "served_by" },
	{ FAMILY(latency), COUNTER_KIND_HISTOGRAM, "hornbeamtack_latency_ms",
	  "Time from a caller's request to its answer, in ms.", "operation" },
	{ FAMILY(forwards), COUNTER_KIND_COUNTER, "hornbeamtack_forwards_total",
	  "Statements sent to the owner of a target, in statements.", "to" },
	{ FAMILY(retries), COUNTER_KIND_COUNTER, "hornbeamtack_retries_total",
	  "Further attempts of a statement, in attempts.", NULL },
	{ FAMILY(promotions), COUNTER_KIND_COUNTER,
	  "hornbeamtack_promotions_total",
	  "Promotions made by this proxy, in promotions.", "service" },
	{ FAMILY(phase_ms), COUNTER_KIND_HISTOGRAM,
	  "hornbeamtack_failover_phase_ms",
	  "Time spent in each phase of a failover, in ms.", "phase" },
	{ FAMILY(malformed), COUNTER_KIND_COUNTER,
	  "hornbeamtack_malformed_total",
	  "Malformed input that was refused, by interface, in messages.",
	  "interface" },
	{ FAMILY(config_revision), COUNTER_KIND_GAUGE,
	  "hornbeamtack_configuration_revision",
	  "Revision of the configuration that is in force.", NULL },
	{ FAMILY(members), COUNTER_KIND_GAUGE, "hornbeamtack_members",
	  "Proxies known, by state.", "state" },
	{ FAMILY(connections), COUNTER_KIND_GAUGE,
	  "hornbeamtack_target_connections",
	  "Pooled connections open to a target.", "target" },
	{ FAMILY(slots), COUNTER_KIND_GAUGE, "hornbeamtack_target_statements",
	  "Statements in execution at a target.", "target" },
	{ FAMILY(queued), COUNTER_KIND_GAUGE, "hornbeamtack_target_queue",
	  "Statements that wait for a slot of a target.", "target" },
	{ FAMILY(transactions), COUNTER_KIND_GAUGE, "hornbeamtack_transactions",
	  "Transactions that are open.", NULL },
	{ FAMILY(platform_calls), COUNTER_KIND_COUNTER,
	  "hornbeamtack_platform_calls_total",
	  "Calls made to the platform since the start, by kind, in calls.",
	  "kind" },
	{ FAMILY(peer_bytes), COUNTER_KIND_COUNTER,
	  "hornbeamtack_peer_bytes_total",
	  "Bytes exchanged with other proxies since the start.", "direction" },
	{ FAMILY(peer_messages), COUNTER_KIND_COUNTER,
	  "hornbeamtack_peer_messages_total",
	  "Messages exchanged with other proxies since the start.",
	  "direction" },
	{ FAMILY(spans_dropped), COUNTER_KIND_COUNTER,
	  "hornbeamtack_spans_dropped_total",
	  "Spans dropped because the collector was slow, in spans.", NULL },
	{ FAMILY(in_flight), COUNTER_KIND_GAUGE, "hornbeamtack_in_flight",
	  "Requests of callers without an answer.", NULL },
};

/*
 * Creates the registry and all families. Returns PROXY_OK or
 * PROXY_ERROR_MEMORY.
 */
int proxy_counters_new(proxy_t *proxy)
{
	size_t i;

	proxy->counters.registry = counter_registry_new();
	if (!proxy->counters.registry)
		return PROXY_ERROR_MEMORY;
	for (i = 0; i < sizeof(families) / sizeof(families[0]); i++) {
		const family_t *family = &families[i];
		counter_family_t **at =
			(counter_family_t **)((char *)proxy + family->offset);

		*at = counter_family_new(proxy->counters.registry, family->kind,
					 family->name, family->help,
					 family->label);
		if (!*at)
			return PROXY_ERROR_MEMORY;
	}
	return PROXY_OK;
}

static void set_members(proxy_t *proxy)
{
	uint32_t counts[MEMBERSHIP_STATE_DEAD + 1] = { 0 };
	size_t i;

	for (i = 0; i < membership_count(proxy->membership); i++)
		counts[membership_at(proxy->membership, i)->state]++;
	for (i = 0; i <= MEMBERSHIP_STATE_DEAD; i++)
		counter_family_set(proxy->counters.members,
				   membership_state_text((membership_state_t)i),
				   counts[i]);
}

static void set_target(proxy_t *proxy, const proxy_target_t *target)
{
	admission_usage_t usage;

	if (!target->pool)
		return;
	usage = admission_usage(target->admission);
	counter_family_set(proxy->counters.connections, target->config.name,
			   target_pool_connection_count(target->pool));
	counter_family_set(proxy->counters.slots, target->config.name,
			   usage.in_use);
	counter_family_set(proxy->counters.queued, target->config.name,
			   usage.queued);
}

/*
 * Returns all counters as Prometheus text, which the caller frees. Gauges are
 * set from the state of the proxy first.
 */
char *proxy_counters_render(proxy_t *proxy)
{
	platform_usage_t platform = platform_client_usage(proxy->platform);
	peer_usage_t peer = peer_node_usage(proxy->peer);
	proxy_group_t *group;
	proxy_group_t *next;
	uint32_t i;

	set_members(proxy);
	HASH_ITER(hh, proxy->groups, group, next) {
		for (i = 0; i < group->config.target_count; i++)
			set_target(proxy, &group->targets[i]);
	}
	counter_family_set(proxy->counters.config_revision, NULL,
			   (double)proxy_configure_revision(proxy));
	counter_family_set(proxy->counters.transactions, NULL,
			   HASH_COUNT(proxy->transactions));
	counter_family_set(proxy->counters.in_flight, NULL, proxy->requests);
	counter_family_set(proxy->counters.platform_calls, "read",
			   (double)platform.reads);
	counter_family_set(proxy->counters.platform_calls, "write",
			   (double)platform.writes);
	counter_family_set(proxy->counters.platform_calls, "watch",
			   (double)platform.watches);
	counter_family_set(proxy->counters.peer_bytes, "sent",
			   (double)peer.sent_bytes);
	counter_family_set(proxy->counters.peer_bytes, "received",
			   (double)peer.received_bytes);
	counter_family_set(proxy->counters.peer_messages, "sent",
			   (double)peer.sent_messages);
	counter_family_set(proxy->counters.peer_messages, "received",
			   (double)peer.received_messages);
	return counter_registry_render(proxy->counters.registry);
}
