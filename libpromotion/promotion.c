#include "promotion.h"

#include <string.h>
#include <xxhash.h>

/*
 * Returns the options for grants that last grant_ms after a read and, with
 * promises of voters, grant_life_ms at most. The times of the promoter do not
 * depend on those of the grants. A promoter confirms its record each second,
 * orders promotions for 2.5 seconds after a confirmation, and is replaced after
 * 4 seconds without one. An order that is on its way for a second therefore
 * does no harm: it still arrives before another proxy becomes promoter.
 */
promotion_options_t promotion_options_default(clock_ms_t grant_ms,
					      clock_ms_t grant_life_ms)
{
	return (promotion_options_t){
		.grant_ms = grant_ms,
		.grant_life_ms = grant_life_ms,
		.clock_margin_ms = 100,
		.confirmation_ttl_ms = 2500,
		.takeover_ms = 4000,
		.renew_ms = 1000,
		.stagger_ms = 150,
		.catch_up_timeout_ms = 1500,
		.confirm_timeout_ms = 2500,
		/* A promotion takes the platform 300 to 1000 ms. */
		.order_effect_ms = 1500,
		/* Network cuts and restarts of a target take seconds; a target
		 * without rolled-back commits may come back within them. */
		.diverged_wait_ms = 15000,
	};
}

/* Interval of the surveys that look for a primary to affirm. */
#define AFFIRM_INTERVAL_MS 300

/*
 * Sets up the promotion of a group, with no promotion in progress.
 */
void promotion_init(promotion_t *promotion, const promotion_options_t *options)
{
	memset(promotion, 0, sizeof(*promotion));
	promotion->options = *options;
}

/*
 * Returns how many proxies try before the proxy of this rank to adopt a group
 * without a record, that is, to look for its first primary and record it. The
 * sequence starts at a different proxy for each group. When many proxies start
 * in front of many groups, each proxy therefore surveys only a few of them.
 */
uint32_t promotion_adoption_turn(const char *group, uint32_t rank,
				 uint32_t proxies)
{
	uint32_t first;

	if (proxies == 0)
		return rank;
	first = (uint32_t)(XXH3_64bits(group, strlen(group)) % proxies);
	return (rank + proxies - first) % proxies;
}

/*
 * Returns an action of a kind. Unless the kind is NONE, no other action starts
 * before the result of this action is reported.
 */
static promotion_action_t start_action(promotion_t *promotion,
				       promotion_action_kind_t kind)
{
	promotion_action_t action = { .kind = kind };

	if (kind != PROMOTION_ACTION_NONE)
		promotion->busy = true;
	return action;
}

/*
 * Tells whether the recorded promoter has its token from the present era of the
 * store.
 */
static bool is_promoter_of_era(const promotion_view_t *view)
{
	return view->promoter.token / PROMOTION_TOKENS_PER_ERA == view->era;
}

/*
 * Tells whether this process, and not an earlier one of the same proxy, is the
 * recorded promoter.
 */
static bool is_promoter(const promotion_view_t *view)
{
	return view->promoter.revision != 0 && is_promoter_of_era(view) &&
	       strcmp(view->promoter.name, view->self) == 0 &&
	       view->promoter.incarnation == view->incarnation;
}

/*
 * Tells whether this proxy is the promoter or may take over from it. It may if
 * there is no promoter, if the promoter's process was replaced by another one,
 * or if the promoter has not confirmed its record for takeover_ms, which is
 * longer than it orders promotions after a confirmation. The record of an
 * earlier era tells nothing about who was promoter at its end.
 */
static bool may_become_promoter(const promotion_t *promotion,
				const promotion_view_t *view)
{
	if (!is_promoter_of_era(view))
		return view->old_promoter_replaceable;
	return view->promoter.revision == 0 || is_promoter(view) ||
	       view->promoter_restarted ||
	       view->now_ms >=
		       view->promoter.seen_ms + promotion->options.takeover_ms;
}

/*
 * Tells whether half of all proxies, this one among them, suspect the primary.
 */
static bool is_suspected(const promotion_view_t *view)
{
	return view->suspected_here && 2 * view->suspicions >= view->registered;
}

