#include "gateway_env.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "check.h"
#include "libhttp/http.h"
#include "libpool/pool.h"
#include "libpromotion/promotion.h"
#include "libreadiness/readiness.h"
#include "platform/messages.h"

/* Guards against answers that are not the target's, statements that run outside
 * their transaction, and statements that run with the session values of another
 * session on a shared connection. */
static void test_calm(void)
{
	env_t env = { 0 };
	caller_t *caller;
	caller_t *other;

	open_env(&env, GATEWAYS);
	caller = open_session(&env, 0, "own");
	other = open_session(&env, 1, "own");
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 1 SET zone z1"),
			       "COMPLETE -|READY I -|");
	CU_ASSERT(succeeds(ask(caller, "QUERY 2 READ valued")));
	CU_ASSERT(succeeds(ask(other, "QUERY 2 READ plain")));
	CU_ASSERT(succeeds(ask(caller, "QUERY 3 READ valued")));
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 4 PREPARE s1 WRITE q1"),
			       "COMPLETE -|READY I -|");
	CU_ASSERT(succeeds(ask(caller, "QUERY 5 EXECUTE s1 valued data")));
	CU_ASSERT(fails(ask(other, "QUERY 5 EXECUTE s1 valued data"),
			"NOSUCHSTMT"));
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 6 BEGIN"),
			       "COMPLETE -|READY T -|");
	CU_ASSERT(succeeds(ask(caller, "QUERY 7 READ valued inside")));
	CU_ASSERT(succeeds(ask(caller, "QUERY 8 WRITE valued inside")));
	CU_ASSERT(succeeds(ask(caller, "QUERY 9 COMMIT")));
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 10 BEGIN READ"),
			       "COMPLETE -|READY T -|");
	CU_ASSERT(succeeds(ask(caller, "QUERY 11 READ valued inside")));
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 12 ROLLBACK"),
			       "COMPLETE -|READY I -|");
	CU_ASSERT(fails(ask(caller, "QUERY 13 COMMIT"), "MALFORMED"));
	CU_ASSERT(standin_counts(env.standin).wrong_session_values == 0);
	CU_ASSERT(standin_counts(env.standin).statements_without_begin == 0);
	close_caller(caller);
	close_caller(other);
	close_env(&env);
}

/* Guards against a primary that stops and is not replaced, and against writes
 * that are acknowledged without a commit. */
