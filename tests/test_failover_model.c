#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libfailover/failover.h"

/*
 * Deterministic model of one group: targets that behave as the design page
 * requires, three observers that run libfailover, and a writer. Each target
 * is in a failure domain of its own; observer i is in the domain of target
 * i. The observers also stand for proxies: they receive writes and wait for
 * their confirmations.
 */

#define TARGETS_MAX 5
#define OBSERVERS 3
/* Failure domain of the callers; those of the targets are numbered from 0. */
#define CALLER_DOMAIN 5
#define DOMAINS 6
#define LOG_MAX 8192
#define WRITES_MAX 4096
#define TERMS_MAX 256
#define CHUNK_ENTRIES_MAX 32
#define WAITS_MAX 128
#define EVENTS_MAX 8192
#define FAULTS_MAX 5

#define US_PER_MS 1000
#define TICK_US (10 * US_PER_MS)
#define WRITE_INTERVAL_US (10 * US_PER_MS)
/* Link delays after which a replica repeats a pull that got no answer. */
#define PULL_RETRY_LINK_DELAYS 20
#define LOCAL_DELAY_US 200
/* Duration of the grant of RULE_GRANT. */
#define GRANT_MS 1000
/* Seeds for each variant: eight for each kind of fault. */
#define VARIANT_SEEDS 112
#define RUNS_PER_LOSS 12
#define CUT_LINK_PROMOTIONS_MAX 3

/* When a write is acknowledged. */
typedef enum {
	/* After the commit, while a majority answered within GRANT_MS. */
	RULE_GRANT,
	/* When the primary and one replica have it. */
	RULE_PLUS_ONE,
	/* When a majority has it. */
	RULE_MAJORITY,
} rule_t;

/* A mechanism that is switched off, to show that the checks notice it. */
typedef enum {
	VARIANT_NONE,
	/* A write is acknowledged after the commit on the primary alone. */
	VARIANT_COMMIT_ONLY,
	/* A report confirms a write even if its target has promised a higher
	 * term since. */
	VARIANT_ANY_PROMISE,
	/* A target answers a fence call but does not record the promise. */
	VARIANT_NO_FENCE,
	/* Lost calls to targets other than the primary count as answered. */
	VARIANT_MINORITY,
	/* A promise of a term does not exclude other coordinators. */
	VARIANT_SHARED_PROMISE,
	/* No target becomes primary. */
	VARIANT_NO_PROMOTION,
	/* The target to promote is chosen by position without the term. */
	VARIANT_NO_TERM,
} variant_t;

typedef enum {
	FAULT_KILL,
	FAULT_PAUSE_TARGET,
	FAULT_PAUSE_OBSERVER,
	FAULT_CUT_BOTH,
	FAULT_CUT_IN,
	FAULT_CUT_OUT,
	/* The link from one domain to the next, in this direction only. */
	FAULT_CUT_LINK,
	/* Messages from and to the domain take 100 to 300 ms longer. */
	FAULT_SLOW,
	/* Open connections to the target get no answers; new ones do. */
	FAULT_SILENT,
	/* Half of all answers are lost. */
	FAULT_LOST,
	/* Half of all answers take up to 900 ms. */
	FAULT_LATE,
	/* The replica receives few entries. */
	FAULT_LAGGING,
	FAULT_LEAVING,
	/* The clocks of the observers run at 90 to 110 % for the whole run.
	 */
	FAULT_DRIFT,
	FAULT_COUNT,
} fault_kind_t;

/* Stands for the target that is primary when the fault begins. */
#define SUBJECT_PRIMARY (-1)

typedef struct {
	fault_kind_t kind;
	int64_t begin_us;
	int64_t end_us;
	int32_t subject;
	/* A killed target refuses connections instead of staying silent. */
	bool refuses;
} fault_t;

typedef struct {
	uint32_t target_count;
	failover_options_t options;
	int64_t link_us;
	rule_t rule;
	variant_t variant;
	bool without_primary;
	/* Log entries in one answer to a pull. */
	uint32_t chunk_max;
	fault_t faults[FAULTS_MAX];
	uint32_t fault_count;
	int64_t end_us;
} plan_t;

typedef struct {
	uint32_t term;
	uint32_t write;
	/* Position at which the term of this entry began. */
	uint32_t begin;
} entry_t;

typedef struct {
	uint32_t write;
	uint32_t term;
	uint32_t position;
	int32_t owner;
	bool used;
} wait_t;

typedef struct {
	group_role_t role;
	uint32_t promised_term;
	uint64_t promised_by;
	int32_t following;
	entry_t log[LOG_MAX];
	uint32_t length;
	/* Only the answer to the latest pull is applied. */
	uint32_t pull_seq;
	int64_t pulled_at_us;
	/* Latest pull of each replica that waits for new entries; 0 if none. */
	uint32_t waiting_seq[TARGETS_MAX];
	wait_t waits[WAITS_MAX];
	uint32_t dead;
	bool refuses;
	uint32_t lagging;
	uint32_t leaving;
	int64_t paused_until_us;
} target_t;

typedef struct {
	failover_t *failover;
	uint32_t rate_percent;
	clock_ms_t offset_ms;
	int64_t paused_until_us;
	bool connection_silent[TARGETS_MAX];
	/* For RULE_GRANT: time of the latest answered request to each target.
	 */
	int64_t heard_at_us[TARGETS_MAX];
	uint32_t term;
	int64_t term_since_us;
} observer_t;

typedef struct {
	int64_t started_us;
	int64_t committed_us;
	uint32_t term;
	uint32_t position;
	/* Bit set of the targets that confirmed the write in confirmed_term. */
	uint32_t confirmed_by;
	uint32_t confirmed_term;
	bool acked;
} write_t;

/*
 * A call of an observer is a CALL and its ANSWER. A replica sends a PULL and
 * gets a CHUNK of the log. A write takes these steps:
 * - WRITE: a caller sends it;
 * - RECEIVED: an observer receives it, and forwards it to the observer that
 *   owns the primary;
 * - FORWARDED: this observer sends it to the primary;
 * - COMMIT: the primary commits it;
 * - COMMITTED: the observer gets the answer and asks the other targets for it;
 * - WAIT: a target answers once it has the write;
 * - CONFIRMED: the observer counts that answer.
 */
typedef enum {
	EVENT_TICK,
	EVENT_CALL,
	EVENT_ANSWER,
	EVENT_WRITE,
	EVENT_RECEIVED,
	EVENT_FORWARDED,
	EVENT_COMMIT,
	EVENT_COMMITTED,
	EVENT_WAIT,
	EVENT_CONFIRMED,
	EVENT_PULL_TIMER,
	EVENT_PULL,
	EVENT_CHUNK,
	EVENT_FAULT_BEGIN,
	EVENT_FAULT_END,
} event_kind_t;

typedef struct {
	int64_t at_us;
	uint64_t order;
	event_kind_t kind;
	int32_t observer;
	int32_t target;
	/* The other target of a replication message, or the index of a fault.
	 */
	int32_t peer;
	uint32_t write;
	uint32_t term;
	uint32_t position;
	uint32_t seq;
	int64_t sent_us;
	/* An answer, or the call without its answer yet. */
	failover_event_t answer;
	uint32_t entry_count;
	entry_t entries[CHUNK_ENTRIES_MAX];
} event_t;

typedef struct {
	uint32_t acked;
	uint32_t lost;
	/* Terms in which a target was promoted. */
	uint32_t promotions;
	uint32_t second_promotions;
	uint32_t acks_after_replacement;
	bool live;
	int64_t latency_sum_us;
	int64_t gap_us;
	failover_view_t promoter;
} result_t;

