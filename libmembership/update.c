#include "state.h"

#include <string.h>

/*
 * Sets the state that callers get. A live member that the instance list marks
 * as leaving is shown as leaving.
 */
static void entry_update_shown_state(membership_t *membership,
				     membership_entry_t *entry)
{
	bool live = entry->state == MEMBERSHIP_STATE_ALIVE ||
		    entry->state == MEMBERSHIP_STATE_SUSPECT;

	entry->member.state = live && entry->listed_leaving
				      ? MEMBERSHIP_STATE_LEAVING
				      : entry->state;
	if (entry->member.state != entry->reported)
		membership->has_unreported = true;
}

/*
 * Sets the state of a member. Its record is then sent to the other members.
 */
void membership_entry_set_state(membership_t *membership,
				membership_entry_t *entry,
				membership_state_t state, clock_ms_t now_ms)
{
	entry->state = state;
	entry->suspected = state == MEMBERSHIP_STATE_SUSPECT;
	entry->suspected_locally = false;
	entry->connection_refused = false;
	entry->since_ms = now_ms;
	entry->transmissions = 0;
	membership->has_unsent = true;
	entry_update_shown_state(membership, entry);
}

/*
 * Records whether the platform's instance list marks the member as leaving.
 * This is not sent to other members, because the list may be out of date and
 * only the member itself could refute a record that shows it as leaving.
 */
void membership_entry_set_listed(membership_t *membership,
				 membership_entry_t *entry, bool leaving)
{
	entry->listed_leaving = leaving;
	entry_update_shown_state(membership, entry);
}

/*
 * Handles a record of this member that another member sent. A record that shows
 * this incarnation as suspect or dead, and any record of a later incarnation,
 * is refuted: this member takes the next higher incarnation. Others can know a
 * later incarnation from an earlier start of the process with a clock that was
 * ahead.
 */
static void refute(membership_t *membership, const membership_member_t *record)
{
	membership_member_t *self = &membership->self->member;
	bool accused = record->state == MEMBERSHIP_STATE_SUSPECT ||
		       record->state == MEMBERSHIP_STATE_DEAD;

	if (record->incarnation == UINT64_MAX)
		return;
	if (record->incarnation > self->incarnation ||
	    (record->incarnation == self->incarnation && accused))
		self->incarnation = record->incarnation + 1;
}

/*
 * Replaces the fields of a member, except its shown state, by those of a record
 * with a higher incarnation.
 */
static void entry_replace_record(membership_entry_t *entry,
				 const membership_member_t *record,
				 clock_ms_t now_ms)
{
	membership_state_t shown = entry->member.state;

	entry->member = *record;
	entry->member.state = shown;
	entry->listed_leaving = false;
	entry->learned_at_ms = now_ms;
}

/*
 * Applies a record of a member. A higher incarnation wins. In the same
 * incarnation the later state in the order alive, suspect, leaving, dead wins,
 * so that an old record cannot revive a dead member.
 */
void membership_update_apply(membership_t *membership,
			     const membership_member_t *record,
			     clock_ms_t now_ms)
{
	membership_entry_t *entry;

	if (!membership_record_is_valid(record))
		return;
	entry = membership_table_find(membership, record->name);
	if (entry && entry == membership->self) {
		refute(membership, record);
		return;
	}
	if (!entry) {
		entry = membership_table_add(membership, record, now_ms);
		if (entry)
			membership_entry_set_state(membership, entry,
						   record->state, now_ms);
		return;
	}
	if (record->incarnation < entry->member.incarnation)
		return;
	if (record->incarnation > entry->member.incarnation) {
		entry_replace_record(entry, record, now_ms);
		membership_entry_set_state(membership, entry, record->state,
					   now_ms);
		return;
	}
	if (record->revision > entry->member.revision)
		entry->member.revision = record->revision;
	if (record->state > entry->state)
		membership_entry_set_state(membership, entry, record->state,
					   now_ms);
}

/*
 * Adds an action for each member whose shown state differs from the one that
 * was last reported. Changes that do not fit are left to the next call.
 */
void membership_report_changes(membership_t *membership,
			       membership_output_t *output)
{
	size_t i;

	if (!membership->has_unreported)
		return;
	for (i = 0; i < membership->count; i++) {
		membership_entry_t *entry = membership->entries[i];
		membership_action_t *action;

		if (entry->member.state == entry->reported)
			continue;
		if (output->count == MEMBERSHIP_ACTIONS_MAX)
			return;
		action = &output->actions[output->count++];
		action->kind = MEMBERSHIP_ACTION_CHANGED;
		action->u.changed.member = entry->member;
		action->u.changed.from = entry->reported;
		entry->reported = entry->member.state;
	}
	membership->has_unreported = false;
}

/*
 * Sets the configuration revisions that this member reports to others: revision
 * is the one up to which it has all changes, latest_revision the highest one of
 * any change that it has.
 */
void membership_set_revision(membership_t *membership, uint64_t revision,
			     uint64_t latest_revision)
{
	membership->self->member.revision = revision;
	membership->self->member.latest_revision = latest_revision;
}

/*
 * Marks this member as leaving. The next tick announces it to a few members,
 * from which the others learn it.
 */
void membership_leave(membership_t *membership)
{
	membership->self->state = MEMBERSHIP_STATE_LEAVING;
	membership->leave_unannounced = true;
	entry_update_shown_state(membership, membership->self);
}
