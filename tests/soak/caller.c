#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLOORS_MAX 20000
#define REFUSED_MAX 20000
#define STATEMENTS_MAX 4
/* Longest wait for an answer, longer than all timeouts of the routes. */
#define ANSWER_TIMEOUT_MS 4000
/* Tolerance for the error of the clocks that prove a read's freshness. */
#define CLOCK_MARGIN_MS 20

/* The lowest sequence number that reads of the item may return from a time on:
 * the last acknowledged write, or what a promotion left of it. */
typedef struct {
	clock_ms_t from_ms;
	uint32_t sequence;
	/* A promotion rolled back later acknowledged writes. */
	bool rolled_back;
} read_floor_t;

typedef enum {
	OPERATION_READ,
	OPERATION_WRITE,
	/* A transaction with a read and a write. */
	OPERATION_TRANSACTION,
	/* A read-only transaction with two reads. */
	OPERATION_READ_TRANSACTION,
	/* A statement that cannot be decoded. */
	OPERATION_MALFORMED,
	/* A transaction that fails by such a statement before its COMMIT. */
	OPERATION_FAILED_TRANSACTION,
	OPERATION_COUNT,
} operation_kind_t;

struct soak_caller {
	soak_t *soak;
	struct event_base *base;
	uint32_t index;
	check_random_t random;
	struct bufferevent *events;
	struct event *timer;
	/* The session is started and its value is set. */
	bool ready;
	/* A message was sent and its answer is not complete. */
	bool awaiting_answer;
	/* Index in databases, with the consistency of reads: 0 for the primary,
	 * 1 for the caller's own writes, 2 for bounded staleness. */
	uint32_t database;
	operation_kind_t kind;
	/* Index of the running statement, and their number. While the session
	 * is not ready, step is 0 for its start and 1 for its value. */
	uint32_t step;
	uint32_t steps;
	const char *statements[STATEMENTS_MAX];
	/* All statements of the operation were sent at its start. */
	bool sent_ahead;
	bool operation_failed;
	clock_ms_t begun_ms;
	uint64_t next_id;
	/* Write of the running operation, 0 without one, and the last write of
	 * the caller. */
	uint32_t sequence;
	uint32_t last_sequence;
	/* Last write that was acknowledged in this session. */
	uint32_t session_sequence;
	/* Parts of the current answer that were received. */
	char row[128];
	char error[64];
	char signature[64];
	/* In order of time. */
	read_floor_t *floors;
	uint32_t floor_count;
	/* Writes whose errors guarantee that they had no effect. */
	uint32_t *refused;
	uint32_t refused_count;
	clock_ms_t served_ms;
};

static const char *const databases[] = { "main", "own", "board" };
/* Staleness bounds of the databases, as the stand-in configures them, with the
 * margin. */
static const clock_ms_t staleness_ms[] = { 0, 2500 + CLOCK_MARGIN_MS,
					   1500 + CLOCK_MARGIN_MS };

/*
 * Calls on_timer() after the delay, which replaces a pending one.
 */
static void schedule(soak_caller_t *caller, uint32_t delay_ms)
{
	const struct timeval delay = { .tv_sec = delay_ms / 1000,
				       .tv_usec = delay_ms % 1000 * 1000 };

	evtimer_add(caller->timer, &delay);
}

/*
 * Records that reads that begin from now on return at least sequence.
 */
static void add_floor(soak_caller_t *caller, uint32_t sequence,
		      bool rolled_back)
{
	if (caller->floor_count == FLOORS_MAX)
		abort();
	caller->floors[caller->floor_count++] =
		(read_floor_t){ soak_now(), sequence, rolled_back };
}

/*
 * Lowers what reads must return if a promotion rolled back acknowledged writes
 * with sequence numbers above sequence.
 */
void soak_caller_rolled_back(soak_caller_t *caller, uint32_t sequence)
{
	const read_floor_t *last = &caller->floors[caller->floor_count - 1];

	if (sequence < last->sequence)
		add_floor(caller, sequence, true);
}

