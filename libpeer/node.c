#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

#define LINK_CHECK_INTERVAL_MS 50

/*
 * Creates the link of an incoming connection and sends the hello on it.
 */
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	peer_link_t *link = peer_link_new(context, fd);
	int on = 1;

	(void)listener;
	(void)address;
	(void)length;
	if (!link) {
		evutil_closesocket(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->connected = true;
	if (peer_link_send_hello(link) != PEER_OK)
		peer_link_close(link, "hello not sent");
}

/*
 * Closes links that have failed or are idle, and sends echoes. The peer checks
 * the connections that it opened; here, an incoming link is only closed if
 * nothing was received for four times the idle time.
 */
static void check_links(evutil_socket_t fd, short what, void *context)
{
	peer_node_t *node = context;
	clock_ms_t now = peer_now_ms(node);
	peer_link_t *link;
	peer_link_t *next;

	(void)fd;
	(void)what;
	HASH_ITER(hh, node->links, link, next) {
		if (link->outgoing)
			peer_link_check(link, now);
		else if (now - link->received_ms > 4 * node->options.idle_ms)
			peer_link_close(link, "idle");
	}
}

static int start_listener(peer_node_t *node)
{
	struct sockaddr_storage address;
	int length = sizeof(address);
	char text[PEER_ADDRESS_SIZE];

	snprintf(text, sizeof(text),
		 strchr(node->options.listen_address, ':') ? "[%s]:%u"
							   : "%s:%u",
		 node->options.listen_address, node->options.listen_port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
				       &length) != 0)
		return PEER_ERROR_LISTEN;
	node->listener = evconnlistener_new_bind(
		node->base, on_accept, node,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&address, length);
	return node->listener ? PEER_OK : PEER_ERROR_LISTEN;
}

/*
 * Creates a node, which listens for connections of peers and opens a connection
 * to a peer when the first message for it is sent. Durations of the options are
 * in ms. The base and the clock must live longer than the node. Returns NULL if
 * it can't listen on the address, or without memory.
 */
peer_node_t *peer_node_new(struct event_base *base, const clock_source_t *clock,
			   const peer_options_t *options,
			   const peer_handler_t *handler)
{
	struct timeval interval = { .tv_usec = LINK_CHECK_INTERVAL_MS * 1000L };
	peer_node_t *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	node->base = base;
	node->clock = clock;
	node->options = *options;
	node->handler = *handler;
	snprintf(node->name, sizeof(node->name), "%s", options->name);
	node->check_timer = event_new(base, -1, EV_PERSIST, check_links, node);
	if (!node->check_timer ||
	    event_add(node->check_timer, &interval) != 0 ||
	    start_listener(node) != PEER_OK) {
		peer_node_free(node);
		return NULL;
	}
	return node;
}

/*
 * Closes all connections and frees the node. Open requests end with
 * PEER_ERROR_CLOSED before this function returns. A request that such a
 * callback makes is refused with PEER_ERROR_NOT_SENT. Does nothing with NULL.
 */
void peer_node_free(peer_node_t *node)
{
	request_t *request;
	request_t *next_request;
	peer_link_t *link;
	peer_link_t *next_link;

	if (!node)
		return;
	node->freeing = true;
	HASH_ITER(hh, node->requests, request, next_request) {
		peer_request_finish(request, PEER_ERROR_CLOSED, NULL);
	}
	HASH_ITER(hh, node->links, link, next_link) {
		peer_link_close(link, "node freed");
	}
	if (node->listener)
		evconnlistener_free(node->listener);
	if (node->check_timer)
		event_free(node->check_timer);
	free(node);
}

/*
 * Sends a message that has no reply to the peer at address, "ip:port". The
 * message may be lost without notice. Returns PEER_OK, PEER_ERROR_NOT_SENT if
 * no connection can be opened or too much output is unsent,
 * PEER_ERROR_TOO_LARGE or PEER_ERROR_MEMORY.
 */
int peer_node_send(peer_node_t *node, const char *address,
		   const peer_message_t *message)
{
	peer_link_t *link = peer_link_get(node, address);

	return link ? peer_link_write(link, message) : PEER_ERROR_NOT_SENT;
}

/*
 * Replies to a request over the link on which it arrived. link_id and
 * request_id are those of the request. Returns PEER_OK, PEER_ERROR_LOST if the
 * link was closed, or an error of peer_node_send().
 */
int peer_node_reply(peer_node_t *node, uint64_t link_id, uint64_t request_id,
		    const peer_message_t *message)
{
	peer_link_t *link = peer_link_find(node, link_id);
	peer_message_t copy = *message;

	if (!link)
		return PEER_ERROR_LOST;
	copy.request_id = request_id;
	return peer_link_write(link, &copy);
}

/*
 * Returns the counters of the node since it was created, and the number of
 * links that are open now.
 */
peer_usage_t peer_node_usage(const peer_node_t *node)
{
	return node->usage;
}

/*
 * Returns a short English text for an error of this library.
 */
const char *peer_error_text(int error)
{
	switch (error) {
	case PEER_OK:
		return "no error";
	case PEER_ERROR_MEMORY:
		return "out of memory";
	case PEER_ERROR_LISTEN:
		return "cannot listen";
	case PEER_ERROR_NOT_SENT:
		return "not sent";
	case PEER_ERROR_LOST:
		return "connection lost";
	case PEER_ERROR_TIMEOUT:
		return "timeout";
	case PEER_ERROR_MALFORMED:
		return "malformed message";
	case PEER_ERROR_TOO_LARGE:
		return "message too large";
	case PEER_ERROR_CLOSED:
		return "closed";
	default:
		return "unknown error";
	}
}
