#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Longest time that a target may delay its answer to a wait call until it has
 * applied the point. */
#define TARGET_WAIT_MS 40
/* Time for the answer to arrive, beyond the time that the target waits. */
#define ANSWER_SLACK_MS 300
/* The number of a coordinator is a multiple of this plus the index of a target.
 * It is divisible by every number of targets up to GROUP_TARGETS_MAX, so that
 * the number's remainder by the number of targets, which decides the rank of
 * the coordinator, is that index. */
#define RANK_MODULUS 2520

/* A call on the control connection of a target that is not answered yet. */
typedef struct {
	proxy_group_t *group;
	group_index_t target;
	failover_call_t call;
	/* Id that libfailover gave the call; 0 for a wait call. */
	uint64_t call_id;
	/* The call was sent for waiting executions, not for libfailover. */
	bool wait;
} observer_call_t;

static void handle_event(proxy_group_t *group, const failover_event_t *event);

static void log_phase(proxy_group_t *group, const failover_action_t *action)
{
	proxy_t *proxy = group->proxy;
	const char *from = failover_phase_text(action->u.phase.from);

	counter_family_observe(proxy->counters.phase_ms, from,
			       (double)action->u.phase.spent_ms);
	if (action->u.phase.from == FAILOVER_PHASE_PROMOTING &&
	    action->u.phase.to == FAILOVER_PHASE_STEADY)
		counter_family_add(proxy->counters.promotions, group->name, 1);
	LOG_EVENT(proxy->log, LOG_LEVEL_NOTICE, "failover-phase",
		  LOG_TEXT("service", group->name), LOG_TEXT("from", from),
		  LOG_TEXT("to", failover_phase_text(action->u.phase.to)),
		  LOG_UNSIGNED("term", action->u.phase.term),
		  LOG_SIGNED("spent_ms", action->u.phase.spent_ms));
}

/*
 * Updates the group's known primary from the evidence. After a change it
 * applies the limits of the targets again and answers the writes at the
 * replaced primary.
 */
static void update_primary(proxy_group_t *group)
{
	group_index_t primary;
	uint32_t term;

	if (route_evidence_primary(group->evidence, &term, &primary) !=
		    ROUTE_OK ||
	    primary == group->known_primary)
		return;
	group->known_primary = primary;
	proxy_group_primary_changed(group);
	proxy_execute_primary_changed(group, primary);
	LOG_EVENT(group->proxy->log, LOG_LEVEL_NOTICE, "primary",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("target", group->config.targets[primary].name),
		  LOG_UNSIGNED("term", term));
}

static failover_event_kind_t event_kind(failover_call_t call, int error)
{
	if (error == TARGET_ERROR_PROMISED)
		return FAILOVER_EVENT_REFUSED;
	if (error != TARGET_OK)
		return FAILOVER_EVENT_FAILED;
	switch (call) {
	case FAILOVER_CALL_FENCE:
		return FAILOVER_EVENT_FENCED;
	case FAILOVER_CALL_PROMOTE:
		return FAILOVER_EVENT_PROMOTED;
	case FAILOVER_CALL_FOLLOW:
		return FAILOVER_EVENT_FOLLOWED;
	case FAILOVER_CALL_STATUS:
	case FAILOVER_CALL_PROBE:
		break;
	}
	return FAILOVER_EVENT_STATUS;
}

/*
 * Handles the answer to a call: records the target's status as evidence, passes
 * the result to libfailover, and decides on waiting executions again. Ignores
 * the answer if the group is no longer observed.
 */
static void on_call_done(void *context, int error, clock_ms_t sent_at_ms,
			 const group_status_t *status)
{
	observer_call_t *call = context;
	proxy_group_t *group = call->group;
	failover_event_t event = {
		.kind = event_kind(call->call, error),
		.target = call->target,
		.call = call->call,
		.call_id = call->call_id,
		.requested_at_ms = sent_at_ms,
	};

	if (call->wait)
		group->targets[call->target].wait_pending = false;
	if (group->failover) {
		if (error == TARGET_OK && status) {
			event.status = *status;
			route_evidence_record(group->evidence, call->target,
					      sent_at_ms, status);
			update_primary(group);
		}
		/* libfailover takes the answer of a wait call as a status,
		 * but did not request the call, so that its failure is not
		 * reported. */
		if (!call->wait || error == TARGET_OK)
			handle_event(group, &event);
		proxy_execute_decide_waiting(group);
	}
	free(call);
}

static void start_call(proxy_group_t *group, group_index_t index,
		       const target_call_t *target_call, failover_call_t kind,
		       uint64_t call_id, bool wait)
{
	proxy_target_t *target = &group->targets[index];
	observer_call_t *call = calloc(1, sizeof(*call));
	int error;

	if (!call)
		return;
	call->group = group;
	call->target = index;
	call->call = kind;
	call->call_id = call_id;
	call->wait = wait;
	if (wait)
		target->wait_pending = true;
	error = target_control_call(target->control, target_call, on_call_done,
				    call);
	if (error == TARGET_OK)
		return;
	if (wait)
		target->wait_pending = false;
	free(call);
}

