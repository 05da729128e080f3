/*
 * Administration port. The target announces itself here; operators and other
 * nodes read the node's state.
 *
 *   POST /target   {"service","version","port","instance","phase"}
 *   GET  /ready    200 when a manifest is in force on this node, else 503
 *   GET  /members  the member table of this node
 *   GET  /metrics  counters in the Prometheus text format
 *   .../spread/... requests of other nodes, see src/spread/peer_api.h
 *   GET  /burn     history of call counts; ?service=NAME gives one service
 *   POST /moves/report  call counts that nodes send to a move's lease holder
 *   GET  /configuration/changes  long poll of other nodes, see relay.c
 *   POST /departures, GET /departures  copies for other nodes, see replicas.h
 *   GET  /explain-route  where a request would go, see explain_route.c
 */
#include <string.h>
#include <stdlib.h>
#include "explain_route.h"
#include "internal.h"
#include "replicas.h"
#include "loom/problem.h"
#include "loom/reader.h"

#define ANNOUNCEMENT_BYTES_MAX 4096U
#define SPREAD_PATH "/spread/"

static const struct rd_range port_range = { 1, 65535 };
static const struct rd_range phase_range = { 1, 16 };
static const struct rd_range instance_range = { 1, 128 };

void nd_reply_problems(struct web_request *request,
		       const struct prob_list *list)
{
	GString *text = g_string_new(NULL);

	prob_print_list(list, text);
	web_reply_error(request, MHD_HTTP_BAD_REQUEST, text->str);
	g_string_free(text, TRUE);
}

static void read_announcement(struct nd_node *node, struct rd_object *object,
			      struct prob_list *list)
{
	struct nd_announcement announcement = { .instance = "",
						.phase = RT_PHASE_SERVING };
	const char *phase = "serving";
	uint32_t port = 0;

	rd_read_label(object, "service", RD_REQUIRED, &announcement.service);
	rd_read_label(object, "version", RD_REQUIRED, &announcement.version);
	rd_read_text(object, "instance", RD_OPTIONAL, &instance_range,
		     &announcement.instance);
	rd_read_uint32(object, "port", RD_REQUIRED, &port_range, &port);
	if (rd_read_text(object, "phase", RD_OPTIONAL, &phase_range, &phase) &&
	    !rt_parse_phase(phase, &announcement.phase))
		rd_add_problem(object, "phase",
			       "got \"%s\", wanted starting, serving or "
			       "leaving",
			       phase);
	rd_close_object(object);
	announcement.port = (uint16_t)port;
	if (prob_get_count(list) == 0)
		nd_handle_announcement(node, &announcement);
}

static void handle_target(struct nd_node *node, struct web_request *request)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct prob_list *list = prob_new_list(scratch);
	struct rd_object *object = NULL;
	const char *body;
	size_t size;
	json_t *json;

	body = web_get_body(request, &size);
	json = rd_parse_text("announcement", body, size, ANNOUNCEMENT_BYTES_MAX,
			     list);
	if (json)
		object = rd_open_object(scratch, json, "announcement", list);
	if (object)
		read_announcement(node, object, list);
	if (prob_get_count(list) > 0)
		nd_reply_problems(request, list);
	else
		web_reply_json(request, MHD_HTTP_OK,
			       json_pack("{s:b}", "ok", 1));
	json_decref(json);
	talloc_free(scratch);
}

static const char *get_state_name(enum mem_state state)
{
	switch (state) {
	case MEM_STATE_ALIVE:
		return "alive";
	case MEM_STATE_SUSPECT:
		return "suspect";
	case MEM_STATE_DEAD:
		return "dead";
	case MEM_STATE_LEFT:
		return "left";
	}
	return "unknown";
}

static json_t *make_member(const struct mem_member *member)
{
	const struct mem_announcement *self = &member->self;

	return json_pack("{s:s,s:i,s:i,s:s,s:s,s:s,s:s,s:s,s:I}", "address",
			 self->address, "hop_port", (int)self->hop_port,
			 "admin_port", (int)self->admin_port, "failure_domain",
			 self->failure_domain, "state",
			 get_state_name(member->state), "service",
			 self->service ? self->service : "", "version",
			 self->version ? self->version : "", "phase",
			 rt_get_phase_name(self->phase), "manifest_sequence",
			 (json_int_t)member->manifest_sequence);
}

static void handle_members(struct nd_node *node, struct web_request *request)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, make_member(&members[i]));
	web_reply_json(request, MHD_HTTP_OK,
		       json_pack("{s:o}", "members", list));
}

static void handle_ready(struct nd_node *node, struct web_request *request)
{
	struct doc_snapshot *snapshot = nd_get_snapshot(node);

	if (!snapshot) {
		web_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE,
				"no manifest is in force on this node yet");
		return;
	}
	web_reply_json(
		request, MHD_HTTP_OK,
		json_pack("{s:I}", "sequence",
			  (json_int_t)doc_get_manifest(snapshot)->sequence));
}

static void handle_metrics(struct nd_node *node, struct web_request *request)
{
	GString *text = g_string_new(NULL);

	nd_print_metrics(node, text);
	web_reply(request, MHD_HTTP_OK, "text/plain; version=0.0.4", text->str,
		  text->len);
	g_string_free(text, TRUE);
}

static void handle_burn(struct nd_node *node, struct web_request *request)
{
	web_reply_json(request, MHD_HTTP_OK,
		       nd_make_burn(node, web_get_query(request, "service")));
}

static void handle_report(struct nd_node *node, struct web_request *request)
{
	size_t size;
	const char *body;
	json_t *answer;
	json_t *json;

	if (node->release) {
		rls_handle_report(node->release, request);
		return;
	}
	body = web_get_body(request, &size);
	json = rd_load_json(body, size, 0, NULL);
	answer = nd_apply_reports(node, json);
	json_decref(json);
	web_reply_json(request, MHD_HTTP_OK, answer);
}

static void handle_changes(struct nd_node *node, struct web_request *request)
{
	switch (node->settings->source) {
	case ND_SOURCE_GATEWAY:
		nd_handle_changes(node, request);
		break;
	case ND_SOURCE_DOCUMENTS:
		web_reply_error(request, MHD_HTTP_NOT_FOUND,
				"documents are served under /spread/");
		break;
	}
}

typedef void (*admin_fn)(struct nd_node *node, struct web_request *request);

static const struct {
	const char *method;
	const char *path;
	admin_fn fn;
} admin_routes[] = {
	{ "POST", "/target", handle_target },
	{ "GET", "/ready", handle_ready },
	{ "GET", "/members", handle_members },
	{ "GET", "/metrics", handle_metrics },
	{ "GET", "/burn", handle_burn },
	{ "POST", "/moves/report", handle_report },
	{ "GET", "/configuration/changes", handle_changes },
	{ "POST", "/departures", nd_handle_replica_put },
	{ "GET", "/departures", nd_handle_replica_get },
	{ "GET", "/explain-route", nd_handle_explain_route },
};

void nd_handle_admin(struct web_request *request, void *data)
{
	const char *method = web_get_method(request);
	const char *path = web_get_path(request);
	struct nd_node *node = data;

	if (node->spread && g_str_has_prefix(path, SPREAD_PATH)) {
		spr_handle_request(node->spread, request);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(admin_routes); i++) {
		if (strcmp(admin_routes[i].method, method) == 0 &&
		    strcmp(admin_routes[i].path, path) == 0) {
			admin_routes[i].fn(data, request);
			return;
		}
	}
	web_reply_error(request, MHD_HTTP_NOT_FOUND, "no such path");
}
