#ifndef HORNBEAMTACK_GATEWAY_INTERNAL_H
#define HORNBEAMTACK_GATEWAY_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <jansson.h>
#include <sys/queue.h>
/* Without memory for its table, an object is left out; its hh.tbl is NULL. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#include "configuration.h"
#include "gateway.h"
#include "libbudget/budget.h"
#include "libclock/clock.h"
#include "libcounter/counter.h"
#include "libhttp/http.h"
#include "libplacement/placement.h"
#include "libpool/pool.h"
#include "libpromotion/era.h"
#include "libpromotion/promotion.h"
#include "libpromotion/registry.h"
#include "libpromotion/voters.h"
#include "libqueue/queue.h"
#include "libreadiness/readiness.h"
#include "librelay/relay.h"
#include "libretry/retry.h"
#include "libstatement/statement.h"
#include "libstore/mirror.h"
#include "string_map.h"

/* Attempts of one statement on different targets before it is refused. */
#define ATTEMPTS_MAX 4
/* Targets of one group that placement considers; further ones get no
 * statements. */
#define GROUP_TARGETS_LIMIT 16

/* A primary that has failed for this long is suspected. This is longer than
 * reopening a connection takes, and a small part of the seconds that a change
 * of primary takes. */
#define PRIMARY_SUSPECT_MS 150

/* Paths of HTTP requests between proxies. */
#define GATEWAY_PATH_PROMISE "/v1/promise"
#define GATEWAY_PATH_LENT "/v1/lent"
#define GATEWAY_PATH_PING "/v1/ping"
#define GATEWAY_PATH_MEMBERS "/v1/members"
#define GATEWAY_PATH_QUOTA "/v1/quota"
#define GATEWAY_PATH_QUOTA_SEEN "/v1/quota/seen"
/* Keys of this product's records in the store. */
#define GATEWAY_PREFIX "hornbeamtack/"
#define GATEWAY_PROXY_PREFIX GATEWAY_PREFIX "proxy/"
#define GATEWAY_GROUP_PREFIX GATEWAY_PREFIX "group/"
#define GATEWAY_PROMOTER_KEY GATEWAY_PREFIX "duty"
#define GATEWAY_VOTERS_KEY GATEWAY_PREFIX "voters"
/* Each era of the store in which proxies have run has a key. */
#define GATEWAY_ERA_PREFIX GATEWAY_PREFIX "era/"
/* The last era in which nothing of earlier ones is in progress any more. */
#define GATEWAY_SETTLED_KEY GATEWAY_PREFIX "settled"
/* Buffer size in bytes for a key. */
#define GATEWAY_KEY_SIZE 256

/* Fence of a group whose record cannot be read: it may have any term and fence.
 */
#define GATEWAY_FENCE_UNKNOWN UINT64_MAX

/* Delay before a change that the store refused or did not answer is written
 * again: while the store is unreachable, each proxy writes at most four times a
 * second. */
#define GATEWAY_CHANGE_RETRY_MS 250

/* A target that runs writes its removed entry again within about two seconds.
 * After this time, which leaves some room for the delay of the watch, an
 * unlisted target counts as leaving. */
#define GATEWAY_ENTRY_RETURN_MS 2600

typedef struct session session_t;
typedef struct group group_t;
typedef struct target target_t;
typedef struct connection connection_t;
typedef struct survey survey_t;
typedef struct peer_request peer_request_t;
typedef struct quota_tenant quota_tenant_t;
typedef struct borrower borrower_t;
typedef struct link_peer link_peer_t;

/* Connections to targets. */

typedef enum {
	/* The TCP connection is set up, then the target admits it. */
	CONNECTION_OPENING,
	CONNECTION_IDLE,
	/* A session runs steps on it, or has its transaction open. */
	CONNECTION_IN_USE,
	/* The transaction of a session that released it is rolled back. */
	CONNECTION_ROLLING_BACK,
	/* The target was asked for its status. */
	CONNECTION_SURVEYING,
	/* A peer has borrowed it. */
	CONNECTION_LENT,
} connection_phase_t;

