#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libquota/quota.h"

static const quota_bounds_t bounds = { 5000, 0.1, 20, 3 };

/* Guards against lent operations that live for so long that those of two
 * windows run in one, and against a life without an end. */
static void test_life(void)
{
	static const struct {
		const char *name;
		quota_limit_t limit;
		clock_ms_t life_ms;
	} rows[] = {
		{ "small tenant", { 2, 3 }, 2000 },
		{ "large tenant", { 400, 0 }, 420 },
		{ "burst", { 400, 400 }, 500 },
		{ "no rate", { 0, 3 }, 2000 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(quota_life_ms(&bounds, &rows[i].limit) ==
				  rows[i].life_ms,
			  rows[i].name);
}

/* Guards against a bucket that a new lender fills at once, that grows beyond
 * the burst, or that keeps what an earlier term of lending left. */
static void test_bucket(void)
{
	static const quota_limit_t limit = { 30, 20 };
	static const struct {
		const char *name;
		clock_ms_t since_ms;
		clock_ms_t now_ms;
		uint32_t asked;
		uint32_t lent;
	} rows[] = {
		{ "empty at the start", 1000, 1000, 5, 0 },
		{ "a third of the rate", 1000, 1500, 9, 5 },
		{ "at most what is asked", 1000, 2000, 4, 4 },
		{ "at most the burst", 1000, 90000, 99, 10 },
		{ "lender again", 95000, 95200, 9, 2 },
		{ "the clock stands still", 95000, 95200, 9, 0 },
	};
	quota_bucket_t bucket = { 0 };
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(quota_bucket_lend(&bucket, &bounds, &limit,
					    rows[i].since_ms, rows[i].asked,
					    rows[i].now_ms) == rows[i].lent,
			  rows[i].name);
}

/* Guards against a share that outlives its end, a lot that displaces a larger
 * one, and an exhausted tenant that asks its lenders for each operation. */
static void test_share(void)
{
	quota_share_t share = { 0 };
	clock_ms_t until_ms = 0;
	uint32_t i;

	CU_ASSERT(quota_share_admit(&share, 3, 1000, &until_ms) ==
		  QUOTA_UNKNOWN);
	quota_share_apply(&share, 2, 1500, 1000);
	quota_share_apply(&share, 1, 1300, 1000);
	quota_share_apply(&share, 9, 900, 1000);
	CU_ASSERT(quota_share_held(&share, 1000) == 3);
	CU_ASSERT(quota_share_admit(&share, 3, 1000, &until_ms) ==
		  QUOTA_ADMITTED);
	CU_ASSERT(until_ms == 1300);
	CU_ASSERT(quota_share_admit(&share, 3, 1400, &until_ms) ==
		  QUOTA_ADMITTED);
	CU_ASSERT(until_ms == 1500);
	CU_ASSERT(quota_share_held(&share, 1500) == 0);
	for (i = 0; i < 3; i++)
		quota_share_close_part(&share, i, 1800 + i * 100);
	CU_ASSERT(quota_share_admit(&share, 3, 1500, &until_ms) ==
		  QUOTA_REFUSED);
	CU_ASSERT(quota_share_admit(&share, 3, 1800, &until_ms) ==
		  QUOTA_UNKNOWN);
	CU_ASSERT(quota_share_next_part(&share, 3, 1, 0, 2000) == 1);
	CU_ASSERT(quota_share_next_part(&share, 3, 1, 2, 2000) == 2);
	CU_ASSERT(quota_share_next_part(&share, 3, 1, 7, 2000) == -1);
}

/* Guards against a small tenant whose limit is borrowed ahead by proxies that
 * do not use it, and against a large one that asks for each operation. */
static void test_demand(void)
{
	static const struct {
		const char *name;
		uint32_t per_s;
		uint32_t least;
		uint32_t most;
		bool low;
	} rows[] = {
		{ "one in two seconds", 0, 1, 1, false },
		{ "two a second", 2, 1, 1, false },
		{ "forty a second", 40, 10, 15, true },
	};
	size_t i;
	uint32_t n;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		quota_share_t share = { 0 };
		clock_ms_t gap_ms = rows[i].per_s ? 1000 / rows[i].per_s : 2000;
		uint32_t wanted;

		for (n = 1; n <= 400; n++)
			quota_share_note_demand(&share, n * gap_ms);
		wanted = quota_share_wanted(&share, 1, 2000, 400 * gap_ms);
		CHECK_ROW(wanted >= rows[i].least && wanted <= rows[i].most,
			  rows[i].name);
		CHECK_ROW(quota_share_is_low(&share, 2000, 400 * gap_ms) ==
				  rows[i].low,
			  rows[i].name);
	}
}

/*
 * A model of proxies that lend one tenant's limit to each other, in steps of 10
 * ms. All proxies want more than the limit at all times and use each lot as
 * late as they may. The store keeps the registrations in order; each proxy
 * knows a prefix of them. Links, processes and the store fail by seed.
 */
#define MODEL_DOMAINS 3
#define MODEL_PROXIES 9
#define MODEL_STEP_MS 10
#define MODEL_DURATION_MS 60000
#define MODEL_TTL_MS 4000
#define MODEL_READ_MS 200
/* With large bursts, demand rests in each cycle, so that the buckets fill up.
 */
#define MODEL_CYCLE_MS 11000
#define MODEL_REST_MS 3500
#define MODEL_HOLD_MS 7300
#define MODEL_CHANGES_MAX 4096
#define MODEL_MESSAGES_MAX 8192
#define MODEL_RUNS_MAX 65536
/* Seeds of which one must show that a rule is missing. */
#define RULE_SEEDS 300

/* The rules that bound what is lent. Each is switched off in turn, which must
 * break the bound for some seed. */
typedef enum {
	RULE_NONE,
	RULE_LIFE_FROM_LIMIT,
	RULE_LIFE_FROM_REQUEST,
	RULE_END_CHECKED_AT_SEND,
	RULE_EMPTY_START,
	RULE_ONE_LENDER,
	RULE_CONFIRMED_LENDER,
	RULE_WAIT_FOR_EVICTED,
	RULE_SEEN_BY_ALL,
	RULE_RESEND_ADMITTED,
	RULE_COUNT,
} rule_t;

static const char *const rule_names[RULE_COUNT] = {
	"all rules",	    "life from limit",	"life from request",
	"end at send",	    "empty start",	"one lender",
	"confirmed lender", "wait for evicted", "seen by all",
	"resend admitted",
};

typedef struct {
	uint32_t proxy;
	quota_proxy_state_t state;
	uint32_t incarnation;
} model_change_t;

typedef struct {
	uint32_t from;
	uint32_t to;
	uint32_t to_incarnation;
	uint32_t from_incarnation;
	uint32_t part;
	bool answered;
	uint32_t lent;
	clock_ms_t asked_ms;
	clock_ms_t due_ms;
} model_message_t;

typedef struct {
	char name[8];
	uint32_t domain;
	uint32_t incarnation;
	/* Until then the process is down or frozen, or cut off from the store
	 * and from the other domains. */
	clock_ms_t down_until_ms;
	clock_ms_t frozen_until_ms;
	clock_ms_t cut_until_ms;
	clock_ms_t store_cut_from_ms;
	clock_ms_t store_cut_until_ms;
	/* What the process knows. */
	size_t known;
	quota_proxy_state_t states[MODEL_PROXIES];
	uint32_t incarnations[MODEL_PROXIES];
	clock_ms_t since_ms[MODEL_PROXIES];
	clock_ms_t next_read_ms;
	clock_ms_t read_sent_ms;
	clock_ms_t read_due_ms;
	size_t read_known;
	quota_registration_t own;
	uint32_t seen; /* a bit for each proxy that has seen it */
	quota_limit_t limit;
	clock_ms_t limit_due_ms;
	quota_bucket_t buckets[MODEL_DOMAINS];
	quota_share_t share;
	uint32_t next_part;
	clock_ms_t unreachable_since_ms;
} model_proxy_t;

typedef struct {
	check_random_t random;
	rule_t off;
	/* One of so many messages is held up, one of so many answers is lost,
	 * and a fault starts in one of so many steps. */
	uint64_t held_up_one_in;
	uint64_t lost_one_in;
	uint64_t fault_one_in;
	/* Each proxy asks in one of so many steps. */
	clock_ms_t ask_one_in;
	clock_ms_t rest_ms;
	quota_limit_t high_limit;
	quota_limit_t low_limit;
	clock_ms_t now_ms;
	clock_ms_t store_down_until_ms;
	/* No answer of a lender arrives before this time. */
	clock_ms_t stalled_until_ms;
	model_proxy_t proxies[MODEL_PROXIES];
	model_change_t changes[MODEL_CHANGES_MAX];
	size_t change_count;
	/* The state that the store has for each proxy. */
	quota_proxy_state_t stored[MODEL_PROXIES];
	uint32_t stored_incarnation[MODEL_PROXIES];
	model_message_t messages[MODEL_MESSAGES_MAX];
	size_t message_count;
	clock_ms_t runs[MODEL_RUNS_MAX];
	size_t run_count;
} model_t;

/* Small bursts, and large ones which lenders gather while demand rests. */
static const quota_limit_t high_limits[2] = { { 60, 6 }, { 60, 120 } };
static const quota_limit_t low_limits[2] = { { 30, 6 }, { 30, 120 } };
static const quota_bounds_t model_bounds = { 5000, 0.02, 6, MODEL_DOMAINS };
/* The limit is lowered at this time, and all proxies know it a second later. */
#define MODEL_LOWER_MS 35000
#define MODEL_LOWER_KNOWN_MS 1000

static bool is_running(const model_t *model, const model_proxy_t *proxy)
{
	return model->now_ms >= proxy->down_until_ms &&
	       model->now_ms >= proxy->frozen_until_ms;
}

static bool reaches_store(const model_t *model, const model_proxy_t *proxy)
{
	return model->now_ms >= proxy->cut_until_ms &&
	       (model->now_ms < proxy->store_cut_from_ms ||
		model->now_ms >= proxy->store_cut_until_ms) &&
	       model->now_ms >= model->store_down_until_ms;
}

static bool reaches(const model_t *model, const model_proxy_t *proxy,
		    const model_proxy_t *other)
{
	return proxy->domain == other->domain ||
	       (model->now_ms >= proxy->cut_until_ms &&
		model->now_ms >= other->cut_until_ms);
}

static void change_store(model_t *model, uint32_t proxy,
			 quota_proxy_state_t state)
{
	if (model->change_count == MODEL_CHANGES_MAX)
		return;
	model->stored[proxy] = state;
	model->stored_incarnation[proxy] = model->proxies[proxy].incarnation;
	model->changes[model->change_count++] =
		(model_change_t){ proxy, state,
				  model->proxies[proxy].incarnation };
}

/* Starts the next process of a proxy, which knows nothing. */
static void restart(model_t *model, uint32_t index, clock_ms_t down_ms)
{
	model_proxy_t *proxy = &model->proxies[index];
	model_proxy_t next = { 0 };

	memcpy(next.name, proxy->name, sizeof(next.name));
	next.domain = proxy->domain;
	next.incarnation = proxy->incarnation + 1;
	next.down_until_ms = model->now_ms + down_ms;
	next.cut_until_ms = proxy->cut_until_ms;
	next.store_cut_from_ms = proxy->store_cut_from_ms;
	next.store_cut_until_ms = proxy->store_cut_until_ms;
	next.own.confirmation_ttl_ms = MODEL_TTL_MS;
	next.own.confirmed_ms = -MODEL_TTL_MS;
	next.limit = model->now_ms < MODEL_LOWER_MS ? model->high_limit
						    : model->low_limit;
	*proxy = next;
}

static void learn(model_t *model, model_proxy_t *proxy, size_t known)
{
	for (; proxy->known < known; proxy->known++) {
		const model_change_t *change = &model->changes[proxy->known];

		proxy->incarnations[change->proxy] = change->incarnation;
		if (proxy->since_ms[change->proxy] != 0 &&
		    proxy->states[change->proxy] == change->state)
			continue;
		proxy->states[change->proxy] = change->state;
		proxy->since_ms[change->proxy] = model->now_ms;
	}
}

static bool knows(const model_proxy_t *proxy, uint32_t index,
		  const model_proxy_t *other)
{
	return proxy->since_ms[index] != 0 &&
	       proxy->states[index] == QUOTA_PROXY_REGISTERED &&
	       proxy->incarnations[index] == other->incarnation;
}

/* Reads the store, and registers the process when the read does not show it. */
static void follow_store(model_t *model, uint32_t index)
{
	model_proxy_t *proxy = &model->proxies[index];

	if (proxy->read_due_ms == 0 && model->now_ms >= proxy->next_read_ms) {
		proxy->next_read_ms = model->now_ms + MODEL_READ_MS;
		if (!reaches_store(model, proxy))
			return;
		proxy->read_sent_ms = model->now_ms;
		proxy->read_known = model->change_count;
		/* Some answers are late. */
		proxy->read_due_ms =
			model->now_ms + MODEL_STEP_MS +
			(clock_ms_t)check_random_below(
				&model->random,
				check_random_below(&model->random, 4) ? 20
								      : 600);
	}
	if (proxy->read_due_ms == 0 || model->now_ms < proxy->read_due_ms)
		return;
	proxy->read_due_ms = 0;
	learn(model, proxy, proxy->read_known);
	proxy->own.confirmed_ms = proxy->read_sent_ms;
	if (knows(proxy, index, proxy)) {
		if (proxy->own.registered_ms == 0)
			proxy->own.registered_ms = model->now_ms;
		return;
	}
	proxy->own.registered_ms = 0;
	proxy->own.seen_by_all_ms = 0;
	proxy->seen = 0;
	if (reaches_store(model, proxy))
		change_store(model, index, QUOTA_PROXY_REGISTERED);
}

/* Asks the registered proxies whether they see the registration. */
static void ask_seen(model_t *model, uint32_t index)
{
	model_proxy_t *proxy = &model->proxies[index];
	bool all = true;
	uint32_t i;

	if (proxy->own.registered_ms == 0 || proxy->own.seen_by_all_ms != 0 ||
	    proxy->own.confirmed_ms < proxy->own.registered_ms)
		return;
	for (i = 0; i < MODEL_PROXIES; i++) {
		model_proxy_t *other = &model->proxies[i];

		if (i == index || proxy->since_ms[i] == 0 ||
		    proxy->states[i] == QUOTA_PROXY_REMOVED)
			continue;
		if (proxy->states[i] == QUOTA_PROXY_EVICTED) {
			all = all && quota_eviction_has_ended(
					     &proxy->own, proxy->since_ms[i],
					     model->now_ms);
			continue;
		}
		if (is_running(model, other) && reaches(model, proxy, other) &&
		    knows(other, index, proxy))
			proxy->seen |= 1U << i;
		all = all && (proxy->seen & (1U << i));
	}
	if (all || model->off == RULE_SEEN_BY_ALL)
		proxy->own.seen_by_all_ms = model->now_ms;
}

static size_t list_proxies(const model_t *model, const model_proxy_t *viewer,
			   uint32_t part, quota_proxy_t *rows)
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < MODEL_PROXIES; i++) {
		if (viewer->since_ms[i] == 0)
			continue;
		rows[count] = (quota_proxy_t){
			model->proxies[i].name,
			model->proxies[i].domain == part,
			viewer->states[i],
			viewer->since_ms[i],
		};
		if (model->off == RULE_WAIT_FOR_EVICTED &&
		    rows[count].state == QUOTA_PROXY_EVICTED)
			rows[count].state = QUOTA_PROXY_REMOVED;
		count++;
	}
	return count;
}

