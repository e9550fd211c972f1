#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* A link that can't send fast enough takes no more than this many of the
 * largest messages; further ones are refused as not sent. */
#define OUTPUT_MESSAGES_MAX 8

/*
 * Tells the handler of an event of a connection.
 */
void peer_log(const peer_node_t *node, const char *event, const char *peer,
	      const char *detail)
{
	if (node->handler.log)
		node->handler.log(node->handler.context, event, peer, detail);
}

/*
 * Returns the time on the node's clock.
 */
clock_ms_t peer_now_ms(const peer_node_t *node)
{
	return clock_source_now(node->clock);
}

/*
 * Lets an outgoing link take no new messages.
 */
void peer_link_retire(peer_link_t *link)
{
	if (link->outgoing && !link->retired)
		HASH_DELETE(by_address, link->node->links_by_address, link);
	link->retired = true;
}

/*
 * Closes a link, ends its requests and frees it.
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
 * Writes a message to a link. Returns PEER_OK, PEER_ERROR_TOO_LARGE,
 * PEER_ERROR_NOT_SENT if too much waits to be sent, or PEER_ERROR_MEMORY.
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
 * Writes the hello, which is the first message of a link.
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

static void handle_reply(peer_link_t *link, const peer_message_t *message)
{
	request_t *request;

	HASH_FIND(hh, link->node->requests, &message->request_id,
		  sizeof(message->request_id), request);
	/* The answer of a request that ended is dropped: ids are not reused, so
	 * it can never be taken for the answer of another request. Two nodes
	 * use the same ids, so an answer counts only on the link of its
	 * request. */
	if (request && request->link == link)
		peer_request_finish(request, PEER_OK, message);
}

/*
 * Handles one decoded message. Returns PEER_OK, or an error for which the link
 * must be closed.
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
		/* An answer to a fetch on an outgoing link; a pushed change,
		 * which is a request, on an incoming one. */
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
 * Returns the link with an id, or NULL.
 */
peer_link_t *peer_link_find(peer_node_t *node, uint64_t id)
{
	peer_link_t *link;

	HASH_FIND(hh, node->links, &id, sizeof(id), link);
	return link;
}

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
 * Reports an address that refused a connection. An unreachable network or host
 * says nothing about the process there.
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
 * Makes a link of a connection, or of none yet for fd -1. Returns NULL without
 * memory.
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
	/* The hello and what follows wait in the output until it is up. */
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
 * Returns the open link to an address, which is opened if there is none, or
 * NULL if that is not possible.
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
 * Checks an outgoing link: closes one that is not up in time, that is silent or
 * that is not used, and sends an echo where one is due.
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
	/* The peer may have sent other messages between the echo and the start
	 * of its silence. */
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
