#include "promotion.h"

/*
 * Extends a grant by a read of the record that was sent at sent_ms. A fenced
 * record gives none: the read may have come after the fence, whose writer waits
 * grant_ms for the grants of earlier reads.
 */
void grant_renew(grant_t *grant, const group_record_t *record,
		 clock_ms_t sent_ms, clock_ms_t grant_ms)
{
	if (record->revision == 0 || record->fence != 0 ||
	    record->term < grant->term)
		return;
	if (record->term > grant->term) {
		grant->term = record->term;
		grant->until_ms = 0;
	}
	if (sent_ms + grant_ms > grant->until_ms)
		grant->until_ms = sent_ms + grant_ms;
}

/*
 * Ends a grant before its time.
 */
void grant_end(grant_t *grant)
{
	grant->until_ms = 0;
}

/*
 * Tells whether acts on term are allowed at now_ms.
 */
bool grant_holds(const grant_t *grant, uint64_t term, clock_ms_t now_ms)
{
	return term != 0 && grant->term == term && now_ms < grant->until_ms;
}
