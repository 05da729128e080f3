#!/usr/bin/env bash
# A server leaves while the store is down; the machine acknowledges that, its process is
# killed and starts again, and a heartbeat from before the departure arrives late.
# TROUBLE=0: the store is not down and the process is not killed.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
. review/standins-2/lib.sh

DRAIN_MS=2000
CONTACT_MS=3000

start_store
create config main "$(config)" || cannot_run "the configuration is not written"
for n in 1 2 3; do start_node $n zone-$n; done
for n in 1 2 3; do start_target $n v1 30; done
for n in 1 2 3; do wait_for 20 is_ready $n; done
for n in 1 2 3; do start_caller $n GET /read/1 20 50; done
for n in 1 2 3; do start_caller $n POST /order/1 10 50; done
for n in 1 2 3; do wait_for 15 has_run $n; done
sleep 5

if [ "$trouble" != 0 ]; then
	faults '{"outage":true}'
	note "$(now) the store is down"
fi
sleep 0.3
order_target 1 keep
note "$(now) server 1 makes a heartbeat that will arrive late"
sleep 0.2
note "$(now) server 1 deregisters"
order_target 1 leave
wait_for 4 grep -q '^left 2' "$work/target1.log"
acked=$(awk '$1 == "left" {print $3}' "$work/target1.log")
note "$acked node 1 has acknowledged the departure"
calm=$acked
if [ "$trouble" != 0 ]; then
	sleep 0.2
	kill_node 1
	note "$(now) the process of node 1 is killed"
	sleep 0.5
	start_node 1 zone-1
	note "$(now) it starts again"
	sleep 1
	faults '{"outage":false}'
	calm=$(now)
	note "$calm the store is back"
else
	sleep 1.7
fi
sleep 2
order_target 1 deliver
note "$(now) the late heartbeat of server 1 arrives"
sleep 8
end=$(now)
note "$end server 1 ends"
from=$((acked + DRAIN_MS))
[ "$from" -gt $((calm + CONTACT_MS)) ] || from=$((calm + CONTACT_MS))
late=$(runs_between 1 "$from" "$end")
note "server 1 began to run later than $((from - acked)) ms after the acknowledgement: $late requests, $(awk -v f="$from" '$1 == "run" && $3 >= f && /POST/ {n++} END {print n + 0}' "$work/target1.log") of them orders"
note "the store has: $(curl -s "$objects/loom-departures")"
note "answers of all clients by status: $(answers)"
keep_requests 1 "$acked" "$end"
keep_logs 'departure|target leaves|target announced|target is gone|instance left'
[ "$late" -gt 0 ] && { note "DRAIN is broken"; finish 1; }
note "DRAIN held"
finish 0
