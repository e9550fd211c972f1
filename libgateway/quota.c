#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "libquota/quota.h"

/* Time limit of a request to a lender, which answers within a few ms. */
#define LENDER_TIMEOUT_MS 150
/* A lender that did not answer is not asked again for this time. */
#define LENDER_SILENT_MS 1000
/* A proxy that says that it is not the lender is asked again after this time,
 * which is longer than two proxies differ in what they know. */
#define LENDER_UNKNOWN_MS 200
/* A lender that had too little is asked again after this time. The lenders of
 * other failure domains are asked less often. */
#define EXHAUSTED_MS 250
#define EXHAUSTED_ELSEWHERE_MS 1000
/* Longest wait of an operation for a share: two lenders that do not answer. */
#define ADMISSION_WAIT_MS 400
/* Interval of the questions whether the registration of this process is seen.
 */
#define SEEN_INTERVAL_MS 300
/* Such questions that are open at the same time. */
#define SEEN_REQUESTS_MAX 8
#define SEEN_TIMEOUT_MS 700
/* Most rows in one request to a lender, and limit of its answer. */
#define ROWS_MAX 256
#define ANSWER_MAX_BYTES 65536
/* Tenants that no operation used for this long are forgotten. By then a full
 * bucket of a lender holds no more than one that starts anew. */
#define TENANT_IDLE_MS 60000
/* Interval of the log lines on a tenant whose operations are refused. */
#define LOG_INTERVAL_MS 5000
/* Most proxies that are considered as lenders. */
#define PROXIES_MAX 1024

TAILQ_HEAD(session_queue, session);

/* A tenant whose operations this proxy admits, or of whose limit it lends. */
struct quota_tenant {
	char name[TENANT_NAME_SIZE];
	gateway_t *gateway;
	quota_share_t share;
	quota_bucket_t buckets[QUOTA_PARTS_MAX];
	/* Sessions whose operation waits for a share. */
	struct session_queue waiting;
	uint32_t waiting_count;
	/* A lender has been asked and has not answered yet. */
	bool asking;
	/* A bit for each part whose lender was asked in this round. */
	uint32_t asked_parts;
	clock_ms_t used_ms;
	/* Counts since the last log line, and its time. */
	uint64_t asked;
	uint64_t admitted;
	uint64_t refused;
	clock_ms_t logged_ms;
	UT_hash_handle hh;
};

/* Another proxy. */
typedef struct {
	char name[PROMOTION_NAME_SIZE];
	gateway_t *gateway;
	/* The present request for shares, its rows, and the rows that follow in
	 * the next request. */
	http_request_t *request;
	clock_ms_t asked_ms;
	json_t *sent_rows;
	json_t *next_rows;
	/* No request before this time. */
	clock_ms_t silent_until_ms;
	/* The question whether it sees this process as registered, and the
	 * revision of the registration that it has seen. */
	http_request_t *seen_request;
	uint64_t seen_asked_revision;
	uint64_t seen_revision;
	UT_hash_handle hh;
} quota_peer_t;

struct gateway_quota {
	quota_bounds_t bounds;
	/* Index of the part that belongs to this proxy's failure domain. */
	uint32_t own_part;
	quota_tenant_t *tenants;
	quota_peer_t *peers;
	uint32_t seen_requests;
	clock_ms_t seen_due_ms;
	/* Revision of this process's registration that all proxies see, and
	 * since when. */
	uint64_t seen_by_all_revision;
	clock_ms_t seen_by_all_ms;
	/* The registered and former proxies, collected for each decision. */
	quota_proxy_t proxies[PROXIES_MAX];
	size_t proxy_count;
};

/*
 * Creates the state of the limits of tenants, if the settings ask for them.
 * With too little slack for one operation in each part, a limit is not divided.
 * Returns GATEWAY_OK or GATEWAY_ERROR_MEMORY.
 */
