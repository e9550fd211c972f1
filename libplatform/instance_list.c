#include <stdlib.h>
#include <string.h>

#include "internal.h"

/* A request for the list of instances. */
typedef struct {
	platform_operation_t operation;
	platform_list_done_t done;
	void *context;
} instance_list_t;

static void free_list(platform_operation_t *operation)
{
	free(operation);
}

/*
 * Stores the string in a field of an instance, which stays owned by json.
 * Returns false if the field is not a string of 1 to PLATFORM_NAME_SIZE - 1
 * bytes.
 */
static bool get_text(const json_t *json, const char *field, const char **text)
{
	size_t length;

	*text = json_string_value(json_object_get(json, field));
	if (!*text)
		return false;
	length = strlen(*text);
	return length > 0 && length < PLATFORM_NAME_SIZE;
}

/*
 * Decodes one instance; its strings stay owned by json. Returns PLATFORM_OK or
 * PLATFORM_ERROR_MALFORMED.
 */
static int decode_instance(const json_t *json, platform_instance_t *instance)
{
	const char *state;

	if (!get_text(json, "name", &instance->name) ||
	    !get_text(json, "address", &instance->address) ||
	    !get_text(json, "domain", &instance->domain) ||
	    !get_text(json, "state", &state))
		return PLATFORM_ERROR_MALFORMED;
	instance->leaving = strcmp(state, "leaving") == 0;
	return instance->leaving || strcmp(state, "live") == 0
		       ? PLATFORM_OK
		       : PLATFORM_ERROR_MALFORMED;
}

/*
 * Decodes the list into an array, which the caller frees. Instances that cannot
 * be decoded are left out and counted in *skipped, so that one of them does not
 * hide the others. Returns PLATFORM_OK, PLATFORM_ERROR_MALFORMED or
 * PLATFORM_ERROR_MEMORY.
 */
static int decode_list(const json_t *answer, platform_instance_t **instances,
		       size_t *count, uint64_t *skipped)
{
	const json_t *array = json_object_get(answer, "instances");
	const json_t *row;
	size_t i;

	if (!json_is_array(array))
		return PLATFORM_ERROR_MALFORMED;
	*instances = calloc(json_array_size(array) + 1, sizeof(**instances));
	if (!*instances)
		return PLATFORM_ERROR_MEMORY;
	json_array_foreach(array, i, row) {
		if (decode_instance(row, &(*instances)[*count]) == PLATFORM_OK)
			++*count;
		else
			++*skipped;
	}
	return PLATFORM_OK;
}

static void handle_answer(platform_operation_t *operation, int error,
			  json_t *answer)
{
	instance_list_t *list = (instance_list_t *)operation;
	platform_list_done_t done = list->done;
	void *context = list->context;
	platform_instance_t *instances = NULL;
	size_t count = 0;

	if (error == PLATFORM_OK) {
		error = decode_list(answer, &instances, &count,
				    &operation->client->usage.skipped_entries);
		if (error != PLATFORM_OK)
			operation->client->usage.failures++;
	}
	platform_operation_end(operation);
	if (error == PLATFORM_OK)
		done(context, error, instances, count);
	else
		done(context, error, NULL, 0);
	free(instances);
}

/*
 * Requests the list of instances, which lags behind their actual state. done
 * gets the list, or PLATFORM_ERROR_UNAVAILABLE, PLATFORM_ERROR_UNKNOWN,
 * PLATFORM_ERROR_MALFORMED, PLATFORM_ERROR_TOO_LARGE or PLATFORM_ERROR_MEMORY.
 * Returns PLATFORM_OK or PLATFORM_ERROR_MEMORY.
 */
int platform_instances_list(platform_client_t *client,
			    platform_list_done_t done, void *context)
{
	instance_list_t *list = calloc(1, sizeof(*list));
	int error;

	if (!list)
		return PLATFORM_ERROR_MEMORY;
	list->done = done;
	list->context = context;
	platform_operation_start(&list->operation, client, free_list);
	error = platform_exchange_list(&list->operation, handle_answer);
	if (error != PLATFORM_OK)
		platform_operation_end(&list->operation);
	else
		client->usage.reads++;
	return error;
}
