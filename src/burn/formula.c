/*
 * Formulae of the burn rate, and the verdict on the rates. A verdict needs a
 * high rate in two windows: the long window shows that a significant share of
 * the error budget is spent, the short one that the burn is still going on.
 */
#include "loom/burn.h"

#define PPM 1000000.0
/* At this rate 1 hour spends a fifth of the budget of 3 days. */
#define FAST_RATE 14.4
/* At this rate the budget is spent exactly at the end of the period. */
#define SLOW_RATE 1.0

static const struct {
	uint32_t minutes;
	const char *name;
} windows[BURN_WINDOW_COUNT] = {
	[BURN_WINDOW_5_MINUTES] = { 5, "5 min" },
	[BURN_WINDOW_1_HOUR] = { 60, "1 h" },
	[BURN_WINDOW_6_HOURS] = { 360, "6 h" },
	[BURN_WINDOW_3_DAYS] = { BURN_PERIOD_MINUTES, "3 days" },
};

/* An objective is below 100%, so the budget is never 0. */
static double get_rate(uint64_t bad, uint64_t all, uint32_t objective_ppm)
{
	double budget = (PPM - objective_ppm) / PPM;

	if (all == 0)
		return 0;
	return (double)bad / (double)all / budget;
}

double burn_get_failed_rate(const struct burn_counts *counts,
			    const struct doc_objective *objective)
{
	return get_rate(counts->failed, counts->calls,
			objective->availability_ppm);
}

double burn_get_slow_rate(const struct burn_counts *counts,
			  const struct doc_objective *objective)
{
	return get_rate(counts->slow, counts->calls - counts->failed,
			objective->latency_ppm);
}

double burn_get_spent_share(double rate, uint32_t minutes)
{
	return rate * minutes / BURN_PERIOD_MINUTES;
}

uint32_t burn_get_window_minutes(enum burn_window window)
{
	return windows[window].minutes;
}

const char *burn_get_window_name(enum burn_window window)
{
	return windows[window].name;
}

enum burn_verdict burn_classify_rates(const double rates[BURN_WINDOW_COUNT])
{
	if (rates[BURN_WINDOW_1_HOUR] >= FAST_RATE &&
	    rates[BURN_WINDOW_5_MINUTES] >= FAST_RATE)
		return BURN_VERDICT_FAST;
	if (rates[BURN_WINDOW_3_DAYS] >= SLOW_RATE &&
	    rates[BURN_WINDOW_6_HOURS] >= SLOW_RATE)
		return BURN_VERDICT_SLOW;
	return BURN_VERDICT_NONE;
}

const char *burn_get_verdict_name(enum burn_verdict verdict)
{
	switch (verdict) {
	case BURN_VERDICT_NONE:
		return "none";
	case BURN_VERDICT_SLOW:
		return "slow";
	case BURN_VERDICT_FAST:
		return "fast";
	}
	return "unknown";
}