/*
 * Returns the lowest sequence number that a read may return that began at
 * begun_ms and may be age_ms stale. Rollbacks since then lower it.
 */
static uint32_t lowest_fresh_sequence(const soak_caller_t *caller,
				      clock_ms_t begun_ms, clock_ms_t age_ms)
{
	uint32_t sequence = 0;
	uint32_t i;

	for (i = 0; i < caller->floor_count; i++) {
		const read_floor_t *floor = &caller->floors[i];

		if (floor->from_ms < begun_ms - age_ms)
			sequence = floor->sequence;
		else if (floor->rolled_back && floor->sequence < sequence)
			sequence = floor->sequence;
	}
	return sequence;
}

/*
 * Closes the connection to the gateway and resets the state of the session.
 */
static void close_session(soak_caller_t *caller)
{
	if (caller->events)
		bufferevent_free(caller->events);
	caller->events = NULL;
	caller->ready = false;
	caller->awaiting_answer = false;
	caller->session_sequence = 0;
}

/*
 * Waits for the answer to the next statement.
 */
static void await_answer(soak_caller_t *caller)
{
	caller->row[0] = '\0';
	caller->error[0] = '\0';
	caller->signature[0] = '\0';
	caller->awaiting_answer = true;
	schedule(caller, ANSWER_TIMEOUT_MS);
}

static void add_statement(soak_caller_t *caller, const char *text)
{
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "QUERY c%u-%llu %s\r\n", caller->index,
			    (unsigned long long)++caller->next_id, text);
}

/*
 * Sends a statement and waits for its answer.
 */
static void send_statement(soak_caller_t *caller, const char *text)
{
	add_statement(caller, text);
	await_answer(caller);
}

/*
 * Returns a random statement that cannot be decoded: words are missing, empty
 * or unknown.
 */
static const char *malformed_statement(soak_caller_t *caller)
{
	static const char *const statements[] = {
		"PREPARE s1  q2c", "PREPARE  READ q", "PREPARE s1 ",
		"PREPARE s1 X q",  "BEGIN  READ",     "BEGIN X",
		"SET  a",	   "EXECUTE  a",      "EXECUTE s1",
		"DEALLOC ",	   "READ ",	      "WRITE",
		"COMMIT x",	   " COMMIT",	      "STATUS",
		"AFTER 1.1 READ",
	};

	return statements[check_random_below(
		&caller->random, sizeof(statements) / sizeof(statements[0]))];
}

/*
 * Returns random data behind the number of a write: often none, else text with
 * line breaks, which ends no line of the protocol.
 */
static const char *data_tail(soak_caller_t *caller)
{
	static const char *const tails[] = {
		"",
		"",
		"",
		"\n",
		"\r",
		"\nQUERY x WRITE k0 900000",
		"\rQUERY x COMMIT",
		"\nTERMINATE",
		"\nREADY I 1.1",
	};

	return tails[check_random_below(&caller->random,
					sizeof(tails) / sizeof(tails[0]))];
}

static void add_step(soak_caller_t *caller, uint32_t step)
{
	char text[64];
	const char *statement = caller->statements[step];

	if (strcmp(statement, "READ") == 0)
		snprintf(text, sizeof(text), "READ k%u", caller->index);
	else if (strcmp(statement, "WRITE") == 0)
		snprintf(text, sizeof(text), "WRITE k%u %u%s", caller->index,
			 caller->sequence, data_tail(caller));
	else if (strcmp(statement, "MALFORMED") == 0)
		snprintf(text, sizeof(text), "%s", malformed_statement(caller));
	else
		snprintf(text, sizeof(text), "%s", statement);
	add_statement(caller, text);
}

/*
 * Sends the current statement of the operation, or, at its start, all of them
 * if they are sent ahead.
 */
static void send_step(soak_caller_t *caller)
{
	uint32_t step = caller->step;
	uint32_t end = caller->sent_ahead ? caller->steps : step + 1;

	if (!caller->sent_ahead || step == 0) {
		for (; step < end; step++)
			add_step(caller, step);
	}
	await_answer(caller);
}

/*
 * Starts a random operation.
 */
