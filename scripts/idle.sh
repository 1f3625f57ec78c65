#!/usr/bin/env bash
# Measures the cost of idle instances: three voters and one instance without a data
# folder, no upstreams, no declarations. Prints a line per instance: CPU share,
# resident memory, bytes per second sent to and received from other instances.
# Usage: scripts/idle.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
over=${1:-20}
go build -o bin/ ./cmd/pinewinchd ./cmd/pinewinch ./cmd/pinewinch-standin
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh

new_cluster 4 3
instance_pids=()
for i in 1 2 3 4; do
  start_instance "$i"
  instance_pids+=("$started")
done
await '"name": "i4"' pinewinch members -o json
sleep 5
idle_cost "$over" "${instance_pids[@]}"
