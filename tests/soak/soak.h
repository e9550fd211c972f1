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
 * A soak of the gateway: real processes, stand-ins of the platform and of one
 * group of targets, callers that check every answer, and faults from outside.
 */
#define SOAK_TARGETS STANDIN_TARGETS
#define SOAK_GATEWAYS 3
#define SOAK_CALLERS 12

typedef struct soak soak_t;

/* ---- links: connections that pass through this process ---- */

typedef struct link soak_link_t;

typedef enum {
	/* Both directions pass, after a delay. */
	LINK_OPEN,
	/* Bytes are kept back in one direction, or in both. */
	LINK_NO_REQUESTS,
	LINK_NO_ANSWERS,
	LINK_SILENT,
	/* Open connections pass, new ones are silent: a path that only some
	 * peers still have. */
	LINK_OLD_ONLY,
} link_state_t;

soak_link_t *soak_link_new(struct event_base *base, uint16_t port,
			   uint16_t upstream_port);
void soak_link_free(soak_link_t *link);
/* Resets a share of the connections, in percent. */
void soak_link_reset(soak_link_t *link, check_random_t *random,
		     uint32_t percent);
/* Silences a share of the open connections for good; new ones work. */
void soak_link_silence(soak_link_t *link, check_random_t *random,
		       uint32_t percent);
/* Changes the state of the whole link, also for new connections. */
void soak_link_set(soak_link_t *link, link_state_t state);
void soak_link_delay(soak_link_t *link, uint32_t delay_ms);

/* ---- the group ---- */

/* What was written: item of a caller, and the caller's own sequence. */
typedef struct {
	uint64_t term;
	/* -1: the start of a term. */
	int32_t item;
	uint32_t sequence;
} soak_entry_t;

typedef struct soak_group soak_group_t;

soak_group_t *soak_group_new(soak_t *soak, struct event_base *base,
			     uint16_t first_port, uint16_t order_port);
void soak_group_free(soak_group_t *group);
/* A target ends all connections and does not listen, or starts again. */
void soak_group_stop(soak_group_t *group, uint32_t index);
void soak_group_start(soak_group_t *group, uint32_t index);
/* A replica receives nothing. */
void soak_group_pause(soak_group_t *group, uint32_t index, bool paused);
uint32_t soak_group_primary(const soak_group_t *group);
/* Tells whether the log of the present primary holds a write. */
bool soak_group_holds(const soak_group_t *group, uint32_t item,
		      uint32_t sequence);
/* Tells whether a write was committed by a primary that had been replaced. */
bool soak_group_is_stale(const soak_group_t *group, uint32_t item,
			 uint32_t sequence);

/* ---- callers ---- */

typedef struct soak_caller soak_caller_t;

soak_caller_t *soak_caller_new(soak_t *soak, struct event_base *base,
			       uint32_t index, uint64_t seed);
void soak_caller_free(soak_caller_t *caller);
/* All that was acknowledged up to sequence holds after a promotion. */
void soak_caller_rolled_back(soak_caller_t *caller, uint32_t sequence);
clock_ms_t soak_caller_served_ms(const soak_caller_t *caller);
/* Checks what was refused, at the end. */
void soak_caller_check(soak_caller_t *caller);

/* ---- the whole ---- */

clock_ms_t soak_now(void);
soak_group_t *soak_group(soak_t *soak);
uint16_t soak_caller_port(const soak_t *soak, uint32_t gateway);
void soak_promoted(soak_t *soak, const uint32_t *last_sequence);
/* Reports a broken promise. */
void soak_broken(soak_t *soak, const char *promise, uint32_t item,
		 uint32_t sequence, const char *detail);
void soak_count_operation(soak_t *soak, bool served);

#endif
