#include "check.h"

#include <stdlib.h>

#include "libbudget/budget.h"

#define MB (1024 * 1024)
#define ACCOUNTS_MAX 4000
#define MEMORY_MB 160

typedef struct {
	budget_t budget;
	budget_account_t accounts[ACCOUNTS_MAX];
} crowd_t;

static crowd_t *open_accounts(uint32_t count)
{
	crowd_t *crowd = check_allocate(sizeof(*crowd));
	uint32_t i;

	budget_init(&crowd->budget, MEMORY_MB);
	for (i = 0; i < count; i++)
		budget_account_open(&crowd->budget, &crowd->accounts[i],
				    &crowd->accounts[i]);
	return crowd;
}

/* Guards against limits that callers inside the limits of the pages meet: many
 * small statements at once, or one message of 1 MiB with its copies. */
static void test_calm(void)
{
	static const struct {
		const char *name;
		uint32_t sessions;
		size_t each_bytes;
		size_t one_bytes;
	} rows[] = {
		{ "idle sessions", 3980, 0, 0 },
		{ "small statements of all at once", 3980, 1000, 0 },
		{ "one longest message", 3980, 0,
		  (size_t)BUDGET_MESSAGE_COPIES * MB },
		{ "one longest message beside small ones", 3980, 1000,
		  (size_t)BUDGET_MESSAGE_COPIES * MB },
		{ "few sessions", 1, 0, (size_t)BUDGET_MESSAGE_COPIES * MB },
	};
	size_t i;
	uint32_t k;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		crowd_t *crowd = open_accounts(rows[i].sessions);

		for (k = 0; k < rows[i].sessions; k++)
			CHECK_ROW(budget_account_set(&crowd->budget,
						     &crowd->accounts[k], 0,
						     rows[i].each_bytes,
						     1000) == BUDGET_READ,
				  rows[i].name);
		CHECK_ROW(budget_account_set(
				  &crowd->budget, &crowd->accounts[0],
				  rows[i].one_bytes, 0, 1000) == BUDGET_READ,
			  rows[i].name);
		CHECK_ROW(budget_pick_victim(&crowd->budget, 60000) == NULL,
			  rows[i].name);
		free(crowd);
	}
}

/* Guards against reading on while memory is short, against pausing those who
 * hold little, and against a pause that never ends. */
static void test_pressure(void)
{
	crowd_t *crowd = open_accounts(100);
	budget_t *budget = &crowd->budget;
	budget_account_t *small = &crowd->accounts[99];
	budget_account_t *victim;
	uint32_t closed = 0;
	uint32_t k;

	for (k = 0; k < 40; k++)
		CU_ASSERT(budget_account_set(budget, &crowd->accounts[k], 0, MB,
					     1000) == BUDGET_READ);
	CU_ASSERT(budget_room(budget) == 0);
	/* One is read on, so that its message completes. */
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[41], 0, MB,
				     1000) == BUDGET_READ);
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[40], 0, MB,
				     1000) == BUDGET_PAUSE);
	CU_ASSERT(budget_account_set(budget, small, 0, 4096, 1000) ==
		  BUDGET_READ);
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[41], 0, 2 * MB,
				     1500) == BUDGET_READ);
	CU_ASSERT(budget_pick_victim(budget, 2900) == NULL);
	/* The next one has the same time to complete. */
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[41], 0, 0,
				     2900) == BUDGET_READ);
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[40], 0, MB + 1,
				     2900) == BUDGET_READ);
	CU_ASSERT(budget_pick_victim(budget, 4800) == NULL);
	/* Unfinished messages do not keep each other from completing. */
	while ((victim = budget_pick_victim(budget, 4900))) {
		CU_ASSERT(victim != small);
		budget_account_close(budget, victim);
		closed++;
	}
	CU_ASSERT(closed == 2);
	CU_ASSERT(budget_account_set(budget, &crowd->accounts[40], 0, MB,
				     4900) == BUDGET_READ);
	free(crowd);
}

/* Guards against a wrong choice of the connection to close: the one that holds
 * most for longest, but none that holds little, and none without an owner. */
