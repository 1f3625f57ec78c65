#!/usr/bin/env bash
# Measures dispatch with real processes: how long an urgent job waits for accelerators
# that are preempted for it, how long a gang of 128 takes to start, and how long until
# the work of a killed worker runs on another. Three instances, 16 simulated workers of
# 8 accelerators in 2 racks, default leases.
# Usage: scripts/dispatch.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20}
go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh

cat > "$work/rules.ini" <<'INI'
[customer crews]
guarantee = 2x8 rack

[customer planners]

[class background]
tasks = 128
accelerators = 1
run_time = 10h
idempotent = yes
checkpointable = yes

[class urgent]
tasks = 16
accelerators = 1
adjacency = rack
run_time = 100ms
idempotent = yes
urgent = yes

[class large]
tasks = 1
accelerators = 16
run_time = 10h
idempotent = yes

[class wide]
tasks = 128
accelerators = 1
run_time = 100ms
idempotent = yes
INI

new_cluster 3 3
for i in 1 2 3; do start_instance "$i"; done
start pinewinch-standin worker -id near -rack rack1 -count 8 -servers "$servers"
start pinewinch-standin worker -id far -rack rack2 -count 8 -servers "$servers"
await '"workers": 16' pinewinch status -o json
pinewinch apply -wait "$work/rules.ini" > /dev/null

job() { pinewinch explain -token "$1" -o json "$2"; }
field() { tr -d ' ",' | grep "^$1:" | head -1 | cut -d: -f2; }
# waited TOKEN JOB: prints the milliseconds from submission to the start of all tasks.
waited() {
  local text
  text=$(job "$1" "$2")
  echo $(($(field started_ms <<< "$text") - $(field submitted_ms <<< "$text")))
}
# report NAME: prints median and maximum of the numbers on standard input.
report() {
  sort -n | awk -v name="$1" '{ v[NR] = $1 } END {
    printf "%s: median %d ms, worst %d ms, %d runs\n", name, v[int((NR + 1) / 2)], v[NR], NR }'
}

for ((i = 1; i <= runs; i++)); do
  pinewinch submit -token crews-secret -key "wide-$i" wide > /dev/null
  await '"state": "completed"' job crews-secret "crews:wide-$i"
  waited crews-secret "crews:wide-$i"
done | report "start of a gang of 128 on 16 workers"

pinewinch submit -token planners-secret -key fill background > /dev/null
for ((i = 1; i <= runs; i++)); do
  await '"state": "running"' job planners-secret planners:fill
  pinewinch submit -token crews-secret -key "urgent-$i" urgent > /dev/null
  await '"state": "completed"' job crews-secret "crews:urgent-$i"
  waited crews-secret "crews:urgent-$i"
done | report "start of an urgent gang of 16 that preempts a gang of 128"

# A worker of 16 accelerators is killed while another with as many is idle.
for i in 1 2 3; do
  start pinewinch-standin worker -id "victim$i" -accelerators 16 -servers "$servers"
  victim=$started
  await "victim$i-1" pinewinch dump
  pinewinch submit -token crews-secret -key "large-$i" large > /dev/null
  await '"state": "running"' job crews-secret "crews:large-$i"
  start pinewinch-standin worker -id "heir$i" -accelerators 16 -servers "$servers"
  killed=$(date +%s%3N)
  kill -KILL "$victim"
  wait "$victim" 2> /dev/null || true
  forget "$victim"
  await '"attempts": 2' job crews-secret "crews:large-$i"
  await '"state": "running"' job crews-secret "crews:large-$i"
  echo $(($(job crews-secret "crews:large-$i" | field started_ms) - killed))
done | report "work of a killed worker runs elsewhere after"
