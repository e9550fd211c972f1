#include "retry.h"

#include <stdlib.h>

#define TOKENS_PER_RETRY 1000

/* Token bucket; a token is a thousandth of a retry. */
struct retry_budget {
	uint64_t tokens;
	uint64_t tokens_max;
	uint32_t ratio_permille;
};

/*
 * Returns a budget that initially holds options->burst retries, or NULL if
 * memory cannot be allocated.
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
 * Frees a budget, which may be NULL.
 */
void retry_budget_free(retry_budget_t *budget)
{
	free(budget);
}

/*
 * Adds options->ratio_permille thousandths of a retry for a statement that
 * succeeded. The budget never exceeds options->burst retries, so that a long
 * time without failures does not allow a storm of retries later.
 */
void retry_budget_success(retry_budget_t *budget)
{
	budget->tokens += budget->ratio_permille;
	if (budget->tokens > budget->tokens_max)
		budget->tokens = budget->tokens_max;
}

/*
 * Returns true if retry_budget_take() would allow a retry.
 */
bool retry_budget_has(const retry_budget_t *budget)
{
	return budget->tokens >= TOKENS_PER_RETRY;
}

/*
 * Takes one retry from the budget. Returns RETRY_OK, or RETRY_ERROR_EXHAUSTED
 * if the retry must not be made.
 */
int retry_budget_take(retry_budget_t *budget)
{
	if (budget->tokens < TOKENS_PER_RETRY)
		return RETRY_ERROR_EXHAUSTED;
	budget->tokens -= TOKENS_PER_RETRY;
	return RETRY_OK;
}
