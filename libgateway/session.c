#include <event2/buffer.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal.h"
#include "platform/wire.h"

/* A caller's connection is closed when data sent to it has not been
 * acknowledged for this time, since its transaction holds a connection to a
 * target meanwhile. */
#define UNACKNOWLEDGED_MAX_MS 10000
/* A session without a statement for this long is taken to be between two
 * operations: longer than the pauses that callers make within one. */
#define OPERATION_GAP_MS 300
/* One of this many successful statements is logged; failed ones always are. */
#define LOG_SAMPLE_INTERVAL 100
/* Statements of one caller that are answered without a return to the event
 * loop, which others and the end of the connection wait for. */
#define STATEMENTS_PER_TURN 16
/* Limit of unread bytes of a caller: one line of the longest kind. */
#define INPUT_MAX_BYTES (WIRE_LINE_MAX_BYTES + 4096)

static void free_session(session_t *session)
{
	gateway_t *gateway = session->gateway;

	TAILQ_REMOVE(&gateway->sessions, session, entry);
	gateway->session_count--;
	if (session->paused)
		gateway->paused_count--;
	budget_account_close(&gateway->budget, &session->account);
	bufferevent_free(session->events);
	if (session->timer)
		event_free(session->timer);
	string_map_clear(&session->values);
	string_map_clear(&session->prepared);
	free(session->line);
	free(session);
}

/*
 * Closes a session and its caller's connection; an open transaction is rolled
 * back.
 */
void gateway_session_close(session_t *session)
{
	gateway_execute_session_closed(session);
	free_session(session);
}

static struct evbuffer *output_of(session_t *session)
{
	return bufferevent_get_output(session->events);
}

/*
 * Takes a further statement from the event loop, if one may already be in the
 * input.
 */
void gateway_session_take_pending(session_t *session)
{
	if (evbuffer_get_length(bufferevent_get_input(session->events)) > 0)
		bufferevent_trigger(session->events, EV_READ,
				    BEV_TRIG_DEFER_CALLBACKS);
}

/*
 * Ends an answer with the state in which the caller's next statement starts.
 * position is the log position of the statement, or NULL.
 */
static void end_answer(session_t *session, const log_position_t *position)
{
	wire_ready_encode(output_of(session), session->transaction, position);
	session->phase = SESSION_IDLE;
	session->answered_ms = gateway_now(session->gateway);
	free(session->line);
	session->line = NULL;
	session->line_bytes = 0;
	gateway_pressure_account(session);
	gateway_session_take_pending(session);
}

static const char *consistency_name(consistency_t consistency)
{
	switch (consistency) {
	case CONSISTENCY_PRIMARY:
		return "primary";
	case CONSISTENCY_BOUNDED:
		return "bounded";
	case CONSISTENCY_SESSION:
		return "session";
	}
	return "invalid";
}

static void count_answer(session_t *session, const char *outcome)
{
	gateway_t *gateway = session->gateway;
	char label[64];

	snprintf(label, sizeof(label), "%s-%s",
		 consistency_name(session->route.consistency), outcome);
	counter_family_add(gateway->counters.statements, label, 1);
	counter_family_observe(
		gateway->counters.latency,
		consistency_name(session->route.consistency),
		(double)(gateway_now(gateway) - session->arrived_ms));
}

static void count_refusal(session_t *session, const char *reason)
{
	char label[64];

	snprintf(label, sizeof(label), "%" PRIu32 " %s",
		 session->route.priority, reason);
	counter_family_add(session->gateway->counters.refusals, label, 1);
}

/*
 * Logs a successful statement: one of LOG_SAMPLE_INTERVAL as info, the others
 * for debugging.
 */
static void log_done(const session_t *session, const log_position_t *position)
{
	gateway_t *gateway = session->gateway;
	bool sampled = gateway->statements++ % LOG_SAMPLE_INTERVAL == 0;

	LOG_EVENT(gateway->log, sampled ? LOG_LEVEL_INFO : LOG_LEVEL_DEBUG,
		  "statement-done", LOG_TEXT("id", session->statement.id),
		  LOG_TEXT("database", session->database),
		  LOG_TEXT("service", session->route.service),
		  LOG_TEXT("role", session->term ? "primary" : "replica"),
		  LOG_SIGNED("age_ms",
			     gateway_now(gateway) - session->arrived_ms),
		  LOG_UNSIGNED("attempts", session->attempts),
		  LOG_UNSIGNED("required", session->required.number),
		  LOG_UNSIGNED("term", position ? position->term : 0),
		  LOG_UNSIGNED("number", position ? position->number : 0));
}

