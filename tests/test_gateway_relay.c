#include "gateway_env.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "librelay/relay.h"

/* Three proxies before targets of 4 connections: two are left for probes, and
 * an owner has one. */
#define PROXIES 3
#define CONNECTIONS 4

static uint32_t primary_owner(const env_t *env, uint32_t rank)
{
	static const char *const names[PROXIES] = { "g0", "g1", "g2" };
	relay_candidate_t candidates[PROXIES];
	size_t owners[RELAY_OWNERS];
	char target[16];
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		candidates[i] = (relay_candidate_t){ .name = names[i] };
	snprintf(target, sizeof(target), "i-%u", standin_primary(env->standin));
	relay_owners_find(candidates, PROXIES, target, owners);
	return (uint32_t)owners[rank];
}

/* Returns a proxy that does not own the connections to the primary. */
static uint32_t borrower(const env_t *env)
{
	return 3 - primary_owner(env, 0) - primary_owner(env, 1);
}

static void open_relays(env_t *env)
{
	env->single_domain = true;
	env->relay_connections = CONNECTIONS;
	open_env(env, PROXIES);
	/* The first proxy may have connected before the others started. */
	pause_ms(env, 300);
}

static void end_gateway(env_t *env, uint32_t index)
{
	gateway_free(env->gateways[index]);
	env->gateways[index] = NULL;
}

/* Guards against connections that a target refuses as over its limit, which no
 * proxy of a group with fewer connections than proxies may cause. */
static void test_lending(void)
{
	env_t env = { 0 };
	caller_t *callers[PROXIES];
	standin_counts_t before;
	uint32_t round;
	uint32_t i;

	open_relays(&env);
	before = standin_counts(env.standin);
	for (i = 0; i < PROXIES; i++)
		callers[i] = open_session(&env, i, "own");
	for (round = 0; round < 30; round++) {
		for (i = 0; i < PROXIES; i++) {
			CU_ASSERT(
				succeeds(ask(callers[i], "QUERY 1 WRITE x y")));
			CU_ASSERT(succeeds(ask(callers[i], "QUERY 2 READ x")));
		}
	}
	CU_ASSERT(standin_counts(env.standin).refused_connections ==
		  before.refused_connections);
	for (i = 0; i < PROXIES; i++)
		close_caller(callers[i]);
	close_env(&env);
}

/* Guards against session values and transactions of one caller that meet the
 * next borrower of a connection. */
static void test_clean_loans(void)
{
	env_t env = { 0 };
	caller_t *callers[PROXIES];
	standin_counts_t counts;
	uint32_t round;
	uint32_t i;

	open_relays(&env);
	for (i = 0; i < PROXIES; i++)
		callers[i] = open_session(&env, i, "main");
	ask(callers[0], "QUERY 1 SET zone z1");
	for (round = 0; round < 10; round++) {
		CU_ASSERT(succeeds(ask(callers[0], "QUERY 2 WRITE x valued")));
		CU_ASSERT(succeeds(ask(callers[1], "QUERY 3 WRITE x plain")));
		ask(callers[2], "QUERY 4 BEGIN");
		CU_ASSERT(succeeds(
			ask(callers[2], "QUERY 5 WRITE x inside plain")));
		/* Left open on odd rounds, whose caller leaves. */
		if (round % 2 == 0) {
			CU_ASSERT(succeeds(ask(callers[2], "QUERY 6 COMMIT")));
			continue;
		}
		close_caller(callers[2]);
		CU_ASSERT(succeeds(ask(callers[1], "QUERY 7 WRITE x plain")));
		callers[2] = open_session(&env, 2, "main");
	}
	counts = standin_counts(env.standin);
	CU_ASSERT(counts.wrong_session_values == 0);
	CU_ASSERT(counts.values_left == 0);
	CU_ASSERT(counts.statements_without_begin == 0);
	CU_ASSERT(counts.statements_within_another == 0);
	for (i = 0; i < PROXIES; i++)
		close_caller(callers[i]);
	close_env(&env);
}

/* Guards against borrowers that stay without connections when the owner has
 * left, or drains. */
static void test_owner_leaves(void)
{
	uint32_t drains;

	for (drains = 0; drains < 2; drains++) {
		env_t env = { 0 };
		caller_t *caller;
		uint32_t owner;

		open_relays(&env);
		owner = primary_owner(&env, 0);
		caller = open_session(&env, borrower(&env), "main");
		CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x y")));
		ask(caller, "QUERY 2 BEGIN");
		CU_ASSERT(succeeds(ask(caller, "QUERY 3 WRITE x inside")));
		if (drains) {
			gateway_drain(env.gateways[owner]);
			/* The loan in progress goes on. */
			CU_ASSERT(succeeds(ask(caller, "QUERY 4 COMMIT")));
		} else {
			end_gateway(&env, owner);
			CU_ASSERT(fails(ask(caller, "QUERY 4 COMMIT"),
					"ABORTED") ||
				  fails(caller->answer, "INDOUBT"));
		}
		CU_ASSERT(ask_until_done(&env, caller, "QUERY 5 WRITE x y"));
		/* A new owner has a connection of its own by then. */
		pause_ms(&env, 2000);
		CU_ASSERT(ask_until_done(&env, caller, "QUERY 6 WRITE x y"));
		close_caller(caller);
		close_env(&env);
	}
}

/* What is in progress when the owner is lost, and what the caller is told. */
typedef struct {
	const char *name;
	const char *begin;
	const char *before;
	/* Statement in progress. */
	const char *line;
	const char *answer;
} moment_t;

/* Guards against a lost link that is taken for a statement that has not run, or
 * after which a statement runs again. */
