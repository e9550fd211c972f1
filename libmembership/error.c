#include "membership.h"

/*
 * Returns the name of a state.
 */
const char *membership_state_text(membership_state_t state)
{
	switch (state) {
	case MEMBERSHIP_STATE_ALIVE:
		return "alive";
	case MEMBERSHIP_STATE_SUSPECT:
		return "suspect";
	case MEMBERSHIP_STATE_LEAVING:
		return "leaving";
	case MEMBERSHIP_STATE_DEAD:
		return "dead";
	}
	return "unknown";
}

/*
 * Returns a short English text for an error of this library.
 */
const char *membership_error_text(int error)
{
	switch (error) {
	case MEMBERSHIP_OK:
		return "no error";
	case MEMBERSHIP_ERROR_MEMORY:
		return "out of memory";
	case MEMBERSHIP_ERROR_FULL:
		return "too many members or seeds";
	case MEMBERSHIP_ERROR_INVALID:
		return "invalid member or address";
	case MEMBERSHIP_ERROR_NO_OWNER:
		return "no live member";
	default:
		return "unknown error";
	}
}
