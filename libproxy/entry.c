#include "internal.h"

#include "deadline.h"
#include "transaction_id.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Wait before the candidates are asked again when none of them could serve,
 * for example while a new primary is promoted. */
#define ROUND_WAIT_MS 20

/* A caller's request on its way through the candidates. */
struct proxy_request {
	proxy_t *proxy;
	caller_call_t *call;
	caller_operation_t caller_operation;
	peer_operation_t operation;
	char *service;
	char *statement;
	char *key;
	char *transaction;
	session_token_t token;
	bool token_given;
	uint64_t service_hash;
	uint64_t fingerprint;
	group_point_t seen;
	clock_ms_t max_age_ms;
	clock_ms_t started_ms;
	clock_ms_t deadline_ms;
	trace_span_t span;
	trace_span_t forward;
	struct event *timer;
	group_index_t order[GROUP_TARGETS_MAX];
	uint32_t order_count;
	uint32_t order_at;
	group_index_t current;
	uint32_t attempts;
	uint32_t round_waits;
	/* An attempt may have run the statement, so that "not run" can't be
	 * said any more unless the key settles it. */
	bool maybe_run;
	bool overloaded;
	char reason[64];
	char message[CONFIG_ERROR_TEXT_SIZE];
};

static void ask_next(proxy_request_t *request);

static const char *operation_text(caller_operation_t operation)
{
	switch (operation) {
	case CALLER_OPERATION_READ:
		return "read";
	case CALLER_OPERATION_WRITE:
		return "write";
	case CALLER_OPERATION_OUTCOME:
		return "outcome";
	case CALLER_OPERATION_BEGIN:
		return "begin";
	case CALLER_OPERATION_COMMIT:
		return "commit";
	case CALLER_OPERATION_ROLLBACK:
		return "rollback";
	}
	return "unknown";
}

static void request_free(proxy_request_t *request)
{
	if (request->timer)
		event_free(request->timer);
	free(request->service);
	free(request->statement);
	free(request->key);
	free(request->transaction);
	free(request);
}

static void count_answer(proxy_request_t *request,
			 const caller_answer_t *answer)
{
	proxy_t *proxy = request->proxy;
	const char *outcome = caller_outcome_text(answer->outcome);
	char trace_id[33];

	counter_family_add(proxy->counters.statements, outcome, 1);
	counter_family_observe(
		proxy->counters.latency,
		operation_text(request->caller_operation),
		(double)(proxy_now(proxy) - request->started_ms));
	if (answer->outcome == CALLER_OUTCOME_DONE) {
		if (request->operation == PEER_OPERATION_READ)
			counter_family_add(
				proxy->counters.reads,
				answer->primary ? "primary" : "replica", 1);
		return;
	}
	counter_family_add(proxy->counters.refusals, answer->reason, 1);
	trace_context_trace_id(&request->span.context, trace_id);
	LOG_EVENT(proxy->log, LOG_LEVEL_INFO, "statement",
		  LOG_TEXT("outcome", outcome),
		  LOG_TEXT("reason", answer->reason),
		  LOG_TEXT("operation",
			   operation_text(request->caller_operation)),
		  LOG_TEXT("service", request->service),
		  LOG_TEXT("trace", trace_id),
		  LOG_UNSIGNED("attempts", request->attempts));
}

/*
 * Sends the answer and frees the request.
 */
static void answer(proxy_request_t *request, const caller_answer_t *from)
{
	caller_answer_t result = *from;
	proxy_t *proxy = request->proxy;
	char token[SESSION_TEXT_MAX_BYTES + 1];
	char traceparent[TRACE_PARENT_SIZE];
	proxy_group_t *group;

	if (request->token.count > 0 &&
	    session_token_encode(&proxy->session_key, &request->token, token,
				 sizeof(token)) == SESSION_OK)
		result.token = token;
	trace_context_format(&request->span.context, traceparent);
	result.traceparent = traceparent;
	count_answer(request, &result);
	trace_span_end(proxy->trace, &request->span,
		       caller_outcome_text(result.outcome), proxy_now(proxy));
	group = proxy_group_find(proxy, request->service);
	if (group && group->in_flight > 0)
		group->in_flight--;
	proxy->requests--;
	caller_call_answer(request->call, &result);
	request_free(request);
}

