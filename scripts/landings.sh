#!/usr/bin/env bash
# Judges the declarations of earlier programs: landings.sh SEEDS LENGTH COMMIT...
# builds the daemon of each commit, lets it run the soak of declarations with each seed (such as
# "1 2 3") for LENGTH (such as 20s) in the form that earlier programs take, and prints one line a run:
# commit, seed, versions, breaks by kind. Logs stay in a folder that is named at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 3 ] || { echo "usage: landings.sh SEEDS LENGTH COMMIT..." >&2; exit 2; }
seeds=$1 length=$2
shift 2
folder=$(mktemp -d)
at_once=${AT_ONCE:-4}
go test -c -o "$folder/judge" ./platform/e2e
root=$PWD

build() { # build COMMIT: its daemon, from a copy of its tree
  git archive --prefix="$1/" "$1" | tar -x -C "$folder"
  (cd "$folder/$1" && go build -o "$folder/daemon-$1" ./cmd/pinewinchd)
  rm -rf "${folder:?}/$1"
}

judge() { # judge COMMIT SEED NUMBER: one run on a loopback network of its own
  local log=$folder/$1-$2.txt
  (cd "$root/platform/e2e" && "$folder/judge" -test.run '^TestDeclarationsUnderFailures$' -test.v \
    -soak.cores 5 -soak.fronts 4 -soak.plain -soak.program "$folder/daemon-$1" -soak.declarations "$length" \
    -soak.seed "$2" -soak.network "127.0.$((10 + $3 % 200))" >"$log" 2>&1) || true
  echo "$1 seed $2: $(grep -o '[0-9]* versions.*breaks.*' "$log" || grep -m1 -E 'never came|panic' "$log" || echo "no result")"
}

number=0
for commit in "$@"; do
  build "$commit"
  for seed in $seeds; do
    while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do wait -n || true; done
    number=$((number + 1))
    judge "$commit" "$seed" "$number" &
  done
done
wait
echo "logs: $folder"