typedef struct {
	plan_t plan;
	check_random_t random;
	int64_t now_us;
	uint64_t order;
	event_t pool[EVENTS_MAX];
	uint32_t free_slots[EVENTS_MAX];
	uint32_t free_count;
	uint32_t heap[EVENTS_MAX];
	uint32_t heap_count;

	target_t targets[TARGETS_MAX];
	observer_t observers[OBSERVERS];
	write_t writes[WRITES_MAX];
	uint32_t write_count;

	uint32_t blocked_in[DOMAINS];
	uint32_t blocked_out[DOMAINS];
	uint32_t blocked_link[DOMAINS];
	uint32_t slow[DOMAINS];
	uint32_t lost_answers;
	uint32_t late_answers;

	int64_t acked_at_us;
	/* By term: the promoted target plus 1, and the time of the first
	 * acknowledgement. */
	int32_t promoted[TERMS_MAX];
	int64_t first_ack_us[TERMS_MAX];
	result_t result;
} model_t;

static bool earlier(const model_t *model, uint32_t a, uint32_t b)
{
	const event_t *left = &model->pool[model->heap[a]];
	const event_t *right = &model->pool[model->heap[b]];

	return left->at_us != right->at_us ? left->at_us < right->at_us
					   : left->order < right->order;
}

static void swap(model_t *model, uint32_t a, uint32_t b)
{
	uint32_t slot = model->heap[a];

	model->heap[a] = model->heap[b];
	model->heap[b] = slot;
}

static void schedule_event(model_t *model, const event_t *event,
			   int64_t delay_us)
{
	uint32_t slot;
	uint32_t i;

	if (model->free_count == 0)
		abort();
	slot = model->free_slots[--model->free_count];
	model->pool[slot] = *event;
	model->pool[slot].at_us = model->now_us + delay_us;
	model->pool[slot].order = model->order++;
	i = model->heap_count++;
	model->heap[i] = slot;
	for (; i > 0 && earlier(model, i, (i - 1) / 2); i = (i - 1) / 2)
		swap(model, i, (i - 1) / 2);
}

/* Removes the earliest event; its slot is freed after it was handled. */
static uint32_t take_earliest_event(model_t *model)
{
	uint32_t slot = model->heap[0];
	uint32_t i = 0;

	model->heap[0] = model->heap[--model->heap_count];
	for (;;) {
		uint32_t least = i;
		uint32_t child;

		for (child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < model->heap_count &&
			    earlier(model, child, least))
				least = child;
		}
		if (least == i)
			break;
		swap(model, i, least);
		i = least;
	}
	return slot;
}

static int64_t random_below(model_t *model, int64_t bound)
{
	return (int64_t)check_random_below(&model->random, (uint64_t)bound);
}

static bool is_blocked(const model_t *model, int32_t from, int32_t to)
{
	int32_t next = (from + 1) % (int32_t)model->plan.target_count;

	return model->blocked_out[from] > 0 || model->blocked_in[to] > 0 ||
	       (to == next && model->blocked_link[from] > 0);
}

/* Sends a message between two domains; a blocked one is lost. */
static void deliver(model_t *model, const event_t *event, int32_t from,
		    int32_t to)
{
	int64_t delay_us = LOCAL_DELAY_US;

	if (from != to) {
		if (is_blocked(model, from, to))
			return;
		delay_us = model->plan.link_us +
			   random_below(model, model->plan.link_us / 5);
		if (model->slow[from] > 0 || model->slow[to] > 0)
			delay_us += 100 * US_PER_MS +
				    random_below(model, 200 * US_PER_MS);
	}
	schedule_event(model, event, delay_us);
}

/* Sends the answer of a target to an observer. */
static void deliver_answer(model_t *model, const event_t *event)
{
	if (model->lost_answers > 0 && random_below(model, 2) == 0)
		return;
	if (model->late_answers > 0 && random_below(model, 2) == 0) {
		schedule_event(model, event,
			       random_below(model, 900 * US_PER_MS));
		return;
	}
	deliver(model, event, event->target, event->observer);
}

static uint32_t log_term(const target_t *target)
{
	return target->length == 0 ? 0 : target->log[target->length - 1].term;
}

static group_status_t status_of(const target_t *target)
{
	group_status_t status = {
		.role = target->role,
		.log_term = log_term(target),
		.promised_term = target->promised_term,
		.position_bytes = target->length,
		.applied_bytes = target->length,
		.leaving = target->leaving > 0,
	};
	group_point_t ends[GROUP_HISTORY_MAX];
	uint32_t count = 0;
	uint32_t position = target->length;

	status.primary[0] = (char)('a' + target->following);
	while (position > 0 && count < GROUP_HISTORY_MAX) {
		position = target->log[position - 1].begin;
		if (position > 0)
			ends[count++] =
				(group_point_t){ target->log[position - 1].term,
						 position };
	}
	status.history_count = count;
	while (count > 0) {
		status.history[status.history_count - count] = ends[count - 1];
		count--;
	}
	return status;
}

static bool contains(const group_status_t *status, uint32_t term,
		     uint32_t position)
{
	uint32_t i;

	if (status->log_term == term)
		return status->position_bytes >= position;
	for (i = 0; i < status->history_count; i++) {
		if (status->history[i].term == term)
			return status->history[i].position_bytes >= position;
	}
	return false;
}

/*
 * Returns the term in which a report of a target confirms a position of a term,
 * or 0 if the report does not confirm it. A target that has promised a term
 * above that of its log confirms nothing: it may have received the position
 * after a majority promised the later term, whose primary lacks the position.
 * For the same reason a quorum counts only confirmations in the same term. The
 * design page states this rule under "Writes".
 */
static uint32_t confirms(const model_t *model, const group_status_t *status,
			 uint32_t term, uint32_t position)
{
	if (!contains(status, term, position))
		return 0;
	if (model->plan.variant == VARIANT_ANY_PROMISE)
		return term;
	return status->promised_term == status->log_term ? status->log_term : 0;
}

static void append(target_t *target, uint32_t term, uint32_t write)
{
	entry_t *entry = &target->log[target->length];

	if (target->length == LOG_MAX)
		abort();
	entry->term = term;
	entry->write = write;
	entry->begin = log_term(target) == term && target->length > 0
			       ? target->log[target->length - 1].begin
			       : target->length;
	target->length++;
}

/* Sends the entries after the last common one of both logs to a replica. */
static void send_chunk(model_t *model, int32_t primary, int32_t replica)
{
	const target_t *source = &model->targets[primary];
	const target_t *copy = &model->targets[replica];
	event_t chunk = { .kind = EVENT_CHUNK,
			  .target = replica,
			  .peer = primary,
			  .term = log_term(source),
			  .seq = source->waiting_seq[replica] };
	uint32_t limit = copy->lagging > 0 ? 1 : model->plan.chunk_max;
	uint32_t start =
		copy->length < source->length ? copy->length : source->length;

	while (start > 0 &&
	       (source->log[start - 1].term != copy->log[start - 1].term ||
		source->log[start - 1].write != copy->log[start - 1].write))
		start--;
	if (start == source->length && start == copy->length)
		return;
	chunk.position = start;
	while (chunk.entry_count < limit &&
	       start + chunk.entry_count < source->length) {
		chunk.entries[chunk.entry_count] =
			source->log[start + chunk.entry_count];
		chunk.entry_count++;
	}
	model->targets[primary].waiting_seq[replica] = 0;
	deliver(model, &chunk, primary, replica);
}

static void serve_replicas(model_t *model, int32_t primary)
{
	uint32_t i;

	for (i = 0; i < model->plan.target_count; i++) {
		if (model->targets[primary].waiting_seq[i] != 0)
			send_chunk(model, primary, (int32_t)i);
	}
}

static bool is_primary_of_term(const target_t *target, uint32_t term)
{
	return target->role == GROUP_ROLE_PRIMARY && log_term(target) == term &&
	       target->promised_term == term;
}

