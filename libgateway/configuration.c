#include "configuration.h"

#include <stdlib.h>
#include <string.h>

/*
 * Frees the routes, services and tenants of a configuration, which is then
 * empty.
 */
void gateway_configuration_clear(configuration_t *configuration)
{
	route_t *route = configuration->routes;
	service_t *service = configuration->services;
	route_t *next_route;
	service_t *next_service;

	HASH_CLEAR(hh, configuration->routes);
	HASH_CLEAR(hh, configuration->services);
	for (; route; route = next_route) {
		next_route = route->hh.next;
		free(route);
	}
	for (; service; service = next_service) {
		next_service = service->hh.next;
		free(service);
	}
	tenant_table_free(configuration->tenants);
	memset(configuration, 0, sizeof(*configuration));
}

/*
 * Returns the route of a database, or NULL if the configuration has none. It is
 * valid until the configuration changes.
 */
const route_t *gateway_configuration_route(const configuration_t *configuration,
					   const char *database)
{
	route_t *route;

	HASH_FIND_STR(configuration->routes, database, route);
	return route;
}

/*
 * Returns the service of this name, or NULL if the configuration has none. It
 * is valid until the configuration changes.
 */
const service_t *
gateway_configuration_service(const configuration_t *configuration,
			      const char *name)
{
	service_t *service;

	HASH_FIND_STR(configuration->services, name, service);
	return service;
}