static uint32_t lend(model_t *model, model_proxy_t *proxy, uint32_t part)
{
	quota_proxy_t rows[MODEL_PROXIES];
	quota_proxy_t self = { proxy->name, proxy->domain == part,
			       QUOTA_PROXY_REGISTERED, 0 };
	quota_registration_t own = proxy->own;
	size_t count = list_proxies(model, proxy, part, rows);
	clock_ms_t since_ms;

	if (model->off == RULE_CONFIRMED_LENDER && own.confirmed_ms > 0)
		own.confirmed_ms = model->now_ms;
	if (model->off == RULE_ONE_LENDER)
		count = 0;
	since_ms = quota_lender_since(&own, &self, rows, count, "t", part,
				      model->now_ms);
	if (since_ms == QUOTA_NOT_LENDING)
		return 0;
	if (model->off == RULE_EMPTY_START)
		since_ms = 1;
	return quota_bucket_lend(&proxy->buckets[part], &model_bounds,
				 &proxy->limit, since_ms, 100, model->now_ms);
}

static clock_ms_t message_delay(model_t *model)
{
	/* Held up for up to two seconds. */
	return MODEL_STEP_MS *
	       (clock_ms_t)(1 +
			    check_random_below(
				    &model->random,
				    check_random_below(&model->random,
						       model->held_up_one_in)
					    ? 2
					    : 200));
}

