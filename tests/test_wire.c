#include "check.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "libjson/text.h"
#include "platform/messages.h"
#include "platform/wire.h"

/* Decodes a copy of text, in a buffer with the room that wire_caller_decode()
 * requires. */
static caller_message_t decode_caller(const char *text, char **line)
{
	*line = check_allocate(2 * strlen(text) + 4);
	memcpy(*line, text, strlen(text) + 1);
	return wire_caller_decode(*line);
}

/* Guards against a statement that is decoded as another kind, and against
 * malformed statements that are passed on to a target. */
static void test_caller_statements(void)
{
	static const struct {
		const char *text;
		caller_message_kind_t message;
		statement_kind_t kind;
		const char *name;
		const char *rest;
	} rows[] = {
		{ "QUERY 1 BEGIN", CALLER_MESSAGE_STATEMENT, STATEMENT_BEGIN },
		{ "QUERY 1 BEGIN READ", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_BEGIN_READ_ONLY },
		{ "QUERY 1 COMMIT", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_COMMIT },
		{ "QUERY 1 ROLLBACK", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_ROLLBACK },
		{ "QUERY 1 READ 1a4", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_READ },
		{ "QUERY 1 WRITE 1a4 data", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_WRITE },
		{ "QUERY 1 SET tz a b c", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_SET, "tz", "a b c" },
		{ "QUERY 1 PREPARE s1 WRITE q2c", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_PREPARE, "s1", "q2c" },
		{ "QUERY 1 EXECUTE s1 1a4 data", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_EXECUTE, "s1", "1a4 data" },
		{ "QUERY 1 DEALLOC s1", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_DEALLOCATE, "s1" },
		{ "QUERY 1 BEGIN WRITE", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 COMMIT now", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 READ", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE s1 MERGE q", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE s1", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE s1  q2c", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE s1  ", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE  WRITE q2c", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 BEGIN  READ", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 SET  a", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 EXECUTE  1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 DEALLOC ", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1  READ 1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY  READ 1a4", CALLER_MESSAGE_MALFORMED },
		{ "STARTUP  u3f1", CALLER_MESSAGE_MALFORMED },
		{ " QUERY 1 READ 1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 WRITE 1a4 two\nlines\r", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_WRITE },
		{ "QUERY 1 EXECUTE s1 1a4 two\nlines", CALLER_MESSAGE_STATEMENT,
		  STATEMENT_EXECUTE, "s1", "1a4 two\nlines" },
		{ "QUERY 1\n READ 1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 EXECUTE s\r1 1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 PREPARE s1 READ q\nx", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 DEALLOC s1\n", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 COMMIT\n", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 EXECUTE s1", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 STATUS", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1 AFTER 1.2 READ 1a4", CALLER_MESSAGE_MALFORMED },
		{ "QUERY 1", CALLER_MESSAGE_MALFORMED },
		{ "QUERY", CALLER_MESSAGE_MALFORMED },
		{ "", CALLER_MESSAGE_MALFORMED },
		{ "HELLO", CALLER_MESSAGE_MALFORMED },
		{ "STARTUP", CALLER_MESSAGE_MALFORMED },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char *line;
		caller_message_t message = decode_caller(rows[i].text, &line);
		const statement_t *statement = &message.u.statement;

		CHECK_ROW(message.kind == rows[i].message, rows[i].text);
		if (message.kind != CALLER_MESSAGE_STATEMENT) {
			free(line);
			continue;
		}
		CHECK_ROW(statement->kind == rows[i].kind, rows[i].text);
		CHECK_ROW(strcmp(statement->id, "1") == 0, rows[i].text);
		/* The text must be passed on unchanged. */
		CHECK_ROW(strcmp(statement->text,
				 rows[i].text + strlen("QUERY 1 ")) == 0,
			  rows[i].text);
		if (rows[i].name)
			CHECK_ROW(strcmp(statement->name, rows[i].name) == 0,
				  rows[i].text);
		if (rows[i].rest)
			CHECK_ROW(strcmp(statement->kind == STATEMENT_PREPARE
						 ? statement->statement_template
						 : statement->value,
					 rows[i].rest) == 0,
				  rows[i].text);
		free(line);
	}
}

/* Guards against an answer of a target that is decoded as another one. Most of
 * all, an unknown error must not be taken for a guarantee that the statement
 * had no effect. */
static void test_target_messages(void)
{
	static const struct {
		const char *text;
		target_message_kind_t kind;
		statement_error_t error;
	} rows[] = {
		{ "READY I 3.1207", TARGET_MESSAGE_READY },
		{ "READY T -", TARGET_MESSAGE_READY },
		{ "READY X -", TARGET_MESSAGE_MALFORMED },
		{ "READY", TARGET_MESSAGE_MALFORMED },
		{ "DATAROW a b", TARGET_MESSAGE_ROW },
		{ "DATAROW", TARGET_MESSAGE_ROW },
		{ "COMPLETE 7.1f", TARGET_MESSAGE_COMPLETE },
		{ "ERROR BUSY x", TARGET_MESSAGE_ERROR, STATEMENT_ERROR_BUSY },
		{ "ERROR LAGGING", TARGET_MESSAGE_ERROR,
		  STATEMENT_ERROR_LAGGING },
		{ "ERROR READONLY i-1", TARGET_MESSAGE_ERROR,
		  STATEMENT_ERROR_READ_ONLY },
		{ "ERROR NEWCODE x", TARGET_MESSAGE_ERROR,
		  STATEMENT_ERROR_UNKNOWN_OUTCOME },
		{ "ERROR", TARGET_MESSAGE_ERROR,
		  STATEMENT_ERROR_UNKNOWN_OUTCOME },
		{ "ERROR  BUSY", TARGET_MESSAGE_ERROR,
		  STATEMENT_ERROR_UNKNOWN_OUTCOME },
		{ "READY  3.1207", TARGET_MESSAGE_MALFORMED },
		{ "READY ", TARGET_MESSAGE_MALFORMED },
		{ " READY I -", TARGET_MESSAGE_MALFORMED },
		{ "", TARGET_MESSAGE_MALFORMED },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char line[128];
		target_message_t message;

		snprintf(line, sizeof(line), "%s", rows[i].text);
		message = wire_target_decode(line);
		CHECK_ROW(message.kind == rows[i].kind, rows[i].text);
		if (message.kind == TARGET_MESSAGE_ERROR)
			CHECK_ROW(message.u.error.error == rows[i].error,
				  rows[i].text);
	}
}

/* Guards against log positions that are decoded wrongly: replicas are chosen by
 * their positions. */
static void test_positions(void)
{
	static const struct {
		const char *text;
		bool valid;
		log_position_t position;
	} rows[] = {
		{ "READY I 3.1207", true, { 3, 1207 } },
		{ "READY I 3.0", true, { 3, 0 } },
		{ "READY I -", false },
		{ "READY I 3", false },
		{ "READY I 3.", false },
		{ "READY I .3", false },
		{ "READY I 3.4x", false },
		{ "READY I -3.4", false },
		{ "READY I 99999999999999999999.1", false },
	};
	static const char *const malformed[] = {
		"",
		"primary",
		"primary 4",
		"primary 4 4.7 0",
		"primary x 4.7 0 0 0 1",
		"primary -1 4.7 0 0 0 1",
		"primary 4x 4.7 0 0 0 1",
		"primary 18446744073709551616 4.7 0 0 0 1",
		"primary  4 4.7 0 0 0 1",
		"primary 4 4 0 0 0 1",
		"primary 4 - 0 0 0 1",
		"primary 4 4.7  0 0 1",
		"other 4 4.7 0 0 0 1",
		"primaryreplica 4 4.7 0 0 0 1",
	};
	target_status_t status;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char line[128];
		target_message_t message;

		snprintf(line, sizeof(line), "%s", rows[i].text);
		message = wire_target_decode(line);
		CHECK_ROW(message.u.ready.has_position == rows[i].valid,
			  rows[i].text);
		if (rows[i].valid)
			CHECK_ROW(log_position_compare(message.u.ready.position,
						       rows[i].position) == 0,
				  rows[i].text);
	}
	CU_ASSERT(wire_status_decode("replica 3 3.1209 0 12 2 17", &status) ==
		  0);
	CU_ASSERT(!status.is_primary && status.term == 3 &&
		  status.received.number == 1209 && status.lag_ms == 12);
	CU_ASSERT(wire_status_decode("primary 4 4.7 0 0 0 1", &status) == 0);
	CU_ASSERT(status.is_primary);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		CHECK_ROW(wire_status_decode(malformed[i], &status) != 0,
			  malformed[i]);
}

/* Guards against requests and answers that do not have the form that targets
 * and callers expect. */
static void test_encoding(void)
{
	static const char expected[] = "STARTUP s u i-1\r\n"
				       "QUERY 5 AFTER 3.7 READ x\r\n"
				       "QUERY 5 READ x\r\n"
				       "QUERY - AFTER 3.7 BEGIN READ\r\n"
				       "QUERY - BEGIN\r\n"
				       "QUERY - SET a b\r\n"
				       "QUERY - PREPARE w_q WRITE q\r\n"
				       "QUERY 5 EXECUTE w_q 1 d\r\n"
				       "QUERY - RESET\r\n"
				       "QUERY - ROLLBACK\r\n"
				       "QUERY - STATUS\r\n"
				       "DATAROW r\r\n"
				       "COMPLETE -\r\n"
				       "COMPLETE sig\r\n"
				       "ERROR INDOUBT why\r\n"
				       "READY E -\r\n"
				       "READY I 3.7\r\n";
	const log_position_t after = { 3, 7 };
	const log_position_t none = { 0, 0 };
	struct evbuffer *out = evbuffer_new();

	wire_startup_encode(out, "s", "u", "i-1");
	wire_statement_encode(out, "5", &after, "READ x");
	wire_statement_encode(out, "5", &none, "READ x");
	wire_begin_encode(out, true, &after);
	wire_begin_encode(out, false, NULL);
	wire_set_encode(out, "a", "b");
	wire_prepare_encode(out, "w_q", true, "q");
	wire_execute_encode(out, "5", NULL, "w_q", "1 d");
	wire_reset_encode(out);
	wire_rollback_encode(out);
	wire_status_encode(out);
	wire_row_encode(out, "r");
	wire_complete_encode(out, NULL);
	wire_complete_encode(out, "sig");
	wire_error_encode(out, STATEMENT_ERROR_UNKNOWN_OUTCOME, "why");
	wire_ready_encode(out, TRANSACTION_FAILED, NULL);
	wire_ready_encode(out, TRANSACTION_NONE, &after);
	evbuffer_add(out, "", 1);
	CU_ASSERT_STRING_EQUAL((char *)evbuffer_pullup(out, -1), expected);
	evbuffer_free(out);
}

#define ENTRY(service, address, zone, slots, state, role, rest)             \
	"{\"service\":" service ",\"address\":" address ",\"zone\":" zone   \
	",\"version\":\"v1\",\"slots\":" slots ",\"state\":" state          \
	",\"cold_remaining_ms\":0,\"db_role\":" role ",\"sequence\":4" rest \
	"}"
#define GOOD_ENTRY                                                   \
	ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", "3", "\"ready\"", \
	      "\"primary\"", "")
