#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "platform_server.h"

/*
 * Stand-in for the platform in tests and the demo. It serves a key-value store
 * with the messages of the etcd v3 JSON gateway, and the list of instances. All
 * data is in memory only.
 */

static void stop(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(context);
}

/*
 * Serves until SIGTERM or SIGINT. Returns the exit status.
 */
static int serve(const char *listen_address, const char *control_address)
{
	struct event_base *base = require_memory(event_base_new());
	struct event *term =
		require_memory(evsignal_new(base, SIGTERM, stop, base));
	struct event *interrupt =
		require_memory(evsignal_new(base, SIGINT, stop, base));
	struct evhttp *control = NULL;
	server_t server;
	int status = 1;

	event_add(term, NULL);
	event_add(interrupt, NULL);
	if (!server_open(&server, base, listen_address)) {
		fprintf(stderr, "standin-platform: cannot listen on %s\n",
			listen_address);
	} else if (control_address &&
		   !(control = control_open(&server, control_address))) {
		fprintf(stderr, "standin-platform: cannot listen on %s\n",
			control_address);
	} else {
		event_base_dispatch(base);
		status = 0;
	}
	if (control)
		evhttp_free(control);
	server_close(&server);
	event_free(term);
	event_free(interrupt);
	event_base_free(base);
	return status;
}

int main(int argc, const char **argv)
{
	char *listen_address = NULL;
	char *control_address = NULL;
	struct poptOption options[] = {
		{ "listen", 0, POPT_ARG_STRING, &listen_address, 0,
		  "address of the key-value service and the instance list",
		  "IP:PORT" },
		{ "control", 0, POPT_ARG_STRING, &control_address, 0,
		  "address of the control port for tests", "IP:PORT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context =
		poptGetContext("standin-platform", argc, argv, options, 0);
	int result = poptGetNextOpt(context);
	int status = 2;

	signal(SIGPIPE, SIG_IGN);
	if (result < -1)
		fprintf(stderr, "standin-platform: %s: %s\n",
			poptBadOption(context, 0), poptStrerror(result));
	else if (!listen_address || poptPeekArg(context))
		poptPrintUsage(context, stderr, 0);
	else
		status = serve(listen_address, control_address);
	poptFreeContext(context);
	free(listen_address);
	free(control_address);
	return status;
}
