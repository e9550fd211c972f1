#include "retry.h"

static retry_outcome_t attempt_outcome(retry_attempt_t attempt)
{
	switch (attempt) {
	case RETRY_ATTEMPT_ANSWERED:
		return RETRY_OUTCOME_DONE;
	case RETRY_ATTEMPT_REFUSED:
	case RETRY_ATTEMPT_ROLLED_BACK:
	case RETRY_ATTEMPT_NOT_SENT:
	case RETRY_ATTEMPT_REJECTED:
		return RETRY_OUTCOME_NOT_RUN;
	case RETRY_ATTEMPT_NO_ANSWER:
	case RETRY_ATTEMPT_NOT_CONFIRMED:
		break;
	}
	return RETRY_OUTCOME_UNKNOWN;
}

/*
 * Returns whether another attempt is useful and cannot apply the statement
 * twice. If the outcome of the last attempt is unknown, only reads are safe,
 * and writes with an idempotency key, for which the target returns the recorded
 * result instead of running them again. A statement that was rejected is not
 * retried, as it would be rejected again.
 */
static bool is_safe_to_retry(const retry_input_t *input)
{
	switch (attempt_outcome(input->attempt)) {
	case RETRY_OUTCOME_DONE:
		return false;
	case RETRY_OUTCOME_NOT_RUN:
		return input->attempt != RETRY_ATTEMPT_REJECTED;
	case RETRY_OUTCOME_UNKNOWN:
		break;
	}
	return input->read || input->keyed;
}

/*
 * Returns the delay in ms before the next attempt, with full jitter: a random
 * value between 0 and a bound, which doubles with each attempt from
 * backoff_min_ms up to backoff_max_ms.
 */
static clock_ms_t backoff(const retry_options_t *options, uint32_t attempts,
			  uint64_t random)
{
	clock_ms_t bound_ms = options->backoff_min_ms;
	uint32_t i;

	for (i = 1; i < attempts && bound_ms < options->backoff_max_ms / 2; i++)
		bound_ms *= 2;
	if (i < attempts || bound_ms > options->backoff_max_ms)
		bound_ms = options->backoff_max_ms;
	if (bound_ms <= 0)
		return 0;
	return (clock_ms_t)(random % ((uint64_t)bound_ms + 1));
}

/*
 * Decides what the end of an attempt says about the outcome of the statement,
 * and whether to make another attempt after decision.wait_ms. No attempt is
 * made at or after the deadline, or beyond options->attempts_max. random is the
 * source of the jitter.
 *
 * The budget is not taken into account. For an attempt that is subject to it,
 * the caller of this function has to call retry_budget_take() first.
 */
retry_decision_t retry_classify(const retry_options_t *options,
				const retry_input_t *input, uint64_t random)
{
	retry_decision_t decision = { .outcome =
					      attempt_outcome(input->attempt) };
	clock_ms_t wait_ms;

	if (!is_safe_to_retry(input) ||
	    input->attempts >= options->attempts_max)
		return decision;
	wait_ms = backoff(options, input->attempts, random);
	if (wait_ms >= input->deadline_ms - input->now_ms)
		return decision;
	decision.again = true;
	decision.wait_ms = wait_ms;
	return decision;
}
