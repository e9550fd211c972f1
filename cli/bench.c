#include <stdio.h>

#include "cli.h"

/*
 * hornbeamtack bench
 */
int cli_bench(int argc, const char **argv)
{
	(void)argc;
	(void)argv;
	fprintf(stderr, "hornbeamtack bench: not built\n");
	return CLI_EXIT_USAGE;
}