static void pull(model_t *model, int32_t index)
{
	target_t *target = &model->targets[index];
	event_t event = { .kind = EVENT_PULL,
			  .target = target->following,
			  .peer = index,
			  .term = target->promised_term,
			  .seq = ++target->pull_seq };

	target->pulled_at_us = model->now_us;
	if (target->role == GROUP_ROLE_REPLICA && target->following >= 0)
		deliver(model, &event, index, target->following);
}

static void on_pull_timer(model_t *model, const event_t *event)
{
	const target_t *target = &model->targets[event->target];
	int64_t repeat_us = PULL_RETRY_LINK_DELAYS * model->plan.link_us;

	if (model->now_us - target->pulled_at_us >= repeat_us)
		pull(model, event->target);
	schedule_event(model, event, repeat_us);
}

static void on_pull(model_t *model, const event_t *event)
{
	target_t *target = &model->targets[event->target];

	if (!is_primary_of_term(target, event->term))
		return;
	/* A lagging replica gets one entry for about eight pulls. */
	if (model->targets[event->peer].lagging > 0 &&
	    random_below(model, 8) != 0)
		return;
	target->waiting_seq[event->peer] = event->seq;
	send_chunk(model, event->target, event->peer);
}

static void report_confirmation(model_t *model, int32_t index,
				const wait_t *wait)
{
	event_t confirmation = { .kind = EVENT_CONFIRMED,
				 .observer = wait->owner,
				 .target = index,
				 .write = wait->write };

	confirmation.answer.status = status_of(&model->targets[index]);
	deliver_answer(model, &confirmation);
}

static void answer_waits(model_t *model, int32_t index)
{
	target_t *target = &model->targets[index];
	group_status_t status = status_of(target);
	uint32_t i;

	for (i = 0; i < WAITS_MAX; i++) {
		wait_t *wait = &target->waits[i];

		if (!wait->used ||
		    confirms(model, &status, wait->term, wait->position) == 0)
			continue;
		report_confirmation(model, index, wait);
		wait->used = false;
	}
}

static void on_chunk(model_t *model, const event_t *event)
{
	target_t *target = &model->targets[event->target];
	uint32_t i;

	if (target->role != GROUP_ROLE_REPLICA ||
	    target->following != event->peer ||
	    target->promised_term != event->term ||
	    target->pull_seq != event->seq)
		return;
	target->length = event->position;
	for (i = 0; i < event->entry_count; i++)
		target->log[target->length++] = event->entries[i];
	answer_waits(model, event->target);
	pull(model, event->target);
}

/* Returns true for a call that the target answers with HT001. */
static bool refuses(const model_t *model, const target_t *target, uint32_t term,
		    uint64_t coordinator_id)
{
	return target->promised_term > term ||
	       (target->promised_term == term &&
		target->promised_by != coordinator_id &&
		model->plan.variant != VARIANT_SHARED_PROMISE);
}

static bool apply_fence(model_t *model, target_t *target, uint32_t term,
			uint64_t coordinator_id)
{
	if (refuses(model, target, term, coordinator_id))
		return false;
	if (model->plan.variant == VARIANT_NO_FENCE)
		return true;
	target->promised_term = term;
	target->promised_by = coordinator_id;
	return true;
}

static bool apply_promote(model_t *model, int32_t index, uint32_t term,
			  uint64_t coordinator_id)
{
	target_t *target = &model->targets[index];

	if (refuses(model, target, term, coordinator_id) ||
	    model->plan.variant == VARIANT_NO_PROMOTION)
		return false;
	target->promised_term = term;
	target->promised_by = coordinator_id;
	if (is_primary_of_term(target, term))
		return true;
	target->role = GROUP_ROLE_PRIMARY;
	target->following = index;
	memset(target->waiting_seq, 0, sizeof(target->waiting_seq));
	append(target, term, 0);
	if (term >= TERMS_MAX)
		abort();
	if (model->promoted[term] != 0 && model->promoted[term] != index + 1)
		model->result.second_promotions++;
	model->result.promotions += model->promoted[term] == 0;
	model->promoted[term] = index + 1;
	return true;
}

static bool apply_follow(model_t *model, int32_t index, uint32_t term,
			 int32_t primary)
{
	target_t *target = &model->targets[index];

	if (target->promised_term > term || is_primary_of_term(target, term))
		return false;
	if (target->role == GROUP_ROLE_REPLICA &&
	    target->following == primary && target->promised_term == term)
		return true;
	target->promised_term = term;
	target->role = GROUP_ROLE_REPLICA;
	target->following = primary;
	pull(model, index);
	return true;
}

static bool apply_call(model_t *model, const event_t *event)
{
	uint64_t coordinator_id = (uint64_t)event->observer + 1;
	target_t *target = &model->targets[event->target];

	switch (event->answer.call) {
	case FAILOVER_CALL_FENCE:
		return apply_fence(model, target, event->term, coordinator_id);
	case FAILOVER_CALL_PROMOTE:
		return apply_promote(model, event->target, event->term,
				     coordinator_id);
	case FAILOVER_CALL_FOLLOW:
		return apply_follow(model, event->target, event->term,
				    event->peer);
	default:
		return true;
	}
}

static failover_event_kind_t answer_kind(failover_call_t call)
{
	switch (call) {
	case FAILOVER_CALL_FENCE:
		return FAILOVER_EVENT_FENCED;
	case FAILOVER_CALL_PROMOTE:
		return FAILOVER_EVENT_PROMOTED;
	case FAILOVER_CALL_FOLLOW:
		return FAILOVER_EVENT_FOLLOWED;
	default:
		return FAILOVER_EVENT_STATUS;
	}
}

static void on_call(model_t *model, const event_t *event)
{
	target_t *target = &model->targets[event->target];
	event_t answer = *event;

	answer.kind = EVENT_ANSWER;
	if (target->dead > 0) {
		answer.answer.kind = FAILOVER_EVENT_FAILED;
		if (target->refuses)
			deliver(model, &answer, event->target, event->observer);
		return;
	}
	answer.answer.kind = apply_call(model, event)
				     ? answer_kind(event->answer.call)
				     : FAILOVER_EVENT_REFUSED;
	answer.answer.status = status_of(target);
	if (answer.answer.kind == FAILOVER_EVENT_FENCED) {
		/* With VARIANT_NO_FENCE the promise was not recorded. */
		answer.answer.status.promised_term = event->term;
		if (model->plan.variant == VARIANT_NO_TERM)
			answer.answer.status.log_term = 1;
	}
	deliver_answer(model, &answer);
}

static clock_ms_t clock_of(const model_t *model, const observer_t *observer)
{
	return observer->offset_ms +
	       model->now_us * observer->rate_percent / 100 / US_PER_MS;
}

/* For VARIANT_MINORITY: answers a call, whether or not it reaches the target.
 */
static void forge_answer(model_t *model, const event_t *call,
			 clock_ms_t timeout_ms)
{
	event_t forged = *call;

	if (call->answer.call != FAILOVER_CALL_STATUS &&
	    call->answer.call != FAILOVER_CALL_FENCE)
		return;
	forged.kind = EVENT_ANSWER;
	forged.answer.kind = answer_kind(call->answer.call);
	if (call->answer.call == FAILOVER_CALL_FENCE)
		forged.answer.status.promised_term = call->term;
	schedule_event(model, &forged, timeout_ms * US_PER_MS / 2);
}

