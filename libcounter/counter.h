#ifndef HORNBEAMTACK_COUNTER_H
#define HORNBEAMTACK_COUNTER_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
	COUNTER_KIND_COUNTER,
	COUNTER_KIND_GAUGE,
	COUNTER_KIND_HISTOGRAM,
} counter_kind_t;

/* Label values beyond this many are counted under "other". */
#define COUNTER_LABEL_VALUES_MAX 4096
#define COUNTER_BUCKETS 14

typedef struct counter_registry counter_registry_t;
typedef struct counter_family counter_family_t;

enum {
	COUNTER_OK = 0,
	COUNTER_ERROR_MEMORY = -1,
};

counter_registry_t *counter_registry_new(void);
void counter_registry_free(counter_registry_t *registry);
/* label names the one label of the family, or is NULL. The texts must live as
 * long as the registry. */
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
/* Prometheus text format; the caller frees it. NULL without memory. */
char *counter_registry_render(const counter_registry_t *registry);

#endif
