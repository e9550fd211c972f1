#ifndef HORNBEAMTACK_RELAY_H
#define HORNBEAMTACK_RELAY_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

/*
 * Decisions about relays: which proxies own the connections to a target when
 * there are fewer connections than proxies, how many each owner may hold, and
 * who borrows one next. The load that it answers: many proxies that each need a
 * connection to many targets for a short time.
 */

/* A proxy connects directly while its equal share of a target's connections is
 * at least this. */
#define RELAY_DIRECT_SHARE 1
/* Connections of a target that belong to no owner. They serve surveys and
 * probes. */
#define RELAY_SPARE_CONNECTIONS 2
/* Owners of a target in a failure domain: the first one, and a backup that
 * holds a few connections of the reserve while the first one is unreachable or
 * has no room. */
#define RELAY_OWNERS 2
/* After a change of owners, an owner holds no more connections than before for
 * this time, but for a few of the reserve. Loans of the earlier owner may last
 * for 3 s, and the targets count its connections for up to 3 s when its
 * instance is lost then. */
#define RELAY_SETTLE_MS 6000

/* A proxy that may own connections. */
typedef struct {
	const char *name;
	/* Part of the targets that this proxy owns, relative to the others; 0
	 * counts as 1. */
	uint32_t weight;
} relay_candidate_t;

bool relay_is_needed(uint32_t connections_max, uint32_t proxies);
size_t relay_owners_find(const relay_candidate_t *candidates, size_t count,
			 const char *target, size_t owners[RELAY_OWNERS]);
/* How many connections to a target an owner may hold. */
typedef struct {
	uint32_t connections;
	/* Those of them that it may hold at once after a change of owners. */
	uint32_t at_once;
} relay_part_t;

relay_part_t relay_part(uint32_t connections_max, uint32_t domains,
			size_t rank);

/* The part of a proxy in the connections to one target, over time. */
typedef struct {
	relay_part_t part;
	/* The limit before the last change of the part, and its time. */
	uint32_t earlier;
	clock_ms_t changed_ms;
} relay_share_t;

void relay_share_set(relay_share_t *share, relay_part_t part,
		     clock_ms_t now_ms);
uint32_t relay_share_limit(const relay_share_t *share, clock_ms_t now_ms);

/* Longest wait for a loan, as a part of the operation's latency objective, and
 * the wait of an operation that has none or has missed it. The rest of the
 * objective is needed for its statements. */
#define RELAY_WAIT_RATIO 0.5
#define RELAY_WAIT_DEFAULT_MS 100
/* Duration of a loan that is assumed before one was measured. */
#define RELAY_LOAN_INITIAL_MS 20.0

/* What decides whether a borrower may wait for a connection. */
typedef struct {
	/* Borrowers with an earlier deadline. */
	uint32_t ahead;
	/* Connections that are lent in turn. */
	uint32_t connections;
	/* Smoothed duration of a loan; 0: not measured. */
	double loan_ms;
	/* How long the borrower can wait. */
	clock_ms_t wait_ms;
} relay_queue_view_t;

clock_ms_t relay_wait_ms(clock_ms_t objective_ms, clock_ms_t elapsed_ms,
			 clock_ms_t timeout_ms);
bool relay_may_wait(const relay_queue_view_t *view);

/*
 * Frames of a link: a kind and a length of 3 bytes, high byte first, then the
 * payload. Frames other than RELAY_FRAME_DATA have a JSON object, of which
 * unknown fields are ignored.
 */
#define RELAY_VERSION 1
#define RELAY_HEADER_BYTES 4
#define RELAY_FIELDS_MAX_BYTES 1024
#define RELAY_DATA_MAX_BYTES 16384
#define RELAY_NAME_SIZE 128

typedef enum {
	RELAY_FRAME_BORROW = 1,
	RELAY_FRAME_LENT = 2,
	RELAY_FRAME_REFUSED = 3,
	RELAY_FRAME_DATA = 4,
	RELAY_FRAME_RETURN = 5,
} relay_frame_kind_t;

typedef enum {
	RELAY_REFUSAL_NO_ROOM,
	RELAY_REFUSAL_TARGET_FAILED,
	RELAY_REFUSAL_LEAVING,
	/* Not a refusal: the answer to a request for the target's state. */
	RELAY_REFUSAL_STATE,
	RELAY_REFUSAL_COUNT,
} relay_refusal_t;

typedef struct {
	char service[RELAY_NAME_SIZE];
	char target[RELAY_NAME_SIZE];
	char tenant[RELAY_NAME_SIZE];
	clock_ms_t wait_ms;
	/* Only the state of the target is asked for. */
	bool state_only;
} relay_borrow_t;

/* What an owner says of a target, in RELAY_FRAME_LENT and
 * RELAY_FRAME_REFUSED. */
typedef struct {
	relay_refusal_t reason;
	/* Borrowers that wait. */
	uint32_t waiting;
	/* Time since the target last answered the owner; -1: it never did. */
	clock_ms_t answered_ago_ms;
} relay_news_t;

typedef struct {
	relay_frame_kind_t kind;
	union {
		relay_borrow_t borrow;
		relay_news_t news;
		/* RELAY_FRAME_RETURN: the connection has session values or
		 * prepared statements. */
		bool has_values;
	} u;
} relay_frame_t;

enum {
	RELAY_OK = 0,
	/* The frame is not complete yet. */
	RELAY_ERROR_INCOMPLETE = -1,
	RELAY_ERROR_MALFORMED = -2,
	RELAY_ERROR_VERSION = -3,
	RELAY_ERROR_MEMORY = -4,
};

int relay_frame_read(struct evbuffer *input, relay_frame_t *frame,
		     struct evbuffer *data);
int relay_borrow_write(struct evbuffer *output, const relay_borrow_t *borrow);
int relay_news_write(struct evbuffer *output, relay_frame_kind_t kind,
		     const relay_news_t *news);
int relay_return_write(struct evbuffer *output, bool has_values);
int relay_data_write(struct evbuffer *output, struct evbuffer *data);
const char *relay_refusal_name(relay_refusal_t refusal);
const char *relay_error_text(int error);

#endif
