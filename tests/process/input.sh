#!/usr/bin/env bash
# Case 12: malformed, oversized and truncated input at every port, and tokens
# that are forged or come from another fleet. Guards R1 and R4. The failures are
# a proxy that ends, a proxy whose memory grows, an answer that does not name
# what is wrong, and a token that is accepted although no proxy of the fleet
# made it.
CLUSTER_PORT=24400 CLUSTER_PROXIES=2 CLUSTER_SERVICES=2
. "$(dirname "$0")/lib.sh"
test_start

rss() { awk '/VmRSS/ { print $2 }' "/proc/${cluster_pids[proxy-0]}/status"; }
malformed() { # interface
	local n
	n=$(proxy_metric 0 "hornbeamtack_malformed_total{interface=\"$1\"}")
	echo "${n:-0}"
}
call() { # path body; prints status and body
	curl -s -m 5 -w ' %{http_code}' "http://127.0.0.1:$(cluster_caller_port 0)$1" -d "$2"
}
refused() { # text path body pattern
	check "$1" matches "$(call "$2" "$3")" "$4"
}

start_rss=$(rss)
start_pid=${cluster_pids[proxy-0]}
before=$(malformed caller)
statement='"service":"ledger-0","kind":"read","statement":"SELECT id, value FROM records"'
refused "no JSON" /v1/statement 'not json' 'not-run.* 400$'
refused "truncated JSON" /v1/statement '{"service":"ledger-0","kind"' 'not-run.* 400$'
refused "an array" /v1/statement '[]' 'body: .* 400$'
refused "an unknown field is named" /v1/statement "{$statement,\"colour\":1}" 'colour.* 400$'
refused "a missing field is named" /v1/statement '{"service":"ledger-0","kind":"read"}' 'statement: required.* 400$'
refused "a wrong type is named" /v1/statement "{$statement,\"max_age_ms\":\"x\"}" 'max_age_ms.* 400$'
refused "a range is named" /v1/statement "{$statement,\"deadline_ms\":-1}" 'deadline_ms.*1 to.* 400$'
refused "a long key is named" /v1/statement "{$statement,\"key\":\"$(printf 'k%.0s' {1..200})\"}" 'key.* 400$'
refused "a zero byte is named" /v1/statement '{"service":"ledger-0","kind":"read","statement":"a\u0000b"}' ' 400$'
refused "an unknown path" /v1/nothing '{}' ' 404$'
refused "deep nesting" /v1/statement "$(printf '[%.0s' {1..5000})" ' 400$'
counted=$(($(malformed caller) - before))
check "each refused request is counted" at_least $counted 11

# An oversized body, and one that ends early.
head -c 2000000 /dev/zero | tr '\0' x >"$cluster_dir/large"
check "an oversized body is refused" matches "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	"http://127.0.0.1:$(cluster_caller_port 0)/v1/statement" --data-binary "@$cluster_dir/large")" '^(413|400|000)$'
for port in $(cluster_caller_port 0) $(cluster_operator_port 0); do
	for i in 1 2 3 4 5; do
		(exec 3<>"/dev/tcp/127.0.0.1/$port" && printf 'POST /v1/statement HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{"a' >&3) 2>/dev/null
		(exec 3<>"/dev/tcp/127.0.0.1/$port" && head -c 20000 /dev/urandom >&3) 2>/dev/null
	done
done

# Tokens.
token=$(field "$(book 0 input-1 one key=input-1)" token)
for i in 1 10 20 30; do
	last=${token:i:1}
	forged=${token:0:i}$([ "$last" = A ] && echo B || echo A)${token:i+1}
	answer=$(look 0 input-1 "token=$forged")
	check "a token changed at $i is refused by name" \
		matches "$(field "$answer" message) $(field "$answer" outcome)" '^token: .* not-run$'
done
answer=$(look 0 input-1 "token=${token:0:20}")
check "a truncated token is refused by name" matches "$(field "$answer" message)" '^token: '
check "a long token is refused by name" matches "$(field "$(look 0 input-1 "token=$(printf 'A%.0s' {1..4000})")" message)" '^token: '
check "refused tokens are counted" at_least "$(malformed token)" 6
check "a token of another service is no hindrance" is "$(SERVICE=ledger-1 look 0 x "token=$token" | jq -r .outcome)" done
check "a token is good at the other proxy (R1)" is "$(field "$(look 1 input-1 "token=$token")" 'rows[0][0]')" one
# The token of a proxy with another secret must be refused here.
sed 's/^secret = .*/secret = another-secret-of-a-foreign-fleet/; s/^seeds =.*//; s/^name = .*/name = foreign/' \
	"$cluster_dir/proxy-1.ini" | sed "s/:$(cluster_caller_port 1)/:$((CLUSTER_PORT + 50))/; s/:$(cluster_operator_port 1)/:$((CLUSTER_PORT + 51))/; s/:$(cluster_peer_port 1)/:$((CLUSTER_PORT + 52))/" >"$cluster_dir/foreign.ini"
