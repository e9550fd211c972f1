#include "check.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <jansson.h>
#include <libpq-fe.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libclock/clock.h"
#include "libgroup/group.h"
#include "libtarget/target.h"

#define TARGET_COUNT 3
#define TEST_LIMIT_MS 5000
#define COORDINATOR 7

/* A group of stand-in targets, with a control connection and a pool for each
 * of them. */
typedef struct {
	pid_t pids[TARGET_COUNT];
	uint16_t ports[TARGET_COUNT];
	uint16_t control_ports[TARGET_COUNT];
	struct event_base *base;
	clock_source_t clock;
	target_control_t *controls[TARGET_COUNT];
	target_pool_t *pools[TARGET_COUNT];
} group_t;

static const char *const names[TARGET_COUNT] = { "a", "b", "c" };

static const char *standin_path;

/* Copy of the result of a job, and the number of callbacks. */
typedef struct {
	int calls;
	target_result_t result;
	char *rows;
} answer_t;

/* Copy of the result of a control call, and the number of callbacks. */
typedef struct {
	int calls;
	int error;
	clock_ms_t sent_at_ms;
	group_status_t status;
} call_answer_t;

static int connect_port(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	struct timeval limit = { .tv_sec = 2 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void sleep_ms(clock_ms_t time_ms)
{
	usleep((useconds_t)time_ms * 1000);
}

/* Fails the test with the state of a stand-in that does not listen in time. */
static void fail_start(pid_t pid)
{
	int status;

	if (waitpid(pid, &status, WNOHANG) == pid)
		printf("the stand-in ended with wait status %d\n", status);
	else
		printf("the stand-in runs but does not listen\n");
	CU_FAIL_FATAL("the stand-in did not start");
}

static void start_target(group_t *group, size_t i, const char *connections)
{
	char listen[32];
	char control[32];
	char members[128];
	int tries;
	int fd;

	snprintf(listen, sizeof(listen), "127.0.0.1:%u", group->ports[i]);
	snprintf(control, sizeof(control), "127.0.0.1:%u",
		 group->control_ports[i]);
	snprintf(members, sizeof(members),
		 "a=127.0.0.1:%u,b=127.0.0.1:%u,c=127.0.0.1:%u",
		 group->ports[0], group->ports[1], group->ports[2]);
	group->pids[i] = fork();
	CU_ASSERT_FATAL(group->pids[i] >= 0);
	if (group->pids[i] == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl(standin_path, "standin-target", "--name", names[i],
		      "--listen", listen, "--control", control, "--group",
		      members, "--connections", connections,
		      i == 0 ? "--primary" : NULL, NULL);
		_exit(127);
	}
	for (tries = 0; tries < 200; tries++) {
		fd = connect_port(group->control_ports[i]);
		if (fd >= 0) {
			close(fd);
			return;
		}
		sleep_ms(10);
	}
	fail_start(group->pids[i]);
}

/* Sends an HTTP request to the control port of a stand-in. Returns the body of
 * the response, valid until the next call. */
static const char *http(const group_t *group, size_t i, const char *method,
			const char *path)
{
	static char answer[1 << 20];
	char request[256];
	size_t used = 0;
	int fd = connect_port(group->control_ports[i]);
	const char *body;
	ssize_t got;

	CU_ASSERT_FATAL(fd >= 0);
	snprintf(request, sizeof(request),
		 "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
		 "Content-Length: 0\r\n\r\n",
		 method, path);
	CU_ASSERT(write(fd, request, strlen(request)) ==
		  (ssize_t)strlen(request));
	while (used < sizeof(answer) - 1 &&
	       (got = read(fd, answer + used, sizeof(answer) - 1 - used)) > 0)
		used += (size_t)got;
	answer[used] = '\0';
	close(fd);
	CU_ASSERT(strncmp(answer, "HTTP/1.1 200", 12) == 0);
	body = strstr(answer, "\r\n\r\n");
	return body ? body + 4 : "";
}

/* Sets a fault of a stand-in, given as "name=value". */
static void set_fault(const group_t *group, size_t i, const char *query)
{
	char path[128];

	snprintf(path, sizeof(path), "/fault?%s", query);
	http(group, i, "POST", path);
}

/* Returns the state that a stand-in reports on its control port. */
static json_t *state(const group_t *group, size_t i)
{
	json_t *parsed = json_loads(http(group, i, "GET", "/state"), 0, NULL);

	CU_ASSERT_FATAL(parsed != NULL);
	return parsed;
}

/* Returns a number in the state of a stand-in, or in an object of the state if
 * object is not NULL. */
static json_int_t state_number(const group_t *group, size_t i,
			       const char *object, const char *name)
{
	json_t *all = state(group, i);
	json_t *from = object ? json_object_get(all, object) : all;
	json_int_t number = json_integer_value(json_object_get(from, name));

	json_decref(all);
	return number;
}

/* Returns whether a record of a stand-in has this value; NULL means that there
 * is no such record. */
static bool state_record(const group_t *group, size_t i, const char *id,
			 const char *value)
{
	json_t *all = state(group, i);
	const char *found = json_string_value(
		json_object_get(json_object_get(all, "records"), id));
	bool equal = value ? found && strcmp(found, value) == 0 : !found;

	json_decref(all);
	return equal;
}

static int64_t executions(const group_t *group, size_t i, const char *key)
{
	json_t *all = state(group, i);
	json_t *outcome =
		json_object_get(json_object_get(all, "outcomes"), key);
	json_int_t count =
		json_integer_value(json_object_get(outcome, "executions"));

	json_decref(all);
	return count;
}

static const target_pool_options_t pool_options = {
	.connections_max = 4,
	.connects_per_second = 50,
	.connect_timeout_ms = 500,
	.idle_ms = 60000,
};

static target_endpoint_t endpoint(const group_t *group, size_t i)
{
	return (target_endpoint_t){
		.name = names[i],
		.address = "127.0.0.1",
		.port = group->ports[i],
		.user = "hornbeamtack",
		.database = "records",
	};
}

static group_t *group_start(const char *connections)
{
	group_t *group = calloc(1, sizeof(*group));
	size_t i;

	group->base = event_base_new();
	group->clock = clock_source_boot();
	for (i = 0; i < TARGET_COUNT; i++) {
		group->ports[i] = check_reserve_port();
		group->control_ports[i] = check_reserve_port();
	}
	for (i = 0; i < TARGET_COUNT; i++) {
		target_endpoint_t at = endpoint(group, i);

		start_target(group, i, connections);
		group->controls[i] = target_control_new(
			group->base, &group->clock, &at, NULL, NULL);
		group->pools[i] =
			target_pool_new(group->base, &group->clock, &at,
					&pool_options, NULL, NULL);
	}
	return group;
}

static void kill_target(group_t *group, size_t i)
{
	if (group->pids[i] > 0) {
		kill(group->pids[i], SIGKILL);
		waitpid(group->pids[i], NULL, 0);
	}
	group->pids[i] = 0;
}

/* Ends a stand-in. The test fails if the stand-in crashed or a sanitizer found
 * a leak in it. */
static void stop_target(group_t *group, size_t i)
{
	pid_t pid = group->pids[i];
	int exit_status = -1;
	int tries;

	if (pid <= 0)
		return;
	kill(pid, SIGTERM);
	for (tries = 0; tries < 200; tries++) {
		if (waitpid(pid, &exit_status, WNOHANG) == pid) {
			CU_ASSERT(exit_status == 0);
			group->pids[i] = 0;
			return;
		}
		sleep_ms(10);
	}
	CU_FAIL("the stand-in did not end");
	kill_target(group, i);
}

static void group_stop(group_t *group)
{
	size_t i;

	for (i = 0; i < TARGET_COUNT; i++) {
		target_control_free(group->controls[i]);
		target_pool_free(group->pools[i]);
		stop_target(group, i);
	}
	event_base_free(group->base);
	free(group);
}

static clock_ms_t now_ms(const group_t *group)
{
	return clock_source_now(&group->clock);
}

static void on_answer(void *context, const target_result_t *result)
{
	answer_t *answer = context;

	answer->calls++;
	answer->result = *result;
	answer->result.rows_json = NULL;
	free(answer->rows);
	answer->rows = result->rows_json ? strdup(result->rows_json) : NULL;
}

static void on_call(void *context, int error, clock_ms_t sent_at_ms,
		    const group_status_t *status)
{
	call_answer_t *answer = context;

	answer->calls++;
	answer->error = error;
	answer->sent_at_ms = sent_at_ms;
	if (status)
		answer->status = *status;
}

static void run_step(group_t *group)
{
	struct timeval step = { .tv_usec = 5000 };

	event_base_loopexit(group->base, &step);
	event_base_loop(group->base, EVLOOP_ONCE);
}

/* Runs the event loop until *calls is count. The test fails if that takes
 * longer than TEST_LIMIT_MS. */
static void run_until(group_t *group, const int *calls, int count)
{
	clock_ms_t end_ms = now_ms(group) + TEST_LIMIT_MS;

	while (*calls < count && now_ms(group) < end_ms)
		run_step(group);
	CU_ASSERT(*calls == count);
}

static void run_for(group_t *group, clock_ms_t time_ms)
{
	clock_ms_t end_ms = now_ms(group) + time_ms;

	while (now_ms(group) < end_ms)
		run_step(group);
}

static call_answer_t call(group_t *group, size_t i, target_call_t options)
{
	call_answer_t answer = { 0 };

	if (options.timeout_ms == 0)
		options.timeout_ms = 2000;
	CU_ASSERT(target_control_call(group->controls[i], &options, on_call,
				      &answer) == TARGET_OK);
	CU_ASSERT(answer.calls == 0);
	run_until(group, &answer.calls, 1);
	return answer;
}

static group_status_t status(group_t *group, size_t i)
{
	call_answer_t answer =
		call(group, i, (target_call_t){ .kind = TARGET_CALL_STATUS });

	CU_ASSERT(answer.error == TARGET_OK);
	return answer.status;
}

/* Runs a job and waits for its result. A deadline of 0 becomes 2 s from now. */
static answer_t run(group_t *group, size_t i, target_job_t job)
{
	answer_t answer = { 0 };

	if (job.deadline_ms == 0)
		job.deadline_ms = now_ms(group) + 2000;
	CU_ASSERT(target_pool_run(group->pools[i], &job, on_answer, &answer) ==
		  TARGET_OK);
	CU_ASSERT(answer.calls == 0);
	run_until(group, &answer.calls, 1);
	return answer;
}

static target_job_t write_job(const char *statement, const char *key,
			      uint32_t term)
{
	return (target_job_t){ .kind = TARGET_JOB_WRITE,
			       .statement = statement,
			       .key = key,
			       .fingerprint = 11,
			       .term = term };
}

static bool has_rows(const answer_t *answer, const char *rows)
{
	return answer->rows && strcmp(answer->rows, rows) == 0;
}

/* Runs a job, checks its rows unless rows is NULL, and returns its error. */
static int run_rows(group_t *group, size_t i, target_job_t job,
		    const char *rows)
{
	answer_t answer = run(group, i, job);

	if (rows)
		CHECK_ROW(has_rows(&answer, rows), rows);
	free(answer.rows);
	return answer.result.error;
}

static int write_plain(group_t *group, size_t i, const char *statement,
		       uint32_t term)
{
	return run_rows(group, i, write_job(statement, NULL, term), NULL);
}

/* Waits until a target has applied its log up to a log point. */
static void wait_applied(group_t *group, size_t i, group_point_t point)
{
	call_answer_t answer =
		call(group, i,
		     (target_call_t){ .kind = TARGET_CALL_WAIT,
				      .term = point.term,
				      .position_bytes = point.position_bytes,
				      .wait_ms = 1500 });

	CU_ASSERT(answer.error == TARGET_OK);
	CU_ASSERT(answer.status.applied_bytes >= point.position_bytes);
}

/* Guards against a failure of a plain write, read or status, and against a read
 * that a replica answers before it has applied the required log point. */
static void test_write_read(void)
{
	group_t *group = group_start("20");
	answer_t answer =
		run(group, 0,
		    write_job("INSERT INTO records VALUES ('k', 'it''s')", NULL,
			      1));
	target_job_t read = { .kind = TARGET_JOB_READ,
			      .statement = "SELECT value FROM records "
					   "WHERE id = 'k'" };
	group_status_t primary = status(group, 0);

	CU_ASSERT(answer.result.error == TARGET_OK);
	CU_ASSERT(has_rows(&answer, "[]"));
	CU_ASSERT(answer.result.point.term == 1);
	CU_ASSERT(answer.result.point.position_bytes == primary.position_bytes);
	CU_ASSERT(primary.role == GROUP_ROLE_PRIMARY);
	CU_ASSERT(primary.log_term == 1);
	CU_ASSERT(primary.promised_term == 1);
	CU_ASSERT(strcmp(primary.primary, "a") == 0);
	CU_ASSERT(run_rows(group, 0, read, "[[\"it's\"]]") == TARGET_OK);

	wait_applied(group, 1, answer.result.point);
	CU_ASSERT(status(group, 1).role == GROUP_ROLE_REPLICA);
	read.seen = answer.result.point;
	CU_ASSERT(run_rows(group, 1, read, "[[\"it's\"]]") == TARGET_OK);
	read.seen.position_bytes++;
	CU_ASSERT(run_rows(group, 1, read, NULL) == TARGET_ERROR_POSITION);
	read.seen = (group_point_t){ 2, 1 };
	CU_ASSERT(run_rows(group, 1, read, NULL) == TARGET_ERROR_POSITION);
	free(answer.rows);
	group_stop(group);
}

static call_answer_t fence(group_t *group, size_t i, uint32_t term,
			   uint64_t coordinator)
{
	return call(group, i,
		    (target_call_t){ .kind = TARGET_CALL_FENCE,
				     .term = term,
				     .coordinator = coordinator });
}

static call_answer_t promote(group_t *group, size_t i, uint32_t term,
			     uint64_t coordinator)
{
	return call(group, i,
		    (target_call_t){ .kind = TARGET_CALL_PROMOTE,
				     .term = term,
				     .coordinator = coordinator });
}

static call_answer_t follow(group_t *group, size_t i, uint32_t term,
			    const char *primary)
{
	return call(group, i,
		    (target_call_t){ .kind = TARGET_CALL_FOLLOW,
				     .term = term,
				     .primary = primary });
}

/* Guards against a write that the old primary accepts after a promotion, and
 * against an old primary that keeps log entries which the new primary lacks. */
static void test_promotion(void)
{
	group_t *group = group_start("20");
	answer_t first = run(
		group, 0,
		write_job("INSERT INTO records VALUES ('x', '1')", NULL, 1));
	call_answer_t answer;
	group_status_t after;

	wait_applied(group, 1, first.result.point);
	wait_applied(group, 2, first.result.point);
	/* The replicas receive no more log entries during the test. */
	set_fault(group, 1, "lag_ms=60000");
	set_fault(group, 2, "lag_ms=60000");
	CU_ASSERT(write_plain(group, 0,
			      "INSERT INTO records VALUES ('lost', '1')",
			      1) == TARGET_OK);

	CU_ASSERT(fence(group, 1, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(fence(group, 2, 2, COORDINATOR).error == TARGET_OK);
	answer = promote(group, 1, 2, COORDINATOR);
	CU_ASSERT(answer.error == TARGET_OK);
	CU_ASSERT(answer.status.role == GROUP_ROLE_PRIMARY);
	CU_ASSERT(answer.status.log_term == 2);
	CU_ASSERT(answer.status.history_count == 1);
	CU_ASSERT(answer.status.history[0].term == 1);
	CU_ASSERT(answer.status.history[0].position_bytes ==
		  first.result.point.position_bytes);
	CU_ASSERT(promote(group, 1, 2, COORDINATOR).error == TARGET_OK);
	set_fault(group, 2, "lag_ms=0");
	CU_ASSERT(follow(group, 2, 2, "b").error == TARGET_OK);
	CU_ASSERT(follow(group, 0, 2, "b").error == TARGET_OK);
	CU_ASSERT(write_plain(group, 0, "INSERT INTO records VALUES ('y', '1')",
			      1) == TARGET_ERROR_NOT_PRIMARY);
	CU_ASSERT(write_plain(group, 1, "INSERT INTO records VALUES ('z', '1')",
			      1) == TARGET_ERROR_NOT_PRIMARY);
	CU_ASSERT(write_plain(group, 1, "INSERT INTO records VALUES ('z', '2')",
			      2) == TARGET_OK);
	after = status(group, 1);
	wait_applied(group, 0, (group_point_t){ 2, after.position_bytes });
	wait_applied(group, 2, (group_point_t){ 2, after.position_bytes });
	CU_ASSERT(state_record(group, 0, "lost", NULL));
	CU_ASSERT(state_record(group, 0, "x", "1"));
	CU_ASSERT(state_record(group, 0, "z", "2"));
	CU_ASSERT(state_record(group, 2, "z", "2"));
	after = status(group, 0);
	CU_ASSERT(after.role == GROUP_ROLE_REPLICA);
	CU_ASSERT(after.log_term == 2);
	CU_ASSERT(strcmp(after.primary, "b") == 0);
	free(first.rows);
	group_stop(group);
}

/* Guards against a statement that runs twice under the same key, and against a
 * repeat whose result or log point differs from that of the first run. */
static void test_key(void)
{
	group_t *group = group_start("20");
	target_job_t add = write_job("UPDATE records SET value = value + 5 "
				     "WHERE id = 'n' RETURNING value",
				     "key-1", 1);
	answer_t first = run(group, 0, add);
	answer_t again = run(group, 0, add);

	CU_ASSERT(first.result.error == TARGET_OK);
	CU_ASSERT(has_rows(&first, "[[\"5\"]]"));
	CU_ASSERT(again.result.error == TARGET_ERROR_KEY_RECORDED);
	CU_ASSERT(has_rows(&again, "[[\"5\"]]"));
	CU_ASSERT(again.result.point.term == first.result.point.term);
	CU_ASSERT(again.result.point.position_bytes ==
		  first.result.point.position_bytes);
	CU_ASSERT(state_record(group, 0, "n", "5"));
	CU_ASSERT(executions(group, 0, "key-1") == 1);
	add.fingerprint++;
	CU_ASSERT(run_rows(group, 0, add, NULL) == TARGET_ERROR_KEY_MISMATCH);
	free(first.rows);
	free(again.rows);
	group_stop(group);
}

/* Guards against an answer that arrives after its job's deadline and is taken
 * for the answer to the next job, and against a leak of the connection on which
 * it arrives. */
static void test_late_answer(void)
{
	group_t *group = group_start("20");
	target_job_t read = { .kind = TARGET_JOB_READ,
			      .statement = "SELECT value FROM records "
					   "WHERE id = 'k'" };
	int i;

	CU_ASSERT(write_plain(group, 0, "INSERT INTO records VALUES ('k', '1')",
			      1) == TARGET_OK);
	for (i = 0; i < 5; i++) {
		read.statement = "SELECT id, value FROM records";
		set_fault(group, 0, "delay_answer_ms=100");
		read.deadline_ms = now_ms(group) + 30;
		CU_ASSERT(run_rows(group, 0, read, NULL) ==
			  TARGET_ERROR_TIMEOUT);
		set_fault(group, 0, "delay_answer_ms=0");
		read.statement = "SELECT value FROM records WHERE id = 'k'";
		read.deadline_ms = 0;
		CU_ASSERT(run_rows(group, 0, read, "[[\"1\"]]") == TARGET_OK);
	}
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 0);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 1);
	run_for(group, 150);
	CU_ASSERT(state_number(group, 0, NULL, "connections") == 1);
	group_stop(group);
}

#define CONTRACT_STATEMENTS_MAX 7

/* Statements that run in a new session of one target. The last one must give
 * the error or the values of the first row. */
typedef struct {
	const char *name;
	size_t target;
	const char *statements[CONTRACT_STATEMENTS_MAX];
	const char *sqlstate;
	/* Column of the first row to compare, or NULL, and the value expected
	 * there. */
	const char *column;
	const char *value;
} contract_row_t;

#define KEY "SELECT * FROM outcome_claim('done', '1')"
#define ADD "UPDATE records SET value = value + 3 WHERE id='q' RETURNING value"
#define STORE "SELECT * FROM outcome_store('done')"
#define STATUS "SELECT * FROM group_status()"
#define GUARD "SELECT * FROM group_guard(1)"

static PGconn *raw_connect(const group_t *group, size_t i)
{
	char info[128];

	snprintf(info, sizeof(info),
		 "hostaddr=127.0.0.1 port=%u user=u dbname=d "
		 "connect_timeout=2",
		 group->ports[i]);
	return PQconnectdb(info);
}

static void check_contract(const group_t *group, const contract_row_t *row)
{
	PGconn *connection = raw_connect(group, row->target);
	PGresult *result = NULL;
	const char *sqlstate;
	size_t i;

	CHECK_ROW(PQstatus(connection) == CONNECTION_OK, row->name);
	for (i = 0; i < CONTRACT_STATEMENTS_MAX && row->statements[i]; i++) {
		PQclear(result);
		result = PQexec(connection, row->statements[i]);
	}
	sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	if (row->sqlstate)
		CHECK_ROW(sqlstate && strcmp(sqlstate, row->sqlstate) == 0,
			  row->name);
	else
		CHECK_ROW(!sqlstate, row->name);
	if (row->column && row->sqlstate) {
		const char *text = PQresultErrorField(
			result, strcmp(row->column, "detail") == 0
					? PG_DIAG_MESSAGE_DETAIL
					: PG_DIAG_MESSAGE_PRIMARY);

		CHECK_ROW(text && strcmp(text, row->value) == 0, row->name);
	} else if (row->column) {
		int column = PQfnumber(result, row->column);

		CHECK_ROW(PQntuples(result) == (row->value ? 1 : 0), row->name);
		CHECK_ROW(column >= 0, row->name);
		if (row->value && column >= 0 && PQntuples(result) == 1)
			CHECK_ROW(strcmp(PQgetvalue(result, 0, column),
					 row->value) == 0,
				  row->name);
	}
	PQclear(result);
	PQfinish(connection);
}

/* Guards against a stand-in that doesn't behave as the contract functions of a
 * target are specified, because the other tests rely on it. Each row runs in
 * the state that the rows before it have left. */
static void test_contract(void)
{
	static const contract_row_t rows[] = {
		{ "status", 0, { STATUS }, NULL, "role", "primary" },
		{ "status of a replica", 1, { STATUS }, NULL, "name", "b" },
		{ "wait that is over at once",
		  0,
		  { "SELECT * FROM group_wait(1, 5, 1000)" },
		  NULL,
		  "applied",
		  "10" },
		{ "wait until the timeout",
		  0,
		  { "SELECT * FROM group_wait(1, 5000, 20)" },
		  NULL,
		  "applied",
		  "10" },
		{ "check", 0, { "SELECT * FROM group_check(1, 10)" } },
		{ "check ahead",
		  0,
		  { "SELECT * FROM group_check(1, 11)" },
		  "HT003" },
		{ "check of a later term",
		  0,
		  { "SELECT * FROM group_check(2, 1)" },
		  "HT003" },
		{ "guard", 0, { "BEGIN", GUARD, "COMMIT" } },
		{ "guard outside a transaction", 0, { GUARD }, "25P01" },
		{ "guard of another term",
		  0,
		  { "BEGIN", "SELECT * FROM group_guard(2)" },
		  "HT002" },
		{ "guard at a replica", 1, { "BEGIN", GUARD }, "HT002" },
		{ "write at a replica",
		  1,
		  { "INSERT INTO records VALUES ('r', '1')" },
		  "25006" },
		{ "write in a read-only transaction",
		  0,
		  { "BEGIN READ ONLY",
		    "INSERT INTO records VALUES ('r', '1')" },
		  "25006" },
		{ "claim and store",
		  0,
		  { "BEGIN", KEY, ADD, STORE, "COMMIT",
		    "SELECT * FROM group_position()" },
		  NULL,
		  "term",
		  "1" },
		{ "position of another session",
		  0,
		  { STATUS },
		  NULL,
		  "position",
		  "116" },
		{ "claim of a recorded key",
		  0,
		  { "BEGIN", KEY },
		  "HT004",
		  "message",
		  "[[\"3\"]]" },
		{ "point of a recorded key",
		  0,
		  { "BEGIN", KEY },
		  "HT004",
		  "detail",
		  "1:116" },
		{ "claim for another statement",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_claim('done', '2')" },
		  "HT005" },
		{ "claim outside a transaction", 0, { KEY }, "25P01" },
		{ "store without a claim",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_store('other')" },
		  "55000" },
		{ "outcome of a recorded key",
		  0,
		  { "SELECT * FROM outcome_get('done')" },
		  NULL,
		  "result",
		  "[[\"3\"]]" },
		{ "outcome of an unknown key",
		  0,
		  { "SELECT * FROM outcome_get('unknown')" },
		  NULL,
		  "state",
		  NULL },
		{ "cancel of a recorded key",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_cancel('done')" },
		  "HT004" },
		{ "cancel",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_cancel('gone')",
		    "COMMIT" } },
		{ "cancel again",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_cancel('gone')",
		    "COMMIT" } },
		{ "outcome of a cancelled key",
		  0,
		  { "SELECT * FROM outcome_get('gone')" },
		  NULL,
		  "state",
		  "cancelled" },
		{ "claim of a cancelled key",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_claim('gone', '1')" },
		  "HT006" },
		{ "claim that is rolled back",
		  0,
		  { "BEGIN", "SELECT * FROM outcome_claim('undone', '1')",
		    "ROLLBACK", "SELECT * FROM outcome_get('undone')" },
		  NULL,
		  "state",
		  NULL },
		{ "statement after an error",
		  0,
		  { "BEGIN", "SELECT * FROM group_guard(2)", STATUS },
		  "25P02" },
		{ "record that exists",
		  0,
		  { "INSERT INTO records VALUES ('q', '1')" },
		  "23505" },
		{ "sum of a text",
		  0,
		  { "INSERT INTO records VALUES ('t', 'x')",
		    "UPDATE records SET value = value + 1 WHERE id = 't'" },
		  "22P02" },
		{ "unknown statement", 0, { "DROP TABLE records" }, "42601" },
		{ "two statements", 0, { "BEGIN; COMMIT" }, "42601" },
		{ "follow an unknown target",
		  2,
		  { "SELECT * FROM group_follow(1, 'z')" },
		  "22023" },
		{ "fence",
		  2,
		  { "SELECT * FROM group_fence(3, 7)" },
		  NULL,
		  "promised_term",
		  "3" },
		{ "fence again",
		  2,
		  { "SELECT * FROM group_fence(3, 7)" },
		  NULL,
		  "promised_term",
		  "3" },
		{ "fence by another coordinator",
		  2,
		  { "SELECT * FROM group_fence(3, 8)" },
		  "HT001" },
		{ "fence of a lower term",
		  2,
		  { "SELECT * FROM group_fence(2, 7)" },
		  "HT001" },
		{ "follow of a lower term",
		  2,
		  { "SELECT * FROM group_follow(2, 'a')" },
		  "HT001" },
		{ "promote in a lower term",
		  2,
		  { "SELECT * FROM group_promote(2, 7)" },
		  "HT001" },
		{ "promote by another coordinator",
		  2,
		  { "SELECT * FROM group_promote(3, 8)" },
		  "HT001" },
		{ "guard of a fenced primary",
		  0,
		  { "SELECT * FROM group_fence(2, 7)", "BEGIN", GUARD },
		  "HT002" },
		{ "commit of a fenced primary",
		  1,
		  { "SELECT * FROM group_fence(4, 7)",
		    "SELECT * FROM group_promote(4, 7)", "BEGIN",
		    "SELECT * FROM group_guard(4)",
		    "INSERT INTO records VALUES ('w', '1')",
		    "SELECT * FROM group_fence(5, 7)", "COMMIT" },
		  "HT002" },
		{ "promote in a term that it follows",
		  0,
		  { "SELECT * FROM group_follow(6, 'b')",
		    "SELECT * FROM group_promote(6, 0)" },
		  "HT001" },
	};
	group_t *group = group_start("20");
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		check_contract(group, &rows[i]);
	CU_ASSERT(state_record(group, 1, "w", NULL));
	group_stop(group);
}

