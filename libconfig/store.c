#include "config.h"

#include <stdlib.h>
#include <string.h>

#include "field.h"

/* Every item is in both arrays. by_revision has the changes in their order, so
 * that they need not be sorted for each peer that asks for them. */
struct config_store {
	uint64_t revision;
	size_t count;
	size_t capacity;
	config_item_t **by_name;
	config_item_t **by_revision;
};

/*
 * Returns an empty store at revision 0, or NULL without memory.
 */
config_store_t *config_store_new(void)
{
	return calloc(1, sizeof(config_store_t));
}

static void item_free(config_item_t *item)
{
	if (!item)
		return;
	free(item->text);
	free(item);
}

/*
 * Frees the store and its items; NULL is allowed.
 */
void config_store_free(config_store_t *store)
{
	size_t i;

	if (!store)
		return;
	for (i = 0; i < store->count; i++)
		item_free(store->by_name[i]);
	free(store->by_name);
	free(store->by_revision);
	free(store);
}

/*
 * Returns the index in by_name of the first item whose name does not sort
 * before service.
 */
static size_t name_index(const config_store_t *store, const char *service)
{
	size_t low = 0;
	size_t high = store->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(store->by_name[middle]->service.name, service) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the index of the first of the count items in by_revision that was
 * changed after revision.
 */
static size_t revision_index(const config_store_t *store, size_t count,
			     uint64_t revision)
{
	size_t low = 0;
	size_t high = count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (store->by_revision[middle]->revision <= revision)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool name_matches(const config_store_t *store, size_t index,
			 const char *service)
{
	return index < store->count &&
	       strcmp(store->by_name[index]->service.name, service) == 0;
}

static void array_insert(config_item_t **array, size_t count, size_t index,
			 config_item_t *item)
{
	memmove(&array[index + 1], &array[index],
		(count - index) * sizeof(config_item_t *));
	array[index] = item;
}

static void array_remove(config_item_t **array, size_t count,
			 const config_item_t *item)
{
	size_t index = 0;

	while (array[index] != item)
		index++;
	memmove(&array[index], &array[index + 1],
		(count - index - 1) * sizeof(config_item_t *));
}

static int store_reserve(config_store_t *store)
{
	size_t capacity = store->capacity ? store->capacity * 2 : 16;
	config_item_t **array;

	if (store->count < store->capacity)
		return CONFIG_OK;
	array = reallocarray(store->by_name, capacity, sizeof(config_item_t *));
	if (!array)
		return CONFIG_ERROR_MEMORY;
	store->by_name = array;
	array = reallocarray(store->by_revision, capacity,
			     sizeof(config_item_t *));
	if (!array)
		return CONFIG_ERROR_MEMORY;
	store->by_revision = array;
	store->capacity = capacity;
	return CONFIG_OK;
}

/*
 * Fills item from change. Returns CONFIG_OK, CONFIG_ERROR_MEMORY or an error of
 * config_service_parse().
 */
static int item_read(config_item_t *item, const config_change_t *change,
		     char *text)
{
	int error;

	item->revision = change->revision;
	item->removed = change->text[0] == '\0';
	memcpy(item->writer, change->writer, CONFIG_NAME_SIZE - 1);
	memcpy(item->operator_name, change->operator_name,
	       CONFIG_NAME_SIZE - 1);
	if (item->removed) {
		memcpy(item->service.name, change->service, CONFIG_NAME_SIZE);
	} else {
		error = config_service_parse(change->text, &item->service,
					     text);
		if (error != CONFIG_OK)
			return error;
		if (strcmp(item->service.name, change->service) != 0)
			return config_field_error(
				text, CONFIG_ERROR_MALFORMED,
				"name: \"%s\" is not the name of the changed "
				"service",
				item->service.name);
	}
	item->text = strdup(change->text);
	return item->text ? CONFIG_OK : CONFIG_ERROR_MEMORY;
}

/*
 * Inserts item into both arrays, at index in by_name. An item of the same
 * service is replaced and freed.
 */
static void item_put(config_store_t *store, size_t index, config_item_t *item)
{
	size_t others = store->count;

	if (name_matches(store, index, item->service.name)) {
		array_remove(store->by_revision, store->count,
			     store->by_name[index]);
		item_free(store->by_name[index]);
		store->by_name[index] = item;
		others--;
	} else {
		array_insert(store->by_name, store->count, index, item);
		store->count++;
	}
	array_insert(store->by_revision, others,
		     revision_index(store, others, item->revision), item);
}

/*
 * Applies one change if its revision is above that of the service in the store.
 * The item of a removed service is kept, so that an older change cannot bring
 * the service back. The revision of the store does not change, because earlier
 * changes may still be missing; config_store_advance() raises it.
 *
 * Returns CONFIG_OK; CONFIG_ERROR_STALE; CONFIG_ERROR_MEMORY; or an error of
 * config_service_parse() with its text. After an error the store is unchanged.
 */
int config_store_apply(config_store_t *store, const config_change_t *change,
		       char text[CONFIG_ERROR_TEXT_SIZE])
{
	config_item_t *item;
	size_t index;
	int error;

	text[0] = '\0';
	if (!config_name_is_valid(change->service) || change->revision == 0)
		return config_field_error(text, CONFIG_ERROR_MALFORMED,
					  "change: needs a service name and a "
					  "revision of 1 or more");
	index = name_index(store, change->service);
	if (name_matches(store, index, change->service) &&
	    change->revision <= store->by_name[index]->revision)
		return config_field_error(
			text, CONFIG_ERROR_STALE,
			"revision: %llu is not above %llu",
			(unsigned long long)change->revision,
			(unsigned long long)store->by_name[index]->revision);
	item = calloc(1, sizeof(*item));
	if (!item || store_reserve(store) != CONFIG_OK)
		error = CONFIG_ERROR_MEMORY;
	else
		error = item_read(item, change, text);
	if (error != CONFIG_OK) {
		item_free(item);
		return error;
	}
	item_put(store, index, item);
	return CONFIG_OK;
}

/*
 * Records that all changes up to revision were applied, even if none of them
 * changed a service. Returns CONFIG_OK, or CONFIG_ERROR_STALE if the revision
 * of the store is higher.
 */
int config_store_advance(config_store_t *store, uint64_t revision)
{
	if (revision < store->revision)
		return CONFIG_ERROR_STALE;
	store->revision = revision;
	return CONFIG_OK;
}

/*
 * Returns the revision up to which all changes were applied.
 */
uint64_t config_store_revision(const config_store_t *store)
{
	return store->revision;
}

/*
 * Returns the highest known revision: that of the store or that of its newest
 * item, which can be higher. The cost does not depend on the number of items,
 * because the function is called in every tick and for every message of another
 * proxy.
 */
uint64_t config_store_latest_revision(const config_store_t *store)
{
	uint64_t newest = 0;

	if (store->count > 0)
		newest = store->by_revision[store->count - 1]->revision;
	return newest > store->revision ? newest : store->revision;
}

/*
 * Returns the number of items, including those of removed services.
 */
size_t config_store_count(const config_store_t *store)
{
	return store->count;
}

/*
 * Returns the item at index, sorted by name. The item is valid until a change
 * of its service is applied.
 */
const config_item_t *config_store_at(const config_store_t *store, size_t index)
{
	return store->by_name[index];
}

/*
 * Returns the item of a service, which can have been removed, or NULL if the
 * store has no change of the service. The item is valid as that of
 * config_store_at().
 */
const config_item_t *config_store_find(const config_store_t *store,
				       const char *service)
{
	size_t index = name_index(store, service);

	return name_matches(store, index, service) ? store->by_name[index]
						   : NULL;
}

/*
 * Calls visit for each item that was changed after revision, including those of
 * removed services, in rising order of revision. visit must not change the
 * store.
 */
void config_store_visit_since(const config_store_t *store, uint64_t revision,
			      void (*visit)(void *context,
					    const config_item_t *item),
			      void *context)
{
	size_t i;

	for (i = revision_index(store, store->count, revision);
	     i < store->count; i++)
		visit(context, store->by_revision[i]);
}
