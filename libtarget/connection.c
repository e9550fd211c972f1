#include "connection.h"

#include <inttypes.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct connection {
	struct event_base *base;
	PGconn *pg;
	struct event *readable;
	struct event *writable;
	connection_handler_t handler;
	void *context;
	bool established;
	/* A pipeline was sent and its answer is not yet complete. */
	bool busy;
	step_kind_t steps[CONNECTION_STEPS_MAX];
	uint32_t step_count;
	/* Index of the step whose results are being received. */
	uint32_t step;
	/* Bytes that the socket had received when the pipeline was sent. */
	uint64_t received_before;
};

/*
 * Appends a statement to a pipeline, without arguments so far. The caller must
 * not add more than CONNECTION_STEPS_MAX statements.
 */
void pipeline_add(pipeline_t *pipeline, step_kind_t kind, const char *text)
{
	step_t *step = &pipeline->steps[pipeline->count++];

	step->kind = kind;
	step->text = text;
	step->argument_count = 0;
}

/*
 * Adds a text argument to the last statement of a pipeline. The text must stay
 * valid until the pipeline is sent.
 */
void pipeline_add_text(pipeline_t *pipeline, const char *argument)
{
	step_t *step = &pipeline->steps[pipeline->count - 1];

	step->arguments[step->argument_count++] = argument;
}

/*
 * Adds a number argument to the last statement of a pipeline, which keeps the
 * decimal text of the number itself.
 */
void pipeline_add_number(pipeline_t *pipeline, uint64_t argument)
{
	step_t *step = &pipeline->steps[pipeline->count - 1];
	char *text = step->numbers[step->argument_count];

	snprintf(text, CONNECTION_NUMBER_SIZE, "%" PRIu64, argument);
	step->arguments[step->argument_count++] = text;
}

/*
 * Returns the number of bytes that the socket has received since it was opened,
 * as counted by the kernel, or 0 if it can't be read.
 */
static uint64_t received_bytes(const connection_t *connection)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	if (getsockopt(PQsocket(connection->pg), IPPROTO_TCP, TCP_INFO, &info,
		       &size) != 0)
		return 0;
	return info.tcpi_bytes_received;
}

/*
 * Calls the owner's event handler. The handler may free the connection, so the
 * connection must not be used after this function returns.
 */
static void call_handler(connection_t *connection, connection_event_t event,
			 int error)
{
	connection->handler.event(connection->context, event, error);
}

/*
 * Stops watching the socket and reports that the connection failed. The handler
 * may free the connection.
 */
static void fail(connection_t *connection, int error)
{
	connection->busy = false;
	event_del(connection->readable);
	event_del(connection->writable);
	call_handler(connection, CONNECTION_EVENT_FAILED, error);
}

/*
 * Passes all complete results to the handler, and reports the end of the
 * pipeline or an unexpected result as an event. Returns false after an event,
 * because its handler may have freed the connection.
 */
static bool process_results(connection_t *connection)
{
	while (connection->busy && !PQisBusy(connection->pg)) {
		PGresult *result = PQgetResult(connection->pg);
		ExecStatusType status;

		if (!result) {
			/* NULL ends the results of one statement. */
			if (++connection->step > connection->step_count) {
				fail(connection, TARGET_ERROR_PROTOCOL);
				return false;
			}
			continue;
		}
		status = PQresultStatus(result);
		if (status == PGRES_PIPELINE_SYNC) {
			PQclear(result);
			connection->busy = false;
			call_handler(connection, CONNECTION_EVENT_FINISHED,
				     TARGET_OK);
			return false;
		}
		if (PQstatus(connection->pg) != CONNECTION_OK) {
			PQclear(result);
			fail(connection, TARGET_ERROR_LOST);
			return false;
		}
		if (connection->step >= connection->step_count ||
		    (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK &&
		     status != PGRES_FATAL_ERROR &&
		     status != PGRES_PIPELINE_ABORTED)) {
			PQclear(result);
			fail(connection, TARGET_ERROR_PROTOCOL);
			return false;
		}
		if (status != PGRES_PIPELINE_ABORTED)
			connection->handler.result(
				connection->context,
				connection->steps[connection->step], result);
		PQclear(result);
	}
	return true;
}

/*
 * Sends the data that libpq has buffered. If the socket does not accept all of
 * it, the rest is sent once the socket is writable.
 */
static void flush(connection_t *connection)
{
	switch (PQflush(connection->pg)) {
	case 0:
		break;
	case 1:
		event_add(connection->writable, NULL);
		break;
	default:
		/* read_input() finds and reports the lost connection. */
		event_active(connection->readable, EV_READ, 0);
		break;
	}
}

/*
 * Reads the input of an established connection and processes the results that
 * it completes. The connection fails if it was lost or if the answer exceeds
 * TARGET_ANSWER_BYTES_MAX.
 */
static void read_input(connection_t *connection)
{
	bool alive = PQconsumeInput(connection->pg) != 0;

	if (!process_results(connection))
		return;
	if (!alive || PQstatus(connection->pg) != CONNECTION_OK) {
		fail(connection, TARGET_ERROR_LOST);
		return;
	}
	if (connection->busy &&
	    received_bytes(connection) - connection->received_before >
		    TARGET_ANSWER_BYTES_MAX) {
		fail(connection, CONNECTION_ERROR_TOO_LARGE);
		return;
	}
	flush(connection);
}

static void on_socket(evutil_socket_t fd, short events, void *context);

/*
 * Sets the events of the socket to wait for. The events are assigned anew each
 * time, because libpq may replace the socket in each step of connecting.
 */
