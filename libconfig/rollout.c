#include "config.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
	char name[CONFIG_NAME_SIZE];
	bool confirmed;
} rollout_member_t;

struct config_rollout {
	uint64_t revision;
	clock_ms_t deadline_ms;
	size_t unconfirmed;
	size_t count;
	size_t capacity;
	rollout_member_t *members;
};

/*
 * Returns a rollout of revision without members, or NULL without memory.
 * deadline_ms is the time at which the rollout counts as partial.
 */
config_rollout_t *config_rollout_new(uint64_t revision, clock_ms_t deadline_ms)
{
	config_rollout_t *rollout = calloc(1, sizeof(*rollout));

	if (!rollout)
		return NULL;
	rollout->revision = revision;
	rollout->deadline_ms = deadline_ms;
	return rollout;
}

/*
 * Frees the rollout; NULL is allowed.
 */
void config_rollout_free(config_rollout_t *rollout)
{
	if (!rollout)
		return;
	free(rollout->members);
	free(rollout);
}

static rollout_member_t *member_find(const config_rollout_t *rollout,
				     const char *member)
{
	size_t i;

	for (i = 0; i < rollout->count; i++) {
		if (strcmp(rollout->members[i].name, member) == 0)
			return &rollout->members[i];
	}
	return NULL;
}

/*
 * Adds a member that has to confirm the revision. A second call for the same
 * member has no effect. Returns CONFIG_OK, CONFIG_ERROR_MEMORY, or
 * CONFIG_ERROR_RANGE if the name is empty or longer than CONFIG_NAME_SIZE - 1.
 */
int config_rollout_expect(config_rollout_t *rollout, const char *member)
{
	size_t length = strnlen(member, CONFIG_NAME_SIZE);
	rollout_member_t *members;
	size_t capacity;

	if (length == 0 || length == CONFIG_NAME_SIZE)
		return CONFIG_ERROR_RANGE;
	if (member_find(rollout, member))
		return CONFIG_OK;
	if (rollout->count == rollout->capacity) {
		capacity = rollout->capacity ? rollout->capacity * 2 : 8;
		members = reallocarray(rollout->members, capacity,
				       sizeof(*members));
		if (!members)
			return CONFIG_ERROR_MEMORY;
		rollout->members = members;
		rollout->capacity = capacity;
	}
	members = &rollout->members[rollout->count++];
	memcpy(members->name, member, length + 1);
	members->confirmed = false;
	rollout->unconfirmed++;
	return CONFIG_OK;
}

/*
 * Records the revision that a member reports; the revision of the rollout or a
 * higher one confirms it. A confirmation is final, because a lower revision
 * after it comes from an older message that arrived late.
 */
void config_rollout_report(config_rollout_t *rollout, const char *member,
			   uint64_t revision)
{
	rollout_member_t *found = member_find(rollout, member);

	if (!found || found->confirmed || revision < rollout->revision)
		return;
	found->confirmed = true;
	rollout->unconfirmed--;
}

/*
 * Removes a member that left, so that its confirmation is not awaited any more.
 */
void config_rollout_drop(config_rollout_t *rollout, const char *member)
{
	rollout_member_t *found = member_find(rollout, member);
	size_t index;

	if (!found)
		return;
	if (!found->confirmed)
		rollout->unconfirmed--;
	index = (size_t)(found - rollout->members);
	rollout->count--;
	memmove(found, found + 1, (rollout->count - index) * sizeof(*found));
}

/*
 * Returns CONFIG_ROLLOUT_COMPLETE if all members have confirmed, else
 * CONFIG_ROLLOUT_PARTIAL from the deadline on and CONFIG_ROLLOUT_PENDING
 * before.
 */
config_rollout_state_t config_rollout_state(const config_rollout_t *rollout,
					    clock_ms_t now_ms)
{
	if (rollout->unconfirmed == 0)
		return CONFIG_ROLLOUT_COMPLETE;
	if (now_ms >= rollout->deadline_ms)
		return CONFIG_ROLLOUT_PARTIAL;
	return CONFIG_ROLLOUT_PENDING;
}

/*
 * Returns the name of the index-th member that has not confirmed, in the order
 * in which the members were added, or NULL. The name is valid until the rollout
 * is changed.
 */
const char *config_rollout_unconfirmed(const config_rollout_t *rollout,
				       size_t index)
{
	size_t i;

	for (i = 0; i < rollout->count; i++) {
		if (!rollout->members[i].confirmed && index-- == 0)
			return rollout->members[i].name;
	}
	return NULL;
}
