#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* A further attempt can't run the statement twice. */
static bool is_repeatable(const proxy_execution_t *execution)
{
	return proxy_execution_is_read(execution) || *execution->key != '\0' ||
	       execution->operation == PEER_OPERATION_OUTCOME;
}

/*
 * Ends the execution as unknown: it may have run.
 */
void proxy_execute_finish_unknown(proxy_execution_t *execution,
				  const char *reason)
{
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_UNKNOWN,
		.reason = reason,
		.again = is_repeatable(execution),
	};

	proxy_execute_finish(execution, &reply);
}

/*
 * Ends the execution whose point a majority of the targets has reported.
 */
void proxy_execute_finish_confirmed(proxy_execution_t *execution)
{
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_DONE,
		.rows_json = execution->rows_json,
		.point = execution->point,
		.acknowledged = true,
		.age_ms = ROUTE_AGE_ANY,
	};

	if (execution->cancelled) {
		proxy_execute_refuse(execution, "cancelled", false, false);
		return;
	}
	proxy_execute_finish(execution, &reply);
}

/*
 * A commit is evidence about the primary: the guard held at the commit, which
 * was after the statement was sent.
 */
static void record_commit(proxy_execution_t *execution)
{
	proxy_group_t *group = execution->group;
	group_index_t index = execution->target->index;
	const group_status_t *known =
		group->evidence ? route_evidence_status(group->evidence, index)
				: NULL;
	group_status_t status;

	if (!known || known->log_term != execution->point.term ||
	    known->role != GROUP_ROLE_PRIMARY ||
	    known->position_bytes >= execution->point.position_bytes)
		return;
	status = *known;
	status.position_bytes = execution->point.position_bytes;
	status.applied_bytes = execution->point.position_bytes;
	route_evidence_record(group->evidence, index, execution->sent_ms,
			      &status);
}

/*
 * Waits until a majority of the targets has the point, and then answers.
 */
static void confirm(proxy_execution_t *execution, group_point_t point,
		    const char *rows_json)
{
	proxy_group_t *group = execution->group;

	if (execution->answered) {
		proxy_execution_free(execution);
		return;
	}

	execution->point = point;
	free(execution->rows_json);
	execution->rows_json = strdup(rows_json ? rows_json : "[]");
	execution->state = PROXY_EXECUTION_CONFIRMING;
	record_commit(execution);
	if (group->evidence &&
	    route_evidence_confirmed(group->evidence, point)) {
		proxy_execute_finish_confirmed(execution);
		return;
	}
	proxy_execution_start_hop(execution, TRACE_HOP_REPLICA_WAIT);
	proxy_execution_wait(execution);
	proxy_observe_send_waits(group);
}

static void finish_read(proxy_execution_t *execution,
			const target_result_t *result)
{
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_DONE,
		.rows_json = result->rows_json,
		.age_ms = execution->age_ms,
	};

	/* The age was proved when the read was admitted, and it may have waited
	 * for a slot since then. The reply keeps the age of that moment: the
	 * entry proxy adds the whole time since it sent the read. */
	if (reply.age_ms != ROUTE_AGE_ANY &&
	    execution->max_age_ms != ROUTE_AGE_ANY &&
	    reply.age_ms + proxy_now(execution->proxy) - execution->decided_ms >
		    execution->max_age_ms) {
		proxy_execute_refuse(execution, "too-old", true, true);
		return;
	}
	proxy_execute_finish(execution, &reply);
}

static void run_cancel(proxy_execution_t *execution)
{
	execution->cancelling = true;
	execution->state = PROXY_EXECUTION_ROUTING;
	proxy_execute_decide(execution);
}

static void settle_outcome(proxy_execution_t *execution,
			   const target_result_t *result)
{
	if (execution->cancelling) {
		execution->cancelled = true;
		confirm(execution, result->point, NULL);
	} else if (result->absent) {
		run_cancel(execution);
	} else {
		execution->cancelled = result->cancelled;
		confirm(execution, result->point, result->rows_json);
	}
}

