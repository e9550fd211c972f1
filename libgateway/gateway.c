#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "platform/messages.h"

/* Interval of all periodic work, such as probes, promotions and reports: below
 * a tenth of the time in which a failure is noticed. */
#define TICK_MS 50
/* Time limit of a call to the store, which usually answers within 4 ms, or
 * within a few hundred when it is slow. */
#define STORE_TIMEOUT_MS 1000
/* Largest integer that a JSON number carries exactly. */
#define INCARNATION_MASK ((1ULL << 53) - 1)
/* Limits of a request to the operator's server, such as a probe or a metrics
 * request, and the time after which an idle connection is closed. */
#define HTTP_BODY_MAX_BYTES 4096
#define HTTP_HEADERS_MAX_BYTES 8192
#define HTTP_IDLE_MS 15000
/* Connections of callers that the kernel queues until they are accepted. */
#define BACKLOG 1024
/* Delay until connections are accepted again after accept() has failed. */
#define ACCEPT_RETRY_MS 100

/*
 * Returns the time of the boot clock, by which all times of a gateway are
 * taken.
 */
clock_ms_t gateway_now(const gateway_t *gateway)
{
	return clock_source_now(&gateway->clock);
}

/*
 * Converts a duration to a timeval; a negative duration becomes 0.
 */
struct timeval gateway_timeval(clock_ms_t duration_ms)
{
	if (duration_ms < 0)
		duration_ms = 0;
	return (struct timeval){ .tv_sec = duration_ms / 1000,
				 .tv_usec = duration_ms % 1000 * 1000 };
}

static counter_family_t *family(gateway_t *gateway, counter_kind_t kind,
				const char *name, const char *help,
				const char *label)
{
	return counter_family_new(gateway->registry, kind, name, help, label);
}

static void create_counters(gateway_t *gateway)
{
	gateway_counters_t *counters = &gateway->counters;

	counters->statements = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_statements_total",
		"Statements by consistency and outcome.", "outcome");
	counters->latency =
		family(gateway, COUNTER_KIND_HISTOGRAM,
		       "hornbeamtack_statement_duration_ms",
		       "Time to the answer of a statement.", "consistency");
	counters->queue_wait = family(
		gateway, COUNTER_KIND_HISTOGRAM, "hornbeamtack_queue_wait_ms",
		"Time until a statement has a connection.", NULL);
	counters->refusals = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_refusals_total",
		"Statements answered as busy, by priority and reason.",
		"cause");
	counters->target_latency =
		family(gateway, COUNTER_KIND_HISTOGRAM,
		       "hornbeamtack_target_duration_ms",
		       "Time of a target for one statement.", "role");
	counters->served = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_served_total",
		"Statements served by the role of the target.", "role");
	counters->promotions = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_promotions_total",
		"Changes of primary recorded.", "service");
	counters->version =
		family(gateway, COUNTER_KIND_GAUGE,
		       "hornbeamtack_configuration_version",
		       "Version of the configuration in force.", NULL);
	counters->store_calls =
		family(gateway, COUNTER_KIND_GAUGE, "hornbeamtack_store_calls",
		       "Calls to the store by kind.", "kind");
	counters->store_era =
		family(gateway, COUNTER_KIND_GAUGE, "hornbeamtack_store_era",
		       "Era of the store in its last answers; 0: none.", NULL);
	counters->sessions =
		family(gateway, COUNTER_KIND_GAUGE, "hornbeamtack_sessions",
		       "Open sessions of callers.", NULL);
	counters->connections = family(
		gateway, COUNTER_KIND_GAUGE, "hornbeamtack_target_connections",
		"Connections to targets by state.", "state");
	counters->limited = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_limited_total",
		"Connections of callers refused or closed by a limit.",
		"limit");
	counters->held =
		family(gateway, COUNTER_KIND_GAUGE, "hornbeamtack_input_bytes",
		       "Bytes that connections hold, as limited.", NULL);
	counters->grants = family(
		gateway, COUNTER_KIND_GAUGE, "hornbeamtack_grant_left_ms",
		"Time left of the grant of a service.", "service");
	counters->quota_asked = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_quota_asked_total",
		"Operations of limited tenants.", "tenant");
	counters->quota_admitted =
		family(gateway, COUNTER_KIND_COUNTER,
		       "hornbeamtack_quota_admitted_total",
		       "Operations within the limit of the tenant.", "tenant");
	counters->quota_refused = family(
		gateway, COUNTER_KIND_COUNTER,
		"hornbeamtack_quota_refused_total",
		"Operations refused for the limit of the tenant.", "tenant");
	counters->quota_lent = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_quota_lent_total",
		"Operations lent to proxies, by tenant.", "tenant");
	counters->loans = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_loans_total",
		"Answers to peers that borrow a connection.", "outcome");
	counters->borrows = family(
		gateway, COUNTER_KIND_COUNTER, "hornbeamtack_borrows_total",
		"Answers of owners to this proxy.", "outcome");
	counters->relay_state =
		family(gateway, COUNTER_KIND_GAUGE, "hornbeamtack_relay",
		       "Connections lent, peers that wait, and "
		       "connections borrowed.",
		       "state");
	counters->refused_connections =
		family(gateway, COUNTER_KIND_COUNTER,
		       "hornbeamtack_refused_connections_total",
		       "Connections that targets did not admit.", "reason");
}

