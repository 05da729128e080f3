/*
 * Parser of the settings. Fields that are not given keep their default.
 */
#include "settings.h"

#include <arpa/inet.h>
#include <string.h>
#include <glib.h>
#include "loom/reader.h"

#define SETTINGS_BYTES_MAX 65536U
#define SEEDS_MAX 64U
#define DISTANCES_MAX 64U
#define SEED_BYTES_MAX 64U

static const struct rd_range capacity_range = { 1, 65535 };
static const struct rd_range exposure_range = { 10, 1000 };
static const struct rd_range port_range = { 1, 65535 };
static const struct rd_range text_range = { 1, 255 };
static const struct rd_range seed_range = { 3, SEED_BYTES_MAX };
static const struct rd_range seeds_range = { 0, SEEDS_MAX };
static const struct rd_range distances_range = { 0, DISTANCES_MAX };
static const struct rd_range round_trip_range = { 0, 10000000 };
static const struct rd_range threads_range = { 1, 64 };
static const struct rd_range connections_range = { 16, 100000 };
static const struct rd_range timeout_range = { 100, 3600000 };
static const struct rd_range link_range = { 64, 100000000 };
static const struct rd_range crossing_range = { 0, 10000 };
static const struct rd_range memory_range = { 16, 1048576 };
static const struct rd_range budget_range = { 10, 1000 };
static const struct rd_range cold_rate_range = { 1000, 100000 };
static const struct rd_range cold_slack_range = { 0, 1000000 };
static const struct rd_range linger_range = { 0, 600000 };

static const struct nd_settings default_settings = {
	.service = "",
	.capacity = 1000,
	.move_exposure_permille = 100,
	.traffic_threads = 1,
	.retry_budget_permille = 100,
	.connections = 4096,
	.idle_timeout_ms = 60000,
	.header_timeout_ms = 10000,
	.drain_linger_ms = 5000,
	.drain_refuse_ms = 50000,
	.shutdown_limit_ms = 60000,
	.log_level = LOG_LEVEL_INFO,
};

static bool is_ipv4_address(const char *text)
{
	struct in_addr address;

	return inet_pton(AF_INET, text, &address) == 1;
}

static bool is_address_and_port(const char *text)
{
	const char *colon = strrchr(text, ':');
	bool is_valid;
	char *address;

	if (!colon)
		return false;
	address = g_strndup(text, (gsize)(colon - text));
	is_valid =
		is_ipv4_address(address) &&
		g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, NULL, NULL);
	g_free(address);
	return is_valid;
}

static void read_address(struct rd_object *object, struct nd_settings *settings)
{
	if (rd_read_text(object, "address", RD_REQUIRED, &text_range,
			 &settings->address) &&
	    !is_ipv4_address(settings->address))
		rd_add_problem(object, "address",
			       "got \"%s\", wanted an IPv4 address such "
			       "as 127.0.1.1",
			       settings->address);
}

static void read_platform(struct rd_object *object,
			  struct nd_settings *settings)
{
	if (rd_read_text(object, "platform_url", RD_REQUIRED, &text_range,
			 &settings->platform_url) &&
	    !g_str_has_prefix(settings->platform_url, "http://"))
		rd_add_problem(object, "platform_url",
			       "got \"%s\", wanted http://ADDRESS:PORT",
			       settings->platform_url);
}

static void read_port(struct rd_object *object, const char *name,
		      uint16_t *port)
{
	uint32_t value = 0;

	if (rd_read_uint32(object, name, RD_REQUIRED, &port_range, &value))
		*port = (uint16_t)value;
}

