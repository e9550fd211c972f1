#include "check.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libhttp/http.h"

#define BODY_MAX_BYTES 1000
#define HEADERS_MAX_BYTES 1000
#define IDLE_MS 1000
#define REPLY_MAX_BYTES 4096

/* A server or client of libhttp, and a peer that sends any bytes. */
typedef struct {
	struct event_base *base;
	uint16_t port;
	http_server_t *server;
	struct evconnlistener *listener;
	struct bufferevent *events;
	/* Requests that reached the handler, and what the last one held. */
	uint32_t requests;
	char body[BODY_MAX_BYTES + 1];
	/* What the peer has received, and whether its connection has ended. */
	char reply[REPLY_MAX_BYTES];
	bool closed;
	/* Bytes that the peer sends on the connection that it accepts. */
	const char *answer;
	size_t answer_size;
	/* Result of the client's request; -1 before it. */
	int status;
} env_t;

static void on_stop(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(context);
}

static void run_for(env_t *env, uint32_t duration_ms)
{
	const struct timeval limit = { .tv_sec = duration_ms / 1000,
				       .tv_usec = duration_ms % 1000 * 1000 };
	struct event *stop = evtimer_new(env->base, on_stop, env->base);

	evtimer_add(stop, &limit);
	event_base_dispatch(env->base);
	event_free(stop);
}

static void on_request(void *context, http_exchange_t *exchange)
{
	env_t *env = context;
	char *text = http_exchange_text(exchange);

	env->requests++;
	snprintf(env->body, sizeof(env->body), "%s", text);
	free(text);
	http_exchange_reply(exchange, 200, "text/plain", "done\n");
}

static void on_peer_read(struct bufferevent *events, void *context)
{
	env_t *env = context;
	size_t used = strlen(env->reply);
	size_t size;

	size = bufferevent_read(events, env->reply + used,
				sizeof(env->reply) - used - 1);
	env->reply[used + size] = '\0';
}

static void on_peer_event(struct bufferevent *events, short what, void *context)
{
	env_t *env = context;

	(void)events;
	if (!(what & BEV_EVENT_CONNECTED))
		env->closed = true;
}

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static void open_server(env_t *env)
{
	const http_options_t options = { .address = "127.0.0.1",
					 .port = check_reserve_port(),
					 .body_max_bytes = BODY_MAX_BYTES,
					 .headers_max_bytes = HEADERS_MAX_BYTES,
					 .idle_ms = IDLE_MS };

	*env = (env_t){ .base = event_base_new(), .port = options.port };
	env->server = http_server_new(env->base, &options, on_request, env);
	CU_ASSERT_FATAL(env->server != NULL);
}

/* Sends bytes on a new connection, in pieces of one byte if split is true, and
 * waits until the server has had time to answer. */
static void send_bytes(env_t *env, const char *bytes, size_t size, bool split)
{
	struct sockaddr_in address = loopback(env->port);
	size_t i;

	env->requests = 0;
	env->body[0] = '\0';
	env->reply[0] = '\0';
	env->closed = false;
	env->events =
		bufferevent_socket_new(env->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(env->events, on_peer_read, NULL, on_peer_event, env);
	bufferevent_enable(env->events, EV_READ | EV_WRITE);
	bufferevent_socket_connect(env->events, (struct sockaddr *)&address,
				   sizeof(address));
	for (i = 0; split && i < size; i++) {
		bufferevent_write(env->events, bytes + i, 1);
		run_for(env, 1);
	}
	if (!split)
		bufferevent_write(env->events, bytes, size);
	run_for(env, 60);
}

static uint32_t count(const char *text, const char *part)
{
	uint32_t found = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		found++;
	}
	return found;
}

#define POST "POST /x HTTP/1.1\r\nHost: a\r\n"

/* Guards against a request that is read as another one than the sender meant,
 * as two requests, or not as one within the limits. */
