#include <stdlib.h>
#include <string.h>

#include "connection.h"

/*
 * Copies an endpoint and its strings. Returns TARGET_OK or TARGET_ERROR_MEMORY.
 * In both cases the caller must pass *to to endpoint_clear().
 */
int endpoint_copy(target_endpoint_t *to, const target_endpoint_t *from)
{
	*to = (target_endpoint_t){
		.name = strdup(from->name),
		.address = strdup(from->address),
		.port = from->port,
		.user = strdup(from->user),
		.database = strdup(from->database),
	};
	return to->name && to->address && to->user && to->database
		       ? TARGET_OK
		       : TARGET_ERROR_MEMORY;
}

/*
 * Frees the strings of an endpoint that endpoint_copy() filled.
 */
void endpoint_clear(target_endpoint_t *endpoint)
{
	free((char *)endpoint->name);
	free((char *)endpoint->address);
	free((char *)endpoint->user);
	free((char *)endpoint->database);
}

/*
 * Starts or restarts a timer that fires once after delay_ms. A negative delay
 * counts as 0.
 */
void timer_set(struct event *timer, clock_ms_t delay_ms)
{
	struct timeval delay = { 0 };

	if (delay_ms > 0) {
		delay.tv_sec = delay_ms / 1000;
		delay.tv_usec = delay_ms % 1000 * 1000;
	}
	event_add(timer, &delay);
}

/*
 * Returns a short English text for an error of this library.
 */
const char *target_error_text(int error)
{
	switch (error) {
	case TARGET_OK:
		return "no error";
	case TARGET_ERROR_MEMORY:
		return "out of memory";
	case TARGET_ERROR_CONNECT:
		return "can't connect";
	case TARGET_ERROR_NO_CONNECTION:
		return "no connection within the deadline";
	case TARGET_ERROR_TIMEOUT:
		return "no answer within the deadline";
	case TARGET_ERROR_LOST:
		return "connection lost before the answer";
	case TARGET_ERROR_PROTOCOL:
		return "unexpected answer";
	case TARGET_ERROR_PROMISED:
		return "promised to a higher term or another coordinator";
	case TARGET_ERROR_NOT_PRIMARY:
		return "not the primary of this term";
	case TARGET_ERROR_POSITION:
		return "position not applied";
	case TARGET_ERROR_KEY_RECORDED:
		return "key recorded before";
	case TARGET_ERROR_KEY_MISMATCH:
		return "key belongs to another statement";
	case TARGET_ERROR_KEY_CANCELLED:
		return "key cancelled";
	case TARGET_ERROR_STATEMENT:
		return "statement rejected by the target";
	case TARGET_ERROR_CONNECTION_LIMIT:
		return "connection limit of the target";
	case TARGET_ERROR_CLOSED:
		return "closed";
	default:
		return "unknown error";
	}
}
