#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Peers are asked once the records have not been confirmed for this long: the
 * next read of the epoch is overdue by then. */
#define CONFIRMATION_OVERDUE_MS 950
/* Interval of the requests to peers: two of them fit into the time of a
 * promise. */
#define PROMISE_ROUND_INTERVAL_MS 400
/* Delay before another voter is asked for its grants in place of a voter that
 * did not answer. */
#define LENDER_RETRY_MS 100
/* Limits of a request to a peer: its time, and the body of its answer. */
#define ANSWER_TIMEOUT_MS 400
#define ANSWER_MAX_BYTES 262144

/* A request to one peer. */
struct peer_request {
	TAILQ_ENTRY(peer_request) entry;
	gateway_t *gateway;
	uint64_t round;
	clock_ms_t asked_ms;
	http_request_t *request;
};

static void free_peer_request(peer_request_t *peer_request)
{
	TAILQ_REMOVE(&peer_request->gateway->peer_requests, peer_request,
		     entry);
	free(peer_request);
}

/*
 * Answers a voter's request for promises with the terms of the groups that are
 * not fenced. For GRANT_PROMISE_MS from now, this proxy reports no stop on
 * them.
 */
void gateway_promise_answer(gateway_t *gateway, http_exchange_t *exchange)
{
	clock_ms_t until_ms = gateway_now(gateway) + GRANT_PROMISE_MS;
	json_t *terms = json_object();
	group_t *group;
	group_t *next;

	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.revision == 0 || group->record.fence != 0 ||
		    gateway->deregistered)
			continue;
		group->promised_until_ms = until_ms;
		json_object_set_new(
			terms, group->name,
			json_integer((json_int_t)group->record.term));
	}
	http_exchange_reply_json(exchange, 200, terms);
}

/*
 * Answers a proxy that is not a voter with the terms on which this proxy holds
 * grants, and the time left. The borrowed grants end no later than this proxy's
 * own, since the borrower counts the time left from when it sent its request.
 * Until then this proxy reports no stop: the grants rest on it as one of the
 * majority, and its stop report may be the only one of that majority that a
 * promotion has.
 */
void gateway_promise_lend(gateway_t *gateway, http_exchange_t *exchange)
{
	clock_ms_t now_ms = gateway_now(gateway);
	json_t *terms = json_object();
	group_t *group;
	group_t *next;

	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.fence != 0 || gateway->deregistered ||
		    !gateway_group_holds_grant(group, now_ms))
			continue;
		if (group->promised_until_ms < group->grant.until_ms)
			group->promised_until_ms = group->grant.until_ms;
		json_object_set_new(
			terms, group->name,
			json_pack(
				"[I,I]", (json_int_t)group->record.term,
				(json_int_t)(group->grant.until_ms - now_ms)));
	}
	http_exchange_reply_json(
		exchange, 200,
		json_pack("{s:I,s:o}", "confirmed_ago_ms",
			  (json_int_t)(now_ms - gateway->confirmed_ms), "terms",
			  terms));
}

/*
 * Returns true if this process is registered, so that a promotion waits for its
 * stop report.
 */
static bool is_member(const gateway_t *gateway)
{
	return gateway->registered_ms != 0 && !gateway->deregistered &&
	       gateway_control_is_registered(gateway);
}

/*
 * Counts the promises of one voter. The promises of a majority, this proxy
 * included, extend the grant.
 */
static void count_promises(const peer_request_t *peer_request,
			   const json_t *terms)
{
	gateway_t *gateway = peer_request->gateway;
	uint32_t majority = voters_majority(&gateway->voters.sets[0]);
	group_t *group;
	group_t *next;

	gateway->promise_answers++;
	if (gateway->promise_answers + 1 >= majority)
		gateway_note_confirmed(gateway, peer_request->asked_ms);
	HASH_ITER(hh, gateway->groups, group, next) {
		const json_t *term = json_object_get(terms, group->name);

		if (!json_is_integer(term) || group->record.fence != 0 ||
		    (uint64_t)json_integer_value(term) != group->grant.term)
			continue;
		group->promise_count++;
		if (group->promise_count + 1 >= majority)
			grant_extend(&group->grant, group->grant.term,
				     peer_request->asked_ms + GRANT_PROMISE_MS);
	}
}

static void on_promised(void *context, int status, const char *body,
			size_t size)
{
	peer_request_t *peer_request = context;
	json_t *terms = status == 200 ? json_loadb(body, size, 0, NULL) : NULL;

	if (json_is_object(terms) && is_member(peer_request->gateway) &&
	    peer_request->round == peer_request->gateway->promise_round)
		count_promises(peer_request, terms);
	json_decref(terms);
	free_peer_request(peer_request);
}

/*
 * Extends the grants by those of a voter, for the time that they had left when
 * this proxy sent its request.
 */
static void borrow_grants(const peer_request_t *peer_request,
			  const json_t *terms, clock_ms_t confirmed_ago_ms)
{
	gateway_t *gateway = peer_request->gateway;
	group_t *group;
	group_t *next;

	gateway_note_confirmed(gateway,
			       peer_request->asked_ms - confirmed_ago_ms);
	HASH_ITER(hh, gateway->groups, group, next) {
		const json_t *row = json_object_get(terms, group->name);
		json_int_t term;
		json_int_t left_ms;

		if (group->record.fence != 0 || !row ||
		    json_unpack((json_t *)row, "[I,I]", &term, &left_ms) != 0 ||
		    (uint64_t)term != group->grant.term || left_ms < 0 ||
		    left_ms > gateway->settings->grant_life_ms)
			continue;
		grant_extend(&group->grant, group->grant.term,
			     peer_request->asked_ms + left_ms);
	}
}

