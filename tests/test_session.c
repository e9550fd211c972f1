#include "check.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#include "libsession/session.h"

#define TEXT_SIZE (SESSION_TEXT_MAX_BYTES + 1)
#define ROWS(rows) (sizeof(rows) / sizeof((rows)[0]))

static session_key_t derive_key(const char *secret)
{
	session_key_t key;

	CU_ASSERT_EQUAL(session_key_derive(&key, secret), SESSION_OK);
	return key;
}

/* Writes the base64url text of payload, signed by key. Returns its length. */
static size_t make_text(const session_key_t *key, const uint8_t *payload,
			size_t payload_bytes, char *text)
{
	unsigned char raw[SESSION_TEXT_MAX_BYTES];
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned char padded[2 * SESSION_TEXT_MAX_BYTES];
	size_t i;

	memcpy(raw, payload, payload_bytes);
	HMAC(EVP_sha256(), key->bytes, sizeof(key->bytes), payload,
	     payload_bytes, digest, NULL);
	memcpy(raw + payload_bytes, digest, 16);
	EVP_EncodeBlock(padded, raw, (int)payload_bytes + 16);
	for (i = 0; padded[i] != '\0' && padded[i] != '='; i++) {
		text[i] = (char)padded[i];
		if (text[i] == '+')
			text[i] = '-';
		if (text[i] == '/')
			text[i] = '_';
	}
	return i;
}

static session_token_t random_token(check_random_t *random)
{
	session_token_t token = { .count = 0 };
	uint64_t count = check_random_below(random, SESSION_SERVICES_MAX + 1);

	while (count-- > 0)
		session_token_observe(
			&token, check_random_next(random),
			(group_point_t){
				.term = (uint32_t)check_random_next(random) >>
					check_random_below(random, 32),
				.position_bytes =
					check_random_next(random) >>
					check_random_below(random, 64),
			});
	return token;
}

static bool same_token(const session_token_t *a, const session_token_t *b)
{
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		const session_entry_t *entry =
			session_token_find(b, a->entries[i].service_hash);

		if (!entry ||
		    group_point_compare(entry->seen, a->entries[i].seen) != 0)
			return false;
	}
	return a->count == b->count;
}

typedef struct {
	const char *name;
	size_t bytes;
	const char *payload;
	int error;
} payload_row_t;

/* Guards against a signed payload other than the array of a token that is read
 * out of bounds, makes msgpack-c allocate memory, or is accepted. */
