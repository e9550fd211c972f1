#include <stdlib.h>
#include <string.h>

#include "internal.h"

static void latency_count(latency_t *latency, clock_ms_t time_ms)
{
	if (time_ms < 0)
		time_ms = 0;
	latency->count++;
	if (time_ms > latency->max_ms)
		latency->max_ms = time_ms;
	latency->buckets[time_ms < BENCH_LATENCY_MAX_MS
				 ? time_ms
				 : BENCH_LATENCY_MAX_MS]++;
}

/*
 * Returns the time in ms within which percent of the answers came.
 */
static clock_ms_t latency_percentile(const latency_t *latency, uint32_t percent)
{
	uint64_t wanted = (latency->count * percent + 99) / 100;
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < BENCH_LATENCY_MAX_MS; i++) {
		seen += latency->buckets[i];
		if (seen >= wanted)
			return i;
	}
	return latency->max_ms;
}

static void count_reason(stats_t *stats, const char *text)
{
	uint32_t i;

	for (i = 0; i < stats->reason_count; i++) {
		if (strcmp(stats->reasons[i].text, text) == 0)
			break;
	}
	/* The last entry stands for all further reasons. */
	if (i == BENCH_REASONS_MAX) {
		i--;
		text = "other";
	}
	if (i == stats->reason_count)
		stats->reason_count++;
	snprintf(stats->reasons[i].text, sizeof(stats->reasons[i].text), "%s",
		 text);
	stats->reasons[i].count++;
}

static void count_read(reads_t *reads, const operation_t *operation)
{
	reads->done++;
	if (strcmp(operation->served_by, "replica") == 0)
		reads->replica++;
	if (operation->max_age_ms == BENCH_AGE_NONE)
		return;
	if (operation->age_ms == BENCH_AGE_NONE)
		reads->without_age++;
	else if (operation->age_ms > operation->max_age_ms)
		reads->too_old++;
}

static void count_gap(stats_t *stats, uint32_t service, clock_ms_t now_ms)
{
	clock_ms_t gap_ms = now_ms - stats->last_write_ms[service];

	if (gap_ms > stats->gap_ms[service])
		stats->gap_ms[service] = gap_ms;
	stats->last_write_ms[service] = now_ms;
}

static void count_done(stats_t *stats, const operation_t *operation)
{
	clock_ms_t time_ms = operation->answered_ms - operation->sent_ms;

	stats->done++;
	if (stats->ended_ms == 0)
		stats->done_in_time++;
	if (operation->kind == OPERATION_WRITE) {
		stats->writes_done++;
		if (stats->ended_ms == 0)
			stats->writes_in_time++;
		latency_count(&stats->writes_latency, time_ms);
		count_gap(stats, operation->service, operation->answered_ms);
		return;
	}
	latency_count(&stats->reads_latency, time_ms);
	count_read(operation->kind == OPERATION_READ ? &stats->polling
						     : &stats->own,
		   operation);
	if (operation_own_read_stale(operation))
		stats->stale_own_reads++;
}

/*
 * Counts the answer of a statement. Outcome requests are counted by the caller
 * once the key is settled.
 */
void stats_count(stats_t *stats, const operation_t *operation)
{
	if (operation_mixed(operation))
		stats->mixed++;
	if (operation->kind == OPERATION_OUTCOME)
		return;
	switch (operation->outcome) {
	case OUTCOME_DONE:
		count_done(stats, operation);
		return;
	case OUTCOME_NOT_RUN:
		stats->not_run++;
		break;
	case OUTCOME_UNKNOWN:
		stats->unknown++;
		break;
	}
	count_reason(stats, operation->reason);
}

/*
 * Ends the time in which load was sent: the gap up to now counts as well.
 */
void stats_end(stats_t *stats, const bench_options_t *options,
	       clock_ms_t now_ms)
{
	uint32_t i;

	stats->ended_ms = now_ms;
	for (i = 0; i < options->service_count; i++)
		count_gap(stats, i, now_ms);
}

