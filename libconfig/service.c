#include "config.h"

#include <stdio.h>
#include <string.h>

#include "field.h"

#define SCHEMA_VERSION_MAX 1000000

#define NUMBER(type, field) \
#field, CONFIG_FIELD_##type, offsetof(config_service_t, field)

/* Key, minimum, maximum and default of each numeric setting. */
static const config_field_number_t service_numbers[] = {
	{ NUMBER(U32, slots), 1, 1024, 3 },
	/* Each target of a group of three can have up to three control
	 * connections; with fewer than 4 no connection is left for statements.
	 */
	{ NUMBER(U32, connections), 4, 4096, 20 },
	{ NUMBER(U32, queue_max), 0, 65536, 64 },
	{ NUMBER(U32, schema_read_min), 1, SCHEMA_VERSION_MAX, 1 },
	{ NUMBER(U32, schema_read_max), 1, SCHEMA_VERSION_MAX, 1 },
	{ NUMBER(U32, schema_write), 1, SCHEMA_VERSION_MAX, 1 },
	{ NUMBER(U32, schema_write_min), 1, SCHEMA_VERSION_MAX, 1 },
	{ NUMBER(MS, default_max_age_ms), 0, 3600000, 1000 },
	{ NUMBER(MS, default_deadline_ms), 10, 600000, 2000 },
	{ NUMBER(MS, transaction_idle_ms), 100, 600000, 5000 },
};

static const config_field_number_t target_port = {
	"port", CONFIG_FIELD_U16, offsetof(config_target_t, port), 1, 65535, 0,
	true
};

static const char *const service_keys[] = {
	"name",
	"targets",
	"slots",
	"connections",
	"queue_max",
	"schema_read_min",
	"schema_read_max",
	"schema_write",
	"schema_write_min",
	"default_max_age_ms",
	"default_deadline_ms",
	"transaction_idle_ms",
};

static const char *const target_keys[] = { "name", "address", "port", "domain",
					   "leaving" };

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Checks that the name and the address of the target at index differ from those
 * of all targets before it. A server with two entries would count twice in a
 * majority.
 */
static int target_check_unique(const config_service_t *service, uint32_t index,
			       char *text)
{
	const config_target_t *target = &service->targets[index];
	uint32_t i;

	for (i = 0; i < index; i++) {
		const config_target_t *other = &service->targets[i];

		if (strcmp(target->name, other->name) == 0)
			return config_field_error(
				text, CONFIG_ERROR_RANGE,
				"targets[%u].name: \"%s\" is also the name of "
				"targets[%u]",
				index, target->name, i);
		if (target->port == other->port &&
		    strcmp(target->address, other->address) == 0)
			return config_field_error(
				text, CONFIG_ERROR_RANGE,
				"targets[%u].address: %s port %u is also used "
				"by targets[%u]",
				index, target->address, target->port, i);
	}
	return CONFIG_OK;
}

static int target_parse(const json_t *object, config_service_t *service,
			uint32_t index, char *text)
{
	config_target_t *target = &service->targets[index];
	char prefix[32];
	config_field_reader_t reader = { object, prefix, text };
	int error;

	snprintf(prefix, sizeof(prefix), "targets[%u].", index);
	if (!json_is_object(object))
		return config_field_error(text, CONFIG_ERROR_MALFORMED,
					  "targets[%u]: expected an object",
					  index);
	error = config_field_keys(&reader, target_keys, COUNT(target_keys));
	if (error == CONFIG_OK)
		error = config_field_name(&reader, "name", target->name);
	if (error == CONFIG_OK)
		error = config_field_address(&reader, "address",
					     target->address);
	if (error == CONFIG_OK)
		error = config_field_number(&reader, &target_port, target);
	if (error == CONFIG_OK)
		error = config_field_name(&reader, "domain", target->domain);
	if (error == CONFIG_OK)
		error = config_field_bool(&reader, "leaving", &target->leaving);
	if (error == CONFIG_OK)
		error = target_check_unique(service, index, text);
	return error;
}

static int targets_parse(const json_t *array, config_service_t *service,
			 char *text)
{
	size_t count = json_array_size(array);
	uint32_t i;
	int error = CONFIG_OK;

	if (!json_is_array(array))
		return config_field_error(
			text, CONFIG_ERROR_MALFORMED,
			"targets: expected an array of 1 to %d targets",
			GROUP_TARGETS_MAX);
	if (count < 1 || count > GROUP_TARGETS_MAX)
		return config_field_error(
			text, CONFIG_ERROR_RANGE,
			"targets: %zu targets are not in the range 1 to %d",
			count, GROUP_TARGETS_MAX);
	service->target_count = (uint32_t)count;
	for (i = 0; i < count && error == CONFIG_OK; i++)
		error = target_parse(json_array_get(array, i), service, i,
				     text);
	return error;
}

