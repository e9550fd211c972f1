#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libconfig/config.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define TARGET(name, address)                           \
	"{\"name\":\"" name "\",\"address\":\"" address \
	"\",\"port\":5432,\"domain\":\"z1\"}"
#define SERVICE(rest) "{\"name\":\"s\",\"targets\":[" rest "}"
#define ONE TARGET("a", "127.0.0.1") "]"
#define FULL                                                                 \
	SERVICE(TARGET("a", "127.0.0.1") "," TARGET(                         \
		"b",                                                         \
		"::1") "],\"slots\":5,\"connections\":60,\"queue_max\":0,"   \
		       "\"schema_read_min\":2,\"schema_read_max\":4,"        \
		       "\"schema_write\":3,\"default_max_age_ms\":0,"        \
		       "\"default_deadline_ms\":10,\"transaction_idle_ms\":" \
		       "100")

typedef struct {
	const char *name;
	const char *json;
	int error;
	/* A part that the error text must have. */
	const char *text;
} parse_row_t;

/* Guards against a mistyped setting that is accepted, and against an error text
 * that does not name the field. */
static void test_parse(void)
{
	static const parse_row_t rows[] = {
		{ "least", SERVICE(ONE), CONFIG_OK, "" },
		{ "full", FULL, CONFIG_OK, "" },
		{ "not JSON", "{", CONFIG_ERROR_MALFORMED, "line 1" },
		{ "array", "[]", CONFIG_ERROR_MALFORMED, "an object" },
		{ "trailing", SERVICE(ONE) "x", CONFIG_ERROR_MALFORMED,
		  "line" },
		{ "unknown key", SERVICE(ONE ",\"slotz\":3"),
		  CONFIG_ERROR_UNKNOWN_KEY, "slotz" },
		{ "repeated key", SERVICE(ONE ",\"slots\":3,\"slots\":4"),
		  CONFIG_ERROR_MALFORMED, "slots" },
		{ "wrong type", SERVICE(ONE ",\"slots\":\"3\""),
		  CONFIG_ERROR_MALFORMED, "slots: expected an integer from 1" },
		{ "fraction", SERVICE(ONE ",\"slots\":3.0"),
		  CONFIG_ERROR_MALFORMED, "slots" },
		{ "slots 0", SERVICE(ONE ",\"slots\":0"), CONFIG_ERROR_RANGE,
		  "slots: 0 is not in the range 1 to 1024" },
		{ "slots 1024", SERVICE(ONE ",\"slots\":1024"), CONFIG_OK, "" },
		{ "slots 1025", SERVICE(ONE ",\"slots\":1025"),
		  CONFIG_ERROR_RANGE, "slots" },
		{ "2^32 + 3", SERVICE(ONE ",\"slots\":4294967299"),
		  CONFIG_ERROR_RANGE, "slots" },
		{ "connections 3", SERVICE(ONE ",\"connections\":3"),
		  CONFIG_ERROR_RANGE, "4 to 4096" },
		{ "queue -1", SERVICE(ONE ",\"queue_max\":-1"),
		  CONFIG_ERROR_RANGE, "0 to 65536" },
		{ "age", SERVICE(ONE ",\"default_max_age_ms\":3600001"),
		  CONFIG_ERROR_RANGE, "0 to 3600000" },
		{ "deadline", SERVICE(ONE ",\"default_deadline_ms\":9"),
		  CONFIG_ERROR_RANGE, "10 to 600000" },
		{ "idle", SERVICE(ONE ",\"transaction_idle_ms\":99"),
		  CONFIG_ERROR_RANGE, "100 to 600000" },
		{ "version 0", SERVICE(ONE ",\"schema_read_min\":0"),
		  CONFIG_ERROR_RANGE, "1 to 1000000" },
		{ "min above max", SERVICE(ONE ",\"schema_read_min\":2"),
		  CONFIG_ERROR_RANGE, "schema_read_min" },
		{ "write above max", SERVICE(ONE ",\"schema_write\":2"),
		  CONFIG_ERROR_RANGE, "schema_write: 2 is not in the range 1" },
		{ "no targets", "{\"name\":\"s\"}", CONFIG_ERROR_MALFORMED,
		  "targets: expected an array of 1 to 9" },
		{ "empty targets", SERVICE("]"), CONFIG_ERROR_RANGE, "1 to 9" },
		{ "target number", SERVICE("3]"), CONFIG_ERROR_MALFORMED,
		  "targets[0]" },
		{ "same name",
		  SERVICE(TARGET("a", "::1") "," TARGET("a", "::2") "]"),
		  CONFIG_ERROR_RANGE, "targets[1].name" },
		{ "same server",
		  SERVICE(TARGET("a", "::1") "," TARGET("b", "0:0::1") "]"),
		  CONFIG_ERROR_RANGE, "targets[1].address" },
		{ "host name", SERVICE(TARGET("a", "localhost") "]"),
		  CONFIG_ERROR_RANGE, "targets[0].address" },
		{ "octet", SERVICE(TARGET("a", "127.0.0.256") "]"),
		  CONFIG_ERROR_RANGE, "targets[0].address" },
		{ "mapped", SERVICE(TARGET("a", "::ffff:127.0.0.1") "]"),
		  CONFIG_ERROR_RANGE, "targets[0].address" },
		{ "upper case", SERVICE(TARGET("A", "::1") "]"),
		  CONFIG_ERROR_RANGE, "targets[0].name" },
		{ "empty name", SERVICE(TARGET("", "::1") "]"),
		  CONFIG_ERROR_RANGE, "1 to 63 characters" },
		{ "no port",
		  SERVICE("{\"name\":\"a\",\"address\":\"::1\","
			  "\"domain\":\"z\"}]"),
		  CONFIG_ERROR_MALFORMED,
		  "targets[0].port: expected an integer from 1 to 65535" },
		{ "quoted control byte", SERVICE(TARGET("a\\n", "::1") "]"),
		  CONFIG_ERROR_RANGE, "\"a?\"" },
	};
	char text[CONFIG_ERROR_TEXT_SIZE];
	config_service_t service;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		CHECK_ROW(config_service_parse(rows[i].json, &service, text) ==
				  rows[i].error,
			  rows[i].name);
		CHECK_ROW(strstr(text, rows[i].text) != NULL, rows[i].name);
	}
	CU_ASSERT_EQUAL(config_service_parse(SERVICE(ONE), &service, text),
			CONFIG_OK);
	CU_ASSERT(service.slots == 3 && service.connections == 20 &&
		  service.queue_max == 64 && service.schema_write == 1 &&
		  service.default_max_age_ms == 1000 &&
		  service.default_deadline_ms == 2000 &&
		  service.transaction_idle_ms == 5000);
}

