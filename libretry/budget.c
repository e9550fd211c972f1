#include "retry.h"

#include <stdlib.h>

#define TOKENS_PER_RETRY 1000

/* Token bucket in thousandths of a retry. */
struct retry_budget {
	uint64_t tokens;
	uint64_t tokens_max;
	uint32_t ratio_permille;
};

/*
 * Returns a budget that holds options->burst retries at first, or NULL if
 * memory is short.
 */
retry_budget_t *retry_budget_new(const retry_options_t *options)
{
	retry_budget_t *budget = calloc(1, sizeof(*budget));

	if (!budget)
		return NULL;
	budget->tokens_max = (uint64_t)options->burst * TOKENS_PER_RETRY;
	budget->tokens = budget->tokens_max;
	budget->ratio_permille = options->ratio_permille;
	return budget;
}

/*
 * Frees a budget; NULL is allowed.
 */
void retry_budget_free(retry_budget_t *budget)
{
	free(budget);
}

/*
 * Earns the ratio's share of a retry for a statement that succeeded. What
 * exceeds the burst is lost, so that a long calm never pays for a storm.
 */
void retry_budget_success(retry_budget_t *budget)
{
	budget->tokens += budget->ratio_permille;
	if (budget->tokens > budget->tokens_max)
		budget->tokens = budget->tokens_max;
}

/*
 * Pays for one retry. Returns RETRY_OK, or RETRY_ERROR_EXHAUSTED if the retry
 * must not be made.
 */
int retry_budget_take(retry_budget_t *budget)
{
	if (budget->tokens < TOKENS_PER_RETRY)
		return RETRY_ERROR_EXHAUSTED;
	budget->tokens -= TOKENS_PER_RETRY;
	return RETRY_OK;
}
