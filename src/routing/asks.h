/* Which targets of other failure domains are asked for a load report. */
#ifndef LOOM_ROUTING_ASKS_H
#define LOOM_ROUTING_ASKS_H

#include "chooser_internal.h"

/*
 * Sets chooser->asked to a target of the group that is to be asked for a load
 * report, or to NULL. The grades of the group are in chooser->grades.
 */
void rt_choose_ask(struct rt_chooser *chooser, const struct rt_table *table,
		   const struct rt_group *group, uint64_t now_ms);

#endif
