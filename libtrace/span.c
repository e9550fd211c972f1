#include "trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct trace_recorder {
	trace_options_t options;
};

/*
 * Creates a recorder that passes each ended span of a sampled trace to the
 * handler. Returns NULL without memory.
 */
trace_recorder_t *trace_recorder_new(const trace_options_t *options)
{
	trace_recorder_t *recorder = calloc(1, sizeof(*recorder));

	if (recorder)
		recorder->options = *options;
	return recorder;
}

/*
 * Frees the recorder. Its spans stay valid, as they hold no reference to it.
 */
void trace_recorder_free(trace_recorder_t *recorder)
{
	free(recorder);
}

/*
 * Fills count bytes of an id at random. The lowest bit of the first byte is
 * always set, because an id of zeros is invalid in W3C trace context.
 */
static void fill_random(const trace_recorder_t *recorder, uint8_t *bytes,
			size_t count)
{
	if (recorder->options.random(recorder->options.handler_context, bytes,
				     count) != 0)
		memset(bytes, 0, count);
	bytes[0] |= 1;
}

/*
 * Starts a span at now_ms. With a parent, the span belongs to the trace of the
 * parent and takes over its sampling decision. Without a parent (NULL) the span
 * starts a new trace, which is sampled with the probability in the options. If
 * there are no random bytes, the ids are valid but not unique.
 */
trace_span_t trace_span_start(trace_recorder_t *recorder,
			      const trace_context_t *parent, trace_hop_t hop,
			      clock_ms_t now_ms)
{
	trace_span_t span = { .hop = hop, .start_ms = now_ms };
	uint8_t sample[2];

	if (parent) {
		span.context = *parent;
		memcpy(span.parent_id, parent->span_id, TRACE_SPAN_ID_BYTES);
	} else {
		fill_random(recorder, span.context.trace_id, TRACE_ID_BYTES);
		/* The lowest bit, which fill_random() sets, is not used. */
		fill_random(recorder, sample, sizeof(sample));
		span.context.sampled =
			(uint32_t)(sample[0] >> 1 | sample[1] << 7) * 1000 <
			recorder->options.sample_permille * 32768;
	}
	fill_random(recorder, span.context.span_id, TRACE_SPAN_ID_BYTES);
	return span;
}

/*
 * Ends a span at now_ms with a result, which is "done", "not-run", "unknown" or
 * the name of an error. The span is passed to the handler if its trace is
 * sampled.
 */
void trace_span_end(trace_recorder_t *recorder, trace_span_t *span,
		    const char *result, clock_ms_t now_ms)
{
	span->end_ms = now_ms;
	snprintf(span->result, sizeof(span->result), "%s", result);
	if (span->context.sampled && recorder->options.handler)
		recorder->options.handler(recorder->options.handler_context,
					  span);
}

/*
 * Returns the name of a hop in log lines and exported spans.
 */
const char *trace_hop_text(trace_hop_t hop)
{
	switch (hop) {
	case TRACE_HOP_CALLER:
		return "caller";
	case TRACE_HOP_FORWARD:
		return "forward";
	case TRACE_HOP_QUEUE:
		return "queue";
	case TRACE_HOP_CONNECTION:
		return "connection";
	case TRACE_HOP_TARGET:
		return "target";
	case TRACE_HOP_REPLICA_WAIT:
		return "replica-wait";
	}
	return "unknown";
}
