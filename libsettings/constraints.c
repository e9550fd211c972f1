#include "internal.h"

#include <string.h>

typedef struct {
	const settings_t *settings;
	const settings_location_t *locations;
	settings_faults_t *faults;
} constraint_check_t;

static const settings_location_t *location_of(const constraint_check_t *check,
					      const char *section,
					      const char *key)
{
	return &check->locations[settings_key_find(section, key)];
}

/*
 * Reports that the values of two keys conflict, at the line of the first key,
 * or of the other key if the file contains only that one. Reports nothing if
 * one of the values is invalid or missing, because that was reported before.
 */
static void report_conflict(const constraint_check_t *check,
			    const char *section, const char *key,
			    const char *other_section, const char *other_key,
			    const char *text)
{
	const settings_location_t *location = location_of(check, section, key);
	const settings_location_t *other =
		location_of(check, other_section, other_key);

	if (location->invalid || other->invalid)
		return;
	settings_faults_add(check->faults,
			    location->line != 0 ? location->line : other->line,
			    section, key, text);
}

/*
 * Tells whether two endpoints cannot be listened on at the same time.
 */
static bool is_same_listener(const settings_endpoint_t *a,
			     const settings_endpoint_t *b)
{
	return a->port == b->port && (strcmp(a->address, b->address) == 0 ||
				      settings_endpoint_is_wildcard(a) ||
				      settings_endpoint_is_wildcard(b));
}

static void check_listeners(const constraint_check_t *check)
{
	const settings_t *settings = check->settings;

	if (is_same_listener(&settings->operator_endpoint, &settings->caller))
		report_conflict(check, "operator", "listen", "caller", "listen",
				"must differ from listen in [caller]");
	if (is_same_listener(&settings->peer, &settings->caller))
		report_conflict(check, "peer", "listen", "caller", "listen",
				"must differ from listen in [caller]");
	if (is_same_listener(&settings->peer, &settings->operator_endpoint))
		report_conflict(check, "peer", "listen", "operator", "listen",
				"must differ from listen in [operator]");
	if (settings->relay.port != 0 &&
	    (is_same_listener(&settings->relay, &settings->caller) ||
	     is_same_listener(&settings->relay, &settings->peer) ||
	     is_same_listener(&settings->relay, &settings->operator_endpoint)))
		report_conflict(check, "peer", "relay", "peer", "listen",
				"must differ from listen in [caller], "
				"[operator] and [peer]");
	if (settings->relay.port != 0 &&
	    settings_endpoint_is_wildcard(&settings->relay))
		report_conflict(check, "peer", "relay", "peer", "listen",
				"must be an address that peers can connect to, "
				"not a wildcard");
	if (settings_endpoint_is_wildcard(&settings->peer_advertise))
		report_conflict(
			check, "peer", "advertise", "peer", "listen",
			"must be an address that peers can connect to, not a "
			"wildcard (default: listen)");
}

/*
 * Reports each pair of keys whose values are allowed by themselves but not
 * together. The defaults must have been set before.
 */
void settings_constraints_check(const settings_t *settings,
				const settings_location_t *locations,
				settings_faults_t *faults)
{
	constraint_check_t check = { settings, locations, faults };

	check_listeners(&check);
	if (settings->detect_ms < 2 * settings->status_interval_ms)
		report_conflict(&check, "failover", "detect_ms", "failover",
				"status_interval_ms",
				"must be at least 2 * status_interval_ms");
	if (settings->probe_timeout_ms >= settings->probe_period_ms)
		report_conflict(&check, "membership", "timeout_ms",
				"membership", "period_ms",
				"must be below period_ms");
}
