#include "coalescer.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "platform/messages.h"

/* The client of a read, which waits for the answer. */
typedef struct waiter {
	TAILQ_ENTRY(waiter) entry;
	store_forward_done_t done;
	void *context;
} waiter_t;

TAILQ_HEAD(waiter_list, waiter);

/* The reads of one path and the clients that have requested them. */
typedef struct shared_read {
	TAILQ_ENTRY(shared_read) entry;
	coalescer_t *coalescer;
	char *path;
	clock_ms_t timeout_ms;
	bool join_in_flight;
	bool wait_window;
	/* Waiters that the read in progress answers, and waiters that only the
	 * next read may answer. */
	struct waiter_list served;
	struct waiter_list next;
	/* The read in progress; NULL while there is none. */
	http_request_t *request;
	/* Sends the next read at the end of the window; also ends a read that
	 * could not be sent. */
	struct event *window_timer;
} shared_read_t;

struct coalescer {
	struct event_base *base;
	store_endpoint_t endpoint;
	size_t answer_max_bytes;
	uint64_t sent;
	TAILQ_HEAD(, shared_read) reads;
};

/*
 * Creates a coalescer of reads from the store at endpoint. An answer whose body
 * is longer than answer_max_bytes counts as no answer. Returns NULL without
 * memory.
 */
coalescer_t *coalescer_new(struct event_base *base,
			   const store_endpoint_t *endpoint,
			   size_t answer_max_bytes)
{
	coalescer_t *coalescer = calloc(1, sizeof(*coalescer));

	if (!coalescer)
		return NULL;
	coalescer->base = base;
	coalescer->endpoint = *endpoint;
	coalescer->answer_max_bytes = answer_max_bytes;
	TAILQ_INIT(&coalescer->reads);
	return coalescer;
}

static void free_waiters(struct waiter_list *waiters)
{
	waiter_t *waiter;

	while ((waiter = TAILQ_FIRST(waiters))) {
		TAILQ_REMOVE(waiters, waiter, entry);
		free(waiter);
	}
}

/*
 * Frees a read that is no longer in the list of its coalescer.
 */
static void free_shared_read(shared_read_t *shared_read)
{
	if (shared_read->request)
		http_request_cancel(shared_read->request);
	if (shared_read->window_timer)
		event_free(shared_read->window_timer);
	free_waiters(&shared_read->served);
	free_waiters(&shared_read->next);
	free(shared_read->path);
	free(shared_read);
}

void coalescer_free(coalescer_t *coalescer)
{
	shared_read_t *shared_read;
	shared_read_t *next;

	if (!coalescer)
		return;
	for (shared_read = TAILQ_FIRST(&coalescer->reads); shared_read;
	     shared_read = next) {
		next = TAILQ_NEXT(shared_read, entry);
		free_shared_read(shared_read);
	}
	free(coalescer);
}

static shared_read_t *find_shared_read(const coalescer_t *coalescer,
				       const char *path)
{
	shared_read_t *shared_read;

	TAILQ_FOREACH(shared_read, &coalescer->reads, entry) {
		if (strcmp(shared_read->path, path) == 0)
			return shared_read;
	}
	return NULL;
}

static void on_answer(void *context, int status, const char *text, size_t size);

/*
 * Sends the next read, whose answer goes to all clients that wait for it.
 */
static void send_read(shared_read_t *shared_read)
{
	coalescer_t *coalescer = shared_read->coalescer;
	const http_request_options_t options = {
		.address = coalescer->endpoint.address,
		.port = coalescer->endpoint.port,
		.method = HTTP_METHOD_GET,
		.path = shared_read->path,
		.timeout_ms = shared_read->timeout_ms,
		.answer_max_bytes = coalescer->answer_max_bytes,
		.answer_header = PLATFORM_HEADER_ERA,
	};

	TAILQ_CONCAT(&shared_read->served, &shared_read->next, entry);
	coalescer->sent++;
	shared_read->request = http_request_send(coalescer->base, &options,
						 on_answer, shared_read);
	/* Without memory nothing was sent. The timer then reports the failure
	 * to the waiters from the event loop. */
	if (!shared_read->request)
		event_active(shared_read->window_timer, EV_TIMEOUT, 0);
}

