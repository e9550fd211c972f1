#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libpromotion/era.h"
#include "libpromotion/voters.h"
#include "libstore/store.h"

static promotion_view_t view_without_faults(void)
{
	promotion_view_t view = {
		.self = "a",
		.incarnation = 1,
		.record = { .term = 3, .primary = "t0", .revision = 10 },
		.registered = 3,
		.now_ms = 100000,
	};

	return view;
}

static promotion_t new_promotion(void)
{
	const promotion_options_t options =
		promotion_options_default(5000, 9000);
	promotion_t promotion;

	promotion_init(&promotion, &options);
	return promotion;
}

/* Steps until the first action, at most for duration_ms. Returns the kind of
 * the action. */
static promotion_action_kind_t run_until(promotion_t *promotion,
					 promotion_view_t *view,
					 clock_ms_t duration_ms)
{
	clock_ms_t end_ms = view->now_ms + duration_ms;

	while (view->now_ms < end_ms) {
		promotion_action_t action = promotion_step(promotion, view);

		if (action.kind != PROMOTION_ACTION_NONE)
			return action.kind;
		view->now_ms += 10;
	}
	return PROMOTION_ACTION_NONE;
}

/* Guards against groups that no proxy or several proxies try to adopt first,
 * and against one proxy that adopts all groups while the others wait. When 302
 * proxies started with 560 groups, the surveys of that proxy took so long that
 * targets seemed to be out of reach. */
static void test_adoption_turn(void)
{
	static const struct {
		const char *name;
		uint32_t proxies;
		uint32_t groups;
		/* Largest number of groups that one proxy may try first. The
		 * answers to 16 surveys of 3 targets each arrive well before
		 * connecting to a target times out. */
		uint32_t most;
	} rows[] = {
		{ "one proxy", 1, 3, 3 },
		{ "5 proxies", 5, 3, 3 },
		{ "118 proxies", 118, 20, 16 },
		{ "300 proxies", 300, 560, 16 },
		{ "full size", 1500, 2900, 16 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		uint32_t *firsts =
			check_allocate(rows[i].proxies * sizeof(*firsts));
		uint32_t most = 0;
		uint32_t group;
		uint32_t rank;

		for (group = 0; group < rows[i].groups; group++) {
			uint32_t found = 0;
			char name[16];

			snprintf(name, sizeof(name), "g%u", group);
			for (rank = 0; rank < rows[i].proxies; rank++) {
				if (promotion_adoption_turn(
					    name, rank, rows[i].proxies) != 0)
					continue;
				found++;
				if (++firsts[rank] > most)
					most = firsts[rank];
			}
			CHECK_ROW(found == 1, rows[i].name);
		}
		CHECK_ROW(most <= rows[i].most, rows[i].name);
		free(firsts);
	}
}

/* Guards against a promotion that starts although the group needs none, and
 * against one that does not start although it is needed. */
static void test_need(void)
{
	static const struct {
		const char *name;
		bool suspected_here;
		uint32_t suspicions;
		bool leaving;
		uint64_t fence;
		bool starts;
	} rows[] = {
		{ "no reason", false, 0, false, 0, false },
		{ "minority suspects the primary", true, 1, false, 0, false },
		{ "majority, but not suspected here", false, 2, false, 0,
		  false },
		{ "majority", true, 2, false, 0, true },
		{ "leaving", false, 0, true, 0, true },
		{ "fence left by an earlier promotion", false, 0, false, 7,
		  true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_t promotion = new_promotion();
		promotion_view_t view = view_without_faults();

		view.suspected_here = rows[i].suspected_here;
		view.suspicions = rows[i].suspicions;
		view.leaving = rows[i].leaving;
		view.record.fence = rows[i].fence;
		CHECK_ROW((run_until(&promotion, &view, 10000) ==
			   PROMOTION_ACTION_FENCE) == rows[i].starts,
			  rows[i].name);
	}
}

/* Guards against a proxy that becomes promoter while the earlier promoter may
 * still order promotions. */
static void test_promoter_takeover(void)
{
	static const struct {
		const char *name;
		const char *promoter;
		uint64_t incarnation;
		bool restarted;
		clock_ms_t earliest_ms;
		uint64_t token;
	} rows[] = {
		{ "promoter itself", "a", 1, false, 0, 6 },
		{ "earlier process of this proxy", "a", 9, true, 0, 7 },
		{ "promoter restarted", "b", 1, true, 0, 7 },
		{ "promoter silent", "b", 1, false, 4000, 7 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_t promotion = new_promotion();
		promotion_view_t view = view_without_faults();
		promotion_action_t action = { 0 };

		view.leaving = true;
		snprintf(view.promoter.name, sizeof(view.promoter.name), "%s",
			 rows[i].promoter);
		view.promoter.incarnation = rows[i].incarnation;
		view.promoter.token = 6;
		view.promoter.revision = 5;
		view.promoter.seen_ms = view.now_ms;
		view.promoter_restarted = rows[i].restarted;
		while (action.kind == PROMOTION_ACTION_NONE) {
			action = promotion_step(&promotion, &view);
			view.now_ms += 10;
		}
		CHECK_ROW(action.token == rows[i].token, rows[i].name);
		CHECK_ROW(view.now_ms >=
				  view.promoter.seen_ms + rows[i].earliest_ms,
			  rows[i].name);
	}
}

/* Returns a promotion whose fence is in the store. */
static promotion_t fenced_promotion(promotion_view_t *view, bool all_stopped)
{
	promotion_t promotion = new_promotion();

	view->leaving = true;
	CU_ASSERT(run_until(&promotion, view, 1000) == PROMOTION_ACTION_FENCE);
	promotion_fenced(&promotion, view, 1, view->now_ms);
	view->record.fence = 1;
	snprintf(view->promoter.name, sizeof(view->promoter.name), "a");
	view->promoter.incarnation = 1;
	view->promoter.token = 1;
	view->promoter.revision = 11;
	view->all_stopped = all_stopped;
	return promotion;
}

/* Guards against an order while a proxy may still hold a grant on the old term.
 */
static void test_stopping(void)
{
	static const struct {
		bool all_stopped;
		bool majority;
		clock_ms_t earliest_ms;
	} rows[] = {
		{ true, true, 0 },
		{ false, true, 5000 },
		{ false, false, 9000 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_view_t view = view_without_faults();
		promotion_t promotion =
			fenced_promotion(&view, rows[i].all_stopped);
		clock_ms_t fenced_ms = view.now_ms;
		promotion_action_kind_t kind;

		view.majority_blocked = rows[i].majority;
		do {
			kind = run_until(&promotion, &view, 10000);
			if (kind == PROMOTION_ACTION_RENEW)
				promotion_renewed(&promotion, view.now_ms);
		} while (kind == PROMOTION_ACTION_RENEW);
		CU_ASSERT(kind == PROMOTION_ACTION_SURVEY);
		CU_ASSERT(view.now_ms >= fenced_ms + rows[i].earliest_ms);
		CU_ASSERT(view.now_ms <= fenced_ms + rows[i].earliest_ms + 200);
	}
}

/* Checks which target was chosen; NULL if the targets are to be asked again. */
static void check_chosen(const promotion_t *promotion, const char *chosen,
			 const char *name)
{
	CHECK_ROW((promotion->stage == PROMOTION_STAGE_ORDERING) ==
			  (chosen != NULL),
		  name);
	if (chosen)
		CHECK_ROW(strcmp(promotion->candidate, chosen) == 0, name);
}

/* Guards against the promotion of a target that lacks commits which another
 * target has. */
static void test_successor(void)
{
	static const struct {
		const char *name;
		promotion_candidate_t candidates[3];
		bool synchronous;
		clock_ms_t waited_ms;
		/* NULL if the targets are to be asked again. */
		const char *chosen;
	} rows[] = {
		{ "most advanced",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, false, { false, 3, { 3, 9 } } } },
		  false,
		  0,
		  "t2" },
		{ "later term preferred to higher number",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 1 } } },
		    { "t2", true, false, { false, 3, { 2, 9 } } } },
		  false,
		  0,
		  "t1" },
		{ "not the leaving one",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, true, { false, 3, { 3, 9 } } } },
		  false,
		  0,
		  "t1" },
		{ "the leaving one of a synchronous group, if it alone has the "
		  "last commits",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, true, { false, 3, { 3, 9 } } } },
		  true,
		  0,
		  "t2" },
		{ "not the leaving one of a synchronous group, if another has "
		  "as much",
		  { { "t0", false },
		    { "t1", true, true, { false, 3, { 3, 9 } } },
		    { "t2", true, false, { false, 3, { 3, 9 } } } },
		  true,
		  0,
		  "t2" },
		{ "synchronous group with a leaving replica out of reach",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", false, true } },
		  true,
		  0,
		  NULL },
		{ "synchronous group with a replica out of reach",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", false } },
		  true,
		  0,
		  NULL },
		{ "leaving primary is ahead",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, false, { false, 3, { 3, 7 } } } },
		  false,
		  0,
		  NULL },
		{ "leaving primary is ahead for too long",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, false, { false, 3, { 3, 7 } } } },
		  false,
		  1600,
		  "t1" },
		{ "leaving primary of a synchronous group is ahead for long",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", true, false, { false, 3, { 3, 7 } } } },
		  true,
		  60000,
		  NULL },
		{ "the same, and a replica is gone",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", false, true, .gone = true } },
		  true,
		  60000,
		  NULL },
		{ "the log of the leaving primary, without a replica that is "
		  "gone",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 9 } } },
		    { "t2", false, true, .gone = true } },
		  true,
		  0,
		  "t1" },
		{ "the log of the leaving primary, without a replica that does "
		  "not answer",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 9 } } },
		    { "t2", false } },
		  true,
		  0,
		  "t1" },
		{ "less than the leaving primary, and a replica does not "
		  "answer",
		  { { "t0", true, true, { true, 3, { 3, 9 } } },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", false } },
		  true,
		  60000,
		  NULL },
		{ "no primary, and one replica is gone",
		  { { "t0", false },
		    { "t1", true, false, { false, 3, { 3, 8 } } },
		    { "t2", false, true, .gone = true } },
		  true,
		  0,
		  "t1" },
		{ "no target answers",
		  { { "t0" }, { "t1" }, { "t2" } },
		  false,
		  0,
		  NULL },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_view_t view = view_without_faults();
		promotion_t promotion = fenced_promotion(&view, true);

		view.synchronous = rows[i].synchronous;
		CU_ASSERT(run_until(&promotion, &view, 1000) ==
			  PROMOTION_ACTION_SURVEY);
		view.now_ms += rows[i].waited_ms;
		promotion_surveyed(&promotion, &view, rows[i].candidates, 3);
		check_chosen(&promotion, rows[i].chosen, rows[i].name);
	}
}

/* Guards against the loss of acknowledged commits of a synchronous group, whose
 * only holder refuses its promotion, as it ends: it may still be asked again.
 */
static void test_refused_holder(void)
{
	const promotion_candidate_t candidates[] = {
		{ "t0", false },
		{ "t1", true, false, { false, 3, { 3, 8 } } },
		{ "t2", true, true, { false, 3, { 3, 9 } } },
	};
	promotion_view_t view = view_without_faults();
	promotion_t promotion = fenced_promotion(&view, true);

	view.synchronous = true;
	CU_ASSERT(run_until(&promotion, &view, 1000) ==
		  PROMOTION_ACTION_SURVEY);
	promotion_surveyed(&promotion, &view, candidates, 3);
	CU_ASSERT(run_until(&promotion, &view, 1000) == PROMOTION_ACTION_ORDER);
	promotion_ordered(&promotion, false, true, view.now_ms);
	CU_ASSERT(run_until(&promotion, &view, 1000) ==
		  PROMOTION_ACTION_SURVEY);
	promotion_surveyed(&promotion, &view, candidates, 3);
	check_chosen(&promotion, NULL, "refused");
	CU_ASSERT(run_until(&promotion, &view, 1000) ==
		  PROMOTION_ACTION_SURVEY);
	promotion_surveyed(&promotion, &view, candidates, 3);
	check_chosen(&promotion, "t2", "asked again");
}

