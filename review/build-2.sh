#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 and up start.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-mod=readonly
go build -o target/standins-2 ./review/standins-2/platform/*.go
