#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/target.h"

/*
 * The replication protocol. A replica connects to the port of its primary and
 * sends REPLICATION_CODE in place of a protocol version. Then both sides send
 * lines of JSON:
 *
 *	replica: {"promised":term}
 *	primary: {"term":term,"segments":[[term,end],...]}
 *	replica: {"from":position}
 *	primary: log entries, one per line, until the connection ends
 */

/* Delay before the next attempt to connect to the primary. */
#define RECONNECT_DELAY_MS 50
#define LINE_BYTES_MAX (2 * STANDIN_MESSAGE_BYTES_MAX)

/* A received log entry. */
typedef struct pending {
	STAILQ_ENTRY(pending) link;
	clock_ms_t due_ms;
	char *line;
} pending_t;

struct replica {
	standin_t *standin;
	struct bufferevent *bufferevent;
	struct event *retry;
	struct event *advance;
	/* Index of the member to replicate from. */
	uint32_t member;
	bool streaming;
	/* Received entries, which are appended after the fault lag_ms. */
	STAILQ_HEAD(, pending) pending;
};

/*
 * Sends each replica the log entries that it has not been sent yet.
 */
void replication_send(standin_t *standin)
{
	const log_t *log = &standin->log;
	session_t *session;

	TAILQ_FOREACH(session, &standin->sessions, link) {
		while (session->streaming && session->sent_count < log->count) {
			const char *line =
				log->entries[session->sent_count++].line;

			bufferevent_write(session->bufferevent, line,
					  strlen(line));
			bufferevent_write(session->bufferevent, "\n", 1);
		}
	}
}

/*
 * Ends replication to all replicas. Their connections are closed later, from
 * the event loop.
 */
void replication_close(standin_t *standin)
{
	session_t *session;

	TAILQ_FOREACH(session, &standin->sessions, link) {
		if (session->phase != SESSION_REPLICA)
			continue;
		session->streaming = false;
		session->closing = true;
		session_block(session, 0);
	}
}

/*
 * Starts to send the entries after a position. Returns false if no entry ends
 * at that position.
 */
static bool stream_from(session_t *session, uint64_t position_bytes)
{
	const log_t *log = &session->standin->log;
	size_t i;

	for (i = 0; i < log->count; i++) {
		if (log->entries[i].end_bytes == position_bytes) {
			session->sent_count = i + 1;
			session->streaming = true;
			replication_send(session->standin);
			return true;
		}
	}
	return false;
}

/*
 * Handles one line from a replica. Returns false if the session must end: this
 * target may not commit, or the line is malformed or asks for an unknown
 * position.
 */
static bool answer_replica(session_t *session, json_t *request)
{
	standin_t *standin = session->standin;
	json_t *from = json_object_get(request, "from");
	json_t *answer;
	char *text;

	if (!request || session->closing || !group_writable(standin))
		return false;
	if (from)
		return stream_from(session, (uint64_t)json_integer_value(from));
	answer = json_pack("{s:I,s:o}", "term", (json_int_t)standin->role_term,
			   "segments", log_segments(&standin->log));
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	if (!text)
		return false;
	bufferevent_write(session->bufferevent, text, strlen(text));
	bufferevent_write(session->bufferevent, "\n", 1);
	free(text);
	return true;
}

/*
 * Handles the received lines of a replica.
 */
void replication_read(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bufferevent);
	bool valid = !session->closing;
	char *line;

	while (valid &&
	       (line = evbuffer_readln(input, NULL, EVBUFFER_EOL_LF))) {
		json_t *request = json_loads(line, 0, NULL);

		valid = answer_replica(session, request);
		json_decref(request);
		free(line);
	}
	if (!valid)
		session_free(session);
}

static void set_timer(struct event *timer, clock_ms_t delay_ms)
{
	struct timeval delay = { .tv_sec = delay_ms / 1000,
				 .tv_usec = delay_ms % 1000 * 1000 };

	event_add(timer, &delay);
}

