/*
 * Reload of the settings while the node runs, on SIGHUP and when the file
 * changes.
 *
 * The log level and the times of a shutdown take effect at once. Addresses,
 * ports, names and the store keep their values until a restart; a change of
 * them is logged. Settings with problems are ignored as a whole.
 */
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include "internal.h"
#include "loom/log.h"

/* Longest time until a change without a signal is detected. */
#define CHECK_PERIOD_MS 2000U

struct nd_reload {
	struct nd_node *node;
	char *file;
	nd_read_fn read;
	struct timespec changed; /* mtime of the file at the last check */
	off_t size;
	ino_t inode;
};

/*
 * Returns whether the file has changed since the last call, and records its
 * present state.
 */
static bool detect_file_change(struct nd_reload *reload)
{
	struct stat now;

	if (stat(reload->file, &now) != 0)
		return false;
	if (now.st_mtim.tv_sec == reload->changed.tv_sec &&
	    now.st_mtim.tv_nsec == reload->changed.tv_nsec &&
	    now.st_size == reload->size && now.st_ino == reload->inode)
		return false;
	reload->changed = now.st_mtim;
	reload->size = now.st_size;
	reload->inode = now.st_ino;
	return true;
}

/* Returns whether the fields that need a restart are equal. */
static bool are_startup_fields_equal(const struct nd_settings *a,
				     const struct nd_settings *b)
{
	return strcmp(a->address, b->address) == 0 &&
	       strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       strcmp(a->platform_url, b->platform_url) == 0 &&
	       strcmp(a->service, b->service) == 0 &&
	       a->call_port == b->call_port && a->hop_port == b->hop_port &&
	       a->admin_port == b->admin_port &&
	       a->gossip_port == b->gossip_port;
}

static void apply_settings(struct nd_node *node,
			   const struct nd_settings *loaded)
{
	struct nd_settings *merged =
		talloc_memdup(node, node->settings, sizeof(*merged));

	merged->log_level = loaded->log_level;
	merged->drain_linger_ms = loaded->drain_linger_ms;
	merged->drain_refuse_ms = loaded->drain_refuse_ms;
	merged->shutdown_limit_ms = loaded->shutdown_limit_ms;
	log_set_level(merged->log_level);
	log_write(LOG_LEVEL_INFO, "node", "reload settings", NULL,
		  are_startup_fields_equal(node->settings, loaded)
			  ? "settings are in force"
			  : "settings are in force except addresses, ports "
			    "or names, which need a restart",
		  LOG_END);
	node->settings = merged;
}

static void reload_settings(struct nd_reload *reload)
{
	struct prob_list *list = prob_new_list(reload);
	struct nd_settings *loaded = reload->read(list, reload->file, list);
	GString *text;

	if (loaded) {
		apply_settings(reload->node, loaded);
	} else {
		text = g_string_new(NULL);
		prob_print_list(list, text);
		log_write(LOG_LEVEL_ERROR, "node", "reload settings",
			  reload->file, "settings stay as they were",
			  "problems", text->str, LOG_END);
		g_string_free(text, TRUE);
	}
	talloc_free(list);
}

static void handle_hangup(struct tevent_context *events,
			  struct tevent_signal *signal, int number, int count,
			  void *info, void *data)
{
	detect_file_change(data);
	reload_settings(data);
}

static void check_file(uint64_t now_ms, void *data)
{
	if (detect_file_change(data))
		reload_settings(data);
}

void nd_watch_settings(struct nd_node *node, const char *file, nd_read_fn read)
{
	struct nd_reload *reload = talloc_zero(node, struct nd_reload);

	reload->node = node;
	reload->file = talloc_strdup(reload, file);
	reload->read = read;
	detect_file_change(reload);
	tevent_add_signal(node->events, reload, SIGHUP, 0, handle_hangup,
			  reload);
	tmr_subscribe_every(reload, node->timers, CHECK_PERIOD_MS, check_file,
			    reload);
}
