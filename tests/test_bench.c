#include "check.h"

#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libbench/bench.h"
#include "libhttp/http.h"

#define PORT_FIRST 30900
#define PORTS 50
#define PROXY_COUNT 2

typedef enum {
	FAULT_NONE,
	FAULT_STALE,
	FAULT_MIXED,
	FAULT_TOO_OLD,
	FAULT_NO_AGE,
	FAULT_UNKNOWN_DONE,
	FAULT_UNKNOWN_CANCELLED,
	FAULT_UNKNOWN_REFUSED,
	FAULT_REFUSED,
	FAULT_NOT_JSON,
	FAULT_SILENT,
} fault_t;

/* A proxy that answers from one table of records. */
typedef struct {
	fault_t fault;
	struct event_base *base;
	json_t *records;
	json_int_t position;
	uint64_t outcomes;
} proxy_t;

/* The statements of the test are "<id> <value>" and "<id>". */
static bool split(const char *statement, char *id, char *value, size_t size)
{
	const char *blank = strchr(statement, ' ');

	snprintf(id, size, "%.*s",
		 (int)(blank ? blank - statement : (long)strlen(statement)),
		 statement);
	snprintf(value, size, "%s", blank ? blank + 1 : "");
	return blank != NULL;
}

static json_t *done_write(proxy_t *proxy)
{
	return json_pack("{s:s, s:s, s:i, s:I, s:[], s:s}", "outcome", "done",
			 "served_by", "primary", "term", 1, "position",
			 ++proxy->position, "rows", "token", "token");
}

static json_t *answer_read(proxy_t *proxy, const char *id, bool age_stated)
{
	json_t *value = json_object_get(proxy->records, id);
	json_t *answer = json_pack("{s:s, s:s, s:[]}", "outcome", "done",
				   "served_by", "replica", "rows");
	char text[160];

	snprintf(text, sizeof(text), "%s",
		 value ? json_string_value(value) : "");
	if (proxy->fault == FAULT_STALE)
		snprintf(text, sizeof(text), "%s:0:0", id);
	else if (proxy->fault == FAULT_MIXED)
		snprintf(text, sizeof(text), "other:1:0");
	if (*text != '\0')
		json_array_append_new(json_object_get(answer, "rows"),
				      json_pack("[s]", text));
	if (age_stated && proxy->fault != FAULT_NO_AGE)
		json_object_set_new(answer, "age_ms",
				    json_integer(proxy->fault == FAULT_TOO_OLD
							 ? 1001
							 : 1000));
	return answer;
}

static json_t *answer_write(proxy_t *proxy, const char *id, const char *value)
{
	switch (proxy->fault) {
	case FAULT_UNKNOWN_DONE:
	case FAULT_UNKNOWN_CANCELLED:
	case FAULT_UNKNOWN_REFUSED:
		return json_pack("{s:s, s:s}", "outcome", "unknown", "reason",
				 "not-confirmed");
	case FAULT_REFUSED:
		return json_pack("{s:s, s:s}", "outcome", "not-run", "reason",
				 "no-primary");
	default:
		break;
	}
	json_object_set_new(proxy->records, id, json_string(value));
	return done_write(proxy);
}

static json_t *answer_outcome(proxy_t *proxy)
{
	proxy->outcomes++;
	if (proxy->fault == FAULT_UNKNOWN_DONE)
		return done_write(proxy);
	return json_pack("{s:s, s:s}", "outcome", "not-run", "reason",
			 proxy->fault == FAULT_UNKNOWN_REFUSED &&
					 proxy->outcomes % 2 == 1
				 ? "no-primary"
				 : "cancelled");
}

static void on_exchange(void *context, http_exchange_t *exchange)
{
	proxy_t *proxy = context;
	char text[256];
	char id[128];
	char value[128];
	json_t *body;
	json_t *answer;

	if (proxy->fault == FAULT_SILENT)
		return;
	if (proxy->fault == FAULT_NOT_JSON) {
		http_exchange_reply(exchange, 200, "text/plain", "{\"outcome");
		return;
	}
	body = http_exchange_json(exchange, text, sizeof(text));
	if (strcmp(http_exchange_path(exchange), "/v1/outcome") == 0) {
		answer = answer_outcome(proxy);
	} else if (split(json_string_value(json_object_get(body, "statement")),
			 id, value, sizeof(id))) {
		answer = answer_write(proxy, id, value);
	} else {
		answer = answer_read(proxy, id,
				     json_object_get(body, "max_age_ms"));
	}
	json_decref(body);
	http_exchange_reply_json(exchange, 200, answer);
}

