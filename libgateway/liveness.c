#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Each proxy asks the next one in the order of names, so that the cost does not
 * grow with their number. */
#define PING_INTERVAL_MS 1500
#define PING_TIMEOUT_MS 700
/* Pause between the questions of a new process for what the others have
 * observed: a promotion that starts right after it does not wait for long. It
 * doubles up to the longest, since where all have started nobody knows more. */
#define MEMBERS_PAUSE_MS 100
#define MEMBERS_PAUSE_MAX_MS 1600
#define PING_ANSWER_MAX_BYTES 262144
/* A proxy without an answer for this long is evicted: longer than a restart or
 * a freeze takes. It counts for promotions and for its share of connections
 * until then. One that lives registers again. */
#define EVICT_AFTER_MS 6000
/* The entry of an evicted proxy is removed this long after the end of its
 * grants. Until then it delays promotions by processes that have just started
 * and do not know how old the eviction is. */
#define FORGET_MARGIN_MS 1000

static void on_written(void *context, int error, const store_answer_t *answer,
		       clock_ms_t sent_ms)
{
	const gateway_t *gateway = context;

	(void)answer;
	(void)sent_ms;
	if (error != STORE_OK)
		LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "eviction-failed",
			  LOG_TEXT("error", store_error_name(error)));
}

/*
 * Marks the entry of a proxy as evicted, or removes it, as it is known here:
 * the proxy may have registered since then.
 */
static void write_entry(gateway_t *gateway, const char *name, bool removes)
{
	store_change_t change = { 0 };
	char key[GATEWAY_KEY_SIZE];

	snprintf(key, sizeof(key), GATEWAY_PROXY_PREFIX "%s", name);
	change.expected[change.expected_count++] = (store_expectation_t){
		key, mirror_key_revision(gateway->own_mirror, key)
	};
	if (removes)
		change.removed[change.removed_count++] = key;
	else
		change.writes[change.write_count++] =
			(store_write_t){ key, "{\"evicted\":true}" };
	gateway_control_change_epoch(&change);
	store_change(gateway->store, &change, on_written, gateway);
}

/* The members as an answer is put together. */
typedef struct {
	json_t *rows;
} members_t;

static void add_member(void *context, const char *name, registry_state_t state,
		       clock_ms_t age_ms)
{
	members_t *members = context;

	json_array_append_new(
		members->rows,
		json_pack("[s,i,I]", name, (int)state, (json_int_t)age_ms));
}

/*
 * Answers a peer that has just started: which proxies are known, in which state
 * and for how long.
 */
void gateway_liveness_answer(gateway_t *gateway, http_exchange_t *exchange)
{
	members_t members = { json_array() };

	registry_state_visit(gateway->proxies, add_member, &members,
			     gateway_now(gateway));
	http_exchange_reply_json(exchange, 200, members.rows);
}

/*
 * Takes over what a peer has observed. It is enough once the peer has known a
 * proxy for longer than any grant lasts; a peer that has just started as well
 * does not help.
 */
static void merge_members(gateway_t *gateway, const char *body, size_t size)
{
	json_t *rows = json_loadb(body, size, 0, NULL);
	clock_ms_t now_ms = gateway_now(gateway);
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const char *name;
		int state;
		json_int_t age_ms;

		if (json_unpack((json_t *)row, "[s,i,I]", &name, &state,
				&age_ms) != 0 ||
		    state < REGISTRY_STATE_REGISTERED ||
		    state > REGISTRY_STATE_EVICTED || age_ms < 0)
			continue;
		if (age_ms >= gateway->settings->grant_life_ms)
			gateway->merged = true;
		if (registry_state_merge(gateway->proxies, name,
					 (registry_state_t)state, age_ms,
					 now_ms) != 0)
			LOG_EVENT(gateway->log, LOG_LEVEL_ERROR, "member-lost",
				  LOG_TEXT("proxy", name));
	}
	json_decref(rows);
}

static void on_members(void *context, int status, const char *body, size_t size)
{
	gateway_t *gateway = context;

	gateway->members = NULL;
	if (status == 200)
		merge_members(gateway, body, size);
}