/*
 * Answers the current statement with success. answer holds the rows and the
 * success of the target, or is NULL if the statement was answered without one.
 */
void gateway_session_succeed(session_t *session, struct evbuffer *answer,
			     const log_position_t *position)
{
	if (!answer) {
		wire_complete_encode(output_of(session), NULL);
	} else {
		evbuffer_add_buffer(output_of(session), answer);
		log_done(session, position);
		count_answer(session, "done");
	}
	end_answer(session, position);
}

/*
 * Records that the current statement has failed. A commit ends its transaction,
 * whatever the answer is; after any other statement, an open transaction has
 * failed. Its connection is given back, which rolls it back at the target: no
 * later statement may run inside it.
 */
static void fail_transaction(session_t *session)
{
	if (session->transaction == TRANSACTION_NONE)
		return;
	gateway_execute_release_connection(session);
	session->transaction = TRANSACTION_FAILED;
	if (session->statement.kind != STATEMENT_COMMIT)
		return;
	session->transaction = TRANSACTION_NONE;
	session->group = NULL;
}

/*
 * Answers the current statement with an error; reason is for the log and the
 * caller.
 */
void gateway_session_fail(session_t *session, statement_error_t error,
			  const char *reason)
{
	gateway_t *gateway = session->gateway;
	clock_ms_t now_ms = gateway_now(gateway);
	const group_t *group = session->group;

	LOG_EVENT(gateway->log, LOG_LEVEL_INFO, "statement-failed",
		  LOG_TEXT("id", session->statement.id),
		  LOG_TEXT("outcome", statement_error_name(error)),
		  LOG_TEXT("reason", reason),
		  LOG_TEXT("database", session->database),
		  LOG_TEXT("service", session->route.service),
		  LOG_TEXT("tenant", session->tenant),
		  LOG_SIGNED("age_ms", now_ms - session->arrived_ms),
		  LOG_UNSIGNED("attempts", session->attempts),
		  LOG_UNSIGNED("term", group ? group->record.term : 0),
		  LOG_UNSIGNED("fence", group ? group->record.fence : 0),
		  LOG_SIGNED("grant_left_ms",
			     group ? group->grant.until_ms - now_ms : 0),
		  LOG_UNSIGNED("waiting", group ? group->waiting_count : 0),
		  LOG_UNSIGNED("priority", session->route.priority),
		  LOG_SIGNED("expected_wait_ms", session->expected_wait_ms),
		  LOG_UNSIGNED("version", gateway->configuration.version));
	if (error == STATEMENT_ERROR_BUSY)
		count_refusal(session, reason);
	queue_operation_refused(&session->operation, now_ms);
	fail_transaction(session);
	wire_error_encode(output_of(session), error, reason);
	count_answer(session, statement_error_name(error));
	end_answer(session, NULL);
}

/*
 * Refuses the start of a session. on_written() closes the session once the
 * error is sent.
 */
static void refuse_session(session_t *session, const char *database,
			   statement_error_t error, const char *reason)
{
	gateway_t *gateway = session->gateway;

	LOG_EVENT(gateway->log, LOG_LEVEL_INFO, "session-refused",
		  LOG_TEXT("database", database),
		  LOG_TEXT("outcome", statement_error_name(error)),
		  LOG_UNSIGNED("version", gateway->configuration.version));
	wire_error_encode(output_of(session), error, reason);
	bufferevent_disable(session->events, EV_READ);
}

/*
 * Answers the start of a session. If the caller's key is unknown, or the
 * database has no route, the caller gets an error and its connection is closed.
 * The key is looked at first, so that a caller without a key does not learn
 * which databases exist.
 */