/* Guards against a replica that accepts log entries of a term below the one it
 * has promised: a replaced primary could then have its writes confirmed. */
static void test_promised_replica(void)
{
	group_t *group = group_start("20");
	answer_t first = run(
		group, 0,
		write_job("INSERT INTO records VALUES ('x', '1')", NULL, 1));
	call_answer_t waited;

	wait_applied(group, 1, first.result.point);
	wait_applied(group, 2, first.result.point);
	CU_ASSERT(fence(group, 2, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(fence(group, 2, 2, COORDINATOR + 1).error ==
		  TARGET_ERROR_PROMISED);
	CU_ASSERT(follow(group, 2, 1, "a").error == TARGET_ERROR_PROMISED);
	CU_ASSERT(promote(group, 2, 1, COORDINATOR).error ==
		  TARGET_ERROR_PROMISED);
	free(first.rows);
	first = run(
		group, 0,
		write_job("INSERT INTO records VALUES ('y', '1')", NULL, 1));
	CU_ASSERT(first.result.error == TARGET_OK);
	wait_applied(group, 1, first.result.point);
	waited =
		call(group, 2,
		     (target_call_t){ .kind = TARGET_CALL_WAIT,
				      .term = 1,
				      .position_bytes =
					      first.result.point.position_bytes,
				      .wait_ms = 200 });
	CU_ASSERT(waited.error == TARGET_OK);
	CU_ASSERT(waited.status.position_bytes <
		  first.result.point.position_bytes);
	CU_ASSERT(state_record(group, 2, "y", NULL));
	free(first.rows);
	group_stop(group);
}

/* Guards against a statement that runs although its key was cancelled before,
 * and against a cancellation that succeeds although the statement ran. */
static void test_cancel(void)
{
	static const char statement[] =
		"UPDATE records SET value = value + 1 WHERE id = 'n'";
	group_t *group = group_start("20");
	target_job_t cancel = { .kind = TARGET_JOB_OUTCOME_CANCEL,
				.key = "k1",
				.term = 1 };
	target_job_t get = { .kind = TARGET_JOB_OUTCOME_GET, .key = "k1" };
	answer_t answer = run(group, 0, get);

	CU_ASSERT(answer.result.error == TARGET_OK);
	CU_ASSERT(answer.result.absent);
	free(answer.rows);
	CU_ASSERT(run_rows(group, 0, cancel, NULL) == TARGET_OK);
	CU_ASSERT(run_rows(group, 0, cancel, NULL) == TARGET_OK);
	answer = run(group, 0, get);
	CU_ASSERT(answer.result.cancelled);
	CU_ASSERT(!answer.result.absent);
	free(answer.rows);
	CU_ASSERT(run_rows(group, 0, write_job(statement, "k1", 1), NULL) ==
		  TARGET_ERROR_KEY_CANCELLED);
	CU_ASSERT(state_record(group, 0, "n", NULL));

	CU_ASSERT(run_rows(group, 0, write_job(statement, "k2", 1), "[]") ==
		  TARGET_OK);
	cancel.key = "k2";
	CU_ASSERT(run_rows(group, 0, cancel, "[]") ==
		  TARGET_ERROR_KEY_RECORDED);
	get.key = "k2";
	answer = run(group, 0, get);
	CU_ASSERT(answer.result.error == TARGET_OK);
	CU_ASSERT(!answer.result.cancelled && !answer.result.absent);
	CU_ASSERT(answer.result.point.term == 1);
	CU_ASSERT(has_rows(&answer, "[]"));
	free(answer.rows);
	cancel.key = "k3";
	cancel.term = 2;
	CU_ASSERT(run_rows(group, 0, cancel, NULL) == TARGET_ERROR_NOT_PRIMARY);
	cancel.term = 1;
	CU_ASSERT(run_rows(group, 1, cancel, NULL) == TARGET_ERROR_NOT_PRIMARY);
	group_stop(group);
}

/* Guards against a commit that is reported as not run because its answer was
 * lost, and against a repeat by key that runs it again. */
static void test_lost_answer(void)
{
	group_t *group = group_start("20");
	target_job_t add = write_job("UPDATE records SET value = value + 5 "
				     "WHERE id = 'n' RETURNING value",
				     "k", 1);
	target_job_t get = { .kind = TARGET_JOB_OUTCOME_GET, .key = "k" };

	set_fault(group, 0, "drop_answers=1");
	add.deadline_ms = now_ms(group) + 100;
	CU_ASSERT(run_rows(group, 0, add, NULL) == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(run_rows(group, 0, get, "[[\"5\"]]") == TARGET_OK);
	add.deadline_ms = 0;
	CU_ASSERT(run_rows(group, 0, add, "[[\"5\"]]") ==
		  TARGET_ERROR_KEY_RECORDED);
	CU_ASSERT(executions(group, 0, "k") == 1);
	CU_ASSERT(state_record(group, 0, "n", "5"));

	/* The same, with only the direction from the target cut off. */
	add.key = "k2";
	get.key = "k2";
	set_fault(group, 0, "cut_out=on");
	add.deadline_ms = now_ms(group) + 100;
	CU_ASSERT(run_rows(group, 0, add, NULL) == TARGET_ERROR_TIMEOUT);
	set_fault(group, 0, "cut_out=off");
	CU_ASSERT(run_rows(group, 0, get, "[[\"10\"]]") == TARGET_OK);

	/* A statement that did not reach the target did not run. */
	add.key = "k3";
	get.key = "k3";
	set_fault(group, 0, "silent=on");
	add.deadline_ms = now_ms(group) + 100;
	CU_ASSERT(run_rows(group, 0, add, NULL) == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(run_rows(group, 0, get, "[]") == TARGET_OK);
	CU_ASSERT(state_record(group, 0, "n", "10"));
	group_stop(group);
}

/* Guards against a target that seems unreachable because one of its connections
 * no longer answers, and against calls that keep using that connection. */
static void test_silent_control(void)
{
	group_t *group = group_start("20");
	target_call_t options = { .kind = TARGET_CALL_STATUS,
				  .timeout_ms = 100 };
	call_answer_t silent = { 0 };
	call_answer_t probe;

	status(group, 0);
	set_fault(group, 0, "silent=on");
	CU_ASSERT(call(group, 0, options).error == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(call(group, 0, options).error == TARGET_OK);

	set_fault(group, 0, "silent=on");
	options.timeout_ms = 2000;
	CU_ASSERT(target_control_call(group->controls[0], &options, on_call,
				      &silent) == TARGET_OK);
	CU_ASSERT(target_control_pending_count(group->controls[0]) == 1);
	options.new_connection = true;
	probe = call(group, 0, options);
	CU_ASSERT(probe.error == TARGET_OK);
	CU_ASSERT(probe.sent_at_ms > 0);
	CU_ASSERT(silent.calls == 1);
	CU_ASSERT(silent.error == TARGET_ERROR_LOST);
	CU_ASSERT(target_control_pending_count(group->controls[0]) == 0);
	CU_ASSERT(status(group, 0).role == GROUP_ROLE_PRIMARY);
	run_for(group, 30);
	CU_ASSERT(state_number(group, 0, NULL, "connections") == 1);
	CU_ASSERT(state_number(group, 0, NULL, "connections_accepted") == 3);
	group_stop(group);
}

/* Guards against a call that never ends while the target is cut off or not
 * running, and against a control connection that doesn't recover from that. */
static void test_control_faults(void)
{
	group_t *group = group_start("20");
	target_call_t options = { .kind = TARGET_CALL_STATUS,
				  .timeout_ms = 80 };
	call_answer_t queued[2] = { 0 };

	status(group, 0);
	set_fault(group, 0, "cut=on");
	CU_ASSERT(target_control_call(group->controls[0], &options, on_call,
				      &queued[0]) == TARGET_OK);
	options.timeout_ms = 40;
	CU_ASSERT(target_control_call(group->controls[0], &options, on_call,
				      &queued[1]) == TARGET_OK);
	run_until(group, &queued[0].calls, 1);
	CU_ASSERT(queued[0].error == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(queued[1].calls == 1);
	CU_ASSERT(queued[1].error == TARGET_ERROR_NO_CONNECTION);
	CU_ASSERT(call(group, 0, options).error == TARGET_ERROR_CONNECT);
	options.new_connection = true;
	CU_ASSERT(call(group, 0, options).error == TARGET_ERROR_CONNECT);
	set_fault(group, 0, "cut=off");
	CU_ASSERT(!status(group, 0).leaving);
	set_fault(group, 0, "leaving=on");
	CU_ASSERT(status(group, 0).leaving);

	kill_target(group, 0);
	run_for(group, 20);
	options.new_connection = false;
	CU_ASSERT(call(group, 0, options).error == TARGET_ERROR_CONNECT);
	start_target(group, 0, "20");
	CU_ASSERT(status(group, 0).role == GROUP_ROLE_PRIMARY);

	CU_ASSERT(target_control_call(group->controls[0], &options, on_call,
				      &queued[0]) == TARGET_OK);
	target_control_free(group->controls[0]);
	group->controls[0] = NULL;
	CU_ASSERT(queued[0].calls == 2);
	CU_ASSERT(queued[0].error == TARGET_ERROR_CLOSED);
	group_stop(group);
}

/* Guards against a wrong outcome when the target is killed: a statement that
 * was sent must not be reported as not run, nor an unsent one as unknown. */
static void test_killed(void)
{
	group_t *group = group_start("20");
	target_job_t job =
		write_job("INSERT INTO records VALUES ('x', '1')", NULL, 1);
	answer_t answer = { 0 };

	set_fault(group, 0, "service_ms=1000");
	job.deadline_ms = now_ms(group) + 2000;
	CU_ASSERT(target_pool_run(group->pools[0], &job, on_answer, &answer) ==
		  TARGET_OK);
	run_for(group, 100);
	CU_ASSERT(answer.calls == 0);
	kill_target(group, 0);
	run_until(group, &answer.calls, 1);
	CU_ASSERT(answer.result.error == TARGET_ERROR_LOST);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 0);
	CU_ASSERT(run_rows(group, 0, job, NULL) == TARGET_ERROR_CONNECT);
	start_target(group, 0, "20");
	job.deadline_ms = 0;
	CU_ASSERT(run_rows(group, 0, job, "[]") == TARGET_OK);

	/* An idle connection that the target has closed is not used. */
	kill_target(group, 0);
	start_target(group, 0, "20");
	run_for(group, 20);
	CU_ASSERT(run_rows(group, 0, job, "[]") == TARGET_OK);
	free(answer.rows);
	group_stop(group);
}

#define SLEEPING_JOBS 8

/* Guards against more connections than the pool's or the target's limit, and
 * against a job that fails although a connection becomes free before its
 * deadline. */
static void test_limits(void)
{
	group_t *group = group_start("3");
	target_pool_options_t options = pool_options;
	target_endpoint_t at = endpoint(group, 0);
	target_job_t job = { .kind = TARGET_JOB_READ,
			     .statement = "SELECT pg_sleep(0.05)" };
	answer_t answers[SLEEPING_JOBS] = { 0 };
	target_pool_t *other;
	int i;

	for (i = 0; i < SLEEPING_JOBS; i++) {
		job.deadline_ms = now_ms(group) + 2000;
		target_pool_run(group->pools[0], &job, on_answer, &answers[i]);
	}
	for (i = 0; i < SLEEPING_JOBS; i++) {
		run_until(group, &answers[i].calls, 1);
		CU_ASSERT(answers[i].result.error == TARGET_OK);
		CU_ASSERT(target_pool_connection_count(group->pools[0]) <= 4);
	}
	CU_ASSERT(state_number(group, 0, NULL, "connections_max_seen") == 3);
	CU_ASSERT(state_number(group, 0, NULL, "connections_refused") > 0);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 0);

	/* The first pool holds all connections that the target allows. */
	other = target_pool_new(group->base, &group->clock, &at, &options, NULL,
				NULL);
	answers[0].calls = 0;
	target_pool_run(other, &job, on_answer, &answers[0]);
	run_until(group, &answers[0].calls, 1);
	CU_ASSERT(answers[0].result.error == TARGET_ERROR_CONNECTION_LIMIT);
	target_pool_free(other);

	/* The pool's own limit, and a deadline that passes while the job waits
	 * for a connection. */
	options.connections_max = 1;
	target_pool_configure(group->pools[0], &options);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 1);
	job.statement = "SELECT pg_sleep(0.2)";
	answers[0].calls = answers[1].calls = 0;
	job.deadline_ms = now_ms(group) + 2000;
	target_pool_run(group->pools[0], &job, on_answer, &answers[0]);
	job.deadline_ms = now_ms(group) + 50;
	job.statement = "SELECT id, value FROM records";
	target_pool_run(group->pools[0], &job, on_answer, &answers[1]);
	run_until(group, &answers[1].calls, 1);
	CU_ASSERT(answers[1].result.error == TARGET_ERROR_NO_CONNECTION);
	CU_ASSERT(answers[0].calls == 0);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 1);
	run_until(group, &answers[0].calls, 1);
	CU_ASSERT(answers[0].result.error == TARGET_OK);
	CU_ASSERT(state_number(group, 0, "executed", "select_all") == 0);
	options.idle_ms = 20;
	target_pool_configure(group->pools[0], &options);
	CU_ASSERT(run_rows(group, 0,
			   (target_job_t){ .kind = TARGET_JOB_READ,
					   .statement = "SELECT id, value "
							"FROM records" },
			   "[]") == TARGET_OK);
	run_for(group, 60);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 0);
	for (i = 0; i < SLEEPING_JOBS; i++)
		free(answers[i].rows);
	group_stop(group);
}

/* Guards against connects above the rate limit when each job times out, which
 * closes its connection. */
static void test_connect_rate(void)
{
	group_t *group = group_start("20");
	target_pool_options_t options = pool_options;
	target_job_t job = { .kind = TARGET_JOB_READ,
			     .statement = "SELECT pg_sleep(5)" };
	answer_t answers[SLEEPING_JOBS] = { 0 };
	clock_ms_t start_ms = now_ms(group);
	int i;

	options.connections_max = SLEEPING_JOBS;
	options.connects_per_second = 3;
	target_pool_configure(group->pools[0], &options);
	for (i = 0; i < SLEEPING_JOBS; i++) {
		job.deadline_ms = start_ms + 30;
		target_pool_run(group->pools[0], &job, on_answer, &answers[i]);
	}
	while (now_ms(group) < start_ms + 900) {
		answer_t answer = { 0 };

		job.deadline_ms = now_ms(group) + 30;
		target_pool_run(group->pools[0], &job, on_answer, &answer);
		run_until(group, &answer.calls, 1);
		CU_ASSERT(answer.result.error == TARGET_ERROR_TIMEOUT ||
			  answer.result.error == TARGET_ERROR_NO_CONNECTION);
		free(answer.rows);
	}
	CU_ASSERT(state_number(group, 0, NULL, "connections_accepted") == 3);
	for (i = 0; i < SLEEPING_JOBS; i++) {
		CU_ASSERT(answers[i].calls == 1);
		free(answers[i].rows);
	}
	group_stop(group);
}

/* Guards against jobs that wait until their deadline for the connect rate to
 * allow another connect while the target refuses connections: during a failover
 * they would fill the target's slots. */
static void test_connect_refused(void)
{
	group_t *group = group_start("20");
	target_job_t job = { .kind = TARGET_JOB_READ,
			     .statement = "SELECT pg_sleep(0)" };
	target_pool_options_t options = pool_options;
	int i;

	options.connects_per_second = 2;
	target_pool_configure(group->pools[0], &options);
	kill_target(group, 0);
	for (i = 0; i < SLEEPING_JOBS; i++) {
		answer_t answer = { 0 };

		job.deadline_ms = now_ms(group) + 300;
		target_pool_run(group->pools[0], &job, on_answer, &answer);
		run_until(group, &answer.calls, 1);
		CU_ASSERT(answer.result.error == TARGET_ERROR_CONNECT);
		free(answer.rows);
	}
	/* The pool works again once the rate allows another connect. */
	start_target(group, 0, "20");
	run_for(group, 1100);
	job.deadline_ms = 0;
	CU_ASSERT(run_rows(group, 0, job, NULL) == TARGET_OK);
	group_stop(group);
}

/* Guards against a caller's statement that ends the transaction of the
 * pipeline, so that the rest would run without group_guard(), or that changes
 * the state of the session. */
static void test_refused_statements(void)
{
	static const struct {
		const char *name;
		const char *statement;
		const char *sqlstate;
	} rows[] = {
		{ "empty", "", "0A000" },
		{ "blanks", " \t\n ;", "0A000" },
		{ "comment", "-- SELECT 1", "0A000" },
		{ "commit", "COMMIT", "0A000" },
		{ "lower case", "commit", "0A000" },
		{ "blanks before", " \n\tROLLBACK", "0A000" },
		{ "comment before", "/* a */ -- b\n END", "0A000" },
		{ "nested comment", "/* /* */ SELECT */COMMIT", "0A000" },
		{ "empty statement before", "; ;COMMIT", "0A000" },
		{ "no blank after", "ABORT;", "0A000" },
		{ "comment after", "BEGIN--", "0A000" },
		{ "open comment", "/* COMMIT", "0A000" },
		{ "start", "START TRANSACTION", "0A000" },
		{ "savepoint", "SAVEPOINT a", "0A000" },
		{ "release", "RELEASE a", "0A000" },
		{ "prepare", "PREPARE TRANSACTION 'a'", "0A000" },
		{ "set", "SET TRANSACTION READ WRITE", "0A000" },
		{ "reset", "RESET ALL", "0A000" },
		{ "copy", "COPY records FROM STDIN", "0A000" },
		{ "block", "DO $$ BEGIN END $$", "0A000" },
		{ "fence", "SELECT * FROM group_fence(50, 7)", "0A000" },
		{ "upper case", "SELECT GROUP_PROMOTE (9, 7)", "0A000" },
		{ "comment before arguments",
		  "SELECT outcome_cancel/* */('order-1')", "0A000" },
		{ "quoted name", "SELECT * FROM \"group_fence\"(50, 7)",
		  "0A000" },
		{ "schema", "SELECT public.group_follow(9, 'a')", "0A000" },
		{ "after a literal", "SELECT 'a''b', group_wait(1, 1, 9)",
		  "0A000" },
		{ "after an escape", "SELECT E'\\'', group_guard(1)", "0A000" },
		{ "in a literal",
		  "UPDATE records SET value = 'group_fence(1, 2)' WHERE id = "
		  "'a''b'",
		  NULL },
		{ "as a name", "SELECT value FROM group_status", "42601" },
		{ "longer word", "COMMITTED", "42601" },
		{ "second statement", "SELECT pg_sleep(0); COMMIT", "42601" },
	};
	group_t *group = group_start("20");
	json_int_t statements;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		bool done = !rows[i].sqlstate;
		bool sent = done || strcmp(rows[i].sqlstate, "0A000") != 0;
		answer_t answer;

		statements = state_number(group, 0, "executed", "guard");
		answer = run(group, 0, write_job(rows[i].statement, NULL, 1));
		CHECK_ROW(answer.result.error ==
				  (done ? TARGET_OK : TARGET_ERROR_STATEMENT),
			  rows[i].name);
		CHECK_ROW(done || strcmp(answer.result.sqlstate,
					 rows[i].sqlstate) == 0,
			  rows[i].name);
		CHECK_ROW(state_number(group, 0, "executed", "guard") ==
				  statements + (sent ? 1 : 0),
			  rows[i].name);
		free(answer.rows);
	}
	group_stop(group);
}

