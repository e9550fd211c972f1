#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#include "cli.h"
#include "libproxy/proxy.h"
#include "load.h"

/* Maximum number of file descriptors for anything but callers: connections to
 * targets and peers, and listeners. */
#define OTHER_DESCRIPTORS_MAX 1024

typedef struct {
	proxy_t *proxy;
	log_sink_t *log;
} serve_context_t;

static void on_signal(evutil_socket_t number, short what, void *context)
{
	serve_context_t *serve = context;

	(void)what;
	LOG_EVENT(serve->log, LOG_LEVEL_NOTICE, "signal",
		  LOG_SIGNED("number", number));
	proxy_drain(serve->proxy);
}

/*
 * Sets the limit of file descriptors so that it bounds the number of callers'
 * connections. Further connections wait in the kernel's queue and use no memory
 * of this process.
 */
static void set_descriptor_limit(const settings_t *settings)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = (rlim_t)settings->callers_max + OTHER_DESCRIPTORS_MAX;
	if (limit.rlim_max != RLIM_INFINITY && limit.rlim_cur > limit.rlim_max)
		limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run_proxy(struct event_base *base, const settings_t *settings,
		     log_sink_t *log)
{
	serve_context_t serve = { .log = log };
	struct event *terminate;
	struct event *interrupt;
	int error;

	serve.proxy = proxy_new(base, settings, log, &error);
	if (!serve.proxy) {
		LOG_EVENT(log, LOG_LEVEL_ERROR, "start-failed",
			  LOG_TEXT("error", proxy_error_text(error)));
		return CLI_EXIT_FAILED;
	}
	terminate = evsignal_new(base, SIGTERM, on_signal, &serve);
	interrupt = evsignal_new(base, SIGINT, on_signal, &serve);
	evsignal_add(terminate, NULL);
	evsignal_add(interrupt, NULL);
	cli_signals_unblock();
	LOG_EVENT(log, LOG_LEVEL_NOTICE, "started",
		  LOG_TEXT("version", CLI_VERSION),
		  LOG_TEXT("domain", settings->domain),
		  LOG_UNSIGNED("port", settings->caller.port));
	event_base_dispatch(base);
	event_free(terminate);
	event_free(interrupt);
	proxy_free(serve.proxy);
	return CLI_EXIT_OK;
}

static int serve_file(const char *path)
{
	struct event_base *base;
	settings_t settings;
	log_sink_t *log;
	int code = cli_load_settings(path, &settings);

	if (code != CLI_EXIT_OK)
		return code;
	set_descriptor_limit(&settings);
	base = event_base_new();
	log = log_sink_new(stderr, (log_level_t)settings.log_level,
			   settings.name);
	code = base && log ? run_proxy(base, &settings, log) : CLI_EXIT_FAILED;
	log_sink_free(log);
	if (base)
		event_base_free(base);
	return code;
}

/*
 * hornbeamtack serve FILE
 */
int cli_serve(int argc, const char **argv)
{
	return cli_run_file("serve", argc, argv, serve_file);
}
