#!/usr/bin/env bash
# Demonstrates the failover of a caller whose daemon has died: queries the entry
# answer, sends a completion to its first address, kills that daemon by process id,
# and sends the completion again to the other addresses of the same entry answer
# until one responds. Both texts must be the same. Prints key=value lines; exits
# non-zero on failure.
set -euo pipefail
if [ -z "${FLEET_DIR:-}" ]; then
  exec "$(dirname "$0")/fleet.sh" "$(cd "$(dirname "$0")" && pwd)/$(basename "$0")"
fi

prompt="Nomination 00417: MT Karagiye at Aktau berth 4, 400 mt VLSFO."
body="{\"model\": \"$FLEET_MODEL\", \"prompt\": \"$prompt\", \"max_tokens\": 8}"

# complete_at sends the completion to an address and prints the text of the response.
complete_at() {
  curl -sf --max-time 10 "http://$1/v1/completions" -H "Authorization: Bearer $FLEET_TEAM_KEY" \
    -H "Content-Type: application/json" -d "$body" | sed -n 's/.*"text":"\([^"]*\)".*/\1/p'
}

# complete_at_any tries all addresses in turn, again and again, until one responds. It
# starts no new round once it has made the given number of attempts, and then fails.
# It prints the address, the number of attempts and the text.
complete_at_any() {
  local max_tries=$1 tries=0 address text
  shift
  while [ "$tries" -lt "$max_tries" ]; do
    for address in "$@"; do
      tries=$((tries + 1))
      text=$(complete_at "$address" || true)
      if [ -n "$text" ]; then
        echo "$address $tries $text"
        return 0
      fi
    done
    sleep 0.2
  done
  return 1
}

entry_address=${FLEET_ENTRY%%,*}
mapfile -t addresses < <(curl -sf --max-time 5 "http://$entry_address/v1/entry" | grep -o '"address":"[^"]*"' | cut -d'"' -f4)
first=${addresses[0]:-}
[ -n "$first" ] || { echo "failed=entry"; exit 1; }
echo "given=$first addresses=${#addresses[@]}"

read -r answered tries before < <(complete_at_any 20 "$first") || { echo "failed=first_answer"; exit 1; }
echo "answered_by=$answered tries=$tries text=\"$before\""

read -r name pid < <(awk -v a="$first" '$3 == a {print $1, $2}' "$FLEET_DIR/daemons") || true
[ -n "${pid:-}" ] || { echo "failed=unknown_daemon"; exit 1; }
kill -KILL "$pid"
echo "killed=$name pid=$pid"
killed_at=$(date +%s%N)

if [ -n "$(complete_at "$first" || true)" ]; then
  echo "failed=killed_daemon_answered"
  exit 1
fi
read -r answered tries after < <(complete_at_any 60 "${addresses[@]:1}") || { echo "failed=second_answer"; exit 1; }
echo "answered_by=$answered tries=$tries after_ms=$((($(date +%s%N) - killed_at) / 1000000)) text=\"$after\""

if [ "$before" != "$after" ]; then
  echo "failed=answers_differ"
  exit 1
fi
echo "failover=ok"
