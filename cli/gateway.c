#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#include "cli.h"
#include "libgateway/gateway.h"
#include "load.h"

typedef struct {
	gateway_t *gateway;
	log_sink_t *log;
	const char *path;
} run_context_t;

static void on_signal(evutil_socket_t number, short what, void *context)
{
	run_context_t *run = context;

	(void)what;
	LOG_EVENT(run->log, LOG_LEVEL_NOTICE, "signal",
		  LOG_SIGNED("number", number));
	gateway_drain(run->gateway);
}

/*
 * Checks the settings file again and logs the result. The settings of the
 * running process do not change; the check tells an operator about a faulty
 * file before the next start.
 */
static void on_reload(evutil_socket_t number, short what, void *context)
{
	run_context_t *run = context;
	settings_t settings;
	settings_faults_t faults;
	int error = settings_load(run->path, &settings, &faults);

	(void)number;
	(void)what;
	LOG_EVENT(run->log,
		  error == SETTINGS_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_ERROR,
		  "reload", LOG_TEXT("result", settings_error_text(error)));
}

static int run_gateway(struct event_base *base, const settings_t *settings,
		       log_sink_t *log, const char *path)
{
	run_context_t run = { .log = log, .path = path };
	struct event *terminate;
	struct event *interrupt;
	struct event *reload;
	int error;

	run.gateway = gateway_new(base, settings, log, &error);
	if (!run.gateway) {
		LOG_EVENT(log, LOG_LEVEL_ERROR, "start-failed",
			  LOG_TEXT("error", gateway_error_text(error)));
		return CLI_EXIT_FAILED;
	}
	terminate = evsignal_new(base, SIGTERM, on_signal, &run);
	interrupt = evsignal_new(base, SIGINT, on_signal, &run);
	reload = evsignal_new(base, SIGHUP, on_reload, &run);
	evsignal_add(terminate, NULL);
	evsignal_add(interrupt, NULL);
	evsignal_add(reload, NULL);
	cli_signals_unblock();
	LOG_EVENT(log, LOG_LEVEL_NOTICE, "started",
		  LOG_TEXT("version", CLI_VERSION),
		  LOG_TEXT("domain", settings->domain),
		  LOG_UNSIGNED("port", settings->caller.port));
	event_base_dispatch(base);
	event_free(terminate);
	event_free(interrupt);
	event_free(reload);
	gateway_free(run.gateway);
	return CLI_EXIT_OK;
}

/* Blocks of this size and more are returned to the system when they are freed.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

static int run_file(const char *path)
{
	struct event_base *base;
	settings_t settings;
	log_sink_t *log;
	int code = cli_load_settings(path, &settings);

	if (code != CLI_EXIT_OK)
		return code;
	/* By itself, malloc raises the threshold with the first large message
	 * and then keeps the memory of all later ones. */
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	base = event_base_new();
	log = log_sink_new(stdout, (log_level_t)settings.log_level,
			   settings.name);
	if (log)
		log_sink_limit_rate(log);
	code = base && log ? run_gateway(base, &settings, log, path)
			   : CLI_EXIT_FAILED;
	log_sink_free(log);
	if (base)
		event_base_free(base);
	return code;
}

/*
 * hornbeamtack gateway FILE
 */
int cli_gateway(int argc, const char **argv)
{
	return cli_run_file("gateway", argc, argv, run_file);
}
