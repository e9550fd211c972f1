#include "proxy.h"

#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "internal.h"

#define TICK_MS 10
#define REAP_MS 200
/* A connection of a caller without traffic is closed after this time, which is
 * above the longest deadline of a statement. */
#define CALLER_IDLE_MS (660 * 1000)
#define OPERATOR_IDLE_MS (60 * 1000)
#define PEER_CONNECT_MS 500
#define PEER_SILENCE_MS 500
#define PEER_IDLE_MS 30000
/* A draining proxy goes on for this long after its last request, so that
 * members and load balancer learn that it leaves. */
#define DRAIN_LINGER_MS 500
#define RETRY_BURST 20
#define BACKOFF_MIN_MS 5
#define BACKOFF_MAX_MS 200

/*
 * Returns the time on the proxy's clock.
 */
clock_ms_t proxy_now(const proxy_t *proxy)
{
	return clock_source_now(&proxy->clock);
}

/*
 * Returns 64 random bits.
 */
uint64_t proxy_random(void)
{
	uint64_t number = 0;

	evutil_secure_rng_get_bytes(&number, sizeof(number));
	return number;
}

/*
 * Returns a number that this process has not used before.
 */
uint64_t proxy_next_id(proxy_t *proxy)
{
	return ++proxy->next_id;
}

/* A statement of a peer on its way through this owner. */
typedef struct {
	proxy_t *proxy;
	uint64_t link_id;
	uint64_t request_id;
} forwarded_t;

static void on_forwarded_done(void *context,
			      const peer_statement_reply_t *reply)
{
	forwarded_t *forwarded = context;
	peer_message_t message = { .kind = PEER_MESSAGE_STATEMENT_REPLY,
				   .u.reply = *reply };

	if (peer_node_reply(forwarded->proxy->peer, forwarded->link_id,
			    forwarded->request_id,
			    &message) == PEER_ERROR_TOO_LARGE) {
		/* The statement ran, but its rows don't fit: the caller must
		 * get an answer and not wait for the timeout. */
		message.u.reply.rows_json = "";
		message.u.reply.message = "rows: larger than a message";
		peer_node_reply(forwarded->proxy->peer, forwarded->link_id,
				forwarded->request_id, &message);
	}
	free(forwarded);
}

static void refuse_forwarded(forwarded_t *forwarded, const char *reason)
{
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_NOT_RUN,
		.reason = reason,
		.again = true,
	};

	on_forwarded_done(forwarded, &reply);
}

/*
 * Returns the target that a peer's statement is for. A statement of an open
 * transaction goes to the target of the transaction.
 */
static proxy_target_t *find_target(proxy_t *proxy,
				   const peer_statement_t *statement)
{
	proxy_group_t *group = proxy_group_find(proxy, statement->service);
	proxy_transaction_t *transaction;
	group_index_t index;

	if (statement->operation >= PEER_OPERATION_RUN) {
		transaction =
			proxy_transaction_find(proxy, statement->transaction);
		if (transaction)
			return transaction->target;
	}
	if (!group)
		return NULL;
	index = proxy_group_target(group, statement->target);
	return index == GROUP_INDEX_NONE ? NULL : &group->targets[index];
}

static void receive_statement(proxy_t *proxy, uint64_t link_id,
			      const peer_message_t *message)
{
	forwarded_t *forwarded = calloc(1, sizeof(*forwarded));
	proxy_target_t *target = find_target(proxy, &message->u.statement);

	if (!forwarded)
		return;
	forwarded->proxy = proxy;
	forwarded->link_id = link_id;
	forwarded->request_id = message->request_id;
	if (!target)
		refuse_forwarded(forwarded, "not-owner");
	else
		proxy_execute(target->group, target, &message->u.statement,
			      (uint32_t)link_id, on_forwarded_done, forwarded);
}