/* Asks the lender of one part after the other, so that all is lent at once. */
static void ask_lender(model_t *model, uint32_t index)
{
	model_proxy_t *proxy = &model->proxies[index];
	uint32_t part = proxy->next_part++ % MODEL_DOMAINS;
	quota_proxy_t rows[MODEL_PROXIES];
	size_t count = list_proxies(model, proxy, part, rows);
	const quota_proxy_t *first = NULL;
	uint32_t to;
	size_t i;

	for (i = 0; i < count; i++) {
		if (rows[i].state == QUOTA_PROXY_REGISTERED &&
		    (!first ||
		     quota_proxy_goes_before(&rows[i], first, "t", part)))
			first = &rows[i];
	}
	if (!first || model->message_count == MODEL_MESSAGES_MAX)
		return;
	to = (uint32_t)(first->name[1] - '0');
	/* A caller with a stale view asks a former lender. */
	if (check_random_below(&model->random, 3) == 0 ||
	    model->off == RULE_ONE_LENDER)
		to = (uint32_t)check_random_below(&model->random,
						  MODEL_PROXIES);
	if (reaches(model, proxy, &model->proxies[to]))
		model->messages[model->message_count++] = (model_message_t){
			.from = index,
			.from_incarnation = proxy->incarnation,
			.to = to,
			.to_incarnation = model->proxies[to].incarnation,
			.part = part,
			.asked_ms = model->now_ms,
			.due_ms = model->now_ms + message_delay(model),
		};
}

