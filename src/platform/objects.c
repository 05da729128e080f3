/*
 * Calls on objects: how each kind of call handles the response to a try.
 */
#include "client.h"

#include <string.h>
#include "loom/error.h"

/* The key of the version floor that holds the revision of the store. */
#define PLAT_STORE_KEY ""

static const char *get_step(const struct plat_call *call)
{
	switch (call->operation.kind) {
	case PLAT_CALL_GET:
		return "get object";
	case PLAT_CALL_LIST:
		return "list objects";
	case PLAT_CALL_PUT:
		return "put object";
	case PLAT_CALL_PUT_STATUS:
		return "put status";
	case PLAT_CALL_DELETE:
		return "delete object";
	case PLAT_CALL_WATCH:
	case PLAT_CALL_KIND_COUNT:
		break;
	}
	return "watch objects";
}

static enum err_code get_code(enum plat_outcome outcome)
{
	switch (outcome) {
	case PLAT_ABSENT:
		return ERR_NOT_FOUND;
	case PLAT_CONFLICT:
		return ERR_CONFLICT;
	case PLAT_HISTORY_GONE:
		return ERR_GONE;
	case PLAT_REJECTED:
		return ERR_INVALID_ARGUMENT;
	case PLAT_REFUSED:
		return ERR_RATE_LIMITED;
	case PLAT_NOT_SENT:
	case PLAT_LOST:
	case PLAT_DONE:
	case PLAT_OUTCOME_COUNT:
		break;
	}
	return ERR_UNAVAILABLE;
}

static void fail_call(struct plat_call *call, enum err_code code,
		      const char *message)
{
	GError *error = NULL;

	err_set(&error, code, get_step(call),
		plat_get_options(call->client)->base_url, "%s: %s",
		call->operation.key, message);
	plat_finish_call(call, error);
}

static void fail_with_outcome(struct plat_call *call, enum plat_outcome outcome)
{
	fail_call(call, get_code(outcome), plat_get_outcome_name(outcome));
}

static bool is_write(const struct plat_call *call)
{
	return call->operation.kind == PLAT_CALL_PUT ||
	       call->operation.kind == PLAT_CALL_PUT_STATUS ||
	       call->operation.kind == PLAT_CALL_DELETE;
}

void plat_fail_outdated(struct plat_call *call)
{
	err_set(&call->error, is_write(call) ? ERR_UNKNOWN_OUTCOME : ERR_GONE,
		get_step(call), plat_get_options(call->client)->base_url,
		"%s: the store has returned from an older copy since it "
		"answered",
		call->operation.key);
	call->result.error = call->error;
	call->result.object_count = 0;
}

static void finish_with_answer(struct plat_call *call,
			       struct plat_answer *answer)
{
	answer->is_borrowed = true;
	call->result.objects = answer->parsed.objects;
	call->result.object_count = answer->parsed.object_count;
	call->result.version = answer->parsed.version;
	call->result.revision = answer->parsed.revision;
	call->result.era = plat_get_era(call->client);
	plat_finish_call(call, NULL);
}

/* Checks all versions of a response; returns false if one is too old. */
static bool note_versions(struct plat_call *call, struct plat_answer *answer)
{
	struct plat_floors *floors = plat_get_floors(call->client);
	bool is_fresh = plat_note_version(floors, PLAT_STORE_KEY,
					  answer->parsed.revision);

	/* Here the revision is the object's, not the store's current one. */
	if (call->operation.kind != PLAT_CALL_LIST &&
	    call->operation.kind != PLAT_CALL_WATCH)
		is_fresh = true;
	for (size_t i = 0; i < answer->parsed.object_count; i++) {
		struct plat_object *object = &answer->parsed.objects[i];

		if (!plat_note_version(floors, object->key, object->version))
			is_fresh = false;
		object->is_older =
			plat_is_older(floors, object->key, object->version);
		if (object->is_deleted)
			plat_drop_floor(floors, object->key);
	}
	return is_fresh;
}

