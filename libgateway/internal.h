#ifndef HORNBEAMTACK_GATEWAY_INTERNAL_H
#define HORNBEAMTACK_GATEWAY_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <jansson.h>
#include <sys/queue.h>
#include <uthash.h>

#include "configuration.h"
#include "gateway.h"
#include "libclock/clock.h"
#include "libcounter/counter.h"
#include "libhttp/http.h"
#include "libplacement/placement.h"
#include "libpool/pool.h"
#include "libpromotion/promotion.h"
#include "libpromotion/registry.h"
#include "libpromotion/voters.h"
#include "libqueue/queue.h"
#include "libreadiness/readiness.h"
#include "libstatement/statement.h"
#include "libstore/mirror.h"
#include "values.h"

/* Attempts of a statement on different targets before it is refused. */
#define ATTEMPTS_MAX 4
/* Targets of one group that are considered. */
#define GROUP_TARGETS_LIMIT 16

/* A primary that failed for this long is doubted: longer than one restart of a
 * connection, a small part of the seconds that a change of primary takes. */
#define GROUP_DOUBT_MS 150

/* Paths of questions between peers. */
#define GATEWAY_PATH_PROMISE "/v1/promise"
#define GATEWAY_PATH_LENT "/v1/lent"
#define GATEWAY_PATH_PING "/v1/ping"
#define GATEWAY_PATH_MEMBERS "/v1/members"
/* Keys of this product in the store. */
#define GATEWAY_PREFIX "hornbeamtack/"
#define GATEWAY_PROXY_PREFIX GATEWAY_PREFIX "proxy/"
#define GATEWAY_GROUP_PREFIX GATEWAY_PREFIX "group/"
#define GATEWAY_DUTY_KEY GATEWAY_PREFIX "duty"
#define GATEWAY_VOTERS_KEY GATEWAY_PREFIX "voters"
/* Room for a key. */
#define GATEWAY_KEY_SIZE 256

/* Pause after a change that the store has not made: while it is away, each
 * proxy tries four times a second at most. */
#define GATEWAY_CHANGE_RETRY_MS 250

/* An entry that left the store is back within about two seconds if its target
 * lives; a little more is allowed for the watch. */
#define GATEWAY_MISSING_MS 2600

typedef struct session session_t;
typedef struct group group_t;
typedef struct target target_t;
typedef struct connection connection_t;
typedef struct survey survey_t;
typedef struct question question_t;

/* ---- connections to targets ---- */

typedef enum {
	/* TCP connects, then the target admits the connection. */
	CONNECTION_OPENING,
	CONNECTION_IDLE,
	/* Steps for a session are in progress, or its transaction is open. */
	CONNECTION_HELD,
	/* A rollback after a session left. */
	CONNECTION_CLEANING,
	/* A question for the target's status. */
	CONNECTION_ASKING,
} connection_phase_t;

typedef enum {
	STEP_NONE,
	STEP_RESET,
	STEP_SET,
	STEP_BEGIN,
	STEP_PREPARE,
	STEP_STATEMENT,
} step_t;

struct connection {
	TAILQ_ENTRY(connection) entry;
	target_t *target;
	struct bufferevent *events;
	struct event *timer;
	connection_phase_t phase;
	/* For surveys: closed after its answer. */
	survey_t *survey;
	session_t *session;
	step_t step;
	/* Index of the session value that a STEP_SET sets. */
	size_t value_index;
	clock_ms_t opened_ms;
	clock_ms_t sent_ms;
	clock_ms_t idle_since_ms;
	/* What the target keeps for this connection. */
	values_t values;
	values_t prepared;
	bool in_transaction;
	/* The answer so far. */
	struct evbuffer *rows;
	bool complete;
	bool failed;
	statement_error_t error;
	char signature[128];
};

struct target {
	TAILQ_ENTRY(target) group_entry;
	target_entry_t entry;
	group_t *group;
	TAILQ_HEAD(connection_list, connection) connections;
	uint32_t open;
	uint32_t opening;
	uint32_t idle;
	uint32_t in_flight;
	pool_backoff_t pool;
	double latency_ms;
	log_position_t applied;
	clock_ms_t applied_ms;
	clock_ms_t lag_ms;
	/* Last answer of any kind. */
	clock_ms_t answered_ms;
	/* First failure since then; 0: none. */
	clock_ms_t failing_ms;
	clock_ms_t next_probe_ms;
	/* The entry left the store at this time; 0: it is there. */
	clock_ms_t missing_ms;
	UT_hash_handle hh;
};

/* ---- groups ---- */