#define ADDRESS_ENTRY(address) \
	ENTRY("\"s\"", address, "\"z\"", "3", "\"ready\"", "\"primary\"", "")
#define SERVICE_ENTRY(service)                                       \
	ENTRY(service, "\"10.0.0.1:80\"", "\"z\"", "3", "\"ready\"", \
	      "\"primary\"", "")
#define SLOTS_ENTRY(slots)                                             \
	ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", slots, "\"ready\"", \
	      "\"primary\"", "")
#define REST_ENTRY(rest)                                             \
	ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", "3", "\"ready\"", \
	      "\"primary\"", rest)

/* Guards against targets taken from an entry that does not describe a usable
 * target: fields that are missing, of another type or out of range, or an
 * address that is none. */
static void test_entries(void)
{
	static const struct {
		const char *text;
		int error;
	} rows[] = {
		{ GOOD_ENTRY, 0 },
		{ ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", "3",
			"\"draining\"", "\"replica\"", ",\"born\":1"),
		  0 },
		{ REST_ENTRY(",\"more\":[{}]"), 0 },
		{ ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", "3", "\"odd\"",
			"\"replica\"", ""),
		  -1 },
		{ ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"z\"", "3", "\"ready\"",
			"\"odd\"", ""),
		  -1 },
		{ ENTRY("\"s\"", "\"10.0.0.1:80\"", "7", "3", "\"ready\"",
			"\"primary\"", ""),
		  -1 },
		{ SERVICE_ENTRY("7"), -1 },
		{ SERVICE_ENTRY("null"), -1 },
		{ SERVICE_ENTRY("\"\""), -1 },
		{ SERVICE_ENTRY("\"a b\""), -1 },
		{ SERVICE_ENTRY("\"a\\r\\nQUERY - STATUS\""), -1 },
		{ SERVICE_ENTRY("\"a\\tb\""), -1 },
		{ SERVICE_ENTRY("\"a\\u0000b\""), -1 },
		{ ADDRESS_ENTRY("7"), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:0\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:-80\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:+80\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:65536\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:65616\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:99999\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:18446744073709551696\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:80x\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.1:80 \""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0.256:80\""), -1 },
		{ ADDRESS_ENTRY("\"10.0.0:80\""), -1 },
		{ ADDRESS_ENTRY("\"host:80\""), -1 },
		{ ADDRESS_ENTRY("\":80\""), -1 },
		{ ADDRESS_ENTRY("\"[::1]:80\""), -1 },
		{ SLOTS_ENTRY("\"3\""), -1 },
		{ SLOTS_ENTRY("3.5"), -1 },
		{ SLOTS_ENTRY("0"), -1 },
		{ SLOTS_ENTRY("-1"), -1 },
		{ SLOTS_ENTRY("1000000"), -1 },
		{ SLOTS_ENTRY("9223372036854775807"), -1 },
		{ SLOTS_ENTRY("18446744073709551619"), -1 },
		{ SLOTS_ENTRY("1e400"), -1 },
		{ REST_ENTRY(",\"born\":-1"), -1 },
		{ REST_ENTRY(",\"born\":1.5"), -1 },
		{ REST_ENTRY(",\"born\":1e300"), -1 },
		{ REST_ENTRY(",\"born\":\"1\""), -1 },
		{ REST_ENTRY(",\"born\":99999999999999999999"), -1 },
		{ REST_ENTRY(",\"sequence\":\"4\""), -1 },
		{ REST_ENTRY(",\"sequence\":-4"), -1 },
		{ REST_ENTRY(",\"version\":1"), -1 },
		{ REST_ENTRY(",\"cold_remaining_ms\":null"), -1 },
		{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		  "\"z\",\"slots\":3,\"state\":\"ready\",\"db_role\":"
		  "\"primary\"}",
		  -1 },
		{ "\x01\x02", -1 },
		{ "[]", -1 },
		{ "7", -1 },
		{ "null", -1 },
		{ "", -1 },
	};
	static const struct {
		const char *key;
		int error;
	} keys[] = {
		{ "servers/i-1", 0 },	 { "servers/", -1 },
		{ "servers/i 1", -1 },	 { "servers/i-1\r\nQUERY - RESET", -1 },
		{ "servers/i-1\n", -1 }, { "op/config", -1 },
	};
	target_entry_t entry;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(platform_target_decode("servers/i-1", rows[i].text,
						 strlen(rows[i].text),
						 &entry) == rows[i].error,
			  rows[i].text);
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		CHECK_ROW(platform_target_decode(keys[i].key, GOOD_ENTRY,
						 strlen(GOOD_ENTRY),
						 &entry) == keys[i].error,
			  keys[i].key);
	CU_ASSERT(platform_target_decode("servers/i-1", GOOD_ENTRY,
					 strlen(GOOD_ENTRY), &entry) == 0);
	CU_ASSERT_STRING_EQUAL(entry.id, "i-1");
	CU_ASSERT_STRING_EQUAL(entry.address, "10.0.0.1");
	CU_ASSERT(entry.port == 80 && entry.slots == 3 && entry.is_primary &&
		  entry.state == TARGET_STATE_READY);
}

