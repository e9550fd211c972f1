#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request.h"

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

/*
 * Frees a request that has its answer, or that was never started.
 */
void proxy_request_free(proxy_request_t *request)
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
	trace_context_format_trace_id(&request->span.context, trace_id);
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
	char traceparent[TRACE_TRACEPARENT_SIZE];
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
	proxy_request_free(request);
}

/*
 * Ends the request with a refusal or an unknown outcome. reason is a short
 * name, message a text for people or NULL.
 */
void proxy_request_fail(proxy_request_t *request, caller_outcome_t outcome,
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
void proxy_request_give_up(proxy_request_t *request)
{
	char reason[64];

	snprintf(reason, sizeof(reason), "%s",
		 *request->reason != '\0' ? request->reason : "deadline");
	proxy_request_fail(request,
			   request->maybe_run ? CALLER_OUTCOME_UNKNOWN
					      : CALLER_OUTCOME_NOT_RUN,
			   reason, NULL);
}

/*
 * Ends the request with its result. age_ms is the age of a read at this moment,
 * or ROUTE_AGE_ANY. The point of an acknowledged write enters the token.
 */
void proxy_request_done(proxy_request_t *request,
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
void proxy_request_refuse(proxy_request_t *request,
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
	proxy_request_fail(request, outcome, reply->reason, reply->message);
}
