#include "check.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <jansson.h>
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

/* A group of stand-ins with a control connection and a pool for each. */
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

/* A callback's result, copied. */
typedef struct {
	int calls;
	target_result_t result;
	char *rows;
} answer_t;

typedef struct {
	int calls;
	int error;
	clock_ms_t sent_at_ms;
	group_status_t status;
} call_answer_t;

/* Returns a port of the loopback address that is free now. */
static uint16_t free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(bind(fd, (struct sockaddr *)&address, length) == 0);
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
	return ntohs(address.sin_port);
}

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
	CU_FAIL_FATAL("the stand-in did not start");
}

/* Sends one HTTP request to a stand-in; returns the body, valid until the next
 * call. */
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

static void fault(const group_t *group, size_t i, const char *query)
{
	char path[128];

	snprintf(path, sizeof(path), "/fault?%s", query);
	http(group, i, "POST", path);
}

static json_t *state(const group_t *group, size_t i)
{
	json_t *parsed = json_loads(http(group, i, "GET", "/state"), 0, NULL);

	CU_ASSERT_FATAL(parsed != NULL);
	return parsed;
}

/* Returns a number in the state of a stand-in; path is "name" or "name.name".
 */
static json_int_t state_number(const group_t *group, size_t i,
			       const char *object, const char *name)
{
	json_t *all = state(group, i);
	json_t *from = object ? json_object_get(all, object) : all;
	json_int_t number = json_integer_value(json_object_get(from, name));

	json_decref(all);
	return number;
}

/* Returns whether a record of a stand-in has this value; NULL for none. */
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
		group->ports[i] = free_port();
		group->control_ports[i] = free_port();
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

static void group_stop(group_t *group)
{
	size_t i;

	for (i = 0; i < TARGET_COUNT; i++) {
		target_control_free(group->controls[i]);
		target_pool_free(group->pools[i]);
		kill_target(group, i);
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

/* Runs the loop until *calls is at count or the limit of the test is over. */
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

/* Runs a job; a deadline of 0 becomes 2 s from now. */
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

/* Runs a job; returns its error, and checks the rows unless they are NULL. */
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

/* Waits until a target has applied the position of a point. */
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

/* Guards against a write, a read or a status that don't work at all, and
 * against a read of a replica that ignores the point that must be applied. */
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
 * against a log that keeps what the new primary does not have. */
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
	/* Nothing reaches the replicas any more. */
	fault(group, 1, "lag_ms=60000");
	fault(group, 2, "lag_ms=60000");
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
	fault(group, 2, "lag_ms=0");
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

/* Guards against a key that runs its statement twice, and against a repeat that
 * is answered with another result or point than the first. */
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

/* Guards against an answer that arrives after its deadline and is taken for the
 * answer of the next job, and against a connection that is leaked by that. */
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
		fault(group, 0, "delay_answer_ms=100");
		read.deadline_ms = now_ms(group) + 30;
		CU_ASSERT(run_rows(group, 0, read, NULL) ==
			  TARGET_ERROR_TIMEOUT);
		fault(group, 0, "delay_answer_ms=0");
		read.statement = "SELECT value FROM records WHERE id = 'k'";
		read.deadline_ms = 0;
		CU_ASSERT(run_rows(group, 0, read, "[[\"1\"]]") == TARGET_OK);
	}
	CU_ASSERT(target_pool_in_use(group->pools[0]) == 0);
	CU_ASSERT(target_pool_open(group->pools[0]) == 1);
	run_for(group, 150);
	CU_ASSERT(state_number(group, 0, NULL, "connections") == 1);
	group_stop(group);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "write and read", test_write_read },
		{ "promotion", test_promotion },
		{ "key", test_key },
		{ "late answer", test_late_answer },
	};

	signal(SIGPIPE, SIG_IGN);
	standin_path = getenv("STANDIN_TARGET");
	if (!standin_path) {
		fprintf(stderr, "STANDIN_TARGET is not set\n");
		return 1;
	}
	return check_main("target", cases, sizeof(cases) / sizeof(cases[0]));
}
