#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libcaller/caller.h"
#include "libconfig/config.h"
#include "libgroup/group.h"
#include "libpeer/peer.h"
#include "libsession/session.h"
#include "libsettings/settings.h"
#include "libtrace/trace.h"

/*
 * A mutation fuzzer for all decoders of input from outside the process. For
 * each seed, it takes a valid input of a decoder and applies 1 to 4 mutations.
 * The values of an input that is accepted must be within the bounds that the
 * decoder declares.
 */

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define INPUT_MAX_BYTES 4096
#define CORPUS_MAX 8
#define SEEDS 4000
/* Streams run with fewer seeds, because each needs a connection of its own. */
#define STREAM_SEEDS_DIVISOR 10
#define BODY_MAX_BYTES 65536
#define WAIT_MS 3000

typedef struct {
	size_t count;
	char bytes[INPUT_MAX_BYTES];
} input_t;

typedef struct {
	size_t count;
	input_t inputs[CORPUS_MAX];
} corpus_t;

static void corpus_add(corpus_t *corpus, const char *bytes, size_t count)
{
	input_t *input = &corpus->inputs[corpus->count++];

	if (corpus->count > CORPUS_MAX || count > INPUT_MAX_BYTES)
		abort();
	input->count = count;
	memcpy(input->bytes, bytes, count);
}

/* Replaces removed bytes at an offset by the inserted bytes. The input stays as
 * it is if the result would be too long. */
static void replace_bytes(input_t *input, size_t at, size_t removed,
			  const char *bytes, size_t inserted)
{
	size_t tail = input->count - at - removed;

	if (at + inserted + tail > INPUT_MAX_BYTES)
		return;
	memmove(input->bytes + at + inserted, input->bytes + at + removed,
		tail);
	memcpy(input->bytes + at, bytes, inserted);
	input->count = at + inserted + tail;
}

/* Texts and lengths that decoders treat in a special way. */
static const struct {
	size_t count;
	const char *bytes;
} dictionary[] = {
	{ 1, "" },
	{ 1, "\"" },
	{ 1, "\n" },
	{ 1, "-" },
	{ 1, "," },
	{ 1, ":" },
	{ 2, "\\u" },
	{ 4, "null" },
	{ 1, "[" },
	{ 1, "{" },
	{ 20, "18446744073709551616" },
	{ 10, "4294967296" },
	{ 3, "1e9" },
	{ 2, "\xc3\xa9" },
	{ 1, "\xff" },
	{ 5, "\xdd\xff\xff\xff\xff" },
	{ 5, "\xdf\x80\0\0\0" },
	{ 5, "\xdb\xff\xff\xff\xff" },
	{ 9, "\xcf\xff\xff\xff\xff\xff\xff\xff\xff" },
	{ 9, "\x91\x91\x91\x91\x91\x91\x91\x91\x91" },
	{ 2, "\xd9\x40" },
};

/* Applies one random mutation to an input. */
static void mutate(check_random_t *random, const corpus_t *corpus,
		   input_t *input)
{
	char copy[INPUT_MAX_BYTES];
	const input_t *other =
		&corpus->inputs[check_random_below(random, corpus->count)];
	size_t at = check_random_below(random, input->count + 1);
	size_t length = check_random_below(random, input->count - at + 1);
	size_t entry;
	char byte;

	if (check_random_below(random, 2) == 0 && length > 4)
		length = 1 + check_random_below(random, 4);
	switch (check_random_below(random, 6)) {
	case 0: /* flip a bit */
		if (at < input->count)
			input->bytes[at] ^=
				(char)(1 << check_random_below(random, 8));
		break;
	case 1: /* set a byte */
		byte = (char)check_random_next(random);
		replace_bytes(input, at, at < input->count, &byte, 1);
		break;
	case 2: /* cut */
		replace_bytes(input, at, length, "", 0);
		break;
	case 3: /* duplicate */
		memcpy(copy, input->bytes + at, length);
		replace_bytes(input, at, 0, copy, length);
		break;
	case 4: /* insert */
		entry = check_random_below(random, COUNT(dictionary));
		replace_bytes(input, at, 0, dictionary[entry].bytes,
			      dictionary[entry].count);
		break;
	default: /* splice with the end of another input */
		length = check_random_below(random, other->count + 1);
		replace_bytes(input, at, input->count - at,
			      other->bytes + other->count - length, length);
		break;
	}
}

