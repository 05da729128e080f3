/*
 * Parsing and formatting of the manifest as JSON. A manifest from a peer is
 * untrusted: the type and range of every field are checked, and entries must be
 * sorted by name without duplicates.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"
#include "loom/error.h"
#include "loom/reader.h"

#define WRITE_ID_BYTES_MAX 200U
#define DOMAINS_MAX 1000U
#define STEP_INDEX_MAX 31U
#define HASH_DIGITS 16U
#define STEP "parse manifest"

static const struct rd_range sequence_range = { 0, INT64_MAX };
static const struct rd_range version_range = { 1, INT64_MAX };
static const struct rd_range write_id_range = { 0, WRITE_ID_BYTES_MAX };
static const struct rd_range services_range = { 0, DOC_SERVICES_MAX };
static const struct rd_range domains_range = { 0, DOMAINS_MAX };
static const struct rd_range share_range = { 0, DOC_SHARE_ALL_PERMILLE };
static const struct rd_range step_range = { 0, STEP_INDEX_MAX };
static const struct rd_range hash_range = { HASH_DIGITS, HASH_DIGITS };
static const struct rd_range state_range = { 1, 16 };

/* Checks that an entry follows the one before it by name. */
static void check_order(struct rd_object *object, const char *name,
			const char *previous_name)
{
	if (name && previous_name && strcmp(previous_name, name) >= 0)
		rd_add_problem(object, "name",
			       "got \"%s\" after \"%s\", wanted entries in "
			       "order of name, each once",
			       name, previous_name);
}

static void read_state(struct rd_object *object,
		       struct doc_manifest_service *service)
{
	const char *name;

	if (!rd_read_text(object, "move", RD_REQUIRED, &state_range, &name))
		return;
	if (!doc_parse_move_state(name, &service->move_state))
		rd_add_problem(object, "move",
			       "got \"%s\", wanted none, waiting, running, "
			       "soaking, done or taken_back",
			       name);
}

/* Reads a hash; only the format that format_services() writes is valid. */
static void read_hash(struct rd_object *object, uint64_t *hash)
{
	const char *text;

	if (!rd_read_text(object, "hash", RD_REQUIRED, &hash_range, &text))
		return;
	if (strspn(text, "0123456789abcdef") == HASH_DIGITS)
		*hash = g_ascii_strtoull(text, NULL, 16);
	else
		rd_add_problem(object, "hash",
			       "got \"%s\", wanted %u lower-case hexadecimal "
			       "digits",
			       text, HASH_DIGITS);
}

static void read_service(struct rd_object *object,
			 struct doc_manifest_service *service)
{
	rd_read_label(object, "name", RD_REQUIRED, &service->name);
	rd_read_uint64(object, "version", RD_REQUIRED, &version_range,
		       &service->document_version);
	read_hash(object, &service->content_hash);
	read_state(object, service);
	rd_read_uint32(object, "share_permille", RD_REQUIRED, &share_range,
		       &service->share_permille);
	rd_read_uint32(object, "step", RD_REQUIRED, &step_range,
		       &service->step_index);
	if (service->move_state == DOC_MOVE_NONE &&
	    (service->share_permille > 0 || service->step_index > 0))
		rd_add_problem(
			object, "share_permille",
			"got share %u and step %u without a move, wanted "
			"0 and 0",
			service->share_permille, service->step_index);
}

static void read_services(struct rd_object *object,
			  struct doc_manifest *manifest)
{
	const char *previous_name = NULL;
	size_t count;

	if (!rd_read_array(object, "services", RD_REQUIRED, &services_range,
			   &count))
		return;
	manifest->services =
		talloc_zero_array(manifest, struct doc_manifest_service, count);
	manifest->service_count = count;
	for (size_t i = 0; i < count; i++) {
		struct doc_manifest_service *service = &manifest->services[i];
		struct rd_object *item = rd_open_item(object, "services", i);

		if (!item)
			continue;
		read_service(item, service);
		check_order(item, service->name, previous_name);
		previous_name = service->name;
		rd_close_object(item);
	}
}

