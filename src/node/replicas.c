/*
 * Copies of departures on other nodes.
 *
 * Invariants: kept has at most KEPT_MAX copies, one for each address, of the
 * instance that started last. holders are the nodes that keep the departure of
 * the instance that started at sent_started_ms.
 */
#include "replicas.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/reader.h"

#define PATH "/departures"
#define KEPT_MAX 4096U
/* Late heartbeats arrive within seconds, an outage of the store may be longer.
 */
#define KEPT_MS 600000U
#define TEXT_BYTES_MAX 255U
#define ANSWER_BYTES_MAX 4096U
/* A departure has to be acknowledged within a second. */
#define SEND_TIMEOUT_MS 400U
#define ASK_TIMEOUT_MS 1000U
/* A node that has started looks for new members this often and this long. */
#define ASK_PERIOD_MS 200U
#define ASK_MS 10000U

/* A departure that is kept for another node. */
struct copy {
	char *instance;
	uint64_t started_ms;
	uint64_t kept_ms;
};

struct nd_replicas {
	struct nd_node *node;
	struct hc_loop *client;
	GHashTable *kept;    /* maps an address to its struct copy */
	GHashTable *holders; /* set of addresses */
	uint64_t sent_started_ms;
	GHashTable *asked; /* set of addresses that were asked at the start */
	uint64_t start_ms;
	struct tmr_subscription *ask_timer;
};

/* A request to another node. */
struct call {
	struct nd_replicas *replicas;
	char *address;
	uint64_t started_ms; /* of the instance in a copy that is sent */
};

struct candidate {
	const struct mem_member *member;
	uint64_t hash;
};

static void free_copy(gpointer data)
{
	struct copy *copy = data;

	g_free(copy->instance);
	g_free(copy);
}

static int destroy_replicas(struct nd_replicas *replicas)
{
	g_hash_table_destroy(replicas->kept);
	g_hash_table_destroy(replicas->holders);
	g_hash_table_destroy(replicas->asked);
	return 0;
}

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *first = a;
	const struct candidate *second = b;

	if (first->hash != second->hash)
		return first->hash < second->hash ? -1 : 1;
	return strcmp(first->member->self.address,
		      second->member->self.address);
}

static GArray *list_candidates(const struct mem_member *members, size_t count,
			       const struct mem_announcement *self)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint64_t seed = XXH3_64bits(self->address, strlen(self->address));

	for (size_t i = 0; i < count; i++) {
		const char *address = members[i].self.address;
		struct candidate candidate = { .member = &members[i] };

		if (members[i].state != MEM_STATE_ALIVE ||
		    strcmp(address, self->address) == 0)
			continue;
		candidate.hash =
			XXH3_64bits_withSeed(address, strlen(address), seed);
		g_array_append_val(list, candidate);
	}
	g_array_sort(list, compare_candidates);
	return list;
}

/* Returns whether a failure domain is that of self or of a chosen member. */
static bool is_domain_used(const char *domain,
			   const struct mem_announcement *self,
			   const struct mem_member **chosen, size_t count)
{
	if (strcmp(domain, self->failure_domain) == 0)
		return true;
	for (size_t i = 0; i < count; i++) {
		if (strcmp(domain, chosen[i]->self.failure_domain) == 0)
			return true;
	}
	return false;
}

static bool is_chosen(const struct mem_member *member,
		      const struct mem_member **chosen, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (chosen[i] == member)
			return true;
	}
	return false;
}

size_t nd_choose_replicas(const struct mem_member *members, size_t count,
			  const struct mem_announcement *self,
			  const struct mem_member **chosen, size_t max)
{
	GArray *list = list_candidates(members, count, self);
	size_t used = 0;

	for (guint i = 0; i < list->len && used < max; i++) {
		const struct mem_member *member =
			g_array_index(list, struct candidate, i).member;

		if (!is_domain_used(member->self.failure_domain, self, chosen,
				    used))
			chosen[used++] = member;
	}
	for (guint i = 0; i < list->len && used < max; i++) {
		const struct mem_member *member =
			g_array_index(list, struct candidate, i).member;

		if (!is_chosen(member, chosen, used))
			chosen[used++] = member;
	}
	g_array_free(list, TRUE);
	return used;
}

static size_t choose(const struct nd_replicas *replicas,
		     const struct mem_member **chosen, size_t max)
{
	const struct nd_settings *settings = replicas->node->settings;
	const struct mem_announcement self = {
		.address = settings->address,
		.failure_domain = settings->failure_domain,
	};
	const struct mem_member *members;
	size_t count = mem_list_members(replicas->node->members, &members);

	return nd_choose_replicas(members, count, &self, chosen, max);
}

