#!/usr/bin/env bash
# Builds the stand-ins that the cases start: review/bin/rig. It needs no network and no module but its own.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../bin/rig .
