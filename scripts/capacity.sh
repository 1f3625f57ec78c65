#!/usr/bin/env bash
# Measures the cost per unit of load behind docs/CAPACITY.md with real processes on
# loopback, at a few sizes for each series. Needs at most about 60 processes and a few
# gigabytes of memory. Writes
# docs/capacity/points.csv, docs/capacity/fits.md and a plot per series.
# Usage: scripts/capacity.sh [SERIES...]
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
export PATH="$PWD/bin:$PATH"
. scripts/cluster.sh

out=docs/capacity
over=${CAPACITY_SECONDS:-8}
settle=${CAPACITY_SETTLE:-3}
mkdir -p "$out"
touch "$out/points.csv"

# Declarations of the measurements: "parked" requires more accelerators than any worker
# has, so that changes of it start nothing; "brief" and "long" need no accelerator.
declarations() {
  cat <<'INI'
[customer crews]
[customer planners]
[class parked]
tasks = 1
accelerators = 8
adjacency = worker
[class brief]
tasks = 1
cores = 1
run_time = 1s
[class long]
tasks = 50
cores = 1
run_time = 10h
[service report]
idempotent = yes
[service cut-order]
idempotent = no
INI
}

# cluster COUNT VOTERS: starts a cluster, sets targets to the role, process id and
# address of each instance, and applies the declarations.
cluster() {
  # There is no load balancer that needs notice before a stop.
  printf '[stop]\nnotice = 10ms\n' > "$work/stop.ini"
  new_cluster "$1" "$2" "$work/stop.ini"
  targets=""
  instance_pids=()
  local i
  for ((i = 1; i <= $1; i++)); do
    start_instance "$i"
    instance_pids+=("$started")
  done
  await "\"name\": \"i$1\"" pinewinch members -o json
  declarations > "$work/declarations.ini"
  for _ in $(seq 100); do
    if pinewinch apply -wait "$work/declarations.ini" > /dev/null 2>&1; then break; fi
    sleep 0.2
  done
  await '"class/brief"' pinewinch get
  local leader
  leader=$(pinewinch status -o json | sed -n 's/.*"leader": "\(.*\)".*/\1/p')
  for ((i = 1; i <= $1; i++)); do
    local role=follower
    ((i <= $2)) && role=voter
    [ "i$i" = "$leader" ] && role=leader
    targets+="${targets:+,}$role=${instance_pids[$((i - 1))]}@http://${http_addresses[$((i - 1))]}"
  done
}

sample() { # SERIES SIZE
  sleep "$settle"
  pinewinch-bench sample -series "$1" -size "$2" -targets "$targets" -token operator-secret -over "${over}s" >> "$out/points.csv"
}

workers() { # cost of one more idle worker that announces itself
  for size in 0 200 400 800; do
    cluster 4 3
    if ((size > 0)); then
      start pinewinch-standin worker -spread -servers "$servers" -count "$size" -accelerators 1
      targets+=",workers=$started"
      await "\"workers\": $size" pinewinch status -o json
    fi
    sample workers "$size"
    stop_all
  done
}

minions() { # cost of one more idle minion that announces itself
  for size in 0 50 100 200; do
    cluster 4 3
    if ((size > 0)); then
      start pinewinch-standin minion -spread -servers "$servers" -count "$size" -services report,cut-order
      targets+=",minions=$started"
      await "\"minions\": $size" pinewinch status -o json
    fi
    sample minions "$size"
    stop_all
  done
}

tasks() { # cost of one more running task, on 100 workers
  for size in 0 1000 2000 4000; do
    cluster 4 3
    start pinewinch-standin worker -spread -servers "$servers" -count 100 -accelerators 1 -cores 64
    targets+=",workers=$started"
    await '"workers": 100' pinewinch status -o json
    for ((i = 0; i < size / 50; i++)); do
      pinewinch submit -token crews-secret -key "long-$i" long > /dev/null
    done
    ((size == 0)) || await "\"running\": $((size / 50))\b" pinewinch status -o json
    sample tasks "$size"
    stop_all
  done
}

followers() { # cost of one more idle instance without a replica of the log
  for size in 1 9 18 36; do
    cluster $((size + 3)) 3
    sample followers "$size"
    stop_all
  done
}

changes() { # cost of one more change of the declarations per second, 9 instances
  for size in 0 10 20 40; do
    cluster 9 3
    ((size == 0)) || start pinewinch-bench load -kind changes -servers "$PINEWINCH_SERVER" -token operator-secret \
      -rate "$size" -over "$((settle + over + 2))s" -name parked
    sample changes_per_s "$size"
    stop_all
  done
}

jobs() { # cost of one more job per second from submission to end, 9 instances
  for size in 0 4 8 16; do
    cluster 9 3
    start pinewinch-standin worker -spread -servers "$servers" -count 50 -accelerators 8
    await '"workers": 50' pinewinch status -o json
    ((size == 0)) || start pinewinch-bench load -kind jobs -servers "$servers" -token crews-secret \
      -rate "$size" -over "$((settle + over + 2))s" -name brief
    sample jobs_per_s "$size"
    stop_all
  done
}

requests() { # cost of one more request per second, spread over 9 instances
  for size in 0 200 400 800; do
    cluster 9 3
    start pinewinch-standin minion -spread -servers "$servers" -count 50 -services report,cut-order
    await '"minions": 50' pinewinch status -o json
    ((size == 0)) || start pinewinch-bench load -kind requests -servers "$servers" -token crews-secret \
      -rate "$size" -over "$((settle + over + 2))s" -name report
    sample requests_per_s "$size"
    stop_all
  done
}

keyed() { # cost of one more request per second that runs at most once, 9 instances
  for size in 0 50 100 200; do
    cluster 9 3
    start pinewinch-standin minion -spread -servers "$servers" -count 50 -services report,cut-order
    await '"minions": 50' pinewinch status -o json
    ((size == 0)) || start pinewinch-bench load -kind keyed -servers "$servers" -token crews-secret \
      -rate "$size" -over "$((settle + over + 2))s" -name cut-order
    sample keyed_per_s "$size"
    stop_all
  done
}

all=(workers minions tasks followers changes jobs requests keyed)
[ $# -gt 0 ] && all=("$@")
for series in "${all[@]}"; do
  # New points of a series replace its earlier ones.
  sed -i "/^$series\(_per_s\)\?,/d" "$out/points.csv"
  echo "measuring $series" >&2
  "$series"
done
pinewinch-bench fit -in "$out/points.csv" -plots "$out" > "$out/fits.md"
