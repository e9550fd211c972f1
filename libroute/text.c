#include "route.h"

/*
 * Returns the reason of a refusal as it is sent in answers.
 */
const char *route_refusal_text(route_refusal_t reason)
{
	switch (reason) {
	case ROUTE_REFUSAL_NO_PRIMARY:
		return "no-primary";
	case ROUTE_REFUSAL_NOT_PRIMARY:
		return "not-primary";
	case ROUTE_REFUSAL_NO_QUORUM:
		return "no-quorum";
	case ROUTE_REFUSAL_AGE_NOT_PROVED:
		return "age-not-proved";
	case ROUTE_REFUSAL_TOO_OLD:
		return "too-old";
	case ROUTE_REFUSAL_POSITION_NOT_REACHED:
		return "position-not-reached";
	case ROUTE_REFUSAL_LEAVING:
		return "leaving";
	case ROUTE_REFUSAL_DEADLINE:
		return "deadline";
	case ROUTE_REFUSAL_COUNT:
		break;
	}
	return "unknown-reason";
}

/*
 * Returns a short English text for an error of this library.
 */
const char *route_error_text(int error)
{
	switch (error) {
	case ROUTE_OK:
		return "no error";
	case ROUTE_ERROR_MEMORY:
		return "out of memory";
	case ROUTE_ERROR_INVALID:
		return "invalid target";
	case ROUTE_ERROR_NO_PRIMARY:
		return "no primary is known";
	case ROUTE_ERROR_NOT_PROVED:
		return "age cannot be proved";
	default:
		return "unknown error";
	}
}
