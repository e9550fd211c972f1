#include <event2/buffer.h>
#include <malloc.h>
#include <poll.h>
#include <stdlib.h>

#include "internal.h"

/* Interval of the check for messages that do not complete. */
#define SWEEP_INTERVAL_MS 1000
/* Bytes that a connection that is read again may add before the next check. */
#define RESUME_BYTES (BUDGET_MESSAGE_COPIES * 16384)
/* Callers beyond the limit that are told so; further ones are closed at once.
 */
#define REFUSED_CALLERS_MAX 16
/* Time for a refused caller to send its startup message. */
#define REFUSED_MS 2000
/* Paused connections that are checked for their end at a time. */
#define POLL_MAX 256

/*
 * Records what a session holds and returns what to do with its connection.
 */
budget_verdict_t gateway_pressure_account(session_t *session)
{
	size_t input =
		evbuffer_get_length(bufferevent_get_input(session->events));
	size_t output =
		evbuffer_get_length(bufferevent_get_output(session->events));
	bool busy = session->phase == SESSION_RUNNING ||
		    session->phase == SESSION_WAITING;
	size_t kept = session->values.bytes + session->prepared.bytes +
		      BUDGET_MESSAGE_COPIES * session->line_bytes;

	/* What was sent ahead waits for the target, not for the caller. */
	if (busy)
		kept += BUDGET_MESSAGE_COPIES * input;
	else
		output += BUDGET_MESSAGE_COPIES * input;
	return budget_account_set(&session->gateway->budget, &session->account,
				  kept, output, gateway_now(session->gateway));
}

/*
 * Closes a session that has met a limit, which is logged and counted.
 */
void gateway_pressure_close(session_t *session, const char *limit)
{
	gateway_t *gateway = session->gateway;
	const budget_account_t *account = &session->account;

	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "session-limited",
		  LOG_TEXT("limit", limit),
		  LOG_TEXT("database", session->database),
		  LOG_UNSIGNED("kept", account->kept_bytes),
		  LOG_UNSIGNED("pending", account->pending_bytes),
		  LOG_SIGNED("pending_ms",
			     gateway_now(gateway) - account->since_ms),
		  LOG_UNSIGNED("all", gateway->budget.bytes),
		  LOG_UNSIGNED("sessions", gateway->session_count));
	counter_family_add(gateway->counters.limited, limit, 1);
	gateway_session_close(session);
}

/*
 * Stops or starts reading from a session, as its memory and its unanswered
 * statements allow. Returns false if the session was closed.
 */
bool gateway_pressure_update(session_t *session)
{
	budget_verdict_t verdict = gateway_pressure_account(session);
	size_t input =
		evbuffer_get_length(bufferevent_get_input(session->events));
	size_t output =
		evbuffer_get_length(bufferevent_get_output(session->events));
	bool busy = session->phase == SESSION_RUNNING ||
		    session->phase == SESSION_WAITING;
	bool paused = verdict == BUDGET_PAUSE ||
		      output > BUDGET_UNREAD_MAX_BYTES ||
		      (busy && input > BUDGET_AHEAD_MAX_BYTES);

	if (verdict == BUDGET_CLOSE) {
		gateway_pressure_close(session, "connection");
		return false;
	}
	if (session->gateway->budget.pressed_since_ms != 0)
		session->gateway->trim_due = true;
	if (paused == session->paused)
		return true;
	session->paused = paused;
	if (paused) {
		session->gateway->paused_count++;
		bufferevent_disable(session->events, EV_READ);
	} else {
		session->gateway->paused_count--;
		bufferevent_enable(session->events, EV_READ);
	}
	return true;
}

/*
 * Records what a connection to a target holds.
 */
void gateway_pressure_connection(connection_t *connection)
{
	gateway_t *gateway = connection->target->group->gateway;
	size_t answer = connection->answer
				? evbuffer_get_length(connection->answer)
				: 0;

	/* The answer of an ended step is passed on to its session. */
	if (connection->step == STEP_NONE)
		answer = 0;
	budget_account_set(&gateway->budget, &connection->account,
			   connection->values.bytes +
				   connection->prepared.bytes + answer,
			   0, gateway_now(gateway));
}

static uint32_t count_target_connections(const gateway_t *gateway)
{
	const target_t *target;
	const target_t *next;
	uint32_t count = 0;

	HASH_ITER(hh, gateway->targets, target, next) {
		count += target->open;
	}
	return count;
}

