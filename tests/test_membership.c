#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libmembership/membership.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define ALIVE MEMBERSHIP_STATE_ALIVE
#define SUSPECT MEMBERSHIP_STATE_SUSPECT
#define LEAVING MEMBERSHIP_STATE_LEAVING
#define DEAD MEMBERSHIP_STATE_DEAD
#define PERIOD_MS 250
#define FORGET_MS 20000
#define DOMAINS 4

static membership_member_t record(uint32_t index, membership_state_t state,
				  uint64_t incarnation)
{
	membership_member_t member = { .incarnation = incarnation,
				       .state = state };

	snprintf(member.name, sizeof(member.name), "proxy-%02u", index);
	snprintf(member.address, sizeof(member.address), "10.0.0.%u:7400",
		 index);
	snprintf(member.domain, sizeof(member.domain), "south-%u",
		 index % DOMAINS);
	return member;
}

static membership_t *member_new(uint32_t index, uint64_t incarnation,
				uint32_t members_max, clock_ms_t now_ms)
{
	membership_options_t options = {
		.self = record(index, ALIVE, incarnation),
		.period_ms = PERIOD_MS,
		.probe_timeout_ms = 100,
		.suspicion_ms = 1000,
		.indirect_probes = 2,
		.forget_ms = FORGET_MS,
		.members_max = members_max,
	};

	return membership_new(&options, now_ms);
}

/* A single member, which is number 0, and the actions of its last call. */
typedef struct {
	membership_t *membership;
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	size_t count;
} single_t;

static single_t single_new(uint32_t members_max)
{
	return (single_t){ .membership = member_new(0, 10, members_max, 0) };
}

/* Delivers a message of member 1 that carries one record to the member. */
static void receive_record(single_t *single, membership_member_t update,
			   clock_ms_t now_ms)
{
	membership_message_t message = {
		.kind = MEMBERSHIP_MESSAGE_ACK,
		.from = record(1, ALIVE, 1),
		.update_count = 1,
		.updates = { update },
	};

	single->count = membership_receive(single->membership, &message, now_ms,
					   1, single->actions);
}

/* Delivers a message of another member that carries no records. */
static void receive_message(single_t *single, membership_message_kind_t kind,
			    uint32_t index, uint64_t sequence,
			    const char *subject, clock_ms_t now_ms)
{
	membership_message_t message = { .kind = kind,
					 .from = record(index, ALIVE, 1),
					 .sequence = sequence };

	snprintf(message.subject, sizeof(message.subject), "%s", subject);
	single->count = membership_receive(single->membership, &message, now_ms,
					   1, single->actions);
}

/* Ticks every 25 ms; returns the number of reported changes of state. */
static uint32_t run_until(single_t *single, clock_ms_t from_ms,
			  clock_ms_t to_ms)
{
	uint32_t changes = 0;
	clock_ms_t now_ms;
	size_t i;

	for (now_ms = from_ms; now_ms <= to_ms; now_ms += 25) {
		single->count =
			membership_tick(single->membership, now_ms,
					(uint64_t)now_ms, single->actions);
		for (i = 0; i < single->count; i++)
			changes += single->actions[i].kind ==
				   MEMBERSHIP_ACTION_CHANGED;
	}
	return changes;
}

static membership_state_t state_of(const single_t *single, const char *name)
{
	const membership_member_t *member =
		membership_find(single->membership, name);

	return member ? member->state : DEAD;
}

typedef struct {
	const char *name;
	membership_state_t before;
	uint64_t before_incarnation;
	membership_state_t heard;
	uint64_t heard_incarnation;
	membership_state_t after;
	uint64_t after_incarnation;
} transition_row_t;

/* Guards against an old record that makes a dead member live again, and against
 * a refutation that is not accepted. */
static void test_transitions(void)
{
	static const transition_row_t rows[] = {
		{ "suspected", ALIVE, 5, SUSPECT, 5, SUSPECT, 5 },
		{ "old suspicion", ALIVE, 5, SUSPECT, 4, ALIVE, 5 },
		{ "refuted", SUSPECT, 5, ALIVE, 6, ALIVE, 6 },
		{ "not refuted", SUSPECT, 5, ALIVE, 5, SUSPECT, 5 },
		{ "dies", SUSPECT, 5, DEAD, 5, DEAD, 5 },
		{ "old death", ALIVE, 5, DEAD, 4, ALIVE, 5 },
		{ "not revived", DEAD, 5, ALIVE, 5, DEAD, 5 },
		{ "restarted", DEAD, 5, ALIVE, 6, ALIVE, 6 },
		{ "restarted unnoticed", ALIVE, 5, ALIVE, 90, ALIVE, 90 },
		{ "later death", ALIVE, 5, DEAD, 7, DEAD, 7 },
		{ "leaves", ALIVE, 5, LEAVING, 5, LEAVING, 5 },
		{ "suspect leaves", SUSPECT, 5, LEAVING, 5, LEAVING, 5 },
		{ "leaving stays", LEAVING, 5, SUSPECT, 5, LEAVING, 5 },
		{ "leaving restarts", LEAVING, 5, ALIVE, 6, ALIVE, 6 },
		{ "leaving dies", LEAVING, 5, DEAD, 5, DEAD, 5 },
		{ "dead stays", DEAD, 5, LEAVING, 5, DEAD, 5 },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		const transition_row_t *row = &rows[i];
		single_t single = single_new(8);
		const membership_member_t *member;

		receive_record(&single,
			       record(2, row->before, row->before_incarnation),
			       0);
		CHECK_ROW(state_of(&single, "proxy-02") == row->before,
			  row->name);
		receive_record(&single,
			       record(2, row->heard, row->heard_incarnation),
			       0);
		member = membership_find(single.membership, "proxy-02");
		CHECK_ROW(member && member->state == row->after &&
				  member->incarnation == row->after_incarnation,
			  row->name);
		CHECK_ROW(single.count == (row->after == row->before ? 0u : 1u),
			  row->name);
		membership_free(single.membership);
	}
}