static void begin_operation(soak_caller_t *caller)
{
	static const char *const kinds[OPERATION_COUNT][STATEMENTS_MAX] = {
		{ "READ" },
		{ "WRITE" },
		{ "BEGIN", "READ", "WRITE", "COMMIT" },
		{ "BEGIN READ", "READ", "READ", "COMMIT" },
		{ "MALFORMED" },
		{ "BEGIN", "WRITE", "MALFORMED", "COMMIT" },
	};

	caller->kind = (operation_kind_t)check_random_below(&caller->random,
							    OPERATION_COUNT);
	memcpy(caller->statements, kinds[caller->kind],
	       sizeof(caller->statements));
	caller->steps = caller->statements[1] ? 4 : 1;
	caller->step = 0;
	caller->sent_ahead = caller->kind == OPERATION_FAILED_TRANSACTION &&
			     check_random_below(&caller->random, 2) == 0;
	caller->operation_failed = false;
	caller->sequence = 0;
	if (caller->kind == OPERATION_WRITE ||
	    caller->kind == OPERATION_TRANSACTION ||
	    caller->kind == OPERATION_FAILED_TRANSACTION)
		caller->sequence = ++caller->last_sequence;
	caller->begun_ms = soak_now();
	send_step(caller);
}

/*
 * Checks the row of an answer: it has the caller's own item and session value,
 * and, unless inside_write is true, it is as fresh as the consistency of the
 * database requires.
 */
static void check_row(soak_caller_t *caller, bool inside_write)
{
	char item[16];
	char zone[32] = "";
	char expected[16];
	unsigned sequence;
	uint32_t floor;

	if (sscanf(caller->row, "%15s %u %31s", item, &sequence, zone) < 2) {
		soak_report_violation(caller->soak, "a read returns a row",
				      caller->index, 0, caller->row);
		return;
	}
	snprintf(expected, sizeof(expected), "k%u", caller->index);
	if (strcmp(item, expected) != 0)
		soak_report_violation(caller->soak,
				      "rows are of the caller's own item",
				      caller->index, sequence, caller->row);
	snprintf(expected, sizeof(expected), "z%u", caller->index);
	if (strcmp(zone, expected) != 0)
		soak_report_violation(caller->soak,
				      "rows have the caller's session value",
				      caller->index, sequence, caller->row);
	if (inside_write)
		return;
	floor = lowest_fresh_sequence(caller, caller->begun_ms,
				      staleness_ms[caller->database]);
	if (caller->database == 1) {
		uint32_t own =
			lowest_fresh_sequence(caller, caller->begun_ms, 0);

		if (caller->session_sequence < own)
			own = caller->session_sequence;
		if (own > floor)
			floor = own;
	}
	if (sequence < floor)
		soak_report_violation(caller->soak, "reads are fresh",
				      caller->index, floor, caller->row);
}

/*
 * Checks that an acknowledged write was not committed by a replaced primary and
 * is in the log of the current primary, unless a promotion came between. Reads
 * must return it from now on.
 */
static void acknowledge(soak_caller_t *caller)
{
	if (soak_group_is_stale(soak_group(caller->soak), caller->index,
				caller->sequence))
		soak_report_violation(
			caller->soak,
			"replaced primaries acknowledge no writes",
			caller->index, caller->sequence, databases[0]);
	else if (!soak_group_has_write(soak_group(caller->soak), caller->index,
				       caller->sequence) &&
		 caller->begun_ms >
			 caller->floors[caller->floor_count - 1].from_ms)
		soak_report_violation(
			caller->soak, "acknowledged writes are kept",
			caller->index, caller->sequence, "not in the log");
	if (soak_group_has_write(soak_group(caller->soak), caller->index,
				 caller->sequence)) {
		add_floor(caller, caller->sequence, false);
		caller->session_sequence = caller->sequence;
	}
}

/*
 * Returns whether an error guarantees that the write had no effect.
 */
static bool error_guarantees_no_effect(const char *error)
{
	static const char *const codes[] = {
		"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "CONNLIMIT"
	};
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		if (strncmp(error, codes[i], strlen(codes[i])) == 0)
			return true;
	}
	return false;
}