static target_call_kind_t call_kind(failover_call_t call)
{
	switch (call) {
	case FAILOVER_CALL_FENCE:
		return TARGET_CALL_FENCE;
	case FAILOVER_CALL_PROMOTE:
		return TARGET_CALL_PROMOTE;
	case FAILOVER_CALL_FOLLOW:
		return TARGET_CALL_FOLLOW;
	case FAILOVER_CALL_STATUS:
	case FAILOVER_CALL_PROBE:
		break;
	}
	return TARGET_CALL_STATUS;
}

static void perform_call(proxy_group_t *group, const failover_action_t *action,
			 uint64_t coordinator)
{
	target_call_t call = {
		.kind = call_kind(action->u.call.call),
		.new_connection = action->u.call.call == FAILOVER_CALL_PROBE,
		.timeout_ms = action->u.call.timeout_ms,
		.term = action->u.call.term,
		.coordinator = coordinator,
	};

	if (action->u.call.call == FAILOVER_CALL_FOLLOW)
		call.primary =
			group->config.targets[action->u.call.primary].name;
	start_call(group, action->u.call.target, &call, action->u.call.call,
		   action->u.call.id, false);
}

/*
 * Passes an event to libfailover and performs the actions that it returns.
 */
static void handle_event(proxy_group_t *group, const failover_event_t *event)
{
	failover_action_t actions[FAILOVER_ACTIONS_MAX];
	size_t count =
		failover_step(group->failover, event, proxy_now(group->proxy),
			      proxy_random(), actions);
	size_t i;

	for (i = 0; i < count; i++) {
		switch (actions[i].kind) {
		case FAILOVER_ACTION_CALL:
			perform_call(group, &actions[i], group->coordinator);
			break;
		case FAILOVER_ACTION_PHASE:
			log_phase(group, &actions[i]);
			break;
		}
	}
}

static void on_control_note(void *context, const char *event,
			    const char *target, const char *detail)
{
	proxy_t *proxy = context;

	LOG_EVENT(proxy->log, LOG_LEVEL_DEBUG, event,
		  LOG_TEXT("target", target), LOG_TEXT("detail", detail),
		  LOG_TEXT("use", "control"));
}

/*
 * Returns a number that identifies this observer as a coordinator in the
 * promises of targets. The number differs after a restart of the proxy or of
 * the observer: with the same number, an observer could take a promise that its
 * predecessor got and used for a different target as a promise to itself. The
 * remainder by RANK_MODULUS is the index of a target that this proxy owns. No
 * other observer owns that target, so that the observers of a group have
 * different ranks in every term.
 */
static uint64_t new_coordinator(proxy_group_t *group)
{
	proxy_t *proxy = group->proxy;
	uint64_t index = 0;
	uint64_t number;
	char text[160];
	int length = snprintf(text, sizeof(text), "%s %llu %llu",
			      proxy->settings.name,
			      (unsigned long long)proxy->incarnation,
			      (unsigned long long)proxy_next_id(proxy));

	while (index + 1 < group->config.target_count &&
	       !group->targets[index].owned)
		index++;
	number = XXH3_64bits(text, (size_t)length);
	return number - number % RANK_MODULUS + RANK_MODULUS + index;
}

static int open_controls(proxy_group_t *group)
{
	const settings_t *settings = &group->proxy->settings;
	uint32_t i;

	for (i = 0; i < group->config.target_count; i++) {
		proxy_target_t *target = &group->targets[i];
		target_endpoint_t endpoint = {
			.name = target->config.name,
			.address = target->config.address,
			.port = target->config.port,
			.user = settings->target_control_user,
			.database = settings->target_database,
		};

		target->control = target_control_new(
			group->proxy->base, &group->proxy->clock, &endpoint,
			on_control_note, group->proxy);
		target->wait_pending = false;
		if (!target->control)
			return PROXY_ERROR_MEMORY;
	}
	return PROXY_OK;
}

/*
 * Starts to observe the group: opens a control connection to each target and
 * runs failure detection and failover by libfailover. Has no effect on a group
 * that is observed already. Returns PROXY_OK or PROXY_ERROR_MEMORY.
 */
int proxy_observe_start(proxy_group_t *group)
{
	const settings_t *settings = &group->proxy->settings;
	uint32_t count = group->config.target_count;
	route_options_t route = { .target_count = count,
				  .fresh_ms = settings->detect_ms };
	failover_options_t failover = {
		.target_count = count,
		.status_interval_ms = settings->status_interval_ms,
		.detect_ms = settings->detect_ms,
		.probe_ms = settings->probe_ms,
		.step_timeout_ms = settings->step_timeout_ms,
		.stagger_ms = settings->stagger_ms,
		.jitter_ms = settings->stagger_ms / 2,
	};
	uint32_t i;

	if (group->failover)
		return PROXY_OK;
	group->coordinator = new_coordinator(group);
	failover.coordinator = group->coordinator;
	group->evidence = route_evidence_new(&route);
	group->failover = failover_new(&failover, proxy_now(group->proxy));
	if (!group->evidence || !group->failover ||
	    open_controls(group) != PROXY_OK) {
		proxy_observe_stop(group);
		return PROXY_ERROR_MEMORY;
	}
	for (i = 0; i < count; i++)
		proxy_observe_leaving(group, (group_index_t)i,
				      group->targets[i].config.leaving ||
					      group->targets[i].list_leaving);
	return PROXY_OK;
}

