#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/bin"
cd "$root/review/standin"
GOTOOLCHAIN=local GOPROXY=off go build -o "$root/bin/review-2-standin" .