/* Decodes input; returns whether it was accepted. */
typedef bool (*decoder_t)(const corpus_t *corpus, const input_t *input,
			  uint64_t seed);

/* Checks that a decoder accepts all inputs of its corpus, and runs it on
 * mutated inputs, one for each seed. */
static void fuzz(const corpus_t *corpus, decoder_t decode, uint64_t seeds)
{
	uint64_t accepted = 0;
	uint64_t seed;
	size_t i;

	for (i = 0; i < corpus->count; i++)
		CHECK_SEED(decode(corpus, &corpus->inputs[i], i), i);
	for (seed = 0; seed < seeds; seed++) {
		check_random_t random = check_random(seed);
		input_t input = corpus->inputs[check_random_below(
			&random, corpus->count)];
		uint64_t times = 1 + check_random_below(&random, 4);

		while (times-- > 0)
			mutate(&random, corpus, &input);
		accepted += decode(corpus, &input, seed);
	}
	/* If no input was refused, the mutations would test nothing. */
	CU_ASSERT_TRUE(accepted < seeds);
}

/* Returns a copy of the exact size, so that a sanitizer sees a read past its
 * end.
 */
static char *copy_bytes(const input_t *input)
{
	char *bytes = check_allocate(input->count);

	memcpy(bytes, input->bytes, input->count);
	return bytes;
}

/* As copy_bytes(), for a decoder of texts: up to the first zero byte, and with
 * a terminating one. */
static char *copy_text(const input_t *input)
{
	size_t length = strnlen(input->bytes, input->count);
	char *text = check_allocate(length + 1);

	memcpy(text, input->bytes, length);
	return text;
}

/* Session token. */

static session_key_t session_key;

static bool decode_session(const corpus_t *corpus, const input_t *input,
			   uint64_t seed)
{
	char *bytes = copy_bytes(input);
	session_token_t token;
	bool accepted = session_token_decode(&session_key, bytes, input->count,
					     &token) == SESSION_OK;
	bool same = false;
	size_t i;

	for (i = 0; i < corpus->count; i++)
		same |= corpus->inputs[i].count == input->count &&
			memcmp(corpus->inputs[i].bytes, bytes, input->count) ==
				0;
	CHECK_SEED(accepted == same, seed);
	CHECK_SEED(token.count <= SESSION_SERVICES_MAX, seed);
	CHECK_SEED(accepted || token.count == 0, seed);
	free(bytes);
	return accepted;
}

/* Guards against a session token that is accepted although no proxy signed it.
 */
static void test_session(void)
{
	corpus_t *corpus = check_allocate(sizeof(*corpus));
	session_token_t token = { .count = 0 };
	char text[SESSION_TEXT_MAX_BYTES + 1];
	uint64_t i;

	session_key_derive(&session_key, "secret");
	for (i = 0; i < 4; i++) {
		session_token_encode(&session_key, &token, text, sizeof(text));
		corpus_add(corpus, text, strlen(text));
		session_token_observe(&token, i << 40,
				      (group_point_t){ 1, 1000 * i });
	}
	fuzz(corpus, decode_session, check_seeds(SEEDS));
	free(corpus);
}

/* Peer message. */

static void check_member(const membership_member_t *member, uint64_t seed)
{
	CHECK_SEED(strnlen(member->name, MEMBERSHIP_NAME_SIZE) <
			   MEMBERSHIP_NAME_SIZE,
		   seed);
	CHECK_SEED(strnlen(member->address, MEMBERSHIP_ADDRESS_SIZE) <
			   MEMBERSHIP_ADDRESS_SIZE,
		   seed);
	CHECK_SEED(strnlen(member->domain, MEMBERSHIP_NAME_SIZE) <
			   MEMBERSHIP_NAME_SIZE,
		   seed);
	CHECK_SEED(member->state <= MEMBERSHIP_STATE_DEAD, seed);
}

