#include "internal.h"

#include <stdio.h>
#include <string.h>

/* Members that are asked to probe a member which does not answer. */
#define INDIRECT_PROBES 2
/* A dead member is kept in the table this long, so that an old update about it
 * can't make it alive again. */
#define FORGET_MS (10 * 60 * 1000)

/*
 * Returns whether the member is this proxy, by its name.
 */
bool proxy_members_is_self(const proxy_t *proxy,
			   const membership_member_t *member)
{
	return strcmp(member->name, proxy->settings.name) == 0;
}

/*
 * Returns whether every member that is not dead reports at least this
 * configuration revision. This proxy itself is not checked.
 */
bool proxy_members_have_revision(const proxy_t *proxy, uint64_t revision)
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
 * Creates the membership of this proxy, and adds the seeds of the settings
 * except its own address. Returns PROXY_OK or PROXY_ERROR_MEMORY.
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
 * Handles a membership message, which is a probe or the answer to a probe. If
 * its sender has a newer configuration, the changes are fetched from it.
 */
void proxy_members_receive(proxy_t *proxy, const membership_message_t *message)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count =
		membership_receive(proxy->membership, message, proxy_now(proxy),
				   proxy_random(), actions);

	perform(proxy, actions, count);
	proxy_configure_fetch_from(proxy, &message->from);
}

/*
 * Passes the time and the configuration revisions of this proxy to the
 * membership, and sends the probes that are due.
 */
void proxy_members_tick(proxy_t *proxy, clock_ms_t now_ms)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count;

	membership_set_revision(proxy->membership,
				config_store_revision(proxy->config),
				proxy_configure_revision(proxy));
	count = membership_tick(proxy->membership, now_ms, proxy_random(),
				actions);
	perform(proxy, actions, count);
}
