#include "promotion.h"

/*
 * Extends a grant by a read of the record that was sent at sent_ms. A fenced
 * record gives none: the read may have come after the fence, whose writer waits
 * for the grants of earlier reads.
 */
void grant_renew(grant_t *grant, const group_record_t *record,
		 clock_ms_t sent_ms, const promotion_options_t *options)
{
	if (record->revision == 0 || record->fence != 0 ||
	    record->term < grant->term)
		return;
	if (record->term > grant->term)
		*grant = (grant_t){ .term = record->term };
	if (sent_ms + options->grant_ms > grant->until_ms)
		grant->until_ms = sent_ms + options->grant_ms;
	if (sent_ms + options->grant_life_ms > grant->limit_ms)
		grant->limit_ms = sent_ms + options->grant_life_ms;
}

/*
 * Extends a grant to until_ms, the end of promises of a majority of the voters
 * not to state a stop on the term. They were given to this proxy, or to a voter
 * that lends what it has: a promotion that does not have the stop of every
 * proxy needs those of half of the voters, and so that of one whose promise has
 * ended. The limit bounds how old the set of voters may be that the majority
 * was counted from, and how long this proxy may be unregistered without
 * knowing.
 */
void grant_extend(grant_t *grant, uint64_t term, clock_ms_t until_ms)
{
	if (grant->term != term)
		return;
	if (until_ms > grant->limit_ms)
		until_ms = grant->limit_ms;
	if (until_ms > grant->until_ms)
		grant->until_ms = until_ms;
}

/*
 * Ends a grant before its time; only a read begins it anew.
 */
void grant_end(grant_t *grant)
{
	grant->until_ms = 0;
	grant->limit_ms = 0;
}

/*
 * Tells whether acts on term are allowed at now_ms.
 */
bool grant_holds(const grant_t *grant, uint64_t term, clock_ms_t now_ms)
{
	return term != 0 && grant->term == term && now_ms < grant->until_ms;
}
