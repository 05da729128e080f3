#!/usr/bin/env bash
# Promises 8 and 9: with nodes and targets killed under POSTs that may not be
# repeated, no request runs twice, a "not run" is true by the targets' own
# record, and the others go on serving.
. "$(dirname "$0")/common.sh"

start_fleet 5 --latency-ms 100 --slots 50
warm_up 1 2 4 5

echo "== kill -9 of a target's node"
start_posts node 1 2 4 5
sleep 2
kill -9 "${node_pid[3]}"
judge node 1 2 3 4 5

echo "== kill -9 of a target"
start_posts target 1 2 4 5
sleep 2
kill -9 "${target_pid[4]}"
judge target 1 2 3 5
finish
