#include "relay.h"

/*
 * Returns how long an operation may wait for a loan. elapsed_ms has passed
 * since the first attempt of the operation, whose latency objective is
 * objective_ms; its statement ends after timeout_ms.
 */
clock_ms_t relay_wait_ms(clock_ms_t objective_ms, clock_ms_t elapsed_ms,
			 clock_ms_t timeout_ms)
{
	clock_ms_t wait_ms = RELAY_WAIT_DEFAULT_MS;

	if (elapsed_ms < objective_ms)
		wait_ms = (clock_ms_t)((double)(objective_ms - elapsed_ms) *
				       RELAY_WAIT_RATIO);
	return wait_ms < timeout_ms ? wait_ms : timeout_ms;
}

/*
 * Returns whether a borrower may wait: the loans ahead of it are likely to end
 * in time. Otherwise it is refused at once, and tries another target while it
 * still can.
 */
bool relay_may_wait(const relay_queue_view_t *view)
{
	double loan_ms =
		view->loan_ms > 0.0 ? view->loan_ms : RELAY_LOAN_INITIAL_MS;

	if (view->connections == 0)
		return false;
	return loan_ms * (double)(view->ahead + 1) /
		       (double)view->connections <=
	       (double)view->wait_ms;
}
