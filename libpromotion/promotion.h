#ifndef HORNBEAMTACK_PROMOTION_H
#define HORNBEAMTACK_PROMOTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"
#include "libstatement/statement.h"
#include "term_history.h"

/* Bytes for the name of a proxy or the id of a target, with the final zero. */
#define PROMOTION_NAME_SIZE 96
/* Most targets of a group that a survey asks. */
#define PROMOTION_CANDIDATES_MAX 16

/*
 * A group's record in the store: the target that is primary in a term. While
 * fence is not 0, proxies get no new grants for the group and give up those
 * that they hold. A promotion is then in progress, or its promoter ended before
 * the promotion was complete.
 */
typedef struct {
	uint64_t term;
	char primary[PROMOTION_NAME_SIZE];
	/* Fencing token of the promotion, or 0. */
	uint64_t fence;
	/* Store revision of the record; 0 if the group has no record. */
	uint64_t revision;
	/* The store has lost the record; revision is that of the loss. */
	bool lost;
	/* Era of the store in which the record was written. In a further era it
	 * gives no grants, since the store may have lost a later one. */
	uint64_t era;
	term_history_t term_history;
} group_record_t;

/*
 * The store's record of the promoter: the one proxy that may order promotions.
 * An order is a request to the platform to make a target primary. The name and
 * the incarnation identify the process.
 */
typedef struct {
	char name[PROMOTION_NAME_SIZE];
	uint64_t incarnation;
	/* Fencing token of the promoter's orders. */
	uint64_t token;
	/* Store revision of the record; 0 if there is no promoter. */
	uint64_t revision;
	/* Time at which this proxy first saw this revision. */
	clock_ms_t seen_ms;
} promoter_record_t;

/* Fencing tokens of an era of the store are above all those of earlier eras:
 * the store may have lost the record of the last token. */
#define PROMOTION_TOKENS_PER_ERA 1000000

/* Times that rule grants and promotions. */
typedef struct {
	/* Life of a grant that a read of the group's record gave, counted from
	 * the time at which the read was sent. */
	clock_ms_t grant_ms;
	/* Longest life of a grant that promises of voters extend, counted from
	 * the same time. */
	clock_ms_t grant_life_ms;
	/* Added to waits for the grants of other proxies. The rates of two
	 * monotonic clocks differ by far less over such a wait. */
	clock_ms_t clock_margin_ms;
	/* The promoter orders promotions only for this long after it sent the
	 * last write that confirmed its record. */
	clock_ms_t confirmation_ttl_ms;
	/* Another proxy may become promoter after it has seen the record
	 * unchanged for this long. */
	clock_ms_t takeover_ms;
	/* Interval at which a promoter confirms its record. */
	clock_ms_t renew_ms;
	/* Delay between the attempts of two proxies, in the order of their
	 * ranks, to start the same promotion. */
	clock_ms_t stagger_ms;
	/* Longest wait for a replica to receive the complete log of a leaving
	 * primary, in a group that is not synchronous. */
	clock_ms_t catch_up_timeout_ms;
	/* Time for an ordered target to become primary. After it, the targets
	 * are surveyed for a candidate again. */
	clock_ms_t confirm_timeout_ms;
	/* Longest time from the acceptance of an order until the target is
	 * primary. */
	clock_ms_t order_effect_ms;
	/* A target with a diverged log, which holds rolled-back commits, is
	 * chosen only this long after the fence, and only if no other target is
	 * eligible. */
	clock_ms_t diverged_wait_ms;
} promotion_options_t;

promotion_options_t promotion_options_default(clock_ms_t grant_ms,
					      clock_ms_t grant_life_ms);

/*
 * What a proxy knows about a group from the store and from its own connections.
 */
