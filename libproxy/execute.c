#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACTIONS_MAX 16
/* A write for which the group has no primary waits this long at the owner for a
 * new one. Then the owner refuses the write, and the entry proxy asks the next
 * owner. Waiting at an owner costs no messages, because the owner observes the
 * group, and it ends as soon as a new primary is promoted. */
#define PRIMARY_WAIT_MS 250

static void admit(proxy_execution_t *execution);

/*
 * Returns whether the execution is a read outside a transaction.
 */
bool proxy_execution_is_read(const proxy_execution_t *execution)
{
	return execution->operation == PEER_OPERATION_READ;
}

static void unlist(proxy_execution_t *execution)
{
	if (!execution->in_waiting_list)
		return;
	DL_DELETE(execution->group->waiting, execution);
	execution->in_waiting_list = false;
}

/*
 * Adds the execution to the group's list of executions that wait for evidence.
 * Has no effect on an execution that is in the list already.
 */
void proxy_execution_wait(proxy_execution_t *execution)
{
	if (execution->in_waiting_list)
		return;
	DL_APPEND(execution->group->waiting, execution);
	execution->in_waiting_list = true;
}

/*
 * Frees an execution whose reply was sent, and gives back its reference to the
 * group.
 */
void proxy_execution_free(proxy_execution_t *execution)
{
	unlist(execution);
	HASH_DEL(execution->proxy->executions, execution);
	proxy_group_release(execution->group);
	free(execution->statement);
	free(execution->key);
	free(execution->rows_json);
	free(execution);
}

static void end_hop(proxy_execution_t *execution, const char *result)
{
	if (execution->hop.start_ms == 0)
		return;
	trace_span_end(execution->proxy->trace, &execution->hop, result,
		       proxy_now(execution->proxy));
	execution->hop.start_ms = 0;
}

/*
 * Ends the trace span of the execution's present hop and starts the span of the
 * next hop.
 */
void proxy_execution_start_hop(proxy_execution_t *execution, trace_hop_t hop)
{
	end_hop(execution, "done");
	execution->hop = trace_span_start(execution->proxy->trace,
					  &execution->span.context, hop,
					  proxy_now(execution->proxy));
	snprintf(execution->hop.service, sizeof(execution->hop.service), "%s",
		 execution->group->name);
	snprintf(execution->hop.target, sizeof(execution->hop.target), "%s",
		 execution->target->config.name);
}

/*
 * Sends a copy of the reply, with the target, its role and the name of the last
 * known primary filled in, and ends the trace spans of the execution.
 */
static void send_reply(proxy_execution_t *execution,
		       const peer_statement_reply_t *reply)
{
	const proxy_group_t *group = execution->group;
	peer_statement_reply_t copy = *reply;

	copy.target = execution->target->config.name;
	copy.primary = execution->primary;
	copy.hint = group->known_primary != GROUP_INDEX_NONE
			    ? group->config.targets[group->known_primary].name
			    : "";
	end_hop(execution, "done");
	execution->span.term = execution->term;
	trace_span_end(execution->proxy->trace, &execution->span,
		       copy.outcome == RETRY_OUTCOME_DONE ? "done"
							  : copy.reason,
		       proxy_now(execution->proxy));
	execution->answered = true;
	execution->done(execution->context, &copy);
}

/*
 * Sends the reply, unless the execution was answered already, and frees the
 * execution. Its transaction may then run another statement.
 */
void proxy_execute_finish(proxy_execution_t *execution,
			  const peer_statement_reply_t *reply)
{
	if (execution->transaction)
		execution->transaction->busy = false;
	if (!execution->answered)
		send_reply(execution, reply);
	proxy_execution_free(execution);
}

/*
 * Ends the execution with the outcome "not run" and the reason. again says that
 * another target or a later attempt may succeed, overload that the reason is
 * load, so that a further attempt counts against the retry budget.
 */
void proxy_execute_refuse(proxy_execution_t *execution, const char *reason,
			  bool again, bool overload)
{
	peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_NOT_RUN,
		.reason = reason,
		.again = again,
		.overload = overload,
	};

	proxy_execute_finish(execution, &reply);
}

