#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "connection.h"

/*
 * Converts a result of libpq to an error of this library, TARGET_OK if the
 * result is no error.
 *
 * An error of a severity other than ERROR is TARGET_ERROR_LOST: a FATAL error
 * ends the connection and may follow a commit that took effect.
 */
int result_error(const PGresult *result)
{
	static const struct {
		const char *sqlstate;
		int error;
	} errors[] = {
		{ "HT001", TARGET_ERROR_PROMISED },
		{ "HT002", TARGET_ERROR_NOT_PRIMARY },
		{ "HT003", TARGET_ERROR_POSITION },
		{ "HT004", TARGET_ERROR_KEY_RECORDED },
		{ "HT005", TARGET_ERROR_KEY_MISMATCH },
		{ "HT006", TARGET_ERROR_KEY_CANCELLED },
	};
	const char *sqlstate;
	const char *severity;
	size_t i;

	if (PQresultStatus(result) != PGRES_FATAL_ERROR)
		return TARGET_OK;
	sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	severity = PQresultErrorField(result, PG_DIAG_SEVERITY_NONLOCALIZED);
	if (!sqlstate || !severity || strcmp(severity, "ERROR") != 0)
		return TARGET_ERROR_LOST;
	for (i = 0; i < sizeof(errors) / sizeof(errors[0]); i++) {
		if (strcmp(sqlstate, errors[i].sqlstate) == 0)
			return errors[i].error;
	}
	return TARGET_ERROR_STATEMENT;
}

/*
 * Copies the SQLSTATE and the message of an error result; either is empty if
 * the target sent none.
 */
void result_copy_error(const PGresult *result, target_result_t *to)
{
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	const char *message =
		PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	snprintf(to->sqlstate, sizeof(to->sqlstate), "%s",
		 sqlstate ? sqlstate : "");
	snprintf(to->message, sizeof(to->message), "%s",
		 message ? message : "");
}

/*
 * Converts the rows of a result to a JSON array of arrays of text or null.
 * Returns TARGET_OK, TARGET_ERROR_MEMORY, TARGET_ERROR_PROTOCOL if a value is
 * not UTF-8, or CONNECTION_ERROR_TOO_LARGE if the values exceed
 * TARGET_RESULT_BYTES_MAX. The caller releases *rows in each case.
 */
int result_rows(const PGresult *result, json_t **rows)
{
	size_t bytes = 0;
	int i;
	int j;

	*rows = json_array();
	for (i = 0; i < PQntuples(result); i++) {
		json_t *row = json_array();

		if (json_array_append_new(*rows, row) != 0)
			return TARGET_ERROR_MEMORY;
		for (j = 0; j < PQnfields(result); j++) {
			size_t length = (size_t)PQgetlength(result, i, j);
			json_t *value;

			bytes += length;
			if (bytes > TARGET_RESULT_BYTES_MAX)
				return CONNECTION_ERROR_TOO_LARGE;
			value = PQgetisnull(result, i, j)
					? json_null()
					: json_stringn(PQgetvalue(result, i, j),
						       length);
			if (json_array_append_new(row, value) != 0)
				return TARGET_ERROR_PROTOCOL;
		}
	}
	return TARGET_OK;
}

/*
 * Returns the text of a column of a result with one row. Returns NULL if the
 * value is null, if there is no such column, or if there is not exactly one
 * row.
 */
static const char *column(const PGresult *result, const char *name)
{
	int number = PQfnumber(result, name);

	if (PQntuples(result) != 1 || number < 0 ||
	    PQgetisnull(result, 0, number))
		return NULL;
	return PQgetvalue(result, 0, number);
}

/*
 * Parses a decimal number at the start of *text and advances *text past it.
 * Returns false if *text is NULL or does not start with a digit, or if the
 * number is above max.
 */
static bool read_number(const char **text, uint64_t max, uint64_t *number)
{
	char *end;

	if (!*text || **text < '0' || **text > '9')
		return false;
	errno = 0;
	*number = strtoull(*text, &end, 10);
	*text = end;
	return errno == 0 && *number <= max;
}

/*
 * Parses a column that holds a decimal number. Returns false if the column is
 * missing or is not a number from 0 to max.
 */
static bool read_column(const PGresult *result, const char *name, uint64_t max,
			uint64_t *number)
{
	const char *text = column(result, name);

	return read_number(&text, max, number) && *text == '\0';
}

/*
 * Decodes the status row that group_status() and the other control functions
 * return. Returns TARGET_OK or TARGET_ERROR_PROTOCOL.
 */
int result_status(const PGresult *result, group_status_t *status)
{
	const char *role = column(result, "role");
	const char *primary = column(result, "primary");
	const char *history = column(result, "history");
	const char *leaving = column(result, "leaving");
	uint64_t log_term;
	uint64_t promised_term;

	memset(status, 0, sizeof(*status));
	if (!role || !history || !leaving ||
	    !read_column(result, "log_term", UINT32_MAX, &log_term) ||
	    !read_column(result, "promised_term", UINT32_MAX, &promised_term) ||
	    !read_column(result, "position", UINT64_MAX,
			 &status->position_bytes) ||
	    !read_column(result, "applied", UINT64_MAX,
			 &status->applied_bytes) ||
	    group_history_parse(history, status) != GROUP_OK)
		return TARGET_ERROR_PROTOCOL;
	if (strcmp(role, "primary") == 0)
		status->role = GROUP_ROLE_PRIMARY;
	else if (strcmp(role, "replica") == 0)
		status->role = GROUP_ROLE_REPLICA;
	else
		return TARGET_ERROR_PROTOCOL;
	status->log_term = (uint32_t)log_term;
	status->promised_term = (uint32_t)promised_term;
	status->leaving = strcmp(leaving, "t") == 0;
	snprintf(status->primary, sizeof(status->primary), "%s",
		 primary ? primary : "");
	return TARGET_OK;
}

/*
 * Decodes a log point from the columns term and position. Returns TARGET_OK or
 * TARGET_ERROR_PROTOCOL.
 */
int result_point(const PGresult *result, group_point_t *point)
{
	uint64_t term;

	if (!read_column(result, "term", UINT32_MAX, &term) ||
	    !read_column(result, "position", UINT64_MAX,
			 &point->position_bytes))
		return TARGET_ERROR_PROTOCOL;
	point->term = (uint32_t)term;
	return TARGET_OK;
}

/*
 * Decodes the log point of a recorded key, which is "term:position" in the
 * detail of an HT004 error. Returns whether it is well-formed.
 */
bool result_recorded_point(const PGresult *result, group_point_t *point)
{
	const char *text = PQresultErrorField(result, PG_DIAG_MESSAGE_DETAIL);
	uint64_t term;

	if (!read_number(&text, UINT32_MAX, &term) || *text++ != ':' ||
	    !read_number(&text, UINT64_MAX, &point->position_bytes) ||
	    *text != '\0')
		return false;
	point->term = (uint32_t)term;
	return true;
}
