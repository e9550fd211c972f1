#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

/* First entry of every target's log, so that all logs have a common prefix. */
static const char first_line[] = "{\"term\":1}";

/*
 * Makes a log that contains only the start of term 1. Returns false without
 * memory.
 */
bool log_init(log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->records = json_object();
	log->outcomes = json_object();
	if (!log->records || !log->outcomes || !log_append(log, first_line, 0))
		return false;
	log_apply(log, INT64_MAX);
	return true;
}

/*
 * Releases the log.
 */
void log_free(log_t *log)
{
	while (log->count > 0)
		free(log->entries[--log->count].line);
	free(log->entries);
	free(log->terms);
	json_decref(log->records);
	json_decref(log->outcomes);
}

/*
 * Moves the end of the last term to end, or adds a term that ends there.
 * Returns false without memory.
 */
static bool extend_terms(log_t *log, group_point_t end)
{
	group_point_t *terms;

	if (log->term_count > 0 &&
	    log->terms[log->term_count - 1].term == end.term) {
		log->terms[log->term_count - 1] = end;
		return true;
	}
	terms = realloc(log->terms, (log->term_count + 1) * sizeof(*terms));
	if (!terms)
		return false;
	log->terms = terms;
	log->terms[log->term_count++] = end;
	return true;
}

/*
 * Appends the entry in line, which is applied at apply_at_ms or later. Returns
 * false if the line is not an entry, has a lower term than the last entry, or
 * memory is short.
 */
bool log_append(log_t *log, const char *line, clock_ms_t apply_at_ms)
{
	json_t *entry = json_loads(line, 0, NULL);
	json_int_t term = json_integer_value(json_object_get(entry, "term"));
	group_point_t last = { 0 };
	char *copy;

	json_decref(entry);
	if (log->count > 0)
		last = log_point(log);
	if (term < 1 || term > UINT32_MAX || term < last.term)
		return false;
	if (log->count == log->capacity) {
		size_t capacity = log->capacity ? 2 * log->capacity : 64;
		log_entry_t *entries =
			realloc(log->entries, capacity * sizeof(*entries));

		if (!entries)
			return false;
		log->entries = entries;
		log->capacity = capacity;
	}
	last.term = (uint32_t)term;
	last.position_bytes += strlen(line);
	copy = strdup(line);
	if (!copy || !extend_terms(log, last)) {
		free(copy);
		return false;
	}
	log->entries[log->count++] = (log_entry_t){
		.term = last.term,
		.end_bytes = last.position_bytes,
		.apply_at_ms = apply_at_ms,
		.line = copy,
	};
	return true;
}

/*
 * Applies the changes of one entry to the records and outcomes.
 */
static void apply_entry(log_t *log, const log_entry_t *entry)
{
	json_t *changes = json_loads(entry->line, 0, NULL);
	const char *key;
	json_t *outcome;

	json_object_update(log->records, json_object_get(changes, "records"));
	json_object_foreach(json_object_get(changes, "outcomes"), key,
			    outcome) {
		json_t *earlier = json_object_get(log->outcomes, key);
		json_int_t executions = json_integer_value(
			json_object_get(earlier, "executions"));

		json_object_set_new(outcome, "executions",
				    json_integer(executions + 1));
		json_object_set_new(outcome, "term", json_integer(entry->term));
		json_object_set_new(outcome, "position",
				    json_integer((json_int_t)entry->end_bytes));
		json_object_set(log->outcomes, key, outcome);
	}
	json_decref(changes);
}

/*
 * Applies, in order, the entries that are due at now_ms.
 */
void log_apply(log_t *log, clock_ms_t now_ms)
{
	while (log->applied_count < log->count &&
	       log->entries[log->applied_count].apply_at_ms <= now_ms)
		apply_entry(log, &log->entries[log->applied_count++]);
}

/*
 * Drops the entries that end after position_bytes, except the first one. If
 * applied entries are dropped, the state is rebuilt from the remaining ones.
 */
void log_truncate(log_t *log, uint64_t position_bytes)
{
	size_t applied_count = log->applied_count;
	log_entry_t last;
	size_t i;

	if (log_point(log).position_bytes <= position_bytes)
		return;
	while (log->count > 1 &&
	       log->entries[log->count - 1].end_bytes > position_bytes)
		free(log->entries[--log->count].line);
	last = log->entries[log->count - 1];
	while (log->terms[log->term_count - 1].term > last.term)
		log->term_count--;
	log->terms[log->term_count - 1].position_bytes = last.end_bytes;
	if (applied_count <= log->count)
		return;
	json_object_clear(log->records);
	json_object_clear(log->outcomes);
	log->applied_count = log->count;
	for (i = 0; i < log->count; i++)
		apply_entry(log, &log->entries[i]);
}

/*
 * Returns the term of the last entry and the position after it.
 */
group_point_t log_point(const log_t *log)
{
	const log_entry_t *last = &log->entries[log->count - 1];

	return (group_point_t){ .term = last->term,
				.position_bytes = last->end_bytes };
}

/*
 * Returns the position in bytes after the last applied entry.
 */
uint64_t log_applied(const log_t *log)
{
	if (log->applied_count == 0)
		return 0;
	return log->entries[log->applied_count - 1].end_bytes;
}

/*
 * Returns an array with [term, end] for each term of the log. The last term is
 * still open.
 */
json_t *log_segments(const log_t *log)
{
	json_t *segments = json_array();
	size_t i;

	for (i = 0; i < log->term_count; i++)
		json_array_append_new(
			segments,
			json_pack("[I,I]", (json_int_t)log->terms[i].term,
				  (json_int_t)log->terms[i].position_bytes));
	return segments;
}

/*
 * Returns the closed terms as "term:end,term:end", or NULL without memory. The
 * caller frees the text.
 */
char *log_history(const log_t *log)
{
	char *text = NULL;
	size_t size;
	size_t i;
	FILE *stream = open_memstream(&text, &size);

	if (!stream)
		return NULL;
	for (i = 0; i + 1 < log->term_count; i++)
		fprintf(stream, "%s%" PRIu32 ":%" PRIu64, i == 0 ? "" : ",",
			log->terms[i].term, log->terms[i].position_bytes);
	fclose(stream);
	return text;
}

/*
 * Returns the length in bytes of the common prefix of this log and the log with
 * these segments. A term has only one primary, so if two segments of a term
 * start at the same position, the shorter one is a prefix of the longer one.
 */
uint64_t log_common(const log_t *log, json_t *segments)
{
	json_t *own = log_segments(log);
	uint64_t common = 0;
	size_t i;

	for (i = 0; i < json_array_size(own); i++) {
		json_t *a = json_array_get(own, i);
		json_t *b = json_array_get(segments, i);
		json_int_t a_end = json_integer_value(json_array_get(a, 1));
		json_int_t b_end = json_integer_value(json_array_get(b, 1));

		if (!json_equal(json_array_get(a, 0), json_array_get(b, 0)))
			break;
		common = (uint64_t)(a_end < b_end ? a_end : b_end);
		if (a_end != b_end)
			break;
	}
	json_decref(own);
	return common;
}
