/*
 * Logs: one JSON object a line on standard output, composed through log4c.
 *
 * Safe to call from every thread after log_open(). A call never waits for the
 * reader of the log: lines that do not fit into the queue are left out, and a
 * line says how many.
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
 * Opens the log of this process; program is shown in each line (borrowed for
 * the life of the process). Lines below level are dropped.
 */
void log_open(const char *program, enum log_level level);

/* Lines below level are dropped from now on. */
void log_set_level(enum log_level level);

/*
 * Writes what waits and closes the log: lines are dropped until it is opened
 * again. No other thread may write lines meanwhile.
 */
void log_close(void);

/* Ends the pairs of log_write(). */
#define LOG_END ((const char *)NULL)

/*
 * Writes one line. module is the writing slice; step and peer say what was
 * done to whom and may be NULL. Then follow pairs of strings,
 * name and value, ended by LOG_END.
 */
void log_write(enum log_level level, const char *module, const char *step,
	       const char *peer, const char *message, ...)
	__attribute__((sentinel));

/* Writes an error with its step, peer and code. Does not free it. */
void log_write_error(enum log_level level, const char *module,
		     const GError *error);

#endif
