#include "term_history.h"

#include <string.h>

/*
 * Makes room for one more start by merging the oldest two. The merged start has
 * the later term and the lower number, so that no log with rolled-back commits
 * passes for a prefix of the group's log.
 */
static void merge_oldest(term_history_t *term_history)
{
	term_history->starts[1].number = term_history->starts[0].number;
	memmove(&term_history->starts[0], &term_history->starts[1],
		(TERM_HISTORY_MAX - 1) * sizeof(term_history->starts[0]));
	term_history->count--;
}

/*
 * Adds the start of the newest term. A promotion rolls back all commits beyond
 * the start of its term, so starts of earlier terms at or beyond that position
 * are dropped.
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
 * Tells whether a log that ends at position is a prefix of the group's log,
 * which it is unless a later term began before its end. A log that is no prefix
 * has diverged: it holds commits that a promotion has rolled back, and its
 * position can't be compared with positions of the group's log.
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
 * Tells whether position is the start of the newest term, if that is term. The
 * primary of a term answers with this position, which belongs to an earlier
 * term, until the first commit of its own term.
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
