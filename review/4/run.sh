#!/usr/bin/env bash
# The store does not answer a third of the nodes for 9 s, and serves the others
# and the operator. Meanwhile the operator drops a route. With TROUBLE=0 the store
# answers all nodes.
. "$(dirname "$0")/../standins/lib.sh"

NODES=12
SILENT_MS=9000       # for_s of platform_down with "nodes" in the sites
SILENT_PERCENT=35    # largest share of the same
CONFIG_MS=2000       # config_ms of the sites
MAX_STRETCH_MS=5000  # max_stretch_ms of the sites

# Prints the nodes that follow the store: they have said so last.
list_readers() {
	local n
	for n in $(seq $NODES); do
		grep '"step":"follow store"' "$work/node$n.log" | tail -n 1 |
			grep -q 'follows the store' && echo "$n"
	done
}

start_store
create config main "$(config 7)"
for n in $(seq $NODES); do
	start_proxy "$n"
	start_node "$n" "zone-$((n % 4))" orders
done
born=$(now_ms)
for n in 1 2; do start_server "$n" "i-$n"; done
(
	seq=0
	while :; do
		seq=$((seq + 1))
		for n in 1 2; do beat "$n" "i-$n" orders ready "$seq" "$born" >/dev/null; done
		sleep 0.5
	done
) &
server_pid[beats]=$!
for n in $(seq $NODES); do wait_for 20 is_ready "$n"; done
for n in $(seq $NODES); do wait_for 20 is_answered 200 "$n" /read/1; done
sleep 10 # who follows the store is settled, and all nodes are in touch

readers=$(list_readers | tr '\n' ' ')
count=$(list_readers | wc -l)
note "nodes that read the store: $readers"
[ $((count * 100)) -le $((NODES * SILENT_PERCENT)) ] ||
	cannot_run "$count readers of $NODES nodes are more than the share allows"
begun=$(now_ms)
if [ "$trouble" = 1 ]; then
	for n in $readers; do kill -STOP "${proxy_pid[$n]}"; done
	note "store: silent to nodes $readers"
fi
sleep 0.5
replace config main "$(config 9 no)"
acked=$(now_ms)

sleep_until $((acked + CONFIG_MS + MAX_STRETCH_MS + 100))
broken=0
asked=0
round=0
while [ "$(now_ms)" -lt $((begun + SILENT_MS - 300)) ]; do
	round=$((round + 1))
	for n in $(seq $NODES); do
		case " $readers" in *" $n "*) continue ;; esac
		sent=$(now_ms)
		status=$(call "$n" GET /read/1 "late-$n-$round" | status_of)
		note "client: late-$n-$round at node $n, $((sent - acked)) ms after the acknowledgement, answer $status"
		asked=$((asked + 1))
		[ "$status" = 404 ] || broken=$((broken + 1))
	done
done
for n in $readers; do kill -CONT "${proxy_pid[$n]}" 2>/dev/null; done
note "store: answers all nodes"
copy_logs
grep -h 'gateway in force' "$work"/node*.log | sed 's/^/node log: /' >>"$record"
ran=$(grep -h ' run late-' "$work"/runs.* 2>/dev/null | wc -l)
echo "requests on the dropped route: $asked, not answered 404: $broken, run by a server: $ran"
[ "$asked" -gt 0 ] || cannot_run "no request was sent in time"
[ "$ran" = 0 ]
