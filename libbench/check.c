#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "internal.h"

/* Times of a history are cut to whole ms, so that a difference of two may be
 * off by one. */
#define ROUNDING_MS 1
#define TEXT_SIZE 512

typedef struct {
	uint32_t term;
	uint64_t position_bytes;
} point_t;

/* What callers sent and were told about one idempotency key. */
typedef struct written {
	UT_hash_handle by_key;
	UT_hash_handle by_value;
	struct written *next;
	struct written *next_same_id;
	char *key; /* "service key" */
	char *value; /* "service value" */
	const char *service;
	const char *bare_key;
	const char *bare_value;
	const char *id;
	json_int_t caller;
	clock_ms_t sent_ms;
	clock_ms_t acknowledged_ms;
	bool acknowledged;
	bool refused;
	/* Has a point in the log of the rightful primary, or was acknowledged
	 * at one. */
	bool placed;
	point_t point;
	bool ran;
} written_t;

/* The writes of one record. */
typedef struct record {
	UT_hash_handle hh;
	struct record *next;
	char *name; /* "service id" */
	written_t *writes;
} record_t;

typedef struct service_state {
	struct service_state *next;
	char service[BENCH_NAME_SIZE];
	json_t *states;
	json_t *primary;
} service_state_t;

struct bench_check {
	json_t *operations;
	written_t *writes;
	written_t *values;
	record_t *records;
	/* The same, to be freed. */
	written_t *write_list;
	record_t *record_list;
	service_state_t *states;
	bench_check_result_t *result;
	bench_fault_handler_t handler;
	void *context;
};

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static clock_ms_t number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static bool is_text(const json_t *object, const char *name, const char *text)
{
	return strcmp(text_of(object, name), text) == 0;
}

static int point_compare(point_t a, point_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.position_bytes != b.position_bytes)
		return a.position_bytes < b.position_bytes ? -1 : 1;
	return 0;
}

static point_t point_of(const json_t *object)
{
	return (point_t){
		.term = (uint32_t)number_of(object, "term"),
		.position_bytes = (uint64_t)number_of(object, "position"),
	};
}

static char *join(const char *service, const char *name)
{
	char *text = NULL;

	return asprintf(&text, "%s %s", service, name) < 0 ? NULL : text;
}

static void fault(bench_check_t *check, bench_fault_t kind, const char *service,
		  const char *id, const char *what, const char *detail)
{
	char text[TEXT_SIZE];

	check->result->faults[kind]++;
	if (!check->handler)
		return;
	snprintf(text, sizeof(text), "service=%s id=%s %s=%s", service, id,
		 what, detail);
	check->handler(check->context, kind, text);
}

static service_state_t *find_state(const bench_check_t *check,
				   const char *service)
{
	service_state_t *state;

	for (state = check->states; state; state = state->next) {
		if (state->service[0] == '\0' ||
		    strcmp(state->service, service) == 0)
			return state;
	}
	return NULL;
}

/*
 * Returns whether a is older than b. Without points the order of sending
 * decides: a record has one writer that sends one write after another.
 */
static bool is_older(const written_t *a, const written_t *b)
{
	if (a == b)
		return false;
	if (a->placed && b->placed)
		return point_compare(a->point, b->point) < 0;
	return a->sent_ms < b->sent_ms;
}

static written_t *find_value(const bench_check_t *check, const char *service,
			     const char *value)
{
	written_t *written = NULL;
	char *name = join(service, value);

	if (name)
		HASH_FIND(by_value, check->values, name, strlen(name), written);
	free(name);
	return written;
}

static int link_record(bench_check_t *check, written_t *written)
{
	char *name = join(written->service, written->id);
	record_t *record;

	if (!name)
		return BENCH_ERROR_MEMORY;
	HASH_FIND(hh, check->records, name, strlen(name), record);
	if (record) {
		free(name);
	} else {
		record = calloc(1, sizeof(*record));
		if (!record) {
			free(name);
			return BENCH_ERROR_MEMORY;
		}
		record->name = name;
		record->next = check->record_list;
		check->record_list = record;
		HASH_ADD_KEYPTR(hh, check->records, record->name,
				strlen(record->name), record);
	}
	written->next_same_id = record->writes;
	record->writes = written;
	return BENCH_OK;
}

