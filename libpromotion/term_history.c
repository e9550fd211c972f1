#include "term_history.h"

#include <string.h>

/*
 * Makes room for one more start. The oldest two become one that holds for the
 * terms of both with the lower number.
 */
static void merge_oldest(term_history_t *lineage)
{
	lineage->starts[1].number = lineage->starts[0].number;
	memmove(&lineage->starts[0], &lineage->starts[1],
		(TERM_HISTORY_MAX - 1) * sizeof(lineage->starts[0]));
	lineage->count--;
}

/*
 * Adds the start of the newest term. A term that began before the end of
 * earlier ones rolled back what they had beyond its start, so that their own
 * starts there mean nothing any more.
 */
void term_history_add(term_history_t *lineage, log_position_t start)
{
	while (lineage->count > 0 &&
	       lineage->starts[lineage->count - 1].number >= start.number)
		lineage->count--;
	if (lineage->count == TERM_HISTORY_MAX)
		merge_oldest(lineage);
	lineage->starts[lineage->count++] = start;
}

/*
 * Tells whether a log that ends at position is a beginning of the group's log:
 * no later term began before its end. Otherwise it holds commits that a
 * promotion has rolled back, and comparing positions says nothing about it.
 */
bool term_history_includes(const term_history_t *lineage,
			   log_position_t position)
{
	uint32_t i;

	for (i = 0; i < lineage->count; i++) {
		if (lineage->starts[i].term > position.term)
			return position.number <= lineage->starts[i].number;
	}
	return true;
}

/*
 * Tells whether position is where a term began. The primary of a term states
 * such a position, of an earlier term, until the first commit of its own.
 */
bool term_history_is_start(const term_history_t *lineage, uint64_t term,
			   log_position_t position)
{
	const log_position_t *last;

	if (lineage->count == 0)
		return false;
	last = &lineage->starts[lineage->count - 1];
	return last->term == term && position.term < term &&
	       position.number == last->number;
}
