/*
 * The manifest in memory.
 *
 * Services and domains are talloc arrays sorted by name without duplicates,
 * owned by the manifest; entries are found by binary search. Adding or
 * removing an entry moves the others, which invalidates borrowed entries.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"

static const char *const move_state_names[] = {
	[DOC_MOVE_NONE] = "none",	[DOC_MOVE_WAITING] = "waiting",
	[DOC_MOVE_RUNNING] = "running", [DOC_MOVE_SOAKING] = "soaking",
	[DOC_MOVE_DONE] = "done",	[DOC_MOVE_TAKEN_BACK] = "taken_back",
};

const char *doc_get_move_state_name(enum doc_move_state state)
{
	assert((size_t)state < G_N_ELEMENTS(move_state_names));
	return move_state_names[state];
}

bool doc_parse_move_state(const char *name, enum doc_move_state *state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(move_state_names); i++) {
		if (strcmp(name, move_state_names[i]) == 0) {
			*state = (enum doc_move_state)i;
			return true;
		}
	}
	return false;
}

struct doc_manifest *doc_new_manifest(TALLOC_CTX *ctx)
{
	struct doc_manifest *manifest = talloc_zero(ctx, struct doc_manifest);

	manifest->write_id = talloc_strdup(manifest, "");
	return manifest;
}

struct doc_manifest *doc_copy_manifest(TALLOC_CTX *ctx,
				       const struct doc_manifest *manifest)
{
	struct doc_manifest *copy = talloc_zero(ctx, struct doc_manifest);

	*copy = *manifest;
	copy->write_id = talloc_strdup(copy, manifest->write_id);
	copy->services = talloc_memdup(copy, manifest->services,
				       manifest->service_count *
					       sizeof(*copy->services));
	for (size_t i = 0; i < copy->service_count; i++)
		copy->services[i].name =
			talloc_strdup(copy, manifest->services[i].name);
	copy->domains =
		talloc_memdup(copy, manifest->domains,
			      manifest->domain_count * sizeof(*copy->domains));
	for (size_t i = 0; i < copy->domain_count; i++)
		copy->domains[i].name =
			talloc_strdup(copy, manifest->domains[i].name);
	return copy;
}

static int compare_service(const void *key, const void *entry)
{
	const struct doc_manifest_service *service = entry;

	return strcmp(key, service->name);
}

static int compare_domain(const void *key, const void *entry)
{
	const struct doc_manifest_domain *domain = entry;

	return strcmp(key, domain->name);
}

struct doc_manifest_service *
doc_find_manifest_service(const struct doc_manifest *manifest, const char *name)
{
	if (manifest->service_count == 0)
		return NULL;
	return bsearch(name, manifest->services, manifest->service_count,
		       sizeof(*manifest->services), compare_service);
}

struct doc_manifest_domain *
doc_find_manifest_domain(const struct doc_manifest *manifest, const char *name)
{
	if (manifest->domain_count == 0)
		return NULL;
	return bsearch(name, manifest->domains, manifest->domain_count,
		       sizeof(*manifest->domains), compare_domain);
}

struct doc_manifest_service *
doc_add_manifest_service(struct doc_manifest *manifest, const char *name)
{
	struct doc_manifest_service *entry;
	size_t count = manifest->service_count;
	size_t index = 0;

	entry = doc_find_manifest_service(manifest, name);
	if (entry)
		return entry;
	while (index < count &&
	       strcmp(manifest->services[index].name, name) < 0)
		index++;
	manifest->services =
		talloc_realloc(manifest, manifest->services,
			       struct doc_manifest_service, count + 1);
	entry = &manifest->services[index];
	memmove(entry + 1, entry, (count - index) * sizeof(*entry));
	memset(entry, 0, sizeof(*entry));
	entry->name = talloc_strdup(manifest, name);
	manifest->service_count = count + 1;
	return entry;
}

struct doc_manifest_domain *
doc_add_manifest_domain(struct doc_manifest *manifest, const char *name)
{
	struct doc_manifest_domain *entry;
	size_t count = manifest->domain_count;
	size_t index = 0;

	entry = doc_find_manifest_domain(manifest, name);
	if (entry)
		return entry;
	while (index < count && strcmp(manifest->domains[index].name, name) < 0)
		index++;
	manifest->domains =
		talloc_realloc(manifest, manifest->domains,
			       struct doc_manifest_domain, count + 1);
	entry = &manifest->domains[index];
	memmove(entry + 1, entry, (count - index) * sizeof(*entry));
	memset(entry, 0, sizeof(*entry));
	entry->name = talloc_strdup(manifest, name);
	manifest->domain_count = count + 1;
	return entry;
}

void doc_remove_manifest_service(struct doc_manifest *manifest,
				 const char *name)
{
	struct doc_manifest_service *entry;
	size_t index;

	entry = doc_find_manifest_service(manifest, name);
	if (!entry)
		return;
	index = (size_t)(entry - manifest->services);
	talloc_free((void *)entry->name);
	manifest->service_count--;
	memmove(entry, entry + 1,
		(manifest->service_count - index) * sizeof(*entry));
}
