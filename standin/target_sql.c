#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "standin/target.h"

#define STATUS_COLUMNS                                                       \
	"name,role,log_term,promised_term,position,applied,primary,history," \
	"leaving"

/* A statement that the stand-in knows. */
typedef struct {
	kind_t kind;
	/* Tokens separated by blanks; "?" matches a literal or a parameter. */
	const char *pattern;
	const char *columns;
} pattern_t;

static const pattern_t patterns[] = {
	{ KIND_BEGIN, "BEGIN", "" },
	{ KIND_BEGIN_READ_ONLY, "BEGIN READ ONLY", "" },
	{ KIND_COMMIT, "COMMIT", "" },
	{ KIND_ROLLBACK, "ROLLBACK", "" },
	{ KIND_INSERT, "INSERT INTO records VALUES ( ? , ? )", "" },
	{ KIND_UPDATE, "UPDATE records SET value = ? WHERE id = ?", "" },
	{ KIND_ADD, "UPDATE records SET value = value + ? WHERE id = ?", "" },
	{ KIND_ADD,
	  "UPDATE records SET value = value + ? WHERE id = ? RETURNING value",
	  "value" },
	{ KIND_SELECT_ONE, "SELECT value FROM records WHERE id = ?", "value" },
	{ KIND_SELECT_ALL, "SELECT id , value FROM records", "id,value" },
	{ KIND_SLEEP, "SELECT pg_sleep ( ? )", "pg_sleep" },
	{ KIND_STATUS, "SELECT * FROM group_status ( )", STATUS_COLUMNS },
	{ KIND_WAIT, "SELECT * FROM group_wait ( ? , ? , ? )", STATUS_COLUMNS },
	{ KIND_FENCE, "SELECT * FROM group_fence ( ? , ? )", STATUS_COLUMNS },
	{ KIND_PROMOTE, "SELECT * FROM group_promote ( ? , ? )",
	  STATUS_COLUMNS },
	{ KIND_FOLLOW, "SELECT * FROM group_follow ( ? , ? )", STATUS_COLUMNS },
	{ KIND_GUARD, "SELECT * FROM group_guard ( ? )", "group_guard" },
	{ KIND_POSITION_CHECK, "SELECT * FROM group_check ( ? , ? )",
	  "group_check" },
	{ KIND_OUTCOME_CLAIM, "SELECT * FROM outcome_claim ( ? , ? )",
	  "outcome_claim" },
	{ KIND_OUTCOME_STORE, "SELECT * FROM outcome_store ( ? )",
	  "outcome_store" },
	{ KIND_OUTCOME_GET, "SELECT * FROM outcome_get ( ? )",
	  "state,result,term,position" },
	{ KIND_OUTCOME_CANCEL, "SELECT * FROM outcome_cancel ( ? )",
	  "outcome_cancel" },
	{ KIND_POSITION, "SELECT * FROM group_position ( )", "term,position" },
};

/*
 * Returns the length of the token at the start of text, which has no leading
 * blanks.
 */
static size_t token_length(const char *text)
{
	size_t length = 0;

	if (isalnum((unsigned char)*text) || *text == '_' || *text == '$' ||
	    ((*text == '-' || *text == '.') &&
	     isdigit((unsigned char)text[1]))) {
		do {
			length++;
		} while (isalnum((unsigned char)text[length]) ||
			 text[length] == '_' || text[length] == '.');
		return length;
	}
	return *text == '\0' ? 0 : 1;
}

/*
 * Reads a quoted literal, in which two quotes stand for one, and moves *text
 * past it. Returns a copy, which the caller frees, or NULL if the closing quote
 * is missing or memory is short.
 */
static char *read_quoted(const char **text)
{
	const char *from = *text + 1;
	char *copy = malloc(strlen(from) + 1);
	char *to = copy;

	if (!copy)
		return NULL;
	while (*from != '\0' && (*from != '\'' || from[1] == '\'')) {
		if (*from == '\'')
			from++;
		*to++ = *from++;
	}
	*to = '\0';
	if (*from != '\'') {
		free(copy);
		return NULL;
	}
	*text = from + 1;
	return copy;
}