typedef enum {
	STEP_NONE,
	STEP_RESET,
	STEP_SET,
	STEP_BEGIN,
	STEP_PREPARE,
	STEP_STATEMENT,
} step_t;

/* A connection that this proxy borrows from an owner. */
typedef struct {
	/* Address of the owner that was asked last, and its rank. */
	char owner[SETTINGS_ENDPOINT_SIZE];
	uint32_t rank;
	/* How long the statement can wait for a connection. */
	clock_ms_t wait_ms;
	/* Only the state of the target is asked for. */
	bool state_only;
	/* An owner had no room, or could not reach the target. */
	bool refused;
	bool target_failed;
	/* Bytes of the target that were received, and those of the request that
	 * is being put together. */
	struct evbuffer *received;
	struct evbuffer *request;
	/* An operation has run on it, and has left session values or prepared
	 * statements. */
	bool used;
	bool has_values;
} loan_t;

struct connection {
	TAILQ_ENTRY(connection) entry;
	target_t *target;
	struct bufferevent *events;
	struct event *timer;
	connection_phase_t phase;
	/* Set for a connection that a survey opened; it is closed after the
	 * status answer. NULL: the connection is for sessions. */
	survey_t *survey;
	session_t *session;
	/* In CONNECTION_LENT: the borrower. */
	borrower_t *borrower;
	/* Not NULL: the connection is borrowed, over a link. */
	loan_t *loan;
	step_t step;
	/* For STEP_SET: index of the session value that is being set. */
	size_t value_index;
	/* Start of the connection attempt, and of the last step. */
	clock_ms_t opened_ms;
	clock_ms_t sent_ms;
	clock_ms_t idle_since_ms;
	/* Tenant for whose sessions it was opened; empty: for sessions without
	 * one. */
	char tenant[TENANT_NAME_SIZE];
	/* A session has used it. */
	bool used;
	/* Session values and prepared statements that the target holds for this
	 * connection. */
	string_map_t values;
	string_map_t prepared;
	/* State of the transaction in the target's last answer. */
	transaction_state_t state;
	budget_account_t account;
	/* The rows and the success received so far, as they are passed on; for
	 * a survey, the text of the row. */
	struct evbuffer *answer;
	/* The answer has the line that reports success, or the one that reports
	 * an error. */
	bool complete;
	bool failed;
	statement_error_t error;
};

/* Who owns the connections of a target, and who waits for one here. */
typedef struct {
	/* Value of the gateway's count of changes for which the owners were
	 * found; 0: they were not. */
	uint64_t change;
	/* The connections have owners. */
	bool has_owners;
	uint32_t owner_count;
	char owners[RELAY_OWNERS][SETTINGS_ENDPOINT_SIZE];
	/* This proxy is the owner of the rank. */
	bool owned[RELAY_OWNERS];
	/* An owner that was not reached, or leaves, is not asked before. */
	clock_ms_t skip_until_ms[RELAY_OWNERS];
	relay_share_t share;
	/* Connections of this proxy that are borrowed. */
	uint32_t borrowed;
	/* The owners had no room; no statement is sent before. */
	clock_ms_t refused_until_ms;
	/* Peers that wait for a connection, by deadline. */
	TAILQ_HEAD(, borrower) waiting;
	uint32_t waiting_count;
	/* Connections that are lent, and the smoothed duration of a loan. */
	uint32_t lent;
	double loan_ms;
} target_relay_t;

