#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libadmission/admission.h"
#include "libretry/retry.h"

/*
 * A model of callers, of entry proxies with a retry budget, and of targets
 * whose owners run admission control, in steps of 1 ms of a manual clock. The
 * callers send statements at a fixed rate, whatever answers they get.
 */

#define WARM_MS 2000
#define KILL_MS 7000
#define END_MS 12000
/* Membership declares a killed proxy dead after about 2 s. Until then, the
 * entry proxies still send statements to it. */
#define DETECT_MS 2000
#define STATEMENTS_MAX 600000
#define TARGETS_MAX 4
#define STREAMS_MAX 2
#define SLOTS_MAX 5
#define SERVICE_MS 10
#define NONE UINT32_MAX

typedef enum {
	CONTROL_ADMISSION,
	/* The alternatives that admission control is compared with: one queue
	 * for all statements, in three orders. Deadlines are checked when a
	 * statement enters the queue and while it waits. */
	CONTROL_FIFO,
	CONTROL_LIFO,
	CONTROL_EARLIEST_DEADLINE,
	/* An unbounded FIFO queue without deadline checks. Callers that get no
	 * answer in time retry without limit. */
	CONTROL_NONE,
} control_t;

/* Statements of one flow and class that arrive at a rate. */
typedef struct {
	uint32_t flow;
	admission_class_t class;
	uint32_t per_second;
	clock_ms_t timeout_min_ms;
	clock_ms_t timeout_max_ms;
} stream_t;

typedef struct {
	control_t control;
	uint32_t targets;
	uint32_t slots;
	uint32_t reserved_slots;
	/* Measure only from KILL_MS on, with or without a kill. */
	bool measure_after_kill;
	bool kill;
	stream_t streams[STREAMS_MAX];
} scenario_t;

/* Counts of one stream over the measured time. */
typedef struct {
	/* Statements that arrived, without retries. */
	uint64_t new_statements;
	uint64_t attempts;
	/* Statements that ended by their deadlines, and those that ended later.
	 */
	uint64_t done;
	uint64_t late;
	/* Statements that were refused after they had been queued. */
	uint64_t expired;
	/* Sum of the latencies of the statements that are done. */
	uint64_t latency_ms;
} stats_t;

typedef struct {
	uint32_t stream;
	uint32_t target;
	clock_ms_t sent_ms;
	clock_ms_t deadline_ms;
	clock_ms_t end_ms;
	uint32_t attempts;
	bool active;
	uint32_t next_timer;
} statement_t;

/* A target and the proxy that owns it. */
typedef struct {
	/* NULL if a simple queue is used instead. */
	admission_t *admission;
	/* The simple queue; its first entry moves through the buffer. */
	uint32_t *queue;
	uint32_t *buffer;
	uint32_t queued;
	uint32_t running[SLOTS_MAX];
	uint32_t running_count;
	bool dead;
} node_t;

typedef struct {
	const scenario_t *scenario;
	clock_source_t clock;
	check_random_t random;
	retry_budget_t *budget;
	node_t nodes[TARGETS_MAX];
	statement_t *statements;
	uint32_t free_count;
	uint32_t *free_list;
	uint32_t *timers;
	stats_t stats[STREAMS_MAX];
} model_t;

static const retry_options_t retry_options = {
	.ratio_permille = 100,
	.burst = 20,
	.backoff_min_ms = 10,
	.backoff_max_ms = 100,
	.attempts_max = 4,
};

static const stream_t *stream_of(const model_t *model, uint32_t id)
{
	return &model->scenario->streams[model->statements[id].stream];
}

static clock_ms_t measure_start_ms(const scenario_t *scenario)
{
	return scenario->measure_after_kill ? KILL_MS : WARM_MS;
}

/* Returns where to count a statement. A statement that was sent before the
 * measured time is counted in statistics that are not used. */