/*
 * Stops observing the group: closes the control connections and frees the
 * evidence and the state of failover. Has no effect on a group that is not
 * observed.
 */
void proxy_observe_stop(proxy_group_t *group)
{
	failover_t *failover = group->failover;
	uint32_t i;

	group->failover = NULL;
	for (i = 0; i < group->config.target_count; i++) {
		if (group->targets[i].control)
			target_control_free(group->targets[i].control);
		group->targets[i].control = NULL;
	}
	if (failover)
		failover_free(failover);
	if (group->evidence)
		route_evidence_free(group->evidence);
	group->evidence = NULL;
}

/*
 * Passes the time to libfailover and performs the calls that it requests. The
 * group must be observed.
 */
void proxy_observe_tick(proxy_group_t *group, clock_ms_t now_ms)
{
	failover_event_t event = { .kind = FAILOVER_EVENT_TICK,
				   .target = GROUP_INDEX_NONE,
				   .requested_at_ms = now_ms };

	handle_event(group, &event);
}

/*
 * Records whether the configuration or the instance list shows the target as
 * leaving, in the evidence and for libfailover. Has no effect on a group that
 * is not observed.
 */
void proxy_observe_leaving(proxy_group_t *group, group_index_t target,
			   bool leaving)
{
	failover_event_t event = { .kind = leaving ? FAILOVER_EVENT_LEAVING
						   : FAILOVER_EVENT_NOT_LEAVING,
				   .target = target };

	if (!group->evidence)
		return;
	route_evidence_set_leaving(group->evidence, target, leaving);
	if (group->failover)
		handle_event(group, &event);
}

static void send_wait(proxy_group_t *group, group_index_t index,
		      group_point_t point)
{
	target_call_t call = {
		.kind = TARGET_CALL_WAIT,
		.timeout_ms = TARGET_WAIT_MS + ANSWER_SLACK_MS,
		.term = point.term,
		.position_bytes = point.position_bytes,
		.wait_ms = TARGET_WAIT_MS,
	};

	if (point.term == 0) {
		call.kind = TARGET_CALL_STATUS;
		call.timeout_ms = ANSWER_SLACK_MS;
	}
	start_call(group, index, &call, FAILOVER_CALL_STATUS, 0, true);
}

/*
 * Adds a point to wait for at a target. Of several points the lowest is kept,
 * so that the target delays its answer no longer than needed; the next wait
 * call is sent for the next point.
 */
static void add_wait(bool *wanted, group_point_t *points, group_index_t target,
		     group_point_t point)
{
	if (!wanted[target] || group_point_compare(point, points[target]) < 0)
		points[target] = point;
	wanted[target] = true;
}

/*
 * Adds what an execution waits for. An execution that is being routed waits for
 * its own target, and for a new status of the known primary. A committed write
 * waits for each target that has not reported its point.
 */
static void add_waits(proxy_group_t *group, const proxy_execution_t *execution,
		      bool *wanted, group_point_t *points)
{
	static const group_point_t status_only;
	group_index_t own = execution->target->index;
	uint32_t i;

	if (execution->state == PROXY_EXECUTION_ROUTING) {
		add_wait(wanted, points, own, execution->until);
		if (group->known_primary != GROUP_INDEX_NONE &&
		    group->known_primary != own)
			add_wait(wanted, points, group->known_primary,
				 status_only);
		return;
	}
	for (i = 0; i < group->config.target_count; i++) {
		const group_status_t *status = route_evidence_status(
			group->evidence, (group_index_t)i);
		bool reached = status &&
			       status->log_term >= execution->point.term &&
			       status->position_bytes >=
				       execution->point.position_bytes;

		if (!reached)
			add_wait(wanted, points, (group_index_t)i,
				 (group_index_t)i == own ? status_only
							 : execution->point);
	}
}

/*
 * Sends wait calls to the targets for the points that executions of the group
 * wait for, and status calls where only the status matters. At most one such
 * call is pending for each target. Has no effect on a group that is not
 * observed.
 */
void proxy_observe_send_waits(proxy_group_t *group)
{
	bool wanted[GROUP_TARGETS_MAX] = { false };
	group_point_t points[GROUP_TARGETS_MAX] = { { 0, 0 } };
	proxy_execution_t *execution;
	uint32_t i;

	if (!group->failover)
		return;
	DL_FOREACH(group->waiting, execution) {
		add_waits(group, execution, wanted, points);
	}
	for (i = 0; i < group->config.target_count; i++) {
		if (wanted[i] && !group->targets[i].wait_pending)
			send_wait(group, (group_index_t)i, points[i]);
	}
}