/*
 * Gives back the slot of an execution whose call to the target has ended. The
 * caller starts the next queued execution with proxy_execute_dispatch().
 */
void proxy_execute_release_slot(proxy_execution_t *execution)
{
	proxy_target_t *target = execution->target;

	if (target->admission)
		admission_release(target->admission, execution->id,
				  proxy_now(execution->proxy));
}

static void on_job_done(void *context, const target_result_t *result)
{
	proxy_execution_t *execution = context;
	proxy_target_t *target = execution->target;

	proxy_execute_release_slot(execution);
	proxy_execute_settle(execution, result);
	proxy_execute_dispatch(target);
}

static target_job_t make_job(const proxy_execution_t *execution)
{
	target_job_t job = {
		.kind = TARGET_JOB_READ,
		.statement = execution->statement,
		.seen = execution->seen,
		.term = execution->term,
		.key = *execution->key != '\0' ? execution->key : NULL,
		.fingerprint = execution->fingerprint,
		.deadline_ms = execution->deadline_ms,
	};

	if (execution->operation == PEER_OPERATION_WRITE)
		job.kind = TARGET_JOB_WRITE;
	else if (execution->operation == PEER_OPERATION_OUTCOME)
		job.kind = execution->cancelling ? TARGET_JOB_OUTCOME_CANCEL
						 : TARGET_JOB_OUTCOME_GET;
	return job;
}

static void run_job(proxy_execution_t *execution)
{
	target_job_t job = make_job(execution);

	if (!execution->target->pool ||
	    target_pool_run(execution->target->pool, &job, on_job_done,
			    execution) != TARGET_OK) {
		proxy_execute_release_slot(execution);
		proxy_execute_refuse(execution, "no-connection", true, true);
	}
}

static void run(proxy_execution_t *execution)
{
	proxy_execution_start_hop(execution, TRACE_HOP_CONNECTION);
	execution->state = PROXY_EXECUTION_RUNNING;
	execution->sent_ms = proxy_now(execution->proxy);
	switch (execution->operation) {
	case PEER_OPERATION_READ:
	case PEER_OPERATION_WRITE:
	case PEER_OPERATION_OUTCOME:
		run_job(execution);
		break;
	case PEER_OPERATION_BEGIN:
		proxy_transaction_begin(execution);
		break;
	case PEER_OPERATION_RUN:
	case PEER_OPERATION_COMMIT:
	case PEER_OPERATION_ROLLBACK:
		proxy_transaction_run(execution);
		break;
	}
}

/*
 * Performs what admission decided for an execution: runs it, lets it wait in
 * the queue or refuses it.
 */
static void perform(proxy_t *proxy, const admission_action_t *action)
{
	proxy_execution_t *execution;

	HASH_FIND(hh, proxy->executions, &action->id, sizeof(action->id),
		  execution);
	if (!execution)
		return;
	switch (action->kind) {
	case ADMISSION_ACTION_ADMIT:
		run(execution);
		break;
	case ADMISSION_ACTION_QUEUE:
		execution->state = PROXY_EXECUTION_QUEUED;
		proxy_execution_start_hop(execution, TRACE_HOP_QUEUE);
		break;
	case ADMISSION_ACTION_REFUSE:
		proxy_execute_refuse(execution,
				     admission_refusal_text(action->reason),
				     true, true);
		break;
	}
}

/*
 * Starts queued executions of a target while slots are free, and refuses the
 * queued executions whose deadline can't be met any more.
 */
void proxy_execute_dispatch(proxy_target_t *target)
{
	admission_action_t actions[ACTIONS_MAX];
	proxy_t *proxy = target->group->proxy;
	size_t count;
	size_t i;

	do {
		if (!target->admission)
			return;
		count = admission_dispatch(target->admission, proxy_now(proxy),
					   actions, ACTIONS_MAX);
		for (i = 0; i < count; i++)
			perform(proxy, &actions[i]);
	} while (count == ACTIONS_MAX);
}

