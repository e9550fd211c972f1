#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Delay between the attempts of two proxies to open an era. */
#define OPEN_TURN_MS 20
/* Most keys of eras that one change writes. */
#define ERA_KEYS_MAX 16
/* Value of the key of an era, which is not read. */
#define ERA_VALUE "{}"

static void format_key(char key[GATEWAY_KEY_SIZE], uint64_t era)
{
	snprintf(key, GATEWAY_KEY_SIZE, GATEWAY_ERA_PREFIX "%" PRIu64, era);
}

static promotion_options_t get_options(const gateway_t *gateway)
{
	return promotion_options_default(gateway->settings->grant_ms,
					 gateway->settings->grant_life_ms);
}

static uint64_t records_era(const gateway_t *gateway)
{
	return store_revision_era(mirror_revision(gateway->record_mirror));
}

/*
 * Notes that an answer has named a further era of the store.
 */
void gateway_era_begin(gateway_t *gateway)
{
	gateway->era = (era_t){ .number = store_era(gateway->store),
				.since_ms = gateway_now(gateway) };
}

/*
 * Applies the key of an era, which ends in the era's number. That of an era
 * that has not begun is not from a proxy.
 */
void gateway_era_apply(gateway_t *gateway, const char *name)
{
	uint64_t number = strtoull(name, NULL, 10);

	if (number > gateway->opened_era && number <= gateway->era.number)
		gateway->opened_era = number;
}

/*
 * Applies the record of the last settled era.
 */
void gateway_era_apply_settled(gateway_t *gateway, const json_t *value)
{
	uint64_t number =
		(uint64_t)json_integer_value(json_object_get(value, "era"));

	if (number != gateway->era.number || gateway->era.settled)
		return;
	gateway->era.settled = true;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "store-era-settled",
		  LOG_UNSIGNED("era", number));
}

/*
 * Adjusts to the records of a further era what was remembered of writes that
 * the store may have lost. To be called when the records have been read.
 */
void gateway_era_records_read(gateway_t *gateway)
{
	group_t *group;
	group_t *next;

	if (records_era(gateway) == gateway->records_era)
		return;
	gateway->records_era = records_era(gateway);
	HASH_ITER(hh, gateway->groups, group, next) {
		group->adopted = false;
		group->suspicion_reported = registry_has_suspicion(
			gateway->proxies, group->name, &group->record,
			gateway->settings->name);
	}
}

/*
 * Returns true if the records known here are those of the present era of the
 * store, and its key is written, so that changes may be made.
 */
bool gateway_era_is_open(const gateway_t *gateway)
{
	return gateway->era.number == 0 ||
	       (gateway->opened_era == gateway->era.number &&
		records_era(gateway) == gateway->era.number);
}

/*
 * Returns true if grants of an earlier era are still held, which reads of the
 * epoch do not renew.
 */
bool gateway_era_carries_grants(const gateway_t *gateway, clock_ms_t now_ms)
{
	const group_t *group;
	const group_t *next;

	if (gateway->era.settled)
		return false;
	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.era != gateway->era.number &&
		    gateway_group_holds_grant(group, now_ms))
			return true;
	}
	return false;
}

/*
 * Makes a change that was decided on the records known here. It is not made
 * once a further era has been opened: a call without an answer may be executed
 * seconds later, when the store gives out the expected revisions again. Returns
 * as store_change().
 */
int gateway_era_write(gateway_t *gateway, store_change_t *change,
		      store_done_t done, void *context)
{
	char key[GATEWAY_KEY_SIZE];

	if (!gateway_era_is_open(gateway))
		return STORE_ERROR_CONFLICT;
	change->era = gateway->era.number;
	if (change->era != 0) {
		format_key(key, change->era + 1);
		change->expected[change->expected_count++] =
			(store_expectation_t){ key, 0 };
	}
	return store_change(gateway->store, change, done, context);
}

static void on_era_written(void *context, int error,
			   const store_answer_t *answer, clock_ms_t sent_ms)
{
	gateway_t *gateway = context;

	(void)sent_ms;
	gateway->era_write_pending = false;
	if (error == STORE_OK &&
	    store_revision_era(answer->revision) == gateway->era.number)
		gateway->opened_era = gateway->era.number;
	else
		gateway->era_retry_ms =
			gateway_now(gateway) + GATEWAY_CHANGE_RETRY_MS;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "store-era-written",
		  LOG_UNSIGNED("era", gateway->era.number),
		  LOG_TEXT("result", store_error_name(error)));
}

/*
 * Returns true if the store holds no records, and this process knows of none:
 * no proxy has run before.
 */
static bool is_first_start(const gateway_t *gateway)
{
	const group_t *group;
	const group_t *next;

	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.revision != 0)
			return false;
	}
	return registry_proxy_count(gateway->proxies) == 0 &&
	       gateway->voters.revision == 0 &&
	       gateway->promoter.revision == 0 && gateway->registered_ms == 0;
}

static void format_settled(char *value, size_t size, uint64_t era)
{
	snprintf(value, size, "{\"era\":%" PRIu64 "}", era);
}

/*
 * Writes the key of the present era, and those of eras that were not opened. No
 * proxy makes other changes before. The keys make the changes of earlier eras
 * fail that have not been executed yet. Several proxies may write them.
 */
