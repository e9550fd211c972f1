#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal.h"

/* A link is closed when data sent on it has not been acknowledged for this
 * time, or when a peer that sends nothing has not answered the keep-alive
 * probes for as long: its loan holds a connection to a target meanwhile. */
#define UNACKNOWLEDGED_MAX_MS 3000
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2
/* Links of all peers together. A peer keeps a few idle ones to each owner. */
#define LINKS_MAX 2048
#define BACKLOG 512
/* A link without a loan or a whole frame for this long is closed. */
#define IDLE_MS 30000
/* Bytes that wait to be passed on in one direction until no more are read. */
#define PENDING_MAX_BYTES 65536
/* An answer that is ready is delivered for this time after its connection to
 * the target was lost. */
#define DELIVERY_MS 1000
/* Weight of a new measurement in the smoothed duration of a loan. */
#define LOAN_WEIGHT 0.1
/* The state of a target that has answered within this time is not asked for. */
#define STATE_AGE_MAX_MS 150

/* A peer's link, and its loan. */
struct borrower {
	TAILQ_ENTRY(borrower) entry;
	TAILQ_ENTRY(borrower) waiting_entry;
	gateway_t *gateway;
	struct bufferevent *events;
	struct event *timer;
	/* While it waits or has a loan; NULL: neither. */
	target_t *target;
	connection_t *connection;
	clock_ms_t deadline_ms;
	clock_ms_t lent_ms;
	/* The link is closed once its output is sent. */
	bool closing;
};

/*
 * Sets the options of a link's socket.
 */
