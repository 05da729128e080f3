#!/usr/bin/env bash
# At an arrival rate of twice the capacity of the targets, goodput by the
# targets' own count stays at 90 % of the capacity or more, all other calls are
# refused as not run, and the memory of the nodes stays bounded. Then one node
# keeps serving calls while it holds 5,000 connections that are idle or send
# their headers slowly.
. "$(dirname "$0")/common.sh"

latency_ms=100
slots=4
capacity=$((3 * slots * 1000 / latency_ms)) # calls a second of three targets
seconds=8
memory_kb_max=262144

sum_stat() { # sum_stat NAME: over all targets
	local n sum=0
	for n in 1 2 3; do sum=$((sum + $(target_stat "$n" "$1"))); done
	echo "$sum"
}

check_memory() {
	local n kb
	for n in 1 2 3; do
		kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${node_pid[$n]}/status")
		# A sanitizer's shadow memory does not belong to the node.
		if grep -q -a -e __asan_init -e __tsan_init "$bin/loomnode"; then
			echo "memory of node $n, built with a sanitizer: $kb kB"
		else
			is "memory of node $n in kB" "$kb" -le "$memory_kb_max"
		fi
	done
}

start_platform
for n in 1 2 3; do
	start_node "$n" kgl-a '"connections":8192'
	start_target "$n" --latency-ms "$latency_ms" --slots "$slots"
done
apply_shop "$slots"
for n in 1 2 3; do wait_for 30 served_by 1 "$n"; done
# The concurrency limit only rises to the slots under calls that use all of it.
# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate $((capacity * 5 / 4)) --seconds 9 \
	$(urls /stock 1 2 3) >/dev/null

echo "== arrivals at twice the capacity of $capacity calls a second"
# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate $((2 * capacity)) --seconds $((seconds + 1)) \
	--log "$work/calls" $(urls /stock 1 2 3) >"$work/load.log" &
load=$!
other_pids="$other_pids $load"
# The queues fill in the first second of the load, which is not counted.
wait_for 30 test -s "$work/calls"
sleep 1
before=$(sum_stat calls)
start_ms=$(date +%s%3N)
sleep $((seconds - 2))
after=$(sum_stat calls)
elapsed_ms=$(($(date +%s%3N) - start_ms))
check_memory
wait "$load"
cat "$work/load.log"
echo "goodput: $((after - before)) calls in $elapsed_ms ms"
is "goodput in percent of the capacity" \
	$(((after - before) * 100 * 1000 / (capacity * elapsed_ms))) -ge 90
is "overloads of the targets" "$(sum_stat overloads)" -eq 0
is "answers other than 200 or not run" \
	"$(count_calls '$5 != 200 && $6 != "not_run"' "$work/calls")" -eq 0
is "refusals" "$(count_calls '$6 == "not_run"' "$work/calls")" -ge 1
# Refusals must come long before the deadline of 4,000 ms.
is "median time of a refusal in ms" "$(awk '$6 == "not_run" { print $3 }' \
	"$work/calls" | sort -n | awk '{ t[NR] = $1 }
	END { print t[int((NR + 1) / 2)] }')" -le 1000

echo "== 5,000 idle connections and slow headers at node 1"
"$bin/idleload" "$base.1" 8080 5000 10 >"$work/idle" 2>"$work/idle.log" &
other_pids="$other_pids $!"
wait_for 30 grep -q open "$work/idle"
cat "$work/idle.log"
is "connections open" "$(awk '{ print $2 }' "$work/idle")" -ge 1000
# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate 30 --seconds 5 --log "$work/calls" \
	$(urls /stock 1 2) | tail -n +2
is "calls that were not answered with 200" \
	"$(count_calls '$5 != 200' "$work/calls")" -eq 0
check_memory
finish
