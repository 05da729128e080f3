# Functions of the scripts of the cases; sourced from review/N/run.sh.
#
# Node N has the address 127.X.Y.N, its server listens on port 8147 of that
# address, and the store is at 127.X.Y.200. Nodes are started with the command of
# the deploy file, with settings as its template gives them.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
base=127.$((20 + $$ / 200 % 200)).$((1 + $$ % 200))
trouble=${TROUBLE:-1}
work=$(mktemp -d)
record=$here/record.txt
declare -A node_pid=() server_pid=() proxy_pid=()
store_pid=""
: >"$record"

note() { # note TEXT...: adds a line with the time in ms to the record
	printf '%s %s\n' "$(date +%s%3N)" "$*" >>"$record"
}

stop_all() {
	local pid
	exec 2>/dev/null # the shell would report each process that it kills
	for pid in $store_pid "${node_pid[@]}" "${server_pid[@]}" "${proxy_pid[@]}"; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

cannot_run() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# exchange ADDRESS PORT BYTES: sends BYTES (with \r\n as printf takes them) and
# prints what comes back until the end of the connection, for 5 s at most.
exchange() {
	(
		exec 3<>"/dev/tcp/$1/$2" || exit 1
		printf '%b' "$3" >&3
		timeout 5 cat <&3
	) 2>/dev/null
}

# send_json METHOD ADDRESS PORT PATH BODY: prints the status of the answer.
send_json() {
	exchange "$2" "$3" "$1 $4 HTTP/1.1\r\nHost: $2\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: ${#5}\r\n\r\n$5" |
		head -n 1 | tr -d '\r' | cut -d ' ' -f 2
}

wait_for() { # wait_for SECONDS COMMAND...
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || cannot_run "timed out: $*"
		sleep 0.1
	done
}

is_store_up() {
	[ -n "$(send_json GET "$base.200" 8142 /stats '')" ]
}

create() { # create KIND NAME SPEC: writes an object of the operator
	case $(send_json POST "$base.200" 8142 "/-/objects/$1" \
		"{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}") in
	2*) note "operator: created $1/$2" ;;
	*) cannot_run "the store did not take $1/$2" ;;
	esac
}

replace() { # replace KIND NAME SPEC
	case $(send_json PUT "$base.200" 8142 "/-/objects/$1/$2" \
		"{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}") in
	2*) note "operator: replaced $1/$2" ;;
	*) cannot_run "the store did not take $1/$2" ;;
	esac
}

start_store() {
	[ -x "$top/build-review/bin/fakestore" ] || cannot_run "no stand-ins: run review/build.sh"
	[ -x "$top/target/bin/loommesh" ] || cannot_run "no programs: run the build of the deploy file"
	"$top/build-review/bin/fakestore" "$base.200" 8142 >"$work/store.log" 2>&1 &
	store_pid=$!
	wait_for 10 is_store_up
}

# start_proxy N: a way to the store for node N alone, at 127.X.Y.(100 + N)
start_proxy() {
	"$top/build-review/bin/proxy" "$base.$((100 + $1))" 8142 "$base.200" 8142 &
	proxy_pid[$1]=$!
}

# start_node N ZONE SERVICE: through its proxy to the store, if it has one
start_node() {
	cat >"$work/$1.json" <<EOS
{"address":"$base.$1","failure_domain":"$2","service":"$3",
 "call_address":"$base.$1:8141","hop_address":"$base.$1:8145",
 "ready_address":"$base.$1:8140","control_address":"$base.$1:8146",
 "first_internal_port":7660,"platform_url":"http://$base.$([ -n "${proxy_pid[$1]:-}" ] && echo $((100 + $1)) || echo 200):8142",
 "processor_share":0.2,"processor_speed":1,
 "bounds":["seed_lag_s=3","reuse_after_s=2","contact_ms=3000","drain_ms=2000","grace_s=6","config_ms=2000"],
 "log_level":"info"}
EOS
	(cd "$top" && DOTTERELLOOM_NODE_FILE="$work/$1.json" exec target/bin/loommesh) \
		>>"$work/node$1.log" 2>&1 &
	node_pid[$1]=$!
	note "node $1: started in zone $2"
}

is_ready() { # is_ready N
	[ "$(send_json GET "$base.$1" 8140 /-/ready '')" = 200 ]
}

