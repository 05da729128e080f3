#!/usr/bin/env bash
# Callers that close their connections while their node is stopped: the node
# does not send their requests to a target after it continues.
. "$(dirname "$0")/common.sh"

callers=300

abandon_call() { # abandon_call ID: sends a request to node 1 and closes
	exec 9<>"/dev/tcp/$base.1/8080"
	printf 'GET /stock HTTP/1.1\r\nHost: shop\r\nLoom-Request-Id: %s\r\n\r\n' \
		"$1" >&9
	exec 9>&-
}

start_fleet 3 --latency-ms 5
warm_up 1 2 3
sum_calls() {
	local n sum=0
	for n in 1 2 3; do sum=$((sum + $(target_stat "$n" calls))); done
	echo "$sum"
}

before=$(sum_calls)
kill -STOP "${node_pid[1]}"
for i in $(seq "$callers"); do abandon_call "gone-$i"; done
sleep 1
kill -CONT "${node_pid[1]}"
wait_for 20 serves 1
sleep 1
# One of the calls counted is that of "serves 1" above.
is "calls that ran although their caller had closed" \
	"$(($(sum_calls) - before - 1))" -eq 0
finish
