#!/usr/bin/env bash
# Soak test: runs daemons as processes, restarts each one that exits, and runs
# `samphirequay soak`, which injects faults and checks the daemons' guarantees.
# Runs one seed after another. Keeps the logs of each seed that violated a
# guarantee or failed otherwise, and prints their path.
#
#   scripts/soak.sh SEED...
#
# Environment: DAEMONS (default 5), CALLERS (default 16), LENGTH (default 15s),
# SCENARIO (mixed, the default, restarts, restores, releases, callers or lagging), DESCRIPTORS (the most that
# a daemon may have; default: as many as this shell), OUT (default: a new temporary
# directory), KEEP (set to keep the logs of all seeds).
set -euo pipefail
cd "$(dirname "$0")/.."

daemons=${DAEMONS:-5}
callers=${CALLERS:-16}
length=${LENGTH:-15s}
scenario=${SCENARIO:-mixed}
[ "$#" -gt 0 ] || { echo "soak.sh: no SEED given" >&2; exit 2; }

out=${OUT:-$(mktemp -d)}
mkdir -p "$out/bin"
go build -o "$out/bin/" ./cmd/samphirequay ./cmd/samphirequayd
supervisors=()
dir=""

# supervise runs one daemon and restarts it whenever it exits. NAME.pid holds the id
# of the process that the soak may signal; NAME.ends has a line with the process id
# and exit status of each process that exited.
supervise() {
  local name=$1 pid status
  until [ -s "$dir/$name.json" ]; do
    [ -e "$dir/stop" ] && return
    sleep 0.05
  done
  while [ ! -e "$dir/stop" ]; do
    (
      [ -z "${DESCRIPTORS:-}" ] || ulimit -n "$DESCRIPTORS"
      exec "$out/bin/samphirequayd" platform --settings "$dir/$name.json"
    ) >>"$dir/$name.log" 2>&1 &
    pid=$!
    echo "$pid" >"$dir/$name.pid"
    status=0
    wait "$pid" 2>/dev/null || status=$?
    rm -f "$dir/$name.pid"
    [ -e "$dir/stop" ] || echo "$pid $status" >>"$dir/$name.ends"
    sleep 0.2
  done
}

# stop_daemons kills the daemons of the current seed by process id and waits for
# their supervisors.
stop_daemons() {
  [ -n "$dir" ] || return 0
  touch "$dir/stop"
  local file
  for file in "$dir"/*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  local supervisor
  for supervisor in "${supervisors[@]}"; do
    wait "$supervisor" 2>/dev/null || true
  done
  supervisors=()
  dir=""
}
trap stop_daemons EXIT
trap 'exit 130' INT TERM

failed_seeds=0
for seed in "$@"; do
  dir="$out/seed-$seed"
  rm -rf "$dir"
  mkdir -p "$dir"
  for i in $(seq 1 "$daemons"); do
    supervise "d$i" &
    supervisors+=($!)
  done
  if "$out/bin/samphirequay" soak --dir "$dir" --seed "$seed" --daemons "$daemons" \
    --callers "$callers" --length "$length" --scenario "$scenario" >"$dir/soak.log" 2>&1; then
    tail -n 1 "$dir/soak.log"
    stop_daemons
    [ -n "${KEEP:-}" ] || rm -rf "$out/seed-$seed"
  else
    grep -E "^(BROKEN|seed=|samphirequay:)" "$dir/soak.log" || true
    stop_daemons
    echo "logs: $out/seed-$seed"
    failed_seeds=$((failed_seeds + 1))
  fi
done
echo "seeds=$# broken=$failed_seeds"
[ "$failed_seeds" -eq 0 ]