/*
 * Checks the outcome of the operation's write, counts the operation and
 * schedules the next one.
 */
static void end_operation(soak_caller_t *caller, bool served)
{
	if (served) {
		caller->served_ms = soak_now();
		if (caller->sequence != 0)
			acknowledge(caller);
	} else if (caller->sequence != 0 &&
		   error_guarantees_no_effect(caller->error)) {
		if (soak_group_has_write(soak_group(caller->soak),
					 caller->index, caller->sequence))
			soak_report_violation(
				caller->soak, "refused writes have no effect",
				caller->index, caller->sequence, caller->error);
		if (caller->refused_count < REFUSED_MAX)
			caller->refused[caller->refused_count++] =
				caller->sequence;
	}
	soak_count_operation(caller->soak, served);
	schedule(caller,
		 20 + (uint32_t)check_random_below(&caller->random, 60));
}

/*
 * Checks the complete answer to a statement and goes on with the operation.
 */
static void on_answer(soak_caller_t *caller)
{
	const char *statement = caller->statements[caller->step];
	bool runs = strcmp(statement, "READ") == 0 ||
		    strcmp(statement, "WRITE") == 0 ||
		    strcmp(statement, "COMMIT") == 0;

	if (strcmp(statement, "MALFORMED") == 0) {
		if (strncmp(caller->error, "MALFORMED ", 10) != 0)
			soak_report_violation(
				caller->soak,
				"malformed statements are refused",
				caller->index, 0, caller->error);
		if (++caller->step < caller->steps)
			send_step(caller);
		else
			schedule(caller, 20);
		return;
	}
	if (caller->error[0] != '\0') {
		/* An error before COMMIT fails the whole transaction. Closing
		 * the session ends it, and the error decides the outcome. */
		char error[sizeof(caller->error)];

		memcpy(error, caller->error, sizeof(error));
		if (caller->steps > 1 && strcmp(statement, "COMMIT") != 0) {
			close_session(caller);
			memcpy(caller->error, error, sizeof(error));
		}
		end_operation(caller, false);
		return;
	}
	if (runs && strncmp(caller->signature, "sig-i-", 6) != 0)
		soak_report_violation(
			caller->soak, "answers have a target's signature",
			caller->index, caller->sequence, caller->signature);
	if (strcmp(statement, "READ") == 0)
		check_row(caller, false);
	if (strcmp(statement, "WRITE") == 0)
		check_row(caller, true);
	if (++caller->step < caller->steps) {
		send_step(caller);
		return;
	}
	if (caller->kind == OPERATION_FAILED_TRANSACTION)
		soak_report_violation(
			caller->soak, "failed transactions are not committed",
			caller->index, caller->sequence, caller->signature);
	end_operation(caller, true);
}

/*
 * Handles a line of an answer. READY completes the answer.
 */
static void on_line(soak_caller_t *caller, const char *line)
{
	if (strncmp(line, "DATAROW ", 8) == 0) {
		snprintf(caller->row, sizeof(caller->row), "%s", line + 8);
	} else if (strncmp(line, "COMPLETE ", 9) == 0) {
		snprintf(caller->signature, sizeof(caller->signature), "%s",
			 line + 9);
	} else if (strncmp(line, "ERROR ", 6) == 0) {
		snprintf(caller->error, sizeof(caller->error), "%s", line + 6);
	} else if (strncmp(line, "READY ", 6) != 0) {
		soak_report_violation(caller->soak, "answers have a known type",
				      caller->index, 0, line);
	} else if (!caller->awaiting_answer) {
		soak_report_violation(caller->soak,
				      "answers follow statements only",
				      caller->index, 0, line);
	} else {
		caller->awaiting_answer = false;
		if (caller->ready) {
			on_answer(caller);
			return;
		}
		/* This answer was to the start of the session, or to the SET of
		 * its value. */
		if (caller->step == 0) {
			char text[32];

			caller->step = 1;
			snprintf(text, sizeof(text), "SET zone z%u",
				 caller->index);
			send_statement(caller, text);
			return;
		}
		caller->ready = true;
		schedule(caller, 10);
	}
}