/* Guards against a read that changes data, as it runs without group_guard(). */
static void test_read_only(void)
{
	group_t *group = group_start("20");
	target_job_t job = { .kind = TARGET_JOB_READ,
			     .statement =
				     "UPDATE records SET value = value + 1 "
				     "WHERE id = 'n'" };
	answer_t answer = run(group, 0, job);

	CU_ASSERT(answer.result.error == TARGET_ERROR_STATEMENT);
	CU_ASSERT(strcmp(answer.result.sqlstate, "25006") == 0);
	CU_ASSERT(state_record(group, 0, "n", NULL));
	free(answer.rows);
	group_stop(group);
}

/* Guards against an answer that takes an unbounded amount of memory, and
 * against the refusal of an answer that is just within the limit. */
static void test_large_result(void)
{
	static const size_t limit = 1024 * 1024;
	group_t *group = group_start("20");
	char *statement = malloc(2 * limit + 100);
	answer_t answer;
	size_t size;

	for (size = limit - 1; size <= 2 * limit; size += limit / 2) {
		char *end = statement + sprintf(statement,
						"INSERT INTO records VALUES "
						"('%zu', '",
						size);

		memset(end, 'x', size);
		sprintf(end + size, "')");
		CU_ASSERT(write_plain(group, 0, statement, 1) == TARGET_OK);
		sprintf(statement, "SELECT value FROM records WHERE id = '%zu'",
			size);
		answer = run(group, 0,
			     (target_job_t){ .kind = TARGET_JOB_READ,
					     .statement = statement });
		if (size <= limit) {
			CU_ASSERT(answer.result.error == TARGET_OK);
			CU_ASSERT(answer.rows &&
				  strlen(answer.rows) == size + 6);
		} else {
			CU_ASSERT(answer.result.error ==
				  TARGET_ERROR_STATEMENT);
			CU_ASSERT(strcmp(answer.result.sqlstate, "54000") == 0);
		}
		free(answer.rows);
	}
	/* Each value is within the limit, but their sum is not. */
	CU_ASSERT(run_rows(group, 0,
			   (target_job_t){ .kind = TARGET_JOB_READ,
					   .statement = "SELECT id, value "
							"FROM records" },
			   NULL) == TARGET_ERROR_STATEMENT);
	free(statement);
	group_stop(group);
}

