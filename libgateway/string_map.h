#ifndef HORNBEAMTACK_GATEWAY_VALUES_H
#define HORNBEAMTACK_GATEWAY_VALUES_H

#include <stdbool.h>
#include <stddef.h>

/* A small map from names to texts, searched linearly. It holds the values or
 * the prepared statements of a session or of a connection. */
typedef struct {
	char *name;
	char *text;
} string_map_entry_t;

typedef struct {
	string_map_entry_t *items;
	size_t count;
	size_t capacity;
	/* Length of all names and texts. */
	size_t bytes;
} string_map_t;

/* Most entries of a map, so that a caller cannot fill the memory. */
#define STRING_MAP_ENTRIES_MAX 256

int string_map_set(string_map_t *map, const char *name, const char *text);
const char *string_map_get(const string_map_t *map, const char *name);
bool string_map_remove(string_map_t *map, const char *name);
void string_map_clear(string_map_t *map);
bool string_map_equal(const string_map_t *a, const string_map_t *b);
/* Returns true if b has every name of a, with any text. */
bool string_map_is_key_subset(const string_map_t *a, const string_map_t *b);

#endif
