#ifndef HORNBEAMTACK_PEER_INTERNAL_H
#define HORNBEAMTACK_PEER_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <uthash.h>

#include "peer.h"

/* Bytes of the length that precedes each message on a connection. */
#define FRAME_LENGTH_BYTES 4

typedef struct request request_t;

struct peer_link {
	UT_hash_handle hh;
	/* Entry in links_by_address of the node. */
	UT_hash_handle by_address;
	uint64_t id;
	peer_node_t *node;
	struct bufferevent *bev;
	bool outgoing;
	bool connected;
	bool hello_received;
	/* The link takes no new messages and is closed when its requests have
	 * ended. */
	bool retired;
	/* An echo was sent and not answered yet. */
	bool echo_outstanding;
	bool written_since_echo;
	/* "ip:port" of an outgoing link; empty for an incoming one. */
	char address[PEER_ADDRESS_SIZE];
	/* Name of the peer, from its hello. */
	char name[MEMBERSHIP_NAME_SIZE];
	clock_ms_t opened_ms;
	/* Times of the last bytes received, the last message written and the
	 * last echo sent. */
	clock_ms_t received_ms;
	clock_ms_t sent_ms;
	clock_ms_t echo_ms;
	uint32_t pending_requests;
};

struct request {
	UT_hash_handle hh;
	uint64_t id;
	peer_node_t *node;
	/* NULL after the link was closed. */
	peer_link_t *link;
	/* The connection was up when the request was written or came up
	 * afterwards, so the peer may have received the request. */
	bool sent;
	/* PEER_ERROR_LOST or PEER_ERROR_NOT_SENT after the link was closed,
	 * else PEER_OK. */
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
	struct event *check_timer;
	peer_link_t *links;
	/* Outgoing links that are not retired. The table exists because a node
	 * has thousands of links at full size and looks one up for each
	 * message. */
	peer_link_t *links_by_address;
	request_t *requests;
	uint64_t next_id;
	peer_usage_t usage;
	/* peer_node_free() has begun: no more links are opened. */
	bool freeing;
};

/* link.c */
void peer_log(const peer_node_t *node, const char *event, const char *peer,
	      const char *detail);
clock_ms_t peer_now_ms(const peer_node_t *node);
peer_link_t *peer_link_new(peer_node_t *node, evutil_socket_t fd);
peer_link_t *peer_link_get(peer_node_t *node, const char *address);
peer_link_t *peer_link_find(peer_node_t *node, uint64_t id);
int peer_link_send_hello(peer_link_t *link);
int peer_link_write(peer_link_t *link, const peer_message_t *message);
void peer_link_retire(peer_link_t *link);
void peer_link_close(peer_link_t *link, const char *reason);
void peer_link_check(peer_link_t *link, clock_ms_t now);

/* request.c */
void peer_request_finish(request_t *request, int error,
			 const peer_message_t *reply);
void peer_request_fail_all(peer_link_t *link);

#endif