/* Guards against a text that exhausts the memory or the stack of the parser,
 * and against limits of a name and of the text that are off by one. */
static void test_parse_size(void)
{
	static char json[CONFIG_TEXT_MAX_BYTES + 2];
	static const char least[] = SERVICE(ONE);
	char text[CONFIG_ERROR_TEXT_SIZE];
	char name[65] = "";
	config_service_t service;

	memset(json, '[', sizeof(json) - 1);
	CU_ASSERT_EQUAL(config_service_parse(json, &service, text),
			CONFIG_ERROR_RANGE);
	json[CONFIG_TEXT_MAX_BYTES] = '\0';
	CU_ASSERT_EQUAL(config_service_parse(json, &service, text),
			CONFIG_ERROR_MALFORMED);
	memset(json, ' ', CONFIG_TEXT_MAX_BYTES);
	memcpy(json, least, sizeof(least) - 1);
	CU_ASSERT_EQUAL(config_service_parse(json, &service, text), CONFIG_OK);
	memset(name, 'n', 64);
	snprintf(json, sizeof(json), "{\"name\":\"%s\",\"targets\":[" ONE "}",
		 name);
	CU_ASSERT_EQUAL(config_service_parse(json, &service, text),
			CONFIG_ERROR_RANGE);
	snprintf(json, sizeof(json), "{\"name\":\"%s\",\"targets\":[" ONE "}",
		 &name[1]);
	CU_ASSERT_EQUAL(config_service_parse(json, &service, text), CONFIG_OK);
}