static void on_peer_message(void *context, uint64_t link_id,
			    const peer_message_t *message)
{
	proxy_t *proxy = context;

	switch (message->kind) {
	case PEER_MESSAGE_MEMBERSHIP:
		proxy_members_receive(proxy, &message->u.membership);
		break;
	case PEER_MESSAGE_STATEMENT:
		receive_statement(proxy, link_id, message);
		break;
	case PEER_MESSAGE_CONFIGURATION_FETCH:
		proxy_configure_serve_fetch(proxy, link_id, message);
		break;
	case PEER_MESSAGE_CONFIGURATION_CHANGES:
		proxy_configure_pushed(proxy, link_id, message);
		break;
	case PEER_MESSAGE_LEAVING:
		proxy_listed_receive(proxy, &message->u.leaving);
		break;
	default:
		break;
	}
}

static void on_peer_note(void *context, const char *event, const char *peer,
			 const char *detail)
{
	proxy_t *proxy = context;

	if (strcmp(detail, peer_error_text(PEER_ERROR_MALFORMED)) == 0)
		counter_family_add(proxy->counters.malformed, "peer", 1);
	LOG_EVENT(proxy->log, LOG_LEVEL_DEBUG, event, LOG_TEXT("peer", peer),
		  LOG_TEXT("detail", detail));
}

static void on_peer_refused(void *context, const char *address)
{
	proxy_t *proxy = context;

	membership_connection_refused(proxy->membership, address,
				      proxy_now(proxy));
}

static void on_caller_malformed(void *context, const char *text)
{
	proxy_t *proxy = context;

	counter_family_add(proxy->counters.malformed, "caller", 1);
	LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "malformed-request",
		  LOG_TEXT("interface", "caller"), LOG_TEXT("detail", text));
}

static void on_operator_malformed(void *context, const char *text)
{
	proxy_t *proxy = context;

	counter_family_add(proxy->counters.malformed, "operator", 1);
	LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "malformed-request",
		  LOG_TEXT("interface", "operator"), LOG_TEXT("detail", text));
}

static bool on_ready(void *context)
{
	const proxy_t *proxy = context;

	return !proxy->draining && proxy->config_known;
}

static char *on_metrics(void *context)
{
	return proxy_counters_render(context);
}

static void on_drain(void *context)
{
	proxy_drain(context);
}

static bool is_idle(const proxy_t *proxy)
{
	return proxy->requests == 0 && !proxy->transactions &&
	       !proxy->executions;
}

/*
 * Ends the loop once everything in flight has ended, or at the deadline of the
 * drain.
 */
