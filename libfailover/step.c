#include "state.h"

/* Multiple of detect_ms in one phase after which recent rounds no longer delay
 * the next one. */
#define ROUNDS_RESET_DETECT_PERIODS 10

/*
 * Changes the phase, and reports the change and the duration of the old phase
 * as an action.
 */
void failover_phase_enter(failover_t *failover, failover_phase_t phase,
			  clock_ms_t now_ms, failover_output_t *out)
{
	failover_action_t *action = &out->actions[out->count];

	if (out->count < FAILOVER_ACTIONS_MAX) {
		action->kind = FAILOVER_ACTION_PHASE;
		action->u.phase.from = failover->phase;
		action->u.phase.to = phase;
		action->u.phase.term = failover_detect_max_term(failover);
		action->u.phase.spent_ms = now_ms - failover->phase_at_ms;
		out->count++;
	}
	failover->phase = phase;
	failover->phase_at_ms = now_ms;
	failover->round_due_at_ms = 0;
}

/*
 * Gives up the round. The next round needs statuses that were requested from
 * now on, so the next status calls are sent at once.
 */
void failover_round_abandon(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out)
{
	uint32_t i;

	failover->valid_since_ms = now_ms;
	for (i = 0; i < failover->options.target_count; i++) {
		failover->targets[i].step_call.id = 0;
		failover->targets[i].status_call.attempts = 0;
	}
	failover_phase_enter(failover, FAILOVER_PHASE_SUSPECT, now_ms, out);
}

static bool in_round(const failover_t *failover)
{
	return failover->phase == FAILOVER_PHASE_FENCING ||
	       failover->phase == FAILOVER_PHASE_PROMOTING;
}

/*
 * Detects a pause of the process of more than step_timeout_ms. All statuses are
 * out of date after a pause, so the present round is abandoned and new statuses
 * are requested first.
 */
static void detect_pause(failover_t *failover, clock_ms_t now_ms,
			 failover_output_t *out)
{
	clock_ms_t jump_ms = now_ms - failover->stepped_at_ms;

	failover->stepped_at_ms = now_ms;
	if (jump_ms <= failover->options.step_timeout_ms)
		return;
	failover->resumed_at_ms = now_ms;
	failover->valid_since_ms = now_ms;
	failover->round_due_at_ms = 0;
	if (in_round(failover))
		failover_round_abandon(failover, now_ms, out);
}

static void handle_event(failover_t *failover, const failover_event_t *event,
			 clock_ms_t now_ms)
{
	if (event->kind == FAILOVER_EVENT_TICK || event->target < 0 ||
	    (uint32_t)event->target >= failover->options.target_count)
		return;
	failover_call_end(failover, event, now_ms);
	switch (event->kind) {
	case FAILOVER_EVENT_STATUS:
	case FAILOVER_EVENT_PROMOTED:
		failover_detect_record(failover, event, now_ms);
		break;
	case FAILOVER_EVENT_FENCED:
		failover_detect_record(failover, event, now_ms);
		failover_fence_record(failover, event);
		break;
	case FAILOVER_EVENT_FOLLOWED:
		failover_detect_record(failover, event, now_ms);
		failover_follow_record(failover, event);
		break;
	case FAILOVER_EVENT_REFUSED:
		if (event->call_id >= failover->round_first_id &&
		    in_round(failover))
			failover->collisions++;
		failover_fence_record(failover, event);
		if (event->call == FAILOVER_CALL_PROMOTE &&
		    event->call_id >= failover->round_first_id)
			failover->targets[event->target].refused = true;
		break;
	case FAILOVER_EVENT_LEAVING:
		failover->targets[event->target].leaving = true;
		break;
	case FAILOVER_EVENT_NOT_LEAVING:
		failover->targets[event->target].leaving = false;
		break;
	default:
		break;
	}
}

/*
 * Returns the delay in ms before a round: stagger_ms for each rank of the
 * observer, a random jitter and a random backoff.
 *
 * The rank follows from the coordinator number and the term, so observers
 * with successive numbers have different ranks without exchanging messages. For
 * a handover the ranks are at least status_interval_ms apart, because the group
 * still serves and the other observers then see the promise before their own
 * delay ends.
 *
 * The upper limit of the backoff doubles with each recent round. Without the
 * backoff two observers that cannot reach each other's primary would replace
 * it in turn without end. Rounds do not count any more once the whole group was
 * seen in one term.
 */
static clock_ms_t round_delay(const failover_t *failover,
			      failover_reason_t reason, uint64_t random)
{
	clock_ms_t stagger_ms = failover->options.stagger_ms;
	const failover_options_t *options = &failover->options;
	uint64_t rank =
		(options->coordinator + failover_detect_max_term(failover)) %
		options->target_count;
	clock_ms_t window_ms = options->stagger_ms + options->jitter_ms + 1;
	clock_ms_t delay_ms;
	uint32_t backoff_rounds = failover->recent_rounds;

	if (reason == FAILOVER_REASON_HANDOVER &&
	    stagger_ms < options->status_interval_ms)
		stagger_ms = options->status_interval_ms;
	delay_ms = (clock_ms_t)rank * stagger_ms;
	delay_ms += (clock_ms_t)(random % (uint64_t)(options->jitter_ms + 1));
	if (backoff_rounds == 0)
		return delay_ms;
	if (backoff_rounds > FAILOVER_BACKOFF_ROUNDS_MAX)
		backoff_rounds = FAILOVER_BACKOFF_ROUNDS_MAX;
	window_ms <<= backoff_rounds - 1;
	/* The upper half of random is independent of the jitter above. */
	return delay_ms + (clock_ms_t)((random >> 32) % (uint64_t)window_ms);
}

