#!/usr/bin/env bash
# Lays the files that a site needs beside it (the wire's dialect, the nodes' names, the recorded troubles) from a folder
# that holds them. They stay out of git.
# Usage: deploy/sites/prepare.sh FOLDER
set -euo pipefail
[ $# -eq 1 ] || { echo "usage: $0 FOLDER" >&2; exit 2; }
here=$(cd "$(dirname "$0")" && pwd)
for file in wire.json real.json unlock.txt; do
	[ -f "$1/$file" ] || { echo "$0: $1/$file is missing" >&2; exit 1; }
	install -m 0644 "$1/$file" "$here/$file"
done
