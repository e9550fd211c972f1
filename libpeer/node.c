#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define LENGTH_BYTES 4
#define TICK_MS 50
/* A link that can't send fast enough takes no more than this many of the
 * largest messages; further ones are refused as not sent. */
#define OUTPUT_MESSAGES_MAX 8

typedef struct request request_t;

struct peer_link {
	UT_hash_handle hh;
	/* In the table of the links that take new messages, by address. */
	UT_hash_handle by_address;
	uint64_t id;
	peer_node_t *node;
	struct bufferevent *bev;
	bool outgoing;
	bool connected;
	bool greeted;
	/* Takes no new messages; closed when its requests have ended. */
	bool retired;
	bool echo_outstanding;
	bool written_since_echo;
	char address[PEER_ADDRESS_SIZE];
	char name[MEMBERSHIP_NAME_SIZE];
	clock_ms_t opened_ms;
	clock_ms_t received_ms;
	clock_ms_t sent_ms;
	clock_ms_t echo_ms;
	uint32_t pending;
};

struct request {
	UT_hash_handle hh;
	uint64_t id;
	peer_node_t *node;
	peer_link_t *link;
	/* The connection was up when the request was written or later. */
	bool sent;
	int error;
	struct event *timer;
	peer_done_t done;
	void *context;
};

struct peer_node {
	struct event_base *base;
	const clock_source_t *clock;
	peer_options_t options;
	peer_handler_t handler;
	char name[MEMBERSHIP_NAME_SIZE];
	struct evconnlistener *listener;
	struct event *tick;
	peer_link_t *links;
	/* Outgoing links that are not retired. At full size there are
	 * thousands of links, and one is looked up for each message. */
	peer_link_t *open;
	request_t *requests;
	uint64_t next_id;
	peer_usage_t usage;
	/* Opens no more connections. */
	bool freeing;
};

static void note(const peer_node_t *node, const char *event, const char *peer,
		 const char *detail)
{
	if (node->handler.note)
		node->handler.note(node->handler.context, event, peer, detail);
}

static clock_ms_t now_ms(const peer_node_t *node)
{
	return clock_source_now(node->clock);
}

static void request_finish(request_t *request, int error,
			   const peer_message_t *reply)
{
	peer_done_t done = request->done;
	void *context = request->context;

	HASH_DEL(request->node->requests, request);
	if (request->link)
		request->link->pending--;
	event_free(request->timer);
	free(request);
	done(context, error, reply);
}

/*
 * Ends all requests of a link. A request on a connection that never came up was
 * not sent; the others may have reached the peer.
 */
static void fail_requests(peer_link_t *link)
{
	request_t *request;
	request_t *next;

	HASH_ITER(hh, link->node->requests, request, next) {
		if (request->link != link)
			continue;
		request->link = NULL;
		link->pending--;
		request->error = request->sent || link->connected
					 ? PEER_ERROR_LOST
					 : PEER_ERROR_NOT_SENT;
		/* Finished from the timer, never from inside a call. */
		event_active(request->timer, EV_TIMEOUT, 0);
	}
}

/*
 * Lets an outgoing link take no new messages.
 */
static void link_retire(peer_link_t *link)
{
	if (link->outgoing && !link->retired)
		HASH_DELETE(by_address, link->node->open, link);
	link->retired = true;
}

static void link_close(peer_link_t *link, const char *reason)
{
	peer_node_t *node = link->node;

	note(node, "peer-closed", link->outgoing ? link->address : link->name,
	     reason);
	link_retire(link);
	HASH_DEL(node->links, link);
	node->usage.links--;
	fail_requests(link);
	bufferevent_free(link->bev);
	free(link);
}

static int link_write(peer_link_t *link, const peer_message_t *message)
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
	node->usage.sent_bytes += LENGTH_BYTES + count;
	node->usage.sent_messages++;
	link->sent_ms = now_ms(node);
	link->written_since_echo = true;
	return error;
}

static int send_hello(peer_link_t *link)
{
	peer_message_t hello = {
		.kind = PEER_MESSAGE_HELLO,
		.u.hello = { .version = PEER_VERSION,
			     .name = link->node->name,
			     .incarnation = link->node->options.incarnation },
	};

	return link_write(link, &hello);
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
		request_finish(request, PEER_OK, message);
}

/*
 * Handles one decoded message. Returns PEER_OK, or an error for which the link
 * must be closed.
 */