typedef struct {
	const char *name;
	membership_state_t heard;
	uint64_t incarnation;
	uint64_t after;
} refute_row_t;

/* Guards against a live member that others go on treating as suspect or dead,
 * because it does not refute their record of it. */
static void test_refute(void)
{
	static const refute_row_t rows[] = {
		{ "suspected", SUSPECT, 10, 11 },
		{ "dead", DEAD, 10, 11 },
		{ "old suspicion", SUSPECT, 9, 10 },
		{ "own record", ALIVE, 10, 10 },
		{ "dead in a later incarnation", DEAD, 50, 51 },
		{ "alive in a later incarnation", ALIVE, 50, 51 },
		{ "last number", DEAD, UINT64_MAX, 10 },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		single_t single = single_new(8);
		const membership_member_t *self;

		receive_record(&single,
			       record(0, rows[i].heard, rows[i].incarnation),
			       0);
		self = membership_find(single.membership, "proxy-00");
		CHECK_ROW(self->incarnation == rows[i].after &&
				  self->state == ALIVE,
			  rows[i].name);
		membership_free(single.membership);
	}
}

/* Guards against a member without answers that is not suspected, not declared
 * dead or never removed, and against one that is declared dead too early. */
static void test_silence(void)
{
	single_t single = single_new(8);
	uint32_t requests = 0;
	size_t i;

	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 1, 1, "", 0);
	run_until(&single, 0, PERIOD_MS - 25);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), ALIVE);
	run_until(&single, PERIOD_MS, PERIOD_MS);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), SUSPECT);
	run_until(&single, PERIOD_MS + 25, PERIOD_MS + 975);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), SUSPECT);
	run_until(&single, PERIOD_MS + 1000, PERIOD_MS + 1000);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), DEAD);
	/* A late message of the dead member does not revive it. */
	receive_message(&single, MEMBERSHIP_MESSAGE_PING, 1, 1, "proxy-00",
			1300);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), DEAD);
	CU_ASSERT_EQUAL(single.actions[0].u.send.message.updates[0].state,
			DEAD);
	run_until(&single, 1325, 1225 + FORGET_MS);
	CU_ASSERT_EQUAL(membership_count(single.membership), 2);
	run_until(&single, 1250 + FORGET_MS, 1250 + FORGET_MS);
	CU_ASSERT_EQUAL(membership_count(single.membership), 1);
	membership_free(single.membership);

	single = single_new(8);
	for (i = 1; i < 5; i++)
		receive_message(&single, MEMBERSHIP_MESSAGE_ACK, (uint32_t)i, 1,
				"", 0);
	run_until(&single, 0, 100);
	for (i = 0; i < single.count; i++)
		requests += single.actions[i].kind == MEMBERSHIP_ACTION_SEND &&
			    single.actions[i].u.send.message.kind ==
				    MEMBERSHIP_MESSAGE_PING_REQUEST;
	CU_ASSERT_EQUAL(requests, 2);
	/* After a pause of this process no member is suspected. */
	run_until(&single, 5000, 5000);
	for (i = 0; i < membership_count(single.membership); i++)
		CU_ASSERT_EQUAL(membership_at(single.membership, i)->state,
				ALIVE);
	membership_free(single.membership);
}

/* Guards against a killed process that owns its targets for the whole suspicion
 * time, and against a restarted process that is declared dead because its
 * predecessor refused connections. */
static void test_connection_refused(void)
{
	single_t single = single_new(8);
	const char *address = record(1, ALIVE, 1).address;
	char copy[MEMBERSHIP_ADDRESS_SIZE];

	snprintf(copy, sizeof(copy), "%s", address);
	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 1, 1, "", 0);
	membership_connection_refused(single.membership, "192.0.2.1:1", 0);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), ALIVE);
	membership_connection_refused(single.membership, copy, 0);
	membership_connection_refused(single.membership, copy, 100);
	run_until(&single, 0, 225);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), SUSPECT);
	run_until(&single, 250, 250);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), DEAD);
	membership_free(single.membership);

	single = single_new(8);
	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 1, 1, "", 0);
	membership_connection_refused(single.membership, copy, 0);
	receive_record(&single, record(1, ALIVE, 2), 100);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-01"), ALIVE);
	membership_free(single.membership);
}

