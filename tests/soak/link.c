#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef struct connection forwarded_t;

/* A connection that the link accepted, and its connection to the upstream. */
struct connection {
	TAILQ_ENTRY(connection) entry;
	soak_link_t *link;
	struct bufferevent *client;
	struct bufferevent *upstream;
	/* Pending while received bytes wait for the link's delay. */
	struct event *timer;
	/* All bytes are withheld, whatever the link's state. */
	bool silent;
	/* One end has closed its connection; bytes to the client end may not be
	 * written yet. */
	bool closing;
};

struct link {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t upstream_port;
	link_state_t state;
	uint32_t delay_ms;
	TAILQ_HEAD(, connection) connections;
};

/*
 * Frees a connection without removing it from the list of its link.
 */
static void free_connection(forwarded_t *connection)
{
	bufferevent_free(connection->client);
	bufferevent_free(connection->upstream);
	event_free(connection->timer);
	free(connection);
}

/*
 * Closes both sides of a connection and removes it from its link.
 */
static void close_connection(forwarded_t *connection)
{
	TAILQ_REMOVE(&connection->link->connections, connection, entry);
	free_connection(connection);
}

/*
 * Returns whether the connection forwards bytes in both directions.
 */
static bool forwards_both_ways(const forwarded_t *connection)
{
	return !connection->silent &&
	       (connection->link->state == LINK_OPEN ||
		connection->link->state == LINK_ESTABLISHED_ONLY);
}

/*
 * Forwards the received bytes in the directions that are not withheld.
 */
static void forward(forwarded_t *connection)
{
	link_state_t state =
		connection->silent ? LINK_SILENT : connection->link->state;

	if (forwards_both_ways(connection))
		state = LINK_OPEN;

	if (state == LINK_OPEN || state == LINK_NO_ANSWERS)
		bufferevent_write_buffer(
			connection->upstream,
			bufferevent_get_input(connection->client));
	if (state == LINK_OPEN || state == LINK_NO_REQUESTS)
		bufferevent_write_buffer(
			connection->client,
			bufferevent_get_input(connection->upstream));
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	forward(context);
}

static void on_readable(struct bufferevent *events, void *context)
{
	forwarded_t *connection = context;
	const struct timeval delay = { .tv_usec = connection->link->delay_ms *
						  1000 };

	(void)events;
	if (connection->link->delay_ms == 0)
		forward(connection);
	else if (!evtimer_pending(connection->timer, NULL))
		evtimer_add(connection->timer, &delay);
}

/*
 * Closes a connection of which one end has closed, once all bytes to the client
 * end are written.
 */
static void end_if_written(forwarded_t *connection)
{
	if (connection->closing && evbuffer_get_length(bufferevent_get_output(
					   connection->client)) == 0)
		close_connection(connection);
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	forwarded_t *connection = context;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* A link that withholds bytes doesn't forward the close either. */
	if (!forwards_both_ways(connection)) {
		bufferevent_disable(events, EV_READ);
		return;
	}
	forward(connection);
	connection->closing = true;
	end_if_written(connection);
}

static void on_written(struct bufferevent *events, void *context)
{
	(void)events;
	end_if_written(context);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	soak_link_t *link = context;
	struct sockaddr_in upstream = { .sin_family = AF_INET,
					.sin_port =
						htons(link->upstream_port) };
	forwarded_t *connection = check_allocate(sizeof(*connection));

	(void)listener;
	(void)address;
	(void)length;
	upstream.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	connection->link = link;
	connection->silent = link->state == LINK_ESTABLISHED_ONLY;
	connection->timer = evtimer_new(link->base, on_timer, connection);
	connection->client =
		bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	connection->upstream =
		bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->client, on_readable, on_written, on_event,
			  connection);
	bufferevent_setcb(connection->upstream, on_readable, NULL, on_event,
			  connection);
	bufferevent_enable(connection->client, EV_READ | EV_WRITE);
	bufferevent_enable(connection->upstream, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&link->connections, connection, entry);
	bufferevent_socket_connect(connection->upstream,
				   (struct sockaddr *)&upstream,
				   sizeof(upstream));
}

/*
 * Returns a link that forwards connections from port to upstream_port on
 * loopback. Aborts the program if it can't listen on port.
 */
soak_link_t *soak_link_new(struct event_base *base, uint16_t port,
			   uint16_t upstream_port)
{
	soak_link_t *link = check_allocate(sizeof(*link));
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	link->base = base;
	link->upstream_port = upstream_port;
	TAILQ_INIT(&link->connections);
	link->listener = evconnlistener_new_bind(
		base, on_accept, link,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
		(struct sockaddr *)&address, sizeof(address));
	if (!link->listener)
		abort();
	return link;
}

/*
 * Closes all connections of the link and frees it.
 */
void soak_link_free(soak_link_t *link)
{
	forwarded_t *connection;
	forwarded_t *next;

	for (connection = TAILQ_FIRST(&link->connections); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		free_connection(connection);
	}
	evconnlistener_free(link->listener);
	free(link);
}

/*
 * Closes each connection with a probability of percent. The client end gets a
 * TCP reset, as the socket doesn't linger.
 */
void soak_link_reset(soak_link_t *link, check_random_t *random,
		     uint32_t percent)
{
	const struct linger reset = { .l_onoff = 1 };
	forwarded_t *connection;
	forwarded_t *next;

	for (connection = TAILQ_FIRST(&link->connections); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		if (check_random_below(random, 100) >= percent)
			continue;
		setsockopt(bufferevent_getfd(connection->client), SOL_SOCKET,
			   SO_LINGER, &reset, sizeof(reset));
		close_connection(connection);
	}
}

/*
 * Withholds all further bytes of each established connection with a
 * probability of percent. New connections are not affected.
 */
void soak_link_silence(soak_link_t *link, check_random_t *random,
		       uint32_t percent)
{
	forwarded_t *connection;

	TAILQ_FOREACH(connection, &link->connections, entry) {
		if (check_random_below(random, 100) < percent)
			connection->silent = true;
	}
}

/*
 * Sets the state of the link and forwards the bytes that it no longer
 * withholds.
 */
void soak_link_set(soak_link_t *link, link_state_t state)
{
	forwarded_t *connection;

	link->state = state;
	TAILQ_FOREACH(connection, &link->connections, entry)
		forward(connection);
}

/*
 * Sets the time after which received bytes are forwarded, below one second.
 */
void soak_link_delay(soak_link_t *link, uint32_t delay_ms)
{
	link->delay_ms = delay_ms;
}