static void test_requests(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		/* Requests that reach the handler, and the last one's body. */
		uint32_t requests;
		const char *body;
		/* The first status, or NULL if the connection ends or waits for
		 * more without one. */
		const char *status;
	} rows[] = {
		{ "sound", POST "Content-Length: 5\r\n\r\nhello", 1, "hello",
		  "200" },
		{ "chunked",
		  POST "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
		       "\r\n",
		  1, "hello", "200" },
		{ "same length twice",
		  POST "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 0,
		  "", "400" },
		{ "two lengths, the shorter first",
		  POST "Content-Length: 5\r\nContent-Length: 30\r\n\r\nhello"
		       "GET /y HTTP/1.1\r\nHost: a\r\n\r\n",
		  0, "", "400" },
		{ "two lengths, the longer first",
		  POST "Content-Length: 10\r\nContent-Length: 5\r\n\r\n"
		       "helloGET /",
		  0, "", "400" },
		{ "list of lengths", POST "Content-Length: 5, 5\r\n\r\nhello",
		  0, "", "400" },
		{ "negative length", POST "Content-Length: -5\r\n\r\nhello", 0,
		  "", "400" },
		{ "signed length", POST "Content-Length: +5\r\n\r\nhello", 0,
		  "", "400" },
		{ "length with text", POST "Content-Length: 5x\r\n\r\nhello", 0,
		  "", "400" },
		{ "empty length", POST "Content-Length: \r\n\r\nhello", 0, "",
		  "400" },
		{ "hexadecimal length", POST "Content-Length: 0x5\r\n\r\nhello",
		  0, "", "400" },
		{ "length above 64 bits",
		  POST "Content-Length: 18446744073709551621\r\n\r\nhello", 0,
		  "", "413" },
		{ "length and chunks",
		  POST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "5\r\nhello\r\n0\r\n\r\n",
		  0, "", "400" },
		{ "chunks and length",
		  POST "Transfer-Encoding: chunked\r\nContent-Length: 30\r\n"
		       "\r\n0\r\n\r\nGET /y HTTP/1.1\r\nHost: a\r\n\r\n",
		  0, "", "400" },
		{ "unknown encoding",
		  POST "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n"
		       "\r\nhello",
		  0, "", "400" },
		{ "two encodings",
		  POST "Transfer-Encoding: chunked\r\n"
		       "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		  0, "", "400" },
		{ "folded length", POST "Content-Length: 5\r\n 0\r\n\r\nhello",
		  0, "", "400" },
		{ "folded header",
		  POST "X-A: b\r\n Content-Length: 90\r\nContent-Length: 5\r\n"
		       "\r\nhello",
		  1, "hello", "200" },
		{ "blank before the colon",
		  POST "Content-Length : 5\r\n\r\nhello", 0, "", "400" },
		{ "header without a colon", POST "X-A\r\n\r\n", 0, "", "400" },
		{ "length in a header's text",
		  POST "X-A: b\rContent-Length: 90\r\nContent-Length: 5\r\n\r\n"
		       "hello",
		  0, "", "400" },
		{ "line feeds alone",
		  "POST /x HTTP/1.1\nHost: a\nContent-Length: 5\n\nhello", 1,
		  "hello", "200" },
		{ "line feed in a header",
		  POST "X-A: b\nContent-Length: 90\r\nContent-Length: 5\r\n\r\n"
		       "hello",
		  0, "", NULL },
		{ "negative chunk",
		  POST "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n"
		       "\r\n",
		  0, "", "413" },
		{ "chunk above the limit",
		  POST "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nhello", 0,
		  "", "413" },
		{ "chunk above 64 bits",
		  POST "Transfer-Encoding: chunked\r\n\r\n"
		       "ffffffffffffffffff\r\nhello",
		  0, "", "413" },
		{ "body above the limit",
		  POST "Content-Length: 1001\r\n\r\nhello", 0, "", "413" },
		{ "second request behind the first",
		  POST "Content-Length: 5\r\n\r\nhello"
		       "GET /y HTTP/1.1\r\nHost: a\r\n\r\n",
		  2, "", "200" },
		{ "more than announced",
		  POST "Content-Length: 5\r\n\r\nhello, you", 1, "hello",
		  "200" },
		{ "less than announced", POST "Content-Length: 50\r\n\r\nhello",
		  0, "", NULL },
		{ "headers without an end", POST "X-A: b\r\n", 0, "", NULL },
		{ "no request", "\x01\x02\r\n\r\n", 0, "", "400" },
		{ "unknown version", "GET /x HTTP/9.9\r\nHost: a\r\n\r\n", 0,
		  "", "400" },
		{ "no path", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 0, "", "400" },
	};
	env_t env;
	size_t i;
	int split;

	open_server(&env);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		for (split = 0; split < 2; split++) {
			char first[16] = "";

			send_bytes(&env, rows[i].bytes, strlen(rows[i].bytes),
				   split == 1);
			CHECK_ROW(env.requests == rows[i].requests,
				  rows[i].name);
			CHECK_ROW(strcmp(env.body, rows[i].body) == 0,
				  rows[i].name);
			sscanf(env.reply, "HTTP/1.1 %15s", first);
			CHECK_ROW(strcmp(first, rows[i].status ? rows[i].status
							       : "") == 0,
				  rows[i].name);
			/* A refused request ends its connection. */
			if (first[0] == '4') {
				CHECK_ROW(count(env.reply, "HTTP/1.1 ") == 1,
					  rows[i].name);
				CHECK_ROW(env.closed, rows[i].name);
			}
			bufferevent_free(env.events);
		}
	}
	http_server_free(env.server);
	event_base_free(env.base);
}

/* Guards against headers without an end that are kept without a bound, and
 * against a connection that stays open for ever with half a request. */
