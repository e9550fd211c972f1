#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal.h"
#include "platform/wire.h"

/* Time limit to connect and be admitted, which takes a target 12 ms and one
 * slot. A target that is busy answers other requests meanwhile, and then does
 * not count as failed. */
#define OPEN_TIMEOUT_MS 350
/* Time limit of a rollback or of a status answer. */
#define ANSWER_TIMEOUT_MS 600
/* A connection is closed when data sent on it has not been acknowledged for
 * this time, so that a broken path is noticed before the platform's time limits
 * of seconds have passed. */
#define UNACKNOWLEDGED_MAX_MS 3000
/* Limit of unread bytes of a target: one message of the longest kind with its
 * line end. */
#define INPUT_MAX_BYTES (WIRE_LINE_MAX_BYTES + 2)
/* User name in the startup message of a connection that belongs to no tenant;
 * targets accept any. */
#define CONNECTION_USER "hornbeamtack"

static void on_readable(struct bufferevent *events, void *context);
static void on_event(struct bufferevent *events, short what, void *context);

static gateway_t *gateway_of(const connection_t *connection)
{
	return connection->target->group->gateway;
}

/*
 * Returns what decides whether this proxy may open a connection to a target. Of
 * the connections, those count that it holds itself.
 */
pool_view_t gateway_connection_pool_view(target_t *target)
{
	const gateway_t *gateway = target->group->gateway;
	const service_t *service = gateway_configuration_service(
		&gateway->configuration, target->group->name);
	clock_ms_t now_ms = gateway_now(gateway);

	gateway_owners_refresh(target);
	return (pool_view_t){
		.target_limit = service ? service->connections_max : 0,
		.has_owners = target->relay.has_owners,
		.owned = relay_share_limit(&target->relay.share, now_ms),
		.proxies = registry_proxy_count(gateway->proxies),
		.open = target->open - target->relay.borrowed,
		.opening = target->opening,
		.started_ms = gateway->started_ms,
		.now_ms = now_ms,
	};
}

/*
 * Returns true if this proxy may open a further connection to a target, or
 * borrow one.
 */
bool gateway_connection_may_open(target_t *target)
{
	const pool_view_t view = gateway_connection_pool_view(target);

	if (view.has_owners && view.owned == 0)
		return view.now_ms >= target->relay.refused_until_ms;
	return pool_may_open(&target->pool_backoff, &view);
}

/*
 * Returns true if connections to a target are opened for the operations that
 * wait for them, and none is kept.
 */
bool gateway_connection_is_on_demand(target_t *target)
{
	const pool_view_t view = gateway_connection_pool_view(target);

	return pool_is_on_demand(&view);
}

/*
 * Returns true if this proxy may open a connection to a target once it has
 * closed another one.
 */
bool gateway_connection_may_replace(target_t *target)
{
	pool_view_t view = gateway_connection_pool_view(target);

	if (view.open == 0)
		return false;
	view.open--;
	return pool_may_open(&target->pool_backoff, &view);
}

void gateway_connection_set_timer(connection_t *connection, clock_ms_t delay_ms)
{
	struct timeval delay = gateway_timeval(delay_ms);

	evtimer_add(connection->timer, &delay);
}

/*
 * Closes a connection without an answer in time, or one on demand that has been
 * idle for long enough. A connection that does not
 * open counts as a failure of the target only if nothing else was received from
 * the target since it was started.
 */
static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	connection_t *connection = context;
	target_t *target = connection->target;
	clock_ms_t now_ms = gateway_now(target->group->gateway);
	bool opening = connection->phase == CONNECTION_OPENING;

	(void)fd;
	(void)what;
	if (opening && connection->loan) {
		gateway_link_failed(connection);
		return;
	}
	if (opening && target->answered_ms < connection->opened_ms)
		gateway_target_failed(target, now_ms);
	gateway_connection_close(connection);
}

static bool set_options(evutil_socket_t fd)
{
	int on = 1;
	int limit_ms = UNACKNOWLEDGED_MAX_MS;

	return setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0 &&
	       setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
			  sizeof(limit_ms)) == 0;
}

