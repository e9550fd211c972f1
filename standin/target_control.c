#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

/*
 * Makes all established client connections silent until they end. New ones are
 * not affected.
 */
static void silence_clients(standin_t *standin)
{
	session_t *session;

	TAILQ_FOREACH(session, &standin->sessions, link) {
		if (session->phase == SESSION_CLIENT)
			session->silent = true;
	}
}

/*
 * Applies the faults cut_in and cut_out to all connections.
 */
static void apply_cut(standin_t *standin)
{
	session_t *session;

	TAILQ_FOREACH(session, &standin->sessions, link)
		session_apply_cut(session);
	replica_apply_cut(standin);
}

/*
 * Sets one fault. Returns false for an unknown name.
 */
static bool set_fault(standin_t *standin, const char *name, const char *value)
{
	faults_t *faults = &standin->faults;
	const struct {
		const char *name;
		clock_ms_t *field;
	} durations[] = {
		{ "lag_ms", &faults->lag_ms },
		{ "apply_ms", &faults->apply_ms },
		{ "service_ms", &faults->service_ms },
		{ "connect_ms", &faults->connect_ms },
		{ "delay_answer_ms", &faults->delay_answer_ms },
	};
	bool on = strcmp(value, "on") == 0;
	size_t i;

	for (i = 0; i < sizeof(durations) / sizeof(durations[0]); i++) {
		if (strcmp(name, durations[i].name) == 0) {
			*durations[i].field = strtoll(value, NULL, 10);
			return true;
		}
	}
	if (strcmp(name, "drop_answers") == 0)
		faults->drop_answers = (uint32_t)strtoul(value, NULL, 10);
	else if (strcmp(name, "leaving") == 0)
		standin->leaving = on;
	else if (strcmp(name, "cut") == 0)
		faults->cut_in = faults->cut_out = on;
	else if (strcmp(name, "cut_in") == 0)
		faults->cut_in = on;
	else if (strcmp(name, "cut_out") == 0)
		faults->cut_out = on;
	else if (strcmp(name, "silent") == 0 && on)
		silence_clients(standin);
	else
		return false;
	return true;
}

static void on_fault(struct evhttp_request *request, void *context)
{
	standin_t *standin = context;
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	struct evkeyvalq parameters;
	struct evkeyval *parameter;
	bool valid = evhttp_request_get_command(request) == EVHTTP_REQ_POST;

	TAILQ_INIT(&parameters);
	if (!query || evhttp_parse_query_str(query, &parameters) != 0)
		valid = false;
	for (parameter = TAILQ_FIRST(&parameters); parameter && valid;
	     parameter = TAILQ_NEXT(parameter, next))
		valid = set_fault(standin, parameter->key, parameter->value);
	evhttp_clear_headers(&parameters);
	apply_cut(standin);
	evhttp_send_reply(request, valid ? 200 : 400, NULL, NULL);
}

/*
 * Returns the state and the counters of the target.
 */
static json_t *make_state(const standin_t *standin)
{
	group_point_t point = log_point(&standin->log);
	json_t *executed = json_object();
	char *history = log_history(&standin->log);
	uint64_t total = 0;
	json_t *answer;
	int i;

	for (i = 0; i < KIND_COUNT; i++) {
		total += standin->executed[i];
		json_object_set_new(
			executed, sql_kind_text((kind_t)i),
			json_integer((json_int_t)standin->executed[i]));
	}
	answer = json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:s,s:s,s:b,s:O,s:O,s:I,s:I,s:I,"
		"s:I,s:I,s:o}",
		"name", standin->name, "role",
		standin->role == GROUP_ROLE_PRIMARY ? "primary" : "replica",
		"term", (json_int_t)standin->role_term, "log_term",
		(json_int_t)point.term, "promised",
		(json_int_t)standin->promised_term, "position",
		(json_int_t)point.position_bytes, "applied",
		(json_int_t)log_applied(&standin->log), "primary",
		standin->primary, "history", history ? history : "", "leaving",
		(int)standin->leaving, "records", standin->log.records,
		"outcomes", standin->log.outcomes, "connections",
		(json_int_t)standin->connections, "connections_max_seen",
		(json_int_t)standin->connections_peak, "connections_accepted",
		(json_int_t)standin->accepted, "connections_refused",
		(json_int_t)standin->refused, "statements", (json_int_t)total,
		"executed", executed);
	free(history);
	return answer;
}

static void on_state(struct evhttp_request *request, void *context)
{
	json_t *answer = make_state(context);
	char *text = json_dumps(answer, JSON_COMPACT);
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, 200, NULL, body);
	evbuffer_free(body);
	free(text);
	json_decref(answer);
}

/*
 * Serves POST /fault and GET /state at address, "ip:port". Returns NULL if the
 * port can't be opened.
 */
struct evhttp *control_new(standin_t *standin, const char *address)
{
	struct evhttp *http = evhttp_new(standin->base);
	const char *colon = strrchr(address, ':');
	char host[64] = "";

	if (!http || !colon || (size_t)(colon - address) >= sizeof(host))
		return NULL;
	memcpy(host, address, (size_t)(colon - address));
	evhttp_set_cb(http, "/fault", on_fault, standin);
	evhttp_set_cb(http, "/state", on_state, standin);
	if (evhttp_bind_socket(http, host,
			       (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
		evhttp_free(http);
		return NULL;
	}
	return http;
}
