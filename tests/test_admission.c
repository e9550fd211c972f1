#include "check.h"

#include <stdbool.h>

#include "libadmission/admission.h"

#define READ ADMISSION_CLASS_READ
#define WRITE ADMISSION_CLASS_WRITE
#define TRANSACTION ADMISSION_CLASS_TRANSACTION
#define ACTIONS_MAX 64

static const admission_options_t default_options = {
	.slots = 3,
	.reserved_slots = 1,
	.transactions_max = 2,
	.queue_max = 100,
	.initial_service_ms = 10,
};

static admission_action_t offer(admission_t *admission, uint64_t id,
				uint32_t flow, admission_class_t class,
				clock_ms_t deadline_ms, clock_ms_t now_ms)
{
	admission_request_t request = { id, flow, class, deadline_ms };

	return admission_offer(admission, &request, now_ms);
}

static bool is_admitted(admission_t *admission, uint64_t id,
			admission_class_t class)
{
	return offer(admission, id, 0, class, 1000, 0).kind ==
	       ADMISSION_ACTION_ADMIT;
}

static bool is_queued(admission_t *admission, uint64_t id, uint32_t flow,
		      admission_class_t class)
{
	return offer(admission, id, flow, class, 100000, 0).kind ==
	       ADMISSION_ACTION_QUEUE;
}

static bool is_refused(admission_action_t action, admission_refusal_t reason)
{
	return action.kind == ADMISSION_ACTION_REFUSE &&
	       action.reason == reason;
}

/* Ends a statement and returns the id of the statement that gets its slot, or
 * 0. */
static uint64_t release_and_dispatch(admission_t *admission, uint64_t id,
				     clock_ms_t now_ms)
{
	admission_action_t action;

	admission_release(admission, id, now_ms);
	if (admission_dispatch(admission, now_ms, &action, 1) == 0)
		return 0;
	return action.kind == ADMISSION_ACTION_ADMIT ? action.id : 0;
}

/* Guards against reads that take the slots reserved for writes, and against
 * slots that stay free while a statement is queued. */
static void test_slots(void)
{
	admission_t *admission = admission_new(&default_options);

	CU_ASSERT(is_admitted(admission, 1, READ));
	CU_ASSERT(is_admitted(admission, 2, READ));
	CU_ASSERT(is_queued(admission, 3, 0, READ));
	CU_ASSERT(is_admitted(admission, 4, WRITE));
	CU_ASSERT(is_queued(admission, 5, 0, WRITE));
	CU_ASSERT_EQUAL(admission_usage(admission).in_use, 3);
	CU_ASSERT_EQUAL(admission_usage(admission).queued, 2);
	admission_release(admission, 99, 0);
	CU_ASSERT_EQUAL(admission_usage(admission).in_use, 3);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 4, 10), 5);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 5, 20), 0);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 1, 20), 3);
	admission_free(admission);
}

/* Guards against a setting that reserves all slots for writes and so blocks
 * reads altogether. */
static void test_all_reserved(void)
{
	admission_options_t options = default_options;
	admission_t *admission;

	options.reserved_slots = 3;
	admission = admission_new(&options);
	CU_ASSERT(is_admitted(admission, 1, READ));
	CU_ASSERT(is_queued(admission, 2, 0, READ));
	admission_free(admission);
}

/* Guards against a wrong order of the classes, and against reads that are
 * passed over by writes without limit. */
static void test_class_order(void)
{
	static const uint64_t expected[] = { 31, 21, 22, 11, 23, 24,
					     25, 12, 26, 13, 14 };
	admission_options_t options = default_options;
	admission_t *admission;
	uint64_t id = 1;
	size_t i;

	options.slots = 1;
	options.reserved_slots = 0;
	admission = admission_new(&options);
	CU_ASSERT(is_admitted(admission, id, READ));
	for (i = 1; i <= 4; i++)
		CU_ASSERT(is_queued(admission, 10 + i, 0, READ));
	for (i = 1; i <= 6; i++)
		CU_ASSERT(is_queued(admission, 20 + i, 0, WRITE));
	CU_ASSERT(is_queued(admission, 31, 0, TRANSACTION));
	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		id = release_and_dispatch(admission, id, 0);
		CU_ASSERT_EQUAL(id, expected[i]);
	}
	CU_ASSERT_EQUAL(release_and_dispatch(admission, id, 0), 0);
	admission_free(admission);
}

