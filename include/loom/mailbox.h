/*
 * Mailbox: passes items from any thread to the thread of one event loop.
 *
 * Items are taken in the order in which they were posted. A mailbox may be
 * created, read and freed only on the thread of its event loop, or while that
 * loop does not run.
 */
#ifndef LOOM_MAILBOX_H
#define LOOM_MAILBOX_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

struct mbx_mailbox;

/* Called on the loop's thread, once for one or several posts or wake-ups. */
typedef void (*mbx_fn)(void *data);

/*
 * Returns a new mailbox owned by ctx, or NULL if no file descriptor is left.
 * Borrows events. Items that nobody took are freed with free_item when the
 * mailbox is freed.
 */
struct mbx_mailbox *mbx_new(TALLOC_CTX *ctx, struct tevent_context *events,
			    mbx_fn on_wake, GDestroyNotify free_item,
			    void *data);

/* Adds item, which the mailbox owns from now on, and wakes the loop. */
void mbx_post(struct mbx_mailbox *mailbox, void *item);

/* Makes the loop call on_wake without an item. */
void mbx_wake(struct mbx_mailbox *mailbox);

/* Removes and returns the oldest item, or NULL if there is none. */
void *mbx_take(struct mbx_mailbox *mailbox);

#endif
