#!/usr/bin/env bash
# Case 11: proxies are killed or partitioned from the rest. Guards R12 and R16.
# The failures are targets of an unreachable proxy without a new owner, and
# statements through the other proxies that stop. SIGSTOP simulates the
# partition, as the connections of a stopped process fall silent.
CLUSTER_PORT=24000 CLUSTER_PROXIES=4
. "$(dirname "$0")/lib.sh"
test_start

owned_by() { # asked proxy, name; number of targets
	proxy_status "$1" | jq --arg o "$2" '[.services[].targets[] | select(.owner == $o)] | length'
}
gone() { # asked proxy, name
	[ "$(owned_by "$1" "$2")" = 0 ]
}

for how in KILL STOP; do
	primary=$(primary_of 0)
	lost=$(owner_of 0 "ledger-0-$primary")
	others=()
	for i in 0 1 2 3; do
		[ "$i" = "$lost" ] || others+=("$i")
	done
	writers_start "${others[@]}"
	sleep 0.4
	cluster_kill "proxy-$lost" $how
	now
	start=$REPLY
	check "$how: the targets of the proxy get a new owner" \
		cluster_wait 5 gone "${others[0]}" "proxy-$lost"
	now
	figure "$how: new owner after $((REPLY - start)) ms"
	sleep 1
	check "$how: all others name the same owner" is \
		"$(for i in "${others[@]}"; do owner_of "$i" "ledger-0-$primary"; done | sort -u | wc -l)" 1
	writers_stop
	figure "$how: longest time without a write $(history_gap) ms, slowest booking $(history_slowest) ms"
	check "$how: the target stays primary" is "$(primary_of 0)" "$primary"
	check "$how: writes go on, gap below 5 s (R16)" below "$(history_gap)" 5000
	check "$how: a read through another proxy is done (R16)" is \
		"$(field "$(look "${others[1]}" ready max_age_ms=1000)" outcome)" done
	if [ $how = KILL ]; then
		cluster_start_proxy "$lost"
	else
		cluster_kill "proxy-$lost" CONT
	fi
	check "$how: the proxy serves again" cluster_wait 6 cluster_writable "$lost" 0
done
history_check "lost proxies" 0 0

# Two of the four proxies fail at the same time.
cluster_kill proxy-1
cluster_kill proxy-2 STOP
check "two proxies lost: writes go on (R16)" cluster_wait 6 cluster_writable 0 0
check "two proxies lost: the other one too (R16)" cluster_wait 6 cluster_writable 3 0
cluster_kill proxy-2 CONT
check "one resumed: it serves again" cluster_wait 6 cluster_writable 2 0
finish
