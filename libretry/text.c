#include "retry.h"

/*
 * Returns the name of an outcome in answers to callers.
 */
const char *retry_outcome_text(retry_outcome_t outcome)
{
	switch (outcome) {
	case RETRY_OUTCOME_DONE:
		return "done";
	case RETRY_OUTCOME_NOT_RUN:
		return "not-run";
	case RETRY_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

/*
 * Returns a short English text for an error of this library.
 */
const char *retry_error_text(int error)
{
	switch (error) {
	case RETRY_OK:
		return "no error";
	case RETRY_ERROR_MEMORY:
		return "out of memory";
	case RETRY_ERROR_EXHAUSTED:
		return "the retry budget is exhausted";
	default:
		return "unknown error";
	}
}
