#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "internal.h"
#include "libjson/text.h"
#include "platform/messages.h"

/* Key that is read to renew the grants. Each change that may end a grant writes
 * it again, so that its revision tells whether the records known here are
 * current. */
#define EPOCH_KEY GATEWAY_PREFIX "epoch"
#define EPOCH_VALUE "{}"
/* Longest wait of a watch of the configuration. A connection that no longer
 * delivers hides changes for no longer than this, which leaves time to list the
 * keys within the 3 s in which a configuration must be in force. */
#define CONFIGURATION_WATCH_WAIT_MS 2000
/* Longest wait of a watch of the targets: a target that leaves may still be
 * used for 7 s. */
#define TARGETS_WATCH_WAIT_MS 3000
/* Least time between the starts of two watches of the configuration or of the
 * targets. Configurations change as often as every 60 ms, and targets that
 * start together register over seconds. This is a small part of the 3 s in
 * which a configuration must be in force. */
#define PLATFORM_WATCH_INTERVAL_MS 200
/* Least time between the starts of two watches of the records. A change after a
 * quiet time is still seen at once. Without it, each of 300 proxies that start
 * together would start a new watch for each registration. */
#define RECORDS_WATCH_INTERVAL_MS 50
/* Longest wait of a watch of the records. It may be long, because the epoch
 * shows when the watch misses a change. */
#define RECORDS_WATCH_WAIT_MS 6000
/* The epoch is read this long after the last answer, to renew the grants: twice
 * within a grant of 1.5 s. */
#define EPOCH_READ_INTERVAL_MS 700
/* The watch shows a change of the epoch within the time of a call. After this
 * time the watch is taken to be stuck, and the records are listed. */
#define EPOCH_WATCH_DELAY_MAX_MS 150
/* If no proxy of the failure domain has been registered for this long, the
 * store is likely to be unreachable, and each process reads for itself. */
#define READER_WAIT_MS 1000

/*
 * Returns true if the records known here show this very process as registered,
 * and not another one of the same name.
 */
bool gateway_control_is_registered(const gateway_t *gateway)
{
	return registry_process_is_registered(gateway->proxies,
					      gateway->settings->name,
					      gateway->incarnation);
}

/*
 * Adds a write of the epoch to a change. Each change that ends grants, or that
 * decides who counts for ending them, must have it: each fence, and each change
 * of the registered proxies or of the voters.
 */
void gateway_control_change_epoch(store_change_t *change)
{
	change->writes[change->write_count++] =
		(store_write_t){ EPOCH_KEY, EPOCH_VALUE };
}

/*
 * Returns true if the mirror has not reached this proxy's last registration
 * yet.
 */
static bool is_registration_unseen(const gateway_t *gateway)
{
	return mirror_revision(gateway->record_mirror) <
	       gateway->registration_revision;
}

static void on_registered(void *context, int error,
			  const store_answer_t *answer, clock_ms_t sent_ms)
{
	gateway_t *gateway = context;

	(void)sent_ms;
	gateway->registration_pending = false;
	if (error != STORE_OK) {
		gateway->register_retry_ms =
			gateway_now(gateway) + GATEWAY_CHANGE_RETRY_MS;
		LOG_EVENT(gateway->log, LOG_LEVEL_WARNING,
			  "registration-failed",
			  LOG_TEXT("error", store_error_name(error)));
	} else {
		gateway->registration_revision = answer->revision;
		gateway->registered_ms = gateway_now(gateway);
	}
	gateway->epoch_due_ms = 0;
}

/*
 * Writes this proxy's entry, which replaces the entry of an earlier process of
 * the same name.
 */
