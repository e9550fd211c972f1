#include "internal.h"

static json_t *target_json(const proxy_group_t *group, group_index_t index)
{
	const proxy_target_t *target = &group->targets[index];
	const group_status_t *status =
		group->evidence ? route_evidence_status(group->evidence, index)
				: NULL;
	const membership_member_t *owner =
		membership_owner(group->proxy->membership, target->config.name,
				 target->config.domain);
	json_t *object = json_pack(
		"{s:s, s:s, s:s, s:b}", "name", target->config.name, "domain",
		target->config.domain, "owner", owner ? owner->name : "",
		"owned_here", target->owned);
	admission_usage_t usage;
	clock_ms_t age_ms;

	if (status) {
		json_object_set_new(
			object, "role",
			json_string(status->role == GROUP_ROLE_PRIMARY
					    ? "primary"
					    : "replica"));
		json_object_set_new(object, "term",
				    json_integer(status->log_term));
		json_object_set_new(object, "promised_term",
				    json_integer(status->promised_term));
		json_object_set_new(
			object, "applied",
			json_integer((json_int_t)status->applied_bytes));
		json_object_set_new(object, "leaving",
				    json_boolean(status->leaving));
	}
	if (group->evidence &&
	    route_evidence_age(group->evidence, index, proxy_now(group->proxy),
			       &age_ms) == ROUTE_OK)
		json_object_set_new(object, "age_ms", json_integer(age_ms));
	if (!target->pool)
		return object;
	usage = admission_usage(target->admission);
	json_object_set_new(
		object, "connections",
		json_integer(target_pool_connection_count(target->pool)));
	json_object_set_new(object, "statements", json_integer(usage.in_use));
	json_object_set_new(object, "queued", json_integer(usage.queued));
	return object;
}

static json_t *group_json(const proxy_group_t *group)
{
	const config_item_t *item =
		config_store_find(group->proxy->config, group->name);
	json_t *targets = json_array();
	json_t *object;
	failover_view_t view;
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++)
		json_array_append_new(targets,
				      target_json(group, (group_index_t)i));
	object = json_pack("{s:s, s:I, s:s, s:o}", "service", group->name,
			   "revision", item ? (json_int_t)item->revision : 0,
			   "primary",
			   group->hint == GROUP_INDEX_NONE
				   ? ""
				   : group->config.targets[group->hint].name,
			   "targets", targets);
	if (!group->failover)
		return object;
	view = failover_view(group->failover);
	json_object_set_new(object, "phase",
			    json_string(failover_phase_text(view.phase)));
	json_object_set_new(object, "term", json_integer(view.term));
	json_object_set_new(object, "promotions",
			    json_integer(view.promotions));
	return object;
}

static json_t *members_json(const proxy_t *proxy)
{
	json_t *members = json_array();
	size_t i;

	for (i = 0; i < membership_count(proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(proxy->membership, i);

		json_array_append_new(
			members,
			json_pack("{s:s, s:s, s:s, s:s, s:I}", "name",
				  member->name, "domain", member->domain,
				  "address", member->address, "state",
				  membership_state_text(member->state),
				  "revision", (json_int_t)member->revision));
	}
	return members;
}

/*
 * Returns the state of the proxy for operators, as a new reference.
 */
json_t *proxy_status(void *context)
{
	proxy_t *proxy = context;
	json_t *services = json_array();
	proxy_group_t *group;
	proxy_group_t *next;

	HASH_ITER(hh, proxy->groups, group, next) {
		json_array_append_new(services, group_json(group));
	}
	return json_pack("{s:s, s:s, s:b, s:I, s:i, s:i, s:o, s:o}", "name",
			 proxy->settings.name, "domain", proxy->settings.domain,
			 "draining", proxy->draining, "revision",
			 (json_int_t)proxy_configure_revision(proxy),
			 "in_flight", (int)proxy->requests, "transactions",
			 (int)HASH_COUNT(proxy->transactions), "members",
			 members_json(proxy), "services", services);
}
