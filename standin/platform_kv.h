#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include "platform_store.h"

/* kv_range() and kv_txn() return the answer. If they refuse the request, they
 * return NULL and set reason. */
json_t *kv_range(const store_t *store, const json_t *request,
		 const char **reason);
json_t *kv_txn(store_t *store, const json_t *request, const char **reason);
bool kv_txn_writes(const json_t *request);
json_t *kv_header(const store_t *store);
json_t *kv_pair(const entry_t *entry, const version_t *version);

#endif
