#include <xxhash.h>

#include "internal.h"

/* Subtracted from a route's staleness bound when a sample is chosen: the time
 * that the statement takes to reach the target, where the bound is judged. */
#define STALENESS_MARGIN_MS 60
/* Longest queue of a group. A statement behind it would wait longer than any
 * latency objective: 200 statements of 10 ms on three slots. */
#define QUEUE_LENGTH_MAX 200
/* How long statements may wait for the first grant after a start. The grant
 * needs two reads of the store, of 4 ms each, or of a few hundred when the
 * store is slow. */
#define FIRST_GRANT_WAIT_MS 1500

/*
 * Takes a session out of the queue of its group, if it waits there.
 */
void gateway_place_leave(session_t *session)
{
	if (session->phase != SESSION_WAITING)
		return;
	TAILQ_REMOVE(&session->group->waiting, session, queue_entry);
	session->group->waiting_count--;
	session->phase = SESSION_RUNNING;
}

static bool was_tried(const session_t *session, const target_t *target)
{
	uint32_t i;

	for (i = 0; i < session->attempts && i < ATTEMPTS_MAX; i++) {
		if (session->tried[i] == target)
			return true;
	}
	return false;
}

/*
 * Returns true unless the operation was sent to another target, which failed
 * it, and this target has had too many such operations already.
 */
static bool may_resend(const session_t *session, const target_t *target)
{
	return !session->is_resend || retry_budget_has(target->resends);
}

/*
 * Counts an attempt of the session's operation and excludes its target from
 * further ones; target is NULL if the target may be tried again.
 */
void gateway_place_note_tried(session_t *session, const target_t *target)
{
	if (session->attempts < ATTEMPTS_MAX)
		session->tried[session->attempts] = target;
	session->attempts++;
}

/*
 * Returns where the current operation may run: whether on the primary, and from
 * which log position on a replica.
 */
static placement_constraints_t constraints_of(session_t *session,
					      clock_ms_t now_ms)
{
	const group_t *group = session->group;
	const route_t *route = &session->route;
	placement_constraints_t constraints = {
		.now_ms = now_ms,
		.proxies = registry_proxy_count(session->gateway->proxies),
	};
	clock_ms_t not_before_ms =
		session->arrived_ms - route->staleness_ms + STALENESS_MARGIN_MS;
	position_sample_t sample;

	constraints.primary_allowed =
		gateway_group_holds_grant(group, now_ms) &&
		group->record.fence == 0;
	constraints.primary_only = session->writes ||
				   route->consistency == CONSISTENCY_PRIMARY ||
				   (session->transaction == TRANSACTION_OPEN &&
				    !session->read_only);
	if (!constraints.primary_only &&
	    sample_ring_find(&group->samples, not_before_ms, &sample)) {
		constraints.replica_allowed = true;
		constraints.required = sample.position;
		constraints.required_ms = sample.sent_ms;
		if (route->consistency == CONSISTENCY_SESSION &&
		    log_position_compare(session->written, sample.position) >
			    0) {
			constraints.required = session->written;
			constraints.required_ms = session->written_ms;
		}
	}
	return constraints;
}

/*
 * Describes the targets of the session's group for placement. Returns their
 * number, GROUP_TARGETS_LIMIT at most.
 */
static size_t list_targets(session_t *session, placement_target_t *rows,
			   target_t **targets)
{
	gateway_t *gateway = session->gateway;
	const target_t *primary = gateway_group_primary(session->group);
	clock_ms_t now_ms = gateway_now(gateway);
	target_t *target;
	size_t count = 0;

	TAILQ_FOREACH(target, &session->group->targets, group_entry) {
		placement_target_t *row = &rows[count];

		if (count == GROUP_TARGETS_LIMIT)
			break;
		targets[count++] = target;
		*row = (placement_target_t){
			.is_primary = target == primary,
			.usable = gateway_target_is_usable(target) &&
				  !gateway_owners_refuse(target, now_ms) &&
				  !was_tried(session, target) &&
				  may_resend(session, target),
			.same_domain = strcmp(target->entry.domain,
					      gateway->settings->domain) == 0,
			.slots = target->entry.slots,
			.in_flight = target->in_flight,
			.news = target->news,
			.applied = target->applied,
			.applied_ms = target->applied_ms,
			.lag_ms = target->lag_ms,
		};
	}
	return count;
}

