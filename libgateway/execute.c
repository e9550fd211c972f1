#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "platform/wire.h"

/* Subtracted from a route's staleness bound when a sample is chosen: time that
 * the statement takes to the target, where the bound is judged. */
#define STALENESS_MARGIN_MS 60
/* A replica that was behind is asked again after this time. */
#define LAGGING_PAUSE_MS 40
/* Statements of a group that wait for a connection. Above it a statement would
 * wait longer than any objective: 200 of 10 ms on three slots. */
#define WAITING_MAX 200
/* Longest queue wait in units of the route's objective; a caller that is
 * refused then has time for another attempt. */
#define WAIT_OBJECTIVES 1
/* Queue wait of a route without an objective. */
#define WAIT_DEFAULT_MS 500

static void place(session_t *session);
static void advance(session_t *session);

static void on_timer(evutil_socket_t fd, short what, void *context);

static void set_timer(session_t *session, clock_ms_t delay_ms)
{
	struct timeval delay = gateway_timeval(delay_ms);

	if (!session->timer)
		session->timer =
			evtimer_new(session->gateway->base, on_timer, session);
	if (session->timer)
		evtimer_add(session->timer, &delay);
}

static void stop_timer(session_t *session)
{
	if (session->timer)
		evtimer_del(session->timer);
}

static void leave_queue(session_t *session)
{
	if (session->phase != SESSION_WAITING)
		return;
	TAILQ_REMOVE(&session->group->waiting, session, queue_entry);
	session->group->waiting_count--;
	session->phase = SESSION_RUNNING;
}

/*
 * Gives back the connection of a session; a transaction on it rolls back.
 */
static void drop_connection(session_t *session)
{
	connection_t *connection = session->connection;

	session->connection = NULL;
	if (connection)
		gateway_connection_release(connection);
}

/*
 * Ends the current statement with an error, and the transaction with it.
 */
static void fail(session_t *session, statement_error_t error,
		 const char *reason)
{
	leave_queue(session);
	stop_timer(session);
	drop_connection(session);
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

	fail(session,
	     may_be_kept ? STATEMENT_ERROR_UNKNOWN_OUTCOME
			 : STATEMENT_ERROR_ABORTED,
	     reason);
}

static bool was_tried(const session_t *session, const target_t *target)
{
	uint32_t i;

	for (i = 0; i < session->attempts && i < ATTEMPTS_MAX; i++) {
		if (session->tried[i] == target)
			return true;
	}
	return false;
}

static void note_tried(session_t *session, const target_t *target)
{
	if (session->attempts < ATTEMPTS_MAX)
		session->tried[session->attempts] = target;
	session->attempts++;
}

/*
 * Works out where the current operation may run.
 */
static placement_need_t need_of(session_t *session, clock_ms_t now_ms)
{
	const group_t *group = session->group;
	const route_t *route = &session->route;
	placement_need_t need = { .now_ms = now_ms };
	clock_ms_t not_before_ms =
		session->arrived_ms - route->staleness_ms + STALENESS_MARGIN_MS;
	sample_t sample;

	need.primary_allowed = gateway_group_may_lead(group, now_ms) &&
			       group->record.fence == 0;
	need.primary_only = session->writes ||
			    route->consistency == CONSISTENCY_PRIMARY ||
			    (session->transaction == TRANSACTION_OPEN &&
			     !session->read_only);
	if (!need.primary_only &&
	    sample_ring_find(&group->samples, not_before_ms, &sample)) {
		need.replica_allowed = true;
		need.required = sample.position;
		if (route->consistency == CONSISTENCY_SESSION)
			need.required = log_position_max(need.required,
							 session->written);
	}
	return need;
}

static size_t list_targets(session_t *session, placement_target_t *rows,
			   target_t **targets, clock_ms_t now_ms)
{
	gateway_t *gateway = session->gateway;
	const target_t *primary = gateway_group_primary(session->group);
	target_t *target;
	target_t *next;
	size_t count = 0;

	HASH_ITER(hh, gateway->targets, target, next) {
		placement_target_t *row = &rows[count];

		if (target->group != session->group ||
		    count == GROUP_TARGETS_LIMIT)
			continue;
		targets[count++] = target;
		*row = (placement_target_t){
			.is_primary = target == primary,
			.usable = gateway_target_is_usable(target) &&
				  !was_tried(session, target) &&
				  now_ms >= target->avoid_until_ms,
			.same_domain = strcmp(target->entry.domain,
					      gateway->settings->domain) == 0,
			.slots = target->entry.slots,
			.in_flight = target->in_flight,
			.latency_ms = target->latency_ms,
			.applied = target->applied,
			.applied_ms = target->applied_ms,
			.lag_ms = target->lag_ms,
		};
	}
	return count;
}

