#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-mod=readonly
go build -o target/standins ./review/platform/*.go
