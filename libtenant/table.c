#include "tenant.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct {
	tenant_t tenant;
	UT_hash_handle hh;
} tenant_row_t;

typedef struct {
	tenant_key_t key;
	const tenant_t *tenant;
	UT_hash_handle hh;
} key_row_t;

struct tenant_table {
	tenant_row_t *tenants;
	key_row_t *keys;
};

/*
 * Returns an empty table, or NULL without memory.
 */
tenant_table_t *tenant_table_new(void)
{
	return calloc(1, sizeof(tenant_table_t));
}

/*
 * Frees a table with its tenants; table may be NULL.
 */
void tenant_table_free(tenant_table_t *table)
{
	tenant_row_t *tenant;
	tenant_row_t *next_tenant;
	key_row_t *key;
	key_row_t *next_key;

	if (!table)
		return;
	tenant = table->tenants;
	key = table->keys;
	HASH_CLEAR(hh, table->tenants);
	HASH_CLEAR(hh, table->keys);
	for (; tenant; tenant = next_tenant) {
		next_tenant = tenant->hh.next;
		free(tenant);
	}
	for (; key; key = next_key) {
		next_key = key->hh.next;
		free(key);
	}
	free(table);
}

static tenant_row_t *find_row(const tenant_table_t *table, const char *name)
{
	tenant_row_t *row;

	HASH_FIND_STR(table->tenants, name, row);
	return row;
}

/*
 * Adds a copy of a tenant, which has no key yet. Returns TENANT_OK,
 * TENANT_ERROR_EXISTS or TENANT_ERROR_MEMORY.
 */
int tenant_table_add(tenant_table_t *table, const tenant_t *tenant)
{
	tenant_row_t *row;

	if (find_row(table, tenant->name))
		return TENANT_ERROR_EXISTS;
	row = calloc(1, sizeof(*row));
	if (!row)
		return TENANT_ERROR_MEMORY;
	row->tenant = *tenant;
	HASH_ADD_STR(table->tenants, tenant.name, row);
	return TENANT_OK;
}

/*
 * Adds a key of the tenant of this name. Returns TENANT_OK, or
 * TENANT_ERROR_NO_TENANT, TENANT_ERROR_MEMORY, or TENANT_ERROR_EXISTS if a
 * tenant has the key already: it stays with that one.
 */
int tenant_table_add_key(tenant_table_t *table, const char *name,
			 const tenant_key_t *key)
{
	const tenant_row_t *tenant = find_row(table, name);
	key_row_t *row;

	if (!tenant)
		return TENANT_ERROR_NO_TENANT;
	if (tenant_table_find(table, key))
		return TENANT_ERROR_EXISTS;
	row = calloc(1, sizeof(*row));
	if (!row)
		return TENANT_ERROR_MEMORY;
	row->key = *key;
	row->tenant = &tenant->tenant;
	HASH_ADD(hh, table->keys, key, sizeof(row->key), row);
	return TENANT_OK;
}

size_t tenant_table_count(const tenant_table_t *table)
{
	return HASH_COUNT(table->tenants);
}

/*
 * Returns the tenant that holds a key, or NULL if none does.
 */
const tenant_t *tenant_table_find(const tenant_table_t *table,
				  const tenant_key_t *key)
{
	const key_row_t *row;

	HASH_FIND(hh, table->keys, key, sizeof(*key), row);
	return row ? row->tenant : NULL;
}

/*
 * Returns the tenant of this name, or NULL.
 */
const tenant_t *tenant_table_find_name(const tenant_table_t *table,
				       const char *name)
{
	const tenant_row_t *row = find_row(table, name);

	return row ? &row->tenant : NULL;
}

/*
 * Returns the tenant after previous in the order in which they were added, or
 * the first one if previous is NULL; NULL after the last one.
 */
const tenant_t *tenant_table_next(const tenant_table_t *table,
				  const tenant_t *previous)
{
	const tenant_row_t *row = table->tenants;

	if (previous) {
		row = find_row(table, previous->name);
		row = row ? row->hh.next : NULL;
	}
	return row ? &row->tenant : NULL;
}

/*
 * Returns a description of an error.
 */
const char *tenant_error_text(int error)
{
	switch (error) {
	case TENANT_OK:
		return "ok";
	case TENANT_ERROR_MEMORY:
		return "no memory";
	case TENANT_ERROR_CRYPTO:
		return "digest failed";
	case TENANT_ERROR_EXISTS:
		return "already in the table";
	case TENANT_ERROR_NO_TENANT:
		return "no such tenant";
	default:
		return "unknown error";
	}
}
