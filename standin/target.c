#include "standin/target.h"

#include <event2/listener.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	char *name;
	char *listen;
	char *group;
	char *control;
	int primary;
	int connections;
	int lag_ms;
	int service_ms;
} options_t;

/*
 * Reads the command line. If it is wrong, prints a message and returns false.
 */
static bool read_options(int argc, const char **argv, options_t *options)
{
	const struct poptOption table[] = {
		{ "name", '\0', POPT_ARG_STRING, &options->name, 0,
		  "name of this target", "NAME" },
		{ "listen", '\0', POPT_ARG_STRING, &options->listen, 0,
		  "address for clients and replicas", "IP:PORT" },
		{ "group", '\0', POPT_ARG_STRING, &options->group, 0,
		  "all targets of the group", "NAME=IP:PORT,..." },
		{ "control", '\0', POPT_ARG_STRING, &options->control, 0,
		  "address for faults and state", "IP:PORT" },
		{ "primary", '\0', POPT_ARG_NONE, &options->primary, 0,
		  "be the primary of term 1", NULL },
		{ "connections", '\0', POPT_ARG_INT, &options->connections, 0,
		  "limit of client connections", "COUNT" },
		{ "lag-ms", '\0', POPT_ARG_INT, &options->lag_ms, 0,
		  "delay of the replication to this target", "MS" },
		{ "service-ms", '\0', POPT_ARG_INT, &options->service_ms, 0,
		  "time that a statement takes", "MS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context =
		poptGetContext("standin-target", argc, argv, table, 0);
	int error = poptGetNextOpt(context);
	bool valid = true;

	if (error < -1) {
		fprintf(stderr, "standin-target: %s: %s\n",
			poptBadOption(context, 0), poptStrerror(error));
		valid = false;
	} else if (!options->name || !options->listen || !options->group) {
		fprintf(stderr, "standin-target: --name, --listen and --group "
				"are needed\n");
		valid = false;
	}
	poptFreeContext(context);
	return valid;
}

/*
 * Parses the members of the group from "name=ip:port,name=ip:port". Returns
 * false if the text is malformed or has too many members.
 */
static bool read_group(standin_t *standin, const char *text)
{
	while (*text != '\0') {
		member_t *member = &standin->members[standin->member_count];
		size_t length = strcspn(text, ",");
		char entry[128];
		char *equals;

		if (standin->member_count == GROUP_TARGETS_MAX ||
		    length >= sizeof(entry))
			return false;
		memcpy(entry, text, length);
		entry[length] = '\0';
		equals = strchr(entry, '=');
		if (!equals)
			return false;
		*equals = '\0';
		member->address_length = sizeof(member->address);
		if (evutil_parse_sockaddr_port(
			    equals + 1, (struct sockaddr *)&member->address,
			    &member->address_length) != 0)
			return false;
		snprintf(member->name, sizeof(member->name), "%.*s",
			 GROUP_NAME_SIZE - 1, entry);
		standin->member_count++;
		text += length + (text[length] == ',');
	}
	return standin->member_count > 0;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int address_length,
		      void *context)
{
	(void)listener;
	(void)address;
	(void)address_length;
	if (!session_new(context, fd))
		evutil_closesocket(fd);
}

static void on_signal(evutil_socket_t fd, short events, void *context)
{
	(void)fd;
	(void)events;
	event_base_loopbreak(context);
}

/*
 * Makes the target the primary of term 1, or a replica that looks for the
 * primary. Returns false without memory.
 */
static bool start_role(standin_t *standin, bool primary)
{
	standin->promised_term = 1;
	standin->role_term = 1;
	if (!primary) {
		standin->role = GROUP_ROLE_REPLICA;
		return replica_start(standin);
	}
	standin->role = GROUP_ROLE_PRIMARY;
	snprintf(standin->primary, sizeof(standin->primary), "%s",
		 standin->name);
	return true;
}

/*
 * Opens the ports and runs the event loop until a signal ends it. Returns the
 * exit status.
 */
static int serve(standin_t *standin, const options_t *options)
{
	struct sockaddr_storage address;
	int address_length = sizeof(address);
	struct evconnlistener *listener;
	struct evhttp *http = NULL;
	struct event *terminate;

	if (evutil_parse_sockaddr_port(options->listen,
				       (struct sockaddr *)&address,
				       &address_length) != 0 ||
	    !read_group(standin, options->group)) {
		fprintf(stderr, "standin-target: malformed address\n");
		return 1;
	}
	listener = evconnlistener_new_bind(
		standin->base, on_accept, standin,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
		(struct sockaddr *)&address, address_length);
	if (!listener ||
	    (options->control &&
	     !(http = control_new(standin, options->control))) ||
	    !log_init(&standin->log) ||
	    !start_role(standin, options->primary != 0)) {
		fprintf(stderr, "standin-target: can't start on %s\n",
			options->listen);
		return 1;
	}
	terminate =
		evsignal_new(standin->base, SIGTERM, on_signal, standin->base);
	event_add(terminate, NULL);
	event_base_dispatch(standin->base);

	while (!TAILQ_EMPTY(&standin->sessions))
		session_free(TAILQ_FIRST(&standin->sessions));
	replica_stop(standin);
	if (http)
		evhttp_free(http);
	evconnlistener_free(listener);
	event_free(terminate);
	log_free(&standin->log);
	return 0;
}

int main(int argc, const char **argv)
{
	options_t options = { .connections = 20 };
	standin_t standin = { .clock = clock_source_boot() };
	int status = 1;

	signal(SIGPIPE, SIG_IGN);
	TAILQ_INIT(&standin.sessions);
	if (!read_options(argc, argv, &options))
		return 2;
	snprintf(standin.name, sizeof(standin.name), "%s", options.name);
	standin.connections_max = (uint32_t)options.connections;
	standin.faults.lag_ms = options.lag_ms;
	standin.faults.service_ms = options.service_ms;
	standin.base = event_base_new();
	if (standin.base)
		status = serve(&standin, &options);
	event_base_free(standin.base);
	free(options.name);
	free(options.listen);
	free(options.group);
	free(options.control);
	return status;
}
