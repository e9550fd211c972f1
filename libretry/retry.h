#ifndef HORNBEAMTACK_RETRY_H
#define HORNBEAMTACK_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

/* What is known about the effect of a statement. */
typedef enum {
	RETRY_OUTCOME_DONE,
	RETRY_OUTCOME_NOT_RUN,
	RETRY_OUTCOME_UNKNOWN,
} retry_outcome_t;

/* How an attempt at one proxy or target ended. */
typedef enum {
	RETRY_ATTEMPT_ANSWERED,
	/* Refused before anything was sent to a target. */
	RETRY_ATTEMPT_REFUSED,
	/* The target reported that it rolled the statement back. */
	RETRY_ATTEMPT_ROLLED_BACK,
	/* Sent, but no answer arrived that tells the outcome. */
	RETRY_ATTEMPT_NO_ANSWER,
	/* The forwarding connection failed before the request was written. */
	RETRY_ATTEMPT_NOT_SENT,
	/* Committed, but a majority did not confirm it before the deadline. */
	RETRY_ATTEMPT_NOT_CONFIRMED,
	/* The statement is invalid; no other target would run it. */
	RETRY_ATTEMPT_REJECTED,
} retry_attempt_t;

typedef struct {
	retry_attempt_t attempt;
	/* The statement is a read. */
	bool read;
	/* The write carries an idempotency key. */
	bool keyed;
	clock_ms_t now_ms;
	clock_ms_t deadline_ms;
	/* Attempts made so far, including this one. */
	uint32_t attempts;
} retry_input_t;

typedef struct {
	retry_outcome_t outcome;
	/* Another attempt is safe and there is time for it. */
	bool again;
	/* Delay before that attempt. */
	clock_ms_t wait_ms;
} retry_decision_t;

typedef struct {
	/* Retries allowed for each success, in thousandths. */
	uint32_t ratio_permille;
	/* Largest number of retries that the budget can hold. */
	uint32_t burst;
	/* First and largest bound on the delay before a retry. */
	clock_ms_t backoff_min_ms;
	clock_ms_t backoff_max_ms;
	/* Largest number of attempts for a statement. */
	uint32_t attempts_max;
} retry_options_t;

/* Limit on the retries of all statements, in proportion to successes. */
typedef struct retry_budget retry_budget_t;

enum {
	RETRY_OK = 0,
	RETRY_ERROR_MEMORY = -1,
	RETRY_ERROR_EXHAUSTED = -2,
};

retry_budget_t *retry_budget_new(const retry_options_t *options);
void retry_budget_free(retry_budget_t *budget);
void retry_budget_success(retry_budget_t *budget);
bool retry_budget_has(const retry_budget_t *budget);
int retry_budget_take(retry_budget_t *budget);
retry_decision_t retry_classify(const retry_options_t *options,
				const retry_input_t *input, uint64_t random);
const char *retry_outcome_text(retry_outcome_t outcome);
const char *retry_error_text(int error);

#endif
