#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libcaller/caller.h"
#include "liboperator/operator.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define REQUEST_MAX_BYTES 4096
#define WAIT_MS 3000
#define ANSWER_SIZE 32768
#define TEXT_SIZE 256

static struct event_base *base;
static clock_source_t boot;
static uint16_t port;

/* What the handlers of the servers recorded, and how they answer. */
static struct {
	int requests;
	int malformed;
	caller_request_t request;
	char service[TEXT_SIZE];
	char statement[TEXT_SIZE];
	char key[TEXT_SIZE];
	char token[TEXT_SIZE];
	char transaction[TEXT_SIZE];
	char traceparent[TEXT_SIZE];
	char message[TEXT_SIZE];
	/* Calls are stored in kept[] instead of being answered. */
	bool keep_calls;
	caller_call_t *kept[4];
	int kept_count;
	bool ready;
	caller_answer_t answer;
	int drains;
	char name[16];
	char value[TEXT_SIZE];
	uint64_t base_revision;
} recorded;

static void on_request(void *context, caller_call_t *call,
		       const caller_request_t *request)
{
	(void)context;
	recorded.requests++;
	recorded.request = *request;
	snprintf(recorded.service, TEXT_SIZE, "%s", request->service);
	snprintf(recorded.statement, TEXT_SIZE, "%s", request->statement);
	snprintf(recorded.key, TEXT_SIZE, "%s", request->key);
	snprintf(recorded.token, TEXT_SIZE, "%s", request->token);
	snprintf(recorded.transaction, TEXT_SIZE, "%s", request->transaction);
	snprintf(recorded.traceparent, TEXT_SIZE, "%s", request->traceparent);
	if (recorded.keep_calls &&
	    recorded.kept_count < (int)COUNT(recorded.kept))
		recorded.kept[recorded.kept_count++] = call;
	else
		caller_call_answer(call, &recorded.answer);
}

static void on_malformed(void *context, const char *text)
{
	(void)context;
	recorded.malformed++;
	snprintf(recorded.message, TEXT_SIZE, "%s", text);
}

static bool on_ready(void *context)
{
	(void)context;
	return recorded.ready;
}

static void recorded_clear(void)
{
	memset(&recorded, 0, sizeof(recorded));
	recorded.ready = true;
	recorded.answer.age_ms = CALLER_AGE_NONE;
}

static uint16_t free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, length) != 0)
		abort();
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
	return ntohs(address.sin_port);
}

static caller_server_t *caller_start(void)
{
	caller_options_t options = { .address = "127.0.0.1",
				     .request_max_bytes = REQUEST_MAX_BYTES,
				     .idle_ms = 60000 };
	caller_handler_t handler = { .request = on_request,
				     .malformed = on_malformed,
				     .ready = on_ready };
	caller_server_t *server = NULL;
	int attempt;

	recorded_clear();
	/* Another program may take the free port before the server does. */
	for (attempt = 0; attempt < 10 && !server; attempt++) {
		port = options.port = free_port();
		server = caller_server_new(base, &options, &handler);
	}
	if (!server)
		abort();
	return server;
}

static void run_for(clock_ms_t time_ms)
{
	clock_ms_t end_ms = clock_source_now(&boot) + time_ms;

	do {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(200);
	} while (clock_source_now(&boot) < end_ms);
}

/* A connection of a caller. */
typedef struct {
	int fd;
	size_t count;
	char text[ANSWER_SIZE];
} client_t;

/* Opens a connection to the server. Returns NULL if it is refused. */
static client_t *client_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	client_t *client = check_allocate(sizeof(*client));

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(client->fd, (struct sockaddr *)&address, sizeof(address)) !=
	    0) {
		close(client->fd);
		free(client);
		return NULL;
	}
	fcntl(client->fd, F_SETFL, O_NONBLOCK);
	return client;
}

static client_t *client_open(void)
{
	client_t *client = client_connect();

	if (!client)
		abort();
	return client;
}

static void client_close(client_t *client)
{
	close(client->fd);
	free(client);
}

static void client_send(client_t *client, const char *bytes, size_t count)
{
	clock_ms_t end_ms = clock_source_now(&boot) + WAIT_MS;

	while (count > 0 && clock_source_now(&boot) < end_ms) {
		ssize_t sent = send(client->fd, bytes, count, MSG_NOSIGNAL);

		if (sent < 0 && errno != EAGAIN)
			return;
		if (sent > 0) {
			bytes += sent;
			count -= (size_t)sent;
		}
		run_for(0);
	}
}

