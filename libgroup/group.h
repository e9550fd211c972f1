#ifndef HORNBEAMTACK_GROUP_H
#define HORNBEAMTACK_GROUP_H

#include <stdbool.h>
#include <stdint.h>

#define GROUP_TARGETS_MAX 9
/* Closed terms that a status holds; the latest ones if there are more. */
#define GROUP_HISTORY_MAX 16
#define GROUP_NAME_SIZE 64

/* Index of a target in the configuration of its group; -1 stands for none. */
typedef int32_t group_index_t;
#define GROUP_INDEX_NONE (-1)

typedef enum {
	GROUP_ROLE_REPLICA,
	GROUP_ROLE_PRIMARY,
} group_role_t;

/* A point in the log of a group, ordered by term and then by position. */
typedef struct {
	uint32_t term;
	uint64_t position_bytes;
} group_point_t;

/* The answer of a target to the SQL functions group_status() and group_wait().
 */
typedef struct {
	group_role_t role;
	/* Term of the end of the target's log. */
	uint32_t log_term;
	/* The target accepts no fence, promote or follow call of a lower term.
	 */
	uint32_t promised_term;
	/* End of the target's log, and the position up to which it is applied.
	 */
	uint64_t position_bytes;
	uint64_t applied_bytes;
	bool leaving;
	/* Name of the primary that the target follows, its own name if it is
	 * the primary; empty if there is none. */
	char primary[GROUP_NAME_SIZE];
	/* Position at which each closed term ended, in rising order of term. */
	uint32_t history_count;
	group_point_t history[GROUP_HISTORY_MAX];
} group_status_t;

enum {
	GROUP_OK = 0,
	GROUP_ERROR_MALFORMED = -1,
	GROUP_ERROR_FULL = -2,
};

uint32_t group_majority(uint32_t target_count);
int group_point_compare(group_point_t a, group_point_t b);
int group_history_parse(const char *text, group_status_t *status);
uint64_t group_required_position(const group_status_t *status,
				 group_point_t point);
const char *group_error_text(int error);

#endif