static written_t *new_written(bench_check_t *check, const json_t *operation,
			      char *key)
{
	written_t *written = calloc(1, sizeof(*written));

	if (!written)
		return NULL;
	written->service = text_of(operation, "service");
	written->bare_key = text_of(operation, "key");
	written->bare_value = text_of(operation, "value");
	written->id = text_of(operation, "id");
	written->caller = number_of(operation, "caller");
	written->sent_ms = number_of(operation, "sent_ms");
	written->key = key;
	written->value = join(written->service, written->bare_value);
	if (!written->value || link_record(check, written) != BENCH_OK) {
		free(written->value);
		free(written);
		return NULL;
	}
	written->next = check->write_list;
	check->write_list = written;
	HASH_ADD_KEYPTR(by_key, check->writes, written->key,
			strlen(written->key), written);
	HASH_ADD_KEYPTR(by_value, check->values, written->value,
			strlen(written->value), written);
	return written;
}

/*
 * Takes over what a caller was told about the key. "not-run" is final for the
 * key unless the caller sends it again later. The answer to an outcome request
 * is about the key only if it names the key as cancelled; any other refusal is
 * one of the request itself.
 */
static void take_answer(written_t *written, const json_t *operation)
{
	bool outcome = is_text(operation, "operation", "outcome");

	if (is_text(operation, "outcome", "done")) {
		written->refused = false;
		if (!written->acknowledged)
			written->acknowledged_ms =
				number_of(operation, "answered_ms");
		written->acknowledged = true;
		written->point = point_of(operation);
		written->placed = written->point.term > 0;
	} else if (!is_text(operation, "outcome", "not-run")) {
		written->refused = false;
	} else if (!outcome || is_text(operation, "reason", "cancelled")) {
		written->refused = !written->acknowledged;
	}
}

/*
 * Collects the writes and what was told about them.
 */
static int collect_writes(bench_check_t *check)
{
	const json_t *operation;
	size_t i;

	json_array_foreach(check->operations, i, operation) {
		bool write = is_text(operation, "operation", "write");
		written_t *written;
		char *key;

		if (!write && !is_text(operation, "operation", "outcome"))
			continue;
		key = join(text_of(operation, "service"),
			   text_of(operation, "key"));
		if (!key)
			return BENCH_ERROR_MEMORY;
		HASH_FIND(by_key, check->writes, key, strlen(key), written);
		if (written) {
			free(key);
		} else {
			written = new_written(check, operation, key);
			if (!written) {
				free(key);
				return BENCH_ERROR_MEMORY;
			}
		}
		take_answer(written, operation);
	}
	return BENCH_OK;
}

/*
 * Finds the rightful primary among the states of a service: the one in the
 * highest term that a majority of the targets has promised. A promise of a
 * higher term by a majority leaves no rightful primary.
 */
static json_t *find_primary(json_t *states)
{
	json_t *primary = NULL;
	json_t *state;
	size_t above = 0;
	size_t i;

	json_array_foreach(states, i, state) {
		if (is_text(state, "role", "primary") &&
		    (!primary ||
		     number_of(state, "term") > number_of(primary, "term")))
			primary = state;
	}
	if (!primary)
		return NULL;
	json_array_foreach(states, i, state) {
		if (number_of(state, "promised") > number_of(primary, "term"))
			above++;
	}
	return above > json_array_size(states) / 2 ? NULL : primary;
}

/*
 * Compares a write with what the rightful primary has recorded for its key.
 */
