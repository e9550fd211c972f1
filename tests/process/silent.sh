#!/usr/bin/env bash
# Case 4: established connections to the primary fall silent permanently while
# new ones work. Guards R5, R6 and R12. The failures are a healthy primary that
# is replaced, statements that wait for answers on silent connections, and
# silent connections that stay in the pool.
CLUSTER_PORT=21200 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

promotions() {
	local i sum=0
	for i in 0 1 2; do
		sum=$((sum + $(proxy_status $i | jq '[.services[].promotions // 0] | add')))
	done
	echo "$sum"
}

accepted() {
	field "$(target_state 0 0)" connections_accepted
}

WRITER_DEADLINE_MS=1500
writers_start 0 1 2
sleep 0.5
for i in 1 2; do
	before=$(accepted)
	target_fault 0 0 silent=on
	sleep 2
	figure "silence $i: $(($(accepted) - before)) new connections"
	check "silence $i: the silent connections are replaced" \
		at_least "$(($(accepted) - before))" 1
done
writers_stop
figure "gap $(history_gap) ms, slowest booking $(history_slowest) ms"
check "a healthy primary is not replaced" is "$(promotions)" 0
check "the primary stays" is "$(primary_of 0)" 0
check "the term stays" is "$(field "$(target_state 0 0)" term)" 1
check "writes go on, gap below 2 s (R12)" below "$(history_gap)" 2000
history_check "two silences" 0 1

# All client connections of a replica fall silent, the control connections
# included.
target_fault 0 1 silent=on
token=$(field "$(book 0 silent-1 one key=silent-1)" token)
for i in 0 1 2; do
	check "a replica's silence: a read through proxy-$i is done (R1)" \
		is "$(field "$(look $i silent-1 "token=$token")" 'rows[0][0]')" one
done
check "connections stay within the limit of the target" \
	below "$(field "$(target_state 0 0)" connections_max_seen)" \
	$((CLUSTER_CONNECTIONS + 1))
finish
