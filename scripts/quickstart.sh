#!/usr/bin/env bash
# The quick start: three instances, two workers and two minions on loopback. Applies a
# small example, waits until all of its jobs have completed, sends requests, and prints
# completion, fragmentation, waste and the cost of an idle instance. Stops all processes
# that it started, and fails if the records of the simulated workers and minions show
# that anything was lost or done twice.
set -euo pipefail
cd "$(dirname "$0")/.."
echo "building"
go build -o bin/ ./cmd/pinewinchd ./cmd/pinewinch ./cmd/pinewinch-standin
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh

began=$SECONDS
new_cluster 3 3
instance_pids=()
for i in 1 2 3; do
  start_instance "$i"
  instance_pids+=("$started")
done
start pinewinch-standin worker -servers "$servers" -count 2 -speed 600 -record "$work/tasks"
start pinewinch-standin minion -servers "$servers" -count 2 -services report,cut-order -record "$work/requests"
export PINEWINCH_SERVER="$servers"

await '"name": "i3"' pinewinch members -o json
await '"workers": 2' pinewinch status -o json
await '"minions": 2' pinewinch status -o json
echo "three instances, two workers and two minions are up"

example=examples/coedlinell-small
pinewinch apply -wait "$example"
pinewinch watch -until-done -every 500ms

jobs=$(grep -c '^\[entry ' "$example"/*.ini)
tasks=$((jobs * $(awk '/^tasks/ { print $3 }' "$example"/*.ini)))
await "\"completed\": $jobs" pinewinch status -o json

# Ten requests for reports, and five keyed orders for a cutting crew, each sent twice.
for i in 1 2 3 4 5 6 7 8 9 10; do
  pinewinch request -token crews-secret report > /dev/null
done
for i in 1 2 3 4 5; do
  first=$(pinewinch request -token crews-secret -key "order-$i" cut-order)
  again=$(pinewinch request -token crews-secret -key "order-$i" cut-order)
  if [ "$first" != "$again" ]; then
    echo "order-$i was answered differently the second time: '$first', then '$again'" >&2
    exit 1
  fi
done

pinewinch status
sleep 2
idle_cost 5 "${instance_pids[@]}"
stop_all

# exactly NAME EXPECTED FILE: fails unless the file has EXPECTED lines, all different.
exactly() {
  local done_once twice
  done_once=$(sort -u "$3" | wc -l)
  twice=$(sort "$3" | uniq -d)
  if [ "$done_once" -ne "$2" ] || [ -n "$twice" ]; then
    echo "$1: $done_once of $2 done; done twice: ${twice:-none}" >&2
    exit 1
  fi
  echo "$1: $2 of $2 done, each once"
}
exactly "tasks of $jobs jobs" "$tasks" "$work/tasks"
exactly "requests" 15 "$work/requests"
echo "quick start: done in $((SECONDS - began)) s after the build"
