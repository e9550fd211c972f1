#ifndef HORNBEAMTACK_PROMOTION_TERM_HISTORY_H
#define HORNBEAMTACK_PROMOTION_TERM_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "libstatement/statement.h"

/* Term starts that are kept. A target that missed this many promotions is far
 * behind; older starts are merged, which only keeps it from being chosen. */
#define TERM_HISTORY_MAX 16

/*
 * Where the terms of a group's log began: starts[i].number is the last commit
 * before the first one of starts[i].term. Both rise.
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
