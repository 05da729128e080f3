/*
 * The report of loomburn: merges the call histories of all nodes in the member
 * list of one node, and takes the objectives from the documents on the
 * platform. A node that cannot be read is named in the report and does not
 * stop it.
 */
#include "ctl.h"

#include <stdio.h>
#include <string.h>
#include "loom/burn.h"
#include "loom/error.h"
#include "loom/spread.h"

struct collector {
	struct ctl_context *context;
	struct burn_history *history;
	const char *path; /* path of the page with a node's history */
	uint64_t now_ms;
	size_t node_count; /* nodes whose history was merged */
	/* "ADDRESS:ADMIN_PORT" of each node; owned by the context */
	GPtrArray *nodes;     /* nodes to read */
	GPtrArray *unreached; /* nodes that are dead or were not read */
};

static void add_node(struct collector *collector, const char *node)
{
	for (guint i = 0; i < collector->nodes->len; i++) {
		if (strcmp(g_ptr_array_index(collector->nodes, i), node) == 0)
			return;
	}
	g_ptr_array_add(collector->nodes,
			talloc_strdup(collector->context->ctx, node));
}

/*
 * Skips nodes that left the mesh. Dead nodes are only listed as unreached: a
 * request to them would wait for its timeout.
 */
static void add_member(struct collector *collector, const json_t *member)
{
	const char *address =
		json_string_value(json_object_get(member, "address"));
	const char *state = json_string_value(json_object_get(member, "state"));
	json_int_t port =
		json_integer_value(json_object_get(member, "admin_port"));
	char *node;

	if (!address || !state || port <= 0 || strcmp(state, "left") == 0)
		return;
	node = talloc_asprintf(collector->context->ctx,
			       "%s:%" JSON_INTEGER_FORMAT, address, port);
	if (strcmp(state, "dead") == 0)
		g_ptr_array_add(collector->unreached, node);
	else
		add_node(collector, node);
}

static void add_members(struct collector *collector, const json_t *page)
{
	const json_t *members = json_object_get(page, "members");
	size_t index;
	json_t *member;

	json_array_foreach(members, index, member)
		add_member(collector, member);
}

static void read_node(struct collector *collector, char *node)
{
	GError *error = NULL;
	json_t *page = ctl_fetch_page(collector->context, node, collector->path,
				      &error);

	if (page && burn_merge_history(collector->history, page,
				       collector->now_ms, &error)) {
		collector->node_count++;
	} else {
		ctl_print_error(error);
		g_ptr_array_add(collector->unreached, node);
	}
	g_clear_error(&error);
	json_decref(page);
}

/*
 * Reads the member list of the given node, then the history of each member.
 * When the list is empty or cannot be read, only the given node is read.
 */
static void read_nodes(struct collector *collector)
{
	const char *first = collector->context->options.node;
	GError *error = NULL;
	json_t *page;

	page = ctl_fetch_page(collector->context, first, "/members", &error);
	if (page)
		add_members(collector, page);
	if (collector->nodes->len == 0)
		add_node(collector, first);
	g_clear_error(&error);
	json_decref(page);
	for (guint i = 0; i < collector->nodes->len; i++)
		read_node(collector, g_ptr_array_index(collector->nodes, i));
}

static gint compare_services(gconstpointer left, gconstpointer right)
{
	return strcmp((*(const struct doc_service *const *)left)->name,
		      (*(const struct doc_service *const *)right)->name);
}

/*
 * Returns the parsed documents, sorted by service name: a new array whose
 * services are owned by the context. Prints the problems of invalid documents.
 */
static GPtrArray *parse_documents(struct ctl_context *context,
				  const struct ctl_list *list)
{
	struct doc_problem_list *problems = doc_new_problem_list(context->ctx);
	const char *wanted = context->options.service;
	GPtrArray *services = g_ptr_array_new();
	const char *key;
	json_t *object;

	json_object_foreach(list->objects, key, object)
	{
		json_t *value = json_object_get(object, "value");
		char *text = json_dumps(json_object_get(value, "document"),
					JSON_COMPACT);
		const char *name = key + strlen(SPR_KEY_DOCUMENTS);
		struct doc_service *service = NULL;

		if (text && (!wanted || strcmp(wanted, name) == 0))
			service = doc_parse_service(context->ctx, name, text,
						    strlen(text), 0, problems);
		if (service)
			g_ptr_array_add(services, service);
		free(text);
	}
	ctl_print_problems(problems);
	g_ptr_array_sort(services, compare_services);
	return services;
}

static enum ctl_exit write_html(const struct burn_report *report,
				const char *file)
{
	GString *text = g_string_new(NULL);
	enum ctl_exit result = CTL_EXIT_OK;
	GError *error = NULL;

	burn_print_html(report, text);
	if (!g_file_set_contents(file, text->str, (gssize)text->len, &error)) {
		fprintf(stderr, "loomburn: %s\n", error->message);
		g_error_free(error);
		result = CTL_EXIT_FAILED;
	}
	g_string_free(text, TRUE);
	return result;
}

static enum ctl_exit print_report(const struct ctl_context *context,
				  const struct burn_report *report)
{
	GString *text;

	if (context->options.html_file)
		return write_html(report, context->options.html_file);
	if (context->is_json) {
		ctl_print_json(burn_format_report(report));
		return CTL_EXIT_OK;
	}
	text = g_string_new(NULL);
	burn_print_text(report, text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	return CTL_EXIT_OK;
}

static enum ctl_exit report_nodes(struct collector *collector,
				  const struct ctl_list *list)
{
	struct ctl_context *context = collector->context;
	struct burn_input input = { .history = collector->history,
				    .now_ms = collector->now_ms };
	enum ctl_exit result;
	GPtrArray *services;

	read_nodes(collector);
	g_ptr_array_add(collector->unreached, NULL);
	services = parse_documents(context, list);
	input.services = (const struct doc_service *const *)services->pdata;
	input.service_count = services->len;
	input.node_count = collector->node_count;
	input.unreached = (const char *const *)collector->unreached->pdata;
	result = print_report(context, burn_make_report(context->ctx, &input));
	g_ptr_array_free(services, TRUE);
	/* Without data from any node the report is meaningless. */
	return input.node_count > 0 ? result : CTL_EXIT_FAILED;
}

enum ctl_exit ctl_report_burn(struct ctl_context *context)
{
	const char *service = context->options.service;
	struct collector collector = { .context = context };
	enum ctl_exit result;
	struct ctl_list list;

	collector.now_ms = tmr_get_wall_ms(context->timers);
	collector.history = burn_new_history(context->ctx, collector.now_ms);
	collector.path = service ? talloc_asprintf(context->ctx,
						   "/burn?service=%s", service)
				 : "/burn";
	collector.nodes = g_ptr_array_new();
	collector.unreached = g_ptr_array_new();
	ctl_list_objects(context, SPR_KEY_DOCUMENTS, &list);
	if (list.error)
		result = ctl_print_error(list.error);
	else
		result = report_nodes(&collector, &list);
	ctl_clear_list(&list);
	g_ptr_array_free(collector.nodes, TRUE);
	g_ptr_array_free(collector.unreached, TRUE);
	return result;
}
