#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * Returns a JSON string with size bytes in base64, which is how the gateway
 * writes keys and values. Returns NULL if there is no memory.
 */
json_t *platform_json_bytes(const char *bytes, size_t size)
{
	char *text = platform_base64_encode(bytes, size);
	json_t *json = text ? json_string(text) : NULL;

	free(text);
	return json;
}

/*
 * Returns a JSON string with a number in decimal, which is how the gateway
 * writes 64-bit numbers. Returns NULL if there is no memory.
 */
json_t *platform_json_number(uint64_t number)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	return json_string(text);
}

/*
 * Stores the number in a field of an object. An absent field means 0, because
 * the gateway omits fields that are 0. Returns PLATFORM_OK, or
 * PLATFORM_ERROR_MALFORMED if the field is not a string with a decimal number
 * from 0 to INT64_MAX.
 */
int platform_json_number_get(const json_t *object, const char *field,
			     uint64_t *number)
{
	const json_t *json = json_object_get(object, field);
	const char *text;
	char *end;

	*number = 0;
	if (!json)
		return PLATFORM_OK;
	text = json_string_value(json);
	if (!text || *text < '0' || *text > '9')
		return PLATFORM_ERROR_MALFORMED;
	errno = 0;
	*number = strtoull(text, &end, 10);
	if (errno != 0 || *end != '\0' || *number > INT64_MAX)
		return PLATFORM_ERROR_MALFORMED;
	return PLATFORM_OK;
}

/*
 * Stores the Boolean value in a field of an object; an absent field means
 * false. Returns PLATFORM_OK, or PLATFORM_ERROR_MALFORMED if the field is not a
 * Boolean.
 */
int platform_json_bool_get(const json_t *object, const char *field, bool *value)
{
	const json_t *json = json_object_get(object, field);

	*value = json_is_true(json);
	return !json || json_is_boolean(json) ? PLATFORM_OK
					      : PLATFORM_ERROR_MALFORMED;
}

/*
 * Stores the array in a field of an object, or NULL if the field is absent,
 * which means an empty array. The array stays owned by the object. Returns
 * PLATFORM_OK, or PLATFORM_ERROR_MALFORMED if the field is not an array.
 */
int platform_json_array_get(const json_t *object, const char *field,
			    json_t **array)
{
	*array = json_object_get(object, field);
	return !*array || json_is_array(*array) ? PLATFORM_OK
						: PLATFORM_ERROR_MALFORMED;
}

/*
 * Stores the revision of the store in the header of a message. Returns
 * PLATFORM_OK, or PLATFORM_ERROR_MALFORMED if it is missing, 0 or not a number.
 */
int platform_json_revision_get(const json_t *message, uint64_t *revision)
{
	const json_t *header = json_object_get(message, "header");

	if (!json_is_object(header) ||
	    platform_json_number_get(header, "revision", revision) !=
		    PLATFORM_OK ||
	    *revision == 0)
		return PLATFORM_ERROR_MALFORMED;
	return PLATFORM_OK;
}
