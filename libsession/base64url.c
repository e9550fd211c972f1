#include "internal.h"

#include <openssl/evp.h>
#include <string.h>

/*
 * Returns the base64 character that corresponds to the base64url character c,
 * or 0 if c is not one.
 */
static char to_base64(char c)
{
	if ((c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
	    (c >= '0' && c <= '9'))
		return c;
	if (c == '-')
		return '+';
	return c == '_' ? '/' : 0;
}

/*
 * Encodes raw as base64url without padding. Writes the result with a
 * terminating zero to text, which has room for text_size_bytes.
 *
 * Returns SESSION_OK, SESSION_ERROR_TOO_LONG if the result is longer than
 * SESSION_TEXT_MAX_BYTES, or SESSION_ERROR_BUFFER if it does not fit into text.
 */
int session_base64url_encode(const uint8_t *raw, size_t raw_bytes, char *text,
			     size_t text_size_bytes)
{
	unsigned char padded[SESSION_PADDED_MAX_BYTES + 1];
	size_t length_bytes = (raw_bytes * 4 + 2) / 3;
	size_t i;

	if (length_bytes > SESSION_TEXT_MAX_BYTES)
		return SESSION_ERROR_TOO_LONG;
	if (length_bytes >= text_size_bytes)
		return SESSION_ERROR_BUFFER;
	EVP_EncodeBlock(padded, raw, (int)raw_bytes);
	for (i = 0; i < length_bytes; i++) {
		switch (padded[i]) {
		case '+':
			text[i] = '-';
			break;
		case '/':
			text[i] = '_';
			break;
		default:
			text[i] = (char)padded[i];
		}
	}
	text[length_bytes] = '\0';
	return SESSION_OK;
}

/*
 * Decodes base64url text without padding. Each byte string has exactly one
 * accepted text: characters outside the alphabet, a length that no byte string
 * has and unused bits other than zero are errors.
 *
 * Returns SESSION_OK, SESSION_ERROR_TOO_LONG or SESSION_ERROR_ENCODING.
 */
int session_base64url_decode(const char *text, size_t text_bytes,
			     uint8_t raw[SESSION_RAW_MAX_BYTES],
			     size_t *raw_bytes)
{
	unsigned char padded[SESSION_PADDED_MAX_BYTES];
	char reencoded[SESSION_TEXT_MAX_BYTES + 1];
	size_t padded_bytes;
	size_t i;

	if (text_bytes > SESSION_TEXT_MAX_BYTES)
		return SESSION_ERROR_TOO_LONG;
	if (text_bytes == 0 || text_bytes % 4 == 1)
		return SESSION_ERROR_ENCODING;
	for (i = 0; i < text_bytes; i++) {
		padded[i] = (unsigned char)to_base64(text[i]);
		if (padded[i] == 0)
			return SESSION_ERROR_ENCODING;
	}
	/* Pad with 'A', which stands for zero bits, since versions of libcrypto
	 * differ in how they treat '='. */
	padded_bytes = (text_bytes + 3) / 4 * 4;
	memset(padded + text_bytes, 'A', padded_bytes - text_bytes);
	if (EVP_DecodeBlock(raw, padded, (int)padded_bytes) < 0)
		return SESSION_ERROR_ENCODING;
	*raw_bytes = text_bytes * 3 / 4;
	/* The encoded text differs if unused bits of the last character are not
	 * zero. */
	if (session_base64url_encode(raw, *raw_bytes, reencoded,
				     sizeof(reencoded)) != SESSION_OK ||
	    memcmp(reencoded, text, text_bytes) != 0)
		return SESSION_ERROR_ENCODING;
	return SESSION_OK;
}
