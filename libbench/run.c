#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "internal.h"

/* Arrivals of an open loop are sent by a tick of this length. */
#define TICK_MS 1
/* Wait of a closed-loop caller after a refusal, so that it doesn't spin. */
#define REFUSED_WAIT_MS 10
/* An unknown write is asked for this often and this many times; all unknowns
 * are given up SETTLE_MS after the load ended. */
#define OUTCOME_WAIT_MS 100
#define OUTCOME_TRIES_MAX 100
#define SETTLE_MS 5000

/* The record of one caller in one service. Only its caller writes it, one write
 * after another, so that the sequence numbers are in the order of the log. */
typedef struct {
	bool exists;
	bool listed;
	uint32_t generation;
	uint64_t sequence;
} record_t;

typedef struct caller {
	struct bench *bench;
	struct caller *next_free;
	uint32_t index;
	bool active;
	bool sending;
	uint32_t tries;
	char *token;
	struct event *timer;
	operation_t operation;
	record_t *records;
} caller_t;

typedef struct bench {
	const bench_options_t *options;
	struct event_base *base;
	clock_source_t clock;
	calls_t *calls;
	stats_t *stats;
	struct event *tick;
	caller_t *callers;
	caller_t *free_callers;
	/* Callers whose record exists, by service. */
	uint32_t *readable[BENCH_SERVICES_MAX];
	uint32_t readable_count[BENCH_SERVICES_MAX];
	uint32_t active;
	uint64_t arrivals;
	unsigned short random[3];
	uint32_t run;
	bool ended;
} bench_t;

static void on_answer(void *context, operation_t *operation);

static uint32_t random_below(bench_t *bench, uint32_t bound)
{
	return bound > 1 ? (uint32_t)nrand48(bench->random) % bound : 0;
}

static uint32_t other_proxy(bench_t *bench, uint32_t proxy)
{
	uint32_t count = bench->options->proxy_count;

	if (count < 2)
		return proxy;
	return (proxy + 1 + random_below(bench, count - 1)) % count;
}

/*
 * Makes the id of a record. It names the service, so that an answer of another
 * service's group is seen as mixed.
 */
static void make_id(const bench_t *bench, uint32_t caller, uint32_t service,
		    char *id)
{
	const record_t *record = &bench->callers[caller].records[service];

	snprintf(id, BENCH_ID_SIZE,
		 "%08" PRIx32 "-%" PRIu32 "-%" PRIu32 "-%" PRIu32, bench->run,
		 service, caller, record->generation);
}

/*
 * Ends the chain of requests of a caller.
 */
static void caller_end(caller_t *caller)
{
	bench_t *bench = caller->bench;
	struct timeval wait = { 0 };

	operation_clear(&caller->operation);
	caller->active = false;
	bench->active--;
	if (bench->ended) {
		if (bench->active == 0)
			event_base_loopbreak(bench->base);
	} else if (bench->options->rate > 0) {
		caller->next_free = bench->free_callers;
		bench->free_callers = caller;
	} else {
		if (caller->operation.outcome != OUTCOME_DONE)
			wait.tv_usec = REFUSED_WAIT_MS * 1000L;
		evtimer_add(caller->timer, &wait);
	}
}

static void caller_send(caller_t *caller)
{
	bench_t *bench = caller->bench;
	operation_t *operation = &caller->operation;

	operation_clear(operation);
	operation->caller = caller->index;
	operation->term = 0;
	operation->position_bytes = 0;
	operation->age_ms = BENCH_AGE_NONE;
	operation->reason[0] = '\0';
	operation->served_by[0] = '\0';
	operation->target[0] = '\0';
	if (operation->kind != OPERATION_OUTCOME)
		bench->stats->sent++;
	caller->sending = true;
	if (calls_send(bench->calls, operation, on_answer, caller) !=
	    BENCH_OK) {
		caller->sending = false;
		operation_fail(operation, OUTCOME_NOT_RUN, "bench-no-memory");
		stats_count(bench->stats, operation);
		caller_end(caller);
	}
}

