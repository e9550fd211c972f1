#include "peer.h"

#include "bounds.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/*
 * A table of fields describes the structure of each message, and the encoder
 * and the decoder work on these tables. Field numbers are part of the protocol:
 * a number is never reused, and the decoder skips numbers that it doesn't know,
 * so that a later version can add fields.
 */
typedef enum {
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_BOOL,
	FIELD_TEXT, /* pointer to a text */
	FIELD_CHARS, /* char array of fixed size */
	FIELD_LIST, /* pointer to an allocated array of items */
	FIELD_ARRAY, /* array of items inside the structure */
	FIELD_STRUCT,
} field_kind_t;

typedef struct table field_table_t;

typedef struct {
	uint8_t number;
	field_kind_t kind;
	size_t offset;
	/* FIELD_CHARS: size in bytes; FIELD_LIST and FIELD_ARRAY: offset of
	 * the uint32_t number of items in the structure. */
	size_t size_or_count_offset;
	/* FIELD_LIST and FIELD_ARRAY: largest number of items allowed. */
	uint32_t items_max;
	/* FIELD_LIST, FIELD_ARRAY and FIELD_STRUCT: fields of an item. */
	const field_table_t *table;
} field_t;

struct table {
	const field_t *fields;
	size_t count;
	/* Size of the structure in bytes. */
	size_t size;
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define TABLE(type, array)                        \
	{                                         \
		array, COUNT(array), sizeof(type) \
	}

static const field_t hello_fields[] = {
	{ 1, FIELD_U32, offsetof(peer_hello_t, version) },
	{ 2, FIELD_TEXT, offsetof(peer_hello_t, name) },
	{ 3, FIELD_U64, offsetof(peer_hello_t, incarnation) },
};
static const field_table_t hello_table = TABLE(peer_hello_t, hello_fields);

static const field_t empty_fields[1];
static const field_table_t empty_table = { empty_fields, 0, 0 };

static const field_t member_fields[] = {
	{ 1, FIELD_CHARS, offsetof(membership_member_t, name),
	  MEMBERSHIP_NAME_SIZE },
	{ 2, FIELD_CHARS, offsetof(membership_member_t, address),
	  MEMBERSHIP_ADDRESS_SIZE },
	{ 3, FIELD_CHARS, offsetof(membership_member_t, domain),
	  MEMBERSHIP_NAME_SIZE },
	{ 4, FIELD_U64, offsetof(membership_member_t, incarnation) },
	{ 5, FIELD_U32, offsetof(membership_member_t, state) },
	{ 6, FIELD_U64, offsetof(membership_member_t, revision) },
	{ 7, FIELD_U64, offsetof(membership_member_t, latest_revision) },
};
static const field_table_t member_table =
	TABLE(membership_member_t, member_fields);

static const field_t membership_fields[] = {
	{ 1, FIELD_U32, offsetof(membership_message_t, kind) },
	{ 2, FIELD_STRUCT, offsetof(membership_message_t, from), 0, 0,
	  &member_table },
	{ 3, FIELD_U64, offsetof(membership_message_t, sequence) },
	{ 4, FIELD_CHARS, offsetof(membership_message_t, subject),
	  MEMBERSHIP_NAME_SIZE },
	{ 5, FIELD_ARRAY, offsetof(membership_message_t, updates),
	  offsetof(membership_message_t, update_count), MEMBERSHIP_UPDATES_MAX,
	  &member_table },
};
static const field_table_t membership_table =
	TABLE(membership_message_t, membership_fields);

static const field_t statement_fields[] = {
	{ 1, FIELD_U32, offsetof(peer_statement_t, operation) },
	{ 2, FIELD_TEXT, offsetof(peer_statement_t, service) },
	{ 3, FIELD_TEXT, offsetof(peer_statement_t, target) },
	{ 4, FIELD_TEXT, offsetof(peer_statement_t, statement) },
	{ 5, FIELD_TEXT, offsetof(peer_statement_t, key) },
	{ 6, FIELD_U64, offsetof(peer_statement_t, fingerprint) },
	{ 7, FIELD_TEXT, offsetof(peer_statement_t, transaction) },
	{ 8, FIELD_U32, offsetof(peer_statement_t, seen.term) },
	{ 9, FIELD_U64, offsetof(peer_statement_t, seen.position_bytes) },
	{ 10, FIELD_I64, offsetof(peer_statement_t, max_age_ms) },
	{ 11, FIELD_I64, offsetof(peer_statement_t, remaining_ms) },
	{ 12, FIELD_TEXT, offsetof(peer_statement_t, traceparent) },
};
static const field_table_t statement_table =
	TABLE(peer_statement_t, statement_fields);

static const field_t reply_fields[] = {
	{ 1, FIELD_U32, offsetof(peer_statement_reply_t, outcome) },
	{ 2, FIELD_TEXT, offsetof(peer_statement_reply_t, reason) },
	{ 3, FIELD_TEXT, offsetof(peer_statement_reply_t, message) },
	{ 4, FIELD_BOOL, offsetof(peer_statement_reply_t, again) },
	{ 5, FIELD_TEXT, offsetof(peer_statement_reply_t, rows_json) },
	{ 6, FIELD_U32, offsetof(peer_statement_reply_t, point.term) },
	{ 7, FIELD_U64,
	  offsetof(peer_statement_reply_t, point.position_bytes) },
	{ 8, FIELD_BOOL, offsetof(peer_statement_reply_t, acknowledged) },
	{ 9, FIELD_BOOL, offsetof(peer_statement_reply_t, primary) },
	{ 10, FIELD_I64, offsetof(peer_statement_reply_t, age_ms) },
	{ 11, FIELD_TEXT, offsetof(peer_statement_reply_t, target) },
	{ 12, FIELD_TEXT, offsetof(peer_statement_reply_t, transaction) },
	{ 13, FIELD_TEXT, offsetof(peer_statement_reply_t, hint) },
	{ 14, FIELD_BOOL, offsetof(peer_statement_reply_t, overload) },
};
static const field_table_t reply_table =
	TABLE(peer_statement_reply_t, reply_fields);

static const field_t fetch_fields[] = {
	{ 1, FIELD_U64, offsetof(peer_configuration_fetch_t, after_revision) },
};
static const field_table_t fetch_table =
	TABLE(peer_configuration_fetch_t, fetch_fields);

static const field_t item_fields[] = {
	{ 1, FIELD_U64, offsetof(peer_item_t, revision) },
	{ 2, FIELD_TEXT, offsetof(peer_item_t, service) },
	{ 3, FIELD_TEXT, offsetof(peer_item_t, text) },
	{ 4, FIELD_TEXT, offsetof(peer_item_t, writer) },
	{ 5, FIELD_TEXT, offsetof(peer_item_t, operator_name) },
};
static const field_table_t item_table = TABLE(peer_item_t, item_fields);

static const field_t changes_fields[] = {
	{ 1, FIELD_U64,
	  offsetof(peer_configuration_changes_t, complete_revision) },
	{ 2, FIELD_LIST, offsetof(peer_configuration_changes_t, items),
	  offsetof(peer_configuration_changes_t, item_count), PEER_ITEMS_MAX,
	  &item_table },
};
static const field_table_t changes_table =
	TABLE(peer_configuration_changes_t, changes_fields);

static const field_t applied_fields[] = {
	{ 1, FIELD_U64, offsetof(peer_configuration_applied_t, revision) },
};
static const field_table_t applied_table =
	TABLE(peer_configuration_applied_t, applied_fields);

static const field_t name_fields[] = {
	{ 1, FIELD_TEXT, offsetof(peer_name_t, name) },
};
static const field_table_t name_table = TABLE(peer_name_t, name_fields);

static const field_t leaving_fields[] = {
	{ 1, FIELD_LIST, offsetof(peer_leaving_t, names),
	  offsetof(peer_leaving_t, name_count), PEER_ITEMS_MAX, &name_table },
};
static const field_table_t leaving_table =
	TABLE(peer_leaving_t, leaving_fields);

/*
 * Returns the table for a kind of message, or NULL if the kind is unknown.
 */
static const field_table_t *message_table(uint64_t kind)
{
	/* The enumeration has 32 bits: a larger number would be truncated to
	 * another kind. */
	if (kind > UINT32_MAX)
		return NULL;
	switch ((peer_message_kind_t)kind) {
	case PEER_MESSAGE_HELLO:
		return &hello_table;
	case PEER_MESSAGE_ECHO:
	case PEER_MESSAGE_ECHO_REPLY:
		return &empty_table;
	case PEER_MESSAGE_MEMBERSHIP:
		return &membership_table;
	case PEER_MESSAGE_STATEMENT:
		return &statement_table;
	case PEER_MESSAGE_STATEMENT_REPLY:
		return &reply_table;
	case PEER_MESSAGE_CONFIGURATION_FETCH:
		return &fetch_table;
	case PEER_MESSAGE_CONFIGURATION_CHANGES:
		return &changes_table;
	case PEER_MESSAGE_CONFIGURATION_APPLIED:
		return &applied_table;
	case PEER_MESSAGE_LEAVING:
		return &leaving_table;
	}
	return NULL;
}

static void pack_table(msgpack_packer *packer, const field_table_t *table,
		       const char *base);

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t length = text ? strlen(text) : 0;

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

static void pack_items(msgpack_packer *packer, const field_t *field,
		       const char *base, const char *items)
{
	uint32_t count =
		*(const uint32_t *)(base + field->size_or_count_offset);
	uint32_t i;

	msgpack_pack_array(packer, count);
	for (i = 0; i < count; i++)
		pack_table(packer, field->table,
			   items + i * field->table->size);
}

static void pack_field(msgpack_packer *packer, const field_t *field,
		       const char *base)
{
	const char *at = base + field->offset;

	msgpack_pack_uint8(packer, field->number);
	switch (field->kind) {
	case FIELD_U32:
		msgpack_pack_uint32(packer, *(const uint32_t *)at);
		break;
	case FIELD_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case FIELD_I64:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_TEXT:
		pack_text(packer, *(const char *const *)at);
		break;
	case FIELD_CHARS:
		pack_text(packer, at);
		break;
	case FIELD_LIST:
		pack_items(packer, field, base, *(const char *const *)at);
		break;
	case FIELD_ARRAY:
		pack_items(packer, field, base, at);
		break;
	case FIELD_STRUCT:
		pack_table(packer, field->table, at);
		break;
	}
}

static void pack_table(msgpack_packer *packer, const field_table_t *table,
		       const char *base)
{
	size_t i;

	msgpack_pack_map(packer, table->count);
	for (i = 0; i < table->count; i++)
		pack_field(packer, &table->fields[i], base);
}

/*
 * Encodes a message as the msgpack array [kind, request id, fields], where
 * fields is a map from field number to value. The caller frees *bytes. Returns
 * PEER_OK, PEER_ERROR_MALFORMED for a kind that does not exist, or
 * PEER_ERROR_MEMORY.
 */
int peer_message_encode(const peer_message_t *message, char **bytes,
			size_t *count)
{
	const field_table_t *table = message_table(message->kind);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!table)
		return PEER_ERROR_MALFORMED;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint8(&packer, (uint8_t)message->kind);
	msgpack_pack_uint64(&packer, message->request_id);
	pack_table(&packer, table, (const char *)&message->u);
	*count = buffer.size;
	*bytes = msgpack_sbuffer_release(&buffer);
	return *bytes ? PEER_OK : PEER_ERROR_MEMORY;
}

