#include "internal.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

/*
 * Derives the HMAC key from the secret in the settings: the key is the SHA-256
 * of the secret.
 *
 * Returns SESSION_OK or SESSION_ERROR_CRYPTO.
 */
int session_key_derive(session_key_t *key, const char *secret)
{
	unsigned int length_bytes = 0;

	if (EVP_Digest(secret, strlen(secret), key->bytes, &length_bytes,
		       EVP_sha256(), NULL) != 1 ||
	    length_bytes != sizeof(key->bytes))
		return SESSION_ERROR_CRYPTO;
	return SESSION_OK;
}

/*
 * Writes the first SESSION_TAG_BYTES bytes of the HMAC-SHA256 of data to tag.
 *
 * Returns SESSION_OK or SESSION_ERROR_CRYPTO.
 */
int session_key_sign(const session_key_t *key, const uint8_t *data,
		     size_t data_bytes, uint8_t tag[SESSION_TAG_BYTES])
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned int length_bytes = 0;

	if (!HMAC(EVP_sha256(), key->bytes, sizeof(key->bytes), data,
		  data_bytes, digest, &length_bytes) ||
	    length_bytes < SESSION_TAG_BYTES)
		return SESSION_ERROR_CRYPTO;
	memcpy(tag, digest, SESSION_TAG_BYTES);
	return SESSION_OK;
}
