/*
 * Parser of the object API's answers. The objects borrow their texts and values
 * from the JSON tree, which the answer owns.
 */
#include "answer.h"

#include "loom/error.h"

static const char *const outcome_names[PLAT_OUTCOME_COUNT] = {
	"done",	    "absent",  "conflict", "history_gone",
	"rejected", "refused", "not_sent", "lost",
};

static int destroy_answer(struct plat_answer *answer)
{
	json_decref(answer->root);
	return 0;
}

static enum plat_outcome classify(const struct hc_answer *http)
{
	if (http->error)
		return http->error->code == ERR_UNAVAILABLE ? PLAT_NOT_SENT
							    : PLAT_LOST;
	switch (http->status) {
	case 200:
		return PLAT_DONE;
	case 404:
		return PLAT_ABSENT;
	case 409:
		return PLAT_CONFLICT;
	case 410:
		return PLAT_HISTORY_GONE;
	case 429:
		return PLAT_REFUSED;
	default:
		return http->status >= 400 && http->status < 500 ? PLAT_REJECTED
								 : PLAT_LOST;
	}
}

static uint64_t get_number(const json_t *object, const char *name)
{
	json_int_t number = json_integer_value(json_object_get(object, name));

	return number > 0 ? (uint64_t)number : 0;
}

static bool parse_object(const json_t *json, struct plat_object *object)
{
	const char *type = json_string_value(json_object_get(json, "type"));

	object->key = json_string_value(json_object_get(json, "key"));
	object->version = get_number(json, "version");
	object->revision = get_number(json, "revision");
	object->is_deleted = g_strcmp0(type, "delete") == 0;
	object->value = json_object_get(json, "value");
	return object->key && object->version > 0 &&
	       (object->value || object->is_deleted);
}

static bool parse_objects(struct plat_answer *answer, const json_t *array)
{
	size_t count = json_array_size(array);

	answer->objects = talloc_zero_array(answer, struct plat_object, count);
	for (size_t i = 0; i < count; i++) {
		if (!parse_object(json_array_get(array, i),
				  &answer->objects[i]))
			return false;
	}
	answer->object_count = count;
	return true;
}

/* One of: a list, the events of a watch, one object, the answer to a write. */
static bool parse_body(struct plat_answer *answer)
{
	const json_t *root = answer->root;
	const json_t *list = json_object_get(root, "objects");

	if (!json_is_object(root))
		return false;
	answer->version = get_number(root, "version");
	answer->revision = get_number(root, "revision");
	if (!list)
		list = json_object_get(root, "events");
	if (list)
		return json_is_array(list) && parse_objects(answer, list);
	if (!json_object_get(root, "key"))
		return answer->version > 0;
	answer->objects = talloc_zero(answer, struct plat_object);
	answer->object_count = 1;
	return parse_object(root, answer->objects);
}

const char *plat_get_outcome_name(enum plat_outcome outcome)
{
	return outcome_names[outcome];
}

struct plat_answer *plat_parse_answer(TALLOC_CTX *ctx,
				      const struct hc_answer *http)
{
	struct plat_answer *answer = talloc_zero(ctx, struct plat_answer);

	talloc_set_destructor(answer, destroy_answer);
	answer->outcome = classify(http);
	answer->is_overload = answer->outcome == PLAT_REFUSED ||
			      answer->outcome == PLAT_NOT_SENT ||
			      http->status >= 500;
	if (!http->body)
		return answer;
	answer->root = json_loadb(http->body, http->body_size, 0, NULL);
	if (answer->outcome == PLAT_CONFLICT)
		answer->version = get_number(answer->root, "version");
	if (answer->outcome == PLAT_DONE && !parse_body(answer))
		answer->outcome = PLAT_LOST;
	if (answer->outcome != PLAT_DONE)
		answer->object_count = 0;
	return answer;
}
