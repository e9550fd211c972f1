#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Interval of pings. Each proxy pings only the next one in the order of names,
 * so that its cost does not grow with the number of proxies. */
#define PING_INTERVAL_MS 1500
/* Limits of a request to a peer: its time, and the body of its answer. */
#define REQUEST_TIMEOUT_MS 700
#define ANSWER_MAX_BYTES 262144
/* First delay between the requests of a new process for the observations of the
 * others, and the longest one: it doubles each time. The first ones are short
 * so that a promotion right after the start does not wait for long. Where all
 * proxies have started together, no answer helps. */
#define MEMBERS_BACKOFF_MS 100
#define MEMBERS_BACKOFF_MAX_MS 1600
/* A proxy that has not answered for this long is evicted. This is longer than a
 * restart or a freeze takes. Until then it counts for promotions and for its
 * share of connections. An evicted proxy that runs registers again. */
#define EVICT_AFTER_MS 6000
/* The entry of an evicted proxy is removed this long after the end of its
 * grants. Until then it delays promotions by processes that have just started
 * and do not know how old the eviction is. */
#define EVICTED_REMOVE_MARGIN_MS 1000

static void on_entry_written(void *context, int error,
			     const store_answer_t *answer, clock_ms_t sent_ms)
{
	const gateway_t *gateway = context;

	(void)answer;
	(void)sent_ms;
	if (error != STORE_OK)
		LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "eviction-failed",
			  LOG_TEXT("error", store_error_name(error)));
}

/*
 * Marks the entry of a proxy as evicted, or removes it. The write expects the
 * revision known here, since the proxy may have registered again.
 */
static void change_proxy_entry(gateway_t *gateway, const char *name,
			       bool removal)
{
	store_change_t change = { 0 };
	char key[GATEWAY_KEY_SIZE];

	snprintf(key, sizeof(key), GATEWAY_PROXY_PREFIX "%s", name);
	change.expected[change.expected_count++] = (store_expectation_t){
		key, mirror_expected_revision(gateway->record_mirror, key)
	};
	if (removal)
		change.removed[change.removed_count++] = key;
	else
		change.writes[change.write_count++] =
			(store_write_t){ key, "{\"evicted\":true}" };
	gateway_control_change_epoch(&change);
	gateway_era_write(gateway, &change, on_entry_written, gateway);
}

/* The members while an answer is put together. */
typedef struct {
	json_t *rows;
} member_rows_t;

static void add_member(void *context, const char *name, registry_state_t state,
		       clock_ms_t age_ms)
{
	member_rows_t *members = context;

	json_array_append_new(
		members->rows,
		json_pack("[s,i,I]", name, (int)state, (json_int_t)age_ms));
}

/*
 * Answers a peer that has just started with the proxies known here, the state
 * of each, and for how long it has been in that state.
 */
void gateway_liveness_answer(gateway_t *gateway, http_exchange_t *exchange)
{
	member_rows_t members = { json_array() };

	registry_state_visit(gateway->proxies, add_member, &members,
			     gateway_now(gateway));
	http_exchange_reply_json(exchange, 200, members.rows);
}

/*
 * Merges a peer's observations of the proxies. They are enough once the peer
 * has observed a proxy for longer than any grant lasts; a peer that has just
 * started itself does not help.
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
			gateway->members_merged = true;
		if (registry_state_merge(gateway->proxies, name,
					 (registry_state_t)state, age_ms,
					 now_ms) != 0)
			LOG_EVENT(gateway->log, LOG_LEVEL_ERROR,
				  "member-dropped", LOG_TEXT("proxy", name));
	}
	json_decref(rows);
}

static void on_members(void *context, int status, const char *body, size_t size)
{
	gateway_t *gateway = context;

	gateway->members_request = NULL;
	if (status == 200)
		merge_members(gateway, body, size);
}

/*
 * Handles the end of a ping, of which any HTTP answer counts. Writes the
 * eviction of a proxy that has been silent for EVICT_AFTER_MS, unless this
 * proxy cannot reach the store itself or is not registered.
 */