/* Frees the pool from inside its callback. */
static void on_answer_free(void *context, const target_result_t *result)
{
	group_t *group = context;

	CU_ASSERT(result->error == TARGET_OK);
	target_pool_free(group->pools[0]);
	group->pools[0] = NULL;
}

/* Guards against a job whose callback is not called, or called twice, when the
 * pool is freed, and against a use of the pool after it was freed. */
static void test_pool_free(void)
{
	group_t *group = group_start("20");
	target_job_t job = { .kind = TARGET_JOB_READ,
			     .statement = "SELECT pg_sleep(0.02)",
			     .deadline_ms = now_ms(group) + 1000 };
	answer_t answers[SLEEPING_JOBS] = { 0 };
	target_transaction_t *transaction;
	answer_t begun = { 0 };
	int i;

	CU_ASSERT(run_rows(group, 0, job, "[[\"\"]]") == TARGET_OK);
	transaction =
		target_transaction_new(group->pools[0], 1, NULL, 0,
				       now_ms(group) + 1000, on_answer, &begun);
	run_until(group, &begun.calls, 1);
	target_pool_run(group->pools[0], &job, on_answer_free, group);
	job.statement = "SELECT pg_sleep(3)";
	for (i = 0; i < SLEEPING_JOBS; i++)
		target_pool_run(group->pools[0], &job, on_answer, &answers[i]);
	run_until(group, &answers[0].calls, 1);
	CU_ASSERT(group->pools[0] == NULL);
	run_for(group, 50);
	for (i = 0; i < SLEEPING_JOBS; i++) {
		CU_ASSERT(answers[i].calls == 1);
		CU_ASSERT(answers[i].result.error == TARGET_ERROR_CLOSED);
		free(answers[i].rows);
	}
	CU_ASSERT(target_transaction_commit(transaction, job.deadline_ms,
					    on_answer, &begun) != TARGET_OK);
	target_transaction_free(transaction);
	free(begun.rows);
	group_stop(group);
}

