/*
 * Parts of the parser of service documents, one a top-level field.
 */
#ifndef DOCUMENT_PARSE_H
#define DOCUMENT_PARSE_H

#include "loom/document.h"
#include "loom/reader.h"

/* Reads "routes" into service; problems go to the reader's list. */
void doc_read_routes(struct rd_object *object, struct doc_service *service);

/* Reads "move", when it is there, into service. */
void doc_read_move(struct rd_object *object, struct doc_service *service);

/* Returns whether a NULL-terminated list holds text. */
bool doc_list_holds(const char *const *list, const char *text);

#endif
