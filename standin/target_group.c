#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

/*
 * Returns whether this target may commit, which is so if it is the primary and
 * has promised no term above its own.
 */
bool group_writable(const standin_t *standin)
{
	return standin->role == GROUP_ROLE_PRIMARY &&
	       standin->promised_term == standin->role_term;
}

/*
 * Records the promise of a term and ends the replication of lower terms, as
 * primary and as replica.
 */
static void promise_term(standin_t *standin, uint32_t term,
			 uint64_t coordinator)
{
	if (term > standin->promised_term) {
		standin->promised_term = term;
		standin->promised_to = coordinator;
		replication_close(standin);
		replica_restart(standin);
	}
}

/*
 * Writes error HT001 into result, with the promised term.
 */
static execute_status_t refuse_term(const standin_t *standin, result_t *result)
{
	char message[80];

	snprintf(message, sizeof(message), "term %" PRIu32 " is promised",
		 standin->promised_term);
	return execute_error(result, "HT001", message, NULL);
}

/*
 * Promises the term to the coordinator. Fails with HT001 if a higher term was
 * promised, or the same term to another coordinator.
 */
execute_status_t group_fence(standin_t *standin, uint32_t term,
			     uint64_t coordinator, result_t *result)
{
	if (term < standin->promised_term ||
	    (term == standin->promised_term &&
	     coordinator != standin->promised_to))
		return refuse_term(standin, result);
	promise_term(standin, term, coordinator);
	group_status_row(standin, result->rows);
	return EXECUTE_DONE;
}

/*
 * Makes this target the primary of the term. Fails with HT001 as group_fence(),
 * or if this target is a replica in the term. The entry that starts the term is
 * appended at once, so that the log's term equals the new term.
 */
execute_status_t group_promote(standin_t *standin, uint32_t term,
			       uint64_t coordinator, result_t *result)
{
	char line[64];

	if (term < standin->promised_term ||
	    (term == standin->promised_term &&
	     coordinator != standin->promised_to) ||
	    (term == standin->role_term && standin->role != GROUP_ROLE_PRIMARY))
		return refuse_term(standin, result);
	promise_term(standin, term, coordinator);
	if (standin->role_term != term) {
		replica_stop(standin);
		standin->role = GROUP_ROLE_PRIMARY;
		standin->role_term = term;
		snprintf(standin->primary, sizeof(standin->primary), "%s",
			 standin->name);
		snprintf(line, sizeof(line), "{\"term\":%" PRIu32 "}", term);
		if (!log_append(&standin->log, line, 0))
			return execute_error(result, "53200", "out of memory",
					     NULL);
		log_apply(&standin->log, INT64_MAX);
		sessions_resume_waiting(standin);
	}
	group_status_row(standin, result->rows);
	return EXECUTE_DONE;
}

static bool is_member(const standin_t *standin, const char *name)
{
	uint32_t i;

	for (i = 0; i < standin->member_count; i++) {
		if (strcmp(standin->members[i].name, name) == 0)
			return true;
	}
	return false;
}

/*
 * Replicates from the named primary of the term. Once the primary has sent its
 * term history, the part of the log after the common prefix is dropped. Fails
 * with HT001 if a higher term was promised, or if this target is the primary of
 * the term.
 */
execute_status_t group_follow(standin_t *standin, uint32_t term,
			      const char *primary, result_t *result)
{
	if (term < standin->promised_term ||
	    (term == standin->role_term && standin->role == GROUP_ROLE_PRIMARY))
		return refuse_term(standin, result);
	if (strcmp(primary, standin->name) == 0 || !is_member(standin, primary))
		return execute_error(result, "22023",
				     "not another target of the group", NULL);
	if (term != standin->role_term ||
	    strcmp(primary, standin->primary) != 0) {
		replica_stop(standin);
		promise_term(standin, term, 0);
		standin->role = GROUP_ROLE_REPLICA;
		standin->role_term = term;
		snprintf(standin->primary, sizeof(standin->primary), "%s",
			 primary);
		if (!replica_start(standin))
			return execute_error(result, "53200", "out of memory",
					     NULL);
	}
	group_status_row(standin, result->rows);
	return EXECUTE_DONE;
}

/*
 * Appends a number to a row, as a string of decimal digits.
 */
static void append_number(json_t *row, uint64_t number)
{
	json_array_append_new(row, json_sprintf("%" PRIu64, number));
}

/*
 * Appends the row of group_status() to rows.
 */
void group_status_row(const standin_t *standin, json_t *rows)
{
	group_point_t point = log_point(&standin->log);
	char *history = log_history(&standin->log);
	json_t *row = json_array();

	json_array_append_new(row, json_string(standin->name));
	json_array_append_new(row,
			      json_string(standin->role == GROUP_ROLE_PRIMARY
						  ? "primary"
						  : "replica"));
	append_number(row, point.term);
	append_number(row, standin->promised_term);
	append_number(row, point.position_bytes);
	append_number(row, log_applied(&standin->log));
	json_array_append_new(row, json_string(standin->primary));
	json_array_append_new(row, json_string(history ? history : ""));
	json_array_append_new(row, json_string(standin->leaving ? "t" : "f"));
	json_array_append_new(rows, row);
	free(history);
}

/*
 * Returns whether this target has applied all commits up to the log point that
 * are still in the log of the group.
 */
bool group_applied(const standin_t *standin, group_point_t point)
{
	group_status_t status = {
		.log_term = log_point(&standin->log).term,
	};
	char *history = log_history(&standin->log);
	bool parsed =
		history && group_history_parse(history, &status) == GROUP_OK;

	free(history);
	return parsed && log_applied(&standin->log) >=
				 group_required_position(&status, point);
}
