#!/usr/bin/env bash
# A failure domain that is taken out gets no new calls from five seconds after
# the write on, also when the platform fails right after the write. All calls
# are served meanwhile, and the domain gets calls again after it is put back in.
. "$(dirname "$0")/common.sh"

drain_limit_s=5
nodes="1 2 3 4 5 6"

sum_calls() { # sum_calls TARGET...
	local n sum=0
	for n in "$@"; do sum=$((sum + $(target_stat "$n" calls))); done
	echo "$sum"
}

# Checks that the targets get no calls for three seconds.
check_idle() { # check_idle TEXT TARGET...
	local text=$1 before after
	shift
	before=$(sum_calls "$@")
	sleep 3
	after=$(sum_calls "$@")
	is "new calls in the domain, $text" "$((after - before))" -eq 0
}

has_new_calls() { # has_new_calls TARGET BEFORE: it ran more than BEFORE calls
	[ "$(target_stat "$1" calls)" -gt "$2" ]
}

set_platform() { # set_platform OUTAGE
	curl -sf -d "{\"outage\":$1}" "http://$platform/faults" >/dev/null
}

start_platform
for n in 1 3 5; do start_node "$n" kgl-a; done
for n in 2 4 6; do start_node "$n" kgl-b; done
for n in $nodes; do start_target "$n" --latency-ms 20; done
apply_shop
for n in 1 3 5; do wait_for 30 served_by 1 "$n"; done
for n in 2 4 6; do wait_for 30 served_by 2 "$n"; done
# shellcheck disable=SC2086
warm_up $nodes

# shellcheck disable=SC2046,SC2086
"$bin/loomload" --host shop --rate 90 --seconds 24 --log "$work/calls" \
	$(urls /stock $nodes) >"$work/load.log" &
load=$!
other_pids="$other_pids $load"
sleep 2

echo "== kgl-b out, then in again"
"$bin/loomctl" failure-domain out kgl-b
sleep "$drain_limit_s"
check_idle "taken out" 2 4 6
before=$(target_stat 4 calls)
"$bin/loomctl" failure-domain in kgl-b
wait_for 30 has_new_calls 4 "$before"
echo "kgl-b serves again"

echo "== kgl-b out, and the platform fails right after the write"
# The nodes lose the platform just before the write, so that they cannot learn
# of it from a watch.
curl -sf -d "{\"only_from\":\"$base.200\",\"cut_watches\":true}" \
	"http://$platform/faults" >/dev/null
"$bin/loomctl" failure-domain out kgl-b
set_platform true
sleep "$drain_limit_s"
check_idle "platform failed" 2 4 6
set_platform false
curl -sf -d '{"only_from":""}' "http://$platform/faults" >/dev/null
before=$(target_stat 4 calls)
wait_for 30 "$bin/loomctl" failure-domain in kgl-b
wait_for 30 has_new_calls 4 "$before"
echo "kgl-b serves again"
wait "$load"

echo "second served late refused failed"
awk '{ s[$1] += 0; if ($5 == 200) s[$1]++; if ($5 == 200 && $3 > 250) l[$1]++
	if ($6 == "not_run") r[$1]++; else if ($5 != 200) f[$1]++
	if ($1 > last) last = $1 }
	END { for (i = 0; i <= last; i++)
		print i, s[i] + 0, l[i] + 0, r[i] + 0, f[i] + 0 }' "$work/calls"
is "calls that were not served" "$(count_calls '$5 != 200' "$work/calls")" \
	-eq 0
is "calls made" "$(count_calls 1 "$work/calls")" -ge 1500
finish