struct group {
	char name[CONFIGURATION_NAME_SIZE];
	struct gateway *gateway;
	clock_ms_t created_ms;
	TAILQ_HEAD(, target) targets;
	sample_ring_t samples;
	group_record_t record;
	grant_t grant;
	promotion_t promotion;
	/* Seen fence, until it is acknowledged. */
	clock_ms_t stopping_ms;
	/* Until then a peer has the promise that no stop is stated. */
	clock_ms_t promised_ms;
	/* Promises in the present round of asking. */
	uint32_t promises;
	/* Revision of the fenced record on which this proxy has stopped. */
	uint64_t stopped_revision;
	bool stop_writing;
	/* Since when the recorded primary has no entry; 0: it has one. */
	clock_ms_t unlisted_ms;
	/* This proxy's doubt in the store, and whether a write is under way. */
	bool doubt_written;
	bool doubt_writing;
	/* No further note before this time, after one that failed. */
	clock_ms_t note_retry_ms;
	bool record_writing;
	/* A first record was written, here or by another proxy. */
	bool adopted;
	/* Fires when a connection became free. */
	struct event *wake;
	TAILQ_HEAD(, session) waiting;
	uint32_t waiting_count;
	queue_busy_period_t load;
	UT_hash_handle hh;
};

/* ---- sessions of callers ---- */

typedef enum {
	SESSION_STARTING,
	SESSION_IDLE,
	/* In a queue for a connection. */
	SESSION_WAITING,
	SESSION_RUNNING,
} session_phase_t;

struct session {
	TAILQ_ENTRY(session) entry;
	TAILQ_ENTRY(session) queue_entry;
	struct gateway *gateway;
	struct bufferevent *events;
	struct event *timer;
	session_phase_t phase;
	char database[CONFIGURATION_NAME_SIZE];
	values_t values;
	values_t prepared;
	/* The current statement; its texts are in line. */
	char *line;
	statement_t statement;
	bool writes;
	clock_ms_t arrived_ms;
	queue_operation_t operation;
	/* End of the last answer. */
	clock_ms_t answered_ms;
	/* The route of the current operation. */
	route_t route;
	group_t *group;
	transaction_state_t transaction;
	bool read_only;
	bool wrote;
	connection_t *connection;
	/* The statement has been sent to a target. */
	bool sent;
	/* A statement of the transaction has been sent, which binds the rest
	 * to the same connection. */
	bool bound;
	/* Term of the primary that runs the operation; 0: a replica does. */
	uint64_t term;
	/* What a replica must have applied; term 0: nothing. */
	log_position_t required;
	log_position_t written;
	clock_ms_t written_ms;
	uint32_t attempts;
	const target_t *tried[ATTEMPTS_MAX];
};

/* ---- the proxy ---- */

typedef struct {
	counter_family_t *statements;
	counter_family_t *latency;
	counter_family_t *wait;
	counter_family_t *target_latency;
	counter_family_t *reads;
	counter_family_t *promotions;
	counter_family_t *store_calls;
	counter_family_t *version;
	counter_family_t *sessions;
	counter_family_t *connections;
	counter_family_t *grants;
} gateway_counters_t;

struct gateway {
	struct event_base *base;
	clock_source_t clock;
	const settings_t *settings;
	log_sink_t *log;
	counter_registry_t *registry;
	gateway_counters_t counters;
	struct evconnlistener *listener;
	http_server_t *http;
	/* For peers. */
	http_server_t *relay;
	struct event *tick;
	uint64_t incarnation;
	clock_ms_t started_ms;
	/* The proxy that is asked whether it lives. */
	char pinged[PROMOTION_NAME_SIZE];
	http_request_t *ping;
	/* What a peer has observed for long enough was taken over. */
	bool merged;
	/* The proxy that was last asked what it has observed. */
	char member_asked[PROMOTION_NAME_SIZE];
	http_request_t *members;
	clock_ms_t members_ms;
	clock_ms_t members_pause_ms;
	clock_ms_t ping_ms;
	clock_ms_t ponged_ms;
	/* Place of the voter whose grants are borrowed next. */
	uint32_t lender;
	/* Questions for promises or lent grants that are on their way. */
	TAILQ_HEAD(, question) questions;
	/* Present round of asking peers for promises, and its answers. */
	uint64_t promise_round;
	clock_ms_t promise_asked_ms;
	clock_ms_t promise_due_ms;
	uint32_t promise_answers;
	/* When the last question was sent that the store, or a majority of the
	 * proxies, has answered. */
	clock_ms_t confirmed_ms;
	readiness_t readiness;

	store_t *store;
	mirror_t *configuration_mirror;
	mirror_t *target_mirror;
	mirror_t *own_mirror;
	/* The records were read once, and the proxies among them are known. */
	bool records_read;
	/* When the last read of the epoch was sent that has shown that the own
	 * records known here are those in force. */
	clock_ms_t own_confirmed_ms;
	clock_ms_t epoch_due_ms;
	bool epoch_asking;
	/* An epoch that the mirror has not reached, the time at which its read
	 * was sent, and when it arrived; 0: none. */
	uint64_t epoch_pending;
	clock_ms_t epoch_sent_ms;
	clock_ms_t epoch_seen_ms;
	bool registering;
	clock_ms_t register_retry_ms;
	/* Revision of the last registration that the store has answered. */
	uint64_t registration_revision;
	/* When this process was first seen as registered; 0: it is not. */
	clock_ms_t registered_ms;
	registry_t *proxies;
	voters_record_t voters;
	bool voters_writing;
	clock_ms_t voters_due_ms;
	duty_record_t duty;
	/* A change of the duty is on its way; a second one would conflict. */
	bool duty_writing;
	/* No further change of records before this time, after one that failed.
	 */
	clock_ms_t duty_retry_ms;

