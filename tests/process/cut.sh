#!/usr/bin/env bash
# Case 2: the network of the primary is cut, in both directions and then in one
# only, and restored later. Meanwhile the target still acts as the primary.
# Guards R1, R2, R11 and R12. The failures are a replaced primary that
# acknowledges a write, and a read that is older than its answer states.
CLUSTER_PORT=20400 CLUSTER_PROXIES=3
. "$(dirname "$0")/lib.sh"
test_start

WRITER_DEADLINE_MS=4000
cut_off() { # fault
	local old new
	old=$(primary_of 0)
	writers_start 0 1 2
	readers_start writer-1 1000 0 2
	sleep 0.5
	target_fault 0 "$old" "$1=on"
	sleep 2
	new=$(primary_of 0)
	check "$1: another target is primary" matches "$new" "^[^$old-]$"
	check "$1: the old primary still believes that it leads" \
		is "$(field "$(target_state 0 "$old")" role)" primary
	target_fault 0 "$old" "$1=off"
	sleep 1
	writers_stop
	figure "$1: gap $(history_gap) ms, slowest booking $(history_slowest) ms"
	check "$1: gap below 2 s (R12)" below "$(history_gap)" 2000
	check "$1: the healed target follows with the whole log" \
		cluster_wait 5 caught_up 0 "$old" "$new"
}

cut_off cut
cut_off cut_in
cut_off cut_out
history_check "three cuts" 0 1
check "reads with an age of 1 s were done" at_least \
	"$(awk '$2 == "done"' "$cluster_dir/readers" | wc -l)" 1
check "reads are not older than they state (R11)" is "$(reads_too_old 1000)" ""
finish