static void on_readable(struct bufferevent *events, void *context)
{
	soak_caller_t *caller = context;
	char *line;

	while (caller->events == events &&
	       (line = evbuffer_readln(bufferevent_get_input(events), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		on_line(caller, line);
		free(line);
	}
}

/*
 * Closes a session without waiting for its answer. A running operation fails
 * with an unknown outcome.
 */
static void abandon_session(soak_caller_t *caller)
{
	bool running = caller->ready && caller->awaiting_answer;

	close_session(caller);
	caller->error[0] = '\0';
	if (running)
		end_operation(caller, false);
	else
		schedule(caller, 50);
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	(void)events;
	if (!(what & BEV_EVENT_CONNECTED))
		abandon_session(context);
}

/*
 * Connects to a random gateway and starts a session with a random database.
 */
static void open_session(soak_caller_t *caller)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	uint32_t gateway =
		(uint32_t)check_random_below(&caller->random, SOAK_GATEWAYS);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(soak_caller_port(caller->soak, gateway));
	caller->database = (uint32_t)check_random_below(&caller->random, 3);
	caller->step = 0;
	caller->awaiting_answer = true;
	caller->events =
		bufferevent_socket_new(caller->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(caller->events, on_readable, NULL, on_event, caller);
	bufferevent_enable(caller->events, EV_READ | EV_WRITE);
	evbuffer_add_printf(bufferevent_get_output(caller->events),
			    "STARTUP %s key-t%u\r\n",
			    databases[caller->database], caller->index);
	schedule(caller, ANSWER_TIMEOUT_MS);
	bufferevent_socket_connect(caller->events, (struct sockaddr *)&address,
				   sizeof(address));
}

/*
 * Abandons an answer that takes too long. Otherwise opens a session, or begins
 * an operation; with a probability of 1 in 50 it closes the session instead.
 */
static void on_timer(evutil_socket_t fd, short what, void *context)
{
	soak_caller_t *caller = context;

	(void)fd;
	(void)what;
	if (caller->awaiting_answer)
		abandon_session(caller);
	else if (!caller->events)
		open_session(caller);
	else if (check_random_below(&caller->random, 50) == 0)
		abandon_session(caller);
	else
		begin_operation(caller);
}

/*
 * Returns a caller whose operations depend on seed and index. Callers start
 * 20 ms apart.
 */
soak_caller_t *soak_caller_new(soak_t *soak, struct event_base *base,
			       uint32_t index, uint64_t seed)
{
	soak_caller_t *caller = check_allocate(sizeof(*caller));

	caller->soak = soak;
	caller->base = base;
	caller->index = index;
	caller->random = check_random(seed * 1000 + index);
	caller->floors = check_allocate(FLOORS_MAX * sizeof(read_floor_t));
	caller->refused = check_allocate(REFUSED_MAX * sizeof(uint32_t));
	add_floor(caller, 0, false);
	caller->timer = evtimer_new(base, on_timer, caller);
	schedule(caller, 10 + 20 * index);
	return caller;
}

/*
 * Closes the session of the caller and frees it.
 */
void soak_caller_free(soak_caller_t *caller)
{
	close_session(caller);
	event_free(caller->timer);
	free(caller->floors);
	free(caller->refused);
	free(caller);
}

/*
 * Returns the time of the last successful operation on the clock of soak_now(),
 * or 0.
 */
clock_ms_t soak_caller_served_ms(const soak_caller_t *caller)
{
	return caller->served_ms;
}

/*
 * Checks that no write whose error guarantees that it had no effect is in the
 * primary's log.
 */
void soak_caller_check(soak_caller_t *caller)
{
	uint32_t i;

	for (i = 0; i < caller->refused_count; i++) {
		if (soak_group_has_write(soak_group(caller->soak),
					 caller->index, caller->refused[i]))
			soak_report_violation(caller->soak,
					      "refused writes have no effect",
					      caller->index, caller->refused[i],
					      "found at the end");
	}
}
