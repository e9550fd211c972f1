#include "internal.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Returns the port after the last colon of text, or 0 if it is not valid. The
 * port is checked here because libevent's parser ignores characters after its
 * digits.
 */
static uint16_t parse_port(const char *text)
{
	const char *colon = strrchr(text, ':');
	const char *digits = colon ? colon + 1 : "";
	size_t length = strlen(digits);
	long port;

	if (length == 0 || length > 5 || strspn(digits, "0123456789") != length)
		return 0;
	port = strtol(digits, NULL, 10);
	return port <= UINT16_MAX ? (uint16_t)port : 0;
}

/*
 * Writes the IP address of a socket address to the endpoint's address in
 * canonical form. Returns the port of the socket address, or 0 on failure.
 */
static uint16_t format_address(const struct sockaddr_storage *storage,
			       settings_endpoint_t *endpoint)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)storage;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)storage;
	bool is_v4 = storage->ss_family == AF_INET;
	const void *address = is_v4 ? (const void *)&v4->sin_addr
				    : (const void *)&v6->sin6_addr;

	if (!evutil_inet_ntop(storage->ss_family, address, endpoint->address,
			      sizeof(endpoint->address)))
		return 0;
	return ntohs(is_v4 ? v4->sin_port : v6->sin6_port);
}

/*
 * Parses an IP address and a port from 1 to 65535, as "127.0.0.1:7000" or
 * "[::1]:7000". The address is stored in its canonical form, without brackets.
 *
 * Returns SETTINGS_OK, or SETTINGS_ERROR_INVALID, in which case *endpoint is
 * unchanged.
 */
int settings_endpoint_parse(const char *text, settings_endpoint_t *endpoint)
{
	settings_endpoint_t parsed = { .port = parse_port(text) };
	struct sockaddr_storage storage;
	int length = sizeof(storage);

	memset(&storage, 0, sizeof(storage));
	if (parsed.port == 0 ||
	    text[strspn(text, "0123456789abcdefABCDEF.:[]")] != '\0')
		return SETTINGS_ERROR_INVALID;
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&storage,
				       &length) != 0)
		return SETTINGS_ERROR_INVALID;
	if (format_address(&storage, &parsed) != parsed.port)
		return SETTINGS_ERROR_INVALID;
	*endpoint = parsed;
	return SETTINGS_OK;
}

/*
 * Writes an endpoint as "ip:port". An IPv6 number is put in brackets, because
 * its last group could otherwise be mistaken for the port. Returns text.
 */
const char *settings_endpoint_format(const settings_endpoint_t *endpoint,
				     char text[SETTINGS_ENDPOINT_SIZE])
{
	bool v6 = strchr(endpoint->address, ':') != NULL;

	snprintf(text, SETTINGS_ENDPOINT_SIZE, v6 ? "[%s]:%u" : "%s:%u",
		 endpoint->address, endpoint->port);
	return text;
}

/*
 * Tells whether an endpoint's address is a wildcard, which stands for all
 * addresses of the instance.
 */
bool settings_endpoint_is_wildcard(const settings_endpoint_t *endpoint)
{
	return strcmp(endpoint->address, "0.0.0.0") == 0 ||
	       strcmp(endpoint->address, "::") == 0;
}
