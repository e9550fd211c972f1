#include "internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Names of the log levels. The index is the severity's number in syslog. */
static const char *const levels[] = { "emerg",	 "alert",  "crit", "err",
				      "warning", "notice", "info", "debug" };

static int parse_number(const settings_key_t *key, const char *value,
			int64_t *number, char *text, size_t text_size)
{
	char *end;

	errno = 0;
	*number = strtoll(value, &end, 10);
	if (*value < '0' || *value > '9' || *end != '\0') {
		snprintf(text, text_size,
			 "not a whole number (allowed: %lld to %lld)",
			 (long long)key->min, (long long)key->max);
		return SETTINGS_ERROR_INVALID;
	}
	if (errno != 0 || *number < key->min || *number > key->max) {
		snprintf(text, text_size,
			 "out of range (allowed: %lld to %lld)",
			 (long long)key->min, (long long)key->max);
		return SETTINGS_ERROR_INVALID;
	}
	return SETTINGS_OK;
}

/*
 * Checks the length and the characters of a text and copies it to field. The
 * message in text never contains the value, because it may be a secret.
 */
static int parse_text(const settings_key_t *key, const char *value, char *field,
		      char *text, size_t text_size)
{
	size_t length = strlen(value);
	const char *allowed = "abcdefghijklmnopqrstuvwxyz0123456789-.";
	size_t i;

	if (length < (size_t)key->min || length > (size_t)key->max) {
		snprintf(text, text_size,
			 "%zu characters long (allowed: %lld to %lld)", length,
			 (long long)key->min, (long long)key->max);
		return SETTINGS_ERROR_INVALID;
	}
	if (key->kind == SETTINGS_KIND_NAME &&
	    strspn(value, allowed) != length) {
		snprintf(text, text_size,
			 "not a name (allowed characters: a-z 0-9 - .)");
		return SETTINGS_ERROR_INVALID;
	}
	for (i = 0; i < length; i++) {
		if (value[i] < ' ' || value[i] > '~') {
			snprintf(text, text_size,
				 "character %zu is not printable ASCII", i + 1);
			return SETTINGS_ERROR_INVALID;
		}
	}
	memcpy(field, value, length + 1);
	return SETTINGS_OK;
}

static int parse_endpoint(const char *value, settings_endpoint_t *endpoint,
			  char *text, size_t text_size)
{
	if (settings_endpoint_parse(value, endpoint) == SETTINGS_OK)
		return SETTINGS_OK;
	snprintf(text, text_size,
		 "\"%.60s\" is not an endpoint (allowed: IP address and port "
		 "1 to 65535, as 10.0.0.1:7000 or [::1]:7000)",
		 value);
	return SETTINGS_ERROR_INVALID;
}

/*
 * Adds the space-separated endpoints in value to the seeds.
 */
static int parse_seeds(const char *value, settings_t *settings, char *text,
		       size_t text_size)
{
	char word[SETTINGS_TEXT_SIZE];
	int length;

	while (sscanf(value, " %127s%n", word, &length) == 1) {
		settings_endpoint_t seed;

		value += length;
		if (parse_endpoint(word, &seed, text, text_size) != SETTINGS_OK)
			return SETTINGS_ERROR_INVALID;
		if (settings->seed_count == SETTINGS_SEEDS_MAX) {
			snprintf(text, text_size,
				 "too many endpoints (allowed: 0 to %d)",
				 SETTINGS_SEEDS_MAX);
			return SETTINGS_ERROR_INVALID;
		}
		settings->seeds[settings->seed_count++] = seed;
	}
	return SETTINGS_OK;
}

/*
 * Adds the space-separated names in value to the failure domains.
 */
