#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <sys/queue.h>

#include "platform_store.h"

typedef struct server server_t;
typedef struct watcher watcher_t;
typedef struct unanswered unanswered_t;
typedef struct delayed delayed_call_t;

/* Faults that are set through the control port. */
typedef struct {
	/* Connections are accepted and closed at once. */
	bool down;
	/* Watches get neither events nor progress notifications. */
	bool silent;
	/* Each request is handled this long after it arrived. */
	uint64_t slow_ms;
	/* Number of next transactions that take effect but get no answer. */
	uint64_t drop_answers;
	/* Number of next transactions without effect and answer. */
	uint64_t drop_requests;
	/* A new list of instances is served this long after it was set. */
	uint64_t lag_ms;
} faults_t;

struct server {
	struct event_base *base;
	struct evhttp *http;
	/* Listening socket; accepting and refusing have duplicates of it. */
	evutil_socket_t socket;
	struct evhttp_bound_socket *accepting;
	/* Closes connections at once; NULL unless the server is down. */
	struct evconnlistener *refusing;
	struct event *progress;
	store_t store;
	json_t *instances;
	faults_t faults;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t open_watches;
	TAILQ_HEAD(, watcher) watchers;
	TAILQ_HEAD(, unanswered) unanswered;
	TAILQ_HEAD(, delayed) delayed;
};

bool server_open(server_t *server, struct event_base *base,
		 const char *address);
void server_close(server_t *server);
void server_set_down(server_t *server, bool down);

evutil_socket_t server_listen(const char *address);
json_t *server_body(struct evhttp_request *request);
void server_reply(struct evhttp_request *request, json_t *answer);
void server_refuse(struct evhttp_request *request, const char *reason);
void server_delay(server_t *server, uint64_t delay_ms,
		  void (*run)(server_t *server, void *context),
		  void (*drop)(void *context), void *context);
void server_leave_unanswered(server_t *server, struct evhttp_request *request,
			     void (*closed)(void *context), void *context);

/* Watches. */
void watch_start(server_t *server, struct evhttp_request *request);
void watch_flush(server_t *server);
void watch_progress(evutil_socket_t fd, short what, void *context);

/* Control port. */
struct evhttp *control_open(server_t *server, const char *address);

#endif