/* Serves both ports in one process, as proxies of one deployment do. */
static void serve(fault_t fault, uint16_t port, int ready)
{
	proxy_t proxy = { .fault = fault,
			  .base = event_base_new(),
			  .records = json_object() };
	uint16_t i;

	for (i = 0; i < PROXY_COUNT; i++) {
		http_options_t options = { .address = "127.0.0.1",
					   .port = (uint16_t)(port + i),
					   .body_max_bytes = 65536,
					   .headers_max_bytes = 16384,
					   .idle_ms = 60000 };

		if (!http_server_new(proxy.base, &options, on_exchange, &proxy))
			_exit(1);
	}
	if (write(ready, "r", 1) == 1)
		event_base_dispatch(proxy.base);
	_exit(0);
}

/* Returns the first of two ports that a new process serves. */
static uint16_t start(fault_t fault, pid_t *pid)
{
	uint16_t port;

	for (port = PORT_FIRST; port < PORT_FIRST + PORTS;
	     port += PROXY_COUNT) {
		int ready[2];
		char byte;
		bool started;

		CU_ASSERT_FATAL(pipe(ready) == 0);
		*pid = fork();
		CU_ASSERT_FATAL(*pid >= 0);
		if (*pid == 0) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			close(ready[0]);
			serve(fault, port, ready[1]);
		}
		close(ready[1]);
		started = read(ready[0], &byte, 1) == 1;
		close(ready[0]);
		if (started)
			return port;
		waitpid(*pid, NULL, 0);
	}
	CU_FAIL_FATAL("no free port");
	return 0;
}

static bench_options_t options_for(uint16_t port)
{
	bench_options_t options = {
		.duration_ms = 20000,
		.concurrency = 4,
		.requests_max = 60,
		.reads_percent = 40,
		.own_reads_percent = 50,
		.max_age_ms = 1000,
		.deadline_ms = 200,
		.insert = "%id %value",
		.write = "%id %value",
		.read = "%id",
	};
	char proxies[64];

	snprintf(proxies, sizeof(proxies), "127.0.0.1:%u,127.0.0.1:%u", port,
		 port + 1);
	CU_ASSERT_FATAL(bench_options_proxies(&options, proxies) == BENCH_OK);
	CU_ASSERT_FATAL(bench_options_services(&options, "ledger,orders") ==
			BENCH_OK);
	return options;
}

static json_int_t number(const json_t *report, const char *object,
			 const char *name)
{
	if (object)
		report = json_object_get(report, object);
	return json_integer_value(json_object_get(report, name));
}

static json_t *run(bench_options_t *options, fault_t fault)
{
	json_t *report = NULL;
	pid_t pid;
	uint16_t port = start(fault, &pid);
	bench_options_t at = options_for(port);

	memcpy(options->proxies, at.proxies, sizeof(at.proxies));
	options->proxy_count = at.proxy_count;
	CU_ASSERT(bench_run(options, &report) == BENCH_OK);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	return report;
}

typedef struct {
	const char *name;
	fault_t fault;
	/* A counter of the report that must be above 0, in an object or NULL.
	 */
	const char *object;
	const char *counter;
	/* Number of unknown writes that are settled each way, in percent. */
	json_int_t settled_done;
	json_int_t settled_not_run;
} row_t;

static const char *const fault_counters[][2] = {
	{ NULL, "stale_own_reads" },
	{ NULL, "mixed" },
	{ "polling_reads", "too_old" },
	{ "polling_reads", "without_age" },
	{ NULL, "unknown" },
	{ NULL, "not_run" },
	{ NULL, "unsettled" },
};

#define COUNTERS (sizeof(fault_counters) / sizeof(fault_counters[0]))

