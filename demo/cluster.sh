# Functions that start a deployment on the loopback interface: the stand-in of
# the platform, stand-ins of targets, and proxies, each in a process of its own.
# A script sources this file and calls cluster_start. At exit, cluster_stop ends
# all processes and removes their files.
#
# Variables that may be set before cluster_start:
#   CLUSTER_DOMAINS     number of failure domains           (3)
#   CLUSTER_PROXIES     number of proxies, spread over them (2)
#   CLUSTER_SERVICES    number of services, of 3 targets    (1)
#   CLUSTER_SLOTS       slots of a target                   (3)
#   CLUSTER_CONNECTIONS connections of a target             (20)
#   CLUSTER_LAG_MS      replication delay                   (5)
#   CLUSTER_SERVICE_MS  time that a statement takes         (1)
#   CLUSTER_PORT        first port                          (17000)
#   CLUSTER_EXTRA       further lines for each settings file

: "${BUILD:=build}"
: "${CLUSTER_DOMAINS:=3}" "${CLUSTER_PROXIES:=2}" "${CLUSTER_SERVICES:=1}"
: "${CLUSTER_SLOTS:=3}" "${CLUSTER_CONNECTIONS:=20}" "${CLUSTER_LAG_MS:=5}"
: "${CLUSTER_SERVICE_MS:=1}" "${CLUSTER_PORT:=17000}" "${CLUSTER_EXTRA:=}"

declare -A cluster_pids=()
cluster_dir=

# Starts a process whose output goes to NAME.out and NAME.log.
cluster_spawn() { # name command...
	local name=$1
	shift
	"$@" >"$cluster_dir/$name.out" 2>"$cluster_dir/$name.log" </dev/null &
	cluster_pids[$name]=$!
}

cluster_platform_port() { echo "$CLUSTER_PORT"; }
cluster_platform_control() { echo "$((CLUSTER_PORT + 1))"; }
# Ports of a proxy, whose index starts at 0.
cluster_caller_port() { echo "$((CLUSTER_PORT + 10 + $1 * 3))"; } # proxy
cluster_operator_port() { echo "$((CLUSTER_PORT + 11 + $1 * 3))"; }
cluster_peer_port() { echo "$((CLUSTER_PORT + 12 + $1 * 3))"; }
cluster_target_port() { echo "$((CLUSTER_PORT + 100 + $1 * 10 + $2))"; } # service target
cluster_target_control() { echo "$((CLUSTER_PORT + 105 + $1 * 10 + $2))"; }
cluster_target_name() { echo "ledger-$1-$2"; }
cluster_service_name() { echo "ledger-$1"; }
cluster_domain() { echo "domain-$(($1 % CLUSTER_DOMAINS))"; }

cluster_group() { # service
	local i list=
	for i in 0 1 2; do
		list="$list,$(cluster_target_name "$1" $i)=127.0.0.1:$(cluster_target_port "$1" $i)"
	done
	echo "${list#,}"
}

cluster_start_target() { # service target [--primary]
	cluster_spawn "$(cluster_target_name "$1" "$2")" \
		"$BUILD/standin/standin-target" \
		--name "$(cluster_target_name "$1" "$2")" \
		--listen "127.0.0.1:$(cluster_target_port "$1" "$2")" \
		--control "127.0.0.1:$(cluster_target_control "$1" "$2")" \
		--group "$(cluster_group "$1")" \
		--connections "$CLUSTER_CONNECTIONS" \
		--lag-ms "$CLUSTER_LAG_MS" --service-ms "$CLUSTER_SERVICE_MS" ${3:-}
}

cluster_service_json() { # service
	local i targets=
	for i in 0 1 2; do
		targets="$targets,{\"name\":\"$(cluster_target_name "$1" $i)\",\"address\":\"127.0.0.1\",\"port\":$(cluster_target_port "$1" $i),\"domain\":\"$(cluster_domain $(($1 + i)))\"}"
	done
	echo "{\"name\":\"$(cluster_service_name "$1")\",\"slots\":$CLUSTER_SLOTS,\"connections\":$CLUSTER_CONNECTIONS,\"targets\":[${targets#,}]}"
}

