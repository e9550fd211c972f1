#ifndef HORNBEAMTACK_SETTINGS_INTERNAL_H
#define HORNBEAMTACK_SETTINGS_INTERNAL_H

#include "settings.h"

/* Number of entries of settings_keys. */
#define SETTINGS_KEY_COUNT 49

#define SETTINGS_FAULT_TEXT_SIZE sizeof(((settings_fault_t *)0)->text)

typedef enum {
	SETTINGS_KIND_NAME,
	SETTINGS_KIND_TEXT,
	SETTINGS_KIND_ENDPOINT,
	SETTINGS_KIND_SEEDS,
	SETTINGS_KIND_UINT32,
	SETTINGS_KIND_MS,
	/* Seconds in the file, possibly with a fraction; ms in settings_t. */
	SETTINGS_KIND_SECONDS,
	/* A fraction in the file; thousandths in settings_t. */
	SETTINGS_KIND_PERMILLE,
	SETTINGS_KIND_DOMAINS,
	SETTINGS_KIND_LEVEL,
} settings_kind_t;

typedef struct {
	const char *section;
	const char *key;
	settings_kind_t kind;
	/* Offset of the key's field in settings_t. */
	size_t offset;
	/* Value of the key if the file does not contain it. NULL if the key is
	 * required; "" if its field then stays empty. */
	const char *default_value;
	/* Range of a number in the unit of the field, or of the length of a
	 * text. */
	int64_t min;
	int64_t max;
} settings_key_t;

extern const settings_key_t settings_keys[SETTINGS_KEY_COUNT];

/* Where a key was found in the file. Arrays of it have the same indexes as
 * settings_keys. */
typedef struct {
	/* First line of the key; 0 if the file does not contain it. */
	uint32_t line;
	/* The value has a fault, or a required key is missing. */
	bool invalid;
} settings_location_t;

int settings_key_find(const char *section, const char *key);
bool settings_section_exists(const char *section);
int settings_value_parse(const settings_key_t *key, const char *value,
			 settings_t *settings, char *text, size_t text_size);
void settings_constraints_check(const settings_t *settings,
				const settings_location_t *locations,
				settings_faults_t *faults);
bool settings_endpoint_is_wildcard(const settings_endpoint_t *endpoint);
void settings_faults_add(settings_faults_t *faults, uint32_t line,
			 const char *section, const char *key,
			 const char *text);

#endif