/* Guards against a load generator that does not see a fault of the proxies, or
 * that sees one where there is none. */
static void test_faults(void)
{
	static const row_t rows[] = {
		{ "sound", FAULT_NONE, NULL, NULL, 0, 0 },
		{ "stale own read", FAULT_STALE, NULL, "stale_own_reads", 0,
		  0 },
		{ "mixed answer", FAULT_MIXED, NULL, "mixed", 0, 0 },
		{ "too old", FAULT_TOO_OLD, "polling_reads", "too_old", 0, 0 },
		{ "no age", FAULT_NO_AGE, "polling_reads", "without_age", 0,
		  0 },
		{ "unknown, done", FAULT_UNKNOWN_DONE, NULL, "unknown", 100,
		  0 },
		{ "unknown, cancelled", FAULT_UNKNOWN_CANCELLED, NULL,
		  "unknown", 0, 100 },
		{ "unknown, the outcome request is refused first",
		  FAULT_UNKNOWN_REFUSED, NULL, "unknown", 0, 100 },
		{ "refused", FAULT_REFUSED, NULL, "not_run", 0, 0 },
	};
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const row_t *row = &rows[i];
		bench_options_t options = options_for(PORT_FIRST);
		json_t *report;
		json_int_t unknown;

		/* A read needs a write that was acknowledged. */
		report = run(&options, row->fault);
		unknown = number(report, NULL, "unknown");
		CHECK_ROW(number(report, NULL, "sent") >= 60, row->name);
		CHECK_ROW(number(report, NULL, "sent") ==
				  number(report, NULL, "done") + unknown +
					  number(report, NULL, "not_run"),
			  row->name);
		for (j = 0; j < COUNTERS; j++) {
			bool expected =
				row->counter &&
				strcmp(row->counter, fault_counters[j][1]) == 0;

			CHECK_ROW((number(report, fault_counters[j][0],
					  fault_counters[j][1]) > 0) ==
					  expected,
				  row->name);
		}
		CHECK_ROW(number(report, NULL, "settled_done") * 100 ==
				  unknown * row->settled_done,
			  row->name);
		CHECK_ROW(number(report, NULL, "settled_not_run") * 100 ==
				  unknown * row->settled_not_run,
			  row->name);
		json_decref(report);
	}
}

/* Guards against answers that are cut off and count as done. */
static void test_cut_answer(void)
{
	bench_options_t options = options_for(PORT_FIRST);
	json_t *report;

	options.requests_max = 4;
	options.duration_ms = 300;
	report = run(&options, FAULT_NOT_JSON);
	CU_ASSERT(number(report, NULL, "done") == 0);
	CU_ASSERT(number(report, NULL, "unknown") == 4);
	CU_ASSERT(number(report, NULL, "unsettled") == 4);
	json_decref(report);
}

/* Guards against an open loop that waits for answers, or that loses count of
 * what it could not send. */
static void test_open_loop(void)
{
	bench_options_t options = options_for(PORT_FIRST);
	json_t *report;

	options.rate = 100;
	options.requests_max = 0;
	options.duration_ms = 500;
	options.deadline_ms = 1000;
	report = run(&options, FAULT_SILENT);
	CU_ASSERT(number(report, NULL, "sent") == 4);
	CU_ASSERT(number(report, NULL, "not_sent") > 0);
	CU_ASSERT(number(report, NULL, "not_sent") <= 46);
	CU_ASSERT(number(report, NULL, "unsettled") == 4);
	json_decref(report);

	report = run(&options, FAULT_NONE);
	CU_ASSERT(number(report, NULL, "not_sent") == 0);
	CU_ASSERT(number(report, NULL, "done") == number(report, NULL, "sent"));
	json_decref(report);
}

/* Guards against a write that is asked for although no proxy got it. */
static void test_unreachable(void)
{
	bench_options_t options = options_for(PORT_FIRST + PORTS);
	json_t *report = NULL;

	options.requests_max = 20;
	CU_ASSERT(bench_run(&options, &report) == BENCH_OK);
	CU_ASSERT(number(report, NULL, "not_run") == 20);
	CU_ASSERT(number(report, "reasons", "unreachable") == 20);
	CU_ASSERT(number(report, NULL, "unknown") == 0);
	json_decref(report);
}