cluster_settings() { # proxy
	local i seeds=
	# 8 seeds, as a line of a settings file has at most 197 bytes.
	for ((i = 0; i < CLUSTER_PROXIES && i < 8; i++)); do
		seeds="$seeds 127.0.0.1:$(cluster_peer_port $i)"
	done
	cat <<END
[instance]
name = proxy-$1
domain = $(cluster_domain "$1")
[caller]
listen = 127.0.0.1:$(cluster_caller_port "$1")
[operator]
listen = 127.0.0.1:$(cluster_operator_port "$1")
[peer]
listen = 127.0.0.1:$(cluster_peer_port "$1")
seeds =$seeds
[platform]
address = 127.0.0.1:$(cluster_platform_port)
[session]
secret = a-secret-for-the-demonstration
$CLUSTER_EXTRA
END
}

cluster_start_proxy() { # proxy
	cluster_settings "$1" >"$cluster_dir/proxy-$1.ini"
	cluster_spawn "proxy-$1" "$BUILD/cli/hornbeamtack" serve \
		"$cluster_dir/proxy-$1.ini"
}

# Repeats the command until it succeeds. Fails after the given time.
cluster_wait() { # seconds command...
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS > end)); then
			echo "timeout: $*" >&2
			return 1
		fi
		sleep 0.02
	done
}

cluster_call() { # proxy path json
	curl -s -m 10 "http://127.0.0.1:$(cluster_caller_port "$1")$2" -d "$3"
}

# Succeeds if the proxy can write to the service.
cluster_writable() { # proxy service
	cluster_call "$1" /v1/statement "{\"service\":\"$(cluster_service_name "$2")\",\"kind\":\"write\",\"key\":\"ready-$2-$RANDOM\",\"statement\":\"UPDATE records SET value = 'yes' WHERE id = 'ready'\"}" |
		grep -q '"outcome":"done"'
}

# Starts all processes, configures the services, and waits until every proxy can
# write to every service.
cluster_start() {
	local s t p
	cluster_dir=$(mktemp -d)
	trap cluster_stop EXIT
	trap 'exit 1' INT TERM
	cluster_spawn platform "$BUILD/standin/standin-platform" \
		--listen "127.0.0.1:$(cluster_platform_port)" \
		--control "127.0.0.1:$(cluster_platform_control)"
	for ((s = 0; s < CLUSTER_SERVICES; s++)); do
		cluster_start_target "$s" 0 --primary
		for t in 1 2; do
			cluster_start_target "$s" $t
		done
	done
	for ((p = 0; p < CLUSTER_PROXIES; p++)); do
		cluster_start_proxy "$p"
	done
	cluster_wait 10 curl -sf "http://127.0.0.1:$(cluster_operator_port 0)/v1/status" || return 1
	for ((s = 0; s < CLUSTER_SERVICES; s++)); do
		cluster_service_json "$s" >"$cluster_dir/service-$s.json"
		cluster_wait 10 "$BUILD/cli/hornbeamtack" config \
			--address "127.0.0.1:$(cluster_operator_port 0)" \
			--base 0 --operator demo \
			set "$(cluster_service_name "$s")" "$cluster_dir/service-$s.json" || return 1
	done
	for ((p = 0; p < CLUSTER_PROXIES; p++)); do
		cluster_wait 10 curl -sf "http://127.0.0.1:$(cluster_caller_port "$p")/v1/ready" || return 1
		for ((s = 0; s < CLUSTER_SERVICES; s++)); do
			cluster_wait 10 cluster_writable "$p" "$s" || return 1
		done
	done
}

# Sends a signal to a process. Waits for its end if the signal is KILL.
cluster_kill() { # name [signal]
	kill "-${2:-KILL}" "${cluster_pids[$1]}"
	if [ "${2:-KILL}" = KILL ]; then
		wait "${cluster_pids[$1]}" 2>/dev/null || true
		unset "cluster_pids[$1]"
	fi
}

# Kills all processes and removes their files.
cluster_stop() {
	local name
	for name in "${!cluster_pids[@]}"; do
		kill -KILL "${cluster_pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	cluster_pids=()
	[ -z "$cluster_dir" ] || rm -rf "$cluster_dir"
	cluster_dir=
}
