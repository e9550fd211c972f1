#include "internal.h"

#include "transaction_id.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Returns the open transaction of this proxy with the id, or NULL.
 */
proxy_transaction_t *proxy_transaction_find(proxy_t *proxy, const char *id)
{
	proxy_transaction_t *transaction;

	HASH_FIND_STR(proxy->transactions, id, transaction);
	return transaction;
}

static void transaction_free(proxy_transaction_t *transaction)
{
	HASH_DEL(transaction->proxy->transactions, transaction);
	if (transaction->target->admission)
		admission_transaction_close(transaction->target->admission);
	if (transaction->handle)
		target_transaction_free(transaction->handle);
	proxy_group_release(transaction->group);
	free(transaction);
}

static proxy_transaction_t *new_transaction(proxy_execution_t *execution)
{
	proxy_t *proxy = execution->proxy;
	proxy_transaction_t *transaction = calloc(1, sizeof(*transaction));

	if (!transaction)
		return NULL;
	transaction->proxy = proxy;
	transaction->group = execution->group;
	transaction->target = execution->target;
	transaction->term = execution->term;
	transaction->last_used_ms = proxy_now(proxy);
	transaction->busy = true;
	proxy_transaction_id_format(
		transaction->id, sizeof(transaction->id), proxy->settings.name,
		execution->group->name, execution->target->config.name,
		proxy_random());
	execution->group->references++;
	HASH_ADD_STR(proxy->transactions, id, transaction);
	return transaction;
}

static void on_begun(void *context, const target_result_t *result)
{
	proxy_execution_t *execution = context;
	proxy_transaction_t *transaction = execution->transaction;
	proxy_target_t *target = execution->target;
	peer_statement_reply_t reply = { .outcome = RETRY_OUTCOME_DONE,
					 .transaction = transaction->id,
					 .age_ms = ROUTE_AGE_ANY };

	proxy_execute_release_slot(execution);
	if (result->error == TARGET_OK) {
		proxy_execute_finish(execution, &reply);
	} else {
		execution->transaction = NULL;
		transaction_free(transaction);
		/* BEGIN commits nothing, so that a BEGIN without an answer can
		 * be repeated. */
		if (result->error == TARGET_ERROR_TIMEOUT ||
		    result->error == TARGET_ERROR_LOST)
			proxy_execute_refuse(execution, "no-answer", true,
					     false);
		else
			proxy_execute_settle(execution, result);
	}
	proxy_execute_dispatch(target);
}

/*
 * Opens a transaction on a connection of its own, and answers with its id. Is
 * refused if the target has as many open transactions as it may have.
 */
void proxy_transaction_begin(proxy_execution_t *execution)
{
	proxy_target_t *target = execution->target;
	proxy_transaction_t *transaction;

	if (!target->pool ||
	    admission_transaction_open(target->admission) != ADMISSION_OK) {
		proxy_execute_release_slot(execution);
		proxy_execute_refuse(execution, "transactions", true, true);
		return;
	}
	transaction = new_transaction(execution);
	if (!transaction) {
		admission_transaction_close(target->admission);
		proxy_execute_release_slot(execution);
		proxy_execute_refuse(execution, "no-memory", true, true);
		return;
	}
	execution->transaction = transaction;
	transaction->handle = target_transaction_new(
		target->pool, execution->term,
		*execution->key != '\0' ? execution->key : NULL,
		execution->fingerprint, execution->deadline_ms, on_begun,
		execution);
	if (transaction->handle)
		return;
	execution->transaction = NULL;
	transaction_free(transaction);
	proxy_execute_release_slot(execution);
	proxy_execute_refuse(execution, "no-connection", true, true);
}

/*
 * Returns whether the transaction can take another statement after a call that
 * ended with error.
 */
static bool is_usable(int error)
{
	return error == TARGET_OK || error == TARGET_ERROR_STATEMENT;
}

static void on_run_done(void *context, const target_result_t *result)
{
	proxy_execution_t *execution = context;
	proxy_transaction_t *transaction = execution->transaction;
	proxy_target_t *target = execution->target;

	proxy_execute_release_slot(execution);
	transaction->last_used_ms = proxy_now(execution->proxy);
	if (!is_usable(result->error) || transaction->ending ||
	    execution->operation == PEER_OPERATION_COMMIT) {
		execution->transaction = NULL;
		transaction_free(transaction);
	}
	proxy_execute_settle(execution, result);
	proxy_execute_dispatch(target);
}

static void roll_back(proxy_execution_t *execution)
{
	peer_statement_reply_t reply = { .outcome = RETRY_OUTCOME_DONE,
					 .age_ms = ROUTE_AGE_ANY };
	proxy_transaction_t *transaction = execution->transaction;
	proxy_target_t *target = execution->target;

	proxy_execute_release_slot(execution);
	execution->transaction = NULL;
	transaction_free(transaction);
	proxy_execute_finish(execution, &reply);
	proxy_execute_dispatch(target);
}

/*
 * Runs a statement, a commit or a rollback on the connection of the execution's
 * transaction.
 */
void proxy_transaction_run(proxy_execution_t *execution)
{
	target_transaction_t *handle = execution->transaction->handle;
	int error;

	if (execution->operation == PEER_OPERATION_ROLLBACK) {
		roll_back(execution);
		return;
	}
	if (execution->operation == PEER_OPERATION_COMMIT)
		error = target_transaction_commit(
			handle, execution->deadline_ms, on_run_done, execution);
	else
		error = target_transaction_run(handle, execution->statement,
					       execution->deadline_ms,
					       on_run_done, execution);
	if (error == TARGET_OK)
		return;
	proxy_execute_release_slot(execution);
	proxy_execute_refuse(execution, "transaction-unknown", false, false);
}

/*
 * Rolls back the transactions for which no statement arrived or ran for the
 * idle timeout of their service.
 */
void proxy_transactions_expire(proxy_t *proxy, clock_ms_t now_ms)
{
	proxy_transaction_t *transaction;
	proxy_transaction_t *next;

	HASH_ITER(hh, proxy->transactions, transaction, next) {
		if (transaction->busy ||
		    now_ms - transaction->last_used_ms <
			    transaction->group->config.transaction_idle_ms)
			continue;
		LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "transaction-expired",
			  LOG_TEXT("service", transaction->group->name),
			  LOG_TEXT("target", transaction->target->config.name),
			  LOG_TEXT("transaction", transaction->id));
		transaction_free(transaction);
	}
}

/*
 * Rolls back all transactions of a group, before the group is freed.
 */
void proxy_transactions_end_group(proxy_group_t *group)
{
	proxy_transaction_t *transaction;
	proxy_transaction_t *next;

	HASH_ITER(hh, group->proxy->transactions, transaction, next) {
		if (transaction->group == group)
			transaction_free(transaction);
	}
}
