#ifndef HORNBEAMTACK_TESTS_CHECK_H
#define HORNBEAMTACK_TESTS_CHECK_H

#include <CUnit/CUnit.h>
#include <stdint.h>

/* A test case of a suite. */
typedef struct {
	const char *name;
	void (*run)(void);
} check_case_t;

/* Runs the cases as one CUnit suite. Returns the exit status of the program. */
int check_main(const char *suite, const check_case_t *cases, size_t count);

/* Returns the number of seeds that a property test runs: the environment
 * variable CHECK_SEEDS, or default_count. */
uint64_t check_seeds(uint64_t default_count);

/* Deterministic random number generator, based on jrand48(). */
typedef struct {
	unsigned short state[3];
} check_random_t;

check_random_t check_random(uint64_t seed);
/* Returns 64 random bits. */
uint64_t check_random_next(check_random_t *random);
/* Returns a number from 0 to bound - 1; bound must not be 0. */
uint64_t check_random_below(check_random_t *random, uint64_t bound);

/* Returns a loopback port that stays reserved for a server of this test. */
uint16_t check_reserve_port(void);

/* Returns zeroed memory. Aborts the program if none is available. */
void *check_allocate(size_t bytes);

/* As CU_ASSERT, with the name of the table row or the seed in the message of a
 * failure. */
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
