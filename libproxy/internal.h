#ifndef HORNBEAMTACK_PROXY_INTERNAL_H
#define HORNBEAMTACK_PROXY_INTERNAL_H

#include <event2/event.h>
#include <stdbool.h>
#include <uthash.h>
#include <utlist.h>

#include "libadmission/admission.h"
#include "libcaller/caller.h"
#include "libclock/clock.h"
#include "libconfig/config.h"
#include "libcounter/counter.h"
#include "libfailover/failover.h"
#include "libmembership/membership.h"
#include "liboperator/operator.h"
#include "libpeer/peer.h"
#include "libplatform/platform.h"
#include "libretry/retry.h"
#include "libroute/route.h"
#include "libsession/session.h"
#include "libtarget/target.h"
#include "libtrace/trace.h"
#include "proxy.h"

typedef struct proxy_group proxy_group_t;
typedef struct proxy_execution proxy_execution_t;
typedef struct proxy_transaction proxy_transaction_t;
typedef struct proxy_request proxy_request_t;
typedef struct proxy_export proxy_export_t;

/* A target of a group, with what this proxy keeps about it as an observer, as
 * its owner and as an entry proxy. */
typedef struct {
	proxy_group_t *group;
	group_index_t index;
	config_target_t config;
	/* Control connection; NULL unless this proxy observes the group. */
	target_control_t *control;
	/* A wait call on the control connection is not answered yet. */
	bool wait_pending;
	/* Connections for statements and their admission. Both exist while this
	 * proxy owns the target, and after that until the statements and
	 * transactions in progress have ended. */
	target_pool_t *pool;
	admission_t *admission;
	bool owned;
	/* The platform's instance list shows the target as leaving. */
	bool list_leaving;
	/* Statements that this entry proxy has sent to the target's owner and
	 * that have no reply yet. */
	uint32_t in_flight;
	/* Time at which the target's owner last failed or refused a statement
	 * of this entry proxy; 0 means never. */
	clock_ms_t failed_at_ms;
} proxy_target_t;

/* The group of a service. */
struct proxy_group {
	UT_hash_handle hh;
	proxy_t *proxy;
	proxy_group_t *next_retired;
	proxy_group_t *prev_active;
	proxy_group_t *next_active;
	/* The group is in proxy_t.active. */
	bool active;
	char name[CONFIG_NAME_SIZE];
	uint64_t service_hash;
	config_service_t config;
	/* The service was removed or has other targets now. The group is freed
	 * when its executions and transactions have ended. */
	bool retired;
	/* Executions and transactions that use the group. */
	uint32_t references;
	proxy_target_t targets[GROUP_TARGETS_MAX];
	/* Set while this proxy observes the group, else NULL. */
	route_evidence_t *evidence;
	failover_t *failover;
	/* Number of this observer in the promises of targets. */
	uint64_t coordinator;
	/* Executions that wait for new evidence, and committed writes that wait
	 * for the confirmation by a majority. */
	proxy_execution_t *waiting;
	/* Last known primary; GROUP_INDEX_NONE if not known. It comes from the
	 * evidence of an observer, else from the replies of owners. */
	group_index_t known_primary;
	/* Callers' requests for the service without an answer. */
	uint32_t in_flight;
};

/* Takes the reply of an execution. The reply is valid during the call. */
typedef void (*proxy_executed_t)(void *context,
				 const peer_statement_reply_t *reply);

typedef enum {
	/* The evidence does not allow the statement to run yet. */
	PROXY_EXECUTION_ROUTING,
	/* The statement waits for a slot of the target. */
	PROXY_EXECUTION_QUEUED,
	/* The statement was passed to the target's connections. */
	PROXY_EXECUTION_RUNNING,
	/* A committed write waits until a majority of the targets has it. */
	PROXY_EXECUTION_CONFIRMING,
} proxy_execution_state_t;

/* A statement at the owner of its target. */
struct proxy_execution {
	UT_hash_handle hh;
	uint64_t id;
	proxy_execution_t *prev;
	proxy_execution_t *next;
	/* The execution is in proxy_group_t.waiting. */
	bool in_waiting_list;
	proxy_t *proxy;
	proxy_group_t *group;
	proxy_target_t *target;
	proxy_execution_state_t state;
	peer_operation_t operation;
	char *statement;
	/* Idempotency key; empty without one. */
	char *key;
	/* Hash of the statement, recorded with the key. */
	uint64_t fingerprint;
	/* Flow for fair queueing: the link to the entry proxy that sent the
	 * statement, or 0 for this proxy. */
	uint32_t flow;
	/* Latest point that the session has seen; term 0 means none. */
	group_point_t seen;
	/* Staleness bound of a read, or ROUTE_AGE_ANY. */
	clock_ms_t max_age_ms;
	clock_ms_t deadline_ms;
	/* Results of the routing decision: term and role of the target, and
	 * the proved age of a read at decided_ms. */
	uint32_t term;
	bool primary;
	clock_ms_t age_ms;
	/* The reply was sent; only the call to the target is still open. */
	bool answered;
	/* In the state ROUTING: point that the target must apply first; term 0
	 * if only a new status can change the decision. */
	group_point_t until;
	/* Times of arrival, of the routing decision and of the dispatch. */
	clock_ms_t started_ms;
	clock_ms_t decided_ms;
	clock_ms_t sent_ms;
	/* Result of a committed write that waits for its confirmation. */
	group_point_t point;
	char *rows_json;
	/* Outcome query: the key is recorded as cancelled, so that its write
	 * can't run any more. */
	bool cancelled;
	/* Outcome query: the key was not found, and its cancellation is being
	 * recorded. */
	bool cancelling;
	proxy_transaction_t *transaction;
	trace_span_t span;
	trace_span_t hop;
	proxy_executed_t done;
	void *context;
};

