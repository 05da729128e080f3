#!/usr/bin/env bash
# A node reads its settings anew on SIGHUP and when the file changes, goes on
# with the old ones when the new are wrong, and serves all the while.
. "$(dirname "$0")/common.sh"

start_fleet 2 --slots 20
warm_up 1 2

reloads() { # reloads MESSAGE: how often node 1 said so
	grep -c "\"message\":\"$1" "$work/node1.log" || true
}
has_reloads() { # has_reloads MESSAGE COUNT
	[ "$(reloads "$1")" -ge "$2" ]
}

echo "== SIGHUP"
kill -HUP "${node_pid[1]}"
wait_for 15 has_reloads "settings are in force" 1
is "alive after SIGHUP" "$(kill -0 "${node_pid[1]}" && echo yes)" = yes

echo "== a change without a signal"
sed -i 's/"drain_linger_ms":1500/"drain_linger_ms":1400,"log_level":"debug"/' \
	"$work/1.json"
wait_for 15 has_reloads "settings are in force" 2

echo "== wrong settings, with a signal"
echo '{"address":"nowhere"}' >"$work/1.json"
kill -HUP "${node_pid[1]}"
wait_for 15 has_reloads "settings stay as they were" 1
is "calls through node 1" "$(curl -s -o /dev/null -w '%{http_code}' \
	-H 'Host: shop' "http://$base.1:8080/stock/1")" = 200
finish