/* Guards against an answer to a relayed probe that is not forwarded to the
 * member that asked for it, and against one that another member gives. */
static void test_relay(void)
{
	single_t single = single_new(8);
	const membership_message_t *sent = &single.actions[0].u.send.message;
	uint64_t sequence;

	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 2, 1, "", 0);
	receive_message(&single, MEMBERSHIP_MESSAGE_PING_REQUEST, 1, 77,
			"proxy-02", 0);
	CU_ASSERT_EQUAL(sent->kind, MEMBERSHIP_MESSAGE_PING);
	CU_ASSERT_STRING_EQUAL(single.actions[0].u.send.name, "proxy-02");
	sequence = sent->sequence;
	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 1, sequence,
			"proxy-01", 9);
	CU_ASSERT_EQUAL(single.count, 0);
	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 2, sequence,
			"proxy-02", 9);
	CU_ASSERT_EQUAL(single.count, 1);
	CU_ASSERT_STRING_EQUAL(single.actions[0].u.send.name, "proxy-01");
	CU_ASSERT_EQUAL(sent->sequence, 77);
	CU_ASSERT_STRING_EQUAL(sent->subject, "proxy-02");
	receive_message(&single, MEMBERSHIP_MESSAGE_ACK, 2, sequence,
			"proxy-02", 9);
	CU_ASSERT_EQUAL(single.count, 0);
	receive_message(&single, MEMBERSHIP_MESSAGE_PING, 2, 5, "proxy-09", 9);
	CU_ASSERT_EQUAL(single.count, 0);
	membership_free(single.membership);
}

typedef struct {
	const char *name;
	/* Incarnation 0 stands for a member that is not known. */
	membership_state_t known;
	uint64_t incarnation;
	membership_state_t listed;
	membership_state_t after;
	/* Incarnation of an ALIVE record received later, and the state then. */
	uint64_t later_incarnation;
	membership_state_t later;
} list_row_t;

/* Guards against an instance list that is out of date and makes a dead member
 * live, marks a live member as leaving for good, or lets a leaving member own
 * targets. */
static void test_listed_members(void)
{
	static const list_row_t rows[] = {
		{ "leaving", ALIVE, 5, LEAVING, LEAVING, 5, LEAVING },
		{ "leaving suspect", SUSPECT, 5, LEAVING, LEAVING, 5, LEAVING },
		{ "leaving, restarted", ALIVE, 5, LEAVING, LEAVING, 6, ALIVE },
		{ "live", ALIVE, 5, ALIVE, ALIVE, 5, ALIVE },
		{ "live but dead", DEAD, 5, ALIVE, DEAD, 5, DEAD },
		{ "live but left", LEAVING, 5, ALIVE, LEAVING, 5, LEAVING },
		{ "leaving but dead", DEAD, 5, LEAVING, DEAD, 6, ALIVE },
		{ "unknown", DEAD, 0, ALIVE, DEAD, 5, ALIVE },
	};
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		const list_row_t *row = &rows[i];
		single_t single = single_new(8);
		membership_member_t listed = record(2, row->listed, 0);

		if (row->incarnation > 0)
			receive_record(&single,
				       record(2, row->known, row->incarnation),
				       0);
		CHECK_ROW(membership_update_listed(single.membership, &listed,
						   0) == MEMBERSHIP_OK,
			  row->name);
		CHECK_ROW(state_of(&single, "proxy-02") == row->after,
			  row->name);
		receive_record(&single,
			       record(2, ALIVE, row->later_incarnation), 0);
		CHECK_ROW(state_of(&single, "proxy-02") == row->later,
			  row->name);
		/* The list shows a member as live again. */
		listed.state = ALIVE;
		membership_update_listed(single.membership, &listed, 0);
		if (row->known == ALIVE)
			CHECK_ROW(state_of(&single, "proxy-02") == ALIVE,
				  row->name);
		membership_free(single.membership);
	}
}

/* Guards against a table or list of seeds that grows without bound, a malformed
 * message that has an effect, and changes of state that are not reported
 * because many happen at once. */
