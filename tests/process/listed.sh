#!/usr/bin/env bash
# Case 10, the instance list: only the list shows that a replica is leaving.
# Guards R7. The failure is a replica that still gets new work after 3 s because
# the list is read too rarely.
CLUSTER_PORT=${CLUSTER_PORT:-24800} CLUSTER_PROXIES=${CLUSTER_PROXIES:-3}
. "$(dirname "$0")/lib.sh"
test_start

# Prints the number of callers' statements that the target has executed, without
# the statements of control connections.
work_of() { # target
	target_state 0 "$1" | jq '.executed | .insert + .update + .add + .select_one + .select_all + .begin + .claim'
}
works() { # target
	local before
	before=$(work_of "$1")
	sleep 0.3
	[ "$(work_of "$1")" -gt "$before" ]
}

writers_start 0 1 2
readers_start writer-1 1000 0 1 2
check "a replica works before it leaves" works 1

instance() { # name state
	curl -s -X PUT "http://127.0.0.1:$(cluster_platform_control)/instances" \
		-d "[{\"name\":\"$1\",\"address\":\"127.0.0.1\",\"domain\":\"domain-1\",\"state\":\"$2\"}]" >/dev/null
}
# The list is read at intervals. The time until the target gets no new work is
# measured three times, at different phases of the interval, so that the result
# does not depend on one phase.
last_work() { # target; sets REPLY to the time of the last new work, within 5 s
	local start work before last
	now
	start=$REPLY last=$REPLY before=$(work_of "$1")
	while now && ((REPLY - start < 5000 && REPLY - last < 1000)); do
		work=$(work_of "$1")
		now
		[ "$work" = "$before" ] || last=$REPLY
		before=$work
		sleep 0.05
	done
	REPLY=$((last - start))
}
slowest=0
for pause in 0 0.7 0.7; do
	sleep $pause
	instance ledger-0-1 leaving
	last_work 1
	figure "a replica leaves by the instance list: last new work after $REPLY ms"
	((REPLY > slowest)) && slowest=$REPLY
	instance ledger-0-1 live
	cluster_wait 7 works 1
done
check "a replica leaves by the instance list: no new work after 3 s (R7)" \
	below $slowest 3000

check "a replica works again once it no longer leaves" works 1
writers_stop
history_check "a listed target leaves" 0 0
finish
