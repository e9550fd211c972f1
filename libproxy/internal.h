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

/* One target as this proxy sees it. */
typedef struct {
	proxy_group_t *group;
	group_index_t index;
	config_target_t config;
	/* While the group is observed. */
	target_control_t *control;
	bool wait_pending;
	/* While this proxy owns the target, and until its work has ended. */
	target_pool_t *pool;
	admission_t *admission;
	bool owned;
	bool list_leaving;
	/* As an entry proxy. */
	uint32_t in_flight;
	clock_ms_t failed_at_ms;
} proxy_target_t;

/* The group of one service. */
struct proxy_group {
	UT_hash_handle hh;
	proxy_t *proxy;
	proxy_group_t *next_retired;
	proxy_group_t *prev_active;
	proxy_group_t *next_active;
	/* In the list of active groups. */
	bool active;
	char name[CONFIG_NAME_SIZE];
	uint64_t service_hash;
	config_service_t config;
	/* Replaced by a newer configuration; freed when its work has ended. */
	bool retired;
	uint32_t references;
	proxy_target_t targets[GROUP_TARGETS_MAX];
	route_evidence_t *evidence;
	failover_t *failover;
	uint64_t coordinator;
	/* Executions that wait for evidence. */
	proxy_execution_t *waiting;
	group_index_t known_primary;
	uint32_t in_flight;
};

/* A statement at the owner of its target. */
typedef void (*proxy_executed_t)(void *context,
				 const peer_statement_reply_t *reply);

typedef enum {
	PROXY_EXECUTION_ROUTING,
	PROXY_EXECUTION_QUEUED,
	PROXY_EXECUTION_RUNNING,
	PROXY_EXECUTION_CONFIRMING,
} proxy_execution_state_t;

struct proxy_execution {
	UT_hash_handle hh;
	uint64_t id;
	proxy_execution_t *prev;
	proxy_execution_t *next;
	bool in_waiting_list;
	proxy_t *proxy;
	proxy_group_t *group;
	proxy_target_t *target;
	proxy_execution_state_t state;
	peer_operation_t operation;
	char *statement;
	char *key;
	uint64_t fingerprint;
	/* Entry proxy, for fairness between them. */
	uint32_t flow;
	group_point_t seen;
	clock_ms_t max_age_ms;
	clock_ms_t deadline_ms;
	uint32_t term;
	bool primary;
	clock_ms_t age_ms;
	/* The reply was sent; only the call to the target is still open. */
	bool answered;
	/* What is waited for while the evidence does not allow an answer. */
	group_point_t until;
	clock_ms_t started_ms;
	clock_ms_t decided_ms;
	clock_ms_t sent_ms;
	/* A committed write that waits for its confirmation. */
	group_point_t point;
	char *rows_json;
	bool cancelled;
	bool cancelling;
	proxy_transaction_t *transaction;
	trace_span_t span;
	trace_span_t hop;
	proxy_executed_t done;
	void *context;
};

struct proxy_transaction {
	UT_hash_handle hh;
	char id[256];
	proxy_t *proxy;
	proxy_group_t *group;
	proxy_target_t *target;
	target_transaction_t *handle;
	uint32_t term;
	clock_ms_t last_used_ms;
	bool busy;
	/* Ends once the statement in progress has its answer. */
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
	/* Those of groups that are observed or have a pool. */
	proxy_group_t *active;
	proxy_group_t *retired;
	proxy_execution_t *executions;
	proxy_transaction_t *transactions;
	uint64_t next_id;
	uint32_t requests_in_flight;

	clock_ms_t started_ms;
	clock_ms_t list_at_ms;
	clock_ms_t platform_fetch_at_ms;
	clock_ms_t reap_at_ms;
	bool fetch_pending;
	bool config_known;
	bool watch_fetch_due;
	bool peer_fetch_pending;
	bool list_pending;
	bool leaving_pushed;
	clock_ms_t leaving_at_ms;
	bool ownership_dirty;
	bool draining;
	clock_ms_t drain_deadline_ms;
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
/* True if every live member reports at least this revision. */
bool proxy_members_have_revision(const proxy_t *proxy, uint64_t revision);

/* listed.c */
void proxy_instance_list_read(void *context, int error,
			      const platform_instance_t *instances,
			      size_t count);
void proxy_instance_list_receive_leaving(proxy_t *proxy,
					 const peer_leaving_t *leaving);

/* configure.c */
bool proxy_configure_is_watcher(const proxy_t *proxy);
uint64_t proxy_configure_revision(const proxy_t *proxy);
void proxy_configure_refresh(proxy_t *proxy);
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
