#!/usr/bin/env bash
# Case 8: the platform is down, is slow, loses answers, goes down right after it
# accepted a change, and loses its data. Guards R5, R9 and R16. The failures are
# statements that stop while the platform is down, a change that was answered
# not-run and is in force later, and a configuration that reverts.
CLUSTER_PORT=22800 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

slots() { # proxy
	config_value "$1" .slots
}
history_has() { # operator; number of changes by it
	curl -s -m 3 "http://127.0.0.1:$(cluster_operator_port 0)/v1/config/history?service=ledger-0" |
		jq --arg o "$1" '[.changes[] | select(.operator == $o)] | length'
}
change() { # proxy slots operator
	config_put "$1" "$(config_revision "$1")" "$(config_value "$1" ".slots = $2")" "$3"
}

writers_start 0 1 2
platform_fault down=on
sleep 0.3
answer=$(change 0 4 down-1)
figure "change while the platform is down: $answer"
check "platform down: a change is refused or unknown" \
	matches "$(status_of "$answer")" '^50[34]$'
first=$(status_of "$answer")
sleep 1
platform_fault down=off
cluster_wait 5 curl -sf "http://127.0.0.1:$(cluster_operator_port 0)/v1/config/history?service=ledger-0"
changes=$(history_has down-1)
if [ "$first" = 503 ]; then
	check "platform down: a change called not-run is not made later (R5)" is "$changes" 0
else
	check "platform down: a change called unknown is made at most once" below "$changes" 2
fi

platform_fault slow_ms=2500
answer=$(change 1 5 slow-1)
figure "change while the platform is slow: $answer"
check "platform slow: a change is refused or unknown" \
	matches "$(status_of "$answer")" '^50[34]$'
status=$(status_of "$answer")
platform_fault slow_ms=0
sleep 3
changes=$(history_has slow-1)
figure "platform slow: the change is $changes times in the history"
if [ "$status" = 503 ]; then
	check "platform slow: a change called not-run is not made later (R5)" is "$changes" 0
else
	check "platform slow: a change called unknown is made at most once" below "$changes" 2
fi
[ "$changes" = 0 ] || check "platform slow: a change that was made is in force (R9)" \
	is "$(slots 0)$(slots 1)$(slots 2)" 555

platform_fault drop_answers=1
answer=$(change 2 6 lost-1)
figure "change whose answer is lost: $answer"
check "answer lost: the change is found by its writer (R5)" is "$(status_of "$answer")" 200
check "answer lost: it was made once" is "$(history_has lost-1)" 1
check "answer lost: it is in force on all proxies (R9)" \
	cluster_wait 5 config_in_force "$(field "$(body_of "$answer")" revision)" 0 1 2

# One proxy is paused while the change is accepted. It resumes after the
# platform went down, so that it must learn the change from the other proxies.
cluster_kill proxy-2 STOP
change 0 7 last-1 >"$cluster_dir/last" &
job=$!
for ((i = 0; i < 200; i++)); do
	[ "$(slots 0)" = 7 ] && break
	sleep 0.01
done
platform_fault down=on
accepted=$(config_revision 0)
check "platform down after the acceptance: the change is in force where it was made" \
	is "$(slots 0)" 7
cluster_kill proxy-2 CONT
now
start=$REPLY
check "platform down after the acceptance: in force on all within 5 s (R9)" \
	cluster_wait 5 config_in_force "$accepted" 0 1 2
now
figure "in force on the resumed proxy after $((REPLY - start)) ms"
wait $job

# A proxy restarts while the platform is down, without any configuration of its
# own.
cluster_kill proxy-1
cluster_start_proxy 1
now
start=$REPLY
lower=0
for ((i = 0; i < 200; i++)); do
	revision=$(config_revision 1)
	now
	[ "${revision:-0}" -gt 0 ] && [ "$revision" -lt "$accepted" ] && lower=$((lower + 1))
	[ "${revision:-0}" -ge "$accepted" ] && break
	sleep 0.02
done
figure "a restarted proxy has the configuration after $((REPLY - start)) ms"
check "a restarted proxy learns the configuration from its peers within 5 s (R9)" \
	is "${revision:-0}" "$accepted"
check "a restarted proxy is never below it (R9)" is $lower 0
check "a restarted proxy is ready" \
	cluster_wait 5 curl -sf "http://127.0.0.1:$(cluster_caller_port 1)/v1/ready"
check "a restarted proxy serves while the platform is down (R16)" \
	cluster_wait 5 cluster_writable 1 0
writers_stop
check "writes went on (R16)" at_least "$(grep -c ' done ' "$cluster_dir/history")" 100
history_check "platform faults" 0 0

# The platform has lost its data and offers a lower revision.
platform_fault down=off
cluster_kill platform
cluster_spawn platform "$BUILD/standin/standin-platform" \
	--listen "127.0.0.1:$(cluster_platform_port)" \
	--control "127.0.0.1:$(cluster_platform_control)"
sleep 2
for i in 0 1 2; do
	check "proxy-$i does not go back to a lower revision (R9)" \
		at_least "$(config_revision $i)" "$accepted"
done
finish
