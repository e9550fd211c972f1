#ifndef HORNBEAMTACK_CLI_H
#define HORNBEAMTACK_CLI_H

#include <popt.h>
#include <stdbool.h>

#define CLI_VERSION "0.1.0"

/* Exit codes, as listed in the man page. */
enum {
	CLI_EXIT_OK = 0,
	CLI_EXIT_FAILED = 1,
	CLI_EXIT_USAGE = 2,
	CLI_EXIT_SETTINGS = 3,
	CLI_EXIT_UNREACHABLE = 4,
	CLI_EXIT_CONFLICT = 5,
	CLI_EXIT_UNKNOWN = 6,
};

int cli_serve(int argc, const char **argv);
int cli_gateway(int argc, const char **argv);
int cli_check(int argc, const char **argv);
int cli_config(int argc, const char **argv);
int cli_status(int argc, const char **argv);
int cli_drain(int argc, const char **argv);
int cli_bench(int argc, const char **argv);

/* Lets SIGTERM, SIGINT and SIGHUP through, which are blocked at first. */
void cli_signals_unblock(void);

/* Parses the options of a command. Returns the context, or NULL with the exit
 * code in *code after an error. */
poptContext cli_parse_options(const char *name, int argc, const char **argv,
			      const struct poptOption *options,
			      const char *arguments, int *code);

/* Runs a command whose only argument is a file. Returns its exit code. */
int cli_run_file(const char *name, int argc, const char **argv,
		 int (*run)(const char *path));

#endif
