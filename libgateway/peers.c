#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "platform/messages.h"

/* Largest call that is forwarded for a peer: a change of 32 small records. */
#define CALL_MAX_BYTES 65536
#define HEADERS_MAX_BYTES 8192
#define IDLE_MS 15000

/* Peers that forward calls to the store, while their list is put together. */
typedef struct {
	gateway_t *gateway;
	size_t count;
	store_endpoint_t endpoints[STORE_RELAYS_MAX];
} relays_t;

static void fill_endpoint(store_endpoint_t *endpoint,
			  const settings_endpoint_t *peer)
{
	snprintf(endpoint->address, sizeof(endpoint->address), "%s",
		 peer->address);
	endpoint->port = peer->port;
}

/*
 * Adds an endpoint to the list, unless it is this proxy's own, is listed
 * already, or the list is full.
 */
static void add_relay(relays_t *relays, const settings_endpoint_t *endpoint)
{
	const settings_endpoint_t *own = &relays->gateway->settings->peer;
	store_endpoint_t *relay = &relays->endpoints[relays->count];
	size_t i;

	if (relays->count == STORE_RELAYS_MAX ||
	    (endpoint->port == own->port &&
	     strcmp(endpoint->address, own->address) == 0))
		return;
	for (i = 0; i < relays->count; i++) {
		if (relays->endpoints[i].port == endpoint->port &&
		    strcmp(relays->endpoints[i].address, endpoint->address) ==
			    0)
			return;
	}
	fill_endpoint(relay, endpoint);
	relays->count++;
}

static void visit_proxy(void *context, const char *name, const char *peer)
{
	settings_endpoint_t endpoint;

	(void)name;
	if (settings_endpoint_parse(peer, &endpoint) == SETTINGS_OK)
		add_relay(context, &endpoint);
}

/*
 * Tells the store's client which proxies read the store for this one. The first
 * proxy of a failure domain has none and reads for itself.
 */
static void set_readers(gateway_t *gateway)
{
	const char *peers[STORE_READERS_MAX];
	store_endpoint_t readers[STORE_READERS_MAX] = { 0 };
	size_t found = registry_readers_find(
		gateway->proxies, gateway->settings->domain,
		gateway->settings->name, peers, STORE_READERS_MAX);
	settings_endpoint_t endpoint;
	size_t count = 0;
	size_t i;

	for (i = 0; i < found; i++) {
		if (settings_endpoint_parse(peers[i], &endpoint) == SETTINGS_OK)
			fill_endpoint(&readers[count++], &endpoint);
	}
	store_set_readers(gateway->store, readers, count);
}

/*
 * Tells the store's client which peers may forward its calls and which ones
 * read for this proxy. Calls are forwarded by the registered proxies and the
 * seeds, since a process that starts during an outage knows only the seeds. To
 * be called when the registered proxies have changed.
 */
void gateway_peers_update(gateway_t *gateway)
{
	relays_t relays = { .gateway = gateway };
	uint32_t i;

	gateway_owners_changed(gateway);
	registry_proxy_visit(gateway->proxies, visit_proxy, &relays);
	for (i = 0; i < gateway->settings->seed_count; i++)
		add_relay(&relays, &gateway->settings->seeds[i]);
	store_set_relays(gateway->store, relays.endpoints, relays.count);
	set_readers(gateway);
}

static void on_forwarded(void *context, const store_reply_t *reply)
{
	http_exchange_t *exchange = context;
	char era[24];

	if (reply->era != 0) {
		snprintf(era, sizeof(era), "%" PRIu64, reply->era);
		http_exchange_add_header(exchange, PLATFORM_HEADER_ERA, era);
	}
	/* 504, not a refusal: without an answer, the change may have been made.
	 */
	http_exchange_reply_body(exchange,
				 reply->status != 0 ? reply->status : 504,
				 "application/json", reply->body);
}

/*
 * Answers a request that is for this proxy itself. Returns false if the call is
 * for the store.
 */
static bool answer_peer(gateway_t *gateway, http_exchange_t *exchange)
{
	const char *path = http_exchange_path(exchange);

	if (strcmp(path, GATEWAY_PATH_PING) == 0)
		http_exchange_reply(exchange, 200, "text/plain", "alive\n");
	else if (strcmp(path, GATEWAY_PATH_MEMBERS) == 0)
		gateway_liveness_answer(gateway, exchange);
	else if (strcmp(path, GATEWAY_PATH_PROMISE) == 0)
		gateway_promise_answer(gateway, exchange);
	else if (strcmp(path, GATEWAY_PATH_LENT) == 0)
		gateway_promise_lend(gateway, exchange);
	else if (strcmp(path, GATEWAY_PATH_QUOTA) == 0)
		gateway_quota_answer(gateway, exchange);
	else if (strcmp(path, GATEWAY_PATH_QUOTA_SEEN) == 0)
		gateway_quota_answer_seen(gateway, exchange);
	else
		return false;
	return true;
}

/*
 * Forwards a peer's call to the store, or refuses it if this proxy cannot reach
 * the store either.
 */
static void on_peer_request(void *context, http_exchange_t *exchange)
{
	gateway_t *gateway = context;
	bool post = http_exchange_method(exchange) == HTTP_METHOD_POST;
	char *body;
	int error = STORE_ERROR_REFUSED;

	if (answer_peer(gateway, exchange))
		return;
	body = post ? http_exchange_text(exchange) : NULL;
	if (!store_is_unreachable(gateway->store) && (body || !post))
		error = store_forward(gateway->store,
				      http_exchange_uri(exchange), body,
				      on_forwarded, exchange);
	if (error != STORE_OK)
		http_exchange_reply(exchange, 503, "text/plain",
				    "store not reached\n");
	free(body);
}

/*
 * Starts to listen for peers. Returns GATEWAY_OK or GATEWAY_ERROR_LISTEN.
 */
int gateway_peers_start(gateway_t *gateway)
{
	const settings_endpoint_t *peer = &gateway->settings->peer;
	const http_options_t options = {
		.address = peer->address,
		.port = peer->port,
		.body_max_bytes = CALL_MAX_BYTES,
		.headers_max_bytes = HEADERS_MAX_BYTES,
		.idle_ms = IDLE_MS,
	};

	gateway->peer_server = http_server_new(gateway->base, &options,
					       on_peer_request, gateway);
	gateway_peers_update(gateway);
	return gateway->peer_server ? GATEWAY_OK : GATEWAY_ERROR_LISTEN;
}
