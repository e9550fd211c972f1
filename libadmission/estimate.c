#include "internal.h"

/* Weight of a new sample in the moving average. With 1/16 an outlier of 100
 * service times raises the estimate by a factor of 7, not of 100. */
#define SAMPLE_WEIGHT (1.0 / 16)

/*
 * Under a lasting overload a long queue adds waiting time and statements that
 * expire in it, but no goodput. A queue that was not empty for 30 service times
 * is therefore kept to a wait of 5. With reads at 4 times capacity and 3 slots
 * (test_overload, seeds 1 to 3) this lowers the latency from 339 to 58 ms and
 * the refusals of queued statements from 33 to 4 a second; at capacity it costs
 * 2 % of the goodput. Newest-first order has 14 ms, but 213 such refusals a
 * second, and these callers learn too late that another proxy should be tried.
 */
#define STANDING_QUEUE_SERVICE_TIMES 30
#define STANDING_QUEUE_MAX_WAIT_SERVICE_TIMES 5

/*
 * Returns the estimated service time in ms: the moving average, or the initial
 * value while nothing was measured.
 */
double admission_service_ms(const admission_t *admission)
{
	return admission->measured
		       ? admission->service_ms
		       : (double)admission->options.initial_service_ms;
}

/*
 * Adds the service time of one statement to the moving average. The initial
 * value counts as the first sample.
 */
void admission_service_record(admission_t *admission, clock_ms_t sample_ms)
{
	double average_ms = admission_service_ms(admission);

	if (sample_ms < 0)
		sample_ms = 0;
	admission->service_ms =
		average_ms + ((double)sample_ms - average_ms) * SAMPLE_WEIGHT;
	admission->measured = true;
}

/*
 * Returns the number of slots that statements of a class can take. At least one
 * slot is left to reads whatever the options reserve, so that reads are never
 * locked out by a setting.
 */
uint32_t admission_slots(const admission_t *admission, admission_class_t class)
{
	const admission_options_t *options = &admission->options;

	if (class != ADMISSION_CLASS_READ || options->slots == 0)
		return options->slots;
	if (options->reserved_slots >= options->slots)
		return 1;
	return options->slots - options->reserved_slots;
}

/*
 * Returns the deadline before which a statement that starts at now_ms is not
 * expected to end in time. It takes at least 1 ms, the resolution of the clock.
 */
clock_ms_t admission_earliest_deadline(const admission_t *admission,
				       clock_ms_t now_ms)
{
	clock_ms_t service_ms = (clock_ms_t)admission_service_ms(admission);

	return now_ms + (service_ms < 1 ? 1 : service_ms);
}

/*
 * Returns the number of queued statements that go before a new one: those of
 * its own class by the turns of the flows, and those of higher classes, of
 * which a read has to let at most ADMISSION_READS_PASSED_OVER_MAX pass for
 * itself and for each read before it.
 */
static uint32_t count_ahead(const admission_t *admission,
			    const admission_request_t *request)
{
	uint32_t own = admission_queue_ahead(&admission->queues[request->class],
					     request->flow);
	uint32_t higher = 0;
	int i;

	for (i = (int)request->class + 1; i < ADMISSION_CLASS_COUNT; i++)
		higher += admission->queues[i].count;
	if (request->class == ADMISSION_CLASS_READ &&
	    higher / ADMISSION_READS_PASSED_OVER_MAX > own)
		higher = (own + 1) * ADMISSION_READS_PASSED_OVER_MAX;
	return own + higher;
}

/*
 * Tells whether the queue of a class has not been empty for so long that it is
 * not a burst which it absorbs, but an overload.
 */
static bool is_standing(const admission_t *admission, admission_class_t class,
			clock_ms_t now_ms)
{
	const admission_queue_t *queue = &admission->queues[class];

	return queue->count > 0 &&
	       (double)(now_ms - queue->nonempty_since_ms) >=
		       STANDING_QUEUE_SERVICE_TIMES *
			       admission_service_ms(admission);
}

/*
 * Decides whether a statement may wait for its turn. The estimated wait is that
 * for the statements before it and for the next free slot, at the rate of the
 * slots of its class. The statement must then end by its deadline, and the wait
 * must be short if the queue is standing.
 */
bool admission_may_wait(const admission_t *admission,
			const admission_request_t *request, clock_ms_t now_ms)
{
	uint32_t slots = admission_slots(admission, request->class);
	double service_ms = admission_service_ms(admission);
	double wait_ms;

	if (slots == 0)
		return false;
	wait_ms = service_ms * (count_ahead(admission, request) + 1) / slots;
	if (is_standing(admission, request->class, now_ms) &&
	    wait_ms > STANDING_QUEUE_MAX_WAIT_SERVICE_TIMES * service_ms)
		return false;
	return (double)admission_earliest_deadline(admission, now_ms) +
		       wait_ms <=
	       (double)request->deadline_ms;
}