/*
 * Opens the socket, connects it and sends the startup message. Returns false if
 * the connection cannot be started.
 */
bool gateway_connection_connect(connection_t *connection)
{
	const target_entry_t *entry = &connection->target->entry;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(entry->port) };
	gateway_t *gateway = connection->target->group->gateway;
	evutil_socket_t fd;

	if (inet_pton(AF_INET, entry->address, &address.sin_addr) != 1)
		return false;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	set_options(fd);
	connection->events = bufferevent_socket_new(gateway->base, fd,
						    BEV_OPT_CLOSE_ON_FREE);
	if (!connection->events) {
		evutil_closesocket(fd);
		return false;
	}
	bufferevent_setcb(connection->events, on_readable, NULL, on_event,
			  connection);
	bufferevent_enable(connection->events, EV_READ | EV_WRITE);
	gateway_connection_set_timer(connection, OPEN_TIMEOUT_MS);
	wire_startup_encode(bufferevent_get_output(connection->events),
			    entry->service,
			    *connection->tenant != '\0' ? connection->tenant
							: CONNECTION_USER,
			    entry->id);
	return bufferevent_socket_connect(connection->events,
					  (struct sockaddr *)&address,
					  sizeof(address)) == 0;
}

/*
 * Opens a connection: to the target itself, or over a link if loan is not NULL.
 * It is for sessions of a tenant; tenant is empty for sessions without one.
 * Returns NULL if it cannot be started. Whether it is admitted shows later, and
 * is then recorded at the target.
 */
static connection_t *open_connection(target_t *target, survey_t *survey,
				     loan_t *loan, const char *tenant)
{
	connection_t *connection = calloc(1, sizeof(*connection));
	gateway_t *gateway = target->group->gateway;
	bool started;

	if (!connection) {
		gateway_link_loan_free(loan);
		return NULL;
	}
	connection->target = target;
	connection->survey = survey;
	snprintf(connection->tenant, sizeof(connection->tenant), "%s", tenant);
	connection->loan = loan;
	connection->phase = CONNECTION_OPENING;
	connection->opened_ms = gateway_now(gateway);
	connection->sent_ms = connection->opened_ms;
	connection->timer = evtimer_new(gateway->base, on_timeout, connection);
	connection->answer = evbuffer_new();
	budget_account_open(&gateway->budget, &connection->account, NULL);
	TAILQ_INSERT_TAIL(&target->connections, connection, entry);
	target->open++;
	target->opening++;
	if (loan)
		target->relay.borrowed++;
	started = connection->timer && connection->answer &&
		  (loan ? gateway_link_start(connection)
			: gateway_connection_connect(connection));
	if (started)
		return connection;
	connection->survey = NULL;
	gateway_connection_close(connection);
	return NULL;
}

/*
 * Opens a connection to a target for a survey, or to find out whether the
 * target answers if survey is NULL. Where the connections have owners, these
 * are asked for the latter. The connection is for sessions of a tenant; tenant
 * is empty for those without one.
 */
connection_t *gateway_connection_open(target_t *target, survey_t *survey,
				      const char *tenant)
{
	loan_t *loan;

	gateway_owners_refresh(target);
	if (survey || !target->relay.has_owners)
		return open_connection(target, survey, NULL, tenant);
	loan = gateway_link_loan_new(0, true);
	return loan ? open_connection(target, NULL, loan, tenant) : NULL;
}

/*
 * Opens a connection to a target for sessions, or borrows one. A statement can
 * wait for it for wait_ms.
 */
void gateway_connection_open_for_session(target_t *target, clock_ms_t wait_ms)
{
	loan_t *loan = NULL;

	gateway_owners_refresh(target);
	if (target->relay.has_owners) {
		loan = gateway_link_loan_new(wait_ms, false);
		if (!loan)
			return;
	}
	open_connection(target, NULL, loan, "");
}

/*
 * Opens a connection to a target that this proxy owns, for peers.
 */
