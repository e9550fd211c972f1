#include "check.h"

#include <string.h>

#include "libfailover/failover.h"

#define TICK_MS 10
#define CALLS_MAX 512
#define COUNT 3

/* An observer, and the answers that its calls get from the targets. */
typedef struct {
	failover_t *failover;
	clock_ms_t now_ms;
	group_status_t status[COUNT];
	/* Status calls are answered, probes are answered. */
	bool status_answers[COUNT];
	bool probe_answers[COUNT];
	/* Status calls and probes fail at once. */
	bool refuses_connections[COUNT];
	/* Calls other than STATUS, in their order. */
	failover_action_t calls[CALLS_MAX];
	uint32_t call_count;
	/* Status calls to each target, and those without an answer yet. */
	uint32_t status_calls[COUNT];
	uint32_t outstanding[COUNT];
	uint32_t outstanding_max;
	clock_ms_t probed_at_ms;
	uint64_t random;
} fixture_t;

static failover_options_t test_options(void)
{
	return (failover_options_t){
		.target_count = COUNT,
		.coordinator = 3,
		.status_interval_ms = 100,
		.detect_ms = 600,
		.probe_ms = 200,
		.step_timeout_ms = 300,
		.stagger_ms = 100,
		.jitter_ms = 50,
	};
}

static void step(fixture_t *fixture, const failover_event_t *event);

static void answer(fixture_t *fixture, const failover_action_t *action,
		   failover_event_kind_t kind)
{
	failover_event_t event = {
		.kind = kind,
		.target = action->u.call.target,
		.call = action->u.call.call,
		.call_id = action->u.call.id,
		.requested_at_ms = fixture->now_ms,
		.status = fixture->status[action->u.call.target],
	};

	if (event.call == FAILOVER_CALL_STATUS)
		fixture->outstanding[event.target]--;
	step(fixture, &event);
}

static void handle_call(fixture_t *fixture, const failover_action_t *action)
{
	group_index_t target = action->u.call.target;

	switch (action->u.call.call) {
	case FAILOVER_CALL_STATUS:
		fixture->status_calls[target]++;
		fixture->outstanding[target]++;
		if (fixture->outstanding[target] > fixture->outstanding_max)
			fixture->outstanding_max = fixture->outstanding[target];
		if (fixture->refuses_connections[target])
			answer(fixture, action, FAILOVER_EVENT_FAILED);
		else if (fixture->status_answers[target])
			answer(fixture, action, FAILOVER_EVENT_STATUS);
		return;
	case FAILOVER_CALL_PROBE:
		fixture->probed_at_ms = fixture->now_ms;
		if (fixture->refuses_connections[target])
			answer(fixture, action, FAILOVER_EVENT_FAILED);
		else if (fixture->probe_answers[target])
			answer(fixture, action, FAILOVER_EVENT_STATUS);
		break;
	default:
		break;
	}
	if (fixture->call_count < CALLS_MAX)
		fixture->calls[fixture->call_count++] = *action;
}

static void step(fixture_t *fixture, const failover_event_t *event)
{
	failover_action_t actions[FAILOVER_ACTIONS_MAX];
	size_t count;
	size_t i;

	count = failover_step(fixture->failover, event, fixture->now_ms,
			      fixture->random, actions);
	for (i = 0; i < count; i++) {
		if (actions[i].kind == FAILOVER_ACTION_CALL)
			handle_call(fixture, &actions[i]);
	}
}

static void run(fixture_t *fixture, clock_ms_t duration_ms)
{
	failover_event_t tick = { .kind = FAILOVER_EVENT_TICK };
	clock_ms_t until_ms = fixture->now_ms + duration_ms;

	while (fixture->now_ms < until_ms) {
		fixture->now_ms += TICK_MS;
		step(fixture, &tick);
	}
}

/* Returns the latest call of this kind to the target, or one with id 0. */
static failover_action_t last_call(const fixture_t *fixture,
				   failover_call_t call, group_index_t target)
{
	failover_action_t none = { .u.call.target = GROUP_INDEX_NONE };
	uint32_t i;

	for (i = fixture->call_count; i > 0; i--) {
		const failover_action_t *action = &fixture->calls[i - 1];

		if (action->u.call.call == call &&
		    action->u.call.target == target)
			return *action;
	}
	return none;
}

static uint32_t call_count(const fixture_t *fixture, failover_call_t call)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < fixture->call_count; i++)
		count += fixture->calls[i].u.call.call == call;
	return count;
}

