#include "check.h"

#include <string.h>

#include "libproxy/deadline.h"
#include "libproxy/transaction_id.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define NUMBER "00000000000000ff"
#define TEN "xxxxxxxxxx"
#define NAME TEN TEN TEN TEN TEN TEN "xxx"

/* Guards against a malformed transaction id that is accepted, so that a
 * statement is sent to the holder of another transaction. Also checks that an
 * accepted id is written again as it was read. */
static void test_transaction_id(void)
{
	static const struct {
		const char *name;
		const char *id;
		bool valid;
	} rows[] = {
		{ "valid", "p-1~s~db.1~" NUMBER, true },
		{ "longest", NAME "~" NAME "~" NAME "~" NUMBER, true },
		{ "empty", "", false },
		{ "one part", "p", false },
		{ "two parts", "p~s", false },
		{ "three parts", "p~s~t", false },
		{ "no number", "p~s~t~", false },
		{ "five parts", "p~s~t~" NUMBER "~x", false },
		{ "empty proxy", "~s~t~" NUMBER, false },
		{ "empty service", "p~~t~" NUMBER, false },
		{ "empty target", "p~s~~" NUMBER, false },
		{ "long proxy", NAME "x~s~t~" NUMBER, false },
		{ "long target", "p~s~" NAME "x~" NUMBER, false },
		{ "short number", "p~s~t~00000000000000f", false },
		{ "long number", "p~s~t~0" NUMBER, false },
		{ "sign", "p~s~t~-0000000000000ff", false },
		{ "upper case", "p~s~t~00000000000000FF", false },
	};
	char text[PROXY_TRANSACTION_ID_SIZE];
	proxy_transaction_id_t id;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		bool valid = proxy_transaction_id_parse(rows[i].id, &id);

		CHECK_ROW(valid == rows[i].valid, rows[i].name);
		if (!valid)
			continue;
		CHECK_ROW(id.number == 255, rows[i].name);
		proxy_transaction_id_format(text, sizeof(text), id.proxy,
					    id.service, id.target, id.number);
		CHECK_ROW(strcmp(text, rows[i].id) == 0, rows[i].name);
	}
	CU_ASSERT_TRUE(proxy_transaction_id_parse(rows[0].id, &id));
	CU_ASSERT_STRING_EQUAL(id.proxy, "p-1");
	CU_ASSERT_STRING_EQUAL(id.service, "s");
	CU_ASSERT_STRING_EQUAL(id.target, "db.1");
}

/* Guards against an owner that gets so much time that its answer arrives after
 * the caller's deadline, and against a first attempt that leaves no time for
 * the next one. */
static void test_deadline_share(void)
{
	static const struct {
		const char *name;
		clock_ms_t left_ms;
		clock_ms_t whole_ms;
		clock_ms_t keyed_ms;
		clock_ms_t replica_ms;
	} rows[] = {
		{ "past", -100, 1, 1, 1 },
		{ "now", 0, 1, 1, 1 },
		{ "1 ms", 1, 1, 1, 1 },
		{ "2 ms", 2, 2, 2, 2 },
		{ "10 ms", 10, 9, 6, 5 },
		{ "100 ms", 100, 90, 55, 46 },
		{ "200 ms", 200, 180, 109, 91 },
		{ "500 ms", 500, 480, 289, 241 },
		{ "520 ms", 520, 500, 301, 250 },
		{ "30 s", 30000, 29980, 17989, 250 },
	};
	clock_ms_t left_ms;
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		left_ms = rows[i].left_ms;
		CHECK_ROW(proxy_deadline_share(left_ms, PROXY_SHARE_WHOLE) ==
				  rows[i].whole_ms,
			  rows[i].name);
		CHECK_ROW(proxy_deadline_share(left_ms, PROXY_SHARE_KEYED) ==
				  rows[i].keyed_ms,
			  rows[i].name);
		CHECK_ROW(proxy_deadline_share(left_ms, PROXY_SHARE_REPLICA) ==
				  rows[i].replica_ms,
			  rows[i].name);
	}
	for (left_ms = 1; left_ms < 2000; left_ms++) {
		clock_ms_t whole_ms =
			proxy_deadline_share(left_ms, PROXY_SHARE_WHOLE);

		CHECK_SEED(whole_ms <= left_ms, left_ms);
		CHECK_SEED(proxy_deadline_share(left_ms, PROXY_SHARE_KEYED) <=
				   whole_ms,
			   left_ms);
		CHECK_SEED(proxy_deadline_share(left_ms, PROXY_SHARE_REPLICA) <=
				   whole_ms,
			   left_ms);
	}
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "transaction id", test_transaction_id },
		{ "deadline share", test_deadline_share },
	};

	return check_main("proxy", cases, COUNT(cases));
}
