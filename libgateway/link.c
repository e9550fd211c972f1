#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal.h"

/* Time limit to open a link, within a failure domain, and what an answer may
 * take longer than the borrower waits. */
#define CONNECT_TIMEOUT_MS 200
#define ANSWER_MARGIN_MS 150
/* An owner that was not reached, or leaves, is not asked for this time. */
#define OWNER_SKIP_MS 500
/* Statements are sent to other targets for this time after all owners had no
 * room. A loan takes about as long. */
#define REFUSED_MS 20
/* Idle links to an owner that are kept, and for how long. */
#define IDLE_LINKS_MAX 4
#define IDLE_LINK_MS 10000

/* A link without a loan. */
typedef struct idle_link {
	TAILQ_ENTRY(idle_link) entry;
	link_peer_t *peer;
	struct bufferevent *events;
	clock_ms_t idle_since_ms;
} idle_link_t;

/* An owner with idle links. */
struct link_peer {
	char address[SETTINGS_ENDPOINT_SIZE];
	/* The link that was used last is the first. */
	TAILQ_HEAD(idle_link_list, idle_link) links;
	uint32_t count;
	UT_hash_handle hh;
};

/*
 * Returns a loan that is to be asked for, or NULL if there is no memory.
 */
loan_t *gateway_link_loan_new(clock_ms_t wait_ms, bool state_only)
{
	loan_t *loan = calloc(1, sizeof(*loan));

	if (!loan)
		return NULL;
	loan->wait_ms = wait_ms > 0 ? wait_ms : 0;
	loan->state_only = state_only;
	loan->received = evbuffer_new();
	loan->request = evbuffer_new();
	if (loan->received && loan->request)
		return loan;
	gateway_link_loan_free(loan);
	return NULL;
}

/*
 * Frees a loan. NULL is allowed.
 */
void gateway_link_loan_free(loan_t *loan)
{
	if (!loan)
		return;
	if (loan->received)
		evbuffer_free(loan->received);
	if (loan->request)
		evbuffer_free(loan->request);
	free(loan);
}

static void free_idle_link(idle_link_t *link)
{
	TAILQ_REMOVE(&link->peer->links, link, entry);
	link->peer->count--;
	bufferevent_free(link->events);
	free(link);
}

static void free_idle_links(link_peer_t *peer)
{
	idle_link_t *link;
	idle_link_t *next;

	for (link = TAILQ_FIRST(&peer->links); link; link = next) {
		next = TAILQ_NEXT(link, entry);
		free_idle_link(link);
	}
}

static void close_idle_links(gateway_t *gateway, const char *address)
{
	link_peer_t *peer;

	HASH_FIND_STR(gateway->link_peers, address, peer);
	if (peer)
		free_idle_links(peer);
}

/*
 * Closes an idle link on which the owner has sent something, or which it has
 * closed.
 */
static void on_idle_readable(struct bufferevent *events, void *context)
{
	(void)events;
	free_idle_link(context);
}

static void on_idle_event(struct bufferevent *events, short what, void *context)
{
	(void)events;
	(void)what;
	free_idle_link(context);
}

/*
 * Keeps a link for later loans. Returns false if it is not kept.
 */
static bool keep_link(gateway_t *gateway, const char *address,
		      struct bufferevent *events)
{
	link_peer_t *peer;
	idle_link_t *link;

	HASH_FIND_STR(gateway->link_peers, address, peer);
	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			return false;
		memcpy(peer->address, address, strlen(address) + 1);
		TAILQ_INIT(&peer->links);
		HASH_ADD_STR(gateway->link_peers, address, peer);
	}
	link = peer->count < IDLE_LINKS_MAX ? calloc(1, sizeof(*link)) : NULL;
	if (!link)
		return false;
	link->peer = peer;
	link->events = events;
	link->idle_since_ms = gateway_now(gateway);
	TAILQ_INSERT_HEAD(&peer->links, link, entry);
	peer->count++;
	bufferevent_setcb(events, on_idle_readable, NULL, on_idle_event, link);
	return true;
}