void gateway_relay_set_options(evutil_socket_t fd)
{
	int on = 1;
	int limit_ms = UNACKNOWLEDGED_MAX_MS;
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		   sizeof(limit_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

static void set_timer(borrower_t *borrower, clock_ms_t delay_ms)
{
	struct timeval delay = gateway_timeval(delay_ms);

	evtimer_add(borrower->timer, &delay);
}

static void leave_queue(borrower_t *borrower)
{
	if (!borrower->target || borrower->connection)
		return;
	TAILQ_REMOVE(&borrower->target->relay.waiting, borrower, waiting_entry);
	borrower->target->relay.waiting_count--;
	borrower->target = NULL;
}

/*
 * Ends the loan of a borrower and measures its duration. Returns the
 * connection, or NULL if there is no loan.
 */
static connection_t *end_loan(borrower_t *borrower)
{
	connection_t *connection = borrower->connection;
	target_t *target;
	double loan_ms;

	if (!connection)
		return NULL;
	target = connection->target;
	loan_ms = (double)(gateway_now(borrower->gateway) - borrower->lent_ms);
	if (target->relay.loan_ms > 0.0)
		target->relay.loan_ms +=
			LOAN_WEIGHT * (loan_ms - target->relay.loan_ms);
	else
		target->relay.loan_ms = loan_ms;
	target->relay.lent--;
	borrower->gateway->lent_count--;
	borrower->connection = NULL;
	borrower->target = NULL;
	connection->borrower = NULL;
	return connection;
}

/*
 * Closes a link. A lent connection is closed as well, which rolls back at the
 * target.
 */
static void close_borrower(borrower_t *borrower)
{
	gateway_t *gateway = borrower->gateway;
	connection_t *connection = end_loan(borrower);

	leave_queue(borrower);
	TAILQ_REMOVE(&gateway->borrowers, borrower, entry);
	gateway->borrower_count--;
	bufferevent_free(borrower->events);
	event_free(borrower->timer);
	free(borrower);
	if (connection)
		gateway_connection_close(connection);
}

static relay_news_t news_of(const target_t *target, relay_refusal_t reason)
{
	clock_ms_t now_ms = gateway_now(target->group->gateway);

	return (relay_news_t){
		.reason = reason,
		.waiting = target->relay.waiting_count,
		.answered_ago_ms = target->answered_ms > 0
					   ? now_ms - target->answered_ms
					   : -1,
	};
}

/*
 * Answers a request for a connection with a refusal.
 */
static void refuse(borrower_t *borrower, const target_t *target,
		   relay_refusal_t reason)
{
	relay_news_t news = { .reason = reason, .answered_ago_ms = -1 };

	if (target)
		news = news_of(target, reason);
	counter_family_add(borrower->gateway->counters.loans,
			   relay_refusal_name(reason), 1);
	leave_queue(borrower);
	set_timer(borrower, IDLE_MS);
	relay_news_write(bufferevent_get_output(borrower->events),
			 RELAY_FRAME_REFUSED, &news);
}

/*
 * Lends an idle connection without session values.
 */
static void lend(borrower_t *borrower, connection_t *connection)
{
	target_t *target = connection->target;
	const relay_news_t news = news_of(target, RELAY_REFUSAL_STATE);

	leave_queue(borrower);
	evtimer_del(borrower->timer);
	borrower->target = target;
	borrower->connection = connection;
	borrower->lent_ms = gateway_now(borrower->gateway);
	target->relay.lent++;
	borrower->gateway->lent_count++;
	counter_family_add(borrower->gateway->counters.loans, "lent", 1);
	gateway_connection_lend(connection, borrower);
	relay_news_write(bufferevent_get_output(borrower->events),
			 RELAY_FRAME_LENT, &news);
}

static bool has_values(const connection_t *connection)
{
	return connection->values.count > 0 || connection->prepared.count > 0;
}

/*
 * Returns true if a connection is this proxy's own, and not opened for a
 * tenant.
 */
static bool is_lendable(const connection_t *connection)
{
	return !connection->loan && *connection->tenant == '\0';
}

/*
 * Lends an idle connection to the peer with the earliest deadline that waits
 * for one of its target. Session values are cleared first. Returns true if the
 * connection is no longer idle.
 */
bool gateway_relay_lend_next(connection_t *connection)
{
	borrower_t *borrower = TAILQ_FIRST(&connection->target->relay.waiting);

	if (!borrower || !is_lendable(connection))
		return false;
	if (has_values(connection))
		gateway_connection_reset(connection);
	else
		lend(borrower, connection);
	return true;
}

/*
 * Returns an idle connection of a target that this proxy owns, preferably one
 * without session values, or NULL.
 */
static connection_t *find_idle(const target_t *target)
{
	connection_t *connection;
	connection_t *found = NULL;

	TAILQ_FOREACH(connection, &target->connections, entry) {
		if (connection->phase != CONNECTION_IDLE ||
		    !is_lendable(connection))
			continue;
		if (!has_values(connection))
			return connection;
		found = connection;
	}
	return found;
}

/*
 * Puts a borrower into the queue of a target, in the order of the deadlines.
 */
static void enqueue(borrower_t *borrower, target_t *target)
{
	borrower_t *other;

	borrower->target = target;
	target->relay.waiting_count++;
	TAILQ_FOREACH(other, &target->relay.waiting, waiting_entry) {
		if (borrower->deadline_ms >= other->deadline_ms)
			continue;
		TAILQ_INSERT_BEFORE(other, borrower, waiting_entry);
		return;
	}
	TAILQ_INSERT_TAIL(&target->relay.waiting, borrower, waiting_entry);
}

/*
 * Returns true if a borrower is likely to get a connection in time.
 */
static bool may_wait(const borrower_t *borrower, target_t *target,
		     clock_ms_t wait_ms)
{
	const pool_view_t pool = gateway_connection_pool_view(target);
	relay_queue_view_t view = {
		.connections = pool.open > pool.owned ? pool.open : pool.owned,
		.loan_ms = target->relay.loan_ms,
		.wait_ms = wait_ms,
	};
	const borrower_t *other;

	TAILQ_FOREACH(other, &target->relay.waiting, waiting_entry) {
		if (other->deadline_ms <= borrower->deadline_ms)
			view.ahead++;
	}
	return relay_may_wait(&view);
}

/*
 * Answers a request for a target's state. A target that has not answered for a
 * while is probed; the next request then shows the result.
 */
static void answer_state(borrower_t *borrower, target_t *target)
{
	clock_ms_t now_ms = gateway_now(borrower->gateway);

	if (now_ms >= target->answered_ms + STATE_AGE_MAX_MS &&
	    target->failing_since_ms == 0)
		target->next_probe_ms = 1;
	refuse(borrower, target,
	       target->failing_since_ms != 0 ? RELAY_REFUSAL_TARGET_FAILED
					     : RELAY_REFUSAL_STATE);
}

/*
 * Lends a connection, makes the borrower wait for one, or refuses it.
 */
static void on_borrow(borrower_t *borrower, const relay_borrow_t *borrow)
{
	gateway_t *gateway = borrower->gateway;
	connection_t *connection;
	target_t *target;

	HASH_FIND_STR(gateway->targets, borrow->target, target);
	if (!target || strcmp(target->group->name, borrow->service) != 0 ||
	    *borrow->tenant != '\0' || gateway->configuration.tenants) {
		refuse(borrower, NULL, RELAY_REFUSAL_NO_ROOM);
		return;
	}
	if (borrow->state_only) {
		answer_state(borrower, target);
		return;
	}
	if (gateway->draining_ms != 0 || !gateway_target_is_usable(target)) {
		refuse(borrower, target,
		       gateway->draining_ms != 0 ? RELAY_REFUSAL_LEAVING
		       : target->failing_since_ms != 0
			       ? RELAY_REFUSAL_TARGET_FAILED
			       : RELAY_REFUSAL_NO_ROOM);
		return;
	}
	borrower->deadline_ms = gateway_now(gateway) + borrow->wait_ms;
	connection = find_idle(target);
	if (!connection && !may_wait(borrower, target, borrow->wait_ms)) {
		refuse(borrower, target, RELAY_REFUSAL_NO_ROOM);
		return;
	}
	enqueue(borrower, target);
	set_timer(borrower, borrow->wait_ms);
	if (connection)
		gateway_relay_lend_next(connection);
	else
		gateway_relay_open(target);
}

/*
 * Opens a connection of this proxy's own for the peers that wait, if those
 * being opened do not suffice.
 */
void gateway_relay_open(target_t *target)
{
	const pool_view_t view = gateway_connection_pool_view(target);

	if (target->opening < target->relay.waiting_count +
				      target->group->waiting_count &&
	    pool_may_open(&target->pool_backoff, &view))
		gateway_connection_open_owned(target);
}

/*
 * Handles a frame of a borrower. Returns false if it does not fit.
 */
static bool on_frame(borrower_t *borrower, const relay_frame_t *frame)
{
	connection_t *connection;

	switch (frame->kind) {
	case RELAY_FRAME_BORROW:
		if (borrower->target)
			return false;
		on_borrow(borrower, &frame->u.borrow);
		return true;
	case RELAY_FRAME_RETURN:
		connection = end_loan(borrower);
		if (!connection)
			return false;
		bufferevent_enable(borrower->events, EV_READ);
		set_timer(borrower, IDLE_MS);
		gateway_connection_take_back(connection, frame->u.has_values);
		return true;
	case RELAY_FRAME_DATA:
		return borrower->connection != NULL;
	case RELAY_FRAME_LENT:
	case RELAY_FRAME_REFUSED:
		break;
	}
	return false;
}

/*
 * Reads the frames of a link. What belongs to a loan is passed on to the
 * target; the rest of a link is only read while that keeps up.
 */
static void on_readable(struct bufferevent *events, void *context)
{
	borrower_t *borrower = context;
	struct evbuffer *input = bufferevent_get_input(events);
	struct evbuffer *output;
	relay_frame_t frame;
	int error;

	do {
		output = borrower->connection
				 ? bufferevent_get_output(
					   borrower->connection->events)
				 : NULL;
		error = relay_frame_read(input, &frame, output);
		if (error == RELAY_ERROR_INCOMPLETE)
			break;
		if (error != RELAY_OK || !on_frame(borrower, &frame)) {
			LOG_EVENT(borrower->gateway->log, LOG_LEVEL_WARNING,
				  "link-malformed",
				  LOG_TEXT("reason",
					   error != RELAY_OK
						   ? relay_error_text(error)
						   : "order of frames"));
			close_borrower(borrower);
			return;
		}
	} while (true);
	if (output && evbuffer_get_length(output) > PENDING_MAX_BYTES)
		bufferevent_disable(events, EV_READ);
}

/*
 * Reads on from the target when the borrower has taken what was sent, or closes
 * a link whose last answer was delivered.
 */
static void on_written(struct bufferevent *events, void *context)
{
	borrower_t *borrower = context;

	(void)events;
	if (borrower->closing)
		close_borrower(borrower);
	else if (borrower->connection)
		bufferevent_enable(borrower->connection->events, EV_READ);
}

/*
 * Reads on from the borrower when the target has taken what was sent.
 */
void gateway_relay_written(struct bufferevent *events, void *context)
{
	const connection_t *connection = context;

	(void)events;
	if (connection->borrower)
		bufferevent_enable(connection->borrower->events, EV_READ);
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	(void)events;
	(void)what;
	close_borrower(context);
}

/*
 * Refuses a borrower at its deadline, or closes a link that is not used.
 */
static void on_timer(evutil_socket_t fd, short what, void *context)
{
	borrower_t *borrower = context;

	(void)fd;
	(void)what;
	if (borrower->target && !borrower->connection)
		refuse(borrower, borrower->target, RELAY_REFUSAL_NO_ROOM);
	else
		close_borrower(borrower);
}

/*
 * Passes on what a target has sent to the borrower of its connection.
 */
void gateway_relay_forward(connection_t *connection)
{
	borrower_t *borrower = connection->borrower;
	struct evbuffer *output = bufferevent_get_output(borrower->events);

	gateway_target_answered(connection->target,
				gateway_now(borrower->gateway));
	if (relay_data_write(output, bufferevent_get_input(
					     connection->events)) != RELAY_OK) {
		close_borrower(borrower);
		return;
	}
	if (evbuffer_get_length(output) > PENDING_MAX_BYTES)
		bufferevent_disable(connection->events, EV_READ);
}

/*
 * Called when a lent connection was lost. The borrower's link is closed once
 * the last bytes of the target are sent.
 */
void gateway_relay_connection_lost(borrower_t *borrower)
{
	target_t *target = borrower->target;

	target->relay.lent--;
	borrower->gateway->lent_count--;
	borrower->connection = NULL;
	borrower->target = NULL;
	borrower->closing = true;
	bufferevent_disable(borrower->events, EV_READ);
	if (evbuffer_get_length(bufferevent_get_output(borrower->events)) == 0)
		close_borrower(borrower);
	else
		set_timer(borrower, DELIVERY_MS);
}

/*
 * Refuses the peers that wait for a target which has failed.
 */
void gateway_relay_target_failed(target_t *target)
{
	while (!TAILQ_EMPTY(&target->relay.waiting))
		refuse(TAILQ_FIRST(&target->relay.waiting), target,
		       RELAY_REFUSAL_TARGET_FAILED);
}

/*
 * Starts a peer's link, or closes it if there is no memory or there are too
 * many.
 */
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	gateway_t *gateway = context;
	borrower_t *borrower = calloc(1, sizeof(*borrower));

	(void)listener;
	(void)address;
	(void)length;
	if (borrower && gateway->borrower_count < LINKS_MAX) {
		borrower->timer =
			evtimer_new(gateway->base, on_timer, borrower);
		borrower->events = bufferevent_socket_new(
			gateway->base, fd, BEV_OPT_CLOSE_ON_FREE);
	}
	if (!borrower || !borrower->timer || !borrower->events) {
		if (borrower && borrower->timer)
			event_free(borrower->timer);
		if (borrower && borrower->events)
			bufferevent_free(borrower->events);
		else
			evutil_closesocket(fd);
		free(borrower);
		return;
	}
	gateway_relay_set_options(fd);
	borrower->gateway = gateway;
	TAILQ_INSERT_TAIL(&gateway->borrowers, borrower, entry);
	gateway->borrower_count++;
	bufferevent_setcb(borrower->events, on_readable, on_written, on_event,
			  borrower);
	bufferevent_setwatermark(borrower->events, EV_READ, 0,
				 PENDING_MAX_BYTES);
	bufferevent_enable(borrower->events, EV_READ | EV_WRITE);
	set_timer(borrower, IDLE_MS);
}

/*
 * Starts to listen for peers that borrow connections, if the settings have an
 * address. Returns GATEWAY_OK or an error.
 */
int gateway_relay_start(gateway_t *gateway)
{
	const settings_endpoint_t *endpoint = &gateway->settings->relay;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(endpoint->port) };

	if (endpoint->port == 0)
		return GATEWAY_OK;
	if (inet_pton(AF_INET, endpoint->address, &address.sin_addr) != 1)
		return GATEWAY_ERROR_SETTINGS;
	gateway->relay_listener = evconnlistener_new_bind(
		gateway->base, on_accept, gateway,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, BACKLOG,
		(struct sockaddr *)&address, sizeof(address));
	return gateway->relay_listener ? GATEWAY_OK : GATEWAY_ERROR_LISTEN;
}

/*
 * Refuses the peers that wait, since the process is about to leave. Loans in
 * progress end by themselves.
 */
void gateway_relay_drain(gateway_t *gateway)
{
	borrower_t *borrower;

	TAILQ_FOREACH(borrower, &gateway->borrowers, entry) {
		if (borrower->target && !borrower->connection)
			refuse(borrower, borrower->target,
			       RELAY_REFUSAL_LEAVING);
	}
}

/*
 * Closes the listener and all links, at the end of the process.
 */
void gateway_relay_stop(gateway_t *gateway)
{
	borrower_t *borrower;
	borrower_t *next;

	if (gateway->relay_listener)
		evconnlistener_free(gateway->relay_listener);
	for (borrower = TAILQ_FIRST(&gateway->borrowers); borrower;
	     borrower = next) {
		next = TAILQ_NEXT(borrower, entry);
		close_borrower(borrower);
	}
}