static struct call *new_call(struct nd_replicas *replicas, const char *address)
{
	struct call *call = talloc_zero(replicas, struct call);

	call->replicas = replicas;
	call->address = talloc_strdup(call, address);
	return call;
}

static void handle_kept(const struct hc_answer *answer, void *data)
{
	struct call *call = data;
	struct nd_replicas *replicas = call->replicas;

	if (answer->error)
		log_write_error(LOG_LEVEL_WARNING, "node", answer->error);
	else if (answer->status == MHD_HTTP_OK &&
		 call->started_ms == replicas->sent_started_ms &&
		 g_hash_table_add(replicas->holders, g_strdup(call->address)))
		nd_handle_replica(replicas->node);
	talloc_free(call);
}

static void send_copy(struct nd_replicas *replicas,
		      const struct mem_announcement *peer)
{
	const struct nd_instance *left = &replicas->node->instance;
	struct call *call = new_call(replicas, peer->address);
	json_t *value =
		json_pack("{s:s,s:s,s:I}", "address",
			  replicas->node->settings->address, "instance",
			  left->id, "started_ms", (json_int_t)left->started_ms);
	char *body = json_dumps(value, JSON_COMPACT);
	struct hc_options options = {
		.method = "POST",
		.url = talloc_asprintf(call, "http://%s:%u" PATH, peer->address,
				       peer->admin_port),
		.body = body,
		.body_size = strlen(body),
		.timeout_ms = SEND_TIMEOUT_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
	};

	call->started_ms = left->started_ms;
	hc_send(replicas, replicas->client, &options, handle_kept, call);
	free(body);
	json_decref(value);
}

void nd_replicate_departure(struct nd_replicas *replicas)
{
	const struct nd_instance *left = &replicas->node->instance;
	const struct mem_member *chosen[ND_REPLICAS];
	size_t count;

	if (!left->id || !left->is_leaving)
		return;
	if (left->started_ms != replicas->sent_started_ms)
		g_hash_table_remove_all(replicas->holders);
	replicas->sent_started_ms = left->started_ms;
	count = choose(replicas, chosen, ND_REPLICAS);
	for (size_t i = 0; i < count; i++) {
		if (!g_hash_table_contains(replicas->holders,
					   chosen[i]->self.address))
			send_copy(replicas, &chosen[i]->self);
	}
}

uint32_t nd_count_replicas(const struct nd_replicas *replicas)
{
	if (replicas->node->instance.started_ms != replicas->sent_started_ms)
		return 0;
	return g_hash_table_size(replicas->holders);
}

bool nd_is_replicated(const struct nd_replicas *replicas)
{
	const struct mem_member *chosen[ND_REPLICAS_ENOUGH];
	uint32_t count = nd_count_replicas(replicas);

	if (count == 0)
		return false;
	return count >= ND_REPLICAS_ENOUGH ||
	       count >= choose(replicas, chosen, ND_REPLICAS_ENOUGH);
}

static bool is_expired(gpointer value, uint64_t now_ms)
{
	const struct copy *copy = value;

	return now_ms >= copy->kept_ms + KEPT_MS;
}

static gboolean remove_expired(gpointer key, gpointer value, gpointer data)
{
	return is_expired(value, *(const uint64_t *)data);
}

/* Returns whether there is a copy for the address in the end. */
static bool keep_copy(struct nd_replicas *replicas, const char *address,
		      const char *instance, uint64_t started_ms)
{
	uint64_t now_ms = tmr_get_now_ms(replicas->node->timers);
	struct copy *copy = g_hash_table_lookup(replicas->kept, address);

	if (copy && copy->started_ms > started_ms)
		return true;
	if (!copy && g_hash_table_size(replicas->kept) >= KEPT_MAX)
		g_hash_table_foreach_remove(replicas->kept, remove_expired,
					    &now_ms);
	if (!copy && g_hash_table_size(replicas->kept) >= KEPT_MAX)
		return false;
	copy = g_new0(struct copy, 1);
	copy->instance = g_strdup(instance);
	copy->started_ms = started_ms;
	copy->kept_ms = now_ms;
	g_hash_table_replace(replicas->kept, g_strdup(address), copy);
	log_write(LOG_LEVEL_INFO, "node", "keep departure", address,
		  "departure of another node's target is kept", "instance",
		  instance, LOG_END);
	return true;
}

static bool read_text(const json_t *json, const char *name, const char **text)
{
	*text = json_string_value(json_object_get(json, name));
	return *text && **text && strlen(*text) <= TEXT_BYTES_MAX;
}

