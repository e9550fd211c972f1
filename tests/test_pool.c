#include "check.h"

#include "libpool/pool.h"

/* Guards against limits that let the proxies together hold more connections
 * than a target accepts, and against a proxy without any connection. */
static void test_limit(void)
{
	static const struct {
		const char *name;
		uint32_t target_limit;
		uint32_t proxies;
		clock_ms_t age_ms;
		uint32_t limit;
	} rows[] = {
		{ "five proxies", 22, 5, 60000, 4 },
		{ "one proxy", 22, 1, 60000, 20 },
		{ "more proxies than connections", 22, 37, 60000, 1 },
		{ "not known", 0, 5, 60000, 1 },
		{ "no proxy is known", 22, 0, 60000, 20 },
		{ "connections of before still count", 22, 5, 0, 2 },
		{ "until the target has dropped them", 22, 5, 2999, 2 },
		{ "from then on", 22, 5, 3000, 4 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const pool_backoff_t backoff = { 0 };
		pool_view_t view = { .target_limit = rows[i].target_limit,
				     .proxies = rows[i].proxies,
				     .started_ms = 1000,
				     .now_ms = 1000 + rows[i].age_ms };

		CHECK_ROW(pool_limit(&view) == rows[i].limit, rows[i].name);
		view.open = rows[i].limit - 1;
		CHECK_ROW(pool_may_open(&backoff, &view), rows[i].name);
		view.open = rows[i].limit;
		CHECK_ROW(!pool_may_open(&backoff, &view), rows[i].name);
	}
}

/* Guards against an owner that opens more connections than it owns, and against
 * a proxy that keeps connections which others own. */
static void test_owned(void)
{
	const pool_backoff_t backoff = { 0 };
	pool_view_t view = { .target_limit = 46,
			     .proxies = 91,
			     .has_owners = true,
			     .owned = 11,
			     .open = 10,
			     .now_ms = 60000 };

	CU_ASSERT(pool_limit(&view) == 11);
	CU_ASSERT(pool_may_open(&backoff, &view));
	view.open = 11;
	CU_ASSERT(!pool_may_open(&backoff, &view));
	CU_ASSERT(!pool_is_surplus(&view, 0));
	view.owned = 0;
	view.open = 1;
	CU_ASSERT(!pool_may_open(&backoff, &view));
	CU_ASSERT(pool_is_surplus(&view, 0));
}

/* Guards against a proxy that keeps opening connections to a full target
 * without delay, and against a backoff that lasts long after the target has
 * room again. */
static void test_refusals(void)
{
	pool_view_t view = { .target_limit = 22, .proxies = 5 };
	pool_backoff_t backoff = { 0 };
	uint32_t attempts = 0;

	for (view.now_ms = 10000; view.now_ms < 13000; view.now_ms++) {
		if (!pool_may_open(&backoff, &view))
			continue;
		attempts++;
		pool_refused(&backoff, view.now_ms);
	}
	/* Delays of 50 and 100 ms, and then of 200 ms. */
	CU_ASSERT(attempts == 17);
	view.now_ms += POOL_BACKOFF_MAX_MS;
	view.opening = 1;
	CU_ASSERT(!pool_may_open(&backoff, &view));
	pool_admitted(&backoff);
	CU_ASSERT(pool_may_open(&backoff, &view));
	pool_refused(&backoff, view.now_ms);
	view.opening = 0;
	view.now_ms += POOL_BACKOFF_FIRST_MS;
	CU_ASSERT(pool_may_open(&backoff, &view));
}

/* Guards against connections that stay open unused, and against closing the
 * last connection to a target. */
static void test_surplus(void)
{
	static const struct {
		const char *name;
		uint32_t open;
		clock_ms_t idle_ms;
		bool surplus;
	} rows[] = {
		{ "used a moment ago", 2, POOL_IDLE_TIMEOUT_MS - 1, false },
		{ "not used", 2, POOL_IDLE_TIMEOUT_MS, true },
		{ "the last one", 1, 100 * POOL_IDLE_TIMEOUT_MS, false },
		{ "within the share", 4, 0, false },
		{ "above the share", 5, 0, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const pool_view_t view = { .target_limit = 22,
					   .proxies = 5,
					   .open = rows[i].open,
					   .now_ms = 100000 };

		CHECK_ROW(pool_is_surplus(&view, rows[i].idle_ms) ==
				  rows[i].surplus,
			  rows[i].name);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "owned", test_owned },
		{ "limit", test_limit },
		{ "refusals", test_refusals },
		{ "surplus", test_surplus },
	};

	return check_main("pool", cases, sizeof(cases) / sizeof(cases[0]));
}
