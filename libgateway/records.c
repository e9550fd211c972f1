#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "internal.h"
#include "libjson/text.h"

typedef enum {
	RECORD_PROXY,
	RECORD_GROUP,
	RECORD_PROMOTER,
	RECORD_SUSPICION_REPORT,
	RECORD_STOP_REPORT,
	RECORD_VOTERS,
	RECORD_ERA,
	RECORD_SETTLED,
	RECORD_OTHER,
} record_kind_t;

static bool starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

/*
 * Returns the kind of record that a key holds; *name is the rest of the key.
 */
static record_kind_t classify_key(const char *key, const char **name)
{
	static const struct {
		const char *prefix;
		record_kind_t kind;
	} kinds[] = {
		{ GATEWAY_PROXY_PREFIX, RECORD_PROXY },
		{ GATEWAY_GROUP_PREFIX, RECORD_GROUP },
		{ GATEWAY_PREFIX "doubt/", RECORD_SUSPICION_REPORT },
		{ GATEWAY_PREFIX "stop/", RECORD_STOP_REPORT },
		{ GATEWAY_PROMOTER_KEY, RECORD_PROMOTER },
		{ GATEWAY_VOTERS_KEY, RECORD_VOTERS },
		{ GATEWAY_ERA_PREFIX, RECORD_ERA },
		{ GATEWAY_SETTLED_KEY, RECORD_SETTLED },
	};
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (!starts_with(key, kinds[i].prefix))
			continue;
		*name = key + strlen(kinds[i].prefix);
		return kinds[i].kind;
	}
	return RECORD_OTHER;
}

/*
 * Returns true if a field is a whole number that is not negative.
 */
static bool has_number(const json_t *object, const char *field)
{
	const json_t *number = json_object_get(object, field);

	return json_is_integer(number) && json_integer_value(number) >= 0;
}

static bool has_text(const json_t *object, const char *field)
{
	return json_is_string(json_object_get(object, field));
}

static uint64_t get_number(const json_t *object, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(object, field));
}

static void get_text(const json_t *object, const char *field, char *text,
		     size_t size)
{
	const char *value = json_string_value(json_object_get(object, field));

	snprintf(text, size, "%s", value ? value : "");
}

/*
 * Applies the entry of a proxy; value is NULL if it was removed. Returns
 * STORE_OK or STORE_ERROR_MEMORY.
 */
static int apply_proxy(gateway_t *gateway, const char *name,
		       const json_t *value)
{
	clock_ms_t now_ms = gateway_now(gateway);
	bool evicted = json_is_true(json_object_get(value, "evicted"));
	char peer[SETTINGS_ENDPOINT_SIZE];
	char domain[PROMOTION_NAME_SIZE];

	if (!value) {
		registry_proxy_remove(gateway->proxies, name, now_ms);
	} else if (evicted) {
		registry_proxy_evict(gateway->proxies, name, now_ms);
	} else {
		get_text(value, "peer", peer, sizeof(peer));
		if (registry_proxy_set(gateway->proxies, name,
				       get_number(value, "incarnation"), peer,
				       now_ms) != 0)
			return STORE_ERROR_MEMORY;
		get_text(value, "domain", domain, sizeof(domain));
		registry_domain_set(gateway->proxies, name, domain);
		get_text(value, "relay", peer, sizeof(peer));
		registry_relay_set(gateway->proxies, name, peer);
	}
	/* The first read of all records is logged in one line at its end. */
	if (!mirror_complete(gateway->record_mirror))
		return STORE_OK;
	gateway_peers_update(gateway);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  !value    ? "proxy-removed"
		  : evicted ? "proxy-evicted"
			    : "proxy-registered",
		  LOG_TEXT("proxy", name),
		  LOG_UNSIGNED("proxies",
			       registry_proxy_count(gateway->proxies)));
	return STORE_OK;
}

/*
 * Returns true if the starts of a group's terms are pairs of numbers.
 */
static bool has_term_history(const json_t *object)
{
	const json_t *rows = json_object_get(object, "starts");
	const json_t *row;
	json_int_t term;
	json_int_t number;
	size_t i;

	json_array_foreach(rows, i, row) {
		if (json_unpack((json_t *)row, "[I,I!]", &term, &number) != 0 ||
		    term < 0 || number < 0)
			return false;
	}
	return json_is_array(rows);
}

static void get_term_history(const json_t *object, term_history_t *term_history)
{
	const json_t *row;
	size_t i;

	memset(term_history, 0, sizeof(*term_history));
	json_array_foreach(json_object_get(object, "starts"), i, row) {
		const json_t *term = json_array_get(row, 0);
		const json_t *number = json_array_get(row, 1);

		term_history_add(
			term_history,
			(log_position_t){
				(uint64_t)json_integer_value(term),
				(uint64_t)json_integer_value(number) });
	}
}