/*
 * Takes the link of a connection away from it, and keeps it if no byte is left
 * over.
 */
static void put_link(connection_t *connection)
{
	struct bufferevent *events = connection->events;
	loan_t *loan = connection->loan;

	connection->events = NULL;
	if (evbuffer_get_length(bufferevent_get_input(events)) > 0 ||
	    evbuffer_get_length(loan->received) > 0 ||
	    !keep_link(connection->target->group->gateway, loan->owner, events))
		bufferevent_free(events);
}

/*
 * Returns an idle link to an owner, or NULL if there is none.
 */
static struct bufferevent *take_link(gateway_t *gateway, const char *address)
{
	struct bufferevent *events;
	idle_link_t *link;
	link_peer_t *peer;

	HASH_FIND_STR(gateway->link_peers, address, peer);
	link = peer ? TAILQ_FIRST(&peer->links) : NULL;
	if (!link)
		return NULL;
	events = link->events;
	TAILQ_REMOVE(&peer->links, link, entry);
	peer->count--;
	free(link);
	return events;
}

/*
 * Opens a link to an owner. Returns NULL if it cannot be started.
 */
static struct bufferevent *open_link(gateway_t *gateway, const char *address)
{
	struct sockaddr_storage storage = { 0 };
	int length = sizeof(storage);
	struct bufferevent *events;
	evutil_socket_t fd;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&storage,
				       &length) != 0)
		return NULL;
	fd = socket(storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	gateway_relay_set_options(fd);
	events = bufferevent_socket_new(gateway->base, fd,
					BEV_OPT_CLOSE_ON_FREE);
	if (!events) {
		evutil_closesocket(fd);
		return NULL;
	}
	if (bufferevent_socket_connect(events, (struct sockaddr *)&storage,
				       length) == 0)
		return events;
	bufferevent_free(events);
	return NULL;
}

/*
 * Asks the owner of the loan's rank for a connection. Returns false if it is
 * not asked.
 */
static bool ask_owner(connection_t *connection)
{
	target_t *target = connection->target;
	gateway_t *gateway = target->group->gateway;
	loan_t *loan = connection->loan;
	relay_borrow_t borrow = { .wait_ms = loan->wait_ms,
				  .state_only = loan->state_only };
	bool reused = true;

	memcpy(loan->owner, target->relay.owners[loan->rank],
	       sizeof(loan->owner));
	connection->events = take_link(gateway, loan->owner);
	if (!connection->events) {
		connection->events = open_link(gateway, loan->owner);
		reused = false;
	}
	if (!connection->events)
		return false;
	snprintf(borrow.service, sizeof(borrow.service), "%s",
		 target->entry.service);
	snprintf(borrow.target, sizeof(borrow.target), "%s", target->entry.id);
	bufferevent_setcb(connection->events, gateway_link_readable, NULL,
			  gateway_link_event, connection);
	bufferevent_enable(connection->events, EV_READ | EV_WRITE);
	if (relay_borrow_write(bufferevent_get_output(connection->events),
			       &borrow) != RELAY_OK) {
		bufferevent_free(connection->events);
		connection->events = NULL;
		return false;
	}
	gateway_connection_set_timer(connection,
				     reused ? loan->wait_ms + ANSWER_MARGIN_MS
					    : CONNECT_TIMEOUT_MS);
	return true;
}

/*
 * Opens the connection to the target itself: this proxy owns it, or no owner
 * was reached.
 */
static bool connect_directly(connection_t *connection)
{
	loan_t *loan = connection->loan;

	connection->loan = NULL;
	connection->target->relay.borrowed--;
	gateway_link_loan_free(loan);
	return gateway_connection_connect(connection);
}

/*
 * Records that no owner has lent a connection. Returns true if the target is
 * reached directly instead.
 */
