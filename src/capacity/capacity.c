/*
 * Estimates of the capacity of one target.
 *
 * Invariants: usual_us of a kind is scaled to a time_percent of 100. kinds has
 * at most KINDS_MAX entries. foreign is valid for FOREIGN_LIFE_MS after it was
 * reported.
 */
#include "loom/capacity.h"

#include <glib.h>

/* A call changes the mean of its kind by 1/8 of the difference. */
#define RUN_SHIFT 3
/* All kinds share one mean of hold times, so a call has less weight. */
#define HOLD_SHIFT 5
#define KINDS_MAX 64U
#define USUAL_PERCENT 100U
#define PERCENT_MIN 10U
#define PERCENT_MAX 10000U
#define COUNT_MAX 10000U
#define SLOTS_FACTOR_MAX 4U
/* A speed that is older counts half toward the estimate, then not at all. */
#define SPEED_FRESH_MS 1000U
#define SPEED_LIFE_MS 3000U
/* Calls of an earlier gate have ended by then, or their callers have left. */
#define FOREIGN_LIFE_MS 500U

struct kind {
	uint32_t usual_us;
	uint64_t last_run; /* run_count at its last call */
};

struct cap_target {
	uint32_t slots; /* 0: not announced */
	GHashTable *kinds;
	uint64_t run_count; /* calls recorded */
	uint32_t hold_us;   /* moving mean; 0: no call yet */
	uint32_t time_percent;
	bool is_speed_known;
	uint64_t speed_ms;
	uint32_t foreign;
	uint64_t foreign_ms;
	uint64_t absurd_count;
};

static int destroy_target(struct cap_target *target)
{
	g_hash_table_destroy(target->kinds);
	return 0;
}

static uint32_t get_time_percent(const struct cap_target *target,
				 uint64_t now_ms)
{
	uint64_t age_ms;

	if (!target->is_speed_known)
		return USUAL_PERCENT;
	age_ms = now_ms - target->speed_ms;
	if (age_ms < SPEED_FRESH_MS)
		return target->time_percent;
	if (age_ms < SPEED_LIFE_MS)
		return (target->time_percent + USUAL_PERCENT) / 2;
	return USUAL_PERCENT;
}

static uint32_t move_mean(uint32_t mean, uint32_t value, int shift)
{
	int64_t change = (int64_t)value - mean;

	return mean == 0 ? MAX(value, 1U)
			 : (uint32_t)(mean + change / (1 << shift));
}

static bool parse_field(char **text, bool is_last, uint32_t *value)
{
	char *end = strchr(*text, ',');
	guint64 number;

	if (is_last != !end)
		return false;
	if (end)
		*end = '\0';
	if (!g_ascii_string_to_unsigned(*text, 10, 0, UINT32_MAX, &number,
					NULL))
		return false;
	*value = (uint32_t)number;
	if (end)
		*text = end + 1;
	return true;
}

bool cap_parse_report(const char *text, struct cap_report *report)
{
	char *copy = g_strdup(text);
	char *rest = copy;
	bool is_valid;
	bool has_speed;

	*report = (struct cap_report){ 0 };
	is_valid = parse_field(&rest, false, &report->running) &&
		   parse_field(&rest, false, &report->waiting);
	has_speed = is_valid && strchr(rest, ',');
	is_valid = is_valid && parse_field(&rest, !has_speed, &report->slots);
	if (is_valid && has_speed)
		is_valid = parse_field(&rest, true, &report->time_percent) &&
			   report->time_percent > 0;
	g_free(copy);
	return is_valid;
}

struct cap_target *cap_new_target(TALLOC_CTX *ctx)
{
	struct cap_target *target = talloc_zero(ctx, struct cap_target);

	target->kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(target, destroy_target);
	return target;
}

void cap_clear_target(struct cap_target *target)
{
	g_hash_table_remove_all(target->kinds);
	target->hold_us = 0;
	target->is_speed_known = false;
	target->foreign = 0;
}

