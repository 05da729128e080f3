#!/usr/bin/env bash
# A whole system on loopback: a move to a bad version is taken back and its
# status says why; the next move, to a good version, is completed. The script
# waits for conditions; the time limits below only end a run that hangs.
#
#   move_end_to_end.sh BIN_DIRECTORY [SLOTS]
#
# SLOTS is the concurrency limit of each target in the document. While a node's
# current limit for a target is below half of that, the target counts as
# starting and its answers are no evidence about its version.
set -eu
bin=$1
slots=${2:-4}
net=127.$((10 + $$ % 200)).$(($$ / 200 % 250))
work=$(mktemp -d)
pids=""
WAIT_S=60 # for each condition
MOVE_WAIT_S=180

stop_all() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
	echo "FAILED: $*"
	tail -n 20 "$work"/*.log
	exit 1
}

wait_for() { # wait_for COMMAND...
	local left=$((WAIT_S * 5))
	until "$@" >/dev/null 2>&1; do
		left=$((left - 1))
		[ "$left" -gt 0 ] || fail "timed out after $WAIT_S s: $*"
		sleep 0.2
	done
}

write_settings() { # write_settings ADDRESS
	cat >"$work/$1.json" <<EOF
{"address":"$1","failure_domain":"a","call_port":8080,"hop_port":8081,
 "admin_port":8082,"gossip_port":7946,"platform_url":"$LOOM_PLATFORM",
 "seeds":["$net.1:7946","$net.2:7946"],"distances":[]}
EOF
}

write_document() { # write_document SECONDS_UNTIL_FINISH_BY
	cat >"$work/shop.json" <<EOF
{"service":"shop","versions":["v1","v2"],"current":"v1",
 "routes":[{"name":"all","path":"/","methods":["GET"],"timeout_ms":5000}],
 "limits":{"slots":$slots,"connections":120,"queue_length":24,
           "request_body_bytes":1048576,"header_bytes":16384},
 "move":{"from":"v1","to":"v2","start":"$(date -u +%FT%TZ)",
         "finish_by":"$(date -u -d "+$1 seconds" +%FT%TZ)",
         "steps_percent":[4,100],
         "judged_on":{"error_percent":1.0,"latency_factor":100},
         "soak_s":3},
 "objective":{"availability_percent":99.9,"latency_ms":250,
              "latency_percent":99},"calls":[]}
EOF
}

start_target() { # start_target ADDRESS VERSION OPTIONS...; sets target_pid
	local address=$1 version=$2
	shift 2
	"$bin/faketarget" --address "$address" --port 9001 \
		--node "$address:8082" --service shop --version "$version" \
		--slots "$slots" "$@" >"$work/$address.target.log" 2>&1 &
	target_pid=$!
	pids="$pids $target_pid"
}

make_calls() { # make_calls ADDRESS: until it is killed
	while :; do
		curl -s -o /dev/null -H "Host: shop" "http://$1:8080/[1-50]" ||
			true
		sleep 0.1
	done
}

export LOOM_PLATFORM=http://$net.9:9000
"$bin/fakeplatform" --address "$net.9" --port 9000 >"$work/platform.log" 2>&1 &
pids="$pids $!"
wait_for curl -sf "$LOOM_PLATFORM/objects?prefix=x"
for i in 1 2 3 4; do
	write_settings "$net.$i"
	"$bin/loomnode" --settings "$work/$net.$i.json" >"$work/$net.$i.log" &
	pids="$pids $!"
done
start_target "$net.1" v1
start_target "$net.2" v1
bad_pids=""
for i in 3 4; do
	start_target "$net.$i" v2 --fail-permille 300 --fail-after-calls 20
	bad_pids="$bad_pids $target_pid"
done

write_document 300
"$bin/loomctl" apply "$work/shop.json" || fail "the document was not applied"
for i in 1 2 3; do
	wait_for curl -sf -H "Host: shop" "http://$net.$i:8080/1"
	make_calls "$net.$i" &
	pids="$pids $!"
done

code=0
"$bin/loomctl" status shop --wait $MOVE_WAIT_S >"$work/bad.txt" || code=$?
cat "$work/bad.txt"
[ "$code" -eq 7 ] || fail "bad move: got exit code $code, wanted 7"
grep -q 'taken back at .* v2 failed .* against .* on v1' "$work/bad.txt" ||
	fail "the status does not say why the move was taken back"

for pid in $bad_pids; do
	kill "$pid"
	wait "$pid" 2>/dev/null || true
done
start_target "$net.3" v2
start_target "$net.4" v2
write_document 90
"$bin/loomctl" apply "$work/shop.json" || fail "the second document was not applied"
code=0
"$bin/loomctl" status shop --wait $MOVE_WAIT_S >"$work/good.txt" || code=$?
cat "$work/good.txt"
[ "$code" -eq 0 ] || fail "good move: got exit code $code, wanted 0"
grep -q 'done: all calls on v2' "$work/good.txt" ||
	fail "the status does not say that the move is done"
wait_for sh -c "curl -s -H 'Host: shop' http://$net.1:8080/1 | grep -q 'shop v2'"

code=0
"$bin/loomctl" take-back shop >"$work/late.txt" 2>&1 || code=$?
[ "$code" -eq 4 ] || fail "take-back after the end: got exit code $code, wanted 4"
echo "the bad move was taken back, the good one completed"
