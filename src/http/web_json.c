/*
 * JSON replies of the web_ server.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/http.h"

void web_reply_json(struct web_request *request, uint32_t status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_PRESERVE_ORDER);

	web_reply(request, status, "application/json", text, strlen(text));
	free(text);
	json_decref(value);
}

void web_reply_error(struct web_request *request, uint32_t status,
		     const char *message)
{
	web_reply_json(request, status, json_pack("{s:s}", "error", message));
}