static stats_t *stats_of(model_t *model, uint32_t id)
{
	static stats_t unused;
	const statement_t *statement = &model->statements[id];

	return statement->sent_ms >= measure_start_ms(model->scenario)
		       ? &model->stats[statement->stream]
		       : &unused;
}

static void set_timer(model_t *model, uint32_t id, clock_ms_t at_ms)
{
	if (at_ms >= END_MS)
		return;
	model->statements[id].next_timer = model->timers[at_ms];
	model->timers[at_ms] = id;
}

static void free_statement(model_t *model, uint32_t id)
{
	model->statements[id].active = false;
	model->free_list[model->free_count++] = id;
}

static void end_attempt(model_t *model, uint32_t id, retry_attempt_t attempt)
{
	statement_t *statement = &model->statements[id];
	clock_ms_t now_ms = clock_source_now(&model->clock);
	retry_input_t input = {
		.attempt = attempt,
		.read = stream_of(model, id)->class == ADMISSION_CLASS_READ,
		.now_ms = now_ms,
		.deadline_ms = statement->deadline_ms,
		.attempts = statement->attempts,
	};
	retry_decision_t decision = retry_classify(
		&retry_options, &input, check_random_next(&model->random));

	statement->target = NONE;
	if (decision.again && retry_budget_take(model->budget) == RETRY_OK)
		set_timer(model, id, now_ms + decision.wait_ms + 1);
	else
		free_statement(model, id);
}

/* Returns a random service time: 1 to 13 ms for nine of ten statements and 37
 * ms for one of ten, which is 10 ms on average. */
static clock_ms_t service_time(model_t *model)
{
	if (check_random_below(&model->random, 10) == 0)
		return 37;
	return 1 + (clock_ms_t)check_random_below(&model->random, 13);
}

static void start(model_t *model, node_t *node, uint32_t id)
{
	model->statements[id].end_ms =
		clock_source_now(&model->clock) + service_time(model);
	node->running[node->running_count++] = id;
}

/* Returns the expected time until the last of count statements in a simple
 * queue has ended. */
static clock_ms_t simple_queue_latency_ms(const model_t *model, uint32_t count)
{
	return (clock_ms_t)count * SERVICE_MS / model->scenario->slots +
	       SERVICE_MS;
}

static uint32_t simple_queue_pick(const model_t *model, const node_t *node)
{
	uint32_t best = 0;
	uint32_t i;

	if (model->scenario->control == CONTROL_LIFO)
		return node->queued - 1;
	if (model->scenario->control != CONTROL_EARLIEST_DEADLINE)
		return 0;
	for (i = 1; i < node->queued; i++) {
		if (model->statements[node->queue[i]].deadline_ms <
		    model->statements[node->queue[best]].deadline_ms)
			best = i;
	}
	return best;
}

static uint32_t simple_queue_take(node_t *node, uint32_t index)
{
	uint32_t id = node->queue[index];

	node->queued--;
	if (index == 0) {
		node->queue++;
		return id;
	}
	memmove(&node->queue[index], &node->queue[index + 1],
		(node->queued - index) * sizeof(node->queue[0]));
	return id;
}

static void simple_queue_dispatch(model_t *model, node_t *node)
{
	clock_ms_t due_ms = clock_source_now(&model->clock) + SERVICE_MS;
	uint32_t i = 0;

	while (model->scenario->control != CONTROL_NONE && i < node->queued) {
		if (model->statements[node->queue[i]].deadline_ms >= due_ms) {
			i++;
			continue;
		}
		stats_of(model, node->queue[i])->expired++;
		end_attempt(model, simple_queue_take(node, i),
			    RETRY_ATTEMPT_REFUSED);
	}
	while (node->queued > 0 && node->running_count < model->scenario->slots)
		start(model, node,
		      simple_queue_take(node, simple_queue_pick(model, node)));
}

