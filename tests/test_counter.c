#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libcounter/counter.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Guards against input in a label value that forges a line or another series.
 */
static void test_render(void)
{
	counter_registry_t *registry = counter_registry_new();
	counter_family_t *plain = counter_family_new(
		registry, COUNTER_KIND_COUNTER, "a_total", "Help a.", NULL);
	counter_family_t *labelled = counter_family_new(
		registry, COUNTER_KIND_GAUGE, "b", "Help b.", "service");
	char *text;

	counter_family_add(plain, NULL, 2);
	counter_family_add(plain, NULL, 3);
	counter_family_set(labelled, "x\"} 1\ny\\", -0.5);
	counter_family_set(labelled, "", 7);
	counter_family_set(labelled, "", 8);
	CU_ASSERT_EQUAL(counter_family_value(plain, NULL), 5);
	CU_ASSERT_EQUAL(counter_family_value(labelled, "never"), 0);
	text = counter_registry_render(registry);
	CU_ASSERT_STRING_EQUAL(text, "# HELP a_total Help a.\n"
				     "# TYPE a_total counter\n"
				     "a_total 5\n"
				     "# HELP b Help b.\n"
				     "# TYPE b gauge\n"
				     "b{service=\"x\\\"} 1\\ny\\\\\"} -0.5\n"
				     "b{service=\"\"} 8\n");
	free(text);
	counter_registry_free(registry);
}

/* Guards against an observation that is counted in the wrong bucket, and
 * against buckets that are not cumulative. */
static void test_histogram(void)
{
	static const struct {
		double value_ms;
		const char *first_bound;
		const char *below;
	} rows[] = {
		{ 0, "1", NULL },
		{ 1, "1", NULL },
		{ 1.5, "2", "1" },
		{ 50, "50", "20" },
		{ 30000, "30000", "10000" },
		{ 30001, "+Inf", "30000" },
	};
	counter_registry_t *registry = counter_registry_new();
	counter_family_t *family;
	char *text;
	char line[128];
	double sum = 0;
	size_t i;

	family = counter_family_new(registry, COUNTER_KIND_HISTOGRAM, "h", "H.",
				    "r");
	for (i = 0; i < COUNT(rows); i++) {
		const char *row = rows[i].first_bound;
		char label[8];

		snprintf(label, sizeof(label), "r%zu", i);
		counter_family_observe(family, label, rows[i].value_ms);
		counter_family_observe(family, "all", rows[i].value_ms);
		sum += rows[i].value_ms;
		text = counter_registry_render(registry);
		snprintf(line, sizeof(line), "h_bucket{r=\"%s\",le=\"%s\"} 1\n",
			 label, row);
		CHECK_ROW(strstr(text, line), row);
		snprintf(line, sizeof(line),
			 "h_bucket{r=\"%s\",le=\"+Inf\"} 1\n", label);
		CHECK_ROW(strstr(text, line), row);
		if (rows[i].below) {
			snprintf(line, sizeof(line),
				 "h_bucket{r=\"%s\",le=\"%s\"} 0\n", label,
				 rows[i].below);
			CHECK_ROW(strstr(text, line), row);
		}
		free(text);
	}
	text = counter_registry_render(registry);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text, "h_bucket{r=\"all\",le=\"2\"} 3\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text, "h_bucket{r=\"all\",le=\"30000\"} 5\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text, "h_bucket{r=\"all\",le=\"+Inf\"} 6\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "h_sum{r=\"all\"} 60053.5\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "h_count{r=\"all\"} 6\n"));
	CU_ASSERT_EQUAL(counter_family_value(family, "all"), sum);
	free(text);
	counter_registry_free(registry);
}

/* Guards against label values from input that make the number of series grow
 * without bound. */
static void test_labels_max(void)
{
	counter_registry_t *registry = counter_registry_new();
	counter_family_t *family = counter_family_new(
		registry, COUNTER_KIND_COUNTER, "c", "C.", "key");
	const char *at;
	char label[16];
	char *text;
	int lines = 0;
	int i;

	for (i = 0; i < COUNTER_LABEL_VALUES_MAX + 10; i++) {
		snprintf(label, sizeof(label), "%d", i);
		counter_family_add(family, label, 1);
	}
	counter_family_add(family, "0", 1);
	text = counter_registry_render(registry);
	for (at = text; (at = strstr(at, "\nc{")); at++)
		lines++;
	CU_ASSERT_EQUAL(lines, COUNTER_LABEL_VALUES_MAX);
	CU_ASSERT_EQUAL(counter_family_value(family, "0"), 2);
	CU_ASSERT_EQUAL(counter_family_value(family, "4094"), 1);
	CU_ASSERT_EQUAL(counter_family_value(family, "4095"), 0);
	CU_ASSERT_EQUAL(counter_family_value(family, "other"), 11);
	free(text);
	counter_registry_free(registry);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "render", test_render },
		{ "histogram", test_histogram },
		{ "labels max", test_labels_max },
	};

	return check_main("counter", cases, COUNT(cases));
}
