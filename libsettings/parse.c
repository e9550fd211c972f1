#include "internal.h"

#include <ini.h>
#include <stdio.h>
#include <string.h>

typedef struct {
	settings_t *settings;
	settings_faults_t *faults;
	settings_location_t locations[SETTINGS_KEY_COUNT];
	/* The rest of the text, and the number of the line read last. */
	const char *cursor;
	uint32_t line;
	/* The current section is unknown and was reported as such. Its keys are
	 * not reported as well. */
	bool section_reported;
	/* A key was read in the current section. inih then takes an indented
	 * line as a continuation of the value. */
	bool key_seen;
	/* The current line is a continuation. */
	bool continued;
} parser_t;

/*
 * Parses the value of a key, records its line, and reports an invalid value.
 */
static void parse_value(parser_t *parser, int index, const char *value)
{
	const settings_key_t *key = &settings_keys[index];
	settings_location_t *location = &parser->locations[index];
	char text[SETTINGS_FAULT_TEXT_SIZE];

	if (location->line == 0)
		location->line = parser->line;
	if (settings_value_parse(key, value, parser->settings, text,
				 sizeof(text)) == SETTINGS_OK)
		return;
	location->invalid = true;
	settings_faults_add(parser->faults, parser->line, key->section,
			    key->key, text);
}

/*
 * Tells whether a key was given before, and reports it if so. Continuation
 * lines of the list of seeds are not repetitions; all other values must be on
 * one line.
 */
static bool is_repeated(parser_t *parser, int index)
{
	const settings_key_t *key = &settings_keys[index];
	uint32_t first_line = parser->locations[index].line;
	char text[SETTINGS_FAULT_TEXT_SIZE] = "the value must be on one line";

	if (first_line == 0 ||
	    (parser->continued && key->kind == SETTINGS_KIND_SEEDS))
		return false;
	if (!parser->continued)
		snprintf(text, sizeof(text), "duplicate key, first in line %u",
			 first_line);
	settings_faults_add(parser->faults, parser->line, key->section,
			    key->key, text);
	return true;
}

/*
 * The handler that inih calls for each key, and again for each continuation
 * line of the key's value.
 */
static int handle_key(void *user, const char *section, const char *name,
		      const char *value)
{
	parser_t *parser = user;
	int index = settings_key_find(section, name);

	parser->key_seen = true;
	if (index >= 0 && !is_repeated(parser, index))
		parse_value(parser, index, value);
	if (index < 0 && !parser->section_reported)
		settings_faults_add(parser->faults, parser->line, section, name,
				    section[0] == '\0'
					    ? "key outside of a section"
					    : "unknown key");
	return 1;
}

/*
 * Checks a section header. This is done here because inih reports a section
 * only with its first key, so that an empty one would not be checked.
 */
static void check_section_header(parser_t *parser, const char *header)
{
	char section[64] = "";
	const char *rest = strchr(header, ']');

	parser->key_seen = false;
	sscanf(header, "[%63[^]]", section);
	if (rest)
		rest += 1 + strspn(rest + 1, " \t\r\v\f");
	if (rest && *rest != '\0' && *rest != ';')
		settings_faults_add(parser->faults, parser->line, section, "",
				    "text after the section");
	parser->section_reported = !settings_section_exists(section);
	if (parser->section_reported)
		settings_faults_add(parser->faults, parser->line, section, "",
				    "unknown section");
}

/*
 * A handler for inih that accepts every key.
 */
static int accept_key(void *user, const char *section, const char *name,
		      const char *value)
{
	(void)user;
	(void)section;
	(void)name;
	(void)value;
	return 1;
}

/*
 * Checks the syntax of a line. Each line is parsed by itself, because inih
 * returns only the number of the first malformed line of a text.
 */
static void check_line(parser_t *parser, const char *line)
{
	const char *start = line + strspn(line, " \t\r\v\f");

	parser->continued = start > line && parser->key_seen;
	if (parser->continued)
		return;
	if (ini_parse_string(start, accept_key, NULL) != 0)
		settings_faults_add(parser->faults, parser->line, "", "",
				    "neither a section nor key = value");
	else if (*start == '[')
		check_section_header(parser, start);
}

static void report_long_line(parser_t *parser, size_t length_max)
{
	char text[SETTINGS_FAULT_TEXT_SIZE];

	snprintf(text, sizeof(text), "the line is longer than %zu bytes",
		 length_max);
	settings_faults_add(parser->faults, parser->line, "", "", text);
}

/*
 * The reader of inih: returns the next line, as fgets() does. It also counts
 * the lines, because the handler of an inih built as a shared library does not
 * get the line number. A line that does not fit into the buffer is reported and
 * skipped; inih would split it and take the rest as another line.
 */
static char *read_line(char *buffer, int size, void *stream)
{
	parser_t *parser = stream;
	const char *line = parser->cursor;
	size_t length = strcspn(line, "\n");
	/* inih expects room for "\r\n" and the final NUL. */
	size_t length_max = (size_t)size - 3;

	if (*line == '\0')
		return NULL;
	parser->line++;
	parser->cursor += length + (line[length] == '\n');
	if (length > length_max) {
		report_long_line(parser, length_max);
		length = 0;
	}
	memcpy(buffer, line, length);
	buffer[length] = '\0';
	check_line(parser, buffer);
	return buffer;
}

/*
 * Sets each missing key to its default, or reports it if it is required.
 */
static void apply_defaults(parser_t *parser)
{
	settings_t *settings = parser->settings;
	int i;

	for (i = 0; i < SETTINGS_KEY_COUNT; i++) {
		const settings_key_t *key = &settings_keys[i];
		char text[SETTINGS_FAULT_TEXT_SIZE];

		if (parser->locations[i].line != 0)
			continue;
		if (!key->default_value) {
			parser->locations[i].invalid = true;
			settings_faults_add(parser->faults, 0, key->section,
					    key->key,
					    "the key is required but missing");
		} else if (key->default_value[0] != '\0') {
			settings_value_parse(key, key->default_value, settings,
					     text, sizeof(text));
		}
	}
	if (settings->peer_advertise.port == 0)
		settings->peer_advertise = settings->peer;
	if (settings->instance_list.port == 0)
		settings->instance_list = settings->platform;
	settings->collector_set = settings->collector.port != 0;
}

/*
 * Parses the text of an INI file. All faults are reported, up to
 * SETTINGS_FAULTS_MAX: first those of the lines in their order, then missing
 * keys, then values that conflict with each other.
 *
 * Returns SETTINGS_OK, or SETTINGS_ERROR_INVALID if there are faults, in which
 * case the settings must not be used.
 */
int settings_parse(const char *text, settings_t *settings,
		   settings_faults_t *faults)
{
	parser_t parser = { .settings = settings,
			    .faults = faults,
			    .cursor = text };

	memset(settings, 0, sizeof(*settings));
	memset(faults, 0, sizeof(*faults));
	if (strncmp(text, "\xEF\xBB\xBF", 3) == 0)
		parser.cursor += 3;
	ini_parse_stream(read_line, &parser, handle_key, &parser);
	apply_defaults(&parser);
	settings_constraints_check(settings, parser.locations, faults);
	return faults->count == 0 ? SETTINGS_OK : SETTINGS_ERROR_INVALID;
}
