#include "state.h"

#include <stdio.h>
#include <string.h>

/* Time after its first received message in which a member asks for records of
 * members with each ping. At 4 probes/s it is sent 2,500 records. */
#define JOIN_DURATION_MS 5000
/* An address without a live member is pinged once in this many periods. That
 * detects the end of a partition and adds no more than 25 % to the load. */
#define SEED_PING_PERIODS 4
/* Suspects that are pinged again in each period. */
#define SUSPECT_PINGS_MAX 4
/* Members to which a leaving member announces this at once. */
#define LEAVE_PINGS_MAX 8
/* Periods without a tick after which the process counts as paused. */
#define PAUSE_PERIODS 2
/* Part of the suspicion time that is left once connections are refused. */
#define REFUSED_SUSPICION_DIVISOR 4

/*
 * Pings a member. The subject of the ping is the name of the member, so that
 * another member that now has its address does not answer. While this member
 * joins, the subject is empty, which asks for records of members.
 */
void membership_probe_ping(membership_t *membership,
			   membership_output_t *output,
			   membership_entry_t *entry, clock_ms_t now_ms)
{
	bool joining = !membership->joined ||
		       now_ms - membership->joined_ms < JOIN_DURATION_MS;

	membership_message_send(
		membership, output,
		&(membership_send_t){
			.kind = MEMBERSHIP_MESSAGE_PING,
			.to = entry,
			.address = entry->member.address,
			.sequence = ++membership->sequence,
			.subject = joining ? "" : entry->member.name,
		});
}

/*
 * Discards the time of a pause of this process. Answers that arrived during the
 * pause are not read yet, so the open probe ends without a result and the
 * suspicion times are extended by the pause.
 */
static void discount_pause(membership_t *membership, clock_ms_t now_ms)
{
	clock_ms_t gap_ms = now_ms - membership->last_tick_ms;
	size_t i;

	membership->last_tick_ms = now_ms;
	if (gap_ms <= PAUSE_PERIODS * membership->options.period_ms)
		return;
	membership->probe.active = false;
	for (i = 0; i < membership->count; i++) {
		if (membership->entries[i]->suspected)
			membership->entries[i]->since_ms += gap_ms;
	}
}

/*
 * Declares suspects dead after suspicion_ms and removes the records of members
 * that have been dead for forget_ms.
 */
static void expire(membership_t *membership, clock_ms_t now_ms)
{
	const membership_options_t *options = &membership->options;
	size_t i = 0;

	while (i < membership->count) {
		membership_entry_t *entry = membership->entries[i];
		clock_ms_t age_ms = now_ms - entry->since_ms;

		if (entry->suspected && age_ms >= options->suspicion_ms)
			membership_entry_set_state(membership, entry,
						   MEMBERSHIP_STATE_DEAD,
						   now_ms);
		if (entry->state == MEMBERSHIP_STATE_DEAD &&
		    entry->reported == MEMBERSHIP_STATE_DEAD &&
		    age_ms >= options->forget_ms)
			membership_table_remove(membership, entry);
		else
			i++;
	}
}

static void shuffle(membership_t *membership)
{
	membership_entry_t **order = membership->order;
	size_t i;

	for (i = membership->order_count; i > 1; i--) {
		size_t j = membership_random_below(membership, i);
		membership_entry_t *entry = order[i - 1];

		order[i - 1] = order[j];
		order[j] = entry;
	}
	membership->order_next = 0;
}

/*
 * Returns the next member to probe, or NULL if no other member is known that is
 * not dead. Each member comes once in a round of random order.
 */
static membership_entry_t *next_probe_member(membership_t *membership)
{
	size_t rest = 2 * membership->order_count;

	while (rest-- > 0) {
		membership_entry_t *entry;

		if (membership->order_next == membership->order_count)
			shuffle(membership);
		entry = membership->order[membership->order_next++];
		if (entry->state != MEMBERSHIP_STATE_DEAD)
			return entry;
	}
	return NULL;
}

/*
 * Asks up to indirect_probes live members, from a random one on, to probe
 * entry.
 */
static void probe_indirect(membership_t *membership,
			   membership_output_t *output,
			   membership_entry_t *entry)
{
	uint32_t wanted = membership->options.indirect_probes;
	size_t start =
		membership_random_below(membership, membership->order_count);
	size_t i;

	for (i = 0; i < membership->order_count && wanted > 0; i++) {
		membership_entry_t *helper =
			membership
				->order[(start + i) % membership->order_count];

		if (helper == entry || helper->state != MEMBERSHIP_STATE_ALIVE)
			continue;
		wanted--;
		membership_message_send(
			membership, output,
			&(membership_send_t){
				.kind = MEMBERSHIP_MESSAGE_PING_REQUEST,
				.to = helper,
				.address = helper->member.address,
				.sequence = membership->probe.sequence,
				.subject = entry->member.name,
			});
	}
}

/*
 * Starts the suspicion of a member. The state of a leaving member stays
 * LEAVING, because a suspect owns targets.
 */
