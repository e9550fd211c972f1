#ifndef HORNBEAMTACK_TESTS_GATEWAY_ENV_H
#define HORNBEAMTACK_TESTS_GATEWAY_ENV_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "libgateway/gateway.h"
#include "platform_standin.h"

/*
 * Gateways, the stand-in of the platform and callers, which all run on one
 * event loop in the process of a test.
 */
#define GATEWAYS 2
#define GATEWAYS_MAX 3
/* Longest wait for something that must happen. */
#define WAIT_MAX_MS 15000
#define ANSWER_MAX_BYTES 4096

typedef struct {
	struct event_base *base;
	uint16_t port;
	standin_t *standin;
	settings_t settings[GATEWAYS_MAX];
	/* Log of all gateways; NULL: none. */
	log_sink_t *log;
	/* Longest life of a grant; 0: 3 s. */
	clock_ms_t grant_life_ms;
	/* All gateways are in one failure domain, else each in its own. */
	bool single_domain;
	/* The gateways lend each other connections, of which each target
	 * accepts this number; 0: they do not lend. */
	uint32_t relay_connections;
	/* Commits are acknowledged only once a replica has them. */
	bool synchronous;
	/* The store names no eras. */
	bool no_eras;
	/* The settings ask for limits of tenants. */
	bool limits_tenants;
	gateway_t *gateways[GATEWAYS_MAX];
} env_t;

typedef struct {
	env_t *env;
	struct bufferevent *events;
	/* All bytes since the last statement was sent. */
	struct evbuffer *received;
	/* The part of them that is no whole line yet. */
	struct evbuffer *lines;
	char answer[ANSWER_MAX_BYTES];
	bool answered;
	bool closed;
} caller_t;

/* Returns the first of count free ports in a row. The start differs by process,
 * so that tests that run at the same time use other ports. */
uint16_t find_ports(uint16_t count);
uint16_t relay_port(const env_t *env, uint32_t gateway);
uint16_t caller_port(const env_t *env, uint32_t gateway);
void start_gateway(env_t *env, uint32_t index);
/* Runs the event loop until done() holds; false if limit_ms passed before. */
bool run_until(env_t *env, bool (*done)(void *), void *context,
	       int64_t limit_ms);
void pause_ms(env_t *env, int64_t duration_ms);
bool has_answer(void *context);
/* Sends a line and returns the whole answer, with "|" after each of its lines.
 */
const char *ask(caller_t *caller, const char *line);
caller_t *connect_caller(env_t *env, uint32_t gateway);
void close_caller(caller_t *caller);
caller_t *open_session(env_t *env, uint32_t gateway, const char *database);
bool succeeds(const char *answer);
bool fails(const char *answer, const char *code);
/* Repeats a statement until it succeeds; false after WAIT_MAX_MS or if the
 * session is closed. */
bool ask_until_done(env_t *env, caller_t *caller, const char *line);
/* Starts the stand-in and the gateways, and waits until each one has served a
 * write. env must be zero but for its settings. */
void open_env(env_t *env, uint32_t gateways);
void close_env(env_t *env);

#endif
