#include "check.h"

#include <string.h>

#include "libgroup/group.h"

typedef struct {
	const char *name;
	const char *text;
	int error;
	uint32_t count;
	group_point_t last;
} history_row_t;

/* Guards against a malformed history that is accepted, so that the end of a
 * term is missing or wrong. */
static void test_history_parse(void)
{
	static const history_row_t rows[] = {
		{ "empty", "", GROUP_OK, 0, { 0, 0 } },
		{ "one", "1:10", GROUP_OK, 1, { 1, 10 } },
		{ "two", "1:10,3:40", GROUP_OK, 2, { 3, 40 } },
		{ "term falls",
		  "3:10,1:40",
		  GROUP_ERROR_MALFORMED,
		  0,
		  { 0, 0 } },
		{ "no end", "1:", GROUP_ERROR_MALFORMED, 0, { 0, 0 } },
		{ "sign", "1:-4", GROUP_ERROR_MALFORMED, 0, { 0, 0 } },
		{ "overflow",
		  "1:99999999999999999999",
		  GROUP_ERROR_MALFORMED,
		  0,
		  { 0, 0 } },
		{ "term overflow",
		  "4294967296:1",
		  GROUP_ERROR_MALFORMED,
		  0,
		  { 0, 0 } },
		{ "rest", "1:2x", GROUP_ERROR_MALFORMED, 0, { 0, 0 } },
	};
	group_status_t status;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const history_row_t *row = &rows[i];

		memset(&status, 0, sizeof(status));
		CHECK_ROW(group_history_parse(row->text, &status) == row->error,
			  row->name);
		CHECK_ROW(status.history_count == row->count, row->name);
		if (row->count > 0 && status.history_count == row->count)
			CHECK_ROW(group_point_compare(
					  status.history[row->count - 1],
					  row->last) == 0,
				  row->name);
	}
}

typedef struct {
	const char *name;
	group_point_t point;
	uint64_t required;
} required_row_t;

/* Guards against a session whose point in a closed term no target can reach,
 * and against a read on a target that lacks acknowledged writes of the session.
 */
static void test_required_position(void)
{
	static const required_row_t rows[] = {
		{ "current term", { 4, 90 }, 90 },
		{ "closed term below its end", { 1, 5 }, 5 },
		{ "closed term past its end", { 1, 50 }, 10 },
		{ "term without an entry", { 2, 70 }, 40 },
		{ "future term", { 5, 1 }, UINT64_MAX },
	};
	group_status_t status = { .log_term = 4 };
	size_t i;

	CU_ASSERT_EQUAL(group_history_parse("1:10,3:40", &status), GROUP_OK);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CHECK_ROW(group_required_position(&status, rows[i].point) ==
				  rows[i].required,
			  rows[i].name);
}

int main(void)
{
	static const check_case_t cases[] = {
		{ "history parse", test_history_parse },
		{ "required position", test_required_position },
	};

	return check_main("group", cases, sizeof(cases) / sizeof(cases[0]));
}