struct peer_decoder {
	msgpack_zone zone;
};

/*
 * Creates a decoder, which owns the texts and lists of the messages that it
 * decodes. Returns NULL without memory.
 */
peer_decoder_t *peer_decoder_new(void)
{
	peer_decoder_t *decoder = malloc(sizeof(*decoder));

	if (decoder &&
	    !msgpack_zone_init(&decoder->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
		free(decoder);
		return NULL;
	}
	return decoder;
}

/*
 * Frees the decoder and the texts and lists of all messages that it decoded.
 * Does nothing with NULL.
 */
void peer_decoder_free(peer_decoder_t *decoder)
{
	if (!decoder)
		return;
	msgpack_zone_destroy(&decoder->zone);
	free(decoder);
}

static int unpack_table(peer_decoder_t *decoder, const field_table_t *table,
			const msgpack_object *object, char *base);

/*
 * Stores a whole number at "at". A number that doesn't fit into the type of the
 * field is malformed.
 */
static int unpack_number(const field_t *field, const msgpack_object *value,
			 char *at)
{
	bool positive = value->type == MSGPACK_OBJECT_POSITIVE_INTEGER;

	if (field->kind == FIELD_I64) {
		if (!positive && value->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
			return PEER_ERROR_MALFORMED;
		if (positive && value->via.u64 > INT64_MAX)
			return PEER_ERROR_MALFORMED;
		*(int64_t *)at = value->via.i64;
		return PEER_OK;
	}
	if (!positive)
		return PEER_ERROR_MALFORMED;
	if (field->kind == FIELD_U64) {
		*(uint64_t *)at = value->via.u64;
		return PEER_OK;
	}
	if (value->via.u64 > UINT32_MAX)
		return PEER_ERROR_MALFORMED;
	*(uint32_t *)at = (uint32_t)value->via.u64;
	return PEER_OK;
}

/*
 * Copies a text into the decoder's memory or into a char array and terminates
 * it with a zero byte. A text that contains a zero byte is malformed, because
 * it would end there for its readers.
 */
static int unpack_text(peer_decoder_t *decoder, const field_t *field,
		       const msgpack_object *value, char *at)
{
	size_t length;
	char *copy;

	if (value->type != MSGPACK_OBJECT_STR)
		return PEER_ERROR_MALFORMED;
	length = value->via.str.size;
	/* msgpack-c leaves the pointer of an empty text NULL. */
	if (length == 0) {
		if (field->kind == FIELD_CHARS)
			*at = '\0';
		else
			*(const char **)at = "";
		return PEER_OK;
	}
	if (memchr(value->via.str.ptr, '\0', length))
		return PEER_ERROR_MALFORMED;
	if (field->kind == FIELD_CHARS) {
		if (length >= field->size_or_count_offset)
			return PEER_ERROR_MALFORMED;
		memcpy(at, value->via.str.ptr, length);
		at[length] = '\0';
		return PEER_OK;
	}
	copy = msgpack_zone_malloc(&decoder->zone, length + 1);
	if (!copy)
		return PEER_ERROR_MEMORY;
	memcpy(copy, value->via.str.ptr, length);
	copy[length] = '\0';
	*(const char **)at = copy;
	return PEER_OK;
}

/*
 * Decodes the items of a list or array and stores their number. A list is
 * allocated with room for one item more, so that its size is never 0.
 */
static int unpack_items(peer_decoder_t *decoder, const field_t *field,
			const msgpack_object *value, char *base)
{
	char *items = base + field->offset;
	uint32_t count;
	uint32_t i;
	int error;

	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    value->via.array.size > field->items_max)
		return PEER_ERROR_MALFORMED;
	count = value->via.array.size;
	if (field->kind == FIELD_LIST) {
		items = msgpack_zone_malloc(&decoder->zone,
					    (count + 1) * field->table->size);
		if (!items)
			return PEER_ERROR_MEMORY;
		memset(items, 0, (count + 1) * field->table->size);
		*(char **)(base + field->offset) = items;
	}
	for (i = 0; i < count; i++) {
		error = unpack_table(decoder, field->table,
				     &value->via.array.ptr[i],
				     items + i * field->table->size);
		if (error != PEER_OK)
			return error;
	}
	*(uint32_t *)(base + field->size_or_count_offset) = count;
	return PEER_OK;
}

static int unpack_field(peer_decoder_t *decoder, const field_t *field,
			const msgpack_object *value, char *base)
{
	switch (field->kind) {
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_I64:
		return unpack_number(field, value, base + field->offset);
	case FIELD_BOOL:
		if (value->type != MSGPACK_OBJECT_BOOLEAN)
			return PEER_ERROR_MALFORMED;
		*(bool *)(base + field->offset) = value->via.boolean;
		return PEER_OK;
	case FIELD_TEXT:
	case FIELD_CHARS:
		return unpack_text(decoder, field, value, base + field->offset);
	case FIELD_LIST:
	case FIELD_ARRAY:
		return unpack_items(decoder, field, value, base);
	case FIELD_STRUCT:
		return unpack_table(decoder, field->table, value,
				    base + field->offset);
	}
	return PEER_ERROR_MALFORMED;
}

/*
 * Sets every text of a structure to "", so that a text that the peer left out
 * isn't NULL.
 */
static void set_defaults(const field_table_t *table, char *base)
{
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (table->fields[i].kind == FIELD_TEXT)
			*(const char **)(base + table->fields[i].offset) = "";
	}
}