/* Guards against the promotion of a target that lacks commits which a survey
 * has shown, while the old primary may still have them, and against a wait for
 * it without an end. */
static void test_primary_away(void)
{
	static const struct {
		const char *name;
		/* The old primary, in the last of three surveys. */
		promotion_candidate_t primary;
		uint64_t received;
		const char *chosen;
	} rows[] = {
		{ "no answer", { "t0", false }, 8, NULL },
		{ "gone", { "t0", false, .gone = true }, 8, "t1" },
		{ "not listed", { "t3", false, .gone = true }, 8, "t1" },
		{ "caught up", { "t0", false }, 9, "t1" },
		{ "back as a replica, without its log",
		  { "t0", true, true, { false, 3, { 1, 0 } } },
		  8,
		  "t1" },
	};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const promotion_candidate_t away = { "t0", false };
		promotion_candidate_t candidates[] = {
			{ "t0", true, true, { true, 3, { 3, 9 } } },
			{ "t1", true, false, { false, 3, { 3, 8 } } },
			{ "t2", false, .gone = true },
		};
		promotion_view_t view = view_without_faults();
		promotion_t promotion = fenced_promotion(&view, true);

		view.synchronous = true;
		for (k = 0; k < 3; k++) {
			CU_ASSERT(run_until(&promotion, &view, 1000) ==
				  PROMOTION_ACTION_SURVEY);
			if (k == 1)
				candidates[0] = away;
			if (k == 2) {
				candidates[0] = rows[i].primary;
				candidates[1].status.received.number =
					rows[i].received;
			}
			promotion_surveyed(&promotion, &view, candidates, 3);
			if (k < 2)
				check_chosen(&promotion, NULL, rows[i].name);
		}
		check_chosen(&promotion, rows[i].chosen, rows[i].name);
	}
}

/* Guards against the promotion of a target whose log holds commits that the
 * last promotion rolled back. They would come back in place of commits that
 * were acknowledged since. */
static void test_diverged(void)
{
	static const struct {
		const char *name;
		promotion_candidate_t candidates[3];
		clock_ms_t waited_ms;
		/* NULL if the targets are to be asked again. */
		const char *chosen;
	} rows[] = {
		{ "fewer commits preferred to diverged",
		  { { "t0", false },
		    { "t1", true, false, { false, 2, { 2, 90 } } },
		    { "t2", true, false, { false, 2, { 2, 140 } } } },
		  0,
		  "t1" },
		{ "where the term began",
		  { { "t0", false },
		    { "t1", true, false, { false, 2, { 2, 100 } } },
		    { "t2", true, false, { false, 2, { 2, 101 } } } },
		  0,
		  "t1" },
		{ "only a diverged log",
		  { { "t0", false },
		    { "t1", false },
		    { "t2", true, false, { false, 2, { 2, 140 } } } },
		  14000,
		  NULL },
		{ "only a diverged log for long",
		  { { "t0", false },
		    { "t1", false },
		    { "t2", true, false, { false, 2, { 2, 140 } } } },
		  15100,
		  "t2" },
		{ "fewer commits preferred to diverged for long",
		  { { "t0", false },
		    { "t1", true, false, { false, 2, { 2, 90 } } },
		    { "t2", true, false, { false, 2, { 2, 140 } } } },
		  15100,
		  "t1" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_view_t view = view_without_faults();
		promotion_t promotion = fenced_promotion(&view, true);

		term_history_add(&view.record.term_history,
				 (log_position_t){ 3, 100 });
		CU_ASSERT(run_until(&promotion, &view, 1000) ==
			  PROMOTION_ACTION_SURVEY);
		view.now_ms += rows[i].waited_ms;
		promotion_surveyed(&promotion, &view, rows[i].candidates, 3);
		check_chosen(&promotion, rows[i].chosen, rows[i].name);
	}
}

/* Fills in the answers to a survey. text has two characters for each target:
 * its role, p for a primary and r for a replica, and its term; "--" if it does
 * not answer. */
static void fill_candidates(promotion_candidate_t *candidates, const char *text)
{
	uint32_t i;

	memset(candidates, 0, 3 * sizeof(*candidates));
	for (i = 0; i < 3; i++) {
		promotion_candidate_t *candidate = &candidates[i];
		uint64_t term = (uint64_t)(text[3 * i + 1] - '0');

		snprintf(candidate->id, sizeof(candidate->id), "t%u", i);
		candidate->reached = text[3 * i] != '-';
		if (!candidate->reached)
			continue;
		candidate->status.is_primary = text[3 * i] == 'p';
		candidate->status.term = term;
		candidate->status.received = (log_position_t){ 3, 10 - i };
	}
}

/* Steps until an action that is no renewal, and checks its kind. */
static void expect_action(promotion_t *promotion, promotion_view_t *view,
			  promotion_action_kind_t expected, const char *name)
{
	promotion_action_kind_t kind;

	while ((kind = run_until(promotion, view, 10000)) ==
	       PROMOTION_ACTION_RENEW)
		promotion_renewed(promotion, view->now_ms);
	CHECK_ROW(kind == expected, name);
}

/* Guards against a primary that is recorded, and so acknowledges writes, while
 * an order for another target may still take effect: the old primary that is
 * back within the wait, and the primary that an earlier promoter ordered. */
static void test_outstanding_orders(void)
{
	enum { ANSWER_NONE, ACCEPTED, REFUSED, LOST };
	static const struct {
		const char *name;
		/* The fence replaces one of another process. */
		bool foreign;
		struct {
			/* The answer to the order that is due; ANSWER_NONE: no
			 * order is due. */
			int answer;
			/* The survey is sent this long after. */
			clock_ms_t after_ms;
			const char *targets;
			promotion_stage_t stage;
			const char *candidate;
		} steps[6];
	} rows[] = {
		{ "no order yet",
		  false,
		  { { ANSWER_NONE, 0, "p3 r3 r3", PROMOTION_STAGE_RECORDING,
		      "t0" } } },
		{ "effect seen",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { LOST, 100, "-- p4 r3", PROMOTION_STAGE_RECORDING,
		      "t1" } } },
		{ "old primary back, no answer",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { LOST, 100, "p3 r3 r3", PROMOTION_STAGE_CONFIRMING, "t1" },
		    { ANSWER_NONE, 1300, "p3 r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { LOST, 1300, "p3 -- r3", PROMOTION_STAGE_ORDERING, "t1" },
		    { ACCEPTED, 100, "p3 p4 r3", PROMOTION_STAGE_RECORDING,
		      "t1" } } },
		{ "old primary back, accepted and not seen",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { ACCEPTED, 2400, "p3 -- --", PROMOTION_STAGE_CONFIRMING,
		      "t1" },
		    { ANSWER_NONE, 200, "p3 -- --", PROMOTION_STAGE_SURVEYING,
		      "t1" },
		    { ANSWER_NONE, 0, "p3 -- --", PROMOTION_STAGE_ORDERING,
		      "t0" },
		    { ACCEPTED, 1400, "p3 -- --", PROMOTION_STAGE_CONFIRMING,
		      "t0" },
		    { ANSWER_NONE, 200, "p3 -- --", PROMOTION_STAGE_RECORDING,
		      "t0" } } },
		{ "old primary ordered, no answer",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { REFUSED, 0, "p3 -- --", PROMOTION_STAGE_ORDERING, "t0" },
		    { LOST, 2000, "p3 -- --", PROMOTION_STAGE_ORDERING, "t0" },
		    { LOST, 2000, "p3 p4 --", PROMOTION_STAGE_ORDERING,
		      "t0" } } },
		{ "another primary while no answer came",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { LOST, 1300, "-- r3 p4", PROMOTION_STAGE_ORDERING,
		      "t1" } } },
		{ "first successor seen after it was given up",
		  false,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { ACCEPTED, 2600, "-- -- r3", PROMOTION_STAGE_SURVEYING,
		      "t1" },
		    { ANSWER_NONE, 0, "-- p4 r3", PROMOTION_STAGE_RECORDING,
		      "t1" } } },
		{ "earlier promoter's primary",
		  true,
		  { { ANSWER_NONE, 0, "p3 p4 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { ACCEPTED, 1400, "p3 p4 r3", PROMOTION_STAGE_CONFIRMING,
		      "t1" },
		    { ANSWER_NONE, 200, "r5 p4 p5", PROMOTION_STAGE_RECORDING,
		      "t1" } } },
		{ "earlier promoter, old primary",
		  true,
		  { { ANSWER_NONE, 0, "p3 -- r3", PROMOTION_STAGE_ORDERING,
		      "t0" },
		    { ACCEPTED, 1600, "p5 -- r3", PROMOTION_STAGE_RECORDING,
		      "t0" } } },
		{ "earlier promoter, no primary",
		  true,
		  { { ANSWER_NONE, 0, "-- r3 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { LOST, 100, "-- p4 r3", PROMOTION_STAGE_CONFIRMING, "t1" },
		    { ANSWER_NONE, 1300, "-- p4 r3", PROMOTION_STAGE_ORDERING,
		      "t1" },
		    { ACCEPTED, 100, "-- p4 r3", PROMOTION_STAGE_RECORDING,
		      "t1" } } },
	};
	promotion_candidate_t candidates[3];
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_view_t view = view_without_faults();
		promotion_t promotion;

		if (rows[i].foreign) {
			view.record.fence = 9;
			snprintf(view.promoter.name, sizeof(view.promoter.name),
				 "b");
			view.promoter.token = 9;
			view.promoter.revision = 9;
		}
		promotion = fenced_promotion(&view, true);
		for (k = 0; k < 6 && rows[i].steps[k].targets; k++) {
			int answer = rows[i].steps[k].answer;

			if (answer != ANSWER_NONE) {
				expect_action(&promotion, &view,
					      PROMOTION_ACTION_ORDER,
					      rows[i].name);
				promotion_ordered(
					&promotion, answer == ACCEPTED,
					answer == REFUSED, view.now_ms);
			}
			view.now_ms += rows[i].steps[k].after_ms;
			expect_action(&promotion, &view,
				      PROMOTION_ACTION_SURVEY, rows[i].name);
			fill_candidates(candidates, rows[i].steps[k].targets);
			promotion_surveyed(&promotion, &view, candidates, 3);
			CHECK_ROW(promotion.stage == rows[i].steps[k].stage,
				  rows[i].name);
			CHECK_ROW(strcmp(promotion.candidate,
					 rows[i].steps[k].candidate) == 0,
				  rows[i].name);
		}
	}
}

/* Guards against a fence that is taken for one under which no order was sent:
 * that of an earlier promoter whose place this proxy took by another group, and
 * the own fence of which the watch tells before the answer of the write. */
