# Functions for scripts that run a cluster of real processes on loopback, to be
# sourced. All started processes are stopped by process id when the script ends.

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# forget PID: removes a process that the script has stopped itself.
forget() {
  local kept=()
  for pid in "${pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  pids=("${kept[@]}")
}

hash_of() { printf 'sha256:%s' "$(printf %s "$1" | sha256sum | cut -d' ' -f1)"; }

# new_cluster COUNT VOTERS [EXTRA]: writes settings for COUNT instances, of which the
# first VOTERS are voters of the log; EXTRA is a file with additional sections. Sets
# servers, http_addresses and the environment of the pinewinch tool.
new_cluster() {
  local count=$1 voters=$2 extra=${3:-/dev/null} i peers="" names=""
  # Deletes the data of an earlier cluster of the same script, or its jobs would be
  # restored.
  rm -rf "$work"/data*
  mapfile -t addresses < <(pinewinch-standin addresses -count $((2 * count)))
  servers=""
  for ((i = 1; i <= count; i++)); do
    peers+="i$i = ${addresses[$((count + i - 1))]}"$'\n'
    servers+="${servers:+,}http://${addresses[$((i - 1))]}"
  done
  for ((i = 1; i <= voters; i++)); do names+="${names:+, }i$i"; done
  for ((i = 1; i <= count; i++)); do
    {
      printf '[instance]\nname = i%d\ndata_centre = dc%d\n' "$i" $(((i - 1) % 3 + 1))
      printf 'listen_http = %s\n' "${addresses[$((i - 1))]}"
      printf 'listen_peer = %s\n' "${addresses[$((count + i - 1))]}"
      if ((i <= voters)); then
        mkdir -p "$work/data$i"
        printf 'data_folder = %s\n' "$work/data$i"
      fi
      printf '[peers]\n%s[control]\nvoters = %s\n' "$peers" "$names"
      printf '[customers]\ncrews = %s\nplanners = %s\n' "$(hash_of crews-secret)" "$(hash_of planners-secret)"
      printf '[operators]\noperator = %s\n' "$(hash_of operator-secret)"
      cat "$extra"
    } > "$work/i$i.ini"
  done
  http_addresses=("${addresses[@]:0:$count}")
  export PINEWINCH_SERVER="http://${addresses[0]}" PINEWINCH_TOKEN=operator-secret
}

# start_instance I: starts instance I and sets started to its process id.
start_instance() {
  pinewinchd -config "$work/i$1.ini" 2>> "$work/i$1.log" &
  started=$!
  pids+=("$started")
}

# start PROGRAM ARGS...: starts any other process and sets started to its process id.
start() {
  "$@" > /dev/null 2>> "$work/others.log" &
  started=$!
  pids+=("$started")
}

# await PATTERN PROGRAM ARGS...: runs the program until its output matches the pattern;
# fails after 600 attempts, 0.1 s apart.
await() {
  local pattern=$1
  shift
  for _ in $(seq 600); do
    if "$@" 2>/dev/null | grep -q "$pattern"; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for '$pattern' in the output of: $*" >&2
  return 1
}

# counter SERVER NAME: prints a counter of an instance, or 0 if it does not exist.
counter() {
  local value
  value=$(pinewinch dump -vars -server "$1" | tr -d ' ",' | grep "^$2:" | cut -d: -f2)
  echo "${value:-0}"
}

# cpu_ticks PID: prints the CPU time used so far, in kernel clock ticks.
cpu_ticks() { sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'; }

# idle_cost SECONDS PIDS...: prints the CPU, memory and peer traffic of the idle
# instances i1, i2, ... with these process ids, measured over SECONDS.
idle_cost() {
  local over=$1 i pid server ticks=() sent=() received=() hertz
  shift
  hertz=$(getconf CLK_TCK)
  i=0
  for pid in "$@"; do
    server="http://${http_addresses[$i]}"
    sent+=("$(counter "$server" peer_bytes_sent)")
    received+=("$(counter "$server" peer_bytes_received)")
    ticks+=("$(cpu_ticks "$pid")")
    i=$((i + 1))
  done
  sleep "$over"
  i=0
  for pid in "$@"; do
    server="http://${http_addresses[$i]}"
    awk -v name="i$((i + 1))" -v over="$over" -v hertz="$hertz" \
      -v ticks=$(($(cpu_ticks "$pid") - ticks[i])) \
      -v kb="$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")" \
      -v sent=$(($(counter "$server" peer_bytes_sent) - sent[i])) \
      -v received=$(($(counter "$server" peer_bytes_received) - received[i])) \
      'BEGIN { printf "idle %s: %.2f%% of a core, %.0f MB, %.0f B/s sent, %.0f B/s received (over %d s)\n",
               name, 100 * ticks / hertz / over, kb / 1024, sent / over, received / over, over }'
    i=$((i + 1))
  done
}