void gateway_connection_open_owned(target_t *target)
{
	open_connection(target, NULL, NULL, "");
}

/*
 * Returns where the requests to the target are to be appended.
 */
struct evbuffer *gateway_connection_output(const connection_t *connection)
{
	if (connection->loan)
		return connection->loan->request;
	return bufferevent_get_output(connection->events);
}

/*
 * Changes a connection's phase and keeps the counts of its target.
 */
static void set_phase(connection_t *connection, connection_phase_t phase)
{
	target_t *target = connection->target;

	if (connection->phase == CONNECTION_IDLE)
		target->idle--;
	if (connection->phase == CONNECTION_OPENING)
		target->opening--;
	connection->phase = phase;
	if (phase == CONNECTION_IDLE)
		target->idle++;
}

/*
 * Ends the step in progress, if there is one. A statement no longer counts as
 * in flight at the target.
 */
void gateway_connection_end_step(connection_t *connection)
{
	if (connection->step == STEP_STATEMENT) {
		connection->target->in_flight--;
		/* The target has room for another statement. */
		gateway_group_schedule_dispatch(connection->target->group);
	}
	connection->step = STEP_NONE;
	gateway_pressure_connection(connection);
}

/*
 * Frees a connection that its target no longer lists. Closing the socket rolls
 * back its transaction.
 */
void gateway_connection_free(connection_t *connection)
{
	budget_account_close(&connection->target->group->gateway->budget,
			     &connection->account);
	if (connection->events)
		bufferevent_free(connection->events);
	if (connection->timer)
		event_free(connection->timer);
	if (connection->answer)
		evbuffer_free(connection->answer);
	string_map_clear(&connection->values);
	string_map_clear(&connection->prepared);
	gateway_link_loan_free(connection->loan);
	free(connection);
}

/*
 * Closes a connection and tells the session or the survey that uses it.
 */
void gateway_connection_close(connection_t *connection)
{
	target_t *target = connection->target;
	session_t *session = connection->session;
	survey_t *survey = connection->survey;
	borrower_t *borrower = connection->borrower;

	gateway_connection_end_step(connection);
	set_phase(connection, CONNECTION_ROLLING_BACK);
	target->open--;
	if (connection->loan)
		target->relay.borrowed--;
	TAILQ_REMOVE(&target->connections, connection, entry);
	gateway_connection_free(connection);
	/* Another connection may be opened for a waiting session. */
	if (!survey && target->group->gateway->configuration.tenants)
		gateway_group_schedule_dispatch(target->group);
	if (survey)
		gateway_promote_survey_answer(survey, target, NULL);
	if (session) {
		session->connection = NULL;
		gateway_execute_connection_lost(session);
	}
	if (borrower)
		gateway_relay_connection_lost(borrower);
}

/*
 * Closes a connection on which a target has sent something else than one answer
 * to each request: which request its next bytes answer is not known any more.
 * As after a lost connection, a probe is due.
 */
void gateway_connection_close_malformed(connection_t *connection,
					const char *reason)
{
	connection->target->next_probe_ms = 1;
	LOG_EVENT(connection->target->group->gateway->log, LOG_LEVEL_WARNING,
		  "answer-malformed",
		  LOG_TEXT("target", connection->target->entry.id),
		  LOG_TEXT("reason", reason));
	gateway_connection_close(connection);
}

/*
 * Returns an idle connection of the session's tenant: preferably one with the
 * same session values, next one whose values need no reset. Returns NULL if no
 * connection is idle.
 */
connection_t *gateway_connection_idle_find(target_t *target,
					   const session_t *session)
{
	connection_t *connection;
	connection_t *found = NULL;

	if (target->idle == 0)
		return NULL;
	TAILQ_FOREACH(connection, &target->connections, entry) {
		if (connection->phase != CONNECTION_IDLE ||
		    strcmp(connection->tenant, session->tenant) != 0)
			continue;
		if (string_map_equal(&connection->values, &session->values))
			return connection;
		if (!found || string_map_is_key_subset(&connection->values,
						       &session->values))
			found = connection;
	}
	return found;
}

