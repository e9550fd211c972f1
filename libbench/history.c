#include "internal.h"

static void set_text(json_t *line, const char *name, const char *text)
{
	if (*text != '\0')
		json_object_set_new(line, name, json_string(text));
}

/*
 * Writes one operation as a line of JSON. Fields that the request or the answer
 * did not have are left out.
 */
void history_write(FILE *file, const bench_options_t *options,
		   const operation_t *operation)
{
	json_t *line =
		json_pack("{s:I, s:I, s:s, s:s, s:s, s:I, s:s, s:s}", "sent_ms",
			  (json_int_t)operation->sent_ms, "answered_ms",
			  (json_int_t)operation->answered_ms, "proxy",
			  options->proxies[operation->proxy].name, "service",
			  options->services[operation->service], "operation",
			  operation_kind_text(operation->kind), "caller",
			  (json_int_t)operation->caller, "id", operation->id,
			  "outcome", outcome_text(operation->outcome));

	if (!line)
		return;
	if (operation->kind == OPERATION_WRITE ||
	    operation->kind == OPERATION_OUTCOME)
		set_text(line, "key", operation->key);
	if (operation->kind != OPERATION_READ)
		set_text(line, "value", operation->value);
	set_text(line, "reason", operation->reason);
	set_text(line, "served_by", operation->served_by);
	set_text(line, "target", operation->target);
	if (operation->term > 0) {
		json_object_set_new(line, "term",
				    json_integer(operation->term));
		json_object_set_new(
			line, "position",
			json_integer((json_int_t)operation->position_bytes));
	}
	if (operation->max_age_ms != BENCH_AGE_NONE)
		json_object_set_new(line, "max_age_ms",
				    json_integer(operation->max_age_ms));
	if (operation->age_ms != BENCH_AGE_NONE)
		json_object_set_new(line, "age_ms",
				    json_integer(operation->age_ms));
	if (operation->rows)
		json_object_set(line, "rows", operation->rows);
	json_dumpf(line, file, JSON_COMPACT);
	fputc('\n', file);
	json_decref(line);
}
