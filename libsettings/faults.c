#include "internal.h"

#include <stdio.h>

/*
 * Replaces bytes that are not printable ASCII by "?", so that a fault can be
 * logged whatever the file contains.
 */
static void make_printable(char *text)
{
	for (; *text != '\0'; text++) {
		if (*text < ' ' || *text > '~')
			*text = '?';
	}
}

/*
 * Adds a fault to the list. Line 0 means that the fault belongs to no line, as
 * when a key is missing. The last entry of a full list says that there are more
 * faults; further ones are not recorded.
 */
void settings_faults_add(settings_faults_t *faults, uint32_t line,
			 const char *section, const char *key, const char *text)
{
	settings_fault_t *fault;

	if (faults->count == SETTINGS_FAULTS_MAX)
		return;
	fault = &faults->faults[faults->count++];
	if (faults->count == SETTINGS_FAULTS_MAX) {
		*fault = (settings_fault_t){
			.line = line,
			.text = "there are more faults, which are not listed",
		};
		return;
	}
	fault->line = line;
	snprintf(fault->section, sizeof(fault->section), "%s", section);
	snprintf(fault->key, sizeof(fault->key), "%s", key);
	snprintf(fault->text, sizeof(fault->text), "%s", text);
	make_printable(fault->section);
	make_printable(fault->key);
	make_printable(fault->text);
}