static void check_message(const peer_message_t *message, uint64_t seed)
{
	const membership_message_t *membership = &message->u.membership;
	const peer_statement_t *statement = &message->u.statement;
	uint32_t i;

	switch (message->kind) {
	case PEER_MESSAGE_MEMBERSHIP:
		CHECK_SEED(membership->kind <= MEMBERSHIP_MESSAGE_ACK, seed);
		CHECK_SEED(membership->update_count <= MEMBERSHIP_UPDATES_MAX,
			   seed);
		check_member(&membership->from, seed);
		for (i = 0; i < membership->update_count; i++)
			check_member(&membership->updates[i], seed);
		break;
	case PEER_MESSAGE_STATEMENT:
		CHECK_SEED(statement->operation >= PEER_OPERATION_READ &&
				   statement->operation <=
					   PEER_OPERATION_ROLLBACK,
			   seed);
		CHECK_SEED(statement->service && statement->target &&
				   statement->statement && statement->key &&
				   statement->transaction &&
				   statement->traceparent,
			   seed);
		break;
	case PEER_MESSAGE_STATEMENT_REPLY:
		CHECK_SEED(message->u.reply.outcome <= 2, seed);
		break;
	case PEER_MESSAGE_CONFIGURATION_CHANGES:
		CHECK_SEED(message->u.changes.item_count <= PEER_ITEMS_MAX,
			   seed);
		break;
	default:
		break;
	}
}

static bool decode_peer(const corpus_t *corpus, const input_t *input,
			uint64_t seed)
{
	peer_decoder_t *decoder = peer_decoder_new();
	char *bytes = copy_bytes(input);
	peer_message_t message;
	bool accepted = peer_message_decode(decoder, bytes, input->count,
					    &message) == PEER_OK;
	char *reencoded = NULL;
	size_t reencoded_count = 0;

	(void)corpus;
	free(bytes);
	if (accepted) {
		check_message(&message, seed);
		CHECK_SEED(peer_message_encode(&message, &reencoded,
					       &reencoded_count) == PEER_OK,
			   seed);
		CHECK_SEED(peer_message_decode(decoder, reencoded,
					       reencoded_count,
					       &message) == PEER_OK,
			   seed);
		free(reencoded);
	}
	peer_decoder_free(decoder);
	return accepted;
}

/* Guards against a frame that crashes a proxy or is decoded to values out of
 * bounds. */
static void test_peer(void)
{
	static peer_item_t items[] = { { 1, "s", "{}", "w", "o" },
				       { 2, "t", "", "w", "o" } };
	static const peer_message_t messages[] = {
		{ PEER_MESSAGE_HELLO, 0, { .hello = { 1, "proxy-1", 5 } } },
		{ PEER_MESSAGE_MEMBERSHIP,
		  0,
		  { .membership = { .kind = MEMBERSHIP_MESSAGE_ACK,
				    .from = { "a", "127.0.0.1:1", "z" },
				    .subject = "b",
				    .update_count = 2,
				    .updates = { { "c", "127.0.0.1:2", "z" },
						 { "d", "127.0.0.1:3",
						   "z" } } } } },
		{ PEER_MESSAGE_STATEMENT,
		  7,
		  { .statement = { PEER_OPERATION_WRITE,
				   "s",
				   "t",
				   "select 1",
				   "k",
				   9,
				   "",
				   { 1, 2 },
				   -1,
				   100,
				   "" } } },
		{ PEER_MESSAGE_STATEMENT_REPLY,
		  7,
		  { .reply = { .outcome = 1,
			       .reason = "r",
			       .rows_json = "" } } },
		{ PEER_MESSAGE_CONFIGURATION_FETCH, 8, { .fetch = { 9 } } },
		{ PEER_MESSAGE_CONFIGURATION_CHANGES,
		  8,
		  { .changes = { 5, 2, items } } },
		{ PEER_MESSAGE_CONFIGURATION_APPLIED, 8, { .applied = { 9 } } },
	};
	corpus_t *corpus = check_allocate(sizeof(*corpus));
	size_t i;

	for (i = 0; i < COUNT(messages); i++) {
		char *bytes;
		size_t count;

		if (peer_message_encode(&messages[i], &bytes, &count) !=
		    PEER_OK)
			abort();
		corpus_add(corpus, bytes, count);
		free(bytes);
	}
	fuzz(corpus, decode_peer, check_seeds(SEEDS));
	free(corpus);
}

