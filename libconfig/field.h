#ifndef HORNBEAMTACK_CONFIG_FIELD_H
#define HORNBEAMTACK_CONFIG_FIELD_H

#include <jansson.h>

#include "config.h"

/* C type of a number in the structure that is filled. */
typedef enum {
	CONFIG_FIELD_U16,
	CONFIG_FIELD_U32,
	CONFIG_FIELD_MS,
} config_field_type_t;

/* A numeric key of a JSON object: the type and offset in the structure at which
 * its value is stored, its range and its default. */
typedef struct {
	const char *key;
	config_field_type_t type;
	size_t offset;
	json_int_t min;
	json_int_t max;
	json_int_t default_value;
	bool required;
} config_field_number_t;

/* The JSON object that is read. prefix stands before the key in error texts,
 * such as "targets[1].". text receives the error text. */
typedef struct {
	const json_t *object;
	const char *prefix;
	char *text;
} config_field_reader_t;

int config_field_error(char text[CONFIG_ERROR_TEXT_SIZE], int error,
		       const char *format, ...)
	__attribute__((format(printf, 3, 4)));
int config_field_keys(const config_field_reader_t *reader,
		      const char *const *keys, size_t count);
int config_field_number(const config_field_reader_t *reader,
			const config_field_number_t *rule, void *base);
int config_field_bool(const config_field_reader_t *reader, const char *key,
		      bool *value);
int config_field_name(const config_field_reader_t *reader, const char *key,
		      char name[CONFIG_NAME_SIZE]);
int config_field_address(const config_field_reader_t *reader, const char *key,
			 char address[CONFIG_ADDRESS_SIZE]);
bool config_name_is_valid(const char *name);

#endif