/* Reads until needle was received, or until the server closes the connection if
 * needle is NULL. Returns false if this takes longer than WAIT_MS. */
static bool client_read(client_t *client, const char *needle)
{
	clock_ms_t end_ms = clock_source_now(&boot) + WAIT_MS;

	while (clock_source_now(&boot) < end_ms) {
		ssize_t count = read(client->fd, client->text + client->count,
				     ANSWER_SIZE - 1 - client->count);

		if (count > 0)
			client->count += (size_t)count;
		client->text[client->count] = '\0';
		if (needle && strstr(client->text, needle))
			return true;
		if (count == 0 || (count < 0 && errno != EAGAIN))
			return !needle;
		run_for(0);
	}
	return false;
}

static int status_of(const client_t *client)
{
	return strncmp(client->text, "HTTP/1.1 ", 9) == 0
		       ? (int)strtol(client->text + 9, NULL, 10)
		       : 0;
}

/* Sends one request on a connection of its own. With a path, text is the body;
 * without (NULL), text is the whole request. Returns the HTTP status, or 0 if
 * the server closed the connection without an answer. *answer receives the JSON
 * body or NULL. */
static int call(const char *method, const char *path, const char *text,
		size_t bytes, json_t **answer)
{
	client_t *client = client_open();
	const char *body;
	char head[512];
	int status;

	*answer = NULL;
	if (path) {
		snprintf(head, sizeof(head),
			 "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
			 "traceparent: trace\r\nContent-Length: %zu\r\n\r\n",
			 method, path, bytes);
		client_send(client, head, strlen(head));
	}
	client_send(client, text, bytes);
	if (!path)
		shutdown(client->fd, SHUT_WR);
	CHECK_ROW(client_read(client, NULL), path ? path : text);
	status = status_of(client);
	body = strstr(client->text, "\r\n\r\n");
	if (body)
		*answer = json_loads(body + 4, 0, NULL);
	client_close(client);
	return status;
}

static const char *text_of(const json_t *answer, const char *name)
{
	const char *text = json_string_value(json_object_get(answer, name));

	return text ? text : "";
}

/* Checks that the request was refused with a message that contains the given
 * one, and did not reach the handler. */
static void check_refusal(const char *row, json_t *answer, const char *message)
{
	CHECK_ROW(recorded.requests == 0, row);
	CHECK_ROW(recorded.malformed == 1, row);
	CHECK_ROW(strstr(recorded.message, message), row);
	CHECK_ROW(strcmp(text_of(answer, "message"), recorded.message) == 0,
		  row);
}

#define STATEMENT(rest) \
	"{\"service\":\"s\",\"kind\":\"read\",\"statement\":\"q\"" rest "}"
#define X_10 "xxxxxxxxxx"
#define X_60 X_10 X_10 X_10 X_10 X_10 X_10
#define X_127 X_60 X_60 "xxxxxxx"
#define E_ACUTE "\xc3\xa9"

typedef struct {
	const char *name;
	const char *path;
	const char *body;
	/* Part of the error message, or NULL if the request is accepted. */
	const char *message;
} field_row_t;

/* Guards against a field that is accepted with a wrong type or a value out of
 * range, and against a misspelt field that is ignored. */
