#include "check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libpeer/bounds.h"
#include "libpeer/peer.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define BYTES(text) sizeof(text) - 1, text
#define MESSAGE_MAX_BYTES 65536
#define RECORDS_MAX 16
#define WAIT_MS 5000

/* Codec. */

typedef struct {
	const char *name;
	size_t count;
	const char *bytes;
} bytes_row_t;

/* Guards against a length that points past the end of a frame: msgpack-c would
 * allocate memory of the declared length or read out of bounds. */
static void test_bounds(void)
{
	static const bytes_row_t valid[] = {
		{ "fixint", BYTES("\x05") },
		{ "negative", BYTES("\xe0") },
		{ "nil", BYTES("\xc0") },
		{ "bool", BYTES("\xc3") },
		{ "fixstr", BYTES("\xa2xy") },
		{ "fixarray", BYTES("\x92\x01\x02") },
		{ "fixmap", BYTES("\x81\x01\x02") },
		{ "u8", BYTES("\xcc\xff") },
		{ "i16", BYTES("\xd1\xff\xff") },
		{ "float", BYTES("\xca\0\0\0\0") },
		{ "u64", BYTES("\xcf\0\0\0\0\0\0\0\1") },
		{ "bin8", BYTES("\xc4\x02xy") },
		{ "str16", BYTES("\xda\0\x02xy") },
		{ "bin32", BYTES("\xc6\0\0\0\x01x") },
		{ "array16", BYTES("\xdc\0\x02\x01\x02") },
		{ "array32", BYTES("\xdd\0\0\0\x01\x01") },
		{ "map16", BYTES("\xde\0\x01\x01\x02") },
		{ "map32", BYTES("\xdf\0\0\0\x01\x01\x02") },
		{ "depth 8", BYTES("\x91\x91\x91\x91\x91\x91\x91\x91\x01") },
	};
	static const bytes_row_t refused[] = {
		{ "never used", BYTES("\xc1") },
		{ "extension", BYTES("\xd4\x01\x00") },
		{ "depth 9",
		  BYTES("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01") },
		{ "4 G items", BYTES("\xdd\xff\xff\xff\xff\x01") },
		{ "4 G pairs", BYTES("\xdf\xff\xff\xff\xff\x01") },
		{ "4 G bytes", BYTES("\xdb\xff\xff\xff\xff\x01") },
		{ "4 G items inside", BYTES("\x92\x01\xdd\xff\xff\xff\xff") },
	};
	size_t i;
	size_t cut;

	for (i = 0; i < COUNT(valid); i++) {
		const bytes_row_t *row = &valid[i];
		char longer[32];

		CHECK_ROW(peer_bounds_check(row->bytes, row->count), row->name);
		for (cut = 0; cut < row->count; cut++)
			CHECK_ROW(!peer_bounds_check(row->bytes, cut),
				  row->name);
		memcpy(longer, row->bytes, row->count);
		longer[row->count] = '\0';
		CHECK_ROW(!peer_bounds_check(longer, row->count + 1),
			  row->name);
	}
	for (i = 0; i < COUNT(refused); i++)
		CHECK_ROW(
			!peer_bounds_check(refused[i].bytes, refused[i].count),
			refused[i].name);
}

static int decode_exact(const char *bytes, size_t count)
{
	peer_decoder_t *decoder = peer_decoder_new();
	peer_message_t message;
	/* The copy has the exact size, so that a sanitizer sees a read past its
	 * end. */
	char *exact = check_allocate(count);
	int error;

	memcpy(exact, bytes, count);
	error = peer_message_decode(decoder, exact, count, &message);
	free(exact);
	peer_decoder_free(decoder);
	return error;
}

typedef struct {
	const char *name;
	int error;
	size_t count;
	const char *bytes;
} decode_row_t;

#define OK(name, text)                     \
	{                                  \
		name, PEER_OK, BYTES(text) \
	}
#define BAD(name, text)                                 \
	{                                               \
		name, PEER_ERROR_MALFORMED, BYTES(text) \
	}

/* Guards against a malformed message that is accepted, and against the refusal
 * of a message to which a later version has added fields. */