static void reset_floors(struct plat_call *call,
			 const struct plat_answer *answer)
{
	struct plat_floors *floors = plat_get_floors(call->client);

	plat_reset_floor(floors, PLAT_STORE_KEY);
	for (size_t i = 0; i < answer->parsed.object_count; i++)
		plat_reset_floor(floors, answer->parsed.objects[i].key);
}

static void retry_stale(struct plat_call *call, struct plat_answer *answer)
{
	cnt_add(plat_get_counter(call->client, CNT_KIND_COUNTER,
				 "stale_reads_total", NULL,
				 "Reads older than one seen before."),
		1);
	talloc_free(call->stale_answer);
	call->stale_answer = answer;
	plat_queue_retry(call, call->operation.kind == PLAT_CALL_LIST
				       ? PLAT_CALL_LIST
				       : PLAT_CALL_GET);
}

static void expire_read(struct plat_call *call)
{
	if (!call->stale_answer) {
		fail_call(call, ERR_TIMEOUT, "no answer in time");
		return;
	}
	reset_floors(call, call->stale_answer);
	fail_call(call, ERR_GONE,
		  "the store still returns versions older than ones read "
		  "before; it was restored to an older state");
}

/*
 * Adds one page of a list, and queues the next one if there is one. Returns
 * whether the list is complete.
 */
static bool add_page(struct plat_call *call, struct plat_answer *answer)
{
	struct plat_parsed_body *parsed = &answer->parsed;
	size_t count = call->page_object_count + parsed->object_count;

	if (!parsed->has_more && !call->pages)
		return true;
	answer->is_borrowed = true;
	call->page_rises = call->answer_rises;
	call->pages = talloc_realloc(call, call->pages, struct plat_object,
				     count + 1);
	for (size_t i = 0; i < parsed->object_count; i++)
		call->pages[call->page_object_count + i] = parsed->objects[i];
	call->page_object_count = count;
	if (parsed->has_more && parsed->object_count > 0) {
		call->operation.after = talloc_strdup(
			call, parsed->objects[parsed->object_count - 1].key);
		plat_queue_try(call, PLAT_CALL_LIST, 0);
		return false;
	}
	parsed->objects = call->pages;
	parsed->object_count = count;
	return true;
}

/* Returns whether earlier pages of the list are of an older era. */
static bool has_outdated_pages(const struct plat_call *call)
{
	return call->pages && call->page_rises != call->answer_rises;
}

static void restart_pages(struct plat_call *call)
{
	TALLOC_FREE(call->pages);
	call->page_object_count = 0;
	call->operation.after = NULL;
	plat_queue_try(call, PLAT_CALL_LIST, 0);
}

static void handle_read(struct plat_call *call, struct plat_answer *answer)
{
	switch (answer->outcome) {
	case PLAT_DONE:
		if (has_outdated_pages(call))
			restart_pages(call);
		else if (!call->operation.may_be_stale &&
			 !note_versions(call, answer))
			retry_stale(call, answer);
		else if (add_page(call, answer))
			finish_with_answer(call, answer);
		return;
	case PLAT_REFUSED:
	case PLAT_NOT_SENT:
	case PLAT_LOST:
		if (call->is_expired)
			expire_read(call);
		else
			plat_queue_retry(call, call->operation.kind);
		return;
	default:
		fail_with_outcome(call, answer->outcome);
	}
}

/*
 * ERR_UNKNOWN_OUTCOME marks a lost connection, after which the watch may retry
 * with the short first wait.
 */
static void handle_poll(struct plat_call *call, struct plat_answer *answer)
{
	if (plat_is_call_outdated(call)) {
		fail_call(call, ERR_GONE,
			  "the revision is of an older era of the store");
	} else if (answer->outcome == PLAT_DONE) {
		/* Events may be older than what other calls have read. */
		note_versions(call, answer);
		finish_with_answer(call, answer);
	} else if (answer->outcome == PLAT_LOST && !answer->is_overload) {
		fail_call(call, ERR_UNKNOWN_OUTCOME, "connection lost");
	} else {
		fail_with_outcome(call, answer->outcome);
	}
}