static void start_write(caller_t *caller, uint32_t service)
{
	operation_t *operation = &caller->operation;
	record_t *record = &caller->records[service];

	operation->kind = OPERATION_WRITE;
	operation->insert = !record->exists;
	operation->sequence = ++record->sequence;
	operation->token = caller->token;
	operation->max_age_ms = BENCH_AGE_NONE;
	make_id(caller->bench, caller->index, service, operation->id);
	snprintf(operation->key, sizeof(operation->key), "%s.%" PRIu64,
		 operation->id, operation->sequence);
	snprintf(operation->value, sizeof(operation->value),
		 "%s:%" PRIu64 ":%" PRIu32, operation->id, operation->sequence,
		 caller->index);
	caller_send(caller);
}

/*
 * Starts a read of any record without a token. Returns false if the service has
 * no record yet.
 */
static bool start_read(caller_t *caller, uint32_t service)
{
	bench_t *bench = caller->bench;
	operation_t *operation = &caller->operation;
	uint32_t count = bench->readable_count[service];
	uint32_t owner;

	if (count == 0)
		return false;
	owner = bench->readable[service][random_below(bench, count)];
	if (!bench->callers[owner].records[service].exists)
		return false;
	operation->kind = OPERATION_READ;
	operation->token = NULL;
	operation->max_age_ms = bench->options->max_age_ms;
	operation->value[0] = '\0';
	make_id(bench, owner, service, operation->id);
	caller_send(caller);
	return true;
}

static void caller_begin(caller_t *caller)
{
	bench_t *bench = caller->bench;
	const bench_options_t *options = bench->options;
	uint32_t service = random_below(bench, options->service_count);
	bool read = random_below(bench, 100) < options->reads_percent;

	caller->active = true;
	bench->active++;
	bench->arrivals++;
	caller->operation.service = service;
	caller->operation.proxy = random_below(bench, options->proxy_count);
	if (!read || !start_read(caller, service))
		start_write(caller, service);
}

static void take_token(caller_t *caller)
{
	if (!caller->operation.new_token)
		return;
	free(caller->token);
	caller->token = caller->operation.new_token;
	caller->operation.new_token = NULL;
}

/*
 * Reads the caller's own acknowledged write through another proxy.
 */
static void start_own_read(caller_t *caller)
{
	operation_t *operation = &caller->operation;

	operation->kind = OPERATION_OWN_READ;
	operation->token = caller->token;
	operation->proxy = other_proxy(caller->bench, operation->proxy);
	caller_send(caller);
}

static void record_written(caller_t *caller)
{
	bench_t *bench = caller->bench;
	uint32_t service = caller->operation.service;
	record_t *record = &caller->records[service];

	record->exists = true;
	if (record->listed)
		return;
	record->listed = true;
	bench->readable[service][bench->readable_count[service]++] =
		caller->index;
}

static void ask_outcome(caller_t *caller, clock_ms_t wait_ms)
{
	struct timeval wait = { .tv_sec = wait_ms / 1000,
				.tv_usec = wait_ms % 1000 * 1000 };

	caller->operation.kind = OPERATION_OUTCOME;
	caller->operation.token = caller->token;
	evtimer_add(caller->timer, &wait);
}

/*
 * Gives an unknown write up. Its record is not used again, because the write
 * could still come after a later one.
 */
static void give_up(caller_t *caller)
{
	record_t *record = &caller->records[caller->operation.service];

	caller->bench->stats->unsettled++;
	record->exists = false;
	record->generation++;
	caller_end(caller);
}

static void handle_write(caller_t *caller)
{
	bench_t *bench = caller->bench;

	switch (caller->operation.outcome) {
	case OUTCOME_DONE:
		take_token(caller);
		record_written(caller);
		if (!bench->ended && random_below(bench, 100) <
					     bench->options->own_reads_percent)
			start_own_read(caller);
		else
			caller_end(caller);
		break;
	case OUTCOME_NOT_RUN:
		caller_end(caller);
		break;
	case OUTCOME_UNKNOWN:
		caller->tries = 0;
		ask_outcome(caller, 0);
		break;
	}
}

