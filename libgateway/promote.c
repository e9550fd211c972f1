#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "libjson/text.h"
#include "platform/messages.h"

/* Time limit of an order. An order without an answer is sent again with the
 * same token. */
#define ORDER_TIMEOUT_MS 1000
/* Limit of the answer's body, which is not used. */
#define ORDER_ANSWER_MAX_BYTES 65536
/* A group without a record is adopted by one proxy. Adoption waits this long
 * after the registration, so that proxies that started together are registered
 * as well. */
#define ADOPT_SETTLE_MS 500
/* Delay before the survey of an adoption is repeated. Targets that start
 * together are listed one after the other. */
#define ADOPT_SURVEY_INTERVAL_MS 500
/* Each further proxy in the order of adoption waits for two more surveys. */
#define ADOPT_TURN_MS (2 * ADOPT_SURVEY_INTERVAL_MS)

/* Most bytes of the text of a survey's answers in the log. */
#define SURVEY_TEXT_MAX_BYTES 1024

/* A poll of the status of all targets of a group. */
struct survey {
	group_t *group;
	/* The survey is for an adoption: the group has no record, and the
	 * primary with the newest term is recorded. */
	bool adopts;
	uint32_t pending;
	size_t count;
	promotion_candidate_t candidates[PROMOTION_CANDIDATES_MAX];
};

/* A change of records, or an order, that has not been answered yet. */
typedef struct {
	group_t *group;
	promotion_action_t action;
} promotion_request_t;

/*
 * Returns what this proxy knows about a group, for the decisions of its
 * promotion.
 */
static promotion_view_t make_view(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	const target_t *primary = gateway_group_primary(group);
	promotion_view_t view = {
		.self = gateway->settings->name,
		.incarnation = gateway->incarnation,
		.record = group->record,
		.promoter = gateway->promoter,
		.registered = registry_proxy_count(gateway->proxies),
		.suspicions = registry_count_suspicions(
			gateway->proxies, group->name, &group->record),
		.suspected_here = group->suspicion_reported,
		.leaving =
			primary && gateway_target_is_leaving(primary, now_ms),
		.synchronous = gateway_group_is_synchronous(group),
		.now_ms = now_ms,
	};

	/* Ranks are computed from all proxies, and used only for a group that
	 * needs a promotion. */
	if (view.suspected_here)
		view.rank = registry_suspicion_rank(gateway->proxies,
						    group->name, &group->record,
						    gateway->settings->name);
	else if (view.leaving || group->record.fence != 0)
		view.rank = registry_proxy_rank(gateway->proxies,
						gateway->settings->name);
	view.era = gateway->era.number;
	view.old_promoter_replaceable = era_promoter_is_replaceable(
		&gateway->era, &group->promotion.options, now_ms);
	view.old_grants_left = !era_grants_have_ended(
		&gateway->era, &group->promotion.options, now_ms);
	/* Only a read that was sent after the fence shows all proxies that had
	 * registered before it. */
	if (gateway->records_confirmed_ms > group->promotion.fenced_ms &&
	    !view.old_grants_left) {
		view.all_stopped = registry_all_stopped(
			gateway->proxies, group->name, &group->record,
			gateway->settings->grant_life_ms, now_ms);
		view.majority_blocked = voters_majority_blocked(
			&gateway->voters, gateway->proxies, group->name,
			&group->record, gateway->settings->grant_life_ms,
			now_ms);
	}
	view.promoter_restarted = registry_proxy_restarted(
		gateway->proxies, gateway->promoter.name,
		gateway->promoter.incarnation);
	return view;
}

/*
 * Returns a group's record as JSON, to be freed, or NULL if there is no memory.
 */
