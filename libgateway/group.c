#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Pause between attempts to reach a target that fails. */
#define PROBE_INTERVAL_MS 200
/* A request without an answer for this long makes the target suspect if nothing
 * else was heard from it: above the service times of all but the longest
 * statements. A live target costs one more connection. */
#define SILENCE_MS 300

static void on_wake(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	gateway_place_dispatch(context);
}

/*
 * Lets the statements that wait be placed again, from the loop.
 */
void gateway_group_wake(group_t *group)
{
	if (group->waiting_count > 0)
		event_active(group->wake, EV_TIMEOUT, 0);
}

/*
 * Returns the group of a service, and creates it at its first mention. NULL
 * without memory.
 */
group_t *gateway_group_get(gateway_t *gateway, const char *name)
{
	promotion_options_t options = promotion_options_default(
		gateway->settings->grant_ms, gateway->settings->grant_life_ms);
	group_t *group;

	HASH_FIND_STR(gateway->groups, name, group);
	if (group)
		return group;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	memcpy(group->name, name, strlen(name) + 1);
	group->gateway = gateway;
	group->created_ms = gateway_now(gateway);
	group->wake = evtimer_new(gateway->base, on_wake, group);
	if (!group->wake) {
		free(group);
		return NULL;
	}
	promotion_init(&group->promotion, &options);
	TAILQ_INIT(&group->targets);
	TAILQ_INIT(&group->waiting);
	HASH_ADD_STR(gateway->groups, name, group);
	return group;
}

/*
 * Returns the target that the group's record names as primary, or NULL.
 */
target_t *gateway_group_primary(const group_t *group)
{
	target_t *target;

	HASH_FIND_STR(group->gateway->targets, group->record.primary, target);
	return target && target->group == group ? target : NULL;
}

/*
 * Tells whether this proxy may act on the group's term now.
 */
bool gateway_group_may_lead(const group_t *group, clock_ms_t now_ms)
{
	return grant_holds(&group->grant, group->record.term, now_ms);
}

/*
 * Tells whether a position is one that the primary of the recorded term may
 * have: of this term, or where it began.
 */
bool gateway_group_is_in_term(const group_t *group,
			      const log_position_t *position)
{
	return position->term == group->record.term ||
	       term_history_is_start(&group->record.term_history,
				     group->record.term, *position);
}

/*
 * Tells whether a target will not stay: it says so, or its entry is gone for
 * longer than an entry takes to come back.
 */
bool gateway_target_is_leaving(const target_t *target, clock_ms_t now_ms)
{
	return target->entry.state == TARGET_STATE_LEAVING ||
	       (target->missing_ms != 0 &&
		now_ms >= target->missing_ms + GATEWAY_MISSING_MS);
}

bool gateway_target_is_usable(const target_t *target)
{
	return target->failing_ms == 0 &&
	       !gateway_target_is_leaving(target,
					  gateway_now(target->group->gateway));
}

/*
 * Notes an answer of a target.
 */
void gateway_target_answered(target_t *target, clock_ms_t now_ms)
{
	target->answered_ms = now_ms;
	if (target->failing_ms == 0)
		return;
	target->failing_ms = 0;
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_NOTICE,
		  "target-reached", LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name));
}

/*
 * Notes that a target could not be reached.
 */
void gateway_target_failed(target_t *target, clock_ms_t now_ms)
{
	target->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	if (target->failing_ms != 0)
		return;
	target->failing_ms = now_ms;
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_WARNING,
		  "target-unreachable", LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name),
		  LOG_SIGNED("answered_ago_ms", now_ms - target->answered_ms));
}

/*
 * Closes all connections of a target, or only those that no session holds.
 */
static void close_connections(target_t *target, bool all)
{
	connection_t *connection;
	bool closed = true;

	/* Closing one connection may close others through its session. */
	while (closed) {
		closed = false;
		TAILQ_FOREACH(connection, &target->connections, entry) {
			if (!all && connection->phase == CONNECTION_HELD)
				continue;
			gateway_connection_close(connection);
			closed = true;
			break;
		}
	}
}

static target_t *add_target(gateway_t *gateway, const target_entry_t *entry)
{
	group_t *group = gateway_group_get(gateway, entry->service);
	target_t *target = group ? calloc(1, sizeof(*target)) : NULL;

	if (!target)
		return NULL;
	target->entry = *entry;
	target->group = group;
	TAILQ_INIT(&target->connections);
	TAILQ_INSERT_TAIL(&group->targets, target, group_entry);
	HASH_ADD_STR(gateway->targets, entry.id, target);
	return target;
}

