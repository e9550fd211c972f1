#include "era.h"

/* Delay between the attempts of two proxies to write a record back, and to
 * reopen a group: an answer of the store and its watch take less. */
#define WRITE_BACK_TURN_MS 50
#define REOPEN_TURN_MS 100

/*
 * Tells whether no promoter of an earlier era sends orders any more. Its last
 * confirmation was sent before the era began, and it orders for
 * confirmation_ttl_ms after that.
 */
bool era_orders_have_ended(const era_t *era, const promotion_options_t *options,
			   clock_ms_t now_ms)
{
	return era->settled || now_ms >= era->since_ms +
						 options->confirmation_ttl_ms +
						 options->clock_margin_ms;
}

/*
 * Tells whether another proxy may order promotions in place of a promoter of an
 * earlier era, whose last order may also have been on its way for a while.
 */
bool era_promoter_is_replaceable(const era_t *era,
				 const promotion_options_t *options,
				 clock_ms_t now_ms)
{
	return era->settled || now_ms >= era->since_ms + options->takeover_ms;
}

/*
 * Tells whether no proxy holds a grant of an earlier era any more. Until then,
 * the registered proxies are not all that may hold one: the store may have lost
 * a registration.
 */
bool era_grants_have_ended(const era_t *era, const promotion_options_t *options,
			   clock_ms_t now_ms)
{
	return era->settled || now_ms >= era->since_ms +
						 options->grant_life_ms +
						 options->clock_margin_ms;
}

/*
 * Tells whether nothing that earlier eras have begun is in progress any more:
 * no grant, and no order that may still take effect.
 */
bool era_can_be_settled(const era_t *era, const promotion_options_t *options,
			clock_ms_t now_ms)
{
	return era_grants_have_ended(era, options, now_ms) &&
	       now_ms >= era->since_ms + options->takeover_ms +
				 options->order_effect_ms;
}

/*
 * Returns what to do about a group whose record is of an earlier era.
 *
 * A grant on the term of the record shows that no promotion of the group has
 * been ordered, as a promoter waits until no grant is left. Once the promoters
 * of earlier eras send no more orders, such a grant therefore shows that the
 * term is still the present one, and the group is reopened with it. Without a
 * grant nothing shows it, and the group goes through a promotion.
 */
era_action_t era_step(const era_view_t *view,
		      const promotion_options_t *options)
{
	const era_t *era = &view->era;
	clock_ms_t age_ms = view->now_ms - era->since_ms;

	if (!view->registered || view->record.era == era->number)
		return ERA_ACTION_NONE;
	if (view->stored_term < view->record.term &&
	    age_ms >= (clock_ms_t)view->turn * WRITE_BACK_TURN_MS)
		return ERA_ACTION_WRITE_BACK;
	if (view->record.fence != 0)
		return ERA_ACTION_NONE;
	if (view->holds_grant) {
		clock_ms_t turn_ms = (clock_ms_t)view->turn * REOPEN_TURN_MS;

		return era_orders_have_ended(era, options,
					     view->now_ms - turn_ms)
			       ? ERA_ACTION_REOPEN
			       : ERA_ACTION_NONE;
	}
	return era_promoter_is_replaceable(era, options, view->now_ms)
		       ? ERA_ACTION_DISTRUST
		       : ERA_ACTION_NONE;
}