/* Begins a transaction at the first target and returns the error. */
static int begin(group_t *group, uint32_t term, const char *key,
		 target_transaction_t **transaction)
{
	answer_t answer = { 0 };

	*transaction = target_transaction_new(group->pools[0], term, key, 11,
					      now_ms(group) + 2000, on_answer,
					      &answer);
	CU_ASSERT_FATAL(*transaction != NULL);
	run_until(group, &answer.calls, 1);
	free(answer.rows);
	return answer.result.error;
}

/* Runs a statement of a transaction, or commits it if statement is NULL. */
static answer_t step(group_t *group, target_transaction_t *transaction,
		     const char *statement, clock_ms_t time_ms)
{
	clock_ms_t deadline_ms = now_ms(group) + time_ms;
	answer_t answer = { 0 };
	int error =
		statement ? target_transaction_run(transaction, statement,
						   deadline_ms, on_answer,
						   &answer)
			  : target_transaction_commit(transaction, deadline_ms,
						      on_answer, &answer);

	CU_ASSERT(answer.calls == 0);
	if (error == TARGET_OK)
		run_until(group, &answer.calls, 1);
	else
		answer.result.error = error;
	return answer;
}

static int step_error(group_t *group, target_transaction_t *transaction,
		      const char *statement)
{
	answer_t answer = step(group, transaction, statement, 2000);

	free(answer.rows);
	return answer.result.error;
}