static void simple_queue_offer(model_t *model, node_t *node, uint32_t id)
{
	clock_ms_t end_ms = clock_source_now(&model->clock) +
			    simple_queue_latency_ms(model, node->queued + 1);

	if (model->scenario->control != CONTROL_NONE &&
	    node->running_count == model->scenario->slots &&
	    end_ms > model->statements[id].deadline_ms) {
		end_attempt(model, id, RETRY_ATTEMPT_REFUSED);
		return;
	}
	node->queue[node->queued++] = id;
	simple_queue_dispatch(model, node);
}

static void admission_run(model_t *model, node_t *node)
{
	admission_action_t actions[8];
	size_t count;
	size_t i;

	do {
		count = admission_dispatch(node->admission,
					   clock_source_now(&model->clock),
					   actions, 8);
		for (i = 0; i < count; i++) {
			uint32_t id = (uint32_t)actions[i].id;

			if (actions[i].kind == ADMISSION_ACTION_ADMIT) {
				start(model, node, id);
				continue;
			}
			stats_of(model, id)->expired++;
			end_attempt(model, id, RETRY_ATTEMPT_REFUSED);
		}
	} while (count == 8);
}

static void offer_statement(model_t *model, node_t *node, uint32_t id)
{
	const stream_t *stream = stream_of(model, id);
	admission_request_t request = {
		.id = id,
		.flow = stream->flow,
		.class = stream->class,
		.deadline_ms = model->statements[id].deadline_ms,
	};
	admission_action_t action = admission_offer(
		node->admission, &request, clock_source_now(&model->clock));

	if (action.kind == ADMISSION_ACTION_ADMIT)
		start(model, node, id);
	else if (action.kind == ADMISSION_ACTION_REFUSE)
		end_attempt(model, id, RETRY_ATTEMPT_REFUSED);
}

/* Sends a statement to a random target, as the load balancer and the order of
 * the candidates would. A killed target is left out once it is declared dead.
 */
static void send_statement(model_t *model, uint32_t id)
{
	const scenario_t *scenario = model->scenario;
	statement_t *statement = &model->statements[id];
	clock_ms_t now_ms = clock_source_now(&model->clock);
	uint32_t skip = scenario->kill && now_ms >= KILL_MS + DETECT_MS;
	node_t *node;

	statement->target =
		skip + (uint32_t)check_random_below(&model->random,
						    scenario->targets - skip);
	statement->attempts++;
	stats_of(model, id)->attempts++;
	node = &model->nodes[statement->target];
	if (node->dead)
		end_attempt(model, id, RETRY_ATTEMPT_NOT_SENT);
	else if (scenario->control == CONTROL_ADMISSION)
		offer_statement(model, node, id);
	else
		simple_queue_offer(model, node, id);
}

static uint32_t create_statement(model_t *model, uint32_t stream)
{
	const stream_t *source = &model->scenario->streams[stream];
	clock_ms_t now_ms = clock_source_now(&model->clock);
	uint32_t id;

	if (model->free_count == 0)
		CU_FAIL_FATAL("more statements than the model holds");
	id = model->free_list[--model->free_count];
	model->statements[id] = (statement_t){
		.stream = stream,
		.target = NONE,
		.sent_ms = now_ms,
		.deadline_ms = now_ms + source->timeout_min_ms +
			       (clock_ms_t)check_random_below(
				       &model->random,
				       (uint64_t)(source->timeout_max_ms -
						  source->timeout_min_ms + 1)),
		.active = true,
	};
	if (model->scenario->control == CONTROL_NONE)
		set_timer(model, id, model->statements[id].deadline_ms);
	return id;
}

/* Runs the timers that end now. A timer is the backoff delay of a retry. With
 * CONTROL_NONE it is the caller's timeout, after which the caller sends the
 * statement again. */