/*
 * Enters the suspect phase if the group needs a new primary. Otherwise probes a
 * primary that may be lost and sends follow calls that are due.
 */
static void advance_steady(failover_t *failover, clock_ms_t now_ms,
			   failover_output_t *out)
{
	if (failover_detect_reason(failover, now_ms) != FAILOVER_REASON_NONE) {
		failover_phase_enter(failover, FAILOVER_PHASE_SUSPECT, now_ms,
				     out);
		return;
	}
	if (now_ms - failover->phase_at_ms >
		    ROUNDS_RESET_DETECT_PERIODS * failover->options.detect_ms ||
	    failover_detect_group_in_one_term(failover, now_ms))
		failover->recent_rounds = 0;
	failover_probe_early(failover, now_ms, out);
	failover_follow_send(failover, now_ms, out);
}

/*
 * Returns true if this observer must not start a round because it has run
 * one recently and the primary that it cannot reach is replicating. Without
 * this rule two observers that cannot reach each other's primary replace it
 * in turn. The rule ends ROUNDS_RESET_DETECT_PERIODS after the phase began,
 * since a log can also grow without writes.
 */
static bool must_defer(const failover_t *failover, clock_ms_t now_ms)
{
	return failover->recent_rounds > 0 &&
	       now_ms - failover->phase_at_ms <
		       ROUNDS_RESET_DETECT_PERIODS *
			       failover->options.detect_ms &&
	       failover_detect_replication(failover, now_ms);
}

/*
 * Returns to the steady phase if the group no longer needs a new primary.
 * Otherwise starts a round, with the fencing of the targets, once all of these
 * hold:
 * - If the primary is lost, its probe failed.
 * - The statuses of a majority of the targets are fresh.
 * - hold_until_ms has passed, until which another coordinator may finish its
 *   round.
 * - If the primary is lost, must_defer() is false.
 * - The delay of round_delay() has passed since the other conditions were met.
 */
static void advance_suspect(failover_t *failover, clock_ms_t now_ms,
			    uint64_t random, failover_output_t *out)
{
	failover_reason_t reason = failover_detect_reason(failover, now_ms);

	if (reason == FAILOVER_REASON_NONE) {
		failover_phase_enter(failover, FAILOVER_PHASE_STEADY, now_ms,
				     out);
		return;
	}
	if (reason == FAILOVER_REASON_PRIMARY_LOST &&
	    !failover_probe_advance(failover, now_ms, out))
		return;
	if (!failover_detect_majority(failover, now_ms) ||
	    now_ms < failover->hold_until_ms ||
	    (reason == FAILOVER_REASON_PRIMARY_LOST &&
	     must_defer(failover, now_ms))) {
		failover->round_due_at_ms = 0;
		return;
	}
	if (failover->round_due_at_ms == 0)
		failover->round_due_at_ms =
			now_ms + round_delay(failover, reason, random);
	if (now_ms >= failover->round_due_at_ms)
		failover_fence_begin(failover, now_ms, out);
}

/*
 * Gives up the round if a target reports a higher term, which belongs to a
 * round of another coordinator. Returns true if the round was given up.
 */
static bool abandon_superseded_round(failover_t *failover, clock_ms_t now_ms,
				     failover_output_t *out)
{
	if (!in_round(failover) ||
	    failover_detect_max_term(failover) == failover->round_term)
		return false;
	failover->collisions++;
	failover_round_abandon(failover, now_ms, out);
	return true;
}

/*
 * Handles one event at now_ms and writes the actions that follow from it to
 * actions. random is a new random number for each call. More than
 * step_timeout_ms between two calls counts as a pause of the process, so
 * FAILOVER_EVENT_TICK must come far more often than that.
 *
 * Returns the number of actions.
 */
size_t failover_step(failover_t *failover, const failover_event_t *event,
		     clock_ms_t now_ms, uint64_t random,
		     failover_action_t actions[FAILOVER_ACTIONS_MAX])
{
	failover_output_t out = { .actions = actions };

	detect_pause(failover, now_ms, &out);
	handle_event(failover, event, now_ms);
	if (failover->phase == FAILOVER_PHASE_STEADY)
		advance_steady(failover, now_ms, &out);
	if (failover->phase == FAILOVER_PHASE_SUSPECT)
		advance_suspect(failover, now_ms, random, &out);
	if (!abandon_superseded_round(failover, now_ms, &out)) {
		if (failover->phase == FAILOVER_PHASE_FENCING)
			failover_fence_advance(failover, now_ms, &out);
		else if (failover->phase == FAILOVER_PHASE_PROMOTING)
			failover_promote_advance(failover, now_ms, &out);
	}
	failover_poll_status(failover, now_ms, &out);
	return out.count;
}
