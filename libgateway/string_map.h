#ifndef HORNBEAMTACK_GATEWAY_VALUES_H
#define HORNBEAMTACK_GATEWAY_VALUES_H

#include <stdbool.h>
#include <stddef.h>

/* Session values or prepared statements: texts by name, few of them. */
typedef struct {
	char *name;
	char *text;
} string_map_entry_t;

typedef struct {
	string_map_entry_t *items;
	size_t count;
	size_t capacity;
} string_map_t;

/* Most names that one session may keep, against callers that fill the memory.
 */
#define STRING_MAP_ENTRIES_MAX 256

int string_map_set(string_map_t *values, const char *name, const char *text);
const char *string_map_get(const string_map_t *values, const char *name);
bool string_map_remove(string_map_t *values, const char *name);
void string_map_clear(string_map_t *values);
bool string_map_equal(const string_map_t *a, const string_map_t *b);
/* Tells whether b has every name of a. */
bool string_map_is_key_subset(const string_map_t *a, const string_map_t *b);

#endif
