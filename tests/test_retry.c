#include "check.h"

#include <string.h>

#include "libretry/retry.h"

static const retry_options_t options = {
	.ratio_permille = 100,
	.burst = 2,
	.backoff_min_ms = 10,
	.backoff_max_ms = 100,
	.attempts_max = 4,
};

typedef struct {
	const char *name;
	retry_attempt_t attempt;
	retry_outcome_t outcome;
	/* Whether another attempt is made, for a read, for a write with an
	 * idempotency key, and for any other write. */
	bool read;
	bool keyed;
	bool plain;
} outcome_row_t;

/* Guards against a retry of a write without an idempotency key that may have
 * run, and against the outcome "not run" for a statement that may have run. */
static void test_outcomes(void)
{
	static const outcome_row_t rows[] = {
		{ "answered", RETRY_ATTEMPT_ANSWERED, RETRY_OUTCOME_DONE, false,
		  false, false },
		{ "refused", RETRY_ATTEMPT_REFUSED, RETRY_OUTCOME_NOT_RUN, true,
		  true, true },
		{ "rolled back", RETRY_ATTEMPT_ROLLED_BACK,
		  RETRY_OUTCOME_NOT_RUN, true, true, true },
		{ "no answer", RETRY_ATTEMPT_NO_ANSWER, RETRY_OUTCOME_UNKNOWN,
		  true, true, false },
		{ "not sent", RETRY_ATTEMPT_NOT_SENT, RETRY_OUTCOME_NOT_RUN,
		  true, true, true },
		{ "not confirmed", RETRY_ATTEMPT_NOT_CONFIRMED,
		  RETRY_OUTCOME_UNKNOWN, true, true, false },
		{ "rejected", RETRY_ATTEMPT_REJECTED, RETRY_OUTCOME_NOT_RUN,
		  false, false, false },
		{ "value out of range", (retry_attempt_t)99,
		  RETRY_OUTCOME_UNKNOWN, true, true, false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const outcome_row_t *row = &rows[i];
		int kind;

		for (kind = 0; kind < 4; kind++) {
			bool read = kind & 1;
			bool keyed = kind & 2;
			bool expected = read	? row->read
					: keyed ? row->keyed
						: row->plain;
			retry_input_t input = { row->attempt, read, keyed,
						1000,	      2000, 1 };
			retry_decision_t decision =
				retry_classify(&options, &input, 7);

			CHECK_ROW(decision.outcome == row->outcome, row->name);
			CHECK_ROW(decision.again == expected, row->name);
			CHECK_ROW(decision.wait_ms == (expected ? 7 : 0),
				  row->name);
		}
	}
}

typedef struct {
	const char *name;
	uint32_t attempts;
	clock_ms_t left_ms;
	uint64_t random;
	bool again;
	clock_ms_t wait_ms;
} backoff_row_t;

/* Guards against retries after the deadline or beyond the largest number of
 * attempts, and against a backoff that overflows. */
static void test_backoff(void)
{
	static const retry_options_t many = {
		.backoff_min_ms = 10,
		.backoff_max_ms = 100,
		.attempts_max = UINT32_MAX,
	};
	static const backoff_row_t rows[] = {
		{ "first retry, longest delay", 1, 1000, 10, true, 10 },
		{ "first retry, no delay", 1, 1000, 11, true, 0 },
		{ "second", 2, 1000, 20, true, 20 },
		{ "fourth retry", 4, 1000, 80, true, 80 },
		{ "bound reached", 5, 1000, 100, true, 100 },
		{ "bound reached, no delay", 5, 1000, 101, true, 0 },
		{ "many attempts", UINT32_MAX - 1, 1000, 100, true, 100 },
		{ "attempts used up", UINT32_MAX, 1000, 0, false, 0 },
		{ "no attempt counted", 0, 1000, 10, true, 10 },
		{ "just before the deadline", 1, 10, 9, true, 9 },
		{ "at the deadline", 1, 10, 10, false, 0 },
		{ "deadline now", 1, 0, 0, false, 0 },
		{ "deadline passed", 1, -5, 0, false, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const backoff_row_t *row = &rows[i];
		retry_input_t input = {
			.attempt = RETRY_ATTEMPT_REFUSED,
			.now_ms = 1000,
			.deadline_ms = 1000 + row->left_ms,
			.attempts = row->attempts,
		};
		retry_decision_t decision =
			retry_classify(&many, &input, row->random);

		CHECK_ROW(decision.again == row->again, row->name);
		CHECK_ROW(decision.wait_ms == row->wait_ms, row->name);
	}
}

/* Guards against delays that are not spread over the whole range of the jitter.
 */
static void test_jitter(void)
{
	check_random_t random = check_random(1);
	retry_input_t input = {
		RETRY_ATTEMPT_REFUSED, true, false, 0, 1000, 3
	};
	bool seen[41] = { false };
	int i;

	for (i = 0; i < 2000; i++) {
		clock_ms_t wait_ms = retry_classify(&options, &input,
						    check_random_next(&random))
					     .wait_ms;

		CU_ASSERT_FATAL(wait_ms >= 0 && wait_ms <= 40);
		seen[wait_ms] = true;
	}
	for (i = 0; i <= 40; i++)
		CU_ASSERT(seen[i]);
}

/* Guards against more retries than the ratio of the successes and the burst
 * allow, and against a budget that grows beyond the burst. */
static void test_budget(void)
{
	retry_budget_t *budget = retry_budget_new(&options);
	int i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(budget);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_OK);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_OK);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_ERROR_EXHAUSTED);
	for (i = 0; i < 9; i++)
		retry_budget_success(budget);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_ERROR_EXHAUSTED);
	retry_budget_success(budget);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_OK);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_ERROR_EXHAUSTED);
	for (i = 0; i < 1000; i++)
		retry_budget_success(budget);
	for (i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_OK);
	CU_ASSERT_EQUAL(retry_budget_take(budget), RETRY_ERROR_EXHAUSTED);
	retry_budget_free(budget);
	retry_budget_free(NULL);
}

/* Guards against outcome names that differ from those that callers expect in
 * answers. */
static void test_texts(void)
{
	CU_ASSERT_STRING_EQUAL(retry_outcome_text(RETRY_OUTCOME_DONE), "done");
	CU_ASSERT_STRING_EQUAL(retry_outcome_text(RETRY_OUTCOME_NOT_RUN),
			       "not-run");
	CU_ASSERT_STRING_EQUAL(retry_outcome_text(RETRY_OUTCOME_UNKNOWN),
			       "unknown");
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "outcomes", test_outcomes }, { "backoff", test_backoff },
		{ "jitter", test_jitter },     { "budget", test_budget },
		{ "texts", test_texts },
	};

	return check_main("retry", cases, sizeof(cases) / sizeof(cases[0]));
}