static const field_t *find_field(const field_table_t *table, uint64_t number)
{
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (table->fields[i].number == number)
			return &table->fields[i];
	}
	return NULL;
}

static int unpack_table(peer_decoder_t *decoder, const field_table_t *table,
			const msgpack_object *object, char *base)
{
	uint32_t i;
	int error;

	if (object->type != MSGPACK_OBJECT_MAP)
		return PEER_ERROR_MALFORMED;
	set_defaults(table, base);
	for (i = 0; i < object->via.map.size; i++) {
		const msgpack_object_kv *pair = &object->via.map.ptr[i];
		const field_t *field;

		if (pair->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return PEER_ERROR_MALFORMED;
		field = find_field(table, pair->key.via.u64);
		if (!field)
			continue;
		error = unpack_field(decoder, field, &pair->val, base);
		if (error != PEER_OK)
			return error;
	}
	return PEER_OK;
}

/*
 * Checks that the enumerations of a message have known values, so that its
 * receiver needs no check of its own. Returns PEER_OK or PEER_ERROR_MALFORMED.
 */
static int check_ranges(const peer_message_t *message)
{
	const membership_message_t *membership = &message->u.membership;
	uint32_t i;

	switch (message->kind) {
	case PEER_MESSAGE_STATEMENT:
		if (message->u.statement.operation < PEER_OPERATION_READ ||
		    message->u.statement.operation > PEER_OPERATION_ROLLBACK)
			return PEER_ERROR_MALFORMED;
		return PEER_OK;
	case PEER_MESSAGE_STATEMENT_REPLY:
		return message->u.reply.outcome <= 2 ? PEER_OK
						     : PEER_ERROR_MALFORMED;
	case PEER_MESSAGE_MEMBERSHIP:
		if (membership->kind > MEMBERSHIP_MESSAGE_ACK ||
		    membership->from.state > MEMBERSHIP_STATE_DEAD)
			return PEER_ERROR_MALFORMED;
		for (i = 0; i < membership->update_count; i++) {
			if (membership->updates[i].state >
			    MEMBERSHIP_STATE_DEAD)
				return PEER_ERROR_MALFORMED;
		}
		return PEER_OK;
	default:
		return PEER_OK;
	}
}

/*
 * Decodes one frame, given without its length, into *message. Unknown field
 * numbers are skipped. A known field of the wrong type, a text that is too long
 * and a list with too many items are errors. A field that is missing is 0 or
 * "". The texts and lists of the message live until peer_decoder_free().
 *
 * Returns PEER_OK, PEER_ERROR_MALFORMED or PEER_ERROR_MEMORY.
 */
int peer_message_decode(peer_decoder_t *decoder, const char *bytes,
			size_t count, peer_message_t *message)
{
	msgpack_object object;
	const msgpack_object *parts;
	const field_table_t *table;
	size_t offset = 0;
	int error;

	if (!peer_bounds_check(bytes, count))
		return PEER_ERROR_MALFORMED;
	if (msgpack_unpack(bytes, count, &offset, &decoder->zone, &object) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    object.type != MSGPACK_OBJECT_ARRAY || object.via.array.size != 3)
		return PEER_ERROR_MALFORMED;
	parts = object.via.array.ptr;
	if (parts[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    parts[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return PEER_ERROR_MALFORMED;
	table = message_table(parts[0].via.u64);
	if (!table)
		return PEER_ERROR_MALFORMED;
	memset(message, 0, sizeof(*message));
	message->kind = (peer_message_kind_t)parts[0].via.u64;
	message->request_id = parts[1].via.u64;
	error = unpack_table(decoder, table, &parts[2], (char *)&message->u);
	return error == PEER_OK ? check_ranges(message) : error;
}
