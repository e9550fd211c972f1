#include "internal.h"

#include <msgpack.h>
#include <openssl/crypto.h>
#include <string.h>

#define FORMAT_VERSION 1

typedef struct {
	uint8_t bytes[SESSION_RAW_MAX_BYTES];
	size_t length_bytes;
} writer_t;

/*
 * Appends data to the writer; the write callback of the msgpack packer. Returns
 * 0, or -1 if the data does not fit.
 */
static int writer_append(void *context, const char *data, size_t data_bytes)
{
	writer_t *writer = context;

	if (data_bytes > sizeof(writer->bytes) - writer->length_bytes)
		return -1;
	memcpy(writer->bytes + writer->length_bytes, data, data_bytes);
	writer->length_bytes += data_bytes;
	return 0;
}

/*
 * Packs a token as the msgpack array [version, [[service_hash, term, position],
 * ...]]. Returns SESSION_OK or SESSION_ERROR_TOO_LONG.
 */
static int pack_token(writer_t *writer, const session_token_t *token)
{
	msgpack_packer packer;
	int failed;
	uint32_t i;

	msgpack_packer_init(&packer, writer, writer_append);
	failed = msgpack_pack_array(&packer, 2);
	failed |= msgpack_pack_uint32(&packer, FORMAT_VERSION);
	failed |= msgpack_pack_array(&packer, token->count);
	for (i = 0; i < token->count; i++) {
		const session_entry_t *entry = &token->entries[i];

		failed |= msgpack_pack_array(&packer, 3);
		failed |= msgpack_pack_uint64(&packer, entry->service_hash);
		failed |= msgpack_pack_uint32(&packer, entry->seen.term);
		failed |= msgpack_pack_uint64(&packer,
					      entry->seen.position_bytes);
	}
	return failed ? SESSION_ERROR_TOO_LONG : SESSION_OK;
}

/*
 * Encodes and signs token. Writes the base64url text with a terminating zero to
 * text, which has room for text_size_bytes; SESSION_TEXT_MAX_BYTES + 1 is
 * always enough.
 *
 * Returns SESSION_OK, SESSION_ERROR_FULL if the token has more than
 * SESSION_SERVICES_MAX entries, SESSION_ERROR_BUFFER if the text does not fit,
 * SESSION_ERROR_TOO_LONG or SESSION_ERROR_CRYPTO.
 */
int session_token_encode(const session_key_t *key, const session_token_t *token,
			 char *text, size_t text_size_bytes)
{
	writer_t writer = { .length_bytes = 0 };
	uint8_t tag[SESSION_TAG_BYTES];
	int error;

	if (token->count > SESSION_SERVICES_MAX)
		return SESSION_ERROR_FULL;
	error = pack_token(&writer, token);
	if (error == SESSION_OK)
		error = session_key_sign(key, writer.bytes, writer.length_bytes,
					 tag);
	if (error != SESSION_OK)
		return error;
	if (writer_append(&writer, (const char *)tag, sizeof(tag)) != 0)
		return SESSION_ERROR_TOO_LONG;
	return session_base64url_encode(writer.bytes, writer.length_bytes, text,
					text_size_bytes);
}

typedef struct {
	const uint8_t *bytes;
	size_t length_bytes;
	size_t offset_bytes;
} reader_t;

/*
 * Reads the header of an array of up to 65535 elements.
 *
 * msgpack-c allocates memory for the stated number of elements before it reads
 * them. Array headers are therefore read here, and only numbers, for which it
 * allocates nothing, are read by msgpack-c.
 *
 * Returns SESSION_OK or SESSION_ERROR_MALFORMED.
 */
static int read_array(reader_t *reader, uint32_t *count)
{
	const uint8_t *at = reader->bytes + reader->offset_bytes;
	size_t left_bytes = reader->length_bytes - reader->offset_bytes;

	if (left_bytes >= 1 && (at[0] & 0xf0) == 0x90) {
		*count = at[0] & 0x0f;
		reader->offset_bytes += 1;
		return SESSION_OK;
	}
	if (left_bytes >= 3 && at[0] == 0xdc) {
		*count = (uint32_t)at[1] << 8 | at[2];
		reader->offset_bytes += 3;
		return SESSION_OK;
	}
	return SESSION_ERROR_MALFORMED;
}

/*
 * Reads an unsigned number up to max.
 *
 * Returns SESSION_OK or SESSION_ERROR_MALFORMED.
 */
