#!/usr/bin/env bash
# Measures the overhead of the request path over a direct call of a minion: the same
# load goes in turn direct, through an instance, and through an instance with
# at-most-once execution.
# Usage: scripts/requests.sh [INSTANCES VOTERS]
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh

count=${1:-3}
voters=${2:-3}
delay=${REQUESTS_DELAY:-5ms}
rate=${REQUESTS_RATE:-800}
# One core per instance, as on a small machine.
export GOMAXPROCS=${REQUESTS_CORES:-1}

new_cluster "$count" "$voters"
for ((i = 1; i <= count; i++)); do start_instance "$i"; done
await "\"name\": \"i$count\"" pinewinch members -o json
start pinewinch-standin minion -servers "$servers" -services report,cut-order -count 2 -delay "$delay"
printf '[customer crews]\n[customer planners]\n[service report]\nidempotent = yes\n[service cut-order]\n' > "$work/declarations.ini"
for _ in $(seq 100); do
  if pinewinch apply -wait "$work/declarations.ini" > /dev/null 2>&1; then break; fi
  sleep 0.2
done
await '"minions": 2' pinewinch status -o json
minions=$(pinewinch dump | grep -o '"address": *"127.0.0.1:[0-9]*"' | grep -o '127[0-9.:]*' | sort -u | sed 's|^|http://|' | paste -sd,)
echo "$count instances, $voters voters, GOMAXPROCS=$GOMAXPROCS, minion delay $delay, $rate requests per second"
last="http://${http_addresses[$((count - 1))]}"
GOMAXPROCS=4 pinewinch-bench compare -servers "$last" -minions "$minions" -token crews-secret -rate "$rate" -callers "${REQUESTS_CALLERS:-16}"
for ((i = 1; i <= count; i++)); do
  echo "i$i: $(curl -s -H 'Authorization: Bearer operator-secret' "http://${http_addresses[$((i - 1))]}/debug/vars" | grep -oE '"(control_[a-z_]*|wal_[a-z_]*|claims_[a-z_]*|replica_[a-z_]*)": *[0-9]+' | tr '\n' ' ')"
done