static void test_victim(void)
{
	crowd_t *crowd = open_accounts(4);
	budget_t *budget = &crowd->budget;

	budget_account_set(budget, &crowd->accounts[0], 0, 4000, 1);
	budget_account_set(budget, &crowd->accounts[1], 0, 20 * MB, 9000);
	budget_account_set(budget, &crowd->accounts[2], 0, 19 * MB, 5000);
	budget_account_set(budget, &crowd->accounts[3], 50 * MB, 0, 1);
	crowd->accounts[3].owner = NULL;
	CU_ASSERT(budget_pick_victim(budget, 10000) == &crowd->accounts[2]);
	budget_account_close(budget, &crowd->accounts[2]);
	budget_account_close(budget, &crowd->accounts[3]);
	CU_ASSERT(budget_pick_victim(budget, 10000) == NULL);
	CU_ASSERT(budget->bytes == 20 * MB + 4000);
	free(crowd);
}

/* Guards against a connection that holds all memory by itself. */
static void test_account_limit(void)
{
	crowd_t *crowd = open_accounts(1);

	CU_ASSERT(budget_account_set(&crowd->budget, &crowd->accounts[0],
				     20 * MB, 0, 1) == BUDGET_READ);
	CU_ASSERT(budget_account_set(&crowd->budget, &crowd->accounts[0],
				     20 * MB, 1, 1) == BUDGET_CLOSE);
	free(crowd);
	crowd = open_accounts(1);
	budget_init(&crowd->budget, 16);
	budget_account_open(&crowd->budget, &crowd->accounts[0], crowd);
	CU_ASSERT(budget_account_set(&crowd->budget, &crowd->accounts[0],
				     (size_t)BUDGET_MESSAGE_COPIES * MB, 0,
				     1) == BUDGET_READ);
	free(crowd);
}

/* Guards against messages that never complete and answers that are never read,
 * and against closing callers on slow links. */
static void test_overdue(void)
{
	static const struct {
		const char *name;
		size_t bytes_at_start;
		size_t bytes_later;
		clock_ms_t later_ms;
		bool overdue;
	} rows[] = {
		{ "nothing pending", 0, 0, 3600000, false },
		{ "within the time", 1, 100, 30000, false },
		{ "one byte a second", 1, 31, 31000, true },
		{ "half a message", 900000, 900000, 400000, true },
		{ "at the least rate", 1, 50 * 4096, 50000, false },
		{ "an answer that is read", 100000, 90000, 60000, false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		crowd_t *crowd = open_accounts(1);
		budget_account_t *account = &crowd->accounts[0];

		budget_account_set(&crowd->budget, account, 5000,
				   rows[i].bytes_at_start, 1000);
		budget_account_set(&crowd->budget, account, 5000,
				   rows[i].bytes_later,
				   1000 + rows[i].later_ms);
		CHECK_ROW(budget_account_is_overdue(account,
						    1000 + rows[i].later_ms) ==
				  rows[i].overdue,
			  rows[i].name);
		free(crowd);
	}
}

/* Guards against a reserve of descriptors that is missing, or so large that
 * callers inside the limits of the pages meet it. */
static void test_descriptors(void)
{
	CU_ASSERT(budget_callers_max(4300, 100) >= 3980);
	CU_ASSERT(budget_callers_max(4300, 100) <= 4000);
	CU_ASSERT(budget_callers_max(256, 20) == 192);
	CU_ASSERT(budget_callers_max(64, 0) == 48);
	CU_ASSERT(budget_http_max(4300, 1000) >= 300);
	/* Floods of all ports at the same time. */
	CU_ASSERT(budget_callers_max(256, 20 + 2 * 64) < 256 - (20 + 2 * 64));
	CU_ASSERT(2 * budget_http_max(256, 192 + 20) < 256 - (192 + 20));
	CU_ASSERT(budget_callers_max(256, 300) == 0);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "calm", test_calm },
		{ "pressure", test_pressure },
		{ "victim", test_victim },
		{ "account limit", test_account_limit },
		{ "overdue", test_overdue },
		{ "descriptors", test_descriptors },
	};

	return check_main("budget", cases, sizeof(cases) / sizeof(cases[0]));
}
