#include "state.h"

#include <string.h>
#include <xxhash.h>

/* Bytes of a target name that take part in the choice. */
#define KEY_MAX_BYTES 255

/*
 * Returns the rendezvous weight of a member for key: the hash of "key\0member".
 */
static uint64_t weight(const char *key, const char *member)
{
	char text[KEY_MAX_BYTES + 1 + MEMBERSHIP_NAME_SIZE];
	size_t key_bytes = strnlen(key, KEY_MAX_BYTES);
	size_t member_bytes = strnlen(member, MEMBERSHIP_NAME_SIZE);

	memcpy(text, key, key_bytes);
	text[key_bytes] = '\0';
	memcpy(&text[key_bytes + 1], member, member_bytes);
	return XXH3_64bits(text, key_bytes + 1 + member_bytes);
}

static bool may_own(const membership_member_t *member, const char *domain)
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
static const membership_member_t *choose(const membership_t *membership,
					 const char *target, const char *domain)
{
	const membership_member_t *owner = NULL;
	uint64_t highest = 0;
	size_t i;

	for (i = 0; i < membership->count; i++) {
		const membership_member_t *member =
			&membership->entries[i]->member;
		uint64_t candidate;

		if (!may_own(member, domain))
			continue;
		candidate = weight(target, member->name);
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
	const membership_member_t *owner = choose(membership, target, domain);

	return owner ? owner : choose(membership, target, NULL);
}

/*
 * Tells whether this member is among the count live members of its own domain
 * with the highest weights for key.
 */
bool membership_is_delegate(const membership_t *membership, const char *key,
			    uint32_t count)
{
	const membership_member_t *self = &membership->self->member;
	uint64_t own = weight(key, self->name);
	uint32_t above = 0;
	size_t i;

	if (!may_own(self, NULL))
		return false;
	for (i = 0; i < membership->count; i++) {
		const membership_member_t *member =
			&membership->entries[i]->member;
		uint64_t other;

		if (member == self || !may_own(member, self->domain))
			continue;
		other = weight(key, member->name);
		if (other > own ||
		    (other == own && strcmp(member->name, self->name) < 0))
			above++;
	}
	return above < count;
}