static void settle_done(proxy_execution_t *execution,
			const target_result_t *result)
{
	peer_statement_reply_t reply = { .outcome = RETRY_OUTCOME_DONE,
					 .age_ms = ROUTE_AGE_ANY };

	switch (execution->operation) {
	case PEER_OPERATION_READ:
		finish_read(execution, result);
		break;
	case PEER_OPERATION_WRITE:
	case PEER_OPERATION_COMMIT:
		confirm(execution, result->point, result->rows_json);
		break;
	case PEER_OPERATION_OUTCOME:
		settle_outcome(execution, result);
		break;
	case PEER_OPERATION_RUN:
		reply.rows_json = result->rows_json;
		proxy_execute_finish(execution, &reply);
		break;
	case PEER_OPERATION_BEGIN:
	case PEER_OPERATION_ROLLBACK:
		proxy_execute_finish(execution, &reply);
		break;
	}
}

/*
 * Tells whether a write met a target that stopped being primary between the
 * guard and the statement (read_only_sql_transaction). The transaction was
 * rolled back, and nothing is wrong with the statement.
 */
static bool lost_role(const proxy_execution_t *execution,
		      const target_result_t *result)
{
	return strcmp(result->sqlstate, "25006") == 0 &&
	       (execution->operation == PEER_OPERATION_WRITE ||
		execution->operation == PEER_OPERATION_OUTCOME);
}

static void settle_statement_error(proxy_execution_t *execution,
				   const target_result_t *result)
{
	/* Serialization failures and deadlocks were rolled back, and another
	 * attempt may succeed. Inside a transaction only the caller can repeat
	 * what came before. */
	bool again = (strcmp(result->sqlstate, "40001") == 0 ||
		      strcmp(result->sqlstate, "40P01") == 0) &&
		     execution->operation != PEER_OPERATION_RUN &&
		     execution->operation != PEER_OPERATION_COMMIT;
	char message[320];
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_NOT_RUN,
		.reason = again ? "serialization" : "statement",
		.message = message,
		.again = again,
		.overload = again,
	};

	if (lost_role(execution, result)) {
		proxy_execute_refuse(execution, "not-primary", true, false);
		return;
	}
	snprintf(message, sizeof(message), "%s: %s", result->sqlstate,
		 result->message);
	proxy_execute_finish(execution, &reply);
}

/*
 * Ends the execution, or takes it to its next state, by the result of the call
 * to the target.
 */
void proxy_execute_settle(proxy_execution_t *execution,
			  const target_result_t *result)
{
	switch (result->error) {
	case TARGET_OK:
		settle_done(execution, result);
		return;
	case TARGET_ERROR_KEY_RECORDED:
		confirm(execution, result->point, result->rows_json);
		return;
	case TARGET_ERROR_MEMORY:
	case TARGET_ERROR_CONNECT:
	case TARGET_ERROR_NO_CONNECTION:
	case TARGET_ERROR_CONNECTION_LIMIT:
		proxy_execute_refuse(execution, "no-connection", true,
				     result->error != TARGET_ERROR_CONNECT);
		return;
	case TARGET_ERROR_PROMISED:
	case TARGET_ERROR_NOT_PRIMARY:
		proxy_execute_refuse(execution, "not-primary", true, false);
		return;
	case TARGET_ERROR_POSITION:
		proxy_execute_refuse(execution, "position-not-reached", true,
				     false);
		return;
	case TARGET_ERROR_KEY_MISMATCH:
		proxy_execute_refuse(execution, "key-mismatch", false, false);
		return;
	case TARGET_ERROR_KEY_CANCELLED:
		proxy_execute_refuse(execution, "cancelled", false, false);
		return;
	case TARGET_ERROR_STATEMENT:
		settle_statement_error(execution, result);
		return;
	default:
		break;
	}
	if (proxy_execution_is_read(execution))
		proxy_execute_refuse(execution, "no-answer", true, false);
	else
		proxy_execute_finish_unknown(execution, "no-answer");
}