static void on_ping_answered(void *context, int status, const char *body,
			     size_t size)
{
	gateway_t *gateway = context;
	clock_ms_t now_ms = gateway_now(gateway);

	(void)body;
	(void)size;
	gateway->ping_request = NULL;
	if (status != 0) {
		gateway->ping_answered_ms = now_ms;
		return;
	}
	if (now_ms < gateway->ping_answered_ms + EVICT_AFTER_MS ||
	    store_is_unreachable(gateway->store) || gateway->registered_ms == 0)
		return;
	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "proxy-silent",
		  LOG_TEXT("proxy", gateway->pinged_proxy),
		  LOG_SIGNED("silent_ms", now_ms - gateway->ping_answered_ms));
	change_proxy_entry(gateway, gateway->pinged_proxy, false);
	gateway->ping_answered_ms = now_ms;
}

/*
 * Sends a request to a peer. Returns NULL if it was not sent.
 */
static http_request_t *ask(gateway_t *gateway, const char *peer,
			   const char *path, http_request_done_t done)
{
	settings_endpoint_t endpoint;
	http_request_options_t options = {
		.method = HTTP_METHOD_GET,
		.path = path,
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};

	if (settings_endpoint_parse(peer, &endpoint) != SETTINGS_OK)
		return NULL;
	options.address = endpoint.address;
	options.port = endpoint.port;
	return http_request_send(gateway->base, &options, done, gateway);
}

/*
 * Asks one proxy after the other for its observations, until one has observed
 * the others for longer than any grant lasts, or this process has done so
 * itself.
 */
static void ask_members(gateway_t *gateway, clock_ms_t now_ms)
{
	char name[PROMOTION_NAME_SIZE];
	char peer[SETTINGS_ENDPOINT_SIZE];
	const char *after = gateway->members_asked_proxy[0]
				    ? gateway->members_asked_proxy
				    : gateway->settings->name;

	if (gateway->members_merged || gateway->members_request ||
	    now_ms < gateway->members_due_ms ||
	    now_ms >= gateway->started_ms + gateway->settings->grant_life_ms ||
	    !registry_proxy_next(gateway->proxies, after, name, sizeof(name),
				 peer, sizeof(peer)))
		return;
	gateway->members_backoff_ms =
		clock_backoff_next(gateway->members_backoff_ms,
				   MEMBERS_BACKOFF_MS, MEMBERS_BACKOFF_MAX_MS);
	gateway->members_due_ms = now_ms + gateway->members_backoff_ms;
	snprintf(gateway->members_asked_proxy,
		 sizeof(gateway->members_asked_proxy), "%s", name);
	if (strcmp(name, gateway->settings->name) != 0)
		gateway->members_request =
			ask(gateway, peer, GATEWAY_PATH_MEMBERS, on_members);
}

/*
 * Pings the next proxy, and evicts it if it has not answered for
 * EVICT_AFTER_MS. The first proxy in the order of names also removes old
 * entries of evicted ones. To be called in each tick.
 */
void gateway_liveness_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	char name[PROMOTION_NAME_SIZE];
	char peer[SETTINGS_ENDPOINT_SIZE];
	const char *evicted;

	if (gateway->deregistered)
		return;
	ask_members(gateway, now_ms);
	if (gateway->ping_request || now_ms < gateway->ping_due_ms)
		return;
	gateway->ping_due_ms = now_ms + PING_INTERVAL_MS;
	if (!registry_proxy_next(gateway->proxies, gateway->settings->name,
				 name, sizeof(name), peer, sizeof(peer)))
		return;
	if (strcmp(name, gateway->pinged_proxy) != 0) {
		snprintf(gateway->pinged_proxy, sizeof(gateway->pinged_proxy),
			 "%s", name);
		gateway->ping_answered_ms = now_ms;
	}
	gateway->ping_request =
		ask(gateway, peer, GATEWAY_PATH_PING, on_ping_answered);
	evicted = registry_evicted_find(gateway->proxies,
					gateway->settings->grant_life_ms +
						EVICTED_REMOVE_MARGIN_MS,
					now_ms);
	if (evicted &&
	    registry_proxy_rank(gateway->proxies, gateway->settings->name) == 0)
		change_proxy_entry(gateway, evicted, true);
}

/*
 * Cancels the open requests, at the end of the process.
 */
void gateway_liveness_cancel(gateway_t *gateway)
{
	if (gateway->ping_request)
		http_request_cancel(gateway->ping_request);
	if (gateway->members_request)
		http_request_cancel(gateway->members_request);
}
