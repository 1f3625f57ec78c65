#!/usr/bin/env bash
# Starts three instances, workers and a minion on loopback, applies a small
# example, waits until it is complete, prints what it cost, and stops
# everything that it started, by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
hash() { printf 'sha256:%s' "$(printf %s "$1" | sha256sum | cut -d' ' -f1)"; }
mapfile -t ports < <(pinewinch-standin ports -count 6)
servers="http://127.0.0.1:${ports[0]},http://127.0.0.1:${ports[1]},http://127.0.0.1:${ports[2]}"
for i in 1 2 3; do
  mkdir "$work/data$i"
  cat > "$work/i$i.ini" <<INI
[instance]
name = i$i
data_centre = dc$i
listen_http = 127.0.0.1:${ports[$((i - 1))]}
listen_peer = 127.0.0.1:${ports[$((i + 2))]}
data_folder = $work/data$i
[peers]
i1 = 127.0.0.1:${ports[3]}
i2 = 127.0.0.1:${ports[4]}
i3 = 127.0.0.1:${ports[5]}
[control]
voters = i1, i2, i3
[customers]
crews = $(hash crews-secret)
planners = $(hash planners-secret)
[operators]
operator = $(hash operator-secret)
INI
  pinewinchd -config "$work/i$i.ini" 2> "$work/i$i.log" & pids+=($!)
done
pinewinch-standin worker -servers "$servers" -count 2 -speed 1000 & pids+=($!)
pinewinch-standin minion -servers "$servers" -services report,cut-order & pids+=($!)

export PINEWINCH_SERVER="http://127.0.0.1:${ports[0]}" PINEWINCH_TOKEN=operator-secret
await() {
  for _ in $(seq 300); do
    if "${@:2}" 2>/dev/null | grep -q "$1"; then return 0; fi
    sleep 0.1
  done
  echo "quick start: '$1' never came" >&2
  return 1
}
await '"workers": 2' pinewinch status -o json
await '"minions": 1' pinewinch status -o json
pinewinch apply -wait examples/coedlinell-small
await '"completed": 3' pinewinch status -o json
pinewinch request -token crews-secret report
pinewinch request -token crews-secret -key order-7 cut-order
pinewinch status
