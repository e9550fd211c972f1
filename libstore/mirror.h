#ifndef HORNBEAMTACK_STORE_MIRROR_H
#define HORNBEAMTACK_STORE_MIRROR_H

#include "store.h"

/*
 * A local copy of the keys below a prefix, kept by a list and a watch. A key
 * never goes back to an older revision, also when a late answer shows one.
 */
typedef struct mirror mirror_t;

typedef struct {
	const char *prefix;
	/* How long a watch waits; it bounds how long a silent connection hides
	 * changes. */
	clock_ms_t wait_ms;
	/* Least time from the start of one watch to the next, so that changes
	 * that follow each other closely come with one answer. */
	clock_ms_t min_watch_interval_ms;
} mirror_options_t;

typedef struct {
	/* A key has a new value; NULL if it was removed. */
	void (*changed)(void *context, const char *key, const char *value,
			size_t size, uint64_t revision);
	/* All changes up to a further revision are known; may be NULL. */
	void (*advanced)(void *context);
	/* The store was lost (error is not STORE_OK) or is back. */
	void (*reachability_changed)(void *context, int error);
} mirror_handlers_t;

mirror_t *mirror_new(store_t *store, struct event_base *base,
		     const mirror_options_t *options,
		     const mirror_handlers_t *handlers, void *context);
void mirror_free(mirror_t *mirror);
/* Lists all keys again, unless a list is in progress. */
void mirror_refresh(mirror_t *mirror);
/* Tells whether all keys were read once; false for NULL. */
bool mirror_complete(const mirror_t *mirror);
/* Revision of the last change of a key, its removal included; 0: not known. */
uint64_t mirror_key_revision(const mirror_t *mirror, const char *key);
/* Revision up to which all changes are known; 0: nothing is. */
uint64_t mirror_revision(const mirror_t *mirror);

#endif
