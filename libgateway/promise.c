#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Peers are asked when the last read of the own records is older than this:
 * a renewal is overdue. */
#define OVERDUE_MS 950
/* Pause between rounds; two of them fit into a promise. */
#define ROUND_MS 400
/* Time for an answer of a peer. */
#define ANSWER_TIMEOUT_MS 400
#define ANSWER_MAX_BYTES 262144
/* Above this many proxies the messages of all to all would cost more than the
 * control budget; the grants then end with the store. */
#define PROXIES_MAX 64

/* One question to one peer. */
typedef struct {
	gateway_t *gateway;
	uint64_t round;
	clock_ms_t asked_ms;
} question_t;

/*
 * Answers a peer: names the groups and terms on which this proxy will not state
 * a stop for GRANT_PROMISE_MS. There is none for a group that is fenced.
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
		group->promised_ms = until_ms;
		json_object_set_new(
			terms, group->name,
			json_integer((json_int_t)group->record.term));
	}
	http_exchange_reply_json(exchange, 200, terms);
}

/*
 * Tells whether this process is one of the registered ones, of which it needs a
 * majority. One that was evicted is not, and would count one too few.
 */
static bool is_member(const gateway_t *gateway)
{
	return gateway->registered_ms != 0 && !gateway->deregistered &&
	       registry_proxy_holds(gateway->proxies, gateway->settings->name,
				    gateway->incarnation);
}

/*
 * Counts the promises of one peer. Those of a majority, this proxy included,
 * extend the grant.
 */
static void count_promises(const question_t *question, const json_t *terms)
{
	gateway_t *gateway = question->gateway;
	uint32_t majority = registry_majority(gateway->proxies);
	group_t *group;
	group_t *next;

	gateway->promise_answers++;
	if (gateway->promise_answers + 1 >= majority)
		gateway_note_confirmed(gateway, question->asked_ms);
	HASH_ITER(hh, gateway->groups, group, next) {
		const json_t *term = json_object_get(terms, group->name);

		if (!json_is_integer(term) || group->record.fence != 0 ||
		    (uint64_t)json_integer_value(term) != group->grant.term)
			continue;
		group->promises++;
		if (group->promises + 1 >= majority)
			grant_extend(&group->grant, group->grant.term,
				     question->asked_ms);
	}
}

static void on_answer(void *context, int status, const char *body, size_t size)
{
	question_t *question = context;
	json_t *terms = status == 200 ? json_loadb(body, size, 0, NULL) : NULL;

	if (json_is_object(terms) && is_member(question->gateway) &&
	    question->round == question->gateway->promise_round)
		count_promises(question, terms);
	json_decref(terms);
	free(question);
}

/*
 * Tells whether peers are asked at all.
 */
bool gateway_promise_is_used(const gateway_t *gateway)
{
	return registry_proxy_count(gateway->proxies) <= PROXIES_MAX;
}

static void ask_peer(void *context, const char *name, const char *peer)
{
	gateway_t *gateway = context;
	question_t *question;
	settings_endpoint_t endpoint;
	http_request_options_t options = {
		.method = HTTP_METHOD_GET,
		.path = GATEWAY_PATH_PROMISE,
		.timeout_ms = ANSWER_TIMEOUT_MS,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};

	if (strcmp(name, gateway->settings->name) == 0 ||
	    settings_endpoint_parse(peer, &endpoint) != SETTINGS_OK)
		return;
	question = malloc(sizeof(*question));
	if (!question)
		return;
	*question = (question_t){ gateway, gateway->promise_round,
				  gateway->promise_asked_ms };
	options.address = endpoint.address;
	options.port = endpoint.port;
	if (!http_request_send(gateway->base, &options, on_answer, question))
		free(question);
}

/*
 * Asks the registered peers for promises while the reads of the own records are
 * overdue. The grants were given by reads; promises only extend them. After the
 * end of the grants, the answers still tell whether this proxy is cut off.
 */
void gateway_promise_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	group_t *group;
	group_t *next;

	if (!is_member(gateway) ||
	    now_ms < gateway->own_listed_ms + OVERDUE_MS ||
	    now_ms < gateway->promise_asked_ms + ROUND_MS ||
	    !gateway_promise_is_used(gateway))
		return;
	gateway->promise_round++;
	gateway->promise_asked_ms = now_ms;
	gateway->promise_answers = 0;
	if (registry_majority(gateway->proxies) == 1)
		gateway_note_confirmed(gateway, now_ms);
	HASH_ITER(hh, gateway->groups, group, next) {
		group->promises = 0;
		if (registry_majority(gateway->proxies) == 1)
			grant_extend(&group->grant, group->grant.term, now_ms);
	}
	registry_proxy_visit(gateway->proxies, ask_peer, gateway);
}
