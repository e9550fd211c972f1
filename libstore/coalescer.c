#include "coalescer.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

typedef struct waiter {
	TAILQ_ENTRY(waiter) entry;
	store_forward_done_t done;
	void *context;
} waiter_t;

TAILQ_HEAD(waiter_list, waiter);

/* One path with those that have asked for it. */
typedef struct running {
	TAILQ_ENTRY(running) entry;
	coalescer_t *coalescer;
	char *path;
	clock_ms_t timeout_ms;
	bool joins;
	bool holds;
	/* Served by the read that is on its way, and by the next one. */
	struct waiter_list served;
	struct waiter_list next;
	http_request_t *request;
	struct event *hold;
} shared_read_t;

struct coalescer {
	struct event_base *base;
	store_endpoint_t endpoint;
	size_t answer_max_bytes;
	uint64_t sent;
	TAILQ_HEAD(, running) reads;
};

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
 * Frees a read that its share no longer lists.
 */
static void free_running(shared_read_t *running)
{
	if (running->request)
		http_request_cancel(running->request);
	if (running->hold)
		event_free(running->hold);
	free_waiters(&running->served);
	free_waiters(&running->next);
	free(running->path);
	free(running);
}

void coalescer_free(coalescer_t *coalescer)
{
	shared_read_t *running;
	shared_read_t *next;

	if (!coalescer)
		return;
	for (running = TAILQ_FIRST(&coalescer->reads); running;
	     running = next) {
		next = TAILQ_NEXT(running, entry);
		free_running(running);
	}
	free(coalescer);
}

static shared_read_t *find_running(const coalescer_t *coalescer,
				   const char *path)
{
	shared_read_t *running;

	TAILQ_FOREACH(running, &coalescer->reads, entry) {
		if (strcmp(running->path, path) == 0)
			return running;
	}
	return NULL;
}

static void on_answer(void *context, int status, const char *text, size_t size);

static void send_read(shared_read_t *running)
{
	coalescer_t *coalescer = running->coalescer;
	const http_request_options_t options = {
		.address = coalescer->endpoint.address,
		.port = coalescer->endpoint.port,
		.method = HTTP_METHOD_GET,
		.path = running->path,
		.timeout_ms = running->timeout_ms,
		.answer_max_bytes = coalescer->answer_max_bytes,
	};

	TAILQ_CONCAT(&running->served, &running->next, entry);
	coalescer->sent++;
	running->request = http_request_send(coalescer->base, &options,
					     on_answer, running);
	/* Without memory there is no answer; the timer tells those that wait.
	 */
	if (!running->request)
		event_active(running->hold, EV_TIMEOUT, 0);
}

/*
 * Sends a read after the time for others to join it, or at once.
 */
static void schedule_read(shared_read_t *running)
{
	const struct timeval hold = { .tv_usec = COALESCER_WINDOW_MS * 1000 };

	if (running->holds)
		evtimer_add(running->hold, &hold);
	else
		send_read(running);
}

/*
 * Answers those that a read serves. Their callbacks may ask for the same path
 * again.
 */
static void on_answer(void *context, int status, const char *text, size_t size)
{
	shared_read_t *running = context;
	http_body_t body = { .text = text, .size = size };
	struct waiter_list served = TAILQ_HEAD_INITIALIZER(served);
	waiter_t *waiter;

	running->request = NULL;
	TAILQ_CONCAT(&served, &running->served, entry);
	if (TAILQ_EMPTY(&running->next)) {
		TAILQ_REMOVE(&running->coalescer->reads, running, entry);
		free_running(running);
	} else {
		schedule_read(running);
	}
	while ((waiter = TAILQ_FIRST(&served))) {
		TAILQ_REMOVE(&served, waiter, entry);
		waiter->done(waiter->context, status, &body);
		free(waiter);
	}
	http_body_release(&body);
}

static void on_hold(evutil_socket_t fd, short what, void *context)
{
	shared_read_t *running = context;

	(void)fd;
	(void)what;
	if (TAILQ_EMPTY(&running->served))
		send_read(running);
	else
		on_answer(running, 0, "", 0);
}

static shared_read_t *add_running(coalescer_t *coalescer,
				  const coalescer_read_t *read)
{
	shared_read_t *running = calloc(1, sizeof(*running));

	if (!running)
		return NULL;
	running->coalescer = coalescer;
	running->timeout_ms = read->timeout_ms;
	running->joins = read->joins;
	running->holds = read->holds;
	TAILQ_INIT(&running->served);
	TAILQ_INIT(&running->next);
	running->path = strdup(read->path);
	running->hold = evtimer_new(coalescer->base, on_hold, running);
	if (running->path && running->hold) {
		TAILQ_INSERT_TAIL(&coalescer->reads, running, entry);
		return running;
	}
	free_running(running);
	return NULL;
}

/*
 * Asks for a read. One that is equal and not yet sent, or a watch that is
 * running, serves this asker as well. done is called once, from the loop, with
 * the HTTP status, 0 without an answer. Returns STORE_OK, or STORE_ERROR_MEMORY
 * without a callback.
 */
int coalescer_read(coalescer_t *coalescer, const coalescer_read_t *read,
		   store_forward_done_t done, void *context)
{
	shared_read_t *running = find_running(coalescer, read->path);
	waiter_t *waiter = malloc(sizeof(*waiter));
	bool first = !running;

	if (waiter && !running)
		running = add_running(coalescer, read);
	if (!waiter || !running) {
		free(waiter);
		return STORE_ERROR_MEMORY;
	}
	*waiter = (waiter_t){ .done = done, .context = context };
	if (running->joins && running->request)
		TAILQ_INSERT_TAIL(&running->served, waiter, entry);
	else
		TAILQ_INSERT_TAIL(&running->next, waiter, entry);
	if (first)
		schedule_read(running);
	return STORE_OK;
}

uint64_t coalescer_requests_sent(const coalescer_t *coalescer)
{
	return coalescer->sent;
}
