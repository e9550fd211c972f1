#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Interval of the attempts to reach a target that fails. */
#define PROBE_INTERVAL_MS 200
/* A request without an answer for this long causes a probe of the target, if
 * nothing else was received from it. It is above the service times of all but
 * the longest statements. A target that is well costs one more connection. */
#define SILENCE_MS 300

/* A primary that leaves is used for this long after its entry was seen. It
 * serves for 7 s after the store has its entry, and a watch may show that 3 s
 * later. */
#define LEAVING_PRIMARY_USE_MS 3500

static void on_dispatch(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	gateway_place_dispatch(context);
}

/*
 * Schedules gateway_place_dispatch() for the waiting statements. It runs from
 * the event loop, not from here.
 */
void gateway_group_schedule_dispatch(group_t *group)
{
	if (group->waiting_count > 0)
		event_active(group->dispatch_event, EV_TIMEOUT, 0);
}

/*
 * Returns the group of a service, and creates it if it does not exist. Returns
 * NULL if there is no memory.
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
	group->dispatch_event = evtimer_new(gateway->base, on_dispatch, group);
	if (!group->dispatch_event) {
		free(group);
		return NULL;
	}
	promotion_init(&group->promotion, &options);
	TAILQ_INIT(&group->targets);
	TAILQ_INIT(&group->waiting);
	HASH_ADD_STR(gateway->groups, name, group);
	if (!group->hh.tbl) {
		event_free(group->dispatch_event);
		free(group);
		return NULL;
	}
	return group;
}

/*
 * Returns the target that the group's record names as primary, or NULL if it is
 * not known.
 */
target_t *gateway_group_primary(const group_t *group)
{
	target_t *target;

	HASH_FIND_STR(group->gateway->targets, group->record.primary, target);
	return target && target->group == group ? target : NULL;
}

/*
 * Returns true if the configuration says that targets of the group acknowledge
 * a commit only once a replica has it.
 */
bool gateway_group_is_synchronous(const group_t *group)
{
	const service_t *service = gateway_configuration_service(
		&group->gateway->configuration, group->name);

	return service && service->synchronous_replicas > 0;
}

/*
 * Returns true if this proxy holds a grant on the group's recorded term, and
 * may act on it.
 */
bool gateway_group_holds_grant(const group_t *group, clock_ms_t now_ms)
{
	return grant_holds(&group->grant, group->record.term, now_ms);
}

/*
 * Returns true if the primary of the recorded term may have this position: it
 * is of that term, or is the position where the term began.
 */
bool gateway_group_is_in_term(const group_t *group,
			      const log_position_t *position)
{
	return position->term == group->record.term ||
	       term_history_is_start(&group->record.term_history,
				     group->record.term, *position);
}

/*
 * Returns true if a target has been unlisted for longer than an entry takes to
 * return.
 */
bool gateway_target_is_gone(const target_t *target, clock_ms_t now_ms)
{
	return target->unlisted_since_ms != 0 &&
	       now_ms >= target->unlisted_since_ms + GATEWAY_ENTRY_RETURN_MS;
}

/*
 * Returns true if a target says that it leaves, or is gone.
 */
bool gateway_target_is_leaving(const target_t *target, clock_ms_t now_ms)
{
	return target->entry.state == TARGET_STATE_LEAVING ||
	       gateway_target_is_gone(target, now_ms);
}

/*
 * Returns true if a target is a primary that leaves and still serves, because a
 * promotion cannot order its successor before the grants of earlier eras have
 * ended.
 */
static bool is_awaiting_successor(const target_t *target, clock_ms_t now_ms)
{
	const group_t *group = target->group;

	return target == gateway_group_primary(group) &&
	       group->record.fence == 0 && target->unlisted_since_ms == 0 &&
	       now_ms < target->leaving_since_ms + LEAVING_PRIMARY_USE_MS &&
	       !era_grants_have_ended(&group->gateway->era,
				      &group->promotion.options, now_ms);
}

/*
 * Returns true if statements may be sent to a target: it answers and does not
 * leave, or is a leaving primary that awaits its successor.
 */
bool gateway_target_is_usable(const target_t *target)
{
	clock_ms_t now_ms = gateway_now(target->group->gateway);

	return target->failing_since_ms == 0 &&
	       (!gateway_target_is_leaving(target, now_ms) ||
		is_awaiting_successor(target, now_ms));
}

/*
 * Records an answer of any kind from a target, which ends a failure.
 */