static bool fall_back(connection_t *connection)
{
	target_t *target = connection->target;
	gateway_t *gateway = target->group->gateway;
	const loan_t *loan = connection->loan;
	clock_ms_t now_ms = gateway_now(gateway);

	if (loan->target_failed) {
		gateway_target_failed(target, now_ms);
	} else if (loan->refused) {
		target->relay.refused_until_ms = now_ms + REFUSED_MS;
	} else if (target->opening <= 1 &&
		   (target->pool_backoff.delay_ms == 0 ||
		    now_ms >= target->pool_backoff.retry_at_ms)) {
		counter_family_add(gateway->counters.borrows, "direct", 1);
		return connect_directly(connection);
	} else {
		target->relay.refused_until_ms = now_ms + REFUSED_MS;
	}
	/* The waiting statements try other targets. */
	event_active(target->group->dispatch_event, EV_TIMEOUT, 0);
	return false;
}

/*
 * Asks the owners from the loan's rank on for a connection, or opens one if
 * this proxy is the owner. Returns false if that is not possible.
 */
bool gateway_link_start(connection_t *connection)
{
	target_t *target = connection->target;
	target_relay_t *relay = &target->relay;
	loan_t *loan = connection->loan;
	clock_ms_t now_ms = gateway_now(target->group->gateway);

	for (; loan->rank < relay->owner_count; loan->rank++) {
		pool_view_t view;

		if (!relay->owned[loan->rank]) {
			if (now_ms >= relay->skip_until_ms[loan->rank] &&
			    ask_owner(connection))
				return true;
			continue;
		}
		if (loan->state_only)
			return connect_directly(connection);
		view = gateway_connection_pool_view(target);
		/* The connection that is about to be opened. */
		view.opening--;
		if (pool_may_open(&target->pool_backoff, &view))
			return connect_directly(connection);
		loan->refused = true;
	}
	return fall_back(connection);
}

static void ask_next_owner(connection_t *connection)
{
	connection->loan->rank++;
	if (!gateway_link_start(connection))
		gateway_connection_close(connection);
}

static void skip_owner(connection_t *connection)
{
	target_t *target = connection->target;
	const loan_t *loan = connection->loan;
	uint32_t rank;

	for (rank = 0; rank < target->relay.owner_count; rank++) {
		if (strcmp(target->relay.owners[rank], loan->owner) == 0)
			target->relay.skip_until_ms[rank] =
				gateway_now(target->group->gateway) +
				OWNER_SKIP_MS;
	}
}

/*
 * Handles the loss of a link on which a connection was asked for, or an answer
 * that is not in time. Nothing was sent to the target; the next owner is asked.
 */
void gateway_link_failed(connection_t *connection)
{
	gateway_t *gateway = connection->target->group->gateway;

	LOG_EVENT(gateway->log, LOG_LEVEL_INFO, "owner-unreachable",
		  LOG_TEXT("target", connection->target->entry.id),
		  LOG_TEXT("owner", connection->loan->owner));
	counter_family_add(gateway->counters.borrows, "unreachable", 1);
	skip_owner(connection);
	close_idle_links(gateway, connection->loan->owner);
	bufferevent_free(connection->events);
	connection->events = NULL;
	ask_next_owner(connection);
}

/*
 * Takes over when the target last answered the owner.
 */
static void apply_news(target_t *target, const relay_news_t *news)
{
	clock_ms_t answered_ms =
		gateway_now(target->group->gateway) - news->answered_ago_ms;

	if (news->answered_ago_ms >= 0 && answered_ms > target->answered_ms &&
	    answered_ms > target->failing_since_ms)
		gateway_target_answered(target, answered_ms);
}

static void on_refused(connection_t *connection, const relay_news_t *news)
{
	target_t *target = connection->target;

	counter_family_add(target->group->gateway->counters.borrows,
			   relay_refusal_name(news->reason), 1);
	apply_news(target, news);
	put_link(connection);
	switch (news->reason) {
	case RELAY_REFUSAL_STATE:
		gateway_connection_close(connection);
		return;
	case RELAY_REFUSAL_TARGET_FAILED:
		connection->loan->target_failed = true;
		break;
	case RELAY_REFUSAL_LEAVING:
		skip_owner(connection);
		break;
	case RELAY_REFUSAL_NO_ROOM:
	case RELAY_REFUSAL_COUNT:
		connection->loan->refused = true;
		break;
	}
	ask_next_owner(connection);
}

