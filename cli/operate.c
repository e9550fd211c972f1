#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "libhttp/http.h"
#include "libsettings/settings.h"

#define DEFAULT_ADDRESS "127.0.0.1:7200"
/* Timeout of a call to a proxy. A configuration change is answered only after
 * the platform's answer and the rollout, which takes up to 5 s. */
#define CALL_TIMEOUT_MS 15000
#define PATH_SIZE 512

/*
 * Sends a request to the operator's port of a proxy. *answer is set to the
 * answer, which the caller releases, or to NULL if there is none. Returns an
 * exit code.
 */
static int call_operator(const char *address, http_method_t method,
			 const char *path, const char *body, json_t **answer)
{
	settings_endpoint_t endpoint;
	int status = 0;
	char *text;
	int error;

	*answer = NULL;
	if (settings_endpoint_parse(address, &endpoint) != SETTINGS_OK) {
		fprintf(stderr, "hornbeamtack: %s: ip:port expected\n",
			address);
		return CLI_EXIT_USAGE;
	}
	error = http_client_call(endpoint.address, endpoint.port, method, path,
				 body, CALL_TIMEOUT_MS, &status, &text);
	if (error != HTTP_ERROR_NONE) {
		fprintf(stderr, "hornbeamtack: %s: %s\n", address,
			http_error_text(error));
		return CLI_EXIT_UNREACHABLE;
	}
	*answer = json_loads(text, 0, NULL);
	free(text);
	switch (status) {
	case 200:
		return CLI_EXIT_OK;
	case 409:
		return CLI_EXIT_CONFLICT;
	case 504:
		return CLI_EXIT_UNKNOWN;
	default:
		return CLI_EXIT_FAILED;
	}
}