static void test_earlier_orders(void)
{
	static const struct {
		const char *name;
		const char *promoter;
		uint64_t incarnation;
		uint64_t token;
		uint64_t fence;
		bool ordered;
		bool foreign;
	} rows[] = {
		{ "no fence", "a", 1, 7, 0, true, false },
		{ "fence of another process", "b", 5, 7, 7, false, true },
		{ "fence of an earlier process of this proxy", "a", 9, 7, 7,
		  false, true },
		{ "promoter by another group", "a", 1, 8, 7, false, true },
		{ "own fence without an order", "a", 1, 7, 7, false, false },
		{ "own fence with an order", "a", 1, 7, 7, true, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		promotion_t promotion = new_promotion();
		promotion_view_t view = view_without_faults();

		promotion.ordered = rows[i].ordered;
		view.leaving = true;
		view.record.fence = rows[i].fence;
		snprintf(view.promoter.name, sizeof(view.promoter.name), "%s",
			 rows[i].promoter);
		view.promoter.incarnation = rows[i].incarnation;
		view.promoter.token = rows[i].token;
		view.promoter.revision = 9;
		CHECK_ROW(run_until(&promotion, &view, 10000) ==
				  PROMOTION_ACTION_FENCE,
			  rows[i].name);
		CHECK_ROW(promotion.foreign_orders == rows[i].foreign,
			  rows[i].name);
	}
}

/* Guards against stop reports that count for a fence to which they do not
 * belong: those on an earlier fence with the same token, and those of an
 * earlier process. */
static void test_stop_reports(void)
{
	registry_t *registry = registry_new();
	group_record_t record = {
		.term = 3, .primary = "t0", .fence = 1, .revision = 50
	};
	registry_report_t report = { .number = 36, .incarnation = 1 };

	registry_proxy_set(registry, "a", 1, "", 0);
	registry_proxy_set(registry, "b", 2, "", 0);
	registry_report_set(registry, REGISTRY_REPORT_STOPPED, "g/a", &report);
	CU_ASSERT(registry_count_stopped(registry, "g", &record) == 0);
	report.number = 50;
	registry_report_set(registry, REGISTRY_REPORT_STOPPED, "g/a", &report);
	registry_report_set(registry, REGISTRY_REPORT_STOPPED, "g/b", &report);
	CU_ASSERT(registry_count_stopped(registry, "g", &record) == 1);
	CU_ASSERT(registry_count_stopped(registry, "h", &record) == 0);
	record.fence = 0;
	CU_ASSERT(registry_count_stopped(registry, "g", &record) == 0);
	registry_free(registry);
}

/* Guards against a promotion that is delayed because proxies on the primary's
 * side of a network partition precede all others. */
static void test_suspicion_rank(void)
{
	const group_record_t record = { .term = 3, .primary = "i-1" };
	registry_t *registry = registry_new();
	registry_report_t report = { .number = 3 };
	char name[16];
	int i;

	for (i = 0; i < 37; i++) {
		snprintf(name, sizeof(name), "p%02d", i);
		registry_proxy_set(registry, name, (uint64_t)i, "", 0);
	}
	/* The first ten proxies are cut off with the primary and suspect
	 * nothing; p10 suspects another primary. */
	for (i = 10; i < 37; i++) {
		snprintf(name, sizeof(name), "g/p%02d", i);
		report.incarnation = (uint64_t)i;
		snprintf(report.primary, sizeof(report.primary), "%s",
			 i == 10 ? "i-2" : "i-1");
		registry_report_set(registry, REGISTRY_REPORT_SUSPICION, name,
				    &report);
	}
	CU_ASSERT(registry_suspicion_rank(registry, "g", &record, "p11") == 0);
	CU_ASSERT(registry_suspicion_rank(registry, "g", &record, "p12") == 1);
	CU_ASSERT(registry_suspicion_rank(registry, "g", &record, "p36") == 25);
	CU_ASSERT(registry_suspicion_rank(registry, "h", &record, "p36") == 0);
	registry_free(registry);
}

static voters_t voters_of(const char *names)
{
	voters_t voters = { .count = 0 };
	char name[2] = "";

	for (; *names != '\0'; names++) {
		name[0] = *names;
		voters_add(&voters, name);
	}
	return voters;
}

/* Guards against stop reports that are taken as enough although a majority of
 * the voters can still promise: those of proxies that are no voters or are not
 * registered, and those that leave out voters which were replaced lately. */
static void test_majority_blocked(void)
{
	static const struct {
		const char *name;
		const char *current;
		const char *previous;
		clock_ms_t changed_ms;
		const char *stopped;
		bool enough;
	} rows[] = {
		{ "half of four", "abcd", "", 1, "ab", true },
		{ "less than half of four", "abcd", "", 1, "a", false },
		{ "three of five", "abcde", "", 1, "abc", true },
		{ "two of five", "abcde", "", 1, "ab", false },
		{ "stops of proxies that are no voters", "abcd", "", 1, "xyz",
		  false },
		{ "replaced lately", "abc", "cde", 95000, "abc", false },
		{ "replaced lately, both stopped", "abc", "cde", 95000, "bcd",
		  true },
		{ "replaced long ago", "abc", "cde", 91000, "ab", true },
		{ "not registered", "abq", "", 1, "aq", false },
		{ "no voters recorded", "", "", 0, "", true },
	};
	group_record_t record = { .term = 3, .fence = 1, .revision = 50 };
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		registry_t *registry = registry_new();
		registry_report_t report = { .number = 50, .incarnation = 1 };
		voters_record_t voters = {
			.sets = { voters_of(rows[i].current),
				  voters_of(rows[i].previous) },
			.count = rows[i].current[0] ? 2 : 0,
			.revision = 9,
			.seen_ms = rows[i].changed_ms
		};
		const char *name;

		for (name = "abcdexyz"; *name != '\0'; name++) {
			const char proxy[] = { *name, '\0' };

			registry_proxy_set(registry, proxy, 1, "", 1);
		}
		for (name = rows[i].stopped; *name != '\0'; name++) {
			const char subject[] = { 'g', '/', *name, '\0' };

			registry_report_set(registry, REGISTRY_REPORT_STOPPED,
					    subject, &report);
		}
		CHECK_ROW(voters_majority_blocked(&voters, registry, "g",
						  &record, 8000,
						  100000) == rows[i].enough,
			  rows[i].name);
		registry_free(registry);
	}
}

/* Guards against voters that have left for good and are not replaced, against a
 * failure domain without a voter, and against a set of voters that is dropped
 * from the record while grants may still rest on its promises. */