static void test_bounds(void)
{
	single_t single = single_new(100);
	membership_message_t message = { .from = record(1, ALIVE, 1) };
	membership_member_t listed = record(0, ALIVE, 1);
	uint32_t changes;
	uint32_t i;

	for (i = 1; i < 150; i++)
		receive_record(&single, record(i, ALIVE, 1), 0);
	CU_ASSERT_EQUAL(membership_count(single.membership), 100);
	for (i = 1; i < 100; i++)
		receive_record(&single, record(i, SUSPECT, 1), 0);
	CU_ASSERT_EQUAL(run_until(&single, 0, 975), 0);
	changes = run_until(&single, 1000, 1000);
	CU_ASSERT(changes > 0 && changes <= MEMBERSHIP_ACTIONS_MAX);
	CU_ASSERT_EQUAL(changes + run_until(&single, 1025, 1200), 99);
	receive_record(&single, record(150, ALIVE, 1), 1200);
	CU_ASSERT_EQUAL(membership_count(single.membership), 100);
	CU_ASSERT_EQUAL(state_of(&single, "proxy-150"), ALIVE);

	message.update_count = MEMBERSHIP_UPDATES_MAX + 1;
	CU_ASSERT_EQUAL(membership_receive(single.membership, &message, 0, 0,
					   single.actions),
			0);
	message.update_count = 0;
	memset(message.from.name, 'x', sizeof(message.from.name));
	CU_ASSERT_EQUAL(membership_receive(single.membership, &message, 0, 0,
					   single.actions),
			0);
	for (i = 0; i < 200; i++) {
		snprintf(listed.name, sizeof(listed.name), "new-%u", i);
		snprintf(listed.address, sizeof(listed.address), "h%u", i);
		if (membership_update_listed(single.membership, &listed, 0) ==
		    MEMBERSHIP_ERROR_FULL)
			break;
	}
	CU_ASSERT(i < 200);
	listed.name[0] = '\0';
	CU_ASSERT_EQUAL(membership_update_listed(single.membership, &listed, 0),
			MEMBERSHIP_ERROR_INVALID);
	CU_ASSERT_EQUAL(membership_seed_add(single.membership, ""),
			MEMBERSHIP_ERROR_INVALID);
	membership_free(single.membership);
	CU_ASSERT_PTR_NULL(member_new(0, 1, 0, 0));
}

/* Guards against a changed record that is sent too rarely to reach all members,
 * or for ever, and against one that is not sent until earlier ones are done. */
static void test_transmissions(void)
{
	single_t single = single_new(64);
	const membership_message_t *sent = &single.actions[0].u.send.message;
	uint32_t sent_count[32] = { 0 };
	uint32_t round;
	uint32_t i;

	for (i = 1; i <= 30; i++)
		receive_record(&single, record(i, ALIVE, 1), 0);
	for (round = 0; round < 200; round++) {
		uint32_t index;

		receive_message(&single, MEMBERSHIP_MESSAGE_PING, 1, round,
				"proxy-00", 0);
		for (i = 0; i < sent->update_count; i++) {
			if (sscanf(sent->updates[i].name, "proxy-%u", &index))
				sent_count[index]++;
		}
		/* 4 messages carry each of the 29 records once; member 1
		 * receives them and is left out. */
		for (i = 2; round == 3 && i <= 30; i++)
			CU_ASSERT(sent_count[i] >= 1);
	}
	CU_ASSERT_EQUAL(sent_count[1], 0);
	for (i = 2; i <= 30; i++)
		CU_ASSERT_EQUAL(sent_count[i], 15); /* 3 * log2(32) */
	membership_free(single.membership);
}

#define OWNED_TARGETS 2000

/* Sets owners to the number of the owner of each target. */
static void read_owners(const single_t *single, const char *domain,
			uint32_t owners[OWNED_TARGETS])
{
	char target[32];
	uint32_t i;

	for (i = 0; i < OWNED_TARGETS; i++) {
		const membership_member_t *owner;

		snprintf(target, sizeof(target), "service-%u/target", i);
		owner = membership_owner(single->membership, target, domain);
		owners[i] = UINT32_MAX;
		if (!owner || sscanf(owner->name, "proxy-%u", &owners[i]) != 1)
			CU_FAIL("no owner");
	}
}

/* Guards against targets that change their owner without need, an uneven
 * distribution, and an owner that is in another domain, leaving or dead. */
static void test_owner(void)
{
	static const membership_state_t unavailable[] = { LEAVING, DEAD };
	uint32_t before[OWNED_TARGETS];
	uint32_t after[OWNED_TARGETS];
	single_t single = single_new(64);
	uint32_t owned[40] = { 0 };
	size_t j;
	uint32_t i;

	for (i = 1; i < 40; i++)
		receive_record(&single, record(i, i == 2 ? SUSPECT : ALIVE, 1),
			       0);
	read_owners(&single, "south-2", before);
	for (i = 0; i < OWNED_TARGETS; i++)
		owned[before[i]]++;
	/* Ten members of the domain share 2000 targets. */
	for (i = 0; i < 40; i++)
		CU_ASSERT(i % DOMAINS == 2 ? owned[i] > 200 * 3 / 4 &&
						     owned[i] < 200 * 4 / 3
					   : owned[i] == 0);
	for (j = 0; j < COUNT(unavailable); j++) {
		receive_record(&single, record(6, unavailable[j], 1), 0);
		read_owners(&single, "south-2", after);
		for (i = 0; i < OWNED_TARGETS; i++)
			CU_ASSERT(before[i] == 6 ? after[i] != 6
						 : after[i] == before[i]);
	}
	for (i = 2; i < 40; i += DOMAINS)
		receive_record(&single, record(i, DEAD, 1), 0);
	read_owners(&single, "south-2", after);
	for (i = 0; i < OWNED_TARGETS; i++)
		CU_ASSERT(after[i] % DOMAINS != 2);
	membership_leave(single.membership);
	for (i = 1; i < 40; i++)
		receive_record(&single, record(i, DEAD, 1), 0);
	CU_ASSERT_PTR_NULL(membership_owner(single.membership, "t", "south-1"));
	membership_free(single.membership);
}