static void answer_failure(proxy_request_t *request, caller_outcome_t outcome,
			   const char *reason, const char *message)
{
	caller_answer_t result = {
		.outcome = outcome,
		.reason = reason,
		.message = message,
		.age_ms = CALLER_AGE_NONE,
	};

	answer(request, &result);
}

/*
 * Ends the request without a result: as not run, or as unknown if an attempt
 * may have run it.
 */
static void give_up(proxy_request_t *request)
{
	char reason[64];

	snprintf(reason, sizeof(reason), "%s",
		 *request->reason != '\0' ? request->reason : "deadline");
	answer_failure(request,
		       request->maybe_run ? CALLER_OUTCOME_UNKNOWN
					  : CALLER_OUTCOME_NOT_RUN,
		       reason, NULL);
}

static void answer_done(proxy_request_t *request,
			const peer_statement_reply_t *reply, clock_ms_t age_ms)
{
	caller_answer_t result = {
		.outcome = CALLER_OUTCOME_DONE,
		.rows_json = reply->rows_json,
		.target = reply->target,
		.transaction = reply->transaction,
		.point = reply->point,
		.primary = reply->primary,
		.age_ms = age_ms == ROUTE_AGE_ANY ? CALLER_AGE_NONE : age_ms,
	};

	retry_budget_success(request->proxy->retry_budget);
	if (reply->acknowledged)
		session_token_observe(&request->token, request->service_hash,
				      reply->point);
	answer(request, &result);
}

static bool is_conflict(const char *reason)
{
	return strcmp(reason, "key-mismatch") == 0 ||
	       strcmp(reason, "cancelled") == 0 ||
	       strncmp(reason, "transaction-", 12) == 0;
}

/*
 * Answers with a refusal that no other target or attempt can change.
 */
static void answer_final(proxy_request_t *request,
			 const peer_statement_reply_t *reply)
{
	caller_outcome_t outcome = CALLER_OUTCOME_NOT_RUN;

	if (strcmp(reply->reason, "statement") == 0)
		outcome = CALLER_OUTCOME_REJECTED;
	else if (is_conflict(reply->reason))
		outcome = CALLER_OUTCOME_CONFLICT;
	/* An earlier attempt that may have run outweighs a later refusal, with
	 * a key as well: the refusal was not confirmed by a majority, so that
	 * the log with the earlier attempt may still be chosen. */
	if (request->maybe_run &&
	    request->caller_operation != CALLER_OPERATION_OUTCOME)
		outcome = CALLER_OUTCOME_UNKNOWN;
	answer_failure(request, outcome, reply->reason, reply->message);
}

static void note_reason(proxy_request_t *request, const char *reason,
			bool overload)
{
	snprintf(request->reason, sizeof(request->reason), "%s", reason);
	request->overloaded = overload;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	ask_next(context);
}

static void ask_after(proxy_request_t *request, clock_ms_t wait_ms)
{
	struct timeval wait = { .tv_sec = wait_ms / 1000,
				.tv_usec = wait_ms % 1000 * 1000 };

	evtimer_add(request->timer, &wait);
}

/*
 * Classifies an attempt that brought no result and goes on to the next
 * candidate, waits, or gives up.
 */
static void go_on(proxy_request_t *request, retry_attempt_t attempt)
{
	proxy_t *proxy = request->proxy;
	retry_input_t input = {
		.attempt = attempt,
		.read = request->operation == PEER_OPERATION_READ ||
			request->operation == PEER_OPERATION_OUTCOME ||
			request->operation == PEER_OPERATION_BEGIN,
		.keyed = *request->key != '\0',
		.now_ms = proxy_now(proxy),
		.deadline_ms = request->deadline_ms,
		.attempts = 1,
	};
	retry_verdict_t verdict =
		retry_classify(&proxy->retry_options, &input, proxy_random());

	if (verdict.outcome == RETRY_OUTCOME_UNKNOWN)
		request->maybe_run = true;
	if (!verdict.again || request->operation >= PEER_OPERATION_RUN) {
		give_up(request);
		return;
	}
	/* A refusal by load costs its target something, so that a further
	 * attempt is taken from the budget. A redirect to the primary is not.
	 */
	if ((request->overloaded || attempt == RETRY_ATTEMPT_NO_ANSWER) &&
	    retry_budget_take(proxy->retry_budget) != RETRY_OK) {
		give_up(request);
		return;
	}
	request->order_at++;
	counter_family_add(proxy->counters.retries, NULL, 1);
	if (request->overloaded)
		ask_after(request, verdict.wait_ms);
	else
		ask_next(request);
}