/* An open transaction that this proxy holds on a connection to its target. */
struct proxy_transaction {
	UT_hash_handle hh;
	char id[256];
	proxy_t *proxy;
	proxy_group_t *group;
	proxy_target_t *target;
	target_transaction_t *handle;
	uint32_t term;
	/* Start or end of the last statement, for the idle timeout. */
	clock_ms_t last_used_ms;
	/* A statement of the transaction is in progress. */
	bool busy;
	/* The transaction is to end once the statement in progress has its
	 * answer. */
	bool ending;
};

struct proxy {
	struct event_base *base;
	clock_source_t clock;
	settings_t settings;
	log_sink_t *log;
	struct event *tick;
	char peer_address[SETTINGS_ENDPOINT_SIZE];
	uint64_t incarnation;
	session_key_t session_key;

	caller_server_t *caller;
	operator_server_t *operator_server;
	peer_node_t *peer;
	platform_client_t *platform;
	membership_t *membership;
	config_store_t *config;
	retry_options_t retry_options;
	retry_budget_t *retry_budget;
	trace_recorder_t *trace;
	proxy_export_t *export;

	proxy_group_t *groups;
	/* Groups that are observed or have a pool; only they and the retired
	 * ones have work in each tick. */
	proxy_group_t *active;
	/* Groups out of force whose work has not ended yet. */
	proxy_group_t *retired;
	proxy_execution_t *executions;
	proxy_transaction_t *transactions;
	/* Last number given out by proxy_next_id(). */
	uint64_t next_id;
	/* Callers' requests without an answer. */
	uint32_t requests_in_flight;

	clock_ms_t started_ms;
	/* Earliest time of the next read of the instance list, of the next
	 * fetch or watch, and of the next proxy_groups_reap(). */
	clock_ms_t list_at_ms;
	clock_ms_t platform_fetch_at_ms;
	clock_ms_t reap_at_ms;
	/* A fetch of configuration from the platform is not answered yet. */
	bool fetch_pending;
	/* A complete configuration was fetched from the platform or a peer. */
	bool config_known;
	/* The watch ended: changes may have been missed and must be fetched
	 * before the next watch. */
	bool watch_fetch_due;
	/* A fetch of configuration from a peer is not answered yet. */
	bool peer_fetch_pending;
	/* A read of the instance list is not answered yet. */
	bool list_pending;
	/* Entries of the platform that were skipped, as far as logged. */
	uint64_t skipped_entries;
	/* Of these, the ones in the last instance list. */
	uint64_t skipped_instances;
	/* The last message about leaving instances named at least one. */
	bool leaving_pushed;
	/* Time of the next message if no instance is leaving. */
	clock_ms_t leaving_at_ms;
	/* Ownership of targets must be decided again in the next tick. */
	bool ownership_dirty;
	bool draining;
	/* The drain ends at this time even with requests in flight. */
	clock_ms_t drain_deadline_ms;
	/* The drain ends at this time if nothing was in flight since. */
	clock_ms_t drain_linger_ms;

	struct {
		counter_registry_t *registry;
		counter_family_t *statements;
		counter_family_t *refusals;
		counter_family_t *reads;
		counter_family_t *latency;
		counter_family_t *forwards;
		counter_family_t *retries;
		counter_family_t *promotions;
		counter_family_t *phase_ms;
		counter_family_t *malformed;
		counter_family_t *config_revision;
		counter_family_t *members;
		counter_family_t *connections;
		counter_family_t *slots;
		counter_family_t *queued;
		counter_family_t *transactions;
		counter_family_t *platform_calls;
		counter_family_t *peer_bytes;
		counter_family_t *peer_messages;
		counter_family_t *spans_dropped;
		counter_family_t *in_flight;
	} counters;
};

/* proxy.c */
clock_ms_t proxy_now(const proxy_t *proxy);
uint64_t proxy_random(void);
uint64_t proxy_next_id(proxy_t *proxy);

/* counters.c */
int proxy_counters_new(proxy_t *proxy);
char *proxy_counters_render(proxy_t *proxy);

