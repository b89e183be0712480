#!/usr/bin/env bash
# Shows that a caller is answered after the daemon it was sent to has died: it
# asks for the entry answer, is answered at the first address, that daemon's
# process is killed by its id, and it is answered again at another address of
# the same entry answer. Prints key=value lines; exits non-zero on failure.
set -euo pipefail
if [ -z "${FLEET_DIR:-}" ]; then
  exec "$(dirname "$0")/fleet.sh" "$(cd "$(dirname "$0")" && pwd)/$(basename "$0")"
fi

prompt="Nomination 00417: MT Karagiye at Aktau berth 4, 400 mt VLSFO."
body="{\"model\": \"$FLEET_MODEL\", \"prompt\": \"$prompt\", \"max_tokens\": 8}"

# ask sends the completion to an address and prints the text of the answer.
ask() {
  curl -sf --max-time 10 "http://$1/v1/completions" -H "Authorization: Bearer $FLEET_TEAM_KEY" \
    -H "Content-Type: application/json" -d "$body" | sed -n 's/.*"text":"\([^"]*\)".*/\1/p'
}

# ask_until asks addresses in turn, at most so many times, until one answers.
ask_until() {
  local tries=$1 n=0 address text
  shift
  while [ "$n" -lt "$tries" ]; do
    for address in "$@"; do
      n=$((n + 1))
      text=$(ask "$address" || true)
      if [ -n "$text" ]; then
        echo "$address $n $text"
        return 0
      fi
    done
    sleep 0.2
  done
  return 1
}

first_seed=${FLEET_ENTRY%%,*}
mapfile -t addresses < <(curl -sf --max-time 5 "http://$first_seed/v1/entry" | grep -o '"address":"[^"]*"' | cut -d'"' -f4)
given=${addresses[0]:-}
[ -n "$given" ] || { echo "failed=entry"; exit 1; }
echo "given=$given addresses=${#addresses[@]}"

read -r answered tries before < <(ask_until 20 "$given") || { echo "failed=first_answer"; exit 1; }
echo "answered_by=$answered tries=$tries text=\"$before\""

read -r name pid < <(awk -v a="$given" '$3 == a {print $1, $2}' "$FLEET_DIR/daemons") || true
[ -n "${pid:-}" ] || { echo "failed=unknown_daemon"; exit 1; }
kill -KILL "$pid"
echo "killed=$name pid=$pid"
killed_at=$(date +%s%N)

if [ -n "$(ask "$given" || true)" ]; then
  echo "failed=killed_daemon_answered"
  exit 1
fi
read -r answered tries after < <(ask_until 60 "${addresses[@]:1}") || { echo "failed=second_answer"; exit 1; }
echo "answered_by=$answered tries=$tries after_ms=$((($(date +%s%N) - killed_at) / 1000000)) text=\"$after\""

if [ "$before" != "$after" ]; then
  echo "failed=answers_differ"
  exit 1
fi
echo "failover=ok"
