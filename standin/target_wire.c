#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

#define SSL_REQUEST_CODE 80877103u
#define GSSENC_REQUEST_CODE 80877104u
#define CANCEL_REQUEST_CODE 80877102u
#define PROTOCOL_VERSION_3 196608u
#define STARTUP_BYTES_MAX 10000
#define TEXT_OID 25u

/* Result of handling the first message of the input. */
typedef enum {
	MESSAGE_HANDLED,
	/* The session is blocked; the message must be handled again when it no
	 * longer is. */
	MESSAGE_AGAIN,
	MESSAGE_CLOSE,
} message_status_t;

/* The unread rest of a message body. failed is set when a read needs more bytes
 * than there are. */
typedef struct {
	const unsigned char *data;
	size_t length;
	bool failed;
} reader_t;

/*
 * Reads a big-endian number of size bytes.
 */
static uint32_t read_number(reader_t *reader, size_t size)
{
	uint32_t number = 0;

	if (reader->length < size) {
		reader->failed = true;
		return 0;
	}
	reader->length -= size;
	while (size-- > 0)
		number = number << 8 | *reader->data++;
	return number;
}

/*
 * Reads a text that ends with a zero byte.
 */
static const char *read_text(reader_t *reader)
{
	const char *text = (const char *)reader->data;
	size_t length = strnlen(text, reader->length);

	if (length == reader->length) {
		reader->failed = true;
		return "";
	}
	reader->data += length + 1;
	reader->length -= length + 1;
	return text;
}

static void add_number(struct evbuffer *buffer, uint32_t number, size_t size)
{
	uint32_t big_endian = htonl(number);

	evbuffer_add(buffer, (char *)&big_endian + sizeof(big_endian) - size,
		     size);
}

static void add_text(struct evbuffer *buffer, const char *text)
{
	evbuffer_add(buffer, text, strlen(text) + 1);
}

/*
 * Adds a message of this type to the answer and empties body.
 */
static void add_message(session_t *session, char type, struct evbuffer *body)
{
	evbuffer_add(session->reply, &type, 1);
	add_number(session->reply, (uint32_t)evbuffer_get_length(body) + 4, 4);
	evbuffer_add_buffer(session->reply, body);
}

/*
 * Adds a message without a body, or with a body of one byte if value is not
 * zero.
 */
static void add_short_message(session_t *session, char type, char value)
{
	evbuffer_add(session->reply, &type, 1);
	add_number(session->reply, value ? 5 : 4, 4);
	if (value)
		evbuffer_add(session->reply, &value, 1);
}

static void add_error(session_t *session, const char *severity,
		      const char *sqlstate, const char *message,
		      const char *detail)
{
	struct evbuffer *body = evbuffer_new();
	const char *const fields[][2] = {
		{ "S", severity }, { "V", severity }, { "C", sqlstate },
		{ "M", message },  { "D", detail },
	};
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (!fields[i][1])
			continue;
		evbuffer_add(body, fields[i][0], 1);
		add_text(body, fields[i][1]);
	}
	add_number(body, 0, 1);
	add_message(session, 'E', body);
	evbuffer_free(body);
}

/*
 * Adds an error to the answer. Messages up to the next Sync are then skipped.
 */
static void fail(session_t *session, const char *sqlstate, const char *message,
		 const char *detail)
{
	add_error(session, "ERROR", sqlstate, message, detail);
	session->skipping = true;
	if (session->transaction.status == 'T')
		session->transaction.status = 'E';
}

/*
 * Adds RowDescription, or NoData for a statement without rows.
 */