int gateway_quota_start(gateway_t *gateway)
{
	const settings_t *settings = gateway->settings;
	struct gateway_quota *quota;
	uint32_t i;

	if (settings->quota_window_ms == 0)
		return GATEWAY_OK;
	quota = calloc(1, sizeof(*quota));
	if (!quota)
		return GATEWAY_ERROR_MEMORY;
	quota->bounds = (quota_bounds_t){
		.window_ms = settings->quota_window_ms,
		.overage = settings->quota_overage_permille / 1000.0,
		.slack = settings->quota_slack,
		.parts = settings->quota_domain_count,
	};
	if (quota->bounds.parts == 0 ||
	    quota->bounds.slack < 2 * quota->bounds.parts)
		quota->bounds.parts = 1;
	for (i = 0; i < quota->bounds.parts; i++) {
		if (strcmp(settings->quota_domains[i], settings->domain) == 0)
			quota->own_part = i;
	}
	gateway->quota = quota;
	return GATEWAY_OK;
}

/* A part of a limit for which the proxies are collected. */
typedef struct {
	gateway_t *gateway;
	const char *domain;
	clock_ms_t now_ms;
} collection_t;

static quota_proxy_state_t state_of(registry_state_t state)
{
	switch (state) {
	case REGISTRY_STATE_REGISTERED:
		return QUOTA_PROXY_REGISTERED;
	case REGISTRY_STATE_REMOVED:
		return QUOTA_PROXY_REMOVED;
	case REGISTRY_STATE_EVICTED:
		break;
	}
	return QUOTA_PROXY_EVICTED;
}

static void collect_proxy(void *context, const char *name,
			  registry_state_t state, clock_ms_t age_ms)
{
	const collection_t *collection = context;
	gateway_t *gateway = collection->gateway;
	struct gateway_quota *quota = gateway->quota;

	if (quota->proxy_count == PROXIES_MAX)
		return;
	quota->proxies[quota->proxy_count++] = (quota_proxy_t){
		.name = name,
		.in_domain = strcmp(registry_domain_get(gateway->proxies, name),
				    collection->domain) == 0,
		.state = state_of(state),
		.since_ms = collection->now_ms - age_ms,
	};
}

/*
 * Collects the known proxies, as lenders of a part.
 */
static void collect_proxies(gateway_t *gateway, uint32_t part,
			    clock_ms_t now_ms)
{
	struct gateway_quota *quota = gateway->quota;
	collection_t collection = { gateway, "", now_ms };

	if (quota->bounds.parts > 1)
		collection.domain = gateway->settings->quota_domains[part];
	quota->proxy_count = 0;
	registry_state_visit(gateway->proxies, collect_proxy, &collection,
			     now_ms);
}

/*
 * Returns the revision of this process's registration, or 0 if the records
 * known here do not show it.
 */
static uint64_t own_revision(const gateway_t *gateway)
{
	char key[GATEWAY_KEY_SIZE];

	if (!gateway_control_is_registered(gateway) || gateway->deregistered)
		return 0;
	snprintf(key, sizeof(key), GATEWAY_PROXY_PREFIX "%s",
		 gateway->settings->name);
	return mirror_key_revision(gateway->record_mirror, key);
}

static quota_registration_t own_registration(const gateway_t *gateway)
{
	const struct gateway_quota *quota = gateway->quota;
	uint64_t revision = own_revision(gateway);
	quota_registration_t own = {
		.confirmed_ms = gateway->records_confirmed_ms,
		.confirmation_ttl_ms = gateway->settings->grant_life_ms,
	};

	if (revision != 0)
		own.registered_ms = gateway->registered_ms;
	if (revision != 0 && quota->seen_by_all_revision == revision)
		own.seen_by_all_ms = quota->seen_by_all_ms;
	return own;
}

static const tenant_t *limited_tenant(const gateway_t *gateway,
				      const char *name)
{
	const tenant_t *tenant =
		gateway->configuration.tenants
			? tenant_table_find_name(gateway->configuration.tenants,
						 name)
			: NULL;

	return tenant && tenant->is_limited ? tenant : NULL;
}

static quota_limit_t limit_of(const tenant_t *tenant)
{
	return (quota_limit_t){ tenant->rate_per_s, tenant->burst };
}

/*
 * Returns the state of a tenant, which is created if need be, or NULL without
 * memory.
 */
