/*
 * Tells what a store has lost from what was changed in it.
 *
 * A store that returns from an older copy shows the objects as they were some
 * seconds before. Their writers write them again; until then the state must not
 * revert. This module keeps, for one part of the configuration, the items that
 * were in force and those that were removed, each with the era of the store
 * that last confirmed it, and decides on each item of a new state. It does no
 * I/O and gets the time as an argument.
 *
 * An item has a name, unique in its part, and a label that tells one item of a
 * name from the next: the version that a move goes to. An item that was removed
 * or replaced and is listed again is either the old one, whose removal the
 * store has lost, or a new order of the same name. The revision of its creation
 * tells them apart, unless the store has given that revision out a second time,
 * which takes an old item that the copy lacks. In doubt the item is a new
 * order: it is in the store, so its writer can remove it, but cannot write it
 * again.
 */
#ifndef ND_REVERSION_H
#define ND_REVERSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>
#include <talloc.h>

/*
 * A change that was known for longer when the era rose is certainly in the
 * copy, which is some seconds old; the rest is the time of the outage.
 */
#define ND_LOSS_MS_MAX 120000U
/*
 * After this time the writers do not write a lost change again, and the state
 * of the store applies.
 */
#define ND_REVERSION_MS_MAX 600000U

struct nd_reversion;

/*
 * An item that was known for this long when the era rose counts as part of the
 * copy.
 */
#define ND_COPY_AGE_MS_MAX 10000U
/*
 * Orders of a name that are remembered. The copy may be older than the last
 * return, so that an order before the present one is listed.
 */
#define ND_ORDERS_MAX 4U

/* An item of a state; the texts are borrowed. */
struct nd_item {
	const char *name;
	const char *label;
	uint64_t created;  /* revision of its creation; 0: unknown */
	uint64_t revision; /* of its last change, without the era */
};

enum nd_verdict {
	ND_ITEM_TAKE,  /* apply it */
	ND_ITEM_AGAIN, /* apply it: it may have been lost and written again */
	ND_ITEM_REVERTED, /* ignore it: a lost change replaced or removed it */
};

/* Returns new records without items, owned by ctx. */
struct nd_reversion *nd_new_reversion(TALLOC_CTX *ctx);

/*
 * Decides on the items of a state of the store in an era, and records them.
 * verdicts has one entry for each item. The era must not be lower than that of
 * the previous state.
 */
void nd_merge_items(struct nd_reversion *reversion, const struct nd_item *items,
		    size_t count, uint64_t era, uint64_t now_ms,
		    enum nd_verdict *verdicts);

/*
 * Called before the state of another node is merged that includes what the
 * store has lost: if it is of the era of the last state, that node knows better
 * than these records on what the store disagrees.
 */
void nd_confirm_items(struct nd_reversion *reversion, uint64_t era);

/*
 * Returns whether the item is in force after the last state: it was in it and
 * taken, or the store has lost it.
 */
bool nd_is_item_present(const struct nd_reversion *reversion, const char *name);

/*
 * Sets *item to the latest order of a name, with borrowed texts. Returns false
 * if none is in force.
 */
bool nd_find_item(const struct nd_reversion *reversion, const char *name,
		  struct nd_item *item);

/*
 * Returns the names of the items in force, NULL-terminated, as a new array
 * owned by ctx; the names are borrowed until the records change.
 */
const char **nd_list_items(const struct nd_reversion *reversion,
			   TALLOC_CTX *ctx);

/*
 * Returns new JSON with the items on which the store disagrees, for other
 * nodes; NULL if there are none: {"age_ms", "items": [{"name", "label",
 * "former", "is_present", "orders": [[label, created, revision, is_in_copy],
 * ...]}]}, former only where the label was another before, orders from the
 * latest on. Earlier versions of this program do not send or read orders.
 */
json_t *nd_format_reversion(const struct nd_reversion *reversion,
			    uint64_t now_ms);

/* Adopts that from another node, after its state was merged. */
void nd_read_reversion(struct nd_reversion *reversion, const json_t *value,
		       uint64_t now_ms);

#endif
