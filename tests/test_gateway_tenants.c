#include "gateway_env.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"

/* Routes of the configurations: "main" needs a key, "open" does not. */
#define ROUTES                                                              \
	"\"routes\":["                                                      \
	"{\"host\":\"main\",\"type\":\"primary\",\"service\":\"s1\","       \
	"\"timeout_ms\":1000,\"target_latency_ms\":300},"                   \
	"{\"host\":\"open\",\"type\":\"read_your_writes\","                 \
	"\"service\":\"s1\",\"timeout_ms\":1000,\"target_latency_ms\":300," \
	"\"max_staleness_ms\":2500,\"public\":true}],"                      \
	"\"services\":[{\"name\":\"s1\",\"max_connections\":4,"             \
	"\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}"

/* Two tenants, a with the keys key-a and key-old, b with key-b. */
#define TENANTS                                                   \
	"[{\"name\":\"a\",\"api_keys\":[\"key-a\",\"key-old\"]}," \
	"{\"name\":\"b\",\"api_keys\":[\"key-b\"]}]"

/* Writes a configuration, and waits until it is in force: for less time than a
 * session must be idle to be closed. */
static void configure(env_t *env, uint32_t version, const char *tenants)
{
	char value[2048];

	snprintf(value, sizeof(value), "{\"version\":%u," ROUTES "%s%s}",
		 version, tenants ? ",\"tenants\":" : "",
		 tenants ? tenants : "");
	standin_store_put(env->standin, "op/config", value);
	pause_ms(env, 100);
}

static caller_t *start_session(env_t *env, const char *startup)
{
	caller_t *caller = connect_caller(env, 0);

	CU_ASSERT_STRING_EQUAL(ask(caller, startup), "READY I -|");
	return caller;
}

static void wait_for_close(caller_t *caller, const char *row)
{
	if (!caller->closed)
		pause_ms(caller->env, 50);
	CHECK_ROW(caller->closed, row);
}

/* Guards against a session of an unknown key, and against a refusal of a caller
 * whose key is known or not needed. */
static void test_start(void)
{
	static const struct {
		const char *startup;
		/* Error; NULL: the session starts. */
		const char *error;
	} rows[] = {
		{ "STARTUP main key-a", NULL },
		{ "STARTUP main key-b", NULL },
		{ "STARTUP main key-c", "DENIED" },
		{ "STARTUP main key-a key-a", "DENIED" },
		{ "STARTUP main a", "DENIED" },
		{ "STARTUP main ", "DENIED" },
		{ "STARTUP main", "DENIED" },
		{ "STARTUP open", NULL },
		{ "STARTUP open key-c", NULL },
		{ "STARTUP none key-a", "NODB" },
		{ "STARTUP none key-c", "DENIED" },
	};
	env_t env = { 0 };
	size_t i;

	open_env(&env, 1);
	configure(&env, 6, TENANTS);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		caller_t *caller = connect_caller(&env, 0);
		const char *answer = ask(caller, rows[i].startup);

		if (!rows[i].error) {
			CHECK_ROW(strcmp(answer, "READY I -|") == 0,
				  rows[i].startup);
		} else {
			CHECK_ROW(fails(answer, rows[i].error),
				  rows[i].startup);
			wait_for_close(caller, rows[i].startup);
		}
		close_caller(caller);
	}
	close_env(&env);
}

/* Guards against targets that are told a key, or another tenant than that of
 * the caller, and against a tenant that finds no connection because those of
 * other tenants stay open: a target gets two connections at most. Guards also
 * against waits for new connections that count as overload. */