static void test_fields(void)
{
	static const char s[] = "/v1/statement";
	static const field_row_t rows[] = {
		{ "least", s, STATEMENT(""), NULL },
		{ "write", s,
		  "{\"service\":\"s\",\"kind\":\"write\",\"statement\":\"\"}",
		  NULL },
		{ "outcome", "/v1/outcome", "{\"service\":\"s\",\"key\":\"k\"}",
		  NULL },
		{ "transaction", "/v1/transaction", "{\"service\":\"s\"}",
		  NULL },
		{ "commit", "/v1/commit", "{\"transaction\":\"t\"}", NULL },
		{ "rollback", "/v1/rollback", "{\"transaction\":\"t\"}", NULL },
		{ "service missing", s,
		  "{\"kind\":\"read\",\"statement\":\"\"}",
		  "service: required" },
		{ "kind missing", s, "{\"service\":\"s\",\"statement\":\"q\"}",
		  "kind: required" },
		{ "statement missing", s,
		  "{\"service\":\"s\",\"kind\":\"read\"}",
		  "statement: required" },
		{ "key empty", "/v1/outcome",
		  "{\"service\":\"s\",\"key\":\"\"}", "key: required" },
		{ "key missing", "/v1/outcome", "{\"service\":\"s\"}",
		  "key: required" },
		{ "transaction missing", "/v1/commit", "{}",
		  "transaction: required" },
		{ "service number", s, "{\"service\":1}", "service: text" },
		{ "service null", s, "{\"service\":null}", "service: text" },
		{ "service 63", s,
		  "{\"service\":\"" X_60
		  "xxx\",\"kind\":\"read\",\"statement\":\"q\"}",
		  NULL },
		{ "service 64", s, "{\"service\":\"" X_60 "xxxx\"}",
		  "service: at most 63" },
		{ "kind number", s, "{\"kind\":1}", "kind: \"read\"" },
		{ "kind unknown", s, "{\"kind\":\"Read\"}", "kind: \"read\"" },
		{ "statement list", s, "{\"statement\":[]}",
		  "statement: text" },
		{ "key 128", s, STATEMENT(",\"key\":\"" X_127 "x\""), NULL },
		{ "key 129", s, STATEMENT(",\"key\":\"" X_127 "xx\""),
		  "key: at most 128" },
		{ "key bool", s, STATEMENT(",\"key\":true"), "key: text" },
		{ "token number", s, STATEMENT(",\"token\":5"), "token: text" },
		{ "transaction 255", s,
		  STATEMENT(",\"transaction\":\"" X_127 X_127 "x\""), NULL },
		{ "transaction 256", s,
		  STATEMENT(",\"transaction\":\"" X_127 X_127 "xx\""),
		  "transaction: at most 255" },
		{ "age 0", s, STATEMENT(",\"max_age_ms\":0"), NULL },
		{ "age 1 h", s, STATEMENT(",\"max_age_ms\":3600000"), NULL },
		{ "age -1", s, STATEMENT(",\"max_age_ms\":-1"),
		  "max_age_ms: whole number from 0 to 3600000" },
		{ "age above 1 h", s, STATEMENT(",\"max_age_ms\":3600001"),
		  "max_age_ms: " },
		{ "age fraction", s, STATEMENT(",\"max_age_ms\":1.0"),
		  "max_age_ms: " },
		{ "age text", s, STATEMENT(",\"max_age_ms\":\"1\""),
		  "max_age_ms: " },
		{ "deadline 1", s, STATEMENT(",\"deadline_ms\":1"), NULL },
		{ "deadline 0", s, STATEMENT(",\"deadline_ms\":0"),
		  "deadline_ms: whole number from 1 to 600000" },
		{ "deadline 600001", s, STATEMENT(",\"deadline_ms\":600001"),
		  "deadline_ms: " },
		{ "deadline 2^64", s,
		  STATEMENT(",\"deadline_ms\":18446744073709551616"),
		  "body: " },
		{ "deadline null", s, STATEMENT(",\"deadline_ms\":null"),
		  "deadline_ms: " },
		{ "version 1000000", s,
		  STATEMENT(",\"schema_version\":1000000"), NULL },
		{ "version 0", s, STATEMENT(",\"schema_version\":0"),
		  "schema_version: " },
		{ "version 2^32 + 1", s,
		  STATEMENT(",\"schema_version\":4294967297"),
		  "schema_version: " },
		{ "unknown field", s, STATEMENT(",\"max_age\":1"),
		  "max_age: unknown field" },
		{ "field of another path", "/v1/commit",
		  "{\"transaction\":\"t\",\"service\":\"s\"}",
		  "service: unknown field" },
		{ "part of a list of fields", s,
		  STATEMENT(",\"token max_age_ms\":1"), "unknown field" },
		{ "empty field name", s, STATEMENT(",\"\":1"),
		  ": unknown field" },
		{ "long field name", s, STATEMENT(",\"" X_127 "\":1"),
		  X_60 "xxxx: unknown field" },
		{ "field name cut inside a character", s,
		  STATEMENT(",\"" X_60 "xxx" E_ACUTE E_ACUTE "\":1"),
		  "xxx: unknown field" },
		{ "key twice", s, STATEMENT(",\"key\":\"a\",\"key\":\"b\""),
		  "body: duplicate" },
		{ "zero byte", s, STATEMENT(",\"key\":\"a\\u0000b\""),
		  "body: " },
		{ "invalid UTF-8", s, STATEMENT(",\"key\":\"\xff\""),
		  "body: " },
		{ "lone surrogate", s, STATEMENT(",\"key\":\"\\ud800\""),
		  "body: " },
		{ "empty", s, "", "body: empty" },
		{ "cut", s, "{\"service\":\"s\",\"kin", "body: " },
		{ "rest", s, STATEMENT("") "x", "body: " },
		{ "list", s, "[]", "body: a JSON object" },
		{ "number", s, "1", "body: " },
	};
	caller_server_t *server = caller_start();
	json_t *answer;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		int status;

		recorded_clear();
		status = call("POST", rows[i].path, rows[i].body,
			      strlen(rows[i].body), &answer);
		CHECK_ROW(status == (rows[i].message ? 400 : 200),
			  rows[i].name);
		if (rows[i].message) {
			check_refusal(rows[i].name, answer, rows[i].message);
			CHECK_ROW(strcmp(text_of(answer, "outcome"),
					 strcmp(rows[i].path, "/v1/outcome")
						 ? "not-run"
						 : "unknown") == 0,
				  rows[i].name);
		} else {
			CHECK_ROW(recorded.requests == 1 &&
					  recorded.malformed == 0,
				  rows[i].name);
		}
		json_decref(answer);
	}
	CU_ASSERT_EQUAL(caller_server_pending(server), 0);
	caller_server_free(server);
}

