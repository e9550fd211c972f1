#include "platform_store.h"

#include <stdlib.h>
#include <string.h>

/*
 * Returns the array, reallocated if it has no room for one more element.
 */
static void *ensure_capacity(void *array, size_t count, size_t *capacity,
			     size_t size)
{
	if (count < *capacity)
		return array;
	*capacity = *capacity > 0 ? *capacity * 2 : 16;
	return require_memory(reallocarray(array, *capacity, size));
}

/*
 * Prepares an empty store.
 */
void store_init(store_t *store)
{
	*store = (store_t){ .revision = 1 };
}

/*
 * Frees all entries and records of the store.
 */
void store_free(store_t *store)
{
	size_t i;
	size_t j;

	for (i = 0; i < store->entry_count; i++) {
		entry_t *entry = store->entries[i];

		for (j = 0; j < entry->count; j++)
			bytes_free(&entry->versions[j].value);
		free(entry->versions);
		bytes_free(&entry->key);
		free(entry);
	}
	free(store->entries);
	free(store->records);
}

/*
 * Returns the index of the first entry whose key is equal to key or above it.
 */
size_t store_lower_bound(const store_t *store, const bytes_t *key)
{
	size_t low = 0;
	size_t high = store->entry_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (bytes_compare(&store->entries[middle]->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the version that a key has at a revision, or NULL if the key does not
 * exist there.
 */
const version_t *entry_version_at(const entry_t *entry, uint64_t revision)
{
	size_t i = entry->count;

	while (i > 0 && entry->versions[i - 1].mod_revision > revision)
		i--;
	return i > 0 ? &entry->versions[i - 1] : NULL;
}

/*
 * Returns the entry of a key. Creates the entry if the key is new.
 */
static entry_t *find_or_add(store_t *store, const bytes_t *key)
{
	size_t index = store_lower_bound(store, key);
	entry_t *entry;

	if (index < store->entry_count &&
	    bytes_compare(&store->entries[index]->key, key) == 0)
		return store->entries[index];
	entry = require_memory(calloc(1, sizeof(*entry)));
	entry->key = bytes_copy(key);
	store->entries =
		ensure_capacity(store->entries, store->entry_count,
				&store->entry_capacity, sizeof(void *));
	memmove(&store->entries[index + 1], &store->entries[index],
		(store->entry_count - index) * sizeof(void *));
	store->entries[index] = entry;
	store->entry_count++;
	return entry;
}

/*
 * Writes a key at a revision. The caller sets the store's revision once the
 * transaction is complete.
 */
void store_put(store_t *store, uint64_t revision, const bytes_t *key,
	       const bytes_t *value)
{
	entry_t *entry = find_or_add(store, key);
	version_t version = {
		.value = bytes_copy(value),
		.create_revision = entry->count > 0
					   ? entry->versions[0].create_revision
					   : revision,
		.mod_revision = revision,
		.version = entry->count + 1,
	};

	entry->versions = ensure_capacity(entry->versions, entry->count,
					  &entry->capacity, sizeof(version));
	entry->versions[entry->count] = version;
	store->records =
		ensure_capacity(store->records, store->record_count,
				&store->record_capacity, sizeof(record_t));
	store->records[store->record_count++] =
		(record_t){ .entry = entry, .version = entry->count };
	entry->count++;
}
