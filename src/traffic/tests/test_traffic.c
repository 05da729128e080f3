/*
 * Scripted tests of calls through traffic services in one process.
 */
#include <string.h>
#include <curl/curl.h>
#include "script.h"
#include "traffic_steps.h"

static void test_relay(void)
{
	ts_run_script("relay");
}

static void test_local_target(void)
{
	ts_run_script("local_target");
}

static void test_slow_upload(void)
{
	ts_run_script("slow_upload");
}

static void test_refusals(void)
{
	ts_run_script("refusals");
}

static void test_slow_hop_upload(void)
{
	ts_run_script("slow_hop_upload");
}

static void test_many_commands(void)
{
	ts_run_script("many_commands");
}

static void test_stale_entry(void)
{
	ts_run_script("stale_entry");
}

static void test_at_most_once(void)
{
	ts_run_script("at_most_once");
}

static void test_broken_answers(void)
{
	ts_run_script("broken_answers");
}

static void test_malformed_answers(void)
{
	ts_run_script("malformed_answers");
}

static void test_late_refusal(void)
{
	ts_run_script("late_refusal");
}

static void test_retry_budget(void)
{
	ts_run_script("retry_budget");
}

static void test_given_up(void)
{
	ts_run_script("given_up");
}

static void test_admission(void)
{
	ts_run_script("admission");
}

static void test_drain(void)
{
	ts_run_script("drain");
}

static void test_hostile_callers(void)
{
	ts_run_script("hostile_callers");
}

static void test_pipeline(void)
{
	ts_run_script("pipeline");
}

static void test_pipeline_once(void)
{
	ts_run_script("pipeline_once");
}

static void test_pipeline_drain(void)
{
	ts_run_script("pipeline_drain");
}

static void test_pipeline_broken(void)
{
	ts_run_script("pipeline_broken");
}

static void test_pipeline_hostile(void)
{
	ts_run_script("pipeline_hostile");
}

static void test_early_refusal(void)
{
	ts_run_script("early_refusal");
}

/* Answers without end kept a thread busy that other callers needed. */
static void test_endless(void)
{
	ts_run_script("endless");
}

static void test_flood(void)
{
	ts_run_script("flood");
}

static void test_slow_download(void)
{
	ts_run_script("slow_download");
}

static void test_paced(void)
{
	ts_run_script("paced");
}

static void test_second_copy(void)
{
	ts_run_script("second_copy");
}

static void test_restarted_target(void)
{
	ts_run_script("restarted_target");
}

/* Guards against an entry that knows no wait outside its failure domain. */
static void test_load_asks(void)
{
	ts_run_script("load_asks");
}

/* Reports went nowhere, or to a node that did not know their target. */
static void test_load_reports(void)
{
	ts_run_script("load_reports");
}

/* Classes of calls without a gateway, and calls that wait while nothing ends.
 */
static void test_classes(void)
{
	ts_run_script("classes");
}

/* Partial answers to uploads must not reach the caller as whole ones. */
static void test_cut_uploads(void)
{
	ts_run_script("cut_uploads");
	ts_run_script("cut_second_attempts");
}

/* Nodes ignored malformed headers of other nodes without counting them. */
static void test_malformed_headers(void)
{
	ts_run_script("malformed_headers");
}

/* Callers together held more memory than the machine has. */
static void test_memory(void)
{
	ts_run_script("memory");
}

/* A part of an answer looked whole to a caller that had closed its side. */
static void test_early_close(void)
{
	ts_run_script("early_close");
}

/* A connection was closed, its answer unsent, for earlier refused bodies. */
static void test_refused_bodies(void)
{
	ts_run_script("refused_bodies");
}

/* The part of a body that a node held grew with the body. */
static void test_long_upload(void)
{
	ts_run_script("long_upload");
}

static const CU_TestInfo tests[] = {
	{ "relay", test_relay },
	{ "local target", test_local_target },
	{ "slow upload", test_slow_upload },
	{ "refusals", test_refusals },
	{ "stale_entry", test_stale_entry },
	{ "many_commands", test_many_commands },
	{ "slow_hop_upload", test_slow_hop_upload },
	{ "at most once", test_at_most_once },
	{ "broken answers", test_broken_answers },
	{ "malformed answers", test_malformed_answers },
	{ "malformed headers", test_malformed_headers },
	{ "late refusal", test_late_refusal },
	{ "retry budget", test_retry_budget },
	{ "given up", test_given_up },
	{ "admission", test_admission },
	{ "drain", test_drain },
	{ "pipeline", test_pipeline },
	{ "pipeline_once", test_pipeline_once },
	{ "pipeline_drain", test_pipeline_drain },
	{ "pipeline_broken", test_pipeline_broken },
	{ "pipeline_hostile", test_pipeline_hostile },
	{ "early_refusal", test_early_refusal },
	{ "flood", test_flood },
	{ "slow_download", test_slow_download },
	{ "paced", test_paced },
	{ "second_copy", test_second_copy },
	{ "restarted_target", test_restarted_target },
	{ "cut uploads", test_cut_uploads },
	{ "long_upload", test_long_upload },
	{ "memory", test_memory },
	{ "early_close", test_early_close },
	{ "refused_bodies", test_refused_bodies },
	{ "hostile callers", test_hostile_callers },
	{ "load_reports", test_load_reports },
	{ "classes", test_classes },
	{ "load_asks", test_load_asks },
	CU_TEST_INFO_NULL,
};

/* A caller without end kept the thread that reads its requests. */
static void test_endless_requests(void)
{
	ts_run_script("endless_requests");
}

static const CU_TestInfo endless_tests[] = {
	{ "endless", test_endless },
	{ "endless_requests", test_endless_requests },
	CU_TEST_INFO_NULL,
};

/* "test_traffic endless" runs the answers without end, which take longer. */
int main(int argc, char **argv)
{
	bool is_endless = argc > 1 && strcmp(argv[1], "endless") == 0;
	int exit_code;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	exit_code = is_endless ? scr_run_suite("endless", endless_tests)
			       : scr_run_suite("traffic", tests);
	curl_global_cleanup();
	return exit_code;
}
