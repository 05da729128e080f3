/*
 * Tasks of an event loop that run soon.
 *
 * A task is an immediate event of tevent, or it is put off: it waits in a queue
 * until the loop has polled, which an eventfd shows.
 *
 * Invariants: a task is scheduled as an immediate event, in the queue, or
 * neither; the eventfd is readable while the queue is not empty.
 */
#include "loom/turn.h"

#include <assert.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <glib.h>

/* Tasks that may run before the loop polls. */
#define TASKS_PER_POLL_MAX 4U

/* State of a loop, freed with the last of its users. */
struct turn {
	struct tevent_context *events;
	uint32_t user_count; /* tasks, and handle_polled() while it runs */
	uint32_t run_count;  /* tasks since the last poll */
	int fd;
	struct tevent_fd *fde;
	GQueue waiting;
};

struct trn_task {
	struct turn *turn;
	struct tevent_immediate *immediate;
	bool is_scheduled;
	GList link; /* of turn->waiting; data is NULL if it is not in it */
	trn_task_fn fn;
	void *data;
};

static void handle_trace(enum tevent_trace_point point, void *data)
{
	struct turn *turn = data;

	if (point == TEVENT_TRACE_BEFORE_WAIT)
		turn->run_count = 0;
}

static void run_task(struct trn_task *task)
{
	task->is_scheduled = false;
	task->turn->run_count++;
	task->fn(task->data);
}

static void handle_immediate(struct tevent_context *events,
			     struct tevent_immediate *immediate, void *data)
{
	run_task(data);
}

static struct trn_task *take_waiting(struct turn *turn)
{
	GList *link = g_queue_pop_head_link(&turn->waiting);
	struct trn_task *task = link->data;

	link->data = NULL;
	return task;
}

static void release_turn(struct turn *turn)
{
	if (--turn->user_count == 0)
		talloc_free(turn);
}

/* Tasks that are put off meanwhile wait for the next poll. */
static void handle_polled(struct tevent_context *events, struct tevent_fd *fde,
			  uint16_t flags, void *data)
{
	struct turn *turn = data;
	guint count = turn->waiting.length;
	uint64_t value;
	ssize_t size = read(turn->fd, &value, sizeof(value));

	assert(size == sizeof(value));
	(void)size;
	turn->user_count++;
	while (count-- > 0 && turn->waiting.length > 0)
		run_task(take_waiting(turn));
	release_turn(turn);
}

static void put_off(struct trn_task *task)
{
	static const uint64_t one = 1;
	struct turn *turn = task->turn;
	ssize_t size;

	task->link.data = task;
	g_queue_push_tail_link(&turn->waiting, &task->link);
	size = write(turn->fd, &one, sizeof(one));
	assert(size == sizeof(one));
	(void)size;
}

static int destroy_turn(struct turn *turn)
{
	tevent_set_trace_callback(turn->events, NULL, NULL);
	TALLOC_FREE(turn->fde);
	close(turn->fd);
	return 0;
}

static struct turn *new_turn(struct tevent_context *events)
{
	struct turn *turn = talloc_zero(NULL, struct turn);

	turn->events = events;
	g_queue_init(&turn->waiting);
	turn->fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	assert(turn->fd >= 0);
	turn->fde = tevent_add_fd(events, turn, turn->fd, TEVENT_FD_READ,
				  handle_polled, turn);
	talloc_set_destructor(turn, destroy_turn);
	tevent_set_trace_callback(events, handle_trace, turn);
	return turn;
}

static struct turn *get_turn(struct tevent_context *events)
{
	tevent_trace_callback_t trace;
	void *data;

	tevent_get_trace_callback(events, &trace, &data);
	return trace == handle_trace ? data : new_turn(events);
}

static int destroy_task(struct trn_task *task)
{
	struct turn *turn = task->turn;

	if (task->link.data)
		g_queue_unlink(&turn->waiting, &task->link);
	release_turn(turn);
	return 0;
}

struct trn_task *trn_new_task(TALLOC_CTX *ctx, struct tevent_context *events,
			      trn_task_fn fn, void *data)
{
	struct trn_task *task = talloc_zero(ctx, struct trn_task);

	task->turn = get_turn(events);
	task->turn->user_count++;
	task->immediate = tevent_create_immediate(task);
	task->fn = fn;
	task->data = data;
	talloc_set_destructor(task, destroy_task);
	return task;
}

void trn_schedule_task(struct trn_task *task)
{
	if (task->is_scheduled)
		return;
	task->is_scheduled = true;
	if (task->turn->run_count >= TASKS_PER_POLL_MAX) {
		put_off(task);
		return;
	}
	tevent_schedule_immediate(task->immediate, task->turn->events,
				  handle_immediate, task);
}
