#include "promotion.h"

#include <string.h>
#include <xxhash.h>

/*
 * Returns the figures for grants of grant_ms, with promises of grant_life_ms at
 * most. The duty's times are independent of the grant: a holder confirms its
 * duty each second, orders for two and a half after a confirmation, and is
 * replaced after four, so that an order that is on its way for a second is no
 * danger.
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
		/* Promotions take 300 to 1000 ms. */
		.order_effect_ms = 1500,
		/* Cuts and restarts of a target take seconds. */
		.diverged_wait_ms = 15000,
	};
}

void promotion_init(promotion_t *promotion, const promotion_options_t *options)
{
	memset(promotion, 0, sizeof(*promotion));
	promotion->options = *options;
}

/*
 * Returns how many proxies look for the first primary of a group before the one
 * of this rank. The order begins at another proxy for each group, so that a
 * start of many proxies before many groups is work for all of them, and a few
 * questions for each.
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

static promotion_action_t start_action(promotion_t *promotion,
				       promotion_action_kind_t kind)
{
	promotion_action_t action = { .kind = kind };

	if (kind != PROMOTION_ACTION_NONE)
		promotion->busy = true;
	return action;
}

static bool is_promoter(const promotion_view_t *view)
{
	return view->promoter.revision != 0 &&
	       strcmp(view->promoter.name, view->self) == 0 &&
	       view->promoter.incarnation == view->incarnation;
}

/*
 * Tells whether the duty may be taken from its holder: there is none, it has
 * restarted, or it has not confirmed its duty for longer than its tenure.
 */
static bool may_become_promoter(const promotion_t *promotion,
				const promotion_view_t *view)
{
	return view->promoter.revision == 0 || is_promoter(view) ||
	       view->promoter_restarted ||
	       view->now_ms >=
		       view->promoter.seen_ms + promotion->options.takeover_ms;
}

/*
 * Tells whether the group needs a promotion: its primary leaves, half of the
 * proxies cannot reach it, or a fence was left without its holder.
 */
static bool is_promotion_needed(const promotion_view_t *view)
{
	if (view->record.revision == 0)
		return false;
	if (view->record.fence != 0 || view->leaving)
		return true;
	return view->unreachable_here &&
	       2 * view->unreachable_reports >= view->registered;
}

/*
 * Returns the token for a new fence. A proxy that holds the duty keeps its
 * token; a new holder takes the next one.
 */
static uint64_t next_token(const promotion_view_t *view)
{
	return is_promoter(view) ? view->promoter.token
				 : view->promoter.token + 1;
}

/*
 * Decides whether to begin: after the proxies with a lower rank had their turn.
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
	action = start_action(promotion, PROMOTION_ACTION_FENCE);
	action.token = next_token(view);
	return action;
}

/*
 * Waits until no proxy can hold a grant on the old term: all have stopped; or
 * the grants of reads before the fence have run out and a majority has stopped,
 * so that no other proxy has the promises of one; or the limit of all grants
 * has passed.
 */
static promotion_action_t step_stopping(promotion_t *promotion,
					const promotion_view_t *view)
{
	const promotion_options_t *options = &promotion->options;
	clock_ms_t waited_ms =
		view->now_ms - promotion->fenced_ms - options->clock_margin_ms;
	bool over =
		view->all_stopped ||
		(view->majority_blocked && waited_ms >= options->grant_ms) ||
		waited_ms >= options->grant_life_ms;

	if (!over || view->now_ms < promotion->survey_not_before_ms)
		return start_action(promotion, PROMOTION_ACTION_NONE);
	promotion->stage = PROMOTION_STAGE_SURVEYING;
	promotion->survey_since_ms = view->now_ms;
	return start_action(promotion, PROMOTION_ACTION_SURVEY);
}

