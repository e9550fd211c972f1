#include "clock.h"

#include <time.h>

/*
 * Returns a source that reads the system's boot clock. It uses CLOCK_BOOTTIME
 * because that clock continues while the machine is suspended, so that a
 * paused process sees all the time that has passed.
 */
clock_source_t clock_source_boot(void)
{
	return (clock_source_t){ .kind = CLOCK_KIND_BOOT };
}

/*
 * Returns a source for tests and simulations whose time starts at start_ms and
 * changes only by clock_source_advance().
 */
clock_source_t clock_source_manual(clock_ms_t start_ms)
{
	return (clock_source_t){ .kind = CLOCK_KIND_MANUAL,
				 .manual_ms = start_ms };
}

/*
 * Advances the time of a manual source by step_ms. Has no effect on a boot
 * source.
 */
void clock_source_advance(clock_source_t *source, clock_ms_t step_ms)
{
	source->manual_ms += step_ms;
}

/*
 * Returns the current time of a source in milliseconds.
 */
clock_ms_t clock_source_now(const clock_source_t *source)
{
	struct timespec now;

	switch (source->kind) {
	case CLOCK_KIND_MANUAL:
		return source->manual_ms;
	case CLOCK_KIND_BOOT:
		break;
	}
	clock_gettime(CLOCK_BOOTTIME, &now);
	return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/*
 * Returns the next delay of an exponential backoff: first_ms if delay_ms is 0,
 * which stands for no delay yet, and otherwise twice delay_ms up to max_ms.
 */
clock_ms_t clock_backoff_next(clock_ms_t delay_ms, clock_ms_t first_ms,
			      clock_ms_t max_ms)
{
	if (delay_ms <= 0)
		return first_ms;
	return delay_ms < max_ms / 2 ? 2 * delay_ms : max_ms;
}