static quota_tenant_t *get_tenant(gateway_t *gateway, const char *name,
				  clock_ms_t now_ms)
{
	struct gateway_quota *quota = gateway->quota;
	quota_tenant_t *tenant;

	HASH_FIND_STR(quota->tenants, name, tenant);
	if (!tenant) {
		tenant = calloc(1, sizeof(*tenant));
		if (!tenant)
			return NULL;
		snprintf(tenant->name, sizeof(tenant->name), "%s", name);
		tenant->gateway = gateway;
		TAILQ_INIT(&tenant->waiting);
		HASH_ADD_STR(quota->tenants, name, tenant);
	}
	tenant->used_ms = now_ms;
	return tenant;
}

static quota_peer_t *get_peer(gateway_t *gateway, const char *name)
{
	struct gateway_quota *quota = gateway->quota;
	quota_peer_t *peer;

	HASH_FIND_STR(quota->peers, name, peer);
	if (peer)
		return peer;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	snprintf(peer->name, sizeof(peer->name), "%s", name);
	peer->gateway = gateway;
	HASH_ADD_STR(quota->peers, name, peer);
	return peer;
}

/*
 * Lends of one part of a tenant's limit. Returns the number of operations, or
 * -1 if this proxy is not the lender.
 */
static int64_t lend(gateway_t *gateway, const char *name, uint32_t part,
		    uint32_t asked, clock_ms_t now_ms)
{
	struct gateway_quota *quota = gateway->quota;
	quota_registration_t own = own_registration(gateway);
	const tenant_t *configured = limited_tenant(gateway, name);
	quota_proxy_t self = { .name = gateway->settings->name };
	quota_tenant_t *tenant;
	quota_limit_t limit;
	clock_ms_t since_ms;
	uint32_t lent;
	size_t i;

	if (!configured || part >= quota->bounds.parts)
		return -1;
	collect_proxies(gateway, part, now_ms);
	for (i = 0; i < quota->proxy_count; i++) {
		if (strcmp(quota->proxies[i].name, self.name) == 0)
			self = quota->proxies[i];
	}
	since_ms = quota_lender_since(&own, &self, quota->proxies,
				      quota->proxy_count, name, part, now_ms);
	tenant = since_ms == QUOTA_NOT_LENDING
			 ? NULL
			 : get_tenant(gateway, name, now_ms);
	if (!tenant)
		return -1;
	limit = limit_of(configured);
	lent = quota_bucket_lend(&tenant->buckets[part], &quota->bounds, &limit,
				 since_ms, asked, now_ms);
	counter_family_add(gateway->counters.quota_lent, name, lent);
	return lent;
}

/*
 * Answers a proxy that asks for shares of the limits of several tenants.
 */
void gateway_quota_answer(gateway_t *gateway, http_exchange_t *exchange)
{
	char error[128];
	json_t *request = http_exchange_json(exchange, error, sizeof(error));
	json_t *answer = json_array();
	clock_ms_t now_ms = gateway_now(gateway);
	const json_t *row;
	size_t i;

	json_array_foreach(request, i, row) {
		const char *name;
		json_int_t part;
		json_int_t asked;
		int64_t lent = -1;

		if (json_unpack((json_t *)row, "[s,I,I]", &name, &part,
				&asked) != 0 ||
		    part < 0 || part >= QUOTA_PARTS_MAX || asked < 0 ||
		    asked > UINT32_MAX || i >= ROWS_MAX)
			continue;
		if (gateway->quota)
			lent = lend(gateway, name, (uint32_t)part,
				    (uint32_t)asked, now_ms);
		json_array_append_new(answer,
				      json_pack("[s,I,I]", name, part, lent));
	}
	json_decref(request);
	http_exchange_reply_json(exchange, 200, answer);
}

/*
 * Answers a proxy that asks whether the records known here show its
 * registration: from then on this proxy lends no part of which the other one is
 * the lender.
 */
