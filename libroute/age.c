#include "internal.h"

#include <stdlib.h>

/*
 * Compares times for qsort(), so that the latest comes first.
 */
static int compare_times(const void *a, const void *b)
{
	clock_ms_t left_ms = *(const clock_ms_t *)a;
	clock_ms_t right_ms = *(const clock_ms_t *)b;

	return (left_ms < right_ms) - (left_ms > right_ms);
}

/*
 * Finds the latest time such that a majority, including the primary, supported
 * the primary's term at that time or later. A target supports the term if its
 * latest status, in answer to a request sent at that time or later, shows no
 * promise to a higher term. In a group of one target, which needs no support,
 * the time is INT64_MAX.
 *
 * Returns ROUTE_OK and sets *since_ms, or ROUTE_ERROR_NOT_PROVED if too few
 * targets support the term.
 */
static int majority_since(const route_evidence_t *evidence, uint32_t term,
			  group_index_t primary, clock_ms_t *since_ms)
{
	uint32_t needed = group_majority(evidence->options.target_count) - 1;
	clock_ms_t times_ms[GROUP_TARGETS_MAX];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < evidence->options.target_count; i++) {
		const route_target_t *observed = &evidence->targets[i];

		if (observed->known && (group_index_t)i != primary &&
		    observed->status.promised_term <= term)
			times_ms[count++] = observed->requested_at_ms;
	}
	if (count < needed)
		return ROUTE_ERROR_NOT_PROVED;
	if (needed == 0) {
		*since_ms = INT64_MAX;
		return ROUTE_OK;
	}
	qsort(times_ms, count, sizeof(times_ms[0]), compare_times);
	*since_ms = times_ms[needed - 1];
	return ROUTE_OK;
}

/*
 * Returns the newest sample whose position is at or before applied_bytes, or
 * NULL if there is none.
 */
static const route_sample_t *find_sample(const route_evidence_t *evidence,
					 uint64_t applied_bytes)
{
	uint32_t i = evidence->sample_count;

	while (i-- > 0) {
		if (evidence->samples[i].position_bytes <= applied_bytes)
			return &evidence->samples[i];
	}
	return NULL;
}

/*
 * Computes an upper bound on the age of a log of the primary's term that is
 * applied up to applied_bytes: the log holds every write that was acknowledged
 * before now_ms - *age_ms. The bound follows from two times, of which the older
 * one counts:
 * - A majority that supported the primary's term at or after a time proves that
 *   no write of a higher term was acknowledged before that time. Promises are
 *   never taken back, and a write of a higher term needs the promises of a
 *   majority.
 * - The position that the primary reported in answer to a request covers all
 *   that it committed before the request was sent. For a replica that is
 *   behind, an older sample of the primary's position proves a greater age.
 *
 * Returns ROUTE_OK and sets *age_ms, ROUTE_ERROR_NO_PRIMARY, or
 * ROUTE_ERROR_NOT_PROVED.
 */
static int prove_age(const route_evidence_t *evidence, uint64_t applied_bytes,
		     clock_ms_t now_ms, clock_ms_t *age_ms)
{
	const route_sample_t *sample;
	group_index_t primary;
	clock_ms_t since_ms;
	uint32_t term;

	if (route_evidence_primary(evidence, &term, &primary) != ROUTE_OK)
		return ROUTE_ERROR_NO_PRIMARY;
	if (evidence->targets[primary].status.promised_term > term ||
	    evidence->sample_term != term ||
	    evidence->sample_target != primary ||
	    majority_since(evidence, term, primary, &since_ms) != ROUTE_OK)
		return ROUTE_ERROR_NOT_PROVED;
	sample = find_sample(evidence, applied_bytes);
	if (!sample)
		return ROUTE_ERROR_NOT_PROVED;
	if (since_ms > sample->requested_at_ms)
		since_ms = sample->requested_at_ms;
	*age_ms = now_ms > since_ms ? now_ms - since_ms : 0;
	return ROUTE_OK;
}

/*
 * Computes the age in ms that an answer of target at now_ms is proved not to
 * exceed.
 *
 * Returns ROUTE_OK and sets *age_ms, or:
 * - ROUTE_ERROR_INVALID: target is out of range;
 * - ROUTE_ERROR_NO_PRIMARY: the primary of the highest term is not known;
 * - ROUTE_ERROR_NOT_PROVED: no majority supports that term, the log of the
 *   target is of another term, or the target is behind all samples.
 */
int route_evidence_age(const route_evidence_t *evidence, group_index_t target,
		       clock_ms_t now_ms, clock_ms_t *age_ms)
{
	const route_target_t *observed =
		route_evidence_target(evidence, target);
	group_index_t primary;
	uint32_t term;

	if (!observed)
		return ROUTE_ERROR_INVALID;
	if (route_evidence_primary(evidence, &term, &primary) != ROUTE_OK)
		return ROUTE_ERROR_NO_PRIMARY;
	if (!observed->known || observed->status.log_term != term)
		return ROUTE_ERROR_NOT_PROVED;
	return prove_age(evidence, observed->status.applied_bytes, now_ms,
			 age_ms);
}

/*
 * Computes the least age that can be proved at now_ms: that of a target which
 * has applied all that the primary reported last. Returns the same values as
 * prove_age().
 */
int route_age_best(const route_evidence_t *evidence, clock_ms_t now_ms,
		   clock_ms_t *age_ms)
{
	return prove_age(evidence, UINT64_MAX, now_ms, age_ms);
}

/*
 * Estimates by how many ms target is behind the newest sample. This is also the
 * time after which the target can be expected to reach that sample.
 *
 * Returns true and sets *lag_ms, which is 0 for a target whose log is not of
 * the term of the samples. Returns false if there are ROUTE_SAMPLES_MAX samples
 * and the target is behind all of them, so that its lag is unknown.
 */
bool route_age_lag(const route_evidence_t *evidence, group_index_t target,
		   clock_ms_t *lag_ms)
{
	const group_status_t *status = route_evidence_status(evidence, target);
	const route_sample_t *samples = evidence->samples;
	const route_sample_t *sample;
	uint32_t count = evidence->sample_count;

	*lag_ms = 0;
	if (!status || count == 0 || status->log_term != evidence->sample_term)
		return true;
	sample = find_sample(evidence, status->applied_bytes);
	if (!sample && count == ROUTE_SAMPLES_MAX)
		return false;
	if (!sample)
		sample = &samples[0];
	*lag_ms = samples[count - 1].requested_at_ms - sample->requested_at_ms;
	return true;
}
