/*
 * Test setup: one event loop with the fake object store (tests/fakes) and a
 * client of it, connected over loopback.
 */
#ifndef LOOM_PLATFORM_TESTS_WIRING_H
#define LOOM_PLATFORM_TESTS_WIRING_H

#include "loom/error.h"
#include "loom/platform.h"
#include "object_api.h"
#include "object_store.h"
#include "script.h"

#define WIRING_TURNS_MAX 100000
#define WIRING_TIMEOUT_MS 20000U
#define WIRING_SOCKET_PAUSE_US 200U
#define WIRING_RETRY_WAIT_MS 50U

struct wiring {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct api_server *server;
	struct plat_client *client;
};

/* Each failure domain uses its own address of the fake object store. */
static const char *const wiring_addresses[] = { "127.0.0.1", "127.0.1.1",
						NULL };

/*
 * Returns a new client of one failure domain, owned by wiring. The number of
 * the failure domain is also the seed of the jitter.
 */
static inline struct plat_client *wiring_new_client(struct wiring *wiring,
						    uint32_t failure_domain,
						    uint32_t timeout_ms)
{
	struct plat_options options;
	char *url = talloc_asprintf(wiring, "http://%s:%u",
				    wiring_addresses[failure_domain],
				    api_get_port(wiring->server));

	plat_set_default_options(&options, url);
	options.timeout_ms = timeout_ms;
	options.calls_per_second = 1000;
	options.burst_calls = 1000;
	options.retry_wait_ms_max = WIRING_RETRY_WAIT_MS;
	options.seed = failure_domain;
	return plat_new_client(wiring, wiring->events, wiring->timers,
			       wiring->counters, &options, NULL);
}

static inline struct wiring *wiring_open_on(struct wiring *wiring,
					    struct tmr_service *timers,
					    uint32_t timeout_ms)
{
	struct api_options options;

	api_set_default_options(&options);
	options.addresses = wiring_addresses;
	wiring->timers = timers;
	wiring->counters = cnt_new_registry(wiring);
	wiring->server = api_new_server(wiring, wiring->events, wiring->timers,
					&options, NULL);
	wiring->client = wiring_new_client(wiring, 0, timeout_ms);
	return wiring;
}

static inline struct wiring *wiring_open(uint32_t timeout_ms)
{
	struct wiring *wiring = talloc_zero(NULL, struct wiring);

	wiring->events = tevent_context_init(wiring);
	return wiring_open_on(wiring, tmr_new(wiring, wiring->events),
			      timeout_ms);
}

/* Sockets are real; time passes only by tmr_advance(). */
static inline struct wiring *wiring_open_virtual(uint32_t timeout_ms)
{
	struct wiring *wiring = talloc_zero(NULL, struct wiring);

	wiring->events = tevent_context_init(wiring);
	return wiring_open_on(wiring, tmr_new_virtual(wiring, 0), timeout_ms);
}

static inline void wiring_close(struct wiring *wiring)
{
	TALLOC_FREE(wiring->client);
	TALLOC_FREE(wiring->server);
	talloc_free(wiring);
}

/*
 * Runs the loop until *is_done. The limit of events keeps a fault from hanging
 * the test.
 */
static inline void wiring_run_until(struct wiring *wiring, const bool *is_done)
{
	for (int i = 0; i < WIRING_TURNS_MAX && !*is_done; i++)
		tevent_loop_once(wiring->events);
	CU_ASSERT_TRUE(*is_done);
}

static inline void wiring_note_pause(struct tevent_context *events,
				     struct tevent_timer *timer,
				     struct timeval now, void *data)
{
	bool *is_over = data;

	*is_over = true;
}

/* Advances the virtual time, then runs the sockets for some real time. */
static inline void wiring_step(struct wiring *wiring, uint32_t step_ms)
{
	bool is_over = false;

	tmr_advance(wiring->timers, step_ms);
	tevent_add_timer(wiring->events, wiring->events,
			 tevent_timeval_current_ofs(0, WIRING_SOCKET_PAUSE_US),
			 wiring_note_pause, &is_over);
	while (!is_over)
		tevent_loop_once(wiring->events);
}

static inline void wiring_set_faults(struct wiring *wiring, const char *text)
{
	CU_ASSERT_TRUE(api_set_faults(wiring->server, text, NULL));
}

#endif
