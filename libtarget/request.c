#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pool.h"

static void on_deadline(evutil_socket_t fd, short events, void *context)
{
	request_t *request = context;

	(void)fd;
	(void)events;
	pool_expire(request);
}

/*
 * Creates a request that expires at deadline_ms of the pool's clock. The
 * statement and the key are copied and may be NULL. Returns NULL if there is no
 * memory.
 */
request_t *request_new(target_pool_t *pool, request_kind_t kind,
		       const char *statement, const char *key,
		       clock_ms_t deadline_ms, target_done_t done,
		       void *context)
{
	request_t *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->pool = pool;
	request->kind = kind;
	request->done = done;
	request->context = context;
	request->statement = statement ? strdup(statement) : NULL;
	request->key = key ? strdup(key) : NULL;
	request->timer = evtimer_new(pool->base, on_deadline, request);
	if (!request->timer || (statement && !request->statement) ||
	    (key && !request->key)) {
		request_free(request);
		return NULL;
	}
	timer_set(request->timer, deadline_ms - clock_source_now(pool->clock));
	return request;
}

/*
 * Frees a request that is in no list, without calling its callback.
 */
void request_free(request_t *request)
{
	if (request->timer)
		event_free(request->timer);
	free(request->statement);
	free(request->key);
	free(request->rows);
	free(request);
}

static void add_check(const request_t *request, pipeline_t *pipeline)
{
	if (request->seen.term == 0)
		return;
	pipeline_add(pipeline, STEP_CHECK, "SELECT * FROM group_check($1, $2)");
	pipeline_add_number(pipeline, request->seen.term);
	pipeline_add_number(pipeline, request->seen.position_bytes);
}

static void add_begin(const request_t *request, pipeline_t *pipeline)
{
	pipeline_add(pipeline, STEP_BEGIN, "BEGIN");
	pipeline_add(pipeline, STEP_GUARD, "SELECT * FROM group_guard($1)");
	pipeline_add_number(pipeline, request->term);
}

static void add_claim(const request_t *request, pipeline_t *pipeline)
{
	if (!request->key)
		return;
	pipeline_add(pipeline, STEP_CLAIM,
		     "SELECT * FROM outcome_claim($1, $2)");
	pipeline_add_text(pipeline, request->key);
	pipeline_add_number(pipeline, request->fingerprint);
}

static void add_store(const request_t *request, pipeline_t *pipeline)
{
	if (!request->key)
		return;
	pipeline_add(pipeline, STEP_STORE, "SELECT * FROM outcome_store($1)");
	pipeline_add_text(pipeline, request->key);
}

static void add_commit(pipeline_t *pipeline)
{
	pipeline_add(pipeline, STEP_COMMIT, "COMMIT");
	pipeline_add(pipeline, STEP_POSITION, "SELECT * FROM group_position()");
}

/*
 * Fills an empty pipeline with the statements of a request.
 *
 * A read runs in a read-only transaction, because a statement that writes must
 * not run without group_guard(). The status taken before the statement gives a
 * log point that the read has certainly seen.
 */
void request_build_pipeline(const request_t *request, pipeline_t *pipeline)
{
	switch (request->kind) {
	case REQUEST_READ:
		pipeline_add(pipeline, STEP_BEGIN, "BEGIN READ ONLY");
		add_check(request, pipeline);
		pipeline_add(pipeline, STEP_STATUS,
			     "SELECT * FROM group_status()");
		pipeline_add(pipeline, STEP_STATEMENT, request->statement);
		pipeline_add(pipeline, STEP_COMMIT, "COMMIT");
		break;
	case REQUEST_WRITE:
		add_begin(request, pipeline);
		add_claim(request, pipeline);
		pipeline_add(pipeline, STEP_STATEMENT, request->statement);
		add_store(request, pipeline);
		add_commit(pipeline);
		break;
	case REQUEST_OUTCOME_GET:
		add_check(request, pipeline);
		pipeline_add(pipeline, STEP_OUTCOME,
			     "SELECT * FROM outcome_get($1)");
		pipeline_add_text(pipeline, request->key);
		break;
	case REQUEST_OUTCOME_CANCEL:
		add_begin(request, pipeline);
		pipeline_add(pipeline, STEP_CLAIM,
			     "SELECT * FROM outcome_cancel($1)");
		pipeline_add_text(pipeline, request->key);
		add_commit(pipeline);
		break;
	case REQUEST_BEGIN:
		add_begin(request, pipeline);
		add_claim(request, pipeline);
		break;
	case REQUEST_RUN:
		pipeline_add(pipeline, STEP_STATEMENT, request->statement);
		break;
	case REQUEST_COMMIT:
		add_store(request, pipeline);
		add_commit(pipeline);
		break;
	}
}

/*
 * Sets the error, SQLSTATE and message of the result. An error that was set
 * before is kept.
 */
static void set_error(request_t *request, int error, const char *sqlstate,
		      const char *message)
{
	target_result_t *result = &request->result;

	if (result->error != TARGET_OK)
		return;
	result->error = error;
	snprintf(result->sqlstate, sizeof(result->sqlstate), "%s", sqlstate);
	snprintf(result->message, sizeof(result->message), "%s", message);
}

/*
 * Stores the rows of a statement as JSON, in place of those of an earlier
 * result.
 */
static void set_rows(request_t *request, const PGresult *result)
{
	json_t *rows = NULL;
	int error = result_rows(result, &rows);

	free(request->rows);
	request->rows = NULL;
	if (error == TARGET_OK) {
		request->rows = json_dumps(rows, JSON_COMPACT);
		if (!request->rows)
			error = TARGET_ERROR_MEMORY;
	}
	json_decref(rows);
	/* Not an error yet: the result of a write's COMMIT is still to come.
	 * See request_complete(). */
	if (error == CONNECTION_ERROR_TOO_LARGE)
		request->too_large = true;
	else if (error != TARGET_OK)
		set_error(request, error, "", target_error_text(error));
}