/*
 * Sets the gauges from the present state, right before they are read.
 */
static void update_gauges(gateway_t *gateway)
{
	store_usage_t usage = store_usage(gateway->store);
	clock_ms_t now_ms = gateway_now(gateway);
	const target_t *target;
	const target_t *next;
	const group_t *group;
	const group_t *next_group;
	uint32_t open = 0;
	uint32_t idle = 0;
	uint32_t borrowed = 0;
	uint32_t waiting = 0;

	HASH_ITER(hh, gateway->targets, target, next) {
		open += target->open;
		idle += target->idle;
		borrowed += target->relay.borrowed;
		waiting += target->relay.waiting_count;
	}
	counter_family_set(gateway->counters.relay_state, "lent",
			   gateway->lent_count);
	counter_family_set(gateway->counters.relay_state, "waiting", waiting);
	counter_family_set(gateway->counters.relay_state, "borrowed", borrowed);
	HASH_ITER(hh, gateway->groups, group, next_group) {
		clock_ms_t left_ms = group->grant.until_ms - now_ms;

		counter_family_set(gateway->counters.grants, group->name,
				   left_ms > 0 ? (double)left_ms : 0.0);
	}
	counter_family_set(gateway->counters.connections, "idle", idle);
	counter_family_set(gateway->counters.connections, "busy", open - idle);
	counter_family_set(gateway->counters.held, NULL,
			   (double)gateway->budget.bytes);
	counter_family_set(gateway->counters.sessions, NULL,
			   gateway->session_count);
	counter_family_set(gateway->counters.store_calls, "range",
			   (double)usage.ranges);
	counter_family_set(gateway->counters.store_calls, "watch",
			   (double)usage.watches);
	counter_family_set(gateway->counters.store_calls, "change",
			   (double)usage.changes);
	counter_family_set(gateway->counters.store_calls, "shared",
			   (double)usage.reads_by_reader);
	counter_family_set(gateway->counters.store_calls, "sent",
			   (double)usage.sent);
	counter_family_set(gateway->counters.store_calls, "failed",
			   (double)usage.failures);
	counter_family_set(gateway->counters.store_era, NULL,
			   (double)store_era(gateway->store));
}

/*
 * Returns true if a configuration, voters and the record of at least one group
 * are known.
 */
static bool is_configured(const gateway_t *gateway)
{
	const group_t *group;
	const group_t *next;

	if (gateway->configuration.version == 0 ||
	    gateway->voters.revision == 0)
		return false;
	HASH_ITER(hh, gateway->groups, group, next) {
		if (group->record.revision != 0)
			return true;
	}
	return false;
}

/*
 * Records that the store, or a majority of the voters, has answered a request
 * that was sent at asked_ms. The time of the request counts, since the answer
 * may reflect a state as old as that.
 */
void gateway_note_confirmed(gateway_t *gateway, clock_ms_t asked_ms)
{
	if (asked_ms > gateway->confirmed_ms)
		gateway->confirmed_ms = asked_ms;
}

