#!/usr/bin/env bash
# Case 7: transactions whose requests go through different proxies. Guards R3,
# R5 and R6. The failures are statements of two transactions that mix on one
# connection, changes that are visible without a commit, and a commit that runs
# twice.
CLUSTER_PORT=22400 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

record() { # id; prints the value that the primary has committed
	field "$(target_state 0 "$(primary_of 0)")" "records[\"$1\"]"
}
outcome() { # answer
	field "$1" outcome
}
value() { # answer
	field "$1" 'rows[0][0]'
}

one=$(field "$(begin 0 key=commit-1)" transaction)
check "a transaction begins" matches "$one" .
book 1 tx-a one "transaction=$one" >/dev/null
check "a statement through another proxy sees it (R3)" \
	is "$(value "$(look 2 tx-a "transaction=$one")")" one
check "it is not visible outside before the commit" \
	is "$(value "$(look 1 tx-a)")" ""
answer=$(end 2 commit "$one")
check "the commit through a third proxy is done" is "$(outcome "$answer")" done
check "the commit's token lets every proxy see it (R1)" is \
	"$(value "$(look 1 tx-a "token=$(field "$answer" token)")")" one
check "the key of the transaction is recorded" is "$(settle 0 commit-1)" done
answer=$(end 1 commit "$one")
check "a second commit of it is not done again (R6)" \
	matches "$(outcome "$answer")" '^(unknown|not-run)$'

# Concurrent transactions with interleaved statements.
count=6
for ((i = 0; i < count; i++)); do
	ids[i]=$(field "$(begin $((i % 3)) deadline_ms=3000)" transaction)
done
check "$count transactions are open" is \
	"$(printf '%s\n' "${ids[@]}" | sort -u | grep -c .)" $count
for step in 1 2 3; do
	jobs=()
	for ((i = 0; i < count; i++)); do
		book $(((i + step) % 3)) "mix-$i-$step" "$i" "transaction=${ids[i]}" >/dev/null &
		jobs+=($!)
	done
	wait "${jobs[@]}"
done
mixed=0
for ((i = 0; i < count; i++)); do
	other=$(((i + 1) % count))
	[ "$(value "$(look 0 "mix-$i-2" "transaction=${ids[i]}")")" = "$i" ] || mixed=$((mixed + 1))
	[ -z "$(value "$(look 1 "mix-$other-2" "transaction=${ids[i]}")")" ] || mixed=$((mixed + 1))
done
check "each sees its own statements and no others (R3)" is $mixed 0
for ((i = 0; i < count; i++)); do
	if ((i % 2)); then
		end $((i % 3)) rollback "${ids[i]}" >/dev/null
	else
		end $((i % 3)) commit "${ids[i]}" >/dev/null
	fi
done
wrong=0
for ((i = 0; i < count; i++)); do
	for step in 1 2 3; do
		expected=$i
		((i % 2)) && expected=
		[ "$(record "mix-$i-$step")" = "$expected" ] || wrong=$((wrong + 1))
	done
done
check "the committed ones are whole, the others left nothing (R3)" is $wrong 0

# A caller sends nothing more in the middle of its transaction.
revision=$(config_revision 0)
answer=$(config_put 0 "$revision" "$(config_value 0 '.transaction_idle_ms = 700')" test)
check "the idle time is changed" is "$(status_of "$answer")" 200
idle=$(field "$(begin 1 key=idle-1)" transaction)
book 1 tx-idle x "transaction=$idle" >/dev/null
sleep 1.2
check "an idle transaction is refused" is \
	"$(outcome "$(book 1 tx-idle-2 x "transaction=$idle")")" not-run
check "its commit is not done" matches \
	"$(outcome "$(end 1 commit "$idle")")" '^(unknown|not-run)$'
check "its key is settled as not run (R5)" is "$(settle 2 idle-1)" not-run
check "nothing of it is visible" is "$(record tx-idle)" ""
check "its connection is free again" is \
	"$(proxy_status 0 | jq .transactions) $(proxy_status 1 | jq .transactions)" "0 0"

# The following checks must not depend on the time between their statements.
answer=$(config_put 0 "$(config_revision 0)" "$(config_value 0 '.transaction_idle_ms = 30000')" test)
check "the idle time is changed back" is "$(status_of "$answer")" 200
cluster_wait 5 config_in_force "$(field "$(body_of "$answer")" revision)" 0 1 2
check "the idle time is in force" is \
	"$(config_get 2 | jq '.services[0].value.transaction_idle_ms')" 30000

# The answer to a commit is lost.
lost=$(field "$(begin 0 key=commit-2)" transaction)
book 2 tx-lost x "transaction=$lost" >/dev/null
target_fault 0 "$(primary_of 0)" drop_answers=1
answer=$(end 1 commit "$lost" deadline_ms=800)
check "a commit whose answer is lost is not called not-run (R5)" \
	matches "$(outcome "$answer")" '^(done|unknown)$'
check "a commit whose answer is lost is found by its key (R6)" is \
	"$(settle 2 commit-2) $(record tx-lost)" "done x"

# The proxy that holds the transaction is killed.
killed=$(field "$(begin 0 key=killed-1 deadline_ms=3000)" transaction)
holder=${killed%%~*}
book 1 tx-killed x "transaction=$killed" >/dev/null
cluster_kill "$holder"
other=$(((${holder#proxy-} + 1) % 3))
answer=$(end $other commit "$killed" deadline_ms=1000)
figure "commit after the loss of the holder: $answer"
check "holder killed: the commit is not done" \
	matches "$(outcome "$answer")" '^(unknown|not-run)$'
check "holder killed: the key is settled as not run (R5)" \
	is "$(settle $other killed-1)" not-run
check "holder killed: nothing of it is visible" is "$(record tx-killed)" ""
check "holder killed: another transaction can be done" is \
	"$(outcome "$(end $other commit "$(field "$(begin $other deadline_ms=3000)" transaction)")")" done
finish