/*
 * Stores rows that the target had recorded under a key. Returns TARGET_OK,
 * TARGET_ERROR_PROTOCOL if the text is not a JSON array, or
 * TARGET_ERROR_MEMORY.
 */
static int set_recorded_rows(request_t *request, const char *text)
{
	json_t *rows = text ? json_loads(text, 0, NULL) : NULL;
	bool valid = json_is_array(rows);

	json_decref(rows);
	if (!valid)
		return TARGET_ERROR_PROTOCOL;
	free(request->rows);
	request->rows = strdup(text);
	return request->rows ? TARGET_OK : TARGET_ERROR_MEMORY;
}

/*
 * Stores the outcome that outcome_get() returned: absent, cancelled, or the
 * recorded rows and their log point. Returns as set_recorded_rows().
 */
static int set_outcome(request_t *request, const PGresult *result)
{
	int state = PQfnumber(result, "state");
	int rows = PQfnumber(result, "result");

	if (PQntuples(result) == 0) {
		request->result.absent = true;
		return TARGET_OK;
	}
	if (state < 0 || rows < 0 ||
	    result_point(result, &request->result.point) != TARGET_OK)
		return TARGET_ERROR_PROTOCOL;
	if (strcmp(PQgetvalue(result, 0, state), "cancelled") == 0) {
		request->result.cancelled = true;
		return TARGET_OK;
	}
	return set_recorded_rows(request, PQgetvalue(result, 0, rows));
}

/*
 * Sets the error with which a step ended. A caller's statement may raise any
 * SQLSTATE, so the SQLSTATEs of the contract functions (HT001 to HT006) have
 * their meaning only in the other steps.
 */
static void set_step_error(request_t *request, step_kind_t step,
			   const PGresult *result, int error)
{
	target_result_t copy = { 0 };

	result_copy_error(result, &copy);
	if (step == STEP_STATEMENT && error != TARGET_ERROR_LOST)
		error = TARGET_ERROR_STATEMENT;
	if (error == TARGET_ERROR_KEY_RECORDED &&
	    (!result_recorded_point(result, &request->result.point) ||
	     set_recorded_rows(
		     request,
		     PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY)) !=
		     TARGET_OK))
		error = TARGET_ERROR_PROTOCOL;
	if (error == TARGET_ERROR_KEY_RECORDED)
		copy.message[0] = '\0';
	set_error(request, error, copy.sqlstate, copy.message);
}

/*
 * Adds the result of one step of the pipeline to the result of the request.
 */
void request_add_result(request_t *request, step_kind_t step,
			const PGresult *result)
{
	int error = result_error(result);
	group_status_t status;

	if (error != TARGET_OK) {
		set_step_error(request, step, result, error);
		return;
	}
	switch (step) {
	case STEP_STATEMENT:
		set_rows(request, result);
		break;
	case STEP_STATUS:
		error = result_status(result, &status);
		request->result.point = (group_point_t){
			.term = status.log_term,
			.position_bytes = status.applied_bytes,
		};
		break;
	case STEP_OUTCOME:
		error = set_outcome(request, result);
		break;
	case STEP_COMMIT:
		/* COMMIT of a failed transaction rolls it back without an
		 * error; only the command tag tells. */
		if (strcmp(PQcmdStatus((PGresult *)result), "COMMIT") != 0)
			set_error(request, TARGET_ERROR_STATEMENT, "25P02",
				  "the transaction was rolled back");
		break;
	case STEP_POSITION:
		error = result_point(result, &request->result.point);
		break;
	case STEP_BEGIN:
	case STEP_GUARD:
	case STEP_CHECK:
	case STEP_CLAIM:
	case STEP_STORE:
	case STEP_ROLLBACK:
		break;
	}
	if (error != TARGET_OK)
		set_error(request, error, "", target_error_text(error));
}

/*
 * Sets the error of a statement that is not allowed.
 */
void request_reject(request_t *request)
{
	set_error(request, TARGET_ERROR_STATEMENT, "0A000",
		  "the statement is empty or begins with a word that is not "
		  "allowed");
}

/*
 * Completes the result when the request ends. An error that the target reported
 * takes precedence over the error given here, because a transaction with an
 * error can't have been committed.
 *
 * An answer that is too large is TARGET_ERROR_STATEMENT for a read. For other
 * requests it is TARGET_ERROR_PROTOCOL, because the change may have taken
 * effect.
 */
void request_complete(request_t *request, int error)
{
	bool read = request->kind == REQUEST_READ ||
		    request->kind == REQUEST_OUTCOME_GET;

	if (error == CONNECTION_ERROR_TOO_LARGE) {
		request->too_large = true;
		error = TARGET_OK;
	}
	if (error != TARGET_OK)
		set_error(request, error, "", target_error_text(error));
	if (request->too_large)
		set_error(request,
			  read ? TARGET_ERROR_STATEMENT : TARGET_ERROR_PROTOCOL,
			  SQLSTATE_PROGRAM_LIMIT_EXCEEDED,
			  "the result is too large");
}

/*
 * Calls the callback, if there is one, and frees the request.
 */
void request_call_back(request_t *request)
{
	target_result_t *result = &request->result;

	if (result->error == TARGET_OK ||
	    result->error == TARGET_ERROR_KEY_RECORDED)
		result->rows_json = request->rows ? request->rows : "[]";
	if (request->transaction)
		request->transaction->request = NULL;
	if (request->done)
		request->done(request->context, result);
	request_free(request);
}