/* Changes text, which has room for size bytes, in 1 to 3 random places. */
static void mutate(check_random_t *random, char *text, size_t size)
{
	static const char *const tokens[] = {
		"{",
		"}",
		"[",
		"]",
		"\"",
		":",
		",",
		"-1",
		"65536",
		"1e9",
		"0",
		"null",
		"\\u0000",
		"\xff",
		"true",
		"\"slots\":",
		"99999999999999999999",
	};
	uint64_t changes = 1 + check_random_below(random, 3);

	while (changes-- > 0) {
		size_t length = strlen(text);
		size_t at = check_random_below(random, length + 1);
		const char *token =
			tokens[check_random_below(random, COUNT(tokens))];
		size_t cut = check_random_below(random, length - at + 1) % 8;
		char rest[1024];

		snprintf(rest, sizeof(rest), "%s", &text[at + cut]);
		if (check_random_below(random, 4) == 0)
			token = "";
		snprintf(&text[at], size - at, "%s%s", token, rest);
	}
}

/* Returns true if the formatted text of service is parsed to the same service.
 */
static bool format_round_trips(const config_service_t *service)
{
	char *first = config_service_format(service);
	char text[CONFIG_ERROR_TEXT_SIZE];
	config_service_t again;
	char *second = NULL;
	bool same;

	if (first && config_service_parse(first, &again, text) == CONFIG_OK)
		second = config_service_format(&again);
	same = second && strcmp(first, second) == 0;
	free(first);
	free(second);
	return same;
}

/* Guards against a damaged text that crashes the parser, is accepted with
 * values out of range, or gives an error without a text. */
static void test_parse_fuzz(void)
{
	char text[CONFIG_ERROR_TEXT_SIZE];
	config_service_t service;
	uint64_t accepted = 0;
	uint64_t seed;
	uint64_t round;

	for (seed = 0; seed < check_seeds(300); seed++) {
		check_random_t random = check_random(seed);

		for (round = 0; round < 100; round++) {
			char json[1024] = FULL;
			int error;

			mutate(&random, json, sizeof(json));
			error = config_service_parse(json, &service, text);
			CHECK_SEED((error == CONFIG_OK) == (text[0] == '\0'),
				   seed);
			if (error != CONFIG_OK)
				continue;
			accepted++;
			CHECK_SEED(service.slots >= 1 &&
					   service.slots <= 1024 &&
					   service.target_count >= 1 &&
					   service.targets[0].port > 0,
				   seed);
			CHECK_SEED(format_round_trips(&service), seed);
		}
	}
	CU_ASSERT(accepted > 0);
}

typedef struct {
	uint64_t revision;
	uint32_t count;
	bool in_order;
} visit_t;

static void visit_check(void *context, const config_item_t *item)
{
	visit_t *visit = context;

	visit->in_order &= item->revision > visit->revision;
	visit->revision = item->revision;
	visit->count++;
}

static int apply(config_store_t *store, uint64_t revision, const char *service,
		 const char *text)
{
	char error_text[CONFIG_ERROR_TEXT_SIZE];
	config_change_t change = { .revision = revision, .text = text };

	snprintf(change.service, sizeof(change.service), "%s", service);
	return config_store_apply(store, &change, error_text);
}

/* Guards against a change that is applied twice or after a later one, and
 * against an invalid change that replaces a valid one. */
