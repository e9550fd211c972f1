#include "gateway_env.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

/* What fails an open transaction. */
typedef struct {
	const char *name;
	/* Statement of the caller; NULL if fail() does it. */
	const char *line;
	void (*fail)(env_t *env, caller_t *caller);
} cause_t;

/* What happens between the failure and the end of the transaction. */
typedef struct {
	const char *name;
	void (*happen)(env_t *env, caller_t *caller);
	/* The session's database has no route any more. */
	bool no_route;
} event_t;

typedef enum {
	END_COMMIT,
	END_ROLLBACK,
	END_CLOSE,
	END_COUNT,
} end_t;

static const char *const end_names[END_COUNT] = { "COMMIT", "ROLLBACK",
						  "close" };

static void fail_at_target(env_t *env, caller_t *caller)
{
	static const char answer[] = "ERROR FAILED x\r\nREADY E 1.1\r\n";

	standin_answer_next(env->standin, answer, sizeof(answer) - 1, 0);
	ask(caller, "QUERY 3 READ y inside");
}

static void break_answer(env_t *env, caller_t *caller)
{
	static const char answer[] = "DATAROW a\r\nREADY T 1.1\r\n";

	standin_answer_next(env->standin, answer, sizeof(answer) - 1, 0);
	ask(caller, "QUERY 3 READ y inside");
}

static void lose_connections(env_t *env, caller_t *caller)
{
	uint32_t i;

	(void)caller;
	for (i = 0; i < STANDIN_TARGETS; i++)
		standin_target_reset(env->standin, i);
	pause_ms(env, 50);
}

static void exceed_time_limit(env_t *env, caller_t *caller)
{
	uint32_t i;

	for (i = 0; i < STANDIN_TARGETS; i++)
		standin_target_silence(env->standin, i, true);
	ask(caller, "QUERY 3 READ y inside");
	for (i = 0; i < STANDIN_TARGETS; i++)
		standin_target_silence(env->standin, i, false);
	pause_ms(env, 300);
}

static void exceed_idle_limit(env_t *env, caller_t *caller)
{
	(void)caller;
	/* The limit of the stand-in's configuration, and some room. */
	pause_ms(env, 3200);
}

static const cause_t causes[] = {
	{ .name = "malformed", .line = "QUERY 3 WRIT x" },
	{ .name = "unknown name", .line = "QUERY 3 EXECUTE none x" },
	{ .name = "second BEGIN", .line = "QUERY 3 BEGIN" },
	{ .name = "error of the target", .fail = fail_at_target },
	{ .name = "broken answer", .fail = break_answer },
	{ .name = "lost connection", .fail = lose_connections },
	{ .name = "time limit", .fail = exceed_time_limit },
	{ .name = "idle limit", .fail = exceed_idle_limit },
};

static void do_nothing(env_t *env, caller_t *caller)
{
	(void)env;
	(void)caller;
}

static void drain(env_t *env, caller_t *caller)
{
	(void)caller;
	gateway_drain(env->gateways[0]);
	pause_ms(env, 100);
}

static void remove_route(env_t *env, caller_t *caller)
{
	(void)caller;
	standin_configure(env->standin, 6, "other");
	pause_ms(env, 300);
}

static void move_route(env_t *env, caller_t *caller)
{
	(void)caller;
	standin_store_put(
		env->standin, "op/config",
		"{\"version\":6,\"routes\":["
		"{\"host\":\"board\",\"type\":\"bounded\",\"service\":\"s2\","
		"\"timeout_ms\":1000,\"max_staleness_ms\":1500}],"
		"\"services\":[{\"name\":\"s1\",\"max_connections\":22,"
		"\"sync_replicas\":0},{\"name\":\"s2\",\"max_connections\":22,"
		"\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}");
	pause_ms(env, 300);
}

static bool is_replaced(void *context)
{
	const env_t *env = context;

	return standin_primary(env->standin) != 0;
}

static void promote(env_t *env, caller_t *caller)
{
	(void)caller;
	standin_target_stop(env->standin, 0);
	CU_ASSERT(run_until(env, is_replaced, env, WAIT_MAX_MS));
}

static void lose_grant(env_t *env, caller_t *caller)
{
	(void)caller;
	standin_store_refuse(env->standin, true);
	pause_ms(env, 4000);
	standin_store_refuse(env->standin, false);
	pause_ms(env, 1000);
}

static const event_t events[] = {
	{ .name = "nothing", .happen = do_nothing },
	{ .name = "drain", .happen = drain },
	{ .name = "route removed", .happen = remove_route, .no_route = true },
	{ .name = "route moved", .happen = move_route, .no_route = true },
	{ .name = "promotion", .happen = promote },
	{ .name = "lost grant", .happen = lose_grant },
	{ .name = "idle limit", .happen = exceed_idle_limit },
};

