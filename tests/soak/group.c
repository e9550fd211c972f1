#include "soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MAX 200000
#define PENDING_MAX 16
/* Interval at which replicas receive and apply the primary's commits. */
#define REPLICATION_INTERVAL_MS 15
/* Time from an order to the promotion. */
#define PROMOTION_DELAY_MS 150
/* One of this many statements is followed by bytes that answer nothing. */
#define ODD_ANSWER_INTERVAL 60
/* Time after which a replaced primary notices that there is a newer one. */
#define REPLACEMENT_NOTICE_MS 1000

/*
 * A target. Commits are acknowledged before replicas have them, so that a
 * promotion may roll back acknowledged writes.
 */
typedef struct {
	soak_group_t *group;
	uint32_t index;
	char id[16];
	uint16_t port;
	/* NULL while the target is stopped. */
	struct evconnlistener *listener;
	soak_entry_t *log;
	/* Entries in the log, and how many of them reads can see. */
	uint64_t length;
	uint64_t applied;
	uint64_t term;
	/* Also true for a replaced primary that has not noticed yet. */
	bool is_primary;
	/* The target receives no log entries. */
	bool paused;
	/* Time of the promotion that replaced this primary. */
	clock_ms_t replaced_ms;
} target_t;

/* A connection from a gateway. */
typedef struct connection {
	TAILQ_ENTRY(connection) entry;
	target_t *target;
	/* Tells the connections of the group apart. */
	uint64_t number;
	struct bufferevent *events;
	/* The first message was received. */
	bool started;
	/* The user in it. */
	char user[32];
	/* 'I' idle, 'T' in a transaction, 'E' in a failed one. */
	char state;
	/* The session value. */
	char zone[32];
	/* Writes of the open transaction. */
	soak_entry_t pending[PENDING_MAX];
	uint32_t pending_count;
	/* The open transaction is read-only. */
	bool read_only;
	/* Term of the target at BEGIN. */
	uint64_t begun_term;
} connection_t;

struct soak_group {
	soak_t *soak;
	struct event_base *base;
	check_random_t random;
	uint64_t connection_count;
	struct evhttp *orders;
	struct event *tick;
	struct event *promotion;
	/* Index of the target that the pending promotion makes the primary. */
	uint32_t candidate;
	target_t targets[SOAK_TARGETS];
	TAILQ_HEAD(, connection) connections;
	/* Last write of each item that a replaced primary committed. */
	uint32_t stale[SOAK_CALLERS];
	/* Signatures given so far, which makes each one unique. */
	uint64_t signatures;
};

/* Bytes that answer nothing, to be sent on a connection if it still exists. */
typedef struct {
	soak_group_t *group;
	uint64_t connection;
	const char *bytes;
	size_t size;
} odd_bytes_t;

/*
 * Returns the primary with the highest term, or NULL.
 */
static target_t *find_primary(soak_group_t *group)
{
	target_t *primary = NULL;
	uint32_t i;

	for (i = 0; i < SOAK_TARGETS; i++) {
		target_t *target = &group->targets[i];

		if (target->is_primary &&
		    (!primary || target->term > primary->term))
			primary = target;
	}
	return primary;
}

/*
 * Returns the index of the primary with the highest term, or 0 without one.
 */
uint32_t soak_group_primary(const soak_group_t *group)
{
	target_t *primary = find_primary((soak_group_t *)group);

	return primary ? primary->index : 0;
}

/*
 * Returns whether the log of the current primary contains the write.
 */
bool soak_group_has_write(const soak_group_t *group, uint32_t item,
			  uint32_t sequence)
{
	const target_t *primary = find_primary((soak_group_t *)group);
	uint64_t i;

	for (i = primary ? primary->length : 0; i > 0; i--) {
		if (primary->log[i - 1].item == (int32_t)item &&
		    primary->log[i - 1].sequence == sequence)
			return true;
	}
	return false;
}

/*
 * Returns whether the write is the last one of its item that a replaced primary
 * committed.
 */
bool soak_group_is_stale(const soak_group_t *group, uint32_t item,
			 uint32_t sequence)
{
	return group->stale[item] == sequence;
}

/*
 * Appends an entry to the log. Aborts the program if the log is full.
 */
static void append(target_t *target, const soak_entry_t *entry)
{
	if (target->length == LOG_MAX)
		abort();
	target->log[target->length++] = *entry;
}

/*
 * Commits a write at a target that is a primary or takes itself for one, and
 * reports a write that the log already contains.
 */
