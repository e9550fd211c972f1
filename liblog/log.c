#include "log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define INSTANCE_SIZE 64

/* Maximum number of lines per second, not counting errors and more severe
 * lines. Without a limit, a failure of all statements of a busy instance would
 * cost more processor time for logging than for serving them. */
#define LINES_PER_SECOND_MAX 200
/* Size of the longest line; longer ones are truncated. */
#define LINE_MAX_BYTES 2048

struct log_sink {
	FILE *stream;
	log_level_t level;
	char instance[INSTANCE_SIZE];
	bool rate_limited;
	/* The current second and the number of its lines that count for the
	 * rate limit. */
	time_t second;
	uint32_t lines;
	/* Lines dropped since the last report, because of the rate limit or
	 * because the reader of the stream did not keep up. */
	uint64_t suppressed;
};

/*
 * Creates a sink that writes events of at least the severity level to stream.
 * instance is written as the host field of each line. Returns NULL without
 * memory.
 */
log_sink_t *log_sink_new(FILE *stream, log_level_t level, const char *instance)
{
	log_sink_t *sink = calloc(1, sizeof(*sink));

	if (!sink)
		return NULL;
	sink->stream = stream;
	sink->level = level;
	snprintf(sink->instance, sizeof(sink->instance), "%s", instance);
	return sink;
}

/*
 * Limits the rate of a sink to LINES_PER_SECOND_MAX and makes its stream
 * non-blocking. Lines beyond the limit, and lines that do not fit into the
 * stream because its reader is slow, are dropped. The event "log-suppressed"
 * reports their number before the next line that is written.
 */
void log_sink_limit_rate(log_sink_t *sink)
{
	int flags = fcntl(fileno(sink->stream), F_GETFL);

	sink->rate_limited = true;
	if (flags >= 0)
		fcntl(fileno(sink->stream), F_SETFL, flags | O_NONBLOCK);
}

/*
 * Returns the number of dropped lines that have not been reported yet.
 */
uint64_t log_sink_suppressed(const log_sink_t *sink)
{
	return sink->suppressed;
}

/*
 * Frees the sink; the stream stays open.
 */
void log_sink_free(log_sink_t *sink)
{
	free(sink);
}

/*
 * Tells whether text can be written after "key=" without quotes.
 */
static bool is_plain(const char *text)
{
	if (*text == '\0')
		return false;
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text <= ' ' || *text == '"' ||
		    *text == '=' || *text == '\\' || *text == 0x7f)
			return false;
	}
	return true;
}

/*
 * Writes text as a value, with quotes and escapes where needed, so that input
 * from a caller can't forge another field or line.
 */
static void write_text(FILE *stream, const char *text)
{
	if (is_plain(text)) {
		fputs(text, stream);
		return;
	}
	fputc('"', stream);
	for (; *text != '\0'; text++) {
		unsigned char byte = (unsigned char)*text;

		if (byte == '"' || byte == '\\')
			fprintf(stream, "\\%c", byte);
		else if (byte < ' ' || byte == 0x7f)
			fprintf(stream, "\\x%02x", byte);
		else
			fputc(byte, stream);
	}
	fputc('"', stream);
}

static void write_field(FILE *stream, const log_field_t *field)
{
	fprintf(stream, " %s=", field->key);
	switch (field->kind) {
	case LOG_FIELD_TEXT:
		write_text(stream, field->u.text ? field->u.text : "");
		break;
	case LOG_FIELD_SIGNED:
		fprintf(stream, "%" PRId64, field->u.number);
		break;
	case LOG_FIELD_UNSIGNED:
		fprintf(stream, "%" PRIu64, field->u.count);
		break;
	}
}

/*
 * Formats a line and writes it to stream.
 */
static void format_line(FILE *stream, const log_sink_t *sink, log_level_t level,
			const char *event, const struct timespec *now,
			const log_field_t *fields, size_t count)
{
	struct tm parts;
	char stamp[32];
	size_t i;

	gmtime_r(&now->tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	fprintf(stream,
		"<%d>%s.%03ldZ %s hornbeamtack[%ld]: severity=%s event=%s",
		(int)level, stamp, now->tv_nsec / 1000000, sink->instance,
		(long)getpid(), log_level_text(level), event);
	for (i = 0; i < count; i++)
		write_field(stream, &fields[i]);
	fputc('\n', stream);
}

/*
 * Formats a line and writes it by a single call, so that a slow reader never
 * gets only a part of a line. Returns false if the line was not written.
 */
static bool write_line(log_sink_t *sink, log_level_t level, const char *event,
		       const struct timespec *now, const log_field_t *fields,
		       size_t count)
{
	char line[LINE_MAX_BYTES];
	FILE *memory = fmemopen(line, sizeof(line), "w");
	long size;

	if (!memory)
		return false;
	setvbuf(memory, NULL, _IOFBF, sizeof(line));
	format_line(memory, sink, level, event, now, fields, count);
	fflush(memory);
	size = ftell(memory);
	fclose(memory);
	if (size <= 0)
		return false;
	if (size >= (long)sizeof(line))
		size = sizeof(line);
	line[size - 1] = '\n';
	if (sink->rate_limited)
		return write(fileno(sink->stream), line, (size_t)size) == size;
	return fwrite(line, (size_t)size, 1, sink->stream) == 1 &&
	       fflush(sink->stream) == 0;
}

/*
 * Counts a line. Returns false if the line exceeds the limit of this second.
 */
static bool is_within_rate(log_sink_t *sink, log_level_t level, time_t second)
{
	if (!sink->rate_limited)
		return true;
	if (second != sink->second) {
		sink->second = second;
		sink->lines = 0;
	}
	if (level <= LOG_LEVEL_ERROR)
		return true;
	return sink->lines++ < LINES_PER_SECOND_MAX;
}

/*
 * Writes one line: "<priority>time instance hornbeamtack[pid]: severity=...
 * event=... key=value ...". Does nothing if sink is NULL or the event is less
 * severe than the sink's level.
 */
void log_sink_write(log_sink_t *sink, log_level_t level, const char *event,
		    const log_field_t *fields, size_t count)
{
	struct timespec now;

	if (!sink || level > sink->level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	if (!is_within_rate(sink, level, now.tv_sec)) {
		sink->suppressed++;
		return;
	}
	if (sink->suppressed > 0) {
		const log_field_t suppressed =
			LOG_UNSIGNED("lines", sink->suppressed);

		if (write_line(sink, LOG_LEVEL_WARNING, "log-suppressed", &now,
			       &suppressed, 1))
			sink->suppressed = 0;
	}
	if (!write_line(sink, level, event, &now, fields, count))
		sink->suppressed++;
}

/*
 * Returns the syslog name of a severity.
 */
const char *log_level_text(log_level_t level)
{
	static const char *const names[] = { "emerg", "alert",	 "crit",
					     "err",   "warning", "notice",
					     "info",  "debug" };

	return level <= LOG_LEVEL_DEBUG ? names[level] : "debug";
}
