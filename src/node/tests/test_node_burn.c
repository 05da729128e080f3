/*
 * Test of the call history behind GET /burn: how the outcomes in a sample of
 * the traffic threads count.
 */
#include <stdlib.h>
#include "internal.h"
#include "loom/burn.h"
#include "script.h"

#define SLOT 1796378400ULL /* 2026-12-04T10:00:00Z in seconds */

static void test_outcomes(void)
{
	struct nd_node *node = talloc_zero(NULL, struct nd_node);
	struct tr_sample sample = {
		.service = "catalogue",
		.route = "stock",
		.version = "v1",
		.target = "127.0.1.1:8081",
		.failure_domain = "kgl-a",
		.slot = SLOT,
		.counts = { .calls = 100,
			    .failed = 3,
			    .cold = 20,
			    .refused = 4,
			    .lost = 5 },
		.slow = 6,
	};
	const struct burn_key filter = { .service = "catalogue",
					 .version = "v1",
					 .failure_domain = "kgl-a" };
	struct burn_counts sum;

	node->burn = burn_new_history(node, SLOT * 1000);
	nd_record_burn(node, &sample);
	sample.route = "orders";
	nd_record_burn(node, &sample);
	sum = burn_sum_counts(node->burn, &filter, SLOT * 1000, 5);
	CU_ASSERT_EQUAL(sum.calls, 2 * 129);
	CU_ASSERT_EQUAL(sum.failed, 2 * 12);
	CU_ASSERT_EQUAL(sum.slow, 2 * 6);
	talloc_free(node);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "outcomes of attempts", test_outcomes },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("node burn", tests);
}
