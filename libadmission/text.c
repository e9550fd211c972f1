#include "admission.h"

/*
 * Returns the reason of a refusal as it is sent in answers.
 */
const char *admission_refusal_text(admission_refusal_t reason)
{
	switch (reason) {
	case ADMISSION_REFUSAL_QUEUE_FULL:
		return "queue-full";
	case ADMISSION_REFUSAL_DEADLINE:
		return "deadline-unreachable";
	case ADMISSION_REFUSAL_DRAINING:
		return "draining";
	case ADMISSION_REFUSAL_TRANSACTIONS:
		return "transactions";
	case ADMISSION_REFUSAL_COUNT:
		break;
	}
	return "unknown-reason";
}

/*
 * Returns a short English text for an error of this library.
 */
const char *admission_error_text(int error)
{
	switch (error) {
	case ADMISSION_OK:
		return "no error";
	case ADMISSION_ERROR_MEMORY:
		return "out of memory";
	case ADMISSION_ERROR_UNKNOWN_ID:
		return "no queued statement with this id";
	case ADMISSION_ERROR_TRANSACTIONS:
		return "too many open transactions";
	default:
		return "unknown error";
	}
}