/* Guards against two transactions that share a connection, and against changes
 * that are visible before their commit. */
static void test_transaction(void)
{
	group_t *group = group_start("20");
	target_job_t read = { .kind = TARGET_JOB_READ,
			      .statement = "SELECT value FROM records "
					   "WHERE id = 'x'" };
	target_transaction_t *first;
	target_transaction_t *second;
	answer_t answer;

	CU_ASSERT(begin(group, 1, NULL, &first) == TARGET_OK);
	CU_ASSERT(begin(group, 1, NULL, &second) == TARGET_OK);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 2);
	CU_ASSERT(step_error(group, first,
			     "INSERT INTO records VALUES ('x', '1')") ==
		  TARGET_OK);
	answer = step(group, first, read.statement, 2000);
	CU_ASSERT(has_rows(&answer, "[[\"1\"]]"));
	free(answer.rows);
	answer = step(group, second, read.statement, 2000);
	CU_ASSERT(has_rows(&answer, "[]"));
	free(answer.rows);
	CU_ASSERT(run_rows(group, 0, read, "[]") == TARGET_OK);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 3);

	answer = step(group, second, "INSERT INTO records VALUES ('x', '2')",
		      2000);
	CU_ASSERT(answer.result.error == TARGET_ERROR_STATEMENT);
	CU_ASSERT(strcmp(answer.result.sqlstate, "40001") == 0);
	CU_ASSERT(step_error(group, second, NULL) == TARGET_ERROR_STATEMENT);
	CU_ASSERT(step_error(group, second, NULL) ==
		  TARGET_ERROR_NO_CONNECTION);
	answer = step(group, first, NULL, 2000);
	CU_ASSERT(answer.result.error == TARGET_OK);
	CU_ASSERT(answer.result.point.position_bytes ==
		  status(group, 0).position_bytes);
	free(answer.rows);
	CU_ASSERT(run_rows(group, 0, read, "[[\"1\"]]") == TARGET_OK);
	target_transaction_free(first);
	target_transaction_free(second);
	run_for(group, 20);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 0);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 3);
	group_stop(group);
}

/* Guards against a transaction that stays open at the target after it was
 * freed, and against a connection that is used again before the rollback is
 * answered.
 */
