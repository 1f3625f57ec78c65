#!/usr/bin/env bash
# Measures what an idle instance costs: three voters and one instance without a
# disk, no upstreams, nothing declared. Prints a line for each instance: processor
# share, resident memory, bytes a second sent and received between instances.
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
