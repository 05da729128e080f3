/*
 * GError with a step and a peer, kept in the private data that GLib attaches
 * to an extended error.
 *
 * Invariant: the private data of an error of ERR_DOMAIN has a step; peer is
 * NULL when the failed operation involved no other side.
 */
#include "loom/error.h"

#include <stdbool.h>

/*
 * G_DEFINE_EXTENDED_ERROR requires the names of this type and of the three
 * functions below.
 */
typedef struct err_private {
	char *step;
	char *peer;
} ErrPrivate;

static void err_private_init(ErrPrivate *private)
{
	private->step = NULL;
	private->peer = NULL;
}

static void err_private_copy(const ErrPrivate *source, ErrPrivate *copy)
{
	copy->step = g_strdup(source->step);
	copy->peer = g_strdup(source->peer);
}

static void err_private_clear(ErrPrivate *private)
{
	g_free(private->step);
	g_free(private->peer);
}

GQuark err_quark(void);
G_DEFINE_EXTENDED_ERROR(Err, err)

GQuark err_get_domain(void)
{
	return err_quark();
}

void err_set(GError **error, enum err_code code, const char *step,
	     const char *peer, const char *format, ...)
{
	struct err_private *private;
	va_list arguments;

	if (!error)
		return;
	g_assert(!*error);
	va_start(arguments, format);
	*error = g_error_new_valist(ERR_DOMAIN, (int)code, format, arguments);
	va_end(arguments);
	private = err_get_private(*error);
	private->step = g_strdup(step);
	private->peer = g_strdup(peer);
}

static const char *get_step_or_peer(const GError *error, bool is_step)
{
	const struct err_private *private;
	const char *text;

	if (!error || error->domain != ERR_DOMAIN)
		return "";
	private = err_get_private(error);
	text = is_step ? private->step : private->peer;
	return text ? text : "";
}

const char *err_get_step(const GError *error)
{
	return get_step_or_peer(error, true);
}

const char *err_get_peer(const GError *error)
{
	return get_step_or_peer(error, false);
}

const char *err_get_code_name(enum err_code code)
{
	switch (code) {
	case ERR_INVALID_ARGUMENT:
		return "invalid_argument";
	case ERR_INVALID_DOCUMENT:
		return "invalid_document";
	case ERR_INVALID_MESSAGE:
		return "invalid_message";
	case ERR_CONFLICT:
		return "conflict";
	case ERR_NOT_FOUND:
		return "not_found";
	case ERR_GONE:
		return "gone";
	case ERR_UNAVAILABLE:
		return "unavailable";
	case ERR_TIMEOUT:
		return "timeout";
	case ERR_RATE_LIMITED:
		return "rate_limited";
	case ERR_UNKNOWN_OUTCOME:
		return "unknown_outcome";
	case ERR_INTERNAL:
		return "internal";
	}
	return "unknown";
}
