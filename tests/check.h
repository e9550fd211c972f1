#ifndef HORNBEAMTACK_TESTS_CHECK_H
#define HORNBEAMTACK_TESTS_CHECK_H

#include <CUnit/CUnit.h>
#include <stdint.h>

typedef struct {
	const char *name;
	void (*run)(void);
} check_case_t;

/* Runs the cases as one CUnit suite; returns the exit status of the program. */
int check_main(const char *suite, const check_case_t *cases, size_t count);

/* Number of seeds of a property test: CHECK_SEEDS, or the default. */
uint64_t check_seeds(uint64_t default_count);

/* Deterministic generator for tests, on top of jrand48(). */
typedef struct {
	unsigned short state[3];
} check_random_t;

check_random_t check_random(uint64_t seed);
uint64_t check_random_next(check_random_t *random);
uint64_t check_random_below(check_random_t *random, uint64_t bound);

/* Returns zeroed memory; ends the program if there is none. */
void *check_allocate(size_t bytes);

/* CU_ASSERT with the seed or the name of the table row in the message. */
#define CHECK_ROW(condition, row)                                             \
	CU_assertImplementation((condition) ? CU_TRUE : CU_FALSE, __LINE__,   \
				check_label(#condition, (row)), __FILE__, "", \
				CU_FALSE)
#define CHECK_SEED(condition, seed)                                         \
	CU_assertImplementation((condition) ? CU_TRUE : CU_FALSE, __LINE__, \
				check_seed_label(#condition, (seed)),       \
				__FILE__, "", CU_FALSE)

const char *check_label(const char *condition, const char *row);
const char *check_seed_label(const char *condition, uint64_t seed);

#endif
