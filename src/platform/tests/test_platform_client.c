/*
 * Contract of the object API and the client's handling of its faults, over
 * loopback: each script line is one call or one fault.
 */
#include <stdlib.h>
#include <string.h>
#include "wiring.h"

struct fixture {
	struct wiring *wiring;
	GString *output;
	bool is_done;
};

static void print_result(const struct plat_result *result, void *data)
{
	struct fixture *fixture = data;

	fixture->is_done = true;
	if (result->error)
		g_string_append_printf(
			fixture->output, "error %s",
			err_get_code_name((enum err_code)result->error->code));
	else
		g_string_append(fixture->output, "ok");
	if (result->version > 0)
		g_string_append_printf(fixture->output,
				       " version=%" G_GUINT64_FORMAT,
				       result->version);
	for (size_t i = 0; i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];
		char *value = json_dumps(object->value, JSON_COMPACT);

		g_string_append_printf(fixture->output,
				       "\n  %s@%" G_GUINT64_FORMAT "%s %s",
				       object->key, object->version,
				       object->is_older ? " older" : "", value);
		free(value);
	}
	g_string_append_c(fixture->output, '\n');
}

/* "put KEY VERSION ID [SIZE]": a value with that write id and padding. */
static void put(struct fixture *fixture, int word_count, char **words)
{
	size_t size = word_count > 4 ? (size_t)atol(words[4]) : 0;
	char *padding = g_strnfill(size, 'x');
	json_t *value = json_pack("{s:s}", "write_id", words[3]);

	if (size > 0)
		json_object_set_new(value, "padding", json_string(padding));
	plat_put_object(fixture->wiring, fixture->wiring->client, words[1],
			value, (uint64_t)atol(words[2]), print_result, fixture);
	json_decref(value);
	g_free(padding);
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;
	struct wiring *wiring = fixture->wiring;

	fixture->output = output;
	fixture->is_done = false;
	if (strcmp(words[0], "get") == 0)
		plat_get_object(wiring, wiring->client, words[1], print_result,
				fixture);
	else if (strcmp(words[0], "list") == 0)
		plat_list_objects(wiring, wiring->client, words[1],
				  print_result, fixture);
	else if (strcmp(words[0], "put") == 0 && word_count > 3)
		put(fixture, word_count, words);
	else if (strcmp(words[0], "delete") == 0 && word_count > 2)
		plat_delete_object(wiring, wiring->client, words[1],
				   (uint64_t)atol(words[2]), print_result,
				   fixture);
	else if (strcmp(words[0], "faults") == 0) {
		wiring_set_faults(wiring, words[1]);
		return true;
	} else
		return false;
	wiring_run_until(wiring, &fixture->is_done);
	return true;
}

static void run_script(const char *name)
{
	struct fixture fixture = { .wiring = wiring_open() };

	scr_run(name, run_step, &fixture);
	wiring_close(fixture.wiring);
}

static void test_contract(void)
{
	run_script("contract");
}

static const CU_TestInfo tests[] = {
	{ "contract", test_contract },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform client", tests);
}