static void run(model_t *model)
{
	if (model->run_count < MODEL_RUNS_MAX)
		model->runs[model->run_count++] = model->now_ms;
}

/* Takes a lot over, and uses it as late as the rules allow. */
static void take_lot(model_t *model, const model_message_t *message)
{
	model_proxy_t *proxy = &model->proxies[message->from];
	clock_ms_t life_ms = quota_life_ms(&model_bounds, &proxy->limit);
	clock_ms_t from_ms = message->asked_ms;

	if (model->off == RULE_LIFE_FROM_LIMIT)
		life_ms = 4000;
	if (model->off == RULE_LIFE_FROM_REQUEST)
		from_ms = model->now_ms;
	quota_share_apply(&proxy->share, message->lent, from_ms + life_ms,
			  model->now_ms);
}

static void deliver(model_t *model, model_message_t *message)
{
	model_proxy_t *to = &model->proxies[message->to];

	if (!message->answered) {
		message->answered = true;
		message->lent = lend(model, to, message->part);
		message->due_ms = model->now_ms + message_delay(model);
		return;
	}
	take_lot(model, message);
}

/* Handles the messages that are due. A frozen process handles them late; those
 * to a process that has ended, and some answers, are lost. */
static void deliver_messages(model_t *model)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < model->message_count; i++) {
		model_message_t *message = &model->messages[i];
		uint32_t index =
			message->answered ? message->from : message->to;
		uint32_t incarnation = message->answered
					       ? message->from_incarnation
					       : message->to_incarnation;
		const model_proxy_t *proxy = &model->proxies[index];
		bool answer = message->answered;

		if (proxy->incarnation != incarnation)
			continue;
		if (model->now_ms >= message->due_ms &&
		    (!answer || model->now_ms >= model->stalled_until_ms) &&
		    is_running(model, proxy)) {
			if (answer &&
			    check_random_below(&model->random,
					       model->lost_one_in) == 0)
				continue;
			deliver(model, message);
			if (answer)
				continue;
		}
		model->messages[kept++] = *message;
	}
	model->message_count = kept;
}