/* Starts a group in term 4 with target 0 as primary, and runs it for 1 s. */
static void set_up(fixture_t *fixture)
{
	failover_options_t options = test_options();
	uint32_t i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->now_ms = 1000;
	fixture->random = 7;
	fixture->failover = failover_new(&options, fixture->now_ms);
	for (i = 0; i < COUNT; i++) {
		fixture->status_answers[i] = true;
		fixture->probe_answers[i] = true;
		fixture->status[i].log_term = 4;
		fixture->status[i].promised_term = 4;
		fixture->status[i].position_bytes = 100;
	}
	fixture->status[0].role = GROUP_ROLE_PRIMARY;
	run(fixture, 1000);
}

static void make_primary_unreachable(fixture_t *fixture)
{
	fixture->status_answers[0] = false;
	fixture->probe_answers[0] = false;
}

/* Runs until a round sends its fence calls; false if none starts in 3 s. */
static bool run_to_fence(fixture_t *fixture)
{
	uint32_t before = call_count(fixture, FAILOVER_CALL_FENCE);
	uint32_t i;

	for (i = 0; i < 300; i++) {
		run(fixture, TICK_MS);
		if (call_count(fixture, FAILOVER_CALL_FENCE) > before)
			return true;
	}
	return false;
}

/* Answers the last fence call to the target as a target that was fenced. */
static void answer_fence(fixture_t *fixture, group_index_t target)
{
	failover_action_t fence =
		last_call(fixture, FAILOVER_CALL_FENCE, target);

	CU_ASSERT_FATAL(fence.u.call.id != 0);
	fixture->status[target].promised_term = fence.u.call.term;
	answer(fixture, &fence, FAILOVER_EVENT_FENCED);
}

static void become_primary(fixture_t *fixture, group_index_t target,
			   uint32_t term)
{
	fixture->status[target].role = GROUP_ROLE_PRIMARY;
	fixture->status[target].log_term = term;
	fixture->status[target].promised_term = term;
}

static failover_phase_t phase(const fixture_t *fixture)
{
	return failover_view(fixture->failover).phase;
}

typedef struct {
	const char *name;
	group_status_t statuses[COUNT];
	bool fenced[COUNT];
	group_index_t chosen;
} choose_row_t;

#define AT(term, position)                                       \
	{                                                        \
		.log_term = (term), .position_bytes = (position) \
	}
#define LEAVING_AT(term, position)                                \
	{                                                         \
		.log_term = (term), .position_bytes = (position), \
		.leaving = true                                   \
	}

/* Guards against the promotion of a target that lacks acknowledged writes. */
static void test_choose(void)
{
	static const choose_row_t rows[] = {
		{ "minority",
		  { AT(1, 9), AT(1, 9), AT(1, 9) },
		  { false, true, false },
		  GROUP_INDEX_NONE },
		{ "position",
		  { AT(1, 9), AT(1, 5), AT(1, 7) },
		  { false, true, true },
		  2 },
		{ "term before position",
		  { AT(1, 9), AT(2, 5), AT(1, 7) },
		  { true, true, true },
		  1 },
		{ "lower index on a tie",
		  { AT(3, 9), AT(3, 9), AT(3, 9) },
		  { false, true, true },
		  1 },
		{ "leaving target is not chosen",
		  { LEAVING_AT(1, 9), AT(1, 7), AT(1, 8) },
		  { true, true, true },
		  2 },
		{ "leaving and an absent target can hold a write",
		  { LEAVING_AT(1, 9), AT(1, 7), AT(1, 9) },
		  { true, true, false },
		  0 },
		{ "leaving and another target can hold a write",
		  { LEAVING_AT(1, 9), LEAVING_AT(1, 9), AT(1, 7) },
		  { true, true, true },
		  0 },
		{ "all are leaving",
		  { LEAVING_AT(1, 8), LEAVING_AT(1, 9), LEAVING_AT(1, 7) },
		  { true, true, true },
		  1 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(failover_choose(rows[i].statuses, rows[i].fenced,
					  COUNT) == rows[i].chosen,
			  rows[i].name);
}

/* Guards against status calls that pile up or stop when answers are lost. */
static void test_status_calls(void)
{
	fixture_t fixture;
	uint32_t before;

	set_up(&fixture);
	CU_ASSERT_EQUAL(fixture.status_calls[1], 10);
	CU_ASSERT_EQUAL(fixture.outstanding_max, 1);
	fixture.status_answers[1] = false;
	before = fixture.status_calls[1];
	run(&fixture, 1200);
	CU_ASSERT(fixture.status_calls[1] - before >= 3);
	CU_ASSERT(fixture.status_calls[1] - before <= 5);
	failover_free(fixture.failover);
}

typedef struct {
	const char *name;
	bool status_answers[COUNT];
	bool probe;
	bool fences;
} suspect_row_t;

/* Guards against a round while the primary can be reached or without a
 * majority, and against a lost primary that is not replaced. */
static void test_suspicion(void)
{
	static const suspect_row_t rows[] = {
		{ "all answer", { true, true, true }, true, false },
		{ "silent connection", { false, true, true }, true, false },
		{ "primary lost", { false, true, true }, false, true },
		{ "no majority", { false, false, true }, false, false },
		{ "replica lost", { true, false, true }, false, false },
	};
	fixture_t fixture;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		set_up(&fixture);
		memcpy(fixture.status_answers, rows[i].status_answers,
		       sizeof(fixture.status_answers));
		memcpy(fixture.probe_answers, rows[i].status_answers,
		       sizeof(fixture.probe_answers));
		fixture.probe_answers[0] = rows[i].probe;
		CHECK_ROW(run_to_fence(&fixture) == rows[i].fences,
			  rows[i].name);
		if (rows[i].fences)
			CHECK_ROW(last_call(&fixture, FAILOVER_CALL_FENCE, 1)
						  .u.call.term == 5,
				  rows[i].name);
		failover_free(fixture.failover);
	}
}

/* Guards against a primary that is replaced because of a single refused
 * connection, and against a wait of detect_ms when its process has ended. */
static void test_refused_connections(void)
{
	fixture_t fixture;

	set_up(&fixture);
	fixture.refuses_connections[0] = true;
	run(&fixture, 150);
	CU_ASSERT(call_count(&fixture, FAILOVER_CALL_PROBE) > 0);
	fixture.refuses_connections[0] = false;
	run(&fixture, 2000);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_FENCE), 0);
	fixture.refuses_connections[0] = true;
	run(&fixture, 190);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_FENCE), 0);
	run(&fixture, 330);
	CU_ASSERT(call_count(&fixture, FAILOVER_CALL_FENCE) > 0);
	failover_free(fixture.failover);
}