static queue_entry_t queue_entry_of(const session_t *session)
{
	return (queue_entry_t){
		.priority = session->route.priority,
		.begun_ms = session->operation.begun_ms,
		.arrived_ms = session->arrived_ms,
		.objective_ms = session->route.objective_ms,
		.timeout_ms = session->route.timeout_ms,
	};
}

/*
 * Puts a session into the queue. Open transactions keep their connection, so
 * that only first statements wait here.
 */
static void enqueue(session_t *session, clock_ms_t now_ms)
{
	const queue_entry_t entry = queue_entry_of(session);
	group_t *group = session->group;
	session_t *other;

	session->phase = SESSION_WAITING;
	group->waiting_count++;
	TAILQ_FOREACH(other, &group->waiting, queue_entry) {
		const queue_entry_t other_entry = queue_entry_of(other);

		if (!queue_goes_before(&entry, &other_entry, now_ms))
			continue;
		TAILQ_INSERT_BEFORE(other, session, queue_entry);
		return;
	}
	TAILQ_INSERT_TAIL(&group->waiting, session, queue_entry);
}

/*
 * Starts the current operation on an idle connection of a target.
 */
static void run_on(session_t *session, target_t *target,
		   connection_t *connection,
		   const placement_constraints_t *constraints)
{
	gateway_place_leave(session);
	if (session->is_resend)
		retry_budget_take(target->resends);
	counter_family_observe(
		session->gateway->counters.queue_wait, NULL,
		(double)(constraints->now_ms - session->arrived_ms));
	session->phase = SESSION_RUNNING;
	session->connection = connection;
	session->held_since_ms = constraints->now_ms;
	session->expected_wait_ms = 0;
	connection->session = session;
	session->required = (log_position_t){ 0, 0 };
	session->term = 0;
	if (target == gateway_group_primary(session->group))
		session->term = session->group->record.term;
	else
		session->required = constraints->required;
	gateway_execute_set_timer(session, session->arrived_ms +
						   session->route.timeout_ms -
						   constraints->now_ms);
	gateway_execute_advance(session);
}

static const char *refusal_reason(const session_t *session,
				  const placement_constraints_t *constraints)
{
	if (!constraints->primary_allowed && session->group->record.fence != 0)
		return "change of primary";
	if (!constraints->primary_allowed)
		return "no grant";
	if (session->attempts > 0)
		return "no further target";
	return "no target";
}

/*
 * Returns true if this process has just started and the first grant on the
 * group is likely to follow soon.
 */
static bool awaits_grant(const group_t *group, clock_ms_t now_ms)
{
	const gateway_t *gateway = group->gateway;

	return group->grant.term == 0 &&
	       !store_is_unreachable(gateway->store) &&
	       gateway->draining_ms == 0 &&
	       now_ms < gateway->started_ms + FIRST_GRANT_WAIT_MS;
}

/*
 * Returns a random number for the next choice of a target.
 */
static uint64_t next_random(gateway_t *gateway)
{
	gateway->choices++;
	return XXH3_64bits_withSeed(&gateway->choices, sizeof(gateway->choices),
				    gateway->incarnation);
}

/*
 * Returns how long a session may wait for a connection that is borrowed.
 */
static clock_ms_t loan_wait_ms(const session_t *session, clock_ms_t now_ms)
{
	const route_t *route = &session->route;

	return relay_wait_ms(route->objective_ms,
			     now_ms - session->operation.begun_ms,
			     session->arrived_ms + route->timeout_ms - now_ms);
}