/* Returns true if membership_owns() agrees with membership_owner(); adds the
 * number of targets that the member itself owns to *owned. */
static bool owns_agrees(const single_t *single, uint32_t *owned)
{
	char target[32];
	char domain[32];
	uint32_t i;

	for (i = 0; i < OWNED_TARGETS; i++) {
		const membership_member_t *owner;
		bool self;

		snprintf(target, sizeof(target), "target-%u", i);
		snprintf(domain, sizeof(domain), "south-%u", i % DOMAINS);
		owner = membership_owner(single->membership, target, domain);
		self = owner && strcmp(owner->name, "proxy-00") == 0;
		*owned += self;
		if (membership_owns(single->membership, target, domain) != self)
			return false;
	}
	return true;
}

/* Guards against a target that no member or two members serve, because
 * membership_owns() and membership_owner() disagree. */
static void test_owns(void)
{
	single_t single = single_new(64);
	uint32_t owned[5] = { 0 };
	uint32_t i;

	CU_ASSERT(owns_agrees(&single, &owned[0]));
	for (i = 1; i < 40; i++)
		receive_record(&single, record(i, i == 4 ? SUSPECT : ALIVE, 1),
			       0);
	CU_ASSERT(owns_agrees(&single, &owned[1]));
	for (i = 2; i < 40; i += DOMAINS)
		receive_record(&single, record(i, i % 3 ? DEAD : LEAVING, 1),
			       0);
	CU_ASSERT(owns_agrees(&single, &owned[2]));
	for (i = 1; i < 40; i++)
		receive_record(&single, record(i, DEAD, 1), 0);
	CU_ASSERT(owns_agrees(&single, &owned[3]));
	membership_leave(single.membership);
	CU_ASSERT(owns_agrees(&single, &owned[4]));
	/* A single member owns all targets. If one of the four domains has no
	 * member, it also owns a share of the targets of that domain. A leaving
	 * member owns none. */
	CU_ASSERT(owned[0] == OWNED_TARGETS && owned[3] == OWNED_TARGETS);
	CU_ASSERT(owned[1] > 0 && owned[2] > owned[1] &&
		  owned[2] < OWNED_TARGETS);
	CU_ASSERT(owned[4] == 0);
	membership_free(single.membership);
}

/* Model of a network of members, which advances in steps of 1 ms. */
#define NODES_MAX 60
#define DELAY_MAX_MS 32

typedef struct packet {
	struct packet *next;
	uint32_t from;
	uint32_t to;
	membership_message_t message;
} packet_t;

typedef struct {
	membership_t *membership;
	bool killed;
	clock_ms_t resumes_ms;
} node_t;

typedef struct {
	check_random_t random;
	clock_ms_t now_ms;
	uint32_t count;
	node_t nodes[NODES_MAX];
	packet_t *packets[DELAY_MAX_MS];
	uint64_t loss_percent;
	/* Messages out of domain cut_out and into domain cut_in are lost; -1
	 * stands for no domain. */
	int32_t cut_out;
	int32_t cut_in;
	uint64_t messages;
	uint64_t size_bytes;
	uint64_t changes;
	uint64_t deaths;
} model_t;

static uint64_t pack_number(uint64_t number)
{
	return number < 128	     ? 1
	       : number < 256	     ? 2
	       : number < 65536	     ? 3
	       : number < UINT32_MAX ? 5
				     : 9;
}

static uint64_t pack_text(const char *text)
{
	return strlen(text) + (strlen(text) < 32 ? 1 : 2);
}

/* Returns the size of a record as a msgpack array, in bytes. */
static uint64_t pack_record(const membership_member_t *member)
{
	return 1 + pack_text(member->name) + pack_text(member->address) +
	       pack_text(member->domain) + pack_number(member->incarnation) +
	       1 + pack_number(member->revision);
}

/* Returns the size of a message in bytes: its length, type, id, and a map with
 * keys of 1 byte. */
static uint64_t pack_message(const membership_message_t *message)
{
	uint64_t size_bytes = 4 + 2 + pack_number(message->sequence) + 1 + 3 +
			      pack_record(&message->from) +
			      pack_text(message->subject) + 1;
	uint32_t i;

	for (i = 0; i < message->update_count; i++)
		size_bytes += pack_record(&message->updates[i]);
	return size_bytes;
}

static void node_start(model_t *model, uint32_t index)
{
	node_t *node = &model->nodes[index];
	uint32_t i;

	membership_free(node->membership);
	node->membership =
		member_new(index, (uint64_t)model->now_ms + 1700000000000ULL,
			   2 * NODES_MAX, model->now_ms);
	node->killed = false;
	for (i = 0; i < DOMAINS; i++) {
		membership_member_t seed = record(i, ALIVE, 0);

		membership_seed_add(node->membership, seed.address);
	}
}

static void model_start(model_t *model, uint64_t seed, uint32_t count)
{
	uint32_t i;

	memset(model, 0, sizeof(*model));
	model->random = check_random(seed);
	model->count = count;
	model->cut_out = -1;
	model->cut_in = -1;
	for (i = 0; i < count; i++)
		node_start(model, i);
}

