#ifndef HORNBEAMTACK_COUNTER_H
#define HORNBEAMTACK_COUNTER_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
	COUNTER_KIND_COUNTER,
	COUNTER_KIND_GAUGE,
	COUNTER_KIND_HISTOGRAM,
} counter_kind_t;

/* Maximum number of label values of a family. Further values are counted under
 * the label value "other", which is one of the maximum. */
#define COUNTER_LABEL_VALUES_MAX 4096
/* Buckets of a histogram, without the one for "+Inf". */
#define COUNTER_BUCKETS 14

/* The metrics of a process. */
typedef struct counter_registry counter_registry_t;
/* A metric of one kind: a series for each value of its label, or one series if
 * it has no label. */
typedef struct counter_family counter_family_t;

enum {
	COUNTER_OK = 0,
	COUNTER_ERROR_MEMORY = -1,
};

counter_registry_t *counter_registry_new(void);
void counter_registry_free(counter_registry_t *registry);
/* label is the name of the family's label; NULL if it has none. The strings are
 * not copied and must live as long as the registry. */
counter_family_t *counter_family_new(counter_registry_t *registry,
				     counter_kind_t kind, const char *name,
				     const char *help, const char *label);
void counter_family_add(counter_family_t *family, const char *label_value,
			uint64_t amount);
void counter_family_set(counter_family_t *family, const char *label_value,
			double value);
void counter_family_observe(counter_family_t *family, const char *label_value,
			    double value_ms);
double counter_family_value(const counter_family_t *family,
			    const char *label_value);
/* Returns all metrics in the Prometheus text format, which the caller frees;
 * NULL without memory. */
char *counter_registry_render(const counter_registry_t *registry);

#endif
