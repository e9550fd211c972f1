#ifndef HORNBEAMTACK_LOG_H
#define HORNBEAMTACK_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Severities of syslog; the value is the number used by syslog. */
typedef enum {
	LOG_LEVEL_EMERGENCY,
	LOG_LEVEL_ALERT,
	LOG_LEVEL_CRITICAL,
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_NOTICE,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
} log_level_t;

typedef enum {
	LOG_FIELD_TEXT,
	LOG_FIELD_SIGNED,
	LOG_FIELD_UNSIGNED,
} log_field_kind_t;

typedef struct {
	const char *key;
	log_field_kind_t kind;
	union {
		const char *text;
		int64_t number;
		uint64_t count;
	} u;
} log_field_t;

#define LOG_TEXT(name, value)                                            \
	{                                                                \
		.key = (name), .kind = LOG_FIELD_TEXT, .u.text = (value) \
	}
#define LOG_SIGNED(name, value)                                              \
	{                                                                    \
		.key = (name), .kind = LOG_FIELD_SIGNED, .u.number = (value) \
	}
#define LOG_UNSIGNED(name, value)                                             \
	{                                                                     \
		.key = (name), .kind = LOG_FIELD_UNSIGNED, .u.count = (value) \
	}

typedef struct log_sink log_sink_t;

log_sink_t *log_sink_new(FILE *stream, log_level_t level, const char *instance);
void log_sink_free(log_sink_t *sink);
void log_sink_limit_rate(log_sink_t *sink);
uint64_t log_sink_suppressed(const log_sink_t *sink);
void log_sink_write(log_sink_t *sink, log_level_t level, const char *event,
		    const log_field_t *fields, size_t count);

/* Writes one line with the given fields, each of which is LOG_TEXT(),
 * LOG_SIGNED() or LOG_UNSIGNED(). */
#define LOG_EVENT(sink, level, event, ...)                                    \
	do {                                                                  \
		const log_field_t log_fields_[] = { __VA_ARGS__ };            \
		log_sink_write((sink), (level), (event), log_fields_,         \
			       sizeof(log_fields_) / sizeof(log_fields_[0])); \
	} while (0)

const char *log_level_text(log_level_t level);

#endif
