#ifndef HORNBEAMTACK_PROMOTION_H
#define HORNBEAMTACK_PROMOTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libstatement/statement.h"
#include "term_history.h"

#define PROMOTION_NAME_SIZE 96
#define PROMOTION_CANDIDATES_MAX 16

/*
 * A group's record in the store: who leads which term. A fence other than 0
 * ends all grants of the group; a promotion is then in progress, or was left by
 * a holder that ended.
 */
typedef struct {
	uint64_t term;
	char primary[PROMOTION_NAME_SIZE];
	uint64_t fence;
	/* Store revision of the record; 0: there is none. */
	uint64_t revision;
	term_history_t term_history;
} group_record_t;

/* The record of the one proxy that may order promotions. */
typedef struct {
	char name[PROMOTION_NAME_SIZE];
	uint64_t incarnation;
	uint64_t token;
	uint64_t revision;
	/* When this revision was first seen here. */
	clock_ms_t seen_ms;
} promoter_record_t;

typedef struct {
	/* A grant lasts this long from before the read that gave it. */
	clock_ms_t grant_ms;
	/* With promises of peers it lasts this long at most. */
	clock_ms_t grant_life_ms;
	/* Added to waits for grants of others: rates of two steady clocks
	 * differ by far less. */
	clock_ms_t clock_margin_ms;
	/* The holder orders only this long after its duty was confirmed, and
	 * others take the duty after it stood unchanged for takeover_ms. */
	clock_ms_t confirmation_ttl_ms;
	clock_ms_t takeover_ms;
	clock_ms_t renew_ms;
	/* Proxies start one after the other by this step. */
	clock_ms_t stagger_ms;
	/* Longest wait for replicas to receive all of a leaving primary's log.
	 */
	clock_ms_t catch_up_timeout_ms;
	/* Another candidate is tried after this time without a new primary. */
	clock_ms_t confirm_timeout_ms;
	/* An order of a holder that ended takes effect within this time. */
	clock_ms_t order_effect_ms;
	/* Targets whose logs hold rolled-back commits are chosen only after
	 * this long without another one. */
	clock_ms_t diverged_wait_ms;
} promotion_options_t;

promotion_options_t promotion_options_default(clock_ms_t grant_ms,
					      clock_ms_t grant_life_ms);

/* What the store and the own connections show about a group. */
typedef struct {
	const char *self;
	uint64_t incarnation;
	group_record_t record;
	promoter_record_t promoter;
	/* The registry shows that the duty's holder has restarted. */
	bool promoter_restarted;
	/* Registered proxies, and how many of them doubt the primary. */
	uint32_t registered;
	uint32_t unreachable_reports;
	bool unreachable_here;
	/* The primary is leaving or gone by its own word. */
	bool leaving;
	/* All proxies have stopped on this fence, or a majority that meets
	 * every majority of promises. */
	bool all_stopped;
	bool majority_blocked;
	/* Place of this proxy in the order of starting, among those that have
	 * the same reason to; 0 is the first. */
	uint32_t rank;
	/* Commits must be on a replica before they are acknowledged. */
	bool synchronous;
	clock_ms_t now_ms;
} promotion_view_t;

typedef struct {
	char id[PROMOTION_NAME_SIZE];
	bool reached;
	bool leaving;
	target_status_t status;
} promotion_candidate_t;

typedef enum {
	PROMOTION_ACTION_NONE,
	/* Write duty and fence in one transaction. */
	PROMOTION_ACTION_FENCE,
	PROMOTION_ACTION_RENEW,
	/* Ask all targets of the group for their status. */
	PROMOTION_ACTION_SURVEY,
	PROMOTION_ACTION_ORDER,
	/* Write the record of the new term. */
	PROMOTION_ACTION_RECORD,
} promotion_action_kind_t;

typedef struct {
	promotion_action_kind_t kind;
	/* FENCE: token to write, RECORD: term, its start and primary. */
	uint64_t token;
	uint64_t term;
	uint64_t start_number;
	char target[PROMOTION_NAME_SIZE];
} promotion_action_t;

typedef enum {
	PROMOTION_STAGE_IDLE,
	PROMOTION_STAGE_STOPPING,
	PROMOTION_STAGE_SURVEYING,
	PROMOTION_STAGE_ORDERING,
	PROMOTION_STAGE_CONFIRMING,
	PROMOTION_STAGE_RECORDING,
} promotion_stage_t;

typedef struct {
	promotion_options_t options;
	promotion_stage_t stage;
	/* An action is in progress; its result is reported before the next. */
	bool busy;
	uint64_t fence;
	clock_ms_t needed_since_ms;
	clock_ms_t fenced_ms;
	clock_ms_t confirmed_ms;
	/* No survey before: orders of an earlier holder take effect. */
	clock_ms_t survey_not_before_ms;
	clock_ms_t survey_since_ms;
	clock_ms_t ordered_ms;
	uint64_t old_term;
	uint64_t new_term;
	/* The last commit that the new primary had before its term. */
	uint64_t start_number;
	char candidate[PROMOTION_NAME_SIZE];
	/* A candidate that refused or did not come up is passed over. */
	char rejected[PROMOTION_NAME_SIZE];
} promotion_t;

void promotion_init(promotion_t *promotion, const promotion_options_t *options);
uint32_t promotion_adoption_turn(const char *group, uint32_t rank,
				 uint32_t proxies);
promotion_action_t promotion_step(promotion_t *promotion,
				  const promotion_view_t *view);
/* Results of actions. */
void promotion_fenced(promotion_t *promotion, const promotion_view_t *view,
		      uint64_t token, clock_ms_t sent_ms);
void promotion_renewed(promotion_t *promotion, clock_ms_t sent_ms);
/* The duty was confirmed by a write for another group. */
void promotion_promoter_confirmed(promotion_t *promotion, uint64_t token,
				  clock_ms_t sent_ms);
void promotion_surveyed(promotion_t *promotion, const promotion_view_t *view,
			const promotion_candidate_t *candidates, size_t count);
void promotion_ordered(promotion_t *promotion, bool accepted, bool refused,
		       clock_ms_t now_ms);
void promotion_recorded(promotion_t *promotion);
void promotion_failed(promotion_t *promotion);
/* Tells whether the duty was confirmed recently enough to order. */
bool promotion_may_order(const promotion_t *promotion, clock_ms_t now_ms);
const char *promotion_stage_name(promotion_stage_t stage);

/* A promise not to state a stop lasts this long. Asked for every few hundred
 * ms, it outlasts one lost answer; a stop waits for it, which delays a
 * promotion by as much. */
#define GRANT_PROMISE_MS 1200

/* Right to act on a term: valid until until_ms while the term stands. */
typedef struct {
	uint64_t term;
	clock_ms_t until_ms;
	/* Promises of peers extend it up to here. */
	clock_ms_t limit_ms;
} grant_t;

void grant_renew(grant_t *grant, const group_record_t *record,
		 clock_ms_t sent_ms, const promotion_options_t *options);
void grant_extend(grant_t *grant, uint64_t term, clock_ms_t until_ms);
void grant_end(grant_t *grant);
bool grant_holds(const grant_t *grant, uint64_t term, clock_ms_t now_ms);

#endif