static bool read_departure(const json_t *json, const char **instance,
			   uint64_t *started_ms)
{
	json_int_t number =
		json_integer_value(json_object_get(json, "started_ms"));

	*started_ms = number > 0 ? (uint64_t)number : 0;
	return number > 0 && read_text(json, "instance", instance);
}

void nd_handle_replica_put(struct nd_node *node, struct web_request *request)
{
	size_t size;
	const char *body = web_get_body(request, &size);
	json_t *json = rd_load_json(body, size, 0, NULL);
	const char *address;
	const char *instance;
	uint64_t started_ms;

	if (!node->replicas)
		web_reply_error(request, MHD_HTTP_NOT_FOUND,
				"this node keeps no departures");
	else if (!read_text(json, "address", &address) ||
		 !read_departure(json, &instance, &started_ms))
		web_reply_error(request, MHD_HTTP_BAD_REQUEST,
				"wanted address, instance and started_ms");
	else if (!keep_copy(node->replicas, address, instance, started_ms))
		web_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE,
				"too many departures are kept");
	else
		web_reply_json(request, MHD_HTTP_OK, json_object());
	json_decref(json);
}

void nd_handle_replica_get(struct nd_node *node, struct web_request *request)
{
	const char *address = web_get_query(request, "address");
	const struct copy *copy = NULL;

	if (!node->replicas || !address) {
		web_reply_error(request, MHD_HTTP_NOT_FOUND,
				"this node keeps no departures for it");
		return;
	}
	copy = g_hash_table_lookup(node->replicas->kept, address);
	if (copy && !is_expired((gpointer)copy, tmr_get_now_ms(node->timers)))
		web_reply_json(request, MHD_HTTP_OK,
			       json_pack("{s:s,s:I}", "instance",
					 copy->instance, "started_ms",
					 (json_int_t)copy->started_ms));
	else
		web_reply_json(request, MHD_HTTP_OK, json_object());
}

static void handle_copy(const struct hc_answer *answer, void *data)
{
	struct call *call = data;
	struct nd_replicas *replicas = call->replicas;
	json_t *json = NULL;
	const char *instance;
	uint64_t started_ms;

	if (!answer->error && answer->status == MHD_HTTP_OK)
		json = rd_load_json(answer->body, answer->body_size, 0, NULL);
	/* Earlier versions of this program answer with 404. */
	if (answer->error || answer->status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		g_hash_table_remove(replicas->asked, call->address);
	if (json && read_departure(json, &instance, &started_ms))
		nd_adopt_departure(replicas->node, instance, started_ms);
	json_decref(json);
	talloc_free(call);
}

static void ask(struct nd_replicas *replicas,
		const struct mem_announcement *peer)
{
	struct call *call = new_call(replicas, peer->address);
	struct hc_options options = {
		.method = "GET",
		.url = talloc_asprintf(call, "http://%s:%u" PATH "?address=%s",
				       peer->address, peer->admin_port,
				       replicas->node->settings->address),
		.timeout_ms = ASK_TIMEOUT_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
	};

	hc_send(replicas, replicas->client, &options, handle_copy, call);
}

static void handle_ask_time(uint64_t now_ms, void *data)
{
	struct nd_replicas *replicas = data;
	const struct mem_member *chosen[ND_REPLICAS_ASKED];
	size_t count;

	if (now_ms >= replicas->start_ms + ASK_MS) {
		TALLOC_FREE(replicas->ask_timer);
		return;
	}
	if (!replicas->node->members)
		return;
	count = choose(replicas, chosen, ND_REPLICAS_ASKED);
	for (size_t i = 0; i < count; i++) {
		const struct mem_announcement *peer = &chosen[i]->self;

		if (g_hash_table_add(replicas->asked, g_strdup(peer->address)))
			ask(replicas, peer);
	}
}

struct nd_replicas *nd_open_replicas(struct nd_node *node, GError **error)
{
	struct nd_replicas *replicas = talloc_zero(node, struct nd_replicas);

	replicas->node = node;
	replicas->client = hc_new_loop(replicas, node->events, error);
	if (!replicas->client) {
		talloc_free(replicas);
		return NULL;
	}
	replicas->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_copy);
	replicas->holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	replicas->asked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(replicas, destroy_replicas);
	replicas->start_ms = tmr_get_now_ms(node->timers);
	replicas->ask_timer =
		tmr_subscribe_every(replicas, node->timers, ASK_PERIOD_MS,
				    handle_ask_time, replicas);
	return replicas;
}
