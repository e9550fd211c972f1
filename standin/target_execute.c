#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

/*
 * Writes an error into result; detail may be NULL.
 */
execute_status_t execute_error(result_t *result, const char *sqlstate,
			       const char *message, const char *detail)
{
	snprintf(result->error.sqlstate, sizeof(result->error.sqlstate), "%s",
		 sqlstate);
	free(result->error.message);
	free(result->error.detail);
	result->error.message = strdup(message);
	result->error.detail = detail ? strdup(detail) : NULL;
	return EXECUTE_ERROR;
}

/*
 * Releases a result.
 */
void result_free(result_t *result)
{
	json_decref(result->rows);
	free(result->error.message);
	free(result->error.detail);
}

/*
 * Discards the changes of the transaction and makes it idle. The log point of
 * the session's last commit stays.
 */
void transaction_reset(transaction_t *transaction)
{
	json_decref(transaction->records);
	json_decref(transaction->outcomes);
	free(transaction->last_result);
	*transaction = (transaction_t){
		.status = 'I',
		.last_commit = transaction->last_commit,
	};
}

/*
 * Opens a transaction block.
 */
static execute_status_t begin(session_t *session, bool read_only,
			      result_t *result)
{
	transaction_t *transaction = &session->transaction;

	if (transaction->status != 'I')
		return execute_error(result, "25001",
				     "a transaction is in progress", NULL);
	transaction->records = json_object();
	transaction->outcomes = json_object();
	transaction->read_only = read_only;
	transaction->status = 'T';
	snprintf(result->tag, sizeof(result->tag), "BEGIN");
	return EXECUTE_DONE;
}

/*
 * Commits the transaction. Checks the guard's term again, as the role may have
 * changed since group_guard(), and appends one log entry if there are changes.
 * If the commit fails, the transaction is rolled back.
 */
static execute_status_t commit(session_t *session, result_t *result)
{
	standin_t *standin = session->standin;
	transaction_t *transaction = &session->transaction;
	uint32_t guard_term = transaction->guard_term;
	bool changed = json_object_size(transaction->records) > 0 ||
		       json_object_size(transaction->outcomes) > 0;

	if (guard_term != 0 &&
	    (!group_writable(standin) || standin->role_term != guard_term)) {
		transaction_reset(transaction);
		return execute_error(result, "HT002",
				     "not the primary of this term", NULL);
	}
	if (changed) {
		json_t *entry;
		char *line;
		bool appended;

		if (!group_writable(standin)) {
			transaction_reset(transaction);
			return execute_error(result, "25006", "not a primary",
					     NULL);
		}
		entry = json_pack("{s:i,s:O,s:O}", "term",
				  (int)standin->role_term, "records",
				  transaction->records, "outcomes",
				  transaction->outcomes);
		line = json_dumps(entry, JSON_COMPACT);
		appended = line && log_append(&standin->log, line, 0);
		free(line);
		json_decref(entry);
		if (!appended) {
			transaction_reset(transaction);
			return execute_error(result, "53200", "out of memory",
					     NULL);
		}
		log_apply(&standin->log, INT64_MAX);
		replication_send(standin);
		sessions_resume_waiting(standin);
		if (standin->faults.drop_answers > 0) {
			standin->faults.drop_answers--;
			session->silent = true;
		}
	}
	transaction->last_commit = log_point(&standin->log);
	transaction_reset(transaction);
	snprintf(result->tag, sizeof(result->tag), "COMMIT");
	return EXECUTE_DONE;
}

/*
 * Returns whether another session has an uncommitted change of the record with
 * this name or, if outcome is true, of the outcome with this key.
 */
static bool conflicts(const session_t *session, const char *name, bool outcome)
{
	const session_t *other;

	TAILQ_FOREACH(other, &session->standin->sessions, link) {
		const transaction_t *transaction = &other->transaction;

		if (other != session &&
		    json_object_get(outcome ? transaction->outcomes
					    : transaction->records,
				    name))
			return true;
	}
	return false;
}

/*
 * Returns the value of a record, with the uncommitted changes of this session,
 * or NULL if the record does not exist.
 */
static const char *record_value(const session_t *session, const char *id)
{
	json_t *value = json_object_get(session->transaction.records, id);

	if (!value)
		value = json_object_get(session->standin->log.records, id);
	return json_string_value(value);
}

/*
 * Sets a record in the open transaction.
 */
static execute_status_t record_set(session_t *session, const char *id,
				   const char *value, result_t *result)
{
	json_t *text = json_string(value);

	if (!text ||
	    json_object_set_new(session->transaction.records, id, text) != 0)
		return execute_error(result, "22021", "not UTF-8", NULL);
	return EXECUTE_DONE;
}

