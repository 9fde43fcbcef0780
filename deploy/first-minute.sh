#!/usr/bin/env bash
# The first minute: starts two test servers and a node from a fresh clone, and shows a served request, a plan, an
# apply and a rollback. Everything stays on 127.0.0.1 and in one folder, and ends with the script.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=${FIRST_MINUTE_DIR:-/tmp/damsontrestle-first-minute}
listen=${FIRST_MINUTE_LISTEN:-127.0.0.1:7070}
servers=${FIRST_MINUTE_BOXES:-127.0.0.1:9001,127.0.0.1:9002}

mkdir -p bin "$dir"
rm -rf "$dir/state"
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

say() { printf '\n\033[1m$ %s\033[0m\n' "$*"; "$@"; }

# The example, with this run's folder and addresses.
file=$dir/node.hcl
sed -e "s#/tmp/damsontrestle-first-minute#$dir#; s#127.0.0.1:7070#$listen#; s#127.0.0.1:9001#${servers%%,*}#" deploy/first-minute.hcl >"$file"

bin/testserver -listen "$servers" -service 20ms &
server=$!
bin/damsontrestle serve "$file" 2>"$dir/log" &
node=$!
trap 'kill $node $server 2>/dev/null || true; wait $node $server 2>/dev/null || true' EXIT
for _ in $(seq 100); do
	bin/damsontrestle show "$file" >/dev/null 2>&1 && break
	kill -0 $node 2>/dev/null || { cat "$dir/log" >&2; exit 1; }
	sleep 0.1
done

say bin/damsontrestle show "$file"
say bin/testload -to "$listen" -for 0

echo
echo "# A second server joins the pool, and requests get two attempts at most:"
sed -i -e "s#^  connections {#  attempts = 2\n\n  connections {#; s#^pool \"boxes\" {#pool \"boxes\" {\n  server \"box-2\" {\n    address = \"${servers##*,}\"\n  }\n#" "$file"
say bin/damsontrestle plan "$file" -out "$dir/plan"
say bin/damsontrestle apply "$dir/plan"
say bin/testload -to "$listen" -for 1s
say bin/damsontrestle rollback "$file" -auto-approve
say bin/damsontrestle show "$file"