static int handle_message(peer_link_t *link, const peer_message_t *message)
{
	peer_message_t echo = { .kind = PEER_MESSAGE_ECHO_REPLY };

	if (!link->greeted && message->kind != PEER_MESSAGE_HELLO)
		return PEER_ERROR_MALFORMED;
	switch (message->kind) {
	case PEER_MESSAGE_HELLO:
		if (message->u.hello.version != PEER_VERSION)
			return PEER_ERROR_MALFORMED;
		link->greeted = true;
		snprintf(link->name, sizeof(link->name), "%s",
			 message->u.hello.name);
		return PEER_OK;
	case PEER_MESSAGE_ECHO:
		return link_write(link, &echo);
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

static peer_link_t *find_link(peer_node_t *node, uint64_t id)
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

	link->received_ms = now_ms(node);
	while (evbuffer_get_length(input) >= LENGTH_BYTES) {
		evbuffer_copyout(input, &length, sizeof(length));
		length = ntohl(length);
		if (length > node->options.message_max_bytes) {
			node->usage.malformed++;
			link_close(link, "message too large");
			return;
		}
		if (evbuffer_get_length(input) < LENGTH_BYTES + length)
			return;
		evbuffer_drain(input, LENGTH_BYTES);
		node->usage.received_bytes += LENGTH_BYTES + length;
		node->usage.received_messages++;
		error = handle_frame(
			link, (const char *)evbuffer_pullup(input, length),
			length);
		/* A handler may have closed the link. */
		if (!find_link(node, id))
			return;
		if (error != PEER_OK) {
			node->usage.malformed++;
			link_close(link, peer_error_text(error));
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
	    error == ETIMEDOUT || !handler->refused)
		return;
	handler->refused(handler->context, link->address);
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
		link_close(link, what & BEV_EVENT_EOF ? "end of stream"
						      : "connection error");
		return;
	}
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
	link->connected = true;
	link->received_ms = now_ms(link->node);
	HASH_ITER(hh, link->node->requests, request, next) {
		if (request->link == link)
			request->sent = true;
	}
}

static peer_link_t *link_new(peer_node_t *node, evutil_socket_t fd)
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
	link->opened_ms = now_ms(node);
	link->received_ms = link->opened_ms;
	link->sent_ms = link->opened_ms;
	HASH_ADD(hh, node->links, id, sizeof(link->id), link);
	node->usage.links++;
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	return link;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	peer_link_t *link = link_new(context, fd);
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
	if (send_hello(link) != PEER_OK)
		link_close(link, "hello not sent");
}

static peer_link_t *link_open(peer_node_t *node, const char *address)
{
	struct sockaddr_storage socket_address;
	int length = sizeof(socket_address);
	peer_link_t *link;

	if (evutil_parse_sockaddr_port(
		    address, (struct sockaddr *)&socket_address, &length) != 0)
		return NULL;
	link = link_new(node, -1);
	if (!link)
		return NULL;
	link->outgoing = true;
	snprintf(link->address, sizeof(link->address), "%s", address);
	HASH_ADD(by_address, node->open, address, strlen(link->address), link);
	/* The hello and what follows wait in the output until it is up. */
	if (send_hello(link) != PEER_OK ||
	    bufferevent_socket_connect(link->bev,
				       (struct sockaddr *)&socket_address,
				       length) != 0) {
		link_retire(link);
		HASH_DEL(node->links, link);
		node->usage.links--;
		bufferevent_free(link->bev);
		free(link);
		return NULL;
	}
	return link;
}

static peer_link_t *get_link(peer_node_t *node, const char *address)
{
	peer_link_t *link;

	if (node->freeing)
		return NULL;
	HASH_FIND(by_address, node->open, address, strlen(address), link);
	return link ? link : link_open(node, address);
}

