/*
 * Differential test of doc_merge_documents() against a naive version.
 *
 * Random proposals for six services are merged in several rounds. After each,
 * the naive version tries to accept every subset of the rejected proposals in
 * addition. If every called service still has a document with one of these
 * subsets, the merge rejected too much.
 */
#include <string.h>
#include "loom/document.h"
#include "script.h"

#define SERVICE_COUNT 6U
#define SEED_COUNT 200U
#define ROUND_COUNT 20U

/* Documents by index of the service; NULL where there is none. */
struct service_set {
	const struct doc_service *items[SERVICE_COUNT];
};

struct naive_test {
	GRand *rand;
	struct doc_manifest *manifest;
	struct service_set in_force;
	uint64_t version; /* version of the last document made */
};

static const char *const names[SERVICE_COUNT] = {
	"a", "b", "c", "d", "e", "f"
};

static struct doc_service *make_service(struct naive_test *test, size_t index)
{
	struct doc_service *service = talloc_zero(test, struct doc_service);
	const char **calls =
		talloc_zero_array(service, const char *, SERVICE_COUNT);
	size_t count = 0;

	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		if (i != index && g_rand_int_range(test->rand, 0, 4) == 0)
			calls[count++] = names[i];
	}
	service->name = names[index];
	service->document_version = ++test->version;
	service->calls = calls;
	return service;
}

static struct doc_proposal make_proposal(struct naive_test *test, size_t index)
{
	struct doc_proposal proposal = { .name = names[index] };

	switch (g_rand_int_range(test->rand, 0, 6)) {
	case 0:
		proposal.is_removal = true;
		break;
	case 1: /* does not parse */
		proposal.document_version = ++test->version;
		break;
	case 2: /* the one in force, or an older version */
		proposal.service = test->in_force.items[index];
		if (proposal.service)
			proposal.document_version =
				proposal.service->document_version -
				(uint64_t)g_rand_int_range(test->rand, 0, 2);
		break;
	default:
		proposal.service = make_service(test, index);
		proposal.document_version = proposal.service->document_version;
		break;
	}
	return proposal;
}

/* Returns whether every called service has a document. */
static bool is_complete(const struct service_set *set)
{
	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		const char *const *call;

		if (!set->items[i])
			continue;
		for (call = set->items[i]->calls; *call; call++) {
			if (!set->items[(*call)[0] - 'a'])
				return false;
		}
	}
	return true;
}

/*
 * Returns the services after applying the accepted proposals and, in addition,
 * those whose bits are set in mask.
 */
static struct service_set
apply_verdicts(const struct naive_test *test,
	       const struct doc_proposal *proposals,
	       const struct doc_merge_result *merge_result, unsigned int mask)
{
	struct service_set set = test->in_force;

	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		enum doc_verdict_kind kind = merge_result->verdicts[i].kind;

		if (kind == DOC_VERDICT_ACCEPTED ||
		    kind == DOC_VERDICT_REMOVED || (mask >> i & 1U))
			set.items[i] = proposals[i].is_removal
					       ? NULL
					       : proposals[i].service;
	}
	return set;
}

/*
 * Returns a bit mask of the rejected proposals that are valid by themselves,
 * so that only the calls between services can be the reason.
 */
static unsigned int find_rejected(const struct naive_test *test,
				  const struct doc_proposal *proposals,
				  const struct doc_merge_result *merge_result)
{
	unsigned int mask = 0;

	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		const struct doc_service *old = test->in_force.items[i];
		const struct doc_proposal *proposal = &proposals[i];

		if (merge_result->verdicts[i].kind != DOC_VERDICT_REJECTED)
			continue;
		CU_ASSERT_TRUE(
			proposal->service == NULL ||
			merge_result->verdicts[i].problems->problems->len > 0);
		if (proposal->is_removal ||
		    (proposal->service &&
		     (!old ||
		      proposal->document_version > old->document_version)))
			mask |= 1U << i;
	}
	return mask;
}

static void check_merge(const struct naive_test *test,
			const struct doc_proposal *proposals,
			const struct doc_merge_result *merge_result)
{
	unsigned int rejected = find_rejected(test, proposals, merge_result);
	struct service_set next =
		apply_verdicts(test, proposals, merge_result, 0);
	struct service_set extended;

	CU_ASSERT_TRUE(is_complete(&next));
	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		const struct doc_manifest_service *entry =
			doc_find_manifest_service(merge_result->manifest,
						  names[i]);

		CU_ASSERT_EQUAL(entry ? entry->document_version : 0,
				next.items[i] ? next.items[i]->document_version
					      : 0);
	}
	for (unsigned int mask = rejected; mask > 0;
	     mask = (mask - 1) & rejected) {
		extended = apply_verdicts(test, proposals, merge_result, mask);
		CU_ASSERT_FALSE(is_complete(&extended));
	}
}

static void run_round(struct naive_test *test)
{
	struct doc_proposal proposals[SERVICE_COUNT];
	const struct doc_service *services[SERVICE_COUNT];
	struct doc_merge_result *merge_result;
	size_t count = 0;

	for (size_t i = 0; i < SERVICE_COUNT; i++) {
		proposals[i] = make_proposal(test, i);
		if (test->in_force.items[i])
			services[count++] = test->in_force.items[i];
	}
	merge_result =
		doc_merge_documents(test, test->manifest, services, count,
				    proposals, SERVICE_COUNT, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(merge_result);
	CU_ASSERT_EQUAL(merge_result->manifest->sequence,
			test->manifest->sequence +
				(merge_result->is_changed ? 1 : 0));
	check_merge(test, proposals, merge_result);
	test->in_force = apply_verdicts(test, proposals, merge_result, 0);
	talloc_free(test->manifest);
	test->manifest = talloc_steal(test, merge_result->manifest);
	talloc_free(merge_result);
}

static void test_merge_is_complete_and_largest(void)
{
	for (guint32 seed = 1; seed <= SEED_COUNT; seed++) {
		struct naive_test *test = talloc_zero(NULL, struct naive_test);

		test->rand = g_rand_new_with_seed(seed);
		test->manifest = doc_new_manifest(test);
		for (guint round = 0; round < ROUND_COUNT; round++)
			run_round(test);
		g_rand_free(test->rand);
		talloc_free(test);
	}
}

static void test_callers_are_found(void)
{
	static const char *const calls_b[] = { "b", NULL };
	static const char *const no_calls[] = { NULL };
	const struct doc_service a = { .name = "a", .calls = calls_b };
	const struct doc_service b = { .name = "b", .calls = no_calls };
	const struct doc_service *const services[] = { &a, &b };
	const char **callers;

	callers = doc_find_callers(NULL, services, 2, "b");
	CU_ASSERT_STRING_EQUAL(callers[0], "a");
	CU_ASSERT_PTR_NULL(callers[1]);
	talloc_free(callers);
	callers = doc_find_callers(NULL, services, 2, "a");
	CU_ASSERT_PTR_NULL(callers[0]);
	talloc_free(callers);
}

static const CU_TestInfo tests[] = {
	{ "merge is complete and accepts as much as possible",
	  test_merge_is_complete_and_largest },
	{ "callers of a service are found", test_callers_are_found },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("merge against a naive version", tests);
}