static void send_call(model_t *model, int32_t index,
		      const failover_action_t *action)
{
	observer_t *observer = &model->observers[index];
	event_t call = { .kind = EVENT_CALL,
			 .observer = index,
			 .target = action->u.call.target,
			 .peer = action->u.call.primary,
			 .term = action->u.call.term,
			 .sent_us = model->now_us };

	call.answer.target = action->u.call.target;
	call.answer.call = action->u.call.call;
	call.answer.call_id = action->u.call.id;
	call.answer.requested_at_ms = clock_of(model, observer);
	if (model->plan.variant == VARIANT_MINORITY &&
	    failover_view(observer->failover).primary != call.target)
		forge_answer(model, &call, action->u.call.timeout_ms);
	if (observer->connection_silent[call.target] &&
	    call.answer.call != FAILOVER_CALL_PROBE) {
		/* The connection is replaced after the call timed out. */
		call.kind = EVENT_ANSWER;
		call.answer.kind = FAILOVER_EVENT_FAILED;
		schedule_event(model, &call,
			       action->u.call.timeout_ms * US_PER_MS);
		return;
	}
	deliver(model, &call, index, call.target);
}

static void step_observer(model_t *model, int32_t index,
			  const failover_event_t *event)
{
	observer_t *observer = &model->observers[index];
	failover_action_t actions[FAILOVER_ACTIONS_MAX];
	failover_view_t view;
	size_t count;
	size_t i;

	count = failover_step(observer->failover, event,
			      clock_of(model, observer),
			      check_random_next(&model->random), actions);
	for (i = 0; i < count; i++) {
		if (actions[i].kind == FAILOVER_ACTION_CALL)
			send_call(model, index, &actions[i]);
	}
	view = failover_view(observer->failover);
	if (view.primary != GROUP_INDEX_NONE && view.term != observer->term) {
		observer->term = view.term;
		observer->term_since_us = model->now_us;
	}
}

static void on_tick(model_t *model, const event_t *event)
{
	failover_event_t tick = { .kind = FAILOVER_EVENT_TICK };

	step_observer(model, event->observer, &tick);
	schedule_event(model, event, TICK_US);
}

static void on_answer(model_t *model, const event_t *event)
{
	observer_t *observer = &model->observers[event->observer];

	if (event->answer.kind == FAILOVER_EVENT_FAILED)
		observer->connection_silent[event->target] = false;
	else if (event->sent_us > observer->heard_at_us[event->target])
		observer->heard_at_us[event->target] = event->sent_us;
	step_observer(model, event->observer, &event->answer);
}

static void on_write(model_t *model, const event_t *event)
{
	event_t entry = { .kind = EVENT_RECEIVED };

	schedule_event(model, event, WRITE_INTERVAL_US);
	if (model->write_count + 1 >= WRITES_MAX)
		abort();
	entry.write = ++model->write_count;
	entry.observer = (int32_t)random_below(model, OBSERVERS);
	model->writes[entry.write].started_us = model->now_us;
	deliver(model, &entry, CALLER_DOMAIN, entry.observer);
}

static void on_received(model_t *model, const event_t *event)
{
	failover_view_t view =
		failover_view(model->observers[event->observer].failover);
	event_t forward = *event;

	if (view.primary == GROUP_INDEX_NONE)
		return;
	forward.kind = EVENT_FORWARDED;
	forward.target = view.primary;
	forward.term = view.term;
	forward.observer = view.primary % OBSERVERS;
	deliver(model, &forward, event->observer, forward.observer);
}

/* Returns true while the grant of the previous primary may still hold. */
static bool must_wait_for_grant(const model_t *model,
				const observer_t *observer, uint32_t term)
{
	return model->plan.rule == RULE_GRANT && term > 1 &&
	       (observer->term < term ||
		model->now_us - observer->term_since_us < GRANT_MS * US_PER_MS);
}

static bool grant_holds(const model_t *model, const observer_t *observer)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < model->plan.target_count; i++)
		count += model->now_us - observer->heard_at_us[i] <
			 GRANT_MS * US_PER_MS;
	return count >= group_majority(model->plan.target_count);
}

static void on_forwarded(model_t *model, const event_t *event)
{
	event_t commit = *event;

	if (must_wait_for_grant(model, &model->observers[event->observer],
				event->term))
		return;
	commit.kind = EVENT_COMMIT;
	deliver(model, &commit, event->observer, event->target);
}

static void on_commit(model_t *model, const event_t *event)
{
	target_t *target = &model->targets[event->target];
	write_t *write = &model->writes[event->write];
	event_t committed = *event;

	if (target->dead > 0 || !is_primary_of_term(target, event->term))
		return;
	append(target, event->term, event->write);
	write->committed_us = model->now_us;
	write->term = event->term;
	write->position = target->length;
	serve_replicas(model, event->target);
	committed.kind = EVENT_COMMITTED;
	committed.position = target->length;
	deliver_answer(model, &committed);
}

/* Records the time since the last acknowledgement. The longest such gap that
 * ends after the first fault began is the result; if a primary is lost, it
 * reaches from the last acknowledgement of that primary to the first of its
 * successor. */
static void record_ack_gap(model_t *model)
{
	int64_t silence_us = model->now_us - model->acked_at_us;

	if (model->now_us >= model->plan.faults[0].begin_us &&
	    silence_us > model->result.gap_us)
		model->result.gap_us = silence_us;
	model->acked_at_us = model->now_us;
}

static void acknowledge(model_t *model, uint32_t index)
{
	write_t *write = &model->writes[index];
	uint32_t term;

	if (write->acked)
		return;
	write->acked = true;
	record_ack_gap(model);
	model->result.acked++;
	model->result.latency_sum_us += model->now_us - write->started_us;
	if (model->first_ack_us[write->term] == 0)
		model->first_ack_us[write->term] = model->now_us;
	for (term = write->term + 1; term < TERMS_MAX; term++) {
		if (model->first_ack_us[term] != 0 &&
		    model->first_ack_us[term] < write->committed_us)
			model->result.acks_after_replacement++;
	}
}

static uint32_t confirmations_needed(const plan_t *plan)
{
	if (plan->variant == VARIANT_COMMIT_ONLY)
		return 1;
	return plan->rule == RULE_MAJORITY ? group_majority(plan->target_count)
					   : 2;
}

static void on_committed(model_t *model, const event_t *event)
{
	event_t wait = *event;
	uint32_t i;

	if (model->plan.rule == RULE_GRANT) {
		if (grant_holds(model, &model->observers[event->observer]))
			acknowledge(model, event->write);
		return;
	}
	model->writes[event->write].confirmed_by = 1U << event->target;
	model->writes[event->write].confirmed_term = event->term;
	if (confirmations_needed(&model->plan) == 1)
		acknowledge(model, event->write);
	wait.kind = EVENT_WAIT;
	for (i = 0; i < model->plan.target_count; i++) {
		wait.target = (int32_t)i;
		if (wait.target != event->target)
			deliver(model, &wait, event->observer, wait.target);
	}
}

static void on_wait(model_t *model, const event_t *event)
{
	target_t *target = &model->targets[event->target];
	wait_t *wait = &target->waits[event->write % WAITS_MAX];

	*wait = (wait_t){ event->write, event->term, event->position,
			  event->observer, true };
	answer_waits(model, event->target);
}

static void on_confirmed(model_t *model, const event_t *event)
{
	write_t *write = &model->writes[event->write];
	uint32_t term = confirms(model, &event->answer.status, write->term,
				 write->position);

	if (term == 0 || term < write->confirmed_term)
		return;
	if (term > write->confirmed_term)
		write->confirmed_by = 0;
	write->confirmed_term = term;
	write->confirmed_by |= 1U << event->target;
	if ((uint32_t)__builtin_popcount(write->confirmed_by) >=
	    confirmations_needed(&model->plan))
		acknowledge(model, event->write);
}

/* Returns the target that was promoted last. */
static int32_t acting_primary(const model_t *model)
{
	uint32_t term;

	for (term = TERMS_MAX - 1; term > 0; term--) {
		if (model->promoted[term] != 0)
			return model->promoted[term] - 1;
	}
	return 0;
}