static void check_write(bench_check_t *check, written_t *written)
{
	const service_state_t *state = find_state(check, written->service);
	const json_t *recorded;

	if (written->acknowledged)
		check->result->acknowledged_writes++;
	else if (!written->refused)
		check->result->unsettled_writes++;
	if (!state)
		return;
	recorded = json_object_get(json_object_get(state->primary, "outcomes"),
				   written->bare_key);
	written->ran = is_text(recorded, "state", "done");
	if (written->acknowledged &&
	    (!written->ran ||
	     (written->placed &&
	      point_compare(written->point, point_of(recorded)) != 0)))
		fault(check, BENCH_FAULT_LOST_WRITE, written->service,
		      written->id, "key", written->bare_key);
	if (written->refused && written->ran)
		fault(check, BENCH_FAULT_NOT_RUN_RAN, written->service,
		      written->id, "key", written->bare_key);
	if (written->ran && number_of(recorded, "executions") > 1)
		fault(check, BENCH_FAULT_RAN_TWICE, written->service,
		      written->id, "key", written->bare_key);
	if (written->ran) {
		written->point = point_of(recorded);
		written->placed = true;
	}
}

/*
 * Checks the value that the rightful primary holds for a record: it must be
 * that of the latest write that ran.
 */
static void check_record(bench_check_t *check, const record_t *record)
{
	const service_state_t *state =
		find_state(check, record->writes->service);
	const written_t *written;
	const written_t *latest = NULL;
	const written_t *held;
	const char *value;

	if (!state)
		return;
	for (written = record->writes; written;
	     written = written->next_same_id) {
		if (written->ran && (!latest || is_older(latest, written)))
			latest = written;
	}
	value = text_of(json_object_get(state->primary, "records"),
			record->writes->id);
	held = find_value(check, record->writes->service, value);
	if (held && held->refused && !held->ran)
		fault(check, BENCH_FAULT_NOT_RUN_RAN, held->service, held->id,
		      "value", value);
	else if (!held && *value != '\0')
		fault(check, BENCH_FAULT_MIXED_ANSWER, record->writes->service,
		      record->writes->id, "value", value);
	else if (held && held != latest && (!latest || is_older(latest, held)))
		/* It ran without a record of its key, so that nothing kept it
		 * from running again. */
		fault(check, BENCH_FAULT_RAN_TWICE, held->service, held->id,
		      "value", value);
	else if (held != latest)
		fault(check, BENCH_FAULT_LOST_WRITE, latest->service,
		      latest->id, "key", latest->bare_key);
}

/*
 * Returns the latest write of the record that was acknowledged before
 * before_ms, of one caller or, for caller -1, of any. NULL if there is none.
 */
static const written_t *latest_before(const bench_check_t *check,
				      const json_t *read, json_int_t caller,
				      clock_ms_t before_ms)
{
	char *name = join(text_of(read, "service"), text_of(read, "id"));
	const written_t *latest = NULL;
	const written_t *written;
	const record_t *record = NULL;

	if (name)
		HASH_FIND(hh, check->records, name, strlen(name), record);
	free(name);
	for (written = record ? record->writes : NULL; written;
	     written = written->next_same_id) {
		if (!written->acknowledged ||
		    written->acknowledged_ms > before_ms ||
		    (caller >= 0 && written->caller != caller))
			continue;
		if (!latest || is_older(latest, written))
			latest = written;
	}
	return latest;
}

static bool misses(const written_t *seen, const written_t *expected)
{
	return expected && (!seen || is_older(seen, expected));
}

static void check_age(bench_check_t *check, const json_t *read,
		      const written_t *seen)
{
	const json_t *age = json_object_get(read, "age_ms");
	const json_t *limit = json_object_get(read, "max_age_ms");
	clock_ms_t age_ms = number_of(read, "age_ms");
	const char *service = text_of(read, "service");
	const char *id = text_of(read, "id");
	char detail[64];

	snprintf(detail, sizeof(detail), "%lld",
		 (long long)number_of(read, "sent_ms"));
	if (limit && (!age || age_ms > json_integer_value(limit)))
		fault(check, BENCH_FAULT_TOO_OLD, service, id, "sent_ms",
		      detail);
	if (age && misses(seen, latest_before(check, read, -1,
					      number_of(read, "sent_ms") -
						      age_ms - ROUNDING_MS)))
		fault(check, BENCH_FAULT_AGE_UNTRUE, service, id, "sent_ms",
		      detail);
}