/* Runs operations. In the first half of each hold, lots are kept until right
 * before their end, and in the second half they are used at once, so that many
 * run together. */
static void use_share(model_t *model, model_proxy_t *proxy)
{
	bool releases = model->now_ms % MODEL_HOLD_MS >= MODEL_HOLD_MS / 2;
	clock_ms_t until_ms;

	while (quota_share_held(&proxy->share, model->now_ms) >
		       quota_share_held(&proxy->share,
					model->now_ms + MODEL_STEP_MS) ||
	       (quota_share_held(&proxy->share, model->now_ms) > 0 &&
		releases)) {
		if (quota_share_admit(&proxy->share, MODEL_DOMAINS,
				      model->now_ms,
				      &until_ms) != QUOTA_ADMITTED)
			break;
		run(model);
		/* The target runs it, and the answer is lost. */
		if (check_random_below(&model->random, 3) != 0)
			continue;
		if (model->off == RULE_RESEND_ADMITTED ||
		    quota_share_admit(&proxy->share, MODEL_DOMAINS,
				      model->now_ms,
				      &until_ms) == QUOTA_ADMITTED)
			run(model);
	}
}

/* Without the check at sending, operations wait in a queue and run together. */
static void use_share_late(model_t *model, model_proxy_t *proxy)
{
	clock_ms_t until_ms;

	while (quota_share_admit(&proxy->share, MODEL_DOMAINS, model->now_ms,
				 &until_ms) == QUOTA_ADMITTED) {
		if (model->run_count == MODEL_RUNS_MAX)
			return;
		/* The queue ends every eight seconds. */
		model->runs[model->run_count++] =
			model->now_ms / 8000 * 8000 + 8000;
	}
}