static void test_limits(void)
{
	static const char *const starts[] = {
		"GET /",
		"GET /x HTTP/1.1\r\nX-A: ",
		"GET /x HTTP/1.1\r\nHost: a\r\n",
		POST "Transfer-Encoding: chunked\r\n\r\n",
	};
	static char bytes[512 * 1024];
	env_t env;
	size_t i;

	open_server(&env);
	for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
		memset(bytes, 'a', sizeof(bytes));
		memcpy(bytes, starts[i], strlen(starts[i]));
		send_bytes(&env, bytes, sizeof(bytes), false);
		CHECK_ROW(env.requests == 0, starts[i]);
		CHECK_ROW(env.closed, starts[i]);
		bufferevent_free(env.events);
		/* A part of a request, and nothing more. */
		send_bytes(&env, starts[i], strlen(starts[i]), false);
		run_for(&env, IDLE_MS + 500);
		CHECK_ROW(env.requests == 0, starts[i]);
		CHECK_ROW(env.closed, starts[i]);
		bufferevent_free(env.events);
	}
	http_server_free(env.server);
	event_base_free(env.base);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	env_t *env = context;

	(void)listener;
	(void)address;
	(void)length;
	env->events =
		bufferevent_socket_new(env->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(env->events, EV_READ | EV_WRITE);
	bufferevent_write(env->events, env->answer, env->answer_size);
}

static void on_done(void *context, int status, const char *body, size_t size)
{
	env_t *env = context;

	env->status = status;
	snprintf(env->body, sizeof(env->body), "%.*s", (int)size, body);
}

#define OK "HTTP/1.1 200 OK\r\n"

/* Guards against an answer, of the store or of another server, that is taken
 * for another one than was sent, and against one without a bound. status 0
 * means that there was no answer. */
static void test_answers(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		int status;
		const char *body;
	} rows[] = {
		{ "sound", OK "Content-Length: 5\r\n\r\nhello", 200, "hello" },
		{ "chunked",
		  OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
		     "\r\n",
		  200, "hello" },
		{ "refusal", "HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n",
		  503, "" },
		{ "same length twice",
		  OK "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 0,
		  "" },
		{ "two lengths",
		  OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello", 0,
		  "" },
		{ "length and chunks",
		  OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		     "2\r\nhe\r\n0\r\n\r\n",
		  0, "" },
		{ "unknown encoding",
		  OK "Transfer-Encoding: x\r\nContent-Length: 5\r\n\r\nhello",
		  0, "" },
		{ "negative length", OK "Content-Length: -1\r\n\r\nhello", 0,
		  "" },
		{ "length with text", OK "Content-Length: 5 5\r\n\r\nhello", 0,
		  "" },
		{ "folded length", OK "Content-Length: 5\r\n 0\r\n\r\nhello", 0,
		  "" },
		{ "length above the limit",
		  OK "Content-Length: 100000\r\n\r\nhello", 0, "" },
		{ "chunk above the limit",
		  OK "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nhello", 0,
		  "" },
		{ "negative chunk",
		  OK "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello", 0, "" },
		{ "less than announced", OK "Content-Length: 50\r\n\r\nhello",
		  0, "" },
		{ "headers without an end", OK "Content-Length: 5\r\n", 0, "" },
		{ "no answer", "\x01\x02\r\n\r\n", 0, "" },
		{ "no status", "HTTP/1.1 \r\n\r\n", 0, "" },
		{ "status with text",
		  "HTTP/1.1 200x OK\r\nContent-Length: 5\r\n\r\nhello", 200,
		  "hello" },
		{ "status out of range",
		  "HTTP/1.1 -200 OK\r\nContent-Length: 5\r\n\r\nhello", 0, "" },
		{ "second answer behind the first",
		  OK "Content-Length: 5\r\n\r\nhello" OK
		     "Content-Length: 5\r\n\r\nother",
		  200, "hello" },
		{ "line feeds alone",
		  "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", 200, "hello" },
	};
	env_t env = { .base = event_base_new(), .port = check_reserve_port() };
	struct sockaddr_in address = loopback(env.port);
	const http_request_options_t options = { .address = "127.0.0.1",
						 .port = env.port,
						 .method = HTTP_METHOD_GET,
						 .path = "/x",
						 .timeout_ms = 150,
						 .answer_max_bytes =
							 BODY_MAX_BYTES };
	size_t i;

	env.listener = evconnlistener_new_bind(
		env.base, on_accept, &env,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
		(struct sockaddr *)&address, sizeof(address));
	CU_ASSERT_FATAL(env.listener != NULL);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		env.answer = rows[i].bytes;
		env.answer_size = strlen(rows[i].bytes);
		env.status = -1;
		env.events = NULL;
		CU_ASSERT_PTR_NOT_NULL_FATAL(
			http_request_send(env.base, &options, on_done, &env));
		run_for(&env, 250);
		CHECK_ROW(env.status == rows[i].status, rows[i].name);
		CHECK_ROW(strcmp(env.body, rows[i].body) == 0, rows[i].name);
		if (env.events)
			bufferevent_free(env.events);
	}
	evconnlistener_free(env.listener);
	event_base_free(env.base);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "requests", test_requests },
		{ "limits", test_limits },
		{ "answers", test_answers },
	};

	/* As in the program: a write to a connection that the peer has closed
	 * returns an error instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	return check_main("http", cases, sizeof(cases) / sizeof(cases[0]));
}
