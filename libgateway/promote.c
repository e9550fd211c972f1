#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "platform/messages.h"

/* Limit of one order; it is repeated under the same token. */
#define ORDER_TIMEOUT_MS 1000
/* The body of its answer is not used. */
#define ORDER_ANSWER_MAX_BYTES 65536
/* A group without a record is adopted by one proxy, once those that started
 * together are registered. */
#define ADOPT_SETTLE_MS 500
/* Pause before its survey is repeated: targets that start together are listed
 * one after the other. */
#define ADOPT_PAUSE_MS 500
/* Each further proxy waits for two surveys more. */
#define ADOPT_STEP_MS (2 * ADOPT_PAUSE_MS)

/* A round of questions to the targets of a group. */
struct survey {
	group_t *group;
	/* No primary is recorded yet: the answer only shows who leads. */
	bool adopts;
	uint32_t pending;
	size_t count;
	promotion_candidate_t candidates[PROMOTION_CANDIDATES_MAX];
};

/* A change of records on its way. */
typedef struct {
	group_t *group;
	promotion_action_t action;
} record_change_t;

static promotion_view_t view_of(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	const target_t *primary = gateway_group_primary(group);
	const service_t *service = gateway_configuration_service(
		&gateway->configuration, group->name);
	promotion_view_t view = {
		.self = gateway->settings->name,
		.incarnation = gateway->incarnation,
		.record = group->record,
		.promoter = gateway->promoter,
		.registered = registry_proxy_count(gateway->proxies),
		.suspicions = registry_count_suspicions(
			gateway->proxies, group->name, &group->record),
		.suspected_here = group->doubt_written,
		.leaving =
			primary && gateway_target_is_leaving(primary, now_ms),
		.synchronous = service && service->synchronous_replicas > 0,
		.now_ms = now_ms,
	};

	/* Ranks walk all proxies, and are used only for a group in trouble. */
	if (view.suspected_here)
		view.rank = registry_suspicion_rank(gateway->proxies,
						    group->name, &group->record,
						    gateway->settings->name);
	else if (view.leaving || group->record.fence != 0)
		view.rank = registry_proxy_rank(gateway->proxies,
						gateway->settings->name);
	/* Proxies that registered before the fence are certain to be counted
	 * only after a read that was sent after it. */
	if (gateway->own_confirmed_ms > group->promotion.fenced_ms) {
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

static char *record_text(const group_record_t *record)
{
	json_t *starts = json_array();
	json_t *value;
	char *text;
	uint32_t i;

	for (i = 0; i < record->term_history.count; i++) {
		const log_position_t *start = &record->term_history.starts[i];

		json_array_append_new(
			starts, json_pack("[I,I]", (json_int_t)start->term,
					  (json_int_t)start->number));
	}
	value = json_pack("{s:I,s:s,s:I,s:o}", "term", (json_int_t)record->term,
			  "primary", record->primary, "fence",
			  (json_int_t)record->fence, "starts", starts);
	text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	return text;
}

/*
 * Returns the record that an action writes: a fence on the present term, or the
 * new term.
 */
static group_record_t next_record(const group_t *group,
				  const promotion_action_t *action)
{
	group_record_t record = group->record;

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

static char *group_key(const group_t *group)
{
	char *key = NULL;

	if (asprintf(&key, GATEWAY_GROUP_PREFIX "%s", group->name) < 0)
		return NULL;
	return key;
}

static char *duty_text(const gateway_t *gateway, uint64_t token)
{
	char *text = NULL;

	if (asprintf(&text,
		     "{\"holder\":\"%s\",\"incarnation\":%" PRIu64
		     ",\"token\":%" PRIu64 "}",
		     gateway->settings->name, gateway->incarnation, token) < 0)
		return NULL;
	return text;
}

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
		LOG_UNSIGNED("doubting",
			     registry_count_suspicions(proxies, group->name,
						       &group->record)),
		LOG_UNSIGNED("stopped",
			     registry_count_stopped(proxies, group->name,
						    &group->record)));
}

/*
 * Takes over the revision of the duty from an own write, ahead of the watch,
 * and counts it as a confirmation for all promotions of this proxy.
 */
static void note_duty(gateway_t *gateway, uint64_t revision, clock_ms_t sent_ms)
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

static void on_record_changed(void *context, int error,
			      const store_answer_t *answer, clock_ms_t sent_ms)
{
	record_change_t *change = context;
	group_t *group = change->group;
	gateway_t *gateway = group->gateway;
	clock_ms_t now_ms = gateway_now(gateway);
	promotion_view_t view = view_of(group, now_ms);

	log_step(group, &change->action, "promotion-record",
		 store_error_name(error));
	gateway->epoch_due_ms = 0;
	gateway->duty_writing = false;
	if (error == STORE_OK)
		note_duty(gateway, answer->revision, sent_ms);
	if (error != STORE_OK) {
		/* The watch resolves a conflict at once. */
		if (error != STORE_ERROR_CONFLICT)
			gateway->duty_retry_ms =
				now_ms + GATEWAY_CHANGE_RETRY_MS;
		promotion_failed(&group->promotion);
	} else if (change->action.kind == PROMOTION_ACTION_FENCE) {
		promotion_fenced(&group->promotion, &view, change->action.token,
				 sent_ms);
		/* The view follows by the watch; until then it would show no
		 * fence. */
		group->record.fence = change->action.token;
		group->record.revision = answer->revision;
		group->stopping_ms = now_ms;
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
 * Writes the duty and, but for a renewal, the group's record, on condition that
 * both are as they were seen.
 */
static void change_records(group_t *group, const promotion_action_t *action)
{
	gateway_t *gateway = group->gateway;
	record_change_t *context = calloc(1, sizeof(*context));
	bool fences = action->kind == PROMOTION_ACTION_FENCE;
	uint64_t token = fences ? action->token : group->promotion.fence;
	char *duty = duty_text(gateway, token);
	char *key = group_key(group);
	const group_record_t next = next_record(group, action);
	char *record = record_text(&next);
	store_change_t change = {
		.expected = { { GATEWAY_DUTY_KEY, gateway->promoter.revision },
			      { key, group->record.revision } },
		.expected_count = 2,
		.writes = { { GATEWAY_DUTY_KEY, duty }, { key, record } },
		.write_count = action->kind == PROMOTION_ACTION_RENEW ? 1 : 2,
	};
	int error = STORE_ERROR_MEMORY;

	if (fences)
		gateway_control_change_epoch(&change);
	if (context && duty && key && record) {
		context->group = group;
		context->action = *action;
		error = store_change(gateway->store, &change, on_record_changed,
				     context);
	}
	gateway->duty_writing = error == STORE_OK;
	if (error != STORE_OK) {
		free(context);
		promotion_failed(&group->promotion);
	}
	free(duty);
	free(key);
	free(record);
}

static void on_adopted(void *context, int error, const store_answer_t *answer,
		       clock_ms_t sent_ms)
{
	group_t *group = context;

	(void)answer;
	(void)sent_ms;
	group->record_writing = false;
	/* The record is there, and the watch is about to show it. */
	if (error == STORE_OK || error == STORE_ERROR_CONFLICT)
		group->adopted = true;
	LOG_EVENT(group->gateway->log, LOG_LEVEL_NOTICE, "term-adopted",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("result", store_error_name(error)));
	group->gateway->epoch_due_ms = 0;
}

/*
 * Writes the first record of a group: the target that leads the newest term.
 * All promotions are this system's own, so that without a record there was
 * none.
 */
static void adopt(group_t *group, const survey_t *survey)
{
	const promotion_candidate_t *found = NULL;
	store_change_t change = { .expected_count = 1, .write_count = 1 };
	group_record_t record = { 0 };
	char *key = group_key(group);
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
		memcpy(record.primary, found->id, sizeof(record.primary));
		text = record_text(&record);
	}
	if (key && text) {
		change.expected[0] = (store_expectation_t){ key, 0 };
		change.writes[0] = (store_write_t){ key, text };
		group->record_writing =
			store_change(group->gateway->store, &change, on_adopted,
				     group) == STORE_OK;
	} else {
		group->record_writing = false;
	}
	free(key);
	free(text);
}

static void finish_survey(survey_t *survey)
{
	group_t *group = survey->group;
	clock_ms_t now_ms = gateway_now(group->gateway);
	promotion_view_t view = view_of(group, now_ms);
	promotion_action_t shown = { 0 };

	if (survey->adopts) {
		adopt(group, survey);
	} else {
		promotion_surveyed(&group->promotion, &view, survey->candidates,
				   survey->count);
		memcpy(shown.target, group->promotion.candidate,
		       sizeof(shown.target));
		log_step(group, &shown, "promotion-surveyed", "ok");
	}
	free(survey);
}

/*
 * Takes the answer of one target to a survey; status is NULL if there is none.
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
 * Ends one question of a survey at the end of the process, when no answer is
 * acted on.
 */
void gateway_promote_survey_drop(survey_t *survey)
{
	if (--survey->pending == 0)
		free(survey);
}

/*
 * Asks all targets of a group for their status.
 */
static bool start_survey(group_t *group, bool adopts)
{
	gateway_t *gateway = group->gateway;
	survey_t *survey = calloc(1, sizeof(*survey));
	clock_ms_t now_ms = gateway_now(gateway);
	target_t *target;

	if (!survey)
		return false;
	survey->group = group;
	survey->adopts = adopts;
	/* Kept until all questions are sent. */
	survey->pending = 1;
	TAILQ_FOREACH(target, &group->targets, group_entry) {
		promotion_candidate_t *candidate =
			&survey->candidates[survey->count];

		if (survey->count == PROMOTION_CANDIDATES_MAX)
			break;
		survey->count++;
		snprintf(candidate->id, sizeof(candidate->id), "%s",
			 target->entry.id);
		candidate->leaving = gateway_target_is_leaving(target, now_ms);
		survey->pending++;
		if (!gateway_connection_open(target, survey))
			survey->pending--;
	}
	if (--survey->pending == 0)
		finish_survey(survey);
	return true;
}

static void on_order_answered(void *context, int status, const char *body,
			      size_t size)
{
	record_change_t *order = context;
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
 * Sends the order to promote. Its answer is confirmed by a survey.
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
	record_change_t *order = calloc(1, sizeof(*order));
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
 * Looks for the first primary of a group without a record, after the proxies
 * before this one had their turn.
 */
static void adopt_in_turn(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	clock_ms_t turn_ms = gateway->registered_ms + ADOPT_SETTLE_MS;

	if (group->record_writing || group->adopted ||
	    gateway->registered_ms == 0 || now_ms < turn_ms ||
	    now_ms < group->promotion.survey_since_ms)
		return;
	if (turn_ms < group->created_ms)
		turn_ms = group->created_ms;
	turn_ms += ADOPT_STEP_MS *
		   (clock_ms_t)promotion_adoption_turn(
			   group->name,
			   registry_proxy_rank(gateway->proxies,
					       gateway->settings->name),
			   registry_proxy_count(gateway->proxies));
	if (now_ms < turn_ms)
		return;
	group->promotion.survey_since_ms = now_ms + ADOPT_PAUSE_MS;
	group->record_writing = true;
	group->record_writing =
		start_survey(group, true) && group->record_writing;
}

/*
 * Tells whether a group needs nothing, as nearly all do in nearly every tick:
 * its view is not put together then.
 */
static bool is_quiet(const group_t *group, clock_ms_t now_ms)
{
	const target_t *primary = gateway_group_primary(group);

	return group->promotion.stage == PROMOTION_STAGE_IDLE &&
	       !group->promotion.busy && group->record.fence == 0 &&
	       !group->doubt_written &&
	       !(primary && gateway_target_is_leaving(primary, now_ms));
}

/*
 * Does the next step of a group's promotion, if this proxy has one to do, or
 * looks for the first primary of a group without a record.
 */
void gateway_promote_tick(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	promotion_view_t view;
	promotion_action_t action;

	if (!mirror_complete(gateway->own_mirror) || gateway->deregistered ||
	    registry_proxy_count(gateway->proxies) == 0)
		return;
	if (group->record.revision == 0) {
		adopt_in_turn(group, now_ms);
		return;
	}
	if (is_quiet(group, now_ms)) {
		group->promotion.needed_since_ms = 0;
		return;
	}
	view = view_of(group, now_ms);
	action = promotion_step(&group->promotion, &view);
	switch (action.kind) {
	case PROMOTION_ACTION_NONE:
		break;
	case PROMOTION_ACTION_FENCE:
	case PROMOTION_ACTION_RENEW:
	case PROMOTION_ACTION_RECORD:
		if (gateway->duty_writing || now_ms < gateway->duty_retry_ms)
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
