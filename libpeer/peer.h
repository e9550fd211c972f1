#ifndef HORNBEAMTACK_PEER_H
#define HORNBEAMTACK_PEER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libgroup/group.h"
#include "libmembership/membership.h"

/* Version of the protocol. A hello with another version closes the connection.
 */
#define PEER_VERSION 1
/* Largest number of items in a list of a message. */
#define PEER_ITEMS_MAX 4096
/* "ip:port" and the terminating zero. */
#define PEER_ADDRESS_SIZE 64

/* Kinds of messages. The numbers are part of the protocol. */
typedef enum {
	/* First message on a connection, sent by both sides. */
	PEER_MESSAGE_HELLO = 1,
	/* Answered by an echo reply, to detect a failed connection. */
	PEER_MESSAGE_ECHO = 2,
	PEER_MESSAGE_ECHO_REPLY = 3,
	PEER_MESSAGE_MEMBERSHIP = 4,
	PEER_MESSAGE_STATEMENT = 5,
	PEER_MESSAGE_STATEMENT_REPLY = 6,
	PEER_MESSAGE_CONFIGURATION_FETCH = 7,
	/* The reply to a fetch, or a request that pushes one change. */
	PEER_MESSAGE_CONFIGURATION_CHANGES = 8,
	PEER_MESSAGE_CONFIGURATION_APPLIED = 9,
	PEER_MESSAGE_LEAVING = 10,
} peer_message_kind_t;

typedef struct {
	uint32_t version;
	const char *name;
	uint64_t incarnation;
} peer_hello_t;

typedef enum {
	PEER_OPERATION_READ = 1,
	PEER_OPERATION_WRITE = 2,
	/* Asks for the outcome of the write with an idempotency key. */
	PEER_OPERATION_OUTCOME = 3,
	PEER_OPERATION_BEGIN = 4,
	/* A statement in a transaction. */
	PEER_OPERATION_RUN = 5,
	PEER_OPERATION_COMMIT = 6,
	PEER_OPERATION_ROLLBACK = 7,
} peer_operation_t;

/* A statement that is forwarded to the owner of a target. Texts are never NULL.
 */
typedef struct {
	peer_operation_t operation;
	const char *service;
	const char *target;
	const char *statement;
	/* Idempotency key; empty if there is none. */
	const char *key;
	uint64_t fingerprint;
	const char *transaction;
	/* Latest log point that the session has seen. */
	group_point_t seen;
	clock_ms_t max_age_ms;
	/* Time left until the deadline. The deadline itself isn't sent, because
	 * clocks of two instances are not compared. */
	clock_ms_t remaining_ms;
	const char *traceparent;
} peer_statement_t;

typedef struct {
	uint32_t outcome; /* retry_outcome_t: 0 done, 1 not run, 2 unknown */
	const char *reason;
	/* Detail for the caller, for example the target's error message. */
	const char *message;
	/* Another target or a later attempt may succeed. */
	bool again;
	const char *rows_json;
	group_point_t point;
	/* The point is that of an acknowledged write and is added to the
	 * session token. */
	bool acknowledged;
	bool primary;
	clock_ms_t age_ms;
	const char *target;
	const char *transaction;
	/* Name of the group's primary as the owner knows it; may be empty. */
	const char *hint;
	/* Refused because of load; another attempt takes from the retry budget.
	 */
	bool overload;
} peer_statement_reply_t;

/* A change of a service's configuration; the fields are those of
 * config_change_t. */
typedef struct {
	uint64_t revision;
	const char *service;
	const char *text;
	const char *writer;
	const char *operator_name;
} peer_item_t;

typedef struct {
	uint64_t after_revision;
} peer_configuration_fetch_t;

typedef struct {
	/* The message has all changes after the fetched revision up to this
	 * one; 0 for a single pushed change. */
	uint64_t complete_revision;
	uint32_t item_count;
	peer_item_t *items;
} peer_configuration_changes_t;

typedef struct {
	uint64_t revision;
} peer_configuration_applied_t;

