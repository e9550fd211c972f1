#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "libbench/bench.h"

#define DEFAULT_CALLERS "127.0.0.1:7100"

typedef struct {
	char *callers;
	char *services;
	char *history;
	char *check;
	char *insert;
	char *write;
	char *read;
	/* The values of --state, ended by NULL. */
	char **states;
	int duration_ms;
	int rate;
	int concurrency;
	int reads;
	int own_reads;
	int max_age_ms;
	int deadline_ms;
	long long requests;
	long long seed;
	int json;
} arguments_t;

static void print_report(const json_t *report, bool json)
{
	if (json) {
		json_dumpf(report, stdout,
			   JSON_INDENT(2) | JSON_REAL_PRECISION(6));
		putchar('\n');
	} else {
		bench_report_print(report, stdout);
	}
}

static void on_fault(void *context, bench_fault_t fault, const char *text)
{
	(void)context;
	fprintf(stderr, "fault=%s %s\n", bench_fault_text(fault), text);
}

/*
 * Adds the operations of a history, one line of JSON each, to a check. The path
 * "-" stands for standard input. Returns an exit code.
 */
static int read_history(bench_check_t *check, const char *path)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t size = 0;
	unsigned long number = 0;
	int code = CLI_EXIT_OK;

	if (!file) {
		fprintf(stderr, "hornbeamtack bench: %s: can't be read\n",
			path);
		return CLI_EXIT_USAGE;
	}
	while (code == CLI_EXIT_OK && getline(&line, &size, file) >= 0) {
		json_t *operation = json_loads(line, 0, NULL);
		int error;

		number++;
		error = operation ? bench_check_add_operation(check, operation)
				  : BENCH_ERROR_MALFORMED;
		if (error != BENCH_OK) {
			fprintf(stderr, "hornbeamtack bench: %s:%lu: %s\n",
				path, number, bench_error_text(error));
			code = CLI_EXIT_SETTINGS;
		}
	}
	free(line);
	if (file != stdin)
		fclose(file);
	return code;
}

/*
 * Adds the state of a target to a check. text is the value of --state, "FILE"
 * or "SERVICE=FILE". Returns an exit code.
 */
static int read_state(bench_check_t *check, const char *text)
{
	const char *equals = strchr(text, '=');
	const char *path = equals ? equals + 1 : text;
	char service[BENCH_NAME_SIZE] = "";
	json_t *state = json_load_file(path, 0, NULL);

	if (equals && (size_t)(equals - text) < sizeof(service))
		snprintf(service, sizeof(service), "%.*s", (int)(equals - text),
			 text);
	if (state && bench_check_add_state(check, service, state) == BENCH_OK)
		return CLI_EXIT_OK;
	fprintf(stderr,
		"hornbeamtack bench: %s: the state of a target "
		"expected\n",
		path);
	return CLI_EXIT_SETTINGS;
}

/*
 * Prints the result of a check: the number of operations and writes, and under
 * the name of each kind of fault how often the history shows it. Returns an
 * exit code, which tells whether there was a fault.
 */
static int report_check(const bench_check_result_t *result, bool json)
{
	json_t *report = json_pack(
		"{s:I, s:I, s:I}", "operations", (json_int_t)result->operations,
		"acknowledged_writes", (json_int_t)result->acknowledged_writes,
		"unsettled_writes", (json_int_t)result->unsettled_writes);
	uint64_t faults = 0;
	int i;

	for (i = 0; i < BENCH_FAULT_COUNT; i++) {
		faults += result->faults[i];
		json_object_set_new(
			report, bench_fault_text((bench_fault_t)i),
			json_integer((json_int_t)result->faults[i]));
	}
	print_report(report, json);
	json_decref(report);
	return faults == 0 ? CLI_EXIT_OK : CLI_EXIT_FAILED;
}