start_server() { # start_server N ID
	"$top/build-review/bin/server" "$base.$1" 8147 "$2" "$work/runs.$1" "$work/answers" \
		>"$work/server$1.log" 2>&1 &
	server_pid[$1]=$!
	note "server $2: started beside node $1"
}

# beat N ID SERVICE STATE SEQ BORN: sends a heartbeat to the node beside the
# server; prints the status of the answer.
beat() {
	send_json POST "$base.$1" 8146 "/-/instances/$2/heartbeat" \
		"{\"service\":\"$3\",\"address\":\"$base.$1:8147\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":9,\"state\":\"$4\",\"cold_left_ms\":0,\"seq\":$5,\"born\":$6}"
}

# call N METHOD PATH ID: sends a request to node N; prints the whole answer.
call() {
	exchange "$base.$1" 8141 "$2 $3 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Dotterelloom-Request-Id: $4\r\nX-Dotterelloom-Deadline-Ms: 1000\r\n$([ "$2" = POST ] && echo 'Content-Length: 1\r\n\r\nx' || echo '\r\n')"
}

# split_answer FILE BODY: prints the status, and writes the body of the answer in
# FILE to BODY. Returns 1 when the answer ends before its framing says so.
split_answer() {
	local head length line size
	head=$(sed '/^\r$/q' "$1" | tr -d '\r')
	echo "$head" | status_of
	length=$(echo "$head" | sed -n 's/^Content-Length: //p')
	sed '1,/^\r$/d' "$1" >"$2"
	if [ -n "$length" ]; then
		[ "$(wc -c <"$2")" = "$length" ]
		return
	fi
	echo "$head" | grep -qi '^Transfer-Encoding: chunked$' || return 0
	mv "$2" "$2.chunks"
	while IFS= read -r line; do
		line=${line%$'\r'}
		[ -n "$line" ] || continue
		size=$((16#$line))
		[ "$size" -gt 0 ] || return 0
		head -c "$size"
	done <"$2.chunks" >"$2"
	return 1
}

status_of() { # reads an answer, prints its status
	head -n 1 | tr -d '\r' | cut -d ' ' -f 2
}

is_answered() { # is_answered STATUS N PATH
	[ "$(call "$2" GET "$3" "warm-$RANDOM$RANDOM" | status_of)" = "$1" ]
}

read_route='{"resource_kind":"routes","metadata":{"name":"r-read"},"spec":{"host":"a.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":800,"slo_ms":200,"priority":2,"service":"orders","max_attempts":2}}'

config() { # config VERSION [READ]: with READ=no without the route of /read/
	printf '%s' "{\"version\":\"r$1\",\"resources\":[$([ "${2:-yes}" = yes ] &&
		printf '%s' "$read_route,")
{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-order\"},\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/order/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1000,\"slo_ms\":250,\"priority\":1,\"service\":\"orders\",\"max_attempts\":2}},
{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"orders\"},\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":41.0}},
{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}"
}

now_ms() {
	date +%s%3N
}

sleep_until() { # sleep_until MS
	local left=$(($1 - $(now_ms)))
	[ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
}

copy_logs() { # adds what the servers ran, and the nodes' logs of targets
	sort -n "$work"/runs.* 2>/dev/null | sed 's/^/server log: /' >>"$record"
	grep -h -E 'target announced|target leaves|drain begins' "$work"/node*.log |
		sed 's/^/node log: /' >>"$record"
}

# start_one_service: a store, nodes 1 to 4 and three servers beside the first
# three. Node 4 is in the zone of node 1, so that both send to server 1.
start_one_service() {
	local n
	start_store
	create config main "$(config 7)"
	for n in 1 2 3; do start_node "$n" "zone-$n" orders; done
	start_node 4 zone-1 orders
	born=$(now_ms)
	for n in 1 2 3; do start_server "$n" "i-$n"; done
	(
		seq=0
		while :; do
			seq=$((seq + 1))
			for n in 1 2 3; do beat "$n" "i-$n" orders ready "$seq" "$born" >/dev/null; done
			sleep 0.5
		done
	) &
	server_pid[beats]=$!
	for n in 1 2 3 4; do wait_for 20 is_ready "$n"; done
	for n in 1 2 3 4; do wait_for 20 is_answered 200 "$n" /read/1; done
	sleep 4 # the nodes are in touch
}
