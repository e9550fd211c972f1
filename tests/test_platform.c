#include "check.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libplatform/platform.h"

#define TIMEOUT_MS 300
/* Longest time that a call of the client may take in these tests. */
#define WAIT_MS 6000
#define ITEMS_MAX 400
#define ROWS(table) (sizeof(table) / sizeof((table)[0]))

/* A stand-in platform in a child process, and a client of it. */
typedef struct {
	struct event_base *base;
	struct event *tick;
	clock_source_t clock;
	uint16_t port;
	uint16_t control_port;
	pid_t child;
	platform_client_t *client;
} fixture_t;

/* Copy of an item that a callback got. */
typedef struct {
	char service[PLATFORM_NAME_SIZE];
	char writer[PLATFORM_NAME_SIZE];
	char text[128];
	uint64_t revision;
} saved_t;

/* Calls of a callback, and copies of the arguments of the latest one. */
typedef struct {
	int calls;
	int error;
	/* Watch: number of calls with an error. */
	int ends;
	uint64_t revision;
	size_t count;
	saved_t items[ITEMS_MAX];
	platform_instance_t instance;
	char instance_name[PLATFORM_NAME_SIZE];
	/* Watch: client whose watch the callback stops, or which it frees, at
	 * the first event; or NULL. */
	platform_client_t *stop;
	platform_client_t *free_client;
} result_t;

/* Wakes the event loop, so that run_until() checks its condition. */
static void tick(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	(void)context;
}

/* Runs the event loop until *calls reaches target, for at most limit_ms.
 * Returns whether it was reached. */
static bool run_until(fixture_t *fixture, const int *calls, int target,
		      clock_ms_t limit_ms)
{
	clock_ms_t end_ms = clock_source_now(&fixture->clock) + limit_ms;

	while (*calls < target && clock_source_now(&fixture->clock) < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	return *calls >= target;
}

static void run_for(fixture_t *fixture, clock_ms_t duration_ms)
{
	static const int never;

	run_until(fixture, &never, 1, duration_ms);
}

static void start_child(fixture_t *fixture)
{
	const char *path = getenv("STANDIN_PLATFORM");
	char listen_address[32];
	char control_address[32];

	if (!path) {
		fprintf(stderr, "STANDIN_PLATFORM is not set\n");
		abort();
	}
	snprintf(listen_address, sizeof(listen_address), "127.0.0.1:%u",
		 fixture->port);
	snprintf(control_address, sizeof(control_address), "127.0.0.1:%u",
		 fixture->control_port);
	fixture->child = fork();
	if (fixture->child == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl(path, path, "--listen", listen_address, "--control",
		      control_address, (char *)NULL);
		_exit(127);
	}
}

typedef struct {
	int calls;
	json_t *body;
} control_t;

static void on_control_response(struct evhttp_request *request, void *context)
{
	control_t *control = context;
	struct evbuffer *body;

	control->calls++;
	if (!request || evhttp_request_get_response_code(request) != HTTP_OK)
		return;
	body = evhttp_request_get_input_buffer(request);
	control->body = json_loadb((const char *)evbuffer_pullup(body, -1),
				   evbuffer_get_length(body), 0, NULL);
}

/* Sends a request to the control port of the stand-in. Returns the body of the
 * response, or NULL. */
static json_t *control(fixture_t *fixture, enum evhttp_cmd_type command,
		       const char *path, const char *body)
{
	control_t state = { 0 };
	struct evhttp_connection *connection = evhttp_connection_base_new(
		fixture->base, NULL, "127.0.0.1", fixture->control_port);
	struct evhttp_request *request =
		evhttp_request_new(on_control_response, &state);

	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  "127.0.0.1");
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	evhttp_make_request(connection, request, command, path);
	run_until(fixture, &state.calls, 1, WAIT_MS);
	evhttp_connection_free(connection);
	return state.body;
}

static void set_fault(fixture_t *fixture, const char *query)
{
	char path[128];
	json_t *answer;

	snprintf(path, sizeof(path), "/fault?%s", query);
	answer = control(fixture, EVHTTP_REQ_POST, path, NULL);
	CHECK_ROW(answer != NULL, query);
	json_decref(answer);
}

static uint64_t get_state(fixture_t *fixture, const char *field)
{
	json_t *state = control(fixture, EVHTTP_REQ_GET, "/state", NULL);
	json_int_t value = json_integer_value(json_object_get(state, field));

	CHECK_ROW(state != NULL, field);
	json_decref(state);
	return (uint64_t)value;
}

static platform_client_t *new_client(fixture_t *fixture, uint16_t port,
				     clock_ms_t timeout_ms)
{
	platform_options_t options = {
		.address = "127.0.0.1",
		.port = port,
		.list_address = "127.0.0.1",
		.list_port = port,
		.timeout_ms = timeout_ms,
		.prefix = "/hornbeamtack",
	};

	return platform_client_new(fixture->base, &fixture->clock, &options);
}

/* Creates the event loop and a client of a port, without a stand-in. */
static void fixture_open(fixture_t *fixture, uint16_t port)
{
	struct timeval interval = { 0, 5000 };

	*fixture = (fixture_t){ .clock = clock_source_boot(), .port = port };
	fixture->base = event_base_new();
	fixture->tick = event_new(fixture->base, -1, EV_PERSIST, tick, NULL);
	event_add(fixture->tick, &interval);
	fixture->client = new_client(fixture, port, TIMEOUT_MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->client);
}

static void fixture_close(fixture_t *fixture)
{
	platform_client_free(fixture->client);
	event_free(fixture->tick);
	event_base_free(fixture->base);
}

