/*
 * Parts of the parser of service documents, one for each large top-level
 * field, and a helper for lists of names.
 */
#ifndef DOCUMENT_PARSE_H
#define DOCUMENT_PARSE_H

#include "loom/document.h"
#include "loom/reader.h"

/* Reads "routes" into service; problems go to the reader's list. */
void doc_read_routes(struct rd_object *object, struct doc_service *service);

/*
 * Reads "move", if present, into service. "versions" and "current" must be read
 * before, because the versions of the move are checked against them.
 */
void doc_read_move(struct rd_object *object, struct doc_service *service);

/* Returns whether a NULL-terminated list contains text; NULL is empty. */
bool doc_list_contains(const char *const *list, const char *text);

#endif