/*
 * Returns whether a caller's connection is accepted. *refused is set if it is
 * only accepted to be told that the process is full.
 */
bool gateway_pressure_admit(gateway_t *gateway, bool *refused)
{
	uint32_t limit = budget_callers_max(
		gateway->settings->descriptors,
		count_target_connections(gateway) +
			http_server_connections(gateway->operator_server) +
			http_server_connections(gateway->peer_server));

	*refused = gateway->session_count >= limit;
	if (!*refused)
		return true;
	counter_family_add(gateway->counters.limited, "descriptors", 1);
	LOG_EVENT(gateway->log, LOG_LEVEL_WARNING, "callers-limited",
		  LOG_UNSIGNED("sessions", gateway->session_count),
		  LOG_UNSIGNED("limit", limit));
	return gateway->session_count < limit + REFUSED_CALLERS_MAX;
}

/*
 * Closes the sessions that hold most for longest while memory is short.
 */
static void close_victims(gateway_t *gateway, clock_ms_t now_ms)
{
	const budget_account_t *account;

	while ((account = budget_pick_victim(&gateway->budget, now_ms)))
		gateway_pressure_close(account->owner, "memory");
}

/*
 * Reads again from paused sessions, as many as there is memory for; without
 * memory, from one that may complete its message.
 */
static void resume_sessions(gateway_t *gateway)
{
	size_t room = budget_room(&gateway->budget);
	bool resumed = false;
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&gateway->sessions);
	     session && (room > 0 || !resumed); session = next) {
		next = TAILQ_NEXT(session, entry);
		if (!session->paused || !gateway_pressure_update(session) ||
		    session->paused)
			continue;
		resumed = true;
		room = room > RESUME_BYTES ? room - RESUME_BYTES : 0;
		gateway_session_take_pending(session);
	}
}

/*
 * Closes paused sessions whose callers have left: the end of a connection that
 * is not read shows only here.
 */
static void close_left(gateway_t *gateway)
{
	struct pollfd polled[POLL_MAX];
	session_t *sessions[POLL_MAX];
	session_t *session;
	nfds_t count = 0;
	nfds_t i;

	TAILQ_FOREACH(session, &gateway->sessions, entry) {
		if (!session->paused || count == POLL_MAX)
			continue;
		polled[count] = (struct pollfd){
			.fd = bufferevent_getfd(session->events),
			.events = POLLRDHUP,
		};
		sessions[count++] = session;
	}
	if (count == 0 || poll(polled, count, 0) <= 0)
		return;
	for (i = 0; i < count; i++) {
		if (polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR))
			gateway_session_close(sessions[i]);
	}
}

/*
 * Closes sessions that do not complete a message, do not read their answers or
 * do not begin in time.
 */
static void close_overdue(gateway_t *gateway, clock_ms_t now_ms)
{
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&gateway->sessions); session;
	     session = next) {
		clock_ms_t limit_ms =
			session->refused ? REFUSED_MS : BUDGET_MESSAGE_MS;

		next = TAILQ_NEXT(session, entry);
		gateway_pressure_account(session);
		if (budget_account_is_overdue(&session->account, now_ms) ||
		    (session->phase == SESSION_STARTING &&
		     now_ms > session->accepted_ms + limit_ms))
			gateway_pressure_close(session, "time");
	}
}

/*
 * Keeps the memory and the descriptors of connections within their limits. To
 * be called in each tick.
 */
void gateway_pressure_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	uint32_t http_max;

	if (gateway->accept_retry_ms != 0 &&
	    now_ms >= gateway->accept_retry_ms) {
		gateway->accept_retry_ms = 0;
		if (gateway->listener)
			evconnlistener_enable(gateway->listener);
	}
	close_victims(gateway, now_ms);
	if (gateway->paused_count > 0) {
		close_left(gateway);
		resume_sessions(gateway);
	}
	if (now_ms < gateway->sweep_due_ms)
		return;
	gateway->sweep_due_ms = now_ms + SWEEP_INTERVAL_MS;
	http_max = budget_http_max(gateway->settings->descriptors,
				   gateway->session_count +
					   count_target_connections(gateway));
	http_server_limit(gateway->operator_server, http_max);
	http_server_limit(gateway->peer_server, http_max);
	close_overdue(gateway, now_ms);
	if (!gateway->trim_due)
		return;
	gateway->trim_due = gateway->budget.pressed_since_ms != 0;
	malloc_trim(0);
}
