#include "deadline.h"

/* Share of the time left for the first attempt of a write with an idempotency
 * key, so that a second attempt has time to find out whether the first one ran.
 */
#define KEYED_SHARE_PERCENT 60
#define ANSWER_MARGIN_DIVISOR 10

/*
 * Returns how many milliseconds the owner of a target may use for an attempt if
 * left_ms milliseconds are left to the deadline; at least 1.
 */
clock_ms_t proxy_deadline_share(clock_ms_t left_ms, proxy_share_t share)
{
	clock_ms_t margin_ms = left_ms / ANSWER_MARGIN_DIVISOR;
	clock_ms_t time_ms;

	if (margin_ms > PROXY_ANSWER_MARGIN_MS)
		margin_ms = PROXY_ANSWER_MARGIN_MS;
	time_ms = left_ms > margin_ms ? left_ms - margin_ms : 1;
	switch (share) {
	case PROXY_SHARE_WHOLE:
		break;
	case PROXY_SHARE_KEYED:
		return time_ms * KEYED_SHARE_PERCENT / 100 + 1;
	case PROXY_SHARE_REPLICA:
		time_ms /= 2;
		return time_ms < PROXY_REPLICA_WAIT_MAX_MS
			       ? time_ms + 1
			       : PROXY_REPLICA_WAIT_MAX_MS;
	}
	return time_ms;
}
