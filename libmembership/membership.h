#ifndef HORNBEAMTACK_MEMBERSHIP_H
#define HORNBEAMTACK_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

#define MEMBERSHIP_NAME_SIZE 64
#define MEMBERSHIP_ADDRESS_SIZE 64
/* Records of other members in one message. */
#define MEMBERSHIP_UPDATES_MAX 8

typedef enum {
	MEMBERSHIP_STATE_ALIVE,
	MEMBERSHIP_STATE_SUSPECT,
	MEMBERSHIP_STATE_LEAVING,
	MEMBERSHIP_STATE_DEAD,
} membership_state_t;

typedef struct {
	char name[MEMBERSHIP_NAME_SIZE];
	/* "ip:port" at which the member accepts connections of its peers. */
	char address[MEMBERSHIP_ADDRESS_SIZE];
	/* Failure domain. */
	char domain[MEMBERSHIP_NAME_SIZE];
	/* Orders the records of a member; only the member raises it. */
	uint64_t incarnation;
	membership_state_t state;
	/* Configuration revisions that the member last reported: the one up to
	 * which it has all changes, and the highest one of any change that it
	 * has. */
	uint64_t revision;
	uint64_t latest_revision;
} membership_member_t;

typedef enum {
	MEMBERSHIP_MESSAGE_PING,
	MEMBERSHIP_MESSAGE_PING_REQUEST,
	MEMBERSHIP_MESSAGE_ACK,
} membership_message_kind_t;

typedef struct {
	membership_message_kind_t kind;
	/* Record of the sender, with its incarnation and revisions. */
	membership_member_t from;
	uint64_t sequence;
	/* For PING: the probed member, or empty to ask for records of members.
	 * For PING_REQUEST: the member to probe. For ACK: the member that
	 * answered; not the sender if it answers a PING_REQUEST. */
	char subject[MEMBERSHIP_NAME_SIZE];
	uint32_t update_count;
	membership_member_t updates[MEMBERSHIP_UPDATES_MAX];
} membership_message_t;

typedef enum {
	/* A message is to be sent. */
	MEMBERSHIP_ACTION_SEND,
	/* The state of a member has changed. */
	MEMBERSHIP_ACTION_CHANGED,
} membership_action_kind_t;

typedef struct {
	membership_action_kind_t kind;
	union {
		struct {
			/* Empty if the member at the address is not known. */
			char name[MEMBERSHIP_NAME_SIZE];
			char address[MEMBERSHIP_ADDRESS_SIZE];
			membership_message_t message;
		} send;
		struct {
			membership_member_t member;
			membership_state_t from;
		} changed;
	} u;
} membership_action_t;

#define MEMBERSHIP_ACTIONS_MAX 32

typedef struct {
	/* Record of the member itself. */
	membership_member_t self;
	/* One member is probed in each period. */
	clock_ms_t period_ms;
	/* Time without an answer after which other members are asked to probe.
	 */
	clock_ms_t probe_timeout_ms;
	/* Time after which a suspect that has not refuted is declared dead. */
	clock_ms_t suspicion_ms;
	/* Members that are asked to probe a member that did not answer. */
	uint32_t indirect_probes;
	/* Time after which the record of a dead member is removed. */
	clock_ms_t forget_ms;
	/* Limit of the number of records, including that of the member itself.
	 */
	uint32_t members_max;
} membership_options_t;

/* One member's view of all members, kept by the SWIM protocol: each member
 * probes another one in every period, and messages carry records of changed
 * members. */
typedef struct membership membership_t;

enum {
	MEMBERSHIP_OK = 0,
	MEMBERSHIP_ERROR_MEMORY = -1,
	MEMBERSHIP_ERROR_FULL = -2,
	MEMBERSHIP_ERROR_INVALID = -3,
	MEMBERSHIP_ERROR_NO_OWNER = -4,
};

membership_t *membership_new(const membership_options_t *options,
			     clock_ms_t now_ms);
void membership_free(membership_t *membership);
/* Adds a seed address from the settings. */
int membership_seed_add(membership_t *membership, const char *address);
size_t membership_tick(membership_t *membership, clock_ms_t now_ms,
		       uint64_t random,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);
size_t membership_receive(membership_t *membership,
			  const membership_message_t *message,
			  clock_ms_t now_ms, uint64_t random,
			  membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);
/* Reports that an address refuses connections, so its process has ended. */
void membership_connection_refused(membership_t *membership,
				   const char *address, clock_ms_t now_ms);
/* Applies one entry of the platform's instance list. */
int membership_update_listed(membership_t *membership,
			     const membership_member_t *member,
			     clock_ms_t now_ms);
void membership_set_revision(membership_t *membership, uint64_t revision,
			     uint64_t latest_revision);
void membership_leave(membership_t *membership);
size_t membership_count(const membership_t *membership);
const membership_member_t *membership_at(const membership_t *membership,
					 size_t index);
const membership_member_t *membership_find(const membership_t *membership,
					   const char *name);
/* Returns the owner of a target, which may be the member itself. */
const membership_member_t *membership_owner(const membership_t *membership,
					    const char *target,
					    const char *domain);
/* Returns true if the member itself is the owner of the target. */
bool membership_owns(const membership_t *membership, const char *target,
		     const char *domain);
/* Returns true if the member itself is among the count members of its domain
 * with the highest rendezvous weight for key. */
bool membership_is_delegate(const membership_t *membership, const char *key,
			    uint32_t count);
const char *membership_state_text(membership_state_t state);
const char *membership_error_text(int error);

#endif
