#include <errno.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "platform_server.h"

static bool parse_switch(const char *text, bool *value)
{
	*value = strcmp(text, "on") == 0;
	return *value || strcmp(text, "off") == 0;
}

static bool parse_number(const char *text, uint64_t *value)
{
	char *end;

	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0';
}

/*
 * Sets one fault of faults_t by its name. The name "compact" sets the revision
 * below which reads and watches are refused. Returns false if the name is
 * unknown or the value is malformed.
 */
static bool set_fault(server_t *server, const char *name, const char *text)
{
	faults_t *faults = &server->faults;
	bool down;

	if (strcmp(name, "down") == 0) {
		if (!parse_switch(text, &down))
			return false;
		server_set_down(server, down);
		return true;
	}
	if (strcmp(name, "silent") == 0)
		return parse_switch(text, &faults->silent);
	if (strcmp(name, "slow_ms") == 0)
		return parse_number(text, &faults->slow_ms);
	if (strcmp(name, "drop_answers") == 0)
		return parse_number(text, &faults->drop_answers);
	if (strcmp(name, "drop_requests") == 0)
		return parse_number(text, &faults->drop_requests);
	if (strcmp(name, "lag_ms") == 0)
		return parse_number(text, &faults->lag_ms);
	if (strcmp(name, "compact") == 0)
		return parse_number(text, &server->store.compact_revision);
	return false;
}

/*
 * Handles POST /fault?name=value&name=value, which sets faults.
 */
static void handle_fault(server_t *server, struct evhttp_request *request)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	struct evkeyvalq parameters;
	struct evkeyval *parameter;
	bool valid = true;

	if (evhttp_parse_query_str(query ? query : "", &parameters) != 0) {
		server_refuse(request, "malformed query");
		return;
	}
	TAILQ_FOREACH(parameter, &parameters, next)
		valid = valid &&
			set_fault(server, parameter->key, parameter->value);
	evhttp_clear_headers(&parameters);
	if (valid)
		server_reply(request, require_memory(json_object()));
	else
		server_refuse(request, "unknown fault or malformed value");
}

static void set_instances(server_t *server, void *context)
{
	json_decref(server->instances);
	server->instances = context;
}

static void drop_instances(void *context)
{
	json_decref(context);
}

/*
 * Handles PUT /instances with a JSON array, which replaces the list of
 * instances after the fault lag_ms.
 */
static void handle_instances(server_t *server, struct evhttp_request *request)
{
	json_t *instances = server_body(request);

	if (!json_is_array(instances)) {
		json_decref(instances);
		server_refuse(request, "not an array");
		return;
	}
	if (server->faults.lag_ms == 0)
		set_instances(server, instances);
	else
		server_delay(server, server->faults.lag_ms, set_instances,
			     drop_instances, instances);
	server_reply(request, require_memory(json_object()));
}

/*
 * Handles GET /state, which returns counters and the revision of the store.
 */
static void handle_state(const server_t *server, struct evhttp_request *request)
{
	server_reply(request,
		     require_memory(json_pack(
			     "{s:I,s:I,s:I,s:I,s:I}", "reads",
			     (json_int_t)server->reads, "writes",
			     (json_int_t)server->writes, "watches",
			     (json_int_t)server->watches, "open_watches",
			     (json_int_t)server->open_watches, "revision",
			     (json_int_t)server->store.revision)));
}

static void on_control_request(struct evhttp_request *request, void *context)
{
	server_t *server = context;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	enum evhttp_cmd_type command = evhttp_request_get_command(request);

	path = path ? path : "";
	if (command == EVHTTP_REQ_POST && strcmp(path, "/fault") == 0)
		handle_fault(server, request);
	else if (command == EVHTTP_REQ_PUT && strcmp(path, "/instances") == 0)
		handle_instances(server, request);
	else if (command == EVHTTP_REQ_GET && strcmp(path, "/state") == 0)
		handle_state(server, request);
	else
		evhttp_send_error(request, HTTP_NOTFOUND, NULL);
}

/*
 * Serves the control port on "ip:port". Returns NULL if the address cannot be
 * used.
 */
struct evhttp *control_open(server_t *server, const char *address)
{
	evutil_socket_t fd = server_listen(address);
	struct evhttp *http;

	if (fd < 0)
		return NULL;
	http = require_memory(evhttp_new(server->base));
	evhttp_set_gencb(http, on_control_request, server);
	if (evhttp_accept_socket(http, fd) != 0) {
		evhttp_free(http);
		return NULL;
	}
	return http;
}
