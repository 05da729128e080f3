/*
 * HTTP headers between callers, nodes and targets: which are forwarded, and
 * which nodes add for each other.
 */
#ifndef TR_HEADERS_H
#define TR_HEADERS_H

#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include "loom/exchange.h"
#include "loom/routing.h"
#include "loom/traffic.h"

#define TR_HEADER_DEADLINE "Loom-Deadline-Ms"
#define TR_HEADER_OBJECTIVE "Loom-Objective-Ms"
#define TR_HEADER_PRIORITY "Loom-Priority"
#define TR_HEADER_CLASS "Loom-Class"
#define TR_HEADER_WAITS "Loom-Wait-Us"
#define TR_HEADER_LINK_WAIT "Loom-Link-Wait-Us"
#define TR_HEADER_DEPTH "Loom-Depth"
#define TR_HEADER_REQUEST_ID "Loom-Request-Id"
#define TR_HEADER_SERVICE "Loom-Service"
#define TR_HEADER_VERSION "Loom-Version"
#define TR_HEADER_INSTANCE "Loom-Instance"
#define TR_HEADER_CALLER "Loom-Caller"
#define TR_HEADER_ROUTE "Loom-Route"
/* UDP port of the entry node that takes load reports. */
#define TR_HEADER_REPORT_PORT "Loom-Report-Port"
#define TR_HEADER_LIMIT "Loom-Limit"
#define TR_HEADER_IN_FLIGHT "Loom-In-Flight"
#define TR_HEADER_LATENCY "Loom-Latency-Us"
#define TR_HEADER_FAILURES "Loom-Failures-Permille"
#define TR_HEADER_PHASE "Loom-Phase"
#define TR_HEADER_UNREACHABLE "Loom-Unreachable"
#define TR_HEADER_SPENT "Loom-Spent-Us"
#define TR_HEADER_RUN "Loom-Run-Us"
#define TR_HEADER_REFUSED "Loom-Refused"
#define TR_HEADER_NOT_RUN "Loom-Not-Run"

/* Reason for a refusal by the target itself; a gate gives all other reasons. */
#define TR_REASON_SHED "target_shed"
/* The target answers later calls, but not this one. */
#define TR_REASON_UNANSWERED "unanswered"

/*
 * Returns whether a header is forwarded. connection is the value of the
 * message's Connection header or NULL: the headers listed in it are hop-by-hop
 * (RFC 9110, 7.6.1).
 */
bool tr_is_forwarded(const char *name, const char *connection);

/* Returns whether nodes use the header among themselves ("Loom-..."). */
bool tr_is_internal(const char *name);

/*
 * Appends the request headers that are forwarded, except those that nodes set
 * themselves. Takes ownership of list and returns the new head.
 */
struct curl_slist *tr_copy_headers(struct curl_slist *list,
				   const struct hx_exchange *exchange,
				   const struct tr_header_names *names);

/* Append "name: value". Take ownership of list and return the new head. */
struct curl_slist *tr_append_header(struct curl_slist *list, const char *name,
				    const char *value);
struct curl_slist *tr_append_number(struct curl_slist *list, const char *name,
				    uint64_t value);

/*
 * Reads a decimal request header. Returns false, and leaves value unchanged,
 * when it is absent, malformed or larger than max.
 */
bool tr_read_number(const struct hx_exchange *exchange, const char *name,
		    uint64_t max, uint64_t *value);

/* Reads a decimal number of at most max; leaves value unchanged on failure. */
bool tr_parse_number(const char *text, uint64_t max, uint64_t *value);

/* Reads "true" or "false"; leaves flag unchanged on failure. */
bool tr_parse_flag(const char *text, bool *flag);

enum tr_parse {
	TR_PARSE_OTHER, /* not a header of this kind */
	TR_PARSE_VALID,
	TR_PARSE_MALFORMED, /* counts as absent */
};

/* Stores a load header in load, unless it is malformed. */
enum tr_parse tr_read_load(const char *name, const char *value,
			   struct rt_load *load);

/* Adds all load headers to an answer. */
void tr_add_load(struct hx_exchange *exchange, const struct rt_load *load);

#endif