static void run_timers(model_t *model)
{
	uint32_t id = model->timers[clock_source_now(&model->clock)];

	while (id != NONE) {
		uint32_t next = model->statements[id].next_timer;

		if (model->scenario->control != CONTROL_NONE)
			send_statement(model, id);
		else if (model->statements[id].active)
			send_statement(
				model,
				create_statement(model,
						 model->statements[id].stream));
		id = next;
	}
}

static void finish(model_t *model, node_t *node, uint32_t index)
{
	uint32_t id = node->running[index];
	statement_t *statement = &model->statements[id];
	clock_ms_t now_ms = clock_source_now(&model->clock);

	node->running[index] = node->running[--node->running_count];
	if (node->admission)
		admission_release(node->admission, id, now_ms);
	if (now_ms <= statement->deadline_ms) {
		retry_budget_success(model->budget);
		stats_of(model, id)->done++;
		stats_of(model, id)->latency_ms +=
			(uint64_t)(now_ms - statement->sent_ms);
	} else {
		stats_of(model, id)->late++;
	}
	/* With CONTROL_NONE the number is not used again, because the timer of
	 * the statement may still be set. */
	statement->active = false;
	if (model->scenario->control != CONTROL_NONE)
		free_statement(model, id);
}

static void run_node(model_t *model, node_t *node)
{
	uint32_t i = 0;

	while (i < node->running_count) {
		if (model->statements[node->running[i]].end_ms <=
		    clock_source_now(&model->clock))
			finish(model, node, i);
		else
			i++;
	}
	if (node->admission)
		admission_run(model, node);
	else
		simple_queue_dispatch(model, node);
}

/* Adds the arrivals of one ms. Ten independent trials in each ms approximate a
 * Poisson process. */
static void add_arrivals(model_t *model, uint32_t stream)
{
	uint32_t per_second = model->scenario->streams[stream].per_second;
	int chance;

	for (chance = 0; chance < 10; chance++) {
		uint32_t id;

		if (check_random_below(&model->random, 10000) >= per_second)
			continue;
		id = create_statement(model, stream);
		stats_of(model, id)->new_statements++;
		send_statement(model, id);
	}
}

/* Kills the first proxy with its queue; its callers get no answer. */
static void kill_node(model_t *model)
{
	uint32_t id;

	model->nodes[0].dead = true;
	model->nodes[0].running_count = 0;
	for (id = 0; id < STATEMENTS_MAX; id++) {
		if (model->statements[id].active &&
		    model->statements[id].target == 0)
			end_attempt(model, id, RETRY_ATTEMPT_NO_ANSWER);
	}
}

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (!memory)
		abort();
	return memory;
}

static void model_init(model_t *model, const scenario_t *scenario,
		       uint64_t seed)
{
	admission_options_t options = {
		.slots = scenario->slots,
		.reserved_slots = scenario->reserved_slots,
		.transactions_max = 4,
		.queue_max = 1000,
		.initial_service_ms = SERVICE_MS,
	};
	uint32_t i;

	model->scenario = scenario;
	model->clock = clock_source_manual(0);
	model->random = check_random(seed);
	model->budget = retry_budget_new(&retry_options);
	model->statements = allocate(STATEMENTS_MAX, sizeof(statement_t));
	model->free_list = allocate(STATEMENTS_MAX, sizeof(uint32_t));
	model->timers = allocate(END_MS, sizeof(uint32_t));
	for (i = 0; i < STATEMENTS_MAX; i++)
		model->free_list[model->free_count++] = i;
	memset(model->timers, 0xff, END_MS * sizeof(uint32_t));
	for (i = 0; i < scenario->targets; i++) {
		if (scenario->control == CONTROL_ADMISSION)
			model->nodes[i].admission = admission_new(&options);
		else
			model->nodes[i].buffer =
				allocate(STATEMENTS_MAX, sizeof(uint32_t));
		model->nodes[i].queue = model->nodes[i].buffer;
	}
}

