#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * A compare-and-swap of one service. If its answer is lost, a read-back reads
 * the service's key and the history key of this writer in one transaction, so
 * that both values are of the same revision of the store.
 */
typedef struct {
	platform_operation_t operation;
	platform_change_done_t done;
	void *context;
	char *service;
	char *service_key;
	char *history_key;
	uint64_t base_revision;
	/* Fires when the next read-back is due. */
	struct event *readback;
	/* Read-backs that have been scheduled so far. */
	uint32_t tries;
	clock_ms_t deadline_ms;
} change_t;

/* State of the store that shows whether a change was made. */
typedef struct {
	/* The service as it is now; empty if its key does not exist. */
	platform_items_t current;
	/* Revision of this writer's change; 0 if it was not made. */
	uint64_t written_revision;
} snapshot_t;

static void free_change(platform_operation_t *operation)
{
	change_t *change = (change_t *)operation;

	if (change->readback)
		event_free(change->readback);
	free(change->service);
	free(change->service_key);
	free(change->history_key);
	free(change);
}

/*
 * Ends the change, calls its callback and frees the items of current. The
 * callback gets the current item only with PLATFORM_ERROR_CONFLICT.
 */
static void finish_change(change_t *change, int error, uint64_t revision,
			  platform_items_t *current)
{
	platform_change_done_t done = change->done;
	void *context = change->context;

	platform_operation_end(&change->operation);
	done(context, error, revision,
	     error == PLATFORM_ERROR_CONFLICT && current->count > 0
		     ? current->items
		     : NULL);
	platform_items_free(current);
}

static void finish_error(change_t *change, int error)
{
	platform_items_t none = { 0 };

	finish_change(change, error, 0, &none);
}

static json_t *range_operation(const char *key)
{
	return json_pack("{s:{s:o}}", "request_range", "key",
			 platform_json_bytes(key, strlen(key)));
}

static json_t *put_operation(const char *key, const char *value)
{
	return json_pack("{s:{s:o,s:o}}", "request_put", "key",
			 platform_json_bytes(key, strlen(key)), "value",
			 platform_json_bytes(value, strlen(value)));
}

/*
 * Returns the operations of a transaction that reads a snapshot; its answer is
 * decoded by decode_snapshot().
 */
static json_t *snapshot_operations(const change_t *change)
{
	return json_pack("[o,o]", range_operation(change->service_key),
			 range_operation(change->history_key));
}

static json_t *change_request(const change_t *change, const char *value)
{
	json_t *compare = json_pack(
		"{s:s,s:s,s:o,s:o}", "target", "MOD", "result", "EQUAL", "key",
		platform_json_bytes(change->service_key,
				    strlen(change->service_key)),
		"mod_revision", platform_json_number(change->base_revision));

	return json_pack("{s:[o],s:[o,o],s:o}", "compare", compare, "success",
			 put_operation(change->service_key, value),
			 put_operation(change->history_key, value), "failure",
			 snapshot_operations(change));
}

/*
 * Stores the key-value pair in one range response of a transaction's answer, or
 * NULL if the key does not exist. Returns PLATFORM_OK or
 * PLATFORM_ERROR_MALFORMED.
 */
static int get_pair(const json_t *responses, size_t index, json_t **kv)
{
	const json_t *range = json_object_get(json_array_get(responses, index),
					      "response_range");
	json_t *kvs;

	*kv = NULL;
	if (!json_is_object(range) ||
	    platform_json_array_get(range, "kvs", &kvs) != PLATFORM_OK ||
	    json_array_size(kvs) > 1)
		return PLATFORM_ERROR_MALFORMED;
	*kv = json_array_get(kvs, 0);
	return PLATFORM_OK;
}

/*
 * Decodes the service's item into the snapshot; kv is NULL if the service does
 * not exist. Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED or
 * PLATFORM_ERROR_MEMORY.
 */
static int decode_current(const change_t *change, const json_t *kv,
			  snapshot_t *snapshot)
{
	char *key_prefix;
	int error;

	if (!kv)
		return PLATFORM_OK;
	key_prefix =
		platform_key(change->operation.client->prefix, "services", "");
	if (!key_prefix)
		return PLATFORM_ERROR_MEMORY;
	error = platform_items_add(&snapshot->current, kv, key_prefix, NULL);
	free(key_prefix);
	if (error == PLATFORM_ENTRY_SKIPPED)
		return PLATFORM_ERROR_MALFORMED;
	if (error == PLATFORM_OK &&
	    strcmp(snapshot->current.items[0].service, change->service) != 0)
		error = PLATFORM_ERROR_MALFORMED;
	return error;
}

