#include "clock.h"

#include <time.h>

/*
 * Returns a source that reads the system's boot clock. CLOCK_BOOTTIME is used
 * because it goes on counting while the machine is suspended, so that a paused
 * process sees the full time that passed.
 */
clock_source_t clock_source_boot(void)
{
	return (clock_source_t){ .kind = CLOCK_KIND_BOOT };
}

/*
 * Returns a source that stands at start_ms and moves only by
 * clock_source_advance().
 */
clock_source_t clock_source_manual(clock_ms_t start_ms)
{
	return (clock_source_t){ .kind = CLOCK_KIND_MANUAL,
				 .manual_ms = start_ms };
}

/*
 * Moves a manual source forward by step_ms. Has no effect on a boot source.
 */
void clock_source_advance(clock_source_t *source, clock_ms_t step_ms)
{
	source->manual_ms += step_ms;
}

/*
 * Returns the current time of the source in milliseconds.
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
 * Returns the pause that follows delay_ms where each one is twice the last,
 * from first_ms (after none, 0) up to max_ms.
 */
clock_ms_t clock_backoff_next(clock_ms_t delay_ms, clock_ms_t first_ms,
			      clock_ms_t max_ms)
{
	if (delay_ms <= 0)
		return first_ms;
	return delay_ms < max_ms / 2 ? 2 * delay_ms : max_ms;
}
