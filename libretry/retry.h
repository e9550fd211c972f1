#ifndef HORNBEAMTACK_RETRY_H
#define HORNBEAMTACK_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

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
	/* The target rolled the statement back and said so. */
	RETRY_ATTEMPT_ROLLED_BACK,
	/* Sent, and no answer that settles it. */
	RETRY_ATTEMPT_NO_ANSWER,
	/* The forwarding connection failed before the request was written. */
	RETRY_ATTEMPT_NOT_SENT,
	/* Committed, but a majority did not confirm it before the deadline. */
	RETRY_ATTEMPT_NOT_CONFIRMED,
	/* The statement itself is wrong; no other target would run it. */
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
	uint32_t attempts;
} retry_input_t;

typedef struct {
	retry_outcome_t outcome;
	/* Another attempt is safe and there is time for it. */
	bool again;
	clock_ms_t wait_ms;
} retry_decision_t;

typedef struct {
	/* Retries allowed for each success, in thousandths. */
	uint32_t ratio_permille;
	uint32_t burst;
	clock_ms_t backoff_min_ms;
	clock_ms_t backoff_max_ms;
	uint32_t attempts_max;
} retry_options_t;

typedef struct retry_budget retry_budget_t;

enum {
	RETRY_OK = 0,
	RETRY_ERROR_MEMORY = -1,
	RETRY_ERROR_EXHAUSTED = -2,
};

retry_budget_t *retry_budget_new(const retry_options_t *options);
void retry_budget_free(retry_budget_t *budget);
void retry_budget_success(retry_budget_t *budget);
int retry_budget_take(retry_budget_t *budget);
retry_decision_t retry_classify(const retry_options_t *options,
				const retry_input_t *input, uint64_t random);
const char *retry_outcome_text(retry_outcome_t outcome);
const char *retry_error_text(int error);

#endif
