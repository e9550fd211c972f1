#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "libmembership/membership.h"
#include "libpeer/peer.h"

/*
 * Measurements that bench/slopes can't make from outside a proxy. Each prints
 * one line of key=value pairs.
 */

#define TARGETS_OF_SERVICE 3
#define REPETITIONS 2000
#define OPEN_MAX_CONNECTIONS 15000
#define HOLD_MAX_S 120
#define LINKS_MAX 2000
/* Nothing connects to it. */
#define LISTEN_PORT 61399

static double cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/*
 * Opens one connection and sends one request on it, so that the proxy has all
 * buffers of a connection that was used. Returns the descriptor, or -1.
 */
static int open_caller(const struct sockaddr_in *address)
{
	static const char request[] =
		"GET /v1/ready HTTP/1.1\r\nHost: proxy\r\n\r\n";
	struct timeval timeout = { .tv_sec = 5 };
	char answer[1024];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		    0 ||
	    write(fd, request, sizeof(request) - 1) !=
		    (ssize_t)sizeof(request) - 1 ||
	    read(fd, answer, sizeof(answer)) <= 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Holds count keep-alive connections to the callers' port for hold_s seconds.
 * The connections are closed by the end of the process. Returns the exit
 * status.
 */
static int hold_callers(int port, int count, int hold_s)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int i;

	for (i = 0; i < count; i++) {
		if (open_caller(&address) < 0) {
			fprintf(stderr, "slopes: connection %d failed\n", i);
			return 1;
		}
	}
	printf("open=%d\n", count);
	fflush(stdout);
	sleep((unsigned int)hold_s);
	return 0;
}

static membership_member_t record(int index, int domains)
{
	membership_member_t member = { .incarnation = 1,
				       .state = MEMBERSHIP_STATE_ALIVE };

	snprintf(member.name, sizeof(member.name), "proxy-%04d", index);
	snprintf(member.address, sizeof(member.address), "10.0.%d.%d:7400",
		 index / 250, index % 250);
	snprintf(member.domain, sizeof(member.domain), "domain-%02d",
		 index % domains);
	return member;
}

static membership_t *new_members(int count, int domains)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	membership_options_t options = {
		.self = record(0, domains),
		.period_ms = 250,
		.probe_timeout_ms = 100,
		.suspicion_ms = 1000,
		.indirect_probes = 2,
		.forget_ms = 60000,
		.members_max = 4096,
	};
	membership_t *membership = membership_new(&options, 0);
	int i;

	for (i = 1; membership && i < count; i++) {
		membership_message_t message = {
			.kind = MEMBERSHIP_MESSAGE_ACK,
			.from = record(i, domains),
			.sequence = 1,
		};

		membership_receive(membership, &message, 0, 1, actions);
	}
	return membership;
}

/*
 * Returns how many of the targets of services services this member owns. It is
 * the work that a proxy does whenever a member changes.
 */
static int own_targets(const membership_t *membership, int services,
		       int domains)
{
	char target[MEMBERSHIP_NAME_SIZE];
	char domain[MEMBERSHIP_NAME_SIZE];
	int owned = 0;
	int i;

	for (i = 0; i < services * TARGETS_OF_SERVICE; i++) {
		snprintf(target, sizeof(target), "ledger-%d-%d",
			 i / TARGETS_OF_SERVICE, i % TARGETS_OF_SERVICE);
		snprintf(domain, sizeof(domain), "domain-%02d",
			 (i / TARGETS_OF_SERVICE + i) % domains);
		owned += membership_owns(membership, target, domain);
	}
	return owned;
}

/*
 * Measures the processor time of the membership functions that a proxy calls in
 * each tick, and of one decision about all owners. The time given to the tick
 * does not advance, so that it shows the cost of a tick without a probe.
 * Returns the exit status.
 */
static int time_members(int count, int domains, int services)
{
	membership_t *membership = new_members(count, domains);
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	double start_us;
	double tick_us;
	double delegate_us;
	double own_us;
	int owned;
	int i;

	if (!membership || membership_count(membership) != (size_t)count) {
		membership_free(membership);
		return 1;
	}
	membership_tick(membership, 0, 1, actions);
	start_us = cpu_us();
	for (i = 0; i < REPETITIONS; i++)
		membership_tick(membership, 0, (uint64_t)i, actions);
	tick_us = (cpu_us() - start_us) / REPETITIONS;
	start_us = cpu_us();
	for (i = 0; i < REPETITIONS; i++)
		membership_is_delegate(membership, "configuration", 2);
	delegate_us = (cpu_us() - start_us) / REPETITIONS;
	start_us = cpu_us();
	owned = own_targets(membership, services, domains);
	own_us = cpu_us() - start_us;
	printf("slope=members members=%d domains=%d services=%d tick_us=%.2f "
	       "delegate_us=%.2f ownership_ms=%.2f owned=%d\n",
	       count, domains, services, tick_us, delegate_us, own_us / 1e3,
	       owned);
	membership_free(membership);
	return 0;
}