static void model_free(model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->count; i++)
		membership_free(model->nodes[i].membership);
	for (i = 0; i < DELAY_MAX_MS; i++) {
		while (model->packets[i]) {
			packet_t *packet = model->packets[i];

			model->packets[i] = packet->next;
			free(packet);
		}
	}
}

static void schedule_delivery(model_t *model, packet_t *packet,
			      uint64_t delay_ms)
{
	packet_t **slot = &model->packets[((uint64_t)model->now_ms + delay_ms) %
					  DELAY_MAX_MS];

	packet->next = *slot;
	*slot = packet;
}

static bool is_cut(const model_t *model, uint32_t from, uint32_t to)
{
	int32_t out = (int32_t)(from % DOMAINS);
	int32_t in = (int32_t)(to % DOMAINS);

	return out != in && (out == model->cut_out || in == model->cut_in);
}

static void model_apply_actions(model_t *model, uint32_t from,
				const membership_action_t *actions,
				size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		packet_t *packet;
		uint32_t to;

		if (actions[i].kind == MEMBERSHIP_ACTION_CHANGED) {
			model->changes++;
			model->deaths +=
				actions[i].u.changed.member.state == DEAD;
			continue;
		}
		model->messages++;
		model->size_bytes += pack_message(&actions[i].u.send.message);
		if (sscanf(actions[i].u.send.address, "10.0.0.%u", &to) != 1 ||
		    to >= model->count || is_cut(model, from, to) ||
		    check_random_below(&model->random, 100) <
			    model->loss_percent)
			continue;
		packet = malloc(sizeof(*packet));
		packet->from = from;
		packet->to = to;
		packet->message = actions[i].u.send.message;
		schedule_delivery(model, packet,
				  1 + check_random_below(&model->random, 10));
	}
}

static void model_deliver(model_t *model)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	packet_t **slot = &model->packets[model->now_ms % DELAY_MAX_MS];
	packet_t *packet = *slot;

	*slot = NULL;
	while (packet) {
		packet_t *next = packet->next;
		node_t *node = &model->nodes[packet->to];

		if (!node->killed && model->now_ms < node->resumes_ms) {
			schedule_delivery(model, packet, 1);
		} else {
			if (!node->killed)
				model_apply_actions(
					model, packet->to, actions,
					membership_receive(
						node->membership,
						&packet->message, model->now_ms,
						check_random_next(
							&model->random),
						actions));
			free(packet);
		}
		packet = next;
	}
}

static void model_run(model_t *model, clock_ms_t duration_ms)
{
	membership_action_t actions[MEMBERSHIP_ACTIONS_MAX];
	clock_ms_t end_ms = model->now_ms + duration_ms;
	uint32_t i;

	for (; model->now_ms < end_ms; model->now_ms++) {
		model_deliver(model);
		for (i = 0; i < model->count; i++) {
			node_t *node = &model->nodes[i];

			if ((model->now_ms + 7 * i) % 25 != 0 || node->killed ||
			    model->now_ms < node->resumes_ms)
				continue;
			model_apply_actions(
				model, i, actions,
				membership_tick(
					node->membership, model->now_ms,
					check_random_next(&model->random),
					actions));
		}
	}
}

/* Returns true if exactly the running members are alive in the view of the
 * node, each in its present incarnation. */
static bool node_view_is_right(const model_t *model, const node_t *node)
{
	uint32_t i;

	for (i = 0; i < model->count; i++) {
		membership_member_t other = record(i, ALIVE, 0);
		const membership_member_t *seen =
			membership_find(node->membership, other.name);

		if (model->nodes[i].killed) {
			if (seen && seen->state != DEAD)
				return false;
		} else if (!seen || seen->state != ALIVE ||
			   seen->incarnation !=
				   membership_find(model->nodes[i].membership,
						   other.name)
					   ->incarnation) {
			return false;
		}
	}
	return true;
}

static bool model_views_agree(const model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->count; i++) {
		if (!model->nodes[i].killed &&
		    !node_view_is_right(model, &model->nodes[i]))
			return false;
	}
	return true;
}

/* Runs until the views of all nodes are right, but at most for limit_ms;
 * returns the time in ms that this took. */
static clock_ms_t model_run_until_agreed(model_t *model, clock_ms_t limit_ms)
{
	clock_ms_t start_ms = model->now_ms;

	while (model->now_ms - start_ms < limit_ms && !model_views_agree(model))
		model_run(model, 25);
	return model->now_ms - start_ms;
}

/* Injects one random fault. */
static void model_fault(model_t *model)
{
	check_random_t *random = &model->random;
	uint32_t index = (uint32_t)check_random_below(random, model->count);
	int32_t domain = (int32_t)check_random_below(random, DOMAINS);
	node_t *node = &model->nodes[index];

	switch (check_random_below(random, 6)) {
	case 0:
		model->loss_percent = check_random_below(random, 30);
		break;
	case 1:
		node->resumes_ms = model->now_ms + 100 +
				   (clock_ms_t)check_random_below(random, 5000);
		break;
	case 2:
		model->cut_out = domain;
		model->cut_in = domain;
		break;
	case 3:
		model->cut_out = domain;
		model->cut_in = -1;
		break;
	case 4:
		model->cut_out = -1;
		model->cut_in = -1;
		break;
	default:
		if (node->killed)
			node_start(model, index);
		else
			node->killed = true;
		break;
	}
}

