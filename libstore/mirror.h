#ifndef HORNBEAMTACK_STORE_MIRROR_H
#define HORNBEAMTACK_STORE_MIRROR_H

#include "store.h"

/*
 * A local copy of all keys of the store below a prefix. The mirror first lists
 * the keys and then follows their changes by watches. A key never goes back to
 * an older revision, even if a late answer shows one. In a further era of the
 * store all keys are listed again, and all that exist are reported as changed.
 */
typedef struct mirror mirror_t;

typedef struct {
	const char *prefix;
	/* How long the store holds a watch open when there is no change. It
	 * also bounds how long changes stay unseen on a connection that is dead
	 * but not closed. */
	clock_ms_t wait_ms;
	/* Minimum time from the start of one watch to the start of the next,
	 * so that changes in quick succession arrive in one answer. */
	clock_ms_t min_watch_interval_ms;
} mirror_options_t;

typedef struct {
	/* A key has a new value, or was removed if value is NULL. Returns
	 * STORE_OK, or STORE_ERROR_MEMORY: the key is then reported again. */
	int (*changed)(void *context, const char *key, const char *value,
		       size_t size, uint64_t revision);
	/* The revision up to which all changes are known has increased. May be
	 * NULL. */
	void (*advanced)(void *context);
	/* An answer showed a lower revision of a key than the one that is
	 * known, and was not applied. May be NULL. */
	void (*outdated)(void *context, const char *key, uint64_t revision,
			 uint64_t known);
	/* The store has become unreachable (error is the STORE_ERROR_ value),
	 * or reachable again (error is STORE_OK or STORE_ERROR_HISTORY). */
	void (*reachability_changed)(void *context, int error);
} mirror_handlers_t;

mirror_t *mirror_new(store_t *store, struct event_base *base,
		     const mirror_options_t *options,
		     const mirror_handlers_t *handlers, void *context);
void mirror_free(mirror_t *mirror);
/* Lists all keys again, unless a list is already in progress. */
void mirror_refresh(mirror_t *mirror);
/* Tells whether a complete list has been read; false if mirror is NULL. */
bool mirror_complete(const mirror_t *mirror);
/* Returns the revision at which a key was last changed or removed; 0 if the key
 * is not known. */
uint64_t mirror_key_revision(const mirror_t *mirror, const char *key);
/* Returns the revision that a change must expect of a key; 0 if the key does
 * not exist. */
uint64_t mirror_expected_revision(const mirror_t *mirror, const char *key);
/* Returns the revision up to which all changes are known; 0 before the first
 * complete list. */
uint64_t mirror_revision(const mirror_t *mirror);

#endif