/*
 * Executes a statement that changes a record within an open transaction.
 */
static execute_status_t change_record(session_t *session,
				      const statement_t *statement,
				      result_t *result)
{
	bool insert = statement->kind == KIND_INSERT;
	const char *id = statement->arguments[insert ? 0 : 1];
	const char *value = statement->arguments[insert ? 1 : 0];
	const char *current = record_value(session, id);
	char sum[32];
	char *end = NULL;

	if (!group_writable(session->standin) || session->transaction.read_only)
		return execute_error(result, "25006",
				     "read-only transaction or target", NULL);
	if (conflicts(session, id, false))
		return execute_error(result, "40001",
				     "another transaction changes the record",
				     NULL);
	switch (statement->kind) {
	case KIND_INSERT:
		if (current)
			return execute_error(result, "23505",
					     "the record exists", NULL);
		snprintf(result->tag, sizeof(result->tag), "INSERT 0 1");
		return record_set(session, id, value, result);
	case KIND_UPDATE:
		snprintf(result->tag, sizeof(result->tag), "UPDATE %d",
			 current ? 1 : 0);
		return current ? record_set(session, id, value, result)
			       : EXECUTE_DONE;
	default:
		break;
	}
	snprintf(sum, sizeof(sum), "%lld",
		 strtoll(current ? current : "0", &end, 10) +
			 strtoll(value, NULL, 10));
	if (current && (end == current || *end != '\0'))
		return execute_error(result, "22P02", "not a number", NULL);
	snprintf(result->tag, sizeof(result->tag), "UPDATE 1");
	if (*statement->columns != '\0')
		json_array_append_new(result->rows, json_pack("[s]", sum));
	return record_set(session, id, sum, result);
}

/*
 * Executes a SELECT on the records.
 */
static void select_records(const session_t *session,
			   const statement_t *statement, result_t *result)
{
	const char *id;
	json_t *value;
	json_t *all;

	if (statement->kind == KIND_SELECT_ONE) {
		const char *text =
			record_value(session, statement->arguments[0]);

		if (text)
			json_array_append_new(result->rows,
					      json_pack("[s]", text));
		return;
	}
	all = json_copy(session->standin->log.records);
	json_object_update(all, session->transaction.records);
	json_object_foreach(all, id, value)
		json_array_append_new(result->rows,
				      json_pack("[s,O]", id, value));
	json_decref(all);
}

/*
 * Executes a statement on records, or pg_sleep(), after the time that it takes.
 * Outside a transaction block it is a transaction of its own.
 */
static execute_status_t execute_records(session_t *session,
					const statement_t *statement,
					result_t *result)
{
	transaction_t *transaction = &session->transaction;
	clock_ms_t delay_ms = session->standin->faults.service_ms;
	bool implicit = transaction->status == 'I';
	execute_status_t outcome = EXECUTE_DONE;

	if (statement->kind == KIND_SLEEP)
		delay_ms = (clock_ms_t)(strtod(statement->arguments[0], NULL) *
					1000);
	if (delay_ms > 0 && !session->delay_over) {
		session_block(session, delay_ms);
		return EXECUTE_AGAIN;
	}
	if (implicit)
		begin(session, false, result);
	switch (statement->kind) {
	case KIND_SLEEP:
		json_array_append_new(result->rows, json_pack("[s]", ""));
		break;
	case KIND_SELECT_ONE:
	case KIND_SELECT_ALL:
		select_records(session, statement, result);
		break;
	default:
		outcome = change_record(session, statement, result);
		break;
	}
	if (outcome == EXECUTE_DONE) {
		free(transaction->last_result);
		transaction->last_result =
			json_dumps(result->rows, JSON_COMPACT);
	}
	if (implicit) {
		char tag[sizeof(result->tag)];

		memcpy(tag, result->tag, sizeof(tag));
		if (outcome == EXECUTE_DONE)
			outcome = commit(session, result);
		memcpy(result->tag, tag, sizeof(tag));
		transaction_reset(transaction);
	}
	return outcome;
}

/*
 * Writes the error for a key that is already recorded: HT006 if the key was
 * cancelled, HT005 if it was recorded with another fingerprint, otherwise HT004
 * with the recorded result and log point. With fingerprint NULL, any
 * fingerprint matches.
 */
