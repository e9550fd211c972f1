#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * A fetch of services in pages, in the order of their keys. All later pages are
 * read at the revision of the first page, so that together they show one state
 * of the store.
 */
typedef struct {
	platform_operation_t operation;
	platform_fetch_done_t done;
	void *context;
	uint64_t after_revision;
	/* Revision of the store at the first page; 0 before it. */
	uint64_t store_revision;
	char *key_prefix;
	char *key_end;
	/* Key of the last entry read, also if that one was skipped; NULL before
	 * the first page. */
	char *last_key;
	size_t last_key_size;
	platform_items_t items;
} fetch_t;

static void free_fetch(platform_operation_t *operation)
{
	fetch_t *fetch = (fetch_t *)operation;

	platform_items_free(&fetch->items);
	free(fetch->key_prefix);
	free(fetch->key_end);
	free(fetch->last_key);
	free(fetch);
}

/*
 * Ends the fetch and calls its callback. The callback gets either all items
 * or an error.
 */
static void finish_fetch(fetch_t *fetch, int error)
{
	platform_fetch_done_t done = fetch->done;
	void *context = fetch->context;
	uint64_t store_revision = fetch->store_revision;
	platform_items_t items = fetch->items;

	fetch->items = (platform_items_t){ 0 };
	platform_operation_end(&fetch->operation);
	if (error != PLATFORM_OK) {
		done(context, error, 0, NULL, 0);
	} else {
		platform_items_sort(&items);
		done(context, error, store_revision, items.items, items.count);
	}
	platform_items_free(&items);
}

/*
 * Records the key of a pair as the last one. The keys must be in ascending
 * order across all pages, which also bounds the number of pages. Returns false
 * if they are not, if the key cannot be decoded, or without memory.
 */
static bool advance_key(fetch_t *fetch, const json_t *kv)
{
	size_t size;
	char *key = platform_item_key(kv, &size);
	size_t common;
	int order;

	if (!key)
		return false;
	common = size < fetch->last_key_size ? size : fetch->last_key_size;
	order = fetch->last_key ? memcmp(key, fetch->last_key, common) : 1;
	if (order < 0 || (order == 0 && size <= fetch->last_key_size)) {
		free(key);
		return false;
	}
	free(fetch->last_key);
	fetch->last_key = key;
	fetch->last_key_size = size;
	return true;
}

/*
 * Appends the key-value pairs of one page. Returns PLATFORM_OK,
 * PLATFORM_ERROR_MALFORMED, PLATFORM_ERROR_TOO_LARGE or PLATFORM_ERROR_MEMORY.
 */
static int add_pairs(fetch_t *fetch, const json_t *kvs)
{
	const platform_item_t *item;
	size_t i;
	int error;

	for (i = 0; i < json_array_size(kvs); i++) {
		const json_t *kv = json_array_get(kvs, i);

		if (!advance_key(fetch, kv))
			return PLATFORM_ERROR_MALFORMED;
		error = platform_items_add(&fetch->items, kv, fetch->key_prefix,
					   NULL);
		if (error == PLATFORM_ENTRY_SKIPPED) {
			fetch->operation.client->usage.skipped_entries++;
			continue;
		}
		if (error != PLATFORM_OK)
			return error;
		item = &fetch->items.items[fetch->items.count - 1];
		if (item->revision > fetch->store_revision ||
		    item->revision <= fetch->after_revision)
			return PLATFORM_ERROR_MALFORMED;
		if (fetch->items.bytes > PLATFORM_FETCH_MAX_BYTES)
			return PLATFORM_ERROR_TOO_LARGE;
	}
	return PLATFORM_OK;
}

/*
 * Decodes one page, and stores in *more whether there are further pages.
 * Returns as add_pairs().
 */
