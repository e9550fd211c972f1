#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* Unsent output that a link holds at most, as a multiple of the largest
 * message. Further messages are refused as not sent, so that a peer that
 * doesn't read takes a bounded amount of memory. */
#define OUTPUT_MESSAGES_MAX 8

/*
 * Passes an event of a connection to the log callback, if there is one.
 */
void peer_log(const peer_node_t *node, const char *event, const char *peer,
	      const char *detail)
{
	if (node->handler.log)
		node->handler.log(node->handler.context, event, peer, detail);
}

/*
 * Returns the time of the node's clock in ms.
 */
clock_ms_t peer_now_ms(const peer_node_t *node)
{
	return clock_source_now(node->clock);
}

/*
 * Marks a link as retired: new messages to its address use another link.
 */
void peer_link_retire(peer_link_t *link)
{
	if (link->outgoing && !link->retired)
		HASH_DELETE(by_address, link->node->links_by_address, link);
	link->retired = true;
}

/*
 * Closes a link and frees it. Its requests end with an error, from their
 * timers. reason is logged.
 */
void peer_link_close(peer_link_t *link, const char *reason)
{
	peer_node_t *node = link->node;

	peer_log(node, "peer-closed",
		 link->outgoing ? link->address : link->name, reason);
	peer_link_retire(link);
	HASH_DEL(node->links, link);
	node->usage.links--;
	peer_request_fail_all(link);
	bufferevent_free(link->bev);
	free(link);
}

/*
 * Writes a message to the output of a link, which is sent by the event loop.
 * Returns PEER_OK, PEER_ERROR_TOO_LARGE, PEER_ERROR_NOT_SENT if too much output
 * is unsent, or PEER_ERROR_MEMORY.
 */
int peer_link_write(peer_link_t *link, const peer_message_t *message)
{
	peer_node_t *node = link->node;
	struct evbuffer *output = bufferevent_get_output(link->bev);
	uint32_t length;
	char *bytes;
	size_t count;
	int error = peer_message_encode(message, &bytes, &count);

	if (error != PEER_OK)
		return error;
	if (count > node->options.message_max_bytes) {
		free(bytes);
		return PEER_ERROR_TOO_LARGE;
	}
	if (evbuffer_get_length(output) + count >
	    (size_t)OUTPUT_MESSAGES_MAX * node->options.message_max_bytes) {
		free(bytes);
		return PEER_ERROR_NOT_SENT;
	}
	length = htonl((uint32_t)count);
	if (evbuffer_add(output, &length, sizeof(length)) != 0 ||
	    evbuffer_add(output, bytes, count) != 0)
		error = PEER_ERROR_MEMORY;
	free(bytes);
	node->usage.sent_bytes += FRAME_LENGTH_BYTES + count;
	node->usage.sent_messages++;
	link->sent_ms = peer_now_ms(node);
	link->written_since_echo = true;
	return error;
}

/*
 * Writes the hello, which must be the first message on a link. Returns as
 * peer_link_write().
 */
int peer_link_send_hello(peer_link_t *link)
{
	peer_message_t hello = {
		.kind = PEER_MESSAGE_HELLO,
		.u.hello = { .version = PEER_VERSION,
			     .name = link->node->name,
			     .incarnation = link->node->options.incarnation },
	};

	return peer_link_write(link, &hello);
}

/*
 * Ends the request that a reply belongs to.
 */
static void handle_reply(peer_link_t *link, const peer_message_t *message)
{
	request_t *request;

	HASH_FIND(hh, link->node->requests, &message->request_id,
		  sizeof(message->request_id), request);
	/* A reply to a request that has ended is dropped. Ids are not reused,
	 * so such a reply can't be taken for the reply to another request. Two
	 * nodes may use the same ids, so a reply counts only on the link of its
	 * request. */
	if (request && request->link == link)
		peer_request_finish(request, PEER_OK, message);
}

/*
 * Handles one decoded message. Messages before the hello and a hello of another
 * protocol version are malformed. Returns PEER_OK, or an error after which the
 * caller must close the link.
 */
