#include "check.h"

#include <string.h>

#include "libplacement/placement.h"

static placement_target_t target(bool is_primary, double latency_ms)
{
	return (placement_target_t){ .is_primary = is_primary,
				     .usable = true,
				     .same_domain = true,
				     .slots = 3,
				     .latency_ms = latency_ms,
				     .applied = { 1, 100 } };
}

/* Guards against reads at a replica that has not applied the required position,
 * and against statements for the primary that are run by a replica or without a
 * grant. */
static void test_allowed(void)
{
	static const struct {
		const char *name;
		placement_constraints_t constraints;
		int chosen;
	} rows[] = {
		{ "write", { true, true, true, { 1, 1 } }, 0 },
		{ "write without a grant",
		  { true, false, true, { 1, 1 } },
		  PLACEMENT_NONE },
		{ "read", { false, true, true, { 1, 100 } }, 1 },
		{ "read without a grant",
		  { false, false, true, { 1, 100 } },
		  1 },
		{ "read without a sample", { false, true, false }, 0 },
		{ "read past the replica's log",
		  { false, true, true, { 1, 101 } },
		  0 },
		{ "read past the replica's log, without a grant",
		  { false, false, true, { 1, 101 } },
		  PLACEMENT_NONE },
		{ "read of a later term", { false, true, true, { 2, 1 } }, 0 },
		{ "nothing allowed", { false, false, false }, PLACEMENT_NONE },
	};
	placement_target_t targets[2];
	size_t i;

	targets[0] = target(true, 10.0);
	targets[1] = target(false, 10.0);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(placement_choose(&rows[i].constraints, targets, 2) ==
				  rows[i].chosen,
			  rows[i].name);
}

/* Guards against a slow, distant, busy or unusable replica that is chosen
 * before a better target. */
static void test_cost(void)
{
	const placement_constraints_t constraints = {
		false, true, true, { 1, 1 }
	};
	placement_target_t targets[3];

	targets[0] = target(true, 10.0);
	targets[1] = target(false, 10.0);
	targets[2] = target(false, 12.0);
	CU_ASSERT(placement_choose(&constraints, targets, 3) == 1);
	targets[1].in_flight = 3;
	CU_ASSERT(placement_choose(&constraints, targets, 3) == 2);
	targets[1].in_flight = 0;
	targets[1].same_domain = false;
	CU_ASSERT(placement_choose(&constraints, targets, 3) == 2);
	targets[2].usable = false;
	CU_ASSERT(placement_choose(&constraints, targets, 3) == 1);
	targets[1].latency_ms = 400.0;
	CU_ASSERT(placement_choose(&constraints, targets, 3) == 0);
}

/* Guards against reads that are sent to a replica which is known to lag too
 * much, and against a replica that is never tried again because its lag was
 * measured long ago. */
static void test_lag(void)
{
	static const struct {
		const char *name;
		clock_ms_t required_ago_ms;
		clock_ms_t lag_ms;
		clock_ms_t seen_ago_ms;
		int chosen;
	} rows[] = {
		{ "lag within the bound", 1440, 1000, 100, 1 },
		{ "lag beyond the bound", 1440, 2200, 100, 0 },
		{ "the same lag, a longer bound", 2440, 2200, 100, 1 },
		{ "lag measured long ago", 1440, 2200, PLACEMENT_LAG_MAX_AGE_MS,
		  1 },
		{ "own write more recent than the lag", 5, 20, 2, 0 },
		{ "own write older than the lag", 21, 20, 2, 1 },
	};
	const clock_ms_t now_ms = 100000;
	placement_target_t targets[2];
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const placement_constraints_t constraints = {
			.primary_allowed = true,
			.replica_allowed = true,
			.required = { 1, 200 },
			.required_ms = now_ms - rows[i].required_ago_ms,
			.now_ms = now_ms,
		};

		targets[0] = target(true, 10.0);
		targets[1] = target(false, 10.0);
		targets[1].applied_ms = now_ms - rows[i].seen_ago_ms;
		targets[1].lag_ms = rows[i].lag_ms;
		CHECK_ROW(placement_choose(&constraints, targets, 2) ==
				  rows[i].chosen,
			  rows[i].name);
	}
}