char *gateway_promote_record_text(const group_record_t *record)
{
	json_t *starts = json_array();
	json_t *value;
	char *text;
	int error = 0;
	uint32_t i;

	for (i = 0; i < record->term_history.count; i++) {
		const log_position_t *start = &record->term_history.starts[i];

		error |= json_array_append_new(
			starts, json_pack("[I,I]", (json_int_t)start->term,
					  (json_int_t)start->number));
	}
	value = json_pack("{s:I,s:s,s:I,s:I,s:o}", "term",
			  (json_int_t)record->term, "primary", record->primary,
			  "fence", (json_int_t)record->fence, "era",
			  (json_int_t)record->era, "starts", starts);
	text = json_text_format(value);
	if (!error)
		return text;
	free(text);
	return NULL;
}

/*
 * Returns the record that an action writes: the present one with a fence, or
 * the one of the new term.
 */
static group_record_t next_record(const group_t *group,
				  const promotion_action_t *action)
{
	group_record_t record = group->record;

	record.era = group->gateway->era.number;
	if (action->kind == PROMOTION_ACTION_FENCE) {
		record.fence = action->token;
		return record;
	}
	record.fence = 0;
	if (action->term > record.term)
		term_history_add(
			&record.term_history,
			(log_position_t){ action->term, action->start_number });
	record.term = action->term;
	memcpy(record.primary, action->target, sizeof(record.primary));
	return record;
}

/*
 * Returns the key of a group's record, to be freed, or NULL if there is no
 * memory.
 */
char *gateway_promote_group_key(const group_t *group)
{
	char *key = NULL;

	if (asprintf(&key, GATEWAY_GROUP_PREFIX "%s", group->name) < 0)
		return NULL;
	return key;
}

/*
 * Returns the revision that a change must expect of a group's record.
 */
uint64_t gateway_promote_expected_revision(const group_t *group)
{
	return group->record.lost ? 0 : group->record.revision;
}

static char *promoter_text(const gateway_t *gateway, uint64_t token)
{
	char *text = NULL;

	if (asprintf(&text,
		     "{\"holder\":\"%s\",\"incarnation\":%" PRIu64
		     ",\"token\":%" PRIu64 "}",
		     gateway->settings->name, gateway->incarnation, token) < 0)
		return NULL;
	return text;
}

/*
 * Logs one step of a group's promotion with what was known when it was decided.
 */
static void log_step(const group_t *group, const promotion_action_t *action,
		     const char *event, const char *result)
{
	const registry_t *proxies = group->gateway->proxies;

	LOG_EVENT(
		group->gateway->log, LOG_LEVEL_NOTICE, event,
		LOG_TEXT("service", group->name), LOG_TEXT("result", result),
		LOG_TEXT("stage", promotion_stage_name(group->promotion.stage)),
		LOG_TEXT("target", action->target),
		LOG_UNSIGNED("token", action->token),
		LOG_UNSIGNED("term", action->term),
		LOG_UNSIGNED("recorded_term", group->record.term),
		LOG_UNSIGNED("revision", group->record.revision),
		LOG_UNSIGNED("proxies", registry_proxy_count(proxies)),
		LOG_UNSIGNED("suspecting",
			     registry_count_suspicions(proxies, group->name,
						       &group->record)),
		LOG_UNSIGNED("stopped",
			     registry_count_stopped(proxies, group->name,
						    &group->record)));
}

/*
 * Stores the revision of the promoter record from this proxy's own write,
 * before the watch shows it. The write confirms the promoter for all promotions
 * of this proxy.
 */
static void note_promoter_confirmed(gateway_t *gateway, uint64_t revision,
				    clock_ms_t sent_ms)
{
	group_t *group;
	group_t *next;

	if (revision > gateway->promoter.revision)
		gateway->promoter.revision = revision;
	HASH_ITER(hh, gateway->groups, group, next) {
		promotion_promoter_confirmed(&group->promotion,
					     gateway->promoter.token, sent_ms);
	}
}

/*
 * Handles the answer to a change of records: reports it to the promotion, and
 * applies a fence before the watch shows it.
 */