/*
 * Tells whether the group needs a promotion: its primary leaves, this proxy and
 * at least half of all proxies suspect the primary, or the record is fenced
 * although this proxy promotes nothing, so that an earlier promotion may have
 * been left incomplete. A leaving primary serves until no grant of an earlier
 * era is left: its successor cannot be ordered before.
 */
static bool is_promotion_needed(const promotion_view_t *view)
{
	if (view->record.revision == 0)
		return false;
	if (view->record.fence != 0 || is_suspected(view))
		return true;
	return view->leaving && !view->old_grants_left;
}

/*
 * Returns the fencing token for a new fence. The present promoter keeps its
 * token; a new promoter takes the next one of the era.
 */
static uint64_t next_token(const promotion_view_t *view)
{
	if (!is_promoter_of_era(view))
		return view->era * PROMOTION_TOKENS_PER_ERA + 1;
	return is_promoter(view) ? view->promoter.token
				 : view->promoter.token + 1;
}

/*
 * Records, before a fence is written, whether orders may be outstanding from
 * before. Without a fence in the record there are none: the promotion that
 * removed the fence had seen its last order take effect. A fence of another
 * process may hide orders that the process has sent. Under a fence of this
 * process, its own orders may be outstanding. A record of an earlier era may
 * lack a fence that the store has lost.
 */
static void note_earlier_orders(promotion_t *promotion,
				const promotion_view_t *view)
{
	bool own =
		is_promoter(view) && view->record.fence == view->promoter.token;

	if (view->record.era != view->era) {
		promotion->foreign_orders = true;
		promotion->reopens = true;
	} else if (view->record.fence == 0) {
		promotion->foreign_orders = false;
		promotion->reopens = false;
	} else if (!own || promotion->ordered) {
		promotion->foreign_orders = true;
		promotion->reopens = false;
	}
	promotion->ordered = false;
}

/*
 * Starts a promotion if the group needs one and this proxy may order it. The
 * promoter starts at once; any other proxy first waits stagger_ms for the
 * promoter and for each proxy of a lower rank.
 */
static promotion_action_t step_idle(promotion_t *promotion,
				    const promotion_view_t *view)
{
	promotion_action_t action;
	clock_ms_t turn_ms;

	if (!is_promotion_needed(view)) {
		promotion->needed_since_ms = 0;
		return start_action(promotion, PROMOTION_ACTION_NONE);
	}
	if (promotion->needed_since_ms == 0)
		promotion->needed_since_ms = view->now_ms;
	turn_ms = promotion->needed_since_ms;
	if (!is_promoter(view))
		turn_ms += (view->rank + 1) * promotion->options.stagger_ms;
	if (view->now_ms < turn_ms || !may_become_promoter(promotion, view))
		return start_action(promotion, PROMOTION_ACTION_NONE);
	note_earlier_orders(promotion, view);
	action = start_action(promotion, PROMOTION_ACTION_FENCE);
	action.token = next_token(view);
	return action;
}

/*
 * Tells whether no proxy can hold a grant on the old term any more. This is so
 * in one of three cases:
 * - All proxies have reported that they stopped.
 * - The grants of reads before the fence have expired, and so many voters have
 *   stopped that no proxy can have extended its grant by promises.
 * - The longest life of a grant has passed.
 */
static bool is_no_grant_left(const promotion_t *promotion,
			     const promotion_view_t *view)
{
	const promotion_options_t *options = &promotion->options;
	clock_ms_t waited_ms =
		view->now_ms - promotion->fenced_ms - options->clock_margin_ms;

	return view->all_stopped ||
	       (view->majority_blocked && waited_ms >= options->grant_ms) ||
	       waited_ms >= options->grant_life_ms;
}

static promotion_action_t step_surveying(promotion_t *promotion,
					 const promotion_view_t *view)
{
	promotion->affirms_only =
		promotion->reopens && !is_no_grant_left(promotion, view);
	promotion->survey_sent_ms = view->now_ms;
	return start_action(promotion, PROMOTION_ACTION_SURVEY);
}

/*
 * Waits until no proxy can hold a grant on the old term, and then starts the
 * search for a candidate. If the record was of an earlier era of the store, the
 * targets are surveyed before: to order the present primary changes nothing for
 * those that hold grants.
 */
