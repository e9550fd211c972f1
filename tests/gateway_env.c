#include "gateway_env.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"

/* Returns the first of count free ports in a row. The start differs by process,
 * so that tests that run at the same time use other ports. */
uint16_t find_ports(uint16_t count)
{
	static uint16_t next;
	uint16_t port = (uint16_t)(20000 + getpid() % 400 * 30 + next);
	uint16_t i;

	next += count;
	for (i = 0; i < count; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_port = htons(port + i) };
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int on = 1;
		int error;

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		error = bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (error != 0)
			return find_ports(count);
	}
	return port;
}

uint16_t caller_port(const env_t *env, uint32_t gateway)
{
	return (uint16_t)(env->port + 5 + 3 * gateway);
}

uint16_t relay_port(const env_t *env, uint32_t gateway)
{
	return (uint16_t)(env->port + 15 + gateway);
}

static void set_endpoint(settings_endpoint_t *endpoint, uint16_t port)
{
	snprintf(endpoint->address, sizeof(endpoint->address), "127.0.0.1");
	endpoint->port = port;
}

/* As the deployments with limits have them, for two failure domains. */
static void set_limits(settings_t *settings)
{
	settings->quota_window_ms = 5000;
	settings->quota_overage_permille = 100;
	settings->quota_slack = 20;
	settings->quota_domain_count = 2;
	strcpy(settings->quota_domains[0], "z0");
	strcpy(settings->quota_domains[1], "z1");
}

void start_gateway(env_t *env, uint32_t index)
{
	settings_t *settings = &env->settings[index];
	uint16_t port = caller_port(env, index);
	int error;

	memset(settings, 0, sizeof(*settings));
	snprintf(settings->name, sizeof(settings->name), "g%u", index);
	snprintf(settings->domain, sizeof(settings->domain), "z%u",
		 env->single_domain ? 0 : index);
	set_endpoint(&settings->caller, port);
	set_endpoint(&settings->operator_endpoint, (uint16_t)(port + 1));
	set_endpoint(&settings->peer, (uint16_t)(port + 2));
	if (env->relay_connections > 0)
		set_endpoint(&settings->relay, relay_port(env, index));
	set_endpoint(&settings->platform, standin_store_port(env->standin));
	set_endpoint(&settings->promotion, standin_order_port(env->standin));
	settings->grant_ms = 1600;
	settings->grant_life_ms =
		env->grant_life_ms > 0 ? env->grant_life_ms : 3000;
	settings->grace_ms = 6000;
	settings->memory_mb = 160;
	settings->descriptors = 4300;
	if (env->limits_tenants)
		set_limits(settings);
	env->gateways[index] =
		gateway_new(env->base, settings, env->log, &error);
	CU_ASSERT_FATAL(env->gateways[index] != NULL);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	*(bool *)context = true;
}

/* Runs the event loop until done() holds; false if limit_ms passed before. */
bool run_until(env_t *env, bool (*done)(void *), void *context,
	       int64_t limit_ms)
{
	struct timeval limit = { .tv_sec = limit_ms / 1000,
				 .tv_usec = limit_ms % 1000 * 1000 };
	bool over = false;
	struct event *timer = evtimer_new(env->base, on_timer, &over);

	evtimer_add(timer, &limit);
	while (!over && !(done && done(context)))
		event_base_loop(env->base, EVLOOP_ONCE);
	event_free(timer);
	return !over;
}

void pause_ms(env_t *env, int64_t duration_ms)
{
	run_until(env, NULL, NULL, duration_ms);
}