static void register_proxy(gateway_t *gateway)
{
	store_change_t change = { 0 };
	char key[GATEWAY_KEY_SIZE];
	char value[GATEWAY_KEY_SIZE + 2 * SETTINGS_ENDPOINT_SIZE + 128];
	char peer[SETTINGS_ENDPOINT_SIZE];
	char relay[SETTINGS_ENDPOINT_SIZE] = "";

	if (gateway->registration_pending || gateway->deregistered ||
	    gateway_now(gateway) < gateway->register_retry_ms ||
	    is_registration_unseen(gateway) || !gateway_era_is_open(gateway) ||
	    !mirror_complete(gateway->record_mirror))
		return;
	snprintf(key, sizeof(key), GATEWAY_PROXY_PREFIX "%s",
		 gateway->settings->name);
	if (gateway->settings->relay.port != 0)
		settings_endpoint_format(&gateway->settings->relay, relay);
	snprintf(value, sizeof(value),
		 "{\"incarnation\":%" PRIu64
		 ",\"peer\":\"%s\",\"domain\":\"%s\"%s%s%s}",
		 gateway->incarnation,
		 settings_endpoint_format(&gateway->settings->peer, peer),
		 gateway->settings->domain, relay[0] ? ",\"relay\":\"" : "",
		 relay, relay[0] ? "\"" : "");
	change.writes[change.write_count++] = (store_write_t){ key, value };
	gateway_control_change_epoch(&change);
	gateway->registration_pending =
		gateway_era_write(gateway, &change, on_registered, gateway) ==
		STORE_OK;
}

/*
 * Renews the grants of all groups that are not fenced. The records known here
 * were current when a read was sent at sent_ms. The read must have been sent
 * after this process was registered: a promotion waits only for the stop
 * reports of the proxies that are registered when it writes its fence.
 */
static void confirm_records(gateway_t *gateway, clock_ms_t sent_ms)
{
	group_t *group;
	group_t *next;

	gateway->records_confirmed_ms = sent_ms;
	if (!gateway_control_is_registered(gateway)) {
		/* The read was sent before the registration took effect. */
		if (is_registration_unseen(gateway))
			return;
		gateway->registered_ms = 0;
		register_proxy(gateway);
	} else if (gateway->registered_ms == 0) {
		/* The next read renews the grants. */
		gateway->registered_ms = gateway_now(gateway);
		gateway->epoch_due_ms = 0;
	}
	if (gateway->registered_ms == 0 || sent_ms < gateway->registered_ms ||
	    gateway->deregistered)
		return;
	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.fence != 0 ||
		    group->record.era != gateway->era.number)
			continue;
		grant_renew(&group->grant, &group->record, sent_ms,
			    &group->promotion.options);
		gateway_group_schedule_dispatch(group);
	}
}

/*
 * Handles the answer to a read of the epoch. If the mirror has reached the
 * epoch's revision, the records known here are current: a fence or a change of
 * the registered proxies after it would have written the epoch again. Otherwise
 * the mirror is about to reach it, and on_records_advanced() goes on.
 */
static void on_epoch(void *context, int error, const store_answer_t *answer,
		     clock_ms_t sent_ms)
{
	gateway_t *gateway = context;
	clock_ms_t now_ms = gateway_now(gateway);
	uint64_t epoch = 0;
	size_t i;

	gateway->epoch_read_pending = false;
	if (error != STORE_OK)
		return;
	/* Counted from the answer, so that proxies that share a read send the
	 * next one together. */
	if (gateway->epoch_due_ms != 0)
		gateway->epoch_due_ms = now_ms + EPOCH_READ_INTERVAL_MS;
	gateway_note_confirmed(gateway, sent_ms);
	for (i = 0; i < answer->count; i++) {
		if (strcmp(answer->items[i].key, EPOCH_KEY) == 0)
			epoch = answer->items[i].revision;
	}
	gateway->epoch_pending = 0;
	/* The records of a further era have not been read yet. */
	if (store_revision_era(answer->revision) >
	    store_revision_era(mirror_revision(gateway->record_mirror)))
		epoch = answer->revision;
	if (epoch <= mirror_revision(gateway->record_mirror)) {
		confirm_records(gateway, sent_ms);
		return;
	}
	gateway->epoch_pending = epoch;
	gateway->epoch_sent_ms = sent_ms;
	gateway->epoch_seen_ms = now_ms;
}