/* Guards against a value that is stored in another field of the request. */
static void test_values(void)
{
	static const char body[] =
		STATEMENT(",\"key\":\"k\",\"token\":\"t\",\"max_age_ms\":5,"
			  "\"deadline_ms\":6,\"schema_version\":7,"
			  "\"transaction\":\"x\"");
	static const char least[] = STATEMENT("");
	caller_server_t *server = caller_start();
	json_t *answer;

	CU_ASSERT_EQUAL(
		call("POST", "/v1/statement", body, strlen(body), &answer),
		200);
	json_decref(answer);
	CU_ASSERT_EQUAL(recorded.request.operation, CALLER_OPERATION_READ);
	CU_ASSERT_STRING_EQUAL(recorded.service, "s");
	CU_ASSERT_STRING_EQUAL(recorded.statement, "q");
	CU_ASSERT_STRING_EQUAL(recorded.key, "k");
	CU_ASSERT_STRING_EQUAL(recorded.token, "t");
	CU_ASSERT_STRING_EQUAL(recorded.transaction, "x");
	CU_ASSERT_STRING_EQUAL(recorded.traceparent, "trace");
	CU_ASSERT_EQUAL(recorded.request.max_age_ms, 5);
	CU_ASSERT_EQUAL(recorded.request.deadline_ms, 6);
	CU_ASSERT_EQUAL(recorded.request.schema_version, 7);
	CU_ASSERT_EQUAL(
		call("POST", "/v1/statement", least, strlen(least), &answer),
		200);
	json_decref(answer);
	CU_ASSERT_STRING_EQUAL(recorded.key, "");
	CU_ASSERT_STRING_EQUAL(recorded.token, "");
	CU_ASSERT_EQUAL(recorded.request.max_age_ms, CALLER_AGE_NONE);
	CU_ASSERT_EQUAL(recorded.request.deadline_ms, 0);
	caller_server_free(server);
}

typedef struct {
	const char *name;
	const char *text;
	int status;
	/* Error message that the handler receives; NULL if the request is
	 * accepted, or refused by libevent. */
	const char *message;
} stream_row_t;

#define HEAD(line) line " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
#define STATEMENT_HEAD HEAD("POST /v1/statement")

/* Guards against a request that reaches the handler although it is truncated,
 * too large or not HTTP. */