static json_t *share(uint64_t part, uint64_t whole)
{
	return whole == 0 ? json_null()
			  : json_real((double)part / (double)whole);
}

static json_t *latency_report(const latency_t *latency)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "count",
			 (json_int_t)latency->count, "p50_ms",
			 (json_int_t)latency_percentile(latency, 50), "p99_ms",
			 (json_int_t)latency_percentile(latency, 99), "max_ms",
			 (json_int_t)latency->max_ms);
}

static json_t *reads_report(const reads_t *reads)
{
	return json_pack("{s:I, s:I, s:o, s:I, s:I}", "done",
			 (json_int_t)reads->done, "replica",
			 (json_int_t)reads->replica, "replica_share",
			 share(reads->replica, reads->done), "too_old",
			 (json_int_t)reads->too_old, "without_age",
			 (json_int_t)reads->without_age);
}

static json_t *reasons_report(const stats_t *stats)
{
	json_t *reasons = json_object();
	uint32_t i;

	for (i = 0; i < stats->reason_count; i++)
		json_object_set_new(
			reasons, stats->reasons[i].text,
			json_integer((json_int_t)stats->reasons[i].count));
	return reasons;
}

static json_t *gaps_report(const stats_t *stats, const bench_options_t *options)
{
	json_t *gaps = json_object();
	uint32_t i;

	for (i = 0; i < options->service_count; i++)
		json_object_set_new(gaps, options->services[i],
				    json_integer(stats->gap_ms[i]));
	return gaps;
}

/*
 * Returns the report as a new JSON object. Rates count the answers that came
 * while load was sent, per second of that time.
 */
json_t *stats_report(const stats_t *stats, const bench_options_t *options)
{
	clock_ms_t elapsed_ms = stats->ended_ms - stats->started_ms;
	uint64_t read = stats->polling.done + stats->own.done;
	double seconds = (double)(elapsed_ms > 0 ? elapsed_ms : 1) / 1000;

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:I, s:I, s:I, s:I, s:I, "
		"s:I, s:I, s:I, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
		"elapsed_ms", (json_int_t)elapsed_ms, "sent",
		(json_int_t)stats->sent, "not_sent",
		(json_int_t)stats->not_sent, "done", (json_int_t)stats->done,
		"writes_done", (json_int_t)stats->writes_done, "goodput",
		(double)stats->done_in_time / seconds, "writes_goodput",
		(double)stats->writes_in_time / seconds, "not_run",
		(json_int_t)stats->not_run, "unknown",
		(json_int_t)stats->unknown, "settled_done",
		(json_int_t)stats->settled_done, "settled_not_run",
		(json_int_t)stats->settled_not_run, "unsettled",
		(json_int_t)stats->unsettled, "outcome_refused",
		(json_int_t)stats->outcome_refused, "stale_own_reads",
		(json_int_t)stats->stale_own_reads, "mixed",
		(json_int_t)stats->mixed, "replica_share",
		share(stats->polling.replica + stats->own.replica, read),
		"polling_reads", reads_report(&stats->polling), "own_reads",
		reads_report(&stats->own), "reasons", reasons_report(stats),
		"reads_latency", latency_report(&stats->reads_latency),
		"writes_latency", latency_report(&stats->writes_latency),
		"write_gap_ms", gaps_report(stats, options));
}

static void print_value(const char *prefix, const char *key,
			const json_t *value, FILE *out)
{
	char *text;

	if (json_is_object(value)) {
		const char *inner_key;
		const json_t *inner;

		json_object_foreach((json_t *)value, inner_key, inner)
			print_value(key, inner_key, inner, out);
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	if (*prefix != '\0')
		fprintf(out, "%s.", prefix);
	fprintf(out, "%s=%s\n", key, text ? text : "");
	free(text);
}

/*
 * Prints the numbers of a report as key=value lines; the key of a number inside
 * an object is "object.key".
 */
void bench_report_print(const json_t *report, FILE *out)
{
	const char *key;
	const json_t *value;

	json_object_foreach((json_t *)report, key, value)
		print_value("", key, value, out);
}
