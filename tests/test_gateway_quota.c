#include "gateway_env.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "libhttp/http.h"

/* The limit of tenant a, and what the settings of the gateways allow beyond it.
 * Tenant b has no limit. */
#define RATE_PER_S 10
#define BURST 10
#define WINDOW_MS 5000
/* (10 x 5 + 10) x 1.1 + 20. */
#define WINDOW_MAX 86
#define CONFIGURATION                                                 \
	"{\"version\":6,\"routes\":["                                 \
	"{\"host\":\"main\",\"type\":\"primary\",\"service\":\"s1\"," \
	"\"timeout_ms\":1000,\"target_latency_ms\":300}],"            \
	"\"services\":[{\"name\":\"s1\",\"max_connections\":8,"       \
	"\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000},"     \
	"\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"key-a\"],"      \
	"\"rate_per_s\":10,\"burst\":10},"                            \
	"{\"name\":\"b\",\"api_keys\":[\"key-b\"]}]}"
#define RUNS_MAX 4096

/* Operations of tenant a: when each one ran, and those refused. */
typedef struct {
	clock_ms_t runs[RUNS_MAX];
	size_t run_count;
	uint32_t refused;
} load_t;

static clock_ms_t now_ms(void)
{
	const clock_source_t clock = clock_source_boot();

	return clock_source_now(&clock);
}

static void open_limited_env(env_t *env)
{
	env->limits_tenants = true;
	open_env(env, GATEWAYS);
	standin_store_put(env->standin, "op/config", CONFIGURATION);
	pause_ms(env, 100);
}

static caller_t *start_session(env_t *env, uint32_t gateway,
			       const char *startup)
{
	caller_t *caller = connect_caller(env, gateway);

	CU_ASSERT_STRING_EQUAL(ask(caller, startup), "READY I -|");
	return caller;
}

/* Sends operations of a session, far more than the limit allows. A refusal is
 * one that promises that nothing ran, and is given at once or after the longest
 * wait for a lender. */
static void press(load_t *load, caller_t *caller)
{
	clock_ms_t asked_ms = now_ms();
	const char *answer = ask(caller, "QUERY 1 READ x alone");

	if (succeeds(answer)) {
		if (load->run_count < RUNS_MAX)
			load->runs[load->run_count++] = now_ms();
		return;
	}
	CU_ASSERT(fails(answer, "BUSY"));
	CU_ASSERT(now_ms() < asked_ms + 600);
	load->refused++;
}

static void press_for(load_t *load, caller_t **callers, size_t count,
		      clock_ms_t duration_ms)
{
	clock_ms_t end_ms = now_ms() + duration_ms;
	size_t i;

	while (now_ms() < end_ms) {
		for (i = 0; i < count; i++)
			press(load, callers[i]);
		pause_ms(callers[0]->env, 5);
	}
}

static size_t worst_window(const load_t *load)
{
	size_t begin = 0;
	size_t worst = 0;
	size_t i;

	for (i = 0; i < load->run_count; i++) {
		while (load->runs[begin] <= load->runs[i] - WINDOW_MS)
			begin++;
		if (i - begin + 1 > worst)
			worst = i - begin + 1;
	}
	return worst;
}

/* Guards against a tenant that exceeds its limit over two proxies, or that gets
 * only a part of it, and against a limit that another tenant feels. */
static void test_limit(void)
{
	env_t env = { 0 };
	load_t *load = check_allocate(sizeof(*load));
	caller_t *callers[2];
	caller_t *other;
	uint32_t i;

	open_limited_env(&env);
	callers[0] = start_session(&env, 0, "STARTUP main key-a");
	callers[1] = start_session(&env, 1, "STARTUP main key-a");
	other = start_session(&env, 1, "STARTUP main key-b");
	for (i = 0; i < 7; i++) {
		press_for(load, callers, 2, 1000);
		CU_ASSERT(succeeds(ask(other, "QUERY 1 READ x alone")));
	}
	CU_ASSERT(load->refused > 0);
	CU_ASSERT(worst_window(load) <= WINDOW_MAX);
	/* Nine tenths of the rate, without the burst. */
	CU_ASSERT(load->run_count >= 7 * RATE_PER_S * 9 / 10);
	for (i = 0; i < 2; i++)
		close_caller(callers[i]);
	close_caller(other);
	close_env(&env);
	free(load);
}

