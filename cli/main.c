#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"

typedef struct {
	const char *name;
	int (*run)(int argc, const char **argv);
	const char *help;
	/* The command handles the signals of cli_signals_unblock() and calls it
	 * once it does. */
	bool handles_signals;
} command_t;

static int cli_version(int argc, const char **argv);

static const command_t commands[] = {
	{ "serve", cli_serve, "run a proxy", true },
	{ "gateway", cli_gateway, "run a proxy on the platform", true },
	{ "check", cli_check, "check a settings file" },
	{ "config", cli_config, "read and change the configuration" },
	{ "status", cli_status, "show the state of a proxy" },
	{ "drain", cli_drain, "take a proxy out of service" },
	{ "bench", cli_bench, "send load to proxies and report the results" },
	{ "version", cli_version, "print the version" },
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static int cli_version(int argc, const char **argv)
{
	(void)argc;
	(void)argv;
	printf("hornbeamtack %s\n", CLI_VERSION);
	return CLI_EXIT_OK;
}

static void print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "Usage: hornbeamtack COMMAND [OPTION...]\n\n");
	for (i = 0; i < COMMANDS; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	fprintf(out, "\nUse hornbeamtack COMMAND --help for the options of a "
		     "command.\n");
}

/*
 * Parses the options of a command with popt; --help prints the options and ends
 * the process. Returns the context, which contains the remaining arguments and
 * which the caller frees. After an error, prints a message and returns NULL
 * with the exit code in *code.
 */
poptContext cli_parse_options(const char *name, int argc, const char **argv,
			      const struct poptOption *options,
			      const char *arguments, int *code)
{
	poptContext context = poptGetContext(name, argc, argv, options, 0);
	char usage[128];
	int result;

	snprintf(usage, sizeof(usage), "[OPTION...] %s", arguments);
	poptSetOtherOptionHelp(context, usage);
	result = poptGetNextOpt(context);
	if (result == -1)
		return context;
	fprintf(stderr, "hornbeamtack %s: %s: %s\n", name,
		poptBadOption(context, POPT_BADOPTION_NOALIAS),
		poptStrerror(result));
	poptFreeContext(context);
	*code = CLI_EXIT_USAGE;
	return NULL;
}

/*
 * Runs a command whose only argument is FILE by calling run with it. Returns
 * the result of run, or CLI_EXIT_USAGE if the arguments are wrong.
 */
int cli_run_file(const char *name, int argc, const char **argv,
		 int (*run)(const char *path))
{
	const struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	const char *path;
	int code = CLI_EXIT_OK;
	poptContext context =
		cli_parse_options(name, argc, argv, options, "FILE", &code);

	if (!context)
		return code;
	path = poptGetArg(context);
	if (path) {
		code = run(path);
	} else {
		fprintf(stderr, "hornbeamtack %s: FILE expected\n", name);
		code = CLI_EXIT_USAGE;
	}
	poptFreeContext(context);
	return code;
}

/*
 * Blocks or unblocks the signals that a running proxy handles.
 */
static void change_signal_mask(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(how, &signals, NULL);
}

/*
 * Lets SIGTERM, SIGINT and SIGHUP through. They are blocked from the start of
 * the process on, so that one that comes before its handler is installed does
 * not end the process but is handled then.
 */
void cli_signals_unblock(void)
{
	change_signal_mask(SIG_UNBLOCK);
}

int main(int argc, const char **argv)
{
	size_t i;

	change_signal_mask(SIG_BLOCK);

	/* A write to a connection that the peer has closed must return an error
	 * instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	if (argc < 2) {
		print_usage(stderr);
		return CLI_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-?") == 0) {
		print_usage(stdout);
		return CLI_EXIT_OK;
	}
	for (i = 0; i < COMMANDS; i++) {
		if (strcmp(argv[1], commands[i].name) != 0)
			continue;
		if (!commands[i].handles_signals)
			cli_signals_unblock();
		return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "hornbeamtack: unknown command %s\n", argv[1]);
	print_usage(stderr);
	return CLI_EXIT_USAGE;
}
