#include "promotion.h"

/*
 * Extends a grant after a read of the group's record that was sent at sent_ms.
 * A record of a newer term replaces the grant. A fenced record gives no grant:
 * the promoter that wrote the fence waits only for the grants of reads before
 * the fence, and this read may have come after it.
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
 * Extends a grant on a term to until_ms, at which promises of a majority of the
 * voters end. A voter that promises reports no stop on the term until then. The
 * promises were given to this proxy, or to a voter that lends its own grant.
 *
 * A promotion without stop reports of all proxies needs those of half of the
 * voters. Any half includes a voter of the majority, and this voter reports its
 * stop only after its promise, and so the grant, has ended.
 *
 * The grant is never extended beyond its limit. The limit bounds how old the
 * set of voters may be from which the majority was counted, and for how long
 * this proxy may be unregistered without knowing it.
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
 * Ends a grant at once. Promises can't revive it; only a read of the group's
 * record can.
 */
void grant_end(grant_t *grant)
{
	grant->until_ms = 0;
	grant->limit_ms = 0;
}

/*
 * Tells whether the grant allows the use of the primary of a term at now_ms.
 */
bool grant_holds(const grant_t *grant, uint64_t term, clock_ms_t now_ms)
{
	return term != 0 && grant->term == term && now_ms < grant->until_ms;
}
