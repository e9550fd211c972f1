#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include "platform_bytes.h"

/* One version of a key. */
typedef struct {
	bytes_t value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
} version_t;

/* A key with all its versions in rising order. */
typedef struct {
	bytes_t key;
	version_t *versions;
	size_t count;
	size_t capacity;
} entry_t;

/* One put, recorded for watches. */
typedef struct {
	const entry_t *entry;
	/* Index in the entry's versions. */
	size_t version;
} record_t;

/* All keys in order, and all puts in order of revision. Old versions are kept;
 * compact_revision only hides them. */
typedef struct {
	entry_t **entries;
	size_t entry_count;
	size_t entry_capacity;
	record_t *records;
	size_t record_count;
	size_t record_capacity;
	/* The empty store has revision 1. */
	uint64_t revision;
	/* Reads and watches below this revision are refused. */
	uint64_t compact_revision;
} store_t;

void store_init(store_t *store);
void store_free(store_t *store);
void store_put(store_t *store, uint64_t revision, const bytes_t *key,
	       const bytes_t *value);
size_t store_lower_bound(const store_t *store, const bytes_t *key);
const version_t *entry_version_at(const entry_t *entry, uint64_t revision);

#endif