/*
 * Returns whether the rows of an answer are those of the record asked for;
 * *seen is the write of the value, or NULL without a row.
 */
static bool rows_match(const bench_check_t *check, const json_t *operation,
		       const written_t **seen)
{
	const json_t *rows = json_object_get(operation, "rows");
	const char *value =
		json_string_value(json_array_get(json_array_get(rows, 0), 0));

	*seen = NULL;
	if (!json_is_array(rows) || json_array_size(rows) > 1)
		return false;
	if (json_array_size(rows) == 0)
		return true;
	if (!value)
		return false;
	*seen = find_value(check, text_of(operation, "service"), value);
	return *seen && strcmp((*seen)->id, text_of(operation, "id")) == 0 &&
	       (*seen)->sent_ms <= number_of(operation, "answered_ms");
}

/*
 * Returns whether an own read misses the write that it names, or one that the
 * caller knew as done before.
 */
static bool misses_own(const bench_check_t *check, const json_t *read,
		       const written_t *seen)
{
	const written_t *named = find_value(check, text_of(read, "service"),
					    text_of(read, "value"));
	clock_ms_t before_ms = number_of(read, "sent_ms") - ROUNDING_MS;

	if (named && named->acknowledged && misses(seen, named))
		return true;
	return misses(seen,
		      latest_before(check, read, number_of(read, "caller"),
				    before_ms));
}

static void check_read(bench_check_t *check, const json_t *read, bool own)
{
	const char *service = text_of(read, "service");
	const char *id = text_of(read, "id");
	const written_t *seen;

	if (!rows_match(check, read, &seen)) {
		fault(check, BENCH_FAULT_MIXED_ANSWER, service, id, "operation",
		      text_of(read, "operation"));
		return;
	}
	if (seen && seen->refused)
		fault(check, BENCH_FAULT_NOT_RUN_RAN, service, id, "key",
		      seen->bare_key);
	if (own && misses_own(check, read, seen))
		fault(check, BENCH_FAULT_STALE_OWN_READ, service, id, "value",
		      text_of(read, "value"));
	check_age(check, read, seen);
}

/*
 * A write that returns rows returns them from its own record.
 */
static void check_write_answer(bench_check_t *check, const json_t *operation)
{
	const json_t *rows = json_object_get(operation, "rows");
	const written_t *seen;

	if (json_array_size(rows) > 0 && !rows_match(check, operation, &seen))
		fault(check, BENCH_FAULT_MIXED_ANSWER,
		      text_of(operation, "service"), text_of(operation, "id"),
		      "key", text_of(operation, "key"));
}

static void check_operation(bench_check_t *check, const json_t *operation)
{
	if (!is_text(operation, "outcome", "done"))
		return;
	if (is_text(operation, "operation", "read"))
		check_read(check, operation, false);
	else if (is_text(operation, "operation", "own-read"))
		check_read(check, operation, true);
	else
		check_write_answer(check, operation);
}

static void check_all(bench_check_t *check)
{
	const json_t *operation;
	written_t *written;
	written_t *next;
	record_t *record;
	record_t *next_record;
	size_t i;

	HASH_ITER(by_key, check->writes, written, next)
		check_write(check, written);
	HASH_ITER(hh, check->records, record, next_record)
		check_record(check, record);
	json_array_foreach(check->operations, i, operation)
		check_operation(check, operation);
}

static void forget(bench_check_t *check)
{
	HASH_CLEAR(hh, check->records);
	HASH_CLEAR(by_value, check->values);
	HASH_CLEAR(by_key, check->writes);
	while (check->record_list) {
		record_t *record = check->record_list;

		check->record_list = record->next;
		free(record->name);
		free(record);
	}
	while (check->write_list) {
		written_t *written = check->write_list;

		check->write_list = written->next;
		free(written->key);
		free(written->value);
		free(written);
	}
}

