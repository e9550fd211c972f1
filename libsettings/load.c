#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_MAX_BYTES 262144

/*
 * Parses the file's content; a zero byte would hide what follows it.
 */
static int parse_content(const char *content, size_t size, settings_t *settings,
			 settings_faults_t *faults)
{
	const char *at;
	uint32_t line = 1;

	settings_parse(content, settings, faults);
	if (size > FILE_MAX_BYTES)
		settings_faults_add(faults, 0, "", "",
				    "the file is longer than 262144 bytes");
	if (strlen(content) < size) {
		for (at = content; *at != '\0'; at++)
			line += *at == '\n';
		settings_faults_add(faults, line, "", "",
				    "the line holds a zero byte");
	}
	return faults->count == 0 ? SETTINGS_OK : SETTINGS_ERROR_INVALID;
}

/*
 * Reads and parses a file, as settings_parse(). Returns SETTINGS_OK,
 * SETTINGS_ERROR_INVALID, or SETTINGS_ERROR_FILE if the file can't be read;
 * errno is then set and no faults are reported.
 */
int settings_load(const char *path, settings_t *settings,
		  settings_faults_t *faults)
{
	FILE *file = fopen(path, "r");
	char *content = calloc(1, FILE_MAX_BYTES + 2);
	int result = SETTINGS_ERROR_FILE;
	size_t size;

	memset(faults, 0, sizeof(*faults));
	if (file && content) {
		size = fread(content, 1, FILE_MAX_BYTES + 1, file);
		if (!ferror(file))
			result = parse_content(content, size, settings, faults);
	}
	free(content);
	if (file)
		fclose(file);
	return result;
}

/*
 * Returns a short English text for an error of this library.
 */
const char *settings_error_text(int error)
{
	switch (error) {
	case SETTINGS_OK:
		return "no error";
	case SETTINGS_ERROR_FILE:
		return "the settings file can't be read";
	case SETTINGS_ERROR_INVALID:
		return "the settings are invalid";
	default:
		return "unknown error";
	}
}