static void return_loan(connection_t *connection)
{
	gateway_link_return(connection);
	gateway_connection_close(connection);
}

/*
 * Makes a connection idle, so that a waiting statement may get it.
 */
static void become_idle(connection_t *connection)
{
	target_t *target = connection->target;

	evtimer_del(connection->timer);
	connection->session = NULL;
	connection->idle_since_ms = gateway_now(target->group->gateway);
	set_phase(connection, CONNECTION_IDLE);
	/* The connection used last is the first to be used again, so that
	 * surplus ones stay idle. */
	TAILQ_REMOVE(&target->connections, connection, entry);
	TAILQ_INSERT_HEAD(&target->connections, connection, entry);
	if (gateway_relay_lend_next(connection))
		return;
	/* Others wait for a borrowed connection that is not used. */
	if (connection->loan &&
	    (connection->loan->used || target->group->waiting_count == 0)) {
		return_loan(connection);
		return;
	}
	if (gateway_connection_is_on_demand(target))
		gateway_connection_set_timer(connection,
					     POOL_ON_DEMAND_IDLE_MS);
	gateway_group_schedule_dispatch(target->group);
}

/*
 * Gives a connection to a borrower. What the target and the borrower send is
 * passed on unread.
 */
void gateway_connection_lend(connection_t *connection, borrower_t *borrower)
{
	set_phase(connection, CONNECTION_LENT);
	connection->borrower = borrower;
	bufferevent_setcb(connection->events, on_readable,
			  gateway_relay_written, on_event, connection);
}

/*
 * Takes a connection back from its borrower, which has left no open transaction
 * on it. With has_values, its session values and prepared statements are
 * cleared first.
 */
void gateway_connection_take_back(connection_t *connection, bool has_values)
{
	connection->borrower = NULL;
	bufferevent_setcb(connection->events, on_readable, NULL, on_event,
			  connection);
	bufferevent_enable(connection->events, EV_READ);
	if (has_values)
		gateway_connection_reset(connection);
	else
		become_idle(connection);
}

/*
 * Gives back the borrowed connections of a group that no statement uses.
 */
void gateway_connection_return_unused(group_t *group)
{
	connection_t *connection;
	connection_t *next;
	target_t *target;

	TAILQ_FOREACH(target, &group->targets, group_entry) {
		for (connection = TAILQ_FIRST(&target->connections); connection;
		     connection = next) {
			next = TAILQ_NEXT(connection, entry);
			if (connection->loan &&
			    connection->phase == CONNECTION_IDLE)
				return_loan(connection);
		}
	}
}

/*
 * Closes the connection of a target that has been idle for longest, if the pool
 * has one too many.
 */
void gateway_connection_close_surplus(target_t *target, clock_ms_t now_ms)
{
	const pool_view_t view = gateway_connection_pool_view(target);
	connection_t *connection;

	TAILQ_FOREACH_REVERSE(connection, &target->connections, connection_list,
			      entry)
	{
		if (connection->phase != CONNECTION_IDLE ||
		    !pool_is_surplus(&view, now_ms - connection->idle_since_ms))
			continue;
		gateway_connection_close(connection);
		return;
	}
}

/*
 * Discards what was received of the last answer, before the next request.
 */
static void clear_answer(connection_t *connection)
{
	connection->complete = false;
	connection->failed = false;
	evbuffer_drain(connection->answer,
		       evbuffer_get_length(connection->answer));
}

/*
 * Clears the session values and prepared statements of a connection, which is
 * idle afterwards.
 */
void gateway_connection_reset(connection_t *connection)
{
	set_phase(connection, CONNECTION_ROLLING_BACK);
	clear_answer(connection);
	string_map_clear(&connection->values);
	string_map_clear(&connection->prepared);
	wire_reset_encode(bufferevent_get_output(connection->events));
	connection->step = STEP_RESET;
	connection->sent_ms = gateway_now(connection->target->group->gateway);
	gateway_connection_set_timer(connection, ANSWER_TIMEOUT_MS);
}

