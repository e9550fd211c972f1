#include "check.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>

#include "librelay/relay.h"

/* Guards against relays in a deployment whose proxies have connections enough,
 * and against direct connections of more proxies than a target accepts. */
static void test_needed(void)
{
	static const struct {
		const char *name;
		uint32_t connections_max;
		uint32_t proxies;
		bool needed;
	} rows[] = {
		{ "more proxies than connections", 46, 91, true },
		{ "one connection for each", 173, 118, false },
		{ "just one for each", 46, 44, false },
		{ "just too few", 46, 45, true },
		{ "many for each", 80, 34, false },
		{ "only spare connections", 2, 3, true },
		{ "limit not known", 0, 91, false },
		{ "no proxy known", 46, 0, false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(relay_is_needed(rows[i].connections_max,
					  rows[i].proxies) == rows[i].needed,
			  rows[i].name);
}

#define NAMES 40
#define TARGETS 400

static void fill_candidates(relay_candidate_t *candidates,
			    char names[NAMES][16])
{
	size_t i;

	for (i = 0; i < NAMES; i++) {
		snprintf(names[i], sizeof(names[i]), "proxy-%zu", i);
		candidates[i] = (relay_candidate_t){ .name = names[i] };
	}
}

/* Guards against proxies that find different owners, against a change of one
 * proxy that moves the targets of others, and against owners whose work does
 * not follow their weight. */
static void test_owners(void)
{
	char names[NAMES][16];
	relay_candidate_t candidates[NAMES];
	relay_candidate_t reversed[NAMES];
	uint32_t owned[NAMES] = { 0 };
	char target[16];
	size_t moved = 0;
	size_t i;

	fill_candidates(candidates, names);
	candidates[0].weight = 8;
	for (i = 0; i < NAMES; i++)
		reversed[i] = candidates[NAMES - 1 - i];
	for (i = 0; i < TARGETS; i++) {
		size_t owners[RELAY_OWNERS];
		size_t others[RELAY_OWNERS];

		snprintf(target, sizeof(target), "t%zu", i);
		CU_ASSERT(relay_owners_find(candidates, NAMES, target,
					    owners) == RELAY_OWNERS);
		CU_ASSERT(owners[0] != owners[1]);
		relay_owners_find(reversed, NAMES, target, others);
		CHECK_ROW(NAMES - 1 - others[0] == owners[0], target);
		CHECK_ROW(NAMES - 1 - others[1] == owners[1], target);
		owned[owners[0]]++;
		/* Without the last candidate, its backup takes over. */
		relay_owners_find(candidates, NAMES - 1, target, others);
		if (owners[0] == NAMES - 1)
			CHECK_ROW(others[0] == owners[1], target);
		else if (others[0] != owners[0])
			moved++;
	}
	CU_ASSERT(moved == 0);
	/* 8 of 47 parts of 400 targets are 68; three standard deviations are
	 * 23. */
	CU_ASSERT(owned[0] >= 45 && owned[0] <= 91);
	CU_ASSERT(relay_owners_find(candidates, 0, "t", (size_t[2]){ 0 }) == 0);
	CU_ASSERT(relay_owners_find(candidates, 1, "t", (size_t[2]){ 0 }) == 1);
}

/* Guards against parts that together exceed what a target accepts, also while
 * one owner of each domain changes. */
static void test_parts(void)
{
	uint32_t max;
	uint32_t domains;

	for (max = 3; max < 300; max++) {
		for (domains = 1; domains < 12 && domains + 2 < max;
		     domains++) {
			relay_part_t first = relay_part(max, domains, 0);
			relay_part_t backup = relay_part(max, domains, 1);
			uint32_t all =
				domains * (first.connections + first.at_once +
					   backup.connections);
			char name[32];

			snprintf(name, sizeof(name), "%u for %u", max, domains);
			CHECK_ROW(all + RELAY_SPARE_CONNECTIONS <= max, name);
			CHECK_ROW(first.connections > 0, name);
			CHECK_ROW(first.at_once <= first.connections, name);
		}
	}
	CU_ASSERT(relay_part(46, 3, 0).connections == 11);
	CU_ASSERT(relay_part(46, 3, 0).at_once == 2);
	CU_ASSERT(relay_part(46, 3, 1).connections == 1);
	CU_ASSERT(relay_part(46, 3, 2).connections == 0);
	CU_ASSERT(relay_part(46, 0, 0).connections > 0);
}

/* Guards against an owner that opens its whole part while the target still
 * counts the connections of the earlier owner. */
static void test_share(void)
{
	relay_share_t share = { 0 };

	relay_share_set(&share, (relay_part_t){ 11, 2 }, 10000);
	CU_ASSERT(relay_share_limit(&share, 10000) == 2);
	CU_ASSERT(relay_share_limit(&share, 15999) == 2);
	CU_ASSERT(relay_share_limit(&share, 16000) == 11);
	/* The same part again is no change. */
	relay_share_set(&share, (relay_part_t){ 11, 2 }, 17000);
	CU_ASSERT(relay_share_limit(&share, 17000) == 11);
	/* A smaller part counts at once. */
	relay_share_set(&share, (relay_part_t){ 1, 0 }, 18000);
	CU_ASSERT(relay_share_limit(&share, 18000) == 1);
	/* Owner again within the time: what it held counts, not its part. */
	relay_share_set(&share, (relay_part_t){ 0, 0 }, 18500);
	relay_share_set(&share, (relay_part_t){ 11, 2 }, 19000);
	CU_ASSERT(relay_share_limit(&share, 24999) == 2);
	CU_ASSERT(relay_share_limit(&share, 25000) == 11);
}

/* Guards against borrowers that wait in vain, and against refusals while the
 * queue is short enough. */
static void test_queue(void)
{
	static const struct {
		const char *name;
		relay_queue_view_t view;
		bool waits;
	} rows[] = {
		{ "first of a short queue", { 0, 4, 20.0, 100 }, true },
		{ "behind as many as end in time", { 19, 4, 20.0, 100 }, true },
		{ "behind one more", { 20, 4, 20.0, 100 }, false },
		{ "slow loans", { 3, 1, 30.0, 100 }, false },
		{ "not measured", { 4, 1, 0.0, 100 }, true },
		{ "no time", { 0, 4, 20.0, 0 }, false },
		{ "no connection", { 0, 0, 20.0, 100 }, false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(relay_may_wait(&rows[i].view) == rows[i].waits,
			  rows[i].name);
	CU_ASSERT(relay_wait_ms(400, 0, 800) == 200);
	CU_ASSERT(relay_wait_ms(400, 300, 800) == 50);
	CU_ASSERT(relay_wait_ms(400, 400, 800) == RELAY_WAIT_DEFAULT_MS);
	CU_ASSERT(relay_wait_ms(0, 0, 800) == RELAY_WAIT_DEFAULT_MS);
	CU_ASSERT(relay_wait_ms(4000, 0, 300) == 300);
}

/* Guards against frames that are read back otherwise than written, and against
 * one that is read before it is complete. */
static void test_frames(void)
{
	struct evbuffer *link = evbuffer_new();
	struct evbuffer *data = evbuffer_new();
	const relay_borrow_t borrow = { .service = "s1",
					.target = "i-1",
					.wait_ms = 70 };
	const relay_news_t news = { RELAY_REFUSAL_LEAVING, 12, -1 };
	char text[3 * RELAY_DATA_MAX_BYTES];
	relay_frame_t frame;
	unsigned char byte;

	relay_borrow_write(data, &borrow);
	/* Byte by byte. */
	while (evbuffer_get_length(data) > 0) {
		CU_ASSERT(relay_frame_read(link, &frame, NULL) ==
			  RELAY_ERROR_INCOMPLETE);
		evbuffer_remove(data, &byte, 1);
		evbuffer_add(link, &byte, 1);
	}
	CU_ASSERT(relay_frame_read(link, &frame, NULL) == RELAY_OK);
	CU_ASSERT(frame.kind == RELAY_FRAME_BORROW);
	CU_ASSERT_STRING_EQUAL(frame.u.borrow.target, "i-1");
	CU_ASSERT_STRING_EQUAL(frame.u.borrow.tenant, "");
	CU_ASSERT(frame.u.borrow.wait_ms == 70 && !frame.u.borrow.state_only);
	relay_news_write(link, RELAY_FRAME_REFUSED, &news);
	relay_return_write(link, true);
	CU_ASSERT(relay_frame_read(link, &frame, data) == RELAY_OK);
	CU_ASSERT(frame.u.news.reason == RELAY_REFUSAL_LEAVING &&
		  frame.u.news.waiting == 12 &&
		  frame.u.news.answered_ago_ms == -1);
	CU_ASSERT(relay_frame_read(link, &frame, data) == RELAY_OK);
	CU_ASSERT(frame.kind == RELAY_FRAME_RETURN && frame.u.has_values);
	/* Data of several frames. */
	memset(text, 'x', sizeof(text));
	evbuffer_add(data, text, sizeof(text));
	CU_ASSERT(relay_data_write(link, data) == RELAY_OK);
	CU_ASSERT(evbuffer_get_length(data) == 0);
	while (relay_frame_read(link, &frame, data) == RELAY_OK)
		CU_ASSERT(frame.kind == RELAY_FRAME_DATA);
	CU_ASSERT(evbuffer_get_length(data) == sizeof(text));
	CU_ASSERT(evbuffer_get_length(link) == 0);
	evbuffer_free(link);
	evbuffer_free(data);
}

#define BORROW_START "{\"service\":\"s\",\"target\":\"t\",\"tenant\":\"\","

/* Guards against a malformed frame that is accepted, and against one of a later
 * version or with unknown fields that is not. */
static void test_malformed_frames(void)
{
	static const struct {
		const char *name;
		uint8_t kind;
		uint32_t length;
		const char *fields;
		int result;
	} rows[] = {
		{ "unknown fields", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"wait_ms\":5,\"version\":1,\"more\":[2]}",
		  RELAY_OK },
		{ "later version", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"wait_ms\":5,\"version\":2}",
		  RELAY_ERROR_VERSION },
		{ "no version", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"wait_ms\":5}", RELAY_ERROR_MALFORMED },
		{ "no wait", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"version\":1}", RELAY_ERROR_MALFORMED },
		{ "negative wait", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"wait_ms\":-1,\"version\":1}",
		  RELAY_ERROR_MALFORMED },
		{ "text for a number", RELAY_FRAME_BORROW, 0,
		  BORROW_START "\"wait_ms\":\"5\",\"version\":1}",
		  RELAY_ERROR_MALFORMED },
		{ "no object", RELAY_FRAME_RETURN, 0, "[1]",
		  RELAY_ERROR_MALFORMED },
		{ "no JSON", RELAY_FRAME_RETURN, 0, "{",
		  RELAY_ERROR_MALFORMED },
		{ "unknown reason", RELAY_FRAME_REFUSED, 0,
		  "{\"reason\":9,\"waiting\":0,\"answered_ago_ms\":0}",
		  RELAY_ERROR_MALFORMED },
		{ "unknown kind", 9, 0, "{}", RELAY_ERROR_MALFORMED },
		{ "kind 0", 0, 0, "{}", RELAY_ERROR_MALFORMED },
		{ "no payload", RELAY_FRAME_RETURN, 0, "",
		  RELAY_ERROR_MALFORMED },
		{ "long fields", RELAY_FRAME_BORROW, RELAY_FIELDS_MAX_BYTES + 1,
		  "{", RELAY_ERROR_MALFORMED },
		{ "long data", RELAY_FRAME_DATA, RELAY_DATA_MAX_BYTES + 1, "x",
		  RELAY_ERROR_MALFORMED },
		{ "data without a loan", RELAY_FRAME_DATA, 0, "x",
		  RELAY_ERROR_MALFORMED },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct evbuffer *link = evbuffer_new();
		uint32_t length = rows[i].length ? rows[i].length
						 : strlen(rows[i].fields);
		const uint8_t header[] = { rows[i].kind, 0,
					   (uint8_t)(length >> 8),
					   (uint8_t)length };
		relay_frame_t frame;

		evbuffer_add(link, header, sizeof(header));
		evbuffer_add(link, rows[i].fields, strlen(rows[i].fields));
		CHECK_ROW(relay_frame_read(link, &frame, NULL) ==
				  rows[i].result,
			  rows[i].name);
		evbuffer_free(link);
	}
}

/* Guards against random bytes that are read beyond the limits of a frame. */
static void test_random_frames(void)
{
	uint64_t seed;

	for (seed = 0; seed < check_seeds(2000); seed++) {
		check_random_t random = check_random(seed);
		struct evbuffer *link = evbuffer_new();
		struct evbuffer *data = evbuffer_new();
		uint64_t size = check_random_below(&random, 3000);
		relay_frame_t frame;
		uint64_t i;

		for (i = 0; i < size; i++) {
			uint8_t byte = (uint8_t)check_random_below(
				&random, i % 4 < 2 ? 6 : 256);

			evbuffer_add(link, &byte, 1);
		}
		while (relay_frame_read(link, &frame, data) == RELAY_OK)
			;
		CHECK_SEED(evbuffer_get_length(data) +
					   evbuffer_get_length(link) <=
				   size,
			   seed);
		evbuffer_free(link);
		evbuffer_free(data);
	}
}

/*
 * Model of the connections that one target counts. The proxies see the registry
 * with a delay each, hold as many connections as they may, and lend each of
 * them for up to LOAN_MAX_MS.
 */
#define MODEL_DOMAINS 3
#define MODEL_PROXIES 24
#define MODEL_MAX 46
#define MODEL_STEP_MS 50
#define MODEL_STEPS 1200
#define LOAN_MAX_MS 2500
#define MODEL_STALE_MS 3000
/* As in libgateway/liveness.c. */
#define MODEL_EVICT_MS 6000

typedef struct {
	char name[16];
	uint32_t domain;
	bool runs;
	bool registered;
	/* Cut off from the store and the peers: it sees no change and lends
	 * nothing. */
	bool cut;
	clock_ms_t down_ms;
	clock_ms_t restart_ms;
	clock_ms_t delay_ms;
	/* The registrations as it last saw them. */
	bool seen[MODEL_PROXIES];
	clock_ms_t seen_ms;
	relay_share_t share;
	uint32_t held;
	clock_ms_t above_since_ms;
	/* Connections that the target still counts after a loss of power. */
	uint32_t stale;
	clock_ms_t stale_until_ms;
} model_proxy_t;

static void model_see(model_proxy_t *all, model_proxy_t *proxy,
		      clock_ms_t now_ms)
{
	relay_candidate_t candidates[MODEL_PROXIES];
	uint32_t domains = 0;
	size_t owners[RELAY_OWNERS];
	size_t count = 0;
	size_t found;
	size_t i;
	relay_part_t part = { 0, 0 };
	bool seen[MODEL_DOMAINS] = { false };

	for (i = 0; i < MODEL_PROXIES; i++) {
		if (!proxy->seen[i])
			continue;
		if (!seen[all[i].domain])
			domains++;
		seen[all[i].domain] = true;
		if (all[i].domain == proxy->domain)
			candidates[count++] =
				(relay_candidate_t){ .name = all[i].name };
	}
	found = relay_owners_find(candidates, count, "target", owners);
	for (i = 0; i < found; i++) {
		if (strcmp(candidates[owners[i]].name, proxy->name) == 0)
			part = relay_part(MODEL_MAX, domains, i);
	}
	relay_share_set(&proxy->share, part, now_ms);
}

static void model_step(model_proxy_t *all, model_proxy_t *proxy,
		       clock_ms_t now_ms)
{
	uint32_t limit;
	size_t i;

	if (now_ms >= proxy->stale_until_ms)
		proxy->stale = 0;
	if (!proxy->runs) {
		if (now_ms >= proxy->down_ms + MODEL_EVICT_MS)
			proxy->registered = false;
		if (now_ms >= proxy->restart_ms) {
			proxy->runs = true;
			proxy->registered = true;
			proxy->share = (relay_share_t){ 0 };
			proxy->seen_ms = 0;
		}
		return;
	}
	if (proxy->cut && now_ms >= proxy->down_ms + MODEL_EVICT_MS)
		proxy->registered = false;
	if (!proxy->cut && now_ms >= proxy->seen_ms + proxy->delay_ms) {
		for (i = 0; i < MODEL_PROXIES; i++)
			proxy->seen[i] = all[i].registered;
		proxy->seen_ms = now_ms;
		model_see(all, proxy, now_ms);
		/* A proxy registers when it sees that it is not. */
		proxy->registered = true;
	}
	/* A proxy to which nobody comes keeps one connection. */
	limit = proxy->cut && now_ms >= proxy->down_ms + LOAN_MAX_MS
			? 1
			: relay_share_limit(&proxy->share, now_ms);
	if (proxy->held <= limit) {
		if (!proxy->cut)
			proxy->held = limit;
		proxy->above_since_ms = now_ms;
	} else if (now_ms >= proxy->above_since_ms + LOAN_MAX_MS) {
		proxy->held = limit;
	}
}

/* Brings about a fault of a proxy, or ends one. */
static void model_fault(model_proxy_t *proxy, uint64_t kind, clock_ms_t now_ms,
			clock_ms_t duration_ms)
{
	if (!proxy->runs || proxy->cut)
		return;
	proxy->down_ms = now_ms;
	proxy->restart_ms = now_ms + duration_ms;
	switch (kind) {
	case 0: /* killed: the kernel closes its connections */
		proxy->runs = false;
		break;
	case 1: /* lost power: the target counts them for a while */
		proxy->runs = false;
		proxy->stale += proxy->held;
		proxy->stale_until_ms = now_ms + MODEL_STALE_MS;
		break;
	case 2: /* stopped */
		proxy->runs = false;
		proxy->registered = false;
		break;
	default: /* cut off */
		proxy->cut = true;
		return;
	}
	proxy->held = 0;
}

/* Guards against owners and former owners that together hold more connections
 * than a target accepts, over starts, kills, losses of power, cuts and returns,
 * and against a target that stays without connections. */
static void test_model(void)
{
	uint64_t seed;

	for (seed = 0; seed < check_seeds(200); seed++) {
		check_random_t random = check_random(seed);
		model_proxy_t all[MODEL_PROXIES] = { 0 };
		clock_ms_t next_fault_ms[MODEL_DOMAINS] = { 0 };
		uint32_t most = 0;
		uint32_t last = 0;
		uint32_t step;
		size_t i;

		for (i = 0; i < MODEL_PROXIES; i++) {
			snprintf(all[i].name, sizeof(all[i].name), "p%zu", i);
			all[i].domain = i % MODEL_DOMAINS;
			all[i].restart_ms =
				(clock_ms_t)check_random_below(&random, 1000);
			all[i].delay_ms =
				(clock_ms_t)check_random_below(&random, 400);
		}
		for (step = 1; step < MODEL_STEPS; step++) {
			clock_ms_t now_ms = (clock_ms_t)step * MODEL_STEP_MS;
			uint32_t counted = 0;

			for (i = 0; i < MODEL_PROXIES; i++) {
				model_proxy_t *proxy = &all[i];

				if (proxy->cut && now_ms >= proxy->restart_ms) {
					proxy->cut = false;
					proxy->seen_ms = 0;
				}
				model_step(all, proxy, now_ms);
				counted += proxy->held + proxy->stale;
			}
			if (counted > most)
				most = counted;
			last = counted;
			/* In the last 18 s nothing happens. */
			i = check_random_below(&random, MODEL_PROXIES);
			if (now_ms < 5000 || step > MODEL_STEPS - 360 ||
			    now_ms < next_fault_ms[all[i].domain])
				continue;
			next_fault_ms[all[i].domain] =
				now_ms + 100 +
				(clock_ms_t)check_random_below(&random, 3000);
			model_fault(&all[i], check_random_below(&random, 4),
				    now_ms,
				    200 + (clock_ms_t)check_random_below(
						  &random, 9000));
		}
		CHECK_SEED(most <= MODEL_MAX, seed);
		/* Each domain has its part again. */
		CHECK_SEED(last >= 33, seed);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "needed", test_needed },
		{ "owners", test_owners },
		{ "parts", test_parts },
		{ "share", test_share },
		{ "queue", test_queue },
		{ "frames", test_frames },
		{ "malformed_frames", test_malformed_frames },
		{ "random_frames", test_random_frames },
		{ "model", test_model },
	};

	return check_main("relay", cases, sizeof(cases) / sizeof(cases[0]));
}
