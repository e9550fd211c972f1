#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "connection.h"

/*
 * Returns the text after any white space, empty statements and comments. Block
 * comments nest, as in PostgreSQL.
 */
static const char *skip_blanks(const char *text)
{
	while (true) {
		text += strspn(text, " \t\n\r\f\v;");
		if (text[0] == '-' && text[1] == '-') {
			text += strcspn(text, "\n\r");
		} else if (text[0] == '/' && text[1] == '*') {
			unsigned int depth = 0;

			do {
				if (text[0] == '/' && text[1] == '*') {
					depth++;
					text += 2;
				} else if (text[0] == '*' && text[1] == '/') {
					depth--;
					text += 2;
				} else {
					text++;
				}
			} while (depth > 0 && *text != '\0');
		} else {
			return text;
		}
	}
}

/* The contract functions, which a target provides for the proxy. A caller that
 * called them could make a target promise a term, promote targets or cancel the
 * keys of other callers. */
static const char *const contract_functions[] = {
	"group_check",	  "group_fence",   "group_follow", "group_guard",
	"group_position", "group_promote", "group_status", "group_wait",
	"outcome_cancel", "outcome_claim", "outcome_get",  "outcome_store",
};

static bool is_word_start(char byte)
{
	return isalpha((unsigned char)byte) || byte == '_' ||
	       (unsigned char)byte >= 0x80;
}

static size_t word_length(const char *text)
{
	size_t length = 0;

	while (is_word_start(text[length]) ||
	       isdigit((unsigned char)text[length]) || text[length] == '$')
		length++;
	return length;
}

/*
 * Returns the text after a string literal or a quoted name that begins at text.
 * A doubled quote does not end it. With escapes, which a literal with the
 * prefix E allows, neither does a quote after a backslash.
 */
static const char *skip_quoted(const char *text, bool escapes)
{
	char quote = *text++;

	while (*text != '\0') {
		if (escapes && text[0] == '\\' && text[1] != '\0') {
			text += 2;
		} else if (text[0] == quote && text[1] == quote) {
			text += 2;
		} else if (*text++ == quote) {
			break;
		}
	}
	return text;
}

static bool is_contract_function(const char *name, size_t length)
{
	size_t i;

	for (i = 0;
	     i < sizeof(contract_functions) / sizeof(contract_functions[0]);
	     i++) {
		if (strlen(contract_functions[i]) == length &&
		    strncasecmp(contract_functions[i], name, length) == 0)
			return true;
	}
	return false;
}

/*
 * Returns whether a statement calls a contract function by its name, quoted or
 * not. Literals and comments are skipped. A call from inside a function or a
 * block of the database is not detected; the privileges granted in the database
 * must prevent it.
 */
static bool calls_contract_function(const char *text)
{
	while (*text != '\0') {
		const char *name = text;
		size_t length = 0;

		if (*skip_blanks(text) == '\0')
			break;
		if (skip_blanks(text) != text) {
			text = skip_blanks(text);
		} else if (*text == '\'') {
			text = skip_quoted(text, false);
		} else if (*text == '"') {
			name = text + 1;
			text = skip_quoted(text, false);
			length =
				text > name + 1 ? (size_t)(text - name - 1) : 0;
		} else if (is_word_start(*text)) {
			length = word_length(text);
			text += length;
			if (length == 1 && (*name == 'E' || *name == 'e') &&
			    *text == '\'')
				text = skip_quoted(text, true);
		} else {
			text++;
		}
		if (length > 0 && *skip_blanks(text) == '(' &&
		    is_contract_function(name, length))
			return true;
	}
	return false;
}

/*
 * Returns whether a caller's statement may be sent. A statement is refused if
 * it is empty, if it calls a contract function, or if its first word
 * - controls the transaction,
 * - changes the state of the session, which the next user would inherit,
 * - runs a block whose statements can't be checked, or
 * - starts a COPY, which a pipeline does not support.
 */
bool statement_is_allowed(const char *text)
{
	static const char *const refused[] = {
		"ABORT",      "BEGIN",	 "CALL",    "COMMIT",	"COPY",
		"DEALLOCATE", "DISCARD", "DO",	    "END",	"EXECUTE",
		"LISTEN",     "PREPARE", "RELEASE", "RESET",	"ROLLBACK",
		"SAVEPOINT",  "SET",	 "START",   "UNLISTEN",
	};
	size_t length;
	size_t i;

	if (!text)
		return false;
	text = skip_blanks(text);
	length = strspn(text, "abcdefghijklmnopqrstuvwxyz"
			      "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
	for (i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		if (strlen(refused[i]) == length &&
		    strncasecmp(text, refused[i], length) == 0)
			return false;
	}
	return *text != '\0' && !calls_contract_function(text);
}
