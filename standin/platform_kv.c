#include "platform_kv.h"

#include <stdlib.h>
#include <string.h>

typedef enum {
	SORT_KEY,
	SORT_MOD,
} sort_t;

/* A decoded range request. */
typedef struct {
	bytes_t key;
	/* First key after the range; empty for the single key. */
	bytes_t end;
	uint64_t limit;
	uint64_t revision;
	uint64_t min_mod_revision;
	sort_t sort;
	bool descending;
} range_t;

typedef struct {
	const entry_t *entry;
	const version_t *version;
} pair_t;

/* Result of a range request. */
typedef struct {
	pair_t *pairs;
	size_t count;
	/* Keys in the range, whether or not they pass the filter. */
	size_t total;
} range_result_t;

/*
 * Returns the header of an answer.
 */
json_t *kv_header(const store_t *store)
{
	return require_memory(json_pack(
		"{s:s,s:s,s:o,s:s}", "cluster_id", "1", "member_id", "1",
		"revision", number_to_json(store->revision), "raft_term", "1"));
}

/*
 * Returns a key-value pair in the form of answers and events.
 */
json_t *kv_pair(const entry_t *entry, const version_t *version)
{
	return require_memory(json_pack(
		"{s:o,s:o,s:o,s:o,s:o}", "key", bytes_to_json(&entry->key),
		"create_revision", number_to_json(version->create_revision),
		"mod_revision", number_to_json(version->mod_revision),
		"version", number_to_json(version->version), "value",
		bytes_to_json(&version->value)));
}

static void range_free(range_t *range)
{
	bytes_free(&range->key);
	bytes_free(&range->end);
}

/*
 * Decodes the sort order of a range request. Returns false if it is malformed.
 */
static bool parse_sort(const json_t *request, range_t *range)
{
	const json_t *target = json_object_get(request, "sort_target");
	const json_t *order = json_object_get(request, "sort_order");
	const char *target_name = target ? json_string_value(target) : "KEY";
	const char *order_name = order ? json_string_value(order) : "NONE";

	if (!target_name || !order_name)
		return false;
	range->sort = strcmp(target_name, "MOD") == 0 ? SORT_MOD : SORT_KEY;
	range->descending = strcmp(order_name, "DESCEND") == 0;
	return (range->sort == SORT_MOD || strcmp(target_name, "KEY") == 0) &&
	       (range->descending || strcmp(order_name, "ASCEND") == 0 ||
		strcmp(order_name, "NONE") == 0);
}

/*
 * Decodes a range request. Returns NULL, or the reason why the request is
 * refused. The caller frees the range in both cases.
 */
static const char *parse_range(const store_t *store, const json_t *request,
			       range_t *range)
{
	*range = (range_t){ 0 };
	if (!bytes_from_json(request, "key", &range->key) ||
	    !bytes_from_json(request, "range_end", &range->end) ||
	    !number_from_json(request, "limit", &range->limit) ||
	    !number_from_json(request, "revision", &range->revision) ||
	    !number_from_json(request, "min_mod_revision",
			      &range->min_mod_revision) ||
	    !parse_sort(request, range))
		return "malformed range request";
	if (range->key.size == 0)
		return "key is not provided";
	if (range->revision > store->revision)
		return "required revision is a future revision";
	if (range->revision != 0 && range->revision < store->compact_revision)
		return "required revision has been compacted";
	if (range->revision == 0)
		range->revision = store->revision;
	return NULL;
}

static int compare_key(const void *left, const void *right)
{
	const pair_t *a = left;
	const pair_t *b = right;

	return bytes_compare(&a->entry->key, &b->entry->key);
}

static int compare_mod(const void *left, const void *right)
{
	const pair_t *a = left;
	const pair_t *b = right;

	if (a->version->mod_revision == b->version->mod_revision)
		return compare_key(left, right);
	return a->version->mod_revision < b->version->mod_revision ? -1 : 1;
}

