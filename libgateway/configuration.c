#include "configuration.h"

#include <stdlib.h>
#include <string.h>

/*
 * Frees the routes and services of a configuration, which is then empty.
 */
void configuration_clear(configuration_t *configuration)
{
	route_t *route;
	route_t *next_route;
	service_t *service;
	service_t *next_service;

	HASH_ITER(hh, configuration->routes, route, next_route) {
		HASH_DEL(configuration->routes, route);
		free(route);
	}
	HASH_ITER(hh, configuration->services, service, next_service) {
		HASH_DEL(configuration->services, service);
		free(service);
	}
	memset(configuration, 0, sizeof(*configuration));
}

/*
 * Returns the route of a database, or NULL.
 */
const route_t *configuration_route(const configuration_t *configuration,
				   const char *database)
{
	route_t *route;

	HASH_FIND_STR(configuration->routes, database, route);
	return route;
}

/*
 * Returns a service, or NULL.
 */
const service_t *configuration_service(const configuration_t *configuration,
				       const char *name)
{
	service_t *service;

	HASH_FIND_STR(configuration->services, name, service);
	return service;
}
