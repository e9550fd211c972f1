#include "bounds.h"

#include <stdint.h>

/* Nested arrays and maps that are allowed. The deepest message of this
 * protocol has 5. */
#define DEPTH_MAX 8

typedef struct {
	const uint8_t *at;
	const uint8_t *end;
} cursor_t;

/*
 * Reads a big-endian length of size_bytes. Returns false if the input ends
 * before.
 */
static bool read_length(cursor_t *cursor, size_t size_bytes, uint64_t *length)
{
	*length = 0;
	if ((size_t)(cursor->end - cursor->at) < size_bytes)
		return false;
	while (size_bytes-- > 0)
		*length = *length << 8 | *cursor->at++;
	return true;
}

static bool skip_bytes(cursor_t *cursor, uint64_t count)
{
	if ((uint64_t)(cursor->end - cursor->at) < count)
		return false;
	cursor->at += count;
	return true;
}

static bool check_object(cursor_t *cursor, int depth);

/*
 * Checks the count objects of an array or map. An object takes at least one
 * byte, so a count above the number of bytes left is refused without a look at
 * the objects.
 */
static bool check_objects(cursor_t *cursor, uint64_t count, int depth)
{
	if (depth == 0 || (uint64_t)(cursor->end - cursor->at) < count)
		return false;
	while (count-- > 0) {
		if (!check_object(cursor, depth - 1))
			return false;
	}
	return true;
}

/*
 * Checks a binary or text object whose length takes size_bytes.
 */
static bool check_bytes(cursor_t *cursor, size_t size_bytes)
{
	uint64_t length;

	return read_length(cursor, size_bytes, &length) &&
	       skip_bytes(cursor, length);
}

/*
 * Checks an array or map whose length takes size_bytes. objects_per_item is 1
 * for an array and 2 for a map, which holds pairs.
 */
static bool check_container(cursor_t *cursor, size_t size_bytes,
			    uint64_t objects_per_item, int depth)
{
	uint64_t length;

	return read_length(cursor, size_bytes, &length) &&
	       check_objects(cursor, length * objects_per_item, depth);
}

/*
 * Checks one object and moves the cursor past it. The first byte tells the type
 * and, for short objects, the value or the length. Extension types, which the
 * protocol doesn't use, are refused. depth is the number of further levels of
 * arrays and maps that are allowed.
 */
static bool check_object(cursor_t *cursor, int depth)
{
	uint8_t type;

	if (cursor->at == cursor->end)
		return false;
	type = *cursor->at++;
	if (type <= 0x7f || type >= 0xe0) /* number in the byte itself */
		return true;
	if (type <= 0x8f) /* map of up to 15 pairs */
		return check_objects(cursor, 2 * (uint64_t)(type & 0x0f),
				     depth);
	if (type <= 0x9f) /* array of up to 15 items */
		return check_objects(cursor, type & 0x0f, depth);
	if (type <= 0xbf) /* text of up to 31 bytes */
		return skip_bytes(cursor, type & 0x1f);
	switch (type) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xcc: /* from here, numbers of 1, 2, 4 and 8 bytes */
	case 0xd0:
		return skip_bytes(cursor, 1);
	case 0xcd:
	case 0xd1:
		return skip_bytes(cursor, 2);
	case 0xca:
	case 0xce:
	case 0xd2:
		return skip_bytes(cursor, 4);
	case 0xcb:
	case 0xcf:
	case 0xd3:
		return skip_bytes(cursor, 8);
	case 0xc4: /* binary and text, lengths of 1, 2 and 4 bytes */
	case 0xd9:
		return check_bytes(cursor, 1);
	case 0xc5:
	case 0xda:
		return check_bytes(cursor, 2);
	case 0xc6:
	case 0xdb:
		return check_bytes(cursor, 4);
	case 0xdc: /* arrays and maps, lengths of 2 and 4 bytes */
		return check_container(cursor, 2, 1, depth);
	case 0xdd:
		return check_container(cursor, 4, 1, depth);
	case 0xde:
		return check_container(cursor, 2, 2, depth);
	case 0xdf:
		return check_container(cursor, 4, 2, depth);
	default:
		return false;
	}
}

/*
 * Returns whether the count bytes are exactly one msgpack object, all declared
 * lengths of which fit into these bytes. It must be called before msgpack-c
 * decodes the bytes: msgpack-c allocates an array by its declared length before
 * it reads the items, so that a frame of a few bytes could make it allocate
 * gigabytes.
 */
bool peer_bounds_check(const char *bytes, size_t count)
{
	cursor_t cursor = { .at = (const uint8_t *)bytes,
			    .end = (const uint8_t *)bytes + count };

	return check_object(&cursor, DEPTH_MAX) && cursor.at == cursor.end;
}
