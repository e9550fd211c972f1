#ifndef HORNBEAMTACK_CLI_LOAD_H
#define HORNBEAMTACK_CLI_LOAD_H

#include "libsettings/settings.h"

int cli_load_settings(const char *path, settings_t *settings);

#endif