static void print_fault(void *context, bench_fault_t fault, const char *text)
{
	if (fault != *(const bench_fault_t *)context)
		printf("%s: %s\n", bench_fault_text(fault), text);
}

/* Returns the lines of the history as a checker's operations. */
static bench_check_t *load_history(FILE *file)
{
	bench_check_t *check = bench_check_new();
	char *line = NULL;
	size_t size = 0;

	rewind(file);
	while (getline(&line, &size, file) >= 0)
		CU_ASSERT(bench_check_add_operation(
				  check, json_loads(line, 0, NULL)) ==
			  BENCH_OK);
	free(line);
	return check;
}

/* Guards against a history that the checker does not understand: a sound one
 * must pass, and the checker must find what the load generator saw. */
static void test_history(void)
{
	static const struct {
		const char *name;
		fault_t fault;
		bench_fault_t expected;
	} rows[] = {
		{ "sound", FAULT_NONE, BENCH_FAULT_COUNT },
		{ "mixed", FAULT_MIXED, BENCH_FAULT_MIXED_ANSWER },
		{ "too old", FAULT_TOO_OLD, BENCH_FAULT_TOO_OLD },
		{ "no age", FAULT_NO_AGE, BENCH_FAULT_TOO_OLD },
	};
	size_t i;
	int j;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		bench_options_t options = options_for(PORT_FIRST);
		bench_check_result_t result;
		bench_check_t *check;
		json_t *report;

		options.history = tmpfile();
		CU_ASSERT_FATAL(options.history != NULL);
		report = run(&options, rows[i].fault);
		check = load_history(options.history);
		fclose(options.history);
		CHECK_ROW(bench_check_run(check, &result, print_fault,
					  (void *)&rows[i].expected) ==
				  BENCH_OK,
			  rows[i].name);
		CHECK_ROW(result.operations ==
				  (uint64_t)number(report, NULL, "sent"),
			  rows[i].name);
		for (j = 0; j < BENCH_FAULT_COUNT; j++)
			CHECK_ROW((result.faults[j] > 0) ==
					  (j == (int)rows[i].expected),
				  rows[i].name);
		bench_check_free(check);
		json_decref(report);
	}
}

typedef struct {
	const char *text;
	int error;
	const char *address;
	uint16_t port;
} address_row_t;

/* Guards against load that goes to another port than the one given. */
static void test_addresses(void)
{
	static const address_row_t rows[] = {
		{ "127.0.0.1:7100", BENCH_OK, "127.0.0.1", 7100 },
		{ "10.0.0.1:1,[::1]:7101", BENCH_OK, "::1", 7101 },
		{ "", BENCH_ERROR_ADDRESS, NULL, 0 },
		{ "127.0.0.1", BENCH_ERROR_ADDRESS, NULL, 0 },
		{ "127.0.0.1:0", BENCH_ERROR_ADDRESS, NULL, 0 },
		{ "127.0.0.1:70000", BENCH_ERROR_ADDRESS, NULL, 0 },
		{ "localhost:7100", BENCH_ERROR_ADDRESS, NULL, 0 },
		{ "127.0.0.1:1,,127.0.0.1:2", BENCH_ERROR_ADDRESS, NULL, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		bench_options_t options = { 0 };
		const bench_proxy_t *last;

		CHECK_ROW(bench_options_proxies(&options, rows[i].text) ==
				  rows[i].error,
			  rows[i].text);
		if (rows[i].error != BENCH_OK || options.proxy_count == 0)
			continue;
		last = &options.proxies[options.proxy_count - 1];
		CHECK_ROW(strcmp(last->address, rows[i].address) == 0,
			  rows[i].text);
		CHECK_ROW(last->port == rows[i].port, rows[i].text);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "faults", test_faults },
		{ "cut answer", test_cut_answer },
		{ "open loop", test_open_loop },
		{ "unreachable", test_unreachable },
		{ "history", test_history },
		{ "addresses", test_addresses },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("bench", cases, sizeof(cases) / sizeof(cases[0]));
}
