#include "placement.h"

static void update_failures(placement_news_t *news, double failed,
			    clock_ms_t now_ms)
{
	news->failure_ratio +=
		PLACEMENT_FAILURE_WEIGHT * (failed - news->failure_ratio);
	news->updated_ms = now_ms;
}

/*
 * Records that a target has run a statement in latency_ms.
 */
void placement_news_succeeded(placement_news_t *news, double latency_ms,
			      clock_ms_t now_ms)
{
	if (news->latency_ms > 0.0)
		news->latency_ms += PLACEMENT_LATENCY_WEIGHT *
				    (latency_ms - news->latency_ms);
	else
		news->latency_ms = latency_ms;
	update_failures(news, 0.0, now_ms);
}

/*
 * Records that a target has failed or refused a statement, or has not answered
 * it. The time that this took does not count: a target that fails at once is
 * not a fast one.
 */
void placement_news_failed(placement_news_t *news, clock_ms_t now_ms)
{
	update_failures(news, 1.0, now_ms);
}
