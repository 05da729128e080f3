/*
 * One-shot alarm on a timerfd of the monotonic clock.
 *
 * The timerfd is re-armed lazily to save system calls: setting the alarm to a
 * later time or clearing it leaves the timerfd armed for the old time. When it
 * expires before due_ms, it is armed again for due_ms. Invariant: while is_set,
 * either a task is scheduled or the timerfd is armed for due_ms or earlier.
 */
#include "loom/timer.h"
#include "loom/turn.h"

#include <assert.h>
#include <stdbool.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

struct tmr_alarm {
	struct trn_task *task; /* used when wait_ms is 0 */
	struct tevent_fd *fde;
	int fd;
	bool is_set;
	uint64_t due_ms;
	uint64_t armed_ms; /* expiry of the timerfd; 0: not armed */
	tmr_alarm_fn fn;
	void *data;
};

static uint64_t read_monotonic_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void arm_timerfd(struct tmr_alarm *alarm, uint64_t due_ms)
{
	struct itimerspec setting = {
		.it_value = { .tv_sec = (time_t)(due_ms / 1000),
			      .tv_nsec = (long)(due_ms % 1000) * 1000000 },
	};
	int result =
		timerfd_settime(alarm->fd, TFD_TIMER_ABSTIME, &setting, NULL);

	assert(result == 0);
	(void)result;
	alarm->armed_ms = due_ms;
}

static void run_callback(struct tmr_alarm *alarm)
{
	alarm->is_set = false;
	alarm->fn(alarm->data);
}

static void handle_task(void *data)
{
	struct tmr_alarm *alarm = data;

	if (alarm->is_set && alarm->due_ms <= read_monotonic_ms())
		run_callback(alarm);
}

static void handle_readable(struct tevent_context *events,
			    struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct tmr_alarm *alarm = data;
	uint64_t count;

	if (read(alarm->fd, &count, sizeof(count)) < 0)
		return;
	alarm->armed_ms = 0;
	if (!alarm->is_set)
		return;
	if (alarm->due_ms <= read_monotonic_ms())
		run_callback(alarm);
	else
		arm_timerfd(alarm, alarm->due_ms);
}

static int destroy_alarm(struct tmr_alarm *alarm)
{
	TALLOC_FREE(alarm->fde);
	close(alarm->fd);
	return 0;
}

struct tmr_alarm *tmr_new_alarm(TALLOC_CTX *ctx, struct tevent_context *events,
				tmr_alarm_fn fn, void *data)
{
	struct tmr_alarm *alarm = talloc_zero(ctx, struct tmr_alarm);

	alarm->fn = fn;
	alarm->data = data;
	alarm->fd = timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);
	assert(alarm->fd >= 0);
	alarm->task = trn_new_task(alarm, events, handle_task, alarm);
	alarm->fde = tevent_add_fd(events, alarm, alarm->fd, TEVENT_FD_READ,
				   handle_readable, alarm);
	talloc_set_destructor(alarm, destroy_alarm);
	return alarm;
}

void tmr_set_alarm(struct tmr_alarm *alarm, uint64_t wait_ms)
{
	alarm->is_set = true;
	alarm->due_ms = read_monotonic_ms() + wait_ms;
	if (wait_ms == 0) {
		trn_schedule_task(alarm->task);
		return;
	}
	if (alarm->armed_ms == 0 || alarm->due_ms < alarm->armed_ms)
		arm_timerfd(alarm, alarm->due_ms);
}

void tmr_clear_alarm(struct tmr_alarm *alarm)
{
	alarm->is_set = false;
}