static void test_targets(void)
{
	static const char *const startups[] = {
		"STARTUP main key-a",
		"STARTUP main key-b",
		"STARTUP open key-old",
		"STARTUP open",
	};
	static const char *const users[] = { "a", "b", "a", "hornbeamtack" };
	env_t env = { 0 };
	caller_t *callers[4];
	standin_counts_t counts;
	char line[64];
	uint32_t round;
	size_t i;

	open_env(&env, 1);
	configure(&env, 6, TENANTS);
	for (i = 0; i < 4; i++)
		callers[i] = start_session(&env, startups[i]);
	for (round = 0; round < 5; round++) {
		/* Longer than a burst, so that a wait for a new connection
		 * that counts as overload is seen. */
		pause_ms(&env, 120);
		for (i = 0; i < 4; i++) {
			snprintf(line, sizeof(line), "QUERY 1 %s x of-%s",
				 round % 2 == 0 ? "WRITE" : "READ", users[i]);
			CHECK_ROW(succeeds(ask(callers[i], line)), line);
		}
	}
	counts = standin_counts(env.standin);
	CU_ASSERT(counts.wrong_users == 0);
	CU_ASSERT(counts.keys_received == 0);
	/* A connection serves further operations of its tenant. */
	for (i = 0; i < 10; i++)
		CU_ASSERT(succeeds(ask(callers[1], "QUERY 1 READ x of-b")));
	CU_ASSERT(standin_counts(env.standin).connections <=
		  counts.connections + 1);
	for (i = 0; i < 4; i++)
		close_caller(callers[i]);
	close_env(&env);
}

/* Guards against a withdrawn key that is served on a session that is open, also
 * inside of a transaction, against a transaction that stays open at its target,
 * and against the refusal of the key that replaces the withdrawn one. */
static void test_withdrawal(void)
{
	static const struct {
		const char *name;
		/* Statements before the withdrawal; NULL: none. */
		const char *before[2];
		const char *after;
		/* State of the transaction after the refusal; NULL: the session
		 * is closed without one. */
		const char *state;
	} rows[] = {
		{ "long idle", { NULL }, NULL, NULL },
		{ "between operations",
		  { "QUERY 1 READ x" },
		  "QUERY 3 WRITE x y",
		  "READY I -" },
		{ "begin", { "QUERY 1 READ x" }, "QUERY 3 BEGIN", "READY I -" },
		{ "session value",
		  { "QUERY 1 READ x" },
		  "QUERY 3 SET a b",
		  "READY I -" },
		{ "empty transaction",
		  { "QUERY 1 BEGIN" },
		  "QUERY 3 READ x inside",
		  "READY E -" },
		{ "statement of a transaction",
		  { "QUERY 1 BEGIN", "QUERY 2 WRITE x inside" },
		  "QUERY 3 READ x inside",
		  "READY E -" },
		{ "commit",
		  { "QUERY 1 BEGIN", "QUERY 2 WRITE x inside" },
		  "QUERY 3 COMMIT",
		  "READY I -" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		env_t env = { 0 };
		uint32_t commits;
		caller_t *caller;

		open_env(&env, 1);
		configure(&env, 6, TENANTS);
		caller = start_session(&env, "STARTUP main key-old");
		if (rows[i].before[0])
			ask(caller, rows[i].before[0]);
		if (rows[i].before[1])
			ask(caller, rows[i].before[1]);
		commits = standin_counts(env.standin).commits;
		if (!rows[i].state)
			pause_ms(&env, 400);
		configure(&env, 7,
			  "[{\"name\":\"a\",\"api_keys\":[\"key-new\"]}]");
		if (rows[i].state) {
			ask(caller, rows[i].after);
			CHECK_ROW(fails(caller->answer, "DENIED"),
				  rows[i].name);
			CHECK_ROW(strstr(caller->answer, rows[i].state) != NULL,
				  rows[i].name);
		}
		if (rows[i].state && rows[i].state[6] == 'E') {
			CHECK_ROW(strstr(ask(caller, "QUERY 4 ROLLBACK"),
					 "READY I -") != NULL,
				  rows[i].name);
		}
		wait_for_close(caller, rows[i].name);
		close_caller(caller);
		CHECK_ROW(standin_counts(env.standin).commits == commits,
			  rows[i].name);
		caller = start_session(&env, "STARTUP main key-new");
		CHECK_ROW(succeeds(ask(caller, "QUERY 5 WRITE x alone of-a")),
			  rows[i].name);
		CHECK_ROW(standin_counts(env.standin).wrong_users == 0 &&
				  standin_counts(env.standin)
						  .statements_within_another ==
					  0,
			  rows[i].name);
		close_caller(caller);
		close_env(&env);
	}
}

/* Guards against a transaction that goes on for its former tenant, or on that
 * one's connection for the new tenant, after its key has moved. */
static void test_moved_key(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, 1);
	configure(&env, 6, TENANTS);
	caller = start_session(&env, "STARTUP main key-old");
	ask(caller, "QUERY 1 BEGIN");
	CU_ASSERT(succeeds(ask(caller, "QUERY 2 WRITE x inside of-a")));
	configure(&env, 7,
		  "[{\"name\":\"a\",\"api_keys\":[\"key-a\"]},"
		  "{\"name\":\"b\",\"api_keys\":[\"key-old\"]}]");
	CU_ASSERT(fails(ask(caller, "QUERY 3 READ x inside of-b"), "ABORTED"));
	ask(caller, "QUERY 4 ROLLBACK");
	CU_ASSERT(succeeds(ask(caller, "QUERY 5 WRITE x alone of-b")));
	CU_ASSERT(standin_counts(env.standin).wrong_users == 0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a withdrawn key that is served again after a restart while the
 * store is away. */
static void test_restart(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, 1);
	configure(&env, 6, TENANTS);
	configure(&env, 7, "[{\"name\":\"a\",\"api_keys\":[\"key-a\"]}]");
	gateway_free(env.gateways[0]);
	standin_store_refuse(env.standin, true);
	start_gateway(&env, 0);
	pause_ms(&env, 500);
	caller = connect_caller(&env, 0);
	ask(caller, "STARTUP main key-old");
	CU_ASSERT(caller->closed && caller->answer[0] == '\0');
	close_caller(caller);
	standin_store_refuse(env.standin, false);
	pause_ms(&env, 2000);
	caller = connect_caller(&env, 0);
	CU_ASSERT(fails(ask(caller, "STARTUP main key-old"), "DENIED"));
	close_caller(caller);
	close_caller(start_session(&env, "STARTUP main key-a"));
	close_env(&env);
}

/* Guards against keys that are needed where no tenants are configured, and
 * against a session that is refused after they were removed. */
static void test_without_tenants(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, 1);
	configure(&env, 6, NULL);
	caller = start_session(&env, "STARTUP main any word");
	CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x of-hornbeamtack")));
	configure(&env, 7, TENANTS);
	CU_ASSERT(fails(ask(caller, "QUERY 2 WRITE x"), "DENIED"));
	close_caller(caller);
	caller = start_session(&env, "STARTUP main key-a");
	configure(&env, 8, NULL);
	CU_ASSERT(succeeds(ask(caller, "QUERY 3 WRITE x of-hornbeamtack")));
	close_caller(caller);
	CU_ASSERT(standin_counts(env.standin).wrong_users == 0);
	close_env(&env);
}

