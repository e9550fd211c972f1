#include "gateway_env.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "check.h"

/* Limits of the machine, as the gateway's settings state them. */
#define MEMORY_MB 64
#define DESCRIPTORS 256
/* Time for a crowd to send, and then to stay connected. */
#define SEND_MAX_MS 10000
#define STAY_MS 1000
/* Bytes that a client adds to its output at a time, unless it sends pieces. */
#define CHUNK_BYTES 65536
/* Attempts of the ordinary request, one every 50 ms. */
#define ATTEMPTS_LIMIT 300

/* Offset of a port from that for callers. */
typedef enum { CALLERS, OPERATORS, PEERS } port_t;

/* A crowd of equal clients. Each one sends start, then messages of a head, with
 * the number of the message in it, of body_bytes letters and of an end. */
typedef struct {
	const char *name;
	port_t port;
	uint32_t connections;
	const char *start;
	const char *head;
	uint32_t body_bytes;
	const char *end;
	uint32_t messages;
	/* Messages with different numbers: 1, or all of them. */
	uint32_t numbers;
	/* Bytes that are sent at a time; 0: as many as the connection takes. */
	uint32_t piece_bytes;
	/* The clients read the answers. */
	bool reads;
} crowd_t;

typedef struct {
	const crowd_t *crowd;
	struct bufferevent *events;
	const char *bytes;
	size_t size;
	size_t sent;
	size_t total;
	bool connected;
	bool closed;
} client_t;

/* A gateway process and the stand-ins that it uses. */
typedef struct {
	env_t env;
	char path[64];
	pid_t pid;
	uint32_t attempts;
} process_t;