cluster_spawn foreign "$BUILD/cli/hornbeamtack" serve "$cluster_dir/foreign.ini"
foreign_token() {
	foreign=$(curl -s -m 5 "http://127.0.0.1:$((CLUSTER_PORT + 50))/v1/statement" -d \
		'{"service":"ledger-0","kind":"write","statement":"INSERT INTO records VALUES ('"'f$RANDOM'"', 1)"}' | jq -r '.token // empty')
	[ -n "$foreign" ]
}
cluster_wait 6 foreign_token
check "a token of a foreign fleet is refused" matches "$(field "$(look 0 input-1 "token=$foreign")" message)" '^token: '
cluster_kill foreign
check "an unknown transaction is refused" is "$(field "$(book 0 x y transaction=proxy-0~ledger-0~ledger-0-0~0)" outcome)" not-run
check "a malformed transaction is refused by name" matches "$(field "$(end 0 commit nonsense)" message)" 'transaction|service'
open=$(field "$(begin 0 deadline_ms=3000)" transaction)
for proxy in 0 1; do
	check "a transaction of another service is refused by name, proxy $proxy" matches \
		"$(SERVICE=ledger-1 book $proxy foreign x "transaction=$open")" \
		'not-run.*transaction: of another service'
done
check "the transaction is still open" is "$(field "$(end 0 commit "$open")" outcome)" done

# Operators.
before=$(malformed operator)
put() { curl -s -m 5 -w ' %{http_code}' -X PUT "http://127.0.0.1:$(cluster_operator_port 0)/v1/config" -d "$1"; }
check "operators: no JSON" matches "$(put 'x')" ' 400$'
check "operators: a missing value is named" matches "$(put '{"service":"ledger-0","base_revision":1}')" 'value.* 400$'
check "operators: a negative base is named" matches "$(put '{"service":"ledger-0","base_revision":-1,"value":{}}')" 'base_revision.* 400$'
check "operators: an unknown key is named" matches "$(put '{"service":"ledger-0","base_revision":1,"value":{"name":"ledger-0","colour":1}}')" 'colour.* 400$'
check "operators: refused input is counted" at_least $(($(malformed operator) - before)) 3

# Peers: random bytes, a length beyond the limit, a truncated message.
before=$(malformed peer)
peer=$(cluster_peer_port 0)
for i in 1 2 3 4 5 6 7 8 9 10; do
	(exec 3<>"/dev/tcp/127.0.0.1/$peer" && head -c 5000 /dev/urandom >&3) 2>/dev/null
	(exec 3<>"/dev/tcp/127.0.0.1/$peer" && printf '\xff\xff\xff\xff\x93' >&3) 2>/dev/null
	(exec 3<>"/dev/tcp/127.0.0.1/$peer" && printf '\x00\x00\x00\x04\x93\x01\x02\xc1' >&3) 2>/dev/null
	(exec 3<>"/dev/tcp/127.0.0.1/$peer" && printf '\x00\x00\x10\x00\x93' >&3) 2>/dev/null
done
sleep 0.3
check "peers: malformed messages are counted" at_least $(($(malformed peer) - before)) 10

# Memory must not grow with the volume of refused input.
middle_rss=$(rss)
for ((i = 0; i < 40; i++)); do
	curl -s -m 5 -o /dev/null "http://127.0.0.1:$(cluster_caller_port 0)/v1/statement" --data-binary "@$cluster_dir/large"
	call /v1/statement "{$statement,\"key\":\"$(printf 'k%.0s' {1..9000})\"}" >/dev/null
	(exec 3<>"/dev/tcp/127.0.0.1/$peer" && head -c 100000 /dev/urandom >&3) 2>/dev/null
done
sleep 0.5
figure "VmRSS: $start_rss kB at the start, $middle_rss kB, $(rss) kB after the volume"
check "memory stays below 128 MB" below "$(rss)" 131072
check "memory does not grow with refused input" below "$(rss)" $((middle_rss + 8192))
check "the proxy is the same process" kill -0 "$start_pid"
check "statements are still done" cluster_writable 0 0
check "the other proxy sees it as alive" is \
	"$(proxy_status 1 | jq -r '.members[] | select(.name == "proxy-0") | .state')" alive
finish
