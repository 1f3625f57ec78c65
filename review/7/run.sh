#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pinewinchd ] && [ -x review/two/bin/harness ] || { echo "not built" >&2; exit 2; }
ROOT=$PWD exec review/two/bin/harness elsewhere review/7/record.txt