/*
 * Updates the result of the readiness probe, and logs each change.
 */
static void update_readiness(gateway_t *gateway, clock_ms_t now_ms)
{
	const readiness_view_t view = {
		.configured = is_configured(gateway),
		.registered = gateway->registered_ms != 0,
		.peer_check_enabled = gateway_promise_is_used(gateway),
		.confirmed_ms = gateway->confirmed_ms,
		.draining_ms = gateway->draining_ms,
		.now_ms = now_ms,
	};

	if (!readiness_update(&gateway->readiness, &view))
		return;
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  gateway->readiness.ready ? "ready" : "not-ready",
		  LOG_SIGNED("confirmed_ago_ms", now_ms - view.confirmed_ms),
		  LOG_UNSIGNED("sessions", gateway->session_count));
}

/*
 * Answers the readiness probe and requests for metrics.
 */
static void on_operator_request(void *context, http_exchange_t *exchange)
{
	gateway_t *gateway = context;
	const char *path = http_exchange_path(exchange);
	char *text;

	if (strcmp(path, PLATFORM_PATH_READY) == 0) {
		bool ready = gateway->readiness.ready;

		http_exchange_reply(exchange, ready ? 200 : 503, "text/plain",
				    ready ? "ready\n" : "not ready\n");
		return;
	}
	if (strcmp(path, "/metrics") == 0) {
		update_gauges(gateway);
		text = counter_registry_render(gateway->registry);
		http_exchange_reply(exchange, text ? 200 : 500, "text/plain",
				    text ? text : "no memory\n");
		free(text);
		return;
	}
	http_exchange_reply(exchange, 404, "text/plain", "not found\n");
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	(void)listener;
	(void)address;
	(void)length;
	gateway_session_accept(context, fd);
}

/*
 * Stops accepting for a while if accept() fails for lack of descriptors, which
 * would wake the event loop again and again.
 */
static void on_accept_error(struct evconnlistener *listener, void *context)
{
	gateway_t *gateway = context;

	evconnlistener_disable(listener);
	gateway->accept_retry_ms = gateway_now(gateway) + ACCEPT_RETRY_MS;
}

static int listen_callers(gateway_t *gateway)
{
	const settings_endpoint_t *endpoint = &gateway->settings->caller;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(endpoint->port) };

	if (inet_pton(AF_INET, endpoint->address, &address.sin_addr) != 1)
		return GATEWAY_ERROR_SETTINGS;
	gateway->listener = evconnlistener_new_bind(
		gateway->base, on_accept, gateway,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		(struct sockaddr *)&address, sizeof(address));
	if (gateway->listener)
		evconnlistener_set_error_cb(gateway->listener, on_accept_error);
	return gateway->listener ? GATEWAY_OK : GATEWAY_ERROR_LISTEN;
}

/*
 * Starts to listen for callers once the configuration, the targets and the
 * records are known. Without them every database would seem to have no route.
 */
static void listen_when_known(gateway_t *gateway)
{
	int error;

	if (gateway->listener || gateway->draining_ms != 0 ||
	    gateway->configuration.version == 0 ||
	    !mirror_complete(gateway->target_mirror) ||
	    !mirror_complete(gateway->record_mirror))
		return;
	error = listen_callers(gateway);
	LOG_EVENT(gateway->log,
		  error == GATEWAY_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_ERROR,
		  "listening", LOG_TEXT("result", gateway_error_text(error)),
		  LOG_UNSIGNED("version", gateway->configuration.version));
}

/*
 * Closes idle sessions while callers are to move to another proxy. In the
 * second half of a drain's grace period, transactions that are open but idle
 * are closed too.
 */
static void end_sessions(gateway_t *gateway, clock_ms_t now_ms)
{
	bool close_open_transactions =
		gateway->draining_ms != 0 &&
		now_ms >=
			gateway->draining_ms + gateway->settings->grace_ms / 2;
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&gateway->sessions); session;
	     session = next) {
		next = TAILQ_NEXT(session, entry);
		if (gateway_session_may_close(session, close_open_transactions))
			gateway_session_close(session);
	}
}

