#ifndef HORNBEAMTACK_HTTP_H
#define HORNBEAMTACK_HTTP_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "libclock/clock.h"

#define HTTP_HEADER_ACCEPT_ENCODING "Accept-Encoding"
#define HTTP_HEADER_CONTENT_ENCODING "Content-Encoding"
#define HTTP_ENCODING_GZIP "gzip"

typedef struct http_server http_server_t;
/* A request that a server has received and not replied to yet. */
typedef struct http_exchange http_exchange_t;

typedef enum {
	HTTP_METHOD_GET,
	HTTP_METHOD_POST,
	HTTP_METHOD_PUT,
	HTTP_METHOD_OTHER,
} http_method_t;

typedef struct {
	const char *address; /* IP address */
	uint16_t port;
	uint32_t body_max_bytes;
	uint32_t headers_max_bytes;
	/* A connection without traffic is closed after this time. The value is
	 * rounded down to whole seconds. */
	clock_ms_t idle_ms;
} http_options_t;

/* Handles a request. Every exchange must be replied to exactly once, in the
 * handler or later. */
typedef void (*http_handler_t)(void *context, http_exchange_t *exchange);

enum {
	HTTP_ERROR_NONE = 0,
	HTTP_ERROR_MEMORY = -1,
	HTTP_ERROR_LISTEN = -2,
	HTTP_ERROR_CONNECT = -3,
	HTTP_ERROR_TIMEOUT = -4,
	HTTP_ERROR_MALFORMED = -5,
};

/* A body and its gzip form, which is made on first use, so that a body that is
 * sent in several replies is compressed only once. */
typedef struct {
	const char *text;
	size_t size;
	/* NULL until http_body_compress() has succeeded. */
	char *compressed;
	size_t compressed_size;
} http_body_t;

bool http_body_compress(http_body_t *body);
void http_body_release(http_body_t *body);
int http_body_decompress(const char *compressed, size_t size, size_t max_bytes,
			 struct evbuffer *output);

/* Returns true if the headers of a message leave no doubt where its body ends.
 * For those who use evhttp themselves; the servers and requests of this library
 * check it. */
struct evkeyvalq;
bool http_headers_are_unambiguous(const struct evkeyvalq *headers);

http_server_t *http_server_new(struct event_base *base,
			       const http_options_t *options,
			       http_handler_t handler, void *context);
void http_server_free(http_server_t *server);
/* Closes the listener. Open connections are closed after their next reply. */
void http_server_stop_accepting(http_server_t *server);
uint32_t http_server_pending(const http_server_t *server);
/* Sets the most connections of clients, 0 for no limit. Beyond it, the one that
 * has sent nothing for longest is ended. */
void http_server_limit(http_server_t *server, uint32_t connections_max);
uint32_t http_server_connections(const http_server_t *server);

http_method_t http_exchange_method(const http_exchange_t *exchange);
const char *http_exchange_path(const http_exchange_t *exchange);
/* Return NULL if there is no parameter or header of this name. */
const char *http_exchange_query(const http_exchange_t *exchange,
				const char *name);
const char *http_exchange_header(const http_exchange_t *exchange,
				 const char *name);
/* Returns the path and the query as the client sent them. */
const char *http_exchange_uri(const http_exchange_t *exchange);
/* Returns a copy of the body as a string, which the caller frees; NULL without
 * memory. */
char *http_exchange_text(const http_exchange_t *exchange);
/* Returns the body as JSON, or NULL with a message in text that says what is
 * wrong. */
json_t *http_exchange_json(const http_exchange_t *exchange, char *text,
			   size_t text_size);
void http_exchange_add_header(http_exchange_t *exchange, const char *name,
			      const char *value);
void http_exchange_reply(http_exchange_t *exchange, int status,
			 const char *content_type, const char *body);
/* Replies with a body, compressed if it is large enough and the client accepts
 * gzip. */
void http_exchange_reply_body(http_exchange_t *exchange, int status,
			      const char *content_type, http_body_t *body);
/* Replies with a JSON value, and takes over the reference to it. */
void http_exchange_reply_json(http_exchange_t *exchange, int status,
			      json_t *value);

/* A request to a server that does not block the event loop. */
typedef struct http_request http_request_t;

typedef struct {
	const char *name;
	const char *value;
} http_header_t;

typedef struct {
	const char *address; /* IP address */
	uint16_t port;
	http_method_t method; /* GET or POST */
	const char *path;
	/* JSON text of a POST; ignored for a GET. */
	const char *body;
	const http_header_t *headers;
	size_t header_count;
	/* Time limit of the whole call. */
	clock_ms_t timeout_ms;
	/* Largest body that is accepted, also after decompression. */
	size_t answer_max_bytes;
	/* Tell the server that the answer may be compressed. */
	bool accept_gzip;
	/* Name of the header of the answer that http_request_answer_header()
	 * returns; NULL: none. It must outlive the request. */
	const char *answer_header;
} http_request_options_t;

/* Called at the end of a request. status is the HTTP status, or 0 if there was
 * no complete answer. body is valid during the callback and has no NUL at its
 * end. */
typedef void (*http_request_done_t)(void *context, int status, const char *body,
				    size_t size);
http_request_t *http_request_send(struct event_base *base,
				  const http_request_options_t *options,
				  http_request_done_t done, void *context);
void http_request_cancel(http_request_t *request);
/* Returns the value of the answer's header that the options name, or an empty
 * string if the answer lacks it. Valid during the callback. */
const char *http_request_answer_header(const http_request_t *request);

/* Sends a request and blocks until the answer or for timeout_ms at most, for
 * the command line. The caller frees *body. */
int http_client_call(const char *address, uint16_t port, http_method_t method,
		     const char *path, const char *request_body,
		     clock_ms_t timeout_ms, int *status, char **body);
const char *http_error_text(int error);

#endif
