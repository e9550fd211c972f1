#ifndef HORNBEAMTACK_STATEMENT_H
#define HORNBEAMTACK_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

/* A position in the log of a group: a term, and the number of the commit in
 * that term. Positions are ordered by term first. Unlike group_point_t, a
 * position counts commits, not bytes. */
typedef struct {
	uint64_t term;
	uint64_t number;
} log_position_t;

typedef enum {
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ_ONLY,
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_EXECUTE,
	STATEMENT_DEALLOCATE,
} statement_kind_t;

/* A statement of a caller. Strings point into the decoded message. */
typedef struct {
	statement_kind_t kind;
	/* The caller's id of this statement. */
	const char *id;
	/* The statement as the caller sent it. */
	const char *text;
	/* Name of a session value (SET) or of a prepared statement. */
	const char *name;
	/* Value for SET; item and data for EXECUTE, as sent. */
	const char *value;
	/* Template that PREPARE defines. */
	const char *statement_template;
	/* The statement that PREPARE defines is a write. */
	bool prepares_write;
} statement_t;

typedef enum {
	CALLER_MESSAGE_STARTUP,
	CALLER_MESSAGE_STATEMENT,
	CALLER_MESSAGE_TERMINATE,
	CALLER_MESSAGE_MALFORMED,
} caller_message_kind_t;

typedef struct {
	caller_message_kind_t kind;
	union {
		struct {
			const char *database;
			/* Key by which the caller identifies itself; NULL if
			 * it sent none. */
			const char *key;
		} startup;
		statement_t statement;
		struct {
			/* Id of the statement; NULL if it could not be read. */
			const char *id;
		} malformed;
	} u;
} caller_message_t;

/* How a statement ended without success. */
typedef enum {
	/* The first six guarantee that the operation has had no effect. */
	STATEMENT_ERROR_BUSY,
	STATEMENT_ERROR_ABORTED,
	STATEMENT_ERROR_LAGGING,
	STATEMENT_ERROR_READ_ONLY,
	STATEMENT_ERROR_MOVED,
	STATEMENT_ERROR_CONNECTION_LIMIT,
	/* The outcome is not known. */
	STATEMENT_ERROR_UNKNOWN_OUTCOME,
	STATEMENT_ERROR_TIMEOUT,
	/* The statement itself failed. */
	STATEMENT_ERROR_FAILED,
	STATEMENT_ERROR_NO_DATABASE,
	STATEMENT_ERROR_MALFORMED,
	STATEMENT_ERROR_NO_STATEMENT,
	/* The caller's key is unknown or withdrawn. */
	STATEMENT_ERROR_DENIED,
	STATEMENT_ERROR_COUNT,
} statement_error_t;

typedef enum {
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	TRANSACTION_FAILED,
} transaction_state_t;

typedef enum {
	TARGET_MESSAGE_READY,
	TARGET_MESSAGE_ROW,
	TARGET_MESSAGE_COMPLETE,
	TARGET_MESSAGE_ERROR,
	TARGET_MESSAGE_MALFORMED,
} target_message_kind_t;

typedef struct {
	target_message_kind_t kind;
	union {
		struct {
			transaction_state_t state;
			bool has_position;
			log_position_t position;
		} ready;
		struct {
			const char *text;
		} row;
		struct {
			const char *signature;
		} complete;
		struct {
			statement_error_t error;
			const char *text;
		} error;
	} u;
} target_message_t;

/* Status that a target reports about itself. */
typedef struct {
	bool is_primary;
	uint64_t term;
	/* End of the log that the target has received. */
	log_position_t received;
	/* Time by which the target lags behind the primary. */
	clock_ms_t lag_ms;
} target_status_t;

int log_position_compare(log_position_t a, log_position_t b);
log_position_t log_position_max(log_position_t a, log_position_t b);
const char *statement_error_name(statement_error_t error);
bool statement_error_guarantees_no_effect(statement_error_t error);

#endif