/* Guards against a flow whose backlog delays the statements of other flows. */
static void test_flow_turns(void)
{
	static const uint64_t expected[] = { 11, 21, 31, 12, 32, 13, 14 };
	admission_options_t options = default_options;
	admission_t *admission;
	uint64_t id = 1;
	size_t i;

	options.slots = 1;
	admission = admission_new(&options);
	CU_ASSERT(is_admitted(admission, id, READ));
	for (i = 1; i <= 4; i++)
		CU_ASSERT(is_queued(admission, 10 + i, 1, READ));
	CU_ASSERT(is_queued(admission, 21, 2, READ));
	CU_ASSERT(is_queued(admission, 31, 3, READ));
	CU_ASSERT(is_queued(admission, 32, 3, READ));
	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
		id = release_and_dispatch(admission, id, 0);
		CU_ASSERT_EQUAL(id, expected[i]);
	}
	admission_free(admission);
}

typedef struct {
	const char *name;
	uint32_t queued;
	uint32_t flow;
	admission_class_t class;
	clock_ms_t deadline_ms;
	bool refused;
} deadline_row_t;

/* Guards against queueing a statement that cannot end by its deadline. Writes
 * use all three slots, the service time is 10 ms, and reads may use two slots.
 * The expected wait of a read with n statements ahead is 10 * (n + 1) / 2 ms,
 * and its expected end is 10 ms later. */