/*
 * Sorts the pairs in the order of the request.
 */
static void sort_found(const range_t *range, range_result_t *found)
{
	size_t i;

	if (found->count == 0)
		return;
	qsort(found->pairs, found->count, sizeof(*found->pairs),
	      range->sort == SORT_MOD ? compare_mod : compare_key);
	if (!range->descending)
		return;
	for (i = 0; i < found->count / 2; i++) {
		pair_t pair = found->pairs[i];

		found->pairs[i] = found->pairs[found->count - 1 - i];
		found->pairs[found->count - 1 - i] = pair;
	}
}

/*
 * Returns all pairs of the range at its revision; the caller frees the array.
 */
static range_result_t find_pairs(const store_t *store, const range_t *range)
{
	range_result_t found = { require_memory(
		calloc(store->entry_count + 1, sizeof(pair_t))) };
	size_t i;

	for (i = store_lower_bound(store, &range->key); i < store->entry_count;
	     i++) {
		const entry_t *entry = store->entries[i];
		const version_t *version =
			entry_version_at(entry, range->revision);

		if (range->end.size > 0
			    ? bytes_compare(&entry->key, &range->end) >= 0
			    : bytes_compare(&entry->key, &range->key) != 0)
			break;
		if (!version)
			continue;
		found.total++;
		if (version->mod_revision >= range->min_mod_revision)
			found.pairs[found.count++] = (pair_t){ entry, version };
	}
	sort_found(range, &found);
	return found;
}

/*
 * Returns the answer to a range request. Empty fields are omitted, as the etcd
 * JSON gateway omits them.
 */
static json_t *make_range_answer(const store_t *store, const range_t *range)
{
	range_result_t found = find_pairs(store, range);
	json_t *answer =
		require_memory(json_pack("{s:o}", "header", kv_header(store)));
	json_t *kvs = require_memory(json_array());
	size_t count = found.count;
	size_t i;

	if (range->limit > 0 && range->limit < count) {
		count = range->limit;
		json_object_set_new(answer, "more", json_true());
	}
	for (i = 0; i < count; i++)
		json_array_append_new(kvs, kv_pair(found.pairs[i].entry,
						   found.pairs[i].version));
	if (count > 0)
		json_object_set(answer, "kvs", kvs);
	json_decref(kvs);
	if (found.total > 0)
		json_object_set_new(answer, "count",
				    number_to_json(found.total));
	free(found.pairs);
	return answer;
}

/*
 * Returns the answer to a range request, or NULL and the reason if the request
 * is refused.
 */
json_t *kv_range(const store_t *store, const json_t *request,
		 const char **reason)
{
	range_t range;
	json_t *answer = NULL;

	*reason = parse_range(store, request, &range);
	if (!*reason)
		answer = make_range_answer(store, &range);
	range_free(&range);
	return answer;
}

/*
 * Evaluates one comparison. Only the equality of mod_revision is supported.
 * Returns false if the comparison is malformed or not supported.
 */
static bool compare_one(const store_t *store, const json_t *compare,
			bool *equal)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	const char *result =
		json_string_value(json_object_get(compare, "result"));
	const version_t *version = NULL;
	uint64_t expected;
	bytes_t key;
	size_t index;

	if (!target || strcmp(target, "MOD") != 0 ||
	    (result && strcmp(result, "EQUAL") != 0) ||
	    !number_from_json(compare, "mod_revision", &expected) ||
	    !bytes_from_json(compare, "key", &key))
		return false;
	index = store_lower_bound(store, &key);
	if (index < store->entry_count &&
	    bytes_compare(&store->entries[index]->key, &key) == 0)
		version = entry_version_at(store->entries[index],
					   store->revision);
	bytes_free(&key);
	*equal = (version ? version->mod_revision : 0) == expected;
	return true;
}

/*
 * Evaluates all comparisons of a transaction. Returns false if a comparison is
 * malformed.
 */
