/*
 * Logs: one JSON object per line on standard output, through log4c.
 *
 * Safe to call from any thread after log_open(). A call never blocks on the
 * reader of the log: lines that do not fit into the queue are dropped, and a
 * log line reports how many.
 */
#ifndef LOOM_LOG_H
#define LOOM_LOG_H

#include <glib.h>

enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_ERROR,
};

/*
 * Opens the log of this process. program appears in each line and must stay
 * valid until the process ends. Lines below level are dropped.
 */
void log_open(const char *program, enum log_level level);

/* Changes the level below which lines are dropped. */
void log_set_level(enum log_level level);

/*
 * Writes the queued lines and closes the log; lines are dropped until it is
 * opened again. No other thread may write log lines during the call. When the
 * reader does not read for about a second, the remaining lines are dropped.
 */
void log_close(void);

/* Terminates the name and value pairs of log_write(). */
#define LOG_END ((const char *)NULL)

/*
 * Writes one line. module names the part of the program that writes it; step is
 * the operation and peer its other side, both may be NULL. The message is
 * followed by pairs of strings, name and value, and by LOG_END. A pair whose
 * value is NULL or empty is omitted.
 */
void log_write(enum log_level level, const char *module, const char *step,
	       const char *peer, const char *message, ...)
	__attribute__((sentinel));

/* Writes an error (borrowed) with its step, peer and code. */
void log_write_error(enum log_level level, const char *module,
		     const GError *error);

#endif