/*
 * Called when the mirror of the records has reached a further revision; goes on
 * with an epoch that waited for it.
 */
static void on_records_advanced(void *context)
{
	gateway_t *gateway = context;

	if (!gateway->records_read) {
		gateway->records_read = true;
		gateway_peers_update(gateway);
		LOG_EVENT(
			gateway->log, LOG_LEVEL_NOTICE, "records-read",
			LOG_UNSIGNED("proxies",
				     registry_proxy_count(gateway->proxies)),
			LOG_UNSIGNED("groups", HASH_COUNT(gateway->groups)),
			LOG_UNSIGNED("revision",
				     mirror_revision(gateway->record_mirror)));
	}
	gateway_era_records_read(gateway);
	if (gateway->epoch_pending == 0 ||
	    gateway->epoch_pending > mirror_revision(gateway->record_mirror))
		return;
	gateway->epoch_pending = 0;
	confirm_records(gateway, gateway->epoch_sent_ms);
}

/*
 * Reads the epoch when it is due. Lists the records if the watch has not shown
 * the change that the last epoch implies.
 */
static void renew_epoch(gateway_t *gateway, clock_ms_t now_ms)
{
	if (gateway->epoch_pending != 0 &&
	    now_ms >= gateway->epoch_seen_ms + EPOCH_WATCH_DELAY_MAX_MS) {
		gateway->epoch_seen_ms = now_ms;
		mirror_refresh(gateway->record_mirror);
	}
	if (now_ms < gateway->epoch_due_ms || gateway->epoch_read_pending ||
	    !mirror_complete(gateway->record_mirror))
		return;
	gateway->epoch_due_ms = now_ms + EPOCH_READ_INTERVAL_MS;
	gateway->epoch_read_pending =
		store_range(gateway->store, EPOCH_KEY, NULL, on_epoch,
			    gateway) == STORE_OK;
}

static void on_reachability_changed(void *context, int error)
{
	gateway_t *gateway = context;

	LOG_EVENT(gateway->log,
		  error == STORE_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
		  error == STORE_OK ? "store-reached" : "store-lost",
		  LOG_TEXT("error", store_error_name(error)));
}

/*
 * Logs an item of the store that a mirror has not applied.
 */
static void on_outdated(void *context, const char *key, uint64_t revision,
			uint64_t known)
{
	gateway_t *gateway = context;

	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "store-item-outdated",
		  LOG_TEXT("key", key), LOG_UNSIGNED("revision", revision),
		  LOG_UNSIGNED("known", known));
}

/*
 * Begins a further era of the store, and reads all keys again.
 */
static void on_era_changed(void *context, uint64_t previous)
{
	gateway_t *gateway = context;

	LOG_EVENT(gateway->log,
		  previous == 0 ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
		  "store-era", LOG_UNSIGNED("era", store_era(gateway->store)),
		  LOG_UNSIGNED("previous", previous),
		  LOG_UNSIGNED("records",
			       mirror_revision(gateway->record_mirror)));
	gateway_era_begin(gateway);
	/* Changes since the copy are missing from what the mirrors know, and
	 * may be shown by none of their watches. */
	mirror_refresh(gateway->record_mirror);
	if (gateway->configuration_mirror)
		mirror_refresh(gateway->configuration_mirror);
	if (gateway->target_mirror)
		mirror_refresh(gateway->target_mirror);
}

/*
 * Tells whether a configuration replaces the present one: it is of a higher
 * version, or another one of the same version from a further era of the store,
 * which has lost the first. Versions never go back: the operator writes again
 * what the store has lost.
 */
static bool replaces(const configuration_t *next,
		     const configuration_t *present)
{
	return next->version > present->version ||
	       (next->version == present->version &&
		next->digest != present->digest &&
		store_revision_era(next->revision) >
			store_revision_era(present->revision));
}

