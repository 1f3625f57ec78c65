#!/usr/bin/env bash
# Measures clusters of several sizes, with three voters each: the cost of an idle
# instance, and the time from the acceptance of a change until all instances have
# applied it, in normal operation and right after the leader was killed.
# Usage: scripts/together.sh [COUNT...]
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh
over=${TOGETHER_SECONDS:-20}
changes=${TOGETHER_CHANGES:-200}
kills=${TOGETHER_KILLS:-5}

cat > "$work/rules.ini" <<'INI'
[customer crews]
[class parked]
tasks = 1
accelerators = 8
adjacency = worker
INI

for count in "${@:-9}"; do
  echo "== $count instances"
  new_cluster "$count" 3
  instance_pids=()
  for ((i = 1; i <= count; i++)); do
    start_instance "$i"
    instance_pids+=("$started")
  done
  await "\"name\": \"i$count\"" pinewinch members -o json
  for _ in $(seq 100); do
    if pinewinch apply -wait -allow-infeasible "$work/rules.ini" > /dev/null 2>&1; then break; fi
    sleep 0.2
  done
  sleep 10
  idle_cost "$over" "${instance_pids[@]}" | grep -E "i1:|i2:|i3:|i$count:"
  pinewinch-bench inforce -servers "$servers" -token operator-secret -class parked -changes "$changes"
  for ((kill = 1; kill <= kills; kill++)); do
    leader=$(pinewinch status -server "http://${http_addresses[$((count - 1))]}" -o json | sed -n 's/.*"leader": "i\(.*\)".*/\1/p')
    others=$(for ((i = 1; i <= count; i++)); do [ "$i" = "$leader" ] || echo "http://${http_addresses[$((i - 1))]}"; done | paste -sd,)
    victim=${instance_pids[$((leader - 1))]}
    kill -9 "$victim"
    wait "$victim" 2>/dev/null || true
    forget "$victim"
    echo "leader i$leader killed:"
    pinewinch-bench inforce -servers "$others" -token operator-secret -class parked -changes 1
    start_instance "$leader"
    instance_pids[$((leader - 1))]=$started
    await '"ready": true' pinewinch members -server "http://${http_addresses[$((leader - 1))]}" -o json
    sleep 3
  done
  stop_all
done