static void on_record_changed(void *context, int error,
			      const store_answer_t *answer, clock_ms_t sent_ms)
{
	promotion_request_t *change = context;
	group_t *group = change->group;
	gateway_t *gateway = group->gateway;
	clock_ms_t now_ms = gateway_now(gateway);
	promotion_view_t view = make_view(group, now_ms);

	log_step(group, &change->action, "promotion-record",
		 store_error_name(error));
	gateway->epoch_due_ms = 0;
	gateway->promoter_write_pending = false;
	if (error == STORE_OK)
		note_promoter_confirmed(gateway, answer->revision, sent_ms);
	if (error != STORE_OK) {
		/* After a conflict, the watch is about to show the present
		 * record. */
		if (error != STORE_ERROR_CONFLICT)
			gateway->promoter_retry_ms =
				now_ms + GATEWAY_CHANGE_RETRY_MS;
		promotion_failed(&group->promotion);
	} else if (change->action.kind == PROMOTION_ACTION_FENCE) {
		promotion_fenced(&group->promotion, &view, change->action.token,
				 sent_ms);
		/* The watch shows the fence only later; until then the record
		 * known here would have none. */
		group->record.fence = change->action.token;
		group->record.revision = answer->revision;
		group->record.lost = false;
		group->record.era = store_revision_era(answer->revision);
		group->fence_seen_ms = now_ms;
		snprintf(gateway->promoter.name, sizeof(gateway->promoter.name),
			 "%s", gateway->settings->name);
		gateway->promoter.incarnation = gateway->incarnation;
		gateway->promoter.token = change->action.token;
	} else if (change->action.kind == PROMOTION_ACTION_RENEW) {
		promotion_renewed(&group->promotion, sent_ms);
	} else {
		promotion_recorded(&group->promotion);
		counter_family_add(gateway->counters.promotions, group->name,
				   1);
	}
	free(change);
}

/*
 * Writes the promoter record and, unless the action is a renewal, the group's
 * record. The write expects both records to have the revisions known here.
 */
static void change_records(group_t *group, const promotion_action_t *action)
{
	gateway_t *gateway = group->gateway;
	promotion_request_t *context = calloc(1, sizeof(*context));
	bool fences = action->kind == PROMOTION_ACTION_FENCE;
	uint64_t token = fences ? action->token : group->promotion.fence;
	char *promoter = promoter_text(gateway, token);
	char *key = gateway_promote_group_key(group);
	const group_record_t next = next_record(group, action);
	char *record = gateway_promote_record_text(&next);
	store_change_t change = {
		.expected = { { GATEWAY_PROMOTER_KEY,
				gateway->promoter.revision },
			      { key,
				gateway_promote_expected_revision(group) } },
		.expected_count = 2,
		.writes = { { GATEWAY_PROMOTER_KEY, promoter },
			    { key, record } },
		.write_count = action->kind == PROMOTION_ACTION_RENEW ? 1 : 2,
	};
	int error = STORE_ERROR_MEMORY;

	if (fences)
		gateway_control_change_epoch(&change);
	if (context && promoter && key && record) {
		context->group = group;
		context->action = *action;
		error = gateway_era_write(gateway, &change, on_record_changed,
					  context);
	}
	gateway->promoter_write_pending = error == STORE_OK;
	if (error != STORE_OK) {
		free(context);
		promotion_failed(&group->promotion);
	}
	free(promoter);
	free(key);
	free(record);
}

static void on_adopted(void *context, int error, const store_answer_t *answer,
		       clock_ms_t sent_ms)
{
	group_t *group = context;

	(void)answer;
	(void)sent_ms;
	group->adoption_pending = false;
	/* The record exists, and the watch is about to show it. */
	if (error == STORE_OK || error == STORE_ERROR_CONFLICT)
		group->adopted = true;
	LOG_EVENT(group->gateway->log, LOG_LEVEL_NOTICE, "term-adopted",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("result", store_error_name(error)));
	group->gateway->epoch_due_ms = 0;
}

/*
 * Writes the first record of a group, which names the reached primary with the
 * highest term. Only proxies promote targets, so that a group without a record
 * has had no promotion.
 */
