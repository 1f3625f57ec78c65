#!/usr/bin/env bash
# The checks that `make test` and CI run: format, vet, staticcheck, and every
# test with the race detector, but for those that KNOWN-RED.txt names.
set -euo pipefail
cd "$(dirname "$0")/.."
fail() { echo "check: $*" >&2; exit 1; }

unformatted=$(gofmt -l $(git ls-files '*.go' | grep -v '\.pb\.go$'))
[ -z "$unformatted" ] || fail "gofmt would change: $unformatted"
go vet ./...
go tool staticcheck ./...

skip=""
if [ -s KNOWN-RED.txt ]; then
  [ "$(grep -c . KNOWN-RED.txt)" -le 3 ] || fail "KNOWN-RED.txt names more than three tests"
  echo "known red:"
  cat KNOWN-RED.txt
  skip="^($(cut -d: -f1 KNOWN-RED.txt | paste -sd'|'))\$"
fi
go test -race -timeout 20m ${skip:+-skip "$skip"} ./...
