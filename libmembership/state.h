#ifndef HORNBEAMTACK_MEMBERSHIP_STATE_H
#define HORNBEAMTACK_MEMBERSHIP_STATE_H

#include "membership.h"

#define MEMBERSHIP_SEEDS_MAX 64
/* Probes on behalf of other members that can be open at a time. */
#define MEMBERSHIP_RELAYS_MAX 32
/* Limit of the option indirect_probes. */
#define MEMBERSHIP_INDIRECT_MAX 8

/* Value of transmissions once a record was sent often enough. */
#define MEMBERSHIP_TRANSMISSIONS_DONE UINT32_MAX

/* What this process knows of a member. */
typedef struct {
	/* The record that callers get. Its state is LEAVING instead of ALIVE or
	 * SUSPECT if listed_leaving is true. */
	membership_member_t member;
	/* State that the members exchange. */
	membership_state_t state;
	/* State in the last MEMBERSHIP_ACTION_CHANGED. */
	membership_state_t reported;
	/* The platform's instance list marks this incarnation as leaving. */
	bool listed_leaving;
	/* The member is declared dead at since_ms + suspicion_ms. */
	bool suspected;
	/* The suspicion was shortened because connections are refused. */
	bool connection_refused;
	/* The suspicion comes from a probe or a refused connection of this
	 * process. */
	bool suspected_locally;
	/* Time of the last change of the state, or start of the suspicion. */
	clock_ms_t since_ms;
	/* Time at which this process learned of the incarnation. */
	clock_ms_t learned_at_ms;
	/* Times that the record was sent since it changed. */
	uint32_t transmissions;
} membership_entry_t;

/* The probe of the present period. */
typedef struct {
	bool active;
	/* Other members were asked to probe as well. */
	bool indirect;
	bool acked;
	char name[MEMBERSHIP_NAME_SIZE];
	uint64_t sequence;
	clock_ms_t started_ms;
	clock_ms_t indirect_ms;
} membership_probe_t;

/* A probe on behalf of another member, the origin. The entry is unused once
 * expires_ms has passed. */
typedef struct {
	uint64_t sequence;
	uint64_t origin_sequence;
	char origin[MEMBERSHIP_NAME_SIZE];
	char subject[MEMBERSHIP_NAME_SIZE];
	clock_ms_t expires_ms;
} membership_relay_t;

/* An address at which a member may be found. */
typedef struct {
	char address[MEMBERSHIP_ADDRESS_SIZE];
	/* From the platform's instance list: dropped after some pings, or once
	 * a member is known at the address. */
	bool temporary;
	uint32_t pings;
} membership_seed_t;

struct membership {
	membership_options_t options;
	membership_entry_t *self;
	/* All entries, sorted by name. */
	membership_entry_t **entries;
	size_t count;
	/* All entries but self, in the order in which they are probed. A round
	 * of probes ends at order_count and starts again with a new order. */
	membership_entry_t **order;
	size_t order_count;
	size_t order_next;
	membership_seed_t seeds[MEMBERSHIP_SEEDS_MAX];
	size_t seed_count;
	membership_relay_t relays[MEMBERSHIP_RELAYS_MAX];
	membership_probe_t probe;
	/* Sequence number of the last ping. */
	uint64_t sequence;
	/* Random number of the present call, and the numbers taken from it. */
	uint64_t random;
	uint64_t random_count;
	clock_ms_t last_tick_ms;
	clock_ms_t next_probe_ms;
	/* Time of the first message of another member; valid if joined. */
	clock_ms_t joined_ms;
	uint32_t period_count;
	bool joined;
	/* The state of some entry may differ from its reported one. */
	bool has_unreported;
	/* Some entry may have transmissions left. */
	bool has_unsent;
	/* The member is leaving and the next tick has to announce it. */
	bool leave_unannounced;
};

/* Actions of one call, up to MEMBERSHIP_ACTIONS_MAX. */
typedef struct {
	membership_action_t *actions;
	size_t count;
} membership_output_t;

/* A message to send. */
typedef struct {
	membership_message_kind_t kind;
	/* NULL for an address without a known member. */
	membership_entry_t *to;
	const char *address;
	uint64_t sequence;
	const char *subject;
	/* A record that the message has to carry, or NULL. */
	membership_entry_t *first_record;
	/* Send no records of changed members. */
	bool no_updates;
} membership_send_t;

void membership_random_start(membership_t *membership, uint64_t random);
uint64_t membership_random_below(membership_t *membership, uint64_t bound);

membership_entry_t *membership_table_find(const membership_t *membership,
					  const char *name);
membership_entry_t *membership_table_add(membership_t *membership,
					 const membership_member_t *member,
					 clock_ms_t now_ms);
void membership_table_remove(membership_t *membership,
			     membership_entry_t *entry);

void membership_entry_set_state(membership_t *membership,
				membership_entry_t *entry,
				membership_state_t state, clock_ms_t now_ms);
void membership_entry_set_listed(membership_t *membership,
				 membership_entry_t *entry, bool leaving);
void membership_update_apply(membership_t *membership,
			     const membership_member_t *record,
			     clock_ms_t now_ms);
void membership_report_changes(membership_t *membership,
			       membership_output_t *output);

membership_message_t *membership_message_send(membership_t *membership,
					      membership_output_t *output,
					      const membership_send_t *send);
void membership_message_add_members(const membership_t *membership,
				    membership_message_t *message,
				    size_t start);
bool membership_record_is_valid(const membership_member_t *record);
bool membership_message_is_valid(const membership_message_t *message);

void membership_probe_ping(membership_t *membership,
			   membership_output_t *output,
			   membership_entry_t *entry, clock_ms_t now_ms);
void membership_seed_ping(membership_t *membership, membership_output_t *output,
			  clock_ms_t now_ms);

#endif