static void announce_leaving(model_t *model, int32_t subject)
{
	failover_event_t leaving = { .kind = FAILOVER_EVENT_LEAVING,
				     .target = subject };
	int32_t i;

	for (i = 0; i < OBSERVERS; i++) {
		if (random_below(model, 2) == 0 &&
		    model->observers[i].paused_until_us <= model->now_us)
			step_observer(model, i, &leaving);
	}
}

/* Ends the connections of a target that was killed. */
static void drop_connections(target_t *target)
{
	memset(target->waits, 0, sizeof(target->waits));
	memset(target->waiting_seq, 0, sizeof(target->waiting_seq));
}

static void on_fault(model_t *model, const event_t *event)
{
	fault_t *fault = &model->plan.faults[event->peer];
	bool begins = event->kind == EVENT_FAULT_BEGIN;
	uint32_t change = begins ? 1 : UINT32_MAX;
	target_t *target;
	uint32_t i;

	if (fault->subject == SUBJECT_PRIMARY)
		fault->subject = acting_primary(model);
	target = &model->targets[fault->subject];
	switch (fault->kind) {
	case FAULT_KILL:
		target->dead += change;
		target->refuses = fault->refuses;
		drop_connections(target);
		break;
	case FAULT_PAUSE_TARGET:
		if (begins)
			target->paused_until_us = fault->end_us;
		break;
	case FAULT_PAUSE_OBSERVER:
		if (begins)
			model->observers[fault->subject % OBSERVERS]
				.paused_until_us = fault->end_us;
		break;
	case FAULT_CUT_BOTH:
		model->blocked_in[fault->subject] += change;
		model->blocked_out[fault->subject] += change;
		break;
	case FAULT_CUT_IN:
		model->blocked_in[fault->subject] += change;
		break;
	case FAULT_CUT_OUT:
		model->blocked_out[fault->subject] += change;
		break;
	case FAULT_CUT_LINK:
		model->blocked_link[fault->subject] += change;
		break;
	case FAULT_SLOW:
		model->slow[fault->subject] += change;
		break;
	case FAULT_SILENT:
		for (i = 0; begins && i < OBSERVERS; i++)
			model->observers[i].connection_silent[fault->subject] =
				true;
		break;
	case FAULT_LOST:
		model->lost_answers += change;
		break;
	case FAULT_LATE:
		model->late_answers += change;
		break;
	case FAULT_LAGGING:
		target->lagging += change;
		break;
	case FAULT_LEAVING:
		target->leaving += change;
		if (begins)
			announce_leaving(model, fault->subject);
		break;
	default:
		break;
	}
}

static bool happens_at_observer(event_kind_t kind)
{
	return kind == EVENT_TICK || kind == EVENT_ANSWER ||
	       kind == EVENT_RECEIVED || kind == EVENT_FORWARDED ||
	       kind == EVENT_COMMITTED || kind == EVENT_CONFIRMED;
}

static bool happens_at_target(event_kind_t kind)
{
	return kind == EVENT_CALL || kind == EVENT_COMMIT ||
	       kind == EVENT_WAIT || kind == EVENT_PULL_TIMER ||
	       kind == EVENT_PULL || kind == EVENT_CHUNK;
}

/* Postpones an event until its receiver is no longer paused. */
static bool postpone_while_paused(model_t *model, const event_t *event)
{
	int64_t until_us = 0;

	if (happens_at_observer(event->kind))
		until_us = model->observers[event->observer].paused_until_us;
	else if (happens_at_target(event->kind))
		until_us = model->targets[event->target].paused_until_us;
	if (until_us <= model->now_us)
		return false;
	schedule_event(model, event, until_us - model->now_us);
	return true;
}

static void dispatch(model_t *model, const event_t *event)
{
	static void (*const handlers[])(model_t *, const event_t *) = {
		[EVENT_TICK] = on_tick,
		[EVENT_CALL] = on_call,
		[EVENT_ANSWER] = on_answer,
		[EVENT_WRITE] = on_write,
		[EVENT_RECEIVED] = on_received,
		[EVENT_FORWARDED] = on_forwarded,
		[EVENT_COMMIT] = on_commit,
		[EVENT_COMMITTED] = on_committed,
		[EVENT_WAIT] = on_wait,
		[EVENT_CONFIRMED] = on_confirmed,
		[EVENT_PULL_TIMER] = on_pull_timer,
		[EVENT_PULL] = on_pull,
		[EVENT_CHUNK] = on_chunk,
		[EVENT_FAULT_BEGIN] = on_fault,
		[EVENT_FAULT_END] = on_fault,
	};
	bool replication = event->kind == EVENT_PULL ||
			   event->kind == EVENT_CHUNK ||
			   event->kind == EVENT_WAIT;

	if (postpone_while_paused(model, event))
		return;
	if (replication && model->targets[event->target].dead > 0)
		return;
	handlers[event->kind](model, event);
}

static bool has_fault(const plan_t *plan, fault_kind_t kind)
{
	uint32_t i;

	for (i = 0; i < plan->fault_count; i++) {
		if (plan->faults[i].kind == kind)
			return true;
	}
	return false;
}

static void start_observers(model_t *model)
{
	bool drift = has_fault(&model->plan, FAULT_DRIFT);
	/* Any of the observers can have the first rank. */
	uint64_t coordinator_id = 1 + (uint64_t)random_below(model, OBSERVERS);
	int32_t i;

	for (i = 0; i < OBSERVERS; i++) {
		observer_t *observer = &model->observers[i];
		event_t tick = { .kind = EVENT_TICK, .observer = i };
		failover_options_t options = model->plan.options;

		options.target_count = model->plan.target_count;
		options.coordinator = coordinator_id + (uint64_t)i;
		observer->offset_ms = random_below(model, 1000000);
		observer->rate_percent =
			drift ? 90 + (uint32_t)random_below(model, 21) : 100;
		observer->failover =
			failover_new(&options, clock_of(model, observer));
		if (!observer->failover)
			abort();
		schedule_event(model, &tick, random_below(model, TICK_US));
	}
}

static void start_targets(model_t *model)
{
	uint32_t i;

	for (i = 0; i < model->plan.target_count; i++) {
		target_t *target = &model->targets[i];
		event_t timer = { .kind = EVENT_PULL_TIMER,
				  .target = (int32_t)i };

		target->promised_term = 1;
		append(target, 1, 0);
		schedule_event(model, &timer,
			       random_below(model, model->plan.link_us));
	}
	if (model->plan.without_primary)
		return;
	model->targets[0].role = GROUP_ROLE_PRIMARY;
	model->promoted[1] = 1;
}

static void start(model_t *model, const plan_t *plan, uint64_t seed)
{
	event_t write = { .kind = EVENT_WRITE };
	uint32_t i;

	memset(model, 0, sizeof(*model));
	model->plan = *plan;
	model->random = check_random(seed);
	for (i = 0; i < EVENTS_MAX; i++)
		model->free_slots[model->free_count++] = i;
	start_targets(model);
	start_observers(model);
	schedule_event(model, &write, 0);
	for (i = 0; i < plan->fault_count; i++) {
		event_t fault = { .kind = EVENT_FAULT_BEGIN,
				  .peer = (int32_t)i };

		schedule_event(model, &fault, plan->faults[i].begin_us);
		fault.kind = EVENT_FAULT_END;
		schedule_event(model, &fault, plan->faults[i].end_us);
	}
}

/* Returns the legitimate primary, as the design page defines it: the target
 * that was promoted in the highest term for which a majority has promised that
 * term or a later one. NULL if there is none. */
