#!/usr/bin/env bash
# A node reloads its settings on SIGHUP and when the file changes, keeps the old
# ones when the new ones are invalid, and serves calls throughout.
. "$(dirname "$0")/common.sh"

start_fleet 2 --slots 20
warm_up 1 2

count_reloads() { # count_reloads MESSAGE: prints how often node 1 logged it
	grep -c "\"message\":\"$1" "$work/node1.log" || true
}
has_reloads() { # has_reloads MESSAGE COUNT
	[ "$(count_reloads "$1")" -ge "$2" ]
}

echo "== SIGHUP"
kill -HUP "${node_pid[1]}"
wait_for 15 has_reloads "settings are in force" 1
is "node 1 is running after SIGHUP" "$(kill -0 "${node_pid[1]}" && echo yes)" = yes

echo "== a changed file, without a signal"
sed -i 's/"drain_linger_ms":1500/"drain_linger_ms":1400,"log_level":"debug"/' \
	"$work/1.json"
wait_for 15 has_reloads "settings are in force" 2

echo "== invalid settings, with a signal"
echo '{"address":"nowhere"}' >"$work/1.json"
kill -HUP "${node_pid[1]}"
wait_for 15 has_reloads "settings stay as they were" 1
is "calls through node 1" "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Host: shop' "http://$base.1:8080/stock/1")" = 200
finish
