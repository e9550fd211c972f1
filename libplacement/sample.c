#include "placement.h"

static const position_sample_t *sample_at(const sample_ring_t *ring,
					  uint32_t index)
{
	return &ring->samples[(ring->first + index) % SAMPLE_RING_SIZE];
}

/*
 * Adds a position that the primary of the group's current term returned to a
 * request sent at sent_ms. A sample before the last one or less than
 * SAMPLE_SPACING_MS after it is dropped, because a read needs the oldest sample
 * that is fresh enough, not the newest. A full ring loses its oldest sample.
 */
void sample_ring_add(sample_ring_t *ring, log_position_t position,
		     clock_ms_t sent_ms)
{
	position_sample_t *slot;

	if (ring->count > 0 &&
	    sent_ms < sample_at(ring, ring->count - 1)->sent_ms +
			      SAMPLE_SPACING_MS)
		return;
	if (ring->count == SAMPLE_RING_SIZE) {
		ring->first = (ring->first + 1) % SAMPLE_RING_SIZE;
		ring->count--;
	}
	slot = &ring->samples[(ring->first + ring->count) % SAMPLE_RING_SIZE];
	slot->position = position;
	slot->sent_ms = sent_ms;
	ring->count++;
}

/*
 * Finds the oldest sample whose request was sent at or after not_before_ms. A
 * replica that has applied this position is within the staleness bound, and
 * more replicas have applied it than any later one. Returns false if there is
 * no such sample.
 */
bool sample_ring_find(const sample_ring_t *ring, clock_ms_t not_before_ms,
		      position_sample_t *sample)
{
	uint32_t i;

	for (i = 0; i < ring->count; i++) {
		if (sample_at(ring, i)->sent_ms < not_before_ms)
			continue;
		*sample = *sample_at(ring, i);
		return true;
	}
	return false;
}

/*
 * Returns by how many ms a log that ends at position is behind the primary: the
 * time since the request of the last sample whose position is not later, or of
 * the oldest sample if all are later. Returns 0 if no later position is known.
 */
clock_ms_t sample_ring_lag(const sample_ring_t *ring, log_position_t position,
			   clock_ms_t now_ms)
{
	uint32_t i = ring->count;

	while (i > 0 && log_position_compare(sample_at(ring, i - 1)->position,
					     position) > 0)
		i--;
	if (i == ring->count)
		return 0;
	return now_ms - sample_at(ring, i > 0 ? i - 1 : 0)->sent_ms;
}

/*
 * Returns the newest sample, or false if there is none.
 */
bool sample_ring_latest(const sample_ring_t *ring, position_sample_t *sample)
{
	if (ring->count == 0)
		return false;
	*sample = *sample_at(ring, ring->count - 1);
	return true;
}
