#ifndef HORNBEAMTACK_MEMBERSHIP_STATE_H
#define HORNBEAMTACK_MEMBERSHIP_STATE_H

#include "membership.h"

#define MEMBERSHIP_SEEDS_MAX 64
#define MEMBERSHIP_RELAYS_MAX 32
#define MEMBERSHIP_INDIRECT_MAX 8

/* Value of transmissions for a record that need not be sent any more. */
#define MEMBERSHIP_TRANSMISSIONS_DONE UINT32_MAX

typedef struct {
	/* Shown to the user: state includes what the platform's list says. */
	membership_member_t member;
	/* State that the members agree on and tell each other. */
	membership_state_t state;
	/* State of the last action MEMBERSHIP_ACTION_CHANGED. */
	membership_state_t reported;
	/* The list shows the member as leaving in this incarnation. */
	bool listed_leaving;
	/* A probe failed; since_ms is when, or when the member died. */
	bool suspected;
	/* The suspicion was shortened because connections are refused. */
	bool connection_refused;
	/* The suspicion comes from a probe of this process. */
	bool suspected_locally;
	clock_ms_t since_ms;
	/* When the process learnt of this incarnation. */
	clock_ms_t learned_at_ms;
	uint32_t transmissions;
} membership_entry_t;

typedef struct {
	bool active;
	bool indirect;
	bool acked;
	char name[MEMBERSHIP_NAME_SIZE];
	uint64_t sequence;
	clock_ms_t started_ms;
	clock_ms_t indirect_ms;
} membership_probe_t;

/* A probe on behalf of another member. */
typedef struct {
	uint64_t sequence;
	uint64_t origin_sequence;
	char origin[MEMBERSHIP_NAME_SIZE];
	char subject[MEMBERSHIP_NAME_SIZE];
	clock_ms_t expires_ms;
} membership_relay_t;

typedef struct {
	char address[MEMBERSHIP_ADDRESS_SIZE];
	/* From the platform's list: dropped after some pings. */
	bool temporary;
	uint32_t pings;
} membership_seed_t;

struct membership {
	membership_options_t options;
	membership_entry_t *self;
	/* In the order of names. */
	membership_entry_t **entries;
	size_t count;
	/* All entries but self, in the order of the present round of probes. */
	membership_entry_t **order;
	size_t order_count;
	size_t order_next;
	membership_seed_t seeds[MEMBERSHIP_SEEDS_MAX];
	size_t seed_count;
	membership_relay_t relays[MEMBERSHIP_RELAYS_MAX];
	membership_probe_t probe;
	uint64_t sequence;
	uint64_t random;
	uint64_t random_count;
	clock_ms_t last_tick_ms;
	clock_ms_t next_probe_ms;
	clock_ms_t joined_ms;
	uint32_t period_count;
	bool joined;
	/* Some entry's state differs from the reported one. */
	bool has_unreported;
	/* Some entry may have transmissions left. */
	bool has_unsent;
	bool leave_unannounced;
};

typedef struct {
	membership_action_t *actions;
	size_t count;
} membership_output_t;

/* What to send; entry is NULL for an address without a known member. */
typedef struct {
	membership_message_kind_t kind;
	membership_entry_t *to;
	const char *address;
	uint64_t sequence;
	const char *subject;
	/* A record to send before others, or NULL. */
	membership_entry_t *first_record;
	/* Leave out the records that are being spread. */
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