static void on_pong(void *context, int status, const char *body, size_t size)
{
	gateway_t *gateway = context;
	clock_ms_t now_ms = gateway_now(gateway);

	(void)body;
	(void)size;
	gateway->ping = NULL;
	if (status != 0) {
		gateway->ponged_ms = now_ms;
		return;
	}
	if (now_ms < gateway->ponged_ms + EVICT_AFTER_MS ||
	    store_is_unreachable(gateway->store) || gateway->registered_ms == 0)
		return;
	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "proxy-silent",
		  LOG_TEXT("proxy", gateway->pinged),
		  LOG_SIGNED("silent_ms", now_ms - gateway->ponged_ms));
	write_entry(gateway, gateway->pinged, false);
	gateway->ponged_ms = now_ms;
}

/*
 * Sends a question to a peer. Returns NULL if it cannot be sent.
 */
static http_request_t *ask(gateway_t *gateway, const char *peer,
			   const char *path, http_request_done_t done)
{
	settings_endpoint_t endpoint;
	http_request_options_t options = {
		.method = HTTP_METHOD_GET,
		.path = path,
		.timeout_ms = PING_TIMEOUT_MS,
		.answer_max_bytes = PING_ANSWER_MAX_BYTES,
	};

	if (settings_endpoint_parse(peer, &endpoint) != SETTINGS_OK)
		return NULL;
	options.address = endpoint.address;
	options.port = endpoint.port;
	return http_request_send(gateway->base, &options, done, gateway);
}

/*
 * Asks one proxy after the other what it has observed, until one has known the
 * others for long enough, or this process has itself.
 */
static void ask_members(gateway_t *gateway, clock_ms_t now_ms)
{
	char name[PROMOTION_NAME_SIZE];
	char peer[SETTINGS_ENDPOINT_SIZE];
	const char *after = gateway->member_asked[0] ? gateway->member_asked
						     : gateway->settings->name;

	if (gateway->merged || gateway->members ||
	    now_ms < gateway->members_ms ||
	    now_ms >= gateway->started_ms + gateway->settings->grant_life_ms ||
	    !registry_proxy_next(gateway->proxies, after, name, sizeof(name),
				 peer, sizeof(peer)))
		return;
	gateway->members_pause_ms =
		clock_backoff_next(gateway->members_pause_ms, MEMBERS_PAUSE_MS,
				   MEMBERS_PAUSE_MAX_MS);
	gateway->members_ms = now_ms + gateway->members_pause_ms;
	snprintf(gateway->member_asked, sizeof(gateway->member_asked), "%s",
		 name);
	if (strcmp(name, gateway->settings->name) != 0)
		gateway->members =
			ask(gateway, peer, GATEWAY_PATH_MEMBERS, on_members);
}

/*
 * Asks the next proxy whether it lives. Evicts it after EVICT_AFTER_MS without
 * an answer; removes old entries of evicted ones if this proxy is the first.
 */
void gateway_liveness_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	char name[PROMOTION_NAME_SIZE];
	char peer[SETTINGS_ENDPOINT_SIZE];
	const char *evicted;

	if (gateway->deregistered)
		return;
	ask_members(gateway, now_ms);
	if (gateway->ping || now_ms < gateway->ping_ms)
		return;
	gateway->ping_ms = now_ms + PING_INTERVAL_MS;
	if (!registry_proxy_next(gateway->proxies, gateway->settings->name,
				 name, sizeof(name), peer, sizeof(peer)))
		return;
	if (strcmp(name, gateway->pinged) != 0) {
		snprintf(gateway->pinged, sizeof(gateway->pinged), "%s", name);
		gateway->ponged_ms = now_ms;
	}
	gateway->ping = ask(gateway, peer, GATEWAY_PATH_PING, on_pong);
	evicted = registry_evicted_find(
		gateway->proxies,
		gateway->settings->grant_life_ms + FORGET_MARGIN_MS, now_ms);
	if (evicted &&
	    registry_proxy_rank(gateway->proxies, gateway->settings->name) == 0)
		write_entry(gateway, evicted, true);
}

/*
 * Ends the questions that are on their way, at the end of the process.
 */
void gateway_liveness_cancel(gateway_t *gateway)
{
	if (gateway->ping)
		http_request_cancel(gateway->ping);
	if (gateway->members)
		http_request_cancel(gateway->members);
}
