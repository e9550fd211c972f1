#!/usr/bin/env bash
# Case 3: the primary, its owner and a replica are paused and resumed. Guards
# R2, R5, R6, R11 and R12. The failure is a process that, once resumed, acts on
# knowledge from before the pause that is out of date.
CLUSTER_PORT=20800 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

report() { # text
	figure "$1: gap $(history_gap) ms, slowest booking $(history_slowest) ms"
	check "$1: gap below 2 s (R12)" below "$(history_gap)" 2000
}

old=$(primary_of 0)
writers_start 0 1 2
readers_start writer-1 1000 0 2
sleep 0.5
cluster_kill "ledger-0-$old" STOP
sleep 2
cluster_kill "ledger-0-$old" CONT
sleep 1
writers_stop
new=$(primary_of 0)
check "primary paused: another target is primary" matches "$new" "^[^$old-]$"
report "primary paused"
check "primary paused: it follows with the whole log once resumed" \
	cluster_wait 5 caught_up 0 "$old" "$new"

# The owner has the pooled connections, so writes go on once another proxy owns
# the target. Callers of the paused proxy itself can't be served, so the writers
# use the other proxies.
owner=$(owner_of 0 "ledger-0-$new")
others=()
for i in 0 1 2; do
	[ "$i" = "$owner" ] || others+=("$i")
done
writers_start "${others[@]}"
sleep 0.5
cluster_kill "proxy-$owner" STOP
sleep 3
cluster_kill "proxy-$owner" CONT
sleep 1
writers_stop
figure "owner paused: longest time without a write $(history_gap) ms"
check "owner paused: writes went on within 5 s" below "$(history_gap)" 5000
check "owner paused: the target has an owner that other proxies name" \
	cluster_wait 5 is "$(owner_of "${others[0]}" "ledger-0-$new")" \
	"$(owner_of "${others[1]}" "ledger-0-$new")"

primary=$(primary_of 0)
replica=$(((primary + 1) % 3))
writers_start 0 1 2
sleep 0.5
cluster_kill "ledger-0-$replica" STOP
sleep 1.5
cluster_kill "ledger-0-$replica" CONT
sleep 0.5
writers_stop
report "replica paused"
check "replica paused: the primary stays" is "$(primary_of 0)" "$primary"
check "replica paused: it has the whole log once resumed" \
	cluster_wait 5 caught_up 0 "$replica" "$primary"
history_check "three pauses" 0 "${others[0]}"
check "reads are not older than they state (R11)" is "$(reads_too_old 1000)" ""
finish
