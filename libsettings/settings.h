#ifndef HORNBEAMTACK_SETTINGS_H
#define HORNBEAMTACK_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

#define SETTINGS_TEXT_SIZE 128
#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_DOMAINS_MAX 16
#define SETTINGS_ENDPOINT_SIZE (SETTINGS_TEXT_SIZE + 8)

typedef struct {
	char address[SETTINGS_TEXT_SIZE]; /* IP address */
	uint16_t port;
} settings_endpoint_t;

/*
 * The settings of a process. The comments give the section of the INI file, and
 * for each field the key, the default and the allowed range, as "key default,
 * min..max" for a number. A key without a default is required.
 */
typedef struct {
	/* [instance] */
	char name[64]; /* name: 1..63 of a-z 0-9 - . */
	char domain[64]; /* domain, the failure domain: as name */

	/* [caller], [operator], [peer]: listen = ip:port */
	settings_endpoint_t caller;
	settings_endpoint_t operator_endpoint;
	settings_endpoint_t peer;
	/* [peer] advertise = ip:port, default: listen */
	settings_endpoint_t peer_advertise;
	/* [peer] relay = ip:port, where connections to targets are lent to
	 * peers; default: none */
	settings_endpoint_t relay;
	/* [peer] seeds = ip:port ip:port ...; default: none */
	uint32_t seed_count;
	settings_endpoint_t seeds[SETTINGS_SEEDS_MAX];
	uint32_t peer_message_max_bytes; /* message_max_bytes 1048576,
					    65536..16777216 */

	/* [platform] */
	settings_endpoint_t platform; /* address = ip:port */
	settings_endpoint_t instance_list; /* instance_list, default: address */
	char platform_prefix[64]; /* prefix = /hornbeamtack */
	clock_ms_t platform_timeout_ms; /* timeout_ms 1000, 50..60000 */
	clock_ms_t list_interval_ms; /* list_interval_ms 2000, 500..600000 */

	/* [session] secret: 16..127 characters, the same on every proxy */
	char session_secret[SETTINGS_TEXT_SIZE];

	/* [limits] */
	uint32_t request_max_bytes; /* request_max_bytes 65536, 1024..1048576 */
	uint32_t callers_max; /* callers_max 10000, 1..1000000 */
	uint32_t in_flight_max; /* in_flight_max 4096, 1..1000000 */
	clock_ms_t deadline_max_ms; /* deadline_max_ms 30000, 10..600000 */
	clock_ms_t drain_ms; /* drain_ms 10000, 0..600000 */
	uint32_t retry_permille; /* retry_permille 100, 0..1000 */
	/* Memory and descriptors that the machine gives to the process, of
	 * which the gateway lets callers use a part. */
	uint32_t memory_mb; /* memory_mb 160, 16..1048576 */
	uint32_t descriptors; /* descriptors 4300, 64..1000000 */

	/* [failover] */
	clock_ms_t status_interval_ms; /* status_interval_ms 100, 10..10000 */
	clock_ms_t detect_ms; /* detect_ms 600, 50..60000; >= 2 intervals */
	clock_ms_t probe_ms; /* probe_ms 200, 10..60000 */
	clock_ms_t step_timeout_ms; /* step_timeout_ms 300, 10..60000 */
	clock_ms_t stagger_ms; /* stagger_ms 100, 0..60000 */

	/* [membership] */
	clock_ms_t probe_period_ms; /* period_ms 250, 20..60000 */
	clock_ms_t probe_timeout_ms; /* timeout_ms 100, 10..60000; < period */
	clock_ms_t suspicion_ms; /* suspicion_ms 1000, 50..600000 */
	uint32_t members_max; /* members_max 4096, 2..65536 */

	/* [target] */
	char target_user[64]; /* user = hornbeamtack */
	char target_control_user[64]; /* control_user = hornbeamtack */
	char target_database[64]; /* database = ledger */
	uint32_t connects_per_second; /* connects_per_second 10, 1..1000 */
	clock_ms_t connect_timeout_ms; /* connect_timeout_ms 500, 10..60000 */
	clock_ms_t idle_ms; /* idle_ms 60000, 100..3600000 */

	/* [trace] */
	uint32_t trace_sample_permille; /* sample_permille 1000, 0..1000 */
	settings_endpoint_t collector; /* collector = ip:port, default: none */
	bool collector_set;

	/* [gateway], for sessions on connections */
	settings_endpoint_t promotion; /* promotion = ip:port, where orders to
					  promote are sent; default: none */
	clock_ms_t grant_ms; /* grant_ms 1500, 500..60000 */
	clock_ms_t grant_life_ms; /* grant_life_ms 8000, 500..60000 */
	clock_ms_t grace_ms; /* grace_s 6, 1..600: from SIGTERM to SIGKILL */

	/* [quota]: limits of tenants */
	clock_ms_t quota_window_ms; /* window_s 0, 0..600; 0: not enforced */
	uint32_t quota_overage_permille; /* overage 0, 0..1 */
	uint32_t quota_slack; /* slack 0, 0..1000000 */
	/* domains = name name ...; default: none */
	uint32_t quota_domain_count;
	char quota_domains[SETTINGS_DOMAINS_MAX][64];

	/* [log] */
	int32_t log_level; /* level = info; one of the syslog names */
} settings_t;

/* An error in a settings file. */
typedef struct {
	uint32_t line; /* 0 if the fault belongs to no line */
	char section[64];
	char key[64];
	char text[192]; /* what is wrong, with the allowed range */
} settings_fault_t;

/* Maximum number of reported faults. The last one then says that there are
 * more. */
#define SETTINGS_FAULTS_MAX 64

typedef struct {
	size_t count;
	settings_fault_t faults[SETTINGS_FAULTS_MAX];
} settings_faults_t;

enum {
	SETTINGS_OK = 0,
	SETTINGS_ERROR_FILE = -1,
	SETTINGS_ERROR_INVALID = -2,
};

int settings_load(const char *path, settings_t *settings,
		  settings_faults_t *faults);
int settings_parse(const char *text, settings_t *settings,
		   settings_faults_t *faults);
/* Writes an endpoint in the form that settings_endpoint_parse() reads. */
const char *settings_endpoint_format(const settings_endpoint_t *endpoint,
				     char text[SETTINGS_ENDPOINT_SIZE]);
int settings_endpoint_parse(const char *text, settings_endpoint_t *endpoint);
const char *settings_error_text(int error);

#endif