static void test_voters_change(void)
{
	/* Proxies a to c in domain 1, d to f in domain 2, g in domain 3. */
	static const struct {
		const char *name;
		const char *current;
		uint32_t sets;
		clock_ms_t changed_ms;
		/* Voters that were removed 10 s ago. */
		const char *gone;
		/* Voters that were removed 2 s ago. */
		const char *restarting;
		/* Number of sets after the change; 0 if there is no change. */
		uint32_t next_sets;
		/* Number of voters in the new set. */
		uint32_t count;
		/* Proxies that must be in the new set. */
		const char *wanted;
	} rows[] = {
		{ "first voters", "", 0, 0, "", "", 1, 5, "g" },
		{ "no change needed", "abdeg", 1, 1, "", "", 0, 5, "" },
		{ "a voter restarts", "abdeg", 1, 1, "", "a", 0, 5, "" },
		{ "a voter is gone", "abdeg", 1, 1, "a", "", 2, 5, "bcdeg" },
		{ "a second change in the time of a grant", "abdeg", 3, 95000,
		  "a", "", 4, 5, "bcdeg" },
		{ "no room for a further set", "abdeg", 4, 95000, "a", "", 0, 0,
		  "" },
		{ "room after the time of a grant", "abdeg", 4, 91000, "a", "",
		  2, 5, "bcdeg" },
		{ "a domain without a voter", "abde", 1, 1, "", "", 2, 5,
		  "abdeg" },
		{ "a domain is gone", "abdeg", 1, 1, "g", "", 2, 4, "abde" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		registry_t *registry = registry_new();
		voters_record_t record = { .sets = { voters_of(
						   rows[i].current) },
					   .count = rows[i].sets,
					   .revision = rows[i].sets ? 9 : 0,
					   .seen_ms = rows[i].changed_ms };
		voters_record_t next;
		const char *name;
		bool changes;

		for (name = "abcdefg"; *name != '\0'; name++) {
			const char proxy[] = { *name, '\0' };
			const char domain[] = { (char)('1' + (*name - 'a') / 3),
						'\0' };

			registry_proxy_set(registry, proxy, 1, "", 1);
			registry_domain_set(registry, proxy, domain);
			if (strchr(rows[i].gone, *name))
				registry_proxy_remove(registry, proxy, 90000);
			if (strchr(rows[i].restarting, *name))
				registry_proxy_remove(registry, proxy, 98000);
		}
		changes = voters_plan_change(&record, registry, 8000, 100000,
					     &next);
		CHECK_ROW(changes == (rows[i].next_sets != 0), rows[i].name);
		CHECK_ROW(!changes || (next.count == rows[i].next_sets &&
				       next.sets[0].count == rows[i].count),
			  rows[i].name);
		for (name = rows[i].wanted; *name != '\0'; name++) {
			const char proxy[] = { *name, '\0' };

			CHECK_ROW(voters_contain(&next.sets[0], proxy),
				  rows[i].name);
		}
		registry_free(registry);
	}
}

/* Guards against promises that revive a grant which has ended, or that extend a
 * grant beyond its limit. */
static void test_grant(void)
{
	const promotion_options_t options =
		promotion_options_default(2000, 8000);
	group_record_t record = { .term = 3, .revision = 10 };
	grant_t grant = { 0 };
	clock_ms_t at_ms;

	grant_extend(&grant, 3, 100 + GRANT_PROMISE_MS);
	CU_ASSERT(!grant_holds(&grant, 3, 100));
	grant_renew(&grant, &record, 1000, &options);
	CU_ASSERT(grant_holds(&grant, 3, 2999));
	CU_ASSERT(!grant_holds(&grant, 3, 3000));
	CU_ASSERT(!grant_holds(&grant, 2, 2000));
	for (at_ms = 2000; at_ms < 20000; at_ms += 400)
		grant_extend(&grant, 3, at_ms + GRANT_PROMISE_MS);
	CU_ASSERT(grant_holds(&grant, 3, 8999));
	CU_ASSERT(!grant_holds(&grant, 3, 9000));
	grant_end(&grant);
	grant_extend(&grant, 3, 8500 + GRANT_PROMISE_MS);
	CU_ASSERT(!grant_holds(&grant, 3, 8500));
	record.fence = 1;
	grant_renew(&grant, &record, 8500, &options);
	CU_ASSERT(!grant_holds(&grant, 3, 8500));
}

/* Model of proxies, the store and one group under random faults. */

#define PROXIES 5
#define TARGETS 3
#define CALLS_MAX 256
#define STEP_MS 10
#define GRANT_MS 2000
#define GRANT_LIFE_MS 6000
#define CALL_TIMEOUT_MS 1000
#define PROMOTE_MS 300
/* Longest additional delay until a call whose answer is lost takes effect. A
 * call to the store may take effect seconds later; the connection of an order
 * is reset at its timeout. */
#define STORE_DELAY_MAX_MS 4000
#define ANSWER_DELAY_MAX_MS 900
#define ORDER_DELAY_MAX_MS 900
/* Longest time until the platform, while it is slow, begins with an order that
 * it has received. */
#define ORDER_BEGIN_MAX_MS 4000
/* Time that an old primary takes to follow one that it can reach. */
#define FOLLOW_MS 1000
#define RUN_MS 40000
/* Most copies of the store, one for each half second of a run. */
#define COPIES (RUN_MS / 500)
/* Time without faults at the end, in which the record must come to name the
 * primary: a takeover, the wait for orders, and a promotion. */
#define QUIET_MS 15000
#define ORDERS_MAX 64

/* Rules that the model breaks on purpose, to show that it detects this. */
typedef enum {
	/* All rules are kept. */
	RULES_ALL,
	/* The life of a grant counts from the answer to a read and not from the
	 * time at which the read was sent. */
	RULES_GRANT_FROM_ANSWER,
	/* The promoter does not wait until grants of reads have expired. */
	RULES_NO_GRANT_WAIT,
	/* A stop report names the promoter's token instead of the revision of
	 * the fenced record. */
	RULES_STOP_BY_TOKEN,
	/* A proxy takes grants while it is not registered. */
	RULES_GRANT_UNREGISTERED,
	/* A promoter orders promotions however old its last confirmation is.
	 */
	RULES_NO_CONFIRMATION_TTL,
	/* A proxy reports a stop although it has promised not to. */
	RULES_STOP_DESPITE_PROMISE,
	/* The stop of one voter counts like the stops of half of the voters. */
	RULES_STOP_OF_ONE_VOTER,
	/* Promises extend grants beyond their limit. */
	RULES_NO_GRANT_LIMIT,
	/* An evicted proxy counts as removed, as if it had given up its grants.
	 */
	RULES_EVICTED_AS_REMOVED,
	/* A read of the epoch renews grants although the known records are
	 * older than the epoch. */
	RULES_EPOCH_IGNORED,
	/* A fence does not change the epoch. */
	RULES_EPOCH_WITHOUT_FENCES,
	/* A change of the registered proxies does not change the epoch. */
	RULES_EPOCH_WITHOUT_REGISTRATIONS,
	/* Only the stops of present voters are waited for, and not those of
	 * voters that were replaced lately. */
	RULES_CURRENT_VOTERS_ONLY,
	/* A change of the voters drops all earlier sets from the record, even
	 * if grants may still rest on their promises. */
	RULES_VOTER_SETS_DROPPED_EARLY,
	/* A borrowed grant lasts as long as a promise, and not only for the
	 * time that the lender's grant has left. */
	RULES_LENT_FOR_PROMISE_TIME,
	/* A process that leaves removes the entry of its name, even if it is
	 * the entry of a later process. */
	RULES_LEAVE_REMOVES_ANY,
	/* An order of which no effect was seen in time counts as without
	 * effect. */
	RULES_ORDER_FORGOTTEN,
	/* So does an order of an earlier promoter. */
	RULES_EARLIER_ORDERS_FORGOTTEN,
	/* The records of a restored store count as if it had lost nothing. */
	RULES_RESTORED_RECORDS_TRUSTED,
	/* A group is reopened while promoters of an earlier era may order. */
	RULES_REOPENED_AT_ONCE,
	/* Tokens go on from the one that the restored store shows. */
	RULES_TOKENS_GO_ON,
} rules_t;

typedef struct {
	uint64_t revision;
	/* Revision of the last fence or change of the registered proxies or the
	 * voters. */
	uint64_t epoch;
	group_record_t group;
	promoter_record_t promoter;
	uint64_t registered[PROXIES];
	bool evicted[PROXIES];
	/* Sets of voters with one bit for each proxy. */
	uint32_t voters[VOTERS_SETS_MAX];
	uint32_t voters_sets;
	uint64_t voters_revision;
	/* The last eras that were opened and settled. */
	uint64_t opened_era;
	uint64_t settled_era;
	registry_report_t suspicion[PROXIES];
	registry_report_t stops[PROXIES];
} store_state_t;

typedef enum {
	CALL_READ,
	CALL_WATCH,
	CALL_REGISTER,
	CALL_SUSPICION,
	CALL_STOP,
	CALL_LEAVE,
	/* Opens or settles the era. */
	CALL_ERA,
	/* Writes the group's record of an earlier era again. */
	CALL_REOPEN,
	CALL_RECORDS,
	CALL_SURVEY,
	CALL_ORDER,
	CALL_PROMISE,
	CALL_BORROW,
	CALL_MEMBERS,
} call_kind_t;

typedef struct {
	bool used;
	bool answered;
	call_kind_t kind;
	uint32_t proxy;
	uint64_t incarnation;
	clock_ms_t sent_ms;
	/* Time at which the call arrives and is executed; below 0 if it never
	 * arrives. */
	clock_ms_t arrives_ms;
	/* Time at which the answer arrives, or at which the caller's timeout
	 * expires if the answer is lost. */
	clock_ms_t answer_ms;
	bool answer_lost;
	bool executed;
	bool ok;
	promotion_action_t action;
	registry_report_t report;
	uint64_t expected_group;
	uint64_t expected_promoter;
	/* For a change: the era of the records on which it was decided. */
	uint64_t era;
	bool settles;
	/* Proxy that a request to a peer is sent to. */
	uint32_t peer;
	/* Round of requests for promises. */
	uint64_t round;
	uint64_t promised_term;
	/* Time that the grant of the lender had left. */
	clock_ms_t left_ms;
	/* State of each proxy as a peer has seen it, and for how long the proxy
	 * has been in that state; below 0 if the peer does not know it. */
	registry_state_t states[PROXIES];
	clock_ms_t ages_ms[PROXIES];
	group_record_t group;
	promoter_record_t promoter;
	store_state_t seen;
	promotion_candidate_t candidates[TARGETS];
} call_t;

typedef struct {
	bool running;
	clock_ms_t starts_ms;
	/* Time from the start until the store is cut off; 0 if it is not. */
	clock_ms_t cuts_after_ms;
	/* Until this time, registrations are lost while reads are answered. */
	clock_ms_t unregistered_until_ms;
	clock_ms_t paused_until_ms;
	uint64_t incarnation;
	char name[8];
	registry_t *registry;
	voters_record_t voters;
	group_record_t record;
	promoter_record_t promoter;
	grant_t grant;
	promotion_t promotion;
	clock_ms_t records_confirmed_ms;
	clock_ms_t registered_ms;
	clock_ms_t next_read_ms;
	clock_ms_t next_watch_ms;
	clock_ms_t failing_ms;
	clock_ms_t stopping_ms;
	uint64_t stopped_revision;
	uint64_t seen_revision;
	uint64_t registration_revision;
	/* An epoch that the known records have not reached yet, and the time
	 * at which it was asked for. */
	uint64_t epoch_pending;
	clock_ms_t epoch_sent_ms;
	era_t era;
	uint64_t opened_era;
	uint64_t stored_term;
	/* Until this time, the watch shows no changes while other calls are
	 * answered. */
	clock_ms_t watch_silent_until_ms;
	clock_ms_t started_ms;
	clock_ms_t promised_ms;
	clock_ms_t asked_ms;
	uint64_t round;
	uint32_t promises;
	bool leaving;
	bool suspicion;
	bool merged;
	bool busy[CALL_MEMBERS + 1];
	clock_ms_t store_cut_from_ms;
	clock_ms_t store_cut_until_ms;
	clock_ms_t targets_cut_until_ms;
	clock_ms_t peers_cut_until_ms;
} proxy_model_t;

typedef struct {
	check_random_t random;
	rules_t rules;
	clock_ms_t now_ms;
	store_state_t store;
	proxy_model_t proxies[PROXIES];
	call_t calls[CALLS_MAX];
	/* The actual term and primary of the group. */
	uint64_t term;
	uint32_t primary;
	clock_ms_t target_down_until_ms[TARGETS];
	/* The term that each target believes to lead, 0 for a replica. An old
	 * primary goes on until it has reached its successor for FOLLOW_MS. */
	uint64_t leads[TARGETS];
	clock_ms_t reaches_primary_since_ms[TARGETS];
	/* Until this time, a running target can be reached by no other process.
	 */
	clock_ms_t target_cut_until_ms[TARGETS];
	/* The target of the next order is to be cut off. */
	bool successor_cut_due;
	/* Until this time, the platform is slow to begin with orders. */
	clock_ms_t platform_slow_until_ms;
	/* Orders that the platform has received, which it handles one after the
	 * other. */
	struct {
		clock_ms_t begins_ms;
		uint32_t target;
	} orders[ORDERS_MAX];
	uint32_t order_count;
	/* Time at which an order takes effect; 0 if there is none. */
	clock_ms_t promotion_effect_ms;
	uint32_t promotion_effect_target;
	clock_ms_t store_down_until_ms;
	/* The store is restored now and then, from one of its copies. */
	bool restores;
	check_random_t restore_random;
	store_state_t copies[COPIES];
	uint32_t copy_count;
	uint32_t restorations;
	uint64_t last_token;
	char last_promoter[8];
	uint64_t next_incarnation;
	clock_ms_t voters_changed_ms;
	/* Time of a second change of the voters soon after a first one; 0 if
	 * there is none. */
	clock_ms_t second_voters_change_ms;
	/* The primary announces between these times that it shuts down. */
	clock_ms_t leaving_from_ms;
	clock_ms_t leaving_until_ms;
	uint32_t promotions;
	uint32_t violations;
	uint32_t token_violations;
	uint64_t grant_held_ms;
	/* At the end, the record does not name the primary. */
	bool stuck;
} model_t;

static uint64_t random_below(model_t *model, uint64_t bound)
{
	return check_random_below(&model->random, bound);
}

static void start_proxy(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	promotion_options_t options = promotion_options_default(
		model->rules == RULES_NO_GRANT_WAIT ? 0 : GRANT_MS,
		GRANT_LIFE_MS);

	if (model->rules == RULES_NO_CONFIRMATION_TTL) {
		options.confirmation_ttl_ms = 1000000;
		options.renew_ms = 1000000;
		options.takeover_ms = 100;
	}
	clock_ms_t cuts_after_ms = proxy->cuts_after_ms;
	clock_ms_t unregistered_until_ms = proxy->unregistered_until_ms;

	registry_free(proxy->registry);
	memset(proxy, 0, sizeof(*proxy));
	proxy->unregistered_until_ms = unregistered_until_ms;
	if (cuts_after_ms != 0) {
		proxy->store_cut_from_ms = model->now_ms + cuts_after_ms;
		proxy->store_cut_until_ms = proxy->store_cut_from_ms + 4000;
	}
	snprintf(proxy->name, sizeof(proxy->name), "p%u", index);
	proxy->registry = registry_new();
	proxy->running = true;
	proxy->incarnation = ++model->next_incarnation;
	proxy->started_ms = model->now_ms;
	promotion_init(&proxy->promotion, &options);
}

static uint64_t known_era(const proxy_model_t *proxy)
{
	return store_revision_era(proxy->seen_revision);
}

/* Tells whether a proxy may make changes, as gateway_era_is_open(). */
static bool is_open(const proxy_model_t *proxy)
{
	return known_era(proxy) == proxy->era.number &&
	       proxy->opened_era == proxy->era.number;
}

static call_t *send_call(model_t *model, uint32_t index, call_kind_t kind)
{
	proxy_model_t *proxy = &model->proxies[index];
	bool to_store = kind <= CALL_RECORDS;
	bool down = to_store && ((model->now_ms < proxy->store_cut_until_ms &&
				  model->now_ms >= proxy->store_cut_from_ms) ||
				 model->now_ms < model->store_down_until_ms);
	call_t *call = NULL;
	uint32_t i;

	for (i = 0; i < CALLS_MAX && !call; i++) {
		if (!model->calls[i].used)
			call = &model->calls[i];
	}
	if (!call)
		abort();
	memset(call, 0, sizeof(*call));
	call->used = true;
	call->kind = kind;
	call->proxy = index;
	call->incarnation = proxy->incarnation;
	call->sent_ms = model->now_ms;
	call->era = proxy->era.number;
	call->arrives_ms =
		model->now_ms + 5 + (clock_ms_t)random_below(model, 30);
	call->answer_ms =
		call->arrives_ms + 5 + (clock_ms_t)random_below(model, 30);
	/* Some answers are slow. */
	if (random_below(model, 10) == 0)
		call->answer_ms +=
			(clock_ms_t)random_below(model, ANSWER_DELAY_MAX_MS);
	/* Some answers are lost, and some of these calls are delayed by up to
	 * seconds before they are executed. */
	down = down || (kind == CALL_REGISTER &&
			model->now_ms < proxy->unregistered_until_ms);
	call->answer_lost = down || random_below(model, 40) == 0;
	if (call->answer_lost) {
		call->answer_ms = model->now_ms + CALL_TIMEOUT_MS;
		if (down)
			call->arrives_ms = -1;
		else if (random_below(model, 2) == 0)
			call->arrives_ms += (clock_ms_t)random_below(
				model, kind == CALL_ORDER ? ORDER_DELAY_MAX_MS
							  : STORE_DELAY_MAX_MS);
	}
	proxy->busy[kind] = true;
	return call;
}

static bool can_reach_target(const model_t *model, uint32_t index,
			     uint32_t target)
{
	return model->now_ms >= model->target_down_until_ms[target] &&
	       model->now_ms >= model->target_cut_until_ms[target] &&
	       model->now_ms >= model->proxies[index].targets_cut_until_ms;
}

/* Carries out an order unless its target does not run or is the primary. */
static void begin_order(model_t *model, uint32_t target)
{
	if (model->now_ms < model->target_down_until_ms[target] ||
	    target == model->primary)
		return;
	model->promotion_effect_ms = model->now_ms + PROMOTE_MS;
	model->promotion_effect_target = target;
}

/* Receives an order. While the platform is slow or has other orders to handle,
 * it answers too late for the sender, whose time limit ends first. */
static void receive_order(model_t *model, call_t *call, uint32_t target)
{
	clock_ms_t begins_ms = model->now_ms;

	call->ok = model->now_ms >= model->target_down_until_ms[target];
	if (model->now_ms < model->platform_slow_until_ms)
		begins_ms +=
			(clock_ms_t)random_below(model, ORDER_BEGIN_MAX_MS);
	if (begins_ms > model->now_ms || model->order_count > 0) {
		call->answer_lost = true;
		call->answer_ms = call->sent_ms + CALL_TIMEOUT_MS;
	}
	if (model->order_count == ORDERS_MAX)
		abort();
	model->orders[model->order_count].begins_ms = begins_ms;
	model->orders[model->order_count++].target = target;
}

/* Handles the orders in turn, and lets old primaries follow their successor. */
static void run_targets(model_t *model)
{
	uint32_t i;

	if (model->promotion_effect_ms != 0 &&
	    model->now_ms >= model->promotion_effect_ms) {
		model->promotion_effect_ms = 0;
		model->term++;
		model->primary = model->promotion_effect_target;
		model->leads[model->primary] = model->term;
		memset(model->reaches_primary_since_ms, 0,
		       sizeof(model->reaches_primary_since_ms));
		model->promotions++;
	}
	while (model->order_count > 0 && model->promotion_effect_ms == 0 &&
	       model->now_ms >= model->orders[0].begins_ms) {
		begin_order(model, model->orders[0].target);
		memmove(&model->orders[0], &model->orders[1],
			--model->order_count * sizeof(model->orders[0]));
	}
	for (i = 0; i < TARGETS; i++) {
		clock_ms_t *since_ms = &model->reaches_primary_since_ms[i];
		bool reaches =
			model->now_ms >= model->target_down_until_ms[i] &&
			model->now_ms >= model->target_cut_until_ms[i] &&
			model->now_ms >=
				model->target_down_until_ms[model->primary] &&
			model->now_ms >=
				model->target_cut_until_ms[model->primary];

		if (i == model->primary)
			continue;
		if (!reaches)
			*since_ms = 0;
		else if (*since_ms == 0)
			*since_ms = model->now_ms;
		if (reaches && model->now_ms >= *since_ms + FOLLOW_MS)
			model->leads[i] = 0;
	}
}

static void execute_promise(model_t *model, call_t *call)
{
	proxy_model_t *peer = &model->proxies[call->peer];

	call->ok = peer->running && !peer->leaving &&
		   model->now_ms >= peer->paused_until_ms &&
		   model->now_ms >= peer->peers_cut_until_ms &&
		   peer->record.revision != 0 && peer->record.fence == 0;
	if (!call->ok)
		return;
	peer->promised_ms = model->now_ms + GRANT_PROMISE_MS;
	call->promised_term = peer->record.term;
}

static void execute_lend(model_t *model, call_t *call)
{
	proxy_model_t *peer = &model->proxies[call->peer];

	call->ok = peer->running && !peer->leaving &&
		   model->now_ms >= peer->paused_until_ms &&
		   model->now_ms >= peer->peers_cut_until_ms &&
		   peer->record.fence == 0 &&
		   grant_holds(&peer->grant, peer->record.term, model->now_ms);
	if (!call->ok)
		return;
	call->promised_term = peer->record.term;
	call->left_ms = model->rules == RULES_LENT_FOR_PROMISE_TIME
				? GRANT_PROMISE_MS
				: peer->grant.until_ms - model->now_ms;
	if (peer->promised_ms < peer->grant.until_ms)
		peer->promised_ms = peer->grant.until_ms;
}

static void add_observed_state(void *context, const char *name,
			       registry_state_t state, clock_ms_t age_ms)
{
	call_t *call = context;

	call->states[name[1] - '0'] = state;
	call->ages_ms[name[1] - '0'] = age_ms;
}

/* Lists for how long a peer has seen each proxy in its state. */
static void execute_list_members(model_t *model, call_t *call)
{
	proxy_model_t *peer = &model->proxies[call->peer];
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		call->ages_ms[i] = -1;
	call->ok = peer->running && model->now_ms >= peer->paused_until_ms &&
		   model->now_ms >= peer->peers_cut_until_ms;
	if (call->ok)
		registry_state_visit(peer->registry, add_observed_state, call,
				     model->now_ms);
}

static void merge_members(model_t *model, proxy_model_t *proxy,
			  const call_t *call)
{
	uint32_t i;

	proxy->merged = true;
	for (i = 0; i < PROXIES; i++) {
		char name[8];

		snprintf(name, sizeof(name), "p%u", i);
		if (call->ages_ms[i] >= 0)
			registry_state_merge(proxy->registry, name,
					     call->states[i], call->ages_ms[i],
					     model->now_ms);
	}
}

static void mark_proxies_changed(model_t *model)
{
	model->store.revision++;
	if (model->rules != RULES_EPOCH_WITHOUT_REGISTRATIONS)
		model->store.epoch = model->store.revision;
}

/* The store compares revisions without their era. */
static bool is_same_number(uint64_t a, uint64_t b)
{
	return store_revision_number(a) == store_revision_number(b);
}

static bool is_change(call_kind_t kind)
{
	return kind >= CALL_REGISTER && kind <= CALL_RECORDS;
}

/* Executes a call at the store, at the targets or at the platform. */
static void execute_call(model_t *model, call_t *call)
{
	store_state_t *store = &model->store;
	uint32_t i;

	call->executed = true;
	call->ok = !is_change(call->kind) || call->era >= store->opened_era;
	if (!call->ok) {
		call->seen = *store;
		return;
	}
	switch (call->kind) {
	case CALL_READ:
	case CALL_WATCH:
		break;
	case CALL_REGISTER:
		mark_proxies_changed(model);
		store->registered[call->proxy] = call->incarnation;
		store->evicted[call->proxy] = false;
		break;
	case CALL_SUSPICION:
		store->revision++;
		store->suspicion[call->proxy] = call->report;
		break;
	case CALL_STOP:
		store->revision++;
		store->stops[call->proxy] = call->report;
		break;
	case CALL_LEAVE:
		/* A process removes only its own entry. Without this check, a
		 * delayed call would remove the entry of the next process of
		 * the name. */
		if (store->registered[call->proxy] != call->incarnation &&
		    model->rules != RULES_LEAVE_REMOVES_ANY)
			break;
		mark_proxies_changed(model);
		store->registered[call->proxy] = 0;
		store->evicted[call->proxy] = false;
		break;
	case CALL_PROMISE:
		execute_promise(model, call);
		break;
	case CALL_BORROW:
		execute_lend(model, call);
		break;
	case CALL_MEMBERS:
		execute_list_members(model, call);
		break;
	case CALL_ERA:
		store->revision++;
		store->opened_era = call->era;
		if (call->settles)
			store->settled_era = call->era;
		break;
	case CALL_REOPEN:
		call->ok = is_same_number(store->group.revision,
					  call->expected_group);
		if (!call->ok)
			break;
		store->revision++;
		store->group = call->group;
		store->group.revision = store->revision;
		break;
	case CALL_RECORDS:
		call->ok = is_same_number(store->group.revision,
					  call->expected_group) &&
			   is_same_number(store->promoter.revision,
					  call->expected_promoter);
		if (!call->ok)
			break;
		store->revision++;
		call->promoter.revision = store->revision;
		store->promoter = call->promoter;
		if (call->action.kind == PROMOTION_ACTION_RENEW)
			break;
		call->group.revision = store->revision;
		store->group = call->group;
		if (call->action.kind == PROMOTION_ACTION_FENCE &&
		    model->rules != RULES_EPOCH_WITHOUT_FENCES)
			store->epoch = store->revision;
		break;
	case CALL_SURVEY:
		for (i = 0; i < TARGETS; i++) {
			promotion_candidate_t *candidate = &call->candidates[i];

			snprintf(candidate->id, sizeof(candidate->id), "t%u",
				 i);
			candidate->reached =
				can_reach_target(model, call->proxy, i);
			candidate->status.is_primary = model->leads[i] != 0;
			candidate->status.term = model->leads[i] != 0
							 ? model->leads[i]
							 : model->term;
			candidate->status.received.term =
				candidate->status.term;
		}
		break;
	case CALL_ORDER:
		/* Tokens never decrease, and two promoters never use the same
		 * token. */
		if (call->action.token < model->last_token ||
		    (call->action.token == model->last_token &&
		     strcmp(model->last_promoter,
			    model->proxies[call->proxy].name) != 0))
			model->token_violations++;
		model->last_token = call->action.token;
		snprintf(model->last_promoter, sizeof(model->last_promoter),
			 "%s", model->proxies[call->proxy].name);
		receive_order(model, call,
			      (uint32_t)(call->action.target[1] - '0'));
		break;
	}
	call->seen = *store;
}

static voters_t voters_from_bits(uint32_t bits)
{
	voters_t voters = { .count = 0 };
	char name[8];
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		snprintf(name, sizeof(name), "p%u", i);
		if (bits & (1U << i))
			voters_add(&voters, name);
	}
	return voters;
}