static promotion_action_t step_stopping(promotion_t *promotion,
					const promotion_view_t *view)
{
	bool may_survey =
		promotion->reopens || is_no_grant_left(promotion, view);

	if (!may_survey || view->now_ms < promotion->survey_not_before_ms)
		return start_action(promotion, PROMOTION_ACTION_NONE);
	promotion->stage = PROMOTION_STAGE_SURVEYING;
	promotion->survey_since_ms = view->now_ms;
	return step_surveying(promotion, view);
}

/*
 * Orders the promotion of the candidate, or first confirms the promoter record
 * if the last confirmation is too old for an order.
 */
static promotion_action_t step_ordering(promotion_t *promotion,
					const promotion_view_t *view)
{
	promotion_action_t action;

	if (!promotion_may_order(promotion, view->now_ms))
		return start_action(promotion, PROMOTION_ACTION_RENEW);
	promotion->ordered = true;
	action = start_action(promotion, PROMOTION_ACTION_ORDER);
	action.token = promotion->fence;
	memcpy(action.target, promotion->candidate, sizeof(action.target));
	return action;
}

static promotion_action_t step_recording(promotion_t *promotion)
{
	promotion_action_t action =
		start_action(promotion, PROMOTION_ACTION_RECORD);

	action.term = promotion->new_term;
	action.start_number = promotion->start_number;
	memcpy(action.target, promotion->candidate, sizeof(action.target));
	return action;
}

/*
 * Tells whether the fence of this proxy has been replaced or removed in the
 * store, or another process has become promoter.
 */
static bool is_fence_lost(const promotion_t *promotion,
			  const promotion_view_t *view)
{
	return view->record.fence != promotion->fence || !is_promoter(view) ||
	       view->promoter.token != promotion->fence;
}

/*
 * Returns the next action of this proxy for a group. The caller calls it after
 * each change of the view and every few tens of ms, carries out the action and
 * reports its result. While a result is awaited, there is no further action.
 */
promotion_action_t promotion_step(promotion_t *promotion,
				  const promotion_view_t *view)
{
	if (promotion->busy)
		return (promotion_action_t){ .kind = PROMOTION_ACTION_NONE };
	if (promotion->stage != PROMOTION_STAGE_IDLE &&
	    is_fence_lost(promotion, view)) {
		promotion->stage = PROMOTION_STAGE_IDLE;
		promotion->needed_since_ms = 0;
	}
	if (promotion->stage != PROMOTION_STAGE_IDLE &&
	    view->now_ms >=
		    promotion->confirmed_ms + promotion->options.renew_ms)
		return start_action(promotion, PROMOTION_ACTION_RENEW);
	switch (promotion->stage) {
	case PROMOTION_STAGE_IDLE:
		return step_idle(promotion, view);
	case PROMOTION_STAGE_STOPPING:
		return step_stopping(promotion, view);
	case PROMOTION_STAGE_SURVEYING:
	case PROMOTION_STAGE_CONFIRMING:
		return step_surveying(promotion, view);
	case PROMOTION_STAGE_ORDERING:
		return step_ordering(promotion, view);
	case PROMOTION_STAGE_RECORDING:
		return step_recording(promotion);
	}
	return (promotion_action_t){ .kind = PROMOTION_ACTION_NONE };
}

/*
 * Reports that a write, sent at sent_ms, has put the promoter record and the
 * fence into the store. view is expected to show the records as they were
 * before the write.
 *
 * step_stopping() waits from now until no proxy can hold a grant. The wait does
 * not count from sent_ms, when the fence may not have been in the store yet.
 * The promoter's confirmation counts from sent_ms, since other proxies may have
 * seen it from then on.
 *
 * If orders of an earlier promoter may be outstanding, the targets are surveyed
 * only when these orders must have arrived, so that none arrives after an order
 * with the higher token of this promotion. Those of an earlier era of the store
 * have arrived before another proxy may become promoter.
 */
void promotion_fenced(promotion_t *promotion, const promotion_view_t *view,
		      uint64_t token, clock_ms_t sent_ms)
{
	promotion->busy = false;
	promotion->stage = PROMOTION_STAGE_STOPPING;
	promotion->fence = token;
	promotion->fenced_ms = view->now_ms;
	promotion->survey_not_before_ms = 0;
	if (promotion->foreign_orders && !promotion->reopens)
		promotion->survey_not_before_ms =
			view->now_ms + promotion->options.order_effect_ms;
	promotion->confirmed_ms = sent_ms;
	promotion->old_term = view->record.term;
	promotion->rejected[0] = '\0';
	promotion->most_advanced = (log_position_t){ 0 };
}