static void test_payload(void)
{
	static const payload_row_t rows[] = {
		{ "empty token", 3, "\x92\x01\x90", SESSION_OK },
		{ "one service", 7, "\x92\x01\x91\x93\x05\x06\x07",
		  SESSION_OK },
		{ "no payload", 0, "", SESSION_ERROR_MALFORMED },
		{ "no array", 1, "\x01", SESSION_ERROR_MALFORMED },
		{ "no version", 1, "\x92", SESSION_ERROR_MALFORMED },
		{ "version 2", 2, "\x92\x02", SESSION_ERROR_VERSION },
		{ "version of another length", 4, "\x93\x02\x90\x90",
		  SESSION_ERROR_VERSION },
		{ "no services", 2, "\x92\x01", SESSION_ERROR_MALFORMED },
		{ "three elements", 4, "\x93\x01\x90\x90",
		  SESSION_ERROR_MALFORMED },
		{ "bytes at the end", 4, "\x92\x01\x90\x00",
		  SESSION_ERROR_MALFORMED },
		{ "truncated entry", 6, "\x92\x01\x91\x93\x05\x06",
		  SESSION_ERROR_MALFORMED },
		{ "truncated number", 7, "\x92\x01\x91\x93\x05\x06\xcf",
		  SESSION_ERROR_MALFORMED },
		{ "missing entry", 7, "\x92\x01\x92\x93\x05\x06\x07",
		  SESSION_ERROR_MALFORMED },
		{ "short entry", 6, "\x92\x01\x91\x92\x05\x06",
		  SESSION_ERROR_MALFORMED },
		{ "service twice", 11,
		  "\x92\x01\x92\x93\x05\x06\x07\x93\x05\x06\x07",
		  SESSION_ERROR_MALFORMED },
		{ "negative", 7, "\x92\x01\x91\x93\x05\x06\xff",
		  SESSION_ERROR_MALFORMED },
		{ "signed type", 8, "\x92\x01\x91\x93\x05\x06\xd0\x07",
		  SESSION_ERROR_MALFORMED },
		{ "nil", 7, "\x92\x01\x91\x93\xc0\x06\x07",
		  SESSION_ERROR_MALFORMED },
		{ "string", 8, "\x92\x01\x91\x93\x05\x06\xa1x",
		  SESSION_ERROR_MALFORMED },
		{ "map", 7, "\x92\x01\x91\x83\x05\x06\x07",
		  SESSION_ERROR_MALFORMED },
		{ "term above 32 bits", 15,
		  "\x92\x01\x91\x93\x05\xcf\x00\x00\x00\x01\x00\x00\x00\x00"
		  "\x07",
		  SESSION_ERROR_MALFORMED },
		{ "33 services", 5, "\x92\x01\xdc\x00\x21",
		  SESSION_ERROR_FULL },
		{ "4 G services", 7, "\x92\x01\xdd\xff\xff\xff\xff",
		  SESSION_ERROR_MALFORMED },
		{ "4 G elements in a number", 9,
		  "\x92\x01\x91\x93\xdd\xff\xff\xff\xff",
		  SESSION_ERROR_MALFORMED },
	};
	session_key_t key = derive_key("secret");
	session_token_t token;
	char text[TEXT_SIZE];
	size_t i;

	for (i = 0; i < ROWS(rows); i++) {
		size_t bytes = make_text(&key, (const uint8_t *)rows[i].payload,
					 rows[i].bytes, text);

		CHECK_ROW(session_token_decode(&key, text, bytes, &token) ==
				  rows[i].error,
			  rows[i].name);
		CHECK_ROW(rows[i].error == SESSION_OK || token.count == 0,
			  rows[i].name);
	}
}

typedef struct {
	const char *name;
	const char *text;
	size_t bytes;
	int error;
} text_row_t;

/* Guards against a text that is no token but that the base64 decoder of
 * libcrypto would accept. */
static void test_text(void)
{
	static char longest[SESSION_TEXT_MAX_BYTES + 1];
	static const text_row_t rows[] = {
		{ "empty", "", 0, SESSION_ERROR_ENCODING },
		{ "length 4n+1", "AAAAA", 5, SESSION_ERROR_ENCODING },
		{ "padding", "AAA=", 4, SESSION_ERROR_ENCODING },
		{ "space", " AAA", 4, SESSION_ERROR_ENCODING },
		{ "newline", "AAA\n", 4, SESSION_ERROR_ENCODING },
		{ "base64 alphabet", "AA+/", 4, SESSION_ERROR_ENCODING },
		{ "zero byte", "AA\0A", 4, SESSION_ERROR_ENCODING },
		{ "byte above 127", "AA\xc3\xa4", 4, SESSION_ERROR_ENCODING },
		{ "unused bits", "AB", 2, SESSION_ERROR_ENCODING },
		{ "shorter than a tag", "AAAA", 4, SESSION_ERROR_SIGNATURE },
		{ "longest", longest, SESSION_TEXT_MAX_BYTES,
		  SESSION_ERROR_SIGNATURE },
		{ "too long", longest, SESSION_TEXT_MAX_BYTES + 1,
		  SESSION_ERROR_TOO_LONG },
	};
	session_key_t key = derive_key("secret");
	session_token_t token;
	size_t i;

	memset(longest, 'A', sizeof(longest));
	for (i = 0; i < ROWS(rows); i++)
		CHECK_ROW(session_token_decode(&key, rows[i].text,
					       rows[i].bytes,
					       &token) == rows[i].error,
			  rows[i].name);
}

