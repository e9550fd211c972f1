#include <stdlib.h>

#include "internal.h"

/*
 * Ends a request: frees it and calls its callback with error and reply.
 */
void peer_request_finish(request_t *request, int error,
			 const peer_message_t *reply)
{
	peer_done_t done = request->done;
	void *context = request->context;

	HASH_DEL(request->node->requests, request);
	if (request->link)
		request->link->pending_requests--;
	event_free(request->timer);
	free(request);
	done(context, error, reply);
}

/*
 * Ends all requests of a link. Requests on a connection that never came up were
 * not sent (PEER_ERROR_NOT_SENT). Other requests may have reached the peer
 * (PEER_ERROR_LOST).
 */
void peer_request_fail_all(peer_link_t *link)
{
	request_t *request;
	request_t *next;

	HASH_ITER(hh, link->node->requests, request, next) {
		if (request->link != link)
			continue;
		request->link = NULL;
		link->pending_requests--;
		request->error = request->sent || link->connected
					 ? PEER_ERROR_LOST
					 : PEER_ERROR_NOT_SENT;
		/* The request is finished from its timer, so that done is not
		 * called from inside the function that closes the link. */
		event_active(request->timer, EV_TIMEOUT, 0);
	}
}

/*
 * Ends a request whose timeout has passed or whose link was closed. After a
 * timeout the link is retired, because the connection may have failed without
 * notice. A link that is not connected yet is closed.
 */
static void on_request_timer(evutil_socket_t fd, short what, void *context)
{
	request_t *request = context;
	peer_link_t *link = request->link;

	(void)fd;
	(void)what;
	if (request->error == PEER_OK && request->sent) {
		request->error = PEER_ERROR_TIMEOUT;
		peer_link_retire(link);
	} else if (request->error == PEER_OK) {
		request->error = PEER_ERROR_NOT_SENT;
		request->link = NULL;
		link->pending_requests--;
		/* The request ends as not sent, so its bytes must not be sent
		 * when the connection comes up later. */
		peer_link_close(link, "not connected in time");
	}
	peer_request_finish(request, request->error, NULL);
}

/*
 * Sends a request to the peer at address, "ip:port", and waits up to timeout_ms
 * for its reply. done gets PEER_OK and the reply, which lives during the
 * callback, or NULL and PEER_ERROR_NOT_SENT, PEER_ERROR_LOST,
 * PEER_ERROR_TIMEOUT or PEER_ERROR_CLOSED.
 *
 * Returns PEER_OK, and done is then called exactly once, after this function
 * has returned. Otherwise returns PEER_ERROR_NOT_SENT, PEER_ERROR_TOO_LARGE or
 * PEER_ERROR_MEMORY, and done is not called.
 */
int peer_node_request(peer_node_t *node, const char *address,
		      const peer_message_t *message, clock_ms_t timeout_ms,
		      peer_done_t done, void *context)
{
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	peer_message_t copy = *message;
	peer_link_t *link = peer_link_get(node, address);
	request_t *request;
	int error;

	if (!link)
		return PEER_ERROR_NOT_SENT;
	request = calloc(1, sizeof(*request));
	if (!request)
		return PEER_ERROR_MEMORY;
	request->node = node;
	request->id = ++node->next_id;
	request->done = done;
	request->context = context;
	request->timer = evtimer_new(node->base, on_request_timer, request);
	copy.request_id = request->id;
	error = request->timer ? peer_link_write(link, &copy)
			       : PEER_ERROR_MEMORY;
	if (error != PEER_OK) {
		if (request->timer)
			event_free(request->timer);
		free(request);
		return error;
	}
	evtimer_add(request->timer, &timeout);
	request->link = link;
	request->sent = link->connected;
	link->pending_requests++;
	HASH_ADD(hh, node->requests, id, sizeof(request->id), request);
	return PEER_OK;
}
