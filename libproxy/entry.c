#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "request.h"
#include "transaction_id.h"

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

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	proxy_request_try_next(context);
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
	proxy_request_free(request);
	return NULL;
}

/*
 * Decodes the session token, which may be empty, and sets request->seen from
 * its entry for the service. Returns false and sets *message if the token is
 * malformed, or if it is full and the request may have to add the service to
 * it.
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

/*
 * Sets the deadline and the staleness bound of the request. A caller's deadline
 * is limited by deadline_max_ms of the settings. The service's default
 * staleness bound applies to a read without a bound of its own whose session
 * has seen no point of the service.
 */
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
 * Returns whether the request must be refused because of the proxy's limit on
 * requests in flight. A service may use the whole limit while there are few
 * requests for other services, but only half of it once three quarters of the
 * limit are in use.
 */
static bool is_full(const proxy_t *proxy, const proxy_group_t *group)
{
	uint32_t max = proxy->settings.in_flight_max;

	return proxy->requests_in_flight > max ||
	       (proxy->requests_in_flight > max - max / 4 &&
		group->in_flight > max / 2);
}

/*
 * Checks the request and makes its first attempt, or answers it with the reason
 * why it can't be run.
 */
static void start(proxy_request_t *request, const caller_request_t *from)
{
	proxy_t *proxy = request->proxy;
	proxy_group_t *group = proxy_group_find(proxy, request->service);
	const char *message = NULL;

	if (!group) {
		proxy_request_fail(request, CALLER_OUTCOME_BAD_REQUEST,
				   "unknown-service", "service: unknown");
		return;
	}
	group->in_flight++;
	if (!read_token(request, from->token, &message)) {
		char text[160];

		snprintf(text, sizeof(text), "token: %s", message);
		counter_family_add(proxy->counters.malformed, "token", 1);
		proxy_request_fail(request, CALLER_OUTCOME_BAD_REQUEST,
				   "bad-token", text);
		return;
	}
	set_times(request, group, from);
	if (is_full(proxy, group)) {
		proxy_request_fail(request, CALLER_OUTCOME_NOT_RUN, "in-flight",
				   NULL);
		return;
	}
	if ((request->operation == PEER_OPERATION_READ ||
	     request->operation == PEER_OPERATION_WRITE ||
	     request->operation == PEER_OPERATION_BEGIN) &&
	    config_schema_admit(&group->config, from->schema_version,
				request->operation != PEER_OPERATION_READ,
				request->message) != CONFIG_OK) {
		proxy_request_fail(request, CALLER_OUTCOME_CONFLICT,
				   "schema-version", request->message);
		return;
	}
	if (request->operation >= PEER_OPERATION_RUN)
		proxy_request_send_to_holder(request);
	else
		proxy_request_try_next(request);
}

/*
 * Handles a request of a caller, which is answered exactly once with
 * caller_call_answer(). Called by libcaller for each request.
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
	proxy->requests_in_flight++;
	start(request, from);
}