/*
 * Opens a connection to a target, unless this proxy holds as many as it may or
 * those being opened suffice for the waiting statements. A connection that has
 * owners is borrowed, one for each statement.
 */
static void open_if_useful(target_t *target, const session_t *session,
			   clock_ms_t now_ms)
{
	uint32_t wanted = session->group->waiting_count;

	if (session->phase != SESSION_WAITING || !target->relay.has_owners)
		wanted++;
	if (gateway_connection_may_open(target) && target->opening < wanted)
		gateway_connection_open_for_session(
			target, loan_wait_ms(session, now_ms));
}

/*
 * Opens a connection for a session that no idle connection can run, on the best
 * target that has room for one. A target with an idle connection of its tenant
 * is left out: it has no room for another statement. Returns true if a
 * connection that the session can use is being opened.
 */
static bool open_for_session(session_t *session,
			     const placement_constraints_t *constraints)
{
	placement_target_t rows[GROUP_TARGETS_LIMIT];
	target_t *targets[GROUP_TARGETS_LIMIT];
	size_t count = list_targets(session, rows, targets);
	uint32_t openings = 0;
	int chosen;
	size_t i;

	for (i = 0; i < count; i++) {
		if (rows[i].usable &&
		    (rows[i].is_primary || !constraints->primary_only))
			openings += gateway_tenant_openings(targets[i],
							    session->tenant);
	}
	if (openings > gateway_tenant_waiting_before(session))
		return true;
	for (i = 0; i < count; i++)
		rows[i].usable =
			rows[i].usable &&
			!gateway_connection_idle_find(targets[i], session) &&
			gateway_tenant_may_open(targets[i], session);
	chosen = placement_choose(constraints, rows, count,
				  next_random(session->gateway));
	if (chosen == PLACEMENT_NONE)
		return false;
	return gateway_tenant_open(targets[chosen], session);
}

/*
 * Runs an operation on the best target that has an idle connection and room for
 * another statement. Returns false if there is none.
 */
static bool run_on_idle(session_t *session,
			const placement_constraints_t *constraints,
			placement_target_t *rows, target_t **targets,
			size_t count)
{
	uint32_t proxies = registry_proxy_count(session->gateway->proxies);
	connection_t *connection;
	int chosen;
	size_t i;

	for (i = 0; i < count; i++)
		rows[i].usable =
			rows[i].usable &&
			gateway_connection_idle_find(targets[i], session) &&
			(targets[i]->relay.has_owners ||
			 placement_has_room(rows[i].slots, rows[i].in_flight,
					    proxies));
	chosen = placement_choose(constraints, rows, count,
				  next_random(session->gateway));
	if (chosen == PLACEMENT_NONE)
		return false;
	connection = gateway_connection_idle_find(targets[chosen], session);
	if (!connection)
		return false;
	run_on(session, targets[chosen], connection, constraints);
	return true;
}

/*
 * Returns the expected wait of a session for a connection, in ms.
 */
static clock_ms_t expected_wait_ms(const session_t *session,
				   const placement_constraints_t *constraints)
{
	const group_t *group = session->group;
	const target_t *primary = gateway_group_primary(group);
	const queue_entry_t entry = queue_entry_of(session);
	const session_t *other;
	const target_t *target;
	uint32_t ahead = 0;
	uint32_t connections = 0;

	TAILQ_FOREACH(other, &group->waiting, queue_entry) {
		const queue_entry_t other_entry = queue_entry_of(other);

		if (queue_goes_before(&entry, &other_entry,
				      constraints->now_ms))
			break;
		ahead++;
	}
	TAILQ_FOREACH(target, &group->targets, group_entry) {
		if (gateway_target_is_usable(target) &&
		    (target == primary || !constraints->primary_only))
			connections += target->open;
	}
	return queue_expected_wait_ms(&group->usage, ahead, connections);
}