static void model_heal(model_t *model)
{
	uint32_t i;

	model->loss_percent = 0;
	model->cut_out = -1;
	model->cut_in = -1;
	for (i = 0; i < model->count; i++)
		model->nodes[i].resumes_ms = 0;
	/* All nodes but node 0 run again, so that a dead one can remain. */
	for (i = 1; i < model->count; i++) {
		if (model->nodes[i].killed)
			node_start(model, i);
	}
}

static void faults_run(uint32_t nodes, uint64_t seeds, clock_ms_t limit_ms)
{
	clock_ms_t longest_ms = 0;
	static model_t model;
	clock_ms_t took_ms;
	uint64_t seed;
	uint32_t i;

	for (seed = 0; seed < seeds; seed++) {
		model_start(&model, seed, nodes);
		for (i = 0; i < 40; i++) {
			model_fault(&model);
			model_run(&model, 500);
		}
		model_heal(&model);
		/* Probes that were lost during the faults end in this time. */
		model_run(&model, 2 * PERIOD_MS);
		took_ms = 2 * PERIOD_MS +
			  model_run_until_agreed(&model, limit_ms);
		CHECK_SEED(model_views_agree(&model), seed);
		if (took_ms > longest_ms)
			longest_ms = took_ms;
		for (i = 0; i < 12; i++) {
			model_run(&model, 250);
			CHECK_SEED(model_views_agree(&model), seed);
		}
		model_free(&model);
	}
	printf("\n  %u nodes, %llu seeds: views equal at most %lld ms after "
	       "the "
	       "faults ",
	       nodes, (unsigned long long)seeds, (long long)longest_ms);
}

/* Guards against views that differ for good after loss, pauses, partitions and
 * restarts, a live member that is dead to others, and a member whose state
 * flaps. */
static void test_faults_5(void)
{
	faults_run(5, check_seeds(300), 8000);
}

/* Guards against the same failures as test_faults_5(), among 60 nodes. */
static void test_faults_60(void)
{
	faults_run(60, (check_seeds(300) + 29) / 30, 12000);
}

/* Guards against live members that are declared dead because messages are lost.
 * A suspect that receives its record at once can refute it in time. */
static void test_loss(void)
{
	static model_t model;
	uint64_t changes = 0;
	uint64_t deaths = 0;
	uint64_t seed;

	for (seed = 0; seed < (check_seeds(300) + 29) / 30; seed++) {
		model_start(&model, seed, 20);
		model_run_until_agreed(&model, 8000);
		model.changes = 0;
		model.loss_percent = 10;
		model_run(&model, 60000);
		changes += model.changes;
		deaths += model.deaths;
		model_free(&model);
	}
	printf("\n  20 nodes, 10 %% loss, %llu minutes: %llu changes of state, "
	       "%llu deaths ",
	       (unsigned long long)seed, (unsigned long long)changes,
	       (unsigned long long)deaths);
	CU_ASSERT(deaths * 1000 <= changes);
}

/* Guards against two parts of a partition that do not find each other after its
 * end, when each has declared the members of the other dead or has even removed
 * their records. */
static void test_partition(void)
{
	static const clock_ms_t lengths_ms[] = { 10000, 3 * FORGET_MS };
	static model_t model;
	uint64_t seed;
	size_t i;

	for (i = 0; i < COUNT(lengths_ms); i++) {
		clock_ms_t longest_ms = 0;

		for (seed = 0; seed < (check_seeds(300) + 59) / 60; seed++) {
			clock_ms_t took_ms;

			model_start(&model, seed, 20);
			model_run_until_agreed(&model, 8000);
			model.cut_out = 1;
			model.cut_in = 1;
			model_run(&model, lengths_ms[i]);
			CHECK_SEED(!model_views_agree(&model), seed);
			model_heal(&model);
			took_ms = model_run_until_agreed(&model, 12000);
			CHECK_SEED(model_views_agree(&model), seed);
			if (took_ms > longest_ms)
				longest_ms = took_ms;
			model_free(&model);
		}
		printf("\n  cut for %lld ms: views equal at most %lld ms "
		       "later ",
		       (long long)lengths_ms[i], (long long)longest_ms);
	}
}

/* Returns the periods until all nodes have the record of node 0 as leaving. */
static uint32_t dissemination_periods(model_t *model)
{
	clock_ms_t start_ms = model->now_ms;
	uint32_t seen = 0;
	uint32_t i;

	membership_leave(model->nodes[0].membership);
	while (seen < model->count && model->now_ms - start_ms < 30000) {
		model_run(model, 5);
		for (i = 0, seen = 0; i < model->count; i++)
			seen += membership_find(model->nodes[i].membership,
						"proxy-00")
					->state == LEAVING;
	}
	printf("an update reaches all in %lld ms",
	       (long long)(model->now_ms - start_ms));
	return (uint32_t)((model->now_ms - start_ms) / PERIOD_MS + 1);
}

