#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "libjson/text.h"

/*
 * Returns whether the name of a service or a writer may be part of a key: 1 to
 * PLATFORM_NAME_SIZE - 1 bytes of UTF-8 without slashes or control characters.
 */
bool platform_name_valid(const char *name)
{
	size_t length = strnlen(name, PLATFORM_NAME_SIZE);
	size_t i;

	if (length == 0 || length == PLATFORM_NAME_SIZE)
		return false;
	for (i = 0; i < length; i++) {
		if (name[i] == '/' || (unsigned char)name[i] < ' ')
			return false;
	}
	return json_text_is_utf8(name);
}

/*
 * Returns the key "<prefix>/<kind>/<name>", which the caller frees, or NULL if
 * there is no memory.
 */
char *platform_key(const char *prefix, const char *kind, const char *name)
{
	char *key;

	if (asprintf(&key, "%s/%s/%s", prefix, kind, name) < 0)
		return NULL;
	return key;
}

/*
 * Returns the end of the range of keys that begin with key_prefix, which the
 * caller frees. key_prefix must end with a slash, which is replaced by the next
 * character. Returns NULL if there is no memory.
 */
char *platform_prefix_end(const char *key_prefix)
{
	char *end = strdup(key_prefix);

	if (end)
		end[strlen(end) - 1] = '/' + 1;
	return end;
}

/*
 * Returns the value to be stored for a service, which the caller frees. text is
 * a JSON object, or empty for a removed service. On failure returns NULL and
 * stores in *error PLATFORM_ERROR_MALFORMED if text is not a JSON object or a
 * name is not UTF-8, PLATFORM_ERROR_TOO_LARGE if the value is longer than
 * PLATFORM_VALUE_MAX_BYTES, or PLATFORM_ERROR_MEMORY.
 */
char *platform_value_encode(const char *text, const char *writer,
			    const char *operator_name, int *error)
{
	json_t *value = *text == '\0' ? json_null() : json_loads(text, 0, NULL);
	json_t *object;
	char *encoded;

	*error = PLATFORM_ERROR_MALFORMED;
	if (!json_is_object(value) && !json_is_null(value)) {
		json_decref(value);
		return NULL;
	}
	object = json_pack("{s:o,s:s,s:s}", "value", value, "writer", writer,
			   "operator", operator_name);
	if (!object)
		return NULL; /* A name is not valid UTF-8. */
	encoded = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	*error = PLATFORM_ERROR_MEMORY;
	if (encoded && strlen(encoded) > PLATFORM_VALUE_MAX_BYTES) {
		free(encoded);
		*error = PLATFORM_ERROR_TOO_LARGE;
		return NULL;
	}
	return encoded;
}

static void free_item(platform_item_t *item)
{
	free((char *)item->service);
	free((char *)item->text);
	free((char *)item->writer);
	free((char *)item->operator_name);
}

/*
 * Appends an item. The array takes ownership of the item's strings and frees
 * them if the item can't be appended. A string that is NULL counts as a failed
 * allocation. Returns PLATFORM_OK or PLATFORM_ERROR_MEMORY.
 */
static int append(platform_items_t *items, platform_item_t *item)
{
	size_t capacity = items->capacity ? items->capacity * 2 : 16;
	platform_item_t *grown;

	if (!item->service || !item->text || !item->writer ||
	    !item->operator_name) {
		free_item(item);
		return PLATFORM_ERROR_MEMORY;
	}
	if (items->count == items->capacity) {
		grown = reallocarray(items->items, capacity, sizeof(*grown));
		if (!grown) {
			free_item(item);
			return PLATFORM_ERROR_MEMORY;
		}
		items->items = grown;
		items->capacity = capacity;
	}
	items->bytes += sizeof(*item) + strlen(item->service) +
			strlen(item->text) + strlen(item->writer) +
			strlen(item->operator_name);
	items->items[items->count++] = *item;
	return PLATFORM_OK;
}

/*
 * Decodes a base64 field of a key-value pair into *bytes, with a NUL appended,
 * which the caller frees, and stores their number in size. Returns PLATFORM_OK,
 * PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY; *bytes is NULL then.
 */
static int decode_bytes(const json_t *kv, const char *field, char **bytes,
			size_t *size)
{
	const json_t *json = json_object_get(kv, field);
	const char *text = json_string_value(json);
	size_t length = json_string_length(json);

	*bytes = text ? platform_base64_decode(text, length, size) : NULL;
	if (*bytes)
		return PLATFORM_OK;
	return text && platform_base64_is_valid(text, length)
		       ? PLATFORM_ERROR_MEMORY
		       : PLATFORM_ERROR_MALFORMED;
}

/*
 * Stores the name that follows key_prefix in the key of a pair; the caller
 * frees it. Returns PLATFORM_OK, PLATFORM_ENTRY_SKIPPED if the rest of the key
 * is not a valid name, PLATFORM_ERROR_MALFORMED if the key cannot be decoded or
 * does not begin with key_prefix, or PLATFORM_ERROR_MEMORY.
 */
static int decode_name(const json_t *kv, const char *key_prefix, char **name)
{
	size_t size;
	char *key;
	size_t prefix = strlen(key_prefix);
	int error = decode_bytes(kv, "key", &key, &size);

	*name = NULL;
	if (error != PLATFORM_OK)
		return error;
	if (strncmp(key, key_prefix, prefix) != 0) {
		error = PLATFORM_ERROR_MALFORMED;
	} else if (strlen(key) != size || !platform_name_valid(key + prefix)) {
		error = PLATFORM_ENTRY_SKIPPED;
	} else {
		*name = strdup(key + prefix);
		error = *name ? PLATFORM_OK : PLATFORM_ERROR_MEMORY;
	}
	free(key);
	return error;
}