/*
 * Reports that a write sent at sent_ms confirmed the promoter record.
 */
void promotion_renewed(promotion_t *promotion, clock_ms_t sent_ms)
{
	promotion->busy = false;
	promotion->confirmed_ms = sent_ms;
}

/*
 * Reports that a write for another group, sent at sent_ms, confirmed the
 * promoter record with this token. It counts only for a promotion under the
 * same token.
 */
void promotion_promoter_confirmed(promotion_t *promotion, uint64_t token,
				  clock_ms_t sent_ms)
{
	if (promotion->stage != PROMOTION_STAGE_IDLE &&
	    promotion->fence == token && sent_ms > promotion->confirmed_ms)
		promotion->confirmed_ms = sent_ms;
}

/*
 * Tells whether a candidate is preferred to the best one found so far. A log
 * that has not diverged comes first, then the more advanced log, then a target
 * that does not leave.
 */
static bool is_better_successor(const promotion_view_t *view,
				const promotion_candidate_t *candidate,
				const promotion_candidate_t *best)
{
	bool is_prefix = term_history_includes(&view->record.term_history,
					       candidate->status.received);
	int order;

	if (!best)
		return true;
	if (is_prefix != term_history_includes(&view->record.term_history,
					       best->status.received))
		return is_prefix;
	order = log_position_compare(candidate->status.received,
				     best->status.received);
	return order > 0 ||
	       (order == 0 && best->leaving && !candidate->leaving);
}

/*
 * Tells whether a target is the recorded primary, still leads the recorded term
 * and is not leaving.
 */
static bool is_recorded_primary(const promotion_t *promotion,
				const promotion_view_t *view,
				const promotion_candidate_t *candidate)
{
	return candidate->reached && candidate->status.is_primary &&
	       candidate->status.term == promotion->old_term &&
	       strcmp(candidate->id, view->record.primary) == 0 &&
	       !candidate->leaving;
}

/*
 * Tells whether a survey was sent when the last order, which the platform has
 * accepted, must have taken effect. The platform handles the orders for a
 * service one after the other, so that no earlier one is outstanding either.
 */
static bool is_last_order_settled(const promotion_t *promotion)
{
	return promotion->accepted_ms != 0 &&
	       promotion->survey_sent_ms >=
		       promotion->accepted_ms +
			       promotion->options.order_effect_ms;
}

/*
 * Tells whether the last ordered candidate, which is primary, may be recorded
 * before its order is settled. It may if it was a replica when it was ordered:
 * a later term then shows the effect of the order. If orders of another process
 * may be outstanding, the platform must have accepted this one after them. A
 * candidate that was primary already may still lose its term by an earlier
 * order.
 */
static bool is_effect_seen(const promotion_t *promotion,
			   const promotion_candidate_t *candidate)
{
	return !promotion->candidate_led &&
	       (!promotion->foreign_orders || promotion->accepted_ms != 0) &&
	       candidate->status.term > promotion->old_term;
}

/*
 * Tells whether a target that is primary may be recorded as such. Once an order
 * was sent, only the last ordered target may: any other primary, also that of
 * the recorded term, goes on until it reaches its successor. Without an order,
 * the primary of a later term than the recorded one may be recorded, and so may
 * the recorded primary unless it is leaving.
 */
static bool may_be_recorded(const promotion_t *promotion,
			    const promotion_view_t *view,
			    const promotion_candidate_t *candidate)
{
	if (!candidate->reached || !candidate->status.is_primary)
		return false;
	if (promotion->ordered)
		return strcmp(candidate->id, promotion->candidate) == 0 &&
		       (is_last_order_settled(promotion) ||
			(promotion->stage == PROMOTION_STAGE_CONFIRMING &&
			 is_effect_seen(promotion, candidate)));
	if (promotion->foreign_orders)
		return false;
	return candidate->status.term > promotion->old_term ||
	       is_recorded_primary(promotion, view, candidate);
}