/* Applies the group's record as libgateway does. */
static void apply_group(model_t *model, proxy_model_t *proxy,
			const group_record_t *stored)
{
	uint64_t store_era = store_revision_era(stored->revision);
	group_record_t *record = &proxy->record;

	proxy->stored_term = stored->term;
	if (model->rules == RULES_RESTORED_RECORDS_TRUSTED) {
		*record = *stored;
		record->era = store_era;
		return;
	}
	if (stored->era != store_era && record->revision != 0 &&
	    record->era < store_era && record->term >= stored->term) {
		record->revision = stored->revision;
		return;
	}
	*record = *stored;
	if (stored->era != store_era)
		record->fence = UINT64_MAX;
}

/* Notes the era that an answer of the store names. */
static void note_era(model_t *model, proxy_model_t *proxy, uint64_t revision)
{
	uint64_t number = store_revision_era(revision);

	if (number <= proxy->era.number)
		return;
	proxy->era = (era_t){ .number = number, .since_ms = model->now_ms };
	if (model->rules == RULES_REOPENED_AT_ONCE)
		proxy->era.since_ms -= 2600;
}

/* Adjusts what is remembered to the records of a further era. */
static void begin_era(model_t *model, proxy_model_t *proxy,
		      const store_state_t *seen)
{
	uint32_t index = (uint32_t)(proxy->name[1] - '0');

	proxy->suspicion =
		seen->suspicion[index].incarnation == proxy->incarnation &&
		seen->suspicion[index].number == proxy->record.term;
	proxy->next_read_ms = 0;
	(void)model;
}