static void test_decode(void)
{
	static const decode_row_t rows[] = {
		OK("no fields", "\x93\x01\x00\x80"),
		OK("unknown field", "\x93\x01\x00\x81\x63\xc0"),
		OK("unknown field with a list",
		   "\x93\x01\x00\x82\x63\x92\x01\x81\x01\x02\x01\x01"),
		OK("unknown field above 32 bits",
		   "\x93\x01\x00\x81\xcf\0\0\0\1\0\0\0\1\xa1x"),
		OK("unknown field of a member",
		   "\x93\x04\x00\x81\x02\x81\x63\xc3"),
		OK("least statement", "\x93\x05\x00\x81\x01\x01"),
		OK("negative age", "\x93\x05\x00\x82\x01\x01\x0a\xff"),
		OK("8 updates", "\x93\x04\x00\x81\x05"
				"\x98\x80\x80\x80\x80\x80\x80\x80\x80"),
		BAD("no bytes", ""),
		BAD("no array", "\x80"),
		BAD("two elements", "\x92\x01\x00"),
		BAD("four elements", "\x94\x01\x00\x80\x00"),
		BAD("bytes at the end", "\x93\x01\x00\x80\x00"),
		BAD("kind 0", "\x93\x00\x00\x80"),
		BAD("kind 11", "\x93\x0b\x00\x80"),
		BAD("kind 2^32 + 1", "\x93\xcf\0\0\0\1\0\0\0\1\x00\x80"),
		BAD("kind is a text", "\x93\xa1x\x00\x80"),
		BAD("negative request id", "\x93\x01\xff\x80"),
		BAD("fields in an array", "\x93\x01\x00\x90"),
		BAD("name of a field", "\x93\x01\x00\x81\xa1x\xc0"),
		BAD("text for a number", "\x93\x01\x00\x81\x01\xa1x"),
		BAD("nil for a number", "\x93\x01\x00\x81\x01\xc0"),
		BAD("fraction for a number",
		    "\x93\x01\x00\x81\x01\xca\x3f\x80\0\0"),
		BAD("negative number", "\x93\x01\x00\x81\x01\xff"),
		BAD("number above 32 bits",
		    "\x93\x01\x00\x81\x01\xcf\0\0\0\1\0\0\0\1"),
		BAD("age above 63 bits",
		    "\x93\x05\x00\x82\x01\x01\x0a\xcf\x80\0\0\0\0\0\0\0"),
		BAD("number for a bool", "\x93\x06\x00\x81\x04\x01"),
		BAD("number for a text", "\x93\x01\x00\x81\x02\x01"),
		BAD("binary for a text", "\x93\x01\x00\x81\x02\xc4\x01x"),
		BAD("zero byte in a text", "\x93\x01\x00\x81\x02\xa1\0"),
		BAD("zero byte in a name",
		    "\x93\x04\x00\x81\x02\x81\x01\xa2x\0"),
		BAD("member is an array", "\x93\x04\x00\x81\x02\x90"),
		BAD("updates are a map", "\x93\x04\x00\x81\x05\x80"),
		BAD("update is a number", "\x93\x04\x00\x81\x05\x91\x01"),
		BAD("9 updates", "\x93\x04\x00\x81\x05"
				 "\x99\x80\x80\x80\x80\x80\x80\x80\x80\x80"),
		BAD("operation missing", "\x93\x05\x00\x80"),
		BAD("operation 8", "\x93\x05\x00\x81\x01\x08"),
		BAD("outcome 3", "\x93\x06\x00\x81\x01\x03"),
		BAD("membership kind 3", "\x93\x04\x00\x81\x01\x03"),
		BAD("state 4", "\x93\x04\x00\x81\x02\x81\x05\x04"),
		BAD("state 4 of an update",
		    "\x93\x04\x00\x81\x05\x92\x80\x81\x05\x04"),
	};
	static const uint8_t name[] = { 0x93, 0x04, 0x00, 0x81, 0x02,
					0x81, 0x01, 0xd9, 63 };
	static const uint8_t list[] = { 0x93, 0x08, 0x00, 0x81,
					0x02, 0xdc, 0x10, 0x00 };
	char text[16 + PEER_ITEMS_MAX];
	size_t i;

	for (i = 0; i < COUNT(rows); i++)
		CHECK_ROW(decode_exact(rows[i].bytes, rows[i].count) ==
				  rows[i].error,
			  rows[i].name);
	/* Names of 63 bytes and lists of 4096 items are accepted; 64 bytes and
	 * 4097 items are malformed. */
	memset(text, 'x', sizeof(text));
	memcpy(text, name, sizeof(name));
	CU_ASSERT_EQUAL(decode_exact(text, 9 + 63), PEER_OK);
	text[8] = 64;
	CU_ASSERT_EQUAL(decode_exact(text, 9 + 64), PEER_ERROR_MALFORMED);
	memset(text, '\x80', sizeof(text));
	memcpy(text, list, sizeof(list));
	CU_ASSERT_EQUAL(decode_exact(text, 8 + PEER_ITEMS_MAX), PEER_OK);
	text[7] = 1;
	CU_ASSERT_EQUAL(decode_exact(text, 8 + PEER_ITEMS_MAX + 1),
			PEER_ERROR_MALFORMED);
}

/* Guards against a NULL text in a decoded message if a peer of an earlier
 * version leaves a field out. */
static void test_defaults(void)
{
	static const char statement[] = "\x93\x05\x07\x81\x01\x02";
	static const char changes[] = "\x93\x08\x00\x81\x02\x91\x80";
	peer_decoder_t *decoder = peer_decoder_new();
	peer_message_t message;

	CU_ASSERT_EQUAL(peer_message_decode(decoder, statement,
					    sizeof(statement) - 1, &message),
			PEER_OK);
	CU_ASSERT_EQUAL(message.request_id, 7);
	CU_ASSERT_EQUAL(message.u.statement.operation, PEER_OPERATION_WRITE);
	CU_ASSERT_STRING_EQUAL(message.u.statement.service, "");
	CU_ASSERT_STRING_EQUAL(message.u.statement.traceparent, "");
	CU_ASSERT_EQUAL(message.u.statement.seen.term, 0);
	CU_ASSERT_EQUAL(peer_message_decode(decoder, changes,
					    sizeof(changes) - 1, &message),
			PEER_OK);
	CU_ASSERT_EQUAL(message.u.changes.item_count, 1);
	CU_ASSERT_STRING_EQUAL(message.u.changes.items[0].text, "");
	CU_ASSERT_STRING_EQUAL(message.u.changes.items[0].operator_name, "");
	peer_decoder_free(decoder);
}

#define MEMBER(letter, number)                                               \
	{                                                                    \
		letter "-name", letter "-address", letter "-domain", number, \
			MEMBERSHIP_STATE_LEAVING, (number) + 1, (number) + 2 \
	}

