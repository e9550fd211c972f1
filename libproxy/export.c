#include "internal.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Spans kept for the collector; more are dropped and counted, so that a slow
 * collector never holds up a statement. */
#define SPANS_MAX 2048
#define FLUSH_MS 500
#define BATCH_MAX 256
#define COLLECTOR_TIMEOUT_S 2

struct proxy_export {
	proxy_t *proxy;
	struct event *timer;
	struct evhttp_connection *connection;
	trace_span_t *spans;
	size_t count;
	bool sending;
};

/*
 * Fills bytes from the system's generator, for trace ids. Returns 0 or -1.
 */
int proxy_export_random(void *context, uint8_t *bytes, size_t count)
{
	(void)context;
	return RAND_bytes(bytes, (int)count) == 1 ? 0 : -1;
}

/*
 * Writes an ended span as a log line and keeps it for the collector.
 */
void proxy_export_span(void *context, const trace_span_t *span)
{
	proxy_t *proxy = context;
	proxy_export_t *export = proxy->export;
	char trace_id[33];

	trace_context_format_trace_id(&span->context, trace_id);
	LOG_EVENT(proxy->log, LOG_LEVEL_DEBUG, "span",
		  LOG_TEXT("trace", trace_id),
		  LOG_TEXT("hop", trace_hop_text(span->hop)),
		  LOG_TEXT("service", span->service),
		  LOG_TEXT("target", span->target),
		  LOG_UNSIGNED("term", span->term),
		  LOG_TEXT("result", span->result),
		  LOG_SIGNED("duration_ms", span->end_ms - span->start_ms));
	if (!export || !export->spans)
		return;
	if (export->count == SPANS_MAX) {
		counter_family_add(proxy->counters.spans_dropped, NULL, 1);
		return;
	}
	export->spans[export->count++] = *span;
}

static void on_sent(struct evhttp_request *request, void *context)
{
	proxy_export_t *export = context;

	(void)request;
	export->sending = false;
}

/*
 * Returns what must be added to the clock to get Unix time, in ms.
 */
static clock_ms_t unix_offset_ms(const proxy_t *proxy)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000 -
	       proxy_now(proxy);
}

static void send_batch(proxy_export_t *export, size_t count)
{
	const settings_t *settings = &export->proxy->settings;
	struct evhttp_request *request = evhttp_request_new(on_sent, export);
	char *body = trace_otlp_format(export->spans, count, settings->name,
				       unix_offset_ms(export->proxy));

	if (request && body) {
		struct evkeyvalq *headers =
			evhttp_request_get_output_headers(request);

		evhttp_add_header(headers, "Host", settings->collector.address);
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
		export->sending =
			evhttp_make_request(export->connection, request,
					    EVHTTP_REQ_POST, "/v1/traces") == 0;
	} else if (request) {
		evhttp_request_free(request);
	}
	free(body);
	export->count -= count;
	memmove(export->spans, export->spans + count,
		export->count * sizeof(*export->spans));
}

static void on_flush(evutil_socket_t fd, short what, void *context)
{
	proxy_export_t *export = context;

	(void)fd;
	(void)what;
	if (!export->sending && export->count > 0)
		send_batch(export, export->count < BATCH_MAX ? export->count
							     : BATCH_MAX);
}

/*
 * Creates the exporter. Without a collector in the settings, spans are only
 * written to the log. Returns NULL without memory.
 */
proxy_export_t *proxy_export_new(proxy_t *proxy)
{
	struct timeval interval = { .tv_usec = FLUSH_MS * 1000L };
	proxy_export_t *export = calloc(1, sizeof(*export));

	if (!export)
		return NULL;
	export->proxy = proxy;
	if (!proxy->settings.collector_set)
		return export;
	export->spans = calloc(SPANS_MAX, sizeof(*export->spans));
	export->connection = evhttp_connection_base_new(
		proxy->base, NULL, proxy->settings.collector.address,
		proxy->settings.collector.port);
	export->timer =
		event_new(proxy->base, -1, EV_PERSIST, on_flush, export);
	if (!export->spans || !export->connection || !export->timer ||
	    event_add(export->timer, &interval) != 0) {
		proxy_export_free(export);
		return NULL;
	}
	evhttp_connection_set_timeout(export->connection, COLLECTOR_TIMEOUT_S);
	return export;
}

/*
 * Frees the exporter; spans that were not sent are dropped.
 */
void proxy_export_free(proxy_export_t *export)
{
	if (!export)
		return;
	if (export->timer)
		event_free(export->timer);
	if (export->connection)
		evhttp_connection_free(export->connection);
	free(export->spans);
	free(export);
}
