#include <event2/buffer.h>

#include "internal.h"
#include "platform/wire.h"

static void on_timer(evutil_socket_t fd, short what, void *context);

/*
 * Starts a time limit of the session, which replaces an earlier one. When it
 * expires, on_timer() fails the statement in progress or the idle transaction.
 * If there is no memory for the timer, there is no time limit.
 */
void gateway_execute_set_timer(session_t *session, clock_ms_t delay_ms)
{
	struct timeval delay = gateway_timeval(delay_ms);

	if (!session->timer)
		session->timer =
			evtimer_new(session->gateway->base, on_timer, session);
	if (session->timer)
		evtimer_add(session->timer, &delay);
}

/*
 * Removes the session's time limit.
 */
void gateway_execute_stop_timer(session_t *session)
{
	if (session->timer)
		evtimer_del(session->timer);
}

/*
 * Gives back the connection of a session, if it has one; an open transaction on
 * it is rolled back.
 */
void gateway_execute_release_connection(session_t *session)
{
	connection_t *connection = session->connection;
	clock_ms_t now_ms = gateway_now(session->gateway);

	session->connection = NULL;
	if (!connection)
		return;
	if (session->group)
		queue_usage_note(&session->group->usage,
				 session->route.priority,
				 now_ms - session->held_since_ms, now_ms);
	gateway_connection_release(connection);
}

/*
 * Answers the current statement with an error and gives back the connection. An
 * open transaction fails, or ends if the statement was its commit.
 */
void gateway_execute_fail(session_t *session, statement_error_t error,
			  const char *reason)
{
	gateway_quota_leave(session);
	gateway_quota_give_back(session);
	gateway_place_leave(session);
	gateway_execute_stop_timer(session);
	gateway_execute_release_connection(session);
	gateway_session_fail(session, error, reason);
	if (session->transaction == TRANSACTION_NONE)
		session->group = NULL;
}

/*
 * Answers the current statement with an error when its result at the target is
 * not known. A single write or a commit of writes may have taken effect, so
 * that its outcome is unknown. Anything else is rolled back with its connection
 * and reported as aborted.
 */
static void fail_outcome_unknown(session_t *session, const char *reason)
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
 * Encodes the request of the next step to the connection's output: one that
 * brings the connection into the state that the statement needs, or the
 * statement itself. Returns the step.
 */
static step_t encode_next_step(session_t *session, connection_t *connection)
{
	struct evbuffer *output = bufferevent_get_output(connection->events);
	const statement_t *statement = &session->statement;
	const log_position_t *after =
		session->required.term ? &session->required : NULL;
	const char *prepared_name;
	size_t i;

	/* A reset also removes the prepared statements, and so makes room for
	 * new ones. */
	if (!string_map_is_key_subset(&connection->values, &session->values) ||
	    connection->prepared.count >= STRING_MAP_ENTRIES_MAX) {
		wire_reset_encode(output);
		return STEP_RESET;
	}
	for (i = 0; i < session->values.count; i++) {
		const string_map_entry_t *value = &session->values.items[i];
		const char *known =
			string_map_get(&connection->values, value->name);

		if (known && strcmp(known, value->text) == 0)
			continue;
		connection->value_index = i;
		wire_set_encode(output, value->name, value->text);
		return STEP_SET;
	}
	if (session->transaction == TRANSACTION_OPEN &&
	    connection->state == TRANSACTION_NONE) {
		wire_begin_encode(output, session->read_only, after);
		return STEP_BEGIN;
	}
	/* The start of the transaction has already required the position. */
	if (session->transaction == TRANSACTION_OPEN)
		after = NULL;
	if (statement->kind != STATEMENT_EXECUTE) {
		wire_statement_encode(output, statement->id, after,
				      statement->text);
		return STEP_STATEMENT;
	}
	prepared_name = string_map_get(&session->prepared, statement->name);
	if (!string_map_get(&connection->prepared, prepared_name)) {
		wire_prepare_encode(output, prepared_name,
				    prepared_name[0] == 'w', prepared_name + 2);
		return STEP_PREPARE;
	}
	wire_execute_encode(output, statement->id, after, prepared_name,
			    statement->value);
	return STEP_STATEMENT;
}

/*
 * Sends the next step of the session's current statement on its connection.
 */
void gateway_execute_advance(session_t *session)
{
	connection_t *connection = session->connection;

	connection->step = encode_next_step(session, connection);
	if (connection->step == STEP_STATEMENT) {
		session->sent = true;
		session->bound_to_connection =
			session->transaction == TRANSACTION_OPEN;
	}
	gateway_connection_begin_step(connection);
}

