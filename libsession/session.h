#ifndef HORNBEAMTACK_SESSION_H
#define HORNBEAMTACK_SESSION_H

#include <stddef.h>
#include <stdint.h>

#include "libgroup/group.h"

/* Services that one token can hold. */
#define SESSION_SERVICES_MAX 32
/* Longest encoded token in bytes, without the terminating zero. */
#define SESSION_TEXT_MAX_BYTES 1536
#define SESSION_KEY_BYTES 32

/* Key that signs and checks tokens. */
typedef struct {
	uint8_t bytes[SESSION_KEY_BYTES];
} session_key_t;

typedef struct {
	uint64_t service_hash;
	/* Highest acknowledged log point that the session has seen. */
	group_point_t seen;
} session_entry_t;

/* Consistency token of a session: the log point that a read of each service
 * must include. */
typedef struct {
	uint32_t count;
	session_entry_t entries[SESSION_SERVICES_MAX];
} session_token_t;

enum {
	SESSION_OK = 0,
	SESSION_ERROR_TOO_LONG = -1,
	SESSION_ERROR_ENCODING = -2,
	SESSION_ERROR_SIGNATURE = -3,
	SESSION_ERROR_VERSION = -4,
	SESSION_ERROR_MALFORMED = -5,
	SESSION_ERROR_FULL = -6,
	SESSION_ERROR_CRYPTO = -7,
	SESSION_ERROR_BUFFER = -8,
};

int session_key_derive(session_key_t *key, const char *secret);
uint64_t session_service_hash(const char *service);
int session_token_decode(const session_key_t *key, const char *text,
			 size_t text_bytes, session_token_t *token);
int session_token_encode(const session_key_t *key, const session_token_t *token,
			 char *text, size_t text_size_bytes);
const session_entry_t *session_token_find(const session_token_t *token,
					  uint64_t service_hash);
int session_token_observe(session_token_t *token, uint64_t service_hash,
			  group_point_t seen);
int session_token_merge(session_token_t *token, const session_token_t *other);
const char *session_error_text(int error);

#endif
