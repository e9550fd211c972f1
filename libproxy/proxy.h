#ifndef HORNBEAMTACK_PROXY_H
#define HORNBEAMTACK_PROXY_H

#include <event2/event.h>

#include "liblog/log.h"
#include "libsettings/settings.h"

typedef struct proxy proxy_t;

enum {
	PROXY_OK = 0,
	PROXY_ERROR_MEMORY = -1,
	PROXY_ERROR_LISTEN = -2,
	PROXY_ERROR_SETTINGS = -3,
};

/* The event loop of base is ended with event_base_loopbreak() once a drain is
 * complete. */
proxy_t *proxy_new(struct event_base *base, const settings_t *settings,
		   log_sink_t *log, int *error);
void proxy_free(proxy_t *proxy);
void proxy_drain(proxy_t *proxy);
const char *proxy_error_text(int error);

#endif