static int handle_message(peer_link_t *link, const peer_message_t *message)
{
	peer_message_t echo = { .kind = PEER_MESSAGE_ECHO_REPLY };

	if (!link->hello_received && message->kind != PEER_MESSAGE_HELLO)
		return PEER_ERROR_MALFORMED;
	switch (message->kind) {
	case PEER_MESSAGE_HELLO:
		if (message->u.hello.version != PEER_VERSION)
			return PEER_ERROR_MALFORMED;
		link->hello_received = true;
		snprintf(link->name, sizeof(link->name), "%s",
			 message->u.hello.name);
		return PEER_OK;
	case PEER_MESSAGE_ECHO:
		return peer_link_write(link, &echo);
	case PEER_MESSAGE_ECHO_REPLY:
		link->echo_outstanding = false;
		return PEER_OK;
	case PEER_MESSAGE_STATEMENT_REPLY:
	case PEER_MESSAGE_CONFIGURATION_APPLIED:
		handle_reply(link, message);
		return PEER_OK;
	case PEER_MESSAGE_CONFIGURATION_CHANGES:
		/* On an outgoing link this is the reply to a fetch. On an
		 * incoming link it is a pushed change, which is a request. */
		if (link->outgoing) {
			handle_reply(link, message);
			return PEER_OK;
		}
		break;
	case PEER_MESSAGE_MEMBERSHIP:
	case PEER_MESSAGE_STATEMENT:
	case PEER_MESSAGE_CONFIGURATION_FETCH:
	case PEER_MESSAGE_LEAVING:
		break;
	}
	link->node->handler.message(link->node->handler.context, link->id,
				    message);
	return PEER_OK;
}

/*
 * Decodes and handles one frame, given without its length. Returns as
 * handle_message().
 */
static int handle_frame(peer_link_t *link, const char *bytes, size_t count)
{
	peer_decoder_t *decoder = peer_decoder_new();
	peer_message_t message;
	int error;

	if (!decoder)
		return PEER_ERROR_MEMORY;
	error = peer_message_decode(decoder, bytes, count, &message);
	if (error == PEER_OK)
		error = handle_message(link, &message);
	peer_decoder_free(decoder);
	return error;
}

/*
 * Returns the link with the given id, or NULL if it was closed.
 */
peer_link_t *peer_link_find(peer_node_t *node, uint64_t id)
{
	peer_link_t *link;

	HASH_FIND(hh, node->links, &id, sizeof(id), link);
	return link;
}

/*
 * Handles all whole frames of the input; the rest of a partial frame is
 * awaited. A malformed or too large frame closes the link.
 */
static void on_read(struct bufferevent *bev, void *context)
{
	peer_link_t *link = context;
	peer_node_t *node = link->node;
	struct evbuffer *input = bufferevent_get_input(bev);
	uint64_t id = link->id;
	uint32_t length;
	int error;

	link->received_ms = peer_now_ms(node);
	while (evbuffer_get_length(input) >= FRAME_LENGTH_BYTES) {
		evbuffer_copyout(input, &length, sizeof(length));
		length = ntohl(length);
		if (length > node->options.message_max_bytes) {
			node->usage.malformed++;
			peer_link_close(link, "message too large");
			return;
		}
		if (evbuffer_get_length(input) < FRAME_LENGTH_BYTES + length)
			return;
		evbuffer_drain(input, FRAME_LENGTH_BYTES);
		node->usage.received_bytes += FRAME_LENGTH_BYTES + length;
		node->usage.received_messages++;
		error = handle_frame(
			link, (const char *)evbuffer_pullup(input, length),
			length);
		/* A handler may have closed the link. */
		if (!peer_link_find(node, id))
			return;
		if (error != PEER_OK) {
			node->usage.malformed++;
			peer_link_close(link, peer_error_text(error));
			return;
		}
		evbuffer_drain(input, length);
	}
}

/*
 * Calls connection_refused() for an outgoing connection that failed before it
 * was established. An unreachable network or host and a timeout are left out,
 * because they don't tell whether the process at the address runs.
 */
static void report_refused(const peer_link_t *link, short what, int error)
{
	const peer_handler_t *handler = &link->node->handler;

	if (!link->outgoing || link->connected || !(what & BEV_EVENT_ERROR) ||
	    error == EHOSTUNREACH || error == ENETUNREACH ||
	    error == ETIMEDOUT || !handler->connection_refused)
		return;
	handler->connection_refused(handler->context, link->address);
}

/*
 * Handles the end of a connection attempt and the failure of a connection. When
 * the connection comes up, the output that waited for it is sent, so its
 * requests count as sent from then on.
 */
