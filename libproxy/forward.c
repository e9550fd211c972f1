#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "deadline.h"
#include "request.h"
#include "transaction_id.h"

/* Wait before the candidates are asked again when none of them could serve,
 * for example while a new primary is promoted. */
#define ROUND_WAIT_MS 20

static void note_reason(proxy_request_t *request, const char *reason,
			bool overload)
{
	snprintf(request->reason, sizeof(request->reason), "%s", reason);
	request->overloaded = overload;
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
	retry_decision_t decision =
		retry_classify(&proxy->retry_options, &input, proxy_random());

	if (decision.outcome == RETRY_OUTCOME_UNKNOWN)
		request->maybe_run = true;
	if (!decision.again || request->operation >= PEER_OPERATION_RUN) {
		proxy_request_give_up(request);
		return;
	}
	/* A refusal by load costs its target something, so that a further
	 * attempt is taken from the budget. A redirect to the primary is not.
	 */
	if ((request->overloaded || attempt == RETRY_ATTEMPT_NO_ANSWER) &&
	    retry_budget_take(proxy->retry_budget) != RETRY_OK) {
		proxy_request_give_up(request);
		return;
	}
	request->order_at++;
	counter_family_add(proxy->counters.retries, NULL, 1);
	if (request->overloaded)
		ask_after(request, decision.wait_ms);
	else
		proxy_request_ask(request);
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
		proxy_request_done(request, reply, age_ms);
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
		proxy_request_refuse(request, reply);
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
	char traceparent[TRACE_TRACEPARENT_SIZE];
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
void proxy_request_ask(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const membership_member_t *owner;
	const proxy_target_t *target;

	if (!group) {
		note_reason(request, "unknown-service", false);
		proxy_request_give_up(request);
		return;
	}
	if (proxy_now(proxy) >= request->deadline_ms) {
		proxy_request_give_up(request);
		return;
	}
	if (request->order_at >= request->order_count) {
		make_order(request, group);
		if (request->attempts > 0 || request->order_count == 0) {
			if (request->order_count == 0)
				note_reason(request, "no-target", false);
			request->attempts++;
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
void proxy_request_ask_holder(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const membership_member_t *owner;
	bool commit = request->operation == PEER_OPERATION_COMMIT;
	proxy_transaction_id_t id;
	proxy_transaction_t *transaction;

	if (!group || !proxy_transaction_id_parse(request->transaction, &id)) {
		proxy_request_fail(request, CALLER_OUTCOME_BAD_REQUEST,
				   "bad-request", "transaction: malformed");
		return;
	}
	/* The schema version was checked for the service of the request. */
	if (strcmp(id.service, request->service) != 0) {
		proxy_request_fail(request, CALLER_OUTCOME_BAD_REQUEST,
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
		proxy_request_fail(request,
				   commit ? CALLER_OUTCOME_UNKNOWN
					  : CALLER_OUTCOME_CONFLICT,
				   "transaction-unknown", NULL);
		return;
	}
	send_to(request, group, 0, owner);
}
