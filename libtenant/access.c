#include "tenant.h"

#include <string.h>

/*
 * Decides whether a caller may run an operation or the next statement of its
 * transaction. *name becomes the tenant that it runs for, empty for none; it is
 * valid until the table is freed.
 *
 * Where no key is needed, a caller with a key still counts as its tenant, so
 * that a target is told the same tenant on all databases.
 */
tenant_access_t tenant_access(const tenant_caller_t *caller, const char **name)
{
	const tenant_t *tenant = NULL;

	*name = "";
	if (caller->table && caller->key)
		tenant = tenant_table_find(caller->table, caller->key);
	if (caller->table && !tenant && !caller->is_public)
		return TENANT_ACCESS_DENIED;
	if (tenant)
		*name = tenant->name;
	if (caller->bound_name && strcmp(caller->bound_name, *name) != 0)
		return TENANT_ACCESS_MOVED;
	return TENANT_ACCESS_GRANTED;
}