/* Statements that the proxy answers itself have no rows. */
static bool is_done(const char *answer)
{
	return strncmp(answer, "COMPLETE -|", 11) == 0;
}

/* Guards against a transaction that counts for each of its statements, and
 * against one that is refused in the middle. */
static void test_transaction(void)
{
	env_t env = { 0 };
	caller_t *caller;
	uint32_t i;
	uint32_t done = 0;

	open_limited_env(&env);
	/* The buckets of both parts have half of the burst by then. */
	pause_ms(&env, 1500);
	caller = start_session(&env, 0, "STARTUP main key-a");
	for (i = 0; i < 120; i++) {
		uint32_t k;

		CU_ASSERT(is_done(ask(caller, "QUERY 1 BEGIN")));
		if (!succeeds(ask(caller, "QUERY 2 READ x inside"))) {
			CU_ASSERT(is_done(ask(caller, "QUERY 9 ROLLBACK")));
			continue;
		}
		for (k = 0; k < 10; k++)
			CU_ASSERT(
				succeeds(ask(caller, "QUERY 3 READ x inside")));
		CU_ASSERT(succeeds(ask(caller, "QUERY 4 COMMIT")));
		done++;
	}
	CU_ASSERT(done >= BURST / 2);
	CU_ASSERT(done <= WINDOW_MAX);
	close_caller(caller);
	close_env(&env);
}

/* Guards against a proxy that has a fresh burst after a restart, and against a
 * limit of which nothing is lent after it. */
static void test_restart(void)
{
	env_t env = { 0 };
	load_t *load = check_allocate(sizeof(*load));
	caller_t *callers[2];
	size_t before;
	uint32_t i;

	open_limited_env(&env);
	callers[0] = start_session(&env, 0, "STARTUP main key-a");
	press_for(load, callers, 1, 1000);
	for (i = 0; i < 3; i++) {
		gateway_free(env.gateways[1]);
		start_gateway(&env, 1);
		press_for(load, callers, 1, 1500);
	}
	callers[1] = start_session(&env, 1, "STARTUP main key-a");
	before = load->run_count;
	press_for(load, callers, 2, 4000);
	CU_ASSERT(worst_window(load) <= WINDOW_MAX);
	CU_ASSERT(load->run_count - before >= 4 * RATE_PER_S * 7 / 10);
	for (i = 0; i < 2; i++)
		close_caller(callers[i]);
	close_env(&env);
	free(load);
}

typedef struct {
	bool ended;
	int status;
} reply_t;

static void on_reply(void *context, int status, const char *body, size_t size)
{
	reply_t *reply = context;

	(void)body;
	(void)size;
	reply->status = status;
	reply->ended = true;
}

static bool has_reply(void *context)
{
	return ((const reply_t *)context)->ended;
}

/* Guards against a malformed message of a peer that ends the process or its
 * lending. */
static void test_malformed(void)
{
	static const char *const rows[] = {
		"",
		"{",
		"{}",
		"[]",
		"[7,[],[7],[\"a\",\"b\",\"c\"],[\"a\",-1,5],[\"a\",99,5]]",
		"[[\"a\",0,-5],[\"a\",0,1e300],[\"none\",0,5],[\"b\",0,5]]",
		"[[\"\",0,5],[null,null,null]]",
	};
	env_t env = { 0 };
	caller_t *caller;
	size_t i;

	open_limited_env(&env);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const http_request_options_t options = {
			.address = "127.0.0.1",
			.port = (uint16_t)(caller_port(&env, 0) + 2),
			.method = HTTP_METHOD_POST,
			.path = "/v1/quota",
			.body = rows[i],
			.timeout_ms = 1000,
			.answer_max_bytes = 65536,
		};
		reply_t reply = { 0 };

		CU_ASSERT(http_request_send(env.base, &options, on_reply,
					    &reply) != NULL);
		CHECK_ROW(run_until(&env, has_reply, &reply, 2000) &&
				  reply.status == 200,
			  rows[i]);
	}
	pause_ms(&env, 1000);
	caller = start_session(&env, 0, "STARTUP main key-a");
	CU_ASSERT(succeeds(ask(caller, "QUERY 1 READ x alone")));
	close_caller(caller);
	close_env(&env);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "limit", test_limit },
		{ "transaction", test_transaction },
		{ "restart", test_restart },
		{ "malformed", test_malformed },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("gateway_quota", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