static int parse_domains(const char *value, settings_t *settings, char *text,
			 size_t text_size)
{
	char word[sizeof(settings->quota_domains[0])];
	int length;

	while (sscanf(value, " %63s%n", word, &length) == 1) {
		value += length;
		if (settings->quota_domain_count == SETTINGS_DOMAINS_MAX ||
		    (*value != '\0' && *value != ' ')) {
			snprintf(text, text_size,
				 "not a list of names (allowed: 0 to %d names "
				 "of 1 to 63 characters)",
				 SETTINGS_DOMAINS_MAX);
			return SETTINGS_ERROR_INVALID;
		}
		memcpy(settings->quota_domains[settings->quota_domain_count++],
		       word, sizeof(word));
	}
	return SETTINGS_OK;
}

static int parse_level(const char *value, int32_t *level, char *text,
		       size_t text_size)
{
	int32_t i;

	for (i = 0; i < (int32_t)(sizeof(levels) / sizeof(levels[0])); i++) {
		if (strcmp(levels[i], value) == 0) {
			*level = i;
			return SETTINGS_OK;
		}
	}
	snprintf(text, text_size,
		 "not a level (allowed: emerg, alert, crit, err, warning, "
		 "notice, info, debug)");
	return SETTINGS_ERROR_INVALID;
}

static int parse_seconds(const settings_key_t *key, const char *value,
			 clock_ms_t *duration_ms, char *text, size_t text_size)
{
	char *end;
	double seconds = strtod(value, &end);
	double duration = seconds * 1000.0;

	if (*value < '0' || *value > '9' || *end != '\0' ||
	    !(duration >= (double)key->min && duration <= (double)key->max)) {
		snprintf(text, text_size,
			 "not a number of seconds (allowed: %lld to %lld)",
			 (long long)key->min / 1000,
			 (long long)key->max / 1000);
		return SETTINGS_ERROR_INVALID;
	}
	*duration_ms = (clock_ms_t)duration;
	return SETTINGS_OK;
}

static int parse_permille(const settings_key_t *key, const char *value,
			  uint32_t *permille, char *text, size_t text_size)
{
	char *end;
	double number = strtod(value, &end) * 1000.0;

	if (*value < '0' || *value > '9' || *end != '\0' ||
	    !(number >= (double)key->min && number <= (double)key->max)) {
		snprintf(text, text_size,
			 "not a fraction (allowed: %lld to %lld)",
			 (long long)key->min / 1000,
			 (long long)key->max / 1000);
		return SETTINGS_ERROR_INVALID;
	}
	*permille = (uint32_t)number;
	return SETTINGS_OK;
}

/*
 * Parses the value of a key and stores it in its field of settings. Returns
 * SETTINGS_OK, or SETTINGS_ERROR_INVALID with a message in text that says what
 * is wrong and what is allowed.
 */
int settings_value_parse(const settings_key_t *key, const char *value,
			 settings_t *settings, char *text, size_t text_size)
{
	void *field = (char *)settings + key->offset;
	int64_t number;
	int error;

	switch (key->kind) {
	case SETTINGS_KIND_NAME:
	case SETTINGS_KIND_TEXT:
		return parse_text(key, value, field, text, text_size);
	case SETTINGS_KIND_ENDPOINT:
		return parse_endpoint(value, field, text, text_size);
	case SETTINGS_KIND_SEEDS:
		return parse_seeds(value, settings, text, text_size);
	case SETTINGS_KIND_DOMAINS:
		return parse_domains(value, settings, text, text_size);
	case SETTINGS_KIND_PERMILLE:
		return parse_permille(key, value, field, text, text_size);
	case SETTINGS_KIND_LEVEL:
		return parse_level(value, field, text, text_size);
	case SETTINGS_KIND_UINT32:
		error = parse_number(key, value, &number, text, text_size);
		if (error == SETTINGS_OK)
			*(uint32_t *)field = (uint32_t)number;
		return error;
	case SETTINGS_KIND_SECONDS:
		return parse_seconds(key, value, field, text, text_size);
	case SETTINGS_KIND_MS:
		break;
	}
	error = parse_number(key, value, &number, text, text_size);
	if (error == SETTINGS_OK)
		*(clock_ms_t *)field = number;
	return error;
}