static void log_entry(const target_t *target, const char *event)
{
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_NOTICE, event,
		  LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name),
		  LOG_TEXT("domain", target->entry.domain),
		  LOG_TEXT("state", target->entry.state == TARGET_STATE_READY
					    ? "ready"
					    : "leaving"),
		  LOG_TEXT("role",
			   target->entry.is_primary ? "primary" : "replica"));
}

/*
 * Takes over the entry of a target from the store; NULL if it was removed.
 */
void gateway_group_target_changed(gateway_t *gateway, const char *id,
				  const target_entry_t *entry)
{
	target_t *target;
	bool restarted;

	HASH_FIND_STR(gateway->targets, id, target);
	if (!entry) {
		if (target && target->missing_ms == 0) {
			target->missing_ms = gateway_now(gateway);
			log_entry(target, "target-missing");
		}
		return;
	}
	if (!target) {
		target = add_target(gateway, entry);
		if (target)
			log_entry(target, "target-added");
		return;
	}
	if (strcmp(target->group->name, entry->service) != 0)
		return;
	restarted = target->entry.born_ms != entry->born_ms ||
		    target->entry.port != entry->port ||
		    strcmp(target->entry.address, entry->address) != 0;
	target->entry = *entry;
	target->missing_ms = 0;
	log_entry(target, restarted ? "target-restarted" : "target-changed");
	if (restarted)
		close_connections(target, false);
}

/*
 * Tells whether a request waits at the target for too long, while nothing was
 * heard from the target. Steps that prepare a connection count as well: a
 * statement may not have got further.
 */
static bool is_silent(const target_t *target, clock_ms_t now_ms)
{
	const connection_t *connection;

	if (now_ms < target->answered_ms + SILENCE_MS)
		return false;
	TAILQ_FOREACH(connection, &target->connections, entry) {
		if (connection->step != STEP_NONE &&
		    now_ms >= connection->sent_ms + SILENCE_MS)
			return true;
	}
	return false;
}

/*
 * Opens a connection to a target that fails, is silent, or whose primary role
 * others doubt. One that opens stays for sessions.
 */
static void probe_target(target_t *target, bool doubted, clock_ms_t now_ms)
{
	bool wanted =
		target->failing_ms != 0 || target->next_probe_ms == 1 ||
		is_silent(target, now_ms) ||
		(doubted && now_ms >= target->answered_ms + PROBE_INTERVAL_MS);

	if (!wanted || now_ms < target->next_probe_ms || target->opening > 0)
		return;
	if (gateway_target_is_leaving(target, now_ms) &&
	    target != gateway_group_primary(target->group))
		return;
	target->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	gateway_connection_open(target, NULL);
}

/*
 * Drops a target whose entry is gone for good.
 */
static void drop_if_gone(target_t *target, clock_ms_t now_ms)
{
	if (target->missing_ms == 0 ||
	    !gateway_target_is_leaving(target, now_ms) || target->open > 0 ||
	    target == gateway_group_primary(target->group))
		return;
	TAILQ_REMOVE(&target->group->targets, target, group_entry);
	HASH_DEL(target->group->gateway->targets, target);
	log_entry(target, "target-removed");
	free(target);
}

/*
 * Tells whether nothing can be due for a target: it has no connection, and
 * nothing is wrong with it. Before hundreds of groups nearly all are so.
 */
static bool is_unused(const target_t *target)
{
	return target->open == 0 && target->failing_ms == 0 &&
	       target->next_probe_ms != 1 && target->missing_ms == 0 &&
	       target->entry.state == TARGET_STATE_READY;
}

/*
 * Does what is due for a group: probes its targets, closes what a target that
 * has left still holds, and works on its promotion.
 */
void gateway_group_tick(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	const target_t *primary = gateway_group_primary(group);
	bool doubted = registry_count_suspicions(gateway->proxies, group->name,
						 &group->record) > 0;
	target_t *target;
	target_t *next;

	for (target = TAILQ_FIRST(&group->targets); target; target = next) {
		next = TAILQ_NEXT(target, group_entry);
		if (is_unused(target) && !(doubted && target == primary))
			continue;
		if (gateway_target_is_leaving(target, now_ms) &&
		    target != primary)
			close_connections(target, false);
		if (target->failing_ms != 0 &&
		    now_ms >= target->failing_ms + GROUP_DOUBT_MS)
			close_connections(target, true);
		gateway_connection_close_surplus(target, now_ms);
		probe_target(target, doubted && target == primary, now_ms);
		drop_if_gone(target, now_ms);
	}
	gateway_promote_tick(group, now_ms);
}
