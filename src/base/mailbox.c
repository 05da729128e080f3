/*
 * Mailbox: a queue under a lock, and an eventfd that wakes the reader.
 *
 * Invariant: while the queue holds an item that the reader has not been woken
 * for, the eventfd is readable.
 *
 * The lock is no GMutex and the queue no GAsyncQueue: ThreadSanitizer does not
 * detect the locks of GLib.
 */
#include "loom/mailbox.h"

#include <errno.h>
#include <pthread.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct mbx_mailbox {
	pthread_mutex_t lock;
	GQueue items; /* under lock */
	int wake_fd;
	struct tevent_fd *fde;
	mbx_fn on_wake;
	GDestroyNotify free_item;
	void *data;
};

static void handle_wake(struct tevent_context *events, struct tevent_fd *fde,
			uint16_t flags, void *data)
{
	struct mbx_mailbox *mailbox = data;
	uint64_t count;

	if (read(mailbox->wake_fd, &count, sizeof(count)) < 0)
		return;
	mailbox->on_wake(mailbox->data);
}

static int destroy_mailbox(struct mbx_mailbox *mailbox)
{
	TALLOC_FREE(mailbox->fde);
	g_queue_clear_full(&mailbox->items, mailbox->free_item);
	pthread_mutex_destroy(&mailbox->lock);
	close(mailbox->wake_fd);
	return 0;
}

struct mbx_mailbox *mbx_new(TALLOC_CTX *ctx, struct tevent_context *events,
			    mbx_fn on_wake, GDestroyNotify free_item,
			    void *data)
{
	struct mbx_mailbox *mailbox = talloc_zero(ctx, struct mbx_mailbox);

	mailbox->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (mailbox->wake_fd < 0) {
		talloc_free(mailbox);
		return NULL;
	}
	mailbox->on_wake = on_wake;
	mailbox->free_item = free_item;
	mailbox->data = data;
	g_queue_init(&mailbox->items);
	pthread_mutex_init(&mailbox->lock, NULL);
	talloc_set_destructor(mailbox, destroy_mailbox);
	mailbox->fde = tevent_add_fd(events, mailbox, mailbox->wake_fd,
				     TEVENT_FD_READ, handle_wake, mailbox);
	return mailbox;
}

void mbx_post(struct mbx_mailbox *mailbox, void *item)
{
	pthread_mutex_lock(&mailbox->lock);
	g_queue_push_tail(&mailbox->items, item);
	pthread_mutex_unlock(&mailbox->lock);
	mbx_wake(mailbox);
}

void mbx_wake(struct mbx_mailbox *mailbox)
{
	uint64_t one = 1;

	/* On a full counter the reader is woken anyway. */
	if (write(mailbox->wake_fd, &one, sizeof(one)) < 0)
		g_assert(errno == EAGAIN);
}

void *mbx_take(struct mbx_mailbox *mailbox)
{
	void *item;

	pthread_mutex_lock(&mailbox->lock);
	item = g_queue_pop_head(&mailbox->items);
	pthread_mutex_unlock(&mailbox->lock);
	return item;
}
