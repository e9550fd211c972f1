#include "budget.h"

#define MB (1024 * 1024)
/* A part of the machine's memory is for the process itself, its buffers in the
 * kernel and the gaps that freed memory leaves. */
#define SECOND_MARK_DIVISOR 2
#define FIRST_MARK_DIVISOR 4
#define ACCOUNT_DIVISOR 8
/* A message of 1 MiB with its copies must fit into one account. */
#define ACCOUNT_MIN_BYTES (4 * MB)
/* Bytes that a connection may always hold, if there are few enough. */
#define SHARE_MAX_BYTES 65536
/* Time for the favoured connection to complete its message, which takes 1 MiB
 * less than a second at 10 Mbit/s. Then a connection is closed. */
#define PRESSED_MAX_MS 2000
/* Part of the descriptors that callers leave to the store, the targets, the
 * proxies and the operators, in thousandths, and its least size. */
#define RESERVE_PERMILLE 70
#define RESERVE_MIN 64

/*
 * Starts an account of the memory of a machine with memory_mb.
 */
void budget_init(budget_t *budget, uint32_t memory_mb)
{
	size_t memory = (size_t)memory_mb * MB;

	*budget = (budget_t){
		.first_mark_bytes = memory / FIRST_MARK_DIVISOR,
		.second_mark_bytes = memory / SECOND_MARK_DIVISOR,
		.account_max_bytes = memory / ACCOUNT_DIVISOR,
	};
	if (budget->account_max_bytes < ACCOUNT_MIN_BYTES)
		budget->account_max_bytes = ACCOUNT_MIN_BYTES;
	TAILQ_INIT(&budget->list);
}

/*
 * Adds the account of a connection, which holds nothing yet. An account without
 * an owner is never chosen to be closed.
 */
void budget_account_open(budget_t *budget, budget_account_t *account,
			 void *owner)
{
	*account = (budget_account_t){ .owner = owner };
	TAILQ_INSERT_TAIL(&budget->list, account, entry);
	budget->accounts++;
}

/*
 * Removes the account of a connection with all that it holds.
 */
void budget_account_close(budget_t *budget, budget_account_t *account)
{
	TAILQ_REMOVE(&budget->list, account, entry);
	budget->accounts--;
	budget->bytes -= account->kept_bytes + account->pending_bytes;
	if (budget->favoured == account)
		budget->favoured = NULL;
	if (budget->bytes <= budget->first_mark_bytes)
		budget->pressed_since_ms = 0;
}

static size_t held_bytes(const budget_account_t *account)
{
	return account->kept_bytes + account->pending_bytes;
}

/*
 * Returns how many bytes each connection may hold while memory is short.
 */
static size_t share_of(const budget_t *budget)
{
	size_t share = budget->accounts
			       ? budget->first_mark_bytes / budget->accounts
			       : SHARE_MAX_BYTES;

	return share < SHARE_MAX_BYTES ? share : SHARE_MAX_BYTES;
}

/*
 * Returns whether a connection over its share is the one that is read while
 * memory is short.
 */
static bool is_favoured(budget_t *budget, budget_account_t *account)
{
	if (!budget->favoured && account->owner)
		budget->favoured = account;
	return budget->favoured == account;
}

/*
 * Records that a connection holds no more than its share, or that memory is not
 * short. The next one then has its time to complete a message.
 */
static void end_favour(budget_t *budget, const budget_account_t *account,
		       clock_ms_t now_ms)
{
	if (budget->favoured != account)
		return;
	budget->favoured = NULL;
	if (budget->pressed_since_ms != 0)
		budget->pressed_since_ms = now_ms;
}

/*
 * Records what a connection holds now and returns what to do with it. Large
 * messages are no reason to close a connection as long as memory suffices: only
 * one that holds more than account_max_bytes is closed here.
 */
