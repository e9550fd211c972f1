#include "gateway_env.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

/* Longest message of the session protocol, without its line end. */
#define LINE_MAX_BYTES (1024 * 1024)

/* Bytes of a literal, which may hold a NUL. */
#define BYTES(text) (text), sizeof(text) - 1

typedef struct {
	const char *name;
	const char *bytes;
	size_t size;
} answer_t;

/* Returns true if the caller has received these bytes and nothing else. */
static bool has_received(caller_t *caller, const void *bytes, size_t size)
{
	return evbuffer_get_length(caller->received) == size &&
	       (size == 0 || memcmp(evbuffer_pullup(caller->received, -1),
				    bytes, size) == 0);
}

/* Checks that sessions get the answers to their own statements. */
static void check_in_step(env_t *env, caller_t *caller, const char *name)
{
	caller_t *other = open_session(env, 0, "main");

	CHECK_ROW(ask_until_done(env, caller, "QUERY 8 READ x"), name);
	CHECK_ROW(strcmp(caller->answer,
			 "DATAROW row i-0|COMPLETE sig|READY I 1.1|") == 0,
		  name);
	CHECK_ROW(ask_until_done(env, other, "QUERY 9 READ y"), name);
	CHECK_ROW(strcmp(other->answer,
			 "DATAROW row i-0|COMPLETE sig|READY I 1.1|") == 0,
		  name);
	close_caller(other);
}

/* Guards against rows and signatures that reach the caller changed or cut, in
 * whichever pieces they arrive. */