static bool compare_all(const store_t *store, const json_t *request,
			bool *succeeded)
{
	const json_t *compares = json_object_get(request, "compare");
	size_t i;

	*succeeded = true;
	for (i = 0; i < json_array_size(compares); i++) {
		bool equal;

		if (!compare_one(store, json_array_get(compares, i), &equal))
			return false;
		*succeeded = *succeeded && equal;
	}
	return true;
}

/*
 * Returns whether every operation is a well-formed put or range. The check
 * comes before the first operation, so that no operation fails after another
 * one took effect.
 */
static bool check_operations(const store_t *store, const json_t *operations)
{
	size_t i;

	for (i = 0; i < json_array_size(operations); i++) {
		const json_t *json = json_array_get(operations, i);
		const json_t *put = json_object_get(json, "request_put");
		bytes_t value = { 0 };
		range_t range;
		bool valid;

		/* A put is checked as a range of its key, and has a value. */
		valid = parse_range(
				store,
				put ? put
				    : json_object_get(json, "request_range"),
				&range) == NULL;
		valid = valid &&
			(!put || bytes_from_json(put, "value", &value));
		range_free(&range);
		bytes_free(&value);
		if (!valid)
			return false;
	}
	return true;
}

/*
 * Applies the puts of a transaction, all at the same new revision.
 */
static void run_puts(store_t *store, const json_t *operations)
{
	uint64_t revision = store->revision + 1;
	bool written = false;
	size_t i;

	for (i = 0; i < json_array_size(operations); i++) {
		const json_t *put = json_object_get(
			json_array_get(operations, i), "request_put");
		bytes_t key;
		bytes_t value;

		if (!put)
			continue;
		bytes_from_json(put, "key", &key);
		bytes_from_json(put, "value", &value);
		store_put(store, revision, &key, &value);
		bytes_free(&key);
		bytes_free(&value);
		written = true;
	}
	if (written)
		store->revision = revision;
}

/*
 * Returns the answers to the operations of a transaction.
 */
static json_t *operation_answers(const store_t *store, const json_t *operations)
{
	json_t *answers = require_memory(json_array());
	const char *reason;
	size_t i;

	for (i = 0; i < json_array_size(operations); i++) {
		const json_t *range = json_object_get(
			json_array_get(operations, i), "request_range");
		json_t *answer =
			range ? json_pack("{s:o}", "response_range",
					  kv_range(store, range, &reason))
			      : json_pack("{s:{s:o}}", "response_put", "header",
					  kv_header(store));

		json_array_append_new(answers, require_memory(answer));
	}
	return answers;
}

/*
 * Runs a transaction. Returns the answer, or NULL and the reason if the
 * transaction is refused. A refused transaction has no effect.
 */
json_t *kv_txn(store_t *store, const json_t *request, const char **reason)
{
	const json_t *operations;
	json_t *answers;
	json_t *answer;
	bool succeeded;

	*reason = "malformed transaction";
	if (!compare_all(store, request, &succeeded))
		return NULL;
	operations =
		json_object_get(request, succeeded ? "success" : "failure");
	if (!check_operations(store, operations))
		return NULL;
	run_puts(store, operations);
	answer = require_memory(json_pack("{s:o}", "header", kv_header(store)));
	if (succeeded)
		json_object_set_new(answer, "succeeded", json_true());
	answers = operation_answers(store, operations);
	if (json_array_size(answers) > 0)
		json_object_set(answer, "responses", answers);
	json_decref(answers);
	return answer;
}

/*
 * Returns whether a transaction puts keys if its comparisons succeed, and so
 * counts as a write.
 */
bool kv_txn_writes(const json_t *request)
{
	const json_t *operations = json_object_get(request, "success");
	size_t i;

	for (i = 0; i < json_array_size(operations); i++) {
		if (json_object_get(json_array_get(operations, i),
				    "request_put"))
			return true;
	}
	return false;
}