void gateway_quota_answer_seen(gateway_t *gateway, http_exchange_t *exchange)
{
	const char *name = http_exchange_query(exchange, "name");
	const char *incarnation = http_exchange_query(exchange, "incarnation");
	const char *revision = http_exchange_query(exchange, "revision");
	bool seen =
		name && incarnation && revision &&
		mirror_revision(gateway->record_mirror) >=
			strtoull(revision, NULL, 10) &&
		registry_process_is_registered(gateway->proxies, name,
					       strtoull(incarnation, NULL, 10));

	http_exchange_reply(exchange, seen ? 200 : 409, "text/plain",
			    seen ? "seen\n" : "not seen\n");
}

static void count_verdict(quota_tenant_t *tenant, bool admitted)
{
	gateway_counters_t *counters = &tenant->gateway->counters;

	if (admitted)
		tenant->admitted++;
	else
		tenant->refused++;
	counter_family_add(admitted ? counters->quota_admitted
				    : counters->quota_refused,
			   tenant->name, 1);
}

/*
 * Takes a session out of the operations that wait for a share.
 */
void gateway_quota_leave(session_t *session)
{
	quota_tenant_t *tenant = session->quota_tenant;

	if (!tenant)
		return;
	session->quota_tenant = NULL;
	TAILQ_REMOVE(&tenant->waiting, session, queue_entry);
	tenant->waiting_count--;
	session->phase = SESSION_RUNNING;
}

/*
 * Refuses an operation. The caller may repeat it: nothing of it has run.
 */
static void refuse(quota_tenant_t *tenant, session_t *session)
{
	count_verdict(tenant, false);
	gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
			     "limit of the tenant");
}

/*
 * Goes on with the waiting operations as far as the share suffices.
 */
static void admit_waiting(quota_tenant_t *tenant, clock_ms_t now_ms)
{
	uint32_t parts = tenant->gateway->quota->bounds.parts;
	session_t *session;
	clock_ms_t until_ms;

	while ((session = TAILQ_FIRST(&tenant->waiting)) &&
	       quota_share_admit(&tenant->share, parts, now_ms, &until_ms) ==
		       QUOTA_ADMITTED) {
		gateway_quota_leave(session);
		gateway_execute_stop_timer(session);
		session->admitted_until_ms = until_ms;
		count_verdict(tenant, true);
		gateway_place_operation(session);
	}
}

/*
 * Takes over what the lender of a part has answered. lent is -1 if it is not
 * the lender.
 */
static void take_lent(quota_tenant_t *tenant, uint32_t part, uint32_t asked,
		      int64_t lent, clock_ms_t asked_ms, clock_ms_t now_ms)
{
	const struct gateway_quota *quota = tenant->gateway->quota;
	const tenant_t *configured =
		limited_tenant(tenant->gateway, tenant->name);
	quota_limit_t limit;

	if (lent < 0) {
		quota_share_close_part(&tenant->share, part,
				       now_ms + LENDER_UNKNOWN_MS);
		return;
	}
	if (lent < asked)
		quota_share_close_part(
			&tenant->share, part,
			now_ms + (part == quota->own_part
					  ? EXHAUSTED_MS
					  : EXHAUSTED_ELSEWHERE_MS));
	if (!configured || lent > asked)
		return;
	limit = limit_of(configured);
	quota_share_apply(&tenant->share, (uint32_t)lent,
			  asked_ms + quota_life_ms(&quota->bounds, &limit),
			  now_ms);
}

/*
 * Returns the registered proxy that goes first as lender of a part, or NULL.
 */
static const char *find_lender(gateway_t *gateway, const char *tenant,
			       uint32_t part, clock_ms_t now_ms)
{
	const struct gateway_quota *quota = gateway->quota;
	const quota_proxy_t *first = NULL;
	size_t i;

	collect_proxies(gateway, part, now_ms);
	for (i = 0; i < quota->proxy_count; i++) {
		const quota_proxy_t *proxy = &quota->proxies[i];

		if (proxy->state == QUOTA_PROXY_REGISTERED &&
		    (!first ||
		     quota_proxy_goes_before(proxy, first, tenant, part)))
			first = proxy;
	}
	return first ? first->name : NULL;
}

