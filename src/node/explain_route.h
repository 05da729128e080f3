/* Where a request would go, for GET /explain-route. */
#ifndef ND_EXPLAIN_ROUTE_H
#define ND_EXPLAIN_ROUTE_H

#include "node.h"
#include "loom/http.h"
#include "loom/problem.h"
#include "loom/traffic.h"

/* Returns a parameter of a query (borrowed), or NULL. */
typedef const char *(*nd_query_fn)(const void *data, const char *name);

/*
 * Reads a question from the parameters "service", "method", "path", "class" and
 * "body_bytes". Its texts are owned by ctx. Adds a problem for each parameter
 * that is missing or wrong.
 */
void nd_read_question(TALLOC_CTX *ctx, nd_query_fn get_query, const void *data,
		      struct prob_list *list, struct tr_question *question);

/* Returns new JSON. */
json_t *nd_format_explanation(const struct tr_explanation *explanation);

/* Answers when the first traffic thread has, or with 503 after its limit. */
void nd_handle_explain_route(struct nd_node *node, struct web_request *request);

#endif