void cap_set_slots(struct cap_target *target, uint32_t slots)
{
	target->slots = slots;
}

static bool is_plausible(const struct cap_target *target,
			 const struct cap_report *report)
{
	if (report->running > COUNT_MAX || report->waiting > COUNT_MAX ||
	    report->slots == 0 || report->slots > COUNT_MAX)
		return false;
	if (report->time_percent != 0 && (report->time_percent < PERCENT_MIN ||
					  report->time_percent > PERCENT_MAX))
		return false;
	return target->slots == 0 ||
	       (report->slots <= target->slots * SLOTS_FACTOR_MAX &&
		report->slots * SLOTS_FACTOR_MAX >= target->slots);
}

bool cap_record_report(struct cap_target *target,
		       const struct cap_report *report, uint32_t own_in_flight,
		       uint64_t now_ms)
{
	uint32_t present = report->running + report->waiting;

	if (!is_plausible(target, report)) {
		target->absurd_count++;
		return false;
	}
	if (report->time_percent > 0) {
		target->time_percent = report->time_percent;
		target->is_speed_known = true;
		target->speed_ms = now_ms;
	}
	target->foreign = present > own_in_flight ? present - own_in_flight : 0;
	target->foreign_ms = now_ms;
	return true;
}

/* Removes the kind whose last call ended first. */
static void remove_oldest_kind(struct cap_target *target)
{
	uint64_t oldest_run = UINT64_MAX;
	gpointer oldest = NULL;
	GHashTableIter iter;
	gpointer name;
	gpointer kind;

	g_hash_table_iter_init(&iter, target->kinds);
	while (g_hash_table_iter_next(&iter, &name, &kind)) {
		if (((const struct kind *)kind)->last_run >= oldest_run)
			continue;
		oldest_run = ((const struct kind *)kind)->last_run;
		oldest = name;
	}
	g_hash_table_remove(target->kinds, oldest);
}

void cap_record_run(struct cap_target *target, const char *kind,
		    uint32_t run_us, uint32_t hold_us, uint64_t now_ms)
{
	uint64_t usual_us = (uint64_t)run_us * USUAL_PERCENT /
			    get_time_percent(target, now_ms);
	struct kind *known = g_hash_table_lookup(target->kinds, kind);

	target->hold_us = move_mean(target->hold_us, hold_us, HOLD_SHIFT);
	if (!known) {
		if (g_hash_table_size(target->kinds) >= KINDS_MAX)
			remove_oldest_kind(target);
		known = g_new0(struct kind, 1);
		g_hash_table_insert(target->kinds, g_strdup(kind), known);
	}
	known->last_run = ++target->run_count;
	known->usual_us =
		move_mean(known->usual_us, (uint32_t)MIN(usual_us, UINT32_MAX),
			  RUN_SHIFT);
}

uint32_t cap_estimate_run_us(const struct cap_target *target, const char *kind,
			     uint64_t now_ms)
{
	const struct kind *known = g_hash_table_lookup(target->kinds, kind);
	uint64_t run_us;

	if (!known)
		return target->hold_us;
	run_us = (uint64_t)known->usual_us * get_time_percent(target, now_ms) /
		 USUAL_PERCENT;
	return (uint32_t)MIN(run_us, UINT32_MAX);
}

uint32_t cap_estimate_hold_us(const struct cap_target *target, uint64_t now_ms)
{
	return target->hold_us;
}

uint32_t cap_estimate_foreign(const struct cap_target *target, uint64_t now_ms)
{
	return now_ms < cap_get_foreign_end_ms(target) ? target->foreign : 0;
}

uint64_t cap_get_foreign_end_ms(const struct cap_target *target)
{
	return target->foreign_ms + FOREIGN_LIFE_MS;
}

uint64_t cap_get_absurd_count(const struct cap_target *target)
{
	return target->absurd_count;
}
