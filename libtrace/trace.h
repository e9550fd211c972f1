#ifndef HORNBEAMTACK_TRACE_H
#define HORNBEAMTACK_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

#define TRACE_ID_BYTES 16
#define TRACE_SPAN_ID_BYTES 8
/* "00-<32 hex>-<16 hex>-<2 hex>" and the terminating zero. */
#define TRACE_TRACEPARENT_SIZE 56
#define TRACE_NAME_SIZE 64

typedef struct {
	uint8_t trace_id[TRACE_ID_BYTES];
	uint8_t span_id[TRACE_SPAN_ID_BYTES];
	bool sampled;
} trace_context_t;

/* The stages of a statement for which spans are recorded. */
typedef enum {
	TRACE_HOP_CALLER,
	TRACE_HOP_FORWARD,
	TRACE_HOP_QUEUE,
	TRACE_HOP_CONNECTION,
	TRACE_HOP_TARGET,
	TRACE_HOP_REPLICA_WAIT,
} trace_hop_t;

typedef struct {
	trace_context_t context;
	uint8_t parent_id[TRACE_SPAN_ID_BYTES];
	trace_hop_t hop;
	/* Times that were passed as now_ms. */
	clock_ms_t start_ms;
	clock_ms_t end_ms;
	char service[TRACE_NAME_SIZE];
	char target[TRACE_NAME_SIZE];
	uint32_t term;
	/* "done", "not-run", "unknown" or the name of an error. */
	char result[TRACE_NAME_SIZE];
} trace_span_t;

/* Source of random bytes; returns 0 or a negative number. */
typedef int (*trace_random_t)(void *context, uint8_t *bytes, size_t count);
typedef void (*trace_handler_t)(void *context, const trace_span_t *span);

typedef struct {
	/* Share of new traces that are sampled, in thousandths. */
	uint32_t sample_permille;
	trace_random_t random;
	/* Receives each ended span of a sampled trace; may be NULL. */
	trace_handler_t handler;
	/* Context of random and handler. */
	void *handler_context;
} trace_options_t;

typedef struct trace_recorder trace_recorder_t;

enum {
	TRACE_OK = 0,
	TRACE_ERROR_MEMORY = -1,
	TRACE_ERROR_MALFORMED = -2,
};

trace_recorder_t *trace_recorder_new(const trace_options_t *options);
void trace_recorder_free(trace_recorder_t *recorder);

int trace_context_parse(const char *traceparent, trace_context_t *context);
void trace_context_format(const trace_context_t *context,
			  char text[TRACE_TRACEPARENT_SIZE]);
void trace_context_format_trace_id(const trace_context_t *context,
				   char text[33]);

/* parent is NULL for the first span of a new trace. */
trace_span_t trace_span_start(trace_recorder_t *recorder,
			      const trace_context_t *parent, trace_hop_t hop,
			      clock_ms_t now_ms);
void trace_span_end(trace_recorder_t *recorder, trace_span_t *span,
		    const char *result, clock_ms_t now_ms);
const char *trace_hop_text(trace_hop_t hop);

/* Returns the body of an export request, which the caller frees. unix_offset_ms
 * is the difference between Unix time and the clock of the spans. */
char *trace_otlp_format(const trace_span_t *spans, size_t count,
			const char *instance, clock_ms_t unix_offset_ms);

#endif