static void watch(connection_t *connection, bool reading, bool writing)
{
	int fd = PQsocket(connection->pg);

	event_del(connection->readable);
	event_del(connection->writable);
	event_assign(connection->readable, connection->base, fd,
		     EV_READ | EV_PERSIST, on_socket, connection);
	event_assign(connection->writable, connection->base, fd, EV_WRITE,
		     on_socket, connection);
	if (reading)
		event_add(connection->readable, NULL);
	if (writing)
		event_add(connection->writable, NULL);
}

/*
 * Advances the establishment of the connection by one step, and reports READY
 * or CONNECT_FAILED when it ends.
 */
static void connect_step(connection_t *connection)
{
	/* SQLSTATE too_many_connections. libpq gives the SQLSTATE of a refused
	 * connection only as part of the verbose message. */
	static const char limit_text[] = " 53300:";

	switch (PQconnectPoll(connection->pg)) {
	case PGRES_POLLING_READING:
		watch(connection, true, false);
		return;
	case PGRES_POLLING_WRITING:
		watch(connection, false, true);
		return;
	case PGRES_POLLING_OK:
		if (PQsetnonblocking(connection->pg, 1) == 0 &&
		    PQenterPipelineMode(connection->pg) == 1)
			break;
		/* fall through */
	default:
		event_del(connection->readable);
		event_del(connection->writable);
		call_handler(connection, CONNECTION_EVENT_CONNECT_FAILED,
			     strstr(PQerrorMessage(connection->pg), limit_text)
				     ? TARGET_ERROR_CONNECTION_LIMIT
				     : TARGET_ERROR_CONNECT);
		return;
	}
	connection->established = true;
	watch(connection, true, false);
	call_handler(connection, CONNECTION_EVENT_READY, TARGET_OK);
}

static void on_socket(evutil_socket_t fd, short events, void *context)
{
	connection_t *connection = context;

	(void)fd;
	if (!connection->established)
		connect_step(connection);
	else if (events & EV_WRITE)
		flush(connection);
	else
		read_input(connection);
}

/*
 * Starts to connect to a target, without blocking. The handler later gets READY
 * or CONNECT_FAILED from the event loop, never from inside this function.
 * Returns NULL if there is no memory.
 */
connection_t *connection_new(struct event_base *base,
			     const target_endpoint_t *endpoint,
			     const connection_handler_t *handler, void *context)
{
	char port[8];
	const char *const keywords[] = { "hostaddr",
					 "port",
					 "user",
					 "dbname",
					 "sslmode",
					 "gssencmode",
					 "client_encoding",
					 "application_name",
					 "options",
					 NULL };
	const char *const values[] = { endpoint->address,
				       port,
				       endpoint->user,
				       endpoint->database,
				       "disable",
				       "disable",
				       "UTF8",
				       "hornbeamtack",
				       "",
				       NULL };
	connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	snprintf(port, sizeof(port), "%u", endpoint->port);
	connection->base = base;
	connection->handler = *handler;
	connection->context = context;
	connection->pg = PQconnectStartParams(keywords, values, 0);
	connection->readable = event_new(base, -1, 0, on_socket, connection);
	connection->writable = event_new(base, -1, 0, on_socket, connection);
	if (!connection->pg || !connection->readable || !connection->writable) {
		connection_free(connection);
		return NULL;
	}
	PQsetErrorVerbosity(connection->pg, PQERRORS_VERBOSE);
	if (PQstatus(connection->pg) == CONNECTION_BAD)
		/* connect_step() reports the error from the event loop. */
		event_active(connection->writable, EV_WRITE, 0);
	else
		watch(connection, false, true);
	return connection;
}

/*
 * Closes and frees the connection without calling its handler. NULL is allowed.
 */
void connection_free(connection_t *connection)
{
	if (!connection)
		return;
	if (connection->readable)
		event_free(connection->readable);
	if (connection->writable)
		event_free(connection->writable);
	PQfinish(connection->pg);
	free(connection);
}

/*
 * Replaces the handler and its context, which gives the connection to another
 * owner.
 */
void connection_set_handler(connection_t *connection,
			    const connection_handler_t *handler, void *context)
{
	connection->handler = *handler;
	connection->context = context;
}

/*
 * Sends a pipeline. The connection must be established and have no answer
 * outstanding. The handler gets the results of each step that ran, then
 * FINISHED or FAILED.
 *
 * Returns TARGET_OK, or TARGET_ERROR_LOST if the connection can't send; the
 * connection must then be freed.
 */
int connection_send(connection_t *connection, const pipeline_t *pipeline)
{
	uint32_t i;

	connection->step_count = pipeline->count;
	connection->step = 0;
	connection->received_before = received_bytes(connection);
	for (i = 0; i < pipeline->count; i++) {
		const step_t *step = &pipeline->steps[i];

		connection->steps[i] = step->kind;
		if (PQsendQueryParams(connection->pg, step->text,
				      (int)step->argument_count, NULL,
				      step->arguments, NULL, NULL, 0) != 1)
			return TARGET_ERROR_LOST;
	}
	if (PQpipelineSync(connection->pg) != 1)
		return TARGET_ERROR_LOST;
	connection->busy = true;
	flush(connection);
	return TARGET_OK;
}

/*
 * Returns whether the connection is established, has no open transaction and no
 * answer outstanding, so that another request may use it.
 */
bool connection_is_idle(const connection_t *connection)
{
	return connection->established && !connection->busy &&
	       PQstatus(connection->pg) == CONNECTION_OK &&
	       PQtransactionStatus(connection->pg) == PQTRANS_IDLE;
}

/*
 * Returns libpq's message about the last error of the connection. The text is
 * valid until the next call for this connection.
 */
const char *connection_error_message(const connection_t *connection)
{
	return PQerrorMessage(connection->pg);
}