static void test_owner_lost(void)
{
	/* The backup has no connections of its own here: what has not run is
	 * refused. */
	static const moment_t moments[] = {
		{ "single read", NULL, NULL, "QUERY 1 READ x", "BUSY" },
		{ "single write", NULL, NULL, "QUERY 1 WRITE x y", "INDOUBT" },
		{ "begin of a transaction", "QUERY 1 BEGIN", NULL,
		  "QUERY 2 WRITE x inside", "BUSY" },
		{ "read of a transaction", "QUERY 1 BEGIN",
		  "QUERY 2 READ x inside", "QUERY 3 READ x inside", "ABORTED" },
		{ "write of a transaction", "QUERY 1 BEGIN",
		  "QUERY 2 READ x inside", "QUERY 3 WRITE x inside",
		  "ABORTED" },
		{ "commit of a write", "QUERY 1 BEGIN",
		  "QUERY 2 WRITE x inside", "QUERY 3 COMMIT", "INDOUBT" },
		{ "commit of a read", "QUERY 1 BEGIN", "QUERY 2 READ x inside",
		  "QUERY 3 COMMIT", "ABORTED" },
	};
	size_t i;

	for (i = 0; i < sizeof(moments) / sizeof(moments[0]); i++) {
		const moment_t *moment = &moments[i];
		env_t env = { 0 };
		caller_t *caller;
		uint32_t commits;

		open_relays(&env);
		caller = open_session(&env, borrower(&env), "main");
		CU_ASSERT(succeeds(ask(caller, "QUERY 0 WRITE x y")));
		if (moment->begin)
			ask(caller, moment->begin);
		if (moment->before)
			CHECK_ROW(succeeds(ask(caller, moment->before)),
				  moment->name);
		commits = standin_counts(env.standin).commits;
		/* The answer is lost on its way. */
		standin_targets_slow(env.standin, 300);
		caller->answer[0] = '\0';
		caller->answered = false;
		evbuffer_add_printf(bufferevent_get_output(caller->events),
				    "%s\r\n", moment->line);
		pause_ms(&env, 150);
		standin_targets_slow(env.standin, 0);
		end_gateway(&env, primary_owner(&env, 0));
		run_until(&env, has_answer, caller, WAIT_MAX_MS);
		CHECK_ROW(fails(caller->answer, moment->answer), moment->name);
		pause_ms(&env, 400);
		CHECK_ROW(standin_counts(env.standin).commits <= commits + 1,
			  moment->name);
		CHECK_ROW(strcmp(moment->answer, "INDOUBT") == 0 ||
				  standin_counts(env.standin).commits ==
					  commits,
			  moment->name);
		close_caller(caller);
		close_env(&env);
	}
}

/* Guards against an operation that waits until its deadline when the owner has
 * no connection to lend, and against one that is never served again. */
static void test_no_room(void)
{
	env_t env = { 0 };
	caller_t *holder;
	caller_t *caller;
	uint32_t tries;

	open_relays(&env);
	holder = open_session(&env, primary_owner(&env, 0), "main");
	caller = open_session(&env, borrower(&env), "main");
	ask(holder, "QUERY 1 BEGIN");
	CU_ASSERT(succeeds(ask(holder, "QUERY 2 WRITE x inside")));
	for (tries = 0; tries < 3; tries++)
		CU_ASSERT(fails(ask(caller, "QUERY 3 WRITE x y"), "BUSY"));
	CU_ASSERT(succeeds(ask(holder, "QUERY 4 COMMIT")));
	CU_ASSERT(ask_until_done(&env, caller, "QUERY 5 WRITE x y"));
	close_caller(holder);
	close_caller(caller);
	close_env(&env);
}

static void on_peer_event(struct bufferevent *events, short what, void *context)
{
	caller_t *peer = context;

	(void)events;
	if (!(what & BEV_EVENT_CONNECTED))
		peer->closed = true;
}

/* Guards against a peer that sends malformed frames and takes the process down,
 * or a loan with it. */
static void test_malformed_peer(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
	} rows[] = {
		{ "unknown kind", "\x09\0\0\x02{}", 6 },
		{ "no loan", "\x04\0\0\x01x", 5 },
		{ "return without a loan", "\x05\0\0\x02{}", 6 },
		{ "long frame", "\x04\xff\xff\xff", 4 },
		{ "no JSON", "\x01\0\0\x02x{", 6 },
		{ "frame of an owner", "\x02\0\0\x02{}", 6 },
		{ "text", "QUERY 1 READ x\r\n", 16 },
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;

	open_relays(&env);
	caller = open_session(&env, borrower(&env), "main");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct sockaddr_in address = {
			.sin_family = AF_INET,
			.sin_port =
				htons(relay_port(&env, primary_owner(&env, 0)))
		};
		struct bufferevent *events = bufferevent_socket_new(
			env.base, -1, BEV_OPT_CLOSE_ON_FREE);
		caller_t peer = { .env = &env };

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bufferevent_setcb(events, NULL, NULL, on_peer_event, &peer);
		bufferevent_enable(events, EV_READ | EV_WRITE);
		bufferevent_socket_connect(events, (struct sockaddr *)&address,
					   sizeof(address));
		bufferevent_write(events, rows[i].bytes, rows[i].size);
		run_until(&env, has_answer, &peer, 2000);
		CHECK_ROW(peer.closed, rows[i].name);
		bufferevent_free(events);
		CHECK_ROW(succeeds(ask(caller, "QUERY 1 WRITE x y")),
			  rows[i].name);
	}
	close_caller(caller);
	close_env(&env);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "lending", test_lending },
		{ "clean loans", test_clean_loans },
		{ "owner leaves", test_owner_leaves },
		{ "owner lost", test_owner_lost },
		{ "no room", test_no_room },
		{ "malformed peer", test_malformed_peer },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_relay", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