static void test_store(void)
{
	config_store_t *store = config_store_new();
	visit_t visit = { .in_order = true };

	CU_ASSERT_EQUAL(apply(store, 5, "s", SERVICE(ONE)), CONFIG_OK);
	CU_ASSERT_EQUAL(config_store_revision(store), 0);
	CU_ASSERT_EQUAL(apply(store, 5, "s", SERVICE(ONE)), CONFIG_ERROR_STALE);
	CU_ASSERT_EQUAL(apply(store, 6, "s", "{"), CONFIG_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(apply(store, 6, "t", SERVICE(ONE)),
			CONFIG_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(apply(store, 6, "", ""), CONFIG_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(apply(store, 0, "t", ""), CONFIG_ERROR_MALFORMED);
	CU_ASSERT_EQUAL(config_store_find(store, "s")->revision, 5);
	CU_ASSERT_EQUAL(apply(store, 8, "s", ""), CONFIG_OK);
	CU_ASSERT(config_store_find(store, "s")->removed);
	CU_ASSERT_EQUAL(apply(store, 7, "s", SERVICE(ONE)), CONFIG_ERROR_STALE);
	CU_ASSERT_EQUAL(apply(store, 3, "r", ""), CONFIG_OK);
	CU_ASSERT_PTR_NULL(config_store_find(store, "t"));
	CU_ASSERT_EQUAL(config_store_count(store), 2);
	CU_ASSERT_STRING_EQUAL(config_store_at(store, 0)->service.name, "r");
	config_store_visit_since(store, 2, visit_check, &visit);
	CU_ASSERT(visit.in_order && visit.count == 2);
	CU_ASSERT_EQUAL(config_store_advance(store, 8), CONFIG_OK);
	CU_ASSERT_EQUAL(config_store_latest_revision(store), 8);
	CU_ASSERT_EQUAL(config_store_advance(store, 8), CONFIG_OK);
	CU_ASSERT_EQUAL(config_store_advance(store, 7), CONFIG_ERROR_STALE);
	CU_ASSERT_EQUAL(config_store_revision(store), 8);
	config_store_free(store);
}

#define STORES 4
#define SERVICES 6
#define CHANGES 40

typedef struct {
	config_change_t changes[CHANGES];
	char texts[CHANGES][256];
	config_store_t *stores[STORES];
	/* Revision of each service at the last check of each store. */
	uint64_t shown_revision[STORES][SERVICES];
} store_model_t;

static void copy_item(void *context, const config_item_t *item)
{
	apply(context, item->revision, item->service.name, item->text);
}

static void store_model_start(store_model_t *model, check_random_t *random)
{
	uint32_t i;

	for (i = 0; i < CHANGES; i++) {
		config_change_t *change = &model->changes[i];

		change->revision = i + 1;
		snprintf(change->service, sizeof(change->service), "s%u",
			 (uint32_t)check_random_below(random, SERVICES));
		if (check_random_below(random, 4) > 0)
			snprintf(model->texts[i], sizeof(model->texts[i]),
				 "{\"name\":\"%s\",\"targets\":[" ONE
				 ",\"slots\":%u}",
				 change->service, i + 1);
		change->text = model->texts[i];
	}
	for (i = 0; i < STORES; i++)
		model->stores[i] = config_store_new();
}

/* Replaces a store by an empty one and copies the items of a peer into it. */
static void store_model_restart(store_model_t *model, uint64_t index,
				uint64_t peer)
{
	if (peer == index)
		return;
	config_store_free(model->stores[index]);
	model->stores[index] = config_store_new();
	config_store_visit_since(model->stores[peer], 0, copy_item,
				 model->stores[index]);
	memcpy(model->shown_revision[index], model->shown_revision[peer],
	       sizeof(model->shown_revision[index]));
}

/* Returns false if the store has a lower revision of a service than at the last
 * check, or settings that are not those of its revision. */
static bool store_model_check(store_model_t *model, uint64_t index)
{
	char name[CONFIG_NAME_SIZE];
	uint32_t i;

	for (i = 0; i < SERVICES; i++) {
		const config_item_t *item;
		uint64_t revision;

		snprintf(name, sizeof(name), "s%u", i);
		item = config_store_find(model->stores[index], name);
		revision = item ? item->revision : 0;
		if (revision < model->shown_revision[index][i] ||
		    (item && !item->removed &&
		     item->service.slots != item->revision))
			return false;
		model->shown_revision[index][i] = revision;
	}
	return true;
}

/* Returns true if a store has the last change of each service. */
static bool store_model_is_final(const store_model_t *model, uint32_t store)
{
	uint64_t last[SERVICES] = { 0 };
	uint32_t i;

	for (i = 0; i < CHANGES; i++)
		last[model->changes[i].service[1] - '0'] = i + 1;
	return memcmp(last, model->shown_revision[store], sizeof(last)) == 0;
}

/* Guards against a service that returns to an earlier revision, and a removed
 * one that returns, because changes arrive late, twice or through a peer. */
static void test_store_model(void)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 0; seed < check_seeds(300); seed++) {
		check_random_t random = check_random(seed);
		store_model_t model = { 0 };
		visit_t visit = { .in_order = true };

		store_model_start(&model, &random);
		/* Random changes first, then all of them from the last to the
		 * first. */
		for (i = 0; i < 2 * STORES * CHANGES; i++) {
			uint64_t store = check_random_below(&random, STORES);
			uint64_t which = check_random_below(&random, CHANGES);
			config_change_t *change;

			if (i >= STORES * CHANGES) {
				store = i % STORES;
				which = CHANGES * 2 - 1 - i / STORES;
			} else if (check_random_below(&random, 20) == 0) {
				store_model_restart(&model, store,
						    which % STORES);
			}
			change = &model.changes[which];
			apply(model.stores[store], change->revision,
			      change->service, change->text);
			CHECK_SEED(store_model_check(&model, store), seed);
		}
		for (i = 0; i < STORES; i++) {
			CHECK_SEED(store_model_is_final(&model, i), seed);
			visit.revision = 0;
			config_store_visit_since(model.stores[i], 0,
						 visit_check, &visit);
			config_store_free(model.stores[i]);
		}
		CHECK_SEED(visit.in_order, seed);
	}
}

typedef struct {
	const char *name;
	uint32_t before[4]; /* read_min, read_max, write, write_min */
	uint32_t after[4];
	bool all_live_have_before;
	bool allowed;
} schema_row_t;

static config_service_t versions(const uint32_t values[4])
{
	return (config_service_t){ .schema_read_min = values[0],
				   .schema_read_max = values[1],
				   .schema_write = values[2],
				   .schema_write_min = values[3] };
}

/* Guards against a change after which a proxy finds a version that it cannot
 * read. */
static void test_schema_check(void)
{
	static const schema_row_t rows[] = {
		{ "same", { 1, 2, 1 }, { 1, 2, 1 }, false, true },
		{ "add readable", { 1, 1, 1 }, { 1, 2, 1 }, false, true },
		{ "write readable", { 1, 2, 1 }, { 1, 2, 2 }, true, true },
		{ "proxies lag", { 1, 2, 1 }, { 1, 2, 2 }, false, false },
		{ "add and write", { 1, 1, 1 }, { 1, 2, 2 }, true, false },
		{ "write back", { 1, 2, 2 }, { 1, 2, 1 }, true, true },
		{ "drop written", { 1, 2, 1 }, { 2, 2, 2 }, true, false },
		{ "drop old", { 1, 2, 2, 2 }, { 2, 2, 2, 2 }, true, true },
		{ "drop while callers write it",
		  { 1, 2, 2, 1 },
		  { 2, 2, 2, 2 },
		  true,
		  false },
		{ "end of writers",
		  { 1, 2, 2, 1 },
		  { 1, 2, 2, 2 },
		  false,
		  true },
		{ "drop new", { 1, 2, 1 }, { 1, 1, 1 }, true, true },
		{ "drop, proxies lag",
		  { 1, 2, 2, 2 },
		  { 2, 2, 2, 2 },
		  false,
		  false },
	};
	char text[CONFIG_ERROR_TEXT_SIZE];
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		config_service_t before = versions(rows[i].before);
		config_service_t after = versions(rows[i].after);
		int error = config_schema_check(
			&before, &after, rows[i].all_live_have_before, text);

		CHECK_ROW(error == (rows[i].allowed ? CONFIG_OK
						    : CONFIG_ERROR_SCHEMA),
			  rows[i].name);
		CHECK_ROW((strstr(text, "schema_") == NULL) == rows[i].allowed,
			  rows[i].name);
		CHECK_ROW(config_schema_check(NULL, &after, false, text) ==
				  CONFIG_OK,
			  rows[i].name);
	}
}

