#!/usr/bin/env bash
# Case 10: a proxy gets SIGTERM under load, and targets are leaving according to
# their status or the configuration. Guards R7, R8 and R12. The failures are a
# request without a whole answer, a leaving target that still gets new work
# after 3 s, and a leaving primary without a promotion in time.
CLUSTER_PORT=23600 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

# Prints the number of callers' statements that the target has executed, without
# the statements of control connections.
work_of() { # target
	target_state 0 "$1" | jq '.executed | .insert + .update + .add + .select_one + .select_all + .begin + .claim'
}
no_new_work() { # text target
	local before after
	sleep 3
	before=$(work_of "$2")
	sleep 1
	after=$(work_of "$2")
	check "$1: no new work after 3 s (R7)" is "$((after - before))" 0
}
works() { # target
	local before
	before=$(work_of "$1")
	sleep 0.3
	[ "$(work_of "$1")" -gt "$before" ]
}

# Requests that take 0.5 s are in flight through the proxy when it gets SIGTERM.
# Each of them must get its whole answer.
for i in 1 2 3 4 5 6 7 8; do
	write_sql 1 "SELECT pg_sleep(0.5)" "key=leave-$i" deadline_ms=8000 >"$cluster_dir/leave-$i" &
	jobs[i]=$!
done
open=$(field "$(begin 1 deadline_ms=3000)" transaction)
sleep 0.2
cluster_kill proxy-1 TERM
failed=0
for i in 1 2 3 4 5 6 7 8; do
	wait "${jobs[i]}" || failed=$((failed + 1))
	[ "$(field "$(cat "$cluster_dir/leave-$i")" outcome)" = done ] || failed=$((failed + 1))
done
check "SIGTERM: every request in flight gets its whole answer (R8)" is $failed 0
check "SIGTERM: an open transaction can still be committed (R8)" is \
	"$(field "$(end 2 commit "$open")" outcome)" done
now
start=$REPLY
wait "${cluster_pids[proxy-1]}"
code=$?
now
figure "SIGTERM: ended $((REPLY - start)) ms after the last answer"
check "SIGTERM: exit code 0 (R8)" is $code 0
unset 'cluster_pids[proxy-1]'
cluster_start_proxy 1
cluster_wait 5 cluster_writable 1 0

# The proxy gets SIGTERM under load from its own callers. A caller that could
# connect must get its answer. curl exits with 7 if it can't connect.
caller_run() { # number
	local code=0 answer n=0
	while [ $code = 0 ]; do
		n=$((n + 1))
		answer=$(write_sql 1 "UPDATE records SET value = value + 1 WHERE id = 'caller-$1'" "key=caller-$1-$n" deadline_ms=5000)
		code=$?
		echo "$code ${answer:--}" >>"$cluster_dir/callers"
	done
}
writers_start 0 2
callers=()
for i in 1 2 3 4 5 6; do
	caller_run $i &
	callers+=($!)
done
sleep 0.3
cluster_kill proxy-1 TERM
wait "${cluster_pids[proxy-1]}"
check "SIGTERM under load: exit code 0 (R8)" is $? 0
unset 'cluster_pids[proxy-1]'
wait "${callers[@]}"
figure "SIGTERM under load: $(grep -c '^0 ' "$cluster_dir/callers") requests answered through the leaving proxy"
check "SIGTERM under load: every caller that connected got an answer (R8)" is \
	"$(grep -v '^[07] ' "$cluster_dir/callers" | head -3)" ""
check "SIGTERM under load: all these answers are whole and done (R8)" is \
	"$(grep '^0 ' "$cluster_dir/callers" | grep -v '"outcome":"done".*}$' | head -3)" ""
writers_stop
check "SIGTERM under load: all bookings through the others are done (R8)" is \
	"$(awk '$2 != "done"' "$cluster_dir/history")" ""
cluster_start_proxy 1
cluster_wait 5 cluster_writable 1 0

writers_start 0 1 2
readers_start writer-1 1000 0 1 2
check "a replica works before it leaves" works 1
target_fault 0 1 leaving=on
no_new_work "a replica leaves by its status" 1
target_fault 0 1 leaving=off
check "a replica works again once it no longer leaves" cluster_wait 3 works 1

put_leaving() { # target name, true or false
	config_put 0 "$(config_revision 0)" "$(config_value 0 "(.targets[] | select(.name == \"$1\") | .leaving) = $2")" test >/dev/null
}
put_leaving ledger-0-2 true
no_new_work "a replica leaves by the configuration" 2
put_leaving ledger-0-2 false

old=$(primary_of 0)
target_fault 0 "$old" leaving=on
no_new_work "the primary leaves" "$old"
check "the primary leaves: another target is primary" \
	matches "$(primary_of 0)" "^[^$old-]$"
writers_stop
figure "the primary leaves: gap $(history_gap) ms"
check "the primary leaves: gap below 2 s (R12)" below "$(history_gap)" 2000
history_check "targets leave" 0 0
finish
