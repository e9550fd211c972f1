#include <event2/buffer.h>

#include "internal.h"
#include "platform/wire.h"

static void on_timer(evutil_socket_t fd, short what, void *context);

void gateway_execute_set_timer(session_t *session, clock_ms_t delay_ms)
{
	struct timeval delay = gateway_timeval(delay_ms);

	if (!session->timer)
		session->timer =
			evtimer_new(session->gateway->base, on_timer, session);
	if (session->timer)
		evtimer_add(session->timer, &delay);
}

void gateway_execute_stop_timer(session_t *session)
{
	if (session->timer)
		evtimer_del(session->timer);
}

/*
 * Gives back the connection of a session; a transaction on it rolls back.
 */
void gateway_execute_drop_connection(session_t *session)
{
	connection_t *connection = session->connection;

	session->connection = NULL;
	if (connection)
		gateway_connection_release(connection);
}

/*
 * Ends the current statement with an error, and the transaction with it.
 */
void gateway_execute_fail(session_t *session, statement_error_t error,
			  const char *reason)
{
	gateway_place_leave(session);
	gateway_execute_stop_timer(session);
	gateway_execute_drop_connection(session);
	/* A commit ends its transaction, whatever it is answered with. */
	if (session->statement.kind == STATEMENT_COMMIT)
		session->transaction = TRANSACTION_NONE;
	gateway_session_fail(session, error, reason);
	if (session->transaction == TRANSACTION_NONE)
		session->group = NULL;
}

/*
 * Ends the current statement, of which the target's end is not known. A write
 * that stands alone or a commit of writes may have taken effect; anything else
 * ends with its connection.
 */
static void fail_unknown(session_t *session, const char *reason)
{
	const statement_t *statement = &session->statement;
	bool may_be_kept =
		session->sent &&
		((session->transaction == TRANSACTION_NONE &&
		  session->writes) ||
		 (statement->kind == STATEMENT_COMMIT && session->wrote));

	gateway_execute_fail(session,
			     may_be_kept ? STATEMENT_ERROR_UNKNOWN_OUTCOME
					 : STATEMENT_ERROR_ABORTED,
			     reason);
}

/*
 * Adds the request of the next step that brings the connection into the state
 * that the statement needs, or of the statement itself. Returns the step.
 */
static step_t send_next(session_t *session, connection_t *connection)
{
	struct evbuffer *output = bufferevent_get_output(connection->events);
	const statement_t *statement = &session->statement;
	const log_position_t *after =
		session->required.term ? &session->required : NULL;
	const char *statement_template;
	size_t i;

	/* A reset also makes room for prepared statements. */
	if (!gateway_values_within(&connection->values, &session->values) ||
	    connection->prepared.count >= VALUES_MAX) {
		wire_reset_encode(output);
		return STEP_RESET;
	}
	for (i = 0; i < session->values.count; i++) {
		const value_t *value = &session->values.items[i];
		const char *known =
			gateway_values_get(&connection->values, value->name);

		if (known && strcmp(known, value->text) == 0)
			continue;
		connection->value_index = i;
		wire_set_encode(output, value->name, value->text);
		return STEP_SET;
	}
	if (session->transaction == TRANSACTION_OPEN &&
	    !connection->in_transaction) {
		wire_begin_encode(output, session->read_only, after);
		return STEP_BEGIN;
	}
	/* Inside a transaction the position was proved by its start. */
	if (session->transaction == TRANSACTION_OPEN)
		after = NULL;
	if (statement->kind != STATEMENT_EXECUTE) {
		wire_statement_encode(output, statement->id, after,
				      statement->text);
		return STEP_STATEMENT;
	}
	statement_template =
		gateway_values_get(&session->prepared, statement->name);
	if (!gateway_values_get(&connection->prepared, statement_template)) {
		wire_prepare_encode(output, statement_template,
				    statement_template[0] == 'w',
				    statement_template + 2);
		return STEP_PREPARE;
	}
	wire_execute_encode(output, statement->id, after, statement_template,
			    statement->value);
	return STEP_STATEMENT;
}

void gateway_execute_advance(session_t *session)
{
	connection_t *connection = session->connection;

	connection->step = send_next(session, connection);
	if (connection->step == STEP_STATEMENT) {
		session->sent = true;
		session->bound = session->transaction == TRANSACTION_OPEN;
	}
	gateway_connection_send_step(connection);
}

/*
 * Tells whether a success of the primary may be passed on: the grant on the
 * term on which the operation began still holds, and the target is on it.
 */
static bool is_rightful(const session_t *session,
			const log_position_t *position)
{
	const group_t *group = session->group;

	if (session->term == 0)
		return true;
	return group->record.term == session->term &&
	       gateway_group_may_lead(group, gateway_now(session->gateway)) &&
	       (!position || gateway_group_is_in_term(group, position));
}

static void finish_operation(session_t *session)
{
	connection_t *connection = session->connection;

	gateway_execute_stop_timer(session);
	if (session->transaction == TRANSACTION_OPEN) {
		gateway_execute_set_timer(
			session,
			session->gateway->configuration.transaction_idle_ms);
		return;
	}
	session->connection = NULL;
	if (connection)
		gateway_connection_release(connection);
	session->group = NULL;
}

/*
 * Passes on a success of the target.
 */
