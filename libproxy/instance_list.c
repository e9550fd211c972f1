#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Interval at which the watchers repeat that no instance is leaving. */
#define LEAVING_REPEAT_MS 30000

/* An entry of the platform's instance list, in a table by name. */
typedef struct {
	UT_hash_handle hh;
	const platform_instance_t *instance;
	/* The entry names a target, not a proxy. */
	bool target;
} instance_entry_t;

/*
 * Records which targets the instance list shows as leaving, and marks the
 * entries that name targets, as the list holds instances of targets and of
 * proxies. The walk through all targets is made once for the whole list.
 */
static void mark_targets(proxy_t *proxy, instance_entry_t *table)
{
	proxy_group_t *group;
	proxy_group_t *next;
	instance_entry_t *listed;
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
		membership_update_listed(proxy->membership, &member,
					 proxy_now(proxy));
}

static uint32_t count_leaving(const platform_instance_t *instances,
			      size_t count)
{
	uint32_t leaving = 0;
	size_t i;

	for (i = 0; i < count; i++)
		leaving += instances[i].leaving;
	return leaving < PEER_ITEMS_MAX ? leaving : PEER_ITEMS_MAX;
}

static void send_leaving(proxy_t *proxy, const peer_leaving_t *leaving)
{
	peer_message_t message = { .kind = PEER_MESSAGE_LEAVING,
				   .u.leaving = *leaving };
	size_t i;

	for (i = 0; i < membership_count(proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(proxy->membership, i);

		if (!proxy_members_is_self(proxy, member) &&
		    member->state != MEMBERSHIP_STATE_DEAD &&
		    strcmp(member->domain, proxy->settings.domain) == 0)
			peer_node_send(proxy->peer, member->address, &message);
	}
}

/*
 * Sends the names of the leaving instances to the other proxies of the failure
 * domain. Only the watchers read the instance list, and a leaving target may
 * get new work for at most 3 s, within which every owner must know that it is
 * leaving. When no instance is leaving any more, that is sent once, and
 * repeated every LEAVING_REPEAT_MS for a proxy that missed the message.
 */
static void push_leaving(proxy_t *proxy, const platform_instance_t *instances,
			 size_t count)
{
	clock_ms_t now_ms = proxy_now(proxy);
	peer_leaving_t leaving = { .name_count =
					   count_leaving(instances, count) };
	uint32_t at = 0;
	size_t i;

	if (leaving.name_count == 0 && !proxy->leaving_pushed &&
	    now_ms < proxy->leaving_at_ms)
		return;
	leaving.names = calloc(leaving.name_count + 1, sizeof(peer_name_t));
	if (!leaving.names)
		return;
	for (i = 0; i < count && at < leaving.name_count; i++) {
		if (instances[i].leaving)
			leaving.names[at++].name = instances[i].name;
	}
	send_leaving(proxy, &leaving);
	free(leaving.names);
	proxy->leaving_pushed = leaving.name_count > 0;
	proxy->leaving_at_ms = now_ms + LEAVING_REPEAT_MS;
}

/*
 * Logs how many entries of the instance list were skipped, if their number has
 * changed.
 */
static void note_skipped_instances(proxy_t *proxy)
{
	uint64_t skipped = proxy_configure_count_skipped(proxy);

	if (skipped == proxy->skipped_instances)
		return;
	proxy->skipped_instances = skipped;
	LOG_EVENT(proxy->log, LOG_LEVEL_ERROR, "instances-skipped",
		  LOG_UNSIGNED("entries", skipped));
}

/*
 * Handles the answer to a read of the platform's instance list: records which
 * targets are leaving, updates the membership with the listed proxies, and
 * sends the leaving instances to the other proxies of the failure domain.
 */
void proxy_instance_list_read(void *context, int error,
			      const platform_instance_t *instances,
			      size_t count)
{
	proxy_t *proxy = context;
	instance_entry_t *table = NULL;
	instance_entry_t *entries;
	instance_entry_t *listed;
	size_t i;

	proxy->list_pending = false;
	if (error != PLATFORM_OK) {
		LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "instance-list-failed",
			  LOG_TEXT("error", platform_error_text(error)));
		return;
	}
	note_skipped_instances(proxy);
	entries = calloc(count + 1, sizeof(*entries));
	if (!entries)
		return;
	for (i = 0; i < count; i++) {
		entries[i].instance = &instances[i];
		HASH_FIND_STR(table, instances[i].name, listed);
		/* Of several entries with the same name the last one counts. */
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
	/* Ownership is not decided again here: the membership reports members
	 * that the list shows as leaving as changed in the next tick. */
	HASH_CLEAR(hh, table);
	free(entries);
	push_leaving(proxy, instances, count);
}

static bool is_named(const peer_leaving_t *leaving, const char *name)
{
	uint32_t i;

	for (i = 0; i < leaving->name_count; i++) {
		if (strcmp(leaving->names[i].name, name) == 0)
			return true;
	}
	return false;
}

static void apply_to_target(proxy_target_t *target, bool leaving)
{
	if (target->list_leaving == leaving)
		return;
	target->list_leaving = leaving;
	proxy_observe_leaving(target->group, target->index,
			      leaving || target->config.leaving);
}

static void apply_to_member(proxy_t *proxy, const membership_member_t *member,
			    bool leaving)
{
	membership_member_t listed = *member;

	/* Only a change is applied: an update that says "live" also makes the
	 * membership probe the address, which may be out of date. */
	if (leaving == (member->state == MEMBERSHIP_STATE_LEAVING) ||
	    member->state == MEMBERSHIP_STATE_DEAD)
		return;
	listed.state =
		leaving ? MEMBERSHIP_STATE_LEAVING : MEMBERSHIP_STATE_ALIVE;
	membership_update_listed(proxy->membership, &listed, proxy_now(proxy));
}

/*
 * Handles a watcher's message that names all instances that the instance list
 * shows as leaving: updates the targets and the members. A watcher ignores the
 * message, as it reads the list itself.
 */
void proxy_instance_list_receive_leaving(proxy_t *proxy,
					 const peer_leaving_t *leaving)
{
	proxy_group_t *group;
	proxy_group_t *next;
	uint32_t i;

	if (proxy_configure_is_watcher(proxy))
		return;
	HASH_ITER(hh, proxy->groups, group, next) {
		for (i = 0; i < group->config.target_count; i++)
			apply_to_target(
				&group->targets[i],
				is_named(leaving,
					 group->targets[i].config.name));
	}
	for (i = 0; i < membership_count(proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(proxy->membership, i);

		if (!proxy_members_is_self(proxy, member))
			apply_to_member(proxy, member,
					is_named(leaving, member->name));
	}
}