static void apply_seen(model_t *model, proxy_model_t *proxy,
		       const store_state_t *seen)
{
	uint64_t era = known_era(proxy);
	uint32_t i;

	if (seen->revision < proxy->seen_revision)
		return;
	proxy->seen_revision = seen->revision;
	proxy->opened_era = seen->opened_era;
	if (seen->settled_era == proxy->era.number)
		proxy->era.settled = true;
	if (seen->group.revision > proxy->record.revision) {
		apply_group(model, proxy, &seen->group);
		if (proxy->record.fence == 0)
			proxy->stopping_ms = 0;
		else if (proxy->stopping_ms == 0)
			proxy->stopping_ms = model->now_ms;
	}
	if (seen->voters_revision > proxy->voters.revision) {
		const voters_t voters = voters_from_bits(seen->voters[0]);

		if (store_revision_era(seen->voters_revision) >
			    store_revision_era(proxy->voters.revision) &&
		    !voters_are_equal(&voters, &proxy->voters.sets[0]))
			proxy->grant.limit_ms = proxy->grant.until_ms;
		for (i = 0; i < VOTERS_SETS_MAX; i++)
			proxy->voters.sets[i] =
				voters_from_bits(seen->voters[i]);
		proxy->voters.count = model->rules == RULES_CURRENT_VOTERS_ONLY
					      ? 1
					      : seen->voters_sets;
		proxy->voters.revision = seen->voters_revision;
		proxy->voters.seen_ms = model->now_ms;
	}
	if (seen->promoter.revision == 0)
		proxy->promoter.revision = 0;
	if (seen->promoter.revision > proxy->promoter.revision) {
		proxy->promoter = seen->promoter;
		proxy->promoter.seen_ms = model->now_ms;
	}
	for (i = 0; i < PROXIES; i++) {
		char subject[16];

		snprintf(subject, sizeof(subject), "p%u", i);
		if (seen->evicted[i] &&
		    model->rules != RULES_EVICTED_AS_REMOVED)
			registry_proxy_evict(proxy->registry, subject,
					     model->now_ms);
		else if (seen->registered[i] == 0)
			registry_proxy_remove(proxy->registry, subject,
					      model->now_ms);
		else
			registry_proxy_set(proxy->registry, subject,
					   seen->registered[i], "",
					   model->now_ms);
		snprintf(subject, sizeof(subject), "g/p%u", i);
		registry_report_set(proxy->registry, REGISTRY_REPORT_SUSPICION,
				    subject, &seen->suspicion[i]);
		registry_report_set(proxy->registry, REGISTRY_REPORT_STOPPED,
				    subject, &seen->stops[i]);
	}
	if (known_era(proxy) != era)
		begin_era(model, proxy, seen);
}

static bool is_registered(const proxy_model_t *proxy)
{
	return registry_process_is_registered(proxy->registry, proxy->name,
					      proxy->incarnation);
}

/* Tells whether promises to a proxy count. */
static bool is_member(const proxy_model_t *proxy)
{
	return proxy->registered_ms != 0 && !proxy->leaving &&
	       is_registered(proxy);
}

/* Renews the grant, as the known records were still valid when a read was sent
 * at sent_ms. */
static void confirm_records(model_t *model, proxy_model_t *proxy,
			    clock_ms_t sent_ms)
{
	const promotion_options_t options =
		promotion_options_default(GRANT_MS, GRANT_LIFE_MS);

	proxy->records_confirmed_ms = sent_ms;
	if (!is_registered(proxy)) {
		if (proxy->seen_revision < proxy->registration_revision)
			return;
		proxy->registered_ms = 0;
	} else if (proxy->registered_ms == 0) {
		proxy->registered_ms = model->now_ms;
	}
	if (proxy->leaving)
		return;
	if (model->rules != RULES_GRANT_UNREGISTERED &&
	    (proxy->registered_ms == 0 || sent_ms < proxy->registered_ms))
		return;
	if (model->rules == RULES_GRANT_FROM_ANSWER)
		sent_ms = model->now_ms;
	if (proxy->record.era != proxy->era.number)
		return;
	/* The known record may be newer than the one at the time of the read.
	 */
	grant_renew(&proxy->grant, &proxy->record, sent_ms, &options);
	if (model->rules == RULES_NO_GRANT_LIMIT && proxy->grant.limit_ms != 0)
		proxy->grant.limit_ms = INT64_MAX;
}

/* Handles the answer to a read of the epoch as libgateway does. The read
 * confirms the known records if they are not older than the epoch; otherwise
 * this waits for the watch. */
static void finish_read(model_t *model, proxy_model_t *proxy,
			const call_t *call)
{
	uint64_t epoch = call->seen.epoch;

	/* The records of a further era have not been read yet. */
	if (store_revision_era(call->seen.revision) > known_era(proxy))
		epoch = call->seen.revision;
	proxy->epoch_pending = 0;
	if (epoch <= proxy->seen_revision ||
	    model->rules == RULES_EPOCH_IGNORED) {
		confirm_records(model, proxy, call->sent_ms);
		return;
	}
	proxy->epoch_pending = epoch;
	proxy->epoch_sent_ms = call->sent_ms;
}

static void finish_watch(model_t *model, proxy_model_t *proxy,
			 const store_state_t *seen)
{
	apply_seen(model, proxy, seen);
	if (proxy->epoch_pending == 0 ||
	    proxy->epoch_pending > proxy->seen_revision)
		return;
	proxy->epoch_pending = 0;
	confirm_records(model, proxy, proxy->epoch_sent_ms);
}

static promotion_view_t view_of_proxy(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	group_record_t record = proxy->record;
	const promotion_options_t options =
		promotion_options_default(GRANT_MS, GRANT_LIFE_MS);
	promotion_view_t view = {
		.self = proxy->name,
		.incarnation = proxy->incarnation,
		.record = proxy->record,
		.promoter = proxy->promoter,
		.registered = registry_proxy_count(proxy->registry),
		.suspicions = registry_count_suspicions(proxy->registry, "g",
							&proxy->record),
		.suspected_here = proxy->suspicion,
		.leaving = model->now_ms >= model->leaving_from_ms &&
			   model->now_ms < model->leaving_until_ms &&
			   proxy->record.term == model->term,
		.rank = registry_proxy_rank(proxy->registry, proxy->name),
		.era = proxy->era.number,
		.old_promoter_replaceable = era_promoter_is_replaceable(
			&proxy->era, &options, model->now_ms),
		.old_grants_left = !era_grants_have_ended(&proxy->era, &options,
							  model->now_ms),
		.now_ms = model->now_ms,
	};

	if (model->rules == RULES_TOKENS_GO_ON) {
		view.era = 0;
		view.record.era = 0;
	}
	if (model->rules == RULES_STOP_BY_TOKEN)
		record.revision = record.fence;
	if (proxy->records_confirmed_ms > proxy->promotion.fenced_ms &&
	    !view.old_grants_left) {
		view.all_stopped =
			registry_all_stopped(proxy->registry, "g", &record,
					     GRANT_LIFE_MS, model->now_ms);
		view.majority_blocked =
			model->rules == RULES_STOP_OF_ONE_VOTER
				? registry_count_stopped(proxy->registry, "g",
							 &record) >= 1
				: voters_majority_blocked(
					  &proxy->voters, proxy->registry, "g",
					  &record, GRANT_LIFE_MS,
					  model->now_ms);
	}
	view.promoter_restarted =
		registry_proxy_restarted(proxy->registry, proxy->promoter.name,
					 proxy->promoter.incarnation);
	return view;
}

static void finish_records(model_t *model, proxy_model_t *proxy,
			   const call_t *call)
{
	promotion_view_t view = view_of_proxy(model, call->proxy);

	if (call->answer_lost || !call->ok ||
	    store_revision_era(call->seen.revision) != call->era) {
		promotion_failed(&proxy->promotion);
		proxy->next_read_ms = 0;
	} else if (call->action.kind == PROMOTION_ACTION_FENCE) {
		promotion_fenced(&proxy->promotion, &view, call->action.token,
				 call->sent_ms);
		apply_seen(model, proxy, &call->seen);
		proxy->next_read_ms = 0;
	} else if (call->action.kind == PROMOTION_ACTION_RENEW) {
		promotion_renewed(&proxy->promotion, call->sent_ms);
		apply_seen(model, proxy, &call->seen);
	} else {
		promotion_recorded(&proxy->promotion);
		apply_seen(model, proxy, &call->seen);
	}
}

static void finish_survey(model_t *model, proxy_model_t *proxy,
			  const call_t *call)
{
	promotion_t *promotion = &proxy->promotion;
	promotion_view_t view = view_of_proxy(model, call->proxy);
	bool confirming = promotion->stage == PROMOTION_STAGE_CONFIRMING;

	if (model->rules == RULES_ORDER_FORGOTTEN)
		promotion->ordered = false;
	if (model->rules == RULES_EARLIER_ORDERS_FORGOTTEN)
		promotion->foreign_orders = false;
	promotion_surveyed(promotion, &view, call->candidates,
			   call->answer_lost ? 0 : TARGETS);
	if (model->rules == RULES_ORDER_FORGOTTEN && confirming &&
	    promotion->stage == PROMOTION_STAGE_ORDERING)
		promotion->stage = PROMOTION_STAGE_SURVEYING;
}

static void finish_call(model_t *model, call_t *call)
{
	proxy_model_t *proxy = &model->proxies[call->proxy];

	proxy->busy[call->kind] = false;
	if (call->kind <= CALL_RECORDS && !call->answer_lost)
		note_era(model, proxy, call->seen.revision);
	switch (call->kind) {
	case CALL_READ:
		if (!call->answer_lost)
			finish_read(model, proxy, call);
		break;
	case CALL_WATCH:
		if (!call->answer_lost)
			finish_watch(model, proxy, &call->seen);
		break;
	case CALL_REGISTER:
		proxy->next_read_ms = 0;
		if (call->answer_lost || !call->ok ||
		    store_revision_era(call->seen.revision) != call->era)
			break;
		proxy->registration_revision = call->seen.revision;
		proxy->registered_ms = model->now_ms;
		break;
	case CALL_SUSPICION:
	case CALL_ERA:
	case CALL_REOPEN:
		break;
	case CALL_MEMBERS:
		if (!call->answer_lost && call->ok)
			merge_members(model, proxy, call);
		break;
	case CALL_LEAVE:
		proxy->running = false;
		proxy->starts_ms = model->now_ms + 500 +
				   (clock_ms_t)random_below(model, 2000);
		break;
	case CALL_PROMISE:
		if (call->answer_lost || !call->ok || !is_member(proxy) ||
		    call->round != proxy->round ||
		    call->promised_term != proxy->grant.term ||
		    proxy->record.fence != 0)
			break;
		proxy->promises++;
		if (proxy->promises + 1 >=
		    voters_majority(&proxy->voters.sets[0]))
			grant_extend(&proxy->grant, proxy->grant.term,
				     call->sent_ms + GRANT_PROMISE_MS);
		break;
	case CALL_BORROW:
		if (call->answer_lost || !call->ok || !is_member(proxy) ||
		    call->promised_term != proxy->grant.term ||
		    proxy->record.fence != 0)
			break;
		grant_extend(&proxy->grant, proxy->grant.term,
			     call->sent_ms + call->left_ms);
		break;
	case CALL_STOP:
		if (call->answer_lost || !call->ok)
			proxy->stopped_revision = 0;
		break;
	case CALL_RECORDS:
		finish_records(model, proxy, call);
		break;
	case CALL_SURVEY:
		finish_survey(model, proxy, call);
		break;
	case CALL_ORDER:
		promotion_ordered(
			&proxy->promotion, !call->answer_lost && call->ok,
			!call->answer_lost && !call->ok, model->now_ms);
		break;
	}
}

static void run_calls(model_t *model)
{
	uint32_t i;

	for (i = 0; i < CALLS_MAX; i++) {
		call_t *call = &model->calls[i];
		const proxy_model_t *proxy = &model->proxies[call->proxy];

		if (!call->used)
			continue;
		if (!call->executed && call->arrives_ms >= 0 &&
		    model->now_ms >= call->arrives_ms)
			execute_call(model, call);
		if (!call->answered && model->now_ms >= call->answer_ms &&
		    model->now_ms >= proxy->paused_until_ms) {
			call->answered = true;
			if (proxy->running &&
			    proxy->incarnation == call->incarnation)
				finish_call(model, call);
		}
		if (call->answered && (call->executed || call->arrives_ms < 0))
			call->used = false;
	}
}