/*
 * Closes the connection, drops the received entries that are not in the log
 * yet, and connects again after RECONNECT_DELAY_MS.
 */
static void disconnect(replica_t *replica)
{
	pending_t *pending;

	while ((pending = STAILQ_FIRST(&replica->pending))) {
		STAILQ_REMOVE_HEAD(&replica->pending, link);
		free(pending->line);
		free(pending);
	}
	if (replica->bufferevent)
		bufferevent_free(replica->bufferevent);
	replica->bufferevent = NULL;
	replica->streaming = false;
	set_timer(replica->retry, RECONNECT_DELAY_MS);
}

/*
 * Appends the received entries whose lag is over, applies the entries that are
 * due, and sets the timer for the next entry to append or apply.
 */
static void advance(replica_t *replica)
{
	standin_t *standin = replica->standin;
	log_t *log = &standin->log;
	clock_ms_t now_ms = clock_source_now(&standin->clock);
	clock_ms_t next_ms = INT64_MAX;
	pending_t *pending;
	bool valid = true;

	while (valid && (pending = STAILQ_FIRST(&replica->pending)) &&
	       pending->due_ms <= now_ms) {
		STAILQ_REMOVE_HEAD(&replica->pending, link);
		valid = log_append(log, pending->line,
				   now_ms + standin->faults.apply_ms);
		free(pending->line);
		free(pending);
	}
	log_apply(log, now_ms);
	sessions_resume_waiting(standin);
	if (!valid) {
		disconnect(replica);
		return;
	}
	if (!STAILQ_EMPTY(&replica->pending))
		next_ms = STAILQ_FIRST(&replica->pending)->due_ms;
	if (log->applied_count < log->count &&
	    log->entries[log->applied_count].apply_at_ms < next_ms)
		next_ms = log->entries[log->applied_count].apply_at_ms;
	if (next_ms != INT64_MAX)
		set_timer(replica->advance, next_ms - now_ms);
}

/*
 * Handles the primary's answer with its term and segments: accepts the term,
 * drops the part of the log after the common prefix, and requests the entries
 * from there. Returns false if the term is below the promised one.
 */
static bool start_streaming(replica_t *replica, const char *line)
{
	standin_t *standin = replica->standin;
	json_t *answer = json_loads(line, 0, NULL);
	uint32_t term =
		(uint32_t)json_integer_value(json_object_get(answer, "term"));
	uint64_t common;
	char request[64];

	if (term == 0 || term < standin->promised_term) {
		json_decref(answer);
		return false;
	}
	if (term > standin->promised_term) {
		standin->promised_term = term;
		standin->promised_to = 0;
	}
	standin->role_term = term;
	snprintf(standin->primary, sizeof(standin->primary), "%s",
		 standin->members[replica->member].name);
	common = log_common(&standin->log, json_object_get(answer, "segments"));
	json_decref(answer);
	log_truncate(&standin->log, common);
	snprintf(request, sizeof(request), "{\"from\":%llu}\n",
		 (unsigned long long)common);
	bufferevent_write(replica->bufferevent, request, strlen(request));
	replica->streaming = true;
	return true;
}

static void on_readable(struct bufferevent *bufferevent, void *context)
{
	replica_t *replica = context;
	standin_t *standin = replica->standin;
	struct evbuffer *input = bufferevent_get_input(bufferevent);
	char *line;

	while ((line = evbuffer_readln(input, NULL, EVBUFFER_EOL_LF))) {
		pending_t *pending;

		if (!replica->streaming) {
			bool started = start_streaming(replica, line);

			free(line);
			if (!started) {
				disconnect(replica);
				return;
			}
			continue;
		}
		pending = calloc(1, sizeof(*pending));
		if (!pending) {
			free(line);
			disconnect(replica);
			return;
		}
		pending->line = line;
		pending->due_ms = clock_source_now(&standin->clock) +
				  standin->faults.lag_ms;
		STAILQ_INSERT_TAIL(&replica->pending, pending, link);
	}
	if (evbuffer_get_length(input) > LINE_BYTES_MAX) {
		disconnect(replica);
		return;
	}
	advance(replica);
}

