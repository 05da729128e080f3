#!/usr/bin/env bash
# What loomctl explain-route tells of a node agrees with where the node sends
# calls: the targets, a failure domain that is taken out, a route that nobody
# has. Asking moves no counter of calls and sends nothing to a target.
. "$(dirname "$0")/common.sh"

# ask EXPECTED_EXIT_CODE OPERANDS...: keeps the answer in $work/answer.
ask() {
	local wanted=$1 code=0
	shift
	"$bin/loomctl" explain-route --node "$base.1:8082" "$@" \
		>"$work/answer" 2>"$work/errors" || code=$?
	is "exit code of explain-route $*" "$code" -eq "$wanted"
}

# lines TEXT PATTERN WANTED: counts the lines of the answer with the pattern.
lines() {
	is "$1" "$(grep -c -e "$2" "$work/answer")" -eq "$3"
}

# shows PATTERN OPERANDS...: the answer has a line with the pattern.
shows() {
	"$bin/loomctl" explain-route --node "$base.1:8082" "${@:2}" |
		grep -q -e "$1"
}

list_counters() {
	curl -sf "http://$base.1:8082/metrics" |
		grep -E '^loom_(calls|answers|refusals|retries|early|local)'
}

start_platform
start_node 1 kgl-a
start_node 2 kgl-b
start_node 3 kgl-b
for n in 1 2 3; do start_target "$n" --latency-ms 20; done
apply_shop
# Each node has announced its target to node 1.
for n in 1 2 3; do wait_for 30 shows "$base.$n:8081" shop GET /stock; done

echo "== all targets are usable"
ask 0 shop GET /stock
cat "$work/answer"
lines "targets at home" "serving *near " 1
lines "targets elsewhere" "serving *far " 2
ask 0 shop GET /stock --json
lines "targets in JSON" '"address": ' 3

echo "== asking leaves no trace"
list_counters >"$work/before"
calls=$(target_stat 1 calls)
for _ in $(seq 20); do ask 0 shop GET /stock >/dev/null; done
list_counters >"$work/after"
is "metrics that differ" "$(diff "$work/before" "$work/after" | grep -c '^[<>]')" -eq 0
is "calls of the target" "$(($(target_stat 1 calls) - calls))" -eq 0

echo "== many questions at once"
# Those beyond the bound get 503; callers that hang up leave nothing behind.
url="http://$base.1:8082/explain-route?service=shop&method=GET&path=/stock"
curl -s -Z --parallel-max 100 --parallel-immediate -o /dev/null -w '%{http_code}\n' \
	"$url&n=[1-300]" >"$work/statuses" 2>/dev/null || true
curl -s -m 0.001 -Z --parallel-immediate -o /dev/null "$url&n=[1-40]" 2>/dev/null || true
sort "$work/statuses" | uniq -c
is "questions answered" "$(grep -c 200 "$work/statuses")" -gt 0
is "other statuses" "$(grep -c -v -e 200 -e 503 "$work/statuses")" -eq 0
ask 0 shop GET /stock

echo "== kgl-b out"
"$bin/loomctl" failure-domain out kgl-b
wait_for 30 shows domain_out shop GET /stock
ask 0 shop GET /stock
lines "targets taken out" "domain_out" 2

echo "== questions that have no way, or are wrong"
ask 5 nothing GET /
lines "reason" "refused with 404 no_service" 1
ask 2 shop get stock old
is "problems told" "$(grep -c "wanted" "$work/errors")" -eq 3
ask 2 shop GET
finish
