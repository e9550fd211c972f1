#include "internal.h"

#include <stdio.h>
#include <string.h>

#define INDIRECT_PROBES 2
/* A dead member is remembered this long, so that old updates can't bring it
 * back. */
#define FORGET_MS (10 * 60 * 1000)

/*
 * Tells whether a member is this proxy.
 */
bool proxy_members_is_self(const proxy_t *proxy,
			   const membership_member_t *member)
{
	return strcmp(member->name, proxy->settings.name) == 0;
}

/*
 * Tells whether every live member reports at least a revision.
 */
bool proxy_members_have(const proxy_t *proxy, uint64_t revision)
{
	size_t i;

	for (i = 0; i < membership_count(proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(proxy->membership, i);

		if (member->state != MEMBERSHIP_STATE_DEAD &&
		    !proxy_members_is_self(proxy, member) &&
		    member->revision < revision)
			return false;
	}
	return true;
}

static void perform(proxy_t *proxy, const membership_action_t *actions,
		    size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		peer_message_t message = { .kind = PEER_MESSAGE_MEMBERSHIP };
		const membership_member_t *member;

		switch (actions[i].kind) {
		case MEMBERSHIP_ACTION_SEND:
			message.u.membership = actions[i].u.send.message;
			peer_node_send(proxy->peer, actions[i].u.send.address,
				       &message);
			break;
		case MEMBERSHIP_ACTION_CHANGED:
			member = &actions[i].u.changed.member;
			proxy->ownership_dirty = true;
			LOG_EVENT(proxy->log, LOG_LEVEL_NOTICE, "member",
				  LOG_TEXT("name", member->name),
				  LOG_TEXT("domain", member->domain),
				  LOG_TEXT("from",
					   membership_state_text(
						   actions[i].u.changed.from)),
				  LOG_TEXT("to", membership_state_text(
							 member->state)));
			break;
		}
	}
}

/*
 * Creates the membership with this proxy and the seeds of the settings. Returns
 * PROXY_OK or PROXY_ERROR_MEMORY.
 */
int proxy_members_new(proxy_t *proxy)
{
	const settings_t *settings = &proxy->settings;
	membership_options_t options = {
		.period_ms = settings->probe_period_ms,
		.probe_timeout_ms = settings->probe_timeout_ms,
		.suspicion_ms = settings->suspicion_ms,
		.indirect_probes = INDIRECT_PROBES,
		.forget_ms = FORGET_MS,
		.members_max = settings->members_max,
	};
	char seed[SETTINGS_ENDPOINT_SIZE];
	uint32_t i;

	snprintf(options.self.name, sizeof(options.self.name), "%s",
		 settings->name);
	snprintf(options.self.domain, sizeof(options.self.domain), "%s",
		 settings->domain);
	snprintf(options.self.address, sizeof(options.self.address), "%.63s",
		 proxy->peer_address);
	options.self.incarnation = proxy->incarnation;
	options.self.state = MEMBERSHIP_STATE_ALIVE;
	proxy->membership = membership_new(&options, proxy_now(proxy));
	if (!proxy->membership)
		return PROXY_ERROR_MEMORY;
	for (i = 0; i < settings->seed_count; i++) {
		settings_endpoint_format(&settings->seeds[i], seed);
		if (strcmp(seed, proxy->peer_address) != 0)
			membership_seed_add(proxy->membership, seed);
	}
	return PROXY_OK;
}

/*
 * Handles a probe or its answer, and the configuration revision in it.
 */
void proxy_members_receive(proxy_t *proxy, const membership_message_t *message)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count =
		membership_receive(proxy->membership, message, proxy_now(proxy),
				   proxy_random(), actions);

	perform(proxy, actions, count);
	proxy_configure_offered(proxy, &message->from);
}

/*
 * Passes the time to the membership and the configuration revision with it.
 */
void proxy_members_tick(proxy_t *proxy, clock_ms_t now_ms)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count;

	membership_set_revision(proxy->membership,
				proxy_configure_revision(proxy));
	count = membership_tick(proxy->membership, now_ms, proxy_random(),
				actions);
	perform(proxy, actions, count);
}

/* One entry of the instance list, by name. */
typedef struct {
	UT_hash_handle hh;
	const platform_instance_t *instance;
	bool target;
} listed_t;

/*
 * Marks the targets that the instance list calls leaving, and the entries that
 * name targets: the list holds the instances of targets as well as those of
 * proxies. All targets are gone through once for the whole list.
 */
static void mark_targets(proxy_t *proxy, listed_t *table)
{
	proxy_group_t *group;
	proxy_group_t *next;
	listed_t *listed;
	uint32_t i;

	HASH_ITER(hh, proxy->groups, group, next) {
		for (i = 0; i < group->config.target_count; i++) {
			proxy_target_t *target = &group->targets[i];

			HASH_FIND_STR(table, target->config.name, listed);
			if (!listed)
				continue;
			listed->target = true;
			if (target->list_leaving == listed->instance->leaving)
				continue;
			target->list_leaving = listed->instance->leaving;
			proxy_observe_leaving(group, (group_index_t)i,
					      target->list_leaving ||
						      target->config.leaving);
		}
	}
}

static void update_member(proxy_t *proxy, const platform_instance_t *instance)
{
	membership_member_t member = {
		.state = instance->leaving ? MEMBERSHIP_STATE_LEAVING
					   : MEMBERSHIP_STATE_ALIVE,
	};

	snprintf(member.name, sizeof(member.name), "%s", instance->name);
	snprintf(member.address, sizeof(member.address), "%s",
		 instance->address);
	snprintf(member.domain, sizeof(member.domain), "%s", instance->domain);
	if (strcmp(member.name, proxy->settings.name) != 0 &&
	    *member.address != '\0')
		membership_list_update(proxy->membership, &member,
				       proxy_now(proxy));
}

/*
 * Takes over the platform's instance list.
 */
void proxy_members_listed(void *context, int error,
			  const platform_instance_t *instances, size_t count)
{
	proxy_t *proxy = context;
	listed_t *table = NULL;
	listed_t *entries;
	listed_t *listed;
	size_t i;

	proxy->list_pending = false;
	if (error != PLATFORM_OK) {
		LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "instance-list-failed",
			  LOG_TEXT("error", platform_error_text(error)));
		return;
	}
	entries = calloc(count + 1, sizeof(*entries));
	if (!entries)
		return;
	for (i = 0; i < count; i++) {
		entries[i].instance = &instances[i];
		HASH_FIND_STR(table, instances[i].name, listed);
		/* Of two entries of one name the last one counts. */
		if (listed)
			HASH_DEL(table, listed);
		HASH_ADD_KEYPTR(hh, table, instances[i].name,
				strlen(instances[i].name), &entries[i]);
	}
	mark_targets(proxy, table);
	for (listed = table; listed; listed = listed->hh.next) {
		if (!listed->target)
			update_member(proxy, listed->instance);
	}
	/* A member that becomes leaving by the list is reported as changed by
	 * the next tick, so the owners are not decided anew here. */
	HASH_CLEAR(hh, table);
	free(entries);
}