static void note_failed(proxy_request_t *request)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);

	if (!group || request->current == GROUP_INDEX_NONE ||
	    (uint32_t)request->current >= group->config.target_count)
		return;
	group->targets[request->current].failed_at_ms =
		proxy_now(request->proxy);
	/* A proxy that does not observe the group learns the primary from the
	 * answers alone: with the old one it would ask a dead owner first for
	 * every write. */
	if (!group->evidence && group->hint == request->current)
		group->hint = GROUP_INDEX_NONE;
}

/*
 * Takes over the primary that an owner named, and asks it next if the request
 * needs the primary.
 */
static void follow_hint(proxy_request_t *request, const char *hint)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);
	group_index_t index;

	if (!group || *hint == '\0')
		return;
	index = proxy_group_target(group, hint);
	if (index == GROUP_INDEX_NONE)
		return;
	if (!group->evidence)
		group->hint = index;
	if (request->operation != PEER_OPERATION_READ &&
	    index != request->current &&
	    request->order_at + 1 < GROUP_TARGETS_MAX) {
		request->order[request->order_at + 1] = index;
		if (request->order_count < request->order_at + 2)
			request->order_count = request->order_at + 2;
	}
}

/*
 * Returns the age of a read at this moment: the age that the owner proved, and
 * the time since the read was sent to it. The clocks of the two are not
 * compared.
 */
static clock_ms_t age_now_ms(const proxy_request_t *request,
			     const peer_statement_reply_t *reply)
{
	if (reply->age_ms == ROUTE_AGE_ANY ||
	    request->operation != PEER_OPERATION_READ)
		return reply->age_ms;
	return reply->age_ms + proxy_now(request->proxy) -
	       request->forward.start_ms;
}

static void handle_reply(proxy_request_t *request,
			 const peer_statement_reply_t *reply)
{
	clock_ms_t age_ms = age_now_ms(request, reply);
	trace_span_end(request->proxy->trace, &request->forward,
		       reply->outcome == RETRY_OUTCOME_DONE ? "done"
							    : reply->reason,
		       proxy_now(request->proxy));
	switch ((retry_outcome_t)reply->outcome) {
	case RETRY_OUTCOME_DONE:
		if (request->max_age_ms != ROUTE_AGE_ANY &&
		    age_ms > request->max_age_ms) {
			note_reason(request, "too-old", true);
			go_on(request, RETRY_ATTEMPT_REFUSED);
			return;
		}
		answer_done(request, reply, age_ms);
		return;
	case RETRY_OUTCOME_UNKNOWN:
		request->maybe_run = true;
		note_reason(request, reply->reason, false);
		go_on(request, RETRY_ATTEMPT_NO_ANSWER);
		return;
	case RETRY_OUTCOME_NOT_RUN:
		break;
	}
	if (!reply->again) {
		answer_final(request, reply);
		return;
	}
	note_reason(request, reply->reason, reply->overload);
	if (reply->overload || strcmp(reply->reason, "not-owner") == 0)
		note_failed(request);
	follow_hint(request, reply->hint);
	go_on(request, RETRY_ATTEMPT_REFUSED);
}

static void release_target(proxy_request_t *request)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);

	if (group && request->current != GROUP_INDEX_NONE &&
	    (uint32_t)request->current < group->config.target_count &&
	    group->targets[request->current].forwarded > 0)
		group->targets[request->current].forwarded--;
}

static void on_executed(void *context, const peer_statement_reply_t *reply)
{
	proxy_request_t *request = context;

	release_target(request);
	handle_reply(request, reply);
}

static void on_forwarded(void *context, int error,
			 const peer_message_t *message)
{
	proxy_request_t *request = context;

	release_target(request);
	if (error == PEER_OK && message->kind == PEER_MESSAGE_STATEMENT_REPLY) {
		handle_reply(request, &message->u.reply);
		return;
	}
	trace_span_end(request->proxy->trace, &request->forward,
		       peer_error_text(error), proxy_now(request->proxy));
	note_failed(request);
	if (error == PEER_ERROR_NOT_SENT || error == PEER_ERROR_TOO_LARGE) {
		note_reason(request, "owner-unreachable", false);
		go_on(request, request->operation == PEER_OPERATION_COMMIT
				       ? RETRY_ATTEMPT_NO_ANSWER
				       : RETRY_ATTEMPT_NOT_SENT);
		return;
	}
	note_reason(request, "no-answer", false);
	go_on(request, RETRY_ATTEMPT_NO_ANSWER);
}