static void on_event(struct bufferevent *bufferevent, short events,
		     void *context)
{
	replica_t *replica = context;

	(void)bufferevent;
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		disconnect(replica);
}

static void on_advance(evutil_socket_t fd, short events, void *context)
{
	(void)fd;
	(void)events;
	advance(context);
}

/*
 * Connects to the primary, or to the next member while no primary is known.
 */
static void on_retry(evutil_socket_t fd, short events, void *context)
{
	replica_t *replica = context;
	standin_t *standin = replica->standin;
	member_t *member;
	uint32_t header[2] = { htonl(8), htonl(REPLICATION_CODE) };
	char request[64];

	(void)fd;
	(void)events;
	if (standin->primary[0] == '\0') {
		do {
			replica->member =
				(replica->member + 1) % standin->member_count;
		} while (standin->member_count > 1 &&
			 strcmp(standin->members[replica->member].name,
				standin->name) == 0);
	}
	member = &standin->members[replica->member];
	replica->bufferevent = bufferevent_socket_new(standin->base, -1,
						      BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(replica->bufferevent, on_readable, NULL, on_event,
			  replica);
	snprintf(request, sizeof(request), "{\"promised\":%lu}\n",
		 (unsigned long)standin->promised_term);
	bufferevent_write(replica->bufferevent, header, sizeof(header));
	bufferevent_write(replica->bufferevent, request, strlen(request));
	replica_apply_cut(standin);
	if (bufferevent_socket_connect(replica->bufferevent,
				       (struct sockaddr *)&member->address,
				       member->address_length) != 0)
		disconnect(replica);
}

/*
 * Starts to replicate from the member named standin->primary, or to look for a
 * primary if that name is empty. Returns false if no member has the name, or
 * without memory.
 */
bool replica_start(standin_t *standin)
{
	replica_t *replica;
	uint32_t member = 0;

	while (standin->primary[0] != '\0' && member < standin->member_count &&
	       strcmp(standin->members[member].name, standin->primary) != 0)
		member++;
	if (member == standin->member_count)
		return false;
	replica = calloc(1, sizeof(*replica));
	if (!replica)
		return false;
	replica->standin = standin;
	replica->member = member;
	STAILQ_INIT(&replica->pending);
	replica->retry = evtimer_new(standin->base, on_retry, replica);
	replica->advance = evtimer_new(standin->base, on_advance, replica);
	standin->replica = replica;
	set_timer(replica->retry, 0);
	return true;
}

/*
 * Ends replication to this target. Received entries that are not in the log yet
 * are dropped.
 */
void replica_stop(standin_t *standin)
{
	replica_t *replica = standin->replica;

	if (!replica)
		return;
	disconnect(replica);
	event_free(replica->retry);
	event_free(replica->advance);
	free(replica);
	standin->replica = NULL;
}

/*
 * Closes the connection to the primary and connects again, so that the
 * primary's term is checked against the promised one.
 */
void replica_restart(standin_t *standin)
{
	if (standin->replica)
		disconnect(standin->replica);
}

/*
 * Stops or resumes reading and writing according to the faults cut_in and
 * cut_out.
 */
void replica_apply_cut(standin_t *standin)
{
	replica_t *replica = standin->replica;

	if (!replica || !replica->bufferevent)
		return;
	if (standin->faults.cut_in)
		bufferevent_disable(replica->bufferevent, EV_READ);
	else
		bufferevent_enable(replica->bufferevent, EV_READ);
	if (standin->faults.cut_out)
		bufferevent_disable(replica->bufferevent, EV_WRITE);
	else
		bufferevent_enable(replica->bufferevent, EV_WRITE);
}
