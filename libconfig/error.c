#include "config.h"

/*
 * Returns a short English text for an error of this library. The function that
 * returns CONFIG_ERROR_SCHEMA also gives the rule that was broken, as a text of
 * its own.
 */
const char *config_error_text(int error)
{
	switch (error) {
	case CONFIG_OK:
		return "no error";
	case CONFIG_ERROR_MEMORY:
		return "out of memory";
	case CONFIG_ERROR_MALFORMED:
		return "malformed configuration";
	case CONFIG_ERROR_RANGE:
		return "value out of range";
	case CONFIG_ERROR_UNKNOWN_KEY:
		return "unknown key";
	case CONFIG_ERROR_STALE:
		return "revision is not above the one in force";
	case CONFIG_ERROR_NOT_FOUND:
		return "no such service";
	case CONFIG_ERROR_SCHEMA:
		return "schema version not allowed";
	case CONFIG_ERROR_GAP:
		return "changes are missing before this revision";
	default:
		return "unknown error";
	}
}