/*
 * Returns the primary of the newest term among the targets that may be recorded
 * as primary, or NULL.
 */
static const promotion_candidate_t *
find_primary(const promotion_t *promotion, const promotion_view_t *view,
	     const promotion_candidate_t *candidates, size_t count)
{
	const promotion_candidate_t *found = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		const promotion_candidate_t *candidate = &candidates[i];

		if (!may_be_recorded(promotion, view, candidate))
			continue;
		if (!found || candidate->status.term > found->status.term)
			found = candidate;
	}
	return found;
}

/*
 * Tells whether a target may be promoted. A target with a diverged log would
 * bring back commits that an earlier promotion rolled back, in place of commits
 * that were acknowledged since. Reads would then lack acknowledged commits.
 * Such a target is therefore eligible only after diverged_wait_ms. A leaving
 * target is eligible in a synchronous group, where it may be the only one that
 * has an acknowledged commit.
 */
static bool is_eligible(const promotion_t *promotion,
			const promotion_view_t *view,
			const promotion_candidate_t *candidate)
{
	return candidate->reached &&
	       (!candidate->leaving || view->synchronous) &&
	       (term_history_includes(&view->record.term_history,
				      candidate->status.received) ||
		view->now_ms >= promotion->fenced_ms +
					promotion->options.diverged_wait_ms);
}

/* What a survey shows for the choice of a successor. */
typedef struct {
	/* The eligible target with the most advanced log, and the one that has
	 * just refused its promotion. */
	const promotion_candidate_t *best;
	const promotion_candidate_t *refused;
	/* The recorded primary, if it still leads the recorded term. */
	const promotion_candidate_t *primary;
	/* The recorded primary, or a replica, has not answered and may do so
	 * later. */
	bool primary_missing;
	bool replica_missing;
} successors_t;

/*
 * Sorts the answers of a survey for the choice of a successor. The recorded
 * primary is a candidate if it has become a replica.
 */
static successors_t sort_answers(const promotion_t *promotion,
				 const promotion_view_t *view,
				 const promotion_candidate_t *candidates,
				 size_t count)
{
	successors_t found = { 0 };
	size_t i;

	for (i = 0; i < count; i++) {
		const promotion_candidate_t *candidate = &candidates[i];

		if (strcmp(candidate->id, view->record.primary) == 0 &&
		    (!candidate->reached || candidate->status.is_primary)) {
			found.primary_missing =
				!candidate->reached && !candidate->gone;
			if (candidate->reached &&
			    candidate->status.term == promotion->old_term)
				found.primary = candidate;
			continue;
		}
		found.replica_missing |=
			!candidate->reached && !candidate->gone;
		if (!is_eligible(promotion, view, candidate))
			continue;
		if (strcmp(candidate->id, promotion->rejected) == 0)
			found.refused = candidate;
		else if (is_better_successor(view, candidate, found.best))
			found.best = candidate;
	}
	return found;
}

/*
 * Notes the most advanced position of a log that has not diverged.
 */
static void note_most_advanced(promotion_t *promotion,
			       const promotion_view_t *view,
			       const promotion_candidate_t *candidates,
			       size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		log_position_t received = candidates[i].status.received;

		if (candidates[i].reached &&
		    term_history_includes(&view->record.term_history, received))
			promotion->most_advanced = log_position_max(
				promotion->most_advanced, received);
	}
}

static bool is_behind(const promotion_candidate_t *candidate,
		      const promotion_candidate_t *other)
{
	return other && log_position_compare(candidate->status.received,
					     other->status.received) < 0;
}

/*
 * Returns what is missing for a choice. In a synchronous group, the primary of
 * the recorded term has all acknowledged commits, and a replica may be the only
 * other target with one of them. As long as the primary answers, a candidate
 * therefore needs its complete log. If it does not answer, all replicas must
 * have answered, and it is waited for until it is gone if a survey has shown
 * more of the log. In other groups the wait for its log is limited.
 */
