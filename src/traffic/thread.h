/*
 * Internal declarations of src/traffic: a thread, its listeners and its
 * commands.
 */
#ifndef TR_THREAD_H
#define TR_THREAD_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>
#include "loom/admission.h"
#include "loom/exchange.h"
#include "loom/http.h"
#include "loom/load_report.h"
#include "loom/mailbox.h"
#include "loom/returns.h"
#include "silence.h"
#include "target_check.h"
#include "loom/timer.h"
#include "loom/traffic.h"

struct tr_call;

/* Which listener a call came in on. */
enum tr_role {
	TR_ROLE_ENTRY, /* calls from callers */
	TR_ROLE_HOP,   /* calls from other nodes for the local target */
};

struct tr_listener {
	struct tr_thread *thread;
	enum tr_role role;
	struct hx_server *server;
};

/* Metrics of all threads. */
struct tr_counters {
	struct cnt_counter *calls[2]; /* indexed by enum tr_role */
	struct cnt_counter *answers[2];
	struct cnt_histogram *durations[2];
	struct cnt_counter *refusals[2];
	struct cnt_counter *broken[2];
	struct cnt_counter *malformed[2];
	struct cnt_counter *malformed_headers[2];
	struct cnt_counter *cancelled[2];
	struct cnt_counter *local_calls;
	struct cnt_counter *retries;
	struct cnt_counter *repeats_stopped;
	struct cnt_counter *connections_closed;
	struct cnt_counter *connections_evicted;
	struct cnt_counter *foreign;
	struct cnt_counter *reports_rejected;
	struct cnt_counter *early_refusals;
	struct cnt_counter *calls_away;
	struct cnt_counter *unanswered;
	struct cnt_counter *promises_made;
	struct cnt_counter *promises_kept;
	struct cnt_counter *promises_broken;
	struct cnt_counter *early_returns;
	struct cnt_histogram *gate_waits[RT_CLASS_COUNT]; /* or NULL */
	struct cnt_counter *checks_warm;
	struct cnt_counter *checks_cold;
	struct cnt_counter *checks_unanswered;
	struct cnt_counter *tables;
	struct cnt_counter *commands;
	struct load_counters load;
};

enum tr_command_kind {
	TR_COMMAND_ANNOUNCE,
	TR_COMMAND_HEARTBEAT,
	TR_COMMAND_DRAIN_TARGET,
	TR_COMMAND_LIMIT_HINT,
	TR_COMMAND_BEGIN_DRAIN,
	TR_COMMAND_REFUSE_CALLERS,
	TR_COMMAND_EXPLAIN,
	TR_COMMAND_STOP,
};

/* A command of the control thread; the receiving thread frees it. */
struct tr_command {
	enum tr_command_kind kind;
	union {
		struct {
			char *service;
			char *version;
			char *instance;
			char *url; /* "http://127.0.1.1:9001" */
		} announce;
		struct {
			uint32_t slots;
			uint32_t warm_up_ms;
		} heartbeat;
		uint32_t hinted_limit;
		uint64_t drain_end_ms;
		struct {
			uint64_t inquiry;
			struct tr_question *question;
		} explain;
	};
};

struct tr_thread {
	struct tr_service *service;
	uint32_t index;
	pthread_t handle;
	bool is_running;
	struct tevent_context *events;
	struct tmr_service *timers;
	struct tr_listener entry;
	struct tr_listener hop; /* first thread only */
	/* Its metrics are set by the control thread before the start. */
	struct hx_pacing_options pacing_options;
	struct hx_pacing *pacing;    /* of both servers; NULL: off */
	struct hc_loop *peer_loop;   /* connections to other nodes */
	struct hc_loop *target_loop; /* connections to the local target */
	/* What callers and targets make the thread hold. */
	struct acc_account account;
	GQueue free_handles; /* CURL handles for reuse */
	struct rt_chooser *chooser;
	struct rt_answer_sizes *answer_sizes;	  /* of calls of callers */
	struct rt_answer_sizes *hop_answer_sizes; /* of the local target */
	GHashTable *budgets;	    /* service name to struct rt_budget */
	struct rt_returns *returns; /* callers that this thread has refused */
	struct rt_table *table;
	/* Set by the control thread. */
	_Atomic(struct rt_table *) pending_table;
	struct adm_gate *gate;
	struct tmr_alarm *waiting_alarm; /* set to waiting_due_ms */
	uint64_t waiting_due_ms;	 /* UINT64_MAX: the alarm is not set */
	struct tr_silence silence;	 /* of the local target */
	struct tr_target_check check;
	uint64_t large_bytes; /* large answers that the target is to send */
	GHashTable
		*running; /* request id to its struct tr_call at the target */
	struct load_service *load; /* first thread only; NULL: no reports */
	char *target_service;
	char *target_instance;
	char *target_url;
	struct mbx_mailbox *commands; /* of struct tr_command */
	_Atomic bool is_refusing;     /* new calls of callers are refused */
	uint64_t drain_end_ms;	      /* when the node ends; 0: not draining */
	bool is_stopped;
	uint64_t random_state;
	GHashTable *samples; /* samples of the current slot; see samples.c */
	uint64_t sample_slot;
	uint64_t malformed_logged_ms;
	uint32_t log_line_count; /* call log lines in this second */
	uint32_t suppressed_line_count;
	uint32_t malformed_header_count; /* since the last log line of them */
	_Atomic uint32_t call_count;
};

struct tr_service {
	struct tr_options options;
	/* Of callers' connections; set by the control thread. */
	_Atomic uint32_t idle_timeout_ms;
	_Atomic uint32_t header_timeout_ms;
	const char *hop_address; /* "ADDRESS:PORT" of this node in tables */
	struct tr_counters counters;
	struct tr_thread *threads;
	struct mbx_mailbox *batches; /* samples for the control thread */
	/* Of the control thread; see explain.c. */
	struct tevent_context *events;
	GHashTable *inquiries;	      /* id to its struct tr_inquiry */
	uint64_t inquiry_count;	      /* the id of the last one */
	uint32_t open_question_count; /* sent to the thread, not answered */
	struct mbx_mailbox *answers;  /* explanations for the inquiries */
};

/*
 * Opens the listeners and loops of a thread and starts it. Returns false with
 * *error set; tr_join_thread() must be called in either case.
 */
bool tr_start_thread(struct tr_thread *thread, GError **error);

/* Queues a command (stolen) for a thread and wakes it. */
void tr_send_command(struct tr_thread *thread, struct tr_command *command);

/* Wakes a thread to process new commands and a new table. */
void tr_wake_thread(struct tr_thread *thread);

/* Waits for the end of a stopped thread and frees its resources. */
void tr_join_thread(struct tr_thread *thread);

/* Returns a curl handle from the pool or a new one, owned by the caller. */
CURL *tr_take_handle(struct tr_thread *thread);

/* Returns a handle (stolen) to the pool. */
void tr_return_handle(struct tr_thread *thread, CURL *easy);

/* Returns the retry budget of a service (borrowed); creates it if needed. */
struct rt_budget *tr_get_budget(struct tr_thread *thread, const char *service);

#endif
