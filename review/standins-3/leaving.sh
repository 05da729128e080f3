# Server 1, whose heartbeats the script sends in its place, so that single ones can be
# late. Sourced after common.sh. The server serves on after it has deregistered, and
# sends no heartbeat from then on.

server_id=""
born=0
sequence=0

start_leaving_server() {
	"$standins/fakeserver" "$base.1" 9001 "$base.1:9" orders v1 8 20 \
		>"$work/server1.log" 2>&1 &
	server_pid[1]=$!
	wait_for 10 curl -sf "http://$base.1:9001/record"
	server_id=$(curl -s "http://$base.1:9001/record" |
		grep -oE '"id": ?"[^"]*"' | cut -d '"' -f 4)
	born=$(now_ms)
}

# beat SEQ: delivers the heartbeat with that number to node 1; prints the status.
beat() {
	curl -s -o /dev/null -w '%{http_code}' -m 1 \
		"http://$base.1:8146/-/instances/$server_id/heartbeat" \
		-d "{\"service\":\"orders\",\"address\":\"$base.1:9001\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":$1,\"born\":$born}" ||
		true
}

beat_on_time() { # the next heartbeat, without delay
	sequence=$((sequence + 1))
	beat "$sequence" >/dev/null
}

deregister() { # prints the status
	sequence=$((sequence + 1))
	curl -s -o /dev/null -w '%{http_code}' -m 1 \
		"http://$base.1:8146/-/instances/$server_id/deregister" \
		-d "{\"seq\":$sequence,\"born\":$born}" || true
}

is_used() { # whether server 1 runs requests of the clients of its machine
	local id=warm-$RANDOM$RANDOM
	beat_on_time
	sleep 0.3
	send 1 /order/1 "$id" -X POST -d x >/dev/null
	has_run 1 "$id"
}

# check_drain FROM_MS UNTIL_MS ACK_MS: sends orders to machine 1 from one time to the
# other (milliseconds since the epoch) and counts those that server 1 ran. Each of these
# times is later than drain_ms after the acknowledgement. Sets broken.
broken=0
check_drain() {
	local i=0 id status sent
	while [ "$(now_ms)" -lt "$1" ]; do sleep 0.05; done
	while [ "$(now_ms)" -lt "$2" ]; do
		i=$((i + 1))
		id=order-$i
		sent=$(now_ms)
		status=$(send 1 /order/1 "$id" -X POST -d x)
		if has_run 1 "$id"; then
			broken=$((broken + 1))
			note "$id sent $((sent - $3)) ms after the acknowledgement, answered $status, run by the server that left"
		else
			note "$id sent $((sent - $3)) ms after the acknowledgement, answered $status, not run by the server that left"
		fi
		sleep 0.1
	done
	note "$broken of $i orders ran on the server that left"
}

verdict() {
	if [ "$broken" -gt 0 ]; then
		note "DRAIN is broken"
		exit 1
	fi
	note "DRAIN holds"
	exit 0
}
