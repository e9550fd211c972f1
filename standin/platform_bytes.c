#include "platform_bytes.h"

#include <errno.h>
#include <inttypes.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Returns memory, or ends the program if it is NULL. A test can't use a
 * stand-in without memory.
 */
void *require_memory(void *memory)
{
	if (!memory) {
		fprintf(stderr, "standin-platform: out of memory\n");
		exit(1);
	}
	return memory;
}

/*
 * Returns a copy of source, which the caller frees with bytes_free().
 */
bytes_t bytes_copy(const bytes_t *source)
{
	bytes_t copy = { require_memory(malloc(source->size + 1)),
			 source->size };

	if (source->size > 0)
		memcpy(copy.data, source->data, source->size);
	copy.data[copy.size] = '\0';
	return copy;
}

/*
 * Frees the bytes and makes them empty.
 */
void bytes_free(bytes_t *bytes)
{
	free(bytes->data);
	*bytes = (bytes_t){ 0 };
}

/*
 * Compares byte by byte. A prefix of a longer text is the smaller one. The
 * result has the meaning of that of memcmp().
 */
int bytes_compare(const bytes_t *a, const bytes_t *b)
{
	size_t shared = a->size < b->size ? a->size : b->size;
	int order = shared > 0 ? memcmp(a->data, b->data, shared) : 0;

	if (order != 0 || a->size == b->size)
		return order;
	return a->size < b->size ? -1 : 1;
}

/*
 * Returns a JSON string with the bytes in base64.
 */
json_t *bytes_to_json(const bytes_t *bytes)
{
	char *text = require_memory(malloc((bytes->size + 2) / 3 * 4 + 1));
	json_t *json;

	EVP_EncodeBlock((unsigned char *)text,
			(const unsigned char *)bytes->data, (int)bytes->size);
	json = json_string(text);
	free(text);
	return require_memory(json);
}

/*
 * Decodes the base64 text in a field of an object. Without that field the
 * result is empty. The caller frees the bytes. Returns false if the text is
 * malformed.
 */
bool bytes_from_json(const json_t *object, const char *field, bytes_t *bytes)
{
	const json_t *json = json_object_get(object, field);
	const char *text = json ? json_string_value(json) : "";
	size_t length = text ? strlen(text) : 1;
	size_t padding = 0;
	int decoded;

	*bytes = (bytes_t){ 0 };
	if (length % 4 != 0)
		return false;
	while (padding < 2 && padding < length &&
	       text[length - padding - 1] == '=')
		padding++;
	bytes->data = require_memory(malloc(length / 4 * 3 + 1));
	decoded = EVP_DecodeBlock((unsigned char *)bytes->data,
				  (const unsigned char *)text, (int)length);
	if (decoded < (int)padding) {
		bytes_free(bytes);
		return false;
	}
	bytes->size = (size_t)decoded - padding;
	bytes->data[bytes->size] = '\0';
	return true;
}

/*
 * Returns a JSON string with the number in decimal digits.
 */
json_t *number_to_json(uint64_t number)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	return require_memory(json_string(text));
}

/*
 * Reads the number in a field of an object, which may be a JSON integer or a
 * string of decimal digits. Without that field the number is 0. Returns false
 * if the field has another form.
 */
bool number_from_json(const json_t *object, const char *field, uint64_t *number)
{
	const json_t *json = json_object_get(object, field);
	const char *text = json_string_value(json);
	char *end;

	*number = 0;
	if (!json)
		return true;
	if (json_is_integer(json) && json_integer_value(json) >= 0) {
		*number = (uint64_t)json_integer_value(json);
		return true;
	}
	if (!text || *text < '0' || *text > '9')
		return false;
	errno = 0;
	*number = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0' && *number <= INT64_MAX;
}
