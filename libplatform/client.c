#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * Client of the platform: its key-value service and its list of instances.
 *
 * A function that starts a call either returns PLATFORM_OK and the callback is
 * called exactly once later, from the event loop and never from inside the
 * function; or it returns an error and the callback is never called. A callback
 * may call any function of the client, including platform_client_free().
 *
 * PLATFORM_ERROR_UNKNOWN of a read or a watch means that the answer was lost.
 * PLATFORM_ERROR_UNAVAILABLE means that no connection was established, or that
 * the service refused the call without effect (HTTP status 429).
 *
 * The process must ignore SIGPIPE, because libevent writes to connections that
 * the peer may have closed.
 */

/*
 * Returns whether a text is an IP address. Host names are not allowed because
 * evhttp would resolve them with a blocking call.
 */
static bool is_ip_address(const char *text)
{
	struct in6_addr address;

	return text && (inet_pton(AF_INET, text, &address) == 1 ||
			inet_pton(AF_INET6, text, &address) == 1);
}

/*
 * Creates a client. Nothing is sent before the first call. clock must outlive
 * the client; options are copied. Returns NULL if there is no memory or if an
 * option is invalid: both addresses must be IP addresses, the timeout must be
 * above 0 and the prefix must be given.
 */
platform_client_t *platform_client_new(struct event_base *base,
				       const clock_source_t *clock,
				       const platform_options_t *options)
{
	platform_client_t *client;

	if (!is_ip_address(options->address) ||
	    !is_ip_address(options->list_address) || options->timeout_ms <= 0 ||
	    !options->prefix)
		return NULL;
	client = calloc(1, sizeof(*client));
	if (!client)
		return NULL;
	client->base = base;
	client->clock = clock;
	client->port = options->port;
	client->list_port = options->list_port;
	client->timeout_ms = options->timeout_ms;
	TAILQ_INIT(&client->operations);
	client->address = strdup(options->address);
	client->list_address = strdup(options->list_address);
	client->prefix = strdup(options->prefix);
	if (!client->address || !client->list_address || !client->prefix) {
		platform_client_free(client);
		return NULL;
	}
	return client;
}

/*
 * Ends all operations, closes all connections and frees the client. The
 * callbacks of operations in progress are not called, so their contexts may be
 * freed before or after this call. NULL is allowed.
 */
void platform_client_free(platform_client_t *client)
{
	platform_operation_t *operation;

	if (!client)
		return;
	platform_watch_stop(client);
	while ((operation = TAILQ_FIRST(&client->operations)) != NULL)
		platform_operation_end(operation);
	free(client->address);
	free(client->list_address);
	free(client->prefix);
	free(client);
}

/*
 * Adds a new operation to the client's list. free_operation must free the
 * operation and the memory that its own members refer to; the exchange is freed
 * by platform_operation_end().
 */
void platform_operation_start(platform_operation_t *operation,
			      platform_client_t *client,
			      void (*free_operation)(platform_operation_t *))
{
	operation->client = client;
	operation->free = free_operation;
	TAILQ_INSERT_TAIL(&client->operations, operation, entry);
}

/*
 * Ends an operation without calling its callback, and frees it.
 */
void platform_operation_end(platform_operation_t *operation)
{
	TAILQ_REMOVE(&operation->client->operations, operation, entry);
	platform_exchange_free(operation->exchange);
	operation->free(operation);
}

/*
 * Returns the numbers of calls made since the client was created. A read is a
 * page of a fetch, a history, a read-back or a list of instances; a write is a
 * change; a watch is counted when it is started. A failure is a call that ended
 * without a usable answer; a conflict is not a failure.
 */
platform_usage_t platform_client_usage(const platform_client_t *client)
{
	return client->usage;
}

/*
 * Returns a short English text for an error of this library.
 */
const char *platform_error_text(int error)
{
	switch (error) {
	case PLATFORM_OK:
		return "no error";
	case PLATFORM_ERROR_MEMORY:
		return "out of memory";
	case PLATFORM_ERROR_UNAVAILABLE:
		return "platform unavailable, nothing was sent";
	case PLATFORM_ERROR_UNKNOWN:
		return "no answer from the platform";
	case PLATFORM_ERROR_MALFORMED:
		return "malformed message";
	case PLATFORM_ERROR_CONFLICT:
		return "the revision is no longer current";
	case PLATFORM_ERROR_TOO_LARGE:
		return "message too large";
	default:
		return "unknown error";
	}
}