/*
 * Sends a read at the end of the window in which equal reads may join it, or at
 * once if it has no window.
 */
static void schedule_read(shared_read_t *shared_read)
{
	const struct timeval window = { .tv_usec = COALESCER_WINDOW_MS * 1000 };

	if (shared_read->wait_window)
		evtimer_add(shared_read->window_timer, &window);
	else
		send_read(shared_read);
}

/*
 * Passes the answer of a read to its waiters. The next read of the path is
 * prepared first, because the callbacks may request the same path again.
 */
static void on_answer(void *context, int status, const char *text, size_t size)
{
	shared_read_t *shared_read = context;
	http_body_t body = { .text = text, .size = size };
	const store_reply_t reply = {
		.status = status,
		.era = shared_read->request
			       ? platform_era_parse(http_request_answer_header(
					 shared_read->request))
			       : 0,
		.body = &body,
	};
	struct waiter_list served = TAILQ_HEAD_INITIALIZER(served);
	waiter_t *waiter;

	shared_read->request = NULL;
	TAILQ_CONCAT(&served, &shared_read->served, entry);
	if (TAILQ_EMPTY(&shared_read->next)) {
		TAILQ_REMOVE(&shared_read->coalescer->reads, shared_read,
			     entry);
		free_shared_read(shared_read);
	} else {
		schedule_read(shared_read);
	}
	while ((waiter = TAILQ_FIRST(&served))) {
		TAILQ_REMOVE(&served, waiter, entry);
		waiter->done(waiter->context, &reply);
		free(waiter);
	}
	http_body_release(&body);
}

/*
 * Sends a read whose window has ended. If waiters are already assigned to a
 * read, it could not be sent, and they get status 0.
 */
static void on_window_end(evutil_socket_t fd, short what, void *context)
{
	shared_read_t *shared_read = context;

	(void)fd;
	(void)what;
	if (TAILQ_EMPTY(&shared_read->served))
		send_read(shared_read);
	else
		on_answer(shared_read, 0, "", 0);
}

static shared_read_t *add_shared_read(coalescer_t *coalescer,
				      const coalescer_read_t *read)
{
	shared_read_t *shared_read = calloc(1, sizeof(*shared_read));

	if (!shared_read)
		return NULL;
	shared_read->coalescer = coalescer;
	shared_read->timeout_ms = read->timeout_ms;
	shared_read->join_in_flight = read->join_in_flight;
	shared_read->wait_window = read->wait_window;
	TAILQ_INIT(&shared_read->served);
	TAILQ_INIT(&shared_read->next);
	shared_read->path = strdup(read->path);
	shared_read->window_timer =
		evtimer_new(coalescer->base, on_window_end, shared_read);
	if (shared_read->path && shared_read->window_timer) {
		TAILQ_INSERT_TAIL(&coalescer->reads, shared_read, entry);
		return shared_read;
	}
	free_shared_read(shared_read);
	return NULL;
}

/*
 * Requests a read. It is combined with an equal read that has not been sent
 * yet, or with one in progress if join_in_flight is set. done is called once,
 * from the event loop, with a status of 0 if there was no answer.
 * Returns STORE_OK, or STORE_ERROR_MEMORY, in which case done is not called.
 */
int coalescer_read(coalescer_t *coalescer, const coalescer_read_t *read,
		   store_forward_done_t done, void *context)
{
	shared_read_t *shared_read = find_shared_read(coalescer, read->path);
	waiter_t *waiter = malloc(sizeof(*waiter));
	bool first = !shared_read;

	if (waiter && !shared_read)
		shared_read = add_shared_read(coalescer, read);
	if (!waiter || !shared_read) {
		free(waiter);
		return STORE_ERROR_MEMORY;
	}
	*waiter = (waiter_t){ .done = done, .context = context };
	if (shared_read->join_in_flight && shared_read->request)
		TAILQ_INSERT_TAIL(&shared_read->served, waiter, entry);
	else
		TAILQ_INSERT_TAIL(&shared_read->next, waiter, entry);
	if (first)
		schedule_read(shared_read);
	return STORE_OK;
}

uint64_t coalescer_requests_sent(const coalescer_t *coalescer)
{
	return coalescer->sent;
}