static void enqueue(session_t *session)
{
	group_t *group = session->group;
	session_t *other;

	session->phase = SESSION_WAITING;
	group->waiting_count++;
	/* Transactions in progress hold their connection, so that only first
	 * statements wait here; the more urgent route goes first. */
	TAILQ_FOREACH(other, &group->waiting, queue_entry) {
		if (other->route.priority > session->route.priority) {
			TAILQ_INSERT_BEFORE(other, session, queue_entry);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&group->waiting, session, queue_entry);
}

static void run_on(session_t *session, target_t *target,
		   connection_t *connection, const placement_need_t *need)
{
	leave_queue(session);
	counter_family_observe(session->gateway->counters.wait, NULL,
			       (double)(need->now_ms - session->arrived_ms));
	session->phase = SESSION_RUNNING;
	session->connection = connection;
	connection->session = session;
	session->required = (log_position_t){ 0, 0 };
	session->term = 0;
	if (target == gateway_group_primary(session->group))
		session->term = session->group->record.term;
	else
		session->required = need->required;
	set_timer(session, session->arrived_ms + session->route.timeout_ms -
				   need->now_ms);
	advance(session);
}

static const char *refusal_reason(const session_t *session,
				  const placement_need_t *need)
{
	if (!need->primary_allowed && session->group->record.fence != 0)
		return "change of primary";
	if (!need->primary_allowed)
		return "no grant";
	if (session->attempts > 0)
		return "no further target";
	return "no target";
}

static clock_ms_t wait_limit_ms(const session_t *session)
{
	clock_ms_t limit_ms = session->route.objective_ms * WAIT_OBJECTIVES;

	if (limit_ms == 0)
		limit_ms = WAIT_DEFAULT_MS;
	return limit_ms < session->route.timeout_ms ? limit_ms
						    : session->route.timeout_ms;
}

/*
 * Opens a connection to a target if this proxy may hold another one and none is
 * on its way for the statements that wait.
 */
static void open_if_useful(target_t *target, const group_t *group)
{
	if (target->open < gateway_connection_limit(target) &&
	    target->opening <= group->waiting_count)
		gateway_connection_open(target, NULL);
}

/*
 * Runs an operation on the best target that has an idle connection. Returns
 * false if none has.
 */
static bool run_on_idle(session_t *session, const placement_need_t *need,
			placement_target_t *rows, target_t **targets,
			size_t count)
{
	connection_t *connection;
	int chosen;
	size_t i;

	for (i = 0; i < count; i++)
		rows[i].usable = rows[i].usable && targets[i]->idle > 0;
	chosen = placement_choose(need, rows, count);
	if (chosen == PLACEMENT_NONE)
		return false;
	connection = gateway_connection_idle_find(targets[chosen], session);
	if (!connection)
		return false;
	run_on(session, targets[chosen], connection, need);
	return true;
}

/*
 * Finds a target and a connection for an operation, lets it wait for one, or
 * refuses it. Where the best target has no idle connection, another one runs
 * the operation at once, and a connection to the best one is opened for those
 * that follow.
 */
static void place(session_t *session)
{
	clock_ms_t now_ms = gateway_now(session->gateway);
	placement_need_t need = need_of(session, now_ms);
	placement_target_t rows[GROUP_TARGETS_LIMIT];
	target_t *targets[GROUP_TARGETS_LIMIT];
	size_t count = list_targets(session, rows, targets, now_ms);
	int chosen = placement_choose(&need, rows, count);

	if (chosen == PLACEMENT_NONE || session->attempts >= ATTEMPTS_MAX) {
		fail(session, STATEMENT_ERROR_BUSY,
		     refusal_reason(session, &need));
		return;
	}
	if (targets[chosen]->idle == 0)
		open_if_useful(targets[chosen], session->group);
	if (run_on_idle(session, &need, rows, targets, count) ||
	    session->phase == SESSION_WAITING)
		return;
	if (session->group->waiting_count >= WAITING_MAX) {
		fail(session, STATEMENT_ERROR_BUSY, "queue full");
		return;
	}
	enqueue(session);
	set_timer(session,
		  session->arrived_ms + wait_limit_ms(session) - now_ms);
}

/*
 * Gives connections that became free to the statements that wait. Runs from the
 * loop, not from the end of another statement, so that the queue does not
 * change while one of its members is placed.
 */
void gateway_execute_dispatch(group_t *group)
{
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&group->waiting); session; session = next) {
		next = TAILQ_NEXT(session, queue_entry);
		place(session);
	}
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
	const char *shape;
	char name[160];
	size_t i;

	if (!gateway_values_within(&connection->values, &session->values)) {
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
	shape = gateway_values_get(&session->prepared, statement->name);
	snprintf(name, sizeof(name), "%s", shape);
	if (!gateway_values_get(&connection->prepared, name)) {
		wire_prepare_encode(output, name, shape[0] == 'w', shape + 2);
		return STEP_PREPARE;
	}
	wire_execute_encode(output, statement->id, after, name,
			    statement->value);
	return STEP_STATEMENT;
}

