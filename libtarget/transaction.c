#include <stdlib.h>
#include <string.h>

#include "pool.h"

/*
 * Begins a transaction on a connection that is reserved for it. The target
 * checks that it is primary in the term and, if key is not NULL, claims the
 * key. done gets the result of these steps. The caller must free the
 * transaction whatever the result is.
 *
 * Returns NULL if there is no memory or if the pool is closing; done is then
 * not called.
 */
target_transaction_t *target_transaction_new(target_pool_t *pool, uint32_t term,
					     const char *key,
					     uint64_t fingerprint,
					     clock_ms_t deadline_ms,
					     target_done_t done, void *context)
{
	target_transaction_t *transaction;

	if (pool->closing)
		return NULL;
	transaction = calloc(1, sizeof(*transaction));
	if (!transaction)
		return NULL;
	transaction->pool = pool;
	transaction->key = key ? strdup(key) : NULL;
	if (!key || transaction->key)
		transaction->request =
			request_new(pool, REQUEST_BEGIN, NULL, key, deadline_ms,
				    done, context);
	if (!transaction->request) {
		free(transaction->key);
		free(transaction);
		return NULL;
	}
	transaction->request->term = term;
	transaction->request->fingerprint = fingerprint;
	transaction->request->transaction = transaction;
	pool_queue(pool, transaction->request);
	return transaction;
}

/*
 * Returns TARGET_OK if the transaction can run a request now,
 * TARGET_ERROR_PROTOCOL if another request is in progress, or
 * TARGET_ERROR_NO_CONNECTION if the transaction has lost its connection.
 */
static int check_ready(const target_transaction_t *transaction)
{
	if (transaction->request)
		return TARGET_ERROR_PROTOCOL;
	if (!transaction->pooled)
		return TARGET_ERROR_NO_CONNECTION;
	return TARGET_OK;
}

/*
 * Runs one statement in the transaction. After TARGET_ERROR_STATEMENT the
 * target refuses everything but the rollback, unless the statement was not
 * allowed and therefore not sent (SQLSTATE 0A000), which leaves the transaction
 * as it was.
 *
 * Returns TARGET_OK, or an error, and then done is not called:
 * TARGET_ERROR_NO_CONNECTION if the connection was lost or the transaction has
 * ended, TARGET_ERROR_PROTOCOL if a request is in progress, or
 * TARGET_ERROR_MEMORY.
 */
int target_transaction_run(target_transaction_t *transaction,
			   const char *statement, clock_ms_t deadline_ms,
			   target_done_t done, void *context)
{
	int error = check_ready(transaction);
	request_t *request;

	if (error != TARGET_OK)
		return error;
	request = request_new(transaction->pool, REQUEST_RUN, statement, NULL,
			      deadline_ms, done, context);
	if (!request)
		return TARGET_ERROR_MEMORY;
	request->transaction = transaction;
	transaction->request = request;
	if (!statement_is_allowed(statement))
		pool_reject(request);
	else
		pool_start(transaction->pooled, request);
	return TARGET_OK;
}

/*
 * Commits the transaction and, if it has a key, records the result of the last
 * statement under the key. If the target answers with an error, the transaction
 * is rolled back. Returns as target_transaction_run(); after a returned error
 * nothing was committed.
 */
int target_transaction_commit(target_transaction_t *transaction,
			      clock_ms_t deadline_ms, target_done_t done,
			      void *context)
{
	int error = check_ready(transaction);
	request_t *request;

	if (error != TARGET_OK)
		return error;
	request = request_new(transaction->pool, REQUEST_COMMIT, NULL,
			      transaction->key, deadline_ms, done, context);
	if (!request)
		return TARGET_ERROR_MEMORY;
	request->transaction = transaction;
	transaction->request = request;
	pool_start(transaction->pooled, request);
	return TARGET_OK;
}

/*
 * Frees the transaction and rolls it back if it is open. If a request is in
 * progress, its connection is closed and its callback is called with
 * TARGET_ERROR_CLOSED before this function returns; a commit that was in
 * progress may have taken effect. NULL is allowed.
 */
void target_transaction_free(target_transaction_t *transaction)
{
	request_t *request;
	pooled_connection_t *pooled;

	if (!transaction)
		return;
	request = transaction->request;
	if (request) {
		bool finished = request->state == REQUEST_FINISHED;

		pool_detach(request);
		if (!finished)
			request_complete(request, TARGET_ERROR_CLOSED);
	}
	pooled = transaction->pooled;
	if (pooled)
		pool_release(pooled);
	if (request)
		request_call_back(request);
	free(transaction->key);
	free(transaction);
}
