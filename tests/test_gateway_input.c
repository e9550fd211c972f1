#include "gateway_env.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
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

/* Counts the connections to a port. */
typedef struct {
	struct evconnlistener *listener;
	uint32_t connections;
} trap_t;

static void on_trapped(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *context)
{
	trap_t *trap = context;

	(void)listener;
	(void)address;
	(void)length;
	trap->connections++;
	evutil_closesocket(fd);
}

static void open_trap(trap_t *trap, env_t *env, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	*trap = (trap_t){ .listener = evconnlistener_new_bind(
				  env->base, on_trapped, trap,
				  LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
				  (struct sockaddr *)&address,
				  sizeof(address)) };
	CU_ASSERT_FATAL(trap->listener != NULL);
}

/* Writes an entry whose address is that of a trap. fields are its other
 * fields. */
static void put_entry(env_t *env, const char *key, uint16_t port,
		      const char *fields)
{
	char value[512];

	snprintf(value, sizeof(value), "{\"address\":\"127.0.0.1:%u\",%s}",
		 port, fields);
	standin_store_put(env->standin, key, value);
}

/* Runs reads that any target of the group may serve. */
static void run_reads(env_t *env, uint32_t count)
{
	caller_t *caller = open_session(env, 0, "board");

	while (count-- > 0) {
		CU_ASSERT(ask_until_done(env, caller, "QUERY 1 READ x"));
		pause_ms(env, 5);
	}
	close_caller(caller);
}

/* The log of the gateways of a test. */
typedef struct {
	FILE *stream;
	char *text;
	size_t size;
} capture_t;

static void open_capture(capture_t *capture, env_t *env)
{
	*capture = (capture_t){ 0 };
	capture->stream = open_memstream(&capture->text, &capture->size);
	env->log = log_sink_new(capture->stream, LOG_LEVEL_NOTICE, "test");
}

static void close_capture(capture_t *capture, env_t *env)
{
	log_sink_free(env->log);
	fclose(capture->stream);
	free(capture->text);
}

static bool is_logged(capture_t *capture, const char *text)
{
	fflush(capture->stream);
	return strstr(capture->text, text) != NULL;
}

#define SOUND_FIELDS                                               \
	"\"service\":\"s1\",\"zone\":\"z0\",\"version\":\"v1\","   \
	"\"slots\":3,\"state\":\"ready\",\"cold_remaining_ms\":0," \
	"\"db_role\":\"replica\",\"sequence\":1,\"born\":1"

/* Guards against an entry of another writer that ends a proxy, that is taken
 * for a target, or after which the proxy no longer follows the entries. */
static void test_odd_entries(void)
{
	static const struct {
		const char *key;
		const char *fields;
	} rows[] = {
		{ "servers/j-1", "\"service\":\"s1\"" },
		{ "servers/j-2", SOUND_FIELDS ",\"zone\":7" },
		{ "servers/j-3", SOUND_FIELDS ",\"state\":\"odd\"" },
		{ "servers/j-4", SOUND_FIELDS ",\"slots\":0" },
		{ "servers/j-5",
		  SOUND_FIELDS ",\"slots\":99999999999999999999" },
		{ "servers/j-6", SOUND_FIELDS ",\"slots\":1e300" },
		{ "servers/j-7", SOUND_FIELDS ",\"born\":1e999" },
		{ "servers/j-8", SOUND_FIELDS ",\"born\":\"1\"" },
		{ "servers/j 9", SOUND_FIELDS },
		{ "servers/j\r\nQUERY - RESET", SOUND_FIELDS },
		{ "servers/", SOUND_FIELDS },
		{ "servers/j-10",
		  SOUND_FIELDS ",\"service\":\"s9\",\"db_role\":\"primary\"" },
		{ "servers/j-11", SOUND_FIELDS ",\"service\":\"s1\\r\\n\"" },
		{ "servers/j-12", SOUND_FIELDS ",\"\\ud800\":1" },
		{ "servers/j-13", SOUND_FIELDS "}{" },
	};
	static const char *const addresses[] = {
		"127.0.0.1:0",	   "127.0.0.1:65536",
		"127.0.0.1:-1",	   "127.0.0.1:18446744073709551617",
		"localhost:80",	   "",
		"127.0.0.1:80 \n",
	};
	env_t env = { 0 };
	trap_t trap;
	uint16_t port;
	char key[64];
	char text[512];
	char *nested;
	capture_t capture;
	size_t i;

	open_capture(&capture, &env);
	open_env(&env, 1);
	port = (uint16_t)(env.port + 14);
	open_trap(&trap, &env, port);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		put_entry(&env, rows[i].key, port, rows[i].fields);
	for (i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
		snprintf(key, sizeof(key), "servers/a-%zu", i);
		snprintf(text, sizeof(text), "{\"address\":\"%s\",%s}",
			 addresses[i], SOUND_FIELDS);
		standin_store_put(env.standin, key, text);
	}
	nested = check_allocate(1024 * 1024);
	memset(nested, '[', 1024 * 1024 - 1);
	standin_store_put(env.standin, "servers/n-1", nested);
	free(nested);
	pause_ms(&env, 1200);
	run_reads(&env, 30);
	CU_ASSERT_EQUAL(trap.connections, 0);
	/* A sound entry after the odd ones is followed. */
	put_entry(&env, "servers/k-1", port, SOUND_FIELDS);
	pause_ms(&env, 600);
	CU_ASSERT(is_logged(&capture, "event=target-added target=k-1"));
	evconnlistener_free(trap.listener);
	close_env(&env);
	close_capture(&capture, &env);
}

