#!/usr/bin/env bash
# A departure that was acknowledged is lost with the store's return from an older copy,
# because the process that knew it was killed meanwhile. See claim.txt.
. "$(dirname "$0")/../standins-3/common.sh"
. "$(dirname "$0")/../standins-3/leaving.sh"
trouble=${TROUBLE:-1} # 0: without the disruption

start_store
set_store '{"era":1}'
create config main "$(config)"
for n in 1 2 3; do start_node "$n" "zone-$n"; done
start_server 2
start_server 3
for n in 1 2 3; do wait_for 30 is_ready "$n"; done
start_leaving_server
wait_for 15 is_used
note "server 1 is in use; all machines are ready"

# The copy of the drill is some seconds old when the store returns to it.
set_store '{"save":true}'
note "a copy of the store is taken"
for _ in 1 2 3 4; do beat_on_time; sleep 0.9; done

# This heartbeat is sent now and arrives late.
sequence=$((sequence + 1))
late=$sequence
note "server 1 sends heartbeat $late, which is delayed"
sleep 0.3
status=$(deregister)
acked=$(now_ms)
note "server 1 deregisters, node 1 answers $status"
[ "$status" = 200 ] || cannot_run "the deregistration was not acknowledged"
sleep 0.5

stable=$(now_ms)
if [ "$trouble" != 0 ]; then
	set_store '{"outage":true}'
	note "the store is away (503)"
	sleep 0.2
	kill_node 1
	note "node 1 is killed"
	sleep 0.5
	set_store '{"restore":true,"outage":false}'
	note "the store is back from the older copy"
	sleep 0.2
	start_node 1 zone-1
	stable=$(now_ms)
	note "node 1 is started"
	wait_for 10 is_ready 1
	note "node 1 is ready"
fi
while [ "$(now_ms)" -lt $((acked + 2300)) ]; do sleep 0.05; done
note "heartbeat $late arrives at node 1, which answers $(beat "$late")"

# Machines are in touch contact_ms after the start of node 1 and the return of the store.
from=$((stable + contact_ms + 300))
[ "$from" -ge $((acked + drain_ms + 300)) ] || from=$((acked + drain_ms + 300))
check_drain "$from" $((from + 3000)) "$acked"
verdict