static promotion_wait_t find_wait(const promotion_t *promotion,
				  const promotion_view_t *view,
				  const successors_t *found)
{
	bool in_time =
		view->now_ms < promotion->survey_since_ms +
				       promotion->options.catch_up_timeout_ms;
	bool behind = found->best && is_behind(found->best, found->primary);

	if (!found->best)
		return PROMOTION_WAIT_CANDIDATE;
	if (!view->synchronous)
		return behind && in_time ? PROMOTION_WAIT_CATCH_UP
					 : PROMOTION_WAIT_NONE;
	if (is_behind(found->best, found->refused))
		return PROMOTION_WAIT_REFUSED;
	if (behind)
		return PROMOTION_WAIT_CATCH_UP;
	if (found->primary)
		return PROMOTION_WAIT_NONE;
	if (found->replica_missing)
		return PROMOTION_WAIT_REPLICA;
	if (found->primary_missing &&
	    log_position_compare(found->best->status.received,
				 promotion->most_advanced) < 0)
		return PROMOTION_WAIT_PRIMARY;
	return PROMOTION_WAIT_NONE;
}

/*
 * Chooses the eligible replica with the most advanced log. A target that has
 * just refused its promotion is passed over, but in a synchronous group only
 * for one with as much of the log. Returns NULL, and sets what is waited for,
 * if the targets are to be asked again.
 */
static const promotion_candidate_t *
find_successor(promotion_t *promotion, const promotion_view_t *view,
	       const promotion_candidate_t *candidates, size_t count)
{
	successors_t found = sort_answers(promotion, view, candidates, count);

	promotion->wait = find_wait(promotion, view, &found);
	return promotion->wait == PROMOTION_WAIT_NONE ? found.best : NULL;
}

static bool are_all_reached(const promotion_candidate_t *candidates,
			    size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (!candidates[i].reached)
			return false;
	}
	return true;
}

/*
 * Returns the primary whose promotion is to be ordered although it leads
 * already, or NULL: while orders of another process may be outstanding, the
 * primary of the newest term; after an own order that had no effect to be seen,
 * the recorded primary. The answer to its order, and a survey after the time
 * for its effect, show that no earlier order can end its term.
 */
static const promotion_candidate_t *
find_leading(const promotion_t *promotion, const promotion_view_t *view,
	     const promotion_candidate_t *candidates, size_t count)
{
	const promotion_candidate_t *found = NULL;
	size_t i;

	if (!promotion->foreign_orders && !promotion->ordered)
		return NULL;
	for (i = 0; i < count; i++) {
		const promotion_candidate_t *candidate = &candidates[i];
		bool later = candidate->reached &&
			     candidate->status.is_primary &&
			     candidate->status.term > promotion->old_term;

		if ((!later &&
		     !is_recorded_primary(promotion, view, candidate)) ||
		    strcmp(candidate->id, promotion->rejected) == 0)
			continue;
		if (!found || candidate->status.term > found->status.term)
			found = candidate;
	}
	return found;
}

/*
 * Handles a survey that shows no primary to record while the candidate's order
 * may take effect. After an accepted order, another candidate is searched for
 * once the time for its effect has passed. An order without an answer is
 * repeated for the same target: an order for another one could be overtaken by
 * it.
 */
static void await_candidate(promotion_t *promotion, clock_ms_t now_ms)
{
	if (now_ms <
	    promotion->ordered_ms + promotion->options.confirm_timeout_ms)
		return;
	promotion->survey_since_ms = now_ms;
	promotion->stage = PROMOTION_STAGE_ORDERING;
	if (promotion->accepted_ms == 0)
		return;
	promotion->stage = PROMOTION_STAGE_SURVEYING;
	promotion->foreign_orders = false;
}

/*
 * Reports the result of a survey: all targets of the group, with the status of
 * those that answered. A primary that was found is recorded next. Otherwise the
 * survey is repeated, or a candidate is chosen and ordered.
 */