static void commit(target_t *target, const soak_entry_t *entry)
{
	soak_group_t *group = target->group;
	soak_entry_t kept = *entry;
	uint64_t i;

	kept.term = target->term;
	for (i = 0; i < target->length; i++) {
		if (target->log[i].item == entry->item &&
		    target->log[i].sequence == entry->sequence)
			soak_report_violation(group->soak,
					      "writes run at most once",
					      (uint32_t)entry->item,
					      entry->sequence, target->id);
	}
	if (target != find_primary(group))
		group->stale[entry->item] = entry->sequence;
	append(target, &kept);
	target->applied = target->length;
}

/*
 * Makes the log of a replica the same as the primary's: drops the entries that
 * the primary does not have and copies the missing ones. The copied entries are
 * applied at the next call.
 */
static void replicate(target_t *target, const target_t *primary)
{
	uint64_t common = target->length < primary->length ? target->length
							   : primary->length;

	/* Logs differ only from the start of a term on. */
	while (common > 0 &&
	       memcmp(&target->log[common - 1], &primary->log[common - 1],
		      sizeof(soak_entry_t)) != 0)
		common--;
	target->applied = common < target->applied ? common : target->length;
	target->length = common;
	while (target->length < primary->length)
		append(target, &primary->log[target->length]);
	target->term = primary->term;
}

/*
 * Replicates to all targets that receive log entries. A replaced primary
 * becomes a replica once it notices that.
 */
static void on_tick(evutil_socket_t fd, short what, void *context)
{
	soak_group_t *group = context;
	const target_t *primary = find_primary(group);
	uint32_t i;

	(void)fd;
	(void)what;
	for (i = 0; primary && i < SOAK_TARGETS; i++) {
		target_t *target = &group->targets[i];

		if (target == primary || target->paused || !target->listener ||
		    !primary->listener)
			continue;
		if (target->is_primary &&
		    soak_now() < target->replaced_ms + REPLACEMENT_NOTICE_MS)
			continue;
		target->is_primary = false;
		replicate(target, primary);
	}
}

/*
 * Makes the candidate the primary in a new term, unless it is stopped or
 * already a primary, and tells the test which writes its log contains.
 */
static void on_promotion(evutil_socket_t fd, short what, void *context)
{
	soak_group_t *group = context;
	target_t *target = &group->targets[group->candidate];
	uint32_t last[SOAK_CALLERS] = { 0 };
	soak_entry_t start = { .item = -1 };
	uint64_t i;

	(void)fd;
	(void)what;
	if (!target->listener || target->is_primary)
		return;
	for (i = 0; i < SOAK_TARGETS; i++) {
		if (group->targets[i].term > start.term)
			start.term = group->targets[i].term;
		if (group->targets[i].is_primary)
			group->targets[i].replaced_ms = soak_now();
	}
	start.term++;
	append(target, &start);
	target->applied = target->length;
	target->term = start.term;
	target->is_primary = true;
	target->paused = false;
	for (i = 0; i < target->length; i++) {
		if (target->log[i].item >= 0)
			last[target->log[i].item] = target->log[i].sequence;
	}
	soak_promoted(group->soak, last);
}

/*
 * Handles an order to promote a target, with status 409 if the target is
 * unknown or stopped. The promotion follows after PROMOTION_DELAY_MS.
 */
static void on_order(struct evhttp_request *request, void *context)
{
	const struct timeval delay = { .tv_usec = PROMOTION_DELAY_MS * 1000 };
	soak_group_t *group = context;
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	json_t *body = json_loadb((const char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	int status = 409;
	uint32_t i;

	for (i = 0; id && i < SOAK_TARGETS; i++) {
		if (strcmp(group->targets[i].id, id) != 0 ||
		    !group->targets[i].listener)
			continue;
		status = 200;
		group->candidate = i;
		evtimer_add(group->promotion, &delay);
	}
	json_decref(body);
	evhttp_send_reply(request, status, NULL, NULL);
}

static void close_connection(connection_t *connection)
{
	TAILQ_REMOVE(&connection->target->group->connections, connection,
		     entry);
	bufferevent_free(connection->events);
	free(connection);
}

/*
 * Sends a line.
 */
static void send_line(connection_t *connection, const char *text)
{
	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "%s\r\n", text);
}

/*
 * Returns the position after the first length entries of a target's log.
 */
static log_position_t position_of(const target_t *target, uint64_t length)
{
	/* The term is that of the last entry, which is the target's own term if
	 * the target is a primary. */
	return (log_position_t){ length > 0 ? target->log[length - 1].term : 0,
				 length };
}

/*
 * Completes an answer with the state of the transaction and the applied
 * position.
 */
static void send_ready(connection_t *connection)
{
	log_position_t position =
		position_of(connection->target, connection->target->applied);

	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
			    connection->state, position.term, position.number);
}