/* The store refuses some proxies from a moment later on. */
static void cut_from_store(model_t *model, clock_ms_t for_ms)
{
	uint32_t i;

	for (i = 0; i < MODEL_PROXIES; i++) {
		if (check_random_below(&model->random, 2) == 0)
			continue;
		model->proxies[i].store_cut_from_ms = model->now_ms + 400;
		model->proxies[i].store_cut_until_ms = model->now_ms + for_ms;
	}
}

static void fail_something(model_t *model)
{
	uint32_t index =
		(uint32_t)check_random_below(&model->random, MODEL_PROXIES);
	model_proxy_t *proxy = &model->proxies[index];
	clock_ms_t for_ms =
		(clock_ms_t)check_random_below(&model->random, 8000);
	uint32_t i;

	switch (check_random_below(&model->random, 10)) {
	case 0:
		restart(model, index, for_ms / 4);
		break;
	case 1:
		proxy->frozen_until_ms = model->now_ms + for_ms;
		break;
	case 2:
		for (i = 0; i < MODEL_PROXIES; i++) {
			if (model->proxies[i].domain == proxy->domain)
				model->proxies[i].cut_until_ms =
					model->now_ms + for_ms;
		}
		break;
	case 7:
		cut_from_store(model, for_ms);
		break;
	case 8:
		model->stalled_until_ms = model->now_ms + for_ms / 2;
		break;
	case 3:
		proxy->cut_until_ms = model->now_ms + for_ms;
		break;
	case 4:
		model->store_down_until_ms = model->now_ms + for_ms / 2;
		break;
	case 5:
		/* A planned stop: the process lends no more, then leaves. */
		if (is_running(model, proxy) && reaches_store(model, proxy) &&
		    model->stored[index] == QUOTA_PROXY_REGISTERED)
			change_store(model, index, QUOTA_PROXY_REMOVED);
		restart(model, index, for_ms / 4);
		if (check_random_below(&model->random, 2) == 0)
			cut_from_store(model, for_ms);
		break;
	case 6:
		/* Evicted, although it may run. */
		if (model->now_ms >= model->store_down_until_ms &&
		    model->stored[index] == QUOTA_PROXY_REGISTERED)
			change_store(model, index, QUOTA_PROXY_EVICTED);
		break;
	default:
		if (check_random_below(&model->random, 6) != 0)
			break;
		for (i = 0; i < MODEL_PROXIES; i++)
			restart(model, i, 100);
		break;
	}
}