static const target_t *legitimate_primary(const model_t *model)
{
	uint32_t term;

	for (term = TERMS_MAX - 1; term > 0; term--) {
		uint32_t promises = 0;
		uint32_t i;

		for (i = 0; i < model->plan.target_count; i++)
			promises += model->targets[i].promised_term >= term;
		if (model->promoted[term] != 0 &&
		    promises >= group_majority(model->plan.target_count))
			return &model->targets[model->promoted[term] - 1];
	}
	return NULL;
}

static void check_writes(model_t *model, int64_t faults_end_us)
{
	const target_t *primary = legitimate_primary(model);
	uint32_t i;

	for (i = 1; i <= model->write_count; i++) {
		const write_t *write = &model->writes[i];

		if (!write->acked)
			continue;
		if (write->started_us > faults_end_us)
			model->result.live = true;
		if (!primary || primary->length < write->position ||
		    primary->log[write->position - 1].write != i)
			model->result.lost++;
	}
}

/* Stores the view of an observer that promoted a target. */
static void find_promoter(model_t *model)
{
	uint32_t i;

	for (i = 0; i < OBSERVERS; i++) {
		failover_view_t view =
			failover_view(model->observers[i].failover);

		if (view.promotions > 0)
			model->result.promoter = view;
	}
}

static result_t run_plan(const plan_t *plan, uint64_t seed)
{
	model_t *model = malloc(sizeof(*model));
	int64_t faults_end_us = 0;
	result_t result;
	uint32_t i;

	if (!model)
		abort();
	start(model, plan, seed);
	for (i = 0; i < plan->fault_count; i++) {
		if (plan->faults[i].end_us > faults_end_us)
			faults_end_us = plan->faults[i].end_us;
	}
	while (model->now_us < plan->end_us) {
		uint32_t slot = take_earliest_event(model);

		model->now_us = model->pool[slot].at_us;
		dispatch(model, &model->pool[slot]);
		model->free_slots[model->free_count++] = slot;
	}
	check_writes(model, faults_end_us);
	record_ack_gap(model);
	find_promoter(model);
	result = model->result;
	for (i = 0; i < OBSERVERS; i++)
		failover_free(model->observers[i].failover);
	free(model);
	return result;
}

/* Settings and link delay for the present size of the system; full_size_plan()
 * has those for its size in two years. */
static plan_t present_size_plan(void)
{
	return (plan_t){
		.target_count = 3,
		.options = { .status_interval_ms = 100,
			     .detect_ms = 600,
			     .probe_ms = 200,
			     .step_timeout_ms = 300,
			     .stagger_ms = 100,
			     .jitter_ms = 50 },
		.link_us = 1500,
		.rule = RULE_MAJORITY,
		.chunk_max = CHUNK_ENTRIES_MAX,
		.end_us = 6000 * US_PER_MS,
	};
}

static plan_t full_size_plan(void)
{
	plan_t plan = present_size_plan();

	plan.options = (failover_options_t){ .status_interval_ms = 1000,
					     .detect_ms = 3000,
					     .probe_ms = 500,
					     .step_timeout_ms = 1000,
					     .stagger_ms = 500,
					     .jitter_ms = 250 };
	plan.link_us = 40 * US_PER_MS;
	plan.end_us = 12000 * US_PER_MS;
	return plan;
}

static fault_t random_fault(fault_kind_t kind, check_random_t *random,
			    uint32_t target_count)
{
	fault_t fault = {
		.kind = kind,
		.begin_us =
			1500 * US_PER_MS +
			(int64_t)check_random_below(random, 1500) * US_PER_MS,
		.subject = SUBJECT_PRIMARY,
		.refuses = check_random_below(random, 2) == 0,
	};

	fault.end_us = fault.begin_us + 200 * US_PER_MS +
		       (int64_t)check_random_below(random, 3000) * US_PER_MS;
	if (check_random_below(random, 2) == 0)
		fault.subject =
			(int32_t)check_random_below(random, target_count);
	return fault;
}

/* By seed, a fault of each kind alone, with one of a random kind, and with a
 * second one of the same kind. */
static plan_t random_plan(uint64_t seed)
{
	check_random_t random = check_random(seed ^ 0x5eed);
	plan_t plan = present_size_plan();
	fault_kind_t first = (fault_kind_t)(seed % FAULT_COUNT);
	fault_kind_t second = first;

	plan.target_count = seed % 4 == 3 ? 5 : 3;
	plan.without_primary = seed % 31 == 30;
	plan.faults[0] = random_fault(first, &random, plan.target_count);
	plan.fault_count = seed / FAULT_COUNT % 3 == 0 ? 1 : 2;
	if (seed / FAULT_COUNT % 3 == 1)
		second = (fault_kind_t)check_random_below(&random, FAULT_COUNT);
	plan.faults[1] = random_fault(second, &random, plan.target_count);
	plan.end_us = 15000 * US_PER_MS;
	return plan;
}

/* Guards against lost acknowledged writes, two primaries in a term, writes that
 * a replaced primary committed and that were still acknowledged, and a group
 * that does not recover from faults. */
static void test_seeds(void)
{
	uint64_t seeds = check_seeds(400);
	uint64_t acked = 0;
	uint64_t seed;

	for (seed = 0; seed < seeds; seed++) {
		plan_t plan = random_plan(seed);
		result_t result = run_plan(&plan, seed);

		CHECK_SEED(result.lost == 0, seed);
		CHECK_SEED(result.second_promotions == 0, seed);
		CHECK_SEED(result.acks_after_replacement == 0, seed);
		CHECK_SEED(result.live, seed);
		acked += result.acked;
	}
	printf("%llu seeds, %llu acknowledged writes ",
	       (unsigned long long)seeds, (unsigned long long)acked);
}

/* The answers of the primary are lost, so that its log grows without
 * confirmations. Its successor is killed when the old primary is reachable
 * again.
 */
static plan_t diverging_plan(uint64_t seed)
{
	check_random_t random = check_random(seed);
	plan_t plan = present_size_plan();
	int64_t heal_us = 2800 * US_PER_MS +
			  (int64_t)check_random_below(&random, 400) * US_PER_MS;

	plan.fault_count = 2;
	plan.faults[0] = (fault_t){ .kind = FAULT_CUT_OUT,
				    .begin_us = 1500 * US_PER_MS,
				    .end_us = heal_us,
				    .subject = 0 };
	plan.faults[1] = (fault_t){ .kind = FAULT_KILL,
				    .begin_us = heal_us - 5 * US_PER_MS,
				    .end_us = 6000 * US_PER_MS,
				    .subject = SUBJECT_PRIMARY };
	plan.end_us = 15000 * US_PER_MS;
	return plan;
}

/* One replica lags and the other receives nothing from the primary, so that
 * replicas receive writes late and from a primary of a later term, which is
 * then killed. */
static plan_t late_copy_plan(uint64_t seed)
{
	check_random_t random = check_random(seed);
	plan_t plan = present_size_plan();

	plan.chunk_max = 1;
	plan.faults[0] = random_fault(FAULT_CUT_LINK, &random, 3);
	plan.faults[0].subject = 0;
	plan.faults[0].end_us = 6000 * US_PER_MS;
	plan.faults[1] = random_fault(FAULT_LAGGING, &random, 3);
	plan.faults[1].subject = 2;
	plan.fault_count = 3;
	plan.faults[2] = random_fault(FAULT_KILL, &random, 3);
	plan.faults[2].subject = 0;
	plan.faults[2].begin_us =
		plan.faults[0].begin_us + 1100 * US_PER_MS +
		(int64_t)check_random_below(&random, 900) * US_PER_MS;
	plan.faults[2].end_us = 6000 * US_PER_MS;
	plan.faults[1].begin_us = 1300 * US_PER_MS;
	plan.faults[1].end_us =
		plan.faults[0].begin_us + 900 * US_PER_MS +
		(int64_t)check_random_below(&random, 1000) * US_PER_MS;
	plan.end_us = 15000 * US_PER_MS;
	return plan;
}

