#!/usr/bin/env bash
# An evacuation that the operator orders while the store returns from an older copy, of a
# zone that was evacuated and taken back before. TROUBLE=0: the store is not away.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
. review/standins-2/lib.sh

EVACUATE_MS=5000
MAX_STRETCH_MS=5000
CONTACT_MS=3000

order_until_acked() { # the operator repeats the order until the store acknowledges it
	until create evacuations zone-a '{}'; do sleep 0.02; done
	now >"$work/acked"
}

runs_in_zone_a() { # runs_in_zone_a FROM TO
	echo $(($(runs_between 1 "$1" "$2") + $(runs_between 2 "$1" "$2")))
}

start_store
faults '{"era":1}'
create config main "$(config)" || cannot_run "the configuration is not written"
for n in 1 2; do start_node $n zone-a; done
for n in 3 4; do start_node $n zone-b; done
for n in 1 2 3 4; do start_target $n v1 30; done
for n in 1 2 3 4; do wait_for 20 is_ready $n; done
for n in 1 2 3 4; do start_caller $n GET /read/1 20 75; done
for n in 1 2 3 4; do wait_for 15 has_run $n; done
sleep 6

create evacuations zone-a '{}' || cannot_run "the first evacuation is not written"
note "$(now) zone-a is evacuated for the first time"
sleep 5
from=$(now)
sleep 1
note "$(now) runs in zone-a in the last second: $(runs_in_zone_a "$from" "$(now)") (wanted 0)"
remove evacuations zone-a || cannot_run "the evacuation is not taken back"
note "$(now) zone-a is taken back"
sleep 8
from=$(now)
faults '{"save":true}' # the copy, some seconds old when the store returns
sleep 2
note "$(now) runs in zone-a in the last 2 s: $(runs_in_zone_a "$from" "$(now)") (wanted above 0)"
[ "$(runs_in_zone_a "$from" "$(now)")" -gt 0 ] || cannot_run "zone-a gets nothing"

if [ "$trouble" != 0 ]; then
	faults '{"outage":true}'
	note "$(now) the store is away"
	sleep 1
	order_until_acked &
	pids+=($!)
	sleep 1
	faults '{"restore":true,"outage":false}'
	note "$(now) the store is back, from a copy 4 s old that has all that the operator wrote"
else
	order_until_acked
fi
returned=$(now)
wait_for 10 test -s "$work/acked"
acked=$(cat "$work/acked")
note "$acked the store has acknowledged the second evacuation of zone-a"
sleep 24
end=$(now)
from=$((acked + EVACUATE_MS + MAX_STRETCH_MS))
[ "$from" -gt $((returned + CONTACT_MS)) ] || from=$((returned + CONTACT_MS))
note "the store has: $(curl -s "$objects/evacuations")"
late=$(runs_in_zone_a "$from" "$end")
note "requests that were run in zone-a later than $((from - acked)) ms after it, until $((end - acked)) ms: $late"
note "answers of all clients by status: $(answers)"
for n in 1 2; do keep_requests $n "$from" "$end"; done
keep_logs 'failure domains taken out|store was restored|adopt gateway'
[ "$late" -gt 0 ] && { note "EVAC is broken"; finish 1; }
note "EVAC held"
finish 0