/* Guards against keys in the log, at its most detailed level. */
static void test_log(void)
{
	static const char *const lines[] = {
		"QUERY 1 WRITE x y",
		"QUERY 2 WRIT x y",
		"QUERY 3 EXECUTE none x",
	};
	char path[] = "/tmp/hornbeamtack-log-XXXXXX";
	FILE *file = fdopen(mkstemp(path), "w+");
	env_t env = { 0 };
	uint32_t refusals = 0;
	caller_t *caller;
	char text[4096];
	size_t i;

	env.log = log_sink_new(file, LOG_LEVEL_DEBUG, "g");
	open_env(&env, 1);
	configure(&env, 6, TENANTS);
	caller = start_session(&env, "STARTUP main key-old");
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		ask(caller, lines[i]);
	configure(&env, 7, "[]");
	CU_ASSERT(fails(ask(caller, "QUERY 4 READ x"), "DENIED"));
	close_caller(caller);
	caller = connect_caller(&env, 0);
	CU_ASSERT(fails(ask(caller, "STARTUP main key-old"), "DENIED"));
	close_caller(caller);
	close_env(&env);
	log_sink_free(env.log);
	rewind(file);
	while (fgets(text, sizeof(text), file)) {
		CHECK_ROW(!strstr(text, "key-"), text);
		if (strstr(text, "outcome=denied"))
			refusals++;
	}
	CU_ASSERT(refusals == 2);
	fclose(file);
	unlink(path);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "start", test_start },
		{ "targets", test_targets },
		{ "withdrawal", test_withdrawal },
		{ "moved_key", test_moved_key },
		{ "restart", test_restart },
		{ "without_tenants", test_without_tenants },
		{ "log", test_log },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_tenants", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
