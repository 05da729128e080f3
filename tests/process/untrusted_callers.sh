#!/usr/bin/env bash
# Callers that send oversized or unfinished requests, or do not read answers:
# the nodes live, stay within their memory and descriptors, and answer an
# ordinary request while the callers still hold their connections.
#
# The bounds are those of the stated target: half of the memory of the smallest
# vm, 80 MB of 160 MB, as the highest RSS of a process (VmHWM).
. "$(dirname "$0")/common.sh"

memory_mb=160
rss_max_kb=$((memory_mb * 1024 / 2))
only=${2:-}
crowd=""

rss_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${node_pid[$1]}/status"; }
descriptors() { ls "/proc/${node_pid[$1]}/fd" | wc -l; }
is_alive() { kill -0 "${node_pid[$1]}" 2>/dev/null && echo yes; }

# Node 1 takes the calls, and the target is beside node 2.
start_pair() { # start_pair [MORE_SETTINGS]
	start_node 1 kgl-a "\"memory_mb\":$memory_mb${1:+,$1}"
	start_node 2 kgl-a "\"memory_mb\":$memory_mb${1:+,$1}"
	start_target 2
	wait_for 30 served_by 1 2
}

stop_pair() {
	kill "$crowd" 2>/dev/null || true
	kill -9 "${node_pid[1]}" "${node_pid[2]}" "${target_pid[2]}" 2>/dev/null || true
	wait "$crowd" "${node_pid[1]}" "${node_pid[2]}" "${target_pid[2]}" 2>/dev/null || true
}

start_crowd() { # start_crowd MODE NODE PORT COUNT: returns when it holds
	"$bin/crowd" "$1" "$base.$2" "$3" "$4" >"$work/crowd" &
	crowd=$!
	other_pids="$other_pids $crowd"
	wait_for 60 grep -q holding "$work/crowd"
	echo "crowd: $(cat "$work/crowd") of $4"
}

is_sanitized() { ldd "$bin/loomnode" | grep -qE 'lib[at]san'; }

# Only ends a test that hangs: the request has to be answered, not in a time. To
# parse the headers of the crowd takes a sanitized node on a busy machine more
# than 30 s.
serve_limit_s=30
if is_sanitized; then serve_limit_s=180; fi

# The sanitizers' shadow memory and quarantine count as RSS.
check_rss() { # check_rss N
	if is_sanitized; then
		echo "skipped: RSS of node $1, built with a sanitizer"
	else
		is "highest RSS of node $1 in kB" "$(rss_kb "$1")" -le "$rss_max_kb"
	fi
}

check_nodes() { # check_nodes DESCRIPTORS_MAX
	local n
	for n in 1 2; do
		is "node $n lives" "$(is_alive "$n")" = yes
		check_rss "$n"
		is "descriptors of node $n" "$(descriptors "$n")" -le "$1"
	done
}

# One scenario: the crowd, and an ordinary request while it holds and after it.
run_crowd() { # run_crowd MODE NODE PORT COUNT [SETTINGS [DESCRIPTORS_MAX]]
	[ -z "$only" ] || [ "$only" = "$1" ] || return 0
	echo "== $4 callers, $1, port $3${5:+, $5}"
	start_pair "${5:-}"
	start_crowd "$1" "$2" "$3" "$4"
	wait_for "$serve_limit_s" serves 1
	# Longer than the timeout of a route, so that held calls have ended.
	sleep 5
	check_nodes "${6:-9000}"
	kill "$crowd"
	wait "$crowd" 2>/dev/null || true
	wait_for "$serve_limit_s" serves 1
	is "node 1 lives afterwards" "$(is_alive 1)" = yes
	is "node 2 lives afterwards" "$(is_alive 2)" = yes
	stop_pair
}

# Bodies within the limit of the administration port whose values take much more
# memory than their text.
run_json() {
	local body
	[ -z "$only" ] || [ "$only" = json ] || return 0
	echo "== JSON of many values at the administration port"
	start_pair
	for body in "$(values 2000000 0)" "$(values 1300000 '[]')" \
		"$(values 400000 '{"a":{}}')"; do
		for path in /moves/report /spread/manifest /spread/bundle /target; do
			printf '%s' "$body" | curl -s -m 20 -o /dev/null \
				--data-binary @- "http://$base.1:8082$path" || true
		done
	done
	wait_for "$serve_limit_s" serves 1
	check_nodes 9000
	stop_pair
}

values() { # values COUNT VALUE: a report that is an array of equal values
	printf '{"reports":['
	yes "$2," | head -n "$1" | tr -d '\n'
	printf '0]}'
}

start_platform
apply_shop
run_json
run_crowd short-body 1 8080 1500
run_crowd hop-body 2 8081 1500
run_crowd announced 1 8080 1500
run_crowd chunk 1 8080 1500
run_crowd chunks 1 8080 400
run_crowd chunks 1 8080 3000
run_crowd answers 1 8080 240
run_crowd headers 1 8080 60
run_crowd pipelined 1 8080 1500
run_crowd announced 1 8082 60
run_crowd chunk 1 8082 60
# Callers' connections, those of other nodes, and what the process itself has
# open: each at most the setting.
run_crowd head 1 8080 600 '"connections":200' 500
run_crowd short-body 1 8080 600 '"connections":200' 500
# Callers that hang up keep no descriptors; the default is 4096 connections.
run_crowd leave 1 8080 600 '"connections":4096' 500
# More callers than the process may have descriptors.
node_files=300
run_crowd head 1 8080 600
run_crowd short-body 1 8080 600
finish
