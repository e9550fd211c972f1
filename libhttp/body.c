#include <event2/buffer.h>
#include <stdlib.h>
#include <zlib.h>

#include "http.h"

/* For zlib: 15 stands for a window of 32 KB, and 16 selects the gzip format. */
#define GZIP_WINDOW_BITS (15 + 16)
/* zlib's default. */
#define GZIP_MEMORY_LEVEL 8
/* The fastest level. Entries of the same form repeat nearly all their bytes and
 * compress well at any level, and a reader has only a third of a core. */
#define GZIP_LEVEL 1
/* Size of the buffer for one call of inflate(). */
#define CHUNK_BYTES 16384

/*
 * Compresses a body with gzip, unless that was done before. Returns false
 * without memory.
 */
bool http_body_compress(http_body_t *body)
{
	z_stream stream = { 0 };
	size_t limit;
	int result;

	if (body->compressed)
		return true;
	if (deflateInit2(&stream, GZIP_LEVEL, Z_DEFLATED, GZIP_WINDOW_BITS,
			 GZIP_MEMORY_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK)
		return false;
	limit = deflateBound(&stream, body->size);
	body->compressed = malloc(limit);
	if (!body->compressed) {
		deflateEnd(&stream);
		return false;
	}
	stream.next_in = (Bytef *)body->text;
	stream.avail_in = (uInt)body->size;
	stream.next_out = (Bytef *)body->compressed;
	stream.avail_out = (uInt)limit;
	result = deflate(&stream, Z_FINISH);
	body->compressed_size = stream.total_out;
	deflateEnd(&stream);
	if (result == Z_STREAM_END)
		return true;
	http_body_release(body);
	return false;
}

/*
 * Frees the compressed form of a body. The text is not freed.
 */
void http_body_release(http_body_t *body)
{
	free(body->compressed);
	body->compressed = NULL;
	body->compressed_size = 0;
}

/*
 * Decompresses a gzip body and appends it to output. Returns HTTP_ERROR_NONE,
 * HTTP_ERROR_MEMORY, or HTTP_ERROR_MALFORMED if the body is not valid gzip or
 * expands to more than max_bytes. After an error, output may hold part of the
 * body.
 */
int http_body_decompress(const char *compressed, size_t size, size_t max_bytes,
			 struct evbuffer *output)
{
	z_stream stream = { 0 };
	unsigned char chunk[CHUNK_BYTES];
	size_t total = 0;
	int result = Z_OK;
	int error = HTTP_ERROR_NONE;

	if (inflateInit2(&stream, GZIP_WINDOW_BITS) != Z_OK)
		return HTTP_ERROR_MEMORY;
	stream.next_in = (Bytef *)compressed;
	stream.avail_in = (uInt)size;
	while (result == Z_OK && error == HTTP_ERROR_NONE) {
		stream.next_out = chunk;
		stream.avail_out = sizeof(chunk);
		result = inflate(&stream, Z_NO_FLUSH);
		total += sizeof(chunk) - stream.avail_out;
		if (total > max_bytes)
			error = HTTP_ERROR_MALFORMED;
		else if (evbuffer_add(output, chunk,
				      sizeof(chunk) - stream.avail_out) != 0)
			error = HTTP_ERROR_MEMORY;
	}
	inflateEnd(&stream);
	if (error == HTTP_ERROR_NONE && result != Z_STREAM_END)
		error = HTTP_ERROR_MALFORMED;
	return error;
}
