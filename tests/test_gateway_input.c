#include "gateway_env.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

/* Guards against malformed input from callers, or from other writers of the
 * store, that breaks a proxy. */
static void test_input(void)
{
	static const char *const lines[] = {
		"QUERY 1 READ x",
		"STARTUP",
		"HELLO",
		"",
		"STARTUP main me\r\nSTARTUP main me",
		"STARTUP main me\r\nQUERY",
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;
	char *large;

	open_env(&env, 1);
	standin_store_put(env.standin, "servers/i-9", "\x01 no entry");
	standin_store_put(env.standin, "servers/i-8", "{\"service\":7}");
	standin_store_put(env.standin, "hornbeamtack/duty", "no record");
	standin_store_put(env.standin, "hornbeamtack/voters", "{\"sets\":7}");
	standin_store_put(env.standin, "hornbeamtack/voters",
			  "{\"sets\":[[]]}");
	standin_store_put(env.standin, "hornbeamtack/voters", "[1]");
	standin_store_put(env.standin, "hornbeamtack/epoch", "\x01");
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		caller = connect_caller(&env, 0);
		ask(caller, lines[i]);
		if (!caller->closed)
			pause_ms(&env, 100);
		CHECK_ROW(caller->closed, lines[i]);
		close_caller(caller);
	}
	large = check_allocate(2 * 1024 * 1024);
	memset(large, 'a', 2 * 1024 * 1024 - 1);
	caller = connect_caller(&env, 0);
	ask(caller, large);
	CU_ASSERT(caller->closed);
	close_caller(caller);
	free(large);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(fails(ask(caller, "QUERY 1 FROB x"), "MALFORMED"));
	/* Statements that are sent ahead are answered one by one. */
	CU_ASSERT(succeeds(ask(caller, "QUERY 2 READ a\r\nQUERY 3 READ b")));
	pause_ms(&env, 100);
	CU_ASSERT(strstr(caller->answer, "row") != NULL);
	CU_ASSERT(succeeds(ask(caller, "QUERY 4 READ x")));
	close_caller(caller);
	close_env(&env);
}

/* Guards against a malformed statement of one caller that ends the process, and
 * with it the sessions of all others. */
static void test_malformed_statements(void)
{
	static const char *const statements[] = {
		"PREPARE s1  q2c",
		"PREPARE s1  ",
		"PREPARE  WRITE q2c",
		"PREPARE s1 MERGE q",
		"BEGIN  READ",
		"SET  a",
		"EXECUTE  1a4",
		"DEALLOC ",
		" READ x",
		"READ",
		"WRITE ",
		"COMMIT now",
		"AFTER 1.2 READ x",
		"STATUS",
	};
	env_t env = { 0 };
	caller_t *caller;
	caller_t *other;
	char line[64];
	size_t i;

	open_env(&env, 1);
	other = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(statements) / sizeof(statements[0]); i++) {
		caller = open_session(&env, 0, "main");
		snprintf(line, sizeof(line), "QUERY 1 %s", statements[i]);
		CHECK_ROW(fails(ask(caller, line), "MALFORMED"), line);
		CHECK_ROW(succeeds(ask(caller, "QUERY 2 WRITE x y")), line);
		CHECK_ROW(succeeds(ask(other, "QUERY 3 WRITE x y")), line);
		close_caller(caller);
	}
	close_caller(other);
	close_env(&env);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "input", test_input },
		{ "malformed_statements", test_malformed_statements },
	};

	return check_main("gateway_input", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
