#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libpromotion/promotion.h"

/* Guards against a log with rolled-back commits that is taken for a prefix of
 * the group's log, and against a prefix that is not recognised. */
static void test_includes(void)
{
	static const struct {
		const char *name;
		/* Terms and their starts in the order of their promotions. */
		log_position_t starts[3];
		log_position_t position;
		bool includes;
	} rows[] = {
		{ "no promotion yet", { { 0, 0 } }, { 1, 900 }, true },
		{ "before the start", { { 2, 250 } }, { 1, 249 }, true },
		{ "at the start", { { 2, 250 } }, { 1, 250 }, true },
		{ "past the start", { { 2, 250 } }, { 1, 251 }, false },
		{ "in the term", { { 2, 250 } }, { 2, 900 }, true },
		{ "past an earlier start",
		  { { 2, 250 }, { 3, 400 } },
		  { 1, 300 },
		  false },
		{ "of the term before",
		  { { 2, 250 }, { 3, 400 } },
		  { 2, 400 },
		  true },
		{ "rolled back by the last term alone",
		  { { 2, 250 }, { 3, 200 } },
		  { 1, 240 },
		  false },
		{ "all of a term rolled back",
		  { { 2, 250 }, { 3, 200 } },
		  { 2, 251 },
		  false },
	};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		term_history_t term_history = { .count = 0 };

		for (k = 0; k < 3 && rows[i].starts[k].term != 0; k++)
			term_history_add(&term_history, rows[i].starts[k]);
		CHECK_ROW(term_history_includes(&term_history,
						rows[i].position) ==
				  rows[i].includes,
			  rows[i].name);
	}
}

/* Guards against a term history that grows without bound, and against a
 * diverged log that is taken for a prefix because the start beyond which it
 * continued was merged with another one. */
static void test_bounded(void)
{
	term_history_t term_history = { .count = 0 };
	uint64_t term;

	for (term = 2; term < 200; term++)
		term_history_add(&term_history,
				 (log_position_t){ term, 100 * term });
	CU_ASSERT(term_history.count == TERM_HISTORY_MAX);
	CU_ASSERT(term_history_includes(&term_history,
					(log_position_t){ 199, 1 << 20 }));
	CU_ASSERT(term_history_includes(&term_history,
					(log_position_t){ 1, 200 }));
	for (term = 1; term < 199; term++)
		CHECK_SEED(
			!term_history_includes(
				&term_history,
				(log_position_t){ term, 100 * (term + 1) + 1 }),
			term);
}

/* Guards against answers of a new primary that are taken for those of an
 * earlier term until its first commit, and against a target with fewer commits
 * that is taken for the new primary. */
static void test_start(void)
{
	static const struct {
		const char *name;
		uint64_t term;
		log_position_t position;
		bool is_start;
	} rows[] = {
		{ "where it began", 2, { 1, 250 }, true },
		{ "less", 2, { 1, 249 }, false },
		{ "more", 2, { 1, 251 }, false },
		{ "a commit of its own", 2, { 2, 250 }, false },
		{ "another term", 3, { 1, 250 }, false },
	};
	term_history_t term_history = { .count = 0 };
	size_t i;

	CU_ASSERT(!term_history_is_start(&term_history, 1,
					 (log_position_t){ 0, 0 }));
	term_history_add(&term_history, (log_position_t){ 2, 250 });
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(term_history_is_start(&term_history, rows[i].term,
						rows[i].position) ==
				  rows[i].is_start,
			  rows[i].name);
}

/* Model of the logs, promotions and reads of one group. */

#define TARGETS 3
#define LOG_MAX 600
#define READS_MAX 4000
#define RUN_STEPS 1200
#define PRIMARY_NONE TARGETS

/* Rules that the model breaks on purpose, to show that it detects this. */
typedef enum {
	/* All rules are kept. */
	RULES_ALL,
	/* Any target may be promoted, even if its log has diverged. */
	RULES_DIVERGED_ELIGIBLE,
} rules_t;

typedef struct {
	uint64_t term;
	/* Number of the commit, unique in a run. */
	uint32_t commit;
} log_entry_t;

typedef struct {
	log_entry_t entries[LOG_MAX];
	uint32_t length;
	uint32_t replication_cut_until;
	uint32_t down_until;
	/* Newest term that the target knows. */
	uint64_t term;
} target_model_t;

