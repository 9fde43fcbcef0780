#!/usr/bin/env bash
# The first federation: starts two partners, chavara with three gateways and karunagappally with two, and two test
# servers of each from a fresh clone; shows a request that is forwarded to the other partner, and one whose gateway is killed while a
# server has it, which the client then asks for at another gateway. Everything stays on 127.0.0.0/8 and in one folder, and ends with the script.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=${FIRST_FEDERATION_DIR:-/tmp/damsontrestle-first-federation}
net=${FIRST_FEDERATION_NET:-127.77.0} # addresses of the gateways: .1 to .3 and .11 to .12

mkdir -p bin "$dir"
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

say() { printf '\n\033[1m$ %s\033[0m\n' "$*"; "$@"; }

# request HOST PATH ID [HEADER...]: a client's request, and its response.
request() {
	local host=$1 path=$2 id=$3 fields='' h
	for h in "${@:4}"; do fields+="$h"$'\r\n'; done
	exec 3<>"/dev/tcp/$host/7070"
	printf 'GET %s HTTP/1.1\r\nHost: gateway\r\nX-Request-Id: %s\r\nX-Deadline: 5\r\n%sConnection: close\r\n\r\n' "$path" "$id" "$fields" >&3
	cat <&3
	exec 3<&-
}

umask 077
printf 'the key of chavara alone' >"$dir/chavara.key"
printf 'the key of karunagappally alone' >"$dir/karunagappally.key"
printf 'the key of both partners' >"$dir/both.key"

pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait "${pids[@]}" 2>/dev/null || true' EXIT

# file NAME HOST PARTNER BOX SEED OTHER OTHERS: the example, with a gateway's own names and addresses.
file() {
	sed -e "s#@NAME@#$1#g; s#@DIR@#$dir#g; s#@PARTNER@#$3#g; s#@BOX@#$4#g; s#@SEED@#$5#; s#@OTHER@#$6#g; s#@OTHERS@#$7#; s#@HOST@#$net.$2#g; s#@NET@#$net#g" \
		deploy/first-federation.hcl >"$dir/$1.hcl"
}
for i in 1 2 3; do file "chavara-$i" "$i" chavara "$net.1" "$net.1:7946\", \"$net.2:7946" karunagappally "$net.11:7946\", \"$net.12:7946"; done
for i in 1 2; do file "karunagappally-$i" "1$i" karunagappally "$net.11" "$net.11:7946\", \"$net.12:7946" chavara "$net.1:7946\", \"$net.2:7946\", \"$net.3:7946"; done

bin/testserver -name chavara-box -listen "$net.1:9001,$net.1:9002" -service 1s >/dev/null & pids+=($!)
bin/testserver -name karunagappally-box -listen "$net.11:9001,$net.11:9002" -service 50ms >/dev/null & pids+=($!)
for g in chavara-1 chavara-2 chavara-3 karunagappally-1 karunagappally-2; do
	bin/damsontrestle serve "$dir/$g.hcl" 2>"$dir/$g.log" & pids+=($!)
	[ "$g" = chavara-1 ] && first=$! && disown
done

# Ready: each has links to its group and to the other partner, and knows the other's offer.
for g in chavara-1 chavara-2 chavara-3 karunagappally-1 karunagappally-2; do
	links=3; [ "${g%-*}" = karunagappally ] && links=2
	for _ in $(seq 300); do
		bin/damsontrestle show -json "$dir/$g.hcl" 2>/dev/null | tr -d ' \n' >"$dir/show" || true
		[ "$(grep -o '"gateway":"[a-z]*/' "$dir/show" | wc -l)" -ge "$links" ] && grep -q '"offers":2' "$dir/show" && break
		sleep 0.1
	done
done
say bin/damsontrestle show "$dir/chavara-1.hcl"

echo
echo "# A request that karunagappally serves, sent to chavara's first gateway:"
say request "$net.1" /view/karunagappally/wells a-1

echo
echo
echo "# A request that takes a second; its gateway is killed meanwhile, and the client asks for it at the next one:"
request "$net.1" /view/chavara/wells a-2 >"$dir/broken" 2>/dev/null & asked=$!
for _ in $(seq 300); do
	bin/damsontrestle show -json "$dir/chavara-1.hcl" | tr -d ' \n' | grep -q '"in_hand":1' && break
	sleep 0.01
done
kill -9 "$first"
wait "$asked" 2>/dev/null || true
say request "$net.2" /view/chavara/wells a-3 'X-Retry-Of: a-2'
echo
