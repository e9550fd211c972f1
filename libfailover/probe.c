#include "state.h"

/*
 * Sends a status call to each target without an outstanding one to which the
 * last was sent at least status_interval_ms ago.
 */
void failover_poll_status(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out)
{
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		failover_call_state_t *status_call =
			&failover->targets[i].status_call;

		failover_call_expire(status_call, now_ms);
		if (status_call->id != 0 ||
		    (status_call->attempts > 0 &&
		     now_ms - status_call->sent_at_ms <
			     failover->options.status_interval_ms))
			continue;
		failover_call_send(failover, status_call, FAILOVER_CALL_STATUS,
				   (group_index_t)i, GROUP_INDEX_NONE, now_ms,
				   out);
	}
}

/*
 * Probes a target over a new connection. Returns true if a probe of the target
 * failed less than detect_ms ago, and then sends none; returns false while a
 * probe is outstanding.
 */
static bool probe_target(failover_t *failover, group_index_t index,
			 clock_ms_t now_ms, failover_output_t *out)
{
	failover_target_t *target = &failover->targets[index];

	if (failover_call_expire(&target->probe_call, now_ms)) {
		target->connect_refusals = 0;
		target->probe_failed = true;
		target->probe_failed_at_ms = now_ms;
	}
	if (target->probe_call.id != 0)
		return false;
	if (target->probe_failed &&
	    now_ms - target->probe_failed_at_ms < failover->options.detect_ms)
		return true;
	target->probe_failed = false;
	failover_call_send(failover, &target->probe_call, FAILOVER_CALL_PROBE,
			   index, GROUP_INDEX_NONE, now_ms, out);
	return false;
}

/*
 * Probes a primary that has not answered for detect_ms - probe_ms, so that the
 * timeout of the probe ends when detect_ms has passed. A primary whose
 * connection failed is probed at once, and again probe_ms later if it refused
 * the connection of the probe.
 */
void failover_probe_early(failover_t *failover, clock_ms_t now_ms,
			  failover_output_t *out)
{
	const failover_options_t *options = &failover->options;
	group_index_t primary = failover_detect_primary(failover);
	failover_target_t *target;

	if (primary == GROUP_INDEX_NONE)
		return;
	target = &failover->targets[primary];
	if (!target->connection_failed &&
	    failover_detect_silence(failover, now_ms) <
		    options->detect_ms - options->probe_ms)
		return;
	if (target->connect_refusals > 0 &&
	    now_ms >= target->probe_call.retry_at_ms)
		target->probe_failed = false;
	probe_target(failover, primary, now_ms, out);
}

/*
 * Probes the primary that does not answer. If no primary is known, probes every
 * target without a fresh status, since one of them can be the primary. Returns
 * true once all of these probes failed.
 */
bool failover_probe_advance(failover_t *failover, clock_ms_t now_ms,
			    failover_output_t *out)
{
	group_index_t primary = failover_detect_primary(failover);
	bool failed = true;
	uint32_t i;

	for (i = 0; i < failover->options.target_count; i++) {
		group_index_t index = (group_index_t)i;

		if (primary != GROUP_INDEX_NONE
			    ? index != primary
			    : failover_detect_fresh(failover, index, now_ms))
			continue;
		if (!probe_target(failover, index, now_ms, out))
			failed = false;
	}
	return failed;
}
