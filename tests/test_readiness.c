#include "check.h"

#include "libreadiness/readiness.h"

/* Guards against a proxy that is ready or keeps its sessions although it can
 * serve no caller, and against a proxy that ends its sessions while no other
 * proxy could serve them better. */
static void test_table(void)
{
	static const struct {
		const char *name;
		bool configured;
		bool registered;
		bool peer_check_enabled;
		clock_ms_t confirmed_ago_ms;
		bool draining;
		bool ready;
		bool ends_sessions;
	} rows[] = {
		{ "calm", true, true, true, 900, false, true, false },
		{ "cut off", true, true, true, READINESS_CUT_OFF_MS, false,
		  false, true },
		{ "not yet cut off", true, true, true, READINESS_CUT_OFF_MS - 1,
		  false, true, false },
		{ "cut off, no check among the proxies", true, true, false,
		  9000, false, false, false },
		{ "just started", true, false, true, 9000, false, false,
		  false },
		{ "no configuration", false, true, true, 0, false, false,
		  false },
		{ "leaving", true, true, true, 0, true, false, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const clock_ms_t start_ms = 100000;
		readiness_t readiness = { 0 };
		readiness_view_t view = {
			.configured = rows[i].configured,
			.registered = rows[i].registered,
			.peer_check_enabled = rows[i].peer_check_enabled,
			.draining_ms = rows[i].draining ? start_ms : 0,
		};

		for (view.now_ms = start_ms;
		     view.now_ms < start_ms + READINESS_BALANCER_REMOVAL_MS;
		     view.now_ms += 50) {
			CHECK_ROW(!readiness_should_end_sessions(&readiness,
								 view.now_ms),
				  rows[i].name);
			view.confirmed_ms =
				view.now_ms - rows[i].confirmed_ago_ms;
			readiness_update(&readiness, &view);
			CHECK_ROW(readiness.ready == rows[i].ready,
				  rows[i].name);
		}
		CHECK_ROW(readiness_should_end_sessions(
				  &readiness,
				  start_ms + READINESS_BALANCER_REMOVAL_MS) ==
				  rows[i].ends_sessions,
			  rows[i].name);
	}
}

/* Guards against a proxy that still ends sessions, or stays unready, after it
 * has reached the store or a majority of the proxies again. */
static void test_return(void)
{
	readiness_t readiness = { 0 };
	readiness_view_t view = { .configured = true,
				  .registered = true,
				  .peer_check_enabled = true,
				  .confirmed_ms = 10000,
				  .now_ms = 10000 + READINESS_CUT_OFF_MS };

	readiness_update(&readiness, &view);
	CU_ASSERT(!readiness.ready);
	view.now_ms += 1000;
	view.confirmed_ms = view.now_ms - 10;
	CU_ASSERT(readiness_update(&readiness, &view));
	CU_ASSERT(readiness.ready);
	CU_ASSERT(!readiness_should_end_sessions(&readiness,
						 view.now_ms + 10000));
	CU_ASSERT(!readiness_update(&readiness, &view));
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "table", test_table },
		{ "back in contact", test_return },
	};

	return check_main("readiness", cases, sizeof(cases) / sizeof(cases[0]));
}