/* Writes count copies of a text. */
static char *repeat(char *out, const char *text, size_t count)
{
	size_t length = strlen(text);

	while (count-- > 0) {
		memcpy(out, text, length);
		out += length;
	}
	*out = '\0';
	return out;
}

/* Guards against deeply nested bytes of another writer that exhaust the stack:
 * in an entry, a configuration or an answer of the store. The largest depth is
 * that of the largest value that the store takes. */
static void test_nesting(void)
{
	static const struct {
		const char *open;
		const char *close;
	} rows[] = { { "[", "]" }, { "{\"a\":", "}" }, { "[", "" } };
	static const size_t depths[] = { 100, 3000, 200000 };
	size_t size = 2 * 1024 * 1024;
	char *text = check_allocate(size);
	size_t i;

	for (i = 0; i < 9; i++) {
		configuration_t configuration;
		target_entry_t entry;
		store_answer_t answer;
		char *end = text;

		end = repeat(end, "{\"version\":1,\"service\":", 1);
		end = repeat(end, rows[i % 3].open, depths[i / 3]);
		end = repeat(end, "0", 1);
		end = repeat(end, rows[i % 3].close, depths[i / 3]);
		end = repeat(end, "}", 1);
		CU_ASSERT(platform_target_decode("servers/i-1", text,
						 (size_t)(end - text),
						 &entry) == -1);
		CU_ASSERT(platform_configuration_decode(text,
							(size_t)(end - text),
							&configuration) == -1);
		platform_items_decode(text, (size_t)(end - text), &answer);
		CU_ASSERT(answer.count == 0);
		platform_items_release(&answer);
	}
	free(text);
}

