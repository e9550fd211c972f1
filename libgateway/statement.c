#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "internal.h"

/*
 * Records the first statement of an operation, by which a repeated attempt is
 * recognised.
 */
static void begin_operation(session_t *session)
{
	const char *text = session->statement.text;

	queue_operation_begin(&session->operation,
			      XXH3_64bits(text, strlen(text)),
			      session->arrived_ms);
}

/*
 * Answers BEGIN at once. The transaction starts at a target with its first
 * statement, so that a pause of the caller before it holds no connection.
 */
static void begin(session_t *session)
{
	if (session->transaction != TRANSACTION_NONE) {
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "transaction is open");
		return;
	}
	begin_operation(session);
	session->transaction = TRANSACTION_OPEN;
	session->read_only =
		session->statement.kind == STATEMENT_BEGIN_READ_ONLY;
	session->wrote = false;
	session->bound_to_connection = false;
	session->group = NULL;
	gateway_session_succeed(session, NULL, NULL);
}

static void roll_back(session_t *session)
{
	gateway_execute_stop_timer(session);
	session->transaction = TRANSACTION_NONE;
	gateway_execute_release_connection(session);
	session->group = NULL;
	gateway_session_succeed(session, NULL, NULL);
}

static void set_value(session_t *session)
{
	const statement_t *statement = &session->statement;

	if (string_map_set(&session->values, statement->name,
			   statement->value) != 0)
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "too many session values");
	else
		gateway_session_succeed(session, NULL, NULL);
}

/*
 * Keeps a prepared statement by its template, as "r_TEMPLATE" or "w_TEMPLATE".
 * This is also its name at the targets, so that names of different callers
 * never collide.
 */
static void prepare(session_t *session)
{
	const statement_t *statement = &session->statement;
	char text[128];

	if (snprintf(text, sizeof(text), "%c_%s",
		     statement->prepares_write ? 'w' : 'r',
		     statement->statement_template) >= (int)sizeof(text) ||
	    strchr(text, ' ') ||
	    string_map_set(&session->prepared, statement->name, text) != 0)
		gateway_session_fail(session, STATEMENT_ERROR_MALFORMED,
				     "statement cannot be prepared");
	else
		gateway_session_succeed(session, NULL, NULL);
}

static void deallocate(session_t *session)
{
	if (string_map_remove(&session->prepared, session->statement.name))
		gateway_session_succeed(session, NULL, NULL);
	else
		gateway_session_fail(session, STATEMENT_ERROR_NO_STATEMENT,
				     "no such prepared statement");
}

/*
 * Finds the route and the group of a new operation. Returns false if the
 * statement was answered with an error. A lack of memory is reported as
 * STATEMENT_ERROR_BUSY, which tells the caller that the operation has had no
 * effect.
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
 * Runs a statement at a target: on the connection of its transaction, or on one
 * that placement finds. An operation is either a transaction or one statement
 * outside a transaction. The statements of a transaction after the first one
 * that was forwarded use the route and the group that the first one found.
 */
static void forward(session_t *session)
{
	const statement_t *statement = &session->statement;
	const char *prepared_name;

	session->writes = statement->kind == STATEMENT_WRITE;
	if (statement->kind == STATEMENT_EXECUTE) {
		prepared_name =
			string_map_get(&session->prepared, statement->name);
		if (!prepared_name) {
			gateway_session_fail(session,
					     STATEMENT_ERROR_NO_STATEMENT,
					     "no such prepared statement");
			return;
		}
		/* The name is "r_TEMPLATE" or "w_TEMPLATE"; see prepare(). */
		session->writes = prepared_name[0] == 'w';
	}
	if (session->transaction == TRANSACTION_NONE)
		begin_operation(session);
	session->attempts = 0;
	session->is_resend = false;
	session->expected_wait_ms = 0;
	session->admitted_until_ms = 0;
	session->sent = false;
	if (!session->group && !find_route(session))
		return;
	session->phase = SESSION_RUNNING;
	if (!session->connection) {
		gateway_place_operation(session);
		return;
	}
	gateway_execute_set_timer(session, session->route.timeout_ms);
	gateway_execute_advance(session);
}

/*
 * Answers a statement of a failed transaction, of which only the end is
 * accepted.
 */
static void execute_in_failed_transaction(session_t *session)
{
	switch (session->statement.kind) {
	case STATEMENT_ROLLBACK:
		roll_back(session);
		break;
	case STATEMENT_COMMIT:
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
 * Runs the statement that the session has just read. Its answer may follow
 * later.
 */
void gateway_statement_execute(session_t *session)
{
	session->arrived_ms = gateway_now(session->gateway);
	gateway_execute_stop_timer(session);
	if (session->transaction == TRANSACTION_FAILED) {
		execute_in_failed_transaction(session);
		return;
	}
	/* Whatever the key, the end of a transaction without effect is done. */
	if (session->statement.kind != STATEMENT_ROLLBACK &&
	    !gateway_tenant_admit(session))
		return;
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
