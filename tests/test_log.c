#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "liblog/log.h"

#include <fcntl.h>
#include <unistd.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Returns what a sink of the given level writes for a warning with one field.
 */
static char *write_field(log_level_t level, const log_field_t *field)
{
	char *text = NULL;
	size_t size;
	FILE *stream = open_memstream(&text, &size);
	log_sink_t *sink =
		stream ? log_sink_new(stream, level, "proxy-1") : NULL;

	if (!sink)
		abort();
	log_sink_write(sink, LOG_LEVEL_WARNING, "test", field, 1);
	log_sink_free(sink);
	fclose(stream);
	return text;
}

/* Guards against input in a field's value that forges another field or line. */
static void test_fields(void)
{
	static const struct {
		const char *name;
		log_field_t field;
		const char *end;
	} rows[] = {
		{ "plain", LOG_TEXT("k", "a-b.c:1"), " k=a-b.c:1\n" },
		{ "empty", LOG_TEXT("k", ""), " k=\"\"\n" },
		{ "null", LOG_TEXT("k", NULL), " k=\"\"\n" },
		{ "space", LOG_TEXT("k", "a event=b"), " k=\"a event=b\"\n" },
		{ "equals sign", LOG_TEXT("k", "a=b"), " k=\"a=b\"\n" },
		{ "quote", LOG_TEXT("k", "a\" event=\"b"),
		  " k=\"a\\\" event=\\\"b\"\n" },
		{ "backslash", LOG_TEXT("k", "a\\"), " k=\"a\\\\\"\n" },
		{ "line feed", LOG_TEXT("k", "a\n<3>b"),
		  " k=\"a\\x0a<3>b\"\n" },
		{ "return, tab", LOG_TEXT("k", "a\r\tb"),
		  " k=\"a\\x0d\\x09b\"\n" },
		{ "escape, delete", LOG_TEXT("k", "\x1b[2J\x7f"),
		  " k=\"\\x1b[2J\\x7f\"\n" },
		{ "UTF-8", LOG_TEXT("k", "\xc3\xa9"), " k=\xc3\xa9\n" },
		{ "signed", LOG_SIGNED("k", INT64_MIN),
		  " k=-9223372036854775808\n" },
		{ "unsigned", LOG_UNSIGNED("k", UINT64_MAX),
		  " k=18446744073709551615\n" },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		char *text = write_field(LOG_LEVEL_DEBUG, &rows[i].field);
		size_t length = strlen(text);
		size_t end = strlen(rows[i].end);
		const char *event = strstr(text, "event=test");

		CHECK_ROW(strncmp(text, "<4>", 3) == 0, rows[i].name);
		CHECK_ROW(strstr(text, "Z proxy-1 hornbeamtack["),
			  rows[i].name);
		CHECK_ROW(strstr(text, ": severity=warning event=test "),
			  rows[i].name);
		CHECK_ROW(strchr(text, '\n') == text + length - 1,
			  rows[i].name);
		CHECK_ROW(event && strcmp(event + 10, rows[i].end) == 0 &&
				  length > end,
			  rows[i].name);
		free(text);
	}
}

/* Guards against a sink that drops severe events and keeps the others: a lower
 * number is a higher severity. */
static void test_level(void)
{
	static const log_field_t field = LOG_TEXT("k", "v");
	int level;

	for (level = LOG_LEVEL_EMERGENCY; level <= LOG_LEVEL_DEBUG; level++) {
		char *text = write_field((log_level_t)level, &field);

		CHECK_SEED((*text != '\0') == (level >= LOG_LEVEL_WARNING),
			   level);
		free(text);
	}
	log_sink_write(NULL, LOG_LEVEL_ERROR, "test", &field, 1);
	CU_ASSERT_STRING_EQUAL(log_level_text(LOG_LEVEL_ERROR), "err");
}

/* Guards against a log that blocks the process when the reader of the stream
 * stops reading, and against lines that are dropped without a report. */
static void test_blocked(void)
{
	const log_field_t field = LOG_TEXT("k", "v");
	char text[65536];
	int ends[2];
	FILE *stream;
	log_sink_t *sink;
	ssize_t size;
	int i;

	CU_ASSERT_FATAL(pipe(ends) == 0);
	stream = fdopen(ends[1], "w");
	sink = log_sink_new(stream, LOG_LEVEL_INFO, "proxy-1");
	log_sink_limit_rate(sink);
	/* The rate limit does not apply to errors, so that they fill the pipe.
	 */
	for (i = 0; i < 20000; i++)
		log_sink_write(sink, LOG_LEVEL_ERROR, "test", &field, 1);
	CU_ASSERT(log_sink_suppressed(sink) > 10000);
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	while ((size = read(ends[0], text, sizeof(text) - 1)) > 0)
		CU_ASSERT(text[size - 1] == '\n');
	log_sink_write(sink, LOG_LEVEL_ERROR, "test", &field, 1);
	CU_ASSERT(log_sink_suppressed(sink) == 0);
	size = read(ends[0], text, sizeof(text) - 1);
	text[size > 0 ? size : 0] = '\0';
	CU_ASSERT(strstr(text, "event=log-suppressed lines=") != NULL);
	log_sink_free(sink);
	fclose(stream);
	close(ends[0]);
}

/* Guards against a flood of log lines that costs more processor time than the
 * work that it reports. */
static void test_flood(void)
{
	const log_field_t field = LOG_TEXT("k", "v");
	FILE *stream = tmpfile();
	log_sink_t *sink = log_sink_new(stream, LOG_LEVEL_INFO, "proxy-1");
	int i;

	log_sink_limit_rate(sink);
	for (i = 0; i < 5000; i++)
		log_sink_write(sink, LOG_LEVEL_INFO, "test", &field, 1);
	/* The limit is 200 lines per second; more are written if the loop runs
	 * across the end of a second. */
	CU_ASSERT(log_sink_suppressed(sink) >= 4000);
	log_sink_free(sink);
	fclose(stream);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "blocked", test_blocked },
		{ "flood", test_flood },
		{ "fields", test_fields },
		{ "level", test_level },
	};

	return check_main("log", cases, COUNT(cases));
}
