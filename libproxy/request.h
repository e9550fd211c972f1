#ifndef HORNBEAMTACK_PROXY_REQUEST_H
#define HORNBEAMTACK_PROXY_REQUEST_H

#include "internal.h"

/* A caller's request at its entry proxy, which sends it to the owners of the
 * candidate targets until one of them runs it. */
struct proxy_request {
	proxy_t *proxy;
	caller_call_t *call;
	caller_operation_t caller_operation;
	peer_operation_t operation;
	char *service;
	char *statement;
	/* Idempotency key; empty without one. */
	char *key;
	/* Id of an open transaction; empty outside a transaction. */
	char *transaction;
	session_token_t token;
	uint64_t service_hash;
	uint64_t fingerprint;
	/* Latest point that the session has seen of the service. */
	group_point_t seen;
	/* Staleness bound of a read, or ROUTE_AGE_ANY. */
	clock_ms_t max_age_ms;
	clock_ms_t started_ms;
	clock_ms_t deadline_ms;
	trace_span_t span;
	trace_span_t forward;
	/* Runs while the request waits before its next attempt. */
	struct event *timer;
	/* Targets to try, the best first, and the index of the next or present
	 * one in the list. */
	group_index_t candidates[GROUP_TARGETS_MAX];
	uint32_t candidate_count;
	uint32_t candidate_index;
	/* Target of the present attempt, or GROUP_INDEX_NONE. */
	group_index_t current;
	uint32_t attempts;
	/* An attempt may have run the statement. The answer can't be "not run"
	 * any more, unless the recorded outcome of the key says so. */
	bool may_have_run;
	/* The last attempt was refused because of load. */
	bool overloaded;
	/* Reason of the last failed attempt, for the answer. */
	char reason[64];
	/* Why the schema version was refused, as a text for people. */
	char message[CONFIG_ERROR_TEXT_SIZE];
};

/* answer.c: each function sends the answer and frees the request, except
 * proxy_request_free(), which sends nothing. */
void proxy_request_free(proxy_request_t *request);
void proxy_request_fail(proxy_request_t *request, caller_outcome_t outcome,
			const char *reason, const char *message);
void proxy_request_give_up(proxy_request_t *request);
void proxy_request_done(proxy_request_t *request,
			const peer_statement_reply_t *reply, clock_ms_t age_ms);
void proxy_request_refuse(proxy_request_t *request,
			  const peer_statement_reply_t *reply);

/* forward.c */
void proxy_request_try_next(proxy_request_t *request);
void proxy_request_send_to_holder(proxy_request_t *request);

#endif