static bool send_rows(quota_peer_t *peer);

/*
 * Adds a row to the next request to a lender, which is sent at once unless one
 * is on its way. Returns false if the lender cannot be asked.
 */
static bool ask_lender(quota_tenant_t *tenant, const char *name, uint32_t part,
		       uint32_t asked, clock_ms_t now_ms)
{
	quota_peer_t *peer = get_peer(tenant->gateway, name);

	if (!peer || now_ms < peer->silent_until_ms)
		return false;
	if (!peer->next_rows)
		peer->next_rows = json_array();
	if (!peer->next_rows || json_array_size(peer->next_rows) >= ROWS_MAX ||
	    json_array_append_new(peer->next_rows,
				  json_pack("[s,I,I]", tenant->name,
					    (json_int_t)part,
					    (json_int_t)asked)) != 0)
		return false;
	if (peer->request || send_rows(peer))
		return true;
	json_decref(peer->next_rows);
	peer->next_rows = NULL;
	return false;
}

/*
 * Asks the lenders of a tenant's parts, one after the other, until no operation
 * waits. Those that still wait when all were asked are refused.
 */
static void ask_lenders(quota_tenant_t *tenant, clock_ms_t now_ms)
{
	gateway_t *gateway = tenant->gateway;
	const struct gateway_quota *quota = gateway->quota;
	const tenant_t *configured = limited_tenant(gateway, tenant->name);
	quota_limit_t limit =
		configured ? limit_of(configured) : (quota_limit_t){ 0 };
	clock_ms_t life_ms = quota_life_ms(&quota->bounds, &limit);
	int part;

	tenant->asking = false;
	while (tenant->asked_parts == 0 || tenant->waiting_count > 0) {
		uint32_t asked = quota_share_wanted(
			&tenant->share, tenant->waiting_count, life_ms, now_ms);
		const char *lender;

		part = quota_share_next_part(
			&tenant->share, quota->bounds.parts, quota->own_part,
			tenant->asked_parts, now_ms);
		if (part < 0 || asked == 0)
			break;
		tenant->asked_parts |= 1U << part;
		lender = find_lender(gateway, tenant->name, (uint32_t)part,
				     now_ms);
		if (lender && strcmp(lender, gateway->settings->name) == 0) {
			take_lent(tenant, (uint32_t)part, asked,
				  lend(gateway, tenant->name, (uint32_t)part,
				       asked, now_ms),
				  now_ms, now_ms);
			admit_waiting(tenant, now_ms);
			continue;
		}
		if (lender &&
		    ask_lender(tenant, lender, (uint32_t)part, asked, now_ms)) {
			tenant->asking = true;
			return;
		}
		quota_share_close_part(&tenant->share, (uint32_t)part,
				       now_ms + LENDER_UNKNOWN_MS);
	}
	tenant->asked_parts = 0;
	while (!TAILQ_EMPTY(&tenant->waiting))
		refuse(tenant, TAILQ_FIRST(&tenant->waiting));
}

/*
 * Returns what a lender has answered to a row of a request, or -1.
 */
static int64_t lent_in(const json_t *answer, const char *name, json_int_t part)
{
	const json_t *row;
	size_t i;

	json_array_foreach(answer, i, row) {
		const char *answered_name;
		json_int_t answered_part;
		json_int_t lent;

		if (json_unpack((json_t *)row, "[s,I,I]", &answered_name,
				&answered_part, &lent) == 0 &&
		    answered_part == part && strcmp(answered_name, name) == 0)
			return lent;
	}
	return -1;
}

/*
 * Hands the answer to each row over to its tenant. answer is NULL if there is
 * none: what the lender may have lent is then not used.
 */
static void apply_rows(const quota_peer_t *peer, const json_t *rows,
		       const json_t *answer, clock_ms_t now_ms)
{
	const struct gateway_quota *quota = peer->gateway->quota;
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const char *name = "";
		json_int_t part = 0;
		json_int_t asked = 0;
		quota_tenant_t *tenant;

		json_unpack((json_t *)row, "[s,I,I]", &name, &part, &asked);
		HASH_FIND_STR(quota->tenants, name, tenant);
		if (!tenant)
			continue;
		take_lent(tenant, (uint32_t)part, (uint32_t)asked,
			  lent_in(answer, name, part), peer->asked_ms, now_ms);
		admit_waiting(tenant, now_ms);
		ask_lenders(tenant, now_ms);
	}
}

