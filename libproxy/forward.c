#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "deadline.h"
#include "request.h"
#include "transaction_id.h"

/* Delay before the candidates are tried again when none of them could run the
 * statement, for example while a new primary is promoted. */
#define CANDIDATES_RETRY_DELAY_MS 20

static void set_reason(proxy_request_t *request, const char *reason,
		       bool overload)
{
	snprintf(request->reason, sizeof(request->reason), "%s", reason);
	request->overloaded = overload;
}

static void try_later(proxy_request_t *request, clock_ms_t wait_ms)
{
	struct timeval wait = { .tv_sec = wait_ms / 1000,
				.tv_usec = wait_ms % 1000 * 1000 };

	evtimer_add(request->timer, &wait);
}

/*
 * Handles an attempt that brought no result: tries the next candidate at once,
 * or after a delay if the target was overloaded. Gives up if another attempt is
 * not safe, as in an open transaction, or if the deadline or the retry budget
 * does not allow it.
 */
static void handle_failed_attempt(proxy_request_t *request,
				  retry_attempt_t attempt)
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
		request->may_have_run = true;
	if (!decision.again || request->operation >= PEER_OPERATION_RUN) {
		proxy_request_give_up(request);
		return;
	}
	/* A further attempt after a refusal because of load, or without an
	 * answer, adds load to the targets and is taken from the retry budget.
	 * An attempt that follows a redirect to the primary is not. */
	if ((request->overloaded || attempt == RETRY_ATTEMPT_NO_ANSWER) &&
	    retry_budget_take(proxy->retry_budget) != RETRY_OK) {
		proxy_request_give_up(request);
		return;
	}
	request->candidate_index++;
	counter_family_add(proxy->counters.retries, NULL, 1);
	if (request->overloaded)
		try_later(request, decision.wait_ms);
	else
		proxy_request_try_next(request);
}

/*
 * Records that the owner of the present target failed or refused the statement,
 * so that the target is tried after the others for a while.
 */
static void record_target_failure(proxy_request_t *request)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);

	if (!group || request->current == GROUP_INDEX_NONE ||
	    (uint32_t)request->current >= group->config.target_count)
		return;
	group->targets[request->current].failed_at_ms =
		proxy_now(request->proxy);
	/* A proxy that does not observe the group learns the primary only from
	 * the replies of owners. If it kept the old primary, it would try a
	 * dead owner first for every write. */
	if (!group->evidence && group->known_primary == request->current)
		group->known_primary = GROUP_INDEX_NONE;
}

/*
 * Uses the name of the primary in an owner's reply: sets the known primary of a
 * group that this proxy does not observe, and makes the primary the next
 * candidate of a request that is not a read.
 */
static void follow_hint(proxy_request_t *request, const char *hint)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);
	group_index_t index;

	if (!group || *hint == '\0')
		return;
	index = proxy_group_find_target(group, hint);
	if (index == GROUP_INDEX_NONE)
		return;
	if (!group->evidence)
		group->known_primary = index;
	if (request->operation != PEER_OPERATION_READ &&
	    index != request->current &&
	    request->candidate_index + 1 < GROUP_TARGETS_MAX) {
		request->candidates[request->candidate_index + 1] = index;
		if (request->candidate_count < request->candidate_index + 2)
			request->candidate_count = request->candidate_index + 2;
	}
}

/*
 * Returns the age of a read's rows at this moment: the age that the owner
 * proved, plus the time since the read was sent to the owner, so that the
 * clocks of the entry proxy and of the owner are not compared.
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

/*
 * Handles the reply of an owner: answers the caller if the statement is done or
 * refused for good, else makes the next attempt. A read whose rows became
 * too old on the way is tried again.
 */
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
			set_reason(request, "too-old", true);
			handle_failed_attempt(request, RETRY_ATTEMPT_REFUSED);
			return;
		}
		proxy_request_done(request, reply, age_ms);
		return;
	case RETRY_OUTCOME_UNKNOWN:
		request->may_have_run = true;
		set_reason(request, reply->reason, false);
		handle_failed_attempt(request, RETRY_ATTEMPT_NO_ANSWER);
		return;
	case RETRY_OUTCOME_NOT_RUN:
		break;
	}
	if (!reply->again) {
		proxy_request_refuse(request, reply);
		return;
	}
	set_reason(request, reply->reason, reply->overload);
	if (reply->overload || strcmp(reply->reason, "not-owner") == 0)
		record_target_failure(request);
	follow_hint(request, reply->hint);
	handle_failed_attempt(request, RETRY_ATTEMPT_REFUSED);
}

