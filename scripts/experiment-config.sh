#!/usr/bin/env bash
# Runs `samphirequay experiment config` against nine daemon processes, which it
# kills and replaces, one after the other, while the command changes the
# configuration. The fleet is that of scripts/fleet.sh; the daemons that this
# script starts in their place it ends by their ids.
#
#   scripts/experiment-config.sh [FLAG]...    flags go to the command
#
# Environment: DAEMONS (9), BASE_PORT and SITE as for scripts/fleet.sh.
set -euo pipefail

if [ -z "${FLEET_DIR:-}" ]; then
  cd "$(dirname "$0")/.."
  export DAEMONS="${DAEMONS:-9}"
  exec scripts/fleet.sh "$PWD/scripts/experiment-config.sh" "$@"
fi

# How long a daemon is gone, and the time between two kills, in seconds.
dead_for=0.7
between=1.5

progress="$FLEET_DIR/experiment-config.log"
: >"$progress"
"$FLEET_BIN/samphirequay" experiment config "$@" 2>"$progress" &
command=$!

# running holds the process id of each daemon; own those that this script started.
declare -A running own
names=()
while read -r name pid _ _; do
  names+=("$name")
  running[$name]=$pid
done <"$FLEET_DIR/daemons"

cleanup() {
  local pid
  kill -TERM "$command" 2>/dev/null || true
  for pid in "${own[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${own[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# goes_on says whether the command runs; in_phase whether it has come so far.
goes_on() { kill -0 "$command" 2>/dev/null; }
in_phase() { grep -q "config phase=$1\$" "$progress"; }

replace() {
  local name=$1
  kill -KILL "${running[$name]}"
  if [ -n "${own[$name]:-}" ]; then
    wait "${own[$name]}" 2>/dev/null || true
  fi
  sleep "$dead_for"
  "$FLEET_BIN/samphirequayd" --settings "$FLEET_DIR/$name.hujson" 2>>"$FLEET_DIR/$name.log" &
  own[$name]=$!
  running[$name]=$!
}

until in_phase replacing || ! goes_on; do
  sleep 0.1
done
next=0
while goes_on && ! in_phase end; do
  replace "${names[$next]}"
  next=$(((next + 1) % ${#names[@]}))
  sleep "$between"
done

status=0
wait "$command" || status=$?
cat "$progress" >&2
exit "$status"