void gateway_target_answered(target_t *target, clock_ms_t now_ms)
{
	target->answered_ms = now_ms;
	if (target->failing_since_ms == 0)
		return;
	target->failing_since_ms = 0;
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_NOTICE,
		  "target-reached", LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name));
}

/*
 * Records that a target could not be reached. The next attempt follows after
 * PROBE_INTERVAL_MS.
 */
void gateway_target_failed(target_t *target, clock_ms_t now_ms)
{
	target->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	if (target->failing_since_ms != 0)
		return;
	target->failing_since_ms = now_ms;
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_WARNING,
		  "target-unreachable", LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name),
		  LOG_SIGNED("answered_ago_ms", now_ms - target->answered_ms));
	gateway_relay_target_failed(target);
}

/*
 * Records that the recorded primary has refused a write as a replica does: a
 * later term has begun.
 */
void gateway_target_read_only(target_t *target, clock_ms_t now_ms)
{
	if (target->read_only_since_ms != 0)
		return;
	target->read_only_since_ms = now_ms;
	LOG_EVENT(target->group->gateway->log, LOG_LEVEL_WARNING,
		  "primary-read-only", LOG_TEXT("target", target->entry.id),
		  LOG_TEXT("service", target->group->name),
		  LOG_UNSIGNED("term", target->group->record.term));
}

/*
 * Closes all connections of a target, or only those that no session uses.
 */
static void close_connections(target_t *target, bool all)
{
	connection_t *connection;
	bool closed = true;

	/* Closing one connection may close others through its session, so that
	 * the list is walked from its start again. */
	while (closed) {
		closed = false;
		TAILQ_FOREACH(connection, &target->connections, entry) {
			if (!all && (connection->phase == CONNECTION_IN_USE ||
				     connection->phase == CONNECTION_LENT))
				continue;
			gateway_connection_close(connection);
			closed = true;
			break;
		}
	}
}

/* A target gets at most one operation that failed at another target for ten
 * that it has run, so that operations are not sent again to targets that are
 * overloaded already. */
static const retry_options_t resend_options = {
	.ratio_permille = 100,
	.burst = 5,
};

/*
 * Frees a target that is no longer listed.
 */
void gateway_target_free(target_t *target)
{
	retry_budget_free(target->resends);
	free(target);
}

