#include "gateway_env.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "platform/wire.h"

#define STATEMENTS 3000

/* Sends a statement count times, without reading. */
static void send_ahead(caller_t *caller, const char *line, uint32_t count)
{
	struct evbuffer *output = bufferevent_get_output(caller->events);

	bufferevent_disable(caller->events, EV_READ);
	while (count-- > 0)
		evbuffer_add_printf(output, "%s\r\n", line);
}

/* Counts the answers that a caller has received. */
static uint32_t count_ready(const caller_t *caller)
{
	const char *at = (const char *)evbuffer_pullup(caller->received, -1);
	const char *end = at + evbuffer_get_length(caller->received);
	uint32_t count = 0;

	while (at && (at = memmem(at, (size_t)(end - at), "\nREADY", 6))) {
		count++;
		at++;
	}
	return count;
}

static bool has_all(void *context)
{
	const caller_t *caller = context;

	return caller->closed || count_ready(caller) == STATEMENTS;
}

/* Guards against a session that is not read again after it was paused: for
 * statements that it sent ahead, or for answers that it did not read. */
static void test_sent_ahead(void)
{
	static const struct {
		const char *name;
		const char *line;
	} rows[] = {
		{ "reads",
		  "QUERY 1 READ aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
		{ "malformed", "QUERY 1 X" },
		{ "values", "QUERY 1 SET a b" },
	};
	env_t env = { 0 };
	size_t i;

	open_env(&env, 1);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		caller_t *caller = open_session(&env, 0, "main");

		evbuffer_drain(caller->received,
			       evbuffer_get_length(caller->received));
		send_ahead(caller, rows[i].line, STATEMENTS);
		pause_ms(&env, 300);
		bufferevent_enable(caller->events, EV_READ);
		CHECK_ROW(run_until(&env, has_all, caller, WAIT_MAX_MS),
			  rows[i].name);
		CHECK_ROW(!caller->closed, rows[i].name);
		close_caller(caller);
	}
	close_env(&env);
}

/* Guards against statements of a caller that has left, which run although
 * nobody waits for them. */
static void test_caller_left(void)
{
	env_t env = { 0 };
	caller_t *caller;
	uint32_t statements;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	standin_targets_slow(env.standin, 20);
	send_ahead(caller, "QUERY 1 READ aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
		   STATEMENTS);
	pause_ms(&env, 200);
	close_caller(caller);
	/* The end is noticed in the next tick of the gateway. */
	pause_ms(&env, 200);
	statements = standin_counts(env.standin).statements;
	pause_ms(&env, 1000);
	CU_ASSERT(standin_counts(env.standin).statements - statements <= 1);
	close_env(&env);
}

/* Guards against a full process that does not say so, or that does not accept
 * callers again when others have left. */
static void test_full(void)
{
	enum { CALLERS_MAX = 48 };
	caller_t *callers[CALLERS_MAX];
	env_t env = { 0 };
	caller_t *caller;
	uint32_t i;

	open_env(&env, 1);
	env.settings[0].descriptors = 64;
	for (i = 0; i < CALLERS_MAX; i++)
		callers[i] = open_session(&env, 0, "main");
	caller = connect_caller(&env, 0);
	CU_ASSERT_STRING_EQUAL(ask(caller, "STARTUP main me"),
			       "ERROR CONNLIMIT too many sessions|");
	CU_ASSERT(caller->closed);
	close_caller(caller);
	CU_ASSERT(succeeds(ask(callers[0], "QUERY 1 WRITE x y")));
	close_caller(callers[0]);
	pause_ms(&env, 100);
	callers[0] = open_session(&env, 0, "main");
	CU_ASSERT(succeeds(ask(callers[0], "QUERY 1 WRITE x y")));
	for (i = 0; i < CALLERS_MAX; i++)
		close_caller(callers[i]);
	close_env(&env);
}

/* Guards against a limit that a single message inside the limits of the
 * platform meets. */
static void test_longest_message(void)
{
	char *line = check_allocate(WIRE_LINE_MAX_BYTES + 1);
	env_t env = { 0 };
	caller_t *caller;
	int length = snprintf(line, WIRE_LINE_MAX_BYTES, "QUERY 1 WRITE x ");

	memset(line + length, 'a', (size_t)(WIRE_LINE_MAX_BYTES - length));
	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(succeeds(ask(caller, line)));
	CU_ASSERT(succeeds(ask(caller, line)));
	close_caller(caller);
	close_env(&env);
	free(line);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "sent ahead", test_sent_ahead },
		{ "caller left", test_caller_left },
		{ "full", test_full },
		{ "longest message", test_longest_message },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_limits", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
