/*
 * Header filters and the headers that nodes exchange.
 */
#include "headers.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

static bool is_listed(const char *name, const char *connection)
{
	bool is_found = false;
	char **tokens;

	if (!connection)
		return false;
	tokens = g_strsplit(connection, ",", -1);
	for (char **token = tokens; *token && !is_found; token++)
		is_found = strcasecmp(g_strstrip(*token), name) == 0;
	g_strfreev(tokens);
	return is_found;
}

bool tr_is_internal(const char *name)
{
	return strncasecmp(name, "Loom-", 5) == 0;
}

bool tr_is_forwarded(const char *name, const char *connection)
{
	/* Content-Length and Expect are set again for the next connection. */
	static const char *const dropped[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"TE",
		"Proxy-Connection",
		"Proxy-Authorization",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
		if (strcasecmp(name, dropped[i]) == 0)
			return false;
	}
	return !is_listed(name, connection);
}

struct curl_slist *tr_append_header(struct curl_slist *list, const char *name,
				    const char *value)
{
	char *line;

	/* curl sends a header with an empty value only if given as "Name;". */
	if (*value)
		line = g_strdup_printf("%s: %s", name, value);
	else
		line = g_strdup_printf("%s;", name);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

struct curl_slist *tr_append_number(struct curl_slist *list, const char *name,
				    uint64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	return tr_append_header(list, name, text);
}

static bool is_same_name(const char *name, const char *known)
{
	return known && strcasecmp(name, known) == 0;
}

/* Returns whether nodes set the header, so that a caller's value is ignored. */
static bool is_set_by_nodes(const char *name,
			    const struct tr_header_names *names)
{
	if (is_same_name(name, names->request_id))
		return false;
	return tr_is_internal(name) || is_same_name(name, names->deadline) ||
	       is_same_name(name, names->instance) ||
	       is_same_name(name, names->caller);
}

struct curl_slist *tr_copy_headers(struct curl_slist *list,
				   const struct hx_exchange *exchange,
				   const struct tr_header_names *names)
{
	const char *connection = hx_get_header(exchange, "Connection");
	const char *name;
	const char *value;

	for (uint32_t i = 0; hx_get_header_at(exchange, i, &name, &value);
	     i++) {
		if (tr_is_forwarded(name, connection) &&
		    !is_set_by_nodes(name, names))
			list = tr_append_header(list, name, value);
	}
	return list;
}

bool tr_parse_number(const char *text, uint64_t max, uint64_t *value)
{
	return text &&
	       g_ascii_string_to_unsigned(text, 10, 0, max, value, NULL);
}

bool tr_parse_flag(const char *text, bool *flag)
{
	bool is_true = strcasecmp(text, "true") == 0;

	if (!is_true && strcasecmp(text, "false") != 0)
		return false;
	*flag = is_true;
	return true;
}

bool tr_read_number(const struct hx_exchange *exchange, const char *name,
		    uint64_t max, uint64_t *value)
{
	return tr_parse_number(hx_get_header(exchange, name), max, value);
}

/* Reads one number for each class, separated by commas. */
static bool read_waits(const char *value, struct rt_load *load)
{
	char **texts = g_strsplit(value, ",", RT_CLASS_COUNT + 1);
	uint64_t number;
	bool is_valid = g_strv_length(texts) == RT_CLASS_COUNT;

	for (uint32_t i = 0; is_valid && i < RT_CLASS_COUNT; i++) {
		is_valid = tr_parse_number(texts[i], UINT32_MAX, &number);
		if (is_valid)
			load->wait_us[i] = (uint32_t)number;
	}
	load->has_waits = is_valid;
	g_strfreev(texts);
	return is_valid;
}

/* Returns the number that a load header sets, or NULL for any other header. */
static uint32_t *find_load_number(const char *name, struct rt_load *load)
{
	if (strcasecmp(name, TR_HEADER_LIMIT) == 0)
		return &load->limit;
	if (strcasecmp(name, TR_HEADER_IN_FLIGHT) == 0)
		return &load->in_flight;
	if (strcasecmp(name, TR_HEADER_LATENCY) == 0)
		return &load->latency_us;
	if (strcasecmp(name, TR_HEADER_LINK_WAIT) == 0)
		return &load->link_wait_us;
	if (strcasecmp(name, TR_HEADER_FAILURES) == 0)
		return &load->failure_permille;
	return NULL;
}

enum tr_parse tr_read_load(const char *name, const char *value,
			   struct rt_load *load)
{
	uint32_t *number = find_load_number(name, load);
	uint64_t parsed = 0;
	bool is_valid;

	if (strcasecmp(name, TR_HEADER_PHASE) == 0) {
		is_valid = rt_parse_phase(value, &load->phase);
	} else if (strcasecmp(name, TR_HEADER_UNREACHABLE) == 0) {
		is_valid = tr_parse_flag(value, &load->is_unreachable);
	} else if (strcasecmp(name, TR_HEADER_WAITS) == 0) {
		is_valid = read_waits(value, load);
	} else if (number) {
		is_valid = tr_parse_number(value, UINT32_MAX, &parsed);
		if (is_valid)
			*number = (uint32_t)parsed;
	} else {
		return TR_PARSE_OTHER;
	}
	return is_valid ? TR_PARSE_VALID : TR_PARSE_MALFORMED;
}

static void add_number(struct hx_exchange *exchange, const char *name,
		       uint32_t value)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", value);
	hx_add_answer_header(exchange, name, text);
}

static void add_waits(struct hx_exchange *exchange, const struct rt_load *load)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < RT_CLASS_COUNT; i++)
		g_string_append_printf(text, i ? ",%u" : "%u",
				       load->wait_us[i]);
	hx_add_answer_header(exchange, TR_HEADER_WAITS, text->str);
	g_string_free(text, TRUE);
}

void tr_add_load(struct hx_exchange *exchange, const struct rt_load *load)
{
	add_number(exchange, TR_HEADER_LIMIT, load->limit);
	add_number(exchange, TR_HEADER_IN_FLIGHT, load->in_flight);
	add_number(exchange, TR_HEADER_LATENCY, load->latency_us);
	add_number(exchange, TR_HEADER_FAILURES, load->failure_permille);
	hx_add_answer_header(exchange, TR_HEADER_PHASE,
			     rt_get_phase_name(load->phase));
	if (load->has_waits)
		add_waits(exchange, load);
	if (load->link_wait_us > 0)
		add_number(exchange, TR_HEADER_LINK_WAIT, load->link_wait_us);
	if (load->is_unreachable)
		hx_add_answer_header(exchange, TR_HEADER_UNREACHABLE, "true");
}
