/*
 * Model of one node with a target and callers that return, for the loads that
 * src/routing/returns.c answers. Time passes in steps of a millisecond, and
 * nothing is random.
 */
#ifndef RETURN_MODEL_H
#define RETURN_MODEL_H

#include <glib.h>
#include "loom/admission.h"
#include "loom/returns.h"

struct model;

/* Returns a new model; callers are recognized or, to compare, are not. */
struct model *model_new(bool is_recognizing);
void model_free(struct model *model);

/* From now on each caller of so many comes back at once; 0: none. */
void model_set_impatient(struct model *model, uint32_t one_of);

/* The node forgets all records and promises. */
void model_restart(struct model *model);

/* Fresh callers arrive at this rate, in percent of what the target can run. */
void model_run(struct model *model, uint32_t percent, uint32_t duration_ms);

/* Runs until each caller has its last answer, then prints and clears counts. */
void model_print(struct model *model, GString *output);

#endif
