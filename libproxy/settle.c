#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * Returns whether a further attempt can't apply the statement a second time.
 */
static bool is_repeatable(const proxy_execution_t *execution)
{
	return proxy_execution_is_read(execution) || *execution->key != '\0' ||
	       execution->operation == PEER_OPERATION_OUTCOME;
}

/*
 * Ends the execution with the outcome "unknown" and the reason: the statement
 * may have run. The reply allows another attempt if that is safe.
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
 * Ends an execution whose point is confirmed by a majority of the targets: as
 * done, or as refused if the confirmed point records that its key is cancelled.
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
 * Records the point of a committed write as a status of its target that was
 * requested at sent_ms: the guard showed at the commit, which came after
 * sent_ms, that the target was the primary.
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
 * Answers with rows_json once a majority of the targets has the point. Frees an
 * execution that was answered already.
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

	/* The age was proved at decided_ms, and the read may have waited for a
	 * slot after that. The reply still holds the age at decided_ms, because
	 * the entry proxy adds the whole time since it sent the read. */
	if (reply.age_ms != ROUTE_AGE_ANY &&
	    execution->max_age_ms != ROUTE_AGE_ANY &&
	    reply.age_ms + proxy_now(execution->proxy) - execution->decided_ms >
		    execution->max_age_ms) {
		proxy_execute_refuse(execution, "too-old", true, true);
		return;
	}
	proxy_execute_finish(execution, &reply);
}

/*
 * Routes the outcome query again, to record its key as cancelled.
 */
static void run_cancel(proxy_execution_t *execution)
{
	execution->cancelling = true;
	execution->state = PROXY_EXECUTION_ROUTING;
	proxy_execute_decide(execution);
}

/*
 * Handles the answer to an outcome query. A key that is not recorded is first
 * recorded as cancelled, so that its write can't run later. The outcome is
 * reported only after a majority of the targets has it.
 */
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
 * Returns whether the target stopped being primary between the guard call and
 * the statement of a write, which then failed with read_only_sql_transaction.
 * The transaction was rolled back, and nothing is wrong with the statement.
 */
static bool was_demoted(const proxy_execution_t *execution,
			const target_result_t *result)
{
	return strcmp(result->sqlstate, "25006") == 0 &&
	       (execution->operation == PEER_OPERATION_WRITE ||
		execution->operation == PEER_OPERATION_OUTCOME);
}

/*
 * Refuses an execution whose statement failed at the target, with the SQLSTATE
 * and the target's message.
 */
static void settle_statement_error(proxy_execution_t *execution,
				   const target_result_t *result)
{
	/* Serialization failures and deadlocks were rolled back, and another
	 * attempt may succeed. Inside a transaction only the caller can repeat
	 * the earlier statements. */
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

	if (was_demoted(execution, result)) {
		proxy_execute_refuse(execution, "not-primary", true, false);
		return;
	}
	snprintf(message, sizeof(message), "%s: %s", result->sqlstate,
		 result->message);
	proxy_execute_finish(execution, &reply);
}

/*
 * Handles the result of the call to the target: ends the execution, waits for
 * the confirmation of a committed write, or cancels the key of an outcome
 * query.
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