/* A read at a target: the commits in its log, and the number of the last commit
 * that was acknowledged before the read and had to be visible to it. */
typedef struct {
	uint32_t target_log[LOG_MAX];
	uint32_t length;
	uint32_t required_commits;
} read_t;

typedef struct {
	check_random_t random;
	rules_t rules;
	uint32_t step;
	target_model_t targets[TARGETS];
	group_record_t record;
	promotion_t promotion;
	/* Number of the last commit; commits are numbered in the order of their
	 * acknowledgements. */
	uint32_t commits;
	/* Latest position of the recorded primary, and the number of the last
	 * commit that had been acknowledged then. */
	log_position_t sample;
	uint32_t sample_commits;
	read_t reads[READS_MAX];
	uint32_t read_count;
	uint32_t promotions;
	uint32_t revived;
} model_t;

static uint32_t random_below(model_t *model, uint32_t bound)
{
	return (uint32_t)check_random_below(&model->random, bound);
}

static bool is_running(const model_t *model, uint32_t index)
{
	return model->step >= model->targets[index].down_until;
}

static uint32_t primary_index(const model_t *model)
{
	return (uint32_t)(model->record.primary[1] - '0');
}

static log_position_t log_end(const target_model_t *target)
{
	log_position_t end = { 1, target->length };

	if (target->length > 0)
		end.term = target->entries[target->length - 1].term;
	return end;
}

/* Replicates the log of the primary to a replica, which drops all commits that
 * the primary does not have. */
static void replicate(model_t *model, uint32_t index)
{
	target_model_t *replica = &model->targets[index];
	const target_model_t *primary = &model->targets[primary_index(model)];

	if (replica == primary || !is_running(model, index) ||
	    !is_running(model, primary_index(model)) ||
	    model->step < replica->replication_cut_until)
		return;
	memcpy(replica->entries, primary->entries, sizeof(replica->entries));
	replica->length = primary->length;
	replica->term = primary->term;
}

static void commit(model_t *model)
{
	target_model_t *primary = &model->targets[primary_index(model)];

	if (!is_running(model, primary_index(model)) ||
	    primary->length == LOG_MAX)
		return;
	primary->entries[primary->length++] =
		(log_entry_t){ model->record.term, ++model->commits };
	model->sample = log_end(primary);
	model->sample_commits = model->commits;
}

static void read_replica(model_t *model)
{
	uint32_t index = random_below(model, TARGETS);
	const target_model_t *replica = &model->targets[index];
	read_t *read = &model->reads[model->read_count];
	uint32_t i;

	/* A target refuses a read whose required position its log has not
	 * reached. */
	if (!is_running(model, index) || model->read_count == READS_MAX ||
	    log_position_compare(log_end(replica), model->sample) < 0)
		return;
	model->read_count++;
	read->required_commits = model->sample_commits;
	read->length = replica->length;
	for (i = 0; i < replica->length; i++)
		read->target_log[i] = replica->entries[i].commit;
}

static void survey(model_t *model, promotion_candidate_t *candidates)
{
	uint32_t i;

	for (i = 0; i < TARGETS; i++) {
		const target_model_t *target = &model->targets[i];

		candidates[i] = (promotion_candidate_t){
			.reached = is_running(model, i),
			.status = { .is_primary = false,
				    .term = target->term,
				    .received = log_end(target) },
		};
		snprintf(candidates[i].id, sizeof(candidates[i].id), "t%u", i);
	}
}

/* Replaces a primary that is down. The decisions are those of libpromotion; the
 * effects of the platform are modelled. */