void promotion_surveyed(promotion_t *promotion, const promotion_view_t *view,
			const promotion_candidate_t *candidates, size_t count)
{
	const promotion_candidate_t *primary =
		find_primary(promotion, view, candidates, count);
	const promotion_candidate_t *next;

	promotion->busy = false;
	promotion->wait = PROMOTION_WAIT_NONE;
	if (primary) {
		promotion->stage = PROMOTION_STAGE_RECORDING;
		promotion->new_term = primary->status.term;
		/* The log does not grow before the new term is recorded, as
		 * no proxy writes to the primary until then. */
		promotion->start_number = primary->status.received.number;
		memcpy(promotion->candidate, primary->id,
		       sizeof(promotion->candidate));
		return;
	}
	if (promotion->stage == PROMOTION_STAGE_CONFIRMING) {
		await_candidate(promotion, view->now_ms);
		return;
	}
	note_most_advanced(promotion, view, candidates, count);
	next = find_leading(promotion, view, candidates, count);
	/* A target that was not reached may lead a later term, on which proxies
	 * hold grants. */
	if (promotion->affirms_only &&
	    (!next || !are_all_reached(candidates, count))) {
		promotion->stage = PROMOTION_STAGE_STOPPING;
		promotion->survey_not_before_ms =
			view->now_ms + AFFIRM_INTERVAL_MS;
		return;
	}
	promotion->candidate_led = next != NULL;
	if (!next)
		next = find_successor(promotion, view, candidates, count);
	if (!next) {
		promotion->rejected[0] = '\0';
		return;
	}
	promotion->stage = PROMOTION_STAGE_ORDERING;
	memcpy(promotion->candidate, next->id, sizeof(promotion->candidate));
}

/*
 * Reports the answer to an order. refused means that the target does not run,
 * and that no earlier order is outstanding any more: another candidate is
 * searched for. If the order was neither accepted nor refused, no answer came
 * and the order may be carried out at any time. Like an accepted order, it is
 * followed by surveys that look for the new primary.
 */
void promotion_ordered(promotion_t *promotion, bool accepted, bool refused,
		       clock_ms_t now_ms)
{
	promotion->busy = false;
	promotion->accepted_ms = accepted ? now_ms : 0;
	if (refused) {
		memcpy(promotion->rejected, promotion->candidate,
		       sizeof(promotion->rejected));
		promotion->stage = PROMOTION_STAGE_SURVEYING;
		promotion->survey_since_ms = now_ms;
		return;
	}
	/* After an order without an answer, the wait for the new primary is
	 * shorter than after an accepted one. */
	promotion->ordered_ms =
		accepted ? now_ms
			 : now_ms - promotion->options.confirm_timeout_ms / 2;
	promotion->stage = PROMOTION_STAGE_CONFIRMING;
}

/*
 * Reports that the record of the new term is in the store, which ends the
 * promotion.
 */
void promotion_recorded(promotion_t *promotion)
{
	promotion->busy = false;
	promotion->stage = PROMOTION_STAGE_IDLE;
	promotion->needed_since_ms = 0;
}

/*
 * Reports that an action failed or that its result is unknown. The next step
 * decides again from what the store shows then.
 */
void promotion_failed(promotion_t *promotion)
{
	promotion->busy = false;
}

/*
 * Tells whether the promoter record was confirmed so recently that no other
 * proxy can have taken over, and an order may be sent.
 */
bool promotion_may_order(const promotion_t *promotion, clock_ms_t now_ms)
{
	return now_ms <
	       promotion->confirmed_ms + promotion->options.confirmation_ttl_ms;
}

/*
 * Returns the name of a stage for the log.
 */
const char *promotion_stage_name(promotion_stage_t stage)
{
	switch (stage) {
	case PROMOTION_STAGE_IDLE:
		return "idle";
	case PROMOTION_STAGE_STOPPING:
		return "stopping";
	case PROMOTION_STAGE_SURVEYING:
		return "surveying";
	case PROMOTION_STAGE_ORDERING:
		return "ordering";
	case PROMOTION_STAGE_CONFIRMING:
		return "confirming";
	case PROMOTION_STAGE_RECORDING:
		return "recording";
	}
	return "invalid";
}

/*
 * Returns the name of what a survey has shown to be missing, for the log.
 */
const char *promotion_wait_name(promotion_wait_t wait)
{
	switch (wait) {
	case PROMOTION_WAIT_NONE:
		return "none";
	case PROMOTION_WAIT_CANDIDATE:
		return "candidate";
	case PROMOTION_WAIT_REPLICA:
		return "replica";
	case PROMOTION_WAIT_REFUSED:
		return "refused";
	case PROMOTION_WAIT_CATCH_UP:
		return "catch-up";
	case PROMOTION_WAIT_PRIMARY:
		return "primary";
	}
	return "invalid";
}
