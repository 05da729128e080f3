/*
 * Retry budget, and the decision whether a failed attempt is retried.
 *
 * The budget counts first attempts and retries in a ring of time slices that
 * covers a sliding window of SLICE_COUNT * SLICE_MS. A retry is granted while
 * the retries in the window stay below a share of its first attempts plus a
 * constant.
 *
 * Invariant: the slice of a time is time / SLICE_MS % SLICE_COUNT, and the
 * slices between the last event and now are cleared before use.
 */
#include "loom/routing.h"

#include <assert.h>
#include <glib.h>

#define SLICE_MS 1000U
#define SLICE_COUNT 10U
#define BUDGET_MIN_RETRIES 3U
#define ATTEMPT_MAX 3U

struct rt_slice {
	uint32_t first_attempts;
	uint32_t nested;  /* first attempts of nested calls */
	uint32_t retries; /* all retries */
	uint32_t repeats; /* retries of calls that may have run */
};

/* Bounds of the return of a refused caller when the load is not known. */
#define RETURN_MIN_MS 40U
#define RETURN_MAX_MS 200U
/* Longest work ahead for which a caller is held off. */
#define RETURN_LIMIT_MS 2000U

struct rt_budget {
	struct rt_slice slices[SLICE_COUNT];
	uint64_t slice_number; /* slice of the last event */
	uint32_t share_permille;
};

static struct rt_slice *get_slice(struct rt_budget *budget, uint64_t now_ms)
{
	uint64_t number = now_ms / SLICE_MS;

	if (number > budget->slice_number + SLICE_COUNT)
		budget->slice_number = number - SLICE_COUNT;
	while (budget->slice_number < number) {
		budget->slice_number++;
		budget->slices[budget->slice_number % SLICE_COUNT] =
			(struct rt_slice){ 0 };
	}
	return &budget->slices[budget->slice_number % SLICE_COUNT];
}

/*
 * Repeating a call that may have run repeats all calls nested below it, so the
 * share falls with the depth. This bounds the amplification, which is the
 * product over all levels. A call that was not run repeats no nested call and
 * has the full share at each level.
 */
static uint32_t get_repeat_share_permille(const struct rt_budget *budget,
					  uint32_t depth)
{
	return budget->share_permille / (depth + 1);
}

static bool is_below_ratio(uint32_t spent, uint32_t first_attempts,
			   uint32_t share_permille)
{
	uint64_t earned = (uint64_t)first_attempts * share_permille / 1000;

	return spent < earned + BUDGET_MIN_RETRIES;
}

static bool spend_budget(struct rt_budget *budget, const struct rt_retry *retry)
{
	struct rt_slice *slice = get_slice(budget, retry->now_ms);
	struct rt_slice sum = { 0 };
	uint32_t part_permille = 1000;

	for (uint32_t i = 0; i < SLICE_COUNT; i++) {
		sum.first_attempts += budget->slices[i].first_attempts;
		sum.nested += budget->slices[i].nested;
		sum.retries += budget->slices[i].retries;
		sum.repeats += budget->slices[i].repeats;
	}
	if (sum.nested > 0 && retry->share_permille > 0)
		part_permille = retry->share_permille;
	if (!is_below_ratio(sum.retries, sum.first_attempts,
			    budget->share_permille * part_permille / 1000))
		return false;
	if (!retry->is_not_run &&
	    !is_below_ratio(sum.repeats, sum.first_attempts,
			    get_repeat_share_permille(budget, retry->depth) *
				    part_permille / 1000))
		return false;
	slice->retries++;
	if (!retry->is_not_run)
		slice->repeats++;
	return true;
}

struct rt_budget *rt_new_budget(TALLOC_CTX *ctx, uint32_t share_permille)
{
	struct rt_budget *budget = talloc_zero(ctx, struct rt_budget);

	budget->share_permille = share_permille;
	return budget;
}

void rt_credit_budget(struct rt_budget *budget, bool is_nested, uint64_t now_ms)
{
	struct rt_slice *slice = get_slice(budget, now_ms);

	slice->first_attempts++;
	slice->nested += is_nested;
}

enum rt_retry_verdict rt_decide_retry(struct rt_budget *budget,
				      const struct rt_retry *retry)
{
	assert(retry->attempt_count > 0);
	/* Only calls that got no answer and still have a caller are retried. */
	if (retry->is_answer_begun || retry->outcome == RT_OUTCOME_ANSWERED ||
	    retry->outcome == RT_OUTCOME_CANCELLED)
		return RT_RETRY_ANSWER_BEGUN;
	if (!retry->is_not_run && !retry->is_repeatable)
		return RT_RETRY_NOT_REPEATABLE;
	if (!retry->is_body_kept)
		return RT_RETRY_BODY_LOST;
	if (retry->attempt_count >= ATTEMPT_MAX ||
	    retry->sent_count >= retry->sent_max)
		return RT_RETRY_TOO_MANY;
	if (retry->now_ms >= retry->deadline_ms)
		return RT_RETRY_DEADLINE;
	if (retry->is_unsent)
		return RT_RETRY_YES;
	return spend_budget(budget, retry) ? RT_RETRY_YES : RT_RETRY_BUDGET;
}

uint32_t rt_choose_return_ms(const struct rt_load *load, uint64_t random)
{
	uint64_t expected_ms = 0;
	uint64_t least_ms;
	uint64_t most_ms;

	if (load && load->limit > 0)
		expected_ms = (uint64_t)load->latency_us * load->in_flight /
			      load->limit / 1000;
	expected_ms = MIN(expected_ms, RETURN_LIMIT_MS);
	least_ms = MAX(expected_ms / 2, RETURN_MIN_MS);
	most_ms = MAX(expected_ms * 3 / 2, RETURN_MAX_MS);
	return (uint32_t)(least_ms + random % (most_ms - least_ms));
}