static admission_class_t class_of(const proxy_execution_t *execution)
{
	if (execution->transaction)
		return ADMISSION_CLASS_TRANSACTION;
	return proxy_execution_is_read(execution) ? ADMISSION_CLASS_READ
						  : ADMISSION_CLASS_WRITE;
}

/*
 * Offers an execution to the admission of its target, and removes it from the
 * list of waiting executions.
 */
static void admit(proxy_execution_t *execution)
{
	admission_request_t request = {
		.id = execution->id,
		.flow = execution->flow,
		.class = class_of(execution),
		.deadline_ms = execution->deadline_ms,
	};
	admission_action_t action =
		admission_offer(execution->target->admission, &request,
				proxy_now(execution->proxy));

	action.id = execution->id;
	unlist(execution);
	perform(execution->proxy, &action);
}

static route_request_t route_request(const proxy_execution_t *execution)
{
	return (route_request_t){
		.kind = proxy_execution_is_read(execution) ? ROUTE_KIND_READ
							   : ROUTE_KIND_WRITE,
		.seen = execution->seen,
		.max_age_ms = execution->max_age_ms,
		.deadline_ms = execution->deadline_ms,
	};
}

/*
 * Admits an execution that the target may run by the evidence. A write is
 * refused if its session has seen a later term than that of the target's log,
 * because the target can't be the primary of the later term.
 */
static void serve(proxy_execution_t *execution,
		  const route_decision_t *decision)
{
	execution->term = decision->u.serve.term;
	execution->primary = decision->u.serve.primary;
	execution->age_ms = decision->u.serve.age_ms;
	execution->decided_ms = proxy_now(execution->proxy);
	if (!proxy_execution_is_read(execution) &&
	    execution->seen.term > execution->term)
		proxy_execute_refuse(execution, "no-primary", true, false);
	else
		admit(execution);
}

/*
 * Returns whether a refused write should wait for a new primary: the group has
 * no primary at the moment, the deadline has not passed, and the write has not
 * waited for PRIMARY_WAIT_MS yet.
 */
static bool may_wait_for_primary(const proxy_execution_t *execution,
				 const route_decision_t *decision)
{
	clock_ms_t now_ms = proxy_now(execution->proxy);

	if (proxy_execution_is_read(execution) ||
	    now_ms >= execution->deadline_ms ||
	    now_ms - execution->started_ms >= PRIMARY_WAIT_MS)
		return false;
	return decision->u.refuse.reason == ROUTE_REFUSAL_NO_PRIMARY ||
	       decision->u.refuse.reason == ROUTE_REFUSAL_NO_QUORUM;
}

/*
 * Decides by the group's evidence whether the target may run the execution, and
 * admits it, lets it wait for new evidence, or refuses it.
 */
void proxy_execute_decide(proxy_execution_t *execution)
{
	proxy_group_t *group = execution->group;
	route_request_t request = route_request(execution);
	route_decision_t decision;

	if (!execution->target->owned || !group->evidence) {
		proxy_execute_refuse(execution, "not-owner", true, false);
		return;
	}
	decision = route_decide(group->evidence, execution->target->index,
				&request, proxy_now(execution->proxy));
	switch (decision.kind) {
	case ROUTE_DECISION_SERVE:
		serve(execution, &decision);
		break;
	case ROUTE_DECISION_WAIT:
		execution->until = decision.u.wait.until;
		if (!execution->in_waiting_list)
			proxy_execution_start_hop(execution,
						  TRACE_HOP_REPLICA_WAIT);
		proxy_execution_wait(execution);
		break;
	case ROUTE_DECISION_REFUSE:
		if (may_wait_for_primary(execution, &decision)) {
			execution->until = (group_point_t){ 0 };
			proxy_execution_wait(execution);
			break;
		}
		proxy_execute_refuse(
			execution, route_refusal_text(decision.u.refuse.reason),
			true, false);
		break;
	}
}

/*
 * Returns whether a committed write can't be confirmed any more, because the
 * log of a primary of a later term does not contain the write's point.
 */
