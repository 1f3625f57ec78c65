#!/usr/bin/env bash
# Checks that a build is compatible with an earlier one, given a folder with the programs
# of each. Instances of the new build must accept the settings, logs and snapshots of
# the old build, and processes of both builds must form one cluster that elects leaders
# of either build, serves requests and completes workflows.
# Usage: scripts/mixed.sh OLD_FOLDER NEW_FOLDER
set -euo pipefail
old=$(realpath "$1")
new=$(realpath "$2")
cd "$(dirname "$0")/.."
export PATH="$new:$PATH"
. scripts/cluster.sh

# start_build FOLDER I: like start_instance, with the program in FOLDER.
start_build() {
  "$1/pinewinchd" -config "$work/i$2.ini" 2>> "$work/i$2.log" &
  started=$!
  pids+=("$started")
  instance_pids[$2]=$started
}

# end_instance SIGNAL I: sends SIGNAL to an instance and waits until it has exited.
end_instance() {
  local pid=${instance_pids[$2]}
  kill "-$1" "$pid"
  wait "$pid" 2> /dev/null || true
  forget "$pid"
}

server_of() { echo "http://${http_addresses[$(($1 - 1))]}"; }
ready() { await '"ready": true' pinewinch members -server "$(server_of "$1")" -o json; }
# leader N: prints the number of the leader as known by instance N.
leader() { pinewinch status -server "$(server_of "$1")" -o json | sed -n 's/.*"leader": "i\([0-9]*\)".*/\1/p'; }

cat > "$work/rules.ini" <<'INI'
[customer crews]
guarantee = 1x4 rack

[customer planners]

[class sweep]
tasks = 2
accelerators = 2
run_time = 1s
idempotent = yes
checkpointable = yes

[class parked]
tasks = 1
accelerators = 8
adjacency = worker

[service cut-order]
idempotent = no
timeout = 5s
INI
cat > "$work/graph.json" <<'JSON'
{"steps": [
  {"count": 2, "accelerators": 2, "gang": true, "run_time_ms": 500},
  {"count": 3, "accelerators": 1, "after": [0], "run_time_ms": 200}
]}
JSON

# durable SERVER: prints the replicated state that callers and operators see.
durable() {
  pinewinch get -server "$1" -o json
  pinewinch get -server "$1" -o json -token planners-secret jobs
  pinewinch workflow -token crews-secret -server "$1" -show crews:first
}

instance_pids=()
new_cluster 5 3
echo "== data and settings of the old build"
for i in 1 2 3 4 5; do start_build "$old" "$i"; done
start "$old/pinewinch-standin" worker -servers "$servers" -count 2 -record "$work/tasks"
start "$old/pinewinch-standin" minion -servers "$servers" -count 2 -services cut-order -record "$work/requests"
export PINEWINCH_SERVER="$servers"
await '"workers": 2' pinewinch status -o json
await '"minions": 2' pinewinch status -o json
pinewinch apply -allow-infeasible -wait "$work/rules.ini" > /dev/null
pinewinch workflow -token crews-secret -key first -wait "$work/graph.json" > /dev/null
pinewinch submit -token planners-secret sweep sweep sweep > /dev/null
await '"running": 0' pinewinch status -o json
await '"waiting": 0' pinewinch status -o json
pinewinch submit -token planners-secret parked > /dev/null
pinewinch request -token crews-secret -key order-1 cut-order > /dev/null
sleep 2
durable "$servers" > "$work/before"
for i in 5 4 3 2 1; do end_instance TERM "$i"; done
"$new/pinewinchd" -check -config "$work/i1.ini" > /dev/null && echo "the new build accepts the settings"
for i in 1 2 3 4 5; do start_build "$new" "$i"; done
for i in 1 2 3 4 5; do ready "$i"; done
durable "$servers" > "$work/after"
diff "$work/before" "$work/after" && echo "state unchanged: $(wc -l < "$work/before") lines compared"

# Responses are kept only in memory; the claim in the log must still prevent the request
# with this key from running again.
if ! answer=$(pinewinch request -token crews-secret -key order-1 cut-order 2>&1); then
  grep -q '^answer_gone' <<< "$answer"
fi

echo "== processes of both builds"
# Voters 1 and 3 and follower 4 are of the old build, voter 2 and follower 5 of the new.
build_of() { case $1 in 2 | 5) echo "$new" ;; *) echo "$old" ;; esac; }
name_of() { [ "$(build_of "$1")" = "$new" ] && echo new || echo old; }
for i in 1 3 4; do
  end_instance TERM "$i"
  start_build "$(build_of "$i")" "$i"
  ready "$i"
done
await '"workers": 2' pinewinch status -o json
changes=0
last=""
for round in $(seq 40); do
  now=$(leader 4)
  if [ -n "$now" ]; then
    [ -z "$last" ] || [ "$(name_of "$now")" = "$(name_of "$last")" ] || changes=$((changes + 1))
    last=$now
    for entry in 4 5; do
      result=$(pinewinch workflow -token crews-secret -server "$(server_of "$entry")" -key "both-$round-$entry" -wait "$work/graph.json")
      grep -q completed <<< "$result"
      first=$(pinewinch request -token crews-secret -server "$(server_of "$entry")" -key "both-$round-$entry" cut-order)
      again=$(pinewinch request -token crews-secret -server "$(server_of $((9 - entry)))" -key "both-$round-$entry" cut-order)
      [ "$first" = "$again" ]
    done
    echo "round $round: leader i$now ($(name_of "$now") build), requests through both builds served"
    if [ "$changes" -ge 2 ]; then break; fi
    end_instance KILL "$now"
    start_build "$(build_of "$now")" "$now"
    ready "$now"
  fi
  sleep 1
done
[ "$changes" -ge 2 ] || { echo "leadership changed between the builds fewer than twice" >&2; exit 1; }
twice=$(cat "$work"/requests* | sort | uniq -d | wc -l)
echo "requests recorded twice by the minions: $twice"
[ "$twice" -eq 0 ]
echo "leadership changed between the builds $changes times"