struct target {
	TAILQ_ENTRY(target) group_entry;
	target_entry_t entry;
	/* Store revision at which the entry was last changed or removed. */
	uint64_t entry_revision;
	/* When the target was first seen to leave; 0: it has not said so. */
	clock_ms_t leaving_since_ms;
	group_t *group;
	TAILQ_HEAD(connection_list, connection) connections;
	/* Connections in all, those not admitted yet, and the idle ones. */
	uint32_t open;
	uint32_t opening;
	uint32_t idle;
	/* Statements of this proxy that the target has not answered yet. */
	uint32_t in_flight;
	pool_backoff_t pool_backoff;
	placement_news_t news;
	/* Limits the reads that failed at another target and are sent to this
	 * one. */
	retry_budget_t *resends;
	/* Latest log position in its answers, when it was received, and how old
	 * the target's log was then. */
	log_position_t applied;
	clock_ms_t applied_ms;
	clock_ms_t lag_ms;
	/* Time of the last answer of any kind. */
	clock_ms_t answered_ms;
	/* Time of the first failure after that answer; 0: none. */
	clock_ms_t failing_since_ms;
	/* Since when the target, as primary of the recorded term, has refused
	 * writes as a replica does; 0: it does not. */
	clock_ms_t read_only_since_ms;
	/* No probe before this time; 1: a connection was lost, and a probe is
	 * due at once. */
	clock_ms_t next_probe_ms;
	/* When the target's entry was removed from the store; 0: it is listed.
	 */
	clock_ms_t unlisted_since_ms;
	target_relay_t relay;
	UT_hash_handle hh;
};

/* Groups of targets, one for each service. */

struct group {
	char name[CONFIGURATION_NAME_SIZE];
	struct gateway *gateway;
	clock_ms_t created_ms;
	TAILQ_HEAD(, target) targets;
	/* Log positions of the primary, by the time at which they were asked
	 * for. */
	sample_ring_t samples;
	group_record_t record;
	/* Term of the record in the store, which is below that of record if the
	 * store has lost the later one; 0: the store has none. */
	uint64_t stored_term;
	/* A write of a record of an earlier era has not been answered yet, and
	 * no further one before the time. */
	bool era_write_pending;
	clock_ms_t era_retry_ms;
	grant_t grant;
	promotion_t promotion;
	/* When the group was first seen to be fenced; 0: it is not. */
	clock_ms_t fence_seen_ms;
	/* Until then a peer may rely on this proxy's promise not to report a
	 * stop. */
	clock_ms_t promised_until_ms;
	/* Promises received in the present round of requests. */
	uint32_t promise_count;
	/* Revision of the fenced record for which this proxy has written its
	 * stop report; 0: none. */
	uint64_t stop_reported_revision;
	bool stop_report_pending;
	/* Since when the recorded primary has been unlisted; 0: it is listed.
	 */
	clock_ms_t primary_unlisted_since_ms;
	/* Whether the store holds this proxy's report that it suspects the
	 * primary, and whether a change of the report has not been answered
	 * yet. */
	bool suspicion_reported;
	bool suspicion_report_pending;
	/* No report is written before this time, after a write that failed. */
	clock_ms_t report_retry_ms;
	/* The survey or the write of an adoption has not been answered yet. */
	bool adoption_pending;
	/* This proxy or another one has written the group's first record. */
	bool adopted;
	/* Runs gateway_place_dispatch() from the event loop. */
	struct event *dispatch_event;
	TAILQ_HEAD(, session) waiting;
	uint32_t waiting_count;
	queue_busy_period_t busy_period;
	queue_usage_t usage;
	UT_hash_handle hh;
};

/* Sessions of callers. */

typedef enum {
	SESSION_STARTING,
	/* No statement is in progress; a transaction may be open. */
	SESSION_IDLE,
	/* The operation waits for a share of the limit of its tenant. */
	SESSION_ADMITTING,
	/* Waits in the group's queue for a connection. */
	SESSION_WAITING,
	SESSION_RUNNING,
} session_phase_t;

