/*
 * Test of the settings parser. Each script line changes valid settings in one
 * or more places and prints the result of the parser.
 */
#include <string.h>
#include <jansson.h>
#include "script.h"
#include "settings.h"

static const char valid_settings[] =
	"{\"address\":\"127.0.1.1\",\"failure_domain\":\"kgl-a\","
	"\"call_port\":8080,\"hop_port\":8081,\"admin_port\":8082,"
	"\"gossip_port\":7946,\"platform_url\":\"http://127.0.0.9:9000\"}";

static void print_settings(const struct nd_settings *settings, GString *output)
{
	g_string_append_printf(
		output,
		"valid: %s %s ports %u %u %u %u threads=%u connections=%u "
		"idle=%u header=%u linger=%u shutdown=%u log=%d\n",
		settings->address, settings->failure_domain,
		settings->call_port, settings->hop_port, settings->admin_port,
		settings->gossip_port, settings->traffic_threads,
		settings->connections, settings->idle_timeout_ms,
		settings->header_timeout_ms, settings->drain_linger_ms,
		settings->shutdown_limit_ms, (int)settings->log_level);
	if (settings->overload_control)
		g_string_append_printf(
			output,
			"  overload load_port=%u link=%u crossing=%u "
			"memory=%u budget=%u silence=%u\n",
			settings->load_port, settings->link_kbit_s,
			settings->crossing_ms_per_kb, settings->memory_mb,
			settings->retry_budget_permille, settings->silence_ms);
	for (const char *const *seed = settings->seeds; *seed; seed++)
		g_string_append_printf(output, "  seed %s\n", *seed);
	for (size_t i = 0; i < settings->distance_count; i++)
		g_string_append_printf(output, "  distance %s %u\n",
				       settings->distances[i].failure_domain,
				       settings->distances[i].round_trip_us);
}

static void parse_text(const char *text, size_t size, GString *output)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct prob_list *list = prob_new_list(ctx);
	struct nd_settings *settings =
		nd_parse_settings(ctx, "node.json", text, size, list);

	prob_print_list(list, output);
	CU_ASSERT_EQUAL(settings == NULL, prob_get_count(list) > 0);
	if (settings)
		print_settings(settings, output);
	talloc_free(ctx);
}

/* "with JSON": replaces fields of the valid settings. */
static void parse_changed(const char *changes_text, GString *output)
{
	json_t *settings = json_loads(valid_settings, 0, NULL);
	json_t *changes = json_loads(changes_text, 0, NULL);
	char *text;

	CU_ASSERT_PTR_NOT_NULL_FATAL(changes);
	json_object_update(settings, changes);
	text = json_dumps(settings, JSON_PRESERVE_ORDER);
	parse_text(text, strlen(text), output);
	free(text);
	json_decref(changes);
	json_decref(settings);
}

/* "without FIELD": removes a field from the valid settings. */
static void parse_without(const char *field, GString *output)
{
	json_t *settings = json_loads(valid_settings, 0, NULL);
	char *text;

	CU_ASSERT_EQUAL(json_object_del(settings, field), 0);
	text = json_dumps(settings, JSON_PRESERVE_ORDER);
	parse_text(text, strlen(text), output);
	free(text);
	json_decref(settings);
}

/* "spaces N": parses a text of N spaces. */
static void parse_spaces(const char *count, GString *output)
{
	size_t size = (size_t)g_ascii_strtoull(count, NULL, 10);
	char *text = g_strnfill(size, ' ');

	parse_text(text, size, output);
	g_free(text);
}

/* "file PATH": reads the settings from a file. */
static void read_file(const char *path, GString *output)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct prob_list *list = prob_new_list(ctx);
	struct nd_settings *settings = nd_read_settings(ctx, path, list);

	prob_print_list(list, output);
	if (settings)
		print_settings(settings, output);
	talloc_free(ctx);
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	if (word_count != 2)
		return false;
	if (strcmp(words[0], "with") == 0)
		parse_changed(words[1], output);
	else if (strcmp(words[0], "without") == 0)
		parse_without(words[1], output);
	else if (strcmp(words[0], "text") == 0)
		parse_text(words[1], strlen(words[1]), output);
	else if (strcmp(words[0], "spaces") == 0)
		parse_spaces(words[1], output);
	else if (strcmp(words[0], "file") == 0)
		read_file(words[1], output);
	else
		return false;
	return true;
}

static void test_settings(void)
{
	scr_run("settings", run_step, NULL);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "valid and invalid settings", test_settings },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("settings", tests);
}
