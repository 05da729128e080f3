/*
 * Errors: a GError that also carries the step and the peer at which it arose.
 *
 * Every fallible function takes a GError ** as its last argument, sets it where
 * the error arises and reports failure by its return value.
 */
#ifndef LOOM_ERROR_H
#define LOOM_ERROR_H

#include <glib.h>

enum err_code {
	ERR_INVALID_ARGUMENT,
	ERR_INVALID_DOCUMENT,
	ERR_INVALID_MESSAGE,
	ERR_CONFLICT,
	ERR_NOT_FOUND,
	ERR_GONE,
	ERR_UNAVAILABLE,
	ERR_TIMEOUT,
	ERR_RATE_LIMITED,
	ERR_UNKNOWN_OUTCOME,
	ERR_INTERNAL,
};

#define ERR_DOMAIN err_get_domain()

/* Returns the GError domain of this project. */
GQuark err_get_domain(void);

/*
 * Sets *error, when error is not NULL, to a new GError of ERR_DOMAIN.
 * step names the operation in progress ("parse manifest"); peer names the
 * other side ("127.0.1.2:8080", a file name) and may be NULL. Both are copied.
 */
void err_set(GError **error, enum err_code code, const char *step,
	     const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* Returns the step of an error (borrowed), or "" for a foreign error. */
const char *err_get_step(const GError *error);

/* Returns the peer of an error (borrowed), or "" when there is none. */
const char *err_get_peer(const GError *error);

/* Returns the lower-case name of a code, for logs and JSON output. */
const char *err_get_code_name(enum err_code code);

#endif
