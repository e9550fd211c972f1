#include "state.h"

#include <stdio.h>
#include <string.h>

static bool is_string(const char *text, size_t size, bool required)
{
	return memchr(text, '\0', size) && (!required || text[0] != '\0');
}

/*
 * Returns true if the record has a name, an address and a known state, and all
 * its strings are terminated.
 */
bool membership_record_is_valid(const membership_member_t *record)
{
	return is_string(record->name, sizeof(record->name), true) &&
	       is_string(record->address, sizeof(record->address), true) &&
	       is_string(record->domain, sizeof(record->domain), false) &&
	       record->state >= MEMBERSHIP_STATE_ALIVE &&
	       record->state <= MEMBERSHIP_STATE_DEAD;
}

/*
 * Returns true if a message can be handled: the record of the sender is valid
 * and shows it as alive or leaving. membership_update_apply() checks each
 * update.
 */
bool membership_message_is_valid(const membership_message_t *message)
{
	return membership_record_is_valid(&message->from) &&
	       (message->from.state == MEMBERSHIP_STATE_ALIVE ||
		message->from.state == MEMBERSHIP_STATE_LEAVING) &&
	       is_string(message->subject, sizeof(message->subject), false) &&
	       message->update_count <= MEMBERSHIP_UPDATES_MAX;
}

/*
 * Returns how many times a changed record is sent: 3 * ceil(log2(n + 1)) times,
 * which reaches each of n members with high probability.
 */
static uint32_t transmissions_max(const membership_t *membership)
{
	uint32_t bits = 0;

	while (((size_t)1 << bits) < membership->count + 1)
		bits++;
	return 3 * bits;
}

static void message_add(membership_message_t *message,
			const membership_entry_t *entry)
{
	membership_member_t *record =
		&message->updates[message->update_count++];

	*record = entry->member;
	record->state = entry->state;
}

/*
 * Adds the changed records that were sent the fewest times. The scan starts at
 * a random entry: if all members sent records of equal counts in the same
 * order, they would, after many changes at once, mostly send each other records
 * that the receiver already has.
 */
static void message_add_updates(membership_t *membership,
				membership_message_t *message,
				const membership_send_t *send)
{
	size_t room = MEMBERSHIP_UPDATES_MAX - message->update_count;
	uint32_t max = transmissions_max(membership);
	membership_entry_t *best[MEMBERSHIP_UPDATES_MAX + 1];
	size_t start = membership_random_below(membership, membership->count);
	bool unsent = false;
	size_t count = 0;
	size_t i;
	size_t j;

	for (i = 0; membership->has_unsent && i < membership->count; i++) {
		membership_entry_t *entry =
			membership->entries[(start + i) % membership->count];

		if (entry->transmissions == MEMBERSHIP_TRANSMISSIONS_DONE)
			continue;
		unsent = true;
		if (entry == send->to || entry == send->first_record)
			continue;
		for (j = count;
		     j > 0 && best[j - 1]->transmissions > entry->transmissions;
		     j--)
			best[j] = best[j - 1];
		best[j] = entry;
		if (count < room)
			count++;
	}
	membership->has_unsent = unsent;
	for (i = 0; i < count; i++) {
		message_add(message, best[i]);
		if (++best[i]->transmissions >= max)
			best[i]->transmissions = MEMBERSHIP_TRANSMISSIONS_DONE;
	}
}

/*
 * Adds a message to output, with the record of this member and the records of
 * changed members. A receiver that is not known as alive gets its own record,
 * so that it can refute its state. Returns the message, or NULL if output is
 * full.
 */
membership_message_t *membership_message_send(membership_t *membership,
					      membership_output_t *output,
					      const membership_send_t *send)
{
	membership_action_t *action;
	membership_message_t *message;

	if (output->count == MEMBERSHIP_ACTIONS_MAX)
		return NULL;
	action = &output->actions[output->count++];
	memset(action, 0, sizeof(*action));
	action->kind = MEMBERSHIP_ACTION_SEND;
	if (send->to)
		memcpy(action->u.send.name, send->to->member.name,
		       MEMBERSHIP_NAME_SIZE);
	snprintf(action->u.send.address, MEMBERSHIP_ADDRESS_SIZE, "%s",
		 send->address);
	message = &action->u.send.message;
	message->kind = send->kind;
	message->from = membership->self->member;
	message->from.state = membership->self->state;
	message->sequence = send->sequence;
	snprintf(message->subject, MEMBERSHIP_NAME_SIZE, "%s", send->subject);
	if (send->to && send->to->state != MEMBERSHIP_STATE_ALIVE)
		message_add(message, send->to);
	if (send->first_record)
		message_add(message, send->first_record);
	if (!send->no_updates)
		message_add_updates(membership, message, send);
	return message;
}

static bool message_has(const membership_message_t *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->update_count; i++) {
		if (strcmp(message->updates[i].name, name) == 0)
			return true;
	}
	return strcmp(message->from.name, name) == 0;
}

/*
 * Fills the message with the records that follow index start, for a member that
 * has just started. Records of dead members are left out, since each receiver
 * would keep its copy for another forget_ms.
 */
void membership_message_add_members(const membership_t *membership,
				    membership_message_t *message, size_t start)
{
	size_t i;

	for (i = 0; i < MEMBERSHIP_UPDATES_MAX && i < membership->count; i++) {
		const membership_entry_t *entry =
			membership->entries[(start + i) % membership->count];

		if (message->update_count == MEMBERSHIP_UPDATES_MAX)
			return;
		if (entry->state != MEMBERSHIP_STATE_DEAD &&
		    !message_has(message, entry->member.name))
			message_add(message, entry);
	}
}
