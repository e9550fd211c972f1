#ifndef HORNBEAMTACK_STORE_COALESCER_H
#define HORNBEAMTACK_STORE_COALESCER_H

#include "store.h"

/* Reads that were asked for within this time are sent as one. Proxies that had
 * a shared answer ask for the next one at the same time, but for a tick of
 * 50 ms. */
#define COALESCER_WINDOW_MS 60

/*
 * Reads of the store on behalf of several proxies. Equal ones are sent once.
 */
typedef struct coalescer coalescer_t;

typedef struct {
	/* Path and query of the read. */
	const char *path;
	/* A watch: one that is running serves further askers as well. The
	 * answer of any other read must come from after it was asked for. */
	bool join_in_flight;
	/* Waits for other askers before it is sent. */
	bool wait_window;
	clock_ms_t timeout_ms;
} coalescer_read_t;

coalescer_t *coalescer_new(struct event_base *base,
			   const store_endpoint_t *endpoint,
			   size_t answer_max_bytes);
/* Reads in progress end without their callbacks. */
void coalescer_free(coalescer_t *coalescer);
int coalescer_read(coalescer_t *coalescer, const coalescer_read_t *read,
		   store_forward_done_t done, void *context);
/* Reads that were sent to the store. */
uint64_t coalescer_requests_sent(const coalescer_t *coalescer);

#endif