static void adopt(group_t *group, const survey_t *survey)
{
	const promotion_candidate_t *found = NULL;
	store_change_t change = { .expected_count = 1, .write_count = 1 };
	group_record_t record = { 0 };
	char *key = gateway_promote_group_key(group);
	char *text = NULL;
	size_t i;

	for (i = 0; i < survey->count; i++) {
		const promotion_candidate_t *candidate = &survey->candidates[i];

		if (candidate->reached && candidate->status.is_primary &&
		    (!found || candidate->status.term > found->status.term))
			found = candidate;
	}
	if (found) {
		record.term = found->status.term;
		/* The store may have lost a record, and orders may be
		 * outstanding: a promotion has to follow. */
		if (group->gateway->era.settled)
			record.era = group->gateway->era.number;
		memcpy(record.primary, found->id, sizeof(record.primary));
		text = gateway_promote_record_text(&record);
	}
	if (key && text) {
		change.expected[0] = (store_expectation_t){ key, 0 };
		change.writes[0] = (store_write_t){ key, text };
		group->adoption_pending =
			gateway_era_write(group->gateway, &change, on_adopted,
					  group) == STORE_OK;
	} else {
		group->adoption_pending = false;
	}
	free(key);
	free(text);
}

/*
 * Writes the answers of a survey as text: for each target its id, its role or
 * "none" without an answer, its position, and "leaving" if it leaves. Text
 * that does not fit is cut off.
 */
static void describe_answers(const survey_t *survey, char *text, size_t size)
{
	size_t used = 0;
	size_t i;

	text[0] = '\0';
	for (i = 0; i < survey->count && used < size; i++) {
		const promotion_candidate_t *candidate = &survey->candidates[i];
		const target_status_t *status = &candidate->status;
		const char *separator = i > 0 ? ", " : "";
		const char *leaving = candidate->leaving ? " leaving" : "";
		int written;

		if (candidate->reached)
			written = snprintf(text + used, size - used,
					   "%s%s %s %" PRIu64 ".%" PRIu64 "%s",
					   separator, candidate->id,
					   status->is_primary ? "primary"
							      : "replica",
					   status->received.term,
					   status->received.number, leaving);
		else
			written = snprintf(text + used, size - used,
					   "%s%s none%s", separator,
					   candidate->id, leaving);
		used += (size_t)written;
	}
}

/*
 * Logs the answers of a survey and what was decided by them.
 */
static void log_survey(const survey_t *survey)
{
	const group_t *group = survey->group;
	const promotion_t *promotion = &group->promotion;
	char answers[SURVEY_TEXT_MAX_BYTES];

	describe_answers(survey, answers, sizeof(answers));
	LOG_EVENT(group->gateway->log, LOG_LEVEL_NOTICE, "promotion-surveyed",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("stage", promotion_stage_name(promotion->stage)),
		  LOG_TEXT("target", promotion->candidate),
		  LOG_TEXT("waits_for", promotion_wait_name(promotion->wait)),
		  LOG_UNSIGNED("token", promotion->fence),
		  LOG_UNSIGNED("recorded_term", group->record.term),
		  LOG_TEXT("answers", answers));
}

static void finish_survey(survey_t *survey)
{
	group_t *group = survey->group;
	clock_ms_t now_ms = gateway_now(group->gateway);
	promotion_view_t view = make_view(group, now_ms);

	if (survey->adopts) {
		adopt(group, survey);
	} else {
		promotion_surveyed(&group->promotion, &view, survey->candidates,
				   survey->count);
		log_survey(survey);
	}
	free(survey);
}

/*
 * Adds the answer of one target to a survey; status is NULL if the target gave
 * none. The last answer finishes the survey.
 */
void gateway_promote_survey_answer(survey_t *survey, target_t *target,
				   const target_status_t *status)
{
	size_t i;

	for (i = 0; status && i < survey->count; i++) {
		if (strcmp(survey->candidates[i].id, target->entry.id) != 0)
			continue;
		survey->candidates[i].reached = true;
		survey->candidates[i].status = *status;
	}
	if (--survey->pending == 0)
		finish_survey(survey);
}