/* A proxy that is silent for a second and a half is evicted. */
static void evict_silent(model_t *model, uint32_t index)
{
	model_proxy_t *proxy = &model->proxies[index];

	if (is_running(model, proxy) && model->now_ms >= proxy->cut_until_ms) {
		proxy->unreachable_since_ms = 0;
		return;
	}
	if (proxy->unreachable_since_ms == 0)
		proxy->unreachable_since_ms = model->now_ms;
	if (model->now_ms >= proxy->unreachable_since_ms + 1500 &&
	    model->now_ms >= model->store_down_until_ms &&
	    model->stored[index] == QUOTA_PROXY_REGISTERED)
		change_store(model, index, QUOTA_PROXY_EVICTED);
}

static void step_proxy(model_t *model, uint32_t index)
{
	model_proxy_t *proxy = &model->proxies[index];

	evict_silent(model, index);
	if (!is_running(model, proxy))
		return;
	if (model->now_ms >= MODEL_LOWER_MS + (clock_ms_t)index *
						      MODEL_LOWER_KNOWN_MS /
						      MODEL_PROXIES)
		proxy->limit = model->low_limit;
	follow_store(model, index);
	ask_seen(model, index);
	if (model->now_ms % MODEL_CYCLE_MS >= model->rest_ms &&
	    model->now_ms / MODEL_STEP_MS % model->ask_one_in ==
		    index % model->ask_one_in)
		ask_lender(model, index);
	if (model->off == RULE_END_CHECKED_AT_SEND)
		use_share_late(model, proxy);
	else
		use_share(model, proxy);
}

static int compare_times(const void *left, const void *right)
{
	clock_ms_t a = *(const clock_ms_t *)left;
	clock_ms_t b = *(const clock_ms_t *)right;

	return (a > b) - (a < b);
}

/* Returns by how many operations the worst window exceeds its bound; negative
 * if none does. */