/*
 * Forgets which targets refused writes as primary, when a promotion has
 * recorded one.
 */
static void clear_read_only(group_t *group)
{
	target_t *target;

	TAILQ_FOREACH(target, &group->targets, group_entry)
		target->read_only_since_ms = 0;
}

/*
 * Finds the group that a record's key names, and creates it if it does not
 * exist. *group is NULL if the name is too long for a group. Returns STORE_OK
 * or STORE_ERROR_MEMORY.
 */
static int get_group(gateway_t *gateway, const char *name, group_t **group)
{
	*group = NULL;
	if (strlen(name) >= CONFIGURATION_NAME_SIZE)
		return STORE_OK;
	*group = gateway_group_get(gateway, name);
	return *group ? STORE_OK : STORE_ERROR_MEMORY;
}

/*
 * Notes that a group's record was removed from the store. What is known of the
 * group stays in force.
 */
static void lose_group(group_t *group, uint64_t revision)
{
	group->stored_term = 0;
	if (group->record.revision == 0)
		return;
	group->record.revision = revision;
	group->record.lost = true;
}

/*
 * Tells whether the record of an earlier era in the store is no newer than the
 * one known here, which is also of an earlier era: the store has lost a later
 * one, or has kept the one that is known.
 */
static bool is_known_newer(const group_record_t *record, uint64_t term,
			   uint64_t era)
{
	return record->revision != 0 && record->era < era &&
	       record->term >= term;
}

/*
 * Applies a group's record. With a fence, no further operation starts on the
 * primary, and gateway_reports_tick() gives up the grant. If the term has
 * changed, everything that runs on the primary is aborted. A record of an
 * earlier era of the store replaces only older knowledge, and is not acted
 * upon: a promotion, which assumes that orders are outstanding, finds the
 * primary. Returns STORE_OK or STORE_ERROR_MEMORY.
 */
static int apply_group(gateway_t *gateway, const char *name,
		       const json_t *value, uint64_t revision)
{
	group_t *group;
	int error = get_group(gateway, name, &group);
	uint64_t term = get_number(value, "term");
	uint64_t era = get_number(value, "era");
	uint64_t store_era = store_revision_era(revision);
	group_record_t *record;
	bool moved;

	if (!group)
		return error;
	if (!value) {
		lose_group(group, revision);
		return STORE_OK;
	}
	record = &group->record;
	group->stored_term = term;
	if (era != store_era && is_known_newer(record, term, store_era)) {
		record->revision = revision;
		record->lost = false;
		LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "term-kept",
			  LOG_TEXT("service", name),
			  LOG_UNSIGNED("term", record->term),
			  LOG_UNSIGNED("fence", record->fence),
			  LOG_UNSIGNED("stored_term", term),
			  LOG_UNSIGNED("revision", revision));
		return STORE_OK;
	}
	moved = record->term != term;
	record->term = term;
	record->fence = era == store_era ? get_number(value, "fence")
					 : GATEWAY_FENCE_UNKNOWN;
	record->revision = revision;
	record->lost = false;
	record->era = era;
	get_text(value, "primary", record->primary, sizeof(record->primary));
	get_term_history(value, &record->term_history);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  record->fence ? "term-fenced" : "term-in-force",
		  LOG_TEXT("service", name), LOG_UNSIGNED("term", record->term),
		  LOG_TEXT("primary", record->primary),
		  LOG_UNSIGNED("fence", record->fence),
		  LOG_UNSIGNED("revision", revision));
	if (record->fence != 0 && group->fence_seen_ms == 0)
		group->fence_seen_ms = gateway_now(gateway);
	if (record->fence == 0) {
		group->fence_seen_ms = 0;
		clear_read_only(group);
	}
	if (moved)
		gateway_execute_abort_group(group);
	/* The grant on a new term follows from a read of the epoch. */
	gateway->epoch_due_ms = 0;
	return STORE_OK;
}

/*
 * Applies the record of the promoter. After its removal, the next change
 * expects that it does not exist.
 */
static void apply_promoter(gateway_t *gateway, const json_t *value,
			   uint64_t revision)
{
	promoter_record_t *promoter = &gateway->promoter;

	if (!value) {
		promoter->revision = 0;
		return;
	}
	get_text(value, "holder", promoter->name, sizeof(promoter->name));
	promoter->incarnation = get_number(value, "incarnation");
	promoter->token = get_number(value, "token");
	promoter->revision = revision;
	promoter->seen_ms = gateway_now(gateway);
}

/*
 * Applies a report of a proxy about a group. subject is "GROUP/PROXY"; value
 * is NULL if the report was removed. Returns STORE_OK or STORE_ERROR_MEMORY.
 */