static void print_json(json_t *value)
{
	if (!value)
		return;
	json_dumpf(value, stdout, JSON_INDENT(2));
	putchar('\n');
}

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long get_number(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

static void print_targets(const json_t *service)
{
	json_t *target;
	size_t i;

	json_array_foreach(json_object_get(service, "targets"), i, target) {
		json_t *age = json_object_get(target, "age_ms");
		char age_text[32] = "-";

		if (age)
			snprintf(age_text, sizeof(age_text), "%lld",
				 (long long)json_integer_value(age));
		printf("  %-20s %-8s term=%lld applied=%lld age_ms=%s "
		       "owner=%s connections=%lld queued=%lld\n",
		       get_text(target, "name"), get_text(target, "role"),
		       get_number(target, "term"),
		       get_number(target, "applied"), age_text,
		       get_text(target, "owner"),
		       get_number(target, "connections"),
		       get_number(target, "queued"));
	}
}

static void print_status(const json_t *status)
{
	json_t *object;
	size_t i;

	printf("%s domain=%s revision=%lld in_flight=%lld "
	       "transactions=%lld%s\n",
	       get_text(status, "name"), get_text(status, "domain"),
	       get_number(status, "revision"), get_number(status, "in_flight"),
	       get_number(status, "transactions"),
	       json_is_true(json_object_get(status, "draining")) ? " draining"
								 : "");
	json_array_foreach(json_object_get(status, "members"), i, object) {
		printf("member %-16s %-8s domain=%s revision=%lld\n",
		       get_text(object, "name"), get_text(object, "state"),
		       get_text(object, "domain"),
		       get_number(object, "revision"));
	}
	json_array_foreach(json_object_get(status, "services"), i, object) {
		printf("service %s revision=%lld primary=%s phase=%s\n",
		       get_text(object, "service"),
		       get_number(object, "revision"),
		       get_text(object, "primary"), get_text(object, "phase"));
		print_targets(object);
	}
}

/*
 * hornbeamtack status [--address IP:PORT] [--json]
 */
int cli_status(int argc, const char **argv)
{
	char *address = NULL;
	int json = 0;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, &address, 0,
		  "operator's port of the proxy, default " DEFAULT_ADDRESS,
		  "IP:PORT" },
		{ "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	json_t *answer = NULL;
	int code = CLI_EXIT_OK;
	poptContext context =
		cli_parse_options("status", argc, argv, options, "", &code);

	if (!context)
		return code;
	code = call_operator(address ? address : DEFAULT_ADDRESS,
			     HTTP_METHOD_GET, "/v1/status", NULL, &answer);
	if (json)
		print_json(answer);
	else if (code == CLI_EXIT_OK)
		print_status(answer);
	json_decref(answer);
	free(address);
	poptFreeContext(context);
	return code;
}

/*
 * hornbeamtack drain [--address IP:PORT]
 */
int cli_drain(int argc, const char **argv)
{
	char *address = NULL;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, &address, 0,
		  "operator's port of the proxy, default " DEFAULT_ADDRESS,
		  "IP:PORT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	json_t *answer = NULL;
	int code = CLI_EXIT_OK;
	poptContext context =
		cli_parse_options("drain", argc, argv, options, "", &code);

	if (!context)
		return code;
	code = call_operator(address ? address : DEFAULT_ADDRESS,
			     HTTP_METHOD_POST, "/v1/drain", "", &answer);
	if (code == CLI_EXIT_OK)
		printf("draining\n");
	json_decref(answer);
	free(address);
	poptFreeContext(context);
	return code;
}

/*
 * Reads the JSON value of a service from a file, or from standard input if path
 * is "-". Returns a new reference. Prints a message and returns NULL if the
 * value can't be read.
 */
static json_t *load_value(const char *path)
{
	json_error_t error;
	json_t *value =
		strcmp(path, "-") == 0
			? json_loadf(stdin, JSON_REJECT_DUPLICATES, &error)
			: json_load_file(path, JSON_REJECT_DUPLICATES, &error);

	if (!value)
		fprintf(stderr, "hornbeamtack: %s:%d: %s\n", path, error.line,
			error.text);
	return value;
}

/*
 * Reads the revision of a service's configuration that is in force. A change
 * without --base is based on it. Returns an exit code.
 */
static int read_base_revision(const char *address, const char *service,
			      long long *base_revision)
{
	json_t *answer = NULL;
	char path[PATH_SIZE];
	int code;

	snprintf(path, sizeof(path), "/v1/config?service=%s", service);
	code = call_operator(address, HTTP_METHOD_GET, path, NULL, &answer);
	*base_revision = get_number(
		json_array_get(json_object_get(answer, "services"), 0),
		"revision");
	json_decref(answer);
	return code;
}

/*
 * Changes the configuration of a service to value, or removes it if value is
 * JSON null, and prints the answer. A negative base_revision stands for the
 * revision in force. Takes over the reference to value. Returns an exit code.
 */
static int set_value(const char *address, const char *service, json_t *value,
		     long long base_revision, const char *operator_name)
{
	json_t *answer = NULL;
	json_t *body;
	char *text;
	int code;

	if (base_revision < 0) {
		code = read_base_revision(address, service, &base_revision);
		if (code != CLI_EXIT_OK) {
			json_decref(value);
			return code;
		}
	}
	body = json_pack("{s:s, s:I, s:o, s:s}", "service", service,
			 "base_revision", (json_int_t)base_revision, "value",
			 value, "operator", operator_name);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	code = call_operator(address, HTTP_METHOD_PUT, "/v1/config", text,
			     &answer);
	print_json(answer);
	json_decref(answer);
	free(text);
	return code;
}

/*
 * Reads the configuration or its history and prints the answer. Returns an exit
 * code.
 */
static int print_config(const char *address, const char *path_prefix,
			const char *service)
{
	json_t *answer = NULL;
	char path[PATH_SIZE];
	int code;

	snprintf(path, sizeof(path), "%s%s", path_prefix, service);
	code = call_operator(address, HTTP_METHOD_GET, path, NULL, &answer);
	print_json(answer);
	json_decref(answer);
	return code;
}

static int run_config(const char *address, const char *action,
		      const char *service, const char *file,
		      long long base_revision, const char *operator_name)
{
	json_t *value;

	if (action && strcmp(action, "get") == 0)
		return print_config(
			address, "/v1/config?service=", service ? service : "");
	if (action && service && strcmp(action, "history") == 0)
		return print_config(address,
				    "/v1/config/history?service=", service);
	if (action && service && strcmp(action, "remove") == 0)
		return set_value(address, service, json_null(), base_revision,
				 operator_name);
	if (!action || !service || !file || strcmp(action, "set") != 0) {
		fprintf(stderr, "hornbeamtack config: get [SERVICE], set "
				"SERVICE FILE, remove SERVICE or history "
				"SERVICE expected\n");
		return CLI_EXIT_USAGE;
	}
	value = load_value(file);
	if (!value)
		return CLI_EXIT_SETTINGS;
	return set_value(address, service, value, base_revision, operator_name);
}

/*
 * hornbeamtack config [--address IP:PORT] [--base REVISION] [--operator NAME]
 * get [SERVICE] | set SERVICE FILE | remove SERVICE | history SERVICE
 */
int cli_config(int argc, const char **argv)
{
	char *address = NULL;
	char *operator_name = NULL;
	long long base_revision = -1;
	const struct poptOption options[] = {
		{ "address", 'a', POPT_ARG_STRING, &address, 0,
		  "operator's port of a proxy, default " DEFAULT_ADDRESS,
		  "IP:PORT" },
		{ "base", 'b', POPT_ARG_LONGLONG, &base_revision, 0,
		  "revision that the change is based on, default: the one in "
		  "force",
		  "REVISION" },
		{ "operator", 'o', POPT_ARG_STRING, &operator_name, 0,
		  "name for the history, default: the login name", "NAME" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	const char *arguments[3] = { NULL, NULL, NULL };
	const char *login = getlogin();
	int code = CLI_EXIT_OK;
	poptContext context = cli_parse_options(
		"config", argc, argv, options, "get|set|remove|history", &code);
	size_t i;

	if (!context)
		return code;
	for (i = 0; i < 3 && poptPeekArg(context); i++)
		arguments[i] = poptGetArg(context);
	code = run_config(address ? address : DEFAULT_ADDRESS, arguments[0],
			  arguments[1], arguments[2], base_revision,
			  operator_name ? operator_name
			  : login	? login
					: "unnamed");
	free(address);
	free(operator_name);
	poptFreeContext(context);
	return code;
}