static void model_free(model_t *model)
{
	uint32_t i;

	for (i = 0; i < TARGETS_MAX; i++) {
		admission_free(model->nodes[i].admission);
		free(model->nodes[i].buffer);
	}
	retry_budget_free(model->budget);
	free(model->statements);
	free(model->free_list);
	free(model->timers);
}

static void run_seed(const scenario_t *scenario, uint64_t seed,
		     stats_t stats[STREAMS_MAX])
{
	model_t *model = allocate(1, sizeof(*model));
	uint32_t i;

	model_init(model, scenario, seed);
	while (clock_source_now(&model->clock) < END_MS) {
		if (scenario->kill &&
		    clock_source_now(&model->clock) == KILL_MS)
			kill_node(model);
		for (i = 0; i < scenario->targets; i++) {
			if (!model->nodes[i].dead)
				run_node(model, &model->nodes[i]);
		}
		run_timers(model);
		for (i = 0; i < STREAMS_MAX; i++)
			add_arrivals(model, i);
		clock_source_advance(&model->clock, 1);
	}
	for (i = 0; i < STREAMS_MAX; i++) {
		stats[i].new_statements += model->stats[i].new_statements;
		stats[i].attempts += model->stats[i].attempts;
		stats[i].done += model->stats[i].done;
		stats[i].late += model->stats[i].late;
		stats[i].expired += model->stats[i].expired;
		stats[i].latency_ms += model->stats[i].latency_ms;
	}
	model_free(model);
	free(model);
}

static uint64_t seeds(void)
{
	return check_seeds(3);
}

/* Runs a scenario with each seed and adds up the statistics of each stream. */
static void run_scenario(const scenario_t *scenario, stats_t stats[STREAMS_MAX])
{
	uint64_t seed;

	memset(stats, 0, STREAMS_MAX * sizeof(*stats));
	for (seed = 1; seed <= seeds(); seed++)
		run_seed(scenario, seed, stats);
}

static const char *control_text(control_t control)
{
	static const char *const texts[] = { "admission", "fifo", "lifo",
					     "earliest deadline", "none" };

	return texts[control];
}

static void print_stats(const char *what, const scenario_t *scenario,
			double load, const stats_t *stats)
{
	double measured_s = (double)seeds() *
			    (double)(END_MS - measure_start_ms(scenario)) /
			    1000;
	double done = stats->done > 0 ? (double)stats->done : 1;

	printf("    %-7s %-17s %u slots load %.1f: new %6.1f attempts "
	       "%6.1f "
	       "done %6.1f late %4.1f expired %5.1f per s, latency %3.0f ms\n",
	       what, control_text(scenario->control), scenario->slots, load,
	       (double)stats->new_statements / measured_s,
	       (double)stats->attempts / measured_s,
	       (double)stats->done / measured_s,
	       (double)stats->late / measured_s,
	       (double)stats->expired / measured_s,
	       (double)stats->latency_ms / done);
}

static double ratio(uint64_t part, uint64_t whole)
{
	return whole > 0 ? (double)part / (double)whole : 0;
}

static const double loads[] = { 0.5, 1, 2, 4 };
#define LOADS 4

typedef struct {
	const char *name;
	uint32_t slots;
	uint32_t reserved_slots;
} target_size_t;

static const target_size_t sizes[] = { { "3 slots", 3, 1 },
				       { "5 slots", 5, 1 } };
#define SIZES 2

static uint32_t capacity(const target_size_t *size)
{
	return size->slots * 1000 / SERVICE_MS;
}

static scenario_t mixed(const target_size_t *size, control_t control,
			double read_load, double write_load)
{
	return (scenario_t){
		.control = control,
		.targets = 1,
		.slots = size->slots,
		.reserved_slots = size->reserved_slots,
		.streams = {
			{ 0, ADMISSION_CLASS_READ,
			  (uint32_t)(read_load * capacity(size)), 50, 500 },
			{ 0, ADMISSION_CLASS_WRITE,
			  (uint32_t)(write_load * capacity(size)), 50, 500 },
		},
	};
}