/* Settings. */

static bool decode_settings(const corpus_t *corpus, const input_t *input,
			    uint64_t seed)
{
	char *text = copy_text(input);
	settings_faults_t *faults = check_allocate(sizeof(*faults));
	settings_t settings;
	int error = settings_parse(text, &settings, faults);

	(void)corpus;
	CHECK_SEED((error == SETTINGS_OK) == (faults->count == 0), seed);
	CHECK_SEED(faults->count <= SETTINGS_FAULTS_MAX, seed);
	if (error == SETTINGS_OK) {
		CHECK_SEED(settings.name[0] != '\0' &&
				   strlen(settings.name) < 64,
			   seed);
		CHECK_SEED(settings.caller.port > 0 && settings.peer.port > 0,
			   seed);
		CHECK_SEED(settings.seed_count <= SETTINGS_SEEDS_MAX, seed);
		CHECK_SEED(settings.request_max_bytes >= 1024 &&
				   settings.request_max_bytes <= 1048576,
			   seed);
		CHECK_SEED(settings.peer_message_max_bytes >= 65536 &&
				   settings.peer_message_max_bytes <= 16777216,
			   seed);
		CHECK_SEED(settings.detect_ms >=
				   2 * settings.status_interval_ms,
			   seed);
		CHECK_SEED(settings.probe_timeout_ms < settings.probe_period_ms,
			   seed);
		CHECK_SEED(strlen(settings.session_secret) >= 16, seed);
		CHECK_SEED(settings.log_level >= 0 && settings.log_level <= 7,
			   seed);
	}
	free(faults);
	free(text);
	return error == SETTINGS_OK;
}

/* Guards against a settings file that is accepted with values out of range. */
static void test_settings(void)
{
	static const char least[] = "[instance]\nname=p\ndomain=z\n"
				    "[caller]\nlisten=127.0.0.1:1\n"
				    "[operator]\nlisten=127.0.0.1:2\n"
				    "[peer]\nlisten=[::1]:3\n"
				    "[platform]\naddress=127.0.0.1:4\n"
				    "[session]\nsecret=0123456789abcdef\n";
	static const char more[] =
		"[instance]\nname = proxy-1\ndomain = za.a\n"
		"[caller]\nlisten = 127.0.0.1:7000\n"
		"[operator]\nlisten = 127.0.0.1:7001\n"
		"[peer]\nlisten = 127.0.0.1:7002 ; comment\n"
		"seeds = 127.0.0.2:7002 [::1]:7002\n\t127.0.0.3:7002\n"
		"message_max_bytes = 65536\n"
		"[platform]\naddress = 127.0.0.1:2379\nprefix = /h\n"
		"[session]\nsecret = 0123456789abcdef\n"
		"[limits]\nrequest_max_bytes = 1024\n"
		"[failover]\nstatus_interval_ms = 100\ndetect_ms = 750\n"
		"[membership]\nperiod_ms = 250\ntimeout_ms = 90\n"
		"[trace]\ncollector = 127.0.0.1:4318\n[log]\nlevel = debug\n";
	corpus_t *corpus = check_allocate(sizeof(*corpus));

	corpus_add(corpus, least, strlen(least));
	corpus_add(corpus, more, strlen(more));
	fuzz(corpus, decode_settings, check_seeds(SEEDS));
	free(corpus);
}

/* Configuration of a service. */