static void test_streams(void)
{
	static const stream_row_t rows[] = {
		{ "ready", HEAD("GET /v1/ready") "\r\n", 200, NULL },
		{ "wrong method", HEAD("GET /v1/statement") "\r\n", 405,
		  "method: POST expected" },
		{ "put", HEAD("PUT /v1/commit") "Content-Length: 2\r\n\r\n{}",
		  405, "method: POST expected" },
		{ "method not served", HEAD("DELETE /v1/statement") "\r\n", 501,
		  NULL },
		{ "wrong path",
		  HEAD("POST /v1/statements") "Content-Length: 0\r\n\r\n", 404,
		  "path: unknown" },
		{ "slash at the end",
		  HEAD("POST /v1/statement/") "Content-Length: 0\r\n\r\n", 404,
		  "path: unknown" },
		{ "escaped path",
		  HEAD("POST /v1%2fstatement") "Content-Length: 0\r\n\r\n", 404,
		  "path: unknown" },
		{ "no body", STATEMENT_HEAD "\r\n", 400, "body: empty" },
		{ "body cut", STATEMENT_HEAD "Content-Length: 50\r\n\r\n{", 0,
		  NULL },
		{ "head cut", "POST /v1/statement HTTP/1.1\r\nHost:", 0, NULL },
		{ "oversized", STATEMENT_HEAD "Content-Length: 4097\r\n\r\n",
		  413, NULL },
		{ "length 2^64",
		  STATEMENT_HEAD "Content-Length: 18446744073709551616\r\n\r\n",
		  413, NULL },
		{ "negative length",
		  STATEMENT_HEAD "Content-Length: -1\r\n\r\n", 400, NULL },
		{ "length is a text",
		  STATEMENT_HEAD "Content-Length: x\r\n\r\n", 400, NULL },
		{ "oversized chunk",
		  STATEMENT_HEAD "Transfer-Encoding: chunked\r\n\r\n"
				 "1001\r\n",
		  413, NULL },
		{ "chunk cut",
		  STATEMENT_HEAD "Transfer-Encoding: chunked\r\n\r\n9\r\n{", 0,
		  NULL },
		{ "not HTTP", "\x16\x03\x01\r\n\r\n", 400, NULL },
	};
	caller_server_t *server = caller_start();
	json_t *answer;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		int status;

		recorded_clear();
		status = call(NULL, NULL, rows[i].text, strlen(rows[i].text),
			      &answer);
		CHECK_ROW(status == rows[i].status, rows[i].name);
		if (status != rows[i].status)
			fprintf(stderr, "%s: status %d\n", rows[i].name,
				status);
		CHECK_ROW(recorded.requests == 0, rows[i].name);
		if (rows[i].message)
			check_refusal(rows[i].name, answer, rows[i].message);
		json_decref(answer);
	}
	recorded_clear();
	recorded.ready = false;
	CU_ASSERT_EQUAL(call("GET", "/v1/ready", "", 0, &answer), 503);
	CU_ASSERT_EQUAL(caller_server_pending(server), 0);
	caller_server_free(server);
}

/* Guards against deeply nested input, which would make the parser recurse
 * without bound, and against headers above the limit that are accepted. */
static void test_generated_input(void)
{
	caller_server_t *server = caller_start();
	char *text = check_allocate(32768);
	json_t *answer;

	memset(text, '[', REQUEST_MAX_BYTES);
	CU_ASSERT_EQUAL(
		call("POST", "/v1/statement", text, REQUEST_MAX_BYTES, &answer),
		400);
	check_refusal("nested", answer, "body: maximum parsing depth");
	json_decref(answer);
	recorded_clear();
	snprintf(text, 32768, "GET /v1/ready HTTP/1.1\r\nX: %020000d\r\n\r\n",
		 0);
	CU_ASSERT_NOT_EQUAL(call(NULL, NULL, text, strlen(text), &answer), 200);
	json_decref(answer);
	CU_ASSERT_EQUAL(recorded.requests, 0);
	free(text);
	caller_server_free(server);
}

/* Guards against an HTTP status that tells the caller to repeat a statement
 * that may have run, and against fields that are missing from an answer or have
 * no value behind them. */
static void test_answers(void)
{
	static const struct {
		caller_answer_t answer;
		int status;
		const char *body;
	} rows[] = {
		{ { .outcome = CALLER_OUTCOME_DONE,
		    .rows_json = "[[1,null]]",
		    .token = "t",
		    .target = "db-1",
		    .point = { 2, 30 },
		    .primary = true,
		    .age_ms = 0 },
		  200,
		  "{\"age_ms\":0,\"outcome\":\"done\",\"position\":30,"
		  "\"rows\":[[1,null]],\"served_by\":\"primary\","
		  "\"target\":\"db-1\",\"term\":2,\"token\":\"t\"}" },
		{ { .outcome = CALLER_OUTCOME_DONE,
		    .target = "db-2",
		    .transaction = "x",
		    .age_ms = 7 },
		  200,
		  "{\"age_ms\":7,\"outcome\":\"done\",\"served_by\":"
		  "\"replica\",\"target\":\"db-2\",\"transaction\":\"x\"}" },
		{ { .outcome = CALLER_OUTCOME_NOT_RUN,
		    .reason = "deadline",
		    .age_ms = CALLER_AGE_NONE },
		  503,
		  "{\"outcome\":\"not-run\",\"reason\":\"deadline\"}" },
		{ { .outcome = CALLER_OUTCOME_CONFLICT,
		    .reason = "key-mismatch",
		    .age_ms = CALLER_AGE_NONE },
		  409,
		  "{\"outcome\":\"not-run\",\"reason\":\"key-mismatch\"}" },
		{ { .outcome = CALLER_OUTCOME_REJECTED,
		    .reason = "statement",
		    .message = "a \"b\"\n",
		    .target = "db-1",
		    .age_ms = CALLER_AGE_NONE },
		  422,
		  "{\"message\":\"a \\\"b\\\"\\n\",\"outcome\":\"not-run\","
		  "\"reason\":\"statement\",\"target\":\"db-1\"}" },
		{ { .outcome = CALLER_OUTCOME_BAD_REQUEST,
		    .reason = "",
		    .age_ms = CALLER_AGE_NONE },
		  400,
		  "{\"outcome\":\"not-run\"}" },
		{ { .outcome = CALLER_OUTCOME_UNKNOWN,
		    .reason = "no-answer",
		    .age_ms = CALLER_AGE_NONE },
		  504,
		  "{\"outcome\":\"unknown\",\"reason\":\"no-answer\"}" },
		{ { .outcome = CALLER_OUTCOME_DONE,
		    .rows_json = "[1",
		    .message = "\xff",
		    .age_ms = CALLER_AGE_NONE },
		  200,
		  "{\"outcome\":\"done\"}" },
	};
	static const char body[] = STATEMENT("");
	caller_server_t *server = caller_start();
	json_t *answer;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		char *text;

		recorded_clear();
		recorded.answer = rows[i].answer;
		CHECK_SEED(call("POST", "/v1/statement", body, strlen(body),
				&answer) == rows[i].status,
			   i);
		text = json_dumps(answer, JSON_COMPACT | JSON_SORT_KEYS);
		CHECK_SEED(text && strcmp(text, rows[i].body) == 0, i);
		free(text);
		json_decref(answer);
	}
	caller_server_free(server);
}