/* group.c */
proxy_group_t *proxy_group_find(proxy_t *proxy, const char *service);
group_index_t proxy_group_find_target(const proxy_group_t *group,
				      const char *name);
int proxy_group_configure(proxy_t *proxy, const config_service_t *service);
void proxy_group_remove(proxy_t *proxy, const char *service);
void proxy_group_primary_changed(proxy_group_t *group);
void proxy_group_release(proxy_group_t *group);
void proxy_group_free(proxy_group_t *group);
void proxy_groups_update_ownership(proxy_t *proxy);
void proxy_groups_tick(proxy_t *proxy, clock_ms_t now_ms);
void proxy_groups_reap(proxy_t *proxy);

/* observe.c */
int proxy_observe_start(proxy_group_t *group);
void proxy_observe_stop(proxy_group_t *group);
void proxy_observe_tick(proxy_group_t *group, clock_ms_t now_ms);
void proxy_observe_send_waits(proxy_group_t *group);
void proxy_observe_leaving(proxy_group_t *group, group_index_t target,
			   bool leaving);

/* execute.c */
void proxy_execute(proxy_group_t *group, proxy_target_t *target,
		   const peer_statement_t *statement, uint32_t flow,
		   proxy_executed_t done, void *context);
void proxy_execute_decide_waiting(proxy_group_t *group);
void proxy_execute_primary_changed(proxy_group_t *group, group_index_t primary);
void proxy_execute_expire(proxy_group_t *group, clock_ms_t now_ms);
void proxy_execute_dispatch(proxy_target_t *target);
void proxy_execute_finish(proxy_execution_t *execution,
			  const peer_statement_reply_t *reply);
void proxy_execute_refuse(proxy_execution_t *execution, const char *reason,
			  bool again, bool overload);
void proxy_execute_decide(proxy_execution_t *execution);
bool proxy_execution_is_read(const proxy_execution_t *execution);
void proxy_execution_start_hop(proxy_execution_t *execution, trace_hop_t hop);
void proxy_execution_wait(proxy_execution_t *execution);
void proxy_execution_free(proxy_execution_t *execution);
void proxy_execute_release_slot(proxy_execution_t *execution);

/* settle.c */
void proxy_execute_settle(proxy_execution_t *execution,
			  const target_result_t *result);
void proxy_execute_finish_unknown(proxy_execution_t *execution,
				  const char *reason);
void proxy_execute_finish_confirmed(proxy_execution_t *execution);

/* transaction.c */
proxy_transaction_t *proxy_transaction_find(proxy_t *proxy, const char *id);
void proxy_transaction_begin(proxy_execution_t *execution);
void proxy_transaction_run(proxy_execution_t *execution);
void proxy_transactions_expire(proxy_t *proxy, clock_ms_t now_ms);
void proxy_transactions_end_group(proxy_group_t *group);

/* entry.c */
void proxy_entry_request(void *context, caller_call_t *call,
			 const caller_request_t *from);

/* members.c */
int proxy_members_new(proxy_t *proxy);
void proxy_members_receive(proxy_t *proxy, const membership_message_t *message);
void proxy_members_tick(proxy_t *proxy, clock_ms_t now_ms);
bool proxy_members_is_self(const proxy_t *proxy,
			   const membership_member_t *member);
bool proxy_members_have_revision(const proxy_t *proxy, uint64_t revision);

/* instance_list.c */
void proxy_instance_list_read(void *context, int error,
			      const platform_instance_t *instances,
			      size_t count);
void proxy_instance_list_receive_leaving(proxy_t *proxy,
					 const peer_leaving_t *leaving);

/* configure.c */
bool proxy_configure_is_watcher(const proxy_t *proxy);
uint64_t proxy_configure_revision(const proxy_t *proxy);
void proxy_configure_refresh(proxy_t *proxy);
uint64_t proxy_configure_count_skipped(proxy_t *proxy);
void proxy_configure_tick(proxy_t *proxy, clock_ms_t now_ms);
void proxy_configure_fetch_from(proxy_t *proxy,
				const membership_member_t *member);
void proxy_configure_serve_fetch(proxy_t *proxy, uint64_t link_id,
				 const peer_message_t *message);
void proxy_configure_pushed(proxy_t *proxy, uint64_t link_id,
			    const peer_message_t *message);
int proxy_configure_apply(proxy_t *proxy, const peer_item_t *from);

/* change.c */
void proxy_change_get(void *context, operator_call_t *call,
		      const char *service);
void proxy_change_start(void *context, operator_call_t *call,
			const operator_change_t *from);
void proxy_change_history(void *context, operator_call_t *call,
			  const char *service);

/* status.c */
json_t *proxy_status(void *context);

/* export.c */
proxy_export_t *proxy_export_new(proxy_t *proxy);
void proxy_export_free(proxy_export_t *export);
void proxy_export_span(void *context, const trace_span_t *span);
int proxy_export_random(void *context, uint8_t *bytes, size_t count);

#endif
