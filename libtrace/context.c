#include "trace.h"

#include <stdio.h>
#include <string.h>

/*
 * Returns the value of a lower-case hexadecimal digit, or -1.
 */
static int digit_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

/*
 * Reads count bytes of an id. Returns TRACE_OK, or TRACE_ERROR_MALFORMED for
 * another character than a lower-case hexadecimal digit or an id of zeros,
 * which is invalid in W3C trace context.
 */
static int read_hex(const char *text, uint8_t *bytes, size_t count)
{
	uint8_t any = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		int high = digit_value(text[2 * i]);
		int low = high < 0 ? -1 : digit_value(text[2 * i + 1]);

		if (low < 0)
			return TRACE_ERROR_MALFORMED;
		bytes[i] = (uint8_t)(high << 4 | low);
		any |= bytes[i];
	}
	return any != 0 ? TRACE_OK : TRACE_ERROR_MALFORMED;
}

static void write_hex(const uint8_t *bytes, size_t count, char *text)
{
	size_t i;

	for (i = 0; i < count; i++)
		snprintf(text + 2 * i, 3, "%02x", bytes[i]);
}

/*
 * Parses a W3C traceparent header of version 00. Of its flags, only "sampled"
 * is kept. Returns TRACE_OK, or TRACE_ERROR_MALFORMED and leaves the context
 * unchanged.
 */
int trace_context_parse(const char *traceparent, trace_context_t *context)
{
	trace_context_t parsed;
	int flags_digit;

	if (strlen(traceparent) != TRACE_TRACEPARENT_SIZE - 1 ||
	    strncmp(traceparent, "00-", 3) != 0 || traceparent[35] != '-' ||
	    traceparent[52] != '-')
		return TRACE_ERROR_MALFORMED;
	if (read_hex(traceparent + 3, parsed.trace_id, TRACE_ID_BYTES) !=
		    TRACE_OK ||
	    read_hex(traceparent + 36, parsed.span_id, TRACE_SPAN_ID_BYTES) !=
		    TRACE_OK)
		return TRACE_ERROR_MALFORMED;
	flags_digit = digit_value(traceparent[54]);
	if (digit_value(traceparent[53]) < 0 || flags_digit < 0)
		return TRACE_ERROR_MALFORMED;
	parsed.sampled = (flags_digit & 1) != 0;
	*context = parsed;
	return TRACE_OK;
}

/*
 * Writes the context as a W3C traceparent header of version 00, with a
 * terminating zero.
 */
void trace_context_format(const trace_context_t *context,
			  char text[TRACE_TRACEPARENT_SIZE])
{
	snprintf(text, TRACE_TRACEPARENT_SIZE, "00-");
	write_hex(context->trace_id, TRACE_ID_BYTES, text + 3);
	text[35] = '-';
	write_hex(context->span_id, TRACE_SPAN_ID_BYTES, text + 36);
	snprintf(text + 52, 4, "-%02x", context->sampled ? 1 : 0);
}

/*
 * Writes the trace id as 32 hexadecimal digits and a terminating zero.
 */
void trace_context_format_trace_id(const trace_context_t *context,
				   char text[33])
{
	write_hex(context->trace_id, TRACE_ID_BYTES, text);
}