static void release_target(proxy_request_t *request)
{
	proxy_group_t *group =
		proxy_group_find(request->proxy, request->service);

	if (group && request->current != GROUP_INDEX_NONE &&
	    (uint32_t)request->current < group->config.target_count &&
	    group->targets[request->current].in_flight > 0)
		group->targets[request->current].in_flight--;
}

static void on_executed(void *context, const peer_statement_reply_t *reply)
{
	proxy_request_t *request = context;

	release_target(request);
	handle_reply(request, reply);
}

/*
 * Handles the end of a request to another proxy. If the request was not sent,
 * the statement has not run; for a commit the outcome counts as unknown.
 */
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
	record_target_failure(request);
	if (error == PEER_ERROR_NOT_SENT || error == PEER_ERROR_TOO_LARGE) {
		set_reason(request, "owner-unreachable", false);
		handle_failed_attempt(
			request, request->operation == PEER_OPERATION_COMMIT
					 ? RETRY_ATTEMPT_NO_ANSWER
					 : RETRY_ATTEMPT_NOT_SENT);
		return;
	}
	set_reason(request, "no-answer", false);
	handle_failed_attempt(request, RETRY_ATTEMPT_NO_ANSWER);
}

/*
 * Returns how long the owner of the present candidate may take, in ms. The
 * first attempt of a write with an idempotency key, and a read at a replica
 * that is not the last candidate, get only part of the time left, so that there
 * is time for a further attempt.
 */
static clock_ms_t owner_time_ms(const proxy_request_t *request)
{
	clock_ms_t left_ms = request->deadline_ms - proxy_now(request->proxy);

	if (request->operation == PEER_OPERATION_WRITE &&
	    *request->key != '\0' && request->attempts <= 1)
		return proxy_deadline_share(left_ms, PROXY_SHARE_KEYED);
	if (request->operation != PEER_OPERATION_READ ||
	    request->candidate_index + 1 >= request->candidate_count)
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
 * Sends the statement to the owner of a target, or runs it here if this proxy
 * is the owner.
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
	target->in_flight++;
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

/*
 * Sets request->candidates to the targets that the request should try, the best
 * first.
 */
static void list_candidates(proxy_request_t *request, proxy_group_t *group)
{
	proxy_t *proxy = request->proxy;
	route_view_t view = { .target_count = group->config.target_count,
			      .primary = group->known_primary };
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
			.in_flight = target->in_flight,
			.failed_at_ms = target->failed_at_ms,
		};
	}
	request->candidate_count =
		route_order(&view, &route, proxy_now(proxy), proxy_random(),
			    request->candidates);
	request->candidate_index = 0;
}

/*
 * Sends the statement to the owner of the next candidate. After the last one, a
 * new list of candidates is made and tried after CANDIDATES_RETRY_DELAY_MS, and
 * so on until the deadline of the request.
 */
void proxy_request_try_next(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const membership_member_t *owner;
	const proxy_target_t *target;

	if (!group) {
		set_reason(request, "unknown-service", false);
		proxy_request_give_up(request);
		return;
	}
	if (proxy_now(proxy) >= request->deadline_ms) {
		proxy_request_give_up(request);
		return;
	}
	if (request->candidate_index >= request->candidate_count) {
		list_candidates(request, group);
		if (request->attempts > 0 || request->candidate_count == 0) {
			if (request->candidate_count == 0)
				set_reason(request, "no-target", false);
			request->attempts++;
			try_later(request, CANDIDATES_RETRY_DELAY_MS);
			return;
		}
	}
	target = &group->targets[request->candidates[request->candidate_index]];
	owner = membership_owner(proxy->membership, target->config.name,
				 target->config.domain);
	if (!owner) {
		set_reason(request, "no-owner", false);
		request->candidate_index++;
		try_later(request, CANDIDATES_RETRY_DELAY_MS);
		return;
	}
	send_to(request, group, target->index, owner);
}

/*
 * Sends a statement of an open transaction to the proxy that holds the
 * transaction, which the transaction's id names.
 */
void proxy_request_send_to_holder(proxy_request_t *request)
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
	/* Schema versions are checked for the service that a request names, so
	 * that the transaction must belong to that service. */
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
		/* The transaction was rolled back when its holder ended,
		 * unless an earlier attempt of this commit ran. */
		proxy_request_fail(request,
				   commit ? CALLER_OUTCOME_UNKNOWN
					  : CALLER_OUTCOME_CONFLICT,
				   "transaction-unknown", NULL);
		return;
	}
	send_to(request, group, 0, owner);
}