/*
 * The write is settled by "done", and by "not-run" because the key was
 * cancelled. Any other refusal is one of the outcome request itself.
 */
static void handle_outcome(caller_t *caller)
{
	bench_t *bench = caller->bench;
	operation_t *operation = &caller->operation;

	if (operation->outcome == OUTCOME_DONE) {
		bench->stats->settled_done++;
		take_token(caller);
		record_written(caller);
		caller_end(caller);
	} else if (operation->outcome == OUTCOME_NOT_RUN &&
		   strcmp(operation->reason, "cancelled") == 0) {
		bench->stats->settled_not_run++;
		caller_end(caller);
	} else if (++caller->tries == OUTCOME_TRIES_MAX) {
		give_up(caller);
	} else {
		bench->stats->outcome_refused++;
		operation->proxy = other_proxy(bench, operation->proxy);
		ask_outcome(caller, OUTCOME_WAIT_MS);
	}
}

static void on_answer(void *context, operation_t *operation)
{
	caller_t *caller = context;
	bench_t *bench = caller->bench;

	caller->sending = false;
	stats_count(bench->stats, operation);
	if (bench->options->history)
		history_write(bench->options->history, bench->options,
			      operation);
	switch (operation->kind) {
	case OPERATION_WRITE:
		handle_write(caller);
		break;
	case OPERATION_READ:
	case OPERATION_OWN_READ:
		caller_end(caller);
		break;
	case OPERATION_OUTCOME:
		handle_outcome(caller);
		break;
	}
}

static void on_caller_timer(evutil_socket_t fd, short what, void *context)
{
	caller_t *caller = context;

	(void)fd;
	(void)what;
	if (caller->active)
		caller_send(caller);
	else if (!caller->bench->ended)
		caller_begin(caller);
}

static bool is_over(const bench_t *bench, clock_ms_t now_ms)
{
	const bench_options_t *options = bench->options;

	return now_ms - bench->stats->started_ms >= options->duration_ms ||
	       (options->requests_max > 0 &&
		bench->stats->sent >= options->requests_max);
}

/*
 * Sends what is due by the schedule. What finds no free caller is not sent.
 */