/* Guards against an answer to an outcome request that the caller takes for the
 * outcome of the write, although the request failed to settle it. */
static void test_outcome_answers(void)
{
	static const struct {
		caller_outcome_t outcome;
		int status;
		const char *text;
	} rows[] = {
		{ CALLER_OUTCOME_DONE, 200, "done" },
		{ CALLER_OUTCOME_CONFLICT, 409, "not-run" },
		{ CALLER_OUTCOME_NOT_RUN, 503, "unknown" },
		{ CALLER_OUTCOME_REJECTED, 422, "unknown" },
		{ CALLER_OUTCOME_BAD_REQUEST, 400, "unknown" },
		{ CALLER_OUTCOME_UNKNOWN, 504, "unknown" },
	};
	static const char body[] = "{\"service\":\"s\",\"key\":\"k\"}";
	caller_server_t *server = caller_start();
	json_t *answer;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		recorded_clear();
		recorded.answer =
			(caller_answer_t){ .outcome = rows[i].outcome,
					   .reason = "r",
					   .age_ms = CALLER_AGE_NONE };
		CHECK_SEED(call("POST", "/v1/outcome", body, strlen(body),
				&answer) == rows[i].status,
			   i);
		CHECK_SEED(strcmp(text_of(answer, "outcome"), rows[i].text) ==
				   0,
			   i);
		json_decref(answer);
	}
	caller_server_free(server);
}

#define KEPT_REQUEST                                                \
	"POST /v1/rollback HTTP/1.1\r\nHost: x\r\nContent-Length: " \
	"19\r\n\r\n{\"transaction\":\"t\"}"

/* Guards against an invalid access when a call is answered after the caller has
 * closed the connection, against answers in another order than the requests of
 * a connection, and against a header value that adds another header. */