static void test_passed(void)
{
	static const answer_t rows[] = {
		{ "line feed", BYTES("DATAROW two\nlines\r\nCOMPLETE "
				     "s\r\nREADY I 1.1\r\n") },
		{ "lone CR", BYTES("DATAROW two\rlines\r\nCOMPLETE s\r\nREADY "
				   "I 1.1\r\n") },
		{ "CR at the end",
		  BYTES("DATAROW end\r\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "LF at the end",
		  BYTES("DATAROW end\n\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "message in a row",
		  BYTES("DATAROW a\nREADY I 9.9\r\nCOMPLETE s\r\n"
			"READY I 1.1\r\n") },
		{ "blanks",
		  BYTES("DATAROW  a  b \r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "empty row",
		  BYTES("DATAROW \r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "no row", BYTES("COMPLETE s\r\nREADY I 1.1\r\n") },
		{ "several rows",
		  BYTES("DATAROW a\r\nDATAROW b\r\nDATAROW a\r\nCOMPLETE s\r\n"
			"READY I 1.1\r\n") },
		{ "other bytes",
		  BYTES("DATAROW \x01\x7f\xff%s%n\r\nCOMPLETE s\r\n"
			"READY I 1.1\r\n") },
		{ "line break in the signature",
		  BYTES("DATAROW a\r\nCOMPLETE s\n\rt\r\nREADY I 1.1\r\n") },
		{ "long signature",
		  BYTES("DATAROW a\r\nCOMPLETE "
			"s123456789012345678901234567890123456789012345678901"
			"2345678901234567890123456789012345678901234567890123"
			"4567890123456789012345678901234567890123456789\r\n"
			"READY I 1.1\r\n") },
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;
	size_t piece;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		for (piece = 0; piece < 3; piece++) {
			standin_answer_next(env.standin, rows[i].bytes,
					    rows[i].size, piece);
			ask(caller, "QUERY 1 READ x");
			CHECK_ROW(has_received(caller, rows[i].bytes,
					       rows[i].size),
				  rows[i].name);
		}
		check_in_step(&env, caller, rows[i].name);
	}
	close_caller(caller);
	close_env(&env);
}

/* Guards against an answer that is not one message of each kind in its order,
 * but is passed on, or leaves bytes that a later statement gets as its answer.
 * A write without a sound answer has an unknown outcome. */
static void test_broken(void)
{
	static const answer_t rows[] = {
		{ "NUL in a row",
		  BYTES("DATAROW a\0b\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "NUL in the signature",
		  BYTES("COMPLETE s\0t\r\nREADY I 1.1\r\n") },
		{ "NUL in an error",
		  BYTES("ERROR BUSY\0 x\r\nREADY I 1.1\r\n") },
		{ "NUL at the end", BYTES("COMPLETE s\r\nREADY I 1.1\0\r\n") },
		{ "unknown message",
		  BYTES("DATAROWS a\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "empty line", BYTES("\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "no signature", BYTES("COMPLETE\r\nREADY I 1.1\r\n") },
		{ "empty signature", BYTES("COMPLETE \r\nREADY I 1.1\r\n") },
		{ "no end of the statement",
		  BYTES("DATAROW a\r\nREADY I 1.1\r\n") },
		{ "two ends of the statement",
		  BYTES("COMPLETE s\r\nCOMPLETE t\r\nREADY I 1.1\r\n") },
		{ "success and error",
		  BYTES("COMPLETE s\r\nERROR BUSY x\r\nREADY I 1.1\r\n") },
		{ "error and success",
		  BYTES("ERROR BUSY x\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "row after the end",
		  BYTES("COMPLETE s\r\nDATAROW a\r\nREADY I 1.1\r\n") },
		{ "no position", BYTES("COMPLETE s\r\nREADY I\r\n") },
		{ "malformed position", BYTES("COMPLETE s\r\nREADY I x\r\n") },
		{ "text behind the position",
		  BYTES("COMPLETE s\r\nREADY I 1.1 x\r\n") },
		{ "open transaction", BYTES("COMPLETE s\r\nREADY T 1.1\r\n") },
		{ "failed transaction",
		  BYTES("COMPLETE s\r\nREADY E 1.1\r\n") },
		{ "second answer",
		  BYTES("COMPLETE s\r\nREADY I 1.1\r\nDATAROW other\r\n"
			"COMPLETE t\r\nREADY I 1.1\r\n") },
		{ "second READY",
		  BYTES("COMPLETE s\r\nREADY I 1.1\r\nREADY I 1.1\r\n") },
		{ "part of a second answer",
		  BYTES("COMPLETE s\r\nREADY I 1.1\r\nDATAROW oth") },
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		standin_answer_next(env.standin, rows[i].bytes, rows[i].size,
				    0);
		CHECK_ROW(fails(ask(caller, "QUERY 1 WRITE x y"), "INDOUBT"),
			  rows[i].name);
		check_in_step(&env, caller, rows[i].name);
		/* A read has no effect and is tried again. */
		standin_answer_next(env.standin, rows[i].bytes, rows[i].size,
				    0);
		CHECK_ROW(strcmp(ask(caller, "QUERY 2 READ x"),
				 "DATAROW row i-0|COMPLETE sig|READY I 1.1|") ==
				  0,
			  rows[i].name);
		check_in_step(&env, caller, rows[i].name);
	}
	close_caller(caller);
	close_env(&env);
}

/* Guards against an error text of a target that splits the caller's answer. */
static void test_error_texts(void)
{
	static const char *const texts[] = {
		"ERROR FAILED two\nlines",
		"ERROR FAILED a\nREADY I 1.1",
		"ERROR FAILED a\rb\r",
		"ERROR FAILED",
	};
	env_t env = { 0 };
	caller_t *caller;
	char answer[128];
	size_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		snprintf(answer, sizeof(answer), "%s\r\nREADY I 1.1\r\n",
			 texts[i]);
		standin_answer_next(env.standin, answer, strlen(answer), 1);
		ask(caller, "QUERY 1 WRITE x y");
		CHECK_ROW(
			has_received(caller, BYTES("ERROR FAILED answer of the "
						   "target\r\nREADY I -\r\n")),
			texts[i]);
		check_in_step(&env, caller, texts[i]);
	}
	close_caller(caller);
	close_env(&env);
}

/* Guards against a read that fails at one target and is answered with that
 * error although another target can run it, and against writes that are sent
 * again after they may have run. */
static void test_failed_reads(void)
{
	static const struct {
		const char *name;
		const char *database;
		const char *statement;
		bool is_resent;
	} rows[] = {
		{ "read", "own", "QUERY 1 READ x", true },
		{ "write", "own", "QUERY 1 WRITE x y", false },
		{ "read of the primary", "main", "QUERY 1 READ x", false },
	};
	static const char error[] = "ERROR FAILED x\r\nREADY I -\r\n";
	env_t env = { 0 };
	size_t i;

	open_env(&env, 1);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		caller_t *caller = open_session(&env, 0, rows[i].database);

		CHECK_ROW(ask_until_done(&env, caller, "QUERY 8 READ x"),
			  rows[i].name);
		standin_answer_next(env.standin, BYTES(error), 0);
		ask(caller, rows[i].statement);
		if (rows[i].is_resent)
			CHECK_ROW(succeeds(caller->answer), rows[i].name);
		else
			CHECK_ROW(fails(caller->answer, "FAILED"),
				  rows[i].name);
		close_caller(caller);
	}
	close_env(&env);
}

/* Guards against failed reads that are all sent again while the targets fail,
 * which doubles their load. */
static void test_resend_budget(void)
{
	static const char error[] = "ERROR FAILED x\r\nREADY I -\r\n";
	env_t env = { 0 };
	caller_t *caller;
	uint32_t served = 0;
	uint32_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "own");
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 8 READ x"));
	for (i = 0; i < 100; i++) {
		standin_answer_next(env.standin, BYTES(error), 0);
		served += succeeds(ask(caller, "QUERY 1 READ x"));
	}
	/* The budgets of the targets, and a tenth of what they have run. */
	CU_ASSERT(served > 0 && served < 40);
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 9 READ x"));
	close_caller(caller);
	close_env(&env);
}

/* Guards against rows near the longest message that are cut, and against longer
 * ones, or ones without an end, that are kept in memory without a bound. */
static void test_long_rows(void)
{
	static const struct {
		const char *name;
		size_t line_bytes;
		bool ends;
		bool passes;
	} rows[] = {
		{ "one byte less", LINE_MAX_BYTES - 1, true, true },
		{ "longest", LINE_MAX_BYTES, true, true },
		{ "one byte more", LINE_MAX_BYTES + 1, true, false },
		{ "twice the longest", 2 * LINE_MAX_BYTES, true, false },
		{ "too long, without an end", 3 * LINE_MAX_BYTES, false,
		  false },
		{ "without an end", 100, false, false },
	};
	static const char end[] = "\r\nCOMPLETE s\r\nREADY I 1.1\r\n";
	env_t env = { 0 };
	caller_t *caller;
	size_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		size_t size = rows[i].line_bytes;
		char *answer = check_allocate(size + sizeof(end));

		memset(answer, 'a', size);
		memcpy(answer, "DATAROW ", 8);
		if (rows[i].ends) {
			memcpy(answer + size, end, sizeof(end));
			size += sizeof(end) - 1;
		}
		standin_answer_next(env.standin, answer, size, 60000);
		ask(caller, "QUERY 1 WRITE x y");
		if (rows[i].passes)
			CHECK_ROW(has_received(caller, answer, size),
				  rows[i].name);
		else
			CHECK_ROW(fails(caller->answer, "INDOUBT"),
				  rows[i].name);
		check_in_step(&env, caller, rows[i].name);
		free(answer);
	}
	close_caller(caller);
	close_env(&env);
}

/* Guards against bytes of a target that answer nothing and that a later
 * statement, of this session or another one, gets as its answer, or that make
 * the proxy send a statement again. */
static void test_unasked(void)
{
	static const answer_t rows[] = {
		{ "READY", BYTES("READY I 1.1\r\n") },
		{ "READY in a transaction", BYTES("READY T 1.1\r\n") },
		{ "answer",
		  BYTES("DATAROW other\r\nCOMPLETE s\r\nREADY I 1.1\r\n") },
		{ "answer in a transaction",
		  BYTES("DATAROW other\r\nCOMPLETE s\r\nREADY T 1.1\r\n") },
		{ "row", BYTES("DATAROW other\r\n") },
		{ "COMPLETE", BYTES("COMPLETE s\r\n") },
		{ "ERROR", BYTES("ERROR BUSY x\r\n") },
		{ "part of a row", BYTES("DATAROW oth") },
		{ "line feed", BYTES("\n") },
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		uint32_t commits = standin_counts(env.standin).commits;
		uint32_t statements;

		CHECK_ROW(ask_until_done(&env, caller, "QUERY 1 READ x"),
			  rows[i].name);
		standin_target_send(env.standin, 0, rows[i].bytes,
				    rows[i].size);
		pause_ms(&env, 30);
		check_in_step(&env, caller, rows[i].name);
		ask(caller, "QUERY 2 BEGIN");
		CHECK_ROW(succeeds(ask(caller, "QUERY 3 WRITE x inside")),
			  rows[i].name);
		statements = standin_counts(env.standin).statements;
		evbuffer_drain(caller->received,
			       evbuffer_get_length(caller->received));
		standin_target_send(env.standin, 0, rows[i].bytes,
				    rows[i].size);
		pause_ms(&env, 30);
		CHECK_ROW(has_received(caller, "", 0), rows[i].name);
		CHECK_ROW(standin_counts(env.standin).statements == statements,
			  rows[i].name);
		CHECK_ROW(strstr(ask(caller, "QUERY 4 READ x"), "READY E -") !=
				  NULL,
			  rows[i].name);
		CHECK_ROW(fails(ask(caller, "QUERY 5 COMMIT"), "ABORTED"),
			  rows[i].name);
		CHECK_ROW(standin_counts(env.standin).commits == commits,
			  rows[i].name);
		check_in_step(&env, caller, rows[i].name);
	}
	close_caller(caller);
	close_env(&env);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "passed", test_passed },
		{ "broken", test_broken },
		{ "error_texts", test_error_texts },
		{ "failed_reads", test_failed_reads },
		{ "resend_budget", test_resend_budget },
		{ "long_rows", test_long_rows },
		{ "unasked", test_unasked },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_answers", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
