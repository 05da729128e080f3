#!/usr/bin/env bash
# A node is stopped for longer than its lease and than its peers' suspicion
# timeout, and then continued. No request runs twice, no answer is marked "not
# run" for a request that ran, the other nodes keep serving, and the continued
# node serves again.
. "$(dirname "$0")/common.sh"

lease_s=9

start_fleet 5 --latency-ms 100 --slots 50
warm_up 1 2 4 5

echo "== one node is stopped"
start_posts stopped 1 2 4 5
sleep 2
kill -STOP "${node_pid[3]}"
stopped_at=$SECONDS
check_posts stopped 1 2 3 4 5

echo "== it is continued after its lease has run out"
while [ $((SECONDS - stopped_at)) -le $((lease_s + 1)) ]; do sleep 0.2; done
start_posts continued 1 2 4 5
sleep 1
kill -CONT "${node_pid[3]}"
check_posts continued 1 2 3 4 5
wait_for 30 served_by 1 3
echo "the continued node serves again"
finish
