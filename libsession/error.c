#include "session.h"

/*
 * Returns a short English text for an error of this library.
 */
const char *session_error_text(int error)
{
	switch (error) {
	case SESSION_OK:
		return "no error";
	case SESSION_ERROR_TOO_LONG:
		return "token too long";
	case SESSION_ERROR_ENCODING:
		return "token is not base64url";
	case SESSION_ERROR_SIGNATURE:
		return "token signature does not match";
	case SESSION_ERROR_VERSION:
		return "unknown token version";
	case SESSION_ERROR_MALFORMED:
		return "malformed token";
	case SESSION_ERROR_FULL:
		return "too many services in token";
	case SESSION_ERROR_CRYPTO:
		return "cryptographic library failed";
	case SESSION_ERROR_BUFFER:
		return "buffer too small for token";
	default:
		return "unknown error";
	}
}