	configuration_t configuration;
	target_t *targets;
	group_t *groups;
	TAILQ_HEAD(, session) sessions;
	uint32_t session_count;
	/* Statements that were served. */
	uint64_t statements;
	clock_ms_t draining_ms;
	bool deregistered;
};

clock_ms_t gateway_now(const gateway_t *gateway);
struct timeval gateway_timeval(clock_ms_t duration_ms);
bool gateway_ends_sessions(const gateway_t *gateway);
void gateway_note_confirmed(gateway_t *gateway, clock_ms_t asked_ms);

/* group.c */
group_t *gateway_group_get(gateway_t *gateway, const char *name);
target_t *gateway_group_primary(const group_t *group);
bool gateway_group_may_lead(const group_t *group, clock_ms_t now_ms);
bool gateway_group_is_in_term(const group_t *group,
			      const log_position_t *position);
void gateway_group_target_changed(gateway_t *gateway, const char *id,
				  const target_entry_t *entry);
void gateway_group_tick(group_t *group, clock_ms_t now_ms);
void gateway_group_wake(group_t *group);
bool gateway_target_is_usable(const target_t *target);
bool gateway_target_is_leaving(const target_t *target, clock_ms_t now_ms);
void gateway_target_answered(target_t *target, clock_ms_t now_ms);
void gateway_target_failed(target_t *target, clock_ms_t now_ms);

/* connection.c */
connection_t *gateway_connection_open(target_t *target, survey_t *survey);
void gateway_connection_close(connection_t *connection);
void gateway_connection_free(connection_t *connection);
connection_t *gateway_connection_idle_find(target_t *target,
					   const session_t *session);
bool gateway_connection_may_open(const target_t *target);
void gateway_connection_close_surplus(target_t *target, clock_ms_t now_ms);
void gateway_connection_release(connection_t *connection);
void gateway_connection_send_step(connection_t *connection);
void gateway_connection_end_step(connection_t *connection);

/* place.c */
void gateway_place_operation(session_t *session);
void gateway_place_leave(session_t *session);
void gateway_place_note_tried(session_t *session, const target_t *target);
void gateway_place_dispatch(group_t *group);

/* execute.c */
void gateway_execute_set_timer(session_t *session, clock_ms_t delay_ms);
void gateway_execute_stop_timer(session_t *session);
void gateway_execute_drop_connection(session_t *session);
void gateway_execute_fail(session_t *session, statement_error_t error,
			  const char *reason);
void gateway_execute_advance(session_t *session);
void gateway_execute_step_done(connection_t *connection,
			       const log_position_t *position);
void gateway_execute_connection_lost(session_t *session);
void gateway_execute_session_gone(session_t *session);
void gateway_execute_stop(group_t *group);

/* statement.c */
void gateway_statement_execute(session_t *session);

/* session.c */
void gateway_session_accept(gateway_t *gateway, evutil_socket_t fd);
void gateway_session_close(session_t *session);
bool gateway_session_is_quiet(const session_t *session, bool last_call);
void gateway_session_succeed(session_t *session, struct evbuffer *rows,
			     const char *signature,
			     const log_position_t *position);
void gateway_session_fail(session_t *session, statement_error_t error,
			  const char *reason);

/* control.c */
bool gateway_control_is_registered(const gateway_t *gateway);
void gateway_control_change_epoch(store_change_t *change);
int gateway_control_start(gateway_t *gateway);
void gateway_control_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_control_deregister(gateway_t *gateway);

/* records.c */
void gateway_records_changed(void *context, const char *key, const char *text,
			     size_t size, uint64_t revision);

/* notes.c */
void gateway_notes_tick(group_t *group, clock_ms_t now_ms);

/* relay.c */
int gateway_relay_start(gateway_t *gateway);
void gateway_relay_update(gateway_t *gateway);

/* liveness.c */
void gateway_liveness_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_liveness_cancel(gateway_t *gateway);
void gateway_liveness_answer(gateway_t *gateway, http_exchange_t *exchange);

/* promise.c */
bool gateway_promise_is_used(const gateway_t *gateway);
void gateway_promise_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_promise_answer(gateway_t *gateway, http_exchange_t *exchange);
void gateway_promise_cancel(gateway_t *gateway);
void gateway_promise_lend(gateway_t *gateway, http_exchange_t *exchange);

/* voters.c */
void gateway_voters_apply(gateway_t *gateway, const json_t *value,
			  uint64_t revision);
void gateway_voters_tick(gateway_t *gateway, clock_ms_t now_ms);

/* promote.c */
void gateway_promote_tick(group_t *group, clock_ms_t now_ms);
void gateway_promote_survey_answer(survey_t *survey, target_t *target,
				   const target_status_t *status);
void gateway_promote_survey_drop(survey_t *survey);

#endif