typedef struct {
	const char *name;
	uint32_t service[4]; /* read_min, read_max, write, write_min */
	uint32_t version;
	bool read;
	bool write;
} admit_row_t;

/* Guards against a caller that reads or writes a version that other proxies or
 * callers cannot use. */
static void test_schema_admit(void)
{
	static const admit_row_t rows[] = {
		{ "none, no choice", { 2, 2, 2 }, 0, true, true },
		{ "none, choice", { 1, 2, 2 }, 0, false, false },
		{ "lowest", { 2, 4, 3 }, 2, true, true },
		{ "written", { 2, 4, 3 }, 3, true, true },
		{ "not written yet", { 2, 4, 3 }, 4, true, false },
		{ "no longer written", { 2, 4, 4, 3 }, 2, true, false },
		{ "lowest written", { 2, 4, 4, 3 }, 3, true, true },
		{ "too low", { 2, 4, 3 }, 1, false, false },
		{ "too high", { 2, 4, 3 }, 5, false, false },
	};
	char text[CONFIG_ERROR_TEXT_SIZE];
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		config_service_t service = versions(rows[i].service);

		CHECK_ROW((config_schema_admit(&service, rows[i].version, false,
					       text) == CONFIG_OK) ==
				  rows[i].read,
			  rows[i].name);
		CHECK_ROW(rows[i].read == (strstr(text, "range") == NULL),
			  rows[i].name);
		CHECK_ROW((config_schema_admit(&service, rows[i].version, true,
					       text) == CONFIG_OK) ==
				  rows[i].write,
			  rows[i].name);
	}
}