static void read_ports(struct rd_object *object, struct nd_settings *settings)
{
	read_port(object, "call_port", &settings->call_port);
	read_port(object, "hop_port", &settings->hop_port);
	read_port(object, "admin_port", &settings->admin_port);
	read_port(object, "gossip_port", &settings->gossip_port);
	if (settings->call_port && settings->call_port == settings->hop_port)
		rd_add_problem(object, "hop_port",
			       "got %u, the call_port, wanted another port",
			       settings->hop_port);
	if (settings->admin_port &&
	    (settings->admin_port == settings->call_port ||
	     settings->admin_port == settings->hop_port))
		rd_add_problem(object, "admin_port",
			       "got %u, another field's port, wanted a port of "
			       "its own",
			       settings->admin_port);
}

static void read_seeds(TALLOC_CTX *ctx, struct rd_object *object,
		       struct nd_settings *settings)
{
	const char **seeds;
	size_t count = 0;

	rd_read_array(object, "seeds", RD_OPTIONAL, &seeds_range, &count);
	seeds = talloc_zero_array(ctx, const char *, count + 1);
	for (size_t i = 0; i < count; i++) {
		if (rd_read_text_item(object, "seeds", i, &seed_range,
				      &seeds[i]) &&
		    !is_address_and_port(seeds[i]))
			rd_add_problem(object, "seeds",
				       "got \"%s\", wanted ADDRESS:PORT with "
				       "an IPv4 address",
				       seeds[i]);
	}
	settings->seeds = seeds;
}

static void read_distances(TALLOC_CTX *ctx, struct rd_object *object,
			   struct nd_settings *settings)
{
	struct nd_distance *distances;
	size_t count = 0;

	rd_read_array(object, "distances", RD_OPTIONAL, &distances_range,
		      &count);
	distances = talloc_zero_array(ctx, struct nd_distance, count + 1);
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(object, "distances", i);

		if (!item)
			continue;
		rd_read_label(item, "failure_domain", RD_REQUIRED,
			      &distances[i].failure_domain);
		rd_read_uint32(item, "round_trip_us", RD_REQUIRED,
			       &round_trip_range, &distances[i].round_trip_us);
		rd_close_object(item);
	}
	settings->distances = distances;
	settings->distance_count = count;
}

static void read_log_level(struct rd_object *object,
			   struct nd_settings *settings)
{
	static const char *const names[] = { "debug", "info", "warning",
					     "error" };
	const char *name = NULL;

	if (!rd_read_text(object, "log_level", RD_OPTIONAL, &text_range, &name))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0) {
			settings->log_level = (enum log_level)i;
			return;
		}
	}
	rd_add_problem(object, "log_level",
		       "got \"%s\", wanted debug, info, warning or error",
		       name);
}

static void read_bounds(struct rd_object *object, struct nd_settings *settings)
{
	rd_read_uint32(object, "capacity", RD_OPTIONAL, &capacity_range,
		       &settings->capacity);
	rd_read_uint32(object, "move_exposure_permille", RD_OPTIONAL,
		       &exposure_range, &settings->move_exposure_permille);
	rd_read_uint32(object, "traffic_threads", RD_OPTIONAL, &threads_range,
		       &settings->traffic_threads);
	rd_read_uint32(object, "connections", RD_OPTIONAL, &connections_range,
		       &settings->connections);
	rd_read_uint32(object, "idle_timeout_ms", RD_OPTIONAL, &timeout_range,
		       &settings->idle_timeout_ms);
	rd_read_uint32(object, "header_timeout_ms", RD_OPTIONAL, &timeout_range,
		       &settings->header_timeout_ms);
	rd_read_uint32(object, "drain_linger_ms", RD_OPTIONAL, &linger_range,
		       &settings->drain_linger_ms);
	rd_read_uint32(object, "drain_refuse_ms", RD_OPTIONAL, &linger_range,
		       &settings->drain_refuse_ms);
	rd_read_uint32(object, "shutdown_limit_ms", RD_OPTIONAL, &linger_range,
		       &settings->shutdown_limit_ms);
}

static void read_overload(struct rd_object *object,
			  struct nd_settings *settings)
{
	uint32_t port = 0;