static execute_status_t recorded_error(json_t *outcome, const char *fingerprint,
				       result_t *result)
{
	const char *make_state =
		json_string_value(json_object_get(outcome, "state"));
	const char *recorded =
		json_string_value(json_object_get(outcome, "fingerprint"));
	char detail[64];

	if (strcmp(make_state, "cancelled") == 0)
		return execute_error(result, "HT006", "the key was cancelled",
				     NULL);
	if (fingerprint && strcmp(recorded, fingerprint) != 0)
		return execute_error(result, "HT005",
				     "the key belongs to another statement",
				     NULL);
	snprintf(detail, sizeof(detail),
		 "%" JSON_INTEGER_FORMAT ":%" JSON_INTEGER_FORMAT,
		 json_integer_value(json_object_get(outcome, "term")),
		 json_integer_value(json_object_get(outcome, "position")));
	return execute_error(
		result, "HT004",
		json_string_value(json_object_get(outcome, "result")), detail);
}

/*
 * Executes outcome_claim() and outcome_cancel(), which record the key in the
 * open transaction.
 */
static execute_status_t outcome_record(session_t *session,
				       const statement_t *statement,
				       result_t *result)
{
	const char *key = statement->arguments[0];
	bool cancel = statement->kind == KIND_OUTCOME_CANCEL;
	json_t *recorded = json_object_get(session->standin->log.outcomes, key);
	const char *make_state =
		json_string_value(json_object_get(recorded, "state"));
	json_t *outcome;

	if (!group_writable(session->standin) || session->transaction.read_only)
		return execute_error(result, "25006",
				     "read-only transaction or target", NULL);
	if (cancel && make_state && strcmp(make_state, "cancelled") == 0)
		return EXECUTE_DONE;
	if (recorded)
		return recorded_error(recorded,
				      cancel ? NULL : statement->arguments[1],
				      result);
	if (conflicts(session, key, true))
		return execute_error(result, "40001",
				     "another transaction holds the key", NULL);
	outcome = json_pack("{s:s,s:s,s:s}", "state",
			    cancel ? "cancelled" : "done", "fingerprint",
			    cancel ? "" : statement->arguments[1], "result",
			    "[]");
	if (!outcome || json_object_set_new(session->transaction.outcomes, key,
					    outcome) != 0)
		return execute_error(result, "22021", "not UTF-8", NULL);
	return EXECUTE_DONE;
}

/*
 * Executes outcome_store(), which records the previous statement's result under
 * a key that this transaction has claimed.
 */
static execute_status_t outcome_store(session_t *session, const char *key,
				      result_t *result)
{
	transaction_t *transaction = &session->transaction;
	json_t *outcome = json_object_get(transaction->outcomes, key);

	if (!outcome)
		return execute_error(result, "55000", "the key is not claimed",
				     NULL);
	json_object_set_new(outcome, "result",
			    json_string(transaction->last_result
						? transaction->last_result
						: "[]"));
	return EXECUTE_DONE;
}

/*
 * Executes outcome_get(), which returns one row, or none if the key is not
 * recorded.
 */
static void outcome_get(const session_t *session, const char *key,
			result_t *result)
{
	json_t *outcome = json_object_get(session->standin->log.outcomes, key);
	json_t *row;

	if (!outcome)
		return;
	row = json_array();
	json_array_append(row, json_object_get(outcome, "state"));
	json_array_append(row, json_object_get(outcome, "result"));
	json_array_append_new(
		row, json_sprintf("%" JSON_INTEGER_FORMAT,
				  json_integer_value(
					  json_object_get(outcome, "term"))));
	json_array_append_new(row,
			      json_sprintf("%" JSON_INTEGER_FORMAT,
					   json_integer_value(json_object_get(
						   outcome, "position"))));
	json_array_append_new(result->rows, row);
}

/*
 * Executes group_wait(): blocks the session until the log point is applied or
 * timeout_ms is over, and then returns the status.
 */
static execute_status_t wait_applied(session_t *session, group_point_t point,
				     clock_ms_t timeout_ms, result_t *result)
{
	if (!group_applied(session->standin, point) && !session->delay_over &&
	    timeout_ms > 0) {
		if (!session->awaits_position)
			session_block(session, timeout_ms);
		session->blocked = true;
		session->awaits_position = true;
		return EXECUTE_AGAIN;
	}
	session->awaits_position = false;
	group_status_row(session->standin, result->rows);
	return EXECUTE_DONE;
}

/*
 * Executes a contract function.
 */