static promotion_action_t step_ordering(promotion_t *promotion,
					const promotion_view_t *view)
{
	promotion_action_t action;

	if (!promotion_may_order(promotion, view->now_ms))
		return start_action(promotion, PROMOTION_ACTION_RENEW);
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
 * Tells whether the fence in the store is still the one that this proxy wrote.
 */
static bool is_fence_lost(const promotion_t *promotion,
			  const promotion_view_t *view)
{
	return view->record.fence != promotion->fence || !is_promoter(view) ||
	       view->promoter.token != promotion->fence;
}

/*
 * Returns the next action of this proxy for a group. To be called at each
 * change of the view and every few tens of ms.
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
		return start_action(promotion, PROMOTION_ACTION_SURVEY);
	case PROMOTION_STAGE_ORDERING:
		return step_ordering(promotion, view);
	case PROMOTION_STAGE_RECORDING:
		return step_recording(promotion);
	}
	return (promotion_action_t){ .kind = PROMOTION_ACTION_NONE };
}

/*
 * Reports that duty and fence are in the store; sent_ms is when the write, or
 * the read that showed it, was sent. The wait for grants starts now, when the
 * fence is certain, not when it was sent.
 */
void promotion_fenced(promotion_t *promotion, const promotion_view_t *view,
		      uint64_t token, clock_ms_t sent_ms)
{
	promotion->busy = false;
	promotion->stage = PROMOTION_STAGE_STOPPING;
	promotion->fence = token;
	promotion->fenced_ms = view->now_ms;
	promotion->survey_not_before_ms = 0;
	if (view->record.fence != 0 && !is_promoter(view))
		promotion->survey_not_before_ms =
			view->now_ms + promotion->options.order_effect_ms;
	promotion->confirmed_ms = sent_ms;
	promotion->old_term = view->record.term;
	promotion->rejected[0] = '\0';
}

void promotion_renewed(promotion_t *promotion, clock_ms_t sent_ms)
{
	promotion->busy = false;
	promotion->confirmed_ms = sent_ms;
}

void promotion_promoter_confirmed(promotion_t *promotion, uint64_t token,
				  clock_ms_t sent_ms)
{
	if (promotion->stage != PROMOTION_STAGE_IDLE &&
	    promotion->fence == token && sent_ms > promotion->confirmed_ms)
		promotion->confirmed_ms = sent_ms;
}

static bool is_better_successor(const promotion_view_t *view,
				const promotion_candidate_t *candidate,
				const promotion_candidate_t *best)
{
	bool holds = term_history_includes(&view->record.term_history,
					   candidate->status.received);

	if (!best)
		return true;
	if (holds != term_history_includes(&view->record.term_history,
					   best->status.received))
		return holds;
	return log_position_compare(candidate->status.received,
				    best->status.received) > 0;
}

/*
 * Tells whether a target may be recorded as primary. While an order may still
 * take effect, only its target may: another one that leads a term would lose it
 * a moment later. Without one, the target that leads a later term than the
 * recorded one may, and the recorded primary, if it is to stay.
 */
static bool may_be_recorded(const promotion_t *promotion,
			    const promotion_view_t *view,
			    const promotion_candidate_t *candidate)
{
	if (!candidate->reached || !candidate->status.is_primary)
		return false;
	if (promotion->stage == PROMOTION_STAGE_CONFIRMING)
		return candidate->status.term > promotion->old_term &&
		       strcmp(candidate->id, promotion->candidate) == 0;
	if (candidate->status.term > promotion->old_term)
		return true;
	return candidate->status.term == promotion->old_term &&
	       strcmp(candidate->id, view->record.primary) == 0 &&
	       !candidate->leaving;
}

/*
 * Returns the acceptable primary of the newest term, or NULL.
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
 * Tells whether a target may lead. One whose log holds commits that an earlier
 * promotion rolled back would revive them in place of those that were
 * acknowledged since: a read after that promotion lacked them.
 */
static bool is_eligible(const promotion_t *promotion,
			const promotion_view_t *view,
			const promotion_candidate_t *candidate)
{
	return candidate->reached && !candidate->leaving &&
	       strcmp(candidate->id, promotion->rejected) != 0 &&
	       (term_history_includes(&view->record.term_history,
				      candidate->status.received) ||
		view->now_ms >= promotion->fenced_ms +
					promotion->options.diverged_wait_ms);
}

/*
 * Chooses the most advanced replica. With a synchronous group, all replicas
 * must have been reached, since any one of them may be the only one that holds
 * an acknowledged commit. From a leaving primary, all of its log must have been
 * received, for catch_up_timeout_ms at most. Returns NULL to ask again.
 */
static const promotion_candidate_t *
find_successor(const promotion_t *promotion, const promotion_view_t *view,
	       const promotion_candidate_t *candidates, size_t count)
{
	const promotion_candidate_t *best = NULL;
	const promotion_candidate_t *old = NULL;
	bool missing = false;
	size_t i;

	for (i = 0; i < count; i++) {
		const promotion_candidate_t *candidate = &candidates[i];

		if (strcmp(candidate->id, view->record.primary) == 0) {
			old = candidate->reached ? candidate : NULL;
			continue;
		}
		missing = missing || !candidate->reached;
		if (is_eligible(promotion, view, candidate) &&
		    is_better_successor(view, candidate, best))
			best = candidate;
	}
	if (!best || (view->synchronous && missing))
		return NULL;
	if (old && old->status.term == promotion->old_term &&
	    log_position_compare(best->status.received, old->status.received) <
		    0 &&
	    view->now_ms < promotion->survey_since_ms +
				   promotion->options.catch_up_timeout_ms)
		return NULL;
	return best;
}

/*
 * Reports the status of the targets that answered a survey.
 */
void promotion_surveyed(promotion_t *promotion, const promotion_view_t *view,
			const promotion_candidate_t *candidates, size_t count)
{
	const promotion_candidate_t *primary =
		find_primary(promotion, view, candidates, count);
	const promotion_candidate_t *next;

	promotion->busy = false;
	if (primary) {
		promotion->stage = PROMOTION_STAGE_RECORDING;
		promotion->new_term = primary->status.term;
		/* Nobody writes to it before its term is recorded. */
		promotion->start_number = primary->status.received.number;
		memcpy(promotion->candidate, primary->id,
		       sizeof(promotion->candidate));
		return;
	}
	if (promotion->stage == PROMOTION_STAGE_CONFIRMING) {
		if (view->now_ms <
		    promotion->ordered_ms +
			    promotion->options.confirm_timeout_ms)
			return;
		promotion->stage = PROMOTION_STAGE_SURVEYING;
		promotion->survey_since_ms = view->now_ms;
		return;
	}
	next = find_successor(promotion, view, candidates, count);
	if (!next) {
		promotion->rejected[0] = '\0';
		return;
	}
	promotion->stage = PROMOTION_STAGE_ORDERING;
	memcpy(promotion->candidate, next->id, sizeof(promotion->candidate));
}

/*
 * Reports the answer to an order. Without an answer, the order may have been
 * carried out: it is confirmed like an accepted one, and given again under the
 * same token if no primary shows. refused means that the target does not run.
 */
void promotion_ordered(promotion_t *promotion, bool accepted, bool refused,
		       clock_ms_t now_ms)
{
	promotion->busy = false;
	if (refused) {
		memcpy(promotion->rejected, promotion->candidate,
		       sizeof(promotion->rejected));
		promotion->stage = PROMOTION_STAGE_SURVEYING;
		promotion->survey_since_ms = now_ms;
		return;
	}
	/* An unanswered order is repeated sooner than an accepted one. */
	promotion->ordered_ms =
		accepted ? now_ms
			 : now_ms - promotion->options.confirm_timeout_ms / 2;
	promotion->stage = PROMOTION_STAGE_CONFIRMING;
}

/*
 * Reports that the record of the new term is in the store.
 */
void promotion_recorded(promotion_t *promotion)
{
	promotion->busy = false;
	promotion->stage = PROMOTION_STAGE_IDLE;
	promotion->needed_since_ms = 0;
}

/*
 * Reports that an action failed or that its outcome is unknown; the next step
 * decides again from what the store shows.
 */
void promotion_failed(promotion_t *promotion)
{
	promotion->busy = false;
}

bool promotion_may_order(const promotion_t *promotion, clock_ms_t now_ms)
{
	return now_ms <
	       promotion->confirmed_ms + promotion->options.confirmation_ttl_ms;
}

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