/*
 * Ends a drain once no session is left or nine tenths of the grace period are
 * over: removes this proxy's registration, and stops the event loop one tick
 * later.
 */
static void drain_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	clock_ms_t since_ms = now_ms - gateway->draining_ms;

	if (!gateway_ends_sessions(gateway))
		return;
	if ((gateway->session_count > 0 || gateway->lent_count > 0) &&
	    since_ms < gateway->settings->grace_ms * 9 / 10)
		return;
	if (!gateway->deregistered) {
		gateway_control_deregister(gateway);
		return;
	}
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "stopped",
		  LOG_UNSIGNED("sessions", gateway->session_count));
	event_base_loopbreak(gateway->base);
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	gateway_t *gateway = context;
	clock_ms_t now_ms = gateway_now(gateway);
	group_t *group;
	group_t *next;

	(void)fd;
	(void)what;
	gateway_control_tick(gateway, now_ms);
	gateway_voters_tick(gateway, now_ms);
	gateway_promise_tick(gateway, now_ms);
	gateway_liveness_tick(gateway, now_ms);
	gateway_quota_tick(gateway, now_ms);
	gateway_pressure_tick(gateway, now_ms);
	listen_when_known(gateway);
	HASH_ITER(hh, gateway->groups, group, next) {
		gateway_era_group_tick(group, now_ms);
		gateway_reports_tick(group, now_ms);
		gateway_group_tick(group, now_ms);
	}
	gateway_owners_tick(gateway);
	gateway_link_tick(gateway, now_ms);
	update_readiness(gateway, now_ms);
	if (gateway_ends_sessions(gateway))
		end_sessions(gateway, now_ms);
	if (gateway->draining_ms != 0)
		drain_tick(gateway, now_ms);
}

static int listen_operator(gateway_t *gateway)
{
	const http_options_t options = {
		.address = gateway->settings->operator_endpoint.address,
		.port = gateway->settings->operator_endpoint.port,
		.body_max_bytes = HTTP_BODY_MAX_BYTES,
		.headers_max_bytes = HTTP_HEADERS_MAX_BYTES,
		.idle_ms = HTTP_IDLE_MS,
	};

	gateway->operator_server = http_server_new(
		gateway->base, &options, on_operator_request, gateway);
	return gateway->operator_server ? GATEWAY_OK : GATEWAY_ERROR_LISTEN;
}

/*
 * Creates the parts of a gateway and starts its servers and mirrors. Returns
 * GATEWAY_OK or an error.
 */
static int start(gateway_t *gateway)
{
	struct timeval interval = gateway_timeval(TICK_MS);
	const settings_t *settings = gateway->settings;
	int error;

	if (settings->promotion.port == 0)
		return GATEWAY_ERROR_SETTINGS;
	gateway->proxies = registry_new();
	gateway->registry = counter_registry_new();
	gateway->store = store_new(gateway->base, &gateway->clock,
				   settings->platform.address,
				   settings->platform.port, STORE_TIMEOUT_MS);
	gateway->tick =
		event_new(gateway->base, -1, EV_PERSIST, on_tick, gateway);
	if (!gateway->proxies || !gateway->registry || !gateway->store ||
	    !gateway->tick ||
	    RAND_bytes((unsigned char *)&gateway->incarnation,
		       sizeof(gateway->incarnation)) != 1)
		return GATEWAY_ERROR_MEMORY;
	gateway->incarnation &= INCARNATION_MASK;
	gateway->era.settled = true;
	create_counters(gateway);
	event_add(gateway->tick, &interval);
	error = gateway_quota_start(gateway);
	if (error == GATEWAY_OK)
		error = listen_operator(gateway);
	if (error == GATEWAY_OK)
		error = gateway_peers_start(gateway);
	if (error == GATEWAY_OK)
		error = gateway_relay_start(gateway);
	if (error == GATEWAY_OK)
		error = gateway_control_start(gateway);
	return error;
}

/*
 * Starts a gateway on the event loop of base. settings and log must live as
 * long as the gateway. Returns NULL on an error, which *error then names;
 * GATEWAY_ERROR_SETTINGS means that the settings have no address for promotion
 * orders.
 */
