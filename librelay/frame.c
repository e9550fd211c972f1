#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "relay.h"

/* Limit of the numbers in a frame. */
#define NUMBER_MAX 1000000000

static uint32_t limit_of(uint8_t kind)
{
	switch (kind) {
	case RELAY_FRAME_DATA:
		return RELAY_DATA_MAX_BYTES;
	case RELAY_FRAME_BORROW:
	case RELAY_FRAME_LENT:
	case RELAY_FRAME_REFUSED:
	case RELAY_FRAME_RETURN:
		return RELAY_FIELDS_MAX_BYTES;
	default:
		return 0;
	}
}

/*
 * Copies a text field. Returns false if it is missing or too long.
 */
static bool get_text(const json_t *fields, const char *name,
		     char text[RELAY_NAME_SIZE])
{
	const json_t *field = json_object_get(fields, name);

	if (!json_is_string(field) ||
	    json_string_length(field) >= RELAY_NAME_SIZE ||
	    strlen(json_string_value(field)) != json_string_length(field))
		return false;
	memcpy(text, json_string_value(field), json_string_length(field) + 1);
	return true;
}

static bool get_number(const json_t *fields, const char *name, int64_t least,
		       int64_t *number)
{
	const json_t *field = json_object_get(fields, name);

	*number = json_integer_value(field);
	return json_is_integer(field) && *number >= least &&
	       *number <= NUMBER_MAX;
}

static int decode_borrow(const json_t *fields, relay_borrow_t *borrow)
{
	int64_t version;

	if (!get_number(fields, "version", 1, &version))
		return RELAY_ERROR_MALFORMED;
	if (version != RELAY_VERSION)
		return RELAY_ERROR_VERSION;
	borrow->state_only =
		json_is_true(json_object_get(fields, "state_only"));
	if (!get_text(fields, "service", borrow->service) ||
	    !get_text(fields, "target", borrow->target) ||
	    !get_text(fields, "tenant", borrow->tenant) ||
	    !get_number(fields, "wait_ms", 0, &borrow->wait_ms))
		return RELAY_ERROR_MALFORMED;
	return RELAY_OK;
}

static int decode_news(const json_t *fields, relay_news_t *news)
{
	int64_t reason;
	int64_t waiting;

	if (!get_number(fields, "reason", 0, &reason) ||
	    reason >= RELAY_REFUSAL_COUNT ||
	    !get_number(fields, "waiting", 0, &waiting) ||
	    !get_number(fields, "answered_ago_ms", -1, &news->answered_ago_ms))
		return RELAY_ERROR_MALFORMED;
	news->reason = (relay_refusal_t)reason;
	news->waiting = (uint32_t)waiting;
	return RELAY_OK;
}

static int decode_fields(const json_t *fields, relay_frame_t *frame)
{
	switch (frame->kind) {
	case RELAY_FRAME_BORROW:
		return decode_borrow(fields, &frame->u.borrow);
	case RELAY_FRAME_LENT:
	case RELAY_FRAME_REFUSED:
		return decode_news(fields, &frame->u.news);
	case RELAY_FRAME_RETURN:
		frame->u.has_values =
			json_is_true(json_object_get(fields, "has_values"));
		return json_is_object(fields) ? RELAY_OK
					      : RELAY_ERROR_MALFORMED;
	case RELAY_FRAME_DATA:
		break;
	}
	return RELAY_ERROR_MALFORMED;
}

/*
 * Takes the next frame out of the input. The payload of RELAY_FRAME_DATA is
 * moved to the end of data; NULL: such a frame is malformed. Returns RELAY_OK
 * or an error; after any but RELAY_ERROR_INCOMPLETE the link can't be used
 * further.
 */
int relay_frame_read(struct evbuffer *input, relay_frame_t *frame,
		     struct evbuffer *data)
{
	uint8_t header[RELAY_HEADER_BYTES];
	char text[RELAY_FIELDS_MAX_BYTES];
	uint32_t length;
	json_t *fields;
	int error;

	if (evbuffer_copyout(input, header, sizeof(header)) <
	    (ev_ssize_t)sizeof(header))
		return RELAY_ERROR_INCOMPLETE;
	length = (uint32_t)header[1] << 16 | (uint32_t)header[2] << 8 |
		 header[3];
	if (length == 0 || length > limit_of(header[0]) ||
	    (header[0] == RELAY_FRAME_DATA && !data))
		return RELAY_ERROR_MALFORMED;
	if (evbuffer_get_length(input) < sizeof(header) + length)
		return RELAY_ERROR_INCOMPLETE;
	evbuffer_drain(input, sizeof(header));
	*frame = (relay_frame_t){ .kind = (relay_frame_kind_t)header[0] };
	if (frame->kind == RELAY_FRAME_DATA)
		return evbuffer_remove_buffer(input, data, length) ==
				       (int)length
			       ? RELAY_OK
			       : RELAY_ERROR_MEMORY;
	evbuffer_remove(input, text, length);
	fields = json_loadb(text, length, 0, NULL);
	error = decode_fields(fields, frame);
	json_decref(fields);
	return error;
}