static void on_lent(void *context, int status, const char *body, size_t size)
{
	peer_request_t *peer_request = context;
	gateway_t *gateway = peer_request->gateway;
	json_t *answer = status == 200 ? json_loadb(body, size, 0, NULL) : NULL;
	json_t *terms;
	json_int_t confirmed_ago_ms;

	if (json_unpack(answer, "{s:I,s:o}", "confirmed_ago_ms",
			&confirmed_ago_ms, "terms", &terms) != 0) {
		/* Another voter is asked after LENDER_RETRY_MS. */
		gateway->lender_index++;
		gateway->promise_due_ms =
			gateway_now(gateway) + LENDER_RETRY_MS;
	} else if (is_member(gateway) && confirmed_ago_ms >= 0) {
		borrow_grants(peer_request, terms, confirmed_ago_ms);
	}
	json_decref(answer);
	free_peer_request(peer_request);
}

/*
 * Returns true if there are voters, so that peers are asked while the store
 * does not answer.
 */
bool gateway_promise_is_used(const gateway_t *gateway)
{
	return gateway->voters.sets[0].count > 0;
}

/*
 * Sends a request to a voter. Does nothing if the voter is not registered or
 * there is no memory: it then counts as not having answered.
 */
static void ask_voter(gateway_t *gateway, const char *name, const char *path,
		      http_request_done_t done)
{
	const char *peer = registry_address_get(gateway->proxies, name);
	peer_request_t *peer_request;
	settings_endpoint_t endpoint;
	http_request_options_t options = {
		.method = HTTP_METHOD_GET,
		.path = path,
		.timeout_ms = ANSWER_TIMEOUT_MS,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};

	if (!peer || settings_endpoint_parse(peer, &endpoint) != SETTINGS_OK)
		return;
	peer_request = calloc(1, sizeof(*peer_request));
	if (!peer_request)
		return;
	peer_request->gateway = gateway;
	peer_request->round = gateway->promise_round;
	peer_request->asked_ms = gateway->promise_asked_ms;
	TAILQ_INSERT_TAIL(&gateway->peer_requests, peer_request, entry);
	options.address = endpoint.address;
	options.port = endpoint.port;
	peer_request->request =
		http_request_send(gateway->base, &options, done, peer_request);
	if (!peer_request->request)
		free_peer_request(peer_request);
}

/*
 * Cancels the open requests, at the end of the process.
 */
void gateway_promise_cancel(gateway_t *gateway)
{
	peer_request_t *peer_request;
	peer_request_t *next;

	for (peer_request = TAILQ_FIRST(&gateway->peer_requests); peer_request;
	     peer_request = next) {
		next = TAILQ_NEXT(peer_request, entry);
		http_request_cancel(peer_request->request);
		free(peer_request);
	}
	TAILQ_INIT(&gateway->peer_requests);
}

/*
 * Asks the other voters for promises. Promises only extend grants that were
 * given by reads of the epoch. After the end of the grants, the answers still
 * tell whether this proxy is cut off.
 */
static void ask_voters(gateway_t *gateway, clock_ms_t now_ms)
{
	const voters_t *voters = &gateway->voters.sets[0];
	bool alone = voters_majority(voters) == 1;
	group_t *group;
	group_t *next;
	uint32_t i;

	gateway->promise_answers = 0;
	if (alone)
		gateway_note_confirmed(gateway, now_ms);
	HASH_ITER(hh, gateway->groups, group, next) {
		group->promise_count = 0;
		if (alone)
			grant_extend(&group->grant, group->grant.term,
				     now_ms + GRANT_PROMISE_MS);
	}
	for (i = 0; i < voters->count; i++) {
		if (strcmp(voters->names[i], gateway->settings->name) != 0)
			ask_voter(gateway, voters->names[i],
				  GATEWAY_PATH_PROMISE, on_promised);
	}
}

/*
 * Returns the voter from which grants are borrowed. Voters of this proxy's
 * failure domain come first, and each voter that did not answer is passed over
 * for the next one.
 */
static const char *choose_lender(const gateway_t *gateway)
{
	const voters_t *voters = &gateway->voters.sets[0];
	uint32_t place = gateway->lender_index % voters->count;
	uint32_t seen = 0;
	uint32_t pass;
	uint32_t i;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < voters->count; i++) {
			const char *domain = registry_domain_get(
				gateway->proxies, voters->names[i]);
			bool same =
				strcmp(domain, gateway->settings->domain) == 0;

			if (same == (pass == 0) && seen++ == place)
				return voters->names[i];
		}
	}
	return voters->names[0];
}

/*
 * Extends the grants while the reads of the epoch are overdue, or do not renew
 * them because the store is in a further era: a voter asks the other voters for
 * promises, and any other proxy borrows the grants of a voter. To be called in
 * each tick.
 */
void gateway_promise_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	if (!is_member(gateway) ||
	    (now_ms < gateway->records_confirmed_ms + CONFIRMATION_OVERDUE_MS &&
	     !gateway_era_carries_grants(gateway, now_ms)) ||
	    now_ms < gateway->promise_due_ms ||
	    !gateway_promise_is_used(gateway))
		return;
	gateway->promise_round++;
	gateway->promise_asked_ms = now_ms;
	gateway->promise_due_ms = now_ms + PROMISE_ROUND_INTERVAL_MS;
	if (voters_contain(&gateway->voters.sets[0], gateway->settings->name))
		ask_voters(gateway, now_ms);
	else
		ask_voter(gateway, choose_lender(gateway), GATEWAY_PATH_LENT,
			  on_lent);
}