static void add_columns(session_t *session, const char *columns)
{
	struct evbuffer *body;
	uint32_t count = 1;
	const char *c;

	if (*columns == '\0') {
		add_short_message(session, 'n', 0);
		return;
	}
	for (c = columns; *c != '\0'; c++)
		count += *c == ',';
	body = evbuffer_new();
	add_number(body, count, 2);
	while (*columns != '\0') {
		size_t length = strcspn(columns, ",");

		evbuffer_add(body, columns, length);
		add_number(body, 0, 1);
		add_number(body, 0, 4);
		add_number(body, 0, 2);
		add_number(body, TEXT_OID, 4);
		add_number(body, UINT16_MAX, 2);
		add_number(body, UINT32_MAX, 4);
		add_number(body, 0, 2);
		columns += length + (columns[length] == ',');
	}
	add_message(session, 'T', body);
	evbuffer_free(body);
}

static void add_rows(session_t *session, json_t *rows)
{
	struct evbuffer *body = evbuffer_new();
	size_t i;
	size_t j;
	json_t *row;
	json_t *value;

	json_array_foreach(rows, i, row) {
		add_number(body, (uint32_t)json_array_size(row), 2);
		json_array_foreach(row, j, value) {
			uint32_t length = (uint32_t)json_string_length(value);

			if (!json_is_string(value)) {
				add_number(body, UINT32_MAX, 4);
				continue;
			}
			add_number(body, length, 4);
			evbuffer_add(body, json_string_value(value), length);
		}
		add_message(session, 'D', body);
	}
	evbuffer_free(body);
}

/*
 * Sends the answer, or discards it if the session is silent.
 */
static void flush(session_t *session)
{
	if (session->silent)
		evbuffer_drain(session->reply,
			       evbuffer_get_length(session->reply));
	else
		bufferevent_write_buffer(session->bufferevent, session->reply);
}

/*
 * Completes an answer with ReadyForQuery, after the delay of the fault
 * delay_answer_ms.
 */
static message_status_t finish_answer(session_t *session)
{
	clock_ms_t delay_ms = session->standin->faults.delay_answer_ms;

	if (delay_ms > 0 && !session->delay_over) {
		session_block(session, delay_ms);
		return MESSAGE_AGAIN;
	}
	add_short_message(session, 'Z', session->transaction.status);
	flush(session);
	session->skipping = false;
	return MESSAGE_HANDLED;
}

/*
 * Executes text with the bound parameters and adds the rows to the answer. If
 * describe is true, a description of the columns comes first.
 */
static message_status_t run(session_t *session, const char *text, bool describe)
{
	statement_t statement;
	result_t result;
	execute_status_t status;

	if (!sql_parse(text, session->parameters, session->parameter_count,
		       &statement)) {
		fail(session, "42601", "syntax error or unknown statement",
		     NULL);
		return MESSAGE_HANDLED;
	}
	status = execute(session, &statement, &result);
	switch (status) {
	case EXECUTE_AGAIN:
		break;
	case EXECUTE_ERROR:
		fail(session, result.error.sqlstate, result.error.message,
		     result.error.detail);
		break;
	case EXECUTE_DONE: {
		struct evbuffer *body = evbuffer_new();

		if (describe)
			add_columns(session, statement.columns);
		add_rows(session, result.rows);
		add_text(body, result.tag);
		add_message(session, 'C', body);
		evbuffer_free(body);
		break;
	}
	}
	result_free(&result);
	sql_free(&statement);
	return status == EXECUTE_AGAIN ? MESSAGE_AGAIN : MESSAGE_HANDLED;
}

static void clear_parameters(session_t *session)
{
	while (session->parameter_count > 0)
		free(session->parameters[--session->parameter_count]);
}

/*
 * Handles Parse, which sets the text of the unnamed statement.
 */
static message_status_t handle_parse(session_t *session, reader_t *reader)
{
	const char *name = read_text(reader);
	const char *text = read_text(reader);

	if (reader->failed)
		return MESSAGE_CLOSE;
	if (*name != '\0') {
		fail(session, "0A000", "named statements are not supported",
		     NULL);
		return MESSAGE_HANDLED;
	}
	free(session->text);
	session->text = strdup(text);
	clear_parameters(session);
	add_short_message(session, '1', 0);
	return MESSAGE_HANDLED;
}

