#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "http.h"

/*
 * Returns true if the name of a header has a blank, as before the colon: other
 * readers of the message may take it for the header without the blank.
 */
static bool has_blank(const char *name)
{
	return strpbrk(name, " \t") != NULL;
}

/*
 * Returns true if the headers of a message allow only one reading of where its
 * body ends: by one length in decimal digits, or by chunks, or by neither.
 * evhttp takes the first of several lengths, accepts a sign before it, and
 * ignores a header whose name ends with a blank.
 */
bool http_headers_are_unambiguous(const struct evkeyvalq *headers)
{
	const struct evkeyval *header;
	uint32_t lengths = 0;
	uint32_t encodings = 0;

	TAILQ_FOREACH(header, headers, next) {
		if (has_blank(header->key))
			return false;
		if (strcasecmp(header->key, "Content-Length") == 0) {
			lengths++;
			if (header->value[0] == '\0' ||
			    strspn(header->value, "0123456789") !=
				    strlen(header->value))
				return false;
		}
		if (strcasecmp(header->key, "Transfer-Encoding") == 0) {
			encodings++;
			if (strcasecmp(header->value, "chunked") != 0)
				return false;
		}
	}
	return lengths + encodings <= 1;
}