/*
 * Queues a session until a connection is free, or refuses its statement when
 * the queue is full, it would have to wait for too long, or the targets do not
 * keep up. opening is true if a connection is being opened for the session, and
 * borrows if one is borrowed.
 */
static void wait_for_connection(session_t *session,
				const placement_constraints_t *constraints,
				bool opening, bool borrows)
{
	const queue_entry_t entry = queue_entry_of(session);
	clock_ms_t now_ms = constraints->now_ms;
	clock_ms_t wait_ms;

	/* The owner knows whether its target keeps up. */
	if (borrows) {
		wait_ms = now_ms - session->arrived_ms +
			  loan_wait_ms(session, now_ms);
	} else if (opening) {
		wait_ms = queue_opening_wait_ms(&entry);
	} else {
		session->expected_wait_ms =
			expected_wait_ms(session, constraints);
		wait_ms = queue_wait_ms(&session->group->busy_period,
					&session->group->usage, &entry,
					session->expected_wait_ms, now_ms);
	}
	if (session->group->waiting_count >= QUEUE_LENGTH_MAX) {
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
				     "queue full");
		return;
	}
	if (wait_ms == 0) {
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY, "overload");
		return;
	}
	enqueue(session, now_ms);
	gateway_execute_set_timer(session,
				  session->arrived_ms + wait_ms - now_ms);
}

/*
 * Returns true if connections are opened only for operations that no idle one
 * can run: there are too many tenants, or too many proxies, to keep them open.
 */
static bool opens_on_demand(const session_t *session)
{
	target_t *target = TAILQ_FIRST(&session->group->targets);

	return session->gateway->configuration.tenants != NULL ||
	       (target && gateway_connection_is_on_demand(target));
}

/*
 * Finds a target and a connection for an operation, queues it, or refuses it.
 * If the best target has no idle connection, another target runs the operation
 * at once, and a connection to the best one is opened for later operations,
 * unless connections are opened on demand. An operation beyond the limit of its
 * tenant is not placed.
 */
void gateway_place_operation(session_t *session)
{
	clock_ms_t now_ms = gateway_now(session->gateway);
	placement_constraints_t constraints;
	placement_target_t rows[GROUP_TARGETS_LIMIT];
	target_t *targets[GROUP_TARGETS_LIMIT];
	size_t count;
	int chosen;
	bool on_demand = opens_on_demand(session);
	bool opening = false;

	if (!gateway_quota_admit(session))
		return;
	constraints = constraints_of(session, now_ms);
	count = list_targets(session, rows, targets);
	chosen = placement_choose(&constraints, rows, count,
				  next_random(session->gateway));
	if (session->attempts >= ATTEMPTS_MAX ||
	    (chosen == PLACEMENT_NONE &&
	     !awaits_grant(session->group, now_ms))) {
		gateway_execute_fail(session, STATEMENT_ERROR_BUSY,
				     refusal_reason(session, &constraints));
		return;
	}
	if (!on_demand && chosen != PLACEMENT_NONE &&
	    targets[chosen]->idle == 0)
		open_if_useful(targets[chosen], session, now_ms);
	if (run_on_idle(session, &constraints, rows, targets, count))
		return;
	if (on_demand)
		opening = open_for_session(session, &constraints);
	if (session->phase == SESSION_WAITING)
		return;
	wait_for_connection(session, &constraints, opening,
			    chosen != PLACEMENT_NONE &&
				    targets[chosen]->relay.has_owners);
}

/*
 * Gives free connections to the waiting statements. Runs from the event loop
 * and not at the end of another statement, so that the queue does not change
 * while one of its sessions is placed.
 */
void gateway_place_dispatch(group_t *group)
{
	session_t *session;
	session_t *next;

	for (session = TAILQ_FIRST(&group->waiting); session; session = next) {
		next = TAILQ_NEXT(session, queue_entry);
		gateway_place_operation(session);
	}
	gateway_connection_return_unused(group);
}