/*
 * Reports the success of a statement with a signature of this target.
 */
static void send_complete(connection_t *connection)
{
	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "COMPLETE sig-%s-%" PRIu64 "\r\n",
			    connection->target->id,
			    ++connection->target->group->signatures);
}

/*
 * Sends an error line, which fails an open transaction.
 */
static void fail(connection_t *connection, const char *code)
{
	if (connection->state == 'T')
		connection->state = 'E';
	send_line(connection, code);
}

/*
 * Answers with the last applied write of the item.
 */
static void run_read(connection_t *connection, const char *item)
{
	const target_t *target = connection->target;
	uint32_t sequence = 0;
	uint64_t i;

	for (i = target->applied; i > 0 && sequence == 0; i--) {
		if (target->log[i - 1].item == atoi(item + 1))
			sequence = target->log[i - 1].sequence;
	}
	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "DATAROW %s %u %s\r\n", item, sequence,
			    connection->zone);
	send_complete(connection);
}

/*
 * Writes to an item: commits at once, or at the end of the open transaction.
 */
static void run_write(connection_t *connection, const char *item,
		      const char *data)
{
	const soak_entry_t entry = { .item = atoi(item + 1),
				     .sequence = (uint32_t)atoi(data) };

	if (!connection->target->is_primary || connection->read_only) {
		fail(connection, "ERROR READONLY x");
		return;
	}
	if (connection->state == 'I') {
		commit(connection->target, &entry);
	} else if (connection->pending_count < PENDING_MAX) {
		connection->pending[connection->pending_count++] = entry;
	}
	/* The number without the text behind it. */
	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "DATAROW %s %u %s\r\n", item, entry.sequence,
			    connection->zone);
	send_complete(connection);
}

/*
 * Commits the open transaction. It is aborted if it has failed, or if it has
 * writes and the target is not the primary of the term of its BEGIN.
 */
static void run_commit(connection_t *connection)
{
	uint32_t i;

	if (connection->state == 'E' ||
	    (connection->pending_count > 0 &&
	     (!connection->target->is_primary ||
	      connection->target->term != connection->begun_term))) {
		connection->state = 'I';
		send_line(connection, "ERROR ABORTED x");
		return;
	}
	for (i = 0; i < connection->pending_count; i++)
		commit(connection->target, &connection->pending[i]);
	connection->state = 'I';
	send_complete(connection);
}

/*
 * Answers STATUS with the role, the term and the position of the log.
 */
static void send_status(connection_t *connection)
{
	const target_t *target = connection->target;
	log_position_t position = position_of(target, target->length);

	evbuffer_add_printf(bufferevent_get_output(connection->events),
			    "DATAROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64
			    " 0 0 0 1\r\nCOMPLETE -\r\n",
			    target->is_primary ? "primary" : "replica",
			    target->term, position.term, position.number);
}

/*
 * Removes the prefix "AFTER TERM.NUMBER" from the text of a statement. Returns
 * whether the target has applied that position, or true without a prefix.
 */
static bool check_applied_position(connection_t *connection, char **text)
{
	log_position_t wanted;
	int length = 0;

	if (sscanf(*text, "AFTER %" SCNu64 ".%" SCNu64 " %n", &wanted.term,
		   &wanted.number, &length) != 2)
		return true;
	*text += length;
	return log_position_compare(position_of(connection->target,
						connection->target->applied),
				    wanted) >= 0;
}

/*
 * Opens a transaction. Only a primary opens one that is not read-only.
 */
static void begin(connection_t *connection, bool read_only)
{
	if (!read_only && !connection->target->is_primary) {
		send_line(connection, "ERROR READONLY x");
		return;
	}
	connection->state = 'T';
	connection->read_only = read_only;
	connection->pending_count = 0;
	connection->begun_term = connection->target->term;
	send_line(connection, "COMPLETE -");
}

/*
 * Checks that a statement runs on a connection of its caller's tenant, which
 * follows from the item.
 */
