#ifndef HORNBEAMTACK_PROMOTION_TERM_HISTORY_H
#define HORNBEAMTACK_PROMOTION_TERM_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "libstatement/statement.h"

/* Number of term starts that are kept. Older ones are merged, which can only
 * keep a target from being chosen as primary that missed this many promotions,
 * and so is far behind. */
#define TERM_HISTORY_MAX 16

/*
 * The positions in a group's log at which its terms began. starts[i].number is
 * the number of the last commit before the first commit of starts[i].term.
 * Terms and numbers rise from one start to the next.
 */
typedef struct {
	log_position_t starts[TERM_HISTORY_MAX];
	uint32_t count;
} term_history_t;

void term_history_add(term_history_t *term_history, log_position_t start);
bool term_history_includes(const term_history_t *term_history,
			   log_position_t position);
bool term_history_is_start(const term_history_t *term_history, uint64_t term,
			   log_position_t position);

#endif