static void test_failover(void)
{
	env_t env = { 0 };
	caller_t *caller;
	uint32_t before;

	open_env(&env, GATEWAYS);
	caller = open_session(&env, 0, "main");
	standin_target_stop(env.standin, standin_primary(env.standin));
	before = standin_counts(env.standin).commits;
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 1 WRITE x y"));
	CU_ASSERT(standin_counts(env.standin).commits == before + 1);
	CU_ASSERT(standin_counts(env.standin).promotions == 1);
	CU_ASSERT(standin_primary(env.standin) != 0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a transaction whose connection to the target was closed, and
 * which continues on another connection as if nothing had happened. */
static void test_transaction_connection(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	ask(caller, "QUERY 1 BEGIN");
	CU_ASSERT(succeeds(ask(caller, "QUERY 2 READ inside")));
	standin_target_reset(env.standin, standin_primary(env.standin));
	pause_ms(&env, 50);
	CU_ASSERT(fails(ask(caller, "QUERY 3 READ inside"), "MALFORMED"));
	CU_ASSERT_STRING_EQUAL(ask(caller, "QUERY 4 ROLLBACK"),
			       "COMPLETE -|READY I -|");
	/* A transaction without a statement so far is not bound to the
	 * connection. */
	ask(caller, "QUERY 5 BEGIN");
	standin_target_reset(env.standin, standin_primary(env.standin));
	pause_ms(&env, 50);
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 6 READ inside"));
	CU_ASSERT(standin_counts(env.standin).statements_without_begin == 0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a wrong outcome when the connection ends while a statement
 * runs: a write outside a transaction may have been committed, whereas an open
 * transaction is rolled back. */
static void test_outcomes(void)
{
	static const struct {
		const char *begin;
		const char *statement;
		const char *code;
	} rows[] = {
		{ NULL, "QUERY 2 WRITE x y", "INDOUBT" },
		{ "QUERY 1 BEGIN", "QUERY 2 WRITE x inside", "ABORTED" },
		{ "QUERY 1 BEGIN", "QUERY 2 READ inside", "ABORTED" },
	};
	env_t env = { 0 };
	size_t i;

	open_env(&env, 1);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		caller_t *caller = open_session(&env, 0, "main");

		if (rows[i].begin)
			ask(caller, rows[i].begin);
		standin_targets_slow(env.standin, 300);
		caller->answer[0] = '\0';
		caller->answered = false;
		evbuffer_add_printf(bufferevent_get_output(caller->events),
				    "%s\r\n", rows[i].statement);
		pause_ms(&env, rows[i].begin ? 400 : 150);
		standin_target_reset(env.standin, standin_primary(env.standin));
		run_until(&env, has_answer, caller, WAIT_MAX_MS);
		CHECK_ROW(fails(caller->answer, rows[i].code),
			  rows[i].statement);
		standin_targets_slow(env.standin, 0);
		close_caller(caller);
		pause_ms(&env, 300);
	}
	close_env(&env);
}

/* Guards against reads that run on a replica further behind than the route's
 * staleness bound. */
static void test_staleness(void)
{
	env_t env = { 0 };
	caller_t *caller;
	char primary[16];
	int i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "own");
	standin_replicas_lag(env.standin, true);
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 1 WRITE x y"));
	snprintf(primary, sizeof(primary), "row i-%u|",
		 standin_primary(env.standin));
	for (i = 0; i < 20; i++)
		CU_ASSERT(strstr(ask(caller, "QUERY 2 READ x"), primary) !=
			  NULL);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a deregistration that takes effect late and removes the entry
 * of the next process of the same name: that process would then hold grants
 * that no promotion waits for. Also guards against an entry that is not
 * removed. */
static void test_deregistration(void)
{
	static const struct {
		const char *name;
		/* The next process registers while the deregistration is on its
		 * way. */
		bool replaced;
	} rows[] = {
		{ "alone", false },
		{ "replaced", true },
	};
	const char *key = "hornbeamtack/proxy/g0";
	const char *next = "{\"incarnation\":7,\"peer\":\"127.0.0.1:9\","
			   "\"domain\":\"z0\"}";
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		env_t env = { 0 };
		const char *entry;

		open_env(&env, 1);
		/* Calls take effect this long after they were sent. */
		standin_store_slow(env.standin, 600);
		gateway_drain(env.gateways[0]);
		pause_ms(&env, READINESS_BALANCER_REMOVAL_MS + 300);
		CU_ASSERT(standin_store_get(env.standin, key) != NULL);
		if (rows[i].replaced)
			standin_store_put(env.standin, key, next);
		pause_ms(&env, 700);
		entry = standin_store_get(env.standin, key);
		CHECK_ROW(rows[i].replaced ? entry && strcmp(entry, next) == 0
					   : entry == NULL,
			  rows[i].name);
		/* The slow calls end before the stand-in is freed. */
		standin_store_slow(env.standin, 0);
		pause_ms(&env, 700);
		close_env(&env);
	}
}

/* Guards against a drain that closes a session before its answer was sent, or
 * that does not close the sessions. */
static void test_drain(void)
{
	env_t env = { 0 };
	caller_t *caller;
	caller_t *idle;
	int answers = 0;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	idle = open_session(&env, 0, "main");
	gateway_drain(env.gateways[0]);
	/* Each statement is answered, and the session is closed after an
	 * answer. */
	while (!caller->closed && answers < 100000) {
		const char *answer = ask(caller, "QUERY 1 WRITE x y");

		if (caller->closed && answer[0] == '\0')
			break;
		CU_ASSERT(succeeds(answer));
		answers++;
		pause_ms(&env, 2);
	}
	CU_ASSERT(caller->closed && answers > 0);
	CU_ASSERT(standin_counts(env.standin).commits == (uint32_t)answers + 1);
	pause_ms(&env, 500);
	CU_ASSERT(idle->closed);
	close_caller(caller);
	close_caller(idle);
	close_env(&env);
}

/* Guards against a proxy that listens before it knows the configuration, and
 * then refuses every database, and against one that misses a change or takes
 * over an older version. */
static void test_configuration(void)
{
	env_t env = { 0 };
	caller_t *caller;

	env.base = event_base_new();
	env.port = find_ports(12);
	env.standin = standin_new(env.base, env.port);
	start_gateway(&env, 0);
	pause_ms(&env, 400);
	caller = connect_caller(&env, 0);
	ask(caller, "STARTUP main me");
	CU_ASSERT(caller->closed && caller->answer[0] == '\0');
	close_caller(caller);
	standin_store_put(env.standin, "op/config", "not a configuration");
	standin_configure(env.standin, 5, "board");
	pause_ms(&env, 400);
	caller = open_session(&env, 0, "board");
	close_caller(caller);
	caller = connect_caller(&env, 0);
	CU_ASSERT(fails(ask(caller, "STARTUP added me"), "NODB"));
	close_caller(caller);
	standin_configure(env.standin, 9, "added");
	pause_ms(&env, 400);
	caller = open_session(&env, 0, "added");
	/* An older version changes nothing. */
	standin_configure(env.standin, 7, "board");
	pause_ms(&env, 400);
	close_caller(caller);
	caller = open_session(&env, 0, "added");
	close_caller(caller);
	close_env(&env);
}

/* Guards against writes that are acknowledged without a grant while the store
 * is unreachable, and against refusals in an outage that is shorter than the
 * life of the grants. */
static void test_outage(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, GATEWAYS);
	caller = open_session(&env, 0, "main");
	standin_store_refuse(env.standin, true);
	pause_ms(&env, 1900);
	CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x y")));
	pause_ms(&env, 2000);
	CU_ASSERT(fails(ask(caller, "QUERY 2 WRITE x y"), "BUSY"));
	standin_store_refuse(env.standin, false);
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 3 WRITE x y"));
	CU_ASSERT(standin_counts(env.standin).promotions == 0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a primary that no longer answers and is noticed only at the
 * time limit of a statement. This happened when the statement still waited for
 * the answer to a step that prepares the connection. */
static void test_silent(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	ask(caller, "QUERY 1 SET zone z1");
	standin_target_silence(env.standin, standin_primary(env.standin), true);
	CU_ASSERT(fails(ask(caller, "QUERY 2 WRITE x y"), "BUSY"));
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 3 WRITE x y"));
	CU_ASSERT(standin_counts(env.standin).promotions == 1);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a proxy that opens a connection for each statement at targets
 * that have no room for another connection. */
static void test_full(void)
{
	env_t env = { 0 };
	caller_t *callers[20];
	caller_t *caller;
	int round;
	size_t i;

	open_env(&env, 1);
	/* After this time the proxy may use its whole share of connections. */
	pause_ms(&env, POOL_STALE_CONNECTION_MS);
	standin_targets_full(env.standin, true);
	for (i = 0; i < STANDIN_TARGETS; i++)
		standin_target_reset(env.standin, (uint32_t)i);
	for (i = 0; i < 20; i++)
		callers[i] = open_session(&env, 0, "main");
	for (round = 0; round < 8; round++) {
		for (i = 0; i < 20; i++)
			evbuffer_add_printf(
				bufferevent_get_output(callers[i]->events),
				"QUERY 1 WRITE x y\r\n");
		pause_ms(&env, 350);
	}
	/* The first burst may find no room for all of its connections; after
	 * that, one attempt follows each backoff. */
	CU_ASSERT(standin_counts(env.standin).refused_connections > 0);
	CU_ASSERT(standin_counts(env.standin).refused_connections <=
		  20 + 2800 / POOL_BACKOFF_MAX_MS + 3);
	standin_targets_full(env.standin, false);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 2 WRITE x y"));
	CU_ASSERT(standin_counts(env.standin).promotions == 0);
	close_caller(caller);
	for (i = 0; i < 20; i++)
		close_caller(callers[i]);
	close_env(&env);
}

/* Guards against statements that a process refuses right after its start,
 * because it has not received its first grant yet. */
static void test_first_grant(void)
{
	env_t env = { 0 };
	caller_t *caller;
	int tries;

	open_env(&env, 1);
	gateway_free(env.gateways[0]);
	/* With a slow store, the grant arrives some time after the records. */
	standin_store_slow(env.standin, 60);
	start_gateway(&env, 0);
	for (tries = 0; tries < 200; tries++) {
		caller = connect_caller(&env, 0);
		if (strcmp(ask(caller, "STARTUP main me"), "READY I -|") == 0)
			break;
		close_caller(caller);
		pause_ms(&env, 5);
	}
	CU_ASSERT_FATAL(tries < 200);
	CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x y")));
	close_caller(caller);
	standin_store_slow(env.standin, 0);
	pause_ms(&env, 200);
	close_env(&env);
}

static void on_status(void *context, int status, const char *body, size_t size)
{
	(void)body;
	(void)size;
	*(int *)context = status;
}

static bool has_status(void *context)
{
	return *(int *)context >= 0;
}

/* Returns the HTTP status of the readiness probe. */
static int get_readiness(env_t *env, uint32_t gateway)
{
	const http_request_options_t options = {
		.address = "127.0.0.1",
		.port = (uint16_t)(caller_port(env, gateway) + 1),
		.method = HTTP_METHOD_GET,
		.path = PLATFORM_PATH_READY,
		.timeout_ms = 1000,
		.answer_max_bytes = 1000,
	};
	int status = -1;

	http_request_send(env->base, &options, on_status, &status);
	run_until(env, has_status, &status, WAIT_MAX_MS);
	return status;
}

/* Guards against a proxy that keeps its callers while it is cut off from both
 * the store and the other proxies, and against proxies that send their callers
 * away in an outage of the store that is the same for all. */
static void test_cut_off(void)
{
	env_t env = { 0 };
	caller_t *caller;

	open_env(&env, GATEWAYS);
	caller = open_session(&env, 1, "main");
	CU_ASSERT(get_readiness(&env, 1) == 200);
	standin_store_refuse(env.standin, true);
	pause_ms(&env, 5000);
	CU_ASSERT(get_readiness(&env, 1) == 200);
	CU_ASSERT(!caller->closed);
	gateway_free(env.gateways[0]);
	env.gateways[0] = NULL;
	pause_ms(&env, 2300);
	CU_ASSERT(get_readiness(&env, 1) == 503);
	pause_ms(&env, 2500);
	CU_ASSERT(caller->closed);
	close_caller(caller);
	standin_store_refuse(env.standin, false);
	pause_ms(&env, 1500);
	CU_ASSERT(get_readiness(&env, 1) == 200);
	close_env(&env);
}

/* Guards against a promotion by processes that have just started and do not
 * know the targets yet: removed entries may take two seconds to return. */
static void test_restart(void)
{
	env_t env = { 0 };
	caller_t *caller;
	uint32_t i;

	open_env(&env, GATEWAYS);
	for (i = 0; i < GATEWAYS; i++) {
		gateway_free(env.gateways[i]);
		env.gateways[i] = NULL;
	}
	standin_list_targets(env.standin, false);
	for (i = 0; i < GATEWAYS; i++)
		start_gateway(&env, i);
	pause_ms(&env, 1800);
	standin_list_targets(env.standin, true);
	pause_ms(&env, 200);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 1 WRITE x y"));
	CU_ASSERT(standin_counts(env.standin).fence_records == 0);
	CU_ASSERT(standin_counts(env.standin).promotions == 0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a promotion that waits for the longest life of a grant. Two
 * proxies have just restarted and have not observed the registrations for that
 * long, but a third one has passed its observations on to them. */
static void test_merged_observations(void)
{
	env_t env = { .grant_life_ms = 6000 };
	caller_t *caller;
	struct timespec begin;
	struct timespec end;

	open_env(&env, 3);
	pause_ms(&env, 6000);
	gateway_free(env.gateways[0]);
	gateway_free(env.gateways[1]);
	start_gateway(&env, 0);
	start_gateway(&env, 1);
	pause_ms(&env, 700);
	/* The third proxy ends without deregistration, and the primary with it.
	 */
	gateway_free(env.gateways[2]);
	env.gateways[2] = NULL;
	standin_target_stop(env.standin, standin_primary(env.standin));
	clock_gettime(CLOCK_MONOTONIC, &begin);
	caller = open_session(&env, 0, "main");
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 1 WRITE x y"));
	clock_gettime(CLOCK_MONOTONIC, &end);
	CU_ASSERT(standin_counts(env.standin).promotions == 1);
	/* The suspicion, the grants of 1.6 s, and a second for the rest. */
	CU_ASSERT(end.tv_sec - begin.tv_sec +
			  1e-9 * (double)(end.tv_nsec - begin.tv_nsec) <
		  3.0);
	close_caller(caller);
	close_env(&env);
}

/* Guards against calls to the store that grow with the number of proxies in a
 * failure domain, and against a proxy that fails with the one that reads the
 * store for it. */
static void test_shared_reader(void)
{
	env_t env = { .single_domain = true };
	caller_t *caller;
	uint32_t before;

	open_env(&env, 3);
	pause_ms(&env, 1500);
	before = standin_counts(env.standin).store_calls;
	pause_ms(&env, 6000);
	/* One read a second, and watches of 2, 3 and 6 s: 12 calls by one
	 * proxy, and a few more where the others do not share them. */
	CU_ASSERT(standin_counts(env.standin).store_calls - before <= 18);
	gateway_free(env.gateways[0]);
	env.gateways[0] = NULL;
	caller = open_session(&env, 1, "main");
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 1 WRITE x y"));
	pause_ms(&env, 2500);
	CU_ASSERT(succeeds(ask(caller, "QUERY 2 WRITE x y")));
	standin_configure(env.standin, 6, "added");
	pause_ms(&env, 3000);
	close_caller(caller);
	caller = open_session(&env, 2, "added");
	close_caller(caller);
	CU_ASSERT(standin_counts(env.standin).promotions == 0);
	close_env(&env);
}

/* Guards against proxies that each read the store themselves until a reader
 * that has ended is evicted. */
static void test_next_reader(void)
{
	env_t env = { .single_domain = true };
	uint32_t before;

	open_env(&env, 3);
	gateway_free(env.gateways[0]);
	env.gateways[0] = NULL;
	pause_ms(&env, 1000);
	before = standin_counts(env.standin).store_calls;
	pause_ms(&env, 4000);
	/* In 4 s one proxy reads the epoch 6 times and renews watches of 2, 3
	 * and 6 s 4 times; a third of that is added where the others do not
	 * share them. */
	CU_ASSERT(standin_counts(env.standin).store_calls - before <= 14);
	close_env(&env);
}

/* The grant that a voter lends to another proxy. */
typedef struct {
	env_t *env;
	clock_source_t clock;
	bool answered;
	/* Time before the request was sent, and the end of the grant counted
	 * from there, as a borrower does. */
	clock_ms_t asked_ms;
	clock_ms_t until_ms;
} lent_t;

static void on_lent(void *context, int status, const char *body, size_t size)
{
	lent_t *lent = context;
	json_t *answer = json_loadb(body, size, 0, NULL);
	json_int_t term = 0;
	json_int_t left_ms = 0;

	CU_ASSERT(status == 200);
	CU_ASSERT(json_unpack(answer, "{s:{s:[I,I]}}", "terms", "s1", &term,
			      &left_ms) == 0);
	CU_ASSERT(left_ms > 0);
	lent->answered = true;
	lent->until_ms = lent->asked_ms + left_ms;
	json_decref(answer);
}

static bool is_answered(void *context)
{
	return ((lent_t *)context)->answered;
}

static bool has_stopped(void *context)
{
	return standin_store_get(((lent_t *)context)->env->standin,
				 "hornbeamtack/stop/s1/g0") != NULL;
}

/* Guards against a voter that reports its stop while another proxy still acts
 * on the grants that it has lent. */
static void test_lent_grants(void)
{
	env_t env = { .single_domain = true };
	lent_t lent = { .env = &env, .clock = clock_source_boot() };
	http_request_options_t request = {
		.address = "127.0.0.1",
		.method = HTTP_METHOD_GET,
		.path = "/v1/lent",
		.timeout_ms = 1000,
		.answer_max_bytes = 1000,
	};
	char record[512];
	char *fence;

	open_env(&env, 1);
	/* After its start, a proxy reports no stop for the time of a promise,
	 * which would hide a report that is too early. */
	pause_ms(&env, GRANT_PROMISE_MS);
	request.port = (uint16_t)(caller_port(&env, 0) + 2);
	lent.asked_ms = clock_source_now(&lent.clock);
	CU_ASSERT(http_request_send(env.base, &request, on_lent, &lent) !=
		  NULL);
	CU_ASSERT(run_until(&env, is_answered, &lent, WAIT_MAX_MS));
	snprintf(record, sizeof(record), "%s",
		 standin_store_get(env.standin, "hornbeamtack/group/s1"));
	fence = strstr(record, "\"fence\":0");
	CU_ASSERT_FATAL(fence != NULL);
	if (fence)
		fence[strlen("\"fence\":")] = '7';
	standin_store_put(env.standin, "hornbeamtack/group/s1", record);
	CU_ASSERT(run_until(&env, has_stopped, &lent, WAIT_MAX_MS));
	CU_ASSERT(clock_source_now(&lent.clock) >= lent.until_ms);
	close_env(&env);
}

/* Guards against proxies that all write the first record of a group, so that
 * all writes but one fail with a conflict. */
static void test_adoption(void)
{
	env_t env = { 0 };

	open_env(&env, 3);
	CU_ASSERT(standin_counts(env.standin).conflicts == 0);
	close_env(&env);
}

/* Guards against a call by each proxy for each of many configurations that
 * follow each other closely, and against proxies that miss the last one. */
static void test_configuration_burst(void)
{
	env_t env = { .single_domain = true };
	caller_t *caller;
	clock_source_t clock = clock_source_boot();
	clock_ms_t begun_ms;
	clock_ms_t lasted_ms;
	uint32_t before;
	uint64_t version;

	open_env(&env, 2);
	begun_ms = clock_source_now(&clock);
	before = standin_counts(env.standin).store_calls;
	for (version = 10; version < 30; version++) {
		standin_configure(env.standin, version, "old");
		pause_ms(&env, 50);
	}
	standin_configure(env.standin, version, "last");
	pause_ms(&env, 400);
	lasted_ms = clock_source_now(&clock) - begun_ms;
	/* The reader starts a watch every 200 ms; twice as many calls are
	 * allowed where the other proxy does not share them. The epoch is read
	 * every 700 ms, and 4 calls are for the other watches. */
	CU_ASSERT(standin_counts(env.standin).store_calls - before <=
		  2 * (lasted_ms / 200) + lasted_ms / 700 + 4);
	caller = open_session(&env, 1, "last");
	close_caller(caller);
	close_env(&env);
}

/* Guards against a new watch for each of many changes of the records, as when
 * hundreds of proxies start together. */
static void test_record_burst(void)
{
	env_t env = { .single_domain = true };
	clock_source_t clock = clock_source_boot();
	clock_ms_t begun_ms;
	clock_ms_t lasted_ms;
	char key[64];
	uint32_t before;
	uint32_t i;

	open_env(&env, 2);
	begun_ms = clock_source_now(&clock);
	before = standin_counts(env.standin).store_calls;
	for (i = 0; i < 200; i++) {
		snprintf(key, sizeof(key), "hornbeamtack/other/%u", i % 10);
		standin_store_put(env.standin, key, "{}");
		pause_ms(&env, 5);
	}
	lasted_ms = clock_source_now(&clock) - begun_ms;
	/* Each proxy starts a watch every 50 ms, and makes ten other calls a
	 * second. */
	CU_ASSERT(standin_counts(env.standin).store_calls - before <=
		  2 * (lasted_ms / 50 + lasted_ms / 100));
	close_env(&env);
}

/* Guards against changes that are repeated in each tick while the store refuses
 * them. With 118 proxies these were most calls of a day. */
static void test_refused(void)
{
	env_t env = { 0 };
	uint32_t before;

	open_env(&env, GATEWAYS);
	standin_store_refuse(env.standin, true);
	standin_target_stop(env.standin, standin_primary(env.standin));
	pause_ms(&env, 500);
	before = standin_counts(env.standin).store_calls;
	pause_ms(&env, 3000);
	/* In 3 s a proxy writes its suspicion 12 times, and reads the epoch 5
	 * times and each of three mirrors 4 times, each of these both directly
	 * and through a relay. */
	CU_ASSERT(standin_counts(env.standin).store_calls - before <=
		  GATEWAYS * (12 + 2 * (5 + 3 * 4)));
	standin_store_refuse(env.standin, false);
	close_env(&env);
}

/* Guards against a connection that has no room for another prepared statement
 * and therefore prepares the same statement again and again. */
static void test_prepared_limit(void)
{
	env_t env = { 0 };
	caller_t *caller;
	char line[64];
	int i;

	open_env(&env, 1);
	caller = open_session(&env, 0, "main");
	for (i = 0; i < 600; i++) {
		snprintf(line, sizeof(line), "QUERY 1 PREPARE s READ q%d", i);
		ask(caller, line);
		CU_ASSERT(succeeds(ask(caller, "QUERY 2 EXECUTE s x")));
	}
	close_caller(caller);
	close_env(&env);
}

/* Runs the script that operators use on a failed statement; text gets its
 * output. */
static void run_follow_failure(const char *id, const char *path, char *text,
			       size_t size)
{
	char command[512];
	FILE *pipe;
	size_t used;

	snprintf(command, sizeof(command), "bash %s %s %s 2>&1",
		 getenv("FOLLOW_FAILURE"), id, path);
	pipe = popen(command, "r");
	CU_ASSERT_FATAL(pipe != NULL);
	used = fread(text, 1, size - 1, pipe);
	text[used] = '\0';
	pclose(pipe);
}

/* Sends a write and stops its target before the answer. */
static void interrupt_write(env_t *env, caller_t *caller)
{
	standin_targets_slow(env->standin, 400);
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "QUERY lost1 WRITE x y\r\n");
	pause_ms(env, 100);
	standin_target_stop(env->standin, standin_primary(env->standin));
	pause_ms(env, 100);
	standin_targets_slow(env->standin, 0);
}

/* Sends a read while replicas lag behind and the primary is slower than the
 * latency objective allows. */
static void delay_read(env_t *env, caller_t *caller)
{
	caller_t *others[40];
	size_t i;

	standin_replicas_lag(env->standin, true);
	CU_ASSERT(ask_until_done(env, caller, "QUERY 1 WRITE x y"));
	standin_targets_slow(env->standin, 700);
	for (i = 0; i < 40; i++) {
		others[i] = open_session(env, 0, "main");
		evbuffer_add_printf(bufferevent_get_output(others[i]->events),
				    "QUERY other%zu READ x\r\n", i);
	}
	pause_ms(env, 50);
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "QUERY lag1 READ x\r\n");
	pause_ms(env, 1500);
	standin_targets_slow(env->standin, 0);
	for (i = 0; i < 40; i++)
		close_caller(others[i]);
}

/* Sends a read while more slow statements wait than there are connections. */
static void overload_targets(env_t *env, caller_t *caller)
{
	caller_t *others[60];
	size_t i;

	standin_targets_slow(env->standin, 700);
	for (i = 0; i < 60; i++) {
		others[i] = open_session(env, 0, "main");
		evbuffer_add_printf(bufferevent_get_output(others[i]->events),
				    "QUERY other%zu READ x\r\n", i);
	}
	pause_ms(env, 50);
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "QUERY over1 READ x\r\n");
	pause_ms(env, 1500);
	standin_targets_slow(env->standin, 0);
	for (i = 0; i < 60; i++)
		close_caller(others[i]);
}

/* Guards against a failed statement whose cause the log does not show. */
static void test_failure_log(void)
{
	static const struct {
		const char *id;
		const char *database;
		void (*fail)(env_t *env, caller_t *caller);
		const char *reason;
		const char *cause;
	} rows[] = {
		{ "lost1", "main", interrupt_write,
		  "outcome=unknown reason=\"connection to the target lost\"",
		  "event=target-unreachable" },
		{ "lag1", "own", delay_read,
		  "outcome=busy reason=\"no connection in time\"",
		  "event=term-in-force" },
		{ "over1", "main", overload_targets,
		  "outcome=busy reason=\"no connection in time\"", "waiting=" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char path[] = "/tmp/hornbeamtack-log-XXXXXX";
		FILE *file = fdopen(mkstemp(path), "w");
		env_t env = { 0 };
		caller_t *caller;
		char text[16384];

		env.log = log_sink_new(file, LOG_LEVEL_INFO, "g");
		open_env(&env, 1);
		caller = open_session(&env, 0, rows[i].database);
		rows[i].fail(&env, caller);
		pause_ms(&env, 700);
		run_follow_failure(rows[i].id, path, text, sizeof(text));
		CHECK_ROW(strstr(text, rows[i].reason) != NULL, rows[i].id);
		CHECK_ROW(strstr(text, rows[i].cause) != NULL, rows[i].id);
		close_caller(caller);
		close_env(&env);
		log_sink_free(env.log);
		fclose(file);
		unlink(path);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "calm", test_calm },
		{ "failover", test_failover },
		{ "transaction_connection", test_transaction_connection },
		{ "outcomes", test_outcomes },
		{ "staleness", test_staleness },
		{ "deregistration", test_deregistration },
		{ "drain", test_drain },
		{ "configuration", test_configuration },
		{ "outage", test_outage },
		{ "silent", test_silent },
		{ "full", test_full },
		{ "first_grant", test_first_grant },
		{ "cut_off", test_cut_off },
		{ "restart", test_restart },
		{ "merged_observations", test_merged_observations },
		{ "shared_reader", test_shared_reader },
		{ "next_reader", test_next_reader },
		{ "lent_grants", test_lent_grants },
		{ "adoption", test_adoption },
		{ "configuration_burst", test_configuration_burst },
		{ "record_burst", test_record_burst },
		{ "refused", test_refused },
		{ "prepared_limit", test_prepared_limit },
		{ "failure_log", test_failure_log },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway", cases, sizeof(cases) / sizeof(cases[0]));
}
