/*
 * Spreading on one node: store, source and writer put together.
 */
#include "loom/spread.h"

#include "source.h"
#include "store.h"
#include "writer.h"

struct spr_service {
	struct spr_options options;
	struct spr_store *store;
	struct spr_source *source;
	struct spr_writer *writer;
	struct doc_snapshot *announced; /* last one passed to fn, borrowed */
};

static void handle_change(void *data)
{
	struct spr_service *service = data;
	struct doc_snapshot *snapshot = spr_get_store_snapshot(service->store);

	if (snapshot && snapshot != service->announced) {
		service->announced = snapshot;
		service->options.fn(snapshot, service->options.data);
	}
	if (service->writer)
		spr_run_writer(service->writer);
}

struct spr_service *spr_new_service(TALLOC_CTX *ctx,
				    const struct spr_options *options)
{
	struct spr_service *service = talloc_zero(ctx, struct spr_service);

	service->options = *options;
	service->store = spr_new_store(service);
	service->source =
		spr_new_source(service, options->platform, service->store,
			       handle_change, service);
	service->writer =
		spr_new_writer(service, options->platform, service->store,
			       service->source, options->holder);
	return service;
}

struct doc_snapshot *spr_get_snapshot(const struct spr_service *service)
{
	return spr_get_store_snapshot(service->store);
}
