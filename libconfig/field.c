#include "field.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/*
 * Writes a message to text and returns error. Bytes outside printable ASCII are
 * replaced by "?", because the message quotes the input and is written to log
 * lines and JSON answers.
 */
int config_field_error(char text[CONFIG_ERROR_TEXT_SIZE], int error,
		       const char *format, ...)
{
	va_list arguments;
	char *c;

	va_start(arguments, format);
	vsnprintf(text, CONFIG_ERROR_TEXT_SIZE, format, arguments);
	va_end(arguments);
	for (c = text; *c != '\0'; c++) {
		if (*c < ' ' || *c > '~')
			*c = '?';
	}
	return error;
}

/*
 * Checks that the object has no keys other than the count keys at keys. Returns
 * CONFIG_OK or CONFIG_ERROR_UNKNOWN_KEY.
 */
int config_field_keys(const config_field_reader_t *reader,
		      const char *const *keys, size_t count)
{
	const char *key;
	json_t *value;
	size_t i;

	json_object_foreach((json_t *)reader->object, key, value) {
		for (i = 0; i < count && strcmp(key, keys[i]) != 0; i++)
			;
		if (i == count)
			return config_field_error(
				reader->text, CONFIG_ERROR_UNKNOWN_KEY,
				"%s%.64s: unknown key", reader->prefix, key);
	}
	return CONFIG_OK;
}

static void number_store(const config_field_number_t *rule, void *base,
			 json_int_t number)
{
	void *field = (char *)base + rule->offset;

	switch (rule->type) {
	case CONFIG_FIELD_U16:
		*(uint16_t *)field = (uint16_t)number;
		break;
	case CONFIG_FIELD_U32:
		*(uint32_t *)field = (uint32_t)number;
		break;
	case CONFIG_FIELD_MS:
		*(clock_ms_t *)field = (clock_ms_t)number;
		break;
	}
}

/*
 * Reads the integer that rule describes into the structure at base. If an
 * optional key is absent, the default is stored. Returns CONFIG_OK,
 * CONFIG_ERROR_MALFORMED if the value has another type or a required key is
 * absent, or CONFIG_ERROR_RANGE.
 */
int config_field_number(const config_field_reader_t *reader,
			const config_field_number_t *rule, void *base)
{
	const json_t *value = json_object_get(reader->object, rule->key);
	json_int_t number;

	if (!value && !rule->required) {
		number_store(rule, base, rule->default_value);
		return CONFIG_OK;
	}
	if (!json_is_integer(value))
		return config_field_error(
			reader->text, CONFIG_ERROR_MALFORMED,
			"%s%s: expected an integer from %lld to %lld",
			reader->prefix, rule->key, (long long)rule->min,
			(long long)rule->max);
	number = json_integer_value(value);
	if (number < rule->min || number > rule->max)
		return config_field_error(
			reader->text, CONFIG_ERROR_RANGE,
			"%s%s: %lld is not in the range %lld to %lld",
			reader->prefix, rule->key, (long long)number,
			(long long)rule->min, (long long)rule->max);
	number_store(rule, base, number);
	return CONFIG_OK;
}

/*
 * Reads an optional boolean; the value is false if the key is absent. Returns
 * CONFIG_OK or CONFIG_ERROR_MALFORMED.
 */
int config_field_bool(const config_field_reader_t *reader, const char *key,
		      bool *value)
{
	const json_t *field = json_object_get(reader->object, key);

	*value = json_is_true(field);
	if (field && !json_is_boolean(field))
		return config_field_error(reader->text, CONFIG_ERROR_MALFORMED,
					  "%s%s: expected true or false",
					  reader->prefix, key);
	return CONFIG_OK;
}

/*
 * Returns true if name has 1 to 63 characters of a-z, 0-9, "-" and ".".
 */
bool config_name_is_valid(const char *name)
{
	size_t length = strnlen(name, CONFIG_NAME_SIZE);

	return length > 0 && length < CONFIG_NAME_SIZE &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") == length;
}

/*
 * Reads a required string, which belongs to the JSON object. expected describes
 * the allowed values in the error text. Returns CONFIG_OK or
 * CONFIG_ERROR_MALFORMED.
 */
static int read_string(const config_field_reader_t *reader, const char *key,
		       const char *expected, const char **string)
{
	*string = json_string_value(json_object_get(reader->object, key));
	if (!*string)
		return config_field_error(reader->text, CONFIG_ERROR_MALFORMED,
					  "%s%s: expected %s", reader->prefix,
					  key, expected);
	return CONFIG_OK;
}

/*
 * Reads a required name, see config_name_is_valid(). Returns CONFIG_OK,
 * CONFIG_ERROR_MALFORMED if the key is absent or its value is no string, or
 * CONFIG_ERROR_RANGE if the name is invalid.
 */
int config_field_name(const config_field_reader_t *reader, const char *key,
		      char name[CONFIG_NAME_SIZE])
{
	static const char expected[] =
		"1 to 63 characters of a-z, 0-9, \"-\" and \".\"";
	const char *string;
	int error = read_string(reader, key, expected, &string);

	if (error != CONFIG_OK)
		return error;
	if (!config_name_is_valid(string))
		return config_field_error(reader->text, CONFIG_ERROR_RANGE,
					  "%s%s: \"%.64s\" is not %s",
					  reader->prefix, key, string,
					  expected);
	memcpy(name, string, strlen(string) + 1);
	return CONFIG_OK;
}

/*
 * Reads a required IP address and stores it in its canonical text form, so that
 * equal addresses have equal texts. An IPv4-mapped IPv6 address is an error,
 * because it would be a second text for an IPv4 address. Returns the same
 * errors as config_field_name().
 */
int config_field_address(const config_field_reader_t *reader, const char *key,
			 char address[CONFIG_ADDRESS_SIZE])
{
	static const char expected[] = "an IPv4 or IPv6 address";
	struct in_addr v4;
	struct in6_addr v6;
	const char *string;
	int error = read_string(reader, key, expected, &string);

	if (error != CONFIG_OK)
		return error;
	if (inet_pton(AF_INET, string, &v4) == 1) {
		inet_ntop(AF_INET, &v4, address, CONFIG_ADDRESS_SIZE);
		return CONFIG_OK;
	}
	if (inet_pton(AF_INET6, string, &v6) == 1 &&
	    !IN6_IS_ADDR_V4MAPPED(&v6)) {
		inet_ntop(AF_INET6, &v6, address, CONFIG_ADDRESS_SIZE);
		return CONFIG_OK;
	}
	return config_field_error(reader->text, CONFIG_ERROR_RANGE,
				  "%s%s: \"%.64s\" is not %s", reader->prefix,
				  key, string, expected);
}