static void promote(model_t *model)
{
	promotion_view_t view = { .self = "a",
				  .record = model->record,
				  .now_ms =
					  1000 + 10 * (clock_ms_t)model->step };
	promotion_candidate_t candidates[TARGETS];
	uint32_t chosen;

	if (is_running(model, primary_index(model)))
		return;
	if (model->rules == RULES_DIVERGED_ELIGIBLE)
		view.record.term_history.count = 0;
	model->promotion.stage = PROMOTION_STAGE_SURVEYING;
	model->promotion.fenced_ms = view.now_ms;
	model->promotion.old_term = model->record.term;
	survey(model, candidates);
	promotion_surveyed(&model->promotion, &view, candidates, TARGETS);
	if (model->promotion.stage != PROMOTION_STAGE_ORDERING)
		return;
	chosen = (uint32_t)(model->promotion.candidate[1] - '0');
	promotion_ordered(&model->promotion, true, false, view.now_ms);
	model->targets[chosen].term = model->record.term + 1;
	survey(model, candidates);
	candidates[chosen].status.is_primary = true;
	promotion_surveyed(&model->promotion, &view, candidates, TARGETS);
	CU_ASSERT(model->promotion.stage == PROMOTION_STAGE_RECORDING);
	term_history_add(&model->record.term_history,
			 (log_position_t){ model->promotion.new_term,
					   model->promotion.start_number });
	model->record.term = model->promotion.new_term;
	memcpy(model->record.primary, model->promotion.candidate,
	       sizeof(model->record.primary));
	model->promotions++;
}

static void inject_fault(model_t *model)
{
	target_model_t *target = &model->targets[random_below(model, TARGETS)];

	switch (random_below(model, 60)) {
	case 0:
		target->replication_cut_until =
			model->step + 20 + random_below(model, 150);
		break;
	case 1:
		target->down_until = model->step + 5 + random_below(model, 60);
		break;
	default:
		break;
	}
}

static void run_model(model_t *model, uint64_t seed, rules_t rules)
{
	const promotion_options_t options =
		promotion_options_default(1500, 8000);
	uint32_t i;

	memset(model, 0, sizeof(*model));
	model->random = check_random(seed);
	model->rules = rules;
	model->record =
		(group_record_t){ .term = 1, .primary = "t0", .revision = 1 };
	promotion_init(&model->promotion, &options);
	for (model->step = 1; model->step < RUN_STEPS; model->step++) {
		inject_fault(model);
		promote(model);
		if (random_below(model, 3) == 0)
			commit(model);
		for (i = 0; i < TARGETS; i++)
			replicate(model, i);
		read_replica(model);
	}
}

static bool log_has(const uint32_t *log, uint32_t length, uint32_t wanted)
{
	uint32_t i;

	for (i = 0; i < length; i++) {
		if (log[i] == wanted)
			return true;
	}
	return false;
}

/* Counts the reads that did not show a commit which they had to show. A commit
 * that a promotion rolled back does not count; only commits in the log of the
 * last primary do. */
static uint32_t count_stale(const model_t *model)
{
	const target_model_t *primary = &model->targets[primary_index(model)];
	uint32_t stale = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < model->read_count; i++) {
		const read_t *read = &model->reads[i];

		for (k = 0; k < primary->length; k++) {
			uint32_t wanted = primary->entries[k].commit;

			if (wanted > read->required_commits ||
			    log_has(read->target_log, read->length, wanted))
				continue;
			stale++;
			break;
		}
	}
	return stale;
}

/* Guards against a read that does not show a commit acknowledged before it.
 * This comes about when a replica receives nothing during promotions, and is
 * promoted or read with a diverged log later. */
static void test_reads(void)
{
	model_t *model = check_allocate(sizeof(*model));
	uint64_t seeds = check_seeds(300);
	uint64_t promotions = 0;
	uint64_t reads = 0;
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		run_model(model, seed, RULES_ALL);
		CHECK_SEED(count_stale(model) == 0, seed);
		promotions += model->promotions;
		reads += model->read_count;
	}
	/* The model must run enough promotions and reads to check them. */
	CU_ASSERT(promotions > 2 * seeds);
	CU_ASSERT(reads > 50 * seeds);
	printf(" %llu promotions, %llu reads", (unsigned long long)promotions,
	       (unsigned long long)reads);
	free(model);
}

/* Guards against a model that does not detect a stale read when the rule
 * against diverged logs is broken. */
static void test_reads_broken_rule(void)
{
	model_t *model = check_allocate(sizeof(*model));
	uint32_t stale = 0;
	uint64_t seed;

	for (seed = 1; seed <= 300 && stale == 0; seed++) {
		run_model(model, seed, RULES_DIVERGED_ELIGIBLE);
		stale += count_stale(model);
	}
	CU_ASSERT(stale > 0);
	free(model);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "includes", test_includes },
		{ "bounded", test_bounded },
		{ "start", test_start },
		{ "reads", test_reads },
		{ "reads with a broken rule", test_reads_broken_rule },
	};

	return check_main("term_history", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