static void write_records(model_t *model, uint32_t index,
			  const promotion_action_t *action)
{
	proxy_model_t *proxy = &model->proxies[index];
	bool fences = action->kind == PROMOTION_ACTION_FENCE;
	call_t *call;

	if (!is_open(proxy)) {
		promotion_failed(&proxy->promotion);
		return;
	}
	call = send_call(model, index, CALL_RECORDS);
	call->action = *action;
	call->expected_group = proxy->record.revision;
	call->expected_promoter = proxy->promoter.revision;
	snprintf(call->promoter.name, sizeof(call->promoter.name), "%s",
		 proxy->name);
	call->promoter.incarnation = proxy->incarnation;
	call->promoter.token = fences ? action->token : proxy->promotion.fence;
	call->group = proxy->record;
	call->group.era = proxy->era.number;
	call->group.fence = fences ? action->token : 0;
	if (!fences) {
		call->group.term = action->term;
		memcpy(call->group.primary, action->target,
		       sizeof(call->group.primary));
	}
}

static void promote(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	promotion_view_t view = view_of_proxy(model, index);
	promotion_action_t action = promotion_step(&proxy->promotion, &view);

	switch (action.kind) {
	case PROMOTION_ACTION_NONE:
		break;
	case PROMOTION_ACTION_FENCE:
	case PROMOTION_ACTION_RENEW:
	case PROMOTION_ACTION_RECORD:
		write_records(model, index, &action);
		break;
	case PROMOTION_ACTION_SURVEY:
		send_call(model, index, CALL_SURVEY);
		break;
	case PROMOTION_ACTION_ORDER:
		send_call(model, index, CALL_ORDER)->action = action;
		break;
	}
}

/* Asks the voters to extend the grant when its renewal is overdue, as
 * libgateway does. A voter asks for promises; any other proxy asks to borrow
 * grants. */
static void send_promise_requests(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	bool votes;
	uint32_t i;

	if (!is_member(proxy) ||
	    (model->now_ms < proxy->records_confirmed_ms + 1100 &&
	     (proxy->record.era == proxy->era.number ||
	      !grant_holds(&proxy->grant, proxy->record.term,
			   model->now_ms))) ||
	    (model->now_ms >= proxy->records_confirmed_ms + GRANT_LIFE_MS &&
	     model->rules != RULES_NO_GRANT_LIMIT) ||
	    model->now_ms < proxy->asked_ms + 400)
		return;
	proxy->asked_ms = model->now_ms;
	proxy->round++;
	proxy->promises = 0;
	votes = voters_contain(&proxy->voters.sets[0], proxy->name);
	for (i = 0; i < PROXIES; i++) {
		call_t *call;
		char name[8];

		snprintf(name, sizeof(name), "p%u", i);
		if (i == index ||
		    !voters_contain(&proxy->voters.sets[0], name) ||
		    model->now_ms < proxy->peers_cut_until_ms)
			continue;
		call = send_call(model, index,
				 votes ? CALL_PROMISE : CALL_BORROW);
		call->peer = i;
		call->round = proxy->round;
	}
}

/* Opens and settles the era, and handles a record of an earlier one, as
 * libgateway does. */
static void run_era(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	const promotion_options_t options =
		promotion_options_default(GRANT_MS, GRANT_LIFE_MS);
	const era_view_t view = {
		.era = proxy->era,
		.record = proxy->record,
		.stored_term = proxy->stored_term,
		.holds_grant = grant_holds(&proxy->grant, proxy->record.term,
					   model->now_ms),
		.registered = is_registered(proxy),
		.turn = registry_proxy_rank(proxy->registry, proxy->name),
		.now_ms = model->now_ms,
	};
	era_action_t action;
	call_t *call;

	if (proxy->era.number == 0 || known_era(proxy) != proxy->era.number)
		return;
	if (!proxy->busy[CALL_ERA] && !proxy->era.settled &&
	    (!is_open(proxy) ||
	     era_can_be_settled(&proxy->era, &options, model->now_ms)))
		send_call(model, index, CALL_ERA)->settles = is_open(proxy);
	if (!is_open(proxy) || proxy->busy[CALL_REOPEN] ||
	    proxy->record.fence == UINT64_MAX || proxy->promotion.busy)
		return;
	action = era_step(&view, &options);
	if (action == ERA_ACTION_DISTRUST)
		proxy->record.fence = UINT64_MAX;
	if (action != ERA_ACTION_WRITE_BACK && action != ERA_ACTION_REOPEN)
		return;
	call = send_call(model, index, CALL_REOPEN);
	call->group = proxy->record;
	if (action == ERA_ACTION_REOPEN)
		call->group.era = proxy->era.number;
	call->expected_group = proxy->record.revision;
}

/* Does for one proxy what libgateway does for a group in each tick, without the
 * I/O. */
static void run_proxy(model_t *model, uint32_t index)
{
	proxy_model_t *proxy = &model->proxies[index];
	uint32_t primary = proxy->record.revision
				   ? (uint32_t)(proxy->record.primary[1] - '0')
				   : 0;
	/* A recorded primary that has become a replica refuses writes. */
	bool fails = proxy->record.revision != 0 &&
		     (!can_reach_target(model, index, primary) ||
		      model->leads[primary] == 0);
	call_t *call;

	if (proxy->leaving)
		return;
	run_era(model, index);
	send_promise_requests(model, index);
	if (!proxy->merged && proxy->records_confirmed_ms != 0 &&
	    !proxy->busy[CALL_MEMBERS])
		send_call(model, index, CALL_MEMBERS)->peer =
			(index + 1) % PROXIES;
	if (!is_registered(proxy) && !proxy->busy[CALL_REGISTER] &&
	    is_open(proxy) && proxy->seen_revision != 0 &&
	    proxy->seen_revision >= proxy->registration_revision)
		send_call(model, index, CALL_REGISTER);
	if (model->now_ms >= proxy->next_read_ms && !proxy->busy[CALL_READ] &&
	    proxy->seen_revision != 0) {
		proxy->next_read_ms = model->now_ms + 1000;
		send_call(model, index, CALL_READ);
	}
	/* If the watch does not show the records up to the epoch, the records
	 * are listed. */
	if (model->now_ms >= proxy->next_watch_ms && !proxy->busy[CALL_WATCH] &&
	    (model->now_ms >= proxy->watch_silent_until_ms ||
	     proxy->epoch_pending != 0 || proxy->seen_revision == 0)) {
		proxy->next_watch_ms = model->now_ms + 30;
		send_call(model, index, CALL_WATCH);
	}
	if (!fails)
		proxy->failing_ms = 0;
	else if (proxy->failing_ms == 0)
		proxy->failing_ms = model->now_ms;
	fails = fails && model->now_ms >= proxy->failing_ms + 250;
	if (fails != proxy->suspicion && !proxy->busy[CALL_SUSPICION] &&
	    is_open(proxy)) {
		call = send_call(model, index, CALL_SUSPICION);
		proxy->suspicion = fails;
		call->report.number = fails ? proxy->record.term : 0;
		call->report.incarnation = proxy->incarnation;
		memcpy(call->report.primary, proxy->record.primary,
		       sizeof(call->report.primary));
	}
	if (proxy->record.fence != 0 && !proxy->busy[CALL_STOP] &&
	    proxy->stopped_revision != proxy->record.revision &&
	    model->now_ms >= proxy->stopping_ms + 50)
		grant_end(&proxy->grant);
	if (proxy->record.fence != 0 && !proxy->busy[CALL_STOP] &&
	    is_open(proxy) &&
	    proxy->stopped_revision != proxy->record.revision &&
	    model->now_ms >= proxy->stopping_ms + 50 &&
	    (model->rules == RULES_STOP_DESPITE_PROMISE ||
	     (model->now_ms >= proxy->promised_ms &&
	      model->now_ms >= proxy->started_ms + GRANT_PROMISE_MS))) {
		proxy->stopped_revision = proxy->record.revision;
		call = send_call(model, index, CALL_STOP);
		call->report.number = model->rules == RULES_STOP_BY_TOKEN
					      ? proxy->record.fence
					      : proxy->record.revision;
		call->report.incarnation = proxy->incarnation;
	}
	if (proxy->records_confirmed_ms != 0 && proxy->record.revision != 0 &&
	    (is_registered(proxy) || !model->restores))
		promote(model, index);
}

/* Checks that a proxy which holds a grant holds it on the newest term. */
static void check_proxy(model_t *model, uint32_t index)
{
	const proxy_model_t *proxy = &model->proxies[index];

	if (!grant_holds(&proxy->grant, proxy->record.term, model->now_ms))
		return;
	model->grant_held_ms += STEP_MS;
	if (proxy->record.term != model->term)
		model->violations++;
}

/* Cuts three proxies off from the store, each for a different time, while the
 * primary has to be replaced. Only promises extend their grants then. */
static void cut_store_of_three_proxies(model_t *model)
{
	uint32_t first = (uint32_t)random_below(model, PROXIES);
	uint32_t i;

	for (i = 0; i < 3; i++) {
		proxy_model_t *proxy = &model->proxies[(first + i) % PROXIES];

		proxy->store_cut_from_ms = 0;
		proxy->store_cut_until_ms =
			model->now_ms + 2000 +
			(clock_ms_t)random_below(model, 10000);
	}
	model->leaving_until_ms =
		model->now_ms + 1000 + (clock_ms_t)random_below(model, 9000);
}

/* Starts a proxy that had left while the primary is being replaced, and cuts it
 * off from the store soon after its first calls. */
static void start_during_promotion(model_t *model, proxy_model_t *proxy)
{
	model->leaving_from_ms =
		model->now_ms + (clock_ms_t)random_below(model, 800);
	model->leaving_until_ms = model->leaving_from_ms + 1500;
	if (random_below(model, 2) == 0)
		proxy->unregistered_until_ms = model->now_ms + 3000;
	mark_proxies_changed(model);
	model->store.registered[proxy - model->proxies] = 0;
	proxy->running = false;
	proxy->starts_ms = model->now_ms + (clock_ms_t)random_below(model, 400);
	proxy->cuts_after_ms = 10 + (clock_ms_t)random_below(model, 300);
}

/* Replaces the voters by a random set, with as many sets in the record as the
 * product keeps. */
static void change_voters(model_t *model)
{
	store_state_t *store = &model->store;
	uint32_t voters = (uint32_t)random_below(model, 1U << PROXIES);
	uint32_t kept = store->voters_sets;

	if (model->now_ms >= model->voters_changed_ms + GRANT_LIFE_MS ||
	    model->rules == RULES_VOTER_SETS_DROPPED_EARLY)
		kept = 1;
	if (voters == 0 || kept == VOTERS_SETS_MAX)
		return;
	model->voters_changed_ms = model->now_ms;
	mark_proxies_changed(model);
	memmove(&store->voters[1], &store->voters[0],
		kept * sizeof(store->voters[0]));
	store->voters[0] = voters;
	store->voters_sets = kept + 1;
	store->voters_revision = store->revision;
	model->leaving_until_ms = model->now_ms + 2000;
}

/* Lets the primary go dark, and cuts the target that is ordered in its place
 * right after the order. The primary is back within the wait for it. */
static void cut_successor(model_t *model)
{
	uint32_t i;

	if (model->promotion_effect_ms == 0) {
		model->target_cut_until_ms[model->primary] =
			model->now_ms + 1500 +
			(clock_ms_t)random_below(model, 3000);
		model->successor_cut_due = true;
		return;
	}
	i = model->promotion_effect_target;
	model->successor_cut_due = false;
	model->target_cut_until_ms[i] =
		model->now_ms + 1000 + (clock_ms_t)random_below(model, 7000);
}

