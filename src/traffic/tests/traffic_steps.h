/* Scripts of calls through traffic services in one process. */
#ifndef TRAFFIC_STEPS_H
#define TRAFFIC_STEPS_H

/* Runs scripts/NAME.script with a mesh of its own. */
void ts_run_script(const char *name);

#endif
