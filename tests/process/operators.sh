#!/usr/bin/env bash
# Case 9: operators change the same service at the same time, move to another
# schema version, and change limits at run time. Guards R5, R9 and R10. The
# failures are two accepted changes with the same base revision, a schema
# version that is written before every proxy can read it, and a limit that has
# no effect until a restart.
CLUSTER_PORT=23200 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

put() { # proxy filter operator
	config_put "$1" "$(config_revision "$1")" "$(config_value "$1" "$2")" "$3"
}

slowest=0
for ((i = 0; i < 8; i++)); do
	base=$(config_revision 0)
	value=$(config_value 0)
	for who in 0 1; do
		config_put $who "$base" "$(jq -c ".queue_max = $((100 + i * 2 + who))" <<<"$value")" "operator-$who" \
			>"$cluster_dir/race-$who" &
		jobs[who]=$!
	done
	now
	start=$REPLY
	wait "${jobs[@]}"
	winner=-1
	for who in 0 1; do
		[ "$(status_of "$(cat "$cluster_dir/race-$who")")" != 200 ] || winner=$((winner == -1 ? who : 9))
	done
	now
	((REPLY - start > slowest)) && slowest=$((REPLY - start))
	loser=$(cat "$cluster_dir/race-$((1 - winner))" 2>/dev/null)
	[ "$(status_of "$loser")" = 409 ] &&
		[ "$(field "$(body_of "$loser")" winner)" = "operator-$winner" ] || {
		figure "round $i: $(cat "$cluster_dir"/race-*)"
		break
	}
	revision=$(field "$(body_of "$(cat "$cluster_dir/race-$winner")")" revision)
	cluster_wait 5 config_in_force "$revision" 0 1 2 || break
	[ "$(config_value 2 .queue_max)" = $((100 + i * 2 + winner)) ] || break
done
figure "races: slowest answer $slowest ms"
check "of two changes one is accepted, the other names the winner (R5)" is $i 8
check "an accepted change is answered within 5 s (R9)" below $slowest 5000

answer=$(put 0 '.slots = 0' test)
check "a value out of range is refused with its name and range" \
	matches "$(body_of "$answer")" 'slots.*1 to 1024'
check "a change without a base is refused" is "$(status_of \
	"$(config_put 0 1 "$(config_value 0)" test)")" 409

# Schema versions.
schema() { # text filter status pattern
	answer=$(put 1 "$2" test)
	check "$1" is "$(status_of "$answer")" "$3" || figure "$(body_of "$answer")"
	[ -z "${4:-}" ] || check "$1: the answer says why" matches "$(body_of "$answer")" "$4"
	cluster_wait 5 config_in_force "$(config_revision 1)" 0 1 2
}
state() { # version kind
	local sql="SELECT value FROM records WHERE id = 'x'"
	if [ "$2" = write ]; then
		field "$(write_sql 2 "UPDATE records SET value = '1' WHERE id = 'x'" "schema_version=$1")" outcome
	else
		field "$(read_sql 2 "$sql" "schema_version=$1")" outcome
	fi
}
schema "a version that is not readable yet can't be written (R10)" \
	'.schema_read_max = 2 | .schema_write = 2' 400 schema_write
schema "a further version becomes readable" '.schema_read_max = 2' 200
check "both versions can be read, the older one written (R10)" is \
	"$(state 1 read) $(state 2 read) $(state 1 write) $(state 2 write)" "done done done not-run"
schema "the version that is written can't be dropped (R10)" \
	'.schema_read_min = 2 | .schema_write = 2' 400 schema_
schema "the further version is written" '.schema_write = 2' 200
check "old and new applications work side by side (R10)" is \
	"$(state 1 read) $(state 2 read) $(state 1 write) $(state 2 write)" "done done done done"
schema "a version that callers may still write can't be dropped (R10)" \
	'.schema_read_min = 2' 400 schema_write_min
schema "the older version is no longer written" '.schema_write_min = 2' 200
schema "the older version is dropped" '.schema_read_min = 2' 200
answer=$(read_sql 2 "SELECT value FROM records WHERE id = 'x'" schema_version=1)
check "a dropped version is refused with the range (R10)" \
	matches "$answer" 'not-run.*schema_version.*2 to 2'

# Limits. With one slot, six sleeps of 0.2 s take six times as long as one
# sleep.
elapsed() { # sets took to the time that six concurrent statements take
	local jobs=() start
	now
	start=$REPLY
	for ((i = 0; i < 6; i++)); do
		write_sql $((i % 3)) "SELECT pg_sleep(0.2)" "key=sleep-$RANDOM-$i" schema_version=2 deadline_ms=5000 >/dev/null &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	now
	took=$((REPLY - start))
}
put 0 '.slots = 1' test >/dev/null
elapsed
one=$took
answer=$(put 0 '.slots = 8' test)
check "the number of slots is changed" is "$(status_of "$answer")" 200
elapsed
figure "six sleeps of 200 ms: $one ms with 1 slot, $took ms with 8"
check "one slot runs one statement at a time" at_least "$one" 1200
check "more slots take effect without a restart" below "$((took * 2))" "$one"
put 0 '.default_deadline_ms = 300' test >/dev/null
answer=$(write_sql 1 "SELECT pg_sleep(1.5)" schema_version=2)
check "a shorter default deadline takes effect" is "$(field "$answer" outcome)" unknown
put 0 '.queue_max = 0 | .slots = 1 | .default_deadline_ms = 2000' test >/dev/null
write_sql 1 "SELECT pg_sleep(1)" schema_version=2 >/dev/null &
job=$!
sleep 0.2
answer=$(write_sql 2 "SELECT pg_sleep(0)" schema_version=2 deadline_ms=300)
check "a queue without room refuses at once, as not run (R5)" \
	is "$(field "$answer" outcome)" not-run
wait $job
finish
