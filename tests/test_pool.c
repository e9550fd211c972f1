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
		{ "more proxies than connections", 22, 37, 60000,
		  POOL_ON_DEMAND_LIMIT },
		{ "as many proxies as connections", 22, 20, 60000, 1 },
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

/* Guards against targets that are full of the idle connections of a part of the
 * proxies, and refuse those of the others: 91 proxies that each run 50 ms long
 * operations at a target of 46 connections, one a second on average. */
static void test_on_demand(void)
{
	enum { PROXIES = 91, LIMIT = 46, STEPS = 5000, OPERATION_MS = 50 };
	const pool_view_t view = { .target_limit = LIMIT, .proxies = PROXIES };
	clock_ms_t busy_until_ms[PROXIES] = { 0 };
	uint64_t random = 1;
	uint32_t open_most = 0;
	clock_ms_t now_ms;
	size_t i;

	CU_ASSERT_FATAL(pool_is_on_demand(&view));
	for (now_ms = 1; now_ms < STEPS; now_ms++) {
		uint32_t open = 0;

		for (i = 0; i < PROXIES; i++) {
			random = random * 6364136223846793005u + 1;
			if (random >> 33 < (1u << 31) / 1000)
				busy_until_ms[i] = now_ms + OPERATION_MS;
			open += busy_until_ms[i] != 0 &&
				!(now_ms > busy_until_ms[i] &&
				  pool_is_surplus(&view,
						  now_ms - busy_until_ms[i]));
		}
		open_most = open > open_most ? open : open_most;
	}
	CU_ASSERT(open_most > 0 && open_most <= LIMIT);
}

/* Guards against a tenant that never gets a connection because the others keep
 * theirs busy, and against tenants that close each other's connections before
 * these were used. */
static void test_replacement(void)
{
	static const struct {
		const char *name;
		pool_idle_t idle;
		clock_ms_t waited_ms;
		bool may_replace;
	} rows[] = {
		{ "not wanted", { 5, true, false }, 0, true },
		{ "not wanted, new", { 0, false, false }, 0, true },
		{ "wanted", { 5, true, true }, 0, false },
		{ "wanted, short wait",
		  { 5, true, true },
		  POOL_TURN_MS - 1,
		  false },
		{ "wanted, its turn is over",
		  { 5, true, true },
		  POOL_TURN_MS,
		  true },
		{ "wanted, new", { 5, false, true }, 10 * POOL_TURN_MS, false },
	};
	static const struct {
		const char *name;
		pool_idle_t idle;
		pool_idle_t other;
		bool before;
	} orders[] = {
		{ "idle for longer",
		  { 5, true, false },
		  { 4, true, false },
		  true },
		{ "idle for less",
		  { 4, true, false },
		  { 5, true, false },
		  false },
		{ "wanted", { 9, true, true }, { 0, true, false }, false },
		{ "not wanted", { 0, true, false }, { 9, true, true }, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(pool_may_replace(&rows[i].idle, rows[i].waited_ms) ==
				  rows[i].may_replace,
			  rows[i].name);
	for (i = 0; i < sizeof(orders) / sizeof(orders[0]); i++)
		CHECK_ROW(pool_replaced_before(&orders[i].idle,
					       &orders[i].other) ==
				  orders[i].before,
			  orders[i].name);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "limit", test_limit },
		{ "refusals", test_refusals },
		{ "surplus", test_surplus },
		{ "on demand", test_on_demand },
		{ "replacement", test_replacement },
	};

	return check_main("pool", cases, sizeof(cases) / sizeof(cases[0]));
}
