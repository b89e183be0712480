#!/usr/bin/env bash
# Runs `samphirequay experiment config` against a fleet of daemon processes, started
# by scripts/fleet.sh. While the command changes the configuration, the script
# kills and replaces one daemon after another. On exit it kills the replacements by
# process id.
#
#   scripts/experiment-config.sh [FLAG]...    FLAGs are passed to the command
#
# Environment: DAEMONS (default 9); BASE_PORT and SITE as for scripts/fleet.sh.
set -euo pipefail

if [ -z "${FLEET_DIR:-}" ]; then
  cd "$(dirname "$0")/.."
  export DAEMONS="${DAEMONS:-9}"
  exec scripts/fleet.sh "$PWD/scripts/experiment-config.sh" "$@"
fi

# The downtime of a killed daemon, and the pause between its replacement and the
# next kill, in seconds.
downtime=0.7
pause=1.5

progress="$FLEET_DIR/experiment-config.log"
: >"$progress"
"$FLEET_BIN/samphirequay" experiment config "$@" 2>"$progress" &
command=$!

# running maps each daemon's name to its process id; replacements has only the daemons
# that this script started.
declare -A running replacements
names=()
while read -r name pid _ _; do
  names+=("$name")
  running[$name]=$pid
done <"$FLEET_DIR/daemons"

cleanup() {
  local pid
  kill -TERM "$command" 2>/dev/null || true
  for pid in "${replacements[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${replacements[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# command_running reports whether the command is still running; reached_phase
# whether it has logged the start of the given phase.
command_running() { kill -0 "$command" 2>/dev/null; }
reached_phase() { grep -q "config phase=$1\$" "$progress"; }

replace() {
  local name=$1
  kill -KILL "${running[$name]}"
  if [ -n "${replacements[$name]:-}" ]; then
    wait "${replacements[$name]}" 2>/dev/null || true
  fi
  sleep "$downtime"
  "$FLEET_BIN/samphirequayd" --settings "$FLEET_DIR/$name.hujson" 2>>"$FLEET_DIR/$name.log" &
  replacements[$name]=$!
  running[$name]=$!
}

until reached_phase replacing || ! command_running; do
  sleep 0.1
done
next=0
while command_running && ! reached_phase end; do
  replace "${names[$next]}"
  next=$(((next + 1) % ${#names[@]}))
  sleep "$pause"
done

status=0
wait "$command" || status=$?
cat "$progress" >&2
exit "$status"