/* Guards against an entry that a merge drops or lowers, and against a full
 * token that drops an entry. */
static void test_merge(void)
{
	uint64_t seed;

	for (seed = 0; seed < check_seeds(300); seed++) {
		check_random_t random = check_random(seed);
		session_token_t a = random_token(&random);
		session_token_t b = random_token(&random);
		session_token_t ab = a;
		session_token_t ba = b;
		uint32_t i;

		for (i = 0; i < a.count; i += 2)
			session_token_observe(
				&b, a.entries[i].service_hash,
				(group_point_t){ a.entries[i].seen.term ^ 1,
						 0 });
		ba = b;
		if (session_token_merge(&ab, &b) != SESSION_OK) {
			CHECK_SEED(same_token(&ab, &a), seed);
			continue;
		}
		CHECK_SEED(session_token_merge(&ba, &a) == SESSION_OK, seed);
		CHECK_SEED(same_token(&ab, &ba), seed);
		for (i = 0; i < a.count; i++)
			CHECK_SEED(
				group_point_compare(
					session_token_find(
						&ab, a.entries[i].service_hash)
						->seen,
					a.entries[i].seen) >= 0,
				seed);
	}
}

/* Guards against a 33rd service that replaces the entry of another one. */
static void test_full_token(void)
{
	session_key_t key = derive_key("secret");
	session_token_t token = { .count = 0 };
	session_token_t decoded;
	char text[TEXT_SIZE];
	uint64_t i;

	for (i = 0; i < SESSION_SERVICES_MAX; i++)
		CU_ASSERT_EQUAL(
			session_token_observe(
				&token, UINT64_MAX - i,
				(group_point_t){ UINT32_MAX, UINT64_MAX }),
			SESSION_OK);
	decoded = token;
	CU_ASSERT_EQUAL(
		session_token_observe(&token, 1, (group_point_t){ 1, 1 }),
		SESSION_ERROR_FULL);
	CU_ASSERT_TRUE(same_token(&token, &decoded));
	/* No token has a longer text. */
	CU_ASSERT_EQUAL(session_token_encode(&key, &token, text, TEXT_SIZE),
			SESSION_OK);
	CU_ASSERT_EQUAL(session_token_encode(&key, &token, text, strlen(text)),
			SESSION_ERROR_BUFFER);
	CU_ASSERT_EQUAL(session_token_encode(&key, &token, text, 0),
			SESSION_ERROR_BUFFER);
	token.count++;
	CU_ASSERT_EQUAL(session_token_encode(&key, &token, text, TEXT_SIZE),
			SESSION_ERROR_FULL);
}

/* Changes or removes a random byte of text, or truncates the text there.
 * Returns the new length. */
static size_t mutate(check_random_t *random, char *text, size_t bytes)
{
	size_t at = check_random_below(random, bytes);

	switch (check_random_below(random, 4)) {
	case 0:
		text[at] = (char)check_random_next(random);
		return bytes;
	case 1: {
		static const char alphabet[] = "AZaz09-_"
					       "BCDEFGHIJKLMNOPQRSTUVWXYbcdefgh"
					       "ijklmnopqrstuvwxy12345678";

		text[at] = alphabet[check_random_below(random, 64)];
		return bytes;
	}
	case 2:
		return at;
	default:
		memmove(text + at, text + at + 1, bytes - at - 1);
		return bytes - 1;
	}
}

