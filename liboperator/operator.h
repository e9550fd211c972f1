#ifndef HORNBEAMTACK_OPERATOR_H
#define HORNBEAMTACK_OPERATOR_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "libclock/clock.h"

/* A request that is not answered yet. */
typedef struct operator_call operator_call_t;
typedef struct operator_server operator_server_t;

typedef struct {
	const char *service;
	/* Revision of the service on which the operator based the change. */
	uint64_t base_revision;
	/* JSON text of the service; empty to remove the service. */
	const char *value;
	const char *operator_name;
} operator_change_t;

/* For each call that a handler receives, operator_call_answer() must be called
 * exactly once, at once or later. */
typedef struct {
	/* Returns text in the Prometheus format, which the server frees. */
	char *(*metrics)(void *context);
	/* Returns a new reference. */
	json_t *(*status)(void *context);
	/* Reads the configuration of a service; an empty service means all. */
	void (*get)(void *context, operator_call_t *call, const char *service);
	void (*change)(void *context, operator_call_t *call,
		       const operator_change_t *change);
	void (*history)(void *context, operator_call_t *call,
			const char *service);
	void (*drain)(void *context);
	/* A malformed request was refused; text describes its first fault. */
	void (*malformed)(void *context, const char *text);
	void *context;
} operator_handler_t;

typedef struct {
	const char *address;
	uint16_t port;
	/* A connection without traffic is closed after this time. */
	clock_ms_t idle_ms;
} operator_options_t;

operator_server_t *operator_server_new(struct event_base *base,
				       const operator_options_t *options,
				       const operator_handler_t *handler);
void operator_server_free(operator_server_t *server);
void operator_call_answer(operator_call_t *call, int status, json_t *body);

#endif
