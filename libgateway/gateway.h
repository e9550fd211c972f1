#ifndef HORNBEAMTACK_GATEWAY_H
#define HORNBEAMTACK_GATEWAY_H

#include <event2/event.h>

#include "liblog/log.h"
#include "libsettings/settings.h"

/*
 * A proxy for callers whose session is a connection. Discovery of targets,
 * configuration and agreement between proxies go through the platform's store.
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
/* Starts to shut down: the readiness probe fails, sessions are ended once they
 * are idle, and the event loop is stopped when none is left or the grace period
 * is nearly over. */
void gateway_drain(gateway_t *gateway);
const char *gateway_error_text(int error);

#endif
