#include "state.h"

#include <stdio.h>
#include <string.h>

/* Answers to one ping in which a member that has just started asks for records.
 */
#define JOIN_ANSWERS_MAX 16
/* Time after an incarnation became known in which the member counts as just
 * started. */
#define JUST_STARTED_MS 10000

/*
 * Answers a ping with this member as the subject. repeat marks a further answer
 * to the same ping, which carries no records of changed members, so that it
 * does not count as a transmission of them.
 */
static membership_message_t *answer(membership_t *membership,
				    membership_output_t *output,
				    const membership_message_t *ping,
				    membership_entry_t *from, bool repeat)
{
	membership_send_t send = {
		.kind = MEMBERSHIP_MESSAGE_ACK,
		.to = from,
		.address = ping->from.address,
		.sequence = ping->sequence,
		.subject = membership->options.self.name,
		.no_updates = repeat,
	};

	return membership_message_send(membership, output, &send);
}

/*
 * Answers a ping. A ping without a subject asks for records of members, and a
 * member that has just started gets several answers to it. The sequence number
 * selects the part of the table to send. The table has the same order in all
 * members, so a few pings to different members fetch all of it.
 */
static void receive_ping(membership_t *membership, membership_output_t *output,
			 const membership_message_t *ping,
			 membership_entry_t *from, clock_ms_t now_ms)
{
	bool just_started =
		!from || now_ms - from->learned_at_ms < JUST_STARTED_MS;
	size_t messages = just_started ? JOIN_ANSWERS_MAX : 1;
	size_t start = ping->sequence * JOIN_ANSWERS_MAX *
		       MEMBERSHIP_UPDATES_MAX % membership->count;
	size_t i;

	if (ping->subject[0] != '\0') {
		if (strcmp(ping->subject, membership->options.self.name) == 0)
			answer(membership, output, ping, from, false);
		return;
	}
	for (i = 0; i < messages; i++) {
		membership_message_t *message =
			answer(membership, output, ping, from, i > 0);

		if (message)
			membership_message_add_members(
				membership, message,
				start + i * MEMBERSHIP_UPDATES_MAX);
		if ((i + 1) * MEMBERSHIP_UPDATES_MAX >= membership->count)
			return;
	}
}

/*
 * Returns an unused entry for a relayed probe, or NULL.
 */
static membership_relay_t *relay_free(membership_t *membership,
				      clock_ms_t now_ms)
{
	size_t i;

	for (i = 0; i < MEMBERSHIP_RELAYS_MAX; i++) {
		if (membership->relays[i].expires_ms <= now_ms)
			return &membership->relays[i];
	}
	return NULL;
}

/*
 * Probes a member on behalf of the sender of the request. A request above the
 * limit of open ones is dropped, as if it had been lost.
 */
static void receive_ping_request(membership_t *membership,
				 membership_output_t *output,
				 const membership_message_t *request,
				 clock_ms_t now_ms)
{
	membership_entry_t *subject =
		membership_table_find(membership, request->subject);
	membership_relay_t *relay = relay_free(membership, now_ms);

	if (!subject || subject == membership->self || !relay)
		return;
	membership_probe_ping(membership, output, subject, now_ms);
	relay->sequence = membership->sequence;
	relay->origin_sequence = request->sequence;
	memcpy(relay->origin, request->from.name, MEMBERSHIP_NAME_SIZE);
	memcpy(relay->subject, request->subject, MEMBERSHIP_NAME_SIZE);
	relay->expires_ms = now_ms + membership->options.period_ms;
}

/*
 * Forwards the answer to a relayed probe to the member that asked for the
 * probe.
 */
static void relay_answer(membership_t *membership, membership_output_t *output,
			 const membership_message_t *ack, clock_ms_t now_ms)
{
	size_t i;

	for (i = 0; i < MEMBERSHIP_RELAYS_MAX; i++) {
		membership_relay_t *relay = &membership->relays[i];
		membership_entry_t *origin;

		if (relay->expires_ms <= now_ms ||
		    relay->sequence != ack->sequence ||
		    strcmp(relay->subject, ack->from.name) != 0)
			continue;
		relay->expires_ms = now_ms;
		origin = membership_table_find(membership, relay->origin);
		if (!origin)
			return;
		membership_message_send(
			membership, output,
			&(membership_send_t){
				.kind = MEMBERSHIP_MESSAGE_ACK,
				.to = origin,
				.address = origin->member.address,
				.sequence = relay->origin_sequence,
				.subject = relay->subject,
				.first_record = membership_table_find(
					membership, relay->subject),
			});
		return;
	}
}

static void receive_ack(membership_t *membership, membership_output_t *output,
			const membership_message_t *ack, clock_ms_t now_ms)
{
	membership_probe_t *probe = &membership->probe;

	if (probe->active && probe->sequence == ack->sequence &&
	    strcmp(probe->name, ack->subject) == 0)
		probe->acked = true;
	else
		relay_answer(membership, output, ack, now_ms);
}

/*
 * Records that a suspected member sent a message itself. Its suspicion time
 * starts again; a leaving member is no longer suspected.
 */
static void record_direct_message(membership_entry_t *entry, clock_ms_t now_ms)
{
	if (!entry || !entry->suspected)
		return;
	entry->since_ms = now_ms;
	entry->connection_refused = false;
	entry->suspected = entry->state == MEMBERSHIP_STATE_SUSPECT;
}

/*
 * Handles a message of another member and writes the actions to take to
 * actions. A malformed message is ignored. random is a new random number for
 * each call. Returns the number of actions; changes of state that do not fit
 * are reported by the next call.
 */
size_t membership_receive(membership_t *membership,
			  const membership_message_t *message,
			  clock_ms_t now_ms, uint64_t random,
			  membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	membership_output_t output = { .actions = actions };
	membership_entry_t *from;
	uint32_t i;

	if (!membership_message_is_valid(message) ||
	    strcmp(message->from.name, membership->options.self.name) == 0)
		return 0;
	membership_random_start(membership, random);
	if (!membership->joined) {
		membership->joined = true;
		membership->joined_ms = now_ms;
	}
	membership_update_apply(membership, &message->from, now_ms);
	for (i = 0; i < message->update_count; i++)
		membership_update_apply(membership, &message->updates[i],
					now_ms);
	from = membership_table_find(membership, message->from.name);
	record_direct_message(from, now_ms);
	switch (message->kind) {
	case MEMBERSHIP_MESSAGE_PING:
		receive_ping(membership, &output, message, from, now_ms);
		break;
	case MEMBERSHIP_MESSAGE_PING_REQUEST:
		receive_ping_request(membership, &output, message, now_ms);
		break;
	case MEMBERSHIP_MESSAGE_ACK:
		receive_ack(membership, &output, message, now_ms);
		break;
	}
	membership_report_changes(membership, &output);
	return output.count;
}
