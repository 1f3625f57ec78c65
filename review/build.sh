#!/bin/sh
# Builds the stand-ins of the cases into target/review/. Needs no network and no dependency.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
GOFLAGS=-mod=mod GOWORK=off go build -o ../target/review/standin .
