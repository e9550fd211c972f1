#!/usr/bin/env bash
# A process gets SIGTERM while it starts, before the handler of the signal is
# installed. Guards against an end by the signal: the process must stop as on any
# SIGTERM, with exit code 0.
set -u
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

write_settings() { # name first_port
	cat >"$folder/$1.ini" <<-EOF
		[instance]
		name = $1
		domain = z0
		[caller]
		listen = 127.0.0.1:$2
		[operator]
		listen = 127.0.0.1:$(($2 + 1))
		[peer]
		listen = 127.0.0.1:$(($2 + 2))
		[platform]
		address = 127.0.0.1:$(($2 + 3))
		[session]
		secret = 0123456789abcdef
		[gateway]
		promotion = 127.0.0.1:$(($2 + 4))
		grace_s = 2
	EOF
}

# Waits until main() has begun, which is when the process ignores SIGPIPE.
await_main() { # pid
	local key value
	while [ -e "/proc/$1/status" ]; do
		while read -r key value; do
			[ "$key" = SigIgn: ] && ((0x$value & 0x1000)) && return
		done <"/proc/$1/status"
	done 2>/dev/null
}

for command in gateway serve; do
	pids=()
	for i in 1 2 3 4 5 6 7 8 9 10; do
		write_settings "$command$i" $((20900 + 8 * i))
		"$BUILD/cli/hornbeamtack" "$command" "$folder/$command$i.ini" \
			>"$folder/$command$i.log" 2>&1 &
		pids+=($!)
		await_main $!
		kill -TERM $!
	done
	for pid in "${pids[@]}"; do
		wait "$pid"
		code=$?
		if [ "$code" -ne 0 ]; then
			echo "not ok - $command ended with $code"
			failures=$((failures + 1))
		fi
	done
	echo "# $command: ${#pids[@]} processes stopped while they start"
done
[ "$failures" -eq 0 ] && echo "ok - all ended with 0"
exit $((failures > 0))