static void fixture_stop(fixture_t *fixture)
{
	int status = -1;

	if (fixture->child > 0) {
		kill(fixture->child, SIGTERM);
		waitpid(fixture->child, &status, 0);
		CU_ASSERT_EQUAL(status, 0);
	}
	fixture_close(fixture);
}

/* Waits until the stand-in answers. Returns false if it has exited, as it does
 * if another process has taken one of its ports. */
static bool wait_child(fixture_t *fixture)
{
	json_t *state = NULL;
	int tries;

	for (tries = 0; !state && tries < 500; tries++) {
		if (waitpid(fixture->child, NULL, WNOHANG) != 0)
			return false;
		run_for(fixture, 10);
		state = control(fixture, EVHTTP_REQ_GET, "/state", NULL);
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(state);
	json_decref(state);
	return true;
}

/* Creates the event loop, a stand-in and a client. */
static void fixture_start(fixture_t *fixture)
{
	int tries;

	for (tries = 0; tries < 5; tries++) {
		fixture_open(fixture, check_reserve_port());
		fixture->control_port = check_reserve_port();
		start_child(fixture);
		if (wait_child(fixture))
			return;
		fixture_close(fixture);
	}
	CU_FAIL_FATAL("the stand-in does not start");
}

static void save_item(saved_t *saved, const platform_item_t *item)
{
	snprintf(saved->service, sizeof(saved->service), "%s", item->service);
	snprintf(saved->writer, sizeof(saved->writer), "%s", item->writer);
	snprintf(saved->text, sizeof(saved->text), "%s", item->text);
	saved->revision = item->revision;
}

static void fetch_done(void *context, int error, uint64_t store_revision,
		       const platform_item_t *items, size_t count)
{
	result_t *result = context;
	size_t i;

	result->calls++;
	result->error = error;
	result->revision = store_revision;
	result->count = count;
	for (i = 0; i < count && i < ITEMS_MAX; i++)
		save_item(&result->items[i], &items[i]);
}

static void change_done(void *context, int error, uint64_t revision,
			const platform_item_t *current)
{
	result_t *result = context;

	result->calls++;
	result->error = error;
	result->revision = revision;
	result->count = current ? 1 : 0;
	if (current)
		save_item(&result->items[0], current);
}

static void list_done(void *context, int error,
		      const platform_instance_t *instances, size_t count)
{
	result_t *result = context;

	result->calls++;
	result->error = error;
	result->count = count;
	if (count == 0)
		return;
	/* Keeps the last instance, of which the tests read only the flag and
	 * the name. */
	result->instance = instances[count - 1];
	snprintf(result->instance_name, sizeof(result->instance_name), "%s",
		 instances[count - 1].name);
}

/* Callback of a watch, which collects its events. */
static void watch_event(void *context, int error, uint64_t revision,
			const platform_item_t *items, size_t count)
{
	result_t *result = context;
	size_t i;

	result->calls++;
	if (error != PLATFORM_OK) {
		result->ends++;
		result->error = error;
		return;
	}
	CU_ASSERT(revision > result->revision);
	result->revision = revision;
	for (i = 0; i < count && result->count < ITEMS_MAX; i++)
		save_item(&result->items[result->count++], &items[i]);
	if (result->stop)
		platform_watch_stop(result->stop);
	if (result->free_client)
		platform_client_free(result->free_client);
}

/* Each of the following functions makes one call of the client, waits for its
 * callback and returns the callback's error. */

static int change(fixture_t *fixture, platform_client_t *client,
		  const char *service, uint64_t base, const char *text,
		  const char *writer, result_t *result)
{
	int error;

	*result = (result_t){ 0 };
	error = platform_config_change(client, service, base, text, writer,
				       "operator", change_done, result);
	if (error != PLATFORM_OK)
		return error;
	CU_ASSERT_EQUAL(result->calls, 0);
	CHECK_ROW(run_until(fixture, &result->calls, 1, WAIT_MS), service);
	return result->error;
}

static int fetch(fixture_t *fixture, uint64_t after_revision, result_t *result)
{
	*result = (result_t){ 0 };
	CU_ASSERT_EQUAL(platform_config_fetch(fixture->client, after_revision,
					      fetch_done, result),
			PLATFORM_OK);
	CU_ASSERT_EQUAL(result->calls, 0);
	CU_ASSERT(run_until(fixture, &result->calls, 1, WAIT_MS));
	return result->error;
}

static int history(fixture_t *fixture, const char *service, uint32_t limit,
		   result_t *result)
{
	*result = (result_t){ 0 };
	CU_ASSERT_EQUAL(platform_config_history(fixture->client, service, limit,
						fetch_done, result),
			PLATFORM_OK);
	CU_ASSERT_EQUAL(result->calls, 0);
	CU_ASSERT(run_until(fixture, &result->calls, 1, WAIT_MS));
	return result->error;
}

static int list(fixture_t *fixture, result_t *result)
{
	*result = (result_t){ 0 };
	CU_ASSERT_EQUAL(
		platform_instances_list(fixture->client, list_done, result),
		PLATFORM_OK);
	CU_ASSERT_EQUAL(result->calls, 0);
	CU_ASSERT(run_until(fixture, &result->calls, 1, WAIT_MS));
	return result->error;
}

/* Returns whether the history of the service contains the change of this
 * writer. */
static bool is_stored(fixture_t *fixture, const char *service,
		      const char *writer)
{
	result_t result;
	bool stored = false;
	size_t i;

	CHECK_ROW(history(fixture, service, 0, &result) == PLATFORM_OK,
		  service);
	for (i = 0; i < result.count; i++)
		stored = stored || strcmp(result.items[i].writer, writer) == 0;
	return stored;
}

typedef struct {
	const char *name;
	/* Number of changes made before, by the writers "before-1" and
	 * "before-2". */
	int before;
	/* Number of the earlier change whose revision is the base revision; 0
	 * for the base revision 0. */
	int base;
	const char *fault;
	/* Another writer changes the service while the change waits for its
	 * answer. */
	bool other;
	int error;
	bool stored;
	/* Writer of the current item that a conflict reports. */
	const char *winner;
} change_row_t;

static const change_row_t change_rows[] = {
	{ "new", 0, 0, NULL, false, PLATFORM_OK, true, NULL },
	{ "update", 1, 1, NULL, false, PLATFORM_OK, true, NULL },
	{ "exists", 1, 0, NULL, false, PLATFORM_ERROR_CONFLICT, false,
	  "before-1" },
	{ "stale", 2, 1, NULL, false, PLATFORM_ERROR_CONFLICT, false,
	  "before-2" },
	{ "slow", 1, 1, "slow_ms=100", false, PLATFORM_OK, true, NULL },
	{ "answer-lost-new", 0, 0, "drop_answers=1", false, PLATFORM_OK, true,
	  NULL },
	{ "answer-lost", 1, 1, "drop_answers=1", false, PLATFORM_OK, true,
	  NULL },
	{ "two-answers-lost", 1, 1, "drop_answers=2", false, PLATFORM_OK, true,
	  NULL },
	{ "answer-lost-stale", 2, 1, "drop_answers=1", false,
	  PLATFORM_ERROR_CONFLICT, false, "before-2" },
	{ "answer-lost-overwritten", 1, 1, "drop_answers=1", true, PLATFORM_OK,
	  true, NULL },
	{ "request-lost", 1, 1, "drop_requests=1", false,
	  PLATFORM_ERROR_UNKNOWN, false, NULL },
	{ "request-lost-new", 0, 0, "drop_requests=1", false,
	  PLATFORM_ERROR_UNKNOWN, false, NULL },
	{ "request-lost-overtaken", 1, 1, "drop_requests=1", true,
	  PLATFORM_ERROR_CONFLICT, false, "other" },
	{ "down", 1, 1, "down=on", false, PLATFORM_ERROR_UNKNOWN, false, NULL },
	/* The request takes effect after the change has ended as unknown. */
	{ "late", 1, 1, "slow_ms=700", false, PLATFORM_ERROR_UNKNOWN, true,
	  NULL },
};

/* Changes the service as another writer, after the request of the tested change
 * was sent. */
static void change_meanwhile(fixture_t *fixture, const char *service,
			     uint64_t base)
{
	result_t result;
	result_t now;

	run_for(fixture, 50);
	CHECK_ROW(fetch(fixture, 0, &now) == PLATFORM_OK, service);
	while (now.count > 0 &&
	       strcmp(now.items[now.count - 1].service, service) != 0)
		now.count--;
	if (now.count > 0)
		base = now.items[now.count - 1].revision;
	CHECK_ROW(change(fixture, fixture->client, service, base,
			 "{\"slots\":9}", "other", &result) == PLATFORM_OK,
		  service);
}

static void run_change_row(fixture_t *fixture, const change_row_t *row)
{
	uint64_t revisions[3] = { 0 };
	uint64_t usage_failures;
	result_t result = { 0 };
	char writer[PLATFORM_NAME_SIZE];
	int i;

	for (i = 1; i <= row->before; i++) {
		snprintf(writer, sizeof(writer), "before-%d", i);
		CHECK_ROW(change(fixture, fixture->client, row->name,
				 revisions[i - 1], "{\"slots\":1}", writer,
				 &result) == PLATFORM_OK,
			  row->name);
		CHECK_ROW(result.revision > revisions[i - 1], row->name);
		revisions[i] = result.revision;
	}
	if (row->fault)
		set_fault(fixture, row->fault);
	usage_failures = platform_client_usage(fixture->client).failures;
	result = (result_t){ 0 };
	CHECK_ROW(platform_config_change(fixture->client, row->name,
					 revisions[row->base], "{\"slots\":2}",
					 "mine", "operator", change_done,
					 &result) == PLATFORM_OK,
		  row->name);
	CHECK_ROW(result.calls == 0, row->name);
	if (row->other)
		change_meanwhile(fixture, row->name, revisions[row->base]);
	CHECK_ROW(run_until(fixture, &result.calls, 1, 3 * TIMEOUT_MS + 500),
		  row->name);
	CHECK_ROW(result.error == row->error, row->name);
	CHECK_ROW((result.count == 1) == (row->winner != NULL), row->name);
	if (row->winner && result.count == 1)
		CHECK_ROW(strcmp(result.items[0].writer, row->winner) == 0,
			  row->name);
	CHECK_ROW((row->error == PLATFORM_OK) == (result.revision > 0),
		  row->name);
	if (row->fault && strcmp(row->fault, "slow_ms=100") != 0)
		CHECK_ROW(platform_client_usage(fixture->client).failures >
				  usage_failures,
			  row->name);
	set_fault(fixture, "down=off&slow_ms=0&drop_answers=0"
			   "&drop_requests=0");
	/* Leaves time for a late request or a second callback. */
	if (row->error == PLATFORM_ERROR_UNKNOWN)
		run_for(fixture, 500);
	CHECK_ROW(is_stored(fixture, row->name, "mine") == row->stored,
		  row->name);
	CHECK_ROW(result.calls == 1, row->name);
}

/* Guards against a change that is reported with the wrong outcome, especially
 * when its answer is lost. */
static void test_change(void)
{
	fixture_t fixture;
	size_t i;

	fixture_start(&fixture);
	for (i = 0; i < ROWS(change_rows); i++)
		run_change_row(&fixture, &change_rows[i]);
	fixture_stop(&fixture);
}

/* Guards against a change that took effect with an unknown outcome and whose
 * repeat is reported as a conflict, although it conflicts only with itself. */
static void test_change_repeated(void)
{
	fixture_t fixture;
	result_t first;
	result_t later;
	result_t again;

	fixture_start(&fixture);
	CU_ASSERT_EQUAL(
		change(&fixture, fixture.client, "s", 0, "{}", "w1", &first),
		PLATFORM_OK);
	CU_ASSERT_EQUAL(change(&fixture, fixture.client, "s", first.revision,
			       "{}", "w2", &later),
			PLATFORM_OK);
	CU_ASSERT_EQUAL(
		change(&fixture, fixture.client, "s", 0, "{}", "w1", &again),
		PLATFORM_OK);
	CU_ASSERT_EQUAL(again.revision, first.revision);
	CU_ASSERT_EQUAL(get_state(&fixture, "revision"), later.revision);
	fixture_stop(&fixture);
}

typedef struct {
	const char *name;
	const char *service;
	const char *text;
	const char *writer;
	int error;
} argument_row_t;

/* Guards against a change whose key or value could not be decoded when it is
 * read. */
static void test_change_arguments(void)
{
	static const argument_row_t rows[] = {
		{ "empty name", "", "{}", "w", PLATFORM_ERROR_MALFORMED },
		{ "slash", "a/b", "{}", "w", PLATFORM_ERROR_MALFORMED },
		{ "control", "a\n", "{}", "w", PLATFORM_ERROR_MALFORMED },
		{ "long name",
		  "0123456789012345678901234567890123456789"
		  "012345678901234567890123",
		  "{}", "w", PLATFORM_ERROR_MALFORMED },
		{ "writer", "a", "{}", "w/w", PLATFORM_ERROR_MALFORMED },
		{ "not JSON", "a", "{", "w", PLATFORM_ERROR_MALFORMED },
		{ "no object", "a", "[]", "w", PLATFORM_ERROR_MALFORMED },
		{ "null", "a", "null", "w", PLATFORM_ERROR_MALFORMED },
		{ "not UTF-8", "a", "{}", "\xff", PLATFORM_ERROR_MALFORMED },
		{ "service not UTF-8", "\xff", "{}", "w",
		  PLATFORM_ERROR_MALFORMED },
	};
	static char large[30000];
	fixture_t fixture;
	result_t result;
	size_t i;

	fixture_open(&fixture, check_reserve_port());
	for (i = 0; i < ROWS(rows); i++)
		CHECK_ROW(change(&fixture, fixture.client, rows[i].service, 0,
				 rows[i].text, rows[i].writer,
				 &result) == rows[i].error,
			  rows[i].name);
	snprintf(large, sizeof(large), "{\"a\":\"%025000d\"}", 0);
	CU_ASSERT_EQUAL(
		change(&fixture, fixture.client, "a", 0, large, "w", &result),
		PLATFORM_ERROR_TOO_LARGE);
	run_for(&fixture, 50);
	CU_ASSERT_EQUAL(result.calls, 0);
	CU_ASSERT_EQUAL(platform_client_usage(fixture.client).writes, 0);
	fixture_stop(&fixture);
}

/* Guards against two concurrent changes from the same base revision that are
 * both reported as made. */
static void test_race(void)
{
	fixture_t fixture;
	platform_client_t *other;
	uint64_t base = 0;
	int round;

	fixture_start(&fixture);
	other = new_client(&fixture, fixture.port, TIMEOUT_MS);
	for (round = 0; round < 20; round++) {
		result_t results[2] = { 0 };
		char writers[2][PLATFORM_NAME_SIZE];
		int winner;
		int i;

		for (i = 0; i < 2; i++) {
			snprintf(writers[i], sizeof(writers[i]), "w-%d-%d",
				 round, i);
			CU_ASSERT_EQUAL(
				platform_config_change(
					i == round % 2 ? fixture.client : other,
					"race", base, "{}", writers[i],
					"operator", change_done, &results[i]),
				PLATFORM_OK);
		}
		CU_ASSERT(run_until(&fixture, &results[0].calls, 1, WAIT_MS));
		CU_ASSERT(run_until(&fixture, &results[1].calls, 1, WAIT_MS));
		winner = results[0].error == PLATFORM_OK ? 0 : 1;
		CU_ASSERT_EQUAL(results[winner].error, PLATFORM_OK);
		CU_ASSERT_EQUAL(results[1 - winner].error,
				PLATFORM_ERROR_CONFLICT);
		CU_ASSERT_STRING_EQUAL(results[1 - winner].items[0].writer,
				       writers[winner]);
		CU_ASSERT_EQUAL(results[1 - winner].items[0].revision,
				results[winner].revision);
		base = results[winner].revision;
	}
	platform_client_free(other);
	fixture_stop(&fixture);
}

/* Guards against the removal of a service that a later fetch does not report,
 * and against a removed service that cannot be created again. */
static void test_removed(void)
{
	fixture_t fixture;
	result_t result;
	result_t conflict;
	uint64_t created;

	fixture_start(&fixture);
	CU_ASSERT_EQUAL(change(&fixture, fixture.client, "s", 0,
			       "{ \"slots\" : 3 }", "w1", &result),
			PLATFORM_OK);
	created = result.revision;
	CU_ASSERT_EQUAL(change(&fixture, fixture.client, "s", created, "", "w2",
			       &result),
			PLATFORM_OK);
	CU_ASSERT_EQUAL(fetch(&fixture, created, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 1);
	CU_ASSERT_STRING_EQUAL(result.items[0].text, "");
	CU_ASSERT_STRING_EQUAL(result.items[0].writer, "w2");
	CU_ASSERT_EQUAL(
		change(&fixture, fixture.client, "s", 0, "{}", "w3", &conflict),
		PLATFORM_ERROR_CONFLICT);
	CU_ASSERT_EQUAL(conflict.items[0].revision, result.items[0].revision);
	CU_ASSERT_EQUAL(change(&fixture, fixture.client, "s",
			       conflict.items[0].revision, "{}", "w4", &result),
			PLATFORM_OK);
	/* The history of "s" must not contain the changes of "s2". */
	CU_ASSERT_EQUAL(
		change(&fixture, fixture.client, "s2", 0, "{}", "w5", &result),
		PLATFORM_OK);
	CU_ASSERT_EQUAL(history(&fixture, "s", 2, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 2);
	CU_ASSERT_STRING_EQUAL(result.items[0].writer, "w4");
	CU_ASSERT_STRING_EQUAL(result.items[0].service, "s");
	CU_ASSERT_STRING_EQUAL(result.items[1].writer, "w2");
	CU_ASSERT_EQUAL(history(&fixture, "s", 0, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 3);
	CU_ASSERT_STRING_EQUAL(result.items[2].text, "{\"slots\":3}");
	fixture_stop(&fixture);
}

/* Creates count services, "s000" and up, with concurrent changes. */
static void create_services(fixture_t *fixture, size_t count,
			    uint64_t revisions[])
{
	result_t *results = calloc(count, sizeof(*results));
	char name[PLATFORM_NAME_SIZE];
	size_t i;

	for (i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "s%03zu", i);
		CHECK_ROW(platform_config_change(fixture->client, name, 0,
						 "{\"slots\":1}", "create",
						 "operator", change_done,
						 &results[i]) == PLATFORM_OK,
			  name);
		/* Limits the number of connections that are open at a time. */
		if (i % 20 == 19 || i == count - 1)
			CHECK_ROW(run_until(fixture, &results[i].calls, 1,
					    WAIT_MS),
				  name);
	}
	for (i = 0; i < count; i++) {
		run_until(fixture, &results[i].calls, 1, WAIT_MS);
		CU_ASSERT_EQUAL(results[i].error, PLATFORM_OK);
		revisions[i] = results[i].revision;
	}
	free(results);
}

/* Guards against services that are missing because they lie between two pages,
 * a wrong order, and a filter by revision that omits changes. */
static void test_fetch_pages(void)
{
	static uint64_t revisions[300];
	static result_t result;
	fixture_t fixture;
	uint64_t reads;
	uint64_t middle;
	size_t i;

	fixture_start(&fixture);
	CU_ASSERT_EQUAL(fetch(&fixture, 0, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 0);
	CU_ASSERT_EQUAL(result.revision, 1);
	create_services(&fixture, 300, revisions);
	/* The order by revision must differ from the order by name. */
	CU_ASSERT_EQUAL(change(&fixture, fixture.client, "s000", revisions[0],
			       "{}", "last", &result),
			PLATFORM_OK);
	reads = platform_client_usage(fixture.client).reads;
	CU_ASSERT_EQUAL(fetch(&fixture, 0, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 300);
	CU_ASSERT_STRING_EQUAL(result.items[299].writer, "last");
	CU_ASSERT_EQUAL(platform_client_usage(fixture.client).reads, reads + 3);
	CU_ASSERT_EQUAL(result.revision, get_state(&fixture, "revision"));
	for (i = 1; i < result.count; i++)
		CU_ASSERT(result.items[i].revision >
			  result.items[i - 1].revision);
	middle = result.items[100].revision;
	CU_ASSERT_EQUAL(fetch(&fixture, middle, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 199);
	CU_ASSERT_EQUAL(result.items[0].revision, middle + 1);
	CU_ASSERT_EQUAL(fetch(&fixture, result.revision, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 0);
	fixture_stop(&fixture);
}

/* Guards against pages that show different states of the store: a service that
 * is changed between the reads of two pages must appear as it was at the
 * revision of the first page. */
static void test_fetch_snapshot(void)
{
	static uint64_t revisions[300];
	static result_t fetched;
	fixture_t fixture;
	platform_client_t *other;
	result_t result;
	int changes = 0;
	size_t i;

	fixture_start(&fixture);
	create_services(&fixture, 300, revisions);
	other = new_client(&fixture, fixture.port, TIMEOUT_MS);
	set_fault(&fixture, "slow_ms=40");
	fetched = (result_t){ 0 };
	CU_ASSERT_EQUAL(
		platform_config_fetch(fixture.client, 0, fetch_done, &fetched),
		PLATFORM_OK);
	run_for(&fixture, 60);
	/* The first page has been read; the others have not. */
	while (fetched.calls == 0 && changes < 10) {
		char name[PLATFORM_NAME_SIZE];

		snprintf(name, sizeof(name), "s%03d", 299 - changes);
		CHECK_ROW(change(&fixture, other, name,
				 revisions[299 - changes], "{\"slots\":2}",
				 "later", &result) == PLATFORM_OK,
			  name);
		changes++;
	}
	CU_ASSERT(changes > 0);
	CU_ASSERT(run_until(&fixture, &fetched.calls, 1, WAIT_MS));
	CU_ASSERT_EQUAL(fetched.error, PLATFORM_OK);
	CU_ASSERT_EQUAL(fetched.count, 300);
	for (i = 0; i < fetched.count; i++)
		CHECK_ROW(strcmp(fetched.items[i].writer, "create") == 0,
			  fetched.items[i].service);
	platform_client_free(other);
	fixture_stop(&fixture);
}

/* Guards against an instance that is taken for live although the list says that
 * it is leaving, and against a stand-in whose list does not lag as set. */
static void test_list(void)
{
	static const char *const first =
		"[{\"name\":\"p1\",\"address\":\"127.0.0.1:1\","
		"\"domain\":\"a\",\"state\":\"live\"}]";
	static const char *const second =
		"[{\"name\":\"p1\",\"address\":\"127.0.0.1:1\","
		"\"domain\":\"a\",\"state\":\"live\"},"
		"{\"name\":\"p2\",\"address\":\"127.0.0.1:2\","
		"\"domain\":\"b\",\"state\":\"leaving\"}]";
	fixture_t fixture;
	result_t result;

	fixture_start(&fixture);
	CU_ASSERT_EQUAL(list(&fixture, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 0);
	json_decref(control(&fixture, EVHTTP_REQ_PUT, "/instances", first));
	CU_ASSERT_EQUAL(list(&fixture, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 1);
	CU_ASSERT_FALSE(result.instance.leaving);
	CU_ASSERT_STRING_EQUAL(result.instance_name, "p1");
	set_fault(&fixture, "lag_ms=300");
	json_decref(control(&fixture, EVHTTP_REQ_PUT, "/instances", second));
	CU_ASSERT_EQUAL(list(&fixture, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 1);
	run_for(&fixture, 400);
	CU_ASSERT_EQUAL(list(&fixture, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 2);
	CU_ASSERT_TRUE(result.instance.leaving);
	CU_ASSERT_STRING_EQUAL(result.instance_name, "p2");
	fixture_stop(&fixture);
}

static int count_descriptors(void)
{
	DIR *directory = opendir("/proc/self/fd");
	int count = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(directory);
	while (readdir(directory))
		count++;
	closedir(directory);
	return count;
}

/* Starts a call of each kind and checks that it ends with the error. */
static void check_all_fail(fixture_t *fixture, int error, const char *row)
{
	result_t result;
	result_t watch = { 0 };

	CHECK_ROW(fetch(fixture, 0, &result) == error, row);
	CHECK_ROW(history(fixture, "s", 0, &result) == error, row);
	CHECK_ROW(list(fixture, &result) == error, row);
	CHECK_ROW(change(fixture, fixture->client, "s", 0, "{}", "w",
			 &result) == error,
		  row);
	CHECK_ROW(platform_watch_start(fixture->client, 0, watch_event,
				       &watch) == PLATFORM_OK,
		  row);
	CHECK_ROW(run_until(fixture, &watch.ends, 1, WAIT_MS), row);
	CHECK_ROW(watch.error == error, row);
	CHECK_ROW(!platform_watch_running(fixture->client), row);
}

/* Guards against PLATFORM_ERROR_UNAVAILABLE, which means that nothing was sent,
 * when something may have been sent, and against a call that never ends. */
static void test_unreachable(void)
{
	fixture_t fixture;
	result_t result;
	int descriptors;

	fixture_open(&fixture, check_reserve_port());
	descriptors = count_descriptors();
	check_all_fail(&fixture, PLATFORM_ERROR_UNAVAILABLE, "no listener");
	CU_ASSERT_EQUAL(count_descriptors(), descriptors);
	fixture_stop(&fixture);

	fixture_start(&fixture);
	set_fault(&fixture, "down=on");
	descriptors = count_descriptors();
	check_all_fail(&fixture, PLATFORM_ERROR_UNKNOWN, "down");
	set_fault(&fixture, "down=off&slow_ms=400");
	CU_ASSERT_EQUAL(fetch(&fixture, 0, &result), PLATFORM_ERROR_UNKNOWN);
	CU_ASSERT_EQUAL(list(&fixture, &result), PLATFORM_ERROR_UNKNOWN);
	CU_ASSERT_EQUAL(count_descriptors(), descriptors);
	set_fault(&fixture, "slow_ms=0");
	CU_ASSERT_EQUAL(fetch(&fixture, 0, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 0);
	fixture_stop(&fixture);
}

/* Guards against a client with options that would block the event loop, or with
 * which calls never time out. */
static void test_options(void)
{
	fixture_t fixture;
	platform_options_t options = {
		.address = "localhost",
		.list_address = "127.0.0.1",
		.timeout_ms = 100,
		.prefix = "/p",
	};

	fixture_open(&fixture, check_reserve_port());
	CU_ASSERT_PTR_NULL(
		platform_client_new(fixture.base, &fixture.clock, &options));
	options.address = "127.0.0.1";
	options.timeout_ms = 0;
	CU_ASSERT_PTR_NULL(
		platform_client_new(fixture.base, &fixture.clock, &options));
	fixture_stop(&fixture);
}

/* Starts a watch that collects its events in result. */
static void start_watch(fixture_t *fixture, uint64_t from_revision,
			result_t *result)
{
	*result = (result_t){ .revision = from_revision };
	CU_ASSERT_EQUAL(platform_watch_start(fixture->client, from_revision,
					     watch_event, result),
			PLATFORM_OK);
	CU_ASSERT_EQUAL(result->calls, 0);
}

/* Runs the event loop until the watch has reported the revision or has ended.
 */
static bool watch_reaches(fixture_t *fixture, const result_t *result,
			  uint64_t revision)
{
	while (result->revision < revision) {
		if (result->ends > 0 || !run_until(fixture, &result->calls,
						   result->calls + 1, WAIT_MS))
			return false;
	}
	return true;
}

/* Guards against a watch that loses, repeats or reorders changes, also when its
 * connection is lost in between. */
static void test_watch(void)
{
	static result_t watch;
	fixture_t fixture;
	platform_client_t *other;
	result_t result;
	uint64_t first;

	fixture_start(&fixture);
	other = new_client(&fixture, fixture.port, TIMEOUT_MS);
	change(&fixture, other, "a", 0, "{}", "w1", &result);
	first = result.revision;
	change(&fixture, other, "b", 0, "{\"slots\":1}", "w2", &result);
	start_watch(&fixture, first, &watch);
	CU_ASSERT(platform_watch_running(fixture.client));
	CU_ASSERT_EQUAL(
		platform_watch_start(fixture.client, 0, watch_event, &watch),
		PLATFORM_ERROR_CONFLICT);
	CU_ASSERT(watch_reaches(&fixture, &watch, result.revision));
	CU_ASSERT_EQUAL(watch.count, 1);
	CU_ASSERT_STRING_EQUAL(watch.items[0].service, "b");
	CU_ASSERT_STRING_EQUAL(watch.items[0].text, "{\"slots\":1}");
	CU_ASSERT_EQUAL(watch.items[0].revision, result.revision);
	change(&fixture, other, "a", first, "", "w3", &result);
	CU_ASSERT(watch_reaches(&fixture, &watch, result.revision));
	CU_ASSERT_EQUAL(watch.count, 2);
	CU_ASSERT_STRING_EQUAL(watch.items[1].text, "");
	CU_ASSERT_STRING_EQUAL(watch.items[1].writer, "w3");

	set_fault(&fixture, "down=on");
	CU_ASSERT(run_until(&fixture, &watch.ends, 1, WAIT_MS));
	CU_ASSERT_EQUAL(watch.error, PLATFORM_ERROR_UNKNOWN);
	CU_ASSERT_FALSE(platform_watch_running(fixture.client));
	set_fault(&fixture, "down=off");
	change(&fixture, other, "c", 0, "{}", "w4", &result);
	first = result.revision;
	change(&fixture, other, "c", first, "{}", "w5", &result);
	start_watch(&fixture, watch.revision, &watch);
	CU_ASSERT(watch_reaches(&fixture, &watch, result.revision));
	CU_ASSERT_EQUAL(watch.count, 2);
	CU_ASSERT_EQUAL(watch.items[0].revision, first);
	CU_ASSERT_STRING_EQUAL(watch.items[1].writer, "w5");
	CU_ASSERT_EQUAL(watch.ends, 0);
	platform_client_free(other);
	fixture_stop(&fixture);
}

/* Guards against a watch that does not end when its connection is silent, and
 * against a watch that ends because the store has no changes. */
static void test_watch_silence(void)
{
	static result_t watch;
	fixture_t fixture;
	platform_client_t *other;
	platform_options_t options = {
		.address = "127.0.0.1",
		.list_address = "127.0.0.1",
		.timeout_ms = TIMEOUT_MS,
		.prefix = "/other",
	};
	result_t result;

	fixture_start(&fixture);
	options.port = fixture.port;
	other = platform_client_new(fixture.base, &fixture.clock, &options);
	start_watch(&fixture, 1, &watch);
	run_for(&fixture, 3500);
	CU_ASSERT_EQUAL(watch.calls, 0);
	/* A progress notification reports a revision without events. */
	change(&fixture, other, "a", 0, "{}", "w", &result);
	CU_ASSERT(watch_reaches(&fixture, &watch, result.revision));
	CU_ASSERT_EQUAL(watch.revision, result.revision);
	CU_ASSERT_EQUAL(watch.count, 0);
	set_fault(&fixture, "silent=on");
	CU_ASSERT(run_until(&fixture, &watch.ends, 1, WAIT_MS));
	CU_ASSERT_EQUAL(watch.error, PLATFORM_ERROR_UNKNOWN);
	CU_ASSERT_FALSE(platform_watch_running(fixture.client));
	platform_client_free(other);
	fixture_stop(&fixture);
}

/* Guards against a watch that misses changes because the store was compacted
 * past the revision from which it starts. */
static void test_watch_compacted(void)
{
	static result_t watch;
	fixture_t fixture;
	result_t result;

	fixture_start(&fixture);
	change(&fixture, fixture.client, "a", 0, "{}", "w1", &result);
	change(&fixture, fixture.client, "a", result.revision, "{}", "w2",
	       &result);
	set_fault(&fixture, "compact=3");
	start_watch(&fixture, 1, &watch);
	CU_ASSERT(run_until(&fixture, &watch.ends, 1, WAIT_MS));
	CU_ASSERT_EQUAL(watch.error, PLATFORM_ERROR_CONFLICT);
	CU_ASSERT_EQUAL(watch.count, 0);
	/* A fetch and a watch from its revision, as the error demands. */
	CU_ASSERT_EQUAL(fetch(&fixture, 1, &result), PLATFORM_OK);
	CU_ASSERT_EQUAL(result.count, 1);
	start_watch(&fixture, result.revision, &watch);
	run_for(&fixture, 200);
	CU_ASSERT_EQUAL(watch.calls, 0);
	fixture_stop(&fixture);
}

/* Guards against use of a watch after it was stopped, and against a stopped
 * watch whose connection to the service stays open. */
static void test_watch_stop(void)
{
	static result_t watch;
	fixture_t fixture;
	result_t result;

	fixture_start(&fixture);
	platform_watch_stop(fixture.client);
	change(&fixture, fixture.client, "a", 0, "{}", "w1", &result);
	change(&fixture, fixture.client, "b", 0, "{}", "w2", &result);
	start_watch(&fixture, 0, &watch);
	watch.stop = fixture.client;
	CU_ASSERT(run_until(&fixture, &watch.calls, 1, WAIT_MS));
	change(&fixture, fixture.client, "c", 0, "{}", "w3", &result);
	run_for(&fixture, 200);
	CU_ASSERT_EQUAL(watch.calls, 1);
	CU_ASSERT_FALSE(platform_watch_running(fixture.client));
	CU_ASSERT_EQUAL(get_state(&fixture, "open_watches"), 0);
	start_watch(&fixture, 0, &watch);
	run_for(&fixture, 100);
	CU_ASSERT_EQUAL(get_state(&fixture, "open_watches"), 1);
	platform_watch_stop(fixture.client);
	start_watch(&fixture, 0, &watch);
	watch.free_client = fixture.client;
	CU_ASSERT(run_until(&fixture, &watch.calls, 1, WAIT_MS));
	fixture.client = NULL;
	fixture_stop(&fixture);
}

/* Guards against calls to the platform that are missing in the usage counts,
 * from which its call budget is checked. */
static void test_usage(void)
{
	static uint64_t revisions[130];
	static result_t watch;
	fixture_t fixture;
	platform_usage_t usage;
	result_t result;

	fixture_start(&fixture);
	create_services(&fixture, 130, revisions);
	fetch(&fixture, 0, &result);
	history(&fixture, "s000", 0, &result);
	list(&fixture, &result);
	change(&fixture, fixture.client, "s000", 0, "{}", "w", &result);
	set_fault(&fixture, "drop_answers=1");
	change(&fixture, fixture.client, "s000", revisions[0], "{}", "x",
	       &result);
	start_watch(&fixture, 1, &watch);
	CU_ASSERT(run_until(&fixture, &watch.calls, 1, WAIT_MS));
	usage = platform_client_usage(fixture.client);
	CU_ASSERT_EQUAL(usage.reads, 2 + 1 + 1 + 1);
	CU_ASSERT_EQUAL(usage.writes, 130 + 2);
	CU_ASSERT_EQUAL(usage.watches, 1);
	CU_ASSERT_EQUAL(usage.failures, 1);
	CU_ASSERT_EQUAL(get_state(&fixture, "reads"), usage.reads);
	CU_ASSERT_EQUAL(get_state(&fixture, "writes"), usage.writes);
	CU_ASSERT_EQUAL(get_state(&fixture, "watches"), usage.watches);
	CU_ASSERT_EQUAL(get_state(&fixture, "open_watches"), 1);
	fixture_stop(&fixture);
}

/* Starts one call of each kind. */
static void start_all(platform_client_t *client, result_t *result)
{
	*result = (result_t){ 0 };
	platform_config_fetch(client, 0, fetch_done, result);
	platform_config_history(client, "s", 0, fetch_done, result);
	platform_instances_list(client, list_done, result);
	platform_config_change(client, "s", 0, "{}", "w", NULL, change_done,
			       result);
	platform_watch_start(client, 0, watch_event, result);
}

/* Guards against callbacks after the client was freed, in each state of its
 * calls: not connected, sent, and waiting for the next read-back; and against
 * connections that stay open. */
static void test_free(void)
{
	static const clock_ms_t delays_ms[] = { 0, 1, 50, TIMEOUT_MS + 20 };
	static result_t result;
	fixture_t fixture;
	platform_client_t *client;
	int descriptors;
	size_t i;

	fixture_start(&fixture);
	set_fault(&fixture, "slow_ms=1000");
	descriptors = count_descriptors();
	for (i = 0; i < ROWS(delays_ms); i++) {
		int calls;

		client = new_client(&fixture, fixture.port, TIMEOUT_MS);
		start_all(client, &result);
		if (delays_ms[i] > 0)
			run_for(&fixture, delays_ms[i]);
		calls = result.calls;
		/* The change is in its read-backs; the other calls have
		 * ended. */
		CU_ASSERT_EQUAL(calls, delays_ms[i] > TIMEOUT_MS ? 4 : 0);
		platform_client_free(client);
		run_for(&fixture, 100);
		CU_ASSERT_EQUAL(result.calls, calls);
		CU_ASSERT_EQUAL(count_descriptors(), descriptors);
	}
	fixture_stop(&fixture);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "options", test_options },
		{ "change", test_change },
		{ "change repeated", test_change_repeated },
		{ "change arguments", test_change_arguments },
		{ "race", test_race },
		{ "removed", test_removed },
		{ "fetch pages", test_fetch_pages },
		{ "fetch snapshot", test_fetch_snapshot },
		{ "list", test_list },
		{ "unreachable", test_unreachable },
		{ "watch", test_watch },
		{ "watch silence", test_watch_silence },
		{ "watch compacted", test_watch_compacted },
		{ "watch stop", test_watch_stop },
		{ "usage", test_usage },
		{ "free", test_free },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("platform", cases, sizeof(cases) / sizeof(cases[0]));
}
