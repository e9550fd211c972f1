#include "check.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libqueue/queue.h"

/* Guards against a latency objective that counts from the wrong attempt: from
 * the retry of an operation, or from the first attempt of an earlier one. */
static void test_operation(void)
{
	static const struct {
		const char *name;
		uint64_t statement_hash;
		bool refused;
		clock_ms_t after_ms;
		clock_ms_t begun_ms;
	} rows[] = {
		{ "repeated", 7, true, 80, 1000 },
		{ "another operation", 8, true, 80, 1180 },
		{ "same statement after the retry window", 7, true,
		  QUEUE_RETRY_WINDOW_MS + 1, 1101 + QUEUE_RETRY_WINDOW_MS },
		{ "same statement after a success", 7, false, 80, 1180 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		queue_operation_t operation = { 0 };

		queue_operation_begin(&operation, 7, 1000);
		CU_ASSERT(operation.begun_ms == 1000);
		if (rows[i].refused)
			queue_operation_refused(&operation, 1100);
		queue_operation_begin(&operation, rows[i].statement_hash,
				      1100 + rows[i].after_ms);
		CHECK_ROW(operation.begun_ms == rows[i].begun_ms, rows[i].name);
	}
}

/* Guards against an order in which operations that have missed their objective
 * delay others, or in which the priority or the arrival is ignored. */
static void test_order(void)
{
	static const struct {
		const char *name;
		queue_entry_t entry;
		queue_entry_t other;
		bool before;
	} rows[] = {
		{ "arrival",
		  { 2, 1000, 1000, 400 },
		  { 2, 900, 900, 400 },
		  false },
		{ "priority",
		  { 1, 1000, 1000, 200 },
		  { 2, 900, 900, 400 },
		  true },
		{ "late", { 1, 700, 1000, 200 }, { 2, 900, 900, 400 }, false },
		{ "the other is late",
		  { 2, 1000, 1000, 400 },
		  { 1, 700, 950, 200 },
		  true },
		{ "both late",
		  { 1, 100, 1000, 200 },
		  { 2, 100, 900, 400 },
		  true },
		{ "no objective",
		  { 2, 0, 1000, 0 },
		  { 2, 100, 900, 400 },
		  true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(queue_goes_before(&rows[i].entry, &rows[i].other,
					    1000) == rows[i].before,
			  rows[i].name);
}

/* Guards against waits that leave no time for the statement itself, and against
 * a queue that persists while the targets do not keep up. */
static void test_wait(void)
{
	static const struct {
		const char *name;
		queue_entry_t entry;
		queue_busy_period_t busy_period;
		clock_ms_t wait_ms;
	} rows[] = {
		{ "first wait", { 2, 1000, 1000, 400, 1000 }, { 0, 0 }, 300 },
		{ "burst", { 2, 1000, 1000, 400, 1000 }, { 701, 990 }, 300 },
		{ "overload", { 2, 1000, 1000, 400, 1000 }, { 700, 990 }, 0 },
		{ "busy period is over",
		  { 2, 1000, 1000, 400, 1000 },
		  { 100, 800 },
		  300 },
		{ "late",
		  { 2, 500, 1000, 400, 1000 },
		  { 0, 0 },
		  QUEUE_WAIT_DEFAULT_MS },
		{ "limit below the objective",
		  { 2, 1000, 1000, 400, 150 },
		  { 0, 0 },
		  150 },
		{ "no objective",
		  { 2, 1000, 1000, 0, 1000 },
		  { 0, 0 },
		  QUEUE_WAIT_DEFAULT_MS },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		queue_busy_period_t busy_period = rows[i].busy_period;
		const queue_usage_t usage = { 0 };

		CHECK_ROW(queue_wait_ms(&busy_period, &usage, &rows[i].entry, 0,
					1000) == rows[i].wait_ms,
			  rows[i].name);
		CHECK_ROW(busy_period.last_wait_ms == 1000, rows[i].name);
	}
}

/* Guards against urgent operations that are refused with all others during
 * overload, against urgent operations that leave nothing to others, and against
 * a wait that is expected to be in vain. */
static void test_urgent(void)
{
	static const struct {
		const char *name;
		/* Time for which operations of each priority have held
		 * connections. */
		clock_ms_t held_ms[QUEUE_PRIORITIES];
		uint32_t priority;
		uint32_t ahead;
		clock_ms_t wait_ms;
	} rows[] = {
		{ "nothing measured", { 0, 0, 0, 0 }, 0, 0, 0 },
		{ "urgent", { 30, 0, 70, 0 }, 0, 0, 300 },
		{ "the urgent ones take most", { 60, 0, 40, 0 }, 0, 0, 0 },
		{ "more urgent ones take most", { 40, 20, 40, 0 }, 1, 0, 0 },
		{ "least urgent", { 10, 20, 0, 70 }, 9, 0, 0 },
		{ "would wait for too long", { 30, 0, 70, 0 }, 0, 40, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const queue_entry_t entry = { rows[i].priority, 1000, 1000, 400,
					      1000 };
		queue_busy_period_t busy_period = { 700, 990 };
		queue_usage_t usage = { 0 };
		uint32_t priority;

		for (priority = 0; priority < QUEUE_PRIORITIES; priority++)
			queue_usage_note(&usage, priority,
					 rows[i].held_ms[priority], 1000);
		CHECK_ROW(queue_wait_ms(&busy_period, &usage, &entry,
					queue_expected_wait_ms(
						&usage, rows[i].ahead, 2),
					1000) == rows[i].wait_ms,
			  rows[i].name);
	}
}

/*
 * A model of callers, proxies and one primary, in steps of 1 ms. Each proxy
 * queues operations until one of its connections is free. The primary has a
 * limited number of slots and runs operations in the order of their arrival.
 */
#define PROXIES 5
/* Connections of each proxy. */
#define CONNECTIONS 4
#define OPERATIONS_MAX 40000
#define DURATION_MS 20000
#define ATTEMPTS_MAX 3
/* Mean time for which a transaction holds its connection after its statement.
 */
#define TRANSACTION_PAUSE_MS 150

typedef enum {
	/* In the order of priority and arrival, an operation waits for up to
	 * its whole objective. */
	POLICY_WHOLE_OBJECTIVE,
	/* In the same order, an operation is refused unless a connection is
	 * free. */
	POLICY_NO_QUEUE,
	/* The order and the waits of libqueue. */
	POLICY_UNDER_TEST,
	POLICY_COUNT,
} policy_t;

static const char *const policy_names[POLICY_COUNT] = {
	"wait for the whole objective",
	"no queue",
	"libqueue",
};

typedef struct {
	double rate_per_s;
	/* Mean service time at the primary. */
	double work_ms;
	/* Part of the operations that are transactions, whose connection stays
	 * in use while their callers pause. */
	double transaction_ratio;
	clock_ms_t objective_ms;
	uint32_t priority;
	/* Value of an answer within the objective, and of a later one. */
	double value;
	double late_value;
} class_t;

/* The three kinds of request of the workload that the proxy is built for, in
 * its proportions. The rates are a third of its rates, the load of one service.
 */
static const class_t classes[] = {
	{ 22.6, 8.0 * 1.8, 0.4, 200, 1, 2.0, 0.6 },
	{ 22.6, 40.0, 0.1, 600, 2, 1.0, 0.3 },
	{ 105.0, 24.0 * 1.3, 0.12, 400, 2, 2.0, 0.3 },
};

#define CLASSES (sizeof(classes) / sizeof(classes[0]))

typedef enum {
	STATE_ABSENT,
	STATE_WAITING,
	STATE_AT_TARGET,
	/* Refused; the caller will retry. */
	STATE_RETRY_DELAY,
	/* A transaction that holds its connection after its statement. */
	STATE_HOLDING,
	STATE_OVER,
} state_t;

typedef struct {
	state_t state;
	uint32_t class;
	uint32_t proxy;
	uint32_t attempts;
	queue_operation_t operation;
	clock_ms_t arrived_ms;
	/* Since when the operation holds its connection. */
	clock_ms_t held_since_ms;
	/* Time at which the current state or the work ends. */
	clock_ms_t until_ms;
	double work_ms;
	bool running;
} operation_t;

typedef struct {
	operation_t operations[OPERATIONS_MAX];
	uint32_t count;
	uint32_t first_unfinished;
	uint32_t queued[PROXIES];
	uint32_t in_flight[PROXIES];
	queue_busy_period_t busy_period[PROXIES];
	queue_usage_t usage[PROXIES];
	/* Operations at the target that wait for a slot, in the order of their
	 * arrival. */
	uint32_t target_queue[PROXIES * CONNECTIONS];
	uint32_t target_count;
	uint32_t running;
	uint32_t slots;
	policy_t policy;
	check_random_t random;
	double earned_value;
	double offered_value;
	double earned_value_by_class[CLASSES];
	double offered_value_by_class[CLASSES];
} model_t;

static double uniform(model_t *model)
{
	return (double)check_random_below(&model->random, 1000000) / 1e6;
}

static queue_entry_t entry_of(const operation_t *operation)
{
	const class_t *class = &classes[operation->class];

	return (queue_entry_t){ class->priority, operation->operation.begun_ms,
				operation->arrived_ms, class->objective_ms,
				1000 };
}

static bool goes_before(const model_t *model, const operation_t *operation,
			const operation_t *other, clock_ms_t now_ms)
{
	const queue_entry_t entry = entry_of(operation);
	const queue_entry_t other_entry = entry_of(other);

	if (model->policy != POLICY_UNDER_TEST)
		return entry.priority < other_entry.priority ||
		       (entry.priority == other_entry.priority &&
			entry.arrived_ms < other_entry.arrived_ms);
	if (queue_goes_before(&entry, &other_entry, now_ms))
		return true;
	return !queue_goes_before(&other_entry, &entry, now_ms) &&
	       entry.arrived_ms < other_entry.arrived_ms;
}

static clock_ms_t wait_of(model_t *model, const operation_t *operation,
			  clock_ms_t now_ms)
{
	const queue_entry_t entry = entry_of(operation);
	uint32_t ahead = 0;
	uint32_t i;

	switch (model->policy) {
	case POLICY_WHOLE_OBJECTIVE:
		return entry.objective_ms;
	case POLICY_NO_QUEUE:
		return 0;
	default:
		break;
	}
	for (i = model->first_unfinished; i < model->count; i++) {
		const operation_t *other = &model->operations[i];

		if (other != operation && other->state == STATE_WAITING &&
		    other->proxy == operation->proxy &&
		    !goes_before(model, operation, other, now_ms))
			ahead++;
	}
	return queue_wait_ms(
		&model->busy_period[operation->proxy],
		&model->usage[operation->proxy], &entry,
		queue_expected_wait_ms(&model->usage[operation->proxy], ahead,
				       CONNECTIONS),
		now_ms);
}

static void arrive(model_t *model, operation_t *operation, clock_ms_t now_ms)
{
	queue_operation_begin(&operation->operation,
			      (uint64_t)(operation - model->operations),
			      now_ms);
	operation->arrived_ms = now_ms;
	operation->attempts++;
	operation->state = STATE_WAITING;
	operation->until_ms = now_ms;
	/* An operation that finds a free connection does not wait. */
	if (model->queued[operation->proxy]++ > 0 ||
	    model->in_flight[operation->proxy] == CONNECTIONS)
		operation->until_ms += wait_of(model, operation, now_ms);
}

/* Refuses an attempt. The caller retries twice, 25 to 80 ms after the first
 * refusal and 50 to 200 ms after the second, as real callers do. */
static void refuse(model_t *model, operation_t *operation, clock_ms_t now_ms)
{
	double least_ms = operation->attempts == 1 ? 25.0 : 50.0;
	double range_ms = operation->attempts == 1 ? 55.0 : 150.0;

	model->queued[operation->proxy]--;
	queue_operation_refused(&operation->operation, now_ms);
	operation->state = operation->attempts < ATTEMPTS_MAX
				   ? STATE_RETRY_DELAY
				   : STATE_OVER;
	operation->until_ms =
		now_ms + (clock_ms_t)(least_ms + range_ms * uniform(model));
}

static void release_connection(model_t *model, operation_t *operation,
			       clock_ms_t now_ms)
{
	queue_usage_note(&model->usage[operation->proxy],
			 entry_of(operation).priority,
			 now_ms - operation->held_since_ms, now_ms);
	model->in_flight[operation->proxy]--;
	operation->state = STATE_OVER;
}

static void finish(model_t *model, operation_t *operation, clock_ms_t now_ms)
{
	const class_t *class = &classes[operation->class];
	/* Counted from the first attempt of the operation. */
	clock_ms_t taken_ms = now_ms - operation->operation.begun_ms;
	double value = taken_ms <= class->objective_ms ? class->value
						       : class->late_value;

	model->running--;
	if (uniform(model) < class->transaction_ratio) {
		operation->state = STATE_HOLDING;
		operation->until_ms =
			now_ms +
			(clock_ms_t)(2 * TRANSACTION_PAUSE_MS * uniform(model));
	} else {
		release_connection(model, operation, now_ms);
	}
	model->earned_value += value;
	model->earned_value_by_class[operation->class] += value;
}

static operation_t *next_waiting(model_t *model, uint32_t proxy,
				 clock_ms_t now_ms)
{
	operation_t *found = NULL;
	uint32_t i;

	for (i = model->first_unfinished; i < model->count; i++) {
		operation_t *operation = &model->operations[i];

		if (operation->state == STATE_WAITING &&
		    operation->proxy == proxy &&
		    (!found || goes_before(model, operation, found, now_ms)))
			found = operation;
	}
	return found;
}

static void dispatch(model_t *model, clock_ms_t now_ms)
{
	operation_t *operation;
	uint32_t proxy;

	for (proxy = 0; proxy < PROXIES; proxy++) {
		while (model->queued[proxy] > 0 &&
		       model->in_flight[proxy] < CONNECTIONS) {
			operation = next_waiting(model, proxy, now_ms);
			operation->state = STATE_AT_TARGET;
			operation->running = false;
			operation->held_since_ms = now_ms;
			model->queued[proxy]--;
			model->in_flight[proxy]++;
			model->target_queue[model->target_count++] =
				(uint32_t)(operation - model->operations);
		}
	}
	while (model->running < model->slots && model->target_count > 0) {
		operation = &model->operations[model->target_queue[0]];
		memmove(model->target_queue, model->target_queue + 1,
			--model->target_count * sizeof(uint32_t));
		operation->running = true;
		operation->until_ms = now_ms + (clock_ms_t)operation->work_ms;
		model->running++;
	}
}

static void step(model_t *model, clock_ms_t now_ms)
{
	uint32_t i;

	for (i = model->first_unfinished; i < model->count; i++) {
		operation_t *operation = &model->operations[i];

		if (operation->state == STATE_OVER &&
		    i == model->first_unfinished)
			model->first_unfinished++;
		if (operation->state == STATE_AT_TARGET && operation->running &&
		    now_ms >= operation->until_ms)
			finish(model, operation, now_ms);
		else if (operation->state == STATE_HOLDING &&
			 now_ms >= operation->until_ms)
			release_connection(model, operation, now_ms);
		else if (operation->state == STATE_RETRY_DELAY &&
			 now_ms >= operation->until_ms)
			arrive(model, operation, now_ms);
	}
	dispatch(model, now_ms);
	for (i = model->first_unfinished; i < model->count; i++) {
		operation_t *operation = &model->operations[i];

		if (operation->state == STATE_WAITING &&
		    now_ms >= operation->until_ms)
			refuse(model, operation, now_ms);
	}
}

static void add_arrivals(model_t *model, double load, clock_ms_t now_ms)
{
	size_t class;

	for (class = 0; class < CLASSES; class ++) {
		operation_t *operation = &model->operations[model->count];

		if (uniform(model) >= classes[class].rate_per_s * load / 1000.0)
			continue;
		if (model->count + 1 == OPERATIONS_MAX)
			return;
		model->count++;
		operation->class = (uint32_t) class;
		operation->proxy =
			(uint32_t)check_random_below(&model->random, PROXIES);
		/* Service times are exponentially distributed, which has the
		 * longest tail of the plausible distributions. */
		operation->work_ms = 1.0 - classes[class].work_ms *
						   log(1.0 - uniform(model));
		model->offered_value += classes[class].value;
		model->offered_value_by_class[class] += classes[class].value;
		arrive(model, operation, now_ms);
	}
}

/* Returns the load of which the slots run each ms, for a load of 1. */
static double capacity(uint32_t slots)
{
	double work = 0.0;
	size_t class;

	for (class = 0; class < CLASSES; class ++)
		work += classes[class].rate_per_s * classes[class].work_ms /
			1000.0;
	return slots / work;
}

/* Simulates the load of one service whose replicas all lag too much, so that
 * its primary runs all operations. load is the offered load as a multiple of
 * the capacity of its slots. */
static void simulate(model_t *model, policy_t policy, uint32_t slots,
		     double load, uint64_t seed)
{
	clock_ms_t now_ms;

	memset(model, 0, sizeof(*model));
	model->policy = policy;
	model->slots = slots;
	model->random = check_random(seed);
	for (now_ms = 1000; now_ms < 1000 + DURATION_MS; now_ms++) {
		add_arrivals(model, load * capacity(slots), now_ms);
		step(model, now_ms);
	}
}

/* Guards against a queue that stays long after a burst and the retries of its
 * callers have ended, so that later operations still wait: a second after the
 * burst nothing waits, and operations meet their objectives again. */
static void test_end_of_burst(void)
{
	const clock_ms_t burst_ms = 4000;
	model_t *model = check_allocate(sizeof(*model));
	uint64_t seeds = check_seeds(8);
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++) {
		uint32_t queued = 0;
		clock_ms_t now_ms;
		size_t proxy;

		memset(model, 0, sizeof(*model));
		model->policy = POLICY_UNDER_TEST;
		model->slots = 3;
		model->random = check_random(seed);
		for (now_ms = 1000; now_ms < 12000; now_ms++) {
			bool burst = now_ms < 1000 + burst_ms;

			add_arrivals(model, (burst ? 3.0 : 0.5) * capacity(3),
				     now_ms);
			step(model, now_ms);
			if (now_ms != 2000 + burst_ms)
				continue;
			for (proxy = 0; proxy < PROXIES; proxy++)
				queued += model->queued[proxy];
			model->earned_value = 0.0;
			model->offered_value = 0.0;
		}
		CHECK_SEED(queued == 0, seed);
		CHECK_SEED(model->earned_value >= 0.98 * model->offered_value,
			   seed);
	}
	free(model);
}

/* Guards against an order or waits in libqueue that give callers less value
 * than the two simple policies when a target is offered more work than it can
 * run. */
static void test_load(void)
{
	static const double loads[] = { 0.7, 1.0, 1.3, 1.9, 3.0 };
	static const uint32_t slots[] = { 3, 5 };
	model_t *model = check_allocate(sizeof(*model));
	uint64_t seeds = check_seeds(4);
	size_t row;

	for (row = 0; row < 2 * sizeof(loads) / sizeof(loads[0]); row++) {
		double load = loads[row / 2];
		double share[POLICY_COUNT] = { 0.0 };
		double worst_class[POLICY_COUNT] = { 0.0 };
		uint64_t seed;
		int policy;

		for (policy = 0; policy < POLICY_COUNT; policy++) {
			for (seed = 1; seed <= seeds; seed++) {
				double least = 1.0;
				size_t class;

				simulate(model, (policy_t)policy,
					 slots[row % 2], load, seed);
				share[policy] += model->earned_value /
						 model->offered_value /
						 (double)seeds;
				for (class = 0; class < CLASSES; class ++)
					least = fmin(
						least,
						model->earned_value_by_class
								[class
					] / model->offered_value_by_class
								[class]);
				worst_class[policy] += least / (double)seeds;
			}
			printf("load %.1f, %u slots, %s: value %.3f, worst "
			       "class %.3f\n",
			       load, slots[row % 2], policy_names[policy],
			       share[policy], worst_class[policy]);
		}
		for (policy = 0; policy < POLICY_UNDER_TEST; policy++)
			CHECK_SEED(share[POLICY_UNDER_TEST] >=
					   share[policy] - 0.01,
				   row);
		/* The kinds that are refused first still get their share. */
		CHECK_SEED(worst_class[POLICY_UNDER_TEST] >=
				   worst_class[POLICY_NO_QUEUE] - 0.05,
			   row);
		if (load > 1.2)
			CHECK_SEED(share[POLICY_UNDER_TEST] >
					   share[POLICY_WHOLE_OBJECTIVE] + 0.05,
				   row);
	}
	free(model);
}

/* Guards against a wait for a new connection that is longer than a wait in a
 * burst may be. */
static void test_opening(void)
{
	static const struct {
		const char *name;
		queue_entry_t entry;
		clock_ms_t wait_ms;
	} rows[] = {
		{ "objective", { 1, 1000, 1000, 400, 1000 }, 300 },
		{ "objective of a retry", { 1, 700, 1000, 400, 1000 }, 300 },
		{ "late", { 1, 600, 1000, 400, 1000 }, QUEUE_WAIT_DEFAULT_MS },
		{ "no objective",
		  { 1, 1000, 1000, 0, 1000 },
		  QUEUE_WAIT_DEFAULT_MS },
		{ "timeout", { 1, 1000, 1000, 400, 200 }, 200 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(queue_opening_wait_ms(&rows[i].entry) ==
				  rows[i].wait_ms,
			  rows[i].name);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "operation", test_operation },
		{ "order", test_order },
		{ "wait", test_wait },
		{ "urgent", test_urgent },
		{ "load", test_load },
		{ "end_of_burst", test_end_of_burst },
		{ "opening", test_opening },
	};

	return check_main("queue", cases, sizeof(cases) / sizeof(cases[0]));
}
