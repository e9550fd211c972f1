#include "check.h"

#include <stdio.h>
#include <string.h>

#include "libbench/bench.h"

#define LINES_MAX 8

/* A history, the state that the rightful primary holds at the end, and the
 * faults that must be found. In the texts ' stands for ". */
typedef struct {
	const char *name;
	const char *lines[LINES_MAX];
	/* NULL: no state is given. */
	const char *states[3];
	int error;
	uint64_t faults[BENCH_FAULT_COUNT];
} row_t;

#define COMMON "'service':'ledger','id':'r','caller':1,'proxy':'127.0.0.1:1',"

#define WRITE(sequence, sent, answered, outcome)                       \
	"{" COMMON "'operation':'write','key':'r." #sequence "',"      \
	"'value':'r:" #sequence ":1','sent_ms':" #sent "," outcome "," \
	"'answered_ms':" #answered "}"
#define ASKED(sequence, sent, answered, outcome)                       \
	"{" COMMON "'operation':'outcome','key':'r." #sequence "',"    \
	"'value':'r:" #sequence ":1','sent_ms':" #sent "," outcome "," \
	"'answered_ms':" #answered "}"
#define DONE(term, position) \
	"'outcome':'done','term':" #term ",'position':" #position ",'rows':[]"
#define NOT_RUN "'outcome':'not-run','reason':'no-primary'"
#define CANCELLED "'outcome':'not-run','reason':'cancelled'"
#define UNKNOWN "'outcome':'unknown','reason':'no-answer'"
/* age: further fields on the age, each ended by a comma. */
#define READ(kind, sent, answered, age, rows)                                 \
	"{" COMMON "'operation':'" kind "','sent_ms':" #sent "," age          \
	"'answered_ms':" #answered ",'outcome':'done','served_by':'replica'," \
	"'rows':" rows "}"
#define AGES(age, limit) "'age_ms':" #age ",'max_age_ms':" #limit ","
#define ROW(sequence) "[['r:" #sequence ":1']]"

#define STATE(term, value, outcomes)                           \
	"{'role':'primary','term':" #term ",'promised':" #term \
	",'records':{" value "},'outcomes':{" outcomes "}}"
#define REPLICA(term, promised)                                    \
	"{'role':'replica','term':" #term ",'promised':" #promised \
	",'records':{},'outcomes':{}}"
#define HELD(sequence) "'r':'r:" #sequence ":1'"
#define RAN(sequence, term, position, executions)         \
	"'r." #sequence "':{'state':'done','term':" #term \
	",'position':" #position ",'executions':" #executions "}"
#define NEVER(sequence) "'r." #sequence "':{'state':'cancelled'}"

