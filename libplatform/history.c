#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* A read of the changes of one service. */
typedef struct {
	platform_operation_t operation;
	platform_fetch_done_t done;
	void *context;
	char *service;
	char *key_prefix;
	uint32_t limit;
} history_t;

static void free_history(platform_operation_t *operation)
{
	history_t *history = (history_t *)operation;

	free(history->service);
	free(history->key_prefix);
	free(history);
}

/*
 * Decodes the answer into items, whose revisions must be in descending order.
 * Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY.
 */
static int decode_history(const history_t *history, const json_t *answer,
			  platform_items_t *items, uint64_t *store_revision)
{
	json_t *kvs;
	size_t last;
	size_t i;
	int error;

	if (platform_json_revision_get(answer, store_revision) != PLATFORM_OK ||
	    platform_json_array_get(answer, "kvs", &kvs) != PLATFORM_OK ||
	    json_array_size(kvs) > history->limit)
		return PLATFORM_ERROR_MALFORMED;
	for (i = 0; i < json_array_size(kvs); i++) {
		error = platform_items_add(items, json_array_get(kvs, i),
					   history->key_prefix,
					   history->service);
		if (error == PLATFORM_ENTRY_SKIPPED) {
			history->operation.client->usage.skipped_entries++;
			continue;
		}
		if (error != PLATFORM_OK)
			return error;
		last = items->count - 1;
		if (last > 0 && items->items[last].revision >=
					items->items[last - 1].revision)
			return PLATFORM_ERROR_MALFORMED;
	}
	return PLATFORM_OK;
}

static void handle_answer(platform_operation_t *operation, int error,
			  json_t *answer)
{
	history_t *history = (history_t *)operation;
	platform_fetch_done_t done = history->done;
	void *context = history->context;
	platform_items_t items = { 0 };
	uint64_t store_revision = 0;

	if (error == PLATFORM_OK) {
		error = decode_history(history, answer, &items,
				       &store_revision);
		if (error != PLATFORM_OK)
			operation->client->usage.failures++;
	}
	platform_operation_end(operation);
	if (error == PLATFORM_OK)
		done(context, error, store_revision, items.items, items.count);
	else
		done(context, error, 0, NULL, 0);
	platform_items_free(&items);
}

/*
 * Sends the request for the latest changes. Returns PLATFORM_OK or
 * PLATFORM_ERROR_MEMORY.
 */
static int start_history(history_t *history)
{
	platform_client_t *client = history->operation.client;
	char *end = platform_prefix_end(history->key_prefix);
	json_t *request;

	if (!end)
		return PLATFORM_ERROR_MEMORY;
	request = json_pack("{s:o,s:o,s:o,s:s,s:s}", "key",
			    platform_json_bytes(history->key_prefix,
						strlen(history->key_prefix)),
			    "range_end", platform_json_bytes(end, strlen(end)),
			    "limit", platform_json_number(history->limit),
			    "sort_target", "MOD", "sort_order", "DESCEND");
	free(end);
	return platform_exchange_call(&history->operation, "/v3/kv/range",
				      request, client->timeout_ms,
				      handle_answer);
}

/*
 * Creates a read of a history and adds it to the client's list of operations.
 * Returns NULL if there is no memory.
 */
static history_t *new_history(platform_client_t *client, const char *service)
{
	history_t *history = calloc(1, sizeof(*history));
	char *key;

	if (!history)
		return NULL;
	platform_operation_start(&history->operation, client, free_history);
	history->service = strdup(service);
	key = platform_key(client->prefix, "history", service);
	if (key && asprintf(&history->key_prefix, "%s/", key) < 0)
		history->key_prefix = NULL;
	free(key);
	if (!history->service || !history->key_prefix) {
		platform_operation_end(&history->operation);
		return NULL;
	}
	return history;
}

/*
 * Reads the latest changes of one service, latest first. All of them come in
 * one answer, so at most PLATFORM_PAGE_ITEMS changes are read; a limit of 0
 * means that number. done gets the changes, or an error of
 * platform_config_fetch(). Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED if the
 * service's name is invalid, or PLATFORM_ERROR_MEMORY.
 */
int platform_config_history(platform_client_t *client, const char *service,
			    uint32_t limit, platform_fetch_done_t done,
			    void *context)
{
	history_t *history;
	int error;

	if (!platform_name_valid(service))
		return PLATFORM_ERROR_MALFORMED;
	history = new_history(client, service);
	if (!history)
		return PLATFORM_ERROR_MEMORY;
	history->done = done;
	history->context = context;
	history->limit = limit == 0 || limit > PLATFORM_PAGE_ITEMS
				 ? PLATFORM_PAGE_ITEMS
				 : limit;
	error = start_history(history);
	if (error != PLATFORM_OK)
		platform_operation_end(&history->operation);
	else
		client->usage.reads++;
	return error;
}
