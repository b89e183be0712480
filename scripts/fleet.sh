#!/usr/bin/env bash
# Starts the platform's stand-ins and a fleet of daemons as processes on the loopback
# interface, with generated settings in a temporary directory. On exit it kills
# them by process id and removes the directory.
#
#   scripts/fleet.sh                  run until interrupted
#   scripts/fleet.sh COMMAND [ARG]... run COMMAND against the fleet, then exit
#
# Environment: DAEMONS (default 9), SITE (bunker, the default, or companeros),
# BASE_PORT (default 17100). COMMAND receives in its environment: FLEET_DIR,
# FLEET_BIN, FLEET_ENTRY and FLEET_OPERATORS (comma-separated addresses),
# FLEET_TEAM_KEY, FLEET_MODEL and SAMPHIREQUAY_OPERATOR_KEY. FLEET_DIR/daemons has
# a line for each daemon: name, process id, callers' address, operators' address.
set -euo pipefail
cd "$(dirname "$0")/.."

daemons=${DAEMONS:-9}
site=${SITE:-bunker}
base_port=${BASE_PORT:-17100}
case "$site" in
  bunker) domains=(aktau-port kuryk bautino aktau-city) model=document-summariser ;;
  companeros) domains=(quetzal-norte xela-sur toto-centro atitlan-sala) model=matching-model ;;
  *) echo "fleet.sh: unknown SITE $site" >&2; exit 2 ;;
esac

dir=$(mktemp -d)
pids=()

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# wait_for repeats a command every 0.1 s until it succeeds, and fails after 200
# attempts.
wait_for() {
  local tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -ge 200 ]; then
      echo "fleet.sh: timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

go build -o "$dir/bin/" ./cmd/samphirequay ./cmd/samphirequayd
samphirequay="$dir/bin/samphirequay"

names=()
for i in $(seq 1 "$daemons"); do
  names+=("${domains[$(((i - 1) % 4))]}-$i")
done
name_flags=()
for name in "${names[@]}"; do
  name_flags+=(--daemon "$name")
done
"$samphirequay" keys init "$dir/keys" "${name_flags[@]}" >/dev/null

operator_key=$("$samphirequay" keys hash --generate | sed -n 's/^key=//p')
operator_hash=$(printf '%s\n' "$operator_key" | "$samphirequay" keys hash | sed -n 's/^hash=//p')
team_key=$("$samphirequay" keys hash --generate | sed -n 's/^key=//p')
team_hash=$(printf '%s\n' "$team_key" | "$samphirequay" keys hash | sed -n 's/^hash=//p')
resume_secret=$(printf '%s\n' "$operator_key$team_key" | "$samphirequay" keys hash | sed -n 's/^hash=//p')

callers_address() { echo "127.0.0.1:$((base_port + $1))"; }
operators_address() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
peers_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
debug_address() { echo "127.0.0.1:$((base_port + 300 + $1))"; }

seeds="" hosts=""
for i in $(seq 1 "$daemons"); do
  name=${names[$((i - 1))]}
  seeds+="{\"name\": \"$name\", \"address\": \"$(peers_address "$i")\"},"
  hosts+="{\"name\": \"$name\", \"domain\": \"${domains[$(((i - 1) % 4))]}\", \"address\": \"$(peers_address "$i")\", \"state\": \"live\"},"
done
echo "{\"hosts\": [${hosts%,}]}" >"$dir/hosts.json"

"$samphirequay" standin platform --site "$site" --base-port $((base_port + 400)) \
  --host-list "$dir/hosts.json" --document "$dir/fleet.json" >"$dir/platform.json" 2>"$dir/platform.log" &
pids+=($!)
wait_for grep -q '"endpoints"' "$dir/platform.json"
platform_address() { sed -n "s/^  \"$1\": \"\(.*\)\",\$/\1/p" "$dir/platform.json"; }

: >"$dir/daemons"
entry="" operators=""
for i in $(seq 1 "$daemons"); do
  name=${names[$((i - 1))]}
  cat >"$dir/$name.hujson" <<SETTINGS
{
  "daemon": "$name",
  "domain": "${domains[$(((i - 1) % 4))]}",
  "listen": {
    "callers": "$(callers_address "$i")",
    "operators": "$(operators_address "$i")",
    "peers": "$(peers_address "$i")",
    "debug": "$(debug_address "$i")",
  },
  "seed_peers": [$seeds],
  // Plain HTTP is for trials on the loopback interface only.
  "insecure_callers": true,
  "peers_tls": {
    "cert": "$dir/keys/$name.pem",
    "key": "$dir/keys/$name-key.pem",
    "ca": "$dir/keys/ca.pem",
  },
  "resume_keys": [{"id": 1, "secret_hex": "$resume_secret"}],
  "operator_key_hashes": ["$operator_hash"],
  "platform": {
    "table": "$(platform_address table)",
    "objects": "$(platform_address objects)",
    "hosts": "$(platform_address hosts)",
    "weights": "$(platform_address weights)",
  },
}
SETTINGS
  "$dir/bin/samphirequayd" --settings "$dir/$name.hujson" 2>"$dir/$name.log" &
  pids+=($!)
  echo "$name $! $(callers_address "$i") $(operators_address "$i")" >>"$dir/daemons"
  entry+="$(callers_address "$i"),"
  operators+="$(operators_address "$i"),"
done

export FLEET_DIR=$dir FLEET_BIN=$dir/bin FLEET_ENTRY=${entry%,} FLEET_OPERATORS=${operators%,}
export FLEET_TEAM_KEY=$team_key FLEET_MODEL=$model SAMPHIREQUAY_OPERATOR_KEY=$operator_key

wait_for "$samphirequay" status --operators "$FLEET_OPERATORS"
"$samphirequay" config apply "$dir/fleet.json" --operators "$FLEET_OPERATORS" >/dev/null
revision=$(echo "{\"name\": \"trial\", \"key_hashes\": [\"$team_hash\"]}" |
  "$samphirequay" team put - --operators "$FLEET_OPERATORS" | sed -n 's/.*revision=//p')
has_revision() {
  "$samphirequay" status --operators "$1" | grep -q "revision=$revision "
}
while read -r _ _ _ address; do
  wait_for has_revision "$address"
done <"$dir/daemons"

if [ $# -gt 0 ]; then
  "$@"
  exit
fi
echo "daemons=$daemons site=$site revision=$revision dir=$dir"
echo "SAMPHIREQUAY_OPERATOR_KEY=$operator_key $samphirequay status --operators ${FLEET_OPERATORS%%,*}"
echo "SAMPHIREQUAY_TEAM_KEY=$team_key $samphirequay load --entry ${FLEET_ENTRY%%,*} --profile $site --rate 20 --duration 5s"
wait
