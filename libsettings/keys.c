#include "internal.h"

#include <string.h>

#define AT(field) offsetof(settings_t, field)
#define NAME(section, key, field)                                        \
	{                                                                \
		section, key, SETTINGS_KIND_NAME, AT(field), NULL, 1, 63 \
	}
#define TEXT(section, key, field, default_value, min, max)                  \
	{                                                                   \
		section, key, SETTINGS_KIND_TEXT, AT(field), default_value, \
			min, max                                            \
	}
#define ENDPOINT(section, key, field, default_value)             \
	{                                                        \
		section, key, SETTINGS_KIND_ENDPOINT, AT(field), \
			default_value, 0, 0                      \
	}
#define NUMBER(section, key, field, default_value, min, max)                  \
	{                                                                     \
		section, key, SETTINGS_KIND_UINT32, AT(field), default_value, \
			min, max                                              \
	}
#define MS(section, key, field, default_value, min, max)                       \
	{                                                                      \
		section, key, SETTINGS_KIND_MS, AT(field), default_value, min, \
			max                                                    \
	}

const settings_key_t settings_keys[SETTINGS_KEY_COUNT] = {
	NAME("instance", "name", name),
	NAME("instance", "domain", domain),
	ENDPOINT("caller", "listen", caller, NULL),
	ENDPOINT("operator", "listen", operator_endpoint, NULL),
	ENDPOINT("peer", "listen", peer, NULL),
	ENDPOINT("peer", "advertise", peer_advertise, ""),
	ENDPOINT("peer", "relay", relay, ""),
	{ "peer", "seeds", SETTINGS_KIND_SEEDS, AT(seeds), "", 0,
	  SETTINGS_SEEDS_MAX },
	NUMBER("peer", "message_max_bytes", peer_message_max_bytes, "1048576",
	       65536, 16777216),
	ENDPOINT("platform", "address", platform, NULL),
	ENDPOINT("platform", "instance_list", instance_list, ""),
	TEXT("platform", "prefix", platform_prefix, "/hornbeamtack", 1, 63),
	MS("platform", "timeout_ms", platform_timeout_ms, "1000", 50, 60000),
	/* The default is below the 3 s after which a target that the list shows
	 * as leaving must get no new work. */
	MS("platform", "list_interval_ms", list_interval_ms, "2000", 500,
	   600000),
	TEXT("session", "secret", session_secret, NULL, 16, 127),
	NUMBER("limits", "request_max_bytes", request_max_bytes, "65536", 1024,
	       1048576),
	NUMBER("limits", "callers_max", callers_max, "10000", 1, 1000000),
	NUMBER("limits", "in_flight_max", in_flight_max, "4096", 1, 1000000),
	MS("limits", "deadline_max_ms", deadline_max_ms, "30000", 10, 600000),
	MS("limits", "drain_ms", drain_ms, "10000", 0, 600000),
	NUMBER("limits", "retry_permille", retry_permille, "100", 0, 1000),
	/* The defaults suit the smallest machines that are deployed. */
	NUMBER("limits", "memory_mb", memory_mb, "160", 16, 1048576),
	NUMBER("limits", "descriptors", descriptors, "4300", 64, 1000000),
	MS("failover", "status_interval_ms", status_interval_ms, "100", 10,
	   10000),
	MS("failover", "detect_ms", detect_ms, "600", 50, 60000),
	MS("failover", "probe_ms", probe_ms, "200", 10, 60000),
	MS("failover", "step_timeout_ms", step_timeout_ms, "300", 10, 60000),
	MS("failover", "stagger_ms", stagger_ms, "100", 0, 60000),
	MS("membership", "period_ms", probe_period_ms, "250", 20, 60000),
	MS("membership", "timeout_ms", probe_timeout_ms, "100", 10, 60000),
	MS("membership", "suspicion_ms", suspicion_ms, "1000", 50, 600000),
	NUMBER("membership", "members_max", members_max, "4096", 2, 65536),
	TEXT("target", "user", target_user, "hornbeamtack", 1, 63),
	TEXT("target", "control_user", target_control_user, "hornbeamtack", 1,
	     63),
	TEXT("target", "database", target_database, "ledger", 1, 63),
	NUMBER("target", "connects_per_second", connects_per_second, "10", 1,
	       1000),
	MS("target", "connect_timeout_ms", connect_timeout_ms, "500", 10,
	   60000),
	MS("target", "idle_ms", idle_ms, "60000", 100, 3600000),
	NUMBER("trace", "sample_permille", trace_sample_permille, "1000", 0,
	       1000),
	ENDPOINT("trace", "collector", collector, ""),
	ENDPOINT("gateway", "promotion", promotion, ""),
	/* How long a promotion waits for a proxy that does not answer while a
	 * majority of the voters does. The time is enough for two reads of the
	 * store and one lost answer. */
	MS("gateway", "grant_ms", grant_ms, "1500", 500, 60000),
	/* Longest outage of the store during which promises of peers keep the
	 * grants valid. A promotion waits for as long if no majority of the
	 * voters answers. */
	MS("gateway", "grant_life_ms", grant_life_ms, "8000", 500, 60000),
	{ "gateway", "grace_s", SETTINGS_KIND_SECONDS, AT(grace_ms), "6", 1000,
	  600000 },
	/* Not set: limits of tenants are not enforced. */
	{ "quota", "window_s", SETTINGS_KIND_SECONDS, AT(quota_window_ms), "0",
	  0, 600000 },
	{ "quota", "overage", SETTINGS_KIND_PERMILLE,
	  AT(quota_overage_permille), "0", 0, 1000 },
	NUMBER("quota", "slack", quota_slack, "0", 0, 1000000),
	{ "quota", "domains", SETTINGS_KIND_DOMAINS, AT(quota_domains), "", 0,
	  SETTINGS_DOMAINS_MAX },
	{ "log", "level", SETTINGS_KIND_LEVEL, AT(log_level), "info", 0, 7 },
};

/*
 * Returns the index of a key in settings_keys, or -1 if there is none.
 */
int settings_key_find(const char *section, const char *key)
{
	int i;

	for (i = 0; i < SETTINGS_KEY_COUNT; i++) {
		if (strcmp(settings_keys[i].section, section) == 0 &&
		    strcmp(settings_keys[i].key, key) == 0)
			return i;
	}
	return -1;
}

/*
 * Tells whether a section has any keys.
 */
bool settings_section_exists(const char *section)
{
	int i;

	for (i = 0; i < SETTINGS_KEY_COUNT; i++) {
		if (strcmp(settings_keys[i].section, section) == 0)
			return true;
	}
	return false;
}