/* Guards against a field that is not encoded, or that is decoded into the place
 * of another field. To show the latter, all values of a message differ. */
static void test_round_trip(void)
{
	static peer_name_t names[] = { { "t1" }, { "t2" } };
	static peer_item_t items[] = {
		{ 11, "t1", "t2", "t3", "t4" },
		{ UINT64_MAX, "t5", "t6", "t7", "t8" },
	};
	static const struct {
		peer_message_t message;
		const char *texts[16];
	} rows[] = {
		{ { PEER_MESSAGE_HELLO, 1, { .hello = { 7, "t1", 9 } } },
		  { "t1" } },
		{ { PEER_MESSAGE_ECHO, 2 }, { NULL } },
		{ { PEER_MESSAGE_ECHO_REPLY, UINT64_MAX }, { NULL } },
		{ { PEER_MESSAGE_MEMBERSHIP,
		    0,
		    { .membership = { MEMBERSHIP_MESSAGE_PING_REQUEST,
				      MEMBER("a", 1000),
				      UINT64_MAX,
				      "subject",
				      2,
				      { MEMBER("b", 2000),
					MEMBER("c", 3000) } } } },
		  { "a-name", "a-address", "a-domain", "subject", "b-name",
		    "b-address", "c-domain" } },
		{ { PEER_MESSAGE_STATEMENT,
		    5,
		    { .statement = { PEER_OPERATION_ROLLBACK,
				     "t1",
				     "t2",
				     "t3",
				     "t4",
				     UINT64_MAX,
				     "t5",
				     { 21, 22 },
				     -1,
				     INT64_MAX,
				     "t6" } } },
		  { "t1", "t2", "t3", "t4", "t5", "t6" } },
		{ { PEER_MESSAGE_STATEMENT_REPLY,
		    6,
		    { .reply = { 2,
				 "t1",
				 "t2",
				 true,
				 "t3",
				 { 21, 22 },
				 true,
				 false,
				 INT64_MIN,
				 "t4",
				 "t5",
				 "t6",
				 true } } },
		  { "t1", "t2", "t3", "t4", "t5", "t6" } },
		{ { PEER_MESSAGE_CONFIGURATION_FETCH,
		    7,
		    { .fetch = { UINT64_MAX } } },
		  { NULL } },
		{ { PEER_MESSAGE_CONFIGURATION_CHANGES,
		    8,
		    { .changes = { 5, 2, items } } },
		  { "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8" } },
		{ { PEER_MESSAGE_CONFIGURATION_APPLIED,
		    9,
		    { .applied = { 6 } } },
		  { NULL } },
		{ { PEER_MESSAGE_LEAVING, 0, { .leaving = { 2, names } } },
		  { "t1", "t2" } },
	};
	size_t i;
	size_t k;

	for (i = 0; i < COUNT(rows); i++) {
		peer_decoder_t *decoder = peer_decoder_new();
		peer_message_t back;
		char *bytes;
		char *again;
		size_t count;
		size_t again_count;

		CHECK_SEED(peer_message_encode(&rows[i].message, &bytes,
					       &count) == PEER_OK,
			   i);
		CHECK_SEED(peer_message_decode(decoder, bytes, count, &back) ==
				   PEER_OK,
			   i);
		CHECK_SEED(peer_message_encode(&back, &again, &again_count) ==
				   PEER_OK,
			   i);
		CHECK_SEED(count == again_count &&
				   memcmp(bytes, again, count) == 0,
			   i);
		for (k = 0; rows[i].texts[k]; k++)
			CHECK_SEED(memmem(bytes, count, rows[i].texts[k],
					  strlen(rows[i].texts[k])),
				   i);
		if (back.kind == PEER_MESSAGE_STATEMENT) {
			CU_ASSERT_EQUAL(back.u.statement.seen.term, 21);
			CU_ASSERT_EQUAL(back.u.statement.seen.position_bytes,
					22);
			CU_ASSERT_EQUAL(back.u.statement.max_age_ms, -1);
			CU_ASSERT_EQUAL(back.u.statement.remaining_ms,
					INT64_MAX);
		}
		if (back.kind == PEER_MESSAGE_STATEMENT_REPLY) {
			CU_ASSERT_TRUE(back.u.reply.again);
			CU_ASSERT_TRUE(back.u.reply.acknowledged);
			CU_ASSERT_FALSE(back.u.reply.primary);
			CU_ASSERT_TRUE(back.u.reply.overload);
		}
		free(bytes);
		free(again);
		peer_decoder_free(decoder);
	}
	CU_ASSERT_EQUAL(peer_message_encode(&(peer_message_t){ .kind = 99 },
					    &(char *){ NULL }, &(size_t){ 0 }),
			PEER_ERROR_MALFORMED);
}

/* Nodes. */

typedef struct {
	int count;
	uint64_t link_ids[RECORDS_MAX];
	uint64_t request_ids[RECORDS_MAX];
	char texts[RECORDS_MAX][32];
	int closed;
	char reason[64];
} node_record_t;

typedef struct {
	int calls;
	int error;
	char text[32];
	/* If set, the callback sends another request to this address, and its
	 * result is stored in repeat_error. */
	const char *repeat_address;
	int repeat_error;
} request_result_t;

static struct event_base *base;
static clock_source_t boot;