/*
 * Returns true if a success of the target may be passed on. For the primary,
 * the term in which the operation began must still be recorded, this proxy must
 * hold a grant on it, and the position must be one of that term. Successes of
 * replicas may always be passed on.
 */
static bool holds_term(const session_t *session, const log_position_t *position)
{
	const group_t *group = session->group;

	if (session->term == 0)
		return true;
	return group->record.term == session->term &&
	       gateway_group_holds_grant(group,
					 gateway_now(session->gateway)) &&
	       (!position || gateway_group_is_in_term(group, position));
}

/*
 * Gives back the connection after an operation, or starts the time limit for an
 * idle transaction.
 */
static void finish_operation(session_t *session)
{
	gateway_execute_stop_timer(session);
	if (session->transaction == TRANSACTION_OPEN) {
		gateway_execute_set_timer(
			session,
			session->gateway->configuration.transaction_idle_ms);
		return;
	}
	gateway_execute_release_connection(session);
	session->group = NULL;
}

/*
 * Passes on a success of the target to the caller, unless the term of the
 * operation has ended.
 */
static void finish_statement(session_t *session, connection_t *connection,
			     const log_position_t *position)
{
	const statement_t *statement = &session->statement;
	bool commits = statement->kind == STATEMENT_COMMIT;

	if (!holds_term(session, position)) {
		fail_outcome_unknown(session, "term ended");
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
	counter_family_add(session->gateway->counters.served,
			   session->term ? "primary" : "replica", 1);
	if (commits)
		session->transaction = TRANSACTION_NONE;
	gateway_session_succeed(session, connection->answer, position);
	finish_operation(session);
}

/*
 * Retries the operation on another target. The present one has not run it.
 */
static void retry_on_other_target(session_t *session)
{
	gateway_place_note_tried(session, session->connection->target);
	session->sent = false;
	gateway_execute_release_connection(session);
	gateway_place_operation(session);
}

/*
 * Records what the answer to a step says of the recorded primary: it refuses
 * writes, or has begun a transaction or run a write.
 */
static void note_primary_role(const session_t *session,
			      connection_t *connection, step_t step)
{
	target_t *target = connection->target;
	bool writes = step == STEP_BEGIN
			      ? !session->read_only
			      : step == STEP_STATEMENT && session->writes;

	if (session->term == 0 ||
	    session->term != session->group->record.term ||
	    target != gateway_group_primary(session->group))
		return;
	if (connection->failed &&
	    connection->error == STATEMENT_ERROR_READ_ONLY)
		gateway_target_read_only(target, gateway_now(session->gateway));
	else if (!connection->failed && writes)
		target->read_only_since_ms = 0;
}

/*
 * Handles an error of a target. A read is retried on another target if a
 * replica says that it did not run it, and nothing of the operation ran before,
 * or if it failed and is not part of a transaction.
 */
static void finish_error(session_t *session, connection_t *connection,
			 step_t step)
{
	statement_error_t error = connection->error;
	bool lone_read =
		session->transaction == TRANSACTION_NONE && !session->writes;
	bool no_run = error == STATEMENT_ERROR_BUSY ||
		      error == STATEMENT_ERROR_LAGGING ||
		      error == STATEMENT_ERROR_READ_ONLY;
	bool first = step != STEP_STATEMENT
			     ? !session->bound_to_connection
			     : session->transaction == TRANSACTION_NONE;

	if (error == STATEMENT_ERROR_NO_STATEMENT) {
		/* The target no longer has the statement that was prepared on
		 * this connection. */
		gateway_connection_close(connection);
		return;
	}
	if (no_run && first && !session->writes && session->term == 0) {
		retry_on_other_target(session);
		return;
	}
	if (error == STATEMENT_ERROR_FAILED && lone_read &&
	    session->route.consistency != CONSISTENCY_PRIMARY) {
		session->is_resend = true;
		retry_on_other_target(session);
		return;
	}
	if (session->statement.kind == STATEMENT_COMMIT) {
		/* The error does not say whether the commit took effect. */
		if (!statement_error_guarantees_no_effect(error) &&
		    session->wrote) {
			fail_outcome_unknown(session, "commit failed");
			return;
		}
	}
	if (error == STATEMENT_ERROR_READ_ONLY)
		error = STATEMENT_ERROR_ABORTED;
	gateway_execute_fail(session, error, "answer of the target");
}

/*
 * Records what a successful step has changed at the target for this connection.
 */
static void apply_step(session_t *session, connection_t *connection)
{
	const string_map_entry_t *value;
	const char *prepared_name;

	switch (connection->step) {
	case STEP_RESET:
		string_map_clear(&connection->values);
		string_map_clear(&connection->prepared);
		break;
	case STEP_SET:
		value = &session->values.items[connection->value_index];
		string_map_set(&connection->values, value->name, value->text);
		break;
	case STEP_PREPARE:
		prepared_name = string_map_get(&session->prepared,
					       session->statement.name);
		string_map_set(&connection->prepared, prepared_name,
			       prepared_name);
		break;
	case STEP_BEGIN:
	case STEP_STATEMENT:
	case STEP_NONE:
		break;
	}
}

/*
 * Returns true if a target has reported the state of the transaction that a
 * successful step leaves: open after BEGIN and within a transaction, none after
 * COMMIT and after a statement without a transaction.
 */
static bool is_state_expected(const session_t *session,
			      const connection_t *connection)
{
	transaction_state_t expected = TRANSACTION_NONE;

	/* Other steps set up the connection, inside or outside of one. */
	if (connection->step != STEP_BEGIN &&
	    connection->step != STEP_STATEMENT)
		return true;
	if (connection->step == STEP_BEGIN ||
	    (session->transaction == TRANSACTION_OPEN &&
	     session->statement.kind != STATEMENT_COMMIT))
		expected = TRANSACTION_OPEN;
	return connection->state == expected;
}

/*
 * Called at the end of a target's answer to a step of a session.
 */
void gateway_execute_step_done(connection_t *connection,
			       const log_position_t *position)
{
	session_t *session = connection->session;
	step_t step = connection->step;

	if (!connection->failed && !is_state_expected(session, connection)) {
		gateway_connection_close_malformed(connection,
						   "state of the transaction");
		return;
	}
	note_primary_role(session, connection, step);
	if (connection->failed) {
		gateway_connection_end_step(connection);
		finish_error(session, connection, step);
		return;
	}
	apply_step(session, connection);
	gateway_connection_end_step(connection);
	if (step != STEP_STATEMENT) {
		gateway_execute_advance(session);
		return;
	}
	finish_statement(session, connection, position);
}

/*
 * Called when the connection to the target has ended while a session used it. A
 * single read, or an operation of which no statement was sent, is retried on
 * another connection; an open transaction has failed.
 */
void gateway_execute_connection_lost(session_t *session)
{
	bool lone_read =
		session->transaction == TRANSACTION_NONE && !session->writes;

	if (session->phase == SESSION_IDLE) {
		/* The transaction was open, with no statement in progress. */
		session->transaction = TRANSACTION_FAILED;
		gateway_execute_stop_timer(session);
		return;
	}
	if (session->phase != SESSION_RUNNING)
		return;
	if (lone_read || (!session->sent && !session->bound_to_connection)) {
		gateway_place_note_tried(session, NULL);
		/* The target may run both attempts, which count twice. */
		if (session->sent)
			session->admitted_until_ms = 0;
		session->sent = false;
		if (session->attempts < ATTEMPTS_MAX) {
			gateway_place_operation(session);
			return;
		}
	}
	fail_outcome_unknown(session, "connection to the target lost");
}

/*
 * Called when a caller's session ends: takes it out of the queue, if it waits
 * there, and gives back its connection.
 */
void gateway_execute_session_closed(session_t *session)
{
	gateway_quota_leave(session);
	gateway_quota_give_back(session);
	gateway_place_leave(session);
	gateway_execute_stop_timer(session);
	gateway_execute_release_connection(session);
}

/*
 * Ends a statement at its time limit, or a transaction that has been idle for
 * too long.
 */
static void on_timer(evutil_socket_t fd, short what, void *context)
{
	session_t *session = context;

	(void)fd;
	(void)what;
	switch (session->phase) {
	case SESSION_ADMITTING:
		gateway_quota_time_out(session);
		break;
	case SESSION_WAITING:
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
				     "no connection in time");
		break;
	case SESSION_RUNNING:
		if (session->connection)
			gateway_connection_note_unanswered(session->connection);
		fail_outcome_unknown(session, "time limit");
		break;
	case SESSION_IDLE:
		if (session->transaction == TRANSACTION_OPEN) {
			session->transaction = TRANSACTION_FAILED;
			gateway_execute_release_connection(session);
		}
		break;
	case SESSION_STARTING:
		break;
	}
}

/*
 * Ends all statements and open transactions on a group's primary. Called before
 * this proxy reports that it has stopped on the term, and when the term has
 * changed.
 */
void gateway_execute_abort_group(group_t *group)
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
			fail_outcome_unknown(session, "term ended");
		else
			on_timer(-1, 0, session);
	}
}
