#include "internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Returns empty evidence about the targets of one group, or NULL if memory
 * cannot be allocated or target_count is not within 1 to GROUP_TARGETS_MAX.
 */
route_evidence_t *route_evidence_new(const route_options_t *options)
{
	route_evidence_t *evidence;

	if (options->target_count == 0 ||
	    options->target_count > GROUP_TARGETS_MAX)
		return NULL;
	evidence = calloc(1, sizeof(*evidence));
	if (!evidence)
		return NULL;
	evidence->options = *options;
	evidence->sample_target = GROUP_INDEX_NONE;
	return evidence;
}

/*
 * Frees evidence, which may be NULL.
 */
void route_evidence_free(route_evidence_t *evidence)
{
	free(evidence);
}

/*
 * Returns the evidence about one target, or NULL if the index is out of range.
 */
const route_target_t *route_evidence_target(const route_evidence_t *evidence,
					    group_index_t target)
{
	if (target < 0 || (uint32_t)target >= evidence->options.target_count)
		return NULL;
	return &evidence->targets[target];
}

/*
 * Adds the position of a primary to the samples, unless the primary has
 * promised a higher term or its term is lower than that of the samples. The
 * samples of an earlier term or of another primary are dropped. The newest
 * sample is always kept; older samples are at least ROUTE_SAMPLE_SPACING_MS
 * apart.
 */
static void record_sample(route_evidence_t *evidence, group_index_t target,
			  clock_ms_t requested_at_ms,
			  const group_status_t *status)
{
	route_sample_t *samples = evidence->samples;
	uint32_t count = evidence->sample_count;

	if (status->role != GROUP_ROLE_PRIMARY ||
	    status->promised_term > status->log_term ||
	    status->log_term < evidence->sample_term)
		return;
	if (status->log_term > evidence->sample_term ||
	    target != evidence->sample_target)
		count = 0;
	evidence->sample_term = status->log_term;
	evidence->sample_target = target;
	if (count >= 2 && samples[count - 1].requested_at_ms -
					  samples[count - 2].requested_at_ms <
				  ROUTE_SAMPLE_SPACING_MS)
		count--;
	if (count == ROUTE_SAMPLES_MAX) {
		memmove(&samples[0], &samples[1],
			(ROUTE_SAMPLES_MAX - 1) * sizeof(samples[0]));
		count--;
	}
	samples[count++] = (route_sample_t){
		.requested_at_ms = requested_at_ms,
		.position_bytes = status->position_bytes,
	};
	evidence->sample_count = count;
}

/*
 * Records the answer of a target to a status request that was sent at
 * requested_at_ms. Answers may arrive out of order; the answer to a request
 * that was sent before that of the recorded status is ignored.
 *
 * Returns ROUTE_OK, or ROUTE_ERROR_INVALID if target is out of range.
 */
int route_evidence_record(route_evidence_t *evidence, group_index_t target,
			  clock_ms_t requested_at_ms,
			  const group_status_t *status)
{
	route_target_t *observed;

	if (!route_evidence_target(evidence, target))
		return ROUTE_ERROR_INVALID;
	observed = &evidence->targets[target];
	if (observed->known && requested_at_ms < observed->requested_at_ms)
		return ROUTE_OK;
	observed->known = true;
	observed->requested_at_ms = requested_at_ms;
	observed->status = *status;
	record_sample(evidence, target, requested_at_ms, status);
	return ROUTE_OK;
}

/*
 * Records whether a target is leaving according to the configuration or the
 * instance list. A target whose status says that it is leaving counts as
 * leaving in any case.
 */
void route_evidence_set_leaving(route_evidence_t *evidence,
				group_index_t target, bool leaving)
{
	if (route_evidence_target(evidence, target))
		evidence->targets[target].leaving = leaving;
}

/*
 * Returns the latest status of a target, or NULL if there is none. The pointer
 * is valid until the next status of the target is recorded.
 */
const group_status_t *route_evidence_status(const route_evidence_t *evidence,
					    group_index_t target)
{
	const route_target_t *observed =
		route_evidence_target(evidence, target);

	return observed && observed->known ? &observed->status : NULL;
}

/*
 * Finds the primary of the highest term that any target reports. If a replica
 * reports a higher term than every known primary, these primaries have been
 * replaced and the current one is not known.
 *
 * Returns ROUTE_OK and sets *term and *primary, or ROUTE_ERROR_NO_PRIMARY.
 */
int route_evidence_primary(const route_evidence_t *evidence, uint32_t *term,
			   group_index_t *primary)
{
	group_index_t found = GROUP_INDEX_NONE;
	uint32_t highest = 0;
	uint32_t i;

	for (i = 0; i < evidence->options.target_count; i++) {
		const route_target_t *observed = &evidence->targets[i];
		bool is_primary = observed->status.role == GROUP_ROLE_PRIMARY;

		if (!observed->known || observed->status.log_term < highest)
			continue;
		if (observed->status.log_term > highest)
			found = GROUP_INDEX_NONE;
		highest = observed->status.log_term;
		if (is_primary)
			found = (group_index_t)i;
	}
	if (found == GROUP_INDEX_NONE)
		return ROUTE_ERROR_NO_PRIMARY;
	*term = highest;
	*primary = found;
	return ROUTE_OK;
}

/*
 * Returns whether a write may be admitted: a primary is known, and a majority
 * of the targets has answered a status request sent within the last fresh_ms
 * and has not promised a higher term than the primary's. Once a majority has
 * promised a higher term, a write cannot be confirmed any more.
 */
bool route_evidence_quorum(const route_evidence_t *evidence, clock_ms_t now_ms)
{
	clock_ms_t fresh_since_ms = now_ms - evidence->options.fresh_ms;
	group_index_t primary;
	uint32_t backing = 0;
	uint32_t term;
	uint32_t i;

	if (route_evidence_primary(evidence, &term, &primary) != ROUTE_OK)
		return false;
	for (i = 0; i < evidence->options.target_count; i++) {
		const route_target_t *observed = &evidence->targets[i];

		if (observed->known &&
		    observed->requested_at_ms >= fresh_since_ms &&
		    observed->status.promised_term <= term)
			backing++;
	}
	return backing >= group_majority(evidence->options.target_count);
}