/*
 * Decodes the answer to snapshot_operations() into *snapshot. Returns
 * PLATFORM_OK, PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY. The caller
 * frees snapshot->current in each case.
 */
static int decode_snapshot(const change_t *change, const json_t *answer,
			   snapshot_t *snapshot)
{
	json_t *responses;
	json_t *current;
	json_t *written;

	*snapshot = (snapshot_t){ 0 };
	if (platform_json_array_get(answer, "responses", &responses) !=
		    PLATFORM_OK ||
	    json_array_size(responses) != 2 ||
	    get_pair(responses, 0, &current) != PLATFORM_OK ||
	    get_pair(responses, 1, &written) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	if (written && (platform_json_number_get(written, "mod_revision",
						 &snapshot->written_revision) !=
				PLATFORM_OK ||
			snapshot->written_revision == 0))
		return PLATFORM_ERROR_MALFORMED;
	return decode_current(change, current, snapshot);
}

/*
 * Schedules the next read-back, with twice the delay of the last. If all
 * read-backs have been made or the change's deadline would pass before the next
 * one, the change ends with PLATFORM_ERROR_UNKNOWN.
 */
static void schedule_readback(change_t *change)
{
	const platform_client_t *client = change->operation.client;
	clock_ms_t delay_ms = (clock_ms_t)PLATFORM_READBACK_BACKOFF_MS
			      << change->tries;
	struct timeval delay = platform_timeval(delay_ms);

	if (change->tries == PLATFORM_READBACK_TRIES ||
	    clock_source_now(client->clock) + delay_ms >= change->deadline_ms ||
	    evtimer_add(change->readback, &delay) != 0) {
		finish_error(change, PLATFORM_ERROR_UNKNOWN);
		return;
	}
	change->tries++;
}

/*
 * Determines the outcome of a change whose answer was lost from a snapshot:
 * - If the history key of this writer exists, the change was made.
 * - If it does not exist and the service's revision is above the base, the
 *   comparison of this change can no longer succeed: a conflict.
 * - If the service is still at the base, the request may yet arrive, so the
 *   keys are read back again later.
 */
static void resolve_change(change_t *change, snapshot_t *snapshot)
{
	if (snapshot->written_revision > 0) {
		finish_change(change, PLATFORM_OK, snapshot->written_revision,
			      &snapshot->current);
		return;
	}
	if (snapshot->current.count > 0 &&
	    snapshot->current.items[0].revision > change->base_revision) {
		finish_change(change, PLATFORM_ERROR_CONFLICT, 0,
			      &snapshot->current);
		return;
	}
	platform_items_free(&snapshot->current);
	schedule_readback(change);
}

static void handle_readback(platform_operation_t *operation, int error,
			    json_t *answer)
{
	change_t *change = (change_t *)operation;
	snapshot_t snapshot = { 0 };

	if (error == PLATFORM_OK) {
		error = decode_snapshot(change, answer, &snapshot);
		if (error != PLATFORM_OK)
			operation->client->usage.failures++;
	}
	if (error == PLATFORM_OK) {
		resolve_change(change, &snapshot);
		return;
	}
	platform_items_free(&snapshot.current);
	schedule_readback(change);
}

static void start_readback(evutil_socket_t fd, short what, void *context)
{
	change_t *change = context;
	platform_client_t *client = change->operation.client;
	clock_ms_t timeout_ms =
		change->deadline_ms - clock_source_now(client->clock);
	json_t *request = json_pack("{s:[],s:o}", "compare", "success",
				    snapshot_operations(change));

	(void)fd;
	(void)what;
	if (timeout_ms > client->timeout_ms)
		timeout_ms = client->timeout_ms;
	if (platform_exchange_call(&change->operation, "/v3/kv/txn", request,
				   timeout_ms,
				   handle_readback) != PLATFORM_OK) {
		schedule_readback(change);
		return;
	}
	client->usage.reads++;
}

/*
 * Ends a change whose comparison failed. If the history key of this writer
 * exists, an earlier attempt of the same writer has made the change, and the
 * result is that of the earlier attempt; otherwise it is a conflict.
 */
static void finish_comparison_failed(change_t *change, snapshot_t *snapshot)
{
	if (snapshot->written_revision > 0)
		finish_change(change, PLATFORM_OK, snapshot->written_revision,
			      &snapshot->current);
	else
		finish_change(change, PLATFORM_ERROR_CONFLICT, 0,
			      &snapshot->current);
}

/*
 * Decodes a complete answer and ends the change with its outcome. Returns
 * PLATFORM_OK, or PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY if the
 * answer cannot be decoded; the change has then not ended.
 */
static int decode_change(change_t *change, const json_t *answer)
{
	snapshot_t snapshot = { 0 };
	uint64_t revision;
	bool succeeded;
	int error;

	if (platform_json_revision_get(answer, &revision) != PLATFORM_OK ||
	    platform_json_bool_get(answer, "succeeded", &succeeded) !=
		    PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	if (succeeded) {
		finish_change(change, PLATFORM_OK, revision, &snapshot.current);
		return PLATFORM_OK;
	}
	error = decode_snapshot(change, answer, &snapshot);
	if (error != PLATFORM_OK) {
		platform_items_free(&snapshot.current);
		return error;
	}
	finish_comparison_failed(change, &snapshot);
	return PLATFORM_OK;
}

/*
 * Handles the answer to the request of the change. If it is lost or cannot be
 * decoded, the change may have taken effect, so its keys are read back. If
 * nothing was sent, or the service refused the request with a 4xx status, the
 * change ends.
 */
static void handle_answer(platform_operation_t *operation, int error,
			  json_t *answer)
{
	change_t *change = (change_t *)operation;
	bool refused = operation->status >= 400 && operation->status < 500;

	if (error == PLATFORM_ERROR_UNAVAILABLE || refused) {
		finish_error(change, error);
		return;
	}
	if (error == PLATFORM_OK) {
		if (decode_change(change, answer) == PLATFORM_OK)
			return;
		operation->client->usage.failures++;
	}
	schedule_readback(change);
}

/*
 * Creates a change and adds it to the client's list of operations. Returns NULL
 * if there is no memory.
 */
static change_t *new_change(platform_client_t *client, const char *service,
			    const char *writer)
{
	change_t *change = calloc(1, sizeof(*change));
	char *history;

	if (!change)
		return NULL;
	platform_operation_start(&change->operation, client, free_change);
	change->deadline_ms = clock_source_now(client->clock) +
			      PLATFORM_CHANGE_TIMEOUTS * client->timeout_ms;
	change->service = strdup(service);
	change->service_key = platform_key(client->prefix, "services", service);
	history = platform_key(client->prefix, "history", service);
	if (history &&
	    asprintf(&change->history_key, "%s/%s", history, writer) < 0)
		change->history_key = NULL;
	free(history);
	change->readback = evtimer_new(client->base, start_readback, change);
	if (!change->service || !change->service_key || !change->history_key ||
	    !change->readback) {
		platform_operation_end(&change->operation);
		return NULL;
	}
	return change;
}

/*
 * Changes or removes a service that is at base_revision; 0 means that its key
 * must not exist. A removed service keeps its key, so it is created again from
 * the revision of its removal, which a conflict reports. text is a JSON object,
 * which is stored in compact form, or empty or NULL to remove the service.
 * writer must be unique to this attempt of this operator: a call that is
 * repeated with the same writer and base_revision gives the result of the first
 * call that took effect. operator_name may be NULL.
 *
 * done gets one of the following, within 3 timeouts:
 * PLATFORM_OK and the revision of the change;
 * PLATFORM_ERROR_CONFLICT and the current item: the change was not made, and
 * this attempt can no longer take effect;
 * PLATFORM_ERROR_UNAVAILABLE: nothing was sent, or the service refused the
 * request without effect;
 * PLATFORM_ERROR_MALFORMED: the service refused the request as malformed;
 * PLATFORM_ERROR_UNKNOWN: the request was sent, and the read-backs did not show
 * whether the change was made.
 *
 * Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED if a name or the text is wrong,
 * PLATFORM_ERROR_TOO_LARGE or PLATFORM_ERROR_MEMORY.
 */
int platform_config_change(platform_client_t *client, const char *service,
			   uint64_t base_revision, const char *text,
			   const char *writer, const char *operator_name,
			   platform_change_done_t done, void *context)
{
	change_t *change;
	char *value;
	int error;

	operator_name = operator_name ? operator_name : "";
	if (!platform_name_valid(service) || !platform_name_valid(writer) ||
	    strlen(operator_name) >= PLATFORM_NAME_SIZE ||
	    base_revision > INT64_MAX)
		return PLATFORM_ERROR_MALFORMED;
	value = platform_value_encode(text ? text : "", writer, operator_name,
				      &error);
	if (!value)
		return error;
	change = new_change(client, service, writer);
	if (!change) {
		free(value);
		return PLATFORM_ERROR_MEMORY;
	}
	change->done = done;
	change->context = context;
	change->base_revision = base_revision;
	error = platform_exchange_call(&change->operation, "/v3/kv/txn",
				       change_request(change, value),
				       client->timeout_ms, handle_answer);
	free(value);
	if (error != PLATFORM_OK)
		platform_operation_end(&change->operation);
	else
		client->usage.writes++;
	return error;
}
