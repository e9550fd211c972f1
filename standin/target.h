#ifndef HORNBEAMTACK_STANDIN_TARGET_H
#define HORNBEAMTACK_STANDIN_TARGET_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "libclock/clock.h"
#include "libgroup/group.h"

/*
 * Stand-in for one target of a group in tests and the demo. It speaks the
 * PostgreSQL protocol, executes a few SQL statements and the contract
 * functions, and replicates its log to the other targets. All data is in memory
 * only.
 */

#define STANDIN_MESSAGE_BYTES_MAX (4 * 1024 * 1024)
#define STANDIN_ARGUMENTS_MAX 3

typedef struct standin standin_t;
typedef struct session session_t;
typedef struct replica replica_t;

/* One commit. line is its JSON text, whose length is the entry's size in the
 * log. */
typedef struct {
	uint32_t term;
	/* Position in the log after the entry. */
	uint64_t end_bytes;
	clock_ms_t apply_at_ms;
	char *line;
} log_entry_t;

typedef struct {
	log_entry_t *entries;
	size_t count;
	size_t capacity;
	size_t applied_count;
	/* Log point at the end of each term; the last term is still open. */
	group_point_t *terms;
	size_t term_count;
	/* State from the applied entries: records by id, outcomes by key. */
	json_t *records;
	json_t *outcomes;
} log_t;

typedef enum {
	KIND_BEGIN,
	KIND_BEGIN_READ_ONLY,
	KIND_COMMIT,
	KIND_ROLLBACK,
	KIND_INSERT,
	KIND_UPDATE,
	KIND_ADD,
	KIND_SELECT_ONE,
	KIND_SELECT_ALL,
	KIND_SLEEP,
	KIND_STATUS,
	KIND_WAIT,
	KIND_FENCE,
	KIND_PROMOTE,
	KIND_FOLLOW,
	KIND_GUARD,
	KIND_POSITION_CHECK,
	KIND_OUTCOME_CLAIM,
	KIND_OUTCOME_STORE,
	KIND_OUTCOME_GET,
	KIND_OUTCOME_CANCEL,
	KIND_POSITION,
	KIND_COUNT,
} kind_t;

typedef struct {
	kind_t kind;
	/* Names of the columns, separated by commas; "" for none. */
	const char *columns;
	char *arguments[STANDIN_ARGUMENTS_MAX];
} statement_t;

typedef struct {
	char sqlstate[6];
	char *message;
	char *detail;
} sql_error_t;

typedef struct {
	/* Array of rows, each an array of strings or nulls. */
	json_t *rows;
	char tag[32];
	sql_error_t error;
} result_t;

typedef enum {
	EXECUTE_DONE,
	EXECUTE_ERROR,
	/* The session is blocked; the statement must be executed again when it
	 * no longer is. */
	EXECUTE_AGAIN,
} execute_status_t;

/* The transaction block of a session. */
typedef struct {
	/* 'I' idle, 'T' in a transaction, 'E' in a failed one. */
	char status;
	bool read_only;
	/* Term that group_guard() required, 0 without it. */
	uint32_t guard_term;
	/* Uncommitted changes. */
	json_t *records;
	json_t *outcomes;
	/* Result of the last statement on records, for outcome_store(). */
	char *last_result;
	group_point_t last_commit;
} transaction_t;

typedef enum {
	SESSION_STARTUP,
	SESSION_CLIENT,
	SESSION_REPLICA,
} session_phase_t;

struct session {
	TAILQ_ENTRY(session) link;
	standin_t *standin;
	struct bufferevent *bufferevent;
	struct evbuffer *reply;
	struct event *timer;
	session_phase_t phase;
	/* The session counts against the limit of client connections. */
	bool counted;
	/* Input is discarded and nothing is answered. */
	bool silent;
	/* The session ends once its pending input or output is handled. */
	bool closing;
	/* After an error, messages up to the next Sync are skipped. */
	bool skipping;
	/* No message is handled until the timer or a log entry resumes it. */
	bool blocked;
	/* The delay of the first message of the input is over. */
	bool delay_over;
	/* Blocked by group_wait(); an applied entry resumes it. */
	bool awaits_position;
	/* The unnamed prepared statement and its bound parameters. */
	char *text;
	char *parameters[STANDIN_ARGUMENTS_MAX];
	size_t parameter_count;
	transaction_t transaction;
	/* In phase SESSION_REPLICA: whether log entries are sent, and how many
	 * were. */
	bool streaming;
	size_t sent_count;
};