/* Guards against a target that is used further although its entry has become
 * another one, and against one that stays unused once its own entry is back. */
static void test_replaced_entry(void)
{
	static const char *const values[] = {
		"",
		"\x01\x02",
		"{\"service\":\"s1\"}",
		"{\"address\":\"127.0.0.1:1\",\"service\":\"s9\",\"zone\":"
		"\"z0\","
		"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
		"\"cold_remaining_ms\":0,\"db_role\":\"replica\","
		"\"sequence\":1,\"born\":1}",
	};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		env_t env = { 0 };
		capture_t capture;

		open_capture(&capture, &env);
		open_env(&env, 1);
		standin_store_put(env.standin, "servers/i-1", values[i]);
		pause_ms(&env, 600);
		CHECK_ROW(
			is_logged(&capture, "event=target-missing target=i-1"),
			values[i]);
		standin_list_targets(env.standin, true);
		pause_ms(&env, 600);
		CHECK_ROW(
			is_logged(&capture, "event=target-changed target=i-1"),
			values[i]);
		run_reads(&env, 5);
		close_env(&env);
		close_capture(&capture, &env);
	}
}

/* Guards against a malformed record of another writer that takes a group's
 * primary away, or after which the group has no promotion any more. */
static void test_odd_records(void)
{
	static const struct {
		const char *key;
		const char *value;
	} rows[] = {
		{ "hornbeamtack/group/s1", "" },
		{ "hornbeamtack/group/s1", "[]" },
		{ "hornbeamtack/group/s1", "{}" },
		{ "hornbeamtack/group/s1", "{\"term\":\"1\",\"primary\":\"i-"
					   "0\",\"fence\":0,\"starts\":[]}" },
		{ "hornbeamtack/group/s1", "{\"term\":-1,\"primary\":\"i-0\","
					   "\"fence\":0,\"starts\":[]}" },
		{ "hornbeamtack/group/s1", "{\"term\":1,\"primary\":\"i-0\","
					   "\"fence\":-1,\"starts\":[]}" },
		{ "hornbeamtack/group/s1",
		  "{\"term\":1,\"primary\":7,\"fence\":0,\"starts\":[]}" },
		{ "hornbeamtack/group/s1", "{\"term\":1,\"primary\":\"i-0\","
					   "\"fence\":0,\"starts\":[[1]]}" },
		{ "hornbeamtack/group/s1",
		  "{\"term\":1,\"primary\":\"i-0\",\"fence\":0,"
		  "\"starts\":[[1,-1]]}" },
		{ "hornbeamtack/group/s1",
		  "{\"term\":99999999999999999999,\"primary\":\"i-0\","
		  "\"fence\":0,\"starts\":[]}" },
		{ "hornbeamtack/duty", "{\"holder\":7}" },
		{ "hornbeamtack/duty",
		  "{\"holder\":\"x\",\"incarnation\":1,\"token\":-1}" },
		{ "hornbeamtack/proxy/x", "{\"incarnation\":1}" },
		{ "hornbeamtack/proxy/x", "{\"evicted\":\"yes\"}" },
		{ "hornbeamtack/doubt/s1/x", "{\"number\":\"1\"}" },
		{ "hornbeamtack/stop/s1/x",
		  "{\"number\":-1,\"incarnation\":1}" },
		{ "hornbeamtack/voters", "{\"sets\":[7]}" },
	};
	env_t env = { 0 };
	capture_t capture;
	caller_t *caller;
	size_t i;

	open_capture(&capture, &env);
	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		standin_store_put(env.standin, rows[i].key, rows[i].value);
		pause_ms(&env, 100);
		CHECK_ROW(succeeds(ask(caller, "QUERY 1 WRITE x y")),
			  rows[i].value);
	}
	CU_ASSERT(is_logged(&capture, "event=record-malformed"));
	standin_target_stop(env.standin, standin_primary(env.standin));
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 2 WRITE x y"));
	CU_ASSERT_EQUAL(standin_counts(env.standin).promotions, 1);
	close_caller(caller);
	close_env(&env);
	close_capture(&capture, &env);
}