/*
 * Makes a connection idle after a session's operation. An open transaction is
 * rolled back first. If an answer is still to come, the connection is closed,
 * because no session would read the answer.
 */
void gateway_connection_release(connection_t *connection)
{
	connection->session = NULL;
	if (connection->step != STEP_NONE) {
		gateway_connection_close(connection);
		return;
	}
	if (connection->state == TRANSACTION_NONE) {
		become_idle(connection);
		return;
	}
	set_phase(connection, CONNECTION_ROLLING_BACK);
	clear_answer(connection);
	wire_rollback_encode(gateway_connection_output(connection));
	if (connection->loan)
		gateway_link_flush(connection);
	gateway_connection_set_timer(connection, ANSWER_TIMEOUT_MS);
}

/*
 * Begins the step whose request was just added to the output.
 */
void gateway_connection_begin_step(connection_t *connection)
{
	/* The idle timeout of a connection on demand. */
	evtimer_del(connection->timer);
	set_phase(connection, CONNECTION_IN_USE);
	connection->used = true;
	connection->sent_ms = gateway_now(connection->target->group->gateway);
	clear_answer(connection);
	if (connection->step == STEP_STATEMENT)
		connection->target->in_flight++;
	if (!connection->loan)
		return;
	connection->loan->used = true;
	if (connection->step == STEP_SET || connection->step == STEP_PREPARE)
		connection->loan->has_values = true;
	gateway_link_flush(connection);
}

/*
 * Stores the log position that came with an answer: as the target's applied
 * position and, if it proves what was acknowledged, as a sample of the group.
 */
static void note_position(connection_t *connection,
			  const log_position_t *position, clock_ms_t now_ms)
{
	target_t *target = connection->target;
	group_t *group = target->group;

	if (log_position_compare(*position, target->applied) >= 0) {
		target->applied = *position;
		target->applied_ms = now_ms;
		target->lag_ms =
			sample_ring_lag(&group->samples, *position, now_ms);
	}
	/* Only a position from the primary of a term on which this proxy holds
	 * a grant covers all commits that were acknowledged before the request
	 * was sent. */
	if (target != gateway_group_primary(group) ||
	    !gateway_group_holds_grant(group, now_ms) ||
	    !gateway_group_is_in_term(group, position))
		return;
	sample_ring_add(&group->samples, *position, connection->sent_ms);
	/* Waiting reads may now run on replicas. */
	gateway_group_schedule_dispatch(group);
}

/*
 * Records the answer to a statement for the choice of targets. Errors that do
 * not tell how well the target works do not count.
 */
static void note_statement(connection_t *connection, clock_ms_t now_ms)
{
	target_t *target = connection->target;
	double latency_ms = (double)(now_ms - connection->sent_ms);

	if (connection->failed) {
		if (connection->error == STATEMENT_ERROR_BUSY ||
		    connection->error == STATEMENT_ERROR_FAILED)
			placement_news_failed(&target->news, now_ms);
		return;
	}
	placement_news_succeeded(&target->news, latency_ms, now_ms);
	retry_budget_success(target->resends);
	counter_family_observe(target->group->gateway->counters.target_latency,
			       target == gateway_group_primary(target->group)
				       ? "primary"
				       : "replica",
			       latency_ms);
}

/*
 * Records that a target has not answered the statement in progress on a
 * connection, if there is one.
 */
void gateway_connection_note_unanswered(connection_t *connection)
{
	target_t *target = connection->target;

	if (connection->step == STEP_STATEMENT)
		placement_news_failed(&target->news,
				      gateway_now(target->group->gateway));
}

/*
 * Handles the first answer on a connection, which admits it.
 */
void gateway_connection_admitted(connection_t *connection)
{
	if (connection->survey) {
		set_phase(connection, CONNECTION_SURVEYING);
		wire_status_encode(bufferevent_get_output(connection->events));
		gateway_connection_set_timer(connection, ANSWER_TIMEOUT_MS);
		return;
	}
	pool_admitted(&connection->target->pool_backoff);
	become_idle(connection);
}

