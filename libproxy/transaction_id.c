#include "transaction_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The character is not allowed in names. */
#define SEPARATOR "~"
#define NUMBER_DIGITS 16

/*
 * Writes the id of a transaction: the names of its proxy, service and target
 * and a random number, so that an id can't be guessed from another one.
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
 * Copies the name at *at, which ends before a separator, and moves *at past the
 * separator.
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
 * Splits the id of a transaction. Returns false if it is malformed.
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