static int run_check(const arguments_t *arguments)
{
	bench_check_t *check = bench_check_new();
	bench_check_result_t result;
	size_t i;
	int error;
	int code;

	if (!check)
		return CLI_EXIT_FAILED;
	code = read_history(check, arguments->check);
	for (i = 0;
	     arguments->states && arguments->states[i] && code == CLI_EXIT_OK;
	     i++)
		code = read_state(check, arguments->states[i]);
	if (code == CLI_EXIT_OK) {
		error = bench_check_run(check, &result, on_fault, NULL);
		if (error == BENCH_OK) {
			code = report_check(&result, arguments->json != 0);
		} else {
			fprintf(stderr, "hornbeamtack bench: %s\n",
				bench_error_text(error));
			code = CLI_EXIT_FAILED;
		}
	}
	bench_check_free(check);
	return code;
}

static const char *text_or_default(const char *text, const char *other)
{
	return text ? text : other;
}

/*
 * Fills in the options of a load from the arguments. Returns an exit code.
 */
static int fill_options(const arguments_t *arguments, bench_options_t *options)
{
	*options = (bench_options_t){
		.duration_ms = arguments->duration_ms,
		.rate = (uint32_t)arguments->rate,
		.concurrency = (uint32_t)arguments->concurrency,
		.requests_max = (uint64_t)arguments->requests,
		.reads_percent = (uint32_t)arguments->reads,
		.own_reads_percent = (uint32_t)arguments->own_reads,
		.max_age_ms = arguments->max_age_ms,
		.deadline_ms = arguments->deadline_ms,
		.seed = (uint64_t)arguments->seed,
		.insert = text_or_default(arguments->insert, BENCH_INSERT),
		.write = text_or_default(arguments->write, BENCH_WRITE),
		.read = text_or_default(arguments->read, BENCH_READ),
	};
	if (!arguments->services ||
	    bench_options_services(options, arguments->services) != BENCH_OK) {
		fprintf(stderr, "hornbeamtack bench: --services: name[,name] "
				"expected\n");
		return CLI_EXIT_USAGE;
	}
	if (bench_options_proxies(options, text_or_default(arguments->callers,
							   DEFAULT_CALLERS)) !=
	    BENCH_OK) {
		fprintf(stderr, "hornbeamtack bench: --callers: "
				"ip:port[,ip:port] expected\n");
		return CLI_EXIT_USAGE;
	}
	return CLI_EXIT_OK;
}

static int run_load(const arguments_t *arguments)
{
	bench_options_t options;
	json_t *report;
	int code = fill_options(arguments, &options);
	int error;

	if (code != CLI_EXIT_OK)
		return code;
	if (arguments->history) {
		options.history = fopen(arguments->history, "w");
		if (!options.history) {
			fprintf(stderr,
				"hornbeamtack bench: %s: can't be written\n",
				arguments->history);
			return CLI_EXIT_USAGE;
		}
	}
	/* A proxy that stops closes its connections while requests are being
	 * written to them. */
	signal(SIGPIPE, SIG_IGN);
	error = bench_run(&options, &report);
	if (options.history && fclose(options.history) != 0) {
		fprintf(stderr, "hornbeamtack bench: %s: can't be written\n",
			arguments->history);
		code = CLI_EXIT_FAILED;
	}
	if (error != BENCH_OK) {
		fprintf(stderr, "hornbeamtack bench: %s\n",
			bench_error_text(error));
		return CLI_EXIT_USAGE;
	}
	print_report(report, arguments->json != 0);
	json_decref(report);
	return code;
}

static void arguments_free(arguments_t *arguments)
{
	size_t i;

	free(arguments->callers);
	free(arguments->services);
	free(arguments->history);
	free(arguments->check);
	free(arguments->insert);
	free(arguments->write);
	free(arguments->read);
	for (i = 0; arguments->states && arguments->states[i]; i++)
		free(arguments->states[i]);
	free(arguments->states);
}

static bool are_arguments_valid(const arguments_t *arguments)
{
	return arguments->duration_ms > 0 && arguments->rate >= 0 &&
	       arguments->concurrency > 0 &&
	       arguments->concurrency <= BENCH_CALLERS_MAX &&
	       arguments->reads >= 0 && arguments->reads <= 100 &&
	       arguments->own_reads >= 0 && arguments->own_reads <= 100 &&
	       arguments->max_age_ms >= BENCH_AGE_NONE &&
	       arguments->deadline_ms > 0 && arguments->requests >= 0;
}