static void count_resolution(struct plat_call *call)
{
	static const char *const names[] = {
		[PLAT_WRITE_DONE] = "result=\"done\"",
		[PLAT_WRITE_CONFLICT] = "result=\"conflict\"",
		[PLAT_WRITE_UNKNOWN] = "result=\"unknown\"",
		[PLAT_WRITE_FAILED] = "result=\"failed\"",
	};

	cnt_add(plat_get_counter(call->client, CNT_KIND_COUNTER,
				 "write_resolutions_total",
				 names[call->resolution.result],
				 "Writes that were resolved by reading back."),
		1);
}

/*
 * The version of a write that took effect is current, even if it is below the
 * floor because the store was restored.
 */
static void note_written(struct plat_call *call)
{
	struct plat_floors *floors = plat_get_floors(call->client);

	if (call->operation.kind == PLAT_CALL_DELETE) {
		plat_drop_floor(floors, call->operation.key);
		return;
	}
	if (plat_note_version(floors, call->operation.key,
			      call->result.version))
		return;
	plat_reset_floor(floors, call->operation.key);
	plat_note_version(floors, call->operation.key, call->result.version);
}

static void end_write(struct plat_call *call)
{
	const struct plat_resolution *resolution = &call->resolution;

	call->result.version = resolution->version;
	call->result.era = plat_get_era(call->client);
	if (resolution->may_have_effect)
		count_resolution(call);
	switch (resolution->result) {
	case PLAT_WRITE_DONE:
		note_written(call);
		plat_finish_call(call, NULL);
		return;
	case PLAT_WRITE_CONFLICT:
		fail_call(call, ERR_CONFLICT,
			  "the object is not at the expected version");
		return;
	case PLAT_WRITE_UNKNOWN:
		fail_call(call, ERR_UNKNOWN_OUTCOME,
			  "the answer was lost and reading the object back "
			  "did not show whether the write took effect");
		return;
	case PLAT_WRITE_FAILED:
		fail_with_outcome(call, resolution->outcome);
		return;
	}
}

static void continue_write(struct plat_call *call)
{
	switch (call->resolution.step) {
	case PLAT_STEP_WRITE:
		plat_queue_retry(call, call->operation.kind);
		return;
	case PLAT_STEP_READ_BACK:
		plat_queue_retry(call, PLAT_CALL_GET);
		return;
	case PLAT_STEP_END:
		end_write(call);
		return;
	}
}

/* Returns whether the object holds what the call wrote. */
static bool holds_write(const struct plat_call *call,
			const struct plat_object *object)
{
	const char *written;
	const char *write_id;

	if (call->operation.kind == PLAT_CALL_PUT_STATUS)
		return json_equal(object->status, call->value);
	written = json_string_value(json_object_get(call->value, "write_id"));
	write_id =
		json_string_value(json_object_get(object->value, "write_id"));
	return written && write_id && strcmp(written, write_id) == 0;
}

static void handle_read_back(struct plat_call *call, struct plat_answer *answer)
{
	struct plat_read_back read = { 0 };

	if (answer->outcome == PLAT_DONE) {
		if (!note_versions(call, answer)) {
			retry_stale(call, answer);
			return;
		}
		read.is_present = true;
		read.version = answer->parsed.version;
		read.is_own = holds_write(call, &answer->parsed.objects[0]);
	} else if (answer->outcome != PLAT_ABSENT) {
		plat_queue_retry(call, PLAT_CALL_GET);
		return;
	}
	plat_note_read_back(&call->resolution, &read);
	continue_write(call);
}

static void handle_write(struct plat_call *call, struct plat_answer *answer)
{
	if (plat_is_call_outdated(call))
		plat_note_new_era(&call->resolution);
	if (call->is_expired) {
		plat_note_expiry(&call->resolution,
				 call->is_try_interrupted &&
					 call->resolution.step ==
						 PLAT_STEP_WRITE);
		end_write(call);
		return;
	}
	if (call->resolution.step == PLAT_STEP_READ_BACK) {
		handle_read_back(call, answer);
		return;
	}
	call->result.revision = answer->parsed.revision;
	plat_note_write(&call->resolution, answer->outcome,
			answer->parsed.version);
	continue_write(call);
}

