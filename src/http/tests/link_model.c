#include "link_model.h"

#define DOWNLOADS_MAX 64U
#define SEGMENT_BYTES 1448U
#define HEADER_BYTES 52U /* of TCP and IP in each segment */
#define WINDOW_BYTES 65536U
#define END_MS 5000U

struct download {
	struct pace_flow flow;
	uint64_t unsent; /* not yet given to the socket */
	uint64_t socket; /* given to the socket, not in the queue */
	uint64_t queued; /* in the queue of the link */
	uint64_t end_ms; /* 0: not yet */
	bool has_arrived;
};

struct segment {
	struct download *download; /* NULL: a short answer */
	uint64_t arrived_ms;
	uint32_t bytes;
	bool is_last; /* of its short answer */
};

struct link_model {
	const struct link_load *load;
	struct pace_pacer *pacer; /* NULL: not paced */
	struct download downloads[DOWNLOADS_MAX];
	GQueue queue; /* struct segment */
	uint64_t now_ms;
	uint64_t wake_ms; /* 0: not set */
	uint32_t wake_count;
	uint64_t credit; /* bytes that the link may carry now */
	uint32_t short_count;
	uint64_t wait_sum_ms;
	uint64_t wait_max_ms;
};

static void push_segment(struct link_model *model, struct download *download,
			 uint64_t bytes, bool is_last)
{
	struct segment *segment = g_new0(struct segment, 1);

	segment->download = download;
	segment->arrived_ms = model->now_ms;
	segment->bytes = (uint32_t)bytes;
	segment->is_last = is_last;
	g_queue_push_tail(&model->queue, segment);
}

static void send_short(struct link_model *model)
{
	uint64_t left = model->load->short_bytes;
	uint64_t bytes;

	if (model->pacer)
		pace_record_short(model->pacer, left, model->now_ms * 1000);
	for (; left > 0; left -= bytes) {
		bytes = MIN(left, SEGMENT_BYTES);
		push_segment(model, NULL, bytes, bytes == left);
	}
}

/* Gives to the socket what the pacer allows, as an exchange does. */
static void send_paced(struct link_model *model, struct download *download)
{
	uint64_t now_us = model->now_ms * 1000;
	uint64_t bytes;

	while (download->unsent > 0) {
		bytes = pace_get_allowance(model->pacer, &download->flow,
					   download->unsent, now_us);
		if (bytes == 0)
			return;
		download->unsent -= bytes;
		download->socket += bytes;
		pace_record_large(model->pacer, &download->flow, bytes, now_us);
	}
	pace_remove_flow(model->pacer, &download->flow);
}

static void schedule_next(struct link_model *model)
{
	struct pace_flow *next;
	uint64_t wait_us;

	if (model->wake_ms > 0)
		return;
	while ((next = pace_get_next(model->pacer))) {
		wait_us = pace_get_wait_us(model->pacer, model->now_ms * 1000);
		if (wait_us > 0) {
			model->wake_ms = model->now_ms + (wait_us + 999) / 1000;
			return;
		}
		send_paced(model, next->data);
	}
}

static void start_download(struct link_model *model, struct download *download)
{
	download->has_arrived = true;
	download->flow.data = download;
	download->flow.deadline_us =
		(model->now_ms + model->load->deadline_ms) * 1000;
	download->unsent = model->load->download_bytes;
	if (model->pacer) {
		send_paced(model, download);
		return;
	}
	download->socket = download->unsent;
	download->unsent = 0;
}

static void receive_load(struct link_model *model)
{
	const struct link_load *load = model->load;

	for (uint32_t i = 0; i < load->download_count; i++) {
		if (!model->downloads[i].has_arrived &&
		    model->now_ms >= 1 + i * load->download_period_ms)
			start_download(model, &model->downloads[i]);
	}
	if (load->short_period_ms > 0 &&
	    model->now_ms % load->short_period_ms == 0)
		send_short(model);
}

static void wake(struct link_model *model)
{
	if (!model->pacer)
		return;
	if (model->wake_ms > 0 && model->now_ms >= model->wake_ms) {
		model->wake_ms = 0;
		model->wake_count++;
	}
	schedule_next(model);
}

/* One segment of each download in turn: they share the link equally. */
static void fill_queue(struct link_model *model)
{
	bool is_filled = false;

	while (!is_filled) {
		is_filled = true;
		for (uint32_t i = 0; i < model->load->download_count; i++) {
			struct download *download = &model->downloads[i];
			uint64_t bytes = MIN(download->socket, SEGMENT_BYTES);

			if (bytes == 0 ||
			    download->queued + bytes > WINDOW_BYTES)
				continue;
			download->socket -= bytes;
			download->queued += bytes;
			push_segment(model, download, bytes, false);
			is_filled = false;
		}
	}
}

static void record_arrival(struct link_model *model,
			   const struct segment *segment)
{
	struct download *download = segment->download;
	uint64_t wait_ms = model->now_ms - segment->arrived_ms;

	if (download) {
		download->queued -= segment->bytes;
		if (download->unsent + download->socket + download->queued == 0)
			download->end_ms = model->now_ms;
	} else if (segment->is_last) {
		model->short_count++;
		model->wait_sum_ms += wait_ms;
		model->wait_max_ms = MAX(model->wait_max_ms, wait_ms);
	}
}

static void drain_queue(struct link_model *model, uint32_t kbit_s)
{
	struct segment *segment;

	model->credit += kbit_s / 8;
	while ((segment = g_queue_peek_head(&model->queue)) &&
	       model->credit >= segment->bytes + HEADER_BYTES) {
		model->credit -= segment->bytes + HEADER_BYTES;
		record_arrival(model, segment);
		g_free(g_queue_pop_head(&model->queue));
	}
	/* An idle link saves nothing. */
	if (!segment)
		model->credit = 0;
}

static bool are_downloads_ended(const struct link_model *model)
{
	for (uint32_t i = 0; i < model->load->download_count; i++) {
		if (model->downloads[i].end_ms == 0)
			return false;
	}
	return true;
}

static void print_result(const struct link_model *model, GString *output)
{
	g_string_append_printf(
		output,
		"%u short answers wait %.1f ms in the mean, %u at most\n",
		model->short_count,
		(double)model->wait_sum_ms / MAX(model->short_count, 1U),
		(uint32_t)model->wait_max_ms);
	g_string_append(output, "downloads end at");
	for (uint32_t i = 0; i < model->load->download_count; i++)
		g_string_append_printf(output, " %u",
				       (uint32_t)model->downloads[i].end_ms);
	g_string_append_printf(output, " ms, %u wake-ups\n", model->wake_count);
}

void link_run(uint32_t kbit_s, bool is_paced, const struct link_load *load,
	      GString *output)
{
	struct link_model *model = g_new0(struct link_model, 1);

	g_assert(load->download_count <= DOWNLOADS_MAX);
	model->load = load;
	if (is_paced)
		model->pacer = pace_new_pacer(NULL, kbit_s, 0);
	g_queue_init(&model->queue);
	while (model->now_ms < END_MS && !are_downloads_ended(model)) {
		model->now_ms++;
		receive_load(model);
		wake(model);
		fill_queue(model);
		drain_queue(model, kbit_s);
	}
	print_result(model, output);
	g_queue_clear_full(&model->queue, g_free);
	talloc_free(model->pacer);
	g_free(model);
}
