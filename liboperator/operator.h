#ifndef HORNBEAMTACK_OPERATOR_H
#define HORNBEAMTACK_OPERATOR_H

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "libclock/clock.h"

/* A request that waits for its answer. */
typedef struct operator_call operator_call_t;
typedef struct operator_server operator_server_t;

typedef struct {
	const char *service;
	uint64_t base_revision;
	/* JSON text of the service; empty to remove it. */
	const char *value;
	const char *operator_name;
} operator_change_t;

/* Handlers that take a call must lead to exactly one operator_call_answer(). */
typedef struct {
	/* Prometheus text that the server frees. */
	char *(*metrics)(void *context);
	/* A new reference. */
	json_t *(*status)(void *context);
	/* service is empty for all. */
	void (*get)(void *context, operator_call_t *call, const char *service);
	void (*change)(void *context, operator_call_t *call,
		       const operator_change_t *change);
	void (*history)(void *context, operator_call_t *call,
			const char *service);
	void (*drain)(void *context);
	void (*malformed)(void *context, const char *text);
	void *context;
} operator_handler_t;

typedef struct {
	const char *address;
	uint16_t port;
	clock_ms_t idle_ms;
} operator_options_t;

operator_server_t *operator_server_new(struct event_base *base,
				       const operator_options_t *options,
				       const operator_handler_t *handler);
void operator_server_free(operator_server_t *server);
/* Takes the reference to body and frees the call. */
void operator_call_answer(operator_call_t *call, int status, json_t *body);

#endif
