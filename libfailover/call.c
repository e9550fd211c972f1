#include "state.h"

/*
 * Returns the timeout of a call in ms. That of a status call is half of
 * detect_ms, so that after one lost answer there is still time for a second
 * call before the target is suspected; it is at least probe_ms.
 */
static clock_ms_t call_timeout_ms(const failover_options_t *options,
				  failover_call_t call)
{
	switch (call) {
	case FAILOVER_CALL_STATUS:
		return options->detect_ms / 2 > options->probe_ms
			       ? options->detect_ms / 2
			       : options->probe_ms;
	case FAILOVER_CALL_PROBE:
		return options->probe_ms;
	default:
		return options->step_timeout_ms;
	}
}

/*
 * Adds a call to the actions and marks it as outstanding in state. If there is
 * no room for another action nothing happens, and a later step sends the call.
 * A FOLLOW call, which names a primary, carries the term of that primary; other
 * calls carry the term of the round.
 */
void failover_call_send(failover_t *failover, failover_call_state_t *state,
			failover_call_t call, group_index_t target,
			group_index_t primary, clock_ms_t now_ms,
			failover_output_t *out)
{
	failover_action_t *action = &out->actions[out->count];

	if (out->count == FAILOVER_ACTIONS_MAX)
		return;
	state->id = failover->next_id++;
	state->sent_at_ms = now_ms;
	state->timeout_ms = call_timeout_ms(&failover->options, call);
	state->retry_at_ms = now_ms + failover->options.probe_ms;
	state->attempts++;
	action->kind = FAILOVER_ACTION_CALL;
	action->u.call.id = state->id;
	action->u.call.call = call;
	action->u.call.target = target;
	action->u.call.term =
		primary == GROUP_INDEX_NONE
			? failover->round_term
			: failover->targets[primary].status.log_term;
	action->u.call.primary = primary;
	action->u.call.timeout_ms = state->timeout_ms;
	out->count++;
}

/*
 * Gives up an outstanding call whose timeout has passed. Returns true if the
 * call was given up now.
 */
bool failover_call_expire(failover_call_state_t *state, clock_ms_t now_ms)
{
	if (state->id == 0 || now_ms - state->sent_at_ms < state->timeout_ms)
		return false;
	state->id = 0;
	return true;
}

/*
 * Returns true if the event reports a refused connection. A call that fails in
 * the first half of its timeout counts as refused, a later failure as a
 * timeout.
 */
static bool is_connect_refusal(const failover_call_state_t *state,
			       const failover_event_t *event, clock_ms_t now_ms)
{
	return event->kind == FAILOVER_EVENT_FAILED &&
	       now_ms - state->sent_at_ms < state->timeout_ms / 2;
}

/*
 * Ends the outstanding call that the event answers, and records whether its
 * connection failed. An answer to a call that was given up before changes
 * nothing here.
 */
void failover_call_end(failover_t *failover, const failover_event_t *event,
		       clock_ms_t now_ms)
{
	failover_target_t *target = &failover->targets[event->target];

	if (event->call_id == 0)
		return;
	if (target->status_call.id == event->call_id) {
		target->status_call.id = 0;
		target->connection_failed =
			is_connect_refusal(&target->status_call, event, now_ms);
	}
	if (target->step_call.id == event->call_id)
		target->step_call.id = 0;
	if (target->probe_call.id != event->call_id)
		return;
	target->probe_call.id = 0;
	target->probe_failed = event->kind == FAILOVER_EVENT_FAILED;
	target->probe_failed_at_ms = now_ms;
	if (is_connect_refusal(&target->probe_call, event, now_ms))
		target->connect_refusals++;
	else
		target->connect_refusals = 0;
}