static int apply_report(gateway_t *gateway, registry_report_kind_t kind,
			const char *subject, const json_t *value)
{
	registry_report_t report = { 0 };

	if (value) {
		report.number = get_number(value, "number");
		report.incarnation = get_number(value, "incarnation");
		get_text(value, "text", report.primary, sizeof(report.primary));
	}
	if (registry_report_set(gateway->proxies, kind, subject,
				value ? &report : NULL) == 0)
		return STORE_OK;
	LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "report-dropped",
		  LOG_TEXT("subject", subject));
	/* Without a proxy's name in its key, it is no report. */
	return strchr(subject, '/') ? STORE_ERROR_MEMORY : STORE_OK;
}

/*
 * Returns true if a record has the fields of its kind. The voters are checked
 * by gateway_voters_apply().
 */
static bool is_well_formed(record_kind_t kind, const json_t *value)
{
	if (!json_is_object(value))
		return false;
	switch (kind) {
	case RECORD_PROXY:
		return json_is_true(json_object_get(value, "evicted")) ||
		       (has_number(value, "incarnation") &&
			has_text(value, "peer") && has_text(value, "domain"));
	case RECORD_GROUP:
		return has_number(value, "term") &&
		       has_number(value, "fence") &&
		       has_text(value, "primary") && has_term_history(value);
	case RECORD_PROMOTER:
		return has_number(value, "incarnation") &&
		       has_number(value, "token") && has_text(value, "holder");
	case RECORD_SUSPICION_REPORT:
	case RECORD_STOP_REPORT:
		return has_number(value, "incarnation") &&
		       has_number(value, "number");
	case RECORD_SETTLED:
		return has_number(value, "era");
	case RECORD_VOTERS:
	case RECORD_ERA:
	case RECORD_OTHER:
		return true;
	}
	return false;
}

/*
 * Handles a record without the fields of its kind: what is known stays in
 * force. The revision is that of the malformed record, so that the next change,
 * which expects it, can replace the record. If a group's record was never read
 * here, its term and its fence are not known: a promotion, which assumes that
 * orders are outstanding, finds the primary and writes the record anew. Returns
 * STORE_OK or STORE_ERROR_MEMORY.
 */
static int skip_malformed(gateway_t *gateway, record_kind_t kind,
			  const char *key, const char *name, uint64_t revision)
{
	group_t *group;
	int error;

	LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "record-malformed",
		  LOG_TEXT("key", key), LOG_UNSIGNED("revision", revision));
	if (kind == RECORD_PROMOTER)
		gateway->promoter.revision = revision;
	if (kind == RECORD_VOTERS)
		gateway->voters.revision = revision;
	if (kind != RECORD_GROUP)
		return STORE_OK;
	error = get_group(gateway, name, &group);
	if (!group)
		return error;
	if (group->record.revision == 0) {
		group->record.fence = GATEWAY_FENCE_UNKNOWN;
		group->fence_seen_ms = gateway_now(gateway);
	}
	group->record.revision = revision;
	group->record.lost = false;
	return STORE_OK;
}

/*
 * Applies a changed record from the store; text is NULL if it was removed. A
 * malformed record is logged and ignored. Called by the mirror of the records.
 * Returns STORE_OK or STORE_ERROR_MEMORY.
 */
int gateway_records_changed(void *context, const char *key, const char *text,
			    size_t size, uint64_t revision)
{
	gateway_t *gateway = context;
	json_t *value = NULL;
	const char *name = "";
	record_kind_t kind = classify_key(key, &name);
	int error = STORE_OK;

	if (text &&
	    json_text_parse(text, size, 0, &value) == JSON_TEXT_ERROR_MEMORY)
		return STORE_ERROR_MEMORY;
	if (text && !is_well_formed(kind, value)) {
		error = skip_malformed(gateway, kind, key, name, revision);
		json_decref(value);
		return error;
	}
	switch (kind) {
	case RECORD_PROXY:
		error = apply_proxy(gateway, name, value);
		break;
	case RECORD_GROUP:
		error = apply_group(gateway, name, value, revision);
		break;
	case RECORD_PROMOTER:
		apply_promoter(gateway, value, revision);
		break;
	case RECORD_SUSPICION_REPORT:
		error = apply_report(gateway, REGISTRY_REPORT_SUSPICION, name,
				     value);
		break;
	case RECORD_STOP_REPORT:
		error = apply_report(gateway, REGISTRY_REPORT_STOPPED, name,
				     value);
		break;
	case RECORD_VOTERS:
		gateway_voters_apply(gateway, value, revision);
		break;
	case RECORD_ERA:
		if (value)
			gateway_era_apply(gateway, name);
		break;
	case RECORD_SETTLED:
		if (value)
			gateway_era_apply_settled(gateway, value);
		break;
	case RECORD_OTHER:
		break;
	}
	json_decref(value);
	return error;
}