/*
 * Returns how long the owner may take. A replica that is not the last candidate
 * gets only part of the time, so that the primary can still be asked.
 */
static clock_ms_t owner_time_ms(const proxy_request_t *request)
{
	clock_ms_t left_ms = request->deadline_ms - proxy_now(request->proxy);

	if (request->operation == PEER_OPERATION_WRITE &&
	    *request->key != '\0' && request->attempts <= 1)
		return proxy_deadline_share(left_ms, PROXY_SHARE_KEYED);
	if (request->operation != PEER_OPERATION_READ ||
	    request->order_at + 1 >= request->order_count)
		return proxy_deadline_share(left_ms, PROXY_SHARE_WHOLE);
	return proxy_deadline_share(left_ms, PROXY_SHARE_REPLICA);
}

static peer_statement_t make_statement(proxy_request_t *request,
				       const char *target, char *traceparent)
{
	trace_context_format(&request->forward.context, traceparent);
	return (peer_statement_t){
		.operation = request->operation,
		.service = request->service,
		.target = target,
		.statement = request->statement,
		.key = request->key,
		.fingerprint = request->fingerprint,
		.transaction = request->transaction,
		.seen = request->seen,
		.max_age_ms = request->max_age_ms,
		.remaining_ms = owner_time_ms(request),
		.traceparent = traceparent,
	};
}

/*
 * Sends the statement to a proxy, which may be this one.
 */
static void send_to(proxy_request_t *request, proxy_group_t *group,
		    group_index_t index, const membership_member_t *owner)
{
	proxy_t *proxy = request->proxy;
	proxy_target_t *target = &group->targets[index];
	char traceparent[TRACE_PARENT_SIZE];
	peer_message_t message = { .kind = PEER_MESSAGE_STATEMENT };
	bool self = proxy_members_is_self(proxy, owner);
	int error;

	request->attempts++;
	request->current = index;
	target->forwarded++;
	request->forward =
		trace_span_start(proxy->trace, &request->span.context,
				 TRACE_HOP_FORWARD, proxy_now(proxy));
	snprintf(request->forward.service, sizeof(request->forward.service),
		 "%s", request->service);
	snprintf(request->forward.target, sizeof(request->forward.target), "%s",
		 target->config.name);
	message.u.statement =
		make_statement(request, target->config.name, traceparent);
	counter_family_add(proxy->counters.forwards, self ? "self" : "peer", 1);
	if (self) {
		proxy_execute(group, target, &message.u.statement, 0,
			      on_executed, request);
		return;
	}
	error = peer_node_request(proxy->peer, owner->address, &message,
				  message.u.statement.remaining_ms +
					  PROXY_ANSWER_MARGIN_MS / 2,
				  on_forwarded, request);
	if (error != PEER_OK)
		on_forwarded(request, PEER_ERROR_NOT_SENT, NULL);
}

static void make_order(proxy_request_t *request, proxy_group_t *group)
{
	proxy_t *proxy = request->proxy;
	route_view_t view = { .target_count = group->config.target_count,
			      .primary = group->hint };
	route_request_t route = {
		.kind = request->operation == PEER_OPERATION_READ
				? ROUTE_KIND_READ
				: ROUTE_KIND_WRITE,
		.seen = request->seen,
		.max_age_ms = request->max_age_ms,
		.deadline_ms = request->deadline_ms,
	};
	uint32_t i;

	for (i = 0; i < view.target_count; i++) {
		const proxy_target_t *target = &group->targets[i];

		view.targets[i] = (route_candidate_t){
			.same_domain = strcmp(target->config.domain,
					      proxy->settings.domain) == 0,
			.owner_known = membership_owner(proxy->membership,
							target->config.name,
							target->config.domain),
			.leaving =
				target->config.leaving || target->list_leaving,
			.in_flight = target->forwarded,
			.failed_at_ms = target->failed_at_ms,
		};
	}
	request->order_count = route_order(&view, &route, proxy_now(proxy),
					   proxy_random(), request->order);
	request->order_at = 0;
}

/*
 * Asks the next candidate. After the last one, the candidates are asked again
 * after a short wait, until the deadline.
 */
