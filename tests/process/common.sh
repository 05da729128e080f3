# Functions of the process tests; sourced with the build's bin folder as $1.
#
# Node N of a test has the address 127.X.Y.N. X.Y follows from the script's
# process id, so that tests that run at the same time use different addresses.
# The node and the target of one address form one vm. All processes are killed
# by process id when the script exits. Waiting for a condition has a long time
# limit, so that results depend on counts and not on the speed of the machine.
set -eu
# shellcheck disable=SC2034
bin=${1:?usage: give the folder of the programs}
base=127.$((10 + $$ / 200 % 200)).$((1 + $$ % 200))
platform=$base.200:9000       # address for operators and tests
node_platform=$base.201:9000  # address for nodes, so that faults can hit only them
export LOOM_PLATFORM=http://$platform
work=$(mktemp -d)
declare -A node_pid=() target_pid=()
other_pids=""
failures=0

stop_all() {
	local pid
	for pid in $other_pids "${node_pid[@]}" "${target_pid[@]}"; do
		kill -9 "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# is TEXT GOT OPERATOR WANTED: prints the result of a check and counts failures.
is() {
	local verdict=ok
	[ "$2" "$3" "$4" ] || { verdict=FAILED; failures=$((failures + 1)); }
	printf '%-6s %s: %s (wanted %s %s)\n' "$verdict" "$1" "$2" "$3" "$4"
}

finish() {
	[ "$failures" -eq 0 ] && exit 0
	tail -n 5 "$work"/node*.log
	echo "$failures checks failed"
	exit 1
}

wait_for() { # wait_for SECONDS COMMAND...
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || { echo "timed out: $*"; exit 1; }
		sleep 0.1
	done
}

start_platform() {
	"$bin/fakeplatform" --address "$base.200" --address "$base.201" \
		--port 9000 \
		>"$work/platform.log" 2>&1 &
	other_pids="$other_pids $!"
	wait_for 15 curl -sf "http://$platform/stats"
}

# Where set, node_files is the number of descriptors that a node may open.
start_node() { # start_node N FAILURE_DOMAIN [MORE_SETTINGS]
	cat >"$work/$1.json" <<EOF
{"address":"$base.$1","failure_domain":"$2","call_port":8080,
 "hop_port":8081,"admin_port":8082,"gossip_port":7946,
 "drain_linger_ms":1500,"platform_url":"http://$node_platform",
 "seeds":["$base.1:7946","$base.2:7946"]${3:+,$3}}
EOF
	(
		ulimit -n "${node_files:-$(ulimit -n)}"
		exec "$bin/loomnode" --settings "$work/$1.json"
	) >>"$work/node$1.log" &
	node_pid[$1]=$!
}

start_target() { # start_target N [OPTIONS OF faketarget...]
	local n=$1
	shift
	"$bin/faketarget" --address "$base.$n" --port 9001 \
		--node "$base.$n:8082" --service shop --version v1 "$@" \
		>>"$work/target$n.log" 2>&1 &
	target_pid[$n]=$!
}

apply_shop() { # apply_shop [SLOTS]
	cat >"$work/shop.json" <<EOF
{"service":"shop","versions":["v1"],"current":"v1",
 "routes":[{"name":"stock","path":"/stock","methods":["GET"],"timeout_ms":4000},
           {"name":"orders","path":"/orders","timeout_ms":4000,
            "repeatable":false},
           {"name":"photos","path":"/photos","timeout_ms":20000}],
 "limits":{"slots":${1:-12},"connections":120,"queue_length":24,
           "request_body_bytes":1048576,"header_bytes":16384},
 "objective":{"availability_percent":99.9,"latency_ms":250,
              "latency_percent":99}}
EOF
	wait_for 15 "$bin/loomctl" apply "$work/shop.json"
}

served_by() { # served_by ENTRY TARGET: a call through ENTRY reaches TARGET
	curl -s -m 5 -H "Host: shop" "http://$base.$1:8080/stock" |
		grep -q "from $base.$2\$"
}

serves() { # serves ENTRY: a call through ENTRY gets no error
	curl -sf -m 5 -H "Host: shop" "http://$base.$1:8080/stock"
}

target_stat() { # target_stat TARGET NAME: prints a counter of the target's /_stats
	curl -s -m 10 "http://$base.$1:9001/_stats" |
		sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}

urls() { # urls PATH N...: prints the URL of PATH at each entry node
	local path=$1 n
	shift
	for n in "$@"; do printf 'http://%s.%s:8080%s ' "$base" "$n" "$path"; done
}

# count_calls AWK_CONDITION FILE...: counts lines of call logs, whose fields
# tests/fakes/loomload.c describes.
count_calls() {
	local condition=$1
	shift
	cat "$@" | awk "$condition { n++ } END { print n + 0 }"
}

# Counts the answers marked "not run" whose request a target did run.
count_false_refusals() { # count_false_refusals LOG TARGET...
	local log=$1 n
	shift
	for n in "$@"; do
		awk -v "url=http://$base.$n:9001/_ran?id=" \
			'$6 == "not_run" { print "url = \"" url $7 "\"" }' "$log"
	done >"$work/ran.curl"
	[ -s "$work/ran.curl" ] || { echo 0; return; }
	curl -s -K "$work/ran.curl" | grep -c 1 || true
}

# Calls raise the concurrency limit of a new target, which starts low.
warm_up() { # warm_up ENTRY...
	# shellcheck disable=SC2046
	"$bin/loomload" --host shop --rate 80 --seconds 3 \
		$(urls /stock "$@") >/dev/null
}

start_posts() { # start_posts NAME ENTRY...: POSTs with unique ids for 5 s
	local name=$1
	shift
	# shellcheck disable=SC2046
	"$bin/loomload" --host shop --rate 100 --seconds 5 --post 2000 \
		--ids "$name-" --log "$work/$name" $(urls /orders "$@") \
		>"$work/$name.report" &
	load=$!
	other_pids="$other_pids $load"
}

# Checks the POSTs of start_posts. A target that was killed has lost its record
# of requests, so only targets that were not killed are given.
check_posts() { # check_posts NAME TARGET...
	local log=$work/$1 n
	wait "$load"
	shift
	tail -n +2 "$work/${log##*/}.report"
	for n in "$@"; do
		is "requests repeated at target $n" "$(target_stat "$n" repeated)" \
			-eq 0
	done
	is "requests run at two targets" "$(count_duplicate_runs "$log" "$@")" -eq 0
	is "requests that ran although marked not run" \
		"$(count_false_refusals "$log" "$@")" -eq 0
	echo "refusals: $(count_calls '$6 == "not_run"' "$log"), unknown:" \
		"$(count_calls '$5 != 200 && $6 != "not_run"' "$log")"
	is "calls served" "$(count_calls '$5 == 200' "$log")" -ge 300
	is "calls served in the last two seconds" \
		"$(count_calls '$1 >= 4 && $5 == 200' "$log")" -ge 50
}

# Counts the requests of a log that ran at more than one target.
count_duplicate_runs() { # count_duplicate_runs LOG TARGET...
	local log=$1 n
	shift
	for n in "$@"; do
		awk -v "url=http://$base.$n:9001/_ran?id=" -v "n=$n" \
			'{ print "url = \"" url $7 "\"\noutput = \"-\"" }' \
			"$log" >"$work/ran.curl"
		curl -s -K "$work/ran.curl" >"$work/ran$n"
	done
	paste $(for n in "$@"; do echo "$work/ran$n"; done) |
		awk '{ sum = 0; for (i = 1; i <= NF; i++) sum += $i
		       if (sum > 1) n++ } END { print n + 0 }'
}

# Starts the platform and vms 1 to COUNT in one failure domain, and waits until
# node 1 reaches the target of each vm.
start_fleet() { # start_fleet COUNT [OPTIONS OF faketarget...]
	local count=$1
	shift
	start_platform
	for n in $(seq "$count"); do
		start_node "$n" kgl-a
		start_target "$n" "$@"
	done
	apply_shop
	for n in $(seq "$count"); do wait_for 30 served_by 1 "$n"; done
}
