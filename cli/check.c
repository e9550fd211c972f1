#include <stdio.h>

#include "cli.h"
#include "libsettings/settings.h"
#include "load.h"

/*
 * Loads a settings file and prints every fault to standard error, as
 * "file:line: [section] key: text". Returns CLI_EXIT_OK, or CLI_EXIT_SETTINGS
 * if the file can't be read or has faults.
 */
int cli_load_settings(const char *path, settings_t *settings)
{
	settings_faults_t faults = { 0 };
	int error = settings_load(path, settings, &faults);
	size_t i;

	for (i = 0; i < faults.count; i++)
		fprintf(stderr, "%s:%u: [%s] %s: %s\n", path,
			faults.faults[i].line, faults.faults[i].section,
			faults.faults[i].key, faults.faults[i].text);
	if (error == SETTINGS_OK)
		return CLI_EXIT_OK;
	if (faults.count == 0)
		fprintf(stderr, "%s: %s\n", path, settings_error_text(error));
	return CLI_EXIT_SETTINGS;
}

static int check_file(const char *path)
{
	settings_t settings;
	int code = cli_load_settings(path, &settings);

	if (code == CLI_EXIT_OK)
		printf("%s: ok\n", path);
	return code;
}

/*
 * hornbeamtack check FILE
 */
int cli_check(int argc, const char **argv)
{
	return cli_run_file("check", argc, argv, check_file);
}
