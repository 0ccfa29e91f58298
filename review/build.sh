#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the Go toolchain and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review/stand .
