#!/usr/bin/env bash
# Prints the log lines that explain a failed statement, as docs/OPERATIONS.md
# describes: the line of the statement with this id, then the lines about its
# service, the store and the configuration before and after the failure.
#
#   tests/follow_failure.sh ID FILE...
set -eu
id=$1
shift
line=$(grep -hF "id=$id " "$@" | grep -F 'event=statement-failed' | head -n 1)
[ -n "$line" ] || {
	echo "no failed statement with id $id" >&2
	exit 1
}
service=$(sed -n 's/.* service=\([^ ]*\).*/\1/p' <<<"$line")
until=$(sed 's/^<[0-9]*>\([^ ]*\) .*/\1/' <<<"$line")
echo "$line"
lines=$(grep -hE "service=$service( |\$)|event=store-|event=configuration-" "$@" |
	grep -vE 'event=statement-')
# Prints the lines whose time compares to that of the failure by an operator of
# awk, such as '<='.
at() { # operator
	awk -v until="$until" '{ at = $1; sub(/^<[0-9]*>/, "", at) }
		at '"$1"' until' <<<"$lines"
}
echo "-- before the failure, about service $service and the store:"
at '<=' | tail -n 20
echo "-- after the failure:"
at '>' | head -n 5
