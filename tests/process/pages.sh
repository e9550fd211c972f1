#!/usr/bin/env bash
# Runs the commands that the pages show, each page against a deployment of its
# own. Guards against examples that fail when they are pasted into a shell. The
# pages use the default ports, which are replaced by ports from CLUSTER_PORT on.
: "${CLUSTER_PORT:=29000}"
cd "$(dirname "$0")/../.." || exit 1
. demo/cluster.sh
failed=0

# Prints the shell commands of a page, except the scripts that start a
# deployment or the tests, as this test starts its own deployment.
commands() { # page
	sed -n '/^```sh$/,/^```$/{/^```/!p}' "$1" |
		grep -vE '^bash (demo/(run|serve)|\.ci/run)$' |
		sed -E "s/\b17([0-9]{3})\b/$((CLUSTER_PORT / 1000))\1/g; s:build/cli/:$BUILD/cli/:g"
}

run_page() { # page
	local output code
	cluster_start || {
		echo "not ok - the deployment starts"
		exit 1
	}
	output=$(bash -euo pipefail -c "$(commands "$1")" 2>&1)
	code=$?
	echo "$output"
	cluster_stop
	if [ $code -ne 0 ]; then
		echo "not ok - $1: exit code $code"
		failed=1
	elif grep -E '"reason": ?"(bad-|unknown-service|statement)|"outcome":"unknown"|"error": "invalid"' <<<"$output"; then
		echo "not ok - $1: a request of the page is refused"
		failed=1
	else
		echo "ok - $1"
	fi
}

expect() { # text of the output, times
	local count
	count=$(grep -cE "$1" <<<"$2")
	[ "$count" -eq "$3" ] && return
	echo "not ok - \"$1\" occurs $count times, $3 expected"
	failed=1
}

readme=$(run_page README.md) || failed=1
echo "$readme"
expect '"rows":\[\["2026"\]\]' "$readme" 1
callers=$(run_page docs/callers.md) || failed=1
echo "$callers"
expect '"reason":"cancelled"' "$callers" 2
expect '"rows":\[\["5"\]\]' "$callers" 2
operators=$(run_page docs/operators.md) || failed=1
echo "$operators"
expect '"accepted": true' "$operators" 6
expect '^exit 5$' "$operators" 1
grep -q '^not ok' <<<"$readme$callers$operators" && failed=1
exit "$failed"