/*
 * Handles Bind, which sets the parameters. Only text format is supported.
 */
static message_status_t handle_bind(session_t *session, reader_t *reader)
{
	uint32_t count;
	uint32_t i;

	read_text(reader);
	read_text(reader);
	count = read_number(reader, 2);
	for (i = 0; i < count; i++) {
		if (read_number(reader, 2) != 0)
			return MESSAGE_CLOSE;
	}
	count = read_number(reader, 2);
	if (reader->failed || count > STANDIN_ARGUMENTS_MAX)
		return MESSAGE_CLOSE;
	clear_parameters(session);
	for (i = 0; i < count; i++) {
		uint32_t length = read_number(reader, 4);
		char *value = NULL;

		if (length != UINT32_MAX) {
			if (reader->failed || length > reader->length)
				return MESSAGE_CLOSE;
			value = strndup((const char *)reader->data, length);
			reader->data += length;
			reader->length -= length;
		}
		session->parameters[session->parameter_count++] = value;
	}
	add_short_message(session, '2', 0);
	return MESSAGE_HANDLED;
}

/*
 * Handles Describe of the unnamed portal.
 */
static message_status_t handle_describe(session_t *session)
{
	statement_t statement;

	if (!session->text ||
	    !sql_parse(session->text, session->parameters,
		       session->parameter_count, &statement)) {
		fail(session, "42601", "syntax error or unknown statement",
		     NULL);
		return MESSAGE_HANDLED;
	}
	add_columns(session, statement.columns);
	sql_free(&statement);
	return MESSAGE_HANDLED;
}

/*
 * Handles Query, whose text is one statement without parameters.
 */
static message_status_t handle_query(session_t *session, reader_t *reader)
{
	const char *text = read_text(reader);
	message_status_t status = MESSAGE_HANDLED;

	if (reader->failed)
		return MESSAGE_CLOSE;
	clear_parameters(session);
	/* A reply that isn't empty is of a statement that was executed and
	 * whose answer is delayed; it isn't executed again. */
	if (evbuffer_get_length(session->reply) == 0) {
		status = run(session, text, true);
		if (status != MESSAGE_HANDLED)
			return status;
		session->delay_over = false;
	}
	return finish_answer(session);
}

static message_status_t handle_message(session_t *session, char type,
				       reader_t *reader)
{
	if (session->skipping && type != 'S' && type != 'X')
		return MESSAGE_HANDLED;
	switch (type) {
	case 'P':
		return handle_parse(session, reader);
	case 'B':
		return handle_bind(session, reader);
	case 'D':
		return handle_describe(session);
	case 'E':
		return session->text ? run(session, session->text, false)
				     : MESSAGE_CLOSE;
	case 'C':
		add_short_message(session, '3', 0);
		return MESSAGE_HANDLED;
	case 'H':
		flush(session);
		return MESSAGE_HANDLED;
	case 'S':
		return finish_answer(session);
	case 'Q':
		return handle_query(session, reader);
	default:
		return MESSAGE_CLOSE;
	}
}

static void add_parameter(session_t *session, const char *name,
			  const char *value)
{
	struct evbuffer *body = evbuffer_new();

	add_text(body, name);
	add_text(body, value);
	add_message(session, 'S', body);
	evbuffer_free(body);
}

/*
 * Answers the startup message after the delay of the fault connect_ms, or
 * refuses a connection above the limit.
 */