struct session {
	TAILQ_ENTRY(session) entry;
	/* In the queue of its group, or of its tenant. */
	TAILQ_ENTRY(session) queue_entry;
	struct gateway *gateway;
	struct bufferevent *events;
	struct event *timer;
	session_phase_t phase;
	char database[CONFIGURATION_NAME_SIZE];
	/* Digest of the caller's key, if it sent one. */
	tenant_key_t key;
	bool has_key;
	/* Tenant of the current operation; empty: none. */
	char tenant[TENANT_NAME_SIZE];
	/* The key was refused: the session is closed once its answer is sent
	 * and no transaction is open. */
	bool denied;
	string_map_t values;
	string_map_t prepared;
	/* The current statement, whose strings point into line. */
	char *line;
	size_t line_bytes;
	/* Bytes of the input that have no line end. */
	size_t searched_bytes;
	budget_account_t account;
	/* Nothing is read until memory or the answer of a statement allows it.
	 */
	bool paused;
	/* The process is full; the caller is told so at its startup message. */
	bool refused;
	clock_ms_t accepted_ms;
	statement_t statement;
	/* The current statement is a write. */
	bool writes;
	clock_ms_t arrived_ms;
	queue_operation_t operation;
	/* When the last answer was completed. */
	clock_ms_t answered_ms;
	/* Route and group of the current operation; group is NULL between
	 * operations. */
	route_t route;
	group_t *group;
	transaction_state_t transaction;
	bool read_only;
	/* The transaction has run a write. */
	bool wrote;
	connection_t *connection;
	/* Since when the session holds the connection. */
	clock_ms_t held_since_ms;
	/* The wait for a connection that was expected when the operation last
	 * found none; 0: it has found one. */
	clock_ms_t expected_wait_ms;
	/* The current statement has been sent to a target. */
	bool sent;
	/* A statement of the transaction has been sent: the remaining ones must
	 * run on the same connection. */
	bool bound_to_connection;
	/* Term in which the primary runs the operation; 0: a replica runs it.
	 */
	uint64_t term;
	/* Log position that the replica must have applied; term 0: any position
	 * will do. */
	log_position_t required;
	/* Highest log position of the session's own commits, and when it was
	 * received. */
	log_position_t written;
	clock_ms_t written_ms;
	/* Time before which the operation may be sent to a target within the
	 * limit of the tenant; 0: it is not admitted yet. */
	clock_ms_t admitted_until_ms;
	/* Tenant for whose share the operation waits; NULL: it does not. */
	quota_tenant_t *quota_tenant;
	uint32_t attempts;
	/* The last attempt failed at a target that may have run it. */
	bool is_resend;
	/* Targets that earlier attempts have used; NULL: one that may be used
	 * again. */
	const target_t *tried[ATTEMPTS_MAX];
};

/* The proxy. */

typedef struct {
	counter_family_t *statements;
	counter_family_t *latency;
	counter_family_t *queue_wait;
	counter_family_t *refusals;
	counter_family_t *target_latency;
	counter_family_t *served;
	counter_family_t *promotions;
	counter_family_t *store_calls;
	counter_family_t *store_era;
	counter_family_t *version;
	counter_family_t *sessions;
	counter_family_t *connections;
	counter_family_t *grants;
	counter_family_t *quota_asked;
	counter_family_t *quota_admitted;
	counter_family_t *quota_refused;
	counter_family_t *quota_lent;
	counter_family_t *loans;
	counter_family_t *borrows;
	counter_family_t *relay_state;
	counter_family_t *refused_connections;
	counter_family_t *limited;
	counter_family_t *held;
} gateway_counters_t;

struct gateway {
	struct event_base *base;
	clock_source_t clock;
	const settings_t *settings;
	log_sink_t *log;
	counter_registry_t *registry;
	gateway_counters_t counters;
	struct evconnlistener *listener;
	http_server_t *operator_server;
	/* HTTP server for peers. */
	http_server_t *peer_server;
	struct event *tick;
	/* Random number of this process, which tells it from other processes of
	 * its name. */
	uint64_t incarnation;
	clock_ms_t started_ms;
	/* The proxy to which pings are sent. */
	char pinged_proxy[PROMOTION_NAME_SIZE];
	http_request_t *ping_request;
	/* The observations of a peer that has run for long enough were merged.
	 */
	bool members_merged;
	/* The proxy that was last asked for its observations. */
	char members_asked_proxy[PROMOTION_NAME_SIZE];
	http_request_t *members_request;
	clock_ms_t members_due_ms;
	clock_ms_t members_backoff_ms;
	clock_ms_t ping_due_ms;
	clock_ms_t ping_answered_ms;
	/* Index of the voter from which grants are borrowed next. */
	uint32_t lender_index;
	/* Requests for promises or borrowed grants that have not been answered
	 * yet. */
	TAILQ_HEAD(, peer_request) peer_requests;
	/* The present round of requests for promises: its number, when it was
	 * sent, when the next one is due, and the answers received. */
	uint64_t promise_round;
	clock_ms_t promise_asked_ms;
	clock_ms_t promise_due_ms;
	uint32_t promise_answers;
	/* When the latest of the requests was sent that the store, or a
	 * majority of the voters, has answered. */
	clock_ms_t confirmed_ms;
	readiness_t readiness;
	/* Limits of tenants; NULL: they are not enforced. */
	struct gateway_quota *quota;

