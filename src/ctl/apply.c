/*
 * Command apply: prints how a document differs from the one on the platform,
 * and writes it if the stored document has not changed since it was read.
 */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "loom/error.h"
#include "loom/spread.h"

/* One run of the command. */
struct apply {
	struct ctl_context *context;
	const char *service;
	char *key;
	json_t *document;	  /* document read from the file */
	struct ctl_object stored; /* stored object; version 0: absent */
	const char *difference;	  /* lines of text; "" when equal */
};

static const json_t *get_document(const struct ctl_object *object)
{
	return json_object_get(object->value, "document");
}

/* Returns the outcome as shown in text output; JSON has it unchanged. */
static const char *get_outcome_text(const char *outcome)
{
	return strcmp(outcome, "dry_run") == 0 ? "not applied (dry run)"
					       : outcome;
}

static void print_outcome(const struct apply *apply, const char *outcome,
			  uint64_t version)
{
	if (apply->context->is_json) {
		ctl_print_json(json_pack(
			"{s:s,s:s,s:I,s:o}", "service", apply->service,
			"outcome", outcome, "version", (json_int_t)version,
			"difference", ctl_make_lines(apply->difference)));
		return;
	}
	fputs(apply->difference, stdout);
	printf("%s: %s, version %" PRIu64 "\n", apply->service,
	       get_outcome_text(outcome), version);
}

/* Reads the document from the platform; an absent one is not an error. */
static bool read_stored(struct apply *apply, struct ctl_object *object)
{
	ctl_read_object(apply->context, apply->key, object);
	if (g_error_matches(object->error, ERR_DOMAIN, ERR_NOT_FOUND))
		g_clear_error(&object->error);
	return object->error == NULL;
}

/*
 * Prints what changed between the document before, which from describes, and
 * the one that the platform holds now.
 */
static enum ctl_exit print_conflict(const struct apply *apply,
				    uint64_t expected_version,
				    const struct ctl_object *stored,
				    const json_t *before, const char *from)
{
	const char *changes;

	if (stored->version == 0) {
		fprintf(stderr,
			"loomctl: %s has no document, wanted version %" PRIu64
			": someone else deleted it.\n",
			apply->service, expected_version);
		return CTL_EXIT_CONFLICT;
	}
	changes = doc_format_difference(apply->context->ctx, before,
					get_document(stored));
	fprintf(stderr,
		"loomctl: %s is at version %" PRIu64 ", wanted version %" PRIu64
		": someone else changed it.\n"
		"Changes from %s to version %" PRIu64 ":\n%s",
		apply->service, stored->version, expected_version, from,
		stored->version, *changes ? changes : "none\n");
	if (apply->context->is_json)
		ctl_print_json(json_pack(
			"{s:s,s:s,s:I,s:I,s:s,s:o}", "service", apply->service,
			"outcome", "conflict", "version",
			(json_int_t)stored->version, "expected_version",
			(json_int_t)expected_version, "from", from, "changes",
			ctl_make_lines(changes)));
	return CTL_EXIT_CONFLICT;
}

/*
 * Refuses the command because the document does not have the expected version.
 * Prints the changes since that version from the copy that is kept of each
 * accepted version. Without a copy the given file is compared instead.
 */
static enum ctl_exit report_version_mismatch(const struct apply *apply,
					     uint64_t expected_version)
{
	char *key = talloc_asprintf(apply->context->ctx, "%s%s/%" PRIu64,
				    SPR_KEY_ACCEPTED, apply->service,
				    expected_version);
	struct ctl_object copy;
	enum ctl_exit result;

	ctl_read_object(apply->context, key, &copy);
	if (copy.error)
		result = print_conflict(apply, expected_version, &apply->stored,
					apply->document, "your file");
	else
		result = print_conflict(apply, expected_version, &apply->stored,
					get_document(&copy),
					"the expected version");
	ctl_clear_object(&copy);
	return result;
}

/* Prints what another writer changed between this command's read and write. */
static enum ctl_exit report_write_conflict(struct apply *apply)
{
	struct ctl_object now;
	enum ctl_exit result = CTL_EXIT_CONFLICT;

	if (read_stored(apply, &now))
		result = print_conflict(apply, apply->stored.version, &now,
					get_document(&apply->stored),
					"the version read before");
	else
		ctl_print_error(now.error);
	ctl_clear_object(&now);
	return result;
}

static enum ctl_exit write_document(struct apply *apply)
{
	json_t *value = json_pack("{s:O}", "document", apply->document);
	struct ctl_object written;
	enum ctl_exit result = CTL_EXIT_OK;

	ctl_write_object(apply->context, apply->key, value,
			 apply->stored.version, &written);
	if (g_error_matches(written.error, ERR_DOMAIN, ERR_CONFLICT)) {
		result = report_write_conflict(apply);
	} else if (written.error) {
		result = ctl_print_error(written.error);
		if (g_error_matches(written.error, ERR_DOMAIN,
				    ERR_UNKNOWN_OUTCOME))
			fprintf(stderr,
				"It may have been applied: see "
				"\"loomctl get %s\" before you try again.\n",
				apply->service);
	} else {
		print_outcome(apply, "applied", written.version);
	}
	ctl_clear_object(&written);
	json_decref(value);
	return result;
}

static enum ctl_exit compare_and_write(struct apply *apply)
{
	const struct ctl_options *options = &apply->context->options;

	if (!read_stored(apply, &apply->stored))
		return ctl_print_error(apply->stored.error);
	if (options->has_expected_version &&
	    options->expected_version != apply->stored.version)
		return report_version_mismatch(apply,
					       options->expected_version);
	apply->difference = doc_format_difference(apply->context->ctx,
						  get_document(&apply->stored),
						  apply->document);
	if (!*apply->difference) {
		print_outcome(apply, "unchanged", apply->stored.version);
		return CTL_EXIT_OK;
	}
	if (options->is_dry_run) {
		print_outcome(apply, "dry_run", apply->stored.version);
		return CTL_EXIT_OK;
	}
	return write_document(apply);
}

enum ctl_exit ctl_apply_document(struct ctl_context *context, const char *file)
{
	struct doc_problem_list *list = doc_new_problem_list(context->ctx);
	struct apply apply = { .context = context };
	const struct doc_service *service;
	enum ctl_exit result;

	service = ctl_read_file(context->ctx, file, &apply.document, list);
	if (!service) {
		if (context->is_json)
			ctl_print_json(json_pack("{s:s,s:o}", "outcome",
						 "invalid", "problems",
						 ctl_make_problems(list)));
		ctl_print_problems(list);
		return CTL_EXIT_INVALID;
	}
	apply.service = service->name;
	apply.key = ctl_make_document_key(context, service->name);
	result = compare_and_write(&apply);
	ctl_clear_object(&apply.stored);
	json_decref(apply.document);
	return result;
}
