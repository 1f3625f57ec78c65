# Functions for scripts that run a cluster of real processes on loopback. Source
# it. Everything started is stopped by process id when the script ends.

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# forget PID: the script has stopped that process itself.
forget() {
  local kept=()
  for pid in "${pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  pids=("${kept[@]}")
}

hash_of() { printf 'sha256:%s' "$(printf %s "$1" | sha256sum | cut -d' ' -f1)"; }

# new_cluster COUNT VOTERS [EXTRA]: settings for COUNT instances, of which the
# first VOTERS keep the log; EXTRA is a file with further sections. Sets servers,
# http_ports and the tool's environment.
new_cluster() {
  local count=$1 voters=$2 extra=${3:-/dev/null} i peers="" names=""
  mapfile -t ports < <(pinewinch-standin ports -count $((2 * count)))
  servers=""
  for ((i = 1; i <= count; i++)); do
    peers+="i$i = 127.0.0.1:${ports[$((count + i - 1))]}"$'\n'
    servers+="${servers:+,}http://127.0.0.1:${ports[$((i - 1))]}"
  done
  for ((i = 1; i <= voters; i++)); do names+="${names:+, }i$i"; done
  for ((i = 1; i <= count; i++)); do
    {
      printf '[instance]\nname = i%d\ndata_centre = dc%d\n' "$i" $(((i - 1) % 3 + 1))
      printf 'listen_http = 127.0.0.1:%d\n' "${ports[$((i - 1))]}"
      printf 'listen_peer = 127.0.0.1:%d\n' "${ports[$((count + i - 1))]}"
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
  http_ports=("${ports[@]:0:$count}")
  export PINEWINCH_SERVER="http://127.0.0.1:${ports[0]}" PINEWINCH_TOKEN=operator-secret
}

# start_instance I: sets started to its process id.
start_instance() {
  pinewinchd -config "$work/i$1.ini" 2>> "$work/i$1.log" &
  started=$!
  pids+=("$started")
}

# start PROGRAM ARGS...: any other process; sets started.
start() {
  "$@" > /dev/null 2>> "$work/others.log" &
  started=$!
  pids+=("$started")
}

# await PATTERN PROGRAM ARGS...: until the program's output has the pattern.
await() {
  local pattern=$1
  shift
  for _ in $(seq 600); do
    if "$@" 2>/dev/null | grep -q "$pattern"; then return 0; fi
    sleep 0.1
  done
  echo "'$pattern' never came from: $*" >&2
  return 1
}