budget_verdict_t budget_account_set(budget_t *budget, budget_account_t *account,
				    size_t kept_bytes, size_t pending_bytes,
				    clock_ms_t now_ms)
{
	if (account->pending_bytes == 0 ||
	    pending_bytes < account->pending_bytes)
		account->since_ms = now_ms;
	budget->bytes -= held_bytes(account);
	account->kept_bytes = kept_bytes;
	account->pending_bytes = pending_bytes;
	budget->bytes += held_bytes(account);
	if (budget->bytes <= budget->first_mark_bytes)
		budget->pressed_since_ms = 0;
	else if (budget->pressed_since_ms == 0)
		budget->pressed_since_ms = now_ms;
	if (held_bytes(account) > budget->account_max_bytes)
		return BUDGET_CLOSE;
	if (budget->pressed_since_ms != 0 &&
	    held_bytes(account) > share_of(budget))
		return is_favoured(budget, account) ? BUDGET_READ
						    : BUDGET_PAUSE;
	end_favour(budget, account, now_ms);
	return BUDGET_READ;
}

/*
 * Returns true if a message has not completed, or answers were not read, in
 * BUDGET_MESSAGE_MS, and not at the least rate since then.
 */
bool budget_account_is_overdue(const budget_account_t *account,
			       clock_ms_t now_ms)
{
	clock_ms_t allowed_ms =
		BUDGET_MESSAGE_MS + (clock_ms_t)(account->pending_bytes * 1000 /
						 BUDGET_RATE_MIN_BYTES_PER_S);

	return account->pending_bytes > 0 &&
	       now_ms > account->since_ms + allowed_ms;
}

/*
 * Returns how many bytes may be read from paused connections.
 */
size_t budget_room(const budget_t *budget)
{
	return budget->bytes < budget->first_mark_bytes
		       ? budget->first_mark_bytes - budget->bytes
		       : 0;
}

/*
 * Returns the account of the connection to close, or NULL if none has to be:
 * above the second mark, or when no message has completed for PRESSED_MAX_MS
 * while reading was paused. It is the one that
 * holds most for longest; none that holds no more than its share.
 */
budget_account_t *budget_pick_victim(budget_t *budget, clock_ms_t now_ms)
{
	budget_account_t *account;
	budget_account_t *victim = NULL;
	double most = 0.0;

	if (budget->pressed_since_ms == 0 ||
	    (budget->bytes <= budget->second_mark_bytes &&
	     now_ms < budget->pressed_since_ms + PRESSED_MAX_MS))
		return NULL;
	TAILQ_FOREACH(account, &budget->list, entry) {
		double weight = (double)held_bytes(account) *
				(double)(now_ms - account->since_ms + 1);

		if (!account->owner ||
		    held_bytes(account) <= share_of(budget) || weight <= most)
			continue;
		most = weight;
		victim = account;
	}
	return victim;
}

/*
 * Returns how many descriptors callers leave to others.
 */
static uint32_t reserve_of(uint32_t descriptors)
{
	uint32_t reserve =
		(uint32_t)((uint64_t)descriptors * RESERVE_PERMILLE / 1000);
	uint32_t least =
		descriptors / 4 < RESERVE_MIN ? descriptors / 4 : RESERVE_MIN;

	return reserve > least ? reserve : least;
}

/*
 * Returns how many callers may be connected to a process with this many
 * descriptors. others counts its connections to targets and those of HTTP
 * clients; callers make room for them when they exceed half of the reserve.
 */
uint32_t budget_callers_max(uint32_t descriptors, uint32_t others)
{
	uint32_t reserve = reserve_of(descriptors);

	if (others > reserve / 2)
		reserve += others - reserve / 2;
	return reserve < descriptors ? descriptors - reserve : 0;
}

/*
 * Returns how many clients each of the two HTTP servers of such a process may
 * have: a quarter of the descriptors, or less if fewer are free. others counts
 * the callers and the connections to targets.
 */
uint32_t budget_http_max(uint32_t descriptors, uint32_t others)
{
	uint32_t reserve = reserve_of(descriptors);
	uint32_t least = reserve / 4;
	uint32_t most = descriptors / 4;
	uint32_t left = descriptors > others + reserve / 2
				? (descriptors - others - reserve / 2) / 2
				: 0;

	if (left < least)
		return least;
	return left < most ? left : most;
}