gateway_t *gateway_new(struct event_base *base, const settings_t *settings,
		       log_sink_t *log, int *error)
{
	gateway_t *gateway = calloc(1, sizeof(*gateway));

	*error = GATEWAY_ERROR_MEMORY;
	if (!gateway)
		return NULL;
	gateway->base = base;
	gateway->clock = clock_source_boot();
	gateway->started_ms = gateway_now(gateway);
	gateway->settings = settings;
	gateway->log = log;
	budget_init(&gateway->budget, settings->memory_mb);
	TAILQ_INIT(&gateway->sessions);
	TAILQ_INIT(&gateway->peer_requests);
	TAILQ_INIT(&gateway->borrowers);
	*error = start(gateway);
	if (*error == GATEWAY_OK)
		return gateway;
	gateway_free(gateway);
	return NULL;
}

static void free_targets(gateway_t *gateway)
{
	target_t *target = gateway->targets;
	target_t *next;

	HASH_CLEAR(hh, gateway->targets);
	for (; target; target = next) {
		connection_t *connection = TAILQ_FIRST(&target->connections);

		next = target->hh.next;
		while (connection) {
			connection_t *following = TAILQ_NEXT(connection, entry);

			if (connection->survey)
				gateway_promote_survey_drop(connection->survey);
			gateway_connection_free(connection);
			connection = following;
		}
		gateway_target_free(target);
	}
}

static void free_groups(gateway_t *gateway)
{
	group_t *group = gateway->groups;
	group_t *next;

	HASH_CLEAR(hh, gateway->groups);
	for (; group; group = next) {
		next = group->hh.next;
		event_free(group->dispatch_event);
		free(group);
	}
}

/*
 * Frees a gateway with its sessions and connections, without waiting for them.
 * NULL is allowed.
 */
void gateway_free(gateway_t *gateway)
{
	if (!gateway)
		return;
	if (gateway->listener)
		evconnlistener_free(gateway->listener);
	http_server_free(gateway->operator_server);
	if (gateway->tick)
		event_free(gateway->tick);
	while (!TAILQ_EMPTY(&gateway->sessions))
		gateway_session_close(TAILQ_FIRST(&gateway->sessions));
	gateway_relay_stop(gateway);
	free_targets(gateway);
	gateway_link_close_all(gateway);
	gateway_promise_cancel(gateway);
	gateway_liveness_cancel(gateway);
	gateway_quota_free(gateway);
	store_free(gateway->store);
	/* Calls that the store's client forwards for peers reply to them when
	 * they are cancelled, so that the server must outlive the client. */
	http_server_free(gateway->peer_server);
	mirror_free(gateway->configuration_mirror);
	mirror_free(gateway->target_mirror);
	mirror_free(gateway->record_mirror);
	free_groups(gateway);
	registry_free(gateway->proxies);
	gateway_configuration_clear(&gateway->configuration);
	counter_registry_free(gateway->registry);
	free(gateway);
}

/*
 * Returns true if sessions are to be closed as soon as they are idle: the proxy
 * is draining or cut off, and the balancer has had time to take it out.
 */
bool gateway_ends_sessions(const gateway_t *gateway)
{
	return readiness_should_end_sessions(&gateway->readiness,
					     gateway_now(gateway));
}

/*
 * Starts to shut down. Further calls have no effect.
 */
void gateway_drain(gateway_t *gateway)
{
	if (gateway->draining_ms != 0)
		return;
	gateway->draining_ms = gateway_now(gateway);
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE, "draining",
		  LOG_UNSIGNED("sessions", gateway->session_count));
	gateway_relay_drain(gateway);
}

/*
 * Returns the message for an error of gateway_new().
 */
const char *gateway_error_text(int error)
{
	switch (error) {
	case GATEWAY_OK:
		return "no error";
	case GATEWAY_ERROR_MEMORY:
		return "no memory";
	case GATEWAY_ERROR_LISTEN:
		return "cannot listen";
	case GATEWAY_ERROR_SETTINGS:
		return "settings of the platform are missing";
	default:
		return "unknown error";
	}
}