static const row_t rows[] = {
	{ "sound",
	  { WRITE(1, 0, 10, DONE(1, 100)), READ("own-read", 11, 15, "", ROW(1)),
	    WRITE(2, 20, 30, UNKNOWN), ASKED(2, 31, 40, DONE(2, 300)),
	    READ("read", 41, 50, AGES(100, 1000), ROW(1)),
	    WRITE(3, 60, 70, UNKNOWN), ASKED(3, 71, 80, CANCELLED),
	    WRITE(4, 90, 99, NOT_RUN) },
	  { STATE(2, HELD(2),
		  RAN(1, 1, 100, 1) "," RAN(2, 2, 300, 1) "," NEVER(3)),
	    REPLICA(2, 2), REPLICA(1, 2) },
	  BENCH_OK,
	  { 0 } },
	{ "sound: a not-run write is sent again with its key",
	  { WRITE(1, 0, 10, NOT_RUN), WRITE(1, 20, 30, DONE(1, 100)) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { 0 } },
	{ "sound: a refused outcome request settles nothing",
	  { WRITE(1, 0, 10, UNKNOWN), ASKED(1, 11, 20, NOT_RUN) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { 0 } },
	{ "R1: own read is older",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, DONE(1, 200)),
	    READ("own-read", 31, 40, "", ROW(1)) },
	  { STATE(1, HELD(2), RAN(1, 1, 100, 1) "," RAN(2, 1, 200, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_STALE_OWN_READ] = 1 } },
	{ "R1: own read finds no row",
	  { WRITE(1, 0, 10, DONE(1, 100)), READ("own-read", 11, 20, "", "[]") },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_STALE_OWN_READ] = 1 } },
	{ "R1: own read after an outcome request, without a state",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, UNKNOWN),
	    ASKED(2, 31, 40, DONE(1, 200)),
	    READ("own-read", 41, 50, "", ROW(1)) },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_STALE_OWN_READ] = 1 } },
	{ "R2: acknowledged write is not on the rightful primary",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, DONE(1, 200)) },
	  { STATE(2, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_LOST_WRITE] = 1 } },
	{ "R2: write that an outcome request called done is lost",
	  { WRITE(1, 0, 10, UNKNOWN), ASKED(1, 11, 20, DONE(1, 100)) },
	  { STATE(2, "", "") },
	  BENCH_OK,
	  { [BENCH_FAULT_LOST_WRITE] = 1 } },
	{ "R2: acknowledged by a replaced primary, run again by the next",
	  { WRITE(1, 0, 10, DONE(1, 100)) },
	  { STATE(2, HELD(1), RAN(1, 2, 150, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_LOST_WRITE] = 1 } },
	{ "R2: the key is recorded but the record holds an older value",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, DONE(1, 200)) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1) "," RAN(2, 1, 200, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_LOST_WRITE] = 1 } },
	{ "R2: the target of the lower term still calls itself primary",
	  { WRITE(1, 0, 10, DONE(1, 100)) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)), STATE(2, "", ""),
	    REPLICA(2, 2) },
	  BENCH_OK,
	  { [BENCH_FAULT_LOST_WRITE] = 1 } },
	{ "no rightful primary",
	  { WRITE(1, 0, 10, DONE(1, 100)) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)), REPLICA(2, 2),
	    REPLICA(2, 2) },
	  BENCH_ERROR_NO_PRIMARY,
	  { 0 } },
	{ "R4: row of another record",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    "{'service':'ledger','id':'q','caller':2,'operation':'write',"
	    "'key':'q.1','value':'q:1:2','sent_ms':0,'answered_ms':9,"
	    "'outcome':'done','term':1,'position':50,'rows':[]}",
	    READ("read", 11, 20, AGES(0, 1000), "[['q:1:2']]") },
	  { STATE(1, HELD(1) ",'q':'q:1:2'",
		  RAN(1, 1, 100, 1) ",'q.1':{'state':'done','term':1,"
				    "'position':50,'executions':1}") },
	  BENCH_OK,
	  { [BENCH_FAULT_MIXED_ANSWER] = 1 } },
	{ "R4: value that was never written",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    READ("read", 11, 20, AGES(0, 1000), ROW(7)) },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_MIXED_ANSWER] = 1 } },
	{ "R4: answer without its rows",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    READ("read", 11, 20, AGES(0, 1000), "null") },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_MIXED_ANSWER] = 1 } },
	{ "R5: write answered not-run has run",
	  { WRITE(1, 0, 10, NOT_RUN) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_NOT_RUN_RAN] = 1 } },
	{ "R5: write called cancelled has run",
	  { WRITE(1, 0, 10, UNKNOWN), ASKED(1, 11, 20, CANCELLED) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_NOT_RUN_RAN] = 1 } },
	{ "R5: a not-run write is read, without a state",
	  { WRITE(1, 0, 10, NOT_RUN),
	    READ("read", 11, 20, AGES(0, 1000), ROW(1)) },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_NOT_RUN_RAN] = 1 } },
	{ "R5: a not-run write ran without a record of its key",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, NOT_RUN) },
	  { STATE(1, HELD(2), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_NOT_RUN_RAN] = 1 } },
	{ "R6: write ran twice",
	  { WRITE(1, 0, 10, DONE(1, 100)) },
	  { STATE(1, HELD(1), RAN(1, 1, 100, 2)) },
	  BENCH_OK,
	  { [BENCH_FAULT_RAN_TWICE] = 1 } },
	{ "R6: an unknown write ran without a record of its key",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, UNKNOWN) },
	  { STATE(1, HELD(2), RAN(1, 1, 100, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_RAN_TWICE] = 1 } },
	{ "R11: the stated age is above the limit",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    READ("read", 2000, 2010, AGES(1001, 1000), ROW(1)) },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_TOO_OLD] = 1 } },
	{ "R11: no age is stated",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    READ("read", 20, 30, "'max_age_ms':1000,", ROW(1)) },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_TOO_OLD] = 1 } },
	{ "R11: the value is older than the stated age",
	  { WRITE(1, 0, 10, DONE(1, 100)), WRITE(2, 20, 30, DONE(1, 200)),
	    READ("read", 600, 610, AGES(100, 1000), ROW(1)) },
	  { STATE(1, HELD(2), RAN(1, 1, 100, 1) "," RAN(2, 1, 200, 1)) },
	  BENCH_OK,
	  { [BENCH_FAULT_AGE_UNTRUE] = 1 } },
	{ "R11: the row was there before the stated age",
	  { WRITE(1, 0, 10, DONE(1, 100)),
	    READ("read", 600, 610, AGES(100, 1000), "[]") },
	  { NULL },
	  BENCH_OK,
	  { [BENCH_FAULT_AGE_UNTRUE] = 1 } },
};