static void on_caller_read(struct bufferevent *events, void *context)
{
	caller_t *caller = context;
	struct evbuffer *input = bufferevent_get_input(events);
	char *line;

	evbuffer_add(caller->received, evbuffer_pullup(input, -1),
		     evbuffer_get_length(input));
	evbuffer_add_buffer(caller->lines, input);
	while ((line = evbuffer_readln(caller->lines, NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		size_t used = strlen(caller->answer);

		snprintf(caller->answer + used, sizeof(caller->answer) - used,
			 "%s|", line);
		if (strncmp(line, "READY", 5) == 0)
			caller->answered = true;
		free(line);
	}
}

static void on_caller_event(struct bufferevent *events, short what,
			    void *context)
{
	caller_t *caller = context;

	(void)events;
	if (!(what & BEV_EVENT_CONNECTED))
		caller->closed = true;
}

bool has_answer(void *context)
{
	const caller_t *caller = context;

	return caller->answered || caller->closed;
}

/* Sends a line and returns the whole answer, with "|" after each of its lines.
 */
const char *ask(caller_t *caller, const char *line)
{
	caller->answer[0] = '\0';
	caller->answered = false;
	evbuffer_drain(caller->received, evbuffer_get_length(caller->received));
	evbuffer_add_printf(bufferevent_get_output(caller->events), "%s\r\n",
			    line);
	run_until(caller->env, has_answer, caller, WAIT_MAX_MS);
	return caller->answer;
}

caller_t *connect_caller(env_t *env, uint32_t gateway)
{
	caller_t *caller = check_allocate(sizeof(*caller));
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(
					       caller_port(env, gateway)) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	caller->env = env;
	caller->received = evbuffer_new();
	caller->lines = evbuffer_new();
	caller->events =
		bufferevent_socket_new(env->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(caller->events, on_caller_read, NULL, on_caller_event,
			  caller);
	bufferevent_enable(caller->events, EV_READ | EV_WRITE);
	bufferevent_socket_connect(caller->events, (struct sockaddr *)&address,
				   sizeof(address));
	return caller;
}

void close_caller(caller_t *caller)
{
	bufferevent_free(caller->events);
	evbuffer_free(caller->received);
	evbuffer_free(caller->lines);
	free(caller);
}

caller_t *open_session(env_t *env, uint32_t gateway, const char *database)
{
	caller_t *caller = connect_caller(env, gateway);
	char line[64];

	snprintf(line, sizeof(line), "STARTUP %s me", database);
	CU_ASSERT_STRING_EQUAL(ask(caller, line), "READY I -|");
	return caller;
}

bool succeeds(const char *answer)
{
	return strstr(answer, "COMPLETE sig|READY") != NULL;
}

bool fails(const char *answer, const char *code)
{
	char text[32];

	snprintf(text, sizeof(text), "ERROR %s ", code);
	return strstr(answer, text) != NULL;
}

/* Repeats a statement until it succeeds; false after WAIT_MAX_MS or if the
 * session is closed. */
bool ask_until_done(env_t *env, caller_t *caller, const char *line)
{
	int tries;

	for (tries = 0; tries < WAIT_MAX_MS / 50; tries++) {
		if (succeeds(ask(caller, line)))
			return true;
		if (caller->closed)
			return false;
		pause_ms(env, 50);
	}
	return false;
}

/* Starts the stand-in and the gateways, and waits until each one has served a
 * write. env must be zero but for its settings. */
void open_env(env_t *env, uint32_t gateways)
{
	caller_t *caller;
	uint32_t i;

	env->base = event_base_new();
	env->port = find_ports(18);
	env->standin = standin_new(env->base, env->port);
	if (env->synchronous)
		standin_set_synchronous(env->standin);
	if (env->no_eras)
		standin_store_hide_era(env->standin);
	if (env->relay_connections > 0)
		standin_limit_connections(env->standin, env->relay_connections);
	standin_configure(env->standin, 5, "board");
	for (i = 0; i < gateways; i++)
		start_gateway(env, i);
	pause_ms(env, 600);
	for (i = 0; i < gateways; i++) {
		caller = open_session(env, i, "main");
		CU_ASSERT(ask_until_done(env, caller, "QUERY 0 WRITE x y"));
		close_caller(caller);
	}
}

void close_env(env_t *env)
{
	uint32_t i;

	for (i = 0; i < GATEWAYS_MAX; i++)
		gateway_free(env->gateways[i]);
	standin_free(env->standin);
	event_base_free(env->base);
}