static bool is_record_sound(void *context)
{
	const env_t *env = context;
	const char *record =
		standin_store_get(env->standin, "hornbeamtack/group/s1");

	return strstr(record, "\"primary\":\"i-0\",\"fence\":0") != NULL;
}

/* Guards against a group without writes until its next promotion, because a
 * proxy started while the record was malformed. */
static void test_odd_record_at_start(void)
{
	static const char *const records[] = {
		"",
		"[]",
		"{\"term\":1,\"primary\":\"i-0\",\"fence\":-1,\"starts\":[]}",
	};
	/* Whether another proxy knows the record from before. */
	static const bool known[] = { false, true };
	size_t i;

	for (i = 0; i < 2 * sizeof(records) / sizeof(records[0]); i++) {
		env_t env = { 0 };
		const char *record = records[i / 2];
		caller_t *caller;

		open_env(&env, 1);
		if (!known[i % 2]) {
			gateway_free(env.gateways[0]);
			env.gateways[0] = NULL;
		}
		standin_store_put(env.standin, "hornbeamtack/group/s1", record);
		/* A record of a service that does not exist is left alone. */
		standin_store_put(env.standin, "hornbeamtack/group/s9", record);
		start_gateway(&env, 1);
		pause_ms(&env, 600);
		caller = open_session(&env, 1, "main");
		CHECK_ROW(ask_until_done(&env, caller, "QUERY 1 WRITE x y"),
			  record);
		CHECK_ROW(run_until(&env, is_record_sound, &env, WAIT_MAX_MS),
			  record);
		close_caller(caller);
		if (known[i % 2]) {
			caller = open_session(&env, 0, "main");
			CHECK_ROW(ask_until_done(&env, caller,
						 "QUERY 1 WRITE x y"),
				  record);
			close_caller(caller);
		}
		CHECK_ROW(standin_counts(env.standin).promotions == 0, record);
		CHECK_ROW(strcmp(standin_store_get(env.standin,
						   "hornbeamtack/group/s9"),
				 record) == 0,
			  record);
		close_env(&env);
	}
}

/* Guards against a group without writes whose recorded primary answers, but as
 * a replica: another target was promoted and nobody saw it. */
static void test_unseen_promotion(void)
{
	env_t env = { 0 };
	capture_t capture;
	caller_t *caller;

	open_capture(&capture, &env);
	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x y")));
	standin_promote(env.standin, 2);
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 2 WRITE x y"));
	CU_ASSERT(is_logged(&capture, "event=primary-read-only target=i-0"));
	CU_ASSERT_EQUAL(standin_primary(env.standin), 2);
	/* The promotion records the primary that it finds, without an order. */
	CU_ASSERT_EQUAL(standin_counts(env.standin).promotions, 1);
	close_caller(caller);
	close_env(&env);
	close_capture(&capture, &env);
}

/* Guards against data with a line break that is cut off, and whose rest runs as
 * a statement that nobody sent. */
static void test_line_breaks(void)
{
	static const char *const data[] = {
		"two\nlines",
		"two\rlines",
		"two\n\rlines",
		"end\r",
		"end\n",
		"as before\nQUERY 9 WRITE other overwritten",
		"as before\rQUERY 9 WRITE other overwritten",
		"as before\nTERMINATE",
		"as before\nREADY I 1.1",
	};
	env_t env = { 0 };
	caller_t *caller;
	char line[128];
	size_t i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < sizeof(data) / sizeof(data[0]); i++) {
		standin_counts_t before = standin_counts(env.standin);

		snprintf(line, sizeof(line), "QUERY 1 WRITE x %s", data[i]);
		CHECK_ROW(succeeds(ask(caller, line)), data[i]);
		pause_ms(&env, 20);
		CHECK_ROW(standin_counts(env.standin).statements ==
				  before.statements + 1,
			  data[i]);
		CHECK_ROW(standin_counts(env.standin).commits ==
				  before.commits + 1,
			  data[i]);
		/* The session is not out of step. */
		CHECK_ROW(succeeds(ask(caller, "QUERY 2 READ x")), data[i]);
	}
	/* A line feed alone ends no line. */
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "QUERY 3 READ x\n");
	caller->answered = false;
	pause_ms(&env, 100);
	CU_ASSERT(!caller->answered && !caller->closed);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a transaction that has failed in the proxy and stays open at
 * the target: its writes would be committed with the next transaction of the
 * session, or the next single write would run inside it. */
