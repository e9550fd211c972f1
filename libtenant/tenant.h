#ifndef HORNBEAMTACK_TENANT_H
#define HORNBEAMTACK_TENANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TENANT_NAME_SIZE 96
#define TENANT_KEY_BYTES 32

/* Digest of a key. Keys themselves are not kept. */
typedef struct {
	uint8_t bytes[TENANT_KEY_BYTES];
} tenant_key_t;

typedef struct {
	char name[TENANT_NAME_SIZE];
	uint32_t priority;
	/* The tenant's operations are limited to rate_per_s, with bursts of up
	 * to burst operations. */
	bool is_limited;
	double rate_per_s;
	double burst;
} tenant_t;

/* Tenants by their keys and names. */
typedef struct tenant_table tenant_table_t;

/* A caller that wants to run an operation. */
typedef struct {
	/* NULL: callers are not told apart and need no key. */
	const tenant_table_t *table;
	/* NULL: the caller has sent none. */
	const tenant_key_t *key;
	/* The database needs no key. */
	bool is_public;
	/* Tenant whose connection the caller's open transaction holds, empty
	 * for none; NULL: it holds no connection. */
	const char *bound_name;
} tenant_caller_t;

typedef enum {
	TENANT_ACCESS_GRANTED,
	/* The key is unknown or withdrawn. */
	TENANT_ACCESS_DENIED,
	/* The key has moved to another tenant than that of the transaction. */
	TENANT_ACCESS_MOVED,
} tenant_access_t;

enum {
	TENANT_OK = 0,
	TENANT_ERROR_MEMORY = -1,
	TENANT_ERROR_CRYPTO = -2,
	/* The name, or the key, is in the table already. */
	TENANT_ERROR_EXISTS = -3,
	TENANT_ERROR_NO_TENANT = -4,
};

int tenant_key_digest(const char *text, tenant_key_t *key);

tenant_table_t *tenant_table_new(void);
void tenant_table_free(tenant_table_t *table);
int tenant_table_add(tenant_table_t *table, const tenant_t *tenant);
int tenant_table_add_key(tenant_table_t *table, const char *name,
			 const tenant_key_t *key);
size_t tenant_table_count(const tenant_table_t *table);
/* The tenants returned are valid until the table is freed. */
const tenant_t *tenant_table_find(const tenant_table_t *table,
				  const tenant_key_t *key);
const tenant_t *tenant_table_find_name(const tenant_table_t *table,
				       const char *name);
const tenant_t *tenant_table_next(const tenant_table_t *table,
				  const tenant_t *previous);
tenant_access_t tenant_access(const tenant_caller_t *caller, const char **name);
const char *tenant_error_text(int error);

#endif