/* Guards against a token that is accepted although no proxy signed it. */
static void test_fuzz(void)
{
	session_key_t key = derive_key("secret");
	session_key_t other = derive_key("other secret");
	uint64_t seed;

	for (seed = 0; seed < check_seeds(300); seed++) {
		check_random_t random = check_random(seed);
		session_token_t token = random_token(&random);
		session_token_t decoded;
		char text[TEXT_SIZE];
		int round;

		CHECK_SEED(session_token_encode(&key, &token, text,
						TEXT_SIZE) == SESSION_OK,
			   seed);
		CHECK_SEED(session_token_decode(&key, text, strlen(text),
						&decoded) == SESSION_OK,
			   seed);
		CHECK_SEED(same_token(&token, &decoded), seed);
		CHECK_SEED(session_token_decode(&other, text, strlen(text),
						&decoded) ==
				   SESSION_ERROR_SIGNATURE,
			   seed);
		for (round = 0; round < 20; round++) {
			char changed[TEXT_SIZE];
			size_t bytes;
			char *exact;
			bool same;

			memcpy(changed, text, strlen(text) + 1);
			bytes = mutate(&random, changed, strlen(text));
			same = bytes == strlen(text) &&
			       memcmp(changed, text, bytes) == 0;
			/* A sanitizer detects a read past the exact size. */
			exact = malloc(bytes > 0 ? bytes : 1);
			CU_ASSERT_PTR_NOT_NULL_FATAL(exact);
			memcpy(exact, changed, bytes);
			CHECK_SEED((session_token_decode(&key, exact, bytes,
							 &decoded) ==
				    SESSION_OK) == same,
				   seed);
			free(exact);
		}
	}
}

/* Guards against a mutated payload with a valid signature that is accepted and
 * gives a malformed token. */
static void test_fuzz_signed(void)
{
	session_key_t key = derive_key("secret");
	uint64_t seed;

	for (seed = 0; seed < check_seeds(300) * 20; seed++) {
		static const uint8_t base[] = { 0x92, 0x01, 0x92, 0x93, 0x05,
						0xcd, 0x01, 0x02, 0x07, 0x93,
						0x06, 0x01, 0xcc, 0x80 };
		check_random_t random = check_random(seed);
		uint8_t payload[sizeof(base)];
		session_token_t token;
		session_token_t decoded;
		char text[TEXT_SIZE];
		char reencoded[TEXT_SIZE];
		size_t bytes =
			sizeof(base) - check_random_below(&random, 2) *
					       check_random_below(&random, 4);

		memcpy(payload, base, sizeof(base));
		payload[check_random_below(&random, bytes)] =
			(uint8_t)check_random_next(&random);
		payload[check_random_below(&random, bytes)] =
			(uint8_t)check_random_next(&random);
		bytes = make_text(&key, payload, bytes, text);
		if (session_token_decode(&key, text, bytes, &token) !=
		    SESSION_OK)
			continue;
		CHECK_SEED(token.count <= 2, seed);
		CHECK_SEED(session_token_encode(&key, &token, reencoded,
						TEXT_SIZE) == SESSION_OK,
			   seed);
		CHECK_SEED(session_token_decode(&key, reencoded,
						strlen(reencoded),
						&decoded) == SESSION_OK &&
				   same_token(&token, &decoded),
			   seed);
	}
}

/* Guards against another key derivation or service hash, which would make
 * proxies of different versions reject or misread the tokens of each other. */
static void test_constants(void)
{
	static const uint8_t sha256_abc[4] = { 0xba, 0x78, 0x16, 0xbf };
	session_key_t key = derive_key("abc");

	CU_ASSERT_EQUAL(memcmp(key.bytes, sha256_abc, 4), 0);
	/* XXH3_64bits() of no bytes, from its specification. */
	CU_ASSERT_EQUAL(session_service_hash(""), 0x2d06800538d394c2u);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "payload", test_payload },
		{ "text", test_text },
		{ "merge", test_merge },
		{ "full", test_full_token },
		{ "fuzz", test_fuzz },
		{ "fuzz signed", test_fuzz_signed },
		{ "constants", test_constants },
	};

	return check_main("session", cases, ROWS(cases));
}