/* Guards against a promotion with only a minority fenced, and against replicas
 * that go on following the old primary. */
static void test_round(void)
{
	fixture_t fixture;
	failover_action_t promote;
	failover_view_t view;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	fixture.status[2].position_bytes = 120;
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	CU_ASSERT(fixture.now_ms - fixture.probed_at_ms >=
		  test_options().probe_ms);
	answer_fence(&fixture, 1);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 0);
	answer_fence(&fixture, 2);
	CU_ASSERT_FATAL(
		last_call(&fixture, FAILOVER_CALL_PROMOTE, 2).u.call.id != 0);
	promote = last_call(&fixture, FAILOVER_CALL_PROMOTE, 2);
	CU_ASSERT_EQUAL(promote.u.call.term, 5);
	become_primary(&fixture, 2, 5);
	answer(&fixture, &promote, FAILOVER_EVENT_PROMOTED);
	view = failover_view(fixture.failover);
	CU_ASSERT_EQUAL(view.phase, FAILOVER_PHASE_STEADY);
	CU_ASSERT_EQUAL(view.primary, 2);
	CU_ASSERT_EQUAL(view.promotions, 1);
	CU_ASSERT(view.detect_spent_ms >= test_options().detect_ms);
	run(&fixture, 20);
	CU_ASSERT(last_call(&fixture, FAILOVER_CALL_FOLLOW, 1).u.call.id != 0);
	CU_ASSERT(last_call(&fixture, FAILOVER_CALL_FOLLOW, 0).u.call.id == 0);
	fixture.status_answers[0] = true;
	run(&fixture, 500);
	CU_ASSERT_FATAL(
		last_call(&fixture, FAILOVER_CALL_FOLLOW, 0).u.call.id != 0);
	CU_ASSERT_EQUAL(
		last_call(&fixture, FAILOVER_CALL_FOLLOW, 0).u.call.primary, 2);
	CU_ASSERT(call_count(&fixture, FAILOVER_CALL_FOLLOW) <= 6);
	failover_free(fixture.failover);
}

/* Guards against a round of an observer after a target has promised a term to
 * another coordinator. */
static void test_superseded_round(void)
{
	fixture_t fixture;
	uint32_t i;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	for (i = 0; i < 100 && phase(&fixture) != FAILOVER_PHASE_SUSPECT; i++)
		run(&fixture, TICK_MS);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_SUSPECT);
	fixture.status[1].promised_term = 5;
	run(&fixture, 250);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_FENCE), 0);
	become_primary(&fixture, 1, 5);
	run(&fixture, 1000);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_STEADY);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_FENCE), 0);
	failover_free(fixture.failover);
}

