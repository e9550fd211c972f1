#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_MAX_BYTES 262144

/*
 * Parses the content of a file of the given size. Also reports a file that is
 * too long, and a zero byte, because the parser stops at it and ignores the
 * rest.
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
 * Reads a file and parses it by settings_parse(). Returns SETTINGS_OK,
 * SETTINGS_ERROR_INVALID, or SETTINGS_ERROR_FILE if the file can't be read, in
 * which case errno is set and no faults are reported.
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
 * Returns a short English message for a SETTINGS_ERROR_ value.
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
