#include "check.h"

#include <stdio.h>
#include <string.h>

#include "libtenant/tenant.h"

static tenant_key_t key_of(const char *text)
{
	tenant_key_t key = { 0 };

	CU_ASSERT(tenant_key_digest(text, &key) == TENANT_OK);
	return key;
}

/* Guards against a digest that other implementations would not find: that of
 * the empty text and of "abc" are in FIPS 180-4. */
static void test_digest(void)
{
	static const struct {
		const char *text;
		const char *hex;
	} rows[] = {
		{ "", "e3b0c44298fc1c149afbf4c8996fb924"
		      "27ae41e4649b934ca495991b7852b855" },
		{ "abc", "ba7816bf8f01cfea414140de5dae2223"
			 "b00361a396177a9cb410ff61f20015ad" },
	};
	char hex[2 * TENANT_KEY_BYTES + 1];
	tenant_key_t key;
	size_t i;
	size_t byte;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		key = key_of(rows[i].text);
		for (byte = 0; byte < TENANT_KEY_BYTES; byte++)
			snprintf(hex + 2 * byte, 3, "%02x", key.bytes[byte]);
		CHECK_ROW(strcmp(hex, rows[i].hex) == 0, rows[i].text);
	}
}

/* Guards against a key that is found for the wrong tenant, and against one that
 * a second tenant takes over. */
static void test_table(void)
{
	static const struct {
		const char *name;
		const char *tenant;
		const char *key;
		int error;
	} rows[] = {
		{ "first key", "x", "k1", TENANT_OK },
		{ "second key of a tenant", "x", "k2", TENANT_OK },
		{ "key of another tenant", "y", "k3", TENANT_OK },
		{ "key twice", "x", "k1", TENANT_ERROR_EXISTS },
		{ "key of two tenants", "y", "k1", TENANT_ERROR_EXISTS },
		{ "no such tenant", "z", "k4", TENANT_ERROR_NO_TENANT },
	};
	static const char *const names[] = { "x", "y" };
	tenant_table_t *table = tenant_table_new();
	const tenant_t *tenant = NULL;
	tenant_key_t key;
	size_t i;

	CU_ASSERT_FATAL(table != NULL);
	CU_ASSERT(!tenant_table_next(table, NULL));
	key = key_of("k1");
	CU_ASSERT(!tenant_table_find(table, &key));
	for (i = 0; i < 2; i++) {
		tenant_t added = { .priority = (uint32_t)i };

		memcpy(added.name, names[i], 2);
		CU_ASSERT(tenant_table_add(table, &added) == TENANT_OK);
		CU_ASSERT(tenant_table_add(table, &added) ==
			  TENANT_ERROR_EXISTS);
	}
	CU_ASSERT(tenant_table_count(table) == 2);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		key = key_of(rows[i].key);
		CHECK_ROW(tenant_table_add_key(table, rows[i].tenant, &key) ==
				  rows[i].error,
			  rows[i].name);
		tenant = tenant_table_find(table, &key);
		if (rows[i].error == TENANT_OK)
			CHECK_ROW(tenant && strcmp(tenant->name,
						   rows[i].tenant) == 0,
				  rows[i].name);
	}
	key = key_of("k1");
	tenant = tenant_table_find(table, &key);
	CU_ASSERT(tenant && strcmp(tenant->name, "x") == 0);
	key = key_of("k4");
	CU_ASSERT(!tenant_table_find(table, &key));
	CU_ASSERT(!tenant_table_find_name(table, "z"));
	tenant = NULL;
	for (i = 0; i < 2; i++) {
		tenant = tenant_table_next(table, tenant);
		CU_ASSERT_FATAL(tenant != NULL);
		CU_ASSERT(strcmp(tenant->name, names[i]) == 0);
	}
	CU_ASSERT(!tenant_table_next(table, tenant));
	tenant_table_free(table);
	tenant_table_free(NULL);
}

/* Guards against a caller without a known key that is served, a public database
 * that is refused, and an open transaction that goes on for another tenant. */
static void test_access(void)
{
	static const struct {
		const char *name;
		const char *key;
		bool has_table;
		bool is_public;
		const char *bound_name;
		tenant_access_t access;
		const char *tenant;
	} rows[] = {
		{ "no tenants", "k1", false, false, NULL, TENANT_ACCESS_GRANTED,
		  "" },
		{ "tenants removed in a transaction", "k1", false, false, "x",
		  TENANT_ACCESS_MOVED, "" },
		{ "known key", "k1", true, false, NULL, TENANT_ACCESS_GRANTED,
		  "x" },
		{ "unknown key", "k2", true, false, NULL, TENANT_ACCESS_DENIED,
		  "" },
		{ "no key", NULL, true, false, NULL, TENANT_ACCESS_DENIED, "" },
		{ "public", NULL, true, true, NULL, TENANT_ACCESS_GRANTED, "" },
		{ "public, unknown key", "k2", true, true, NULL,
		  TENANT_ACCESS_GRANTED, "" },
		{ "public, known key", "k1", true, true, NULL,
		  TENANT_ACCESS_GRANTED, "x" },
		{ "transaction", "k1", true, false, "x", TENANT_ACCESS_GRANTED,
		  "x" },
		{ "withdrawn in a transaction", "k2", true, false, "x",
		  TENANT_ACCESS_DENIED, "" },
		{ "moved in a transaction", "k1", true, false, "y",
		  TENANT_ACCESS_MOVED, "x" },
		{ "withdrawn in a public transaction", "k2", true, true, "x",
		  TENANT_ACCESS_MOVED, "" },
		{ "public transaction", "k2", true, true, "",
		  TENANT_ACCESS_GRANTED, "" },
	};
	const tenant_t tenant = { .name = "x" };
	const tenant_key_t known = key_of("k1");
	tenant_table_t *table = tenant_table_new();
	size_t i;

	CU_ASSERT_FATAL(table != NULL);
	CU_ASSERT(tenant_table_add(table, &tenant) == TENANT_OK);
	CU_ASSERT(tenant_table_add_key(table, "x", &known) == TENANT_OK);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const tenant_key_t key = key_of(rows[i].key ? rows[i].key : "");
		const tenant_caller_t caller = {
			.table = rows[i].has_table ? table : NULL,
			.key = rows[i].key ? &key : NULL,
			.is_public = rows[i].is_public,
			.bound_name = rows[i].bound_name,
		};
		const char *name;

		CHECK_ROW(tenant_access(&caller, &name) == rows[i].access,
			  rows[i].name);
		if (rows[i].access == TENANT_ACCESS_GRANTED)
			CHECK_ROW(strcmp(name, rows[i].tenant) == 0,
				  rows[i].name);
	}
	tenant_table_free(table);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "digest", test_digest },
		{ "table", test_table },
		{ "access", test_access },
	};

	return check_main("tenant", cases, sizeof(cases) / sizeof(cases[0]));
}