static void check_user(const connection_t *connection, const char *item)
{
	soak_t *soak = connection->target->group->soak;
	uint32_t caller = (uint32_t)atoi(item + 1);
	char tenant[32];

	snprintf(tenant, sizeof(tenant), "t%u", caller);
	if (soak_has_tenants(soak) && strcmp(connection->user, tenant) != 0)
		soak_report_violation(soak, "targets are told the tenant",
				      caller, 0, connection->user);
}

/*
 * Runs the statement, whose text it splits into words.
 */
static void run(connection_t *connection, char *text)
{
	char *word = strtok(text, " ");
	char *item = strtok(NULL, " ");
	char *data = strtok(NULL, " ");

	if (!word) {
		send_line(connection, "ERROR MALFORMED x");
	} else if (strcmp(word, "STATUS") == 0) {
		send_status(connection);
	} else if (strcmp(word, "SET") == 0 && data) {
		snprintf(connection->zone, sizeof(connection->zone), "%s",
			 data);
		send_line(connection, "COMPLETE -");
	} else if (strcmp(word, "RESET") == 0) {
		connection->zone[0] = '\0';
		send_line(connection, "COMPLETE -");
	} else if (strcmp(word, "BEGIN") == 0) {
		begin(connection, item != NULL);
	} else if (strcmp(word, "ROLLBACK") == 0) {
		connection->state = 'I';
		send_line(connection, "COMPLETE -");
	} else if (strcmp(word, "COMMIT") == 0) {
		run_commit(connection);
	} else if (connection->state == 'E') {
		send_line(connection, "ERROR MALFORMED x");
	} else if (strcmp(word, "READ") == 0 && item) {
		check_user(connection, item);
		run_read(connection, item);
	} else if (strcmp(word, "WRITE") == 0 && item && data) {
		check_user(connection, item);
		run_write(connection, item, data);
	} else {
		send_line(connection, "ERROR MALFORMED x");
	}
	if (connection->state == 'I') {
		connection->read_only = false;
		connection->pending_count = 0;
	}
}

static void on_odd_bytes_due(evutil_socket_t fd, short what, void *context)
{
	odd_bytes_t *odd = context;
	connection_t *connection;

	(void)fd;
	(void)what;
	TAILQ_FOREACH(connection, &odd->group->connections, entry) {
		if (connection->number == odd->connection)
			bufferevent_write(connection->events, odd->bytes,
					  odd->size);
	}
	free(odd);
}

/*
 * Sends bytes that are no answer to a statement: at once behind the answer, or
 * a little later, when the connection may be idle, in a transaction, or in use
 * by another session. Only those that can't be taken for the answer to a later
 * statement come later.
 */
static void send_odd_bytes(connection_t *connection)
{
	static const struct {
		const char *bytes;
		size_t size;
	} rows[] = {
		{ "READY I 1.1\r\n", 13 },
		{ "READY T 1.1\r\n", 13 },
		{ "\0\r\n", 3 },
		{ "DATAROW k0 7 zx\r\nCOMPLETE sig-i-9\r\nREADY I 1.1\r\n",
		  48 },
		{ "DATAROW k0 7", 12 },
		{ "ERROR BUSY x\r\nREADY E 1.1\r\n", 27 },
	};
	const size_t may_be_late = 3;
	soak_group_t *group = connection->target->group;
	size_t row = check_random_below(&group->random,
					sizeof(rows) / sizeof(rows[0]));
	const struct timeval delay = {
		.tv_usec = (long)check_random_below(&group->random, 3) * 15000,
	};
	odd_bytes_t *odd;

	if (delay.tv_usec == 0 || row >= may_be_late) {
		bufferevent_write(connection->events, rows[row].bytes,
				  rows[row].size);
		return;
	}
	odd = check_allocate(sizeof(*odd));
	*odd = (odd_bytes_t){ group, connection->number, rows[row].bytes,
			      rows[row].size };
	event_base_once(group->base, -1, EV_TIMEOUT, on_odd_bytes_due, odd,
			&delay);
}

/*
 * Handles the first message, which names the target, or a statement.
 */
static void on_line(connection_t *connection, char *line)
{
	char *text;

	if (!connection->started) {
		connection->started = true;
		sscanf(line, "STARTUP %*s %31s", connection->user);
		if (!strstr(line, connection->target->id))
			send_line(connection, "ERROR MOVED x");
		send_ready(connection);
		return;
	}
	text = strchr(line, ' ');
	text = text ? strchr(text + 1, ' ') : NULL;
	if (!text)
		return;
	text++;
	if (check_applied_position(connection, &text))
		run(connection, text);
	else
		fail(connection, "ERROR LAGGING x");
	send_ready(connection);
	if (strncmp(line, "QUERY - ", 8) != 0 &&
	    check_random_below(&connection->target->group->random,
			       ODD_ANSWER_INTERVAL) == 0)
		send_odd_bytes(connection);
}