static void suspect_member(membership_t *membership, membership_entry_t *entry,
			   clock_ms_t now_ms)
{
	if (entry->suspected || entry->state == MEMBERSHIP_STATE_DEAD)
		return;
	if (entry->state == MEMBERSHIP_STATE_ALIVE)
		membership_entry_set_state(membership, entry,
					   MEMBERSHIP_STATE_SUSPECT, now_ms);
	entry->suspected = true;
	entry->suspected_locally = true;
	entry->since_ms = now_ms;
}

/*
 * Reports that connections to a member's address are refused. The instance is
 * then up and reachable, but the process of the member is not running. The
 * member is suspected, and a quarter of the suspicion time is left for a
 * restart or for a later record that refutes it.
 */
void membership_connection_refused(membership_t *membership,
				   const char *address, clock_ms_t now_ms)
{
	clock_ms_t spent_ms =
		membership->options.suspicion_ms -
		membership->options.suspicion_ms / REFUSED_SUSPICION_DIVISOR;
	size_t i;

	for (i = 0; i < membership->order_count; i++) {
		membership_entry_t *entry = membership->order[i];

		if (strcmp(entry->member.address, address) != 0 ||
		    entry->state == MEMBERSHIP_STATE_DEAD)
			continue;
		suspect_member(membership, entry, now_ms);
		if (entry->since_ms > now_ms - spent_ms &&
		    !entry->connection_refused)
			entry->since_ms = now_ms - spent_ms;
		entry->connection_refused = true;
	}
}

/*
 * Advances the present probe. After probe_timeout_ms without an answer other
 * members are asked to probe, and after the rest of the period the probed
 * member is suspected.
 */
static void probe_advance(membership_t *membership, membership_output_t *output,
			  clock_ms_t now_ms)
{
	const membership_options_t *options = &membership->options;
	clock_ms_t wait_ms = options->period_ms - options->probe_timeout_ms;
	membership_probe_t *probe = &membership->probe;
	membership_entry_t *entry =
		membership_table_find(membership, probe->name);

	if (!probe->active)
		return;
	if (!entry || probe->acked) {
		probe->active = false;
	} else if (!probe->indirect) {
		if (now_ms - probe->started_ms < options->probe_timeout_ms)
			return;
		probe->indirect = true;
		probe->indirect_ms = now_ms;
		probe_indirect(membership, output, entry);
	} else if (now_ms - probe->indirect_ms >= wait_ms) {
		probe->active = false;
		suspect_member(membership, entry, now_ms);
	}
}

/*
 * Pings members that this member suspects again. The ping carries the record of
 * the suspect, which can then refute it.
 */
static void suspects_ping(membership_t *membership, membership_output_t *output,
			  clock_ms_t now_ms)
{
	uint32_t pings = 0;
	size_t i;

	for (i = 0; i < membership->count && pings < SUSPECT_PINGS_MAX; i++) {
		membership_entry_t *entry = membership->entries[i];

		if (!entry->suspected || !entry->suspected_locally)
			continue;
		pings++;
		membership_probe_ping(membership, output, entry, now_ms);
	}
}

/*
 * Starts the next period once it is due and the probe of the last one has
 * ended. Pings suspects, an address without a live member in some periods, and
 * the next member to probe.
 */
static void period_start(membership_t *membership, membership_output_t *output,
			 clock_ms_t now_ms)
{
	membership_probe_t *probe = &membership->probe;
	membership_entry_t *entry;

	if (probe->active || now_ms < membership->next_probe_ms)
		return;
	membership->next_probe_ms = now_ms + membership->options.period_ms;
	suspects_ping(membership, output, now_ms);
	entry = next_probe_member(membership);
	if (!entry || membership->period_count++ % SEED_PING_PERIODS == 0)
		membership_seed_ping(membership, output, now_ms);
	if (!entry)
		return;
	membership_probe_ping(membership, output, entry, now_ms);
	*probe = (membership_probe_t){
		.active = true,
		.sequence = membership->sequence,
		.started_ms = now_ms,
	};
	snprintf(probe->name, sizeof(probe->name), "%s", entry->member.name);
}

static void announce_leave(membership_t *membership,
			   membership_output_t *output, clock_ms_t now_ms)
{
	uint32_t i;

	for (i = 0; membership->leave_unannounced && i < LEAVE_PINGS_MAX; i++) {
		membership_entry_t *entry = next_probe_member(membership);

		if (entry)
			membership_probe_ping(membership, output, entry,
					      now_ms);
	}
	membership->leave_unannounced = false;
}

/*
 * Handles all timeouts at now_ms and writes the actions to take to actions.
 * Must be called several times in each probe_timeout_ms, with a new random
 * number each time. Returns the number of actions; changes of state that do not
 * fit are reported by the next call.
 */
size_t membership_tick(membership_t *membership, clock_ms_t now_ms,
		       uint64_t random,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX])
{
	membership_output_t output = { .actions = actions };

	membership_random_start(membership, random);
	discount_pause(membership, now_ms);
	expire(membership, now_ms);
	announce_leave(membership, &output, now_ms);
	probe_advance(membership, &output, now_ms);
	period_start(membership, &output, now_ms);
	membership_report_changes(membership, &output);
	return output.count;
}