/* Ends the transaction of the caller, which has failed. */
static void end_transaction(env_t *env, caller_t *caller, end_t end,
			    const char *name)
{
	switch (end) {
	case END_COMMIT:
		CHECK_ROW(fails(ask(caller, "QUERY 4 COMMIT"), "ABORTED"),
			  name);
		break;
	case END_ROLLBACK:
		CHECK_ROW(strstr(ask(caller, "QUERY 4 ROLLBACK"),
				 "COMPLETE -") != NULL,
			  name);
		break;
	case END_CLOSE:
	case END_COUNT:
		pause_ms(env, 20);
		return;
	}
	CHECK_ROW(strstr(caller->answer, "READY I -") != NULL, name);
	pause_ms(env, 20);
}

/* Runs statements of this session and of another one, which must neither run
 * inside the failed transaction nor commit its write. */
static void run_followers(env_t *env, caller_t *caller, const event_t *event,
			  const char *name)
{
	uint32_t commits = standin_counts(env->standin).commits;
	caller_t *other;

	if (event->no_route) {
		CHECK_ROW(strstr(ask(caller, "QUERY 5 WRITE y alone"),
				 "READY I -") != NULL,
			  name);
		return;
	}
	other = open_session(env, 0, "main");
	CHECK_ROW(ask_until_done(env, caller, "QUERY 5 WRITE y alone"), name);
	CHECK_ROW(ask_until_done(env, other, "QUERY 6 READ y alone"), name);
	CHECK_ROW(ask_until_done(env, other, "QUERY 7 WRITE y alone"), name);
	CHECK_ROW(standin_counts(env->standin).commits == commits + 2, name);
	close_caller(other);
}

/* Plays one failed transaction: of a write, or of reads on a replica. */
static void play(env_t *env, const cause_t *cause, const event_t *event,
		 end_t end, bool reads)
{
	caller_t *caller = open_session(env, 0, "board");
	uint32_t commits = standin_counts(env->standin).commits;
	char name[128];

	snprintf(name, sizeof(name), "%s, %s, %s, %s", cause->name, event->name,
		 end_names[end], reads ? "reads" : "write");
	ask(caller, reads ? "QUERY 1 BEGIN READ" : "QUERY 1 BEGIN");
	CHECK_ROW(succeeds(ask(caller, reads ? "QUERY 2 READ x inside"
					     : "QUERY 2 WRITE x inside")),
		  name);
	if (cause->line)
		ask(caller, cause->line);
	else
		cause->fail(env, caller);
	if (end == END_CLOSE) {
		close_caller(caller);
		caller = open_session(env, 0, "board");
	}
	event->happen(env, caller);
	end_transaction(env, caller, end, name);
	CHECK_ROW(standin_counts(env->standin).commits == commits, name);
	run_followers(env, caller, event, name);
	CHECK_ROW(standin_counts(env->standin).statements_without_begin == 0,
		  name);
	CHECK_ROW(standin_counts(env->standin).statements_within_another == 0,
		  name);
	close_caller(caller);
}

/* Guards against a failed transaction that is still open at the target when
 * another statement uses its connection, whatever happens before its end. */
static void test_events(void)
{
	size_t cause = 0;
	size_t event;
	end_t end;

	/* Each event with each end, and the causes in turn. */
	for (event = 0; event < sizeof(events) / sizeof(events[0]); event++) {
		for (end = END_COMMIT; end < END_COUNT; end++) {
			env_t env = { 0 };

			open_env(&env, 1);
			play(&env,
			     &causes[cause++ %
				     (sizeof(causes) / sizeof(causes[0]))],
			     &events[event], end, event % 2 == 1);
			close_env(&env);
		}
	}
}

/* Guards against a cause that leaves the transaction open at the target, of a
 * write at the primary or of reads on a replica. */
static void test_causes(void)
{
	env_t env = { 0 };
	size_t cause;
	end_t end;

	open_env(&env, 1);
	for (cause = 0; cause < sizeof(causes) / sizeof(causes[0]); cause++) {
		for (end = END_COMMIT; end < END_COUNT; end++) {
			play(&env, &causes[cause], &events[0], end, false);
			play(&env, &causes[cause], &events[0], end, true);
		}
	}
	close_env(&env);
}

/* Guards against a transaction that is still open for its caller after COMMIT,
 * when its database has lost its route before the first statement. */
static void test_commit_without_route(void)
{
	static const char *const databases[] = { "board", "main" };
	size_t i;

	for (i = 0; i < sizeof(databases) / sizeof(databases[0]); i++) {
		env_t env = { 0 };
		caller_t *caller;

		open_env(&env, 1);
		caller = open_session(&env, 0, databases[i]);
		ask(caller, "QUERY 1 BEGIN");
		if (strcmp(databases[i], "main") == 0)
			move_route(&env, caller);
		else
			remove_route(&env, caller);
		CHECK_ROW(fails(ask(caller, "QUERY 2 COMMIT"), "NODB"),
			  databases[i]);
		CHECK_ROW(strstr(caller->answer, "READY I -") != NULL,
			  databases[i]);
		close_caller(caller);
		close_env(&env);
	}
}