/* Three of five targets lag when the primary and the replica that does not lag
 * are killed. */
static plan_t lagging_plan(uint64_t seed)
{
	check_random_t random = check_random(seed);
	plan_t plan = present_size_plan();
	int32_t i;

	plan.target_count = 5;
	plan.fault_count = 5;
	for (i = 0; i < 5; i++) {
		plan.faults[i] = random_fault(
			i < 2 ? FAULT_KILL : FAULT_LAGGING, &random, 5);
		plan.faults[i].subject = i;
		plan.faults[i].begin_us = (i < 2 ? 2500 : 1500) * US_PER_MS;
		plan.faults[i].end_us = 4000 * US_PER_MS;
	}
	plan.end_us = 12000 * US_PER_MS;
	return plan;
}

/* All observers start their rounds at the same time. */
static plan_t colliding_plan(uint64_t seed)
{
	check_random_t random = check_random(seed);
	plan_t plan = present_size_plan();

	plan.target_count = 5;
	plan.options.stagger_ms = 0;
	plan.options.jitter_ms = 0;
	plan.fault_count = 1;
	plan.faults[0] = random_fault(FAULT_KILL, &random, 5);
	plan.faults[0].subject = 0;
	plan.faults[0].end_us = 5000 * US_PER_MS;
	plan.end_us = 15000 * US_PER_MS;
	return plan;
}

typedef struct {
	const char *name;
	variant_t variant;
	plan_t (*plan)(uint64_t seed);
} variant_row_t;

/* Numbers of seeds on which each check failed, and of lost writes; dead counts
 * the seeds on which the group did not recover. */
typedef struct {
	uint32_t lost;
	uint32_t lost_writes;
	uint32_t second_promotion;
	uint32_t late_ack;
	uint32_t dead;
} failure_counts_t;

static failure_counts_t run_seeds(plan_t (*plan_of)(uint64_t),
				  variant_t variant, rule_t rule,
				  uint64_t seeds)
{
	failure_counts_t counts = { 0 };
	uint64_t seed;

	for (seed = 0; seed < seeds; seed++) {
		plan_t plan = plan_of(seed);
		result_t result;

		plan.variant = variant;
		plan.rule = rule;
		result = run_plan(&plan, seed);
		counts.lost += result.lost > 0;
		counts.lost_writes += result.lost;
		counts.second_promotion += result.second_promotions > 0;
		counts.late_ack += result.acks_after_replacement > 0;
		counts.dead += !result.live;
	}
	return counts;
}

/* Guards against checks that cannot fail: a check must notice each mechanism
 * that is switched off. test_directed_plans() shows that the same plans pass
 * with all mechanisms. */
static void test_variants(void)
{
	static const variant_row_t rows[] = {
		{ "commit only", VARIANT_COMMIT_ONLY, random_plan },
		{ "any promise", VARIANT_ANY_PROMISE, late_copy_plan },
		{ "no fence", VARIANT_NO_FENCE, random_plan },
		{ "minority", VARIANT_MINORITY, random_plan },
		{ "no term", VARIANT_NO_TERM, diverging_plan },
		{ "shared promise", VARIANT_SHARED_PROMISE, colliding_plan },
		{ "no promotion", VARIANT_NO_PROMOTION, colliding_plan },
	};
	failure_counts_t all = { 0 };
	size_t i;

	printf("\n    of %u seeds  lost  second promotion  late ack  dead\n",
	       VARIANT_SEEDS);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		failure_counts_t counts =
			run_seeds(rows[i].plan, rows[i].variant, RULE_MAJORITY,
				  VARIANT_SEEDS);

		CHECK_ROW(counts.lost + counts.second_promotion +
					  counts.late_ack + counts.dead >
				  0,
			  rows[i].name);
		printf("    %-14s %5u %17u %9u %5u\n", rows[i].name,
		       counts.lost, counts.second_promotion, counts.late_ack,
		       counts.dead);
		all.lost += counts.lost;
		all.second_promotion += counts.second_promotion;
		all.late_ack += counts.late_ack;
		all.dead += counts.dead;
	}
	CU_ASSERT(all.lost > 0);
	CU_ASSERT(all.second_promotion > 0);
	CU_ASSERT(all.late_ack > 0);
	CU_ASSERT(all.dead > 0);
}

/* Guards against failures that random plans cause too rarely to be found. */
static void test_directed_plans(void)
{
	plan_t (*const plans[])(uint64_t) = { diverging_plan, late_copy_plan,
					      lagging_plan, colliding_plan };
	size_t i;

	for (i = 0; i < sizeof(plans) / sizeof(plans[0]); i++) {
		failure_counts_t counts = run_seeds(
			plans[i], VARIANT_NONE, RULE_MAJORITY, VARIANT_SEEDS);

		CU_ASSERT_EQUAL(counts.lost, 0);
		CU_ASSERT_EQUAL(counts.second_promotion, 0);
		CU_ASSERT_EQUAL(counts.late_ack, 0);
		CU_ASSERT_EQUAL(counts.dead, 0);
	}
}

/* Guards against two observers that replace each other's primary in turn,
 * because neither can reach the primary of the other. */
static void test_cut_link(void)
{
	uint32_t most = 0;
	uint64_t seed;

	for (seed = 0; seed < 60; seed++) {
		plan_t plan = present_size_plan();
		result_t result;

		plan.fault_count = 1 + seed % 2;
		plan.faults[0] = (fault_t){ .kind = FAULT_CUT_LINK,
					    .begin_us = 1500 * US_PER_MS,
					    .end_us = 21500 * US_PER_MS,
					    .subject = (int32_t)(seed % 3) };
		plan.faults[1] = plan.faults[0];
		plan.faults[1].subject = (int32_t)((seed / 2) % 3);
		plan.end_us = 25000 * US_PER_MS;
		result = run_plan(&plan, seed);
		CHECK_SEED(result.promotions <= CUT_LINK_PROMOTIONS_MAX, seed);
		CHECK_SEED(result.lost == 0, seed);
		CHECK_SEED(result.live, seed);
		if (result.promotions > most)
			most = result.promotions;
	}
	printf("at most %u promotions in 20 s ", most);
}

/* Guards against the same when the third target lags too far to be chosen. An
 * observer then replaces a primary that replicates only after 10 detect_ms
 * in one phase. */
static void test_cut_link_behind(void)
{
	uint32_t reset_periods = 40000 / (10 * 600);
	uint32_t most = 0;
	uint64_t seed;

	for (seed = 0; seed < 20; seed++) {
		plan_t plan = late_copy_plan(seed);
		result_t result;

		plan.fault_count = 2;
		plan.end_us = 40000 * US_PER_MS;
		plan.faults[0].end_us = plan.end_us + US_PER_MS;
		plan.faults[1].end_us = plan.end_us + US_PER_MS;
		result = run_plan(&plan, seed);
		CHECK_SEED(result.promotions <= 2 * (2 + reset_periods), seed);
		CHECK_SEED(result.lost == 0, seed);
		if (result.promotions > most)
			most = result.promotions;
	}
	printf("at most %u promotions in 40 s ", most);
}

typedef struct {
	int64_t gap_us[RUNS_PER_LOSS];
	int64_t detect_ms[RUNS_PER_LOSS];
	int64_t fence_ms[RUNS_PER_LOSS];
	int64_t promote_ms[RUNS_PER_LOSS];
	uint32_t lost;
	uint32_t acked;
	int64_t latency_sum_us;
} gaps_t;