static void ignore_message(void *context, uint64_t link_id,
			   const peer_message_t *message)
{
	(void)context;
	(void)link_id;
	(void)message;
}

/*
 * Measures the processor time of a send to one of count peers, up to the buffer
 * of the link. The loop does not run, so the links stay open although nothing
 * listens at their addresses. Returns the exit status.
 */
static int time_links(int count)
{
	const clock_source_t clock = clock_source_boot();
	const peer_options_t options = {
		.listen_address = "127.0.0.1",
		.listen_port = LISTEN_PORT,
		.name = "slopes",
		.message_max_bytes = 1048576,
		.connect_timeout_ms = 500,
		.echo_timeout_ms = 500,
		.idle_ms = 30000,
	};
	const peer_handler_t handler = { .message = ignore_message };
	const peer_message_t message = { .kind = PEER_MESSAGE_ECHO };
	struct event_base *base = event_base_new();
	peer_node_t *node =
		base ? peer_node_new(base, &clock, &options, &handler) : NULL;
	char address[PEER_ADDRESS_SIZE];
	double start_us = 0;
	int failed = 0;
	int i;

	for (i = 0; node && i < count + REPETITIONS; i++) {
		if (i == count)
			start_us = cpu_us();
		/* 7919 is a prime, so that all links take their turn. */
		snprintf(address, sizeof(address), "127.0.%d.%d:1",
			 i * 7919 % count / 200, 1 + i * 7919 % count % 200);
		failed += peer_node_send(node, address, &message) != PEER_OK;
	}
	if (node)
		printf("slope=links links=%u send_us=%.2f failed=%d\n",
		       (unsigned int)peer_node_usage(node).links,
		       (cpu_us() - start_us) / REPETITIONS, failed);
	peer_node_free(node);
	if (base)
		event_base_free(base);
	return node && failed == 0 ? 0 : 1;
}

/*
 * slopes --hold COUNT --port PORT [--seconds SECONDS]
 * slopes --members COUNT [--domains COUNT] [--services COUNT]
 * slopes --links COUNT
 */
int main(int argc, const char **argv)
{
	int hold = 0;
	int port = 0;
	int seconds = 30;
	int members = 0;
	int links = 0;
	int domains = 13;
	int services = 2900;
	const struct poptOption options[] = {
		{ "hold", 0, POPT_ARG_INT, &hold, 0,
		  "keep-alive connections to hold open", "COUNT" },
		{ "port", 0, POPT_ARG_INT, &port, 0,
		  "callers' port on the loopback interface", "PORT" },
		{ "seconds", 0, POPT_ARG_INT, &seconds, 0,
		  "how long to hold them, default 30", "SECONDS" },
		{ "members", 0, POPT_ARG_INT, &members, 0,
		  "members of the membership to time", "COUNT" },
		{ "links", 0, POPT_ARG_INT, &links, 0,
		  "links to peers among which a message is sent", "COUNT" },
		{ "domains", 0, POPT_ARG_INT, &domains, 0,
		  "failure domains, default 13", "COUNT" },
		{ "services", 0, POPT_ARG_INT, &services, 0,
		  "services of 3 targets, default 2900", "COUNT" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context = poptGetContext("slopes", argc, argv, options, 0);
	int result = poptGetNextOpt(context);
	int status = 2;

	if (result == -1 && hold > 0 && hold <= OPEN_MAX_CONNECTIONS &&
	    port > 0 && seconds > 0 && seconds <= HOLD_MAX_S)
		status = hold_callers(port, hold, seconds);
	else if (result == -1 && members > 0 && members <= 4096 &&
		 domains > 0 && services > 0)
		status = time_members(members, domains, services);
	else if (result == -1 && links > 0 && links <= LINKS_MAX)
		status = time_links(links);
	else
		poptPrintUsage(context, stderr, 0);
	poptFreeContext(context);
	return status;
}