/*
 * Applies a configuration of a higher version. A malformed one is logged, and
 * the present one stays in force. Returns STORE_OK or STORE_ERROR_MEMORY.
 */
static int on_configuration_changed(void *context, const char *key,
				    const char *text, size_t size,
				    uint64_t revision)
{
	gateway_t *gateway = context;
	configuration_t next;
	int error;

	if (strcmp(key, PLATFORM_KEY_CONFIGURATION) != 0 || !text)
		return STORE_OK;
	error = platform_configuration_decode(text, size, &next);
	if (error == JSON_TEXT_ERROR_MEMORY)
		return STORE_ERROR_MEMORY;
	if (error != JSON_TEXT_OK) {
		LOG_EVENT(gateway->log, LOG_LEVEL_ERROR,
			  "configuration-malformed",
			  LOG_UNSIGNED("revision", revision));
		return STORE_OK;
	}
	next.revision = revision;
	next.digest = XXH3_64bits(text, size);
	if (!replaces(&next, &gateway->configuration)) {
		LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
			  "configuration-outdated",
			  LOG_UNSIGNED("version", next.version),
			  LOG_UNSIGNED("in_force",
				       gateway->configuration.version),
			  LOG_UNSIGNED("revision", revision));
		gateway_configuration_clear(&next);
		return STORE_OK;
	}
	gateway_configuration_clear(&gateway->configuration);
	gateway->configuration = next;
	gateway_owners_changed(gateway);
	counter_family_set(gateway->counters.version, NULL,
			   (double)next.version);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "configuration-in-force",
		  LOG_UNSIGNED("version", next.version),
		  LOG_UNSIGNED("revision", revision),
		  LOG_UNSIGNED("routes", HASH_COUNT(next.routes)),
		  LOG_UNSIGNED("services", HASH_COUNT(next.services)),
		  LOG_UNSIGNED("tenants",
			       next.tenants ? tenant_table_count(next.tenants)
					    : 0));
	gateway_tenant_close_denied(gateway);
	return STORE_OK;
}

/*
 * Applies the entry of a target. A malformed entry counts as removed. Returns
 * STORE_OK or STORE_ERROR_MEMORY.
 */
static int on_target_changed(void *context, const char *key, const char *text,
			     size_t size, uint64_t revision)
{
	gateway_t *gateway = context;
	target_entry_t entry;
	const char *id = key + strlen(PLATFORM_PREFIX_TARGETS);
	int error;

	if (strncmp(key, PLATFORM_PREFIX_TARGETS,
		    strlen(PLATFORM_PREFIX_TARGETS)) != 0)
		return STORE_OK;
	if (!text)
		return gateway_group_target_changed(gateway, id, NULL,
						    revision);
	error = platform_target_decode(key, text, size, &entry);
	if (error == JSON_TEXT_ERROR_MEMORY)
		return STORE_ERROR_MEMORY;
	if (error == JSON_TEXT_OK)
		return gateway_group_target_changed(gateway, id, &entry,
						    revision);
	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "target-entry-unusable",
		  LOG_TEXT("key", key), LOG_UNSIGNED("revision", revision));
	return gateway_group_target_changed(gateway, id, NULL, revision);
}

/*
 * Returns true once it is known whether another proxy of the failure domain
 * reads for this one.
 */
static bool is_reader_known(const gateway_t *gateway, clock_ms_t now_ms)
{
	return mirror_complete(gateway->record_mirror) &&
	       (registry_domain_has_proxy(gateway->proxies,
					  gateway->settings->domain) ||
		now_ms >= gateway->started_ms + READER_WAIT_MS);
}

/*
 * Starts to mirror the configuration and the targets. Processes that start
 * together would each list them from the store. They wait until one of their
 * failure domain is registered, and read through it.
 */
