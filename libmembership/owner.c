#include "state.h"

#include <string.h>
#include <xxhash.h>

/* Bytes of a target name that take part in the choice. */
#define KEY_MAX_BYTES 255

/*
 * Returns the rendezvous weight of a member for key: the hash of "key\0member".
 */
static uint64_t rendezvous_weight(const char *key, const char *member)
{
	char text[KEY_MAX_BYTES + 1 + MEMBERSHIP_NAME_SIZE];
	size_t key_bytes = strnlen(key, KEY_MAX_BYTES);
	size_t member_bytes = strnlen(member, MEMBERSHIP_NAME_SIZE);

	memcpy(text, key, key_bytes);
	text[key_bytes] = '\0';
	memcpy(&text[key_bytes + 1], member, member_bytes);
	return XXH3_64bits(text, key_bytes + 1 + member_bytes);
}

static bool can_own(const membership_member_t *member, const char *domain)
{
	return (member->state == MEMBERSHIP_STATE_ALIVE ||
		member->state == MEMBERSHIP_STATE_SUSPECT) &&
	       (!domain || strcmp(member->domain, domain) == 0);
}

/*
 * Returns the member of a domain, or of all if domain is NULL, with the highest
 * weight. Of equal weights the first name wins, because the table is in the
 * order of names.
 */
static const membership_member_t *choose_owner(const membership_t *membership,
					       const char *target,
					       const char *domain)
{
	const membership_member_t *owner = NULL;
	uint64_t highest = 0;
	size_t i;

	for (i = 0; i < membership->count; i++) {
		const membership_member_t *member =
			&membership->entries[i]->member;
		uint64_t candidate;

		if (!can_own(member, domain))
			continue;
		candidate = rendezvous_weight(target, member->name);
		if (!owner || candidate > highest) {
			owner = member;
			highest = candidate;
		}
	}
	return owner;
}

/*
 * Returns the owner of a target: the live member of its domain with the highest
 * rendezvous weight, or of all live members if the domain has none. Returns
 * NULL if no member is live, which can only be while this one leaves. The
 * member is valid as in membership_at().
 */
const membership_member_t *membership_owner(const membership_t *membership,
					    const char *target,
					    const char *domain)
{
	const membership_member_t *owner =
		choose_owner(membership, target, domain);

	return owner ? owner : choose_owner(membership, target, NULL);
}

/*
 * Counts the live members of a domain, or of all if domain is NULL, that come
 * before this one for key: those with a higher weight and, of equal weights,
 * those with a lower name. Stops at limit. Most members are not among the first
 * few, so that most counts end after a few entries.
 */
static uint32_t count_before(const membership_t *membership, const char *key,
			     const char *domain, uint32_t limit)
{
	const membership_member_t *self = &membership->self->member;
	uint64_t own = rendezvous_weight(key, self->name);
	uint32_t before = 0;
	size_t i;

	for (i = 0; i < membership->count && before < limit; i++) {
		const membership_member_t *member =
			&membership->entries[i]->member;
		uint64_t other;

		if (member == self || !can_own(member, domain))
			continue;
		other = rendezvous_weight(key, member->name);
		if (other > own ||
		    (other == own && strcmp(member->name, self->name) < 0))
			before++;
	}
	return before;
}

static bool has_live(const membership_t *membership, const char *domain)
{
	size_t i;

	for (i = 0; i < membership->count; i++) {
		if (can_own(&membership->entries[i]->member, domain))
			return true;
	}
	return false;
}

/*
 * Tells whether this member is the owner of a target, as membership_owner()
 * names it, without looking at all members in most cases: it is asked for every
 * target of the configuration whenever a member changes.
 */
bool membership_owns(const membership_t *membership, const char *target,
		     const char *domain)
{
	const membership_member_t *self = &membership->self->member;

	if (!can_own(self, NULL))
		return false;
	if (can_own(self, domain))
		return count_before(membership, target, domain, 1) == 0;
	return !has_live(membership, domain) &&
	       count_before(membership, target, NULL, 1) == 0;
}

/*
 * Tells whether this member is among the count live members of its own domain
 * with the highest weights for key.
 */
bool membership_is_delegate(const membership_t *membership, const char *key,
			    uint32_t count)
{
	const membership_member_t *self = &membership->self->member;

	return can_own(self, NULL) &&
	       count_before(membership, key, self->domain, count) < count;
}
