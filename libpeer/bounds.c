#include "bounds.h"

#include <stdint.h>

/* Deepest nesting of a message of this protocol is 5. */
#define DEPTH_MAX 8

typedef struct {
	const uint8_t *at;
	const uint8_t *end;
} cursor_t;

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
 * Checks count objects. An object takes at least one byte, so a count above the
 * bytes that are left is refused before anything is allocated for it.
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

static bool check_bytes(cursor_t *cursor, size_t size_bytes)
{
	uint64_t length;

	return read_length(cursor, size_bytes, &length) &&
	       skip_bytes(cursor, length);
}

static bool check_container(cursor_t *cursor, size_t size_bytes,
			    uint64_t objects_per_item, int depth)
{
	uint64_t length;

	return read_length(cursor, size_bytes, &length) &&
	       check_objects(cursor, length * objects_per_item, depth);
}

static bool check_object(cursor_t *cursor, int depth)
{
	uint8_t type;

	if (cursor->at == cursor->end)
		return false;
	type = *cursor->at++;
	if (type <= 0x7f || type >= 0xe0)
		return true;
	if (type <= 0x8f)
		return check_objects(cursor, 2 * (uint64_t)(type & 0x0f),
				     depth);
	if (type <= 0x9f)
		return check_objects(cursor, type & 0x0f, depth);
	if (type <= 0xbf)
		return skip_bytes(cursor, type & 0x1f);
	switch (type) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xcc: /* numbers of 1, 2, 4 and 8 bytes */
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
	case 0xc4: /* binary and text with lengths of 1, 2 and 4 bytes */
	case 0xd9:
		return check_bytes(cursor, 1);
	case 0xc5:
	case 0xda:
		return check_bytes(cursor, 2);
	case 0xc6:
	case 0xdb:
		return check_bytes(cursor, 4);
	case 0xdc: /* arrays and maps */
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
 * Tells whether bytes hold one whole msgpack object whose lengths fit into
 * count bytes. msgpack-c allocates an array by its declared length before it
 * reads the items, so a frame of a few bytes could ask for gigabytes.
 */
bool peer_bounds_check(const char *bytes, size_t count)
{
	cursor_t cursor = { .at = (const uint8_t *)bytes,
			    .end = (const uint8_t *)bytes + count };

	return check_object(&cursor, DEPTH_MAX) && cursor.at == cursor.end;
}