	store_t *store;
	mirror_t *configuration_mirror;
	mirror_t *target_mirror;
	mirror_t *record_mirror;
	/* All records were read once, so that the registered proxies are known.
	 */
	bool records_read;
	/* When the last read of the epoch was sent that showed that the records
	 * known here are current. */
	clock_ms_t records_confirmed_ms;
	/* When the epoch is read next; 0: at once. */
	clock_ms_t epoch_due_ms;
	bool epoch_read_pending;
	/* Revision of an epoch that the mirror has not reached yet (0: none),
	 * when the read that returned it was sent, and when its answer arrived.
	 */
	uint64_t epoch_pending;
	clock_ms_t epoch_sent_ms;
	clock_ms_t epoch_seen_ms;
	era_t era;
	/* The highest era whose key the records show: changes of earlier eras
	 * have no effect any more. */
	uint64_t opened_era;
	/* Era of the records when they were last read. */
	uint64_t records_era;
	bool era_write_pending;
	clock_ms_t era_retry_ms;
	bool registration_pending;
	clock_ms_t register_retry_ms;
	/* Store revision of this proxy's last answered registration. */
	uint64_t registration_revision;
	/* When this process was first seen to be registered; 0: it is not. */
	clock_ms_t registered_ms;
	registry_t *proxies;
	/* Counts the changes of the registered proxies and of the configuration
	 * that may change the owners of connections. */
	uint64_t owner_changes;
	struct evconnlistener *relay_listener;
	TAILQ_HEAD(, borrower) borrowers;
	uint32_t borrower_count;
	/* Connections that are lent to peers. */
	uint32_t lent_count;
	/* Owners to which idle links are open. */
	link_peer_t *link_peers;
	voters_record_t voters;
	bool voters_write_pending;
	clock_ms_t voters_due_ms;
	promoter_record_t promoter;
	/* A change of the promoter record has not been answered yet. A second
	 * one would fail with a conflict. */
	bool promoter_write_pending;
	/* No further change of the promoter record before this time, after one
	 * that failed. */
	clock_ms_t promoter_retry_ms;

	budget_t budget;
	/* Sessions that are not read. */
	uint32_t paused_count;
	/* Memory was short; what was freed is to be returned to the system. */
	bool trim_due;
	clock_ms_t sweep_due_ms;
	/* Connections are not accepted before this time, for lack of
	 * descriptors; 0: they are. */
	clock_ms_t accept_retry_ms;