static void start_platform_mirrors(gateway_t *gateway, clock_ms_t now_ms)
{
	const mirror_options_t configuration_options = {
		PLATFORM_PREFIX_CONFIGURATION, CONFIGURATION_WATCH_WAIT_MS,
		PLATFORM_WATCH_INTERVAL_MS
	};
	const mirror_options_t target_options = { PLATFORM_PREFIX_TARGETS,
						  TARGETS_WATCH_WAIT_MS,
						  PLATFORM_WATCH_INTERVAL_MS };
	const mirror_handlers_t configuration = {
		.changed = on_configuration_changed,
		.outdated = on_outdated,
		.reachability_changed = on_reachability_changed
	};
	const mirror_handlers_t targets = { .changed = on_target_changed,
					    .outdated = on_outdated,
					    .reachability_changed =
						    on_reachability_changed };

	if ((gateway->configuration_mirror && gateway->target_mirror) ||
	    !is_reader_known(gateway, now_ms))
		return;
	if (!gateway->configuration_mirror)
		gateway->configuration_mirror = mirror_new(
			gateway->store, gateway->base, &configuration_options,
			&configuration, gateway);
	if (!gateway->target_mirror)
		gateway->target_mirror =
			mirror_new(gateway->store, gateway->base,
				   &target_options, &targets, gateway);
	if (!gateway->configuration_mirror || !gateway->target_mirror)
		LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "mirror-failed",
			  LOG_TEXT("error",
				   store_error_name(STORE_ERROR_MEMORY)));
}

/*
 * Starts to mirror the records; the other mirrors follow in
 * gateway_control_tick(). Returns GATEWAY_OK or GATEWAY_ERROR_MEMORY.
 */
int gateway_control_start(gateway_t *gateway)
{
	const mirror_options_t options = { GATEWAY_PREFIX,
					   RECORDS_WATCH_WAIT_MS,
					   RECORDS_WATCH_INTERVAL_MS };
	const mirror_handlers_t handlers = { .changed = gateway_records_changed,
					     .advanced = on_records_advanced,
					     .outdated = on_outdated,
					     .reachability_changed =
						     on_reachability_changed };

	store_set_era_handler(gateway->store, on_era_changed, gateway);
	gateway->record_mirror = mirror_new(gateway->store, gateway->base,
					    &options, &handlers, gateway);
	return gateway->record_mirror ? GATEWAY_OK : GATEWAY_ERROR_MEMORY;
}

static void on_deregistered(void *context, int error,
			    const store_answer_t *answer, clock_ms_t sent_ms)
{
	gateway_t *gateway = context;

	(void)answer;
	(void)sent_ms;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "deregistered",
		  LOG_TEXT("error", store_error_name(error)));
}

/*
 * Ends this proxy's grants and removes its entry, when the process is about to
 * end. The removal expects the revision that this process wrote: a call without
 * an answer may take effect seconds later, when the next process of the name
 * has registered and holds grants.
 */
void gateway_control_deregister(gateway_t *gateway)
{
	store_change_t change = { .removed_count = 1 };
	char key[GATEWAY_KEY_SIZE];
	group_t *group;
	group_t *next;

	if (gateway->deregistered)
		return;
	gateway->deregistered = true;
	HASH_ITER(hh, gateway->groups, group, next)
		grant_end(&group->grant);
	snprintf(key, sizeof(key), GATEWAY_PROXY_PREFIX "%s",
		 gateway->settings->name);
	change.removed[0] = key;
	change.expected[change.expected_count++] = (store_expectation_t){
		key,
		gateway_control_is_registered(gateway)
			? mirror_expected_revision(gateway->record_mirror, key)
			: gateway->registration_revision
	};
	gateway_control_change_epoch(&change);
	gateway_era_write(gateway, &change, on_deregistered, gateway);
}

/*
 * Registers this proxy when it is not, starts the mirrors, and reads the epoch
 * to renew the grants. To be called in each tick.
 */
void gateway_control_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	gateway_era_tick(gateway, now_ms);
	if (!gateway_control_is_registered(gateway))
		register_proxy(gateway);
	start_platform_mirrors(gateway, now_ms);
	renew_epoch(gateway, now_ms);
}