/* Guards against a malformed route or service that makes the rest of the
 * configuration unusable. */
static void test_configuration(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":["
		"{\"host\":\"a\",\"type\":\"primary\",\"service\":\"s\","
		"\"timeout_ms\":1000,\"target_latency_ms\":200,"
		"\"priority\":1},"
		"{\"host\":\"b\",\"type\":\"unknown\",\"service\":\"s\"},"
		"{\"host\":\"c\",\"type\":\"bounded\",\"service\":\"s\","
		"\"max_staleness_ms\":1500},7],"
		"\"services\":[{\"name\":\"s\",\"max_connections\":22}],"
		"\"limits\":{\"tx_idle_ms\":3000}}";
	static const char *const malformed[] = {
		"{}",
		"x",
		"{\"version\":0,\"routes\":[],\"services\":[]}",
		"{\"version\":-7,\"routes\":[],\"services\":[]}",
		"{\"version\":7.5,\"routes\":[],\"services\":[]}",
		"{\"version\":7,\"services\":[]}",
		"{\"version\":7,\"routes\":{},\"services\":[]}",
		"{\"version\":7,\"routes\":[]}",
		"{\"version\":7,\"routes\":[],\"services\":\"s\"}",
	};
	static const struct {
		const char *text;
		clock_ms_t timeout_ms;
	} numbers[] = {
		{ "1000", 1000 },      { "1000.7", 1000 },
		{ "-1", 30000 },       { "-1e300", 30000 },
		{ "\"1\"", 30000 },    { "9223372036854775807", 86400000 },
		{ "1e300", 86400000 },
	};
	configuration_t configuration;
	const route_t *route;
	size_t i;

	CU_ASSERT(platform_configuration_decode(text, strlen(text),
						&configuration) == 0);
	CU_ASSERT(configuration.version == 7);
	CU_ASSERT(configuration.transaction_idle_ms == 3000);
	route = gateway_configuration_route(&configuration, "a");
	CU_ASSERT(route && route->consistency == CONSISTENCY_PRIMARY &&
		  route->timeout_ms == 1000 && route->objective_ms == 200);
	CU_ASSERT(!gateway_configuration_route(&configuration, "b"));
	route = gateway_configuration_route(&configuration, "c");
	CU_ASSERT(route && route->staleness_ms == 1500);
	CU_ASSERT(gateway_configuration_service(&configuration, "s")
			  ->connections_max == 22);
	gateway_configuration_clear(&configuration);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		CHECK_ROW(platform_configuration_decode(malformed[i],
							strlen(malformed[i]),
							&configuration) == -1,
			  malformed[i]);
	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		char wide[512];

		snprintf(wide, sizeof(wide),
			 "{\"version\":7,\"routes\":[{\"host\":\"a\",\"type\":"
			 "\"primary\",\"service\":\"s\",\"timeout_ms\":%s}],"
			 "\"services\":[{\"name\":\"s\",\"max_connections\":%s}"
			 "]}",
			 numbers[i].text, numbers[i].text);
		CHECK_ROW(platform_configuration_decode(wide, strlen(wide),
							&configuration) == 0,
			  wide);
		route = gateway_configuration_route(&configuration, "a");
		CHECK_ROW(route && route->timeout_ms == numbers[i].timeout_ms,
			  wide);
		gateway_configuration_clear(&configuration);
	}
}

/* Guards against a key that is cut at a blank, so that another key than the
 * caller's is looked up. */
