#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* "ip:port". */
#define REGISTRY_PEER_SIZE 72

typedef struct {
	char *name;
	uint64_t incarnation;
	char peer[REGISTRY_PEER_SIZE];
	UT_hash_handle hh;
} proxy_entry_t;

typedef struct {
	char *subject;
	registry_note_t note;
	UT_hash_handle hh;
} note_entry_t;

struct registry {
	proxy_entry_t *proxies;
	note_entry_t *notes[REGISTRY_NOTE_COUNT];
};

registry_t *registry_new(void)
{
	return calloc(1, sizeof(registry_t));
}

static void free_proxy(proxy_entry_t *proxy)
{
	free(proxy->name);
	free(proxy);
}

static void free_note(note_entry_t *entry)
{
	free(entry->subject);
	free(entry);
}

static void free_notes(note_entry_t *notes)
{
	note_entry_t *entry = notes;
	note_entry_t *next;

	HASH_CLEAR(hh, notes);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free_note(entry);
	}
}

void registry_free(registry_t *registry)
{
	proxy_entry_t *proxy;
	proxy_entry_t *next;
	int kind;

	if (!registry)
		return;
	proxy = registry->proxies;
	HASH_CLEAR(hh, registry->proxies);
	for (; proxy; proxy = next) {
		next = proxy->hh.next;
		free_proxy(proxy);
	}
	for (kind = 0; kind < REGISTRY_NOTE_COUNT; kind++)
		free_notes(registry->notes[kind]);
	free(registry);
}

static proxy_entry_t *find_proxy(const registry_t *registry, const char *name)
{
	proxy_entry_t *proxy;

	HASH_FIND_STR(registry->proxies, name, proxy);
	return proxy;
}

/*
 * Registers a process under the name of its proxy, in place of an earlier one.
 * Returns 0, or -1 without memory.
 */
int registry_proxy_set(registry_t *registry, const char *name,
		       uint64_t incarnation, const char *peer)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (!proxy) {
		proxy = calloc(1, sizeof(*proxy));
		if (!proxy)
			return -1;
		proxy->name = strdup(name);
		if (!proxy->name) {
			free(proxy);
			return -1;
		}
		HASH_ADD_KEYPTR(hh, registry->proxies, proxy->name,
				strlen(proxy->name), proxy);
	}
	proxy->incarnation = incarnation;
	snprintf(proxy->peer, sizeof(proxy->peer), "%s", peer);
	return 0;
}

/*
 * Calls visit for each registered proxy, in no particular order.
 */
void registry_proxy_visit(const registry_t *registry,
			  void (*visit)(void *context, const char *name,
					const char *peer),
			  void *context)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		visit(context, proxy->name, proxy->peer);
	}
}

void registry_proxy_remove(registry_t *registry, const char *name)
{
	proxy_entry_t *proxy = find_proxy(registry, name);

	if (!proxy)
		return;
	HASH_DEL(registry->proxies, proxy);
	free_proxy(proxy);
}

/*
 * Tells whether this very process is registered.
 */
bool registry_proxy_holds(const registry_t *registry, const char *name,
			  uint64_t incarnation)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy && proxy->incarnation == incarnation;
}

bool registry_proxy_ended(const registry_t *registry, const char *name,
			  uint64_t incarnation)
{
	const proxy_entry_t *proxy = find_proxy(registry, name);

	return proxy && proxy->incarnation != incarnation;
}

uint32_t registry_proxy_count(const registry_t *registry)
{
	return HASH_COUNT(registry->proxies);
}

/*
 * Returns the place of a proxy in the order of the names.
 */
uint32_t registry_proxy_rank(const registry_t *registry, const char *name)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;
	uint32_t rank = 0;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		if (strcmp(proxy->name, name) < 0)
			rank++;
	}
	return rank;
}

/*
 * Keeps or removes a note. Returns 0, or -1 without memory.
 */
int registry_note_set(registry_t *registry, registry_note_kind_t kind,
		      const char *subject, const registry_note_t *note)
{
	note_entry_t **notes = &registry->notes[kind];
	note_entry_t *entry;

	HASH_FIND_STR(*notes, subject, entry);
	if (!note) {
		if (entry) {
			HASH_DEL(*notes, entry);
			free_note(entry);
		}
		return 0;
	}
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			return -1;
		entry->subject = strdup(subject);
		if (!entry->subject) {
			free(entry);
			return -1;
		}
		HASH_ADD_KEYPTR(hh, *notes, entry->subject,
				strlen(entry->subject), entry);
	}
	entry->note = *note;
	return 0;
}

/*
 * Counts the registered processes that wrote a note about the group with this
 * number and text.
 */
static uint32_t count_notes(const registry_t *registry,
			    registry_note_kind_t kind, const char *group,
			    uint64_t number, const char *text)
{
	const proxy_entry_t *proxy;
	const proxy_entry_t *next;
	const note_entry_t *entry;
	char subject[3 * PROMOTION_NAME_SIZE];
	uint32_t count = 0;

	HASH_ITER(hh, registry->proxies, proxy, next) {
		snprintf(subject, sizeof(subject), "%s/%s", group, proxy->name);
		HASH_FIND_STR(registry->notes[kind], subject, entry);
		if (entry && entry->note.number == number &&
		    entry->note.incarnation == proxy->incarnation &&
		    strcmp(entry->note.text, text) == 0)
			count++;
	}
	return count;
}

/*
 * Returns how many proxies cannot reach the recorded primary.
 */
uint32_t registry_count_doubts(const registry_t *registry, const char *group,
			       const group_record_t *record)
{
	return count_notes(registry, REGISTRY_NOTE_DOUBT, group, record->term,
			   record->primary);
}

/*
 * Returns how many proxies have stopped on the fence of the record. A fence is
 * known by the revision of its record: the token stays the same while one
 * holder fences several times, and a stop at an earlier fence says nothing of
 * this one.
 */
uint32_t registry_count_stopped(const registry_t *registry, const char *group,
				const group_record_t *record)
{
	if (record->fence == 0)
		return 0;
	return count_notes(registry, REGISTRY_NOTE_STOP, group,
			   record->revision, "");
}
