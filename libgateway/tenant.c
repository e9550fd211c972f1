#include <stdio.h>
#include <string.h>

#include "internal.h"

/*
 * Finds the tenant of a session's caller by the configuration in force. The
 * session keeps it for its operation. An open transaction that holds a
 * connection stays with the route and the tenant that it began with.
 */
tenant_access_t gateway_tenant_identify(session_t *session)
{
	const configuration_t *configuration = &session->gateway->configuration;
	const route_t *route =
		session->group ? &session->route
			       : gateway_configuration_route(configuration,
							     session->database);
	const tenant_caller_t caller = {
		.table = configuration->tenants,
		.key = session->has_key ? &session->key : NULL,
		.is_public = route && route->is_public,
		.bound_name = session->connection ? session->connection->tenant
						  : NULL,
	};
	const char *name;
	tenant_access_t access = tenant_access(&caller, &name);

	if (access == TENANT_ACCESS_GRANTED)
		snprintf(session->tenant, sizeof(session->tenant), "%s", name);
	return access;
}

/*
 * Returns true if the caller may run its current statement. Otherwise the
 * statement is answered with an error, and an open transaction fails: at the
 * target it is rolled back. A transaction whose key has moved to another tenant
 * may be repeated; it has had no effect.
 */
bool gateway_tenant_admit(session_t *session)
{
	switch (gateway_tenant_identify(session)) {
	case TENANT_ACCESS_GRANTED:
		return true;
	case TENANT_ACCESS_DENIED:
		session->denied = true;
		gateway_session_fail(session, STATEMENT_ERROR_DENIED,
				     "unknown key");
		return false;
	case TENANT_ACCESS_MOVED:
		gateway_session_fail(session, STATEMENT_ERROR_ABORTED,
				     "tenant changed");
		return false;
	}
	return false;
}

/*
 * Closes the idle sessions whose key is no longer known, after a change of the
 * configuration. The next statement of the others is refused.
 */
void gateway_tenant_close_denied(gateway_t *gateway)
{
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&gateway->sessions); session;
	     session = next) {
		next = TAILQ_NEXT(session, entry);
		if (gateway_session_may_close(session, false) &&
		    gateway_tenant_identify(session) == TENANT_ACCESS_DENIED)
			gateway_session_close(session);
	}
}

/*
 * Returns the number of connections to a target that are being opened for a
 * tenant's sessions.
 */
uint32_t gateway_tenant_openings(const target_t *target, const char *tenant)
{
	const connection_t *connection;
	uint32_t count = 0;

	if (target->opening == 0)
		return 0;
	TAILQ_FOREACH(connection, &target->connections, entry) {
		if (connection->phase == CONNECTION_OPENING &&
		    !connection->survey &&
		    strcmp(connection->tenant, tenant) == 0)
			count++;
	}
	return count;
}

/*
 * Returns how many sessions of the same tenant wait in the group's queue before
 * a session; all of them if it does not wait.
 */
uint32_t gateway_tenant_waiting_before(const session_t *session)
{
	const session_t *other;
	uint32_t count = 0;

	TAILQ_FOREACH(other, &session->group->waiting, queue_entry) {
		if (other == session)
			break;
		if (strcmp(other->tenant, session->tenant) == 0)
			count++;
	}
	return count;
}

static bool is_wanted(const connection_t *connection)
{
	const session_t *session;

	TAILQ_FOREACH(session, &connection->target->group->waiting,
		      queue_entry) {
		if (strcmp(session->tenant, connection->tenant) == 0)
			return true;
	}
	return false;
}

/*
 * Returns the idle connection of another tenant that is closed to make room for
 * one of the session's tenant, or NULL if none is.
 */
static connection_t *find_replaced(target_t *target, const session_t *session)
{
	clock_ms_t now_ms = gateway_now(session->gateway);
	clock_ms_t waited_ms = session->phase == SESSION_WAITING
				       ? now_ms - session->arrived_ms
				       : 0;
	connection_t *connection;
	connection_t *found = NULL;
	pool_idle_t best = { 0 };

	if (target->idle == 0)
		return NULL;
	TAILQ_FOREACH(connection, &target->connections, entry) {
		pool_idle_t row;

		if (connection->phase != CONNECTION_IDLE ||
		    strcmp(connection->tenant, session->tenant) == 0)
			continue;
		row = (pool_idle_t){
			.idle_ms = now_ms - connection->idle_since_ms,
			.used = connection->used,
			.wanted = is_wanted(connection),
		};
		if (!pool_may_replace(&row, waited_ms) ||
		    (found && !pool_replaced_before(&row, &best)))
			continue;
		found = connection;
		best = row;
	}
	return found;
}

/*
 * Returns true if a connection to a target can be opened for the session's
 * tenant, if need be in place of an idle one of another tenant.
 */
bool gateway_tenant_may_open(target_t *target, const session_t *session)
{
	if (gateway_connection_may_open(target))
		return true;
	return gateway_connection_may_replace(target) &&
	       find_replaced(target, session) != NULL;
}

/*
 * Opens a connection to a target for the session's tenant, after
 * gateway_tenant_may_open() has allowed it.
 */
void gateway_tenant_open(target_t *target, const session_t *session)
{
	connection_t *replaced = NULL;

	if (!gateway_connection_may_open(target)) {
		replaced = find_replaced(target, session);
		if (!replaced)
			return;
		gateway_connection_close(replaced);
	}
	gateway_connection_open(target, NULL, session->tenant);
}