static void test_startup(void)
{
	static const struct {
		const char *text;
		const char *key;
	} rows[] = {
		{ "STARTUP db", NULL },
		{ "STARTUP db ", NULL },
		{ "STARTUP db key", "key" },
		{ "STARTUP db key more", "key more" },
		{ "STARTUP db  key", " key" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char *line;
		caller_message_t message = decode_caller(rows[i].text, &line);
		const char *key = message.u.startup.key;

		CHECK_ROW(message.kind == CALLER_MESSAGE_STARTUP &&
				  strcmp(message.u.startup.database, "db") == 0,
			  rows[i].text);
		CHECK_ROW(rows[i].key ? key && strcmp(key, rows[i].key) == 0
				      : !key,
			  rows[i].text);
		free(line);
	}
}

/* Guards against a malformed tenant that hides the others or that ends their
 * checks, and against a key that moves to another tenant because it is listed
 * twice. */
static void test_tenants(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":["
		"{\"host\":\"a\",\"type\":\"primary\",\"service\":\"s\","
		"\"public\":true},"
		"{\"host\":\"b\",\"type\":\"primary\",\"service\":\"s\","
		"\"public\":\"yes\"}],\"services\":[],\"tenants\":["
		"7,{\"api_keys\":[\"k0\"]},"
		"{\"name\":\"with blank\",\"api_keys\":[\"k0\"]},"
		"{\"name\":\"x\",\"api_keys\":[\"k1\",7,\"\",\"k2\"],"
		"\"priority\":2,\"rate_per_s\":7.5,\"burst\":1e300},"
		"{\"name\":\"x\",\"api_keys\":[\"k3\"]},"
		"{\"name\":\"y\",\"api_keys\":[\"k2\",\"k4\"],"
		"\"rate_per_s\":-1},"
		"{\"name\":\"z\",\"api_keys\":\"k5\"}]}";
	static const struct {
		const char *key;
		const char *tenant;
	} keys[] = {
		{ "k0", NULL }, { "k1", "x" },	{ "k2", "x" }, { "k3", NULL },
		{ "k4", "y" },	{ "k5", NULL }, { "", NULL },
	};
	static const struct {
		const char *name;
		const char *tenants;
		int error;
		bool checked;
	} lists[] = {
		{ "no list", "", JSON_TEXT_OK, false },
		{ "empty list", ",\"tenants\":[]", JSON_TEXT_OK, true },
		{ "no tenant can be read", ",\"tenants\":[7]", JSON_TEXT_OK,
		  true },
		{ "null", ",\"tenants\":null", JSON_TEXT_ERROR_MALFORMED,
		  false },
		{ "object", ",\"tenants\":{}", JSON_TEXT_ERROR_MALFORMED,
		  false },
	};
	configuration_t configuration;
	const tenant_t *tenant;
	tenant_key_t key;
	size_t i;

	CU_ASSERT_FATAL(platform_configuration_decode(text, strlen(text),
						      &configuration) == 0);
	CU_ASSERT(gateway_configuration_route(&configuration, "a")->is_public);
	CU_ASSERT(!gateway_configuration_route(&configuration, "b")->is_public);
	CU_ASSERT_FATAL(configuration.tenants != NULL);
	CU_ASSERT(tenant_table_count(configuration.tenants) == 3);
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		CU_ASSERT(tenant_key_digest(keys[i].key, &key) == TENANT_OK);
		tenant = tenant_table_find(configuration.tenants, &key);
		CHECK_ROW(keys[i].tenant ? tenant && strcmp(tenant->name,
							    keys[i].tenant) == 0
					 : !tenant,
			  keys[i].key);
	}
	tenant = tenant_table_find_name(configuration.tenants, "x");
	CU_ASSERT(tenant && tenant->priority == 2 && tenant->is_limited &&
		  tenant->rate_per_s == 7.5 && tenant->burst == 1e9);
	tenant = tenant_table_find_name(configuration.tenants, "y");
	CU_ASSERT(tenant && tenant->is_limited && tenant->rate_per_s == 0.0);
	tenant = tenant_table_find_name(configuration.tenants, "z");
	CU_ASSERT(tenant && !tenant->is_limited);
	gateway_configuration_clear(&configuration);
	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
		char whole[128];

		snprintf(whole, sizeof(whole),
			 "{\"version\":7,\"routes\":[],\"services\":[]%s}",
			 lists[i].tenants);
		CHECK_ROW(platform_configuration_decode(whole, strlen(whole),
							&configuration) ==
				  lists[i].error,
			  lists[i].name);
		CHECK_ROW((configuration.tenants != NULL) == lists[i].checked,
			  lists[i].name);
		gateway_configuration_clear(&configuration);
	}
}

/* Guards against a refused call that is taken for a call without an answer, and
 * the reverse: only a refused call is known to have had no effect and may be
 * repeated. */
static void test_store_messages(void)
{
	static const struct {
		int status;
		int error;
	} rows[] = {
		{ 200, STORE_OK },
		{ 412, STORE_ERROR_CONFLICT },
		{ 410, STORE_ERROR_HISTORY },
		{ 429, STORE_ERROR_REFUSED },
		{ 503, STORE_ERROR_REFUSED },
		{ 404, STORE_ERROR_REFUSED },
		{ 500, STORE_ERROR_UNKNOWN },
		{ 504, STORE_ERROR_UNKNOWN },
	};
	static const char body[] =
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"revision\":4},"
		"{\"key\":\"b\",\"value\":\"%%\",\"revision\":5},7,"
		"{\"key\":\"c\",\"revision\":6,\"tombstone\":true}],"
		"\"truncated\":true,\"as_of\":9}";
	store_change_t change = { 0 };
	store_answer_t answer;
	char *text;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CU_ASSERT(platform_store_error(rows[i].status) ==
			  rows[i].error);
	CU_ASSERT(platform_items_decode(body, strlen(body), &answer) ==
		  STORE_OK);
	CU_ASSERT(answer.count == 3 && answer.truncated &&
		  answer.revision == 9);
	CU_ASSERT_STRING_EQUAL(answer.items[0].value, "x");
	CU_ASSERT_STRING_EQUAL(answer.items[1].value, "");
	CU_ASSERT(answer.items[1].size == 0);
	CU_ASSERT(answer.items[2].value == NULL);
	CU_ASSERT_STRING_EQUAL(answer.last_key, "c");
	platform_items_release(&answer);
	CU_ASSERT(platform_items_decode("", 0, &answer) ==
		  STORE_ERROR_MALFORMED);
	platform_items_release(&answer);

	change.expected[change.expected_count++] =
		(store_expectation_t){ "k", 3 };
	change.writes[change.write_count++] = (store_write_t){ "k", "x" };
	change.removed[change.removed_count++] = "old";
	text = platform_change_body(&change);
	CU_ASSERT_STRING_EQUAL(
		text, "{\"expected_rev\":[{\"key\":\"k\",\"revision\":3}],"
		      "\"writes\":[{\"key\":\"k\",\"value\":\"eA==\","
		      "\"lease\":0}],\"remove\":[\"old\"]}");
	free(text);
	text = platform_range_path("servers/", "servers/i 1");
	CU_ASSERT_STRING_EQUAL(text, "/kv-range?path_prefix=servers/"
				     "&after=servers%2Fi%201");
	free(text);
}

/* Guards against one odd item that hides the others of an answer, or that is
 * taken for the removal of its key, and against the loss of the place where the
 * next page begins. */