/*
 * Fills the text, writer and operator of an item from the stored JSON object.
 * Strings are NULL if there is no memory, which append() finds. Returns
 * PLATFORM_OK or PLATFORM_ERROR_MALFORMED.
 */
static int decode_object(const json_t *object, platform_item_t *item)
{
	const json_t *value = json_object_get(object, "value");
	const char *writer =
		json_string_value(json_object_get(object, "writer"));
	const char *operator_name =
		json_string_value(json_object_get(object, "operator"));

	if ((!json_is_object(value) && !json_is_null(value)) || !writer ||
	    !operator_name || !platform_name_valid(writer) ||
	    strlen(operator_name) >= PLATFORM_NAME_SIZE)
		return PLATFORM_ERROR_MALFORMED;
	item->text = json_is_null(value) ? strdup("")
					 : json_dumps(value, JSON_COMPACT);
	item->writer = strdup(writer);
	item->operator_name = strdup(operator_name);
	return PLATFORM_OK;
}

/*
 * Fills the text, writer and operator of an item from the base64 value of a
 * pair. Returns PLATFORM_OK, PLATFORM_ENTRY_SKIPPED if the value is not a
 * stored JSON object, PLATFORM_ERROR_MALFORMED if it cannot be decoded, or
 * PLATFORM_ERROR_MEMORY.
 */
static int decode_value(const json_t *kv, platform_item_t *item)
{
	size_t size;
	char *text;
	json_t *object;
	int error = decode_bytes(kv, "value", &text, &size);

	if (error != PLATFORM_OK)
		return error;
	error = json_text_parse(text, size, 0, &object);
	free(text);
	if (error == JSON_TEXT_ERROR_MEMORY)
		return PLATFORM_ERROR_MEMORY;
	error = decode_object(object, item);
	json_decref(object);
	return error == PLATFORM_OK ? PLATFORM_OK : PLATFORM_ENTRY_SKIPPED;
}

/*
 * Returns the bytes of a pair's key, which the caller frees, and stores their
 * number in size. Returns NULL if the key is malformed or without memory.
 */
char *platform_item_key(const json_t *kv, size_t *size)
{
	char *key;

	decode_bytes(kv, "key", &key, size);
	return key;
}

/*
 * Stores the mod_revision of a pair. Returns PLATFORM_OK, or
 * PLATFORM_ERROR_MALFORMED if it is missing, 0 or not a number.
 */
int platform_item_revision(const json_t *kv, uint64_t *revision)
{
	if (!json_is_object(kv) ||
	    platform_json_number_get(kv, "mod_revision", revision) !=
		    PLATFORM_OK ||
	    *revision == 0)
		return PLATFORM_ERROR_MALFORMED;
	return PLATFORM_OK;
}

/*
 * Appends the item of a key-value pair. The key must begin with key_prefix. If
 * service is NULL, the rest of the key is the name of the service; otherwise it
 * is the name of the writer, as in the keys of a history. Returns PLATFORM_OK,
 * PLATFORM_ENTRY_SKIPPED, PLATFORM_ERROR_MALFORMED or PLATFORM_ERROR_MEMORY.
 */
int platform_items_add(platform_items_t *items, const json_t *kv,
		       const char *key_prefix, const char *service)
{
	platform_item_t item = { 0 };
	char *name;
	int error;

	if (platform_item_revision(kv, &item.revision) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	error = decode_name(kv, key_prefix, &name);
	if (error == PLATFORM_OK)
		error = decode_value(kv, &item);
	if (error != PLATFORM_OK) {
		free(name);
		return error;
	}
	item.service = service ? strdup(service) : strdup(name);
	free(name);
	return append(items, &item);
}

/*
 * Appends the item of a service whose key was deleted. This client never
 * deletes keys, but an administrator may. The item has the form of a removed
 * service, without a writer. Returns as platform_items_add().
 */
int platform_items_add_removed(platform_items_t *items, const json_t *kv,
			       const char *key_prefix)
{
	platform_item_t item = { 0 };
	char *name;
	int error;

	if (platform_item_revision(kv, &item.revision) != PLATFORM_OK)
		return PLATFORM_ERROR_MALFORMED;
	error = decode_name(kv, key_prefix, &name);
	if (error != PLATFORM_OK)
		return error;
	item.service = name;
	item.text = strdup("");
	item.writer = strdup("");
	item.operator_name = strdup("");
	return append(items, &item);
}

static int compare_revision(const void *left, const void *right)
{
	const platform_item_t *a = left;
	const platform_item_t *b = right;

	if (a->revision != b->revision)
		return a->revision < b->revision ? -1 : 1;
	return strcmp(a->service, b->service);
}

/*
 * Sorts the items in ascending order of their revisions, and of their names if
 * the revisions are equal.
 */
void platform_items_sort(platform_items_t *items)
{
	if (items->count > 0)
		qsort(items->items, items->count, sizeof(*items->items),
		      compare_revision);
}

/*
 * Frees all items and leaves the array empty.
 */
void platform_items_free(platform_items_t *items)
{
	size_t i;

	for (i = 0; i < items->count; i++)
		free_item(&items->items[i]);
	free(items->items);
	*items = (platform_items_t){ 0 };
}