/* Guards against statements that were sent ahead and run after the one before
 * them has failed their transaction, or that are answered out of turn. */
static void test_sent_ahead(void)
{
	static const struct {
		const char *name;
		const char *lines;
		/* Answers without the rows and the signature. */
		const char *answers;
		uint32_t commits;
	} rows[] = {
		{ "malformed, COMMIT",
		  "QUERY 1 BEGIN\r\nQUERY 2 WRITE x inside\r\nQUERY 3 WRIT\r\n"
		  "QUERY 4 WRITE x inside\r\nQUERY 5 COMMIT\r\n"
		  "QUERY 6 WRITE y alone\r\n",
		  "COMPLETE -|READY T -|COMPLETE sig|READY T 1.1|"
		  "ERROR MALFORMED malformed statement|READY E -|"
		  "ERROR MALFORMED transaction has failed|READY E -|"
		  "ERROR ABORTED transaction has failed|READY I -|"
		  "COMPLETE sig|READY I 1.2|",
		  1 },
		{ "malformed, ROLLBACK",
		  "QUERY 1 BEGIN\r\nQUERY 2 WRITE x inside\r\nQUERY 3 WRIT\r\n"
		  "QUERY 4 ROLLBACK\r\nQUERY 5 BEGIN\r\n"
		  "QUERY 6 WRITE y inside\r\nQUERY 7 COMMIT\r\n",
		  "COMPLETE -|READY T -|COMPLETE sig|READY T 1.1|"
		  "ERROR MALFORMED malformed statement|READY E -|"
		  "COMPLETE -|READY I -|COMPLETE -|READY T -|"
		  "COMPLETE sig|READY T 1.1|COMPLETE sig|READY I 1.2|",
		  1 },
		{ "unknown name in the first statement",
		  "QUERY 1 BEGIN\r\nQUERY 2 EXECUTE s x\r\n"
		  "QUERY 3 WRITE x inside\r\nQUERY 4 COMMIT\r\n"
		  "QUERY 5 WRITE y alone\r\n",
		  "COMPLETE -|READY T -|"
		  "ERROR NOSUCHSTMT no such prepared statement|READY E -|"
		  "ERROR MALFORMED transaction has failed|READY E -|"
		  "ERROR ABORTED transaction has failed|READY I -|"
		  "COMPLETE sig|READY I 1.2|",
		  1 },
		{ "malformed without a transaction",
		  "QUERY 1 WRIT\r\nQUERY 2 WRITE y alone\r\nQUERY 3 COMMIT\r\n"
		  "QUERY 4 WRITE y alone\r\n",
		  "ERROR MALFORMED malformed statement|READY I -|"
		  "COMPLETE sig|READY I 1.2|"
		  "ERROR MALFORMED no transaction|READY I -|"
		  "COMPLETE sig|READY I 1.3|",
		  2 },
		{ "end of the session",
		  "QUERY 1 BEGIN\r\nQUERY 2 WRITE x inside\r\nQUERY 3 WRIT\r\n"
		  "TERMINATE\r\nQUERY 4 WRITE y alone\r\n",
		  "", 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		env_t env = { 0 };
		caller_t *caller;
		uint32_t commits;
		char answers[1024] = "";
		size_t used = 0;
		char *line;

		open_env(&env, 1);
		caller = open_session(&env, 0, "main");
		commits = standin_counts(env.standin).commits;
		caller->answer[0] = '\0';
		bufferevent_write(caller->events, rows[i].lines,
				  strlen(rows[i].lines));
		pause_ms(&env, 200);
		for (line = strtok(caller->answer, "|"); line;
		     line = strtok(NULL, "|")) {
			if (strncmp(line, "DATAROW", 7) == 0)
				continue;
			used += (size_t)snprintf(answers + used,
						 sizeof(answers) - used, "%s|",
						 line);
		}
		if (rows[i].answers[0] != '\0')
			CHECK_ROW(strcmp(answers, rows[i].answers) == 0,
				  rows[i].name);
		CHECK_ROW(standin_counts(env.standin).commits ==
				  commits + rows[i].commits,
			  rows[i].name);
		CHECK_ROW(
			standin_counts(env.standin).statements_within_another ==
				0,
			rows[i].name);
		close_caller(caller);
		close_env(&env);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "causes", test_causes },
		{ "events", test_events },
		{ "commit_without_route", test_commit_without_route },
		{ "sent_ahead", test_sent_ahead },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_transactions", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
