#!/usr/bin/env bash
# Follows a failed statement from its id to the lines that explain it, as
# docs/OPERATIONS.md says: the statement's own line, then what happened to its
# service and to the store around it.
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
# Prints the lines whose time compares with that of the failure as told.
at() { # operator
	awk -v until="$until" '{ at = $1; sub(/^<[0-9]*>/, "", at) }
		at '"$1"' until' <<<"$lines"
}
echo "-- before it, of service $service and of the store:"
at '<=' | tail -n 20
echo "-- after it:"
at '>' | head -n 5
