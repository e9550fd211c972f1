#include "string_map.h"

#include <stdlib.h>
#include <string.h>

static string_map_entry_t *find(const string_map_t *map, const char *name)
{
	size_t i;

	for (i = 0; i < map->count; i++) {
		if (strcmp(map->items[i].name, name) == 0)
			return &map->items[i];
	}
	return NULL;
}

/*
 * Sets the text of a name; both are copied. Returns 0, or -1 if there is no
 * memory or the map is full, which leaves the map as it was.
 */
int string_map_set(string_map_t *map, const char *name, const char *text)
{
	string_map_entry_t *entry = find(map, name);
	char *copy = strdup(text);
	string_map_entry_t *items;

	if (!copy)
		return -1;
	if (entry) {
		map->bytes += strlen(text) - strlen(entry->text);
		free(entry->text);
		entry->text = copy;
		return 0;
	}
	if (map->count == map->capacity) {
		size_t capacity = map->capacity ? 2 * map->capacity : 2;

		items = capacity <= STRING_MAP_ENTRIES_MAX
				? realloc(map->items, capacity * sizeof(*items))
				: NULL;
		if (!items) {
			free(copy);
			return -1;
		}
		map->items = items;
		map->capacity = capacity;
	}
	entry = &map->items[map->count];
	entry->name = strdup(name);
	entry->text = copy;
	if (!entry->name) {
		free(copy);
		return -1;
	}
	map->count++;
	map->bytes += strlen(name) + strlen(text);
	return 0;
}

/*
 * Returns the text of a name, or NULL if there is none. It is valid until the
 * map changes.
 */
const char *string_map_get(const string_map_t *map, const char *name)
{
	const string_map_entry_t *entry = find(map, name);

	return entry ? entry->text : NULL;
}

/*
 * Removes a name with its text. Returns false if there is none.
 */
bool string_map_remove(string_map_t *map, const char *name)
{
	string_map_entry_t *entry = find(map, name);

	if (!entry)
		return false;
	map->bytes -= strlen(entry->name) + strlen(entry->text);
	free(entry->name);
	free(entry->text);
	*entry = map->items[--map->count];
	return true;
}

/*
 * Frees all entries; the map is then empty and may be used again.
 */
void string_map_clear(string_map_t *map)
{
	size_t i;

	for (i = 0; i < map->count; i++) {
		free(map->items[i].name);
		free(map->items[i].text);
	}
	free(map->items);
	memset(map, 0, sizeof(*map));
}

/*
 * Returns true if both maps have the same names with the same texts, in any
 * order.
 */
bool string_map_equal(const string_map_t *a, const string_map_t *b)
{
	size_t i;

	if (a->count != b->count)
		return false;
	for (i = 0; i < a->count; i++) {
		const string_map_entry_t *other = find(b, a->items[i].name);

		if (!other || strcmp(other->text, a->items[i].text) != 0)
			return false;
	}
	return true;
}

/*
 * Returns true if b has every name of a, with any text.
 */
bool string_map_is_key_subset(const string_map_t *a, const string_map_t *b)
{
	size_t i;

	for (i = 0; i < a->count; i++) {
		if (!find(b, a->items[i].name))
			return false;
	}
	return true;
}
