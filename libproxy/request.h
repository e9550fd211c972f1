#ifndef HORNBEAMTACK_PROXY_REQUEST_H
#define HORNBEAMTACK_PROXY_REQUEST_H

#include "internal.h"

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
	uint64_t service_hash;
	uint64_t fingerprint;
	group_point_t seen;
	clock_ms_t max_age_ms;
	clock_ms_t started_ms;
	clock_ms_t deadline_ms;
	trace_span_t span;
	trace_span_t forward;
	struct event *timer;
	group_index_t candidates[GROUP_TARGETS_MAX];
	uint32_t candidate_count;
	uint32_t candidate_index;
	group_index_t current;
	uint32_t attempts;
	/* An attempt may have run the statement, so that "not run" can't be
	 * said any more unless the key settles it. */
	bool may_have_run;
	bool overloaded;
	char reason[64];
	char message[CONFIG_ERROR_TEXT_SIZE];
};

/* answer.c: each of these sends the answer and frees the request, but
 * proxy_request_free(), which only frees it. */
void proxy_request_free(proxy_request_t *request);
void proxy_request_fail(proxy_request_t *request, caller_outcome_t outcome,
			const char *reason, const char *message);
void proxy_request_give_up(proxy_request_t *request);
void proxy_request_done(proxy_request_t *request,
			const peer_statement_reply_t *reply, clock_ms_t age_ms);
void proxy_request_refuse(proxy_request_t *request,
			  const peer_statement_reply_t *reply);

/* forward.c */
void proxy_request_ask(proxy_request_t *request);
void proxy_request_ask_holder(proxy_request_t *request);

#endif