static bool is_superseded(const proxy_execution_t *execution)
{
	const route_evidence_t *evidence = execution->group->evidence;
	group_index_t primary;
	uint32_t term;

	return evidence &&
	       route_evidence_primary(evidence, &term, &primary) == ROUTE_OK &&
	       term > execution->point.term &&
	       group_required_position(route_evidence_status(evidence, primary),
				       execution->point) <
		       execution->point.position_bytes;
}

/*
 * Handles new evidence of the group: decides again on the executions that wait
 * to be routed, answers the committed writes that are confirmed now or can't be
 * confirmed any more, and sends wait calls for the rest.
 */
void proxy_execute_decide_waiting(proxy_group_t *group)
{
	proxy_execution_t *execution;
	proxy_execution_t *next;

	DL_FOREACH_SAFE(group->waiting, execution, next) {
		if (execution->state == PROXY_EXECUTION_ROUTING)
			proxy_execute_decide(execution);
		else if (group->evidence &&
			 route_evidence_confirmed(group->evidence,
						  execution->point))
			proxy_execute_finish_confirmed(execution);
		else if (is_superseded(execution))
			/* Waiting until the deadline would only delay the
			 * next attempt with the same idempotency key at
			 * the new primary. */
			proxy_execute_finish_unknown(execution,
						     "not-confirmed");
	}
	proxy_observe_send_waits(group);
}

/*
 * Answers the writes that are in progress at a replaced primary, so that their
 * entry proxies try the new primary at once instead of waiting for the
 * deadline. A queued write has not run and is refused. A write that was sent
 * may have run: its outcome is unknown, and only its idempotency key can show
 * it, so that a write without a key is not answered here. A call to the target
 * that is still open keeps its slot until it ends.
 */
void proxy_execute_primary_changed(proxy_group_t *group, group_index_t primary)
{
	const peer_statement_reply_t reply = {
		.outcome = RETRY_OUTCOME_UNKNOWN,
		.reason = "primary-replaced",
		.again = true,
	};
	proxy_execution_t *execution;
	proxy_execution_t *next;

	HASH_ITER(hh, group->proxy->executions, execution, next) {
		if (execution->group != group ||
		    execution->target->index == primary ||
		    execution->operation != PEER_OPERATION_WRITE ||
		    execution->answered)
			continue;
		if (execution->state == PROXY_EXECUTION_QUEUED) {
			admission_cancel(execution->target->admission,
					 execution->id);
			proxy_execute_refuse(execution, "not-primary", true,
					     false);
		} else if (*execution->key == '\0') {
			continue;
		} else if (execution->state == PROXY_EXECUTION_CONFIRMING) {
			proxy_execute_finish(execution, &reply);
		} else if (execution->state == PROXY_EXECUTION_RUNNING) {
			send_reply(execution, &reply);
		}
	}
}

/*
 * Ends the executions that wait past their deadline. A read that was not sent
 * to the target is refused as not run, and the outcome of a committed write
 * that was not confirmed is unknown. A write that waits for a primary is
 * decided again, which refuses it after PRIMARY_WAIT_MS.
 */
void proxy_execute_expire(proxy_group_t *group, clock_ms_t now_ms)
{
	proxy_execution_t *execution;
	proxy_execution_t *next;

	DL_FOREACH_SAFE(group->waiting, execution, next) {
		if (execution->state == PROXY_EXECUTION_ROUTING &&
		    !proxy_execution_is_read(execution)) {
			/* The decision refuses the write after its wait. */
			proxy_execute_decide(execution);
			continue;
		}
		if (now_ms < execution->deadline_ms)
			continue;
		if (execution->state == PROXY_EXECUTION_CONFIRMING)
			proxy_execute_finish_unknown(execution,
						     "not-confirmed");
		else
			proxy_execute_refuse(execution, "position-not-reached",
					     true, false);
	}
}

static char *copy_text(const char *text)
{
	return strdup(text ? text : "");
}

