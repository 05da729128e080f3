/* Taking a failure domain out of service and back in. */
#include "loom/spread.h"

struct doc_manifest *
spr_make_domain_manifest(TALLOC_CTX *ctx, const struct doc_manifest *current,
			 const char *name, bool is_out)
{
	const struct doc_manifest_domain *existing =
		doc_find_manifest_domain(current, name);
	struct doc_manifest *next;

	if ((existing && existing->is_out) == is_out)
		return NULL;
	next = doc_copy_manifest(ctx, current);
	doc_add_manifest_domain(next, name)->is_out = is_out;
	next->sequence++;
	return next;
}