/* Guards against shares that let the proxies together fill the queue of a
 * target, and against shares that leave slots idle. */
static void test_room(void)
{
	static const struct {
		const char *name;
		uint32_t slots;
		uint32_t proxies;
		uint32_t room;
	} rows[] = {
		{ "one proxy", 3, 1, 12 },
		{ "several proxies", 3, 5, 3 },
		{ "uneven share", 5, 3, 7 },
		{ "more proxies than statements", 6, 34, 1 },
		{ "number of proxies not known", 3, 0, 12 },
		{ "slots are not known", 0, 5, 1 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		CHECK_ROW(placement_has_room(rows[i].slots, rows[i].room - 1,
					     rows[i].proxies),
			  rows[i].name);
		CHECK_ROW(!placement_has_room(rows[i].slots, rows[i].room,
					      rows[i].proxies),
			  rows[i].name);
	}
}

/* Guards against a lag that is computed from the wrong sample. */
static void test_sample_lag(void)
{
	sample_ring_t ring;
	int64_t i;

	memset(&ring, 0, sizeof(ring));
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 1, 5 }, 1000) == 0);
	for (i = 1; i <= 10; i++)
		sample_ring_add(&ring, (log_position_t){ 2, (uint64_t)i * 10 },
				i * 100);
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 2, 100 }, 1050) ==
		  0);
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 2, 120 }, 1050) ==
		  0);
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 2, 99 }, 1050) ==
		  150);
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 2, 45 }, 1050) ==
		  650);
	/* A position before all samples or of an earlier term lags by at least
	 * the age of the oldest sample. */
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 2, 1 }, 1050) ==
		  950);
	CU_ASSERT(sample_ring_lag(&ring, (log_position_t){ 1, 500 }, 1050) ==
		  950);
}

/* Guards against a sample from before the staleness bound: a replica that has
 * applied only its position may miss commits that the bound includes. */
static void test_samples(void)
{
	sample_ring_t ring;
	position_sample_t sample;
	int64_t i;

	memset(&ring, 0, sizeof(ring));
	CU_ASSERT(!sample_ring_find(&ring, 0, &sample));
	CU_ASSERT(!sample_ring_latest(&ring, &sample));
	for (i = 1; i <= 1000; i++)
		sample_ring_add(&ring, (log_position_t){ 1, (uint64_t)i },
				i * 10);
	for (i = 9000; i <= 9960; i += 7) {
		CU_ASSERT(sample_ring_find(&ring, i, &sample));
		CU_ASSERT(sample.sent_ms >= i);
		CU_ASSERT(sample.sent_ms < i + SAMPLE_SPACING_MS);
		CU_ASSERT(sample.position.number ==
			  (uint64_t)sample.sent_ms / 10);
	}
	/* A bound longer than the ring covers is met by the oldest sample that
	 * is left, which is later than the bound requires. */
	CU_ASSERT(sample_ring_find(&ring, 100, &sample));
	CU_ASSERT(sample.sent_ms >= 100);
	CU_ASSERT(!sample_ring_find(&ring, 10001, &sample));
	/* An answer to an earlier request that arrives late is dropped. */
	sample_ring_add(&ring, (log_position_t){ 1, 1 }, 5);
	CU_ASSERT(sample_ring_latest(&ring, &sample));
	CU_ASSERT(sample.position.number > 900);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "allowed", test_allowed },
		{ "cost", test_cost },
		{ "lag", test_lag },
		{ "room", test_room },
		{ "sample_lag", test_sample_lag },
		{ "samples", test_samples },
	};

	return check_main("placement", cases, sizeof(cases) / sizeof(cases[0]));
}