static int write_header(struct evbuffer *output, relay_frame_kind_t kind,
			size_t length)
{
	const uint8_t header[RELAY_HEADER_BYTES] = { (uint8_t)kind,
						     (uint8_t)(length >> 16),
						     (uint8_t)(length >> 8),
						     (uint8_t)length };

	return evbuffer_add(output, header, sizeof(header)) == 0
		       ? RELAY_OK
		       : RELAY_ERROR_MEMORY;
}

/*
 * Appends a frame with fields, which are released.
 */
static int write_fields(struct evbuffer *output, relay_frame_kind_t kind,
			json_t *fields)
{
	char *text = fields ? json_dumps(fields, JSON_COMPACT) : NULL;
	size_t length = text ? strlen(text) : 0;
	int error = RELAY_ERROR_MEMORY;

	json_decref(fields);
	if (length > RELAY_FIELDS_MAX_BYTES)
		error = RELAY_ERROR_MALFORMED;
	else if (text)
		error = write_header(output, kind, length);
	if (error == RELAY_OK && evbuffer_add(output, text, length) != 0)
		error = RELAY_ERROR_MEMORY;
	free(text);
	return error;
}

/*
 * Appends a request for a connection. Returns RELAY_OK or an error.
 */
int relay_borrow_write(struct evbuffer *output, const relay_borrow_t *borrow)
{
	return write_fields(output, RELAY_FRAME_BORROW,
			    json_pack("{s:i,s:s,s:s,s:s,s:I,s:b}", "version",
				      RELAY_VERSION, "service", borrow->service,
				      "target", borrow->target, "tenant",
				      borrow->tenant, "wait_ms",
				      (json_int_t)borrow->wait_ms, "state_only",
				      borrow->state_only));
}

/*
 * Appends RELAY_FRAME_LENT or RELAY_FRAME_REFUSED. Returns RELAY_OK or an
 * error.
 */
int relay_news_write(struct evbuffer *output, relay_frame_kind_t kind,
		     const relay_news_t *news)
{
	return write_fields(output, kind,
			    json_pack("{s:i,s:I,s:I}", "reason",
				      (int)news->reason, "waiting",
				      (json_int_t)news->waiting,
				      "answered_ago_ms",
				      (json_int_t)news->answered_ago_ms));
}

/*
 * Appends the end of a loan. Returns RELAY_OK or an error.
 */
int relay_return_write(struct evbuffer *output, bool has_values)
{
	return write_fields(output, RELAY_FRAME_RETURN,
			    json_pack("{s:b}", "has_values", has_values));
}

/*
 * Moves all bytes of data to the output, in frames. Returns RELAY_OK or
 * RELAY_ERROR_MEMORY.
 */
int relay_data_write(struct evbuffer *output, struct evbuffer *data)
{
	size_t length = evbuffer_get_length(data);
	int error = RELAY_OK;

	while (length > 0 && error == RELAY_OK) {
		if (length > RELAY_DATA_MAX_BYTES)
			length = RELAY_DATA_MAX_BYTES;
		error = write_header(output, RELAY_FRAME_DATA, length);
		if (error == RELAY_OK &&
		    evbuffer_remove_buffer(data, output, length) != (int)length)
			error = RELAY_ERROR_MEMORY;
		length = evbuffer_get_length(data);
	}
	return error;
}

const char *relay_refusal_name(relay_refusal_t refusal)
{
	switch (refusal) {
	case RELAY_REFUSAL_NO_ROOM:
		return "no room";
	case RELAY_REFUSAL_TARGET_FAILED:
		return "target failed";
	case RELAY_REFUSAL_LEAVING:
		return "leaving";
	case RELAY_REFUSAL_STATE:
		return "state";
	case RELAY_REFUSAL_COUNT:
		break;
	}
	return "invalid";
}

/*
 * Returns the message for an error of this library.
 */
const char *relay_error_text(int error)
{
	switch (error) {
	case RELAY_OK:
		return "no error";
	case RELAY_ERROR_INCOMPLETE:
		return "incomplete frame";
	case RELAY_ERROR_MALFORMED:
		return "malformed frame";
	case RELAY_ERROR_VERSION:
		return "unknown version";
	case RELAY_ERROR_MEMORY:
		return "no memory";
	default:
		return "unknown error";
	}
}
