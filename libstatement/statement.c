#include "statement.h"

/*
 * Compares two positions by term, then by number. Returns a value below, equal
 * to or above 0 if a is before, equal to or after b.
 */
int log_position_compare(log_position_t a, log_position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

/*
 * Returns the later of two positions.
 */
log_position_t log_position_max(log_position_t a, log_position_t b)
{
	return log_position_compare(a, b) < 0 ? b : a;
}

/*
 * Returns the name of an error in logs and metrics, or "invalid" for a value
 * out of range.
 */
const char *statement_error_name(statement_error_t error)
{
	static const char *const names[STATEMENT_ERROR_COUNT] = {
		"busy",	  "aborted",	      "lagging",   "read-only",
		"moved",  "connection-limit", "unknown",   "timeout",
		"failed", "no-database",      "malformed", "no-statement",
		"denied",
	};

	return error < STATEMENT_ERROR_COUNT ? names[error] : "invalid";
}

/*
 * Returns whether an error guarantees that the operation has had no effect:
 * nothing that it wrote was kept.
 */
bool statement_error_guarantees_no_effect(statement_error_t error)
{
	return error <= STATEMENT_ERROR_CONNECTION_LIMIT;
}
