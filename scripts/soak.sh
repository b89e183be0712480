#!/usr/bin/env bash
# Soaks daemons in faults: starts them as processes, starts them again whenever
# they end, and has `samphirequay soak` inject faults and check what they
# promise. Runs one seed after the other; the logs of a seed that broke a
# promise are kept and named.
#
#   scripts/soak.sh SEED...
#
# Environment: DAEMONS (5), CALLERS (16), LENGTH (15s), OUT (a folder of its own).
set -euo pipefail
cd "$(dirname "$0")/.."

daemons=${DAEMONS:-5}
callers=${CALLERS:-16}
length=${LENGTH:-15s}
[ "$#" -gt 0 ] || { echo "soak.sh: no SEED given" >&2; exit 2; }

out=${OUT:-$(mktemp -d)}
mkdir -p "$out/bin"
go build -o "$out/bin/" ./cmd/samphirequay ./cmd/samphirequayd
loops=()
dir=""

# supervise runs one daemon and starts it again whenever it ends. NAME.pid tells
# the soak which process to signal, NAME.ends which have ended.
supervise() {
  local name=$1 pid status
  until [ -s "$dir/$name.json" ]; do
    [ -e "$dir/stop" ] && return
    sleep 0.05
  done
  while [ ! -e "$dir/stop" ]; do
    "$out/bin/samphirequayd" platform --settings "$dir/$name.json" >>"$dir/$name.log" 2>&1 &
    pid=$!
    echo "$pid" >"$dir/$name.pid"
    status=0
    wait "$pid" 2>/dev/null || status=$?
    rm -f "$dir/$name.pid"
    [ -e "$dir/stop" ] || echo "$pid $status" >>"$dir/$name.ends"
    sleep 0.2
  done
}

# end_daemons ends the daemons of the present seed by their ids, and the loops.
end_daemons() {
  [ -n "$dir" ] || return 0
  touch "$dir/stop"
  local file
  for file in "$dir"/*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  local loop
  for loop in "${loops[@]}"; do
    wait "$loop" 2>/dev/null || true
  done
  loops=()
  dir=""
}
trap end_daemons EXIT
trap 'exit 130' INT TERM

broken=0
for seed in "$@"; do
  dir="$out/seed-$seed"
  rm -rf "$dir"
  mkdir -p "$dir"
  for i in $(seq 1 "$daemons"); do
    supervise "d$i" &
    loops+=($!)
  done
  if "$out/bin/samphirequay" soak --dir "$dir" --seed "$seed" --daemons "$daemons" \
    --callers "$callers" --length "$length" >"$dir/soak.log" 2>&1; then
    tail -n 1 "$dir/soak.log"
    end_daemons
    rm -rf "$out/seed-$seed"
  else
    grep -E "^(BROKEN|seed=|samphirequay:)" "$dir/soak.log" || true
    end_daemons
    echo "logs: $out/seed-$seed"
    broken=$((broken + 1))
  fi
done
echo "seeds=$# broken=$broken"
[ "$broken" -eq 0 ]
