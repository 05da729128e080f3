/*
 * Parser of a service document: its outermost object, limits and objective.
 *
 * The service is filled field by field. When a field has a problem, its default
 * stays and parsing continues, so that one run reports all problems. The
 * incomplete service is freed at the end in that case.
 */
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "parse.h"

#define VERSIONS_MAX 16U
#define CALLS_MAX 64U
#define PPM_PER_PERCENT 10000U

static const struct doc_limits default_limits = {
	.slots = 8,
	.connections = 64,
	.queue_length = 16,
	.request_body_bytes = 1024 * 1024,
	.header_bytes = 16 * 1024,
};

static const struct doc_objective default_objective = {
	.availability_ppm = 999000,
	.latency_ms = 500,
	.latency_ppm = 990000,
};

static const struct rd_range slots_range = { 1, 10000 };
static const struct rd_range connections_range = { 1, 100000 };
static const struct rd_range queue_range = { 0, 10000 };
static const struct rd_range body_range = { 0, 64 * 1024 * 1024 };
static const struct rd_range header_range = { 1024, 256 * 1024 };
static const struct rd_range cold_calls_range = { 0, 1000000 };
static const struct rd_range latency_range = { 1, 3600 * 1000 };
static const struct rd_range versions_range = { 1, VERSIONS_MAX };
static const struct rd_range calls_range = { 0, CALLS_MAX };
static const struct rd_decimal percent = {
	.units_per_whole = PPM_PER_PERCENT,
	.min_units = 1,
	.max_units = 100 * PPM_PER_PERCENT - 1,
};

bool doc_list_contains(const char *const *list, const char *text)
{
	for (; list && *list; list++) {
		if (strcmp(*list, text) == 0)
			return true;
	}
	return false;
}

static void read_versions(struct rd_object *object, struct doc_service *service)
{
	bool is_valid = rd_read_labels(object, "versions", RD_REQUIRED,
				       &versions_range, &service->versions);

	if (!rd_read_label(object, "current", RD_REQUIRED, &service->current))
		return;
	if (is_valid && !doc_list_contains(service->versions, service->current))
		rd_add_problem(object, "current",
			       "got \"%s\", wanted one of \"versions\"",
			       service->current);
}

static void read_limits(struct rd_object *object, struct doc_limits *limits)
{
	struct rd_object *field;

	*limits = default_limits;
	field = rd_open_field(object, "limits", RD_OPTIONAL);
	if (!field)
		return;
	rd_read_uint32(field, "slots", RD_OPTIONAL, &slots_range,
		       &limits->slots);
	rd_read_uint32(field, "connections", RD_OPTIONAL, &connections_range,
		       &limits->connections);
	rd_read_uint32(field, "queue_length", RD_OPTIONAL, &queue_range,
		       &limits->queue_length);
	rd_read_uint32(field, "request_body_bytes", RD_OPTIONAL, &body_range,
		       &limits->request_body_bytes);
	rd_read_uint32(field, "header_bytes", RD_OPTIONAL, &header_range,
		       &limits->header_bytes);
	rd_read_uint32(field, "cold_calls_per_second", RD_OPTIONAL,
		       &cold_calls_range, &limits->cold_calls_per_second);
	if (limits->connections < limits->slots)
		rd_add_problem(field, "connections",
			       "got %u, wanted at least the %u of \"slots\"",
			       limits->connections, limits->slots);
	rd_close_object(field);
}

static void read_objective(struct rd_object *object,
			   struct doc_objective *objective)
{
	struct rd_object *field;

	*objective = default_objective;
	field = rd_open_field(object, "objective", RD_OPTIONAL);
	if (!field)
		return;
	rd_read_decimal(field, "availability_percent", RD_OPTIONAL, &percent,
			&objective->availability_ppm);
	rd_read_uint32(field, "latency_ms", RD_OPTIONAL, &latency_range,
		       &objective->latency_ms);
	rd_read_decimal(field, "latency_percent", RD_OPTIONAL, &percent,
			&objective->latency_ppm);
	rd_close_object(field);
}

static void read_calls(struct rd_object *object, struct doc_service *service)
{
	static const char *const no_calls[] = { NULL };

	service->calls = no_calls;
	if (rd_read_labels(object, "calls", RD_OPTIONAL, &calls_range,
			   &service->calls) &&
	    service->name && doc_list_contains(service->calls, service->name))
		rd_add_problem(object, "calls",
			       "got \"%s\", wanted other services only",
			       service->name);
}

static void read_service(struct rd_object *object, struct doc_service *service)
{
	rd_read_label(object, "service", RD_REQUIRED, &service->name);
	read_versions(object, service);
	doc_read_routes(object, service);
	read_limits(object, &service->limits);
	doc_read_move(object, service);
	read_objective(object, &service->objective);
	read_calls(object, service);
	rd_close_object(object);
}

uint64_t doc_hash_content(const json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t hash = XXH64(text, strlen(text), 0);

	free(text);
	return hash;
}

struct doc_service *doc_parse_service(TALLOC_CTX *ctx, const char *file,
				      const char *text, size_t size,
				      uint64_t document_version,
				      struct doc_problem_list *list)
{
	size_t count_before = prob_get_count(list->kept);
	struct doc_service *service = NULL;
	struct rd_object *object;
	json_t *json;

	json = rd_parse_text(file, text, size, DOC_TEXT_BYTES_MAX, list->kept);
	if (!json)
		return NULL;
	service = talloc_zero(ctx, struct doc_service);
	service->document_version = document_version;
	service->content_hash = doc_hash_content(json);
	object = rd_open_object(service, json, file, list->kept);
	if (object)
		read_service(object, service);
	if (prob_get_count(list->kept) > count_before)
		TALLOC_FREE(service);
	json_decref(json);
	return service;
}