static void start_session(session_t *session, const char *database,
			  const char *key)
{
	gateway_t *gateway = session->gateway;
	const route_t *route =
		gateway_configuration_route(&gateway->configuration, database);

	session->has_key =
		key && tenant_key_digest(key, &session->key) == TENANT_OK;
	if (route)
		memcpy(session->database, database, strlen(database) + 1);
	if (gateway_tenant_identify(session) != TENANT_ACCESS_GRANTED) {
		/* A caller may have sent its key in place of the name. */
		refuse_session(session, route ? database : "",
			       STATEMENT_ERROR_DENIED, "unknown key");
		return;
	}
	if (!route) {
		refuse_session(session, database, STATEMENT_ERROR_NO_DATABASE,
			       "no route");
		return;
	}
	session->route = *route;
	session->phase = SESSION_IDLE;
	wire_ready_encode(output_of(session), TRANSACTION_NONE, NULL);
}

/*
 * Handles one message of a caller. Its strings point into the session's line,
 * which is kept while the statement runs. A message that does not fit the
 * session's phase closes it. Returns false if the session was closed.
 */
static bool on_message(session_t *session, const caller_message_t *message)
{
	switch (message->kind) {
	case CALLER_MESSAGE_TERMINATE:
		gateway_session_close(session);
		return false;
	case CALLER_MESSAGE_STARTUP:
		if (session->phase != SESSION_STARTING)
			break;
		if (session->refused) {
			refuse_session(session, message->u.startup.database,
				       STATEMENT_ERROR_CONNECTION_LIMIT,
				       "too many sessions");
			return true;
		}
		start_session(session, message->u.startup.database,
			      message->u.startup.key);
		/* The line holds the caller's key. */
		free(session->line);
		session->line = NULL;
		return true;
	case CALLER_MESSAGE_STATEMENT:
		if (session->phase != SESSION_IDLE)
			break;
		session->statement = message->u.statement;
		gateway_statement_execute(session);
		return true;
	case CALLER_MESSAGE_MALFORMED:
		if (session->phase != SESSION_IDLE || !message->u.malformed.id)
			break;
		session->statement =
			(statement_t){ .id = message->u.malformed.id };
		session->arrived_ms = gateway_now(session->gateway);
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "malformed statement");
		return true;
	}
	gateway_session_close(session);
	return false;
}

/*
 * Keeps a line in the session, with the room that its decoding needs. Returns
 * false if there is no memory; the line is freed then.
 */
static bool keep_line(session_t *session, char *line, size_t length)
{
	char *room = realloc(line, 2 * length + 4);

	if (!room) {
		free(line);
		return false;
	}
	free(session->line);
	session->line = room;
	session->line_bytes = length;
	return true;
}

/*
 * Returns true if the start of a session was refused. It reads no further line.
 */
static bool is_refused(const session_t *session)
{
	return session->phase == SESSION_STARTING && !session->paused &&
	       !(bufferevent_get_enabled(session->events) & EV_READ);
}

/*
 * Returns true if the next statement may begin: the last one is answered, and
 * the caller reads its answers.
 */
static bool may_begin(const session_t *session)
{
	return (session->phase == SESSION_IDLE ||
		session->phase == SESSION_STARTING) &&
	       !is_refused(session) &&
	       evbuffer_get_length(bufferevent_get_output(session->events)) <=
		       BUDGET_UNREAD_MAX_BYTES;
}

/*
 * Takes the next line out of the input, or returns NULL if it is not complete.
 * Bytes that were searched before are not searched again: the time for a line
 * that comes in small pieces would grow with the square of its length.
 */
static char *read_line(session_t *session, struct evbuffer *input,
		       size_t *length)
{
	struct evbuffer_ptr from;
	struct evbuffer_ptr end;
	/* The last byte searched may be the CR of a line end. */
	size_t start =
		session->searched_bytes > 0 ? session->searched_bytes - 1 : 0;

	if (evbuffer_ptr_set(input, &from, start, EVBUFFER_PTR_SET) != 0)
		return NULL;
	end = evbuffer_search_eol(input, &from, NULL, WIRE_LINE_END);
	if (end.pos < 0) {
		session->searched_bytes = evbuffer_get_length(input);
		return NULL;
	}
	session->searched_bytes = 0;
	return evbuffer_readln(input, length, WIRE_LINE_END);
}