typedef enum {
	RULE_FULL,
	RULE_NONE,
	/* A change that keeps schema_write does not wait for the proxies. */
	RULE_DROP_AT_ONCE,
} schema_rule_t;

#define HISTORY_MAX 60
#define PROXIES 5

typedef struct {
	config_service_t history[HISTORY_MAX];
	uint32_t last;
	uint32_t proxies[PROXIES]; /* index of the revision in force */
	uint32_t switches;
	uint32_t drops;
} schema_model_t;

static bool can_read(const config_service_t *service, uint32_t version)
{
	return version >= service->schema_read_min &&
	       version <= service->schema_read_max;
}

static bool schema_allows(const schema_model_t *model, schema_rule_t rule,
			  const config_service_t *after)
{
	const config_service_t *before = &model->history[model->last];
	char text[CONFIG_ERROR_TEXT_SIZE];
	bool all = true;
	uint32_t i;

	if (!can_read(after, after->schema_write) ||
	    after->schema_write_min > after->schema_write)
		return false;
	for (i = 0; i < PROXIES; i++)
		all &= model->proxies[i] == model->last;
	if (rule == RULE_DROP_AT_ONCE &&
	    after->schema_write == before->schema_write)
		all = true;
	return rule == RULE_NONE ||
	       config_schema_check(before, after, all, text) == CONFIG_OK;
}

static void schema_propose(schema_model_t *model, schema_rule_t rule,
			   check_random_t *random)
{
	const config_service_t *before = &model->history[model->last];
	config_service_t after = *before;

	after.schema_read_min += check_random_below(random, 2);
	after.schema_read_max += check_random_below(random, 3);
	after.schema_read_max -= check_random_below(random, 2);
	after.schema_write += check_random_below(random, 3);
	after.schema_write -= check_random_below(random, 2);
	after.schema_write_min += check_random_below(random, 3);
	after.schema_write_min -= check_random_below(random, 2);
	if (model->last + 1 == HISTORY_MAX ||
	    !schema_allows(model, rule, &after))
		return;
	model->switches += after.schema_write != before->schema_write;
	model->drops += after.schema_read_min > before->schema_read_min;
	model->history[++model->last] = after;
}

/* Returns the lowest version that callers may write, as config_schema_admit()
 * allows it. */
static uint32_t lowest_writable_version(const config_service_t *service)
{
	return service->schema_write_min > service->schema_read_min
		       ? service->schema_write_min
		       : service->schema_read_min;
}

/* Returns true if a proxy lets callers write a version that another proxy
 * cannot read. */
static bool schema_conflicts(const schema_model_t *model)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < PROXIES; i++) {
		for (j = 0; j < PROXIES; j++) {
			const config_service_t *reader =
				&model->history[model->proxies[i]];
			const config_service_t *writer =
				&model->history[model->proxies[j]];

			if (!can_read(reader, writer->schema_write) ||
			    !can_read(reader, lowest_writable_version(writer)))
				return true;
		}
	}
	return false;
}

/* Returns the number of seeds with a conflict; adds the accepted changes to
 * total. */
