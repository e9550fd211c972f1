#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

/*
 * Returns a copy of the template with %id and %value filled in, to be freed.
 */
static char *fill(const char *template, const char *id, const char *value)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return NULL;
	while (*template != '\0') {
		if (strncmp(template, "%id", 3) == 0) {
			fputs(id, out);
			template += 3;
		} else if (strncmp(template, "%value", 6) == 0) {
			fputs(value, out);
			template += 6;
		} else {
			fputc(*template ++, out);
		}
	}
	if (fclose(out) == 0)
		return text;
	free(text);
	return NULL;
}

static json_t *statement_body(const bench_options_t *options,
			      const operation_t *operation)
{
	bool write = operation->kind == OPERATION_WRITE;
	const char *template = !write		   ? options->read
			       : operation->insert ? options->insert
						   : options->write;
	char *statement = fill(template, operation->id, operation->value);
	json_t *body;

	if (!statement)
		return NULL;
	body = json_pack("{s:s, s:s, s:s, s:I}", "service",
			 options->services[operation->service], "kind",
			 write ? "write" : "read", "statement", statement,
			 "deadline_ms", (json_int_t)options->deadline_ms);
	free(statement);
	if (write)
		json_object_set_new(body, "key", json_string(operation->key));
	else if (operation->max_age_ms != BENCH_AGE_NONE)
		json_object_set_new(body, "max_age_ms",
				    json_integer(operation->max_age_ms));
	return body;
}

/*
 * Returns the body of the request as text to be freed, or NULL without memory.
 */
char *operation_body(const bench_options_t *options,
		     const operation_t *operation)
{
	json_t *body;
	char *text;

	if (operation->kind == OPERATION_OUTCOME)
		body = json_pack("{s:s, s:s, s:I}", "service",
				 options->services[operation->service], "key",
				 operation->key, "deadline_ms",
				 (json_int_t)options->deadline_ms);
	else
		body = statement_body(options, operation);
	if (!body)
		return NULL;
	if (operation->token)
		json_object_set_new(body, "token",
				    json_string(operation->token));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/*
 * Ends the operation without an answer.
 */
void operation_fail(operation_t *operation, outcome_t outcome,
		    const char *reason)
{
	operation->outcome = outcome;
	snprintf(operation->reason, sizeof(operation->reason), "%s", reason);
}

static void copy_text(const json_t *answer, const char *name, char *to,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(answer, name));

	snprintf(to, size, "%s", text ? text : "");
}

/*
 * Takes the answer over into the operation. An answer that is not whole leaves
 * the outcome unknown.
 */
void operation_read_answer(operation_t *operation, int status, const char *body,
			   size_t length)
{
	json_t *answer = json_loadb(body, length, 0, NULL);
	const char *outcome =
		json_string_value(json_object_get(answer, "outcome"));
	const json_t *age = json_object_get(answer, "age_ms");
	const char *token = json_string_value(json_object_get(answer, "token"));

	if (!outcome) {
		char reason[BENCH_REASON_SIZE];

		snprintf(reason, sizeof(reason), "status-%d", status);
		operation_fail(operation, OUTCOME_UNKNOWN, reason);
		json_decref(answer);
		return;
	}
	operation->outcome = OUTCOME_UNKNOWN;
	if (strcmp(outcome, "done") == 0)
		operation->outcome = OUTCOME_DONE;
	else if (strcmp(outcome, "not-run") == 0)
		operation->outcome = OUTCOME_NOT_RUN;
	copy_text(answer, "reason", operation->reason,
		  sizeof(operation->reason));
	copy_text(answer, "served_by", operation->served_by,
		  sizeof(operation->served_by));
	copy_text(answer, "target", operation->target,
		  sizeof(operation->target));
	operation->term =
		(uint32_t)json_integer_value(json_object_get(answer, "term"));
	operation->position_bytes = (uint64_t)json_integer_value(
		json_object_get(answer, "position"));
	operation->age_ms = age ? json_integer_value(age) : BENCH_AGE_NONE;
	operation->rows = json_incref(json_object_get(answer, "rows"));
	operation->new_token = token ? strdup(token) : NULL;
	json_decref(answer);
}

/*
 * Releases what the answer holds.
 */
void operation_clear(operation_t *operation)
{
	json_decref(operation->rows);
	free(operation->new_token);
	operation->rows = NULL;
	operation->new_token = NULL;
}

/*
 * Reads the sequence number of a value "<id>:<sequence>:<caller>". Returns
 * false if the value does not belong to the record.
 */
bool value_sequence(const char *value, const char *id, uint64_t *sequence)
{
	size_t length = strlen(id);
	char *end;

	if (strncmp(value, id, length) != 0 || value[length] != ':')
		return false;
	*sequence = strtoull(value + length + 1, &end, 10);
	return *end == ':';
}

/*
 * Returns the first column of the first row of a read, or NULL without a row.
 */
const char *operation_value_read(const operation_t *operation)
{
	return json_string_value(
		json_array_get(json_array_get(operation->rows, 0), 0));
}

/*
 * Returns whether the answer to a read has rows that do not belong to the
 * record asked for, or the answer to a write has a value of another record.
 */
bool operation_mixed(const operation_t *operation)
{
	uint64_t sequence;
	const json_t *row;
	size_t i;

	if (operation->outcome != OUTCOME_DONE)
		return false;
	if (!json_is_array(operation->rows))
		return true;
	if (operation->kind != OPERATION_READ &&
	    operation->kind != OPERATION_OWN_READ) {
		const char *value = operation_value_read(operation);

		return value && strchr(value, ':') &&
		       !value_sequence(value, operation->id, &sequence);
	}
	json_array_foreach(operation->rows, i, row) {
		const char *value = json_string_value(json_array_get(row, 0));

		if (!value || !value_sequence(value, operation->id, &sequence))
			return true;
	}
	return json_array_size(operation->rows) > 1;
}

/*
 * Returns whether a read with the token of the caller's own acknowledged write
 * returned an older value than that write's, or none.
 */
bool operation_own_read_stale(const operation_t *operation)
{
	const char *value = operation_value_read(operation);
	uint64_t sequence;

	if (operation->kind != OPERATION_OWN_READ ||
	    operation->outcome != OUTCOME_DONE)
		return false;
	if (!value)
		return true;
	return value_sequence(value, operation->id, &sequence) &&
	       sequence < operation->sequence;
}