/*
 * Handles the end of a request to a lender. The rows that wait for it are sent,
 * or given up with it if the lender has not answered.
 */
static void on_lent(void *context, int status, const char *body, size_t size)
{
	quota_peer_t *peer = context;
	clock_ms_t now_ms = gateway_now(peer->gateway);
	json_t *answer = status == 200 ? json_loadb(body, size, 0, NULL) : NULL;
	json_t *rows = peer->sent_rows;
	json_t *given_up = NULL;

	peer->request = NULL;
	peer->sent_rows = NULL;
	if (!json_is_array(answer)) {
		peer->silent_until_ms = now_ms + LENDER_SILENT_MS;
		given_up = peer->next_rows;
		peer->next_rows = NULL;
	}
	apply_rows(peer, rows, answer, now_ms);
	apply_rows(peer, given_up, NULL, now_ms);
	json_decref(rows);
	json_decref(given_up);
	json_decref(answer);
	if (!peer->next_rows || peer->request || send_rows(peer))
		return;
	rows = peer->next_rows;
	peer->next_rows = NULL;
	peer->silent_until_ms = now_ms + LENDER_SILENT_MS;
	apply_rows(peer, rows, NULL, now_ms);
	json_decref(rows);
}

static http_request_t *send_request(quota_peer_t *peer, const char *path,
				    const char *body, clock_ms_t timeout_ms,
				    http_request_done_t done)
{
	gateway_t *gateway = peer->gateway;
	const char *address =
		registry_address_get(gateway->proxies, peer->name);
	settings_endpoint_t endpoint;
	http_request_options_t options = {
		.method = body ? HTTP_METHOD_POST : HTTP_METHOD_GET,
		.path = path,
		.body = body,
		.timeout_ms = timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};

	if (!address ||
	    settings_endpoint_parse(address, &endpoint) != SETTINGS_OK)
		return NULL;
	options.address = endpoint.address;
	options.port = endpoint.port;
	return http_request_send(gateway->base, &options, done, peer);
}

/*
 * Sends the rows that are due to a lender. Returns false if that fails; the
 * rows are then still due.
 */
static bool send_rows(quota_peer_t *peer)
{
	char *body = json_dumps(peer->next_rows, JSON_COMPACT);

	if (!body)
		return false;
	peer->asked_ms = gateway_now(peer->gateway);
	peer->request = send_request(peer, GATEWAY_PATH_QUOTA, body,
				     LENDER_TIMEOUT_MS, on_lent);
	free(body);
	if (!peer->request)
		return false;
	peer->sent_rows = peer->next_rows;
	peer->next_rows = NULL;
	return true;
}

static void wait_for_share(quota_tenant_t *tenant, session_t *session)
{
	session->phase = SESSION_ADMITTING;
	session->quota_tenant = tenant;
	TAILQ_INSERT_TAIL(&tenant->waiting, session, queue_entry);
	tenant->waiting_count++;
	gateway_execute_set_timer(session, ADMISSION_WAIT_MS);
}

/*
 * Admits the operation of a session within the limit of its tenant. Returns
 * true if it may be placed now. Otherwise it was refused, or waits for a share
 * and is placed later. To be called before each placement: an operation that
 * waited for longer than its share lasts is admitted anew.
 */
