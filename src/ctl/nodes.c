/*
 * Command nodes: prints the members of the mesh as one node lists them. A
 * member that is alive or suspect is behind when its manifest sequence is lower
 * than the highest sequence of all such members.
 */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static const char *get_text(const json_t *member, const char *name)
{
	const char *text = json_string_value(json_object_get(member, name));

	return text && *text ? text : "-";
}

static json_int_t get_sequence(const json_t *member)
{
	return json_integer_value(json_object_get(member, "manifest_sequence"));
}

/*
 * A node that left or is dead keeps the last sequence it announced, so it is
 * never counted as behind.
 */
static bool is_live(const json_t *member)
{
	const char *state = get_text(member, "state");

	return strcmp(state, "alive") == 0 || strcmp(state, "suspect") == 0;
}

static json_int_t get_newest_sequence(const json_t *members)
{
	json_int_t newest = 0;
	size_t index;
	json_t *member;

	json_array_foreach(members, index, member)
	{
		if (is_live(member) && get_sequence(member) > newest)
			newest = get_sequence(member);
	}
	return newest;
}

/*
 * Adds to each member "behind", the number of manifests that it lacks. Returns
 * the number of members for which this is above 0.
 */
static size_t add_manifest_lag(const json_t *members, json_int_t newest)
{
	size_t count = 0;
	size_t index;
	json_t *member;

	json_array_foreach(members, index, member)
	{
		json_int_t behind =
			is_live(member) ? newest - get_sequence(member) : 0;

		json_object_set_new(member, "behind", json_integer(behind));
		if (behind > 0)
			count++;
	}
	return count;
}

static void print_member(const json_t *member)
{
	json_int_t behind =
		json_integer_value(json_object_get(member, "behind"));

	printf("%-15s %-12s %-16s %-10s %-9s %-8s %8" JSON_INTEGER_FORMAT,
	       get_text(member, "address"), get_text(member, "failure_domain"),
	       get_text(member, "service"), get_text(member, "version"),
	       get_text(member, "phase"), get_text(member, "state"),
	       get_sequence(member));
	if (behind > 0)
		printf("  behind by %" JSON_INTEGER_FORMAT, behind);
	putchar('\n');
}

static void print_members(const json_t *members, size_t behind_count)
{
	size_t index;
	json_t *member;

	printf("%-15s %-12s %-16s %-10s %-9s %-8s %8s\n", "ADDRESS", "DOMAIN",
	       "SERVICE", "VERSION", "PHASE", "STATE", "MANIFEST");
	json_array_foreach(members, index, member) print_member(member);
	printf("%zu nodes, %zu behind\n", json_array_size(members),
	       behind_count);
}

enum ctl_exit ctl_print_nodes(struct ctl_context *context)
{
	enum ctl_exit result = CTL_EXIT_OK;
	size_t behind_count;
	GError *error = NULL;
	json_t *members;
	json_t *page;

	page = ctl_fetch_page(context, context->options.node, "/members",
			      &error);
	if (!page) {
		result = ctl_print_error(error);
		g_error_free(error);
		return result;
	}
	members = json_object_get(page, "members");
	behind_count = add_manifest_lag(members, get_newest_sequence(members));
	if (context->is_json)
		ctl_print_json(json_incref(page));
	else
		print_members(members, behind_count);
	json_decref(page);
	return result;
}