/*
 * Drops one open request of a survey at the end of the process, without acting
 * on the answers.
 */
void gateway_promote_survey_drop(survey_t *survey)
{
	if (--survey->pending == 0)
		free(survey);
}

/*
 * Asks those targets of a group for their status that are gone, or those that
 * are not, up to PROMOTION_CANDIDATES_MAX in all.
 */
static void ask_targets(survey_t *survey, bool gone)
{
	clock_ms_t now_ms = gateway_now(survey->group->gateway);
	target_t *target;

	TAILQ_FOREACH(target, &survey->group->targets, group_entry) {
		promotion_candidate_t *candidate =
			&survey->candidates[survey->count];

		if (survey->count == PROMOTION_CANDIDATES_MAX)
			break;
		if (gateway_target_is_gone(target, now_ms) != gone)
			continue;
		survey->count++;
		snprintf(candidate->id, sizeof(candidate->id), "%s",
			 target->entry.id);
		candidate->leaving = gateway_target_is_leaving(target, now_ms);
		candidate->gone = gone;
		survey->pending++;
		if (!gateway_connection_open(target, survey, ""))
			survey->pending--;
	}
}

/*
 * Asks all targets of a group for their status, on connections that are opened
 * for it. Returns false if there is no memory.
 */
static bool start_survey(group_t *group, bool adopts)
{
	survey_t *survey = calloc(1, sizeof(*survey));

	if (!survey)
		return false;
	survey->group = group;
	survey->adopts = adopts;
	/* Keeps the survey until all requests are sent. */
	survey->pending = 1;
	ask_targets(survey, false);
	ask_targets(survey, true);
	if (--survey->pending == 0)
		finish_survey(survey);
	return true;
}

static void on_order_answered(void *context, int status, const char *body,
			      size_t size)
{
	promotion_request_t *order = context;
	group_t *group = order->group;
	char result[16];

	(void)body;
	(void)size;
	snprintf(result, sizeof(result), "%d", status);
	log_step(group, &order->action, "promotion-ordered", result);
	promotion_ordered(&group->promotion, status == 200, status == 409,
			  gateway_now(group->gateway));
	free(order);
}

/*
 * Sends the platform the order to make a target primary. A survey then shows
 * whether the order took effect. Returns false if it was not sent.
 */
static bool send_order(group_t *group, const promotion_action_t *action)
{
	const settings_t *settings = group->gateway->settings;
	char token[24];
	const http_header_t headers[] = {
		{ PLATFORM_HEADER_HOLDER, settings->name },
		{ PLATFORM_HEADER_TOKEN, token },
	};
	char *body = platform_promote_body(group->name, action->target);
	http_request_options_t options = {
		.address = settings->promotion.address,
		.port = settings->promotion.port,
		.method = HTTP_METHOD_POST,
		.path = PLATFORM_PATH_PROMOTE,
		.body = body,
		.headers = headers,
		.header_count = sizeof(headers) / sizeof(headers[0]),
		.timeout_ms = ORDER_TIMEOUT_MS,
		.answer_max_bytes = ORDER_ANSWER_MAX_BYTES,
	};
	promotion_request_t *order = calloc(1, sizeof(*order));
	bool sent = false;

	if (order && body) {
		order->group = group;
		order->action = *action;
		snprintf(token, sizeof(token), "%" PRIu64, action->token);
		sent = http_request_send(group->gateway->base, &options,
					 on_order_answered, order) != NULL;
	}
	if (!sent)
		free(order);
	free(body);
	return sent;
}

/*
 * Adopts a group that has no record in the store yet: asks its targets which of
 * them is primary, so that adopt() can write the group's first record. A group
 * whose service the configuration does not name is not adopted: any writer of
 * an entry can name a service. The proxies that come before this one in the
 * order of adoption first get time to write the record. The order differs by
 * group, so that the work is spread.
 */
