#ifndef HORNBEAMTACK_STORE_COALESCER_H
#define HORNBEAMTACK_STORE_COALESCER_H

#include "store.h"

/* Time that a read waits for equal ones before it is sent. Proxies that got the
 * same answer request their next read within one tick of 50 ms of each other,
 * so the window must be longer than a tick. */
#define COALESCER_WINDOW_MS 60

/*
 * Reads the store on behalf of several proxies and sends equal reads, which
 * have the same path and query, only once.
 */
typedef struct coalescer coalescer_t;

typedef struct {
	/* Path and query of the read. */
	const char *path;
	/* A request may join an equal read that was already sent. Only watches
	 * may be joined: the answer of any other read must reflect the store
	 * after the read was requested. */
	bool join_in_flight;
	/* The read waits COALESCER_WINDOW_MS for equal ones before it is
	 * sent. */
	bool wait_window;
	clock_ms_t timeout_ms;
} coalescer_read_t;

coalescer_t *coalescer_new(struct event_base *base,
			   const store_endpoint_t *endpoint,
			   size_t answer_max_bytes);
/* Reads in progress are cancelled without a call of their callbacks. */
void coalescer_free(coalescer_t *coalescer);
int coalescer_read(coalescer_t *coalescer, const coalescer_read_t *read,
		   store_forward_done_t done, void *context);
/* Returns the number of reads that were sent to the store. */
uint64_t coalescer_requests_sent(const coalescer_t *coalescer);

#endif
