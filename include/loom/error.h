/*
 * Errors: a GError that also names the step that failed and the peer.
 *
 * Each function that can fail takes a GError ** as its last argument, sets it
 * where the error occurs and reports the failure by its return value.
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
 * Sets *error, which must be NULL, to a new GError of ERR_DOMAIN; does nothing
 * if error is NULL. step names the operation that failed ("parse manifest");
 * peer names the other side, such as "127.0.1.2:8080" or a file name, and may
 * be NULL. Both are copied.
 */
void err_set(GError **error, enum err_code code, const char *step,
	     const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* Returns the step (borrowed), or "" for an error of another domain. */
const char *err_get_step(const GError *error);

/* Returns the peer (borrowed), or "" when there is none. */
const char *err_get_peer(const GError *error);

/* Returns the lower-case name of a code, for logs and JSON output. */
const char *err_get_code_name(enum err_code code);

#endif
