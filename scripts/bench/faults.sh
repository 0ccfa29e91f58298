#!/usr/bin/env bash
# Measures, with the real programs and the stand-ins on loopback, what each
# fault costs callers, and how the calls of the key-value service grow with the
# fleet. Usage: scripts/bench/faults.sh [TABLE] [TestBenchFaults|TestBenchRates]
set -euo pipefail
cd "$(dirname "$0")/../.."
TABLE=${1:-$(mktemp)}
TESTS=${2:-TestBench}
: >"$TABLE"
VERBENA_BENCH_TABLE=$(realpath "$TABLE") \
  go test -tags bench -count=1 -timeout 20m -run "^$TESTS" ./proofs/harns
cat "$TABLE"
