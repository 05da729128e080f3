/*
 * One node's part in a move that has to finish within seconds.
 *
 * Invariant: the ramp of this node's calls takes no step by itself; it follows
 * the ramp of all calls, here on an evaluator, or on the one that told last.
 */
#include "loom/moves.h"

/*
 * A node takes a step from an evaluator of a lower rank when the one before it
 * has told none for this time.
 */
#define EVALUATOR_SILENT_MS 1500U

struct mv_evaluation {
	struct mv_ramp *own_ramp;    /* calls of this node */
	struct mv_ramp *pooled_ramp; /* calls of all nodes, on evaluators */
	bool is_stopped;	     /* an evaluator has found it bad */
	uint64_t told_ms;	     /* when an evaluator last told a step */
	uint32_t told_rank;	     /* rank of that evaluator */
};

/* Evaluates the calls of all nodes; the own ramp follows. */
static enum mv_ramp_verdict evaluate_all_calls(struct mv_evaluation *evaluation,
					       uint64_t now_ms)
{
	struct mv_ramp_progress progress;
	enum mv_ramp_verdict verdict;

	/* This node may have become an evaluator in the middle of the move. */
	mv_get_ramp_progress(evaluation->own_ramp, now_ms, &progress);
	mv_resume_ramp(evaluation->pooled_ramp, &progress, now_ms);
	verdict = mv_evaluate_ramp(evaluation->pooled_ramp, now_ms);
	mv_get_ramp_progress(evaluation->pooled_ramp, now_ms, &progress);
	mv_follow_ramp(evaluation->own_ramp, &progress, now_ms);
	return verdict;
}

struct mv_evaluation *mv_new_evaluation(TALLOC_CTX *ctx, const char *to,
					const struct mv_ramp_limits *limits,
					uint64_t now_ms)
{
	struct mv_evaluation *evaluation =
		talloc_zero(ctx, struct mv_evaluation);
	struct mv_ramp_progress progress;

	evaluation->own_ramp =
		mv_new_ramp(evaluation, to, limits, MV_RAMP_OWN_CALLS, now_ms);
	evaluation->pooled_ramp =
		mv_new_ramp(evaluation, to, limits, MV_RAMP_ALL_CALLS, now_ms);
	/* Until an evaluator tells a step, the share is that of the probe. */
	mv_get_ramp_progress(evaluation->pooled_ramp, now_ms, &progress);
	mv_follow_ramp(evaluation->own_ramp, &progress, now_ms);
	return evaluation;
}

void mv_set_target_count(struct mv_evaluation *evaluation,
			 uint32_t target_count)
{
	mv_set_ramp_targets(evaluation->pooled_ramp, target_count);
}

void mv_record_own_counts(struct mv_evaluation *evaluation, const char *version,
			  const char *route, const struct mv_counts *counts,
			  uint64_t now_ms)
{
	mv_record_ramp_counts(evaluation->own_ramp, version, route, counts,
			      now_ms);
	mv_record_ramp_counts(evaluation->pooled_ramp, version, route, counts,
			      now_ms);
}

void mv_record_reported_counts(struct mv_evaluation *evaluation,
			       const char *version, const char *route,
			       const struct mv_counts *counts, uint64_t now_ms)
{
	mv_record_ramp_counts(evaluation->pooled_ramp, version, route, counts,
			      now_ms);
}

void mv_get_known_progress(struct mv_evaluation *evaluation, uint64_t now_ms,
			   struct mv_ramp_progress *progress)
{
	mv_get_ramp_progress(evaluation->own_ramp, now_ms, progress);
}

void mv_record_reported_progress(struct mv_evaluation *evaluation,
				 const struct mv_ramp_progress *progress,
				 uint64_t now_ms)
{
	mv_resume_ramp(evaluation->pooled_ramp, progress, now_ms);
}

enum mv_ramp_verdict mv_evaluate_calls(struct mv_evaluation *evaluation,
				       uint32_t own_rank, uint64_t now_ms)
{
	enum mv_ramp_verdict verdict =
		mv_evaluate_ramp(evaluation->own_ramp, now_ms);

	if (evaluation->is_stopped)
		verdict = MV_RAMP_TAKE_BACK;
	if (verdict == MV_RAMP_TAKE_BACK || own_rank >= MV_EVALUATORS)
		return verdict;
	return evaluate_all_calls(evaluation, now_ms);
}

uint32_t mv_get_evaluated_share(struct mv_evaluation *evaluation,
				uint64_t now_ms)
{
	if (evaluation->is_stopped ||
	    *mv_get_ramp_reason(evaluation->pooled_ramp))
		return 0;
	return mv_get_ramp_share(evaluation->own_ramp, now_ms);
}

struct mv_turn mv_get_evaluated_turn(const struct mv_evaluation *evaluation,
				     uint64_t now_ms)
{
	return mv_get_ramp_turn(evaluation->own_ramp, now_ms);
}

void mv_get_told(struct mv_evaluation *evaluation, uint32_t own_rank,
		 uint64_t now_ms, struct mv_told *told)
{
	told->rank = own_rank;
	told->is_stopped =
		evaluation->is_stopped || *mv_get_evaluation_reason(evaluation);
	mv_get_ramp_progress(evaluation->pooled_ramp, now_ms, &told->progress);
}

bool mv_handle_told(struct mv_evaluation *evaluation, uint32_t own_rank,
		    const struct mv_told *told, uint64_t now_ms)
{
	bool is_stop = told->is_stopped && !evaluation->is_stopped;

	if (told->is_stopped)
		evaluation->is_stopped = true;
	mv_resume_ramp(evaluation->pooled_ramp, &told->progress, now_ms);
	if (own_rank < MV_EVALUATORS ||
	    (told->rank > evaluation->told_rank &&
	     now_ms < evaluation->told_ms + EVALUATOR_SILENT_MS))
		return is_stop;
	evaluation->told_rank = told->rank;
	evaluation->told_ms = now_ms;
	mv_follow_ramp(evaluation->own_ramp, &told->progress, now_ms);
	return is_stop;
}

struct mv_ramp *mv_get_ramp(struct mv_evaluation *evaluation, uint32_t own_rank)
{
	return own_rank < MV_EVALUATORS ? evaluation->pooled_ramp
					: evaluation->own_ramp;
}

const char *mv_get_evaluation_reason(const struct mv_evaluation *evaluation)
{
	const char *reason = mv_get_ramp_reason(evaluation->pooled_ramp);

	return *reason ? reason : mv_get_ramp_reason(evaluation->own_ramp);
}
