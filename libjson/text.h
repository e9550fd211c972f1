#ifndef HORNBEAMTACK_JSON_TEXT_H
#define HORNBEAMTACK_JSON_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

enum {
	JSON_TEXT_OK = 0,
	JSON_TEXT_ERROR_MALFORMED = -1,
	JSON_TEXT_ERROR_MEMORY = -2,
};

/* Parses size bytes of JSON into *value, which the caller releases; it is NULL
 * after an error. flags are those of json_loadb(). Returns a JSON_TEXT_ value.
 */
int json_text_parse(const char *text, size_t size, size_t flags,
		    json_t **value);
/* Returns value as compact JSON, which the caller frees, or NULL without memory
 * or if value is NULL. Releases value. */
char *json_text_format(json_t *value);

/* Tells whether a string is UTF-8, so that JSON can hold it. */
bool json_text_is_utf8(const char *text);

#endif