static void on_message(void *context, uint64_t link_id,
		       const peer_message_t *message)
{
	node_record_t *record = context;

	if (record->count == RECORDS_MAX)
		return;
	record->link_ids[record->count] = link_id;
	record->request_ids[record->count] = message->request_id;
	if (message->kind == PEER_MESSAGE_STATEMENT)
		snprintf(record->texts[record->count], sizeof(record->texts[0]),
			 "%s", message->u.statement.statement);
	record->count++;
}

static void on_log(void *context, const char *event, const char *peer,
		   const char *detail)
{
	node_record_t *record = context;

	(void)peer;
	if (strcmp(event, "peer-closed") != 0)
		return;
	record->closed++;
	snprintf(record->reason, sizeof(record->reason), "%s", detail);
}

typedef struct {
	peer_node_t *node;
	node_record_t record;
	char address[PEER_ADDRESS_SIZE];
} node_t;

static int raw_socket(struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	*address = (struct sockaddr_in){ .sin_family = AF_INET };
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return fd;
}

/* Returns a listening socket on a free port; text receives its address. */
static int raw_listen(int backlog, char text[PEER_ADDRESS_SIZE])
{
	struct sockaddr_in address;
	socklen_t length = sizeof(address);
	int fd = raw_socket(&address);

	CU_ASSERT_EQUAL_FATAL(
		bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(fd, backlog), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	getsockname(fd, (struct sockaddr *)&address, &length);
	snprintf(text, PEER_ADDRESS_SIZE, "127.0.0.1:%u",
		 ntohs(address.sin_port));
	return fd;
}

static uint16_t parse_port(const char *address)
{
	return (uint16_t)strtoul(strchr(address, ':') + 1, NULL, 10);
}

static int raw_connect(const char *text)
{
	struct sockaddr_in address;
	int fd = raw_socket(&address);

	address.sin_port = htons(parse_port(text));
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static node_t *node_start(clock_ms_t echo_timeout_ms, clock_ms_t idle_ms)
{
	peer_options_t options = { .listen_address = "127.0.0.1",
				   .name = "proxy-1",
				   .incarnation = 3,
				   .message_max_bytes = MESSAGE_MAX_BYTES,
				   .connect_timeout_ms = 10000,
				   .echo_timeout_ms = echo_timeout_ms,
				   .idle_ms = idle_ms };
	node_t *node = check_allocate(sizeof(*node));
	peer_handler_t handler = { .message = on_message, .log = on_log };
	int attempt;

	handler.context = &node->record;
	/* Another program may take the free port before the node does. */
	for (attempt = 0; attempt < 10 && !node->node; attempt++) {
		close(raw_listen(1, node->address));
		options.listen_port = parse_port(node->address);
		node->node = peer_node_new(base, &boot, &options, &handler);
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->node);
	return node;
}

static void node_stop(node_t *node)
{
	peer_node_free(node->node);
	free(node);
}

static void run_loop_once(void)
{
	event_base_loop(base, EVLOOP_NONBLOCK);
	usleep(1000);
}

static void run_for(clock_ms_t time_ms)
{
	clock_ms_t end_ms = clock_source_now(&boot) + time_ms;

	while (clock_source_now(&boot) < end_ms)
		run_loop_once();
}

/* Runs the loop until *counter reaches count, for up to WAIT_MS. Returns
 * whether the count was reached. */
static bool run_until(const int *counter, int count)
{
	clock_ms_t end_ms = clock_source_now(&boot) + WAIT_MS;

	while (*counter < count && clock_source_now(&boot) < end_ms)
		run_loop_once();
	return *counter >= count;
}

static peer_message_t statement_of(const char *text)
{
	return (peer_message_t){
		.kind = PEER_MESSAGE_STATEMENT,
		.u.statement = { .operation = PEER_OPERATION_READ,
				 .service = "s",
				 .target = "t",
				 .statement = text,
				 .key = "",
				 .transaction = "",
				 .traceparent = "" },
	};
}

static peer_message_t reply_of(const char *text)
{
	return (peer_message_t){ .kind = PEER_MESSAGE_STATEMENT_REPLY,
				 .u.reply = { .rows_json = text } };
}

static int send_request(node_t *from, const char *address, const char *text,
			clock_ms_t timeout_ms, request_result_t *result);

/* The node of requests that are repeated from their callback. */
static node_t *repeating_node;

static void on_done(void *context, int error, const peer_message_t *reply)
{
	request_result_t *result = context;

	result->calls++;
	result->error = error;
	if (reply && reply->kind == PEER_MESSAGE_STATEMENT_REPLY)
		snprintf(result->text, sizeof(result->text), "%s",
			 reply->u.reply.rows_json);
	if (result->repeat_address)
		result->repeat_error =
			send_request(repeating_node, result->repeat_address,
				     "repeated", 1000, result);
}

static int send_request(node_t *from, const char *address, const char *text,
			clock_ms_t timeout_ms, request_result_t *result)
{
	peer_message_t message = statement_of(text);

	return peer_node_request(from->node, address, &message, timeout_ms,
				 on_done, result);
}

static int send_reply(node_t *node, int index, const char *text)
{
	peer_message_t reply = reply_of(text);

	return peer_node_reply(node->node, node->record.link_ids[index],
			       node->record.request_ids[index], &reply);
}

/* A connection without a node, on which the test reads and writes frames. */
typedef struct {
	int fd;
	size_t count;
	char bytes[2 * MESSAGE_MAX_BYTES];
	peer_decoder_t *decoder;
} raw_t;

static raw_t *raw_open(int fd)
{
	raw_t *raw = check_allocate(sizeof(*raw));

	raw->fd = fd;
	raw->decoder = peer_decoder_new();
	return raw;
}

static raw_t *raw_accept(int listener)
{
	clock_ms_t end_ms = clock_source_now(&boot) + WAIT_MS;
	int fd = -1;

	while (fd < 0 && clock_source_now(&boot) < end_ms) {
		run_loop_once();
		fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	}
	CU_ASSERT_FATAL(fd >= 0);
	return raw_open(fd);
}

static void raw_close(raw_t *raw)
{
	close(raw->fd);
	peer_decoder_free(raw->decoder);
	free(raw);
}

/* Decodes the next frame and removes it from the buffer. Returns false if the
 * buffer has no whole frame. */
static bool raw_parse_frame(raw_t *raw, peer_message_t *message)
{
	uint32_t length;

	if (raw->count < sizeof(length))
		return false;
	memcpy(&length, raw->bytes, sizeof(length));
	length = ntohl(length);
	if (raw->count < sizeof(length) + length)
		return false;
	CU_ASSERT_EQUAL(peer_message_decode(raw->decoder,
					    raw->bytes + sizeof(length), length,
					    message),
			PEER_OK);
	raw->count -= sizeof(length) + length;
	memmove(raw->bytes, raw->bytes + sizeof(length) + length, raw->count);
	return true;
}

/* Waits up to time_ms for a message of a kind and skips messages of others. */
static bool raw_receive(raw_t *raw, peer_message_kind_t kind,
			peer_message_t *message, clock_ms_t time_ms)
{
	clock_ms_t end_ms = clock_source_now(&boot) + time_ms;

	while (clock_source_now(&boot) < end_ms) {
		ssize_t count = read(raw->fd, raw->bytes + raw->count,
				     sizeof(raw->bytes) - raw->count);

		if (count > 0)
			raw->count += (size_t)count;
		while (raw_parse_frame(raw, message)) {
			if (message->kind == kind)
				return true;
		}
		run_loop_once();
	}
	return false;
}

static void raw_send(raw_t *raw, const peer_message_t *message)
{
	uint32_t length;
	char *bytes;
	size_t count;

	CU_ASSERT_EQUAL_FATAL(peer_message_encode(message, &bytes, &count),
			      PEER_OK);
	length = htonl((uint32_t)count);
	CU_ASSERT_EQUAL(write(raw->fd, &length, sizeof(length)),
			sizeof(length));
	CU_ASSERT_EQUAL(write(raw->fd, bytes, count), (ssize_t)count);
	free(bytes);
}

static void raw_greet(raw_t *raw)
{
	raw_send(raw,
		 &(peer_message_t){ .kind = PEER_MESSAGE_HELLO,
				    .u.hello = { PEER_VERSION, "raw", 1 } });
}

/* Waits up to WAIT_MS until the node closes the connection. */
static bool raw_wait_closed(raw_t *raw)
{
	clock_ms_t end_ms = clock_source_now(&boot) + WAIT_MS;
	ssize_t count;

	do {
		run_loop_once();
		count = read(raw->fd, raw->bytes, sizeof(raw->bytes));
		if (count == 0 || (count < 0 && errno != EAGAIN))
			return true;
	} while (clock_source_now(&boot) < end_ms);
	return false;
}

/* Guards against a reply that ends another request than its own: replies arrive
 * out of order, late, twice, or over another connection than the request. */
static void test_answers(void)
{
	node_t *a = node_start(1000, 60000);
	node_t *b = node_start(1000, 60000);
	request_result_t results[4] = { 0 };
	peer_message_t forged = reply_of("forged");
	raw_t *raw;
	int i;

	CU_ASSERT_EQUAL(send_request(a, b->address, "zero", 100, &results[0]),
			PEER_OK);
	CU_ASSERT_EQUAL(results[0].calls, 0);
	CU_ASSERT_TRUE(run_until(&results[0].calls, 1));
	CU_ASSERT_EQUAL(results[0].error, PEER_ERROR_TIMEOUT);
	for (i = 1; i < 4; i++)
		CU_ASSERT_EQUAL(send_request(a, b->address,
					     (const char *[]){ "one", "two",
							       "three" }[i - 1],
					     WAIT_MS, &results[i]),
				PEER_OK);
	CU_ASSERT_TRUE(run_until(&b->record.count, 4));
	CU_ASSERT_STRING_EQUAL(b->record.texts[3], "three");
	/* The timeout retired the first connection, which is then closed. */
	CU_ASSERT_TRUE(run_until(&b->record.closed, 1));
	CU_ASSERT_EQUAL(send_reply(b, 0, "late"), PEER_ERROR_LOST);

	raw = raw_open(raw_connect(a->address));
	raw_greet(raw);
	forged.request_id = b->record.request_ids[2];
	raw_send(raw, &forged);
	run_for(50);
	CU_ASSERT_EQUAL(results[2].calls, 0);
	raw_close(raw);

	CU_ASSERT_EQUAL(send_reply(b, 3, "to three"), PEER_OK);
	CU_ASSERT_EQUAL(send_reply(b, 3, "again"), PEER_OK);
	CU_ASSERT_EQUAL(send_reply(b, 1, "to one"), PEER_OK);
	CU_ASSERT_TRUE(run_until(&results[1].calls, 1));
	CU_ASSERT_EQUAL(results[2].calls, 0);
	CU_ASSERT_EQUAL(send_reply(b, 2, "to two"), PEER_OK);
	CU_ASSERT_TRUE(run_until(&results[2].calls, 1));
	CU_ASSERT_STRING_EQUAL(results[1].text, "to one");
	CU_ASSERT_STRING_EQUAL(results[2].text, "to two");
	CU_ASSERT_STRING_EQUAL(results[3].text, "to three");
	run_for(50);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(results[i].calls, 1);
	node_stop(a);
	node_stop(b);
}

/* Guards against a reply that ends another request: it arrives after the
 * timeout of its own request, on a connection on which another request is
 * pending. */
static void test_late_answer(void)
{
	node_t *a = node_start(1000, 60000);
	node_t *b = node_start(1000, 60000);
	request_result_t early = { 0 };
	request_result_t other = { 0 };

	CU_ASSERT_EQUAL(send_request(a, b->address, "early", 100, &early),
			PEER_OK);
	CU_ASSERT_EQUAL(send_request(a, b->address, "other", WAIT_MS, &other),
			PEER_OK);
	CU_ASSERT_TRUE(run_until(&early.calls, 1));
	CU_ASSERT_EQUAL(early.error, PEER_ERROR_TIMEOUT);
	CU_ASSERT_EQUAL(send_reply(b, 0, "late"), PEER_OK);
	run_for(50);
	CU_ASSERT_EQUAL(other.calls, 0);
	CU_ASSERT_EQUAL(send_reply(b, 1, "own"), PEER_OK);
	CU_ASSERT_TRUE(run_until(&other.calls, 1));
	CU_ASSERT_STRING_EQUAL(other.text, "own");
	CU_ASSERT_EQUAL(early.calls, 1);
	node_stop(a);
	node_stop(b);
}

typedef enum {
	FAULT_SILENT,
	FAULT_PORT_CLOSED,
	FAULT_CLOSE_AFTER_READ,
	FAULT_BAD_ADDRESS,
} fault_t;

/* Guards against PEER_ERROR_NOT_SENT for a statement that may have reached the
 * peer: the statement would be answered as not-run, or sent again. */
static void test_errors(void)
{
	static const struct {
		const char *name;
		fault_t fault;
		int error;
	} rows[] = {
		{ "silent", FAULT_SILENT, PEER_ERROR_TIMEOUT },
		{ "port closed", FAULT_PORT_CLOSED, PEER_ERROR_NOT_SENT },
		{ "close after read", FAULT_CLOSE_AFTER_READ, PEER_ERROR_LOST },
		{ "bad address", FAULT_BAD_ADDRESS, PEER_ERROR_NOT_SENT },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		node_t *a = node_start(1000, 60000);
		request_result_t result = { 0 };
		peer_message_t message;
		char address[PEER_ADDRESS_SIZE];
		int listener = raw_listen(8, address);
		raw_t *raw;

		if (rows[i].fault == FAULT_PORT_CLOSED)
			close(listener);
		if (rows[i].fault == FAULT_BAD_ADDRESS) {
			result.error = send_request(a, "no address", "x", 200,
						    &result);
		} else {
			CHECK_ROW(send_request(a, address, "x", 200, &result) ==
					  PEER_OK,
				  rows[i].name);
			CHECK_ROW(result.calls == 0, rows[i].name);
			if (rows[i].fault == FAULT_CLOSE_AFTER_READ) {
				raw = raw_accept(listener);
				CHECK_ROW(raw_receive(raw,
						      PEER_MESSAGE_STATEMENT,
						      &message, WAIT_MS),
					  rows[i].name);
				raw_close(raw);
			}
			CHECK_ROW(run_until(&result.calls, 1), rows[i].name);
		}
		CHECK_ROW(result.error == rows[i].error, rows[i].name);
		run_for(20);
		CHECK_ROW(result.calls <= 1, rows[i].name);
		if (rows[i].fault != FAULT_PORT_CLOSED)
			close(listener);
		node_stop(a);
	}
}

/* Guards against a statement that is delivered although its request ended with
 * PEER_ERROR_NOT_SENT. This happens if the connection comes up after that. */
static void test_not_sent_is_final(void)
{
	node_t *a = node_start(1000, 60000);
	request_result_t result = { 0 };
	peer_message_t message;
	char address[PEER_ADDRESS_SIZE];
	/* The backlog of the listener holds one connection. The kernel drops
	 * the SYN of the next connection, which is sent again after 1 s. */
	int listener = raw_listen(0, address);
	raw_t *filler = raw_open(raw_connect(address));
	int fd = -1;
	clock_ms_t end_ms;

	CU_ASSERT_EQUAL(send_request(a, address, "x", 200, &result), PEER_OK);
	CU_ASSERT_TRUE(run_until(&result.calls, 1));
	CU_ASSERT_EQUAL(result.error, PEER_ERROR_NOT_SENT);
	close(accept(listener, NULL, NULL));
	end_ms = clock_source_now(&boot) + 1500;
	while (fd < 0 && clock_source_now(&boot) < end_ms) {
		run_loop_once();
		fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	}
	if (fd >= 0) {
		raw_t *raw = raw_open(fd);

		CU_ASSERT_FALSE(raw_receive(raw, PEER_MESSAGE_STATEMENT,
					    &message, 200));
		raw_close(raw);
	}
	CU_ASSERT_EQUAL(result.calls, 1);
	raw_close(filler);
	close(listener);
	node_stop(a);
}

/* Guards against requests that keep using a connection on which the peer no
 * longer answers, although a new connection would work. */
static void test_silent_replaced(void)
{
	node_t *a = node_start(200, 60000);
	request_result_t first = { 0 };
	request_result_t second = { 0 };
	peer_message_t message;
	peer_message_t reply = reply_of("alive");
	char address[PEER_ADDRESS_SIZE];
	int listener = raw_listen(8, address);
	raw_t *silent;
	raw_t *raw;

	CU_ASSERT_EQUAL(send_request(a, address, "first", 150, &first),
			PEER_OK);
	silent = raw_accept(listener);
	CU_ASSERT_TRUE(run_until(&first.calls, 1));
	CU_ASSERT_EQUAL(first.error, PEER_ERROR_TIMEOUT);
	CU_ASSERT_EQUAL(send_request(a, address, "second", WAIT_MS, &second),
			PEER_OK);
	raw = raw_accept(listener);
	raw_greet(raw);
	CU_ASSERT_TRUE(
		raw_receive(raw, PEER_MESSAGE_STATEMENT, &message, WAIT_MS));
	CU_ASSERT_STRING_EQUAL(message.u.statement.statement, "second");
	reply.request_id = message.request_id;
	raw_send(raw, &reply);
	CU_ASSERT_TRUE(run_until(&second.calls, 1));
	CU_ASSERT_STRING_EQUAL(second.text, "alive");
	CU_ASSERT_TRUE(raw_wait_closed(silent));
	raw_close(raw);
	raw_close(silent);
	close(listener);
	node_stop(a);
}

/* Guards against a failed connection that is never closed because it carries
 * only messages without a reply. In the second round, the peer sends a message
 * after it has received the echo and is silent from then on. */
static void test_silent_without_requests(void)
{
	peer_message_t probe = { .kind = PEER_MESSAGE_MEMBERSHIP };
	int round;

	for (round = 0; round < 2; round++) {
		node_t *a = node_start(200, 60000);
		peer_message_t message;
		char address[PEER_ADDRESS_SIZE];
		int listener = raw_listen(8, address);
		clock_ms_t end_ms;
		raw_t *raw;

		CU_ASSERT_EQUAL(peer_node_send(a->node, address, &probe),
				PEER_OK);
		raw = raw_accept(listener);
		raw_greet(raw);
		CU_ASSERT_TRUE(
			raw_receive(raw, PEER_MESSAGE_ECHO, &message, WAIT_MS));
		if (round == 1) {
			run_for(10);
			raw_send(raw, &probe);
		}
		end_ms = clock_source_now(&boot) + 1500;
		while (a->record.closed == 0 &&
		       clock_source_now(&boot) < end_ms) {
			CU_ASSERT_EQUAL(
				peer_node_send(a->node, address, &probe),
				PEER_OK);
			run_for(20);
		}
		CHECK_SEED(a->record.closed == 1, round);
		CHECK_SEED(strcmp(a->record.reason, "silent connection") == 0,
			   round);
		raw_close(raw);
		close(listener);
		node_stop(a);
	}
}

/* Guards against a connection that stays open after malformed input, and
 * against malformed input on one connection that closes the others. */
static void test_malformed(void)
{
#define HELLO "\0\0\0\x0a\x93\x01\x00\x82\x01\x01\x02\xa2me"
	static const struct {
		bytes_row_t row;
		const char *reason;
	} rows[] = {
		{ { "garbage", BYTES("GET / HTTP/1.1\r\n\r\n") },
		  "message too large" },
		{ { "oversized", BYTES(HELLO "\0\x01\0\x01") },
		  "message too large" },
		{ { "empty frame", BYTES("\0\0\0\0") }, "malformed message" },
		{ { "no msgpack", BYTES("\0\0\0\x02\xc1\xc1") },
		  "malformed message" },
		{ { "wrong version",
		    BYTES("\0\0\0\x06\x93\x01\x00\x81\x01\x02") },
		  "malformed message" },
		{ { "version missing", BYTES("\0\0\0\x04\x93\x01\x00\x80") },
		  "malformed message" },
		{ { "hello missing",
		    BYTES("\0\0\0\x06\x93\x05\x01\x81\x01\x01") },
		  "malformed message" },
		{ { "echo before hello", BYTES("\0\0\0\x04\x93\x02\x00\x80") },
		  "malformed message" },
		{ { "malformed after hello",
		    BYTES(HELLO "\0\0\0\x04\x93\x05\x01\x80") },
		  "malformed message" },
	};
	node_t *b = node_start(1000, 60000);
	node_t *a = node_start(1000, 60000);
	request_result_t result = { 0 };
	size_t i;

	CU_ASSERT_EQUAL(send_request(a, b->address, "x", WAIT_MS, &result),
			PEER_OK);
	CU_ASSERT_TRUE(run_until(&b->record.count, 1));
	for (i = 0; i < COUNT(rows); i++) {
		const bytes_row_t *row = &rows[i].row;
		raw_t *raw = raw_open(raw_connect(b->address));

		CHECK_ROW(write(raw->fd, row->bytes, row->count) ==
				  (ssize_t)row->count,
			  row->name);
		CHECK_ROW(raw_wait_closed(raw), row->name);
		CHECK_ROW(strcmp(b->record.reason, rows[i].reason) == 0,
			  row->name);
		raw_close(raw);
	}
	CU_ASSERT_EQUAL(b->record.closed, COUNT(rows));
	CU_ASSERT_EQUAL(peer_node_usage(b->node).malformed, COUNT(rows));
	CU_ASSERT_EQUAL(b->record.count, 1);
	CU_ASSERT_EQUAL(send_reply(b, 0, "ok"), PEER_OK);
	CU_ASSERT_TRUE(run_until(&result.calls, 1));
	CU_ASSERT_EQUAL(result.error, PEER_OK);
	node_stop(a);
	node_stop(b);
}

/* Guards against the loss of a frame that arrives in several reads. */
static void test_partial_frames(void)
{
	static const char stream[] = HELLO "\0\0\0\x06\x93\x05\x01\x81\x01\x01"
					   "\0\0\0\x06\x93\x05\x02\x81\x01\x01";
	node_t *b = node_start(1000, 60000);
	raw_t *raw = raw_open(raw_connect(b->address));
	size_t i;

	for (i = 0; i < sizeof(stream) - 1; i++) {
		CU_ASSERT_EQUAL(write(raw->fd, stream + i, 1), 1);
		run_loop_once();
	}
	CU_ASSERT_TRUE(run_until(&b->record.count, 2));
	CU_ASSERT_EQUAL(b->record.request_ids[1], 2);
	CU_ASSERT_EQUAL(b->record.closed, 0);
	raw_close(raw);
	node_stop(b);
}

/* Guards against a message above the limit that is sent: the peer would close
 * the connection. */
static void test_too_large(void)
{
	node_t *a = node_start(1000, 60000);
	request_result_t result = { 0 };
	char *text = check_allocate(MESSAGE_MAX_BYTES + 1);
	char address[PEER_ADDRESS_SIZE];
	int listener = raw_listen(8, address);
	int i;

	memset(text, 'x', MESSAGE_MAX_BYTES);
	text[MESSAGE_MAX_BYTES] = '\0';
	CU_ASSERT_EQUAL(send_request(a, address, text, 1000, &result),
			PEER_ERROR_TOO_LARGE);
	/* The output for a peer that doesn't read is bounded: of the messages
	 * of nearly the largest size, the ninth is refused. */
	text[MESSAGE_MAX_BYTES - 200] = '\0';
	for (i = 0; i < 9; i++) {
		peer_message_t message = statement_of(text);

		CU_ASSERT_EQUAL(peer_node_send(a->node, address, &message),
				i < 8 ? PEER_OK : PEER_ERROR_NOT_SENT);
	}
	run_for(20);
	CU_ASSERT_EQUAL(result.calls, 0);
	free(text);
	close(listener);
	node_stop(a);
}

/* Guards against connections that stay open without traffic, and against the
 * closing of a connection on which a request is pending. */
static void test_idle(void)
{
	node_t *a = node_start(60000, 200);
	node_t *b = node_start(60000, 60000);
	request_result_t result = { 0 };

	CU_ASSERT_EQUAL(send_request(a, b->address, "x", WAIT_MS, &result),
			PEER_OK);
	CU_ASSERT_TRUE(run_until(&b->record.count, 1));
	run_for(500);
	CU_ASSERT_EQUAL(a->record.closed, 0);
	CU_ASSERT_EQUAL(send_reply(b, 0, "ok"), PEER_OK);
	CU_ASSERT_TRUE(run_until(&result.calls, 1));
	CU_ASSERT_TRUE(run_until(&a->record.closed, 1));
	CU_ASSERT_STRING_EQUAL(a->record.reason, "idle");
	CU_ASSERT_TRUE(run_until(&b->record.closed, 1));
	CU_ASSERT_EQUAL(peer_node_usage(a->node).links, 0);
	CU_ASSERT_EQUAL(peer_node_usage(b->node).links, 0);
	node_stop(a);
	node_stop(b);
}

/* Guards against a request whose callback is called twice or never when its
 * node is freed. One of the callbacks sends another request. */
static void test_free(void)
{
	node_t *a = node_start(1000, 60000);
	node_t *b = node_start(1000, 60000);
	request_result_t results[2] = { { 0 },
					{ .repeat_address = b->address } };

	repeating_node = a;
	CU_ASSERT_EQUAL(send_request(a, b->address, "x", 100, &results[0]),
			PEER_OK);
	CU_ASSERT_EQUAL(send_request(a, b->address, "y", 100, &results[1]),
			PEER_OK);
	CU_ASSERT_TRUE(run_until(&b->record.count, 2));
	node_stop(a);
	CU_ASSERT_EQUAL(results[0].error, PEER_ERROR_CLOSED);
	CU_ASSERT_EQUAL(results[1].error, PEER_ERROR_CLOSED);
	CU_ASSERT_EQUAL(results[1].repeat_error, PEER_ERROR_NOT_SENT);
	run_for(200);
	CU_ASSERT_EQUAL(results[0].calls, 1);
	CU_ASSERT_EQUAL(results[1].calls, 1);
	/* A reply over a connection that is closed. */
	CU_ASSERT_EQUAL(send_reply(b, 0, "x"), PEER_ERROR_LOST);
	node_stop(b);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "bounds", test_bounds },
		{ "decode", test_decode },
		{ "defaults", test_defaults },
		{ "round trip", test_round_trip },
		{ "answers", test_answers },
		{ "late answer", test_late_answer },
		{ "errors", test_errors },
		{ "not sent is final", test_not_sent_is_final },
		{ "silent replaced", test_silent_replaced },
		{ "silent without requests", test_silent_without_requests },
		{ "malformed", test_malformed },
		{ "partial frames", test_partial_frames },
		{ "too large", test_too_large },
		{ "idle", test_idle },
		{ "free", test_free },
	};
	int status;

	boot = clock_source_boot();
	base = event_base_new();
	if (!base)
		return 1;
	status = check_main("peer", cases, COUNT(cases));
	event_base_free(base);
	return status;
}
