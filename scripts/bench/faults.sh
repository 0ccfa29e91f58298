#!/usr/bin/env bash
# Measures, with the real programs and the stand-ins on loopback, how each fault affects callers,
# and how the number of calls to the key-value service grows with the size of the fleet.
# Usage: scripts/bench/faults.sh [TABLE] [TestBenchFaults|TestBenchRates]
set -euo pipefail
cd "$(dirname "$0")/../.."
TABLE=${1:-$(mktemp)}
TESTS=${2:-TestBench}
: >"$TABLE"
VERBENA_BENCH_TABLE=$(realpath "$TABLE") \
  go test -tags bench -count=1 -timeout 20m -run "^$TESTS" ./proofs/harns
cat "$TABLE"
