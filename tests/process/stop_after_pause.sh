#!/usr/bin/env bash
# A node that drains is paused until its time to linger is over, while calls
# arrive. When it goes on, it may close a connection without an answer only if
# no target has got the request.
. "$(dirname "$0")/common.sh"

CALLS=40

start_fleet 2 --latency-ms 300 --slots 100
warm_up 1

ran_unanswered=0
for round in 1 2 3; do
	start_node 3 kgl-a
	wait_for 30 serves 3
	kill -TERM "${node_pid[3]}"
	sleep 0.5
	kill -STOP "${node_pid[3]}"
	calls=""
	for i in $(seq $CALLS); do
		curl -s -o /dev/null -w '%{http_code}\n' -m 8 -H 'Host: shop' \
			-H "Loom-Request-Id: r$round-$i" \
			"http://$base.3:8080/stock" >"$work/status.$i" &
		calls="$calls $!"
	done
	sleep 2
	kill -CONT "${node_pid[3]}"
	for call in $calls; do wait "$call" || true; done
	wait "${node_pid[3]}" || true
	for i in $(seq $CALLS); do
		[ "$(cat "$work/status.$i")" = 000 ] || continue
		for n in 1 2; do
			curl -s "http://$base.$n:9001/_ran?id=r$round-$i" |
				grep -q 1 && ran_unanswered=$((ran_unanswered + 1))
		done
	done
	echo "round $round: $(cat "$work"/status.* | sort | uniq -c | tr -s ' \n' ' ')"
done
is "requests that ran without an answer to the caller" "$ran_unanswered" -eq 0
finish
