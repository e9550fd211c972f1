#ifndef HORNBEAMTACK_CLOCK_H
#define HORNBEAMTACK_CLOCK_H

#include <stdint.h>

/* Milliseconds: a duration, or a time since an origin that depends on the clock
 * source. */
typedef int64_t clock_ms_t;

typedef enum {
	CLOCK_KIND_BOOT,
	CLOCK_KIND_MANUAL,
} clock_kind_t;

typedef struct {
	clock_kind_t kind;
	clock_ms_t manual_ms;
} clock_source_t;

clock_source_t clock_source_boot(void);
clock_source_t clock_source_manual(clock_ms_t start_ms);
void clock_source_advance(clock_source_t *source, clock_ms_t step_ms);
clock_ms_t clock_source_now(const clock_source_t *source);
clock_ms_t clock_backoff_next(clock_ms_t delay_ms, clock_ms_t first_ms,
			      clock_ms_t max_ms);

#endif
