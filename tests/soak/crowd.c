#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define CLIENTS 24
/* How long a crowd stays. */
#define STAY_S 1
#define FILLER_BYTES 300000

/* What the clients of a crowd send, to the port at this offset from that for
 * callers. Nothing of it completes a statement. */
static const struct {
	uint16_t port;
	const char *start;
	const char *filler;
} kinds[] = {
	{ 0, "STARTUP main rude\r\nQUERY 1 WRITE k1 ", "a" },
	{ 0, "STARTUP main rude\r\n", "QUERY 1 X\r\n" },
	{ 0, "", "" },
	{ 1, "GET /metrics HTTP/1.1\r\nX: ", "a" },
	{ 2, "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n", "a" },
};

/* Clients that do not behave: they connect to one gateway after the other, send
 * a lot, read nothing and leave. */
struct crowd {
	soak_t *soak;
	struct event_base *base;
	struct event *timer;
	struct bufferevent *clients[CLIENTS];
	check_random_t random;
	char filler[FILLER_BYTES];
};

static void disconnect(soak_crowd_t *crowd)
{
	uint32_t i;

	for (i = 0; i < CLIENTS; i++) {
		if (crowd->clients[i])
			bufferevent_free(crowd->clients[i]);
		crowd->clients[i] = NULL;
	}
}

/*
 * Replaces the crowd by one of another kind at another gateway.
 */
static void on_timer(evutil_socket_t fd, short what, void *context)
{
	soak_crowd_t *crowd = context;
	uint64_t kind = check_random_below(&crowd->random,
					   sizeof(kinds) / sizeof(kinds[0]));
	uint32_t gateway =
		(uint32_t)check_random_below(&crowd->random, SOAK_GATEWAYS);
	uint16_t port = soak_caller_port(crowd->soak, gateway);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(port + kinds[kind].port)),
	};
	size_t step = strlen(kinds[kind].filler);
	size_t size;
	uint32_t i;

	(void)fd;
	(void)what;
	disconnect(crowd);
	for (size = 0; step > 0 && size + step <= FILLER_BYTES; size += step)
		memcpy(crowd->filler + size, kinds[kind].filler, step);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < CLIENTS; i++) {
		struct bufferevent *client = bufferevent_socket_new(
			crowd->base, -1, BEV_OPT_CLOSE_ON_FREE);

		if (!client)
			abort();
		crowd->clients[i] = client;
		bufferevent_write(client, kinds[kind].start,
				  strlen(kinds[kind].start));
		bufferevent_write(client, crowd->filler, size);
		bufferevent_socket_connect(client, (struct sockaddr *)&address,
					   sizeof(address));
	}
}

/*
 * Starts the crowds.
 */
soak_crowd_t *soak_crowd_new(soak_t *soak, struct event_base *base,
			     uint64_t seed)
{
	const struct timeval stay = { .tv_sec = STAY_S };
	soak_crowd_t *crowd = check_allocate(sizeof(*crowd));

	crowd->soak = soak;
	crowd->base = base;
	/* A sequence of its own, so that a seed keeps its faults. */
	crowd->random = check_random(~seed);
	crowd->timer = event_new(base, -1, EV_PERSIST, on_timer, crowd);
	event_add(crowd->timer, &stay);
	return crowd;
}

/*
 * Ends the crowds; NULL is allowed.
 */
void soak_crowd_free(soak_crowd_t *crowd)
{
	if (!crowd)
		return;
	disconnect(crowd);
	event_free(crowd->timer);
	free(crowd);
}
