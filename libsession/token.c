#include "session.h"

#include <string.h>
#include <xxhash.h>

/*
 * Returns the hash that stands for a service in tokens.
 */
uint64_t session_service_hash(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

/*
 * Returns the entry of a service, or NULL if the token has none. The entry is
 * valid until the token is changed.
 */
const session_entry_t *session_token_find(const session_token_t *token,
					  uint64_t service_hash)
{
	uint32_t i;

	for (i = 0; i < token->count; i++) {
		if (token->entries[i].service_hash == service_hash)
			return &token->entries[i];
	}
	return NULL;
}

/*
 * Records an acknowledged log point of a service: the entry of the service is
 * raised to seen if that is higher, or added if there is none.
 *
 * Returns SESSION_OK, or SESSION_ERROR_FULL if the token holds
 * SESSION_SERVICES_MAX other services. The token is then unchanged, because
 * without one of its entries the session would not read its own writes.
 */
int session_token_observe(session_token_t *token, uint64_t service_hash,
			  group_point_t seen)
{
	const session_entry_t *found = session_token_find(token, service_hash);
	session_entry_t *entry;

	if (!found) {
		if (token->count >= SESSION_SERVICES_MAX)
			return SESSION_ERROR_FULL;
		token->entries[token->count++] = (session_entry_t){
			.service_hash = service_hash,
			.seen = seen,
		};
		return SESSION_OK;
	}
	entry = &token->entries[found - token->entries];
	if (group_point_compare(seen, entry->seen) > 0)
		entry->seen = seen;
	return SESSION_OK;
}

/*
 * Merges other into token: each service gets the higher of its log points.
 *
 * Returns SESSION_OK, or SESSION_ERROR_FULL if both have more than
 * SESSION_SERVICES_MAX services together; token is then unchanged.
 */
int session_token_merge(session_token_t *token, const session_token_t *other)
{
	session_token_t merged = *token;
	uint32_t i;

	for (i = 0; i < other->count; i++) {
		int error = session_token_observe(
			&merged, other->entries[i].service_hash,
			other->entries[i].seen);

		if (error != SESSION_OK)
			return error;
	}
	*token = merged;
	return SESSION_OK;
}