static int decode_page(fetch_t *fetch, const json_t *answer, bool *more)
{
	uint64_t revision;
	json_t *kvs;

	if (platform_json_revision_get(answer, &revision) != PLATFORM_OK ||
	    platform_json_bool_get(answer, "more", more) != PLATFORM_OK ||
	    platform_json_array_get(answer, "kvs", &kvs) != PLATFORM_OK ||
	    (*more && json_array_size(kvs) == 0))
		return PLATFORM_ERROR_MALFORMED;
	if (fetch->store_revision == 0)
		fetch->store_revision = revision;
	return add_pairs(fetch, kvs);
}

/*
 * Returns the request of the next page, or NULL if there is no memory. A page
 * starts at the smallest key above the last key read, which is that key with a
 * NUL appended.
 */
static json_t *page_request(const fetch_t *fetch)
{
	/* last_key ends with a NUL, which is part of the next page's start. */
	const char *start =
		fetch->last_key ? fetch->last_key : fetch->key_prefix;
	size_t length =
		fetch->last_key ? fetch->last_key_size + 1 : strlen(start);

	return json_pack(
		"{s:o,s:o,s:o,s:o,s:o,s:s,s:s}", "key",
		platform_json_bytes(start, length), "range_end",
		platform_json_bytes(fetch->key_end, strlen(fetch->key_end)),
		"limit", platform_json_number(PLATFORM_PAGE_ITEMS), "revision",
		platform_json_number(fetch->store_revision), "min_mod_revision",
		platform_json_number(fetch->after_revision + 1), "sort_target",
		"KEY", "sort_order", "ASCEND");
}

static void handle_page(platform_operation_t *operation, int error,
			json_t *answer);

/*
 * Sends the request of the next page. Returns PLATFORM_OK or
 * PLATFORM_ERROR_MEMORY.
 */
static int start_page(fetch_t *fetch)
{
	platform_client_t *client = fetch->operation.client;
	int error = platform_exchange_call(&fetch->operation, "/v3/kv/range",
					   page_request(fetch),
					   client->timeout_ms, handle_page);

	if (error == PLATFORM_OK)
		client->usage.reads++;
	return error;
}

static void handle_page(platform_operation_t *operation, int error,
			json_t *answer)
{
	fetch_t *fetch = (fetch_t *)operation;
	bool more = false;

	if (error == PLATFORM_OK) {
		error = decode_page(fetch, answer, &more);
		if (error != PLATFORM_OK)
			operation->client->usage.failures++;
	}
	if (error == PLATFORM_OK && more) {
		error = start_page(fetch);
		if (error == PLATFORM_OK)
			return;
	}
	finish_fetch(fetch, error);
}

/*
 * Fetches all services that were changed after after_revision, including
 * removed services. done gets the items in ascending order of their revisions
 * and the revision of the store that they reflect, or
 * PLATFORM_ERROR_UNAVAILABLE, PLATFORM_ERROR_UNKNOWN, PLATFORM_ERROR_MALFORMED,
 * PLATFORM_ERROR_TOO_LARGE or PLATFORM_ERROR_MEMORY. Each page may take one
 * timeout. Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED if after_revision is
 * INT64_MAX or above, or PLATFORM_ERROR_MEMORY.
 */
int platform_config_fetch(platform_client_t *client, uint64_t after_revision,
			  platform_fetch_done_t done, void *context)
{
	fetch_t *fetch;
	int error = PLATFORM_ERROR_MEMORY;

	if (after_revision >= INT64_MAX)
		return PLATFORM_ERROR_MALFORMED;
	fetch = calloc(1, sizeof(*fetch));
	if (!fetch)
		return PLATFORM_ERROR_MEMORY;
	fetch->done = done;
	fetch->context = context;
	fetch->after_revision = after_revision;
	platform_operation_start(&fetch->operation, client, free_fetch);
	fetch->key_prefix = platform_key(client->prefix, "services", "");
	if (fetch->key_prefix)
		fetch->key_end = platform_prefix_end(fetch->key_prefix);
	if (fetch->key_prefix && fetch->key_end)
		error = start_page(fetch);
	if (error != PLATFORM_OK)
		platform_operation_end(&fetch->operation);
	return error;
}
