#include "group.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * Returns the lowest number of targets that is more than half of target_count.
 */
uint32_t group_majority(uint32_t target_count)
{
	return target_count / 2 + 1;
}

/*
 * Compares two log points by term, then by position. Returns a value below,
 * equal to or above zero, as memcmp() does.
 */
int group_point_compare(group_point_t a, group_point_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.position_bytes != b.position_bytes)
		return a.position_bytes < b.position_bytes ? -1 : 1;
	return 0;
}

/*
 * Reads an unsigned decimal number up to max at *text and moves *text past it.
 * Returns GROUP_OK or GROUP_ERROR_MALFORMED.
 */
static int read_number(const char **text, uint64_t max, uint64_t *number)
{
	char *end;

	if (**text < '0' || **text > '9')
		return GROUP_ERROR_MALFORMED;
	errno = 0;
	*number = strtoull(*text, &end, 10);
	if (errno != 0 || *number > max)
		return GROUP_ERROR_MALFORMED;
	*text = end;
	return GROUP_OK;
}

/*
 * Parses the history column of group_status(), such as "1:10,3:40", into
 * status. Each entry is a term and the position in bytes at which it ended;
 * terms must rise. Of more than GROUP_HISTORY_MAX entries the last ones are
 * kept.
 *
 * Returns GROUP_OK or GROUP_ERROR_MALFORMED; status->history is then empty.
 */
int group_history_parse(const char *text, group_status_t *status)
{
	uint32_t previous_term = 0;
	uint64_t term;
	uint64_t end;

	status->history_count = 0;
	while (*text != '\0') {
		if (read_number(&text, UINT32_MAX, &term) != GROUP_OK ||
		    *text++ != ':' ||
		    read_number(&text, UINT64_MAX, &end) != GROUP_OK ||
		    term <= previous_term || (*text != ',' && *text != '\0')) {
			status->history_count = 0;
			return GROUP_ERROR_MALFORMED;
		}
		if (*text == ',')
			text++;
		if (status->history_count == GROUP_HISTORY_MAX) {
			memmove(&status->history[0], &status->history[1],
				(GROUP_HISTORY_MAX - 1) *
					sizeof(status->history[0]));
			status->history_count--;
		}
		status->history[status->history_count++] = (group_point_t){
			.term = (uint32_t)term,
			.position_bytes = end,
		};
		previous_term = (uint32_t)term;
	}
	return GROUP_OK;
}

/*
 * Returns the position in bytes up to which a target with this status must have
 * applied its log, so that every write acknowledged up to point is visible
 * there; UINT64_MAX if the target has not reached the term of point.
 *
 * A point of a closed term is limited by the end of that term in the history of
 * the target, because no write past that end was acknowledged. If the history
 * does not hold the term, the end of the next term that it holds is the limit,
 * which is not below the end of the missing one.
 */
uint64_t group_required_position(const group_status_t *status,
				 group_point_t point)
{
	uint32_t i;

	if (point.term > status->log_term)
		return UINT64_MAX;
	for (i = 0; i < status->history_count; i++) {
		if (status->history[i].term < point.term)
			continue;
		if (status->history[i].position_bytes < point.position_bytes)
			return status->history[i].position_bytes;
		break;
	}
	return point.position_bytes;
}

/*
 * Returns a short English text for an error of this library.
 */
const char *group_error_text(int error)
{
	switch (error) {
	case GROUP_OK:
		return "no error";
	case GROUP_ERROR_MALFORMED:
		return "malformed history";
	case GROUP_ERROR_FULL:
		return "too many targets";
	default:
		return "unknown error";
	}
}
