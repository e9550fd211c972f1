#!/usr/bin/env bash
# Case 5: a commit takes effect but its answer is lost, or answers are late.
# Guards R4, R5 and R6. The failures are a write that runs twice, a write that
# is answered not-run although it ran, and a caller that gets the answer to
# another request.
CLUSTER_PORT=21600 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

count_of() { # id
	field "$(target_state 0 "$(primary_of 0)")" "records[\"$1\"]"
}
add() { # proxy id [name=value...]
	local proxy=$1 id=$2
	shift 2
	write_sql "$proxy" "UPDATE records SET value = value + 1 WHERE id = '$id'" "$@"
}
expect_once() { # text id
	cluster_wait 2 is "$(count_of "$2")" 1
	check "$1: run once (R6)" is "$(count_of "$2")" 1
}

target_fault 0 0 drop_answers=1
answer=$(add 0 keyed key=lost-1 deadline_ms=800)
figure "lost answer with a key: $answer"
check "lost answer with a key: not called not-run (R5)" \
	matches "$(field "$answer" outcome)" '^(done|unknown)$'
answer=$(add 1 keyed key=lost-1 deadline_ms=2000)
check "lost answer with a key: a retry through another proxy finds it" \
	is "$(field "$answer" outcome)" done
check "lost answer with a key: /v1/outcome through a third proxy finds it" \
	is "$(settle 2 lost-1)" done
expect_once "lost answer with a key" keyed

# With a long deadline the proxy itself retries.
target_fault 0 0 drop_answers=1
answer=$(add 0 patient key=lost-2 deadline_ms=5000)
figure "lost answer, long deadline: $answer"
check "lost answer, long deadline: not called not-run (R5)" \
	matches "$(field "$answer" outcome)" '^(done|unknown)$'
check "lost answer, long deadline: settled as done" is "$(settle 1 lost-2)" done
expect_once "lost answer, long deadline" patient

target_fault 0 0 drop_answers=1
answer=$(add 0 keyless deadline_ms=800)
check "lost answer without a key: unknown (R5)" \
	is "$(field "$answer" outcome)" unknown
expect_once "lost answer without a key" keyless

# The answers to both attempts of a booking are lost.
target_fault 0 0 drop_answers=2
add 0 twice key=lost-3 deadline_ms=700 >/dev/null
add 1 twice key=lost-3 deadline_ms=700 >/dev/null
check "two lost answers: /v1/outcome finds the booking" is "$(settle 2 lost-3)" done
expect_once "two lost answers" twice

# Asking for the outcome of a key that never ran cancels the key permanently.
check "a key that was not recorded is cancelled" is "$(settle 1 never-ran)" not-run
answer=$(add 0 never key=never-ran)
check "a cancelled key can't run later (R5)" is \
	"$(field "$answer" outcome) $(count_of never)" "not-run "

# The targets answer late, some answers after the deadline, while reads of
# different records run concurrently.
token=
for i in 1 2 3 4 5 6; do
	token=$(field "$(book $((i % 3)) "own-$i" "value-$i" "key=own-$i" "token=$token")" token)
done
mixed() { # reader
	local n answer
	for ((n = 0; n < 12; n++)); do
		answer=$(look $((($1 + n) % 3)) "own-$1" "token=$token" \
			"deadline_ms=$((n % 2 ? 300 : 2000))")
		echo "$1 $(field "$answer" outcome) $(field "$answer" 'rows[0][0]')"
	done
}
for delay in 100 400; do
	for i in 0 1 2; do
		target_fault 0 $i delay_answer_ms=$delay
	done
	readers=()
	for i in 1 2 3 4 5 6; do
		mixed $i >"$cluster_dir/mixed-$i" &
		readers+=($!)
	done
	sleep 1.5
	for i in 0 1 2; do
		target_fault 0 $i delay_answer_ms=0
	done
	wait "${readers[@]}"
	cat "$cluster_dir"/mixed-* >"$cluster_dir/mixed"
	figure "answers $delay ms late: $(awk '$2 == "done"' "$cluster_dir/mixed" | wc -l) of $(wc -l <"$cluster_dir/mixed") reads done"
	check "answers $delay ms late: each read gets its own value (R4)" is \
		"$(awk '$2 == "done" && $3 != "value-" $1' "$cluster_dir/mixed")" ""
	check "answers $delay ms late: reads are done" at_least \
		"$(awk '$2 == "done"' "$cluster_dir/mixed" | wc -l)" 1
done
sleep 1
check "late answers: no promotion is left running" is \
	"$(proxy_status 0 | jq -r '.services[0].phase')" steady
finish