static message_status_t start_client(session_t *session)
{
	standin_t *standin = session->standin;
	clock_ms_t delay_ms = standin->faults.connect_ms;
	struct evbuffer *body;

	if (delay_ms > 0 && !session->delay_over) {
		session_block(session, delay_ms);
		return MESSAGE_AGAIN;
	}
	if (standin->connections >= standin->connections_max) {
		standin->refused++;
		add_error(session, "FATAL", "53300", "too many connections",
			  NULL);
		flush(session);
		return MESSAGE_CLOSE;
	}
	session->phase = SESSION_CLIENT;
	session->counted = true;
	standin->connections++;
	standin->accepted++;
	if (standin->connections > standin->connections_peak)
		standin->connections_peak = standin->connections;

	body = evbuffer_new();
	add_number(body, 0, 4);
	add_message(session, 'R', body);
	add_parameter(session, "server_version", "15.0");
	add_parameter(session, "client_encoding", "UTF8");
	add_parameter(session, "standard_conforming_strings", "on");
	add_number(body, 1, 4);
	add_number(body, 1, 4);
	add_message(session, 'K', body);
	evbuffer_free(body);
	add_short_message(session, 'Z', 'I');
	flush(session);
	return MESSAGE_HANDLED;
}

static message_status_t handle_startup(session_t *session, reader_t *reader)
{
	switch (read_number(reader, 4)) {
	case SSL_REQUEST_CODE:
	case GSSENC_REQUEST_CODE:
		evbuffer_add(session->reply, "N", 1);
		flush(session);
		return MESSAGE_HANDLED;
	case PROTOCOL_VERSION_3:
		return start_client(session);
	case REPLICATION_CODE:
		session->phase = SESSION_REPLICA;
		return MESSAGE_HANDLED;
	case CANCEL_REQUEST_CODE:
	default:
		return MESSAGE_CLOSE;
	}
}

/*
 * Called when all output of a closing session has been written.
 */
static void on_flushed(struct bufferevent *bufferevent, void *context)
{
	(void)bufferevent;
	session_free(context);
}

static void on_connection_end(struct bufferevent *bufferevent, short events,
			      void *context)
{
	(void)bufferevent;
	(void)events;
	session_free(context);
}

/*
 * Closes a session after its output has been written.
 */
static void close_after_flush(session_t *session)
{
	session->closing = true;
	if (evbuffer_get_length(bufferevent_get_output(session->bufferevent)) ==
	    0) {
		session_free(session);
		return;
	}
	bufferevent_disable(session->bufferevent, EV_READ);
	bufferevent_setcb(session->bufferevent, NULL, on_flushed,
			  on_connection_end, session);
}

/*
 * Handles the messages in the input until one of them blocks the session.
 *
 * When a client has closed its connection, the messages that it sent before are
 * still handled, as by a server that notices the end of the stream only after
 * reading all data. So a commit may take effect after its client gave up.
 */
static void handle_input(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bufferevent);

	while (!session->blocked) {
		size_t header = session->phase == SESSION_STARTUP ? 4 : 5;
		size_t size;
		unsigned char *data;
		reader_t reader;
		message_status_t status;

		if (session->silent)
			evbuffer_drain(input, evbuffer_get_length(input));
		if (session->phase == SESSION_REPLICA) {
			replication_read(session);
			return;
		}
		if (evbuffer_get_length(input) < header)
			break;
		data = evbuffer_pullup(input, (ev_ssize_t)header);
		reader = (reader_t){ data + header - 4, 4, false };
		size = read_number(&reader, 4);
		if (size < 4 || size > (session->phase == SESSION_STARTUP
						? STARTUP_BYTES_MAX
						: STANDIN_MESSAGE_BYTES_MAX)) {
			session_free(session);
			return;
		}
		size += header - 4;
		if (evbuffer_get_length(input) < size)
			break;
		data = evbuffer_pullup(input, (ev_ssize_t)size);
		reader = (reader_t){ data + header, size - header, false };
		if (session->phase == SESSION_STARTUP)
			status = handle_startup(session, &reader);
		else
			status =
				handle_message(session, (char)data[0], &reader);
		if (status == MESSAGE_CLOSE) {
			close_after_flush(session);
			return;
		}
		if (status == MESSAGE_HANDLED) {
			evbuffer_drain(input, size);
			event_del(session->timer);
			session->delay_over = false;
		}
	}
	if (session->closing && !session->blocked)
		session_free(session);
}

