#include "check.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libtrace/trace.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define TRACE_ID "0af7651916cd43dd8448eb211c80319c"
#define SPAN_ID "b7ad6b7169203331"
#define ZEROS "0000000000000000"

/* Guards against a malformed traceparent header that is accepted: the trace
 * would continue with an invalid id. */
static void test_parse(void)
{
	static const struct {
		const char *name;
		const char *text;
		int error;
		bool sampled;
	} rows[] = {
		{ "sampled", "00-" TRACE_ID "-" SPAN_ID "-01", TRACE_OK, true },
		{ "not sampled", "00-" TRACE_ID "-" SPAN_ID "-00", TRACE_OK,
		  false },
		{ "other flags", "00-" TRACE_ID "-" SPAN_ID "-f3", TRACE_OK,
		  true },
		{ "empty", "", TRACE_ERROR_MALFORMED },
		{ "cut", "00-" TRACE_ID "-" SPAN_ID "-0",
		  TRACE_ERROR_MALFORMED },
		{ "longer", "00-" TRACE_ID "-" SPAN_ID "-011",
		  TRACE_ERROR_MALFORMED },
		{ "version 01", "01-" TRACE_ID "-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "version ff", "ff-" TRACE_ID "-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "upper case",
		  "00-0AF7651916CD43DD8448EB211C80319C-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "no hexadecimal digit",
		  "00-0ag7651916cd43dd8448eb211c80319c-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "trace id of zeros", "00-" ZEROS ZEROS "-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "span id of zeros", "00-" TRACE_ID "-" ZEROS "-01",
		  TRACE_ERROR_MALFORMED },
		{ "first separator", "00_" TRACE_ID "-" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "second separator", "00-" TRACE_ID "_" SPAN_ID "-01",
		  TRACE_ERROR_MALFORMED },
		{ "third separator", "00-" TRACE_ID "-" SPAN_ID "_01",
		  TRACE_ERROR_MALFORMED },
		{ "first flag", "00-" TRACE_ID "-" SPAN_ID "-x1",
		  TRACE_ERROR_MALFORMED },
		{ "second flag", "00-" TRACE_ID "-" SPAN_ID "-0 ",
		  TRACE_ERROR_MALFORMED },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		trace_context_t context;
		trace_context_t before;
		char text[TRACE_TRACEPARENT_SIZE];
		char id[33];

		memset(&context, 0x5a, sizeof(context));
		context.sampled = false;
		before = context;
		CHECK_ROW(trace_context_parse(rows[i].text, &context) ==
				  rows[i].error,
			  rows[i].name);
		if (rows[i].error != TRACE_OK) {
			CHECK_ROW(memcmp(context.trace_id, before.trace_id,
					 TRACE_ID_BYTES) == 0,
				  rows[i].name);
			continue;
		}
		CHECK_ROW(context.sampled == rows[i].sampled, rows[i].name);
		trace_context_format(&context, text);
		CHECK_ROW(strncmp(text, rows[i].text, 53) == 0, rows[i].name);
		CHECK_ROW(strcmp(text + 53, rows[i].sampled ? "01" : "00") == 0,
			  rows[i].name);
		trace_context_format_trace_id(&context, id);
		CHECK_ROW(strcmp(id, TRACE_ID) == 0, rows[i].name);
	}
}

static check_random_t generator;
static int handled;

static int fill_random(void *context, uint8_t *bytes, size_t count)
{
	(void)context;
	while (count-- > 0)
		*bytes++ = (uint8_t)check_random_next(&generator);
	return 0;
}

static int fail_random(void *context, uint8_t *bytes, size_t count)
{
	(void)context;
	(void)bytes;
	(void)count;
	return -1;
}

static void on_span(void *context, const trace_span_t *span)
{
	(void)context;
	(void)span;
	handled++;
}

/* Guards against a share of sampled traces that differs from the setting, and
 * against spans of one trace with different sampling decisions. */
