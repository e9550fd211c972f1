#include "check.h"

#include <CUnit/Basic.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

/*
 * Runs the cases as one CUnit suite and prints CUnit's summary. Returns 0 if
 * all cases passed, 1 if a case failed or the suite could not be run.
 */
int check_main(const char *suite_name, const check_case_t *cases, size_t count)
{
	CU_pSuite suite;
	unsigned int failures;
	size_t i;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (i = 0; suite && i < count; i++) {
		if (!CU_add_test(suite, cases[i].name, cases[i].run))
			suite = NULL;
	}
	if (!suite) {
		CU_cleanup_registry();
		return 1;
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures == 0 ? 0 : 1;
}

/*
 * Returns the number of seeds that a property test runs: the value of the
 * environment variable CHECK_SEEDS, or default_count.
 */
uint64_t check_seeds(uint64_t default_count)
{
	const char *text = getenv("CHECK_SEEDS");

	return text ? strtoull(text, NULL, 10) : default_count;
}

/*
 * Returns a generator whose sequence depends only on seed.
 */
check_random_t check_random(uint64_t seed)
{
	check_random_t random = { .state = { (unsigned short)seed,
					     (unsigned short)(seed >> 16),
					     (unsigned short)(seed >> 32) } };

	/* The first values of jrand48() are similar for similar seeds, so they
	 * are skipped. */
	check_random_next(&random);
	check_random_next(&random);
	return random;
}

/*
 * Returns the next 64 random bits.
 */
uint64_t check_random_next(check_random_t *random)
{
	uint64_t high = (uint32_t)jrand48(random->state);
	uint64_t low = (uint32_t)jrand48(random->state);

	return high << 32 | low;
}

/*
 * Returns a number from 0 to bound - 1; bound must not be 0.
 */
uint64_t check_random_below(check_random_t *random, uint64_t bound)
{
	return check_random_next(random) % bound;
}

/*
 * Returns zeroed memory of the given size, which the caller frees. Aborts the
 * program if none is available, so that tests need not check for NULL.
 */
void *check_allocate(size_t bytes)
{
	void *memory = calloc(1, bytes > 0 ? bytes : 1);

	if (!memory)
		abort();
	return memory;
}

/*
 * Returns a port of the loopback address for a server that the test starts. The
 * socket that reserves it stays bound, without listening, until the process
 * ends: the kernel gives the port to no other program meanwhile, while the
 * server can bind it too, as both set SO_REUSEADDR. A port that is only chosen
 * may be taken before the server binds it.
 */
uint16_t check_reserve_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
	    bind(fd, (struct sockaddr *)&address, length) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0)
		abort();
	return ntohs(address.sin_port);
}

static char label[512];

/*
 * Returns a text with the condition and the name of the table row. The text is
 * valid until the next call of check_label() or check_seed_label(); CUnit
 * copies it.
 */
const char *check_label(const char *condition, const char *row)
{
	snprintf(label, sizeof(label), "%s [%s]", condition, row);
	return label;
}

/*
 * Returns a text with the condition and the seed, valid as long as that of
 * check_label().
 */
const char *check_seed_label(const char *condition, uint64_t seed)
{
	snprintf(label, sizeof(label), "%s [seed %llu]", condition,
		 (unsigned long long)seed);
	return label;
}