static target_t *add_target(gateway_t *gateway, const target_entry_t *entry)
{
	group_t *group = gateway_group_get(gateway, entry->service);
	target_t *target = group ? calloc(1, sizeof(*target)) : NULL;

	if (!target)
		return NULL;
	target->resends = retry_budget_new(&resend_options);
	if (!target->resends) {
		free(target);
		return NULL;
	}
	target->entry = *entry;
	target->group = group;
	HASH_ADD_STR(gateway->targets, entry.id, target);
	if (!target->hh.tbl) {
		free(target);
		return NULL;
	}
	TAILQ_INIT(&target->connections);
	TAILQ_INIT(&target->relay.waiting);
	TAILQ_INSERT_TAIL(&group->targets, target, group_entry);
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
 * Tells whether an entry is an older report of a target than the known one: the
 * store has lost the later report. Only the first entry of a further era is
 * compared, as any later one has been written since.
 */
static bool is_outdated(const target_t *target, const target_entry_t *entry,
			uint64_t revision)
{
	const target_entry_t *known = &target->entry;

	if (store_revision_era(revision) ==
	    store_revision_era(target->entry_revision))
		return false;
	return entry->started_unix_ms < known->started_unix_ms ||
	       (entry->started_unix_ms == known->started_unix_ms &&
		entry->sequence < known->sequence);
}

/*
 * Applies the changed entry of a target; entry is NULL if it was removed. A
 * target keeps its service: an entry that names another one is not the
 * target's, and counts as removed. Returns STORE_OK or STORE_ERROR_MEMORY.
 */
int gateway_group_target_changed(gateway_t *gateway, const char *id,
				 const target_entry_t *entry, uint64_t revision)
{
	target_t *target;
	bool restarted;
	bool outdated;

	HASH_FIND_STR(gateway->targets, id, target);
	if (target && entry &&
	    strcmp(target->group->name, entry->service) != 0) {
		LOG_EVENT(gateway->log, LOG_LEVEL_WARNING,
			  "target-service-changed", LOG_TEXT("target", id),
			  LOG_TEXT("service", target->group->name),
			  LOG_TEXT("named", entry->service));
		entry = NULL;
	}
	if (!entry) {
		if (target)
			target->entry_revision = revision;
		if (target && target->unlisted_since_ms == 0) {
			target->unlisted_since_ms = gateway_now(gateway);
			log_entry(target, "target-missing");
		}
		return STORE_OK;
	}
	if (!target) {
		target = add_target(gateway, entry);
		if (!target)
			return STORE_ERROR_MEMORY;
		target->entry_revision = revision;
		log_entry(target, "target-added");
		return STORE_OK;
	}
	outdated = is_outdated(target, entry, revision);
	target->entry_revision = revision;
	if (outdated) {
		log_entry(target, "target-entry-outdated");
		return STORE_OK;
	}
	restarted = target->entry.started_unix_ms != entry->started_unix_ms ||
		    target->entry.port != entry->port ||
		    strcmp(target->entry.address, entry->address) != 0;
	target->entry = *entry;
	target->unlisted_since_ms = 0;
	if (entry->state != TARGET_STATE_LEAVING)
		target->leaving_since_ms = 0;
	else if (target->leaving_since_ms == 0)
		target->leaving_since_ms = gateway_now(gateway);
	log_entry(target, restarted ? "target-restarted" : "target-changed");
	if (restarted)
		close_connections(target, false);
	return STORE_OK;
}

/*
 * Returns true if a request has waited at the target for SILENCE_MS while
 * nothing was received from it. Requests that prepare a connection count as
 * well: the statement may not have been sent yet.
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
 * Opens a connection to a target that fails or does not answer, or that is the
 * primary and suspected by other proxies. If it opens, it stays for sessions.
 */
static void probe_target(target_t *target, bool suspected, clock_ms_t now_ms)
{
	bool wanted = target->failing_since_ms != 0 ||
		      target->next_probe_ms == 1 || is_silent(target, now_ms) ||
		      (suspected &&
		       now_ms >= target->answered_ms + PROBE_INTERVAL_MS);

	if (!wanted || now_ms < target->next_probe_ms || target->opening > 0)
		return;
	if (gateway_target_is_leaving(target, now_ms) &&
	    target != gateway_group_primary(target->group))
		return;
	target->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	gateway_connection_open(target, NULL, "");
}

/*
 * Removes a target that has been unlisted for longer than an entry takes to
 * return, unless it is the primary or has connections. A promotion of a
 * synchronous group still asks it: it may run, and alone have commits that were
 * acknowledged.
 */
static void remove_if_unlisted(target_t *target, clock_ms_t now_ms)
{
	if (!gateway_target_is_gone(target, now_ms) || target->open > 0 ||
	    target->relay.waiting_count > 0 ||
	    target == gateway_group_primary(target->group) ||
	    (target->group->record.fence != 0 &&
	     gateway_group_is_synchronous(target->group)))
		return;
	TAILQ_REMOVE(&target->group->targets, target, group_entry);
	HASH_DEL(target->group->gateway->targets, target);
	log_entry(target, "target-removed");
	gateway_target_free(target);
}

/*
 * Returns true if a target needs nothing in this tick: it has no connection,
 * and nothing is wrong with it. With hundreds of groups nearly all targets are
 * so.
 */
static bool needs_no_work(const target_t *target)
{
	return target->open == 0 && target->relay.waiting_count == 0 &&
	       target->failing_since_ms == 0 && target->next_probe_ms != 1 &&
	       target->unlisted_since_ms == 0 &&
	       target->entry.state == TARGET_STATE_READY;
}

/*
 * Does what is due for a group: probes its targets, closes connections to
 * targets that leave or fail, removes unlisted targets, and works on the
 * group's promotion. To be called in each tick.
 */
void gateway_group_tick(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	const target_t *primary = gateway_group_primary(group);
	bool suspected =
		registry_count_suspicions(gateway->proxies, group->name,
					  &group->record) > 0;
	target_t *target;
	target_t *next;

	for (target = TAILQ_FIRST(&group->targets); target; target = next) {
		next = TAILQ_NEXT(target, group_entry);
		if (needs_no_work(target) && !(suspected && target == primary))
			continue;
		if (gateway_target_is_leaving(target, now_ms) &&
		    target != primary)
			close_connections(target, false);
		if (target->failing_since_ms != 0 &&
		    now_ms >= target->failing_since_ms + PRIMARY_SUSPECT_MS)
			close_connections(target, true);
		gateway_connection_close_surplus(target, now_ms);
		probe_target(target, suspected && target == primary, now_ms);
		if (target->relay.waiting_count > 0)
			gateway_relay_open(target);
		remove_if_unlisted(target, now_ms);
	}
	/* A target that had no room for a connection may be asked again. */
	if (gateway->configuration.tenants && group->waiting_count > 0)
		gateway_group_schedule_dispatch(group);
	gateway_promote_tick(group, now_ms);
}
