#ifndef HORNBEAMTACK_PROMOTION_ERA_H
#define HORNBEAMTACK_PROMOTION_ERA_H

#include "promotion.h"

/*
 * An era of the store, which begins each time the store comes back from an
 * older copy. What it acknowledged after the copy is lost: fences, records of
 * terms, registrations. What earlier eras have begun goes on for a time: grants
 * that proxies hold, and promoters that do not know yet that their fence is
 * lost.
 */
typedef struct {
	/* 0: the store names no eras, and is taken never to be restored. */
	uint64_t number;
	/* When an answer first named the era. It had begun before. */
	clock_ms_t since_ms;
	/* Nothing that earlier eras have begun is in progress any more. */
	bool settled;
} era_t;

bool era_orders_have_ended(const era_t *era, const promotion_options_t *options,
			   clock_ms_t now_ms);
bool era_promoter_is_replaceable(const era_t *era,
				 const promotion_options_t *options,
				 clock_ms_t now_ms);
bool era_grants_have_ended(const era_t *era, const promotion_options_t *options,
			   clock_ms_t now_ms);

bool era_can_be_settled(const era_t *era, const promotion_options_t *options,
			clock_ms_t now_ms);

/* What is done about a group whose record is of an earlier era. */
typedef enum {
	ERA_ACTION_NONE,
	/* Write the known record again, for other proxies that know less. It
	 * stays one of the earlier era. */
	ERA_ACTION_WRITE_BACK,
	/* Write the known record as one of the present era. */
	ERA_ACTION_REOPEN,
	/* The known record cannot be trusted any more: a promotion has to find
	 * the primary. */
	ERA_ACTION_DISTRUST,
} era_action_t;

/* What a proxy knows about a group whose record is of an earlier era. */
typedef struct {
	era_t era;
	/* The record as it was known when the era began. */
	group_record_t record;
	/* Term of the record in the store; 0 if the store has none. */
	uint64_t stored_term;
	/* This proxy holds a grant on the term of the record. */
	bool holds_grant;
	/* This process is registered in the present era. */
	bool registered;
	/* Number of proxies that act before this one. */
	uint32_t turn;
	clock_ms_t now_ms;
} era_view_t;

era_action_t era_step(const era_view_t *view,
		      const promotion_options_t *options);

#endif