/*
 * Passes the status answer to the survey and closes the connection.
 */
static void finish_survey(connection_t *connection)
{
	target_status_t status;
	size_t size = evbuffer_get_length(connection->answer);
	char *row = malloc(size + 1);
	survey_t *survey = connection->survey;
	bool valid;

	if (!row) {
		gateway_connection_close(connection);
		return;
	}
	evbuffer_remove(connection->answer, row, size);
	row[size] = '\0';
	valid = !connection->failed && wire_status_decode(row, &status) == 0;
	free(row);
	if (valid) {
		connection->survey = NULL;
		gateway_promote_survey_answer(survey, connection->target,
					      &status);
	}
	gateway_connection_close(connection);
}

/*
 * Handles the end of an answer. May close the connection.
 */
static void on_ready(connection_t *connection, const target_message_t *message)
{
	target_t *target = connection->target;
	clock_ms_t now_ms = gateway_now(target->group->gateway);
	const log_position_t *position = message->u.ready.has_position
						 ? &message->u.ready.position
						 : NULL;

	if (connection->phase != CONNECTION_OPENING && !connection->complete &&
	    !connection->failed) {
		gateway_connection_close_malformed(connection,
						   "no end of the statement");
		return;
	}
	gateway_target_answered(target, now_ms);
	connection->state = message->u.ready.state;
	if (position)
		note_position(connection, position, now_ms);
	switch (connection->phase) {
	case CONNECTION_OPENING:
		gateway_connection_admitted(connection);
		break;
	case CONNECTION_SURVEYING:
		finish_survey(connection);
		break;
	case CONNECTION_ROLLING_BACK:
		/* Session values that could not be cleared would meet the next
		 * session. */
		if (connection->state != TRANSACTION_NONE ||
		    (connection->failed && connection->step == STEP_RESET)) {
			gateway_connection_close(connection);
			break;
		}
		gateway_connection_end_step(connection);
		become_idle(connection);
		break;
	case CONNECTION_IN_USE:
		if (connection->step == STEP_STATEMENT)
			note_statement(connection, now_ms);
		gateway_execute_step_done(connection, position);
		break;
	case CONNECTION_IDLE:
	case CONNECTION_LENT:
		break;
	}
}

/*
 * Records why a target did not admit a connection. With STATEMENT_ERROR_MOVED,
 * another target may have taken over the address, so that this one counts as
 * failed. Otherwise the target answers, but has no room for a connection.
 */
static void note_refused_opening(connection_t *connection)
{
	clock_ms_t now_ms = gateway_now(connection->target->group->gateway);

	if (connection->error == STATEMENT_ERROR_MOVED) {
		gateway_target_failed(connection->target, now_ms);
		return;
	}
	pool_refused(&connection->target->pool_backoff, now_ms);
	gateway_target_answered(connection->target, now_ms);
	/* The operation that waits for this connection may run elsewhere. */
	gateway_group_schedule_dispatch(connection->target->group);
}

/*
 * Returns true if a request was sent whose answer is not complete.
 */
static bool awaits_answer(const connection_t *connection)
{
	switch (connection->phase) {
	case CONNECTION_OPENING:
	case CONNECTION_ROLLING_BACK:
	case CONNECTION_SURVEYING:
		return true;
	case CONNECTION_IN_USE:
		return connection->step != STEP_NONE;
	case CONNECTION_IDLE:
	case CONNECTION_LENT:
		break;
	}
	return false;
}

/*
 * Returns true if a message may come at this point of an answer: rows, then one
 * success or error, then READY.
 */
static bool is_in_order(const connection_t *connection,
			target_message_kind_t kind)
{
	return kind == TARGET_MESSAGE_READY ||
	       (!connection->complete && !connection->failed);
}

/*
 * Handles one line of a target. Returns false if the connection was closed, or
 * may have been.
 */