static void advance(session_t *session)
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
	       (!position || position->term == session->term);
}

static void finish_operation(session_t *session)
{
	connection_t *connection = session->connection;

	stop_timer(session);
	if (session->transaction == TRANSACTION_OPEN) {
		set_timer(session,
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
	if (position && (commits ? session->wrote
				 : session->writes && session->transaction ==
							      TRANSACTION_NONE))
		session->written =
			log_position_max(session->written, *position);
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
static void try_elsewhere(session_t *session, statement_error_t error)
{
	connection_t *connection = session->connection;
	target_t *target = connection->target;
	clock_ms_t now_ms = gateway_now(session->gateway);

	if (error == STATEMENT_ERROR_LAGGING && session->term == 0) {
		target->avoid_until_ms = now_ms + LAGGING_PAUSE_MS;
		target->lag_ms = target->lag_ms < 20 ? 20 : target->lag_ms;
	}
	note_tried(session, target);
	session->sent = false;
	drop_connection(session);
	place(session);
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
		try_elsewhere(session, error);
		return;
	}
	if (session->statement.kind == STATEMENT_COMMIT) {
		/* An error that does not say whether the commit ran. */
		if (!statement_error_is_promise(error) && session->wrote) {
			fail_unknown(session, "commit failed");
			return;
		}
	}
	if (error == STATEMENT_ERROR_READ_ONLY)
		error = STATEMENT_ERROR_ABORTED;
	fail(session, error, "answer of the target");
}

static void note_step(session_t *session, connection_t *connection)
{
	const value_t *value;
	const char *shape;

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
		shape = gateway_values_get(&session->prepared,
					   session->statement.name);
		gateway_values_set(&connection->prepared, shape, shape);
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
		advance(session);
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
		stop_timer(session);
		return;
	}
	if (session->phase != SESSION_RUNNING)
		return;
	if (lone_read || (!session->sent && !session->bound)) {
		session->attempts++;
		session->sent = false;
		if (session->attempts < ATTEMPTS_MAX) {
			place(session);
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
	leave_queue(session);
	stop_timer(session);
	drop_connection(session);
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
		fail(session, STATEMENT_ERROR_BUSY, "no connection in time");
		break;
	case SESSION_RUNNING:
		fail_unknown(session, "time limit");
		break;
	case SESSION_IDLE:
		if (session->transaction == TRANSACTION_OPEN) {
			session->transaction = TRANSACTION_FAILED;
			drop_connection(session);
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

/*
 * Answers BEGIN at once; the transaction starts at a target with its first
 * statement, so that a caller's pause holds no connection.
 */
static void begin(session_t *session)
{
	if (session->transaction != TRANSACTION_NONE) {
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "transaction is open");
		return;
	}
	session->transaction = TRANSACTION_OPEN;
	session->read_only =
		session->statement.kind == STATEMENT_BEGIN_READ_ONLY;
	session->wrote = false;
	session->bound = false;
	session->group = NULL;
	gateway_session_succeed(session, NULL, NULL, NULL);
}

static void roll_back(session_t *session)
{
	stop_timer(session);
	session->transaction = TRANSACTION_NONE;
	drop_connection(session);
	session->group = NULL;
	gateway_session_succeed(session, NULL, NULL, NULL);
}

static void set_value(session_t *session)
{
	const statement_t *statement = &session->statement;

	if (gateway_values_set(&session->values, statement->name,
			       statement->value) != 0)
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "too many session values");
	else
		gateway_session_succeed(session, NULL, NULL, NULL);
}

/*
 * Keeps a prepared statement by its shape, "r_SHAPE" or "w_SHAPE", which is
 * also its name at targets: names of different callers then never collide.
 */
static void prepare(session_t *session)
{
	const statement_t *statement = &session->statement;
	char text[128];

	if (snprintf(text, sizeof(text), "%c_%s",
		     statement->prepares_write ? 'w' : 'r',
		     statement->shape) >= (int)sizeof(text) ||
	    strchr(text, ' ') ||
	    gateway_values_set(&session->prepared, statement->name, text) != 0)
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "statement cannot be prepared");
	else
		gateway_session_succeed(session, NULL, NULL, NULL);
}

static void deallocate(session_t *session)
{
	if (gateway_values_remove(&session->prepared, session->statement.name))
		gateway_session_succeed(session, NULL, NULL, NULL);
	else
		gateway_session_fail(session, STATEMENT_ERROR_NO_STATEMENT,
				     "no such prepared statement");
}

/*
 * Finds the route and group of a new operation. Returns false if it was
 * answered with an error.
 */
static bool find_route(session_t *session)
{
	gateway_t *gateway = session->gateway;
	const route_t *route = gateway_configuration_route(
		&gateway->configuration, session->database);

	if (!route) {
		gateway_session_fail(session, STATEMENT_ERROR_NO_DATABASE,
				     "no route");
		return false;
	}
	session->route = *route;
	session->group = gateway_group_get(gateway, route->service);
	if (session->group)
		return true;
	gateway_session_fail(session, STATEMENT_ERROR_BUSY, "no memory");
	return false;
}

/*
 * Runs a statement at a target: on the connection of its transaction, or where
 * placement finds one.
 */
static void forward(session_t *session)
{
	const statement_t *statement = &session->statement;
	const char *shape;

	session->writes = statement->kind == STATEMENT_WRITE;
	if (statement->kind == STATEMENT_EXECUTE) {
		shape = gateway_values_get(&session->prepared, statement->name);
		if (!shape) {
			gateway_session_fail(session,
					     STATEMENT_ERROR_NO_STATEMENT,
					     "no such prepared statement");
			return;
		}
		session->writes = shape[0] == 'w';
	}
	session->attempts = 0;
	session->sent = false;
	if (!session->group && !find_route(session))
		return;
	session->phase = SESSION_RUNNING;
	if (!session->connection) {
		place(session);
		return;
	}
	set_timer(session, session->route.timeout_ms);
	advance(session);
}

/*
 * Answers a statement of a failed transaction: only its end is accepted.
 */
static void execute_failed(session_t *session)
{
	switch (session->statement.kind) {
	case STATEMENT_ROLLBACK:
		roll_back(session);
		break;
	case STATEMENT_COMMIT:
		session->transaction = TRANSACTION_NONE;
		session->group = NULL;
		gateway_session_fail(session, STATEMENT_ERROR_ABORTED,
				     "transaction has failed");
		break;
	default:
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "transaction has failed");
		break;
	}
}

/*
 * Runs the statement that the session has just read.
 */
void gateway_execute_statement(session_t *session)
{
	session->arrived_ms = gateway_now(session->gateway);
	stop_timer(session);
	if (session->transaction == TRANSACTION_FAILED) {
		execute_failed(session);
		return;
	}
	switch (session->statement.kind) {
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ_ONLY:
		begin(session);
		break;
	case STATEMENT_ROLLBACK:
		roll_back(session);
		break;
	case STATEMENT_SET:
		set_value(session);
		break;
	case STATEMENT_PREPARE:
		prepare(session);
		break;
	case STATEMENT_DEALLOCATE:
		deallocate(session);
		break;
	case STATEMENT_COMMIT:
		if (session->transaction == TRANSACTION_NONE) {
			gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
					     "no transaction");
			break;
		}
		forward(session);
		break;
	case STATEMENT_READ:
	case STATEMENT_WRITE:
	case STATEMENT_EXECUTE:
		forward(session);
		break;
	}
}