static bool decode_config(const corpus_t *corpus, const input_t *input,
			  uint64_t seed)
{
	char *json = copy_text(input);
	char text[CONFIG_ERROR_TEXT_SIZE];
	config_service_t service;
	config_service_t back;
	bool accepted = config_service_parse(json, &service, text) == CONFIG_OK;
	uint32_t i;

	(void)corpus;
	free(json);
	if (!accepted) {
		CHECK_SEED(strnlen(text, sizeof(text)) < sizeof(text), seed);
		return false;
	}
	CHECK_SEED(strnlen(service.name, CONFIG_NAME_SIZE) < CONFIG_NAME_SIZE,
		   seed);
	CHECK_SEED(service.target_count >= 1 &&
			   service.target_count <= GROUP_TARGETS_MAX,
		   seed);
	CHECK_SEED(service.slots >= 1 && service.slots <= 1024, seed);
	CHECK_SEED(service.connections >= 4 && service.connections <= 4096,
		   seed);
	CHECK_SEED(service.schema_read_min <= service.schema_write &&
			   service.schema_write <= service.schema_read_max,
		   seed);
	for (i = 0; i < service.target_count; i++)
		CHECK_SEED(service.targets[i].name[0] != '\0' &&
				   service.targets[i].port > 0,
			   seed);
	json = config_service_format(&service);
	CHECK_SEED(json && strlen(json) <= CONFIG_TEXT_MAX_BYTES, seed);
	CHECK_SEED(config_service_parse(json, &back, text) == CONFIG_OK, seed);
	CHECK_SEED(back.slots == service.slots &&
			   back.target_count == service.target_count &&
			   strcmp(back.name, service.name) == 0,
		   seed);
	free(json);
	return true;
}

/* Guards against a configuration that is accepted with values out of range, and
 * against one that can't be written and read again. */
static void test_config(void)
{
	static const char least[] =
		"{\"name\":\"s\",\"targets\":[{\"name\":\"a\",\"address\":"
		"\"127.0.0.1\",\"port\":5432,\"domain\":\"z\"}]}";
	static const char more[] =
		"{\"name\":\"ledger\",\"targets\":["
		"{\"name\":\"a\",\"address\":\"127.0.0.1\",\"port\":1,"
		"\"domain\":\"z1\",\"leaving\":true},"
		"{\"name\":\"b\",\"address\":\"::1\",\"port\":65535,"
		"\"domain\":\"z2\"}],"
		"\"slots\":5,\"connections\":60,\"queue_max\":0,"
		"\"schema_read_min\":2,\"schema_read_max\":4,"
		"\"schema_write\":3,\"default_max_age_ms\":0,"
		"\"default_deadline_ms\":10,\"transaction_idle_ms\":100}";
	corpus_t *corpus = check_allocate(sizeof(*corpus));

	corpus_add(corpus, least, strlen(least));
	corpus_add(corpus, more, strlen(more));
	fuzz(corpus, decode_config, check_seeds(SEEDS));
	free(corpus);
}

/* History of a group. */

static bool decode_history(const corpus_t *corpus, const input_t *input,
			   uint64_t seed)
{
	char *text = copy_text(input);
	group_status_t status = { .log_term = UINT32_MAX };
	bool accepted = group_history_parse(text, &status) == GROUP_OK;
	uint32_t i;

	(void)corpus;
	CHECK_SEED(status.history_count <= GROUP_HISTORY_MAX, seed);
	CHECK_SEED(accepted || status.history_count == 0, seed);
	for (i = 1; i < status.history_count; i++)
		CHECK_SEED(status.history[i].term > status.history[i - 1].term,
			   seed);
	free(text);
	return accepted;
}

/* Guards against a history that is accepted out of order: session tokens are
 * checked against it. */
static void test_history(void)
{
	static const char longest[] =
		"1:1,2:2,3:3,4:4,5:5,6:6,7:7,8:8,9:9,10:10,11:11,12:12,13:13,"
		"14:14,15:15,16:16,17:17";
	static const char *const texts[] = { "", "1:10", "1:10,3:40",
					     "4294967295:18446744073709551615",
					     longest };
	corpus_t *corpus = check_allocate(sizeof(*corpus));
	size_t i;

	for (i = 0; i < COUNT(texts); i++)
		corpus_add(corpus, texts[i], strlen(texts[i]));
	fuzz(corpus, decode_history, check_seeds(SEEDS));
	free(corpus);
}

/* Trace context. */