/* Guards against a group that stays without a primary because a coordinator
 * ended after its fence calls and before the promotion. */
static void test_interrupted_coordinator(void)
{
	fixture_t fixture;

	set_up(&fixture);
	fixture.status[0].promised_term = 7;
	fixture.status[1].promised_term = 7;
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	CU_ASSERT_EQUAL(last_call(&fixture, FAILOVER_CALL_FENCE, 0).u.call.term,
			8);
	failover_free(fixture.failover);
}

/* Guards against the promotion of a second target in a term, and against a
 * round that never ends because the answers to its calls are lost. */
static void test_lost_answers(void)
{
	fixture_t fixture;
	uint32_t i;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	answer_fence(&fixture, 1);
	run(&fixture, 400);
	answer_fence(&fixture, 2);
	CU_ASSERT_EQUAL(last_call(&fixture, FAILOVER_CALL_FENCE, 2).u.call.term,
			5);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	for (i = 0; i < fixture.call_count; i++) {
		if (fixture.calls[i].u.call.call == FAILOVER_CALL_PROMOTE)
			CU_ASSERT_EQUAL(fixture.calls[i].u.call.target, 1);
	}
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 3);
	CU_ASSERT_EQUAL(last_call(&fixture, FAILOVER_CALL_FENCE, 1).u.call.term,
			6);
	failover_free(fixture.failover);
}

/* Guards against a repeated promotion when the answer to the promote call is
 * lost and a status shows the promotion. */
static void test_promotion_by_status(void)
{
	fixture_t fixture;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	answer_fence(&fixture, 1);
	answer_fence(&fixture, 2);
	become_primary(&fixture, 1, 5);
	run(&fixture, 200);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_STEADY);
	CU_ASSERT_EQUAL(failover_view(fixture.failover).promotions, 1);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 1);
	failover_free(fixture.failover);
}

/* Guards against a promotion that relies on fence answers from before a pause
 * of the process, during which another coordinator may have acted. */
static void test_pause(void)
{
	fixture_t fixture;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	answer_fence(&fixture, 1);
	fixture.now_ms += 5000;
	answer_fence(&fixture, 2);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 0);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_SUSPECT);
	become_primary(&fixture, 2, 6);
	fixture.status[1].promised_term = 6;
	run(&fixture, 2000);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_STEADY);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 0);
	failover_free(fixture.failover);
}

static void refuse_fence(fixture_t *fixture, group_index_t target)
{
	failover_action_t fence =
		last_call(fixture, FAILOVER_CALL_FENCE, target);

	CU_ASSERT_FATAL(fence.u.call.id != 0);
	fixture->status[target].promised_term = fence.u.call.term;
	answer(fixture, &fence, FAILOVER_EVENT_REFUSED);
}

/* Guards against a second round with the term of a refused one, and against a
 * round that waits for an unreachable target after a refusal. */
static void test_refusal(void)
{
	fixture_t fixture;

	set_up(&fixture);
	make_primary_unreachable(&fixture);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_FENCING);
	refuse_fence(&fixture, 1);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_SUSPECT);
	answer_fence(&fixture, 2);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 0);
	CU_ASSERT_EQUAL(failover_view(fixture.failover).collisions, 1);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	CU_ASSERT_EQUAL(last_call(&fixture, FAILOVER_CALL_FENCE, 1).u.call.term,
			6);
	failover_free(fixture.failover);
}

/* Guards against a round that is given up after a refusal although the other
 * targets are a majority. */
static void test_refusal_by_minority(void)
{
	fixture_t fixture;

	set_up(&fixture);
	fixture.status[0].promised_term = 7;
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	refuse_fence(&fixture, 2);
	CU_ASSERT_EQUAL(phase(&fixture), FAILOVER_PHASE_FENCING);
	answer_fence(&fixture, 0);
	answer_fence(&fixture, 1);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 1);
	failover_free(fixture.failover);
}

/* Fences the reachable targets, promotes target and has all follow it. */
static void finish_round(fixture_t *fixture, group_index_t target)
{
	failover_action_t promote;
	group_index_t i;

	for (i = 0; i < COUNT; i++) {
		if (fixture->status_answers[i])
			answer_fence(fixture, i);
	}
	promote = last_call(fixture, FAILOVER_CALL_PROMOTE, target);
	CU_ASSERT_FATAL(promote.u.call.id != 0);
	for (i = 0; i < COUNT; i++) {
		fixture->status_answers[i] = true;
		fixture->probe_answers[i] = true;
		become_primary(fixture, i, promote.u.call.term);
		fixture->status[i].role =
			i == target ? GROUP_ROLE_PRIMARY : GROUP_ROLE_REPLICA;
	}
	answer(fixture, &promote, FAILOVER_EVENT_PROMOTED);
}

