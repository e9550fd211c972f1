#include "text.h"

#include <stdint.h>
#include <stdlib.h>

/* jansson, whose allocation functions are global as well, reports a failed
 * allocation as a fault of the text, or leaves out a part of the value. */
static bool allocation_failed;

static void *allocate(size_t size)
{
	void *memory = malloc(size);

	allocation_failed = allocation_failed || !memory;
	return memory;
}

/*
 * Parses JSON. Returns JSON_TEXT_OK, JSON_TEXT_ERROR_MALFORMED or
 * JSON_TEXT_ERROR_MEMORY.
 */
int json_text_parse(const char *text, size_t size, size_t flags, json_t **value)
{
	json_set_alloc_funcs(allocate, free);
	allocation_failed = false;
	*value = json_loadb(text, size, flags, NULL);
	if (*value && !allocation_failed)
		return JSON_TEXT_OK;
	json_decref(*value);
	*value = NULL;
	return allocation_failed ? JSON_TEXT_ERROR_MEMORY
				 : JSON_TEXT_ERROR_MALFORMED;
}

/*
 * Writes a value as compact JSON, and releases it. Returns NULL without memory
 * or if value is NULL. jansson leaves out the parts for which it has no memory.
 */
char *json_text_format(json_t *value)
{
	char *text;

	json_set_alloc_funcs(allocate, free);
	allocation_failed = false;
	text = value ? json_dumps(value, JSON_COMPACT) : NULL;
	json_decref(value);
	if (!allocation_failed)
		return text;
	free(text);
	return NULL;
}

/*
 * Decodes the character at the start of text, and moves *text behind it.
 * Returns false if there is no character in its shortest form, or if it is a
 * surrogate or above U+10FFFF.
 */
static bool skip_character(const unsigned char **text)
{
	/* Lowest character that needs a given number of further bytes. */
	static const uint32_t lowest[] = { 0, 0x80, 0x800, 0x10000 };
	const unsigned char *next = *text;
	uint32_t character = *next++;
	int further = 0;
	int i;

	if (character >= 0xf0 && character < 0xf8)
		further = 3;
	else if (character >= 0xe0)
		further = 2;
	else if (character >= 0xc0)
		further = 1;
	else if (character >= 0x80)
		return false;
	if (character >= 0xf8)
		return false;
	if (further > 0)
		character &= 0x3fU >> further;
	for (i = 0; i < further; i++) {
		if ((*next & 0xc0) != 0x80)
			return false;
		character = character << 6 | (*next++ & 0x3f);
	}
	*text = next;
	return character >= lowest[further] && character <= 0x10ffff &&
	       (character < 0xd800 || character > 0xdfff);
}

/*
 * Returns true if a string is UTF-8. Unlike a trial with jansson, this needs no
 * memory, so that a lack of it is not taken for a malformed string.
 */
bool json_text_is_utf8(const char *text)
{
	const unsigned char *next = (const unsigned char *)text;

	while (*next != '\0') {
		if (!skip_character(&next))
			return false;
	}
	return true;
}