static void read_domains(struct rd_object *object,
			 struct doc_manifest *manifest)
{
	const char *previous_name = NULL;
	size_t count;

	if (!rd_read_array(object, "domains", RD_REQUIRED, &domains_range,
			   &count))
		return;
	manifest->domains =
		talloc_zero_array(manifest, struct doc_manifest_domain, count);
	manifest->domain_count = count;
	for (size_t i = 0; i < count; i++) {
		struct doc_manifest_domain *domain = &manifest->domains[i];
		struct rd_object *item = rd_open_item(object, "domains", i);

		if (!item)
			continue;
		rd_read_label(item, "name", RD_REQUIRED, &domain->name);
		rd_read_bool(item, "out", RD_REQUIRED, &domain->is_out);
		check_order(item, domain->name, previous_name);
		previous_name = domain->name;
		rd_close_object(item);
	}
}

static void read_manifest(struct rd_object *object,
			  struct doc_manifest *manifest)
{
	rd_read_uint64(object, "sequence", RD_REQUIRED, &sequence_range,
		       &manifest->sequence);
	rd_read_text(object, "write_id", RD_REQUIRED, &write_id_range,
		     &manifest->write_id);
	read_services(object, manifest);
	read_domains(object, manifest);
	rd_close_object(object);
}

struct doc_manifest *doc_parse_manifest(TALLOC_CTX *ctx, const char *text,
					size_t size, GError **error)
{
	struct doc_manifest *manifest = talloc_zero(ctx, struct doc_manifest);
	struct prob_list *list = prob_new_list(manifest);
	GString *problems = g_string_new(NULL);
	struct rd_object *object = NULL;
	json_t *json;

	json = rd_parse_text("manifest", text, size, DOC_TEXT_BYTES_MAX, list);
	if (json)
		object = rd_open_object(manifest, json, "manifest", list);
	if (object)
		read_manifest(object, manifest);
	if (prob_get_count(list) > 0) {
		prob_print_list(list, problems);
		g_strchomp(problems->str);
		err_set(error, ERR_INVALID_DOCUMENT, STEP, NULL, "%s",
			problems->str);
		TALLOC_FREE(manifest);
	} else {
		talloc_free(list);
	}
	json_decref(json);
	g_string_free(problems, TRUE);
	return manifest;
}

static json_t *format_services(const struct doc_manifest *manifest)
{
	json_t *array = json_array();

	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *service =
			&manifest->services[i];
		char hash[HASH_DIGITS + 1];

		g_snprintf(hash, sizeof(hash), "%016" PRIx64,
			   service->content_hash);
		json_array_append_new(
			array,
			json_pack("{s:s, s:I, s:s, s:s, s:I, s:I}", "name",
				  service->name, "version",
				  (json_int_t)service->document_version, "hash",
				  hash, "move",
				  doc_get_move_state_name(service->move_state),
				  "share_permille",
				  (json_int_t)service->share_permille, "step",
				  (json_int_t)service->step_index));
	}
	return array;
}

static json_t *format_domains(const struct doc_manifest *manifest)
{
	json_t *array = json_array();

	for (size_t i = 0; i < manifest->domain_count; i++) {
		const struct doc_manifest_domain *domain =
			&manifest->domains[i];

		json_array_append_new(array, json_pack("{s:s, s:b}", "name",
						       domain->name, "out",
						       (int)domain->is_out));
	}
	return array;
}

char *doc_format_manifest(TALLOC_CTX *ctx, const struct doc_manifest *manifest)
{
	json_t *json;
	char *dumped;
	char *text;

	json = json_pack("{s:I, s:s, s:o, s:o}", "sequence",
			 (json_int_t)manifest->sequence, "write_id",
			 manifest->write_id, "services",
			 format_services(manifest), "domains",
			 format_domains(manifest));
	dumped = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	text = talloc_strdup(ctx, dumped);
	free(dumped);
	json_decref(json);
	return text;
}