static void test_transaction_free(void)
{
	static const char insert[] = "INSERT INTO records VALUES ('x', '1')";
	group_t *group = group_start("20");
	target_pool_options_t options = pool_options;
	target_transaction_t *transaction;
	target_transaction_t *waiting;
	answer_t answer = { 0 };

	options.connections_max = 1;
	target_pool_configure(group->pools[0], &options);
	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, insert) == TARGET_OK);

	waiting = target_transaction_new(group->pools[0], 1, NULL, 0,
					 now_ms(group) + 2000, on_answer,
					 &answer);
	CU_ASSERT_FATAL(waiting != NULL);
	run_for(group, 20);
	CU_ASSERT(answer.calls == 0);
	target_transaction_free(waiting);
	CU_ASSERT(answer.calls == 1);
	CU_ASSERT(answer.result.error == TARGET_ERROR_CLOSED);

	target_transaction_free(transaction);
	CU_ASSERT(write_plain(group, 0, insert, 1) == TARGET_OK);
	CU_ASSERT(state_number(group, 0, "executed", "rollback") == 1);
	CU_ASSERT(state_number(group, 0, NULL, "connections_accepted") == 1);

	/* If a statement is in progress, the connection is closed. */
	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction,
			     "UPDATE records SET value = '2' "
			     "WHERE id = 'x'") == TARGET_OK);
	CU_ASSERT(target_transaction_run(transaction, "SELECT pg_sleep(0.1)",
					 now_ms(group) + 2000, on_answer,
					 &answer) == TARGET_OK);
	CU_ASSERT(target_transaction_run(transaction, "SELECT pg_sleep(0.1)",
					 now_ms(group) + 2000, on_answer,
					 &answer) == TARGET_ERROR_PROTOCOL);
	run_for(group, 20);
	target_transaction_free(transaction);
	CU_ASSERT(answer.calls == 2);
	CU_ASSERT(answer.result.error == TARGET_ERROR_CLOSED);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 0);
	run_for(group, 150);
	CU_ASSERT(state_number(group, 0, NULL, "connections") == 0);
	CU_ASSERT(state_record(group, 0, "x", "1"));
	free(answer.rows);
	group_stop(group);
}

/* Guards against the reuse of a connection after the answer to a statement of a
 * transaction was late or lost. */
static void test_transaction_faults(void)
{
	static const char insert[] = "INSERT INTO records VALUES ('x', '1')";
	group_t *group = group_start("20");
	target_transaction_t *transaction;
	answer_t answer;

	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	answer = step(group, transaction, "SELECT pg_sleep(0.2)", 40);
	CU_ASSERT(answer.result.error == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 0);
	CU_ASSERT(step_error(group, transaction, insert) ==
		  TARGET_ERROR_NO_CONNECTION);
	CU_ASSERT(step_error(group, transaction, NULL) ==
		  TARGET_ERROR_NO_CONNECTION);
	target_transaction_free(transaction);
	run_for(group, 250);
	CU_ASSERT(state_number(group, 0, NULL, "connections") == 0);

	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, insert) == TARGET_OK);
	set_fault(group, 0, "silent=on");
	answer = step(group, transaction, NULL, 40);
	CU_ASSERT(answer.result.error == TARGET_ERROR_TIMEOUT);
	target_transaction_free(transaction);
	CU_ASSERT(state_record(group, 0, "x", NULL));

	/* If the rollback is not answered, the connection does not return to
	 * the pool. */
	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, insert) == TARGET_OK);
	set_fault(group, 0, "silent=on");
	target_transaction_free(transaction);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 1);
	CU_ASSERT(run_rows(group, 0,
			   (target_job_t){ .kind = TARGET_JOB_READ,
					   .statement = "SELECT id, value "
							"FROM records" },
			   "[]") == TARGET_OK);
	run_for(group, 1050);
	CU_ASSERT(target_pool_in_use_count(group->pools[0]) == 0);
	CU_ASSERT(target_pool_connection_count(group->pools[0]) == 1);

	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, insert) == TARGET_OK);
	kill_target(group, 0);
	run_for(group, 20);
	CU_ASSERT(step_error(group, transaction, NULL) ==
		  TARGET_ERROR_NO_CONNECTION);
	target_transaction_free(transaction);
	CU_ASSERT(begin(group, 1, NULL, &transaction) == TARGET_ERROR_CONNECT);
	target_transaction_free(transaction);
	group_stop(group);
}

/* Guards against a transaction that runs a second time under its key, and
 * against a transaction that commits after the target was fenced. */
static void test_transaction_key(void)
{
	static const char add[] = "UPDATE records SET value = value + 5 "
				  "WHERE id = 'n' RETURNING value";
	group_t *group = group_start("20");
	target_job_t get = { .kind = TARGET_JOB_OUTCOME_GET, .key = "t1" };
	target_transaction_t *transaction;
	answer_t again = { 0 };
	answer_t answer;

	CU_ASSERT(begin(group, 1, "t1", &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, add) == TARGET_OK);
	answer = step(group, transaction, "COMMIT", 2000);
	CU_ASSERT(answer.result.error == TARGET_ERROR_STATEMENT);
	CU_ASSERT(strcmp(answer.result.sqlstate, "0A000") == 0);
	CU_ASSERT(step_error(group, transaction, add) == TARGET_OK);
	answer = step(group, transaction, NULL, 2000);
	CU_ASSERT(answer.result.error == TARGET_OK);
	target_transaction_free(transaction);

	transaction =
		target_transaction_new(group->pools[0], 1, "t1", 11,
				       now_ms(group) + 2000, on_answer, &again);
	run_until(group, &again.calls, 1);
	CU_ASSERT(again.result.error == TARGET_ERROR_KEY_RECORDED);
	CU_ASSERT(has_rows(&again, "[[\"10\"]]"));
	CU_ASSERT(group_point_compare(again.result.point,
				      answer.result.point) == 0);
	CU_ASSERT(step_error(group, transaction, add) ==
		  TARGET_ERROR_NO_CONNECTION);
	target_transaction_free(transaction);
	free(answer.rows);
	free(again.rows);

	/* An open transaction has claimed the key. */
	CU_ASSERT(begin(group, 1, "t2", &transaction) == TARGET_OK);
	answer = run(group, 0, write_job(add, "t2", 1));
	CU_ASSERT(answer.result.error == TARGET_ERROR_STATEMENT);
	CU_ASSERT(strcmp(answer.result.sqlstate, "40001") == 0);
	CU_ASSERT(step_error(group, transaction, add) == TARGET_OK);
	set_fault(group, 0, "drop_answers=1");
	answer = step(group, transaction, NULL, 50);
	CU_ASSERT(answer.result.error == TARGET_ERROR_TIMEOUT);
	target_transaction_free(transaction);
	get.key = "t2";
	CU_ASSERT(run_rows(group, 0, get, "[[\"15\"]]") == TARGET_OK);
	CU_ASSERT(executions(group, 0, "t2") == 1);

	CU_ASSERT(begin(group, 1, "t3", &transaction) == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, add) == TARGET_OK);
	CU_ASSERT(fence(group, 0, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(step_error(group, transaction, NULL) ==
		  TARGET_ERROR_NOT_PRIMARY);
	target_transaction_free(transaction);
	CU_ASSERT(begin(group, 1, NULL, &transaction) ==
		  TARGET_ERROR_NOT_PRIMARY);
	target_transaction_free(transaction);
	CU_ASSERT(state_record(group, 0, "n", "15"));
	group_stop(group);
}

#define RANDOM_JOBS 60
#define RANDOM_RECORDS 8

typedef struct {
	answer_t answer;
	char statement[64];
	char rows[32];
} random_job_t;

/* Guards against an answer that reaches another job, when answers are slow and
 * deadlines pass at random times before and after them. */
static void test_random_deadlines(void)
{
	uint64_t seeds = check_seeds(4);
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= seeds; seed++) {
		group_t *group = group_start("6");
		check_random_t random = check_random(seed);
		random_job_t jobs[RANDOM_JOBS] = { 0 };
		uint32_t answered = 0;
		uint32_t refused = 0;

		for (i = 0; i < RANDOM_RECORDS; i++) {
			snprintf(jobs[0].statement, sizeof(jobs[0].statement),
				 "INSERT INTO records VALUES ('%zu', 'v%zu')",
				 i, i);
			CU_ASSERT(write_plain(group, 0, jobs[0].statement, 1) ==
				  TARGET_OK);
		}
		set_fault(group, 0, "service_ms=4&delay_answer_ms=4");
		for (i = 0; i < RANDOM_JOBS; i++) {
			random_job_t *at = &jobs[i];
			unsigned int id = (unsigned int)check_random_below(
				&random, RANDOM_RECORDS);
			target_job_t job = { .kind = TARGET_JOB_READ,
					     .statement = at->statement };

			snprintf(at->statement, sizeof(at->statement),
				 "SELECT value FROM records WHERE id = '%u'",
				 id);
			snprintf(at->rows, sizeof(at->rows), "[[\"v%u\"]]", id);
			job.deadline_ms =
				now_ms(group) +
				(clock_ms_t)check_random_below(&random, 24);
			target_pool_run(group->pools[0], &job, on_answer,
					&at->answer);
			run_for(group,
				(clock_ms_t)check_random_below(&random, 8));
		}
		run_for(group, 100);
		for (i = 0; i < RANDOM_JOBS; i++) {
			const answer_t *answer = &jobs[i].answer;

			CHECK_SEED(answer->calls == 1, seed);
			if (answer->result.error == TARGET_OK) {
				answered++;
				CHECK_SEED(has_rows(answer, jobs[i].rows),
					   seed);
			} else {
				refused++;
				CHECK_SEED(
					answer->result.error ==
							TARGET_ERROR_TIMEOUT ||
						answer->result.error ==
							TARGET_ERROR_NO_CONNECTION,
					seed);
			}
			free(jobs[i].answer.rows);
		}
		CHECK_SEED(answered > 0, seed);
		CHECK_SEED(refused > 0, seed);
		CHECK_SEED(state_number(group, 0, NULL,
					"connections_max_seen") <= 6,
			   seed);
		group_stop(group);
	}
}

/* Guards against a write that a paused primary commits after it was replaced
 * and that then reaches the other targets. */
