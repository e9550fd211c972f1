#!/usr/bin/env bash
# Guards against pages that fall behind the code: each settings key,
# configuration field, field of a request, reason of a refusal, metric, log event
# and kind of peer message must occur on its page. The names are taken from the
# sources; fewer names than expected mean that they are no longer found there.
set -u
cd "$(dirname "$0")/.."
failed=0

expect() { # what, least count, page, pattern with @ for the name; names on stdin
	local what=$1 least=$2 page=$3 pattern=$4 count=0 name
	while read -r name; do
		count=$((count + 1))
		grep -qF -- "${pattern//@/$name}" "$page" || {
			echo "not ok - $what \"$name\" is not in $page"
			failed=1
		}
	done
	if ((count < least)); then
		echo "not ok - $what: $count names found, at least $least expected"
		failed=1
	fi
	echo "# $what: $count names"
}

# Prints the texts in double quotes, one a line.
texts() { grep -oE '"[^"]*"' | tr -d '"'; }

# Prints sources with each statement on one line.
joined() { cat "$@" | tr '\n\t' '  ' | sed 's/;/;\n/g'; }

settings_keys() {
	joined libsettings/keys.c | sed -n '/settings_keys\[/,$p' |
		grep -oE '(NAME|TEXT|ENDPOINT|NUMBER|MS)\("[a-z]+", "[a-z_]+"|\{ "[a-z]+", "[a-z_]+", SETTINGS' |
		sed -E 's/.*"([a-z_]+)"[^"]*$/\1/' | sort -u
}

config_fields() {
	sed -n '/service_keys\[\]/,/};/p; /target_keys\[\]/,/};/p' libconfig/service.c |
		texts | sort -u
}

# Texts that are passed as a reason, and the texts of the decision libraries.
reasons() {
	sed -n '/refusal_text(/,/^}/p' libroute/text.c libadmission/text.c |
		grep return | texts
	joined libproxy/*.c libcaller/caller.c |
		grep -oE '((proxy_execute_refuse|proxy_execute_finish_unknown|set_reason|refuse_forwarded)\([a-z]+, *"[a-z-]+"|(proxy_request_fail|answer_failure)\([^"]*"[a-z-]+"|"reason", "[a-z-]+"|\.reason = "[a-z-]+"|\.reason = again \? "[a-z-]+" : "[a-z-]+"|request->reason : "[a-z-]+")' |
		texts | grep -v '^reason$'
}

events() {
	joined $(printf '%s\n' cli/*.c lib*/*.c | grep -v -e gateway) |
		grep -oE 'LOG_EVENT\([^,]*, *LOG_LEVEL_[A-Z]+, *([a-z]+ \? )?"[a-z_-]+"( : "[a-z_-]+")?' |
		texts
	joined libtarget/*.c libpeer/*.c |
		grep -oE '\b(peer_log|log_event)\([a-z>-]+, *"[a-z_-]+"' | texts
}

# The gateway has a page of its own.
gateway_events() {
	joined libgateway/*.c cli/gateway.c |
		grep -oE '(LOG_EVENT|log_entry|log_step)\([^;]*' |
		grep -oE '(LOG_LEVEL_[A-Z]+, *|\? *|: *|target, *|->action, *|shown, *)"[a-z]+-[a-z-]+"|, "(draining|stopped|signal|started|reload|listening|deregistered)"' |
		texts
	sed -n '/LOG_LEVEL_WARNING, "log-/p' liblog/log.c | texts
}

gateway_metrics() {
	grep -ohE '"hornbeamtack_[a-z_]+"' libgateway/gateway.c | tr -d '"'
}

metrics() { grep -ohE '"hornbeamtack_[a-z_]+"' libproxy/counters.c | tr -d '"'; }

request_fields() {
	sed -n '/static const field_t fields/,/^};/p' libcaller/caller.c | texts
}

paths() { grep -ohE '"/v1/[a-z]+"' libcaller/caller.c | tr -d '"'; }

refused_words() { sed -n '/refused\[\]/,/};/p' libtarget/statement.c | texts; }

peer_messages() {
	grep -oE 'PEER_MESSAGE_[A-Z_]+ = [0-9]+' libpeer/peer.h |
		sed 's/PEER_MESSAGE_\([A-Z_]*\) = \([0-9]*\)/| \2 | \L\1 |/; s/_/ /g'
}

# Prints "file name" of each case and process test that a page names.
named_tests() { # page
	tr '\n' ' ' <"$1" | grep -oE 'test_[a-z_]+`?,? (cases? )?"[^"]+"((,| and) "[^"]+")*' |
		while read -r line; do
			texts <<<"$line" | sed "s:^:tests/${line%%[^a-z_]*}.c :"
		done
	grep -oE 'process_[a-z]+' "$1" | sed 's:process_\(.*\):tests/process/\1.sh :' |
		grep -v '/x.sh'
}

operators=docs/operators.md
expect "settings key" 32 $operators '| `@` |' < <(settings_keys)
expect "configuration field" 16 $operators '| `@` |' < <(config_fields)
expect "reason" 33 $operators '| `@` |' < <(reasons | sort -u)
expect "metric" 20 $operators '| `@` |' < <(metrics | sort -u)
expect "log event" 27 $operators '| `@` |' < <(events | sort -u)
expect "log event of the gateway" 30 docs/OPERATIONS.md '| `@` |' \
	< <(gateway_events | sort -u)
expect "metric of the gateway" 11 docs/OPERATIONS.md '| `@` |' \
	< <(gateway_metrics | sort -u)
expect "field of a request" 9 docs/callers.md '| `@` |' < <(request_fields)
expect "path" 6 docs/callers.md "@\`" < <(paths | sort -u)
expect "refused word" 16 docs/callers.md '@' < <(refused_words)
expect "peer message" 9 docs/protocol.md '@' < <(peer_messages)
# A reason that the code no longer gives.
while read -r name; do
	reasons | grep -qx -- "$name" || {
		echo "not ok - reason \"$name\" of $operators is not in the code"
		failed=1
	}
done < <(sed -n '/^## Reasons/,/^## Targets/s/^| `\([^`]*\)` |.*/\1/p' $operators)

# A scraper takes the increase of a counter over a restart, but not of a gauge.
gauges=$(joined libproxy/counters.c |
	grep -oE 'COUNTER_KIND_[A-Z]+, *"hornbeamtack_[a-z_]+"' |
	awk '(/_total"/) != (/KIND_COUNTER/)')
if [ -n "$gauges" ]; then
	echo "not ok - only counters, and all of them, end in _total: $gauges"
	failed=1
fi

count=0
for page in docs/design.md docs/decisions/*.md; do
	while read -r file name; do
		count=$((count + 1))
		if [ ! -f "$file" ] || ! grep -qF -- "${name:+\"$name\"}" "$file"; then
			echo "not ok - $page names \"$name\" of $file"
			failed=1
		fi
	done < <(named_tests "$page" | sed '/test_x.c/d' | sort -u)
done
echo "# named tests: $count"
[ "$count" -ge 60 ] || failed=1
[ "$failed" -eq 0 ] && echo "ok - the pages have all names"
exit "$failed"