static void adopt_in_turn(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	clock_ms_t turn_ms = gateway->registered_ms + ADOPT_SETTLE_MS;

	if (group->adoption_pending || group->adopted ||
	    !era_grants_have_ended(&gateway->era, &group->promotion.options,
				   now_ms) ||
	    !gateway_configuration_service(&gateway->configuration,
					   group->name) ||
	    gateway->registered_ms == 0 || now_ms < turn_ms ||
	    now_ms < group->promotion.survey_since_ms)
		return;
	if (turn_ms < group->created_ms)
		turn_ms = group->created_ms;
	turn_ms += ADOPT_TURN_MS *
		   (clock_ms_t)promotion_adoption_turn(
			   group->name,
			   registry_proxy_rank(gateway->proxies,
					       gateway->settings->name),
			   registry_proxy_count(gateway->proxies));
	if (now_ms < turn_ms)
		return;
	/* Before the adoption, this is the earliest time of the next survey. */
	group->promotion.survey_since_ms = now_ms + ADOPT_SURVEY_INTERVAL_MS;
	/* A survey that can open no connection ends within start_survey(), and
	 * adopt() then sets adoption_pending to false. */
	group->adoption_pending = true;
	group->adoption_pending =
		start_survey(group, true) && group->adoption_pending;
}

/*
 * Returns true if no promotion may write the record of a group anew: the record
 * cannot be read, and any writer can create one for a service that the
 * configuration does not name.
 */
static bool is_record_foreign(const group_t *group)
{
	return group->record.fence == GATEWAY_FENCE_UNKNOWN &&
	       !gateway_configuration_service(&group->gateway->configuration,
					      group->name);
}

/*
 * Returns true if a group needs no promotion and none is in progress. This
 * holds for nearly all groups in nearly every tick, and saves them the cost of
 * a view.
 */
static bool needs_no_promotion(const group_t *group, clock_ms_t now_ms)
{
	const target_t *primary = gateway_group_primary(group);

	return group->promotion.stage == PROMOTION_STAGE_IDLE &&
	       !group->promotion.busy && group->record.fence == 0 &&
	       !group->suspicion_reported &&
	       !(primary && gateway_target_is_leaving(primary, now_ms));
}

/*
 * Does this proxy's next step of a group's promotion, if there is one. For a
 * group without a record, it works on the adoption instead. To be called in
 * each tick.
 */
void gateway_promote_tick(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	promotion_view_t view;
	promotion_action_t action;

	if (!mirror_complete(gateway->record_mirror) || gateway->deregistered ||
	    registry_proxy_count(gateway->proxies) == 0)
		return;
	if (group->record.revision == 0) {
		adopt_in_turn(group, now_ms);
		return;
	}
	/* A process that is not registered seems to have ended. */
	if (is_record_foreign(group) || needs_no_promotion(group, now_ms) ||
	    (group->promotion.stage == PROMOTION_STAGE_IDLE &&
	     !group->promotion.busy &&
	     !gateway_control_is_registered(gateway))) {
		group->promotion.needed_since_ms = 0;
		return;
	}
	view = make_view(group, now_ms);
	action = promotion_step(&group->promotion, &view);
	switch (action.kind) {
	case PROMOTION_ACTION_NONE:
		break;
	case PROMOTION_ACTION_FENCE:
	case PROMOTION_ACTION_RENEW:
	case PROMOTION_ACTION_RECORD:
		if (gateway->promoter_write_pending ||
		    now_ms < gateway->promoter_retry_ms)
			promotion_failed(&group->promotion);
		else
			change_records(group, &action);
		break;
	case PROMOTION_ACTION_SURVEY:
		if (!start_survey(group, false))
			promotion_failed(&group->promotion);
		break;
	case PROMOTION_ACTION_ORDER:
		if (!send_order(group, &action))
			promotion_failed(&group->promotion);
		break;
	}
}
