#include <string.h>

#include "check.h"
#include "gateway_env.h"

/*
 * Promotions of a synchronous group, in which a commit is acknowledged once one
 * replica has it. Target 0 is primary, target 1 lacks commits that target 2
 * has.
 */

/* Time after which the entry of a target that was removed does not come back.
 */
#define ENTRY_RETURN_MS 2600
/* Longest time without a primary after the loss of a target. */
#define PROMOTION_MS 7000

static void open_group(env_t *env)
{
	caller_t *caller;
	uint32_t i;

	env->synchronous = true;
	open_env(env, GATEWAYS);
	standin_target_lag(env->standin, 1, true);
	caller = open_session(env, 0, "main");
	for (i = 0; i < 5; i++)
		CU_ASSERT(succeeds(ask(caller, "QUERY 1 WRITE x y")));
	close_caller(caller);
}

static void lose_target(env_t *env, uint32_t index)
{
	standin_target_stop(env->standin, index);
	standin_target_unlist(env->standin, index);
}

static bool has_promoted(void *context)
{
	const env_t *env = context;

	return standin_counts(env->standin).promotions > 0;
}

/* Checks that a target is promoted within PROMOTION_MS and has all commits. */
static void check_promoted(env_t *env, uint32_t index)
{
	CU_ASSERT(run_until(env, has_promoted, env, PROMOTION_MS));
	CU_ASSERT(standin_primary(env->standin) == index);
	CU_ASSERT(standin_counts(env->standin).lost_commits == 0);
}

/* Guards against the loss of commits that a leaving primary still has, after
 * the only replica with them was lost. */
static void test_leaving_primary_ahead(void)
{
	env_t env = { 0 };

	open_group(&env);
	lose_target(&env, 2);
	standin_target_report(env.standin, 0, "draining", 2);
	pause_ms(&env, ENTRY_RETURN_MS + 2000);
	CU_ASSERT(!has_promoted(&env));
	standin_target_lag(env.standin, 1, false);
	check_promoted(&env, 1);
	close_env(&env);
}

/* Guards against the loss of commits that a primary had when it was last
 * asked, and still has when it is back. */
static void test_primary_ahead_back(void)
{
	env_t env = { 0 };

	open_group(&env);
	lose_target(&env, 2);
	standin_target_report(env.standin, 0, "draining", 2);
	pause_ms(&env, ENTRY_RETURN_MS + 2000);
	standin_target_stop(env.standin, 0);
	pause_ms(&env, 2000);
	CU_ASSERT(!has_promoted(&env));
	standin_target_start(env.standin, 0);
	pause_ms(&env, 2000);
	CU_ASSERT(!has_promoted(&env));
	standin_target_lag(env.standin, 1, false);
	check_promoted(&env, 1);
	close_env(&env);
}

/* Guards against a group that stays without a primary after the loss of both
 * targets that had the last commits. */
static void test_primary_ahead_lost(void)
{
	env_t env = { 0 };

	open_group(&env);
	lose_target(&env, 2);
	standin_target_report(env.standin, 0, "draining", 2);
	pause_ms(&env, ENTRY_RETURN_MS + 2000);
	lose_target(&env, 0);
	CU_ASSERT(run_until(&env, has_promoted, &env, PROMOTION_MS));
	CU_ASSERT(standin_primary(env.standin) == 1);
	close_env(&env);
}

/* Guards against the loss of commits of a replica that answers, while its entry
 * is missing. */
static void test_unlisted_replica(void)
{
	env_t env = { 0 };

	open_group(&env);
	standin_target_silence(env.standin, 1, true);
	standin_target_stop(env.standin, 0);
	standin_target_unlist(env.standin, 2);
	pause_ms(&env, ENTRY_RETURN_MS + 3000);
	CU_ASSERT(!has_promoted(&env));
	standin_target_silence(env.standin, 1, false);
	check_promoted(&env, 2);
	close_env(&env);
}

/* Guards against a group that has no primary because a replica does not answer,
 * although another one has the log of the leaving primary. */
static void test_needless_wait(void)
{
	env_t env = { 0 };

	open_group(&env);
	standin_target_lag(env.standin, 1, false);
	standin_target_stop(env.standin, 2);
	standin_target_report(env.standin, 0, "draining", 2);
	check_promoted(&env, 1);
	close_env(&env);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "leaving_primary_ahead", test_leaving_primary_ahead },
		{ "primary_ahead_back", test_primary_ahead_back },
		{ "primary_ahead_lost", test_primary_ahead_lost },
		{ "unlisted_replica", test_unlisted_replica },
		{ "needless_wait", test_needless_wait },
	};

	return check_main("gateway_synchronous", cases,
			  sizeof(cases) / sizeof(cases[0]));
}