/* Guards against a failover that is delayed because of earlier ones from which
 * the whole group has recovered. The backoff after a round is meant for two
 * observers that replace each other's primary. */
static void test_successive_losses(void)
{
	const failover_options_t options = test_options();
	const clock_ms_t longest_ms =
		options.detect_ms + options.probe_ms +
		options.status_interval_ms +
		(clock_ms_t)options.target_count * options.stagger_ms;
	fixture_t fixture;
	clock_ms_t lost_ms;
	uint32_t i;

	set_up(&fixture);
	fixture.random = UINT64_MAX;
	for (i = 0; i < 5; i++) {
		group_index_t lost = (group_index_t)(i % 2);
		group_index_t chosen = (group_index_t)((i + 1) % 2);

		lost_ms = fixture.now_ms;
		fixture.status_answers[lost] = false;
		fixture.probe_answers[lost] = false;
		fixture.status[chosen].position_bytes += 10;
		CHECK_SEED(run_to_fence(&fixture), i);
		CHECK_SEED(fixture.now_ms - lost_ms <= longest_ms, i);
		finish_round(&fixture, chosen);
		fixture.status[lost].position_bytes =
			fixture.status[chosen].position_bytes;
		run(&fixture, options.detect_ms);
		CHECK_SEED(phase(&fixture) == FAILOVER_PHASE_STEADY, i);
	}
	failover_free(fixture.failover);
}

/* Guards against a group of only replicas that stays without a primary. */
static void test_no_primary(void)
{
	fixture_t fixture;

	set_up(&fixture);
	fixture.status[0].role = GROUP_ROLE_REPLICA;
	CU_ASSERT(run_to_fence(&fixture));
	failover_free(fixture.failover);
}

/* Guards against a leaving primary that is not replaced, and against a handover
 * that promotes the leaving primary again because it does not wait for the
 * answer of a target that has all acknowledged writes. */
static void test_leaving(void)
{
	failover_event_t leaving = { .kind = FAILOVER_EVENT_LEAVING,
				     .target = 0 };
	fixture_t fixture;

	set_up(&fixture);
	fixture.status[0].position_bytes = 130;
	fixture.status[2].position_bytes = 120;
	step(&fixture, &leaving);
	CU_ASSERT_FATAL(run_to_fence(&fixture));
	answer_fence(&fixture, 0);
	answer_fence(&fixture, 1);
	CU_ASSERT_EQUAL(call_count(&fixture, FAILOVER_CALL_PROMOTE), 0);
	answer_fence(&fixture, 2);
	CU_ASSERT(last_call(&fixture, FAILOVER_CALL_PROMOTE, 2).u.call.id != 0);
	failover_free(fixture.failover);
}

/* Guards against targets that still count as leaving after that was withdrawn,
 * so that no target can replace a primary that leaves later. */
static void test_no_longer_leaving(void)
{
	failover_event_t event = { .kind = FAILOVER_EVENT_LEAVING };
	fixture_t fixture;

	set_up(&fixture);
	for (event.target = 1; event.target < 3; event.target++)
		step(&fixture, &event);
	event.target = 0;
	step(&fixture, &event);
	CU_ASSERT_FALSE(run_to_fence(&fixture));
	event.kind = FAILOVER_EVENT_NOT_LEAVING;
	for (event.target = 1; event.target < 3; event.target++)
		step(&fixture, &event);
	CU_ASSERT(run_to_fence(&fixture));
	failover_free(fixture.failover);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "choose", test_choose },
		{ "status calls", test_status_calls },
		{ "suspicion", test_suspicion },
		{ "refused connections", test_refused_connections },
		{ "round", test_round },
		{ "superseded round", test_superseded_round },
		{ "interrupted coordinator", test_interrupted_coordinator },
		{ "lost answers", test_lost_answers },
		{ "promotion by status", test_promotion_by_status },
		{ "pause", test_pause },
		{ "refusal", test_refusal },
		{ "refusal by a minority", test_refusal_by_minority },
		{ "successive losses", test_successive_losses },
		{ "no primary", test_no_primary },
		{ "leaving", test_leaving },
		{ "no longer leaving", test_no_longer_leaving },
	};

	return check_main("failover", cases, sizeof(cases) / sizeof(cases[0]));
}