static void open_era(gateway_t *gateway)
{
	uint64_t era = gateway->era.number;
	uint64_t number =
		gateway->opened_era == 0 ? era : gateway->opened_era + 1;
	char keys[ERA_KEYS_MAX][GATEWAY_KEY_SIZE];
	char next_key[GATEWAY_KEY_SIZE];
	char settled[64];
	store_change_t change = { .era = era, .expected_count = 1 };

	if (number + ERA_KEYS_MAX <= era)
		number = era - ERA_KEYS_MAX + 1;
	for (; number <= era; number++) {
		char *key = keys[change.write_count];

		format_key(key, number);
		change.writes[change.write_count++] =
			(store_write_t){ key, ERA_VALUE };
	}
	if (is_first_start(gateway)) {
		format_settled(settled, sizeof(settled), era);
		change.writes[change.write_count++] =
			(store_write_t){ GATEWAY_SETTLED_KEY, settled };
	}
	format_key(next_key, era + 1);
	change.expected[0] = (store_expectation_t){ next_key, 0 };
	gateway->era_write_pending =
		store_change(gateway->store, &change, on_era_written,
			     gateway) == STORE_OK;
}

/*
 * Writes that nothing of earlier eras is in progress any more, for processes
 * that start later.
 */
static void settle_era(gateway_t *gateway)
{
	store_change_t change = { .expected_count = 1, .write_count = 1 };
	char settled[64];

	format_settled(settled, sizeof(settled), gateway->era.number);
	change.expected[0] = (store_expectation_t){
		GATEWAY_SETTLED_KEY,
		mirror_expected_revision(gateway->record_mirror,
					 GATEWAY_SETTLED_KEY)
	};
	change.writes[0] = (store_write_t){ GATEWAY_SETTLED_KEY, settled };
	gateway->era_write_pending =
		gateway_era_write(gateway, &change, on_era_written, gateway) ==
		STORE_OK;
}

/*
 * Opens the present era of the store once its records have been read, and
 * settles it later. To be called in each tick.
 */
void gateway_era_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	const promotion_options_t options = get_options(gateway);
	uint32_t rank;

	if (gateway->era.number == 0 || gateway->era.settled ||
	    gateway->era_write_pending || now_ms < gateway->era_retry_ms ||
	    gateway->deregistered || !mirror_complete(gateway->record_mirror) ||
	    records_era(gateway) != gateway->era.number)
		return;
	rank = registry_proxy_rank(gateway->proxies, gateway->settings->name);
	if (gateway->opened_era != gateway->era.number) {
		if (now_ms >=
		    gateway->era.since_ms + (clock_ms_t)rank * OPEN_TURN_MS)
			open_era(gateway);
	} else if (rank == 0 && gateway->registered_ms != 0 &&
		   era_can_be_settled(&gateway->era, &options, now_ms)) {
		settle_era(gateway);
	}
}

static void on_group_written(void *context, int error,
			     const store_answer_t *answer, clock_ms_t sent_ms)
{
	group_t *group = context;
	gateway_t *gateway = group->gateway;

	(void)answer;
	(void)sent_ms;
	group->era_write_pending = false;
	/* After a conflict, the watch is about to show the present record. */
	if (error != STORE_OK)
		group->era_retry_ms =
			gateway_now(gateway) + GATEWAY_CHANGE_RETRY_MS;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "term-written-again",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("result", store_error_name(error)),
		  LOG_UNSIGNED("term", group->record.term));
}

/*
 * Writes a group's record of an earlier era again, as one of the given era.
 */
static void write_group(group_t *group, uint64_t era)
{
	group_record_t record = group->record;
	char *key = gateway_promote_group_key(group);
	char *text;
	store_change_t change = { .expected_count = 1, .write_count = 1 };

	record.era = era;
	text = gateway_promote_record_text(&record);
	if (key && text) {
		change.expected[0] = (store_expectation_t){
			key, gateway_promote_expected_revision(group)
		};
		change.writes[0] = (store_write_t){ key, text };
		group->era_write_pending =
			gateway_era_write(group->gateway, &change,
					  on_group_written, group) == STORE_OK;
	}
	free(key);
	free(text);
}

/*
 * Stops trusting the record of a group: nothing shows that its term is still
 * the present one.
 */
static void distrust_group(group_t *group, clock_ms_t now_ms)
{
	LOG_EVENT(group->gateway->log, LOG_LEVEL_WARNING, "term-distrusted",
		  LOG_TEXT("service", group->name),
		  LOG_UNSIGNED("term", group->record.term),
		  LOG_TEXT("primary", group->record.primary));
	group->record.fence = GATEWAY_FENCE_UNKNOWN;
	group->fence_seen_ms = now_ms;
}

/*
 * Does what is due for a group whose record is of an earlier era. To be called
 * in each tick.
 */
void gateway_era_group_tick(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	era_view_t view;

	if (group->record.revision == 0 ||
	    group->record.era == gateway->era.number ||
	    group->record.fence == GATEWAY_FENCE_UNKNOWN ||
	    group->era_write_pending || now_ms < group->era_retry_ms ||
	    group->promotion.busy || !gateway_era_is_open(gateway))
		return;
	view = (era_view_t){
		.era = gateway->era,
		.record = group->record,
		.stored_term = group->stored_term,
		.holds_grant = gateway_group_holds_grant(group, now_ms),
		.registered = gateway_control_is_registered(gateway),
		.turn = promotion_adoption_turn(
			group->name,
			registry_proxy_rank(gateway->proxies,
					    gateway->settings->name),
			registry_proxy_count(gateway->proxies)),
		.now_ms = now_ms,
	};
	switch (era_step(&view, &group->promotion.options)) {
	case ERA_ACTION_NONE:
		break;
	case ERA_ACTION_WRITE_BACK:
		write_group(group, group->record.era);
		break;
	case ERA_ACTION_REOPEN:
		write_group(group, gateway->era.number);
		break;
	case ERA_ACTION_DISTRUST:
		distrust_group(group, now_ms);
		break;
	}
}