/*
 * hornbeamtack bench --services NAME[,NAME] [OPTION...]
 * hornbeamtack bench --check FILE [--state [SERVICE=]FILE...]
 */
int cli_bench(int argc, const char **argv)
{
	arguments_t arguments = {
		.duration_ms = 5000,
		.concurrency = 16,
		.reads = 50,
		.max_age_ms = BENCH_AGE_NONE,
		.deadline_ms = 1000,
	};
	/* clang-format off */
	const struct poptOption options[] = {
		{ "callers", 'c', POPT_ARG_STRING, &arguments.callers, 0,
		  "callers' ports of the proxies, default " DEFAULT_CALLERS,
		  "IP:PORT,..." },
		{ "services", 's', POPT_ARG_STRING, &arguments.services, 0,
		  "services to which the load is sent", "NAME,..." },
		{ "duration-ms", 'd', POPT_ARG_INT, &arguments.duration_ms, 0,
		  "duration of the load, default 5000", "MS" },
		{ "rate", 'r', POPT_ARG_INT, &arguments.rate, 0,
		  "requests per second of an open loop; 0, the default: "
		  "closed loop", "COUNT" },
		{ "concurrency", 'n', POPT_ARG_INT, &arguments.concurrency, 0,
		  "callers of a closed loop; maximum requests in flight of an "
		  "open loop; default 16", "COUNT" },
		{ "requests", '\0', POPT_ARG_LONGLONG, &arguments.requests, 0,
		  "maximum number of statements, default none", "COUNT" },
		{ "reads", '\0', POPT_ARG_INT, &arguments.reads, 0,
		  "share of reads, default 50", "PERCENT" },
		{ "own-reads", '\0', POPT_ARG_INT, &arguments.own_reads, 0,
		  "share of writes followed by a read with the token through "
		  "another proxy, default 0", "PERCENT" },
		{ "max-age-ms", '\0', POPT_ARG_INT, &arguments.max_age_ms, 0,
		  "maximum age of the data that reads ask for, default none",
		  "MS" },
		{ "deadline-ms", '\0', POPT_ARG_INT, &arguments.deadline_ms, 0,
		  "deadline of a request, default 1000", "MS" },
		{ "seed", '\0', POPT_ARG_LONGLONG, &arguments.seed, 0,
		  "seed of the choice of services, proxies and records, "
		  "default 0", "NUMBER" },
		{ "statement-insert", '\0', POPT_ARG_STRING, &arguments.insert,
		  0, "text of the first write of a record, with %id and %value",
		  "TEXT" },
		{ "statement-write", '\0', POPT_ARG_STRING, &arguments.write, 0,
		  "text of further writes, with %id and %value", "TEXT" },
		{ "statement-read", '\0', POPT_ARG_STRING, &arguments.read, 0,
		  "text of reads, with %id", "TEXT" },
		{ "history", '\0', POPT_ARG_STRING, &arguments.history, 0,
		  "write a line of JSON for each operation", "FILE" },
		{ "check", '\0', POPT_ARG_STRING, &arguments.check, 0,
		  "send nothing; check a history", "FILE" },
		{ "state", '\0', POPT_ARG_ARGV, &arguments.states, 0,
		  "state of a target, the answer to GET /state; repeat it for "
		  "each target", "[SERVICE=]FILE" },
		{ "json", 'j', POPT_ARG_NONE, &arguments.json, 0, "print JSON",
		  NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	/* clang-format on */
	int code = CLI_EXIT_OK;
	poptContext context =
		cli_parse_options("bench", argc, argv, options, "", &code);

	if (!context) {
		arguments_free(&arguments);
		return code;
	}
	if (poptPeekArg(context) || !are_arguments_valid(&arguments)) {
		fprintf(stderr, "hornbeamtack bench: %s\n",
			poptPeekArg(context)
				? "no argument expected"
				: bench_error_text(BENCH_ERROR_OPTION));
		code = CLI_EXIT_USAGE;
	} else {
		code = arguments.check ? run_check(&arguments)
				       : run_load(&arguments);
	}
	poptFreeContext(context);
	arguments_free(&arguments);
	return code;
}
