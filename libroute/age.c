#include "internal.h"

#include <stdlib.h>

/*
 * Orders times for qsort(), latest first.
 */
static int compare_times(const void *a, const void *b)
{
	clock_ms_t left_ms = *(const clock_ms_t *)a;
	clock_ms_t right_ms = *(const clock_ms_t *)b;

	return (left_ms < right_ms) - (left_ms > right_ms);
}

/*
 * Finds the latest time since which enough targets other than the primary back
 * its term to form a majority with it. INT64_MAX stands for no limit, in a
 * group of one target.
 *
 * Returns ROUTE_OK or ROUTE_ERROR_NOT_PROVED.
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
 * Returns the newest sample at or before applied_bytes, or NULL.
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
 * Proves the age of a log of the primary's term that is applied up to
 * applied_bytes.
 *
 * A majority that backs the term at or after a time proves that no write of a
 * higher term was acknowledged before that time, because promises are never
 * taken back and a write of a higher term needs promises of a majority. The
 * primary's position in answer to a request covers all that it committed before
 * the request was sent. The older of the two times bounds the age. An older
 * sample of the primary proves a greater age for a replica that is behind.
 *
 * Returns ROUTE_OK, ROUTE_ERROR_NO_PRIMARY or ROUTE_ERROR_NOT_PROVED.
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
 * Proves how old an answer of target at now_ms can be at most, in ms.
 *
 * Returns ROUTE_OK and sets *age_ms, or:
 * - ROUTE_ERROR_INVALID: target is out of range;
 * - ROUTE_ERROR_NO_PRIMARY: the primary of the highest term is not known;
 * - ROUTE_ERROR_NOT_PROVED: a majority does not back that term, the log of the
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
 * Proves the age that a target would have if it had applied all that the
 * primary reported last. Returns as prove_age() does.
 */
int route_age_best(const route_evidence_t *evidence, clock_ms_t now_ms,
		   clock_ms_t *age_ms)
{
	return prove_age(evidence, UINT64_MAX, now_ms, age_ms);
}

/*
 * Estimates by how many ms target is behind the newest sample; this is also the
 * time after which it may be expected to reach that sample.
 *
 * Returns true and sets *lag_ms, which is 0 for a target that is not in the
 * term of the samples. Returns false if the target is behind all of a full set
 * of samples, so that it is too far behind to tell.
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
