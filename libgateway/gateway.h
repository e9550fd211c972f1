#ifndef HORNBEAMTACK_GATEWAY_H
#define HORNBEAMTACK_GATEWAY_H

#include <event2/event.h>

#include "liblog/log.h"
#include "libsettings/settings.h"

/*
 * A proxy for callers whose session is a connection: discovery, configuration
 * and agreement go through the platform's store.
 */
typedef struct gateway gateway_t;

enum {
	GATEWAY_OK = 0,
	GATEWAY_ERROR_MEMORY = -1,
	GATEWAY_ERROR_LISTEN = -2,
	GATEWAY_ERROR_SETTINGS = -3,
};

gateway_t *gateway_new(struct event_base *base, const settings_t *settings,
		       log_sink_t *log, int *error);
void gateway_free(gateway_t *gateway);
/* Leaves: refuses readiness, ends sessions and stops the loop. */
void gateway_drain(gateway_t *gateway);
const char *gateway_error_text(int error);

#endif
