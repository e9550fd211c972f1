#include <event2/util.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * Parses "ip:port" or "[ip]:port".
 */
static bool parse_proxy(const char *text, size_t length, bench_proxy_t *proxy)
{
	struct sockaddr_storage address;
	int address_length = sizeof(address);
	char name[BENCH_ADDRESS_SIZE];
	char *start = name;
	char *colon;
	char *end;

	if (length >= sizeof(name))
		return false;
	memcpy(name, text, length);
	name[length] = '\0';
	if (evutil_parse_sockaddr_port(name, (struct sockaddr *)&address,
				       &address_length) != 0)
		return false;
	snprintf(proxy->name, sizeof(proxy->name), "%s", name);
	colon = strrchr(name, ':');
	if (!colon)
		return false;
	proxy->port = (uint16_t)strtoul(colon + 1, NULL, 10);
	end = colon;
	if (*start == '[') {
		start++;
		end = strchr(name, ']');
	}
	if (!end || (end != colon && end + 1 != colon))
		return false;
	*end = '\0';
	snprintf(proxy->address, sizeof(proxy->address), "%s", start);
	return proxy->port > 0 && *start != '\0';
}

/*
 * Parses "ip:port,ip:port" into the proxies of the options. Returns BENCH_OK or
 * BENCH_ERROR_ADDRESS.
 */
int bench_options_proxies(bench_options_t *options, const char *text)
{
	options->proxy_count = 0;
	while (*text != '\0') {
		size_t length = strcspn(text, ",");

		if (options->proxy_count == BENCH_PROXIES_MAX ||
		    !parse_proxy(text, length,
				 &options->proxies[options->proxy_count]))
			return BENCH_ERROR_ADDRESS;
		options->proxy_count++;
		text += length + (text[length] == ',');
	}
	return options->proxy_count > 0 ? BENCH_OK : BENCH_ERROR_ADDRESS;
}

/*
 * Parses "name,name" into the services of the options. Returns BENCH_OK or
 * BENCH_ERROR_OPTION.
 */
int bench_options_services(bench_options_t *options, const char *text)
{
	options->service_count = 0;
	while (*text != '\0') {
		size_t length = strcspn(text, ",");

		if (length == 0 || length >= BENCH_NAME_SIZE ||
		    options->service_count == BENCH_SERVICES_MAX)
			return BENCH_ERROR_OPTION;
		snprintf(options->services[options->service_count++],
			 BENCH_NAME_SIZE, "%.*s", (int)length, text);
		text += length + (text[length] == ',');
	}
	return options->service_count > 0 ? BENCH_OK : BENCH_ERROR_OPTION;
}

/*
 * Returns the name of a kind of operation in the history.
 */
const char *operation_kind_text(operation_kind_t kind)
{
	switch (kind) {
	case OPERATION_WRITE:
		return "write";
	case OPERATION_READ:
		return "read";
	case OPERATION_OWN_READ:
		return "own-read";
	case OPERATION_OUTCOME:
		return "outcome";
	}
	return "";
}

/*
 * Returns the name of an outcome, as in the interface for callers.
 */
const char *outcome_text(outcome_t outcome)
{
	switch (outcome) {
	case OUTCOME_DONE:
		return "done";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "";
}

/*
 * Returns a short English text for an error of this library.
 */
const char *bench_error_text(int error)
{
	switch (error) {
	case BENCH_OK:
		return "no error";
	case BENCH_ERROR_MEMORY:
		return "out of memory";
	case BENCH_ERROR_ADDRESS:
		return "ip:port expected";
	case BENCH_ERROR_OPTION:
		return "option out of range";
	case BENCH_ERROR_MALFORMED:
		return "malformed history or state";
	case BENCH_ERROR_NO_PRIMARY:
		return "no target is the rightful primary";
	default:
		return "unknown error";
	}
}