typedef struct {
	const char *name;
} peer_name_t;

/* All instances that are leaving according to the platform's instance list. */
typedef struct {
	uint32_t name_count;
	peer_name_t *names;
} peer_leaving_t;

typedef struct {
	peer_message_kind_t kind;
	/* 0 for a message that is neither a request nor a reply. */
	uint64_t request_id;
	union {
		peer_hello_t hello;
		membership_message_t membership;
		peer_statement_t statement;
		peer_statement_reply_t reply;
		peer_configuration_fetch_t fetch;
		peer_configuration_changes_t changes;
		peer_configuration_applied_t applied;
		peer_leaving_t leaving;
	} u;
} peer_message_t;

enum {
	PEER_OK = 0,
	PEER_ERROR_MEMORY = -1,
	PEER_ERROR_LISTEN = -2,
	/* The request was not sent, so the peer can't have received it. */
	PEER_ERROR_NOT_SENT = -3,
	/* The request was sent, and the connection failed before the reply. */
	PEER_ERROR_LOST = -4,
	PEER_ERROR_TIMEOUT = -5,
	PEER_ERROR_MALFORMED = -6,
	PEER_ERROR_TOO_LARGE = -7,
	PEER_ERROR_CLOSED = -8,
};

/* Codec. Texts and lists of a decoded message live until peer_decoder_free().
 */
typedef struct peer_decoder peer_decoder_t;

/* *bytes receives the frame without its length; the caller frees it. */
int peer_message_encode(const peer_message_t *message, char **bytes,
			size_t *count);
peer_decoder_t *peer_decoder_new(void);
void peer_decoder_free(peer_decoder_t *decoder);
int peer_message_decode(peer_decoder_t *decoder, const char *bytes,
			size_t count, peer_message_t *message);

typedef struct peer_node peer_node_t;
/* A connection to a peer. A reply is sent over the link of its request. */
typedef struct peer_link peer_link_t;

typedef struct {
	const char *listen_address;
	uint16_t listen_port;
	const char *name;
	uint64_t incarnation;
	uint32_t message_max_bytes;
	clock_ms_t connect_timeout_ms;
	/* A connection on which an echo is not answered within this time is
	 * closed. */
	clock_ms_t echo_timeout_ms;
	/* An outgoing connection on which nothing was sent for this time is
	 * closed if it has no pending request. */
	clock_ms_t idle_ms;
} peer_options_t;

typedef struct {
	/* link_id is the argument for peer_node_reply(). */
	void (*message)(void *context, uint64_t link_id,
			const peer_message_t *message);
	/* An event of a connection, for the log; may be NULL. peer is the
	 * address of an outgoing and the name of an incoming connection. */
	void (*log)(void *context, const char *event, const char *peer,
		    const char *detail);
	/* The address refused a connection; may be NULL. */
	void (*connection_refused)(void *context, const char *address);
	void *context;
} peer_handler_t;

typedef struct {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_messages;
	uint64_t received_messages;
	uint64_t malformed;
	uint32_t links;
} peer_usage_t;

typedef void (*peer_done_t)(void *context, int error,
			    const peer_message_t *reply);

peer_node_t *peer_node_new(struct event_base *base, const clock_source_t *clock,
			   const peer_options_t *options,
			   const peer_handler_t *handler);
void peer_node_free(peer_node_t *node);
int peer_node_send(peer_node_t *node, const char *address,
		   const peer_message_t *message);
/* If PEER_OK is returned, done is called exactly once, later. */
int peer_node_request(peer_node_t *node, const char *address,
		      const peer_message_t *message, clock_ms_t timeout_ms,
		      peer_done_t done, void *context);
/* The reply may be lost without notice; the requester has a timeout. */
int peer_node_reply(peer_node_t *node, uint64_t link_id, uint64_t request_id,
		    const peer_message_t *message);
peer_usage_t peer_node_usage(const peer_node_t *node);
const char *peer_error_text(int error);

#endif