static uint64_t schema_run(schema_rule_t rule, schema_model_t *total)
{
	uint64_t conflicts = 0;
	uint64_t seed;
	uint32_t step;

	for (seed = 0; seed < check_seeds(300); seed++) {
		check_random_t random = check_random(seed);
		schema_model_t model = {
			.history = { versions((uint32_t[]){ 3, 3, 3, 3 }) }
		};
		bool conflict = false;

		for (step = 0; step < 400; step++) {
			uint32_t *proxy = &model.proxies[check_random_below(
				&random, PROXIES)];

			if (check_random_below(&random, 4) == 0)
				schema_propose(&model, rule, &random);
			*proxy += check_random_below(&random,
						     model.last - *proxy + 1);
			conflict |= schema_conflicts(&model);
		}
		conflicts += conflict;
		total->switches += model.switches;
		total->drops += model.drops;
	}
	return conflicts;
}

/* Guards against a proxy that finds a written version that it cannot read,
 * while the proxies have different revisions. The runs with weaker rules show
 * that the model finds such a conflict. */
static void test_schema_model(void)
{
	schema_model_t total = { 0 };
	schema_model_t unused = { 0 };
	uint64_t conflicts;

	CU_ASSERT_EQUAL(schema_run(RULE_FULL, &total), 0);
	printf("\n  %u changes of the written version, %u dropped versions\n",
	       total.switches, total.drops);
	CU_ASSERT(total.switches > check_seeds(300));
	CU_ASSERT(total.drops > check_seeds(300));
	conflicts = schema_run(RULE_NONE, &unused);
	printf("  seeds with a conflict: %llu without the rule, ",
	       (unsigned long long)conflicts);
	CU_ASSERT(conflicts > 0);
	conflicts = schema_run(RULE_DROP_AT_ONCE, &unused);
	printf("%llu with drops at once\n", (unsigned long long)conflicts);
	CU_ASSERT(conflicts > 0);
}

/* Guards against a change that is reported as in force before all members have
 * confirmed it, and against a member without confirmation that is not named. */
static void test_rollout(void)
{
	config_rollout_t *rollout = config_rollout_new(7, 1000);
	char long_name[CONFIG_NAME_SIZE + 1] = "";

	memset(long_name, 'x', CONFIG_NAME_SIZE);
	CU_ASSERT_EQUAL(config_rollout_state(rollout, 0),
			CONFIG_ROLLOUT_COMPLETE);
	CU_ASSERT_EQUAL(config_rollout_expect(rollout, "a"), CONFIG_OK);
	CU_ASSERT_EQUAL(config_rollout_expect(rollout, "b"), CONFIG_OK);
	CU_ASSERT_EQUAL(config_rollout_expect(rollout, "c"), CONFIG_OK);
	CU_ASSERT_EQUAL(config_rollout_expect(rollout, "b"), CONFIG_OK);
	CU_ASSERT_EQUAL(config_rollout_expect(rollout, long_name),
			CONFIG_ERROR_RANGE);
	config_rollout_report(rollout, "a", 6);
	config_rollout_report(rollout, "b", 8);
	config_rollout_report(rollout, "b", 6);
	config_rollout_report(rollout, "stranger", 7);
	CU_ASSERT_EQUAL(config_rollout_state(rollout, 999),
			CONFIG_ROLLOUT_PENDING);
	CU_ASSERT_EQUAL(config_rollout_state(rollout, 1000),
			CONFIG_ROLLOUT_PARTIAL);
	CU_ASSERT_STRING_EQUAL(config_rollout_unconfirmed(rollout, 0), "a");
	CU_ASSERT_STRING_EQUAL(config_rollout_unconfirmed(rollout, 1), "c");
	CU_ASSERT_PTR_NULL(config_rollout_unconfirmed(rollout, 2));
	config_rollout_drop(rollout, "a");
	config_rollout_drop(rollout, "b");
	CU_ASSERT_STRING_EQUAL(config_rollout_unconfirmed(rollout, 0), "c");
	config_rollout_report(rollout, "c", 7);
	CU_ASSERT_EQUAL(config_rollout_state(rollout, 1000),
			CONFIG_ROLLOUT_COMPLETE);
	config_rollout_free(rollout);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "parse", test_parse },
		{ "parse size", test_parse_size },
		{ "parse fuzz", test_parse_fuzz },
		{ "store", test_store },
		{ "store model", test_store_model },
		{ "schema check", test_schema_check },
		{ "schema admit", test_schema_admit },
		{ "schema model", test_schema_model },
		{ "rollout", test_rollout },
	};

	return check_main("config", cases, sizeof(cases) / sizeof(cases[0]));
}
