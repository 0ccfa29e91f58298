#!/usr/bin/env bash
# Runs one scenario several times under one policy, with seeds 1 to RUNS, into DIR/POLICY/RUN.
# The same seeds offer every policy the same load, so that `vload compare --dir DIR` sets them
# side by side. Further arguments go to vload.
#
#   scripts/bench/series.sh run|direct SCENARIO DIR POLICY RUNS [ARGUMENT...]
set -euo pipefail
if [ $# -lt 5 ]; then
  sed -n '6s/^#  *//p' "$0" >&2
  exit 2
fi
command=$1 scenario=$2 dir=$3 policy=$4 runs=$5
shift 5
vload=$(dirname "$0")/../../bin/vload
for ((run = 1; run <= runs; run++)); do
  out=$dir/$policy/$run
  mkdir -p "$out"
  "$vload" "$command" --scenario "$scenario" --out "$out" --policy "$policy" --seed "$run" --run "$run" "$@" >"$out/table.txt"
done
