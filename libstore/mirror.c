#include "mirror.h"

#include <stdlib.h>
#include <string.h>
/* Without memory for its table, an object is left out; its hh.tbl is NULL. */
#define HASH_NONFATAL_OOM 1
#include <uthash.h>

/* Exponential backoff after a failed call. The maximum is far below the 3 s in
 * which a configuration must be in force, so that the proxy notices in time
 * that the store is back. The backoff keeps the load of retries low during an
 * outage, whatever the number of proxies. */
#define BACKOFF_MS 200
#define BACKOFF_MAX_MS 800

typedef struct {
	char *key;
	uint64_t revision;
	bool removed;
	/* The mirror's list_number when an answer last contained the key. */
	uint64_t list_number;
	UT_hash_handle hh;
} mirror_entry_t;

struct mirror {
	store_t *store;
	char *prefix;
	clock_ms_t wait_ms;
	clock_ms_t min_watch_interval_ms;
	mirror_handlers_t handlers;
	void *context;
	mirror_entry_t *entries;
	/* Starts the next call after a delay. */
	struct event *timer;
	/* Current backoff after failed calls; 0 after a success. */
	clock_ms_t backoff_ms;
	/* Revision after which the next watch begins; 0 if a list must come
	 * first. */
	uint64_t revision;
	/* Revision up to which all changes are known; 0 before the first
	 * complete list. */
	uint64_t known_revision;
	/* Incremented at the start of each list. */
	uint64_t list_number;
	/* Revision of the first page of the current list; 0 until that page has
	 * arrived. */
	uint64_t list_revision;
	bool listing;
	bool watching;
	bool unreachable;
	bool complete;
};

static void start_next_call(mirror_t *mirror);

/*
 * Records whether a call reached the store, and reports a change. A watch that
 * fails with STORE_ERROR_HISTORY has reached it.
 */
static void update_reachability(mirror_t *mirror, int error)
{
	bool unreachable = error != STORE_OK && error != STORE_ERROR_HISTORY;

	if (!unreachable)
		mirror->backoff_ms = 0;
	if (mirror->unreachable == unreachable)
		return;
	mirror->unreachable = unreachable;
	mirror->handlers.reachability_changed(mirror->context, error);
}

/*
 * Returns the entry of a key and creates it if it is missing. Returns NULL
 * without memory.
 */
static mirror_entry_t *get_entry(mirror_t *mirror, const char *key)
{
	mirror_entry_t *entry;

	HASH_FIND_STR(mirror->entries, key, entry);
	if (entry)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	entry->key = strdup(key);
	if (!entry->key) {
		free(entry);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, mirror->entries, entry->key, strlen(entry->key),
			entry);
	if (!entry->hh.tbl) {
		free(entry->key);
		free(entry);
		return NULL;
	}
	return entry;
}

/*
 * Applies an item of a list or watch and reports it if it is newer than what is
 * known of the key. Returns STORE_OK, or STORE_ERROR_MEMORY: nothing is known
 * of the item then.
 */
static int apply_item(mirror_t *mirror, const store_item_t *item)
{
	mirror_entry_t *entry = get_entry(mirror, item->key);
	int error;

	if (!entry)
		return STORE_ERROR_MEMORY;
	entry->list_number = mirror->list_number;
	if (item->revision < entry->revision && mirror->handlers.outdated)
		mirror->handlers.outdated(mirror->context, entry->key,
					  item->revision, entry->revision);
	if (item->revision <= entry->revision)
		return STORE_OK;
	error = mirror->handlers.changed(mirror->context, entry->key,
					 item->value, item->size,
					 item->revision);
	if (error != STORE_OK)
		return error;
	entry->revision = item->revision;
	entry->removed = item->value == NULL;
	return STORE_OK;
}

/*
 * Applies the items of an answer. Returns STORE_OK, or STORE_ERROR_MEMORY if
 * one could not be applied.
 */
static int apply_items(mirror_t *mirror, const store_answer_t *answer)
{
	int error = STORE_OK;
	size_t i;

	for (i = 0; i < answer->count; i++) {
		if (apply_item(mirror, &answer->items[i]) != STORE_OK)
			error = STORE_ERROR_MEMORY;
	}
	return error;
}

/*
 * Marks keys as removed, and reports them, if a complete list did not contain
 * them. Keys that changed after the list's revision are kept, because the list
 * cannot show them.
 */
static void remove_unlisted(mirror_t *mirror)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	HASH_ITER(hh, mirror->entries, entry, next) {
		if (entry->removed ||
		    entry->list_number == mirror->list_number ||
		    entry->revision > mirror->list_revision)
			continue;
		entry->removed = true;
		entry->revision = mirror->list_revision;
		mirror->handlers.changed(mirror->context, entry->key, NULL, 0,
					 entry->revision);
	}
}

/*
 * Records that all changes up to a revision have been applied, and reports it
 * if the revision is higher than before.
 */
static void advance_known_revision(mirror_t *mirror, uint64_t revision)
{
	if (revision <= mirror->known_revision)
		return;
	mirror->known_revision = revision;
	if (mirror->handlers.advanced)
		mirror->handlers.advanced(mirror->context);
}

static void schedule_next_call(mirror_t *mirror, clock_ms_t delay_ms)
{
	const struct timeval pause = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};

	evtimer_add(mirror->timer, &pause);
}

static void schedule_retry(mirror_t *mirror)
{
	mirror->backoff_ms = clock_backoff_next(mirror->backoff_ms, BACKOFF_MS,
						BACKOFF_MAX_MS);
	schedule_next_call(mirror, mirror->backoff_ms);
}