static void on_readable(struct bufferevent *bufferevent, void *context)
{
	(void)bufferevent;
	handle_input(context);
}

static void on_event(struct bufferevent *bufferevent, short events,
		     void *context)
{
	session_t *session = context;

	(void)bufferevent;
	if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	session->closing = true;
	if (session->phase != SESSION_CLIENT)
		session_free(session);
	else
		handle_input(session);
}

static void on_timer(evutil_socket_t fd, short events, void *context)
{
	session_t *session = context;

	(void)fd;
	(void)events;
	session->blocked = false;
	session->delay_over = true;
	handle_input(session);
}

/*
 * Blocks the session for delay_ms. Then the first message of its input is
 * handled again, with session->delay_over set.
 */
void session_block(session_t *session, clock_ms_t delay_ms)
{
	struct timeval delay = { .tv_sec = delay_ms / 1000,
				 .tv_usec = delay_ms % 1000 * 1000 };

	session->blocked = true;
	event_add(session->timer, &delay);
}

static void on_resume(evutil_socket_t fd, short events, void *context)
{
	standin_t *standin = context;
	session_t *session;
	session_t *next;

	(void)fd;
	(void)events;
	for (session = TAILQ_FIRST(&standin->sessions); session;
	     session = next) {
		next = TAILQ_NEXT(session, link);
		if (session->awaits_position && session->blocked) {
			session->blocked = false;
			handle_input(session);
		}
	}
}

/*
 * Makes the sessions that are blocked by group_wait() check their log points
 * again, from the event loop.
 */
void sessions_resume_waiting(standin_t *standin)
{
	static const struct timeval at_once = { 0, 0 };
	session_t *session;

	TAILQ_FOREACH(session, &standin->sessions, link) {
		if (session->awaits_position) {
			event_base_once(standin->base, -1, EV_TIMEOUT,
					on_resume, standin, &at_once);
			return;
		}
	}
}

/*
 * Stops or resumes reading and writing according to the faults cut_in and
 * cut_out.
 */
void session_apply_cut(session_t *session)
{
	const faults_t *faults = &session->standin->faults;

	if (faults->cut_in)
		bufferevent_disable(session->bufferevent, EV_READ);
	else if (!session->closing)
		bufferevent_enable(session->bufferevent, EV_READ);
	if (faults->cut_out)
		bufferevent_disable(session->bufferevent, EV_WRITE);
	else
		bufferevent_enable(session->bufferevent, EV_WRITE);
}

/*
 * Creates a session for an accepted connection. Returns NULL without memory.
 */
session_t *session_new(standin_t *standin, evutil_socket_t fd)
{
	session_t *session = calloc(1, sizeof(*session));
	int on = 1;

	if (!session)
		return NULL;
	/* Otherwise small log entries would wait for TCP acknowledgements. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	session->standin = standin;
	session->transaction.status = 'I';
	session->reply = evbuffer_new();
	session->timer = evtimer_new(standin->base, on_timer, session);
	session->bufferevent = bufferevent_socket_new(standin->base, fd,
						      BEV_OPT_CLOSE_ON_FREE);
	TAILQ_INSERT_TAIL(&standin->sessions, session, link);
	bufferevent_setcb(session->bufferevent, on_readable, NULL, on_event,
			  session);
	session_apply_cut(session);
	return session;
}

/*
 * Closes the connection, rolls back its transaction and frees the session.
 */
void session_free(session_t *session)
{
	if (session->counted)
		session->standin->connections--;
	TAILQ_REMOVE(&session->standin->sessions, session, link);
	transaction_reset(&session->transaction);
	clear_parameters(session);
	free(session->text);
	event_free(session->timer);
	evbuffer_free(session->reply);
	bufferevent_free(session->bufferevent);
	free(session);
}