static void test_odd_items(void)
{
	static const struct {
		const char *item;
		/* Items that are decoded besides "a"; the value of the item, or
		 * NULL for a removal. */
		size_t count;
		const char *value;
		const char *last_key;
	} rows[] = {
		{ "{\"key\":\"b\",\"value\":\"eQ==\",\"revision\":5}", 1, "y",
		  "b" },
		{ "{\"key\":\"b\",\"value\":\"\",\"revision\":5}", 1, "", "b" },
		{ "{\"key\":\"b\",\"value\":\"eQ=\",\"revision\":5}", 1, "",
		  "b" },
		{ "{\"key\":\"b\",\"value\":7,\"revision\":5}", 1, "", "b" },
		{ "{\"key\":\"b\",\"revision\":5}", 1, "", "b" },
		{ "{\"key\":\"b\",\"revision\":5,\"tombstone\":true}", 1, NULL,
		  "b" },
		{ "{\"key\":\"b\\u0000c\",\"value\":\"eQ==\",\"revision\":5}",
		  0, NULL, "a" },
		{ "{\"key\":\"b\",\"value\":\"\\u0000\",\"revision\":5}", 1, "",
		  "b" },
		{ "{\"key\":\"b\",\"value\":\"eQ==\",\"revision\":-5}", 0, NULL,
		  "b" },
		{ "{\"key\":\"b\",\"value\":\"eQ==\",\"revision\":1e9}", 0,
		  NULL, "b" },
		{ "{\"key\":\"b\",\"value\":\"eQ==\"}", 0, NULL, "b" },
		{ "{\"key\":7,\"value\":\"eQ==\",\"revision\":5}", 0, NULL,
		  "a" },
		{ "[[]]", 0, NULL, "a" },
		{ "null", 0, NULL, "a" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const store_item_t *item;
		store_answer_t answer;
		char body[256];

		snprintf(body, sizeof(body),
			 "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\","
			 "\"revision\":4},%s],\"as_of\":9}",
			 rows[i].item);
		CHECK_ROW(platform_items_decode(body, strlen(body), &answer) ==
				  STORE_OK,
			  rows[i].item);
		CHECK_ROW(answer.count == 1 + rows[i].count, rows[i].item);
		CHECK_ROW(answer.last_key && strcmp(answer.last_key,
						    rows[i].last_key) == 0,
			  rows[i].item);
		item = &answer.items[answer.count - 1];
		if (rows[i].count > 0 && rows[i].value)
			CHECK_ROW(item->value && strcmp(item->value,
							rows[i].value) == 0,
				  rows[i].item);
		if (rows[i].count > 0 && !rows[i].value)
			CHECK_ROW(item->value == NULL, rows[i].item);
		platform_items_release(&answer);
	}
}

/* Changes some bytes of a text of size bytes. The changed bytes may be NULs. */
static void mutate(check_random_t *random, char *text, size_t size)
{
	uint64_t changes = 1 + check_random_below(random, 4);

	while (changes-- > 0 && size > 0)
		text[check_random_below(random, size)] =
			(char)check_random_next(random);
}

/* Guards against input that makes a decoder read or write outside its buffers.
 * Such accesses are found by the run with sanitizers. */
static void test_fuzz(void)
{
	static const char *const texts[] = {
		"STARTUP lepu270 u3f1",
		"QUERY 5c0e AFTER 3.1207 READ 1a4",
		"QUERY 5c0e PREPARE s1 WRITE q2c",
		"QUERY 5c0e EXECUTE s1 1a4 data",
		"READY I 3.1207",
		"ERROR READONLY i-7f",
		"replica 3 3.1209 0 12 2 17",
		GOOD_ENTRY,
		"{\"version\":7,\"routes\":[{\"host\":\"a\",\"type\":"
		"\"bounded\",\"service\":\"s\"}],\"services\":[{\"name\":"
		"\"s\",\"max_connections\":22}]}",
		"{\"items\":[{\"key\":\"a\",\"value\":\"eA==\","
		"\"revision\":4}],\"as_of\":9}",
	};
	check_random_t random = check_random(7);
	uint64_t round;

	for (round = 0; round < check_seeds(20000); round++) {
		const char *text = texts[check_random_below(
			&random, sizeof(texts) / sizeof(texts[0]))];
		size_t size = strlen(text);
		char *line = check_allocate(2 * size + 4);
		char *copy = check_allocate(size + 1);
		configuration_t configuration;
		target_status_t status;
		target_entry_t entry;
		store_answer_t answer;

		memcpy(copy, text, size);
		mutate(&random, copy, size);
		memcpy(line, copy, size);
		wire_caller_decode(line);
		memset(line, 0, 2 * size + 4);
		memcpy(line, copy, size);
		wire_target_decode(line);
		wire_status_decode(copy, &status);
		platform_target_decode("servers/i-1", copy, size, &entry);
		if (platform_configuration_decode(copy, size, &configuration) ==
		    0)
			gateway_configuration_clear(&configuration);
		platform_items_decode(copy, size, &answer);
		platform_items_release(&answer);
		free(copy);
		free(line);
	}
}

/* Writes to out the words of a text, of which a random one is dropped, doubled
 * or emptied. out must have room for twice the text and a NUL. */
static void mutate_words(check_random_t *random, const char *text, char *out,
			 size_t size)
{
	uint64_t words = 1;
	uint64_t index = 0;
	uint64_t chosen;
	uint64_t mutation = check_random_below(random, 3);
	const char *word = text;
	const char *end;
	size_t used = 0;

	for (end = text; *end != '\0'; end++)
		words += *end == ' ';
	chosen = check_random_below(random, words);
	for (out[0] = '\0'; word;
	     word = *end == ' ' ? end + 1 : NULL, index++) {
		bool dropped = index == chosen && mutation == 0;
		bool doubled = index == chosen && mutation == 1;
		bool emptied = index == chosen && mutation == 2;
		int length;

		end = word + strcspn(word, " ");
		length = emptied ? 0 : (int)(end - word);
		if (dropped)
			continue;
		used += (size_t)snprintf(out + used, size - used, "%s%.*s",
					 used > 0 || index > 0 ? " " : "",
					 length, word);
		if (doubled)
			used += (size_t)snprintf(out + used, size - used,
						 " %.*s", length, word);
	}
}

/* Writes a decoded statement as text, from the parts that its kind has. Returns
 * false if such a part is missing. */
static bool format_statement(const statement_t *statement, char *text,
			     size_t size)
{
	const char *name = statement->name;
	const char *value = statement->value;
	const char *shape = statement->statement_template;

	switch (statement->kind) {
	case STATEMENT_BEGIN:
		snprintf(text, size, "BEGIN");
		return true;
	case STATEMENT_BEGIN_READ_ONLY:
		snprintf(text, size, "BEGIN READ");
		return true;
	case STATEMENT_COMMIT:
		snprintf(text, size, "COMMIT");
		return true;
	case STATEMENT_ROLLBACK:
		snprintf(text, size, "ROLLBACK");
		return true;
	case STATEMENT_READ:
	case STATEMENT_WRITE:
		snprintf(text, size, "%s", statement->text);
		return true;
	case STATEMENT_SET:
		snprintf(text, size, "SET %s %s", name ? name : "",
			 value ? value : "");
		return name && value;
	case STATEMENT_PREPARE:
		snprintf(text, size, "PREPARE %s %s %s", name ? name : "",
			 statement->prepares_write ? "WRITE" : "READ",
			 shape ? shape : "");
		return name && shape;
	case STATEMENT_EXECUTE:
		snprintf(text, size, "EXECUTE %s %s", name ? name : "",
			 value ? value : "");
		return name && value;
	case STATEMENT_DEALLOCATE:
		snprintf(text, size, "DEALLOC %s", name ? name : "");
		return name != NULL;
	}
	return false;
}

/* Returns a text without the spaces at its end, in place. */
static char *trim(char *text)
{
	size_t length = strlen(text);

	while (length > 0 && text[length - 1] == ' ')
		text[--length] = '\0';
	return text;
}

/* Checks that a line of a caller is malformed or has all parts of its kind, and
 * that the parts are those of the line. */
static void check_caller_line(const char *text)
{
	char *line;
	caller_message_t message = decode_caller(text, &line);
	char expected[256];
	char formatted[256];

	switch (message.kind) {
	case CALLER_MESSAGE_STARTUP:
		CHECK_ROW(message.u.startup.database != NULL, text);
		break;
	case CALLER_MESSAGE_STATEMENT:
		CHECK_ROW(message.u.statement.id != NULL, text);
		CHECK_ROW(format_statement(&message.u.statement, formatted,
					   sizeof(formatted)),
			  text);
		snprintf(expected, sizeof(expected), "%s",
			 message.u.statement.text);
		CHECK_ROW(strcmp(trim(formatted), trim(expected)) == 0, text);
		break;
	case CALLER_MESSAGE_TERMINATE:
	case CALLER_MESSAGE_MALFORMED:
		break;
	}
	free(line);
}

/* Checks that a line of a target is malformed or has all parts of its kind. */
static void check_target_line(const char *text)
{
	char line[256];
	target_message_t message;

	snprintf(line, sizeof(line), "%s", text);
	message = wire_target_decode(line);
	switch (message.kind) {
	case TARGET_MESSAGE_READY:
		CHECK_ROW(message.u.ready.state <= TRANSACTION_FAILED, text);
		break;
	case TARGET_MESSAGE_ROW:
		CHECK_ROW(message.u.row.text != NULL, text);
		break;
	case TARGET_MESSAGE_COMPLETE:
		CHECK_ROW(message.u.complete.signature != NULL, text);
		break;
	case TARGET_MESSAGE_ERROR:
		CHECK_ROW(message.u.error.text != NULL, text);
		break;
	case TARGET_MESSAGE_MALFORMED:
		break;
	}
}

/* Guards against a line with a missing, repeated or empty word that ends the
 * process or is decoded to other words than those of the line. */
static void test_words(void)
{
	static const char *const texts[] = {
		"STARTUP lepu270 u3f1",
		"QUERY 5c0e BEGIN READ",
		"QUERY 5c0e COMMIT",
		"QUERY 5c0e ROLLBACK",
		"QUERY 5c0e READ 1a4",
		"QUERY 5c0e WRITE 1a4 data",
		"QUERY 5c0e SET tz a b",
		"QUERY 5c0e PREPARE s1 WRITE q2c",
		"QUERY 5c0e PREPARE s1 READ q2c",
		"QUERY 5c0e EXECUTE s1 1a4 data",
		"QUERY 5c0e DEALLOC s1",
		"TERMINATE",
		"READY I 3.1207",
		"DATAROW a b",
		"COMPLETE 7.1f",
		"ERROR READONLY i-7f",
		"replica 3 3.1209 0 12 2 17",
	};
	check_random_t random = check_random(11);
	uint64_t round;

	for (round = 0; round < check_seeds(20000); round++) {
		const char *text = texts[check_random_below(
			&random, sizeof(texts) / sizeof(texts[0]))];
		uint64_t times = 1 + check_random_below(&random, 2);
		char mutated[128];
		char next[256];
		target_status_t status;

		snprintf(mutated, sizeof(mutated), "%s", text);
		while (times-- > 0) {
			mutate_words(&random, mutated, next, sizeof(next));
			memcpy(mutated, next, strlen(next) + 1);
		}
		check_caller_line(mutated);
		check_target_line(mutated);
		wire_status_decode(mutated, &status);
	}
}

/* Takes the only line out of a request to a target. */
static char *only_line(struct evbuffer *output, const char *label)
{
	size_t length = 0;
	char *line = evbuffer_readln(output, &length, WIRE_LINE_END);

	CHECK_ROW(line && strlen(line) == length, label);
	CHECK_ROW(evbuffer_get_length(output) == 0, label);
	evbuffer_drain(output, evbuffer_get_length(output));
	return line;
}

/* Encodes a decoded statement for a target, and checks that it is one line with
 * the id and the text that were taken in. */
static void check_forwarded(struct evbuffer *output, const char *text,
			    const statement_t *statement)
{
	char *line;
	char expected[256];

	snprintf(expected, sizeof(expected), "%s", text);
	switch (statement->kind) {
	case STATEMENT_SET:
		wire_set_encode(output, statement->name, statement->value);
		snprintf(expected, sizeof(expected), "QUERY - SET %s %s",
			 statement->name, statement->value);
		break;
	case STATEMENT_PREPARE:
		wire_prepare_encode(output, "n", statement->prepares_write,
				    statement->statement_template);
		snprintf(expected, sizeof(expected), "QUERY - PREPARE n %s %s",
			 statement->prepares_write ? "WRITE" : "READ",
			 statement->statement_template);
		break;
	case STATEMENT_EXECUTE:
		wire_execute_encode(output, statement->id, NULL, "n",
				    statement->value);
		snprintf(expected, sizeof(expected), "QUERY %s EXECUTE n %s",
			 statement->id, statement->value);
		break;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ_ONLY:
	case STATEMENT_COMMIT:
	case STATEMENT_ROLLBACK:
	case STATEMENT_READ:
	case STATEMENT_WRITE:
	case STATEMENT_DEALLOCATE:
		wire_statement_encode(output, statement->id, NULL,
				      statement->text);
		break;
	}
	line = only_line(output, text);
	if (line)
		CHECK_ROW(strcmp(line, expected) == 0, text);
	free(line);
}

/* Guards against a statement that is forwarded as another one, or as several:
 * whatever a caller's line holds, a target gets the statement that was taken
 * in, as one line. */
static void test_forwarded(void)
{
	static const char *const texts[] = {
		"QUERY 5c0e READ 1a4",
		"QUERY 5c0e WRITE 1a4 data",
		"QUERY 5c0e SET tz a b",
		"QUERY 5c0e PREPARE s1 WRITE q2c",
		"QUERY 5c0e EXECUTE s1 1a4 data",
		"QUERY 5c0e COMMIT",
	};
	static const char *const parts[] = { "\n", "\r",       "\r\r", "\n\r",
					     " ",  "QUERY 6 ", "%s%n", "\x01" };
	struct evbuffer *output = evbuffer_new();
	check_random_t random = check_random(12);
	uint32_t taken = 0;
	uint64_t round;

	for (round = 0; round < check_seeds(30000); round++) {
		const char *text = texts[check_random_below(
			&random, sizeof(texts) / sizeof(texts[0]))];
		const char *part = parts[check_random_below(
			&random, sizeof(parts) / sizeof(parts[0]))];
		size_t at = check_random_below(&random, strlen(text) + 1);
		char line[256];
		char buffer[2 * sizeof(line)];
		caller_message_t message;

		snprintf(line, sizeof(line), "%.*s%s%s", (int)at, text, part,
			 text + at);
		snprintf(buffer, sizeof(buffer), "%s", line);
		message = wire_caller_decode(buffer);
		if (message.kind != CALLER_MESSAGE_STATEMENT)
			continue;
		check_forwarded(output, line, &message.u.statement);
		taken++;
	}
	CU_ASSERT(taken > 0);
	evbuffer_free(output);
}

/* Guards against names of others that become something else where they are
 * written to: the line that opens a connection to a target, the path of a read,
 * a change or an order to promote. */
static void test_names(void)
{
	static const char *const names[] = {
		"s\"1", "s\\",	"s/../x", "s&after=z", "s?x",
		"s#x",	"s%2f", "s+x",	  "s=x",       "\xc3\xbc",
		"s;x",	"{}",	"s'x",	  "$s",	       "s\\u0000",
	};
	struct evbuffer *output = evbuffer_new();
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		const char *name = names[i];
		const store_change_t change = {
			.expected = { { name, 7 } },
			.expected_count = 1,
			.writes = { { name, name } },
			.write_count = 1,
		};
		char *path = platform_range_path("servers/", name);
		char *body = platform_change_body(&change);
		char *order = platform_promote_body(name, name);
		json_t *json = json_loads(body, 0, NULL);
		struct evhttp_uri *uri = evhttp_uri_parse(path);
		struct evkeyvalq query;
		const char *key;
		const char *id;
		char *line;
		char expected[64];

		TAILQ_INIT(&query);
		CU_ASSERT_FATAL(uri != NULL);
		evhttp_parse_query_str(evhttp_uri_get_query(uri), &query);
		CHECK_ROW(strcmp(evhttp_uri_get_path(uri), "/kv-range") == 0,
			  name);
		CHECK_ROW(strcmp(evhttp_find_header(&query, "path_prefix"),
				 "servers/") == 0,
			  name);
		CHECK_ROW(strcmp(evhttp_find_header(&query, "after"), name) ==
				  0,
			  name);
		CHECK_ROW(json_unpack(json, "{s:[{s:s}]}", "writes", "key",
				      &key) == 0 &&
				  strcmp(key, name) == 0,
			  name);
		json_decref(json);
		json = json_loads(order, 0, NULL);
		CHECK_ROW(json_unpack(json, "{s:s}", "id", &id) == 0 &&
				  strcmp(id, name) == 0,
			  name);
		wire_startup_encode(output, name, "u", name);
		line = only_line(output, name);
		snprintf(expected, sizeof(expected), "STARTUP %s u %s", name,
			 name);
		CHECK_ROW(line && strcmp(line, expected) == 0, name);
		free(line);
		json_decref(json);
		evhttp_clear_headers(&query);
		evhttp_uri_free(uri);
		free(path);
		free(body);
		free(order);
	}
	evbuffer_free(output);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "caller statements", test_caller_statements },
		{ "target messages", test_target_messages },
		{ "positions", test_positions },
		{ "encoding", test_encoding },
		{ "entries", test_entries },
		{ "nesting", test_nesting },
		{ "configuration", test_configuration },
		{ "startup", test_startup },
		{ "tenants", test_tenants },
		{ "store messages", test_store_messages },
		{ "odd items", test_odd_items },
		{ "fuzz", test_fuzz },
		{ "words", test_words },
		{ "forwarded", test_forwarded },
		{ "names", test_names },
	};

	return check_main("wire", cases, sizeof(cases) / sizeof(cases[0]));
}