static void test_sampling(void)
{
	static const uint32_t permille[] = { 0, 10, 500, 1000 };
	const int traces = 20000;
	size_t i;
	int k;

	for (i = 0; i < COUNT(permille); i++) {
		trace_options_t options = { .sample_permille = permille[i],
					    .random = fill_random,
					    .handler = on_span };
		trace_recorder_t *recorder = trace_recorder_new(&options);
		int expected = (int)(permille[i] * (uint32_t)traces / 1000);
		/* More than 4 standard deviations. */
		int margin = permille[i] % 1000 == 0 ? 0 : 300;
		int sampled = 0;

		generator = check_random(i);
		handled = 0;
		for (k = 0; k < traces; k++) {
			trace_span_t span = trace_span_start(
				recorder, NULL, TRACE_HOP_CALLER, 5);
			trace_span_t child = trace_span_start(
				recorder, &span.context, TRACE_HOP_QUEUE, 6);

			sampled += span.context.sampled;
			if (child.context.sampled != span.context.sampled ||
			    memcmp(child.context.trace_id,
				   span.context.trace_id,
				   TRACE_ID_BYTES) != 0 ||
			    memcmp(child.parent_id, span.context.span_id,
				   TRACE_SPAN_ID_BYTES) != 0)
				CHECK_SEED(!"child differs", k);
			trace_span_end(recorder, &span, "done", 7);
		}
		CHECK_SEED(abs(sampled - expected) <= margin, permille[i]);
		CHECK_SEED(handled == sampled, permille[i]);
		trace_recorder_free(recorder);
	}
}

/* Guards against an id of zeros, which is invalid, if the source of random
 * bytes fails. */
static void test_no_random(void)
{
	trace_options_t options = { .sample_permille = 1000,
				    .random = fail_random };
	trace_recorder_t *recorder = trace_recorder_new(&options);
	trace_span_t span =
		trace_span_start(recorder, NULL, TRACE_HOP_CALLER, 1);
	trace_context_t context;
	char text[TRACE_TRACEPARENT_SIZE];

	trace_context_format(&span.context, text);
	CU_ASSERT_EQUAL(trace_context_parse(text, &context), TRACE_OK);
	trace_span_end(recorder, &span, "done", 2);
	trace_recorder_free(recorder);
}

/* Guards against an export request that the collector refuses as a whole. */
static void test_otlp(void)
{
	static const char expected[] =
		"{\"resourceSpans\":[{\"resource\":{\"attributes\":["
		"{\"key\":\"service.name\",\"value\":{\"stringValue\":"
		"\"hornbeamtack\"}},{\"key\":\"service.instance.id\","
		"\"value\":{\"stringValue\":\"p\\\"1\"}}]},\"scopeSpans\":["
		"{\"scope\":{\"name\":\"hornbeamtack\"},\"spans\":["
		"{\"traceId\":\"" TRACE_ID "\",\"spanId\":\"" SPAN_ID
		"\",\"parentSpanId\":\"\",\"name\":\"replica-wait\","
		"\"startTimeUnixNano\":\"1005000000\","
		"\"endTimeUnixNano\":\"1007000000\",\"attributes\":["
		"{\"key\":\"service\",\"value\":{\"stringValue\":\"s\"}},"
		"{\"key\":\"target\",\"value\":{\"stringValue\":\"t\"}},"
		"{\"key\":\"term\",\"value\":{\"stringValue\":"
		"\"4294967295\"}},{\"key\":\"result\",\"value\":"
		"{\"stringValue\":\"done\"}}]}]}]}]}";
	trace_span_t spans[3] = { { .hop = TRACE_HOP_REPLICA_WAIT,
				    .start_ms = 5,
				    .end_ms = 7,
				    .service = "s",
				    .target = "t",
				    .term = UINT32_MAX,
				    .result = "done" } };
	json_t *root;
	json_t *list;
	char *text;

	trace_context_parse("00-" TRACE_ID "-" SPAN_ID "-01",
			    &spans[0].context);
	text = trace_otlp_format(spans, 1, "p\"1", 1000);
	CU_ASSERT_STRING_EQUAL(text, expected);
	free(text);

	/* A span with a text that is not UTF-8 is left out, and the other spans
	 * are exported. */
	spans[1] = spans[2] = spans[0];
	memset(spans[1].service, 0xff, 3);
	memset(spans[2].parent_id, 0xab, TRACE_SPAN_ID_BYTES);
	text = trace_otlp_format(spans, 3, "p", 0);
	root = text ? json_loads(text, 0, NULL) : NULL;
	list = json_object_get(
		json_array_get(
			json_object_get(
				json_array_get(
					json_object_get(root, "resourceSpans"),
					0),
				"scopeSpans"),
			0),
		"spans");
	CU_ASSERT_EQUAL(json_array_size(list), 2);
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(json_array_get(list, 1),
						  "parentSpanId")),
		"abababababababab");
	json_decref(root);
	free(text);
	text = trace_otlp_format(NULL, 0, "p", 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"spans\":[]"));
	free(text);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "parse", test_parse },
		{ "sampling", test_sampling },
		{ "no random", test_no_random },
		{ "otlp", test_otlp },
	};

	return check_main("trace", cases, COUNT(cases));
}
