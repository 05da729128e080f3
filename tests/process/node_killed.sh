#!/usr/bin/env bash
# When a node or a target is killed under POSTs that must not be repeated, no
# request runs twice, no answer is marked "not run" for a request that a target
# recorded as run, and the other nodes and targets keep serving.
. "$(dirname "$0")/common.sh"

start_fleet 5 --latency-ms 100 --slots 50
warm_up 1 2 4 5

echo "== kill -9 of a target's node"
start_posts node 1 2 4 5
sleep 2
kill -9 "${node_pid[3]}"
check_posts node 1 2 3 4 5

echo "== kill -9 of a target"
start_posts target 1 2 4 5
sleep 2
kill -9 "${target_pid[4]}"
check_posts target 1 2 3 5
finish
