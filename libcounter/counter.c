#include "counter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	char *label_value;
	/* The value of a counter or gauge; the sum of a histogram in ms. */
	double value;
	/* Observations of each bucket, not cumulative; the last bucket has no
	 * upper bound. */
	uint64_t buckets[COUNTER_BUCKETS + 1];
	uint64_t observations;
} series_t;

struct counter_family {
	counter_family_t *next;
	counter_kind_t kind;
	const char *name;
	const char *help;
	const char *label;
	series_t *series;
	size_t count;
	size_t capacity;
};

struct counter_registry {
	counter_family_t *first;
	counter_family_t *last;
};

/* Upper bounds of the buckets in ms. They range from one network hop inside a
 * failure domain to the longest deadline of a statement. */
static const double bucket_bounds_ms[COUNTER_BUCKETS] = {
	1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000
};

/*
 * Creates an empty registry. Returns NULL without memory.
 */
counter_registry_t *counter_registry_new(void)
{
	return calloc(1, sizeof(counter_registry_t));
}

static void family_free(counter_family_t *family)
{
	size_t i;

	for (i = 0; i < family->count; i++)
		free(family->series[i].label_value);
	free(family->series);
	free(family);
}

/*
 * Frees the registry and its families.
 */
void counter_registry_free(counter_registry_t *registry)
{
	counter_family_t *next;

	if (!registry)
		return;
	while (registry->first) {
		next = registry->first->next;
		family_free(registry->first);
		registry->first = next;
	}
	free(registry);
}

/*
 * Adds a family to the registry, which owns it. Returns NULL without memory.
 */
counter_family_t *counter_family_new(counter_registry_t *registry,
				     counter_kind_t kind, const char *name,
				     const char *help, const char *label)
{
	counter_family_t *family = calloc(1, sizeof(*family));

	if (!family)
		return NULL;
	family->kind = kind;
	family->name = name;
	family->help = help;
	family->label = label;
	if (registry->last)
		registry->last->next = family;
	else
		registry->first = family;
	registry->last = family;
	return family;
}

static series_t *find_series(const counter_family_t *family, const char *value)
{
	size_t i;

	for (i = 0; i < family->count; i++) {
		if (strcmp(family->series[i].label_value, value) == 0)
			return &family->series[i];
	}
	return NULL;
}

static int grow(counter_family_t *family)
{
	size_t capacity = family->capacity ? 2 * family->capacity : 4;
	series_t *series =
		realloc(family->series, capacity * sizeof(*family->series));

	if (!series)
		return COUNTER_ERROR_MEMORY;
	family->series = series;
	family->capacity = capacity;
	return COUNTER_OK;
}

/*
 * Returns the series of a label value and creates it if it is new. When a
 * family is full, all new values share the series "other", so that input can't
 * make memory grow without bound. Returns NULL without memory.
 */
static series_t *get_series(counter_family_t *family, const char *value)
{
	series_t *series;

	if (!value)
		value = "";
	series = find_series(family, value);
	if (series)
		return series;
	if (family->count >= COUNTER_LABEL_VALUES_MAX - 1 &&
	    strcmp(value, "other") != 0)
		return get_series(family, "other");
	if (family->count == family->capacity && grow(family) != COUNTER_OK)
		return NULL;
	series = &family->series[family->count];
	memset(series, 0, sizeof(*series));
	series->label_value = strdup(value);
	if (!series->label_value)
		return NULL;
	family->count++;
	return series;
}

/*
 * Adds amount to a counter or gauge. The amount is lost if there is no memory
 * for a new label value.
 */
void counter_family_add(counter_family_t *family, const char *label_value,
			uint64_t amount)
{
	series_t *series = get_series(family, label_value);

	if (series)
		series->value += (double)amount;
}

/*
 * Sets the value of a gauge, or of a counter that is maintained elsewhere and
 * never decreases.
 */
void counter_family_set(counter_family_t *family, const char *label_value,
			double value)
{
	series_t *series = get_series(family, label_value);

	if (series)
		series->value = value;
}

/*
 * Adds one observation in milliseconds to a histogram.
 */
void counter_family_observe(counter_family_t *family, const char *label_value,
			    double value_ms)
{
	series_t *series = get_series(family, label_value);
	size_t bucket = 0;

	if (!series)
		return;
	while (bucket < COUNTER_BUCKETS && value_ms > bucket_bounds_ms[bucket])
		bucket++;
	series->buckets[bucket]++;
	series->observations++;
	series->value += value_ms;
}

/*
 * Returns the value of a counter or gauge, or the sum of a histogram in ms;
 * 0 for a label value that was never used.
 */
double counter_family_value(const counter_family_t *family,
			    const char *label_value)
{
	const series_t *series =
		find_series(family, label_value ? label_value : "");

	return series ? series->value : 0;
}

/*
 * Writes a label value with the escapes of the Prometheus text format.
 */
static void write_label(FILE *out, const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '\n')
			fputs("\\n", out);
		else if (*text == '"' || *text == '\\')
			fprintf(out, "\\%c", *text);
		else
			fputc(*text, out);
	}
}

static void write_labels(FILE *out, const counter_family_t *family,
			 const series_t *series, const char *bound)
{
	if (!family->label && !bound)
		return;
	fputc('{', out);
	if (family->label) {
		fprintf(out, "%s=\"", family->label);
		write_label(out, series->label_value);
		fputc('"', out);
	}
	if (bound)
		fprintf(out, "%sle=\"%s\"", family->label ? "," : "", bound);
	fputc('}', out);
}

static void write_value(FILE *out, const counter_family_t *family,
			const series_t *series, const char *suffix,
			const char *bound, double value)
{
	fprintf(out, "%s%s", family->name, suffix);
	write_labels(out, family, series, bound);
	fprintf(out, " %.15g\n", value);
}

static void write_histogram(FILE *out, const counter_family_t *family,
			    const series_t *series)
{
	uint64_t total = 0;
	char bound[32];
	size_t i;

	for (i = 0; i < COUNTER_BUCKETS; i++) {
		total += series->buckets[i];
		snprintf(bound, sizeof(bound), "%g", bucket_bounds_ms[i]);
		write_value(out, family, series, "_bucket", bound,
			    (double)total);
	}
	write_value(out, family, series, "_bucket", "+Inf",
		    (double)series->observations);
	write_value(out, family, series, "_sum", NULL, series->value);
	write_value(out, family, series, "_count", NULL,
		    (double)series->observations);
}

static void write_family(FILE *out, const counter_family_t *family)
{
	static const char *const kinds[] = { "counter", "gauge", "histogram" };
	size_t i;

	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", family->name, family->help,
		family->name, kinds[family->kind]);
	for (i = 0; i < family->count; i++) {
		if (family->kind == COUNTER_KIND_HISTOGRAM)
			write_histogram(out, family, &family->series[i]);
		else
			write_value(out, family, &family->series[i], "", NULL,
				    family->series[i].value);
	}
}

/*
 * Returns all families in the Prometheus text format. The caller frees the
 * text. Returns NULL without memory.
 */
char *counter_registry_render(const counter_registry_t *registry)
{
	const counter_family_t *family;
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return NULL;
	for (family = registry->first; family; family = family->next)
		write_family(out, family);
	if (fclose(out) != 0) {
		free(text);
		return NULL;
	}
	return text;
}
