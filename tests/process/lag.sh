#!/usr/bin/env bash
# Case 6: a replica is 5 s behind. Guards R1, R11 and R13. The failures are a
# read that misses the caller's own write, a read that is older than its answer
# states, and reads that replicas no longer serve.
CLUSTER_PORT=22000 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

target_fault 0 1 lag_ms=5000
sleep 0.3
missed=0 refused=0 slowest=0
for ((i = 0; i < 20; i++)); do
	answer=$(book $((i % 3)) "lag-$i" "value-$i" "key=lag-$i" deadline_ms=2000)
	[ "$(field "$answer" outcome)" = done ] || refused=$((refused + 1))
	token=$(field "$answer" token)
	now
	start=$REPLY
	answer=$(look $(((i + 1) % 3)) "lag-$i" "token=$token" deadline_ms=2000)
	now
	((REPLY - start > slowest)) && slowest=$((REPLY - start))
	if [[ $answer != *'"outcome":"done"'* ]]; then
		refused=$((refused + 1))
	elif [[ $answer != *"[[\"value-$i\"]]"* ]]; then
		missed=$((missed + 1))
	fi
	echo "$answer" >>"$cluster_dir/served"
done
figure "reads with a token right after the write: slowest $slowest ms"
check "no read misses the caller's own write (R1)" is $missed 0
check "all are served by another replica or the primary in time" is $refused 0
check "the replica that is behind serves none of them (R1)" is \
	"$(grep -c '"target":"ledger-0-1"' "$cluster_dir/served")" 0

: >"$cluster_dir/served"
old=0
for ((i = 0; i < 60; i++)); do
	((i % 10)) || book 0 "tick-$i" x "key=tick-$i" >/dev/null
	answer=$(look $((i % 3)) lag-0 max_age_ms=1000 deadline_ms=2000)
	echo "$answer" >>"$cluster_dir/served"
	[[ $answer != *'"outcome":"done"'* ]] ||
		{ [[ $answer =~ \"age_ms\":([0-9]+) ]] && ((BASH_REMATCH[1] <= 1000)); } ||
		old=$((old + 1))
done
replica=$(grep -c '"served_by":"replica"' "$cluster_dir/served")
figure "reads with an age of 1 s: $replica of 60 served by replicas, $(grep -c '"target":"ledger-0-1"' "$cluster_dir/served") by the one behind"
check "reads with an age of 1 s are not served by it (R11)" is \
	"$(grep -c '"target":"ledger-0-1"' "$cluster_dir/served")" 0
check "no answer is older than 1 s (R11)" is $old 0
check "95 % of these reads are served by replicas (R13)" at_least \
	$((replica * 100)) $((95 * 60))

target_fault 0 1 lag_ms=5
check "a replica that caught up serves again" cluster_wait 8 bash -c \
	"curl -s http://127.0.0.1:$(cluster_caller_port 1)/v1/statement -d '{\"service\":\"ledger-0\",\"kind\":\"read\",\"statement\":\"SELECT value FROM records WHERE id = 1\",\"max_age_ms\":1000}' | grep -q ledger-0-1"
finish