static void on_readable(struct bufferevent *events, void *context)
{
	connection_t *connection = context;
	char *line;

	while ((line = evbuffer_readln(bufferevent_get_input(events), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		on_line(connection, line);
		free(line);
	}
}

static void on_event(struct bufferevent *events, short what, void *context)
{
	(void)events;
	(void)what;
	close_connection(context);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	target_t *target = context;
	connection_t *connection = check_allocate(sizeof(*connection));

	(void)listener;
	(void)address;
	(void)length;
	connection->target = target;
	connection->number = ++target->group->connection_count;
	connection->state = 'I';
	connection->events = bufferevent_socket_new(target->group->base, fd,
						    BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->events, on_readable, NULL, on_event,
			  connection);
	bufferevent_enable(connection->events, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&target->group->connections, connection, entry);
}

/*
 * Closes the listening socket and all connections of a target, as if its
 * process had ended. The log is kept.
 */
void soak_group_stop(soak_group_t *group, uint32_t index)
{
	target_t *target = &group->targets[index];
	connection_t *connection;
	connection_t *next;

	if (!target->listener)
		return;
	evconnlistener_free(target->listener);
	target->listener = NULL;
	for (connection = TAILQ_FIRST(&group->connections); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		if (connection->target == target)
			close_connection(connection);
	}
}

/*
 * Makes a stopped target listen again.
 */
void soak_group_start(soak_group_t *group, uint32_t index)
{
	target_t *target = &group->targets[index];
	const target_t *primary = find_primary(group);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(target->port) };

	if (target->listener)
		return;
	/* A primary that was replaced while it was stopped is a replica now. */
	if (primary && primary != target)
		target->is_primary = false;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->listener = evconnlistener_new_bind(
		group->base, on_accept, target,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
		(struct sockaddr *)&address, sizeof(address));
	if (!target->listener)
		abort();
}

/*
 * Stops or resumes replication to a target.
 */
void soak_group_pause_replication(soak_group_t *group, uint32_t index,
				  bool paused)
{
	group->targets[index].paused = paused;
}

/*
 * Starts the targets on the ports from first_port on, the first one as the
 * primary, and an HTTP server for orders to promote on order_port. Aborts the
 * program if it can't listen.
 */
soak_group_t *soak_group_new(soak_t *soak, struct event_base *base,
			     uint16_t first_port, uint16_t order_port,
			     uint64_t seed)
{
	const struct timeval interval = { .tv_usec = REPLICATION_INTERVAL_MS *
						     1000 };
	const soak_entry_t start = { .term = 1, .item = -1 };
	soak_group_t *group = check_allocate(sizeof(*group));
	uint32_t i;

	group->soak = soak;
	group->base = base;
	group->random = check_random(seed * 1000 + 999);
	TAILQ_INIT(&group->connections);
	for (i = 0; i < SOAK_TARGETS; i++) {
		target_t *target = &group->targets[i];

		target->group = group;
		target->index = i;
		target->port = (uint16_t)(first_port + i);
		target->log = check_allocate(LOG_MAX * sizeof(soak_entry_t));
		target->term = 1;
		snprintf(target->id, sizeof(target->id), "i-%u", i);
		append(target, &start);
		target->applied = 1;
		soak_group_start(group, i);
	}
	group->targets[0].is_primary = true;
	group->tick = event_new(base, -1, EV_PERSIST, on_tick, group);
	event_add(group->tick, &interval);
	group->promotion = evtimer_new(base, on_promotion, group);
	group->orders = evhttp_new(base);
	if (evhttp_bind_socket(group->orders, "127.0.0.1", order_port) != 0)
		abort();
	evhttp_set_gencb(group->orders, on_order, group);
	return group;
}

/*
 * Stops all targets and frees the group.
 */
void soak_group_free(soak_group_t *group)
{
	uint32_t i;

	for (i = 0; i < SOAK_TARGETS; i++) {
		soak_group_stop(group, i);
		free(group->targets[i].log);
	}
	event_free(group->tick);
	event_free(group->promotion);
	evhttp_free(group->orders);
	free(group);
}