static void send_due(bench_t *bench, clock_ms_t now_ms)
{
	const bench_options_t *options = bench->options;
	uint64_t due = (uint64_t)(now_ms - bench->stats->started_ms) *
		       options->rate / 1000;

	while (bench->arrivals + bench->stats->not_sent < due &&
	       !is_over(bench, now_ms)) {
		caller_t *caller = bench->free_callers;

		if (!caller) {
			bench->stats->not_sent++;
			continue;
		}
		bench->free_callers = caller->next_free;
		caller_begin(caller);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	bench_t *bench = context;
	clock_ms_t now_ms = clock_source_now(&bench->clock);
	struct timeval settle = { .tv_sec = SETTLE_MS / 1000 };

	(void)fd;
	(void)what;
	if (bench->options->rate > 0)
		send_due(bench, now_ms);
	if (!is_over(bench, now_ms))
		return;
	bench->ended = true;
	stats_end(bench->stats, bench->options, now_ms);
	event_del(bench->tick);
	settle.tv_sec += bench->options->deadline_ms / 1000;
	if (bench->active == 0)
		event_base_loopbreak(bench->base);
	else
		event_base_loopexit(bench->base, &settle);
}

/*
 * Counts and records the requests that were cut off at the end.
 */
static void cut_off(bench_t *bench)
{
	uint32_t i;

	for (i = 0; i < bench->options->concurrency; i++) {
		caller_t *caller = &bench->callers[i];
		operation_t *operation = &caller->operation;

		if (!caller->active)
			continue;
		if (operation->kind == OPERATION_OUTCOME ||
		    operation->kind == OPERATION_WRITE)
			bench->stats->unsettled++;
		if (!caller->sending)
			continue;
		operation->answered_ms = clock_source_now(&bench->clock);
		operation_fail(operation, OUTCOME_UNKNOWN, "cut-off");
		stats_count(bench->stats, operation);
		if (bench->options->history)
			history_write(bench->options->history, bench->options,
				      operation);
	}
}

static bool callers_new(bench_t *bench)
{
	uint32_t count = bench->options->concurrency;
	uint32_t i;

	bench->callers = calloc(count, sizeof(*bench->callers));
	if (!bench->callers)
		return false;
	for (i = count; i-- > 0;) {
		caller_t *caller = &bench->callers[i];

		caller->bench = bench;
		caller->index = i;
		caller->timer =
			evtimer_new(bench->base, on_caller_timer, caller);
		caller->records = calloc(bench->options->service_count,
					 sizeof(*caller->records));
		if (!caller->timer || !caller->records)
			return false;
		caller->next_free = bench->free_callers;
		bench->free_callers = caller;
	}
	for (i = 0; i < bench->options->service_count; i++) {
		bench->readable[i] = calloc(count, sizeof(*bench->readable[i]));
		if (!bench->readable[i])
			return false;
	}
	return true;
}

static void bench_free(bench_t *bench)
{
	uint32_t i;

	calls_free(bench->calls);
	for (i = 0; bench->callers && i < bench->options->concurrency; i++) {
		caller_t *caller = &bench->callers[i];

		operation_clear(&caller->operation);
		if (caller->timer)
			event_free(caller->timer);
		free(caller->token);
		free(caller->records);
	}
	free(bench->callers);
	for (i = 0; i < BENCH_SERVICES_MAX; i++)
		free(bench->readable[i]);
	if (bench->tick)
		event_free(bench->tick);
	if (bench->base)
		event_base_free(bench->base);
	free(bench->stats);
}

static bool bench_new(bench_t *bench, const bench_options_t *options)
{
	struct timeval tick = { .tv_usec = TICK_MS * 1000L };

	bench->options = options;
	bench->clock = clock_source_boot();
	bench->random[0] = (unsigned short)options->seed;
	bench->random[1] = (unsigned short)(options->seed >> 16);
	bench->random[2] = (unsigned short)(options->seed >> 32);
	bench->base = event_base_new();
	bench->stats = calloc(1, sizeof(*bench->stats));
	if (!bench->base || !bench->stats || !callers_new(bench))
		return false;
	bench->calls = calls_new(bench->base, options);
	bench->tick = event_new(bench->base, -1, EV_PERSIST, on_tick, bench);
	/* The run is part of every id and key: the keys of an earlier run with
	 * the same seed are recorded and must not be met again. */
	return bench->calls && bench->tick &&
	       getentropy(&bench->run, sizeof(bench->run)) == 0 &&
	       event_add(bench->tick, &tick) == 0;
}

static bool options_valid(const bench_options_t *options)
{
	return options->proxy_count > 0 && options->service_count > 0 &&
	       options->duration_ms > 0 && options->deadline_ms > 0 &&
	       options->concurrency > 0 &&
	       options->concurrency <= BENCH_CALLERS_MAX &&
	       options->reads_percent <= 100 &&
	       options->own_reads_percent <= 100;
}

/*
 * Sends the load and waits for the outcomes. It takes duration_ms, and
 * deadline_ms and a few seconds more if unknown writes must be settled.
 *
 * Returns BENCH_OK, BENCH_ERROR_OPTION or BENCH_ERROR_MEMORY.
 */
int bench_run(const bench_options_t *options, json_t **report)
{
	bench_t bench = { 0 };
	uint32_t i;

	*report = NULL;
	if (!options_valid(options))
		return BENCH_ERROR_OPTION;
	if (!bench_new(&bench, options)) {
		bench_free(&bench);
		return BENCH_ERROR_MEMORY;
	}
	bench.stats->started_ms = clock_source_now(&bench.clock);
	for (i = 0; i < options->service_count; i++)
		bench.stats->last_write_ms[i] = bench.stats->started_ms;
	for (i = 0; options->rate == 0 && i < options->concurrency; i++)
		caller_begin(&bench.callers[i]);
	event_base_dispatch(bench.base);
	cut_off(&bench);
	*report = stats_report(bench.stats, options);
	bench_free(&bench);
	return *report ? BENCH_OK : BENCH_ERROR_MEMORY;
}