	configuration_t configuration;
	target_t *targets;
	group_t *groups;
	TAILQ_HEAD(, session) sessions;
	uint32_t session_count;
	/* Choices of a target so far. */
	uint64_t choices;
	/* Statements that a target has run with success. */
	uint64_t statements;
	/* When the proxy began to drain; 0: it does not. */
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
bool gateway_group_is_synchronous(const group_t *group);
bool gateway_group_holds_grant(const group_t *group, clock_ms_t now_ms);
bool gateway_group_is_in_term(const group_t *group,
			      const log_position_t *position);
int gateway_group_target_changed(gateway_t *gateway, const char *id,
				 const target_entry_t *entry,
				 uint64_t revision);
void gateway_group_tick(group_t *group, clock_ms_t now_ms);
void gateway_group_schedule_dispatch(group_t *group);
void gateway_target_free(target_t *target);
bool gateway_target_is_usable(const target_t *target);
bool gateway_target_is_gone(const target_t *target, clock_ms_t now_ms);
bool gateway_target_is_leaving(const target_t *target, clock_ms_t now_ms);
void gateway_target_answered(target_t *target, clock_ms_t now_ms);
void gateway_target_failed(target_t *target, clock_ms_t now_ms);
void gateway_target_read_only(target_t *target, clock_ms_t now_ms);

/* connection.c */
connection_t *gateway_connection_open(target_t *target, survey_t *survey,
				      const char *tenant);
void gateway_connection_open_for_session(target_t *target, clock_ms_t wait_ms);
void gateway_connection_open_owned(target_t *target);
bool gateway_connection_connect(connection_t *connection);
void gateway_connection_set_timer(connection_t *connection,
				  clock_ms_t delay_ms);
void gateway_connection_admitted(connection_t *connection);
bool gateway_connection_read_answer(connection_t *connection,
				    struct evbuffer *input);
struct evbuffer *gateway_connection_output(const connection_t *connection);
void gateway_connection_lend(connection_t *connection, borrower_t *borrower);
void gateway_connection_reset(connection_t *connection);
void gateway_connection_take_back(connection_t *connection, bool has_values);
void gateway_connection_return_unused(group_t *group);
pool_view_t gateway_connection_pool_view(target_t *target);
void gateway_connection_close(connection_t *connection);
void gateway_connection_close_malformed(connection_t *connection,
					const char *reason);
void gateway_connection_free(connection_t *connection);
connection_t *gateway_connection_idle_find(target_t *target,
					   const session_t *session);
bool gateway_connection_may_open(target_t *target);
bool gateway_connection_is_on_demand(target_t *target);
bool gateway_connection_may_replace(target_t *target);
void gateway_connection_close_surplus(target_t *target, clock_ms_t now_ms);
void gateway_connection_release(connection_t *connection);
void gateway_connection_begin_step(connection_t *connection);
void gateway_connection_end_step(connection_t *connection);
void gateway_connection_note_unanswered(connection_t *connection);

/* owners.c */
void gateway_owners_changed(gateway_t *gateway);
void gateway_owners_refresh(target_t *target);
void gateway_owners_tick(gateway_t *gateway);
bool gateway_owners_refuse(target_t *target, clock_ms_t now_ms);

/* link.c */
bool gateway_link_start(connection_t *connection);
void gateway_link_failed(connection_t *connection);
void gateway_link_readable(struct bufferevent *events, void *context);
void gateway_link_event(struct bufferevent *events, short what, void *context);
void gateway_link_flush(connection_t *connection);
void gateway_link_return(connection_t *connection);
loan_t *gateway_link_loan_new(clock_ms_t wait_ms, bool state_only);
void gateway_link_loan_free(loan_t *loan);
void gateway_link_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_link_close_all(gateway_t *gateway);

/* relay.c */
int gateway_relay_start(gateway_t *gateway);
void gateway_relay_set_options(evutil_socket_t fd);
void gateway_relay_open(target_t *target);
void gateway_relay_stop(gateway_t *gateway);
void gateway_relay_drain(gateway_t *gateway);
bool gateway_relay_lend_next(connection_t *connection);
void gateway_relay_target_failed(target_t *target);
void gateway_relay_forward(connection_t *connection);
void gateway_relay_written(struct bufferevent *events, void *context);
void gateway_relay_connection_lost(borrower_t *borrower);

/* place.c */
void gateway_place_operation(session_t *session);
void gateway_place_leave(session_t *session);
void gateway_place_note_tried(session_t *session, const target_t *target);
void gateway_place_dispatch(group_t *group);

/* execute.c */
void gateway_execute_set_timer(session_t *session, clock_ms_t delay_ms);
void gateway_execute_stop_timer(session_t *session);
void gateway_execute_release_connection(session_t *session);
void gateway_execute_fail(session_t *session, statement_error_t error,
			  const char *reason);
void gateway_execute_advance(session_t *session);
void gateway_execute_step_done(connection_t *connection,
			       const log_position_t *position);
void gateway_execute_connection_lost(session_t *session);
void gateway_execute_session_closed(session_t *session);
void gateway_execute_abort_group(group_t *group);

/* statement.c */
void gateway_statement_execute(session_t *session);

/* tenant.c */
tenant_access_t gateway_tenant_identify(session_t *session);
bool gateway_tenant_admit(session_t *session);
void gateway_tenant_close_denied(gateway_t *gateway);
bool gateway_tenant_may_open(target_t *target, const session_t *session);
bool gateway_tenant_open(target_t *target, const session_t *session);
uint32_t gateway_tenant_openings(const target_t *target, const char *tenant);
uint32_t gateway_tenant_waiting_before(const session_t *session);

/* session.c */
void gateway_session_accept(gateway_t *gateway, evutil_socket_t fd);
void gateway_session_close(session_t *session);
bool gateway_session_may_close(const session_t *session,
			       bool close_open_transactions);
void gateway_session_succeed(session_t *session, struct evbuffer *answer,
			     const log_position_t *position);
void gateway_session_fail(session_t *session, statement_error_t error,
			  const char *reason);

void gateway_session_take_pending(session_t *session);

/* pressure.c */
budget_verdict_t gateway_pressure_account(session_t *session);
bool gateway_pressure_update(session_t *session);
void gateway_pressure_close(session_t *session, const char *limit);
bool gateway_pressure_admit(gateway_t *gateway, bool *refused);
void gateway_pressure_connection(connection_t *connection);
void gateway_pressure_tick(gateway_t *gateway, clock_ms_t now_ms);

/* control.c */
bool gateway_control_is_registered(const gateway_t *gateway);
void gateway_control_change_epoch(store_change_t *change);
int gateway_control_start(gateway_t *gateway);
void gateway_control_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_control_deregister(gateway_t *gateway);

/* era.c */
void gateway_era_begin(gateway_t *gateway);
void gateway_era_apply(gateway_t *gateway, const char *name);
void gateway_era_apply_settled(gateway_t *gateway, const json_t *value);
void gateway_era_records_read(gateway_t *gateway);
bool gateway_era_is_open(const gateway_t *gateway);
bool gateway_era_carries_grants(const gateway_t *gateway, clock_ms_t now_ms);
int gateway_era_write(gateway_t *gateway, store_change_t *change,
		      store_done_t done, void *context);
void gateway_era_tick(gateway_t *gateway, clock_ms_t now_ms);
void gateway_era_group_tick(group_t *group, clock_ms_t now_ms);

/* records.c */
int gateway_records_changed(void *context, const char *key, const char *text,
			    size_t size, uint64_t revision);

/* reports.c */
void gateway_reports_tick(group_t *group, clock_ms_t now_ms);

/* peers.c */
int gateway_peers_start(gateway_t *gateway);
void gateway_peers_update(gateway_t *gateway);

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

/* quota.c */
int gateway_quota_start(gateway_t *gateway);
void gateway_quota_free(gateway_t *gateway);
void gateway_quota_tick(gateway_t *gateway, clock_ms_t now_ms);
bool gateway_quota_admit(session_t *session);
void gateway_quota_leave(session_t *session);
void gateway_quota_give_back(session_t *session);
void gateway_quota_time_out(session_t *session);
void gateway_quota_answer(gateway_t *gateway, http_exchange_t *exchange);
void gateway_quota_answer_seen(gateway_t *gateway, http_exchange_t *exchange);

/* voters.c */
void gateway_voters_apply(gateway_t *gateway, const json_t *value,
			  uint64_t revision);
void gateway_voters_tick(gateway_t *gateway, clock_ms_t now_ms);

/* promote.c */
char *gateway_promote_group_key(const group_t *group);
char *gateway_promote_record_text(const group_record_t *record);
uint64_t gateway_promote_expected_revision(const group_t *group);
void gateway_promote_tick(group_t *group, clock_ms_t now_ms);
void gateway_promote_survey_answer(survey_t *survey, target_t *target,
				   const target_status_t *status);
void gateway_promote_survey_drop(survey_t *survey);

#endif