/*
 * Reads a literal or a parameter and moves *text past it. Returns a copy, which
 * the caller frees, or NULL if there is no such value.
 */
static char *read_argument(const char **text, char *const *parameters,
			   size_t parameter_count)
{
	const char *start = *text;
	size_t length;

	if (*start == '\'')
		return read_quoted(text);
	length = token_length(start);
	*text += length;
	if (*start == '$') {
		unsigned long index = strtoul(start + 1, NULL, 10);

		if (index < 1 || index > parameter_count ||
		    !parameters[index - 1])
			return NULL;
		return strdup(parameters[index - 1]);
	}
	if (!isdigit((unsigned char)*start) && *start != '-' && *start != '.')
		return NULL;
	return strndup(start, length);
}

/*
 * Returns whether text matches a pattern, and fills in the arguments of the
 * statement. The caller frees them also if the text does not match.
 */
static bool match(const char *text, const pattern_t *pattern,
		  char *const *parameters, size_t parameter_count,
		  statement_t *statement)
{
	const char *expected = pattern->pattern;
	size_t arguments = 0;

	while (true) {
		size_t expected_length = strcspn(expected, " ");
		size_t length;

		text += strspn(text, " \t\r\n;");
		if (expected_length == 0)
			return *text == '\0';
		if (*expected == '?') {
			char *argument = read_argument(&text, parameters,
						       parameter_count);

			if (!argument)
				return false;
			statement->arguments[arguments++] = argument;
		} else {
			length = token_length(text);
			if (length != expected_length ||
			    strncasecmp(text, expected, length) != 0)
				return false;
			text += length;
		}
		expected += expected_length;
		expected += strspn(expected, " ");
	}
}

/*
 * Parses one statement. Returns false if the text matches no known statement or
 * refers to a missing parameter.
 */
bool sql_parse(const char *text, char *const *parameters,
	       size_t parameter_count, statement_t *statement)
{
	size_t i;

	for (i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++) {
		memset(statement, 0, sizeof(*statement));
		if (match(text, &patterns[i], parameters, parameter_count,
			  statement)) {
			statement->kind = patterns[i].kind;
			statement->columns = patterns[i].columns;
			return true;
		}
		sql_free(statement);
	}
	return false;
}

/*
 * Frees the arguments of a statement.
 */
void sql_free(statement_t *statement)
{
	size_t i;

	for (i = 0; i < STANDIN_ARGUMENTS_MAX; i++) {
		free(statement->arguments[i]);
		statement->arguments[i] = NULL;
	}
}

/*
 * Returns the name of a kind in the counts of executed statements of GET
 * /state.
 */
const char *sql_kind_text(kind_t kind)
{
	static const char *const names[KIND_COUNT] = {
		[KIND_BEGIN] = "begin",
		[KIND_BEGIN_READ_ONLY] = "begin_read_only",
		[KIND_COMMIT] = "commit",
		[KIND_ROLLBACK] = "rollback",
		[KIND_INSERT] = "insert",
		[KIND_UPDATE] = "update",
		[KIND_ADD] = "add",
		[KIND_SELECT_ONE] = "select_one",
		[KIND_SELECT_ALL] = "select_all",
		[KIND_SLEEP] = "sleep",
		[KIND_STATUS] = "status",
		[KIND_WAIT] = "wait",
		[KIND_FENCE] = "fence",
		[KIND_PROMOTE] = "promote",
		[KIND_FOLLOW] = "follow",
		[KIND_GUARD] = "guard",
		[KIND_POSITION_CHECK] = "check",
		[KIND_OUTCOME_CLAIM] = "claim",
		[KIND_OUTCOME_STORE] = "store",
		[KIND_OUTCOME_GET] = "outcome_get",
		[KIND_OUTCOME_CANCEL] = "outcome_cancel",
		[KIND_POSITION] = "position",
	};

	return names[kind];
}