static void check_drain(proxy_t *proxy, clock_ms_t now_ms)
{
	if (!is_idle(proxy))
		proxy->drain_linger_ms = now_ms + DRAIN_LINGER_MS;
	if (now_ms >= proxy->drain_deadline_ms ||
	    now_ms >= proxy->drain_linger_ms) {
		LOG_EVENT(proxy->log, LOG_LEVEL_NOTICE, "drained",
			  LOG_UNSIGNED("in_flight", proxy->requests));
		event_base_loopbreak(proxy->base);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	proxy_t *proxy = context;
	clock_ms_t now_ms = proxy_now(proxy);

	(void)fd;
	(void)what;
	proxy_members_tick(proxy, now_ms);
	proxy_configure_tick(proxy, now_ms);
	if (proxy->ownership_dirty)
		proxy_groups_own(proxy);
	proxy_groups_tick(proxy, now_ms);
	proxy_transactions_expire(proxy, now_ms);
	if (now_ms >= proxy->reap_at_ms) {
		proxy->reap_at_ms = now_ms + REAP_MS;
		proxy_groups_reap(proxy);
	}
	if (proxy->draining)
		check_drain(proxy, now_ms);
}

static clock_ms_t unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int start_ports(proxy_t *proxy)
{
	const settings_t *settings = &proxy->settings;
	caller_options_t caller = {
		.address = settings->caller.address,
		.port = settings->caller.port,
		.request_max_bytes = settings->request_max_bytes,
		.idle_ms = CALLER_IDLE_MS,
	};
	caller_handler_t caller_handler = { .request = proxy_entry_request,
					    .malformed = on_caller_malformed,
					    .ready = on_ready,
					    .context = proxy };
	operator_options_t operator_options = {
		.address = settings->operator_endpoint.address,
		.port = settings->operator_endpoint.port,
		.idle_ms = OPERATOR_IDLE_MS,
	};
	operator_handler_t operator_handler = {
		.metrics = on_metrics,
		.status = proxy_status,
		.get = proxy_change_get,
		.change = proxy_change_start,
		.history = proxy_change_history,
		.drain = on_drain,
		.malformed = on_operator_malformed,
		.context = proxy,
	};
	peer_options_t peer = {
		.listen_address = settings->peer.address,
		.listen_port = settings->peer.port,
		.name = settings->name,
		.incarnation = proxy->incarnation,
		.message_max_bytes = settings->peer_message_max_bytes,
		.connect_timeout_ms = PEER_CONNECT_MS,
		.echo_timeout_ms = PEER_SILENCE_MS,
		.idle_ms = PEER_IDLE_MS,
	};
	peer_handler_t peer_handler = { .message = on_peer_message,
					.log = on_peer_note,
					.connection_refused = on_peer_refused,
					.context = proxy };

	proxy->peer =
		peer_node_new(proxy->base, &proxy->clock, &peer, &peer_handler);
	proxy->operator_server = operator_server_new(
		proxy->base, &operator_options, &operator_handler);
	proxy->caller =
		caller_server_new(proxy->base, &caller, &caller_handler);
	return proxy->peer && proxy->operator_server && proxy->caller
		       ? PROXY_OK
		       : PROXY_ERROR_LISTEN;
}

static int start_parts(proxy_t *proxy)
{
	const settings_t *settings = &proxy->settings;
	platform_options_t platform = {
		.address = settings->platform.address,
		.port = settings->platform.port,
		.list_address = settings->instance_list.address,
		.list_port = settings->instance_list.port,
		.timeout_ms = settings->platform_timeout_ms,
		.prefix = settings->platform_prefix,
	};
	trace_options_t trace = {
		.sample_permille = settings->trace_sample_permille,
		.random = proxy_export_random,
		.handler = proxy_export_span,
		.handler_context = proxy,
	};

	proxy->retry_options = (retry_options_t){
		.ratio_permille = settings->retry_permille,
		.burst = RETRY_BURST,
		.backoff_min_ms = BACKOFF_MIN_MS,
		.backoff_max_ms = BACKOFF_MAX_MS,
		.attempts_max = UINT32_MAX,
	};
	proxy->retry_budget = retry_budget_new(&proxy->retry_options);
	proxy->config = config_store_new();
	proxy->export = proxy_export_new(proxy);
	proxy->trace = trace_recorder_new(&trace);
	proxy->platform =
		platform_client_new(proxy->base, &proxy->clock, &platform);
	if (!proxy->retry_budget || !proxy->config || !proxy->export ||
	    !proxy->trace || !proxy->platform ||
	    proxy_counters_new(proxy) != PROXY_OK ||
	    proxy_members_new(proxy) != PROXY_OK)
		return PROXY_ERROR_MEMORY;
	return PROXY_OK;
}

static int start(proxy_t *proxy)
{
	struct timeval interval = { .tv_usec = TICK_MS * 1000L };
	int error = start_parts(proxy);

	if (error == PROXY_OK)
		error = start_ports(proxy);
	if (error != PROXY_OK)
		return error;
	proxy->tick = event_new(proxy->base, -1, EV_PERSIST, on_tick, proxy);
	if (!proxy->tick || event_add(proxy->tick, &interval) != 0)
		return PROXY_ERROR_MEMORY;
	return PROXY_OK;
}

/*
 * Creates a proxy that runs on base by the settings, and starts to listen. Log
 * lines go to log. Returns NULL and sets *error to PROXY_ERROR_MEMORY,
 * PROXY_ERROR_LISTEN or PROXY_ERROR_SETTINGS.
 */
proxy_t *proxy_new(struct event_base *base, const settings_t *settings,
		   log_sink_t *log, int *error)
{
	proxy_t *proxy = calloc(1, sizeof(*proxy));

	*error = PROXY_ERROR_MEMORY;
	if (!proxy)
		return NULL;
	proxy->base = base;
	proxy->clock = clock_source_boot();
	proxy->settings = *settings;
	proxy->log = log;
	/* A restarted proxy must have a higher incarnation than before, and it
	 * keeps nothing, so the wall clock gives the number. */
	proxy->incarnation = (uint64_t)unix_ms();
	proxy->started_ms = proxy_now(proxy);
	settings_endpoint_format(&settings->peer_advertise,
				 proxy->peer_address);
	if (session_key_derive(&proxy->session_key, settings->session_secret) !=
	    SESSION_OK)
		*error = PROXY_ERROR_SETTINGS;
	else
		*error = start(proxy);
	if (*error == PROXY_OK)
		return proxy;
	proxy_free(proxy);
	return NULL;
}

/*
 * Begins to leave: no new connections, no ownership and no new transactions.
 * What is in flight ends first, up to the drain time of the settings; then the
 * loop ends. Has no effect on a proxy that drains already.
 */
void proxy_drain(proxy_t *proxy)
{
	if (proxy->draining)
		return;
	proxy->draining = true;
	proxy->drain_deadline_ms = proxy_now(proxy) + proxy->settings.drain_ms;
	proxy->drain_linger_ms = proxy_now(proxy) + DRAIN_LINGER_MS;
	LOG_EVENT(proxy->log, LOG_LEVEL_NOTICE, "draining",
		  LOG_UNSIGNED("in_flight", proxy->requests));
	membership_leave(proxy->membership);
	caller_server_stop_accepting(proxy->caller);
	proxy->ownership_dirty = true;
}

static void free_groups(proxy_t *proxy)
{
	proxy_group_t *group;
	proxy_group_t *next;

	HASH_ITER(hh, proxy->groups, group, next) {
		group->next_retired = proxy->retired;
		proxy->retired = group;
	}
	HASH_CLEAR(hh, proxy->groups);
	while (proxy->retired) {
		group = proxy->retired;
		proxy->retired = group->next_retired;
		proxy_transactions_end_group(group);
		proxy_group_free(group);
	}
}

/*
 * Closes all connections and frees the proxy. What is in flight is cut off;
 * proxy_drain() lets it end first.
 */
void proxy_free(proxy_t *proxy)
{
	if (!proxy)
		return;
	if (proxy->tick)
		event_free(proxy->tick);
	if (proxy->membership)
		free_groups(proxy);
	peer_node_free(proxy->peer);
	operator_server_free(proxy->operator_server);
	caller_server_free(proxy->caller);
	if (proxy->platform)
		platform_client_free(proxy->platform);
	if (proxy->membership)
		membership_free(proxy->membership);
	if (proxy->config)
		config_store_free(proxy->config);
	if (proxy->retry_budget)
		retry_budget_free(proxy->retry_budget);
	trace_recorder_free(proxy->trace);
	proxy_export_free(proxy->export);
	counter_registry_free(proxy->counters.registry);
	free(proxy);
}

/*
 * Returns a short English text for an error of this library.
 */
const char *proxy_error_text(int error)
{
	switch (error) {
	case PROXY_OK:
		return "no error";
	case PROXY_ERROR_MEMORY:
		return "out of memory";
	case PROXY_ERROR_LISTEN:
		return "cannot listen on an address of the settings";
	case PROXY_ERROR_SETTINGS:
		return "settings can't be used";
	default:
		return "unknown error";
	}
}