static void inject_faults(model_t *model)
{
	proxy_model_t *proxy = &model->proxies[random_below(model, PROXIES)];
	clock_ms_t until_ms =
		model->now_ms + 200 + (clock_ms_t)random_below(model, 6000);

	if (model->second_voters_change_ms != 0 &&
	    model->now_ms >= model->second_voters_change_ms) {
		model->second_voters_change_ms = 0;
		change_voters(model);
	}
	if (model->successor_cut_due && model->promotion_effect_ms != 0)
		cut_successor(model);
	/* About one fault per second. */
	if (random_below(model, 100) != 0 || model->now_ms < 3000 ||
	    model->now_ms >= RUN_MS)
		return;
	switch (random_below(model, 21)) {
	case 18:
		model->platform_slow_until_ms = until_ms;
		break;
	case 19:
		cut_successor(model);
		break;
	case 20:
		/* The primary is back while its successor is ordered. */
		model->target_down_until_ms[model->primary] =
			model->now_ms + 800 +
			(clock_ms_t)random_below(model, 2500);
		model->platform_slow_until_ms =
			model->now_ms + 500 +
			(clock_ms_t)random_below(model, 3000);
		break;
	case 17:
		change_voters(model);
		if (random_below(model, 2) == 0) {
			cut_store_of_three_proxies(model);
			model->second_voters_change_ms =
				model->now_ms + 50 +
				(clock_ms_t)random_below(model, 400);
		}
		break;
	case 16:
		proxy->watch_silent_until_ms = until_ms + 4000;
		break;
	case 0:
		proxy->running = false;
		proxy->starts_ms =
			model->now_ms + (clock_ms_t)random_below(model, 2000);
		break;
	case 1:
		proxy->paused_until_ms = until_ms;
		break;
	case 2:
		proxy->store_cut_from_ms = 0;
		proxy->store_cut_until_ms = until_ms;
		break;
	case 3:
		proxy->targets_cut_until_ms = until_ms;
		break;
	case 4:
		model->target_down_until_ms[model->primary] = until_ms;
		break;
	case 5:
		model->target_down_until_ms[random_below(model, TARGETS)] =
			until_ms;
		break;
	case 6:
		if (random_below(model, 2) == 0)
			model->store_down_until_ms = until_ms;
		break;
	case 15:
		/* The evicted proxy may still run. It is cut off from the
		 * store, or its watch does not show the eviction for longer
		 * than a grant lasts. */
		mark_proxies_changed(model);
		model->store.registered[proxy - model->proxies] = 0;
		model->store.evicted[proxy - model->proxies] = true;
		if (random_below(model, 2) == 0) {
			proxy->watch_silent_until_ms = model->now_ms + 10000;
			model->leaving_from_ms =
				model->now_ms + GRANT_LIFE_MS +
				(clock_ms_t)random_below(model, 2500);
			model->leaving_until_ms = model->leaving_from_ms + 1500;
			break;
		}
		proxy->store_cut_from_ms = 0;
		proxy->store_cut_until_ms = until_ms;
		model->leaving_until_ms = until_ms;
		break;
	case 9:
		cut_store_of_three_proxies(model);
		break;
	case 10:
	case 11:
	case 12:
	case 13:
		model->leaving_until_ms = until_ms;
		break;
	case 14:
		start_during_promotion(model, proxy);
		break;
	case 7:
		proxy->peers_cut_until_ms = until_ms;
		proxy->store_cut_until_ms = until_ms;
		break;
	case 8:
		if (!proxy->running || proxy->leaving ||
		    proxy->busy[CALL_LEAVE])
			break;
		proxy->leaving = true;
		grant_end(&proxy->grant);
		send_call(model, (uint32_t)(proxy - model->proxies),
			  CALL_LEAVE);
		break;
	}
}

/* Keeps a copy of the store twice a second, and restores it from one of the
 * last copies about every ten seconds. */
static void restore_store(model_t *model)
{
	store_state_t *store = &model->store;
	uint64_t era = store_revision_era(store->revision) + 1;
	uint32_t age;

	if (model->now_ms % 500 == 0 && model->now_ms / 500 < COPIES)
		model->copies[model->copy_count++] = *store;
	if (model->now_ms < 4000 || model->now_ms >= RUN_MS ||
	    check_random_below(&model->restore_random, 10000 / STEP_MS) != 0)
		return;
	age = (uint32_t)check_random_below(&model->restore_random, 20);
	if (age >= model->copy_count)
		age = model->copy_count - 1;
	model->copy_count -= age;
	*store = model->copies[model->copy_count - 1];
	store->revision =
		store_revision(era, store_revision_number(store->revision));
	store->epoch = store_revision(era, store_revision_number(store->epoch));
	store->group.revision = store_revision(
		era, store_revision_number(store->group.revision));
	if (store->promoter.revision != 0)
		store->promoter.revision = store_revision(
			era, store_revision_number(store->promoter.revision));
	store->voters_revision = store_revision(
		era, store_revision_number(store->voters_revision));
	model->store_down_until_ms =
		model->now_ms +
		(clock_ms_t)check_random_below(&model->restore_random, 4000);
	model->restorations++;
}

static void step_model(model_t *model)
{
	uint32_t i;

	if (model->restores)
		restore_store(model);
	inject_faults(model);
	run_targets(model);
	for (i = 0; i < PROXIES; i++) {
		proxy_model_t *proxy = &model->proxies[i];

		if (!proxy->running && model->now_ms >= proxy->starts_ms)
			start_proxy(model, i);
		if (proxy->running && model->now_ms >= proxy->paused_until_ms)
			check_proxy(model, i);
	}
	run_calls(model);
	for (i = 0; i < PROXIES; i++) {
		proxy_model_t *proxy = &model->proxies[i];

		if (!proxy->running || model->now_ms < proxy->paused_until_ms)
			continue;
		run_proxy(model, i);
		check_proxy(model, i);
	}
	model->now_ms += STEP_MS;
}

static void run_model(model_t *model, uint64_t seed, rules_t rules,
		      bool restores)
{
	uint64_t era = restores ? 1 : 0;
	uint32_t i;

	memset(model, 0, sizeof(*model));
	model->random = check_random(seed);
	model->rules = rules;
	model->now_ms = 1000;
	model->term = 1;
	model->leads[0] = 1;
	model->restores = restores;
	model->restore_random = check_random(seed + 1000000);
	model->store.revision = store_revision(era, 1);
	model->store.opened_era = era;
	model->store.settled_era = era;
	model->store.group =
		(group_record_t){ .term = 1,
				  .primary = "t0",
				  .revision = model->store.revision,
				  .era = era };
	/* Three of the five proxies are voters. */
	model->store.voters[0] = 7;
	model->store.voters_sets = 1;
	model->store.voters_revision = model->store.revision;
	for (i = 0; i < PROXIES; i++)
		start_proxy(model, i);
	while (model->now_ms < RUN_MS + QUIET_MS)
		step_model(model);
	model->stuck = model->store.group.term != model->term ||
		       model->store.group.fence != 0 ||
		       model->store.group.era !=
			       store_revision_era(model->store.revision);
	for (i = 0; i < PROXIES; i++) {
		registry_free(model->proxies[i].registry);
		model->proxies[i].registry = NULL;
	}
}

/* Guards against a write that is acknowledged, or a read of the primary that is
 * served, on a term that has ended, because a proxy still holds a grant after a
 * promotion. Also guards against orders whose tokens decrease, because a
 * promoter that was replaced still sends orders. */
static void check_model(bool restores)
{
	model_t *model = check_allocate(sizeof(*model));
	uint64_t seeds = check_seeds(300);
	uint64_t promotions = 0;
	uint64_t grant_held_ms = 0;
	uint64_t restorations = 0;
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		run_model(model, seed, RULES_ALL, restores);
		CHECK_SEED(model->violations == 0, seed);
		CHECK_SEED(model->token_violations == 0, seed);
		CHECK_SEED(!model->stuck, seed);
		restorations += model->restorations;
		promotions += model->promotions;
		grant_held_ms += model->grant_held_ms;
	}
	/* The model must run enough promotions, and proxies must hold grants
	 * long enough, to check them. */
	CU_ASSERT(promotions > seeds);
	CU_ASSERT(restorations > seeds || !restores);
	CU_ASSERT(grant_held_ms > seeds * (RUN_MS + QUIET_MS));
	printf(" %llu promotions, proxies act %.0f %% of the time",
	       (unsigned long long)promotions,
	       100.0 * (double)grant_held_ms /
		       (double)(seeds * (RUN_MS + QUIET_MS - 1000) * PROXIES));
	free(model);
}

static void test_model(void)
{
	check_model(false);
}

/* Guards against the same faults while the store is restored from older copies
 * again and again: it loses fences, terms, tokens and registrations, and a
 * change of before may be executed later. */
static void test_restored_store(void)
{
	check_model(true);
}

/* Guards against a model that does not detect a broken rule. */
static void test_broken_rules(void)
{
	static const struct {
		const char *name;
		rules_t rules;
		/* The broken rule shows in the tokens of orders and not in
		 * grants. */
		bool tokens;
		/* First seed that is tried; 0 stands for 1. */
		uint64_t seed;
		bool restores;
	} rows[] = {
		{ "grant from the answer", RULES_GRANT_FROM_ANSWER, false },
		{ "no wait for grants", RULES_NO_GRANT_WAIT, false },
		{ "stop by token", RULES_STOP_BY_TOKEN, false },
		{ "grant while unregistered", RULES_GRANT_UNREGISTERED, false,
		  600 },
		{ "orders after the confirmation expired",
		  RULES_NO_CONFIRMATION_TTL, true, 420 },
		{ "stop despite a promise", RULES_STOP_DESPITE_PROMISE, false,
		  320 },
		{ "stop of one voter", RULES_STOP_OF_ONE_VOTER, false },
		{ "no limit of grants", RULES_NO_GRANT_LIMIT, false },
		{ "evicted counts as removed", RULES_EVICTED_AS_REMOVED,
		  false },
		{ "epoch ignored", RULES_EPOCH_IGNORED, false },
		{ "epoch without fences", RULES_EPOCH_WITHOUT_FENCES, false },
		{ "epoch without registrations",
		  RULES_EPOCH_WITHOUT_REGISTRATIONS, false, 7620 },
		{ "current voters only", RULES_CURRENT_VOTERS_ONLY, false },
		{ "voter sets dropped early", RULES_VOTER_SETS_DROPPED_EARLY,
		  false, 650 },
		{ "lent for the time of a promise", RULES_LENT_FOR_PROMISE_TIME,
		  false },
		{ "leave removes any entry", RULES_LEAVE_REMOVES_ANY, false,
		  18070 },
		{ "order forgotten", RULES_ORDER_FORGOTTEN, false },
		{ "earlier orders forgotten", RULES_EARLIER_ORDERS_FORGOTTEN,
		  false },
		{ "restored records trusted", RULES_RESTORED_RECORDS_TRUSTED,
		  false, 0, true },
		{ "reopened at once", RULES_REOPENED_AT_ONCE, false, 0, true },
		{ "tokens go on", RULES_TOKENS_GO_ON, true, 0, true },
	};
	model_t *model = check_allocate(sizeof(*model));
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		uint32_t found = 0;
		uint64_t seed = rows[i].seed ? rows[i].seed : 1;
		uint64_t last = seed + 4000;

		for (; seed < last && found == 0; seed++) {
			run_model(model, seed, rows[i].rules, rows[i].restores);
			found += rows[i].tokens ? model->token_violations
						: model->violations;
		}
		CHECK_ROW(found > 0, rows[i].name);
	}
	free(model);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "adoption_turn", test_adoption_turn },
		{ "need", test_need },
		{ "duty", test_promoter_takeover },
		{ "stopping", test_stopping },
		{ "successor", test_successor },
		{ "refused_holder", test_refused_holder },
		{ "primary_away", test_primary_away },
		{ "diverged", test_diverged },
		{ "outstanding_orders", test_outstanding_orders },
		{ "earlier_orders", test_earlier_orders },
		{ "stop_reports", test_stop_reports },
		{ "suspicion_rank", test_suspicion_rank },
		{ "voters", test_majority_blocked },
		{ "voters_change", test_voters_change },
		{ "grant", test_grant },
		{ "model", test_model },
		{ "restored_store", test_restored_store },
		{ "rules", test_broken_rules },
	};

	return check_main("promotion", cases, sizeof(cases) / sizeof(cases[0]));
}
