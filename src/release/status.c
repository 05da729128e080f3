/*
 * The status object of a service. The writer of the manifest maintains service,
 * document_version, verdict, problems and version_in_force; move and sentence
 * are written with each step of the move, by the lease holder or an operator.
 */
#include "loom/release.h"

json_t *rls_merge_status(const json_t *status, const char *service,
			 const struct mv_state *state,
			 const struct doc_move *move)
{
	json_t *merged = status ? json_deep_copy(status) : json_object();
	GString *sentence = g_string_new(NULL);

	mv_describe_state(state, move, sentence);
	json_object_set_new(merged, "service", json_string(service));
	json_object_set_new(merged, "move", mv_format_state(state));
	json_object_set_new(merged, "sentence", json_string(sentence->str));
	g_string_free(sentence, TRUE);
	return merged;
}

bool rls_parse_status(const json_t *status, struct mv_state *state)
{
	const json_t *move = json_object_get(status, "move");

	return json_is_object(move) && mv_parse_state(move, state, NULL);
}
