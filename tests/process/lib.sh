# Functions of the tests with processes: checks, requests, faults, and
# continuous writers whose history is compared with the data of the stand-ins. A
# test sets CLUSTER_* and sources this file. All times are in ms.
#
# The tests call a write a booking. A writer adds 1 to its record with each
# booking, so that the record counts executions.

: "${CLUSTER_PORT:?}"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
. demo/cluster.sh

failures=0
writer_pids=()

now() { # sets REPLY to the time in ms
	REPLY=$((${EPOCHREALTIME/[.,]/} / 1000))
}

# Reports whether the command succeeds. A failure makes the test fail.
check() { # text command...
	local text=$1
	shift
	if "$@"; then
		echo "ok - $text"
	else
		echo "not ok - $text"
		failures=$((failures + 1))
		return 1
	fi
}

# Prints a measured value that no check depends on.
figure() { echo "# $*"; }

# Ends the test, with exit code 1 if a check failed. test_stop then ends all
# processes.
finish() {
	if ((failures > 0)); then
		echo "# $failures checks failed"
		exit 1
	fi
	exit 0
}

# Ends all processes. The logs are copied to the directory KEEP_LOGS if it is
# set.
test_stop() {
	[ -z "$cluster_dir" ] || rm -f "$cluster_dir/go"
	if [ -n "${KEEP_LOGS:-}" ] && [ -n "$cluster_dir" ]; then
		mkdir -p "$KEEP_LOGS"
		cp "$cluster_dir"/* "$KEEP_LOGS"
	fi
	cluster_stop
}

# Moves CLUSTER_PORT up while another run on this machine uses that port, so
# that two checkouts can run their tests at the same time.
free_ports() {
	while (exec 3<>"/dev/tcp/127.0.0.1/$CLUSTER_PORT") 2>/dev/null &&
		((CLUSTER_PORT < 31000)); do
		CLUSTER_PORT=$((CLUSTER_PORT + 200))
	done
}

test_start() {
	free_ports
	cluster_start || {
		echo "not ok - the deployment starts"
		exit 1
	}
	trap test_stop EXIT
}

is() { [ "$1" = "$2" ] || {
	echo "# got '$1', expected '$2'"
	return 1
}; }
below() { [ -n "$1" ] && [ "$1" -lt "$2" ] || {
	echo "# got '$1', expected less than $2"
	return 1
}; }
at_least() { [ -n "$1" ] && [ "$1" -ge "$2" ] || {
	echo "# got '$1', expected at least $2"
	return 1
}; }
matches() { [[ $1 =~ $2 ]] || {
	echo "# got '$1', expected a match of '$2'"
	return 1
}; }

# Prints a field of a JSON text, or nothing.
field() { # json path
	jq -r ".$2 // empty" <<<"$1" 2>/dev/null
}

# Prints the pairs as members to append to a JSON object. Values that start with
# a digit are numbers; empty values are left out.
members() { # name=value...
	local pair
	for pair in "$@"; do
		case ${pair#*=} in
		'') ;;
		[0-9]*) printf ',"%s":%s' "${pair%%=*}" "${pair#*=}" ;;
		*) printf ',"%s":"%s"' "${pair%%=*}" "${pair#*=}" ;;
		esac
	done
}

write_sql() { # proxy statement [name=value...]
	local proxy=$1 statement=$2
	shift 2
	cluster_call "$proxy" /v1/statement "{\"service\":\"${SERVICE:-ledger-0}\",\"kind\":\"write\",\"statement\":\"$statement\"$(members "$@")}"
}

read_sql() { # proxy statement [name=value...]
	local proxy=$1 statement=$2
	shift 2
	cluster_call "$proxy" /v1/statement "{\"service\":\"${SERVICE:-ledger-0}\",\"kind\":\"read\",\"statement\":\"$statement\"$(members "$@")}"
}

# Inserts a record.
book() { # proxy id value [name=value...]
	local proxy=$1 id=$2 value=$3
	shift 3
	write_sql "$proxy" "INSERT INTO records VALUES ('$id', '$value')" "$@"
}

# Reads a record.
look() { # proxy id [name=value...]
	local proxy=$1 id=$2
	shift 2
	read_sql "$proxy" "SELECT value FROM records WHERE id = '$id'" "$@"
}

# Requests the outcome of a key until it is settled, up to 8 s, and prints done
# or not-run.
settle() { # proxy key
	local answer outcome end=$((SECONDS + 8))
	while ((SECONDS < end)); do
		answer=$(cluster_call "$1" /v1/outcome "{\"service\":\"${SERVICE:-ledger-0}\",\"key\":\"$2\",\"deadline_ms\":2000}")
		outcome=$(field "$answer" outcome)
		if [ "$outcome" = done ] || [ "$(field "$answer" reason)" = cancelled ]; then
			echo "$outcome"
			return
		fi
		sleep 0.05
	done
	echo "unsettled ($answer)"
}

# Requests to the control ports of the stand-ins.
target_state() { # service target
	curl -s -m 2 "http://127.0.0.1:$(cluster_target_control "$1" "$2")/state"
}

target_fault() { # service target query
	curl -s -m 2 -X POST "http://127.0.0.1:$(cluster_target_control "$1" "$2")/fault?$3"
}

platform_fault() { # query
	curl -s -m 2 -X POST "http://127.0.0.1:$(cluster_platform_control)/fault?$1" >/dev/null
}

proxy_status() { # proxy
	curl -s -m 2 "http://127.0.0.1:$(cluster_operator_port "$1")/v1/status"
}

proxy_metric() { # proxy name{labels}
	curl -s -m 2 "http://127.0.0.1:$(cluster_operator_port "$1")/metrics" |
		awk -v name="$2" 'index($0, name " ") == 1 { print $2 }'
}

# Prints the index of the target that is primary in the highest term, or -1.
primary_of() { # service
	local i best=-1 best_term=0 state term
	for i in 0 1 2; do
		state=$(target_state "$1" $i) || continue
		[ "$(field "$state" role)" = primary ] || continue
		term=$(field "$state" term)
		if ((term > best_term)); then
			best=$i best_term=$term
		fi
	done
	echo "$best"
}

# Prints the index of the proxy that owns the target, according to a proxy.
owner_of() { # proxy target name
	proxy_status "$1" | jq -r --arg t "$2" \
		'.services[].targets[] | select(.name == $t) | .owner' |
		sed 's/^proxy-//'
}

# Succeeds if the target is a replica and has the primary's whole log.
caught_up() { # service target primary
	local own other
	own=$(target_state "$1" "$2") && other=$(target_state "$1" "$3") || return 1
	[ "$(field "$own" role)" = replica ] &&
		[ "$(field "$own" log_term)" = "$(field "$other" log_term)" ] &&
		[ "$(field "$own" position)" = "$(field "$other" position)" ]
}

# Runs one writer until writers_stop. Each booking adds 1 to the writer's
# record. The fields of a line of its history are: key, outcome, reason, start,
# end, proxy, term, target, token. After each acknowledgement the record is read
# with the token through the next proxy. The fields of a line of its reads are:
# key, number of acknowledged bookings, outcome, value.
writer_run() { # proxy name round
	local n=0 key answer outcome reason start term target token= value
	local count=0 other=$((($1 + 1) % CLUSTER_PROXIES))
	[ ! -s "$cluster_dir/$2.count" ] || count=$(<"$cluster_dir/$2.count")
	while [ -e "$cluster_dir/go" ]; do
		n=$((n + 1))
		key=$2-$3-$n
		now
		start=$REPLY
		answer=$(write_sql "$1" "UPDATE records SET value = value + 1 WHERE id = '$2'" "key=$key" "token=$token" "deadline_ms=${WRITER_DEADLINE_MS:-3000}")
		now
		outcome=lost reason=- term=0 target=-
		[[ $answer =~ \"outcome\":\"([a-z-]+)\" ]] && outcome=${BASH_REMATCH[1]}
		[[ $answer =~ \"reason\":\"([a-z-]+)\" ]] && reason=${BASH_REMATCH[1]}
		[[ $answer =~ \"term\":([0-9]+) ]] && term=${BASH_REMATCH[1]}
		[[ $answer =~ \"target\":\"([a-z0-9-]+)\" ]] && target=${BASH_REMATCH[1]}
		[[ $answer =~ \"token\":\"([^\"]+)\" ]] && token=${BASH_REMATCH[1]}
		[ "$reason" != statement ] || echo "$answer" >>"$cluster_dir/rejected"
		echo "$key $outcome $reason $start $REPLY $1 $term $target $token" >>"$cluster_dir/$2.history.$3"
		if [ "$outcome" = done ]; then
			count=$((count + 1))
			answer=$(look "$other" "$2" "token=$token" deadline_ms=500)
			outcome=lost value=-
			[[ $answer =~ \"outcome\":\"([a-z-]+)\" ]] && outcome=${BASH_REMATCH[1]}
			[[ $answer =~ \"rows\":\[\[\"([0-9]+)\" ]] && value=${BASH_REMATCH[1]}
			echo "$key $count $outcome $value" >>"$cluster_dir/$2.reads"
		fi
		sleep "${WRITER_PAUSE:-0.005}"
	done
	echo "$count" >"$cluster_dir/$2.count"
}

# Reads a writer's record until writers_stop, with a limit on the age of the
# data. The fields of a line of its history are: writer, outcome, start, end, age,
# value, target.
reader_run() { # proxy writer max_age_ms
	local answer outcome start age value target
	while [ -e "$cluster_dir/go" ]; do
		now
		start=$REPLY
		answer=$(look "$1" "$2" "max_age_ms=$3" deadline_ms=1000)
		now
		outcome=lost age=- value=0 target=-
		[[ $answer =~ \"outcome\":\"([a-z-]+)\" ]] && outcome=${BASH_REMATCH[1]}
		[[ $answer =~ \"age_ms\":([0-9]+) ]] && age=${BASH_REMATCH[1]}
		[[ $answer =~ \"rows\":\[\[\"([0-9]+)\" ]] && value=${BASH_REMATCH[1]}
		[[ $answer =~ \"target\":\"([a-z0-9-]+)\" ]] && target=${BASH_REMATCH[1]}
		echo "$2 $outcome $start $REPLY $age $value $target" >>"$cluster_dir/readers"
		sleep 0.01
	done
}

# Sends a booking every 50 ms through the proxies in turn, without waiting for
# earlier answers. So the history shows when new writes can be committed again
# while earlier ones still wait for an unreachable primary.
pulse_run() { # round proxy...
	local round=$1 n=0 proxies
	shift
	proxies=("$@")
	while [ -e "$cluster_dir/go" ]; do
		n=$((n + 1))
		pulse_once "$round" "$n" "${proxies[n % ${#proxies[@]}]}" &
		sleep 0.05
	done
	wait
}

pulse_once() { # round number proxy
	local answer outcome=lost reason=- term=0 target=- start key=pulse-$1-$2
	now
	start=$REPLY
	answer=$(write_sql "$3" "INSERT INTO records VALUES ('writer-$key', '1')" "key=$key" "deadline_ms=${WRITER_DEADLINE_MS:-3000}")
	now
	[[ $answer =~ \"outcome\":\"([a-z-]+)\" ]] && outcome=${BASH_REMATCH[1]}
	[[ $answer =~ \"reason\":\"([a-z-]+)\" ]] && reason=${BASH_REMATCH[1]}
	[[ $answer =~ \"term\":([0-9]+) ]] && term=${BASH_REMATCH[1]}
	[[ $answer =~ \"target\":\"([a-z0-9-]+)\" ]] && target=${BASH_REMATCH[1]}
	echo "$key $outcome $reason $start $REPLY $3 $term $target -" >>"$cluster_dir/writer-pulse.history.$1"
}

round=0 round_end=0

# Starts the writers of a round, whose keys contain the number of the round.
# writers_stop writes their history to "history" and appends it to "all".
writers_start() { # proxy...
	local proxy
	round=$((round + 1))
	: >"$cluster_dir/go"
	for proxy in "$@"; do
		writer_run "$proxy" "writer-$proxy" "$round" &
		writer_pids+=($!)
	done
	pulse_run "$round" "$@" &
	writer_pids+=($!)
}

# Prints the longest time that a booking of the round took.
history_slowest() {
	awk '$5 - $4 > slowest { slowest = $5 - $4 } END { print slowest + 0 }' "$cluster_dir/history"
}

readers_start() { # writer max_age_ms proxy...
	local writer=$1 age=$2 proxy
	shift 2
	for proxy in "$@"; do
		reader_run "$proxy" "$writer" "$age" &
		writer_pids+=($!)
	done
}

writers_stop() {
	now
	round_end=$REPLY
	rm -f "$cluster_dir/go"
	wait "${writer_pids[@]}"
	writer_pids=()
	cat "$cluster_dir"/writer-*.history."$round" >"$cluster_dir/history"
	cat "$cluster_dir/history" >>"$cluster_dir/all"
	awk '$2 == "done" { d++ } $2 == "not-run" { n++ } $2 == "unknown" || $2 == "lost" { u++ }
	     END { printf "# round: %d done, %d not-run, %d unknown\n", d, n, u }' "$cluster_dir/history"
}

# Prints the longest time without an acknowledgement to any writer, up to the
# end of the round.
history_gap() {
	{
		awk '$2 == "done" { print $5 }' "$cluster_dir/history"
		echo "$round_end"
	} | sort -n |
		awk 'NR > 1 && $1 - last > gap { gap = $1 - last } { last = $1 } END { print gap + 0 }'
}

# Prints reads with a token that miss an acknowledged booking of the writer.
reads_missed() {
	awk '$3 == "done" && $4 + 0 < $2' "$cluster_dir"/writer-*.reads | head -3
}

# Prints reads whose data is older than the age in their answer: the value
# misses a booking that was acknowledged earlier than that age before the read's
# start. Reads without an age, or with one above the limit, are printed too.
reads_too_old() { # max_age_ms
	awk -v max="$1" 'FNR == NR { if ($2 == "done") { split($1, part, "-"); name = part[1] "-" part[2]; ends[name, ++count[name]] = $5 } next }
	     $2 == "done" { if ($5 == "-" || $5 > max) print; seen = 0
	         for (i = 1; i <= count[$1]; i++) if (ends[$1, i] < $3 - $5) seen++
	         if ($6 < seen) print $0, "expected", seen }' \
		"$cluster_dir/all" "$cluster_dir/readers" | head -3
}

# Prints the number of acknowledgements in a term whose requests began after the
# first acknowledgement in a higher term.
history_stale() {
	awk '$2 == "done" && $7 > 0 && (!($7 in first) || $5 < first[$7]) { first[$7] = $5 }
	     $2 == "done" { term[NR] = $7; start[NR] = $4 }
	     END { for (i in term) for (t in first) if (t + 0 > term[i] + 0 && start[i] > first[t]) { n++; break }
	           print n + 0 }' "$cluster_dir/all"
}

# Settles the bookings with an unknown outcome and checks the history against
# the data of the primary.
history_check() { # text service proxy for outcomes
	local key outcome primary state bad name expected total
	awk '$2 == "unknown" || $2 == "lost" { print $1 }' "$cluster_dir/all" >"$cluster_dir/unknown"
	awk '$2 == "done" { print $1 }' "$cluster_dir/all" >"$cluster_dir/done"
	awk '$2 == "not-run" { print $1 }' "$cluster_dir/all" >"$cluster_dir/not-run"
	: >"$cluster_dir/unsettled"
	while read -r key; do
		outcome=$(settle "$3" "$key")
		case $outcome in
		done | not-run) echo "$key" >>"$cluster_dir/$outcome" ;;
		*) echo "$key $outcome" >>"$cluster_dir/unsettled" ;;
		esac
	done <"$cluster_dir/unknown"
	primary=$(primary_of "$2")
	target_state "$2" "$primary" >"$cluster_dir/state"
	figure "$1: $(wc -l <"$cluster_dir/done") done, $(wc -l <"$cluster_dir/not-run") not-run, $(wc -l <"$cluster_dir/unknown") unknown at first"
	check "$1: every unknown booking is settled by /v1/outcome (R5)" \
		is "$(cat "$cluster_dir/unsettled")" ""
	bad=$(jq -r --rawfile keys "$cluster_dir/done" \
		'.outcomes as $o | $keys | split("\n")[] | select(. != "") | select(($o[.].state // "") != "done")' \
		"$cluster_dir/state" | head -3)
	check "$1: every acknowledged booking is on the primary (R2)" is "$bad" ""
	bad=$(jq -r --rawfile keys "$cluster_dir/not-run" \
		'.outcomes as $o | $keys | split("\n")[] | select(. != "") | select(($o[.].state // "") == "done")' \
		"$cluster_dir/state" | head -3)
	check "$1: no booking answered not-run has run (R5)" is "$bad" ""
	expected=$(wc -l <"$cluster_dir/done")
	total=$(jq '[.records | to_entries[] | select(.key | startswith("writer-")) | .value | tonumber] | add // 0' "$cluster_dir/state")
	check "$1: $expected bookings were executed once each (R6)" is "$total" "$expected"
	check "$1: reads with a token see all acknowledged bookings (R1)" \
		is "$(reads_missed)" ""
	check "$1: such reads were done" at_least \
		"$(cat "$cluster_dir"/writer-*.reads | awk '$3 == "done"' | wc -l)" 1
	check "$1: no target rejected a statement that is right" \
		is "$(cut -c1-200 "$cluster_dir/rejected" 2>/dev/null | head -2)" ""
	check "$1: no acknowledgement by a replaced primary (R2)" is "$(history_stale)" 0
}

# Requests of operators. config_put prints the body of the answer and then a
# line with the HTTP status.
config_put() { # proxy base value operator [service]
	curl -s -m 15 -w '\n%{http_code}' -X PUT \
		"http://127.0.0.1:$(cluster_operator_port "$1")/v1/config" \
		-d "{\"service\":\"${5:-ledger-0}\",\"base_revision\":$2,\"value\":$3,\"operator\":\"$4\"}"
}

config_get() { # proxy [service]
	curl -s -m 2 "http://127.0.0.1:$(cluster_operator_port "$1")/v1/config?service=${2:-ledger-0}"
}

config_revision() { # proxy [service]
	config_get "$@" | jq -r '.services[0].revision // 0'
}

config_value() { # proxy [jq filter that changes it]
	config_get "$1" | jq -c ".services[0].value | ${2:-.}"
}

# Succeeds if the revision, or a higher one, is in force on all the proxies.
config_in_force() { # revision proxy...
	local revision=$1 proxy own
	shift
	for proxy in "$@"; do
		own=$(config_revision "$proxy")
		[ -n "$own" ] && [ "$own" -ge "$revision" ] || return 1
	done
}

status_of() { # answer of config_put
	tail -n 1 <<<"$1"
}

body_of() { # answer of config_put
	head -n -1 <<<"$1"
}

# Requests of transactions.
begin() { # proxy [name=value...]
	local proxy=$1 body
	shift
	body=$(members "$@")
	cluster_call "$proxy" /v1/transaction "{\"service\":\"${SERVICE:-ledger-0}\"$body}"
}

end() { # proxy commit|rollback transaction [name=value...]
	local proxy=$1 how=$2 transaction=$3
	shift 3
	cluster_call "$proxy" "/v1/$how" "{\"transaction\":\"$transaction\"$(members "$@")}"
}