/*
 * Handles a frame of the owner. Returns false if the connection was closed, or
 * may have been.
 */
static bool on_frame(connection_t *connection, const relay_frame_t *frame)
{
	bool opening = connection->phase == CONNECTION_OPENING;

	if (frame->kind == RELAY_FRAME_DATA && !opening)
		return gateway_connection_read_answer(
			connection, connection->loan->received);
	if (frame->kind == RELAY_FRAME_LENT && opening) {
		counter_family_add(
			connection->target->group->gateway->counters.borrows,
			"lent", 1);
		apply_news(connection->target, &frame->u.news);
		gateway_connection_admitted(connection);
		return false;
	}
	if (frame->kind == RELAY_FRAME_REFUSED && opening) {
		on_refused(connection, &frame->u.news);
		return false;
	}
	gateway_connection_close_malformed(connection, "order of frames");
	return false;
}

/*
 * Reads the frames of a link on which a connection is borrowed.
 */
void gateway_link_readable(struct bufferevent *events, void *context)
{
	connection_t *connection = context;
	relay_frame_t frame;
	int error;

	do {
		error = relay_frame_read(bufferevent_get_input(events), &frame,
					 connection->loan->received);
		if (error == RELAY_ERROR_INCOMPLETE)
			return;
		if (error != RELAY_OK) {
			gateway_connection_close_malformed(
				connection, relay_error_text(error));
			return;
		}
	} while (on_frame(connection, &frame));
}

void gateway_link_event(struct bufferevent *events, short what, void *context)
{
	connection_t *connection = context;

	(void)events;
	if (what & BEV_EVENT_CONNECTED) {
		gateway_connection_set_timer(connection,
					     connection->loan->wait_ms +
						     ANSWER_MARGIN_MS);
		return;
	}
	if (connection->phase == CONNECTION_OPENING) {
		gateway_link_failed(connection);
		return;
	}
	connection->target->next_probe_ms = 1;
	gateway_connection_close(connection);
}

/*
 * Sends the request that was put together. Without memory the connection is
 * closed by its time limit.
 */
void gateway_link_flush(connection_t *connection)
{
	relay_data_write(bufferevent_get_output(connection->events),
			 connection->loan->request);
}

/*
 * Ends a loan. The connection has no open transaction, and no answer is
 * outstanding.
 */
void gateway_link_return(connection_t *connection)
{
	if (relay_return_write(bufferevent_get_output(connection->events),
			       connection->loan->has_values) == RELAY_OK)
		put_link(connection);
}

/*
 * Closes links that have been idle for long, and forgets an owner without
 * links. To be called in each tick.
 */
void gateway_link_tick(gateway_t *gateway, clock_ms_t now_ms)
{
	link_peer_t *peer;
	link_peer_t *next;
	link_peer_t *empty = NULL;

	HASH_ITER(hh, gateway->link_peers, peer, next) {
		idle_link_t *oldest = TAILQ_LAST(&peer->links, idle_link_list);

		if (oldest && now_ms >= oldest->idle_since_ms + IDLE_LINK_MS)
			free_idle_link(oldest);
		if (TAILQ_EMPTY(&peer->links))
			empty = peer;
	}
	if (!empty)
		return;
	HASH_DEL(gateway->link_peers, empty);
	free(empty);
}

/*
 * Closes all idle links, at the end of the process.
 */
void gateway_link_close_all(gateway_t *gateway)
{
	link_peer_t *peer = gateway->link_peers;
	link_peer_t *next;

	HASH_CLEAR(hh, gateway->link_peers);
	for (; peer; peer = next) {
		next = peer->hh.next;
		free_idle_links(peer);
		free(peer);
	}
}