static json_t *parse(const char *text)
{
	char quoted[1024];
	size_t i;

	snprintf(quoted, sizeof(quoted), "%s", text);
	for (i = 0; quoted[i] != '\0'; i++) {
		if (quoted[i] == '\'')
			quoted[i] = '"';
	}
	return json_loads(quoted, 0, NULL);
}

static bool load(bench_check_t *check, const row_t *row)
{
	size_t i;

	for (i = 0; i < LINES_MAX && row->lines[i]; i++) {
		if (bench_check_add_operation(check, parse(row->lines[i])) !=
		    BENCH_OK)
			return false;
	}
	for (i = 0; i < 3 && row->states[i]; i++) {
		if (bench_check_add_state(check, "ledger",
					  parse(row->states[i])) != BENCH_OK)
			return false;
	}
	return true;
}

/* Guards against a checker that passes a broken history: each promise is broken
 * at least once, and exactly the fault that was built in must be found. */
static void test_history(void)
{
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const row_t *row = &rows[i];
		bench_check_t *check = bench_check_new();
		bench_check_result_t result = { 0 };

		CHECK_ROW(load(check, row), row->name);
		CHECK_ROW(bench_check_run(check, &result, NULL, NULL) ==
				  row->error,
			  row->name);
		for (j = 0; j < BENCH_FAULT_COUNT; j++)
			CHECK_ROW(result.faults[j] == row->faults[j],
				  row->name);
		bench_check_free(check);
	}
}

/* Guards against a fault that is counted but not told. */
static void count_fault(void *context, bench_fault_t fault, const char *text)
{
	if (fault == BENCH_FAULT_LOST_WRITE && strstr(text, "key=r.1"))
		(*(int *)context)++;
}

static void test_handler(void)
{
	bench_check_t *check = bench_check_new();
	bench_check_result_t result;
	int told = 0;

	CU_ASSERT_EQUAL(bench_check_add_operation(
				check, parse(WRITE(1, 0, 10, DONE(1, 100)))),
			BENCH_OK);
	CU_ASSERT_EQUAL(
		bench_check_add_state(check, "", parse(STATE(1, "", ""))),
		BENCH_OK);
	CU_ASSERT_EQUAL(bench_check_run(check, &result, count_fault, &told),
			BENCH_OK);
	CU_ASSERT_EQUAL(told, 1);
	CU_ASSERT_EQUAL(result.acknowledged_writes, 1);
	bench_check_free(check);
}

/* Guards against a file of another kind that passes as an empty history. */
static void test_malformed(void)
{
	bench_check_t *check = bench_check_new();

	CU_ASSERT_EQUAL(bench_check_add_operation(check, parse("{}")),
			BENCH_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(bench_check_add_operation(check, parse("[1]")),
			BENCH_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(bench_check_add_state(check, "", parse("{'a':1}")),
			BENCH_ERROR_MALFORMED);
	bench_check_free(check);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "broken histories", test_history },
		{ "faults are told", test_handler },
		{ "malformed input", test_malformed },
	};

	return check_main("history", cases, sizeof(cases) / sizeof(cases[0]));
}