/* Guards against a load on each member that grows with the number of members,
 * changes of state without a fault, and slow dissemination. */
static void test_load(void)
{
	static const uint32_t counts[] = { 5, 20, 60 };
	/* 3 * log2(n + 1) rounded up, the number of transmissions. */
	static const uint32_t periods_max[] = { 9, 15, 18 };
	double first_bytes = 0;
	static model_t model;
	size_t i;

	for (i = 0; i < COUNT(counts); i++) {
		double messages;
		double bytes;
		double join_bytes;

		model_start(&model, i, counts[i]);
		CU_ASSERT(model_run_until_agreed(&model, 8000) < 8000);
		model_run(&model, 20000);
		join_bytes = (double)model.size_bytes / counts[i];
		model.messages = 0;
		model.size_bytes = 0;
		model.changes = 0;
		model_run(&model, 30000);
		messages = (double)model.messages / counts[i] / 30;
		bytes = (double)model.size_bytes / counts[i] / 30;
		printf("\n  %u nodes: %.2f messages/s and %.0f bytes/s sent by "
		       "each (%.0f bytes in the first 20 s), ",
		       counts[i], messages, bytes, join_bytes);
		CU_ASSERT_EQUAL(model.changes, 0);
		/* A ping and an answer in each period. */
		CU_ASSERT(messages < 8.1);
		if (i == 0)
			first_bytes = bytes;
		CU_ASSERT(bytes < 1.1 * first_bytes);
		CU_ASSERT(dissemination_periods(&model) <= periods_max[i]);
		model_free(&model);
	}
	printf("\n  ");
}

/* Guards against a restarted member that knows the others only after each of
 * them has probed it, which takes a full round of 60 periods. */
static void test_join(void)
{
	static model_t model;
	uint32_t i;

	for (i = 0; i < 5; i++) {
		clock_ms_t took_ms;

		model_start(&model, i, 60);
		model_run_until_agreed(&model, 12000);
		model_run(&model, 20000);
		node_start(&model, 10 + i);
		took_ms = model_run_until_agreed(&model, 12000);
		printf("%s%lld",
		       i ? ", " : "\n  a restarted node knows 60 in ms: ",
		       (long long)took_ms);
		CU_ASSERT(took_ms <= 8 * PERIOD_MS);
		model_free(&model);
	}
	printf(" ");
}

/* Guards against a member that is probed twice or not at all in a round. */
static void test_round(void)
{
	single_t single = single_new(32);
	uint32_t pings[11] = { 0 };
	clock_ms_t now_ms;
	uint32_t total = 0;
	uint32_t i;

	for (i = 1; i <= 10; i++)
		receive_record(&single, record(i, ALIVE, 1), 0);
	for (now_ms = 0; total < 50; now_ms += 25) {
		uint32_t to;

		single.count =
			membership_tick(single.membership, now_ms,
					(uint64_t)now_ms, single.actions);
		if (single.count == 0)
			continue;
		if (sscanf(single.actions[0].u.send.name, "proxy-%u", &to) != 1)
			break;
		pings[to]++;
		receive_message(&single, MEMBERSHIP_MESSAGE_ACK, to,
				single.actions[0].u.send.message.sequence,
				single.actions[0].u.send.name, now_ms);
		if (++total % 10 > 0)
			continue;
		for (i = 1; i <= 10; i++)
			CU_ASSERT_EQUAL(pings[i], total / 10);
	}
	CU_ASSERT_EQUAL(total, 50);
	membership_free(single.membership);
}

/* Guards against more or fewer members that hold the platform's watch than
 * wanted in each domain. */
static void test_delegates(void)
{
	static model_t model;
	uint32_t delegates[DOMAINS] = { 0 };
	uint32_t i;

	model_start(&model, 1, 20);
	CU_ASSERT(model_run_until_agreed(&model, 8000) < 8000);
	for (i = 0; i < model.count; i++)
		delegates[i % DOMAINS] += membership_is_delegate(
			model.nodes[i].membership, "watch", 2);
	for (i = 0; i < DOMAINS; i++)
		CU_ASSERT_EQUAL(delegates[i], 2);
	model_free(&model);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "transitions", test_transitions },
		{ "refute", test_refute },
		{ "silence", test_silence },
		{ "refused", test_connection_refused },
		{ "relay", test_relay },
		{ "list", test_listed_members },
		{ "bounds", test_bounds },
		{ "transmissions", test_transmissions },
		{ "round", test_round },
		{ "owner", test_owner },
		{ "owns", test_owns },
		{ "delegates", test_delegates },
		{ "faults, 5 nodes", test_faults_5 },
		{ "faults, 60 nodes", test_faults_60 },
		{ "join", test_join },
		{ "loss", test_loss },
		{ "partition", test_partition },
		{ "load", test_load },
	};

	return check_main("membership", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
