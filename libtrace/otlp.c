#include "trace.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

static void format_hex(const uint8_t *bytes, size_t count, char *text)
{
	size_t i;

	for (i = 0; i < count; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
}

/*
 * Returns a new OTLP attribute with a text value. Returns NULL if the value is
 * not valid UTF-8, or without memory.
 */
static json_t *new_attribute(const char *key, const char *value)
{
	return json_pack("{s:s, s:{s:s}}", "key", key, "value", "stringValue",
			 value);
}

/*
 * Returns a span as a new OTLP/JSON object, in which ids are texts of
 * hexadecimal digits and times are texts with the Unix time in nanoseconds.
 * unix_offset_ms is added to the times of the span. Returns NULL if a text of
 * the span is not valid UTF-8, or without memory.
 */
static json_t *format_span(const trace_span_t *span, clock_ms_t unix_offset_ms)
{
	static const uint8_t no_parent[TRACE_SPAN_ID_BYTES];
	char trace_id[2 * TRACE_ID_BYTES + 1];
	char span_id[2 * TRACE_SPAN_ID_BYTES + 1];
	char parent_id[2 * TRACE_SPAN_ID_BYTES + 1] = "";
	char start[32];
	char end[32];
	char term[16];

	format_hex(span->context.trace_id, TRACE_ID_BYTES, trace_id);
	format_hex(span->context.span_id, TRACE_SPAN_ID_BYTES, span_id);
	if (memcmp(span->parent_id, no_parent, TRACE_SPAN_ID_BYTES) != 0)
		format_hex(span->parent_id, TRACE_SPAN_ID_BYTES, parent_id);
	snprintf(start, sizeof(start), "%" PRId64 "000000",
		 span->start_ms + unix_offset_ms);
	snprintf(end, sizeof(end), "%" PRId64 "000000",
		 span->end_ms + unix_offset_ms);
	snprintf(term, sizeof(term), "%" PRIu32, span->term);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:[o,o,o,o]}",
			 "traceId", trace_id, "spanId", span_id, "parentSpanId",
			 parent_id, "name", trace_hop_text(span->hop),
			 "startTimeUnixNano", start, "endTimeUnixNano", end,
			 "attributes", new_attribute("service", span->service),
			 new_attribute("target", span->target),
			 new_attribute("term", term),
			 new_attribute("result", span->result));
}

/*
 * Returns count spans as the body of an OTLP/JSON export request, with instance
 * as the service instance id. unix_offset_ms is added to the times of the spans
 * to get Unix time in ms. A span with a text that is not valid UTF-8 is left
 * out. The caller frees the text. Returns NULL without memory.
 */
char *trace_otlp_format(const trace_span_t *spans, size_t count,
			const char *instance, clock_ms_t unix_offset_ms)
{
	json_t *list = json_array();
	json_t *root;
	char *text;
	size_t i;

	for (i = 0; list && i < count; i++)
		json_array_append_new(list,
				      format_span(&spans[i], unix_offset_ms));
	root = json_pack("{s:[{s:{s:[o,o]}, s:[{s:{s:s}, s:o}]}]}",
			 "resourceSpans", "resource", "attributes",
			 new_attribute("service.name", "hornbeamtack"),
			 new_attribute("service.instance.id", instance),
			 "scopeSpans", "scope", "name", "hornbeamtack", "spans",
			 list);
	if (!root)
		return NULL;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
