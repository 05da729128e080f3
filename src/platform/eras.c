/*
 * The eras of a client's store: what an answer of another era changes in the
 * client. The decisions are in era.c.
 */
#include "client.h"
#include "loom/log.h"

struct plat_era_subscription {
	struct plat_client *client;
	plat_era_fn fn;
	void *data;
};

void plat_start_eras(struct plat_client *client)
{
	struct plat_eras *eras = plat_get_eras(client);

	g_queue_init(&eras->subscriptions);
	g_queue_init(&eras->watches);
}

static int destroy_subscription(struct plat_era_subscription *subscription)
{
	g_queue_remove(&plat_get_eras(subscription->client)->subscriptions,
		       subscription);
	return 0;
}

struct plat_era_subscription *plat_subscribe_era(TALLOC_CTX *ctx,
						 struct plat_client *client,
						 plat_era_fn fn, void *data)
{
	struct plat_era_subscription *subscription =
		talloc_zero(ctx, struct plat_era_subscription);

	subscription->client = client;
	subscription->fn = fn;
	subscription->data = data;
	g_queue_push_tail(&plat_get_eras(client)->subscriptions, subscription);
	talloc_set_destructor(subscription, destroy_subscription);
	return subscription;
}

static void count_event(struct plat_client *client, const char *name,
			const char *help)
{
	cnt_add(plat_get_counter(client, CNT_KIND_COUNTER, name, NULL, help),
		1);
}

/* The watch whose poll returned the answer is still in use until here. */
static void relist_watches(uint64_t now_ms, void *data)
{
	struct plat_eras *eras = plat_get_eras(data);

	eras->relist_timer = NULL;
	for (GList *link = eras->watches.head; link; link = link->next)
		plat_forget_watch_state(link->data);
}

static void handle_rise(struct plat_client *client, uint64_t before)
{
	struct plat_eras *eras = plat_get_eras(client);
	char text[2][24];

	g_snprintf(text[0], sizeof(text[0]), "%" G_GUINT64_FORMAT, before);
	g_snprintf(text[1], sizeof(text[1]), "%" G_GUINT64_FORMAT,
		   eras->known.current);
	log_write(LOG_LEVEL_WARNING, "platform", "read era",
		  plat_get_options(client)->base_url,
		  "store was restored to an older copy", "era", text[1],
		  "previous", text[0], LOG_END);
	count_event(client, "eras_total",
		    "Returns of the store from an older copy.");
	eras->rises++;
	plat_clear_floors(plat_get_floors(client));
	if (!eras->relist_timer)
		eras->relist_timer =
			tmr_subscribe_once(client, plat_get_timers(client), 0,
					   relist_watches, client);
	for (GList *link = eras->subscriptions.head; link; link = link->next) {
		struct plat_era_subscription *subscription = link->data;

		subscription->fn(eras->known.current, subscription->data);
	}
}

void plat_note_answer_era(struct plat_call *call, const struct hc_answer *http,
			  struct plat_answer *answer)
{
	struct plat_client *client = call->client;
	struct plat_eras *eras = plat_get_eras(client);
	uint64_t before = eras->known.current;
	uint64_t era;

	if (http->header && !plat_parse_era(http->header, &era)) {
		count_event(client, "invalid_eras_total",
			    "Answers whose era cannot be read.");
	} else if (http->header) {
		switch (plat_note_era(&eras->known, era)) {
		case PLAT_ERA_SAME:
		case PLAT_ERA_FIRST:
			break;
		case PLAT_ERA_RISEN:
			handle_rise(client, before);
			break;
		case PLAT_ERA_OLD:
			answer->outcome = PLAT_LOST;
			answer->is_overload = false;
			answer->parsed = (struct plat_parsed_body){ 0 };
			count_event(client, "old_answers_total",
				    "Answers of an older era, discarded.");
			break;
		}
	}
	call->answer_rises = eras->rises;
}

bool plat_is_call_outdated(const struct plat_call *call)
{
	return call->start_rises != plat_get_eras(call->client)->rises;
}

bool plat_is_answer_outdated(const struct plat_call *call)
{
	return call->answer_rises != plat_get_eras(call->client)->rises;
}

uint64_t plat_get_era(const struct plat_client *client)
{
	return plat_get_eras((struct plat_client *)client)->known.current;
}

bool plat_is_era_known(const struct plat_client *client)
{
	return plat_get_eras((struct plat_client *)client)->known.is_known;
}