static void on_event(struct bufferevent *bev, short what, void *context)
{
	peer_link_t *link = context;
	request_t *request;
	request_t *next;
	int error = EVUTIL_SOCKET_ERROR();
	int on = 1;

	if (!(what & BEV_EVENT_CONNECTED)) {
		report_refused(link, what, error);
		peer_link_close(link, what & BEV_EVENT_EOF
					      ? "end of stream"
					      : "connection error");
		return;
	}
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
	link->connected = true;
	link->received_ms = peer_now_ms(link->node);
	HASH_ITER(hh, link->node->requests, request, next) {
		if (request->link == link)
			request->sent = true;
	}
}

/*
 * Creates a link for the connection fd, or for a connection that is still to be
 * opened if fd is -1. Returns NULL without memory.
 */
peer_link_t *peer_link_new(peer_node_t *node, evutil_socket_t fd)
{
	peer_link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->bev =
		bufferevent_socket_new(node->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!link->bev) {
		free(link);
		return NULL;
	}
	link->node = node;
	link->id = ++node->next_id;
	link->opened_ms = peer_now_ms(node);
	link->received_ms = link->opened_ms;
	link->sent_ms = link->opened_ms;
	HASH_ADD(hh, node->links, id, sizeof(link->id), link);
	node->usage.links++;
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	return link;
}

/*
 * Opens an outgoing link to address, "ip:port". Returns NULL if the address is
 * invalid, the connection can't be started, or without memory.
 */
static peer_link_t *link_open(peer_node_t *node, const char *address)
{
	struct sockaddr_storage socket_address;
	int length = sizeof(socket_address);
	peer_link_t *link;

	if (evutil_parse_sockaddr_port(
		    address, (struct sockaddr *)&socket_address, &length) != 0)
		return NULL;
	link = peer_link_new(node, -1);
	if (!link)
		return NULL;
	link->outgoing = true;
	snprintf(link->address, sizeof(link->address), "%s", address);
	HASH_ADD(by_address, node->links_by_address, address,
		 strlen(link->address), link);
	/* The hello and later messages stay in the output until the connection
	 * is up. */
	if (peer_link_send_hello(link) != PEER_OK ||
	    bufferevent_socket_connect(link->bev,
				       (struct sockaddr *)&socket_address,
				       length) != 0) {
		peer_link_retire(link);
		HASH_DEL(node->links, link);
		node->usage.links--;
		bufferevent_free(link->bev);
		free(link);
		return NULL;
	}
	return link;
}

/*
 * Returns the link for new messages to address, "ip:port", and opens it if
 * there is none. Returns NULL if the link can't be opened or the node is being
 * freed.
 */
peer_link_t *peer_link_get(peer_node_t *node, const char *address)
{
	peer_link_t *link;

	if (node->freeing)
		return NULL;
	HASH_FIND(by_address, node->links_by_address, address, strlen(address),
		  link);
	return link ? link : link_open(node, address);
}

/*
 * Checks an outgoing link at the time now. The link is closed if its connection
 * doesn't come up in time, if the peer doesn't answer an echo in time, or if
 * the link is idle or retired without requests. An echo is sent if messages
 * were written or requests are pending and the last echo is older than half of
 * the echo timeout.
 */
void peer_link_check(peer_link_t *link, clock_ms_t now)
{
	const peer_options_t *options = &link->node->options;
	peer_message_t echo = { .kind = PEER_MESSAGE_ECHO };
	clock_ms_t silent_since_ms;

	if (!link->connected) {
		if (now - link->opened_ms > options->connect_timeout_ms)
			peer_link_close(link, "connect timeout");
		return;
	}
	/* The echo timeout counts from the last received bytes if they came
	 * after the echo was sent: the peer was alive then. */
	silent_since_ms = link->received_ms > link->echo_ms ? link->received_ms
							    : link->echo_ms;
	if (link->echo_outstanding &&
	    now - silent_since_ms > options->echo_timeout_ms) {
		peer_link_close(link, "silent connection");
		return;
	}
	if (link->pending_requests == 0 &&
	    (link->retired || now - link->sent_ms > options->idle_ms)) {
		peer_link_close(link, "idle");
		return;
	}
	if (link->echo_outstanding ||
	    now - link->echo_ms < options->echo_timeout_ms / 2)
		return;
	if (!link->written_since_echo && link->pending_requests == 0)
		return;
	if (peer_link_write(link, &echo) != PEER_OK)
		return;
	link->echo_outstanding = true;
	link->written_since_echo = false;
	link->echo_ms = now;
}