static double worst_excess(model_t *model)
{
	double worst = -1e9;
	size_t begin = 0;
	size_t end;

	qsort(model->runs, model->run_count, sizeof(model->runs[0]),
	      compare_times);
	for (end = 0; end < model->run_count; end++) {
		const quota_limit_t *limit;
		double bound;

		while (model->runs[begin] <=
		       model->runs[end] - model_bounds.window_ms)
			begin++;
		limit = model->runs[begin] >= MODEL_LOWER_MS +
						      MODEL_LOWER_KNOWN_MS +
						      model_bounds.window_ms
				? &model->low_limit
				: &model->high_limit;
		bound = (limit->rate_per_s * (double)model_bounds.window_ms /
				 1000 +
			 limit->burst) *
				(1 + model_bounds.overage) +
			model_bounds.slack;
		if ((double)(end - begin + 1) - bound > worst)
			worst = (double)(end - begin + 1) - bound;
	}
	return worst;
}

static double run_model(model_t *model, uint64_t seed, rule_t off)
{
	uint32_t i;

	memset(model, 0, sizeof(*model));
	model->random = check_random(seed);
	model->off = off;
	model->now_ms = 1000;
	model->held_up_one_in = 2 + check_random_below(&model->random, 200);
	model->lost_one_in = 20 + check_random_below(&model->random, 1000);
	model->high_limit = high_limits[seed / 2 % 2];
	model->low_limit = low_limits[seed / 2 % 2];
	model->rest_ms = seed / 2 % 2 ? MODEL_REST_MS : 0;
	model->ask_one_in = seed % 2 == 0 ? 4 : 40;
	model->fault_one_in = 100 + check_random_below(&model->random, 500);
	for (i = 0; i < MODEL_PROXIES; i++) {
		model->proxies[i].name[0] = 'p';
		model->proxies[i].name[1] = (char)('0' + i);
		model->proxies[i].domain = i % MODEL_DOMAINS;
		model->stored[i] = QUOTA_PROXY_REMOVED;
		restart(model, i, 0);
	}
	for (; model->now_ms < MODEL_DURATION_MS;
	     model->now_ms += MODEL_STEP_MS) {
		if (check_random_below(&model->random, model->fault_one_in) ==
		    0)
			fail_something(model);
		for (i = 0; i < MODEL_PROXIES; i++)
			step_proxy(model, i);
		deliver_messages(model);
	}
	return worst_excess(model);
}

/* Guards against more operations in some window than the bound, whichever
 * processes, links and reads of the store fail. */
static void test_model(void)
{
	model_t *model = check_allocate(sizeof(*model));
	uint64_t seeds = check_seeds(200);
	uint64_t seed;
	uint64_t runs = 0;

	for (seed = 1; seed <= seeds; seed++) {
		CHECK_SEED(run_model(model, seed, RULE_NONE) <= 0, seed);
		runs += model->run_count;
	}
	/* The model lends: a fifth of the limit is used in spite of faults. */
	CU_ASSERT(runs >= seeds * (60 * 45 / 5));
	printf("operations: %lu\n", (unsigned long)runs);
	free(model);
}

/* Guards against a rule of the lending that has no effect, and a model that
 * does not notice when one is missing. */
static void test_rules(void)
{
	model_t *model = check_allocate(sizeof(*model));
	int rule;

	for (rule = RULE_NONE + 1; rule < RULE_COUNT; rule++) {
		uint64_t seed = 1;

		while (seed <= RULE_SEEDS &&
		       run_model(model, seed, (rule_t)rule) <= 0)
			seed++;
		CHECK_ROW(seed <= RULE_SEEDS, rule_names[rule]);
		printf("without \"%s\": seed %lu\n", rule_names[rule],
		       (unsigned long)seed);
	}
	free(model);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "life", test_life },	 { "bucket", test_bucket },
		{ "share", test_share }, { "demand", test_demand },
		{ "model", test_model }, { "rules", test_rules },
	};

	return check_main("quota", cases, sizeof(cases) / sizeof(cases[0]));
}
