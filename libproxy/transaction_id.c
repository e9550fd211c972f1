#include "transaction_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* This character is not allowed in the names of proxies, services and targets.
 */
#define SEPARATOR "~"
#define NUMBER_DIGITS 16

/*
 * Writes the id of a transaction: the names of the proxy that holds it, of its
 * service and of its target, and a number. The number should be random, so that
 * the id of a transaction can't be guessed from the id of another one.
 */
void proxy_transaction_id_format(char *id, size_t size, const char *proxy,
				 const char *service, const char *target,
				 uint64_t number)
{
	snprintf(id, size,
		 "%s" SEPARATOR "%s" SEPARATOR "%s" SEPARATOR "%016" PRIx64,
		 proxy, service, target, number);
}

/*
 * Copies the name that begins at *at and ends before the next separator, and
 * moves *at past that separator. Returns false if the name is empty or too
 * long, or if no separator follows.
 */
static bool copy_name(const char **at, char name[PROXY_TRANSACTION_PART_SIZE])
{
	size_t length = strcspn(*at, SEPARATOR);

	if (length == 0 || length >= PROXY_TRANSACTION_PART_SIZE ||
	    (*at)[length] == '\0')
		return false;
	memcpy(name, *at, length);
	name[length] = '\0';
	*at += length + 1;
	return true;
}

/*
 * Splits the id of a transaction into its parts. Returns false if the id is
 * malformed.
 */
bool proxy_transaction_id_parse(const char *id, proxy_transaction_id_t *parts)
{
	if (!copy_name(&id, parts->proxy) || !copy_name(&id, parts->service) ||
	    !copy_name(&id, parts->target))
		return false;
	if (strlen(id) != NUMBER_DIGITS ||
	    strspn(id, "0123456789abcdef") != NUMBER_DIGITS)
		return false;
	parts->number = strtoull(id, NULL, 16);
	return true;
}