static void test_connections(void)
{
	caller_server_t *server = caller_start();
	client_t *client = client_open();
	caller_answer_t answer = { .reason = "first",
				   .traceparent = "a\r\nX-Forged: 1",
				   .age_ms = CALLER_AGE_NONE };

	/* Two requests that arrive in one write are answered in order. */
	recorded.keep_calls = true;
	client_send(client, KEPT_REQUEST KEPT_REQUEST,
		    2 * strlen(KEPT_REQUEST));
	run_for(20);
	CU_ASSERT_EQUAL(recorded.kept_count, 1);
	CU_ASSERT_EQUAL(caller_server_pending(server), 1);
	caller_call_answer(recorded.kept[0], &answer);
	CU_ASSERT_TRUE(client_read(client, "first"));
	CU_ASSERT_PTR_NULL(strstr(client->text, "X-Forged"));
	run_for(20);
	CU_ASSERT_EQUAL_FATAL(recorded.kept_count, 2);
	answer.reason = "second";
	answer.traceparent = "00-trace";
	caller_call_answer(recorded.kept[1], &answer);
	CU_ASSERT_TRUE(client_read(client, "second"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(client->text, "traceparent: 00-trace\r\n"));

	/* The caller closes the connection before the answer. */
	client_send(client, KEPT_REQUEST, strlen(KEPT_REQUEST));
	run_for(20);
	CU_ASSERT_EQUAL_FATAL(recorded.kept_count, 3);
	client_close(client);
	run_for(20);
	CU_ASSERT_EQUAL(caller_server_pending(server), 1);
	caller_call_answer(recorded.kept[2], &answer);
	run_for(20);
	CU_ASSERT_EQUAL(caller_server_pending(server), 0);
	caller_server_free(server);
}

/* Guards against a shutdown that drops a request in flight, and against new
 * connections that are accepted during the shutdown and never answered. */
static void test_stop_accepting(void)
{
	caller_server_t *server = caller_start();
	client_t *client = client_open();
	client_t *late;

	recorded.keep_calls = true;
	client_send(client, KEPT_REQUEST, strlen(KEPT_REQUEST));
	run_for(20);
	CU_ASSERT_EQUAL_FATAL(recorded.kept_count, 1);
	caller_server_stop_accepting(server);
	caller_server_stop_accepting(server);
	late = client_connect();
	CU_ASSERT_PTR_NULL(late);
	if (late)
		client_close(late);
	caller_call_answer(recorded.kept[0], &recorded.answer);
	CU_ASSERT_TRUE(client_read(client, NULL));
	CU_ASSERT_EQUAL(status_of(client), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Connection: close\r\n"));
	client_close(client);
	caller_server_free(server);
}

/* Server for operators. */

static char *on_metrics(void *context)
{
	(void)context;
	return strdup("a_total 1\n");
}

static json_t *on_status(void *context)
{
	(void)context;
	return json_pack("{s:s}", "name", "proxy-1");
}

static void answer_operator(operator_call_t *operator_call, const char *name,
			    const char *service)
{
	recorded.requests++;
	snprintf(recorded.name, sizeof(recorded.name), "%s", name);
	snprintf(recorded.service, TEXT_SIZE, "%s", service);
	operator_call_answer(operator_call, 202, json_pack("{s:s}", "a", name));
}

static void on_get(void *context, operator_call_t *operator_call,
		   const char *service)
{
	(void)context;
	answer_operator(operator_call, "get", service);
}

static void on_history(void *context, operator_call_t *operator_call,
		       const char *service)
{
	(void)context;
	answer_operator(operator_call, "history", service);
}

static void on_change(void *context, operator_call_t *operator_call,
		      const operator_change_t *change)
{
	(void)context;
	recorded.base_revision = change->base_revision;
	snprintf(recorded.value, TEXT_SIZE, "%s", change->value);
	snprintf(recorded.key, TEXT_SIZE, "%s", change->operator_name);
	answer_operator(operator_call, "change", change->service);
}

static void on_drain(void *context)
{
	(void)context;
	recorded.drains++;
}

typedef struct {
	const char *name;
	const char *method;
	const char *path;
	const char *body;
	int status;
	/* Accepted request: the called handler, and the service in text.
	 * Refused request: NULL, and part of the error message in text. */
	const char *handler;
	const char *text;
} operator_row_t;

#define CHANGE(service, base, value)                                           \
	"{\"service\":" service ",\"base_revision\":" base ",\"value\":" value \
	"}"

/* Guards against a malformed change that is accepted as another change,
 * especially as the removal of a service. */
static void test_operator(void)
{
	static const char c[] = "/v1/config";
	static const operator_row_t rows[] = {
		{ "get all", "GET", c, "", 202, "get", "" },
		{ "get", "GET", "/v1/config?service=a%2Db", "", 202, "get",
		  "a-b" },
		{ "history", "GET", "/v1/config/history?service=s", "", 202,
		  "history", "s" },
		{ "history of none", "GET", "/v1/config/history", "", 400, NULL,
		  "service: required" },
		{ "history empty", "GET", "/v1/config/history?service=", "",
		  400, NULL, "service: required" },
		{ "change", "PUT", c, CHANGE("\"s\"", "4", "{\"a\":1}"), 202,
		  "change", "s" },
		{ "remove", "PUT", c, CHANGE("\"s\"", "0", "null"), 202,
		  "change", "s" },
		{ "value missing", "PUT", c,
		  "{\"service\":\"s\",\"base_revision\":4}", 400, NULL,
		  "value: " },
		{ "value text", "PUT", c, CHANGE("\"s\"", "4", "\"\""), 400,
		  NULL, "value: " },
		{ "value list", "PUT", c, CHANGE("\"s\"", "4", "[]"), 400, NULL,
		  "value: " },
		{ "service empty", "PUT", c, CHANGE("\"\"", "4", "null"), 400,
		  NULL, "service: " },
		{ "service 64", "PUT", c,
		  CHANGE("\"" X_60 "xxxx\"", "4", "null"), 400, NULL,
		  "service: " },
		{ "service number", "PUT", c, CHANGE("1", "4", "null"), 400,
		  NULL, "service: " },
		{ "base missing", "PUT", c,
		  "{\"service\":\"s\",\"value\":null}", 400, NULL,
		  "base_revision: " },
		{ "base -1", "PUT", c, CHANGE("\"s\"", "-1", "null"), 400, NULL,
		  "base_revision: " },
		{ "base text", "PUT", c, CHANGE("\"s\"", "\"4\"", "null"), 400,
		  NULL, "base_revision: " },
		{ "unknown field", "PUT", c,
		  "{\"service\":\"s\",\"base_revision\":4,\"value\":{},"
		  "\"force\":true}",
		  400, NULL, "body: only " },
		{ "operator number", "PUT", c,
		  "{\"service\":\"s\",\"base_revision\":4,\"value\":null,"
		  "\"operator\":1}",
		  400, NULL, "operator: " },
		{ "value twice", "PUT", c,
		  "{\"service\":\"s\",\"base_revision\":4,\"value\":{},"
		  "\"value\":null}",
		  400, NULL, "body: " },
		{ "body list", "PUT", c, "[]", 400, NULL, "body: " },
		{ "body cut", "PUT", c, "{", 400, NULL, "body: " },
		{ "body empty", "PUT", c, "", 400, NULL, "body: empty" },
		{ "wrong path", "GET", "/v1/configs", "", 404, NULL, "path: " },
		{ "drain by get", "GET", "/v1/drain", "", 404, NULL, "path: " },
	};
	operator_options_t options = { .address = "127.0.0.1",
				       .idle_ms = 60000 };
	operator_handler_t handler = {
		.metrics = on_metrics,
		.status = on_status,
		.get = on_get,
		.change = on_change,
		.history = on_history,
		.drain = on_drain,
		.malformed = on_malformed,
	};
	operator_server_t *server = NULL;
	client_t *client;
	json_t *answer;
	size_t i;

	for (i = 0; i < 10 && !server; i++) {
		port = options.port = free_port();
		server = operator_server_new(base, &options, &handler);
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	for (i = 0; i < COUNT(rows); i++) {
		const operator_row_t *row = &rows[i];

		recorded_clear();
		CHECK_ROW(call(row->method, row->path, row->body,
			       strlen(row->body), &answer) == row->status,
			  row->name);
		if (row->handler) {
			CHECK_ROW(strcmp(recorded.name, row->handler) == 0,
				  row->name);
			CHECK_ROW(strcmp(recorded.service, row->text) == 0,
				  row->name);
			CHECK_ROW(recorded.malformed == 0, row->name);
		} else {
			check_refusal(row->name, answer, row->text);
		}
		CHECK_ROW(recorded.drains == 0, row->name);
		if (strcmp(row->name, "change") == 0) {
			CU_ASSERT_EQUAL(recorded.base_revision, 4);
			CU_ASSERT_STRING_EQUAL(recorded.value, "{\"a\":1}");
			CU_ASSERT_STRING_EQUAL(recorded.key, "unnamed");
		}
		if (strcmp(row->name, "remove") == 0)
			CU_ASSERT_STRING_EQUAL(recorded.value, "");
		json_decref(answer);
	}
	CU_ASSERT_EQUAL(call("GET", "/v1/status", "", 0, &answer), 200);
	CU_ASSERT_STRING_EQUAL(text_of(answer, "name"), "proxy-1");
	json_decref(answer);
	CU_ASSERT_EQUAL(call("POST", "/v1/drain", "", 0, &answer), 200);
	CU_ASSERT_EQUAL(recorded.drains, 1);
	json_decref(answer);
	client = client_open();
	client_send(client, HEAD("GET /metrics") "\r\n",
		    strlen(HEAD("GET /metrics") "\r\n"));
	CU_ASSERT_TRUE(client_read(client, NULL));
	CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "text/plain; version="));
	CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "\r\n\r\na_total 1\n"));
	client_close(client);
	operator_server_free(server);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "fields", test_fields },
		{ "values", test_values },
		{ "streams", test_streams },
		{ "generated input", test_generated_input },
		{ "answers", test_answers },
		{ "outcome answers", test_outcome_answers },
		{ "connections", test_connections },
		{ "stop accepting", test_stop_accepting },
		{ "operator", test_operator },
	};
	int status;

	boot = clock_source_boot();
	base = event_base_new();
	if (!base)
		return 1;
	status = check_main("caller", cases, COUNT(cases));
	event_base_free(base);
	return status;
}