static proxy_execution_t *new_execution(proxy_group_t *group,
					proxy_target_t *target,
					const peer_statement_t *statement)
{
	proxy_t *proxy = group->proxy;
	proxy_execution_t *execution = calloc(1, sizeof(*execution));
	trace_context_t parent;
	bool traced;

	if (!execution)
		return NULL;
	execution->statement = copy_text(statement->statement);
	execution->key = copy_text(statement->key);
	if (!execution->statement || !execution->key) {
		free(execution->statement);
		free(execution->key);
		free(execution);
		return NULL;
	}
	execution->proxy = proxy;
	execution->group = group;
	execution->target = target;
	execution->id = proxy_next_id(proxy);
	execution->operation = statement->operation;
	execution->fingerprint = statement->fingerprint;
	execution->seen = statement->seen;
	execution->max_age_ms = statement->max_age_ms;
	execution->age_ms = ROUTE_AGE_ANY;
	execution->started_ms = proxy_now(proxy);
	execution->deadline_ms =
		execution->started_ms + statement->remaining_ms;
	traced = trace_context_parse(statement->traceparent, &parent) ==
		 TRACE_OK;
	execution->span =
		trace_span_start(proxy->trace, traced ? &parent : NULL,
				 TRACE_HOP_TARGET, proxy_now(proxy));
	snprintf(execution->span.service, sizeof(execution->span.service), "%s",
		 group->name);
	snprintf(execution->span.target, sizeof(execution->span.target), "%s",
		 target->config.name);
	return execution;
}

/*
 * Runs a statement of an open transaction on the transaction's connection.
 * Refuses it if the transaction is not open here or another statement of the
 * transaction is in progress.
 */
static void start_in_transaction(proxy_execution_t *execution, const char *id)
{
	proxy_transaction_t *transaction =
		proxy_transaction_find(execution->proxy, id);

	if (!transaction || transaction->ending) {
		/* An earlier attempt of this commit may have run. */
		if (execution->operation == PEER_OPERATION_COMMIT)
			proxy_execute_finish_unknown(execution,
						     "transaction-unknown");
		else
			proxy_execute_refuse(execution, "transaction-unknown",
					     false, false);
		return;
	}
	if (transaction->busy) {
		proxy_execute_refuse(execution, "transaction-busy", false,
				     false);
		return;
	}
	transaction->busy = true;
	transaction->last_used_ms = proxy_now(execution->proxy);
	execution->transaction = transaction;
	execution->term = transaction->term;
	execution->primary = true;
	admit(execution);
}

/*
 * Runs a statement at a target of the group, which this proxy should own. flow
 * identifies the entry proxy that sent the statement: the places and turns of
 * the queue are shared fairly among the flows. done is called exactly once with
 * the reply, possibly from inside this call. The statement is copied.
 */
void proxy_execute(proxy_group_t *group, proxy_target_t *target,
		   const peer_statement_t *statement, uint32_t flow,
		   proxy_executed_t done, void *context)
{
	static const peer_statement_reply_t full = {
		.outcome = RETRY_OUTCOME_NOT_RUN,
		.reason = "in-flight",
		.again = true,
		.overload = true,
	};
	proxy_execution_t *execution = NULL;

	/* The limit spares statements of open transactions, so that the
	 * transactions can end and give back their connections. */
	if (statement->operation >= PEER_OPERATION_RUN ||
	    HASH_COUNT(group->proxy->executions) <
		    group->proxy->settings.in_flight_max)
		execution = new_execution(group, target, statement);
	if (!execution) {
		done(context, &full);
		return;
	}
	execution->flow = flow;
	execution->done = done;
	execution->context = context;
	group->references++;
	HASH_ADD(hh, group->proxy->executions, id, sizeof(execution->id),
		 execution);
	if (execution->operation >= PEER_OPERATION_RUN) {
		if (target->admission)
			start_in_transaction(execution, statement->transaction);
		else
			proxy_execute_refuse(execution, "transaction-unknown",
					     false, false);
		return;
	}
	proxy_execute_decide(execution);
	proxy_observe_send_waits(group);
}
