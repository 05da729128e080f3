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

static bool parse_number(const char *text, uint64_t max, uint64_t *value)
{
	return text &&
	       g_ascii_string_to_unsigned(text, 10, 0, max, value, NULL);
}

bool tr_read_number(const struct hx_exchange *exchange, const char *name,
		    uint64_t max, uint64_t *value)
{
	return parse_number(hx_get_header(exchange, name), max, value);
}

/* Reads one number for each class, separated by commas. */
static bool read_waits(const char *value, struct rt_load *load)
{
	char **texts = g_strsplit(value, ",", RT_CLASS_COUNT + 1);
	uint64_t number;
	bool is_valid = g_strv_length(texts) == RT_CLASS_COUNT;

	for (uint32_t i = 0; is_valid && i < RT_CLASS_COUNT; i++) {
		is_valid = parse_number(texts[i], UINT32_MAX, &number);
		if (is_valid)
			load->wait_us[i] = (uint32_t)number;
	}
	load->has_waits = is_valid;
	g_strfreev(texts);
	return is_valid;
}

bool tr_read_load(const char *name, const char *value, struct rt_load *load)
{
	uint64_t number;

	if (strcasecmp(name, TR_HEADER_PHASE) == 0)
		return rt_parse_phase(value, &load->phase);
	if (strcasecmp(name, TR_HEADER_UNREACHABLE) == 0) {
		load->is_unreachable = strcmp(value, "true") == 0;
		return true;
	}
	if (strcasecmp(name, TR_HEADER_WAITS) == 0)
		return read_waits(value, load);
	if (!parse_number(value, UINT32_MAX, &number))
		return false;
	if (strcasecmp(name, TR_HEADER_LIMIT) == 0)
		load->limit = (uint32_t)number;
	else if (strcasecmp(name, TR_HEADER_IN_FLIGHT) == 0)
		load->in_flight = (uint32_t)number;
	else if (strcasecmp(name, TR_HEADER_LATENCY) == 0)
		load->latency_us = (uint32_t)number;
	else if (strcasecmp(name, TR_HEADER_LINK_WAIT) == 0)
		load->link_wait_us = (uint32_t)number;
	else if (strcasecmp(name, TR_HEADER_FAILURES) == 0)
		load->failure_permille = (uint32_t)number;
	else
		return false;
	return true;
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
