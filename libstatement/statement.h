#ifndef HORNBEAMTACK_STATEMENT_H
#define HORNBEAMTACK_STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

/* A point in the log of a group: the commit counted by number in its term.
 * Ordered by term first. Unlike group_point_t it counts commits, not bytes. */
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

/* A statement of a caller. Texts point into the decoded message. */
typedef struct {
	statement_kind_t kind;
	/* The caller's id of this statement. */
	const char *id;
	/* The statement as the caller sent it. */
	const char *text;
	/* Name of a session value or of a prepared statement. */
	const char *name;
	/* Value of SET; item and data of EXECUTE, as sent. */
	const char *value;
	/* Shape of PREPARE. */
	const char *statement_template;
	/* PREPARE of a statement that writes. */
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
		} startup;
		statement_t statement;
		struct {
			/* Id of a malformed statement; NULL if unreadable. */
			const char *id;
		} malformed;
	} u;
} caller_message_t;

/* What a statement ended with, other than success. */
typedef enum {
	/* The first six promise that nothing is kept. */
	STATEMENT_ERROR_BUSY,
	STATEMENT_ERROR_ABORTED,
	STATEMENT_ERROR_LAGGING,
	STATEMENT_ERROR_READ_ONLY,
	STATEMENT_ERROR_MOVED,
	STATEMENT_ERROR_CONNECTION_LIMIT,
	/* The outcome is not known. */
	STATEMENT_ERROR_UNKNOWN_OUTCOME,
	STATEMENT_ERROR_TIMEOUT,
	/* It ran and failed. */
	STATEMENT_ERROR_FAILED,
	STATEMENT_ERROR_NO_DATABASE,
	STATEMENT_ERROR_MALFORMED,
	STATEMENT_ERROR_NO_STATEMENT,
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

/* A target's account of itself. */
typedef struct {
	bool is_primary;
	uint64_t term;
	/* What it has received, and what it has applied. */
	log_position_t received;
	clock_ms_t lag_ms;
} target_status_t;

int log_position_compare(log_position_t a, log_position_t b);
log_position_t log_position_max(log_position_t a, log_position_t b);
const char *statement_error_name(statement_error_t error);
/* Tells whether the error states that nothing was kept. */
bool statement_error_guarantees_no_effect(statement_error_t error);

#endif
