#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: minions, requesters, an operator and the
# driver that starts the project's processes. They use the standard library only.
set -eu
cd "$(dirname "$0")/two"
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o bin/harness .
