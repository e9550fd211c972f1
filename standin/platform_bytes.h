#ifndef STANDIN_PLATFORM_BYTES_H
#define STANDIN_PLATFORM_BYTES_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A key or value, which may contain any bytes. A NUL follows data. */
typedef struct {
	char *data;
	size_t size;
} bytes_t;

void *require_memory(void *memory);
bytes_t bytes_copy(const bytes_t *source);
void bytes_free(bytes_t *bytes);
int bytes_compare(const bytes_t *a, const bytes_t *b);

json_t *bytes_to_json(const bytes_t *bytes);
bool bytes_from_json(const json_t *object, const char *field, bytes_t *bytes);
json_t *number_to_json(uint64_t number);
bool number_from_json(const json_t *object, const char *field,
		      uint64_t *number);

#endif