static bool decode_trace(const corpus_t *corpus, const input_t *input,
			 uint64_t seed)
{
	char *text = copy_text(input);
	char reencoded[TRACE_TRACEPARENT_SIZE];
	trace_context_t context;
	bool accepted = trace_context_parse(text, &context) == TRACE_OK;

	(void)corpus;
	if (accepted) {
		trace_context_format(&context, reencoded);
		CHECK_SEED(strncmp(text, reencoded, 53) == 0, seed);
		CHECK_SEED(strlen(text) == TRACE_TRACEPARENT_SIZE - 1, seed);
	}
	free(text);
	return accepted;
}

/* Guards against a traceparent header that is read past its end or decoded to
 * another context. */
static void test_trace(void)
{
	static const char first[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	static const char second[] =
		"00-80000000000000000000000000000000-0000000000000001-00";
	corpus_t *corpus = check_allocate(sizeof(*corpus));

	corpus_add(corpus, first, strlen(first));
	corpus_add(corpus, second, strlen(second));
	fuzz(corpus, decode_trace, check_seeds(SEEDS));
	free(corpus);
}

/* Request of a caller. */

static struct {
	struct event_base *base;
	clock_source_t clock;
	uint16_t port;
	int fd;
	int requests;
	int malformed;
	uint64_t seed;
} http;

static void on_request(void *context, caller_call_t *call,
		       const caller_request_t *request)
{
	static const caller_answer_t answer = { .age_ms = CALLER_AGE_NONE };

	(void)context;
	http.requests++;
	CHECK_SEED(request->operation <= CALLER_OPERATION_ROLLBACK, http.seed);
	CHECK_SEED(strlen(request->service) <= 63, http.seed);
	CHECK_SEED(strlen(request->key) <= CALLER_KEY_MAX_BYTES, http.seed);
	CHECK_SEED(strlen(request->transaction) <= CALLER_TRANSACTION_MAX_BYTES,
		   http.seed);
	CHECK_SEED(request->max_age_ms >= CALLER_AGE_NONE &&
			   request->max_age_ms <= 3600000,
		   http.seed);
	CHECK_SEED(request->deadline_ms >= 0 && request->deadline_ms <= 600000,
		   http.seed);
	CHECK_SEED(request->schema_version <= 1000000, http.seed);
	CHECK_SEED(request->statement && request->token && request->traceparent,
		   http.seed);
	caller_call_answer(call, &answer);
}

static void on_malformed(void *context, const char *text)
{
	(void)context;
	CHECK_SEED(*text != '\0', http.seed);
	http.malformed++;
}

static bool on_ready(void *context)
{
	(void)context;
	return true;
}

static int http_connect(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(http.port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		abort();
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Sends bytes, which fit into the buffers of the kernel, and reads the answer.
 * If the bytes are the whole stream, the sending side is shut down, and the
 * answer is read until the server closes the connection. Returns the HTTP
 * status, 0 if there is none, or -1 after a timeout. */
static int http_exchange(int fd, const char *bytes, size_t count, bool whole)
{
	clock_ms_t end_ms = clock_source_now(&http.clock) + WAIT_MS;
	char text[8 * INPUT_MAX_BYTES];
	size_t length = 0;

	if (send(fd, bytes, count, MSG_NOSIGNAL) != (ssize_t)count)
		return -1;
	if (whole)
		shutdown(fd, SHUT_WR);
	while (clock_source_now(&http.clock) < end_ms) {
		ssize_t got;

		event_base_loop(http.base, EVLOOP_NONBLOCK);
		got = read(fd, text + length, sizeof(text) - 1 - length);
		if (got > 0)
			length += (size_t)got;
		text[length] = '\0';
		/* The JSON body of an answer ends with a line feed. */
		if (got == 0 || (got < 0 && errno != EAGAIN) ||
		    (!whole && length > 0 && text[length - 1] == '\n' &&
		     strstr(text, "}\n")))
			return strncmp(text, "HTTP/1.", 7) == 0
				       ? (int)strtol(text + 9, NULL, 10)
				       : 0;
	}
	return -1;
}

static bool decode_body(const corpus_t *corpus, const input_t *input,
			uint64_t seed)
{
	char text[INPUT_MAX_BYTES + 128];
	int head = snprintf(text, sizeof(text),
			    "POST /v1/statement HTTP/1.1\r\nHost: x\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    input->count);
	int status;

	(void)corpus;
	memcpy(text + head, input->bytes, input->count);
	http.requests = http.malformed = 0;
	http.seed = seed;
	status = http_exchange(http.fd, text, (size_t)head + input->count,
			       false);
	CHECK_SEED(status == 200 || status == 400, seed);
	CHECK_SEED(http.requests == (status == 200), seed);
	CHECK_SEED(http.malformed == (status == 400), seed);
	return status == 200;
}

static bool decode_stream(const corpus_t *corpus, const input_t *input,
			  uint64_t seed)
{
	int fd = http_connect();
	int status;

	(void)corpus;
	http.seed = seed;
	status = http_exchange(fd, input->bytes, input->count, true);
	CHECK_SEED(status >= 0, seed);
	close(fd);
	return status == 200;
}

static caller_server_t *http_start(void)
{
	caller_options_t options = { .address = "127.0.0.1",
				     .request_max_bytes = BODY_MAX_BYTES,
				     .idle_ms = 60000 };
	caller_handler_t handler = { .request = on_request,
				     .malformed = on_malformed,
				     .ready = on_ready };
	caller_server_t *server = NULL;
	int attempt;

	http.clock = clock_source_boot();
	http.base = event_base_new();
	/* Another program may take the free port before the server does. */
	for (attempt = 0; attempt < 10 && !server; attempt++) {
		struct sockaddr_in address = { .sin_family = AF_INET };
		socklen_t length = sizeof(address);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (bind(fd, (struct sockaddr *)&address, length) != 0)
			abort();
		getsockname(fd, (struct sockaddr *)&address, &length);
		close(fd);
		http.port = options.port = ntohs(address.sin_port);
		server = caller_server_new(http.base, &options, &handler);
	}
	if (!server)
		abort();
	return server;
}

/* Guards against a request of a caller that crashes a proxy, is answered twice,
 * or is accepted with a field out of bounds. */
static void test_caller(void)
{
	static const char *const bodies[] = {
		"{\"service\":\"s\",\"kind\":\"read\",\"statement\":\"q\"}",
		"{\"service\":\"ledger\",\"kind\":\"write\",\"statement\":"
		"\"insert into t values ('\\u00e9')\",\"key\":\"k-1\","
		"\"token\":\"AAAA\",\"max_age_ms\":1000,\"deadline_ms\":500,"
		"\"schema_version\":3,\"transaction\":\"p~s~t~00\"}",
	};
	static const char *const streams[] = {
		"POST /v1/rollback HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		"Content-Length: 19\r\n\r\n{\"transaction\":\"t\"}",
		"POST /v1/commit?a=b&c=%41 HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\nTraceparent: 00-a-b\r\n\r\n"
		"13\r\n{\"transaction\":\"t\"}\r\n0\r\n\r\n",
		"GET /v1/ready HTTP/1.0\r\n\r\n",
	};
	caller_server_t *server = http_start();
	corpus_t *corpus = check_allocate(sizeof(*corpus));
	size_t i;

	http.fd = http_connect();
	for (i = 0; i < COUNT(bodies); i++)
		corpus_add(corpus, bodies[i], strlen(bodies[i]));
	fuzz(corpus, decode_body, check_seeds(SEEDS));
	close(http.fd);
	corpus->count = 0;
	for (i = 0; i < COUNT(streams); i++)
		corpus_add(corpus, streams[i], strlen(streams[i]));
	fuzz(corpus, decode_stream, check_seeds(SEEDS) / STREAM_SEEDS_DIVISOR);
	CU_ASSERT_EQUAL(caller_server_pending(server), 0);
	caller_server_free(server);
	event_base_free(http.base);
	free(corpus);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "session token", test_session },
		{ "peer message", test_peer },
		{ "settings", test_settings },
		{ "configuration", test_config },
		{ "history", test_history },
		{ "trace context", test_trace },
		{ "caller request", test_caller },
	};

	return check_main("fuzz", cases, COUNT(cases));
}