/*
 * Reads statements one at a time; statements sent ahead stay in the input.
 */
static void on_readable(struct bufferevent *events, void *context)
{
	session_t *session = context;
	struct evbuffer *input = bufferevent_get_input(events);
	caller_message_t message;
	size_t length;
	char *line;
	int statements = 0;

	while (may_begin(session)) {
		if (statements++ == STATEMENTS_PER_TURN) {
			gateway_session_take_pending(session);
			break;
		}
		line = read_line(session, input, &length);
		if (!line)
			break;
		if (strlen(line) != length || length > WIRE_LINE_MAX_BYTES ||
		    !keep_line(session, line, length)) {
			gateway_session_close(session);
			return;
		}
		message = wire_caller_decode(session->line);
		if (!on_message(session, &message))
			return;
	}
	if (may_begin(session) && statements <= STATEMENTS_PER_TURN &&
	    evbuffer_get_length(input) > WIRE_LINE_MAX_BYTES) {
		gateway_session_close(session);
		return;
	}
	gateway_pressure_update(session);
}

/*
 * Returns true if a session may be closed while callers are to move to another
 * proxy: no statement runs, no transaction is open, and the last answer was
 * sent. A caller that got its answer within OPERATION_GAP_MS may be about to
 * send; its session is closed after its next answer. With
 * close_open_transactions, the state of the transaction and the time of the
 * answer do not count.
 */
bool gateway_session_may_close(const session_t *session,
			       bool close_open_transactions)
{
	if (session->phase != SESSION_IDLE ||
	    evbuffer_get_length(bufferevent_get_output(session->events)) > 0)
		return false;
	if (close_open_transactions)
		return true;
	return session->transaction == TRANSACTION_NONE &&
	       gateway_now(session->gateway) >=
		       session->answered_ms + OPERATION_GAP_MS;
}

/*
 * Closes a session once its answer is sent, if it was refused, if its key is
 * withdrawn, or if callers are to move to another proxy: the caller then sees
 * the end before it sends more, and may return with another key.
 */
static void on_written(struct bufferevent *events, void *context)
{
	session_t *session = context;
	bool leaves =
		session->phase == SESSION_IDLE &&
		session->transaction == TRANSACTION_NONE &&
		(session->denied || gateway_ends_sessions(session->gateway));

	(void)events;
	if (is_refused(session) || leaves) {
		gateway_session_close(session);
		return;
	}
	if (!gateway_pressure_update(session))
		return;
	/* A statement may have waited until the answers were read. */
	if (session->phase == SESSION_IDLE)
		gateway_session_take_pending(session);
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	(void)events;
	(void)what;
	gateway_session_close(context);
}

/*
 * Starts a session on an accepted connection, or closes the connection if there
 * is no memory.
 */
void gateway_session_accept(gateway_t *gateway, evutil_socket_t fd)
{
	session_t *session;
	int limit_ms = UNACKNOWLEDGED_MAX_MS;
	bool refused;
	int on = 1;

	session = gateway_pressure_admit(gateway, &refused)
			  ? calloc(1, sizeof(*session))
			  : NULL;
	if (!session) {
		evutil_closesocket(fd);
		return;
	}
	session->refused = refused;
	session->accepted_ms = gateway_now(gateway);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		   sizeof(limit_ms));
	session->gateway = gateway;
	session->events = bufferevent_socket_new(gateway->base, fd,
						 BEV_OPT_CLOSE_ON_FREE);
	if (!session->events) {
		evutil_closesocket(fd);
		free(session);
		return;
	}
	TAILQ_INSERT_TAIL(&gateway->sessions, session, entry);
	gateway->session_count++;
	budget_account_open(&gateway->budget, &session->account, session);
	bufferevent_setcb(session->events, on_readable, on_written, on_event,
			  session);
	bufferevent_setwatermark(session->events, EV_READ, 0, INPUT_MAX_BYTES);
	bufferevent_enable(session->events, EV_READ | EV_WRITE);
}