static const crowd_t crowds[] = {
	{ "statements at once", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u WRITE x ", 1000000, "\r\n", 3, 1, 0, true },
	{ "statements in pieces", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u WRITE x ", 1000000, "\r\n", 3, 1, 4096, true },
	{ "line without end", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u WRITE x ", 4000000, "", 1, 1, 0, true },
	{ "half a statement", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u WRITE x ", 900000, "", 1, 1, 0, true },
	{ "one byte at a time", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u WRITE x ", 200, "\r\n", 2, 1, 1, true },
	{ "reads sent ahead", CALLERS, 100, "STARTUP main me\r\n",
	  "QUERY %u READ x", 0, "\r\n", 60000, 1, 0, false },
	{ "unread errors", CALLERS, 4, "STARTUP main me\r\n", "QUERY %u X", 0,
	  "\r\n", 800000, 1, 0, false },
	{ "session values", CALLERS, 4, "STARTUP main me\r\n",
	  "QUERY 1 SET v%u ", 100000, "\r\n", 250, 250, 0, true },
	{ "silent callers", CALLERS, 300, "", "", 0, "", 0, 1, 0, true },
	{ "silent operators", OPERATORS, 300, "", "", 0, "", 0, 1, 0, true },
	{ "half a head", OPERATORS, 300, "GET /metrics HTTP/1.1\r\n",
	  "X%u: ", 6000, "", 1, 1, 0, true },
	{ "silent peers", PEERS, 300, "", "", 0, "", 0, 1, 0, true },
	{ "half a body", PEERS, 300,
	  "POST /kv-txn HTTP/1.1\r\nHost: x\r\nContent-Length: 65000\r\n\r\n",
	  "%u", 60000, "", 1, 1, 0, true },
};

static void write_settings(const process_t *process)
{
	const env_t *env = &process->env;
	uint16_t port = caller_port(env, 0);
	FILE *file = fopen(process->path, "w");

	CU_ASSERT_FATAL(file != NULL);
	fprintf(file,
		"[instance]\nname = g0\ndomain = z0\n"
		"[caller]\nlisten = 127.0.0.1:%u\n"
		"[operator]\nlisten = 127.0.0.1:%u\n"
		"[peer]\nlisten = 127.0.0.1:%u\n"
		"[platform]\naddress = 127.0.0.1:%u\n"
		"[session]\nsecret = not-used-by-the-gateway\n"
		"[limits]\nmemory_mb = %d\ndescriptors = %d\n"
		"[gateway]\npromotion = 127.0.0.1:%u\n",
		port, port + 1, port + 2, standin_store_port(env->standin),
		MEMORY_MB, DESCRIPTORS, standin_order_port(env->standin));
	fclose(file);
}

/* Sends the ordinary request until it succeeds, on a new session each time. */
static bool is_served(process_t *process)
{
	env_t *env = &process->env;
	uint32_t tries;
	bool served;

	for (tries = 0; tries < ATTEMPTS_LIMIT; tries++) {
		caller_t *caller = connect_caller(env, 0);

		ask(caller, "STARTUP main me");
		served = !caller->closed &&
			 succeeds(ask(caller, "QUERY 7 WRITE x y"));
		process->attempts++;
		close_caller(caller);
		if (served)
			return true;
		pause_ms(env, 50);
	}
	return false;
}

static void open_process(process_t *process)
{
	const char *program = getenv("HORNBEAMTACK");
	const char *log = getenv("CROWD_LOG");

	*process = (process_t){ 0 };
	if (!program)
		abort();
	open_env(&process->env, 0);
	snprintf(process->path, sizeof(process->path), "/tmp/crowd-%d.ini",
		 (int)getpid());
	write_settings(process);
	fflush(stdout);
	process->pid = fork();
	if (process->pid == 0) {
		int fd = open(log ? log : "/dev/null",
			      O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		closefrom(3);
		execl(program, program, "gateway", process->path, (char *)NULL);
		_exit(127);
	}
	CU_ASSERT_FATAL(is_served(process));
}

static void close_process(process_t *process)
{
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	unlink(process->path);
	close_env(&process->env);
}

static bool is_alive(const process_t *process)
{
	return waitpid(process->pid, NULL, WNOHANG) == 0;
}

/* Returns a size in MB of the process's status, such as "VmHWM:". */
static uint32_t memory_mb(const process_t *process, const char *name)
{
	char path[64];
	char line[128];
	unsigned long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)process->pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (strncmp(line, name, strlen(name)) == 0)
			kb = strtoul(line + strlen(name), NULL, 10);
	}
	if (file)
		fclose(file);
	return (uint32_t)(kb / 1024);
}

static uint32_t descriptors(const process_t *process)
{
	char path[64];
	uint32_t count = 0;
	DIR *directory;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)process->pid);
	directory = opendir(path);
	while (directory && readdir(directory))
		count++;
	if (directory)
		closedir(directory);
	return count > 2 ? count - 2 : 0;
}

static void send_more(struct bufferevent *events, void *context)
{
	client_t *client = context;
	size_t at = client->sent % client->size;
	size_t left = client->total - client->sent;
	size_t part = client->size - at;
	size_t limit = client->crowd->piece_bytes;

	if (limit == 0)
		limit = CHUNK_BYTES;
	if (part > limit)
		part = limit;
	if (part > left)
		part = left;
	if (part == 0)
		return;
	client->sent += part;
	evbuffer_add_reference(bufferevent_get_output(events),
			       client->bytes + at, part, NULL, NULL);
}

static void discard(struct bufferevent *events, void *context)
{
	struct evbuffer *input = bufferevent_get_input(events);

	(void)context;
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_client_event(struct bufferevent *events, short what,
			    void *context)
{
	client_t *client = context;
	int on = 1;

	if (!(what & BEV_EVENT_CONNECTED)) {
		client->closed = true;
		return;
	}
	client->connected = true;
	setsockopt(bufferevent_getfd(events), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

/* The clients of a crowd and what they send. */
typedef struct {
	client_t *clients;
	uint32_t count;
	char *bytes;
	size_t size;
	size_t total;
} group_t;

/* Builds as many messages as have different numbers. */
static void build_content(group_t *group, const crowd_t *crowd)
{
	char head[64];
	uint32_t i;

	group->bytes = check_allocate(
		(size_t)crowd->numbers *
			(sizeof(head) + crowd->body_bytes + sizeof("\r\n")) +
		1);
	for (i = 0; i < crowd->numbers; i++) {
		char *at = group->bytes + group->size;
		size_t length;

		snprintf(head, sizeof(head), crowd->head, i);
		length = strlen(head);
		memcpy(at, head, length);
		memset(at + length, 'a', crowd->body_bytes);
		memcpy(at + length + crowd->body_bytes, crowd->end,
		       strlen(crowd->end));
		group->size += length + crowd->body_bytes + strlen(crowd->end);
	}
	/* Messages with numbers of more digits are longer. */
	group->total = crowd->messages == crowd->numbers
			       ? group->size
			       : group->size * crowd->messages;
	if (group->size == 0)
		group->size = 1;
}

/* Opens the socket of a client. The kernel keeps little for one that does not
 * read, so that its answers stay at the gateway. */
static void open_socket(client_t *client)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int limit = 4096;

	CU_ASSERT_FATAL(fd >= 0);
	if (!client->crowd->reads)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &limit, sizeof(limit));
	bufferevent_setfd(client->events, fd);
}

static void connect_client(client_t *client, const group_t *group,
			   const process_t *process, const crowd_t *crowd)
{
	uint16_t port = caller_port(&process->env, 0) + crowd->port;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	*client = (client_t){ .crowd = crowd,
			      .bytes = group->bytes,
			      .size = group->size,
			      .total = group->total };
	client->events = bufferevent_socket_new(process->env.base, -1,
						BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(client->events, discard, send_more, on_client_event,
			  client);
	bufferevent_enable(client->events, EV_WRITE);
	if (!crowd->reads)
		bufferevent_disable(client->events, EV_READ);
	else
		bufferevent_enable(client->events, EV_READ);
	evbuffer_add(bufferevent_get_output(client->events), crowd->start,
		     strlen(crowd->start));
	open_socket(client);
	bufferevent_socket_connect(client->events, (struct sockaddr *)&address,
				   sizeof(address));
}

static bool has_sent(void *context)
{
	const group_t *group = context;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const client_t *client = &group->clients[i];

		if (!client->closed &&
		    (!client->connected || client->sent < client->total ||
		     evbuffer_get_length(
			     bufferevent_get_output(client->events)) > 0))
			return false;
	}
	return true;
}

/* Connects a crowd and lets it send. */
static void open_crowd(group_t *group, process_t *process, const crowd_t *crowd)
{
	uint32_t i;

	*group = (group_t){ 0 };
	build_content(group, crowd);
	group->count = crowd->connections;
	group->clients =
		check_allocate(group->count * sizeof(group->clients[0]));
	for (i = 0; i < group->count; i++)
		connect_client(&group->clients[i], group, process, crowd);
	run_until(&process->env, has_sent, group, SEND_MAX_MS);
	pause_ms(&process->env, STAY_MS);
}

static void close_crowd(group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++)
		bufferevent_free(group->clients[i].events);
	free(group->clients);
	free(group->bytes);
}

/* Guards against clients that make a process exceed the memory or the
 * descriptors of its machine, end it, or keep it from serving others. */
static void run_crowd(const crowd_t *crowd)
{
	process_t process;
	group_t group;
	uint32_t open;
	uint32_t statements;

	open_process(&process);
	open_crowd(&group, &process, crowd);
	open = descriptors(&process);
	/* A crowd on another port than theirs takes nothing from callers. */
	if (crowd->port != CALLERS)
		CHECK_ROW(is_served(&process), crowd->name);
	statements = standin_counts(process.env.standin).statements;
	process.attempts = 0;
	close_crowd(&group);
	CHECK_ROW(is_served(&process), crowd->name);
	pause_ms(&process.env, STAY_MS);
	CHECK_ROW(is_alive(&process), crowd->name);
	printf("\n# %s: peak %u MB, afterwards %u MB, descriptors %u, "
	       "attempts %u\n",
	       crowd->name, memory_mb(&process, "VmHWM:"),
	       memory_mb(&process, "VmRSS:"), open, process.attempts);
	CHECK_ROW(memory_mb(&process, "VmHWM:") < MEMORY_MB, crowd->name);
	CHECK_ROW(memory_mb(&process, "VmRSS:") < MEMORY_MB / 2, crowd->name);
	CHECK_ROW(open < DESCRIPTORS, crowd->name);
	/* Of callers that have left, only statements in progress may run. */
	CHECK_ROW(standin_counts(process.env.standin).statements - statements <=
			  crowd->connections + process.attempts,
		  crowd->name);
	close_process(&process);
}

static void test_callers(void)
{
	size_t i;

	for (i = 0; i < sizeof(crowds) / sizeof(crowds[0]); i++) {
		if (crowds[i].port == CALLERS)
			run_crowd(&crowds[i]);
	}
}

static void test_http(void)
{
	size_t i;

	for (i = 0; i < sizeof(crowds) / sizeof(crowds[0]); i++) {
		if (crowds[i].port != CALLERS)
			run_crowd(&crowds[i]);
	}
}

/* Guards against an answer of a target without end, which its connection would
 * keep in memory. */
static void test_endless_answer(void)
{
	static const char row[] =
		"DATAROW aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
	size_t size = (size_t)2 * MEMORY_MB * 1024 * 1024;
	char *bytes = check_allocate(size);
	process_t process;
	caller_t *caller;
	size_t i;

	for (i = 0; i < size; i++)
		bytes[i] = row[i % (sizeof(row) - 1)];
	open_process(&process);
	caller = open_session(&process.env, 0, "main");
	standin_answer_next(process.env.standin, bytes, size, 0);
	free(bytes);
	ask(caller, "QUERY 1 READ x");
	close_caller(caller);
	CU_ASSERT(is_served(&process));
	CU_ASSERT(is_alive(&process));
	printf("\n# endless answer: peak %u MB, afterwards %u MB\n",
	       memory_mb(&process, "VmHWM:"), memory_mb(&process, "VmRSS:"));
	CU_ASSERT(memory_mb(&process, "VmHWM:") < MEMORY_MB);
	CU_ASSERT(memory_mb(&process, "VmRSS:") < MEMORY_MB / 2);
	close_process(&process);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "callers", test_callers },
		{ "http", test_http },
		{ "endless answer", test_endless_answer },
	};

	signal(SIGPIPE, SIG_IGN);
	return check_main("crowd", cases, sizeof(cases) / sizeof(cases[0]));
}
