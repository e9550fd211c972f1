#include <limits.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			       "abcdefghijklmnopqrstuvwxyz"
			       "0123456789+/";

/*
 * Returns the padded base64 text of size bytes, which the caller frees. Returns
 * NULL if there is no memory or if size is above INT_MAX / 2.
 */
char *platform_base64_encode(const char *bytes, size_t size)
{
	char *text;

	if (size > INT_MAX / 2)
		return NULL;
	text = malloc((size + 2) / 3 * 4 + 1);
	if (text)
		EVP_EncodeBlock((unsigned char *)text,
				(const unsigned char *)bytes, (int)size);
	return text;
}

/*
 * Returns the number of padding characters of a base64 text of length
 * characters, or -1 if the text is malformed. It is checked here because
 * EVP_DecodeBlock() accepts white space around the text and padding within it.
 */
static int count_padding(const char *text, size_t length)
{
	size_t digits = strspn(text, alphabet);

	if (length % 4 != 0 || length > INT_MAX || digits > length ||
	    length - digits > 2)
		return -1;
	if (strspn(text + digits, "=") != length - digits)
		return -1;
	return (int)(length - digits);
}

/*
 * Returns true if a text of length characters is padded base64. Tells a
 * malformed text from a lack of memory after platform_base64_decode().
 */
bool platform_base64_is_valid(const char *text, size_t length)
{
	return count_padding(text, length) >= 0;
}

/*
 * Decodes a NUL-terminated padded base64 text of length characters. Returns the
 * decoded bytes with a NUL appended, which the caller frees, and stores their
 * number without the NUL in size. Returns NULL if the text is malformed or if
 * there is no memory.
 */
char *platform_base64_decode(const char *text, size_t length, size_t *size)
{
	int padding = count_padding(text, length);
	unsigned char *bytes;
	int decoded;

	if (padding < 0)
		return NULL;
	bytes = malloc(length / 4 * 3 + 1);
	if (!bytes)
		return NULL;
	decoded = EVP_DecodeBlock(bytes, (const unsigned char *)text,
				  (int)length);
	if (decoded < padding) {
		free(bytes);
		return NULL;
	}
	*size = (size_t)(decoded - padding);
	bytes[*size] = '\0';
	return (char *)bytes;
}