static execute_status_t execute_function(session_t *session,
					 const statement_t *statement,
					 result_t *result)
{
	standin_t *standin = session->standin;
	transaction_t *transaction = &session->transaction;
	char *const *arguments = statement->arguments;
	uint64_t number[STANDIN_ARGUMENTS_MAX] = { 0 };
	group_point_t point;
	size_t i;

	for (i = 0; i < STANDIN_ARGUMENTS_MAX && arguments[i]; i++)
		number[i] = strtoull(arguments[i], NULL, 10);
	point.term = (uint32_t)number[0];
	point.position_bytes = number[1];

	switch (statement->kind) {
	case KIND_GUARD:
	case KIND_OUTCOME_CLAIM:
	case KIND_OUTCOME_STORE:
	case KIND_OUTCOME_CANCEL:
		if (transaction->status != 'T')
			return execute_error(result, "25P01",
					     "no transaction is open", NULL);
		break;
	default:
		break;
	}

	switch (statement->kind) {
	case KIND_STATUS:
		group_status_row(standin, result->rows);
		return EXECUTE_DONE;
	case KIND_WAIT:
		return wait_applied(session, point, (clock_ms_t)number[2],
				    result);
	case KIND_FENCE:
		return group_fence(standin, point.term, number[1], result);
	case KIND_PROMOTE:
		return group_promote(standin, point.term, number[1], result);
	case KIND_FOLLOW:
		return group_follow(standin, point.term, arguments[1], result);
	case KIND_GUARD:
		if (!group_writable(standin) ||
		    standin->role_term != point.term)
			return execute_error(result, "HT002",
					     "not the primary of this term",
					     NULL);
		transaction->guard_term = point.term;
		break;
	case KIND_POSITION_CHECK:
		if (!group_applied(standin, point))
			return execute_error(result, "HT003",
					     "the position is not applied",
					     NULL);
		break;
	case KIND_OUTCOME_GET:
		outcome_get(session, arguments[0], result);
		return EXECUTE_DONE;
	case KIND_POSITION:
		point = transaction->last_commit;
		json_array_append_new(
			result->rows,
			json_pack("[o,o]", json_sprintf("%" PRIu32, point.term),
				  json_sprintf("%" PRIu64,
					       point.position_bytes)));
		return EXECUTE_DONE;
	case KIND_OUTCOME_CLAIM:
	case KIND_OUTCOME_CANCEL:
		if (outcome_record(session, statement, result) != EXECUTE_DONE)
			return EXECUTE_ERROR;
		break;
	case KIND_OUTCOME_STORE:
		if (outcome_store(session, arguments[0], result) !=
		    EXECUTE_DONE)
			return EXECUTE_ERROR;
		break;
	default:
		return execute_error(result, "0A000", "not a function", NULL);
	}
	json_array_append_new(result->rows, json_pack("[s]", ""));
	return EXECUTE_DONE;
}

/*
 * Executes a statement of any kind.
 */
static execute_status_t dispatch(session_t *session,
				 const statement_t *statement, result_t *result)
{
	transaction_t *transaction = &session->transaction;

	switch (statement->kind) {
	case KIND_BEGIN:
	case KIND_BEGIN_READ_ONLY:
		return begin(session, statement->kind == KIND_BEGIN_READ_ONLY,
			     result);
	case KIND_COMMIT:
		if (transaction->status == 'T')
			return commit(session, result);
		/* fall through */
	case KIND_ROLLBACK:
		transaction_reset(transaction);
		snprintf(result->tag, sizeof(result->tag), "ROLLBACK");
		return EXECUTE_DONE;
	case KIND_INSERT:
	case KIND_UPDATE:
	case KIND_ADD:
	case KIND_SELECT_ONE:
	case KIND_SELECT_ALL:
	case KIND_SLEEP:
		return execute_records(session, statement, result);
	default:
		return execute_function(session, statement, result);
	}
}

/*
 * Executes a statement and fills in result, which the caller frees. An error
 * within a transaction block makes the block fail.
 */
execute_status_t execute(session_t *session, const statement_t *statement,
			 result_t *result)
{
	transaction_t *transaction = &session->transaction;
	execute_status_t outcome;

	*result = (result_t){ .rows = json_array() };
	if (transaction->status == 'E' && statement->kind != KIND_COMMIT &&
	    statement->kind != KIND_ROLLBACK)
		return execute_error(result, "25P02",
				     "the transaction is aborted", NULL);
	outcome = dispatch(session, statement, result);
	if (outcome == EXECUTE_AGAIN)
		return outcome;
	session->standin->executed[statement->kind]++;
	if (outcome == EXECUTE_ERROR && transaction->status == 'T')
		transaction->status = 'E';
	if (outcome == EXECUTE_DONE && result->tag[0] == '\0')
		snprintf(result->tag, sizeof(result->tag), "SELECT %zu",
			 json_array_size(result->rows));
	return outcome;
}