/* Runs 65 % reads and 35 % writes at a total load and returns the statistics of
 * both together. */
static stats_t run_mixed(const target_size_t *size, control_t control,
			 double load)
{
	scenario_t scenario = mixed(size, control, 0.65 * load, 0.35 * load);
	stats_t parts[STREAMS_MAX];
	stats_t sum;

	run_scenario(&scenario, parts);
	sum = (stats_t){
		.new_statements =
			parts[0].new_statements + parts[1].new_statements,
		.attempts = parts[0].attempts + parts[1].attempts,
		.done = parts[0].done + parts[1].done,
		.late = parts[0].late + parts[1].late,
		.expired = parts[0].expired + parts[1].expired,
		.latency_ms = parts[0].latency_ms + parts[1].latency_ms,
	};
	print_stats(size->name, &scenario, load, &sum);
	return sum;
}

static double measured_time_s(void)
{
	return (double)seeds() * (END_MS - WARM_MS) / 1000;
}

static bool within_budget(const stats_t *stats)
{
	return (double)stats->attempts <=
	       1.1 * (double)stats->new_statements +
		       (double)(retry_options.burst * seeds());
}

/* Guards against goodput that falls under overload, and against retries that
 * multiply the load (R14). Without admission control these checks must fail, as
 * they would otherwise prove nothing. */
static void test_goodput(void)
{
	size_t i;
	size_t j;

	for (i = 0; i < SIZES; i++) {
		stats_t with[LOADS];
		stats_t without[LOADS];

		for (j = 0; j < LOADS; j++) {
			with[j] = run_mixed(&sizes[i], CONTROL_ADMISSION,
					    loads[j]);
			CHECK_ROW(within_budget(&with[j]), sizes[i].name);
			CHECK_ROW(ratio(with[j].late, with[j].done) < 0.05,
				  sizes[i].name);
		}
		CHECK_ROW(ratio(with[0].done, with[0].new_statements) > 0.98,
			  sizes[i].name);
		CHECK_ROW(ratio(with[1].done, with[1].new_statements) > 0.8,
			  sizes[i].name);
		CHECK_ROW(ratio(with[2].done, with[1].done) > 0.9,
			  sizes[i].name);
		CHECK_ROW(ratio(with[3].done, with[1].done) > 0.9,
			  sizes[i].name);
		/* Because of the reserved slot, the goodput at load 1 stays
		 * below the capacity of the slots. The goodput at load 4 is
		 * therefore compared with the capacity as well. */
		CHECK_ROW((double)with[3].done >
				  0.9 * capacity(&sizes[i]) * measured_time_s(),
			  sizes[i].name);
		for (j = 0; j < LOADS; j++)
			without[j] =
				run_mixed(&sizes[i], CONTROL_NONE, loads[j]);
		CHECK_ROW(ratio(without[0].done, without[0].new_statements) >
				  0.98,
			  sizes[i].name);
		CHECK_ROW(ratio(without[3].done, with[1].done) < 0.9,
			  sizes[i].name);
		CHECK_ROW(!within_budget(&without[3]), sizes[i].name);
	}
}

/* Guards against an order of the queue with a lower goodput than one of the
 * alternatives, and against statements that wait and are then refused. */
static void test_order(void)
{
	size_t i;
	int control;

	for (i = 0; i < SIZES; i++) {
		stats_t all[CONTROL_NONE][STREAMS_MAX];

		for (control = 0; control < CONTROL_NONE; control++) {
			scenario_t scenario =
				mixed(&sizes[i], (control_t)control, 4, 0);

			scenario.reserved_slots = 0;
			run_scenario(&scenario, all[control]);
			print_stats("order", &scenario, 4, &all[control][0]);
		}
		for (control = 1; control < CONTROL_NONE; control++)
			CHECK_ROW(ratio(all[0][0].done, all[control][0].done) >
					  0.95,
				  control_text((control_t)control));
		CHECK_ROW(ratio(all[0][0].expired, all[0][0].done) < 0.05,
			  sizes[i].name);
	}
}

