#!/usr/bin/env bash
# A target that is killed and restarted cold, next to a warm one and under calls
# from many entry nodes, never gets more calls than its capacity by its own
# count, and gets calls again.
. "$(dirname "$0")/common.sh"

start_platform
for n in 1 2 3 4 5 6; do start_node "$n" kgl-a; done
start_target 1 --latency-ms 20 --slots 12
start_target 2 --latency-ms 20 --slots 12
apply_shop
for n in 1 2; do wait_for 30 served_by 3 "$n"; done
for n in 4 5 6; do wait_for 30 serves "$n"; done
warm_up 3 4 5 6

# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate 120 --seconds 12 --log "$work/calls" \
	$(urls /stock 1 2 3 4 5 6) >"$work/load.log" &
load=$!
other_pids="$other_pids $load"
sleep 2
for start in first second; do
	kill -9 "${target_pid[2]}"
	start_target 2 --latency-ms 20 --slots 12 --cold-calls 120
	wait_for 30 curl -sf "http://$base.2:9001/_stats"
	sleep 4
	is "calls at the cold target, $start start" "$(target_stat 2 calls)" -ge 10
	is "overloads of the cold target" "$(target_stat 2 overloads)" -eq 0
done
wait "$load"
cat "$work/load.log"
is "overloads of the cold target at the end" "$(target_stat 2 overloads)" -eq 0
is "overloads of the warm target" "$(target_stat 1 overloads)" -eq 0
is "calls served" "$(count_calls '$5 == 200' "$work/calls")" -ge 1000
echo "refusals: $(count_calls '$6 == "not_run"' "$work/calls"), other:" \
	"$(count_calls '$5 != 200 && $6 != "not_run"' "$work/calls")"
finish