/*
 * Checks the history and tells handler, which may be NULL, of each fault.
 * Without the state of a service its writes are compared with reads only.
 *
 * Returns BENCH_OK also if there are faults, BENCH_ERROR_NO_PRIMARY if states
 * of a service were given of which none is the rightful primary, or
 * BENCH_ERROR_MEMORY.
 */
int bench_check_run(bench_check_t *check, bench_check_result_t *result,
		    bench_fault_handler_t handler, void *context)
{
	service_state_t *state;
	int error;

	memset(result, 0, sizeof(*result));
	for (state = check->states; state; state = state->next) {
		state->primary = find_primary(state->states);
		if (!state->primary)
			return BENCH_ERROR_NO_PRIMARY;
	}
	check->result = result;
	check->handler = handler;
	check->context = context;
	result->operations = json_array_size(check->operations);
	error = collect_writes(check);
	if (error == BENCH_OK)
		check_all(check);
	forget(check);
	return error;
}

/*
 * Adds one operation, a line of a history; takes the reference. Returns
 * BENCH_OK, BENCH_ERROR_MALFORMED or BENCH_ERROR_MEMORY.
 */
int bench_check_add_operation(bench_check_t *check, json_t *operation)
{
	if (!json_is_object(operation) ||
	    *text_of(operation, "operation") == '\0' ||
	    *text_of(operation, "outcome") == '\0') {
		json_decref(operation);
		return BENCH_ERROR_MALFORMED;
	}
	return json_array_append_new(check->operations, operation) == 0
		       ? BENCH_OK
		       : BENCH_ERROR_MEMORY;
}

/*
 * Adds the state of one target of the service's group; takes the reference.
 * Returns BENCH_OK, BENCH_ERROR_MALFORMED or BENCH_ERROR_MEMORY.
 */
int bench_check_add_state(bench_check_t *check, const char *service,
			  json_t *state)
{
	service_state_t *entry;

	if (!json_is_object(json_object_get(state, "outcomes"))) {
		json_decref(state);
		return BENCH_ERROR_MALFORMED;
	}
	for (entry = check->states; entry; entry = entry->next) {
		if (strcmp(entry->service, service) == 0)
			break;
	}
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry) {
			json_decref(state);
			return BENCH_ERROR_MEMORY;
		}
		snprintf(entry->service, sizeof(entry->service), "%s", service);
		entry->states = json_array();
		entry->next = check->states;
		check->states = entry;
	}
	return json_array_append_new(entry->states, state) == 0
		       ? BENCH_OK
		       : BENCH_ERROR_MEMORY;
}

/*
 * Creates a checker without operations. Returns NULL without memory.
 */
bench_check_t *bench_check_new(void)
{
	bench_check_t *check = calloc(1, sizeof(*check));

	if (!check)
		return NULL;
	check->operations = json_array();
	if (check->operations)
		return check;
	free(check);
	return NULL;
}

/*
 * Frees the checker, its operations and states.
 */
void bench_check_free(bench_check_t *check)
{
	if (!check)
		return;
	while (check->states) {
		service_state_t *state = check->states;

		check->states = state->next;
		json_decref(state->states);
		free(state);
	}
	json_decref(check->operations);
	free(check);
}

/*
 * Returns the name of a fault in reports.
 */
const char *bench_fault_text(bench_fault_t fault)
{
	switch (fault) {
	case BENCH_FAULT_STALE_OWN_READ:
		return "stale_own_reads";
	case BENCH_FAULT_LOST_WRITE:
		return "lost_writes";
	case BENCH_FAULT_MIXED_ANSWER:
		return "mixed_answers";
	case BENCH_FAULT_NOT_RUN_RAN:
		return "not_run_ran";
	case BENCH_FAULT_RAN_TWICE:
		return "ran_twice";
	case BENCH_FAULT_TOO_OLD:
		return "too_old";
	case BENCH_FAULT_AGE_UNTRUE:
		return "age_untrue";
	case BENCH_FAULT_COUNT:
		break;
	}
	return "unknown";
}