bool gateway_quota_admit(session_t *session)
{
	gateway_t *gateway = session->gateway;
	clock_ms_t now_ms = gateway_now(gateway);
	const tenant_t *configured;
	quota_tenant_t *tenant;
	quota_limit_t limit;
	clock_ms_t life_ms;

	if (!gateway->quota || session->tenant[0] == '\0' ||
	    now_ms < session->admitted_until_ms)
		return true;
	configured = limited_tenant(gateway, session->tenant);
	if (!configured)
		return true;
	gateway_place_leave(session);
	tenant = get_tenant(gateway, session->tenant, now_ms);
	if (!tenant) {
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
				     "no memory");
		return false;
	}
	limit = limit_of(configured);
	life_ms = quota_life_ms(&gateway->quota->bounds, &limit);
	quota_share_note_demand(&tenant->share, now_ms);
	tenant->asked++;
	counter_family_add(gateway->counters.quota_asked, tenant->name, 1);
	switch (quota_share_admit(&tenant->share, gateway->quota->bounds.parts,
				  now_ms, &session->admitted_until_ms)) {
	case QUOTA_ADMITTED:
		count_verdict(tenant, true);
		if (!tenant->asking &&
		    quota_share_is_low(&tenant->share, life_ms, now_ms))
			ask_lenders(tenant, now_ms);
		return true;
	case QUOTA_REFUSED:
		refuse(tenant, session);
		return false;
	case QUOTA_UNKNOWN:
		break;
	}
	wait_for_share(tenant, session);
	if (!tenant->asking)
		ask_lenders(tenant, now_ms);
	return false;
}

/*
 * Gives the share of an operation that ends without having been sent back to
 * the other operations of its tenant.
 */
void gateway_quota_give_back(session_t *session)
{
	clock_ms_t until_ms = session->admitted_until_ms;
	quota_tenant_t *tenant;

	session->admitted_until_ms = 0;
	if (until_ms == 0 || session->sent || session->bound_to_connection)
		return;
	HASH_FIND_STR(session->gateway->quota->tenants, session->tenant,
		      tenant);
	if (tenant)
		quota_share_apply(&tenant->share, 1, until_ms,
				  gateway_now(session->gateway));
}

/*
 * Refuses an operation that has waited for a share for too long.
 */
void gateway_quota_time_out(session_t *session)
{
	if (session->quota_tenant)
		refuse(session->quota_tenant, session);
}

static void on_seen(void *context, int status, const char *body, size_t size)
{
	quota_peer_t *peer = context;

	(void)body;
	(void)size;
	peer->seen_request = NULL;
	peer->gateway->quota->seen_requests--;
	if (status == 200)
		peer->seen_revision = peer->seen_asked_revision;
}

static void ask_seen(quota_peer_t *peer, uint64_t revision)
{
	const gateway_t *gateway = peer->gateway;
	char path[GATEWAY_KEY_SIZE];

	snprintf(path, sizeof(path),
		 GATEWAY_PATH_QUOTA_SEEN "?name=%s&incarnation=%" PRIu64
					 "&revision=%" PRIu64,
		 gateway->settings->name, gateway->incarnation, revision);
	peer->seen_asked_revision = revision;
	peer->seen_request =
		send_request(peer, path, NULL, SEEN_TIMEOUT_MS, on_seen);
	if (peer->seen_request)
		gateway->quota->seen_requests++;
}

/*
 * Finds out whether all registered proxies see the registration of this
 * process, so that it may lend without waiting until the confirmations of all
 * others have ended. A proxy that has just been evicted cannot be asked.
 */
static void check_seen(gateway_t *gateway, clock_ms_t now_ms)
{
	struct gateway_quota *quota = gateway->quota;
	uint64_t revision = own_revision(gateway);
	quota_registration_t own = own_registration(gateway);
	bool seen_by_all = true;
	size_t i;

	if (revision == 0 || own.registered_ms == 0 ||
	    own.confirmed_ms < own.registered_ms ||
	    quota->seen_by_all_revision == revision ||
	    quota_registration_since(&own, now_ms) != QUOTA_NOT_LENDING ||
	    now_ms < quota->seen_due_ms)
		return;
	collect_proxies(gateway, 0, now_ms);
	for (i = 0; i < quota->proxy_count; i++) {
		const quota_proxy_t *proxy = &quota->proxies[i];
		quota_peer_t *peer;

		if (strcmp(proxy->name, gateway->settings->name) == 0 ||
		    proxy->state == QUOTA_PROXY_REMOVED)
			continue;
		if (proxy->state == QUOTA_PROXY_EVICTED) {
			seen_by_all = seen_by_all &&
				      quota_eviction_has_ended(
					      &own, proxy->since_ms, now_ms);
			continue;
		}
		peer = get_peer(gateway, proxy->name);
		if (peer && peer->seen_revision == revision)
			continue;
		seen_by_all = false;
		if (peer && !peer->seen_request &&
		    quota->seen_requests < SEEN_REQUESTS_MAX)
			ask_seen(peer, revision);
	}
	if (!seen_by_all) {
		/* The rest is asked as the open questions are answered. */
		if (quota->seen_requests < SEEN_REQUESTS_MAX)
			quota->seen_due_ms = now_ms + SEEN_INTERVAL_MS;
		return;
	}
	quota->seen_by_all_revision = revision;
	quota->seen_by_all_ms = now_ms;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "lending-started",
		  LOG_SIGNED("registered_ago_ms",
			     now_ms - gateway->registered_ms));
}

