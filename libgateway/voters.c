#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "libjson/text.h"

/* Interval in which the voters are checked. Proxies that start together
 * register within three of them. */
#define VOTERS_INTERVAL_MS 100

static void read_names(const json_t *names, voters_t *voters)
{
	const json_t *name;
	size_t i;

	memset(voters, 0, sizeof(*voters));
	json_array_foreach(names, i, name) {
		if (json_is_string(name))
			voters_add(voters, json_string_value(name));
	}
}

/*
 * Lets promises no longer extend the grants that are held. They were given by
 * the voters of an earlier era of the store; a promotion that was begun then
 * may count on other voters than those that would be asked now.
 */
static void limit_grants(gateway_t *gateway)
{
	group_t *group;
	group_t *next;

	HASH_ITER(hh, gateway->groups, group, next)
		group->grant.limit_ms = group->grant.until_ms;
}

/*
 * Applies the record of the voters; value is NULL if it was removed. A
 * malformed record leaves the known voters in force; the next change replaces
 * it.
 */
void gateway_voters_apply(gateway_t *gateway, const json_t *value,
			  uint64_t revision)
{
	voters_record_t *record = &gateway->voters;
	const json_t *sets = json_object_get(value, "sets");
	const json_t *set;
	const voters_t previous = record->sets[0];
	bool further_era = store_revision_era(revision) >
			   store_revision_era(record->revision);
	size_t i;

	if (!value) {
		memset(record, 0, sizeof(*record));
		limit_grants(gateway);
		return;
	}
	record->revision = revision;
	if (json_array_size(json_array_get(sets, 0)) == 0) {
		LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "record-malformed",
			  LOG_TEXT("key", GATEWAY_VOTERS_KEY));
		return;
	}
	record->count = 0;
	record->seen_ms = gateway_now(gateway);
	json_array_foreach(sets, i, set) {
		if (record->count < VOTERS_SETS_MAX)
			read_names(set, &record->sets[record->count++]);
	}
	if (further_era && !voters_are_equal(&previous, &record->sets[0]))
		limit_grants(gateway);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "voters-in-force",
		  LOG_UNSIGNED("voters", record->sets[0].count),
		  LOG_UNSIGNED("sets", record->count),
		  LOG_UNSIGNED("revision", revision));
}

static json_t *names_of(const voters_t *voters)
{
	json_t *names = json_array();
	int error = 0;
	uint32_t i;

	for (i = 0; i < voters->count; i++)
		error |= json_array_append_new(names,
					       json_string(voters->names[i]));
	if (!error)
		return names;
	json_decref(names);
	return NULL;
}

static void on_written(void *context, int error, const store_answer_t *answer,
		       clock_ms_t sent_ms)
{
	gateway_t *gateway = context;

	(void)answer;
	(void)sent_ms;
	gateway->voters_write_pending = false;
	if (error == STORE_OK)
		return;
	gateway->voters_due_ms = gateway_now(gateway) + GATEWAY_CHANGE_RETRY_MS;
	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "voters-not-written",
		  LOG_TEXT("error", store_error_name(error)));
}

/*
 * Writes the record of the voters, with the expectation that it is as known
 * here.
 */
static void write_voters(gateway_t *gateway, const voters_record_t *next)
{
	json_t *sets = json_array();
	json_t *value = json_pack("{s:o}", "sets", sets);
	char *text;
	int error = 0;
	uint32_t i;
	store_change_t change = {
		.expected = { { GATEWAY_VOTERS_KEY,
				gateway->voters.revision } },
		.expected_count = 1,
		.write_count = 1,
	};

	for (i = 0; i < next->count; i++)
		error |= json_array_append_new(sets, names_of(&next->sets[i]));
	text = json_text_format(value);
	if (!text || error) {
		free(text);
		return;
	}
	change.writes[0] = (store_write_t){ GATEWAY_VOTERS_KEY, text };
	gateway_control_change_epoch(&change);
	gateway->voters_write_pending =
		gateway_era_write(gateway, &change, on_written, gateway) ==
		STORE_OK;
	free(text);
}

/*
 * Replaces voters that are no longer registered, and fills failure domains that
 * have too few. Only the first proxy in the order of names does so. To be
 * called in each tick.
 */
void gateway_voters_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	voters_record_t next;

	if (now_ms < gateway->voters_due_ms || gateway->voters_write_pending ||
	    gateway->registered_ms == 0 || gateway->deregistered)
		return;
	gateway->voters_due_ms = now_ms + VOTERS_INTERVAL_MS;
	if (registry_proxy_rank(gateway->proxies, gateway->settings->name) ==
		    0 &&
	    voters_plan_change(&gateway->voters, gateway->proxies,
			       gateway->settings->grant_life_ms, now_ms, &next))
		write_voters(gateway, &next);
}
