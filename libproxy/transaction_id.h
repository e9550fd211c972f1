#ifndef HORNBEAMTACK_PROXY_TRANSACTION_ID_H
#define HORNBEAMTACK_PROXY_TRANSACTION_ID_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PROXY_TRANSACTION_PART_SIZE 64
/* Three names, each with its separator, and a number of 16 digits with the
 * final zero. */
#define PROXY_TRANSACTION_ID_SIZE (3 * PROXY_TRANSACTION_PART_SIZE + 17)

/* Parts of a transaction id. */
typedef struct {
	/* Name of the proxy that holds the transaction. */
	char proxy[PROXY_TRANSACTION_PART_SIZE];
	char service[PROXY_TRANSACTION_PART_SIZE];
	char target[PROXY_TRANSACTION_PART_SIZE];
	uint64_t number;
} proxy_transaction_id_t;

void proxy_transaction_id_format(char *id, size_t size, const char *proxy,
				 const char *service, const char *target,
				 uint64_t number);
bool proxy_transaction_id_parse(const char *id, proxy_transaction_id_t *parts);

#endif
