#include "tenant.h"

#include <openssl/evp.h>
#include <string.h>

/*
 * Computes the digest of a key, its SHA-256. Keys are long random words, so
 * that the digest needs no salt. Returns TENANT_OK or TENANT_ERROR_CRYPTO.
 */
int tenant_key_digest(const char *text, tenant_key_t *key)
{
	unsigned int length_bytes = 0;

	if (EVP_Digest(text, strlen(text), key->bytes, &length_bytes,
		       EVP_sha256(), NULL) != 1 ||
	    length_bytes != sizeof(key->bytes))
		return TENANT_ERROR_CRYPTO;
	return TENANT_OK;
}