typedef struct {
	/* Name and incarnation of this proxy. */
	const char *self;
	uint64_t incarnation;
	group_record_t record;
	promoter_record_t promoter;
	/* Another process is registered under the promoter's name. */
	bool promoter_restarted;
	/* Era of the store, and whether another proxy may order promotions in
	 * place of a promoter of an earlier era. */
	uint64_t era;
	bool old_promoter_replaceable;
	/* Proxies may hold grants of an earlier era, also such that are not
	 * registered in this one. */
	bool old_grants_left;
	/* Number of registered proxies. */
	uint32_t registered;
	/* Number of registered proxies that suspect the primary. */
	uint32_t suspicions;
	/* This proxy suspects the primary. */
	bool suspected_here;
	/* The primary shuts down, or its entry has disappeared from the store.
	 */
	bool leaving;
	/* No proxy holds a grant any more: every proxy that may have held one
	 * has reported that it stopped on the present fence. */
	bool all_stopped;
	/* So many voters have reported that they stopped on the present fence
	 * that no majority can promise an extension of a grant any more. */
	bool majority_blocked;
	/* Position of this proxy among the proxies that have the same reason to
	 * start a promotion. The proxy of rank 0 starts first. */
	uint32_t rank;
	/* The group acknowledges a commit only after a replica has it. */
	bool synchronous;
	clock_ms_t now_ms;
} promotion_view_t;

/* The answer of one target to a survey. */
typedef struct {
	char id[PROMOTION_NAME_SIZE];
	/* The target answered; status is set only then. */
	bool reached;
	/* The target shuts down, or its entry has disappeared from the store.
	 */
	bool leaving;
	target_status_t status;
	/* Its entry has disappeared, and is not expected to return. */
	bool gone;
} promotion_candidate_t;

typedef enum {
	PROMOTION_ACTION_NONE,
	/* Write the promoter record and the group's fence in one transaction.
	 */
	PROMOTION_ACTION_FENCE,
	/* Write the promoter record again, which confirms it. */
	PROMOTION_ACTION_RENEW,
	/* Ask all targets of the group for their status. */
	PROMOTION_ACTION_SURVEY,
	/* Ask the platform to make a target primary. */
	PROMOTION_ACTION_ORDER,
	/* Write the record of the new term. */
	PROMOTION_ACTION_RECORD,
} promotion_action_kind_t;

/* What the caller of promotion_step() has to do. */
typedef struct {
	promotion_action_kind_t kind;
	/* FENCE: fencing token to write. ORDER: fencing token to send. */
	uint64_t token;
	/* RECORD: the new term, and the number of the last commit before it. */
	uint64_t term;
	uint64_t start_number;
	/* ORDER: the target to promote. RECORD: the primary of the new term. */
	char target[PROMOTION_NAME_SIZE];
} promotion_action_t;

typedef enum {
	/* This proxy runs no promotion of the group. */
	PROMOTION_STAGE_IDLE,
	/* The fence is written; grants on the old term may still be held. */
	PROMOTION_STAGE_STOPPING,
	/* The targets are asked for their status, to find a candidate. */
	PROMOTION_STAGE_SURVEYING,
	/* The order to promote the candidate is due or on its way. */
	PROMOTION_STAGE_ORDERING,
	/* The targets are asked whether the candidate has become primary. */
	PROMOTION_STAGE_CONFIRMING,
	/* The record of the new term is due or on its way to the store. */
	PROMOTION_STAGE_RECORDING,
} promotion_stage_t;

/* Why a survey has chosen no target to promote. */
typedef enum {
	/* A target was chosen, or no choice was due. */
	PROMOTION_WAIT_NONE,
	/* No eligible target has answered. */
	PROMOTION_WAIT_CANDIDATE,
	/* A replica of a synchronous group has not answered. */
	PROMOTION_WAIT_REPLICA,
	/* A replica with a more advanced log has refused its promotion. */
	PROMOTION_WAIT_REFUSED,
	/* No candidate has the complete log of the old primary. */
	PROMOTION_WAIT_CATCH_UP,
	/* The old primary has not answered, and no candidate has as much of
	 * the log as a target had in an earlier survey. */
	PROMOTION_WAIT_PRIMARY,
} promotion_wait_t;

