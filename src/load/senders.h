/*
 * Senders of load reports that were heard lately, and the decision which of
 * their reports is used. Without I/O.
 */
#ifndef LOAD_SENDERS_H
#define LOAD_SENDERS_H

#include <netinet/in.h>
#include <stdint.h>
#include <talloc.h>
#include "codec.h"

/* Reports of more senders than this are dropped. */
#define LOAD_SENDERS_MAX 4096U

enum load_verdict {
	LOAD_VERDICT_NEW,
	LOAD_VERDICT_OUTDATED, /* duplicated or overtaken by a newer one */
	LOAD_VERDICT_SURPLUS,  /* of one sender more than are kept */
};

/* Result of a check. */
struct load_check {
	enum load_verdict verdict;
	const char *target; /* "ADDRESS:PORT"; borrowed until the next check */
	uint32_t age_ms;    /* of the report that this one replaces */
	bool has_age;	    /* there is such a report */
};

struct load_senders;

/* Returns a new object that has heard no sender (owned by ctx). */
struct load_senders *load_new_senders(TALLOC_CTX *ctx);

/* Decides whether a report from address is used. */
struct load_check load_check_report(struct load_senders *senders,
				    struct in_addr address,
				    const struct load_report *report,
				    uint64_t now_ms);

/*
 * Forgets the sender of a report whose target is in no table, so that strangers
 * take no place; its report is not used.
 */
void load_forget_sender(struct load_senders *senders, struct in_addr address,
			const struct load_report *report);

/* Returns the number of senders that are kept. */
uint32_t load_count_senders(const struct load_senders *senders);

#endif
