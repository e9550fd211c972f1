#!/usr/bin/env bash
# Case 1: primaries are killed one after another, and one target twice, under
# continuous writes through all proxies. Guards R1, R2, R5, R6 and R12. The
# failures are a promotion that loses an acknowledged booking, runs a booking
# twice, or takes longer than 2 s.
CLUSTER_PORT=20000 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

lose() { # text target
	local primary
	writers_start 0 1 2
	sleep 0.5
	cluster_kill "ledger-0-$2"
	sleep 2
	primary=$(primary_of 0)
	check "$1: another target is primary" matches "$primary" "^[^$2-]$"
	cluster_start_target 0 "$2"
	writers_stop
	figure "$1: gap $(history_gap) ms, slowest booking $(history_slowest) ms"
	check "$1: gap below 2 s (R12)" below "$(history_gap)" 2000
	check "$1: a restarted target follows with the whole log" \
		cluster_wait 6 caught_up 0 "$2" "$primary"
}

lose "the primary killed" 0
lose "the same target killed again, now a replica" 0
lose "the second primary killed" "$(primary_of 0)"
lose "the third primary killed" "$(primary_of 0)"
history_check "four losses" 0 1
finish