static void ask_next(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const membership_member_t *owner;
	const proxy_target_t *target;

	if (!group) {
		note_reason(request, "unknown-service", false);
		give_up(request);
		return;
	}
	if (proxy_now(proxy) >= request->deadline_ms) {
		give_up(request);
		return;
	}
	if (request->order_at >= request->order_count) {
		make_order(request, group);
		if (request->attempts > 0 || request->order_count == 0) {
			if (request->order_count == 0)
				note_reason(request, "no-target", false);
			request->attempts++;
			request->round_waits++;
			ask_after(request, ROUND_WAIT_MS);
			return;
		}
	}
	target = &group->targets[request->order[request->order_at]];
	owner = membership_owner(proxy->membership, target->config.name,
				 target->config.domain);
	if (!owner) {
		note_reason(request, "no-owner", false);
		request->order_at++;
		ask_after(request, ROUND_WAIT_MS);
		return;
	}
	send_to(request, group, target->index, owner);
}

/*
 * Sends a statement of an open transaction to the proxy that holds it.
 */
static void ask_holder(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const membership_member_t *owner;
	bool commit = request->operation == PEER_OPERATION_COMMIT;
	proxy_transaction_id_t id;
	proxy_transaction_t *transaction;

	if (!group || !proxy_transaction_id_parse(request->transaction, &id)) {
		answer_failure(request, CALLER_OUTCOME_BAD_REQUEST,
			       "bad-request", "transaction: malformed");
		return;
	}
	/* The schema version was checked for the service of the request. */
	if (strcmp(id.service, request->service) != 0) {
		answer_failure(request, CALLER_OUTCOME_BAD_REQUEST,
			       "bad-request",
			       "transaction: of another service");
		return;
	}
	owner = membership_find(proxy->membership, id.proxy);
	transaction = proxy_transaction_find(proxy, request->transaction);
	if (transaction) {
		request->current = transaction->target->index;
		send_to(request, transaction->group, transaction->target->index,
			owner);
		return;
	}
	if (!owner || owner->state == MEMBERSHIP_STATE_DEAD ||
	    proxy_members_is_self(proxy, owner)) {
		/* The holder rolled it back when it ended, unless an earlier
		 * commit of it ran. */
		answer_failure(request,
			       commit ? CALLER_OUTCOME_UNKNOWN
				      : CALLER_OUTCOME_CONFLICT,
			       "transaction-unknown", NULL);
		return;
	}
	send_to(request, group, 0, owner);
}

static uint64_t fingerprint_of(const caller_request_t *request)
{
	return XXH3_64bits(request->statement, strlen(request->statement));
}

static peer_operation_t operation_of(const caller_request_t *request)
{
	switch (request->operation) {
	case CALLER_OPERATION_READ:
	case CALLER_OPERATION_WRITE:
		if (*request->transaction != '\0')
			return PEER_OPERATION_RUN;
		return request->operation == CALLER_OPERATION_READ
			       ? PEER_OPERATION_READ
			       : PEER_OPERATION_WRITE;
	case CALLER_OPERATION_OUTCOME:
		return PEER_OPERATION_OUTCOME;
	case CALLER_OPERATION_BEGIN:
		return PEER_OPERATION_BEGIN;
	case CALLER_OPERATION_COMMIT:
		return PEER_OPERATION_COMMIT;
	case CALLER_OPERATION_ROLLBACK:
		return PEER_OPERATION_ROLLBACK;
	}
	return PEER_OPERATION_READ;
}

static proxy_request_t *new_request(proxy_t *proxy, caller_call_t *call,
				    const caller_request_t *from)
{
	proxy_request_t *request = calloc(1, sizeof(*request));
	char service[CONFIG_NAME_SIZE] = "";
	proxy_transaction_id_t id;
	trace_context_t parent;
	bool traced;

	if (!request)
		return NULL;
	if (*from->service != '\0')
		snprintf(service, sizeof(service), "%s", from->service);
	else if (proxy_transaction_id_parse(from->transaction, &id))
		snprintf(service, sizeof(service), "%s", id.service);
	request->proxy = proxy;
	request->call = call;
	request->caller_operation = from->operation;
	request->operation = operation_of(from);
	request->service = strdup(service);
	request->statement = strdup(from->statement);
	request->key = strdup(from->key);
	request->transaction = strdup(from->transaction);
	request->timer = evtimer_new(proxy->base, on_timer, request);
	request->max_age_ms = from->max_age_ms;
	request->started_ms = proxy_now(proxy);
	request->current = GROUP_INDEX_NONE;
	request->fingerprint = fingerprint_of(from);
	traced = trace_context_parse(from->traceparent, &parent) == TRACE_OK;
	request->span = trace_span_start(proxy->trace, traced ? &parent : NULL,
					 TRACE_HOP_CALLER, request->started_ms);
	snprintf(request->span.service, sizeof(request->span.service), "%s",
		 service);
	if (request->service && request->statement && request->key &&
	    request->transaction && request->timer)
		return request;
	request_free(request);
	return NULL;
}

