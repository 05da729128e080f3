#!/usr/bin/env bash
# A server turns cold again, without warning, between two of its heartbeats.
# TROUBLE=0: it stays warm.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
. review/standins-2/lib.sh

COLD_MS=3000
BOUND=66 # cold_per_s 41 x cold_factor 1.5 + cold_slack 5, rounded down

# most_in_a_second FROM TO: prints the most requests that were sent and began to run on
# server 1 inside one second of that time
most_in_a_second() {
	cat "$work"/caller*.log |
		awk -v from="$1" -v to="$2" '
		NR == FNR {if ($1 == "run" && $3 >= from && $3 < to) run[$2] = $3; next}
		$1 in run && $2 >= from {n++; sent[n] = $2; ran[n] = run[$1]}
		END {
			for (i = 1; i <= n; i++) {
				count = 0
				for (j = 1; j <= n; j++)
					count += sent[j] >= sent[i] && ran[j] < sent[i] + 1000
				if (count > most) most = count
			}
			print most + 0
		}' "$work/target1.log" -
}

await_heartbeat() { # waits until server 1 has sent its next heartbeat
	local before
	before=$(grep -c '^beat' "$work/target1.log")
	while [ "$(grep -c '^beat' "$work/target1.log")" -eq "$before" ]; do sleep 0.02; done
}

start_store
create config main "$(config)" || cannot_run "the configuration is not written"
for n in 1 2; do start_node $n zone-$n; done
for n in 1 2; do start_target $n v1 60; done
for n in 1 2; do wait_for 20 is_ready $n; done
for n in 1 2; do start_caller $n GET /read/1 75 45; done
for n in 1 2; do start_caller $n POST /order/1 25 45; done
for n in 1 2; do wait_for 15 has_run $n; done
sleep 6
most=0
for i in 1 2 3; do
	kill -0 "${target_pid[1]}" 2>/dev/null || break
	await_heartbeat
	sleep 0.2
	from=$(now)
	[ "$trouble" != 0 ] && { order_target 1 cold; note "$from server 1 turns cold for $COLD_MS ms"; }
	sleep 4
	[ "$trouble" != 0 ] || continue
	count=$(most_in_a_second "$from" $((from + COLD_MS)))
	note "most requests in one second while it was cold: $count (wanted at most $BOUND)"
	note "its heartbeats: $(awk -v f="$from" '$1 == "beat" && $4 >= f {printf "%d ms ", $4 - f}' "$work/target1.log")"
	keep_requests 1 "$from" $((from + COLD_MS))
	[ "$count" -le "$most" ] || most=$count
	sleep 4
done
crash=$(grep '^crash' "$work/target1.log")
if [ -n "$crash" ]; then
	at=$(echo "$crash" | awk '{print $3}')
	note "$at server 1 got more than twice cold_per_s in a second and crashed: $(echo "$crash" | awk '{print $2}') requests were running"
	note "orders that it had begun and that were not answered with success: $(awk '
		NR == FNR {if ($1 == "run" && $2 ~ /POST/) run[$2]; if ($1 == "done") delete run[$2]; next}
		$1 in run && $3 != 200 {n++} END {print n + 0}' "$work/target1.log" "$work"/caller*POST.log)"
fi
note "requests for the health of server 1: $(grep -c '^health' "$work/target1.log")"
note "answers of all clients by status: $(answers)"
[ "$most" -gt "$BOUND" ] && { note "FAILBACK is broken"; finish 1; }
note "FAILBACK held"
finish 0
