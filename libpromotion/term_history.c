#include "term_history.h"

#include <string.h>

/*
 * Makes room for one more start. The oldest two become one that holds for the
 * terms of both with the lower number.
 */
static void merge_oldest(term_history_t *term_history)
{
	term_history->starts[1].number = term_history->starts[0].number;
	memmove(&term_history->starts[0], &term_history->starts[1],
		(TERM_HISTORY_MAX - 1) * sizeof(term_history->starts[0]));
	term_history->count--;
}

/*
 * Adds the start of the newest term. A term that began before the end of
 * earlier ones rolled back what they had beyond its start, so that their own
 * starts there mean nothing any more.
 */
void term_history_add(term_history_t *term_history, log_position_t start)
{
	while (term_history->count > 0 &&
	       term_history->starts[term_history->count - 1].number >=
		       start.number)
		term_history->count--;
	if (term_history->count == TERM_HISTORY_MAX)
		merge_oldest(term_history);
	term_history->starts[term_history->count++] = start;
}

/*
 * Tells whether a log that ends at position is a beginning of the group's log:
 * no later term began before its end. Otherwise it holds commits that a
 * promotion has rolled back, and comparing positions says nothing about it.
 */
bool term_history_includes(const term_history_t *term_history,
			   log_position_t position)
{
	uint32_t i;

	for (i = 0; i < term_history->count; i++) {
		if (term_history->starts[i].term > position.term)
			return position.number <=
			       term_history->starts[i].number;
	}
	return true;
}

/*
 * Tells whether position is where a term began. The primary of a term states
 * such a position, of an earlier term, until the first commit of its own.
 */
bool term_history_is_start(const term_history_t *term_history, uint64_t term,
			   log_position_t position)
{
	const log_position_t *last;

	if (term_history->count == 0)
		return false;
	last = &term_history->starts[term_history->count - 1];
	return last->term == term && position.term < term &&
	       position.number == last->number;
}