static int read_number(reader_t *reader, uint64_t max, uint64_t *number)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return status;
	uint8_t lead;

	if (reader->offset_bytes >= reader->length_bytes)
		return SESSION_ERROR_MALFORMED;
	lead = reader->bytes[reader->offset_bytes];
	/* A positive fixint or an unsigned number of 8 to 64 bits. */
	if (lead > 0x7f && (lead < 0xcc || lead > 0xcf))
		return SESSION_ERROR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	status = msgpack_unpack_next(&unpacked, (const char *)reader->bytes,
				     reader->length_bytes,
				     &reader->offset_bytes);
	*number = unpacked.data.via.u64;
	msgpack_unpacked_destroy(&unpacked);
	if ((status != MSGPACK_UNPACK_SUCCESS &&
	     status != MSGPACK_UNPACK_EXTRA_BYTES) ||
	    *number > max)
		return SESSION_ERROR_MALFORMED;
	return SESSION_OK;
}

/*
 * Reads the entry of one service and appends it to token, which must have room.
 * A second entry of the same service is an error.
 *
 * Returns SESSION_OK or SESSION_ERROR_MALFORMED.
 */
static int read_entry(reader_t *reader, session_token_t *token)
{
	uint32_t count;
	uint64_t hash;
	uint64_t term;
	uint64_t position;

	if (read_array(reader, &count) != SESSION_OK || count != 3 ||
	    read_number(reader, UINT64_MAX, &hash) != SESSION_OK ||
	    read_number(reader, UINT32_MAX, &term) != SESSION_OK ||
	    read_number(reader, UINT64_MAX, &position) != SESSION_OK ||
	    session_token_find(token, hash))
		return SESSION_ERROR_MALFORMED;
	token->entries[token->count++] = (session_entry_t){
		.service_hash = hash,
		.seen = { .term = (uint32_t)term, .position_bytes = position },
	};
	return SESSION_OK;
}

/*
 * Reads the array of a token. The version is checked before the number of
 * elements, which can differ in another version.
 *
 * Returns SESSION_OK, SESSION_ERROR_VERSION, SESSION_ERROR_FULL or
 * SESSION_ERROR_MALFORMED.
 */
static int read_token(reader_t *reader, session_token_t *token)
{
	uint32_t count;
	uint64_t version;
	int error = SESSION_OK;

	if (read_array(reader, &count) != SESSION_OK ||
	    read_number(reader, UINT64_MAX, &version) != SESSION_OK)
		return SESSION_ERROR_MALFORMED;
	if (version != FORMAT_VERSION)
		return SESSION_ERROR_VERSION;
	if (count != 2 || read_array(reader, &count) != SESSION_OK)
		return SESSION_ERROR_MALFORMED;
	if (count > SESSION_SERVICES_MAX)
		return SESSION_ERROR_FULL;
	while (count-- > 0 && error == SESSION_OK)
		error = read_entry(reader, token);
	if (error == SESSION_OK && reader->offset_bytes != reader->length_bytes)
		error = SESSION_ERROR_MALFORMED;
	return error;
}

/*
 * Checks the signature of the text_bytes bytes at text and decodes them into
 * token. The signature is checked first, so that no part of a forged token is
 * interpreted. On an error token is empty. No memory is allocated.
 *
 * Returns SESSION_OK or:
 * - SESSION_ERROR_TOO_LONG: longer than SESSION_TEXT_MAX_BYTES;
 * - SESSION_ERROR_ENCODING: not base64url;
 * - SESSION_ERROR_SIGNATURE: shorter than a signature, or not signed by key;
 * - SESSION_ERROR_VERSION: another format version;
 * - SESSION_ERROR_FULL: more than SESSION_SERVICES_MAX services;
 * - SESSION_ERROR_MALFORMED: not the array of a token, or two entries of one
 *   service;
 * - SESSION_ERROR_CRYPTO: libcrypto failed.
 */
int session_token_decode(const session_key_t *key, const char *text,
			 size_t text_bytes, session_token_t *token)
{
	uint8_t raw[SESSION_RAW_MAX_BYTES];
	uint8_t tag[SESSION_TAG_BYTES];
	reader_t reader = { .bytes = raw };
	size_t raw_bytes;
	int error;

	token->count = 0;
	error = session_base64url_decode(text, text_bytes, raw, &raw_bytes);
	if (error != SESSION_OK)
		return error;
	if (raw_bytes < SESSION_TAG_BYTES)
		return SESSION_ERROR_SIGNATURE;
	reader.length_bytes = raw_bytes - SESSION_TAG_BYTES;
	error = session_key_sign(key, raw, reader.length_bytes, tag);
	if (error != SESSION_OK)
		return error;
	if (CRYPTO_memcmp(tag, raw + reader.length_bytes, sizeof(tag)) != 0)
		return SESSION_ERROR_SIGNATURE;
	error = read_token(&reader, token);
	if (error != SESSION_OK)
		token->count = 0;
	return error;
}
