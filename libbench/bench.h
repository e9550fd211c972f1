#ifndef HORNBEAMTACK_BENCH_H
#define HORNBEAMTACK_BENCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "libclock/clock.h"

#define BENCH_PROXIES_MAX 64
#define BENCH_SERVICES_MAX 32
#define BENCH_NAME_SIZE 64
#define BENCH_ADDRESS_SIZE 64
#define BENCH_CALLERS_MAX 8192
#define BENCH_AGE_NONE (-1)

/* Texts for %id and %value that fit the default statements. */
#define BENCH_INSERT "INSERT INTO records VALUES ('%id', '%value')"
#define BENCH_WRITE "UPDATE records SET value = '%value' WHERE id = '%id'"
#define BENCH_READ "SELECT value FROM records WHERE id = '%id'"

typedef struct {
	char address[BENCH_ADDRESS_SIZE]; /* IP address */
	uint16_t port;
	char name[BENCH_ADDRESS_SIZE + 8]; /* "ip:port" for the history */
} bench_proxy_t;

typedef struct {
	bench_proxy_t proxies[BENCH_PROXIES_MAX];
	uint32_t proxy_count;
	char services[BENCH_SERVICES_MAX][BENCH_NAME_SIZE];
	uint32_t service_count;
	clock_ms_t duration_ms;
	/* Requests per second at even distances; 0: closed loop. */
	uint32_t rate;
	/* Callers of a closed loop; of an open loop, the bound on requests in
	 * flight. */
	uint32_t concurrency;
	/* Bound on statements; 0: only the duration limits them. */
	uint64_t requests_max;
	uint32_t reads_percent;
	uint32_t own_reads_percent;
	clock_ms_t max_age_ms; /* BENCH_AGE_NONE without one */
	clock_ms_t deadline_ms;
	uint64_t seed;
	const char *insert;
	const char *write;
	const char *read;
	FILE *history; /* NULL: none is written */
} bench_options_t;

enum {
	BENCH_OK = 0,
	BENCH_ERROR_MEMORY = -1,
	BENCH_ERROR_ADDRESS = -2,
	BENCH_ERROR_OPTION = -3,
	BENCH_ERROR_MALFORMED = -4,
	BENCH_ERROR_NO_PRIMARY = -5,
};

/* Parses "ip:port,ip:port" and "name,name" into the options. */
int bench_options_proxies(bench_options_t *options, const char *text);
int bench_options_services(bench_options_t *options, const char *text);
const char *bench_error_text(int error);

/* Sends the load; *report is a new reference to a JSON object. */
int bench_run(const bench_options_t *options, json_t **report);
/* Prints the numbers of a report as key=value lines. */
void bench_report_print(const json_t *report, FILE *out);

/* Checks a history against the state that the rightful primaries hold. */
typedef struct bench_check bench_check_t;

typedef enum {
	BENCH_FAULT_STALE_OWN_READ, /* R1 */
	BENCH_FAULT_LOST_WRITE, /* R2 */
	BENCH_FAULT_MIXED_ANSWER, /* R4 */
	BENCH_FAULT_NOT_RUN_RAN, /* R5 */
	BENCH_FAULT_RAN_TWICE, /* R6 */
	BENCH_FAULT_TOO_OLD, /* R11: the stated age is above the limit */
	BENCH_FAULT_AGE_UNTRUE, /* R11: the value is older than stated */
	BENCH_FAULT_COUNT,
} bench_fault_t;

typedef struct {
	uint64_t operations;
	uint64_t acknowledged_writes;
	/* Writes that were neither acknowledged nor refused, and so may have
	 * run or not. */
	uint64_t unsettled_writes;
	uint64_t faults[BENCH_FAULT_COUNT];
} bench_check_result_t;

/* Told of each fault; text names the operation. */
typedef void (*bench_fault_handler_t)(void *context, bench_fault_t fault,
				      const char *text);

bench_check_t *bench_check_new(void);
void bench_check_free(bench_check_t *check);
int bench_check_add_operation(bench_check_t *check, json_t *operation);
/* state is the answer of a target to GET /state. An empty service stands for
 * the only one of the history. */
int bench_check_add_state(bench_check_t *check, const char *service,
			  json_t *state);
int bench_check_run(bench_check_t *check, bench_check_result_t *result,
		    bench_fault_handler_t handler, void *context);
/* Returns the name of a fault, which is the key of its count in reports. */
const char *bench_fault_text(bench_fault_t fault);

#endif
