#ifndef HORNBEAMTACK_MEMBERSHIP_H
#define HORNBEAMTACK_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libclock/clock.h"

#define MEMBERSHIP_NAME_SIZE 64
#define MEMBERSHIP_ADDRESS_SIZE 64
/* Updates carried by one probe message. */
#define MEMBERSHIP_UPDATES_MAX 8

typedef enum {
	MEMBERSHIP_STATE_ALIVE,
	MEMBERSHIP_STATE_SUSPECT,
	MEMBERSHIP_STATE_LEAVING,
	MEMBERSHIP_STATE_DEAD,
} membership_state_t;

typedef struct {
	char name[MEMBERSHIP_NAME_SIZE];
	/* "ip:port" of the peer listener. */
	char address[MEMBERSHIP_ADDRESS_SIZE];
	char domain[MEMBERSHIP_NAME_SIZE];
	uint64_t incarnation;
	membership_state_t state;
	/* Configuration revision up to which the member has all changes, and
	 * the highest one of any change that it has, as it last reported them.
	 */
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
	/* The sender's own record, with its incarnation and revision. */
	membership_member_t from;
	uint64_t sequence;
	/* For PING: the member that is probed, or empty to ask for members.
	 * For PING_REQUEST: the member to probe. For ACK: the member that is
	 * alive, which differs from the sender after a PING_REQUEST. */
	char subject[MEMBERSHIP_NAME_SIZE];
	uint32_t update_count;
	membership_member_t updates[MEMBERSHIP_UPDATES_MAX];
} membership_message_t;

typedef enum {
	MEMBERSHIP_ACTION_SEND,
	MEMBERSHIP_ACTION_CHANGED,
} membership_action_kind_t;

typedef struct {
	membership_action_kind_t kind;
	union {
		struct {
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
	membership_member_t self;
	clock_ms_t period_ms;
	clock_ms_t probe_timeout_ms;
	clock_ms_t suspicion_ms;
	uint32_t indirect_probes;
	/* Dead members are forgotten after this time. */
	clock_ms_t forget_ms;
	uint32_t members_max;
} membership_options_t;

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
/* A seed address from the settings; the name is learnt from its answer. */
int membership_seed_add(membership_t *membership, const char *address);
size_t membership_tick(membership_t *membership, clock_ms_t now_ms,
		       uint64_t random,
		       membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);
size_t membership_receive(membership_t *membership,
			  const membership_message_t *message,
			  clock_ms_t now_ms, uint64_t random,
			  membership_action_t actions[MEMBERSHIP_ACTIONS_MAX]);
/* The member's address refuses connections, so that its process has ended. */
void membership_connection_refused(membership_t *membership,
				   const char *address, clock_ms_t now_ms);
/* One entry of the platform's instance list, which may be out of date. */
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
/* Owner of a target; the member itself may be the owner. */
const membership_member_t *membership_owner(const membership_t *membership,
					    const char *target,
					    const char *domain);
/* True if the member itself is the owner of the target. */
bool membership_owns(const membership_t *membership, const char *target,
		     const char *domain);
/* True if the member is among the count members of its domain with the highest
 * rendezvous weight for key. */
bool membership_is_delegate(const membership_t *membership, const char *key,
			    uint32_t count);
const char *membership_state_text(membership_state_t state);
const char *membership_error_text(int error);

#endif
