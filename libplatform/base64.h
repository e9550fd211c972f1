#ifndef HORNBEAMTACK_PLATFORM_BASE64_H
#define HORNBEAMTACK_PLATFORM_BASE64_H

#include <stdbool.h>
#include <stddef.h>

/* Padded base64, as the key-value service's gateway encodes keys and values. */
char *platform_base64_encode(const char *bytes, size_t size);
char *platform_base64_decode(const char *text, size_t length, size_t *size);
bool platform_base64_is_valid(const char *text, size_t length);

#endif