/*
 * Returns a tenant that was not used for TENANT_IDLE_MS, or NULL.
 */
static quota_tenant_t *find_idle(const struct gateway_quota *quota,
				 clock_ms_t now_ms)
{
	quota_tenant_t *tenant;
	quota_tenant_t *next;

	HASH_ITER(hh, quota->tenants, tenant, next) {
		if (tenant->waiting_count == 0 && !tenant->asking &&
		    now_ms >= tenant->used_ms + TENANT_IDLE_MS)
			return tenant;
	}
	return NULL;
}

static void log_refusals(quota_tenant_t *tenant, clock_ms_t now_ms)
{
	LOG_EVENT(
		tenant->gateway->log, LOG_LEVEL_NOTICE, "tenant-limited",
		LOG_TEXT("tenant", tenant->name),
		LOG_UNSIGNED("asked", tenant->asked),
		LOG_UNSIGNED("granted", tenant->admitted),
		LOG_UNSIGNED("refused", tenant->refused),
		LOG_UNSIGNED("held", quota_share_held(&tenant->share, now_ms)));
	tenant->asked = 0;
	tenant->admitted = 0;
	tenant->refused = 0;
	tenant->logged_ms = now_ms;
}

/*
 * Logs the tenants with refused operations, and forgets an idle one.
 */
static void review_tenants(gateway_t *gateway, clock_ms_t now_ms)
{
	struct gateway_quota *quota = gateway->quota;
	quota_tenant_t *tenant;
	quota_tenant_t *next;

	HASH_ITER(hh, quota->tenants, tenant, next) {
		if (tenant->refused > 0 &&
		    now_ms >= tenant->logged_ms + LOG_INTERVAL_MS)
			log_refusals(tenant, now_ms);
	}
	tenant = find_idle(quota, now_ms);
	if (tenant) {
		HASH_DEL(quota->tenants, tenant);
		free(tenant);
	}
}

/*
 * To be called in each tick.
 */
void gateway_quota_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	if (!gateway->quota)
		return;
	check_seen(gateway, now_ms);
	review_tenants(gateway, now_ms);
}

/*
 * Cancels the open requests and frees the state, at the end of the process. No
 * session is left then.
 */
void gateway_quota_free(gateway_t *gateway)
{
	struct gateway_quota *quota = gateway->quota;
	quota_tenant_t *tenant;
	quota_tenant_t *next_tenant;
	quota_peer_t *peer;
	quota_peer_t *next_peer;

	if (!quota)
		return;
	tenant = quota->tenants;
	HASH_CLEAR(hh, quota->tenants);
	for (; tenant; tenant = next_tenant) {
		next_tenant = tenant->hh.next;
		free(tenant);
	}
	peer = quota->peers;
	HASH_CLEAR(hh, quota->peers);
	for (; peer; peer = next_peer) {
		next_peer = peer->hh.next;
		if (peer->request)
			http_request_cancel(peer->request);
		if (peer->seen_request)
			http_request_cancel(peer->seen_request);
		json_decref(peer->sent_rows);
		json_decref(peer->next_rows);
		free(peer);
	}
	free(quota);
	gateway->quota = NULL;
}