static void finish_statement(session_t *session, connection_t *connection,
			     const log_position_t *position)
{
	const statement_t *statement = &session->statement;
	bool commits = statement->kind == STATEMENT_COMMIT;

	if (!is_rightful(session, position)) {
		fail_unknown(session, "term ended");
		return;
	}
	if (position &&
	    (commits ? session->wrote
		     : session->writes &&
			       session->transaction == TRANSACTION_NONE)) {
		session->written =
			log_position_max(session->written, *position);
		session->written_ms = gateway_now(session->gateway);
	}
	if (session->writes)
		session->wrote = true;
	counter_family_add(session->gateway->counters.reads,
			   session->term ? "primary" : "replica", 1);
	if (commits)
		session->transaction = TRANSACTION_NONE;
	gateway_session_succeed(session, connection->rows,
				connection->signature, position);
	finish_operation(session);
}

/*
 * Tries the operation on another target, after one that did not run it.
 */
static void try_elsewhere(session_t *session)
{
	gateway_place_note_tried(session, session->connection->target);
	session->sent = false;
	gateway_execute_drop_connection(session);
	gateway_place_operation(session);
}

/*
 * Handles an error of a target. Errors of a first step or of a lone statement
 * that did not run are worth another target.
 */
static void finish_error(session_t *session, connection_t *connection,
			 step_t step)
{
	statement_error_t error = connection->error;
	bool no_run = error == STATEMENT_ERROR_BUSY ||
		      error == STATEMENT_ERROR_LAGGING ||
		      error == STATEMENT_ERROR_READ_ONLY;
	bool first = step != STEP_STATEMENT
			     ? !session->bound
			     : session->transaction == TRANSACTION_NONE;

	if (error == STATEMENT_ERROR_NO_STATEMENT) {
		/* The target has lost what was prepared here. */
		gateway_connection_close(connection);
		return;
	}
	if (no_run && first && !session->writes && session->term == 0) {
		try_elsewhere(session);
		return;
	}
	if (session->statement.kind == STATEMENT_COMMIT) {
		/* An error that does not say whether the commit ran. */
		if (!statement_error_guarantees_no_effect(error) &&
		    session->wrote) {
			fail_unknown(session, "commit failed");
			return;
		}
	}
	if (error == STATEMENT_ERROR_READ_ONLY)
		error = STATEMENT_ERROR_ABORTED;
	gateway_execute_fail(session, error, "answer of the target");
}

static void note_step(session_t *session, connection_t *connection)
{
	const value_t *value;
	const char *statement_template;

	switch (connection->step) {
	case STEP_RESET:
		gateway_values_clear(&connection->values);
		gateway_values_clear(&connection->prepared);
		break;
	case STEP_SET:
		value = &session->values.items[connection->value_index];
		gateway_values_set(&connection->values, value->name,
				   value->text);
		break;
	case STEP_PREPARE:
		statement_template = gateway_values_get(
			&session->prepared, session->statement.name);
		gateway_values_set(&connection->prepared, statement_template,
				   statement_template);
		break;
	case STEP_BEGIN:
	case STEP_STATEMENT:
	case STEP_NONE:
		break;
	}
}

/*
 * Called at the end of a target's answer to the step of a session.
 */
void gateway_execute_step_done(connection_t *connection,
			       const log_position_t *position)
{
	session_t *session = connection->session;
	step_t step = connection->step;

	if (!connection->failed && !connection->complete) {
		gateway_connection_close(connection);
		return;
	}
	if (connection->failed) {
		gateway_connection_end_step(connection);
		finish_error(session, connection, step);
		return;
	}
	note_step(session, connection);
	gateway_connection_end_step(connection);
	if (step != STEP_STATEMENT) {
		gateway_execute_advance(session);
		return;
	}
	finish_statement(session, connection, position);
}

/*
 * Called when the connection of a session has ended. A lone read, or an
 * operation that was not sent, runs on another one.
 */
void gateway_execute_connection_lost(session_t *session)
{
	bool lone_read =
		session->transaction == TRANSACTION_NONE && !session->writes;

	if (session->phase == SESSION_IDLE) {
		/* An open transaction between two statements. */
		session->transaction = TRANSACTION_FAILED;
		gateway_execute_stop_timer(session);
		return;
	}
	if (session->phase != SESSION_RUNNING)
		return;
	if (lone_read || (!session->sent && !session->bound)) {
		gateway_place_note_tried(session, NULL);
		session->sent = false;
		if (session->attempts < ATTEMPTS_MAX) {
			gateway_place_operation(session);
			return;
		}
	}
	fail_unknown(session, "connection to the target lost");
}

/*
 * Called when a caller's session ends: what it holds is given back.
 */
void gateway_execute_session_gone(session_t *session)
{
	gateway_place_leave(session);
	gateway_execute_stop_timer(session);
	gateway_execute_drop_connection(session);
}

/*
 * Ends a statement at its time limit, or a transaction that is idle for too
 * long.
 */
static void on_timer(evutil_socket_t fd, short what, void *context)
{
	session_t *session = context;

	(void)fd;
	(void)what;
	switch (session->phase) {
	case SESSION_WAITING:
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
				     "no connection in time");
		break;
	case SESSION_RUNNING:
		fail_unknown(session, "time limit");
		break;
	case SESSION_IDLE:
		if (session->transaction == TRANSACTION_OPEN) {
			session->transaction = TRANSACTION_FAILED;
			gateway_execute_drop_connection(session);
		}
		break;
	case SESSION_STARTING:
		break;
	}
}

/*
 * Ends everything that still runs on a group's primary, before this proxy
 * states that it has stopped on the term.
 */
void gateway_execute_stop(group_t *group)
{
	gateway_t *gateway = group->gateway;
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&gateway->sessions); session;
	     session = next) {
		next = TAILQ_NEXT(session, entry);
		if (session->group != group || session->term == 0 ||
		    !session->connection)
			continue;
		if (session->phase == SESSION_RUNNING)
			fail_unknown(session, "term ended");
		else
			on_timer(-1, 0, session);
	}
}