/*
 * Reads the session token. Returns false with a message if it is malformed or
 * has no room for the service.
 */
static bool read_token(proxy_request_t *request, const char *text,
		       const char **message)
{
	const session_entry_t *entry;
	int error;

	request->service_hash = session_service_hash(request->service);
	if (*text != '\0') {
		error = session_token_decode(&request->proxy->session_key, text,
					     strlen(text), &request->token);
		if (error != SESSION_OK) {
			*message = session_error_text(error);
			return false;
		}
		request->token_given = true;
	}
	entry = session_token_find(&request->token, request->service_hash);
	if (entry)
		request->seen = entry->seen;
	else if (request->token.count == SESSION_SERVICES_MAX &&
		 request->operation != PEER_OPERATION_READ) {
		*message = "full: use another token for this service";
		return false;
	}
	return true;
}

static void set_times(proxy_request_t *request, const proxy_group_t *group,
		      const caller_request_t *from)
{
	clock_ms_t time_ms = from->deadline_ms > 0
				     ? from->deadline_ms
				     : group->config.default_deadline_ms;

	if (time_ms > request->proxy->settings.deadline_max_ms)
		time_ms = request->proxy->settings.deadline_max_ms;
	request->deadline_ms = request->started_ms + time_ms;
	if (request->operation != PEER_OPERATION_READ)
		request->max_age_ms = ROUTE_AGE_ANY;
	else if (request->max_age_ms == CALLER_AGE_NONE &&
		 request->seen.term == 0)
		request->max_age_ms = group->config.default_max_age_ms;
}

/*
 * A service may use the whole limit of the proxy while the others are quiet,
 * but not more than half of it once three quarters are in use.
 */
static bool is_full(const proxy_t *proxy, const proxy_group_t *group)
{
	uint32_t max = proxy->settings.in_flight_max;

	return proxy->requests > max ||
	       (proxy->requests > max - max / 4 && group->in_flight > max / 2);
}

static void start(proxy_request_t *request, const caller_request_t *from)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const char *message = NULL;

	if (!group) {
		answer_failure(request, CALLER_OUTCOME_BAD_REQUEST,
			       "unknown-service", "service: unknown");
		return;
	}
	group->in_flight++;
	if (!read_token(request, from->token, &message)) {
		char text[160];

		snprintf(text, sizeof(text), "token: %s", message);
		counter_family_add(proxy->counters.malformed, "token", 1);
		answer_failure(request, CALLER_OUTCOME_BAD_REQUEST, "bad-token",
			       text);
		return;
	}
	set_times(request, group, from);
	if (is_full(proxy, group)) {
		answer_failure(request, CALLER_OUTCOME_NOT_RUN, "in-flight",
			       NULL);
		return;
	}
	if ((request->operation == PEER_OPERATION_READ ||
	     request->operation == PEER_OPERATION_WRITE ||
	     request->operation == PEER_OPERATION_BEGIN) &&
	    config_schema_admit(&group->config, from->schema_version,
				request->operation != PEER_OPERATION_READ,
				request->message) != CONFIG_OK) {
		answer_failure(request, CALLER_OUTCOME_CONFLICT,
			       "schema-version", request->message);
		return;
	}
	if (request->operation >= PEER_OPERATION_RUN)
		ask_holder(request);
	else
		ask_next(request);
}

/*
 * Handles one request of a caller; the handler of libcaller.
 */
void proxy_entry_request(void *context, caller_call_t *call,
			 const caller_request_t *from)
{
	proxy_t *proxy = context;
	proxy_request_t *request = new_request(proxy, call, from);
	caller_answer_t no_memory = {
		.outcome = CALLER_OUTCOME_NOT_RUN,
		.reason = "no-memory",
		.age_ms = CALLER_AGE_NONE,
	};

	if (!request) {
		caller_call_answer(call, &no_memory);
		return;
	}
	proxy->requests++;
	start(request, from);
}
