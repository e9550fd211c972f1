#include "state.h"

#include <string.h>
#include <xxhash.h>

/* Bytes of a key that the rendezvous weight depends on. */
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

/*
 * Returns true if the member is live, that is alive or suspect, and in the
 * domain; a domain of NULL means any.
 */
static bool can_own(const membership_member_t *member, const char *domain)
{
	return (member->state == MEMBERSHIP_STATE_ALIVE ||
		member->state == MEMBERSHIP_STATE_SUSPECT) &&
	       (!domain || strcmp(member->domain, domain) == 0);
}

/*
 * Returns the live member with the highest weight in a domain, or in all
 * domains if domain is NULL; NULL if there is none. Of equal weights the first
 * name wins, because the entries are sorted by name.
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
 * rendezvous weight or, if the domain has no live member, the one of all live
 * members. Returns NULL if no member is live, which only happens while this
 * member is leaving. The result is valid as that of membership_at().
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
 * Counts the live members of a domain, or of all domains if domain is NULL,
 * that come before this member for key: members with a higher weight, or with
 * an equal weight and a lower name. The count stops at limit, mostly after a
 * few entries, because most members are not among the first few.
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
 * Returns true if this member is the owner of a target, as membership_owner()
 * defines it. Mostly it looks at only a few members, because it is called for
 * every target of the configuration whenever a member changes.
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
 * Returns true if this member is live and among the count live members of its
 * own domain with the highest weights for key.
 */
bool membership_is_delegate(const membership_t *membership, const char *key,
			    uint32_t count)
{
	const membership_member_t *self = &membership->self->member;

	return can_own(self, NULL) &&
	       count_before(membership, key, self->domain, count) < count;
}