static bool is_same_era(uint64_t a, uint64_t b)
{
	return store_revision_era(a) == store_revision_era(b);
}

static void on_list(void *context, int error, const store_answer_t *answer,
		    clock_ms_t sent_ms)
{
	mirror_t *mirror = context;

	(void)sent_ms;
	mirror->listing = false;
	update_reachability(mirror, error);
	if (error == STORE_OK && mirror->list_revision == 0)
		mirror->list_revision = answer->revision;
	if (error == STORE_OK &&
	    !is_same_era(answer->revision, mirror->list_revision)) {
		mirror_refresh(mirror);
		return;
	}
	if (error == STORE_OK)
		error = apply_items(mirror, answer);
	if (error != STORE_OK) {
		if (!mirror->watching)
			schedule_retry(mirror);
		return;
	}
	if (answer->truncated) {
		mirror->listing = answer->last_key &&
				  store_range(mirror->store, mirror->prefix,
					      answer->last_key, on_list,
					      mirror) == STORE_OK;
		/* An incomplete list must not remove the keys that it lacks. */
		if (!mirror->listing && !mirror->watching)
			schedule_retry(mirror);
		return;
	}
	remove_unlisted(mirror);
	if (!mirror->watching)
		mirror->revision = mirror->list_revision;
	mirror->complete = true;
	advance_known_revision(mirror, mirror->list_revision);
	start_next_call(mirror);
}

static void on_watch(void *context, int error, const store_answer_t *answer,
		     clock_ms_t sent_ms)
{
	mirror_t *mirror = context;
	clock_ms_t lasted_ms;

	mirror->watching = false;
	update_reachability(mirror, error);
	/* The store has lost the revision at which the watch began. */
	if (error == STORE_OK &&
	    !is_same_era(answer->revision, mirror->revision))
		error = STORE_ERROR_HISTORY;
	if (error == STORE_OK)
		error = apply_items(mirror, answer);
	if (error != STORE_OK) {
		/* Every error is followed by a new list. After
		 * STORE_ERROR_HISTORY only a list can show the changes, because
		 * the store has discarded the history of the revision. */
		mirror->revision = 0;
		if (error == STORE_ERROR_HISTORY)
			mirror_refresh(mirror);
		else
			schedule_retry(mirror);
		return;
	}
	if (answer->revision > mirror->revision)
		mirror->revision = answer->revision;
	advance_known_revision(mirror, mirror->revision);
	lasted_ms = store_now(mirror->store) - sent_ms;
	if (lasted_ms < mirror->min_watch_interval_ms)
		schedule_next_call(mirror,
				   mirror->min_watch_interval_ms - lasted_ms);
	else
		start_next_call(mirror);
}

/*
 * Starts the next watch, or a list if the watch has no revision to begin at.
 * Does nothing while a watch is in progress.
 */
static void start_next_call(mirror_t *mirror)
{
	if (mirror->watching)
		return;
	if (mirror->revision == 0) {
		mirror_refresh(mirror);
		return;
	}
	mirror->watching =
		store_watch(mirror->store, mirror->prefix, mirror->revision,
			    mirror->wait_ms, on_watch, mirror) == STORE_OK;
	if (!mirror->watching)
		schedule_retry(mirror);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	start_next_call(context);
}

/*
 * Creates a mirror and starts its first list. The options and handlers are
 * copied. Returns NULL without memory.
 */
mirror_t *mirror_new(store_t *store, struct event_base *base,
		     const mirror_options_t *options,
		     const mirror_handlers_t *handlers, void *context)
{
	mirror_t *mirror = calloc(1, sizeof(*mirror));

	if (!mirror)
		return NULL;
	mirror->store = store;
	mirror->prefix = strdup(options->prefix);
	mirror->wait_ms = options->wait_ms;
	mirror->min_watch_interval_ms = options->min_watch_interval_ms;
	mirror->handlers = *handlers;
	mirror->context = context;
	mirror->timer = evtimer_new(base, on_timer, mirror);
	if (!mirror->prefix || !mirror->timer) {
		mirror_free(mirror);
		return NULL;
	}
	mirror_refresh(mirror);
	return mirror;
}

/*
 * Frees a mirror. Its store must be freed before, because calls in progress
 * refer to the mirror.
 */
void mirror_free(mirror_t *mirror)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	if (!mirror)
		return;
	entry = mirror->entries;
	HASH_CLEAR(hh, mirror->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry->key);
		free(entry);
	}
	if (mirror->timer)
		event_free(mirror->timer);
	free(mirror->prefix);
	free(mirror);
}

void mirror_refresh(mirror_t *mirror)
{
	if (mirror->listing)
		return;
	mirror->list_number++;
	mirror->list_revision = 0;
	mirror->listing = store_range(mirror->store, mirror->prefix, NULL,
				      on_list, mirror) == STORE_OK;
	if (!mirror->listing)
		schedule_retry(mirror);
}

bool mirror_complete(const mirror_t *mirror)
{
	return mirror && mirror->complete;
}

uint64_t mirror_revision(const mirror_t *mirror)
{
	return mirror->known_revision;
}

uint64_t mirror_expected_revision(const mirror_t *mirror, const char *key)
{
	const mirror_entry_t *entry;

	HASH_FIND_STR(mirror->entries, key, entry);
	return entry && !entry->removed ? entry->revision : 0;
}

uint64_t mirror_key_revision(const mirror_t *mirror, const char *key)
{
	const mirror_entry_t *entry;

	HASH_FIND_STR(mirror->entries, key, entry);
	return entry ? entry->revision : 0;
}