static int versions_check(const config_service_t *service, char *text)
{
	if (service->schema_read_min > service->schema_read_max)
		return config_field_error(
			text, CONFIG_ERROR_RANGE,
			"schema_read_min: %u is not in the range 1 to %u "
			"(schema_read_max)",
			service->schema_read_min, service->schema_read_max);
	if (service->schema_write_min > service->schema_write)
		return config_field_error(
			text, CONFIG_ERROR_RANGE,
			"schema_write_min: %u is not in the range 1 to %u "
			"(schema_write)",
			service->schema_write_min, service->schema_write);
	if (service->schema_write < service->schema_read_min ||
	    service->schema_write > service->schema_read_max)
		return config_field_error(
			text, CONFIG_ERROR_RANGE,
			"schema_write: %u is not in the range %u to %u "
			"(schema_read_min to schema_read_max)",
			service->schema_write, service->schema_read_min,
			service->schema_read_max);
	return CONFIG_OK;
}

static int service_read(const json_t *root, config_service_t *service,
			char *text)
{
	config_field_reader_t reader = { root, "", text };
	size_t i;
	int error;

	if (!json_is_object(root))
		return config_field_error(text, CONFIG_ERROR_MALFORMED,
					  "service: expected an object");
	error = config_field_keys(&reader, service_keys, COUNT(service_keys));
	if (error == CONFIG_OK)
		error = config_field_name(&reader, "name", service->name);
	for (i = 0; i < COUNT(service_numbers) && error == CONFIG_OK; i++)
		error = config_field_number(&reader, &service_numbers[i],
					    service);
	if (error == CONFIG_OK)
		error = versions_check(service, text);
	if (error == CONFIG_OK)
		error = targets_parse(json_object_get(root, "targets"), service,
				      text);
	return error;
}

/*
 * Parses the JSON text of one service. Optional keys that are absent get their
 * defaults; unknown keys, repeated keys and values of other types are errors.
 * The JSON parser and the size of the text limit the depth of nesting.
 *
 * Returns CONFIG_OK; or CONFIG_ERROR_MALFORMED, CONFIG_ERROR_RANGE or
 * CONFIG_ERROR_UNKNOWN_KEY with the field and its allowed range in text. After
 * an error the content of service is unspecified.
 */
int config_service_parse(const char *json, config_service_t *service,
			 char text[CONFIG_ERROR_TEXT_SIZE])
{
	size_t length_bytes = strnlen(json, CONFIG_TEXT_MAX_BYTES + 1);
	json_error_t json_error;
	json_t *root;
	int error;

	memset(service, 0, sizeof(*service));
	text[0] = '\0';
	if (length_bytes > CONFIG_TEXT_MAX_BYTES)
		return config_field_error(
			text, CONFIG_ERROR_RANGE,
			"service: the text is longer than %d bytes",
			CONFIG_TEXT_MAX_BYTES);
	root = json_loadb(json, length_bytes, JSON_REJECT_DUPLICATES,
			  &json_error);
	if (!root)
		return config_field_error(text, CONFIG_ERROR_MALFORMED,
					  "service: line %d column %d: %s",
					  json_error.line, json_error.column,
					  json_error.text);
	error = service_read(root, service, text);
	json_decref(root);
	return error;
}

static json_t *targets_format(const config_service_t *service)
{
	json_t *array = json_array();
	uint32_t i;

	for (i = 0; i < service->target_count; i++) {
		const config_target_t *target = &service->targets[i];
		json_t *object = json_pack(
			"{s:s, s:s, s:i, s:s, s:b}", "name", target->name,
			"address", target->address, "port", (int)target->port,
			"domain", target->domain, "leaving", target->leaving);

		if (json_array_append_new(array, object) != 0) {
			json_decref(array);
			return NULL;
		}
	}
	return array;
}

/*
 * Returns the JSON text of service, which has every key and which the caller
 * frees; NULL without memory. Parsing the text gives the same service.
 */
char *config_service_format(const config_service_t *service)
{
	json_t *root = json_pack("{s:s}", "name", service->name);
	char *text = NULL;
	size_t i;
	int failed;

	failed = json_object_set_new(root, "targets", targets_format(service));
	for (i = 0; i < COUNT(service_numbers); i++) {
		const config_field_number_t *rule = &service_numbers[i];
		const void *field = (const char *)service + rule->offset;
		json_int_t number = rule->type == CONFIG_FIELD_MS
					    ? *(const clock_ms_t *)field
					    : *(const uint32_t *)field;

		failed |= json_object_set_new(root, rule->key,
					      json_integer(number));
	}
	if (failed == 0)
		text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