static bool on_line(connection_t *connection, char *line)
{
	target_message_t message = wire_target_decode(line);

	if (!is_in_order(connection, message.kind)) {
		gateway_connection_close_malformed(connection,
						   "order of messages");
		return false;
	}
	switch (message.kind) {
	case TARGET_MESSAGE_ROW:
		if (evbuffer_get_length(connection->answer) >
		    gateway_of(connection)->budget.account_max_bytes) {
			gateway_connection_close_malformed(
				connection, "length of the answer");
			return false;
		}
		if (connection->phase == CONNECTION_SURVEYING)
			evbuffer_add_printf(connection->answer, "%s",
					    message.u.row.text);
		else
			wire_row_encode(connection->answer, message.u.row.text);
		gateway_pressure_connection(connection);
		return true;
	case TARGET_MESSAGE_COMPLETE:
		connection->complete = true;
		if (connection->phase != CONNECTION_SURVEYING)
			wire_complete_encode(connection->answer,
					     message.u.complete.signature);
		return true;
	case TARGET_MESSAGE_ERROR:
		connection->failed = true;
		connection->error = message.u.error.error;
		if (connection->phase == CONNECTION_OPENING) {
			LOG_EVENT(
				connection->target->group->gateway->log,
				LOG_LEVEL_WARNING, "connection-refused",
				LOG_TEXT("target",
					 connection->target->entry.id),
				LOG_TEXT("reason", statement_error_name(
							   connection->error)));
			counter_family_add(
				connection->target->group->gateway->counters
					.refused_connections,
				statement_error_name(connection->error), 1);
			note_refused_opening(connection);
			gateway_connection_close(connection);
			return false;
		}
		return true;
	case TARGET_MESSAGE_READY:
		on_ready(connection, &message);
		return false;
	case TARGET_MESSAGE_MALFORMED:
		break;
	}
	gateway_connection_close_malformed(connection, "malformed message");
	return false;
}

/*
 * Takes the next line of an answer out of the input. Returns NULL if there is
 * no whole line. *fault says why the answer is malformed, or is NULL: a line is
 * too long or has a NUL, or bytes follow the end of the answer.
 */
static char *read_line(struct evbuffer *input, const char **fault)
{
	size_t length = 0;
	char *line = evbuffer_readln(input, &length, WIRE_LINE_END);

	*fault = NULL;
	if (length > WIRE_LINE_MAX_BYTES ||
	    (!line && evbuffer_get_length(input) > INPUT_MAX_BYTES))
		*fault = "length of a message";
	else if (line && strlen(line) != length)
		*fault = "NUL in a message";
	else if (line && wire_target_ends_answer(line) &&
		 evbuffer_get_length(input) > 0)
		*fault = "bytes behind the answer";
	return line;
}

/*
 * Reads the lines of an answer, up to its end. Returns false if the connection
 * was closed, or may have been.
 */
bool gateway_connection_read_answer(connection_t *connection,
				    struct evbuffer *input)
{
	const char *fault;
	char *line;
	bool open = true;

	if (!awaits_answer(connection)) {
		gateway_connection_close_malformed(connection,
						   "no request was sent");
		return false;
	}
	do {
		line = read_line(input, &fault);
		if (fault)
			gateway_connection_close_malformed(connection, fault);
		open = !fault && (!line || on_line(connection, line));
		free(line);
	} while (open && line);
	return open;
}

static void on_readable(struct bufferevent *events, void *context)
{
	connection_t *connection = context;

	if (connection->phase == CONNECTION_LENT)
		gateway_relay_forward(connection);
	else
		gateway_connection_read_answer(connection,
					       bufferevent_get_input(events));
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	connection_t *connection = context;
	target_t *target = connection->target;

	(void)events;
	if (what & BEV_EVENT_CONNECTED)
		return;
	/* A failure to connect counts as a failure of the target; the loss of
	 * an open connection only causes a probe. */
	if (connection->phase == CONNECTION_OPENING)
		gateway_target_failed(target,
				      gateway_now(target->group->gateway));
	else
		target->next_probe_ms = 1;
	gateway_connection_note_unanswered(connection);
	gateway_connection_close(connection);
}
