#ifndef HORNBEAMTACK_SESSION_INTERNAL_H
#define HORNBEAMTACK_SESSION_INTERNAL_H

#include "session.h"

/* Bytes of the truncated HMAC that signs a token. */
#define SESSION_TAG_BYTES 16
/* Size of the bytes that the longest text encodes, with 3 more for its last
 * group of characters, which the decoder pads. */
#define SESSION_RAW_MAX_BYTES (SESSION_TEXT_MAX_BYTES / 4 * 3 + 3)
#define SESSION_PADDED_MAX_BYTES (SESSION_TEXT_MAX_BYTES + 4)

int session_base64url_decode(const char *text, size_t text_bytes,
			     uint8_t raw[SESSION_RAW_MAX_BYTES],
			     size_t *raw_bytes);
int session_base64url_encode(const uint8_t *raw, size_t raw_bytes, char *text,
			     size_t text_size_bytes);
int session_key_sign(const session_key_t *key, const uint8_t *data,
		     size_t data_bytes, uint8_t tag[SESSION_TAG_BYTES]);

#endif