static void test_paused_primary(void)
{
	group_t *group = group_start("20");
	target_job_t job =
		write_job("INSERT INTO records VALUES ('p', '1')", NULL, 1);

	CU_ASSERT(write_plain(group, 0, "INSERT INTO records VALUES ('x', '1')",
			      1) == TARGET_OK);
	wait_applied(group, 1, (group_point_t){ 1, 11 });
	wait_applied(group, 2, (group_point_t){ 1, 11 });
	kill(group->pids[0], SIGSTOP);
	job.deadline_ms = now_ms(group) + 50;
	CU_ASSERT(run_rows(group, 0, job, NULL) == TARGET_ERROR_TIMEOUT);
	CU_ASSERT(fence(group, 1, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(fence(group, 2, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(promote(group, 1, 2, COORDINATOR).error == TARGET_OK);
	CU_ASSERT(follow(group, 2, 2, "b").error == TARGET_OK);
	CU_ASSERT(write_plain(group, 1, "INSERT INTO records VALUES ('y', '1')",
			      2) == TARGET_OK);
	kill(group->pids[0], SIGCONT);
	run_for(group, 150);
	/* The old primary may commit late, but no other target has the commit.
	 */
	CU_ASSERT(state_record(group, 0, "p", "1"));
	CU_ASSERT(state_record(group, 1, "p", NULL));
	CU_ASSERT(state_record(group, 2, "p", NULL));
	CU_ASSERT(follow(group, 0, 2, "b").error == TARGET_OK);
	wait_applied(group, 0,
		     (group_point_t){ 2, status(group, 1).position_bytes });
	CU_ASSERT(state_record(group, 0, "p", NULL));
	CU_ASSERT(state_record(group, 0, "y", "1"));
	group_stop(group);
}

/* Guards against a replica that doesn't catch up after its network was cut off,
 * and against a read that is answered by a replica that has received the
 * required log point but not applied it. */
static void test_replica_behind(void)
{
	group_t *group = group_start("20");
	target_job_t read = { .kind = TARGET_JOB_READ,
			      .statement = "SELECT value FROM records "
					   "WHERE id = 'x'" };
	answer_t answer;
	group_status_t behind;

	wait_applied(group, 1, (group_point_t){ 1, 10 });
	set_fault(group, 1, "cut=on");
	answer = run(
		group, 0,
		write_job("INSERT INTO records VALUES ('x', '1')", NULL, 1));
	run_for(group, 50);
	CU_ASSERT(state_record(group, 1, "x", NULL));
	set_fault(group, 1, "cut=off");
	wait_applied(group, 1, answer.result.point);
	free(answer.rows);

	set_fault(group, 1, "apply_ms=300");
	answer = run(group, 0,
		     write_job("UPDATE records SET value = '2' WHERE id = 'x'",
			       NULL, 1));
	run_for(group, 50);
	behind = status(group, 1);
	CU_ASSERT(behind.position_bytes == answer.result.point.position_bytes);
	CU_ASSERT(behind.applied_bytes < behind.position_bytes);
	CU_ASSERT(run_rows(group, 1, read, "[[\"1\"]]") == TARGET_OK);
	read.seen = answer.result.point;
	CU_ASSERT(run_rows(group, 1, read, NULL) == TARGET_ERROR_POSITION);
	wait_applied(group, 1, answer.result.point);
	CU_ASSERT(run_rows(group, 1, read, "[[\"2\"]]") == TARGET_OK);
	free(answer.rows);
	group_stop(group);
}

typedef struct {
	const char *name;
	const char *bytes;
	size_t length;
} wrong_row_t;

static void on_wrong_read(struct bufferevent *bufferevent, void *context)
{
	const wrong_row_t *row = context;
	struct evbuffer *input = bufferevent_get_input(bufferevent);

	evbuffer_drain(input, evbuffer_get_length(input));
	bufferevent_write(bufferevent, row->bytes, row->length);
}

static void on_wrong_sent(struct bufferevent *bufferevent, void *context)
{
	(void)context;
	bufferevent_free(bufferevent);
}

static void on_wrong_accept(struct evconnlistener *listener, evutil_socket_t fd,
			    struct sockaddr *address, int length, void *context)
{
	struct bufferevent *bufferevent = bufferevent_socket_new(
		evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);

	(void)address;
	(void)length;
	bufferevent_setcb(bufferevent, on_wrong_read, on_wrong_sent, NULL,
			  context);
	bufferevent_enable(bufferevent, EV_READ | EV_WRITE);
}

#define GREETING "R\0\0\0\x8\0\0\0\0Z\0\0\0\x5I"
#define BYTES(text) text, sizeof(text) - 1

/* Guards against a job that hangs or crashes when the server at the target's
 * address is not a target. */
static void test_wrong_server(void)
{
	static const wrong_row_t rows[] = {
		{ "another protocol", BYTES("HTTP/1.1 400 Bad Request\r\n") },
		{ "zeros", BYTES("\0\0\0\0\0\0\0\0\0\0") },
		{ "asks for a password", BYTES("R\0\0\0\x8\0\0\0\3") },
		{ "message of 2 GB", BYTES("R\x7f\xff\xff\xff\0\0\0\0") },
		{ "closes after the greeting", BYTES(GREETING) },
		{ "answer without a request",
		  BYTES(GREETING "D\0\0\0\xa\0\1\0\0\0\0") },
	};
	struct event_base *base = event_base_new();
	clock_source_t clock = clock_source_boot();
	group_t group = { .base = base, .clock = clock };
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct sockaddr_in address = { .sin_family = AF_INET };
		target_endpoint_t at;
		struct evconnlistener *listener;
		answer_t answer;

		group.ports[0] = check_reserve_port();
		address.sin_port = htons(group.ports[0]);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener = evconnlistener_new_bind(
			base, on_wrong_accept, (void *)&rows[i],
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
			(struct sockaddr *)&address, sizeof(address));
		at = endpoint(&group, 0);
		group.pools[0] = target_pool_new(base, &clock, &at,
						 &pool_options, NULL, NULL);
		answer = run(&group, 0, write_job("SELECT 1", NULL, 1));
		CHECK_ROW(answer.result.error == TARGET_ERROR_CONNECT ||
				  answer.result.error == TARGET_ERROR_LOST,
			  rows[i].name);
		CHECK_ROW(target_pool_in_use_count(group.pools[0]) == 0,
			  rows[i].name);
		free(answer.rows);
		target_pool_free(group.pools[0]);
		evconnlistener_free(listener);
	}
	event_base_free(base);
}

/* Guards against a stand-in that allocates memory for messages of any size, or
 * that ends because of a malformed message. */
static void test_standin_input(void)
{
	static const wrong_row_t rows[] = {
		{ "long startup", BYTES("\x7f\xff\xff\xff\0\3\0\0") },
		{ "short startup", BYTES("\0\0\0\3\0\0\0\0") },
		{ "unknown version", BYTES("\0\0\0\x8\0\4\0\0") },
		{ "long message", BYTES("\0\0\0\x9\0\3\0\0\0Q\x7f\0\0\0") },
		{ "short message", BYTES("\0\0\0\x9\0\3\0\0\0Q\0\0\0\3") },
		{ "unknown message", BYTES("\0\0\0\x9\0\3\0\0\0?\0\0\0\4") },
		{ "text without end", BYTES("\0\0\0\x9\0\3\0\0\0Q\0\0\0\5x") },
		{ "bind without a body",
		  BYTES("\0\0\0\x9\0\3\0\0\0B\0\0\0\4") },
		{ "execute without a statement",
		  BYTES("\0\0\0\x9\0\3\0\0\0E\0\0\0\4") },
		{ "replication that is not JSON",
		  BYTES("\0\0\0\x8\4\xd2\x16\x8fx\n") },
	};
	group_t *group = group_start("20");
	char answer[512];
	ssize_t got = -1;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		int fd = connect_port(group->ports[0]);

		CHECK_ROW(write(fd, rows[i].bytes, rows[i].length) ==
				  (ssize_t)rows[i].length,
			  rows[i].name);
		/* The stand-in closes the connection, possibly after a
		 * greeting. */
		while ((got = read(fd, answer, sizeof(answer))) > 0)
			;
		CHECK_ROW(got == 0, rows[i].name);
		close(fd);
	}
	CU_ASSERT(status(group, 0).role == GROUP_ROLE_PRIMARY);
	group_stop(group);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "write and read", test_write_read },
		{ "promotion", test_promotion },
		{ "key", test_key },
		{ "late answer", test_late_answer },
		{ "contract", test_contract },
		{ "promised replica", test_promised_replica },
		{ "cancel", test_cancel },
		{ "lost answer", test_lost_answer },
		{ "silent control", test_silent_control },
		{ "control faults", test_control_faults },
		{ "killed", test_killed },
		{ "limits", test_limits },
		{ "connect rate", test_connect_rate },
		{ "connect refused", test_connect_refused },
		{ "refused statements", test_refused_statements },
		{ "read only", test_read_only },
		{ "large result", test_large_result },
		{ "pool free", test_pool_free },
		{ "paused primary", test_paused_primary },
		{ "replica behind", test_replica_behind },
		{ "wrong server", test_wrong_server },
		{ "stand-in input", test_standin_input },
		{ "transaction", test_transaction },
		{ "transaction free", test_transaction_free },
		{ "transaction faults", test_transaction_faults },
		{ "transaction key", test_transaction_key },
		{ "random deadlines", test_random_deadlines },
	};

	signal(SIGPIPE, SIG_IGN);
	standin_path = getenv("STANDIN_TARGET");
	if (!standin_path) {
		fprintf(stderr, "STANDIN_TARGET is not set\n");
		return 1;
	}
	return check_main("target", cases, sizeof(cases) / sizeof(cases[0]));
}
