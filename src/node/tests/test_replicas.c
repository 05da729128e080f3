/*
 * Test of the choice of the nodes that keep copies of a departure.
 *
 *	member ADDRESS DOMAIN [dead]	adds a member
 *	choose ADDRESS DOMAIN MAX	prints the chosen members of that node
 */
#include <stdlib.h>
#include <string.h>
#include "replicas.h"
#include "script.h"

#define MEMBERS_MAX 16U

struct fixture {
	TALLOC_CTX *texts;
	struct mem_member members[MEMBERS_MAX];
	size_t count;
};

static void add_member(struct fixture *fixture, int word_count, char **words)
{
	struct mem_member *member = &fixture->members[fixture->count++];

	*member = (struct mem_member){
		.state = word_count > 3 ? MEM_STATE_DEAD : MEM_STATE_ALIVE,
		.self.address = talloc_strdup(fixture->texts, words[1]),
		.self.failure_domain = talloc_strdup(fixture->texts, words[2]),
	};
}

static void choose(const struct fixture *fixture, char **words, GString *output)
{
	const struct mem_announcement self = { .address = words[1],
					       .failure_domain = words[2] };
	const struct mem_member *chosen[MEMBERS_MAX];
	size_t count =
		nd_choose_replicas(fixture->members, fixture->count, &self,
				   chosen, strtoul(words[3], NULL, 10));

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(output, "%s %s\n",
				       chosen[i]->self.address,
				       chosen[i]->self.failure_domain);
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct fixture *fixture = data;

	if (strcmp(words[0], "member") == 0)
		add_member(fixture, word_count, words);
	else if (strcmp(words[0], "choose") == 0)
		choose(fixture, words, output);
	else
		return false;
	return true;
}

/* Guards against: all copies of a departure end with one failure domain. */
static void test_choice(void)
{
	struct fixture fixture = { .texts = talloc_new(NULL) };

	scr_run("replicas", run_step, &fixture);
	talloc_free(fixture.texts);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "choice of the nodes", test_choice },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("replicas", tests);
}
