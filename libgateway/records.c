#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "internal.h"

typedef enum {
	OWN_KEY_PROXY,
	OWN_KEY_GROUP,
	OWN_KEY_DUTY,
	OWN_KEY_DOUBT,
	OWN_KEY_STOP,
	OWN_KEY_VOTERS,
	OWN_KEY_OTHER,
} own_key_t;

static bool starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

/*
 * Tells what a key of the product holds; *name is the rest of the key.
 */
static own_key_t classify_key(const char *key, const char **name)
{
	static const struct {
		const char *prefix;
		own_key_t kind;
	} kinds[] = {
		{ GATEWAY_PROXY_PREFIX, OWN_KEY_PROXY },
		{ GATEWAY_GROUP_PREFIX, OWN_KEY_GROUP },
		{ GATEWAY_PREFIX "doubt/", OWN_KEY_DOUBT },
		{ GATEWAY_PREFIX "stop/", OWN_KEY_STOP },
		{ GATEWAY_DUTY_KEY, OWN_KEY_DUTY },
		{ GATEWAY_VOTERS_KEY, OWN_KEY_VOTERS },
	};
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (!starts_with(key, kinds[i].prefix))
			continue;
		*name = key + strlen(kinds[i].prefix);
		return kinds[i].kind;
	}
	return OWN_KEY_OTHER;
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

static void apply_proxy(gateway_t *gateway, const char *name,
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
		registry_proxy_set(gateway->proxies, name,
				   get_number(value, "incarnation"), peer,
				   now_ms);
		get_text(value, "domain", domain, sizeof(domain));
		registry_domain_set(gateway->proxies, name, domain);
	}
	/* A start reads all of them, and says so in one line. */
	if (!mirror_complete(gateway->own_mirror))
		return;
	gateway_relay_update(gateway);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  !value    ? "proxy-removed"
		  : evicted ? "proxy-evicted"
			    : "proxy-registered",
		  LOG_TEXT("proxy", name),
		  LOG_UNSIGNED("proxies",
			       registry_proxy_count(gateway->proxies)));
}

static void get_lineage(const json_t *object, term_history_t *term_history)
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
 * Takes over a group's record. A fence ends the right to act on the term.
 */
static void apply_group(gateway_t *gateway, const char *name,
			const json_t *value, uint64_t revision)
{
	group_t *group = strlen(name) < CONFIGURATION_NAME_SIZE
				 ? gateway_group_get(gateway, name)
				 : NULL;
	group_record_t *record;
	bool moved;

	if (!group || !value)
		return;
	record = &group->record;
	moved = record->term != get_number(value, "term");
	record->term = get_number(value, "term");
	record->fence = get_number(value, "fence");
	record->revision = revision;
	get_text(value, "primary", record->primary, sizeof(record->primary));
	get_lineage(value, &record->term_history);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  record->fence ? "term-fenced" : "term-in-force",
		  LOG_TEXT("service", name), LOG_UNSIGNED("term", record->term),
		  LOG_TEXT("primary", record->primary),
		  LOG_UNSIGNED("fence", record->fence),
		  LOG_UNSIGNED("revision", revision));
	if (record->fence != 0 && group->stopping_ms == 0)
		group->stopping_ms = gateway_now(gateway);
	if (record->fence == 0)
		group->stopping_ms = 0;
	if (moved)
		gateway_execute_stop(group);
	/* The grant on a new term follows from a read of the epoch. */
	gateway->epoch_due_ms = 0;
}

static void apply_duty(gateway_t *gateway, const json_t *value,
		       uint64_t revision)
{
	promoter_record_t *duty = &gateway->promoter;

	if (!value)
		return;
	get_text(value, "holder", duty->name, sizeof(duty->name));
	duty->incarnation = get_number(value, "incarnation");
	duty->token = get_number(value, "token");
	duty->revision = revision;
	duty->seen_ms = gateway_now(gateway);
}

static void apply_note(gateway_t *gateway, registry_report_kind_t kind,
		       const char *subject, const json_t *value)
{
	registry_report_t note = { 0 };

	if (value) {
		note.number = get_number(value, "number");
		note.incarnation = get_number(value, "incarnation");
		get_text(value, "text", note.primary, sizeof(note.primary));
	}
	if (registry_report_set(gateway->proxies, kind, subject,
				value ? &note : NULL) != 0)
		LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "note-lost",
			  LOG_TEXT("subject", subject));
}

/*
 * Takes over one of the product's records from the store; text is NULL if it
 * was removed. One that cannot be read is left out.
 */
void gateway_records_changed(void *context, const char *key, const char *text,
			     size_t size, uint64_t revision)
{
	gateway_t *gateway = context;
	json_t *value = text ? json_loadb(text, size, 0, NULL) : NULL;
	const char *name = "";

	if (text && !json_is_object(value)) {
		LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "record-malformed",
			  LOG_TEXT("key", key));
		json_decref(value);
		return;
	}
	switch (classify_key(key, &name)) {
	case OWN_KEY_PROXY:
		apply_proxy(gateway, name, value);
		break;
	case OWN_KEY_GROUP:
		apply_group(gateway, name, value, revision);
		break;
	case OWN_KEY_DUTY:
		apply_duty(gateway, value, revision);
		break;
	case OWN_KEY_DOUBT:
		apply_note(gateway, REGISTRY_REPORT_SUSPICION, name, value);
		break;
	case OWN_KEY_STOP:
		apply_note(gateway, REGISTRY_REPORT_STOPPED, name, value);
		break;
	case OWN_KEY_VOTERS:
		gateway_voters_apply(gateway, value, revision);
		break;
	case OWN_KEY_OTHER:
		break;
	}
	json_decref(value);
}