static struct plat_call *new_read(TALLOC_CTX *ctx, struct plat_client *client,
				  enum plat_call_kind kind, const char *key,
				  plat_result_fn fn, void *data)
{
	struct plat_operation operation = { .kind = kind, .key = key };
	struct plat_call *call =
		plat_new_call(ctx, client, &operation, handle_read, fn, data);

	plat_queue_try(call, kind, 0);
	return call;
}

struct plat_call *plat_get_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, plat_result_fn fn,
				  void *data)
{
	return new_read(ctx, client, PLAT_CALL_GET, key, fn, data);
}

struct plat_call *plat_list_objects(TALLOC_CTX *ctx, struct plat_client *client,
				    const char *prefix, plat_result_fn fn,
				    void *data)
{
	return new_read(ctx, client, PLAT_CALL_LIST, prefix, fn, data);
}

struct plat_call *plat_list_stale_objects(TALLOC_CTX *ctx,
					  struct plat_client *client,
					  const char *prefix, plat_result_fn fn,
					  void *data)
{
	struct plat_operation operation = { .kind = PLAT_CALL_LIST,
					    .key = prefix,
					    .may_be_stale = true };
	struct plat_call *call =
		plat_new_call(ctx, client, &operation, handle_read, fn, data);

	plat_queue_try(call, PLAT_CALL_LIST, 0);
	return call;
}

static struct plat_call *new_write(TALLOC_CTX *ctx, struct plat_client *client,
				   const struct plat_operation *operation,
				   plat_result_fn fn, void *data)
{
	struct plat_call *call =
		plat_new_call(ctx, client, operation, handle_write, fn, data);

	plat_start_resolution(&call->resolution, operation->expected_version,
			      operation->kind == PLAT_CALL_DELETE);
	return call;
}

struct plat_call *plat_put_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, json_t *value,
				  uint64_t expected_version, plat_result_fn fn,
				  void *data)
{
	struct plat_operation operation = {
		.kind = PLAT_CALL_PUT,
		.key = key,
		.expected_version = expected_version,
		.value = value,
	};
	struct plat_call *call = new_write(ctx, client, &operation, fn, data);

	if (json_is_string(json_object_get(value, "write_id")))
		plat_queue_try(call, PLAT_CALL_PUT, 0);
	else
		fail_call(call, ERR_INVALID_ARGUMENT,
			  "got a value without write_id, wanted a text");
	return call;
}

struct plat_call *plat_put_status(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, json_t *value,
				  uint64_t expected_version, plat_result_fn fn,
				  void *data)
{
	struct plat_operation operation = {
		.kind = PLAT_CALL_PUT_STATUS,
		.key = key,
		.expected_version = expected_version,
		.value = value,
	};
	struct plat_call *call = new_write(ctx, client, &operation, fn, data);

	plat_queue_try(call, PLAT_CALL_PUT_STATUS, 0);
	return call;
}

struct plat_call *plat_delete_object(TALLOC_CTX *ctx,
				     struct plat_client *client,
				     const char *key, uint64_t expected_version,
				     plat_result_fn fn, void *data)
{
	struct plat_operation operation = {
		.kind = PLAT_CALL_DELETE,
		.key = key,
		.expected_version = expected_version,
	};
	struct plat_call *call = new_write(ctx, client, &operation, fn, data);

	plat_queue_try(call, PLAT_CALL_DELETE, 0);
	return call;
}

struct plat_call *plat_poll_events(TALLOC_CTX *ctx, struct plat_client *client,
				   const char *prefix, uint64_t revision,
				   uint32_t wait_ms, plat_result_fn fn,
				   void *data)
{
	struct plat_operation operation = {
		.kind = PLAT_CALL_WATCH,
		.key = prefix,
		.revision = revision,
		.wait_ms = wait_ms,
	};
	struct plat_call *call =
		plat_new_call(ctx, client, &operation, handle_poll, fn, data);

	plat_set_time_limit(call,
			    plat_get_options(client)->timeout_ms + wait_ms);
	call->try_timeout_ms += wait_ms;
	plat_queue_try(call, PLAT_CALL_WATCH, 0);
	return call;
}
