#ifndef HORNBEAMTACK_TESTS_SOAK_H
#define HORNBEAMTACK_TESTS_SOAK_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "libclock/clock.h"
#include "libstatement/statement.h"
#include "tests/check.h"
#include "tests/platform_standin.h"

/*
 * Soak test of the gateway. It runs real gateway processes against stand-ins of
 * the platform and of one group of targets, and injects random faults into
 * processes, targets, the store and the connections between them. The callers
 * check every answer, so that the test finds stale reads, lost or repeated
 * writes and callers that are no longer served after the faults.
 */
#define SOAK_TARGETS STANDIN_TARGETS
#define SOAK_GATEWAYS 3
#define SOAK_CALLERS 12

typedef struct soak soak_t;

/*
 * A link is a TCP forwarder in the test's process. It listens on a port of its
 * own, connects to an upstream port for each accepted connection, and can
 * delay, withhold or reset what it forwards.
 */

typedef struct link soak_link_t;

typedef enum {
	/* Bytes are forwarded in both directions, after the link's delay. */
	LINK_OPEN,
	/* Bytes are withheld: those to the upstream, those from it, or all. */
	LINK_NO_REQUESTS,
	LINK_NO_ANSWERS,
	LINK_SILENT,
	/* Established connections are forwarded, new ones are silent: a path
	 * that only some peers still have. */
	LINK_ESTABLISHED_ONLY,
} link_state_t;

/* Forwards connections from port to upstream_port, both on loopback. */
soak_link_t *soak_link_new(struct event_base *base, uint16_t port,
			   uint16_t upstream_port);
void soak_link_free(soak_link_t *link);
/* Resets each connection with a probability of percent. */
void soak_link_reset(soak_link_t *link, check_random_t *random,
		     uint32_t percent);
/* Withholds all further bytes of each established connection with a
 * probability of percent. New connections are not affected. */
void soak_link_silence(soak_link_t *link, check_random_t *random,
		       uint32_t percent);
/* Sets the state of the link, for established and new connections. */
void soak_link_set(soak_link_t *link, link_state_t state);
/* Delays bytes in both directions. */
void soak_link_delay(soak_link_t *link, uint32_t delay_ms);

/* The group of targets, which run in the test's process. */

/* An entry of a target's log: a write to an item, or the start of a term. Each
 * caller writes only its own item, with a sequence number that rises with each
 * write. */
typedef struct {
	uint64_t term;
	/* Index of the caller, or -1 for the start of a term. */
	int32_t item;
	uint32_t sequence;
} soak_entry_t;

typedef struct soak_group soak_group_t;

/* Starts the targets on the ports from first_port on. order_port receives the
 * platform's orders to promote a target. seed determines which statements are
 * followed by bytes that answer nothing. */
soak_group_t *soak_group_new(soak_t *soak, struct event_base *base,
			     uint16_t first_port, uint16_t order_port,
			     uint64_t seed);
void soak_group_free(soak_group_t *group);
/* Closes the listening socket and all connections of a target, and listens
 * again. */
void soak_group_stop(soak_group_t *group, uint32_t index);
void soak_group_start(soak_group_t *group, uint32_t index);
/* While paused is true, a replica receives no log entries. */
void soak_group_pause_replication(soak_group_t *group, uint32_t index,
				  bool paused);
/* Returns the index of the primary with the highest term, or 0 without one. */
uint32_t soak_group_primary(const soak_group_t *group);
/* Returns whether the log of the current primary contains the write. */
bool soak_group_has_write(const soak_group_t *group, uint32_t item,
			  uint32_t sequence);
/* Returns whether the write is the last one of its item that a replaced primary
 * committed. */
bool soak_group_is_stale(const soak_group_t *group, uint32_t item,
			 uint32_t sequence);

/*
 * A caller opens sessions with random gateways, runs random operations and
 * checks their answers.
 */

typedef struct soak_caller soak_caller_t;

/* seed and index determine the operations. */
soak_caller_t *soak_caller_new(soak_t *soak, struct event_base *base,
			       uint32_t index, uint64_t seed);
void soak_caller_free(soak_caller_t *caller);
/* Tells the caller that after a promotion the new primary's last write to the
 * caller's item is the one with this sequence number. Later acknowledged writes
 * are rolled back. */
void soak_caller_rolled_back(soak_caller_t *caller, uint32_t sequence);
/* Returns the time of the caller's last successful operation, on the clock of
 * soak_now(). */
clock_ms_t soak_caller_served_ms(const soak_caller_t *caller);
/* Checks, at the end, that no write whose error guarantees that it had no
 * effect is in the primary's log. */
void soak_caller_check(soak_caller_t *caller);

/* Crowds of clients that do not behave, one after the other. */

typedef struct crowd soak_crowd_t;

soak_crowd_t *soak_crowd_new(soak_t *soak, struct event_base *base,
			     uint64_t seed);
void soak_crowd_free(soak_crowd_t *crowd);

/* The test as a whole. */

/* Returns the monotonic time. */
clock_ms_t soak_now(void);
soak_group_t *soak_group(soak_t *soak);
/* Returns the port on which a gateway listens for callers. */
uint16_t soak_caller_port(const soak_t *soak, uint32_t gateway);
/* Returns whether the configuration holds tenants, one for each caller. */
bool soak_has_tenants(const soak_t *soak);
/* Tells all callers of a promotion. last_sequence has the last write to each
 * caller's item in the log of the new primary. */
void soak_promoted(soak_t *soak, const uint32_t *last_sequence);
/* Reports an invariant that does not hold, which makes the test fail. */
void soak_report_violation(soak_t *soak, const char *invariant, uint32_t item,
			   uint32_t sequence, const char *detail);
void soak_count_operation(soak_t *soak, bool served);

#endif