	rd_read_bool(object, "overload_control", RD_OPTIONAL,
		     &settings->overload_control);
	if (rd_read_uint32(object, "load_port", RD_OPTIONAL, &port_range,
			   &port))
		settings->load_port = (uint16_t)port;
	if (port && port == settings->gossip_port)
		rd_add_problem(object, "load_port",
			       "got %u, the gossip_port, wanted another port",
			       port);
	rd_read_uint32(object, "link_kbit_s", RD_OPTIONAL, &link_range,
		       &settings->link_kbit_s);
	rd_read_uint32(object, "crossing_ms_per_kb", RD_OPTIONAL,
		       &crossing_range, &settings->crossing_ms_per_kb);
	rd_read_uint32(object, "memory_mb", RD_OPTIONAL, &memory_range,
		       &settings->memory_mb);
	rd_read_uint32(object, "retry_budget_permille", RD_OPTIONAL,
		       &budget_range, &settings->retry_budget_permille);
	rd_read_uint32(object, "silence_ms", RD_OPTIONAL, &timeout_range,
		       &settings->silence_ms);
}

static void read_cold_bound(struct rd_object *object,
			    struct nd_settings *settings)
{
	rd_read_uint32(object, "cold_rate_permille", RD_OPTIONAL,
		       &cold_rate_range, &settings->cold_bound.rate_permille);
	rd_read_uint32(object, "cold_slack_calls", RD_OPTIONAL,
		       &cold_slack_range, &settings->cold_bound.slack_calls);
}

static void read_source(struct rd_object *object, struct nd_settings *settings)
{
	const char *name = "documents";

	rd_read_label(object, "service", RD_OPTIONAL, &settings->service);
	if (!rd_read_text(object, "source", RD_OPTIONAL, &text_range, &name))
		return;
	if (strcmp(name, "gateway") == 0)
		settings->source = ND_SOURCE_GATEWAY;
	else if (strcmp(name, "documents") != 0)
		rd_add_problem(object, "source",
			       "got \"%s\", wanted documents or gateway", name);
}

static void read_fields(TALLOC_CTX *ctx, struct rd_object *object,
			struct nd_settings *settings)
{
	*settings = default_settings;
	read_address(object, settings);
	rd_read_label(object, "failure_domain", RD_REQUIRED,
		      &settings->failure_domain);
	read_source(object, settings);
	read_ports(object, settings);
	read_platform(object, settings);
	read_seeds(ctx, object, settings);
	read_distances(ctx, object, settings);
	read_bounds(object, settings);
	read_overload(object, settings);
	read_cold_bound(object, settings);
	read_log_level(object, settings);
}

struct nd_settings *nd_parse_settings(TALLOC_CTX *ctx, const char *file,
				      const char *text, size_t size,
				      struct prob_list *list)
{
	struct nd_settings *settings = talloc_zero(ctx, struct nd_settings);
	size_t problem_count = prob_get_count(list);
	struct rd_object *object = NULL;
	json_t *json;

	json = rd_parse_text(file, text, size, SETTINGS_BYTES_MAX, list);
	if (json)
		object = rd_open_object(settings, json, file, list);
	if (object) {
		read_fields(settings, object, settings);
		rd_close_object(object);
	}
	json_decref(json);
	if (prob_get_count(list) == problem_count)
		return settings;
	talloc_free(settings);
	return NULL;
}

struct nd_settings *nd_read_settings(TALLOC_CTX *ctx, const char *file,
				     struct prob_list *list)
{
	struct nd_settings *settings;
	GError *error = NULL;
	char *text = NULL;
	gsize size;

	if (!g_file_get_contents(file, &text, &size, &error)) {
		prob_add_problem(list, file, "", "cannot be read: %s",
				 error->message);
		g_error_free(error);
		return NULL;
	}
	settings = nd_parse_settings(ctx, file, text, size, list);
	g_free(text);
	return settings;
}