static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static void sort_gaps(gaps_t *gaps)
{
	qsort(gaps->gap_us, RUNS_PER_LOSS, sizeof(int64_t), compare_times);
	qsort(gaps->detect_ms, RUNS_PER_LOSS, sizeof(int64_t), compare_times);
	qsort(gaps->fence_ms, RUNS_PER_LOSS, sizeof(int64_t), compare_times);
	qsort(gaps->promote_ms, RUNS_PER_LOSS, sizeof(int64_t), compare_times);
}

/* Loses the primary to one fault, which lasts to the end of the run, in
 * RUNS_PER_LOSS runs. */
static gaps_t run_gaps(const plan_t *base, fault_kind_t kind, bool refuses)
{
	gaps_t gaps = { 0 };
	uint32_t run;

	for (run = 0; run < RUNS_PER_LOSS; run++) {
		check_random_t random = check_random(run);
		plan_t plan = *base;
		result_t result;

		plan.fault_count = 1;
		plan.faults[0] = random_fault(kind, &random, 3);
		plan.faults[0].subject = SUBJECT_PRIMARY;
		plan.faults[0].refuses = refuses;
		plan.faults[0].end_us = plan.end_us - US_PER_MS;
		result = run_plan(&plan, run);
		CHECK_SEED(result.gap_us > 0, run);
		gaps.gap_us[run] = result.gap_us;
		gaps.detect_ms[run] = result.promoter.detect_spent_ms;
		gaps.fence_ms[run] = result.promoter.fence_spent_ms;
		gaps.promote_ms[run] = result.promoter.promote_spent_ms;
		gaps.lost += result.lost;
		gaps.acked += result.acked;
		gaps.latency_sum_us += result.latency_sum_us;
	}
	sort_gaps(&gaps);
	return gaps;
}

typedef struct {
	const char *name;
	fault_kind_t kind;
	bool refuses;
} loss_row_t;

static const loss_row_t losses[] = {
	{ "kill, silent", FAULT_KILL, false },
	{ "kill, refused", FAULT_KILL, true },
	{ "cut with owner", FAULT_CUT_BOTH, false },
	{ "answers cut", FAULT_CUT_OUT, false },
	{ "paused", FAULT_PAUSE_TARGET, false },
	{ "leaving", FAULT_LEAVING, false },
};

static void print_gaps(const char *name, const gaps_t *gaps)
{
	printf("    %-14s", name);
	printf(" %5lld %5lld",
	       (long long)gaps->gap_us[RUNS_PER_LOSS / 2] / US_PER_MS,
	       (long long)gaps->gap_us[RUNS_PER_LOSS - 1] / US_PER_MS);
	printf(" | %5lld %5lld", (long long)gaps->detect_ms[RUNS_PER_LOSS / 2],
	       (long long)gaps->detect_ms[RUNS_PER_LOSS - 1]);
	printf(" | %4lld %4lld", (long long)gaps->fence_ms[RUNS_PER_LOSS / 2],
	       (long long)gaps->fence_ms[RUNS_PER_LOSS - 1]);
	printf(" | %4lld %4lld\n",
	       (long long)gaps->promote_ms[RUNS_PER_LOSS / 2],
	       (long long)gaps->promote_ms[RUNS_PER_LOSS - 1]);
}

/* Guards against a failover that leaves the group without acknowledged writes
 * for gap_max_ms or longer, the target value of R12. */
static void check_gaps(const char *scale, const plan_t *plan,
		       int64_t gap_max_ms)
{
	size_t i;

	printf("\n    %s, %d runs each; p50 and max in ms\n", scale,
	       RUNS_PER_LOSS);
	printf("    %-14s %11s | %11s | %9s | %9s\n", "loss", "gap", "detect",
	       "fence", "promote");
	for (i = 0; i < sizeof(losses) / sizeof(losses[0]); i++) {
		gaps_t gaps = run_gaps(plan, losses[i].kind, losses[i].refuses);

		CHECK_ROW(gaps.gap_us[RUNS_PER_LOSS - 1] <
				  gap_max_ms * US_PER_MS,
			  losses[i].name);
		CHECK_ROW(gaps.lost == 0, losses[i].name);
		print_gaps(losses[i].name, &gaps);
	}
}

/* Guards against a failover that takes longer than R12 allows, after each kind
 * of loss of a primary: 2 s at the present size and 7 s at full size. */
static void test_gap(void)
{
	plan_t today = present_size_plan();
	plan_t full_size = full_size_plan();

	check_gaps("present size", &today, 2000);
	check_gaps("full size", &full_size, 7000);
}

typedef struct {
	const char *name;
	rule_t rule;
} rule_row_t;

static const rule_row_t rules[] = {
	{ "grant of 1 s", RULE_GRANT },
	{ "one more", RULE_PLUS_ONE },
	{ "majority", RULE_MAJORITY },
};

/* Compares the rules when a primary is lost. Only RULE_MAJORITY, which the
 * proxy uses, must lose no acknowledged write. */
static void compare_gaps(uint32_t target_count)
{
	size_t i;

	for (i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		plan_t plan = present_size_plan();
		gaps_t kills;
		gaps_t cuts;

		plan.target_count = target_count;
		plan.rule = rules[i].rule;
		kills = run_gaps(&plan, FAULT_KILL, false);
		cuts = run_gaps(&plan, FAULT_CUT_BOTH, false);
		if (plan.rule == RULE_MAJORITY)
			CHECK_ROW(kills.lost + cuts.lost == 0, rules[i].name);
		printf("    %7u %-13s %4u %6u %11.2f %9lld %5lld %8lld %5lld\n",
		       target_count, rules[i].name, kills.lost + cuts.lost,
		       kills.acked + cuts.acked,
		       (double)(kills.latency_sum_us + cuts.latency_sum_us) /
			       (kills.acked + cuts.acked) / US_PER_MS,
		       (long long)kills.gap_us[RUNS_PER_LOSS / 2] / US_PER_MS,
		       (long long)kills.gap_us[RUNS_PER_LOSS - 1] / US_PER_MS,
		       (long long)cuts.gap_us[RUNS_PER_LOSS / 2] / US_PER_MS,
		       (long long)cuts.gap_us[RUNS_PER_LOSS - 1] / US_PER_MS);
	}
}

/* Guards against acknowledged writes that are lost under RULE_MAJORITY, and
 * against fault plans that do not find the losses of the other rules for the
 * acknowledgement of writes, which run over the same seeds. */
static void test_rules(void)
{
	size_t i;

	printf("\n    %d silent kills and %d cuts each; times in ms\n",
	       RUNS_PER_LOSS, RUNS_PER_LOSS);
	printf("    targets rule          lost  acked     latency  kill p50   "
	       "max  cut p50   max\n");
	compare_gaps(3);
	compare_gaps(5);
	printf("    lost writes (seeds) of %u seeds: random plans, lagging "
	       "plans\n",
	       VARIANT_SEEDS);
	for (i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		failure_counts_t mixed =
			run_seeds(random_plan, VARIANT_NONE, rules[i].rule,
				  VARIANT_SEEDS);
		failure_counts_t lagging =
			run_seeds(lagging_plan, VARIANT_NONE, rules[i].rule,
				  VARIANT_SEEDS);

		printf("    %-13s %6u (%u) %6u (%u)\n", rules[i].name,
		       mixed.lost_writes, mixed.lost, lagging.lost_writes,
		       lagging.lost);
		CU_ASSERT((mixed.lost + lagging.lost == 0) ==
			  (rules[i].rule == RULE_MAJORITY));
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "seeds", test_seeds },
		{ "directed plans", test_directed_plans },
		{ "cut link", test_cut_link },
		{ "cut link, replica behind", test_cut_link_behind },
		{ "variants", test_variants },
		{ "gap", test_gap },
		{ "rules", test_rules },
	};

	return check_main("failover model", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
