#ifndef HORNBEAMTACK_BENCH_INTERNAL_H
#define HORNBEAMTACK_BENCH_INTERNAL_H

#include <event2/event.h>

#include "bench.h"

#define BENCH_KEY_SIZE 96
#define BENCH_ID_SIZE 64
#define BENCH_VALUE_SIZE 128
#define BENCH_REASON_SIZE 48
#define BENCH_REASONS_MAX 48
/* Answer times are counted by the millisecond up to this one. */
#define BENCH_LATENCY_MAX_MS 60000

typedef enum {
	OPERATION_WRITE,
	OPERATION_READ,
	OPERATION_OWN_READ,
	OPERATION_OUTCOME,
} operation_kind_t;

typedef enum {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
} outcome_t;

/* One request and its answer. */
typedef struct {
	operation_kind_t kind;
	uint32_t caller;
	uint32_t service;
	uint32_t proxy;
	char id[BENCH_ID_SIZE];
	char key[BENCH_KEY_SIZE];
	/* Written, or of the caller's own acknowledged write. */
	char value[BENCH_VALUE_SIZE];
	uint64_t sequence;
	bool insert;
	const char *token; /* NULL: none is sent */
	clock_ms_t max_age_ms;
	clock_ms_t sent_ms;
	clock_ms_t answered_ms;

	outcome_t outcome;
	char reason[BENCH_REASON_SIZE];
	char served_by[16];
	char target[BENCH_NAME_SIZE];
	uint32_t term;
	uint64_t position_bytes;
	clock_ms_t age_ms; /* BENCH_AGE_NONE without one */
	json_t *rows;
	char *new_token;
} operation_t;

/* address.c */
const char *operation_kind_text(operation_kind_t kind);
const char *outcome_text(outcome_t outcome);

/* operation.c */
char *operation_body(const bench_options_t *options,
		     const operation_t *operation);
void operation_read_answer(operation_t *operation, int status, const char *body,
			   size_t length);
void operation_fail(operation_t *operation, outcome_t outcome,
		    const char *reason);
void operation_clear(operation_t *operation);
const char *operation_value_read(const operation_t *operation);
bool operation_mixed(const operation_t *operation);
bool operation_own_read_stale(const operation_t *operation);
bool value_sequence(const char *value, const char *id, uint64_t *sequence);

/* call.c: requests over connections that are kept for each proxy. */
typedef struct calls calls_t;
typedef void (*call_done_t)(void *context, operation_t *operation);

calls_t *calls_new(struct event_base *base, const bench_options_t *options);
void calls_free(calls_t *calls);
int calls_send(calls_t *calls, operation_t *operation, call_done_t done,
	       void *context);

/* history.c */
void history_write(FILE *file, const bench_options_t *options,
		   const operation_t *operation);

/* report.c */
typedef struct {
	uint64_t count;
	clock_ms_t max_ms;
	uint32_t buckets[BENCH_LATENCY_MAX_MS + 1];
} latency_t;

typedef struct {
	char text[BENCH_REASON_SIZE];
	uint64_t count;
} reason_t;

typedef struct {
	uint64_t done;
	uint64_t replica;
	uint64_t too_old;
	uint64_t without_age;
} reads_t;

typedef struct {
	clock_ms_t started_ms;
	clock_ms_t ended_ms;
	uint64_t sent;
	uint64_t not_sent;
	uint64_t done;
	uint64_t writes_done;
	/* Before ended_ms, which is 0 while load is sent. */
	uint64_t done_in_time;
	uint64_t writes_in_time;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t settled_done;
	uint64_t settled_not_run;
	uint64_t unsettled;
	uint64_t outcome_refused;
	uint64_t stale_own_reads;
	uint64_t mixed;
	reads_t polling;
	reads_t own;
	reason_t reasons[BENCH_REASONS_MAX];
	uint32_t reason_count;
	clock_ms_t last_write_ms[BENCH_SERVICES_MAX];
	clock_ms_t gap_ms[BENCH_SERVICES_MAX];
	latency_t reads_latency;
	latency_t writes_latency;
} stats_t;

void stats_count(stats_t *stats, const operation_t *operation);
void stats_end(stats_t *stats, const bench_options_t *options,
	       clock_ms_t now_ms);
json_t *stats_report(const stats_t *stats, const bench_options_t *options);

#endif