static void check_outgoing(peer_link_t *link, clock_ms_t now)
{
	const peer_options_t *options = &link->node->options;
	peer_message_t echo = { .kind = PEER_MESSAGE_ECHO };
	clock_ms_t quiet_since_ms;

	if (!link->connected) {
		if (now - link->opened_ms > options->connect_timeout_ms)
			link_close(link, "connect timeout");
		return;
	}
	/* The peer may have sent other messages between the echo and the start
	 * of its silence. */
	quiet_since_ms = link->received_ms > link->echo_ms ? link->received_ms
							   : link->echo_ms;
	if (link->echo_outstanding &&
	    now - quiet_since_ms > options->silence_ms) {
		link_close(link, "silent connection");
		return;
	}
	if (link->pending == 0 &&
	    (link->retired || now - link->sent_ms > options->idle_ms)) {
		link_close(link, "idle");
		return;
	}
	if (link->echo_outstanding ||
	    now - link->echo_ms < options->silence_ms / 2)
		return;
	if (!link->written_since_echo && link->pending == 0)
		return;
	if (link_write(link, &echo) != PEER_OK)
		return;
	link->echo_outstanding = true;
	link->written_since_echo = false;
	link->echo_ms = now;
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	peer_node_t *node = context;
	clock_ms_t now = now_ms(node);
	peer_link_t *link;
	peer_link_t *next;

	(void)fd;
	(void)what;
	HASH_ITER(hh, node->links, link, next) {
		if (link->outgoing)
			check_outgoing(link, now);
		else if (now - link->received_ms > 4 * node->options.idle_ms)
			link_close(link, "idle");
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
 * Creates a node that listens for peers and opens connections to them as
 * messages are sent. Durations of the options are in ms. Returns NULL if the
 * address can't be listened on, or without memory.
 */
peer_node_t *peer_node_new(struct event_base *base, const clock_source_t *clock,
			   const peer_options_t *options,
			   const peer_handler_t *handler)
{
	struct timeval interval = { .tv_usec = TICK_MS * 1000L };
	peer_node_t *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	node->base = base;
	node->clock = clock;
	node->options = *options;
	node->handler = *handler;
	snprintf(node->name, sizeof(node->name), "%s", options->name);
	node->tick = event_new(base, -1, EV_PERSIST, on_tick, node);
	if (!node->tick || event_add(node->tick, &interval) != 0 ||
	    start_listener(node) != PEER_OK) {
		peer_node_free(node);
		return NULL;
	}
	return node;
}

/*
 * Closes all connections and frees the node. Requests that are open end with
 * PEER_ERROR_CLOSED before this function returns. A request that is made from
 * such a callback is refused as not sent.
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
		request_finish(request, PEER_ERROR_CLOSED, NULL);
	}
	HASH_ITER(hh, node->links, link, next_link) {
		link_close(link, "node freed");
	}
	if (node->listener)
		evconnlistener_free(node->listener);
	if (node->tick)
		event_free(node->tick);
	free(node);
}

/*
 * Sends a message that has no answer to the peer at address, "ip:port". It may
 * be lost without notice. Returns PEER_OK, PEER_ERROR_NOT_SENT if no connection
 * can be opened, PEER_ERROR_TOO_LARGE or PEER_ERROR_MEMORY.
 */
int peer_node_send(peer_node_t *node, const char *address,
		   const peer_message_t *message)
{
	peer_link_t *link = get_link(node, address);

	return link ? link_write(link, message) : PEER_ERROR_NOT_SENT;
}

/*
 * Ends a request whose time is over or whose link was closed. After a timeout
 * the link takes no new requests, since it may be silent for good. A link that
 * is not connected yet is closed.
 */
static void on_request_timer(evutil_socket_t fd, short what, void *context)
{
	request_t *request = context;
	peer_link_t *link = request->link;

	(void)fd;
	(void)what;
	if (request->error == PEER_OK && request->sent) {
		request->error = PEER_ERROR_TIMEOUT;
		link_retire(link);
	} else if (request->error == PEER_OK) {
		request->error = PEER_ERROR_NOT_SENT;
		request->link = NULL;
		link->pending--;
		/* Its bytes must not leave when the connection comes up later.
		 */
		link_close(link, "not connected in time");
	}
	request_finish(request, request->error, NULL);
}

/*
 * Sends a request to the peer at address, "ip:port", and waits up to timeout_ms
 * for its answer. done gets PEER_OK and the answer, which lives during the
 * callback, or PEER_ERROR_NOT_SENT, PEER_ERROR_LOST, PEER_ERROR_TIMEOUT or
 * PEER_ERROR_CLOSED. It is called exactly once, and never from inside this
 * call, unless an error is returned: PEER_ERROR_NOT_SENT, PEER_ERROR_TOO_LARGE
 * or PEER_ERROR_MEMORY.
 */
int peer_node_request(peer_node_t *node, const char *address,
		      const peer_message_t *message, clock_ms_t timeout_ms,
		      peer_done_t done, void *context)
{
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	peer_message_t copy = *message;
	peer_link_t *link = get_link(node, address);
	request_t *request;
	int error;

	if (!link)
		return PEER_ERROR_NOT_SENT;
	request = calloc(1, sizeof(*request));
	if (!request)
		return PEER_ERROR_MEMORY;
	request->node = node;
	request->id = ++node->next_id;
	request->done = done;
	request->context = context;
	request->timer = evtimer_new(node->base, on_request_timer, request);
	copy.request_id = request->id;
	error = request->timer ? link_write(link, &copy) : PEER_ERROR_MEMORY;
	if (error != PEER_OK) {
		if (request->timer)
			event_free(request->timer);
		free(request);
		return error;
	}
	evtimer_add(request->timer, &timeout);
	request->link = link;
	request->sent = link->connected;
	link->pending++;
	HASH_ADD(hh, node->requests, id, sizeof(request->id), request);
	return PEER_OK;
}

/*
 * Answers a request over the link that it came in on. Returns PEER_OK,
 * PEER_ERROR_LOST if the link is gone, or an error of peer_node_send().
 */
int peer_node_reply(peer_node_t *node, uint64_t link_id, uint64_t request_id,
		    const peer_message_t *message)
{
	peer_link_t *link = find_link(node, link_id);
	peer_message_t copy = *message;

	if (!link)
		return PEER_ERROR_LOST;
	copy.request_id = request_id;
	return link_write(link, &copy);
}

/*
 * Returns the counters of the node since its start.
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