static void test_failed_transaction(void)
{
	/* What fails the transaction. */
	static const char *const causes[] = {
		"QUERY 3 WRIT x",	   "QUERY 3 EXECUTE none x",
		"QUERY 3 BEGIN",	   "QUERY 3 READ",
		"QUERY 3 PREPARE s1  q2c", "QUERY 3 DEALLOC none",
		"QUERY 3 SET  a",	   "lost connection",
	};
	static const char *const ends[] = { "QUERY 4 COMMIT",
					    "QUERY 4 ROLLBACK" };
	/* What follows on the same session, or on another one after its end. */
	static const char *const followers[] = { "single write", "transaction",
						 "end of the session" };
	env_t env = { 0 };
	size_t i;

	open_env(&env, 1);
	for (i = 0; i < 8 * 2 * 3; i++) {
		const char *cause = causes[i / 6];
		const char *end = ends[i / 3 % 2];
		const char *follower = followers[i % 3];
		caller_t *caller = open_session(&env, 0, "main");
		uint32_t commits = standin_counts(env.standin).commits;
		char name[128];

		snprintf(name, sizeof(name), "%s, %s, %s", cause, end,
			 follower);
		ask(caller, "QUERY 1 BEGIN");
		CHECK_ROW(succeeds(ask(caller, "QUERY 2 WRITE x inside")),
			  name);
		if (strcmp(cause, "lost connection") == 0) {
			standin_target_reset(env.standin,
					     standin_primary(env.standin));
			pause_ms(&env, 50);
		} else {
			CHECK_ROW(strstr(ask(caller, cause), "READY E -") !=
					  NULL,
				  name);
		}
		if (strcmp(follower, "end of the session") == 0) {
			close_caller(caller);
			caller = open_session(&env, 0, "main");
		} else if (strcmp(end, "QUERY 4 COMMIT") == 0) {
			CHECK_ROW(fails(ask(caller, end), "ABORTED"), name);
		} else {
			CHECK_ROW(strstr(ask(caller, end), "COMPLETE -") !=
					  NULL,
				  name);
		}
		pause_ms(&env, 20);
		CHECK_ROW(standin_counts(env.standin).commits == commits, name);
		if (strcmp(follower, "transaction") == 0) {
			ask(caller, "QUERY 5 BEGIN");
			ask(caller, "QUERY 6 WRITE y inside");
			CHECK_ROW(succeeds(ask(caller, "QUERY 7 COMMIT")),
				  name);
		} else {
			CHECK_ROW(ask_until_done(&env, caller,
						 "QUERY 5 WRITE y z"),
				  name);
		}
		CHECK_ROW(standin_counts(env.standin).commits == commits + 1,
			  name);
		close_caller(caller);
	}
	CU_ASSERT_EQUAL(standin_counts(env.standin).statements_without_begin,
			0);
	CU_ASSERT_EQUAL(standin_counts(env.standin).statements_within_another,
			0);
	close_env(&env);
}

/* Guards against pages of a list that end with an unreadable item, or have no
 * other one, and so hide the pages behind them. */
static void test_unreadable_pages(void)
{
	static const uint32_t page_items[] = { 1, 2, 3 };
	static const char *const added[] = {
		"event=target-added target=i-0",
		"event=target-added target=i-1",
		"event=target-added target=i-2",
	};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(page_items) / sizeof(page_items[0]); i++) {
		env_t env = { 0 };
		capture_t capture;

		open_capture(&capture, &env);
		open_env(&env, 0);
		standin_store_page(env.standin, page_items[i]);
		standin_store_put_unreadable(env.standin, "servers/h-1");
		standin_store_put_unreadable(env.standin, "servers/h-2");
		standin_store_put_unreadable(env.standin, "servers/h-3");
		standin_store_put_unreadable(env.standin, "servers/i-01");
		standin_store_put_unreadable(env.standin, "servers/j-1");
		start_gateway(&env, 0);
		pause_ms(&env, 1500);
		for (k = 0; k < sizeof(added) / sizeof(added[0]); k++)
			CHECK_ROW(is_logged(&capture, added[k]), added[k]);
		run_reads(&env, 3);
		close_env(&env);
		close_capture(&capture, &env);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "input", test_input },
		{ "malformed_statements", test_malformed_statements },
		{ "odd_entries", test_odd_entries },
		{ "replaced_entry", test_replaced_entry },
		{ "odd_records", test_odd_records },
		{ "odd_record_at_start", test_odd_record_at_start },
		{ "unseen_promotion", test_unseen_promotion },
		{ "line_breaks", test_line_breaks },
		{ "failed_transaction", test_failed_transaction },
		{ "unreadable_pages", test_unreadable_pages },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_input", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
