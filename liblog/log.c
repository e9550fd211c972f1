#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define INSTANCE_SIZE 64

struct log_sink {
	FILE *stream;
	log_level_t level;
	char instance[INSTANCE_SIZE];
};

/*
 * Creates a sink that writes events of severity level and above to stream.
 * instance is the host field of each line. Returns NULL without memory.
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
 * Frees the sink; the stream stays open.
 */
void log_sink_free(log_sink_t *sink)
{
	free(sink);
}

/*
 * Tells whether text can stand after "key=" without quotes.
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
 * Writes text as a value, in quotes and with escapes where it is needed, so
 * that input from a caller can't forge a second field or line.
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
 * Writes one line: "<priority>time instance hornbeamtack[pid]: severity=...
 * event=... key=value ...". Events below the sink's level and a NULL sink are
 * ignored.
 */
void log_sink_write(log_sink_t *sink, log_level_t level, const char *event,
		    const log_field_t *fields, size_t count)
{
	struct timespec now;
	struct tm parts;
	char stamp[32];
	size_t i;

	if (!sink || level > sink->level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	fprintf(sink->stream,
		"<%d>%s.%03ldZ %s hornbeamtack[%ld]: severity=%s event=%s",
		(int)level, stamp, now.tv_nsec / 1000000, sink->instance,
		(long)getpid(), log_level_text(level), event);
	for (i = 0; i < count; i++)
		write_field(sink->stream, &fields[i]);
	fputc('\n', sink->stream);
	fflush(sink->stream);
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