typedef struct {
	char name[GROUP_NAME_SIZE];
	struct sockaddr_storage address;
	int address_length;
} member_t;

/* Faults that are set through the control port. */
typedef struct {
	/* Delay of replication to this target. */
	clock_ms_t lag_ms;
	/* Time from appending a received log entry to applying it. */
	clock_ms_t apply_ms;
	/* Duration of a statement on records. */
	clock_ms_t service_ms;
	/* Delay of the answer to a startup message. */
	clock_ms_t connect_ms;
	/* Delay of the end of each answer. */
	clock_ms_t delay_answer_ms;
	/* Number of next commits that take effect but get no answer. */
	uint32_t drop_answers;
	/* Nothing is received, or sent. */
	bool cut_in;
	bool cut_out;
} faults_t;

struct standin {
	struct event_base *base;
	clock_source_t clock;
	char name[GROUP_NAME_SIZE];
	member_t members[GROUP_TARGETS_MAX];
	uint32_t member_count;
	uint32_t connections_max;
	faults_t faults;
	/* group_status() reports that the target is about to leave. */
	bool leaving;

	log_t log;
	group_role_t role;
	uint32_t promised_term;
	/* Coordinator that got the promise, 0 if the term came from a primary
	 * or with group_follow(). */
	uint64_t promised_to;
	/* Term of the last group_follow() or promotion. */
	uint32_t role_term;
	/* Name of the primary, empty if unknown. */
	char primary[GROUP_NAME_SIZE];
	replica_t *replica;

	TAILQ_HEAD(, session) sessions;
	uint32_t connections;
	uint32_t connections_peak;
	uint64_t refused;
	uint64_t accepted;
	uint64_t executed[KIND_COUNT];
};

/* target_wire.c: the protocol of clients. */
session_t *session_new(standin_t *standin, evutil_socket_t fd);
void session_free(session_t *session);
void session_block(session_t *session, clock_ms_t delay_ms);
void session_apply_cut(session_t *session);
void sessions_resume_waiting(standin_t *standin);

/* target_sql.c: statement texts. */
bool sql_parse(const char *text, char *const *parameters,
	       size_t parameter_count, statement_t *statement);
void sql_free(statement_t *statement);
const char *sql_kind_text(kind_t kind);

/* target_execute.c: statements and transactions. */
execute_status_t execute(session_t *session, const statement_t *statement,
			 result_t *result);
execute_status_t execute_error(result_t *result, const char *sqlstate,
			       const char *message, const char *detail);
void result_free(result_t *result);
void transaction_reset(transaction_t *transaction);

/* target_group.c: terms and roles. */
bool group_writable(const standin_t *standin);
execute_status_t group_fence(standin_t *standin, uint32_t term,
			     uint64_t coordinator, result_t *result);
execute_status_t group_promote(standin_t *standin, uint32_t term,
			       uint64_t coordinator, result_t *result);
execute_status_t group_follow(standin_t *standin, uint32_t term,
			      const char *primary, result_t *result);
void group_status_row(const standin_t *standin, json_t *rows);
bool group_applied(const standin_t *standin, group_point_t point);

/* target_log.c: the log, and the state that results from applying it. */
bool log_init(log_t *log);
void log_free(log_t *log);
bool log_append(log_t *log, const char *line, clock_ms_t apply_at_ms);
void log_apply(log_t *log, clock_ms_t now_ms);
void log_truncate(log_t *log, uint64_t position_bytes);
group_point_t log_point(const log_t *log);
uint64_t log_applied(const log_t *log);
char *log_history(const log_t *log);
uint64_t log_common(const log_t *log, json_t *segments);
json_t *log_segments(const log_t *log);

/* target_replication.c: the primary's and the replica's side of replication. */
#define REPLICATION_CODE 80877199u
bool replica_start(standin_t *standin);
void replica_stop(standin_t *standin);
void replica_restart(standin_t *standin);
void replica_apply_cut(standin_t *standin);
void replication_read(session_t *session);
void replication_send(standin_t *standin);
void replication_close(standin_t *standin);

/* target_control.c: HTTP server that sets faults and reports the state. */
struct evhttp *control_new(standin_t *standin, const char *address);

#endif