/* Guards against a class that starves the other: writes while callers poll with
 * many reads, and reads while there are many writes. */
static void test_classes(void)
{
	stats_t stats[STREAMS_MAX];
	scenario_t scenario;
	size_t i;

	for (i = 0; i < SIZES; i++) {
		scenario = mixed(&sizes[i], CONTROL_ADMISSION, 4, 0.3);
		run_scenario(&scenario, stats);
		print_stats("reads", &scenario, 4, &stats[0]);
		print_stats("writes", &scenario, 0.3, &stats[1]);
		CHECK_ROW(ratio(stats[1].done, stats[1].new_statements) > 0.95,
			  sizes[i].name);
		scenario = mixed(&sizes[i], CONTROL_ADMISSION, 0.2, 4);
		run_scenario(&scenario, stats);
		print_stats("reads", &scenario, 0.2, &stats[0]);
		print_stats("writes", &scenario, 4, &stats[1]);
		CHECK_ROW(ratio(stats[0].done, stats[0].new_statements) > 0.8,
			  sizes[i].name);
		scenario = mixed(&sizes[i], CONTROL_FIFO, 4, 0.3);
		run_scenario(&scenario, stats);
		print_stats("writes", &scenario, 0.3, &stats[1]);
		CHECK_ROW(ratio(stats[1].done, stats[1].new_statements) < 0.95,
			  sizes[i].name);
	}
}

/* Guards against a service that takes the share of another one by offering ten
 * times as many statements. */
static void test_fairness(void)
{
	stats_t stats[STREAMS_MAX];
	size_t i;
	int control;

	for (i = 0; i < SIZES; i++) {
		for (control = CONTROL_ADMISSION; control <= CONTROL_FIFO;
		     control++) {
			scenario_t scenario =
				mixed(&sizes[i], (control_t)control, 0.4, 4);
			bool served;

			scenario.reserved_slots = 0;
			scenario.streams[1].flow = 1;
			scenario.streams[1].class = ADMISSION_CLASS_READ;
			run_scenario(&scenario, stats);
			print_stats("small", &scenario, 0.4, &stats[0]);
			print_stats("large", &scenario, 4, &stats[1]);
			served = ratio(stats[0].done, stats[0].new_statements) >
				 0.95;
			CHECK_ROW(served == (control == CONTROL_ADMISSION),
				  sizes[i].name);
		}
	}
}

/* Guards against a goodput of the remaining proxies that collapses when one of
 * four proxies, which owns one of four targets, is killed. */
static void test_loss(void)
{
	size_t i;
	size_t j;

	for (i = 0; i < SIZES; i++) {
		for (j = 1; j < LOADS; j += 2) {
			scenario_t scenario = mixed(
				&sizes[i], CONTROL_ADMISSION, 4 * loads[j], 0);
			stats_t before[STREAMS_MAX];
			stats_t after[STREAMS_MAX];

			scenario.targets = TARGETS_MAX;
			scenario.measure_after_kill = true;
			scenario.reserved_slots = 0;
			run_scenario(&scenario, before);
			print_stats("four", &scenario, loads[j], &before[0]);
			scenario.kill = true;
			run_scenario(&scenario, after);
			print_stats("three", &scenario, loads[j], &after[0]);
			CHECK_ROW(ratio(after[0].done, before[0].done) >
					  0.9 * 3 / 4,
				  sizes[i].name);
			CHECK_ROW(within_budget(&after[0]), sizes[i].name);
		}
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "goodput", test_goodput },	  { "order", test_order },
		{ "classes", test_classes },	  { "fairness", test_fairness },
		{ "loss of a proxy", test_loss },
	};

	return check_main("overload", cases, sizeof(cases) / sizeof(cases[0]));
}