/* State of this proxy's promotion of one group. */
typedef struct {
	promotion_options_t options;
	promotion_stage_t stage;
	/* What the last survey has shown to be missing. */
	promotion_wait_t wait;
	/* An action is in progress. No other one starts before its result is
	 * reported. */
	bool busy;
	/* Fencing token of this promotion. */
	uint64_t fence;
	/* Time since which the group needs a promotion; 0 if it needs none. */
	clock_ms_t needed_since_ms;
	/* Time at which the fence was known to be in the store. */
	clock_ms_t fenced_ms;
	/* Time at which the last write that confirmed the promoter record was
	 * sent. */
	clock_ms_t confirmed_ms;
	/* No survey starts before this time, as orders of an earlier promoter
	 * may still arrive until then. */
	clock_ms_t survey_not_before_ms;
	/* The fence replaced one of another process, which may have sent orders
	 * that have not taken effect yet. */
	bool foreign_orders;
	/* The record was of an earlier era of the store when it was fenced. */
	bool reopens;
	/* Proxies may still hold grants: no other target than the present
	 * primary may be ordered. */
	bool affirms_only;
	/* This proxy has sent an order under the fence. */
	bool ordered;
	/* The candidate was primary already when its promotion was ordered. */
	bool candidate_led;
	/* When the platform accepted the last order; 0 if it has not answered.
	 */
	clock_ms_t accepted_ms;
	/* When the last survey was started. */
	clock_ms_t survey_sent_ms;
	/* Start of the present search for a candidate. While the group has no
	 * record, the caller keeps here the earliest time of the next survey
	 * for the adoption. */
	clock_ms_t survey_since_ms;
	/* Start of the wait for the candidate to become primary, or for the
	 * repetition of an order without an answer. */
	clock_ms_t ordered_ms;
	uint64_t old_term;
	uint64_t new_term;
	/* Number of the last commit that the new primary had before its term.
	 */
	uint64_t start_number;
	char candidate[PROMOTION_NAME_SIZE];
	/* The most advanced position in the surveys under this fence. */
	log_position_t most_advanced;
	/* The last candidate for which an order was refused; it is not chosen
	 * again while other targets are eligible. */
	char rejected[PROMOTION_NAME_SIZE];
} promotion_t;

void promotion_init(promotion_t *promotion, const promotion_options_t *options);
uint32_t promotion_adoption_turn(const char *group, uint32_t rank,
				 uint32_t proxies);
promotion_action_t promotion_step(promotion_t *promotion,
				  const promotion_view_t *view);
/* Results of actions: each is reported once, before the next step. */
void promotion_fenced(promotion_t *promotion, const promotion_view_t *view,
		      uint64_t token, clock_ms_t sent_ms);
void promotion_renewed(promotion_t *promotion, clock_ms_t sent_ms);
void promotion_promoter_confirmed(promotion_t *promotion, uint64_t token,
				  clock_ms_t sent_ms);
void promotion_surveyed(promotion_t *promotion, const promotion_view_t *view,
			const promotion_candidate_t *candidates, size_t count);
void promotion_ordered(promotion_t *promotion, bool accepted, bool refused,
		       clock_ms_t now_ms);
void promotion_recorded(promotion_t *promotion);
void promotion_failed(promotion_t *promotion);
bool promotion_may_order(const promotion_t *promotion, clock_ms_t now_ms);
const char *promotion_stage_name(promotion_stage_t stage);
const char *promotion_wait_name(promotion_wait_t wait);

/* Time for which a voter promises not to report a stop. Voters are asked every
 * few hundred ms, so that a promise outlasts one lost answer. A stop report
 * waits until the promise ends, which can delay a promotion by as much. */
#define GRANT_PROMISE_MS 1200

/* A proxy's right to use the primary of a term until a given time. */
typedef struct {
	uint64_t term;
	clock_ms_t until_ms;
	/* Latest time to which promises of voters can extend the grant. */
	clock_ms_t limit_ms;
} grant_t;

void grant_renew(grant_t *grant, const group_record_t *record,
		 clock_ms_t sent_ms, const promotion_options_t *options);
void grant_extend(grant_t *grant, uint64_t term, clock_ms_t until_ms);
void grant_end(grant_t *grant);
bool grant_holds(const grant_t *grant, uint64_t term, clock_ms_t now_ms);

#endif
