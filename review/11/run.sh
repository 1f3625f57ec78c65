#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/pinewinchd ] && [ -x target/review3/play ] || { echo "build first: the deploy file's build and review/build-3.sh" >&2; exit 2; }
exec target/review3/play twice "$folder/record.txt"
