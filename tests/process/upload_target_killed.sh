#!/usr/bin/env bash
# When a target is killed during a long, slow upload, the caller gets the error
# as soon as the node writes the next bytes, not at the deadline of the route.
. "$(dirname "$0")/common.sh"

start_platform
start_node 1 kgl-a
start_target 1
apply_shop
wait_for 30 served_by 1 1
head -c 150000 /dev/zero >"$work/body"
curl -s -m 30 --limit-rate 20k -H "Host: shop" --data-binary "@$work/body" \
	-w '\n%{http_code}\n' "http://$base.1:8080/photos" >"$work/answer" &
caller=$!
sleep 1
kill -9 "${target_pid[1]}"
wait "$caller" || true
cat "$work/answer"
is "status" "$(tail -n 1 "$work/answer")" = 502
is "answers that say connection_lost" \
	"$(grep -c connection_lost "$work/answer")" -eq 1
finish