static void test_early_refusal(void)
{
	static const deadline_row_t rows[] = {
		{ "passed", 0, 0, READ, 0, true },
		{ "nothing ahead, too short", 0, 0, READ, 14, true },
		{ "nothing ahead, enough", 0, 0, READ, 15, false },
		{ "three ahead, too short", 3, 0, READ, 29, true },
		{ "three ahead, enough", 3, 0, READ, 30, false },
		{ "other flow, too short", 3, 1, READ, 19, true },
		{ "other flow, enough", 3, 1, READ, 20, false },
		{ "write, no wait for reads", 3, 0, WRITE, 14, false },
		{ "write, too short", 3, 0, WRITE, 13, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const deadline_row_t *row = &rows[i];
		admission_t *admission = admission_new(&default_options);
		admission_action_t action;
		uint64_t id;

		for (id = 1; id <= 3; id++)
			CHECK_ROW(is_admitted(admission, id, WRITE), row->name);
		for (id = 1; id <= row->queued; id++)
			CHECK_ROW(is_queued(admission, 10 + id, 0, READ),
				  row->name);
		action = offer(admission, 20, row->flow, row->class,
			       row->deadline_ms, 0);
		CHECK_ROW(is_refused(action, ADMISSION_REFUSAL_DEADLINE) ==
				  row->refused,
			  row->name);
		CHECK_ROW(admission_usage(admission).queued ==
				  row->queued + !row->refused,
			  row->name);
		admission_free(admission);
	}
}

/* Guards against expired statements that are run, against expired statements
 * that stay queued while no slot is free, and against an action for a cancelled
 * statement. */
static void test_expiry(void)
{
	admission_action_t actions[2];
	admission_t *admission = admission_new(&default_options);
	uint64_t id;

	for (id = 1; id <= 3; id++)
		CU_ASSERT(is_admitted(admission, id, WRITE));
	for (id = 11; id <= 13; id++)
		offer(admission, id, 0, READ, 50, 0);
	CU_ASSERT(is_queued(admission, 14, 0, READ));
	CU_ASSERT_EQUAL(admission_cancel(admission, 11), ADMISSION_OK);
	CU_ASSERT_EQUAL(admission_cancel(admission, 11),
			ADMISSION_ERROR_UNKNOWN_ID);
	CU_ASSERT_EQUAL(admission_cancel(admission, 1),
			ADMISSION_ERROR_UNKNOWN_ID);
	CU_ASSERT_EQUAL(admission_dispatch(admission, 40, actions, 2), 0);
	CU_ASSERT_EQUAL(admission_dispatch(admission, 41, actions, 1), 1);
	CU_ASSERT_EQUAL(actions[0].id, 12);
	admission_release(admission, 1, 41);
	CU_ASSERT_EQUAL(admission_dispatch(admission, 41, actions, 2), 2);
	CU_ASSERT_EQUAL(actions[0].id, 13);
	CU_ASSERT(is_refused(actions[0], ADMISSION_REFUSAL_DEADLINE));
	CU_ASSERT_EQUAL(actions[1].id, 14);
	CU_ASSERT_EQUAL(actions[1].kind, ADMISSION_ACTION_ADMIT);
	admission_free(admission);
}

/* Guards against a flow or a class that fills the queue and leaves no room for
 * the others. */
static void test_full(void)
{
	admission_options_t options = default_options;
	admission_t *admission;
	uint64_t id;

	options.queue_max = 8;
	admission = admission_new(&options);
	for (id = 1; id <= 3; id++)
		CU_ASSERT(is_admitted(admission, id, WRITE));
	for (id = 11; id <= 14; id++)
		CU_ASSERT(is_queued(admission, id, 1, READ));
	CU_ASSERT(is_refused(offer(admission, 15, 1, READ, 100000, 0),
			     ADMISSION_REFUSAL_QUEUE_FULL));
	CU_ASSERT(is_queued(admission, 21, 2, READ));
	CU_ASSERT(is_queued(admission, 22, 2, READ));
	CU_ASSERT(is_refused(offer(admission, 23, 2, READ, 100000, 0),
			     ADMISSION_REFUSAL_QUEUE_FULL));
	CU_ASSERT(is_queued(admission, 31, 3, READ));
	CU_ASSERT(is_queued(admission, 41, 4, READ));
	CU_ASSERT(is_refused(offer(admission, 51, 5, READ, 100000, 0),
			     ADMISSION_REFUSAL_QUEUE_FULL));
	CU_ASSERT(is_queued(admission, 61, 1, WRITE));
	admission_free(admission);
}

/* Guards against an estimate that does not follow a change of the service time,
 * and against an estimate so high that no statement is admitted any more, which
 * would keep it from being corrected. */
static void test_service_time(void)
{
	admission_t *admission = admission_new(&default_options);
	clock_ms_t now_ms = 0;
	int i;

	CU_ASSERT_DOUBLE_EQUAL(admission_usage(admission).service_ms, 10, 0.01);
	for (i = 0; i < 100; i++) {
		offer(admission, 1, 0, READ, now_ms + 5000, now_ms);
		now_ms += 200;
		admission_release(admission, 1, now_ms);
	}
	CU_ASSERT_DOUBLE_EQUAL(admission_usage(admission).service_ms, 200, 2);
	CU_ASSERT_EQUAL(offer(admission, 1, 0, READ, now_ms + 50, now_ms).kind,
			ADMISSION_ACTION_ADMIT);
	admission_release(admission, 1, now_ms + 10);
	CU_ASSERT(admission_usage(admission).service_ms < 190);
	admission_free(admission);
}

/* Guards against new statements that are accepted while the controller is
 * draining, and against queued or running statements and open transactions that
 * draining cuts off (R8). */
static void test_drain(void)
{
	admission_t *admission = admission_new(&default_options);
	uint64_t id;

	CU_ASSERT_EQUAL(admission_transaction_open(admission), ADMISSION_OK);
	for (id = 1; id <= 3; id++)
		CU_ASSERT(is_admitted(admission, id, WRITE));
	CU_ASSERT(is_queued(admission, 11, 0, READ));
	admission_drain(admission);
	CU_ASSERT(is_refused(offer(admission, 12, 0, READ, 1000, 0),
			     ADMISSION_REFUSAL_DRAINING));
	CU_ASSERT(is_refused(offer(admission, 13, 0, WRITE, 1000, 0),
			     ADMISSION_REFUSAL_DRAINING));
	CU_ASSERT_EQUAL(admission_transaction_open(admission),
			ADMISSION_ERROR_TRANSACTIONS);
	CU_ASSERT(is_queued(admission, 14, 0, TRANSACTION));
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 1, 10), 14);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 2, 10), 11);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 3, 10), 0);
	admission_free(admission);
}

/* Guards against more open transactions than there are connections for them. */
static void test_transactions(void)
{
	admission_t *admission = admission_new(&default_options);

	admission_transaction_close(admission);
	CU_ASSERT_EQUAL(admission_transaction_open(admission), ADMISSION_OK);
	CU_ASSERT_EQUAL(admission_transaction_open(admission), ADMISSION_OK);
	CU_ASSERT_EQUAL(admission_transaction_open(admission),
			ADMISSION_ERROR_TRANSACTIONS);
	admission_transaction_close(admission);
	CU_ASSERT_EQUAL(admission_transaction_open(admission), ADMISSION_OK);
	CU_ASSERT_EQUAL(admission_usage(admission).transactions, 2);
	admission_free(admission);
}

