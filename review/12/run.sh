#!/usr/bin/env bash
# A node that is started while the store is out takes a server for running that had left,
# though the store has its departure. See claim.txt.
. "$(dirname "$0")/../standins-3/common.sh"
. "$(dirname "$0")/../standins-3/leaving.sh"
trouble=${TROUBLE:-1} # 0: without the disruption

start_store
create config main "$(config)"
for n in 1 2 3; do start_node "$n" "zone-$n"; done
start_server 2
start_server 3
for n in 1 2 3; do wait_for 30 is_ready "$n"; done
start_leaving_server
wait_for 15 is_used
note "server 1 is in use; all machines are ready"
for _ in 1 2 3 4; do beat_on_time; sleep 0.9; done

# These two heartbeats are sent now, a period apart, and arrive late.
sequence=$((sequence + 1))
first=$sequence
note "server 1 sends heartbeat $first, which is delayed"
sleep 1.5
sequence=$((sequence + 1))
second=$sequence
note "server 1 sends heartbeat $second, which is delayed"
sleep 0.2
status=$(deregister)
acked=$(now_ms)
note "server 1 deregisters, node 1 answers $status"
[ "$status" = 200 ] || cannot_run "the deregistration was not acknowledged"
sleep 0.3

started=$(now_ms)
outage=$started
if [ "$trouble" != 0 ]; then
	set_store '{"outage":"hang"}'
	note "the store answers nothing from now on"
	kill_node 1
	note "node 1 is killed"
	sleep 0.2
	start_node 1 zone-1
	started=$(now_ms)
	note "node 1 is started"
	wait_for 10 is_ready 1
	note "node 1 is ready"
fi
while [ "$(now_ms)" -lt $((acked + 1300)) ]; do sleep 0.05; done
arrived=$(now_ms)
note "heartbeat $first arrives at node 1, which answers $(beat "$first")"
# The second is as late as the first: they were sent 1.5 s apart.
while [ "$(now_ms)" -lt $((arrived + 1500)) ]; do sleep 0.05; done
note "heartbeat $second arrives at node 1, which answers $(beat "$second")"

# Node 1 has run for contact_ms. It has itself acknowledged the departure, so the store's
# disruption excuses nothing.
from=$((started + contact_ms + 300))
[ "$from" -ge $((acked + drain_ms + 300)) ] || from=$((acked + drain_ms + 300))
until=$((from + 2500))
# The store is out for 8 s at most.
[ "$until" -le $((outage + 8000)) ] || until=$((outage + 8000))
[ "$until" -gt "$from" ] || cannot_run "the machine is too slow: no time is left"
check_drain "$from" "$until" "$acked"
verdict
