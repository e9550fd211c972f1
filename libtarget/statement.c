#include <string.h>
#include <strings.h>

#include "connection.h"

/*
 * Returns the text after blanks, empty statements and comments. Comments
 * between slash and star nest, as in PostgreSQL.
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

/*
 * Returns whether a caller's statement may be sent: it is not empty and does
 * not begin with a word that controls the transaction, changes the state of the
 * session for its next user, or starts a COPY, which a pipeline can't hold.
 */
bool statement_allowed(const char *text)
{
	static const char *const refused[] = {
		"ABORT",      "BEGIN",	 "COMMIT", "COPY",
		"DEALLOCATE", "DISCARD", "END",	   "LISTEN",
		"PREPARE",    "RELEASE", "RESET",  "ROLLBACK",
		"SAVEPOINT",  "SET",	 "START",  "UNLISTEN",
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
	return *text != '\0';
}
