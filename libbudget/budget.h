#ifndef HORNBEAMTACK_BUDGET_H
#define HORNBEAMTACK_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "libclock/clock.h"

/* A statement is held up to three times: the line, its copy that is split into
 * words, and the output to the target. */
#define BUDGET_MESSAGE_COPIES 3
/* Time for a message to complete, or for an answer to be read, before its rate
 * counts. */
#define BUDGET_MESSAGE_MS 30000
/* Least rate of a message that takes longer. */
#define BUDGET_RATE_MIN_BYTES_PER_S 4096
/* Statements sent ahead on one connection: bytes that are read while an earlier
 * statement runs. */
#define BUDGET_AHEAD_MAX_BYTES 16384
/* Bytes of unread answers above which a connection's next statement does not
 * begin. */
#define BUDGET_UNREAD_MAX_BYTES 65536

/* What to do with a connection. */
typedef enum {
	BUDGET_READ,
	/* Do not read from it until budget_account_set() says so. */
	BUDGET_PAUSE,
	BUDGET_CLOSE,
} budget_verdict_t;

/* The bytes that one connection holds. */
typedef struct budget_account {
	TAILQ_ENTRY(budget_account) entry;
	/* Bytes that stay as long as the connection, or until a target has
	 * answered. */
	size_t kept_bytes;
	/* Bytes that wait for the other end of the connection: an unfinished
	 * message or answers that were not read. */
	size_t pending_bytes;
	/* Since when it has had pending bytes, or when they last became fewer.
	 */
	clock_ms_t since_ms;
	/* Whose account it is, for the user of the library. */
	void *owner;
} budget_account_t;

/* The memory of a process for what comes from outside. */
typedef struct {
	/* Above the first mark, connections that hold more than their share are
	 * not read; above the second one, connections are closed. */
	size_t first_mark_bytes;
	size_t second_mark_bytes;
	/* Most bytes of one connection. */
	size_t account_max_bytes;
	size_t bytes;
	/* Since when bytes have been above the first mark; 0: they are not. */
	clock_ms_t pressed_since_ms;
	/* The one connection over its share that is read while memory is short,
	 * so that its message completes; NULL: none. */
	budget_account_t *favoured;
	uint32_t accounts;
	TAILQ_HEAD(budget_accounts, budget_account) list;
} budget_t;

void budget_init(budget_t *budget, uint32_t memory_mb);
void budget_account_open(budget_t *budget, budget_account_t *account,
			 void *owner);
void budget_account_close(budget_t *budget, budget_account_t *account);
budget_verdict_t budget_account_set(budget_t *budget, budget_account_t *account,
				    size_t kept_bytes, size_t pending_bytes,
				    clock_ms_t now_ms);
bool budget_account_is_overdue(const budget_account_t *account,
			       clock_ms_t now_ms);
size_t budget_room(const budget_t *budget);
budget_account_t *budget_pick_victim(budget_t *budget, clock_ms_t now_ms);
uint32_t budget_callers_max(uint32_t descriptors, uint32_t others);
uint32_t budget_http_max(uint32_t descriptors, uint32_t others);

#endif
