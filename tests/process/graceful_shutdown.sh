#!/usr/bin/env bash
# Nodes and targets that get SIGTERM finish every call in progress, and a target
# in phase leaving gets no new calls. A second SIGTERM ends a node at once, and
# its log gives the number of calls that were cut off.
. "$(dirname "$0")/common.sh"

start_fleet 5 --latency-ms 20 --slots 50

echo "== steady calls and slow bodies; one vm is shut down, then two at once"
# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate 100 --seconds 16 --move-on \
	--log "$work/calls" $(urls /stock 1 2 3 4 5) >"$work/load.log" &
load=$!
other_pids="$other_pids $load"
head -c 60000 /dev/zero >"$work/body"
slow_pids=""
start_slow_upload() { # start_slow_upload ENTRY: 60 kB in three seconds
	curl -s -m 30 --limit-rate 20k -H "Host: shop" --data-binary \
		"@$work/body" -o "$work/echo$1" -w '%{http_code}\n%{stderr}%{time_total}' \
		"http://$base.$1:8080/photos" >"$work/slow$1" 2>"$work/time$1" &
	slow_pids="$slow_pids $!"
}
stop_vm() { # stop_vm N: sends SIGTERM to the node and the target
	kill -TERM "${target_pid[$1]}" "${node_pid[$1]}"
}
for n in 3 4 5; do start_slow_upload "$n"; done
sleep 1
stop_vm 3
sleep 4
for n in 4 5; do start_slow_upload "$n"; done
sleep 1
stop_vm 4
stop_vm 5
for n in 3 4 5; do
	code=0
	wait "${node_pid[$n]}" || code=$?
	is "exit code of node $n" "$code" -eq 0
done
wait $slow_pids || true
wait "$load"
cat "$work/load.log"
is "calls made" "$(count_calls 1 "$work/calls")" -ge 1000
is "calls without a complete answer" \
	"$(count_calls '$4 != 0' "$work/calls")" -eq 0
is "answers other than 200 or not run" \
	"$(count_calls '$4 == 0 && $5 != 200 && $6 != "not_run"' \
		"$work/calls")" -eq 0
echo "answers marked not run: $(count_calls '$6 == "not_run"' "$work/calls")"
for n in 3 4 5; do
	is "slow body at node $n" "$(cat "$work/slow$n")" = 200
	is "bytes of the answer" "$(wc -c <"$work/echo$n")" -eq 60000
	[ "$(wc -c <"$work/echo$n")" -eq 60000 ] || {
		cat "$work/echo$n"
		echo " after $(cat "$work/time$n") s"
	}
done

echo "== a leaving target gets no new calls"
start_node 3 kgl-a
start_target 3 --latency-ms 20 --slots 50
wait_for 30 served_by 1 3
# A long call keeps the leaving target alive, so that its count can be read.
curl -s -m 30 -H "Host: shop" "http://$base.3:9001/stock?ms=9000" >/dev/null &
other_pids="$other_pids $!"
kill -TERM "${target_pid[3]}"
sleep 5
before=$(target_stat 3 calls)
# shellcheck disable=SC2046
"$bin/loomload" --host shop --rate 100 --seconds 1 --log "$work/calls" \
	$(urls /stock 1 2 3) >/dev/null
is "new calls at the leaving target" "$(target_stat 3 calls)" -eq "$before"
is "calls that others served" \
	"$(count_calls '$5 == 200' "$work/calls")" -ge 190

echo "== a second SIGTERM ends a node at once and logs the calls cut off"
curl -s -m 30 -H "Host: shop" "http://$base.2:8080/stock?ms=3500" \
	>/dev/null &
other_pids="$other_pids $!"
sleep 1
kill -TERM "${node_pid[2]}"
wait_for 10 grep -q "drain begins" "$work/node2.log"
kill -TERM "${node_pid[2]}"
code=0
wait "${node_pid[2]}" || code=$?
is "exit code of the node" "$code" -eq 1
is "log lines with one call cut off" \
	"$(grep -c '"calls_cut":"1"' "$work/node2.log")" -eq 1
finish