/* Guards against a change of the options that loses statements, or after which
 * statements are admitted beyond the new number of slots. */
static void test_configure(void)
{
	admission_options_t options = default_options;
	admission_t *admission = admission_new(&default_options);
	admission_action_t actions[ACTIONS_MAX];
	uint64_t id;

	for (id = 1; id <= 3; id++)
		CU_ASSERT(is_admitted(admission, id, WRITE));
	for (id = 11; id <= 14; id++)
		CU_ASSERT(is_queued(admission, id, 0, WRITE));
	options.slots = 1;
	admission_configure(admission, &options);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 1, 10), 0);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 2, 10), 0);
	CU_ASSERT_EQUAL(release_and_dispatch(admission, 3, 10), 11);
	options.slots = 3;
	admission_configure(admission, &options);
	CU_ASSERT_EQUAL(admission_dispatch(admission, 10, actions, ACTIONS_MAX),
			2);
	options.slots = 0;
	admission_configure(admission, &options);
	CU_ASSERT(is_refused(offer(admission, 20, 0, WRITE, 1000, 0),
			     ADMISSION_REFUSAL_DEADLINE));
	admission_free(admission);
}

typedef enum { FREE, QUEUED, RUNNING } state_t;
#define IDS 64

static void check_random_action(admission_action_t action, state_t *states,
				uint64_t seed)
{
	CHECK_SEED(action.id < IDS, seed);
	CHECK_SEED(states[action.id] != RUNNING, seed);
	if (action.kind == ADMISSION_ACTION_ADMIT)
		states[action.id] = RUNNING;
	else if (action.kind == ADMISSION_ACTION_QUEUE)
		states[action.id] = QUEUED;
	else
		states[action.id] = FREE;
}

static void random_step(admission_t *admission, check_random_t *random,
			state_t *states, clock_ms_t now_ms, uint64_t seed)
{
	uint64_t id = check_random_below(random, IDS);
	admission_action_t actions[4];
	size_t count;
	size_t i;

	if (states[id] == FREE) {
		check_random_action(
			offer(admission, id,
			      (uint32_t)check_random_below(random, 4),
			      (admission_class_t)check_random_below(random, 3),
			      now_ms + (clock_ms_t)check_random_below(random,
								      300),
			      now_ms),
			states, seed);
	} else if (states[id] == RUNNING) {
		admission_release(admission, id, now_ms);
		states[id] = FREE;
	} else if (check_random_below(random, 8) == 0) {
		CHECK_SEED(admission_cancel(admission, id) == ADMISSION_OK,
			   seed);
		states[id] = FREE;
	}
	count = admission_dispatch(admission, now_ms, actions, 4);
	for (i = 0; i < count; i++) {
		CHECK_SEED(states[actions[i].id] == QUEUED, seed);
		check_random_action(actions[i], states, seed);
	}
}

/* Guards against statements that are lost, get two actions or run beyond the
 * number of slots, in random sequences of calls. */
static void test_random(void)
{
	uint64_t seed;

	for (seed = 1; seed <= check_seeds(50); seed++) {
		check_random_t random = check_random(seed);
		admission_t *admission = admission_new(&default_options);
		state_t states[IDS] = { FREE };
		int step;

		for (step = 0; step < 1000; step++) {
			admission_usage_t usage;
			uint32_t counts[3] = { 0 };
			int i;

			random_step(admission, &random, states, step, seed);
			usage = admission_usage(admission);
			for (i = 0; i < IDS; i++)
				counts[states[i]]++;
			CHECK_SEED(usage.queued == counts[QUEUED], seed);
			CHECK_SEED(usage.in_use == counts[RUNNING], seed);
			CHECK_SEED(usage.in_use <= default_options.slots, seed);
		}
		admission_free(admission);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "slots", test_slots },
		{ "all reserved", test_all_reserved },
		{ "class order", test_class_order },
		{ "flow turns", test_flow_turns },
		{ "early refusal", test_early_refusal },
		{ "expiry", test_expiry },
		{ "full", test_full },
		{ "service time", test_service_time },
		{ "drain", test_drain },
		{ "transactions", test_transactions },
		{ "configure", test_configure },
		{ "random", test_random },
	};

	return check_main("admission", cases, sizeof(cases) / sizeof(cases[0]));
}
