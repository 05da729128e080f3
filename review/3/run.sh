#!/usr/bin/env bash
# A server has left by a deregistration that its node acknowledged. The node is
# killed and started again, and a heartbeat that the server sent before arrives
# late. With TROUBLE=0 the node is not killed.
. "$(dirname "$0")/../standins/lib.sh"

DRAIN_MS=2000   # drain_ms of the sites
CONTACT_MS=3000 # contact_ms of the sites

start_store
create config main "$(config 7)"
start_node 1 zone-a orders
start_node 2 zone-a orders
start_node 3 zone-a orders
born=$(now_ms)
start_server 1 i-1
start_server 2 i-2
for n in 1 2 3; do wait_for 20 is_ready "$n"; done

# The server beside node 2 keeps serving; its heartbeats go on all the time.
(
	seq=0
	while :; do
		seq=$((seq + 1))
		beat 2 i-2 orders ready "$seq" "$born" >/dev/null
		sleep 0.5
	done
) &
server_pid[beats]=$!
beat 1 i-1 orders ready 1 "$born" >/dev/null
wait_for 20 is_answered 200 3 /read/1
for _ in $(seq 40); do
	beat 1 i-1 orders ready 2 "$born" >/dev/null
	call 3 POST /order/1 "warm-$RANDOM$RANDOM" >/dev/null
	grep -q "run warm-" "$work/runs.1" 2>/dev/null && break
done
for seq in 3 4 5; do # until the nodes are in touch
	beat 1 i-1 orders ready "$seq" "$born" >/dev/null
	sleep 1.4
done

# The heartbeat with seq 6 leaves the server here and takes 3 s on its way.
sent=$(now_ms)
note "server i-1: sends heartbeat seq 6, ready; it arrives 3 s later"
sleep 0.2
status=$(send_json POST "$base.1" 8146 /-/instances/i-1/deregister "{\"seq\":7,\"born\":$born}")
acked=$(now_ms)
note "server i-1: deregistered, answer $status; serves on for some seconds"
[ "$status" = 200 ] || cannot_run "the deregistration was not acknowledged"

sleep 0.3
started=$(now_ms)
if [ "$trouble" = 1 ]; then
	kill -9 "${node_pid[1]}"
	wait "${node_pid[1]}" 2>/dev/null
	note "node 1: killed"
	sleep 0.7
	start_node 1 zone-a orders
	started=$(now_ms)
	wait_for 20 is_ready 1
	note "node 1: ready"
fi
sleep_until $((sent + 3000))
note "node 1: late heartbeat seq 6 arrives, answer $(beat 1 i-1 orders ready 6 "$born")"

# Requests for which all nodes are in touch and the server's time has run out.
from=$((started + CONTACT_MS + 300))
[ "$from" -ge $((acked + DRAIN_MS + 300)) ] || from=$((acked + DRAIN_MS + 300))
sleep_until "$from"
note "client: requests begin"
first=$(now_ms)
for i in $(seq 60); do
	note "client: late-$i at node 3, answer $(call 3 POST /order/1 "late-$i" | status_of)"
done
note "client: requests end"
copy_logs
late=$(awk -v from="$first" '$2 == "run" && $3 ~ /^late-/ && $1 >= from' "$work"/runs.* | wc -l)
by_1=$(grep -c "late-" "$work/runs.1")
echo "late requests run: $late, of these by the server that has left: $by_1"
[ "$late" -gt 0 ] || cannot_run "no request ran"
[ "$by_1" = 0 ]
